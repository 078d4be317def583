//! A simulated network and disks for replicas. Messages are lost, duplicated, delayed and reordered, and links are blocked. Nodes
//! crash between writing and sending, and restart with the state on their disk, with an earlier state of it or with an empty disk.
//! Deterministic by seed. Invariants are checked during the run.

mod disk;
mod faults;
mod hash_chain;

pub use disk::SimulatedDisk;
pub use faults::FaultRates;
pub use hash_chain::HashChain;

use crate::message::{self, Message};
use crate::{
    DiskId, NodeId, ProposalResponse, RaftConfig, Ready, Replica, ReplicaConfig, SeededRng, StateMachine,
    Time, MS,
};
use std::collections::{BTreeMap, BTreeSet};

/// Id of the first disk; later disks have the following ids.
const FIRST_DISK: DiskId = 101;
/// One in this many messages takes the extra delay.
const EXTRA_DELAY_ONE_IN: u64 = 20;
/// Without the safeguard `persist_before_send`, one in this many steps is synced.
const LATE_SYNC_ONE_IN: u64 = 3;

/// A running or stopped replica, and its disk.
pub struct SimulatedNode<M> {
    /// The replica's id.
    pub id: NodeId,
    /// `None` while it is stopped.
    pub replica: Option<Replica<M>>,
    /// Its disk.
    pub disk: SimulatedDisk,
}

/// Network conditions. A rate n is a probability of one in n; 0 is never.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    /// Minimum delay; the maximum is almost its double.
    pub delay: Time,
    /// Rate of lost messages.
    pub loss_one_in: u64,
    /// Rate of duplicated messages.
    pub duplicate_one_in: u64,
    /// Maximum extra delay of some messages.
    pub max_extra_delay: Time,
}

impl Default for NetworkConditions {
    fn default() -> NetworkConditions {
        NetworkConditions { delay: MS, loss_one_in: 0, duplicate_one_in: 0, max_extra_delay: 0 }
    }
}

/// A violated invariant, described by its text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvariantViolation(pub String);

/// Replicas of the state machine `M` in a simulated network.
pub struct Simulation<M> {
    /// Simulated time.
    pub now: Time,
    /// The replicas; their ids count from 1.
    pub nodes: Vec<SimulatedNode<M>>,
    /// Current network conditions.
    pub network: NetworkConditions,
    /// Links (from, to) that drop all messages.
    pub blocked_links: BTreeSet<(NodeId, NodeId)>,
    /// Source of all random decisions.
    pub rng: SeededRng,
    config: RaftConfig,
    initial: M,
    in_flight: BTreeMap<(Time, u64), (NodeId, Message)>,
    sequence: u64,
    next_disk: DiskId,
    saved_disk: Option<(usize, SimulatedDisk)>,
    /// Responses to proposals, each with the position of the node that returned it.
    pub responses: Vec<(usize, ProposalResponse)>,
    /// Number of messages sent so far, including lost ones.
    pub messages_sent: u64,
    /// Bytes of these messages.
    pub bytes_sent: u64,
    leaders: BTreeMap<u64, NodeId>,
    /// The first violated invariant.
    pub violation: Option<String>,
}

impl<M: StateMachine> Simulation<M> {
    /// Starts `nodes` replicas with empty disks; `initial` is the state before any command.
    ///
    /// # Panics
    ///
    /// Panics where `config` is not valid.
    pub fn new(nodes: usize, initial: M, config: RaftConfig, seed: u64) -> Simulation<M> {
        let mut simulation = Simulation {
            now: 0,
            nodes: Vec::new(),
            network: NetworkConditions::default(),
            blocked_links: BTreeSet::new(),
            rng: SeededRng::new(seed),
            config,
            initial,
            in_flight: BTreeMap::new(),
            sequence: 0,
            next_disk: FIRST_DISK,
            saved_disk: None,
            responses: Vec::new(),
            messages_sent: 0,
            bytes_sent: 0,
            leaders: BTreeMap::new(),
            violation: None,
        };
        for at in 0..nodes {
            let (id, disk) = (at as NodeId + 1, SimulatedDisk::default());
            simulation.nodes.push(SimulatedNode { id, replica: None, disk });
        }
        (0..nodes).for_each(|at| simulation.start(at));
        simulation
    }

    /// Starts the replica of a node with the state on its disk.
    pub fn start(&mut self, at: usize) {
        let configured_replicas = self.nodes.iter().map(|node| node.id).collect();
        let node = &mut self.nodes[at];
        if node.disk.id == 0 {
            node.disk.id = self.next_disk;
            self.next_disk += 1;
        }
        let config = ReplicaConfig {
            id: node.id,
            configured_replicas,
            disk: node.disk.id,
            raft: self.config,
            seed: self.rng.next_u64(),
        };
        let started = Replica::start(self.now, config, node.disk.load(), self.initial.clone());
        let (replica, ready) = started.expect("the configuration of the simulation is valid");
        self.nodes[at].replica = Some(replica);
        self.process_ready(at, ready);
    }

    /// Stops a replica; a suffix of its unsynced writes is lost.
    pub fn crash(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.replica = None;
        node.disk.crash(&mut self.rng);
    }

    /// Stops a replica and replaces its disk by an empty one.
    pub fn lose_disk(&mut self, at: usize) {
        self.restore_disk(at, SimulatedDisk::default());
    }

    /// A copy of a node's disk.
    pub fn disk(&self, at: usize) -> SimulatedDisk {
        self.nodes[at].disk.clone()
    }

    /// Stops a replica and restores an earlier state of its disk, under the same identity.
    pub fn restore_disk(&mut self, at: usize, disk: SimulatedDisk) {
        self.nodes[at].replica = None;
        self.nodes[at].disk = disk;
    }

    /// The node that is the leader of the latest term.
    pub fn leader(&self) -> Option<usize> {
        let term_led = |node: &SimulatedNode<M>| {
            node.replica.as_ref().filter(|replica| replica.is_leader()).map(Replica::term)
        };
        let leaders = self.nodes.iter().enumerate().filter_map(|(at, node)| Some((term_led(node)?, at)));
        leaders.max().map(|(_, at)| at)
    }

    /// Proposes a command at a node. Returns false where the node is not the leader.
    pub fn propose(&mut self, at: usize, proposal_id: u64, command: Vec<u8>) -> bool {
        let replica = self.nodes[at].replica.as_mut();
        let ready = replica.and_then(|replica| replica.propose(self.now, proposal_id, command));
        let is_accepted = ready.is_some();
        self.process_ready(at, ready.unwrap_or_default());
        is_accepted
    }

    /// Processes the effects of a replica: writes first, then messages and responses.
    pub fn process_ready(&mut self, at: usize, ready: Ready) {
        let is_sync_delayed = self.config.disabled_safeguards.persist_before_send;
        let node = &mut self.nodes[at];
        let from = node.id;
        node.disk.write(ready.writes);
        if !is_sync_delayed {
            node.disk.sync();
        }
        self.record_leader(at);
        self.responses.extend(ready.responses.into_iter().map(|response| (at, response)));
        for (to, message) in ready.messages {
            self.send(from, to, message);
        }
        if is_sync_delayed && self.rng.one_in(LATE_SYNC_ONE_IN) {
            self.nodes[at].disk.sync();
        }
    }

    /// Checks that each term has at most one leader.
    fn record_leader(&mut self, at: usize) {
        let node = &self.nodes[at];
        let Some(replica) = node.replica.as_ref().filter(|replica| replica.is_leader()) else { return };
        let term = replica.term();
        let known = *self.leaders.entry(term).or_insert(node.id);
        if known != node.id {
            self.violation.get_or_insert(format!("two leaders in term {term}"));
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: Message) {
        self.messages_sent += 1;
        self.bytes_sent += message::encode(&message).map_or(0, |bytes| bytes.len() as u64);
        let network = self.network;
        let is_lost = network.loss_one_in > 0 && self.rng.one_in(network.loss_one_in);
        if is_lost || self.blocked_links.contains(&(from, to)) {
            return;
        }
        let is_duplicated = network.duplicate_one_in > 0 && self.rng.one_in(network.duplicate_one_in);
        for _ in 0..1 + u64::from(is_duplicated) {
            let mut delay = network.delay + self.rng.below(network.delay.max(1) as u64) as Time;
            if network.max_extra_delay > 0 && self.rng.one_in(EXTRA_DELAY_ONE_IN) {
                delay += self.rng.below(network.max_extra_delay as u64) as Time;
            }
            self.sequence += 1;
            self.in_flight.insert((self.now + delay, self.sequence), (to, message.clone()));
        }
    }

    /// Handles the next message or deadline before `until`. Returns false where there is none.
    pub fn step(&mut self, until: Time) -> bool {
        let next_arrival = self.in_flight.first_key_value().map(|(key, _)| key.0);
        let next_deadline = self.next_deadline();
        let deadline = next_deadline.map(|(deadline, _)| deadline);
        let next = next_arrival.into_iter().chain(deadline).min().unwrap_or(until);
        if next >= until {
            self.now = until;
            return false;
        }
        self.now = self.now.max(next);
        if next_arrival == Some(next) {
            self.deliver_next();
        } else if let Some((_, at)) = next_deadline {
            let now = self.now;
            let ready = self.nodes[at].replica.as_mut().map(|replica| replica.tick(now));
            self.process_ready(at, ready.unwrap_or_default());
        }
        self.replace_stale_disk();
        true
    }

    fn next_deadline(&self) -> Option<(Time, usize)> {
        let nodes = self.nodes.iter().enumerate();
        nodes.filter_map(|(at, node)| Some((node.replica.as_ref()?.next_deadline(), at))).min()
    }

    fn deliver_next(&mut self) {
        let Some((_, (to, message))) = self.in_flight.pop_first() else { return };
        let Some(at) = self.nodes.iter().position(|node| node.id == to) else { return };
        let now = self.now;
        let ready = self.nodes[at].replica.as_mut().map(|replica| replica.step(now, &message));
        self.process_ready(at, ready.unwrap_or_default());
    }

    /// Restarts a replica that has found its disk stale, with an empty disk.
    fn replace_stale_disk(&mut self) {
        let is_stale = |node: &SimulatedNode<M>| node.replica.as_ref().is_some_and(Replica::is_disk_stale);
        if let Some(at) = self.nodes.iter().position(is_stale) {
            self.lose_disk(at);
            self.start(at);
        }
    }

    /// Runs until the given time.
    pub fn run(&mut self, until: Time) {
        while self.step(until) {}
    }

    /// Checks the invariants.
    ///
    /// # Errors
    ///
    /// Returns the first invariant that was violated so far.
    pub fn check_invariants(&self) -> Result<(), InvariantViolation> {
        self.violation.clone().map_or(Ok(()), |text| Err(InvariantViolation(text)))
    }
}
