//! The store: opening, reading, statistics. Writing is in [`crate::writer`], compaction in [`crate::compaction`].

use crate::compaction::Compaction;
use crate::disk::Disk;
use crate::error::{DamageReason, Error, Result};
use crate::format::{decode_record, hint_file_name, segment_file_name, Hint};
use crate::index::{Index, Key, RecordLocation};
use crate::recovery::{recover, RecoveredSegment, Recovery};
use crate::segments::{Segment, SegmentTable};
use crate::snapshot::Snapshot;
use crate::writer::{ActiveSegment, Writer};

/// Options of a store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreOptions {
    /// A segment is sealed once it exceeds this many bytes.
    pub max_segment_bytes: u64,
    /// The oldest segments are compacted once this fraction of their bytes is dead.
    pub min_dead_fraction: f64,
    /// Maximum number of bytes that one compaction step reads; a write waits for one step at most.
    pub compaction_step_bytes: usize,
    /// Opens the readable part of a damaged store, read-only.
    pub salvage: bool,
}

impl Default for StoreOptions {
    fn default() -> StoreOptions {
        StoreOptions {
            max_segment_bytes: 4 << 20,
            min_dead_fraction: 0.5,
            compaction_step_bytes: 256 * 1024,
            salvage: false,
        }
    }
}

/// Statistics: the current contents, and counters since the store was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StoreStats {
    /// Keys with a value.
    pub keys: usize,
    /// Segments, the active one included.
    pub segments: usize,
    /// Valid bytes of all segments.
    pub segment_bytes: u64,
    /// Of those, bytes of records that hold the current value of a key.
    pub live_bytes: u64,
    /// Number of the last record that was written, marks included.
    pub last_sequence: u64,
    /// Writes up to this number are acknowledged.
    pub acknowledged_sequence: u64,
    /// Syncs of files and of the directory.
    pub syncs: u64,
    /// Bytes of records written to the disk, including those of compaction.
    pub written_bytes: u64,
    /// Bytes of segments that compaction wrote.
    pub compacted_bytes: u64,
    /// Segments in which a write or sync failed.
    pub failed_segments: u64,
    /// Bytes dropped behind the last valid record when the store was opened.
    pub torn_bytes: u64,
}

/// A key-value store on one directory of a disk.
pub struct Store<D: Disk> {
    pub(crate) disk: D,
    pub(crate) options: StoreOptions,
    pub(crate) index: Index,
    pub(crate) segments: SegmentTable,
    pub(crate) writer: Writer,
    pub(crate) compaction: Option<Compaction>,
    /// The counters of the statistics; [`Store::stats`] fills in the fields that are derived from the state.
    pub(crate) counters: StoreStats,
    damage: Vec<Error>,
}

impl<D: Disk> Store<D> {
    /// Opens a store and recovers its state; an empty directory is an empty store.
    ///
    /// # Errors
    /// The store is damaged, has another format version, or a disk operation failed.
    pub fn open(mut disk: D, options: StoreOptions) -> Result<Store<D>> {
        let Recovery { segments, obsolete_files, torn_bytes, damage } = recover(&mut disk, options.salvage)?;
        let mut store = Store {
            disk,
            options,
            index: Index::default(),
            segments: SegmentTable::default(),
            writer: Writer { is_read_only: options.salvage, ..Writer::default() },
            compaction: None,
            counters: StoreStats { torn_bytes, ..StoreStats::default() },
            damage,
        };
        let newest = segments.last().cloned();
        for segment in segments {
            store.disk.check_interruption()?;
            store.load_segment(segment);
        }
        store.writer.acknowledged = store.writer.sequence;
        if store.writer.is_read_only {
            return Ok(store);
        }
        store.remove_obsolete_files(obsolete_files)?;
        match newest {
            Some(newest) if newest.generation == 0 => store.resume_segment(newest)?,
            Some(newest) => store.begin_segment(newest.number + 1, 0)?,
            None => store.begin_segment(1, 0)?,
        }
        Ok(store)
    }

    fn load_segment(&mut self, found: RecoveredSegment) {
        let RecoveredSegment { file, first_segment, number, generation, length, hints, last_sequence } =
            found;
        self.segments.insert(number, Segment::new(file, first_segment, generation, length));
        for hint in hints {
            self.index.load(&mut self.segments, number, generation, hint);
        }
        self.writer.sequence = self.writer.sequence.max(last_sequence);
    }

    /// Removes obsolete files, after a sync of the directory has made the files that replace them durable.
    fn remove_obsolete_files(&mut self, files: Vec<String>) -> Result<()> {
        if files.is_empty() {
            return Ok(());
        }
        self.disk.sync_directory()?;
        for file in files {
            self.disk.remove(&file)?;
            let hint_file = hint_file_name(&file);
            if hint_file != file && self.disk.length(&hint_file).is_ok() {
                self.disk.remove(&hint_file)?;
            }
        }
        self.disk.sync_directory()
    }

    /// Continues to write in the newest segment. A torn end is truncated, so that none of it follows new records, and the records that
    /// were read are synced.
    fn resume_segment(&mut self, newest: RecoveredSegment) -> Result<()> {
        let (number, length) = (newest.number, newest.length);
        let file = segment_file_name(number, 0);
        if self.disk.length(&file)? > length {
            self.disk.truncate(&file, length)?;
        }
        self.disk.sync(&file)?;
        let hints: Vec<Hint> = newest.hints;
        self.writer.active = ActiveSegment { number, written_bytes: length, synced_bytes: length, hints };
        Ok(())
    }

    /// Damage that was found in a salvaged store.
    pub fn damage(&self) -> &[Error] {
        &self.damage
    }

    /// Returns the disk without any further write, as a crash would leave it.
    pub fn into_disk(self) -> D {
        self.disk
    }

    /// The value of a key.
    ///
    /// # Errors
    /// The disk failed, or what it returned is not what was written.
    pub fn get(&mut self, key: &[u8]) -> Result<Option<Vec<u8>>> {
        let location = self.index.get(key);
        location.map(|location| self.read_value(location, key)).transpose()
    }

    /// The value that a key had when the snapshot was taken.
    ///
    /// # Errors
    /// The disk failed, or what it returned is not what was written.
    pub fn get_at(&mut self, snapshot: &Snapshot, key: &[u8]) -> Result<Option<Vec<u8>>> {
        let location = snapshot.locations.get(key).copied();
        location.map(|location| self.read_value(location, key)).transpose()
    }

    /// A view of all keys as they are now.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot { locations: self.index.snapshot(), _pins: self.segments.pins() }
    }

    fn read_value(&mut self, location: RecordLocation, key: &[u8]) -> Result<Vec<u8>> {
        let file = segment_file_name(location.segment, location.generation);
        let bytes = match self.writer.buffered(location) {
            Some(bytes) => bytes.to_vec(),
            None => self.disk.read(&file, location.offset, location.size as usize)?,
        };
        match decode_record(&bytes) {
            Ok(record) if record.sequence == location.sequence && record.key == key => {
                Ok(record.value.to_vec())
            }
            Ok(_) => Err(Error::damage(&file, location.offset, DamageReason::OtherRecord)),
            Err(reason) => Err(Error::damage(&file, location.offset, reason)),
        }
    }

    /// Returns the current statistics.
    pub fn stats(&self) -> StoreStats {
        StoreStats {
            keys: self.index.len(),
            segments: self.segments.len(),
            segment_bytes: self.segments.total_bytes(),
            live_bytes: self.segments.live_bytes(),
            last_sequence: self.writer.sequence,
            acknowledged_sequence: self.writer.acknowledged,
            ..self.counters
        }
    }

    /// Reads the value of every key; returns all damage that was found.
    pub fn verify(&mut self) -> Vec<Error> {
        let all: Vec<(Key, RecordLocation)> =
            self.index.snapshot().iter().map(|(key, location)| (key.clone(), *location)).collect();
        all.into_iter().filter_map(|(key, location)| self.read_value(location, &key).err()).collect()
    }
}
