//! Codec of the store's files: segment headers, records, hints and file names. No I/O.

mod header;
mod hint;
mod names;
mod record;

pub use header::{HeaderError, SegmentHeader, HEADER_BYTES, MAGIC};
pub use hint::{decode_hints, encode_hints, Hint};
pub use names::{hint_file_name, parse_segment_name, segment_file_name, temporary_file_name};
pub use names::{SEGMENT_SUFFIX, TEMPORARY_SUFFIX};
pub use record::{decode_mark, decode_record, encode_record, Record, RecordError, RecordKind};
pub use record::{FRAME_BYTES, MARK_BYTES, MAX_RECORD_BYTES};

/// The little-endian number of 8 bytes at an offset that the caller has checked.
fn read_u64(bytes: &[u8], offset: usize) -> u64 {
    let mut eight = [0; 8];
    eight.copy_from_slice(&bytes[offset..offset + 8]);
    u64::from_le_bytes(eight)
}

/// The little-endian number of 4 bytes at an offset that the caller has checked.
fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    let mut four = [0; 4];
    four.copy_from_slice(&bytes[offset..offset + 4]);
    u32::from_le_bytes(four)
}

/// The little-endian number of 2 bytes at an offset that the caller has checked.
fn read_u16(bytes: &[u8], offset: usize) -> u16 {
    u16::from_le_bytes([bytes[offset], bytes[offset + 1]])
}
