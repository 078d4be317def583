//! Whether a request may be tried again at another worker. One rule for the whole path: only what provably never ran, within its
//! deadline, never against the word of whoever rejected it, and under one budget for all clients of a forwarder: a fraction of
//! the first attempts with a floor. So two levels never send more than `1 + ratio` times what arrived, past the floor.

use crate::{Time, SECOND};

/// Retries for each first attempt, unless [`RetryBudget::set_retry_ratio`] says otherwise.
pub const RETRY_RATIO: f64 = 0.1;
/// Retries that are allowed per second whatever the first attempts.
pub const MIN_RETRIES_PER_SECOND: f64 = 3.0;
/// Retries that may be saved up.
const MAX_SAVED_RETRIES: f64 = 20.0;
/// Attempts of one request.
pub const MAX_ATTEMPTS: u32 = 3;

/// What is known of an attempt that did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// Rejected, or no byte of it was written.
    NeverRan,
    /// It may have run.
    MayHaveRun,
}

/// What a retry would be.
#[derive(Clone, Copy, Debug)]
pub struct RetryRequest {
    /// What is known of the attempt before.
    pub execution: Execution,
    /// Whoever rejected it said to give up.
    pub give_up: bool,
    /// Attempts of the request so far.
    pub attempts: u32,
    /// Time left until its deadline.
    pub time_left: Time,
    /// Time that an attempt is expected to need.
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

/// What the budget has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryCounts {
    /// First attempts.
    pub first_attempts: u64,
    /// Retries.
    pub retries: u64,
    /// Retries that were allowed by the rule, and that the budget did not cover.
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
    /// A budget with the retries of a second.
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

    /// A first attempt starts.
    pub fn record_first_attempt(&mut self, now: Time) {
        self.add_floor(now);
        self.counts.first_attempts += 1;
        self.saved = (self.saved + self.ratio).min(MAX_SAVED_RETRIES);
    }

    /// Whether the retry may be sent; one that may is counted against the budget.
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

    /// What was counted so far.
    pub fn counts(&self) -> RetryCounts {
        self.counts
    }
}
