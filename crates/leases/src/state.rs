//! What the replicas agree on: sessions of instances, who owns which partition under which token, where its work stands. A machine
//! of `quorum`: the same commands give the same state at every replica.

use crate::messages::{Grant, Operation, PartitionStatus};
use crate::{
    Claim, NodeId, Partition, Time, MAX_CLAIMS, MAX_GRANTS_PER_MESSAGE, MAX_PARTITIONS, MAX_SESSIONS,
};
use cypresscleat_consensus::Machine;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A command. Each is carried out at most once in its effect, however often it is decided.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A session for this incarnation of an instance: the one there is, or a new one.
    OpenSession {
        instance: NodeId,
        incarnation: u64,
        claims: Vec<Claim>,
    },
    /// It left, or its lease is over.
    EndSession {
        session: u64,
    },
    Apply {
        session: u64,
        operations: Vec<Operation>,
    },
    Exclude {
        task: u64,
        instance: Option<NodeId>,
        excluded: bool,
    },
}

/// What a command came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    SessionOpened(u64),
    Done,
    /// Of the operations the first is bit 0: it holds, now or from an earlier time.
    Applied(u64),
    LimitReached,
}

/// A partition that somebody owns or owned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct PartitionState {
    /// The owner's session; 0 where nobody owns it.
    session: u64,
    /// Of the last grant.
    token: u64,
    /// The last step taken under that token.
    step: u64,
    cursor: Vec<u8>,
    release_requested: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Session {
    instance: NodeId,
    incarnation: u64,
    claims: Vec<Claim>,
    owned: BTreeSet<(u64, Partition)>,
    /// Partitions owned of each task.
    counts: BTreeMap<u64, u32>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseState {
    partitions: BTreeMap<Partition, PartitionState>,
    sessions: BTreeMap<u64, Session>,
    /// Of each task, who would take a partition: by rank, then by partitions owned, then by age.
    waiting: BTreeMap<u64, BTreeSet<(u8, u32, u64)>>,
    free: BTreeMap<u64, BTreeSet<u32>>,
    /// Partitions of each task, as the largest claim had them.
    sizes: BTreeMap<u64, u32>,
    excluded: BTreeSet<(u64, NodeId)>,
    /// Sessions whose grants changed since they were last taken; of no account for what is agreed.
    #[serde(skip)]
    sessions_with_new_grants: BTreeSet<u64>,
    /// Changes of owner since they were last taken: partition, session (0: nobody), token.
    #[serde(skip)]
    changes: Vec<(Partition, u64, u64)>,
}

/// Changes of owner that are kept for whoever looks.
const MAX_RECORDED_CHANGES: usize = 4 * MAX_PARTITIONS;

impl LeaseState {
    pub fn instance(&self, session: u64) -> Option<NodeId> {
        self.sessions.get(&session).map(|session| session.instance)
    }
    pub fn session_of(&self, instance: NodeId, incarnation: u64) -> Option<u64> {
        let found =
            self.sessions.iter().find(|(_, one)| (one.instance, one.incarnation) == (instance, incarnation));
        found.map(|(session, _)| *session)
    }
    pub fn sessions(&self) -> impl Iterator<Item = u64> + '_ {
        self.sessions.keys().copied()
    }
    pub fn owner(&self, partition: Partition) -> Option<(NodeId, u64)> {
        let state = self.partitions.get(&partition)?;
        Some((self.instance(state.session)?, state.token))
    }
    /// Whether a session owns a partition.
    pub fn is_owned_by(&self, partition: Partition, session: u64) -> bool {
        self.partitions.get(&partition).is_some_and(|state| state.session == session)
    }
    pub fn cursor(&self, partition: Partition) -> &[u8] {
        self.partitions.get(&partition).map_or(&[], |state| &state.cursor)
    }
    pub fn partition_count(&self) -> usize {
        self.partitions.len()
    }

    /// Grants of a session past `last_seen_grant`, in their order, and whether there are more; those to be given back are told each time.
    pub fn grants(&self, session: u64, last_seen_grant: (u64, Partition)) -> (Vec<Grant>, bool) {
        let Some(own) = self.sessions.get(&session) else { return (Vec::new(), false) };
        let grant = |(token, partition): &(u64, Partition)| {
            let state = self.partitions.get(partition)?;
            Some(Grant {
                partition: *partition,
                token: *token,
                cursor: state.cursor.clone(),
                release_requested: state.release_requested,
            })
        };
        let after = own.owned.range((std::ops::Bound::Excluded(last_seen_grant), std::ops::Bound::Unbounded));
        let mut all: Vec<Grant> = after.take(MAX_GRANTS_PER_MESSAGE / 2 + 1).filter_map(grant).collect();
        let more = all.len() > MAX_GRANTS_PER_MESSAGE / 2;
        all.truncate(MAX_GRANTS_PER_MESSAGE / 2);
        if !self.excluded.is_empty() || own.owned.len() < MAX_GRANTS_PER_MESSAGE {
            let leave = own.owned.range(..=last_seen_grant).filter(|(_, partition)| {
                self.partitions.get(partition).is_some_and(|state| state.release_requested)
            });
            all.extend(leave.take(MAX_GRANTS_PER_MESSAGE / 2).filter_map(grant));
        }
        (all, more)
    }

    pub fn list_partitions(&self, from: Partition) -> (Vec<PartitionStatus>, bool) {
        let line = |(partition, state): (&Partition, &PartitionState)| PartitionStatus {
            partition: *partition,
            owner: self.instance(state.session).unwrap_or(0),
            token: state.token,
            lease_left: state.session as Time,
            cursor_age: -1,
            cursor: state.cursor.clone(),
        };
        let mut all: Vec<PartitionStatus> = self.partitions.range(from..).take(129).map(line).collect();
        let more = all.len() > 128;
        all.truncate(128);
        (all, more)
    }

    pub fn take_sessions_with_new_grants(&mut self) -> BTreeSet<u64> {
        std::mem::take(&mut self.sessions_with_new_grants)
    }
    pub fn take_owner_changes(&mut self) -> Vec<(Partition, u64, u64)> {
        std::mem::take(&mut self.changes)
    }

    fn record_change(&mut self, partition: Partition, session: u64, token: u64) {
        if self.changes.len() < MAX_RECORDED_CHANGES {
            self.changes.push((partition, session, token));
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
        if let Some(own) = self.sessions.get_mut(&session) {
            own.owned.remove(&(token, partition));
            let count = own.counts.entry(partition.task).or_default();
            let had = std::mem::replace(count, count.saturating_sub(1));
            let left = *count;
            let rank = own.claims.iter().find(|claim| claim.task == partition.task).map(|claim| claim.rank);
            if let (Some(rank), Some(waiting)) = (rank, self.waiting.get_mut(&partition.task)) {
                if waiting.remove(&(rank, had, session)) {
                    waiting.insert((rank, left, session));
                }
            }
        }
        self.record_change(partition, 0, token);
    }

    /// Gives the free partitions of a task to those that wait for it.
    fn assign_free(&mut self, index: u64, task: u64) {
        while let Some(number) = self.free.get(&task).and_then(|free| free.first().copied()) {
            let Some(waiting) = self.waiting.get_mut(&task) else { return };
            let excluded = &self.excluded;
            let sessions = &self.sessions;
            let may = |one: &&(u8, u32, u64)| {
                excluded.is_empty()
                    || sessions.get(&one.2).is_some_and(|own| !excluded.contains(&(task, own.instance)))
            };
            let Some(chosen) = waiting.iter().find(may).copied() else { return };
            let (rank, had, session) = chosen;
            waiting.remove(&chosen);
            waiting.insert((rank, had + 1, session));
            if let Some(free) = self.free.get_mut(&task) {
                free.remove(&number);
            }
            let partition = Partition { task, index: number };
            let state = self.partitions.entry(partition).or_default();
            (state.session, state.token, state.step, state.release_requested) = (session, index, 0, false);
            if let Some(own) = self.sessions.get_mut(&session) {
                own.owned.insert((index, partition));
                *own.counts.entry(task).or_default() += 1;
            }
            self.sessions_with_new_grants.insert(session);
            self.record_change(partition, session, index);
        }
    }

    fn open_session(
        &mut self,
        index: u64,
        instance: NodeId,
        incarnation: u64,
        claims: Vec<Claim>,
    ) -> Outcome {
        if let Some(session) = self.session_of(instance, incarnation) {
            return Outcome::SessionOpened(session);
        }
        let has = |claim: &Claim| self.sizes.get(&claim.task).copied().unwrap_or(0);
        let new: usize =
            claims.iter().map(|claim| claim.partitions.saturating_sub(has(claim)) as usize).sum();
        if self.sessions.len() >= MAX_SESSIONS
            || claims.len() > MAX_CLAIMS
            || self.partitions.len() + new > MAX_PARTITIONS
        {
            return Outcome::LimitReached;
        }
        for claim in &claims {
            let size = self.sizes.entry(claim.task).or_default();
            for index in *size..claim.partitions {
                self.partitions.insert(Partition { task: claim.task, index }, PartitionState::default());
                self.free.entry(claim.task).or_default().insert(index);
            }
            *size = claim.partitions.max(*size);
            self.waiting.entry(claim.task).or_default().insert((claim.rank, 0, index));
        }
        let tasks: Vec<u64> = claims.iter().map(|claim| claim.task).collect();
        self.sessions.insert(index, Session { instance, incarnation, claims, ..Session::default() });
        tasks.into_iter().for_each(|task| self.assign_free(index, task));
        Outcome::SessionOpened(index)
    }

    fn end_session(&mut self, index: u64, session: u64) {
        let Some(own) = self.sessions.get(&session) else { return };
        let owned: Vec<Partition> = own.owned.iter().map(|(_, partition)| *partition).collect();
        let tasks: Vec<u64> = own.claims.iter().map(|claim| claim.task).collect();
        owned.into_iter().for_each(|partition| self.free_partition(partition));
        self.sessions.remove(&session);
        for task in tasks {
            if let Some(waiting) = self.waiting.get_mut(&task) {
                waiting.retain(|(_, _, one)| *one != session);
            }
            self.assign_free(index, task);
        }
    }

    fn apply_operations(&mut self, index: u64, session: u64, operations: Vec<Operation>) -> Outcome {
        let (mut freed, mut applied) = (BTreeSet::new(), 0);
        for (at, operation) in operations.into_iter().enumerate().take(64) {
            let mut accepted = true;
            match operation {
                Operation::Release { partition, token } => {
                    // Of an owner that was, or doubled: whoever owns it now keeps it.
                    let own = self
                        .partitions
                        .get(&partition)
                        .is_some_and(|state| (state.session, state.token) == (session, token));
                    if own && session != 0 {
                        self.free_partition(partition);
                        freed.insert(partition.task);
                    }
                }
                Operation::SaveCursor { partition, token, step, cursor } => {
                    let Some(state) = self.partitions.get_mut(&partition) else { continue };
                    let own = session != 0 && (state.session, state.token) == (session, token);
                    accepted = own && (step > state.step || cursor == state.cursor);
                    if own && step > state.step {
                        (state.step, state.cursor) = (step, cursor);
                    }
                }
            }
            applied |= u64::from(accepted) << at;
        }
        freed.into_iter().for_each(|task| self.assign_free(index, task));
        Outcome::Applied(applied)
    }

    fn exclude(&mut self, index: u64, task: u64, instance: Option<NodeId>, excluded: bool) {
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
        self.assign_free(index, task);
    }
}

impl Machine for LeaseState {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        let outcome = match postcard::from_bytes(command) {
            Ok(Command::OpenSession { instance, incarnation, claims }) => {
                self.open_session(index, instance, incarnation, claims)
            }
            Ok(Command::EndSession { session }) => {
                self.end_session(index, session);
                Outcome::Done
            }
            Ok(Command::Apply { session, operations }) => self.apply_operations(index, session, operations),
            Ok(Command::Exclude { task, instance, excluded }) => {
                self.exclude(index, task, instance, excluded);
                Outcome::Done
            }
            // Of a later version, proposed by nobody that this one knows: the same everywhere, nothing.
            Err(_) => Outcome::Done,
        };
        postcard::to_stdvec(&outcome).unwrap_or_default()
    }
    fn image(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
    fn from_image(bytes: &[u8]) -> Option<LeaseState> {
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
