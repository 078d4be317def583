//! Arriving requests: what is known of each, which are answered at once, held during a policy change or admitted.

use super::executor_link::{ReplyDelivery, RunState};
use super::incoming::{IncomingRequest, Peer, RequestError, ResponseStatus};
use super::persistence::{IdempotencyRecord, KeyState};
use super::resends::{fingerprint, DuplicateCheck};
use super::{Core, CoreHost, OpenRequest};
use crate::clock::MS;
use crate::counters::add;
use cypresscleat_rollout::member::AdmissionPermit;
use cypresscleat_scheduler::{Arrival, EarlierAttempt, Host, RetrySafety, Time};
use std::rc::Rc;

/// Maximum number of open requests on one connection.
const MAX_OPEN_STREAMS: usize = 32;
/// Retry delay for clients while the store can't persist anything and requests must not be served without it.
const STORE_FAILURE_RETRY_AFTER: Time = 1000 * MS;
/// Retry delay for clients while this instance is out of service, or can't hold another request during a policy change.
const OUT_OF_SERVICE_RETRY_AFTER: Time = 1000 * MS;
/// Maximum number of requests held while a policy change pauses admission.
const MAX_HELD_REQUESTS: usize = 256;
/// A held request is rejected this long before its client's timeout.
const HELD_REJECT_MARGIN: Time = 50 * MS;

/// A request that is held while a policy change pauses admission.
pub(super) struct HeldRequest {
    /// When it is rejected at the latest.
    pub(super) deadline: Time,
    held_at: Time,
    peer: Rc<Peer>,
    stream: u32,
    request: IncomingRequest,
}

/// What identifies an arriving request: its content, and the earlier attempt that it repeats.
struct Identity {
    fingerprint: u64,
    earlier_attempt: EarlierAttempt,
}

/// What the gates decide about new work.
enum GateDecision {
    Admit,
    /// A policy change pauses admission.
    Hold,
    Reject {
        retry_after: Time,
    },
    /// The executor is not up yet.
    NotReady,
}

impl Core {
    pub(super) fn handle_arrival(
        &mut self,
        unix_time: Time,
        peer: Rc<Peer>,
        stream: u32,
        request: Result<IncomingRequest, String>,
    ) {
        let host = &mut self.host;
        peer.queued_requests.set(peer.queued_requests.get().saturating_sub(1));
        if peer.is_closed.get() {
            return;
        }
        // The request arrived whole before its connection was ended: a response is owed, a run is not.
        if peer.is_closing.get() {
            if stream > peer.last_stream.replace(stream.max(peer.last_stream.get())) {
                add(&host.counters.errored);
                peer.writer.write_error(&peer.outbox, stream, RequestError::Malformed);
            }
            return;
        }
        let counters = host.counters.clone();
        // Stream numbers increase: on a stream used before, a response could be taken for that of another request.
        if stream <= peer.last_stream.replace(stream.max(peer.last_stream.get())) {
            let what = format!("stream {stream} was used before");
            return peer.close_on_violation(&counters, 0, RequestError::Malformed, &what);
        }
        if peer.open_requests.borrow().len() >= MAX_OPEN_STREAMS {
            return peer.close_on_violation(
                &counters,
                stream,
                RequestError::Malformed,
                "too many open streams",
            );
        }
        let request = match request {
            Ok(request) => request,
            Err(what) => return peer.reject_invalid(&counters, stream, &what),
        };
        let request_id = request.request_id;
        // Each attempt has a new id: a client that sends a rejected id again ignores responses.
        if peer.last_rejected.get() == Some(request_id) {
            return peer.close_on_violation(
                &counters,
                stream,
                RequestError::Malformed,
                "the id of a rejected request",
            );
        }
        // A request that comes later must not overtake one that is held: it could be a retry of it.
        if !self.held_requests.is_empty() && !self.is_holding() {
            self.admit_held(unix_time);
        }
        self.admit(unix_time, peer, stream, request);
    }

    /// Whether a policy change pauses admission.
    fn is_holding(&self) -> bool {
        self.host.gate.as_ref().is_some_and(|gate| gate.permit() == AdmissionPermit::Hold)
    }

    /// Evaluates the held requests again, in their order of arrival.
    pub(super) fn admit_held(&mut self, unix_time: Time) {
        for held in std::mem::take(&mut self.held_requests) {
            let HeldRequest { held_at, peer, stream, mut request, .. } = held;
            peer.queued_requests.set(peer.queued_requests.get().saturating_sub(1));
            // The client has waited meanwhile.
            let waited = self.host.now - held_at;
            request.remaining_timeout = request.remaining_timeout.map(|timeout| (timeout - waited).max(0));
            match (peer.is_closed.get(), peer.is_closing.get()) {
                (true, _) => {}
                (false, true) => peer.writer.write_error(&peer.outbox, stream, RequestError::Malformed),
                (false, false) => self.admit(unix_time, peer, stream, request),
            }
        }
    }

    /// Limits the time of the held requests: a drain answers them before the process is stopped.
    pub(super) fn limit_held(&mut self, deadline: Time) {
        for held in &mut self.held_requests {
            held.deadline = held.deadline.min(deadline);
        }
    }

    /// Admits a request, which then is an open request, or answers it at once.
    ///
    /// What became of an earlier attempt is asked before any gate is: a gate rejects, which promises that the request
    /// has not run, so it must see new work alone.
    fn admit(&mut self, unix_time: Time, peer: Rc<Peer>, stream: u32, request: IncomingRequest) {
        let Some(identity) = self.identify(unix_time, &peer, stream, &request) else { return };
        if self.replays_earlier_attempt(request.class, identity.earlier_attempt) {
            self.ask_policy_gate(&request);
        } else {
            match self.check_gates(unix_time, &request) {
                GateDecision::Admit => {}
                GateDecision::Hold => return self.hold(unix_time, peer, stream, request),
                GateDecision::Reject { retry_after } => {
                    return self.host.reject_before_admission(&peer, stream, retry_after)
                }
                GateDecision::NotReady => {
                    let what = "a request before the kernel is up";
                    let counters = &self.host.counters;
                    return peer.reject_malformed(counters, stream, RequestError::NotReady, what);
                }
            }
        }
        add(&self.host.counters.invocations);
        self.open(unix_time, peer, stream, request, identity);
    }

    /// Whether requests of a class run at most once under an idempotency key.
    fn requires_key(&self, class: usize) -> bool {
        let class = self.settings.classes.get(class);
        class.is_some_and(|class| class.retry_safety == RetrySafety::IdempotencyKey)
    }

    /// Finds the earlier attempt of a request under its idempotency key. Returns `None` where nothing more is to be done:
    /// the request is invalid, or a second copy of a request that is open or answered.
    fn identify(
        &mut self,
        unix_time: Time,
        peer: &Rc<Peer>,
        stream: u32,
        request: &IncomingRequest,
    ) -> Option<Identity> {
        let counters = self.host.counters.clone();
        let requires_key = self.requires_key(request.class);
        if requires_key && request.idempotency_key.is_none() {
            peer.reject_invalid(&counters, stream, "the request class requires an idempotency key");
            return None;
        }
        let host = &mut self.host;
        let fingerprint = fingerprint(request.class, request.body());
        // A request under a known key is a retry if its fingerprint matches.
        let arrived_at = request.arrived_at.min(unix_time);
        let idempotency_key = request.idempotency_key.as_deref().filter(|_| requires_key);
        let known = idempotency_key.and_then(|idempotency_key| {
            host.persistence.as_ref()?.find_repeated(idempotency_key, arrived_at)
        });
        let earlier_attempt = match known {
            None => EarlierAttempt::None,
            Some(record) if record.fingerprint != fingerprint => {
                let what = "the idempotency key of another request";
                peer.reject_malformed(&counters, stream, RequestError::Malformed, what);
                return None;
            }
            Some(IdempotencyRecord { state: KeyState::Open(first), .. }) => EarlierAttempt::Known(*first),
            Some(_) => EarlierAttempt::Released,
        };
        let scheduler = self.scheduler.as_ref();
        let is_open = |slot| scheduler.is_some_and(|scheduler| scheduler.is_open(slot));
        match host.check_duplicate(request.request_id, fingerprint, peer, stream, is_open) {
            DuplicateCheck::New => Some(Identity { fingerprint, earlier_attempt }),
            DuplicateCheck::SameRequest => None,
            DuplicateCheck::Conflict => {
                peer.close_on_violation(
                    &counters,
                    stream,
                    RequestError::Malformed,
                    "the id of another invocation",
                );
                self.fail_open_requests(peer);
                None
            }
        }
    }

    /// Whether a request gets the result of its earlier attempt, which runs or has run, and doesn't run itself.
    fn replays_earlier_attempt(&self, class: usize, earlier_attempt: EarlierAttempt) -> bool {
        match &self.scheduler {
            Some(scheduler) => scheduler.retries_without_running(class, earlier_attempt),
            // Before the executor is up only results of the process before are known.
            None => earlier_attempt != EarlierAttempt::None,
        }
    }

    /// Asks each gate whether a request that is new work may be admitted now.
    fn check_gates(&self, unix_time: Time, request: &IncomingRequest) -> GateDecision {
        let host = &self.host;
        if let Some(persistence) = &host.persistence {
            if persistence.is_failing && persistence.reject_on_failure {
                return GateDecision::Reject { retry_after: STORE_FAILURE_RETRY_AFTER };
            }
        }
        if let Some(expires_at) = self.full_key_table_until(request) {
            add(&host.counters.tokens_refused);
            let retry_after = (expires_at - unix_time).clamp(MS, self.settings.max_retry_after.max(MS));
            return GateDecision::Reject { retry_after };
        }
        if self.scheduler.is_none() {
            return GateDecision::NotReady;
        }
        match self.ask_policy_gate(request) {
            None | Some(AdmissionPermit::Admit(_)) => GateDecision::Admit,
            Some(AdmissionPermit::Hold) if self.held_requests.len() < MAX_HELD_REQUESTS => GateDecision::Hold,
            Some(AdmissionPermit::Hold | AdmissionPermit::Deny) => {
                add(&host.counters.policy_refused);
                GateDecision::Reject { retry_after: OUT_OF_SERVICE_RETRY_AFTER }
            }
        }
    }

    /// Asks the gate of the fleet's policy, where there is one, and counts a request that passes it.
    fn ask_policy_gate(&self, request: &IncomingRequest) -> Option<AdmissionPermit> {
        let gate = self.host.gate.as_ref()?;
        let permit = gate.admit(&request.request_id);
        if matches!(permit, AdmissionPermit::Admit(_)) {
            gate.count_request();
        }
        Some(permit)
    }

    /// When the next idempotency key expires, where this request needs an entry and the table has none left. Protects
    /// against a second run: a key that is not stored could not be recognized on a retry. The limit hurts where more
    /// keys arrive within their window than the table can hold.
    fn full_key_table_until(&self, request: &IncomingRequest) -> Option<Time> {
        let persistence = self.host.persistence.as_ref()?;
        let idempotency_key = request.idempotency_key.as_deref()?;
        let needs_entry = self.requires_key(request.class) && persistence.record(idempotency_key).is_none();
        persistence.full_until().filter(|_| needs_entry)
    }

    /// Holds a request until the policy change that pauses admission is over.
    fn hold(&mut self, unix_time: Time, peer: Rc<Peer>, stream: u32, request: IncomingRequest) {
        add(&self.host.counters.policy_held);
        peer.queued_requests.set(peer.queued_requests.get() + 1); // counts as queued, so that its connection stays open
        let class = self.settings.classes.get(request.class);
        let remaining_timeout = request.remaining_timeout.or(class.map(|class| class.timeout));
        let held_at = self.host.now;
        let client_deadline =
            held_at + remaining_timeout.unwrap_or(0) - (unix_time - request.arrived_at).max(0);
        let deadline =
            (client_deadline - HELD_REJECT_MARGIN).min(self.host.drain_deadline.unwrap_or(Time::MAX));
        self.held_requests.push_back(HeldRequest { deadline, held_at, peer, stream, request });
    }

    /// Opens a request and hands it to the scheduler. Before the executor is up there is none, and the request is one
    /// whose result the process before has stored.
    fn open(
        &mut self,
        unix_time: Time,
        peer: Rc<Peer>,
        stream: u32,
        request: IncomingRequest,
        Identity { fingerprint, earlier_attempt }: Identity,
    ) {
        let requires_key = self.requires_key(request.class);
        let host = &mut self.host;
        let request_id = request.request_id;
        let mut arrival = Arrival {
            class: request.class,
            tenant: request.tenant,
            remaining_timeout: request.remaining_timeout,
            client_priority: request.client_priority,
            earlier_attempt,
            has_idempotency_key: request.has_item || requires_key,
            time_unread: (unix_time - request.arrived_at).max(0),
            expected_work: request.expected_work,
            memory_kb: request.memory_kb,
            ..Arrival::default()
        };
        arrival.slot = host.insert(OpenRequest {
            request_id,
            client: None,
            class: request.class,
            fingerprint,
            payload: request.bytes,
            body: request.body,
            run_state: RunState::Idle,
            stop_requested: false,
            command_number: 0,
            reply_delivery: ReplyDelivery::NotWritten,
            call_body: None,
            call: None,
            call_failed: false,
            tenant: request.tenant,
            arrived_at: request.arrived_at,
            // A key that comes with a class which knows none must not stand for another request's entry.
            idempotency_key: request.idempotency_key.filter(|_| requires_key),
            is_starting: false,
            has_run: false,
            is_frame_payload: request.is_frame_payload,
            deadline: host.now
                + request.remaining_timeout.unwrap_or_else(|| {
                    self.settings.classes[request.class].timeout - (unix_time - request.arrived_at).max(0)
                }),
            subject: request.subject,
            retry_after: None,
            client_priority: request.client_priority,
            expected_work: request.expected_work,
            memory_kb: request.memory_kb,
            has_drain_row: false,
        });
        let slot = arrival.slot;
        host.attach_client(slot, peer, stream);
        let Some(scheduler) = self.scheduler.as_mut() else {
            host.replay_result(slot);
            return host.release(slot);
        };
        scheduler.handle_arrival(host.now, arrival, host);
        if host.is_draining && host.slots_by_id.get(&request_id) == Some(&slot) {
            host.persist_open_requests(slot..slot + 1);
        }
    }

    /// Rejects the held requests whose time is over. Protects the client's timeout from a slow policy change: no request
    /// is held past it.
    pub(super) fn expire_held(&mut self, now: Time) {
        for at in (0..self.held_requests.len())
            .rev()
            .filter(|at| self.held_requests[*at].deadline <= now)
            .collect::<Vec<_>>()
        {
            let Some(HeldRequest { peer, stream, .. }) = self.held_requests.remove(at) else { continue };
            peer.queued_requests.set(peer.queued_requests.get().saturating_sub(1));
            if !peer.is_closed.get() {
                add(&self.host.counters.policy_refused);
                self.host.write_rejection(&peer, stream, OUT_OF_SERVICE_RETRY_AFTER);
            }
        }
    }

    /// Withdraws a held request whose client has left.
    pub(super) fn withdraw_held(&mut self, peer: &Rc<Peer>, stream: u32) {
        let held = |held: &HeldRequest| Rc::ptr_eq(&held.peer, peer) && held.stream == stream;
        if let Some(at) = self.held_requests.iter().position(held) {
            self.held_requests.remove(at);
            peer.queued_requests.set(peer.queued_requests.get().saturating_sub(1));
            add(&self.host.counters.caller_left);
        }
    }
}

impl CoreHost {
    /// Rejects a request before it reaches the scheduler. It counts as an incoming request, as each answered request
    /// does.
    fn reject_before_admission(&self, peer: &Peer, stream: u32, retry_after: Time) {
        add(&self.counters.invocations);
        self.write_rejection(peer, stream, retry_after);
    }

    fn write_rejection(&self, peer: &Peer, stream: u32, retry_after: Time) {
        add(&self.counters.throttled);
        let status = ResponseStatus::Rejected { retry_after, no_retry_elsewhere: false };
        peer.writer.write_response(&peer.outbox, stream, status, b"", self.server_status.load_feedback.get());
    }
}
