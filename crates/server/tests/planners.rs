//! A scripted planner that fails at each step of the exchange or sends invalid messages to a real forwarder with real workers. In every
//! case each client gets its response in time, and no request runs twice.

use cypresscleat_demo::tier::{ran_twice, send_steadily, TwoLevels};
use cypresscleat_demo::TIMEOUT;
use cypresscleat_forwarding::grants::GRANT_DURATION;
use cypresscleat_forwarding::messages::{self, Decoded, Envelope, Grant, Message};
use cypresscleat_forwarding::{node_id, NodeId};
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");

/// Upper bound of the time in which a forwarder finds its workers again: the interval of the health checks and one check, each 0.5 s,
/// four times over for a busy machine.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(4);

/// The datagrams that the planner sends in response to its `count`-th report.
type Script = fn(
    count: u32,
    report_number: u32,
    encode_grants: &dyn Fn(u64, u64, u32, Vec<Grant>) -> Vec<u8>,
) -> Vec<Vec<u8>>;

fn grants() -> Vec<Grant> {
    ["w0", "w1"].map(|name| Grant { worker: node_id(name), slots: 4 }).to_vec()
}

fn encode_grants(epoch: u64, number: u64, report_number: u32, grants: Vec<Grant>) -> Vec<u8> {
    let message = Message::Grants { epoch, number, report: report_number, duration: GRANT_DURATION, grants };
    let mut bytes = Vec::new();
    messages::encode(
        &mut bytes,
        &Envelope { from: node_id("p0"), incarnation: 1, updates: Vec::new(), message },
    );
    bytes
}

/// Runs the script until `is_over` is set; returns the number of reports received.
fn start_planner(socket: UdpSocket, script: Script, is_over: Arc<AtomicBool>) -> thread::JoinHandle<u32> {
    socket.set_read_timeout(Some(Duration::from_millis(20))).expect("a timeout");
    thread::spawn(move || {
        let (mut bytes, mut count) = (vec![0; 70_000], 0);
        while !is_over.load(Ordering::Relaxed) {
            let Ok((size, from)) = socket.recv_from(&mut bytes) else { continue };
            let Decoded::Message(Envelope { message, .. }, _) = messages::decode(&bytes[..size]) else {
                continue;
            };
            match message {
                Message::Report(report) => {
                    count += 1;
                    for datagram in script(count, report.number, &encode_grants) {
                        let _ = socket.send_to(&datagram, from);
                    }
                }
                Message::Ping { number } => {
                    let mut ack = Vec::new();
                    let message = Message::Ack { number };
                    let envelope =
                        Envelope { from: node_id("p0"), incarnation: 1, updates: Vec::new(), message };
                    messages::encode(&mut ack, &envelope);
                    let _ = socket.send_to(&ack, from);
                }
                _ => {}
            }
        }
        count
    })
}

/// Two workers, a forwarder and the scripted planner serve 90 requests over about three seconds; all must succeed.
fn run_script(name: &str, script: Script) -> TwoLevels {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let address: SocketAddr = socket.local_addr().expect("an address");
    let is_over = Arc::new(AtomicBool::new(false));
    let planner = start_planner(socket, script, is_over.clone());
    let mut levels = TwoLevels::workers(Path::new(PROGRAM), CONFIG, vec![address], 2);
    levels.forward(1);
    for _ in 0..2 {
        levels.forwarders[0].as_ref().expect("the forwarder is running").logged("takes work");
    }
    let all = send_steadily(&levels.addresses(), name, 90, Duration::from_millis(35));
    is_over.store(true, Ordering::Relaxed);
    let reports = planner.join().expect("the planner thread panicked");
    assert!(reports >= 3, "{name}: {reports} reports");
    let failed: Vec<_> = all.iter().filter(|got| got.how != "succeeded").collect();
    assert!(failed.is_empty(), "{name}: {failed:?}");
    assert_eq!(ran_twice(&levels.ran()), 0, "{name}");
    levels
}

fn forwarder_logged(levels: &TwoLevels, words: &str) -> String {
    levels.forwarders[0].as_ref().expect("the forwarder is running").logged(words)
}

/// Waits for a line that may stand in the log already.
fn wait_until_logged(levels: &TwoLevels, words: &str) {
    let forwarder = levels.forwarders[0].as_ref().expect("the forwarder is running");
    let until = Instant::now() + TIMEOUT;
    while !forwarder.has_logged(words) {
        assert!(Instant::now() < until, "no log line contains {words:?}");
        thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn a_planner_that_fails_before_it_decides() {
    run_script("silent", |_, _, _| vec![]);
}

#[test]
fn a_planner_that_fails_after_a_decision_and_before_it_sends_grants() {
    // The first grants are sent; the next are decided and never sent.
    let levels = run_script("untold", |count, report_number, encode_grants| match count {
        1 => vec![encode_grants(1 << 16, 1, report_number, grants())],
        _ => vec![],
    });
    forwarder_logged(&levels, "by itself: grants of epoch 65536 ended");
}

#[test]
fn a_planner_that_fails_after_it_sent_some_grants() {
    let levels = run_script("some", |count, report_number, encode_grants| match count {
        1..=3 => vec![encode_grants(1 << 16, u64::from(count), report_number, grants())],
        _ => vec![],
    });
    forwarder_logged(&levels, "by itself: grants of epoch 65536 ended");
}

#[test]
fn a_planner_that_fails_while_the_forwarder_adopts_its_grants() {
    let levels = run_script("steps", |count, report_number, encode_grants| match count {
        1 | 2 => vec![encode_grants(1 << 16, u64::from(count), report_number, grants())],
        _ => vec![],
    });
    forwarder_logged(&levels, "planners are back");
    forwarder_logged(&levels, "by itself");
}

#[test]
fn a_planner_that_stalls_and_then_sends_an_old_epoch() {
    run_script("old", |count, report_number, encode_grants| match count {
        1 | 2 => vec![encode_grants(2 << 16, u64::from(count), report_number, grants())],
        3 | 4 => vec![],
        _ => vec![encode_grants(1 << 16, u64::from(count) + 90, report_number, vec![])],
    });
}

#[test]
fn two_planners_that_both_act_as_leader() {
    run_script("two", |count, report_number, encode_grants| {
        let own = |lead: u64| encode_grants((3 << 16) + lead, u64::from(count), report_number, grants());
        vec![own(u64::from(count % 2)), own(1 - u64::from(count % 2))]
    });
}

#[test]
fn duplicated_garbled_truncated_oversized_and_unknown_version_messages() {
    run_script("garbled", |count, report_number, encode_grants| {
        let valid = encode_grants(1 << 16, u64::from(count), report_number, grants());
        let (mut version, mut garbled) = (valid.clone(), valid.clone());
        version[4] = 9;
        let at = 5 + count as usize % (garbled.len() - 5);
        garbled[at] ^= 0xff;
        let oversized = vec![0xff; 60_000];
        vec![version, garbled, valid[..valid.len() / 2].to_vec(), oversized, valid.clone(), valid]
    });
}

#[test]
fn figures_out_of_all_proportion() {
    run_script("figures", |count, report_number, encode_grants| {
        let invalid_grants = vec![
            Grant { worker: node_id("w0"), slots: u32::MAX },
            Grant { worker: 12345 as NodeId, slots: 7 },
            Grant { worker: node_id("w0"), slots: 0 },
            Grant { worker: node_id("w1"), slots: u32::MAX },
        ];
        vec![encode_grants(1 << 16, u64::from(count), report_number, invalid_grants)]
    });
}

/// Grants without slots are valid: the forwarder rejects requests at once, and serves again when the planner is gone.
#[test]
fn empty_grants_are_followed_until_they_expire() {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let address = socket.local_addr().expect("an address");
    let is_over = Arc::new(AtomicBool::new(false));
    let script: Script = |count, report_number, encode_grants| {
        vec![encode_grants(1 << 16, u64::from(count), report_number, vec![])]
    };
    let planner = start_planner(socket, script, is_over.clone());
    let mut levels = TwoLevels::workers(Path::new(PROGRAM), CONFIG, vec![address], 1);
    levels.forward(1);
    forwarder_logged(&levels, "by its grants: epoch 65536, 0 places");
    let all = send_steadily(&levels.addresses(), "none", 5, Duration::from_millis(10));
    assert!(all.iter().all(|got| got.how == "throttled" || got.how == "errored"), "{all:?}");
    is_over.store(true, Ordering::Relaxed);
    planner.join().expect("the planner thread panicked");
    forwarder_logged(&levels, "by itself");
    let all = send_steadily(&levels.addresses(), "again", 5, Duration::from_millis(10));
    assert!(all.iter().all(|got| got.how == "succeeded"), "{all:?}");
}

/// Guards against grants from any sender that reaches the forwarder's port: empty grants of an unknown sender had all requests rejected.
#[test]
fn grants_from_an_unknown_sender_are_ignored() {
    let silent_planner = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let planner_at = silent_planner.local_addr().expect("an address");
    let mut levels = TwoLevels::workers(Path::new(PROGRAM), CONFIG, vec![planner_at], 1);
    levels.forward(1);
    let line = forwarder_logged(&levels, "hears members at ");
    let address: SocketAddr = line.rsplit(' ').next().and_then(|word| word.parse().ok()).expect("an address");
    forwarder_logged(&levels, "takes work");
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").expect("a port");
    // Report numbers can be guessed: they start at 1.
    for number in 1..=40u64 {
        for report in 1..=60 {
            let _ = unknown_sender.send_to(&encode_grants(1 << 16, number, report, vec![]), address);
        }
        thread::sleep(Duration::from_millis(25));
    }
    let all = send_steadily(&levels.addresses(), "stranger", 20, Duration::from_millis(10));
    assert!(all.iter().all(|got| got.how == "succeeded"), "{all:?}");
    let forwarder = levels.forwarders[0].as_ref().expect("the forwarder is running");
    assert!(!forwarder.has_logged("by its grants"), "the forwarder follows forged grants");
}

/// Guards against a forwarder that starts nothing after a partition: it had more slots at a worker when the worker was lost than when
/// the worker was found, and took more from its sum of slots than it had added.
#[test]
fn a_forwarder_serves_again_after_any_partition() {
    let script: Script = |count, report_number, encode_grants| {
        let doubled = grants().into_iter().map(|grant| Grant { slots: 2 * grant.slots, ..grant }).collect();
        vec![encode_grants(1 << 16, u64::from(count), report_number, doubled)]
    };
    for (name, loses_planner, loses_workers) in
        [("planner", true, false), ("workers", false, true), ("planner and workers", true, true)]
    {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let planner_at = socket.local_addr().expect("an address");
        let is_cut = Arc::new(AtomicBool::new(false));
        let planner = start_planner(socket, script, is_cut.clone());
        let mut levels = TwoLevels::workers(Path::new(PROGRAM), CONFIG, vec![planner_at], 2);
        levels.forward(1);
        forwarder_logged(&levels, "takes work");
        forwarder_logged(&levels, "takes work");
        wait_until_logged(&levels, "by its grants: epoch 65536, 16 places");
        let before =
            send_steadily(&levels.addresses(), &format!("{name} before"), 10, Duration::from_millis(10));
        assert!(before.iter().all(|got| got.how == "succeeded"), "{name}: {before:?}");
        is_cut.store(loses_planner, Ordering::Relaxed);
        let signal_workers = |signal: &str| {
            let workers = levels.workers.iter().flatten().filter(|_| loses_workers);
            workers.for_each(|worker| worker.place.signal(signal));
        };
        signal_workers("STOP");
        if loses_workers {
            forwarder_logged(&levels, "takes none");
            forwarder_logged(&levels, "takes none");
        }
        if loses_planner {
            forwarder_logged(&levels, "by itself: grants of epoch 65536 ended");
        }
        let healed_at = Instant::now();
        signal_workers("CONT");
        if loses_workers {
            forwarder_logged(&levels, "takes work");
            forwarder_logged(&levels, "takes work");
        }
        let recovery_time = healed_at.elapsed();
        println!("{name}: workers found after {recovery_time:?}");
        assert!(recovery_time < MAX_RECOVERY_TIME, "{name}: {recovery_time:?}");
        let after =
            send_steadily(&levels.addresses(), &format!("{name} after"), 40, Duration::from_millis(10));
        let failed: Vec<_> = after.iter().filter(|got| got.how != "succeeded").collect();
        assert!(failed.is_empty(), "{name}: {failed:?}");
        is_cut.store(true, Ordering::Relaxed);
        planner.join().expect("the planner thread panicked");
        assert_eq!(ran_twice(&levels.ran()), 0, "{name}");
    }
}
