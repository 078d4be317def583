//! The format of stored data is stable: bytes recorded from commit 67fc394 can be read, and the same bytes are written again. The files
//! under `tests/golden/folder` were written by the program of that commit with `write_recorded_workload`.

use cypresscleat_store::disk::{Disk, DiskDirectory};
use cypresscleat_store::format::{self, Hint, RecordKind, SegmentHeader, HEADER_BYTES};
use cypresscleat_store::{Store, StoreOptions};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

const OPTIONS: StoreOptions = StoreOptions {
    max_segment_bytes: 600,
    min_dead_fraction: 0.4,
    compaction_step_bytes: 300,
    salvage: false,
};

/// Segment header: magic, first and last segment, length of the previous segment, CRC-32.
const HEADER: &str = "43434c4541545331020100000000000003020000000000000403000000000000d5c8397c";
/// Records of a put, a removal and a mark.
const PUT: &str = "130000004045c06b08070605040302010103006b657976616c7565";
const REMOVE: &str = "0e0000006bb0793709070605040302010203006b6579";
const MARK: &str = "130000005111f6070a070605040302010300002c01000000000000";
/// Hints of a segment of 300 bytes: a put and a removal.
const HINTS: &str = "2c0100000000000008070605040302010124000000000000001b00000003006b65790907060504030201023f00000000000000160000000400676f6e65d012a1cd";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn recorded_header() -> SegmentHeader {
    SegmentHeader { first_segment: 0x0102, last_segment: 0x0203, previous_length: 0x0304 }
}

fn recorded_hints() -> Vec<Hint> {
    vec![
        Hint {
            sequence: 0x0102_0304_0506_0708,
            kind: RecordKind::Put,
            offset: 36,
            size: 27,
            key: b"key".to_vec(),
        },
        Hint {
            sequence: 0x0102_0304_0506_0709,
            kind: RecordKind::Remove,
            offset: 63,
            size: 22,
            key: b"gone".to_vec(),
        },
    ]
}

#[test]
fn segment_header_has_its_recorded_bytes() {
    let bytes = recorded_header().encode();
    assert_eq!(hex(&bytes), HEADER);
    assert_eq!(SegmentHeader::decode(&bytes), Ok(recorded_header()));
}

#[test]
fn records_have_their_recorded_bytes() {
    let length = 300u64.to_le_bytes();
    check_record(RecordKind::Put, 0x0102_0304_0506_0708, b"key", b"value", PUT);
    check_record(RecordKind::Remove, 0x0102_0304_0506_0709, b"key", b"", REMOVE);
    check_record(RecordKind::Mark, 0x0102_0304_0506_070a, b"", &length, MARK);
}

fn check_record(kind: RecordKind, sequence: u64, key: &[u8], value: &[u8], recorded: &str) {
    let mut bytes = Vec::new();
    let size = format::encode_record(&mut bytes, sequence, kind, key, value);
    assert_eq!((hex(&bytes).as_str(), size), (recorded, bytes.len()), "{kind:?}");
    let record = format::decode_record(&bytes).expect("a whole record");
    assert_eq!((record.kind, record.sequence, record.size), (kind, sequence, size));
    assert_eq!((record.key, record.value), (key, value));
}

#[test]
fn hints_have_their_recorded_bytes() {
    let bytes = format::encode_hints(300, &recorded_hints());
    assert_eq!(hex(&bytes), HINTS);
    assert_eq!(format::decode_hints(&bytes, 300), Some(recorded_hints()));
    assert_eq!(format::decode_hints(&bytes, 301), None, "of another length");
}

#[test]
fn segment_names_are_as_recorded() {
    assert_eq!(format::segment_file_name(0xabc, 0x1f), "0000000000000abc-0000001f.seg");
    assert_eq!(format::parse_segment_name("0000000000000abc-0000001f.seg"), Some((0xabc, 0x1f)));
}

/// The workload whose files are checked in: overwrites, removals, rotation and one compaction. Each commit is synced.
fn write_recorded_workload(store: &mut Store<impl Disk>) {
    for step in 0..70u32 {
        let key = format!("key{:02}", step * 7 % 17);
        if step % 10 == 3 {
            store.remove(key.as_bytes()).expect("a removal");
        } else {
            store.put(key.as_bytes(), &vec![step as u8; (step * 11 % 50) as usize]).expect("a write");
        }
        if step % 4 == 3 {
            store.commit(true).expect("a commit");
        }
        if step == 50 {
            while store.compact_step().expect("a step") {}
        }
    }
    store.commit(true).expect("a commit");
    store.put(b"last", b"behind the mark").expect("a write");
    store.commit(true).expect("a commit");
}

/// Contents after the workload, computed with a plain map.
fn recorded_contents() -> BTreeMap<Vec<u8>, Vec<u8>> {
    let mut map = BTreeMap::new();
    for step in 0..70u32 {
        let key = format!("key{:02}", step * 7 % 17).into_bytes();
        if step % 10 == 3 {
            map.remove(&key);
        } else {
            map.insert(key, vec![step as u8; (step * 11 % 50) as usize]);
        }
    }
    map.insert(b"last".to_vec(), b"behind the mark".to_vec());
    map
}

fn recorded_files() -> BTreeMap<String, Vec<u8>> {
    files(&Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/folder"))
}

/// Name and bytes of each file but the lock.
fn files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = std::fs::read_dir(folder).expect("the folder").map(|entry| entry.expect("an entry"));
    let named = entries.map(|entry| {
        let name = entry.file_name().into_string().expect("a plain name");
        (name, std::fs::read(entry.path()).expect("its bytes"))
    });
    named.filter(|(name, _)| name != "LOCK").collect()
}

fn empty_folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("cypresscleat-store-golden-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn contents(store: &mut Store<impl Disk>) -> BTreeMap<Vec<u8>, Vec<u8>> {
    let snapshot = store.snapshot();
    let keys: Vec<Vec<u8>> = snapshot.keys(b"").map(<[u8]>::to_vec).collect();
    keys.into_iter()
        .map(|key| {
            let value = store.get(&key).expect("to be read").expect("a value");
            (key, value)
        })
        .collect()
}

/// The recorded bytes of a file as they are written now: since 67fc394 the header of a compacted segment has the segment's own length,
/// where it had 0.
fn with_own_length(name: &str, bytes: &[u8]) -> Vec<u8> {
    if !name.ends_with(".seg") || name.ends_with("-00000000.seg") {
        return bytes.to_vec();
    }
    let header = SegmentHeader::decode(bytes).expect("a header");
    assert_eq!(header.previous_length, 0, "{name}");
    let header = SegmentHeader { previous_length: bytes.len() as u64, ..header };
    [header.encode(), bytes[HEADER_BYTES..].to_vec()].concat()
}

#[test]
fn the_recorded_workload_writes_the_recorded_files() {
    let path = empty_folder("written");
    let mut store =
        Store::open(DiskDirectory::open(&path).expect("a folder"), OPTIONS).expect("an empty store");
    write_recorded_workload(&mut store);
    drop(store);
    let (written, recorded) = (files(&path), recorded_files());
    assert_eq!(written.keys().collect::<Vec<_>>(), recorded.keys().collect::<Vec<_>>());
    for (name, bytes) in &recorded {
        assert_eq!(hex(&written[name]), hex(&with_own_length(name, bytes)), "{name}");
    }
    std::fs::remove_dir_all(&path).expect("to clean up");
}

#[test]
fn a_folder_of_67fc394_opens_and_accepts_writes() {
    for with_hints in [true, false] {
        let path = empty_folder(if with_hints { "hinted" } else { "unhinted" });
        std::fs::create_dir_all(&path).expect("a folder");
        for (name, bytes) in recorded_files() {
            if with_hints || name.ends_with(".seg") {
                std::fs::write(path.join(name), bytes).expect("to copy");
            }
        }
        let open = || Store::open(DiskDirectory::open(&path).expect("a folder"), OPTIONS).expect("a store");
        let mut store = open();
        let stats = store.stats();
        assert_eq!(
            (
                stats.keys,
                stats.segments,
                stats.segment_bytes,
                stats.live_bytes,
                stats.last_sequence,
                stats.torn_bytes
            ),
            (16, 5, 2238, 779, 95, 0)
        );
        assert_eq!(contents(&mut store), recorded_contents());
        assert_eq!(store.verify(), Vec::new());
        if with_hints {
            drop(store);
            assert_eq!(files(&path), recorded_files(), "opening changes no file");
            store = open();
        }
        let mut expected = recorded_contents();
        store.put(b"key00", b"today").expect("a write");
        store.remove(b"key01").expect("a removal");
        store.commit(true).expect("a commit");
        expected.insert(b"key00".to_vec(), b"today".to_vec());
        expected.remove(b"key01".as_slice());
        let mut store = {
            drop(store);
            open()
        };
        assert_eq!(contents(&mut store), expected);
        store.compact_all().expect("compacted");
        drop(store);
        assert_eq!(contents(&mut open()), expected);
        std::fs::remove_dir_all(&path).expect("to clean up");
    }
}
