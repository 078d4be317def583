//! What forwarders and planners decide, without I/O and without a clock: time is an argument, what is to be sent comes back as
//! plain values, random numbers come from a seeded generator. The same events give the same actions.
//!
//! | module | question |
//! | --- | --- |
//! | [`messages`] | which bytes say what; versioned, bounded |
//! | [`membership`] | who is here: joins, leaves, suspicion, death (SWIM) |
//! | [`grants`] | who may grant concurrency slots on workers, and which grants are valid |
//! | [`capacity_plan`] | how much of which worker each forwarder gets |
//! | [`dispatch_mode`] | whether a forwarder goes by its grants or by itself, and how it goes back |
//! | [`load_balancer`] | to which worker a request goes, and which workers are ejected |
//! | [`slow_start`] | how much of a worker that is warming up each forwarder may use |
//! | [`retry_budget`] | whether a request may be tried again at another worker |
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
