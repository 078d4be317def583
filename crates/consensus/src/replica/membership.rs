//! Membership: the first configuration, single-server changes, and the identity of disks.

use super::{Event, Ready, Replica, Role};
use crate::message::{EntryPayload, LogPosition, MessageBody, MAX_MEMBERS};
use crate::storage::{self, Snapshot};
use crate::{Member, StateMachine, Time};

/// Maximum age of a request to join, in minimum election timeouts.
const MAX_JOIN_REQUEST_AGE_TIMEOUTS: Time = 4;

impl<M: StateMachine> Replica<M> {
    /// Sets the replicas that the operator's file names; the leader changes the members accordingly, one at a time.
    pub fn set_configured_replicas(&mut self, configured: std::collections::BTreeSet<crate::NodeId>) {
        self.configured_replicas = configured;
    }

    /// Handles the request of a replica that asks to become a member.
    pub(super) fn handle_join_request(
        &mut self,
        now: Time,
        from: Member,
        empty_disk: bool,
        ready: &mut Ready,
    ) {
        if !self.configured_replicas.contains(&from.id) || from.disk == 0 {
            return;
        }
        if empty_disk {
            self.empty_replicas.insert(from.id, (from.disk, now));
        }
        if !self.is_bootstrapped {
            return;
        }
        if self.is_member(from) {
            // The sender is already a member and has not received the configuration.
            let members = self.members().to_vec();
            return self.send(from, MessageBody::Bootstrap { members }, ready);
        }
        if let Some(leader_state) = self.leader_state_mut() {
            leader_state.joining.insert(from.id, (from.disk, now));
        }
    }

    /// Makes all configured replicas the first members, once each has recently reported an empty disk. The replica with the lowest id
    /// does so.
    pub(super) fn try_bootstrap(&mut self, now: Time, ready: &mut Ready) {
        let oldest_allowed = now - MAX_JOIN_REQUEST_AGE_TIMEOUTS * self.config.min_election_timeout();
        let mut members = vec![self.own];
        for id in self.configured_replicas.iter().filter(|id| **id != self.own.id) {
            match self.empty_replicas.get(id) {
                Some((disk, at)) if *at > oldest_allowed => members.push(Member { id: *id, disk: *disk }),
                _ => return,
            }
        }
        if self.configured_replicas.first() == Some(&self.own.id) {
            ready.events.push(Event::Bootstrapped { members: members.len() });
            self.bootstrap(now, &members, ready);
        }
    }

    /// Takes over the first members, where this replica has no configuration and is one of them.
    pub(super) fn bootstrap(&mut self, now: Time, members: &[Member], ready: &mut Ready) {
        if self.is_bootstrapped || !members.contains(&self.own) {
            return;
        }
        let mut members = members.to_vec();
        members.sort_unstable();
        self.is_bootstrapped = true;
        let (snapshot, no_snapshot) = (Snapshot { members, ..Snapshot::default() }, Snapshot::default());
        let index = snapshot.position.index;
        storage::write_snapshot(&mut ready.writes, &snapshot, &[], &no_snapshot, index + 1..=index);
        self.log.snapshot = snapshot;
        self.voting_allowed_at = now;
        self.reset_election_deadline(now);
    }

    /// Proposes to remove or add one member, where the operator's file and the requests to join require it and no change is
    /// pending.
    pub(super) fn propose_membership_change(&mut self, now: Time, ready: &mut Ready) {
        if self.log.is_membership_change_pending(self.commit_index) || !self.is_leader() {
            return;
        }
        let mut members = self.members().to_vec();
        if let Some(leaving) = self.next_leaving_member() {
            members.retain(|member| *member != leaving);
            ready.events.push(Event::RemovingMember(leaving));
        } else if let Some(joining) = self.next_joining_member(now).filter(|_| members.len() < MAX_MEMBERS) {
            members.push(joining);
            ready.events.push(Event::AddingMember(joining));
        } else {
            return;
        }
        members.sort_unstable();
        self.append_entry(EntryPayload::Membership(members), ready);
        let (others, next_index) = (self.other_members(), self.log.last_index() + 1);
        if let Some(leader_state) = self.leader_state_mut() {
            leader_state.set_followers(&others, next_index, now);
        }
    }

    /// The first member that the operator's file no longer names, or that has asked to join with another disk.
    fn next_leaving_member(&self) -> Option<Member> {
        let joining = &self.leader_state()?.joining;
        let has_other_disk =
            |member: &Member| joining.get(&member.id).is_some_and(|(disk, _)| *disk != member.disk);
        let is_leaving =
            |member: &Member| has_other_disk(member) || !self.configured_replicas.contains(&member.id);
        self.other_members().into_iter().find(is_leaving)
    }

    /// The first configured replica that has recently asked to join and is not a member with any disk.
    fn next_joining_member(&self, now: Time) -> Option<Member> {
        let max_age = MAX_JOIN_REQUEST_AGE_TIMEOUTS * self.config.min_election_timeout();
        let is_named = |id| self.configured_replicas.contains(id);
        let mut joining = self.leader_state()?.joining.iter().filter(|(_, (_, at))| now - at < max_age);
        let (id, (disk, _)) =
            joining.find(|(id, _)| is_named(id) && self.members().iter().all(|member| member.id != **id))?;
        Some(Member { id: *id, disk: *disk })
    }

    /// Records what another replica's disk has acknowledged: a log position, and a term in which it voted.
    pub(super) fn record_acknowledged_state(&mut self, from: Member, position: LogPosition, voted_term: u64) {
        let known = self.acknowledged_states.entry(from.id).or_default();
        if known.disk != from.disk {
            *known = AcknowledgedState { disk: from.disk, ..AcknowledgedState::default() };
        }
        known.last = known.last.max(position);
        known.voted_term = known.voted_term.max(voted_term);
    }

    /// Responds to a replica that has restarted, where its disk is known.
    pub(super) fn handle_disk_check(&mut self, from: Member, ready: &mut Ready) {
        let known = self.acknowledged_states.get(&from.id).copied().unwrap_or_default();
        if known.disk == from.disk {
            self.send_acknowledged_state(from, ready);
        }
    }

    /// Reports to a replica what its disk is known to have acknowledged.
    pub(super) fn send_acknowledged_state(&self, to: Member, ready: &mut Ready) {
        let AcknowledgedState { last, voted_term, .. } =
            self.acknowledged_states.get(&to.id).copied().unwrap_or_default();
        self.send(to, MessageBody::DiskCheckResponse { last, voted_term }, ready);
    }

    /// Compares this disk with what another replica knows it to have acknowledged: a disk that holds less is stale. A replica with a
    /// stale disk must not lead.
    pub(super) fn handle_disk_check_response(
        &mut self,
        now: Time,
        acknowledged: LogPosition,
        voted_term: u64,
        ready: &mut Ready,
    ) {
        let last = self.log.last_position();
        let has_lost_state = acknowledged.index > last.index
            || acknowledged.term > last.term
            || voted_term > self.hard_state.term;
        if self.is_bootstrapped && has_lost_state {
            self.is_disk_stale = true;
            ready.events.push(Event::StaleDisk { disk: self.own.disk, last, acknowledged });
            self.step_down(now, ready);
            self.role = Role::Follower;
        }
    }
}

/// What another replica's disk is known to have acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct AcknowledgedState {
    disk: crate::DiskId,
    last: LogPosition,
    voted_term: u64,
}
