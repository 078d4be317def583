//! Load feedback: tells clients how much load to send, less while requests within quota are shed, then gradually more. Logs
//! when shedding or slow downstream calls start and end.

use crate::admission::queue::MAX_WAIT_PER_SHORTEST_OBJECTIVE;
use crate::events::SchedulerEvent;
use crate::host::Host;
use crate::scheduler::Scheduler;
use crate::settings::Settings;
use crate::types::{LoadFeedbackKind, Time};
use cypresscleat_primitives::MS;

/// Time between two feedback messages.
pub(crate) const FEEDBACK_INTERVAL: Time = 100 * MS;
/// Bounds of the number of requests that all clients together may have outstanding, per core.
const MIN_OUTSTANDING_PER_CORE: f64 = 1.0;
const MAX_OUTSTANDING_PER_CORE: f64 = 3.0;
/// Upper bound per client; applies if its sum over all clients exceeds the bound per core. Requests arrive unevenly, and one
/// per client would keep clients from using free servers.
const MAX_OUTSTANDING_PER_CLIENT: f64 = 2.0;
/// While load is shed, the allowance falls to the first factor times the outstanding requests; otherwise it rises by the
/// second factor.
const DECREASE_FACTOR: f64 = 0.95;
const INCREASE_FACTOR: f64 = 1.1;
/// Change of the priority floor per feedback message, and its maximum.
const PRIORITY_FLOOR_STEP: f64 = 0.02;
const MAX_PRIORITY_FLOOR: f64 = 0.8;
/// Downstream calls are slow while their mean time exceeds this fraction of any latency objective.
const SLOW_CALL_RATIO: f64 = 0.5;

/// Owns the load feedback that is sent to clients.
#[derive(Default)]
pub(crate) struct LoadFeedback {
    kind: LoadFeedbackKind,
    client_count: f64,
    min_outstanding: f64,
    max_outstanding: f64,
    next_at: Time,
    /// Number of requests that all clients together may have outstanding.
    allowance: f64,
    priority_floor: f64,
    /// Number of requests within quota that were shed since the last feedback.
    shed_requests: usize,
    is_shedding: bool,
    has_slow_calls: bool,
}

impl LoadFeedback {
    pub(crate) fn new(settings: &Settings) -> LoadFeedback {
        let (cores, client_count) = (settings.cores.max(1.0), settings.client_count.max(1.0));
        let max_outstanding =
            (cores * MAX_OUTSTANDING_PER_CORE).max(client_count * MAX_OUTSTANDING_PER_CLIENT);
        LoadFeedback {
            kind: settings.load_feedback,
            client_count,
            min_outstanding: cores * MIN_OUTSTANDING_PER_CORE,
            max_outstanding,
            allowance: max_outstanding,
            ..LoadFeedback::default()
        }
    }

    /// Whether the next feedback is due.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        now >= self.next_at
    }

    /// Counts a request that was shed; requests over their tenant's quota don't count.
    pub(crate) fn count_shed(&mut self, within_quota: bool) {
        self.shed_requests += usize::from(within_quota);
    }

    /// Updates the allowance and the priority floor. While the server warms up, `slow_start_limit` bounds the allowance and
    /// guards the server against the total load of its clients.
    fn update(&mut self, is_shedding: bool, outstanding: f64, slow_start_limit: Option<f64>) {
        let max = self.max_outstanding;
        let max = max.min(slow_start_limit.unwrap_or(max)).max(self.min_outstanding);
        let target = if is_shedding {
            self.allowance.min(outstanding) * DECREASE_FACTOR
        } else {
            self.allowance * INCREASE_FACTOR
        };
        self.allowance = target.clamp(self.min_outstanding, max);
        let step = if is_shedding { PRIORITY_FLOOR_STEP } else { -PRIORITY_FLOOR_STEP };
        self.priority_floor = (self.priority_floor + step).clamp(0.0, MAX_PRIORITY_FLOOR);
    }

    /// The feedback value for the clients; a draining server requests no further load.
    fn value(&self, is_draining: bool) -> Option<f64> {
        match self.kind {
            LoadFeedbackKind::None => None,
            LoadFeedbackKind::PriorityFloor => Some(if is_draining { 1.0 } else { self.priority_floor }),
            LoadFeedbackKind::ConcurrencyAllowance => {
                Some(if is_draining { 0.0 } else { self.allowance / self.client_count })
            }
            LoadFeedbackKind::Weight => Some(if is_draining { 0.0 } else { 1.0 }),
        }
    }
}

impl Scheduler {
    /// Sends the next feedback.
    pub(crate) fn send_load_feedback(&mut self, now: Time, host: &mut dyn Host) {
        self.load_feedback.next_at = now + FEEDBACK_INTERVAL;
        let shed_requests = std::mem::take(&mut self.load_feedback.shed_requests);
        let is_shedding = shed_requests > 0
            || self.queue_wait() > self.shortest_objective * MAX_WAIT_PER_SHORTEST_OBJECTIVE;
        self.log_shedding(is_shedding, host);
        self.log_call_latency(host);
        let outstanding = self.requests.queued().len() + self.requests.active().len();
        let slow_start_limit = self.slow_start.limit(now);
        self.load_feedback.update(is_shedding, outstanding as f64, slow_start_limit);
        if let Some(value) = self.load_feedback.value(self.draining.is_draining()) {
            host.send_load_feedback(value);
        }
    }

    fn log_shedding(&mut self, is_shedding: bool, host: &mut dyn Host) {
        if is_shedding == self.load_feedback.is_shedding {
            return;
        }
        self.load_feedback.is_shedding = is_shedding;
        host.log(&SchedulerEvent::SheddingChanged {
            shedding: is_shedding,
            queued: self.requests.queued().len(),
            running: self.requests.running(),
            limit: self.concurrency_limit.limit(),
            pace: self.estimates.pace(),
            queue_wait: self.queue_wait(),
        });
        if !self.pools.is_disabled() {
            host.log(&SchedulerEvent::Pools { state: self.pools.summary() });
        }
    }

    fn log_call_latency(&mut self, host: &mut dyn Host) {
        let mean_call_time = self.downstream.mean_call_time();
        let exceeds = |objective: Time| mean_call_time > objective as f64 * SLOW_CALL_RATIO;
        let slow = self.estimates.classes().any(|class| exceeds(class.latency_objective));
        if slow == self.load_feedback.has_slow_calls {
            return;
        }
        self.load_feedback.has_slow_calls = slow;
        let (in_flight, waiting) = (self.requests.calling(), self.requests.awaiting_call().len());
        host.log(&SchedulerEvent::CallLatencyChanged { slow, mean_call_time, in_flight, waiting });
    }
}
