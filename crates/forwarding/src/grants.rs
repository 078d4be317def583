//! Who may grant concurrency slots on workers, and which grants are valid. A planner leads while its id is the lowest of all present
//! planners. A planner that becomes leader takes an epoch above every epoch that it has received, and grants nothing until the
//! grants of earlier leaders must have ended. A forwarder accepts only grants of the newest epoch that it knows.
//!
//! # The bound
//!
//! A grant is valid for `duration` from its creation by the planner. Its forwarder uses the grant for at most `duration` from the
//! sending of the load report that the grant answers, which is earlier. A planner that becomes leader waits for [`GRANT_DURATION`]
//! plus [`MAX_CLOCK_SKEW`]. So while clocks drift apart by no more than that skew in that time, the grants of two planners are never
//! valid at once, and no worker has more slots granted than it has. If a network partition lets two planners both lead for longer
//! than that wait, the slots are granted at most twice, once on each side, and a forwarder uses the grants of one epoch only.

use crate::messages::Grant;
use crate::{NodeId, Time, MS, SECOND};
use std::collections::{BTreeMap, VecDeque};

/// Validity of grants.
pub const GRANT_DURATION: Time = 2 * SECOND;
/// Interval between renewals of grants.
pub const GRANT_RENEWAL_INTERVAL: Time = GRANT_DURATION / 4;
/// Maximum drift between two clocks within [`GRANT_DURATION`].
pub const MAX_CLOCK_SKEW: Time = 50 * MS;

/// Upper bound of the concurrency slots of one grant, applied to whatever a planner sends.
pub const MAX_GRANTED_SLOTS: u32 = 100_000;
/// Maximum number of remembered load reports; grants that answer older ones are not accepted.
const MAX_OPEN_REPORTS: usize = 8;

/// Common data of all grants in one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GrantHeader {
    /// Epoch of the planner that created the grants.
    pub epoch: u64,
    /// Number of the message in that epoch.
    pub number: u64,
    /// Validity from the creation of the grants.
    pub duration: Time,
}

/// The planner's side: whether it leads, and under which epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PlannerElection {
    own: NodeId,
    epoch: u64,
    /// The newest epoch that the planner has received.
    newest_seen_epoch: u64,
    /// While the planner leads: the time from which it may grant.
    grants_from: Option<Time>,
    /// Number of the planner's last grants message.
    number: u64,
    /// Delay between becoming leader and the first grant.
    grant_delay: Time,
}

/// A change of a planner's leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipChange {
    /// The planner became leader.
    BecameLeader {
        /// Its epoch.
        epoch: u64,
        /// The time from which it may grant.
        from: Time,
    },
    /// The planner is no longer leader.
    BecameFollower,
}

impl PlannerElection {
    /// Creates a planner that does not lead yet.
    pub fn new(own: NodeId) -> PlannerElection {
        PlannerElection::with_grant_delay(own, GRANT_DURATION + MAX_CLOCK_SKEW)
    }

    /// Creates a planner with another wait than the rule's, to show the effect of the rule.
    pub fn with_grant_delay(own: NodeId, grant_delay: Time) -> PlannerElection {
        PlannerElection { own, grant_delay, ..PlannerElection::default() }
    }

    /// Whether the planner leads; it may have to wait before it grants.
    pub fn is_leader(&self) -> bool {
        self.grants_from.is_some()
    }

    /// Handles an epoch from another member. An epoch above the planner's own shows another leader: if this planner leads, it
    /// starts a new, later epoch.
    pub fn observe_epoch(&mut self, now: Time, epoch: u64) -> Option<LeadershipChange> {
        self.newest_seen_epoch = self.newest_seen_epoch.max(epoch);
        if self.is_leader() && self.newest_seen_epoch > self.epoch {
            return Some(self.start_epoch(now));
        }
        None
    }

    /// Updates the leadership from the present planners; `others` may include this one.
    pub fn update_planners(
        &mut self,
        now: Time,
        others: impl Iterator<Item = NodeId>,
    ) -> Option<LeadershipChange> {
        let lowest = others.fold(self.own, NodeId::min);
        match (lowest == self.own, self.is_leader()) {
            (true, false) => Some(self.start_epoch(now)),
            (false, true) => {
                self.grants_from = None;
                Some(LeadershipChange::BecameFollower)
            }
            _ => None,
        }
    }

    fn start_epoch(&mut self, now: Time) -> LeadershipChange {
        // The low 16 bits come from the planner's id, so that two planners have different epochs.
        self.epoch = (((self.newest_seen_epoch >> 16) + 1) << 16) | (self.own & 0xffff);
        self.newest_seen_epoch = self.epoch;
        let from = now + self.grant_delay;
        self.grants_from = Some(from);
        LeadershipChange::BecameLeader { epoch: self.epoch, from }
    }

    /// The header of the next grants, if the planner may grant now.
    pub fn next_grant(&mut self, now: Time) -> Option<GrantHeader> {
        self.grants_from.filter(|from| *from <= now)?;
        self.number += 1;
        Some(GrantHeader { epoch: self.epoch, number: self.number, duration: GRANT_DURATION })
    }

    /// The planner's epoch, or its last one if it does not lead.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }
}

/// The planner's side where a lease from the control replicas determines the leader. The planner grants under the fencing token of
/// its lease, and no grant outlives the lease. The next lease holder may grant at once, as all earlier grants have ended by then. So
/// no worker has more slots granted than it has, even if the network between planners is partitioned, while clocks drift apart by no
/// more than the bound of the leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeasedGrants {
    token: u64,
    number: u64,
    /// End of the last grant.
    last_end: Time,
}

/// Minimum duration of a grant: a shorter one could end in transit.
pub const MIN_GRANT_DURATION: Time = GRANT_DURATION / 8;
/// Puts epochs from fencing tokens above every epoch from [`PlannerElection`], which counts changes of leader.
const TOKEN_EPOCH_SHIFT: u32 = 20;

impl LeasedGrants {
    /// The header of the next grants, if the lease with that token is valid for at least `time_left` more. `now` is the time of the
    /// lease's clock.
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

    /// The time at which all grants of this planner have ended.
    pub fn all_ended_at(&self) -> Time {
        self.last_end
    }
}

/// The forwarder's side: its current grants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GrantTable {
    epoch: u64,
    number: u64,
    valid_until: Time,
    /// Concurrency slots by worker.
    grants: BTreeMap<NodeId, u32>,
    /// Number and sending time of the last load reports.
    sent_reports: VecDeque<(u32, Time)>,
    /// Number of the last load report.
    last_report: u32,
}

/// Why grants were not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantRejection {
    /// The grants belong to an older epoch than the newest known one.
    StaleEpoch,
    /// The grants were received before, or later ones were.
    Duplicate,
    /// The grants answer no remembered load report: their age is unknown.
    UnknownReport,
    /// The grants had ended before their receipt.
    Expired,
}

impl GrantTable {
    /// Records the sending of a load report and returns its number. Grants that answer this report are never older than it.
    pub fn start_report(&mut self, now: Time) -> u32 {
        self.last_report = self.last_report.wrapping_add(1);
        self.sent_reports.push_back((self.last_report, now));
        if self.sent_reports.len() > MAX_OPEN_REPORTS {
            self.sent_reports.pop_front();
        }
        self.last_report
    }

    /// Accepts grants that answer the load report with the number `report`, in place of the previous grants.
    ///
    /// # Errors
    /// Returns the reason if the grants are not accepted.
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
        // The epoch is the newest even if its grants are not accepted below: earlier grants are no longer valid.
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

    /// Concurrency slots granted on a worker at `now`; `None` if no grants are valid.
    pub fn slots(&self, now: Time, worker: NodeId) -> Option<u32> {
        self.is_valid(now).then(|| self.grants.get(&worker).copied().unwrap_or(0))
    }

    /// Whether the grants are valid at `now`.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.valid_until
    }

    /// End of the grants.
    pub fn valid_until(&self) -> Time {
        self.valid_until
    }

    /// The newest known epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Concurrency slots granted on all workers at `now`.
    pub fn total_slots(&self, now: Time) -> u64 {
        if !self.is_valid(now) {
            return 0;
        }
        self.grants.values().map(|slots| u64::from(*slots)).sum()
    }
}
