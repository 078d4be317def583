//! What a long day brings all at once, forced over loopback: signals that cross a drain, parties that fall silent after many good
//! answers, a roster's whole list, a kill right behind `accept`, requests in all their forms and cuts, clients that write slowly.
//! See docs/design/crossings.md.

use cypresscleat_demo::{frame, report, request, unix_ms, Kernel, Ledger, Link, Place, Router};
use cypresscleat_fault_injection::free_port;
use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");
const ONE: &str = "00000000000000a1";
const TWO: &str = "00000000000000b2";
const THREE: &str = "00000000000000c3";

fn place(change: impl FnOnce(&mut Value)) -> Place {
    Place::start(Path::new(PROGRAM), CONFIG, change)
}

fn up(change: impl FnOnce(&mut Value)) -> (Place, Kernel) {
    let place = place(change);
    let kernel = boots(&place);
    (place, kernel)
}

fn boots(place: &Place) -> Kernel {
    let (mut kernel, serial) = kernel_at(&place.kernel, Duration::from_secs(10));
    assert_eq!(serial, 0, "it begins with nothing");
    kernel.boot("WARM");
    place.logged("kernel up");
    kernel
}

/// The next connection, which has to come within that time.
fn dialled(listener: &TcpListener, within: Duration, who: &str) -> Link {
    listener.set_nonblocking(true).expect("a listener");
    let until = Instant::now() + within;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).expect("a socket");
                return Link::new(stream);
            }
            Err(_) => assert!(Instant::now() < until, "{who} was not dialled within {within:?}"),
        }
        thread::sleep(Duration::from_millis(1));
    }
}

fn kernel_at(listener: &TcpListener, within: Duration) -> (Kernel, u64) {
    let mut link = dialled(listener, within, "the kernel");
    let open: Value = serde_json::from_str(&link.line().expect("OPEN")).expect("JSON");
    assert_eq!(open["msg"], "OPEN");
    let serial = open["serial"].as_u64().expect("a serial");
    (Kernel { link, serial, links: 2, service: String::new() }, serial)
}

/// Stops it: nothing of what comes now is read before all of it is there.
fn stop(place: &Place) {
    place.signal("STOP");
    let status = format!("/proc/{}/stat", place.id());
    while !std::fs::read_to_string(&status).is_ok_and(|text| text.contains(") T ")) {}
}

/// An ordinary one, with a token where it has one.
fn asks(stream: u32, txn: &str, operation: &str, token: Option<&str>) -> Vec<u8> {
    let door = unix_ms().to_string();
    let mut fields = vec![
        ("verb", operation),
        ("txn", txn),
        ("door", &door),
        ("lb", "1"),
        ("team", "acme"),
        ("cpu", "20.5"),
        ("ram", "24.5"),
        ("standing", "0.5"),
    ];
    fields.extend(token.map(|token| ("unique", token)));
    request(stream, &fields, b"ask")
}

/// Bytes that the machine has accepted for the program at `server` and that it has not read, on each of its connections, with the
/// port of the other side.
fn unread(server: SocketAddr) -> Vec<(u16, usize)> {
    let local = format!("0100007F:{:04X}", server.port());
    let all = std::fs::read_to_string("/proc/net/tcp").expect("the connections");
    let rows = all
        .lines()
        .filter(|line| line.contains(&local))
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    let own = rows.filter(|words| words.get(1) == Some(&local.as_str()) && words[3] == "01");
    own.map(|words| {
        let port = words[2].rsplit(':').next().map(|port| u16::from_str_radix(port, 16));
        let bytes = words[4].rsplit(':').next().map(|bytes| usize::from_str_radix(bytes, 16));
        (port.expect("an address").expect("a port"), bytes.expect("two queues").expect("a size"))
    })
    .collect()
}

fn waits_until(what: &str, within: Duration, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + within;
    while !holds() {
        assert!(Instant::now() < until, "{what}: not within {within:?}");
    }
}

/// The next command that is not the same run told again on a new link, for which nothing happens.
fn next(kernel: &mut Kernel, running: &[&str]) -> (String, String, Vec<u8>) {
    loop {
        let (msg, call, body) = kernel.hear().expect("a command");
        if msg != "SCHED" || !running.contains(&call.as_str()) {
            return (msg, call, body);
        }
    }
}

// ---- SIGHUP across a drain ----

/// A new configuration in the very moment of the notice, in the grace, once connections are told, and with a second notice: each
/// time kernel, ledger and roster are where it says, the run goes on there, the roster hears "off" there, and it ends once.
#[test]
fn a_reload_crosses_the_notice_and_each_step_of_the_drain() {
    const SOON: Duration = Duration::from_secs(5);
    let (mut place, mut kernel) = up(|all| {
        all["stop_ms"] = json!(60_000);
        all["settings"]["categories"][0]["aim_ns"] = json!(20_000_000_000u64);
        all["settings"]["categories"][0]["deadline_ns"] = json!(20_000_000_000u64);
    });
    let (mut busy, mut idle) = (Router::connect(place.server), Router::connect(place.server));
    idle.0.send(frame(16, 1, &[0]));
    assert_eq!(idle.frame().kind, 32);
    busy.0.send(asks(1, ONE, "report", None));
    kernel.expect("SCHED", ONE);
    kernel.tell("IOREQ", ONE, "", b"put");
    let mut ledger = Ledger(dialled(&place.ledger, SOON, "the ledger"));
    assert_eq!(ledger.hear().expect("a call").0[1], ONE);
    // Both signals stand when it goes on.
    stop(&place);
    let mut at = place.moves();
    place.signal("TERM");
    place.signal("CONT");
    place.logged("draining");
    for step in ["the notice", "the grace", "told to go"] {
        let (mut moved, serial) = kernel_at(&at[0], SOON);
        assert_eq!(serial, kernel.serial, "{step}: its runs and numbers go on");
        moved.boot("WARM");
        kernel = moved;
        let mut roster = dialled(&at[2], SOON, "the roster");
        let off = |link: &mut Link| report(link, "204 No Content").expect("a report").1.contains("off");
        // Read ahead of the notice it may have been told "on" once.
        assert!(off(&mut roster) || step == "the notice" && off(&mut roster), "{step}");
        ledger.posted(ONE, b"noted"); // made before, it ends where it is
        let heard = next(&mut kernel, &[ONE]);
        assert_eq!((&heard.0[..], &heard.1[..], &heard.2[..]), ("IODONE", ONE, &b"noted"[..]), "{step}");
        kernel.tell("IOREQ", ONE, "", b"more");
        ledger = Ledger(dialled(&at[1], SOON, "the ledger"));
        assert_eq!(ledger.hear().expect("a call").1, b"more", "{step}: the next one goes to the new place");
        match step {
            "the notice" => at = place.moves(),
            "the grace" => {
                // The grace is over once those that idle are told; one told rests until it is closed.
                assert_eq!(idle.frame().kind, 64);
                stop(&place);
                at = place.moves();
                place.signal("TERM");
                place.signal("CONT");
            }
            _ => {}
        }
    }
    ledger.posted(ONE, b"noted");
    assert_eq!(next(&mut kernel, &[ONE]).0, "IODONE");
    assert!(idle.0.ended());
    kernel.tell("REAP", ONE, "OK", b"result");
    assert_eq!(busy.answer(), (1, "succeeded", b"result".to_vec()));
    // The last step: told, and not gone yet.
    assert_eq!(busy.frame().kind, 64);
    at = place.moves();
    assert!(busy.0.ended(), "one answer");
    assert!(place.exit().success());
    assert!(place.has_logged("stopped: ") && place.has_logged("reloads 4"));
    drop(at);
}

// ---- silence after many good answers ----

/// Reports were answered for long, then one is not, on a connection that stays: told anew elsewhere before its entry lapses.
#[test]
fn a_roster_that_falls_silent_after_good_answers_is_dialled_anew() {
    const LAPSES: Duration = Duration::from_secs(3);
    let (place, mut kernel) = up(|_| {});
    let mut good = dialled(&place.roster, LAPSES, "the roster");
    for _ in 0..5 {
        report(&mut good, "204 No Content").expect("a report on the one connection");
    }
    assert!(good.line().is_some(), "the next has begun to come");
    // While it waits for that answer, nothing else does.
    let mut router = Router::connect(place.server);
    router.0.send(asks(1, ONE, "lookup", None));
    kernel.expect("SCHED", ONE);
    kernel.tell("REAP", ONE, "OK", b"result");
    assert_eq!(router.answer(), (1, "succeeded", b"result".to_vec()));
    let mut anew = dialled(&place.roster, LAPSES, "the roster");
    report(&mut anew, "204 No Content").expect("a report");
    report(&mut anew, "204 No Content").expect("a report");
    place.logged("was lost: no answer in time");
    while good.line().is_some() {} // one whole report, and its end
}

/// The kernel told of all runs and all gauges, then says nothing on a link that stays: made anew, and the run's end is told there.
#[test]
fn a_kernel_that_falls_silent_after_good_answers_is_dialled_anew() {
    let (place, mut kernel) = up(|all| {
        all["settings"]["categories"][1]["aim_ns"] = json!(25_000_000_000u64);
        all["settings"]["categories"][1]["deadline_ns"] = json!(25_000_000_000u64);
        all["settings"]["customers"] = json!([]);
    });
    let mut router = Router::connect(place.server);
    for stream in 1..=300 {
        let txn = format!("{stream:016x}");
        router.0.send(asks(stream, &txn, "lookup", None));
        kernel.expect("SCHED", &txn);
        kernel.tell("REAP", &txn, "OK", b"result");
        assert_eq!(router.answer(), (stream, "succeeded", b"result".to_vec()));
    }
    router.0.send(asks(301, ONE, "lookup", None));
    kernel.expect("SCHED", ONE);
    let (mut anew, serial) = kernel_at(&place.kernel, Duration::from_secs(12));
    assert_eq!(serial, 300);
    anew.boot("WARM");
    anew.tell("REAP", ONE, "OK", b"late");
    assert_eq!(router.answer(), (301, "succeeded", b"late".to_vec()));
}

/// A hundred calls on one connection, then one that nobody answers: it is given up in its time, and the next has another connection.
#[test]
fn a_ledger_that_falls_silent_after_good_answers_costs_one_call() {
    let (place, mut kernel) = up(|all| {
        all["settings"]["categories"][0]["aim_ns"] = json!(1_500_000_000);
        all["settings"]["categories"][0]["deadline_ns"] = json!(2_000_000_000);
        all["settings"]["customers"] = json!([]);
    });
    let mut router = Router::connect(place.server);
    let mut begins = |kernel: &mut Kernel, stream: u32| {
        let txn = format!("{stream:016x}");
        router.0.send(asks(stream, &txn, "report", None));
        kernel.expect("SCHED", &txn);
        kernel.tell("IOREQ", &txn, "", b"put");
        txn
    };
    let first = begins(&mut kernel, 1);
    let mut ledger = Ledger(dialled(&place.ledger, Duration::from_secs(5), "the ledger"));
    let finish = |kernel: &mut Kernel, ledger: &mut Ledger, txn: &str| {
        assert_eq!(ledger.hear().expect("a call").0[1], txn);
        ledger.posted(txn, b"noted");
        kernel.expect("IODONE", txn);
        kernel.tell("REAP", txn, "OK", b"result");
    };
    finish(&mut kernel, &mut ledger, &first);
    for stream in 2..=100 {
        let txn = begins(&mut kernel, stream);
        finish(&mut kernel, &mut ledger, &txn);
    }
    let silent = begins(&mut kernel, 101);
    assert_eq!(ledger.hear().expect("a call").0[1], silent);
    let after = begins(&mut kernel, 102);
    let mut other = Ledger(dialled(&place.ledger, Duration::from_secs(5), "the ledger"));
    finish(&mut kernel, &mut other, &after);
    assert!(ledger.0.ended(), "the call is given up, and its connection with it");
    let how: Vec<(u32, &str)> =
        (1..=102).map(|_| router.answer()).map(|(stream, how, _)| (stream, how)).collect();
    let succeeded = how.iter().filter(|one| one.1 == "succeeded").count();
    assert_eq!((succeeded, how.contains(&(101, "errored"))), (101, true));
}

/// A worker's stand-in: answers all that comes, until it is to be silent; then it holds its connections and says nothing more.
fn worker(silent: Arc<AtomicBool>, asked: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (silent, asked) = (silent.clone(), asked.clone());
            thread::spawn(move || {
                let mut link = Router(Link::new(stream));
                while let Some(one) = link.try_frame() {
                    asked.fetch_add(usize::from(one.kind == 2), SeqCst);
                    match one.kind {
                        _ if silent.load(SeqCst) => {}
                        16 => link.0.send(frame(32, one.stream, &[79, 0])),
                        2 => link.0.send(frame(4, one.stream, b"\x4f\0result")),
                        _ => {}
                    }
                }
            });
        }
    });
    address
}

/// Of two workers one falls silent after hundreds of good answers: those it was sent end by their due time with one answer each,
/// then nothing more is sent there, and all is served by the other.
#[test]
fn a_worker_that_falls_silent_after_good_answers_is_sent_nothing_more() {
    let (silent, asked) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let first = worker(silent.clone(), asked.clone());
    let second = worker(Arc::default(), Arc::default());
    let operator = format!(
        "tier: {{listen: \"{}\", planners: [{{name: \"p0\", address: \"{}\"}}], workers: [\
         {{name: \"w0\", address: \"{first}\", places: 4}}, {{name: \"w1\", address: \"{second}\", places: 4}}]}}",
        free_port(),
        free_port()
    );
    let place = Place::start_as(Path::new(PROGRAM), "forward", CONFIG, &operator, |all| {
        all["settings"]["customers"] = json!([]);
        all["settings"]["categories"][1]["aim_ns"] = json!(800_000_000);
        all["settings"]["categories"][1]["deadline_ns"] = json!(1_000_000_000);
    });
    for _ in 0..2 {
        place.logged("takes work");
    }
    let mut router = Router::connect(place.server);
    let mut stream = 0;
    let mut ask = || {
        stream += 1;
        router.0.send(asks(stream, &format!("{stream:016x}"), "lookup", None));
        let (on, how, _) = router.answer();
        assert_eq!(on, stream, "one answer each");
        how
    };
    while asked.load(SeqCst) < 200 {
        assert_eq!(ask(), "succeeded");
    }
    silent.store(true, SeqCst);
    waits_until("word that it takes none", Duration::from_secs(8), || {
        ask();
        place.has_logged("takes none")
    });
    let before = asked.load(SeqCst);
    assert!((0..100).all(|_| ask() == "succeeded"));
    assert_eq!(asked.load(SeqCst), before, "nothing more is sent to the silent one");
}

// ---- a roster that brings its whole list ----

/// A list of thousands, this server in it twice. An app server asks for none and reads none: behind a 204 it is left unread with its
/// connection, in place of one the report was not taken, and neither costs more than that report, nor memory, nor anybody else.
#[test]
fn a_roster_that_brings_its_whole_list_is_read_no_further_than_its_answer() {
    const LAPSES: Duration = Duration::from_secs(3);
    let (place, mut kernel) = up(|_| {});
    let entry = |number: usize| {
        let name = if number % 2500 == 7 { "toy".to_string() } else { format!("n{number}") };
        format!("{{\"name\":\"{name}\",\"address\":\"127.0.0.1:{}\",\"duty\":\"on\"}}", 10_000 + number)
    };
    let list = format!("[{}]", (0..5000).map(entry).collect::<Vec<_>>().join(","));
    assert_eq!(list.matches("\"toy\"").count(), 2);
    let length = list.len();
    let resident = || {
        let text = std::fs::read_to_string(format!("/proc/{}/statm", place.id())).expect("its memory");
        text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).expect("pages") * 4096
    };
    let before = resident();
    let answered = |answer: String| {
        let mut roster = dialled(&place.roster, LAPSES, "the roster");
        while !roster.line().expect("a report").is_empty() {}
        roster.exact("{\"duty\":\"on\"}".len());
        stop(&place); // so that all of it stands there at once
        roster.try_send(answer.as_bytes());
        place.signal("CONT");
        assert!(roster.ended(), "and what stands behind its answer is no answer to the next report");
    };
    answered(format!("HTTP/1.1 204 No Content\r\n\r\n{list}"));
    answered(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{list}"));
    let mut good = dialled(&place.roster, LAPSES, "the roster");
    (0..2).for_each(|_| drop(report(&mut good, "204 No Content").expect("a report")));
    let mut router = Router::connect(place.server);
    router.0.send(asks(1, ONE, "lookup", None));
    kernel.expect("SCHED", ONE);
    kernel.tell("REAP", ONE, "OK", b"result");
    assert_eq!(router.answer(), (1, "succeeded", b"result".to_vec()));
    place.signal("USR1");
    let line = place.logged("reports_lost ");
    assert!(line.contains("reports_lost 1"), "{line}");
    let grown = resident().saturating_sub(before);
    assert!(grown < 4 << 20, "{grown} bytes for a list that nobody reads");
}

// ---- killed right behind `accept` ----

/// A folder of the test's own, gone with it.
struct Own(PathBuf);

impl Own {
    fn new(name: &str) -> Own {
        let folder = std::env::temp_dir().join(format!("cypresscleat-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        Own(folder)
    }
}

impl Drop for Own {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Killed behind `accept` with a tokened request unread, or read and begun. No answer goes out. The next life takes neither for
/// done: the unread one's repeat is the first that is known of it, and runs; that of the one begun is errored, and never runs again.
#[test]
fn killed_behind_accept_the_next_life_takes_nothing_for_done() {
    let own = Own::new("standing-kill");
    let operator = format!("store: folder: {:?}\n", own.0.display().to_string());
    let start = || {
        Place::start_with(Path::new(PROGRAM), CONFIG, &operator, |all| {
            all["settings"]["categories"][1]["effect"] = json!("dedup");
            all["settings"]["categories"][1]["memory_span_ns"] = json!(60_000_000_000u64);
        })
    };
    // A check that was answered shows that its connection was taken from the line.
    let accepted = |place: &Place| {
        let mut router = Router::connect(place.server);
        router.0.send(frame(16, 1, &[0]));
        assert_eq!(router.frame().kind, 32);
        router
    };
    let mut place = start();
    let mut kernel = boots(&place);
    let (mut unread, mut read) = (accepted(&place), accepted(&place));
    read.0.send(asks(2, ONE, "lookup", Some("read")));
    kernel.expect("SCHED", ONE);
    stop(&place);
    unread.0.send(asks(2, TWO, "lookup", Some("unread")));
    place.signal("KILL");
    assert!(!place.exit().success());
    assert_eq!((unread.try_frame(), read.try_frame()), (None, None), "whoever is cut off is told nothing");
    drop(place);
    let place = start();
    assert!(place.has_logged("1 tokens, "), "of the unread one nothing is known");
    let mut kernel = boots(&place);
    let mut router = accepted(&place);
    router.0.send(asks(2, THREE, "lookup", Some("read")));
    assert_eq!(
        router.answer(),
        (2, "errored", Vec::new()),
        "perhaps it ran: not again, and not taken for done"
    );
    router.0.send(asks(3, "00000000000000d4", "lookup", Some("unread")));
    assert_eq!(kernel.expect("SCHED", "00000000000000d4"), b"ask", "nothing else was run");
    kernel.tell("REAP", "00000000000000d4", "OK", b"result");
    assert_eq!(router.answer(), (3, "succeeded", b"result".to_vec()));
}

/// With a forwarder in front: whether its worker was killed with the request unread or read, the forwarder can't know, so its caller
/// is told at once that it failed, once; neither is sent again, and the worker's next life hears of none of it.
#[test]
fn a_worker_killed_behind_accept_costs_its_caller_one_failure() {
    for read in [false, true] {
        let listen = free_port();
        let starts = || {
            place(|all| {
                all["listen"] = json!(listen.to_string());
                all["settings"]["customers"] = json!([]);
            })
        };
        let mut worker = starts();
        let mut kernel = boots(&worker);
        let operator = format!(
            "tier: {{listen: \"{}\", planners: [{{name: \"p0\", address: \"{}\"}}], \
             workers: [{{name: \"w0\", address: \"{listen}\", places: 4}}]}}",
            free_port(),
            free_port()
        );
        let forwarder = Place::start_as(Path::new(PROGRAM), "forward", CONFIG, &operator, |all| {
            all["settings"]["customers"] = json!([]);
        });
        forwarder.logged("takes work");
        let mut router = Router::connect(forwarder.server);
        // One that is served: from here on the connection between them is one that was accepted.
        router.0.send(asks(1, ONE, "lookup", None));
        kernel.expect("SCHED", ONE);
        kernel.tell("REAP", ONE, "OK", b"result");
        assert_eq!(router.answer(), (1, "succeeded", b"result".to_vec()));
        if read {
            router.0.send(asks(2, TWO, "lookup", None));
            kernel.expect("SCHED", TWO);
        } else {
            stop(&worker);
            router.0.send(asks(2, TWO, "lookup", None));
            let stands = || unread(listen).iter().any(|(_, bytes)| *bytes > 100);
            waits_until("the request at the worker", Duration::from_secs(2), stands);
        }
        worker.signal("KILL");
        worker.exit();
        assert_eq!(router.answer(), (2, "errored", Vec::new()), "it may have run: read {read}");
        drop(worker);
        let worker = starts();
        let mut kernel = boots(&worker);
        // Once it is found again the next is served, and nothing of the last life is run.
        let until = Instant::now() + Duration::from_secs(10);
        for stream in 3.. {
            assert!(Instant::now() < until, "it is found again");
            let txn = format!("{stream:016x}");
            router.0.send(asks(stream, &txn, "lookup", None));
            // It is turned away, or it is run.
            let mut heard = None;
            while heard.is_none() && !router.0.waiting(Duration::from_millis(1)) {
                heard = kernel.hear_within(Duration::from_millis(20));
            }
            match heard {
                None => {
                    assert_eq!(router.answer(), (stream, "throttled", Vec::new()));
                    thread::sleep(Duration::from_millis(20));
                }
                Some((msg, call, _)) => {
                    assert_eq!((msg, call), ("SCHED".into(), txn.clone()));
                    kernel.tell("REAP", &txn, "OK", b"third");
                    assert_eq!(router.answer(), (stream, "succeeded", b"third".to_vec()), "one answer each");
                    break;
                }
            }
        }
    }
}

// ---- every form of a request ----

/// A request's fields but `txn` and `door`, and its body.
type Form = (Vec<(&'static str, &'static str)>, Vec<u8>);

/// What the protocol page allows: fields in any order, the item there or not, figures with and without a fraction up to their
/// bounds, a body of any bytes up to its bound, also of bytes that look like frames.
fn forms() -> Vec<Form> {
    let table = [
        ("verb", "lookup"),
        ("lb", "4"),
        ("team", "acme"),
        ("cpu", "12.50"),
        ("ram", "24.5"),
        ("standing", "0.6250"),
    ];
    let with = |name: &str, value: &'static str| {
        let mut fields = table.to_vec();
        fields.iter_mut().filter(|field| field.0 == name).for_each(|field| field.1 = value);
        fields
    };
    let plain = |fields: Vec<_>| (fields, b"ask".to_vec());
    let mut forms = vec![
        plain(table.to_vec()),
        plain(table.iter().rev().copied().collect()),
        plain([&[("item", "7f3a9c21e0b4d655")], &table[..]].concat()),
        plain([&table[..], &[("item", "7f3a9c21e0b4d655")]].concat()),
        plain(with("verb", "report")),
        plain(with("team", "bolt")),
        plain(with("lb", "149")),
        plain(with("cpu", "1")),
        plain(with("cpu", "0.01")),
        plain(with("ram", "0.1")),
        plain(with("ram", "1999.9")),
        plain(with("ram", "7")),
        plain(with("standing", "0")),
        plain(with("standing", "0.9999")),
        (table.to_vec(), Vec::new()),
        (table.to_vec(), vec![0]),
        (table.to_vec(), (0..=255).collect()),
        (table.to_vec(), frame(2, 1, &frame(8, 9, b""))),
        (table.to_vec(), vec![0xff; 200]),
    ];
    let rotated = (1..table.len()).map(|by| [&table[by..], &table[..by]].concat());
    forms.extend(rotated.map(plain));
    forms
}

/// One of them with its stream, its id and the bytes of its frame, come to the machine now; ids also in upper case, streams also with
/// gaps and up to the last.
type Request = (u32, String, Vec<u8>);

fn requested(forms: &[Form], at: usize, number: usize) -> Request {
    let (fields, body) = &forms[at];
    let stream = if at + 1 == forms.len() { u32::MAX } else { (at * at + 1) as u32 };
    let txn = format!("9b1f03aa5c{number:06x}");
    let txn = if at.is_multiple_of(2) { txn } else { txn.to_uppercase() };
    let door = unix_ms().to_string();
    let mut fields = fields.clone();
    fields.insert(at % fields.len(), ("door", &door));
    fields.insert((at * 5) % fields.len(), ("txn", &txn));
    let bytes = request(stream, &fields, body);
    (stream, txn.clone(), bytes)
}

fn takes_all_forms() -> (Place, Kernel) {
    up(|all| {
        all["settings"]["specifics"]["cores"] = json!(64);
        all["settings"]["specifics"]["memory_kb"] = json!(4e6);
        for row in [0, 1] {
            all["settings"]["categories"][row]["aim_ns"] = json!(20_000_000_000u64);
            all["settings"]["categories"][row]["deadline_ns"] = json!(20_000_000_000u64);
        }
    })
}

/// Runs what is asked for, each once, its class and body unchanged; the form's number comes with each.
fn runs(kernel: &mut Kernel, forms: &[Form], wanted: &[(usize, Request)]) {
    let mut left: Vec<&(usize, Request)> = wanted.iter().collect();
    while !left.is_empty() {
        let (msg, call, body) = kernel.hear().expect("a command");
        let found = left.iter().position(|one| one.1 .1 == call);
        let (at, _) = left.remove(found.unwrap_or_else(|| panic!("{msg} {call}")));
        let operation = forms[*at].0.iter().find(|field| field.0 == "verb").map(|field| field.1);
        let heard = (&msg[..], Some(&kernel.service[..]), &body);
        assert_eq!(heard, ("SCHED", operation, &forms[*at].1), "form {at}");
        kernel.tell("REAP", &call, "OK", call.as_bytes());
    }
}

/// Bytes of a frame that are written one by one on a connection; the rest of it in one piece before and behind them.
const PART: usize = 60;

/// Writes each part of each form byte by byte, each on a connection of its own: no byte is written before the one ahead of it was
/// read. `None` where the machine was too busy to do that in the time that half a message may stand; nothing was a request then.
fn byte_by_byte(place: &Place, forms: &[Form], round: usize) -> Option<Vec<(Router, usize, Request)>> {
    let mut all: Vec<(Router, usize, Request, usize)> = Vec::new();
    for at in 0..forms.len() {
        for from in (0..requested(forms, at, 0).2.len()).step_by(PART) {
            let one = requested(forms, at, round * 1000 + all.len());
            all.push((Router::connect(place.server), at, one, from));
        }
    }
    // A check that was answered: from here on only half a message counts.
    for (router, ..) in &mut all {
        router.0.send(frame(16, 1, &[0]));
        assert_eq!(router.frame().kind, 32);
    }
    let mut behind = Router::connect(place.server);
    let began = Instant::now();
    // All but the last byte, which makes it a request.
    let part =
        |bytes: &[u8], from: usize, many: usize| bytes[from..(from + many).min(bytes.len() - 1)].to_vec();
    all.iter_mut().for_each(|(router, _, one, from)| router.0.send(part(&one.2, 0, *from)));
    for step in 0..=PART {
        // What came ahead of a check on another connection is read ahead of it: ready sockets are served in their order.
        behind.0.send(frame(16, step as u32 + 1, &[0]));
        assert_eq!(behind.frame().kind, 32);
        if began.elapsed() > Duration::from_millis(1300) {
            return None;
        }
        if step < PART {
            let next = |(router, _, one, from): &mut (Router, usize, Request, usize)| {
                let end = one.2.len() - 1;
                router.0.send(&one.2[(*from + step).min(end)..(*from + step + 1).min(end)]);
            };
            all.iter_mut().for_each(next);
        }
    }
    let finish = |(mut router, at, one, from): (Router, usize, Request, usize)| {
        router.0.send(&one.2[(from + PART).min(one.2.len() - 1)..]);
        (router, at, one)
    };
    Some(all.into_iter().map(finish).collect())
}

#[test]
fn every_form_of_a_request_is_read_one_byte_at_a_time() {
    let (place, mut kernel) = takes_all_forms();
    let forms = forms();
    let all = (0..10).find_map(|round| byte_by_byte(&place, &forms, round)).expect("a moment's rest");
    let (mut routers, wanted): (Vec<_>, Vec<_>) =
        all.into_iter().map(|(router, at, one)| (router, (at, one))).unzip();
    runs(&mut kernel, &forms, &wanted);
    for (router, (at, (stream, txn, _))) in routers.iter_mut().zip(wanted) {
        assert_eq!(router.answer(), (stream, "succeeded", txn.into_bytes()), "form {at}");
    }
}

#[test]
fn every_form_of_a_request_is_read_in_one_piece_with_the_next() {
    let (place, mut kernel) = takes_all_forms();
    let mut forms = forms();
    forms.insert(3, (forms[0].0.clone(), vec![7; 2048]));
    forms.insert(6, (forms[2].0.clone(), (0..2048).map(|at| at as u8).collect()));
    let all: Vec<(usize, Request)> = (0..forms.len()).map(|at| (at, requested(&forms, at, at))).collect();
    assert!(all.len() <= 32, "as many as may be open on one connection");
    let mut router = Router::connect(place.server);
    stop(&place);
    router.0.send(all.iter().flat_map(|one| one.1 .2.clone()).collect::<Vec<u8>>());
    place.signal("CONT");
    runs(&mut kernel, &forms, &all);
    let mut answers: Vec<_> = all.iter().map(|_| router.answer()).collect();
    answers.sort();
    let wanted = all.into_iter().map(|(_, (stream, txn, _))| (stream, "succeeded", txn.into_bytes()));
    assert_eq!(answers, wanted.collect::<Vec<_>>());
}

// ---- clients that write slowly ----

/// One byte a second, for longer than the request has: told and closed long before, whatever it goes on to write. What is open on
/// its connection is answered all the same.
#[test]
fn one_byte_a_second_is_bounded() {
    let (place, mut kernel) = up(|all| {
        all["settings"]["categories"][0]["aim_ns"] = json!(20_000_000_000u64);
        all["settings"]["categories"][0]["deadline_ns"] = json!(20_000_000_000u64);
    });
    let mut slow = Router::connect(place.server);
    slow.0.send(asks(1, ONE, "report", None));
    kernel.expect("SCHED", ONE);
    let whole = asks(2, TWO, "lookup", None);
    let began = Instant::now();
    let deadline = Duration::from_secs(3); // of its class
    let mut told = None;
    for byte in whole.chunks(1) {
        slow.0.try_send(byte);
        // The gauges are told meanwhile.
        assert!(kernel.hear_within(Duration::from_secs(1)).is_none(), "nothing is run of a part");
        if slow.0.waiting(Duration::from_millis(1)) {
            told = Some((slow.answer(), began.elapsed()));
            break;
        }
        assert!(began.elapsed() < deadline + Duration::from_secs(3), "it is never told");
    }
    let (answer, after) = told.expect("an end");
    assert_eq!(answer, (0, "errored", Vec::new()), "on no stream: it was no request");
    assert!(after < deadline + Duration::from_secs(1), "{after:?}");
    kernel.tell("REAP", ONE, "OK", b"result");
    assert_eq!(slow.answer(), (1, "succeeded", b"result".to_vec()));
    assert!(slow.0.ended());
}

/// All places are taken by clients that write slowly. One that asks gets in while they write: one of them gives way, not all.
#[test]
fn slow_writers_hold_no_place_that_others_need() {
    let (place, mut kernel) = up(|all| all["limits"]["sockets"] = json!(53)); // fifteen places
    let whole = asks(1, TWO, "lookup", None);
    let mut slow: Vec<Router> = (0..15).map(|_| Router::connect(place.server)).collect();
    for router in &mut slow {
        router.0.send(&whole[..20]);
    }
    kernel.hear_within(Duration::from_millis(500)); // no longer just come
    slow.iter_mut().for_each(|router| router.0.send(&whole[20..21]));
    let mut good = Router::connect(place.server);
    good.0.send(asks(1, ONE, "lookup", None));
    let heard = kernel.hear_within(Duration::from_secs(4));
    assert_eq!(heard.map(|heard| heard.1).as_deref(), Some(ONE));
    kernel.tell("REAP", ONE, "OK", b"result");
    assert_eq!(good.answer(), (1, "succeeded", b"result".to_vec()));
    let gone =
        slow.iter_mut().filter_map(|one| one.0.waiting(Duration::from_millis(1)).then_some(())).count();
    assert!((1..=3).contains(&gone), "{gone} of 15 have gone");
}

/// On the smallest memory slow writers have all buffers that may be read into. One that asks is read all the same, long before they
/// are bounded by their own silence, and what waited unread meanwhile did not fall silent.
#[test]
fn slow_writers_hold_no_buffer_that_others_need() {
    let (place, mut kernel) = up(|all| all["limits"]["memory_mb"] = json!(8)); // 224 buffers to be read into
    let whole = asks(1, TWO, "lookup", None);
    stop(&place);
    let mut slow: Vec<TcpStream> = Vec::new();
    for _ in 0..300 {
        let mut one = TcpStream::connect(place.server).expect("a connection");
        one.write_all(&whole[..20]).expect("to write");
        slow.push(one);
    }
    let mut good = Router::connect(place.server); // behind all of them in the line
    good.0.send(asks(1, ONE, "lookup", None));
    place.signal("CONT");
    assert_eq!(kernel.hear_within(Duration::from_secs(4)).map(|heard| heard.1).as_deref(), Some(ONE));
    kernel.tell("REAP", ONE, "OK", b"result");
    assert_eq!(good.answer(), (1, "succeeded", b"result".to_vec()));
    let told = |one: &&TcpStream| one.set_nonblocking(true).is_ok() && one.peek(&mut [0]).is_ok();
    let closed = slow.iter().filter(told).count();
    assert!((1..200).contains(&closed), "{closed} of 300 had to go for one");
}

/// Half a message, then a pause of the machine that is longer than half a message may stand, in which its rest comes.
#[test]
fn the_rest_that_came_in_a_pause_counts() {
    let (place, mut kernel) = up(|all| {
        all["settings"]["categories"][1]["aim_ns"] = json!(20_000_000_000u64);
        all["settings"]["categories"][1]["deadline_ns"] = json!(20_000_000_000u64);
    });
    let whole = asks(1, ONE, "lookup", None);
    let mut half = Router::connect(place.server);
    half.0.send(&whole[..20]);
    let port = half.0.address().port();
    waits_until("the half to be read", Duration::from_secs(1), || unread(place.server).contains(&(port, 0)));
    stop(&place);
    half.0.send(&whole[20..]);
    thread::sleep(Duration::from_millis(2500));
    place.signal("CONT");
    let heard = kernel.hear_within(Duration::from_secs(4));
    assert_eq!(heard.map(|heard| heard.1).as_deref(), Some(ONE));
    kernel.tell("REAP", ONE, "OK", b"result");
    assert_eq!(half.answer(), (1, "succeeded", b"result".to_vec()));
}
