//! A network and disks in which keepers are played: letters are lost, doubled, late and ready of order, sides are cut off, keepers
//! die between writing and speaking and come back with what their disk had, an older state of it or nothing. Deterministic by
//! seed; the rules are checked as it goes. For tests, and for whoever builds on the keepers.

use crate::message::{self, Message};
use crate::replica::{ProposalResponse, RaftConfig, Ready, Replica, ReplicaConfig};
use crate::storage::{PersistentState, Write};
use crate::{DiskId, NodeId, SeededRng, StateMachine, Time, MS};
use std::collections::{BTreeMap, BTreeSet};

/// A disk that keeps writes in their order: what is not synced may be there after a crash in any first part.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk {
    pub id: DiskId,
    kept: BTreeMap<Vec<u8>, Vec<u8>>,
    waiting: Vec<Write>,
    /// Writes that were synced, in all.
    pub synced: u64,
}

impl SimulatedDisk {
    fn put(&mut self, writes: Vec<Write>) {
        self.waiting.extend(writes);
    }
    fn sync(&mut self) {
        self.synced += u64::from(!self.waiting.is_empty());
        for (key, value) in self.waiting.drain(..) {
            match value {
                Some(value) => drop(self.kept.insert(key, value)),
                None => drop(self.kept.remove(&key)),
            }
        }
    }
    fn crash(&mut self, rng: &mut SeededRng) {
        let kept = rng.below(self.waiting.len() as u64 + 1) as usize;
        self.waiting.truncate(kept);
        self.sync();
    }
    /// As a replica reads it at its start, through a real store.
    fn read(&self) -> PersistentState {
        let disk = cypresscleat_store::simulation::SimulatedDisk::default();
        let mut store = cypresscleat_store::Store::open(disk, Default::default()).expect("an empty disk");
        for (key, value) in &self.kept {
            store.put(key, value).expect("room");
        }
        store.commit(true).expect("a good disk");
        crate::storage::load(&mut store).expect("what was written in order can be read")
    }
}

/// One place: a replica that runs or not, and its disk.
pub struct SimulatedNode<M> {
    pub id: NodeId,
    pub replica: Option<Replica<M>>,
    pub disk: SimulatedDisk,
    starts: u64,
}

/// What the network does. Chances are one in so many; 0 is never.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    pub delay: Time,
    pub loss_one_in: u64,
    pub duplicate_one_in: u64,
    /// A message now and then takes this much longer.
    pub max_extra_delay: Time,
}

impl Default for NetworkConditions {
    fn default() -> NetworkConditions {
        NetworkConditions { delay: MS, loss_one_in: 0, duplicate_one_in: 0, max_extra_delay: 0 }
    }
}

pub struct Simulation<M> {
    pub now: Time,
    pub nodes: Vec<SimulatedNode<M>>,
    pub network: NetworkConditions,
    /// Pairs (from, to) between which nothing gets through.
    pub blocked_links: BTreeSet<(NodeId, NodeId)>,
    pub rng: SeededRng,
    config: RaftConfig,
    empty: M,
    mail: BTreeMap<(Time, u64), (NodeId, Message)>,
    posted: u64,
    next_disk: DiskId,
    /// By whom, and what.
    pub responses: Vec<(usize, ProposalResponse)>,
    pub messages_sent: u64,
    pub bytes_sent: u64,
    leaders: BTreeMap<u64, NodeId>,
    /// What was wrong, the first of it.
    pub violation: Option<String>,
}

impl<M: StateMachine> Simulation<M> {
    pub fn new(many: usize, empty: M, config: RaftConfig, seed: u64) -> Simulation<M> {
        let mut world = Simulation {
            now: 0,
            nodes: Vec::new(),
            network: NetworkConditions::default(),
            blocked_links: BTreeSet::new(),
            rng: SeededRng::new(seed),
            config,
            empty,
            mail: BTreeMap::new(),
            posted: 0,
            next_disk: 100,
            responses: Vec::new(),
            messages_sent: 0,
            bytes_sent: 0,
            leaders: BTreeMap::new(),
            violation: None,
        };
        for at in 0..many {
            let id = at as NodeId + 1;
            world.nodes.push(SimulatedNode { id, replica: None, disk: SimulatedDisk::default(), starts: 0 });
        }
        (0..many).for_each(|at| world.start(at));
        world
    }

    pub fn start(&mut self, at: usize) {
        let named = self.nodes.iter().map(|node| node.id).collect();
        let node = &mut self.nodes[at];
        if node.disk.id == 0 {
            self.next_disk += 1;
            node.disk.id = self.next_disk;
        }
        node.starts += 1;
        let config = ReplicaConfig {
            id: node.id,
            configured_replicas: named,
            disk: node.disk.id,
            raft: self.config,
            seed: self.rng.next_u64(),
        };
        let kept = node.disk.read();
        let (replica, ready) = Replica::start(self.now, config, kept, self.empty.clone());
        self.nodes[at].replica = Some(replica);
        self.process_ready(at, ready);
    }

    /// It dies; what it had not synced is there in part.
    pub fn crash(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.replica = None;
        node.disk.crash(&mut self.rng);
    }

    /// Its disk is gone, and another one in its place.
    pub fn lose_disk(&mut self, at: usize) {
        self.nodes[at].replica = None;
        self.nodes[at].disk = SimulatedDisk::default();
    }

    pub fn disk(&self, at: usize) -> SimulatedDisk {
        self.nodes[at].disk.clone()
    }

    /// An older state of its disk is put back, as if it had always been so.
    pub fn restore_disk(&mut self, at: usize, disk: SimulatedDisk) {
        self.nodes[at].replica = None;
        self.nodes[at].disk = disk;
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |node: &SimulatedNode<M>| {
            node.replica.as_ref().filter(|replica| replica.is_leader()).map(Replica::term)
        };
        let all = self.nodes.iter().enumerate().filter_map(|(at, node)| Some((leads(node)?, at)));
        all.max().map(|(_, at)| at)
    }

    pub fn propose(&mut self, at: usize, number: u64, command: Vec<u8>) -> bool {
        let now = self.now;
        let ready = self.nodes[at].replica.as_mut().and_then(|replica| replica.propose(now, number, command));
        let taken = ready.is_some();
        self.process_ready(at, ready.unwrap_or_default());
        taken
    }

    /// Carries ready what a replica asks for: its writes, then its letters and responses. Now and then it dies in between.
    pub fn process_ready(&mut self, at: usize, ready: Ready) {
        let node = &mut self.nodes[at];
        node.disk.put(ready.writes);
        if !self.config.disabled_safeguards.persist_before_send {
            node.disk.sync();
        }
        if let Some(replica) = node.replica.as_ref().filter(|replica| replica.is_leader()) {
            let known = *self.leaders.entry(replica.term()).or_insert(node.id);
            if known != node.id {
                self.violation.get_or_insert(format!("two lead in term {}", replica.term()));
            }
        }
        let from = node.id;
        self.responses.extend(ready.responses.into_iter().map(|response| (at, response)));
        for (to, message) in ready.messages {
            self.messages_sent += 1;
            if let Some(bytes) = message::encode(&message) {
                self.bytes_sent += bytes.len() as u64;
            }
            let lost = self.network.loss_one_in > 0 && self.rng.one_in(self.network.loss_one_in);
            if lost || self.blocked_links.contains(&(from, to)) {
                continue;
            }
            let twice = self.network.duplicate_one_in > 0 && self.rng.one_in(self.network.duplicate_one_in);
            for _ in 0..1 + u64::from(twice) {
                let mut delay = self.network.delay + self.rng.below(self.network.delay.max(1) as u64) as Time;
                if self.network.max_extra_delay > 0 && self.rng.one_in(20) {
                    delay += self.rng.below(self.network.max_extra_delay as u64) as Time;
                }
                self.posted += 1;
                self.mail.insert((self.now + delay, self.posted), (to, message.clone()));
            }
        }
        if self.config.disabled_safeguards.persist_before_send && self.rng.one_in(3) {
            self.nodes[at].disk.sync();
        }
    }

    /// The next message or the next due time, not past `until`; false where nothing is left before it.
    pub fn step(&mut self, until: Time) -> bool {
        let mail = self.mail.first_key_value().map(|(key, _)| key.0);
        let due = self
            .nodes
            .iter()
            .enumerate()
            .filter_map(|(at, node)| Some((node.replica.as_ref()?.next_deadline(), at)));
        let due = due.min();
        let next = mail.into_iter().chain(due.map(|due| due.0)).min().unwrap_or(until);
        if next >= until {
            self.now = until;
            return false;
        }
        self.now = self.now.max(next);
        let now = self.now;
        if mail == Some(next) {
            let Some((_, (to, message))) = self.mail.pop_first() else { return true };
            let Some(at) = self.nodes.iter().position(|node| node.id == to) else { return true };
            let ready = self.nodes[at].replica.as_mut().map(|replica| replica.step(now, &message));
            self.process_ready(at, ready.unwrap_or_default());
        } else if let Some((_, at)) = due {
            let ready = self.nodes[at].replica.as_mut().map(|replica| replica.tick(now));
            self.process_ready(at, ready.unwrap_or_default());
        }
        // One that finds that its disk forgot comes back with an empty one.
        if let Some(at) =
            self.nodes.iter().position(|node| node.replica.as_ref().is_some_and(Replica::is_disk_stale))
        {
            self.lose_disk(at);
            self.start(at);
        }
        true
    }

    pub fn run(&mut self, until: Time) {
        while self.step(until) {}
    }
}

/// A machine for tests: what was decided so far, as a chain of hashes, and the numbers that were counted in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HashChain {
    pub hash: u64,
    pub numbers: BTreeSet<u64>,
}

impl StateMachine for HashChain {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        use std::hash::{DefaultHasher, Hash, Hasher};
        let mut hasher = DefaultHasher::new();
        (self.hash, index, command).hash(&mut hasher);
        self.hash = hasher.finish();
        let number = command.try_into().map(u64::from_le_bytes).unwrap_or(0);
        self.numbers.insert(number);
        self.hash.to_le_bytes().to_vec()
    }
    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&(self.hash, &self.numbers)).unwrap_or_default()
    }
    fn from_snapshot(bytes: &[u8]) -> Option<HashChain> {
        let (hash, numbers) = postcard::from_bytes(bytes).ok()?;
        Some(HashChain { hash, numbers })
    }
}
