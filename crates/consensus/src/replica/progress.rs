//! The leader's state, with the progress of each follower.

use crate::{DiskId, Member, NodeId, Time};
use std::collections::{BTreeMap, VecDeque};

/// The replication progress of a follower, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Progress {
    pub(super) disk: DiskId,
    /// Index of the next entry to send.
    pub(super) next_index: u64,
    /// Index up to which the follower's log is known to match the leader's.
    pub(super) match_index: u64,
    /// The last heartbeat round that the follower responded to.
    pub(super) acked_round: u64,
    /// Time of the follower's last response.
    pub(super) last_contact: Time,
    /// Number of snapshot bytes that the follower has, while a snapshot is being sent.
    pub(super) snapshot_offset: Option<u64>,
    /// The last round in which entries were sent again at once after a rejection. Once per round is the limit: each resend can cause
    /// another rejection, and duplicated messages would multiply them.
    pub(super) resent_round: u64,
}

impl Progress {
    pub(super) fn new(member: Member, next_index: u64, now: Time) -> Progress {
        Progress {
            disk: member.disk,
            next_index,
            match_index: 0,
            acked_round: 0,
            last_contact: now,
            snapshot_offset: None,
            resent_round: 0,
        }
    }

    /// Goes back to the first unacknowledged entry, so that the next message sends it again.
    pub(super) fn rewind_unacknowledged(&mut self) {
        if self.snapshot_offset.is_none() && self.match_index > 0 {
            self.next_index = self.match_index + 1;
        }
    }

    /// Records that the log matches up to `index`.
    pub(super) fn record_match(&mut self, index: u64) {
        self.snapshot_offset = None;
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
    }

    /// Records a rejection: retries from `index` on, but not below the matching index, as messages arrive in any order. Returns
    /// whether to send at once.
    pub(super) fn record_rejection(&mut self, index: u64, round: u64) -> bool {
        self.next_index = self.next_index.min(index.max(self.match_index) + 1);
        let is_first = self.resent_round != round;
        self.resent_round = round;
        is_first
    }
}

/// The state that only a leader has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct LeaderState {
    pub(super) followers: BTreeMap<NodeId, Progress>,
    /// Heartbeat round.
    pub(super) round: u64,
    /// Index of the leader's first entry: once it is committed, all entries of earlier terms are committed too.
    pub(super) first_index: u64,
    /// Index and id of each proposal that is not committed yet.
    pub(super) pending_proposals: VecDeque<(u64, u64)>,
    pub(super) next_heartbeat: Time,
    /// Configured replicas whose disks are not members, and the time of their last request to join.
    pub(super) joining: BTreeMap<NodeId, (DiskId, Time)>,
}

impl LeaderState {
    pub(super) fn new(others: &[Member], first_index: u64, now: Time) -> LeaderState {
        let followers = others.iter().map(|other| (other.id, Progress::new(*other, first_index, now)));
        LeaderState {
            followers: followers.collect(),
            first_index,
            next_heartbeat: now,
            ..LeaderState::default()
        }
    }

    /// Makes the given members the followers.
    pub(super) fn set_followers(&mut self, others: &[Member], next_index: u64, now: Time) {
        self.followers
            .retain(|id, progress| others.iter().any(|other| (other.id, other.disk) == (*id, progress.disk)));
        for other in others {
            self.followers.entry(other.id).or_insert_with(|| Progress::new(*other, next_index, now));
            self.joining.remove(&other.id);
        }
    }

    /// The last round that the follower responded to; 0 where there is no such follower.
    pub(super) fn acked_round(&self, id: NodeId) -> u64 {
        self.followers.get(&id).map_or(0, |progress| progress.acked_round)
    }

    /// The index up to which the follower matches; 0 where there is no such follower.
    pub(super) fn match_index(&self, id: NodeId) -> u64 {
        self.followers.get(&id).map_or(0, |progress| progress.match_index)
    }
}
