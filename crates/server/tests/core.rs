//! Runs every scenario file of tests/core through the core, without sockets and without a real clock. Notation, times in
//! milliseconds:
//!   config POINTER JSON               before the start: replaces the value at POINTER in the example configuration
//!   TIME kernel JSON                  a notice from the executor
//!   TIME link | unlink                the link to the executor is up and all missed notices were received | is lost
//!   TIME NAME sends STREAM TXN [FIELD=VALUE ...]   a request on the connection NAME, a frame of kind 2; its body is "ask",
//!                                     or the value of `body=WORD`
//!   TIME NAME leaves STREAM           the client no longer waits for the stream
//!   TIME NAME closes                  the connection is closed
//!   TIME NAME told                    the client was asked to send no new request on the connection
//!   TIME ledger TXN OUTCOME           the newest call of the request TXN ended with OUTCOME (words of the downstream
//!                                     proxy's protocol, or `unreached`, `broken`; the reply of `posted` is "reply")
//!   TIME term MS                      termination notice
//!   TIME pass                         only time passes; due ticks run before every event
//!   expect WORDS | refuse WORDS       some | no output since the last event begins with these words
//!   owed N                            number of pending responses
//! Outputs: `kernel MSG TXN [BODY]`, `NAME STREAM succeeded|throttled|errored [BODY]`, `ledger post TXN MS BODY`,
//! `ledger abandon TXN`. A txn is written without its leading zeros.

use cypresscleat_scheduler::{Outcome, Time};
use cypresscleat_server::config;
use cypresscleat_server::core::incoming::{Peer, RequestId};
use cypresscleat_server::core::{Core, CoreEvent, DownstreamCommand, Shared};
use cypresscleat_server::frames::{self, NextFrame};
use cypresscleat_server::lines;
use cypresscleat_server::listeners::frames::{read_request, FrameWriter};
use cypresscleat_server::pool::{Buf, Outbox, BUFFER_BYTES};
use cypresscleat_settings::Names;
use std::collections::BTreeMap;
use std::rc::Rc;

const UNIX_AT_START: Time = 17_645_760_000_000;

struct Scenario {
    core: Core,
    names: Rc<Names>,
    shared: Shared,
    kernel: Rc<Outbox>,
    peers: BTreeMap<String, Rc<Peer>>,
    call_numbers: BTreeMap<RequestId, u64>,
    outputs: Vec<String>,
    now: Time,
}

fn padded_txn(word: &str) -> RequestId {
    format!("{word:0>16}").into_bytes().try_into().expect("a txn of 16 digits at most")
}

fn without_leading_zeros(txn: &[u8]) -> String {
    String::from_utf8_lossy(txn).trim_start_matches('0').to_string()
}

fn flush_to_vec(out: &Outbox) -> Vec<u8> {
    let mut bytes = Vec::new();
    let written = out.flush(|part| {
        bytes.extend(part);
        Ok(part.len())
    });
    written.expect("a vector accepts all bytes");
    bytes
}

impl Scenario {
    fn start(changes: &[&str]) -> Scenario {
        let mut json_config: serde_json::Value =
            serde_json::from_str(include_str!("../../demo/config.json")).expect("the example configuration");
        for change in changes {
            let (pointer, value) = change.split_once(' ').expect("POINTER JSON");
            *json_config.pointer_mut(pointer).expect(pointer) = serde_json::from_str(value).expect("JSON");
        }
        let config = config::parse(&json_config.to_string(), None, None).expect("a configuration");
        let shared = Shared::new(1000);
        let names = Rc::new(config.names);
        let core = Core::new(config.settings, names.clone(), &shared);
        let kernel = Rc::new(Outbox::new(&shared.pool));
        let (peers, call_numbers, outputs) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
        Scenario { core, names, shared, kernel, peers, call_numbers, outputs, now: 0 }
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
            ["unlink"] => {
                flush_to_vec(&self.kernel);
                self.handle_event(CoreEvent::ExecutorDisconnected);
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
                let fields: Vec<_> = fields.into_iter().collect();
                let mut payload = Vec::new();
                frames::write_fields(&mut payload, &fields);
                payload.extend(body.as_bytes());
                let new_peer = || Rc::new(Peer::new(&self.shared.pool, Rc::new(FrameWriter), 0));
                let peer = self.peers.entry(name.to_string()).or_insert_with(new_peer).clone();
                peer.queued_requests.set(peer.queued_requests.get() + 1);
                let stream = stream.parse().expect("a stream");
                let request = read_request(self.buf(&payload), &self.names);
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

    /// Collects all outputs since the last event, one line each.
    fn collect_outputs(&mut self) {
        for line in String::from_utf8(flush_to_vec(&self.kernel)).expect("text").lines() {
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

    fn run_line(&mut self, line: &str) {
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
                self.collect_outputs();
            }
        }
    }
}

#[test]
fn every_scenario_of_the_core() {
    let mut scenario_files: Vec<_> = std::fs::read_dir("tests/core").expect("tests/core").collect();
    scenario_files.sort_by_key(|file| file.as_ref().map(|file| file.path()).ok());
    for file in &scenario_files {
        let path = file.as_ref().expect("a file").path();
        println!("{}", path.display());
        let text = std::fs::read_to_string(&path).expect("a scenario");
        let lines = text.lines().filter(|line| !line.trim().is_empty() && !line.starts_with('#'));
        let changes: Vec<&str> = lines.clone().filter_map(|line| line.strip_prefix("config ")).collect();
        let mut scenario = Scenario::start(&changes);
        lines.filter(|line| !line.starts_with("config ")).for_each(|line| scenario.run_line(line));
        drop(scenario.core);
        scenario.peers.clear();
        scenario.shared.downstream.queue.borrow_mut().clear();
        flush_to_vec(&scenario.kernel);
        assert_eq!(scenario.shared.pool.in_use(), 0, "all buffers are returned to the pool");
    }
    assert!(scenario_files.len() > 5);
}

/// More requests are answered on closing connections than bodies are retained for. A request that is sent again must not run
/// again, whether or not its response body is still retained.
#[test]
fn requests_answered_on_many_closing_connections_are_not_run_again() {
    let mut scenario = Scenario::start(&[r#"/settings/categories/1/effect "fragile""#]);
    scenario.run_line(r#"0 kernel {"msg":"BOOTED","how":"WARM","duration":60000}"#);
    scenario.run_line("0 link");
    let result = r#""how":"OK","duration":5,"blob":"cmVzdWx0""#;
    for number in 1..=70 {
        let at = number * 10;
        scenario.run_line(&format!("{at} a{number} sends 1 {number}"));
        scenario.run_line(&format!("{at} a{number} told"));
        scenario.run_line(&format!(
            r#"{} kernel {{"msg":"REAP","serial":{number},"call":"{number:0>16}",{result}}}"#,
            at + 5
        ));
        scenario.run_line(&format!("expect a{number} 1 succeeded result"));
    }
    // The body of the oldest response is no longer retained, that of the newest is.
    scenario.run_line("710 b sends 1 1");
    scenario.run_line("expect b 1 errored");
    scenario.run_line("refuse kernel SCHED 1");
    scenario.run_line("710 b sends 2 70");
    scenario.run_line("expect b 2 succeeded result");
    scenario.run_line("owed 0");
}

/// The load feedback of a cold server, summed over all its clients, stays within what the server survives, whatever the number of
/// clients. A warm server reports the usual limits.
#[test]
fn load_feedback_of_a_cold_server_sums_to_at_most_what_it_survives() {
    for clients in [1, 8, 30] {
        let mut scenario = Scenario::start(&[&format!("/settings/specifics/upstreams {clients}")]);
        scenario.run_line(r#"0 kernel {"msg":"BOOTED","how":"COLD","duration":0}"#);
        scenario.run_line("0 link");
        let mut last = 0.0;
        for ms in (200..9_900).step_by(200) {
            scenario.run_line(&format!("{ms} pass"));
            let sum = scenario.shared.server_status.load_feedback.get().expect("load feedback")
                * f64::from(clients);
            // Two cores; the speed rises from 0.2 to 1 within 10 s; each core survives 8 concurrent runs.
            let max_survived = 2.0 * (1.0 + 7.0 * (0.2 + 0.8 * f64::from(ms) / 10_000.0));
            assert!(sum <= max_survived, "{clients} clients at {ms}: {sum} of {max_survived}");
            assert!(sum >= last, "the sum never falls");
            last = sum;
        }
        for ms in (10_000..14_000).step_by(200) {
            scenario.run_line(&format!("{ms} pass"));
        }
        let sum =
            scenario.shared.server_status.load_feedback.get().expect("load feedback") * f64::from(clients);
        let warm_sum = f64::from(clients * 2).max(2.0 * 3.0);
        assert!((sum - warm_sum).abs() < 0.01, "{clients} clients, warm: {sum}");
    }
}

/// The table of idempotency keys is full: a request with a new key is rejected and takes no entry, a retry with a known key gets
/// its result.
#[test]
fn requests_whose_idempotency_key_cannot_be_stored_are_rejected() {
    let window = r#"/settings/categories/1/memory_span_ns 60000000000"#;
    let mut scenario = Scenario::start(&[r#"/settings/categories/1/effect "dedup""#, window]);
    scenario.run_line(r#"0 kernel {"msg":"BOOTED","how":"WARM","duration":60000}"#);
    scenario.run_line("0 link");
    let run_request = |scenario: &mut Scenario, number: usize| {
        let at = number * 2;
        scenario.run_line(&format!("{at} a sends {number} {number:x} unique=k{number}"));
        scenario.run_line(&format!("expect kernel SCHED {number:x}"));
        let txn = format!("{number:0>16x}");
        scenario.run_line(&format!(
            r#"{} kernel {{"msg":"REAP","serial":{number},"call":"{txn}","how":"OK","duration":1,"blob":"b2s="}}"#,
            at + 1
        ));
        scenario.run_line(&format!("expect a {number} succeeded ok"));
    };
    (1..=4096).for_each(|number| run_request(&mut scenario, number));
    for (stream, name) in [(4097, "new"), (4098, "newer")] {
        scenario.run_line(&format!("8300 a sends {stream} {stream:x} unique={name}"));
        scenario.run_line(&format!("expect a {stream} throttled"));
        scenario.run_line(&format!("refuse kernel SCHED {stream:x}"));
    }
    scenario.run_line("8301 a sends 4099 ffff unique=k9");
    scenario.run_line("expect a 4099 succeeded ok");
    // The table has room again once the first retention windows are over and no retry sent within them can still be unread.
    scenario.run_line("68301 a sends 4100 fffe unique=new");
    scenario.run_line("expect kernel SCHED fffe ask");
}

/// Guards against a crash: a connection that ends with several attempts of one request open withdraws each of them, although the
/// end of the first hands its request to a later one and releases that one's slot. Other connections are served on.
#[test]
fn a_connection_that_ends_with_several_attempts_of_one_request_withdraws_each() {
    let reap = |serial: u32, txn: &str| {
        format!(
            r#"kernel {{"msg":"REAP","serial":{serial},"call":"{txn:0>16}","how":"OK","duration":30,"blob":"cmVzdWx0"}}"#
        )
    };
    let table: [(&str, &[&str]); 8] = [
        (
            "the first attempt runs",
            &["10 a sends 1 1 unique=k", "20 a sends 2 2 unique=k", "30 a closes", "owed 1", "50 REAP 1"],
        ),
        (
            "three attempts, the first of which runs",
            &[
                "10 a sends 1 1 unique=k",
                "20 a sends 2 2 unique=k",
                "20 a sends 3 3 unique=k",
                "30 a closes",
                "owed 1",
                "50 REAP 1",
            ],
        ),
        (
            "two requests of two attempts each",
            &[
                "10 a sends 1 1 unique=k",
                "10 a sends 2 2 unique=other",
                "20 a sends 3 3 unique=k",
                "20 a sends 4 4 unique=other",
                "30 a closes",
                "owed 1",
                "50 REAP 1",
                "50 REAP 2",
            ],
        ),
        (
            "the first attempt waits for its downstream call",
            &[
                "10 a sends 1 1 unique=k",
                r#"15 kernel {"msg":"IOREQ","serial":1,"call":"0000000000000001","blob":"cHV0"}"#,
                "expect ledger post 1",
                "20 a sends 2 2 unique=k",
                "30 a closes",
                "owed 1",
                "50 REAP 1",
                "expect ledger abandon 1",
            ],
        ),
        (
            "the first attempt was sent again after the second",
            &[
                "10 c sends 1 1 unique=k",
                "11 c told",
                "12 a sends 1 2 unique=k",
                "13 a sends 2 1 unique=k",
                "30 a closes",
                "owed 1",
                "50 REAP 1",
                "refuse c 1",
            ],
        ),
        (
            "a third attempt on another connection gets the result",
            &[
                "10 a sends 1 1 unique=k",
                "20 a sends 2 2 unique=k",
                "20 c sends 1 3 unique=k",
                "30 a closes",
                "owed 2",
                "50 REAP 1",
                "expect c 1 succeeded result",
            ],
        ),
        (
            "the first attempt is on another connection",
            &[
                "10 c sends 1 1 unique=k",
                "20 a sends 1 2 unique=k",
                "20 a sends 2 3 unique=k",
                "30 a closes",
                "owed 2",
                "50 REAP 1",
                "expect c 1 succeeded result",
            ],
        ),
        ("no other attempt", &["10 a sends 1 1 unique=k", "30 a closes", "owed 1", "50 REAP 1"]),
    ];
    for (name, steps) in table {
        println!("{name}");
        let mut scenario = Scenario::start(&[
            r#"/settings/categories/1/effect "dedup""#,
            r#"/settings/categories/1/memory_span_ns 2000000000"#,
        ]);
        scenario.run_line(r#"0 kernel {"msg":"BOOTED","how":"WARM","duration":60000}"#);
        scenario.run_line("0 link");
        scenario.run_line("5 b sends 1 b verb=report");
        for step in steps {
            match step.split_once(" REAP ") {
                Some((at, txn)) => {
                    scenario.run_line(&format!("{at} {}", reap(txn.parse().expect("a txn"), txn)));
                    scenario.run_line("refuse a");
                }
                None => scenario.run_line(step),
            }
        }
        scenario.run_line(&format!("60 {}", reap(9, "b")));
        scenario.run_line("expect b 1 succeeded result");
        scenario.run_line("owed 0");
        // The request ran once: another attempt gets its result.
        scenario.run_line("70 b sends 2 c unique=k");
        scenario.run_line("refuse kernel SCHED");
        scenario.run_line("expect b 2 succeeded result");
    }
}

/// Guards against a crash, and against a run for nobody: a queued request ends with the connection that all its attempts came on,
/// and its idempotency key is free again.
#[test]
fn a_connection_that_ends_takes_a_queued_request_and_all_its_attempts_with_it() {
    let mut scenario = Scenario::start(&[
        r#"/settings/categories/1/effect "dedup""#,
        r#"/settings/categories/1/memory_span_ns 2000000000"#,
        "/settings/specifics/cores 1",
        "/settings/obligations/tip_multiple 1.1",
    ]);
    let reap = |serial: u32, txn: &str| {
        format!(
            r#"kernel {{"msg":"REAP","serial":{serial},"call":"{txn:0>16}","how":"OK","duration":30,"blob":"cmVzdWx0"}}"#
        )
    };
    scenario.run_line(r#"0 kernel {"msg":"BOOTED","how":"WARM","duration":60000}"#);
    scenario.run_line("0 link");
    scenario.run_line("0 b sends 1 b verb=report");
    scenario.run_line("expect kernel SCHED b");
    scenario.run_line("1 a sends 1 1 unique=k");
    scenario.run_line("refuse kernel SCHED 1");
    scenario.run_line("2 a sends 2 2 unique=k");
    scenario.run_line("owed 3");
    scenario.run_line("3 a closes");
    scenario.run_line("owed 1");
    scenario.run_line(&format!("30 {}", reap(1, "b")));
    scenario.run_line("expect b 1 succeeded result");
    scenario.run_line("refuse kernel SCHED");
    scenario.run_line("owed 0");
    scenario.run_line("40 b sends 2 3 unique=k");
    scenario.run_line("expect kernel SCHED 3 ask");
    scenario.run_line(&format!("50 {}", reap(2, "3")));
    scenario.run_line("expect b 2 succeeded result");
}

/// Guards other clients' requests: a retry that was answered with its first attempt's failure and then released is forgotten, and a
/// new request in its slot keeps its client.
#[test]
fn a_retry_that_was_answered_and_released_leaves_the_next_request_in_its_slot_alone() {
    let start = || {
        let mut scenario = Scenario::start(&[
            r#"/settings/categories/1/effect "dedup""#,
            r#"/settings/categories/1/memory_span_ns 20000000000"#,
        ]);
        scenario.run_line(r#"0 kernel {"msg":"BOOTED","how":"WARM","duration":60000}"#);
        scenario.run_line("0 link");
        scenario.run_line("10 a sends 1 1 unique=k");
        scenario.run_line("40 a sends 2 2 unique=k");
        scenario
    };
    let run_next = |mut scenario: Scenario, ms: u32| {
        scenario.run_line(&format!("{ms} b sends 1 3 verb=report"));
        scenario.run_line("expect kernel SCHED 3");
        scenario.run_line("refuse kernel PREEMPT 3");
        let reap =
            r#""msg":"REAP","serial":1,"call":"0000000000000003","how":"OK","duration":5,"blob":"cmVzdWx0""#;
        scenario.run_line(&format!("{} kernel {{{reap}}}", ms + 10));
        scenario.run_line("expect b 1 succeeded result");
    };
    println!("both attempts run out of time, the retry a little later");
    let mut scenario = start();
    scenario.run_line("3015 pass");
    scenario.run_line("expect a 1 errored");
    scenario.run_line("expect a 2 errored");
    scenario.run_line("3100 pass");
    run_next(scenario, 3200);
    println!("the connection is closed for a violation");
    let mut scenario = start();
    scenario.run_line("50 a sends 3 1 body=other unique=k3");
    scenario.run_line("expect a 1 errored");
    scenario.run_line("expect a 2 errored");
    run_next(scenario, 60);
}
