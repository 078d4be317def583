//! Records of a segment: a frame of length and checksum, then sequence number, kind, length of the key, key, value.

use super::{read_u16, read_u32, read_u64};
use crate::{MAX_KEY_BYTES, MAX_VALUE_BYTES};

/// Frame before a record: length of what follows and its checksum.
pub const FRAME_BYTES: usize = 8;
/// Sequence number, kind and length of the key.
const FIXED_BODY_BYTES: usize = 11;
/// Longest record, with its frame.
pub const MAX_RECORD_BYTES: usize = FRAME_BYTES + FIXED_BODY_BYTES + MAX_KEY_BYTES + MAX_VALUE_BYTES;
/// Length of a mark, with its frame: its key is empty, its value a number.
pub const MARK_BYTES: usize = FRAME_BYTES + FIXED_BODY_BYTES + 8;

const KIND_OFFSET: usize = 8;
const KEY_LENGTH_OFFSET: usize = 9;

/// What a record says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKind {
    /// The key has this value.
    Put,
    /// The key has no value.
    Remove,
    /// The segment had been synced up to the length in the value when this was written.
    Mark,
}

impl RecordKind {
    pub(super) fn encode(self) -> u8 {
        match self {
            RecordKind::Put => 1,
            RecordKind::Remove => 2,
            RecordKind::Mark => 3,
        }
    }

    pub(super) fn decode(byte: u8) -> Option<RecordKind> {
        match byte {
            1 => Some(RecordKind::Put),
            2 => Some(RecordKind::Remove),
            3 => Some(RecordKind::Mark),
            _ => None,
        }
    }
}

/// A record as it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record<'a> {
    /// Its number; a later write has a higher one.
    pub sequence: u64,
    /// What it says.
    pub kind: RecordKind,
    /// Its key; empty for a mark.
    pub key: &'a [u8],
    /// Its value; empty for a removal.
    pub value: &'a [u8],
    /// Its length with the frame.
    pub size: usize,
}

/// Why bytes are no record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// Fewer bytes than a frame has.
    #[error("a frame cut short")]
    FrameCutShort,
    /// No record has this length.
    #[error("a length out of bounds")]
    LengthOutOfBounds,
    /// Fewer bytes than the frame says.
    #[error("a record cut short")]
    CutShort,
    /// The checksum does not hold.
    #[error("a checksum that does not hold")]
    Checksum,
    /// No such kind of record.
    #[error("an unknown kind")]
    UnknownKind,
    /// The key is longer than its record.
    #[error("a key past its record")]
    KeyPastRecord,
    /// A whole record, with a number that cannot stand here.
    #[error("a record that does not follow the one before")]
    OutOfSequence,
}

/// Appends a record to `out` and returns its length.
pub fn encode_record(out: &mut Vec<u8>, sequence: u64, kind: RecordKind, key: &[u8], value: &[u8]) -> usize {
    let start = out.len();
    out.extend(((FIXED_BODY_BYTES + key.len() + value.len()) as u32).to_le_bytes());
    out.extend([0; 4]); // the checksum, once what it covers is there
    out.extend(sequence.to_le_bytes());
    out.push(kind.encode());
    out.extend((key.len() as u16).to_le_bytes());
    out.extend(key);
    out.extend(value);
    let checksum = crc32fast::hash(&out[start + FRAME_BYTES..]);
    out[start + 4..start + FRAME_BYTES].copy_from_slice(&checksum.to_le_bytes());
    out.len() - start
}

/// The record at the start of `bytes`. The length is believed only within bounds, and only with its checksum, which covers
/// what it spans.
///
/// # Errors
/// Says why there is no record.
pub fn decode_record(bytes: &[u8]) -> Result<Record<'_>, RecordError> {
    let Some(frame) = bytes.get(..FRAME_BYTES) else { return Err(RecordError::FrameCutShort) };
    let length = read_u32(frame, 0) as usize;
    if !(FIXED_BODY_BYTES..=MAX_RECORD_BYTES - FRAME_BYTES).contains(&length) {
        return Err(RecordError::LengthOutOfBounds);
    }
    let Some(body) = bytes.get(FRAME_BYTES..FRAME_BYTES + length) else {
        return Err(RecordError::CutShort);
    };
    if crc32fast::hash(body).to_le_bytes() != frame[4..] {
        return Err(RecordError::Checksum);
    }
    let kind = RecordKind::decode(body[KIND_OFFSET]).ok_or(RecordError::UnknownKind)?;
    let key_length = usize::from(read_u16(body, KEY_LENGTH_OFFSET));
    let Some((key, value)) = body[FIXED_BODY_BYTES..].split_at_checked(key_length) else {
        return Err(RecordError::KeyPastRecord);
    };
    Ok(Record { sequence: read_u64(body, 0), kind, key, value, size: FRAME_BYTES + length })
}

/// The synced length that the mark at the start of `bytes` states; `None` where there is no whole mark.
pub fn decode_mark(bytes: &[u8]) -> Option<u64> {
    let bytes = bytes.get(..MARK_BYTES)?;
    // Cheap to rule out: length, kind and empty key of a mark.
    let could_be_mark = read_u32(bytes, 0) as usize == MARK_BYTES - FRAME_BYTES
        && bytes[FRAME_BYTES + KIND_OFFSET] == RecordKind::Mark.encode()
        && read_u16(bytes, FRAME_BYTES + KEY_LENGTH_OFFSET) == 0;
    if !could_be_mark {
        return None;
    }
    decode_record(bytes).ok().map(|record| read_u64(record.value, 0))
}
