//! Owns the scheduler and its bookkeeping: request slots, open requests and pending downstream calls. Performs no I/O
//! and reads no clock: each event from the queue becomes one call to the `Scheduler`, and what the `Scheduler` requests
//! of its `Host` goes straight into the outboxes of the peers concerned. Makes no decisions of its own.

use crate::clock::MS;
use crate::counters::{add, Counters};
use crate::lines::Notice;
use crate::log;
use crate::pool::{Buf, BufferPool, Outbox};
use crate::ready::Readiness;
use crate::rollout::admission_gate::AdmissionGate;
use arrivals::HeldRequest;
use cypresscleat_concurrency::PoolsConfig;
use cypresscleat_rollout::member::AdmissionPermit;
use cypresscleat_scheduler::*;
use cypresscleat_settings::{set_gauge, Names};
use executor_link::{Executor, ReplyDelivery, RunState};
use incoming::{Dispatcher, FailureCause, Peer, RequestError, RequestId, ResponseStatus};
use persistence::{BillingRow, CompletedRun, DeferredAction, IdempotencyRecord, KeyState, Persistence};
use resends::SentResponse;
use std::cell::Cell;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::ops::Range;
use std::rc::Rc;

mod arrivals;
mod commits;
mod events;
mod executor_link;
pub mod incoming;
pub mod persistence;
mod resends;

pub use events::{CoreEvent, DownstreamCommand, DownstreamCommands, ServerStatus};
pub use resends::fingerprint;

/// How long the scheduler's timer waits for gauges that were requested when it fired. After that the tick uses the last
/// gauges, or none if those are older than `MAX_GAUGES_AGE`.
const GAUGES_TIMEOUT: Time = 3 * MS;
const MAX_GAUGES_AGE: Time = 200 * MS;
/// A call is abandoned here when its reply is this late; normally the downstream proxy reports its end itself.
const CALL_REPLY_MARGIN: Time = 50 * MS;

struct OpenRequest {
    request_id: RequestId,
    /// The client and stream that are owed the response.
    client: Option<(Rc<Peer>, u32)>,
    class: usize,
    payload: Buf,
    body: Range<usize>,
    fingerprint: u64,
    run_state: RunState,
    stop_requested: bool,
    /// Number of the last command about this request.
    command_number: u64,
    /// What is known of the reply to the run's call, while it is the last command.
    reply_delivery: ReplyDelivery,
    /// Body of the pending call, then of its reply.
    call_body: Option<Buf>,
    call: Option<(u64, Time)>,
    /// The last call failed for a reason other than a timeout.
    call_failed: bool,
    tenant: Option<usize>,
    /// Unix time of arrival, in tenths of a millisecond.
    arrived_at: Time,
    idempotency_key: Option<Box<str>>,
    /// The run was requested and waits until the store has persisted its start.
    is_starting: bool,
    has_run: bool,
    /// `payload` is the payload of a frame.
    is_frame_payload: bool,
    deadline: Time,
    subject: Option<u64>,
    /// Retry delay reported by the worker that rejected the request.
    retry_after: Option<(Time, bool)>,
    client_priority: f64,
    expected_work: Option<f64>,
    memory_kb: f64,
    /// A row in the store names it as open in a drain.
    has_drain_row: bool,
}

/// Upper bound of the time that a request can lie unread and still be worth a response.
fn max_unread_time(settings: &Settings) -> Time {
    settings.classes.iter().map(|class| class.timeout).max().unwrap_or(0)
}

/// Everything except the `Scheduler`: the state behind its `Host`.
struct CoreHost {
    names: Rc<Names>,
    pool: Rc<BufferPool>,
    counters: Rc<Counters>,
    server_status: Rc<ServerStatus>,
    readiness: Rc<Readiness>,
    downstream_commands: Rc<DownstreamCommands>,
    executor: Executor,
    slots_by_id: HashMap<RequestId, RequestSlot>,
    requests: Vec<Option<OpenRequest>>,
    free_slots: Vec<RequestSlot>,
    /// Pending calls, ordered by the time at which they are abandoned here.
    pending_calls: BTreeSet<(Time, u64, RequestSlot)>,
    call_number: u64,
    sent_responses: VecDeque<SentResponse>,
    pending_responses: usize,
    gauges: Gauges,
    gauges_at: Time,
    now: Time,
    unix_time: Time,
    persistence: Option<Persistence>,
    dispatcher: Option<Rc<dyn Dispatcher>>,
    /// Requests answered by a stored result: the scheduler is told that their clients have left.
    replayed: Vec<RequestSlot>,
    /// Runs whose start the store did not take: they end without having begun.
    unrecorded_starts: Vec<(RequestSlot, RequestId)>,
    /// Decides whether requests may be admitted, where a fleet policy is in force.
    gate: Option<Rc<AdmissionGate>>,
    /// A drain is under way: open requests are recorded in the store.
    is_draining: bool,
    /// By when all responses must be sent in a drain.
    drain_deadline: Option<Time>,
    /// Billing terms of each request class: its value, its latency objective and the share billed when late.
    class_values: Vec<(f64, Time, f64)>,
    /// When the scheduler's timer fires, and when a tick goes ahead without the requested gauges.
    wake_at: Time,
    gauges_deadline: Option<Time>,
}

/// Owns the scheduler and handles all events of the server.
pub struct Core {
    scheduler: Option<Scheduler>,
    settings: Settings,
    /// When the termination notice came, and how long after it the process is stopped.
    drain_notice: Option<(Time, Time)>,
    /// When the grace period of a drain ends.
    closes_at: Time,
    /// Requests read but not admitted yet, while a policy change pauses admission.
    held_requests: VecDeque<HeldRequest>,
    /// The pools of the active policy, in place of the instance's own.
    policy_pools: Option<PoolsConfig>,
    own_pools: PoolsConfig,
    host: CoreHost,
}

/// State shared by the core and the tasks around it.
#[derive(Clone)]
pub struct Shared {
    pub pool: Rc<BufferPool>,
    pub counters: Rc<Counters>,
    pub server_status: Rc<ServerStatus>,
    pub downstream: Rc<DownstreamCommands>,
    pub readiness: Rc<Readiness>,
}

impl Shared {
    /// Creates the state with a pool of at most `buffers` buffers.
    pub fn new(buffers: usize) -> Shared {
        Shared {
            readiness: Readiness::new(std::time::Instant::now()),
            pool: BufferPool::new(buffers),
            counters: Rc::default(),
            server_status: Rc::new(ServerStatus {
                is_healthy: Cell::new(true),
                load_feedback: Cell::new(None),
                idle_timeout: Cell::new(None),
                accepts_work: Cell::new(true),
                is_in_service: Cell::new(true),
                is_closing: Cell::new(false),
                slow_start_limit: Cell::new(Some(0.0)), // no capacity before the executor is up
            }),
            downstream: Rc::default(),
        }
    }
}

impl Core {
    /// Creates a core without a scheduler, which starts when the executor boots.
    pub fn new(settings: Settings, names: Rc<Names>, shared: &Shared) -> Core {
        let Shared { pool, counters, server_status, downstream: downstream_commands, readiness } =
            shared.clone();
        let mut host = CoreHost {
            names,
            pool,
            counters,
            server_status,
            readiness,
            downstream_commands,
            executor: Executor { outbox: None, sent_commands: 0, read_commands: 0 },
            slots_by_id: HashMap::new(),
            requests: Vec::new(),
            free_slots: Vec::new(),
            pending_calls: BTreeSet::new(),
            call_number: 0,
            sent_responses: VecDeque::new(),
            pending_responses: 0,
            gauges: Gauges::default(),
            gauges_at: Time::MIN / 2,
            now: 0,
            unix_time: 0,
            persistence: None,
            dispatcher: None,
            replayed: Vec::new(),
            unrecorded_starts: Vec::new(),
            gate: None,
            is_draining: false,
            drain_deadline: None,
            class_values: settings
                .classes
                .iter()
                .map(|class| (class.priority_weight, class.latency_objective, class.late_share))
                .collect(),
            wake_at: Time::MAX,
            gauges_deadline: None,
        };
        // Without a store, idempotency keys are known only while the process lives.
        if settings.classes.iter().any(|class| class.retry_safety == RetrySafety::IdempotencyKey) {
            host.persistence.insert(Persistence::in_memory()).max_unread_time = max_unread_time(&settings);
        }
        let own_pools = settings.pools.clone();
        Core {
            scheduler: None,
            settings,
            drain_notice: None,
            closes_at: Time::MAX,
            held_requests: VecDeque::new(),
            policy_pools: None,
            own_pools,
            host,
        }
    }

    /// Sends runs to workers; to be called before the first event.
    pub fn set_dispatcher(&mut self, dispatcher: Rc<dyn Dispatcher>) {
        self.host.dispatcher = Some(dispatcher);
    }

    /// Persists rows from now on; to be called before the first event.
    pub fn set_persistence(&mut self, persistence: Persistence) {
        let max_unread_time = max_unread_time(&self.settings);
        self.host.persistence.insert(persistence).max_unread_time = max_unread_time;
    }

    /// Lets a fleet policy decide whether requests may be admitted; to be called before the first event.
    pub fn set_gate(&mut self, gate: Rc<AdmissionGate>) {
        self.host.gate = Some(gate);
        self.host.server_status.is_in_service.set(false);
    }

    /// When `tick` must be called next.
    pub fn wake_at(&self) -> Time {
        let held = self.held_requests.iter().map(|held| held.deadline).min().unwrap_or(Time::MAX);
        let deferred = self.host.persistence.as_ref().map_or(Time::MAX, Persistence::next_respond_by);
        self.host.gauges_deadline.unwrap_or(self.host.wake_at).min(held).min(deferred)
    }
    /// Nothing runs any more, and no client waits.
    pub fn is_done(&self) -> bool {
        self.host.server_status.is_closing.get() && self.host.pending_responses == 0
    }
    /// Number of responses owed.
    pub fn pending_responses(&self) -> usize {
        self.host.pending_responses
    }

    /// Handles one event from the queue; `unix_time` is the system clock in tenths of a millisecond.
    pub fn handle_event(&mut self, now: Time, unix_time: Time, event: CoreEvent) {
        (self.host.now, self.host.unix_time) = (now, unix_time);
        self.dispatch_event(unix_time, event);
        self.settle();
    }

    fn dispatch_event(&mut self, unix_time: Time, event: CoreEvent) {
        match event {
            CoreEvent::RequestArrived { peer, stream, request } => {
                self.handle_arrival(unix_time, peer, stream, request)
            }
            CoreEvent::ClientLeft { peer, stream } => {
                let open_slot = peer
                    .open_requests
                    .borrow()
                    .iter()
                    .find(|(known, _)| *known == stream)
                    .map(|(_, slot)| *slot);
                if let Some(slot) = open_slot {
                    self.handle_client_left(slot);
                }
                self.withdraw_held(&peer, stream);
            }
            CoreEvent::ConnectionClosed { peer } => self.handle_connection_closed(&peer),
            CoreEvent::ExecutorNotice(notice) => self.handle_notice(notice),
            CoreEvent::ExecutorConnected(outbox) => self.handle_executor_connected(outbox),
            CoreEvent::ExecutorDisconnected => self.host.disconnect(),
            CoreEvent::CallCompleted { request_id, number, outcome, reply } => {
                let slot = self.host.slots_by_id.get(&request_id).copied();
                let known =
                    slot.filter(|slot| self.host.request(*slot).call.is_some_and(|call| call.0 == number));
                if let Some(slot) = known {
                    self.handle_call_completed(slot, outcome, reply);
                }
            }
            CoreEvent::Persisted { acknowledged_through, failure } => {
                self.handle_persisted(acknowledged_through, failure)
            }
            CoreEvent::RunCompleted { request_id, outcome, body, retry_after } => {
                if let Some(slot) = self.host.slots_by_id.get(&request_id).copied() {
                    self.host.request(slot).retry_after = retry_after;
                    self.handle_run_completed(slot, outcome, body);
                }
            }
            CoreEvent::PoolsChanged(pools) => {
                self.own_pools = pools;
                match &self.policy_pools {
                    Some(_) => log!("own pools have changed; the pools of the active policy stay in effect"),
                    None => self.apply_pools(),
                }
            }
            CoreEvent::PolicyActivated { number, pools } => {
                let is_same = self.policy_pools == pools;
                self.policy_pools = pools;
                if !is_same {
                    self.apply_pools();
                }
                if let Some(gate) = &self.host.gate {
                    gate.apply(number);
                }
                self.handle_gate_change(unix_time);
            }
            CoreEvent::GateChanged => self.handle_gate_change(unix_time),
            CoreEvent::Drain { within } => self.handle_drain(within),
        }
    }

    /// Handles the termination notice: the process is stopped after `within`. A second notice changes nothing.
    fn handle_drain(&mut self, within: Time) {
        if self.drain_notice.is_some() {
            return;
        }
        let now = self.host.now;
        self.host.server_status.accepts_work.set(false);
        self.drain_notice = Some((now, within));
        self.closes_at = now + self.settings.drain_grace;
        self.host.server_status.is_closing.set(self.scheduler.is_none()); // nothing to wait for without a scheduler
        self.host.is_draining = true;
        self.host.persist_open_requests(0..self.host.requests.len());
        self.with_scheduler(|scheduler, now, host| scheduler.start_draining(now, within, host));
        self.limit_waits();
    }

    /// Limits what waits for the store or is held to the time by which a drain must have answered everything.
    fn limit_waits(&mut self) {
        if let Some(deadline) = self.scheduler.as_ref().and_then(Scheduler::drain_deadline) {
            self.host.set_drain_deadline(deadline);
            self.limit_held(deadline);
        }
    }

    /// Handles a changed gate: updates the state reported to the registry and to health checks, and evaluates held
    /// requests again.
    fn handle_gate_change(&mut self, unix_time: Time) {
        let is_in_service = self.host.gate.as_ref().is_none_or(|gate| gate.permit() != AdmissionPermit::Deny);
        self.host.server_status.is_in_service.set(is_in_service);
        self.admit_held(unix_time);
    }

    /// Applies the pools now in force. Requests in progress are counted in their new pools; no run is ended.
    fn apply_pools(&mut self) {
        let pools = self.policy_pools.clone().unwrap_or_else(|| self.own_pools.clone());
        self.with_scheduler(|scheduler, now, host| scheduler.set_pools(now, &pools, host));
        self.settings.pools = pools; // for a scheduler that has not started yet
    }

    /// The scheduler's timer has fired: requests the gauges first, then runs the tick with or without them.
    pub fn tick(&mut self, now: Time) {
        // The Unix time was last set by an event; since then it has advanced as much as the monotonic clock.
        self.host.unix_time += (now - self.host.now).max(0);
        self.host.now = now;
        self.expire_held(now);
        self.host.release_overdue_responses();
        if now < self.host.gauges_deadline.unwrap_or(self.host.wake_at) {
            return;
        }
        if self.host.gauges_deadline.is_none() && self.host.request_gauges() {
            self.host.gauges_deadline = Some(now + GAUGES_TIMEOUT);
        } else {
            self.handle_timer();
        }
    }

    fn handle_timer(&mut self) {
        let now = self.host.now;
        let late = (now - self.host.wake_at).max(0) / MS;
        let latest = &self.host.counters.clock_late_ms;
        latest.set(latest.get().max(late as u64));
        self.host.wake_at = Time::MAX;
        self.host.gauges_deadline = None;
        // Protects runs whose call was lost without a report; normally the downstream proxy reports the end of each
        // call in time.
        while let Some((_, number, slot)) =
            self.host.pending_calls.first().copied().filter(|call| call.0 <= now)
        {
            self.host.pending_calls.pop_first();
            if self.host.request(slot).call.is_some_and(|call| call.0 == number) {
                let request_id = self.host.request(slot).request_id;
                self.host.downstream_commands.push(DownstreamCommand::Cancel { request_id });
                self.handle_call_completed(slot, Outcome::TimedOut, None);
            }
        }
        self.host.sent_responses.retain(|response| response.expires_at > now);
        if now >= self.closes_at {
            self.host.server_status.is_closing.set(true);
        }
        let unix_time = self.host.unix_time;
        if let Some(persistence) = self.host.persistence.as_mut() {
            persistence.expire(unix_time);
            persistence.probe_if_failing(now);
        }
        if let Some(slots) = self.host.dispatcher.as_ref().map(|dispatcher| dispatcher.granted_slots()) {
            self.with_scheduler(|scheduler, now, host| scheduler.set_granted_slots(now, slots, host));
        }
        self.update_slow_start_limit();
        let fresh = now - self.host.gauges_at <= MAX_GAUGES_AGE;
        let gauges = if fresh { self.host.gauges } else { Gauges::default() };
        self.with_scheduler(|scheduler, now, host| scheduler.tick(now, gauges, host));
        self.settle();
    }

    fn update_slow_start_limit(&self) {
        if let Some(scheduler) = &self.scheduler {
            self.host.server_status.slow_start_limit.set(scheduler.slow_start_limit(self.host.now));
        }
    }

    fn with_scheduler(&mut self, call: impl FnOnce(&mut Scheduler, Time, &mut CoreHost)) {
        if let Some(scheduler) = self.scheduler.as_mut() {
            call(scheduler, self.host.now, &mut self.host);
        }
    }

    // ---- clients ----

    /// Ends the runs that could not be put on record, and releases requests that were answered by another request's
    /// result: the scheduler is done with them too.
    fn settle(&mut self) {
        while let Some((slot, request_id)) = self.host.unrecorded_starts.pop() {
            self.cancel_start(slot, &request_id, Outcome::NotStarted);
        }
        while let Some(slot) = self.host.replayed.pop() {
            self.with_scheduler(|scheduler, now, host| scheduler.handle_client_disconnect(now, slot, host));
        }
    }

    /// Withdraws all open requests of a closed connection. The next one is looked up each time, since a withdrawal can
    /// hand its request to another attempt of the same connection, whose own slot is then released. The newest goes
    /// first: a retry leaves before the attempt that it would take over.
    fn handle_connection_closed(&mut self, peer: &Peer) {
        while let Some(slot) = peer.newest_open_request() {
            self.handle_client_left(slot);
        }
    }

    fn handle_client_left(&mut self, slot: RequestSlot) {
        add(&self.host.counters.caller_left);
        self.host.detach_client(slot);
        // The request continues for a client that waits for its result, and does not end with its first client.
        let left = self.host.hand_over_to_follower(slot).unwrap_or(slot);
        self.with_scheduler(|scheduler, now, host| scheduler.handle_client_disconnect(now, left, host));
    }

    /// Fails all open requests of a connection. Protects the queue and the concurrency limit from a client whose other
    /// requests can't be carried out either.
    fn fail_open_requests(&mut self, peer: &Rc<Peer>) {
        while let Some(slot) = peer.newest_open_request() {
            self.host.respond(slot, ResponseStatus::Failed(FailureCause::ExecutionFailed), b"");
            self.with_scheduler(|scheduler, now, host| scheduler.handle_client_disconnect(now, slot, host));
        }
    }

    // ---- executor ----

    fn handle_notice(&mut self, notice: Notice) {
        match notice {
            Notice::Booted { cold, age_ms } => self.handle_booted(cold, (age_ms * MS as f64) as Time),
            Notice::Reap { call, outcome, body } => {
                if let Some(slot) = self.host.find_request(&call) {
                    self.handle_run_completed(slot, outcome, body);
                }
            }
            Notice::Call { call, body } => {
                let Some(slot) = self.host.find_request(&call) else { return };
                let request = self.host.request(slot);
                (request.run_state, request.call_body) = (RunState::AwaitingCall, Some(body));
                self.with_scheduler(|scheduler, now, host| scheduler.handle_call_needed(now, slot, host));
            }
            Notice::Info { cookie, stats } => {
                let host = &mut self.host;
                host.executor.read_commands = host.executor.read_commands.max(cookie.parse().unwrap_or(0));
                let known = host.names.gauges.iter().zip(stats).filter(|(_, value)| value.is_finite());
                host.gauges = Gauges::default();
                known.for_each(|(name, value)| set_gauge(&mut host.gauges, name, value));
                host.gauges_at = host.now;
                if host.gauges_deadline.is_some() {
                    self.handle_timer();
                }
            }
            Notice::Rejected { command, call } => {
                add(&self.host.counters.kernel_rejected);
                log!("the kernel would not carry out {command} {call}");
                // A run that never started, or can't continue, would otherwise hold its slot until its deadline.
                let ends_run = matches!(command.as_str(), "SCHED" | "IODONE");
                if let (true, Some(slot)) = (ends_run, self.host.find_request(&call)) {
                    let empty = self.host.pool.take();
                    let from = self.host.request(slot).client.clone();
                    self.handle_run_completed(slot, Outcome::Failed, empty);
                    // The executor knows every request that a router sent here: this client is not a router.
                    if let (Some((peer, _)), "SCHED") = (from, command.as_str()) {
                        let what = "an invocation that the kernel doesn't know";
                        peer.close_on_violation(&self.host.counters, 0, RequestError::Malformed, what);
                        self.fail_open_requests(&peer);
                    }
                }
            }
            Notice::Remark(_) => {}
        }
    }

    /// A new link has delivered all missed notices. Requests whose reply may have been read fail: to send it again could
    /// answer their next call with it.
    fn handle_executor_connected(&mut self, outbox: Rc<Outbox>) {
        self.host.executor.outbox = Some(outbox);
        self.host.resend_commands();
        while let Some(slot) = self.host.find_unknown_delivery() {
            let request = self.host.request(slot);
            (request.reply_delivery, request.run_state) = (ReplyDelivery::NotWritten, RunState::AwaitingCall);
            let request_id = request.request_id;
            log!(
                "request {} fails: the kernel may have read the reply to its call as the link broke",
                String::from_utf8_lossy(&request_id)
            );
            self.host.respond(slot, ResponseStatus::Failed(FailureCause::ExecutionFailed), b"");
            self.with_scheduler(|scheduler, now, host| scheduler.handle_client_disconnect(now, slot, host));
        }
    }

    /// Starts the scheduler when the executor boots, with the executor's own report of being cold.
    fn handle_booted(&mut self, cold: bool, age: Time) {
        if self.scheduler.is_some() {
            return;
        }
        let settings = Settings { slow_start: cold, ..self.settings.clone() };
        let now = self.host.now;
        log!("kernel up for {} ms, {}", age / MS, if cold { "cold" } else { "warm" });
        let mut scheduler = Scheduler::start(now - age, settings, &mut self.host);
        self.host.wake_at = now;
        // The termination notice came before the executor was up: it applies to the new scheduler.
        if let Some((at, within)) = self.drain_notice {
            scheduler.start_draining(at, within, &mut self.host);
        }
        self.scheduler = Some(scheduler);
        self.limit_waits();
        self.host.readiness.mark_executor_up();
        self.update_slow_start_limit();
    }

    /// The run has ended: if the request has no response yet, the outcome decides it.
    fn handle_run_completed(&mut self, slot: RequestSlot, outcome: Outcome, body: Buf) {
        let counters = self.host.counters.clone();
        if self.host.request(slot).client.is_none() && outcome == Outcome::Succeeded {
            // A retry that waits for the result gets it as the request's own client would, with a billing row.
            if let Some(retry) = self.host.hand_over_to_follower(slot) {
                add(&counters.repeated);
                self.host.replayed.push(retry);
            }
        }
        if self.host.request(slot).client.is_none() {
            self.host.complete_without_client(slot, outcome, &body);
            let class = self.settings.classes.get(self.host.request(slot).class);
            if class.is_some_and(|class| class.retry_safety == RetrySafety::NonIdempotent) {
                self.host.save_for_resend(slot, outcome, &body);
            }
        }
        match outcome {
            Outcome::Succeeded => {
                add(&counters.runs_succeeded);
                if let Some((peer, _)) = &self.host.request(slot).client {
                    peer.invalid_requests.set(0);
                }
                self.host.respond(slot, ResponseStatus::Succeeded, &body);
            }
            Outcome::Failed => {
                add(&counters.runs_errored);
                self.host.respond(slot, ResponseStatus::Failed(FailureCause::ExecutionFailed), b"");
            }
            Outcome::NotStarted => {
                add(&counters.runs_stopped);
                self.host.respond_failed(slot);
            }
            _ => add(&counters.runs_stopped),
        }
        self.host.cancel_call(slot);
        let request = self.host.request(slot);
        (request.run_state, request.stop_requested) = (RunState::Idle, false);
        self.with_scheduler(|scheduler, now, host| scheduler.handle_run_completed(now, slot, outcome, host));
        // The entry may stay for as long as a retry can arrive; its buffers are released.
        if let Some(request) = self.host.requests[slot].as_mut().filter(|request| request.client.is_none()) {
            request.payload.release();
            request.call_body = None;
        }
    }

    // ---- downstream calls ----

    fn handle_call_completed(&mut self, slot: RequestSlot, outcome: Outcome, reply: Option<Buf>) {
        let counters = &self.host.counters;
        add(match outcome {
            Outcome::Succeeded => &counters.calls_succeeded,
            Outcome::Rejected => &counters.calls_throttled,
            Outcome::TimedOut => &counters.calls_expired,
            Outcome::ConnectFailed | Outcome::ConnectionLost => &counters.calls_lost,
            _ => &counters.calls_errored,
        });
        let now = self.host.now;
        let request = self.host.request(slot);
        let Some((number, began)) = request.call.take() else { return };
        request.call_failed = !matches!(outcome, Outcome::Succeeded | Outcome::TimedOut);
        let is_pending = request.client.is_some();
        self.host.pending_calls.retain(|call| call.1 != number);
        // A run whose request is answered, or whose client has left, is ended by the executor itself.
        if let (Some(reply), Outcome::Succeeded, true) = (reply, outcome, is_pending) {
            let request = self.host.request(slot);
            (request.run_state, request.call_body) = (RunState::Resume, Some(reply));
            request.reply_delivery = ReplyDelivery::NotWritten;
            self.host.send_command(slot);
        }
        self.with_scheduler(|scheduler, _, host| {
            scheduler.handle_call_completed(now, slot, outcome, now - began, host)
        });
    }
}

impl CoreHost {
    /// Slots come from the scheduler and from `slots_by_id`: each refers to an open request.
    fn request(&mut self, slot: RequestSlot) -> &mut OpenRequest {
        self.requests[slot].as_mut().expect("the slot is in use")
    }

    /// Responds with an error. The scheduler fails requests that can't be answered before their deadline, except where
    /// a failed call caused it.
    fn respond_failed(&mut self, slot: RequestSlot) {
        let cause = if self.request(slot).call_failed {
            FailureCause::ExecutionFailed
        } else {
            FailureCause::DeadlineExceeded
        };
        self.respond(slot, ResponseStatus::Failed(cause), b"");
    }

    fn find_request(&self, call: &str) -> Option<RequestSlot> {
        self.slots_by_id.get(&RequestId::try_from(call.as_bytes()).ok()?).copied()
    }

    fn insert(&mut self, request: OpenRequest) -> RequestSlot {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.requests.push(None);
            self.requests.len() - 1
        });
        self.slots_by_id.insert(request.request_id, slot);
        self.requests[slot] = Some(request);
        slot
    }

    fn attach_client(&mut self, slot: RequestSlot, peer: Rc<Peer>, stream: u32) {
        peer.open_requests.borrow_mut().push((stream, slot));
        peer.active_at.set(self.now);
        self.request(slot).client = Some((peer, stream));
        self.pending_responses += 1;
        self.counters.open_most.set(self.counters.open_most.get().max(self.pending_responses as u64));
    }

    /// Clears the response owed for a request; returns the client and stream that waited for it.
    fn detach_client(&mut self, slot: RequestSlot) -> Option<(Rc<Peer>, u32)> {
        let (peer, stream) = self.request(slot).client.take()?;
        peer.open_requests.borrow_mut().retain(|(known, _)| *known != stream);
        peer.active_at.set(self.now);
        self.pending_responses -= 1;
        Some((peer, stream))
    }

    /// Hands a request without a client over to the first one that waits for its result; returns the slot of that retry.
    fn hand_over_to_follower(&mut self, slot: RequestSlot) -> Option<RequestSlot> {
        loop {
            let retry = self.persistence.as_mut()?.take_follower(slot)?;
            if let Some((peer, stream)) = self.detach_client(retry) {
                self.attach_client(slot, peer, stream);
                return Some(retry);
            }
        }
    }

    /// Sends the final response, if it is still owed: the only place where a response is settled. A success may wait
    /// until its billing row is persisted.
    fn respond(&mut self, slot: RequestSlot, status: ResponseStatus, body: &[u8]) {
        let Some((peer, stream)) = self.detach_client(slot) else { return };
        self.clear_drain_row(slot);
        let (status, body, number) = self.record_success(slot, status, body);
        let counters = &self.counters;
        add(match status {
            ResponseStatus::Succeeded => &counters.succeeded,
            ResponseStatus::Rejected { .. } => &counters.throttled,
            ResponseStatus::Failed(_) => &counters.errored,
        });
        let OpenRequest { request_id, fingerprint, class, arrived_at, .. } = *self.request(slot);
        if let (Some(gate), ResponseStatus::Succeeded, Some((value, objective, late_share))) =
            (&self.gate, status, self.class_values.get(class).copied())
        {
            let in_time = self.unix_time - arrived_at <= objective;
            gate.count_success(in_time, if in_time { value } else { value * late_share });
        }
        if matches!(status, ResponseStatus::Rejected { .. }) {
            peer.last_rejected.set(Some(request_id));
        }
        self.respond_to_followers(slot, status, body);
        if number.is_some_and(|number| self.respond_after_commit(number, slot, &peer, stream, status, body)) {
            return;
        }
        self.write_response(request_id, fingerprint, peer, stream, status, body);
        // The request was never run and never will be.
        let request = self.request(slot);
        if request.run_state == RunState::Idle && !request.has_run {
            request.payload.release();
            // Frees its idempotency key at once: requests shed under overload take no capacity from those that ran.
            if let (Some(idempotency_key), Some(persistence)) =
                (request.idempotency_key.clone(), self.persistence.as_mut())
            {
                persistence.release_key(&idempotency_key, slot, false);
            }
        }
    }

    /// Handles a run that ended without a client: stores its result for retries, and answers the requests that follow
    /// it.
    fn complete_without_client(&mut self, slot: RequestSlot, outcome: Outcome, result: &[u8]) {
        let Some(idempotency_key) = self.request(slot).idempotency_key.clone() else { return };
        let Some(persistence) = self.persistence.as_mut() else { return };
        let status = match outcome {
            Outcome::Succeeded => {
                persistence.record_result(&idempotency_key, result);
                ResponseStatus::Succeeded
            }
            _ => ResponseStatus::Failed(FailureCause::ExecutionFailed), // it may have run in part, so it is no rejection
        };
        self.respond_to_followers(
            slot,
            status,
            if status == ResponseStatus::Succeeded { result } else { b"" },
        );
    }

    fn write_response(
        &mut self,
        request_id: RequestId,
        fingerprint: u64,
        peer: Rc<Peer>,
        stream: u32,
        status: ResponseStatus,
        body: &[u8],
    ) {
        if peer.is_closed.get() {
            add(&self.counters.late_answers);
        } else {
            peer.writer.write_response(
                &peer.outbox,
                stream,
                status,
                body,
                self.server_status.load_feedback.get(),
            );
        }
        // Protects a request that crossed the close of its connection, after this response: it will be sent once more.
        if peer.is_ending() {
            self.save_response(request_id, fingerprint, Some(peer), status, body);
        }
    }

    /// Hands a billing row to the store; returns the number of its batch.
    fn record_billing(&mut self, slot: RequestSlot, body: &[u8]) -> Option<u64> {
        let respond_by = self.respond_by(slot);
        let request = self.requests[slot].as_ref()?;
        let (value, objective, late_share) = self.class_values.get(request.class).copied()?;
        let in_time = self.unix_time - request.arrived_at <= objective;
        let tenant = request.tenant.and_then(|at| self.names.tenants.get(at)).map_or("", String::as_str);
        let row = BillingRow {
            request_id: &request.request_id,
            class: &self.names.classes[request.class],
            tenant,
            billed: if in_time { value } else { value * late_share },
            arrived_at: request.arrived_at,
            completed_at: self.unix_time,
        };
        let persistence = self.persistence.as_mut()?;
        let number = persistence.record_billing(&row, request.idempotency_key.as_deref(), body, respond_by);
        if persistence.has_store() {
            add(if number.is_none() { &self.counters.unrecorded } else { &self.counters.rows });
        }
        number
    }

    /// Sends the same response to the requests that wait for this one's result.
    fn respond_to_followers(&mut self, first: RequestSlot, status: ResponseStatus, body: &[u8]) {
        let Some(persistence) = self.persistence.as_mut() else { return };
        let all = std::mem::take(&mut persistence.followers);
        let (own, others): (Vec<_>, Vec<_>) = all.into_iter().partition(|(known, _)| *known == first);
        persistence.followers = others;
        for (_, slot) in own {
            self.replay_response(slot, status, body);
        }
    }

    /// Answers a retry with the result of a run that has ended. The first client that gets the success is billed for it.
    fn replay_success(&mut self, slot: RequestSlot, run: &CompletedRun) {
        let (status, body) = match run.is_billed {
            true => (ResponseStatus::Succeeded, &run.result[..]),
            false => {
                let (status, body, _) = self.record_success(slot, ResponseStatus::Succeeded, &run.result);
                (status, body)
            }
        };
        self.replay_response(slot, status, body);
    }

    /// Answers a retry with a known result: nothing runs.
    fn replay_response(&mut self, slot: RequestSlot, status: ResponseStatus, body: &[u8]) {
        let Some((peer, stream)) = self.detach_client(slot) else { return };
        add(&self.counters.repeated);
        let OpenRequest { request_id, fingerprint, .. } = *self.request(slot);
        // The result may not be persisted yet: a client that receives it now must receive the same after a restart.
        let idempotency_key = self.request(slot).idempotency_key.clone();
        let batch = self
            .persistence
            .as_ref()
            .zip(idempotency_key)
            .and_then(|(persistence, idempotency_key)| persistence.pending_result(&idempotency_key))
            .filter(|_| status == ResponseStatus::Succeeded);
        if !batch.is_some_and(|number| self.respond_after_commit(number, slot, &peer, stream, status, body)) {
            self.write_response(request_id, fingerprint, peer, stream, status, body);
        }
        self.replayed.push(slot);
    }

    /// Records which of these requests are open in a drain, so that those cut off can be found later.
    fn persist_open_requests(&mut self, slots: Range<RequestSlot>) {
        let Some(persistence) = self.persistence.as_mut() else { return };
        let open = self.requests[slots].iter_mut().flatten().filter(|request| request.client.is_some());
        let names = &self.names;
        persistence.record_open_requests(open.map(|request| {
            request.has_drain_row = true;
            let tenant = request.tenant.and_then(|at| names.tenants.get(at)).map_or("", String::as_str);
            (
                request.request_id,
                format!("{},{tenant},{}", names.classes[request.class], request.arrived_at / 10),
            )
        }));
    }

    /// Removes the row that names a request as open in a drain, where it has one: it is answered, or nobody waits for it.
    fn clear_drain_row(&mut self, slot: RequestSlot) {
        let request = self.request(slot);
        if !std::mem::take(&mut request.has_drain_row) {
            return;
        }
        let request_id = request.request_id;
        if let Some(persistence) = self.persistence.as_mut() {
            persistence.clear_open_request(&request_id);
        }
    }

    // ---- downstream calls ----

    fn cancel_call(&mut self, slot: RequestSlot) {
        let request = self.request(slot);
        let request_id = request.request_id;
        if let Some((number, _)) = request.call.take() {
            self.pending_calls.retain(|call| call.1 != number);
            add(&self.counters.calls_abandoned);
            self.downstream_commands.push(DownstreamCommand::Cancel { request_id });
        }
    }
}

impl Host for CoreHost {
    fn run(&mut self, slot: RequestSlot) {
        add(&self.counters.runs);
        let request = self.request(slot);
        (request.has_run, request.stop_requested) = (true, false);
        let (request_id, idempotency_key) = (request.request_id, request.idempotency_key.clone());
        // A request with an idempotency key runs once its start is on record.
        if let (Some(idempotency_key), Some(persistence)) = (idempotency_key, self.persistence.as_mut()) {
            // Without a retry window there is no entry, and nothing to put on record.
            if persistence.has_store() && persistence.record(&idempotency_key).is_some() {
                match persistence.record_start(&idempotency_key) {
                    Some(number) => persistence.defer(number, DeferredAction::Run(slot, request_id)),
                    None => self.unrecorded_starts.push((slot, request_id)),
                }
                self.request(slot).is_starting = true;
                return;
            }
        }
        self.request(slot).run_state = RunState::Run;
        self.send_command(slot);
    }
    fn reject(&mut self, slot: RequestSlot, rejection: Rejection) {
        // A worker's retry delay is passed on unchanged.
        let own = (rejection.retry_after, rejection.no_retry_elsewhere);
        let (retry_after, no_retry_elsewhere) = self.request(slot).retry_after.unwrap_or(own);
        self.respond(slot, ResponseStatus::Rejected { retry_after, no_retry_elsewhere }, b"");
    }
    fn fail(&mut self, slot: RequestSlot, _: FailReason) {
        self.respond_failed(slot);
    }
    fn stop(&mut self, slot: RequestSlot) {
        add(&self.counters.stops);
        self.request(slot).stop_requested = true;
        if !self.request(slot).is_starting {
            self.send_command(slot);
        }
    }
    fn call(&mut self, slot: RequestSlot, timeout: Time) {
        add(&self.counters.calls);
        self.call_number += 1;
        let (number, now) = (self.call_number, self.now);
        let mut body = self.pool.take();
        let request = self.requests[slot].as_mut().expect("the slot is in use");
        body.push(request.call_body.as_deref().unwrap_or(&[]));
        request.call = Some((number, now));
        let (request_id, class) = (request.request_id, request.class);
        self.pending_calls.insert((now + timeout + CALL_REPLY_MARGIN, number, slot));
        self.downstream_commands.push(DownstreamCommand::Call { request_id, number, class, timeout, body });
    }
    /// Settings that would let the scheduler skip a call or reuse results of other requests are refused at startup.
    fn skip_call(&mut self, _inv: RequestSlot) {
        log!("skipping a downstream call is not supported");
    }
    fn retain_for_retries(&mut self, slot: RequestSlot, span: Time) {
        let request = self.request(slot);
        let (fingerprint, idempotency_key) = (request.fingerprint, request.idempotency_key.clone());
        if let (Some(idempotency_key), Some(persistence)) = (idempotency_key, self.persistence.as_mut()) {
            let expires_at = self.unix_time + span;
            persistence.insert_record(
                idempotency_key.into(),
                IdempotencyRecord { fingerprint, expires_at, state: KeyState::Open(slot) },
            );
        }
    }
    fn replay_result(&mut self, slot: RequestSlot) {
        let Some(idempotency_key) = self.request(slot).idempotency_key.clone() else { return };
        let state = self
            .persistence
            .as_ref()
            .and_then(|persistence| persistence.record(&idempotency_key))
            .map(|record| record.state.clone());
        match state {
            Some(KeyState::Completed(run)) => self.replay_success(slot, &run),
            // The request ran or started to, and its outcome is unknown: it must neither run again nor count as
            // succeeded.
            Some(KeyState::Started) | None => {
                self.replay_response(slot, ResponseStatus::Failed(FailureCause::ExecutionFailed), b"")
            }
            Some(KeyState::Open(first)) => {
                if let Some(persistence) = self.persistence.as_mut() {
                    persistence.followers.push((first, slot));
                }
            }
        }
    }
    fn set_health(&mut self, good: bool, _stored: bool) {
        self.server_status.is_healthy.set(good);
    }
    fn send_load_feedback(&mut self, value: f64) {
        self.server_status.load_feedback.set(Some(value));
    }
    fn close_idle_connections(&mut self, after: Time) {
        self.server_status.idle_timeout.set(Some(after));
    }
    fn set_timer(&mut self, after: Time) {
        self.wake_at = self.now + after;
    }
    fn log(&mut self, event: &SchedulerEvent) {
        log!("{event}");
    }
    /// The only place where a slot and everything attached to it is released.
    fn release(&mut self, slot: RequestSlot) {
        self.respond_failed(slot); // no request is released without a response
        self.cancel_call(slot);
        self.clear_drain_row(slot);
        if let Some(request) = self.requests[slot].take() {
            self.replayed.retain(|replayed| *replayed != slot);
            if let Some(persistence) = self.persistence.as_mut() {
                persistence.followers.retain(|(_, follower)| *follower != slot);
                if let Some(idempotency_key) = &request.idempotency_key {
                    persistence.release_key(idempotency_key, slot, request.has_run);
                }
            }
            // The id may stand for the second copy of the request by now.
            if self.slots_by_id.get(&request.request_id) == Some(&slot) {
                self.slots_by_id.remove(&request.request_id);
            }
            self.free_slots.push(slot);
        }
    }
}
