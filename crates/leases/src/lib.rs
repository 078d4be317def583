//! One owner of a partition at a time, agreed by replicas (crate `consensus`). No I/O, no clock: time is an argument, messages are plain
//! values, the same events give the same actions.
//!
//! | module | job |
//! | --- | --- |
//! | [`state`] | the replicated state: sessions, owners with their tokens, cursors |
//! | [`manager`] | runs on the leader: renews sessions and expires those whose lease has ended |
//! | [`client`] | runs on an instance: what it owns now, and until when |
//! | [`fence`] | runs at the resource that is acted upon: whether an act's token is still valid |
//! | [`messages`] | messages between instances, operators and the leader |
//! | `simulation` | replicas, instances and a resource in one simulated network (feature `simulation`) |
//!
//! Who may act until when, by whose clock, stands in [`expiry`].
//!
//! # Guarantees
//!
//! - Each grant of a partition has a token, the log index at which it was decided. The tokens of one partition only rise, over restarts
//!   of everything, as long as a majority of the replicas' disks survives.
//! - An instance counts its lease from when it *sent* the renewal, shortened by [`expiry::clock_drift_margin`]; the leader counts it from
//!   when it *received* the renewal, and answers only once a majority has confirmed that it leads. While two clocks run apart by no more
//!   than one part in [`expiry::CLOCK_DRIFT_DIVISOR`], an instance stops before the leader gives its partitions to another.
//! - Where clocks run further apart, or a process stands still in the middle of an act, two may act at once. The resource compares tokens
//!   ([`fence`]) and rejects an act under a token older than it has seen.
//!
//! Times are in tenths of a millisecond.

#![warn(missing_docs)]

pub mod client;
pub mod fence;
pub mod manager;
pub mod messages;
#[cfg(feature = "simulation")]
pub mod simulation;
pub mod state;

pub use cypresscleat_consensus::{node_id, NodeId, SeededRng, Time, MS, SECOND};
pub use cypresscleat_sessions::expiry;
use serde::{Deserialize, Serialize};

/// One partition of a task: work that one instance does for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Partition {
    /// [`node_id`] of the task's name.
    pub task: u64,
    /// Number of the partition within the task, from 0.
    pub index: u32,
}

/// Position in a session's grants: the token, and the partition that was granted under it.
pub type GrantPosition = (u64, Partition);

/// Before all grants.
pub const NO_GRANT: GrantPosition = (0, Partition { task: 0, index: 0 });

/// An instance's offer to own partitions of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// [`node_id`] of the task's name.
    pub task: u64,
    /// Partitions that the task has.
    pub partitions: u32,
    /// Lower ranks own first; within a rank, whoever owns fewer partitions.
    pub rank: u8,
}

/// Open sessions.
pub const MAX_SESSIONS: usize = 4096;
/// Claims of one session.
pub const MAX_CLAIMS: usize = 32;
/// Partitions of all tasks.
pub const MAX_PARTITIONS: usize = 32_768;
/// Length of a cursor.
pub const MAX_CURSOR_BYTES: usize = 128;
/// Grants, or partitions of a list, in one message.
pub const MAX_GRANTS_PER_MESSAGE: usize = 512;
/// Operations in one message.
pub const MAX_OPERATIONS_PER_MESSAGE: usize = 64;
