//! Runs on the leader: keeps the members' leases, collects their verdicts on a change, and proposes its decision once it can be decided.
//! All of this is in memory: a new leader hears it again from the members. What is agreed stands in [`crate::state`].
//!
//! A heartbeat is answered only once a majority has confirmed this leader in a round that began after the heartbeat arrived: nobody else
//! led then, so whoever leads next counts that member's lease from later, and the version that is told was the active one.

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

/// Heartbeats and proposals that wait; one more is dropped, and its member asks again.
const MAX_WAITING: usize = 32_768;
/// Members that are notified in one step.
const MAX_NOTIFIED_PER_STEP: usize = 256;
/// Numbers of proposals begin here, apart from those of others that share the replica.
const FIRST_PROPOSAL: u64 = 1 << 62;
/// Shortest time after which a member asks another replica.
pub const MIN_RETRY_DELAY: Time = SECOND / 20;

/// Why a command was proposed, and who waits for its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum PendingProposal<A> {
    Join {
        key: MemberKey,
    },
    Reply {
        from: A,
        number: u32,
    },
    /// The coordinator's own: a decision, an expiry, an undoing.
    Own,
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

/// The change under way, as this coordinator has known it since a moment.
#[derive(Clone, Copy, Debug)]
struct CurrentChange {
    number: u64,
    since: Time,
}

/// How far the rollout is: the active version, the change under way (0 for none), and whether that is committed and waits for the barrier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct RolloutPosition {
    active: u64,
    change: u64,
    at_barrier: bool,
}

/// Leases of versions that were active before: members may still hold one of this length until then.
#[derive(Clone, Copy, Debug)]
struct FormerLease {
    lease: Time,
    until: Time,
}

/// Safeguards that tests disable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisabledSafeguards {
    /// A change is committed at its timeout, whoever has not answered.
    pub commit_on_timeout: bool,
    /// Members are counted as they were when the change was proposed.
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
    /// Those of them that found other members than were counted.
    pub members_changed: u64,
    /// Documents that were fetched.
    pub fetched: u64,
    /// Commands given to the replicas' log.
    pub commands: u64,
    /// Most heartbeats that waited at once.
    pub waiting: usize,
}

/// What a coordinator reports for the log; displayed as one line.
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

/// The leader's part of a rollout. `A` is the address of a member or an operator.
pub struct RolloutCoordinator<A> {
    /// The term in which the rest was collected; `None` while another replica leads.
    term: Option<u64>,
    polled_at: Time,
    heartbeats: BTreeMap<MemberKey, LastHeartbeat<A>>,
    /// When each member was last heard.
    heard_at: BTreeMap<MemberKey, Time>,
    /// The same in the order of time, so that a step costs what has expired, not what is there.
    oldest: BTreeSet<(Time, MemberKey)>,
    waiting: UnconfirmedRequests<PendingHeartbeat<A>>,
    proposals: PendingProposals<PendingProposal<A>>,
    joining: BTreeSet<MemberKey>,
    ending: BTreeSet<MemberKey>,
    change: Option<CurrentChange>,
    /// A decision on the change is proposed. Cleared by the outcome of any command of the coordinator's own: a decision that is proposed
    /// twice has no second effect.
    is_deciding: bool,
    /// Members that are still to be notified of the position.
    to_notify: VecDeque<MemberKey>,
    /// The position that members were notified of last.
    announced: RolloutPosition,
    /// Members that have prepared the change.
    prepared: BTreeSet<MemberKey>,
    /// Members that admit nothing until the change is active.
    paused: BTreeSet<MemberKey>,
    /// Members that refuse the change, and why.
    refused: BTreeMap<MemberKey, String>,
    former_lease: FormerLease,
    watch: Watch,
    events: Vec<CoordinatorEvent>,
    /// Counters.
    pub counts: Counts,
    /// Safeguards that are disabled.
    pub safeguards: DisabledSafeguards,
}

/// Responses, and where they go.
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
            heard_at: BTreeMap::new(),
            oldest: BTreeSet::new(),
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
    /// Events for the log since the last call.
    pub fn events(&mut self) -> impl Iterator<Item = CoordinatorEvent> + '_ {
        self.events.drain(..)
    }

    /// Members whose last heartbeat is remembered.
    pub fn remembered(&self) -> usize {
        self.heartbeats.len()
    }

    /// Now, where members are still to be notified; else never. Lease ends, the decision timeout and the watch are looked at in each
    /// [`RolloutCoordinator::poll`], which a leader's heartbeats bring often enough.
    pub fn next_deadline(&self) -> Time {
        match self.to_notify.is_empty() {
            true => Time::MAX,
            false => self.polled_at,
        }
    }

    /// Advances what waits. To be called after every step of the replica, with the answers that the step returned.
    pub fn poll<M: PolicyStateMachine>(
        &mut self,
        now: Time,
        replica: &mut Replica<M>,
        answers: Vec<consensus::ProposalResponse>,
    ) -> (Ready, Responses<A>) {
        let mut responses = Vec::new();
        if !replica.is_leader() {
            self.term = None;
            self.to_notify.clear();
            return (Ready::default(), responses);
        }
        self.refresh_term(now, replica);
        for answer in answers {
            let consensus::ProposalResponse::Applied { proposal_id: number, result: bytes, .. } = answer
            else {
                continue;
            };
            let outcome = postcard::from_bytes(&bytes).unwrap_or(Outcome::AlreadyDecided);
            self.complete_proposal(now, replica, number, outcome, &mut responses);
        }
        self.follow_position(now, replica);
        self.notify_members(&mut responses);
        let mut out = self.expire_members(now, replica);
        out = out.merge(self.decide(now, replica));
        if let Some((number, verdict)) = self.watch.poll(now) {
            out = out.merge(self.act_on_watch(now, replica, number, verdict));
        }
        self.answer_confirmed_heartbeats(replica, &mut responses);
        (out, responses)
    }

    fn propose<M: PolicyStateMachine>(
        &mut self,
        now: Time,
        replica: &mut Replica<M>,
        command: &Command,
        pending: PendingProposal<A>,
    ) -> Ready {
        let out = self.proposals.propose(now, replica, encode_command(command), pending);
        self.counts.commands += u64::from(out.is_some());
        out.unwrap_or_default()
    }

    /// A leader that is new, or stood still itself, gives every member its whole lease again: none could renew with it.
    fn refresh_term<M: PolicyStateMachine>(&mut self, now: Time, replica: &Replica<M>) {
        let agreed = replica.state_machine().as_ref();
        let stood_still = now - self.polled_at > agreed.active().rules.lease / 2;
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
            self.announced = position(agreed);
            self.extend_former_lease(now, agreed.history().map(|version| version.rules.lease).max());
        }
        if is_new_term || stood_still {
            self.heard_at = agreed.members().keys().map(|key| (*key, now)).collect();
            self.oldest = agreed.members().keys().map(|key| (now, *key)).collect();
        }
    }

    fn renew(&mut self, key: MemberKey, now: Time) {
        if let Some(before) = self.heard_at.insert(key, now) {
            self.oldest.remove(&(before, key));
        }
        self.oldest.insert((now, key));
    }

    /// The lease that members may hold on a version that was active until now.
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
        let many = self.to_notify.len().min(MAX_NOTIFIED_PER_STEP);
        for key in self.to_notify.drain(..many) {
            if let Some(heartbeat) = self.heartbeats.get(&key) {
                responses.push((heartbeat.from, Response::Changed));
            }
        }
    }

    /// A proposal was decided: answers whoever waits for it.
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
                    // Its lease counts from a heartbeat that it sends as a member: it is notified, and sends one.
                    self.to_notify.push_back(key);
                } else {
                    // Nobody's end would have the heartbeat of one that was not let in forgotten.
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
            // Where members changed, they are counted again in this step.
            PendingProposal::Own => {
                self.is_deciding = false;
                self.counts.members_changed += u64::from(outcome == Outcome::MembersChanged);
            }
        }
        if self.heard_at.len() > members.len() {
            self.forget_former_members(members);
        }
    }

    fn forget_former_members(&mut self, members: &BTreeMap<MemberKey, String>) {
        self.heard_at.retain(|key, _| members.contains_key(key));
        self.oldest.retain(|(_, key)| members.contains_key(key));
        self.ending.retain(|key| members.contains_key(key));
        self.prepared.retain(|key| members.contains_key(key));
        self.paused.retain(|key| members.contains_key(key));
        self.refused.retain(|key, _| members.contains_key(key));
        let joining = &self.joining;
        self.heartbeats.retain(|key, _| members.contains_key(key) || joining.contains(key));
        self.watch.retain_members(|key| members.contains_key(key));
    }

    fn answer_confirmed_heartbeats<M: PolicyStateMachine>(
        &mut self,
        replica: &Replica<M>,
        responses: &mut Responses<A>,
    ) {
        let agreed = replica.state_machine().as_ref();
        let (rules, confirmed) = (agreed.active().rules, replica.confirmed_read_index());
        let RolloutPosition { active, change, at_barrier } = position(agreed);
        while let Some(waiting) = self.waiting.pop_confirmed(confirmed) {
            let PendingHeartbeat { from, key, number } = waiting;
            if !agreed.members().contains_key(&key) {
                responses.push((from, Response::MembershipExpired { key }));
                continue;
            }
            if self.ending.contains(&key) {
                continue;
            }
            // A member that has prepared the change can't know by itself that it was aborted: from then on its lease has an end.
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

fn position(agreed: &PolicyState) -> RolloutPosition {
    let change = agreed.pending_change();
    RolloutPosition {
        active: agreed.active().number,
        change: change.map_or(0, |change| change.version.number),
        at_barrier: change.is_some_and(|change| change.stage == Stage::Barrier),
    }
}
