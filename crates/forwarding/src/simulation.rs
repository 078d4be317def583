//! A network in which members talk: delays, loss, partitions, deaths, restarts; deterministic by seed. What is measured
//! stands beside two plain ways to know who is here.

use crate::membership::{Membership, MembershipConfig, OutgoingMessage};
use crate::messages::{self, MemberState, Role};
use crate::{NodeId, SeededRng, Time, MS, SECOND};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

#[derive(Clone, Debug)]
pub struct NetworkConditions {
    /// Part of all messages that is lost.
    pub loss: f64,
    /// Delay of one way, from and to.
    pub delay: (Time, Time),
    /// Between those under and those from this number on nothing passes, from when to when; `one_way`: only from the first to
    /// the second nothing.
    pub cut: Option<(usize, Time, Time, bool)>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Message(usize, usize, usize),
}

pub struct Simulation {
    pub members: Vec<Option<Membership>>,
    pub now: Time,
    net: NetworkConditions,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    mail: Vec<Option<messages::Envelope>>,
    free: Vec<usize>,
    /// When each looks up next: one time for each, or ticks would breed.
    due: Vec<Time>,
    number: u64,
    rng: SeededRng,
    pub messages: u64,
    pub bytes: u64,
    /// Of those, bytes that each member sent, and that were on their way to each and not lost.
    pub sent: Vec<u64>,
    pub heard: Vec<u64>,
    seed: u64,
    options: MembershipConfig,
}

pub fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([10, (at >> 16) as u8, (at >> 8) as u8, at as u8], 1))
}

fn index(address: &SocketAddr) -> usize {
    match address {
        SocketAddr::V4(four) => {
            let [_, a, b, c] = four.ip().octets();
            usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c)
        }
        SocketAddr::V6(_) => usize::MAX,
    }
}

pub fn id_of(at: usize) -> NodeId {
    crate::node_id(&format!("member-{at}"))
}

impl Simulation {
    /// The first three are seeds. They come up over the first second.
    pub fn new(many: usize, options: MembershipConfig, net: NetworkConditions, seed: u64) -> Simulation {
        let mut world = Simulation {
            members: Vec::new(),
            now: 0,
            net,
            events: BinaryHeap::new(),
            mail: Vec::new(),
            free: Vec::new(),
            due: vec![Time::MAX; many],
            number: 0,
            rng: SeededRng::new(seed),
            messages: 0,
            bytes: 0,
            sent: vec![0; many],
            heard: vec![0; many],
            seed,
            options,
        };
        for at in 0..many {
            world.members.push(None);
            let start = (world.rng.next_f64() * SECOND as f64) as Time;
            world.start(at, start, 1);
        }
        world
    }

    /// Another net from now on.
    pub fn net(&mut self, net: NetworkConditions) {
        self.net = net;
    }

    pub fn start(&mut self, at: usize, when: Time, incarnation: u32) {
        let role = [Role::Planner, Role::Forwarder, Role::Worker][at % 3];
        let seeds = (0..3.min(self.members.len().max(1))).map(address).collect();
        let seed = self.seed.wrapping_mul(1_000_003).wrapping_add(at as u64);
        let mut member = Membership::new(id_of(at), role, address(at), seeds, self.options, seed);
        member.incarnation(incarnation);
        self.members[at] = Some(member);
        self.due[at] = Time::MAX;
        self.look(at, when.max(self.now));
    }

    fn look(&mut self, member: usize, when: Time) {
        if when < self.due[member] {
            self.due[member] = when;
            self.push(when, Event::Tick(member));
        }
    }

    /// It is gone without a word.
    pub fn kill(&mut self, at: usize) {
        self.members[at] = None;
    }

    fn push(&mut self, at: Time, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }

    pub fn post(&mut self, from: usize, all: Vec<OutgoingMessage>) {
        for OutgoingMessage { to, envelope } in all {
            let to = index(&to);
            let mut bytes = Vec::new();
            messages::write(&mut bytes, &envelope);
            self.messages += 1;
            self.bytes += bytes.len() as u64;
            self.sent[from] += bytes.len() as u64;
            let cut = self.net.cut.is_some_and(|(line, start, end, one_way)| {
                let (a, b) = (from < line, to < line);
                (start..end).contains(&self.now) && if one_way { a && !b } else { a != b }
            });
            if to >= self.members.len() || cut || self.rng.next_f64() < self.net.loss {
                continue;
            }
            self.heard[to] += bytes.len() as u64;
            let (least, most) = self.net.delay;
            let delay = least + ((most - least) as f64 * self.rng.next_f64()) as Time;
            let place = self.free.pop().unwrap_or_else(|| {
                self.mail.push(None);
                self.mail.len() - 1
            });
            self.mail[place] = Some(envelope);
            self.push(self.now + delay.max(1), Event::Message(from, to, place));
        }
    }

    pub fn run(&mut self, until: Time) {
        while let Some(Reverse((at, ..))) = self.events.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at;
            match event {
                Event::Tick(member) => {
                    if self.due[member] != at {
                        continue; // another time was set since
                    }
                    self.due[member] = Time::MAX;
                    let Some(own) = self.members[member].as_mut() else { continue };
                    let out = own.tick(at);
                    let due = own.due().max(at + 1);
                    self.post(member, out);
                    self.look(member, due);
                }
                Event::Message(from, to, place) => {
                    let Some(envelope) = self.mail[place].take() else { continue };
                    self.free.push(place);
                    let Some(own) = self.members[to].as_mut() else { continue };
                    let out = own.heard(at, address(from), &envelope);
                    let due = own.due();
                    self.post(to, out);
                    self.look(to, due.max(at + 1));
                }
            }
        }
        self.now = until;
    }

    /// How many of those that are here hold that one for so.
    pub fn agree(&self, whom: usize, state: MemberState) -> usize {
        let id = id_of(whom);
        let holds = |member: &Membership| match member.member(id) {
            Some(known) => known.state == state,
            None => state == MemberState::Dead,
        };
        self.members
            .iter()
            .enumerate()
            .filter(|(at, member)| *at != whom && member.as_ref().is_some_and(holds))
            .count()
    }

    pub fn here(&self) -> usize {
        self.members.iter().flatten().count()
    }
}

/// What a way to know costs, for each member and second, and how it does.
#[derive(Clone, Debug, Default)]
pub struct MembershipCost {
    pub many: usize,
    pub messages: f64,
    pub bytes: f64,
    /// Milliseconds until half of the others, and until all, hold a dead one for dead.
    pub half: f64,
    pub all: f64,
    /// Members that were held for dead and were not, for each hundred member minutes.
    pub false_deaths: f64,
}

/// Gossip, simulated: `many` members for a minute, then one dies.
pub fn gossip(many: usize, loss: f64, seed: u64, options: MembershipConfig) -> MembershipCost {
    let net = NetworkConditions { loss, delay: (2, 20), cut: None };
    let mut world = Simulation::new(many, options, net, seed);
    world.run(20 * SECOND);
    let (messages, bytes) = (world.messages, world.bytes);
    world.members.iter_mut().flatten().for_each(|member| drop(member.changes()));
    world.run(80 * SECOND);
    let seconds = 60.0 * many as f64;
    let (messages, bytes) =
        ((world.messages - messages) as f64 / seconds, (world.bytes - bytes) as f64 / seconds);
    let deaths: usize = world
        .members
        .iter_mut()
        .flatten()
        .map(|member| member.changes().iter().filter(|change| change.to == MemberState::Dead).count())
        .sum();
    // Each death is seen by all: counted once for each observer.
    let false_deaths = deaths as f64 / many as f64 / (many as f64 / 100.0);
    let victim = many / 2;
    world.kill(victim);
    let (died, mut half, mut all) = (world.now, None, None);
    while all.is_none() && world.now < died + 120 * SECOND {
        let next = world.now + 100 * MS;
        world.run(next);
        let know = world.agree(victim, MemberState::Dead);
        let after = (world.now - died) as f64 / MS as f64;
        half = half.or((know * 2 >= world.here()).then_some(after));
        all = all.or((know == world.here()).then_some(after));
    }
    MembershipCost {
        many,
        messages,
        bytes,
        half: half.unwrap_or(f64::NAN),
        all: all.unwrap_or(f64::NAN),
        false_deaths,
    }
}

/// A heartbeat of 60 bytes each half second, dead past `missed` in a row: from each to each other (`all_to_all`), or to a
/// planner that tells all. Computed, not played: loss falls on each alike.
pub fn heartbeats(many: usize, loss: f64, all_to_all: bool, missed: i32) -> MembershipCost {
    let (period, size) = (0.5, 60.0);
    let others = (many - 1) as f64;
    let messages = if all_to_all { others / period } else { 1.0 / period };
    let watchers = if all_to_all { others } else { 1.0 };
    // A false death at a watcher: so many lost in a row, in any of the windows of a minute.
    let wrong = loss.powi(missed) * (60.0 / period) * watchers * many as f64;
    let told = if all_to_all { 0.0 } else { 20.0 };
    let half = (f64::from(missed) - 0.5) * period * 1e3 + told;
    let per = many as f64 / 100.0;
    let seen = if all_to_all { wrong / others.max(1.0) } else { wrong };
    MembershipCost {
        many,
        messages,
        bytes: messages * size,
        half,
        all: half + period * 1e3,
        false_deaths: seen / per,
    }
}
