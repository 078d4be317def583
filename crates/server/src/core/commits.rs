//! What waits for the store: responses until their billing rows are persisted, and runs until their start is on record.

use super::executor_link::RunState;
use super::incoming::{FailureCause, Peer, ResponseStatus};
use super::persistence::{DeferredAction, DeferredResponse};
use super::{Core, CoreHost, OpenRequest};
use crate::counters::add;
use crate::log;
use cypresscleat_scheduler::{Outcome, RequestSlot};
use std::rc::Rc;

impl Core {
    /// Handles finished batches of the store: deferred responses are sent, and requests with an idempotency key run.
    pub(super) fn handle_persisted(&mut self, acknowledged_through: u64, failure: Option<String>) {
        let Some(persistence) = self.host.persistence.as_mut() else { return };
        let actions = persistence.acknowledge(acknowledged_through);
        let reject_on_failure = persistence.reject_on_failure;
        if std::mem::replace(&mut persistence.is_failing, failure.is_some()) != failure.is_some() {
            match &failure {
                Some(what) => {
                    log!(
                        "store: {what}; {}",
                        if reject_on_failure { "nothing is taken" } else { "served unrecorded" }
                    )
                }
                None => log!("store: it keeps again"),
            }
        }
        for action in actions {
            match action {
                DeferredAction::Respond(mut response) => {
                    let lost = failure.is_some();
                    if lost && reject_on_failure {
                        response.status = ResponseStatus::Failed(FailureCause::ExecutionFailed);
                    }
                    add(if lost { &self.host.counters.unrecorded } else { &self.host.counters.recorded });
                    self.host.write_deferred_response(response);
                }
                DeferredAction::Run(slot, request_id) => {
                    let is_open = self.host.slots_by_id.get(&request_id) == Some(&slot);
                    if !is_open || !std::mem::take(&mut self.host.request(slot).is_starting) {
                        continue;
                    }
                    if failure.is_some() || self.host.request(slot).stop_requested {
                        // The request never ran: its key must not be recorded as started.
                        let empty = self.host.pool.take();
                        self.host.request(slot).has_run = false;
                        self.handle_run_completed(
                            slot,
                            if failure.is_some() { Outcome::NotStarted } else { Outcome::Cancelled },
                            empty,
                        );
                    } else {
                        self.host.request(slot).run_state = RunState::Run;
                        self.host.send_command(slot);
                    }
                }
            }
        }
    }
}

impl CoreHost {
    /// Defers a response until a batch is finished, where responses wait for the commit. Returns false where they don't.
    pub(super) fn respond_after_commit(
        &mut self,
        number: u64,
        slot: RequestSlot,
        peer: &Rc<Peer>,
        stream: u32,
        status: ResponseStatus,
        body: &[u8],
    ) -> bool {
        if !self.persistence.as_ref().is_some_and(|persistence| persistence.respond_after_commit) {
            return false;
        }
        // The response counts as queued, so that its connection stays open.
        peer.queued_requests.set(peer.queued_requests.get() + 1);
        self.pending_responses += 1;
        let mut saved_body = self.pool.take();
        saved_body.push(body);
        let OpenRequest { request_id, fingerprint, .. } = *self.request(slot);
        let (peer, body) = (peer.clone(), saved_body);
        let response = DeferredResponse { request_id, fingerprint, peer, stream, status, body };
        if let Some(persistence) = self.persistence.as_mut() {
            // Followers wait for the same batch, which is the last one sent.
            persistence.defer(number, DeferredAction::Respond(response));
        }
        true
    }

    /// Writes a response that waited for its billing row.
    fn write_deferred_response(&mut self, response: DeferredResponse) {
        let DeferredResponse { request_id, fingerprint, peer, stream, status, body } = response;
        peer.queued_requests.set(peer.queued_requests.get().saturating_sub(1));
        self.pending_responses -= 1;
        self.write_response(request_id, fingerprint, peer.clone(), stream, status, &body);
        peer.outbox.wake.notify_one();
    }
}
