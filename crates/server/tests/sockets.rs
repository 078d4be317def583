//! Runs the server program over loopback between the stand-ins of `cypresscleat-demo`: whole requests, broken links, hostile
//! peers, limits, drain. Each party sends only after it has received what it waits for, so the order of events is fixed.

use cypresscleat_demo::{frame, report, request_frame, Deployment, Kernel, Ledger, Link, Router, ONE, TWO};
use serde_json::{json, Value};
use std::path::Path;
use std::process::{Command, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");

fn start(change: impl FnOnce(&mut Value)) -> Deployment {
    Deployment::start(Path::new(PROGRAM), CONFIG, change)
}

/// Starts a server whose executor is up.
fn start_with_executor(change: impl FnOnce(&mut Value)) -> (Deployment, Kernel) {
    Deployment::up(Path::new(PROGRAM), CONFIG, change)
}

/// Sends one invocation and lets it run to its end.
fn run_request(router: &mut Router, kernel: &mut Kernel, stream: u32, txn: &str) {
    router.0.send(request_frame(stream, txn, "lookup", b"ask"));
    assert_eq!(kernel.expect("SCHED", txn), b"ask");
    kernel.send_notice("REAP", txn, "OK", b"result");
    assert_eq!(router.answer(), (stream, "succeeded", b"result".to_vec()));
}

#[test]
fn a_request_runs_calls_and_is_answered() {
    let (place, mut kernel) = start_with_executor(|_| {});
    let mut roster = Link::new(place.roster.accept().expect("a report").0);
    let (path, body) = report(&mut roster, "204 No Content").expect("a report");
    assert_eq!((path.as_str(), body.as_str()), ("PUT /roster/toy HTTP/1.1", "{\"duty\":\"on\"}"));

    let mut router = Router::connect(place.server);
    let mut bytes = request_frame(1, ONE, "report", &[7; 2048]);
    bytes.extend(request_frame(2, TWO, "lookup", b""));
    bytes.extend(frame(16, 9, &[0]));
    for part in bytes.chunks(501) {
        router.0.send(part); // frames arrive in parts, and several in one part
    }
    let check = router.frame();
    assert_eq!((check.kind, check.stream, check.payload[0]), (32, 9, 79));
    assert_eq!(kernel.expect("SCHED", ONE), vec![7; 2048]);
    kernel.expect("SCHED", TWO);
    kernel.send_notice("IOREQ", ONE, "", b"put");
    let mut ledger = Ledger::accept(&place.ledger);
    let (words, body) = ledger.receive().expect("a call");
    assert_eq!((&words[..2], &body[..]), (&["post".to_string(), ONE.to_string()][..], &b"put"[..]));
    kernel.send_notice("REAP", TWO, "OK", b"second");
    assert_eq!(router.answer(), (2, "succeeded", b"second".to_vec()), "answers come in any order");
    ledger.posted(ONE, &[1; 4096]);
    assert_eq!(kernel.expect("IODONE", ONE), vec![1; 4096]);
    kernel.send_notice("REAP", ONE, "OK", &[9; 4096]);
    assert_eq!(router.answer(), (1, "succeeded", vec![9; 4096]));
    place.signal("USR1");
    let counters = place.logged("connections 1,");
    assert!(counters.contains("invocations 2, ") && counters.contains("succeeded 2, "), "{counters}");
}

/// Guards the start of a cold server: the executor answers no poll of its gauges before it is up.
#[test]
fn a_late_executor_is_polled_only_once_it_is_up() {
    let place = start(|_| {});
    let (mut kernel, _) = Kernel::accept(&place.kernel);
    let mut router = Router::connect(place.server);
    router.0.send(frame(16, 1, &[0]));
    assert_eq!(router.frame().kind, 32, "health checks are answered before the executor is up");
    kernel.boot("COLD");
    assert!(place.logged("kernel up").ends_with("cold"));
    let first = kernel.link.line().expect("a command");
    assert!(first.contains("SYSINFO"), "{first}");
    kernel.say(json!({"msg": "INFO", "cookie": "sync", "stats": [0, 0, 0, 0]}));
    run_request(&mut router, &mut kernel, 1, ONE);
}

/// Guards against a process that exits on SIGHUP, and against messages to the old address of a party that has moved.
#[test]
fn a_new_configuration_moves_the_links_and_loses_nothing() {
    let (mut place, mut kernel) = start_with_executor(|_| {});
    let mut router = Router::connect(place.server);
    for (stream, txn) in [(1, ONE), (2, TWO)] {
        router.0.send(request_frame(stream, txn, "report", b"ask"));
        kernel.expect("SCHED", txn);
    }
    kernel.send_notice("IOREQ", ONE, "", b"put");
    let mut ledger = Ledger::accept(&place.ledger);
    assert_eq!(ledger.receive().expect("a call").0[1], ONE);
    place.configure("{\"kernel\": 7}");
    place.logged("not taken over: ");
    let [kernels, ledgers, rosters] = place.moves();
    let (mut moved_kernel, serial) = Kernel::accept(&kernels);
    assert_eq!(serial, 1, "runs and serial numbers continue");
    moved_kernel.boot("WARM");
    report(&mut Link::new(rosters.accept().expect("a report").0), "204 No Content").expect("a report");
    moved_kernel.send_notice("IOREQ", TWO, "", b"put");
    let ledger_thread = std::thread::spawn(move || {
        let mut new_ledger = Ledger::accept(&ledgers);
        assert_eq!(new_ledger.receive().expect("a call").0[1], TWO, "new calls go to the new address");
        ledger.posted(ONE, b"noted"); // an earlier call ends on its old connection
        assert!(ledger.0.ended(), "the old connection closes after its last call");
        new_ledger.posted(TWO, b"noted");
    });
    for txn in [ONE, TWO] {
        assert_eq!(moved_kernel.expect("IODONE", txn), b"noted");
        moved_kernel.send_notice("REAP", txn, "OK", b"result");
    }
    ledger_thread.join().expect("both calls");
    assert_eq!(router.answer(), (1, "succeeded", b"result".to_vec()));
    assert_eq!(router.answer(), (2, "succeeded", b"result".to_vec()));
    assert!(kernel.ended_without_command());
    place.signal("USR1");
    assert!(place.logged("connections 1,").contains("reloads 1, "));
}

#[test]
fn a_broken_link_to_the_executor_loses_nothing() {
    let (place, mut kernel) = start_with_executor(|_| {});
    let mut router = Router::connect(place.server);
    router.0.send(request_frame(1, ONE, "lookup", b"ask"));
    kernel.expect("SCHED", ONE);
    kernel.send_notice("DMESG", "", "a remark", b"");
    run_request(&mut router, &mut kernel, 2, TWO);
    kernel.link.close();
    let (mut second_link, serial) = Kernel::accept(&place.kernel);
    assert_eq!(serial, 2, "OPEN states the last notice that was read");
    second_link.boot("WARM");
    second_link.send_notice("REAP", ONE, "OK", b"meanwhile");
    assert_eq!(router.answer(), (1, "succeeded", b"meanwhile".to_vec()));
    // A gap in the serial numbers: notices were lost, and the server reconnects to get them.
    second_link.serial += 1;
    second_link.send_notice("DMESG", "", "too far", b"");
    let (mut third_link, serial) = Kernel::accept(&place.kernel);
    assert_eq!(serial, 3);
    third_link.boot("WARM");
    // Invalid lines and repeated serial numbers are ignored; the link stays up.
    third_link.link.send("not JSON\n{\"msg\":\"WHAT\"}\n[]\n{\"msg\":\"REAP\",\"serial\":4,\"call\":7}\n");
    third_link.link.send(vec![b'x'; 9000]);
    third_link.link.send("\n");
    third_link.serial = 3;
    third_link.send_notice("REAP", ONE, "ERROR", b"");
    run_request(&mut router, &mut third_link, 3, "00000000000000c3");
}

/// Guards concurrent calls against each other's failures, and a second call of a request against a copy of the first reply.
#[test]
fn calls_end_as_the_downstream_proxy_replies_and_an_invalid_reply_affects_only_its_own_call() {
    let (place, mut kernel) = start_with_executor(|_| {});
    let mut router = Router::connect(place.server);
    let mut begin_call = |kernel: &mut Kernel, stream, txn| {
        router.0.send(request_frame(stream, txn, "report", b"ask"));
        kernel.expect("SCHED", txn);
        kernel.send_notice("IOREQ", txn, "", b"put");
        let mut ledger = Ledger::accept(&place.ledger);
        assert_eq!(ledger.receive().expect("a call").0[1], txn);
        ledger
    };
    let mut first = begin_call(&mut kernel, 1, ONE);
    let mut second = begin_call(&mut kernel, 2, TWO); // the first call is open, so this one uses another connection
    first.0.send("what is this\r\n");
    assert!(first.0.ended(), "a connection with an invalid reply is closed");
    let mut reused = Ledger::accept(&place.ledger);
    assert_eq!(reused.receive().expect("the retried call").0[1], ONE);
    reused.0.send("0000000000000bad posted 2\r\nno\r\n"); // a reply to no call, ahead of the right one
    reused.posted(ONE, b"noted");
    assert_eq!(kernel.expect("IODONE", ONE), b"noted");
    second.0.send(format!("{TWO} posted 900\r\nnot all of it\r\n"));
    assert!(second.0.ended(), "a connection with an invalid end of a reply is closed");
    // The call is retried on the idle connection.
    assert_eq!(reused.receive().expect("the retried call").0[1], TWO);
    reused.posted(TWO, b"second");
    assert_eq!(kernel.expect("IODONE", TWO), b"second");
    // A second call of the request that last used this connection gets another connection, so that a copy of the first reply
    // can't be taken for the reply to the second call.
    kernel.send_notice("IOREQ", TWO, "", b"more");
    let mut other = Ledger::accept(&place.ledger);
    assert_eq!(other.receive().expect("a call").1, b"more");
    reused.posted(TWO, b"second");
    assert!(reused.0.ended());
    other.posted(TWO, b"third");
    assert_eq!(kernel.expect("IODONE", TWO), b"third");
    // A rejected call never ran, so it may be retried. The end of a run cancels its call.
    kernel.send_notice("IOREQ", ONE, "", b"put");
    assert_eq!(other.receive().expect("a call").0[1], ONE);
    other.0.send(format!("{ONE} queue_full\r\n"));
    let mut last = Ledger::accept(&place.ledger);
    assert_eq!(last.receive().expect("a second call").0[1], ONE);
    for txn in [ONE, TWO] {
        kernel.send_notice("REAP", txn, "OK", b"result");
    }
    assert!(last.0.ended());
    assert_eq!(router.answer(), (1, "succeeded", b"result".to_vec()));
    assert_eq!(router.answer(), (2, "succeeded", b"result".to_vec()));
}

#[test]
fn hostile_peers_get_errors_and_affect_no_other_peer() {
    let (mut place, mut kernel) = start_with_executor(|_| {});
    let mut good = Router::connect(place.server);
    let mut bad = Router::connect(place.server);
    bad.0.send(frame(2, 5, &[3, 4, b'v']));
    assert_eq!(bad.answer(), (5, "errored", Vec::new()), "truncated fields");
    bad.0.send(request_frame(6, ONE, "lookup", &[0; 2049]));
    assert_eq!(bad.answer(), (6, "errored", Vec::new()), "a body over the limit");
    run_request(&mut bad, &mut kernel, 8, ONE);
    bad.0.send(request_frame(9, TWO, "lookup", b""));
    kernel.expect("SCHED", TWO);
    bad.0.send(300_000u32.to_be_bytes());
    assert_eq!(
        bad.answer(),
        (0, "errored", Vec::new()),
        "a length out of bounds: the connection is read no further"
    );
    run_request(&mut good, &mut kernel, 1, "00000000000000c3");
    kernel.send_notice("REAP", TWO, "OK", b"still");
    assert_eq!(
        bad.answer(),
        (9, "succeeded", b"still".to_vec()),
        "open requests are answered before the close"
    );
    assert!(bad.0.ended());
    let wrong = [
        (0, frame(3, 5, b"what")),
        (0, request_frame(0, ONE, "lookup", b"")),
        (7, request_frame(7, ONE, "lookup", &[0; 100_000])),
        (0, vec![0xff; 10_000]),
    ];
    for (stream, bytes) in wrong {
        let mut bad = Router::connect(place.server);
        bad.0.try_send(&bytes);
        assert_eq!(bad.answer(), (stream, "errored", Vec::new()));
        assert!(bad.0.ended());
    }

    // One stream more than the maximum of open streams on one connection.
    for stream in 10..43 {
        good.0.send(request_frame(stream, &format!("{stream:016x}"), "lookup", b""));
    }
    let excess_answer = std::iter::from_fn(|| Some(good.answer())).find(|(stream, ..)| *stream == 42);
    assert_eq!(excess_answer, Some((42, "errored", Vec::new())));

    // Connections that end in the middle of a frame while a request is open.
    for cut in [3, 8, 20] {
        let mut truncated = Router::connect(place.server);
        truncated.0.send(request_frame(1, &format!("{cut:016x}"), "lookup", b""));
        truncated.0.send(&request_frame(2, TWO, "lookup", b"")[..cut]);
        truncated.0.close();
    }
    let mut after = Router::connect(place.server);
    after.0.send(frame(16, 1, &[0]));
    assert_eq!(after.frame().kind, 32);
    assert!(place.runs());
}

#[test]
fn many_new_connections_replace_idle_ones_and_keep_those_with_open_requests() {
    let (place, mut kernel) = start_with_executor(|json_config| json_config["limits"]["sockets"] = json!(64));
    let mut busy = Router::connect(place.server);
    busy.0.send(request_frame(1, ONE, "lookup", b"ask"));
    kernel.expect("SCHED", ONE);
    let mut idle: Vec<Router> = Vec::new();
    for _ in 0..100 {
        let mut router = Router::connect(place.server);
        router.0.send(frame(16, 1, &[0]));
        assert_eq!(router.frame().kind, 32, "the newest connection is served");
        idle.push(router);
    }
    assert_eq!(idle[0].frame().kind, 64, "the close of the connection idle for longest is announced");
    assert!(idle[0].0.ended());
    kernel.send_notice("REAP", ONE, "OK", b"result");
    assert_eq!(busy.answer(), (1, "succeeded", b"result".to_vec()));
}

#[test]
fn a_peer_that_never_reads_delays_no_other_peer() {
    let (place, mut kernel) = start_with_executor(|_| {});
    let mut never_reading = Router::connect(place.server);
    let check = frame(16, 1, &[0]);
    let checks: Vec<u8> = check.iter().copied().cycle().take(check.len() * 5000).collect();
    // Far more than its outbox and the socket buffers hold: the server stops reading from this peer, and only from this one.
    let sender = std::thread::spawn(move || {
        for _ in 0..400 {
            if !never_reading.0.try_send(&checks) {
                return;
            }
        }
        panic!("the server read all of it");
    });
    let mut router = Router::connect(place.server);
    for stream in 1..50 {
        run_request(&mut router, &mut kernel, stream, &format!("{stream:016x}"));
    }
    sender.join().expect("the sender was blocked");
}

/// A router that closes its writing side still waits for its answers; a reset or a frame of kind 8 withdraws a request.
#[test]
fn a_router_that_only_stops_writing_still_gets_its_answers() {
    let (place, mut kernel) = start_with_executor(|_| {});
    let mut router = Router::connect(place.server);
    router.0.send(request_frame(1, ONE, "lookup", b"ask"));
    router.0.close_writing();
    kernel.expect("SCHED", ONE);
    kernel.send_notice("REAP", ONE, "OK", b"result");
    assert_eq!(router.answer(), (1, "succeeded", b"result".to_vec()));
    assert!(router.0.ended());
    let mut router = Router::connect(place.server);
    router.0.send(request_frame(1, TWO, "lookup", b"ask"));
    kernel.expect("SCHED", TWO);
    router.0.send(frame(8, 1, b""));
    kernel.expect("PREEMPT", TWO);
}

/// The scheduler closes idle connections while many are open: the close is announced first, and no connection in use is closed.
#[test]
fn idle_connections_are_closed_when_the_scheduler_asks_for_it() {
    // The deadline of the open request must lie after the close of the idle connection.
    let (place, mut kernel) = start_with_executor(|json_config| {
        json_config["settings"]["categories"][1]["deadline_ns"] = json!(60_000_000_000u64)
    });
    let mut busy = Router::connect(place.server);
    busy.0.send(request_frame(1, ONE, "lookup", b"ask"));
    kernel.expect("SCHED", ONE);
    let mut idle = Router::connect(place.server);
    idle.0.send(frame(16, 1, &[0]));
    assert_eq!(idle.frame().kind, 32);
    kernel.links = 100;
    let answers = std::thread::spawn(move || {
        assert_eq!(idle.frame().kind, 64);
        // A request that crosses the announcement is still answered.
        idle.0.send(request_frame(2, TWO, "lookup", b"late"));
        assert_eq!(idle.answer(), (2, "succeeded", b"crossed".to_vec()));
        assert!(idle.0.ended());
    });
    kernel.expect("SCHED", TWO); // sends the gauges until then
    kernel.send_notice("REAP", TWO, "OK", b"crossed");
    answers.join().expect("an announcement, then the close");
    kernel.send_notice("REAP", ONE, "OK", b"result");
    assert_eq!(busy.answer(), (1, "succeeded", b"result".to_vec()));
}

#[test]
fn the_server_closes_an_idle_connection_to_the_downstream_proxy() {
    let (place, mut kernel) = start_with_executor(|_| {});
    let mut router = Router::connect(place.server);
    router.0.send(request_frame(1, ONE, "report", b"ask"));
    let listener = place.ledger.try_clone().expect("a listener");
    let calls = std::thread::spawn(move || {
        for (stream, txn) in [(1, ONE), (2, TWO)] {
            let mut ledger = Ledger::accept(&listener);
            assert_eq!(ledger.receive().expect("a call").0[1], txn);
            ledger.posted(txn, b"noted");
            assert_eq!(router.answer(), (stream, "succeeded", b"result".to_vec()));
            if txn == ONE {
                assert!(ledger.0.ended());
                router.0.send(request_frame(2, TWO, "report", b"ask")); // its call uses a new connection
            }
        }
    });
    for txn in [ONE, TWO] {
        kernel.expect("SCHED", txn); // sends the gauges until then
        kernel.send_notice("IOREQ", txn, "", b"put");
        kernel.expect("IODONE", txn);
        kernel.send_notice("REAP", txn, "OK", b"result");
    }
    calls.join().expect("two connections");
}

#[test]
fn reports_to_a_slow_or_failing_registry_are_retried_and_delay_no_request() {
    let (place, mut kernel) = start_with_executor(|_| {});
    let silent = place.roster.accept().expect("a report").0;
    let mut failing =
        Link::new(place.roster.accept().expect("another report, as the first was not answered").0);
    report(&mut failing, "500 Sorry").expect("a report");
    let mut good = Link::new(place.roster.accept().expect("a third connection").0);
    for _ in 0..3 {
        report(&mut good, "204 No Content").expect("reports on one connection");
    }
    run_request(&mut Router::connect(place.server), &mut kernel, 1, ONE);
    drop(silent);
}

/// Guards the connection slots of routers, and the time in which a new router is served, against clients that send one message
/// and stay connected.
#[test]
fn idle_connections_are_closed_while_all_slots_are_taken() {
    let (place, mut kernel) =
        start_with_executor(|json_config| json_config["limits"]["sockets"] = json!(256));
    let mut routers: Vec<Router> = Vec::new();
    for _ in 0..192 {
        let mut router = Router::connect(place.server);
        router.0.send(frame(16, 1, &[0]));
        assert_eq!(router.frame().kind, 32);
        routers.push(router);
    }
    // All slots are taken: half of the connections, those idle for longest, get an announcement and are closed.
    for idle in &mut routers[..96] {
        assert_eq!((idle.frame().kind, idle.0.ended()), (64, true));
    }
    run_request(&mut routers[191], &mut kernel, 1, ONE);
}

/// Guards the descriptors against peers that connect and send nothing: at the limit they are closed first, below it after a
/// time-out.
#[test]
fn silent_connections_are_closed_first_for_those_that_send() {
    let (place, mut kernel) = start_with_executor(|json_config| json_config["limits"]["sockets"] = json!(64));
    let mut idle: Vec<Router> = (0..10).map(|_| Router::connect(place.server)).collect();
    for router in &mut idle {
        router.0.send(frame(16, 1, &[0]));
        assert_eq!(router.frame().kind, 32);
    }
    let mut silent: Vec<Router> = (0..100).map(|_| Router::connect(place.server)).collect();
    let mut last = Router::connect(place.server);
    last.0.send(frame(16, 1, &[0]));
    assert_eq!(last.frame().kind, 32, "the newest connection is served");
    assert_eq!(
        (silent[0].frame().kind, silent[0].0.ended()),
        (64, true),
        "and a silent connection is closed"
    );
    run_request(&mut idle[0], &mut kernel, 1, ONE); // connections that sent something stay open
    let mut after = Router::connect(place.server);
    assert_eq!(
        (after.frame().kind, after.0.ended()),
        (4, true),
        "a connection that stays silent gets an error and is closed"
    );
}

#[test]
fn a_connection_with_an_incomplete_frame_is_closed() {
    let (place, mut kernel) = start_with_executor(|_| {});
    let server = place.server;
    let waiting = std::thread::spawn(move || {
        let mut slow = Router::connect(server);
        slow.0.send(&request_frame(1, ONE, "lookup", b"ask")[..30]);
        assert_eq!(slow.answer(), (0, "errored", Vec::new()));
        assert!(slow.0.ended());
        let mut good = Router::connect(server);
        good.0.send(request_frame(1, TWO, "lookup", b"ask"));
        good.answer()
    });
    kernel.expect("SCHED", TWO);
    kernel.send_notice("REAP", TWO, "OK", b"result");
    assert_eq!(waiting.join().expect("an end"), (1, "succeeded", b"result".to_vec()));
}

#[test]
fn after_the_termination_notice_open_requests_are_answered_and_the_process_exits() {
    let (mut place, mut kernel) = start_with_executor(|json_config| json_config["stop_ms"] = json!(60_000));
    let mut router = Router::connect(place.server);
    router.0.send(request_frame(1, ONE, "lookup", b"ask"));
    kernel.expect("SCHED", ONE);
    place.signal("TERM");
    place.logged("draining");
    let mut roster = Link::new(place.roster.accept().expect("a report").0);
    while !report(&mut roster, "204 No Content").expect("a report").1.contains("off") {}
    router.0.send(frame(16, 2, &[0]));
    assert_eq!(router.frame().payload[0], 69, "health checks report the drain");
    // The process runs as long as an answer is owed, far past the grace period; then it closes idle connections and exits.
    kernel.send_notice("REAP", ONE, "OK", b"result");
    assert_eq!(router.answer(), (1, "succeeded", b"result".to_vec()));
    assert_eq!(router.frame().kind, 64);
    router.0.close();
    assert!(place.exit().success());
}

/// Guards the program against the exit of the process that reads its log.
#[test]
fn a_closed_log_pipe_does_not_end_the_process() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut json_config: Value = serde_json::from_str(CONFIG).expect("JSON");
    json_config["listen"] = json!("127.0.0.1:0");
    json_config["kernel"] = json!(listener.local_addr().expect("an address").to_string());
    let path = std::env::temp_dir().join(format!("cypresscleat-unread-{}.json", std::process::id()));
    std::fs::write(&path, json_config.to_string()).expect("to write");
    let mut program =
        Command::new(PROGRAM).env("EDGE_CONFIG", &path).stderr(Stdio::piped()).spawn().expect("to start");
    drop(program.stderr.take());
    let (mut kernel, _) = Kernel::accept(&listener);
    for _ in 0..3 {
        kernel.say(json!({"msg": "NONSENSE"})); // each causes a log line
    }
    kernel.boot("WARM");
    assert!(kernel.link.line().is_some_and(|line| line.contains("SYSINFO")), "the process still runs");
    program.kill().and_then(|()| program.wait()).expect("its exit");
    let _ = std::fs::remove_file(&path);
}

#[test]
fn a_termination_notice_before_the_executor_is_up_ends_the_process_at_once() {
    let mut place = start(|json_config| json_config["stop_ms"] = json!(60_000));
    let (_kernel, _) = Kernel::accept(&place.kernel);
    place.signal("TERM");
    assert!(place.exit().success());
}

#[test]
fn an_invalid_configuration_fails_the_start_and_names_the_key() {
    let cases: [(&str, Value, &str); 21] = [
        ("/settings/categories", Value::Null, "settings.categories is missing"),
        ("/settings/categories", json!([]), "settings.categories is empty"),
        ("/settings/categories/1/name", Value::Null, "settings.categories[1].name is missing"),
        (
            "/settings/categories/1/deadline_ns",
            json!(-5),
            "settings.categories[1].deadline_ns: expected a number above 0",
        ),
        ("/settings/categories/0/aim_ns", json!("soon"), "settings.categories[0].aim_ns: expected a number"),
        ("/settings/categories/0/worth", Value::Null, "settings.categories[0].worth is missing"),
        (
            "/settings/categories/0/memory_span_ns",
            json!("5s"),
            "settings.categories[0].memory_span_ns: expected",
        ),
        (
            "/settings/customers/1/allowance_per_s",
            json!([1]),
            "settings.customers[1].allowance_per_s: expected",
        ),
        (
            "/settings/obligations/cold_from",
            json!(7),
            "settings.obligations.cold_from: expected a number from 0 to 1",
        ),
        (
            "/settings/obligations/answer_slack_ns",
            Value::Null,
            "settings.obligations.answer_slack_ns is missing",
        ),
        ("/settings/specifics/class_calls", json!([true, "no"]), "settings.specifics.class_calls: expected"),
        (
            "/settings/specifics/memory_kb",
            json!(true),
            "settings.specifics.memory_kb: expected a number above 0",
        ),
        ("/kernel", Value::Null, "kernel is missing"),
        ("/listen", json!("nowhere"), "listen: \"nowhere\""),
        ("/stop_ms", json!(-3), "stop_ms: expected a whole number"),
        ("/limits/sockets", json!("many"), "limits.sockets"),
        ("/seed", json!("xyz"), "seed: \"xyz\""),
        ("/settings/specifics/cores", json!(0), "settings.specifics.cores"),
        ("/settings/specifics/halt", json!("freeze"), "settings.specifics.halt"),
        ("/settings/categories/0/effect", json!("sometimes"), "settings.categories[0].effect"),
        ("/settings/specifics/degraded_worth/1", json!(0.5), "settings.specifics.degraded_worth[1]"),
    ];
    let path = std::env::temp_dir().join(format!("cypresscleat-faulty-{}.json", std::process::id()));
    for (pointer, value, wanted) in cases {
        let mut json_config: Value = serde_json::from_str(CONFIG).expect("JSON");
        *json_config.pointer_mut(pointer).expect(pointer) = value;
        std::fs::write(&path, json_config.to_string()).expect("to write");
        let ended = Command::new(PROGRAM).env("EDGE_CONFIG", &path).env_remove("EDGE_LISTEN").output();
        let ended = ended.expect("to start");
        let log = String::from_utf8_lossy(&ended.stderr);
        assert!(ended.status.code() == Some(2) && log.contains(wanted), "{pointer}: {log}");
    }
    let _ = std::fs::remove_file(&path);
    let ended = Command::new(PROGRAM).env_remove("EDGE_CONFIG").output().expect("to start");
    assert!(String::from_utf8_lossy(&ended.stderr).contains("EDGE_CONFIG is not set"));
}
