//! Draining stage: after a termination notice the server completes its open requests, admits requests that arrive within
//! the grace period, and rejects all later ones, but for retries of requests that it has run or still completes: those get
//! their result, as the notice changes nothing about what has run here.

use super::AdmissionStep;
use crate::events::SchedulerEvent;
use crate::host::Host;
use crate::reasons::RejectReason;
use crate::scheduler::Scheduler;
use crate::types::{Arrival, RequestSlot, Time};

/// The drain deadline precedes the stop by this number of ticks, since responses at a deadline are sent up to one tick late.
const STOP_MARGIN_TICKS: Time = 2;

/// Owns the state of draining.
#[derive(Default)]
pub(crate) struct Draining {
    grace: Time,
    /// `None` until the termination notice.
    window: Option<DrainWindow>,
}

#[derive(Clone, Copy)]
struct DrainWindow {
    /// Requests that arrive at this time or later are rejected.
    grace_until: Time,
    /// All requests have received their final response by this time.
    stop_at: Time,
}

impl Draining {
    pub(crate) fn new(grace: Time) -> Draining {
        Draining { grace, window: None }
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.window.is_some()
    }
}

/// While draining, rejects requests that arrived after the grace period or are read once the stop is reached, and limits
/// the deadline of all others to the stop. Leaves a retry that doesn't run to the deduplication stage.
pub(crate) fn admit(
    scheduler: &mut Scheduler,
    now: Time,
    arrival: &Arrival,
    host: &mut dyn Host,
) -> AdmissionStep {
    let Some(window) = scheduler.draining.window else { return AdmissionStep::Continue };
    let Some(request) = scheduler.requests.get_mut(arrival.slot) else { return AdmissionStep::Ended };
    request.deadline = request.deadline.min(window.stop_at).max(now);
    request.objective_at = request.objective_at.min(window.stop_at);
    let is_late = request.arrived_at >= window.grace_until || scheduler.is_past_drain_deadline(now);
    if is_late && !scheduler.retries_without_running(arrival.class, arrival.earlier_attempt) {
        scheduler.reject(now, arrival.slot, RejectReason::Draining, host);
        return AdmissionStep::Ended;
    }
    AdmissionStep::Continue
}

impl Scheduler {
    /// By when all requests must have received their final response; `None` until the termination notice. A host that
    /// holds back responses has to send them by then.
    pub fn drain_deadline(&self) -> Option<Time> {
        self.draining.window.map(|window| window.stop_at)
    }

    /// Whether the time is over by which all requests are answered in a drain.
    pub(crate) fn is_past_drain_deadline(&self, now: Time) -> bool {
        self.drain_deadline().is_some_and(|deadline| now >= deadline)
    }

    /// Handles the termination notice: the server will be stopped after `within`. Health checks fail from now on, and all
    /// requests receive their final response before the stop.
    pub fn start_draining(&mut self, now: Time, within: Time, host: &mut impl Host) {
        let stop_at = now + within - STOP_MARGIN_TICKS * self.timers.interval();
        self.draining.window = Some(DrainWindow { grace_until: now + self.draining.grace, stop_at });
        host.set_health(false, true);
        let (queued, active) = (self.requests.queued().len(), self.requests.active().len());
        host.log(&SchedulerEvent::DrainingStarted { queued, active, within });
        let waiting = self.requests.awaiting_result();
        let open: Vec<RequestSlot> =
            self.requests.queued().iter().chain(self.requests.active()).copied().chain(waiting).collect();
        for slot in open {
            self.requests.update(slot, |request| {
                request.deadline = request.deadline.min(stop_at);
                request.objective_at = request.objective_at.min(stop_at);
            });
            self.arm_timer(now, slot);
        }
        self.send_load_feedback(now, host);
        self.dispatch(now, host);
    }
}
