//! Faults of a simulation, and the invariants that hold through all of them.

use super::{Act, Mail, Simulation};
use crate::client::LeaseClient;
use crate::{Claim, NodeId, Partition, SeededRng, Time, SECOND};
use cypresscleat_consensus::sim::NetworkConditions;
use std::collections::BTreeMap;

/// An invariant that was violated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvariantViolation {
    /// An act was accepted under a token older than one before it.
    TokenFell {
        /// The act.
        act: Act,
        /// The highest token before it.
        highest: u64,
    },
    /// An item was done in place of another.
    OutOfOrder {
        /// The act.
        act: Act,
        /// The item whose turn it was.
        expected: u64,
    },
    /// Of the replicas' own invariants.
    Consensus(String),
}

impl Simulation {
    /// Starts an instance, in a new incarnation.
    pub fn start(&mut self, at: usize) {
        self.instances[at].incarnations += 1;
        let now = self.clock(at);
        let one = &mut self.instances[at];
        let claims = vec![Claim { task: 1, partitions: self.config.partitions, rank: 0 }];
        let replicas = (0..self.config.replicas).map(|replica| replica as NodeId + 1).collect();
        let mut client = LeaseClient::new(now, one.id, one.incarnations, claims, replicas);
        client.ignore_lease_end = self.config.safeguards.ignore_lease_end;
        (one.client, one.paused_until) = (Some(client), 0);
        one.work.clear();
        one.inbox.clear();
    }

    /// Kills the process of an instance.
    pub fn kill(&mut self, at: usize) {
        self.instances[at].client = None;
        self.instances[at].work.clear();
        self.instances[at].inbox.clear();
        self.instances[at].under_way.clear();
    }

    /// Stops the process of an instance for so long, in the middle of its acts; messages wait for it.
    pub fn pause(&mut self, at: usize, time: Time) {
        let now = self.clock(at);
        let one = &mut self.instances[at];
        one.paused_until = self.cluster.now + time;
        let Some(client) = &one.client else { return };
        for (partition, work) in one.work.iter().filter(|(_, work)| work.ticket.is_none()) {
            if client.valid_token(now, *partition) == Some(work.token) {
                let act = Mail::Act { from: at, partition: *partition, token: work.token, item: work.item };
                one.under_way.push(act);
            }
        }
    }

    /// The instance leaves by itself.
    pub fn drain(&mut self, at: usize) {
        let now = self.clock(at);
        let requests = self.instances[at].client.as_mut().map(|client| client.leave(now));
        self.instances[at].work.clear();
        self.post_requests(at, requests.unwrap_or_default());
    }

    /// One step of random faults, drawn from `rng`: processes that die, stand still, drain and come back, links that are cut and mended.
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
            6 => self.cut_off_replica(replica as NodeId + 1, rng),
            7 => self.cut_from_replicas.clear(),
            8 => self.cut_from_resource.clear(),
            9 => self.cluster.blocked_links.clear(),
            _ => {}
        }
        for at in 0..self.config.instances {
            if self.is_gone(at) && rng.one_in(3) {
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

    /// Cuts a replica off from the others, of each link one direction or both.
    fn cut_off_replica(&mut self, replica: NodeId, rng: &mut SeededRng) {
        for other in (1..=self.config.replicas as NodeId).filter(|other| *other != replica) {
            self.cluster.blocked_links.insert((replica, other));
            if rng.one_in(2) {
                self.cluster.blocked_links.insert((other, replica));
            }
        }
    }

    fn is_gone(&self, at: usize) -> bool {
        self.instances[at].client.as_ref().is_none_or(|client| client.has_left())
    }

    /// Mends all links; all processes run and are awake.
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
            if self.is_gone(at) {
                self.kill(at);
                self.start(at);
            }
        }
    }

    /// Checks the journal of the resource: tokens never fall, and items are done once and in their order.
    ///
    /// # Errors
    ///
    /// What was violated first.
    pub fn check_invariants(&self) -> Result<(), InvariantViolation> {
        let mut highest: BTreeMap<Partition, u64> = BTreeMap::new();
        let mut next: BTreeMap<Partition, u64> = BTreeMap::new();
        for act in self.journal.iter().filter(|act| act.accepted) {
            let high = highest.entry(act.partition).or_default();
            if act.token < *high {
                return Err(InvariantViolation::TokenFell { act: act.clone(), highest: *high });
            }
            *high = act.token;
            if act.done_before {
                continue;
            }
            let due = next.entry(act.partition).or_default();
            if act.item != *due {
                return Err(InvariantViolation::OutOfOrder { act: act.clone(), expected: *due });
            }
            *due += 1;
        }
        match &self.cluster.violation {
            Some(wrong) => Err(InvariantViolation::Consensus(wrong.clone())),
            None => Ok(()),
        }
    }
}
