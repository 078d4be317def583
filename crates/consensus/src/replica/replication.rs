//! Log replication: heartbeats, sending and accepting entries, committing and applying.

use super::{Event, ProposalResponse, Ready, Replica};
use crate::message::{
    Entry, EntryPayload, LogPosition, Message, MessageBody, MAX_COMMAND_BYTES, MAX_PAYLOAD_BYTES,
};
use crate::{Member, NodeId, StateMachine, Time};

/// Maximum size of an entry in a message, without its command.
const ENTRY_OVERHEAD_BYTES: usize = 16;
/// Maximum size of an entry without a command in a message.
const ENTRY_WITHOUT_COMMAND_BYTES: usize = 64;

fn encoded_size_bound(entry: &Entry) -> usize {
    match &entry.payload {
        EntryPayload::Command(bytes) => bytes.len() + ENTRY_OVERHEAD_BYTES,
        EntryPayload::NoOp | EntryPayload::Membership(_) => ENTRY_WITHOUT_COMMAND_BYTES,
    }
}

/// The acknowledgement in a follower's response.
pub(super) enum Acknowledgement {
    /// The follower's log matches up to this index.
    Match(u64),
    /// The follower's log did not match: the leader retries from this index on.
    Rejection(u64),
    /// A part of a snapshot.
    SnapshotPart,
}

impl<M: StateMachine> Replica<M> {
    /// Proposes a command. `None` where this replica is not the leader or the command is too long; otherwise the response is
    /// in a later [`Ready`], under `proposal_id`.
    pub fn propose(&mut self, now: Time, proposal_id: u64, command: Vec<u8>) -> Option<Ready> {
        if !self.is_leader() || command.len() > MAX_COMMAND_BYTES {
            return None;
        }
        let mut ready = Ready::default();
        let index = self.append_entry(EntryPayload::Command(command), &mut ready);
        if let Some(leader_state) = self.leader_state_mut() {
            leader_state.pending_proposals.push_back((index, proposal_id));
        }
        self.replicate_to_all(&mut ready);
        self.advance_commit_index(now, &mut ready);
        Some(ready)
    }

    /// Starts a heartbeat round: steps down without a recent response of a majority, otherwise proposes a membership change where one
    /// is required, and sends each follower the entries that it lacks.
    pub(super) fn send_heartbeats(&mut self, now: Time, ready: &mut Ready) {
        let next_heartbeat = now + self.config.heartbeat_interval;
        let Some(leader_state) = self.leader_state_mut() else { return };
        leader_state.next_heartbeat = next_heartbeat;
        leader_state.round += 1;
        leader_state.followers.values_mut().for_each(|progress| progress.rewind_unacknowledged());
        if !self.leader_state().is_some_and(|leader_state| self.has_quorum_contact(leader_state, now)) {
            return self.step_down(now, ready);
        }
        self.propose_membership_change(now, ready);
        self.replicate_to_all(ready);
        self.advance_commit_index(now, ready);
    }

    pub(super) fn append_entry(&mut self, payload: EntryPayload, ready: &mut Ready) -> u64 {
        let entry = Entry { term: self.hard_state.term, payload };
        self.log.append(entry, &mut ready.writes)
    }

    fn replicate_to_all(&mut self, ready: &mut Ready) {
        let Some(leader_state) = self.leader_state() else { return };
        let followers: Vec<NodeId> = leader_state.followers.keys().copied().collect();
        for follower in followers {
            self.replicate_to(follower, ready);
        }
    }

    /// Sends a follower the entries that it lacks, or a part of the snapshot where they are compacted.
    pub(super) fn replicate_to(&mut self, follower: NodeId, ready: &mut Ready) {
        let Some(leader_state) = self.leader_state() else { return };
        let Some(progress) = leader_state.followers.get(&follower) else { return };
        let (round, next_index, disk) = (leader_state.round, progress.next_index, progress.disk);
        let needs_snapshot = next_index <= self.log.snapshot_index();
        let offset = progress.snapshot_offset.unwrap_or(0);
        let mut sent_entries = 0;
        let body = if needs_snapshot {
            self.snapshot_part(round, offset)
        } else {
            let entries = self.entries_from(next_index);
            sent_entries = entries.len() as u64;
            let previous = self.log.position(next_index - 1).unwrap_or_default();
            MessageBody::AppendEntries { round, previous, entries, commit: self.commit_index }
        };
        self.send(Member { id: follower, disk }, body, ready);
        let Some(leader_state) = self.leader_state_mut() else { return };
        if let Some(progress) = leader_state.followers.get_mut(&follower) {
            progress.next_index += sent_entries;
            progress.snapshot_offset = needs_snapshot.then_some(offset);
        }
    }

    /// The entries from `index` on that fit in one message; at least one where there is any.
    fn entries_from(&self, index: u64) -> Vec<Entry> {
        let (mut entries, mut size) = (Vec::new(), 0);
        for entry in (index..=self.log.last_index()).map_while(|index| self.log.entry(index)) {
            size += encoded_size_bound(entry);
            if size > MAX_PAYLOAD_BYTES && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Commits the entries that a majority holds. Only entries of the leader's own term are committed by counting replicas; earlier
    /// entries are committed with them (Raft, section 3.6.2).
    pub(super) fn advance_commit_index(&mut self, now: Time, ready: &mut Ready) {
        let Some(leader_state) = self.leader_state() else { return };
        let replicated = self.majority_value(self.log.last_index(), |id| leader_state.match_index(id));
        let is_own_term =
            self.log.position(replicated).is_some_and(|position| position.term == self.hard_state.term);
        if replicated <= self.commit_index || !is_own_term {
            return;
        }
        self.apply_up_to(replicated, ready);
        let is_removed = !self.is_member(self.own);
        if is_removed && !self.log.is_membership_change_pending(self.commit_index) {
            ready.events.push(Event::RemovedItself);
            self.step_down(now, ready);
        }
    }

    /// Commits and applies all entries up to `index`, and takes a snapshot once the log reaches the snapshot threshold.
    pub(super) fn apply_up_to(&mut self, index: u64, ready: &mut Ready) {
        let index = index.min(self.log.last_index());
        while self.commit_index < index {
            self.apply_next(ready);
        }
        let uncompacted = self.commit_index - self.log.snapshot_index();
        if uncompacted as usize >= self.config.snapshot_threshold {
            self.take_snapshot(ready);
        }
    }

    fn apply_next(&mut self, ready: &mut Ready) {
        let index = self.commit_index + 1;
        let result = match self.log.entry(index).map(|entry| &entry.payload) {
            Some(EntryPayload::Command(command)) => self.state_machine.apply(index, command),
            _ => Vec::new(),
        };
        self.commit_index = index;
        let Some(leader_state) = self.leader_state_mut() else { return };
        let pending = &mut leader_state.pending_proposals;
        while let Some((_, proposal_id)) = pending.pop_front_if(|(at, _)| *at == index) {
            let result = result.clone();
            ready.responses.push(ProposalResponse::Applied { proposal_id, index, result });
        }
    }

    /// Appends the leader's entries after `previous`. Returns whether the log matched at `previous`, and the index up to which it now
    /// matches or from which the leader should retry.
    pub(super) fn append_from_leader(
        &mut self,
        previous: LogPosition,
        entries: &[Entry],
        ready: &mut Ready,
    ) -> (bool, u64) {
        if previous.index > self.log.last_index() {
            return (false, self.log.last_index());
        }
        if previous.index > self.log.snapshot_index() && self.log.position(previous.index) != Some(previous) {
            return (false, self.before_conflicting_term(previous.index));
        }
        let mut index = previous.index;
        for entry in entries {
            index += 1;
            if index <= self.commit_index {
                continue; // committed entries are the same on all replicas
            }
            match self.log.position(index) {
                Some(position) if position.term == entry.term => continue,
                Some(_) => self.log.truncate_from(index, &mut ready.writes),
                None => {}
            }
            self.log.append(entry.clone(), &mut ready.writes);
        }
        (true, index)
    }

    /// The last index before the term that conflicts at `index`, so that the leader skips a whole term with each rejection.
    fn before_conflicting_term(&self, index: u64) -> u64 {
        let term = self.log.position(index).map_or(0, |position| position.term);
        let mut index = index;
        while index > self.commit_index
            && self.log.position(index).is_some_and(|position| position.term == term)
        {
            index -= 1;
        }
        index
    }

    /// Records a follower's response. Returns false where the response is ignored.
    pub(super) fn handle_acknowledgement(
        &mut self,
        now: Time,
        message: &Message,
        round: u64,
        acknowledgement: Acknowledgement,
        ready: &mut Ready,
    ) -> bool {
        if message.term > self.hard_state.term {
            self.enter_term(now, message.term, ready);
            return false;
        }
        if message.term != self.hard_state.term {
            return false;
        }
        let (from, last) = (message.from, self.log.last_index());
        let any_disk = self.config.disabled_safeguards.empty_disk_has_no_vote;
        let Some(leader_state) = self.leader_state_mut() else { return false };
        let current_round = leader_state.round;
        let progress = leader_state.followers.get_mut(&from.id);
        let Some(progress) = progress.filter(|progress| progress.disk == from.disk || any_disk) else {
            return false;
        };
        progress.last_contact = now;
        progress.acked_round = progress.acked_round.max(round.min(current_round));
        let (mut send_now, mut is_behind_match) = (false, false);
        match acknowledgement {
            Acknowledgement::Match(index) => {
                progress.record_match(index.min(last));
                send_now = progress.next_index <= last;
            }
            Acknowledgement::Rejection(index) => {
                is_behind_match = index < progress.match_index;
                send_now = progress.record_rejection(index.min(last), current_round);
            }
            Acknowledgement::SnapshotPart => {}
        }
        self.advance_commit_index(now, ready);
        if let Acknowledgement::Match(index) = acknowledgement {
            // Only committed entries can never be overwritten on the follower.
            let position = self.log.position(index.min(self.commit_index)).unwrap_or_default();
            self.record_acknowledged_state(from, position, 0);
        }
        if is_behind_match {
            // Either an old message, or a disk that lost acknowledged state; the follower can tell which.
            self.send_acknowledged_state(from, ready);
        }
        if send_now {
            self.replicate_to(from.id, ready);
        }
        true
    }
}
