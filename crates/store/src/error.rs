//! Errors of the store and of the disk below it.

use crate::format::RecordError;
use std::fmt;
use std::io;

/// Result of an operation of the store or of its disk.
pub type Result<T> = std::result::Result<T, Error>;

/// Why an operation of the store failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// An operation of the disk failed.
    #[error("{operation} {file}: {source}")]
    Disk {
        /// What was attempted.
        operation: DiskOperation,
        /// Name of the file in the store's directory, or `.` for the directory.
        file: String,
        /// What the disk reported.
        source: DiskError,
    },
    /// Synced bytes differ from what was written.
    #[error("damage in {file} at byte {offset}: {source}")]
    Damage {
        /// Name of the damaged segment.
        file: String,
        /// Offset of the first byte that cannot be trusted.
        offset: u64,
        /// What is wrong there.
        source: DamageReason,
    },
    /// The store was written in a format that this program does not know.
    #[error("unsupported format version {version:?} in {file}")]
    Version {
        /// Name of the segment with that version.
        file: String,
        /// Format version of the segment, the last byte of the magic.
        version: char,
    },
    /// Another process has the store open.
    #[error("another process has this store open")]
    Locked,
    /// A reader made way for a process that opens the store, or is wanted no longer.
    #[error("the read of this store was given up")]
    Interrupted,
    /// A key is empty, or a key or value exceeds its maximum length; the length of the longer one.
    #[error("key or value has an invalid length of {0} bytes")]
    TooLarge(usize),
    /// A segment failed and no other could be created: the store can only be read.
    #[error("the store is read-only, as no segment can be written")]
    ReadOnly,
}

impl Error {
    /// An operation that failed with an I/O error.
    pub fn disk(operation: DiskOperation, file: &str, source: io::Error) -> Error {
        Error::Disk { operation, file: file.to_string(), source: source.into() }
    }

    pub(crate) fn damage(file: &str, offset: u64, source: impl Into<DamageReason>) -> Error {
        Error::Damage { file: file.to_string(), offset, source: source.into() }
    }
}

/// What a disk reported: kind and text of an [`io::Error`], which can be neither cloned nor compared itself.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct DiskError {
    /// Kind of the error.
    pub kind: io::ErrorKind,
    /// Its text.
    pub message: String,
}

impl From<io::Error> for DiskError {
    fn from(error: io::Error) -> DiskError {
        DiskError { kind: error.kind(), message: error.to_string() }
    }
}

/// An operation on a file or on the store's directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)] // each variant is the operation of that name
pub enum DiskOperation {
    CreateDirectory,
    Open,
    Lock,
    List,
    ReadLength,
    Read,
    Create,
    Write,
    Truncate,
    Sync,
    Rename,
    Remove,
}

impl fmt::Display for DiskOperation {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str(match self {
            DiskOperation::CreateDirectory => "create directory",
            DiskOperation::Open => "open",
            DiskOperation::Lock => "lock",
            DiskOperation::List => "list",
            DiskOperation::ReadLength => "read the length of",
            DiskOperation::Read => "read",
            DiskOperation::Create => "create",
            DiskOperation::Write => "write",
            DiskOperation::Truncate => "truncate",
            DiskOperation::Sync => "sync",
            DiskOperation::Rename => "rename",
            DiskOperation::Remove => "remove",
        })
    }
}

/// What is wrong in a damaged segment.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DamageReason {
    /// The bytes are not a valid record.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The bytes are not a valid record, and a later mark shows that they had been synced.
    #[error("{source}, although {synced_bytes} bytes had been synced")]
    SyncedRecord {
        /// Why the record is invalid.
        source: RecordError,
        /// Length of the segment that had been synced.
        synced_bytes: u64,
    },
    /// The header of a segment that may have records cannot be read.
    #[error("the segment header cannot be read")]
    Header,
    /// Segments before this one are missing.
    #[error("segments {first} to {last} are missing")]
    MissingSegments {
        /// First missing one.
        first: u64,
        /// Last missing one.
        last: u64,
    },
    /// The segment is shorter than its synced length.
    #[error("the segment ends here, but {synced_bytes} bytes were synced")]
    TooShort {
        /// Length that had been synced.
        synced_bytes: u64,
    },
    /// The record that the index names is not the one found there.
    #[error("the record here is not the one in the index")]
    OtherRecord,
}
