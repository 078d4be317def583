//! Messages that cross a close, a start, a stop or an idle connection, forced over loopback: the program is stopped with SIGSTOP
//! while both sides send their bytes, and then continues with all of them already received. See docs/design/crossings.md.

use cypresscleat_demo::{frame, report, request_frame, Deployment, Kernel, Ledger, Link, Router, ONE, TWO};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");

fn start(change: impl FnOnce(&mut Value)) -> Deployment {
    Deployment::start(Path::new(PROGRAM), CONFIG, change)
}

fn start_with_executor(change: impl FnOnce(&mut Value)) -> (Deployment, Kernel) {
    Deployment::up(Path::new(PROGRAM), CONFIG, change)
}

/// Opens a connection that has made one health check and is idle now.
fn idle_router(server: SocketAddr) -> Router {
    let mut router = Router::connect(server);
    router.0.send(frame(16, 1, &[0]));
    assert_eq!(router.frame().kind, 32);
    router
}

/// Stops the program with SIGSTOP, so that it reads nothing before everything was sent. Returns a time just before SIGCONT.
fn while_stopped(place: &Deployment, meanwhile: impl FnOnce()) -> Instant {
    place.signal("STOP");
    let status = format!("/proc/{}/stat", place.id());
    while !std::fs::read_to_string(&status).is_ok_and(|text| text.contains(") T ")) {}
    meanwhile();
    let goes_on = Instant::now();
    place.signal("CONT");
    goes_on
}

/// Prepares a state in which all connections were used within `max_age`. Recently used connections are closed for a new one only
/// if all others are as recent, so the preparation is repeated where a busy machine took longer.
fn prepare_within<T>(prepare: impl Fn() -> T, max_age: Duration) -> T {
    within(max_age, || {
        let began = Instant::now();
        let state = prepare();
        (began.elapsed(), state)
    })
}

/// Repeats `run` until one run reports a duration below `max_duration`, as a busy machine may slow a run down. A run that fails
/// by waiting for the end of that time takes too long on every attempt.
fn within<T>(max_duration: Duration, run: impl Fn() -> (Duration, T)) -> T {
    let runs = std::iter::repeat_with(run).take(50);
    let found = runs.into_iter().find(|(took, _)| *took < max_duration);
    found.unwrap_or_else(|| panic!("no run took less than {max_duration:?}")).1
}

/// All slots are taken, and a request is unread on the connection idle for longest when a new connection needs its slot. Closing
/// that connection would lose the request: it was sent before the close, so the protocol does not retry it.
#[test]
fn a_connection_with_an_unread_request_is_not_closed() {
    let prepare = || {
        let (place, kernel) = start_with_executor(|all| all["limits"]["sockets"] = json!(53));
        let mut oldest = idle_router(place.server);
        let mut all: Vec<Router> = (0..14).map(|_| idle_router(place.server)).collect(); // all fifteen slots are taken
        while_stopped(&place, || {
            all.push(Router::connect(place.server));
            oldest.0.send(request_frame(1, ONE, "lookup", b"ask"));
        });
        (place, kernel, oldest, all)
    };
    let (_place, mut kernel, mut oldest, _all) = prepare_within(prepare, Duration::from_millis(200));
    let answer = std::thread::spawn(move || oldest.answer());
    kernel.expect("SCHED", ONE);
    kernel.send_notice("REAP", ONE, "OK", b"result");
    assert_eq!(answer.join().expect("an answer"), (1, "succeeded", b"result".to_vec()));
}

/// A connection with an incomplete message is not idle: another one is closed for a new connection.
#[test]
fn a_connection_with_an_incomplete_message_is_not_idle() {
    let whole = request_frame(1, ONE, "lookup", b"ask");
    let prepare = || {
        let (place, kernel) = start_with_executor(|all| all["limits"]["sockets"] = json!(53));
        let mut oldest = idle_router(place.server);
        let others: Vec<Router> = (0..14).map(|_| idle_router(place.server)).collect();
        oldest.0.send(&whole[..30]);
        let next = idle_router(place.server); // it was served, so another connection was closed
        (place, kernel, oldest, others, next)
    };
    let (_place, mut kernel, mut oldest, mut others, _next) =
        prepare_within(prepare, Duration::from_millis(200));
    assert_eq!((others[0].frame().kind, others[0].0.ended()), (64, true));
    oldest.0.send(&whole[30..]);
    kernel.expect("SCHED", ONE);
    kernel.send_notice("REAP", ONE, "OK", b"result");
    assert_eq!(oldest.answer(), (1, "succeeded", b"result".to_vec()));
}

/// Reads to the end of the stream, which must not be a reset.
fn read_to_the_end(mut stream: TcpStream) -> Vec<u8> {
    stream.set_read_timeout(Some(Duration::from_secs(30))).expect("a time-out");
    let mut all = Vec::new();
    stream.read_to_end(&mut all).expect("an end that is no reset");
    all
}

/// Complete requests arrive ahead of invalid bytes, with more bytes behind than the server reads. Each request must be answered;
/// closing with unread bytes would send a reset that discards the answers.
#[test]
fn complete_requests_before_invalid_bytes_are_answered_without_a_reset() {
    let (place, mut kernel) = start_with_executor(|_| {});
    let mut stream = TcpStream::connect(place.server).expect("a connection");
    let mut bytes = request_frame(1, ONE, "lookup", b"ask");
    bytes.extend(request_frame(2, TWO, "lookup", b"ask"));
    bytes.extend(300_000u32.to_be_bytes());
    bytes.extend([7; 30_000]);
    stream.write_all(&bytes).expect("to write");
    let all = read_to_the_end(stream);
    let mut streams: Vec<u32> = Vec::new();
    let mut rest = &all[..];
    while !rest.is_empty() {
        let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize + 4;
        assert_eq!(rest[4], 4);
        streams.push(u32::from_be_bytes([rest[5], rest[6], rest[7], rest[8]]));
        rest = &rest[length..];
    }
    streams.sort();
    assert_eq!(streams, [0, 1, 2]);
    // None of this delays the next connection.
    let mut router = Router::connect(place.server);
    router.0.send(request_frame(1, "00000000000000c3", "lookup", b"ask"));
    kernel.expect("SCHED", "00000000000000c3");
}

/// Connects a peer that violates the protocol and never closes.
fn connect_faulty_peer(server: SocketAddr) -> TcpStream {
    let mut bad = TcpStream::connect(server).expect("a connection");
    let _ = bad.write_all(&300_000u32.to_be_bytes());
    let _ = bad.write_all(&[7; 2000]);
    bad
}

fn open_descriptors(place: &Deployment) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", place.id())).expect("its descriptors").count()
}

/// Maximum time for which a close lingers.
const MAX_LINGER: Duration = Duration::from_millis(300);

/// Many peers never close, and the server half-closes all of them within the time of one lingering close: the descriptors stay
/// within their limit, and a router is served.
#[test]
fn lingering_closes_are_bounded() {
    let (place, mut kernel, open, _flood) = within(MAX_LINGER, || {
        let (place, kernel) = start_with_executor(|all| all["limits"]["sockets"] = json!(64));
        let mut flood = Vec::new();
        let began =
            while_stopped(&place, || flood.extend((0..100).map(|_| connect_faulty_peer(place.server))));
        for bad in &mut flood {
            bad.set_read_timeout(Some(Duration::from_secs(30))).expect("a time-out");
            let _ = bad.read_to_end(&mut Vec::new()); // the end of the stream: its close has begun
        }
        let mut open = 0;
        while_stopped(&place, || open = open_descriptors(&place));
        (began.elapsed(), (place, kernel, open, flood))
    });
    assert!(open <= 64, "{open} descriptors");
    let mut router = Router::connect(place.server);
    router.0.send(request_frame(1, ONE, "lookup", b"ask"));
    kernel.expect("SCHED", ONE);
    kernel.send_notice("REAP", ONE, "OK", b"result");
    assert_eq!(router.answer(), (1, "succeeded", b"result".to_vec()));
    assert!(!place.has_logged("accept:"), "no connection failed for lack of a descriptor");
}

/// All slots are taken: by connections with incomplete messages younger than the duration of a lingering close, and by one
/// lingering close. The lingering close must hold no slot, so that the next connection is served before it ends.
#[test]
fn a_lingering_close_takes_no_slot() {
    within(MAX_LINGER, || {
        let (place, mut kernel) = start_with_executor(|all| all["limits"]["sockets"] = json!(64)); // 23 slots
        let whole = request_frame(1, TWO, "lookup", b"ask");
        let mut all = Vec::new();
        let began = while_stopped(&place, || {
            for _ in 0..22 {
                let mut half = Router::connect(place.server);
                half.0.send(&whole[..30]);
                all.push(half);
            }
            all.push(Router(Link::new(connect_faulty_peer(place.server))));
            let mut next = Router::connect(place.server);
            next.0.send(request_frame(1, ONE, "lookup", b"ask"));
            all.push(next);
        });
        kernel.expect("SCHED", ONE);
        (began.elapsed(), ())
    });
}

/// A peer that keeps sending slowly is closed in time: its writes fail then.
#[test]
fn a_lingering_close_ends_in_time() {
    let (place, _kernel) = start_with_executor(|_| {});
    let mut bad = connect_faulty_peer(place.server);
    let _ = bad.read_to_end(&mut Vec::new());
    let until = Instant::now() + Duration::from_secs(30);
    while bad.write_all(&[7]).is_ok() {
        assert!(Instant::now() < until, "the connection is never closed");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// For a peer that sends fast, a lingering close reads and drops a limited number of bytes.
#[test]
fn a_lingering_close_drops_a_limited_number_of_bytes() {
    use tokio::io::AsyncReadExt;
    const SENT: usize = 128 * 1024;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut fast = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
        socket2::SockRef::from(&fast).set_send_buffer_size(2 * SENT).expect("room for all of it");
        let mut stream = listener.accept().await.expect("a connection").0;
        fast.write_all(&[7; SENT]).expect("all of it is sent");
        fast.shutdown(std::net::Shutdown::Write).expect("an end");
        let wake = tokio::sync::Notify::new();
        cypresscleat_server::sockets::linger(&mut stream, &wake, || false).await.expect("a close");
        let mut rest = Vec::new();
        stream.read_to_end(&mut rest).await.expect("the rest");
        let dropped = SENT - rest.len();
        assert!(dropped <= 64 * 1024, "{dropped} bytes were read and dropped");
    });
}

/// Connections with complete requests wait in the listener's backlog when the process is about to exit: their requests are
/// answered.
#[test]
fn requests_in_the_backlog_are_answered_when_the_listener_closes() {
    let mut place = start(|all| all["stop_ms"] = json!(60_000));
    let (_kernel, _) = Kernel::accept(&place.kernel);
    let mut routers = Vec::new();
    let server = place.server;
    while_stopped(&place, || {
        place.signal("TERM"); // without an executor there is nothing to wait for
        for _ in 0..20 {
            let mut router = Router::connect(server);
            router.0.send(request_frame(1, ONE, "lookup", b"ask"));
            routers.push(router);
        }
    });
    for router in &mut routers {
        assert_eq!(router.try_answer(), Some("errored"), "answered with an error, as the executor is not up");
        router.0.close();
    }
    assert!(place.exit().success());
}

/// Signals arrive before the configuration is read: the configuration is a pipe here, which the program has opened and which is
/// still empty.
#[test]
fn signals_before_the_configuration_is_read_end_the_process_with_success() {
    for signals in [&["TERM"][..], &["HUP", "TERM"], &["TERM", "HUP"]] {
        let name = format!("cypresscleat-early-{}-{}", std::process::id(), signals.join("-"));
        let path = std::env::temp_dir().join(name);
        let _ = std::fs::remove_file(&path);
        let made = Command::new("mkfifo").arg(&path).status();
        assert!(made.is_ok_and(|status| status.success()), "a pipe at {path:?}");
        let mut all: Value = serde_json::from_str(CONFIG).expect("JSON");
        all["listen"] = json!("127.0.0.1:0");
        all["kernel"] = json!(cypresscleat_fault_injection::free_port().to_string());
        (all["ledger"], all["roster"]) = (Value::Null, Value::Null);
        let mut program = Command::new(PROGRAM).env("EDGE_CONFIG", &path).spawn().expect("to start");
        let pipe = std::fs::File::options().write(true).open(&path).expect("a reader");
        // A second read of the path finds a regular file.
        let file = path.with_extension("json");
        std::fs::write(&file, all.to_string()).and_then(|()| std::fs::rename(&file, &path)).expect("a file");
        for signal in signals {
            let sent = Command::new("kill").args(["-s", signal, &program.id().to_string()]).status();
            assert!(sent.is_ok_and(|status| status.success()), "to send {signal}");
        }
        let _ = (&pipe).write_all(all.to_string().as_bytes()); // unread where the signal ended the process already
        drop(pipe);
        let status = program.wait().expect("its end");
        let _ = std::fs::remove_file(&path);
        assert!(status.success(), "{signals:?}: {status}");
    }
}

/// During a drain, a second SIGTERM and SIGHUP change nothing.
#[test]
fn signals_in_any_order_drain_the_process_once() {
    for signals in [&["TERM"][..], &["TERM", "TERM"], &["HUP", "TERM", "HUP"], &["TERM", "HUP", "TERM"]] {
        let (mut place, mut kernel) = start_with_executor(|all| all["stop_ms"] = json!(60_000));
        let mut router = Router::connect(place.server);
        router.0.send(request_frame(1, ONE, "lookup", b"ask"));
        kernel.expect("SCHED", ONE);
        while_stopped(&place, || signals.iter().for_each(|signal| place.signal(signal)));
        place.logged("draining");
        kernel.send_notice("REAP", ONE, "OK", b"result");
        assert_eq!(router.answer(), (1, "succeeded", b"result".to_vec()));
        router.0.close();
        assert!(place.exit().success(), "{signals:?}");
    }
}

/// Guards against a drain that stops reading a connection while a request is open on it: later requests got no answer and were
/// lost when the connection closed after the answer of the open request.
#[test]
fn a_drain_keeps_reading_a_connection_with_an_open_request() {
    let (place, mut kernel) = start_with_executor(|all| {
        all["stop_ms"] = json!(20_000);
        all["settings"]["obligations"]["stop_sending_within_ns"] = json!(300_000_000);
        all["settings"]["categories"][1]["aim_ns"] = json!(30_000_000_000u64);
        all["settings"]["categories"][1]["deadline_ns"] = json!(60_000_000_000u64);
    });
    let mut router = idle_router(place.server);
    // The request arrived within the grace period and is read after it: admitted.
    let first = request_frame(1, ONE, "lookup", b"ask");
    place.signal("TERM");
    place.logged("draining");
    assert_eq!(router.frame().kind, 64);
    router.0.send(first);
    kernel.expect("SCHED", ONE);
    // The client sends on after the announcement: past the time at which an idle connection is closed, and past twice that time.
    for (stream, pause) in [(2, 1_300), (3, 1_000), (4, 500)] {
        std::thread::sleep(Duration::from_millis(pause));
        let txn = format!("{stream:016x}");
        router.0.send(request_frame(stream, &txn, "lookup", b"ask"));
        assert_eq!(router.answer(), (stream, "throttled", Vec::new()));
    }
    kernel.send_notice("REAP", ONE, "OK", b"result");
    assert_eq!(router.answer(), (1, "succeeded", b"result".to_vec()));
    assert!(router.0.ended(), "the connection is closed once no request is open on it");
}

/// Guards requests that cross the close of a connection in use: a drain does not close a connection while its client keeps
/// sending.
#[test]
fn a_drain_does_not_close_a_connection_in_use() {
    let (place, _kernel) = start_with_executor(|all| {
        all["stop_ms"] = json!(20_000);
        all["settings"]["obligations"]["stop_sending_within_ns"] = json!(100_000_000);
    });
    let mut router = idle_router(place.server);
    place.signal("TERM");
    place.logged("draining");
    assert_eq!(router.frame().kind, 64);
    for stream in 1..=12 {
        std::thread::sleep(Duration::from_millis(300));
        let txn = format!("{stream:016x}");
        router.0.send(request_frame(stream, &txn, "lookup", b"ask"));
        assert_eq!(router.answer(), (stream, "throttled", Vec::new()));
    }
    assert!(router.0.ended(), "the connection is closed once it is idle");
}

/// Guards the end of a drain: health checks are no requests, so a connection with nothing else on it is closed and the process
/// exits.
#[test]
fn health_checks_keep_no_connection_open_in_a_drain() {
    let (mut place, _kernel) = start_with_executor(|all| {
        all["stop_ms"] = json!(60_000);
        all["settings"]["obligations"]["stop_sending_within_ns"] = json!(100_000_000);
    });
    let mut checker = idle_router(place.server);
    place.signal("TERM");
    place.logged("draining");
    assert_eq!(checker.frame().kind, 64);
    let began = Instant::now();
    let mut stream = 1;
    while checker.0.try_send(&frame(16, stream + 1, &[0])) && checker.try_frame().is_some() {
        stream += 1;
        assert!(
            began.elapsed() < Duration::from_secs(20),
            "the connection is open after {stream} health checks"
        );
        std::thread::sleep(Duration::from_millis(300));
    }
    assert!(place.exit().success(), "the process exits by itself");
}

/// Opens a listener with a full backlog: connection attempts get no reply.
fn listener_with_full_backlog() -> (TcpListener, Vec<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    socket2::SockRef::from(&listener).listen(0).expect("to listen");
    let mut backlog = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
        backlog.push(stream);
        assert!(backlog.len() < 64, "the backlog never fills");
    }
    (listener, backlog)
}

/// The executor moves while the server tries to connect to a host that never replies: the server connects to the new address at
/// once.
#[test]
fn an_unanswered_connection_attempt_ends_when_the_executor_moves() {
    let (nowhere, _backlog) = listener_with_full_backlog();
    let address = nowhere.local_addr().expect("an address").to_string();
    let mut place = start(|all| all["kernel"] = json!(address));
    std::thread::sleep(Duration::from_millis(150)); // the server is connecting by then; each attempt takes up to a second
    let began = Instant::now();
    let [kernels, ..] = place.moves();
    Kernel::accept(&kernels);
    assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
}

/// The downstream proxy closes an idle connection, or sends invalid bytes on it: the next call uses another connection, whatever
/// its effect. Here the event loop learns of the close before the call, so one of two checks of the connection is enough: while
/// it is idle, or before the call. `a_call_is_not_written_to_a_connection_that_was_closed_while_idle` tests a close between the
/// two.
#[test]
fn a_connection_that_failed_while_idle_is_not_used_again() {
    let fragile = |all: &mut Value| all["settings"]["categories"][0]["effect"] = json!("fragile");
    for invalid_bytes in [&b""[..], b"what is this\r\n"] {
        let (place, mut kernel) = start_with_executor(fragile);
        let patience = Some(Duration::from_secs(30));
        socket2::SockRef::from(&place.ledger).set_read_timeout(patience).expect("a time-out for accept too");
        let mut router = Router::connect(place.server);
        router.0.send(request_frame(1, ONE, "report", b"ask"));
        kernel.expect("SCHED", ONE);
        kernel.send_notice("IOREQ", ONE, "", b"put");
        let mut ledger = Ledger::accept(&place.ledger);
        assert_eq!(ledger.receive().expect("a call").0[1], ONE);
        ledger.posted(ONE, b"noted");
        kernel.expect("IODONE", ONE);
        router.0.send(request_frame(2, TWO, "report", b"ask"));
        kernel.expect("SCHED", TWO);
        while_stopped(&place, || {
            kernel.send_notice("IOREQ", TWO, "", b"put");
            match invalid_bytes {
                b"" => ledger.0.close(),
                invalid_bytes => ledger.0.send(invalid_bytes),
            }
        });
        let mut other = Ledger::accept(&place.ledger);
        assert_eq!(other.receive().expect("a call").0[1], TWO);
        other.posted(TWO, b"noted");
        assert_eq!(kernel.expect("IODONE", TWO), b"noted");
    }
}

/// Runs a service registry that answers all reports, on new connections and on those in `open`. Sends the time of the first
/// report of each connection that carries a second one, which proves that the server accepted the first response.
fn answer_reports(roster: TcpListener, open: Vec<TcpStream>) -> std::sync::mpsc::Receiver<Instant> {
    let (sender, received) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for stream in open.into_iter().chain(roster.incoming().flatten()) {
            let sender = sender.clone();
            std::thread::spawn(move || {
                let mut link = Link::new(stream);
                let first = report(&mut link, "204 No Content").map(|_| Instant::now());
                while report(&mut link, "204 No Content").is_some() {
                    let _ = sender.send(first.expect("an earlier report"));
                }
            });
        }
    });
    received
}

/// Idle and silent clients take all descriptors while the service registry refuses connections, is silent, or answers late:
/// routers are served, links can be reconnected, and reports resume within two seconds of the registry's return. The system
/// allows the process no more descriptors than its configuration does.
#[test]
fn full_descriptors_and_no_registry_block_nothing() {
    for how in ["refuses", "is silent", "is late"] {
        let (mut place, mut kernel) = start_with_executor(|all| all["limits"]["sockets"] = json!(64));
        let id = place.id().to_string();
        let limited = Command::new("prlimit").args(["--pid", &id, "--nofile=64:64"]).status();
        assert!(limited.is_ok_and(|status| status.success()), "to limit its descriptors");
        let server = place.server;
        let [kernels, ledgers, rosters] = place.moves();
        kernel = {
            drop(kernel);
            let (mut moved, _) = Kernel::accept(&kernels);
            moved.boot("WARM");
            moved
        };
        let address = rosters.local_addr().expect("an address");
        let mut registry_connections: Vec<TcpStream> = Vec::new();
        let rosters = match how {
            "refuses" => {
                drop(rosters);
                None
            }
            _ => Some(rosters),
        };
        let idle: Vec<Router> = (0..60).map(|_| idle_router(server)).collect();
        let silent_clients: Vec<TcpStream> =
            (0..60).filter_map(|_| TcpStream::connect(server).ok()).collect();
        if let Some(rosters) = &rosters {
            registry_connections.push(rosters.accept().expect("a report").0);
        }
        let until = Instant::now() + Duration::from_secs(2);
        let mut stream = 0;
        while Instant::now() < until {
            stream += 1;
            let txn = format!("{stream:016x}");
            let mut router = Router::connect(server);
            router.0.send(request_frame(1, &txn, "report", b"ask"));
            kernel.expect("SCHED", &txn);
            kernel.send_notice("IOREQ", &txn, "", b"put");
            let mut ledger = Ledger::accept(&ledgers);
            assert_eq!(ledger.receive().expect("a call").0[1], txn);
            ledger.posted(&txn, b"noted");
            kernel.expect("IODONE", &txn);
            kernel.send_notice("REAP", &txn, "OK", b"result");
            assert_eq!(router.answer(), (1, "succeeded", b"result".to_vec()));
            kernel.link.close(); // the link to the executor is reconnected each time
            (kernel, _) = Kernel::accept(&kernels);
            kernel.boot("WARM");
        }
        let back = match rosters {
            Some(rosters) => rosters,
            None => TcpListener::bind(address).expect("its port again"),
        };
        let began = Instant::now();
        let received = answer_reports(
            back,
            if how == "is late" { std::mem::take(&mut registry_connections) } else { Vec::new() },
        );
        let first = received.recv_timeout(Duration::from_secs(30)).expect("reports that resume");
        let after = first.saturating_duration_since(began);
        assert!(after < Duration::from_secs(2), "{how}: {after:?}");
        assert!(place.runs() && !place.has_logged("accept:"), "{how}");
        drop((idle, silent_clients, registry_connections));
    }
}

/// The service registry moves during the pause after a report, whether answered or lost: the next report reaches the new address
/// before the pause would have ended.
#[test]
fn a_pause_between_reports_ends_when_the_registry_moves() {
    // The pause is at least 400 ms after the fifth lost report, and at least 700 ms after an answered one.
    for (lost, pause) in [(5, 400), (0, 700)] {
        within(Duration::from_millis(pause), || {
            let mut place = start(|_| {});
            let mut last = place.roster.accept().expect("a report").0;
            for _ in 1..lost {
                drop(last);
                last = place.roster.accept().expect("another report, as the last one was lost").0;
            }
            let mut last = Link::new(last);
            let began = Instant::now();
            match lost {
                0 => drop(report(&mut last, "204 No Content")),
                _ => last.reset(),
            }
            let [.., rosters] = place.moves();
            rosters.accept().expect("a report");
            (began.elapsed(), ())
        });
    }
}

/// Three hundred servers that lose their service registry at once must not retry in one wave, and none may report later than
/// 1.5 s after that: the backoff is at most 800 ms.
#[test]
fn report_retries_of_many_servers_are_spread_out() {
    use cypresscleat_server::roster::backoff;
    let ms = |number: u64, lost| backoff(7, &format!("n{number}"), lost).as_millis();
    for lost in 1..2000 {
        let max_ms = (100u128 << (lost - 1).min(3)).min(800);
        assert!((0..300).all(|seed| (max_ms / 2..=max_ms).contains(&ms(seed, lost))), "{lost}");
    }
    let mut slots = [0; 9];
    (0..300u64).for_each(|seed| slots[((ms(seed, 5) - 400) / 50) as usize] += 1);
    assert!(slots.iter().all(|count| *count < 75), "retries in each 50 ms: {slots:?}");
}

/// How the downstream proxy makes an idle connection unusable.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    Closed,
    InvalidBytes,
}

/// Makes the connection unusable without running the event loop; returns once the operating system shows the change on the other
/// side. The returned stream keeps the connection open.
fn make_unusable(stream: tokio::net::TcpStream, failure: Failure) -> Option<TcpStream> {
    let port = |address: std::io::Result<SocketAddr>| address.expect("an address").port();
    let (port, to) = (port(stream.peer_addr()), port(stream.local_addr()));
    let mut stream = stream.into_std().expect("a socket");
    let open_stream = match failure {
        Failure::Closed => {
            drop(stream);
            None
        }
        Failure::InvalidBytes => {
            stream.write_all(b"what is this\r\n").expect("to write");
            Some(stream)
        }
    };
    const CLOSE_WAIT: &str = "08";
    let until = Instant::now() + Duration::from_secs(30);
    let (local, remote) = (format!("0100007F:{port:04X}"), format!("0100007F:{to:04X}"));
    let is_visible = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let unread = |queues: &&str| !queues.ends_with(":00000000");
        words.get(1..3) == Some(&[local.as_str(), remote.as_str()])
            && match failure {
                Failure::Closed => words.get(3) == Some(&CLOSE_WAIT),
                Failure::InvalidBytes => words.get(4).is_some_and(unread),
            }
    };
    while !std::fs::read_to_string("/proc/net/tcp").expect("the connections").lines().any(is_visible) {
        assert!(Instant::now() < until, "{failure:?} never arrived");
    }
    open_stream
}

/// A call must not use an idle connection whose close, or invalid bytes, the operating system has received but the program has
/// not seen yet: the event loop does not run between that and the call. Tests the downstream proxy's connections alone.
#[test]
fn a_call_crosses_the_close_of_its_connection() {
    use cypresscleat_scheduler::Outcome;
    use cypresscleat_server::config::{parse, Addresses};
    use cypresscleat_server::core::{CoreEvent, DownstreamCommand, Shared};
    use cypresscleat_server::downstream::ledger;
    use std::rc::Rc;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let run = async |failure: Failure| {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addresses = Addresses::new(&parse(CONFIG, None, None).expect("the example"));
        addresses.ledger.set(listener.local_addr().ok());
        let shared = Shared::new(64);
        let (queue, mut events) = tokio::sync::mpsc::channel(16);
        tokio::task::spawn_local(ledger::run(Rc::new(addresses), shared.clone(), queue, 4));
        let post = |txn: &str, number| {
            let request_id = txn.as_bytes().try_into().expect("an id");
            let body = shared.pool.take();
            let command = DownstreamCommand::Call { request_id, number, class: 0, timeout: 10_000, body };
            shared.downstream.queue.borrow_mut().push_back(command);
            shared.downstream.wake.notify_one();
        };
        let mut next_outcome = async || match events.recv().await {
            Some(CoreEvent::CallCompleted { outcome, .. }) => outcome,
            _ => panic!("no end of a call"),
        };
        post(ONE, 1);
        let mut stream = listener.accept().await.expect("a connection").0;
        let mut bytes = [0; 256];
        assert!(stream.read(&mut bytes).await.expect("a call") > 0);
        stream.write_all(format!("{ONE} posted 2\r\nok\r\n").as_bytes()).await.expect("to write");
        assert_eq!(next_outcome().await, Outcome::Succeeded);
        let _open_stream = make_unusable(stream, failure);
        post(TWO, 2);
        assert_eq!(
            next_outcome().await,
            Outcome::ConnectFailed,
            "{failure:?}: the call is known not to have run"
        );
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    for failure in [Failure::Closed, Failure::InvalidBytes] {
        tokio::task::LocalSet::new().block_on(&runtime, run(failure));
    }
}

/// The same through the core, from the executor's notice on: the call was not written, so it is retried although it is
/// non-idempotent, and its run goes on.
#[test]
fn a_call_is_not_written_to_a_connection_that_was_closed_while_idle() {
    use cypresscleat_server::clock::{unix_time, Clock};
    use cypresscleat_server::config::{parse, Addresses};
    use cypresscleat_server::core::incoming::Peer;
    use cypresscleat_server::core::{Core, CoreEvent, Shared};
    use cypresscleat_server::downstream::ledger;
    use cypresscleat_server::lines;
    use cypresscleat_server::listeners::frames::{read_request, FrameWriter};
    use cypresscleat_server::pool::Outbox;
    use std::rc::Rc;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let run = async |failure: Failure| {
        let mut all: Value = serde_json::from_str(CONFIG).expect("JSON");
        all["settings"]["categories"][0]["effect"] = json!("fragile");
        // Enough time for another attempt, however long the system takes to list its connections.
        for key in ["aim_ns", "deadline_ns"] {
            all["settings"]["categories"][0][key] = json!(120_000_000_000u64);
        }
        let config = parse(&all.to_string(), None, None).expect("the example");
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addresses = Addresses::new(&config);
        addresses.ledger.set(listener.local_addr().ok());
        let (shared, names, clock) = (Shared::new(64), Rc::new(config.names), Clock::start());
        let (queue, mut events) = tokio::sync::mpsc::channel(16);
        tokio::task::spawn_local(ledger::run(Rc::new(addresses), shared.clone(), queue.clone(), 4));
        let mut core = Core::new(config.settings, names.clone(), &shared);
        tokio::task::spawn_local(async move {
            loop {
                let due = clock.instant(core.wake_at().min(clock.now() + 10_000));
                tokio::select! {
                    event = events.recv() => match event {
                        Some(event) => core.handle_event(clock.now(), unix_time(), event),
                        None => return,
                    },
                    () = tokio::time::sleep_until(due.into()) => core.tick(clock.now()),
                }
            }
        });
        let send_notice = async |notice: Value| {
            let notice =
                lines::parse_notice(notice.to_string().as_bytes(), &shared.pool).1.expect("a notice");
            assert!(queue.send(CoreEvent::ExecutorNotice(notice)).await.is_ok());
        };
        let out = Rc::new(Outbox::new(&shared.pool));
        let mut written = String::new();
        let mut expect_command = async |words: &str, txn: &str| {
            let is_expected = |line: &str| line.contains(words) && line.contains(txn);
            while !written.lines().any(is_expected) {
                let part = out.flush(|bytes| {
                    written.push_str(std::str::from_utf8(bytes).expect("text"));
                    Ok(bytes.len())
                });
                part.expect("a string accepts all bytes");
                if !written.lines().any(is_expected) {
                    out.wake.notified().await;
                }
            }
        };
        send_notice(json!({"msg": "BOOTED", "how": "WARM", "duration": 60_000})).await;
        assert!(queue.send(CoreEvent::ExecutorConnected(out.clone())).await.is_ok());
        let peer = Rc::new(Peer::new(&shared.pool, Rc::new(FrameWriter), 0));
        let send_request = async |stream: u32, txn: &str| {
            let mut buf = shared.pool.take();
            buf.push(&request_frame(stream, txn, "report", b"ask")[9..]);
            peer.queued_requests.set(peer.queued_requests.get() + 1);
            let event =
                CoreEvent::RequestArrived { peer: peer.clone(), stream, request: read_request(buf, &names) };
            assert!(queue.send(event).await.is_ok());
        };
        let accept_call = async || {
            let accepted = tokio::time::timeout(Duration::from_secs(20), listener.accept()).await;
            let mut stream = accepted.expect("a connection: the call was not made").expect("a connection").0;
            let mut bytes = [0; 256];
            let byte_count = stream.read(&mut bytes).await.expect("a call");
            (stream, String::from_utf8_lossy(&bytes[..byte_count]).into_owned())
        };
        send_request(1, ONE).await;
        expect_command("SCHED", ONE).await;
        send_notice(json!({"msg": "IOREQ", "serial": 1, "call": ONE, "blob": "cHV0"})).await;
        let (mut stream, call) = accept_call().await;
        assert!(call.contains(ONE), "{call}");
        stream.write_all(format!("{ONE} posted 2\r\nok\r\n").as_bytes()).await.expect("to write");
        expect_command("IODONE", ONE).await;
        send_request(2, TWO).await;
        expect_command("SCHED", TWO).await;
        let _open_stream = make_unusable(stream, failure);
        send_notice(json!({"msg": "IOREQ", "serial": 2, "call": TWO, "blob": "cHV0"})).await;
        let (mut stream, call) = accept_call().await;
        assert!(call.contains(TWO), "{call}");
        stream.write_all(format!("{TWO} posted 2\r\nok\r\n").as_bytes()).await.expect("to write");
        expect_command("IODONE", TWO).await;
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    for failure in [Failure::Closed, Failure::InvalidBytes] {
        tokio::task::LocalSet::new().block_on(&runtime, run(failure));
    }
}

/// Runs a worker that closes its connection on each of the first `closes` requests, announcing the close first if `announces` is
/// set, and then answers. The receiver gets the ids of the requests.
fn closing_worker(closes: usize, announces: bool) -> (SocketAddr, std::sync::mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (sender, received) = std::sync::mpsc::channel();
    let remaining_closes = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(closes));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (sender, remaining_closes) = (sender.clone(), remaining_closes.clone());
            std::thread::spawn(move || {
                let mut link = Router(Link::new(stream));
                while let Some(message) = link.try_frame() {
                    match message.kind {
                        16 => link.0.send(frame(32, message.stream, &[79, 0])),
                        2 => {
                            let text = String::from_utf8_lossy(&message.payload).into_owned();
                            let _ = sender.send(
                                [ONE, TWO].iter().find(|id| text.contains(**id)).expect("an id").to_string(),
                            );
                            use std::sync::atomic::Ordering::SeqCst;
                            if remaining_closes
                                .fetch_update(SeqCst, SeqCst, |remaining_closes| {
                                    remaining_closes.checked_sub(1)
                                })
                                .is_ok()
                            {
                                if announces {
                                    link.0.send(frame(64, 0, b""));
                                }
                                link.0.close();
                                return;
                            }
                            link.0.send(frame(4, message.stream, b"\x4f\0result"));
                        }
                        _ => {}
                    }
                }
            });
        }
    });
    (address, received)
}

/// A forwarder's attempt crosses the close of its connection: it is sent again once, to the same worker and under the same id, if
/// the worker had announced the close. It is not sent again after an unannounced close, nor a second time.
#[test]
fn an_attempt_that_crosses_an_announced_close_is_sent_once_more() {
    for (closes, announces, answer, sent) in
        [(1, true, "succeeded", 2), (1, false, "errored", 1), (2, true, "errored", 2)]
    {
        let (worker, received) = closing_worker(closes, announces);
        let (listen, planner) =
            (cypresscleat_fault_injection::free_port(), cypresscleat_fault_injection::free_port());
        let operator = format!(
            "tier: {{listen: \"{listen}\", planners: [{{name: \"p0\", address: \"{planner}\"}}], \
             workers: [{{name: \"w0\", address: \"{worker}\", places: 4}}]}}"
        );
        let place = Deployment::start_as(Path::new(PROGRAM), "forward", CONFIG, &operator, |_| {});
        place.logged("takes work");
        let mut router = Router::connect(place.server);
        router.0.send(request_frame(1, ONE, "lookup", b"ask"));
        assert_eq!(router.answer().1, answer, "{closes} closes, announced {announces}");
        assert_eq!(received.try_iter().count(), sent, "{closes} closes, announced {announces}");
    }
}

/// A worker that takes one request, announces the close of the connection, and is gone: it never answers and no new connection to
/// it can be made. The receiver gets the number of requests read.
fn vanishing_worker() -> (SocketAddr, std::sync::mpsc::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (sender, received) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let (health_connection, _) = listener.accept().expect("a health check");
        std::thread::spawn(move || {
            let mut health = Router(Link::new(health_connection));
            while let Some(check) = health.try_frame() {
                health.0.send(frame(32, check.stream, &[79, 0]));
            }
        });
        let (connection, _) = listener.accept().expect("a request");
        let mut link = Router(Link::new(connection));
        link.try_frame().expect("a request");
        drop(listener);
        let _ = sender.send(());
        link.0.send(frame(64, 0, b""));
        link.0.close();
    });
    (address, received)
}

/// Guards against a second run: the second copy of an attempt that crossed a close can't be sent, as the worker is gone. The first
/// copy was read and may have run, so the request fails and runs at no other worker.
#[test]
fn an_attempt_whose_second_copy_cannot_be_sent_is_not_run_elsewhere() {
    let (vanishing, read) = vanishing_worker();
    let (other, received) = closing_worker(0, false);
    let (listen, planner) =
        (cypresscleat_fault_injection::free_port(), cypresscleat_fault_injection::free_port());
    let operator = |second: SocketAddr| {
        format!(
            "tier: {{listen: \"{listen}\", planners: [{{name: \"p0\", address: \"{planner}\"}}], \
             workers: [{{name: \"w0\", address: \"{vanishing}\", places: 4}}, \
             {{name: \"w1\", address: \"{second}\", places: 4}}]}}"
        )
    };
    let place = Deployment::start_as(Path::new(PROGRAM), "forward", CONFIG, &operator(other), |all| {
        all["settings"]["categories"][1]["effect"] = "fragile".into();
    });
    place.logged("takes work");
    place.logged("takes work");
    let mut router = Router::connect(place.server);
    // Requests go to either worker: they are sent until one has been read by the worker that vanishes.
    let mut answers = Vec::new();
    for stream in 1..=40 {
        router.0.send(request_frame(stream, ONE, "lookup", b"ask"));
        answers.push(router.answer().1);
        if read.try_recv().is_ok() {
            break;
        }
    }
    let ran_elsewhere = received.try_iter().count();
    assert_eq!(answers.last(), Some(&"errored"), "{answers:?}");
    assert_eq!(ran_elsewhere, answers.len() - 1, "the request that was read ran elsewhere: {answers:?}");
}
