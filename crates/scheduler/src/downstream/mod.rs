//! Downstream calls: when a call is made, whether a failed call is retried, and when a request continues without its call.

mod shared;
mod tier;

use crate::estimates::smooth;
use crate::host::Host;
use crate::reasons::FailReason;
use crate::request_table::{must_not_run_twice, Phase};
use crate::scheduler::Scheduler;
use crate::settings::Settings;
use crate::types::{DownstreamKind, Outcome, RequestSlot, Time};
use shared::SharedQuota;
use tier::TierLimit;

/// Maximum number of attempts of one call, where every earlier attempt had no effect or may be retried. Guards the tier
/// against retry storms.
const MAX_CALL_ATTEMPTS: u32 = 2;
/// Shortest timeout of a call, in tenths of a millisecond; with less time left no call is made.
const MIN_CALL_TIMEOUT: Time = 200;
/// While other calls are in flight, no call is made with less time left than this fraction of the mean call time.
const MIN_CALL_TIME_RATIO: f64 = 0.8;
/// Lower bound of the limit from which the wait for calls is computed.
const MIN_LIMIT_FOR_WAIT: f64 = 0.01;

/// Owns the limits of downstream calls and their mean time.
#[derive(Default)]
pub(crate) struct Downstream {
    kind: DownstreamKind,
    /// 0 until the first call has succeeded or timed out.
    mean_call_time: f64,
    tier: TierLimit,
    shared: SharedQuota,
}

impl Downstream {
    pub(crate) fn new(settings: &Settings) -> Downstream {
        Downstream {
            kind: settings.downstream,
            mean_call_time: 0.0,
            tier: TierLimit::new(settings.cores.max(1.0)),
            shared: SharedQuota::new(settings),
        }
    }

    pub(crate) fn kind(&self) -> DownstreamKind {
        self.kind
    }

    pub(crate) fn mean_call_time(&self) -> f64 {
        self.mean_call_time
    }

    /// Refills the call credit of a shared dependency.
    pub(crate) fn refill_call_credit(&mut self, now: Time, elapsed: f64, calling: usize) {
        self.shared.refill(now, elapsed, calling, self.mean_call_time);
    }

    /// Whether another call can be made while `calling` calls are in flight.
    fn can_call(&self, calling: usize) -> bool {
        let in_flight = (calling + self.shared.abandoned()) as f64;
        match self.kind {
            DownstreamKind::Shared => self.shared.can_call(in_flight),
            _ => in_flight < self.tier.limit(),
        }
    }

    /// The timeout of a call whose request has `remaining` left.
    fn call_timeout(&self, remaining: Time) -> Time {
        match self.kind {
            DownstreamKind::Shared => remaining.min(self.shared.max_call_time().max(MIN_CALL_TIMEOUT)),
            _ => remaining,
        }
    }

    /// Time until `waiting_calls` calls have been made.
    fn wait_until_made(&self, waiting_calls: usize) -> f64 {
        let limit = match self.kind {
            DownstreamKind::Shared => self.shared.limit(),
            _ => self.tier.limit(),
        };
        waiting_calls as f64 * self.mean_call_time / limit.max(MIN_LIMIT_FOR_WAIT)
    }

    /// Records the end of a call after `call_time`. A call that timed out counts if it exceeded the mean: it would have taken
    /// at least `call_time`, and without it congestion would hide how slow calls are.
    fn record(&mut self, now: Time, outcome: Outcome, call_time: Time) {
        let call_time = call_time as f64;
        if outcome == Outcome::Succeeded || outcome == Outcome::TimedOut && call_time > self.mean_call_time {
            if self.mean_call_time == 0.0 {
                self.mean_call_time = call_time;
            } else {
                smooth(&mut self.mean_call_time, call_time);
            }
        }
        self.tier.record(now, outcome, self.mean_call_time);
    }
}

impl Scheduler {
    /// Handles a running request that needs its downstream call. The request is parked until the call ends or is skipped, or
    /// the request fails.
    pub fn handle_call_needed(&mut self, now: Time, slot: RequestSlot, host: &mut impl Host) {
        let running = self
            .requests
            .get_mut(slot)
            .filter(|request| request.phase == Phase::Running && !request.is_answered);
        let Some(request) = running else { return };
        request.call_attempts = 0;
        request.parked_since = now;
        self.transition(now, slot, Phase::AwaitingCall);
        self.dispatch_calls(now, host);
        self.dispatch(now, host);
    }

    /// Handles the end of a request's downstream call after `call_time`.
    pub fn handle_call_completed(
        &mut self,
        now: Time,
        slot: RequestSlot,
        outcome: Outcome,
        call_time: Time,
        host: &mut impl Host,
    ) {
        let calling = self.requests.get(slot).filter(|request| request.phase == Phase::Calling);
        let Some(request) = calling else { return };
        let is_answered = request.is_answered;
        if outcome == Outcome::TimedOut {
            self.record_abandoned_call(now);
        }
        self.downstream.record(now, outcome, call_time);
        if is_answered {
            return; // the host reports the end of the run next
        }
        if outcome == Outcome::Succeeded {
            self.transition(now, slot, Phase::Running);
        } else {
            self.transition(now, slot, Phase::AwaitingCall);
            if !self.can_retry_call(now, slot, outcome) {
                self.skip_or_fail_call(now, slot, FailReason::CallFailed, host);
            }
        }
        self.dispatch_calls(now, host);
        self.dispatch(now, host);
    }

    /// Makes the waiting calls by descending priority, older requests first, within the limits.
    pub(crate) fn dispatch_calls(&mut self, now: Time, host: &mut dyn Host) {
        while self.downstream.can_call(self.requests.calling()) {
            let waiting = self.requests.awaiting_call().iter().copied();
            let first = waiting.max_by(|a, b| self.requests.compare_priority(*a, *b));
            let Some(slot) = first else { return };
            let Some(request) = self.requests.get_mut(slot) else { return };
            let remaining = request.objective_at - now;
            // Guards the dependency against calls whose response would come too late: they cost it the same work. One call is
            // always in flight, so that the mean call time stays current.
            let has_too_little_time = self.requests.calling() > 0
                && (remaining as f64) < self.downstream.mean_call_time() * MIN_CALL_TIME_RATIO;
            if remaining < MIN_CALL_TIMEOUT || has_too_little_time {
                self.skip_or_fail_call(now, slot, FailReason::NoTimeForCall, host);
                continue;
            }
            self.requests.update(slot, |request| request.call_attempts += 1);
            self.transition(now, slot, Phase::Calling);
            host.call(slot, self.downstream.call_timeout(remaining));
        }
    }

    /// Records an abandoned call, which continues to occupy the dependency for a while.
    pub(crate) fn record_abandoned_call(&mut self, now: Time) {
        let sequence = self.requests.take_sequence();
        self.downstream.shared.record_abandoned(now, sequence);
    }

    /// Time until the calls of all queued and parked requests have been made.
    pub(crate) fn call_queue_wait(&self) -> f64 {
        let queued = self.requests.queued().iter().filter(|slot| self.calls_downstream(**slot)).count();
        self.downstream.wait_until_made(self.requests.awaiting_call().len() + queued)
    }

    /// Whether the class of this request calls downstream.
    pub(crate) fn calls_downstream(&self, slot: RequestSlot) -> bool {
        let request = self.requests.get(slot);
        request.is_some_and(|request| self.estimates.class(request.class).calls_downstream)
    }

    /// Whether a failed call is retried: up to [`MAX_CALL_ATTEMPTS`] attempts, only while enough time is left, and never if
    /// the failed attempt may have had an effect that must not happen twice.
    fn can_retry_call(&self, now: Time, slot: RequestSlot, outcome: Outcome) -> bool {
        let Some(request) = self.requests.get(slot) else { return false };
        let had_no_effect = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed);
        let must_not_repeat =
            !had_no_effect && must_not_run_twice(self.estimates.class(request.class).retry_safety);
        let has_time = (request.objective_at - now) as f64 > self.downstream.mean_call_time();
        !must_not_repeat
            && request.call_attempts < MAX_CALL_ATTEMPTS
            && has_time
            && outcome != Outcome::TimedOut
    }

    /// Ends a call without success: the request continues without it if a degraded response has priority weight, and fails
    /// otherwise.
    fn skip_or_fail_call(&mut self, now: Time, slot: RequestSlot, reason: FailReason, host: &mut dyn Host) {
        let Some(request) = self.requests.get(slot) else { return };
        if self.estimates.class(request.class).degraded_share > 0.0 {
            self.transition(now, slot, Phase::Running);
            host.skip_call(slot);
        } else {
            self.fail(now, slot, reason, host);
        }
    }
}
