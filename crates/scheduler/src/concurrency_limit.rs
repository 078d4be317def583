//! The concurrency limit: how many requests run at once. The limit rises while cores are idle and requests are queued, and
//! falls while the cores are overloaded.

use crate::estimates::{decay, smooth};
use crate::types::Gauges;
use cypresscleat_primitives::SECOND;

/// Utilization above which the cores are saturated.
const SATURATED_UTILIZATION: f64 = 0.93;
/// Change of the limit per core and second, in slots.
const LIMIT_STEP_PER_CORE_SECOND: f64 = 0.3;
/// Maximum mean number of runnable tasks per core; above it the limit falls.
const MAX_RUNNABLE_PER_CORE: f64 = 1.25;
/// Lower bound of the limit, as a fraction of the cores. Requests that return from downstream calls, and reading, use the
/// remaining cores.
const MIN_LIMIT_PER_CORE: f64 = 0.5;
/// Mean unread time, as a fraction of the shortest latency objective, above which the limit falls to free cores for reading.
const UNREAD_BACKOFF_RATIO: f64 = 0.25;
/// Factor by which the limit falls faster above [`UNREAD_BACKOFF_RATIO`].
const UNREAD_BACKOFF_SPEED: f64 = 4.0;
/// Mean unread time, as a fraction of the shortest latency objective, above which reading counts among the runnable tasks.
const UNREAD_BACKLOG_RATIO: f64 = 0.07;
/// Fraction of the survivable concurrency that running and parked requests together may use.
pub(crate) const USABLE_OVERLOAD_SHARE: f64 = 0.9;

/// Owns the limit and the smoothed means that it depends on.
#[derive(Default)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    mean_runnable_per_core: f64,
    /// Mean time that requests wait to be read, in tenths of a millisecond.
    mean_time_unread: f64,
    cores: f64,
    shortest_objective: f64,
    overload_multiple: f64,
}

impl ConcurrencyLimit {
    pub(crate) fn new(cores: f64, shortest_objective: f64, overload_multiple: f64) -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit: cores,
            cores,
            shortest_objective,
            overload_multiple,
            ..ConcurrencyLimit::default()
        }
    }

    pub(crate) fn limit(&self) -> f64 {
        self.limit
    }

    /// The number of available concurrency slots. Above the number of cores only whole slots count: a whole run in a fractional
    /// slot would slow down all other runs, since no core is free for it.
    pub(crate) fn slots(&self) -> f64 {
        if self.limit > self.cores {
            self.limit.floor()
        } else {
            self.limit
        }
    }

    /// Records how long a request waited to be read.
    pub(crate) fn record_time_unread(&mut self, time_unread: f64) {
        smooth(&mut self.mean_time_unread, time_unread);
    }

    /// Decays the mean unread time, so that it falls while no requests arrive.
    pub(crate) fn decay_time_unread(&mut self, elapsed: f64) {
        self.mean_time_unread *= decay(elapsed);
    }

    /// Adapts the limit to the gauges. `running` is the number of running requests; `has_queued` is whether others are queued.
    pub(crate) fn update(&mut self, gauges: Gauges, elapsed: f64, running: f64, has_queued: bool) {
        let step = LIMIT_STEP_PER_CORE_SECOND * self.cores * elapsed / SECOND as f64;
        // Guards against requests that wait too long to be read: reading shares the cores with running requests. While
        // reading has a backlog, fewer requests run, if necessary fewer than there are cores.
        if self.mean_time_unread > self.shortest_objective * UNREAD_BACKOFF_RATIO {
            self.limit = (self.limit - step * UNREAD_BACKOFF_SPEED).max(1.0);
            return;
        }
        if self.limit < self.cores * MIN_LIMIT_PER_CORE {
            self.limit += step;
            return;
        }
        let (Some(utilization), Some(runnable)) = (gauges.core_utilization, gauges.runnable_tasks) else {
            return;
        };
        // Reading counts only while it has a backlog. Without a backlog, fewer runs would only allow more clients to connect
        // and be rejected.
        let has_read_backlog = self.mean_time_unread > self.shortest_objective * UNREAD_BACKLOG_RATIO;
        let runnable = if has_read_backlog { runnable } else { runnable.min(running) };
        smooth(&mut self.mean_runnable_per_core, runnable / self.cores);
        if self.mean_runnable_per_core > MAX_RUNNABLE_PER_CORE && utilization > SATURATED_UTILIZATION {
            self.limit -= step;
        } else if utilization < SATURATED_UTILIZATION && has_queued && running + 1.0 > self.limit {
            self.limit += step;
        }
        self.limit = self.limit.clamp(
            self.cores * MIN_LIMIT_PER_CORE,
            self.cores * self.overload_multiple * USABLE_OVERLOAD_SHARE,
        );
    }
}
