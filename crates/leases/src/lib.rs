//! Leases on partitions, with one owner at a time, replicated by the crate `consensus`. Without I/O or clock of its own: time is an
//! argument, messages are plain values, and the same inputs always give the same outputs.
//!
//! | module | concern |
//! | --- | --- |
//! | [`state`] | the replicated state: sessions, owners with their fencing tokens, cursors |
//! | [`manager`] | runs on the leader: renews sessions and expires those whose lease has ended |
//! | [`client`] | runs on an instance: which partitions it owns, and until when |
//! | [`fence`] | runs at the protected resource: whether the token of an operation is still valid |
//! | [`messages`] | messages between instances, operators and the leader |
//! | `simulation` | replicas, instances and a resource in one simulated network (feature `simulation`) |
//!
//! [`expiry`] defines until when an owner may operate on the resource, and by which clock.
//!
//! # Guarantees
//!
//! - Each grant of a partition has a fencing token, the log index at which it was committed. The tokens of a partition only rise, also
//!   when all processes restart, as long as a majority of the replicas' disks survives.
//! - An instance counts its lease from when it *sent* the renewal, shortened by [`expiry::clock_drift_margin`]. The leader counts it from
//!   when it *received* the renewal, and responds only once a majority has confirmed its leadership. While two clocks run apart by no
//!   more than one part in [`expiry::CLOCK_DRIFT_DIVISOR`], an instance stops before the leader grants its partitions to another instance.
//! - Where clocks run further apart, or a process is paused during an operation on the resource, two instances may operate at once. The
//!   resource compares tokens ([`fence`]) and rejects an operation whose token is lower than the highest that it has seen.
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

/// One partition of a task: work that one instance does on behalf of all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Partition {
    /// [`node_id`] of the task's name.
    pub task: u64,
    /// Number of the partition within the task, from 0.
    pub index: u32,
}

/// Position in a session's grants: the token, and the partition that was granted under it.
pub type GrantPosition = (u64, Partition);

/// The position before all grants.
pub const NO_GRANT: GrantPosition = (0, Partition { task: 0, index: 0 });

/// An instance's claim to own partitions of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// [`node_id`] of the task's name.
    pub task: u64,
    /// Number of partitions of the task.
    pub partitions: u32,
    /// Priority: claims with lower ranks are granted first; within a rank, the session with fewer partitions of the task.
    pub rank: u8,
}

/// Maximum number of open sessions.
pub const MAX_SESSIONS: usize = 4096;
/// Maximum number of claims of one session.
pub const MAX_CLAIMS: usize = 32;
/// Maximum number of partitions of all tasks.
pub const MAX_PARTITIONS: usize = 32_768;
/// Maximum length of a cursor.
pub const MAX_CURSOR_BYTES: usize = 128;
/// Maximum number of grants, or of listed partitions, in one message.
pub const MAX_GRANTS_PER_MESSAGE: usize = 512;
/// Maximum number of operations in one message.
pub const MAX_OPERATIONS_PER_MESSAGE: usize = 64;
