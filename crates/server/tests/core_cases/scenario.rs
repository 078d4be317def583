//! Drives a core without sockets and without a real clock by lines of text. Notation, times in milliseconds:
//!   config POINTER JSON               before the start: replaces the value at POINTER in the example configuration
//!   TIME kernel JSON                  a notice from the executor
//!   TIME link | unlink [BYTES]        the link to the executor is up and all missed notices were received | is lost, after
//!                                     all bytes written to it, or that many of those written since the last step
//!   TIME NAME sends STREAM TXN [FIELD=VALUE ...]   a request on the connection NAME, a frame of kind 2; its body is "ask",
//!                                     or the value of `body=WORD`; with `within=MS` the client states how long it waits
//!   TIME NAME leaves STREAM           the client no longer waits for the stream
//!   TIME NAME closes                  the connection is closed
//!   TIME NAME told                    the client was asked to send no new request on the connection
//!   TIME ledger TXN OUTCOME           the newest call of the request TXN ended with OUTCOME (words of the downstream
//!                                     proxy's protocol, or `unreached`, `broken`; the reply of `posted` is "reply")
//!   TIME term MS                      termination notice
//!   TIME policy admits|holds|denies [silently]   the gate of the fleet's policy changes, and the core is notified or not yet
//!   TIME store fails|recovers         the store reports that it can't persist, or that it can again
//!   TIME store commits                all writes so far are committed, also while commits are held
//!   TIME pass                         only time passes; due ticks run before every event
//!   expect WORDS | refuse WORDS       some | no output since the last event begins with these words
//!   owed N                            number of pending responses
//! Outputs: `kernel MSG TXN [BODY]`, `NAME STREAM succeeded|throttled|errored [BODY]`, `ledger post TXN MS BODY`,
//! `ledger abandon TXN`. A txn is written without its leading zeros.

use cypresscleat_rollout::member::RolloutMember;
use cypresscleat_scheduler::{Outcome, Time};
use cypresscleat_server::config;
use cypresscleat_server::core::incoming::{Peer, RequestId};
use cypresscleat_server::core::persistence::{IdempotencyRecord, Persistence, RecoveredState, WriteBatch};
use cypresscleat_server::core::{Core, CoreEvent, DownstreamCommand, Shared};
use cypresscleat_server::frames::{self, NextFrame};
use cypresscleat_server::leases::MonotonicClock;
use cypresscleat_server::lines;
use cypresscleat_server::listeners::frames::{read_request, FrameWriter};
use cypresscleat_server::pool::{Buf, Outbox, BUFFER_BYTES};
use cypresscleat_server::rollout::admission_gate::AdmissionGate;
use cypresscleat_settings::Names;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::mpsc::{sync_channel, Receiver};

const UNIX_AT_START: Time = 17_645_760_000_000;

/// Writes to the store that may wait; more than a scenario makes.
const STORE_QUEUE: usize = 10_000;

/// Whether there is a store, and when a response is sent: before or after the commit of its billing row. Writes are committed after
/// each step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StoreMode {
    None,
    RespondBeforeCommit,
    RespondAfterCommit,
}

/// How a store behaves, and what it begins with.
pub struct StoreSetup {
    pub mode: StoreMode,
    /// Nothing is served unrecorded.
    pub rejects_on_failure: bool,
    /// Writes that may wait.
    pub queue: usize,
    /// What the process before has left.
    pub recovered: RecoveredState,
}

impl StoreSetup {
    pub fn new(mode: StoreMode) -> StoreSetup {
        let recovered = RecoveredState::default();
        StoreSetup { mode, rejects_on_failure: true, queue: STORE_QUEUE, recovered }
    }
}

/// A core without sockets and without a real clock, driven by lines of the scenarios' notation.
pub struct Scenario {
    pub core: Core,
    names: Rc<Names>,
    pub shared: Shared,
    pub kernel: Rc<Outbox>,
    pub peers: BTreeMap<String, Rc<Peer>>,
    call_numbers: BTreeMap<RequestId, u64>,
    store: Option<Receiver<WriteBatch>>,
    gate: Option<Rc<AdmissionGate>>,
    /// What is written to the executor stays in the outbox, for a link that breaks in the middle of it.
    pub holds_kernel_output: bool,
    /// The store can't persist what it gets while this is set.
    pub fails_commits: bool,
    /// Batches that the store has taken from its queue and not committed.
    waiting: Vec<WriteBatch>,
    /// Number of the last batch that was answered.
    committed_through: u64,
    /// The store's thread is stuck in a commit: its queue is not read while this is set.
    pub leaves_queue: bool,
    /// The earliest commit that was requested for the writes which are not committed.
    pub commit_by: Option<Time>,
    /// Keys of all rows in the store, and the values of those that name an idempotency key.
    pub rows: BTreeSet<String>,
    records: BTreeMap<String, Vec<u8>>,
    /// The store is slow: no write is committed until this is unset.
    pub holds_commits: bool,
    outputs: Vec<String>,
    now: Time,
}

fn padded_txn(word: &str) -> RequestId {
    format!("{word:0>16}").into_bytes().try_into().expect("a txn of 16 digits at most")
}

fn without_leading_zeros(txn: &[u8]) -> String {
    String::from_utf8_lossy(txn).trim_start_matches('0').to_string()
}

/// Writes the first bytes of an outbox, up to this number, to nowhere.
fn flush_at_most(out: &Outbox, limit: usize) {
    let mut left = limit;
    let flushed = out.flush(|part| match part.len().min(left) {
        0 => Err(std::io::ErrorKind::WouldBlock.into()),
        count => {
            left -= count;
            Ok(count)
        }
    });
    flushed.expect("an outbox that is flushed in part");
    out.clear();
}

pub fn flush_to_vec(out: &Outbox) -> Vec<u8> {
    let mut bytes = Vec::new();
    let written = out.flush(|part| {
        bytes.extend(part);
        Ok(part.len())
    });
    written.expect("a vector accepts all bytes");
    bytes
}

impl Scenario {
    pub fn start(changes: &[&str]) -> Scenario {
        Scenario::start_with_store(changes, StoreMode::None)
    }

    pub fn start_with_store(changes: &[&str], mode: StoreMode) -> Scenario {
        Scenario::start_with_setup(changes, StoreSetup::new(mode))
    }

    pub fn start_with_setup(changes: &[&str], setup: StoreSetup) -> Scenario {
        let mut json_config: serde_json::Value =
            serde_json::from_str(include_str!("../../../demo/config.json"))
                .expect("the example configuration");
        for change in changes {
            let (pointer, value) = change.split_once(' ').expect("POINTER JSON");
            *json_config.pointer_mut(pointer).expect(pointer) = serde_json::from_str(value).expect("JSON");
        }
        let config = config::parse(&json_config.to_string(), None, None).expect("a configuration");
        let shared = Shared::new(1000);
        let names = Rc::new(config.names);
        let mut core = Core::new(config.settings, names.clone(), &shared);
        let store = (setup.mode != StoreMode::None).then(|| {
            let (sender, receiver) = sync_channel(setup.queue);
            let responds_after = setup.mode == StoreMode::RespondAfterCommit;
            let rejects = setup.rejects_on_failure;
            core.set_persistence(Persistence::new(sender, responds_after, rejects, setup.recovered).0);
            receiver
        });
        let kernel = Rc::new(Outbox::new(&shared.pool));
        let (peers, call_numbers, outputs) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
        Scenario {
            core,
            names,
            shared,
            kernel,
            peers,
            call_numbers,
            store,
            gate: None,
            holds_commits: false,
            fails_commits: false,
            committed_through: 0,
            commit_by: None,
            leaves_queue: false,
            waiting: Vec::new(),
            rows: BTreeSet::new(),
            records: BTreeMap::new(),
            holds_kernel_output: false,
            outputs,
            now: 0,
        }
    }

    /// Puts the server under a fleet's policy, which denies until a step changes it.
    pub fn set_policy(&mut self) {
        let gate = Rc::new(AdmissionGate::new(MonotonicClock::start(), "m0"));
        self.core.set_gate(gate.clone());
        self.gate = Some(gate);
    }

    fn change_policy(&mut self, state: &str, is_notified: bool) {
        let gate = self.gate.clone().expect("a server under a policy");
        let mut member = RolloutMember::new(0, "m0", (1, 1), vec![2]);
        member.tick(0);
        if state != "denies" {
            member.start_alone(0);
        }
        gate.update(&member);
        match state {
            "admits" => gate.apply(0),
            "holds" => gate.close(0),
            "denies" => {}
            _ => panic!("unknown state of the policy: {state}"),
        }
        if is_notified {
            self.handle_event(CoreEvent::GateChanged);
        }
    }

    fn buf(&self, bytes: &[u8]) -> Buf {
        let mut buf = self.shared.pool.take();
        assert_eq!(buf.push(bytes), bytes.len());
        buf
    }

    fn handle_event(&mut self, event: CoreEvent) {
        self.core.handle_event(self.now, UNIX_AT_START + self.now, event);
    }

    fn run_step(&mut self, words: &[&str], line: &str) {
        match *words {
            ["pass"] => {}
            ["link"] => {
                self.kernel = Rc::new(Outbox::new(&self.shared.pool));
                self.handle_event(CoreEvent::ExecutorConnected(self.kernel.clone()));
            }
            ["unlink", ref bytes @ ..] => {
                let limit = bytes.first().map_or(usize::MAX, |count| count.parse().expect("a number"));
                flush_at_most(&self.kernel, limit);
                self.handle_event(CoreEvent::ExecutorDisconnected);
                self.kernel = Rc::new(Outbox::new(&self.shared.pool));
            }
            ["policy", state] => self.change_policy(state, true),
            ["policy", state, "silently"] => self.change_policy(state, false),
            ["store", "fails"] => {
                self.fails_commits = true;
                self.report_store(Some("the disk is full".to_string()));
            }
            ["store", "recovers"] => {
                self.fails_commits = false;
                self.report_store(None);
            }
            ["store", "commits"] => {
                self.take_batches();
                self.commit_waiting();
            }
            ["term", ms] => {
                let within = ms.parse::<Time>().expect("milliseconds") * 10;
                self.handle_event(CoreEvent::Drain { within });
            }
            ["kernel", ..] => {
                let json = line.split_once(" kernel ").expect("a notice").1;
                let (_, notice) = lines::parse_notice(json.as_bytes(), &self.shared.pool);
                self.handle_event(CoreEvent::ExecutorNotice(notice.expect("a notice that can be read")));
            }
            ["ledger", call, outcome_word] => {
                let (request_id, reply) =
                    (padded_txn(call), (outcome_word == "posted").then(|| self.buf(b"reply")));
                let outcome = match outcome_word {
                    "unreached" => Outcome::ConnectFailed,
                    "broken" => Outcome::ConnectionLost,
                    "posted" => Outcome::Succeeded,
                    word => match lines::parse_reply(format!("{call} {word}\r\n").as_bytes(), BUFFER_BYTES) {
                        lines::NextReply::Reply(reply, _) => reply.outcome,
                        other => panic!("{other:?}"),
                    },
                };
                let number = self.call_numbers[&request_id];
                self.handle_event(CoreEvent::CallCompleted { request_id, number, outcome, reply });
            }
            [name, "sends", stream, call, ref rest @ ..] => {
                let arrived_at = ((UNIX_AT_START + self.now) / 10).to_string();
                let txn = String::from_utf8(padded_txn(call).to_vec()).expect("text");
                let mut fields =
                    BTreeMap::from([("verb", "lookup"), ("door", &arrived_at), ("cpu", "20"), ("ram", "30")]);
                fields.extend([("txn", txn.as_str()), ("team", "acme"), ("standing", "0.5"), ("lb", "1")]);
                fields.extend(rest.iter().map(|pair| pair.split_once('=').expect("FIELD=VALUE")));
                fields.retain(|_, value| !value.is_empty());
                let body = fields.remove("body").unwrap_or("ask");
                let within = fields.remove("within").map(|ms| ms.parse::<Time>().expect("milliseconds") * 10);
                let fields: Vec<_> = fields.into_iter().collect();
                let mut payload = Vec::new();
                frames::write_fields(&mut payload, &fields);
                payload.extend(body.as_bytes());
                let new_peer = || Rc::new(Peer::new(&self.shared.pool, Rc::new(FrameWriter), 0));
                let peer = self.peers.entry(name.to_string()).or_insert_with(new_peer).clone();
                peer.queued_requests.set(peer.queued_requests.get() + 1);
                let stream = stream.parse().expect("a stream");
                let mut request = read_request(self.buf(&payload), &self.names);
                if let (Ok(request), Some(within)) = (&mut request, within) {
                    request.remaining_timeout = Some(within);
                }
                self.handle_event(CoreEvent::RequestArrived { peer, stream, request });
            }
            [name, "leaves", stream] => {
                let (peer, stream) = (self.peers[name].clone(), stream.parse().expect("a stream"));
                self.handle_event(CoreEvent::ClientLeft { peer, stream });
            }
            [name, "closes"] => {
                let peer = self.peers[name].clone();
                peer.is_closed.set(true);
                self.handle_event(CoreEvent::ConnectionClosed { peer });
            }
            [name, "told"] => self.peers[name].close_announced_at.set(Some(self.now)),
            _ => panic!("unknown step: {line}"),
        }
    }

    /// Commits all writes, or fails to; either may bring about further ones.
    fn commit_writes(&mut self) {
        self.take_batches();
        while !self.holds_commits && !self.waiting.is_empty() {
            self.commit_waiting();
            self.take_batches();
        }
    }

    /// Takes the batches from the queue, as the store's thread does while it waits for a commit.
    fn take_batches(&mut self) {
        if !self.leaves_queue {
            self.waiting.extend(self.store.iter().flat_map(|store| store.try_iter()));
        }
        self.commit_by = self.waiting.iter().filter_map(|batch| batch.commit_by).min();
    }

    /// Commits the batches that were taken. Where that fails, none of their writes is kept.
    fn commit_waiting(&mut self) {
        let Some(acknowledged_through) = self.waiting.last().map(|batch| batch.number) else { return };
        self.committed_through = acknowledged_through;
        for (key, value) in std::mem::take(&mut self.waiting).into_iter().flat_map(|batch| batch.writes) {
            let key = String::from_utf8_lossy(&key).into_owned();
            if let (Some(name), Some(value), false) = (key.strip_prefix("t/"), &value, self.fails_commits) {
                self.records.insert(name.to_string(), value.clone());
            }
            match value {
                _ if self.fails_commits => false,
                Some(_) => self.rows.insert(key),
                None => self.rows.remove(&key),
            };
        }
        let failure = self.fails_commits.then(|| "the disk is full".to_string());
        self.handle_event(CoreEvent::Persisted { acknowledged_through, failure });
    }

    /// What the next start finds in the store.
    pub fn recovered(&self) -> RecoveredState {
        let decode = |(name, value): (&String, &Vec<u8>)| {
            (name.clone(), IdempotencyRecord::decode(value).expect("a record"))
        };
        RecoveredState { records: self.records.iter().map(decode).collect(), ..RecoveredState::default() }
    }

    /// The store reports that it can persist again.
    pub fn recover_store(&mut self) {
        self.report_store(None);
    }

    /// The store reports whether it can persist, with nothing new finished.
    fn report_store(&mut self, failure: Option<String>) {
        let acknowledged_through = self.committed_through;
        self.handle_event(CoreEvent::Persisted { acknowledged_through, failure });
    }

    /// Outputs since the last event that begin with `start`, without it.
    pub fn outputs_of(&self, start: &str) -> Vec<String> {
        let rests = self.outputs.iter().filter_map(|output| output.strip_prefix(start));
        rests.map(str::to_string).collect()
    }

    /// Collects all outputs since the last event, one line each.
    fn collect_outputs(&mut self) {
        let commands = if self.holds_kernel_output { Vec::new() } else { flush_to_vec(&self.kernel) };
        for line in String::from_utf8(commands).expect("text").lines() {
            let json: serde_json::Value = serde_json::from_str(line).expect("JSON");
            let text = |key: &str| json[key].as_str().unwrap_or("").to_string();
            if text("msg") != "SYSINFO" {
                use base64::Engine;
                let blob = base64::engine::general_purpose::STANDARD.decode(text("blob")).expect("base64");
                let (call, blob) =
                    (without_leading_zeros(text("call").as_bytes()), String::from_utf8(blob).expect("text"));
                self.outputs.push(format!("kernel {} {call} {blob}", text("msg")));
            }
        }
        for (name, peer) in &self.peers {
            let bytes = flush_to_vec(&peer.outbox);
            let mut rest = &bytes[..];
            while let NextFrame::Frame { kind: frames::RESPONSE, stream, payload, size } =
                frames::next_frame(rest, BUFFER_BYTES)
            {
                let code = match payload[0] {
                    frames::SUCCEEDED => "succeeded",
                    frames::REJECTED => "throttled",
                    _ => "errored",
                };
                let (_, body) = frames::parse_fields(&payload[1..]).expect("fields");
                self.outputs.push(format!("{name} {stream} {code} {}", String::from_utf8_lossy(body)));
                rest = &rest[size..];
            }
            assert!(rest.is_empty());
        }
        for command in self.shared.downstream.queue.borrow_mut().drain(..) {
            self.outputs.push(match command {
                DownstreamCommand::Call { request_id, number, timeout, body, .. } => {
                    self.call_numbers.insert(request_id, number);
                    format!(
                        "ledger post {} {} {}",
                        without_leading_zeros(&request_id),
                        timeout / 10,
                        String::from_utf8_lossy(&body)
                    )
                }
                DownstreamCommand::Cancel { request_id } => {
                    format!("ledger abandon {}", without_leading_zeros(&request_id))
                }
            });
        }
    }

    pub fn run_line(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let is_written = |outputs: &[String]| {
            outputs
                .iter()
                .any(|output| output.split(' ').take(words.len() - 1).eq(words[1..].iter().copied()))
        };
        match words[0] {
            "expect" => assert!(is_written(&self.outputs), "{line}: {:?}", self.outputs),
            "refuse" => assert!(!is_written(&self.outputs), "{line}: {:?}", self.outputs),
            "owed" => assert_eq!(self.core.pending_responses().to_string(), words[1], "{line}"),
            time => {
                let until = time.parse::<Time>().expect("a time") * 10;
                self.outputs.clear();
                while self.core.wake_at() <= until {
                    self.now = self.core.wake_at();
                    self.core.tick(self.now);
                }
                self.now = until;
                self.run_step(&words[1..], line);
                self.commit_writes();
                self.collect_outputs();
            }
        }
    }
}
