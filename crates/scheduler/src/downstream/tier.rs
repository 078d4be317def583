//! Calls to a tier of servers: an adaptive limit, lowered when the tier rejects a call.

use crate::types::{Outcome, Time};

/// Calls in flight: at most this many a core.
const MAX_CALLS_PER_CORE: f64 = 3.0;
/// The limit's factor when a call is rejected.
const DECREASE_FACTOR: f64 = 0.8;
/// The limit's rise with each call that succeeds.
const INCREASE: f64 = 0.5;
/// The limit stays at one call at least.
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

    /// Adapts the limit to the end of a call; lowers it once a mean call time at most. Guards the tier, and the work that
    /// waits on it, against more calls than it takes: part of its reading goes to calls that it then rejects.
    pub(crate) fn record(&mut self, now: Time, outcome: Outcome, mean_call_time: f64) {
        let was_refused = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed);
        if outcome == Outcome::Succeeded {
            self.limit = (self.limit + INCREASE).min(self.max_limit);
        } else if was_refused && now >= self.decreased_until {
            self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
            self.decreased_until = now + mean_call_time as Time;
        }
    }
}
