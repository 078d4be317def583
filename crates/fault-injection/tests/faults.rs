//! Tests of the fault injection itself: faults on links and processes have the documented effect.

use cypresscleat_fault_injection::{Disk, Net, Order, Process, Script};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};

fn socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.set_read_timeout(Some(Duration::from_millis(300))).expect("to set a timeout");
    socket
}

/// Sends 100 datagrams through a link and returns the ones that arrive.
fn received_datagrams(seed: u64, change: impl Fn(&Net)) -> Vec<u8> {
    let (net, receiver, sender) = (Net::new(seed), socket(), socket());
    change(&net);
    let to = net.datagrams("a", "b", receiver.local_addr().expect("an address"));
    (0..100u8).for_each(|number| drop(sender.send_to(&[number], to)));
    let (mut received, mut bytes) = (Vec::new(), [0; 8]);
    while let Ok((1, _)) = receiver.recv_from(&mut bytes) {
        received.push(bytes[0]);
    }
    received
}

#[test]
fn datagrams_are_lost_and_doubled_by_the_seed() {
    let lossy = |net: &Net| net.set("a", "b", |link| (link.lost, link.doubled) = (0.3, 0.2));
    let sorted = |mut all: Vec<u8>| {
        all.sort_unstable();
        all
    };
    let first_run = sorted(received_datagrams(5, lossy));
    assert_eq!(
        first_run,
        sorted(received_datagrams(5, lossy)),
        "the same seed must lose and duplicate the same datagrams"
    );
    assert_ne!(first_run, sorted(received_datagrams(6, lossy)));
    let different = first_run.iter().collect::<std::collections::BTreeSet<_>>().len();
    assert!(
        (50..90).contains(&different) && first_run.len() > different,
        "{different} of {}",
        first_run.len()
    );
    assert_eq!(received_datagrams(5, |net| net.cut(&[vec!["a".into()], vec!["b".into()]])), Vec::<u8>::new());
    assert_eq!(received_datagrams(5, |_| {}).len(), 100);
}

#[test]
fn a_cut_holds_a_stream_back_and_a_delay_delays_it() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let net = Net::new(1);
    let to = net.streams("a", "b", listener.local_addr().expect("an address"));
    let mut near = TcpStream::connect(to).expect("a connection");
    let (mut far, _) = listener.accept().expect("a connection");
    far.set_read_timeout(Some(Duration::from_millis(200))).expect("to set a timeout");
    let mut bytes = [0; 3];
    net.set("a", "b", |link| link.cut = true);
    near.write_all(b"one").expect("to write");
    assert!(far.read(&mut bytes).is_err(), "a cut link must hold the bytes back");
    net.heal();
    far.read_exact(&mut bytes).expect("the bytes arrive");
    net.set("a", "b", |link| link.delay = Duration::from_millis(100));
    let began = Instant::now();
    near.write_all(b"two").expect("to write");
    far.read_exact(&mut bytes).expect("the bytes arrive");
    assert!(began.elapsed() >= Duration::from_millis(100));
}

#[test]
fn a_process_is_suspended_resumed_killed_and_restarted_with_a_stale_disk() {
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
    let copied = size();
    assert!(process.logged("tick", process.log().len() + 5, Duration::from_secs(5)).is_some());
    process.stop();
    std::thread::sleep(Duration::from_millis(60));
    let stopped = size();
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(size(), stopped, "a suspended process must not write");
    process.wake();
    assert!(process.logged("tick", process.log().len() + 2, Duration::from_secs(5)).is_some());
    assert!(size() > stopped);
    process.kill();
    assert!(!process.runs());
    let before = size();
    process.start_with(Disk::Older);
    assert!(size() < before && size() >= copied.min(2));
    process.start_with(Disk::Empty);
    assert!(!process.runs() || size() <= 4);
    process.kill();
    let _ = std::fs::remove_dir_all(&folder);
    let _ = std::fs::remove_dir_all(folder.with_extension("kept"));
}

#[test]
fn a_script_returns_due_orders_and_errors_name_the_line() {
    let mut script =
        Script::parse("at 2s cut a b | c # a side of two\n\nat 500ms stop n1\nat 3s start k older\n")
            .expect("a valid script");
    let sides = vec![vec!["a".to_string(), "b".into()], vec!["c".into()]];
    assert_eq!(script.due(Duration::from_secs(1)), [Order::Stop("n1".into())]);
    assert_eq!(script.due(Duration::from_secs(2)), [Order::Cut(sides)]);
    assert_eq!(script.due(Duration::from_secs(9)), [Order::Start("k".into(), Disk::Older)]);
    for (text, message) in [
        ("at 1s stop", "line 1: a name is missing"),
        ("\nat 1s cut a b", "line 2: two sides"),
        ("at 1s lose a b 1.5", "a probability from 0 to 1"),
        ("at 1s start a new", "the disk must be"),
        ("stop a", "a line must begin with"),
        ("at soon stop a", "a time is missing"),
        ("at 1s fly a", "unknown order"),
    ] {
        let error = Script::parse(text).expect_err(text);
        assert!(error.contains(message), "{error}");
    }
}

#[test]
fn a_free_port_is_returned_once_and_never_assigned_as_an_ephemeral_port() {
    let ports: Vec<u16> = (0..250).map(|_| cypresscleat_fault_injection::free_port().port()).collect();
    let mut sorted = ports.clone();
    sorted.sort_unstable();
    sorted.dedup();
    assert_eq!(sorted.len(), ports.len());
    let any = || UdpSocket::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address").port();
    let assigned: Vec<u16> = (0..2000).map(|_| any()).collect();
    assert!(
        assigned.iter().all(|port| !ports.contains(port)),
        "a reserved port was assigned as an ephemeral port"
    );
    // The first port of the block is bound, so no other process reserves the block.
    let first = sorted[0] - sorted[0] % 100;
    assert!(TcpListener::bind(("127.0.0.1", first)).is_err());
}
