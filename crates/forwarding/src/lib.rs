//! Decisions of forwarders and planners, without I/O and without a clock: time is an argument, outgoing messages are returned as
//! plain values, random numbers come from a seeded generator. The same events give the same actions.
//!
//! | module | concern |
//! | --- | --- |
//! | [`messages`] | binary message format; versioned, bounded |
//! | [`membership`] | group membership: joins, leaves, suspicion, death (SWIM) |
//! | [`grants`] | who may grant concurrency slots on workers, and which grants are valid |
//! | [`capacity_plan`] | how many slots of each worker each forwarder is granted |
//! | [`dispatch_mode`] | whether a forwarder uses its grants or its local share, and how it returns to its grants |
//! | [`load_balancer`] | which worker a request goes to, and which workers are ejected |
//! | [`slow_start`] | how much of a worker that is warming up each forwarder may use |
//! | [`retry_budget`] | whether a request may be retried at another worker |
//! | `simulation` | a simulated network of members (feature `simulation`) |
//!
//! Times are whole tenths of a millisecond.

#![warn(missing_docs)]

pub mod capacity_plan;
pub mod dispatch_mode;
pub mod grants;
mod hash_ring;
pub mod load_balancer;
pub mod membership;
pub mod messages;
pub mod retry_budget;
#[cfg(feature = "simulation")]
pub mod simulation;
pub mod slow_start;

pub use cypresscleat_primitives::{node_id, NodeId, SeededRng, Time, MS, SECOND};
