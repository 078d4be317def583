//! Replicas and members in one simulated network with simulated disks. Members crash, stall, drain or are isolated, and some refuse a
//! version. The simulation checks the invariants as it runs. It is deterministic for a seed.

mod faults;
mod invariants;
mod member_process;

use crate::coordinator::{self, RolloutCoordinator};
use crate::member::{self, AdmissionPermit};
use crate::messages::{Request, Response};
use crate::state::{PolicyState, RolloutEvent, Rules, Version};
use crate::{NodeId, Time, MS, SECOND};
use cypresscleat_consensus::message;
use cypresscleat_consensus::sim::Simulation as ConsensusSimulation;
use cypresscleat_consensus::ProposalResponse;
use cypresscleat_consensus::{RaftConfig, SeededRng};
pub use member_process::SimulatedMember;
use std::collections::{BTreeMap, BTreeSet};

/// Size and timing of a simulated cluster.
#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    /// Replicas.
    pub replicas: usize,
    /// Members at the start.
    pub members: usize,
    /// Rules of the versions that are proposed.
    pub rules: Rules,
    /// Time that a member needs to check and store a document.
    pub check_time: Time,
    /// Safeguards that are disabled at members.
    pub member: member::DisabledSafeguards,
    /// Safeguards that are disabled at coordinators.
    pub coordinator: coordinator::DisabledSafeguards,
}

impl Default for SimulationConfig {
    fn default() -> SimulationConfig {
        let rules = Rules { lease: SECOND, decision_timeout: 5 * SECOND, ..Rules::default() };
        let (member, coordinator) = Default::default();
        SimulationConfig { replicas: 3, members: 5, rules, check_time: 5 * MS, member, coordinator }
    }
}

#[derive(Clone, Debug)]
enum Message {
    Request { to: usize, from: usize, request: Request },
    Response { to: usize, incarnation: u64, from: NodeId, response: Response },
}

/// Messages between one replica and the members, and their bytes. A lost message counts as sent and not as received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages that the replica received.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// Messages that the replica sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
}

/// Address of the operator. The address of a member is its position.
const OPERATOR: usize = usize::MAX;
/// Lowest id of a member. The ids of replicas are lower.
const FIRST_MEMBER_ID: NodeId = 1000;
/// Maximum number of steps without progress in time.
const MAX_STEPS_AT_ONE_TIME: u64 = 100_000;

/// The simulated cluster.
pub struct Simulation {
    /// The configuration.
    pub config: SimulationConfig,
    /// The replicas and their network.
    pub consensus: ConsensusSimulation<PolicyState>,
    /// The coordinator of each replica.
    pub coordinators: Vec<RolloutCoordinator<usize>>,
    /// The members.
    pub members: Vec<SimulatedMember>,
    messages: BTreeMap<(Time, u64), Message>,
    messages_scheduled: u64,
    rng: SeededRng,
    /// Members that are cut off from all replicas.
    pub isolated: BTreeSet<usize>,
    /// Number of messages between members and replicas.
    pub messages_sent: u64,
    /// Their bytes.
    pub message_bytes: u64,
    /// Traffic of each replica.
    pub traffic: Vec<Traffic>,
    /// Members whose version is older than the newest one that was active anywhere.
    outdated: BTreeSet<usize>,
    /// Responses that the operator received.
    pub operator_responses: Vec<Response>,
    /// When each version was proposed, by its number.
    pub proposed_at: BTreeMap<u64, Time>,
    /// When each version was decided, and whether it was committed, by its number.
    pub decided: BTreeMap<u64, (Time, bool)>,
    /// Why versions were aborted, by their numbers.
    pub abort_reasons: BTreeMap<u64, String>,
    /// When each version was first active anywhere, by its number.
    pub first_active: BTreeMap<u64, Time>,
    /// The last time at which a member could still admit under an older version after this one was first active, by its number.
    pub mixed_until: BTreeMap<u64, Time>,
    /// The next wake-up time of each member.
    wake_at: Vec<Time>,
    /// The values of `stalled_until`, `clock_rate` and `clock_offset` with which each member was scheduled. A caller may change them between
    /// runs.
    scheduled_with: Vec<Option<(Time, i64, Time)>>,
    /// Members ordered by their next wake-up time.
    wake_queue: BTreeSet<(Time, usize)>,
    /// The first invariant that was violated.
    pub violation: Option<String>,
    /// Rules of each version, by its number.
    rules: BTreeMap<u64, Rules>,
    /// A time, and the number of steps at that time.
    steps_at: (Time, u64),
}

impl Simulation {
    /// Creates a cluster whose faults and delays are drawn from `seed`.
    pub fn new(config: SimulationConfig, seed: u64) -> Simulation {
        let consensus =
            ConsensusSimulation::new(config.replicas, PolicyState::default(), RaftConfig::default(), seed);
        let coordinator = || {
            let mut coordinator = RolloutCoordinator::default();
            coordinator.safeguards = config.coordinator;
            coordinator
        };
        let mut simulation = Simulation {
            config,
            consensus,
            coordinators: (0..config.replicas).map(|_| coordinator()).collect(),
            members: Vec::new(),
            messages: BTreeMap::new(),
            messages_scheduled: 0,
            rng: SeededRng::new(seed ^ 0x7011),
            isolated: BTreeSet::new(),
            messages_sent: 0,
            message_bytes: 0,
            traffic: vec![Traffic::default(); config.replicas],
            outdated: BTreeSet::new(),
            operator_responses: Vec::new(),
            proposed_at: BTreeMap::new(),
            decided: BTreeMap::new(),
            abort_reasons: BTreeMap::new(),
            first_active: BTreeMap::new(),
            mixed_until: BTreeMap::new(),
            wake_at: Vec::new(),
            scheduled_with: Vec::new(),
            wake_queue: BTreeSet::new(),
            violation: None,
            rules: BTreeMap::new(),
            steps_at: (0, 0),
        };
        for at in 0..config.members {
            simulation.add_member(at);
        }
        simulation
    }

    fn add_member(&mut self, at: usize) {
        self.members.push(SimulatedMember::new(at));
        self.start(at);
    }

    /// Adds a member and returns its position.
    pub fn join(&mut self) -> usize {
        let at = self.members.len();
        self.add_member(at);
        self.reschedule_changed();
        at
    }

    /// An operator proposes a version, derived from `parent`, to the leader, or to the first replica where there is no leader.
    pub fn propose(&mut self, parent: u64, rules: Rules, document: &str) {
        let to = self.consensus.leader().unwrap_or(0);
        let at_ms = self.consensus.now as u64;
        let version = Version {
            parent,
            rules,
            document: document.into(),
            by: "operator".into(),
            at_ms,
            hash: self.messages_scheduled,
            ..Version::default()
        };
        let request = Request::Propose { number: 1, version };
        self.send(self.consensus.network.delay, Message::Request { to, from: OPERATOR, request });
    }

    /// An operator states that a member will not restart.
    pub fn forget(&mut self, at: usize) {
        self.send_as_operator(Request::Forget { number: 2, member: FIRST_MEMBER_ID + at as NodeId });
    }

    /// Sends a request to the leader from an address that is not a member of the simulation.
    pub fn send_as_operator(&mut self, request: Request) {
        let to = self.consensus.leader().unwrap_or(0);
        self.send(self.consensus.network.delay, Message::Request { to, from: OPERATOR, request });
    }

    /// The active version at the leader.
    pub fn active_version(&self) -> u64 {
        let leader = self.consensus.leader().and_then(|at| self.consensus.nodes[at].replica.as_ref());
        leader.map_or(0, |replica| replica.state_machine().active().number)
    }

    /// Whether a member may admit now.
    pub fn permit(&self, at: usize) -> AdmissionPermit {
        let now = self.clock(at);
        self.members[at].member.as_ref().map_or(AdmissionPermit::Deny, |member| member.permit(now))
    }

    fn send(&mut self, delay: Time, message: Message) {
        let network = self.consensus.network;
        let is_lost = network.loss_one_in > 0 && self.rng.one_in(network.loss_one_in);
        let is_from_operator = matches!(message, Message::Request { from: OPERATOR, .. });
        if is_lost && !is_from_operator {
            return;
        }
        let is_duplicated = network.duplicate_one_in > 0 && self.rng.one_in(network.duplicate_one_in);
        let mut extra_delay = self.rng.below(delay.max(1) as u64) as Time;
        if network.max_extra_delay > 0 && self.rng.one_in(20) {
            extra_delay += self.rng.below(network.max_extra_delay as u64) as Time;
        }
        for _ in 0..1 + u64::from(is_duplicated) {
            self.messages_scheduled += 1;
            self.messages
                .insert((self.consensus.now + delay + extra_delay, self.messages_scheduled), message.clone());
        }
    }

    fn send_requests(&mut self, from: usize, requests: Vec<(NodeId, Request)>) {
        for (to, request) in requests {
            self.messages_sent += 1;
            self.message_bytes += message::encode(&request).map_or(0, |bytes| bytes.len() as u64);
            if !self.isolated.contains(&from) {
                self.send(
                    self.consensus.network.delay,
                    Message::Request { to: to as usize - 1, from, request },
                );
            }
        }
    }

    /// Processes the results of a replica's step, and polls its coordinator.
    fn poll_coordinator(&mut self, at: usize) {
        let now = self.consensus.now;
        let (own, others): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.consensus.responses).into_iter().partition(|response| response.0 == at);
        self.consensus.responses = others;
        let proposal_responses: Vec<ProposalResponse> = own.into_iter().map(|response| response.1).collect();
        let Some(replica) = self.consensus.nodes[at].replica.as_mut() else { return };
        let (ready, responses) = self.coordinators[at].poll(now, replica, proposal_responses);
        self.coordinators[at].events().for_each(drop);
        for event in replica.state_machine_mut().take_events() {
            match event {
                RolloutEvent::Proposed { number, .. } => drop(self.proposed_at.entry(number).or_insert(now)),
                RolloutEvent::Committed { number } => self.record_decision(number, true),
                RolloutEvent::Aborted { number, reason } => {
                    self.record_decision(number, false);
                    self.abort_reasons.insert(number, reason);
                }
                _ => {}
            }
        }
        let replica = self.consensus.nodes[at].replica.as_ref();
        if let Some(version) = replica.map(|replica| replica.state_machine().active()) {
            self.rules.insert(version.number, version.rules);
        }
        self.deliver_ready(at, ready, responses);
    }

    fn deliver_ready(
        &mut self,
        at: usize,
        ready: cypresscleat_consensus::Ready,
        responses: Vec<(usize, Response)>,
    ) {
        self.consensus.process_ready(at, ready);
        for (to, response) in responses {
            if to == OPERATOR {
                self.operator_responses.push(response);
                continue;
            }
            self.messages_sent += 1;
            let bytes = message::encode(&response).map_or(0, |bytes| bytes.len() as u64);
            self.message_bytes += bytes;
            self.traffic[at].sent += 1;
            self.traffic[at].sent_bytes += bytes;
            if !self.isolated.contains(&to) {
                let (from, incarnation) = (at as NodeId + 1, self.members[to].incarnations);
                self.send(
                    self.consensus.network.delay,
                    Message::Response { to, incarnation, from, response },
                );
            }
        }
        if self.consensus.responses.iter().any(|response| response.0 == at) {
            self.poll_coordinator(at);
        }
    }

    /// Runs until the given time.
    pub fn run(&mut self, until: Time) {
        self.reschedule_changed();
        while self.consensus.now < until {
            self.step(until);
        }
        self.check_invariants(until);
    }

    fn step(&mut self, until: Time) {
        let steps = if self.steps_at.0 == self.consensus.now { self.steps_at.1 + 1 } else { 0 };
        self.steps_at = (self.consensus.now, steps);
        assert!(steps < MAX_STEPS_AT_ONE_TIME, "no progress in time at {}", self.consensus.now);
        let next_message = self.messages.first_key_value().map(|(key, _)| key.0);
        let next_wake = self.wake_queue.first().map_or(until, |first| first.0);
        let next_poll = (0..self.coordinators.len())
            .map(|at| self.coordinators[at].next_deadline())
            .min()
            .unwrap_or(until);
        let next =
            until.min(next_message.unwrap_or(until)).min(next_wake).min(next_poll).max(self.consensus.now);
        if self.consensus.step(next) {
            for at in 0..self.config.replicas {
                self.poll_coordinator(at);
            }
            return;
        }
        self.consensus.now = self.consensus.now.max(next);
        let now = self.consensus.now;
        if next_poll <= now {
            for at in 0..self.config.replicas {
                self.poll_coordinator(at);
            }
        }
        if next_message.is_some_and(|next_message| next_message <= now) {
            if let Some((_, message)) = self.messages.pop_first() {
                self.deliver(now, message);
            }
            return;
        }
        if next_wake <= now && now < until {
            if let Some((_, at)) = self.wake_queue.first().copied() {
                self.wake(now, at);
            }
        }
    }

    fn deliver(&mut self, now: Time, message: Message) {
        match message {
            Message::Request { to, from, request } => {
                let Some(replica) = self.consensus.nodes[to].replica.as_mut() else { return };
                if from != OPERATOR {
                    self.traffic[to].received += 1;
                    self.traffic[to].received_bytes +=
                        message::encode(&request).map_or(0, |bytes| bytes.len() as u64);
                }
                let (ready, responses) = self.coordinators[to].handle(now, replica, from, request);
                self.deliver_ready(to, ready, responses);
                self.poll_coordinator(to);
            }
            Message::Response { to, incarnation, from, response } => {
                if self.isolated.contains(&to) || self.members[to].incarnations != incarnation {
                    return;
                }
                self.members[to].inbox.push((from, response));
                self.schedule(to);
            }
        }
    }
}
