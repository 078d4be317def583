//! The persistent state of a replica: its hard state (key `h`), the snapshot's metadata (`b`) and its bytes in parts (`s`), and the
//! log (`l`). A crash leaves a prefix of the writes; they are ordered so that every prefix loads as a valid state.

use crate::message::{Entry, LogPosition};
use crate::{DiskId, Member, NodeId};
use cypresscleat_store::disk::Disk;
use cypresscleat_store::Store;
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::ops::RangeInclusive;

/// A key and its new value; `None` removes the key.
pub type Write = (Vec<u8>, Option<Vec<u8>>);

/// Size of the parts in which a snapshot is stored.
const SNAPSHOT_PART_BYTES: usize = 256 * 1024;
const HARD_STATE_KEY: &[u8] = b"h";
const SNAPSHOT_KEY: &[u8] = b"b";
const SNAPSHOT_PART_PREFIX: u8 = b's';
const ENTRY_PREFIX: u8 = b'l';
/// Length of the index and the part number that follow the prefix.
const SNAPSHOT_PART_SUFFIX_BYTES: usize = 12;

/// Raft's hard state, which a replica must persist before it sends messages that rely on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// Identity of the disk; 0 on a disk that was never used.
    pub disk: DiskId,
    /// The current term: the latest that the replica has seen.
    pub term: u64,
    /// The candidate that received the replica's vote in that term.
    pub voted_for: Option<NodeId>,
}

/// Metadata of a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position of the last entry that it contains.
    pub position: LogPosition,
    /// The members at that position.
    pub members: Vec<Member>,
    /// Length of its bytes.
    pub total_bytes: u64,
}

/// The state that a replica starts from.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PersistentState {
    /// Disk, term and vote.
    pub hard_state: HardState,
    /// `None` on a replica that does not know the members yet.
    pub snapshot: Option<Snapshot>,
    /// Bytes of the snapshot.
    pub snapshot_bytes: Vec<u8>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Removals of the keys that a crash left of an earlier snapshot or log.
    pub cleanup: Vec<Write>,
}

/// An error of [`load`]: the disk's state can't be used.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The store could not be read.
    #[error("{0}")]
    Store(#[from] cypresscleat_store::Error),
    /// A stored value could not be decoded.
    #[error("{value}: {source}")]
    Decode {
        /// Name of the value.
        value: String,
        /// The decoder's error.
        source: postcard::Error,
    },
    /// A part of the snapshot is missing.
    #[error("a part of the snapshot is missing")]
    MissingSnapshotPart,
    /// The length of the snapshot's parts is not the length in its metadata.
    #[error("snapshot has {found} bytes, expected {expected}")]
    SnapshotLength {
        /// Length of the stored parts, in bytes.
        found: u64,
        /// Length according to the metadata, in bytes.
        expected: u64,
    },
}

fn entry_key(index: u64) -> Vec<u8> {
    [&[ENTRY_PREFIX][..], &index.to_be_bytes()].concat()
}

fn snapshot_part_key(index: u64, part: u32) -> Vec<u8> {
    [&[SNAPSHOT_PART_PREFIX][..], &index.to_be_bytes(), &part.to_be_bytes()].concat()
}

fn snapshot_parts(snapshot: &Snapshot) -> u32 {
    snapshot.total_bytes.div_ceil(SNAPSHOT_PART_BYTES as u64) as u32
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

fn decode<T: DeserializeOwned>(value: impl Into<String>, bytes: &[u8]) -> Result<T, LoadError> {
    postcard::from_bytes(bytes).map_err(|source| LoadError::Decode { value: value.into(), source })
}

/// Returns the write of the hard state.
pub fn write_hard_state(hard_state: &HardState) -> Write {
    (HARD_STATE_KEY.to_vec(), Some(encode(hard_state)))
}

/// Returns the write of a log entry.
pub fn write_entry(index: u64, entry: &Entry) -> Write {
    (entry_key(index), Some(encode(entry)))
}

/// Returns the removal of a log entry.
pub fn remove_entry(index: u64) -> Write {
    (entry_key(index), None)
}

/// Appends the writes that replace snapshot `old` by `snapshot`: its bytes, then its metadata, then the removal of the old
/// snapshot's bytes and of the log entries in `compacted`.
pub fn write_snapshot(
    writes: &mut Vec<Write>,
    snapshot: &Snapshot,
    bytes: &[u8],
    old: &Snapshot,
    compacted: RangeInclusive<u64>,
) {
    let index = snapshot.position.index;
    for (part, chunk) in bytes.chunks(SNAPSHOT_PART_BYTES).enumerate() {
        writes.push((snapshot_part_key(index, part as u32), Some(chunk.to_vec())));
    }
    writes.push((SNAPSHOT_KEY.to_vec(), Some(encode(snapshot))));
    if old.position.index != index {
        let parts = 0..snapshot_parts(old);
        writes.extend(parts.map(|part| (snapshot_part_key(old.position.index, part), None)));
    }
    // From the end, so that after a crash the remaining entries still follow the snapshot without a gap.
    writes.extend(compacted.rev().map(remove_entry));
}

/// Loads the whole state.
///
/// # Errors
///
/// Returns [`LoadError`] where the state is damaged. Such a disk may have lost acknowledged state and must not be used.
pub fn load<D: Disk>(store: &mut Store<D>) -> Result<PersistentState, LoadError> {
    let mut state = PersistentState::default();
    if let Some(bytes) = store.get(HARD_STATE_KEY)? {
        state.hard_state = decode("hard state", &bytes)?;
    }
    if let Some(bytes) = store.get(SNAPSHOT_KEY)? {
        state.snapshot = Some(decode("snapshot metadata", &bytes)?);
    }
    let snapshot = state.snapshot.clone().unwrap_or_default();
    state.snapshot_bytes = load_snapshot_bytes(store, &snapshot)?;
    load_log(store, snapshot.position.index, &mut state)?;
    Ok(state)
}

fn load_snapshot_bytes<D: Disk>(store: &mut Store<D>, snapshot: &Snapshot) -> Result<Vec<u8>, LoadError> {
    let mut bytes = Vec::new();
    for part in 0..snapshot_parts(snapshot) {
        let found = store.get(&snapshot_part_key(snapshot.position.index, part))?;
        bytes.extend(found.ok_or(LoadError::MissingSnapshotPart)?);
    }
    let (found, expected) = (bytes.len() as u64, snapshot.total_bytes);
    if found != expected {
        return Err(LoadError::SnapshotLength { found, expected });
    }
    Ok(bytes)
}

/// Reads the entries that follow the snapshot without a gap, and adds the removals of all other entries and snapshot parts to
/// `state.cleanup`.
fn load_log<D: Disk>(
    store: &mut Store<D>,
    snapshot_index: u64,
    state: &mut PersistentState,
) -> Result<(), LoadError> {
    let keys: Vec<Vec<u8>> = store.snapshot().keys(b"").map(<[u8]>::to_vec).collect();
    let mut next = snapshot_index + 1;
    for key in keys {
        match key.split_first() {
            Some((&ENTRY_PREFIX, index)) if index == next.to_be_bytes() => {
                let bytes = store.get(&key)?.unwrap_or_default();
                state.entries.push(decode(format!("entry {next}"), &bytes)?);
                next += 1;
            }
            Some((&ENTRY_PREFIX, _)) => state.cleanup.push((key, None)),
            Some((&SNAPSHOT_PART_PREFIX, suffix))
                if suffix.len() == SNAPSHOT_PART_SUFFIX_BYTES
                    && suffix[..8] != snapshot_index.to_be_bytes() =>
            {
                state.cleanup.push((key, None));
            }
            _ => {}
        }
    }
    Ok(())
}
