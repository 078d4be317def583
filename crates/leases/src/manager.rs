//! Runs on the leader: renews sessions and expires sessions whose lease has ended. [`LeaseState`] is the replicated state; the manager
//! has only state that a leader may lose, above all the time of each session's last renewal.
//!
//! A renewal writes nothing, however many partitions a session owns. It gets a response only once a majority has confirmed this leader
//! in a round that began after the renewal arrived. No other replica was leader then, so the next leader counts the session's lease from
//! a later time.

mod requests;

use crate::expiry::has_expired_at_leader;
use crate::messages::Response;
use crate::state::{Command, LeaseState, Outcome};
use crate::{GrantPosition, NodeId, Partition, Time, NO_GRANT};
use cypresscleat_consensus as consensus;
use cypresscleat_consensus::{Ready, Replica, StateMachine};
use cypresscleat_sessions::leader::{confirmation_round, PendingProposals, UnconfirmedRequests};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of waiting renewals and proposals; further requests are dropped.
const MAX_PENDING: usize = 8192;

/// The reason for a proposal, and the client that waits for its outcome.
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

/// The address of a session's instance, and the last grant that the instance knows.
#[derive(Clone, Copy, Debug)]
struct Subscriber<A> {
    address: A,
    last_seen_grant: GrantPosition,
}

/// The leader's state of the sessions. `A` is the address of an instance.
#[derive(Clone, Debug)]
pub struct LeaseManager<A> {
    lease: Time,
    /// The term of the state below; `None` while another replica is the leader.
    term: Option<u64>,
    /// Time of the last renewal of each session.
    last_renewals: BTreeMap<u64, Time>,
    subscribers: BTreeMap<u64, Subscriber<A>>,
    pending_renewals: UnconfirmedRequests<PendingRenewal<A>>,
    proposals: PendingProposals<PendingProposal<A>>,
    opening: BTreeSet<Incarnation>,
    ending: BTreeSet<u64>,
    polled_at: Time,
    /// Time at which the cursor of each partition last moved while this replica was the leader.
    cursor_moved_at: BTreeMap<Partition, Time>,
}

/// Responses, each with the address that receives it.
pub type Responses<A> = Vec<(A, Response)>;

/// A replicated state machine that holds leases.
pub trait LeaseStateMachine: StateMachine + AsRef<LeaseState> + AsMut<LeaseState> {}
impl<M: StateMachine + AsRef<LeaseState> + AsMut<LeaseState>> LeaseStateMachine for M {}

impl<A: Copy> LeaseManager<A> {
    /// Creates a manager whose sessions expire after `lease` without a renewal.
    pub fn new(lease: Time) -> LeaseManager<A> {
        LeaseManager {
            lease,
            term: None,
            last_renewals: BTreeMap::new(),
            subscribers: BTreeMap::new(),
            pending_renewals: UnconfirmedRequests::default(),
            proposals: PendingProposals::new(0),
            opening: BTreeSet::new(),
            ending: BTreeSet::new(),
            polled_at: 0,
            cursor_moved_at: BTreeMap::new(),
        }
    }

    /// Advances waiting renewals and proposals. To be called after each step of the replica, with the responses that the step returned.
    pub fn poll<M: LeaseStateMachine>(
        &mut self,
        now: Time,
        replica: &mut Replica<M>,
        outcomes: Vec<consensus::ProposalResponse>,
    ) -> (Ready, Responses<A>) {
        let mut responses = Vec::new();
        if !replica.is_leader() {
            self.term = None;
            replica.state_machine_mut().as_mut().take_sessions_with_new_grants();
            return (Ready::default(), responses);
        }
        self.refresh_term(now, replica);
        for outcome in outcomes {
            let consensus::ProposalResponse::Applied { proposal_id: number, result: bytes, .. } = outcome
            else {
                continue;
            };
            let outcome = postcard::from_bytes(&bytes).unwrap_or(Outcome::Done);
            self.complete_proposal(now, replica, number, outcome, &mut responses);
        }
        let ready = self.expire_sessions(now, replica);
        self.push_new_grants(replica, &mut responses);
        self.respond_to_confirmed_renewals(replica, &mut responses);
        (ready, responses)
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

    /// A new leader, or a leader whose process was paused, gives each session a full lease: no session could renew with it.
    fn refresh_term<M: LeaseStateMachine>(&mut self, now: Time, replica: &Replica<M>) {
        let was_paused = now - self.polled_at > self.lease / 2;
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
        if is_new_term || was_paused {
            self.last_renewals =
                replica.state_machine().as_ref().sessions().map(|session| (session, now)).collect();
        }
    }

    /// Proposes the end of each session whose lease has ended. Its instance stopped earlier, see [`crate::expiry`].
    fn expire_sessions<M: LeaseStateMachine>(&mut self, now: Time, replica: &mut Replica<M>) -> Ready {
        let is_expired = |(session, renewed_at): &(&u64, &Time)| {
            has_expired_at_leader(now, **renewed_at, self.lease) && !self.ending.contains(session)
        };
        let expired: Vec<u64> =
            self.last_renewals.iter().filter(is_expired).map(|(session, _)| *session).collect();
        let mut ready = Ready::default();
        for session in expired {
            self.ending.insert(session);
            let command = Command::EndSession { session };
            ready = ready.merge(self.propose(now, replica, &command, PendingProposal::Expire));
        }
        ready
    }

    /// Sends newly committed grants to their sessions.
    fn push_new_grants<M: LeaseStateMachine>(&self, replica: &mut Replica<M>, responses: &mut Responses<A>) {
        for session in replica.state_machine_mut().as_mut().take_sessions_with_new_grants() {
            let Some(subscriber) = self.subscribers.get(&session) else { continue };
            let after = subscriber.last_seen_grant;
            let (grants, _) = replica.state_machine().as_ref().grants(session, after);
            responses.push((subscriber.address, Response::Granted { session, after, grants }));
        }
    }

    fn respond_to_confirmed_renewals<M: LeaseStateMachine>(
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
            let after =
                self.subscribers.get(&session).map_or(NO_GRANT, |subscriber| subscriber.last_seen_grant);
            let (grants, more) = state.grants(session, after);
            let lease = self.lease;
            responses.push((from, Response::Renewed { session, number, lease, after, grants, more }));
        }
    }

    /// Handles the outcome of a proposal: responds to the client that waits for it.
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
                // Where the session already exists, as a response was lost and the request retried, this renews the session.
                let renewed_at = self.last_renewals.entry(session).or_insert(now);
                *renewed_at = (*renewed_at).max(now);
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
        self.last_renewals.retain(|session, _| state.instance(*session).is_some());
        self.subscribers.retain(|session, _| state.instance(*session).is_some());
        self.ending.retain(|session| state.instance(*session).is_some());
    }
}
