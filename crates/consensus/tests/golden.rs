//! The bytes on the wire and on disk are as commit 67fc394 wrote them. postcard encodes variants and fields by position, so a
//! change of order, type or key fails these tests.

#[path = "golden/samples.rs"]
mod samples;

use cypresscleat_consensus::message::{self, Message};
use cypresscleat_consensus::sim::HashChain;
use cypresscleat_consensus::storage;
use cypresscleat_consensus::{RaftConfig, Replica, ReplicaConfig};
use cypresscleat_store::disk::DiskDirectory;
use cypresscleat_store::Store;
use std::path::{Path, PathBuf};

const MESSAGES: &str = include_str!("golden/messages.txt");
const WRITES: &str = include_str!("golden/writes.txt");
/// Description of the folder by the program of 67fc394, which wrote it: term, commit index, hash, numbers.
const FOLDER: &str = include_str!("golden/folder.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digit = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("two hex digits");
    (0..text.len()).step_by(2).map(digit).collect()
}

#[test]
fn messages_are_the_recorded_bytes_both_ways() {
    let lines: Vec<(&str, &str)> =
        MESSAGES.lines().map(|line| line.split_once(' ').expect("two words")).collect();
    let samples = samples::messages();
    assert_eq!(lines.len(), samples.len());
    for ((name, golden), (sample_name, message)) in lines.into_iter().zip(samples) {
        assert_eq!(name, sample_name);
        assert_eq!(hex(&message::encode(&message).expect("short")), golden, "{name}");
        assert_eq!(message::decode::<Message>(&unhex(golden)), Ok(message), "{name}");
    }
}

#[test]
fn disk_writes_are_the_recorded_bytes() {
    let describe = |(name, (key, value)): (String, storage::Write)| {
        format!("{name} {} {}", hex(&key), value.map_or("removed".into(), |value| hex(&value)))
    };
    let found: Vec<String> = samples::writes().into_iter().map(describe).collect();
    assert_eq!(found, WRITES.lines().collect::<Vec<_>>());
}

fn copy_folder() -> PathBuf {
    let from = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/replica-67fc394");
    let to = Path::new(env!("CARGO_TARGET_TMPDIR")).join("replica-67fc394");
    let _ = std::fs::remove_dir_all(&to);
    std::fs::create_dir_all(&to).expect("a temporary folder");
    for file in std::fs::read_dir(from).expect("the recorded folder") {
        let file = file.expect("a file");
        std::fs::copy(file.path(), to.join(file.file_name())).expect("a copy");
    }
    to
}

#[test]
fn a_folder_of_67fc394_opens_and_its_replica_starts() {
    let mut store = Store::open(DiskDirectory::open(&copy_folder()).expect("a folder"), Default::default())
        .expect("a store");
    let state = storage::load(&mut store).expect("a state");
    assert_eq!(state.cleanup, Vec::new());
    let snapshot = state.snapshot.clone().expect("a bootstrapped replica");

    // Writing the state again gives each value in the folder.
    let mut writes = vec![storage::write_hard_state(&state.hard_state)];
    storage::write_snapshot(
        &mut writes,
        &snapshot,
        &state.snapshot_bytes,
        &snapshot,
        snapshot.position.index + 1..=snapshot.position.index,
    );
    for (at, entry) in state.entries.iter().enumerate() {
        writes.push(storage::write_entry(snapshot.position.index + 1 + at as u64, entry));
    }
    let stored = store.snapshot();
    assert_eq!(stored.len(), writes.len());
    for (key, value) in writes {
        assert_eq!(store.get(&key).expect("readable"), value, "key {}", hex(&key));
    }

    // A single replica of three is no majority: its state is that of its snapshot.
    let (hard_state, entries) = (state.hard_state, state.entries.len());
    let config = ReplicaConfig {
        id: 1,
        configured_replicas: [1, 2, 3].into(),
        disk: hard_state.disk,
        raft: RaftConfig::default(),
        seed: 1,
    };
    let (replica, _) = Replica::start(0, config, state, HashChain::default()).expect("a valid configuration");
    let description = format!(
        "disk {} term {} voted {:?} snapshot {} members {} entries {entries} hash {:016x} numbers {:?}\n",
        hard_state.disk,
        replica.term(),
        hard_state.voted_for,
        replica.commit_index(),
        replica.members().len(),
        replica.state_machine().hash,
        replica.state_machine().numbers,
    );
    assert_eq!(description, FOLDER);
}
