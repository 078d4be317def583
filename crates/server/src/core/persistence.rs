//! What of the core's work outlives an invocation: tokens with their results, and, with a store, billing rows and what was owed
//! at a drain, which outlive the process too. No I/O: jobs go out, word of what was kept comes in. A row's key begins with `b/`
//! (billing), `t/` (token) or `o/` (owed).

use super::incoming::{Peer, RequestId, ResponseStatus};
use crate::pool::Buf;
use cypresscleat_scheduler::{RequestSlot, Time};
use cypresscleat_store::disk::Disk;
use cypresscleat_store::{Result, Store};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use std::sync::mpsc::SyncSender;

/// Writes that are kept together, one commit for all.
pub struct WriteBatch {
    pub number: u64,
    pub writes: Vec<(Vec<u8>, Option<Vec<u8>>)>,
}

/// Results of tokens in memory, in bytes, at the most; what is more is known to have run, and its result is not.
const MAX_RESULT_BYTES: usize = 4 << 20;
/// Tokens known at once. One more could not be told from its repeat, so it is turned away until one goes.
const MAX_IDEMPOTENCY_KEYS: usize = 4096;

#[derive(Clone, Debug, PartialEq)]
pub enum KeyState {
    /// Known to the module under this index.
    Open(RequestSlot),
    /// It was begun, and how it ended is not known: it may have had its effect.
    Started,
    Completed(Vec<u8>),
}

#[derive(Clone, Debug, PartialEq)]
pub struct IdempotencyRecord {
    /// What the invocation said, to tell it from another under the same token.
    pub fingerprint: u64,
    /// Unix time, in tenths of a millisecond, until which a repeat may come.
    pub expires_at: Time,
    pub state: KeyState,
}

impl IdempotencyRecord {
    fn encode(&self) -> Vec<u8> {
        let mut out = self.fingerprint.to_le_bytes().to_vec();
        out.extend(self.expires_at.to_le_bytes());
        if let KeyState::Completed(result) = &self.state {
            out.push(1);
            out.extend(result);
        } else {
            out.push(0);
        }
        out
    }

    fn decode(bytes: &[u8]) -> Option<IdempotencyRecord> {
        let (fingerprint, rest) = bytes.split_at_checked(8)?;
        let (expires_at, rest) = rest.split_at_checked(8)?;
        let (tag, result) = rest.split_first()?;
        Some(IdempotencyRecord {
            fingerprint: u64::from_le_bytes(fingerprint.try_into().ok()?),
            expires_at: Time::from_le_bytes(expires_at.try_into().ok()?),
            state: if *tag == 1 { KeyState::Completed(result.to_vec()) } else { KeyState::Started },
        })
    }
}

fn idempotency_key_row(idempotency_key: &str) -> Vec<u8> {
    format!("t/{idempotency_key}").into_bytes()
}

fn open_request_row(request_id: &RequestId) -> Vec<u8> {
    [&b"o/"[..], request_id].concat()
}

/// What the last life left.
#[derive(Debug, Default)]
pub struct RecoveredState {
    pub records: Vec<(String, IdempotencyRecord)>,
    /// Taken in and not answered: what is known of each.
    pub interrupted: Vec<(Vec<u8>, String)>,
}

impl RecoveredState {
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
            if bytes > MAX_RESULT_BYTES {
                record.state = KeyState::Started;
            }
            recovered.records.push((String::from_utf8_lossy(&key[2..]).into_owned(), record));
        }
        Ok(recovered)
    }
}

/// What goes on once a job was kept.
pub enum DeferredAction {
    Respond {
        peer: Rc<Peer>,
        stream: u32,
        status: ResponseStatus,
        body: Buf,
    },
    /// A tokened one that is to run.
    Run(RequestSlot, RequestId),
}

/// What of an invocation billing knows.
pub struct BillingRow<'a> {
    pub request_id: &'a RequestId,
    pub class: &'a str,
    pub tenant: &'a str,
    pub billed: f64,
    /// Unix time, in tenths of a millisecond.
    pub arrived_at: Time,
    pub completed_at: Time,
}

pub struct Persistence {
    /// Without a store tokens are known for as long as the process lives.
    sender: Option<SyncSender<WriteBatch>>,
    last_batch: u64,
    deferred: VecDeque<(u64, DeferredAction)>,
    /// Answers leave behind the commit of their row, else before.
    pub respond_after_commit: bool,
    /// While the store fails nothing is served that could not be recorded.
    pub reject_on_failure: bool,
    pub is_failing: bool,
    records: HashMap<String, IdempotencyRecord>,
    expirations: BTreeSet<(Time, String)>,
    /// What waits for the answer of another: the first, and those that follow.
    pub followers: Vec<(RequestSlot, RequestSlot)>,
    result_bytes: usize,
    /// All jobs up to this one are done with.
    acknowledged_through: u64,
    /// A repeat may be read so long after it came.
    pub max_unread_time: Time,
}

impl Persistence {
    /// Tokens only, for this life of the process.
    pub fn in_memory() -> Persistence {
        Persistence {
            sender: None,
            last_batch: 0,
            deferred: VecDeque::new(),
            respond_after_commit: false,
            reject_on_failure: false,
            is_failing: false,
            records: HashMap::new(),
            expirations: BTreeSet::new(),
            followers: Vec::new(),
            result_bytes: 0,
            acknowledged_through: 0,
            max_unread_time: 0,
        }
    }

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
        // Told to the operator now, and then forgotten.
        let (keys, interrupted): (Vec<_>, Vec<_>) = recovered.interrupted.into_iter().unzip();
        if !keys.is_empty() {
            persistence.send(keys.into_iter().map(|key| (key, None)).collect());
        }
        (persistence, interrupted)
    }

    /// Whether rows are to outlive the process.
    pub fn has_store(&self) -> bool {
        self.sender.is_some()
    }

    /// The number under which word of it comes; `None` without a store, or where it is too far behind.
    fn send(&mut self, writes: Vec<(Vec<u8>, Option<Vec<u8>>)>) -> Option<u64> {
        let number = self.last_batch + 1;
        self.sender.as_ref()?.try_send(WriteBatch { number, writes }).ok()?;
        self.last_batch = number;
        Some(number)
    }

    /// Those that go on, as all jobs up to this one are done with.
    pub fn acknowledge(&mut self, acknowledged_through: u64) -> Vec<DeferredAction> {
        let mut actions = Vec::new();
        self.acknowledged_through = acknowledged_through;
        while self.deferred.front().is_some_and(|(number, _)| *number <= acknowledged_through) {
            actions.extend(self.deferred.pop_front().map(|(_, action)| action));
        }
        actions
    }

    /// A row for one that succeeded, with its result where it has a token. True where word of it will come.
    pub fn record_billing(
        &mut self,
        row: &BillingRow,
        idempotency_key: Option<&str>,
        result: &[u8],
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
        writes.extend(idempotency_key.and_then(|name| self.set_result(name, result)));
        self.send(writes)
    }

    /// One with a token succeeded, and nobody waits for it any more: a repeat may still come.
    pub fn record_result(&mut self, idempotency_key: &str, result: &[u8]) {
        if let Some(write) = self.set_result(idempotency_key, result) {
            self.send(vec![write]);
        }
    }

    /// The result of a token. Followers may have it at once; others once it is released.
    fn set_result(&mut self, idempotency_key: &str, result: &[u8]) -> Option<(Vec<u8>, Option<Vec<u8>>)> {
        let record = self.records.get_mut(idempotency_key)?;
        let completed = IdempotencyRecord { state: KeyState::Completed(result.to_vec()), ..record.clone() };
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

    /// `number` is that of the last job, or of one before.
    pub fn defer(&mut self, number: u64, action: DeferredAction) {
        debug_assert!(self.deferred.back().is_none_or(|(earlier, _)| *earlier <= number));
        self.deferred.push_back((number, action));
    }

    /// A job behind which all that is known now is kept; `None` where that is so already.
    pub fn pending_batch(&self) -> Option<u64> {
        (self.respond_after_commit && self.last_batch > self.acknowledged_through).then_some(self.last_batch)
    }

    // ---- tokens ----

    pub fn record(&self, idempotency_key: &str) -> Option<&IdempotencyRecord> {
        self.records.get(idempotency_key)
    }

    /// What an invocation that came at `came` under that token repeats: its window counts from when it came, not from when it was
    /// read. One that is still open is always repeated.
    pub fn find_repeated(&self, idempotency_key: &str, arrived_at: Time) -> Option<&IdempotencyRecord> {
        self.records
            .get(idempotency_key)
            .filter(|record| arrived_at < record.expires_at || matches!(record.state, KeyState::Open(_)))
    }

    /// When the next token goes, in Unix time, where no more can be known until then.
    pub fn full_until(&self) -> Option<Time> {
        (self.records.len() >= MAX_IDEMPOTENCY_KEYS)
            .then(|| self.expirations.first().map_or(0, |(expires_at, _)| *expires_at))
    }

    /// Whoever waits for this one's answer first stops waiting, and takes its place.
    pub fn take_follower(&mut self, first: RequestSlot) -> Option<RequestSlot> {
        let at = self.followers.iter().position(|(known, _)| *known == first)?;
        Some(self.followers.remove(at).1)
    }

    pub fn insert_record(&mut self, idempotency_key: String, record: IdempotencyRecord) {
        self.remove_record(&idempotency_key);
        if let KeyState::Completed(result) = &record.state {
            self.result_bytes += result.len();
        }
        self.expirations.insert((record.expires_at, idempotency_key.clone()));
        self.records.insert(idempotency_key, record);
    }

    fn remove_record(&mut self, idempotency_key: &str) {
        if let Some(record) = self.records.remove(idempotency_key) {
            self.expirations.remove(&(record.expires_at, idempotency_key.to_string()));
            if let KeyState::Completed(result) = record.state {
                self.result_bytes -= result.len();
            }
        }
    }

    /// That it is begun has to be on the disk before it is: else one cut off in its run could run twice.
    pub fn record_start(&mut self, idempotency_key: &str) -> Option<u64> {
        let record =
            IdempotencyRecord { state: KeyState::Started, ..self.records.get(idempotency_key)?.clone() };
        self.send(vec![(idempotency_key_row(idempotency_key), Some(record.encode()))])
    }

    /// The module knows the invocation no more. One that never ran leaves its token free.
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

    /// Tokens whose window is over go, here and from the store, once no repeat that came inside it can be unread.
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
                break; // it goes with its invocation
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

    // ---- a drain ----

    pub fn record_open_requests(&mut self, requests: impl Iterator<Item = (RequestId, String)>) {
        let writes: Vec<_> = requests
            .map(|(request_id, description)| (open_request_row(&request_id), Some(description.into_bytes())))
            .collect();
        if !writes.is_empty() {
            self.send(writes);
        }
    }

    pub fn clear_open_request(&mut self, request_id: &RequestId) {
        self.send(vec![(open_request_row(request_id), None)]);
    }
}
