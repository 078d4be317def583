//! Configuration of a replica and its checks.

use crate::{DiskId, NodeId, Time, MS};
use std::collections::BTreeSet;

const DEFAULT_HEARTBEAT_INTERVAL: Time = 20 * MS;
const DEFAULT_SNAPSHOT_THRESHOLD: usize = 4096;
/// The shortest election timeout in heartbeat intervals.
const HEARTBEATS_PER_ELECTION_TIMEOUT: Time = 8;

/// Timing and bounds of the protocol; the same on all replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RaftConfig {
    /// Time between two heartbeats of a leader. All other times derive from it.
    pub heartbeat_interval: Time,
    /// Committed entries after the last snapshot before the next one is taken.
    pub snapshot_threshold: usize,
    /// Safeguards that tests switch off.
    pub disabled_safeguards: DisabledSafeguards,
}

/// Safeguards that a test switches off, to show what they prevent: true is off. All are false outside tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct DisabledSafeguards {
    /// Off: a replica with an empty disk, or on another disk than the message names, votes and counts all the same.
    pub empty_disk_has_no_vote: bool,
    /// Off: messages leave before the writes that they rely on are on the disk.
    pub persist_before_send: bool,
}

/// Who a replica is and how it starts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicaConfig {
    /// Its own id.
    pub id: NodeId,
    /// The replicas that the operator's file names.
    pub configured_replicas: BTreeSet<NodeId>,
    /// Identity of its disk, drawn by whoever opened it when it was empty.
    pub disk: DiskId,
    /// Timing and bounds.
    pub raft: RaftConfig,
    /// Seed of its election timeouts.
    pub seed: u64,
}

/// Why a configuration is not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// Without a positive interval a leader would send heartbeats without end.
    #[error("heartbeat interval must be positive, not {0}")]
    HeartbeatInterval(Time),
    /// With a threshold of 0 each entry would bring a snapshot.
    #[error("snapshot threshold must be at least 1")]
    SnapshotThreshold,
}

impl Default for RaftConfig {
    fn default() -> RaftConfig {
        RaftConfig {
            heartbeat_interval: DEFAULT_HEARTBEAT_INTERVAL,
            snapshot_threshold: DEFAULT_SNAPSHOT_THRESHOLD,
            disabled_safeguards: DisabledSafeguards::default(),
        }
    }
}

impl RaftConfig {
    /// The shortest election timeout: while a leader was heard within it, no other candidate gets a vote. Timeouts are drawn
    /// between it and its double.
    pub fn min_election_timeout(&self) -> Time {
        self.heartbeat_interval * HEARTBEATS_PER_ELECTION_TIMEOUT
    }

    /// Checks the values.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] names the first value that is not valid.
    pub fn validate(&self) -> Result<(), ConfigError> {
        if self.heartbeat_interval <= 0 {
            return Err(ConfigError::HeartbeatInterval(self.heartbeat_interval));
        }
        if self.snapshot_threshold == 0 {
            return Err(ConfigError::SnapshotThreshold);
        }
        Ok(())
    }
}
