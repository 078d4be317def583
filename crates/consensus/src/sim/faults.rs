//! Faults of nodes, links and disks.

use super::{NetworkConditions, Simulation};
use crate::{NodeId, Replica, SeededRng, StateMachine};

/// Fault rates: each value n is a probability of one in n for each call of [`Simulation::inject_faults`]; 0 is never.
#[derive(Clone, Copy, Debug)]
pub struct FaultRates {
    /// A node crashes.
    pub crashes: u64,
    /// Links are blocked, between two groups of nodes or in one direction.
    pub partitions: u64,
    /// A disk is lost, while all nodes are connected and up to date.
    pub lost_disks: u64,
    /// A disk is restored to an earlier state, while all nodes are connected and up to date.
    pub restored_disks: u64,
}

/// A stopped node is restarted with a probability of one in this many calls.
const RESTART_ONE_IN: u64 = 4;
/// Blocked links are unblocked with a probability of one in this many calls.
const REPAIR_ONE_IN: u64 = 8;
/// Replicas count as up to date where their commit indexes differ by less than this.
const MAX_COMMIT_LAG: u64 = 3;

fn is_due(rng: &mut SeededRng, one_in: u64) -> bool {
    one_in > 0 && rng.one_in(one_in)
}

impl<M: StateMachine> Simulation<M> {
    /// Draws faults and repairs from `rng` and applies them.
    pub fn inject_faults(&mut self, rates: FaultRates, rng: &mut SeededRng) {
        let node = rng.below(self.nodes.len() as u64) as usize;
        if is_due(rng, rates.crashes) {
            self.crash(node);
        }
        let stopped = self.nodes.iter().position(|node| node.replica.is_none());
        if let Some(stopped) = stopped.filter(|_| rng.one_in(RESTART_ONE_IN)) {
            self.start(stopped);
        }
        if is_due(rng, rates.partitions) {
            self.block_random_links(rng);
        } else if rng.one_in(REPAIR_ONE_IN) {
            self.blocked_links.clear();
        }
        if is_due(rng, rates.lost_disks) && self.is_healthy() {
            self.lose_disk(node);
        }
        if is_due(rng, rates.restored_disks) && self.is_healthy() {
            self.save_or_restore_disk(node);
        }
    }

    /// Unblocks all links, restores healthy network conditions and starts all stopped nodes.
    pub fn heal(&mut self) {
        self.blocked_links.clear();
        self.network = NetworkConditions::default();
        for at in 0..self.nodes.len() {
            if self.nodes[at].replica.is_none() {
                self.start(at);
            }
        }
    }

    fn block_random_links(&mut self, rng: &mut SeededRng) {
        self.blocked_links.clear();
        let groups = rng.next_u64();
        let is_between_groups = |from: NodeId, to: NodeId| (groups >> from) & 1 != (groups >> to) & 1;
        let ids = 1..=self.nodes.len() as NodeId;
        for (from, to) in ids.clone().flat_map(|from| ids.clone().map(move |to| (from, to))) {
            let is_one_way = rng.one_in(3);
            if is_between_groups(from, to) || is_one_way && rng.one_in(4) {
                self.blocked_links.insert((from, to));
            }
        }
    }

    /// Whether all nodes run, are members with their current disks, are connected and nearly up to date: one disk may be lost then.
    fn is_healthy(&self) -> bool {
        let commits = self.nodes.iter().filter_map(|node| node.replica.as_ref().map(Replica::commit_index));
        let (min, max, running) = (commits.clone().min(), commits.clone().max(), commits.count());
        let is_up_to_date = min.zip(max).is_some_and(|(min, max)| min + MAX_COMMIT_LAG > max);
        let leader = self.leader().and_then(|at| self.nodes[at].replica.as_ref());
        let has_all_members = leader.is_some_and(|leader| self.are_members(leader));
        running == self.nodes.len() && has_all_members && self.blocked_links.is_empty() && is_up_to_date
    }

    fn are_members(&self, leader: &Replica<M>) -> bool {
        let members = leader.members();
        let is_member = |disk| members.iter().any(|member| member.disk == disk);
        members.len() == self.nodes.len() && self.nodes.iter().all(|node| is_member(node.disk.id))
    }

    /// Restores the saved disk where its node still has the disk of that identity; otherwise saves the disk of `node`.
    fn save_or_restore_disk(&mut self, node: usize) {
        match self.saved_disk.take() {
            Some((saved, disk)) if disk.id == self.nodes[saved].disk.id => self.restore_disk(saved, disk),
            _ => self.saved_disk = Some((node, self.disk(node))),
        }
    }
}
