//! The stored data of the server is stable: rows recorded from commit 67fc394 are read and written with equal bytes. The
//! files under `tests/golden/store` were written by the program of that commit with `recorded_jobs` and `write_recorded_rows`.

use cypresscleat_server::core::persistence::{
    BillingRow, CompletedRun, IdempotencyRecord, KeyState, Persistence, RecoveredState, WriteBatch,
};
use cypresscleat_server::hourly_usage::{self, HourTotals, HourlyUsage};
use cypresscleat_store::disk::{Disk, DiskDirectory};
use cypresscleat_store::{Store, StoreOptions};
use std::path::{Path, PathBuf};

/// Milliseconds that one span of summed billing rows covers.
const SPAN: u64 = 3_600_000;

/// Key and value of each row, in order; bytes that are not printable ASCII are shown as `\xNN`.
const ROWS: [(&str, &str); 8] = [
    ("b/0001700000000042/00000000000000a1", "put,acme,2.5,1700000000000,1700000000042,succeeded"),
    ("b/0001700000000043/00000000000000a5", "put,acme,1,1700000000000,1700000000043,succeeded"),
    ("b/0001700005000000/00000000000000a2", "report,,0.125,1700000000000,1700005000000,succeeded"),
    ("h/3600000/000000472222", "1,2500"),
    ("l/3600000/000000472223", "1,1000"),
    ("o/00000000000000a4", "report,,1700000000001"),
    ("t/order-17", "\\x08\\x07\\x06\\x05\\x04\\x03\\x02\\x01\\xc07\\xff\\x1ev\\x0f\\x00\\x00\\x01done"),
    ("t/order-18", "\\x12\\x00\\x00\\x00\\x00\\x00\\x00\\x00\\xc07\\xff\\x1ev\\x0f\\x00\\x00\\x00"),
];

fn started_record(fingerprint: u64) -> IdempotencyRecord {
    IdempotencyRecord { fingerprint, expires_at: 17_000_000_600_000, state: KeyState::Started }
}

/// The write batches of two idempotency keys, of which one completes with a result, two billing rows, and two requests cut off by a drain,
/// of which one still gets its response.
fn recorded_jobs() -> Vec<WriteBatch> {
    let (to, jobs) = std::sync::mpsc::sync_channel(64);
    let (mut persistence, _) = Persistence::new(to, true, false, RecoveredState::default());
    for (name, fingerprint) in [("order-17", 0x0102_0304_0506_0708), ("order-18", 18)] {
        persistence.insert_record(name.into(), started_record(fingerprint));
        persistence.record_start(name);
    }
    let (arrived_at, completed_at) = (17_000_000_000_000, 17_000_000_000_420);
    let (request_id, tenant) = (b"00000000000000a1", "acme");
    let row = BillingRow { request_id, class: "put", tenant, billed: 2.5, arrived_at, completed_at };
    persistence.record_billing(&row, Some("order-17"), b"done", completed_at);
    let (request_id, tenant, completed_at) = (b"00000000000000a2", "", 17_000_050_000_000);
    let row = BillingRow { request_id, class: "report", tenant, billed: 0.125, arrived_at, completed_at };
    persistence.record_billing(&row, None, b"", completed_at);
    let cut_off = [
        (*b"00000000000000a3", "put,acme,1700000000000".to_string()),
        (*b"00000000000000a4", "report,,1700000000001".to_string()),
    ];
    persistence.record_open_requests(cut_off.into_iter());
    persistence.clear_open_request(b"00000000000000a3");
    jobs.try_iter().collect()
}

/// Writes the batches as the store thread does, with a commit for each, and a late billing row.
fn write_recorded_rows(store: &mut Store<impl Disk>) -> HourlyUsage {
    let mut hours = HourlyUsage::load(store, SPAN).expect("no rows yet");
    let mut put = |store: &mut Store<_>, key: &[u8], value: &[u8]| {
        for (key, value) in hours.record_row(key, value) {
            store.put(&key, &value).expect("a write");
        }
        store.put(key, value).expect("a write");
    };
    for job in recorded_jobs() {
        for (key, value) in job.writes {
            match value {
                Some(value) => put(store, &key, &value),
                None => drop(store.remove(&key).expect("a removal")),
            }
        }
        store.commit(true).expect("a commit");
    }
    put(store, ROWS[1].0.as_bytes(), ROWS[1].1.as_bytes());
    store.commit(true).expect("a commit");
    hours
}

fn escape_bytes(bytes: &[u8]) -> String {
    bytes
        .iter()
        .flat_map(|byte| {
            if byte.is_ascii_graphic() {
                vec![char::from(*byte)]
            } else {
                format!("\\x{byte:02x}").chars().collect()
            }
        })
        .collect()
}

fn read_rows(store: &mut Store<impl Disk>) -> Vec<(String, String)> {
    let snapshot = store.snapshot();
    let read = |key: &[u8]| store.get_at(&snapshot, key).expect("to be read").expect("a value");
    snapshot
        .keys(b"")
        .map(read)
        .zip(snapshot.keys(b""))
        .map(|(value, key)| (escape_bytes(key), escape_bytes(&value)))
        .collect()
}

fn recorded_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/store")
}

/// A folder for one test, with an empty folder `store` in it for the store.
fn empty_folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("cypresscleat-kept-golden-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(path.join("store")).expect("a directory");
    path
}

fn open(folder: &Path) -> Store<DiskDirectory> {
    Store::open(DiskDirectory::open(folder).expect("a directory"), StoreOptions::default()).expect("a store")
}

fn segments(folder: &Path) -> Vec<(std::ffi::OsString, Vec<u8>)> {
    let entries = std::fs::read_dir(folder).expect("a directory").map(|entry| entry.expect("an entry"));
    let all = entries.map(|entry| (entry.file_name(), std::fs::read(entry.path()).expect("its bytes")));
    let mut all: Vec<_> = all.filter(|(name, _)| name != "LOCK").collect();
    all.sort();
    all
}

fn expected_rows() -> Vec<(String, String)> {
    ROWS.iter().map(|(key, value)| (key.to_string(), value.to_string())).collect()
}

#[test]
fn rows_are_written_with_their_recorded_bytes() {
    let path = empty_folder("written");
    let folder = path.join("store");
    let mut store = open(&folder);
    let mut hours = write_recorded_rows(&mut store);
    assert_eq!(read_rows(&mut store), expected_rows());
    drop(store);
    assert_eq!(segments(&folder), segments(&recorded_folder()));
    hours.export(&folder).expect("exported totals");
    let recorded = std::fs::read(hourly_usage::export_path(&recorded_folder())).expect("the recorded hours");
    assert_eq!(std::fs::read(hourly_usage::export_path(&folder)).expect("hours"), recorded);
    std::fs::remove_dir_all(&path).expect("to clean up");
}

#[test]
fn rows_of_67fc394_are_read_and_extended() {
    let path = empty_folder("read");
    let folder = path.join("store");
    for (name, bytes) in segments(&recorded_folder()) {
        std::fs::write(folder.join(name), bytes).expect("to copy");
    }
    let mut store = open(&folder);
    assert_eq!(read_rows(&mut store), expected_rows());
    let loaded = RecoveredState::load(&mut store).expect("to be read");
    let done = IdempotencyRecord {
        state: KeyState::Completed(CompletedRun { result: b"done".to_vec(), is_billed: true }),
        ..started_record(0x0102_0304_0506_0708)
    };
    assert_eq!(
        loaded.records,
        [("order-17".to_string(), done), ("order-18".to_string(), started_record(18))]
    );
    let cut_off = (b"o/00000000000000a4".to_vec(), "00000000000000a4 report,,1700000000001".to_string());
    assert_eq!(loaded.interrupted, [cut_off]);
    let mut hours = HourlyUsage::load(&mut store, SPAN).expect("sums");
    assert_eq!(hours.closed, [(472_222, HourTotals { rows: 1, billed_milli: 2500 })]);
    // The open hour is summed from its own row and the late one.
    assert_eq!(hours.close_hours_before(472_224), [(b"h/3600000/000000472223".to_vec(), b"2,1125".to_vec())]);
    for (key, value) in hours.closed_hour_writes() {
        store.put(&key, &value).expect("a write");
    }
    store.commit(true).expect("a commit");
    drop(store);
    assert_eq!(read_rows(&mut open(&folder)).len(), ROWS.len() + 1);
    std::fs::remove_dir_all(&path).expect("to clean up");
}

/// The byte before a result tells whether a billing row stands for the success; earlier versions wrote 1 for every result.
#[test]
fn records_of_results_with_and_without_a_billing_row_have_their_recorded_bytes() {
    for (tag, is_billed) in [(1, true), (2, false)] {
        let mut bytes = 7u64.to_le_bytes().to_vec();
        bytes.extend(17_000_000_600_000i64.to_le_bytes());
        bytes.push(tag);
        bytes.extend(b"done");
        let run = CompletedRun { result: b"done".to_vec(), is_billed };
        let state = KeyState::Completed(run);
        let record = IdempotencyRecord { fingerprint: 7, expires_at: 17_000_000_600_000, state };
        assert_eq!(IdempotencyRecord::decode(&bytes), Some(record.clone()));
        let (to, batches) = std::sync::mpsc::sync_channel(4);
        let (mut persistence, _) = Persistence::new(to, true, false, RecoveredState::default());
        persistence.insert_record("order-19".into(), started_record(7));
        if is_billed {
            let (request_id, arrived_at, completed_at) = (b"00000000000000a9", 0, 10);
            let (class, tenant) = ("put", "");
            let row = BillingRow { request_id, class, tenant, billed: 1.0, arrived_at, completed_at };
            persistence.record_billing(&row, Some("order-19"), b"done", completed_at);
        } else {
            persistence.record_result("order-19", b"done");
        }
        let writes = batches.try_iter().flat_map(|batch| batch.writes).collect::<Vec<_>>();
        assert!(writes.contains(&(b"t/order-19".to_vec(), Some(bytes))), "{writes:?}");
    }
}
