//! Deadline stage: a request that was read after its latency objective is decided immediately. Every other request
//! continues, even if its estimate says that it misses the objective, because estimates are rough.

use super::AdmissionStep;
use crate::host::Host;
use crate::request_table::Phase;
use crate::scheduler::Scheduler;
use crate::types::{Arrival, Time};

/// Applies the timer rule (`timers.rs`) to a request whose latency objective has passed.
pub(crate) fn admit(
    scheduler: &mut Scheduler,
    now: Time,
    arrival: &Arrival,
    host: &mut dyn Host,
) -> AdmissionStep {
    if scheduler.requests.get(arrival.slot).is_some_and(|request| request.objective_at <= now) {
        scheduler.handle_timer(now, arrival.slot, host);
    }
    match scheduler.requests.get(arrival.slot) {
        Some(request) if request.phase == Phase::Queued => AdmissionStep::Continue,
        _ => AdmissionStep::Ended,
    }
}
