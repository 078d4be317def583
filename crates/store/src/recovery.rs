//! Recovery: reads the directory and determines which segments are valid, the valid length of each, and what is damage or only a torn
//! end. Recovery only reads; it repairs and removes nothing.

use crate::disk::Disk;
use crate::error::{DamageReason, Error, Result};
use crate::format::{
    decode_hints, decode_mark, decode_record, hint_file_name, parse_segment_name, Hint, RecordError,
    RecordKind, SegmentHeader, FRAME_BYTES, HEADER_BYTES, MARK_BYTES, MAX_RECORD_BYTES, TEMPORARY_SUFFIX,
};

/// Segments are read in pieces of this size.
const READ_BYTES: usize = 256 * 1024;

/// One segment as it was found.
#[derive(Clone, Debug)]
pub(crate) struct RecoveredSegment {
    pub file: String,
    pub first_segment: u64,
    pub number: u64,
    pub generation: u32,
    /// Valid bytes; the bytes after them were never acknowledged.
    pub length: u64,
    /// Every put and removal in the segment, in order.
    pub hints: Vec<Hint>,
    /// The last sequence number in the segment, marks included.
    pub last_sequence: u64,
}

/// What was found in the directory.
#[derive(Clone, Debug, Default)]
pub(crate) struct Recovery {
    /// In the order of the log.
    pub segments: Vec<RecoveredSegment>,
    /// Files that are no longer needed.
    pub obsolete_files: Vec<String>,
    /// Bytes dropped behind the last valid record.
    pub torn_bytes: u64,
    /// With `salvage`: the damage that was found.
    pub damage: Vec<Error>,
}

/// Reads the directory. With `salvage`, damage is reported in the result and the rest of the damaged segment is skipped; otherwise
/// damage is an error.
pub(crate) fn recover(disk: &mut impl Disk, salvage: bool) -> Result<Recovery> {
    let mut reader = Reader { disk, salvage, recovery: Recovery::default() };
    let listing = reader.list_segments()?;
    reader.check_headerless(&listing)?;
    let segments = reader.drop_replaced(listing.segments);
    reader.check_gaps(&segments)?;
    reader.read_segments(&segments)?;
    Ok(reader.recovery)
}

/// A segment's file whose header could be read.
struct SegmentFile {
    name: String,
    generation: u32,
    header: SegmentHeader,
}

impl SegmentFile {
    /// Whether this file is the output of a compaction that replaces all segments the other file covers.
    fn replaces(&self, other: &SegmentFile) -> bool {
        let (own, others) = (&self.header, &other.header);
        let starts_before = own.first_segment < others.first_segment;
        let ends_behind = own.last_segment > others.last_segment;
        let covers = own.first_segment <= others.first_segment && others.last_segment <= own.last_segment;
        let is_newer = self.generation > other.generation || starts_before || ends_behind;
        covers && is_newer && self.generation > 0
    }
}

/// A segment's file whose header could not be read.
struct HeaderlessFile {
    name: String,
    number: u64,
    generation: u32,
}

#[derive(Default)]
struct Listing {
    segments: Vec<SegmentFile>,
    headerless: Vec<HeaderlessFile>,
}

/// End of the records of a segment, and the reason if it is before the valid length.
struct ScanEnd {
    offset: u64,
    reason: Option<RecordError>,
}

struct Reader<'a, D: Disk> {
    disk: &'a mut D,
    salvage: bool,
    recovery: Recovery,
}

impl<D: Disk> Reader<'_, D> {
    fn report_damage(&mut self, error: Error) -> Result<()> {
        if !self.salvage {
            return Err(error);
        }
        self.recovery.damage.push(error);
        Ok(())
    }

    fn list_segments(&mut self) -> Result<Listing> {
        let mut listing = Listing::default();
        for name in self.disk.list()? {
            if let Some((number, generation)) = parse_segment_name(&name) {
                let bytes = self.disk.read(&name, 0, HEADER_BYTES)?;
                if let Some(version) = SegmentHeader::other_version(&bytes) {
                    return Err(Error::Version { file: name, version });
                }
                let header = SegmentHeader::decode(&bytes).ok();
                let is_own =
                    |header: &SegmentHeader| header.last_segment == number && header.first_segment <= number;
                match header.filter(is_own) {
                    Some(header) => listing.segments.push(SegmentFile { name, generation, header }),
                    None => listing.headerless.push(HeaderlessFile { name, number, generation }),
                }
            } else if name.ends_with(TEMPORARY_SUFFIX) {
                self.recovery.obsolete_files.push(name);
            }
        }
        Ok(listing)
    }

    /// Checks the files without a header. If the newest segment has neither header nor records, it was just created: no record is
    /// acknowledged before the header is synced, so nothing is lost. Any other segment without a header is damaged.
    fn check_headerless(&mut self, listing: &Listing) -> Result<()> {
        let newest = listing.segments.iter().map(|segment| segment.header.last_segment).max();
        for file in &listing.headerless {
            let is_newest = newest.is_none_or(|newest| file.number > newest);
            let is_just_created = file.generation == 0 && is_newest && !self.has_record(&file.name)?;
            if !is_just_created {
                self.report_damage(Error::damage(&file.name, 0, DamageReason::Header))?;
            }
            self.recovery.obsolete_files.push(file.name.clone());
        }
        Ok(())
    }

    fn has_record(&mut self, file: &str) -> Result<bool> {
        let bytes = self.disk.read(file, HEADER_BYTES as u64, MAX_RECORD_BYTES)?;
        Ok(decode_record(&bytes).is_ok())
    }

    /// Returns the valid segments in the order of the log. Segments that a compacted one replaces are obsolete.
    fn drop_replaced(&mut self, segments: Vec<SegmentFile>) -> Vec<SegmentFile> {
        let is_replaced =
            |one: &SegmentFile| segments.iter().any(|other| other.name != one.name && other.replaces(one));
        let replaced: Vec<bool> = segments.iter().map(is_replaced).collect();
        let mut remaining = Vec::new();
        for (segment, is_replaced) in segments.into_iter().zip(replaced) {
            if is_replaced {
                self.recovery.obsolete_files.push(segment.name);
            } else {
                remaining.push(segment);
            }
        }
        remaining.sort_by_key(|segment| segment.header.first_segment);
        remaining
    }

    fn check_gaps(&mut self, segments: &[SegmentFile]) -> Result<()> {
        for pair in segments.windows(2) {
            let (expected, found) = (pair[0].header.last_segment + 1, pair[1].header.first_segment);
            if found != expected {
                let reason = DamageReason::MissingSegments { first: expected, last: found - 1 };
                self.report_damage(Error::damage(&pair[1].name, 0, reason))?;
            }
        }
        Ok(())
    }

    fn read_segments(&mut self, segments: &[SegmentFile]) -> Result<()> {
        let mut last_sequence = 0;
        for (at, segment) in segments.iter().enumerate() {
            let next = segments.get(at + 1).map(|next| &next.header);
            let recovered = self.read_segment(segment, next, last_sequence)?;
            last_sequence = last_sequence.max(recovered.last_sequence);
            self.recovery.segments.push(recovered);
        }
        Ok(())
    }

    /// Reads one segment by its hints or, without them, record by record. `next` is the header of the following segment,
    /// `last_sequence` the last sequence number of the previous one.
    fn read_segment(
        &mut self,
        segment: &SegmentFile,
        next: Option<&SegmentHeader>,
        last_sequence: u64,
    ) -> Result<RecoveredSegment> {
        let stored = self.disk.length(&segment.name)?;
        // Sealed segment: the next header has its valid length. Compacted segment: its own header has it, or else it was written by an
        // earlier version, and synced completely before its rename.
        let valid = match (segment.generation, segment.header.previous_length) {
            (0, _) => next.map(|next| next.previous_length),
            (_, 0) => Some(stored),
            (_, own_length) => Some(own_length),
        };
        if let Some(synced_bytes) = valid.filter(|valid| *valid > stored) {
            let reason = DamageReason::TooShort { synced_bytes };
            self.report_damage(Error::damage(&segment.name, stored, reason))?;
        }
        let hints = valid.filter(|valid| *valid <= stored).and_then(|valid| self.read_hints(segment, valid));
        let mut recovered = RecoveredSegment {
            file: segment.name.clone(),
            first_segment: segment.header.first_segment,
            number: segment.header.last_segment,
            generation: segment.generation,
            length: valid.unwrap_or(stored).min(stored),
            hints: Vec::new(),
            last_sequence,
        };
        match hints {
            Some(hints) => {
                let last = hints.last().map_or(last_sequence, |hint| hint.sequence);
                recovered.last_sequence = last.max(last_sequence);
                recovered.hints = hints;
            }
            None => {
                let end = self.scan(&mut recovered)?;
                self.check_end(&recovered.file, &end, valid.is_some(), stored)?;
                recovered.length = end.offset;
            }
        }
        Ok(recovered)
    }

    fn read_hints(&mut self, segment: &SegmentFile, valid: u64) -> Option<Vec<Hint>> {
        let file = hint_file_name(&segment.name);
        let length = self.disk.length(&file).unwrap_or(0);
        let bytes = self.disk.read(&file, 0, length as usize).unwrap_or_default();
        decode_hints(&bytes, valid)
    }

    /// Classifies an early end of the records. It is damage if the valid length is known. In the newest segment it is a torn end,
    /// unless a later mark shows that the position had been synced.
    fn check_end(&mut self, file: &str, end: &ScanEnd, is_length_known: bool, stored: u64) -> Result<()> {
        let Some(reason) = end.reason else { return Ok(()) };
        if is_length_known {
            return self.report_damage(Error::damage(file, end.offset, reason));
        }
        match self.synced_past(file, end.offset, stored)? {
            Some(synced_bytes) => {
                let reason = DamageReason::SyncedRecord { source: reason, synced_bytes };
                self.report_damage(Error::damage(file, end.offset, reason))
            }
            None => {
                self.recovery.torn_bytes += stored - end.offset;
                Ok(())
            }
        }
    }

    /// Reads the records of a segment up to its length. Sequence numbers are contiguous in a segment that was not compacted, and
    /// ascending in a compacted one.
    fn scan(&mut self, segment: &mut RecoveredSegment) -> Result<ScanEnd> {
        let mut pieces = Pieces::new(&segment.file, segment.length);
        let mut offset = HEADER_BYTES as u64;
        let mut is_first = true;
        while offset < segment.length {
            let record = match decode_record(pieces.read_at(self.disk, offset)?) {
                Ok(record) => record,
                Err(reason) => return Ok(ScanEnd { offset, reason: Some(reason) }),
            };
            let is_dense = segment.generation == 0 && !is_first;
            let follows = match is_dense {
                true => record.sequence == segment.last_sequence + 1,
                false => record.sequence > segment.last_sequence,
            };
            if !follows {
                return Ok(ScanEnd { offset, reason: Some(RecordError::OutOfSequence) });
            }
            is_first = false;
            segment.last_sequence = record.sequence;
            if record.kind != RecordKind::Mark {
                let (sequence, kind, size) = (record.sequence, record.kind, record.size as u32);
                segment.hints.push(Hint { sequence, kind, offset, size, key: record.key.to_vec() });
            }
            offset += record.size as u64;
        }
        Ok(ScanEnd { offset, reason: None })
    }

    /// Returns the maximum synced length that a complete mark after `end` states, if that is more than `end`.
    fn synced_past(&mut self, file: &str, end: u64, stored: u64) -> Result<Option<u64>> {
        let mut max_synced = None;
        let mut start = end;
        while start < stored {
            let bytes = self.disk.read(file, start, READ_BYTES + MARK_BYTES)?;
            if bytes.len() < MARK_BYTES {
                break;
            }
            for at in 0..=(bytes.len() - MARK_BYTES).min(READ_BYTES - 1) {
                let synced = decode_mark(&bytes[at..]);
                let is_plausible = |synced: &u64| *synced > end && *synced <= start + at as u64;
                max_synced = max_synced.max(synced.filter(is_plausible));
            }
            start += READ_BYTES as u64;
        }
        Ok(max_synced)
    }
}

/// Reads a file in pieces. Each piece holds at least one complete record, if the file has one there.
struct Pieces {
    file: String,
    length: u64,
    bytes: Vec<u8>,
    /// Offset of `bytes` in the file.
    start: u64,
}

impl Pieces {
    fn new(file: &str, length: u64) -> Pieces {
        Pieces { file: file.to_string(), length, bytes: Vec::new(), start: HEADER_BYTES as u64 }
    }

    /// Returns the bytes from `offset` on, which is in the last piece or right after it.
    fn read_at(&mut self, disk: &mut impl Disk, offset: u64) -> Result<&[u8]> {
        let left = (self.length - offset) as usize;
        let available = self.bytes.len() - (offset - self.start) as usize;
        if available < left.min(FRAME_BYTES) {
            self.read_piece(disk, offset, READ_BYTES.min(left))?;
        }
        if let Some(record_bytes) = self.framed_length(offset) {
            let available = self.bytes.len() - (offset - self.start) as usize;
            if record_bytes > available && record_bytes <= MAX_RECORD_BYTES && available < left {
                self.read_piece(disk, offset, record_bytes.max(READ_BYTES).min(left))?;
            }
        }
        Ok(&self.bytes[(offset - self.start) as usize..])
    }

    /// Length of the record at `offset` according to its frame, if the frame is in the current piece.
    fn framed_length(&self, offset: u64) -> Option<usize> {
        let frame = self.bytes.get((offset - self.start) as usize..)?.get(..4)?;
        Some(u32::from_le_bytes([frame[0], frame[1], frame[2], frame[3]]) as usize + FRAME_BYTES)
    }

    fn read_piece(&mut self, disk: &mut impl Disk, offset: u64, length: usize) -> Result<()> {
        self.bytes = disk.read(&self.file, offset, length)?;
        self.start = offset;
        Ok(())
    }
}
