//! One owner of a duty at a time, agreed by keepers (crate `quorum`). Without I/O or clock: time is an argument, letters come back
//! as plain values, the same events give the same actions.
//!
//! | module | question |
//! | --- | --- |
//! | [`duties`] | who owns which part of which duty, under which token; where its work stands. The keepers agree on it |
//! | [`desk`] | at the keeper that leads: whose lease is over, what may be answered |
//! | [`holder`] | at an instance: what it owns now, and until when |
//! | [`fence`] | at whatever is acted upon: whether an act's token may still act |
//! | [`said`] | which bytes say what |
//! | [`sim`] | keepers, instances and things acted upon, in one simulated net |
//!
//! # What is promised
//!
//! - Each grant of a part of a duty has a token, the index at which the keepers decided it. Of one part, tokens only rise, over
//!   restarts of everything, as long as a majority of the keepers' disks lives.
//! - An instance counts its lease from when it *asked* to renew, [`holder::early`] shorter than the keepers do, who count it from
//!   when they *heard* that, and only as a leader that a majority confirmed after it heard. While two clocks run alike to within
//!   one part in [`DRIFT`], an instance holds its lease to be over before the keepers give the duty to another.
//! - Where clocks run further apart, or a machine stands still in the middle of an act, two may act at once. What is acted upon
//!   compares tokens ([`fence`]): an act under an older token than it has seen is refused. That is what makes it harmless.
//!
//! Times are whole tenths of a millisecond.

pub mod desk;
pub mod duties;
pub mod fence;
pub mod holder;
pub mod said;
#[cfg(feature = "simulation")]
pub mod sim;

pub use cypresscleat_consensus::{node_id, NodeId, SeededRng, Time, MS, SECOND};
use serde::{Deserialize, Serialize};

/// Clocks may run apart by one part in so many.
pub const DRIFT: Time = 40;

/// A part of a duty: work that one instance does for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Part {
    /// The number of its name.
    pub duty: u64,
    pub part: u32,
}

/// An instance would take the parts of a duty; the lower the rank the sooner, of one rank the one with fewer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Want {
    pub duty: u64,
    pub parts: u32,
    pub rank: u8,
}

/// Bounds.
pub const SESSIONS: usize = 4096;
pub const WANTS: usize = 32;
pub const PARTS: usize = 32_768;
/// Bytes of a cursor.
pub const CURSOR: usize = 128;
/// Parts told of in one letter, and acts on the agreed state in one.
pub const TOLD: usize = 512;
pub const ITEMS: usize = 64;
