//! Deadline: what lay unread past its latency objective is decided at once. What may still meet it goes on, as estimates
//! are rough.

use super::AdmissionStep;
use crate::host::Host;
use crate::request_table::Phase;
use crate::scheduler::Scheduler;
use crate::types::{Arrival, Time};

/// Lets the timer's rule (`timers.rs`) decide on a request whose objective has passed.
pub(crate) fn admit(
    scheduler: &mut Scheduler,
    now: Time,
    arrival: &Arrival,
    host: &mut dyn Host,
) -> AdmissionStep {
    if scheduler.requests.get(arrival.slot).is_some_and(|request| request.objective_at <= now) {
        scheduler.expire(now, arrival.slot, host);
    }
    match scheduler.requests.get(arrival.slot) {
        Some(request) if request.phase == Phase::Queued => AdmissionStep::Continue,
        _ => AdmissionStep::Ended,
    }
}
