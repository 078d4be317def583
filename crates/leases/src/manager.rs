//! At the replica that leads: hears instances, renews sessions, ends those whose lease is over. What is agreed stands in
//! [`LeaseState`]; here is only what a leader may forget: when each session was last heard.
//!
//! A renewal writes nothing, however many partitions a session owns. It is answered only once a majority has heard this leader in a
//! round that began after the renewal came: nobody else led then, so whoever leads next counts that session's lease from later.

use crate::messages::{Request, Response};
use crate::state::{Command, LeaseState, Outcome};
use crate::{NodeId, Partition, Time};
use cypresscleat_consensus as quorum;
use cypresscleat_consensus::{Keeper, Machine, Out};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Renewals and proposals that wait for a response at once; more are not heard.
const MAX_PENDING: usize = 8192;

#[derive(Clone, Debug)]
enum PendingProposal<A> {
    Open { from: A, number: u32, whose: (NodeId, u64) },
    Do { from: A, number: u32 },
    End,
}

/// `A` is where an instance hears.
#[derive(Clone, Debug)]
pub struct LeaseManager<A> {
    lease: Time,
    /// Under which term the figures below were taken.
    term: Option<u64>,
    renewed: BTreeMap<u64, Time>,
    /// Where each session hears, and the last grant that it says it knows.
    sessions_at: BTreeMap<u64, (A, (u64, Partition))>,
    pending_renewals: VecDeque<(u64, A, u64, u32)>,
    proposed: BTreeMap<u64, PendingProposal<A>>,
    opening: BTreeSet<(NodeId, u64)>,
    ending: BTreeSet<u64>,
    last_proposal: u64,
    polled_at: Time,
    /// When a cursor of a partition was last moved here.
    cursor_moved_at: BTreeMap<Partition, Time>,
}

/// What is to be sent to whom.
pub type Responses<A> = Vec<(A, Response)>;

/// What the replicas agree on holds leases.
pub trait LeaseStateMachine: Machine + AsRef<LeaseState> + AsMut<LeaseState> {}
impl<M: Machine + AsRef<LeaseState> + AsMut<LeaseState>> LeaseStateMachine for M {}

impl<A: Copy> LeaseManager<A> {
    pub fn new(lease: Time) -> LeaseManager<A> {
        LeaseManager {
            lease,
            term: None,
            renewed: BTreeMap::new(),
            sessions_at: BTreeMap::new(),
            pending_renewals: VecDeque::new(),
            proposed: BTreeMap::new(),
            opening: BTreeSet::new(),
            ending: BTreeSet::new(),
            last_proposal: 0,
            polled_at: 0,
            cursor_moved_at: BTreeMap::new(),
        }
    }

    pub fn handle<M: LeaseStateMachine>(
        &mut self,
        now: Time,
        replica: &mut Keeper<M>,
        from: A,
        request: Request,
    ) -> (Out, Responses<A>) {
        let mut responses = Vec::new();
        if !request.is_within_bounds() {
            return (Out::default(), responses);
        }
        let Some(round) = replica.asks() else {
            let leader = replica.leader().filter(|leader| *leader != replica.own().id).unwrap_or(0);
            responses.push((from, Response::NotLeader { leader }));
            return (Out::default(), responses);
        };
        let mut out = Out::default();
        self.refresh_term(now, replica);
        if self.pending_renewals.len() + self.proposed.len() >= MAX_PENDING {
            return (out, responses);
        }
        match request {
            Request::Renew { instance, incarnation, session, number, last_seen_grant, claims } => {
                let of_its_own = replica.machine().as_ref().instance(session) == Some(instance);
                if session == 0 {
                    if self.opening.insert((instance, incarnation)) {
                        let command = Command::OpenSession { instance, incarnation, claims };
                        out = out.and(self.propose(
                            now,
                            replica,
                            &command,
                            PendingProposal::Open { from, number, whose: (instance, incarnation) },
                        ));
                    }
                } else if !of_its_own || self.ending.contains(&session) {
                    if !of_its_own {
                        responses.push((from, Response::SessionExpired { session }));
                    }
                } else {
                    self.renewed.insert(session, now);
                    self.sessions_at.insert(session, (from, last_seen_grant));
                    self.pending_renewals.push_back((round, from, session, number));
                }
            }
            Request::Apply { session, number, operations } => {
                for operation in &operations {
                    if let crate::messages::Operation::SaveCursor { partition, .. } = operation {
                        self.cursor_moved_at.insert(*partition, now);
                    }
                }
                let command = Command::Apply { session, operations };
                out = out.and(self.propose(now, replica, &command, PendingProposal::Do { from, number }));
            }
            Request::Leave { session, number } => {
                let command = Command::EndSession { session };
                out = out.and(self.propose(now, replica, &command, PendingProposal::Do { from, number }));
            }
            Request::Exclude { number, task, instance, excluded } => {
                let command = Command::Exclude { task, instance, excluded };
                out = out.and(self.propose(now, replica, &command, PendingProposal::Do { from, number }));
            }
            Request::List { number, from: first } => {
                let (mut partitions, more) = replica.machine().as_ref().list_partitions(first);
                for line in &mut partitions {
                    let session = line.lease_left as u64;
                    let heard = self.renewed.get(&session).copied();
                    line.lease_left = heard.map_or(0, |heard| (heard + self.lease - now).max(0));
                    line.cursor_age = self.cursor_moved_at.get(&line.partition).map_or(-1, |at| now - at);
                }
                responses.push((from, Response::Partitions { number, partitions, more }));
            }
        }
        let (more, also) = self.poll(now, replica, Vec::new());
        responses.extend(also);
        (out.and(more), responses)
    }

    fn propose<M: LeaseStateMachine>(
        &mut self,
        now: Time,
        replica: &mut Keeper<M>,
        command: &Command,
        whose: PendingProposal<A>,
    ) -> Out {
        self.last_proposal += 1;
        self.proposed.insert(self.last_proposal, whose);
        let bytes = postcard::to_stdvec(command).unwrap_or_default();
        match replica.propose(now, self.last_proposal, bytes) {
            Some(out) => out,
            None => {
                self.proposed.remove(&self.last_proposal);
                Out::default()
            }
        }
    }

    /// A leader that is new, or was away itself, gives every session its whole lease again: nobody can have renewed with it.
    fn refresh_term<M: LeaseStateMachine>(&mut self, now: Time, replica: &Keeper<M>) {
        let away = now - self.polled_at > self.lease / 2;
        self.polled_at = now;
        if self.term != Some(replica.term()) || away {
            if self.term != Some(replica.term()) {
                self.pending_renewals.clear();
                self.proposed.clear();
                self.opening.clear();
                self.ending.clear();
                self.sessions_at.clear();
            }
            self.term = Some(replica.term());
            self.renewed = replica.machine().as_ref().sessions().map(|session| (session, now)).collect();
        }
    }

    /// To be called after every step of the replica, with its answers: what can be answered now, and what is over.
    pub fn poll<M: LeaseStateMachine>(
        &mut self,
        now: Time,
        replica: &mut Keeper<M>,
        answers: Vec<quorum::Answer>,
    ) -> (Out, Responses<A>) {
        let (mut out, mut responses) = (Out::default(), Vec::new());
        if !replica.leads() {
            self.term = None;
            replica.machine_mut().as_mut().take_sessions_with_new_grants();
            return (out, responses);
        }
        self.refresh_term(now, replica);
        for response in answers {
            let quorum::Answer::Done { number, said: bytes, .. } = response else { continue };
            let outcome = postcard::from_bytes(&bytes).unwrap_or(Outcome::Done);
            self.complete_proposal(now, replica, number, outcome, &mut responses);
        }
        // Those whose lease is over. Whoever hears of it last, itself, held it to be over before.
        let over = self
            .renewed
            .iter()
            .filter(|(session, heard)| now - **heard > self.lease && !self.ending.contains(session));
        let over: Vec<u64> = over.map(|(session, _)| *session).collect();
        for session in over {
            self.ending.insert(session);
            out = out.and(self.propose(now, replica, &Command::EndSession { session }, PendingProposal::End));
        }
        for session in replica.machine_mut().as_mut().take_sessions_with_new_grants() {
            let Some((from, after)) = self.sessions_at.get(&session).copied() else { continue };
            let (grants, _) = replica.machine().as_ref().grants(session, after);
            responses.push((from, Response::Granted { session, after, grants }));
        }
        let confirmed = replica.confirmed();
        while let Some((_, from, session, number)) =
            self.pending_renewals.front().filter(|one| one.0 <= confirmed).copied()
        {
            self.pending_renewals.pop_front();
            if replica.machine().as_ref().instance(session).is_none() {
                responses.push((from, Response::SessionExpired { session }));
                continue;
            }
            let after =
                self.sessions_at.get(&session).map_or((0, Partition { task: 0, index: 0 }), |hears| hears.1);
            let (grants, more) = replica.machine().as_ref().grants(session, after);
            responses
                .push((from, Response::Renewed { session, number, lease: self.lease, after, grants, more }));
        }
        (out, responses)
    }

    fn complete_proposal<M: LeaseStateMachine>(
        &mut self,
        now: Time,
        replica: &Keeper<M>,
        number: u64,
        outcome: Outcome,
        responses: &mut Responses<A>,
    ) {
        let Some(whose) = self.proposed.remove(&number) else { return };
        let machine = replica.machine().as_ref();
        match (whose, outcome) {
            (PendingProposal::Open { from, number, whose }, Outcome::SessionOpened(session)) => {
                self.opening.remove(&whose);
                // One that is there already, and asks anew as a response was lost, is renewed by that.
                let renewed = self.renewed.entry(session).or_insert(now);
                *renewed = (*renewed).max(now);
                self.sessions_at.insert(session, (from, (0, Partition { task: 0, index: 0 })));
                if let Some(round) = replica.asks() {
                    self.pending_renewals.push_back((round, from, session, number));
                }
            }
            (PendingProposal::Open { from, number, whose }, _) => {
                self.opening.remove(&whose);
                responses.push((from, Response::LimitReached { number }));
            }
            (PendingProposal::Do { from, number }, outcome) => {
                let applied = if let Outcome::Applied(applied) = outcome { applied } else { u64::MAX };
                responses.push((from, Response::Done { number, applied }));
            }
            (PendingProposal::End, _) => {}
        }
        self.renewed.retain(|session, _| machine.instance(*session).is_some());
        self.sessions_at.retain(|session, _| machine.instance(*session).is_some());
        self.ending.retain(|session| machine.instance(*session).is_some());
    }
}
