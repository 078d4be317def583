//! Runs every scenario of tests/both through both protocols over loopback: clients as routers with frames and as gateways with
//! SCGI, calls to a downstream proxy and to an SCGI backend. Outcomes and drains must be identical. Notation, one step per line:
//!   set POINTER VALUE            a value of the configuration, before the start
//!   NAME opens                   opens the connection of the client NAME ahead of its request
//!   NAME sends OPERATION         the client NAME sends a request on a connection of its own; the body is "NAME asks"
//!   NAME begins OPERATION | NAME ends     sends the first half of such a request | sends the rest
//!   NAME leaves | NAME half-closes | NAME resets
//!   NAME gets succeeded TEXT | errored | throttled [later] [giveup]
//!   kernel hears MSG NAME        the executor's next command; SCHED carries the body as it was sent
//!   kernel reaps NAME OK|ERROR|STOPPED   the run ends; the result of OK is "NAME done"
//!   kernel calls NAME            the run waits for a call with the body "NAME puts"
//!   kernel resumes NAME          the executor receives IODONE with the reply
//!   kernel breaks | kernel links N       the link is cut | the next link requests the notices after notice N
//!   below hears NAME             a call for NAME arrives on a new connection
//!   below answers NAME | refuses NAME | fails NAME | breaks NAME | halves NAME
//!   below loses NAME             the call is given up: its connection is closed
//!   waits MS                     pauses for MS milliseconds
//!   term | ends                  sends the termination notice | the process exits by itself with success
//! Each step is asserted. Outputs and answers are recorded and compared between the protocols.

use cypresscleat_demo::{frame, request_frame, Backend, Deployment, Gateway, Kernel, Ledger, Link, Router};
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

enum Client {
    Router(Router),
    Gateway(Gateway),
}

impl Client {
    fn link_mut(&mut self) -> &mut Link {
        match self {
            Client::Router(router) => &mut router.0,
            Client::Gateway(gateway) => &mut gateway.0,
        }
    }
    fn request_bytes(&self, id: u64, name: &str, operation: &str) -> Vec<u8> {
        let body = format!("{name} asks");
        match self {
            Client::Router(_) => request_frame(1, &format!("{id:016x}"), operation, body.as_bytes()),
            Client::Gateway(_) => {
                cypresscleat_demo::scgi_request("POST", &format!("/{operation}"), &[], body.as_bytes())
            }
        }
    }
    /// Reads the one answer and describes it independently of the protocol. Both protocols state the retry delay in milliseconds.
    fn read_answer(&mut self) -> String {
        match self {
            Client::Router(router) => {
                let mut answer = router.frame();
                if answer.kind == 64 {
                    answer = router.frame(); // the announcement of the close came ahead of the answer
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
            Client::Gateway(gateway) => {
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

enum Downstream {
    Ledger(Ledger),
    Backend(Backend),
}

struct Scenario {
    place: Deployment,
    kernel: Kernel,
    client_protocol: Protocol,
    call_protocol: Protocol,
    clients: BTreeMap<String, (Client, Vec<u8>)>,
    request_count: u64,
    /// Request ids by client name, taken from the commands to the executor.
    ids: BTreeMap<String, String>,
    downstreams: BTreeMap<String, Downstream>,
    observed: Vec<String>,
}

impl Scenario {
    fn start(client_protocol: Protocol, call_protocol: Protocol, changes: &[(String, Value)]) -> Scenario {
        let operator =
            if call_protocol == Protocol::Scgi { format!("{OPERATOR}{BACKEND}") } else { OPERATOR.into() };
        let place = Deployment::start_with(Path::new(PROGRAM), CONFIG, &operator, |json_config| {
            for (pointer, value) in changes {
                *json_config.pointer_mut(pointer).unwrap_or_else(|| panic!("{pointer}")) = value.clone();
            }
        });
        let (mut kernel, _) = Kernel::accept(&place.kernel);
        kernel.boot("WARM");
        place.logged("kernel up");
        let (clients, request_count, ids, downstreams, observed) = Default::default();
        Scenario {
            place,
            kernel,
            client_protocol,
            call_protocol,
            clients,
            request_count,
            ids,
            downstreams,
            observed,
        }
    }

    fn address(&self) -> SocketAddr {
        match self.client_protocol {
            Protocol::Frames => self.place.server,
            Protocol::Scgi => self.place.scgi.expect("a listener"),
        }
    }

    fn record(&mut self, what: String) {
        self.observed.push(what);
    }

    fn client(&mut self, name: &str) -> &mut Client {
        &mut self.clients.get_mut(name).unwrap_or_else(|| panic!("no client {name}")).0
    }

    fn open_client(&mut self, name: &str) {
        let address = self.address();
        let client = match self.client_protocol {
            Protocol::Frames => Client::Router(Router::connect(address)),
            Protocol::Scgi => Client::Gateway(Gateway::connect(address)),
        };
        self.clients.insert(name.into(), (client, Vec::new()));
    }

    fn prepare_request(&mut self, name: &str, operation: &str) -> Vec<u8> {
        if !self.clients.contains_key(name) {
            self.open_client(name);
        }
        self.request_count += 1;
        let id = 0xa0 + self.request_count;
        self.client(name).request_bytes(id, name, operation)
    }

    fn request_id(&self, name: &str) -> String {
        self.ids.get(name).unwrap_or_else(|| panic!("no id of {name}")).clone()
    }

    fn expect_command(&mut self, msg: &str, name: &str) {
        let (msg_received, call, body) = self.kernel.receive().expect("a command");
        let body = String::from_utf8(body).expect("text");
        if msg_received == "SCHED" {
            let client_name = body.split(' ').next().expect("a name").to_string();
            self.ids.insert(client_name, call.clone());
        }
        let client_name =
            self.ids.iter().find(|(_, id)| **id == call).map_or("nobody", |(name, _)| name).to_string();
        assert_eq!((msg_received.as_str(), client_name.as_str()), (msg, name));
        let service = if msg_received == "SCHED" { self.kernel.service.clone() } else { String::new() };
        self.record(format!("kernel {msg_received} {client_name} {service} {body}"));
    }

    fn accept_call(&mut self, name: &str) {
        let id = self.request_id(name);
        let (downstream, received_id, body) = match self.call_protocol {
            Protocol::Frames => {
                let mut ledger = Ledger::accept(&self.place.ledger);
                let (words, body) = ledger.receive().expect("a call");
                assert!(words[2].parse::<u64>().is_ok_and(|ms| ms > 0));
                (Downstream::Ledger(ledger), words[1].clone(), body)
            }
            Protocol::Scgi => {
                let mut backend = Backend::accept(&self.place.ledger);
                let (fields, body) = backend.receive();
                let field =
                    |name: &str| fields.iter().find(|(known, _)| known == name).expect(name).1.clone();
                assert_eq!(
                    (field("REQUEST_METHOD").as_str(), field("SCRIPT_NAME").as_str()),
                    ("POST", "/put")
                );
                assert!(field("HTTP_CYPRESSCLEAT_WITHIN_MS").parse::<u64>().is_ok_and(|ms| ms > 0));
                (Downstream::Backend(backend), field("HTTP_CYPRESSCLEAT_ID"), body)
            }
        };
        assert_eq!(received_id, id);
        self.record(format!("below {name} {}", String::from_utf8_lossy(&body)));
        self.downstreams.insert(name.into(), downstream);
    }

    fn answer_call(&mut self, how: &str, name: &str) {
        let id = self.request_id(name);
        let reply = format!("{name} noted");
        let downstream = self.downstreams.get_mut(name).expect("a call");
        match (downstream, how) {
            (Downstream::Ledger(ledger), "answers") => ledger.posted(&id, reply.as_bytes()),
            (Downstream::Ledger(ledger), "refuses") => ledger.0.send(format!("{id} queue_full\r\n")),
            (Downstream::Ledger(ledger), "fails") => ledger.0.send(format!("{id} error\r\n")),
            (Downstream::Ledger(ledger), "breaks") => ledger.0.close(),
            (Downstream::Ledger(ledger), "halves") => {
                ledger.0.send(format!("{id} posted 100\r\nhalf"));
                ledger.0.close();
            }
            (Downstream::Backend(backend), "answers") => backend.answer("200 OK", reply.as_bytes()),
            (Downstream::Backend(backend), "refuses") => backend.answer("503 Service Unavailable", b"full"),
            (Downstream::Backend(backend), "fails") => backend.answer("500 Internal Server Error", b""),
            (Downstream::Backend(backend), "breaks") => backend.0.close(),
            (Downstream::Backend(backend), "halves") => {
                backend.0.send("Status: 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
                backend.0.close();
            }
            _ => panic!("{how}"),
        }
    }

    fn run_step(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["kernel", "hears", msg, name] => self.expect_command(msg, name),
            ["kernel", "reaps", name, how] => {
                let (id, body) = (self.request_id(name), format!("{name} done"));
                self.kernel.send_notice("REAP", &id, how, if how == "OK" { body.as_bytes() } else { b"" });
            }
            ["kernel", "calls", name] => {
                let id = self.request_id(name);
                self.kernel.send_notice("IOREQ", &id, "", format!("{name} puts").as_bytes());
            }
            ["kernel", "resumes", name] => {
                let (id, reply) = (self.request_id(name), format!("{name} noted"));
                assert_eq!(self.kernel.expect("IODONE", &id), reply.as_bytes());
                self.record(format!("kernel IODONE {name} {reply}"));
            }
            ["kernel", "breaks"] => self.kernel.link.close(),
            ["kernel", "links", serial] => {
                let (mut kernel, acknowledged_serial) = Kernel::accept(&self.place.kernel);
                assert_eq!(acknowledged_serial.to_string(), serial);
                kernel.boot("WARM");
                self.kernel = kernel;
                self.record(format!("kernel OPEN {serial}"));
            }
            ["below", "hears", name] => self.accept_call(name),
            ["below", "loses", name] => {
                let link = match self.downstreams.get_mut(name).expect("a call") {
                    Downstream::Ledger(ledger) => &mut ledger.0,
                    Downstream::Backend(backend) => &mut backend.0,
                };
                assert!(link.ended());
                self.record(format!("below loses {name}"));
            }
            ["below", how, name] => self.answer_call(how, name),
            ["term"] => {
                self.place.signal("TERM");
                self.place.logged("draining");
            }
            ["ends"] => {
                self.clients.values_mut().for_each(|(client, _)| client.link_mut().close());
                assert!(self.place.exit().success());
            }
            ["waits", ms] => {
                std::thread::sleep(std::time::Duration::from_millis(ms.parse().expect("a time")))
            }
            [name, "sends", operation] => {
                let bytes = self.prepare_request(name, operation);
                self.client(name).link_mut().try_send(&bytes); // the answer may have been sent already
            }
            [name, "opens"] => self.open_client(name),
            [name, "begins", operation] => {
                let mut bytes = self.prepare_request(name, operation);
                let rest = bytes.split_off(bytes.len() / 2);
                self.client(name).link_mut().send(bytes);
                self.clients.get_mut(name).expect("a client").1 = rest;
            }
            [name, "ends"] => {
                let rest = std::mem::take(&mut self.clients.get_mut(name).expect("a client").1);
                self.client(name).link_mut().try_send(&rest); // the answer may have been sent already
            }
            [name, "leaves"] => match self.client(name) {
                // A router sends a frame that withdraws the request; a gateway can only close its connection.
                Client::Router(router) => router.0.send(frame(8, 1, b"")),
                Client::Gateway(gateway) => gateway.0.close(),
            },
            [name, "half-closes"] => self.client(name).link_mut().close_writing(),
            [name, "resets"] => self.client(name).link_mut().reset(),
            [name, "gets", ..] => {
                let answer = self.client(name).read_answer();
                assert_eq!(answer.split_whitespace().collect::<Vec<_>>(), words[2..], "{line}");
                self.record(format!("{name} {answer}"));
            }
            _ => panic!("unknown step: {line}"),
        }
    }
}

fn run_scenario(text: &str, client_protocol: Protocol, call_protocol: Protocol) -> Vec<String> {
    let lines: Vec<&str> =
        text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#')).collect();
    let (set_lines, steps): (Vec<&str>, Vec<&str>) = lines.iter().partition(|line| line.starts_with("set "));
    let change = |line: &str| {
        let (pointer, value) = line[4..].split_once(' ').expect("a pointer and a value");
        (pointer.to_string(), serde_json::from_str(value).expect("JSON"))
    };
    let changes: Vec<(String, Value)> = set_lines.into_iter().map(change).collect();
    let mut scenario = Scenario::start(client_protocol, call_protocol, &changes);
    for line in steps {
        println!("  {}: {line}", std::thread::current().name().unwrap_or(""));
        scenario.run_step(line);
    }
    scenario.observed
}

#[test]
fn every_scenario_is_the_same_in_both_protocols() {
    let mut scenario_files: Vec<_> = std::fs::read_dir("tests/both")
        .expect("tests/both")
        .map(|file| file.expect("a file").path())
        .collect();
    scenario_files.sort();
    assert!(scenario_files.len() >= 10);
    // The scenarios are independent, so each runs on its own thread.
    let scenario_threads = scenario_files.into_iter().map(|path| {
        let name = path.file_stem().expect("a name").to_string_lossy().into_owned();
        let thread = std::thread::Builder::new().name(name.clone());
        let spawned = thread.spawn(move || {
            let text = std::fs::read_to_string(&path).expect("a scenario");
            println!("{name} in frames");
            let first = run_scenario(&text, Protocol::Frames, Protocol::Frames);
            assert!(!first.is_empty());
            for (clients, calls) in [(Protocol::Scgi, Protocol::Frames), (Protocol::Scgi, Protocol::Scgi)] {
                println!("{name}: clients {clients:?}, calls {calls:?}");
                assert_eq!(
                    run_scenario(&text, clients, calls),
                    first,
                    "{name}: clients {clients:?}, calls {calls:?}"
                );
            }
        });
        spawned.expect("a thread")
    });
    let scenario_threads: Vec<_> = scenario_threads.collect();
    let failed =
        scenario_threads.into_iter().map(|thread| thread.join()).filter(|result| result.is_err()).count();
    assert_eq!(failed, 0, "scenarios failed; see above");
}
