//! The core's state that outlives a request: idempotency keys with their results, and, with a store, billing rows and
//! the requests open at a drain, which outlive the process too. Performs no I/O: batches of writes go out, and
//! acknowledgements of the store come in. The key of a row begins with `b/` (billing), `t/` (idempotency key) or `o/`
//! (open request).

use super::incoming::{Peer, RequestId, ResponseStatus};
use crate::clock::MS;
use crate::log;
use crate::pool::Buf;
use cypresscleat_scheduler::{RequestSlot, Time};
use cypresscleat_store::disk::Disk;
use cypresscleat_store::{Result, Store};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use std::sync::mpsc::SyncSender;

/// Writes that are persisted together in one commit.
pub struct WriteBatch {
    pub number: u64,
    pub writes: Vec<(Vec<u8>, Option<Vec<u8>>)>,
    /// When the batch and all before it must be committed at the latest, in the time of the core's clock: a response
    /// waits for them. `None` where none does.
    pub commit_by: Option<Time>,
}

/// Maximum size of all results in memory, in bytes. A request beyond it is known to have run, but its result is not
/// retained.
const MAX_RESULT_BYTES: usize = 4 << 20;
/// Maximum number of idempotency keys known at once. A retry under a key beyond it could not be recognized, so requests
/// with new keys are rejected until an entry expires.
const MAX_IDEMPOTENCY_KEYS: usize = 4096;

#[derive(Clone, Debug, PartialEq)]
pub enum KeyState {
    /// The scheduler knows the request under this slot.
    Open(RequestSlot),
    /// The run has started, and its outcome is not known: it may have had its effect.
    Started,
    Completed(CompletedRun),
}

/// A run that has succeeded.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedRun {
    pub result: Vec<u8>,
    /// A billing row stands for this success. There is none while no client has got it.
    pub is_billed: bool,
}

/// Tags of a stored record: the run has started, has succeeded and is billed, has succeeded and is not billed.
const STARTED_TAG: u8 = 0;
const BILLED_TAG: u8 = 1;
const UNBILLED_TAG: u8 = 2;

#[derive(Clone, Debug, PartialEq)]
pub struct IdempotencyRecord {
    /// Fingerprint of the request, to tell it from another under the same key.
    pub fingerprint: u64,
    /// Unix time, in tenths of a millisecond, until which a retry may arrive.
    pub expires_at: Time,
    pub state: KeyState,
}

impl IdempotencyRecord {
    fn encode(&self) -> Vec<u8> {
        let mut out = self.fingerprint.to_le_bytes().to_vec();
        out.extend(self.expires_at.to_le_bytes());
        match &self.state {
            KeyState::Completed(run) => {
                out.push(if run.is_billed { BILLED_TAG } else { UNBILLED_TAG });
                out.extend(&run.result);
            }
            KeyState::Open(_) | KeyState::Started => out.push(STARTED_TAG),
        }
        out
    }

    /// Reads a stored record; `None` where it can't be one.
    pub fn decode(bytes: &[u8]) -> Option<IdempotencyRecord> {
        let (fingerprint, rest) = bytes.split_at_checked(8)?;
        let (expires_at, rest) = rest.split_at_checked(8)?;
        let (tag, result) = rest.split_first()?;
        Some(IdempotencyRecord {
            fingerprint: u64::from_le_bytes(fingerprint.try_into().ok()?),
            expires_at: Time::from_le_bytes(expires_at.try_into().ok()?),
            state: match *tag {
                BILLED_TAG => KeyState::Completed(CompletedRun { result: result.to_vec(), is_billed: true }),
                UNBILLED_TAG => {
                    KeyState::Completed(CompletedRun { result: result.to_vec(), is_billed: false })
                }
                _ => KeyState::Started,
            },
        })
    }
}

fn idempotency_key_row(idempotency_key: &str) -> Vec<u8> {
    format!("t/{idempotency_key}").into_bytes()
}

fn open_request_row(request_id: &RequestId) -> Vec<u8> {
    [&b"o/"[..], request_id].concat()
}

/// State left in the store by the previous run of the program.
#[derive(Debug, Default)]
pub struct RecoveredState {
    pub records: Vec<(String, IdempotencyRecord)>,
    /// Keys among them whose run has succeeded, with a result that does not fit into memory: known as started only.
    pub without_result: BTreeSet<String>,
    /// Requests that were open and never answered: the key and a description of each.
    pub interrupted: Vec<(Vec<u8>, String)>,
}

impl RecoveredState {
    /// Reads idempotency keys and open requests from the store.
    pub fn load(store: &mut Store<impl Disk>) -> Result<RecoveredState> {
        let snapshot = store.snapshot();
        let mut recovered = RecoveredState::default();
        let mut bytes = 0;
        for key in snapshot.keys(b"o/").take_while(|key| key.starts_with(b"o/")) {
            let value = store.get_at(&snapshot, key)?.unwrap_or_default();
            let description =
                format!("{} {}", String::from_utf8_lossy(&key[2..]), String::from_utf8_lossy(&value));
            recovered.interrupted.push((key.to_vec(), description));
        }
        for key in snapshot.keys(b"t/").take_while(|key| key.starts_with(b"t/")) {
            let value = store.get_at(&snapshot, key)?.unwrap_or_default();
            let Some(mut record) = IdempotencyRecord::decode(&value) else { continue };
            bytes += value.len();
            let name = String::from_utf8_lossy(&key[2..]).into_owned();
            if bytes > MAX_RESULT_BYTES && record.state != KeyState::Started {
                record.state = KeyState::Started;
                recovered.without_result.insert(name.clone());
            }
            recovered.records.push((name, record));
        }
        Ok(recovered)
    }
}

/// A response that waits until its billing row is persisted.
pub struct DeferredResponse {
    pub request_id: RequestId,
    /// Fingerprint of the request, to tell it from another under the same id.
    pub fingerprint: u64,
    pub peer: Rc<Peer>,
    pub stream: u32,
    pub status: ResponseStatus,
    pub body: Buf,
    /// When the response is sent at the latest, whether or not the row is persisted by then.
    pub respond_by: Time,
}

/// An action that waits until a batch is persisted.
pub enum DeferredAction {
    Respond(DeferredResponse),
    /// Runs a request with an idempotency key.
    Run(RequestSlot, RequestId),
}

/// Billing data of a request.
pub struct BillingRow<'a> {
    pub request_id: &'a RequestId,
    pub class: &'a str,
    pub tenant: &'a str,
    pub billed: f64,
    /// Unix time, in tenths of a millisecond.
    pub arrived_at: Time,
    pub completed_at: Time,
}

/// Time that a commit may take: one is requested so long before a response that waits for it must be sent.
const COMMIT_RESERVE: Time = 50 * MS;

/// Time between two attempts to write while the store fails.
const PROBE_INTERVAL: Time = 1000 * MS;
/// Named by the row that such an attempt removes: no request has this id.
const PROBE_REQUEST_ID: RequestId = [b'-'; 16];

/// Idempotency keys, deferred actions, and the queue to the store.
pub struct Persistence {
    /// Without a store, idempotency keys are known only while the process lives.
    sender: Option<SyncSender<WriteBatch>>,
    last_batch: u64,
    deferred: VecDeque<(u64, DeferredAction)>,
    /// Idempotency keys whose billing row is in a batch that is not finished.
    uncommitted_rows: VecDeque<(u64, String)>,
    /// Responses are sent after the commit of their billing row, else before it.
    pub respond_after_commit: bool,
    /// While the store fails, requests that could not be recorded are not served.
    pub reject_on_failure: bool,
    pub is_failing: bool,
    records: HashMap<String, IdempotencyRecord>,
    expirations: BTreeSet<(Time, String)>,
    /// Pairs of requests: the first, and the one that waits for its result.
    pub followers: Vec<(RequestSlot, RequestSlot)>,
    result_bytes: usize,
    /// All batches up to this number are finished.
    acknowledged_through: u64,
    /// No deferred response must be sent before this time.
    next_respond_by: Time,
    /// The earliest commit requested since a batch was finished last.
    commit_by: Time,
    /// The store's queue was full when this commit was requested.
    unsent_commit_by: Option<Time>,
    /// No attempt to write is made before this time while the store fails.
    probe_at: Time,
    /// Maximum time between the arrival of a retry and its reading.
    pub max_unread_time: Time,
}

impl Persistence {
    /// Keeps idempotency keys only, for the lifetime of the process.
    pub fn in_memory() -> Persistence {
        Persistence {
            sender: None,
            last_batch: 0,
            deferred: VecDeque::new(),
            uncommitted_rows: VecDeque::new(),
            respond_after_commit: false,
            reject_on_failure: false,
            is_failing: false,
            records: HashMap::new(),
            expirations: BTreeSet::new(),
            followers: Vec::new(),
            result_bytes: 0,
            acknowledged_through: 0,
            next_respond_by: Time::MAX,
            commit_by: Time::MAX,
            unsent_commit_by: None,
            probe_at: Time::MIN,
            max_unread_time: 0,
        }
    }

    /// Restores recovered keys; also returns a description of each request that was cut off.
    pub fn new(
        sender: SyncSender<WriteBatch>,
        respond_after_commit: bool,
        reject_on_failure: bool,
        recovered: RecoveredState,
    ) -> (Persistence, Vec<String>) {
        let mut persistence = Persistence {
            sender: Some(sender),
            respond_after_commit,
            reject_on_failure,
            ..Persistence::in_memory()
        };
        for (idempotency_key, record) in recovered.records {
            persistence.insert_record(idempotency_key, record);
        }
        // Reported to the operator once, and then removed from the store.
        let (keys, interrupted): (Vec<_>, Vec<_>) = recovered.interrupted.into_iter().unzip();
        if !keys.is_empty() {
            persistence.send(keys.into_iter().map(|key| (key, None)).collect());
        }
        (persistence, interrupted)
    }

    /// Whether rows outlive the process.
    pub fn has_store(&self) -> bool {
        self.sender.is_some()
    }

    /// Sends a batch to the store and returns its number; `None` without a store, or where its queue is full.
    fn send(&mut self, writes: Vec<(Vec<u8>, Option<Vec<u8>>)>) -> Option<u64> {
        self.send_to_commit_by(writes, None)
    }

    fn send_to_commit_by(
        &mut self,
        writes: Vec<(Vec<u8>, Option<Vec<u8>>)>,
        commit_by: Option<Time>,
    ) -> Option<u64> {
        let number = self.last_batch + 1;
        if self.sender.as_ref()?.try_send(WriteBatch { number, writes, commit_by }).is_err() {
            self.set_failing(Some("its queue is full"));
            return None;
        }
        self.last_batch = number;
        self.commit_by = self.commit_by.min(commit_by.unwrap_or(Time::MAX));
        Some(number)
    }

    /// Requests that all batches sent so far are committed by this time, unless an earlier commit of them was requested.
    fn request_commit(&mut self, commit_by: Time) {
        if self.last_batch <= self.acknowledged_through || commit_by >= self.commit_by {
            return;
        }
        let is_sent = self.send_to_commit_by(Vec::new(), Some(commit_by)).is_some();
        self.unsent_commit_by = (!is_sent).then_some(commit_by);
    }

    /// Records whether the store can persist, and logs a change of it.
    pub fn set_failing(&mut self, failure: Option<&str>) {
        if std::mem::replace(&mut self.is_failing, failure.is_some()) == failure.is_some() {
            return;
        }
        match failure {
            Some(what) if self.reject_on_failure => log!("store: {what}; nothing is taken"),
            Some(what) => log!("store: {what}; served unrecorded"),
            None => log!("store: it keeps again"),
        }
    }

    /// Tries to write while the store fails and nothing else is written. Protects against a server that takes nothing for good: where
    /// nothing may be served unrecorded, no request would bring about the write that shows that the store keeps again.
    pub fn probe_if_failing(&mut self, now: Time) {
        if self.is_failing && self.last_batch <= self.acknowledged_through && now >= self.probe_at {
            self.probe_at = now + PROBE_INTERVAL;
            self.clear_open_request(&PROBE_REQUEST_ID);
        }
    }

    /// Marks all batches up to this number as finished, or as failed; returns the actions that waited for them.
    pub fn acknowledge(&mut self, acknowledged_through: u64, has_failed: bool) -> Vec<DeferredAction> {
        let mut actions = Vec::new();
        while let Some((_, idempotency_key)) =
            self.uncommitted_rows.pop_front_if(|(number, _)| *number <= acknowledged_through)
        {
            if has_failed {
                self.mark_unbilled(&idempotency_key);
            }
        }
        self.acknowledged_through = acknowledged_through;
        // What was requested for the finished batches says nothing about the others, whose own times the store has.
        self.commit_by = Time::MAX;
        if let Some(commit_by) = self.unsent_commit_by.take() {
            self.request_commit(commit_by);
        }
        while self.deferred.front().is_some_and(|(number, _)| *number <= acknowledged_through) {
            actions.extend(self.deferred.pop_front().map(|(_, action)| action));
        }
        actions
    }

    /// Records the billing row of a success, and its result where it has a key. The response waits for the commit until
    /// `respond_by`. Returns the number of the batch, where the store took it.
    pub fn record_billing(
        &mut self,
        row: &BillingRow,
        idempotency_key: Option<&str>,
        result: &[u8],
        respond_by: Time,
    ) -> Option<u64> {
        let ms = |time: Time| time / 10;
        let key = format!("b/{:016}/{}", ms(row.completed_at), String::from_utf8_lossy(row.request_id));
        let value = format!(
            "{},{},{},{},{},succeeded",
            row.class,
            row.tenant,
            row.billed,
            ms(row.arrived_at),
            ms(row.completed_at)
        );
        let mut writes = vec![(key.into_bytes(), Some(value.into_bytes()))];
        writes.extend(idempotency_key.and_then(|name| self.set_result(name, result, true)));
        let commit_by = self.respond_after_commit.then_some(respond_by - COMMIT_RESERVE);
        let number = self.send_to_commit_by(writes, commit_by);
        match (idempotency_key, number) {
            (Some(name), Some(number)) => self.uncommitted_rows.push_back((number, name.to_string())),
            (Some(name), None) => self.mark_unbilled(name),
            (None, _) => {}
        }
        number
    }

    /// Records the result of a request with a key whose client has left: a retry may still arrive.
    pub fn record_result(&mut self, idempotency_key: &str, result: &[u8]) {
        if let Some(write) = self.set_result(idempotency_key, result, false) {
            self.send(vec![write]);
        }
    }

    /// Sets the result of a key. Followers may have it at once; later retries once the request is released.
    fn set_result(
        &mut self,
        idempotency_key: &str,
        result: &[u8],
        is_billed: bool,
    ) -> Option<(Vec<u8>, Option<Vec<u8>>)> {
        let record = self.records.get_mut(idempotency_key)?;
        if let KeyState::Completed(earlier) = &record.state {
            self.result_bytes -= earlier.result.len();
        }
        let run = CompletedRun { result: result.to_vec(), is_billed };
        let completed = IdempotencyRecord { state: KeyState::Completed(run), ..record.clone() };
        let write =
            self.sender.is_some().then(|| (idempotency_key_row(idempotency_key), Some(completed.encode())));
        if self.result_bytes + result.len() <= MAX_RESULT_BYTES {
            self.result_bytes += result.len();
            record.state = completed.state;
        } else {
            record.state = KeyState::Started;
        }
        write
    }

    /// The billing row of a success was not persisted: the next retry that gets its result writes one.
    fn mark_unbilled(&mut self, idempotency_key: &str) {
        if let Some(IdempotencyRecord { state: KeyState::Completed(run), .. }) =
            self.records.get_mut(idempotency_key)
        {
            run.is_billed = false;
        }
    }

    /// Defers an action until batch `number` is finished.
    pub fn defer(&mut self, number: u64, action: DeferredAction) {
        if let DeferredAction::Respond(response) = &action {
            self.next_respond_by = self.next_respond_by.min(response.respond_by);
            self.request_commit(response.respond_by - COMMIT_RESERVE);
        }
        let position = self.deferred.partition_point(|(earlier, _)| *earlier <= number);
        self.deferred.insert(position, (number, action));
    }

    /// No deferred response must be sent before this time.
    pub fn next_respond_by(&self) -> Time {
        self.next_respond_by
    }

    /// Removes the deferred responses that must be sent now, although their batches are not finished.
    pub fn take_overdue(&mut self, now: Time) -> Vec<DeferredResponse> {
        let mut overdue = Vec::new();
        if now < self.next_respond_by {
            return overdue;
        }
        self.next_respond_by = Time::MAX;
        for (number, action) in std::mem::take(&mut self.deferred) {
            match action {
                DeferredAction::Respond(response) if response.respond_by <= now => overdue.push(response),
                action => {
                    if let DeferredAction::Respond(response) = &action {
                        self.next_respond_by = self.next_respond_by.min(response.respond_by);
                    }
                    self.deferred.push_back((number, action));
                }
            }
        }
        overdue
    }

    /// Limits the wait of all deferred responses: the process is stopped soon after.
    pub fn respond_all_by(&mut self, respond_by: Time) {
        let mut is_waiting = false;
        for (_, action) in &mut self.deferred {
            if let DeferredAction::Respond(response) = action {
                response.respond_by = response.respond_by.min(respond_by);
                is_waiting = true;
            }
        }
        if is_waiting {
            self.next_respond_by = self.next_respond_by.min(respond_by);
            self.request_commit(respond_by - COMMIT_RESERVE);
        }
    }

    /// The response to a request that waits for its batch.
    pub fn deferred_response(&mut self, request_id: &RequestId) -> Option<&mut DeferredResponse> {
        self.deferred.iter_mut().find_map(|(_, action)| match action {
            DeferredAction::Respond(response) if response.request_id == *request_id => Some(response),
            _ => None,
        })
    }

    /// The unfinished batch that has the result of a key; `None` where there is none, or where responses don't wait.
    pub fn pending_result(&self, idempotency_key: &str) -> Option<u64> {
        let rows = self.uncommitted_rows.iter().rev().filter(|_| self.respond_after_commit);
        rows.into_iter().find(|(_, name)| name == idempotency_key).map(|(number, _)| *number)
    }

    // ---- idempotency keys ----

    /// Returns the record of a key.
    pub fn record(&self, idempotency_key: &str) -> Option<&IdempotencyRecord> {
        self.records.get(idempotency_key)
    }

    /// Finds the request that a retry under this key repeats. The window is compared with the time at which the retry
    /// arrived, not with the time at which it was read. A request that is still open is always repeated.
    pub fn find_repeated(&self, idempotency_key: &str, arrived_at: Time) -> Option<&IdempotencyRecord> {
        self.records
            .get(idempotency_key)
            .filter(|record| arrived_at < record.expires_at || matches!(record.state, KeyState::Open(_)))
    }

    /// When the next key expires, in Unix time, where no more keys can be stored until then.
    pub fn full_until(&self) -> Option<Time> {
        (self.records.len() >= MAX_IDEMPOTENCY_KEYS)
            .then(|| self.expirations.first().map_or(0, |(expires_at, _)| *expires_at))
    }

    /// Removes the first follower of a request, which takes the request's place.
    pub fn take_follower(&mut self, first: RequestSlot) -> Option<RequestSlot> {
        let at = self.followers.iter().position(|(known, _)| *known == first)?;
        Some(self.followers.remove(at).1)
    }

    /// Stores the record of a key, in place of an earlier one.
    pub fn insert_record(&mut self, idempotency_key: String, record: IdempotencyRecord) {
        self.remove_record(&idempotency_key);
        if let KeyState::Completed(run) = &record.state {
            self.result_bytes += run.result.len();
        }
        self.expirations.insert((record.expires_at, idempotency_key.clone()));
        self.records.insert(idempotency_key, record);
    }

    fn remove_record(&mut self, idempotency_key: &str) {
        if let Some(record) = self.records.remove(idempotency_key) {
            self.expirations.remove(&(record.expires_at, idempotency_key.to_string()));
            if let KeyState::Completed(run) = record.state {
                self.result_bytes -= run.result.len();
            }
        }
    }

    /// Records the start of a run. The record must be on disk before the run starts: otherwise a run cut off by a crash
    /// could run twice.
    pub fn record_start(&mut self, idempotency_key: &str) -> Option<u64> {
        let record =
            IdempotencyRecord { state: KeyState::Started, ..self.records.get(idempotency_key)?.clone() };
        self.send(vec![(idempotency_key_row(idempotency_key), Some(record.encode()))])
    }

    /// The scheduler has released the request. The key of a request that never ran is free again.
    pub fn release_key(&mut self, idempotency_key: &str, slot: RequestSlot, has_run: bool) {
        let is_open =
            self.records.get(idempotency_key).is_some_and(|record| record.state == KeyState::Open(slot));
        match (is_open, has_run) {
            (true, true) => {
                if let Some(record) = self.records.get_mut(idempotency_key) {
                    record.state = KeyState::Started;
                }
            }
            (true, false) => self.remove_record(idempotency_key),
            (false, _) => {}
        }
    }

    /// Removes expired keys from memory and from the store, once no retry that arrived in their window can lie unread.
    pub fn expire(&mut self, unix_time: Time) {
        let unix_time = unix_time - self.max_unread_time;
        let mut writes = Vec::new();
        while let Some((expires_at, idempotency_key)) =
            self.expirations.first().cloned().filter(|(expires_at, _)| *expires_at <= unix_time)
        {
            if self
                .records
                .get(&idempotency_key)
                .is_some_and(|record| matches!(record.state, KeyState::Open(_)))
            {
                break; // the entry goes when its request is released
            }
            debug_assert!(expires_at <= unix_time);
            writes.push((idempotency_key_row(&idempotency_key), None));
            self.remove_record(&idempotency_key);
            if writes.len() >= 64 {
                break;
            }
        }
        if !writes.is_empty() {
            self.send(writes);
        }
    }

    // ---- drain ----

    /// Records requests that are open when a drain begins, with a description of each.
    pub fn record_open_requests(&mut self, requests: impl Iterator<Item = (RequestId, String)>) {
        let writes: Vec<_> = requests
            .map(|(request_id, description)| (open_request_row(&request_id), Some(description.into_bytes())))
            .collect();
        if !writes.is_empty() {
            self.send(writes);
        }
    }

    /// Removes the record of an open request that has been answered.
    pub fn clear_open_request(&mut self, request_id: &RequestId) {
        self.send(vec![(open_request_row(request_id), None)]);
    }
}
