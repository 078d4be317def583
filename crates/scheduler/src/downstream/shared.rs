//! Calls to a dependency shared by the whole fleet. The mean number of concurrent calls uses an adaptive fraction of this
//! server's quota; a credit allows short bursts.

use crate::settings::Settings;
use crate::types::Time;
use cypresscleat_primitives::SECOND;
use std::collections::BTreeSet;

/// Fraction of the quota that is used: its bounds, and its rise and fall per second.
const MIN_QUOTA_USE: f64 = 0.38;
const MAX_QUOTA_USE: f64 = 0.9;
const QUOTA_USE_RISE_PER_SECOND: f64 = 0.2;
const QUOTA_USE_FALL_PER_SECOND: f64 = 1.0;
/// The used fraction rises while the mean call time is below this multiple of the baseline, and falls otherwise.
const FAST_CALL_RATIO: f64 = 1.4;
/// Drift of the baseline towards the mean call time, per second.
const BASELINE_DRIFT_PER_SECOND: f64 = 0.01;
/// Maximum credit, as a fraction of the quota over its whole window.
const MAX_CREDIT_WINDOW_SHARE: f64 = 0.04;
/// Longest call, as a multiple of the maximum credit. Guards the shared dependency against calls from many servers that hang
/// at the same time.
const MAX_CALL_TIME_PER_CREDIT: f64 = 10.0;

/// Owns the used fraction of the quota, the credit and the abandoned calls.
#[derive(Default)]
pub(crate) struct SharedQuota {
    quota: f64,
    quota_use: f64,
    /// The lowest mean call time, which drifts slowly upwards.
    baseline_call_time: f64,
    /// Available credit, in calls multiplied by tenths of a millisecond.
    credit: f64,
    max_credit: f64,
    abandoned_call_duration: Time,
    /// When each abandoned call stops occupying the dependency, with a sequence number that distinguishes equal times.
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

    /// The allowed mean number of concurrent calls.
    pub(crate) fn limit(&self) -> f64 {
        self.quota * self.quota_use
    }

    /// The number of abandoned calls that still occupy the dependency.
    pub(crate) fn abandoned(&self) -> usize {
        self.abandoned.len()
    }

    /// Whether another call can be made while `in_flight` calls occupy the dependency.
    pub(crate) fn can_call(&self, in_flight: f64) -> bool {
        self.credit >= 0.0 && in_flight < self.quota.max(1.0).floor()
    }

    /// The longest time that a call may take, less the time that it occupies the dependency after being abandoned.
    pub(crate) fn max_call_time(&self) -> Time {
        ((self.max_credit * MAX_CALL_TIME_PER_CREDIT) as Time - self.abandoned_call_duration)
            .max(self.abandoned_call_duration)
    }

    /// Records an abandoned call, which continues to occupy the dependency for a while.
    pub(crate) fn record_abandoned(&mut self, now: Time, sequence: u64) {
        self.abandoned.insert((now + self.abandoned_call_duration, sequence));
    }

    /// Removes abandoned calls that no longer occupy the dependency, adapts the used fraction of the quota, and updates the
    /// credit, which grows with the quota and is consumed by the calls in flight.
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
