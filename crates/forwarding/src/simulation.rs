//! A simulated network of members: delays, loss, partitions, deaths, restarts; deterministic by seed. What gossip costs is measured
//! in it, and computed for two plain ways to know who is here.

use crate::membership::{Membership, MembershipConfig, OutgoingMessage};
use crate::messages::{self, MemberState, Role};
use crate::{NodeId, SeededRng, Time, MS, SECOND};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

/// How the network treats messages.
#[derive(Clone, Debug)]
pub struct NetworkConditions {
    /// Fraction of all messages that is lost.
    pub loss: f64,
    /// Bounds of the delay one way.
    pub delay: (Time, Time),
    /// Between those under and those from this number on nothing passes, from when to when; `one_way`: only from the first to
    /// the second nothing.
    pub partition: Option<(usize, Time, Time, bool)>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Message(usize, usize, usize),
}

/// Members and the network between them, in simulated time.
pub struct Simulation {
    /// Each member; `None` where it is dead.
    pub members: Vec<Option<Membership>>,
    /// The time now.
    pub now: Time,
    network: NetworkConditions,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    in_flight: Vec<Option<messages::Envelope>>,
    free: Vec<usize>,
    /// When each member ticks next: one time for each, or ticks would multiply.
    next_tick: Vec<Time>,
    number: u64,
    rng: SeededRng,
    /// Messages sent so far.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Bytes that each member sent.
    pub sent: Vec<u64>,
    /// Bytes on their way to each member that were not lost.
    pub received: Vec<u64>,
    seed: u64,
    config: MembershipConfig,
}

/// Address of a member.
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

/// Id of a member.
pub fn member_id(at: usize) -> NodeId {
    crate::node_id(&format!("member-{at}"))
}

impl Simulation {
    /// So many members, of which the first three are seeds. They start over the first second.
    pub fn new(
        member_count: usize,
        config: MembershipConfig,
        network: NetworkConditions,
        seed: u64,
    ) -> Simulation {
        let mut simulation = Simulation {
            members: Vec::new(),
            now: 0,
            network,
            events: BinaryHeap::new(),
            in_flight: Vec::new(),
            free: Vec::new(),
            next_tick: vec![Time::MAX; member_count],
            number: 0,
            rng: SeededRng::new(seed),
            messages: 0,
            bytes: 0,
            sent: vec![0; member_count],
            received: vec![0; member_count],
            seed,
            config,
        };
        for at in 0..member_count {
            simulation.members.push(None);
            let start = (simulation.rng.next_f64() * SECOND as f64) as Time;
            simulation.start(at, start, 1);
        }
        simulation
    }

    /// Other conditions from now on.
    pub fn set_conditions(&mut self, network: NetworkConditions) {
        self.network = network;
    }

    /// Starts a member, anew where there was one.
    pub fn start(&mut self, at: usize, when: Time, incarnation: u32) {
        let role = [Role::Planner, Role::Forwarder, Role::Worker][at % 3];
        let seeds = (0..3.min(self.members.len().max(1))).map(address).collect();
        let seed = self.seed.wrapping_mul(1_000_003).wrapping_add(at as u64);
        let mut member = Membership::new(member_id(at), role, address(at), seeds, self.config, seed);
        member.raise_incarnation(incarnation);
        self.members[at] = Some(member);
        self.next_tick[at] = Time::MAX;
        self.schedule_tick(at, when.max(self.now));
    }

    fn schedule_tick(&mut self, member: usize, when: Time) {
        if when < self.next_tick[member] {
            self.next_tick[member] = when;
            self.push(when, Event::Tick(member));
        }
    }

    /// A member dies without a message.
    pub fn kill(&mut self, at: usize) {
        self.members[at] = None;
    }

    fn push(&mut self, at: Time, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }

    /// Sends what a member has to send.
    pub fn send(&mut self, from: usize, all: Vec<OutgoingMessage>) {
        for OutgoingMessage { to, envelope } in all {
            let to = index(&to);
            let mut bytes = Vec::new();
            messages::encode(&mut bytes, &envelope);
            self.messages += 1;
            self.bytes += bytes.len() as u64;
            self.sent[from] += bytes.len() as u64;
            let partition = self.network.partition.is_some_and(|(line, start, end, one_way)| {
                let (a, b) = (from < line, to < line);
                (start..end).contains(&self.now) && if one_way { a && !b } else { a != b }
            });
            if to >= self.members.len() || partition || self.rng.next_f64() < self.network.loss {
                continue;
            }
            self.received[to] += bytes.len() as u64;
            let (least, most) = self.network.delay;
            let delay = least + ((most - least) as f64 * self.rng.next_f64()) as Time;
            let message_index = self.free.pop().unwrap_or_else(|| {
                self.in_flight.push(None);
                self.in_flight.len() - 1
            });
            self.in_flight[message_index] = Some(envelope);
            self.push(self.now + delay.max(1), Event::Message(from, to, message_index));
        }
    }

    /// Runs until that time.
    pub fn run(&mut self, until: Time) {
        while let Some(Reverse((at, ..))) = self.events.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at;
            match event {
                Event::Tick(member) => {
                    if self.next_tick[member] != at {
                        continue; // another time was set since
                    }
                    self.next_tick[member] = Time::MAX;
                    let Some(own) = self.members[member].as_mut() else { continue };
                    let out = own.tick(at);
                    let due = own.next_deadline().max(at + 1);
                    self.send(member, out);
                    self.schedule_tick(member, due);
                }
                Event::Message(from, to, message_index) => {
                    let Some(envelope) = self.in_flight[message_index].take() else { continue };
                    self.free.push(message_index);
                    let Some(own) = self.members[to].as_mut() else { continue };
                    let out = own.handle(at, address(from), &envelope);
                    let due = own.next_deadline();
                    self.send(to, out);
                    self.schedule_tick(to, due.max(at + 1));
                }
            }
        }
        self.now = until;
    }

    /// How many of the members that are alive hold that one to be in that state.
    pub fn count_agreeing(&self, whom: usize, state: MemberState) -> usize {
        let id = member_id(whom);
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

    /// Members that are alive.
    pub fn alive_count(&self) -> usize {
        self.members.iter().flatten().count()
    }
}

/// What a way to know who is here costs, for each member and second, and how well it does.
#[derive(Clone, Debug, Default)]
pub struct MembershipCost {
    /// Members.
    pub members: usize,
    /// Messages for each member and second.
    pub messages: f64,
    /// Their bytes.
    pub bytes: f64,
    /// Milliseconds until half of the others know of a death.
    pub half_informed_ms: f64,
    /// Milliseconds until all others do.
    pub all_informed_ms: f64,
    /// Members that were wrongly held to be dead, for each hundred member minutes.
    pub false_deaths: f64,
}

/// Gossip, simulated: so many members for a minute, then one dies.
pub fn measure_gossip(members: usize, loss: f64, seed: u64, config: MembershipConfig) -> MembershipCost {
    let network = NetworkConditions { loss, delay: (2, 20), partition: None };
    let mut simulation = Simulation::new(members, config, network, seed);
    simulation.run(20 * SECOND);
    let (messages, bytes) = (simulation.messages, simulation.bytes);
    simulation.members.iter_mut().flatten().for_each(|member| drop(member.take_changes()));
    simulation.run(80 * SECOND);
    let seconds = 60.0 * members as f64;
    let (messages, bytes) =
        ((simulation.messages - messages) as f64 / seconds, (simulation.bytes - bytes) as f64 / seconds);
    let deaths: usize = simulation
        .members
        .iter_mut()
        .flatten()
        .map(|member| member.take_changes().iter().filter(|change| change.to == MemberState::Dead).count())
        .sum();
    // Each death is seen by all: counted once for each observer.
    let false_deaths = deaths as f64 / members as f64 / (members as f64 / 100.0);
    let victim = members / 2;
    simulation.kill(victim);
    let (died, mut half_informed_ms, mut all_informed_ms) = (simulation.now, None, None);
    while all_informed_ms.is_none() && simulation.now < died + 120 * SECOND {
        let next = simulation.now + 100 * MS;
        simulation.run(next);
        let know = simulation.count_agreeing(victim, MemberState::Dead);
        let after = (simulation.now - died) as f64 / MS as f64;
        half_informed_ms = half_informed_ms.or((know * 2 >= simulation.alive_count()).then_some(after));
        all_informed_ms = all_informed_ms.or((know == simulation.alive_count()).then_some(after));
    }
    MembershipCost {
        members,
        messages,
        bytes,
        half_informed_ms: half_informed_ms.unwrap_or(f64::NAN),
        all_informed_ms: all_informed_ms.unwrap_or(f64::NAN),
        false_deaths,
    }
}

/// A heartbeat of 60 bytes each half second, dead past `missed` in a row: from each to each other (`all_to_all`), or to a
/// planner that tells all. Computed, not simulated: loss falls on each alike.
pub fn compute_heartbeats(members: usize, loss: f64, all_to_all: bool, missed: i32) -> MembershipCost {
    let (period, size) = (0.5, 60.0);
    let others = (members - 1) as f64;
    let messages = if all_to_all { others / period } else { 1.0 / period };
    let watchers = if all_to_all { others } else { 1.0 };
    // A false death at a watcher: so many lost in a row, in any of the windows of a minute.
    let wrong = loss.powi(missed) * (60.0 / period) * watchers * members as f64;
    let dissemination_ms = if all_to_all { 0.0 } else { 20.0 };
    let half_informed_ms = (f64::from(missed) - 0.5) * period * 1e3 + dissemination_ms;
    let per = members as f64 / 100.0;
    let seen = if all_to_all { wrong / others.max(1.0) } else { wrong };
    MembershipCost {
        members,
        messages,
        bytes: messages * size,
        half_informed_ms,
        all_informed_ms: half_informed_ms + period * 1e3,
        false_deaths: seen / per,
    }
}
