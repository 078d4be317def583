//! One owner of a task at a time, agreed by replicas (crate `quorum`). Without I/O or clock: time is an argument, letters come back
//! as plain values, the same events give the same actions.
//!
//! | module | question |
//! | --- | --- |
//! | [`state`] | who owns which part of which task, under which token; where its work stands. The replicas agree on it |
//! | [`manager`] | at the replica that leads: whose lease is over, what may be answered |
//! | [`client`] | at an instance: what it owns now, and until when |
//! | [`fence`] | at whatever is acted upon: whether an act's token may still act |
//! | [`messages`] | which bytes say what |
//! | [`simulation`] | replicas, instances and things acted upon, in one simulated net |
//!
//! # What is promised
//!
//! - Each grant of a part of a task has a token, the index at which the replicas decided it. Of one partition, tokens only rise, over
//!   restarts of everything, as long as a majority of the replicas' disks incarnations.
//! - An instance counts its lease from when it *asked* to renew, [`client::early`] shorter than the replicas do, who count it from
//!   when they *heard* that, and only as a leader that a majority confirmed after it heard. While two clocks run alike to within
//!   one part in [`CLOCK_DRIFT_DIVISOR`], an instance holds its lease to be over before the replicas give the task to another.
//! - Where clocks run further apart, or a machine stands still in the middle of an act, two may act at once. What is acted upon
//!   compares tokens ([`fence`]): an act under an older token than it has seen is refused. That is what makes it harmless.
//!
//! Times are whole tenths of a millisecond.

pub mod client;
pub mod fence;
pub mod manager;
pub mod messages;
pub mod simulation;
pub mod state;

pub use cypresscleat_consensus::{node_id, NodeId, SeededRng, Time, MS, SECOND};
use serde::{Deserialize, Serialize};

/// Clocks may run apart by one part in so many.
pub const CLOCK_DRIFT_DIVISOR: Time = 40;

/// A part of a task: work that one instance does for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Partition {
    /// The number of its name.
    pub task: u64,
    pub index: u32,
}

/// An instance would take the partitions of a task; the lower the rank the sooner, of one rank the one with fewer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    pub task: u64,
    pub partitions: u32,
    pub rank: u8,
}

/// Bounds.
pub const MAX_SESSIONS: usize = 4096;
pub const MAX_CLAIMS: usize = 32;
pub const MAX_PARTITIONS: usize = 32_768;
/// Bytes of a cursor.
pub const MAX_CURSOR_BYTES: usize = 128;
/// Partitions told of in one letter, and acts on the agreed state in one.
pub const MAX_GRANTS_PER_MESSAGE: usize = 512;
pub const MAX_OPERATIONS_PER_MESSAGE: usize = 64;
