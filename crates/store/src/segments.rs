//! The segments of the store, their live bytes, and the files that wait to be removed.

use crate::disk::Disk;
use crate::format::{hint_file_name, HEADER_BYTES};
use crate::index::RecordLocation;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Shared by a segment and the snapshots that read it: the segment's file stays while a snapshot holds a pin.
pub(crate) type Pin = Arc<()>;

/// One segment of the log.
pub(crate) struct Segment {
    /// Name of the segment's file.
    pub file: String,
    /// First segment of the log that this segment covers; the last one is its own number.
    pub first_segment: u64,
    /// 0 as first written, incremented by each compaction.
    pub generation: u32,
    /// Valid bytes.
    pub length: u64,
    /// Bytes of records that the index points to.
    pub live_bytes: u64,
    pub pin: Pin,
}

impl Segment {
    pub fn new(file: String, first_segment: u64, generation: u32, length: u64) -> Segment {
        Segment { file, first_segment, generation, length, live_bytes: 0, pin: Pin::default() }
    }
}

/// A file that no segment uses any more.
struct RetiredFile {
    file: String,
    pin: Pin,
}

/// All segments by number.
#[derive(Default)]
pub(crate) struct SegmentTable {
    segments: BTreeMap<u64, Segment>,
    retired: Vec<RetiredFile>,
}

impl SegmentTable {
    pub fn insert(&mut self, number: u64, segment: Segment) {
        self.segments.insert(number, segment);
    }

    pub fn get(&self, number: u64) -> Option<&Segment> {
        self.segments.get(&number)
    }

    pub fn len(&self) -> usize {
        self.segments.len()
    }

    /// Valid bytes of all segments.
    pub fn total_bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.length).sum()
    }

    /// Live bytes of all segments.
    pub fn live_bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.live_bytes).sum()
    }

    /// Returns pins of all segments; the files stay until the pins are dropped.
    pub fn pins(&self) -> Vec<Pin> {
        self.segments.values().map(|segment| segment.pin.clone()).collect()
    }

    pub fn set_length(&mut self, number: u64, length: u64) {
        if let Some(segment) = self.segments.get_mut(&number) {
            segment.length = length;
        }
    }

    pub fn add_live(&mut self, location: RecordLocation) {
        if let Some(segment) = self.segment_of(location) {
            segment.live_bytes += u64::from(location.size);
        }
    }

    pub fn subtract_live(&mut self, location: RecordLocation) {
        if let Some(segment) = self.segment_of(location) {
            segment.live_bytes = segment.live_bytes.saturating_sub(u64::from(location.size));
        }
    }

    /// Returns the segment of a record, if the segment still has the record's generation.
    fn segment_of(&mut self, location: RecordLocation) -> Option<&mut Segment> {
        let segment = self.segments.get_mut(&location.segment);
        segment.filter(|segment| segment.generation == location.generation)
    }

    /// Numbers of all segments but the active one, oldest first.
    pub fn sealed(&self, active: u64) -> Vec<u64> {
        self.segments.keys().copied().filter(|number| *number != active).collect()
    }

    /// Returns the prefix of the sealed segments with the largest dead fraction; none if that is less than `min_dead_fraction`.
    /// Always a prefix of the log: a removal may be dropped only if no older record is left.
    pub fn choose_for_compaction(&self, active: u64, min_dead_fraction: f64) -> Vec<u64> {
        let sealed = self.sealed(active);
        let (mut total_bytes, mut live_bytes) = (0, 0);
        let (mut best_dead_fraction, mut best_count) = (min_dead_fraction, 0);
        for (at, number) in sealed.iter().enumerate() {
            let segment = &self.segments[number];
            total_bytes += segment.length - HEADER_BYTES as u64;
            live_bytes += segment.live_bytes;
            let dead_fraction = 1.0 - live_bytes as f64 / total_bytes.max(1) as f64;
            if dead_fraction >= best_dead_fraction && total_bytes > 0 {
                (best_dead_fraction, best_count) = (dead_fraction, at + 1);
            }
        }
        sealed[..best_count].to_vec()
    }

    /// Removes a segment from the table; its file is removed later.
    pub fn retire(&mut self, number: u64) {
        if let Some(segment) = self.segments.remove(&number) {
            self.retired.push(RetiredFile { file: segment.file, pin: segment.pin });
        }
    }

    /// Removes retired files that no snapshot needs. A failed removal is retried later; after a restart, recovery finds that another
    /// segment replaces the file.
    pub fn remove_retired_files(&mut self, disk: &mut impl Disk) {
        self.retired.retain(|retired| {
            let is_removed = Arc::strong_count(&retired.pin) == 1 && disk.remove(&retired.file).is_ok();
            if is_removed {
                let _ = disk.remove(&hint_file_name(&retired.file));
            }
            !is_removed
        });
    }
}
