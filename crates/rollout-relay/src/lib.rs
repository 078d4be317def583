//! Relays by zone between the control replicas and the members of a rollout: the leader exchanges messages with tens of relays, a member
//! with one or two. No I/O, no clock: time is an argument, messages are plain values, the same events give the same actions.
//!
//! | module | job |
//! | --- | --- |
//! | [`relay`] | what a relay may report for its members, and which leases it may give them |
//! | `simulation` | replicas, relays and members in one simulated network (feature `simulation`) |
//!
//! The messages are those of `cypresscleat_rollout::messages`, unchanged: a member is given the relays of its zone in place of the
//! replicas. So earlier versions of the program, which know nothing of relays, run below relays, and beside them at the replicas.
//! `docs/design/relays.md` compares this with other designs.
//!
//! Times are in tenths of a millisecond.

pub mod relay;
#[cfg(feature = "simulation")]
pub mod simulation;

pub use relay::{Relay, RelayOutput};
