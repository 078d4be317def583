//! A replica: the Raft state machine, without I/O. It is driven by [`Replica::step`], [`Replica::tick`] and [`Replica::propose`],
//! each of which returns a [`Ready`] for the caller to process.
//!
//! | module | concern |
//! | --- | --- |
//! | `config` | configuration and its checks |
//! | `ready` | effects of a call, and events for the log |
//! | `election` | pre-vote, vote, check-quorum, terms |
//! | `replication` | heartbeats, entries, commit index |
//! | `membership` | first members, changes, identity of disks |
//! | `read_index` | linearizable reads |
//! | `snapshot` | taking, sending and installing snapshots |
//! | `progress` | the leader's state, with the progress of each follower |
//! | `log` | snapshot and entries |

mod config;
mod election;
mod log;
mod membership;
mod progress;
mod read_index;
mod ready;
mod replication;
mod snapshot;

pub use config::{ConfigError, DisabledSafeguards, RaftConfig, ReplicaConfig};
pub use ready::{Event, ProposalResponse, Ready};

use crate::message::{Message, MessageBody};
use crate::storage::{self, HardState, PersistentState};
use crate::{DiskId, Member, NodeId, SeededRng, StateMachine, Time};
use log::RaftLog;
use membership::AcknowledgedState;
use progress::LeaderState;
use replication::Acknowledgement;
use snapshot::{IncomingSnapshot, SnapshotPart};
use std::collections::{BTreeMap, BTreeSet};

/// Time between two requests to join of a replica that is not a member, in heartbeat intervals.
const JOIN_REQUEST_INTERVAL_HEARTBEATS: Time = 4;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Role {
    Follower,
    Candidate { pre_vote: bool, votes: BTreeSet<NodeId> },
    Leader(Box<LeaderState>),
}

/// A replica of the state machine `M`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replica<M> {
    own: Member,
    /// The replicas that the operator's file names.
    configured_replicas: BTreeSet<NodeId>,
    config: RaftConfig,
    rng: SeededRng,
    hard_state: HardState,
    /// Whether the replica knows the members.
    is_bootstrapped: bool,
    log: RaftLog,
    /// Index of the last committed entry; all entries up to it are applied.
    commit_index: u64,
    state_machine: M,
    role: Role,
    leader: Option<NodeId>,
    last_leader_contact: Time,
    election_deadline: Time,
    /// No vote is granted before this time, so that a replica that knows this disk to be stale has time to report it.
    voting_allowed_at: Time,
    /// Replicas with empty disks, and the time of their last request to join.
    empty_replicas: BTreeMap<NodeId, (DiskId, Time)>,
    /// What other replicas' disks have acknowledged.
    acknowledged_states: BTreeMap<NodeId, AcknowledgedState>,
    incoming_snapshot: IncomingSnapshot,
    /// Set once the disk is known to have lost acknowledged state; never cleared.
    is_disk_stale: bool,
}

impl<M: StateMachine> Replica<M> {
    /// Starts a replica from what its disk holds; `initial` is the state before any command.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] where the configuration is not valid.
    pub fn start(
        now: Time,
        config: ReplicaConfig,
        state: PersistentState,
        initial: M,
    ) -> Result<(Replica<M>, Ready), ConfigError> {
        config.raft.validate()?;
        let ReplicaConfig { id, configured_replicas, disk, raft, seed } = config;
        let is_bootstrapped = state.snapshot.is_some();
        let snapshot = state.snapshot.unwrap_or_default();
        let commit_index = snapshot.position.index;
        let has_snapshot = is_bootstrapped && commit_index > 0;
        let restored = has_snapshot.then(|| M::from_snapshot(&state.snapshot_bytes)).flatten();
        let is_disk_stale = has_snapshot && restored.is_none();
        let hard_state = HardState { disk, ..state.hard_state };
        let mut replica = Replica {
            own: Member { id, disk },
            configured_replicas,
            config: raft,
            rng: SeededRng::new(seed ^ disk),
            hard_state,
            is_bootstrapped,
            log: RaftLog::new(snapshot, state.snapshot_bytes, state.entries),
            commit_index,
            state_machine: restored.unwrap_or(initial),
            role: Role::Follower,
            leader: None,
            last_leader_contact: Time::MIN / 2,
            election_deadline: now,
            voting_allowed_at: now + raft.min_election_timeout(),
            empty_replicas: BTreeMap::new(),
            acknowledged_states: BTreeMap::new(),
            incoming_snapshot: IncomingSnapshot::default(),
            is_disk_stale,
        };
        let mut ready = Ready { writes: state.cleanup, ..Ready::default() };
        if state.hard_state != hard_state {
            ready.writes.push(storage::write_hard_state(&hard_state));
        }
        if is_bootstrapped {
            replica.broadcast_disk_check(&mut ready);
        }
        replica.reset_election_deadline(now);
        Ok((replica, ready))
    }

    /// The state machine, with all committed commands applied.
    pub fn state_machine(&self) -> &M {
        &self.state_machine
    }

    /// The state machine, for its parts that are not replicated.
    pub fn state_machine_mut(&mut self) -> &mut M {
        &mut self.state_machine
    }

    /// This replica with its disk.
    pub fn member(&self) -> Member {
        self.own
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Index of the last committed and applied entry.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// The leader of the current term; `None` where it is not known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Whether the disk has lost acknowledged state. The replica does nothing more; its caller restarts it with an empty disk of a new
    /// identity.
    pub fn is_disk_stale(&self) -> bool {
        self.is_disk_stale
    }

    /// Whether the replica is the leader and has committed an entry of its term, so that its commit index is up to date.
    pub fn is_leader(&self) -> bool {
        self.leader_state().is_some_and(|leader_state| self.commit_index >= leader_state.first_index)
    }

    /// The latest members in the log, committed or not.
    pub fn members(&self) -> &[Member] {
        self.log.members()
    }

    /// Time of the next call of [`Replica::tick`].
    pub fn next_deadline(&self) -> Time {
        self.leader_state().map_or(self.election_deadline, |leader_state| leader_state.next_heartbeat)
    }

    /// Number of log entries after the snapshot, and the snapshot's length in bytes.
    pub fn size(&self) -> (usize, usize) {
        (self.log.len(), self.log.snapshot_bytes.len())
    }

    /// Processes the deadlines that have passed at `now`: a heartbeat round, an election, or a request to join.
    pub fn tick(&mut self, now: Time) -> Ready {
        let mut ready = Ready::default();
        if self.is_disk_stale || now < self.next_deadline() {
            return ready;
        }
        if self.leader_state().is_some() {
            self.send_heartbeats(now, &mut ready);
            return ready;
        }
        self.reset_election_deadline(now);
        let next_join_request = now + self.config.heartbeat_interval * JOIN_REQUEST_INTERVAL_HEARTBEATS;
        if !self.is_bootstrapped {
            self.election_deadline = next_join_request;
            self.broadcast(MessageBody::JoinRequest { empty_disk: true }, &mut ready);
            self.try_bootstrap(now, &mut ready);
        } else if now < self.voting_allowed_at {
            self.broadcast_disk_check(&mut ready);
            self.election_deadline = self.voting_allowed_at;
        } else if !self.is_member(self.own) {
            // Not yet or no longer a member: the leader may add it.
            self.election_deadline = next_join_request;
            self.broadcast(MessageBody::JoinRequest { empty_disk: false }, &mut ready);
        } else {
            self.start_election(now, true, &mut ready);
        }
        ready
    }

    /// Handles a message. A message that is out of bounds, from this replica, or for another disk than this replica's is dropped.
    pub fn step(&mut self, now: Time, message: &Message) -> Ready {
        let mut ready = Ready::default();
        if self.is_disk_stale || !message.is_within_bounds() || message.from.id == self.own.id {
            return ready;
        }
        let is_for_other_disk = message.to_disk != 0 && message.to_disk != self.own.disk;
        if is_for_other_disk && !self.config.disabled_safeguards.empty_disk_has_no_vote {
            return ready;
        }
        match &message.body {
            MessageBody::JoinRequest { empty_disk } => {
                self.handle_join_request(now, message.from, *empty_disk, &mut ready)
            }
            MessageBody::Bootstrap { members } => self.bootstrap(now, members, &mut ready),
            MessageBody::DiskCheck { last: _ } => self.handle_disk_check(message.from, &mut ready),
            MessageBody::DiskCheckResponse { last, voted_term } => {
                self.handle_disk_check_response(now, *last, *voted_term, &mut ready)
            }
            _ if message.to_disk == 0 => {}
            _ => self.step_addressed(now, message, &mut ready),
        }
        ready
    }

    /// Handles the messages of elections and replication, which are valid only for the disk that they are addressed to.
    fn step_addressed(&mut self, now: Time, message: &Message, ready: &mut Ready) {
        let from = message.from;
        match &message.body {
            MessageBody::RequestVote { pre_vote, last } => {
                self.handle_request_vote(now, message, *pre_vote, *last, ready)
            }
            MessageBody::RequestVoteResponse { pre_vote, granted } => {
                self.handle_vote_response(now, message, *pre_vote, *granted, ready)
            }
            MessageBody::AppendEntries { round, previous, entries, commit } => {
                if self.accept_leader(now, from, message.term, ready) {
                    let (success, index) = self.append_from_leader(*previous, entries, ready);
                    if success {
                        self.apply_up_to((*commit).min(index), ready);
                    }
                    let body = MessageBody::AppendEntriesResponse { round: *round, success, index };
                    self.send(from, body, ready);
                }
            }
            MessageBody::InstallSnapshot { round, position, members, offset, total_bytes, bytes } => {
                if self.accept_leader(now, from, message.term, ready) {
                    let (position, offset, total_bytes) = (*position, *offset, *total_bytes);
                    let part = SnapshotPart { position, members, offset, total_bytes, bytes };
                    self.handle_snapshot_part(from, *round, part, ready);
                }
            }
            MessageBody::AppendEntriesResponse { round, success, index } => {
                let acknowledgement = match success {
                    true => Acknowledgement::Match(*index),
                    false => Acknowledgement::Rejection(*index),
                };
                self.handle_acknowledgement(now, message, *round, acknowledgement, ready);
            }
            MessageBody::InstallSnapshotResponse { round, index, received_bytes } => {
                self.handle_snapshot_response(now, message, (*round, *index, *received_bytes), ready)
            }
            MessageBody::JoinRequest { .. }
            | MessageBody::Bootstrap { .. }
            | MessageBody::DiskCheck { .. }
            | MessageBody::DiskCheckResponse { .. } => {} // handled by `step`, also with disk 0
        }
    }

    fn leader_state(&self) -> Option<&LeaderState> {
        match &self.role {
            Role::Leader(leader_state) => Some(leader_state),
            Role::Follower | Role::Candidate { .. } => None,
        }
    }

    fn leader_state_mut(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            Role::Leader(leader_state) => Some(leader_state),
            Role::Follower | Role::Candidate { .. } => None,
        }
    }

    fn send(&self, to: Member, body: MessageBody, ready: &mut Ready) {
        let message = Message { from: self.own, to_disk: to.disk, term: self.hard_state.term, body };
        ready.messages.push((to.id, message));
    }

    /// Sends a message to all configured replicas, whatever their disks.
    fn broadcast(&self, body: MessageBody, ready: &mut Ready) {
        for id in self.configured_replicas.iter().filter(|id| **id != self.own.id) {
            self.send(Member { id: *id, disk: 0 }, body.clone(), ready);
        }
    }

    fn broadcast_disk_check(&self, ready: &mut Ready) {
        self.broadcast(MessageBody::DiskCheck { last: self.log.last_position() }, ready);
    }

    fn other_members(&self) -> Vec<Member> {
        self.members().iter().filter(|member| member.id != self.own.id).copied().collect()
    }

    fn is_member(&self, member: Member) -> bool {
        self.members().contains(&member)
    }

    /// The greatest value that a majority of the members has reached: `own` is this replica's value, `value_of` another member's.
    fn majority_value(&self, own: u64, value_of: impl Fn(NodeId) -> u64) -> u64 {
        let members = self.members();
        let value = |member: &Member| if member.id == self.own.id { own } else { value_of(member.id) };
        let mut values: Vec<u64> = members.iter().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(members.len() / 2).copied().unwrap_or(0)
    }
}
