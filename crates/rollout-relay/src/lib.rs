//! Relays by zone between the keepers and the members of a change of policy: a keeper speaks to tens, a member to one or two. Without
//! I/O or clock: time is an argument, letters come back as plain values, the same events give the same actions.
//!
//! | module | question |
//! | --- | --- |
//! | [`relay`] | what a relay may say for those below it, and which leases it may give them |
//! | [`simulation`] | keepers, relays and members in one simulated net |
//!
//! What members and keepers say is `rollout::said`, unchanged: a member is given its zone's relays in place of the keepers, so programs
//! that know nothing of relays stand below them, and beside them at the keepers. `docs/design/relays.md` says what was compared.

pub mod relay;
#[cfg(feature = "simulation")]
pub mod simulation;

pub use relay::{Out, Relay};
