//! One keeper: follows, asks for votes, leads. See the crate's page for the order of effects.

use crate::message::{
    Entry, EntryPayload, LogPosition, Message, MessageBody, MAX_COMMAND_BYTES, MAX_MEMBERS, MAX_PAYLOAD_BYTES,
};
use crate::storage::{self, HardState, PersistentState, Snapshot, Write};
use crate::{DiskId, Member, NodeId, SeededRng, StateMachine, Time, MS};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Times and bounds. Derived where it can be: whoever sets `beat` sets them all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RaftConfig {
    /// A leader lets itself be heard so often.
    pub heartbeat_interval: Time,
    /// Entries past the base before a new one is taken.
    pub snapshot_threshold: usize,
    /// Guards that tests take out, to show what they are for.
    pub disabled_safeguards: DisabledSafeguards,
}

/// What can be left out. Nothing, but in tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct DisabledSafeguards {
    /// A keeper with an empty disk votes.
    pub empty_disk_has_no_vote: bool,
    /// Letters leave before what they promise is on the disk.
    pub persist_before_send: bool,
}

impl Default for RaftConfig {
    fn default() -> RaftConfig {
        RaftConfig {
            heartbeat_interval: 20 * MS,
            snapshot_threshold: 4096,
            disabled_safeguards: DisabledSafeguards::default(),
        }
    }
}

impl RaftConfig {
    /// Silence of a leader for which nobody else is voted for; the time to an election is up to twice that.
    pub fn min_election_timeout(&self) -> Time {
        self.heartbeat_interval * 8
    }
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProposalResponse {
    /// Decided at this index, and carried out.
    Applied { proposal_id: u64, index: u64, result: Vec<u8> },
    /// This keeper leads no longer: it may be decided or not.
    Unknown { proposal_id: u64 },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ready {
    pub writes: Vec<Write>,
    pub messages: Vec<(NodeId, Message)>,
    pub responses: Vec<ProposalResponse>,
    /// Changes of state, for the log.
    pub events: Vec<String>,
}

impl Ready {
    /// Both, in this order.
    pub fn merge(mut self, other: Ready) -> Ready {
        self.writes.extend(other.writes);
        self.messages.extend(other.messages);
        self.responses.extend(other.responses);
        self.events.extend(other.events);
        self
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Progress {
    disk: DiskId,
    next_index: u64,
    match_index: u64,
    /// The last round that it answered, and when it was last heard.
    acked_round: u64,
    last_heard: Time,
    /// Bytes of the image that it has.
    snapshot_offset: Option<u64>,
    /// The round in which it was last sent something at once because it lacked what stood before: once a round, as each
    /// answer would bring another, and doubled ones ever more.
    resent_round: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Leadership {
    followers: BTreeMap<NodeId, Progress>,
    round: u64,
    /// Its first entry: once that is decided it knows what is.
    first_index: u64,
    /// Who waits for which index.
    pending_proposals: VecDeque<(u64, u64)>,
    next_heartbeat: Time,
    /// Named keepers whose disks are no members, and when they last said so.
    joining: BTreeMap<NodeId, (DiskId, Time)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Role {
    Follower,
    Candidate { pre: bool, votes: BTreeSet<NodeId> },
    Leader(Box<Leadership>),
}

/// A part of an image that is coming.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct IncomingSnapshot {
    position: LogPosition,
    bytes: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replica<M> {
    own: Member,
    configured_replicas: BTreeSet<NodeId>,
    raft: RaftConfig,
    rng: SeededRng,
    hard_state: HardState,
    is_bootstrapped: bool,
    snapshot: Snapshot,
    snapshot_bytes: Vec<u8>,
    log: VecDeque<Entry>,
    /// Decided, and carried out, up to here.
    commit_index: u64,
    state_machine: M,
    role: Role,
    leader: Option<NodeId>,
    /// When the leader was last heard.
    leader_last_heard: Time,
    election_deadline: Time,
    /// No vote before that: whoever knows that this disk is an older one has time to say so.
    vote_embargo_until: Time,
    /// What was last heard of empty ones.
    empty_replicas: BTreeMap<NodeId, (DiskId, Time)>,
    /// What other disks acknowledged here, and voted.
    known_disks: BTreeMap<NodeId, (DiskId, LogPosition, u64)>,
    incoming: IncomingSnapshot,
    /// Set once: this disk has forgotten something, and may not go on as itself.
    is_disk_stale: bool,
}

/// Who a keeper is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicaConfig {
    pub id: NodeId,
    /// All keepers of the operator's file, itself among them.
    pub configured_replicas: BTreeSet<NodeId>,
    /// The disk's own name, drawn by whoever opened it when it was empty.
    pub disk: DiskId,
    pub raft: RaftConfig,
    pub seed: u64,
}

impl<M: StateMachine> Replica<M> {
    /// `empty` is the state before any command.
    pub fn start(now: Time, begin: ReplicaConfig, state: PersistentState, empty: M) -> (Replica<M>, Ready) {
        let ReplicaConfig { id: own, configured_replicas: named, disk, raft, seed } = begin;
        let formed = state.snapshot.is_some();
        let base = state.snapshot.unwrap_or_default();
        let machine = match formed && base.position.index > 0 {
            true => M::from_snapshot(&state.snapshot_bytes),
            false => None,
        };
        let older = formed && base.position.index > 0 && machine.is_none();
        let hard = HardState { disk, ..state.hard_state };
        let mut replica = Replica {
            own: Member { id: own, disk },
            configured_replicas: named,
            raft,
            rng: SeededRng::new(seed ^ disk),
            hard_state: hard,
            is_bootstrapped: formed,
            commit_index: base.position.index,
            snapshot: base,
            snapshot_bytes: state.snapshot_bytes,
            log: state.entries.into(),
            state_machine: machine.unwrap_or(empty),
            role: Role::Follower,
            leader: None,
            leader_last_heard: Time::MIN / 2,
            election_deadline: now,
            vote_embargo_until: now + raft.min_election_timeout(),
            empty_replicas: BTreeMap::new(),
            known_disks: BTreeMap::new(),
            incoming: IncomingSnapshot::default(),
            is_disk_stale: older,
        };
        let mut out = Ready { writes: state.stale, ..Ready::default() };
        if state.hard_state != hard {
            out.writes.push(storage::write_hard_state(&hard));
        }
        if formed {
            let last = replica.last();
            replica.all(&mut out, MessageBody::DiskCheck { last });
        }
        replica.wait(now);
        (replica, out)
    }

    // ---- what is asked of it ----

    pub fn state_machine(&self) -> &M {
        &self.state_machine
    }
    pub fn state_machine_mut(&mut self) -> &mut M {
        &mut self.state_machine
    }
    pub fn member(&self) -> Member {
        self.own
    }
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }
    /// This disk has forgotten what it said: the keeper stops, and comes back with an empty disk of another name.
    pub fn is_disk_stale(&self) -> bool {
        self.is_disk_stale
    }
    /// It leads, and knows all that is decided.
    pub fn is_leader(&self) -> bool {
        matches!(&self.role, Role::Leader(lead) if self.commit_index >= lead.first_index)
    }
    /// Who the members are, by the newest word, decided or not.
    pub fn members(&self) -> &[Member] {
        let newest = self.log.iter().rev().find_map(|entry| match &entry.payload {
            EntryPayload::Membership(members) => Some(members.as_slice()),
            _ => None,
        });
        newest.unwrap_or(&self.snapshot.members)
    }
    pub fn next_deadline(&self) -> Time {
        match &self.role {
            Role::Leader(lead) => lead.next_heartbeat,
            _ => self.election_deadline,
        }
    }
    /// Entries past the base, and bytes of the image.
    pub fn size(&self) -> (usize, usize) {
        (self.log.len(), self.snapshot_bytes.len())
    }
    /// The operator's file names others from now on; members follow, one at a time.
    pub fn set_configured_replicas(&mut self, named: BTreeSet<NodeId>) {
        self.configured_replicas = named;
    }

    /// The round that has to be confirmed before what is asked now may be answered as a leader's word.
    pub fn read_index(&self) -> Option<u64> {
        match &self.role {
            Role::Leader(lead) if self.is_leader() => Some(lead.round + 1),
            _ => None,
        }
    }

    /// A majority has heard this leader in this round: nobody else led when it began.
    pub fn confirmed_read_index(&self) -> u64 {
        match &self.role {
            Role::Leader(lead) if self.is_leader() => {
                self.majority(lead.round, |id| lead.followers.get(&id).map_or(0, |peer| peer.acked_round))
            }
            _ => 0,
        }
    }

    /// Whether it was taken; the answer comes with an `Ready`, under this number.
    pub fn propose(&mut self, now: Time, number: u64, command: Vec<u8>) -> Option<Ready> {
        if !self.is_leader() || command.len() > MAX_COMMAND_BYTES {
            return None;
        }
        let mut out = Ready::default();
        let index = self.append(&mut out, EntryPayload::Command(command));
        if let Role::Leader(lead) = &mut self.role {
            lead.pending_proposals.push_back((index, number));
        }
        self.send_all(&mut out);
        self.decide(now, &mut out);
        Some(out)
    }

    // ---- time ----

    pub fn tick(&mut self, now: Time) -> Ready {
        let mut out = Ready::default();
        if self.is_disk_stale || now < self.next_deadline() {
            return out;
        }
        if let Role::Leader(_) = self.role {
            self.beats(now, &mut out);
            return out;
        }
        self.wait(now);
        if !self.is_bootstrapped {
            self.election_deadline = now + self.raft.heartbeat_interval * 4;
            self.all(&mut out, MessageBody::JoinRequest { empty_disk: true });
            self.forms(now, &mut out);
            return out;
        }
        if now < self.vote_embargo_until {
            let last = self.last();
            self.all(&mut out, MessageBody::DiskCheck { last });
            self.election_deadline = self.vote_embargo_until;
            return out;
        }
        if !self.members().contains(&self.own) {
            // Not yet, or no longer: whoever leads may take it in.
            self.election_deadline = now + self.raft.heartbeat_interval * 4;
            self.all(&mut out, MessageBody::JoinRequest { empty_disk: false });
            return out;
        }
        self.asks_for(now, true, &mut out);
        out
    }

    /// Asks for votes now, whatever its time says: for models, in which any order of events is played.
    pub fn campaign(&mut self, now: Time) -> Ready {
        let mut out = Ready::default();
        if !self.is_disk_stale && self.is_bootstrapped && !matches!(self.role, Role::Leader(_)) {
            self.asks_for(now, false, &mut out);
        }
        out
    }

    /// Time to the next election: at least the silence that others ask for.
    fn wait(&mut self, now: Time) {
        let least = self.raft.min_election_timeout();
        self.election_deadline = now + least + self.rng.below(least as u64) as Time;
    }

    fn asks_for(&mut self, now: Time, pre: bool, out: &mut Ready) {
        self.leader = None;
        let last = self.last();
        if !pre {
            self.hard_state.term += 1;
            self.hard_state.voted_for = Some(self.own.id);
            out.writes.push(storage::write_hard_state(&self.hard_state));
        }
        self.role = Role::Candidate { pre, votes: [self.own.id].into() };
        let term = self.hard_state.term + u64::from(pre);
        let messages = self.others().into_iter().map(|to| {
            let body = MessageBody::RequestVote { pre_vote: pre, last };
            (to.id, Message { from: self.own, to_disk: to.disk, term, body })
        });
        out.messages.extend(messages);
        self.elected(now, out);
    }

    fn elected(&mut self, now: Time, out: &mut Ready) {
        let Role::Candidate { pre, votes } = &self.role else { return };
        let (pre, votes) = (*pre, votes.clone());
        if self.majority(1, |id| u64::from(votes.contains(&id))) == 0 {
            return;
        }
        if pre {
            return self.asks_for(now, false, out);
        }
        let next = self.last().index + 1;
        let mut lead = Leadership { first_index: next, next_heartbeat: now, ..Leadership::default() };
        for other in self.others() {
            let peer = Progress {
                disk: other.disk,
                next_index: next,
                match_index: 0,
                acked_round: 0,
                last_heard: now,
                snapshot_offset: None,
                resent_round: 0,
            };
            lead.followers.insert(other.id, peer);
        }
        self.role = Role::Leader(Box::new(lead));
        self.leader = Some(self.own.id);
        out.events.push(format!("leads the keepers in term {}", self.hard_state.term));
        self.append(out, EntryPayload::NoOp);
        self.beats(now, out);
    }

    fn follows(&mut self, now: Time, out: &mut Ready) {
        if let Role::Leader(lead) = std::mem::replace(&mut self.role, Role::Follower) {
            let unknown = lead
                .pending_proposals
                .into_iter()
                .map(|(_, number)| ProposalResponse::Unknown { proposal_id: number });
            out.responses.extend(unknown);
            out.events.push(format!("leads the keepers no longer, after term {}", self.hard_state.term));
            self.leader = None;
            self.wait(now);
        }
    }

    // ---- leading ----

    fn beats(&mut self, now: Time, out: &mut Ready) {
        let (least, beat) = (self.raft.min_election_timeout(), self.raft.heartbeat_interval);
        let Role::Leader(lead) = &mut self.role else { return };
        lead.next_heartbeat = now + beat;
        lead.round += 1;
        let heard: BTreeMap<NodeId, bool> =
            lead.followers.iter().map(|(id, peer)| (*id, now - peer.last_heard < least)).collect();
        for peer in lead.followers.values_mut() {
            // What was on its way in the last beat and is not answered goes again.
            if peer.snapshot_offset.is_none() && peer.match_index > 0 {
                peer.next_index = peer.match_index + 1;
            }
        }
        if self.majority(1, |id| u64::from(heard.get(&id).copied().unwrap_or(false))) == 0 {
            return self.follows(now, out);
        }
        self.changes(now, out);
        self.send_all(out);
        self.decide(now, out);
    }

    /// Changes the members by one, where the file and those that are here ask for it and no change is under way.
    fn changes(&mut self, now: Time, out: &mut Ready) {
        let under_way = (self.commit_index + 1..=self.last().index).any(|index| {
            matches!(self.entry(index).map(|entry| &entry.payload), Some(EntryPayload::Membership(_)))
        });
        if under_way || !self.is_leader() {
            return;
        }
        let least = self.raft.min_election_timeout();
        let Role::Leader(lead) = &self.role else { return };
        let mut fresh = lead.joining.iter().filter(|(_, (_, at))| now - at < 4 * least);
        let mut members = self.members().to_vec();
        let gone = |member: &&Member| {
            let other = lead.joining.get(&member.id).is_some_and(|(disk, _)| *disk != member.disk);
            member.id != self.own.id && (other || !self.configured_replicas.contains(&member.id))
        };
        if let Some(gone) = members.iter().find(gone).copied() {
            members.retain(|member| *member != gone);
            out.events.push(format!("keeper {:016x} with disk {:016x} goes", gone.id, gone.disk));
        } else if let Some((id, (disk, _))) = fresh.find(|(id, _)| {
            self.configured_replicas.contains(id) && members.iter().all(|member| member.id != **id)
        }) {
            if members.len() >= MAX_MEMBERS {
                return;
            }
            members.push(Member { id: *id, disk: *disk });
            out.events.push(format!("keeper {id:016x} with disk {disk:016x} comes"));
        } else {
            return;
        }
        members.sort_unstable();
        self.append(out, EntryPayload::Membership(members));
        self.peers(now);
    }

    /// Those that are followed up are the members of the newest word.
    fn peers(&mut self, now: Time) {
        let (others, next) = (self.others(), self.last().index + 1);
        let Role::Leader(lead) = &mut self.role else { return };
        lead.followers
            .retain(|id, peer| others.iter().any(|other| (other.id, other.disk) == (*id, peer.disk)));
        for other in others {
            let peer = Progress {
                disk: other.disk,
                next_index: next,
                match_index: 0,
                acked_round: 0,
                last_heard: now,
                snapshot_offset: None,
                resent_round: 0,
            };
            lead.followers.entry(other.id).or_insert(peer);
            lead.joining.remove(&other.id);
        }
    }

    fn append(&mut self, out: &mut Ready, payload: EntryPayload) -> u64 {
        let entry = Entry { term: self.hard_state.term, payload };
        let index = self.last().index + 1;
        out.writes.push(storage::write_entry(index, &entry));
        self.log.push_back(entry);
        index
    }

    fn send_all(&mut self, out: &mut Ready) {
        let to: Vec<NodeId> = match &self.role {
            Role::Leader(lead) => lead.followers.keys().copied().collect(),
            _ => return,
        };
        for id in to {
            self.send(id, out);
        }
    }

    /// What the peer lacks, as much as goes into a message.
    fn send(&mut self, to: NodeId, out: &mut Ready) {
        let last = self.last().index;
        let Role::Leader(lead) = &self.role else { return };
        let (round, commit) = (lead.round, self.commit_index);
        let Some(peer) = lead.followers.get(&to).cloned() else { return };
        let body = if peer.next_index <= self.snapshot.position.index {
            let at = peer.snapshot_offset.unwrap_or(0).min(self.snapshot_bytes.len() as u64);
            let end = (at as usize + MAX_PAYLOAD_BYTES).min(self.snapshot_bytes.len());
            let bytes = self.snapshot_bytes[at as usize..end].to_vec();
            let (base, members) = (self.snapshot.position, self.snapshot.members.clone());
            MessageBody::InstallSnapshot {
                round,
                position: base,
                members,
                offset: at,
                total_bytes: self.snapshot_bytes.len() as u64,
                bytes,
            }
        } else {
            let before = self.mark(peer.next_index - 1).unwrap_or_default();
            let (mut entries, mut size) = (Vec::new(), 0);
            for index in peer.next_index..=last {
                let Some(entry) = self.entry(index) else { break };
                size += match &entry.payload {
                    EntryPayload::Command(bytes) => bytes.len() + 16,
                    _ => 64,
                };
                if size > MAX_PAYLOAD_BYTES && !entries.is_empty() {
                    break;
                }
                entries.push(entry.clone());
            }
            MessageBody::AppendEntries { round, previous: before, entries, commit }
        };
        let sent = match &body {
            MessageBody::AppendEntries { entries, .. } => entries.len() as u64,
            _ => 0,
        };
        let images = matches!(body, MessageBody::InstallSnapshot { .. });
        out.messages
            .push((to, Message { from: self.own, to_disk: peer.disk, term: self.hard_state.term, body }));
        if let Role::Leader(lead) = &mut self.role {
            if let Some(peer) = lead.followers.get_mut(&to) {
                peer.next_index += sent;
                peer.snapshot_offset = images.then(|| peer.snapshot_offset.unwrap_or(0));
            }
        }
    }

    /// Decides what a majority holds, carries it out, and takes a new base where the log is long.
    fn decide(&mut self, now: Time, out: &mut Ready) {
        if let Role::Leader(lead) = &self.role {
            let held = self
                .majority(self.last().index, |id| lead.followers.get(&id).map_or(0, |peer| peer.match_index));
            // Only what was appended in the own term counts by its copies; what is before is decided with it.
            if held > self.commit_index
                && self.mark(held).is_some_and(|mark| mark.term == self.hard_state.term)
            {
                self.carry_out(held, out);
                let own = self.own;
                if !self.members().contains(&own) && self.settled() {
                    out.events.push("goes from the keepers".into());
                    self.follows(now, out);
                }
            }
        }
    }

    /// No change of members is under way.
    fn settled(&self) -> bool {
        (self.commit_index + 1..=self.last().index).all(|index| {
            !matches!(self.entry(index).map(|entry| &entry.payload), Some(EntryPayload::Membership(_)))
        })
    }

    fn carry_out(&mut self, upto: u64, out: &mut Ready) {
        let upto = upto.min(self.last().index);
        while self.commit_index < upto {
            let index = self.commit_index + 1;
            let at = (index - self.snapshot.position.index - 1) as usize;
            let said = match &self.log[at].payload {
                EntryPayload::Command(command) => self.state_machine.apply(index, command),
                _ => Vec::new(),
            };
            self.commit_index = index;
            if let Role::Leader(lead) = &mut self.role {
                while let Some((_, number)) =
                    lead.pending_proposals.front().filter(|(at, _)| *at == index).copied()
                {
                    lead.pending_proposals.pop_front();
                    out.responses.push(ProposalResponse::Applied {
                        proposal_id: number,
                        index,
                        result: said.clone(),
                    });
                }
            }
        }
        if (self.commit_index - self.snapshot.position.index) as usize >= self.raft.snapshot_threshold {
            self.rebase(out);
        }
    }

    fn rebase(&mut self, out: &mut Ready) {
        let Some(mark) = self.mark(self.commit_index) else { return };
        let decided = (mark.index - self.snapshot.position.index) as usize;
        let newest = self.log.iter().take(decided).rev().find_map(|entry| match &entry.payload {
            EntryPayload::Membership(members) => Some(members.clone()),
            _ => None,
        });
        let members = newest.unwrap_or_else(|| self.snapshot.members.clone());
        self.snapshot_bytes = self.state_machine.snapshot();
        let base = Snapshot { position: mark, members, total_bytes: self.snapshot_bytes.len() as u64 };
        let old = std::mem::replace(&mut self.snapshot, base);
        storage::write_snapshot(
            &mut out.writes,
            &self.snapshot,
            &self.snapshot_bytes,
            &old,
            old.position.index + 1..=mark.index,
        );
        self.log.drain(..decided);
        if let Role::Leader(lead) = &mut self.role {
            lead.followers.values_mut().for_each(|peer| peer.snapshot_offset = None);
        }
    }

    // ---- letters ----

    pub fn step(&mut self, now: Time, message: &Message) -> Ready {
        let mut out = Ready::default();
        let from = message.from;
        if self.is_disk_stale || !message.is_within_bounds() || from.id == self.own.id {
            return out;
        }
        if message.to_disk != 0
            && message.to_disk != self.own.disk
            && !self.raft.disabled_safeguards.empty_disk_has_no_vote
        {
            return out; // to a disk that is no longer here, or was never
        }
        match &message.body {
            MessageBody::JoinRequest { empty_disk: empty } => self.asked(now, from, *empty, &mut out),
            MessageBody::Bootstrap { members } => self.formed(now, members, &mut out),
            MessageBody::DiskCheck { last: _ } => {
                let (disk, last, voted) = self.known_disks.get(&from.id).copied().unwrap_or_default();
                if disk == from.disk {
                    self.reply(&mut out, from, MessageBody::DiskCheckResponse { last, voted_term: voted });
                }
            }
            MessageBody::DiskCheckResponse { last, voted_term: voted } => {
                let own = self.last();
                let short = last.index > own.index || last.term > own.term || *voted > self.hard_state.term;
                if self.is_bootstrapped && short {
                    self.is_disk_stale = true;
                    out.events.push(format!(
                        "disk {:016x} has forgotten: it stands at Mark {{ term: {}, index: {} }}, and Mark {{ term: {}, index: {} }} was acknowledged from it",
                        self.own.disk, own.term, own.index, last.term, last.index
                    ));
                }
            }
            _ if message.to_disk == 0 => {}
            MessageBody::RequestVote { pre_vote: pre, last } => {
                self.wants_vote(now, from, message.term, *pre, *last, &mut out)
            }
            MessageBody::RequestVoteResponse { pre_vote: pre, granted } => {
                if !granted {
                    self.moves_to(now, message.term, &mut out);
                } else if self.is_member(from) || self.raft.disabled_safeguards.empty_disk_has_no_vote {
                    let term = self.hard_state.term + u64::from(*pre);
                    match &mut self.role {
                        Role::Candidate { pre: asked, votes } if asked == pre && message.term == term => {
                            votes.insert(from.id);
                            if !pre {
                                self.saw(from, LogPosition::default(), message.term);
                            }
                            self.elected(now, &mut out);
                        }
                        _ => {}
                    }
                }
            }
            MessageBody::AppendEntries { round, previous: before, entries, commit } => {
                if self.led_by(now, from, message.term, &mut out) {
                    let (good, upto) = self.takes(*before, entries, &mut out);
                    if good {
                        self.carry_out((*commit).min(upto), &mut out);
                    }
                    self.reply(
                        &mut out,
                        from,
                        MessageBody::AppendEntriesResponse { round: *round, success: good, index: upto },
                    );
                }
            }
            MessageBody::InstallSnapshot {
                round,
                position: base,
                members,
                offset: at,
                total_bytes: length,
                bytes,
            } => {
                if self.led_by(now, from, message.term, &mut out) {
                    let taken = self.takes_image(*base, members, *at, *length, bytes, &mut out);
                    let body = match taken {
                        Some(at) => MessageBody::InstallSnapshotResponse {
                            round: *round,
                            index: base.index,
                            received_bytes: at,
                        },
                        None => MessageBody::AppendEntriesResponse {
                            round: *round,
                            success: true,
                            index: base.index.min(self.last().index),
                        },
                    };
                    self.reply(&mut out, from, body);
                }
            }
            MessageBody::AppendEntriesResponse { round, success: good, index: upto } => {
                self.acked(now, message, *round, Some((*good, *upto)), &mut out);
            }
            MessageBody::InstallSnapshotResponse { round, index, received_bytes: at } => {
                let (index, at) = (*index, *at);
                if self.acked(now, message, *round, None, &mut out) && index == self.snapshot.position.index {
                    let Role::Leader(lead) = &mut self.role else { return out };
                    let Some(peer) = lead.followers.get_mut(&from.id) else { return out };
                    // The next part follows a part that is new there, not its double; beats repeat what was lost.
                    if peer.snapshot_offset.is_some_and(|had| had < at) {
                        peer.snapshot_offset = Some(at);
                        self.send(from.id, &mut out);
                    }
                }
            }
        }
        out
    }

    /// One without members of its own asks who we are.
    fn asked(&mut self, now: Time, from: Member, empty: bool, out: &mut Ready) {
        if !self.configured_replicas.contains(&from.id) || from.disk == 0 {
            return;
        }
        if empty {
            self.empty_replicas.insert(from.id, (from.disk, now));
        }
        if !self.is_bootstrapped {
            return;
        }
        if self.is_member(from) {
            // It was counted in when the others began, or was taken in and has not heard of it.
            let members = self.members().to_vec();
            return self.reply(out, from, MessageBody::Bootstrap { members });
        }
        if let Role::Leader(lead) = &mut self.role {
            lead.joining.insert(from.id, (from.disk, now));
        }
    }

    /// All named ones are here, and none of them remembers anything: the least of them begins.
    fn forms(&mut self, now: Time, out: &mut Ready) {
        let least = self.configured_replicas.iter().next() == Some(&self.own.id);
        let lately = now - 4 * self.raft.min_election_timeout();
        let mut members = vec![self.own];
        for id in self.configured_replicas.iter().filter(|id| **id != self.own.id) {
            match self.empty_replicas.get(id) {
                Some((disk, at)) if *at > lately => members.push(Member { id: *id, disk: *disk }),
                _ => return,
            }
        }
        if least && self.configured_replicas.contains(&self.own.id) {
            out.events.push(format!("{} keepers with empty disks begin", members.len()));
            self.formed(now, &members, out);
        }
    }

    fn formed(&mut self, now: Time, members: &[Member], out: &mut Ready) {
        if self.is_bootstrapped || !members.contains(&self.own) {
            return;
        }
        let mut members = members.to_vec();
        members.sort_unstable();
        self.is_bootstrapped = true;
        self.snapshot = Snapshot { members, ..Snapshot::default() };
        storage::write_snapshot(
            &mut out.writes,
            &self.snapshot,
            &[],
            &Snapshot::default(),
            1..=self.snapshot.position.index,
        );
        self.vote_embargo_until = now;
        self.wait(now);
    }

    fn wants_vote(
        &mut self,
        now: Time,
        from: Member,
        term: u64,
        pre: bool,
        last: LogPosition,
        out: &mut Ready,
    ) {
        let may = self.is_bootstrapped || self.raft.disabled_safeguards.empty_disk_has_no_vote;
        // While a leader is heard, nobody else is wanted; one that was cut off has to wait until it has heard of it.
        let led = now - self.leader_last_heard < self.raft.min_election_timeout()
            || matches!(self.role, Role::Leader(_));
        // Whoever asks need not be a member as far as is known here: those who took it in may all be gone but itself.
        if !may || now < self.vote_embargo_until || led {
            return;
        }
        if !pre && term > self.hard_state.term {
            self.moves_to(now, term, out);
        }
        let ahead = last >= self.last();
        let granted = match pre {
            true => ahead && term > self.hard_state.term,
            false => {
                let free = self.hard_state.voted_for.is_none_or(|voted| voted == from.id);
                ahead && term == self.hard_state.term && free
            }
        };
        if granted && !pre {
            self.hard_state.voted_for = Some(from.id);
            out.writes.push(storage::write_hard_state(&self.hard_state));
            self.wait(now);
        }
        let term = if pre && granted { term } else { self.hard_state.term };
        let body = MessageBody::RequestVoteResponse { pre_vote: pre, granted };
        out.messages.push((from.id, Message { from: self.own, to_disk: from.disk, term, body }));
    }

    /// A later term was heard of: follows in it.
    fn moves_to(&mut self, now: Time, term: u64, out: &mut Ready) {
        if term > self.hard_state.term {
            self.follows(now, out);
            self.role = Role::Follower;
            (self.hard_state.term, self.hard_state.voted_for) = (term, None);
            out.writes.push(storage::write_hard_state(&self.hard_state));
        }
    }

    /// A leader speaks: whether it is the one to be followed.
    fn led_by(&mut self, now: Time, from: Member, term: u64, out: &mut Ready) -> bool {
        if term < self.hard_state.term {
            // It will hear of the later term, and follow.
            self.reply(out, from, MessageBody::AppendEntriesResponse { round: 0, success: false, index: 0 });
            return false;
        }
        if !self.is_bootstrapped && !self.raft.disabled_safeguards.empty_disk_has_no_vote {
            return false;
        }
        self.moves_to(now, term, out);
        if let Role::Leader(_) = self.role {
            return false; // two leaders in a term can't be: garbled
        }
        self.role = Role::Follower;
        self.leader = Some(from.id);
        self.leader_last_heard = now;
        self.wait(now);
        true
    }

    /// Takes entries behind `before`: whether that stands here, and how far all is as the leader has it, or where to try.
    fn takes(&mut self, before: LogPosition, entries: &[Entry], out: &mut Ready) -> (bool, u64) {
        if before.index > self.last().index {
            return (false, self.last().index);
        }
        let base = self.snapshot.position.index;
        if before.index > base && self.mark(before.index) != Some(before) {
            // Back over the whole term that does not fit.
            let term = self.mark(before.index).map_or(0, |mark| mark.term);
            let mut at = before.index;
            while at > self.commit_index && self.mark(at).is_some_and(|mark| mark.term == term) {
                at -= 1;
            }
            return (false, at);
        }
        let mut index = before.index;
        for entry in entries {
            index += 1;
            if index <= self.commit_index {
                continue; // decided: the same everywhere
            }
            match self.mark(index) {
                Some(mark) if mark.term == entry.term => continue,
                Some(_) => {
                    for gone in (index..=self.last().index).rev() {
                        out.writes.push(storage::remove_entry(gone));
                        self.log.pop_back();
                    }
                }
                None => {}
            }
            out.writes.push(storage::write_entry(index, entry));
            self.log.push_back(entry.clone());
        }
        (true, index)
    }

    /// Bytes of it that are here; `None` once it is taken, or was not needed.
    fn takes_image(
        &mut self,
        base: LogPosition,
        members: &[Member],
        at: u64,
        length: u64,
        bytes: &[u8],
        out: &mut Ready,
    ) -> Option<u64> {
        if base.index <= self.commit_index {
            return None;
        }
        if self.incoming.position != base {
            self.incoming = IncomingSnapshot { position: base, bytes: Vec::new() };
        }
        if at == self.incoming.bytes.len() as u64 {
            self.incoming.bytes.extend(bytes);
        }
        if (self.incoming.bytes.len() as u64) < length {
            return Some(self.incoming.bytes.len() as u64);
        }
        let image = std::mem::take(&mut self.incoming).bytes;
        let machine = M::from_snapshot(&image).filter(|_| image.len() as u64 == length);
        let Some(machine) = machine else { return Some(0) };
        let fits = self.mark(base.index) == Some(base);
        if !fits {
            // What stands past the base and does not follow from it goes first: it was never decided.
            for gone in (base.index + 1..=self.last().index).rev() {
                out.writes.push(storage::remove_entry(gone));
            }
        }
        let upto = base.index.min(self.last().index);
        let new = Snapshot { position: base, members: members.to_vec(), total_bytes: length };
        let old = std::mem::replace(&mut self.snapshot, new);
        storage::write_snapshot(&mut out.writes, &self.snapshot, &image, &old, old.position.index + 1..=upto);
        match fits {
            true => drop(self.log.drain(..(base.index - old.position.index) as usize)),
            false => self.log.clear(),
        }
        (self.snapshot_bytes, self.state_machine, self.commit_index) = (image, machine, base.index);
        None
    }

    /// A peer has answered: whether it counts.
    fn acked(
        &mut self,
        now: Time,
        message: &Message,
        round: u64,
        how: Option<(bool, u64)>,
        out: &mut Ready,
    ) -> bool {
        if message.term > self.hard_state.term {
            self.moves_to(now, message.term, out);
            return false;
        }
        let (from, last) = (message.from, self.last().index);
        if message.term != self.hard_state.term {
            return false;
        }
        let trusts = self.raft.disabled_safeguards.empty_disk_has_no_vote;
        let Role::Leader(lead) = &mut self.role else { return false };
        let Some(peer) = lead.followers.get_mut(&from.id).filter(|peer| peer.disk == from.disk || trusts)
        else {
            return false;
        };
        peer.last_heard = now;
        peer.acked_round = peer.acked_round.max(round.min(lead.round));
        let (mut more, mut forgets) = (false, false);
        match how {
            Some((true, upto)) => {
                peer.snapshot_offset = None;
                peer.match_index = peer.match_index.max(upto.min(last));
                peer.next_index = peer.next_index.max(peer.match_index + 1);
                more = peer.next_index <= last;
            }
            // From there on; not below what it has acknowledged, as letters come in any order.
            Some((false, upto)) => {
                forgets = upto < peer.match_index;
                peer.next_index = peer.next_index.min(upto.min(last).max(peer.match_index) + 1);
                more = peer.resent_round != lead.round;
                peer.resent_round = lead.round;
            }
            None => {}
        }
        self.decide(now, out);
        // Of what it acknowledged only what is decided is never overwritten.
        if let Some((true, upto)) = how {
            let mark = self.mark(upto.min(self.commit_index)).unwrap_or_default();
            self.saw(from, mark, 0);
        }
        if forgets {
            // An old answer, or a disk that has lost what it acknowledged: it can tell which.
            let (_, last, voted) = self.known_disks.get(&from.id).copied().unwrap_or_default();
            self.reply(out, from, MessageBody::DiskCheckResponse { last, voted_term: voted });
        }
        if more {
            self.send(from.id, out);
        }
        true
    }

    /// Remembers what another disk has promised.
    fn saw(&mut self, from: Member, mark: LogPosition, voted: u64) {
        let one = self.known_disks.entry(from.id).or_insert((from.disk, mark, voted));
        if one.0 != from.disk {
            *one = (from.disk, mark, voted);
        }
        (one.1, one.2) = (one.1.max(mark), one.2.max(voted));
    }

    // ---- helpers ----

    fn reply(&self, out: &mut Ready, to: Member, body: MessageBody) {
        out.messages
            .push((to.id, Message { from: self.own, to_disk: to.disk, term: self.hard_state.term, body }));
    }

    /// To all that are named, whatever their disks.
    fn all(&self, out: &mut Ready, body: MessageBody) {
        let to = self.configured_replicas.iter().filter(|id| **id != self.own.id);
        let messages = to.map(|id| {
            (*id, Message { from: self.own, to_disk: 0, term: self.hard_state.term, body: body.clone() })
        });
        out.messages.extend(messages);
    }

    fn others(&self) -> Vec<Member> {
        self.members().iter().filter(|member| member.id != self.own.id).copied().collect()
    }

    fn is_member(&self, who: Member) -> bool {
        self.members().contains(&who)
    }

    /// The greatest figure that a majority of the members reaches; a member's own is `own`.
    fn majority(&self, own: u64, of: impl Fn(NodeId) -> u64) -> u64 {
        let members = self.members();
        let figure = |member: &Member| if member.id == self.own.id { own } else { of(member.id) };
        let mut all: Vec<u64> = members.iter().map(figure).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(members.len() / 2).copied().unwrap_or(0)
    }

    fn last(&self) -> LogPosition {
        let index = self.snapshot.position.index + self.log.len() as u64;
        LogPosition { term: self.log.back().map_or(self.snapshot.position.term, |entry| entry.term), index }
    }

    fn entry(&self, index: u64) -> Option<&Entry> {
        let at = index.checked_sub(self.snapshot.position.index + 1)?;
        self.log.get(at as usize)
    }

    fn mark(&self, index: u64) -> Option<LogPosition> {
        if index == self.snapshot.position.index {
            return Some(self.snapshot.position);
        }
        self.entry(index).map(|entry| LogPosition { term: entry.term, index })
    }
}
