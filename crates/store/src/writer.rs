//! Writes: records are buffered, written to the disk by a commit, and acknowledged once they are synced. A segment is abandoned after
//! a failed sync: the operating system may then mark lost pages as clean, so a second sync would prove nothing.

use crate::disk::Disk;
use crate::error::{Error, Result};
use crate::format::{
    encode_hints, encode_record, hint_file_name, segment_file_name, Hint, RecordKind, SegmentHeader,
    HEADER_BYTES,
};
use crate::index::RecordLocation;
use crate::segments::Segment;
use crate::store::Store;
use crate::{MAX_KEY_BYTES, MAX_VALUE_BYTES};

/// The segment that is being written.
#[derive(Default)]
pub(crate) struct ActiveSegment {
    pub number: u64,
    /// Bytes written to the disk.
    pub written_bytes: u64,
    /// Bytes known to be on the disk.
    pub synced_bytes: u64,
    /// One hint for each put and removal in the segment, including those still buffered.
    pub hints: Vec<Hint>,
}

/// State of the writing side.
#[derive(Default)]
pub(crate) struct Writer {
    pub active: ActiveSegment,
    /// Records not yet written to the disk; they will follow `active.written_bytes`.
    pub buffer: Vec<u8>,
    /// Number of the last record.
    pub sequence: u64,
    /// Writes up to this number are acknowledged.
    pub acknowledged: u64,
    pub is_read_only: bool,
}

impl Writer {
    /// Offset of the next record in the active segment.
    fn next_offset(&self) -> u64 {
        self.active.written_bytes + self.buffer.len() as u64
    }

    /// Returns the bytes of a record that is still buffered; `None` if the record was written to the disk.
    pub fn buffered(&self, location: RecordLocation) -> Option<&[u8]> {
        let is_active = location.segment == self.active.number && location.generation == 0;
        if !is_active || location.offset < self.active.written_bytes {
            return None;
        }
        let start = (location.offset - self.active.written_bytes) as usize;
        Some(self.buffer.get(start..start + location.size as usize).unwrap_or(&[]))
    }
}

impl<D: Disk> Store<D> {
    /// Sets the value of a key. Returns the sequence number of the write, which is acknowledged once [`Store::commit`] returns this
    /// number or a higher one.
    ///
    /// # Errors
    /// The key or value is out of bounds, the store is read-only, or the disk failed when a full segment was sealed.
    pub fn put(&mut self, key: &[u8], value: &[u8]) -> Result<u64> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES || value.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge(key.len().max(value.len())));
        }
        self.append(RecordKind::Put, key, value)
    }

    /// Removes a key. Returns the sequence number of the write, as [`Store::put`] does.
    ///
    /// # Errors
    /// As for [`Store::put`].
    pub fn remove(&mut self, key: &[u8]) -> Result<u64> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return Err(Error::TooLarge(key.len()));
        }
        self.append(RecordKind::Remove, key, b"")
    }

    fn append(&mut self, kind: RecordKind, key: &[u8], value: &[u8]) -> Result<u64> {
        if self.writer.is_read_only {
            return Err(Error::ReadOnly);
        }
        if self.writer.next_offset() >= self.options.max_segment_bytes {
            self.rotate()?;
        }
        let writer = &mut self.writer;
        writer.sequence += 1;
        let (segment, offset, sequence) = (writer.active.number, writer.next_offset(), writer.sequence);
        let size = encode_record(&mut writer.buffer, sequence, kind, key, value) as u32;
        writer.active.hints.push(Hint { sequence, kind, offset, size, key: key.to_vec() });
        let location = RecordLocation { segment, generation: 0, offset, size, sequence };
        let location = (kind == RecordKind::Put).then_some(location);
        self.index.apply(&mut self.segments, key, location);
        Ok(sequence)
    }

    /// Bytes that are buffered and not yet written to the disk.
    pub fn pending_bytes(&self) -> usize {
        self.writer.buffer.len()
    }

    /// Writes the buffer to the disk, and syncs unless `sync` is false. Returns the sequence number up to which writes are
    /// acknowledged. Without a sync, acknowledged writes survive the end of the process, but not a crash of the machine.
    ///
    /// # Errors
    /// On an error all unacknowledged writes are rolled back and can no longer be read.
    pub fn commit(&mut self, sync: bool) -> Result<u64> {
        if self.writer.is_read_only {
            return Err(Error::ReadOnly);
        }
        self.write_buffer()?;
        self.segments.set_length(self.writer.active.number, self.writer.active.written_bytes);
        if !sync {
            self.acknowledge();
        } else if self.writer.active.written_bytes > self.writer.active.synced_bytes {
            self.sync_active_segment()?;
        }
        Ok(self.writer.acknowledged)
    }

    /// Writes the buffered records to the active segment.
    fn write_buffer(&mut self) -> Result<()> {
        if self.writer.buffer.is_empty() {
            return Ok(());
        }
        let file = segment_file_name(self.writer.active.number, 0);
        if let Err(error) = self.disk.write(&file, self.writer.active.written_bytes, &self.writer.buffer) {
            self.give_up_write(&file);
            return Err(error);
        }
        let length = self.writer.buffer.len() as u64;
        self.writer.active.written_bytes += length;
        self.counters.written_bytes += length;
        self.writer.buffer.clear();
        Ok(())
    }

    /// Handles a failed write, part of which may be in the file. If the file can be truncated to its earlier length, the segment stays
    /// in use, as the disk may only be full.
    fn give_up_write(&mut self, file: &str) {
        let synced_bytes = self.writer.active.synced_bytes;
        let is_cut_back = self.disk.truncate(file, self.writer.active.written_bytes).is_ok();
        if !is_cut_back || self.writer.active.written_bytes > synced_bytes {
            self.fail_segment();
            return;
        }
        self.roll_back();
        self.writer.active.hints.retain(|hint| hint.offset < synced_bytes);
        self.writer.sequence = self.writer.acknowledged;
    }

    /// Syncs the active segment and acknowledges its records. A mark is buffered after them, which tells recovery the synced length;
    /// the mark itself may be lost.
    fn sync_active_segment(&mut self) -> Result<()> {
        let file = segment_file_name(self.writer.active.number, 0);
        if let Err(error) = self.disk.sync(&file) {
            self.fail_segment();
            return Err(error);
        }
        self.counters.syncs += 1;
        self.writer.active.synced_bytes = self.writer.active.written_bytes;
        self.acknowledge();
        let synced_bytes = self.writer.active.synced_bytes.to_le_bytes();
        self.writer.sequence += 1;
        encode_record(&mut self.writer.buffer, self.writer.sequence, RecordKind::Mark, b"", &synced_bytes);
        Ok(())
    }

    fn acknowledge(&mut self) {
        self.index.acknowledge();
        self.writer.acknowledged = self.writer.sequence;
    }

    /// Rolls back all unacknowledged writes.
    fn roll_back(&mut self) {
        self.index.roll_back(&mut self.segments);
        self.writer.buffer.clear();
    }

    /// Abandons the active segment: it is not written again, its unsynced records are rolled back, and a new segment is started.
    fn fail_segment(&mut self) {
        self.counters.failed_segments += 1;
        self.roll_back();
        let (number, synced_bytes) = (self.writer.active.number, self.writer.active.synced_bytes);
        // Sequence numbers continue past those that may be in the file after the synced length.
        self.writer.sequence += 1;
        self.segments.set_length(number, synced_bytes);
        if self.begin_segment(number + 1, synced_bytes).is_err() {
            self.writer.is_read_only = true;
        }
    }

    /// Creates a segment and makes it the active one. `previous_length` is the valid length of the previous segment.
    pub(crate) fn begin_segment(&mut self, number: u64, previous_length: u64) -> Result<()> {
        let file = segment_file_name(number, 0);
        let header = SegmentHeader { first_segment: number, last_segment: number, previous_length };
        self.disk.create(&file)?;
        self.disk.write(&file, 0, &header.encode())?;
        self.disk.sync(&file)?;
        self.disk.sync_directory()?;
        self.counters.syncs += 2;
        let length = HEADER_BYTES as u64;
        self.segments.insert(number, Segment::new(file, number, 0, length));
        self.writer.active =
            ActiveSegment { number, written_bytes: length, synced_bytes: length, hints: Vec::new() };
        Ok(())
    }

    /// Seals the active segment and starts the next one.
    pub(crate) fn rotate(&mut self) -> Result<()> {
        self.commit(true)?;
        let (number, length) = (self.writer.active.number, self.writer.active.synced_bytes);
        let hints = self.writer.active.hints.clone();
        // If no new segment can be started, this one stays in use with its buffered mark: sequence numbers in a segment are contiguous.
        self.begin_segment(number + 1, length)?;
        self.writer.buffer.clear();
        self.write_hints(&segment_file_name(number, 0), length, &hints);
        Ok(())
    }

    /// Writes the hints of a segment. They only save time at the next start, so they are not synced and errors are ignored.
    pub(crate) fn write_hints(&mut self, segment_file: &str, length: u64, hints: &[Hint]) {
        let file = hint_file_name(segment_file);
        let bytes = encode_hints(length, hints);
        let _ = self.disk.create(&file).and_then(|()| self.disk.write(&file, 0, &bytes));
    }
}
