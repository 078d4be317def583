//! Calls to a tier of servers: an adaptive concurrency limit that falls when the tier rejects a call.

use crate::types::{Outcome, Time};

/// Maximum number of calls in flight per core.
const MAX_CALLS_PER_CORE: f64 = 3.0;
/// Factor on the limit when a call is rejected.
const DECREASE_FACTOR: f64 = 0.8;
/// Increase of the limit for each call that succeeds.
const INCREASE: f64 = 0.5;
/// Lower bound of the limit: one call.
const MIN_LIMIT: f64 = 1.0;

/// Owns the limit of calls to a tier.
#[derive(Default)]
pub(crate) struct TierLimit {
    limit: f64,
    decreased_until: Time,
    max_limit: f64,
}

impl TierLimit {
    pub(crate) fn new(cores: f64) -> TierLimit {
        let max_limit = cores * MAX_CALLS_PER_CORE;
        TierLimit { limit: max_limit, decreased_until: 0, max_limit }
    }

    pub(crate) fn limit(&self) -> f64 {
        self.limit
    }

    /// Adapts the limit to the end of a call; lowers it at most once per mean call time. Guards the tier, and the requests
    /// that wait for it, against more calls than the tier can handle: it spends part of its capacity on reading calls that it
    /// then rejects.
    pub(crate) fn record(&mut self, now: Time, outcome: Outcome, mean_call_time: f64) {
        let was_rejected = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed);
        if outcome == Outcome::Succeeded {
            self.limit = (self.limit + INCREASE).min(self.max_limit);
        } else if was_rejected && now >= self.decreased_until {
            self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
            self.decreased_until = now + mean_call_time as Time;
        }
    }
}
