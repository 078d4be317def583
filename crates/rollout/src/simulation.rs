//! Replicas and members in one simulated network with simulated disks: members die, stand still, drain, are cut off; some refuse a version.
//! The invariants are checked as it runs. Deterministic by seed.

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
    /// Time that a member takes to check and store a document.
    pub check: Time,
    /// Safeguards that are disabled at members.
    pub member: member::DisabledSafeguards,
    /// Safeguards that are disabled at coordinators.
    pub coordinator: coordinator::DisabledSafeguards,
}

impl Default for SimulationConfig {
    fn default() -> SimulationConfig {
        let rules = Rules { lease: SECOND, decision_timeout: 5 * SECOND, ..Rules::default() };
        let (member, coordinator) = Default::default();
        SimulationConfig { replicas: 3, members: 5, rules, check: 5 * MS, member, coordinator }
    }
}

#[derive(Clone, Debug)]
enum Mail {
    Request { to: usize, from: usize, request: Request },
    Response { to: usize, incarnation: u64, from: NodeId, response: Response },
}

/// Messages between one replica and the members, and their bytes; lost ones count as sent, not as heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages that arrived.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// Messages that were sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
}

/// Address of the operator; those of members are their positions.
const OPERATOR: usize = usize::MAX;
/// Ids of members begin here; those of replicas are lower.
const FIRST_MEMBER_ID: NodeId = 1000;
/// Steps in one moment after which time counts as standing still.
const MAX_STEPS_AT_ONE_TIME: u64 = 100_000;

/// The simulated cluster.
pub struct Simulation {
    /// What it was made with.
    pub config: SimulationConfig,
    /// The replicas and their network.
    pub consensus: ConsensusSimulation<PolicyState>,
    /// The coordinator of each replica.
    pub coordinators: Vec<RolloutCoordinator<usize>>,
    /// The members.
    pub members: Vec<SimulatedMember>,
    mail: BTreeMap<(Time, u64), Mail>,
    posted: u64,
    rng: SeededRng,
    /// Members that reach no replica.
    pub isolated: BTreeSet<usize>,
    /// Messages between members and replicas.
    pub messages_sent: u64,
    /// Their bytes.
    pub message_bytes: u64,
    /// Of each replica.
    pub traffic: Vec<Traffic>,
    /// Members under an older version than the newest that was active anywhere.
    behind: BTreeSet<usize>,
    /// What the operator was answered.
    pub operator_responses: Vec<Response>,
    /// When each version was proposed.
    pub proposed: BTreeMap<u64, Time>,
    /// When each version was decided, and whether it was committed.
    pub decided: BTreeMap<u64, (Time, bool)>,
    /// Why versions were aborted.
    pub abort_reasons: BTreeMap<u64, String>,
    /// When each version was first active anywhere.
    pub first_active: BTreeMap<u64, Time>,
    /// The last moment at which a member might still admit under a version older than this one, after this was first active.
    pub mixed_until: BTreeMap<u64, Time>,
    /// When each member has something to do next.
    wake_at: Vec<Time>,
    /// What each member was scheduled with, of what a caller may set between runs: stopped, rate, ahead.
    scheduled_with: Vec<Option<(Time, i64, Time)>>,
    /// Members in the order of time.
    wake_queue: BTreeSet<(Time, usize)>,
    /// The first invariant that was violated.
    pub violation: Option<String>,
    /// Rules of each version, by its number.
    rules: BTreeMap<u64, Rules>,
    /// A moment, and the steps that were done in it.
    steps_at: (Time, u64),
}

impl Simulation {
    /// A cluster whose faults and delays are drawn from `seed`.
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
            mail: BTreeMap::new(),
            posted: 0,
            rng: SeededRng::new(seed ^ 0x7011),
            isolated: BTreeSet::new(),
            messages_sent: 0,
            message_bytes: 0,
            traffic: vec![Traffic::default(); config.replicas],
            behind: BTreeSet::new(),
            operator_responses: Vec::new(),
            proposed: BTreeMap::new(),
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

    /// One more member joins; returns its position.
    pub fn join(&mut self) -> usize {
        let at = self.members.len();
        self.add_member(at);
        self.schedule_changed();
        at
    }

    /// An operator proposes a version, made from `parent`, to the leader; to any replica where none leads.
    pub fn propose(&mut self, parent: u64, rules: Rules, text: &str) {
        let to = self.consensus.leader().unwrap_or(0);
        let at_ms = self.consensus.now as u64;
        let version = Version {
            parent,
            rules,
            document: text.into(),
            by: "operator".into(),
            at_ms,
            hash: self.posted,
            ..Version::default()
        };
        let request = Request::Propose { number: 1, version };
        self.post(self.consensus.network.delay, Mail::Request { to, from: OPERATOR, request });
    }

    /// An operator says that a member will not come back.
    pub fn forget(&mut self, at: usize) {
        self.post_as_operator(Request::Forget { number: 2, member: FIRST_MEMBER_ID + at as NodeId });
    }

    /// Somebody who is no member of the simulation requests the replica that leads.
    pub fn post_as_operator(&mut self, request: Request) {
        let to = self.consensus.leader().unwrap_or(0);
        self.post(self.consensus.network.delay, Mail::Request { to, from: OPERATOR, request });
    }

    /// The active version, as the leader has it.
    pub fn active_version(&self) -> u64 {
        let leader = self.consensus.leader().and_then(|at| self.consensus.nodes[at].replica.as_ref());
        leader.map_or(0, |replica| replica.state_machine().active().number)
    }

    /// Whether a member may admit now.
    pub fn permit(&self, at: usize) -> AdmissionPermit {
        let now = self.clock(at);
        self.members[at].member.as_ref().map_or(AdmissionPermit::Deny, |member| member.permit(now))
    }

    fn post(&mut self, delay: Time, mail: Mail) {
        let weather = self.consensus.network;
        let lost = weather.loss_one_in > 0 && self.rng.one_in(weather.loss_one_in);
        let by_operator = matches!(mail, Mail::Request { from: OPERATOR, .. });
        if lost && !by_operator {
            return;
        }
        let twice = weather.duplicate_one_in > 0 && self.rng.one_in(weather.duplicate_one_in);
        let mut late = self.rng.below(delay.max(1) as u64) as Time;
        if weather.max_extra_delay > 0 && self.rng.one_in(20) {
            late += self.rng.below(weather.max_extra_delay as u64) as Time;
        }
        for _ in 0..1 + u64::from(twice) {
            self.posted += 1;
            self.mail.insert((self.consensus.now + delay + late, self.posted), mail.clone());
        }
    }

    fn post_requests(&mut self, from: usize, requests: Vec<(NodeId, Request)>) {
        for (to, request) in requests {
            self.messages_sent += 1;
            self.message_bytes += message::encode(&request).map_or(0, |bytes| bytes.len() as u64);
            if !self.isolated.contains(&from) {
                self.post(self.consensus.network.delay, Mail::Request { to: to as usize - 1, from, request });
            }
        }
    }

    /// Carries out what a replica's step asks for, and what its coordinator adds.
    fn after(&mut self, at: usize) {
        let now = self.consensus.now;
        let (own, others): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.consensus.responses).into_iter().partition(|one| one.0 == at);
        self.consensus.responses = others;
        let answers: Vec<ProposalResponse> = own.into_iter().map(|one| one.1).collect();
        let Some(replica) = self.consensus.nodes[at].replica.as_mut() else { return };
        let (out, responses) = self.coordinators[at].poll(now, replica, answers);
        self.coordinators[at].events().for_each(drop);
        for event in replica.state_machine_mut().take_events() {
            match event {
                RolloutEvent::Proposed { number, .. } => drop(self.proposed.entry(number).or_insert(now)),
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
        self.carry(at, out, responses);
    }

    fn carry(&mut self, at: usize, out: cypresscleat_consensus::Ready, responses: Vec<(usize, Response)>) {
        self.consensus.process_ready(at, out);
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
                self.post(self.consensus.network.delay, Mail::Response { to, incarnation, from, response });
            }
        }
        if self.consensus.responses.iter().any(|one| one.0 == at) {
            self.after(at);
        }
    }

    /// Runs until the given moment.
    pub fn run(&mut self, until: Time) {
        self.schedule_changed();
        while self.consensus.now < until {
            self.step(until);
        }
        self.check_invariants(until);
    }

    fn step(&mut self, until: Time) {
        let steps = if self.steps_at.0 == self.consensus.now { self.steps_at.1 + 1 } else { 0 };
        self.steps_at = (self.consensus.now, steps);
        assert!(steps < MAX_STEPS_AT_ONE_TIME, "time stands still at {}", self.consensus.now);
        let mail = self.mail.first_key_value().map(|(key, _)| key.0);
        let due = self.wake_queue.first().map_or(until, |first| first.0);
        let coordinator = (0..self.coordinators.len())
            .map(|at| self.coordinators[at].next_deadline())
            .min()
            .unwrap_or(until);
        let next = until.min(mail.unwrap_or(until)).min(due).min(coordinator).max(self.consensus.now);
        if self.consensus.step(next) {
            for at in 0..self.config.replicas {
                self.after(at);
            }
            return;
        }
        self.consensus.now = self.consensus.now.max(next);
        let now = self.consensus.now;
        if coordinator <= now {
            for at in 0..self.config.replicas {
                self.after(at);
            }
        }
        if mail.is_some_and(|mail| mail <= now) {
            if let Some((_, mail)) = self.mail.pop_first() {
                self.deliver(now, mail);
            }
            return;
        }
        if due <= now && now < until {
            if let Some((_, at)) = self.wake_queue.first().copied() {
                self.wake(now, at);
            }
        }
    }

    fn deliver(&mut self, now: Time, mail: Mail) {
        match mail {
            Mail::Request { to, from, request } => {
                let Some(replica) = self.consensus.nodes[to].replica.as_mut() else { return };
                if from != OPERATOR {
                    self.traffic[to].received += 1;
                    self.traffic[to].received_bytes +=
                        message::encode(&request).map_or(0, |bytes| bytes.len() as u64);
                }
                let (out, responses) = self.coordinators[to].handle(now, replica, from, request);
                self.carry(to, out, responses);
                self.after(to);
            }
            Mail::Response { to, incarnation, from, response } => {
                if self.isolated.contains(&to) || self.members[to].incarnations != incarnation {
                    return;
                }
                self.members[to].inbox.push((from, response));
                self.schedule(to);
            }
        }
    }
}
