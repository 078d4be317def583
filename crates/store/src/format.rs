//! Bytes of segments, records and hints. No I/O.

use crate::{MAX_KEY_BYTES, MAX_VALUE_BYTES};

pub const MAGIC: &[u8; 8] = b"CCLEATS1";
pub const HEADER_BYTES: usize = 36;
/// Length and checksum before, sequence number, kind and length of the key behind.
pub const FRAME_BYTES: usize = 8;
const BODY: usize = 11;
/// Longest record, with its frame.
pub const MAX_RECORD_BYTES: usize = FRAME_BYTES + BODY + MAX_KEY_BYTES + MAX_VALUE_BYTES;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKind {
    Put,
    Remove,
    Mark,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentHeader {
    /// Segments that it stands for.
    pub from: u64,
    pub to: u64,
    /// Valid length of the one before it.
    pub before: u64,
}

impl SegmentHeader {
    pub fn write(&self) -> Vec<u8> {
        let mut out = MAGIC.to_vec();
        for number in [self.from, self.to, self.before] {
            out.extend(number.to_le_bytes());
        }
        out.extend(crc32fast::hash(&out).to_le_bytes());
        out
    }

    /// `Err` tells what is there instead.
    pub fn read(bytes: &[u8]) -> Result<SegmentHeader, String> {
        let Some(bytes) = bytes.get(..HEADER_BYTES) else { return Err("a header cut short".into()) };
        if bytes[..7] != MAGIC[..7] {
            return Err("no header of a segment".into());
        }
        if bytes[7] != MAGIC[7] {
            return Err(format!("format version {:?}", char::from(bytes[7])));
        }
        if crc32fast::hash(&bytes[..32]).to_le_bytes() != bytes[32..] {
            return Err("a header whose checksum does not hold".into());
        }
        Ok(SegmentHeader { from: number(bytes, 8), to: number(bytes, 16), before: number(bytes, 24) })
    }

    /// A version other than ours, in a header that is one.
    pub fn other_version(bytes: &[u8]) -> bool {
        bytes.len() >= 8 && bytes[..7] == MAGIC[..7] && bytes[7] != MAGIC[7]
    }
}

fn number(bytes: &[u8], at: usize) -> u64 {
    let mut eight = [0; 8];
    eight.copy_from_slice(&bytes[at..at + 8]);
    u64::from_le_bytes(eight)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record<'a> {
    pub seq: u64,
    pub kind: RecordKind,
    pub key: &'a [u8],
    pub value: &'a [u8],
    /// With its frame.
    pub size: usize,
}

pub fn write_record(out: &mut Vec<u8>, seq: u64, kind: RecordKind, key: &[u8], value: &[u8]) -> usize {
    let start = out.len();
    out.extend(((BODY + key.len() + value.len()) as u32).to_le_bytes());
    out.extend([0; 4]);
    out.extend(seq.to_le_bytes());
    out.push(kind as u8 + 1);
    out.extend((key.len() as u16).to_le_bytes());
    out.extend(key);
    out.extend(value);
    let sum = crc32fast::hash(&out[start + FRAME_BYTES..]);
    out[start + 4..start + FRAME_BYTES].copy_from_slice(&sum.to_le_bytes());
    out.len() - start
}

/// The record at the start of `bytes`; `Err` says why there is none. The length is believed only within bounds, and only
/// with its checksum, which covers what it spans.
pub fn read_record(bytes: &[u8]) -> Result<Record<'_>, &'static str> {
    let Some(frame) = bytes.get(..FRAME_BYTES) else { return Err("a frame cut short") };
    let length = u32::from_le_bytes([frame[0], frame[1], frame[2], frame[3]]) as usize;
    if !(BODY..=MAX_RECORD_BYTES - FRAME_BYTES).contains(&length) {
        return Err("a length out of bounds");
    }
    let Some(body) = bytes.get(FRAME_BYTES..FRAME_BYTES + length) else { return Err("a record cut short") };
    if crc32fast::hash(body).to_le_bytes() != frame[4..] {
        return Err("a checksum that does not hold");
    }
    let kind = match body[8] {
        1 => RecordKind::Put,
        2 => RecordKind::Remove,
        3 => RecordKind::Mark,
        _ => return Err("an unknown kind"),
    };
    let key = usize::from(u16::from_le_bytes([body[9], body[10]]));
    let Some((key, value)) = body[BODY..].split_at_checked(key) else { return Err("a key past its record") };
    Ok(Record { seq: number(body, 0), kind, key, value, size: FRAME_BYTES + length })
}

/// Where a put's record stands; a hint names one for each, and each removal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hint {
    pub seq: u64,
    pub kind: RecordKind,
    pub offset: u64,
    pub size: u32,
    pub key: Vec<u8>,
}

/// All hints of a segment of so many valid bytes, with a checksum over all.
pub fn write_hints(length: u64, hints: &[Hint]) -> Vec<u8> {
    let mut out = length.to_le_bytes().to_vec();
    for hint in hints {
        out.extend(hint.seq.to_le_bytes());
        out.push(hint.kind as u8 + 1);
        out.extend(hint.offset.to_le_bytes());
        out.extend(hint.size.to_le_bytes());
        out.extend((hint.key.len() as u16).to_le_bytes());
        out.extend(&hint.key);
    }
    let sum = crc32fast::hash(&out);
    out.extend(sum.to_le_bytes());
    out
}

/// `None` where it is not whole, or not of a segment of this length: then the segment is read.
pub fn read_hints(bytes: &[u8], length: u64) -> Option<Vec<Hint>> {
    let (body, sum) = bytes.split_at_checked(bytes.len().checked_sub(4)?)?;
    if crc32fast::hash(body).to_le_bytes() != sum || body.len() < 8 || number(body, 0) != length {
        return None;
    }
    let (mut rest, mut hints) = (&body[8..], Vec::new());
    while !rest.is_empty() {
        let head = rest.get(..23)?;
        let kind = match head[8] {
            1 => RecordKind::Put,
            2 => RecordKind::Remove,
            _ => return None,
        };
        let size = u32::from_le_bytes([head[17], head[18], head[19], head[20]]);
        let key = usize::from(u16::from_le_bytes([head[21], head[22]]));
        let key_bytes = rest.get(23..23 + key)?.to_vec();
        hints.push(Hint { seq: number(head, 0), kind, offset: number(head, 9), size, key: key_bytes });
        rest = &rest[23 + key..];
    }
    Some(hints)
}

pub fn segment_name(to: u64, generation: u32) -> String {
    format!("{to:016x}-{generation:08x}.seg")
}

/// Number and generation of a segment's name, or of that of its hints.
pub fn parse_segment_name(name: &str, ending: &str) -> Option<(u64, u32)> {
    let (to, generation) = name.strip_suffix(ending)?.split_once('-')?;
    let plain = to.len() == 16 && generation.len() == 8;
    let digits = |word: &str| word.bytes().all(|byte| byte.is_ascii_hexdigit() && !byte.is_ascii_uppercase());
    let good = plain && digits(to) && digits(generation);
    good.then(|| Some((u64::from_str_radix(to, 16).ok()?, u32::from_str_radix(generation, 16).ok()?)))?
}
