//! At an instance: asks for its lease on the version in force, fetches and checks what is proposed, knows under which version it may
//! admit now. Checking and keeping texts is the caller's; it says how that went.

use crate::messages::{Request, Response, Verdict};
use crate::state::Version;
use crate::watch::ServiceTotals;
use crate::{clock_drift_margin, MemberKey, NodeId, SeededRng, Time, SECOND};
use std::collections::VecDeque;

/// Askings whose answers are still taken.
const MAX_PENDING_HEARTBEATS: usize = 8;

/// What changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// To be checked in full and kept; `checked` says how that went.
    Check { version: Box<Version> },
    /// Admitted under from now on.
    Activated { number: u64 },
    /// Its lease is over: nothing is admitted until `InForce`.
    LeaseExpired { number: u64 },
    /// Nothing is admitted for a moment: what comes is held until `InForce` or `Ready`.
    Paused { change: u64 },
}

/// How it stands to what comes now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionPermit {
    Admit(u64),
    /// A change stops everybody for a moment.
    Hold,
    Deny,
}

/// Guards that tests take out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisabledSafeguards {
    /// It serves on after its lease.
    pub ignore_lease_end: bool,
}

#[derive(Clone, Debug)]
pub struct RolloutMember {
    key: MemberKey,
    name: String,
    replicas: Vec<NodeId>,
    current_replica: usize,
    rng: SeededRng,
    /// From when it asks what; and how often, as the replicas said last.
    next_heartbeat: Time,
    period: Time,
    unanswered: u32,
    /// How long the last answer took.
    round_trip: Time,
    redirects_followed: u32,
    number: u32,
    pending_heartbeats: VecDeque<(u32, Time)>,
    wants_to_join: bool,
    /// What it admits under, and until when.
    active: Option<u64>,
    lease_ends_at: Time,
    /// The replicas' word on what is in force; its own where it follows.
    target: u64,
    /// Texts that are checked: the newest two.
    verdicts: Vec<(u64, Verdict)>,
    /// A text that is fetched or being checked.
    fetching: Option<(u64, Time)>,
    /// The change it was told of, and since which asking its yes was on the way.
    check: u64,
    vote: Option<(u64, u32)>,
    paused: u64,
    /// Where it speaks for others too: the last change for which all of them have stopped. None where it speaks for itself.
    others_stopped: Option<u64>,
    is_leaving: bool,
    left: bool,
    first_leave_number: u32,
    pub totals: ServiceTotals,
    /// The lease, as it was last told or assumed: what a yes binds for.
    lease: Time,
    /// The last word told of `target` and gave no lease on it: what it has is one on the version before, for as long as that one's.
    has_no_lease_on_target: bool,
    events: VecDeque<MemberEvent>,
    /// It asks whom it asked before, whoever tells it of news: as programs of before did, to be played beside the others.
    pub older: bool,
    pub safeguards: DisabledSafeguards,
}

impl RolloutMember {
    pub fn new(now: Time, name: &str, key: MemberKey, replicas: Vec<NodeId>) -> RolloutMember {
        let mut rng = SeededRng::new(key.0 ^ key.1);
        let current_replica = rng.below(replicas.len() as u64) as usize;
        RolloutMember {
            key,
            name: name.to_string(),
            replicas,
            current_replica,
            rng,
            next_heartbeat: now,
            period: SECOND / 2,
            unanswered: 0,
            round_trip: 0,
            redirects_followed: 0,
            number: 0,
            pending_heartbeats: VecDeque::new(),
            wants_to_join: true,
            active: None,
            lease_ends_at: Time::MIN,
            target: 0,
            verdicts: vec![(0, Verdict::Prepared)],
            fetching: None,
            check: 0,
            vote: None,
            paused: 0,
            others_stopped: None,
            is_leaving: false,
            left: false,
            first_leave_number: 0,
            totals: ServiceTotals::default(),
            lease: SECOND,
            has_no_lease_on_target: false,
            events: VecDeque::new(),
            older: false,
            safeguards: DisabledSafeguards::default(),
        }
    }

    /// A text that this disk has kept, and that was found good just now: it need not be fetched.
    pub fn restore(&mut self, number: u64) {
        self.store_verdict(number, Verdict::Prepared);
    }

    /// No replica answers, and the operator allows to begin under what was in force last.
    pub fn start_alone(&mut self, number: u64) {
        if self.active.is_none() && self.number > 0 {
            (self.active, self.lease_ends_at) = (Some(number), Time::MAX);
            self.events.push_back(MemberEvent::Activated { number });
        }
    }

    /// It speaks for others too: that it admits nothing is not said before `stopped`.
    pub fn speak_for_others(&mut self) {
        self.others_stopped = Some(0);
    }

    /// All for whom it speaks have stopped for this change.
    pub fn all_stopped(&mut self, now: Time, change: u64) -> Vec<(NodeId, Request)> {
        self.others_stopped = Some(change);
        self.heartbeat_soon(now)
    }

    pub fn key(&self) -> MemberKey {
        self.key
    }
    /// What it was told last: the version in force, a change to check, and one for which it admits nothing; 0 for none.
    pub fn told(&self) -> (u64, u64, u64) {
        (self.target, self.check, self.paused)
    }
    pub fn active(&self) -> Option<u64> {
        self.active
    }
    /// It has taken a word on what holds since it joined.
    pub fn has_joined(&self) -> bool {
        !self.wants_to_join
    }
    /// It admits nothing until a change is in force.
    pub fn is_paused(&self) -> bool {
        self.paused != 0
    }
    pub fn lease_ends_at(&self) -> Time {
        self.lease_ends_at
    }
    pub fn events(&mut self) -> impl Iterator<Item = MemberEvent> + '_ {
        self.events.drain(..)
    }
    pub fn has_left(&self) -> bool {
        self.left
    }

    /// To be asked at each admission.
    pub fn permit(&self, now: Time) -> AdmissionPermit {
        match self.active {
            _ if now >= self.lease_ends_at && !self.safeguards.ignore_lease_end => AdmissionPermit::Deny,
            Some(_) if self.paused != 0 => AdmissionPermit::Hold,
            Some(number) => AdmissionPermit::Admit(number),
            None => AdmissionPermit::Deny,
        }
    }

    pub fn next_deadline(&self) -> Time {
        if self.left {
            return Time::MAX;
        }
        let over = if self.active.is_some() && !self.safeguards.ignore_lease_end {
            self.lease_ends_at
        } else {
            Time::MAX
        };
        let fetch = self.fetching.map_or(Time::MAX, |coming| coming.1);
        self.next_heartbeat.min(over).min(fetch)
    }

    /// A replica that came after this instance was started.
    pub fn add_replica(&mut self, replica: NodeId) {
        if !self.replicas.contains(&replica) {
            self.replicas.push(replica);
        }
    }

    fn to_current_replica(&self, request: Request) -> Vec<(NodeId, Request)> {
        self.replicas.get(self.current_replica).map(|replica| (*replica, request)).into_iter().collect()
    }

    fn heartbeat(&mut self, now: Time) -> Vec<(NodeId, Request)> {
        self.number = self.number.wrapping_add(1);
        self.pending_heartbeats.push_back((self.number, now));
        if self.pending_heartbeats.len() > MAX_PENDING_HEARTBEATS {
            self.pending_heartbeats.pop_front();
        }
        let verdict = self.verdict(self.check).filter(|_| self.check != 0).map(|found| (self.check, found));
        if matches!(verdict, Some((_, Verdict::Prepared)))
            && self.vote.is_none_or(|vote| vote.0 != self.check)
        {
            // From here on it can't know by itself that this is not taken: it goes by its lease, also where it had none.
            self.vote = Some((self.check, self.number));
            self.lease_ends_at = self.lease_ends_at.min(now + self.lease - clock_drift_margin(self.lease));
        }
        let request = Request::Heartbeat {
            key: self.key,
            name: self.name.clone(),
            joins: self.wants_to_join,
            number: self.number,
            verdict,
            paused: if self.others_stopped.is_none_or(|all| all == self.paused) { self.paused } else { 0 },
            active: self.active.unwrap_or(0),
            totals: self.totals,
        };
        self.to_current_replica(request)
    }

    /// What was found of a text, where it is known.
    pub fn verdict(&self, number: u64) -> Option<Verdict> {
        self.verdicts.iter().find(|(known, _)| *known == number).map(|(_, found)| found.clone())
    }

    /// What was found of a text counts no more: it is fetched anew where it is asked for.
    pub fn forget_verdict(&mut self, number: u64) {
        self.verdicts.retain(|(known, _)| *known != number);
    }

    fn store_verdict(&mut self, number: u64, verdict: Verdict) {
        self.verdicts.retain(|(known, _)| *known != number);
        self.verdicts.push((number, verdict));
        // Its own file, what is in force, what is proposed, and one more.
        if self.verdicts.len() > 4 {
            let keep = [0, self.active.unwrap_or(0), self.target, self.check];
            if let Some(at) = self.verdicts.iter().position(|(known, _)| !keep.contains(known)) {
                self.verdicts.remove(at);
            }
        }
    }

    pub fn tick(&mut self, now: Time) -> Vec<(NodeId, Request)> {
        let mut out = Vec::new();
        if self.left {
            return out;
        }
        if let Some(number) =
            self.active.filter(|_| now >= self.lease_ends_at && !self.safeguards.ignore_lease_end)
        {
            self.active = None;
            self.events.push_back(MemberEvent::LeaseExpired { number });
        }
        if let Some((number, _)) = self.fetching.filter(|coming| now >= coming.1) {
            self.fetching = Some((number, now + self.fetch_retry_delay()));
            out.extend(self.fetch(number));
        }
        if now >= self.next_heartbeat {
            // Each replica twice: mostly it was the letter that was lost, and whoever leads answers soonest.
            if self.unanswered > 0 && self.unanswered.is_multiple_of(2) {
                self.current_replica = (self.current_replica + 1) % self.replicas.len().max(1);
            }
            // Guards a lease against letters that are lost: it does not lie back while its lease runs out. Where no replica answers this
            // is over with the lease, so that replicas that come back are not met by all at once for long.
            let runs_out = self.active.is_some() && self.lease_ends_at < Time::MAX;
            let wait = if runs_out || self.unanswered < 4 { self.retry_delay() } else { 2 * self.period };
            let spread = self.rng.below((wait / 8).max(1) as u64) as Time;
            self.next_heartbeat = now + wait + spread;
            (self.unanswered, self.redirects_followed) = (self.unanswered.saturating_add(1), 0);
            out.extend(if self.is_leaving { self.send_leave() } else { self.heartbeat(now) });
        }
        out
    }

    /// Time for an answer before it is asked again: a quarter of what lies between renewals, more where answers take long.
    fn retry_delay(&self) -> Time {
        (self.period / 4)
            .max(crate::coordinator::MIN_RETRY_DELAY)
            .max(2 * self.round_trip)
            .min(self.fetch_retry_delay())
    }

    /// Time for a text before it is fetched again.
    fn fetch_retry_delay(&self) -> Time {
        (self.period / 2).max(crate::coordinator::MIN_RETRY_DELAY)
    }

    fn send_leave(&mut self) -> Vec<(NodeId, Request)> {
        self.number = self.number.wrapping_add(1);
        if self.first_leave_number == 0 {
            self.first_leave_number = self.number;
        }
        self.to_current_replica(Request::Leave { key: self.key, number: self.number })
    }

    fn fetch(&mut self, version: u64) -> Vec<(NodeId, Request)> {
        self.number = self.number.wrapping_add(1);
        self.to_current_replica(Request::FetchDocument { number: self.number, version })
    }

    /// Something that the replicas should hear of soon: a verdict, a pause.
    fn heartbeat_soon(&mut self, now: Time) -> Vec<(NodeId, Request)> {
        self.next_heartbeat = now;
        self.unanswered = 0;
        self.tick(now)
    }

    /// It drains and admits nothing any more: changes go on without it.
    pub fn leave(&mut self, now: Time) -> Vec<(NodeId, Request)> {
        (self.is_leaving, self.active, self.lease_ends_at, self.fetching) = (true, None, Time::MIN, None);
        self.heartbeat_soon(now)
    }

    /// A text was checked, and is on the disk where it was good.
    pub fn record_verdict(&mut self, now: Time, number: u64, verdict: Verdict) -> Vec<(NodeId, Request)> {
        self.store_verdict(number, verdict);
        if self.fetching.is_some_and(|coming| coming.0 == number) {
            self.fetching = None;
        }
        self.activate_if_ready(now);
        self.heartbeat_soon(now)
    }

    /// Goes over to what the replicas want, where it can.
    fn activate_if_ready(&mut self, now: Time) {
        // Guards the bound on mixture: a lease on one version is none on the next, which may have a shorter one.
        let lent = self.has_no_lease_on_target && self.active.is_some();
        let ready = now < self.lease_ends_at && self.verdict(self.target) == Some(Verdict::Prepared) && !lent;
        if ready && self.active != Some(self.target) {
            self.active = Some(self.target);
            self.events.push_back(MemberEvent::Activated { number: self.target });
        }
    }

    pub fn handle(&mut self, now: Time, from: NodeId, response: Response) -> Vec<(NodeId, Request)> {
        if !response.is_within_bounds() || self.left {
            return Vec::new();
        }
        match response {
            Response::Renewed { key, number, lease, period, version, check, pause } if key == self.key => {
                let asked = self.pending_heartbeats.iter().find(|(one, _)| *one == number).map(|(_, at)| *at);
                let Some(asked) = asked.filter(|_| !self.is_leaving) else { return Vec::new() };
                self.record_response(from);
                (self.wants_to_join, self.round_trip) = (false, now - asked);
                self.period = period;
                self.next_heartbeat = asked.max(now - period) + period;
                self.handle_renewed(now, (asked, number), lease, (version, check, pause))
            }
            Response::MembershipExpired { key } if key == self.key && !self.is_leaving => {
                // Its lease is over at the replicas: what it was told before counts no more.
                if let Some(number) = self.active.take() {
                    self.events.push_back(MemberEvent::LeaseExpired { number });
                }
                (self.lease_ends_at, self.wants_to_join, self.paused, self.vote) = (Time::MIN, true, 0, None);
                self.pending_heartbeats.clear();
                self.record_response(from);
                self.heartbeat_soon(now)
            }
            Response::Document { version: Some(version), .. } => {
                let number = version.number;
                if self.fetching.is_none_or(|coming| coming.0 != number) || self.verdict(number).is_some() {
                    return Vec::new();
                }
                // It is being checked: not fetched again until long after.
                self.fetching = Some((number, now + 20 * SECOND));
                self.events.push_back(MemberEvent::Check { version });
                Vec::new()
            }
            Response::Document { version: None, .. } => {
                self.fetching = None;
                self.heartbeat_soon(now)
            }
            Response::Done { number } if self.is_leaving => {
                self.left = number.wrapping_sub(self.first_leave_number) < u32::MAX / 2;
                Vec::new()
            }
            Response::Changed => {
                // Whoever tells is asked: it may wait for this member's word, also where another was asked last.
                if !self.older {
                    self.record_response(from);
                }
                self.heartbeat_soon(now)
            }
            Response::NotLeader { leader } => {
                let known = self.replicas.iter().position(|replica| *replica == leader && leader != from);
                let Some(at) = known.filter(|_| self.redirects_followed < 2) else { return Vec::new() };
                let led = self.redirects_followed + 1;
                self.current_replica = at;
                let out = self.heartbeat_soon(now);
                self.redirects_followed = led;
                out
            }
            _ => Vec::new(),
        }
    }

    /// A word of the replicas on what holds, asked for at `asked`.
    fn handle_renewed(
        &mut self,
        now: Time,
        (asked, number): (Time, u32),
        lease: Option<Time>,
        (version, check, pause): (u64, u64, u64),
    ) -> Vec<(NodeId, Request)> {
        if version < self.target {
            return Vec::new(); // of before what it has heard already
        }
        (self.target, self.check) = (version, check);
        let ready = self.verdict(version) == Some(Verdict::Prepared);
        self.has_no_lease_on_target = lease == Some(0);
        if self.paused <= version
            && std::mem::take(&mut self.paused) != 0
            && (!ready || self.has_no_lease_on_target)
        {
            // What stopped all is over, and the others go on under it: the older one may not come back, and the new one is not here, or
            // there is no lease on it yet.
            if let Some(number) = self.active.take() {
                self.events.push_back(MemberEvent::LeaseExpired { number });
            }
        }
        if let Some((of, since)) = self.vote {
            // Over, by a word that was asked for with the yes or after it.
            if (of != check && number >= since) || of <= version {
                self.vote = None;
            }
        }
        // A relay that has said yes, or has stopped, for all below gives one that came over from another no lease before it has done so
        // too. Guards the lease that it had: neither this word nor its own yes ends that. AdmissionPermit hurt nobody: it is as long as it was.
        let bare = self.has_no_lease_on_target;
        if !bare {
            self.lease = lease.unwrap_or(4 * self.period);
        }
        let bound = asked + self.lease - clock_drift_margin(self.lease);
        let until = match (lease, self.vote) {
            (None, None) => Time::MAX,
            _ => bound,
        };
        match self.active {
            // One that began alone has none, nor does anybody count it: it has an end from here on, as under any other word.
            Some(_) if bare && self.lease_ends_at == Time::MAX => self.lease_ends_at = bound,
            Some(_) if bare => {}
            Some(own) if own == version => {
                self.lease_ends_at = if until == Time::MAX || self.lease_ends_at == Time::MAX {
                    until
                } else {
                    self.lease_ends_at.max(until)
                };
            }
            // Goes over to another, or begins.
            Some(_) if ready => self.lease_ends_at = until,
            None if bare => self.lease_ends_at = asked,
            None => self.lease_ends_at = until,
            // It goes on with the old one until that lease is over or the new one is here; not for good, whatever it had.
            Some(_) => self.lease_ends_at = self.lease_ends_at.min(bound),
        }
        let mut out = Vec::new();
        if pause > version && self.paused != pause {
            self.paused = pause;
            if self.active.is_some() {
                self.events.push_back(MemberEvent::Paused { change: pause });
            }
            out.extend(self.heartbeat_soon(now));
        }
        self.activate_if_ready(now);
        // What is in force comes before what is proposed.
        for need in [self.target, self.check] {
            if need != 0 && self.verdict(need).is_none() {
                if self.fetching.is_none_or(|coming| coming.0 != need) {
                    self.fetching = Some((need, now + self.fetch_retry_delay()));
                    out.extend(self.fetch(need));
                }
                break;
            }
        }
        // A yes that is ready is not kept for the next period.
        let told = self.vote.is_some_and(|vote| vote.0 == check);
        if check != 0 && !told && self.verdict(check) == Some(Verdict::Prepared) && check > version {
            out.extend(self.heartbeat_soon(now));
        }
        out
    }

    fn record_response(&mut self, from: NodeId) {
        self.unanswered = 0;
        if let Some(at) = self.replicas.iter().position(|replica| *replica == from) {
            self.current_replica = at;
        }
    }
}
