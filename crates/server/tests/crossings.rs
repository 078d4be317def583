//! What crosses a close, a start, a stop or a connection that rests, forced over loopback: the program is stopped while the bytes
//! of both sides are laid out, and goes on with all of them there at once. See docs/design/crossings.md.

use cypresscleat_demo::{frame, invocation, report, Kernel, Ledger, Link, Place, Router, ONE, TWO};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");

fn place(change: impl FnOnce(&mut Value)) -> Place {
    Place::start(Path::new(PROGRAM), CONFIG, change)
}

fn up(change: impl FnOnce(&mut Value)) -> (Place, Kernel) {
    Place::up(Path::new(PROGRAM), CONFIG, change)
}

/// A connection that has asked for its health and rests.
fn resting(server: SocketAddr) -> Router {
    let mut router = Router::connect(server);
    router.0.send(frame(16, 1, &[0]));
    assert_eq!(router.frame().kind, 32);
    router
}

/// Stopped, so that nothing of what is sent is read before all of it is there. Returns a moment just before it goes on.
fn stopped(place: &Place, meanwhile: impl FnOnce()) -> Instant {
    place.signal("STOP");
    let status = format!("/proc/{}/stat", place.id());
    while !std::fs::read_to_string(&status).is_ok_and(|text| text.contains(") T ")) {}
    meanwhile();
    let goes_on = Instant::now();
    place.signal("CONT");
    goes_on
}

/// Connections that have just been used are the last to be closed for room, and the first of them only with all others as fresh:
/// tries again where the machine was too busy to lay that out in time.
fn laid_out<T>(lay: impl Fn() -> T, fresh: Duration) -> T {
    within(fresh, || {
        let began = Instant::now();
        let out = lay();
        (began.elapsed(), out)
    })
}

/// What took less than that by its own word. Played again where it took longer, as the machine may have been too busy: what waits
/// for the end of that time takes longer however often it is played.
fn within<T>(most: Duration, play: impl Fn() -> (Duration, T)) -> T {
    let all = std::iter::repeat_with(play).take(50);
    let found = all.into_iter().find(|(took, _)| *took < most);
    found.unwrap_or_else(|| panic!("not once in less than {most:?}")).1
}

/// A request stands unread on the connection that idles longest, when a full house makes it the one to be closed. It was there
/// before, so the protocol would not send it again.
#[test]
fn a_request_that_stands_unread_keeps_its_connection() {
    let lay = || {
        let (place, kernel) = up(|all| all["limits"]["sockets"] = json!(53));
        let mut oldest = resting(place.server);
        let mut all: Vec<Router> = (0..14).map(|_| resting(place.server)).collect(); // all fifteen places are taken
        stopped(&place, || {
            all.push(Router::connect(place.server));
            oldest.0.send(invocation(1, ONE, "lookup", b"ask"));
        });
        (place, kernel, oldest, all)
    };
    let (_place, mut kernel, mut oldest, _all) = laid_out(lay, Duration::from_millis(200));
    let answer = std::thread::spawn(move || oldest.answer());
    kernel.expect("SCHED", ONE);
    kernel.tell("REAP", ONE, "OK", b"result");
    assert_eq!(answer.join().expect("an answer"), (1, "succeeded", b"result".to_vec()));
}

/// Half a message is no rest: another gives way to the one that comes.
#[test]
fn half_a_message_is_no_rest() {
    let whole = invocation(1, ONE, "lookup", b"ask");
    let lay = || {
        let (place, kernel) = up(|all| all["limits"]["sockets"] = json!(53));
        let mut oldest = resting(place.server);
        let others: Vec<Router> = (0..14).map(|_| resting(place.server)).collect();
        oldest.0.send(&whole[..30]);
        let next = resting(place.server); // it got in, so somebody had to go
        (place, kernel, oldest, others, next)
    };
    let (_place, mut kernel, mut oldest, mut others, _next) = laid_out(lay, Duration::from_millis(200));
    assert_eq!((others[0].frame().kind, others[0].0.ended()), (64, true));
    oldest.0.send(&whole[30..]);
    kernel.expect("SCHED", ONE);
    kernel.tell("REAP", ONE, "OK", b"result");
    assert_eq!(oldest.answer(), (1, "succeeded", b"result".to_vec()));
}

/// Reads to the end, which must not be a reset.
fn to_the_end(mut stream: TcpStream) -> Vec<u8> {
    stream.set_read_timeout(Some(Duration::from_secs(30))).expect("a time-out");
    let mut all = Vec::new();
    stream.read_to_end(&mut all).expect("an end that is no reset");
    all
}

/// Whole invocations ahead of nonsense, and more behind it than is read: each of them is answered, and no reset overtakes that.
#[test]
fn what_came_whole_is_answered_and_the_close_is_no_reset() {
    let (place, mut kernel) = up(|_| {});
    let mut stream = TcpStream::connect(place.server).expect("a connection");
    let mut bytes = invocation(1, ONE, "lookup", b"ask");
    bytes.extend(invocation(2, TWO, "lookup", b"ask"));
    bytes.extend(300_000u32.to_be_bytes());
    bytes.extend([7; 30_000]);
    stream.write_all(&bytes).expect("to write");
    let all = to_the_end(stream);
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
    // None of it holds up the next.
    let mut router = Router::connect(place.server);
    router.0.send(invocation(1, "00000000000000c3", "lookup", b"ask"));
    kernel.expect("SCHED", "00000000000000c3");
}

/// A peer that breaks the protocol, and never closes.
fn bad(server: SocketAddr) -> TcpStream {
    let mut bad = TcpStream::connect(server).expect("a connection");
    let _ = bad.write_all(&300_000u32.to_be_bytes());
    let _ = bad.write_all(&[7; 2000]);
    bad
}

fn descriptors(place: &Place) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", place.id())).expect("its descriptors").count()
}

/// For so long a close lingers at the most.
const LINGER: Duration = Duration::from_millis(300);

/// A flood of peers that never close, all of them half-closed from here inside the time of one lingering close: descriptors stay
/// in their bound, and a router gets in.
#[test]
fn lingering_closes_are_bounded() {
    let (place, mut kernel, open, _flood) = within(LINGER, || {
        let (place, kernel) = up(|all| all["limits"]["sockets"] = json!(64));
        let mut flood = Vec::new();
        let began = stopped(&place, || flood.extend((0..100).map(|_| bad(place.server))));
        for bad in &mut flood {
            bad.set_read_timeout(Some(Duration::from_secs(30))).expect("a time-out");
            let _ = bad.read_to_end(&mut Vec::new()); // no more comes: its close has begun
        }
        let mut open = 0;
        stopped(&place, || open = descriptors(&place));
        (began.elapsed(), (place, kernel, open, flood))
    });
    assert!(open <= 64, "{open} descriptors");
    let mut router = Router::connect(place.server);
    router.0.send(invocation(1, ONE, "lookup", b"ask"));
    kernel.expect("SCHED", ONE);
    kernel.tell("REAP", ONE, "OK", b"result");
    assert_eq!(router.answer(), (1, "succeeded", b"result".to_vec()));
    assert!(!place.has_logged("accept:"), "no connection failed for want of a descriptor");
}

/// All places are taken, by halves of messages that stand for no longer than a close lingers and by one close that does: that one
/// holds no place, so the next gets in before its end.
#[test]
fn a_lingering_close_takes_no_place() {
    within(LINGER, || {
        let (place, mut kernel) = up(|all| all["limits"]["sockets"] = json!(64)); // places for 23
        let whole = invocation(1, TWO, "lookup", b"ask");
        let mut all = Vec::new();
        let began = stopped(&place, || {
            for _ in 0..22 {
                let mut half = Router::connect(place.server);
                half.0.send(&whole[..30]);
                all.push(half);
            }
            all.push(Router(Link::new(bad(place.server))));
            let mut next = Router::connect(place.server);
            next.0.send(invocation(1, ONE, "lookup", b"ask"));
            all.push(next);
        });
        kernel.expect("SCHED", ONE);
        (began.elapsed(), ())
    });
}

/// One that goes on sending, slowly, is closed in time: nothing is there any more to hear it.
#[test]
fn a_lingering_close_ends_in_time() {
    let (place, _kernel) = up(|_| {});
    let mut bad = bad(place.server);
    let _ = bad.read_to_end(&mut Vec::new());
    let until = Instant::now() + Duration::from_secs(30);
    while bad.write_all(&[7]).is_ok() {
        assert!(Instant::now() < until, "it is read on and on");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// One that sends fast costs no more than what is dropped at the most.
#[test]
fn a_lingering_close_drops_so_much_at_the_most() {
    use tokio::io::AsyncReadExt;
    const SENT: usize = 128 * 1024;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut fast = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
        socket2::SockRef::from(&fast).set_send_buffer_size(2 * SENT).expect("room for all of it");
        let mut stream = listener.accept().await.expect("a connection").0;
        fast.write_all(&[7; SENT]).expect("all of it stands there");
        fast.shutdown(std::net::Shutdown::Write).expect("an end");
        let wake = tokio::sync::Notify::new();
        cypresscleat_server::sockets::linger(&mut stream, &wake, || false).await.expect("a close");
        let mut rest = Vec::new();
        stream.read_to_end(&mut rest).await.expect("the rest");
        let dropped = SENT - rest.len();
        assert!(dropped <= 64 * 1024, "{dropped} bytes were read and dropped");
    });
}

/// The machine had accepted the connection, and a whole request stood on it, when the program was about to end.
#[test]
fn what_stands_in_line_when_the_listener_goes_is_answered() {
    let mut place = place(|all| all["stop_ms"] = json!(60_000));
    let (_kernel, _) = Kernel::accept(&place.kernel);
    let mut routers = Vec::new();
    let server = place.server;
    stopped(&place, || {
        place.signal("TERM"); // with no kernel there is nothing to wait for
        for _ in 0..20 {
            let mut router = Router::connect(server);
            router.0.send(invocation(1, ONE, "lookup", b"ask"));
            routers.push(router);
        }
    });
    for router in &mut routers {
        assert_eq!(router.try_answer(), Some("errored"), "the kernel is not up; but it was told");
        router.0.close();
    }
    assert!(place.exit().success());
}

/// Before the configuration is read: it is a pipe here, which the program has opened and of which nothing has come yet.
#[test]
fn signals_before_the_configuration_is_read_end_it_once() {
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
        // Who reads it again finds a file.
        let file = path.with_extension("json");
        std::fs::write(&file, all.to_string()).and_then(|()| std::fs::rename(&file, &path)).expect("a file");
        for signal in signals {
            let sent = Command::new("kill").args(["-s", signal, &program.id().to_string()]).status();
            assert!(sent.is_ok_and(|status| status.success()), "to send {signal}");
        }
        let _ = (&pipe).write_all(all.to_string().as_bytes()); // nobody reads it where the signal was the end
        drop(pipe);
        let status = program.wait().expect("its end");
        let _ = std::fs::remove_file(&path);
        assert!(status.success(), "{signals:?}: {status}");
    }
}

/// In a drain a second SIGTERM, and SIGHUP, change nothing.
#[test]
fn signals_in_any_order_end_it_once() {
    for signals in [&["TERM"][..], &["TERM", "TERM"], &["HUP", "TERM", "HUP"], &["TERM", "HUP", "TERM"]] {
        let (mut place, mut kernel) = up(|all| all["stop_ms"] = json!(60_000));
        let mut router = Router::connect(place.server);
        router.0.send(invocation(1, ONE, "lookup", b"ask"));
        kernel.expect("SCHED", ONE);
        stopped(&place, || signals.iter().for_each(|signal| place.signal(signal)));
        place.logged("draining");
        kernel.tell("REAP", ONE, "OK", b"result");
        assert_eq!(router.answer(), (1, "succeeded", b"result".to_vec()));
        router.0.close();
        assert!(place.exit().success(), "{signals:?}");
    }
}

/// Guards against a drain that stops reading a connection while a request is open on it: what came after was never answered, and lost
/// when the connection ended with that request's answer.
#[test]
fn a_connection_with_an_open_request_is_read_on_in_a_drain() {
    let (place, mut kernel) = up(|all| {
        all["stop_ms"] = json!(20_000);
        all["settings"]["obligations"]["stop_sending_within_ns"] = json!(300_000_000);
        all["settings"]["categories"][1]["aim_ns"] = json!(30_000_000_000u64);
        all["settings"]["categories"][1]["deadline_ns"] = json!(60_000_000_000u64);
    });
    let mut router = resting(place.server);
    // It came to the machine within the grace, and is read after it: admitted.
    let first = invocation(1, ONE, "lookup", b"ask");
    place.signal("TERM");
    place.logged("draining");
    assert_eq!(router.frame().kind, 64);
    router.0.send(first);
    kernel.expect("SCHED", ONE);
    // Told to send no more, it goes on: past the time at which an idle connection is closed, and past twice that.
    for (stream, pause) in [(2, 1_300), (3, 1_000), (4, 500)] {
        std::thread::sleep(Duration::from_millis(pause));
        let txn = format!("{stream:016x}");
        router.0.send(invocation(stream, &txn, "lookup", b"ask"));
        assert_eq!(router.answer(), (stream, "throttled", Vec::new()));
    }
    kernel.tell("REAP", ONE, "OK", b"result");
    assert_eq!(router.answer(), (1, "succeeded", b"result".to_vec()));
    assert!(router.0.ended(), "it is closed once nothing is open on it");
}

/// Guards requests that cross the end of a connection that is still in use: it is not ended in a drain while its caller goes on.
#[test]
fn a_connection_in_use_is_not_ended_in_a_drain() {
    let (place, _kernel) = up(|all| {
        all["stop_ms"] = json!(20_000);
        all["settings"]["obligations"]["stop_sending_within_ns"] = json!(100_000_000);
    });
    let mut router = resting(place.server);
    place.signal("TERM");
    place.logged("draining");
    assert_eq!(router.frame().kind, 64);
    for stream in 1..=12 {
        std::thread::sleep(Duration::from_millis(300));
        let txn = format!("{stream:016x}");
        router.0.send(invocation(stream, &txn, "lookup", b"ask"));
        assert_eq!(router.answer(), (stream, "throttled", Vec::new()));
    }
    assert!(router.0.ended(), "it is closed once it rests");
}

/// Guards the end of a drain: health checks ask for no work, so a connection with nothing else on it is closed and the process can end.
#[test]
fn health_checks_keep_no_connection_in_a_drain() {
    let (mut place, _kernel) = up(|all| {
        all["stop_ms"] = json!(60_000);
        all["settings"]["obligations"]["stop_sending_within_ns"] = json!(100_000_000);
    });
    let mut checker = resting(place.server);
    place.signal("TERM");
    place.logged("draining");
    assert_eq!(checker.frame().kind, 64);
    let began = Instant::now();
    let mut stream = 1;
    while checker.0.try_send(&frame(16, stream + 1, &[0])) && checker.try_frame().is_some() {
        stream += 1;
        assert!(began.elapsed() < Duration::from_secs(20), "it stays for {stream} checks");
        std::thread::sleep(Duration::from_millis(300));
    }
    assert!(place.exit().success(), "it ends by itself");
}

/// A listener whose line is full: whoever dials it hears nothing.
fn silent() -> (TcpListener, Vec<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    socket2::SockRef::from(&listener).listen(0).expect("to listen");
    let mut line = Vec::new();
    while let Ok(one) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
        line.push(one);
        assert!(line.len() < 64, "its line never fills");
    }
    (listener, line)
}

/// The kernel moves while a host is dialled that never answers: its new address is dialled at once.
#[test]
fn a_dial_that_hears_nothing_ends_when_the_kernel_moves() {
    let (nowhere, _line) = silent();
    let address = nowhere.local_addr().expect("an address").to_string();
    let mut place = place(|all| all["kernel"] = json!(address));
    std::thread::sleep(Duration::from_millis(150)); // it dials, for a second each time
    let began = Instant::now();
    let [kernels, ..] = place.moves();
    Kernel::accept(&kernels);
    assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
}

/// A connection that the ledger closes, or spoils, while it rests: the call goes elsewhere, whatever its effect. Here the event loop
/// is told of the close before it is told of the call, so one of two looks at the connection is enough: while it rests, or before
/// the call. What crosses between them is `a_call_is_not_written_to_a_connection_that_was_closed_while_it_rested`.
#[test]
fn a_connection_that_was_spoilt_while_it_rested_is_used_no_more() {
    let fragile = |all: &mut Value| all["settings"]["categories"][0]["effect"] = json!("fragile");
    for noise in [&b""[..], b"what is this\r\n"] {
        let (place, mut kernel) = up(fragile);
        let patience = Some(Duration::from_secs(30));
        socket2::SockRef::from(&place.ledger).set_read_timeout(patience).expect("accept too ends by then");
        let mut router = Router::connect(place.server);
        router.0.send(invocation(1, ONE, "report", b"ask"));
        kernel.expect("SCHED", ONE);
        kernel.tell("IOREQ", ONE, "", b"put");
        let mut ledger = Ledger::accept(&place.ledger);
        assert_eq!(ledger.hear().expect("a call").0[1], ONE);
        ledger.posted(ONE, b"noted");
        kernel.expect("IODONE", ONE);
        router.0.send(invocation(2, TWO, "report", b"ask"));
        kernel.expect("SCHED", TWO);
        stopped(&place, || {
            kernel.tell("IOREQ", TWO, "", b"put");
            match noise {
                b"" => ledger.0.close(),
                noise => ledger.0.send(noise),
            }
        });
        let mut other = Ledger::accept(&place.ledger);
        assert_eq!(other.hear().expect("a call").0[1], TWO);
        other.posted(TWO, b"noted");
        assert_eq!(kernel.expect("IODONE", TWO), b"noted");
    }
}

/// A roster that answers all there, and on the connections that it has already. Tells of each connection that goes on, as its second
/// report shows, when the first came: of others the program may have made nothing of the answer.
fn answers(roster: TcpListener, held: Vec<TcpStream>) -> std::sync::mpsc::Receiver<Instant> {
    let (tell, heard) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for stream in held.into_iter().chain(roster.incoming().flatten()) {
            let tell = tell.clone();
            std::thread::spawn(move || {
                let mut link = Link::new(stream);
                let first = report(&mut link, "204 No Content").map(|_| Instant::now());
                while report(&mut link, "204 No Content").is_some() {
                    let _ = tell.send(first.expect("one before"));
                }
            });
        }
    });
    heard
}

/// Descriptors full of clients that rest, some that asked once, while the roster refuses, is silent, or answers late: routers get
/// in, the links can be made anew, and reports go on within two seconds of its return. The system itself lets the program have no
/// more descriptors than its configuration.
#[test]
fn full_descriptors_and_no_roster_hold_up_nobody() {
    for how in ["refuses", "is silent", "is late"] {
        let (mut place, mut kernel) = up(|all| all["limits"]["sockets"] = json!(64));
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
        let mut held: Vec<TcpStream> = Vec::new();
        let rosters = match how {
            "refuses" => {
                drop(rosters);
                None
            }
            _ => Some(rosters),
        };
        let idle: Vec<Router> = (0..60).map(|_| resting(server)).collect();
        let rude: Vec<TcpStream> = (0..60).filter_map(|_| TcpStream::connect(server).ok()).collect();
        if let Some(rosters) = &rosters {
            held.push(rosters.accept().expect("a report").0);
        }
        let until = Instant::now() + Duration::from_secs(2);
        let mut stream = 0;
        while Instant::now() < until {
            stream += 1;
            let txn = format!("{stream:016x}");
            let mut router = Router::connect(server);
            router.0.send(invocation(1, &txn, "report", b"ask"));
            kernel.expect("SCHED", &txn);
            kernel.tell("IOREQ", &txn, "", b"put");
            let mut ledger = Ledger::accept(&ledgers);
            assert_eq!(ledger.hear().expect("a call").0[1], txn);
            ledger.posted(&txn, b"noted");
            kernel.expect("IODONE", &txn);
            kernel.tell("REAP", &txn, "OK", b"result");
            assert_eq!(router.answer(), (1, "succeeded", b"result".to_vec()));
            kernel.link.close(); // and the link to the kernel is made anew each time
            (kernel, _) = Kernel::accept(&kernels);
            kernel.boot("WARM");
        }
        let back = match rosters {
            Some(rosters) => rosters,
            None => TcpListener::bind(address).expect("its port again"),
        };
        let began = Instant::now();
        let heard = answers(back, if how == "is late" { std::mem::take(&mut held) } else { Vec::new() });
        let first = heard.recv_timeout(Duration::from_secs(30)).expect("reports that go on");
        let after = first.saturating_duration_since(began);
        assert!(after < Duration::from_secs(2), "{how}: {after:?}");
        assert!(place.runs() && !place.has_logged("accept:"), "{how}");
        drop((idle, rude, held));
    }
}

/// The roster moves in the pause behind a report, lost or not: it is told at its new address before that pause would be over.
#[test]
fn a_pause_between_reports_ends_when_the_roster_moves() {
    // Behind the fifth that is lost the pause is 400 ms at the least, behind one that is answered 700 ms.
    for (lost, pause) in [(5, 400), (0, 700)] {
        within(Duration::from_millis(pause), || {
            let mut place = place(|_| {});
            let mut last = place.roster.accept().expect("a report").0;
            for _ in 1..lost {
                drop(last);
                last = place.roster.accept().expect("another, as that was lost").0;
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

/// Three hundred servers that lose their roster at once don't come back as one wave, and none is later than 1.5 s.
#[test]
fn reports_back_off_apart_from_each_other() {
    use cypresscleat_server::roster::backoff;
    let ms = |number: u64, lost| backoff(7, &format!("n{number}"), lost).as_millis();
    for lost in 1..2000 {
        let most = (100u128 << (lost - 1).min(3)).min(800);
        assert!((0..300).all(|seed| (most / 2..=most).contains(&ms(seed, lost))), "{lost}");
    }
    let mut slots = [0; 9];
    (0..300u64).for_each(|seed| slots[((ms(seed, 5) - 400) / 50) as usize] += 1);
    assert!(slots.iter().all(|many| *many < 75), "in each 50 ms: {slots:?}");
}

/// How the ledger spoils a connection that rests.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Spoilt {
    Closed,
    Noise,
}

/// Spoils the connection in this moment, with no turn of the event loop: comes back once the system was told of it. What it comes
/// back with keeps it open.
fn spoils(stream: tokio::net::TcpStream, how: Spoilt) -> Option<TcpStream> {
    let port = |address: std::io::Result<SocketAddr>| address.expect("an address").port();
    let (port, to) = (port(stream.peer_addr()), port(stream.local_addr()));
    let mut stream = stream.into_std().expect("a socket");
    let kept = match how {
        Spoilt::Closed => {
            drop(stream);
            None
        }
        Spoilt::Noise => {
            stream.write_all(b"what is this\r\n").expect("to write");
            Some(stream)
        }
    };
    const CLOSE_WAIT: &str = "08";
    let until = Instant::now() + Duration::from_secs(30);
    let (local, remote) = (format!("0100007F:{port:04X}"), format!("0100007F:{to:04X}"));
    let seen = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let unread = |queues: &&str| !queues.ends_with(":00000000");
        words.get(1..3) == Some(&[local.as_str(), remote.as_str()])
            && match how {
                Spoilt::Closed => words.get(3) == Some(&CLOSE_WAIT),
                Spoilt::Noise => words.get(4).is_some_and(unread),
            }
    };
    while !std::fs::read_to_string("/proc/net/tcp").expect("the connections").lines().any(seen) {
        assert!(Instant::now() < until, "{how:?} never came");
    }
    kept
}

/// The same at the ledger's own connections, with the close, or the noise, told to the system and not yet to the program: no turn of its event loop stands between
/// that and the call.
#[test]
fn a_call_crosses_the_close_of_its_connection() {
    use cypresscleat_scheduler::Outcome;
    use cypresscleat_server::config::{parse, Addresses};
    use cypresscleat_server::core::{CoreEvent, DownstreamCommand, Shared};
    use cypresscleat_server::downstream::ledger;
    use std::rc::Rc;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let play = async |spoilt: Spoilt| {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addresses = Addresses::new(&parse(CONFIG, None, None).expect("the example"));
        addresses.ledger.set(listener.local_addr().ok());
        let shared = Shared::new(64);
        let (queue, mut notes) = tokio::sync::mpsc::channel(16);
        tokio::task::spawn_local(ledger::run(Rc::new(addresses), shared.clone(), queue, 4));
        let post = |txn: &str, number| {
            let request_id = txn.as_bytes().try_into().expect("an id");
            let body = shared.pool.take();
            let command = DownstreamCommand::Call { request_id, number, class: 0, timeout: 10_000, body };
            shared.downstream.queue.borrow_mut().push_back(command);
            shared.downstream.wake.notify_one();
        };
        let mut how = async || match notes.recv().await {
            Some(CoreEvent::CallCompleted { outcome, .. }) => outcome,
            _ => panic!("no end of a call"),
        };
        post(ONE, 1);
        let mut stream = listener.accept().await.expect("a connection").0;
        let mut bytes = [0; 256];
        assert!(stream.read(&mut bytes).await.expect("a call") > 0);
        stream.write_all(format!("{ONE} posted 2\r\nok\r\n").as_bytes()).await.expect("to write");
        assert_eq!(how().await, Outcome::Succeeded);
        let _kept = spoils(stream, spoilt);
        post(TWO, 2);
        assert_eq!(how().await, Outcome::ConnectFailed, "{spoilt:?}: it is known that it never ran");
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    for spoilt in [Spoilt::Closed, Spoilt::Noise] {
        tokio::task::LocalSet::new().block_on(&runtime, play(spoilt));
    }
}

/// The same through the core, from the kernel's notice on: not written, so made again though it is non-idempotent, and its run goes
/// on.
#[test]
fn a_call_is_not_written_to_a_connection_that_was_closed_while_it_rested() {
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
    let play = async |spoilt: Spoilt| {
        let mut all: Value = serde_json::from_str(CONFIG).expect("JSON");
        all["settings"]["categories"][0]["effect"] = json!("fragile");
        // Time enough for another try, however long the system takes to list its connections.
        for key in ["aim_ns", "deadline_ns"] {
            all["settings"]["categories"][0][key] = json!(120_000_000_000u64);
        }
        let config = parse(&all.to_string(), None, None).expect("the example");
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addresses = Addresses::new(&config);
        addresses.ledger.set(listener.local_addr().ok());
        let (shared, names, clock) = (Shared::new(64), Rc::new(config.names), Clock::start());
        let (queue, mut notes) = tokio::sync::mpsc::channel(16);
        tokio::task::spawn_local(ledger::run(Rc::new(addresses), shared.clone(), queue.clone(), 4));
        let mut core = Core::new(config.settings, names.clone(), &shared);
        tokio::task::spawn_local(async move {
            loop {
                let due = clock.instant(core.wake_at().min(clock.now() + 10_000));
                tokio::select! {
                    note = notes.recv() => match note {
                        Some(note) => core.handle_event(clock.now(), unix_time(), note),
                        None => return,
                    },
                    () = tokio::time::sleep_until(due.into()) => core.tick(clock.now()),
                }
            }
        });
        let says = async |notice: Value| {
            let notice =
                lines::parse_notice(notice.to_string().as_bytes(), &shared.pool).1.expect("a notice");
            assert!(queue.send(CoreEvent::ExecutorNotice(notice)).await.is_ok());
        };
        let out = Rc::new(Outbox::new(&shared.pool));
        let mut written = String::new();
        let mut writes = async |words: &str, txn: &str| {
            let found = |line: &str| line.contains(words) && line.contains(txn);
            while !written.lines().any(found) {
                let part = out.flush(|bytes| {
                    written.push_str(std::str::from_utf8(bytes).expect("text"));
                    Ok(bytes.len())
                });
                part.expect("a text takes all");
                if !written.lines().any(found) {
                    out.wake.notified().await;
                }
            }
        };
        says(json!({"msg": "BOOTED", "how": "WARM", "duration": 60_000})).await;
        assert!(queue.send(CoreEvent::ExecutorConnected(out.clone())).await.is_ok());
        let peer = Rc::new(Peer::new(&shared.pool, Rc::new(FrameWriter), 0));
        let asks = async |stream: u32, txn: &str| {
            let mut buf = shared.pool.take();
            buf.push(&invocation(stream, txn, "report", b"ask")[9..]);
            peer.queued_requests.set(peer.queued_requests.get() + 1);
            let note =
                CoreEvent::RequestArrived { peer: peer.clone(), stream, request: read_request(buf, &names) };
            assert!(queue.send(note).await.is_ok());
        };
        let calls = async || {
            let accepted = tokio::time::timeout(Duration::from_secs(20), listener.accept()).await;
            let mut stream = accepted.expect("a connection: the call was not made").expect("a connection").0;
            let mut bytes = [0; 256];
            let many = stream.read(&mut bytes).await.expect("a call");
            (stream, String::from_utf8_lossy(&bytes[..many]).into_owned())
        };
        asks(1, ONE).await;
        writes("SCHED", ONE).await;
        says(json!({"msg": "IOREQ", "serial": 1, "call": ONE, "blob": "cHV0"})).await;
        let (mut stream, call) = calls().await;
        assert!(call.contains(ONE), "{call}");
        stream.write_all(format!("{ONE} posted 2\r\nok\r\n").as_bytes()).await.expect("to write");
        writes("IODONE", ONE).await;
        asks(2, TWO).await;
        writes("SCHED", TWO).await;
        let _kept = spoils(stream, spoilt);
        says(json!({"msg": "IOREQ", "serial": 2, "call": TWO, "blob": "cHV0"})).await;
        let (mut stream, call) = calls().await;
        assert!(call.contains(TWO), "{call}");
        stream.write_all(format!("{TWO} posted 2\r\nok\r\n").as_bytes()).await.expect("to write");
        writes("IODONE", TWO).await;
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    for spoilt in [Spoilt::Closed, Spoilt::Noise] {
        tokio::task::LocalSet::new().block_on(&runtime, play(spoilt));
    }
}

/// A worker that says no more and closes as the first invocation comes, so often; then it answers. What it was sent, by id.
fn closing_worker(closes: usize, says: bool) -> (SocketAddr, std::sync::mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (tell, heard) = std::sync::mpsc::channel();
    let left = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(closes));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (tell, left) = (tell.clone(), left.clone());
            std::thread::spawn(move || {
                let mut link = Router(Link::new(stream));
                while let Some(one) = link.try_frame() {
                    match one.kind {
                        16 => link.0.send(frame(32, one.stream, &[79, 0])),
                        2 => {
                            let text = String::from_utf8_lossy(&one.payload).into_owned();
                            let _ = tell.send(
                                [ONE, TWO].iter().find(|id| text.contains(**id)).expect("an id").to_string(),
                            );
                            use std::sync::atomic::Ordering::SeqCst;
                            if left.fetch_update(SeqCst, SeqCst, |left| left.checked_sub(1)).is_ok() {
                                if says {
                                    link.0.send(frame(64, 0, b""));
                                }
                                link.0.close();
                                return;
                            }
                            link.0.send(frame(4, one.stream, b"\x4f\0result"));
                        }
                        _ => {}
                    }
                }
            });
        }
    });
    (address, heard)
}

/// A forwarder's try crosses the close of its connection: sent once more to the same worker, under its id, where that had said no more;
/// not where it closed without a word, nor a second time.
#[test]
fn a_try_that_crosses_its_workers_close_is_sent_once_more() {
    for (closes, says, answer, sent) in
        [(1, true, "succeeded", 2), (1, false, "errored", 1), (2, true, "errored", 2)]
    {
        let (worker, heard) = closing_worker(closes, says);
        let (listen, planner) =
            (cypresscleat_fault_injection::free_port(), cypresscleat_fault_injection::free_port());
        let operator = format!(
            "tier: {{listen: \"{listen}\", planners: [{{name: \"p0\", address: \"{planner}\"}}], \
             workers: [{{name: \"w0\", address: \"{worker}\", places: 4}}]}}"
        );
        let place = Place::start_as(Path::new(PROGRAM), "forward", CONFIG, &operator, |_| {});
        place.logged("takes work");
        let mut router = Router::connect(place.server);
        router.0.send(invocation(1, ONE, "lookup", b"ask"));
        assert_eq!(router.answer().1, answer, "{closes} closes, {says}");
        assert_eq!(heard.try_iter().count(), sent, "{closes} closes, {says}");
    }
}
