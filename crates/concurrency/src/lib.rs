//! Concurrency slots of one server, divided among pools of request classes, with limits that adapt to measured latency.
//!
//! The crate consists of state machines without I/O, clock or random numbers: the same calls always give the same results. Times
//! are whole tenths of a millisecond ([`Time`]); expected work is in the same unit.
//!
//! The scheduler reports events: [`Pools::enqueue`] and [`Pools::dequeue`] for its queue, [`Pools::acquire`] and
//! [`Pools::release`] for a slot, [`Pools::record_success`] and [`Pools::record_drop`] for the outcome of a request, and
//! [`Pools::tick`] for the time. The scheduler calls [`Pools::can_start`] before it starts a request, [`Pools::queue_ahead`]
//! before it queues one, and [`Pools::can_evict`] and [`Pools::kb_reserved_by_others`] when memory runs short.
//!
//! # Lending
//!
//! A pool owns `min_share` of all slots. Its unused slots are lent to pools with queued requests, except its `reserve`. Lent slots
//! return as requests finish: while a pool with queued requests uses fewer slots than it owns, no pool above its own share may
//! start a request. If pools have starved for at least [`MAX_STARVATION`], only the pool that has starved the longest may start a
//! request. A pool with queued requests therefore starves at most for [`MAX_STARVATION`] plus, for each pool, the longest time
//! that a request holds a slot.
//!
//! # Modules
//!
//! * `config`: [`PoolsConfig`] and its validation.
//! * `pools`: the pools of a server, the events that they receive, and their reconfiguration while requests run.
//! * `admission`: decides which requests may be started, queued or evicted.
//! * `pool`: the state of one pool; `sample_window`: its latency measurements.
//! * [`limit`]: the adaptive limits (AIMD, gradient, Vegas, PID).
//! * `snapshot`: the state of the pools for logs and measurements.
//! * [`rank_index`]: an ordered index for weighted draws.

#![warn(missing_docs)]

mod admission;
mod config;
pub mod limit;
mod pool;
mod pools;
pub mod rank_index;
mod sample_window;
mod snapshot;

pub use admission::MAX_STARVATION;
pub use config::{ConfigError, PoolConfig, PoolError, PoolsConfig};
pub use cypresscleat_primitives::Time;
pub use pools::{ClassUsage, Pools};
pub use snapshot::PoolSnapshot;
