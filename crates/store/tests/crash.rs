//! Files truncated at every byte, crashes at every step with any part of the unsynced changes, and disk faults, compared with a model
//! map. Failures print their seed.

use cypresscleat_store::disk::Disk;
use cypresscleat_store::simulation::{Fault, SimulatedDisk};
use cypresscleat_store::{Error, Store, StoreOptions};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

type Map = BTreeMap<Vec<u8>, Vec<u8>>;

const SMALL: StoreOptions = StoreOptions {
    max_segment_bytes: 600,
    min_dead_fraction: 0.4,
    compaction_step_bytes: 300,
    salvage: false,
};

/// Writes of a workload: the map after each write, and the number of acknowledged writes.
struct Written {
    /// The map after each number of issued writes.
    states: Vec<Map>,
    acknowledged: usize,
}

impl Written {
    fn new() -> Written {
        Written { states: vec![Map::new()], acknowledged: 0 }
    }
    fn put(&mut self, key: &[u8], value: Option<&[u8]>) {
        let mut next = self.states.last().cloned().unwrap_or_default();
        match value {
            Some(value) => next.insert(key.to_vec(), value.to_vec()),
            None => next.remove(key),
        };
        self.states.push(next);
    }
    fn issued(&self) -> usize {
        self.states.len() - 1
    }
}

/// Runs a workload by seed until an operation fails, or to the end. Returns whether the workload reached its end. A write that failed is
/// not added to the model.
fn workload(store: &mut Store<SimulatedDisk>, seed: u64, steps: usize, written: &mut Written) -> bool {
    let mut rng = Pcg64Mcg::new(u128::from(seed) * 2 + 1);
    for step in 0..steps {
        let key = format!("key{}", rng.random_range(0..12)).into_bytes();
        match rng.random_range(0..10) {
            0..=4 => {
                let value = vec![step as u8; rng.random_range(0..90)];
                if store.put(&key, &value).is_err() {
                    return false;
                }
                written.put(&key, Some(&value));
            }
            5 => {
                if store.remove(&key).is_err() {
                    return false;
                }
                written.put(&key, None);
            }
            6..=8 => match store.commit(true) {
                Ok(_) => written.acknowledged = written.issued(),
                Err(_) => return false,
            },
            _ => {
                if store.compact_step().is_err() {
                    return false;
                }
            }
        }
    }
    true
}

fn all(store: &mut Store<impl Disk>) -> Result<Map, Error> {
    let snapshot = store.snapshot();
    let keys: Vec<Vec<u8>> = snapshot.keys(b"").map(<[u8]>::to_vec).collect();
    let mut map = Map::new();
    for key in keys {
        if let Some(value) = store.get(&key)? {
            map.insert(key, value);
        }
    }
    Ok(map)
}

/// Checks that the store opens, holds a prefix of the writes with all acknowledged ones and nothing else, and accepts writes again.
fn check(disk: SimulatedDisk, written: &Written, what: &str) {
    let mut store = Store::open(disk, SMALL).unwrap_or_else(|error| panic!("{what}: {error}"));
    let found = all(&mut store).unwrap_or_else(|error| panic!("{what}: {error}"));
    let fits = written.states[written.acknowledged..].contains(&found);
    assert!(fits, "{what}: {found:?} is none of the states from {} on", written.acknowledged);
    store.put(b"after", b"all").unwrap_or_else(|error| panic!("{what}: {error}"));
    store.commit(true).unwrap_or_else(|error| panic!("{what}: {error}"));
    let mut again =
        Store::open(store.into_disk(), SMALL).unwrap_or_else(|error| panic!("{what}, again: {error}"));
    assert_eq!(again.get(b"after"), Ok(Some(b"all".to_vec())), "{what}");
    assert_eq!(all(&mut again).map(|map| map.len()), Ok(found.len() + 1), "{what}");
}

/// Number of states to compare; `CRASH_STATES=1100000` for a longer manual run.
fn min_states() -> u64 {
    std::env::var("CRASH_STATES").ok().and_then(|word| word.parse().ok()).unwrap_or(110_000)
}

/// 110,000 crash states: each step of workloads with rotation and compaction, several states at each step.
#[test]
fn any_crash_leaves_a_prefix_of_the_writes_with_all_acknowledged_ones() {
    let threads: Vec<_> = (0..4u64)
        .map(|thread| {
            std::thread::spawn(move || {
                let mut states = 0u64;
                let mut seed = thread;
                while states < min_states() / 4 {
                    seed += 4;
                    let mut whole = Store::open(SimulatedDisk::default(), SMALL).expect("an empty store");
                    workload(&mut whole, seed, 120, &mut Written::new());
                    let operations = whole.into_disk().operations;
                    for at in 1..=operations {
                        let disk = SimulatedDisk::default().inject_fault(at, Fault::Crash);
                        let mut written = Written::new();
                        let disk = match Store::open(disk.clone(), SMALL) {
                            Ok(mut store) => {
                                workload(&mut store, seed, 120, &mut written);
                                store.into_disk()
                            }
                            Err(_) => continue, // the crash came before the store was created
                        };
                        for way in 0..5 {
                            let crash = seed.wrapping_mul(1_000_003) + at * 7 + way;
                            check(
                                disk.crash(crash),
                                &written,
                                &format!("seed {seed}, down at {at}, crash {crash}"),
                            );
                            states += 1;
                        }
                    }
                }
                states
            })
        })
        .collect();
    let states: u64 = threads.into_iter().map(|thread| thread.join().expect("no failure")).sum();
    assert!(states >= min_states(), "{states} states");
}

/// Recovery itself is interrupted ten times in a row; no acknowledged write is lost.
#[test]
fn crashes_during_recovery_lose_nothing() {
    for seed in 0..60u64 {
        let mut store = Store::open(SimulatedDisk::default(), SMALL).expect("an empty store");
        let mut written = Written::new();
        workload(&mut store, seed, 160, &mut written);
        let mut disk = store.into_disk().crash(seed);
        for round in 0..10 {
            let at = 1 + (seed + round) % 6;
            let down = disk.clone().inject_fault(at, Fault::Crash);
            disk = match Store::open(down, SMALL) {
                Ok(store) => store.into_disk().crash(seed * 100 + round),
                Err(_) => {
                    // Recovery was interrupted: its changes so far may be present or not.
                    let mut stopped = disk.clone().inject_fault(at, Fault::Crash);
                    let _ = stopped.sync_directory();
                    disk.crash(seed * 100 + round)
                }
            };
        }
        check(disk, &written, &format!("seed {seed}"));
    }
}

/// Truncates the files of a workload at every byte: first one segment with 260 writes, then several segments with compactions.
#[test]
fn files_cut_at_any_byte_lose_nothing_acknowledged_before_it() {
    // The active segment, truncated at each byte: exactly the writes before the cut are there.
    let large = StoreOptions { max_segment_bytes: 1 << 20, ..SMALL };
    let mut store = Store::open(SimulatedDisk::default(), large).expect("an empty store");
    let mut rng = Pcg64Mcg::new(5);
    let mut ends: Vec<(usize, Map)> = Vec::new();
    let mut map = Map::new();
    for step in 0..260u32 {
        let key = format!("key{}", rng.random_range(0..40)).into_bytes();
        if rng.random_bool(0.2) {
            store.remove(&key).expect("a write");
            map.remove(&key);
        } else {
            let value = vec![step as u8; rng.random_range(0..50)];
            store.put(&key, &value).expect("a write");
            map.insert(key, value);
        }
        store.commit(true).expect("a commit");
        let disk_length = store.stats().segment_bytes as usize;
        ends.push((disk_length, map.clone()));
    }
    let disk = store.into_disk().after_process_exit();
    let name = disk
        .clone()
        .list()
        .expect("names")
        .into_iter()
        .find(|name| name.ends_with(".seg"))
        .expect("a segment");
    let length = ends.last().expect("writes").0;
    assert!(length > 10_000, "{length} bytes");
    for cut in 0..=length {
        let mut disk = disk.clone();
        disk.bytes(&name).expect("its bytes").truncate(cut);
        let mut store = Store::open(disk, large).unwrap_or_else(|error| panic!("cut at {cut}: {error}"));
        let before =
            ends.iter().rev().find(|(end, _)| *end <= cut).map(|(_, map)| map.clone()).unwrap_or_default();
        assert_eq!(all(&mut store), Ok(before), "cut at {cut}");
        store
            .put(b"after", b"all")
            .and_then(|_| store.commit(true))
            .unwrap_or_else(|error| panic!("{cut}: {error}"));
    }
    // Several segments: a cut in a sealed one is damage, reported with its file; no wrong value is ever read.
    let mut store = Store::open(SimulatedDisk::default(), SMALL).expect("an empty store");
    let mut written = Written::new();
    assert!(workload(&mut store, 11, 400, &mut written));
    store.commit(true).expect("a commit");
    written.acknowledged = written.issued();
    let disk = store.into_disk().after_process_exit();
    let names: Vec<String> =
        disk.clone().list().expect("names").into_iter().filter(|n| n.ends_with(".seg")).collect();
    assert!(names.len() >= 3, "{names:?}");
    let newest = names.iter().max().expect("one").clone();
    for name in &names {
        let length = disk.clone().length(name).expect("a length") as usize;
        for cut in 0..length {
            let mut disk = disk.clone();
            disk.bytes(name).expect("its bytes").truncate(cut);
            match Store::open(disk, SMALL) {
                Ok(mut store) => {
                    let found = all(&mut store);
                    let known = written.states.iter().any(|state| found == Ok(state.clone()));
                    assert!(*name == newest && known || found.is_err(), "{name} cut at {cut}: {found:?}");
                }
                Err(Error::Damage { file, .. }) => {
                    assert!(file >= *name, "{name} cut at {cut}: {file}")
                }
                Err(other) => panic!("{name} cut at {cut}: {other}"),
            }
        }
    }
}

/// Guards against keys that vanish in silence: a compacted segment that was cut anywhere, between two records too, is damage, with its
/// hints and without them.
#[test]
fn a_compacted_segment_cut_anywhere_is_damage() {
    let mut store = Store::open(SimulatedDisk::default(), SMALL).expect("an empty store");
    let mut written = Written::new();
    assert!(workload(&mut store, 3, 300, &mut written));
    store.commit(true).expect("a commit");
    store.compact_all().expect("compacted");
    let contents = all(&mut store).expect("its contents");
    let disk = store.into_disk().after_process_exit();
    let names = disk.clone().list().expect("names");
    let compacted: Vec<&String> =
        names.iter().filter(|name| name.ends_with(".seg") && !name.ends_with("-00000000.seg")).collect();
    let [segment] = compacted[..] else { panic!("one compacted segment in {names:?}") };
    let length = disk.clone().length(segment).expect("a length") as usize;
    for (with_hints, cut) in
        [true, false].into_iter().flat_map(|hints| (0..=length).map(move |cut| (hints, cut)))
    {
        let mut disk = disk.clone();
        disk.bytes(segment).expect("its bytes").truncate(cut);
        if !with_hints {
            disk.remove(&segment.replace(".seg", ".hint")).expect("hints");
        }
        match Store::open(disk, SMALL) {
            Ok(mut store) => {
                assert_eq!(cut, length, "cut at {cut} of {length}, hints {with_hints}: no damage");
                assert_eq!(all(&mut store), Ok(contents.clone()));
            }
            Err(Error::Damage { file, .. }) => assert!(cut < length && file == *segment, "{cut}: {file}"),
            Err(other) => panic!("cut at {cut}: {other}"),
        }
    }
}

/// A flipped bit is detected as damage or has no effect; a value that was not written is never read.
#[test]
fn a_flipped_bit_is_never_read_as_a_wrong_value() {
    let mut store = Store::open(SimulatedDisk::default(), SMALL).expect("an empty store");
    let mut written = Written::new();
    assert!(workload(&mut store, 23, 300, &mut written));
    store.commit(true).expect("a commit");
    store.commit(true).expect("the mark behind it");
    let disk = store.into_disk().after_process_exit();
    let names = disk.clone().list().expect("names");
    let mut reported = 0;
    for name in &names {
        let length = disk.clone().length(name).expect("a length") as usize;
        for at in 0..length {
            let mut disk = disk.clone();
            disk.bytes(name).expect("its bytes")[at] ^= 1 << (at % 8);
            match Store::open(disk, SMALL) {
                Ok(mut store) => match all(&mut store) {
                    Ok(found) => {
                        let known = written.states.contains(&found);
                        assert!(known, "{name} byte {at}: {found:?}");
                    }
                    Err(Error::Damage { .. }) => reported += 1,
                    Err(other) => panic!("{name} byte {at}: {other}"),
                },
                Err(Error::Damage { .. } | Error::Version { .. }) => reported += 1,
                Err(other) => panic!("{name} byte {at}: {other}"),
            }
        }
    }
    assert!(reported > 1000, "{reported} were reported");
}

/// Every write and every sync fails once: earlier acknowledged writes stay, later operations succeed, and no other value appears.
#[test]
fn a_failing_write_or_sync_gives_up_only_what_was_not_acknowledged() {
    for fault in [Fault::Full, Fault::IoError] {
        for seed in 0..6u64 {
            let mut whole = Store::open(SimulatedDisk::default(), SMALL).expect("an empty store");
            workload(&mut whole, seed, 100, &mut Written::new());
            let operations = whole.into_disk().operations;
            for at in 6..=operations {
                let what = format!("{fault:?}, seed {seed}, operation {at}");
                let disk = SimulatedDisk::default().inject_fault(at, fault);
                let Ok(mut store) = Store::open(disk, SMALL) else { continue };
                let mut rng = Pcg64Mcg::new(u128::from(seed) * 2 + 1);
                // The acknowledged writes must stay: after an error the other writes are rolled back.
                let mut certain = Map::new();
                let mut pending = Map::new();
                let mut failed = 0;
                for step in 0..100 {
                    let key = format!("key{}", rng.random_range(0..12)).into_bytes();
                    let value = vec![step as u8; rng.random_range(0..90)];
                    let acknowledged = store.stats().acknowledged_sequence;
                    match rng.random_range(0..10) {
                        0..=5 => match store.put(&key, &value) {
                            Ok(_) => {
                                // If the segment was full, all earlier writes were acknowledged when it was sealed.
                                if store.stats().acknowledged_sequence > acknowledged {
                                    certain = pending.clone();
                                }
                                pending.insert(key, value);
                            }
                            Err(_) => {
                                failed += 1;
                                // The segment was full: earlier writes may have been acknowledged when it was sealed.
                                let found = all(&mut store).expect("to be read");
                                assert!(found == certain || found == pending, "{what}");
                                (certain, pending) = (found.clone(), found);
                            }
                        },
                        6..=8 => match store.commit(true) {
                            Ok(_) => certain = pending.clone(),
                            Err(_) => {
                                failed += 1;
                                pending = certain.clone();
                            }
                        },
                        _ => failed += usize::from(store.compact_step().is_err()),
                    }
                }
                assert!(failed <= 1, "{what}: {failed} errors from one fault");
                assert_eq!(all(&mut store), Ok(pending.clone()), "{what}");
                // If this commit is the operation that fails, no write is pending any more, and a second commit succeeds.
                if store.commit(true).is_ok() {
                    certain = pending;
                } else {
                    store.put(b"last", b"one").and_then(|_| store.commit(true)).expect("one fault only");
                    certain.insert(b"last".to_vec(), b"one".to_vec());
                }
                let mut again = Store::open(store.into_disk().crash(seed + at), SMALL).expect("it opens");
                let found = all(&mut again).expect("to be read");
                assert_eq!(found, certain, "{what}");
            }
        }
    }
}

/// A snapshot stays unchanged while its segments are compacted away.
#[test]
fn a_snapshot_outlives_the_segments_it_reads() {
    let mut store = Store::open(SimulatedDisk::default(), SMALL).expect("an empty store");
    let mut written = Written::new();
    assert!(workload(&mut store, 3, 300, &mut written));
    store.commit(true).expect("a commit");
    let snapshot = store.snapshot();
    let then = all(&mut store).expect("all");
    for key in then.keys() {
        store.put(key, b"new").expect("a write");
    }
    store.compact_all().expect("compacted");
    for (key, value) in &then {
        assert_eq!(store.get_at(&snapshot, key), Ok(Some(value.clone())));
        assert_eq!(store.get(key), Ok(Some(b"new".to_vec())));
    }
    let files = |store: &mut Store<SimulatedDisk>| store.stats().segments;
    assert_eq!(files(&mut store), 2, "one compacted segment, one active");
    drop(snapshot);
    store.compact_step().expect("a step");
    let names = store.into_disk().list().expect("names");
    assert_eq!(names.iter().filter(|name| name.ends_with(".seg")).count(), 2, "{names:?}");
}

#[test]
fn overwriting_one_key_keeps_the_store_small() {
    let options = StoreOptions { max_segment_bytes: 64 * 1024, ..StoreOptions::default() };
    let mut store = Store::open(SimulatedDisk::default(), options).expect("an empty store");
    for round in 0..200_000u32 {
        store.put(b"one", &round.to_le_bytes()).expect("a write");
        if round % 500 == 0 {
            store.commit(true).expect("a commit");
            while store.compact_step().expect("a step") {}
        }
    }
    store.commit(true).expect("a commit");
    let stats = store.stats();
    assert!(stats.segment_bytes < 300_000 && stats.keys == 1, "{stats:?}");
    assert_eq!(store.get(b"one"), Ok(Some(199_999u32.to_le_bytes().to_vec())));
}

#[test]
fn rejects_oversized_entries_other_versions_and_a_second_owner() {
    let mut store = Store::open(SimulatedDisk::default(), SMALL).expect("an empty store");
    assert_eq!(store.put(b"", b"x"), Err(Error::TooLarge(1)));
    assert_eq!(store.put(&[0; 1025], b"x"), Err(Error::TooLarge(1025)));
    assert_eq!(store.put(b"k", &vec![0; (1 << 20) + 1]), Err(Error::TooLarge((1 << 20) + 1)));
    store.put(b"none", b"").expect("a value of nothing");
    store.put(&[9; 1024], &vec![7; 1 << 20]).expect("the largest");
    store.commit(true).expect("a commit");
    let mut store = Store::open(store.into_disk(), SMALL).expect("again");
    assert_eq!(store.get(b"none"), Ok(Some(Vec::new())));
    assert_eq!(store.get(&[9; 1024]).map(|value| value.map(|value| value.len())), Ok(Some(1 << 20)));
    assert!(store.verify().is_empty());
    let mut disk = store.into_disk();
    let name =
        disk.list().expect("names").into_iter().find(|name| name.ends_with(".seg")).expect("a segment");
    disk.bytes(&name).expect("its bytes")[7] = b'2';
    assert!(matches!(Store::open(disk, SMALL), Err(Error::Version { .. })));
    let path = std::env::temp_dir().join(format!("cypresscleat-store-two-{}", std::process::id()));
    let one = cypresscleat_store::disk::DiskDirectory::open(&path).expect("one owner");
    assert_eq!(cypresscleat_store::disk::DiskDirectory::open(&path).map(|_| ()), Err(Error::Locked));
    drop(one);
    assert!(cypresscleat_store::disk::DiskDirectory::open(&path).is_ok(), "the lock is released");
    let _ = std::fs::remove_dir_all(&path);
}
