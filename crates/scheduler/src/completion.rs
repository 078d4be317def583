//! Completion: the end of a run, the final responses that the scheduler itself gives, and the release of a request.

use crate::host::{Host, Rejection};
use crate::reasons::{FailReason, RejectReason};
use crate::request_table::{must_not_run_twice, Phase};
use crate::scheduler::Scheduler;
use crate::types::{Outcome, RequestSlot, StopMode, Time};
use crate::COMPLETION_STAGES;

/// A completion stage.
pub(crate) type CompletionStage = fn(&mut Scheduler, Time, RequestSlot, Outcome);

/// Counts a downstream call as abandoned if the run ended before it, and records the time spent on calls.
pub(crate) fn record_calls(scheduler: &mut Scheduler, now: Time, slot: RequestSlot, outcome: Outcome) {
    if scheduler.requests.get(slot).is_some_and(|request| request.phase == Phase::Calling) {
        scheduler.record_abandoned_call(now);
    }
    if let Some(request) = scheduler.requests.get(slot).filter(|_| outcome == Outcome::Succeeded) {
        scheduler.estimates.record_parked_time(request.class, request.parked_time as f64);
    }
}

/// Records the running time of a request that succeeded.
pub(crate) fn record_run(scheduler: &mut Scheduler, now: Time, slot: RequestSlot, outcome: Outcome) {
    let Some(request) = scheduler.requests.get_mut(slot) else { return };
    request.has_succeeded = outcome == Outcome::Succeeded;
    if request.has_succeeded && request.phase == Phase::Running {
        let (class, work) = (request.class, request.expected_work);
        let running_time = request.running_time + now - request.running_since;
        scheduler.estimates.record_run(class, running_time, work);
        scheduler.pools.record_success(class, running_time, work);
    }
}

impl Scheduler {
    /// Handles the end of a request's run.
    pub fn handle_run_completed(
        &mut self,
        now: Time,
        slot: RequestSlot,
        outcome: Outcome,
        host: &mut impl Host,
    ) {
        let open = self.requests.get(slot).filter(|request| request.phase != Phase::Finished);
        if open.is_none() {
            return;
        }
        for stage in COMPLETION_STAGES {
            stage(self, now, slot, outcome);
        }
        let has_ended = matches!(outcome, Outcome::Succeeded | Outcome::Failed | Outcome::NotStarted);
        if has_ended || self.requests.get(slot).is_some_and(|request| request.is_answered) {
            self.finish(now, slot, host);
        } else {
            // The run was stopped without a response: the request returns to the queue and is rejected from there.
            self.transition(now, slot, Phase::Queued);
            self.reject(now, slot, RejectReason::StoppedWithoutAnswer, host);
        }
        self.dispatch_calls(now, host);
        self.dispatch(now, host);
    }

    /// Handles the disconnect of a request's client. The request counts as answered; its run is stopped if that is safe.
    pub fn handle_client_disconnect(&mut self, now: Time, slot: RequestSlot, host: &mut impl Host) {
        let Some(request) = self.requests.get_mut(slot) else { return };
        let (phase, class, was_answered) = (request.phase, request.class, request.is_answered);
        request.is_answered = true;
        let can_stop = !was_answered
            && !must_not_run_twice(self.estimates.class(class).retry_safety)
            && self.stop_mode != StopMode::Unsupported;
        match phase {
            Phase::Queued | Phase::AwaitingResult => self.finish(now, slot, host),
            Phase::Running if can_stop => host.stop(slot),
            _ => self.requests.cancel_awaited_call(slot),
        }
        self.dispatch(now, host);
    }

    /// Rejects a request with a Retry-After. Fails it instead if it has run and must not run again, or is no longer queued.
    ///
    /// Unless this server drains, clients are told not to retry on another server. Guards an overloaded fleet against clients
    /// that try one server after another, where each attempt costs the read of the request and a connection.
    pub(crate) fn reject(&mut self, now: Time, slot: RequestSlot, reason: RejectReason, host: &mut dyn Host) {
        let retry_after = self.retry_after();
        let no_retry_elsewhere = !self.draining.is_draining();
        let open = self.requests.get_mut(slot).filter(|request| !request.is_answered);
        let Some(request) = open else { return };
        let class = request.class;
        let must_not_run_again =
            request.has_run && must_not_run_twice(self.estimates.class(class).retry_safety);
        if must_not_run_again || request.phase != Phase::Queued {
            return self.fail(now, slot, FailReason::CannotBeRejected(reason), host);
        }
        request.is_answered = true;
        if let (true, Some(tenant)) = (request.within_quota, request.tenant) {
            self.quota.refund(tenant);
        }
        self.pools.record_drop(class);
        host.reject(slot, Rejection { retry_after, no_retry_elsewhere, reason });
        self.finish(now, slot, host);
    }

    /// The Retry-After of a rejection: the current wait in the queue, or the longest allowed value while draining.
    fn retry_after(&self) -> Time {
        if self.draining.is_draining() {
            return self.max_retry_after;
        }
        (self.queue_wait() as Time).clamp(0, self.max_retry_after)
    }

    /// Fails a request with an error; stops its run if the executor can stop runs.
    pub(crate) fn fail(&mut self, now: Time, slot: RequestSlot, reason: FailReason, host: &mut dyn Host) {
        let open = self.requests.get_mut(slot).filter(|request| !request.is_answered);
        let Some(request) = open else { return };
        request.is_answered = true;
        let phase = request.phase;
        self.pools.record_drop(request.class);
        host.fail(slot, reason);
        match phase {
            Phase::Queued | Phase::AwaitingResult => self.finish(now, slot, host),
            Phase::Running if self.stop_mode != StopMode::Unsupported => host.stop(slot),
            _ => self.requests.cancel_awaited_call(slot),
        }
    }

    /// Finishes a request. Its entry stays until its retention ends; without a retained entry the request is released.
    fn finish(&mut self, now: Time, slot: RequestSlot, host: &mut dyn Host) {
        self.transition(now, slot, Phase::Finished);
        match self.requests.get(slot) {
            Some(request) if request.retained_until > now => self.arm_timer(now, slot),
            _ => self.release(slot, host),
        }
    }

    /// Releases a request and its slot. All releases go through this function.
    pub(crate) fn release(&mut self, slot: RequestSlot, host: &mut dyn Host) {
        if let Some(request) = self.requests.remove(slot) {
            self.timers.cancel(request.timer_at, slot);
            host.release(slot);
        }
    }
}
