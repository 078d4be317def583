//! Arriving requests: what is known of each, which are answered at once, held during a policy change or admitted.

use super::executor_link::{ReplyDelivery, RunState};
use super::incoming::{IncomingRequest, Peer, RequestError, ResponseStatus};
use super::persistence::{IdempotencyRecord, KeyState, Persistence};
use super::resends::{fingerprint, DuplicateCheck};
use super::{Core, CoreHost, OpenRequest};
use crate::clock::MS;
use crate::counters::add;
use cypresscleat_rollout::member::AdmissionPermit;
use cypresscleat_scheduler::{Arrival, EarlierAttempt, RetrySafety, Time};
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

/// A request that is held while a policy change pauses admission: when it is rejected at the latest, its connection and
/// stream, and the request.
pub(super) type HeldRequest = (Time, Rc<Peer>, u32, IncomingRequest);

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
        self.admit(unix_time, peer, stream, request);
    }

    /// Evaluates the held requests again, in their order of arrival.
    pub(super) fn admit_held(&mut self, unix_time: Time) {
        for (_, peer, stream, request) in std::mem::take(&mut self.held_requests) {
            peer.queued_requests.set(peer.queued_requests.get().saturating_sub(1));
            match (peer.is_closed.get(), peer.is_closing.get()) {
                (true, _) => {}
                (false, true) => peer.writer.write_error(&peer.outbox, stream, RequestError::Malformed),
                (false, false) => self.admit(unix_time, peer, stream, request),
            }
        }
    }

    /// Admits a request, which then is an open request, or answers it at once.
    fn admit(&mut self, unix_time: Time, peer: Rc<Peer>, stream: u32, request: IncomingRequest) {
        let host = &mut self.host;
        let counters = host.counters.clone();
        let request_id = request.request_id;
        let fingerprint = fingerprint(request.class, request.body());
        let requires_key = self
            .settings
            .classes
            .get(request.class)
            .is_some_and(|class| class.retry_safety == RetrySafety::IdempotencyKey);
        if requires_key && request.idempotency_key.is_none() {
            return peer.reject_invalid(&counters, stream, "the request class requires an idempotency key");
        }
        if host
            .persistence
            .as_ref()
            .is_some_and(|persistence| persistence.is_failing && persistence.reject_on_failure)
        {
            return host.reject_before_admission(&peer, stream, STORE_FAILURE_RETRY_AFTER);
        }
        // Protects the table of idempotency keys: a key that is not stored could not be recognized on a retry, and its
        // request would run twice. The limit hurts where more keys arrive within their window than the table can hold.
        let is_new = |persistence: &Persistence| {
            request
                .idempotency_key
                .as_deref()
                .is_some_and(|idempotency_key| persistence.record(idempotency_key).is_none())
        };
        let full_until = host
            .persistence
            .as_ref()
            .filter(|persistence| requires_key && is_new(persistence))
            .and_then(Persistence::full_until);
        if let Some(expires_at) = full_until {
            add(&counters.tokens_refused);
            let retry_after = (expires_at - unix_time).clamp(MS, self.settings.max_retry_after.max(MS));
            return host.reject_before_admission(&peer, stream, retry_after);
        }
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
                return peer.reject_malformed(&counters, stream, RequestError::Malformed, what);
            }
            Some(IdempotencyRecord { state: KeyState::Open(first), .. }) => EarlierAttempt::Known(*first),
            Some(_) => EarlierAttempt::Released,
        };
        let scheduler = self.scheduler.as_ref();
        let is_open = |slot| scheduler.is_some_and(|scheduler| scheduler.is_open(slot));
        match host.check_duplicate(request_id, fingerprint, &peer, stream, is_open) {
            DuplicateCheck::New => {}
            DuplicateCheck::SameRequest => return,
            DuplicateCheck::Conflict => {
                peer.close_on_violation(
                    &counters,
                    stream,
                    RequestError::Malformed,
                    "the id of another invocation",
                );
                return self.fail_open_requests(&peer);
            }
        }
        let Some(scheduler) = self.scheduler.as_mut() else {
            let what = "a request before the kernel is up";
            return peer.reject_malformed(&counters, stream, RequestError::NotReady, what);
        };
        if let Some(gate) = &host.gate {
            match gate.admit(&request_id) {
                AdmissionPermit::Admit(_) => gate.count_request(),
                AdmissionPermit::Hold if self.held_requests.len() < MAX_HELD_REQUESTS => {
                    add(&host.counters.policy_held);
                    peer.queued_requests.set(peer.queued_requests.get() + 1); // counts as queued, so that its connection stays open
                    let remaining_timeout = request.remaining_timeout.or(self
                        .settings
                        .classes
                        .get(request.class)
                        .map(|class| class.timeout));
                    let deadline = host.now + remaining_timeout.unwrap_or(0)
                        - (unix_time - request.arrived_at).max(0)
                        - HELD_REJECT_MARGIN;
                    return self.held_requests.push_back((deadline, peer, stream, request));
                }
                _ => {
                    add(&host.counters.policy_refused);
                    return host.reject_before_admission(&peer, stream, OUT_OF_SERVICE_RETRY_AFTER);
                }
            }
        }
        add(&host.counters.invocations);
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
            payload: request.bytes,
            body: request.body,
            fingerprint,
            run_state: RunState::Idle,
            stop_requested: false,
            command_number: 0,
            reply_delivery: ReplyDelivery::NotWritten,
            call_body: None,
            call: None,
            call_failed: false,
            tenant: request.tenant,
            arrived_at: request.arrived_at,
            idempotency_key: request.idempotency_key,
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
            .filter(|at| self.held_requests[*at].0 <= now)
            .collect::<Vec<_>>()
        {
            let Some((_, peer, stream, _)) = self.held_requests.remove(at) else { continue };
            peer.queued_requests.set(peer.queued_requests.get().saturating_sub(1));
            if !peer.is_closed.get() {
                add(&self.host.counters.policy_refused);
                add(&self.host.counters.throttled);
                let status = ResponseStatus::Rejected {
                    retry_after: OUT_OF_SERVICE_RETRY_AFTER,
                    no_retry_elsewhere: false,
                };
                peer.writer.write_response(
                    &peer.outbox,
                    stream,
                    status,
                    b"",
                    self.host.server_status.load_feedback.get(),
                );
            }
        }
    }

    /// Withdraws a held request whose client has left.
    pub(super) fn withdraw_held(&mut self, peer: &Rc<Peer>, stream: u32) {
        let held =
            |held: &(Time, Rc<Peer>, u32, IncomingRequest)| Rc::ptr_eq(&held.1, peer) && held.2 == stream;
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
        add(&self.counters.throttled);
        let status = ResponseStatus::Rejected { retry_after, no_retry_elsewhere: false };
        peer.writer.write_response(&peer.outbox, stream, status, b"", self.server_status.load_feedback.get());
    }
}
