//! Records of a segment: a frame of length and checksum, then sequence number, kind, length of the key, key, value.

use super::{read_u16, read_u32, read_u64};
use crate::{MAX_KEY_BYTES, MAX_VALUE_BYTES};

/// Frame before a record: length of what follows and its checksum.
pub const FRAME_BYTES: usize = 8;
/// Sequence number, kind and length of the key.
const FIXED_BODY_BYTES: usize = 11;
/// Longest record, with its frame.
pub const MAX_RECORD_BYTES: usize = FRAME_BYTES + FIXED_BODY_BYTES + MAX_KEY_BYTES + MAX_VALUE_BYTES;
/// Length of a mark with its frame: the key is empty, the value is a number of 8 bytes.
pub const MARK_BYTES: usize = FRAME_BYTES + FIXED_BODY_BYTES + 8;

const KIND_OFFSET: usize = 8;
const KEY_LENGTH_OFFSET: usize = 9;

/// Kind of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKind {
    /// The key has this value.
    Put,
    /// The key has no value.
    Remove,
    /// The segment had been synced up to the length in the value when this mark was written.
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

/// A decoded record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record<'a> {
    /// Sequence number; a later write has a higher one.
    pub sequence: u64,
    /// Kind of the record.
    pub kind: RecordKind,
    /// Key; empty for a mark.
    pub key: &'a [u8],
    /// Value; empty for a removal.
    pub value: &'a [u8],
    /// Length of the record with its frame.
    pub size: usize,
}

/// Why bytes are not a valid record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// Fewer bytes than a frame has.
    #[error("truncated record frame")]
    FrameCutShort,
    /// The length is outside the bounds of a record.
    #[error("record length out of bounds")]
    LengthOutOfBounds,
    /// Fewer bytes than the length in the frame.
    #[error("truncated record")]
    CutShort,
    /// The checksum does not match.
    #[error("record checksum mismatch")]
    Checksum,
    /// The kind of record is unknown.
    #[error("unknown record kind")]
    UnknownKind,
    /// The key is longer than its record.
    #[error("key exceeds its record")]
    KeyPastRecord,
    /// A valid record with a sequence number that is wrong at this position.
    #[error("record out of sequence")]
    OutOfSequence,
}

/// Appends a record to `out` and returns its length.
pub fn encode_record(out: &mut Vec<u8>, sequence: u64, kind: RecordKind, key: &[u8], value: &[u8]) -> usize {
    let start = out.len();
    out.extend(((FIXED_BODY_BYTES + key.len() + value.len()) as u32).to_le_bytes());
    out.extend([0; 4]); // filled with the checksum once the body is written
    out.extend(sequence.to_le_bytes());
    out.push(kind.encode());
    out.extend((key.len() as u16).to_le_bytes());
    out.extend(key);
    out.extend(value);
    let checksum = crc32fast::hash(&out[start + FRAME_BYTES..]);
    out[start + 4..start + FRAME_BYTES].copy_from_slice(&checksum.to_le_bytes());
    out.len() - start
}

/// Decodes the record at the start of `bytes`. The length is accepted only within its bounds, and only if the checksum over the bytes
/// that it spans matches.
///
/// # Errors
/// Why `bytes` do not start with a valid record.
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

/// Returns the synced length in the mark at the start of `bytes`; `None` if there is no complete mark.
pub fn decode_mark(bytes: &[u8]) -> Option<u64> {
    let bytes = bytes.get(..MARK_BYTES)?;
    // A cheap check first: length, kind and empty key of a mark.
    let could_be_mark = read_u32(bytes, 0) as usize == MARK_BYTES - FRAME_BYTES
        && bytes[FRAME_BYTES + KIND_OFFSET] == RecordKind::Mark.encode()
        && read_u16(bytes, FRAME_BYTES + KEY_LENGTH_OFFSET) == 0;
    if !could_be_mark {
        return None;
    }
    decode_record(bytes).ok().map(|record| read_u64(record.value, 0))
}
