//! The gateways' front over loopback: every cut of a request, hostile and slow ones, room and descriptors, storms, drain,
//! reload, backends. Scenarios that both protocols share are in tests/both.

use cypresscleat_demo::{frame, invocation, scgi_request, Backend, Gateway, Kernel, Place, Response, Router};
use serde_json::json;
use std::path::Path;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");
const ONE: &str = "00000000000000a1";

fn operator(connections: usize, patience: &str) -> String {
    format!(
        r#"scgi: {{
            listen: "127.0.0.1:0"
            connections: {connections}
            patience: {patience}
            header: 400B
            routes: [
                {{path: "/lookup", operation: "lookup", customer: header: "X-Team", within: header: "X-Wait-Ms"}},
                {{path: "/lookup/deep", methods: ["POST"], operation: "report"}},
                {{path: "/report", methods: ["POST"], operation: "report", hint: header: "X-Work", rank: header: "X-Rank"}},
            ]
        }}
"#
    )
}

fn up(operator: &str, change: impl FnOnce(&mut serde_json::Value)) -> (Place, Kernel) {
    let place = Place::start_with(Path::new(PROGRAM), CONFIG, operator, change);
    let (mut kernel, _) = Kernel::accept(&place.kernel);
    kernel.boot("WARM");
    place.logged("kernel up");
    (place, kernel)
}

/// Runs whatever is asked for, at once, on a thread of its own; an answer says which operation and body it was for.
fn runs_all(mut kernel: Kernel) {
    thread::spawn(move || {
        while let Some((msg, call, body)) = kernel.hear() {
            if msg == "SCHED" {
                let said = format!("{} {}", kernel.service, String::from_utf8_lossy(&body));
                kernel.tell("REAP", &call, "OK", said.as_bytes());
            }
        }
    });
}

fn asks(place: &Place, bytes: &[u8]) -> Option<Response> {
    let mut gateway = Gateway::connect(place.scgi.expect("a listener"));
    gateway.0.try_send(bytes);
    gateway.response()
}

fn status(place: &Place, bytes: &[u8]) -> u16 {
    asks(place, bytes).expect("an answer").status
}

fn descriptors(place: &Place) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", place.id())).expect("its descriptors").count()
}

fn router_succeeds(place: &Place) {
    let mut router = Router::connect(place.server);
    router.0.send(invocation(1, ONE, "lookup", b"native"));
    assert_eq!(router.answer(), (1, "succeeded", b"lookup native".to_vec()));
}

#[test]
fn requests_find_their_route_and_say_what_they_need() {
    let (place, kernel) = up(&operator(64, "2s"), |_| {});
    runs_all(kernel);
    let ask = |method, path, headers: &[(&str, &str)], body: &[u8]| {
        asks(&place, &scgi_request(method, path, headers, body)).expect("an answer")
    };
    let good = ask("POST", "/lookup", &[("HTTP_X_TEAM", "bolt"), ("HTTP_X_WAIT_MS", "900")], b"cab 7");
    assert_eq!((good.status, &good.body[..]), (200, &b"lookup cab 7"[..]));
    assert_eq!(good.field("Content-Type"), Some("application/octet-stream"));
    assert_eq!(ask("GET", "/lookup/x", &[("QUERY_STRING", "cab=7")], b"").body, b"lookup cab=7");
    assert_eq!(ask("POST", "/lookup/deep/er", &[], b"z").body, b"report z", "the longest that fits");
    assert_eq!(ask("POST", "/report", &[("HTTP_X_WORK", "12.5"), ("HTTP_X_RANK", "0.25")], b"z").status, 200);
    // Gateways that mount the server somewhere tell the path in two parts.
    let parts = scgi_request("POST", "/report", &[("PATH_INFO", "/of/today")], b"y");
    assert_eq!(asks(&place, &parts).expect("an answer").body, b"report y");
    let not = ask("GET", "/report", &[], b"");
    assert_eq!((not.status, not.field("Allow")), (405, Some("POST")));
    assert_eq!(ask("GET", "/lookup/deep", &[], b"").status, 405, "a shorter path does not stand in");
    for path in ["/", "/reports", "/look", "", "/REPORT"] {
        assert_eq!(ask("POST", path, &[], b"").status, 404, "{path}");
    }
    for header in [("HTTP_X_TEAM", "nobody"), ("HTTP_X_WAIT_MS", "soon"), ("HTTP_X_WAIT_MS", "-1")] {
        assert_eq!(ask("POST", "/lookup", &[header], b"").status, 400, "{header:?}");
    }
    for header in [("HTTP_X_WORK", "1e300"), ("HTTP_X_WORK", "NaN"), ("HTTP_X_RANK", "1")] {
        assert_eq!(ask("POST", "/report", &[header], b"").status, 400, "{header:?}");
    }
    // HEAD is offered by no route here; without a body it could not be told from GET otherwise.
    assert_eq!(ask("HEAD", "/lookup", &[], b"").status, 405);
}

#[test]
fn what_is_no_request_gets_its_status_and_runs_nothing() {
    let (place, kernel) = up(&operator(64, "2s"), |_| {});
    runs_all(kernel);
    let raw = |header: &str, body: &[u8]| {
        let header = header.replace('|', "\0");
        [format!("{}:{header},", header.len()).as_bytes(), body].concat()
    };
    let rest = "REQUEST_METHOD|POST|SCRIPT_NAME|/lookup|";
    let cases: Vec<(u16, Vec<u8>)> = vec![
        (400, b"GET / HTTP/1.1\r\n\r\n".to_vec()),
        (400, b"024:CONTENT_LENGTH".to_vec()),
        (400, b"+24:CONTENT_LENGTH".to_vec()),
        (400, b" 24:CONTENT_LENGTH".to_vec()),
        (431, b"99999999999999999999:".to_vec()),
        (431, b"401:".to_vec()),
        (411, raw(&format!("SCGI|1|{rest}"), b"")),
        (400, raw(&format!("SCGI|1|CONTENT_LENGTH|0|{rest}"), b"")),
        (400, raw(&format!("CONTENT_LENGTH|0|CONTENT_LENGTH|0|SCGI|1|{rest}"), b"")),
        (400, raw(&format!("CONTENT_LENGTH||SCGI|1|{rest}"), b"")),
        (400, raw(&format!("CONTENT_LENGTH|0|SCGI|1|||{rest}"), b"")),
        (400, raw(&format!("CONTENT_LENGTH|0|SCGI|1|X|{rest}"), b"")),
        (400, raw(&format!("CONTENT_LENGTH|0|{rest}"), b"")),
        (413, raw(&format!("CONTENT_LENGTH|2049|SCGI|1|{rest}"), &[0; 100])),
        (413, raw(&format!("CONTENT_LENGTH|99999999999999999999|SCGI|1|{rest}"), &[0; 3_000_000])),
        (400, raw("CONTENT_LENGTH|0|SCGI|1|SCRIPT_NAME|/lookup|", b"")),
        (400, raw("CONTENT_LENGTH|0|SCGI|1|REQUEST_METHOD|POST|", b"")),
        (400, vec![0xff; 10_000]),
    ];
    for (wanted, bytes) in &cases {
        let shown: String = String::from_utf8_lossy(&bytes[..bytes.len().min(90)]).into();
        assert_eq!(status(&place, bytes), *wanted, "{shown}");
    }
    // Bytes behind the body belong to nothing: the request is answered all the same, and only once.
    let mut more = scgi_request("POST", "/lookup", &[], b"one");
    more.extend(scgi_request("POST", "/lookup", &[], b"two"));
    assert_eq!(asks(&place, &more).expect("an answer").body, b"lookup one");
    router_succeeds(&place);
}

#[test]
fn a_request_cut_at_every_byte_never_runs_and_costs_nothing() {
    let (place, kernel) = up(&operator(256, "300ms"), |_| {});
    runs_all(kernel);
    let before = descriptors(&place);
    let whole = scgi_request("POST", "/lookup", &[], b"five!");
    // Cut, then closed for writing: told so. Cut, then silence: told so in time. Cut, then closed: nobody is told.
    for cut in 0..whole.len() {
        let mut closed = Gateway::connect(place.scgi.expect("a listener"));
        closed.0.send(&whole[..cut]);
        closed.0.close();
        let mut gateway = Gateway::connect(place.scgi.expect("a listener"));
        gateway.0.send(&whole[..cut]);
        gateway.0.close_writing();
        let answer = gateway.response().map(|answer| answer.status);
        assert_eq!(answer, (cut > 0).then_some(400), "{cut}");
    }
    let mut silent: Vec<Gateway> = (0..whole.len())
        .map(|cut| {
            let mut gateway = Gateway::connect(place.scgi.expect("a listener"));
            gateway.0.send(&whole[..cut]);
            gateway
        })
        .collect();
    for (cut, gateway) in silent.iter_mut().enumerate() {
        assert_eq!(gateway.response().map(|answer| answer.status), Some(408), "{cut}");
    }
    // One that sends a byte now and then is no better than a silent one: its time counts from its first byte.
    let mut slow = Gateway::connect(place.scgi.expect("a listener"));
    let began = Instant::now();
    for byte in &whole {
        if !slow.0.try_send(&[*byte]) || began.elapsed() > Duration::from_secs(2) {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    let answer = slow.response().map(|answer| answer.status);
    assert!(answer.is_none_or(|status| status == 408), "{answer:?}");
    drop((silent, slow));
    assert_eq!(status(&place, &whole), 200);
    router_succeeds(&place);
    let until = Instant::now() + Duration::from_secs(10);
    while descriptors(&place) > before + 1 {
        assert!(Instant::now() < until, "{} descriptors, {before} before", descriptors(&place));
        thread::sleep(Duration::from_millis(20));
    }
}

/// Guards the room of each front against the other's crowd.
#[test]
fn silent_gateways_take_no_room_of_routers_and_no_descriptors() {
    let (place, kernel) = up(&operator(16, "2s"), |all| all["limits"]["sockets"] = json!(128));
    runs_all(kernel);
    let mut routers: Vec<Router> = (0..20)
        .map(|_| {
            let mut router = Router::connect(place.server);
            router.0.send(frame(16, 1, &[0]));
            assert_eq!(router.frame().kind, 32);
            router
        })
        .collect();
    let silent: Vec<Gateway> = (0..300).map(|_| Gateway::connect(place.scgi.expect("a listener"))).collect();
    assert_eq!(status(&place, &scgi_request("POST", "/lookup", &[], b"x")), 200, "the newest gets in");
    assert!(descriptors(&place) <= 128, "{}", descriptors(&place));
    // Not one router was closed for them.
    for (at, router) in routers.iter_mut().enumerate() {
        let txn = format!("{:016x}", 0x100 + at);
        router.0.send(invocation(2, &txn, "lookup", b"native"));
        assert_eq!(router.answer(), (2, "succeeded", b"lookup native".to_vec()));
    }
    // The other way round: a crowd of routers up to their limit leaves the gateways theirs.
    let crowd: Vec<Router> = (0..150).map(|_| Router::connect(place.server)).collect();
    assert_eq!(status(&place, &scgi_request("POST", "/lookup", &[], b"x")), 200);
    assert!(descriptors(&place) <= 128, "{}", descriptors(&place));
    drop((silent, crowd));
}

/// All reconnect at once, more than there is room for, while nothing ends: whoever finds no place is told at once.
#[test]
fn a_storm_is_answered_one_by_one() {
    let (place, mut kernel) = up(&operator(16, "2s"), |_| {});
    let address = place.scgi.expect("a listener");
    let storm: Vec<_> = (0..200)
        .map(|at| {
            thread::spawn(move || {
                let began = Instant::now();
                let mut gateway = Gateway::asks(address, "POST", "/lookup", format!("{at}").as_bytes());
                (gateway.response(), began.elapsed())
            })
        })
        .collect();
    // Nothing is run to its end before all the others have had their answers.
    let mut held = Vec::new();
    let mut ended = 0;
    let answers = thread::spawn(move || {
        let mut all = Vec::new();
        for one in storm {
            all.push(one.join().expect("an end"));
        }
        all
    });
    while !answers.is_finished() {
        if let Some((msg, call, _)) = kernel.hear_within(Duration::from_millis(300)) {
            if msg == "SCHED" {
                held.push(call);
            }
        } else if let Some(call) = held.pop() {
            kernel.tell("REAP", &call, "OK", b"done");
            ended += 1;
        }
    }
    let answers = answers.join().expect("answers");
    let count = |wanted: u16| {
        let fits =
            |answer: &&(Option<Response>, Duration)| answer.0.as_ref().is_some_and(|r| r.status == wanted);
        answers.iter().filter(fits).count()
    };
    // On a busy machine this kernel ends some runs after their callers' time, of a second: told so when it is over, not before.
    let late = answers.iter().filter(|(answer, took)| {
        answer.as_ref().is_some_and(|r| r.status == 504) && *took > Duration::from_millis(900)
    });
    let (late, done, back) = (late.count(), count(200), count(503));
    assert_eq!(done + back + late, 200, "each has one answer: {done}, {back} and {late}");
    assert!(count(200) > 0 && count(200) <= ended && count(503) > 100);
    let told = answers.iter().filter_map(|answer| answer.0.as_ref()).filter(|answer| answer.status == 503);
    let quick = told.clone().filter(|answer| answer.field("Retry-After").is_some()).count();
    assert!(quick > 100, "{quick} were told when to come back");
    runs_all(kernel);
    router_succeeds(&place);
}

/// Guards callers against waiting for a place that others' runs hold.
#[test]
fn one_that_finds_no_room_is_told_at_once() {
    let (place, mut kernel) = up(&operator(2, "2s"), |_| {});
    let address = place.scgi.expect("a listener");
    let mut running: Vec<Gateway> = Vec::new();
    for _ in 0..2 {
        running.push(Gateway::asks(address, "POST", "/lookup", b"long"));
        assert_eq!(kernel.hear().expect("a command").0, "SCHED");
    }
    let began = Instant::now();
    for _ in 0..20 {
        let answer = asks(&place, &scgi_request("POST", "/lookup", &[], b"x")).expect("an answer");
        assert_eq!((answer.status, answer.field("Retry-After")), (503, Some("1")));
    }
    // Far under the due time of those that run, with which their places would come free.
    assert!(began.elapsed() < Duration::from_millis(1500), "{:?}", began.elapsed());
}

/// Guards the answer to one that is still sending: the close of a connection with bytes unread would reset it.
#[test]
fn whoever_is_refused_while_it_sends_is_read_for_a_while() {
    let (place, kernel) = up(&operator(64, "2s"), |_| {});
    runs_all(kernel);
    let mut sending = Gateway::connect(place.scgi.expect("a listener"));
    sending.0.send("401:");
    assert_eq!(sending.response().expect("an answer, to its end").status, 431);
    for _ in 0..3 {
        assert!(sending.0.try_send(&[0; 1000]), "no reset yet");
        thread::sleep(Duration::from_millis(10));
    }
}

/// A caller that closes while its answer is on its way harms nobody; one that never reads neither.
#[test]
fn answers_to_nobody_are_dropped() {
    let (place, mut kernel) = up(&operator(64, "2s"), |_| {});
    let address = place.scgi.expect("a listener");
    let mut earlier = Vec::new();
    for way in 0..3 {
        let mut gateway = Gateway::asks(address, "POST", "/lookup", b"big");
        // Where it heard of the caller's going before the end of the run, it was told to stop that first.
        let call = loop {
            let (msg, call, _) = kernel.hear().expect("a command");
            if msg == "SCHED" {
                break call;
            }
            assert!(msg == "PREEMPT" && earlier.contains(&call), "{msg} of {call}");
        };
        if way == 0 {
            gateway.0.reset();
        }
        kernel.tell("REAP", &call, "OK", &[7; 4096]);
        if way == 1 {
            gateway.0.reset(); // the answer may be there, unread
        }
        if way == 2 {
            let answer = gateway.response().expect("an answer");
            assert_eq!(answer.body, vec![7; 4096]);
        }
        earlier.push(call);
    }
    runs_all(kernel);
    router_succeeds(&place);
}

#[test]
fn before_the_kernel_is_up_gateways_are_told_to_come_back() {
    let place = Place::start_with(Path::new(PROGRAM), CONFIG, &operator(64, "2s"), |_| {});
    let (mut kernel, _) = Kernel::accept(&place.kernel);
    let answer = asks(&place, &scgi_request("POST", "/lookup", &[], b"early")).expect("an answer");
    assert_eq!((answer.status, answer.field("Retry-After")), (503, Some("1")));
    kernel.boot("WARM");
    place.logged("kernel up");
    runs_all(kernel);
    assert_eq!(status(&place, &scgi_request("POST", "/lookup", &[], b"now")), 200);
}

/// Half a request at the end of the grace never ran: it is told so, and the program ends.
#[test]
fn a_drain_turns_half_requests_away_and_closes_the_listener() {
    let change = |all: &mut serde_json::Value| {
        all["stop_ms"] = json!(60_000);
        all["settings"]["obligations"]["stop_sending_within_ns"] = json!(200_000_000);
    };
    let (mut place, kernel) = up(&operator(64, "10s"), change);
    runs_all(kernel);
    let address = place.scgi.expect("a listener");
    let whole = scgi_request("POST", "/lookup", &[], b"half");
    let mut half = Gateway::connect(address);
    half.0.send(&whole[..20]);
    assert_eq!(status(&place, &scgi_request("POST", "/lookup", &[], b"whole")), 200);
    place.signal("TERM");
    let answer = half.response().expect("an answer");
    assert_eq!((answer.status, answer.field("Retry-After")), (503, Some("1")));
    assert!(place.exit().success());
    assert!(std::net::TcpStream::connect(address).is_err());
}

#[test]
fn routes_follow_the_operators_file_and_a_faulty_one_changes_nothing() {
    let (place, kernel) = up(&operator(64, "2s"), |_| {});
    runs_all(kernel);
    let ask = |path| status(&place, &scgi_request("POST", path, &[], b"x"));
    assert_eq!((ask("/lookup"), ask("/new")), (200, 404));
    place.operates("scgi: {listen: 7, routs: []}");
    assert!(place.logged("not taken over: ").contains("scgi.listen: expected address, found 7"));
    assert!(place.logged("not taken over: ").contains("scgi.routs: no such field"));
    assert_eq!((ask("/lookup"), ask("/new")), (200, 404));
    place.operates(&operator(64, "2s").replace("operation: \"lookup\"", "operation: \"dance\""));
    assert!(place
        .logged("not taken over: ")
        .contains("no operation \"dance\" in the settings; one of report, lookup"));
    place.operates(&operator(32, "2s").replace("/lookup\"", "/new\""));
    place.logged("change with a start only");
    place.logged("operator's file read again");
    assert_eq!((ask("/lookup"), ask("/new")), (404, 200));
    place.operates("");
    place.logged("scgi is switched on or off with a start only");
    assert_eq!(ask("/new"), 200);
}

#[test]
fn the_operators_file_is_checked_before_the_start() {
    let path = std::env::temp_dir().join(format!("cypresscleat-operator-{}.cue", std::process::id()));
    let run = |words: &[&str], config: Option<&str>| {
        let mut command = Command::new(PROGRAM);
        command.args(words).env_remove("EDGE_CONFIG").env_remove("EDGE_LISTEN");
        if let Some(config) = config {
            command.env("EDGE_CONFIG", config);
        }
        let ended = command.output().expect("to start");
        let text = [ended.stdout, ended.stderr].concat();
        (ended.status.code(), String::from_utf8_lossy(&text).into_owned())
    };
    let file = path.to_str().expect("a path");
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../demo/config.json");
    let own = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operator.cue");
    assert_eq!(run(&["check", "--operator", own], Some(example)).0, Some(0));
    std::fs::write(&path, operator(64, "2s")).expect("to write");
    assert_eq!(run(&["check", "--operator", file], Some(example)).0, Some(0));
    let (code, text) = run(&["check", "--operator", file, "--show"], None);
    assert!(code == Some(0) && text.contains("connections: 64") && text.contains("memory: 24KiB"), "{text}");
    std::fs::write(&path, "scgi: {\n  listen: 7\n  conections: 3\n}\n").expect("to write");
    let (code, text) = run(&["check", "--operator", file], None);
    assert!(
        code == Some(2) && text.contains(":2:11") && text.contains("conections: no such field"),
        "{text}"
    );
    assert_eq!(run(&["--operator", file], Some(example)).0, Some(2), "nor does it start");
    std::fs::write(&path, operator(600, "2s")).expect("to write");
    let (code, text) = run(&["serve", "--operator", file], Some(example));
    assert!(code == Some(2) && text.contains("more than half of 1024 descriptors"), "{text}");
    let cases = [
        ("path: \"/lookup\"", "path: \"lookup\"", "a path begins with '/'"),
        ("\"X-Team\"", "\"X Team\"", "is no name of a header"),
        ("path: \"/lookup/deep\"", "path: \"/report\"", "has a route for one of these methods already"),
        ("operation: \"report\"", "operation: \"dance\"", "no operation \"dance\""),
        ("methods: [\"POST\"]", "methods: [\"PAST\"]", "expected \"GET\" | \"HEAD\""),
    ];
    for (from, to, wanted) in cases {
        std::fs::write(&path, operator(64, "2s").replace(from, to)).expect("to write");
        let (code, text) = run(&["check", "--operator", file], Some(example));
        assert!(code == Some(2) && text.contains(wanted), "{to}: {text}");
    }
    let _ = std::fs::remove_file(&path);
    assert_eq!(run(&["check", "--operator", file], None).0, Some(2), "no such file");
    for (words, code, wanted) in [
        (&["--version"][..], 0, "cypresscleat-server 0."),
        (&["--help"], 0, "--operator <FILE>"),
        (&["dance"], 2, "unrecognized subcommand"),
        (&["check"], 2, "--operator <FILE>"),
    ] {
        let (ended, text) = run(words, None);
        assert!(ended == Some(code) && text.contains(wanted), "{words:?}: {text}");
    }
}

/// What is known of a call to a backend is told truly: what surely never ran is made again, all else is not.
#[test]
fn calls_to_a_backend_end_as_its_answers_say() {
    let calls = r#"calls: scgi: {address: "LEDGER", path: "/put"}"#;
    let (place, mut kernel) = up(&(operator(64, "2s") + calls), |_| {});
    let address = place.scgi.expect("a listener");
    type Act = fn(&mut Backend);
    let good: [(&str, Act); 4] = [
        ("with its length", |backend| backend.answer("200 OK", b"noted")),
        ("by its end", |backend| {
            backend.0.send("Content-Type: text/plain\r\n\r\nnoted");
            backend.0.close_writing();
        }),
        ("more than is its own", |backend| {
            backend.0.send("Status: 200 OK\r\nContent-Length: 5\r\n\r\nnoted, and noise");
            backend.0.close();
        }),
        ("a byte at a time", |backend| {
            for byte in b"Status: 201 Created\nContent-Length: 5\n\nnoted" {
                backend.0.send([*byte]);
            }
        }),
    ];
    let bad: [(&str, Act); 6] = [
        ("an end without a word", |backend| backend.0.close()),
        ("noise", |backend| backend.0.send([0xff; 3000])),
        ("a header without end", |backend| {
            backend.0.try_send(&[b'a'; 20_000]);
        }),
        ("too large", |backend| backend.0.send("Status: 200 OK\r\nContent-Length: 4097\r\n\r\n")),
        ("half", |backend| {
            backend.0.send("Status: 200 OK\r\nContent-Length: 5\r\n\r\nno");
            backend.0.close();
        }),
        ("an error", |backend| backend.answer("500 Sorry", b"")),
    ];
    let begin = |kernel: &mut Kernel| {
        let gateway = Gateway::asks(address, "POST", "/report", b"x");
        let (msg, call, _) = kernel.hear().expect("a command");
        assert_eq!(msg, "SCHED");
        kernel.tell("IOREQ", &call, "", b"put");
        (gateway, call)
    };
    for (what, act) in good {
        let (mut gateway, call) = begin(&mut kernel);
        let mut backend = Backend::accept(&place.ledger);
        assert_eq!(backend.hear().1, b"put");
        act(&mut backend);
        assert_eq!(kernel.expect("IODONE", &call), b"noted", "{what}");
        kernel.tell("REAP", &call, "OK", b"done");
        assert_eq!(gateway.response().expect("an answer").status, 200, "{what}");
    }
    for (what, act) in bad {
        let (mut gateway, call) = begin(&mut kernel);
        // The operation is idempotent: the call is made once more.
        for _ in 0..2 {
            let mut backend = Backend::accept(&place.ledger);
            backend.hear();
            act(&mut backend);
        }
        assert_eq!(gateway.response().expect("an answer").status, 502, "{what}");
        kernel.tell("REAP", &call, "STOPPED", b""); // nobody waits for it any more
    }
    // Turned away, then well.
    let (mut gateway, call) = begin(&mut kernel);
    for status in ["503 Full", "200 OK"] {
        let mut backend = Backend::accept(&place.ledger);
        backend.hear();
        backend.answer(status, b"noted");
    }
    assert_eq!(kernel.expect("IODONE", &call), b"noted");
    kernel.tell("REAP", &call, "OK", b"done");
    assert_eq!(gateway.response().expect("an answer").status, 200);
}
