//! What waits for the store: responses until their billing rows are persisted, and runs until their start is on record.

use super::executor_link::RunState;
use super::incoming::{FailureCause, Peer, RequestId, ResponseStatus};
use super::persistence::{DeferredAction, DeferredResponse, Persistence};
use super::{Core, CoreHost, OpenRequest};
use crate::counters::add;
use cypresscleat_scheduler::{Outcome, RequestSlot, Time};
use std::rc::Rc;

impl Core {
    /// Handles finished batches of the store: deferred responses are sent, and requests with an idempotency key run.
    pub(super) fn handle_persisted(&mut self, acknowledged_through: u64, failure: Option<String>) {
        let Some(persistence) = self.host.persistence.as_mut() else { return };
        let actions = persistence.acknowledge(acknowledged_through, failure.is_some());
        persistence.set_failing(failure.as_deref());
        for action in actions {
            match action {
                DeferredAction::Respond(response) if failure.is_none() => {
                    add(&self.host.counters.recorded);
                    self.host.write_deferred_response(response);
                }
                DeferredAction::Respond(response) => self.host.write_unrecorded_response(response),
                DeferredAction::Run(slot, request_id) => {
                    let is_open = self.host.slots_by_id.get(&request_id) == Some(&slot);
                    if failure.is_some() {
                        self.cancel_start(slot, &request_id, Outcome::NotStarted);
                    } else if is_open && self.host.request(slot).stop_requested {
                        self.cancel_start(slot, &request_id, Outcome::Cancelled);
                    } else if is_open && std::mem::take(&mut self.host.request(slot).is_starting) {
                        self.host.request(slot).run_state = RunState::Run;
                        self.host.send_command(slot);
                    }
                }
            }
        }
    }

    /// Ends a run that waited for its start to be put on record and never begins: its key must not be recorded as
    /// started.
    pub(super) fn cancel_start(&mut self, slot: RequestSlot, request_id: &RequestId, outcome: Outcome) {
        let is_open = self.host.slots_by_id.get(request_id) == Some(&slot);
        if !is_open || !std::mem::take(&mut self.host.request(slot).is_starting) {
            return;
        }
        let empty = self.host.pool.take();
        self.host.request(slot).has_run = false;
        self.handle_run_completed(slot, outcome, empty);
    }
}

impl CoreHost {
    /// Records a success in the store. Returns the response, and the number of the batch that has its row. A success that
    /// the store doesn't take is no success where nothing may be served unrecorded.
    pub(super) fn record_success<'a>(
        &mut self,
        slot: RequestSlot,
        status: ResponseStatus,
        body: &'a [u8],
    ) -> (ResponseStatus, &'a [u8], Option<u64>) {
        if status != ResponseStatus::Succeeded {
            return (status, body, None);
        }
        let number = self.record_billing(slot, body);
        let has_store = self.persistence.as_ref().is_some_and(Persistence::has_store);
        match self.unrecorded_status() {
            status @ ResponseStatus::Failed(_) if has_store && number.is_none() => (status, b"", None),
            _ => (status, body, number),
        }
    }

    /// What the client of a success gets that is not recorded.
    fn unrecorded_status(&self) -> ResponseStatus {
        match self.persistence.as_ref().is_some_and(|persistence| persistence.reject_on_failure) {
            true => ResponseStatus::Failed(FailureCause::ExecutionFailed),
            false => ResponseStatus::Succeeded,
        }
    }

    /// When the response to a request is sent at the latest: at its client's timeout, or before the stop of a drain.
    pub(super) fn respond_by(&mut self, slot: RequestSlot) -> Time {
        self.drain_deadline.unwrap_or(Time::MAX).min(self.request(slot).deadline)
    }

    /// Sends the deferred responses whose time is over, although the store has not persisted their rows.
    pub(super) fn release_overdue_responses(&mut self) {
        let Some(persistence) = self.persistence.as_mut() else { return };
        let overdue = persistence.take_overdue(self.now);
        if overdue.is_empty() {
            return;
        }
        persistence.set_failing(Some("the disk does not answer in time"));
        overdue.into_iter().for_each(|response| self.write_unrecorded_response(response));
    }

    /// Sets the time by which all responses must be sent in a drain.
    pub(super) fn set_drain_deadline(&mut self, deadline: Time) {
        self.drain_deadline = Some(deadline);
        if let Some(persistence) = self.persistence.as_mut() {
            persistence.respond_all_by(deadline);
        }
    }

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
        let respond_by = self.respond_by(slot);
        let response = DeferredResponse { request_id, fingerprint, peer, stream, status, body, respond_by };
        if let Some(persistence) = self.persistence.as_mut() {
            persistence.defer(number, DeferredAction::Respond(response));
        }
        true
    }

    /// Writes a response whose billing row is not persisted.
    fn write_unrecorded_response(&mut self, response: DeferredResponse) {
        add(&self.counters.unrecorded);
        let status = self.unrecorded_status();
        self.write_deferred_response(DeferredResponse { status, ..response });
    }

    /// Writes a response that waited for its billing row.
    fn write_deferred_response(&mut self, response: DeferredResponse) {
        let DeferredResponse { request_id, fingerprint, peer, stream, status, body, .. } = response;
        peer.queued_requests.set(peer.queued_requests.get().saturating_sub(1));
        self.pending_responses -= 1;
        self.write_response(request_id, fingerprint, peer.clone(), stream, status, &body);
        peer.outbox.wake.notify_one();
    }
}
