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

#![warn(missing_docs)]

mod compaction;
pub mod disk;
mod error;
pub mod format;
mod index;
mod recovery;
mod segments;
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
