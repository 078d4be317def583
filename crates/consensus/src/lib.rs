//! Raft for the control replicas: three or five named replicas agree on a sequence of commands. Without I/O, clock or random
//! source of its own: time is an argument, messages and disk writes come back as plain values, and the same inputs always give
//! the same outputs.
//!
//! | module | concern |
//! | --- | --- |
//! | [`replica`] | the state machine: election, replication, membership change, read index, snapshots |
//! | [`message`] | messages between replicas and their encoding |
//! | [`storage`] | the persistent state of a replica: its keys, and how it is loaded |
//! | `sim` | a simulated network with simulated disks, with the feature `simulation` |
//!
//! The algorithm is Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) with pre-vote, check-quorum and single-server
//! membership changes; `docs/design/owners.md` compares the alternatives. One addition: a disk has an identity. A message is
//! addressed to a disk, not to a name, so a replica whose disk was lost or restored from a copy counts as a new replica. It has no
//! vote until the members have added it.
//!
//! # Order of effects
//!
//! Each call returns a [`Ready`]. Its `writes` must be on the disk, in their order, before one of its `messages` is sent or one of
//! its `responses` is returned to a caller. A replica whose disk fails must stop.
//!
//! Times are in tenths of a millisecond.

#![warn(missing_docs)]

pub mod message;
pub mod replica;
#[cfg(feature = "simulation")]
pub mod sim;
pub mod storage;

pub use replica::{ConfigError, Event, ProposalResponse, RaftConfig, Ready, Replica, ReplicaConfig};
use serde::{Deserialize, Serialize};

pub use cypresscleat_primitives::{node_id, NodeId, SeededRng, Time, MS, SECOND};

/// Identity of a disk: drawn at random when the disk is first used, and never reused for another disk.
pub type DiskId = u64;

/// A member of the configuration: a replica together with its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The replica.
    pub id: NodeId,
    /// Its disk.
    pub disk: DiskId,
}

/// The replicated state machine: the same commands in the same order give the same state on each replica.
pub trait StateMachine: Clone {
    /// Applies the command that was committed at `index`; the result is returned to the proposer.
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8>;
    /// Returns the whole state as bytes.
    fn snapshot(&self) -> Vec<u8>;
    /// Restores the state from a snapshot; `None` where the bytes are not a valid snapshot.
    fn from_snapshot(bytes: &[u8]) -> Option<Self>;
}
