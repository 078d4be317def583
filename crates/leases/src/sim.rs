//! Keepers, instances that own, and a thing that is acted upon, in one simulated net with simulated disks. Instances stand still,
//! die and drain, links are cut on any side, clocks run apart; the thing acted upon keeps the journal by which all is judged.
//! Deterministic by seed.

use crate::desk::Desk;
use crate::duties::Duties;
use crate::fence::Fence;
use crate::holder::{Event, Holder};
use crate::said::{Answer, Ask};
use crate::{NodeId, Part, Time, Want, MS};
use cypresscleat_consensus::message;
use cypresscleat_consensus::sim::Simulation;
use cypresscleat_consensus::ProposalResponse;
use cypresscleat_consensus::{RaftConfig, SeededRng};
use std::collections::{BTreeMap, BTreeSet};

/// Guards that tests take out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Broken {
    /// The thing acted upon compares no tokens.
    pub no_token: bool,
    /// Instances hold on after their lease.
    pub holds_on: bool,
}

#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub keepers: usize,
    pub instances: usize,
    pub parts: u32,
    pub lease: Time,
    /// Time from an act to the thing acted upon, and between acts of an owner on a part; 0 for no acts.
    pub act: Time,
    pub broken: Broken,
}

impl Default for Setup {
    fn default() -> Setup {
        let broken = Broken::default();
        Setup { keepers: 3, instances: 4, parts: 1, lease: 20_000, act: 20 * MS, broken }
    }
}

/// An instance, its clock and its work.
pub struct Instance {
    pub holder: Option<Holder>,
    id: NodeId,
    lives: u64,
    /// Stands still until then.
    pub stopped: Time,
    /// Its clock: so many parts in a thousand fast or slow, and ahead.
    pub rate: i64,
    pub ahead: Time,
    /// Of each part it works on: token, next item, and whether that is under way since when.
    work: BTreeMap<Part, Work>,
    letters: Vec<(Time, Letter)>,
    /// Acts past their look at the lease when it was stopped.
    under_way: Vec<Mail>,
}

#[derive(Clone, Debug)]
struct Work {
    token: u64,
    item: u64,
    next: Time,
    ticket: Option<u64>,
}

#[derive(Clone, Debug)]
enum Letter {
    Answer(NodeId, Answer),
    Acted { part: Part, token: u64, item: u64, taken: bool },
}

/// An act that reached what is acted upon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Act {
    pub at: Time,
    pub part: Part,
    pub token: u64,
    pub item: u64,
    pub by: NodeId,
    pub taken: bool,
    /// The item had been done: the act has no effect, and is none that counts.
    pub done_before: bool,
}

#[derive(Clone, Debug)]
enum Mail {
    Ask { to: usize, from: usize, ask: Ask },
    Answer { to: usize, from: NodeId, answer: Answer },
    Act { from: usize, part: Part, token: u64, item: u64 },
    Acted { to: usize, part: Part, token: u64, item: u64, taken: bool },
}

pub struct Play {
    pub setup: Setup,
    pub world: Simulation<Duties>,
    pub desks: Vec<Desk<usize>>,
    pub instances: Vec<Instance>,
    mail: BTreeMap<(Time, u64), Mail>,
    posted: u64,
    rng: SeededRng,
    fence: Fence,
    done: BTreeMap<Part, BTreeSet<u64>>,
    pub journal: Vec<Act>,
    /// Between an instance and a keeper, or an instance and what is acted upon: nothing gets through.
    pub cut_keepers: BTreeSet<usize>,
    pub cut_thing: BTreeSet<usize>,
    pub asks: u64,
    pub ask_bytes: u64,
    /// Since when each part has had no owner that may act, and the longest such times.
    pub changes: Vec<(Time, Part, u64, u64)>,
    told: BTreeSet<(Part, u64, bool)>,
    stuck: (Time, u64),
    /// When each instance has something to do next, and in that order.
    dues: Vec<Time>,
    due: BTreeSet<(Time, usize)>,
    /// Two that might act on a part at once, when one of them did.
    pub two: Option<(Time, Part)>,
}

/// The address of instance `at`, and back.
fn instance_id(at: usize) -> NodeId {
    1000 + at as NodeId
}

impl Play {
    pub fn new(setup: Setup, seed: u64) -> Play {
        let world = Simulation::new(setup.keepers, Duties::default(), RaftConfig::default(), seed);
        let mut play = Play {
            setup,
            world,
            desks: (0..setup.keepers).map(|_| Desk::new(setup.lease)).collect(),
            instances: Vec::new(),
            mail: BTreeMap::new(),
            posted: 0,
            rng: SeededRng::new(seed ^ 0x0b5),
            fence: Fence::default(),
            done: BTreeMap::new(),
            journal: Vec::new(),
            cut_keepers: BTreeSet::new(),
            cut_thing: BTreeSet::new(),
            asks: 0,
            ask_bytes: 0,
            changes: Vec::new(),
            told: BTreeSet::new(),
            stuck: (0, 0),
            dues: Vec::new(),
            due: BTreeSet::new(),
            two: None,
        };
        for at in 0..setup.instances {
            play.instances.push(Instance {
                holder: None,
                id: instance_id(at),
                lives: 0,
                stopped: 0,
                rate: 0,
                ahead: 0,
                work: BTreeMap::new(),
                letters: Vec::new(),
                under_way: Vec::new(),
            });
            play.start(at);
        }
        play
    }

    /// What an instance's clock shows.
    fn clock(&self, at: usize) -> Time {
        let one = &self.instances[at];
        self.world.now + self.world.now * one.rate / 1000 + one.ahead
    }

    /// When its clock shows `time`.
    fn when(&self, at: usize, time: Time) -> Time {
        let one = &self.instances[at];
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
        self.instances[at].lives += 1;
        let now = self.clock(at);
        let one = &mut self.instances[at];
        let wants = vec![Want { duty: 1, parts: self.setup.parts, rank: 0 }];
        let keepers = (0..self.setup.keepers).map(|keeper| keeper as NodeId + 1).collect();
        let mut holder = Holder::new(now, one.id, one.lives, wants, keepers);
        holder.broken = self.setup.broken.holds_on;
        (one.holder, one.stopped) = (Some(holder), 0);
        one.work.clear();
        one.letters.clear();
    }

    pub fn kill(&mut self, at: usize) {
        self.instances[at].holder = None;
        self.instances[at].work.clear();
        self.instances[at].letters.clear();
        self.instances[at].under_way.clear();
    }

    /// It stands still for so long, in the middle of its acts; letters wait for it.
    pub fn stop(&mut self, at: usize, time: Time) {
        let now = self.clock(at);
        let one = &mut self.instances[at];
        one.stopped = self.world.now + time;
        let Some(holder) = &one.holder else { return };
        for (part, work) in one.work.iter().filter(|(_, work)| work.ticket.is_none()) {
            if holder.may(now, *part) == Some(work.token) {
                let act = Mail::Act { from: at, part: *part, token: work.token, item: work.item };
                one.under_way.push(act);
            }
        }
    }

    pub fn drain(&mut self, at: usize) {
        let now = self.clock(at);
        let asks = self.instances[at].holder.as_mut().map(|holder| holder.leaves(now));
        self.instances[at].work.clear();
        self.post_asks(at, asks.unwrap_or_default());
    }

    /// The instance that owns a part as the keepers have it.
    pub fn owner(&self, part: Part) -> Option<usize> {
        let leader = self.world.leader()?;
        let (owner, _) = self.world.nodes[leader].replica.as_ref()?.state_machine().owner(part)?;
        self.instances.iter().position(|one| one.id == owner)
    }

    fn post(&mut self, delay: Time, mail: Mail) {
        let spread = self.rng.below(delay.max(1) as u64) as Time;
        let lost = self.world.network.loss_one_in > 0 && self.rng.one_in(self.world.network.loss_one_in);
        // Acts go over a connection: late, but not lost by themselves.
        if lost && matches!(mail, Mail::Ask { .. } | Mail::Answer { .. }) {
            return;
        }
        let twice =
            self.world.network.duplicate_one_in > 0 && self.rng.one_in(self.world.network.duplicate_one_in);
        let mut late = 0;
        if self.world.network.max_extra_delay > 0 && self.rng.one_in(20) {
            late = self.rng.below(self.world.network.max_extra_delay as u64) as Time;
        }
        for _ in 0..1 + u64::from(twice) {
            self.posted += 1;
            self.mail.insert((self.world.now + delay + spread + late, self.posted), mail.clone());
        }
    }

    fn post_asks(&mut self, from: usize, asks: Vec<(NodeId, Ask)>) {
        for (to, ask) in asks {
            self.asks += 1;
            self.ask_bytes += message::encode(&ask).map_or(0, |bytes| bytes.len() as u64);
            if !self.cut_keepers.contains(&from) {
                self.post(self.world.network.delay, Mail::Ask { to: to as usize - 1, from, ask });
            }
        }
    }

    /// What a keeper's step asks for, its desk's words with it.
    fn after(&mut self, at: usize) {
        let now = self.world.now;
        let (own, others) =
            std::mem::take(&mut self.world.responses).into_iter().partition(|one| one.0 == at);
        self.world.responses = others;
        let own: Vec<(usize, ProposalResponse)> = own;
        let answers = own.into_iter().map(|one| one.1).collect();
        let Some(keeper) = self.world.nodes[at].replica.as_mut() else { return };
        let (out, said) = self.desks[at].look(now, keeper, answers);
        for (part, session, token) in keeper.state_machine_mut().take_changes() {
            // Each change once, from whichever keeper has it first.
            if self.told.insert((part, token, session == 0)) {
                self.changes.push((now, part, session, token));
            }
        }
        self.carry(at, out, said);
    }

    fn carry(&mut self, at: usize, out: cypresscleat_consensus::Ready, said: Vec<(usize, Answer)>) {
        let more = !out.responses.is_empty() || !out.messages.is_empty() || !out.writes.is_empty();
        self.world.process_ready(at, out);
        for (to, answer) in said {
            self.asks += 1;
            self.ask_bytes += message::encode(&answer).map_or(0, |bytes| bytes.len() as u64);
            if !self.cut_keepers.contains(&to) {
                let from = at as NodeId + 1;
                self.post(self.world.network.delay, Mail::Answer { to, from, answer });
            }
        }
        if more && self.world.responses.iter().any(|one| one.0 == at) {
            self.after(at);
        }
    }

    /// When an instance has something to do next.
    fn plans(&mut self, at: usize) {
        let one = &self.instances[at];
        let next = one.holder.as_ref().map_or(Time::MAX, |holder| {
            let acts = one.work.values().filter(|work| work.ticket.is_none()).map(|work| work.next);
            let due = acts.min().unwrap_or(Time::MAX).min(holder.due());
            let letter = if one.letters.is_empty() { Time::MAX } else { 0 };
            self.when(at, due).min(letter).max(one.stopped)
        });
        let had = std::mem::replace(&mut self.dues[at], next);
        self.due.remove(&(had, at));
        self.due.insert((next, at));
    }

    pub fn run(&mut self, until: Time) {
        self.dues.resize(self.instances.len(), Time::MAX);
        (0..self.instances.len()).for_each(|at| self.plans(at));
        while self.world.now < until {
            self.step(until);
        }
    }

    fn step(&mut self, until: Time) {
        self.stuck = if self.stuck.0 == self.world.now {
            (self.stuck.0, self.stuck.1 + 1)
        } else {
            (self.world.now, 0)
        };
        assert!(self.stuck.1 < 1_000_000, "time stands still at {}", self.world.now);
        let mail = self.mail.first_key_value().map(|(key, _)| key.0);
        let due = self.due.first().map_or(until, |first| first.0);
        let next = until.min(mail.unwrap_or(until)).min(due);
        let next = next.max(self.world.now);
        // The keepers' own mail first, one letter or due time at a time.
        if self.world.step(next.max(self.world.now + 1)) {
            (0..self.setup.keepers).for_each(|at| self.after(at));
            return;
        }
        self.world.now = next;
        if let Some(entry) = self.mail.first_entry().filter(|entry| entry.key().0 <= next) {
            let mail = entry.remove();
            return self.deliver(mail);
        }
        while let Some((_, at)) = self.due.first().copied().filter(|first| first.0 <= next) {
            self.wakes(at);
            if self.dues[at] <= next {
                break; // it has more to do at once: after whatever else is due
            }
        }
    }

    fn deliver(&mut self, mail: Mail) {
        let now = self.world.now;
        match mail {
            Mail::Ask { to, from, ask } => {
                let Some(keeper) = self.world.nodes[to].replica.as_mut() else { return };
                let (out, said) = self.desks[to].hear(now, keeper, from, ask);
                self.carry(to, out, said);
            }
            Mail::Answer { to, from, answer } => {
                if self.instances[to].holder.is_some() {
                    self.instances[to].letters.push((now, Letter::Answer(from, answer)));
                    self.wakes(to);
                }
            }
            Mail::Act { from, part, token, item } => {
                if self.cut_thing.contains(&from) {
                    return;
                }
                let taken = self.fence.takes(part, token) || self.setup.broken.no_token;
                let fresh = taken && self.done.entry(part).or_default().insert(item);
                let by = self.instances[from].id;
                let done_before = taken && !fresh;
                self.journal.push(Act { at: now, part, token, item, by, taken, done_before });
                self.post(self.setup.act / 2, Mail::Acted { to: from, part, token, item, taken });
            }
            Mail::Acted { to, part, token, item, taken } => {
                if self.instances[to].holder.is_some() {
                    self.instances[to].letters.push((now, Letter::Acted { part, token, item, taken }));
                    self.wakes(to);
                }
            }
        }
    }

    /// An instance does what is due, unless it stands still.
    fn wakes(&mut self, at: usize) {
        self.does(at);
        self.plans(at);
    }

    fn does(&mut self, at: usize) {
        if self.instances[at].stopped > self.world.now || self.instances[at].holder.is_none() {
            return;
        }
        let now = self.clock(at);
        let mut asks = Vec::new();
        let letters = std::mem::take(&mut self.instances[at].letters);
        let act = self.setup.act;
        let under_way = std::mem::take(&mut self.instances[at].under_way);
        under_way.into_iter().for_each(|mail| self.post(act / 2, mail));
        let one = &mut self.instances[at];
        let Some(holder) = one.holder.as_mut() else { return };
        for (_, letter) in letters {
            match letter {
                Letter::Answer(from, answer) => asks.extend(holder.hear(now, from, answer)),
                Letter::Acted { part, token, item, taken } => {
                    let Some(work) = one.work.get_mut(&part) else { continue };
                    if work.token != token || work.item != item || work.ticket.is_some() {
                        continue;
                    }
                    if !taken {
                        work.next = Time::MAX;
                        continue;
                    }
                    work.ticket = holder.cursor(part, (item + 1).to_le_bytes().to_vec());
                }
            }
        }
        if now >= holder.due() {
            asks.extend(holder.tick(now));
        }
        asks.extend(holder.sends(now));
        let events: Vec<Event> = holder.events().collect();
        for event in events {
            match event {
                Event::Owns { part, token, cursor } => {
                    let item = cursor.try_into().map(u64::from_le_bytes).unwrap_or(0);
                    if self.setup.act > 0 {
                        one.work.insert(part, Work { token, item, next: now, ticket: None });
                    }
                }
                Event::Lost { part, token } => {
                    if one.work.get(&part).is_some_and(|work| work.token == token) {
                        one.work.remove(&part);
                    }
                }
                Event::Wanted { part } => {
                    one.work.remove(&part);
                    holder.release(part);
                    asks.extend(holder.sends(now));
                }
                Event::Kept { ticket, stands } => {
                    let own = one.work.values_mut().find(|work| work.ticket == Some(ticket));
                    if let Some(work) = own {
                        work.ticket = None;
                        work.item += u64::from(stands);
                        work.next = if stands { now + self.setup.act } else { Time::MAX };
                    }
                }
            }
        }
        self.post_asks(at, asks);
        self.acts(at, now);
    }

    /// Acts that are due: the lease is looked at before each, and each carries its token.
    fn acts(&mut self, at: usize, now: Time) {
        let one = &mut self.instances[at];
        let Some(holder) = one.holder.as_ref() else { return };
        let mut acts = Vec::new();
        for (part, work) in &mut one.work {
            if work.next > now || work.ticket.is_some() {
                continue;
            }
            if holder.may(now, *part) == Some(work.token) {
                acts.push(Mail::Act { from: at, part: *part, token: work.token, item: work.item });
                // Sent again where nothing comes back.
                work.next = now + self.setup.lease / 2;
            } else {
                work.next = now + 10 * MS;
            }
        }
        for mail in acts {
            if let Mail::Act { part, .. } = mail {
                let acting = |(other, one): (usize, &Instance)| {
                    let runs = other != at && one.stopped <= self.world.now;
                    runs && one
                        .holder
                        .as_ref()
                        .is_some_and(|holder| holder.may(self.clock(other), part).is_some())
                };
                if self.instances.iter().enumerate().any(acting) {
                    self.two.get_or_insert((self.world.now, part));
                }
            }
            self.post(self.setup.act / 2, mail);
        }
    }

    /// What the journal shows against the promise: tokens that fell, items done twice or out of their order.
    pub fn judge(&self) -> Result<(), String> {
        let mut highest: BTreeMap<Part, u64> = BTreeMap::new();
        let mut next: BTreeMap<Part, u64> = BTreeMap::new();
        for act in self.journal.iter().filter(|act| act.taken) {
            let high = highest.entry(act.part).or_default();
            if act.token < *high {
                return Err(format!("{act:?} taken after token {high}"));
            }
            *high = act.token;
            if act.done_before {
                continue;
            }
            let due = next.entry(act.part).or_default();
            if act.item != *due {
                return Err(format!("{act:?} in place of item {due}"));
            }
            *due += 1;
        }
        match &self.world.violation {
            Some(wrong) => Err(wrong.clone()),
            None => Ok(()),
        }
    }

    /// Items done so far.
    pub fn items(&self) -> usize {
        self.done.values().map(BTreeSet::len).sum()
    }
}
