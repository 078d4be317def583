//! Admission: the stages that an arriving request passes, listed in `lib.rs`. Each stage lets the request continue, queues
//! it or ends it with a final response.

pub(crate) mod deadline;
pub(crate) mod deduplication;
pub(crate) mod draining;
pub(crate) mod memory;
pub(crate) mod queue;
pub(crate) mod quota;

use crate::estimates::Estimates;
use crate::host::Host;
use crate::request_table::RequestState;
use crate::scheduler::Scheduler;
use crate::types::{Arrival, Time};
use crate::ADMISSION_STAGES;

/// Factor on the priority weight of a marked retry when load is shed. Guards against retry storms: a rejected first attempt
/// is usually sent again and must be read again, a rejected retry seldom.
const RETRY_WEIGHT_FACTOR: f64 = 0.3;
/// Transit time of a response to the client, in tenths of a millisecond; subtracted from the latency objective.
const RESPONSE_TRANSIT_TIME: Time = 100;

/// The result of an admission stage for an arriving request.
pub(crate) enum AdmissionStep {
    /// The request continues to the next stage.
    Continue,
    /// The request is queued, or waits for the result of an earlier attempt.
    Queued,
    /// The request has received its final response.
    Ended,
}

/// An admission stage.
pub(crate) type AdmissionStage = fn(&mut Scheduler, Time, &Arrival, &mut dyn Host) -> AdmissionStep;

impl Scheduler {
    /// Handles a request that was read: runs the admission stages, then starts queued requests.
    pub fn handle_arrival(&mut self, now: Time, arrival: Arrival, host: &mut impl Host) {
        let request = self.new_request(now, &arrival);
        self.connections.record_arrival();
        self.concurrency_limit.record_time_unread(arrival.time_unread as f64);
        self.requests.insert(now, arrival.slot, request, &mut self.pools);
        for stage in ADMISSION_STAGES {
            match stage(self, now, &arrival, host) {
                AdmissionStep::Continue => {}
                AdmissionStep::Queued | AdmissionStep::Ended => break,
            }
        }
        self.dispatch(now, host);
    }

    fn new_request(&mut self, now: Time, arrival: &Arrival) -> RequestState {
        let class = self.estimates.class(arrival.class);
        let work = Estimates::expected_work(arrival.expected_work);
        let arrived_at = now - arrival.time_unread.max(0);
        let client_deadline = arrival.remaining_timeout.map(|timeout| now + timeout);
        let deadline = client_deadline.unwrap_or(arrived_at + class.timeout).max(now);
        let objective_at = arrived_at + class.latency_objective + (class.objective_per_work * work) as Time
            - RESPONSE_TRANSIT_TIME;
        let retry_factor = if arrival.is_retry { RETRY_WEIGHT_FACTOR } else { 1.0 };
        let priority_divisor = if self.weight_per_work { 1.0 } else { work };
        RequestState {
            sequence: self.requests.take_sequence(),
            class: arrival.class,
            tenant: arrival.tenant.filter(|tenant| self.quota.has_tenant(*tenant)),
            within_quota: true,
            expected_work: work,
            scaled_work: self.estimates.scaled_work(arrival.class, work),
            memory_kb: arrival.memory_kb,
            priority: class.priority_weight * retry_factor / priority_divisor,
            arrived_at,
            objective_at: objective_at.min(deadline),
            deadline,
            timer_at: Time::MAX,
            retained_until: Time::MIN,
            ..RequestState::default()
        }
    }
}
