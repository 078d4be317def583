//! Every scenario of tests/both through both protocols on loopback: callers as routers in frames and as gateways in SCGI,
//! calls to a ledger and to an SCGI backend. Outcomes and drain are the same, word for word. Notation, a step a line:
//!   set KEY VALUE                a key of the settings, as a JSON pointer, before the start
//!   NAME opens                   its connection, where that is to come before what it sends
//!   NAME sends OPERATION         the caller NAME asks for it, on a connection of its own; the body is "NAME asks"
//!   NAME begins OPERATION | NAME ends     the first half of that, the rest
//!   NAME leaves | NAME half-closes | NAME resets
//!   NAME gets succeeded TEXT | errored | throttled [later] [giveup]
//!   kernel hears MSG NAME        the next command; a SCHED brings the body as it was sent
//!   kernel reaps NAME OK|ERROR|STOPPED   the result is "NAME done"
//!   kernel calls NAME            its run waits for a call with the body "NAME puts"
//!   kernel resumes NAME          hears IODONE with the reply
//!   kernel breaks | kernel links N       the link is cut; the next one asks for what came after notice N
//!   below hears NAME [again]     a call for it, on a new connection
//!   below answers NAME | refuses NAME | fails NAME | breaks NAME | halves NAME
//!   below loses NAME             its call was given up
//!   term | ends                  notice to leave; the program ends by itself, well
//! Each step is asserted, and what each party saw is written down and compared between the protocols.

use cypresscleat_demo::{frame, invocation, Backend, Gateway, Kernel, Ledger, Link, Place, Router};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");
const OPERATOR: &str = r#"
    scgi: {
        listen: "127.0.0.1:0"
        routes: [
            {path: "/lookup", operation: "lookup", customer: default: "acme", hint: default: 20500us, rank: default: 0.5},
            {path: "/report", operation: "report", customer: default: "acme", hint: default: 20500us, rank: default: 0.5},
        ]
    }
"#;
const BACKEND: &str = r#"calls: scgi: {address: "LEDGER", path: "/put"}"#;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Protocol {
    Frames,
    Scgi,
}

enum Caller {
    Router(Router),
    Gateway(Gateway),
}

impl Caller {
    fn link(&mut self) -> &mut Link {
        match self {
            Caller::Router(router) => &mut router.0,
            Caller::Gateway(gateway) => &mut gateway.0,
        }
    }
    fn bytes(&self, id: u64, name: &str, operation: &str) -> Vec<u8> {
        let body = format!("{name} asks");
        match self {
            Caller::Router(_) => invocation(1, &format!("{id:016x}"), operation, body.as_bytes()),
            Caller::Gateway(_) => {
                cypresscleat_demo::scgi_request("POST", &format!("/{operation}"), &[], body.as_bytes())
            }
        }
    }
    /// The one answer, in neutral words; the time to come back is a number of milliseconds in both.
    fn answer(&mut self) -> String {
        match self {
            Caller::Router(router) => {
                let mut answer = router.frame();
                if answer.kind == 64 {
                    answer = router.frame(); // told to send no more, before its answer
                }
                assert_eq!((answer.kind, answer.stream), (4, 1), "{answer:?}");
                let (code, mut rest) = (answer.payload[0], &answer.payload[2..]);
                let mut words = String::new();
                for _ in 0..answer.payload[1] {
                    let (name, more) = rest[1..].split_at(rest[0] as usize);
                    let (value, more) = more[2..].split_at(usize::from(more[0]) * 256 + usize::from(more[1]));
                    rest = more;
                    match name {
                        b"later" => {
                            assert!(String::from_utf8_lossy(value).parse::<u64>().is_ok_and(|ms| ms > 0))
                        }
                        b"giveup" => assert_eq!(value, b"1"),
                        _ => continue,
                    }
                    words += &format!(" {}", String::from_utf8_lossy(name));
                }
                match code {
                    79 => format!("succeeded {}", String::from_utf8_lossy(rest)),
                    66 => format!("throttled{words}"),
                    _ => "errored".into(),
                }
            }
            Caller::Gateway(gateway) => {
                let answer = gateway.response().expect("an answer");
                match answer.status {
                    200 => format!("succeeded {}", String::from_utf8_lossy(&answer.body)),
                    503 => {
                        let mut words = String::new();
                        if let Some(ms) = answer.field("Retry-After-Ms") {
                            let ms: u64 = ms.parse().expect("milliseconds");
                            let seconds = answer.field("Retry-After").and_then(|word| word.parse().ok());
                            assert_eq!(seconds, Some(ms.div_ceil(1000)));
                            words += " later";
                        }
                        if answer.field("Cypresscleat-Give-Up") == Some("1") {
                            words += " giveup";
                        }
                        format!("throttled{words}")
                    }
                    502 | 504 => "errored".into(),
                    status => panic!("{status}"),
                }
            }
        }
    }
}

enum Below {
    Ledger(Ledger),
    Backend(Backend),
}

struct Play {
    place: Place,
    kernel: Kernel,
    callers_by: Protocol,
    calls_by: Protocol,
    callers: BTreeMap<String, (Caller, Vec<u8>)>,
    asked: u64,
    /// Ids by name and names by id, learnt from what the kernel is asked to run.
    ids: BTreeMap<String, String>,
    below: BTreeMap<String, Below>,
    seen: Vec<String>,
}

impl Play {
    fn start(callers_by: Protocol, calls_by: Protocol, changes: &[(String, Value)]) -> Play {
        let operator =
            if calls_by == Protocol::Scgi { format!("{OPERATOR}{BACKEND}") } else { OPERATOR.into() };
        let place = Place::start_with(Path::new(PROGRAM), CONFIG, &operator, |all| {
            for (pointer, value) in changes {
                *all.pointer_mut(pointer).unwrap_or_else(|| panic!("{pointer}")) = value.clone();
            }
        });
        let (mut kernel, _) = Kernel::accept(&place.kernel);
        kernel.boot("WARM");
        place.logged("kernel up");
        let (callers, asked, ids, below, seen) = Default::default();
        Play { place, kernel, callers_by, calls_by, callers, asked, ids, below, seen }
    }

    fn address(&self) -> SocketAddr {
        match self.callers_by {
            Protocol::Frames => self.place.server,
            Protocol::Scgi => self.place.scgi.expect("a listener"),
        }
    }

    fn see(&mut self, what: String) {
        self.seen.push(what);
    }

    fn caller(&mut self, name: &str) -> &mut Caller {
        &mut self.callers.get_mut(name).unwrap_or_else(|| panic!("no caller {name}")).0
    }

    fn open(&mut self, name: &str) {
        let address = self.address();
        let caller = match self.callers_by {
            Protocol::Frames => Caller::Router(Router::connect(address)),
            Protocol::Scgi => Caller::Gateway(Gateway::connect(address)),
        };
        self.callers.insert(name.into(), (caller, Vec::new()));
    }

    fn begin(&mut self, name: &str, operation: &str) -> Vec<u8> {
        if !self.callers.contains_key(name) {
            self.open(name);
        }
        self.asked += 1;
        let id = 0xa0 + self.asked;
        self.caller(name).bytes(id, name, operation)
    }

    fn id(&self, name: &str) -> String {
        self.ids.get(name).unwrap_or_else(|| panic!("no id of {name}")).clone()
    }

    fn hear(&mut self, msg: &str, name: &str) {
        let (heard, call, body) = self.kernel.hear().expect("a command");
        let body = String::from_utf8(body).expect("text");
        if heard == "SCHED" {
            let whose = body.split(' ').next().expect("a name").to_string();
            self.ids.insert(whose, call.clone());
        }
        let whose =
            self.ids.iter().find(|(_, id)| **id == call).map_or("nobody", |(name, _)| name).to_string();
        assert_eq!((heard.as_str(), whose.as_str()), (msg, name));
        let service = if heard == "SCHED" { self.kernel.service.clone() } else { String::new() };
        self.see(format!("kernel {heard} {whose} {service} {body}"));
    }

    fn below(&mut self, name: &str) {
        let id = self.id(name);
        let (below, heard, body) = match self.calls_by {
            Protocol::Frames => {
                let mut ledger = Ledger::accept(&self.place.ledger);
                let (words, body) = ledger.hear().expect("a call");
                assert!(words[2].parse::<u64>().is_ok_and(|ms| ms > 0));
                (Below::Ledger(ledger), words[1].clone(), body)
            }
            Protocol::Scgi => {
                let mut backend = Backend::accept(&self.place.ledger);
                let (fields, body) = backend.hear();
                let field =
                    |name: &str| fields.iter().find(|(known, _)| known == name).expect(name).1.clone();
                assert_eq!(
                    (field("REQUEST_METHOD").as_str(), field("SCRIPT_NAME").as_str()),
                    ("POST", "/put")
                );
                assert!(field("HTTP_CYPRESSCLEAT_WITHIN_MS").parse::<u64>().is_ok_and(|ms| ms > 0));
                (Below::Backend(backend), field("HTTP_CYPRESSCLEAT_ID"), body)
            }
        };
        assert_eq!(heard, id);
        self.see(format!("below {name} {}", String::from_utf8_lossy(&body)));
        self.below.insert(name.into(), below);
    }

    fn answer_below(&mut self, how: &str, name: &str) {
        let id = self.id(name);
        let reply = format!("{name} noted");
        let below = self.below.get_mut(name).expect("a call");
        match (below, how) {
            (Below::Ledger(ledger), "answers") => ledger.posted(&id, reply.as_bytes()),
            (Below::Ledger(ledger), "refuses") => ledger.0.send(format!("{id} queue_full\r\n")),
            (Below::Ledger(ledger), "fails") => ledger.0.send(format!("{id} error\r\n")),
            (Below::Ledger(ledger), "breaks") => ledger.0.close(),
            (Below::Ledger(ledger), "halves") => {
                ledger.0.send(format!("{id} posted 100\r\nhalf"));
                ledger.0.close();
            }
            (Below::Backend(backend), "answers") => backend.answer("200 OK", reply.as_bytes()),
            (Below::Backend(backend), "refuses") => backend.answer("503 Service Unavailable", b"full"),
            (Below::Backend(backend), "fails") => backend.answer("500 Internal Server Error", b""),
            (Below::Backend(backend), "breaks") => backend.0.close(),
            (Below::Backend(backend), "halves") => {
                backend.0.send("Status: 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
                backend.0.close();
            }
            _ => panic!("{how}"),
        }
    }

    fn step(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["kernel", "hears", msg, name] => self.hear(msg, name),
            ["kernel", "reaps", name, how] => {
                let (id, body) = (self.id(name), format!("{name} done"));
                self.kernel.tell("REAP", &id, how, if how == "OK" { body.as_bytes() } else { b"" });
            }
            ["kernel", "calls", name] => {
                let id = self.id(name);
                self.kernel.tell("IOREQ", &id, "", format!("{name} puts").as_bytes());
            }
            ["kernel", "resumes", name] => {
                let (id, reply) = (self.id(name), format!("{name} noted"));
                assert_eq!(self.kernel.expect("IODONE", &id), reply.as_bytes());
                self.see(format!("kernel IODONE {name} {reply}"));
            }
            ["kernel", "breaks"] => self.kernel.link.close(),
            ["kernel", "links", serial] => {
                let (mut kernel, told) = Kernel::accept(&self.place.kernel);
                assert_eq!(told.to_string(), serial);
                kernel.boot("WARM");
                self.kernel = kernel;
                self.see(format!("kernel OPEN {serial}"));
            }
            ["below", "hears", name] => self.below(name),
            ["below", "loses", name] => {
                let link = match self.below.get_mut(name).expect("a call") {
                    Below::Ledger(ledger) => &mut ledger.0,
                    Below::Backend(backend) => &mut backend.0,
                };
                assert!(link.ended());
                self.see(format!("below loses {name}"));
            }
            ["below", how, name] => self.answer_below(how, name),
            ["term"] => {
                self.place.signal("TERM");
                self.place.logged("draining");
            }
            ["ends"] => {
                self.callers.values_mut().for_each(|(caller, _)| caller.link().close());
                assert!(self.place.exit().success());
            }
            ["waits", ms] => {
                std::thread::sleep(std::time::Duration::from_millis(ms.parse().expect("a time")))
            }
            [name, "sends", operation] => {
                let bytes = self.begin(name, operation);
                self.caller(name).link().try_send(&bytes); // it may have had its answer already
            }
            [name, "opens"] => self.open(name),
            [name, "begins", operation] => {
                let mut bytes = self.begin(name, operation);
                let rest = bytes.split_off(bytes.len() / 2);
                self.caller(name).link().send(bytes);
                self.callers.get_mut(name).expect("a caller").1 = rest;
            }
            [name, "ends"] => {
                let rest = std::mem::take(&mut self.callers.get_mut(name).expect("a caller").1);
                self.caller(name).link().try_send(&rest); // it may have had its answer already
            }
            [name, "leaves"] => match self.caller(name) {
                // A router says so; a gateway has nothing but the end of its connection.
                Caller::Router(router) => router.0.send(frame(8, 1, b"")),
                Caller::Gateway(gateway) => gateway.0.close(),
            },
            [name, "half-closes"] => self.caller(name).link().close_writing(),
            [name, "resets"] => self.caller(name).link().reset(),
            [name, "gets", ..] => {
                let answer = self.caller(name).answer();
                assert_eq!(answer.split_whitespace().collect::<Vec<_>>(), words[2..], "{line}");
                self.see(format!("{name} {answer}"));
            }
            _ => panic!("what is this: {line}"),
        }
    }
}

fn play(text: &str, callers_by: Protocol, calls_by: Protocol) -> Vec<String> {
    let lines: Vec<&str> =
        text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#')).collect();
    let (sets, steps): (Vec<&str>, Vec<&str>) = lines.iter().partition(|line| line.starts_with("set "));
    let change = |line: &str| {
        let (pointer, value) = line[4..].split_once(' ').expect("a pointer and a value");
        (pointer.to_string(), serde_json::from_str(value).expect("JSON"))
    };
    let changes: Vec<(String, Value)> = sets.into_iter().map(change).collect();
    let mut play = Play::start(callers_by, calls_by, &changes);
    for line in steps {
        println!("  {}: {line}", std::thread::current().name().unwrap_or(""));
        play.step(line);
    }
    play.seen
}

#[test]
fn every_scenario_is_the_same_in_both_protocols() {
    let mut files: Vec<_> = std::fs::read_dir("tests/both")
        .expect("tests/both")
        .map(|file| file.expect("a file").path())
        .collect();
    files.sort();
    assert!(files.len() >= 10);
    // Scenarios share nothing, so each has a thread.
    let plays = files.into_iter().map(|path| {
        let name = path.file_stem().expect("a name").to_string_lossy().into_owned();
        let thread = std::thread::Builder::new().name(name.clone());
        let played = thread.spawn(move || {
            let text = std::fs::read_to_string(&path).expect("a scenario");
            println!("{name} in frames");
            let first = play(&text, Protocol::Frames, Protocol::Frames);
            assert!(!first.is_empty());
            for (callers, calls) in [(Protocol::Scgi, Protocol::Frames), (Protocol::Scgi, Protocol::Scgi)] {
                println!("{name}: callers {callers:?}, calls {calls:?}");
                assert_eq!(
                    play(&text, callers, calls),
                    first,
                    "{name}: callers {callers:?}, calls {calls:?}"
                );
            }
        });
        played.expect("a thread")
    });
    let plays: Vec<_> = plays.collect();
    let failed = plays.into_iter().map(|play| play.join()).filter(|ended| ended.is_err()).count();
    assert_eq!(failed, 0, "scenarios failed; see above");
}
