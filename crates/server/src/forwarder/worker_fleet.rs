//! Attempts at workers. Each request has one attempt at a time; another follows only where the one before provably never ran and
//! the retry budget allows it. Attempts end with an answer, a broken connection or by being called off; the core is told of the
//! last one's end, once.

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

/// An attempt that started at most this long before its connection ended, after the worker had announced the close, is sent once
/// more, as a router does by the protocol.
const MAX_CROSSING_TIME: Time = 50 * MS;
/// Time that a retry is expected to need.
const EXPECTED_ATTEMPT: Time = 20 * MS;

/// An attempt of a request at a worker.
struct Attempt {
    number: u64,
    worker: NodeId,
    /// Attempts of the request so far, this one included.
    attempts: u32,
    started_at: Time,
    wanted: ForwardedRequest,
    /// It crossed the close of a connection, and was sent once more.
    was_resent: bool,
    /// The connection and stream that it is on.
    stream: Option<(Rc<Connection>, u32)>,
}

/// What is known of one worker.
pub(super) struct WorkerState {
    pub(super) address: SocketAddr,
    /// Its configured places.
    slots: f64,
    pub(super) is_healthy: bool,
    /// What it reserves for us, while it is warming up.
    pub(super) reserved: Option<ReservedCapacity>,
    /// Its health is to be checked at once.
    pub(super) recheck: Rc<Notify>,
    pub(super) connections: Vec<Rc<Connection>>,
    /// Attempts that ended since the last load report.
    ended: f64,
    /// Of those, attempts that it rejected.
    rejected: f64,
    /// Moving mean of the time to a successful answer; 0 until there is one.
    latency: f64,
}

/// The workers of a forwarder, and the attempts at them.
pub struct WorkerFleet {
    pub(super) own: NodeId,
    pub(super) shared: Shared,
    queue: Sender<CoreEvent>,
    pub(super) clock: Clock,
    pub balancer: RefCell<LoadBalancer>,
    budget: RefCell<RetryBudget>,
    pub grants: RefCell<GrantTable>,
    pub mode: RefCell<DispatchMode>,
    pub forwarders: Cell<usize>,
    attempts: RefCell<HashMap<RequestId, Attempt>>,
    pub(super) workers: RefCell<HashMap<NodeId, WorkerState>>,
    /// Arrivals by class since the last report.
    arrivals: RefCell<Vec<u64>>,
    /// Priority weight of each request class.
    class_weights: Vec<f64>,
    next_attempt: Cell<u64>,
}

impl Dispatcher for WorkerFleet {
    fn run(self: Rc<WorkerFleet>, wanted: ForwardedRequest) {
        let now = self.clock.now();
        if let Some(count) = self.arrivals.borrow_mut().get_mut(wanted.class) {
            *count += 1;
        }
        self.budget.borrow_mut().record_first_attempt(now);
        let number = self.next_attempt.replace(self.next_attempt.get() + 1);
        let one = Attempt {
            number,
            worker: 0,
            attempts: 0,
            started_at: now,
            wanted,
            was_resent: false,
            stream: None,
        };
        if let Err(one) = self.start_attempt(now, one, &[]) {
            self.report_end(one.wanted.request_id, Outcome::Rejected, &[], None);
        }
    }

    /// The worker is told, and the attempt is over here.
    fn stop(self: Rc<WorkerFleet>, txn: RequestId) {
        let Some(one) = self.attempts.borrow_mut().remove(&txn) else { return };
        if let Some((connection, stream)) = &one.stream {
            if connection.open.borrow_mut().remove(stream).is_some() {
                let mut frame = Vec::new();
                frames::write_frame(&mut frame, frames::CLIENT_LEFT, *stream, b"");
                connection.out.push(&frame);
            }
        }
        let now = self.clock.now();
        self.balancer.borrow_mut().record_end(now, one.worker, AttemptOutcome::Cancelled, 0, 0);
        self.report_end(txn, Outcome::Cancelled, &[], None);
    }

    fn granted_slots(&self) -> f64 {
        self.balancer.borrow().slots()
    }

    fn gauges(&self) -> Gauges {
        let balancer = self.balancer.borrow();
        let (out, slots) = (balancer.in_flight() as f64, balancer.slots().max(1.0));
        Gauges {
            core_utilization: Some((out / slots).min(1.0)),
            runnable_tasks: Some(out),
            memory_share: None,
            connections: None,
        }
    }
}

impl WorkerFleet {
    /// Sets the retries for each first attempt from now on.
    pub fn set_retry_ratio(&self, share: f64) {
        self.budget.borrow_mut().set_retry_ratio(share);
    }

    pub fn new(
        (name, tier): (&str, &TierConfig),
        shared: &Shared,
        queue: Sender<CoreEvent>,
        clock: Clock,
        class_weights: Vec<f64>,
        seed: u64,
    ) -> Rc<WorkerFleet> {
        let now = clock.now();
        let workers = tier.workers.iter().map(|set| {
            let (address, slots) = (set.address, set.slots);
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
            (node_id(&set.name), state)
        });
        Rc::new(WorkerFleet {
            own: node_id(name),
            shared: shared.clone(),
            queue,
            clock,
            balancer: RefCell::new(LoadBalancer::new(seed)),
            budget: RefCell::new(RetryBudget::new(now)),
            grants: RefCell::default(),
            mode: RefCell::new(DispatchMode::new(now)),
            forwarders: Cell::new(1),
            attempts: RefCell::default(),
            workers: RefCell::new(workers.collect()),
            arrivals: RefCell::new(vec![0; class_weights.len()]),
            class_weights,
            next_attempt: Cell::new(0),
        })
    }

    /// Demand by request class, for the load report.
    pub fn demands(&self, span: f64) -> Vec<Demand> {
        let mut came = self.arrivals.borrow_mut();
        let all = came.iter_mut().zip(&self.class_weights).enumerate().map(|(class, (count, value))| {
            let rate = std::mem::take(count) as f64 / span.max(0.01);
            Demand { class: class as u16, rate: rate as f32, queued: 0, weight: *value as f32 }
        });
        all.take(cypresscleat_forwarding::messages::MAX_CLASSES).collect()
    }

    /// What was seen of each worker, for the load report.
    pub fn observations(&self, span: f64) -> Vec<WorkerObservation> {
        let balancer = self.balancer.borrow();
        let mut workers = self.workers.borrow_mut();
        let sights = workers.iter_mut().map(|(worker, state)| {
            let per = |count: &mut f64| (std::mem::take(count) / span.max(0.01)) as f32;
            let (ends, throttled) = (per(&mut state.ended), per(&mut state.rejected));
            WorkerObservation {
                worker: *worker,
                in_flight: balancer.in_flight_at(*worker),
                ended: ends,
                rejected: throttled,
                latency: state.latency as f32,
            }
        });
        sights.take(cypresscleat_forwarding::messages::MAX_GRANTS).collect()
    }

    /// Takes over what grants, mode and health say of each worker now; logs a change of the mode.
    pub fn refresh(&self) {
        let now = self.clock.now();
        let grants = self.grants.borrow();
        let mut mode = self.mode.borrow_mut();
        if let Some(line) = mode.tick(now, &grants) {
            log!("{line}");
        }
        let mut balancer = self.balancer.borrow_mut();
        for (worker, state) in self.workers.borrow().iter() {
            let alone = DispatchMode::local_share(state.slots, self.forwarders.get());
            // No planner's figure counts past what a planner may learn of a worker: twice its configured places.
            let slots = mode
                .slots(now, &grants, *worker, alone)
                .min(state.slots * cypresscleat_forwarding::capacity_plan::MAX_SLOTS_FACTOR);
            // What a worker that is warming up says itself counts, whoever granted more.
            let slots = state.reserved.map_or(slots, |reserved| slots.min(reserved.slots(now).into()));
            balancer.set_worker(now, *worker, slots, state.is_healthy);
        }
        balancer.tick(now);
    }

    /// Starts an attempt at a worker, not at one of `excluded`; gives it back where none has capacity.
    fn start_attempt(
        self: &Rc<WorkerFleet>,
        now: Time,
        mut one: Attempt,
        excluded: &[NodeId],
    ) -> Result<(), Attempt> {
        let chosen = self.balancer.borrow_mut().choose(one.wanted.subject, excluded);
        let Some(worker) = chosen else { return Err(one) };
        self.balancer.borrow_mut().record_start(worker);
        (one.worker, one.attempts, one.started_at) = (worker, one.attempts + 1, now);
        let Some(connection) = self.connection(worker) else {
            self.balancer.borrow_mut().record_end(now, worker, AttemptOutcome::Cancelled, 0, 0);
            return Err(one);
        };
        self.send_attempt(one, connection);
        Ok(())
    }

    /// Sends an attempt on that connection.
    fn send_attempt(&self, mut one: Attempt, connection: Rc<Connection>) {
        let stream = connection.next.replace(connection.next.get() + 1);
        let from = connection.out.end();
        let mut frame = Vec::with_capacity(one.wanted.payload.len() + 9);
        frames::write_frame(&mut frame, frames::REQUEST, stream, &one.wanted.payload);
        connection.open.borrow_mut().insert(stream, (one.wanted.request_id, one.number, from));
        connection.out.push(&frame);
        one.stream = Some((connection, stream));
        self.attempts.borrow_mut().insert(one.wanted.request_id, one);
    }

    /// Guards an attempt that crossed the close of its connection: the worker had said that it takes no more there, and reads nothing more.
    /// Sent once more on a new connection to the same worker, under its id, it runs once whichever copy was read. False where it did
    /// not cross, or did so before.
    pub(super) fn resend_crossed(self: &Rc<WorkerFleet>, txn: RequestId, number: u64) -> bool {
        let now = self.clock.now();
        let crosses = |one: &Attempt| {
            one.number == number && !one.was_resent && now - one.started_at <= MAX_CROSSING_TIME
        };
        let worker = match self.attempts.borrow().get(&txn) {
            Some(one) if crosses(one) => one.worker,
            _ => return false,
        };
        let Some(connection) = self.connection(worker) else { return false };
        let Some(one) = self.attempts.borrow_mut().remove(&txn) else { return false };
        self.send_attempt(Attempt { was_resent: true, ..one }, connection);
        true
    }

    fn report_end(
        &self,
        request_id: RequestId,
        outcome: Outcome,
        body: &[u8],
        retry_after: Option<(Time, bool)>,
    ) {
        let mut kept = self.shared.pool.take();
        kept.push(body);
        let (queue, note) =
            (self.queue.clone(), CoreEvent::RunCompleted { request_id, outcome, body: kept, retry_after });
        // The queue may be full just now, and this is called from the core itself.
        tokio::task::spawn_local(async move {
            let _ = queue.send(note).await;
        });
    }

    /// An attempt has ended. Where it provably never ran a retry may follow.
    pub(super) fn end_attempt(
        self: &Rc<WorkerFleet>,
        txn: RequestId,
        number: u64,
        end: AttemptOutcome,
        known: Execution,
        said: (Time, bool),
        body: &[u8],
    ) {
        let now = self.clock.now();
        let known_try = |one: &Attempt| one.number == number;
        let Some(one) = self.attempts.borrow_mut().remove(&txn).filter(known_try) else { return };
        let took = now - one.started_at;
        self.balancer.borrow_mut().record_end(now, one.worker, end, took, said.0);
        if let Some(state) = self.workers.borrow_mut().get_mut(&one.worker) {
            state.ended += 1.0;
            state.rejected += f64::from(end == AttemptOutcome::Rejected);
            state.latency +=
                if end == AttemptOutcome::Succeeded { (took as f64 - state.latency) * 0.1 } else { 0.0 };
        }
        match end {
            AttemptOutcome::Succeeded => return self.report_end(txn, Outcome::Succeeded, body, None),
            AttemptOutcome::Failed => return self.report_end(txn, Outcome::Failed, b"", None),
            _ => {}
        }
        let left = one.wanted.deadline - now;
        let (worker, tries) = (one.worker, one.attempts);
        let retry = RetryRequest {
            execution: known,
            give_up: said.1,
            attempts: tries,
            time_left: left,
            time_needed: EXPECTED_ATTEMPT,
        };
        let again = self.budget.borrow_mut().try_retry(now, retry);
        let one = if again {
            add(&self.shared.counters.tried_again);
            match self.start_attempt(now, one, &[worker]) {
                Ok(()) => return,
                Err(one) => one,
            }
        } else {
            one
        };
        match known {
            Execution::NeverRan => self.report_end(
                one.wanted.request_id,
                Outcome::Rejected,
                b"",
                Some(said).filter(|said| said.0 > 0 || said.1),
            ),
            Execution::MayHaveRun => self.report_end(one.wanted.request_id, Outcome::Failed, b"", None),
        }
    }
}
