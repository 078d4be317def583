//! Attempts at workers. A request has one attempt at a time. A retry follows only if the previous attempt provably never ran and
//! the retry budget allows it. An attempt ends with a response, a lost connection or a cancellation; the core receives one event
//! per request, for the end of its last attempt.

use super::connection::Connection;
use super::TierConfig;
use crate::clock::{Clock, MS};
use crate::core::incoming::{Dispatcher, ForwardedRequest, RequestId};
use crate::core::{CoreEvent, Shared};
use crate::counters::add;
use crate::frames;
use crate::log;
use cypresscleat_forwarding::dispatch_mode::DispatchMode;
use cypresscleat_forwarding::grants::GrantTable;
use cypresscleat_forwarding::load_balancer::{AttemptOutcome, LoadBalancer};
use cypresscleat_forwarding::messages::{Demand, WorkerObservation};
use cypresscleat_forwarding::retry_budget::{Execution, RetryBudget, RetryRequest};
use cypresscleat_forwarding::slow_start::ReservedCapacity;
use cypresscleat_forwarding::{node_id, NodeId};
use cypresscleat_scheduler::{Gauges, Outcome, Time};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::Sender;
use tokio::sync::Notify;

/// Maximum age of an attempt that is resent when its connection ends after the worker announced the close. Routers resend in this
/// case by the protocol.
const MAX_CROSSING_TIME: Time = 50 * MS;
/// Time that a retry is expected to need.
const EXPECTED_ATTEMPT_TIME: Time = 20 * MS;

/// An attempt of a request at a worker.
struct Attempt {
    number: u64,
    worker: NodeId,
    /// Attempts of the request so far, this one included.
    attempts: u32,
    started_at: Time,
    request: ForwardedRequest,
    /// The attempt crossed the close of a connection and was resent once.
    was_resent: bool,
    /// The connection and stream that carry the attempt.
    stream: Option<(Rc<Connection>, u32)>,
}

/// What is known of one worker.
pub(super) struct WorkerState {
    pub(super) address: SocketAddr,
    /// Configured concurrency slots of the worker.
    slots: f64,
    pub(super) is_healthy: bool,
    /// Slots that the worker reserves for this forwarder while the worker is warming up.
    pub(super) reserved: Option<ReservedCapacity>,
    /// Requests an immediate health check.
    pub(super) recheck: Rc<Notify>,
    pub(super) connections: Vec<Rc<Connection>>,
    /// Attempts that ended since the last load report.
    ended: f64,
    /// Attempts among `ended` that the worker rejected.
    rejected: f64,
    /// Moving mean of the latency of successful responses; 0 until the first one.
    latency: f64,
}

/// The workers of a forwarder, and the attempts at them.
pub struct WorkerFleet {
    pub(super) own_id: NodeId,
    pub(super) shared: Shared,
    core_events: Sender<CoreEvent>,
    pub(super) clock: Clock,
    pub balancer: RefCell<LoadBalancer>,
    budget: RefCell<RetryBudget>,
    pub grants: RefCell<GrantTable>,
    pub mode: RefCell<DispatchMode>,
    pub forwarder_count: Cell<usize>,
    attempts: RefCell<HashMap<RequestId, Attempt>>,
    pub(super) workers: RefCell<HashMap<NodeId, WorkerState>>,
    /// Arrivals by request class since the last load report.
    arrivals: RefCell<Vec<u64>>,
    /// Priority weight of each request class.
    class_weights: Vec<f64>,
    next_attempt: Cell<u64>,
}

impl Dispatcher for WorkerFleet {
    fn run(self: Rc<WorkerFleet>, request: ForwardedRequest) {
        let now = self.clock.now();
        if let Some(count) = self.arrivals.borrow_mut().get_mut(request.class) {
            *count += 1;
        }
        self.budget.borrow_mut().record_first_attempt(now);
        let number = self.next_attempt.replace(self.next_attempt.get() + 1);
        let attempt = Attempt {
            number,
            worker: 0,
            attempts: 0,
            started_at: now,
            request,
            was_resent: false,
            stream: None,
        };
        if let Err(attempt) = self.start_attempt(now, attempt, &[]) {
            self.report_end(attempt.request.request_id, Outcome::Rejected, &[], None);
        }
    }

    /// Cancels the attempt: notifies the worker and reports the end of the request.
    fn stop(self: Rc<WorkerFleet>, request_id: RequestId) {
        let Some(attempt) = self.attempts.borrow_mut().remove(&request_id) else { return };
        if let Some((connection, stream)) = &attempt.stream {
            if connection.open_streams.borrow_mut().remove(stream).is_some() {
                let mut frame = Vec::new();
                frames::write_frame(&mut frame, frames::CLIENT_LEFT, *stream, b"");
                connection.outbox.push(&frame);
            }
        }
        let now = self.clock.now();
        self.balancer.borrow_mut().record_end(now, attempt.worker, AttemptOutcome::Cancelled, 0, 0);
        self.report_end(request_id, Outcome::Cancelled, &[], None);
    }

    fn granted_slots(&self) -> f64 {
        self.balancer.borrow().slots()
    }

    fn gauges(&self) -> Gauges {
        let balancer = self.balancer.borrow();
        let (in_flight, slots) = (balancer.in_flight() as f64, balancer.slots().max(1.0));
        Gauges {
            core_utilization: Some((in_flight / slots).min(1.0)),
            runnable_tasks: Some(in_flight),
            memory_share: None,
            connections: None,
        }
    }
}

impl WorkerFleet {
    /// Sets the retries for each first attempt from now on.
    pub fn set_retry_ratio(&self, ratio: f64) {
        self.budget.borrow_mut().set_retry_ratio(ratio);
    }

    pub fn new(
        (name, tier): (&str, &TierConfig),
        shared: &Shared,
        core_events: Sender<CoreEvent>,
        clock: Clock,
        class_weights: Vec<f64>,
        seed: u64,
    ) -> Rc<WorkerFleet> {
        let now = clock.now();
        let workers = tier.workers.iter().map(|worker| {
            let (address, slots) = (worker.address, worker.slots);
            let state = WorkerState {
                address,
                slots,
                is_healthy: false,
                reserved: None,
                recheck: Rc::default(),
                connections: Vec::new(),
                ended: 0.0,
                rejected: 0.0,
                latency: 0.0,
            };
            (node_id(&worker.name), state)
        });
        Rc::new(WorkerFleet {
            own_id: node_id(name),
            shared: shared.clone(),
            core_events,
            clock,
            balancer: RefCell::new(LoadBalancer::new(seed)),
            budget: RefCell::new(RetryBudget::new(now)),
            grants: RefCell::default(),
            mode: RefCell::new(DispatchMode::new(now)),
            forwarder_count: Cell::new(1),
            attempts: RefCell::default(),
            workers: RefCell::new(workers.collect()),
            arrivals: RefCell::new(vec![0; class_weights.len()]),
            class_weights,
            next_attempt: Cell::new(0),
        })
    }

    /// Demand by request class since the last call, for the load report.
    pub fn take_demands(&self, elapsed_seconds: f64) -> Vec<Demand> {
        let mut arrivals = self.arrivals.borrow_mut();
        let demands =
            arrivals.iter_mut().zip(&self.class_weights).enumerate().map(|(class, (count, weight))| {
                let rate = std::mem::take(count) as f64 / elapsed_seconds.max(0.01);
                Demand { class: class as u16, rate: rate as f32, queued: 0, weight: *weight as f32 }
            });
        demands.take(cypresscleat_forwarding::messages::MAX_CLASSES).collect()
    }

    /// Observations of each worker since the last call, for the load report.
    pub fn take_observations(&self, elapsed_seconds: f64) -> Vec<WorkerObservation> {
        let balancer = self.balancer.borrow();
        let mut workers = self.workers.borrow_mut();
        let observations = workers.iter_mut().map(|(worker, state)| {
            let take_rate = |count: &mut f64| (std::mem::take(count) / elapsed_seconds.max(0.01)) as f32;
            let (ended_rate, rejected_rate) = (take_rate(&mut state.ended), take_rate(&mut state.rejected));
            WorkerObservation {
                worker: *worker,
                in_flight: balancer.in_flight_at(*worker),
                ended: ended_rate,
                rejected: rejected_rate,
                latency: state.latency as f32,
            }
        });
        observations.take(cypresscleat_forwarding::messages::MAX_GRANTS).collect()
    }

    /// Applies the current grants, dispatch mode and health of each worker to the load balancer; logs a change of the mode.
    pub fn refresh(&self) {
        let now = self.clock.now();
        let grants = self.grants.borrow();
        let mut mode = self.mode.borrow_mut();
        if let Some(line) = mode.tick(now, &grants) {
            log!("{line}");
        }
        let mut balancer = self.balancer.borrow_mut();
        for (worker, state) in self.workers.borrow().iter() {
            let local_share = DispatchMode::local_share(state.slots, self.forwarder_count.get());
            // Limits the slots that a planner grants to the maximum that a planner can learn: twice the configured slots.
            let slots = mode
                .slots(now, &grants, *worker, local_share)
                .min(state.slots * cypresscleat_forwarding::capacity_plan::MAX_SLOTS_FACTOR);
            // While a worker is warming up its own reservation is an upper bound, even where the grants are larger.
            let slots = state.reserved.map_or(slots, |reserved| slots.min(reserved.slots(now).into()));
            balancer.set_worker(now, *worker, slots, state.is_healthy);
        }
        balancer.tick(now);
    }

    /// Starts an attempt at a worker that is not in `excluded`; returns the attempt as an error if no worker has capacity.
    fn start_attempt(
        self: &Rc<WorkerFleet>,
        now: Time,
        mut attempt: Attempt,
        excluded: &[NodeId],
    ) -> Result<(), Attempt> {
        let chosen = self.balancer.borrow_mut().choose(attempt.request.subject, excluded);
        let Some(worker) = chosen else { return Err(attempt) };
        self.balancer.borrow_mut().record_start(worker);
        (attempt.worker, attempt.attempts, attempt.started_at) = (worker, attempt.attempts + 1, now);
        let Some(connection) = self.connection(worker) else {
            self.balancer.borrow_mut().record_end(now, worker, AttemptOutcome::Cancelled, 0, 0);
            return Err(attempt);
        };
        self.send_attempt(attempt, connection);
        Ok(())
    }

    /// Sends an attempt on the given connection.
    fn send_attempt(&self, mut attempt: Attempt, connection: Rc<Connection>) {
        let stream = connection.next_stream.replace(connection.next_stream.get() + 1);
        let start_offset = connection.outbox.end();
        let mut frame = Vec::with_capacity(attempt.request.payload.len() + 9);
        frames::write_frame(&mut frame, frames::REQUEST, stream, &attempt.request.payload);
        connection
            .open_streams
            .borrow_mut()
            .insert(stream, (attempt.request.request_id, attempt.number, start_offset));
        connection.outbox.push(&frame);
        attempt.stream = Some((connection, stream));
        self.attempts.borrow_mut().insert(attempt.request.request_id, attempt);
    }

    /// Resends an attempt that crossed the close of its connection: the worker announced the close and reads nothing more there.
    /// The resent attempt goes to the same worker on a new connection under the same request id, so that it runs only once,
    /// whichever copy the worker read. Returns false if the attempt did not cross a close or was resent before.
    pub(super) fn resend_crossed(self: &Rc<WorkerFleet>, request_id: RequestId, number: u64) -> bool {
        let now = self.clock.now();
        let has_crossed = |attempt: &Attempt| {
            attempt.number == number && !attempt.was_resent && now - attempt.started_at <= MAX_CROSSING_TIME
        };
        let worker = match self.attempts.borrow().get(&request_id) {
            Some(attempt) if has_crossed(attempt) => attempt.worker,
            _ => return false,
        };
        let Some(connection) = self.connection(worker) else { return false };
        let Some(attempt) = self.attempts.borrow_mut().remove(&request_id) else { return false };
        self.send_attempt(Attempt { was_resent: true, ..attempt }, connection);
        true
    }

    fn report_end(
        &self,
        request_id: RequestId,
        outcome: Outcome,
        body: &[u8],
        retry_after: Option<(Time, bool)>,
    ) {
        let mut buffer = self.shared.pool.take();
        buffer.push(body);
        let (core_events, event) = (
            self.core_events.clone(),
            CoreEvent::RunCompleted { request_id, outcome, body: buffer, retry_after },
        );
        // The queue may be full, and the core itself calls this function: waiting here would block the core.
        tokio::task::spawn_local(async move {
            let _ = core_events.send(event).await;
        });
    }

    /// Handles the end of an attempt. A retry may follow if the attempt provably never ran. `retry_hint` is the worker's
    /// Retry-After and whether the worker asked to give up.
    pub(super) fn end_attempt(
        self: &Rc<WorkerFleet>,
        request_id: RequestId,
        number: u64,
        outcome: AttemptOutcome,
        known_execution: Execution,
        retry_hint: (Time, bool),
        body: &[u8],
    ) {
        let now = self.clock.now();
        let is_current = |attempt: &Attempt| attempt.number == number;
        let Some(attempt) = self.attempts.borrow_mut().remove(&request_id).filter(is_current) else { return };
        let latency = now - attempt.started_at;
        self.balancer.borrow_mut().record_end(now, attempt.worker, outcome, latency, retry_hint.0);
        if let Some(state) = self.workers.borrow_mut().get_mut(&attempt.worker) {
            state.ended += 1.0;
            state.rejected += f64::from(outcome == AttemptOutcome::Rejected);
            state.latency += if outcome == AttemptOutcome::Succeeded {
                (latency as f64 - state.latency) * 0.1
            } else {
                0.0
            };
        }
        match outcome {
            AttemptOutcome::Succeeded => return self.report_end(request_id, Outcome::Succeeded, body, None),
            AttemptOutcome::Failed => return self.report_end(request_id, Outcome::Failed, b"", None),
            _ => {}
        }
        // A second copy that never reached the worker says nothing about the first one, which crossed a close.
        let is_first_unknown = attempt.was_resent && outcome == AttemptOutcome::ConnectionLost;
        let known_execution = if is_first_unknown { Execution::MayHaveRun } else { known_execution };
        let time_remaining = attempt.request.deadline - now;
        let (worker, attempt_count) = (attempt.worker, attempt.attempts);
        let retry = RetryRequest {
            execution: known_execution,
            give_up: retry_hint.1,
            attempts: attempt_count,
            time_left: time_remaining,
            time_needed: EXPECTED_ATTEMPT_TIME,
        };
        let can_retry = self.budget.borrow_mut().try_retry(now, retry);
        let attempt = if can_retry {
            add(&self.shared.counters.tried_again);
            match self.start_attempt(now, attempt, &[worker]) {
                Ok(()) => return,
                Err(attempt) => attempt,
            }
        } else {
            attempt
        };
        match known_execution {
            Execution::NeverRan => self.report_end(
                attempt.request.request_id,
                Outcome::Rejected,
                b"",
                Some(retry_hint).filter(|retry_hint| retry_hint.0 > 0 || retry_hint.1),
            ),
            Execution::MayHaveRun => self.report_end(attempt.request.request_id, Outcome::Failed, b"", None),
        }
    }
}
