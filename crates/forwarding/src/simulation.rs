//! A simulated network of members: delays, loss, partitions, deaths, restarts; deterministic by seed. Measures the cost of gossip,
//! and computes the cost of two plain heartbeat schemes for comparison.

use crate::membership::{Membership, MembershipConfig, OutgoingMessage};
use crate::messages::{self, MemberState, Role};
use crate::{NodeId, SeededRng, Time, MS, SECOND};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

/// Conditions of the simulated network.
#[derive(Clone, Debug)]
pub struct NetworkConditions {
    /// Fraction of all messages that is lost.
    pub loss: f64,
    /// Minimum and maximum one-way delay.
    pub delay: (Time, Time),
    /// A partition: the index of the first member on the second side, start, end, and whether it is one-way. A one-way partition
    /// drops only messages from the first side to the second.
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
    /// Current simulated time.
    pub now: Time,
    network: NetworkConditions,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    in_flight: Vec<Option<messages::Envelope>>,
    free: Vec<usize>,
    /// Time of each member's next tick. Only one tick is scheduled for each member, else ticks would multiply.
    next_tick: Vec<Time>,
    number: u64,
    rng: SeededRng,
    /// Messages sent so far.
    pub messages: u64,
    /// Bytes sent so far.
    pub bytes: u64,
    /// Bytes sent by each member.
    pub sent: Vec<u64>,
    /// Bytes sent to each member that were not lost.
    pub received: Vec<u64>,
    seed: u64,
    config: MembershipConfig,
}

/// Address of a member.
pub fn address(member_index: usize) -> SocketAddr {
    SocketAddr::from(([10, (member_index >> 16) as u8, (member_index >> 8) as u8, member_index as u8], 1))
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
pub fn member_id(member_index: usize) -> NodeId {
    crate::node_id(&format!("member-{member_index}"))
}

impl Simulation {
    /// Creates `member_count` members, of which the first three are seeds. They start within the first second.
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
        for member_index in 0..member_count {
            simulation.members.push(None);
            let start = (simulation.rng.next_f64() * SECOND as f64) as Time;
            simulation.start(member_index, start, 1);
        }
        simulation
    }

    /// Changes the network conditions.
    pub fn set_conditions(&mut self, network: NetworkConditions) {
        self.network = network;
    }

    /// Starts a member, or restarts it.
    pub fn start(&mut self, member_index: usize, when: Time, incarnation: u32) {
        let role = [Role::Planner, Role::Forwarder, Role::Worker][member_index % 3];
        let seeds = (0..3.min(self.members.len().max(1))).map(address).collect();
        let seed = self.seed.wrapping_mul(1_000_003).wrapping_add(member_index as u64);
        let mut member =
            Membership::new(member_id(member_index), role, address(member_index), seeds, self.config, seed);
        member.raise_incarnation(incarnation);
        self.members[member_index] = Some(member);
        self.next_tick[member_index] = Time::MAX;
        self.schedule_tick(member_index, when.max(self.now));
    }

    fn schedule_tick(&mut self, member: usize, when: Time) {
        if when < self.next_tick[member] {
            self.next_tick[member] = when;
            self.push(when, Event::Tick(member));
        }
    }

    /// Stops a member without a message to others.
    pub fn kill(&mut self, member_index: usize) {
        self.members[member_index] = None;
    }

    fn push(&mut self, time: Time, event: Event) {
        self.number += 1;
        self.events.push(Reverse((time, self.number, event)));
    }

    /// Sends messages of a member.
    pub fn send(&mut self, from: usize, outgoing: Vec<OutgoingMessage>) {
        for OutgoingMessage { to, envelope } in outgoing {
            let to = index(&to);
            let mut bytes = Vec::new();
            messages::encode(&mut bytes, &envelope);
            self.messages += 1;
            self.bytes += bytes.len() as u64;
            self.sent[from] += bytes.len() as u64;
            let is_cut = self.network.partition.is_some_and(|(second_side_start, start, end, one_way)| {
                let (from_first_side, to_first_side) = (from < second_side_start, to < second_side_start);
                (start..end).contains(&self.now)
                    && if one_way {
                        from_first_side && !to_first_side
                    } else {
                        from_first_side != to_first_side
                    }
            });
            if to >= self.members.len() || is_cut || self.rng.next_f64() < self.network.loss {
                continue;
            }
            self.received[to] += bytes.len() as u64;
            let (min_delay, max_delay) = self.network.delay;
            let delay = min_delay + ((max_delay - min_delay) as f64 * self.rng.next_f64()) as Time;
            let message_index = self.free.pop().unwrap_or_else(|| {
                self.in_flight.push(None);
                self.in_flight.len() - 1
            });
            self.in_flight[message_index] = Some(envelope);
            self.push(self.now + delay.max(1), Event::Message(from, to, message_index));
        }
    }

    /// Runs the simulation until the given time.
    pub fn run(&mut self, until: Time) {
        while let Some(Reverse((time, ..))) = self.events.peek() {
            if *time > until {
                break;
            }
            let Some(Reverse((time, _, event))) = self.events.pop() else { break };
            self.now = time;
            match event {
                Event::Tick(member) => {
                    if self.next_tick[member] != time {
                        continue; // an earlier tick has been scheduled since
                    }
                    self.next_tick[member] = Time::MAX;
                    let Some(own) = self.members[member].as_mut() else { continue };
                    let outgoing = own.tick(time);
                    let deadline = own.next_deadline().max(time + 1);
                    self.send(member, outgoing);
                    self.schedule_tick(member, deadline);
                }
                Event::Message(from, to, message_index) => {
                    let Some(envelope) = self.in_flight[message_index].take() else { continue };
                    self.free.push(message_index);
                    let Some(own) = self.members[to].as_mut() else { continue };
                    let outgoing = own.handle(time, address(from), &envelope);
                    let deadline = own.next_deadline();
                    self.send(to, outgoing);
                    self.schedule_tick(to, deadline.max(time + 1));
                }
            }
        }
        self.now = until;
    }

    /// Number of live members that hold the given member to be in the given state.
    pub fn count_agreeing(&self, target: usize, state: MemberState) -> usize {
        let id = member_id(target);
        let agrees = |member: &Membership| match member.member(id) {
            Some(known) => known.state == state,
            None => state == MemberState::Dead,
        };
        self.members
            .iter()
            .enumerate()
            .filter(|(index, member)| *index != target && member.as_ref().is_some_and(agrees))
            .count()
    }

    /// Number of live members.
    pub fn alive_count(&self) -> usize {
        self.members.iter().flatten().count()
    }
}

/// Cost of a membership scheme per member and second, and its detection quality.
#[derive(Clone, Debug, Default)]
pub struct MembershipCost {
    /// Number of members.
    pub members: usize,
    /// Messages per member and second.
    pub messages: f64,
    /// Bytes per member and second.
    pub bytes: f64,
    /// Milliseconds until half of the other members know of a death.
    pub half_informed_ms: f64,
    /// Milliseconds until all other members know of a death.
    pub all_informed_ms: f64,
    /// Live members that were declared dead, per hundred member minutes.
    pub false_deaths: f64,
}

/// Simulates gossip among `members` members for a minute, then stops one of them.
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
    // All members record each death: divided by the number of observers.
    let false_deaths = deaths as f64 / members as f64 / (members as f64 / 100.0);
    let victim = members / 2;
    simulation.kill(victim);
    let (killed_at, mut half_informed_ms, mut all_informed_ms) = (simulation.now, None, None);
    while all_informed_ms.is_none() && simulation.now < killed_at + 120 * SECOND {
        let next = simulation.now + 100 * MS;
        simulation.run(next);
        let informed = simulation.count_agreeing(victim, MemberState::Dead);
        let elapsed_ms = (simulation.now - killed_at) as f64 / MS as f64;
        half_informed_ms =
            half_informed_ms.or((informed * 2 >= simulation.alive_count()).then_some(elapsed_ms));
        all_informed_ms = all_informed_ms.or((informed == simulation.alive_count()).then_some(elapsed_ms));
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

/// Computes the cost of heartbeats of 60 bytes each half second, where a member is dead after `max_missed` consecutive losses. Members
/// send to all others (`all_to_all`) or to a planner that informs all. Computed, not simulated: all messages have the same loss.
pub fn compute_heartbeats(members: usize, loss: f64, all_to_all: bool, max_missed: i32) -> MembershipCost {
    let (period_s, message_bytes) = (0.5, 60.0);
    let others = (members - 1) as f64;
    let messages = if all_to_all { others / period_s } else { 1.0 / period_s };
    let observers = if all_to_all { others } else { 1.0 };
    // A false death at an observer: `max_missed` consecutive losses in any window of a minute.
    let wrong_detections = loss.powi(max_missed) * (60.0 / period_s) * observers * members as f64;
    let dissemination_ms = if all_to_all { 0.0 } else { 20.0 };
    let half_informed_ms = (f64::from(max_missed) - 0.5) * period_s * 1e3 + dissemination_ms;
    let hundreds_of_members = members as f64 / 100.0;
    let detections_per_member =
        if all_to_all { wrong_detections / others.max(1.0) } else { wrong_detections };
    MembershipCost {
        members,
        messages,
        bytes: messages * message_bytes,
        half_informed_ms,
        all_informed_ms: half_informed_ms + period_s * 1e3,
        false_deaths: detections_per_member / hundreds_of_members,
    }
}
