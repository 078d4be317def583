//! What forwarders and planners decide, without I/O and without a clock: time is an argument, what is to be sent comes back as
//! plain values, chance is the standard hasher over a seed and a counter. The same events give the same actions.
//!
//! | module | question |
//! | --- | --- |
//! | [`messages`] | which bytes say what; versioned, bounded |
//! | [`membership`] | who is here: joins, leaves, suspicion, death |
//! | [`grants`] | who may give out places on workers, and which grants hold |
//! | [`capacity_plan`] | how much of which worker each forwarder gets |
//! | [`load_balancer`] | to which worker an invocation goes |
//! | [`retry_budget`] | whether it may go to another one |
//! | [`dispatch_mode`] | whether a forwarder goes by its grants or by itself, and how it goes back |
//! | [`simulation`] | a network in which all of these can be played |
//!
//! Times are whole tenths of a millisecond.

pub mod capacity_plan;
pub mod dispatch_mode;
pub mod grants;
pub mod load_balancer;
pub mod membership;
pub mod messages;
pub mod retry_budget;
pub mod simulation;
pub mod slow_start;

pub use cypresscleat_primitives::{node_id, NodeId, SeededRng, Time, MS, SECOND};
