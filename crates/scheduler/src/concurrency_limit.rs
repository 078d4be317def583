//! The concurrency limit: how many requests run at once. It follows the cores, up while they idle and work waits, down
//! while they are overloaded.

use crate::estimates::{decay, smooth};
use crate::types::Gauges;
use cypresscleat_primitives::SECOND;

/// Cores busier than this are saturated.
const SATURATED_UTILIZATION: f64 = 0.93;
/// Change of the limit, per core and second.
const LIMIT_STEP_PER_CORE_SECOND: f64 = 0.3;
/// More runnable tasks than this a core are too many: the limit falls.
const MAX_RUNNABLE_PER_CORE: f64 = 1.25;
/// The limit falls to this part of the cores at least; what returns from calls, and reading, fill the rest.
const MIN_LIMIT_PER_CORE: f64 = 0.5;
/// Mean unread time, as a part of the shortest objective, past which runs give way to reading.
const UNREAD_BACKOFF_RATIO: f64 = 0.25;
/// How much faster the limit falls then.
const UNREAD_BACKOFF_SPEED: f64 = 4.0;
/// Mean unread time, as a part of the shortest objective, past which reading counts among the runnable tasks.
const UNREAD_LAG_RATIO: f64 = 0.07;
/// Part of the survivable concurrency that running and parked requests together may reach.
pub(crate) const USABLE_OVERLOAD_SHARE: f64 = 0.9;

/// Owns the limit and the means that it follows.
#[derive(Default)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    mean_runnable_per_core: f64,
    /// Mean time that arrivals lay unread, in tenths of a millisecond.
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

    /// The concurrency slots that may be taken. Past the cores only whole slots count: part of one would be taken by a whole run,
    /// which slows all others while no core is free for it.
    pub(crate) fn slots(&self) -> f64 {
        if self.limit > self.cores {
            self.limit.floor()
        } else {
            self.limit
        }
    }

    /// Records how long an arrival lay unread.
    pub(crate) fn record_time_unread(&mut self, time_unread: f64) {
        smooth(&mut self.mean_time_unread, time_unread);
    }

    /// Lets the mean unread time decay while nothing arrives.
    pub(crate) fn decay_time_unread(&mut self, elapsed: f64) {
        self.mean_time_unread *= decay(elapsed);
    }

    /// Moves the limit after the gauges. `running` requests run; `has_queued` tells whether others wait.
    pub(crate) fn update(&mut self, gauges: Gauges, elapsed: f64, running: f64, has_queued: bool) {
        let step = LIMIT_STEP_PER_CORE_SECOND * self.cores * elapsed / SECOND as f64;
        // Guards against work growing old unread: reading shares the cores with what runs, so when it lags, runs give
        // way, under the core count if need be.
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
        // Reading counts only where it lags: where it is short, fewer runs would only let more clients connect and be
        // rejected.
        let reading_lags = self.mean_time_unread > self.shortest_objective * UNREAD_LAG_RATIO;
        let runnable = if reading_lags { runnable } else { runnable.min(running) };
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
