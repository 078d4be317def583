//! Hints of a segment: the location of each put and removal, so that recovery does not need to read the values.

use super::{read_u16, read_u32, read_u64, RecordKind};

/// Sequence number, kind, offset, size and length of the key.
const FIXED_HINT_BYTES: usize = 23;
/// Length of the segment that the hints belong to.
const LENGTH_BYTES: usize = 8;
const CHECKSUM_BYTES: usize = 4;

/// Location of the record of a put or removal in its segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hint {
    /// Sequence number of the record.
    pub sequence: u64,
    /// Put or removal.
    pub kind: RecordKind,
    /// Offset in the segment.
    pub offset: u64,
    /// Length of the record with its frame.
    pub size: u32,
    /// Key of the record.
    pub key: Vec<u8>,
}

/// Encodes all hints of a segment with `segment_length` valid bytes, followed by a checksum.
pub fn encode_hints(segment_length: u64, hints: &[Hint]) -> Vec<u8> {
    let mut out = segment_length.to_le_bytes().to_vec();
    for hint in hints {
        out.extend(hint.sequence.to_le_bytes());
        out.push(hint.kind.encode());
        out.extend(hint.offset.to_le_bytes());
        out.extend(hint.size.to_le_bytes());
        out.extend((hint.key.len() as u16).to_le_bytes());
        out.extend(&hint.key);
    }
    let checksum = crc32fast::hash(&out);
    out.extend(checksum.to_le_bytes());
    out
}

/// Decodes the hints of a segment with `segment_length` valid bytes; `None` if they are incomplete or belong to another length. The
/// segment itself must then be read.
pub fn decode_hints(bytes: &[u8], segment_length: u64) -> Option<Vec<Hint>> {
    let (body, checksum) = bytes.split_at_checked(bytes.len().checked_sub(CHECKSUM_BYTES)?)?;
    if crc32fast::hash(body).to_le_bytes() != checksum {
        return None;
    }
    if body.len() < LENGTH_BYTES || read_u64(body, 0) != segment_length {
        return None;
    }
    let mut rest = &body[LENGTH_BYTES..];
    let mut hints = Vec::new();
    while !rest.is_empty() {
        let fixed = rest.get(..FIXED_HINT_BYTES)?;
        let kind = RecordKind::decode(fixed[8]).filter(|kind| *kind != RecordKind::Mark)?;
        let end = FIXED_HINT_BYTES + usize::from(read_u16(fixed, 21));
        hints.push(Hint {
            sequence: read_u64(fixed, 0),
            kind,
            offset: read_u64(fixed, 9),
            size: read_u32(fixed, 17),
            key: rest.get(FIXED_HINT_BYTES..end)?.to_vec(),
        });
        rest = &rest[end..];
    }
    Some(hints)
}
