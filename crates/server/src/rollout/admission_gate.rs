//! Whether an invocation may be admitted now, and under which version. Set by the member's task, asked by the core at each admission:
//! the clock is read there, so one that stood still admits nothing more when it wakes.

use crate::journal::{monotonic, Journal};
use crate::leases::MonotonicClock;
use cypresscleat_rollout::member::{AdmissionPermit, RolloutMember};
use cypresscleat_rollout::watch::ServiceTotals;
use cypresscleat_rollout::Time;
use std::cell::Cell;
use tokio::sync::Notify;

pub struct AdmissionGate {
    clock: MonotonicClock,
    name: String,
    /// What the member may admit under, until when, and whether it is to hold.
    leased_version: Cell<Option<u64>>,
    lease_ends_at: Cell<Time>,
    is_paused: Cell<bool>,
    /// What the core goes by: a version counts once its settings do.
    applied_version: Cell<Option<u64>>,
    pub totals: Cell<ServiceTotals>,
    /// The program ends: the member is to leave.
    pub leave_requested: Notify,
    pub leave_done: Notify,
    /// Of each admission and each change, in tests.
    journal: Option<Journal>,
}

impl AdmissionGate {
    pub fn new(clock: MonotonicClock, name: &str) -> AdmissionGate {
        AdmissionGate {
            clock,
            name: name.to_string(),
            leased_version: Cell::new(None),
            lease_ends_at: Cell::new(Time::MIN),
            is_paused: Cell::new(false),
            applied_version: Cell::new(None),
            totals: Cell::default(),
            leave_requested: Notify::new(),
            leave_done: Notify::new(),
            journal: Journal::open(),
        }
    }

    /// Takes over how the member stands.
    pub fn update(&self, member: &RolloutMember) {
        self.is_paused.set(member.is_paused());
        self.lease_ends_at.set(member.lease_ends_at());
        self.leased_version.set(member.active());
    }

    /// To be asked right before each admission.
    pub fn permit(&self) -> AdmissionPermit {
        let Some(leased_version) =
            self.leased_version.get().filter(|_| self.clock.now() < self.lease_ends_at.get())
        else {
            return AdmissionPermit::Deny;
        };
        match self.is_paused.get() || self.applied_version.get() != Some(leased_version) {
            true => AdmissionPermit::Hold,
            false => AdmissionPermit::Admit(leased_version),
        }
    }

    /// The version whose settings hold from now on.
    pub fn apply(&self, number: u64) {
        if self.applied_version.replace(Some(number)) != Some(number) {
            self.record_event("in_force", number);
            self.record_event("fit", number);
        }
    }

    /// The version that is applied and may be served under.
    pub fn version(&self) -> Option<u64> {
        match self.permit() {
            AdmissionPermit::Admit(number) => Some(number),
            _ => None,
        }
    }

    pub fn record_event(&self, event: &str, version: u64) {
        if let Some(journal) = &self.journal {
            let fields = format!("\"member\":\"{}\",\"event\":\"{event}\",\"version\":{version}", self.name);
            journal.line(monotonic(), &fields);
        }
    }

    /// The same as `may`, for one that is admitted where it may be: its moment is the one before the gate is asked.
    pub fn admit(&self, txn: &[u8]) -> AdmissionPermit {
        let at = self.journal.as_ref().map(|_| monotonic());
        let permit = self.permit();
        if let (AdmissionPermit::Admit(version), Some(journal), Some(at)) = (permit, &self.journal, at) {
            let fields = format!(
                "\"member\":\"{}\",\"event\":\"admitted\",\"version\":{version},\"invocation\":\"{}\"",
                self.name,
                String::from_utf8_lossy(txn)
            );
            journal.line(at, &fields);
        }
        permit
    }

    /// Clears what the core went by: nothing is admitted until a version is applied again.
    pub fn close(&self, number: u64) {
        self.applied_version.set(None);
        self.record_event("out_of_service", number);
    }

    pub fn count_request(&self) {
        let totals = self.totals.get();
        self.totals.set(ServiceTotals { requests: totals.requests + 1, ..totals });
    }

    /// One succeeded, in time or not, and billed so much.
    pub fn count_success(&self, in_time: bool, billed: f64) {
        let totals = self.totals.get();
        let milli = (billed * 1000.0).round().max(0.0) as u64;
        self.totals.set(ServiceTotals {
            succeeded_in_time: totals.succeeded_in_time + u64::from(in_time),
            billed_milli: totals.billed_milli + milli,
            ..totals
        });
    }
}
