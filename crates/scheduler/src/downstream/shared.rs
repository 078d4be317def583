//! Calls to a dependency shared by the whole fleet: a quota of which the mean number of concurrent calls uses a part, with
//! a credit for short bursts.

use crate::settings::Settings;
use crate::types::Time;
use cypresscleat_primitives::SECOND;
use std::collections::BTreeSet;

/// Part of the quota that is used: at least, at most, and its rise and fall a second.
const MIN_QUOTA_USE: f64 = 0.38;
const MAX_QUOTA_USE: f64 = 0.9;
const QUOTA_USE_RISE_PER_SECOND: f64 = 0.2;
const QUOTA_USE_FALL_PER_SECOND: f64 = 1.0;
/// The use rises while calls take less than this multiple of their baseline.
const FAST_CALL_RATIO: f64 = 1.4;
/// Drift of the baseline towards the mean call time, per second.
const BASELINE_DRIFT_PER_SECOND: f64 = 0.01;
/// Part of the quota's window that may be used ahead, as credit.
const MAX_CREDIT_WINDOW_SHARE: f64 = 0.04;
/// The longest call, as a multiple of the maximum credit. Guards what all servers share against calls that hang on each
/// of many.
const MAX_CALL_TIME_PER_CREDIT: f64 = 10.0;

/// Owns the use of the quota, the credit and the abandoned calls.
#[derive(Default)]
pub(crate) struct SharedQuota {
    quota: f64,
    quota_use: f64,
    /// The least mean call time, drifting up slowly.
    baseline_call_time: f64,
    /// Calls times tenths of a millisecond that may be used.
    credit: f64,
    max_credit: f64,
    abandoned_call_duration: Time,
    /// When each abandoned call ceases to occupy the dependency, with a number that tells equal times apart.
    abandoned: BTreeSet<(Time, u64)>,
}

impl SharedQuota {
    pub(crate) fn new(settings: &Settings) -> SharedQuota {
        SharedQuota {
            quota: settings.shared_call_quota,
            quota_use: MIN_QUOTA_USE,
            max_credit: settings.shared_call_quota
                * MAX_CREDIT_WINDOW_SHARE
                * settings.shared_call_window as f64,
            abandoned_call_duration: settings.abandoned_call_duration,
            ..SharedQuota::default()
        }
    }

    /// The mean number of concurrent calls at present.
    pub(crate) fn limit(&self) -> f64 {
        self.quota * self.quota_use
    }

    /// Calls that were abandoned and still occupy the dependency.
    pub(crate) fn abandoned(&self) -> usize {
        self.abandoned.len()
    }

    /// Whether another call may be made beside `in_flight`.
    pub(crate) fn may_call(&self, in_flight: f64) -> bool {
        self.credit >= 0.0 && in_flight < self.quota.max(1.0).floor()
    }

    /// The longest time that a call may take; what it lingers after being abandoned is part of it.
    pub(crate) fn max_call_time(&self) -> Time {
        ((self.max_credit * MAX_CALL_TIME_PER_CREDIT) as Time - self.abandoned_call_duration)
            .max(self.abandoned_call_duration)
    }

    /// Counts a call that was abandoned: it goes on occupying the dependency for a while.
    pub(crate) fn abandon(&mut self, now: Time, sequence: u64) {
        self.abandoned.insert((now + self.abandoned_call_duration, sequence));
    }

    /// Forgets abandoned calls that are over, adapts the use of the quota, and refills the credit: it grows with the quota
    /// and is spent by the calls in flight.
    pub(crate) fn refill(&mut self, now: Time, elapsed: f64, calling: usize, mean_call_time: f64) {
        while self.abandoned.first().is_some_and(|(until, _)| *until <= now) {
            self.abandoned.pop_first();
        }
        let in_flight = (calling + self.abandoned.len()) as f64;
        let seconds = elapsed / SECOND as f64;
        let drift = (mean_call_time - self.baseline_call_time) * BASELINE_DRIFT_PER_SECOND * seconds;
        self.baseline_call_time =
            if self.baseline_call_time == 0.0 { mean_call_time } else { self.baseline_call_time + drift };
        self.baseline_call_time = self.baseline_call_time.min(mean_call_time);
        let is_fast = mean_call_time < self.baseline_call_time * FAST_CALL_RATIO;
        let step = if is_fast { QUOTA_USE_RISE_PER_SECOND } else { -QUOTA_USE_FALL_PER_SECOND } * seconds;
        self.quota_use = (self.quota_use + step).clamp(MIN_QUOTA_USE, MAX_QUOTA_USE);
        self.credit =
            (self.credit + (self.quota * self.quota_use - in_flight) * elapsed).min(self.max_credit);
    }
}
