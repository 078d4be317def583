//! The replicated state: sessions of instances, who owns which partition under which token, and where its work stands. The same commands
//! give the same state at every replica.

use crate::messages::{Grant, Operation, PartitionStatus};
use crate::{
    Claim, GrantPosition, NodeId, Partition, MAX_CLAIMS, MAX_GRANTS_PER_MESSAGE, MAX_OPERATIONS_PER_MESSAGE,
    MAX_PARTITIONS, MAX_SESSIONS,
};
use cypresscleat_consensus::StateMachine;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Grants past the position that a session knows, in one message.
const MAX_NEW_GRANTS: usize = MAX_GRANTS_PER_MESSAGE / 2;
/// Partitions of one list.
const MAX_LISTED_PARTITIONS: usize = 128;
/// Changes of owner that are kept until they are taken.
const MAX_RECORDED_CHANGES: usize = 4 * MAX_PARTITIONS;

/// A command. It has its effect once, however often it is decided.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Opens a session for this incarnation of an instance, or returns the one there is.
    OpenSession {
        /// The instance.
        instance: NodeId,
        /// Drawn anew at each start of the instance.
        incarnation: u64,
        /// What the session would own.
        claims: Vec<Claim>,
    },
    /// The instance left, or its lease is over.
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
    /// Keeps an instance from owning a task, or lets it again.
    Exclude {
        /// The task.
        task: u64,
        /// `None` is all instances, for one moment.
        instance: Option<NodeId>,
        /// Whether the instance is excluded from now on.
        excluded: bool,
    },
}

/// What a command came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The session that was opened, or was there.
    SessionOpened(u64),
    /// Done.
    Done,
    /// Bit `i` is set where operation `i` holds, now or from an earlier time.
    Applied(u64),
    /// Nothing was done, as a limit is reached.
    LimitReached,
}

/// A change of owner, for logs and journals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OwnerChange {
    /// The partition.
    pub partition: Partition,
    /// The session that owns it now; 0 for none.
    pub session: u64,
    /// The token of the last grant.
    pub token: u64,
}

impl OwnerChange {
    /// The line of a log; `owner` is the instance of the session.
    pub fn log_line(&self, owner: Option<NodeId>) -> String {
        let (Partition { task, index }, token) = (self.partition, self.token);
        match owner {
            Some(owner) => format!("duty {task:016x} part {index}: {owner:016x} owns it, token {token}"),
            None => format!("duty {task:016x} part {index}: nobody owns it, after token {token}"),
        }
    }
}

/// A partition that somebody owns or owned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct PartitionState {
    /// The owner's session; 0 where nobody owns it.
    session: u64,
    /// Of the last grant.
    token: u64,
    /// Of the last cursor that was saved under that token.
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
    /// Partitions owned of each task.
    counts: BTreeMap<u64, u32>,
}

/// A claim in the order in which claims are served: its rank, the partitions that its session owns of the task, the session.
type RankedClaim = (u8, u32, u64);

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseState {
    partitions: BTreeMap<Partition, PartitionState>,
    sessions: BTreeMap<u64, Session>,
    /// Claims to each task.
    waiting: BTreeMap<u64, BTreeSet<RankedClaim>>,
    /// Partitions of each task that nobody owns.
    free: BTreeMap<u64, BTreeSet<u32>>,
    /// Partitions of each task: the most that a claim had.
    sizes: BTreeMap<u64, u32>,
    excluded: BTreeSet<(u64, NodeId)>,
    /// Sessions whose grants changed since they were last taken; not part of the replicated state.
    #[serde(skip)]
    sessions_with_new_grants: BTreeSet<u64>,
    /// Changes of owner since they were last taken; not part of the replicated state.
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
        let found =
            self.sessions.iter().find(|(_, one)| (one.instance, one.incarnation) == (instance, incarnation));
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

    /// Where the work on a partition stands.
    pub fn cursor(&self, partition: Partition) -> &[u8] {
        self.partitions.get(&partition).map_or(&[], |state| &state.cursor)
    }

    /// Partitions of all tasks.
    pub fn partition_count(&self) -> usize {
        self.partitions.len()
    }

    /// Grants of a session past `last_seen_grant`, in their order, and whether there are more. Behind them come those that are to be given
    /// back, each time.
    pub fn grants(&self, session: u64, last_seen_grant: GrantPosition) -> (Vec<Grant>, bool) {
        let Some(own) = self.sessions.get(&session) else { return (Vec::new(), false) };
        let later = own.owned.range((Bound::Excluded(last_seen_grant), Bound::Unbounded));
        let mut grants: Vec<Grant> =
            later.take(MAX_NEW_GRANTS + 1).filter_map(|position| self.grant(position)).collect();
        let has_more = grants.len() > MAX_NEW_GRANTS;
        grants.truncate(MAX_NEW_GRANTS);
        if !self.excluded.is_empty() || own.owned.len() < MAX_GRANTS_PER_MESSAGE {
            let known = own.owned.range(..=last_seen_grant).filter_map(|position| self.grant(position));
            grants.extend(known.filter(|grant| grant.release_requested).take(MAX_NEW_GRANTS));
        }
        (grants, has_more)
    }

    fn grant(&self, (token, partition): &GrantPosition) -> Option<Grant> {
        let state = self.partitions.get(partition)?;
        let (cursor, release_requested) = (state.cursor.clone(), state.release_requested);
        Some(Grant { partition: *partition, token: *token, cursor, release_requested })
    }

    /// Partitions from `from` on, each with the session that owns it, and whether there are more. What only a leader knows is left open.
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
        let from_there = self.partitions.range(from..).map(status);
        let mut listed: Vec<_> = from_there.take(MAX_LISTED_PARTITIONS + 1).collect();
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

    /// Takes a partition from its owner, whoever that is; it is free then.
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

    /// The session owns one partition less, and its claim to the task moves up.
    fn remove_from_session(&mut self, session: u64, token: u64, partition: Partition) {
        let Some(own) = self.sessions.get_mut(&session) else { return };
        own.owned.remove(&(token, partition));
        let count = own.counts.entry(partition.task).or_default();
        let (before, after) = (*count, count.saturating_sub(1));
        *count = after;
        let Some(claim) = own.claims.iter().find(|claim| claim.task == partition.task) else { return };
        let Some(waiting) = self.waiting.get_mut(&partition.task) else { return };
        if waiting.remove(&(claim.rank, before, session)) {
            waiting.insert((claim.rank, after, session));
        }
    }

    /// Gives the free partitions of a task to the claims that come first. The token is the log index.
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
            if let Some(own) = self.sessions.get_mut(&session) {
                own.owned.insert((log_index, partition));
                *own.counts.entry(task).or_default() += 1;
            }
            self.sessions_with_new_grants.insert(session);
            self.record_change(partition, session, log_index);
        }
    }

    /// The claim that is served next; those of excluded instances are passed over.
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
        if !self.has_room_for(&claims) {
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

    fn has_room_for(&self, claims: &[Claim]) -> bool {
        let existing = |claim: &Claim| self.sizes.get(&claim.task).copied().unwrap_or(0);
        let new: usize =
            claims.iter().map(|claim| claim.partitions.saturating_sub(existing(claim)) as usize).sum();
        self.sessions.len() < MAX_SESSIONS
            && claims.len() <= MAX_CLAIMS
            && self.partitions.len() + new <= MAX_PARTITIONS
    }

    fn end_session(&mut self, log_index: u64, session: u64) {
        let Some(own) = self.sessions.get(&session) else { return };
        let owned: Vec<Partition> = own.owned.iter().map(|(_, partition)| *partition).collect();
        let tasks: Vec<u64> = own.claims.iter().map(|claim| claim.task).collect();
        owned.into_iter().for_each(|partition| self.free_partition(partition));
        self.sessions.remove(&session);
        for task in tasks {
            if let Some(waiting) = self.waiting.get_mut(&task) {
                waiting.retain(|(_, _, one)| *one != session);
            }
            self.assign_free(log_index, task);
        }
    }

    /// Bit `i` of the outcome is set where operation `i` holds.
    fn apply_operations(&mut self, log_index: u64, session: u64, operations: Vec<Operation>) -> Outcome {
        let (mut freed, mut applied) = (BTreeSet::new(), 0);
        for (position, operation) in operations.into_iter().enumerate().take(MAX_OPERATIONS_PER_MESSAGE) {
            let holds = match operation {
                Operation::Release { partition, token } => {
                    // One of a former owner, or a repeated one, leaves the partition to whoever owns it now.
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
            applied |= u64::from(holds) << position;
        }
        freed.into_iter().for_each(|task| self.assign_free(log_index, task));
        Outcome::Applied(applied)
    }

    fn is_granted(&self, partition: Partition, session: u64, token: u64) -> bool {
        let state = self.partitions.get(&partition);
        session != 0 && state.is_some_and(|state| (state.session, state.token) == (session, token))
    }

    /// Whether the cursor stands, now or from an earlier time.
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
            // Its owner is told, and gives it back once it has stopped.
            let all =
                self.partitions.range_mut(Partition { task, index: 0 }..=Partition { task, index: u32::MAX });
            for (_, state) in all {
                let own = self.sessions.get(&state.session);
                if own.is_some_and(|own| instance.is_none_or(|instance| instance == own.instance)) {
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
            // A command of a later version: no effect, at every replica alike.
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
