//! What the leader knows of each follower.

use crate::{DiskId, Member, NodeId, Time};
use std::collections::{BTreeMap, VecDeque};

/// A follower's progress as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Progress {
    pub(super) disk: DiskId,
    /// Next entry to send.
    pub(super) next_index: u64,
    /// The follower's log is known to match the leader's up to here.
    pub(super) match_index: u64,
    /// The last heartbeat round that it answered.
    pub(super) acked_round: u64,
    /// When it last answered.
    pub(super) last_heard: Time,
    /// Bytes of the snapshot that it has, while one is being sent.
    pub(super) snapshot_offset: Option<u64>,
    /// The last round in which a rejection was answered at once. Once a round is the bound: each answer would bring another
    /// rejection, and duplicated messages ever more.
    pub(super) resent_round: u64,
}

impl Progress {
    pub(super) fn new(member: Member, next_index: u64, now: Time) -> Progress {
        Progress {
            disk: member.disk,
            next_index,
            match_index: 0,
            acked_round: 0,
            last_heard: now,
            snapshot_offset: None,
            resent_round: 0,
        }
    }

    /// Sends again what was sent and not acknowledged since the last heartbeat.
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

    /// Records a rejection: retries from `index` on, but not below what is known to match, as messages arrive in any order.
    /// Returns whether to send at once.
    pub(super) fn record_rejection(&mut self, index: u64, round: u64) -> bool {
        self.next_index = self.next_index.min(index.max(self.match_index) + 1);
        let is_first = self.resent_round != round;
        self.resent_round = round;
        is_first
    }
}

/// The state that only a leader has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Leadership {
    pub(super) followers: BTreeMap<NodeId, Progress>,
    /// Heartbeat round.
    pub(super) round: u64,
    /// Index of its first entry: once that is committed, the leader knows the commit index of all terms before.
    pub(super) first_index: u64,
    /// Index and id of each proposal that is not committed yet.
    pub(super) pending_proposals: VecDeque<(u64, u64)>,
    pub(super) next_heartbeat: Time,
    /// Configured replicas whose disks are not members, and when they last asked to join.
    pub(super) joining: BTreeMap<NodeId, (DiskId, Time)>,
}

impl Leadership {
    pub(super) fn new(others: &[Member], first_index: u64, now: Time) -> Leadership {
        let followers = others.iter().map(|other| (other.id, Progress::new(*other, first_index, now)));
        Leadership {
            followers: followers.collect(),
            first_index,
            next_heartbeat: now,
            ..Leadership::default()
        }
    }

    /// Follows exactly the given members from now on.
    pub(super) fn set_followers(&mut self, others: &[Member], next_index: u64, now: Time) {
        self.followers
            .retain(|id, progress| others.iter().any(|other| (other.id, other.disk) == (*id, progress.disk)));
        for other in others {
            self.followers.entry(other.id).or_insert_with(|| Progress::new(*other, next_index, now));
            self.joining.remove(&other.id);
        }
    }

    /// The last round that the follower answered; 0 where there is no such follower.
    pub(super) fn acked_round(&self, id: NodeId) -> u64 {
        self.followers.get(&id).map_or(0, |progress| progress.acked_round)
    }

    /// The index up to which the follower matches; 0 where there is no such follower.
    pub(super) fn match_index(&self, id: NodeId) -> u64 {
        self.followers.get(&id).map_or(0, |progress| progress.match_index)
    }
}
