//! Header of a segment.

use super::read_u64;

/// First bytes of each segment; the last one is the format version.
pub const MAGIC: &[u8; 8] = b"CCLEATS1";
/// Length of a segment's header.
pub const HEADER_BYTES: usize = 36;

const VERSION_OFFSET: usize = MAGIC.len() - 1;
const CHECKSUM_OFFSET: usize = HEADER_BYTES - 4;

/// Header of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentHeader {
    /// First segment of the log that this segment covers.
    pub first_segment: u64,
    /// Last segment that it covers: its own number.
    pub last_segment: u64,
    /// Valid length of the previous segment. A compacted segment is the first of its log and has none before it: there this is
    /// its own length, or 0 where an earlier version of the program wrote it.
    pub previous_length: u64,
}

/// Why bytes are not a valid segment header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// Fewer bytes than a header has.
    #[error("truncated header")]
    CutShort,
    /// The magic is wrong.
    #[error("not a segment header")]
    Magic,
    /// A format version that this program does not know.
    #[error("format version {0:?}")]
    Version(char),
    /// The checksum does not match.
    #[error("header checksum mismatch")]
    Checksum,
}

impl SegmentHeader {
    /// Encodes the header.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = MAGIC.to_vec();
        for number in [self.first_segment, self.last_segment, self.previous_length] {
            out.extend(number.to_le_bytes());
        }
        out.extend(crc32fast::hash(&out).to_le_bytes());
        out
    }

    /// Decodes the header at the start of `bytes`.
    ///
    /// # Errors
    /// Why `bytes` do not start with a valid header.
    pub fn decode(bytes: &[u8]) -> Result<SegmentHeader, HeaderError> {
        let Some(bytes) = bytes.get(..HEADER_BYTES) else { return Err(HeaderError::CutShort) };
        if bytes[..VERSION_OFFSET] != MAGIC[..VERSION_OFFSET] {
            return Err(HeaderError::Magic);
        }
        if let Some(version) = SegmentHeader::other_version(bytes) {
            return Err(HeaderError::Version(version));
        }
        if crc32fast::hash(&bytes[..CHECKSUM_OFFSET]).to_le_bytes() != bytes[CHECKSUM_OFFSET..] {
            return Err(HeaderError::Checksum);
        }
        Ok(SegmentHeader {
            first_segment: read_u64(bytes, 8),
            last_segment: read_u64(bytes, 16),
            previous_length: read_u64(bytes, 24),
        })
    }

    /// Returns the format version of a segment header if it differs from the version of this program.
    pub fn other_version(bytes: &[u8]) -> Option<char> {
        let magic = bytes.get(..MAGIC.len())?;
        let is_segment = magic[..VERSION_OFFSET] == MAGIC[..VERSION_OFFSET];
        let is_other = magic[VERSION_OFFSET] != MAGIC[VERSION_OFFSET];
        (is_segment && is_other).then(|| char::from(magic[VERSION_OFFSET]))
    }
}
