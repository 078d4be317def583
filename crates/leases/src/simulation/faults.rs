//! Faults of a simulation, and the invariants that hold under all of them.

use super::{InFlightMessage, ResourceOperation, Simulation};
use crate::client::LeaseClient;
use crate::{Claim, NodeId, Partition, SeededRng, Time, SECOND};
use cypresscleat_consensus::sim::NetworkConditions;
use std::collections::BTreeMap;

/// An invariant that was violated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvariantViolation {
    /// An operation was accepted with a token lower than an earlier one.
    TokenRegressed {
        /// The operation.
        operation: ResourceOperation,
        /// The highest earlier token.
        highest: u64,
    },
    /// An item was done out of order.
    OutOfOrder {
        /// The operation.
        operation: ResourceOperation,
        /// The item that was expected.
        expected: u64,
    },
    /// An invariant of the replicas.
    Consensus(String),
}

impl Simulation {
    /// Starts an instance, in a new incarnation.
    pub fn start(&mut self, at: usize) {
        self.instances[at].incarnations += 1;
        let now = self.clock(at);
        let instance = &mut self.instances[at];
        let claims = vec![Claim { task: 1, partitions: self.config.partitions, rank: 0 }];
        let replicas = (0..self.config.replicas).map(|replica| replica as NodeId + 1).collect();
        let mut client = LeaseClient::new(now, instance.id, instance.incarnations, claims, replicas);
        client.ignore_lease_end = self.config.safeguards.ignore_lease_end;
        (instance.client, instance.paused_until) = (Some(client), 0);
        instance.work.clear();
        instance.inbox.clear();
    }

    /// Kills the process of an instance.
    pub fn kill(&mut self, at: usize) {
        self.instances[at].client = None;
        self.instances[at].work.clear();
        self.instances[at].inbox.clear();
        self.instances[at].unsent_operations.clear();
    }

    /// Pauses the process of an instance for `time`, in the middle of its operations; messages wait for it.
    pub fn pause(&mut self, at: usize, time: Time) {
        let now = self.clock(at);
        let instance = &mut self.instances[at];
        instance.paused_until = self.cluster.now + time;
        let Some(client) = &instance.client else { return };
        for (partition, work) in instance.work.iter().filter(|(_, work)| work.ticket.is_none()) {
            if client.valid_token(now, *partition) == Some(work.token) {
                let operation = InFlightMessage::ResourceOperation {
                    from: at,
                    partition: *partition,
                    token: work.token,
                    item: work.item,
                };
                instance.unsent_operations.push(operation);
            }
        }
    }

    /// Drains an instance: it ends its session.
    pub fn drain(&mut self, at: usize) {
        let now = self.clock(at);
        let requests = self.instances[at].client.as_mut().map(|client| client.leave(now));
        self.instances[at].work.clear();
        self.send_requests(at, requests.unwrap_or_default());
    }

    /// One step of random faults drawn from `rng`: processes crash, are paused, drain and restart, and links fail and are restored.
    pub fn inject_faults(&mut self, rng: &mut SeededRng) {
        let at = rng.below(self.config.instances as u64) as usize;
        let replica = rng.below(self.config.replicas as u64) as usize;
        match rng.below(14) {
            0 => self.kill(at),
            1 => self.pause(at, [SECOND, 3 * SECOND, 9 * SECOND][rng.below(3) as usize]),
            2 => self.drain(at),
            3 => drop(self.cut_from_replicas.insert(at)),
            4 => drop(self.cut_from_resource.insert(at)),
            5 => self.cluster.crash(replica),
            6 => self.partition_replica(replica as NodeId + 1, rng),
            7 => self.cut_from_replicas.clear(),
            8 => self.cut_from_resource.clear(),
            9 => self.cluster.blocked_links.clear(),
            _ => {}
        }
        for at in 0..self.config.instances {
            if self.has_stopped(at) && rng.one_in(3) {
                self.kill(at);
                self.start(at);
            }
        }
        for at in 0..self.config.replicas {
            if self.cluster.nodes[at].replica.is_none() && rng.one_in(3) {
                self.cluster.start(at);
            }
        }
    }

    /// Partitions a replica from the others, in one or both directions of each link.
    fn partition_replica(&mut self, replica: NodeId, rng: &mut SeededRng) {
        for other in (1..=self.config.replicas as NodeId).filter(|other| *other != replica) {
            self.cluster.blocked_links.insert((replica, other));
            if rng.one_in(2) {
                self.cluster.blocked_links.insert((other, replica));
            }
        }
    }

    fn has_stopped(&self, at: usize) -> bool {
        self.instances[at].client.as_ref().is_none_or(|client| client.has_left())
    }

    /// Restores all links; all processes run and are not paused.
    pub fn heal(&mut self) {
        self.cut_from_replicas.clear();
        self.cut_from_resource.clear();
        self.cluster.blocked_links.clear();
        self.cluster.network = NetworkConditions::default();
        for at in 0..self.config.replicas {
            if self.cluster.nodes[at].replica.is_none() {
                self.cluster.start(at);
            }
        }
        for at in 0..self.config.instances {
            self.instances[at].paused_until = 0;
            if self.has_stopped(at) {
                self.kill(at);
                self.start(at);
            }
        }
    }

    /// Checks the journal of the resource: tokens never decrease, and each item is done once and in order.
    ///
    /// # Errors
    ///
    /// Returns the first violation.
    pub fn check_invariants(&self) -> Result<(), InvariantViolation> {
        let mut highest: BTreeMap<Partition, u64> = BTreeMap::new();
        let mut next: BTreeMap<Partition, u64> = BTreeMap::new();
        for operation in self.journal.iter().filter(|operation| operation.accepted) {
            let highest_token = highest.entry(operation.partition).or_default();
            if operation.token < *highest_token {
                return Err(InvariantViolation::TokenRegressed {
                    operation: operation.clone(),
                    highest: *highest_token,
                });
            }
            *highest_token = operation.token;
            if operation.is_duplicate {
                continue;
            }
            let expected_item = next.entry(operation.partition).or_default();
            if operation.item != *expected_item {
                return Err(InvariantViolation::OutOfOrder {
                    operation: operation.clone(),
                    expected: *expected_item,
                });
            }
            *expected_item += 1;
        }
        match &self.cluster.violation {
            Some(violation) => Err(InvariantViolation::Consensus(violation.clone())),
            None => Ok(()),
        }
    }
}
