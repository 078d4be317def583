//! A planner that dies at each step of the exchange, or speaks nonsense: a scripted one in front of a real forwarder and real
//! workers. In every case each caller has its answer, in time, and nothing runs twice.

use cypresscleat_demo::tier::{ran_twice, trickle, Levels};
use cypresscleat_forwarding::grants::GRANT_DURATION;
use cypresscleat_forwarding::messages::{self, Decoded, Envelope, Grant, Message};
use cypresscleat_forwarding::{node_id, NodeId};
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");

/// What the planner does with its `count`-th report: the datagrams that go back.
type Script =
    fn(count: u32, answers: u32, say: &dyn Fn(u64, u64, u32, Vec<Grant>) -> Vec<u8>) -> Vec<Vec<u8>>;

fn grants() -> Vec<Grant> {
    ["w0", "w1"].map(|name| Grant { worker: node_id(name), slots: 4 }).to_vec()
}

fn say(epoch: u64, number: u64, answers: u32, grants: Vec<Grant>) -> Vec<u8> {
    let message = Message::Grants { epoch, number, report: answers, duration: GRANT_DURATION, grants };
    let mut bytes = Vec::new();
    messages::encode(
        &mut bytes,
        &Envelope { from: node_id("p0"), incarnation: 1, updates: Vec::new(), message },
    );
    bytes
}

/// Plays the script until told to stop.
fn planner(socket: UdpSocket, script: Script, over: Arc<AtomicBool>) -> thread::JoinHandle<u32> {
    socket.set_read_timeout(Some(Duration::from_millis(20))).expect("a time-out");
    thread::spawn(move || {
        let (mut bytes, mut count) = (vec![0; 70_000], 0);
        while !over.load(Ordering::Relaxed) {
            let Ok((size, from)) = socket.recv_from(&mut bytes) else { continue };
            let Decoded::Message(Envelope { message, .. }, _) = messages::decode(&bytes[..size]) else {
                continue;
            };
            match message {
                Message::Report(report) => {
                    count += 1;
                    for datagram in script(count, report.number, &say) {
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

/// Two workers, a forwarder, the scripted planner, 90 invocations over some three seconds.
fn survives(name: &str, script: Script) -> Levels {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let address: SocketAddr = socket.local_addr().expect("an address");
    let over = Arc::new(AtomicBool::new(false));
    let planner = planner(socket, script, over.clone());
    let mut levels = Levels::workers(Path::new(PROGRAM), CONFIG, vec![address], 2);
    levels.forward(1);
    for _ in 0..2 {
        levels.forwarders[0].as_ref().expect("it is here").logged("takes work");
    }
    let all = trickle(&levels.addresses(), name, 90, Duration::from_millis(35));
    over.store(true, Ordering::Relaxed);
    let reports = planner.join().expect("its end");
    assert!(reports >= 3, "{name}: {reports} reports");
    let bad: Vec<_> = all.iter().filter(|got| got.how != "succeeded").collect();
    assert!(bad.is_empty(), "{name}: {bad:?}");
    assert_eq!(ran_twice(&levels.ran()), 0, "{name}");
    levels
}

fn logged(levels: &Levels, words: &str) -> String {
    levels.forwarders[0].as_ref().expect("it is here").logged(words)
}

#[test]
fn it_dies_before_it_decides() {
    survives("silent", |_, _, _| vec![]);
}

#[test]
fn it_dies_after_it_decided_and_before_it_told() {
    // The first was told, the next decided and never told.
    let levels = survives("untold", |count, answers, say| match count {
        1 => vec![say(1 << 16, 1, answers, grants())],
        _ => vec![],
    });
    logged(&levels, "by itself: grants of epoch 65536 ended");
}

#[test]
fn it_dies_after_it_told_some() {
    let levels = survives("some", |count, answers, say| match count {
        1..=3 => vec![say(1 << 16, u64::from(count), answers, grants())],
        _ => vec![],
    });
    logged(&levels, "by itself: grants of epoch 65536 ended");
}

#[test]
fn it_dies_while_the_forwarder_goes_over_to_its_grants() {
    let levels = survives("steps", |count, answers, say| match count {
        1 | 2 => vec![say(1 << 16, u64::from(count), answers, grants())],
        _ => vec![],
    });
    logged(&levels, "planners are back");
    logged(&levels, "by itself");
}

#[test]
fn it_stalls_and_then_speaks_with_an_old_epoch() {
    survives("old", |count, answers, say| match count {
        1 | 2 => vec![say(2 << 16, u64::from(count), answers, grants())],
        3 | 4 => vec![],
        _ => vec![say(1 << 16, u64::from(count) + 90, answers, vec![])],
    });
}

#[test]
fn two_that_both_think_they_lead() {
    survives("two", |count, answers, say| {
        let own = |lead: u64| say((3 << 16) + lead, u64::from(count), answers, grants());
        vec![own(u64::from(count % 2)), own(1 - u64::from(count % 2))]
    });
}

#[test]
fn messages_doubled_garbled_cut_too_long_and_of_another_version() {
    survives("garbled", |count, answers, say| {
        let good = say(1 << 16, u64::from(count), answers, grants());
        let (mut version, mut garbled) = (good.clone(), good.clone());
        version[4] = 9;
        let at = 5 + count as usize % (garbled.len() - 5);
        garbled[at] ^= 0xff;
        let long = vec![0xff; 60_000];
        vec![version, garbled, good[..good.len() / 2].to_vec(), long, good.clone(), good]
    });
}

#[test]
fn figures_out_of_all_proportion() {
    survives("figures", |count, answers, say| {
        let mad = vec![
            Grant { worker: node_id("w0"), slots: u32::MAX },
            Grant { worker: 12345 as NodeId, slots: 7 },
            Grant { worker: node_id("w0"), slots: 0 },
            Grant { worker: node_id("w1"), slots: u32::MAX },
        ];
        vec![say(1 << 16, u64::from(count), answers, mad)]
    });
}

/// Grants of nothing are a planner's word: what comes is turned away at once, and served again without it.
#[test]
fn grants_of_nothing_are_heeded_and_end() {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let address = socket.local_addr().expect("an address");
    let over = Arc::new(AtomicBool::new(false));
    let script: Script = |count, answers, say| vec![say(1 << 16, u64::from(count), answers, vec![])];
    let planner = planner(socket, script, over.clone());
    let mut levels = Levels::workers(Path::new(PROGRAM), CONFIG, vec![address], 1);
    levels.forward(1);
    logged(&levels, "by its grants: epoch 65536, 0 places");
    let all = trickle(&levels.addresses(), "none", 5, Duration::from_millis(10));
    assert!(all.iter().all(|got| got.how == "throttled" || got.how == "errored"), "{all:?}");
    over.store(true, Ordering::Relaxed);
    planner.join().expect("its end");
    logged(&levels, "by itself");
    let all = trickle(&levels.addresses(), "again", 5, Duration::from_millis(10));
    assert!(all.iter().all(|got| got.how == "succeeded"), "{all:?}");
}

/// Guards against grants from whoever reaches the forwarder's port: a stranger's empty ones had all requests rejected.
#[test]
fn grants_from_a_stranger_are_not_followed() {
    let nobody = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let planner_at = nobody.local_addr().expect("an address");
    let mut levels = Levels::workers(Path::new(PROGRAM), CONFIG, vec![planner_at], 1);
    levels.forward(1);
    let line = logged(&levels, "hears members at ");
    let address: SocketAddr = line.rsplit(' ').next().and_then(|word| word.parse().ok()).expect("an address");
    logged(&levels, "takes work");
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a port");
    // The report that they answer can be guessed: reports are numbered from 1 on.
    for number in 1..=40u64 {
        for report in 1..=60 {
            let _ = stranger.send_to(&say(1 << 16, number, report, vec![]), address);
        }
        thread::sleep(Duration::from_millis(25));
    }
    let all = trickle(&levels.addresses(), "stranger", 20, Duration::from_millis(10));
    assert!(all.iter().all(|got| got.how == "succeeded"), "{all:?}");
    let forwarder = levels.forwarders[0].as_ref().expect("it is here");
    assert!(!forwarder.has_logged("by its grants"), "it follows them");
}
