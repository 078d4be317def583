//! Plays every file of tests/core through the core: no socket, no clock. Notation, times in milliseconds:
//!   config POINTER JSON               at the head: the example's configuration, with this in that place
//!   TIME kernel JSON                  a notice of the kernel
//!   TIME link | unlink                a link to the kernel is up with all missed notices told | is gone
//!   TIME NAME sends STREAM TXN [FIELD=VALUE ...]   an invocation on the connection NAME, of type 2; its body is "ask",
//!                                     or that of `body=WORD`
//!   TIME NAME leaves STREAM           nobody waits for the stream any more
//!   TIME NAME closes                  the connection is gone
//!   TIME NAME told                    it was told to send no new invocation
//!   TIME ledger TXN OUTCOME           the newest call for that one ended so (outcomes as on the ledger's wire, or
//!                                     `unreached`, `broken`; the reply of `posted` is "reply")
//!   TIME term MS                      notice to leave
//!   TIME pass                         only time passes; ticks come by themselves
//!   expect WORDS | refuse WORDS       among what was written since the event before, by its first words
//!   owed N                            answers that are owed now
//! What is written: `kernel MSG TXN [BODY]`, `NAME STREAM succeeded|throttled|errored [BODY]`, `ledger post TXN MS BODY`,
//! `ledger abandon TXN`. A txn stands without its leading zeros.

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

const UNIX: Time = 17_645_760_000_000;

struct Play {
    core: Core,
    names: Rc<Names>,
    shared: Shared,
    kernel: Rc<Outbox>,
    peers: BTreeMap<String, Rc<Peer>>,
    numbers: BTreeMap<RequestId, u64>,
    seen: Vec<String>,
    now: Time,
}

fn txn(word: &str) -> RequestId {
    format!("{word:0>16}").into_bytes().try_into().expect("a txn of 16 digits at most")
}

fn short(txn: &[u8]) -> String {
    String::from_utf8_lossy(txn).trim_start_matches('0').to_string()
}

fn drain(out: &Outbox) -> Vec<u8> {
    let mut bytes = Vec::new();
    let written = out.flush(|part| {
        bytes.extend(part);
        Ok(part.len())
    });
    written.expect("a vector takes all");
    bytes
}

impl Play {
    fn start(changes: &[&str]) -> Play {
        let mut all: serde_json::Value =
            serde_json::from_str(include_str!("../../demo/config.json")).expect("the example");
        for change in changes {
            let (pointer, value) = change.split_once(' ').expect("POINTER JSON");
            *all.pointer_mut(pointer).expect(pointer) = serde_json::from_str(value).expect("JSON");
        }
        let config = config::parse(&all.to_string(), None, None).expect("a configuration");
        let shared = Shared::new(1000);
        let names = Rc::new(config.names);
        let core = Core::new(config.settings, names.clone(), &shared);
        let kernel = Rc::new(Outbox::new(&shared.pool));
        let (peers, numbers, seen) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
        Play { core, names, shared, kernel, peers, numbers, seen, now: 0 }
    }

    fn buf(&self, bytes: &[u8]) -> Buf {
        let mut buf = self.shared.pool.take();
        assert_eq!(buf.push(bytes), bytes.len());
        buf
    }

    fn take(&mut self, note: CoreEvent) {
        self.core.handle_event(self.now, UNIX + self.now, note);
    }

    fn event(&mut self, words: &[&str], line: &str) {
        match *words {
            ["pass"] => {}
            ["link"] => {
                self.kernel = Rc::new(Outbox::new(&self.shared.pool));
                self.take(CoreEvent::ExecutorConnected(self.kernel.clone()));
            }
            ["unlink"] => {
                drain(&self.kernel);
                self.take(CoreEvent::ExecutorDisconnected);
            }
            ["term", ms] => {
                let within = ms.parse::<Time>().expect("milliseconds") * 10;
                self.take(CoreEvent::Drain { within });
            }
            ["kernel", ..] => {
                let json = line.split_once(" kernel ").expect("a notice").1;
                let (_, notice) = lines::parse_notice(json.as_bytes(), &self.shared.pool);
                self.take(CoreEvent::ExecutorNotice(notice.expect("a notice that can be read")));
            }
            ["ledger", call, how] => {
                let (request_id, reply) = (txn(call), (how == "posted").then(|| self.buf(b"reply")));
                let outcome = match how {
                    "unreached" => Outcome::ConnectFailed,
                    "broken" => Outcome::ConnectionLost,
                    "posted" => Outcome::Succeeded,
                    word => match lines::parse_reply(format!("{call} {word}\r\n").as_bytes(), BUFFER_BYTES) {
                        lines::NextReply::Reply(reply, _) => reply.outcome,
                        other => panic!("{other:?}"),
                    },
                };
                let number = self.numbers[&request_id];
                self.take(CoreEvent::CallCompleted { request_id, number, outcome, reply });
            }
            [name, "sends", stream, call, ref rest @ ..] => {
                let door = ((UNIX + self.now) / 10).to_string();
                let txn = String::from_utf8(txn(call).to_vec()).expect("text");
                let mut fields =
                    BTreeMap::from([("verb", "lookup"), ("door", &door), ("cpu", "20"), ("ram", "30")]);
                fields.extend([("txn", txn.as_str()), ("team", "acme"), ("standing", "0.5"), ("lb", "1")]);
                fields.extend(rest.iter().map(|pair| pair.split_once('=').expect("FIELD=VALUE")));
                fields.retain(|_, value| !value.is_empty());
                let said = fields.remove("body").unwrap_or("ask");
                let fields: Vec<_> = fields.into_iter().collect();
                let mut payload = Vec::new();
                frames::write_fields(&mut payload, &fields);
                payload.extend(said.as_bytes());
                let new = || Rc::new(Peer::new(&self.shared.pool, Rc::new(FrameWriter), 0));
                let peer = self.peers.entry(name.to_string()).or_insert_with(new).clone();
                peer.queued_requests.set(peer.queued_requests.get() + 1);
                let stream = stream.parse().expect("a stream");
                let request = read_request(self.buf(&payload), &self.names);
                self.take(CoreEvent::RequestArrived { peer, stream, request });
            }
            [name, "leaves", stream] => {
                let (peer, stream) = (self.peers[name].clone(), stream.parse().expect("a stream"));
                self.take(CoreEvent::ClientLeft { peer, stream });
            }
            [name, "closes"] => {
                let peer = self.peers[name].clone();
                peer.is_closed.set(true);
                self.take(CoreEvent::ConnectionClosed { peer });
            }
            [name, "told"] => self.peers[name].close_announced_at.set(Some(self.now)),
            _ => panic!("what is this: {line}"),
        }
    }

    /// All that was written, as lines.
    fn look(&mut self) {
        for line in String::from_utf8(drain(&self.kernel)).expect("text").lines() {
            let json: serde_json::Value = serde_json::from_str(line).expect("JSON");
            let word = |key: &str| json[key].as_str().unwrap_or("").to_string();
            if word("msg") != "SYSINFO" {
                use base64::Engine;
                let blob = base64::engine::general_purpose::STANDARD.decode(word("blob")).expect("base64");
                let (call, blob) = (short(word("call").as_bytes()), String::from_utf8(blob).expect("text"));
                self.seen.push(format!("kernel {} {call} {blob}", word("msg")));
            }
        }
        for (name, peer) in &self.peers {
            let bytes = drain(&peer.outbox);
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
                self.seen.push(format!("{name} {stream} {code} {}", String::from_utf8_lossy(body)));
                rest = &rest[size..];
            }
            assert!(rest.is_empty());
        }
        for command in self.shared.downstream.queue.borrow_mut().drain(..) {
            self.seen.push(match command {
                DownstreamCommand::Call { request_id, number, timeout, body, .. } => {
                    self.numbers.insert(request_id, number);
                    format!(
                        "ledger post {} {} {}",
                        short(&request_id),
                        timeout / 10,
                        String::from_utf8_lossy(&body)
                    )
                }
                DownstreamCommand::Cancel { request_id } => format!("ledger abandon {}", short(&request_id)),
            });
        }
    }

    fn line(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let found = |seen: &[String]| {
            seen.iter().any(|seen| seen.split(' ').take(words.len() - 1).eq(words[1..].iter().copied()))
        };
        match words[0] {
            "expect" => assert!(found(&self.seen), "{line}: {:?}", self.seen),
            "refuse" => assert!(!found(&self.seen), "{line}: {:?}", self.seen),
            "owed" => assert_eq!(self.core.pending_responses().to_string(), words[1], "{line}"),
            time => {
                let until = time.parse::<Time>().expect("a time") * 10;
                self.seen.clear();
                while self.core.wake_at() <= until {
                    self.now = self.core.wake_at();
                    self.core.tick(self.now);
                }
                self.now = until;
                self.event(&words[1..], line);
                self.look();
            }
        }
    }
}

#[test]
fn every_scenario_of_the_core() {
    let mut files: Vec<_> = std::fs::read_dir("tests/core").expect("tests/core").collect();
    files.sort_by_key(|file| file.as_ref().map(|file| file.path()).ok());
    for file in &files {
        let path = file.as_ref().expect("a file").path();
        println!("{}", path.display());
        let text = std::fs::read_to_string(&path).expect("a scenario");
        let lines = text.lines().filter(|line| !line.trim().is_empty() && !line.starts_with('#'));
        let changes: Vec<&str> = lines.clone().filter_map(|line| line.strip_prefix("config ")).collect();
        let mut play = Play::start(&changes);
        lines.filter(|line| !line.starts_with("config ")).for_each(|line| play.line(line));
        drop(play.core);
        play.peers.clear();
        play.shared.downstream.queue.borrow_mut().clear();
        drain(&play.kernel);
        assert_eq!(play.shared.pool.in_use(), 0, "every buffer is given back");
    }
    assert!(files.len() > 5);
}

/// More answers into connections that close than are kept with their bodies: what comes again is never run again.
#[test]
fn what_was_answered_into_a_crowd_that_closes_is_not_run_again() {
    let mut play = Play::start(&[r#"/settings/categories/1/effect "fragile""#]);
    play.line(r#"0 kernel {"msg":"BOOTED","how":"WARM","duration":60000}"#);
    play.line("0 link");
    let result = r#""how":"OK","duration":5,"blob":"cmVzdWx0""#;
    for number in 1..=70 {
        let at = number * 10;
        play.line(&format!("{at} a{number} sends 1 {number}"));
        play.line(&format!("{at} a{number} told"));
        play.line(&format!(
            r#"{} kernel {{"msg":"REAP","serial":{number},"call":"{number:0>16}",{result}}}"#,
            at + 5
        ));
        play.line(&format!("expect a{number} 1 succeeded result"));
    }
    // The oldest has lost its body, the newest has not.
    play.line("710 b sends 1 1");
    play.line("expect b 1 errored");
    play.line("refuse kernel SCHED 1");
    play.line("710 b sends 2 70");
    play.line("expect b 2 succeeded result");
    play.line("owed 0");
}

/// What a cold server tells its callers adds up to no more than it survives, however many they are; warm, its limits are the usual.
#[test]
fn what_a_cold_server_tells_its_callers_adds_up_to_what_it_survives() {
    for callers in [1, 8, 30] {
        let mut play = Play::start(&[&format!("/settings/specifics/upstreams {callers}")]);
        play.line(r#"0 kernel {"msg":"BOOTED","how":"COLD","duration":0}"#);
        play.line("0 link");
        let mut last = 0.0;
        for ms in (200..9_900).step_by(200) {
            play.line(&format!("{ms} pass"));
            let sum = play.shared.server_status.load_feedback.get().expect("it says something")
                * f64::from(callers);
            // Two cores; cold from 0.2 of the speed for 10 s; 8 on a core are survived.
            let survives = 2.0 * (1.0 + 7.0 * (0.2 + 0.8 * f64::from(ms) / 10_000.0));
            assert!(sum <= survives, "{callers} callers at {ms}: {sum} of {survives}");
            assert!(sum >= last, "it only grows");
            last = sum;
        }
        for ms in (10_000..14_000).step_by(200) {
            play.line(&format!("{ms} pass"));
        }
        let sum =
            play.shared.server_status.load_feedback.get().expect("it says something") * f64::from(callers);
        let usual = f64::from(callers * 2).max(2.0 * 3.0);
        assert!((sum - usual).abs() < 0.01, "{callers} callers, warm: {sum}");
    }
}

/// A table full of tokens: one more is turned away, a repeat of one that is known is not, and what was turned away takes no room.
#[test]
fn no_token_runs_that_could_not_be_kept() {
    let window = r#"/settings/categories/1/memory_span_ns 60000000000"#;
    let mut play = Play::start(&[r#"/settings/categories/1/effect "dedup""#, window]);
    play.line(r#"0 kernel {"msg":"BOOTED","how":"WARM","duration":60000}"#);
    play.line("0 link");
    let runs = |play: &mut Play, number: usize| {
        let at = number * 2;
        play.line(&format!("{at} a sends {number} {number:x} unique=k{number}"));
        play.line(&format!("expect kernel SCHED {number:x}"));
        let txn = format!("{number:0>16x}");
        play.line(&format!(
            r#"{} kernel {{"msg":"REAP","serial":{number},"call":"{txn}","how":"OK","duration":1,"blob":"b2s="}}"#,
            at + 1
        ));
        play.line(&format!("expect a {number} succeeded ok"));
    };
    (1..=4096).for_each(|number| runs(&mut play, number));
    for (stream, name) in [(4097, "new"), (4098, "newer")] {
        play.line(&format!("8300 a sends {stream} {stream:x} unique={name}"));
        play.line(&format!("expect a {stream} throttled"));
        play.line(&format!("refuse kernel SCHED {stream:x}"));
    }
    play.line("8301 a sends 4099 ffff unique=k9");
    play.line("expect a 4099 succeeded ok");
    // Once the first windows are over, and nothing that came inside them can lie unread, there is room again.
    play.line("68301 a sends 4100 fffe unique=new");
    play.line("expect kernel SCHED fffe ask");
}
