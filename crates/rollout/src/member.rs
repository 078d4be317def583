//! Runs on an instance: renews the lease on the active version, fetches proposed versions, and determines the version under which the
//! instance may admit requests. The caller checks and stores documents and reports the verdict.

mod responses;

use crate::expiry::holder_lease_end;
use crate::messages::{Request, Verdict};
use crate::state::Version;
use crate::watch::ServiceTotals;
use crate::{MemberKey, NodeId, SeededRng, Time, SECOND};
use cypresscleat_sessions::renewals::PendingRenewals;
use cypresscleat_sessions::replicas::ReplicaRotation;
use std::collections::VecDeque;

/// Maximum number of remembered verdicts: on the instance's own file, the active version, the proposed version, and one more.
const MAX_VERDICTS: usize = 4;
/// Unanswered heartbeats after which a member without a lease retries less often, as all replicas may be unreachable.
const QUICK_RETRIES: u32 = 4;
/// Time allowed for the check of a document before the member fetches it again.
const CHECK_TIME: Time = 20 * SECOND;

/// An event that the instance has to handle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// The instance checks the version in full, stores it, and reports the result to [`RolloutMember::record_verdict`].
    Check {
        /// The version.
        version: Box<Version>,
    },
    /// The instance admits requests under this version from now on.
    Activated {
        /// The version.
        number: u64,
    },
    /// The lease has ended: the instance admits nothing until [`MemberEvent::Activated`].
    LeaseExpired {
        /// The version that was active.
        number: u64,
    },
    /// The instance holds requests until [`MemberEvent::Activated`] or [`MemberEvent::LeaseExpired`].
    Paused {
        /// The change whose barrier waits for all members to stop.
        change: u64,
    },
}

/// Whether a request may be admitted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionPermit {
    /// The request may be admitted under this version.
    Admit(u64),
    /// The request has to wait, as a change with a barrier pauses all members.
    Hold,
    /// The request may not be admitted, as there is no lease.
    Deny,
}

/// Safeguards that tests disable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisabledSafeguards {
    /// The member keeps admitting after the end of its lease.
    pub ignore_lease_end: bool,
}

/// Requests, each with the replica that receives it.
pub type Outgoing = Vec<(NodeId, Request)>;

/// A vote to commit a prepared change: the change, and the number of the first heartbeat that carried the vote.
#[derive(Clone, Copy, Debug)]
struct Vote {
    change: u64,
    first_heartbeat: u32,
}

/// A document that is being fetched or checked, and the time of the next fetch.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    number: u64,
    retry_at: Time,
}

/// An instance's side of a rollout.
#[derive(Clone, Debug)]
pub struct RolloutMember {
    key: MemberKey,
    name: String,
    replicas: ReplicaRotation,
    rng: SeededRng,
    next_heartbeat: Time,
    /// Heartbeat period that the leader sent last.
    period: Time,
    /// Consecutive heartbeats without a response.
    unanswered: u32,
    /// Round-trip time of the last response.
    round_trip: Time,
    last_request_number: u32,
    pending_heartbeats: PendingRenewals,
    wants_to_join: bool,
    /// The version under which the member admits.
    active: Option<u64>,
    lease_ends_at: Time,
    /// The active version that the leader sent last.
    target: u64,
    verdicts: Vec<(u64, Verdict)>,
    fetch: Option<Fetch>,
    /// The change that the leader asked the member to check; 0 for none.
    check: u64,
    vote: Option<Vote>,
    /// The change for which the member has stopped admitting; 0 for none.
    paused: u64,
    /// For a member that represents others, the last change for which all of them have stopped. `None` for a member that represents itself
    /// only.
    others_paused: Option<u64>,
    is_leaving: bool,
    has_left: bool,
    /// Number of the first `Leave` request; 0 for none.
    first_leave_number: u32,
    /// Totals since the start; sent with each heartbeat.
    pub totals: ServiceTotals,
    /// Duration of the lease that was last received or assumed. A vote binds for this time.
    lease: Time,
    /// The leader sent `target` without a lease on it, so the member's lease is on the former version.
    has_no_lease_on_target: bool,
    events: VecDeque<MemberEvent>,
    /// The member does not switch to the replica that sends [`Response::Changed`](crate::messages::Response::Changed), as earlier versions
    /// of the program did. Tests run both kinds side by side.
    pub imitates_earlier_version: bool,
    /// Safeguards that are disabled.
    pub safeguards: DisabledSafeguards,
}

impl RolloutMember {
    /// Creates a member that sends a request to join.
    pub fn new(now: Time, name: &str, key: MemberKey, replicas: Vec<NodeId>) -> RolloutMember {
        let mut rng = SeededRng::new(key.0 ^ key.1);
        let first = rng.below(replicas.len() as u64) as usize;
        RolloutMember {
            key,
            name: name.to_string(),
            replicas: ReplicaRotation::new(replicas, first),
            rng,
            next_heartbeat: now,
            period: SECOND / 2,
            unanswered: 0,
            round_trip: 0,
            last_request_number: 0,
            pending_heartbeats: PendingRenewals::default(),
            wants_to_join: true,
            active: None,
            lease_ends_at: Time::MIN,
            target: 0,
            verdicts: vec![(0, Verdict::Prepared)],
            fetch: None,
            check: 0,
            vote: None,
            paused: 0,
            others_paused: None,
            is_leaving: false,
            has_left: false,
            first_leave_number: 0,
            totals: ServiceTotals::default(),
            lease: SECOND,
            has_no_lease_on_target: false,
            events: VecDeque::new(),
            imitates_earlier_version: false,
            safeguards: DisabledSafeguards::default(),
        }
    }

    /// Records a version that the instance has stored and just checked, so that it is not fetched.
    pub fn restore(&mut self, number: u64) {
        self.store_verdict(number, Verdict::Prepared);
    }

    /// Starts under the version that was active last, because no replica responds and the operator's configuration allows it.
    pub fn start_alone(&mut self, number: u64) {
        if self.active.is_none() && self.last_request_number > 0 {
            self.active = Some(number);
            self.lease_ends_at = Time::MAX;
            self.events.push_back(MemberEvent::Activated { number });
        }
    }

    /// Makes the member represent others: it reports that it admits nothing only after [`RolloutMember::record_all_paused`].
    pub fn represent_others(&mut self) {
        self.others_paused = Some(0);
    }

    /// Records that all represented members have stopped for this change.
    pub fn record_all_paused(&mut self, now: Time, change: u64) -> Outgoing {
        self.others_paused = Some(change);
        self.heartbeat_soon(now)
    }

    /// The member's key.
    pub fn key(&self) -> MemberKey {
        self.key
    }

    /// The values that the leader sent last: the active version, the change to check, and the change that pauses admission; 0 for none.
    pub fn last_reported(&self) -> (u64, u64, u64) {
        (self.target, self.check, self.paused)
    }

    /// The version under which the member admits.
    pub fn active(&self) -> Option<u64> {
        self.active
    }

    /// The change that the member has voted to commit, until a valid response shows that this change is over.
    pub fn vote(&self) -> Option<u64> {
        self.vote.map(|vote| vote.change)
    }

    /// Whether the leader has answered a heartbeat since the request to join.
    pub fn has_joined(&self) -> bool {
        !self.wants_to_join
    }

    /// Whether the member admits nothing until a change is active.
    pub fn is_paused(&self) -> bool {
        self.paused != 0
    }

    /// The time, by this instance's clock, from which nothing may be admitted unless the lease is renewed.
    pub fn lease_ends_at(&self) -> Time {
        self.lease_ends_at
    }

    /// Returns the events since the last call.
    pub fn events(&mut self) -> impl Iterator<Item = MemberEvent> + '_ {
        self.events.drain(..)
    }

    /// Whether the leader has confirmed that the member left.
    pub fn has_left(&self) -> bool {
        self.has_left
    }

    /// Whether a request may be admitted now. Called at each admission.
    pub fn permit(&self, now: Time) -> AdmissionPermit {
        match self.active {
            _ if self.is_lease_over(now) => AdmissionPermit::Deny,
            Some(_) if self.paused != 0 => AdmissionPermit::Hold,
            Some(number) => AdmissionPermit::Admit(number),
            None => AdmissionPermit::Deny,
        }
    }

    fn is_lease_over(&self, now: Time) -> bool {
        now >= self.lease_ends_at && !self.safeguards.ignore_lease_end
    }

    /// When [`RolloutMember::tick`] has to be called next.
    pub fn next_deadline(&self) -> Time {
        if self.has_left {
            return Time::MAX;
        }
        let holds_lease = self.active.is_some() && !self.safeguards.ignore_lease_end;
        let lease_end = if holds_lease { self.lease_ends_at } else { Time::MAX };
        let fetch = self.fetch.map_or(Time::MAX, |fetch| fetch.retry_at);
        self.next_heartbeat.min(lease_end).min(fetch)
    }

    /// Adds a replica that joined after this instance was started.
    pub fn add_replica(&mut self, replica: NodeId) {
        self.replicas.add(replica);
    }

    /// Handles what is due: the end of the lease, a document that did not arrive, heartbeats.
    pub fn tick(&mut self, now: Time) -> Outgoing {
        let mut requests = Vec::new();
        if self.has_left {
            return requests;
        }
        if self.is_lease_over(now) {
            self.deactivate();
        }
        if let Some(Fetch { number, .. }) = self.fetch.filter(|fetch| now >= fetch.retry_at) {
            requests.extend(self.fetch_document(now, number));
        }
        if now >= self.next_heartbeat {
            self.schedule_next_heartbeat(now);
            requests.extend(if self.is_leaving { self.send_leave() } else { self.heartbeat(now) });
        }
        requests
    }

    /// Stops admitting and leaves, so that changes proceed without this member.
    pub fn leave(&mut self, now: Time) -> Outgoing {
        self.is_leaving = true;
        self.active = None;
        self.lease_ends_at = Time::MIN;
        self.fetch = None;
        self.heartbeat_soon(now)
    }

    /// Records the verdict on a document. Where the verdict is [`Verdict::Prepared`], the caller has stored the document.
    pub fn record_verdict(&mut self, now: Time, number: u64, verdict: Verdict) -> Outgoing {
        self.store_verdict(number, verdict);
        if self.fetch.is_some_and(|fetch| fetch.number == number) {
            self.fetch = None;
        }
        self.activate_if_ready(now);
        self.heartbeat_soon(now)
    }

    /// The verdict on a version, if known.
    pub fn verdict(&self, number: u64) -> Option<Verdict> {
        self.verdicts.iter().find(|(known, _)| *known == number).map(|(_, verdict)| verdict.clone())
    }

    /// Forgets the verdict on a version, so that its document is fetched again where it is needed.
    pub fn forget_verdict(&mut self, number: u64) {
        self.verdicts.retain(|(known, _)| *known != number);
    }

    fn store_verdict(&mut self, number: u64, verdict: Verdict) {
        self.forget_verdict(number);
        self.verdicts.push((number, verdict));
        if self.verdicts.len() > MAX_VERDICTS {
            let needed = [0, self.active.unwrap_or(0), self.target, self.check];
            if let Some(position) = self.verdicts.iter().position(|(known, _)| !needed.contains(known)) {
                self.verdicts.remove(position);
            }
        }
    }

    fn is_prepared(&self, number: u64) -> bool {
        self.verdict(number) == Some(Verdict::Prepared)
    }

    /// Switches to the target version, if possible.
    fn activate_if_ready(&mut self, now: Time) {
        // A lease on the former version does not cover the next one, whose lease may be shorter.
        let holds_former_lease = self.has_no_lease_on_target && self.active.is_some();
        let is_ready = now < self.lease_ends_at && self.is_prepared(self.target) && !holds_former_lease;
        if is_ready && self.active != Some(self.target) {
            self.active = Some(self.target);
            self.events.push_back(MemberEvent::Activated { number: self.target });
        }
    }

    /// Stops admitting.
    fn deactivate(&mut self) {
        if let Some(number) = self.active.take() {
            self.events.push_back(MemberEvent::LeaseExpired { number });
        }
    }

    /// Schedules the next heartbeat. Each replica receives two unanswered heartbeats before the member tries the next one: in most cases a
    /// message was lost, and the leader answers first.
    fn schedule_next_heartbeat(&mut self, now: Time) {
        if self.unanswered > 0 && self.unanswered.is_multiple_of(2) {
            self.replicas.advance();
        }
        // The member retries often until its lease ends. After that it retries less often, so that replicas that restart do not receive
        // the heartbeats of all members at once for long.
        let is_lease_running = self.active.is_some() && self.lease_ends_at < Time::MAX;
        let is_quick = is_lease_running || self.unanswered < QUICK_RETRIES;
        let delay = if is_quick { self.retry_delay() } else { 2 * self.period };
        let jitter = self.rng.below((delay / 8).max(1) as u64) as Time;
        self.next_heartbeat = now + delay + jitter;
        self.unanswered = self.unanswered.saturating_add(1);
        self.replicas.set_redirects_followed(0);
    }

    fn heartbeat(&mut self, now: Time) -> Outgoing {
        let number = self.next_request_number();
        self.pending_heartbeats.record(number, now);
        let verdict = self.verdict(self.check).filter(|_| self.check != 0);
        // An older change from a late response does not replace a newer vote. The newer vote binds until its change is known to be over.
        if verdict == Some(Verdict::Prepared) && self.vote.is_none_or(|vote| vote.change < self.check) {
            // From here on the member cannot know by itself whether the change was aborted. Its lease gets an end, even if it had none.
            self.vote = Some(Vote { change: self.check, first_heartbeat: number });
            self.lease_ends_at = self.lease_ends_at.min(holder_lease_end(now, self.lease));
        }
        let may_report_paused = self.others_paused.is_none_or(|change| change == self.paused);
        self.to_current_replica(Request::Heartbeat {
            key: self.key,
            name: self.name.clone(),
            joins: self.wants_to_join,
            number,
            verdict: verdict.map(|verdict| (self.check, verdict)),
            paused: if may_report_paused { self.paused } else { 0 },
            active: self.active.unwrap_or(0),
            totals: self.totals,
        })
    }

    /// Sends a heartbeat at once, so that the leader receives a verdict or a pause early.
    fn heartbeat_soon(&mut self, now: Time) -> Outgoing {
        self.next_heartbeat = now;
        self.unanswered = 0;
        self.tick(now)
    }

    /// Time to wait for a response before the heartbeat is repeated: a quarter of the period, or more where responses take long.
    fn retry_delay(&self) -> Time {
        let delay = (self.period / 4).max(crate::coordinator::MIN_RETRY_DELAY).max(2 * self.round_trip);
        delay.min(self.fetch_retry_delay())
    }

    /// Time to wait for a document before it is fetched again.
    fn fetch_retry_delay(&self) -> Time {
        (self.period / 2).max(crate::coordinator::MIN_RETRY_DELAY)
    }

    fn send_leave(&mut self) -> Outgoing {
        let number = self.next_request_number();
        if self.first_leave_number == 0 {
            self.first_leave_number = number;
        }
        self.to_current_replica(Request::Leave { key: self.key, number })
    }

    fn fetch_document(&mut self, now: Time, version: u64) -> Outgoing {
        self.fetch = Some(Fetch { number: version, retry_at: now + self.fetch_retry_delay() });
        let number = self.next_request_number();
        self.to_current_replica(Request::FetchDocument { number, version })
    }

    fn next_request_number(&mut self) -> u32 {
        self.last_request_number = self.last_request_number.wrapping_add(1);
        self.last_request_number
    }

    fn to_current_replica(&self, request: Request) -> Outgoing {
        self.replicas.current().map(|replica| (replica, request)).into_iter().collect()
    }
}
