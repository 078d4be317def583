//! Runs on the leader: renews sessions and expires those whose lease has ended. What is agreed stands in [`LeaseState`]; here is only
//! what a leader may forget, above all when each session was last heard.
//!
//! A renewal writes nothing, however many partitions a session owns. It is answered only once a majority has confirmed this leader in a
//! round that began after the renewal arrived: nobody else led then, so whoever leads next counts that session's lease from later.

mod requests;

use crate::expiry::has_expired_at_leader;
use crate::messages::Response;
use crate::state::{Command, LeaseState, Outcome};
use crate::{GrantPosition, NodeId, Partition, Time, NO_GRANT};
use cypresscleat_consensus as consensus;
use cypresscleat_consensus::{Ready, Replica, StateMachine};
use cypresscleat_sessions::leader::{confirmation_round, PendingProposals, UnconfirmedRequests};
use std::collections::{BTreeMap, BTreeSet};

/// Renewals and proposals that wait at once; further requests are dropped.
const MAX_PENDING: usize = 8192;

/// Why a command was proposed, and who waits for its outcome.
#[derive(Clone, Debug)]
enum PendingProposal<A> {
    OpenSession { from: A, number: u32, opening: Incarnation },
    Reply { from: A, number: u32 },
    Expire,
}

/// One incarnation of an instance.
type Incarnation = (NodeId, u64);

/// A renewal that waits until a majority has confirmed the leader.
#[derive(Clone, Copy, Debug)]
struct PendingRenewal<A> {
    from: A,
    session: u64,
    number: u32,
}

/// Where a session's instance is reached, and the last grant that it knows.
#[derive(Clone, Copy, Debug)]
struct Subscriber<A> {
    address: A,
    last_seen_grant: GrantPosition,
}

/// The leader's part of the sessions. `A` is the address of an instance.
#[derive(Clone, Debug)]
pub struct LeaseManager<A> {
    lease: Time,
    /// The term in which the rest was collected; `None` while another replica leads.
    term: Option<u64>,
    /// When each session was last heard.
    heard_at: BTreeMap<u64, Time>,
    subscribers: BTreeMap<u64, Subscriber<A>>,
    pending_renewals: UnconfirmedRequests<PendingRenewal<A>>,
    proposals: PendingProposals<PendingProposal<A>>,
    opening: BTreeSet<Incarnation>,
    ending: BTreeSet<u64>,
    polled_at: Time,
    /// When the cursor of each partition last moved while this replica led.
    cursor_moved_at: BTreeMap<Partition, Time>,
}

/// Responses, and where they go.
pub type Responses<A> = Vec<(A, Response)>;

/// A replicated state machine that holds leases.
pub trait LeaseStateMachine: StateMachine + AsRef<LeaseState> + AsMut<LeaseState> {}
impl<M: StateMachine + AsRef<LeaseState> + AsMut<LeaseState>> LeaseStateMachine for M {}

impl<A: Copy> LeaseManager<A> {
    /// Sessions last for `lease` without a renewal.
    pub fn new(lease: Time) -> LeaseManager<A> {
        LeaseManager {
            lease,
            term: None,
            heard_at: BTreeMap::new(),
            subscribers: BTreeMap::new(),
            pending_renewals: UnconfirmedRequests::default(),
            proposals: PendingProposals::new(0),
            opening: BTreeSet::new(),
            ending: BTreeSet::new(),
            polled_at: 0,
            cursor_moved_at: BTreeMap::new(),
        }
    }

    /// Advances what waits. To be called after every step of the replica, with the answers that the step returned.
    pub fn poll<M: LeaseStateMachine>(
        &mut self,
        now: Time,
        replica: &mut Replica<M>,
        answers: Vec<consensus::ProposalResponse>,
    ) -> (Ready, Responses<A>) {
        let mut responses = Vec::new();
        if !replica.is_leader() {
            self.term = None;
            replica.state_machine_mut().as_mut().take_sessions_with_new_grants();
            return (Ready::default(), responses);
        }
        self.refresh_term(now, replica);
        for answer in answers {
            let consensus::ProposalResponse::Applied { proposal_id: number, result: bytes, .. } = answer
            else {
                continue;
            };
            let outcome = postcard::from_bytes(&bytes).unwrap_or(Outcome::Done);
            self.complete_proposal(now, replica, number, outcome, &mut responses);
        }
        let out = self.expire_sessions(now, replica);
        self.push_new_grants(replica, &mut responses);
        self.answer_confirmed_renewals(replica, &mut responses);
        (out, responses)
    }

    fn propose<M: LeaseStateMachine>(
        &mut self,
        now: Time,
        replica: &mut Replica<M>,
        command: &Command,
        pending: PendingProposal<A>,
    ) -> Ready {
        let bytes = postcard::to_stdvec(command).unwrap_or_default();
        self.proposals.propose(now, replica, bytes, pending).unwrap_or_default()
    }

    /// A leader that is new, or stood still itself, gives every session its whole lease again: none could renew with it.
    fn refresh_term<M: LeaseStateMachine>(&mut self, now: Time, replica: &Replica<M>) {
        let stood_still = now - self.polled_at > self.lease / 2;
        self.polled_at = now;
        let is_new_term = self.term != Some(replica.term());
        if is_new_term {
            self.pending_renewals.clear();
            self.proposals.clear();
            self.opening.clear();
            self.ending.clear();
            self.subscribers.clear();
            self.term = Some(replica.term());
        }
        if is_new_term || stood_still {
            self.heard_at =
                replica.state_machine().as_ref().sessions().map(|session| (session, now)).collect();
        }
    }

    /// Proposes the end of each session whose lease is over. Its instance stopped before, see [`crate::expiry`].
    fn expire_sessions<M: LeaseStateMachine>(&mut self, now: Time, replica: &mut Replica<M>) -> Ready {
        let is_expired = |(session, heard_at): &(&u64, &Time)| {
            has_expired_at_leader(now, **heard_at, self.lease) && !self.ending.contains(session)
        };
        let expired: Vec<u64> =
            self.heard_at.iter().filter(is_expired).map(|(session, _)| *session).collect();
        let mut out = Ready::default();
        for session in expired {
            self.ending.insert(session);
            let command = Command::EndSession { session };
            out = out.merge(self.propose(now, replica, &command, PendingProposal::Expire));
        }
        out
    }

    /// Tells sessions of grants that were just decided.
    fn push_new_grants<M: LeaseStateMachine>(&self, replica: &mut Replica<M>, responses: &mut Responses<A>) {
        for session in replica.state_machine_mut().as_mut().take_sessions_with_new_grants() {
            let Some(subscriber) = self.subscribers.get(&session) else { continue };
            let after = subscriber.last_seen_grant;
            let (grants, _) = replica.state_machine().as_ref().grants(session, after);
            responses.push((subscriber.address, Response::Granted { session, after, grants }));
        }
    }

    fn answer_confirmed_renewals<M: LeaseStateMachine>(
        &mut self,
        replica: &Replica<M>,
        responses: &mut Responses<A>,
    ) {
        let confirmed = replica.confirmed_read_index();
        while let Some(renewal) = self.pending_renewals.pop_confirmed(confirmed) {
            let PendingRenewal { from, session, number } = renewal;
            let state = replica.state_machine().as_ref();
            if state.instance(session).is_none() {
                responses.push((from, Response::SessionExpired { session }));
                continue;
            }
            let after = self.subscribers.get(&session).map_or(NO_GRANT, |one| one.last_seen_grant);
            let (grants, more) = state.grants(session, after);
            let lease = self.lease;
            responses.push((from, Response::Renewed { session, number, lease, after, grants, more }));
        }
    }

    /// A proposal was decided: answers whoever waits for it.
    fn complete_proposal<M: LeaseStateMachine>(
        &mut self,
        now: Time,
        replica: &Replica<M>,
        number: u64,
        outcome: Outcome,
        responses: &mut Responses<A>,
    ) {
        let Some(pending) = self.proposals.complete(number) else { return };
        match (pending, outcome) {
            (PendingProposal::OpenSession { from, number, opening }, Outcome::SessionOpened(session)) => {
                self.opening.remove(&opening);
                // A session that is there already, asked for again as a response was lost, is renewed by that.
                let heard_at = self.heard_at.entry(session).or_insert(now);
                *heard_at = (*heard_at).max(now);
                self.subscribers.insert(session, Subscriber { address: from, last_seen_grant: NO_GRANT });
                if let Ok(round) = confirmation_round(replica) {
                    self.pending_renewals.push(round, PendingRenewal { from, session, number });
                }
            }
            (PendingProposal::OpenSession { from, number, opening }, _) => {
                self.opening.remove(&opening);
                responses.push((from, Response::LimitReached { number }));
            }
            (PendingProposal::Reply { from, number }, outcome) => {
                let applied = if let Outcome::Applied(applied) = outcome { applied } else { u64::MAX };
                responses.push((from, Response::Done { number, applied }));
            }
            (PendingProposal::Expire, _) => {}
        }
        let state = replica.state_machine().as_ref();
        self.heard_at.retain(|session, _| state.instance(*session).is_some());
        self.subscribers.retain(|session, _| state.instance(*session).is_some());
        self.ending.retain(|session| state.instance(*session).is_some());
    }
}
