//! A small embedded store: a log in segments, an ordered index in memory with cheap snapshots, compaction that never stops
//! writers for longer than one step, and recovery. All disk work goes through [`disk::Disk`]; what to sync when, what a
//! file's bytes mean and which segments to compact is decided here, without I/O of its own, clock or chance.
//!
//! # What acknowledged promises
//!
//! [`Store::commit`] returns the number of the last write that is on the disk, synced, with the folder entry of its segment:
//! it and all before it are there after any crash, and nothing is there that was never written. Writes not yet
//! acknowledged may be there, as a first part of them in their order. A sync that failed is final for its segment: what was
//! not acknowledged in it is given up, and a new segment is begun.
//!
//! # What lies in the folder
//!
//! `LOCK`, held by one process. Segments `IIIIIIIIIIIIIIII-GGGGGGGG.seg`, by number and generation, each with a header and
//! records; hints beside them, `.hint`, which save reading them; `.tmp` is what a crash left behind.
//!
//! | bytes | header of a segment | record |
//! | --- | --- | --- |
//! | 0 | `CCLEATS1`: magic and format version | length of what follows behind the checksum: 4 |
//! | 8 | first segment it covers: 8 | CRC-32 of what follows: 4 |
//! | 16 | last one, its own number: 8 | sequence number: 8 |
//! | 24 | valid length of the segment before: 8 | kind: 1 (put, remove, mark) |
//! | 32 | CRC-32 of the above: 4 | length of the key: 2; key; value |
//!
//! All numbers little-endian. A mark's key is empty; its value is the length that was synced when it was written, by which
//! recovery tells a torn end from damage to what had been synced.

pub mod disk;
pub mod format;
pub mod measure;
pub mod recovery;
pub mod simulation;
mod store;

pub use store::{Snapshot, Store, StoreOptions, StoreStats};

use std::fmt;

/// Longest key and value, in bytes.
pub const MAX_KEY_BYTES: usize = 1024;
pub const MAX_VALUE_BYTES: usize = 1 << 20;

#[derive(Clone, Debug, PartialEq)]
pub enum Error {
    /// The disk said so: which operation, on which file, and what.
    Disk { doing: &'static str, file: String, what: String, full: bool },
    /// What had been synced is not what was written: file and offset.
    Damage { file: String, offset: u64, what: String },
    /// A store of a version that this program does not know.
    Version(String),
    /// Another process has it.
    Locked,
    /// A key or value out of bounds.
    TooLarge(usize),
    /// A segment failed and no other could be begun: what is there can be read.
    ReadOnly,
}

impl fmt::Display for Error {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Error::Disk { doing, file, what, .. } => write!(to, "{doing} {file}: {what}"),
            Error::Damage { file, offset, what } => write!(to, "damage in {file} at byte {offset}: {what}"),
            Error::Version(found) => write!(to, "a store of another format: {found}"),
            Error::Locked => write!(to, "another process has this store open"),
            Error::TooLarge(bytes) => write!(to, "a key or value of {bytes} bytes"),
            Error::ReadOnly => write!(to, "read-only, as no segment can be written"),
        }
    }
}

impl std::error::Error for Error {}

pub type Result<T> = std::result::Result<T, Error>;
