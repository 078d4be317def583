//! Replicas, instances that own partitions, and a resource that they act upon, in one simulated network with simulated disks. Instances
//! stand still, die and drain, links are cut on any side, clocks run apart; the resource keeps the journal by which the invariants are
//! checked. Deterministic by seed.

mod faults;
mod instance;

use crate::client::Outgoing;
use crate::fence::Fence;
use crate::manager::LeaseManager;
use crate::messages::{Request, Response};
use crate::state::LeaseState;
use crate::state::OwnerChange;
use crate::{NodeId, Partition, SeededRng, Time, MS};
use cypresscleat_consensus::message;
use cypresscleat_consensus::sim::Simulation as Cluster;
use cypresscleat_consensus::RaftConfig;
pub use faults::InvariantViolation;
use instance::InboxMessage;
pub use instance::Instance;
use std::collections::{BTreeMap, BTreeSet};

/// Safeguards that tests disable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisabledSafeguards {
    /// The resource compares no tokens.
    pub ignore_tokens: bool,
    /// Instances go on after the end of their lease.
    pub ignore_lease_end: bool,
}

/// Size and timing of a simulated cluster.
#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    /// Replicas.
    pub replicas: usize,
    /// Instances.
    pub instances: usize,
    /// Partitions of the one task.
    pub partitions: u32,
    /// Length of a lease.
    pub lease: Time,
    /// Time from an instance to the resource and back, and between acts of an owner on a partition; 0 for no acts.
    pub act_interval: Time,
    /// Safeguards that are disabled.
    pub safeguards: DisabledSafeguards,
}

impl Default for SimulationConfig {
    fn default() -> SimulationConfig {
        let safeguards = DisabledSafeguards::default();
        SimulationConfig {
            replicas: 3,
            instances: 4,
            partitions: 1,
            lease: 20_000,
            act_interval: 20 * MS,
            safeguards,
        }
    }
}

/// An act that reached the resource.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Act {
    /// When it arrived.
    pub at: Time,
    /// The partition.
    pub partition: Partition,
    /// The token that it carried.
    pub token: u64,
    /// The item of work that was done.
    pub item: u64,
    /// The instance.
    pub by: NodeId,
    /// Whether the token was valid.
    pub accepted: bool,
    /// The item had been done before: the act has no effect and does not count.
    pub done_before: bool,
}

#[derive(Clone, Debug)]
enum Mail {
    Request { to: usize, from: usize, request: Request },
    Response { to: usize, from: NodeId, response: Response },
    Act { from: usize, partition: Partition, token: u64, item: u64 },
    Acted { to: usize, partition: Partition, token: u64, item: u64, accepted: bool },
}

/// The simulated cluster.
pub struct Simulation {
    /// What it was made with.
    pub config: SimulationConfig,
    /// The replicas and their network.
    pub cluster: Cluster<LeaseState>,
    /// The lease manager of each replica.
    pub managers: Vec<LeaseManager<usize>>,
    /// The instances.
    pub instances: Vec<Instance>,
    mail: BTreeMap<(Time, u64), Mail>,
    posted: u64,
    rng: SeededRng,
    fence: Fence,
    done: BTreeMap<Partition, BTreeSet<u64>>,
    /// All acts that reached the resource.
    pub journal: Vec<Act>,
    /// Instances that reach no replica.
    pub cut_from_replicas: BTreeSet<usize>,
    /// Instances that do not reach the resource.
    pub cut_from_resource: BTreeSet<usize>,
    /// Messages between instances and replicas.
    pub messages_sent: u64,
    /// Their bytes.
    pub message_bytes: u64,
    /// Changes of owner, with the time at which the first replica had them.
    pub changes: Vec<(Time, OwnerChange)>,
    recorded_changes: BTreeSet<(Partition, u64, bool)>,
    /// A moment, and the steps that were done in it.
    steps_at: (Time, u64),
    /// When each instance has something to do next.
    wake_at: Vec<Time>,
    /// The same in the order of time.
    wake_queue: BTreeSet<(Time, usize)>,
    /// When an instance first acted on a partition on which another might act too.
    pub double_owner: Option<(Time, Partition)>,
}

/// Steps in one moment after which time counts as standing still.
const MAX_STEPS_AT_ONE_TIME: u64 = 1_000_000;

impl Simulation {
    /// A cluster whose faults and delays are drawn from `seed`.
    pub fn new(config: SimulationConfig, seed: u64) -> Simulation {
        let cluster = Cluster::new(config.replicas, LeaseState::default(), RaftConfig::default(), seed);
        let mut simulation = Simulation {
            config,
            cluster,
            managers: (0..config.replicas).map(|_| LeaseManager::new(config.lease)).collect(),
            instances: Vec::new(),
            mail: BTreeMap::new(),
            posted: 0,
            rng: SeededRng::new(seed ^ 0x0b5),
            fence: Fence::default(),
            done: BTreeMap::new(),
            journal: Vec::new(),
            cut_from_replicas: BTreeSet::new(),
            cut_from_resource: BTreeSet::new(),
            messages_sent: 0,
            message_bytes: 0,
            changes: Vec::new(),
            recorded_changes: BTreeSet::new(),
            steps_at: (0, 0),
            wake_at: Vec::new(),
            wake_queue: BTreeSet::new(),
            double_owner: None,
        };
        for at in 0..config.instances {
            simulation.instances.push(Instance::new(at));
            simulation.start(at);
        }
        simulation
    }

    /// The instance that owns a partition, as the leader has it.
    pub fn owner(&self, partition: Partition) -> Option<usize> {
        let leader = self.cluster.leader()?;
        let (owner, _) = self.cluster.nodes[leader].replica.as_ref()?.state_machine().owner(partition)?;
        self.instances.iter().position(|one| one.id == owner)
    }

    fn post(&mut self, delay: Time, mail: Mail) {
        let spread = self.rng.below(delay.max(1) as u64) as Time;
        let lost = self.cluster.network.loss_one_in > 0 && self.rng.one_in(self.cluster.network.loss_one_in);
        // Acts go over a connection: late, but not lost by themselves.
        if lost && matches!(mail, Mail::Request { .. } | Mail::Response { .. }) {
            return;
        }
        let twice = self.cluster.network.duplicate_one_in > 0
            && self.rng.one_in(self.cluster.network.duplicate_one_in);
        let mut late = 0;
        if self.cluster.network.max_extra_delay > 0 && self.rng.one_in(20) {
            late = self.rng.below(self.cluster.network.max_extra_delay as u64) as Time;
        }
        for _ in 0..1 + u64::from(twice) {
            self.posted += 1;
            self.mail.insert((self.cluster.now + delay + spread + late, self.posted), mail.clone());
        }
    }

    fn post_requests(&mut self, from: usize, requests: Outgoing) {
        for (to, request) in requests {
            self.messages_sent += 1;
            self.message_bytes += message::encode(&request).map_or(0, |bytes| bytes.len() as u64);
            if !self.cut_from_replicas.contains(&from) {
                self.post(self.cluster.network.delay, Mail::Request { to: to as usize - 1, from, request });
            }
        }
    }

    /// Carries out what a replica's step asks for, and what its manager adds.
    fn after(&mut self, at: usize) {
        let now = self.cluster.now;
        let answers = std::mem::take(&mut self.cluster.responses).into_iter();
        let (own, others): (Vec<_>, Vec<_>) = answers.partition(|(replica, _)| *replica == at);
        self.cluster.responses = others;
        let answers = own.into_iter().map(|one| one.1).collect();
        let Some(replica) = self.cluster.nodes[at].replica.as_mut() else { return };
        let (out, responses) = self.managers[at].poll(now, replica, answers);
        for change in replica.state_machine_mut().take_owner_changes() {
            // Each change once, from whichever replica has it first.
            if self.recorded_changes.insert((change.partition, change.token, change.session == 0)) {
                self.changes.push((now, change));
            }
        }
        self.carry(at, out, responses);
    }

    fn carry(&mut self, at: usize, out: cypresscleat_consensus::Ready, responses: Vec<(usize, Response)>) {
        let more = !out.responses.is_empty() || !out.messages.is_empty() || !out.writes.is_empty();
        self.cluster.process_ready(at, out);
        for (to, response) in responses {
            self.messages_sent += 1;
            self.message_bytes += message::encode(&response).map_or(0, |bytes| bytes.len() as u64);
            if !self.cut_from_replicas.contains(&to) {
                let from = at as NodeId + 1;
                self.post(self.cluster.network.delay, Mail::Response { to, from, response });
            }
        }
        if more && self.cluster.responses.iter().any(|one| one.0 == at) {
            self.after(at);
        }
    }

    /// Runs until the given moment.
    pub fn run(&mut self, until: Time) {
        self.wake_at.resize(self.instances.len(), Time::MAX);
        (0..self.instances.len()).for_each(|at| self.schedule(at));
        while self.cluster.now < until {
            self.step(until);
        }
    }

    fn step(&mut self, until: Time) {
        let steps = if self.steps_at.0 == self.cluster.now { self.steps_at.1 + 1 } else { 0 };
        self.steps_at = (self.cluster.now, steps);
        assert!(steps < MAX_STEPS_AT_ONE_TIME, "time stands still at {}", self.cluster.now);
        let mail = self.mail.first_key_value().map(|(key, _)| key.0);
        let due = self.wake_queue.first().map_or(until, |first| first.0);
        let next = until.min(mail.unwrap_or(until)).min(due);
        let next = next.max(self.cluster.now);
        // The replicas' own messages first, one message or deadline at a time.
        if self.cluster.step(next.max(self.cluster.now + 1)) {
            (0..self.config.replicas).for_each(|at| self.after(at));
            return;
        }
        self.cluster.now = next;
        if let Some(entry) = self.mail.first_entry().filter(|entry| entry.key().0 <= next) {
            let mail = entry.remove();
            return self.deliver(mail);
        }
        while let Some((_, at)) = self.wake_queue.first().copied().filter(|first| first.0 <= next) {
            self.wake(at);
            if self.wake_at[at] <= next {
                break; // it has more to do at once: after whatever else is due
            }
        }
    }

    fn deliver(&mut self, mail: Mail) {
        let now = self.cluster.now;
        match mail {
            Mail::Request { to, from, request } => {
                let Some(replica) = self.cluster.nodes[to].replica.as_mut() else { return };
                let (out, responses) = self.managers[to].handle(now, replica, from, request);
                self.carry(to, out, responses);
            }
            Mail::Response { to, from, response } => {
                if self.instances[to].client.is_some() {
                    self.instances[to].inbox.push(InboxMessage::Response(from, response));
                    self.wake(to);
                }
            }
            Mail::Act { from, partition, token, item } => {
                if self.cut_from_resource.contains(&from) {
                    return;
                }
                let accepted = self.fence.check(partition, token) || self.config.safeguards.ignore_tokens;
                let fresh = accepted && self.done.entry(partition).or_default().insert(item);
                let by = self.instances[from].id;
                let done_before = accepted && !fresh;
                self.journal.push(Act { at: now, partition, token, item, by, accepted, done_before });
                self.post(
                    self.config.act_interval / 2,
                    Mail::Acted { to: from, partition, token, item, accepted },
                );
            }
            Mail::Acted { to, partition, token, item, accepted } => {
                if self.instances[to].client.is_some() {
                    self.instances[to].inbox.push(InboxMessage::Acted { partition, token, item, accepted });
                    self.wake(to);
                }
            }
        }
    }

    /// Items done so far.
    pub fn items_done(&self) -> usize {
        self.done.values().map(BTreeSet::len).sum()
    }
}
