//! Requests that cross the end of their connection and are sent once more: which request a second copy belongs to, and the
//! responses that are kept for it.

use super::incoming::{FailureCause, Peer, RequestId, ResponseStatus};
use super::{CoreHost, OpenRequest};
use crate::clock::MS;
use crate::counters::add;
use crate::pool::Buf;
use cypresscleat_scheduler::{Outcome, RequestSlot, Time};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

/// Responses written to a closing connection are saved for this long, since the request may be sent again. At most
/// `MAX_SAVED_BODIES` are saved with their bodies; beyond those, up to `MAX_SAVED_RESPONSES` in all, only the fact that
/// they were sent is remembered.
const RESEND_WINDOW: Time = 1000 * MS;
const MAX_SAVED_BODIES: usize = 64;
const MAX_SAVED_RESPONSES: usize = 4096;

/// A response that was sent, or would have been, kept for a second copy of its request.
pub(super) struct SentResponse {
    request_id: RequestId,
    fingerprint: u64,
    /// The connection that the response was written to last; `None` where the client had left before.
    peer: Option<Rc<Peer>>,
    pub(super) expires_at: Time,
    status: ResponseStatus,
    body: Buf,
}

/// Result of looking up a request id: new, the same request again, or the id of another known request.
pub(super) enum DuplicateCheck {
    New,
    SameRequest,
    Conflict,
}

/// Two requests with the same id are the same request if their fingerprints are equal.
pub fn fingerprint(class: usize, body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    (class, body).hash(&mut hasher);
    hasher.finish()
}

impl CoreHost {
    /// Handles a request that crossed the close of its connection and was sent once more. Under the id of an open or
    /// answered request it is the same request if its fingerprint matches and its first connection was closing. It does
    /// not run again; the response goes to the connection that sent it last, at most once to each connection. No other
    /// client receives a response by naming its id.
    ///
    /// A request that has finished, and whose entry is only retained for its idempotency key, has nothing more to come:
    /// its second copy gets the response that was sent, or else is new and found again by its key.
    pub(super) fn check_duplicate(
        &mut self,
        request_id: RequestId,
        fingerprint: u64,
        peer: &Rc<Peer>,
        stream: u32,
        is_open: impl Fn(RequestSlot) -> bool,
    ) -> DuplicateCheck {
        if let Some(slot) = self.slots_by_id.get(&request_id).copied() {
            let request = self.request(slot);
            if request.fingerprint != fingerprint
                || request.client.as_ref().is_some_and(|(first, _)| !first.is_ending())
            {
                return DuplicateCheck::Conflict;
            }
            if is_open(slot) {
                add(&self.counters.resent);
                self.detach_client(slot);
                self.attach_client(slot, peer.clone(), stream);
                return DuplicateCheck::SameRequest;
            }
        }
        if let Some(check) = self.redirect_deferred_response(&request_id, fingerprint, peer, stream) {
            return check;
        }
        let Some(response) =
            self.sent_responses.iter_mut().find(|response| response.request_id == request_id)
        else {
            return DuplicateCheck::New;
        };
        if response.fingerprint != fingerprint {
            return DuplicateCheck::Conflict;
        }
        add(&self.counters.resent);
        if !response.peer.as_ref().is_some_and(|first| Rc::ptr_eq(first, peer)) {
            peer.writer.write_response(
                &peer.outbox,
                stream,
                response.status,
                &response.body,
                self.server_status.load_feedback.get(),
            );
            response.peer = Some(peer.clone());
        }
        DuplicateCheck::SameRequest
    }

    /// Sends a response that waits for the store to the connection on which its request came once more.
    fn redirect_deferred_response(
        &mut self,
        request_id: &RequestId,
        fingerprint: u64,
        peer: &Rc<Peer>,
        stream: u32,
    ) -> Option<DuplicateCheck> {
        let response = self.persistence.as_mut()?.deferred_response(request_id)?;
        if response.fingerprint != fingerprint || !response.peer.is_ending() {
            return Some(DuplicateCheck::Conflict);
        }
        add(&self.counters.resent);
        let first = std::mem::replace(&mut response.peer, peer.clone());
        response.stream = stream;
        first.queued_requests.set(first.queued_requests.get().saturating_sub(1));
        first.outbox.wake.notify_one();
        peer.queued_requests.set(peer.queued_requests.get() + 1);
        Some(DuplicateCheck::SameRequest)
    }

    /// Saves the end of a run whose client has left. Protects a non-idempotent request that crossed the close of its
    /// connection from a second run: it has no key, and will be sent once more.
    pub(super) fn save_for_resend(&mut self, slot: RequestSlot, outcome: Outcome, result: &[u8]) {
        let OpenRequest { request_id, fingerprint, .. } = *self.request(slot);
        let (status, body) = match outcome {
            Outcome::NotStarted => return,
            Outcome::Succeeded => (ResponseStatus::Succeeded, result),
            _ => (ResponseStatus::Failed(FailureCause::ExecutionFailed), &b""[..]),
        };
        self.save_response(request_id, fingerprint, None, status, body);
    }

    pub(super) fn save_response(
        &mut self,
        request_id: RequestId,
        fingerprint: u64,
        peer: Option<Rc<Peer>>,
        status: ResponseStatus,
        body: &[u8],
    ) {
        let mut saved_body = self.pool.take();
        saved_body.push(body);
        let expires_at = self.now + RESEND_WINDOW;
        self.sent_responses.push_back(SentResponse {
            request_id,
            fingerprint,
            peer,
            expires_at,
            status,
            body: saved_body,
        });
        // Bounds the memory when many clients close at once, and prevents a second run: a request whose saved body
        // was released fails when it is sent again.
        if let Some(at) = self.sent_responses.len().checked_sub(MAX_SAVED_BODIES + 1) {
            let old = &mut self.sent_responses[at];
            old.body.release();
            if old.status == ResponseStatus::Succeeded {
                old.status = ResponseStatus::Failed(FailureCause::ExecutionFailed);
            }
        }
        if self.sent_responses.len() > MAX_SAVED_RESPONSES {
            self.sent_responses.pop_front();
        }
    }
}
