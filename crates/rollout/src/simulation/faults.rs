//! Injects faults into a simulation, and repairs them.

use super::Simulation;
use crate::state::UnreachableMembers;
use crate::{NodeId, Time, MS, SECOND};

/// Maximum number of members that join in addition to those at the start.
const MAX_JOINED: usize = 4;

impl Simulation {
    /// Injects random faults of all kinds and proposes changes among them, for the given time.
    pub fn inject_faults(&mut self, time: Time) {
        let end = self.consensus.now + time;
        let mut proposals = 0;
        while self.consensus.now < end && self.violation.is_none() && self.consensus.violation.is_none() {
            let until = self.consensus.now + 50 * MS + self.rng.below(500) as Time * MS;
            let at = self.rng.below(self.members.len() as u64) as usize;
            let replica = self.rng.below(self.config.replicas as u64) as usize;
            match self.rng.below(15) {
                fault @ 0..=7 => self.inject_member_fault(fault, at),
                8 => self.consensus.crash(replica),
                9 => self.start_stopped_replicas(),
                10 => {
                    let other = self.rng.below(self.config.replicas as u64) as NodeId + 1;
                    self.consensus.blocked_links.insert((replica as NodeId + 1, other));
                }
                11 => self.consensus.blocked_links.clear(),
                12 if self.members.len() < self.config.members + MAX_JOINED => drop(self.join()),
                _ => {
                    proposals += 1;
                    self.propose_random(at, proposals);
                }
            }
            self.run(until);
        }
    }

    fn inject_member_fault(&mut self, fault: u64, at: usize) {
        match fault {
            0 => self.kill(at),
            1 | 2 => self.start_if_stopped(at),
            3 => {
                let time = self.rng.below(40) as Time * SECOND / 10;
                self.stall(at, time);
            }
            4 => drop(self.isolated.insert(at)),
            5 => self.isolated.clear(),
            6 => self.lose_disk(at),
            _ => self.drain(at),
        }
    }

    /// Proposes a change under random rules, which the member at `at` may refuse.
    fn propose_random(&mut self, at: usize, proposals: u32) {
        let mut rules = self.config.rules;
        rules.barrier = self.rng.one_in(2);
        if self.rng.one_in(4) {
            rules.unreachable = match rules.unreachable {
                UnreachableMembers::Fence => UnreachableMembers::Wait,
                UnreachableMembers::Wait => UnreachableMembers::Fence,
            };
        }
        let is_refused = self.rng.one_in(3);
        let next = self.proposed_at.keys().next_back().copied().unwrap_or(0) + 1;
        if is_refused {
            self.members[at].refuses.insert(next);
        }
        self.propose(self.active_version(), rules, &format!("text {proposals}"));
    }

    /// Repairs all links, restarts all processes and wakes them. Messages are still lost and delayed.
    pub fn heal(&mut self) {
        self.isolated.clear();
        self.consensus.blocked_links.clear();
        self.start_stopped_replicas();
        for at in 0..self.members.len() {
            self.members[at].stalled_until = self.members[at].stalled_until.min(self.consensus.now);
            self.start_if_stopped(at);
        }
    }

    fn start_stopped_replicas(&mut self) {
        for at in 0..self.config.replicas {
            if self.consensus.nodes[at].replica.is_none() {
                self.consensus.start(at);
            }
        }
    }

    fn start_if_stopped(&mut self, at: usize) {
        if self.members[at].member.is_none() || self.members[at].is_drained {
            self.start(at);
        }
    }
}
