//! The ordered index in memory: where the newest record of each key stands, and what stood there before each write that is not
//! acknowledged, so that such writes can be rolled back.

use crate::format::{Hint, RecordKind};
use crate::segments::SegmentTable;
use imbl::OrdMap;

pub(crate) type Key = Vec<u8>;

/// Where a record stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RecordLocation {
    /// Number of its segment.
    pub segment: u64,
    /// Generation of that segment's file.
    pub generation: u32,
    /// Offset in the file.
    pub offset: u64,
    /// Length with its frame.
    pub size: u32,
    /// Its sequence number.
    pub sequence: u64,
}

impl RecordLocation {
    /// Where the hint's record stands, in that segment.
    pub fn from_hint(segment: u64, generation: u32, hint: &Hint) -> RecordLocation {
        let (offset, size, sequence) = (hint.offset, hint.size, hint.sequence);
        RecordLocation { segment, generation, offset, size, sequence }
    }
}

/// What the index said of a key before a write.
struct Undo {
    key: Key,
    previous: Option<RecordLocation>,
}

/// Index of all keys. Each change also updates how many live bytes the segments count.
#[derive(Default)]
pub(crate) struct Index {
    locations: OrdMap<Key, RecordLocation>,
    /// One for each write that is not acknowledged, in their order.
    unacknowledged: Vec<Undo>,
}

impl Index {
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    pub fn get(&self, key: &[u8]) -> Option<RecordLocation> {
        self.locations.get(key).copied()
    }

    /// All keys as they are now; cheap, as the copy shares its nodes with the index.
    pub fn snapshot(&self) -> OrdMap<Key, RecordLocation> {
        self.locations.clone()
    }

    /// Adds what recovery read: a put or a removal that is acknowledged.
    pub fn load(&mut self, segments: &mut SegmentTable, segment: u64, generation: u32, hint: Hint) {
        let location = RecordLocation::from_hint(segment, generation, &hint);
        self.replace(segments, hint.key, (hint.kind == RecordKind::Put).then_some(location));
    }

    /// Applies a write that is not acknowledged yet; `None` removes the key.
    pub fn apply(&mut self, segments: &mut SegmentTable, key: &[u8], location: Option<RecordLocation>) {
        let previous = self.replace(segments, key.to_vec(), location);
        self.unacknowledged.push(Undo { key: key.to_vec(), previous });
    }

    /// All writes so far are acknowledged.
    pub fn acknowledge(&mut self) {
        self.unacknowledged.clear();
    }

    /// Takes back all writes that are not acknowledged.
    pub fn roll_back(&mut self, segments: &mut SegmentTable) {
        while let Some(undo) = self.unacknowledged.pop() {
            self.replace(segments, undo.key, undo.previous);
        }
    }

    /// Whether the record there is the newest of its key, or would be again if a write that is not acknowledged were rolled
    /// back.
    pub fn needs(&self, key: &[u8], location: &RecordLocation) -> bool {
        let is_newest = self.locations.get(key) == Some(location);
        let waits = |undo: &Undo| undo.key == key && undo.previous.as_ref() == Some(location);
        is_newest || self.unacknowledged.iter().any(waits)
    }

    /// A compaction moved a record. A key that was written anew meanwhile keeps its newer location.
    pub fn relocate(
        &mut self,
        segments: &mut SegmentTable,
        key: &Key,
        from: RecordLocation,
        to: RecordLocation,
    ) {
        if self.locations.get(key) == Some(&from) {
            self.replace(segments, key.clone(), Some(to));
        }
        for undo in self.unacknowledged.iter_mut().filter(|undo| undo.key == *key) {
            if undo.previous == Some(from) {
                undo.previous = Some(to);
            }
        }
    }

    /// Sets the location of a key, or takes the key out; returns the location before.
    fn replace(
        &mut self,
        segments: &mut SegmentTable,
        key: Key,
        location: Option<RecordLocation>,
    ) -> Option<RecordLocation> {
        if let Some(location) = location {
            segments.add_live(location);
        }
        let previous = match location {
            Some(location) => self.locations.insert(key, location),
            None => self.locations.remove(&key),
        };
        if let Some(previous) = previous {
            segments.subtract_live(previous);
        }
        previous
    }
}
