//! Deduplication stage: decides on a request that retries an earlier attempt. The host identifies that attempt
//! ([`EarlierAttempt`]). The decision depends on the state of the attempt and on the retry safety of the request class:
//!
//! | earlier attempt | idempotency key | non-idempotent | idempotent |
//! | --- | --- | --- | --- |
//! | none | admit | admit | admit |
//! | ended without having run | admit | admit | admit |
//! | ran and ended without success | fail | fail | admit |
//! | succeeded, is open, or released by the scheduler | replay | replay | replay |
//!
//! - *admit*: the request continues to the next stage. Before that, an entry is retained for its own retries if the class
//!   has a retry window (idempotency key) or fresh results of reads may be replayed (idempotent). Without memory for that
//!   entry a request with an idempotency key is rejected; other requests continue without an entry.
//! - *fail*: the response is an error, since another run could have the effect twice.
//! - *replay*: the request waits for the result of the earlier attempt, which the host sends
//!   ([`Host::replay_result`]); the request never runs concurrently with that attempt or after it.

use super::AdmissionStep;
use crate::host::Host;
use crate::reasons::{FailReason, RejectReason};
use crate::request_table::{must_not_run_twice, Phase};
use crate::scheduler::Scheduler;
use crate::types::{Arrival, EarlierAttempt, RetrySafety, Time};

/// Owns the setting of the rule; the request table holds the retained entries.
#[derive(Default)]
pub(crate) struct Deduplication {
    /// How long results of idempotent reads may be replayed; 0 disables replays.
    result_freshness: Time,
}

/// The result of the earlier attempt.
enum EarlierResult {
    /// The attempt ended without having run.
    NeverRan,
    /// The attempt ran and ended without success.
    Failed,
    /// The attempt succeeded, is still open, or was released after it had run.
    Replayable,
}

impl Deduplication {
    pub(crate) fn new(result_freshness: Time) -> Deduplication {
        Deduplication { result_freshness }
    }
}

/// Links a retry to its earlier attempt, and retains an entry if retries of this request may follow.
pub(crate) fn admit(
    scheduler: &mut Scheduler,
    now: Time,
    arrival: &Arrival,
    host: &mut dyn Host,
) -> AdmissionStep {
    let retry_safety = scheduler.estimates.class(arrival.class).retry_safety;
    match scheduler.earlier_result(arrival.earlier_attempt) {
        Some(EarlierResult::Failed) if must_not_run_twice(retry_safety) => {
            scheduler.requests.update(arrival.slot, |request| request.has_run = true); // an earlier attempt ran
            scheduler.fail(now, arrival.slot, FailReason::EarlierAttemptFailed, host);
            return AdmissionStep::Ended;
        }
        Some(EarlierResult::Replayable) => {
            scheduler.transition(now, arrival.slot, Phase::AwaitingResult);
            host.replay_result(arrival.slot);
            if scheduler.is_past_drain_deadline(now) {
                // The process may end before the next tick: a result that isn't there by now comes too late.
                scheduler.fail(now, arrival.slot, FailReason::DeadlinePassed, host);
                return AdmissionStep::Ended;
            }
            scheduler.arm_timer(now, arrival.slot);
            return AdmissionStep::Queued;
        }
        Some(EarlierResult::Failed | EarlierResult::NeverRan) | None => {}
    }
    let duration = scheduler.retention_time(arrival);
    if duration <= 0 {
        return AdmissionStep::Continue;
    }
    if scheduler.requests.used_memory_kb() + scheduler.requests.retained_entry_kb()
        > scheduler.memory.limit_kb()
    {
        if retry_safety != RetrySafety::IdempotencyKey {
            return AdmissionStep::Continue;
        }
        // Guards against a second execution: without a retained entry, a retry would not be recognized.
        scheduler.reject(now, arrival.slot, RejectReason::IdempotencyTableFull, host);
        return AdmissionStep::Ended;
    }
    host.retain_for_retries(arrival.slot, duration);
    scheduler.requests.retain(arrival.slot, now + duration);
    AdmissionStep::Continue
}

impl Scheduler {
    /// Whether a request is a retry that must not run again, since its earlier attempt has run or is still open. It gets
    /// the result of that attempt, and is never rejected: a rejection promises that the request has not run. A host that
    /// rejects requests by itself has to ask this first.
    pub fn retries_without_running(&self, class: usize, earlier_attempt: EarlierAttempt) -> bool {
        let is_known = matches!(
            self.earlier_result(earlier_attempt),
            Some(EarlierResult::Replayable | EarlierResult::Failed)
        );
        is_known && must_not_run_twice(self.estimates.class(class).retry_safety)
    }

    fn earlier_result(&self, attempt: EarlierAttempt) -> Option<EarlierResult> {
        let earlier = match attempt {
            EarlierAttempt::None => return None,
            EarlierAttempt::Released => None,
            EarlierAttempt::Known(slot) => self.requests.get(slot),
        };
        Some(match earlier.filter(|earlier| earlier.phase == Phase::Finished) {
            Some(earlier) if !earlier.has_run => EarlierResult::NeverRan,
            Some(earlier) if !earlier.has_succeeded => EarlierResult::Failed,
            _ => EarlierResult::Replayable,
        })
    }

    /// How long an entry is retained for retries of this request; 0 if none is retained.
    fn retention_time(&self, arrival: &Arrival) -> Time {
        let class = self.estimates.class(arrival.class);
        let freshness = self.deduplication.result_freshness;
        let can_replay = freshness > 0 && arrival.has_idempotency_key && !arrival.is_write;
        match class.retry_safety {
            RetrySafety::IdempotencyKey => class.retry_window,
            RetrySafety::Idempotent if can_replay => freshness + class.latency_objective,
            _ => 0,
        }
    }
}
