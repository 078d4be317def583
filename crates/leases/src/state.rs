//! The replicated state: the sessions of instances, the owner and fencing token of each partition, and its cursor. The same commands give
//! the same state on each replica.

use crate::messages::{Grant, Operation, PartitionStatus};
use crate::{
    Claim, GrantPosition, NodeId, Partition, MAX_CLAIMS, MAX_GRANTS_PER_MESSAGE, MAX_OPERATIONS_PER_MESSAGE,
    MAX_PARTITIONS, MAX_SESSIONS,
};
use cypresscleat_consensus::StateMachine;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Maximum number of grants after the position that a session knows, in one message.
const MAX_NEW_GRANTS: usize = MAX_GRANTS_PER_MESSAGE / 2;
/// Maximum number of partitions in one list.
const MAX_LISTED_PARTITIONS: usize = 128;
/// Maximum number of changes of owner that are recorded until they are taken.
const MAX_RECORDED_CHANGES: usize = 4 * MAX_PARTITIONS;

/// An idempotent command: committing it again has no further effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Opens a session for this incarnation of an instance, or returns the existing one.
    OpenSession {
        /// The instance.
        instance: NodeId,
        /// Drawn at random at each start of the instance.
        incarnation: u64,
        /// Claims of the session.
        claims: Vec<Claim>,
    },
    /// The instance left, or its lease has ended.
    EndSession {
        /// The session.
        session: u64,
    },
    /// Applies operations of a session.
    Apply {
        /// The session.
        session: u64,
        /// The operations, in their order.
        operations: Vec<Operation>,
    },
    /// Excludes an instance from owning a task, or admits it again.
    Exclude {
        /// The task.
        task: u64,
        /// `None` asks all instances once to release the partitions of the task.
        instance: Option<NodeId>,
        /// Whether the instance is excluded from now on.
        excluded: bool,
    },
}

/// The outcome of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The session that was opened or existed already.
    SessionOpened(u64),
    /// The command was applied.
    Done,
    /// Bit `i` is set where operation `i` is in effect, by this command or an earlier one.
    Applied(u64),
    /// The command had no effect because a limit is reached.
    LimitReached,
}

/// A change of owner, for logs and journals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OwnerChange {
    /// The partition.
    pub partition: Partition,
    /// The session that now owns the partition; 0 for none.
    pub session: u64,
    /// The token of the last grant.
    pub token: u64,
}

impl OwnerChange {
    /// The log line of the change; `owner` is the instance of the session.
    pub fn log_line(&self, owner: Option<NodeId>) -> String {
        let (Partition { task, index }, token) = (self.partition, self.token);
        match owner {
            Some(owner) => format!("duty {task:016x} part {index}: {owner:016x} owns it, token {token}"),
            None => format!("duty {task:016x} part {index}: nobody owns it, after token {token}"),
        }
    }
}

/// A partition of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct PartitionState {
    /// The owner's session; 0 where the partition is free.
    session: u64,
    /// Token of the last grant.
    token: u64,
    /// Step of the last cursor that was saved under that token.
    step: u64,
    cursor: Vec<u8>,
    release_requested: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Session {
    instance: NodeId,
    incarnation: u64,
    claims: Vec<Claim>,
    owned: BTreeSet<GrantPosition>,
    /// Number of owned partitions of each task.
    counts: BTreeMap<u64, u32>,
}

/// A claim in the order in which claims are granted: its rank, the number of partitions of the task that its session owns, the session.
type RankedClaim = (u8, u32, u64);

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseState {
    partitions: BTreeMap<Partition, PartitionState>,
    sessions: BTreeMap<u64, Session>,
    /// Claims to each task, in the order in which they are granted.
    waiting: BTreeMap<u64, BTreeSet<RankedClaim>>,
    /// Free partitions of each task.
    free: BTreeMap<u64, BTreeSet<u32>>,
    /// Number of partitions of each task: the maximum of its claims.
    sizes: BTreeMap<u64, u32>,
    excluded: BTreeSet<(u64, NodeId)>,
    /// Sessions whose grants changed since the last call of `take_sessions_with_new_grants`; not part of the replicated state.
    #[serde(skip)]
    sessions_with_new_grants: BTreeSet<u64>,
    /// Changes of owner since the last call of `take_owner_changes`; not part of the replicated state.
    #[serde(skip)]
    changes: Vec<OwnerChange>,
}

impl LeaseState {
    /// The instance of a session.
    pub fn instance(&self, session: u64) -> Option<NodeId> {
        self.sessions.get(&session).map(|session| session.instance)
    }

    /// The session of one incarnation of an instance.
    pub fn session_of(&self, instance: NodeId, incarnation: u64) -> Option<u64> {
        let found = self
            .sessions
            .iter()
            .find(|(_, state)| (state.instance, state.incarnation) == (instance, incarnation));
        found.map(|(session, _)| *session)
    }

    /// All sessions.
    pub fn sessions(&self) -> impl Iterator<Item = u64> + '_ {
        self.sessions.keys().copied()
    }

    /// The instance that owns a partition, and its token.
    pub fn owner(&self, partition: Partition) -> Option<(NodeId, u64)> {
        let state = self.partitions.get(&partition)?;
        Some((self.instance(state.session)?, state.token))
    }

    /// Whether a session owns a partition.
    pub fn is_owned_by(&self, partition: Partition, session: u64) -> bool {
        self.partitions.get(&partition).is_some_and(|state| state.session == session)
    }

    /// The cursor of a partition; empty where none was saved.
    pub fn cursor(&self, partition: Partition) -> &[u8] {
        self.partitions.get(&partition).map_or(&[], |state| &state.cursor)
    }

    /// Number of partitions of all tasks.
    pub fn partition_count(&self) -> usize {
        self.partitions.len()
    }

    /// Grants of a session after `last_seen_grant`, in their order, and whether there are more. Each call appends the known grants whose
    /// release is requested.
    pub fn grants(&self, session: u64, last_seen_grant: GrantPosition) -> (Vec<Grant>, bool) {
        let Some(holder) = self.sessions.get(&session) else { return (Vec::new(), false) };
        let later = holder.owned.range((Bound::Excluded(last_seen_grant), Bound::Unbounded));
        let mut grants: Vec<Grant> =
            later.take(MAX_NEW_GRANTS + 1).filter_map(|position| self.grant(position)).collect();
        let has_more = grants.len() > MAX_NEW_GRANTS;
        grants.truncate(MAX_NEW_GRANTS);
        if !self.excluded.is_empty() || holder.owned.len() < MAX_GRANTS_PER_MESSAGE {
            let known = holder.owned.range(..=last_seen_grant).filter_map(|position| self.grant(position));
            grants.extend(known.filter(|grant| grant.release_requested).take(MAX_NEW_GRANTS));
        }
        (grants, has_more)
    }

    fn grant(&self, (token, partition): &GrantPosition) -> Option<Grant> {
        let state = self.partitions.get(partition)?;
        let (cursor, release_requested) = (state.cursor.clone(), state.release_requested);
        Some(Grant { partition: *partition, token: *token, cursor, release_requested })
    }

    /// Partitions from `from` on, each with the session that owns it, and whether there are more. The remaining lease and the age of the
    /// cursor are not set, as only a leader knows them.
    pub fn list_partitions(&self, from: Partition) -> (Vec<(u64, PartitionStatus)>, bool) {
        let status = |(partition, state): (&Partition, &PartitionState)| {
            let status = PartitionStatus {
                partition: *partition,
                owner: self.instance(state.session).unwrap_or(0),
                token: state.token,
                lease_left: 0,
                cursor_age: -1,
                cursor: state.cursor.clone(),
            };
            (state.session, status)
        };
        let following = self.partitions.range(from..).map(status);
        let mut listed: Vec<_> = following.take(MAX_LISTED_PARTITIONS + 1).collect();
        let has_more = listed.len() > MAX_LISTED_PARTITIONS;
        listed.truncate(MAX_LISTED_PARTITIONS);
        (listed, has_more)
    }

    /// Sessions whose grants changed since the last call.
    pub fn take_sessions_with_new_grants(&mut self) -> BTreeSet<u64> {
        std::mem::take(&mut self.sessions_with_new_grants)
    }

    /// Changes of owner since the last call.
    pub fn take_owner_changes(&mut self) -> Vec<OwnerChange> {
        std::mem::take(&mut self.changes)
    }

    fn record_change(&mut self, partition: Partition, session: u64, token: u64) {
        if self.changes.len() < MAX_RECORDED_CHANGES {
            self.changes.push(OwnerChange { partition, session, token });
        }
    }

    /// Takes a partition from its owner, so that it is free.
    fn free_partition(&mut self, partition: Partition) {
        let Some(state) = self.partitions.get_mut(&partition).filter(|state| state.session != 0) else {
            return;
        };
        let (session, token) = (std::mem::take(&mut state.session), state.token);
        state.release_requested = false;
        self.free.entry(partition.task).or_default().insert(partition.index);
        self.remove_from_session(session, token, partition);
        self.record_change(partition, 0, token);
    }

    /// Removes a partition from a session, whose claim to the task moves up.
    fn remove_from_session(&mut self, session: u64, token: u64, partition: Partition) {
        let Some(holder) = self.sessions.get_mut(&session) else { return };
        holder.owned.remove(&(token, partition));
        let count = holder.counts.entry(partition.task).or_default();
        let (before, after) = (*count, count.saturating_sub(1));
        *count = after;
        let Some(claim) = holder.claims.iter().find(|claim| claim.task == partition.task) else { return };
        let Some(waiting) = self.waiting.get_mut(&partition.task) else { return };
        if waiting.remove(&(claim.rank, before, session)) {
            waiting.insert((claim.rank, after, session));
        }
    }

    /// Grants the free partitions of a task to its first claims. The fencing token is the log index.
    fn assign_free(&mut self, log_index: u64, task: u64) {
        while let Some(index) = self.free.get(&task).and_then(|free| free.first().copied()) {
            let Some(chosen) = self.first_claim(task) else { return };
            let (rank, owned, session) = chosen;
            if let Some(waiting) = self.waiting.get_mut(&task) {
                waiting.remove(&chosen);
                waiting.insert((rank, owned + 1, session));
            }
            if let Some(free) = self.free.get_mut(&task) {
                free.remove(&index);
            }
            let partition = Partition { task, index };
            let state = self.partitions.entry(partition).or_default();
            (state.session, state.token, state.step, state.release_requested) =
                (session, log_index, 0, false);
            if let Some(holder) = self.sessions.get_mut(&session) {
                holder.owned.insert((log_index, partition));
                *holder.counts.entry(task).or_default() += 1;
            }
            self.sessions_with_new_grants.insert(session);
            self.record_change(partition, session, log_index);
        }
    }

    /// The claim that is granted next; claims of excluded instances are skipped.
    fn first_claim(&self, task: u64) -> Option<RankedClaim> {
        let is_allowed = |claim: &&RankedClaim| {
            let session = self.sessions.get(&claim.2);
            self.excluded.is_empty()
                || session.is_some_and(|session| !self.excluded.contains(&(task, session.instance)))
        };
        self.waiting.get(&task)?.iter().find(is_allowed).copied()
    }

    fn open_session(
        &mut self,
        log_index: u64,
        instance: NodeId,
        incarnation: u64,
        claims: Vec<Claim>,
    ) -> Outcome {
        if let Some(session) = self.session_of(instance, incarnation) {
            return Outcome::SessionOpened(session);
        }
        if !self.is_within_limits(&claims) {
            return Outcome::LimitReached;
        }
        for claim in &claims {
            let size = self.sizes.entry(claim.task).or_default();
            for index in *size..claim.partitions {
                self.partitions.insert(Partition { task: claim.task, index }, PartitionState::default());
                self.free.entry(claim.task).or_default().insert(index);
            }
            *size = claim.partitions.max(*size);
            self.waiting.entry(claim.task).or_default().insert((claim.rank, 0, log_index));
        }
        let tasks: Vec<u64> = claims.iter().map(|claim| claim.task).collect();
        self.sessions.insert(log_index, Session { instance, incarnation, claims, ..Session::default() });
        tasks.into_iter().for_each(|task| self.assign_free(log_index, task));
        Outcome::SessionOpened(log_index)
    }

    fn is_within_limits(&self, claims: &[Claim]) -> bool {
        let existing = |claim: &Claim| self.sizes.get(&claim.task).copied().unwrap_or(0);
        let new: usize =
            claims.iter().map(|claim| claim.partitions.saturating_sub(existing(claim)) as usize).sum();
        self.sessions.len() < MAX_SESSIONS
            && claims.len() <= MAX_CLAIMS
            && self.partitions.len() + new <= MAX_PARTITIONS
    }

    fn end_session(&mut self, log_index: u64, session: u64) {
        let Some(holder) = self.sessions.get(&session) else { return };
        let owned: Vec<Partition> = holder.owned.iter().map(|(_, partition)| *partition).collect();
        let tasks: Vec<u64> = holder.claims.iter().map(|claim| claim.task).collect();
        owned.into_iter().for_each(|partition| self.free_partition(partition));
        self.sessions.remove(&session);
        for task in tasks {
            if let Some(waiting) = self.waiting.get_mut(&task) {
                waiting.retain(|(_, _, claimant)| *claimant != session);
            }
            self.assign_free(log_index, task);
        }
    }

    /// Bit `i` of the outcome is set where operation `i` is in effect.
    fn apply_operations(&mut self, log_index: u64, session: u64, operations: Vec<Operation>) -> Outcome {
        let (mut freed, mut applied) = (BTreeSet::new(), 0);
        for (position, operation) in operations.into_iter().enumerate().take(MAX_OPERATIONS_PER_MESSAGE) {
            let is_in_effect = match operation {
                Operation::Release { partition, token } => {
                    // A release of a former owner, or a retried release, does not affect the current owner.
                    if self.is_granted(partition, session, token) {
                        self.free_partition(partition);
                        freed.insert(partition.task);
                    }
                    true
                }
                Operation::SaveCursor { partition, token, step, cursor } => {
                    self.is_granted(partition, session, token) && self.save_cursor(partition, step, cursor)
                }
            };
            applied |= u64::from(is_in_effect) << position;
        }
        freed.into_iter().for_each(|task| self.assign_free(log_index, task));
        Outcome::Applied(applied)
    }

    fn is_granted(&self, partition: Partition, session: u64, token: u64) -> bool {
        let state = self.partitions.get(&partition);
        session != 0 && state.is_some_and(|state| (state.session, state.token) == (session, token))
    }

    /// Saves a cursor; returns whether it is in effect, by this operation or an earlier one.
    fn save_cursor(&mut self, partition: Partition, step: u64, cursor: Vec<u8>) -> bool {
        let Some(state) = self.partitions.get_mut(&partition) else { return false };
        if step <= state.step {
            return cursor == state.cursor;
        }
        (state.step, state.cursor) = (step, cursor);
        true
    }

    fn exclude(&mut self, log_index: u64, task: u64, instance: Option<NodeId>, excluded: bool) {
        match (instance, excluded) {
            (Some(instance), true) => drop(self.excluded.insert((task, instance))),
            (Some(instance), false) => drop(self.excluded.remove(&(task, instance))),
            _ => {}
        }
        if excluded {
            // The owner receives the request, and releases the partition once its work has stopped.
            let all =
                self.partitions.range_mut(Partition { task, index: 0 }..=Partition { task, index: u32::MAX });
            for (_, state) in all {
                let holder = self.sessions.get(&state.session);
                if holder.is_some_and(|holder| instance.is_none_or(|instance| instance == holder.instance)) {
                    state.release_requested = true;
                    self.sessions_with_new_grants.insert(state.session);
                }
            }
        }
        self.assign_free(log_index, task);
    }
}

impl StateMachine for LeaseState {
    fn apply(&mut self, log_index: u64, command: &[u8]) -> Vec<u8> {
        let outcome = match postcard::from_bytes(command) {
            Ok(Command::OpenSession { instance, incarnation, claims }) => {
                self.open_session(log_index, instance, incarnation, claims)
            }
            Ok(Command::EndSession { session }) => {
                self.end_session(log_index, session);
                Outcome::Done
            }
            Ok(Command::Apply { session, operations }) => {
                self.apply_operations(log_index, session, operations)
            }
            Ok(Command::Exclude { task, instance, excluded }) => {
                self.exclude(log_index, task, instance, excluded);
                Outcome::Done
            }
            // A command of a later version has no effect, on all replicas alike.
            Err(_) => Outcome::Done,
        };
        postcard::to_stdvec(&outcome).unwrap_or_default()
    }
    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
    fn from_snapshot(bytes: &[u8]) -> Option<LeaseState> {
        postcard::from_bytes(bytes).ok()
    }
}

impl AsRef<LeaseState> for LeaseState {
    fn as_ref(&self) -> &LeaseState {
        self
    }
}
impl AsMut<LeaseState> for LeaseState {
    fn as_mut(&mut self) -> &mut LeaseState {
        self
    }
}
