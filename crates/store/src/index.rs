//! The ordered index in memory: the location of the newest record of each key, and the previous location for each write that is not
//! acknowledged, so that such writes can be rolled back.

use crate::format::{Hint, RecordKind};
use crate::segments::SegmentTable;
use imbl::OrdMap;

pub(crate) type Key = Vec<u8>;

/// Location of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RecordLocation {
    /// Number of the record's segment.
    pub segment: u64,
    /// Generation of that segment's file.
    pub generation: u32,
    /// Offset in the file.
    pub offset: u64,
    /// Length of the record with its frame.
    pub size: u32,
    /// Sequence number of the record.
    pub sequence: u64,
}

impl RecordLocation {
    /// Location of the hint's record in the given segment.
    pub fn from_hint(segment: u64, generation: u32, hint: &Hint) -> RecordLocation {
        let (offset, size, sequence) = (hint.offset, hint.size, hint.sequence);
        RecordLocation { segment, generation, offset, size, sequence }
    }
}

/// Location of a key's record before a write.
struct Undo {
    key: Key,
    previous: Option<RecordLocation>,
}

/// Index of all keys. Each change also updates the live bytes of the segments.
#[derive(Default)]
pub(crate) struct Index {
    locations: OrdMap<Key, RecordLocation>,
    /// One entry for each unacknowledged write, in order.
    unacknowledged: Vec<Undo>,
}

impl Index {
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    pub fn get(&self, key: &[u8]) -> Option<RecordLocation> {
        self.locations.get(key).copied()
    }

    /// Returns all current keys. The copy is cheap, as it shares its nodes with the index.
    pub fn snapshot(&self) -> OrdMap<Key, RecordLocation> {
        self.locations.clone()
    }

    /// Adds a put or removal that recovery read; it counts as acknowledged.
    pub fn load(&mut self, segments: &mut SegmentTable, segment: u64, generation: u32, hint: Hint) {
        let location = RecordLocation::from_hint(segment, generation, &hint);
        self.replace(segments, hint.key, (hint.kind == RecordKind::Put).then_some(location));
    }

    /// Applies an unacknowledged write; `None` removes the key.
    pub fn apply(&mut self, segments: &mut SegmentTable, key: &[u8], location: Option<RecordLocation>) {
        let previous = self.replace(segments, key.to_vec(), location);
        self.unacknowledged.push(Undo { key: key.to_vec(), previous });
    }

    /// Marks all writes so far as acknowledged.
    pub fn acknowledge(&mut self) {
        self.unacknowledged.clear();
    }

    /// Rolls back all unacknowledged writes.
    pub fn roll_back(&mut self, segments: &mut SegmentTable) {
        while let Some(undo) = self.unacknowledged.pop() {
            self.replace(segments, undo.key, undo.previous);
        }
    }

    /// Whether the record at `location` is the newest of its key, or would be again if an unacknowledged write were rolled back.
    pub fn is_needed(&self, key: &[u8], location: &RecordLocation) -> bool {
        let is_newest = self.locations.get(key) == Some(location);
        let is_undo_target = |undo: &Undo| undo.key == key && undo.previous.as_ref() == Some(location);
        is_newest || self.unacknowledged.iter().any(is_undo_target)
    }

    /// Updates the location of a record that compaction moved. A key that was overwritten meanwhile keeps its newer location.
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

    /// Sets the location of a key, or removes the key; returns the previous location.
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
