//! A log-structured key-value store for one process: a log in segments, an ordered index in memory with cheap snapshots,
//! compaction in small bounded steps, and recovery. All disk access goes through [`disk::Disk`]. The crate decides when to sync, how
//! files are encoded and which segments to compact; it uses no clock and no random numbers.
//!
//! # What an acknowledgement guarantees
//!
//! [`Store::commit`] with `sync` returns the number of the last write that is on the disk, synced, with the directory entry of
//! its segment: this write and all earlier writes survive any crash, and no value is read that was never written. `commit(false)`
//! acknowledges writes that were handed to the operating system and not synced: they survive an end of the process, but
//! neither a crash of the machine nor a loss of power. Of the writes not yet acknowledged
//! a prefix, in their order, may survive. A failed sync is final for its segment: the unacknowledged writes in the segment are rolled
//! back, and a new segment is started.
//!
//! # The path of a write
//!
//! | step | where |
//! | --- | --- |
//! | [`Store::put`]: the record is encoded into the buffer, the index points to it, an undo entry is added | `writer`, `index` |
//! | [`Store::commit`]: the buffer is written, the segment synced, the undo entries discarded, a mark buffered | `writer` |
//! | a full segment is sealed, its hints are written, the next segment is started | `writer` |
//! | [`Store::compact_step`]: live records of the oldest segments move to a new file that replaces them | `compaction`, `segments` |
//! | [`Store::open`]: valid segments are found and read, damage is distinguished from a torn end | `recovery` |
//!
//! # Files in the directory
//!
//! `LOCK`, held by one process. Segments `NNNNNNNNNNNNNNNN-GGGGGGGG.seg`, by number and generation, each with a header and
//! records; `.hint` files beside them, which make it unnecessary to read the records; `.tmp` is the output of an interrupted
//! compaction.
//!
//! | offset | header of a segment | record |
//! | --- | --- | --- |
//! | 0 | `CCLEATS1`: magic and format version | length of what follows the checksum: 4 bytes |
//! | 8 | first segment that the file covers: 8 bytes | CRC-32 of what follows: 4 |
//! | 16 | last segment, the file's own number: 8 | sequence number: 8 |
//! | 24 | valid length of the previous segment: 8 | kind: 1 (put, remove, mark) |
//! | 32 | CRC-32 of the above: 4 | length of the key: 2; key; value |
//!
//! All numbers are little-endian. A mark's key is empty; its value is the length that was synced when it was written, by which
//! recovery distinguishes a torn end from damage to synced records. The codec is [`format`].

#![warn(missing_docs)]

mod compaction;
pub mod disk;
mod error;
pub mod format;
mod index;
mod recovery;
mod segments;
#[cfg(feature = "simulation")]
pub mod simulation;
mod snapshot;
mod store;
mod writer;

pub use error::{DamageReason, DiskError, DiskOperation, Error, Result};
pub use snapshot::Snapshot;
pub use store::{Store, StoreOptions, StoreStats};

/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 1024;
/// Longest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
