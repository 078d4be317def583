//! What stands on a keeper's disk: its promises (`h`), the base (`b`) with its image in parts (`s`), and the log (`l`). Writes
//! are ordered such that any first part of them, which is what a crash leaves, reads as something that was promised.

use crate::letter::{Entry, Mark};
use crate::{DiskId, Member, NodeId};
use cypresscleat_store::disk::Disk;
use cypresscleat_store::Store;
use serde::{Deserialize, Serialize};

/// A key, and what stands under it from now on, or nothing.
pub type Write = (Vec<u8>, Option<Vec<u8>>);

/// An image is kept in parts of this size, in bytes.
const PART: usize = 256 * 1024;

/// What may never be taken back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hard {
    /// Which disk this is; 0 on one that was never used.
    pub disk: DiskId,
    pub term: u64,
    pub voted: Option<NodeId>,
}

/// All up to here stands in the image.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Base {
    pub mark: Mark,
    pub members: Vec<Member>,
    pub length: u64,
}

/// What was read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Kept {
    pub hard: Hard,
    /// `None` where nobody has said yet who the members are.
    pub base: Option<Base>,
    pub image: Vec<u8>,
    pub log: Vec<Entry>,
    /// What a crash left of another base or log; to be removed.
    pub stale: Vec<Write>,
}

fn entry_key(index: u64) -> Vec<u8> {
    [b"l".as_slice(), &index.to_be_bytes()].concat()
}

fn part_key(index: u64, part: u32) -> Vec<u8> {
    [b"s".as_slice(), &index.to_be_bytes(), &part.to_be_bytes()].concat()
}

fn bytes<T: Serialize>(what: &T) -> Vec<u8> {
    postcard::to_stdvec(what).unwrap_or_default()
}

pub fn hard(hard: &Hard) -> Write {
    (b"h".to_vec(), Some(bytes(hard)))
}

pub fn entry(index: u64, entry: &Entry) -> Write {
    (entry_key(index), Some(bytes(entry)))
}

pub fn no_entry(index: u64) -> Write {
    (entry_key(index), None)
}

/// A new base: its image first, then itself, then what it stands for goes.
pub fn base(
    writes: &mut Vec<Write>,
    base: &Base,
    image: &[u8],
    old: &Base,
    log: std::ops::RangeInclusive<u64>,
) {
    for (part, piece) in image.chunks(PART).enumerate() {
        writes.push((part_key(base.mark.index, part as u32), Some(piece.to_vec())));
    }
    writes.push((b"b".to_vec(), Some(bytes(base))));
    if old.mark.index != base.mark.index {
        let parts = old.length.div_ceil(PART as u64) as u32;
        writes.extend((0..parts).map(|part| (part_key(old.mark.index, part), None)));
    }
    // From the end, so that what a crash leaves of it begins right behind the base.
    writes.extend(log.rev().map(no_entry));
}

/// Reads it all. `Err` says what is damaged: such a disk is not to be used as if it remembered.
pub fn read<D: Disk>(store: &mut Store<D>) -> Result<Kept, String> {
    let said = |error: cypresscleat_store::Error| error.to_string();
    let mut kept = Kept::default();
    if let Some(found) = store.get(b"h").map_err(said)? {
        kept.hard = postcard::from_bytes(&found).map_err(|error| format!("its promises: {error}"))?;
    }
    if let Some(found) = store.get(b"b").map_err(said)? {
        kept.base = Some(postcard::from_bytes(&found).map_err(|error| format!("its base: {error}"))?);
    }
    let base = kept.base.clone().unwrap_or_default();
    let parts = base.length.div_ceil(PART as u64) as u32;
    for part in 0..parts {
        let found = store.get(&part_key(base.mark.index, part)).map_err(said)?;
        kept.image.extend(found.ok_or("a part of its image is missing")?);
    }
    if kept.image.len() as u64 != base.length {
        return Err(format!("an image of {} bytes in place of {}", kept.image.len(), base.length));
    }
    let snapshot = store.snapshot();
    let keys: Vec<Vec<u8>> = snapshot.keys(b"").map(<[u8]>::to_vec).collect();
    let mut next = base.mark.index + 1;
    for key in keys {
        match key.split_first() {
            Some((b'l', rest)) if rest == next.to_be_bytes() => {
                let found = store.get(&key).map_err(said)?.unwrap_or_default();
                let entry = postcard::from_bytes(&found).map_err(|error| format!("entry {next}: {error}"))?;
                kept.log.push(entry);
                next += 1;
            }
            // Behind a gap, or of before the base: a crash cut off its removal.
            Some((b'l', _)) => kept.stale.push((key, None)),
            Some((b's', rest)) if rest.len() == 12 && rest[..8] != base.mark.index.to_be_bytes() => {
                kept.stale.push((key, None))
            }
            _ => {}
        }
    }
    Ok(kept)
}
