//! Runs on the leader: tracks the members' leases, collects their verdicts on a change, and proposes the decision once the change can be
//! decided. All of this is in memory, and a new leader receives it again in the members' heartbeats. The replicated state is in
//! [`crate::state`].
//!
//! The leader answers a heartbeat only after a majority has confirmed it in a round that began after the heartbeat arrived. No other replica
//! led at that time, so the next leader counts the member's lease from a later time, and the version in the response was the active one.

mod decisions;
mod requests;

use crate::messages::{Response, Verdict, MIN_PERIOD};
use crate::state::{encode_command, Command, Outcome, PolicyState, Stage, UnreachableMembers};
use crate::watch::{Watch, WatchVerdict};
use crate::{MemberKey, Time, SECOND};
use cypresscleat_consensus::{self as consensus, Ready, Replica, StateMachine};
use cypresscleat_sessions::leader::{PendingProposals, UnconfirmedRequests};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// Maximum number of waiting heartbeats and proposals. Further requests are dropped, and their senders retry.
const MAX_WAITING: usize = 32_768;
/// Maximum number of members that are notified in one step.
const MAX_NOTIFIED_PER_STEP: usize = 256;
/// First proposal number. The range is separate from those of other coordinators that share the replica.
const FIRST_PROPOSAL: u64 = 1 << 62;
/// Minimum delay before a member sends a request to another replica.
pub const MIN_RETRY_DELAY: Time = SECOND / 20;

/// Why a command was proposed, and which client waits for its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum PendingProposal<A> {
    Join {
        key: MemberKey,
    },
    Reply {
        from: A,
        number: u32,
    },
    /// Proposed by the coordinator itself: a decision, an expiry, a revert.
    Internal,
}

/// The last heartbeat of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LastHeartbeat<A> {
    at: Time,
    from: A,
    verdict: Option<(u64, Verdict)>,
    paused: u64,
    active: u64,
}

/// A heartbeat that waits until a majority has confirmed the leader.
#[derive(Clone, Copy, Debug)]
struct PendingHeartbeat<A> {
    from: A,
    key: MemberKey,
    number: u32,
}

/// The pending change, and the time since which this coordinator has known it.
#[derive(Clone, Copy, Debug)]
struct CurrentChange {
    number: u64,
    since: Time,
}

/// The position of the rollout: the active version, the pending change (0 for none), and whether that change is committed and waits for
/// the barrier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct RolloutPosition {
    active: u64,
    change: u64,
    at_barrier: bool,
}

/// Leases on former versions: until `until`, members may still hold a lease of this duration.
#[derive(Clone, Copy, Debug)]
struct FormerLease {
    lease: Time,
    until: Time,
}

/// Safeguards that tests disable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisabledSafeguards {
    /// A change is committed at its timeout, even without the votes of all members.
    pub commit_on_timeout: bool,
    /// A change is committed on the first vote, without the votes of the other members.
    pub ignore_generation: bool,
}

/// Counters since the start, over all terms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Members whose lease has expired.
    pub expired: u64,
    /// Members that joined.
    pub joined: u64,
    /// Decisions and activations that were proposed.
    pub decisions: u64,
    /// Decisions and activations that failed because the member list had changed.
    pub members_changed: u64,
    /// Requests for a document.
    pub fetched: u64,
    /// Commands proposed to the replicated log.
    pub commands: u64,
    /// Maximum number of heartbeats that waited at the same time.
    pub waiting: usize,
}

/// An event for the log. Its display form is one log line.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorEvent {
    /// The watch of a version has ended.
    WatchEnded {
        /// The version.
        number: u64,
        /// What the watch found.
        verdict: WatchVerdict,
    },
}

impl fmt::Display for CoordinatorEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let CoordinatorEvent::WatchEnded { number, verdict } = self;
        let (what, figures) = match verdict {
            WatchVerdict::Harm(figures) => ("did harm", figures),
            WatchVerdict::NoHarm(figures) => ("did no harm", figures),
            WatchVerdict::Unknown(figures) => ("can't be judged", figures),
        };
        write!(formatter, "policy {number} {what}: {figures}")
    }
}

/// The leader's side of a rollout. `A` is the address of a member or an operator.
pub struct RolloutCoordinator<A> {
    /// The term in which the other fields were collected; `None` while another replica leads.
    term: Option<u64>,
    polled_at: Time,
    heartbeats: BTreeMap<MemberKey, LastHeartbeat<A>>,
    /// Time of the last heartbeat of each member.
    last_contact: BTreeMap<MemberKey, Time>,
    /// The same entries ordered by time, so that the cost of a step depends on the number of expired members and not on all members.
    by_last_contact: BTreeSet<(Time, MemberKey)>,
    waiting: UnconfirmedRequests<PendingHeartbeat<A>>,
    proposals: PendingProposals<PendingProposal<A>>,
    joining: BTreeSet<MemberKey>,
    ending: BTreeSet<MemberKey>,
    change: Option<CurrentChange>,
    /// A decision on the change is proposed. The outcome of any internal command clears the flag: a decision that is proposed twice takes
    /// effect once.
    is_deciding: bool,
    /// Members that have yet to be notified of the position.
    to_notify: VecDeque<MemberKey>,
    /// The position of which members were last notified.
    announced: RolloutPosition,
    /// Members that have prepared the change.
    prepared: BTreeSet<MemberKey>,
    /// Members that admit nothing until the change is active.
    paused: BTreeSet<MemberKey>,
    /// Members that refused the change, with their reasons.
    refused: BTreeMap<MemberKey, String>,
    former_lease: FormerLease,
    watch: Watch,
    events: Vec<CoordinatorEvent>,
    /// Counters.
    pub counts: Counts,
    /// Safeguards that are disabled.
    pub safeguards: DisabledSafeguards,
}

/// Responses and their destinations.
pub type Responses<A> = Vec<(A, Response)>;

/// A replicated state machine that holds the policy.
pub trait PolicyStateMachine: StateMachine + AsRef<PolicyState> + AsMut<PolicyState> {}
impl<M: StateMachine + AsRef<PolicyState> + AsMut<PolicyState>> PolicyStateMachine for M {}

impl<A: Copy> Default for RolloutCoordinator<A> {
    fn default() -> RolloutCoordinator<A> {
        RolloutCoordinator {
            term: None,
            polled_at: 0,
            heartbeats: BTreeMap::new(),
            last_contact: BTreeMap::new(),
            by_last_contact: BTreeSet::new(),
            waiting: UnconfirmedRequests::default(),
            proposals: PendingProposals::new(FIRST_PROPOSAL),
            joining: BTreeSet::new(),
            ending: BTreeSet::new(),
            change: None,
            is_deciding: false,
            to_notify: VecDeque::new(),
            announced: RolloutPosition::default(),
            prepared: BTreeSet::new(),
            paused: BTreeSet::new(),
            refused: BTreeMap::new(),
            former_lease: FormerLease { lease: 0, until: Time::MIN },
            watch: Watch::default(),
            events: Vec::new(),
            counts: Counts::default(),
            safeguards: DisabledSafeguards::default(),
        }
    }
}

impl<A: Copy> RolloutCoordinator<A> {
    /// Returns the events for the log since the last call.
    pub fn events(&mut self) -> impl Iterator<Item = CoordinatorEvent> + '_ {
        self.events.drain(..)
    }

    /// Number of members whose last heartbeat is stored.
    pub fn stored_heartbeats(&self) -> usize {
        self.heartbeats.len()
    }

    /// The time of the last poll where members have yet to be notified, else [`Time::MAX`]. Each [`RolloutCoordinator::poll`] checks lease
    /// ends, the decision timeout and the watch. The leader's own heartbeats cause polls often enough.
    pub fn next_deadline(&self) -> Time {
        match self.to_notify.is_empty() {
            true => Time::MAX,
            false => self.polled_at,
        }
    }

    /// Processes proposal results, decisions and waiting heartbeats. Called after every step of the replica, with the proposal responses
    /// that the step returned.
    pub fn poll<M: PolicyStateMachine>(
        &mut self,
        now: Time,
        replica: &mut Replica<M>,
        proposal_responses: Vec<consensus::ProposalResponse>,
    ) -> (Ready, Responses<A>) {
        let mut responses = Vec::new();
        if !replica.is_leader() {
            self.term = None;
            self.to_notify.clear();
            return (Ready::default(), responses);
        }
        self.refresh_term(now, replica);
        for proposal_response in proposal_responses {
            let consensus::ProposalResponse::Applied { proposal_id: number, result: bytes, .. } =
                proposal_response
            else {
                continue;
            };
            let outcome = postcard::from_bytes(&bytes).unwrap_or(Outcome::AlreadyDecided);
            self.complete_proposal(now, replica, number, outcome, &mut responses);
        }
        self.update_position(now, replica);
        self.notify_members(&mut responses);
        let mut ready = self.expire_members(now, replica);
        ready = ready.merge(self.decide(now, replica));
        if let Some((number, verdict)) = self.watch.poll(now) {
            ready = ready.merge(self.act_on_watch(now, replica, number, verdict));
        }
        self.respond_to_confirmed_heartbeats(replica, &mut responses);
        (ready, responses)
    }

    fn propose<M: PolicyStateMachine>(
        &mut self,
        now: Time,
        replica: &mut Replica<M>,
        command: &Command,
        pending: PendingProposal<A>,
    ) -> Ready {
        let ready = self.proposals.propose(now, replica, encode_command(command), pending);
        self.counts.commands += u64::from(ready.is_some());
        ready.unwrap_or_default()
    }

    /// Resets the state for a new term. A leader that is new, or was itself stalled, restarts every member's lease, as no member could renew
    /// with it.
    fn refresh_term<M: PolicyStateMachine>(&mut self, now: Time, replica: &Replica<M>) {
        let state = replica.state_machine().as_ref();
        let was_stalled = now - self.polled_at > state.active().rules.lease / 2;
        self.polled_at = now;
        let is_new_term = self.term != Some(replica.term());
        if is_new_term {
            let mut proposals = std::mem::replace(&mut self.proposals, PendingProposals::new(FIRST_PROPOSAL));
            proposals.clear();
            let RolloutCoordinator { safeguards, counts, .. } = *self;
            *self = RolloutCoordinator {
                term: Some(replica.term()),
                polled_at: now,
                proposals,
                safeguards,
                counts,
                ..RolloutCoordinator::default()
            };
            self.announced = position(state);
            self.extend_former_lease(now, state.history().map(|version| version.rules.lease).max());
        }
        if is_new_term || was_stalled {
            self.last_contact = state.members().keys().map(|key| (*key, now)).collect();
            self.by_last_contact = state.members().keys().map(|key| (now, *key)).collect();
        }
    }

    fn renew(&mut self, key: MemberKey, now: Time) {
        if let Some(before) = self.last_contact.insert(key, now) {
            self.by_last_contact.remove(&(before, key));
        }
        self.by_last_contact.insert((now, key));
    }

    /// Records the lease that members may still hold on a version that is no longer active.
    fn extend_former_lease(&mut self, now: Time, lease: Option<Time>) {
        let lease = lease.unwrap_or(0).max(self.longest_former_lease(now));
        self.former_lease = FormerLease { lease, until: now + lease + 1 };
    }

    fn longest_former_lease(&self, now: Time) -> Time {
        match now < self.former_lease.until {
            true => self.former_lease.lease,
            false => 0,
        }
    }

    fn notify_members(&mut self, responses: &mut Responses<A>) {
        let count = self.to_notify.len().min(MAX_NOTIFIED_PER_STEP);
        for key in self.to_notify.drain(..count) {
            if let Some(heartbeat) = self.heartbeats.get(&key) {
                responses.push((heartbeat.from, Response::Changed));
            }
        }
    }

    /// Handles the outcome of a proposal, and answers the client that waits for it.
    fn complete_proposal<M: PolicyStateMachine>(
        &mut self,
        now: Time,
        replica: &Replica<M>,
        number: u64,
        outcome: Outcome,
        responses: &mut Responses<A>,
    ) {
        let Some(pending) = self.proposals.complete(number) else { return };
        let members = replica.state_machine().as_ref().members();
        match pending {
            PendingProposal::Join { key } => {
                self.joining.remove(&key);
                if members.contains_key(&key) {
                    self.counts.joined += 1;
                    self.renew(key, now);
                    // Its lease counts from the first heartbeat it sends as a member. The notification triggers that heartbeat.
                    self.to_notify.push_back(key);
                } else {
                    // The join was not applied, so no later end of the member would remove its heartbeat.
                    self.heartbeats.remove(&key);
                }
            }
            PendingProposal::Reply { from, number } => {
                let response = match outcome {
                    Outcome::Done => Response::Done { number },
                    outcome => Response::Proposed { number, outcome },
                };
                responses.push((from, response));
            }
            // After `MembersChanged` the votes are counted again in this step.
            PendingProposal::Internal => {
                self.is_deciding = false;
                self.counts.members_changed += u64::from(outcome == Outcome::MembersChanged);
            }
        }
        if self.last_contact.len() > members.len() {
            self.remove_former_members(members);
        }
    }

    fn remove_former_members(&mut self, members: &BTreeMap<MemberKey, String>) {
        self.last_contact.retain(|key, _| members.contains_key(key));
        self.by_last_contact.retain(|(_, key)| members.contains_key(key));
        self.ending.retain(|key| members.contains_key(key));
        self.prepared.retain(|key| members.contains_key(key));
        self.paused.retain(|key| members.contains_key(key));
        self.refused.retain(|key, _| members.contains_key(key));
        let joining = &self.joining;
        self.heartbeats.retain(|key, _| members.contains_key(key) || joining.contains(key));
        self.watch.retain_members(|key| members.contains_key(key));
    }

    fn respond_to_confirmed_heartbeats<M: PolicyStateMachine>(
        &mut self,
        replica: &Replica<M>,
        responses: &mut Responses<A>,
    ) {
        let state = replica.state_machine().as_ref();
        let (rules, confirmed) = (state.active().rules, replica.confirmed_read_index());
        let RolloutPosition { active, change, at_barrier } = position(state);
        while let Some(waiting) = self.waiting.pop_confirmed(confirmed) {
            let PendingHeartbeat { from, key, number } = waiting;
            if !state.members().contains_key(&key) {
                responses.push((from, Response::MembershipExpired { key }));
                continue;
            }
            if self.ending.contains(&key) {
                continue;
            }
            // A member that has prepared the change cannot know by itself whether it was aborted, so its lease has an end from then on.
            let has_end =
                rules.unreachable == UnreachableMembers::Fence || at_barrier || self.prepared.contains(&key);
            let response = Response::Renewed {
                key,
                number,
                lease: has_end.then_some(rules.lease),
                period: (rules.lease / 4).max(MIN_PERIOD),
                version: active,
                check: change,
                pause: if at_barrier { change } else { 0 },
            };
            responses.push((from, response));
        }
    }
}

fn position(state: &PolicyState) -> RolloutPosition {
    let change = state.pending_change();
    RolloutPosition {
        active: state.active().number,
        change: change.map_or(0, |change| change.version.number),
        at_barrier: change.is_some_and(|change| change.stage == Stage::Barrier),
    }
}
