//! The rig itself: what it says it does to links and processes is what happens.

use cypresscleat_fault_injection::{Disk, Net, Order, Process, Script};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};

fn socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.set_read_timeout(Some(Duration::from_millis(300))).expect("a time-out");
    socket
}

/// Sends so many datagrams through and says which arrive.
fn through(seed: u64, change: impl Fn(&Net)) -> Vec<u8> {
    let (net, there, here) = (Net::new(seed), socket(), socket());
    change(&net);
    let to = net.datagrams("a", "b", there.local_addr().expect("an address"));
    (0..100u8).for_each(|number| drop(here.send_to(&[number], to)));
    let (mut got, mut bytes) = (Vec::new(), [0; 8]);
    while let Ok((1, _)) = there.recv_from(&mut bytes) {
        got.push(bytes[0]);
    }
    got
}

#[test]
fn datagrams_are_lost_and_doubled_by_the_seed() {
    let lossy = |net: &Net| net.set("a", "b", |link| (link.lost, link.doubled) = (0.3, 0.2));
    let sorted = |mut all: Vec<u8>| {
        all.sort_unstable();
        all
    };
    let one = sorted(through(5, lossy));
    assert_eq!(one, sorted(through(5, lossy)), "of one seed the same");
    assert_ne!(one, sorted(through(6, lossy)));
    let different = one.iter().collect::<std::collections::BTreeSet<_>>().len();
    assert!((50..90).contains(&different) && one.len() > different, "{different} of {}", one.len());
    assert_eq!(through(5, |net| net.cut(&[vec!["a".into()], vec!["b".into()]])), Vec::<u8>::new());
    assert_eq!(through(5, |_| {}).len(), 100);
}

#[test]
fn a_cut_holds_a_stream_back_and_a_delay_delays_it() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let net = Net::new(1);
    let to = net.streams("a", "b", listener.local_addr().expect("an address"));
    let mut near = TcpStream::connect(to).expect("a connection");
    let (mut far, _) = listener.accept().expect("a connection");
    far.set_read_timeout(Some(Duration::from_millis(200))).expect("a time-out");
    let mut bytes = [0; 3];
    net.set("a", "b", |link| link.cut = true);
    near.write_all(b"one").expect("to write");
    assert!(far.read(&mut bytes).is_err(), "held back");
    net.heal();
    far.read_exact(&mut bytes).expect("it comes");
    net.set("a", "b", |link| link.delay = Duration::from_millis(100));
    let began = Instant::now();
    near.write_all(b"two").expect("to write");
    far.read_exact(&mut bytes).expect("it comes");
    assert!(began.elapsed() >= Duration::from_millis(100));
}

#[test]
fn a_process_is_stopped_woken_killed_and_given_its_older_disk() {
    let folder = std::env::temp_dir().join(format!("cypresscleat-faults-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("count");
    let script = format!("while :; do echo x >> {}; echo tick >&2; sleep 0.02; done", file.display());
    let mut process = Process::new("p", Path::new("/bin/sh"), &["-c", &script]).disk(&folder);
    let size = || std::fs::metadata(&file).map_or(0, |data| data.len());
    process.start();
    assert!(process.logged("tick", 3, Duration::from_secs(5)).is_some());
    process.keep();
    let kept = size();
    assert!(process.logged("tick", process.log().len() + 5, Duration::from_secs(5)).is_some());
    process.stop();
    std::thread::sleep(Duration::from_millis(60));
    let stopped = size();
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(size(), stopped, "it stands still");
    process.wake();
    assert!(process.logged("tick", process.log().len() + 2, Duration::from_secs(5)).is_some());
    assert!(size() > stopped);
    process.kill();
    assert!(!process.runs());
    let before = size();
    process.start_with(Disk::Older);
    assert!(size() < before && size() >= kept.min(2));
    process.start_with(Disk::Empty);
    assert!(!process.runs() || size() <= 4);
    process.kill();
    let _ = std::fs::remove_dir_all(&folder);
    let _ = std::fs::remove_dir_all(folder.with_extension("kept"));
}

#[test]
fn a_script_says_what_when_and_names_the_line_that_is_wrong() {
    let mut script =
        Script::parse("at 2s cut a b | c # a side of two\n\nat 500ms stop n1\nat 3s start k older\n")
            .expect("good");
    let sides = vec![vec!["a".to_string(), "b".into()], vec!["c".into()]];
    assert_eq!(script.due(Duration::from_secs(1)), [Order::Stop("n1".into())]);
    assert_eq!(script.due(Duration::from_secs(2)), [Order::Cut(sides)]);
    assert_eq!(script.due(Duration::from_secs(9)), [Order::Start("k".into(), Disk::Older)]);
    for (text, what) in [
        ("at 1s stop", "line 1: a name is missing"),
        ("\nat 1s cut a b", "line 2: two sides"),
        ("at 1s lose a b 1.5", "a part from 0 to 1"),
        ("at 1s start a new", "a disk is"),
        ("stop a", "a line begins with"),
        ("at soon stop a", "a time is missing"),
        ("at 1s fly a", "no such order"),
    ] {
        let wrong = Script::parse(text).expect_err(text);
        assert!(wrong.contains(what), "{wrong}");
    }
}

#[test]
fn a_port_is_given_once_and_nobody_who_asks_for_any_port_gets_it() {
    let ports: Vec<u16> = (0..250).map(|_| cypresscleat_fault_injection::free_port().port()).collect();
    let mut sorted = ports.clone();
    sorted.sort_unstable();
    sorted.dedup();
    assert_eq!(sorted.len(), ports.len());
    let any = || UdpSocket::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address").port();
    let drawn: Vec<u16> = (0..2000).map(|_| any()).collect();
    assert!(drawn.iter().all(|port| !ports.contains(port)), "a port that is kept for somebody was drawn");
    // Another process finds the block taken.
    let first = sorted[0] - sorted[0] % 100;
    assert!(TcpListener::bind(("127.0.0.1", first)).is_err());
}
