//! Keepers, relays and members in one simulated net: each with a clock and a disk of its own, letters lost, doubled and late, links
//! between regions slower, zones with two relays, members directly at the keepers beside them. The rules are checked as it goes, at
//! what changes and not by looks at everybody, so that thousands can be played. Deterministic by seed.

use crate::relay::{self, Out, Relay};
use cypresscleat_consensus::message;
use cypresscleat_consensus::sim::Simulation as ConsensusSimulation;
use cypresscleat_consensus::{ProposalResponse, RaftConfig};
use cypresscleat_rollout::coordinator::RolloutCoordinator;
use cypresscleat_rollout::member::{self, AdmissionPermit, MemberEvent as Happens, RolloutMember};
use cypresscleat_rollout::messages::{Request, Response, Verdict};
use cypresscleat_rollout::state::{PolicyState, RolloutEvent, Rules, Version};
use cypresscleat_rollout::{NodeId, SeededRng, Time, UnreachableMembers, MS, SECOND};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    pub replicas: usize,
    pub regions: usize,
    pub zones: usize,
    /// Relays of each zone; without any, all members are at the keepers.
    pub relays: usize,
    pub members: usize,
    /// So many of them are at the keepers all the same.
    pub direct_members: usize,
    /// Every second member is a program of before relays.
    pub older: bool,
    pub rules: Rules,
    /// Time that a member takes to check a text and keep it, and a relay to keep it.
    pub check: Time,
    pub keep: Time,
    /// A letter's way inside a region, and between two.
    pub intra_region_delay: Time,
    pub inter_region_delay: Time,
    /// And between two keepers.
    pub replica_delay: Time,
    /// The longest lease that a relay gives.
    pub max_lease: Time,
    pub member: member::DisabledSafeguards,
    pub relay: relay::Broken,
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
            older: false,
            rules: Rules { lease: SECOND, decision_timeout: 8 * SECOND, ..Rules::default() },
            check: 5 * MS,
            keep: 2 * MS,
            intra_region_delay: MS,
            inter_region_delay: 10 * MS,
            replica_delay: 10 * MS,
            max_lease: SECOND,
            member: member::DisabledSafeguards::default(),
            relay: relay::Broken::default(),
        }
    }
}

/// Letters and bytes of one place, in all and in its busiest second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub received_bytes: u64,
    second: Time,
    now: [u64; 2],
    pub peak_messages: u64,
    pub peak_bytes: u64,
}

impl Traffic {
    fn counts(&mut self, now: Time, bytes: u64, sent: bool) {
        let (letters, sum) = match sent {
            true => (&mut self.sent, &mut self.sent_bytes),
            false => (&mut self.received, &mut self.received_bytes),
        };
        (*letters, *sum) = (*letters + 1, *sum + bytes);
        if self.second != now / SECOND {
            (self.second, self.now) = (now / SECOND, [0; 2]);
        }
        self.now = [self.now[0] + 1, self.now[1] + bytes];
        self.peak_messages = self.peak_messages.max(self.now[0]);
        self.peak_bytes = self.peak_bytes.max(self.now[1]);
    }
}

enum Process {
    Relay(Option<Box<Relay<usize>>>),
    RolloutMember(Option<Box<RolloutMember>>),
}

/// A process and its disk: relays come first, then members.
pub struct SimulatedProcess {
    process: Process,
    pub name: String,
    id: NodeId,
    lives: u64,
    pub region: usize,
    /// Whom it asks.
    above: Vec<NodeId>,
    /// Stands still until then.
    pub stopped: Time,
    /// Parts in a thousand by which its clock runs faster; and how far it is ahead.
    pub rate: i64,
    pub ahead: Time,
    kept: BTreeMap<u64, Version>,
    /// Checks and writes under way: when they end, and of what.
    checks: Vec<(Time, Version)>,
    letters: Vec<Letter>,
    /// It refuses these.
    pub refuses: BTreeSet<u64>,
    /// It was told to leave.
    pub drained: bool,
    /// Nothing comes from it or to it.
    pub cut: bool,
    /// The earliest look that is in the heap.
    planned: Time,
    /// What it admits under, and the last version that it began with, with the time.
    admits: Option<u64>,
    pub last_activation: (u64, Time),
    pub traffic: Traffic,
}

#[derive(Clone, Debug)]
enum Letter {
    Request(usize, Request),
    Response(NodeId, Response),
}

enum Event {
    /// To a keeper.
    Asks {
        to: usize,
        from: usize,
        ask: Request,
        bytes: u64,
    },
    Arrives {
        to: usize,
        life: u64,
        letter: Letter,
        bytes: u64,
    },
    Looks(usize),
    /// Nobody may admit under the second any more, as the first was taken.
    Rule(u64, u64),
}

struct Planned(Time, u64, Event);

impl PartialEq for Planned {
    fn eq(&self, other: &Planned) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Planned {}
impl PartialOrd for Planned {
    fn partial_cmp(&self, other: &Planned) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Planned {
    /// The earliest is the greatest.
    fn cmp(&self, other: &Planned) -> Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

const OPERATOR: usize = usize::MAX;
const RELAY: NodeId = 100;
const MEMBER: NodeId = 100_000;

pub struct Simulation {
    pub config: SimulationConfig,
    pub consensus: ConsensusSimulation<PolicyState>,
    pub coordinators: Vec<RolloutCoordinator<usize>>,
    pub processes: Vec<SimulatedProcess>,
    /// Places of relays come before this one.
    pub first_member: usize,
    events: BinaryHeap<Planned>,
    posted: u64,
    rng: SeededRng,
    /// Regions that reach no other.
    pub apart: BTreeSet<usize>,
    pub replica_traffic: Vec<Traffic>,
    pub proposed: BTreeMap<u64, Time>,
    pub decided: BTreeMap<u64, (Time, bool)>,
    pub reasons: BTreeMap<u64, String>,
    /// When each version was first in force anywhere.
    pub first: BTreeMap<u64, Time>,
    /// How many admit under which version.
    admit: BTreeMap<u64, usize>,
    rules: BTreeMap<u64, Rules>,
    /// What was wrong, the first of it.
    pub violation: Option<String>,
    pub log: Vec<String>,
    stuck: (Time, u64),
}

impl Simulation {
    pub fn new(config: SimulationConfig, seed: u64) -> Simulation {
        let mut consensus =
            ConsensusSimulation::new(config.replicas, PolicyState::default(), RaftConfig::default(), seed);
        consensus.network.delay = config.replica_delay;
        let mut play = Simulation {
            config,
            consensus,
            coordinators: (0..config.replicas).map(|_| RolloutCoordinator::default()).collect(),
            processes: Vec::new(),
            first_member: config.zones * config.relays,
            events: BinaryHeap::new(),
            posted: 0,
            rng: SeededRng::new(seed ^ 0x5e1a),
            apart: BTreeSet::new(),
            replica_traffic: vec![Traffic::default(); config.replicas],
            proposed: BTreeMap::new(),
            decided: BTreeMap::new(),
            reasons: BTreeMap::new(),
            first: BTreeMap::new(),
            admit: BTreeMap::new(),
            rules: BTreeMap::from([(0, Rules::default())]),
            violation: None,
            log: Vec::new(),
            stuck: (0, 0),
        };
        let keepers: Vec<NodeId> = (1..=config.replicas as NodeId).collect();
        for at in 0..play.first_member {
            let zone = at / config.relays;
            let name = format!("r{zone}{}", (b'a' + (at % config.relays) as u8) as char);
            play.adds(Process::Relay(None), name, RELAY + at as NodeId, zone, keepers.clone());
        }
        for at in 0..config.members {
            play.adds_member(at, at + config.direct_members >= config.members);
        }
        play
    }

    fn adds_member(&mut self, at: usize, direct: bool) {
        let (zone, each) = (at % self.config.zones, self.config.relays);
        let above: Vec<NodeId> = match direct || each == 0 {
            true => (1..=self.config.replicas as NodeId).collect(),
            false => (0..each).map(|one| RELAY + (zone * each + one) as NodeId).collect(),
        };
        self.adds(Process::RolloutMember(None), format!("m{at}"), MEMBER + at as NodeId, zone, above);
    }

    fn adds(&mut self, process: Process, name: String, id: NodeId, zone: usize, above: Vec<NodeId>) {
        self.processes.push(SimulatedProcess {
            process,
            name,
            id,
            lives: 0,
            region: zone % self.config.regions,
            above,
            stopped: 0,
            rate: 0,
            ahead: 0,
            kept: BTreeMap::new(),
            checks: Vec::new(),
            letters: Vec::new(),
            refuses: BTreeSet::new(),
            drained: false,
            cut: false,
            planned: Time::MAX,
            admits: None,
            last_activation: (0, 0),
            traffic: Traffic::default(),
        });
        self.start(self.processes.len() - 1);
    }

    /// One more member joins; its place.
    pub fn join(&mut self) -> usize {
        self.adds_member(self.processes.len() - self.first_member, false);
        self.processes.len() - 1
    }

    fn clock(&self, at: usize) -> Time {
        let one = &self.processes[at];
        self.consensus.now + self.consensus.now * one.rate / 1000 + one.ahead
    }

    /// When its clock shows `time`.
    fn when(&self, at: usize, time: Time) -> Time {
        let one = &self.processes[at];
        if time >= Time::MAX / 4 {
            return Time::MAX;
        }
        let mut when = (time - one.ahead) * 1000 / (1000 + one.rate);
        while when + when * one.rate / 1000 + one.ahead < time {
            when += 1;
        }
        when
    }

    pub fn start(&mut self, at: usize) {
        self.kill(at);
        let now = self.clock(at);
        let (most, member, relay) = (self.config.max_lease, self.config.member, self.config.relay);
        let one = &mut self.processes[at];
        one.lives += 1;
        (one.stopped, one.drained) = (0, false);
        let (key, above) = ((one.id, one.lives), one.above.clone());
        match &mut one.process {
            Process::Relay(process) => {
                let mut new = Box::new(Relay::new(now, &one.name, key, above, most));
                new.broken = relay;
                one.kept.values().for_each(|version| new.knows(version.clone()));
                *process = Some(new);
            }
            Process::RolloutMember(process) => {
                let mut new = Box::new(RolloutMember::new(now, &one.name, key, above));
                new.safeguards = member;
                new.imitates_earlier_version = self.config.older && (at / 2) % 2 == 1;
                one.kept.keys().for_each(|number| new.restore(*number));
                *process = Some(new);
            }
        }
        self.plans(at);
    }

    pub fn kill(&mut self, at: usize) {
        let one = &mut self.processes[at];
        match &mut one.process {
            Process::Relay(process) => *process = None,
            Process::RolloutMember(process) => *process = None,
        }
        one.letters.clear();
        one.checks.clear();
        self.judges(at);
    }

    pub fn lose_disk(&mut self, at: usize) {
        self.kill(at);
        self.processes[at].kept.clear();
    }

    pub fn is_running(&self, at: usize) -> bool {
        match &self.processes[at].process {
            Process::Relay(process) => process.is_some(),
            Process::RolloutMember(process) => process.is_some(),
        }
    }

    /// It stands still for so long; letters wait for it.
    pub fn stop(&mut self, at: usize, time: Time) {
        self.processes[at].stopped = self.consensus.now + time;
        self.judges(at);
        self.plans(at);
    }

    pub fn drain(&mut self, at: usize) {
        let now = self.clock(at);
        self.processes[at].drained = true;
        match &mut self.processes[at].process {
            Process::Relay(Some(relay)) => {
                let out = relay.leaves(now);
                self.carries(at, out);
            }
            Process::RolloutMember(Some(member)) => {
                let asks = member.leave(now);
                self.asks(at, asks);
            }
            _ => {}
        }
        self.judges(at);
        self.plans(at);
    }

    pub fn relay(&self, at: usize) -> Option<&Relay<usize>> {
        match &self.processes[at].process {
            Process::Relay(process) => process.as_deref(),
            Process::RolloutMember(_) => None,
        }
    }

    /// An operator proposes a version, made from `parent`, to the keeper that leads; or to any, where none does.
    pub fn propose(&mut self, parent: u64, rules: Rules, text: &str) {
        let to = self.consensus.leader().unwrap_or(0);
        let at_ms = self.consensus.now as u64;
        let (by, hash) = ("operator".to_string(), self.posted);
        let version = Version { parent, rules, document: text.into(), by, at_ms, hash, ..Version::default() };
        let ask = Request::Propose { number: 1, version };
        self.plan(
            self.consensus.now + self.config.intra_region_delay,
            Event::Asks { to, from: OPERATOR, ask, bytes: 0 },
        );
    }

    /// An operator says that a process will not come back.
    pub fn forget(&mut self, at: usize) {
        let to = self.consensus.leader().unwrap_or(0);
        let ask = Request::Forget { number: 2, member: self.processes[at].id };
        self.plan(
            self.consensus.now + self.config.intra_region_delay,
            Event::Asks { to, from: OPERATOR, ask, bytes: 0 },
        );
    }

    /// The version in force as the keepers have it.
    pub fn active_version(&self) -> u64 {
        let leader = self.consensus.leader().and_then(|at| self.consensus.nodes[at].replica.as_ref());
        leader.map_or(0, |keeper| keeper.state_machine().active().number)
    }

    /// Lives that count at the keepers.
    pub fn counted_members(&self) -> usize {
        let leader = self.consensus.leader().and_then(|at| self.consensus.nodes[at].replica.as_ref());
        leader.map_or(0, |keeper| keeper.state_machine().members().len())
    }

    pub fn permit(&self, at: usize) -> AdmissionPermit {
        match &self.processes[at].process {
            Process::RolloutMember(Some(member)) => member.permit(self.clock(at)),
            _ => AdmissionPermit::Deny,
        }
    }

    /// How many admit under it.
    pub fn admitting_members(&self, number: u64) -> usize {
        self.admit.get(&number).copied().unwrap_or(0)
    }

    fn plan(&mut self, time: Time, event: Event) {
        self.posted += 1;
        self.events.push(Planned(time, self.posted, event));
    }

    fn region(&self, keeper: usize) -> usize {
        keeper % self.config.regions
    }

    /// Whether a letter gets through, how long it takes, and how often it comes.
    fn way(&mut self, from: usize, to: usize) -> Option<Vec<Time>> {
        let weather = self.consensus.network;
        let far = from != to;
        let cut = far && (self.apart.contains(&from) || self.apart.contains(&to));
        if (weather.loss_one_in > 0 && self.rng.one_in(weather.loss_one_in)) || cut {
            return None;
        }
        let twice = weather.duplicate_one_in > 0 && self.rng.one_in(weather.duplicate_one_in);
        let base = if far { self.config.inter_region_delay } else { self.config.intra_region_delay };
        let ways = (0..1 + usize::from(twice)).map(|_| {
            let mut way = base + self.rng.below(self.config.intra_region_delay.max(1) as u64) as Time;
            if weather.max_extra_delay > 0 && self.rng.one_in(20) {
                way += self.rng.below(weather.max_extra_delay as u64) as Time;
            }
            way
        });
        Some(ways.collect())
    }

    fn asks(&mut self, from: usize, asks: Vec<(NodeId, Request)>) {
        let now = self.consensus.now;
        for (to, ask) in asks {
            let bytes = message::encode(&ask).map_or(0, |bytes| bytes.len() as u64);
            self.processes[from].traffic.counts(now, bytes, true);
            let (own, cut) = (self.processes[from].region, self.processes[from].cut);
            let keeper = (to < RELAY).then_some(to as usize - 1);
            let region = match keeper {
                Some(at) => self.region(at),
                None => self.processes[(to - RELAY) as usize].region,
            };
            for way in self.way(own, region).filter(|_| !cut).unwrap_or_default() {
                let event = match keeper {
                    Some(to) => Event::Asks { to, from, ask: ask.clone(), bytes },
                    None => {
                        let (to, letter) = ((to - RELAY) as usize, Letter::Request(from, ask.clone()));
                        Event::Arrives { to, life: 0, letter, bytes }
                    }
                };
                self.plan(now + way, event);
            }
        }
    }

    fn answers(&mut self, from: NodeId, region: usize, to: usize, answer: &Response) -> u64 {
        let bytes = message::encode(answer).map_or(0, |bytes| bytes.len() as u64);
        let now = self.consensus.now;
        for way in self.way(region, self.processes[to].region).unwrap_or_default() {
            let (life, letter) = (self.processes[to].lives, Letter::Response(from, answer.clone()));
            self.plan(now + way, Event::Arrives { to, life, letter, bytes });
        }
        bytes
    }

    fn carries(&mut self, at: usize, out: Out<usize>) {
        let (now, keep) = (self.consensus.now, self.config.keep);
        self.processes[at].checks.extend(out.keep.into_iter().map(|version| (now + keep, version)));
        self.asks(at, out.up);
        let (id, region, cut) = (self.processes[at].id, self.processes[at].region, self.processes[at].cut);
        for (to, answer) in out.down {
            let bytes = if cut { 0 } else { self.answers(id, region, to, &answer) };
            self.processes[at].traffic.counts(now, bytes, true);
        }
    }

    /// What a keeper's step asks for, its desk's words with it.
    fn after(&mut self, at: usize) {
        let now = self.consensus.now;
        let (own, others): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.consensus.responses).into_iter().partition(|one| one.0 == at);
        self.consensus.responses = others;
        let answers: Vec<ProposalResponse> = own.into_iter().map(|one| one.1).collect();
        let Some(keeper) = self.consensus.nodes[at].replica.as_mut() else { return };
        let (out, said) = self.coordinators[at].poll(now, keeper, answers);
        self.coordinators[at].events().for_each(drop);
        for news in keeper.state_machine_mut().take_events() {
            match news {
                RolloutEvent::Proposed { number, .. } => drop(self.proposed.entry(number).or_insert(now)),
                RolloutEvent::Committed { number } => self.decides(at, number, true),
                RolloutEvent::Aborted { number, reason } => {
                    self.decides(at, number, false);
                    self.reasons.insert(number, reason);
                }
                _ => {}
            }
        }
        self.keeper_says(at, out, said);
    }

    fn keeper_says(&mut self, at: usize, out: cypresscleat_consensus::Ready, said: Vec<(usize, Response)>) {
        self.consensus.process_ready(at, out);
        for (to, answer) in said {
            if to != OPERATOR {
                let cut = self.processes[to].cut;
                let bytes =
                    if cut { 0 } else { self.answers(at as NodeId + 1, self.region(at), to, &answer) };
                self.replica_traffic[at].counts(self.consensus.now, bytes, true);
            }
        }
        if self.consensus.responses.iter().any(|one| one.0 == at) {
            self.after(at);
        }
    }

    fn decides(&mut self, keeper: usize, number: u64, taken: bool) {
        let now = self.consensus.now;
        if let Some(known) = self.decided.get(&number) {
            if known.1 != taken {
                self.violation.get_or_insert(format!("version {number} was decided both ways"));
            }
            return;
        }
        self.decided.insert(number, (now, taken));
        let agreed = self.consensus.nodes[keeper].replica.as_ref().map(|keeper| keeper.state_machine());
        let rules = agreed.and_then(|agreed| agreed.version(number)).map(|version| version.rules);
        self.rules.insert(number, rules.unwrap_or_default());
        if !taken {
            return;
        }
        // Whoever may admit now, or holds for the change, has it on its disk.
        for at in self.first_member..self.processes.len() {
            if self.processes[at].stopped <= now && self.permit(at) != AdmissionPermit::Deny {
                let one = &self.processes[at];
                if !one.kept.contains_key(&number) {
                    let wrong =
                        format!("version {number} was taken, and {} admits without having it", one.name);
                    self.violation.get_or_insert(wrong);
                }
            }
        }
        // And under an older one for no longer than its lease.
        let older: Vec<(u64, Time)> =
            self.rules.range(..number).map(|(older, rules)| (*older, rules.lease)).collect();
        for (older, lease) in older {
            self.plan(now + lease + 1, Event::Rule(number, older));
        }
    }

    /// Follows what a member admits under, and looks at the rules where that changed.
    fn judges(&mut self, at: usize) {
        if at < self.first_member {
            return;
        }
        let now = self.consensus.now;
        let stands = self.processes[at].stopped > now;
        let admits = match self.permit(at) {
            AdmissionPermit::Admit(number) if !stands => Some(number),
            _ => None,
        };
        let before = std::mem::replace(&mut self.processes[at].admits, admits);
        if before == admits {
            return;
        }
        if let Some(many) = before.and_then(|before| self.admit.get_mut(&before)) {
            *many -= 1;
        }
        let Some(number) = admits else { return };
        *self.admit.entry(number).or_insert(0) += 1;
        if self.processes[at].last_activation.0 != number {
            self.processes[at].last_activation = (number, now);
        }
        if number != 0 && !self.decided.get(&number).is_some_and(|decided| decided.1) {
            let name = &self.processes[at].name;
            self.violation.get_or_insert(format!("{name} goes by version {number}, which was not taken"));
        }
        let newest = self.first.keys().next_back().copied().unwrap_or(0);
        if number > newest {
            self.first.insert(number, now);
            if self.rules.get(&number).is_some_and(|rules| rules.barrier) {
                let older: Vec<u64> = self.admit.range(..number).map(|one| *one.0).collect();
                older.into_iter().for_each(|older| self.nobody(older, number));
            }
        } else if number < newest {
            let lease = self.rules.get(&number).map_or(SECOND, |rules| rules.lease);
            let together = self.rules.get(&newest).is_some_and(|rules| rules.barrier);
            let late = self.decided.range(number + 1..).any(|(_, one)| one.1 && now > one.0 + lease);
            if together || late {
                let name = &self.processes[at].name;
                self.violation
                    .get_or_insert(format!("{name} begins to admit under {number}, {newest} is in force"));
            }
        }
    }

    /// Nobody may admit under `older` at this moment, as `number` is there.
    fn nobody(&mut self, older: u64, number: u64) {
        if self.admitting_members(older) == 0 {
            return;
        }
        let now = self.consensus.now;
        let one = (self.first_member..self.processes.len()).find(|at| {
            self.processes[*at].stopped <= now && self.permit(*at) == AdmissionPermit::Admit(older)
        });
        if let Some(at) = one {
            let since = self.decided.get(&number).map_or(0, |decided| (now - decided.0) / MS);
            let name = &self.processes[at].name;
            let wrong = format!("{name} admits under {older} beside {number}, {since} ms after it was taken");
            self.violation.get_or_insert(wrong);
        }
    }

    /// Puts its next look into the heap.
    fn plans(&mut self, at: usize) {
        let due = match &self.processes[at].process {
            Process::Relay(Some(relay)) => relay.due(),
            Process::RolloutMember(Some(member)) => member.next_deadline(),
            _ => Time::MAX,
        };
        let due = self.when(at, due);
        let one = &self.processes[at];
        let check = one.checks.iter().map(|check| check.0).min().unwrap_or(Time::MAX);
        let letter = if one.letters.is_empty() { Time::MAX } else { 0 };
        let due = due.min(check).min(letter).max(one.stopped).max(self.consensus.now);
        if due < one.planned && due < Time::MAX {
            self.processes[at].planned = due;
            self.plan(due, Event::Looks(at));
        }
    }

    pub fn run(&mut self, until: Time) {
        while self.consensus.now < until {
            self.step(until);
        }
    }

    fn step(&mut self, until: Time) {
        let again = if self.stuck.0 == self.consensus.now { self.stuck.1 + 1 } else { 0 };
        self.stuck = (self.consensus.now, again);
        assert!(again < 1_000_000, "time stands still at {}", self.consensus.now);
        let event = self.events.peek().map_or(until, |event| event.0);
        let desk = self.coordinators.iter().map(RolloutCoordinator::next_deadline).min().unwrap_or(until);
        let next = until.min(event).min(desk).max(self.consensus.now);
        if self.consensus.step(next) {
            (0..self.config.replicas).for_each(|at| self.after(at));
            return;
        }
        self.consensus.now = self.consensus.now.max(next);
        if desk <= next {
            (0..self.config.replicas).for_each(|at| self.after(at));
        }
        if event > next || next >= until {
            return;
        }
        let Some(Planned(time, _, event)) = self.events.pop() else { return };
        match event {
            Event::Asks { to, from, ask, bytes } => {
                self.replica_traffic[to].counts(next, bytes, false);
                let Some(keeper) = self.consensus.nodes[to].replica.as_mut() else { return };
                let (out, said) = self.coordinators[to].handle(next, keeper, from, ask);
                self.keeper_says(to, out, said);
                self.after(to);
            }
            Event::Arrives { to, life, letter, bytes } => {
                let one = &mut self.processes[to];
                // A member's socket is new with each life; a relay's has its place in the operator's file.
                let other = life != one.lives && to >= self.first_member;
                if one.cut || other {
                    return;
                }
                one.traffic.counts(next, bytes, false);
                one.letters.push(letter);
                if one.stopped <= next {
                    self.acts(to);
                }
            }
            Event::Looks(at) => {
                if self.processes[at].planned == time {
                    self.processes[at].planned = Time::MAX;
                }
                if self.processes[at].stopped <= next {
                    self.acts(at);
                } else {
                    self.plans(at);
                }
            }
            Event::Rule(number, older) => self.nobody(older, number),
        }
    }

    /// As a process that wakes: its own time first, then what waits for it.
    fn acts(&mut self, at: usize) {
        let (now, clock) = (self.consensus.now, self.clock(at));
        let one = &mut self.processes[at];
        let letters = std::mem::take(&mut one.letters);
        let done: Vec<Version> =
            one.checks.iter().filter(|check| check.0 <= now).map(|check| check.1.clone()).collect();
        one.checks.retain(|check| check.0 > now);
        match &mut one.process {
            Process::Relay(Some(relay)) => {
                let mut outs = Vec::new();
                if clock >= relay.due() {
                    outs.push(relay.tick(clock));
                }
                outs.extend(letters.into_iter().map(|letter| match letter {
                    Letter::Request(from, ask) => relay.from_below(clock, from, ask),
                    Letter::Response(from, answer) => relay.from_above(clock, from, answer),
                }));
                for version in done {
                    let number = version.number;
                    one.kept.insert(number, version);
                    outs.push(relay.kept(clock, number, Ok(())));
                }
                while one.kept.len() > 4 {
                    one.kept.pop_first();
                }
                relay.log().for_each(drop);
                outs.into_iter().for_each(|out| self.carries(at, out));
            }
            Process::RolloutMember(Some(member)) => {
                let mut asks = member.tick(clock);
                for letter in letters {
                    if let Letter::Response(from, answer) = letter {
                        asks.extend(member.handle(clock, from, answer));
                    }
                }
                for version in done {
                    let number = version.number;
                    let verdict = match one.refuses.contains(&number) {
                        true => Verdict::Refused("line 1: no such thing".into()),
                        false => Verdict::Prepared,
                    };
                    if verdict == Verdict::Prepared {
                        one.kept.insert(number, version);
                    }
                    asks.extend(member.record_verdict(clock, number, verdict));
                }
                for event in member.events() {
                    if let Happens::Check { version } = event {
                        one.checks.push((now + self.config.check, *version));
                    }
                }
                self.asks(at, asks);
                self.judges(at);
            }
            _ => {}
        }
        self.plans(at);
    }

    /// Faults of all kinds drawn from the play's chance, changes proposed every few seconds, for so long.
    pub fn inject_faults(&mut self, time: Time) {
        let end = self.consensus.now + time;
        let mut text = 0;
        for at in 0..self.processes.len() {
            // Two of them are apart by less than one part in 40.
            self.processes[at].rate = self.rng.below(25) as i64 - 12;
            // So that no clock jumps as its rate changes.
            self.processes[at].ahead -= self.consensus.now * self.processes[at].rate / 1000;
            self.plans(at);
        }
        while self.consensus.now < end && self.violation.is_none() && self.consensus.violation.is_none() {
            let until = self.consensus.now + 50 * MS + self.rng.below(500) as Time * MS;
            let any = self.rng.below(self.processes.len() as u64) as usize;
            // Relays as often as all members.
            let relay = self.rng.below(self.first_member.max(1) as u64) as usize;
            let at = if self.first_member > 0 && self.rng.one_in(2) { relay } else { any };
            let keeper = self.rng.below(self.config.replicas as u64) as usize;
            match self.rng.below(18) {
                0 => self.kill(at),
                1 | 2 => {
                    if !self.is_running(at) || self.processes[at].drained {
                        self.start(at);
                    }
                }
                3 => {
                    let time = self.rng.below(40) as Time * SECOND / 10;
                    self.stop(at, time);
                }
                4 => self.processes[at].cut = true,
                5 => self.processes.iter_mut().for_each(|one| one.cut = false),
                6 => {
                    self.lose_disk(at);
                    if self.rng.one_in(2) {
                        self.start(at);
                    }
                }
                7 => self.drain(at),
                8 => self.consensus.crash(keeper),
                9 => {
                    for at in 0..self.config.replicas {
                        if self.consensus.nodes[at].replica.is_none() {
                            self.consensus.start(at);
                        }
                    }
                }
                // At once again, as a supervisor does it.
                10 => self.start(at),
                11 => {
                    let region = self.rng.below(self.config.regions as u64) as usize;
                    self.isolate_region(region);
                }
                12 => self.reconnect_regions(),
                13 if self.processes.len() < self.first_member + self.config.members + 4 => drop(self.join()),
                _ => {
                    text += 1;
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
                    self.propose(self.active_version(), rules, &format!("text {text}"));
                }
            }
            self.run(until);
        }
    }

    /// A region reaches no other.
    pub fn isolate_region(&mut self, region: usize) {
        self.apart.insert(region);
        for (one, other) in
            (0..self.config.replicas).flat_map(|one| (0..self.config.replicas).map(move |other| (one, other)))
        {
            if (self.region(one) == region) != (self.region(other) == region) {
                self.consensus.blocked_links.insert((one as NodeId + 1, other as NodeId + 1));
            }
        }
    }

    /// All regions are together again.
    pub fn reconnect_regions(&mut self) {
        self.apart.clear();
        self.consensus.blocked_links.clear();
    }

    /// All links as new, all processes there and awake.
    pub fn heal(&mut self) {
        self.reconnect_regions();
        for at in 0..self.config.replicas {
            if self.consensus.nodes[at].replica.is_none() {
                self.consensus.start(at);
            }
        }
        for at in 0..self.processes.len() {
            let one = &mut self.processes[at];
            (one.cut, one.stopped) = (false, one.stopped.min(self.consensus.now));
            if !self.is_running(at) || self.processes[at].drained {
                self.start(at);
            }
            self.plans(at);
        }
    }

    /// Whether all members admit under the version that is in force, but for those that can't carry it out.
    pub fn is_settled(&self) -> bool {
        let now = self.active_version();
        (self.first_member..self.processes.len()).all(|at| match self.processes[at].refuses.contains(&now) {
            false => self.permit(at) == AdmissionPermit::Admit(now),
            true => self.permit(at) == AdmissionPermit::Deny,
        })
    }
}
