//! A process that reads another one's store makes way for it.

use cypresscleat_store::disk::DiskDirectory;
use cypresscleat_store::{Error, Store, StoreOptions};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Past the time between two checks of a reader.
const AFTER_A_CHECK: Duration = Duration::from_millis(20);

fn filled_folder(name: &str, keys: usize) -> PathBuf {
    let path = std::env::temp_dir().join(format!("cypresscleat-readers-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let mut store = Store::open(DiskDirectory::open(&path).expect("the folder"), StoreOptions::default())
        .expect("a store");
    for key in 0..keys {
        store.put(format!("b/{key:016}").as_bytes(), b"row").expect("a write");
    }
    store.commit(true).expect("a commit");
    path
}

/// Guards a start against a reader that has the store open: the reader's next read ends, and the lock is free once it has dropped the
/// store. Nothing of the store is changed by that.
#[test]
fn a_reader_makes_way_for_a_process_that_opens_the_store() {
    let path = filled_folder("way", 10);
    let disk = DiskDirectory::open_for_reader(&path, Arc::default()).expect("the folder");
    let mut reader = Store::open(disk, StoreOptions::default()).expect("a store");
    sleep(AFTER_A_CHECK);
    assert_eq!(reader.get(b"b/0000000000000003"), Ok(Some(b"row".to_vec())));
    let announcement = DiskDirectory::announce(&path).expect("to announce");
    sleep(AFTER_A_CHECK);
    assert_eq!(reader.get(b"b/0000000000000003"), Err(Error::Interrupted));
    assert_eq!(reader.get(b"b/0000000000000004"), Err(Error::Interrupted), "once is for good");
    let again = || DiskDirectory::open_for_reader(&path, Arc::default()).map(drop);
    assert_eq!(again(), Err(Error::Locked));
    drop(reader);
    assert_eq!(again(), Err(Error::Locked), "no reader begins while a process waits");
    let disk = DiskDirectory::open(&path).expect("the folder is free");
    drop(announcement);
    let mut store = Store::open(disk, StoreOptions::default()).expect("a store");
    assert_eq!(store.stats().keys, 10);
    assert_eq!(store.get(b"b/0000000000000003"), Ok(Some(b"row".to_vec())));
    drop(store);
    assert_eq!(again(), Ok(()));
    let _ = std::fs::remove_dir_all(&path);
}

/// Guards a start against a reader that is in the middle of opening a large store.
#[test]
fn opening_a_large_store_as_a_reader_ends_when_it_is_cancelled() {
    let path = filled_folder("large", 200_000);
    let cancelled = Arc::new(AtomicBool::new(false));
    let flag = cancelled.clone();
    let reader = std::thread::spawn({
        let path = path.clone();
        move || loop {
            let disk = DiskDirectory::open_for_reader(&path, flag.clone())?;
            drop(Store::open(disk, StoreOptions::default())?);
        }
    });
    sleep(Duration::from_millis(100));
    cancelled.store(true, Ordering::Relaxed);
    let begin = Instant::now();
    let ended: Result<(), Error> = reader.join().expect("the reader");
    assert_eq!(ended, Err(Error::Interrupted));
    // A loop that was not ended would not return at all; the bound is that of a start that waits for the lock.
    assert!(begin.elapsed() < Duration::from_secs(5), "{:?}", begin.elapsed());
    let _ = std::fs::remove_dir_all(&path);
}
