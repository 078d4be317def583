//! Compaction in bounded steps: the live records of the oldest segments are copied to a new file, which then takes their place.
//!
//! A compaction copies the records, then renames the output to its final name, then updates the index. Before the rename the inputs
//! are valid and the compaction can be abandoned. After the rename the output replaces the inputs, also after a crash.

use crate::disk::Disk;
use crate::error::{Error, Result};
use crate::format::{
    decode_record, encode_record, segment_file_name, temporary_file_name, Hint, Record, RecordKind,
    SegmentHeader, HEADER_BYTES, MAX_RECORD_BYTES,
};
use crate::index::{Key, RecordLocation};
use crate::segments::Segment;
use crate::store::Store;

/// A compaction step updates one index entry for each of this many bytes of its read limit.
const STEP_BYTES_PER_INDEX_ENTRY: usize = 256;

/// A compaction in progress.
pub(crate) struct Compaction {
    /// Numbers of the segments that are replaced, oldest first.
    inputs: Vec<u64>,
    /// Current file of the output: its temporary name until all records are copied.
    file: String,
    first_segment: u64,
    number: u64,
    generation: u32,
    /// Position in `inputs` of the segment that is copied next, and the offset in that segment.
    next_input: usize,
    input_offset: u64,
    /// Output not yet written to the disk.
    buffer: Vec<u8>,
    written_bytes: u64,
    moves: Vec<Move>,
    /// After the rename: number of moves that are applied to the index.
    moves_done: Option<usize>,
}

/// A live record that was copied.
struct Move {
    key: Key,
    from: RecordLocation,
    to: Hint,
}

impl Compaction {
    fn has_copied_all(&self) -> bool {
        self.next_input >= self.inputs.len()
    }

    /// Whether the output has replaced the inputs while the index still points to them.
    fn is_moving(&self) -> bool {
        self.moves_done.is_some_and(|done| done < self.moves.len())
    }
}

/// The segment that a step copies from.
struct CopyInput {
    number: u64,
    file: String,
    generation: u32,
    length: u64,
}

impl<D: Disk> Store<D> {
    /// Runs one bounded step; returns true while there is more to do. Writes are possible between steps.
    ///
    /// # Errors
    /// The disk failed, or an input is damaged. The compaction is abandoned; the next step starts over.
    pub fn compact_step(&mut self) -> Result<bool> {
        self.remove_retired_files();
        if self.writer.is_read_only {
            return Ok(false);
        }
        let Some(mut compaction) = self.compaction.take() else {
            let active = self.writer.active.number;
            let inputs = self.segments.choose_for_compaction(active, self.options.min_dead_fraction);
            return self.start_compaction(inputs);
        };
        let result = self.advance(&mut compaction);
        match result {
            Ok(false) => self.compaction = Some(compaction),
            Ok(true) => {}
            // Abandoned: errors occur only before the rename of the output, so the inputs are still there.
            Err(_) => drop(self.disk.remove(&compaction.file)),
        }
        result.map(|is_finished| !is_finished)
    }

    /// Compacts all sealed segments, however small their dead fraction is.
    ///
    /// # Errors
    /// As for [`Store::compact_step`].
    pub fn compact_all(&mut self) -> Result<()> {
        self.finish_compaction()?;
        if self.writer.active.written_bytes > HEADER_BYTES as u64 || !self.writer.buffer.is_empty() {
            self.rotate()?;
        }
        let inputs = self.segments.sealed(self.writer.active.number);
        self.start_compaction(inputs)?;
        self.finish_compaction()
    }

    fn finish_compaction(&mut self) -> Result<()> {
        while self.compaction.is_some() {
            self.compact_step()?;
        }
        Ok(())
    }

    fn start_compaction(&mut self, inputs: Vec<u64>) -> Result<bool> {
        let (Some(&first), Some(&number)) = (inputs.first(), inputs.last()) else { return Ok(false) };
        let (Some(oldest), Some(newest)) = (self.segments.get(first), self.segments.get(number)) else {
            return Ok(false);
        };
        let (first_segment, generation) = (oldest.first_segment, newest.generation + 1);
        let file = temporary_file_name(&segment_file_name(number, generation));
        self.disk.create(&file)?;
        let header = SegmentHeader { first_segment, last_segment: number, previous_length: 0 };
        self.compaction = Some(Compaction {
            inputs,
            file,
            first_segment,
            number,
            generation,
            next_input: 0,
            input_offset: HEADER_BYTES as u64,
            buffer: header.encode(),
            written_bytes: 0,
            moves: Vec::new(),
            moves_done: None,
        });
        Ok(true)
    }

    /// Returns true once the compaction is finished.
    fn advance(&mut self, compaction: &mut Compaction) -> Result<bool> {
        if compaction.moves_done.is_some() {
            return Ok(self.move_index_entries(compaction));
        }
        if compaction.has_copied_all() {
            self.replace_inputs(compaction)?;
        } else {
            self.copy_step(compaction)?;
        }
        Ok(false)
    }

    /// Copies the live records of one piece of an input.
    fn copy_step(&mut self, compaction: &mut Compaction) -> Result<()> {
        let number = compaction.inputs[compaction.next_input];
        let Some(segment) = self.segments.get(number) else {
            compaction.next_input += 1;
            return Ok(());
        };
        let (file, generation, length) = (segment.file.clone(), segment.generation, segment.length);
        let input = CopyInput { number, file, generation, length };
        compaction.input_offset += self.copy_piece(compaction, &input)?;
        if compaction.input_offset >= length {
            (compaction.next_input, compaction.input_offset) =
                (compaction.next_input + 1, HEADER_BYTES as u64);
        }
        if compaction.buffer.len() >= self.options.compaction_step_bytes || compaction.has_copied_all() {
            self.disk.write(&compaction.file, compaction.written_bytes, &compaction.buffer)?;
            compaction.written_bytes += compaction.buffer.len() as u64;
            self.counters.written_bytes += compaction.buffer.len() as u64;
            compaction.buffer.clear();
        }
        Ok(())
    }

    /// Reads a piece of the input and buffers its live records; returns the length of the complete records in the piece.
    fn copy_piece(&mut self, compaction: &mut Compaction, input: &CopyInput) -> Result<u64> {
        let step_bytes = self.options.compaction_step_bytes;
        let start = compaction.input_offset;
        let left = (input.length - start.min(input.length)) as usize;
        let bytes = self.disk.read(&input.file, start, left.min(step_bytes.max(MAX_RECORD_BYTES)))?;
        let mut at = 0;
        while at < bytes.len() && at < step_bytes {
            let offset = start + at as u64;
            let record = match decode_record(&bytes[at..]) {
                Ok(record) => record,
                Err(_) if bytes.len() < left && at > 0 => break, // the rest of the record is read in the next step
                Err(reason) => return Err(Error::damage(&input.file, offset, reason)),
            };
            self.copy_if_live(compaction, input, offset, &record);
            at += record.size;
        }
        Ok(at as u64)
    }

    /// Buffers a record if it is live. A record that was replaced by an unacknowledged write is live too: the write may be rolled back.
    fn copy_if_live(&self, compaction: &mut Compaction, input: &CopyInput, offset: u64, record: &Record) {
        let from = RecordLocation {
            segment: input.number,
            generation: input.generation,
            offset,
            size: record.size as u32,
            sequence: record.sequence,
        };
        if record.kind != RecordKind::Put || !self.index.is_needed(record.key, &from) {
            return;
        }
        let offset = compaction.written_bytes + compaction.buffer.len() as u64;
        let (sequence, kind, key) = (record.sequence, RecordKind::Put, record.key.to_vec());
        let size = encode_record(&mut compaction.buffer, sequence, kind, record.key, record.value) as u32;
        let to = Hint { sequence, kind, offset, size, key: key.clone() };
        compaction.moves.push(Move { key, from, to });
    }

    /// Renames the complete output, which then replaces the inputs. Their files stay until the index points to the output.
    fn replace_inputs(&mut self, compaction: &mut Compaction) -> Result<()> {
        let header = SegmentHeader {
            first_segment: compaction.first_segment,
            last_segment: compaction.number,
            previous_length: compaction.written_bytes,
        };
        self.disk.write(&compaction.file, 0, &header.encode())?;
        self.disk.sync(&compaction.file)?;
        let file = segment_file_name(compaction.number, compaction.generation);
        self.disk.rename(&compaction.file, &file)?;
        self.disk.sync_directory()?;
        self.counters.syncs += 2;
        self.counters.compacted_bytes += compaction.written_bytes;
        compaction.file = file.clone();
        compaction.moves_done = Some(0);
        let hints: Vec<Hint> = compaction.moves.iter().map(|one| one.to.clone()).collect();
        self.write_hints(&file, compaction.written_bytes, &hints);
        for number in &compaction.inputs {
            self.segments.retire(*number);
        }
        let (first_segment, generation) = (compaction.first_segment, compaction.generation);
        let segment = Segment::new(file, first_segment, generation, compaction.written_bytes);
        self.segments.insert(compaction.number, segment);
        Ok(())
    }

    /// Updates the index for some more of the copied records. Returns true once all are updated.
    fn move_index_entries(&mut self, compaction: &mut Compaction) -> bool {
        let start = compaction.moves_done.unwrap_or(0);
        let count = (self.options.compaction_step_bytes / STEP_BYTES_PER_INDEX_ENTRY).max(1);
        let end = (start + count).min(compaction.moves.len());
        for one in &compaction.moves[start..end] {
            let to = RecordLocation::from_hint(compaction.number, compaction.generation, &one.to);
            self.index.relocate(&mut self.segments, &one.key, one.from, to);
        }
        compaction.moves_done = Some(end);
        if compaction.is_moving() {
            return false;
        }
        self.remove_retired_files();
        true
    }

    /// Removes retired files, unless the index still points to records in them.
    fn remove_retired_files(&mut self) {
        if !self.compaction.as_ref().is_some_and(Compaction::is_moving) {
            self.segments.remove_retired_files(&mut self.disk);
        }
    }
}
