//! Replicas, instances that own partitions, and a resource that the instances operate on, in one simulated network with simulated disks.
//! Instances are paused, crash and drain, links fail on any side, clocks drift; the resource writes the journal that the invariants are
//! checked against. Deterministic by seed.

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
    /// The resource compares no fencing tokens.
    pub ignore_tokens: bool,
    /// Instances continue after the end of their lease.
    pub ignore_lease_end: bool,
}

/// Size and timing of a simulated cluster.
#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    /// Number of replicas.
    pub replicas: usize,
    /// Number of instances.
    pub instances: usize,
    /// Number of partitions of the one task.
    pub partitions: u32,
    /// Length of a lease.
    pub lease: Time,
    /// Round trip time from an instance to the resource, and time between two operations of an owner on a partition; 0 for no operations.
    pub operation_interval: Time,
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
            operation_interval: 20 * MS,
            safeguards,
        }
    }
}

/// An operation that reached the resource.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResourceOperation {
    /// Time of arrival.
    pub at: Time,
    /// The partition.
    pub partition: Partition,
    /// The fencing token of the operation.
    pub token: u64,
    /// The item of work.
    pub item: u64,
    /// The instance.
    pub by: NodeId,
    /// Whether the token was valid.
    pub accepted: bool,
    /// The item was done before: the operation has no effect.
    pub is_duplicate: bool,
}

/// A message between instances, replicas and the resource.
#[derive(Clone, Debug)]
enum InFlightMessage {
    Request { to: usize, from: usize, request: Request },
    Response { to: usize, from: NodeId, response: Response },
    ResourceOperation { from: usize, partition: Partition, token: u64, item: u64 },
    ResourceResponse { to: usize, partition: Partition, token: u64, item: u64, accepted: bool },
}

/// The simulated cluster.
pub struct Simulation {
    /// The configuration of the cluster.
    pub config: SimulationConfig,
    /// The replicas and their network.
    pub cluster: Cluster<LeaseState>,
    /// The lease manager of each replica.
    pub managers: Vec<LeaseManager<usize>>,
    /// The instances.
    pub instances: Vec<Instance>,
    in_flight: BTreeMap<(Time, u64), InFlightMessage>,
    message_sequence: u64,
    rng: SeededRng,
    fence: Fence,
    done_items: BTreeMap<Partition, BTreeSet<u64>>,
    /// All operations that reached the resource.
    pub journal: Vec<ResourceOperation>,
    /// Instances without a connection to the replicas.
    pub cut_from_replicas: BTreeSet<usize>,
    /// Instances without a connection to the resource.
    pub cut_from_resource: BTreeSet<usize>,
    /// Number of messages between instances and replicas.
    pub messages_sent: u64,
    /// Bytes of these messages.
    pub message_bytes: u64,
    /// Changes of owner, with the time at which the first replica applied them.
    pub changes: Vec<(Time, OwnerChange)>,
    recorded_changes: BTreeSet<(Partition, u64, bool)>,
    /// The current time, and the number of steps at that time.
    steps_at: (Time, u64),
    /// Time of each instance's next deadline.
    wake_at: Vec<Time>,
    /// The same deadlines, in the order of time.
    wake_queue: BTreeSet<(Time, usize)>,
    /// When an instance first operated on a partition while another instance had a valid lease on it.
    pub concurrent_owners: Option<(Time, Partition)>,
}

/// Number of steps at one time after which the simulation fails as stuck.
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
            in_flight: BTreeMap::new(),
            message_sequence: 0,
            rng: SeededRng::new(seed ^ 0x0b5),
            fence: Fence::default(),
            done_items: BTreeMap::new(),
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
            concurrent_owners: None,
        };
        for at in 0..config.instances {
            simulation.instances.push(Instance::new(at));
            simulation.start(at);
        }
        simulation
    }

    /// The instance that owns a partition, according to the leader's state.
    pub fn owner(&self, partition: Partition) -> Option<usize> {
        let leader = self.cluster.leader()?;
        let (owner, _) = self.cluster.nodes[leader].replica.as_ref()?.state_machine().owner(partition)?;
        self.instances.iter().position(|instance| instance.id == owner)
    }

    fn send(&mut self, delay: Time, message: InFlightMessage) {
        let jitter = self.rng.below(delay.max(1) as u64) as Time;
        let is_lost =
            self.cluster.network.loss_one_in > 0 && self.rng.one_in(self.cluster.network.loss_one_in);
        // Operations go over a connection: they are delayed, but not lost.
        if is_lost && matches!(message, InFlightMessage::Request { .. } | InFlightMessage::Response { .. }) {
            return;
        }
        let is_duplicated = self.cluster.network.duplicate_one_in > 0
            && self.rng.one_in(self.cluster.network.duplicate_one_in);
        let mut extra_delay = 0;
        if self.cluster.network.max_extra_delay > 0 && self.rng.one_in(20) {
            extra_delay = self.rng.below(self.cluster.network.max_extra_delay as u64) as Time;
        }
        for _ in 0..1 + u64::from(is_duplicated) {
            self.message_sequence += 1;
            self.in_flight.insert(
                (self.cluster.now + delay + jitter + extra_delay, self.message_sequence),
                message.clone(),
            );
        }
    }

    fn send_requests(&mut self, from: usize, requests: Outgoing) {
        for (to, request) in requests {
            self.messages_sent += 1;
            self.message_bytes += message::encode(&request).map_or(0, |bytes| bytes.len() as u64);
            if !self.cut_from_replicas.contains(&from) {
                self.send(
                    self.cluster.network.delay,
                    InFlightMessage::Request { to: to as usize - 1, from, request },
                );
            }
        }
    }

    /// Passes the responses of a replica's step to its manager, and processes the effects.
    fn poll_manager(&mut self, at: usize) {
        let now = self.cluster.now;
        let responses = std::mem::take(&mut self.cluster.responses).into_iter();
        let (own, others): (Vec<_>, Vec<_>) = responses.partition(|(replica, _)| *replica == at);
        self.cluster.responses = others;
        let outcomes = own.into_iter().map(|response| response.1).collect();
        let Some(replica) = self.cluster.nodes[at].replica.as_mut() else { return };
        let (ready, responses) = self.managers[at].poll(now, replica, outcomes);
        for change in replica.state_machine_mut().take_owner_changes() {
            // Each change is recorded once, from the first replica that applies it.
            if self.recorded_changes.insert((change.partition, change.token, change.session == 0)) {
                self.changes.push((now, change));
            }
        }
        self.process_ready(at, ready, responses);
    }

    fn process_ready(
        &mut self,
        at: usize,
        ready: cypresscleat_consensus::Ready,
        responses: Vec<(usize, Response)>,
    ) {
        let has_effects =
            !ready.responses.is_empty() || !ready.messages.is_empty() || !ready.writes.is_empty();
        self.cluster.process_ready(at, ready);
        for (to, response) in responses {
            self.messages_sent += 1;
            self.message_bytes += message::encode(&response).map_or(0, |bytes| bytes.len() as u64);
            if !self.cut_from_replicas.contains(&to) {
                let from = at as NodeId + 1;
                self.send(self.cluster.network.delay, InFlightMessage::Response { to, from, response });
            }
        }
        if has_effects && self.cluster.responses.iter().any(|response| response.0 == at) {
            self.poll_manager(at);
        }
    }

    /// Runs until the given time.
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
        assert!(steps < MAX_STEPS_AT_ONE_TIME, "simulation makes no progress at {}", self.cluster.now);
        let next_arrival = self.in_flight.first_key_value().map(|(key, _)| key.0);
        let next_wake = self.wake_queue.first().map_or(until, |first| first.0);
        let next = until.min(next_arrival.unwrap_or(until)).min(next_wake);
        let next = next.max(self.cluster.now);
        // The replicas' own messages come first, one message or deadline at a time.
        if self.cluster.step(next.max(self.cluster.now + 1)) {
            (0..self.config.replicas).for_each(|at| self.poll_manager(at));
            return;
        }
        self.cluster.now = next;
        if let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= next) {
            let message = entry.remove();
            return self.deliver(message);
        }
        while let Some((_, at)) = self.wake_queue.first().copied().filter(|first| first.0 <= next) {
            self.wake(at);
            if self.wake_at[at] <= next {
                break; // its next deadline is now: other due events come first
            }
        }
    }

    fn deliver(&mut self, message: InFlightMessage) {
        let now = self.cluster.now;
        match message {
            InFlightMessage::Request { to, from, request } => {
                let Some(replica) = self.cluster.nodes[to].replica.as_mut() else { return };
                let (ready, responses) = self.managers[to].handle(now, replica, from, request);
                self.process_ready(to, ready, responses);
            }
            InFlightMessage::Response { to, from, response } => {
                if self.instances[to].client.is_some() {
                    self.instances[to].inbox.push(InboxMessage::Response(from, response));
                    self.wake(to);
                }
            }
            InFlightMessage::ResourceOperation { from, partition, token, item } => {
                if self.cut_from_resource.contains(&from) {
                    return;
                }
                let accepted = self.fence.check(partition, token) || self.config.safeguards.ignore_tokens;
                let is_new = accepted && self.done_items.entry(partition).or_default().insert(item);
                let by = self.instances[from].id;
                let is_duplicate = accepted && !is_new;
                self.journal.push(ResourceOperation {
                    at: now,
                    partition,
                    token,
                    item,
                    by,
                    accepted,
                    is_duplicate,
                });
                self.send(
                    self.config.operation_interval / 2,
                    InFlightMessage::ResourceResponse { to: from, partition, token, item, accepted },
                );
            }
            InFlightMessage::ResourceResponse { to, partition, token, item, accepted } => {
                if self.instances[to].client.is_some() {
                    self.instances[to].inbox.push(InboxMessage::ResourceResponse {
                        partition,
                        token,
                        item,
                        accepted,
                    });
                    self.wake(to);
                }
            }
        }
    }

    /// Number of items done so far.
    pub fn items_done(&self) -> usize {
        self.done_items.values().map(BTreeSet::len).sum()
    }
}
