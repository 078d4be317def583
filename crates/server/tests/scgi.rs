//! The SCGI listener over loopback: requests cut at every byte, hostile and slow gateways, connection slots and descriptors,
//! connection storms, drain, reload, backends. Scenarios that both protocols share are in tests/both.

use cypresscleat_demo::{
    frame, request_frame, scgi_request, Backend, Deployment, Gateway, Kernel, Response, Router,
};
use serde_json::json;
use std::path::Path;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");
const ONE: &str = "00000000000000a1";

fn operator_file(connections: usize, patience: &str) -> String {
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

fn start(operator: &str, change: impl FnOnce(&mut serde_json::Value)) -> (Deployment, Kernel) {
    let place = Deployment::start_with(Path::new(PROGRAM), CONFIG, operator, change);
    let (mut kernel, _) = Kernel::accept(&place.kernel);
    kernel.boot("WARM");
    place.logged("kernel up");
    (place, kernel)
}

/// Runs every request at once, on a separate thread; each result states the operation and the body of the request.
fn run_all_requests(mut kernel: Kernel) {
    thread::spawn(move || {
        while let Some((msg, call, body)) = kernel.receive() {
            if msg == "SCHED" {
                let result = format!("{} {}", kernel.service, String::from_utf8_lossy(&body));
                kernel.send_notice("REAP", &call, "OK", result.as_bytes());
            }
        }
    });
}

fn send_request(place: &Deployment, bytes: &[u8]) -> Option<Response> {
    let mut gateway = Gateway::connect(place.scgi.expect("a listener"));
    gateway.0.try_send(bytes);
    gateway.response()
}

fn request_status(place: &Deployment, bytes: &[u8]) -> u16 {
    send_request(place, bytes).expect("an answer").status
}

fn open_descriptors(place: &Deployment) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", place.id())).expect("its descriptors").count()
}

fn expect_router_request_succeeds(place: &Deployment) {
    let mut router = Router::connect(place.server);
    router.0.send(request_frame(1, ONE, "lookup", b"native"));
    assert_eq!(router.answer(), (1, "succeeded", b"lookup native".to_vec()));
}

#[test]
fn requests_are_routed_by_path_and_method_and_their_headers_are_read() {
    let (place, kernel) = start(&operator_file(64, "2s"), |_| {});
    run_all_requests(kernel);
    let ask = |method, path, headers: &[(&str, &str)], body: &[u8]| {
        send_request(&place, &scgi_request(method, path, headers, body)).expect("an answer")
    };
    let good = ask("POST", "/lookup", &[("HTTP_X_TEAM", "bolt"), ("HTTP_X_WAIT_MS", "900")], b"cab 7");
    assert_eq!((good.status, &good.body[..]), (200, &b"lookup cab 7"[..]));
    assert_eq!(good.field("Content-Type"), Some("application/octet-stream"));
    assert_eq!(ask("GET", "/lookup/x", &[("QUERY_STRING", "cab=7")], b"").body, b"lookup cab=7");
    assert_eq!(ask("POST", "/lookup/deep/er", &[], b"z").body, b"report z", "the longest matching path");
    assert_eq!(ask("POST", "/report", &[("HTTP_X_WORK", "12.5"), ("HTTP_X_RANK", "0.25")], b"z").status, 200);
    // Gateways that mount the server under a prefix send the path in two parts.
    let two_part_path = scgi_request("POST", "/report", &[("PATH_INFO", "/of/today")], b"y");
    assert_eq!(send_request(&place, &two_part_path).expect("an answer").body, b"report y");
    let not_allowed = ask("GET", "/report", &[], b"");
    assert_eq!((not_allowed.status, not_allowed.field("Allow")), (405, Some("POST")));
    assert_eq!(ask("GET", "/lookup/deep", &[], b"").status, 405, "no fallback to a shorter path");
    for path in ["/", "/reports", "/look", "", "/REPORT"] {
        assert_eq!(ask("POST", path, &[], b"").status, 404, "{path}");
    }
    for header in [("HTTP_X_TEAM", "nobody"), ("HTTP_X_WAIT_MS", "soon"), ("HTTP_X_WAIT_MS", "-1")] {
        assert_eq!(ask("POST", "/lookup", &[header], b"").status, 400, "{header:?}");
    }
    for header in [("HTTP_X_WORK", "1e300"), ("HTTP_X_WORK", "NaN"), ("HTTP_X_RANK", "1")] {
        assert_eq!(ask("POST", "/report", &[header], b"").status, 400, "{header:?}");
    }
    // No route here accepts HEAD; without a body such a request would otherwise look like GET.
    assert_eq!(ask("HEAD", "/lookup", &[], b"").status, 405);
}

#[test]
fn invalid_requests_get_an_error_status_and_run_nothing() {
    let (place, kernel) = start(&operator_file(64, "2s"), |_| {});
    run_all_requests(kernel);
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
        assert_eq!(request_status(&place, bytes), *wanted, "{shown}");
    }
    // Bytes after the body are ignored: the request is answered, and only once.
    let mut two_requests = scgi_request("POST", "/lookup", &[], b"one");
    two_requests.extend(scgi_request("POST", "/lookup", &[], b"two"));
    assert_eq!(send_request(&place, &two_requests).expect("an answer").body, b"lookup one");
    expect_router_request_succeeds(&place);
}

#[test]
fn a_request_cut_at_any_byte_never_runs_and_leaks_no_descriptor() {
    let (place, kernel) = start(&operator_file(256, "300ms"), |_| {});
    run_all_requests(kernel);
    let before = open_descriptors(&place);
    let whole = scgi_request("POST", "/lookup", &[], b"five!");
    // An incomplete request, then a closed writing side: answered with 400. Then silence: answered with 408 in time. Then a
    // close: no answer.
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
    // A gateway that sends single bytes slowly is treated like a silent one: its time-out counts from the first byte.
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
    assert_eq!(request_status(&place, &whole), 200);
    expect_router_request_succeeds(&place);
    let until = Instant::now() + Duration::from_secs(10);
    while open_descriptors(&place) > before + 1 {
        assert!(Instant::now() < until, "{} descriptors, {before} before", open_descriptors(&place));
        thread::sleep(Duration::from_millis(20));
    }
}

/// Guards the connection slots of each listener against too many connections at the other one.
#[test]
fn silent_gateways_take_no_slots_of_routers_and_no_further_descriptors() {
    let (place, kernel) = start(&operator_file(16, "2s"), |all| all["limits"]["sockets"] = json!(128));
    run_all_requests(kernel);
    let mut routers: Vec<Router> = (0..20)
        .map(|_| {
            let mut router = Router::connect(place.server);
            router.0.send(frame(16, 1, &[0]));
            assert_eq!(router.frame().kind, 32);
            router
        })
        .collect();
    let silent: Vec<Gateway> = (0..300).map(|_| Gateway::connect(place.scgi.expect("a listener"))).collect();
    assert_eq!(
        request_status(&place, &scgi_request("POST", "/lookup", &[], b"x")),
        200,
        "the newest connection is served"
    );
    assert!(open_descriptors(&place) <= 128, "{}", open_descriptors(&place));
    // No router connection was closed for the gateways.
    for (at, router) in routers.iter_mut().enumerate() {
        let txn = format!("{:016x}", 0x100 + at);
        router.0.send(request_frame(2, &txn, "lookup", b"native"));
        assert_eq!(router.answer(), (2, "succeeded", b"lookup native".to_vec()));
    }
    // Conversely, router connections up to their limit leave the gateways their slots.
    let many_routers: Vec<Router> = (0..150).map(|_| Router::connect(place.server)).collect();
    assert_eq!(request_status(&place, &scgi_request("POST", "/lookup", &[], b"x")), 200);
    assert!(open_descriptors(&place) <= 128, "{}", open_descriptors(&place));
    drop((silent, many_routers));
}

/// More gateways than there are slots reconnect at once while no request ends: a gateway without a slot is rejected at once.
#[test]
fn each_request_of_a_connection_storm_gets_one_answer() {
    let (place, mut kernel) = start(&operator_file(16, "2s"), |_| {});
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
    // No run ends before all rejected requests have their answers.
    let mut running = Vec::new();
    let mut ended = 0;
    let answers = thread::spawn(move || {
        let mut all = Vec::new();
        for gateway_thread in storm {
            all.push(gateway_thread.join().expect("an end"));
        }
        all
    });
    while !answers.is_finished() {
        if let Some((msg, call, _)) = kernel.receive_within(Duration::from_millis(300)) {
            if msg == "SCHED" {
                running.push(call);
            }
        } else if let Some(call) = running.pop() {
            kernel.send_notice("REAP", &call, "OK", b"done");
            ended += 1;
        }
    }
    let answers = answers.join().expect("answers");
    let count = |wanted: u16| {
        let fits =
            |answer: &&(Option<Response>, Duration)| answer.0.as_ref().is_some_and(|r| r.status == wanted);
        answers.iter().filter(fits).count()
    };
    // On a busy machine this executor ends some runs after the deadline of one second: those requests get 504 at the deadline,
    // not earlier.
    let late = answers.iter().filter(|(answer, took)| {
        answer.as_ref().is_some_and(|r| r.status == 504) && *took > Duration::from_millis(900)
    });
    let (late, done, rejected) = (late.count(), count(200), count(503));
    assert_eq!(
        done + rejected + late,
        200,
        "each has one answer: {done} succeeded, {rejected} rejected, {late} late"
    );
    assert!(count(200) > 0 && count(200) <= ended && count(503) > 100);
    let rejections =
        answers.iter().filter_map(|answer| answer.0.as_ref()).filter(|answer| answer.status == 503);
    let quick = rejections.clone().filter(|answer| answer.field("Retry-After").is_some()).count();
    assert!(quick > 100, "{quick} answers have Retry-After");
    run_all_requests(kernel);
    expect_router_request_succeeds(&place);
}

/// Guards clients against waiting for a slot that the running requests of others hold.
#[test]
fn a_request_without_a_slot_is_rejected_at_once() {
    let (place, mut kernel) = start(&operator_file(2, "2s"), |_| {});
    let address = place.scgi.expect("a listener");
    let mut running: Vec<Gateway> = Vec::new();
    for _ in 0..2 {
        running.push(Gateway::asks(address, "POST", "/lookup", b"long"));
        assert_eq!(kernel.receive().expect("a command").0, "SCHED");
    }
    let began = Instant::now();
    for _ in 0..20 {
        let answer = send_request(&place, &scgi_request("POST", "/lookup", &[], b"x")).expect("an answer");
        assert_eq!((answer.status, answer.field("Retry-After")), (503, Some("1")));
    }
    // Far less than the deadline of the running requests, at which their slots would become free.
    assert!(began.elapsed() < Duration::from_millis(1500), "{:?}", began.elapsed());
}

/// Guards the error answer to a gateway that is still sending: closing a connection with unread bytes would reset it.
#[test]
fn a_gateway_refused_while_it_sends_is_read_for_a_while() {
    let (place, kernel) = start(&operator_file(64, "2s"), |_| {});
    run_all_requests(kernel);
    let mut sending = Gateway::connect(place.scgi.expect("a listener"));
    sending.0.send("401:");
    assert_eq!(sending.response().expect("an answer, to its end").status, 431);
    for _ in 0..3 {
        assert!(sending.0.try_send(&[0; 1000]), "no reset yet");
        thread::sleep(Duration::from_millis(10));
    }
}

/// A gateway that resets its connection before or while its answer is sent does not affect others.
#[test]
fn answers_to_closed_connections_are_dropped() {
    let (place, mut kernel) = start(&operator_file(64, "2s"), |_| {});
    let address = place.scgi.expect("a listener");
    let mut earlier = Vec::new();
    for variant in 0..3 {
        let mut gateway = Gateway::asks(address, "POST", "/lookup", b"big");
        // Where the server noticed the reset before the end of the run, it sent PREEMPT for that run first.
        let call = loop {
            let (msg, call, _) = kernel.receive().expect("a command");
            if msg == "SCHED" {
                break call;
            }
            assert!(msg == "PREEMPT" && earlier.contains(&call), "{msg} of {call}");
        };
        if variant == 0 {
            gateway.0.reset();
        }
        kernel.send_notice("REAP", &call, "OK", &[7; 4096]);
        if variant == 1 {
            gateway.0.reset(); // the answer may have arrived and be unread
        }
        if variant == 2 {
            let answer = gateway.response().expect("an answer");
            assert_eq!(answer.body, vec![7; 4096]);
        }
        earlier.push(call);
    }
    run_all_requests(kernel);
    expect_router_request_succeeds(&place);
}

#[test]
fn before_the_executor_is_up_gateways_get_a_retry_delay() {
    let place = Deployment::start_with(Path::new(PROGRAM), CONFIG, &operator_file(64, "2s"), |_| {});
    let (mut kernel, _) = Kernel::accept(&place.kernel);
    let answer = send_request(&place, &scgi_request("POST", "/lookup", &[], b"early")).expect("an answer");
    assert_eq!((answer.status, answer.field("Retry-After")), (503, Some("1")));
    kernel.boot("WARM");
    place.logged("kernel up");
    run_all_requests(kernel);
    assert_eq!(request_status(&place, &scgi_request("POST", "/lookup", &[], b"now")), 200);
}

/// An incomplete request at the end of the grace period never ran: it is rejected, and the process exits.
#[test]
fn a_drain_rejects_incomplete_requests_and_closes_the_listener() {
    let change = |all: &mut serde_json::Value| {
        all["stop_ms"] = json!(60_000);
        all["settings"]["obligations"]["stop_sending_within_ns"] = json!(200_000_000);
    };
    let (mut place, kernel) = start(&operator_file(64, "10s"), change);
    run_all_requests(kernel);
    let address = place.scgi.expect("a listener");
    let whole = scgi_request("POST", "/lookup", &[], b"half");
    let mut half = Gateway::connect(address);
    half.0.send(&whole[..20]);
    assert_eq!(request_status(&place, &scgi_request("POST", "/lookup", &[], b"whole")), 200);
    place.signal("TERM");
    let answer = half.response().expect("an answer");
    assert_eq!((answer.status, answer.field("Retry-After")), (503, Some("1")));
    assert!(place.exit().success());
    assert!(std::net::TcpStream::connect(address).is_err());
}

#[test]
fn routes_follow_the_operators_file_and_an_invalid_file_changes_nothing() {
    let (place, kernel) = start(&operator_file(64, "2s"), |_| {});
    run_all_requests(kernel);
    let status_of = |path| request_status(&place, &scgi_request("POST", path, &[], b"x"));
    assert_eq!((status_of("/lookup"), status_of("/new")), (200, 404));
    place.operates("scgi: {listen: 7, routs: []}");
    assert!(place.logged("not taken over: ").contains("scgi.listen: expected address, found 7"));
    assert!(place.logged("not taken over: ").contains("scgi.routs: no such field"));
    assert_eq!((status_of("/lookup"), status_of("/new")), (200, 404));
    place.operates(&operator_file(64, "2s").replace("operation: \"lookup\"", "operation: \"dance\""));
    assert!(place
        .logged("not taken over: ")
        .contains("no operation \"dance\" in the settings; one of report, lookup"));
    place.operates(&operator_file(32, "2s").replace("/lookup\"", "/new\""));
    place.logged("change with a start only");
    place.logged("operator's file read again");
    assert_eq!((status_of("/lookup"), status_of("/new")), (404, 200));
    place.operates("");
    place.logged("scgi is switched on or off with a start only");
    assert_eq!(status_of("/new"), 200);
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
    let deployed_file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operator.cue");
    assert_eq!(run(&["check", "--operator", deployed_file], Some(example)).0, Some(0));
    std::fs::write(&path, operator_file(64, "2s")).expect("to write");
    assert_eq!(run(&["check", "--operator", file], Some(example)).0, Some(0));
    let (code, text) = run(&["check", "--operator", file, "--show"], None);
    assert!(code == Some(0) && text.contains("connections: 64") && text.contains("memory: 24KiB"), "{text}");
    std::fs::write(&path, "scgi: {\n  listen: 7\n  conections: 3\n}\n").expect("to write");
    let (code, text) = run(&["check", "--operator", file], None);
    assert!(
        code == Some(2) && text.contains(":2:11") && text.contains("conections: no such field"),
        "{text}"
    );
    assert_eq!(run(&["--operator", file], Some(example)).0, Some(2), "the server does not start either");
    std::fs::write(&path, operator_file(600, "2s")).expect("to write");
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
        std::fs::write(&path, operator_file(64, "2s").replace(from, to)).expect("to write");
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

/// The outcome of a call follows from the backend's response: a call that may have run is retried only where its request class is
/// idempotent, a rejected one always.
#[test]
fn calls_to_a_backend_end_as_its_responses_state() {
    let calls = r#"calls: scgi: {address: "LEDGER", path: "/put"}"#;
    let (place, mut kernel) = start(&(operator_file(64, "2s") + calls), |_| {});
    let address = place.scgi.expect("a listener");
    type Respond = fn(&mut Backend);
    let good: [(&str, Respond); 4] = [
        ("with Content-Length", |backend| backend.answer("200 OK", b"noted")),
        ("ended by the close", |backend| {
            backend.0.send("Content-Type: text/plain\r\n\r\nnoted");
            backend.0.close_writing();
        }),
        ("bytes after the body", |backend| {
            backend.0.send("Status: 200 OK\r\nContent-Length: 5\r\n\r\nnoted, and noise");
            backend.0.close();
        }),
        ("a byte at a time", |backend| {
            for byte in b"Status: 201 Created\nContent-Length: 5\n\nnoted" {
                backend.0.send([*byte]);
            }
        }),
    ];
    let bad: [(&str, Respond); 6] = [
        ("a close without a response", |backend| backend.0.close()),
        ("invalid bytes", |backend| backend.0.send([0xff; 3000])),
        ("a header without end", |backend| {
            backend.0.try_send(&[b'a'; 20_000]);
        }),
        ("too large", |backend| backend.0.send("Status: 200 OK\r\nContent-Length: 4097\r\n\r\n")),
        ("half a body", |backend| {
            backend.0.send("Status: 200 OK\r\nContent-Length: 5\r\n\r\nno");
            backend.0.close();
        }),
        ("an error", |backend| backend.answer("500 Sorry", b"")),
    ];
    let begin_call = |kernel: &mut Kernel| {
        let gateway = Gateway::asks(address, "POST", "/report", b"x");
        let (msg, call, _) = kernel.receive().expect("a command");
        assert_eq!(msg, "SCHED");
        kernel.send_notice("IOREQ", &call, "", b"put");
        (gateway, call)
    };
    for (what, respond) in good {
        let (mut gateway, call) = begin_call(&mut kernel);
        let mut backend = Backend::accept(&place.ledger);
        assert_eq!(backend.receive().1, b"put");
        respond(&mut backend);
        assert_eq!(kernel.expect("IODONE", &call), b"noted", "{what}");
        kernel.send_notice("REAP", &call, "OK", b"done");
        assert_eq!(gateway.response().expect("an answer").status, 200, "{what}");
    }
    for (what, respond) in bad {
        let (mut gateway, call) = begin_call(&mut kernel);
        // The request class is idempotent: the call is retried once.
        for _ in 0..2 {
            let mut backend = Backend::accept(&place.ledger);
            backend.receive();
            respond(&mut backend);
        }
        assert_eq!(gateway.response().expect("an answer").status, 502, "{what}");
        kernel.send_notice("REAP", &call, "STOPPED", b""); // the executor ends the run whose call was given up
    }
    // Rejected, then successful.
    let (mut gateway, call) = begin_call(&mut kernel);
    for status in ["503 Full", "200 OK"] {
        let mut backend = Backend::accept(&place.ledger);
        backend.receive();
        backend.answer(status, b"noted");
    }
    assert_eq!(kernel.expect("IODONE", &call), b"noted");
    kernel.send_notice("REAP", &call, "OK", b"done");
    assert_eq!(gateway.response().expect("an answer").status, 200);
}
