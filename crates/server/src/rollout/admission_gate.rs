//! Decides whether a request may be admitted now, and under which version. The member's task updates the gate, and the core checks it at
//! each admission. The check reads the clock, so a process that was stalled past its lease admits nothing when it resumes.

use crate::journal::{monotonic_ns, Journal};
use crate::leases::MonotonicClock;
use cypresscleat_rollout::member::{AdmissionPermit, RolloutMember};
use cypresscleat_rollout::watch::ServiceTotals;
use cypresscleat_rollout::Time;
use std::cell::Cell;
use tokio::sync::Notify;

/// The admission state that the member's task and the core share.
pub struct AdmissionGate {
    clock: MonotonicClock,
    name: String,
    /// The version of the member's lease, the end of the lease, and whether the member holds requests.
    leased_version: Cell<Option<u64>>,
    lease_ends_at: Cell<Time>,
    is_paused: Cell<bool>,
    /// The version whose settings the core has applied.
    applied_version: Cell<Option<u64>>,
    /// Totals that the member reports with its heartbeats.
    pub totals: Cell<ServiceTotals>,
    /// Notified at the end of the process: the member leaves the rollout.
    pub leave_requested: Notify,
    /// Notified once the member has left.
    pub leave_done: Notify,
    /// Journal of admissions and version changes, used by tests.
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

    /// Copies the member's version, lease end and pause.
    pub fn update(&self, member: &RolloutMember) {
        self.is_paused.set(member.is_paused());
        self.lease_ends_at.set(member.lease_ends_at());
        self.leased_version.set(member.active());
    }

    /// Whether a request may be admitted now. Called right before each admission.
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

    /// Records that the settings of a version apply from now on.
    pub fn apply(&self, number: u64) {
        if self.applied_version.replace(Some(number)) != Some(number) {
            self.record_event("in_force", number);
            self.record_event("fit", number);
        }
    }

    /// The version under which requests may be admitted now.
    pub fn version(&self) -> Option<u64> {
        match self.permit() {
            AdmissionPermit::Admit(number) => Some(number),
            _ => None,
        }
    }

    /// Writes an event to the test journal.
    pub fn record_event(&self, event: &str, version: u64) {
        if let Some(journal) = &self.journal {
            let fields = format!("\"member\":\"{}\",\"event\":\"{event}\",\"version\":{version}", self.name);
            journal.record(monotonic_ns(), &fields);
        }
    }

    /// Returns [`AdmissionGate::permit`] for a request that the caller admits if permitted, and writes the admission to the test journal. The
    /// journal's time is taken before the check.
    pub fn admit(&self, txn: &[u8]) -> AdmissionPermit {
        let at = self.journal.as_ref().map(|_| monotonic_ns());
        let permit = self.permit();
        if let (AdmissionPermit::Admit(version), Some(journal), Some(at)) = (permit, &self.journal, at) {
            let fields = format!(
                "\"member\":\"{}\",\"event\":\"admitted\",\"version\":{version},\"invocation\":\"{}\"",
                self.name,
                String::from_utf8_lossy(txn)
            );
            journal.record(at, &fields);
        }
        permit
    }

    /// Clears the applied version, so that nothing is admitted until a version is applied again.
    pub fn close(&self, number: u64) {
        self.applied_version.set(None);
        self.record_event("out_of_service", number);
    }

    /// Counts a request that the gate admitted. The scheduler may still reject it.
    pub fn count_request(&self) {
        let totals = self.totals.get();
        self.totals.set(ServiceTotals { requests: totals.requests + 1, ..totals });
    }

    /// Counts a successful request and its billed value.
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
