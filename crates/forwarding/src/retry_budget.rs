//! Whether an invocation may go to another worker. One rule for the whole path: only what provably never ran, within its
//! time, never against the word of whoever turned it away, and under one budget for all callers of a forwarder: a retry_ratio of
//! first tries with a floor. So two levels never try more than `1 + retry_ratio` times what came, past the floor.

use crate::{Time, SECOND};

/// Further tries for each first one, and so many a second at the least.
pub const RETRY_RATIO: f64 = 0.1;
pub const MIN_RETRIES_PER_SECOND: f64 = 3.0;
/// What may be saved up, in tries.
const MAX_SAVED_RETRIES: f64 = 20.0;
/// Tries of one invocation.
pub const MAX_ATTEMPTS: u32 = 3;

/// What is known of a try that did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// Turned away, or no byte of it was written: it never ran.
    NeverRan,
    /// It may have run.
    MayHaveRun,
}

#[derive(Clone, Debug)]
pub struct RetryBudget {
    retry_ratio: f64,
    tries: f64,
    at: Time,
    first: u64,
    further: u64,
    denied: u64,
}

impl RetryBudget {
    pub fn new(now: Time) -> RetryBudget {
        RetryBudget {
            retry_ratio: RETRY_RATIO,
            tries: MIN_RETRIES_PER_SECOND,
            at: now,
            first: 0,
            further: 0,
            denied: 0,
        }
    }

    /// Further tries for each first one from now on.
    pub fn set_retry_ratio(&mut self, retry_ratio: f64) {
        self.retry_ratio = retry_ratio;
    }

    fn grow(&mut self, now: Time) {
        let span = (now - self.at).max(0);
        self.at = self.at.max(now);
        self.tries =
            (self.tries + MIN_RETRIES_PER_SECOND * span as f64 / SECOND as f64).min(MAX_SAVED_RETRIES);
    }

    /// A first try goes out.
    pub fn record_first_attempt(&mut self, now: Time) {
        self.grow(now);
        self.first += 1;
        self.tries = (self.tries + self.retry_ratio).min(MAX_SAVED_RETRIES);
    }

    /// Whether a further try may go out, the `tries`-th of its invocation, with `left` until it is due and `need` expected. One
    /// that may is counted.
    pub fn try_retry(
        &mut self,
        now: Time,
        known: Execution,
        give_up: bool,
        tries: u32,
        left: Time,
        need: Time,
    ) -> bool {
        self.grow(now);
        if known != Execution::NeverRan || give_up || tries >= MAX_ATTEMPTS || left <= need {
            return false;
        }
        if self.tries < 1.0 {
            self.denied += 1;
            return false;
        }
        self.tries -= 1.0;
        self.further += 1;
        true
    }

    /// First tries, further ones, and those that the budget denied.
    pub fn counts(&self) -> (u64, u64, u64) {
        (self.first, self.further, self.denied)
    }
}
