//! Queue stage: keeps the queue no longer than the latency objectives allow. Sheds the lowest priority first, and the newest
//! request of equal priorities.

use super::AdmissionStep;
use crate::host::Host;
use crate::reasons::RejectReason;
use crate::request_table::{Phase, RequestState};
use crate::scheduler::Scheduler;
use crate::types::{Arrival, RequestSlot, Time};

/// Maximum wait in the queue, as a fraction of the shortest latency objective.
pub(crate) const MAX_WAIT_PER_SHORTEST_OBJECTIVE: f64 = 0.3;
/// Maximum wait in the queue, and for downstream calls, as a fraction of the request's own slack.
const MAX_WAIT_PER_SLACK: f64 = 0.5;
/// Maximum wait of a request over its tenant's quota, as a fraction of the wait allowed to others. Otherwise requests over
/// quota would fill the queue.
const OVER_QUOTA_QUEUE_SHARE: f64 = 0.6;

/// Sheds queued requests until the arriving request fits into the queue or is shed itself.
pub(crate) fn admit(
    scheduler: &mut Scheduler,
    now: Time,
    arrival: &Arrival,
    host: &mut dyn Host,
) -> AdmissionStep {
    loop {
        let queued = scheduler.requests.get(arrival.slot).filter(|request| request.phase == Phase::Queued);
        let Some(request) = queued else { return AdmissionStep::Ended };
        let reason = if scheduler.is_call_queue_full(now, arrival.slot, request) {
            RejectReason::CallQueueFull
        } else if scheduler.has_queue_capacity(now, request) {
            break;
        } else {
            RejectReason::QueueFull
        };
        let Some(victim) = scheduler.lowest_priority(arrival.class, reason) else { break };
        let within_quota = scheduler.requests.get(victim).is_some_and(|victim| victim.within_quota);
        scheduler.load_feedback.count_shed(within_quota);
        scheduler.reject(now, victim, reason, host);
    }
    scheduler.arm_timer(now, arrival.slot);
    AdmissionStep::Queued
}

impl Scheduler {
    /// Whether the downstream calls ahead of this request leave too little time for its own call.
    fn is_call_queue_full(&self, now: Time, slot: RequestSlot, request: &RequestState) -> bool {
        let slack = (request.objective_at - now) as f64;
        self.calls_downstream(slot) && self.call_queue_wait() > MAX_WAIT_PER_SLACK * slack
    }

    /// Whether concurrency slots are free for all queued requests, or the wait before this request fits its slack and the
    /// shortest latency objective.
    fn has_queue_capacity(&self, now: Time, request: &RequestState) -> bool {
        let limit = self.concurrency_limit.limit();
        let has_free_slots = limit - self.requests.running() as f64 >= self.requests.queued().len() as f64;
        let share = if request.within_quota { 1.0 } else { OVER_QUOTA_QUEUE_SHARE };
        let slack = (request.objective_at - now) as f64 - self.estimates.service_time(request);
        let max_wait = (MAX_WAIT_PER_SLACK * slack)
            .min(self.shortest_objective * MAX_WAIT_PER_SHORTEST_OBJECTIVE)
            * share;
        let common = (self.requests.queued_work(), limit);
        let (work, slots) = self.pools.queue_ahead(request.class, request.within_quota).unwrap_or(common);
        let pace = self.estimates.pace();
        let wait = work * pace / slots - request.scaled_work * pace / slots;
        has_free_slots || wait <= max_wait.max(0.0)
    }

    /// The queued request that is shed next, among the requests in the same pool as `class`.
    fn lowest_priority(&self, class: usize, reason: RejectReason) -> Option<RequestSlot> {
        let only_calling_classes = reason == RejectReason::CallQueueFull;
        let is_candidate = |slot: &RequestSlot| {
            let request = self.requests.get(*slot);
            (!only_calling_classes || self.calls_downstream(*slot))
                && request.is_some_and(|request| self.pools.is_same_pool(request.class, class))
        };
        let candidates = self.requests.queued().iter().copied().filter(is_candidate);
        candidates.min_by(|a, b| self.requests.compare_priority(*a, *b))
    }

    /// Time until a request that joins the queue now would start, at the current pace.
    pub(crate) fn queue_wait(&self) -> f64 {
        self.requests.queued_work() * self.estimates.pace() / self.concurrency_limit.limit()
    }
}
