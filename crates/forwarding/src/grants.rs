//! Who may grant concurrency slots on workers, and which grants are valid. A planner leads while its id is the least of the planners
//! that are present; a planner that becomes leader takes an epoch past all that it has heard of, and grants nothing until the grants
//! of earlier leaders must have ended. A forwarder accepts grants of the newest epoch that it knows only.
//!
//! # The bound
//!
//! A grant holds for `duration` from when its planner made it, and its forwarder uses it for no longer than `duration` from when it
//! sent the load report that the grant answers, which was earlier. A planner that becomes leader waits for [`GRANT_DURATION`] and
//! [`MAX_CLOCK_SKEW`]. So while clocks run equally fast to within that skew in that time, no two planners' grants hold at once: of
//! each worker no more than its slots is granted. Two planners that both believe that they lead, each for longer than that wait (the
//! network between them partitioned), grant the slots twice at the most, once for each side, and a forwarder counts one epoch only.

use crate::messages::Grant;
use crate::{NodeId, Time, MS, SECOND};
use std::collections::{BTreeMap, VecDeque};

/// How long grants last.
pub const GRANT_DURATION: Time = 2 * SECOND;
/// How often they are renewed.
pub const GRANT_RENEWAL_INTERVAL: Time = GRANT_DURATION / 4;
/// Clocks may run apart by this much in that time.
pub const MAX_CLOCK_SKEW: Time = 50 * MS;

/// No grant counts for more concurrency slots than this, whatever a planner says.
pub const MAX_GRANTED_SLOTS: u32 = 100_000;
/// Load reports whose answers are still accepted.
const MAX_OPEN_REPORTS: usize = 8;

/// What all grants of one message have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GrantHeader {
    /// Epoch of the planner that made them.
    pub epoch: u64,
    /// Their number in that epoch.
    pub number: u64,
    /// How long they hold from when they were made.
    pub duration: Time,
}

/// A planner's side: whether it leads, and under which epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PlannerElection {
    own: NodeId,
    epoch: u64,
    /// The newest epoch that the planner has heard of.
    seen: u64,
    /// While the planner leads: from when on it may grant.
    grants_from: Option<Time>,
    /// Number of the planner's last grants.
    number: u64,
    /// How long a new leader waits before it grants.
    wait: Time,
}

/// A change of who leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipChange {
    /// The planner leads.
    BecameLeader {
        /// Its epoch.
        epoch: u64,
        /// From when on it may grant.
        from: Time,
    },
    /// The planner does not lead any more.
    BecameFollower,
}

impl PlannerElection {
    /// A planner that does not lead yet.
    pub fn new(own: NodeId) -> PlannerElection {
        PlannerElection::with_wait(own, GRANT_DURATION + MAX_CLOCK_SKEW)
    }

    /// Another wait than the rule's, to show what the rule is for.
    pub fn with_wait(own: NodeId, wait: Time) -> PlannerElection {
        PlannerElection { own, wait, ..PlannerElection::default() }
    }

    /// Whether the planner leads; it may have to wait before it grants.
    pub fn is_leader(&self) -> bool {
        self.grants_from.is_some()
    }

    /// Another member sent an epoch. An epoch past the planner's own shows another leader: if this planner leads, it begins again
    /// with a later epoch.
    pub fn observe_epoch(&mut self, now: Time, epoch: u64) -> Option<LeadershipChange> {
        self.seen = self.seen.max(epoch);
        if self.is_leader() && self.seen > self.epoch {
            return Some(self.begin(now));
        }
        None
    }

    /// Takes the planners that are present, this one included or not.
    pub fn update_planners(
        &mut self,
        now: Time,
        others: impl Iterator<Item = NodeId>,
    ) -> Option<LeadershipChange> {
        let least = others.fold(self.own, NodeId::min);
        match (least == self.own, self.is_leader()) {
            (true, false) => Some(self.begin(now)),
            (false, true) => {
                self.grants_from = None;
                Some(LeadershipChange::BecameFollower)
            }
            _ => None,
        }
    }

    fn begin(&mut self, now: Time) -> LeadershipChange {
        // Epochs of two planners never meet: the last bits are the planner's own.
        self.epoch = (((self.seen >> 16) + 1) << 16) | (self.own & 0xffff);
        self.seen = self.epoch;
        let from = now + self.wait;
        self.grants_from = Some(from);
        LeadershipChange::BecameLeader { epoch: self.epoch, from }
    }

    /// The header of the next grants, if it may grant now.
    pub fn next_grant(&mut self, now: Time) -> Option<GrantHeader> {
        self.grants_from.filter(|from| *from <= now)?;
        self.number += 1;
        Some(GrantHeader { epoch: self.epoch, number: self.number, duration: GRANT_DURATION })
    }

    /// The planner's epoch, the last one if it does not lead.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }
}

/// A planner's side where the control replicas say who leads: it grants under the fencing token of its lease, and nothing that would
/// outlive the lease. The next holder of the lease may grant at once: all that was granted before has ended by then. So of each worker
/// no more than its slots is granted, once, also where the network between planners is partitioned, while clocks run equally fast to
/// within the bound of the leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeasedGrants {
    token: u64,
    number: u64,
    /// When the last grant ends.
    last_end: Time,
}

/// The planner makes no shorter grants: they would end on their way.
pub const MIN_GRANT_DURATION: Time = GRANT_DURATION / 8;
/// Puts tokens past every epoch that planners took by themselves: those count changes of leader.
const TOKEN_EPOCH_SHIFT: u32 = 20;

impl LeasedGrants {
    /// The header of the next grants, while the lease with that token holds for `time_left` at the least and its clock shows
    /// `now`.
    pub fn next_grant(&mut self, now: Time, token: u64, time_left: Time) -> Option<GrantHeader> {
        let duration = time_left.min(GRANT_DURATION);
        if duration < MIN_GRANT_DURATION {
            return None;
        }
        if token != self.token {
            (self.token, self.number) = (token, 0);
        }
        self.number += 1;
        self.last_end = self.last_end.max(now + duration);
        Some(GrantHeader { epoch: token << TOKEN_EPOCH_SHIFT, number: self.number, duration })
    }

    /// When all grants of this planner have ended.
    pub fn all_ended_at(&self) -> Time {
        self.last_end
    }
}

/// A forwarder's side: the grants that it has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GrantTable {
    epoch: u64,
    number: u64,
    valid_until: Time,
    /// Concurrency slots by worker.
    grants: BTreeMap<NodeId, u32>,
    /// The last load reports by number, and when they were sent.
    sent_reports: VecDeque<(u32, Time)>,
    /// Number of the last one.
    last_report: u32,
}

/// Why grants were not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantRejection {
    /// The grants are of an epoch before one that is known.
    StaleEpoch,
    /// The grants came before already, or were overtaken by later ones.
    Duplicate,
    /// The grants answer no load report that is remembered: their age cannot be known.
    UnknownReport,
    /// The grants had ended when they came.
    Expired,
}

impl GrantTable {
    /// A load report is sent; returns its number. Grants that answer it are no older than it.
    pub fn start_report(&mut self, now: Time) -> u32 {
        self.last_report = self.last_report.wrapping_add(1);
        self.sent_reports.push_back((self.last_report, now));
        if self.sent_reports.len() > MAX_OPEN_REPORTS {
            self.sent_reports.pop_front();
        }
        self.last_report
    }

    /// Accepts the grants that answer the load report of that number, in place of those before.
    ///
    /// # Errors
    /// Says why they are not accepted.
    pub fn accept(
        &mut self,
        now: Time,
        header: GrantHeader,
        report: u32,
        grants: &[Grant],
    ) -> Result<(), GrantRejection> {
        let GrantHeader { epoch, number, duration } = header;
        if epoch < self.epoch {
            return Err(GrantRejection::StaleEpoch);
        }
        if epoch == self.epoch && number <= self.number {
            return Err(GrantRejection::Duplicate);
        }
        // The epoch is the newest even where its grants are not accepted: earlier grants are not valid any more.
        if epoch > self.epoch {
            self.grants.clear();
            self.valid_until = Time::MIN;
        }
        (self.epoch, self.number) = (epoch, number);
        let answered = self.sent_reports.iter().find(|(sent, _)| *sent == report);
        let sent_at = answered.ok_or(GrantRejection::UnknownReport)?.1;
        let valid_until = sent_at + duration.min(GRANT_DURATION);
        if valid_until <= now {
            return Err(GrantRejection::Expired);
        }
        self.valid_until = valid_until;
        let bounded = |grant: &Grant| (grant.worker, grant.slots.min(MAX_GRANTED_SLOTS));
        self.grants = grants.iter().map(bounded).collect();
        Ok(())
    }

    /// Concurrency slots granted on a worker now; `None` where no grants are valid.
    pub fn slots(&self, now: Time, worker: NodeId) -> Option<u32> {
        self.is_valid(now).then(|| self.grants.get(&worker).copied().unwrap_or(0))
    }

    /// Whether the grants are valid now.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.valid_until
    }

    /// When the grants end.
    pub fn valid_until(&self) -> Time {
        self.valid_until
    }

    /// The newest epoch that is known.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Concurrency slots granted on all workers now.
    pub fn total_slots(&self, now: Time) -> u64 {
        if !self.is_valid(now) {
            return 0;
        }
        self.grants.values().map(|slots| u64::from(*slots)).sum()
    }
}
