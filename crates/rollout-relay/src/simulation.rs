//! Control replicas, relays and members in one simulated network. Each process has its own clock and disk. Messages are lost, doubled and
//! late; links between regions are slower; zones have two relays; some members ask the replicas directly. The invariants are checked as
//! the simulation runs, where a member's permit changes and not by a scan of all members, so that thousands can be simulated.
//! Deterministic by seed.

use crate::relay::{self, Relay, RelayOutput};
use cypresscleat_consensus::message;
use cypresscleat_consensus::sim::Simulation as ConsensusSimulation;
use cypresscleat_consensus::{ProposalResponse, RaftConfig};
use cypresscleat_rollout::coordinator::RolloutCoordinator;
use cypresscleat_rollout::member::{self, AdmissionPermit, MemberEvent, RolloutMember};
use cypresscleat_rollout::messages::{Request, Response, Verdict};
use cypresscleat_rollout::state::{PolicyState, RolloutEvent, Rules, Version};
use cypresscleat_rollout::{NodeId, SeededRng, Time, UnreachableMembers, MS, SECOND};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// Size and timing of a simulated cluster.
#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    /// Control replicas.
    pub replicas: usize,
    /// Regions; zones and replicas are spread over them.
    pub regions: usize,
    /// Zones; members are spread over them.
    pub zones: usize,
    /// Relays of each zone. Without any, all members ask the replicas.
    pub relays: usize,
    /// Members at the start.
    pub members: usize,
    /// Members among them that ask the replicas although their zone has relays.
    pub direct_members: usize,
    /// Every second member runs an earlier version of the program, which knows nothing of relays.
    pub older_members: bool,
    /// Rules of the versions that are proposed.
    pub rules: Rules,
    /// Time that a member takes to check and store a document.
    pub check_time: Time,
    /// Time that a relay takes to store a document.
    pub persist_time: Time,
    /// Delay of a message inside a region.
    pub intra_region_delay: Time,
    /// Delay of a message between two regions.
    pub inter_region_delay: Time,
    /// Delay of a message between two replicas.
    pub replica_delay: Time,
    /// The longest lease that a relay gives.
    pub max_lease: Time,
    /// Safeguards that are disabled at members.
    pub member: member::DisabledSafeguards,
    /// Safeguards that are disabled at relays.
    pub relay: relay::DisabledSafeguards,
}

impl Default for SimulationConfig {
    fn default() -> SimulationConfig {
        SimulationConfig {
            replicas: 3,
            regions: 2,
            zones: 2,
            relays: 2,
            members: 8,
            direct_members: 1,
            older_members: false,
            rules: Rules { lease: SECOND, decision_timeout: 8 * SECOND, ..Rules::default() },
            check_time: 5 * MS,
            persist_time: 2 * MS,
            intra_region_delay: MS,
            inter_region_delay: 10 * MS,
            replica_delay: 10 * MS,
            max_lease: SECOND,
            member: member::DisabledSafeguards::default(),
            relay: relay::DisabledSafeguards::default(),
        }
    }
}

/// Messages and bytes of one process, in all and in its busiest second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Messages that were sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Messages that arrived.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// The second of the last message.
    current_second: Time,
    /// Messages and bytes in that second.
    current_sums: [u64; 2],
    /// Messages in the busiest second, sent and received.
    pub peak_messages: u64,
    /// Bytes in the busiest second, sent and received.
    pub peak_bytes: u64,
}

impl Traffic {
    fn record(&mut self, now: Time, bytes: u64, is_sent: bool) {
        let (messages, sum) = match is_sent {
            true => (&mut self.sent, &mut self.sent_bytes),
            false => (&mut self.received, &mut self.received_bytes),
        };
        (*messages, *sum) = (*messages + 1, *sum + bytes);
        if self.current_second != now / SECOND {
            (self.current_second, self.current_sums) = (now / SECOND, [0; 2]);
        }
        self.current_sums = [self.current_sums[0] + 1, self.current_sums[1] + bytes];
        self.peak_messages = self.peak_messages.max(self.current_sums[0]);
        self.peak_bytes = self.peak_bytes.max(self.current_sums[1]);
    }
}

/// What a process runs; `None` while it is dead.
enum Role {
    Relay(Option<Box<Relay<usize>>>),
    Member(Option<Box<RolloutMember>>),
}

/// A process, its clock and its disk, which survives it.
pub struct SimulatedProcess {
    role: Role,
    /// The name under which it joins.
    pub name: String,
    id: NodeId,
    incarnations: u64,
    /// The region of its zone.
    pub region: usize,
    /// The relays or replicas that it asks.
    upstream: Vec<NodeId>,
    /// The process stands still until then.
    pub stopped_until: Time,
    /// Thousandths by which its clock runs fast or, where negative, slow.
    pub rate: i64,
    /// How far its clock is ahead.
    pub ahead: Time,
    /// Versions on its disk.
    stored: BTreeMap<u64, Version>,
    /// Checks and writes under way: when they end, and of what.
    checks: Vec<(Time, Version)>,
    /// Messages that wait for the process.
    inbox: Vec<Message>,
    /// Versions that it refuses.
    pub refuses: BTreeSet<u64>,
    /// It was told to leave.
    pub is_drained: bool,
    /// Nothing comes from it or to it.
    pub is_cut: bool,
    /// Its earliest wake-up among the scheduled events.
    wake_at: Time,
    /// The version under which it admits.
    admitting: Option<u64>,
    /// The last version under which it began to admit, and when.
    pub last_activation: (u64, Time),
    /// Its messages.
    pub traffic: Traffic,
}

#[derive(Clone, Debug)]
enum Message {
    Request(usize, Request),
    Response(NodeId, Response),
}

enum Event {
    /// A request arrives at a replica.
    ReplicaRequest { to: usize, from: usize, request: Request, bytes: u64 },
    /// A message arrives at a relay or a member.
    Delivery { to: usize, incarnation: u64, message: Message, bytes: u64 },
    /// A process has something to do.
    Wake(usize),
    /// The first version is committed, and leases on the second are over: no member may admit under the second any more.
    LeasesEnd(u64, u64),
}

/// When an event is due, its number in the order of scheduling, and the event.
struct Scheduled(Time, u64, Event);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    /// The earliest event is the greatest, as the heap pops the greatest.
    fn cmp(&self, other: &Scheduled) -> Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

/// Address of the operator; those of processes are their indexes.
const OPERATOR: usize = usize::MAX;
/// Ids of relays begin here; those of replicas are lower.
const FIRST_RELAY_ID: NodeId = 100;
/// Ids of members begin here.
const FIRST_MEMBER_ID: NodeId = 100_000;

/// The simulated cluster.
pub struct Simulation {
    /// What it was made with.
    pub config: SimulationConfig,
    /// The replicas and their network.
    pub consensus: ConsensusSimulation<PolicyState>,
    /// The coordinator of each replica.
    pub coordinators: Vec<RolloutCoordinator<usize>>,
    /// Relays first, then members.
    pub processes: Vec<SimulatedProcess>,
    /// Index of the first member.
    pub first_member: usize,
    events: BinaryHeap<Scheduled>,
    scheduled_events: u64,
    rng: SeededRng,
    /// Regions that reach no other region.
    pub isolated_regions: BTreeSet<usize>,
    /// Messages of each replica with relays and members.
    pub replica_traffic: Vec<Traffic>,
    /// When each version was proposed.
    pub proposed: BTreeMap<u64, Time>,
    /// When each version was decided, and whether it was committed.
    pub decided: BTreeMap<u64, (Time, bool)>,
    /// Why versions were aborted.
    pub reasons: BTreeMap<u64, String>,
    /// When each version was first active anywhere.
    pub first_active_at: BTreeMap<u64, Time>,
    /// How many members admit under each version.
    admitting: BTreeMap<u64, usize>,
    /// Rules of each version, by its number.
    rules: BTreeMap<u64, Rules>,
    /// The first invariant that was violated.
    pub violation: Option<String>,
    /// Log lines.
    pub log: Vec<String>,
    /// A moment, and the steps that were done in it.
    steps_at: (Time, u64),
}

impl Simulation {
    /// A cluster whose faults and delays are drawn from `seed`.
    pub fn new(config: SimulationConfig, seed: u64) -> Simulation {
        let mut consensus =
            ConsensusSimulation::new(config.replicas, PolicyState::default(), RaftConfig::default(), seed);
        consensus.network.delay = config.replica_delay;
        let mut simulation = Simulation {
            config,
            consensus,
            coordinators: (0..config.replicas).map(|_| RolloutCoordinator::default()).collect(),
            processes: Vec::new(),
            first_member: config.zones * config.relays,
            events: BinaryHeap::new(),
            scheduled_events: 0,
            rng: SeededRng::new(seed ^ 0x5e1a),
            isolated_regions: BTreeSet::new(),
            replica_traffic: vec![Traffic::default(); config.replicas],
            proposed: BTreeMap::new(),
            decided: BTreeMap::new(),
            reasons: BTreeMap::new(),
            first_active_at: BTreeMap::new(),
            admitting: BTreeMap::new(),
            rules: BTreeMap::from([(0, Rules::default())]),
            violation: None,
            log: Vec::new(),
            steps_at: (0, 0),
        };
        let replicas: Vec<NodeId> = (1..=config.replicas as NodeId).collect();
        for index in 0..simulation.first_member {
            let zone = index / config.relays;
            let name = format!("r{zone}{}", (b'a' + (index % config.relays) as u8) as char);
            simulation.add_process(
                Role::Relay(None),
                name,
                FIRST_RELAY_ID + index as NodeId,
                zone,
                replicas.clone(),
            );
        }
        for index in 0..config.members {
            simulation.add_member(index, index + config.direct_members >= config.members);
        }
        simulation
    }

    /// Adds a member. `index` counts members only.
    fn add_member(&mut self, index: usize, is_direct: bool) {
        let (zone, relays) = (index % self.config.zones, self.config.relays);
        let upstream: Vec<NodeId> = match is_direct || relays == 0 {
            true => (1..=self.config.replicas as NodeId).collect(),
            false => (0..relays).map(|relay| FIRST_RELAY_ID + (zone * relays + relay) as NodeId).collect(),
        };
        self.add_process(
            Role::Member(None),
            format!("m{index}"),
            FIRST_MEMBER_ID + index as NodeId,
            zone,
            upstream,
        );
    }

    fn add_process(&mut self, role: Role, name: String, id: NodeId, zone: usize, upstream: Vec<NodeId>) {
        self.processes.push(SimulatedProcess {
            role,
            name,
            id,
            incarnations: 0,
            region: zone % self.config.regions,
            upstream,
            stopped_until: 0,
            rate: 0,
            ahead: 0,
            stored: BTreeMap::new(),
            checks: Vec::new(),
            inbox: Vec::new(),
            refuses: BTreeSet::new(),
            is_drained: false,
            is_cut: false,
            wake_at: Time::MAX,
            admitting: None,
            last_activation: (0, 0),
            traffic: Traffic::default(),
        });
        self.start(self.processes.len() - 1);
    }

    /// One more member joins; returns its index.
    pub fn join(&mut self) -> usize {
        self.add_member(self.processes.len() - self.first_member, false);
        self.processes.len() - 1
    }

    /// What the clock of a process shows now.
    fn clock(&self, index: usize) -> Time {
        let process = &self.processes[index];
        self.consensus.now + self.consensus.now * process.rate / 1000 + process.ahead
    }

    /// When the clock of a process shows `time`.
    fn time_when_clock_shows(&self, index: usize, time: Time) -> Time {
        let process = &self.processes[index];
        if time >= Time::MAX / 4 {
            return Time::MAX;
        }
        let mut when = (time - process.ahead) * 1000 / (1000 + process.rate);
        while when + when * process.rate / 1000 + process.ahead < time {
            when += 1;
        }
        when
    }

    /// Starts a process, after a kill where it runs.
    pub fn start(&mut self, index: usize) {
        self.kill(index);
        let now = self.clock(index);
        let (max_lease, member, relay) = (self.config.max_lease, self.config.member, self.config.relay);
        let process = &mut self.processes[index];
        process.incarnations += 1;
        (process.stopped_until, process.is_drained) = (0, false);
        let (key, upstream) = ((process.id, process.incarnations), process.upstream.clone());
        match &mut process.role {
            Role::Relay(running) => {
                let mut new = Box::new(Relay::new(now, &process.name, key, upstream, max_lease));
                new.safeguards = relay;
                process.stored.values().for_each(|version| new.restore(version.clone()));
                *running = Some(new);
            }
            Role::Member(running) => {
                let mut new = Box::new(RolloutMember::new(now, &process.name, key, upstream));
                new.safeguards = member;
                new.imitates_earlier_version = self.config.older_members && (index / 2) % 2 == 1;
                process.stored.keys().for_each(|number| new.restore(*number));
                *running = Some(new);
            }
        }
        self.schedule_wake(index);
    }

    /// Kills a process; its disk stays.
    pub fn kill(&mut self, index: usize) {
        let process = &mut self.processes[index];
        match &mut process.role {
            Role::Relay(running) => *running = None,
            Role::Member(running) => *running = None,
        }
        process.inbox.clear();
        process.checks.clear();
        self.check_permit(index);
    }

    /// Kills a process and empties its disk.
    pub fn lose_disk(&mut self, index: usize) {
        self.kill(index);
        self.processes[index].stored.clear();
    }

    /// Whether a process is started and not killed.
    pub fn is_running(&self, index: usize) -> bool {
        match &self.processes[index].role {
            Role::Relay(running) => running.is_some(),
            Role::Member(running) => running.is_some(),
        }
    }

    /// A process stands still for this long; messages wait for it.
    pub fn stop(&mut self, index: usize, time: Time) {
        self.processes[index].stopped_until = self.consensus.now + time;
        self.check_permit(index);
        self.schedule_wake(index);
    }

    /// Tells a process to leave.
    pub fn drain(&mut self, index: usize) {
        let now = self.clock(index);
        self.processes[index].is_drained = true;
        match &mut self.processes[index].role {
            Role::Relay(Some(relay)) => {
                let output = relay.leave(now);
                self.process_output(index, output);
            }
            Role::Member(Some(member)) => {
                let requests = member.leave(now);
                self.send_requests(index, requests);
            }
            _ => {}
        }
        self.check_permit(index);
        self.schedule_wake(index);
    }

    /// The relay at an index, where it runs.
    pub fn relay(&self, index: usize) -> Option<&Relay<usize>> {
        match &self.processes[index].role {
            Role::Relay(running) => running.as_deref(),
            Role::Member(_) => None,
        }
    }

    /// An operator proposes a version, made from `parent`, to the leader; to any replica where none leads.
    pub fn propose(&mut self, parent: u64, rules: Rules, document: &str) {
        let to = self.consensus.leader().unwrap_or(0);
        let at_ms = self.consensus.now as u64;
        let (by, hash) = ("operator".to_string(), self.scheduled_events);
        let version =
            Version { parent, rules, document: document.into(), by, at_ms, hash, ..Version::default() };
        let request = Request::Propose { number: 1, version };
        self.schedule(
            self.consensus.now + self.config.intra_region_delay,
            Event::ReplicaRequest { to, from: OPERATOR, request, bytes: 0 },
        );
    }

    /// An operator says that a process will not come back.
    pub fn forget(&mut self, index: usize) {
        let to = self.consensus.leader().unwrap_or(0);
        let request = Request::Forget { number: 2, member: self.processes[index].id };
        self.schedule(
            self.consensus.now + self.config.intra_region_delay,
            Event::ReplicaRequest { to, from: OPERATOR, request, bytes: 0 },
        );
    }

    /// The active version, as the leader has it.
    pub fn active_version(&self) -> u64 {
        let leader = self.consensus.leader().and_then(|index| self.consensus.nodes[index].replica.as_ref());
        leader.map_or(0, |replica| replica.state_machine().active().number)
    }

    /// Number of members that the leader counts: relays, and members that ask the replicas.
    pub fn counted_members(&self) -> usize {
        let leader = self.consensus.leader().and_then(|index| self.consensus.nodes[index].replica.as_ref());
        leader.map_or(0, |replica| replica.state_machine().members().len())
    }

    /// Whether a member may admit now.
    pub fn permit(&self, index: usize) -> AdmissionPermit {
        match &self.processes[index].role {
            Role::Member(Some(member)) => member.permit(self.clock(index)),
            _ => AdmissionPermit::Deny,
        }
    }

    /// How many members admit under a version.
    pub fn admitting_members(&self, number: u64) -> usize {
        self.admitting.get(&number).copied().unwrap_or(0)
    }

    fn schedule(&mut self, time: Time, event: Event) {
        self.scheduled_events += 1;
        self.events.push(Scheduled(time, self.scheduled_events, event));
    }

    fn replica_region(&self, replica: usize) -> usize {
        replica % self.config.regions
    }

    /// Delay of each copy of a message between two regions that arrives; `None` where the message is lost.
    fn delivery_delays(&mut self, from: usize, to: usize) -> Option<Vec<Time>> {
        let network = self.consensus.network;
        let crosses_regions = from != to;
        let is_cut =
            crosses_regions && (self.isolated_regions.contains(&from) || self.isolated_regions.contains(&to));
        if (network.loss_one_in > 0 && self.rng.one_in(network.loss_one_in)) || is_cut {
            return None;
        }
        let is_duplicated = network.duplicate_one_in > 0 && self.rng.one_in(network.duplicate_one_in);
        let base =
            if crosses_regions { self.config.inter_region_delay } else { self.config.intra_region_delay };
        let delays = (0..1 + usize::from(is_duplicated)).map(|_| {
            let mut delay = base + self.rng.below(self.config.intra_region_delay.max(1) as u64) as Time;
            if network.max_extra_delay > 0 && self.rng.one_in(20) {
                delay += self.rng.below(network.max_extra_delay as u64) as Time;
            }
            delay
        });
        Some(delays.collect())
    }

    /// Sends requests of a relay or a member, to replicas or relays.
    fn send_requests(&mut self, from: usize, requests: Vec<(NodeId, Request)>) {
        let now = self.consensus.now;
        for (to, request) in requests {
            let bytes = message::encode(&request).map_or(0, |bytes| bytes.len() as u64);
            self.processes[from].traffic.record(now, bytes, true);
            let (own_region, is_cut) = (self.processes[from].region, self.processes[from].is_cut);
            let replica = (to < FIRST_RELAY_ID).then_some(to as usize - 1);
            let region = match replica {
                Some(index) => self.replica_region(index),
                None => self.processes[(to - FIRST_RELAY_ID) as usize].region,
            };
            for delay in self.delivery_delays(own_region, region).filter(|_| !is_cut).unwrap_or_default() {
                let event = match replica {
                    Some(to) => Event::ReplicaRequest { to, from, request: request.clone(), bytes },
                    None => {
                        let (to, message) =
                            ((to - FIRST_RELAY_ID) as usize, Message::Request(from, request.clone()));
                        Event::Delivery { to, incarnation: 0, message, bytes }
                    }
                };
                self.schedule(now + delay, event);
            }
        }
    }

    /// Sends a response to a relay or a member; returns its bytes.
    fn send_response(&mut self, from: NodeId, region: usize, to: usize, response: &Response) -> u64 {
        let bytes = message::encode(response).map_or(0, |bytes| bytes.len() as u64);
        let now = self.consensus.now;
        for delay in self.delivery_delays(region, self.processes[to].region).unwrap_or_default() {
            let (incarnation, message) =
                (self.processes[to].incarnations, Message::Response(from, response.clone()));
            self.schedule(now + delay, Event::Delivery { to, incarnation, message, bytes });
        }
        bytes
    }

    /// Carries out what a relay's step asks for.
    fn process_output(&mut self, index: usize, output: RelayOutput<usize>) {
        let (now, persist_time) = (self.consensus.now, self.config.persist_time);
        self.processes[index]
            .checks
            .extend(output.persist.into_iter().map(|version| (now + persist_time, version)));
        self.send_requests(index, output.upstream);
        let (id, region, is_cut) =
            (self.processes[index].id, self.processes[index].region, self.processes[index].is_cut);
        for (to, response) in output.downstream {
            let bytes = if is_cut { 0 } else { self.send_response(id, region, to, &response) };
            self.processes[index].traffic.record(now, bytes, true);
        }
    }

    /// Carries out what a replica's step asks for, and what its coordinator adds.
    fn finish_replica_step(&mut self, index: usize) {
        let now = self.consensus.now;
        let (own, others): (Vec<_>, Vec<_>) = std::mem::take(&mut self.consensus.responses)
            .into_iter()
            .partition(|response| response.0 == index);
        self.consensus.responses = others;
        let proposal_responses: Vec<ProposalResponse> = own.into_iter().map(|response| response.1).collect();
        let Some(replica) = self.consensus.nodes[index].replica.as_mut() else { return };
        let (ready, responses) = self.coordinators[index].poll(now, replica, proposal_responses);
        self.coordinators[index].events().for_each(drop);
        for event in replica.state_machine_mut().take_events() {
            match event {
                RolloutEvent::Proposed { number, .. } => drop(self.proposed.entry(number).or_insert(now)),
                RolloutEvent::Committed { number } => self.record_decision(index, number, true),
                RolloutEvent::Aborted { number, reason } => {
                    self.record_decision(index, number, false);
                    self.reasons.insert(number, reason);
                }
                _ => {}
            }
        }
        self.send_replica_output(index, ready, responses);
    }

    fn send_replica_output(
        &mut self,
        index: usize,
        ready: cypresscleat_consensus::Ready,
        responses: Vec<(usize, Response)>,
    ) {
        self.consensus.process_ready(index, ready);
        for (to, response) in responses {
            if to != OPERATOR {
                let is_cut = self.processes[to].is_cut;
                let bytes = if is_cut {
                    0
                } else {
                    self.send_response(index as NodeId + 1, self.replica_region(index), to, &response)
                };
                self.replica_traffic[index].record(self.consensus.now, bytes, true);
            }
        }
        if self.consensus.responses.iter().any(|response| response.0 == index) {
            self.finish_replica_step(index);
        }
    }

    /// A version was decided, as some replica has it.
    fn record_decision(&mut self, replica: usize, number: u64, is_committed: bool) {
        let now = self.consensus.now;
        if let Some(known) = self.decided.get(&number) {
            if known.1 != is_committed {
                self.violation.get_or_insert(format!("version {number} was decided both ways"));
            }
            return;
        }
        self.decided.insert(number, (now, is_committed));
        let state = self.consensus.nodes[replica].replica.as_ref().map(|replica| replica.state_machine());
        let rules = state.and_then(|state| state.version(number)).map(|version| version.rules);
        self.rules.insert(number, rules.unwrap_or_default());
        if !is_committed {
            return;
        }
        // Each member that may admit now, or that holds requests for the change, has the version on its disk.
        for index in self.first_member..self.processes.len() {
            if self.processes[index].stopped_until <= now && self.permit(index) != AdmissionPermit::Deny {
                let process = &self.processes[index];
                if !process.stored.contains_key(&number) {
                    let violation = format!(
                        "version {number} was committed, and {} admits without having stored it",
                        process.name
                    );
                    self.violation.get_or_insert(violation);
                }
            }
        }
        // No member admits under an older version for longer than that version's lease.
        let older: Vec<(u64, Time)> =
            self.rules.range(..number).map(|(older, rules)| (*older, rules.lease)).collect();
        for (older, lease) in older {
            self.schedule(now + lease + 1, Event::LeasesEnd(number, older));
        }
    }

    /// Follows the version under which a member admits, and checks the invariants where that version changed.
    fn check_permit(&mut self, index: usize) {
        if index < self.first_member {
            return;
        }
        let now = self.consensus.now;
        let is_stopped = self.processes[index].stopped_until > now;
        let admitting = match self.permit(index) {
            AdmissionPermit::Admit(number) if !is_stopped => Some(number),
            _ => None,
        };
        let before = std::mem::replace(&mut self.processes[index].admitting, admitting);
        if before == admitting {
            return;
        }
        if let Some(count) = before.and_then(|before| self.admitting.get_mut(&before)) {
            *count -= 1;
        }
        let Some(number) = admitting else { return };
        *self.admitting.entry(number).or_insert(0) += 1;
        if self.processes[index].last_activation.0 != number {
            self.processes[index].last_activation = (number, now);
        }
        if number != 0 && !self.decided.get(&number).is_some_and(|decided| decided.1) {
            let name = &self.processes[index].name;
            self.violation
                .get_or_insert(format!("{name} admits under version {number}, which was not committed"));
        }
        let newest = self.first_active_at.keys().next_back().copied().unwrap_or(0);
        if number > newest {
            self.first_active_at.insert(number, now);
            if self.rules.get(&number).is_some_and(|rules| rules.barrier) {
                let older: Vec<u64> = self.admitting.range(..number).map(|entry| *entry.0).collect();
                older.into_iter().for_each(|older| self.check_none_admits(older, number));
            }
        } else if number < newest {
            let lease = self.rules.get(&number).map_or(SECOND, |rules| rules.lease);
            let has_barrier = self.rules.get(&newest).is_some_and(|rules| rules.barrier);
            let is_late =
                self.decided.range(number + 1..).any(|(_, decided)| decided.1 && now > decided.0 + lease);
            if has_barrier || is_late {
                let name = &self.processes[index].name;
                self.violation
                    .get_or_insert(format!("{name} begins to admit under {number} while {newest} is active"));
            }
        }
    }

    /// No member may admit under `older` now, because of `number`.
    fn check_none_admits(&mut self, older: u64, number: u64) {
        if self.admitting_members(older) == 0 {
            return;
        }
        let now = self.consensus.now;
        let member = (self.first_member..self.processes.len()).find(|index| {
            self.processes[*index].stopped_until <= now
                && self.permit(*index) == AdmissionPermit::Admit(older)
        });
        if let Some(index) = member {
            let since_ms = self.decided.get(&number).map_or(0, |decided| (now - decided.0) / MS);
            let name = &self.processes[index].name;
            let violation =
                format!("{name} admits under {older} beside {number}, {since_ms} ms after it was committed");
            self.violation.get_or_insert(violation);
        }
    }

    /// Schedules the next wake-up of a process.
    fn schedule_wake(&mut self, index: usize) {
        let deadline = match &self.processes[index].role {
            Role::Relay(Some(relay)) => relay.next_deadline(),
            Role::Member(Some(member)) => member.next_deadline(),
            _ => Time::MAX,
        };
        let deadline = self.time_when_clock_shows(index, deadline);
        let process = &self.processes[index];
        let check = process.checks.iter().map(|check| check.0).min().unwrap_or(Time::MAX);
        let message = if process.inbox.is_empty() { Time::MAX } else { 0 };
        let deadline = deadline.min(check).min(message).max(process.stopped_until).max(self.consensus.now);
        if deadline < process.wake_at && deadline < Time::MAX {
            self.processes[index].wake_at = deadline;
            self.schedule(deadline, Event::Wake(index));
        }
    }

    /// Runs until the given moment.
    pub fn run(&mut self, until: Time) {
        while self.consensus.now < until {
            self.step(until);
        }
    }

    fn step(&mut self, until: Time) {
        let steps = if self.steps_at.0 == self.consensus.now { self.steps_at.1 + 1 } else { 0 };
        self.steps_at = (self.consensus.now, steps);
        assert!(steps < 1_000_000, "time stands still at {}", self.consensus.now);
        let event = self.events.peek().map_or(until, |event| event.0);
        let coordinator =
            self.coordinators.iter().map(RolloutCoordinator::next_deadline).min().unwrap_or(until);
        let next = until.min(event).min(coordinator).max(self.consensus.now);
        if self.consensus.step(next) {
            (0..self.config.replicas).for_each(|index| self.finish_replica_step(index));
            return;
        }
        self.consensus.now = self.consensus.now.max(next);
        if coordinator <= next {
            (0..self.config.replicas).for_each(|index| self.finish_replica_step(index));
        }
        if event > next || next >= until {
            return;
        }
        let Some(Scheduled(time, _, event)) = self.events.pop() else { return };
        match event {
            Event::ReplicaRequest { to, from, request, bytes } => {
                self.replica_traffic[to].record(next, bytes, false);
                let Some(replica) = self.consensus.nodes[to].replica.as_mut() else { return };
                let (ready, responses) = self.coordinators[to].handle(next, replica, from, request);
                self.send_replica_output(to, ready, responses);
                self.finish_replica_step(to);
            }
            Event::Delivery { to, incarnation, message, bytes } => {
                let process = &mut self.processes[to];
                // A member's socket is new with each incarnation; a relay's address is fixed in the operator's file.
                let is_outdated = incarnation != process.incarnations && to >= self.first_member;
                if process.is_cut || is_outdated {
                    return;
                }
                process.traffic.record(next, bytes, false);
                process.inbox.push(message);
                if process.stopped_until <= next {
                    self.wake(to);
                }
            }
            Event::Wake(index) => {
                if self.processes[index].wake_at == time {
                    self.processes[index].wake_at = Time::MAX;
                }
                if self.processes[index].stopped_until <= next {
                    self.wake(index);
                } else {
                    self.schedule_wake(index);
                }
            }
            Event::LeasesEnd(number, older) => self.check_none_admits(older, number),
        }
    }

    /// Runs a process: first what is due by its clock, then its inbox, then checks and writes that are done.
    fn wake(&mut self, index: usize) {
        let (now, clock) = (self.consensus.now, self.clock(index));
        let process = &mut self.processes[index];
        let inbox = std::mem::take(&mut process.inbox);
        let done: Vec<Version> =
            process.checks.iter().filter(|check| check.0 <= now).map(|check| check.1.clone()).collect();
        process.checks.retain(|check| check.0 > now);
        match &mut process.role {
            Role::Relay(Some(relay)) => {
                let mut outputs = Vec::new();
                if clock >= relay.next_deadline() {
                    outputs.push(relay.tick(clock));
                }
                outputs.extend(inbox.into_iter().map(|message| match message {
                    Message::Request(from, request) => relay.handle_request(clock, from, request),
                    Message::Response(from, response) => relay.handle_response(clock, from, response),
                }));
                for version in done {
                    let number = version.number;
                    process.stored.insert(number, version);
                    outputs.push(relay.record_persisted(clock, number, Ok(())));
                }
                while process.stored.len() > 4 {
                    process.stored.pop_first();
                }
                relay.drain_log().for_each(drop);
                outputs.into_iter().for_each(|output| self.process_output(index, output));
            }
            Role::Member(Some(member)) => {
                let mut requests = member.tick(clock);
                for message in inbox {
                    if let Message::Response(from, response) = message {
                        requests.extend(member.handle(clock, from, response));
                    }
                }
                for version in done {
                    let number = version.number;
                    let verdict = match process.refuses.contains(&number) {
                        true => Verdict::Refused("line 1: no such thing".into()),
                        false => Verdict::Prepared,
                    };
                    if verdict == Verdict::Prepared {
                        process.stored.insert(number, version);
                    }
                    requests.extend(member.record_verdict(clock, number, verdict));
                }
                for event in member.events() {
                    if let MemberEvent::Check { version } = event {
                        process.checks.push((now + self.config.check_time, *version));
                    }
                }
                self.send_requests(index, requests);
                self.check_permit(index);
            }
            _ => {}
        }
        self.schedule_wake(index);
    }

    /// Random faults of all kinds for this long, with changes proposed every few seconds.
    pub fn inject_faults(&mut self, time: Time) {
        let end = self.consensus.now + time;
        let mut proposals = 0;
        for index in 0..self.processes.len() {
            // Any two clocks run apart by less than one part in 40.
            self.processes[index].rate = self.rng.below(25) as i64 - 12;
            // No clock jumps as its rate changes.
            self.processes[index].ahead -= self.consensus.now * self.processes[index].rate / 1000;
            self.schedule_wake(index);
        }
        while self.consensus.now < end && self.violation.is_none() && self.consensus.violation.is_none() {
            let until = self.consensus.now + 50 * MS + self.rng.below(500) as Time * MS;
            let any = self.rng.below(self.processes.len() as u64) as usize;
            // Half of the faults hit a relay.
            let relay = self.rng.below(self.first_member.max(1) as u64) as usize;
            let index = if self.first_member > 0 && self.rng.one_in(2) { relay } else { any };
            let replica = self.rng.below(self.config.replicas as u64) as usize;
            match self.rng.below(18) {
                0 => self.kill(index),
                1 | 2 => {
                    if !self.is_running(index) || self.processes[index].is_drained {
                        self.start(index);
                    }
                }
                3 => {
                    let time = self.rng.below(40) as Time * SECOND / 10;
                    self.stop(index, time);
                }
                4 => self.processes[index].is_cut = true,
                5 => self.processes.iter_mut().for_each(|process| process.is_cut = false),
                6 => {
                    self.lose_disk(index);
                    if self.rng.one_in(2) {
                        self.start(index);
                    }
                }
                7 => self.drain(index),
                8 => self.consensus.crash(replica),
                9 => {
                    for index in 0..self.config.replicas {
                        if self.consensus.nodes[index].replica.is_none() {
                            self.consensus.start(index);
                        }
                    }
                }
                // A restart without a pause, as by a supervisor.
                10 => self.start(index),
                11 => {
                    let region = self.rng.below(self.config.regions as u64) as usize;
                    self.isolate_region(region);
                }
                12 => self.reconnect_regions(),
                13 if self.processes.len() < self.first_member + self.config.members + 4 => drop(self.join()),
                _ => {
                    proposals += 1;
                    let mut rules = self.config.rules;
                    rules.barrier = self.rng.one_in(2);
                    if self.rng.one_in(4) {
                        rules.unreachable = match rules.unreachable {
                            UnreachableMembers::Fence => UnreachableMembers::Wait,
                            UnreachableMembers::Wait => UnreachableMembers::Fence,
                        };
                    }
                    if self.rng.one_in(4) {
                        rules.lease /= 2;
                    }
                    let next = self.proposed.keys().next_back().copied().unwrap_or(0) + 1;
                    if self.rng.one_in(4) && any >= self.first_member {
                        self.processes[any].refuses.insert(next);
                    }
                    self.propose(self.active_version(), rules, &format!("text {proposals}"));
                }
            }
            self.run(until);
        }
    }

    /// Cuts a region off from all others.
    pub fn isolate_region(&mut self, region: usize) {
        self.isolated_regions.insert(region);
        for (one, other) in
            (0..self.config.replicas).flat_map(|one| (0..self.config.replicas).map(move |other| (one, other)))
        {
            if (self.replica_region(one) == region) != (self.replica_region(other) == region) {
                self.consensus.blocked_links.insert((one as NodeId + 1, other as NodeId + 1));
            }
        }
    }

    /// Mends the links between all regions.
    pub fn reconnect_regions(&mut self) {
        self.isolated_regions.clear();
        self.consensus.blocked_links.clear();
    }

    /// Mends all links; all processes run and are awake. Messages are lost and late as before.
    pub fn heal(&mut self) {
        self.reconnect_regions();
        for index in 0..self.config.replicas {
            if self.consensus.nodes[index].replica.is_none() {
                self.consensus.start(index);
            }
        }
        for index in 0..self.processes.len() {
            let process = &mut self.processes[index];
            (process.is_cut, process.stopped_until) = (false, process.stopped_until.min(self.consensus.now));
            if !self.is_running(index) || self.processes[index].is_drained {
                self.start(index);
            }
            self.schedule_wake(index);
        }
    }

    /// Whether all members admit under the active version, but for those that refuse it.
    pub fn is_settled(&self) -> bool {
        let active = self.active_version();
        (self.first_member..self.processes.len()).all(|index| {
            match self.processes[index].refuses.contains(&active) {
                false => self.permit(index) == AdmissionPermit::Admit(active),
                true => self.permit(index) == AdmissionPermit::Deny,
            }
        })
    }
}
