//! One relay: towards the control replicas a member under its own name, towards the members of its zone a coordinator.
//!
//! # Why no member outlives the relay's lease
//!
//! A relay counts its lease `L` from when it sent the heartbeat, and takes it to be over after `L - m(L)` by its own clock, where `m` is
//! [`clock_drift_margin`](cypresscleat_rollout::expiry::clock_drift_margin). The leader counts `L` from when it received that heartbeat. A
//! member that is given a lease `l` takes it to be over `l - m(l)` after it sent its heartbeat, by its own clock. Any two clocks run apart
//! by at most one part in 40, and `l + 1` is at most what is left of the relay's lease. As `m(l)` is at least `l/40 - 39/40`, a member
//! stops after at most `(l - l/40 + 39/40) * 41/40` by the relay's clock, which is less than `l + 1`: before the relay's lease is over by
//! the relay's clock. For the same reason that is before it is over by the leader's clock. Each of the two hops has its own margin, and
//! needs no more than that.
//!
//! Where changes wait for every member ([`UnreachableMembers::Wait`]) the relay's lease has no end until its vote. From then on `l` is the
//! lease of the active version, and is never counted from later than the vote. The leader counts that lease from when it received the
//! vote, so it takes the relay to be gone no sooner.
//!
//! # What a relay reports to the replicas
//!
//! A vote to commit: each member that holds a lease of this relay has voted. From then on until that change is over, a member that has
//! not voted is given no lease. So each member that admits at the moment of the decision has the document. A pause works the same way,
//! with "has stopped" in place of the vote. A member that moves to another relay of its zone counts here until its lease from here is
//! over, since a lease cannot be revoked.
//!
//! # Restart
//!
//! After a restart the table of members is empty, while members may still hold leases that the former incarnation gave. Under
//! [`UnreachableMembers::Fence`] the former incarnation is a member of its own at the replicas until its lease is over, and by then the
//! leases of its members are over too: the new incarnation has nothing to wait for. Under [`UnreachableMembers::Wait`] the new incarnation
//! replaces the former one as soon as it joins. It neither votes, nor reports that all have stopped, nor leaves, until the longest lease
//! that a former incarnation can have given (`max_lease`) is over by its own clock. The same holds while it does not know yet under which
//! rule it joined. No version becomes active in between, as that needs its vote. Under both rules it may give leases at once: those are
//! in its table.

use cypresscleat_rollout::member::{AdmissionPermit, MemberEvent, RolloutMember};
use cypresscleat_rollout::messages::{MemberStatus, Request, Response, Verdict};
use cypresscleat_rollout::state::Stage;
use cypresscleat_rollout::watch::ServiceTotals;
use cypresscleat_rollout::{
    truncate, MemberKey, NodeId, Rules, Time, UnreachableMembers, Version, MAX_MEMBERS_PER_MESSAGE,
    MAX_NAME_BYTES, MAX_REASON_BYTES,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Members of one relay. Further members get no response, and poll another relay.
pub const MAX_MEMBERS: usize = 4_096;
/// Documents in memory; the same bound holds for documents that are being persisted.
const MAX_DOCUMENTS: usize = 6;
/// Members that are notified of a change in one step.
const MAX_NOTIFICATIONS_PER_STEP: usize = 256;
/// Incarnations that left and are remembered: as many as may leave while a message is under way.
const MAX_DEPARTED_MEMBERS: usize = 1_024;
/// Log lines that wait for [`Relay::drain_log`].
const MAX_LOG_LINES: usize = 256;
/// Reminders to members that lag: the notification may be lost, or the member polls another relay by now.
const MAX_REMINDERS: u32 = 8;
/// Reminders are this part of the lease apart.
const REMINDER_INTERVAL_DIVISOR: Time = 8;
/// The period of heartbeats that members are told is at least this part of the full lease, so that a relay whose own lease is nearly over
/// is not polled by all members at once.
const MIN_PERIOD_DIVISOR: Time = 16;

/// What the caller has to do after a step.
#[derive(Clone, Debug)]
pub struct RelayOutput<A> {
    /// Requests to control replicas.
    pub upstream: Vec<(NodeId, Request)>,
    /// Responses to members, by their addresses.
    pub downstream: Vec<(A, Response)>,
    /// Versions to be put on the disk; [`Relay::record_persisted`] takes the result.
    pub persist: Vec<Version>,
}

impl<A> Default for RelayOutput<A> {
    fn default() -> RelayOutput<A> {
        RelayOutput { upstream: Vec::new(), downstream: Vec::new(), persist: Vec::new() }
    }
}

/// Safeguards that tests disable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisabledSafeguards {
    /// The relay votes before all its members have.
    pub vote_before_members: bool,
    /// Leases of members outlast the relay's own lease.
    pub outlast_own_lease: bool,
    /// After its vote the relay gives leases to members that have not voted.
    pub lease_without_vote: bool,
    /// The relay reports that all have stopped as soon as it learns of the pause.
    pub stop_before_members: bool,
    /// A new incarnation reports for all members at once, also where it replaces the former one.
    pub skip_recovery_wait: bool,
}

/// A member, as of its last heartbeat.
#[derive(Debug)]
struct MemberRecord<A> {
    address: A,
    name: String,
    last_contact: Time,
    /// Until then the member may hold a lease of this relay.
    lease_ends_at: Time,
    /// The record is removed then.
    forget_at: Time,
    /// The newest change that the member has voted for.
    voted: u64,
    /// The newest change for which the member has stopped.
    paused: u64,
    /// The version under which the member admits.
    active: u64,
    totals: ServiceTotals,
}

/// A relay between control replicas and members. `A` is the address of a member.
#[derive(Debug)]
pub struct Relay<A> {
    upstream: RolloutMember,
    started_at: Time,
    /// The relay knows the active version, and so under which rule it joined.
    has_joined: bool,
    max_lease: Time,
    last_step_at: Time,
    members: BTreeMap<MemberKey, MemberRecord<A>>,
    /// The members by when they are forgotten.
    forget_order: BTreeSet<(Time, MemberKey)>,
    departed: BTreeSet<MemberKey>,
    departure_order: VecDeque<MemberKey>,
    documents: BTreeMap<u64, Version>,
    /// Documents on their way to the disk.
    persisting: BTreeMap<u64, Version>,
    /// The newest change that the leader told of. An older change in a delayed response is ignored.
    newest_change: u64,
    /// The change that members are told to check; 0 for none.
    change: u64,
    /// Members with a lease that may not have voted for the change yet.
    awaited_votes: BTreeSet<MemberKey>,
    refused_change: u64,
    /// The change for which all are to stop; 0 for none.
    pause: u64,
    /// Members with a lease that may not have stopped yet.
    awaited_stops: BTreeSet<MemberKey>,
    /// The last change for which all had stopped.
    all_stopped_for: u64,
    /// Version, change and pause of the last notification.
    announced: (u64, u64, u64),
    /// Members that are still to be notified.
    to_notify: VecDeque<MemberKey>,
    announced_at: Time,
    /// When members that lag are reminded next, and how many reminders are left.
    next_reminder: (Time, u32),
    /// The relay gives no more leases.
    is_leaving: bool,
    /// The last lease is over, and the relay has asked the replicas to leave.
    has_sent_leave: bool,
    is_full: bool,
    log: Vec<String>,
    /// Safeguards that are disabled.
    pub safeguards: DisabledSafeguards,
}

impl<A: Copy + Ord> Relay<A> {
    /// A relay that asks to join.
    ///
    /// `max_lease` is the longest lease that the relay gives in any of its incarnations. A restart may raise it; it may be lowered only
    /// after leases of the former length are over.
    pub fn new(now: Time, name: &str, key: MemberKey, replicas: Vec<NodeId>, max_lease: Time) -> Relay<A> {
        let mut upstream = RolloutMember::new(now, name, key, replicas);
        upstream.represent_others();
        Relay {
            upstream,
            started_at: now,
            has_joined: false,
            max_lease: max_lease.max(1),
            last_step_at: now,
            members: BTreeMap::new(),
            forget_order: BTreeSet::new(),
            departed: BTreeSet::new(),
            departure_order: VecDeque::new(),
            documents: BTreeMap::new(),
            persisting: BTreeMap::new(),
            newest_change: 0,
            change: 0,
            awaited_votes: BTreeSet::new(),
            refused_change: 0,
            pause: 0,
            awaited_stops: BTreeSet::new(),
            all_stopped_for: 0,
            announced: (0, 0, 0),
            to_notify: VecDeque::new(),
            announced_at: now,
            next_reminder: (Time::MAX, 0),
            is_leaving: false,
            has_sent_leave: false,
            is_full: false,
            log: Vec::new(),
            safeguards: DisabledSafeguards::default(),
        }
    }

    /// Whether the leader has confirmed that the relay left.
    pub fn has_left(&self) -> bool {
        self.upstream.has_left()
    }
    /// Log lines since the last call.
    pub fn drain_log(&mut self) -> impl Iterator<Item = String> + '_ {
        self.log.drain(..)
    }
    /// Number of members that the relay knows.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }
    /// The version under which members are given leases.
    pub fn active(&self) -> Option<u64> {
        self.upstream.active()
    }
    /// Learns of a control replica that joined after the relay was started.
    pub fn add_replica(&mut self, replica: NodeId) {
        self.upstream.add_replica(replica);
    }

    /// Restores a version that an earlier incarnation persisted.
    pub fn restore(&mut self, version: Version) {
        self.documents.insert(version.number, version);
        self.discard_old_documents();
    }

    /// When [`Relay::tick`] has something to do, at the latest.
    pub fn next_deadline(&self) -> Time {
        if !self.to_notify.is_empty() {
            return self.last_step_at;
        }
        let forget_at = self.forget_order.first().map_or(Time::MAX, |first| first.0);
        // A report that waits for the first member without an answer waits for the end of that member's lease, or of the recovery wait.
        let wait_ends_at = |awaited: &BTreeSet<MemberKey>, is_waiting: bool| match awaited
            .first()
            .and_then(|key| self.members.get(key))
        {
            Some(member) if is_waiting => {
                member.lease_ends_at.max(self.last_step_at + 1).max(self.recovery_ends_at())
            }
            None if is_waiting && self.last_step_at < self.recovery_ends_at() => self.recovery_ends_at(),
            _ => Time::MAX,
        };
        let vote_missing = self.change != 0 && self.upstream.verdict(self.change).is_none();
        let stop_missing = self.pause != 0 && self.all_stopped_for != self.pause;
        let leave_at =
            if self.is_leaving && !self.has_sent_leave { self.last_lease_ends_at() } else { Time::MAX };
        let own = wait_ends_at(&self.awaited_votes, vote_missing)
            .min(wait_ends_at(&self.awaited_stops, stop_missing))
            .min(leave_at);
        self.upstream.next_deadline().min(forget_at).min(own).min(self.next_reminder.0)
    }

    /// From then on the relay may report for all members.
    fn recovery_ends_at(&self) -> Time {
        let (target, ..) = self.upstream.last_reported();
        let is_known = self.has_joined && (target == 0 || self.documents.contains_key(&target));
        let is_fenced = is_known && self.rules_of(target).unreachable == UnreachableMembers::Fence;
        if is_fenced || self.safeguards.skip_recovery_wait {
            self.started_at
        } else {
            self.started_at + self.max_lease
        }
    }

    fn rules_of(&self, number: u64) -> Rules {
        self.documents.get(&number).map_or(Rules::default(), |version| version.rules)
    }

    /// When the last lease that this relay gave is over, also in a former incarnation; the current time where there is none.
    fn last_lease_ends_at(&self) -> Time {
        let last = self.members.values().map(|member| member.lease_ends_at).max().unwrap_or(Time::MIN);
        last.max(self.recovery_ends_at()).max(self.last_step_at)
    }

    fn push_log_line(&mut self, line: String) {
        if self.log.len() < MAX_LOG_LINES {
            self.log.push(line);
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time) -> RelayOutput<A> {
        let requests = self.upstream.tick(now);
        self.finish_step(now, requests, RelayOutput::default())
    }

    /// Handles a response of a control replica.
    pub fn handle_response(&mut self, now: Time, from: NodeId, response: Response) -> RelayOutput<A> {
        let requests = self.upstream.handle(now, from, response);
        // Guards the recovery wait against a response that came too late to be accepted: such a response does not tell the active version.
        self.has_joined |= self.upstream.has_joined();
        self.finish_step(now, requests, RelayOutput::default())
    }

    /// Records that a version of [`RelayOutput::persist`] is on the disk, or could not be put there.
    pub fn record_persisted(&mut self, now: Time, number: u64, result: Result<(), String>) -> RelayOutput<A> {
        let mut requests = Vec::new();
        match (self.persisting.remove(&number), result) {
            (Some(version), Ok(())) => {
                self.documents.insert(number, version);
                self.discard_old_documents();
            }
            (_, Ok(())) => {}
            (_, Err(why)) => {
                self.push_log_line(format!("policy {number} can't be kept: {why}"));
                // The active version can't be refused any more: its document is fetched again after a while.
                if number > self.upstream.last_reported().0 {
                    requests = self.upstream.record_verdict(
                        now,
                        number,
                        Verdict::Refused(truncate(&why, MAX_REASON_BYTES)),
                    );
                }
            }
        }
        self.finish_step(now, requests, RelayOutput::default())
    }

    /// Gives no more leases: members poll another relay, and this one leaves once the last lease is over.
    pub fn leave(&mut self, now: Time) -> RelayOutput<A> {
        self.is_leaving = true;
        self.finish_step(now, Vec::new(), RelayOutput::default())
    }

    /// Handles a request of a member or an operator.
    pub fn handle_request(&mut self, now: Time, from: A, request: Request) -> RelayOutput<A> {
        let mut output = RelayOutput::default();
        if !request.is_within_bounds() {
            return output;
        }
        let mut requests = Vec::new();
        match request {
            Request::Heartbeat {
                key,
                name,
                number,
                verdict,
                paused,
                active: active_version,
                totals: new_totals,
                ..
            } => {
                if self.record_heartbeat(now, (from, key, &name), (paused, active_version, new_totals)) {
                    requests = self.record_verdict(now, key, verdict);
                    // The step is finished before the response is made, so that the response tells the state after this request.
                    output = self.finish_step(now, std::mem::take(&mut requests), output);
                    output
                        .downstream
                        .extend(self.renew_lease(now, key, number).map(|response| (from, response)));
                }
            }
            // No response where the document is not here: the member retries, and polls another relay by then.
            Request::FetchDocument { number, version } => {
                if let Some(version) = self.documents.get(&version).cloned().map(Box::new) {
                    output.downstream.push((from, Response::Document { number, version: Some(version) }));
                }
            }
            Request::Leave { key, number } => {
                self.forget_member(key);
                if self.departed.insert(key) {
                    self.departure_order.push_back(key);
                }
                if self.departure_order.len() > MAX_DEPARTED_MEMBERS {
                    self.departure_order.pop_front().map(|first| self.departed.remove(&first));
                }
                output.downstream.push((from, Response::Done { number }));
            }
            Request::Status { number, from: first } => {
                output.downstream.push((from, self.status(now, number, first)))
            }
            Request::Propose { .. } | Request::Forget { .. } | Request::History { .. } => {
                output.downstream.push((from, Response::NotLeader { leader: 0 }));
            }
        }
        self.finish_step(now, requests, output)
    }

    /// Records a member's heartbeat; false where the member gets no response.
    fn record_heartbeat(
        &mut self,
        now: Time,
        (address, key, name): (A, MemberKey, &str),
        reported: (u64, u64, ServiceTotals),
    ) -> bool {
        let (paused, active, totals) = reported;
        // Guards against a delayed heartbeat from before the member left: only the end of its lease would end the wait for that member.
        if self.departed.contains(&key) {
            return false;
        }
        if !self.members.contains_key(&key) && self.members.len() >= MAX_MEMBERS {
            if !std::mem::replace(&mut self.is_full, true) {
                self.push_log_line(format!("{MAX_MEMBERS} members: no more are heard"));
            }
            return false;
        }
        let forget_at = now + self.rules_of(self.upstream.active().unwrap_or(0)).lease;
        let member = self.members.entry(key).or_insert_with(|| MemberRecord {
            address,
            name: truncate(name, MAX_NAME_BYTES),
            last_contact: now,
            lease_ends_at: Time::MIN,
            forget_at,
            voted: 0,
            paused: 0,
            active,
            totals,
        });
        self.forget_order.remove(&(member.forget_at, key));
        member.forget_at = member.lease_ends_at.max(forget_at);
        self.forget_order.insert((member.forget_at, key));
        (member.address, member.last_contact, member.active, member.paused) =
            (address, now, active, member.paused.max(paused));
        // Totals only grow: what the member served since its last heartbeat here is added. A member that is new, or counts from 0 again,
        // adds nothing.
        let sum = &mut self.upstream.totals;
        for (sum, last, new) in [
            (&mut sum.requests, &mut member.totals.requests, totals.requests),
            (&mut sum.succeeded_in_time, &mut member.totals.succeeded_in_time, totals.succeeded_in_time),
            (&mut sum.billed_milli, &mut member.totals.billed_milli, totals.billed_milli),
        ] {
            *sum = sum.saturating_add(new.saturating_sub(*last));
            *last = new.max(*last);
        }
        true
    }

    /// Records a member's vote. The first refusal of a change is reported to the replicas.
    fn record_verdict(
        &mut self,
        now: Time,
        key: MemberKey,
        verdict: Option<(u64, Verdict)>,
    ) -> Vec<(NodeId, Request)> {
        let Some(member) = self.members.get_mut(&key) else { return Vec::new() };
        match verdict {
            Some((change, Verdict::Prepared)) => member.voted = member.voted.max(change),
            Some((change, Verdict::Refused(why)))
                if change == self.change && change != 0 && self.refused_change != change =>
            {
                let why = truncate(&format!("{}: {why}", member.name), MAX_REASON_BYTES);
                self.refused_change = change;
                self.push_log_line(format!("policy {change} is refused: {why}"));
                return self.upstream.record_verdict(now, change, Verdict::Refused(why));
            }
            _ => {}
        }
        Vec::new()
    }

    fn forget_member(&mut self, key: MemberKey) {
        if let Some(member) = self.members.remove(&key) {
            self.forget_order.remove(&(member.forget_at, key));
        }
        self.awaited_votes.remove(&key);
        self.awaited_stops.remove(&key);
    }

    /// The lease that a member may be given. `None` is no response, so that the member polls another relay. 0 is no lease until the member
    /// has voted, or stopped, as the relay has reported for all.
    fn available_lease(&self, now: Time, member: &MemberRecord<A>) -> Option<Time> {
        let number = self.upstream.active()?;
        if self.is_leaving
            || (self.upstream.permit(now) == AdmissionPermit::Deny && !self.safeguards.outlast_own_lease)
        {
            return None;
        }
        // A member under a newer version than the relay's would ignore the response: it is to poll another relay.
        if member.active > number {
            return None;
        }
        let full_lease = self.rules_of(number).lease.min(self.max_lease);
        let rest = if self.safeguards.outlast_own_lease {
            full_lease
        } else {
            self.upstream.lease_ends_at().saturating_sub(now).min(full_lease)
        };
        let lease = rest - 1;
        if lease <= 0 {
            return None;
        }
        let has_voted = self.upstream.vote().is_none_or(|change| {
            change <= number || member.voted >= change || self.safeguards.lease_without_vote
        });
        let has_stopped = self.all_stopped_for <= number
            || member.paused >= self.all_stopped_for
            || self.safeguards.lease_without_vote;
        Some(if has_voted && has_stopped { lease } else { 0 })
    }

    /// Gives a member the lease that is available, and records it. Returns the response to the member.
    fn renew_lease(&mut self, now: Time, key: MemberKey, number: u32) -> Option<Response> {
        let version = self.upstream.active()?;
        let lease = self.available_lease(now, self.members.get(&key)?)?;
        let full_lease = self.rules_of(version).lease.min(self.max_lease);
        let member = self.members.get_mut(&key)?;
        if lease > 0 {
            member.lease_ends_at = member.lease_ends_at.max(now + lease);
            if self.change != 0 && member.voted != self.change {
                self.awaited_votes.insert(key);
            }
            if self.pause != 0 && member.paused != self.pause {
                self.awaited_stops.insert(key);
            }
            self.forget_order.remove(&(member.forget_at, key));
            member.forget_at = member.forget_at.max(member.lease_ends_at);
            self.forget_order.insert((member.forget_at, key));
        }
        let (check, pause) = (self.change, self.pause);
        let period = (lease.max(full_lease / (MIN_PERIOD_DIVISOR / 4)) / 4).max(8);
        Some(Response::Renewed { key, number, lease: Some(lease), period, version, check, pause })
    }

    /// The rollout as this relay sees it, with its members from `first` on.
    fn status(&self, now: Time, number: u32, first: MemberKey) -> Response {
        let line = |(key, member): (&MemberKey, &MemberRecord<A>)| MemberStatus {
            key: *key,
            name: member.name.clone(),
            active: member.active,
            verdict: (self.change != 0 && member.voted == self.change).then_some(Verdict::Prepared),
            paused: self.pause != 0 && member.paused == self.pause,
            silent: now - member.last_contact,
        };
        let mut lines: Vec<MemberStatus> =
            self.members.range(first..).take(MAX_MEMBERS_PER_MESSAGE / 4 + 1).map(line).collect();
        let more = lines.len() > MAX_MEMBERS_PER_MESSAGE / 4;
        lines.truncate(MAX_MEMBERS_PER_MESSAGE / 4);
        let stage = if self.pause == self.change { Stage::Barrier } else { Stage::Preparing };
        let change = (self.change != 0).then_some((self.change, stage));
        Response::Status {
            number,
            active: self.upstream.active().unwrap_or(0),
            change,
            generation: 0,
            lines,
            more,
        }
    }

    /// Carries out what follows from the event of a step: events of the upstream member, votes and stops, notifications, expired records.
    /// To be called at the end of each step.
    fn finish_step(
        &mut self,
        now: Time,
        mut requests: Vec<(NodeId, Request)>,
        mut output: RelayOutput<A>,
    ) -> RelayOutput<A> {
        self.last_step_at = self.last_step_at.max(now);
        while let Some((_, key)) = self.forget_order.first().copied().filter(|first| first.0 <= now) {
            self.forget_member(key);
        }
        // Guards the log against a member that leaves and joins over and over at the bound.
        self.is_full &= self.members.len() >= MAX_MEMBERS - MAX_MEMBERS / 8;
        let events: Vec<MemberEvent> = self.upstream.events().collect();
        for event in events {
            match event {
                MemberEvent::Check { version } => {
                    let is_known = self.documents.contains_key(&version.number);
                    if !is_known
                        && (self.persisting.len() < MAX_DOCUMENTS
                            || self.persisting.contains_key(&version.number))
                    {
                        self.persisting.insert(version.number, (*version).clone());
                        output.persist.push(*version);
                    }
                }
                MemberEvent::Activated { number } => {
                    self.push_log_line(format!("policy {number} is in force"))
                }
                MemberEvent::LeaseExpired { number } => {
                    self.push_log_line(format!("no lease on policy {number}: no members are answered"))
                }
                MemberEvent::Paused { change } => self.push_log_line(format!("all stop for policy {change}")),
            }
        }
        let (target, check, pause) = self.upstream.last_reported();
        // The active version was checked by each member that had to, and a member that refuses it now has no lease: the relay needs only
        // the document.
        let is_prepared = self.upstream.verdict(target) == Some(Verdict::Prepared);
        if target != 0 && !is_prepared && self.documents.contains_key(&target) {
            requests.extend(self.upstream.record_verdict(now, target, Verdict::Prepared));
            return self.finish_step(now, requests, output);
        }
        // Guards a zone against a disk that failed once while the version was proposed: the version became active without this relay.
        if target != 0 && !self.documents.contains_key(&target) && self.upstream.verdict(target).is_some() {
            self.upstream.forget_verdict(target);
        }
        self.newest_change = self.newest_change.max(check);
        let change = if check == self.newest_change && check > target && self.documents.contains_key(&check) {
            check
        } else {
            0
        };
        if change != self.change {
            self.change = change;
            let lacks_vote = |(key, member): (&MemberKey, &MemberRecord<A>)| {
                (change != 0 && member.lease_ends_at > now && member.voted != change).then_some(*key)
            };
            self.awaited_votes = self.members.iter().filter_map(lacks_vote).collect();
        }
        if pause != self.pause {
            self.pause = pause;
            let lacks_stop = |(key, member): (&MemberKey, &MemberRecord<A>)| {
                (pause != 0 && member.lease_ends_at > now && member.paused != pause).then_some(*key)
            };
            self.awaited_stops = self.members.iter().filter_map(lacks_stop).collect();
        }
        requests.extend(self.report_upstream(now));
        let current = (self.upstream.active().unwrap_or(0), self.change, self.pause);
        if current != self.announced {
            if current.0 != self.announced.0 || current.1 > self.announced.1 || current.2 > self.announced.2 {
                self.to_notify = self.members.keys().copied().collect();
            }
            self.announced = current;
            (self.announced_at, self.next_reminder) = (now, (now + self.reminder_interval(), MAX_REMINDERS));
        }
        if now >= self.next_reminder.0 {
            self.to_notify.extend(self.lagging_members(now));
            let left = self.next_reminder.1 - 1;
            let next = if self.to_notify.is_empty() || left == 0 {
                Time::MAX
            } else {
                now + self.reminder_interval()
            };
            self.next_reminder = (next, left);
        }
        for key in self.to_notify.drain(..self.to_notify.len().min(MAX_NOTIFICATIONS_PER_STEP)) {
            if let Some(member) = self.members.get(&key) {
                output.downstream.push((member.address, Response::Changed));
            }
        }
        if self.is_leaving && !self.has_sent_leave && self.last_lease_ends_at() <= now {
            self.has_sent_leave = true;
            requests.extend(self.upstream.leave(now));
        }
        // A document that is on the relay's own disk is not fetched.
        let is_stored = |request: &Request| matches!(request, Request::FetchDocument { version, .. } if self.documents.contains_key(version));
        output.upstream.extend(requests.into_iter().filter(|(_, request)| !is_stored(request)));
        output
    }

    fn reminder_interval(&self) -> Time {
        (self.rules_of(self.upstream.active().unwrap_or(0)).lease / REMINDER_INTERVAL_DIVISOR).max(8)
    }

    /// Members with a lease whose vote or stop is awaited, or that have sent no heartbeat since the last notification.
    fn lagging_members(&self, now: Time) -> Vec<MemberKey> {
        let is_lagging = |member: &MemberRecord<A>| {
            let lacks_vote = self.change != 0 && member.voted != self.change;
            let lacks_stop = self.pause != 0 && member.paused != self.pause;
            member.lease_ends_at > now
                && (lacks_vote || lacks_stop || member.last_contact < self.announced_at)
        };
        self.members.iter().filter(|(_, member)| is_lagging(member)).map(|(key, _)| *key).collect()
    }

    /// Votes, or reports that all have stopped, once that holds for all members.
    fn report_upstream(&mut self, now: Time) -> Vec<(NodeId, Request)> {
        let mut requests = Vec::new();
        if now < self.recovery_ends_at() {
            return requests;
        }
        let (change, pause) = (self.change, self.pause);
        let members = &self.members;
        // Looks at the first member that still has to answer, and at no other: a member that is given a lease later is inserted again.
        let are_all_done = |awaited: &mut BTreeSet<MemberKey>, is_done: &dyn Fn(&MemberRecord<A>) -> bool| {
            while let Some(key) = awaited.first().copied() {
                if members.get(&key).is_some_and(|member| member.lease_ends_at > now && !is_done(member)) {
                    return false;
                }
                awaited.pop_first();
            }
            true
        };
        let vote_missing = change != 0 && self.upstream.verdict(change).is_none();
        let all_voted =
            vote_missing && are_all_done(&mut self.awaited_votes, &|member| member.voted == change);
        let stop_missing = pause != 0 && self.all_stopped_for != pause;
        let all_stopped =
            stop_missing && are_all_done(&mut self.awaited_stops, &|member| member.paused == pause);
        if vote_missing && (all_voted || self.safeguards.vote_before_members) {
            requests.extend(self.upstream.record_verdict(now, change, Verdict::Prepared));
            self.push_log_line(format!("policy {change} is good for {} members", self.members.len()));
        }
        if stop_missing && (all_stopped || self.safeguards.stop_before_members) {
            self.all_stopped_for = pause;
            requests.extend(self.upstream.record_all_paused(now, pause));
        }
        requests
    }

    /// Discards the oldest documents that no member can fetch any more.
    fn discard_old_documents(&mut self) {
        let (target, check, _) = self.upstream.last_reported();
        let needed = [target, check, self.upstream.active().unwrap_or(0)];
        while self.documents.len() > MAX_DOCUMENTS {
            let Some(first) = self.documents.keys().copied().find(|number| !needed.contains(number)) else {
                return;
            };
            self.documents.remove(&first);
        }
    }
}
