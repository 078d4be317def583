//! Downstream calls: when each is made, whether a failed one is made again, and when a request goes on without its call.

mod shared;
mod tier;

use crate::estimates::smooth;
use crate::host::Host;
use crate::reasons::FailReason;
use crate::request_table::{runs_once, Phase};
use crate::scheduler::Scheduler;
use crate::settings::Settings;
use crate::types::{DownstreamKind, Outcome, RequestSlot, Time};
use shared::SharedQuota;
use tier::TierLimit;

/// Calls for one need, where each earlier one did nothing or may be repeated. Guards the tier against retry storms.
const MAX_CALL_ATTEMPTS: u32 = 2;
/// Shortest time (tenths of a millisecond) worth a call.
const MIN_CALL_TIMEOUT: Time = 200;
/// No call is made with less than this part of the mean call time left, while others are in flight.
const MIN_CALL_TIME_RATIO: f64 = 0.8;
/// The lowest limit that the wait for calls is computed with.
const MIN_LIMIT_FOR_WAIT: f64 = 0.01;

/// Owns the limits of downstream calls and their mean time.
#[derive(Default)]
pub(crate) struct Downstream {
    kind: DownstreamKind,
    /// 0 until a call has ended.
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

    /// Refills the credit of a shared dependency.
    pub(crate) fn refill_call_credit(&mut self, now: Time, elapsed: f64, calling: usize) {
        self.shared.refill(now, elapsed, calling, self.mean_call_time);
    }

    /// Whether another call may be made beside `calling`.
    fn may_call(&self, calling: usize) -> bool {
        let in_flight = (calling + self.shared.abandoned()) as f64;
        match self.kind {
            DownstreamKind::Shared => self.shared.may_call(in_flight),
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

    /// Time until so many waiting calls have been made.
    fn wait_for(&self, waiting_calls: usize) -> f64 {
        let limit = match self.kind {
            DownstreamKind::Shared => self.shared.limit(),
            _ => self.tier.limit(),
        };
        waiting_calls as f64 * self.mean_call_time / limit.max(MIN_LIMIT_FOR_WAIT)
    }

    /// Records the end of a call that took `took`. One abandoned took at least as long: without it congestion would hide how
    /// slow calls are.
    fn record(&mut self, now: Time, outcome: Outcome, took: Time) {
        let took = took as f64;
        if outcome == Outcome::Succeeded || outcome == Outcome::TimedOut && took > self.mean_call_time {
            if self.mean_call_time == 0.0 {
                self.mean_call_time = took;
            } else {
                smooth(&mut self.mean_call_time, took);
            }
        }
        self.tier.record(now, outcome, self.mean_call_time);
    }
}

impl Scheduler {
    /// A running request needs its downstream call. It is parked until the call is made, skipped or given up.
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

    /// The downstream call of a request ended after `took`.
    pub fn handle_call_completed(
        &mut self,
        now: Time,
        slot: RequestSlot,
        outcome: Outcome,
        took: Time,
        host: &mut impl Host,
    ) {
        let calling = self.requests.get(slot).filter(|request| request.phase == Phase::Calling);
        let Some(request) = calling else { return };
        let is_answered = request.is_answered;
        if outcome == Outcome::TimedOut {
            self.count_abandoned_call(now);
        }
        self.downstream.record(now, outcome, took);
        if is_answered {
            return; // the end of its run follows
        }
        if outcome == Outcome::Succeeded {
            self.transition(now, slot, Phase::Running);
        } else {
            self.transition(now, slot, Phase::AwaitingCall);
            if !self.may_retry_call(now, slot, outcome) {
                self.skip_or_fail_call(now, slot, FailReason::CallFailed, host);
            }
        }
        self.dispatch_calls(now, host);
        self.dispatch(now, host);
    }

    /// Makes the calls that wait, by priority, then age, as the limits allow.
    pub(crate) fn dispatch_calls(&mut self, now: Time, host: &mut dyn Host) {
        while self.downstream.may_call(self.requests.calling()) {
            let waiting = self.requests.awaiting_call().iter().copied();
            let first = waiting.max_by(|a, b| self.requests.compare_priority(*a, *b));
            let Some(slot) = first else { return };
            let Some(request) = self.requests.get_mut(slot) else { return };
            let remaining = request.objective_at - now;
            // Guards the dependency against calls whose answer comes too late: it does their work all the same. One call
            // is always in flight, to learn from.
            let is_hopeless = self.requests.calling() > 0
                && (remaining as f64) < self.downstream.mean_call_time() * MIN_CALL_TIME_RATIO;
            if remaining < MIN_CALL_TIMEOUT || is_hopeless {
                self.skip_or_fail_call(now, slot, FailReason::NoTimeForCall, host);
                continue;
            }
            self.requests.edit(slot, |request| request.call_attempts += 1);
            self.transition(now, slot, Phase::Calling);
            host.call(slot, self.downstream.call_timeout(remaining));
        }
    }

    /// An abandoned call goes on occupying the dependency for a while.
    pub(crate) fn count_abandoned_call(&mut self, now: Time) {
        let sequence = self.requests.take_sequence();
        self.downstream.shared.abandon(now, sequence);
    }

    /// Time until the calls of all queued and parked requests have been made.
    pub(crate) fn call_queue_wait(&self) -> f64 {
        let queued = self.requests.queued().iter().filter(|slot| self.calls_downstream(**slot)).count();
        self.downstream.wait_for(self.requests.awaiting_call().len() + queued)
    }

    /// Whether requests of its class call downstream.
    pub(crate) fn calls_downstream(&self, slot: RequestSlot) -> bool {
        let request = self.requests.get(slot);
        request.is_some_and(|request| self.estimates.class(request.class).calls_downstream)
    }

    /// Whether a call that failed is made again: few attempts, only while there is time, and never where the failed one
    /// may have had an effect that must not happen twice.
    fn may_retry_call(&self, now: Time, slot: RequestSlot, outcome: Outcome) -> bool {
        let Some(request) = self.requests.get(slot) else { return false };
        let had_no_effect = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed);
        let must_not_repeat = !had_no_effect && runs_once(self.estimates.class(request.class).retry_safety);
        let has_time = (request.objective_at - now) as f64 > self.downstream.mean_call_time();
        !must_not_repeat
            && request.call_attempts < MAX_CALL_ATTEMPTS
            && has_time
            && outcome != Outcome::TimedOut
    }

    /// Gives the call up: the request goes on without it where a degraded answer is worth something, else it fails.
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
