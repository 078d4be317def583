//! Keepers and members in one simulated net with simulated disks: members die, stand still, drain, are cut off; some refuse a text. The
//! rules are checked as it goes. Deterministic by seed.

use crate::coordinator::{self, RolloutCoordinator};
use crate::member::{self, AdmissionPermit, MemberEvent, RolloutMember};
use crate::messages::{Request, Response, Verdict};
use crate::state::{PolicyState, RolloutEvent, Rules, UnreachableMembers, Version};
use crate::{NodeId, Time, MS, SECOND};
use cypresscleat_consensus::message;
use cypresscleat_consensus::sim::Simulation as Cluster;
use cypresscleat_consensus::ProposalResponse;
use cypresscleat_consensus::{RaftConfig, SeededRng};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    pub keepers: usize,
    pub members: usize,
    pub rules: Rules,
    /// Time that a member takes to check a text and keep it.
    pub check: Time,
    pub member: member::DisabledSafeguards,
    pub coordinator: coordinator::DisabledSafeguards,
}

impl Default for SimulationConfig {
    fn default() -> SimulationConfig {
        let rules = Rules { lease: SECOND, decision_timeout: 5 * SECOND, ..Rules::default() };
        let (member, coordinator) = Default::default();
        SimulationConfig { keepers: 3, members: 5, rules, check: 5 * MS, member, coordinator }
    }
}

/// A member's process: its disk outlives it.
pub struct SimulatedMember {
    pub member: Option<RolloutMember>,
    name: String,
    lives: u64,
    /// Stands still until then.
    pub stopped: Time,
    pub rate: i64,
    pub ahead: Time,
    /// Versions that it has kept.
    kept: BTreeSet<u64>,
    /// Checks under way: when they end, and of what.
    checks: Vec<(Time, u64)>,
    letters: Vec<(NodeId, Response)>,
    /// It refuses these.
    pub refuses: BTreeSet<u64>,
    /// It was told to leave.
    pub drained: bool,
}

#[derive(Clone, Debug)]
enum Mail {
    Request { to: usize, from: usize, ask: Request },
    Response { to: usize, life: u64, from: NodeId, answer: Response },
}

/// Letters between one keeper and the members, and their bytes; lost ones among what it said, not among what it heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub heard: u64,
    pub heard_bytes: u64,
    pub said: u64,
    pub said_bytes: u64,
}

/// Who asks at a desk: a member, or the operator.
const OPERATOR: usize = usize::MAX;

pub struct Simulation {
    pub setup: SimulationConfig,
    pub world: Cluster<PolicyState>,
    pub coordinators: Vec<RolloutCoordinator<usize>>,
    pub seats: Vec<SimulatedMember>,
    mail: BTreeMap<(Time, u64), Mail>,
    posted: u64,
    rng: SeededRng,
    /// Members that reach no keeper.
    pub cut: BTreeSet<usize>,
    pub messages_sent: u64,
    pub message_bytes: u64,
    /// Of each keeper.
    pub traffic: Vec<Traffic>,
    /// Seats whose members go by an older version than the newest that was in force anywhere: all that `rule` has to look at.
    behind: BTreeSet<usize>,
    /// What the operator was answered.
    pub answers: Vec<Response>,
    /// Of each version: when it was proposed, decided and whether taken, first in force anywhere, and in force as agreed.
    pub proposed: BTreeMap<u64, Time>,
    pub decided: BTreeMap<u64, (Time, bool)>,
    pub reasons: BTreeMap<u64, String>,
    pub first: BTreeMap<u64, Time>,
    /// The last moment at which a member might still admit under a version older than this one, after this was first in force.
    pub mixed_until: BTreeMap<u64, Time>,
    dues: Vec<Time>,
    /// What each seat's plan was made with, of what a caller may set between runs.
    planned: Vec<Option<(Time, i64, Time)>>,
    due: BTreeSet<(Time, usize)>,
    /// What was wrong, the first of it.
    pub violation: Option<String>,
    /// Rules of each version, by its number; what bounds the one before it.
    rules: BTreeMap<u64, Rules>,
    stuck: (Time, u64),
}

impl Simulation {
    pub fn new(setup: SimulationConfig, seed: u64) -> Simulation {
        let world = Cluster::new(setup.keepers, PolicyState::default(), RaftConfig::default(), seed);
        let coordinator = || {
            let mut coordinator = RolloutCoordinator::default();
            coordinator.safeguards = setup.coordinator;
            coordinator
        };
        let mut play = Simulation {
            setup,
            world,
            coordinators: (0..setup.keepers).map(|_| coordinator()).collect(),
            seats: Vec::new(),
            mail: BTreeMap::new(),
            posted: 0,
            rng: SeededRng::new(seed ^ 0x7011),
            cut: BTreeSet::new(),
            messages_sent: 0,
            message_bytes: 0,
            traffic: vec![Traffic::default(); setup.keepers],
            behind: BTreeSet::new(),
            answers: Vec::new(),
            proposed: BTreeMap::new(),
            decided: BTreeMap::new(),
            reasons: BTreeMap::new(),
            first: BTreeMap::new(),
            mixed_until: BTreeMap::new(),
            dues: Vec::new(),
            planned: Vec::new(),
            due: BTreeSet::new(),
            violation: None,
            rules: BTreeMap::new(),
            stuck: (0, 0),
        };
        for at in 0..setup.members {
            play.adds(at);
        }
        play
    }

    fn adds(&mut self, at: usize) {
        self.seats.push(SimulatedMember {
            member: None,
            name: format!("m{at}"),
            lives: 0,
            stopped: 0,
            rate: 0,
            ahead: 0,
            kept: BTreeSet::new(),
            checks: Vec::new(),
            letters: Vec::new(),
            refuses: BTreeSet::new(),
            drained: false,
        });
        self.start(at);
    }

    /// One more member joins; its place.
    pub fn joins(&mut self) -> usize {
        let at = self.seats.len();
        self.adds(at);
        self.sized();
        at
    }

    fn clock(&self, at: usize) -> Time {
        let one = &self.seats[at];
        self.world.now + self.world.now * one.rate / 1000 + one.ahead
    }

    /// When its clock shows `time`.
    fn when(&self, at: usize, time: Time) -> Time {
        let one = &self.seats[at];
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
        self.seats[at].lives += 1;
        let now = self.clock(at);
        let keepers = (0..self.setup.keepers).map(|keeper| keeper as NodeId + 1).collect();
        let safeguards = self.setup.member;
        let one = &mut self.seats[at];
        let mut member = RolloutMember::new(now, &one.name, (1000 + at as NodeId, one.lives), keepers);
        member.safeguards = safeguards;
        one.kept.iter().for_each(|number| member.restore(*number));
        (one.member, one.stopped, one.drained) = (Some(member), 0, false);
        one.letters.clear();
        one.checks.clear();
        self.unplanned(at);
    }

    /// Planned anew where the next run begins.
    fn unplanned(&mut self, at: usize) {
        if let Some(planned) = self.planned.get_mut(at) {
            *planned = None;
        }
    }

    /// Plans the seats that are new or were set to something else.
    fn sized(&mut self) {
        self.dues.resize(self.seats.len(), Time::MAX);
        self.planned.resize(self.seats.len(), None);
        for at in 0..self.seats.len() {
            let one = &self.seats[at];
            if self.planned[at] != Some((one.stopped, one.rate, one.ahead)) {
                self.plans(at);
            }
        }
    }

    pub fn kill(&mut self, at: usize) {
        let one = &mut self.seats[at];
        one.member = None;
        one.letters.clear();
        one.checks.clear();
        self.unplanned(at);
    }

    pub fn lose_disk(&mut self, at: usize) {
        self.kill(at);
        self.seats[at].kept.clear();
    }

    /// It stands still for so long; letters wait for it.
    pub fn stop(&mut self, at: usize, time: Time) {
        self.seats[at].stopped = self.world.now + time;
        self.plans(at);
    }

    pub fn drain(&mut self, at: usize) {
        let now = self.clock(at);
        self.seats[at].drained = true;
        let asks = self.seats[at].member.as_mut().map(|member| member.leave(now));
        self.post_requests(at, asks.unwrap_or_default());
        self.after_member(at);
    }

    /// An operator proposes a version, made from `parent`, to the keeper that leads; or to any, where none does.
    pub fn propose(&mut self, parent: u64, rules: Rules, text: &str) {
        let to = self.world.leader().unwrap_or(0);
        let at_ms = self.world.now as u64;
        let version = Version {
            parent,
            rules,
            document: text.into(),
            by: "operator".into(),
            at_ms,
            hash: self.posted,
            ..Version::default()
        };
        let ask = Request::Propose { number: 1, version };
        self.post(self.world.network.delay, Mail::Request { to, from: OPERATOR, ask });
    }

    pub fn forget(&mut self, at: usize) {
        self.asked_by_others(Request::Forget { number: 2, member: 1000 + at as NodeId });
    }

    /// Somebody who is no member of the play asks the keeper that leads.
    pub fn asked_by_others(&mut self, ask: Request) {
        let to = self.world.leader().unwrap_or(0);
        self.post(self.world.network.delay, Mail::Request { to, from: OPERATOR, ask });
    }

    /// The version in force as the keepers have it.
    pub fn active_version(&self) -> u64 {
        let leader = self.world.leader().and_then(|at| self.world.nodes[at].replica.as_ref());
        leader.map_or(0, |keeper| keeper.state_machine().active().number)
    }

    pub fn permit(&self, at: usize) -> AdmissionPermit {
        let now = self.clock(at);
        self.seats[at].member.as_ref().map_or(AdmissionPermit::Deny, |member| member.permit(now))
    }

    fn post(&mut self, delay: Time, mail: Mail) {
        let weather = self.world.network;
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
            self.mail.insert((self.world.now + delay + late, self.posted), mail.clone());
        }
    }

    fn post_requests(&mut self, from: usize, asks: Vec<(NodeId, Request)>) {
        for (to, ask) in asks {
            self.messages_sent += 1;
            self.message_bytes += message::encode(&ask).map_or(0, |bytes| bytes.len() as u64);
            if !self.cut.contains(&from) {
                self.post(self.world.network.delay, Mail::Request { to: to as usize - 1, from, ask });
            }
        }
    }

    /// What a keeper's step asks for, its desk's words with it.
    fn after(&mut self, at: usize) {
        let now = self.world.now;
        let (own, others): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.world.responses).into_iter().partition(|one| one.0 == at);
        self.world.responses = others;
        let answers: Vec<ProposalResponse> = own.into_iter().map(|one| one.1).collect();
        let Some(keeper) = self.world.nodes[at].replica.as_mut() else { return };
        let (out, said) = self.coordinators[at].poll(now, keeper, answers);
        self.coordinators[at].log().for_each(drop);
        for news in keeper.state_machine_mut().take_events() {
            match news {
                RolloutEvent::Proposed { number, .. } => drop(self.proposed.entry(number).or_insert(now)),
                RolloutEvent::Committed { number } => self.decides(number, true),
                RolloutEvent::Aborted { number, reason } => {
                    self.decides(number, false);
                    self.reasons.insert(number, reason);
                }
                _ => {}
            }
        }
        let keeper = self.world.nodes[at].replica.as_ref();
        if let Some(version) = keeper.map(|keeper| keeper.state_machine().active()) {
            self.rules.insert(version.number, version.rules);
        }
        self.carry(at, out, said);
    }

    fn decides(&mut self, number: u64, taken: bool) {
        let known = *self.decided.entry(number).or_insert((self.world.now, taken));
        if known.1 != taken {
            self.violation.get_or_insert(format!("version {number} was decided both ways"));
        }
    }

    fn carry(&mut self, at: usize, out: cypresscleat_consensus::Ready, said: Vec<(usize, Response)>) {
        self.world.process_ready(at, out);
        for (to, answer) in said {
            if to == OPERATOR {
                self.answers.push(answer);
                continue;
            }
            self.messages_sent += 1;
            let bytes = message::encode(&answer).map_or(0, |bytes| bytes.len() as u64);
            self.message_bytes += bytes;
            self.traffic[at].said += 1;
            self.traffic[at].said_bytes += bytes;
            if !self.cut.contains(&to) {
                let (from, life) = (at as NodeId + 1, self.seats[to].lives);
                self.post(self.world.network.delay, Mail::Response { to, life, from, answer });
            }
        }
        if self.world.responses.iter().any(|one| one.0 == at) {
            self.after(at);
        }
    }

    /// What a member's step brought.
    fn after_member(&mut self, at: usize) {
        let now = self.world.now;
        let check = self.setup.check;
        let Some(member) = self.seats[at].member.as_mut() else { return self.plans(at) };
        let events: Vec<MemberEvent> = member.events().collect();
        for event in events {
            match event {
                MemberEvent::Check { version, .. } => {
                    self.seats[at].checks.push((now + check, version.number))
                }
                MemberEvent::Activated { number } => {
                    self.active(at, number);
                }
                MemberEvent::LeaseExpired { .. } | MemberEvent::Paused { .. } => {}
            }
        }
        self.plans(at);
    }

    /// The rules, at the moment at which a member goes over.
    fn active(&mut self, at: usize, number: u64) {
        let now = self.world.now;
        if number != 0 && !self.decided.get(&number).is_some_and(|decided| decided.1) {
            self.violation.get_or_insert(format!("m{at} goes by version {number}, which was not taken"));
        }
        let newest = self.newest();
        self.first.entry(number).or_insert(now);
        match number > newest {
            true => (0..self.seats.len()).for_each(|at| self.lies_behind(at)),
            false => self.lies_behind(at),
        }
        self.check_invariants(now);
    }

    fn newest(&self) -> u64 {
        self.first.last_key_value().map_or(0, |(number, _)| *number)
    }

    /// Notes whether the member goes by an older version than the newest. To be called whenever either may have changed.
    fn lies_behind(&mut self, at: usize) {
        let own = self.seats[at].member.as_ref().and_then(RolloutMember::active);
        match own.is_some_and(|own| own < self.newest()) {
            true => drop(self.behind.insert(at)),
            false => drop(self.behind.remove(&at)),
        }
    }

    /// No member may admit under what was dropped, nor under an older version past its lease behind the decision, nor, where all were
    /// to go together, beside a newer one.
    pub fn check_invariants(&mut self, now: Time) {
        let newest = self.newest();
        let barrier = self.rules.get(&newest).is_some_and(|rules| rules.barrier);
        for at in self.behind.iter().copied() {
            // One that stands still admits nothing; what it does right after it wakes counts.
            if self.seats[at].stopped > now {
                continue;
            }
            let AdmissionPermit::Admit(own) = self.permit(at) else { continue };
            if own >= newest {
                continue;
            }
            let until = self.mixed_until.entry(newest).or_insert(now);
            *until = now.max(*until);
            let lease = self.rules.get(&own).map_or(SECOND, |rules| rules.lease);
            let decided = self.decided.get(&newest).map_or(now, |decided| decided.0);
            if barrier {
                self.violation.get_or_insert(format!("m{at} admits under {own} while {newest} is in force"));
            } else if now > decided + lease {
                self.violation.get_or_insert(format!(
                    "m{at} admits under {own}, {} ms after {newest} was taken",
                    (now - decided) / MS
                ));
            }
        }
    }

    fn plans(&mut self, at: usize) {
        let one = &self.seats[at];
        let next = one.member.as_ref().map_or(Time::MAX, |member| {
            let check = one.checks.iter().map(|check| check.0).min().unwrap_or(Time::MAX);
            let letter = if one.letters.is_empty() { Time::MAX } else { 0 };
            self.when(at, member.next_deadline()).min(check).min(letter).max(one.stopped)
        });
        self.planned[at] = Some((one.stopped, one.rate, one.ahead));
        self.lies_behind(at);
        let had = std::mem::replace(&mut self.dues[at], next);
        if had == next && self.due.contains(&(next, at)) {
            return;
        }
        self.due.remove(&(had, at));
        self.due.insert((next, at));
    }

    pub fn run(&mut self, until: Time) {
        self.sized();
        while self.world.now < until {
            self.step(until);
        }
        self.check_invariants(until);
    }

    fn step(&mut self, until: Time) {
        let again = if self.stuck.0 == self.world.now { self.stuck.1 + 1 } else { 0 };
        self.stuck = (self.world.now, again);
        assert!(again < 100_000, "time stands still at {}", self.world.now);
        let mail = self.mail.first_key_value().map(|(key, _)| key.0);
        let due = self.due.first().map_or(until, |first| first.0);
        let desk = (0..self.coordinators.len())
            .map(|at| self.coordinators[at].next_deadline())
            .min()
            .unwrap_or(until);
        let next = until.min(mail.unwrap_or(until)).min(due).min(desk).max(self.world.now);
        if self.world.step(next) {
            for at in 0..self.setup.keepers {
                self.after(at);
            }
            return;
        }
        self.world.now = self.world.now.max(next);
        let now = self.world.now;
        if desk <= now {
            for at in 0..self.setup.keepers {
                self.after(at);
            }
        }
        if mail.is_some_and(|mail| mail <= now) {
            if let Some((_, mail)) = self.mail.pop_first() {
                self.arrives(now, mail);
            }
            return;
        }
        if due <= now && now < until {
            if let Some((_, at)) = self.due.first().copied() {
                self.acts(now, at);
            }
        }
    }

    fn arrives(&mut self, now: Time, mail: Mail) {
        match mail {
            Mail::Request { to, from, ask } => {
                let Some(keeper) = self.world.nodes[to].replica.as_mut() else { return };
                if from != OPERATOR {
                    self.traffic[to].heard += 1;
                    self.traffic[to].heard_bytes +=
                        message::encode(&ask).map_or(0, |bytes| bytes.len() as u64);
                }
                let (out, said) = self.coordinators[to].handle(now, keeper, from, ask);
                self.carry(to, out, said);
                self.after(to);
            }
            Mail::Response { to, life, from, answer } => {
                if self.cut.contains(&to) || self.seats[to].lives != life {
                    return;
                }
                self.seats[to].letters.push((from, answer));
                self.plans(to);
            }
        }
    }

    fn acts(&mut self, now: Time, at: usize) {
        let clock = self.clock(at);
        let mut asks = Vec::new();
        let letters = std::mem::take(&mut self.seats[at].letters);
        let due: Vec<u64> = {
            let checks = &mut self.seats[at].checks;
            let due = checks.iter().filter(|check| check.0 <= now).map(|check| check.1).collect();
            checks.retain(|check| check.0 > now);
            due
        };
        let one = &mut self.seats[at];
        let Some(member) = one.member.as_mut() else { return self.plans(at) };
        // As a process that wakes: its own time first, then what waits for it.
        asks.extend(member.tick(clock));
        for (from, answer) in letters {
            asks.extend(member.handle(clock, from, answer));
        }
        for number in due {
            let verdict = match one.refuses.contains(&number) {
                true => Verdict::Refused("line 1: no such thing".into()),
                false => Verdict::Prepared,
            };
            if verdict == Verdict::Prepared {
                one.kept.insert(number);
            }
            asks.extend(member.record_verdict(clock, number, verdict));
        }
        self.post_requests(at, asks);
        self.after_member(at);
    }

    /// Faults of all kinds drawn from the play's chance, changes proposed every few seconds, for so long; then peace.
    pub fn inject_faults(&mut self, time: Time) {
        let end = self.world.now + time;
        let mut text = 0;
        while self.world.now < end && self.violation.is_none() && self.world.violation.is_none() {
            let until = self.world.now + 50 * MS + self.rng.below(500) as Time * MS;
            let (at, keeper) = (
                self.rng.below(self.seats.len() as u64) as usize,
                self.rng.below(self.setup.keepers as u64) as usize,
            );
            match self.rng.below(15) {
                0 => self.kill(at),
                1 | 2 => {
                    if self.seats[at].member.is_none() || self.seats[at].drained {
                        self.start(at);
                    }
                }
                3 => {
                    let time = self.rng.below(40) as Time * SECOND / 10;
                    self.stop(at, time);
                }
                4 => drop(self.cut.insert(at)),
                5 => self.cut.clear(),
                6 => self.lose_disk(at),
                7 => self.drain(at),
                8 => self.world.crash(keeper),
                9 => {
                    for at in 0..self.setup.keepers {
                        if self.world.nodes[at].replica.is_none() {
                            self.world.start(at);
                        }
                    }
                }
                10 => {
                    let other = self.rng.below(self.setup.keepers as u64) as NodeId + 1;
                    self.world.blocked_links.insert((keeper as NodeId + 1, other));
                }
                11 => self.world.blocked_links.clear(),
                12 if self.seats.len() < self.setup.members + 4 => drop(self.joins()),
                _ => {
                    text += 1;
                    let mut rules = self.setup.rules;
                    rules.barrier = self.rng.one_in(2);
                    if self.rng.one_in(4) {
                        rules.unreachable = match rules.unreachable {
                            UnreachableMembers::Fence => UnreachableMembers::Wait,
                            UnreachableMembers::Wait => UnreachableMembers::Fence,
                        };
                    }
                    let refused = self.rng.one_in(3);
                    let next = self.proposed.keys().next_back().copied().unwrap_or(0) + 1;
                    if refused {
                        self.seats[at].refuses.insert(next);
                    }
                    self.propose(self.active_version(), rules, &format!("text {text}"));
                }
            }
            self.run(until);
        }
    }

    /// All links as new, all processes there and awake.
    pub fn heal(&mut self) {
        self.cut.clear();
        self.world.blocked_links.clear();
        for at in 0..self.setup.keepers {
            if self.world.nodes[at].replica.is_none() {
                self.world.start(at);
            }
        }
        for at in 0..self.seats.len() {
            self.seats[at].stopped = self.seats[at].stopped.min(self.world.now);
            if self.seats[at].member.is_none() || self.seats[at].drained {
                self.start(at);
            }
        }
    }

    /// Whether all members admit under the version that is in force, but for those that can't carry it out.
    pub fn settled(&self) -> bool {
        let now = self.active_version();
        (0..self.seats.len()).all(|at| match self.seats[at].refuses.contains(&now) {
            false => self.permit(at) == AdmissionPermit::Admit(now),
            true => self.permit(at) == AdmissionPermit::Deny,
        })
    }
}
