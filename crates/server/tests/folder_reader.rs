//! The thread that reads folders beside the task that renews the leases.

use cypresscleat_server::leases::folder_reader::{folder_state, FolderReader};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Guards a lease against a disk that stands still: whoever asks for a read goes on, and a read that nobody wants any more is told so
/// and does not keep the next one waiting.
#[test]
fn a_read_that_takes_long_blocks_nobody_and_ends_when_it_is_dropped() {
    let reader = FolderReader::start().expect("a thread");
    let (begun, has_begun) = channel();
    let first = reader.read(move |cancelled| {
        begun.send(()).expect("the test");
        while !cancelled.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(1));
        }
        1
    });
    has_begun.recv_timeout(TIMEOUT).expect("the read begins");
    assert_eq!(first.poll(), Ok(None));
    let (ran, has_run) = channel();
    let skipped = reader.read(move |_| ran.send(()).map_or(0, |()| 2));
    drop(skipped);
    let last = reader.read(|_| 3);
    assert_eq!(last.poll(), Ok(None));
    drop(first);
    let until = Instant::now() + TIMEOUT;
    let result = loop {
        match last.poll() {
            Ok(None) => assert!(Instant::now() < until, "the next read never ran"),
            other => break other,
        }
    };
    assert_eq!(result, Ok(Some(3)));
    assert_eq!(
        has_run.recv_timeout(TIMEOUT),
        Err(RecvTimeoutError::Disconnected),
        "a read was dropped and ran"
    );
}

/// Guards against a store that is read over and over, and against one that is not read though it has changed.
#[test]
fn the_state_of_a_folder_changes_with_its_files() {
    let path = std::env::temp_dir().join(format!("cypresscleat-state-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("a folder");
    std::fs::write(path.join("a"), b"one").expect("a write");
    let before = folder_state(&path).expect("a state");
    assert_eq!(folder_state(&path).expect("a state"), before);
    std::fs::write(path.join("a"), b"longer").expect("a write");
    let longer = folder_state(&path).expect("a state");
    assert_ne!(longer, before);
    std::fs::write(path.join("b"), b"").expect("a write");
    assert_ne!(folder_state(&path).expect("a state"), longer);
    let _ = std::fs::remove_dir_all(&path);
}
