//! Configuration of a replica and its checks.

use crate::{DiskId, NodeId, Time, MS};
use std::collections::BTreeSet;

const DEFAULT_HEARTBEAT_INTERVAL: Time = 20 * MS;
const DEFAULT_SNAPSHOT_THRESHOLD: usize = 4096;
/// The minimum election timeout, in heartbeat intervals.
const HEARTBEATS_PER_ELECTION_TIMEOUT: Time = 8;

/// Timing and bounds of the protocol; the same on all replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RaftConfig {
    /// Time between two heartbeats of a leader. All other timeouts derive from it.
    pub heartbeat_interval: Time,
    /// Number of committed entries after the last snapshot at which the next snapshot is taken.
    pub snapshot_threshold: usize,
    /// Safeguards that tests disable.
    pub disabled_safeguards: DisabledSafeguards,
}

/// Safeguards that a test disables, to show what they prevent: true disables the safeguard. All are false outside tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct DisabledSafeguards {
    /// Disabled: a replica with an empty disk, or with another disk than the message names, votes and counts toward a majority.
    pub empty_disk_has_no_vote: bool,
    /// Disabled: messages are sent before the writes that they rely on are on the disk.
    pub persist_before_send: bool,
}

/// Identity and configuration of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicaConfig {
    /// Its own id.
    pub id: NodeId,
    /// The replicas that the operator's file names.
    pub configured_replicas: BTreeSet<NodeId>,
    /// Identity of its disk, drawn when the disk was first opened.
    pub disk: DiskId,
    /// Timing and bounds.
    pub raft: RaftConfig,
    /// Seed of the random election timeouts.
    pub seed: u64,
}

/// An invalid configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// Without a positive interval a leader would send heartbeats without end.
    #[error("heartbeat interval must be positive, not {0}")]
    HeartbeatInterval(Time),
    /// With a threshold of 0 a snapshot would be taken after each entry.
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
    /// The minimum election timeout. A replica that has received a message from the leader within this time grants no vote. Timeouts
    /// are drawn between this time and its double.
    pub fn min_election_timeout(&self) -> Time {
        self.heartbeat_interval * HEARTBEATS_PER_ELECTION_TIMEOUT
    }

    /// Validates the values.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] with the first invalid value.
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
