//! Whether an invocation may be admitted now, and under which version. Set by the member's task, asked by the core at each admission:
//! the clock is read there, so one that stood still admits nothing more when it wakes.

use crate::journal::{monotonic, Journal};
use crate::leases::MonotonicClock;
use cypresscleat_rollout::member::{AdmissionPermit, RolloutMember};
use cypresscleat_rollout::watch::ServiceTotals;
use cypresscleat_rollout::Time;
use std::cell::Cell;
use tokio::sync::Notify;

pub struct Gate {
    clock: MonotonicClock,
    name: String,
    /// What the member may admit under, until when, and whether it is to hold.
    granted: Cell<Option<u64>>,
    until: Cell<Time>,
    holds: Cell<bool>,
    /// What the core goes by: a version counts once its settings do.
    applied: Cell<Option<u64>>,
    pub seen: Cell<ServiceTotals>,
    /// The program ends: the member is to leave.
    pub leaves: Notify,
    pub left: Notify,
    /// Of each admission and each change, in tests.
    journal: Option<Journal>,
}

impl Gate {
    pub fn new(clock: MonotonicClock, name: &str) -> Gate {
        Gate {
            clock,
            name: name.to_string(),
            granted: Cell::new(None),
            until: Cell::new(Time::MIN),
            holds: Cell::new(false),
            applied: Cell::new(None),
            seen: Cell::default(),
            leaves: Notify::new(),
            left: Notify::new(),
            journal: Journal::open(),
        }
    }

    /// Takes over how the member stands.
    pub fn follow(&self, member: &RolloutMember) {
        self.holds.set(member.is_paused());
        self.until.set(member.lease_ends_at());
        self.granted.set(member.active());
    }

    /// To be asked right before each admission.
    pub fn may(&self) -> AdmissionPermit {
        let Some(granted) = self.granted.get().filter(|_| self.clock.now() < self.until.get()) else {
            return AdmissionPermit::Deny;
        };
        match self.holds.get() || self.applied.get() != Some(granted) {
            true => AdmissionPermit::Hold,
            false => AdmissionPermit::Admit(granted),
        }
    }

    /// The version whose settings hold from now on.
    pub fn apply(&self, number: u64) {
        if self.applied.replace(Some(number)) != Some(number) {
            self.tell("in_force", number);
            self.tell("fit", number);
        }
    }

    /// The version that is applied and may be served under.
    pub fn version(&self) -> Option<u64> {
        match self.may() {
            AdmissionPermit::Admit(number) => Some(number),
            _ => None,
        }
    }

    pub fn tell(&self, event: &str, version: u64) {
        if let Some(journal) = &self.journal {
            let fields = format!("\"member\":\"{}\",\"event\":\"{event}\",\"version\":{version}", self.name);
            journal.line(monotonic(), &fields);
        }
    }

    /// The same as `may`, for one that is admitted where it may be: its moment is the one before the gate is asked.
    pub fn admits(&self, txn: &[u8]) -> AdmissionPermit {
        let at = self.journal.as_ref().map(|_| monotonic());
        let may = self.may();
        if let (AdmissionPermit::Admit(version), Some(journal), Some(at)) = (may, &self.journal, at) {
            let fields = format!(
                "\"member\":\"{}\",\"event\":\"admitted\",\"version\":{version},\"invocation\":\"{}\"",
                self.name,
                String::from_utf8_lossy(txn)
            );
            journal.line(at, &fields);
        }
        may
    }

    /// Clears what the core went by: nothing is admitted until a version is applied again.
    pub fn out(&self, number: u64) {
        self.applied.set(None);
        self.tell("out_of_service", number);
    }

    pub fn asked(&self) {
        let seen = self.seen.get();
        self.seen.set(ServiceTotals { requests: seen.requests + 1, ..seen });
    }

    /// One succeeded, in time or not, and billed so much.
    pub fn succeeded(&self, in_time: bool, billed: f64) {
        let seen = self.seen.get();
        let milli = (billed * 1000.0).round().max(0.0) as u64;
        self.seen.set(ServiceTotals {
            succeeded_in_time: seen.succeeded_in_time + u64::from(in_time),
            billed_milli: seen.billed_milli + milli,
            ..seen
        });
    }
}
