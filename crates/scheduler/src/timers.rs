//! Request timers. Every request has one timer in an ordered set that the periodic tick checks. When a timer fires, the
//! request is rejected, fails or gets its next timer.

use crate::host::Host;
use crate::reasons::{FailReason, RejectReason};
use crate::request_table::Phase;
use crate::scheduler::Scheduler;
use crate::types::{RequestSlot, StopMode, Time};
use cypresscleat_primitives::MS;
use std::collections::BTreeSet;

/// The tick interval as a fraction of the answer slack: responses at a deadline are sent up to one tick late.
const INTERVAL_PER_ANSWER_SLACK: f64 = 0.3;
/// Bounds of the tick interval.
const MIN_INTERVAL: Time = MS;
const MAX_INTERVAL: Time = 20 * MS;
/// A queued request is rejected when less than this fraction of its expected service time is left before the objective.
const MIN_SERVICE_TIME_RATIO: f64 = 0.5;

/// Owns the timers of the requests and the tick interval.
#[derive(Default)]
pub(crate) struct Timers {
    timers: BTreeSet<(Time, RequestSlot)>,
    interval: Time,
}

impl Timers {
    pub(crate) fn new(answer_slack: Time) -> Timers {
        let interval = (answer_slack as f64 * INTERVAL_PER_ANSWER_SLACK) as Time;
        Timers { timers: BTreeSet::new(), interval: interval.clamp(MIN_INTERVAL, MAX_INTERVAL) }
    }

    /// The time between two ticks.
    pub(crate) fn interval(&self) -> Time {
        self.interval
    }

    /// Removes the earliest timer that is due and returns its request.
    pub(crate) fn pop_due(&mut self, now: Time) -> Option<RequestSlot> {
        self.timers.first().filter(|(at, _)| *at <= now)?;
        self.timers.pop_first().map(|(_, slot)| slot)
    }

    pub(crate) fn cancel(&mut self, at: Time, slot: RequestSlot) {
        self.timers.remove(&(at, slot));
    }

    fn replace(&mut self, previous: Time, at: Time, slot: RequestSlot) {
        self.timers.remove(&(previous, slot));
        self.timers.insert((at, slot));
    }
}

impl Scheduler {
    /// Handles the timer of a request.
    pub(crate) fn handle_timer(&mut self, now: Time, slot: RequestSlot, host: &mut dyn Host) {
        let service_time = self.service_time(slot);
        let has_queued = !self.requests.queued().is_empty();
        let can_stop = self.stop_mode != StopMode::Unsupported && has_queued;
        let late_share =
            self.requests.get(slot).map_or(0.0, |request| self.estimates.class(request.class).late_share);
        let Some(request) = self.requests.get_mut(slot) else { return };
        request.timer_at = Time::MAX;
        let has_no_weight = now >= request.objective_at && late_share <= 0.0;
        match request.phase {
            Phase::Finished => return self.release(slot, host),
            _ if request.is_answered => return,
            _ if now >= request.deadline => return self.fail(now, slot, FailReason::DeadlinePassed, host),
            Phase::Queued
                if now as f64 + service_time * MIN_SERVICE_TIME_RATIO >= request.objective_at as f64 =>
            {
                if late_share <= 0.0 || request.objective_at >= request.deadline {
                    return self.reject(now, slot, RejectReason::ObjectiveUnreachable, host);
                }
                // A late response has some priority weight: the request continues with its deadline as its objective.
                request.objective_at = request.deadline;
                request.priority *= late_share;
            }
            // Stopping the run frees its concurrency slot for the queued requests.
            Phase::Running if has_no_weight && can_stop => {
                return self.fail(now, slot, FailReason::ObjectivePassed, host)
            }
            Phase::AwaitingCall | Phase::Calling if has_no_weight => {
                return self.fail(now, slot, FailReason::ObjectivePassed, host)
            }
            _ => {}
        }
        self.arm_timer(now, slot);
    }

    /// Sets the timer of a request to the next time at which its phase requires a decision.
    pub(crate) fn arm_timer(&mut self, now: Time, slot: RequestSlot) {
        let min_service_time = (self.service_time(slot) * MIN_SERVICE_TIME_RATIO) as Time;
        let interval = self.timers.interval();
        let can_stop = self.stop_mode != StopMode::Unsupported;
        let Some(request) = self.requests.get_mut(slot) else { return };
        let next = match request.phase {
            Phase::Finished => request.retained_until,
            Phase::AwaitingResult => request.deadline,
            Phase::Queued => (request.objective_at - min_service_time).max(now + 1).min(request.deadline),
            _ if request.objective_at > now => request.objective_at.min(request.deadline),
            Phase::Running if can_stop => request.deadline.min(now + interval),
            _ => request.deadline,
        };
        let previous = std::mem::replace(&mut request.timer_at, next);
        self.timers.replace(previous, next, slot);
    }
}
