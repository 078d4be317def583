//! Who may give out places on workers, and which grants hold. A planner leads while it is the least of those that are
//! here; each that comes to lead takes an epoch past all that it has heard of, and gives nothing out until the grants of
//! those before it must have ended. A forwarder takes grants of the newest epoch it knows only.
//!
//! # The bound
//!
//! A grant holds for `lasts` from when its planner made it, and its forwarder takes it for no longer than `lasts` from when it
//! came, less the time since it asked (the report that it answers). A planner that comes to lead waits for `lasts` and
//! [`MAX_CLOCK_SKEW`]. So while clocks run equally fast to within MAX_CLOCK_SKEW in `lasts`, no two planners' grants hold at once: of each worker no
//! more than its places is given out. Two that both think they lead, each for longer than that wait (the net between them cut),
//! give out the places twice at the most, one for each side of the cut, and a forwarder counts one epoch only.

use crate::messages::Grant;
use crate::{NodeId, Time, MS, SECOND};
use std::collections::{BTreeMap, VecDeque};

/// How long grants last, and how often they are renewed in that time.
pub const GRANT_DURATION: Time = 2 * SECOND;
pub const GRANT_RENEWAL_INTERVAL: Time = GRANT_DURATION / 4;
/// Clocks may run apart by this much in that time.
pub const MAX_CLOCK_SKEW: Time = 50 * MS;

/// No grant is taken for more places than this, whatever is said.
pub const MAX_GRANTED_PLACES: u32 = 100_000;
/// Reports whose answers are still taken.
const MAX_OPEN_REPORTS: usize = 8;

/// A planner's side: whether it leads, since when, and under which epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PlannerElection {
    own: NodeId,
    epoch: u64,
    /// The newest epoch heard of.
    seen: u64,
    grants_from: Option<Time>,
    number: u64,
    /// How long it waits before it gives out.
    wait: Time,
}

/// What changed about leading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipChange {
    /// It leads, and may give out from then on.
    BecameLeader {
        epoch: u64,
        from: Time,
    },
    BecameFollower,
}

impl PlannerElection {
    pub fn new(own: NodeId) -> PlannerElection {
        PlannerElection::with_wait(own, GRANT_DURATION + MAX_CLOCK_SKEW)
    }

    /// Another wait than the rule's, to show what the rule is for.
    pub fn with_wait(own: NodeId, wait: Time) -> PlannerElection {
        PlannerElection { own, wait, ..PlannerElection::default() }
    }

    pub fn is_leader(&self) -> bool {
        self.grants_from.is_some()
    }

    /// An epoch that somebody speaks of. One past its own shows another leader: it begins again behind it, if it leads.
    pub fn observe_epoch(&mut self, now: Time, epoch: u64) -> Option<LeadershipChange> {
        self.seen = self.seen.max(epoch);
        if self.is_leader() && self.seen > self.epoch {
            return Some(self.begin(now));
        }
        None
    }

    /// The planners that are here, itself among them or not.
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

    /// Epoch and number of the next grants, if it may give out now.
    pub fn next_grant(&mut self, now: Time) -> Option<(u64, u64)> {
        self.grants_from.filter(|from| *from <= now)?;
        self.number += 1;
        Some((self.epoch, self.number))
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }
}

/// A planner's side where keepers say who leads: it gives out under the token of its ownership, and nothing that would outlive its
/// lease. Whoever owns it next may give out at once: all that was given out before has ended by then. So of each worker no more than its
/// places is given out, once, also where the net between planners is cut, while clocks run equally fast to within the keepers' bound.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeasedGrants {
    token: u64,
    number: u64,
    /// When the last of it ends.
    ends: Time,
}

/// Grants shorter than this are not given: they would end on their way.
pub const MIN_GRANT_DURATION: Time = GRANT_DURATION / 8;

impl LeasedGrants {
    /// Epoch and number of the next grants, and how long they last, where it owns under `token`, for `left` at the least, and its
    /// clock shows `now`.
    pub fn next_grant(&mut self, now: Time, token: u64, left: Time) -> Option<(u64, u64, Time)> {
        let lasts = left.min(GRANT_DURATION);
        if lasts < MIN_GRANT_DURATION {
            return None;
        }
        if token != self.token {
            (self.token, self.number) = (token, 0);
        }
        self.number += 1;
        self.ends = self.ends.max(now + lasts);
        // Past every epoch that planners took without keepers: those count changes of lead.
        Some((token << 20, self.number, lasts))
    }

    /// When all that it gave out has ended.
    pub fn all_ended_at(&self) -> Time {
        self.ends
    }
}

/// A forwarder's side.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GrantTable {
    epoch: u64,
    number: u64,
    until: Time,
    grants: BTreeMap<NodeId, u32>,
    /// The last reports, and when they went out.
    asked: VecDeque<(u32, Time)>,
    reports: u32,
}

/// Why grants were not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantRejection {
    /// Of an epoch before one that is known.
    StaleEpoch,
    /// Said before already, or overtaken by a later one.
    Duplicate,
    /// No report of ours can have brought them; how old they are can't be known.
    UnknownReport,
    /// They had ended when they came.
    Expired,
}

impl GrantTable {
    /// A report goes out: its number. Grants that answer it are no older than it.
    pub fn start_report(&mut self, now: Time) -> u32 {
        self.reports = self.reports.wrapping_add(1);
        self.asked.push_back((self.reports, now));
        if self.asked.len() > MAX_OPEN_REPORTS {
            self.asked.pop_front();
        }
        self.reports
    }

    pub fn accept(
        &mut self,
        now: Time,
        (epoch, number, answers): (u64, u64, u32),
        lasts: Time,
        grants: &[Grant],
    ) -> Result<(), GrantRejection> {
        if epoch < self.epoch {
            return Err(GrantRejection::StaleEpoch);
        }
        if epoch == self.epoch && number <= self.number {
            return Err(GrantRejection::Duplicate);
        }
        // Known as the newest even where they are not taken: what came before holds no longer.
        if epoch > self.epoch {
            self.grants.clear();
            self.until = Time::MIN;
        }
        (self.epoch, self.number) = (epoch, number);
        let asked =
            self.asked.iter().find(|(report, _)| *report == answers).ok_or(GrantRejection::UnknownReport)?.1;
        let until = asked + lasts.min(GRANT_DURATION);
        if until <= now {
            return Err(GrantRejection::Expired);
        }
        self.until = until;
        self.grants =
            grants.iter().map(|grant| (grant.worker, grant.places.min(MAX_GRANTED_PLACES))).collect();
        Ok(())
    }

    /// Places granted on a worker now; `None` where no grants hold.
    pub fn places(&self, now: Time, worker: NodeId) -> Option<u32> {
        self.is_valid(now).then(|| self.grants.get(&worker).copied().unwrap_or(0))
    }

    pub fn is_valid(&self, now: Time) -> bool {
        now < self.until
    }

    pub fn valid_until(&self) -> Time {
        self.until
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn total_places(&self, now: Time) -> u64 {
        let places = self.grants.values().map(|places| u64::from(*places));
        if self.is_valid(now) {
            places.sum()
        } else {
            0
        }
    }
}
