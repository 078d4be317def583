//! Whether a request may be retried at another worker. One rule applies to the whole path: a request is retried only if it provably
//! never ran, within its deadline, unless the rejection asked to give up, and under one budget for all clients of a forwarder: a
//! fraction of the first attempts with a minimum rate. So two levels send at most `1 + ratio` times the arrivals, plus the minimum
//! rate.

use crate::{Time, SECOND};

/// Retries for each first attempt, unless [`RetryBudget::set_retry_ratio`] sets another ratio.
pub const RETRY_RATIO: f64 = 0.1;
/// Retries that are allowed per second regardless of the number of first attempts.
pub const MIN_RETRIES_PER_SECOND: f64 = 3.0;
/// Maximum number of saved retries.
const MAX_SAVED_RETRIES: f64 = 20.0;
/// Maximum number of attempts of one request.
pub const MAX_ATTEMPTS: u32 = 3;

/// Whether an unsuccessful attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The attempt was rejected, or none of its bytes was written.
    NeverRan,
    /// The attempt may have run.
    MayHaveRun,
}

/// A retry to be decided.
#[derive(Clone, Copy, Debug)]
pub struct RetryRequest {
    /// Whether the previous attempt may have run.
    pub execution: Execution,
    /// The rejection asked to give up.
    pub give_up: bool,
    /// Attempts of the request so far.
    pub attempts: u32,
    /// Time left until its deadline.
    pub time_left: Time,
    /// Expected duration of an attempt.
    pub time_needed: Time,
}

impl RetryRequest {
    fn is_allowed(&self) -> bool {
        self.execution == Execution::NeverRan
            && !self.give_up
            && self.attempts < MAX_ATTEMPTS
            && self.time_left > self.time_needed
    }
}

/// Counters of the retry budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryCounts {
    /// First attempts.
    pub first_attempts: u64,
    /// Retries.
    pub retries: u64,
    /// Retries that the rule allowed and the budget denied.
    pub denied: u64,
}

/// The retry budget of a forwarder.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    /// Retries that may be sent now.
    saved: f64,
    updated_at: Time,
    counts: RetryCounts,
}

impl RetryBudget {
    /// Creates a budget with the minimum retries of one second.
    pub fn new(now: Time) -> RetryBudget {
        let (ratio, saved) = (RETRY_RATIO, MIN_RETRIES_PER_SECOND);
        RetryBudget { ratio, saved, updated_at: now, counts: RetryCounts::default() }
    }

    /// Sets the retries for each first attempt from now on.
    pub fn set_retry_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    fn add_floor(&mut self, now: Time) {
        let elapsed = (now - self.updated_at).max(0);
        self.updated_at = self.updated_at.max(now);
        let floor = MIN_RETRIES_PER_SECOND * elapsed as f64 / SECOND as f64;
        self.saved = (self.saved + floor).min(MAX_SAVED_RETRIES);
    }

    /// Records the start of a first attempt.
    pub fn record_first_attempt(&mut self, now: Time) {
        self.add_floor(now);
        self.counts.first_attempts += 1;
        self.saved = (self.saved + self.ratio).min(MAX_SAVED_RETRIES);
    }

    /// Whether the retry may be sent; an allowed retry is charged to the budget.
    pub fn try_retry(&mut self, now: Time, request: RetryRequest) -> bool {
        self.add_floor(now);
        if !request.is_allowed() {
            return false;
        }
        if self.saved < 1.0 {
            self.counts.denied += 1;
            return false;
        }
        self.saved -= 1.0;
        self.counts.retries += 1;
        true
    }

    /// The current counters.
    pub fn counts(&self) -> RetryCounts {
        self.counts
    }
}
