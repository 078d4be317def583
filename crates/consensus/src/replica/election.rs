//! Elections: pre-vote, vote, check-quorum, and stepping down.

use super::progress::LeaderState;
use super::{Event, ProposalResponse, Ready, Replica, Role};
use crate::message::{EntryPayload, LogPosition, Message, MessageBody};
use crate::{storage, Member, NodeId, StateMachine, Time};
use std::collections::BTreeSet;

impl<M: StateMachine> Replica<M> {
    /// Starts an election at once, whatever the election timeout; for model checkers that explore any order of events.
    pub fn campaign(&mut self, now: Time) -> Ready {
        let mut ready = Ready::default();
        if !self.is_disk_stale && self.is_bootstrapped && self.leader_state().is_none() {
            self.start_election(now, false, &mut ready);
        }
        ready
    }

    /// Draws the next election timeout.
    pub(super) fn reset_election_deadline(&mut self, now: Time) {
        let min = self.config.min_election_timeout();
        self.election_deadline = now + min + self.rng.below(min as u64) as Time;
    }

    /// Asks all members for a pre-vote in the next term, or begins the next term and asks for a vote in it.
    pub(super) fn start_election(&mut self, now: Time, pre_vote: bool, ready: &mut Ready) {
        self.leader = None;
        if !pre_vote {
            self.hard_state.term += 1;
            self.hard_state.voted_for = Some(self.own.id);
            ready.writes.push(storage::write_hard_state(&self.hard_state));
        }
        self.role = Role::Candidate { pre_vote, votes: [self.own.id].into() };
        let term = self.hard_state.term + u64::from(pre_vote);
        let last = self.log.last_position();
        for to in self.other_members() {
            let body = MessageBody::RequestVote { pre_vote, last };
            ready.messages.push((to.id, Message { from: self.own, to_disk: to.disk, term, body }));
        }
        self.count_votes(now, ready);
    }

    /// Proceeds to the vote, or becomes the leader, once a majority has granted the pre-vote or the vote.
    fn count_votes(&mut self, now: Time, ready: &mut Ready) {
        let Role::Candidate { pre_vote, votes } = &self.role else { return };
        if !self.is_majority(votes) {
            return;
        }
        match *pre_vote {
            true => self.start_election(now, false, ready),
            false => self.become_leader(now, ready),
        }
    }

    fn is_majority(&self, votes: &BTreeSet<NodeId>) -> bool {
        self.majority_value(1, |id| u64::from(votes.contains(&id))) > 0
    }

    fn become_leader(&mut self, now: Time, ready: &mut Ready) {
        let first_index = self.log.last_index() + 1;
        let leader_state = LeaderState::new(&self.other_members(), first_index, now);
        self.role = Role::Leader(Box::new(leader_state));
        self.leader = Some(self.own.id);
        ready.events.push(Event::BecameLeader { term: self.hard_state.term });
        self.append_entry(EntryPayload::NoOp, ready);
        self.send_heartbeats(now, ready);
    }

    /// Becomes a follower. Where this replica was the leader, the outcome of its pending proposals is unknown.
    pub(super) fn step_down(&mut self, now: Time, ready: &mut Ready) {
        if let Role::Leader(leader_state) = std::mem::replace(&mut self.role, Role::Follower) {
            let pending = leader_state.pending_proposals.into_iter();
            ready.responses.extend(pending.map(|(_, proposal_id)| ProposalResponse::Unknown { proposal_id }));
            ready.events.push(Event::SteppedDown { term: self.hard_state.term });
            self.leader = None;
            self.reset_election_deadline(now);
        }
    }

    /// Check-quorum: whether a majority has responded within the minimum election timeout.
    pub(super) fn has_quorum_contact(&self, leader_state: &LeaderState, now: Time) -> bool {
        let timeout = self.config.min_election_timeout();
        let is_active = |id: NodeId| {
            leader_state.followers.get(&id).is_some_and(|progress| now - progress.last_contact < timeout)
        };
        self.majority_value(1, |id| u64::from(is_active(id))) > 0
    }

    /// Enters a later term as a follower.
    pub(super) fn enter_term(&mut self, now: Time, term: u64, ready: &mut Ready) {
        if term > self.hard_state.term {
            self.step_down(now, ready);
            self.role = Role::Follower;
            (self.hard_state.term, self.hard_state.voted_for) = (term, None);
            ready.writes.push(storage::write_hard_state(&self.hard_state));
        }
    }

    /// Whether this replica grants votes: not on an empty disk, not soon after a restart (`voting_allowed_at`), and not while it is the
    /// leader or has recently received a message from one, so that a partitioned replica can't depose the leader.
    fn can_vote(&self, now: Time) -> bool {
        let has_state = self.is_bootstrapped || self.config.disabled_safeguards.empty_disk_has_no_vote;
        let has_leader = now - self.last_leader_contact < self.config.min_election_timeout()
            || self.leader_state().is_some();
        has_state && now >= self.voting_allowed_at && !has_leader
    }

    /// The candidate need not be a member in this replica's log: the entry that added it may not have arrived here, and the replicas
    /// that have it may be down.
    pub(super) fn handle_request_vote(
        &mut self,
        now: Time,
        message: &Message,
        pre_vote: bool,
        last: LogPosition,
        ready: &mut Ready,
    ) {
        let (from, term) = (message.from, message.term);
        if !self.can_vote(now) {
            return;
        }
        if !pre_vote && term > self.hard_state.term {
            self.enter_term(now, term, ready);
        }
        let is_up_to_date = last >= self.log.last_position();
        let granted = is_up_to_date
            && match pre_vote {
                true => term > self.hard_state.term,
                false => {
                    let has_vote = self.hard_state.voted_for.is_none_or(|voted_for| voted_for == from.id);
                    term == self.hard_state.term && has_vote
                }
            };
        if granted && !pre_vote {
            self.hard_state.voted_for = Some(from.id);
            ready.writes.push(storage::write_hard_state(&self.hard_state));
            self.reset_election_deadline(now);
        }
        let term = if pre_vote && granted { term } else { self.hard_state.term };
        let body = MessageBody::RequestVoteResponse { pre_vote, granted };
        ready.messages.push((from.id, Message { from: self.own, to_disk: from.disk, term, body }));
    }

    pub(super) fn handle_vote_response(
        &mut self,
        now: Time,
        message: &Message,
        pre_vote: bool,
        granted: bool,
        ready: &mut Ready,
    ) {
        let from = message.from;
        if !granted {
            return self.enter_term(now, message.term, ready);
        }
        if !self.is_member(from) && !self.config.disabled_safeguards.empty_disk_has_no_vote {
            return;
        }
        let expected_term = self.hard_state.term + u64::from(pre_vote);
        match &mut self.role {
            Role::Candidate { pre_vote: requested, votes }
                if *requested == pre_vote && message.term == expected_term =>
            {
                votes.insert(from.id);
            }
            _ => return,
        }
        if !pre_vote {
            self.record_acknowledged_state(from, LogPosition::default(), message.term);
        }
        self.count_votes(now, ready);
    }

    /// Accepts the sender as the leader of its term. Returns false where the message is rejected.
    pub(super) fn accept_leader(&mut self, now: Time, from: Member, term: u64, ready: &mut Ready) -> bool {
        if term < self.hard_state.term {
            // The response carries the later term.
            let body = MessageBody::AppendEntriesResponse { round: 0, success: false, index: 0 };
            self.send(from, body, ready);
            return false;
        }
        if !self.is_bootstrapped && !self.config.disabled_safeguards.empty_disk_has_no_vote {
            return false;
        }
        self.enter_term(now, term, ready);
        if self.leader_state().is_some() {
            return false; // a term has one leader: the message is corrupt
        }
        self.role = Role::Follower;
        self.leader = Some(from.id);
        self.last_leader_contact = now;
        self.reset_election_deadline(now);
        true
    }
}
