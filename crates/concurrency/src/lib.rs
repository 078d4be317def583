//! Concurrency slots of one server, divided among pools of request classes, with limits that adapt to measured latency.
//!
//! State machines without I/O, clock or random numbers: the same calls always give the same answers. Times are whole tenths of a
//! millisecond ([`Time`]); expected work is in the same unit.
//!
//! The scheduler reports what happens: [`Pools::enqueue`] and [`Pools::dequeue`] for its queue, [`Pools::acquire`] and
//! [`Pools::release`] for a slot, [`Pools::record_success`] and [`Pools::record_drop`] for how requests ended, [`Pools::tick`]
//! for the time. It asks [`Pools::can_start`] before it starts a request, [`Pools::queue_ahead`] before it queues one, and
//! [`Pools::can_evict`] and [`Pools::kb_reserved_by_others`] when memory runs short.
//!
//! # Lending
//!
//! A pool owns `min_share` of all slots. What it does not use is lent to whoever waits, except its `reserve`. Lent slots return as
//! requests finish: while a pool with queued requests uses fewer slots than it owns, no pool beyond its own share may start.
//! A pool that has starved for [`MAX_STARVATION`] is the only one that may start, the longest starved first. So no pool with
//! queued requests starves for longer than [`MAX_STARVATION`] and, for each pool, the longest time that a slot is held.
//!
//! # Modules
//!
//! * `config`: [`PoolsConfig`] and what makes it invalid.
//! * `pools`: the pools of a server, the events they receive, and their change while requests run.
//! * `admission`: what may start, be queued or be evicted.
//! * `pool`: the state of one pool; `sample_window`: its latency measurements.
//! * [`limit`]: the adaptive limits (AIMD, gradient, Vegas, PID).
//! * `snapshot`: what logs and measurements show.
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
