//! Members: the first configuration, single-server changes, and the identity of disks.

use super::{Event, Ready, Replica, Role};
use crate::message::{EntryPayload, LogPosition, MessageBody, MAX_MEMBERS};
use crate::storage::{self, Snapshot};
use crate::{Member, StateMachine, Time};

/// A request to join counts for so many of the shortest election timeouts.
const JOIN_REQUEST_TIMEOUTS: Time = 4;

impl<M: StateMachine> Replica<M> {
    /// Sets the replicas that the operator's file names; the leader changes the members accordingly, one at a time.
    pub fn set_configured_replicas(&mut self, configured: std::collections::BTreeSet<crate::NodeId>) {
        self.configured_replicas = configured;
    }

    /// A replica that is not a member asks to become one.
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
            // It was among the first members, or was added, and has not heard of it.
            let members = self.members().to_vec();
            return self.send(from, MessageBody::Bootstrap { members }, ready);
        }
        if let Some(leadership) = self.leadership_mut() {
            leadership.joining.insert(from.id, (from.disk, now));
        }
    }

    /// Makes all configured replicas the first members, once each has said lately that its disk is empty. The replica with the
    /// least id does so.
    pub(super) fn try_bootstrap(&mut self, now: Time, ready: &mut Ready) {
        let oldest = now - JOIN_REQUEST_TIMEOUTS * self.config.min_election_timeout();
        let mut members = vec![self.own];
        for id in self.configured_replicas.iter().filter(|id| **id != self.own.id) {
            match self.empty_replicas.get(id) {
                Some((disk, at)) if *at > oldest => members.push(Member { id: *id, disk: *disk }),
                _ => return,
            }
        }
        if self.configured_replicas.first() == Some(&self.own.id) {
            ready.events.push(Event::Bootstrapped { members: members.len() });
            self.bootstrap(now, &members, ready);
        }
    }

    /// Takes over the members, where this replica has none and is among them.
    pub(super) fn bootstrap(&mut self, now: Time, members: &[Member], ready: &mut Ready) {
        if self.is_bootstrapped || !members.contains(&self.own) {
            return;
        }
        let mut members = members.to_vec();
        members.sort_unstable();
        self.is_bootstrapped = true;
        let (snapshot, none) = (Snapshot { members, ..Snapshot::default() }, Snapshot::default());
        let index = snapshot.position.index;
        storage::write_snapshot(&mut ready.writes, &snapshot, &[], &none, index + 1..=index);
        self.log.snapshot = snapshot;
        self.vote_embargo_until = now;
        self.reset_election_deadline(now);
    }

    /// Proposes to remove or add one member, where the operator's file and those that ask to join require it and no change is
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
        if let Some(leadership) = self.leadership_mut() {
            leadership.set_followers(&others, next_index, now);
        }
    }

    /// The first member that the file no longer names, or that has come back with another disk.
    fn next_leaving_member(&self) -> Option<Member> {
        let joining = &self.leadership()?.joining;
        let has_other_disk =
            |member: &Member| joining.get(&member.id).is_some_and(|(disk, _)| *disk != member.disk);
        let is_leaving =
            |member: &Member| has_other_disk(member) || !self.configured_replicas.contains(&member.id);
        self.other_members().into_iter().find(is_leaving)
    }

    /// The first configured replica that asked to join lately and has no disk among the members.
    fn next_joining_member(&self, now: Time) -> Option<Member> {
        let max_age = JOIN_REQUEST_TIMEOUTS * self.config.min_election_timeout();
        let is_named = |id| self.configured_replicas.contains(id);
        let mut joining = self.leadership()?.joining.iter().filter(|(_, (_, at))| now - at < max_age);
        let (id, (disk, _)) =
            joining.find(|(id, _)| is_named(id) && self.members().iter().all(|member| member.id != **id))?;
        Some(Member { id: *id, disk: *disk })
    }

    /// Remembers what another disk has promised: a position that it acknowledged, a term that it voted in.
    pub(super) fn record_promise(&mut self, from: Member, position: LogPosition, voted_term: u64) {
        let known = self.known_disks.entry(from.id).or_default();
        if known.disk != from.disk {
            *known = DiskPromise { disk: from.disk, ..DiskPromise::default() };
        }
        known.last = known.last.max(position);
        known.voted_term = known.voted_term.max(voted_term);
    }

    /// Answers a replica that has restarted, where this one knows its disk.
    pub(super) fn handle_disk_check(&mut self, from: Member, ready: &mut Ready) {
        let known = self.known_disks.get(&from.id).copied().unwrap_or_default();
        if known.disk == from.disk {
            self.send_known_promise(from, ready);
        }
    }

    /// Tells a replica what its disk is known to have promised.
    pub(super) fn send_known_promise(&self, to: Member, ready: &mut Ready) {
        let DiskPromise { last, voted_term, .. } = self.known_disks.get(&to.id).copied().unwrap_or_default();
        self.send(to, MessageBody::DiskCheckResponse { last, voted_term }, ready);
    }

    /// Another replica knows what this disk has promised: a disk that holds less is stale. Nobody leads on one.
    pub(super) fn handle_disk_check_response(
        &mut self,
        now: Time,
        acknowledged: LogPosition,
        voted_term: u64,
        ready: &mut Ready,
    ) {
        let last = self.log.last_position();
        let is_short = acknowledged.index > last.index
            || acknowledged.term > last.term
            || voted_term > self.hard_state.term;
        if self.is_bootstrapped && is_short {
            self.is_disk_stale = true;
            ready.events.push(Event::StaleDisk { disk: self.own.disk, last, acknowledged });
            self.step_down(now, ready);
            self.role = Role::Follower;
        }
    }
}

/// What another replica's disk has promised, as far as is known here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct DiskPromise {
    disk: crate::DiskId,
    last: LogPosition,
    voted_term: u64,
}
