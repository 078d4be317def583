//! One relay: to the keepers a member under its own name, to its members a desk.
//!
//! # Why nobody below outlives its lease
//!
//! A relay holds its lease L, counted from its own asking, to be over after L - early(L) by its own clock; a keeper counts L from when
//! it heard that asking. A member that is given l holds it to be over l - early(l) after its own asking, by its own clock. Clocks run
//! apart by one part in 40 at the most between any two, and l + 1 is at most what is left to the relay: (l - l/40 + 39/40) * 41/40 is
//! less than l + 1, so a member has stopped before its relay's lease is over by the relay's clock, and for the same reason that is
//! before it is over by the keeper's. Each of the two hops has its own `early`, and needs no more than that.
//!
//! Where changes wait for everybody the relay's lease has no end until its yes; then `l` is the lease of the version in force, and is
//! never counted from later than the yes: the keepers, who count that lease from hearing the yes, hold the relay for gone no sooner.
//!
//! # What a word upward says
//!
//! A yes: each member that holds a lease of this relay has said yes; from then on until that change is over, one that has not is given
//! none. So whoever admits at the moment of the decision has the text. A pause is the same with "has stopped". One that asks another
//! relay of its zone counts here until its lease from here is over, as that lease can't be called back.
//!
//! # A new life
//!
//! Its table is empty while members may hold leases of the former life. Under [`UnreachableMembers::Fence`] that life is a member of its own at the
//! keepers until its lease is over, and by then those of its members are: nothing has to be waited for. Under [`UnreachableMembers::Wait`] the new
//! life takes the former's place as soon as it joins: it says neither yes nor that all have stopped, nor does it leave, until the longest
//! lease that a former life can have given (`most`) is over by its own clock; nor where it doesn't know yet by which rule it joined. No version comes in force in between, as that needs its word. Leases
//! it may give at once in both cases: they are in its table.

use cypresscleat_rollout::member::{AdmissionPermit, MemberEvent, RolloutMember};
use cypresscleat_rollout::messages::{MemberStatus, Request, Response, Verdict};
use cypresscleat_rollout::state::Stage;
use cypresscleat_rollout::watch::ServiceTotals;
use cypresscleat_rollout::{
    truncate, MemberKey, NodeId, Rules, Time, UnreachableMembers, Version, MAX_MEMBERS_PER_MESSAGE,
    MAX_NAME_BYTES, MAX_REASON_BYTES,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Members of one relay; one more is not answered, and asks another.
pub const MAX_MEMBERS: usize = 4_096;
/// Texts in memory, and as many on their way to the disk.
const TEXTS: usize = 6;
/// Members that are told of news in one step.
const PUSHED: usize = 256;
/// Lives that left and are remembered: as many as may leave while a letter is on its way.
const LEFT: usize = 1_024;
const LINES: usize = 256;
/// Those that lag are told again so often, a part of the lease apart: the letter may be lost, or they ask another relay by now.
const AGAIN: u32 = 8;
const AGAIN_AFTER: Time = 8;
/// A member is asked to come no more often than this part of the lease, so that a relay whose own lease is short is not asked by all.
const OFTEN: Time = 16;

/// What is to be done: words to keepers, words to members, texts to be put on the disk (`kept` says how that went).
#[derive(Clone, Debug)]
pub struct Out<A> {
    pub up: Vec<(NodeId, Request)>,
    pub down: Vec<(A, Response)>,
    pub keep: Vec<Version>,
}

impl<A> Default for Out<A> {
    fn default() -> Out<A> {
        Out { up: Vec::new(), down: Vec::new(), keep: Vec::new() }
    }
}

/// Guards that tests take out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Broken {
    /// It says yes before all below have.
    pub yes_alone: bool,
    /// Leases below go on past its own.
    pub longer: bool,
    /// After its yes it gives leases to members that have not said yes.
    pub to_all: bool,
    /// It says that all have stopped once it has heard that they are to.
    pub stops_alone: bool,
    /// A new life speaks for all below at once, also where the former's place was taken.
    pub no_wait: bool,
}

/// A member, as it was last heard.
#[derive(Debug)]
struct Below<A> {
    at: A,
    name: String,
    heard: Time,
    /// It may hold a lease of this relay until then.
    until: Time,
    /// Nothing is known of it after that.
    goes: Time,
    /// The newest change to which it said yes, and the newest for which it has stopped.
    good: u64,
    paused: u64,
    has: u64,
    seen: ServiceTotals,
}

/// `A` is where a member hears.
#[derive(Debug)]
pub struct Relay<A> {
    up: RolloutMember,
    started: Time,
    /// It knows what is in force, and so by which rule it joined.
    heard: bool,
    most: Time,
    looked: Time,
    below: BTreeMap<MemberKey, Below<A>>,
    /// The same by when they are forgotten.
    oldest: BTreeSet<(Time, MemberKey)>,
    left: BTreeSet<MemberKey>,
    left_first: VecDeque<MemberKey>,
    texts: BTreeMap<u64, Version>,
    /// On their way to the disk.
    keeping: BTreeMap<u64, Version>,
    /// The newest change that was heard of: an older one in a letter that came late is none.
    newest: u64,
    /// The change that members are asked about, and those with a lease that may not have said yes yet.
    change: u64,
    without: BTreeSet<MemberKey>,
    refused: u64,
    /// The change for which all are to stop, those that may not have, and the last for which all had.
    pause: u64,
    going: BTreeSet<MemberKey>,
    stopped: u64,
    /// Version, change and pause that members were told of last, and who is still to be told.
    told: (u64, u64, u64),
    to_tell: VecDeque<MemberKey>,
    /// Since when that stands, when those that lag are told again, and how often still.
    since: Time,
    again: (Time, u32),
    /// It gives no more leases; and has said so above, as the last is over.
    leaving: bool,
    gone: bool,
    full: bool,
    log: Vec<String>,
    pub broken: Broken,
}

impl<A: Copy + Ord> Relay<A> {
    /// `most` is the longest lease that it gives, in any of its lives: to be raised by a restart, and lowered only after a wait.
    pub fn new(now: Time, name: &str, key: MemberKey, keepers: Vec<NodeId>, most: Time) -> Relay<A> {
        let mut up = RolloutMember::new(now, name, key, keepers);
        up.represent_others();
        Relay {
            up,
            started: now,
            heard: false,
            most: most.max(1),
            looked: now,
            below: BTreeMap::new(),
            oldest: BTreeSet::new(),
            left: BTreeSet::new(),
            left_first: VecDeque::new(),
            texts: BTreeMap::new(),
            keeping: BTreeMap::new(),
            newest: 0,
            change: 0,
            without: BTreeSet::new(),
            refused: 0,
            pause: 0,
            going: BTreeSet::new(),
            stopped: 0,
            told: (0, 0, 0),
            to_tell: VecDeque::new(),
            since: now,
            again: (Time::MAX, 0),
            leaving: false,
            gone: false,
            full: false,
            log: Vec::new(),
            broken: Broken::default(),
        }
    }

    pub fn left(&self) -> bool {
        self.up.has_left()
    }
    pub fn log(&mut self) -> impl Iterator<Item = String> + '_ {
        self.log.drain(..)
    }
    pub fn members(&self) -> usize {
        self.below.len()
    }
    pub fn in_force(&self) -> Option<u64> {
        self.up.active()
    }
    pub fn learns(&mut self, keeper: NodeId) {
        self.up.add_replica(keeper);
    }

    /// A text that an earlier life kept.
    pub fn knows(&mut self, version: Version) {
        self.texts.insert(version.number, version);
        self.cuts_texts();
    }

    /// When it has to look again, at the latest.
    pub fn due(&self) -> Time {
        if !self.to_tell.is_empty() {
            return self.looked;
        }
        let goes = self.oldest.first().map_or(Time::MAX, |first| first.0);
        // What waits for the first of those that have not answered waits for the end of its lease, or of the wait of a new life.
        let waits =
            |set: &BTreeSet<MemberKey>, ready: bool| match set.first().and_then(|key| self.below.get(key)) {
                Some(one) if ready => one.until.max(self.looked + 1).max(self.ready_at()),
                None if ready && self.looked < self.ready_at() => self.ready_at(),
                _ => Time::MAX,
            };
        let asked = self.change != 0 && self.up.verdict(self.change).is_none();
        let stops = self.pause != 0 && self.stopped != self.pause;
        let ends = if self.leaving && !self.gone { self.lease_ends() } else { Time::MAX };
        let own = waits(&self.without, asked).min(waits(&self.going, stops)).min(ends);
        self.up.next_deadline().min(goes).min(own).min(self.again.0)
    }

    /// From when on it may speak for all below.
    fn ready_at(&self) -> Time {
        let (wanted, ..) = self.up.last_reported();
        let known = self.heard && (wanted == 0 || self.texts.contains_key(&wanted));
        let fence = known && self.rules(wanted).unreachable == UnreachableMembers::Fence;
        if fence || self.broken.no_wait {
            self.started
        } else {
            self.started + self.most
        }
    }

    fn rules(&self, number: u64) -> Rules {
        self.texts.get(&number).map_or(Rules::default(), |version| version.rules)
    }

    /// When the last lease below is over, those of a former life too; now where there is none.
    fn lease_ends(&self) -> Time {
        let last = self.below.values().map(|one| one.until).max().unwrap_or(Time::MIN);
        last.max(self.ready_at()).max(self.looked)
    }

    fn says(&mut self, line: String) {
        if self.log.len() < LINES {
            self.log.push(line);
        }
    }

    pub fn tick(&mut self, now: Time) -> Out<A> {
        let asks = self.up.tick(now);
        self.settles(now, asks, Out::default())
    }

    /// A keeper's word.
    pub fn from_above(&mut self, now: Time, from: NodeId, answer: Response) -> Out<A> {
        let asks = self.up.handle(now, from, answer);
        // Guards the wait of a new life against an answer that came too late to be taken: it tells nothing of what is in force.
        self.heard |= self.up.has_joined();
        self.settles(now, asks, Out::default())
    }

    /// A text of `Out::keep` is on the disk, or can't be.
    pub fn kept(&mut self, now: Time, number: u64, kept: Result<(), String>) -> Out<A> {
        let mut asks = Vec::new();
        match (self.keeping.remove(&number), kept) {
            (Some(version), Ok(())) => {
                self.texts.insert(number, version);
                self.cuts_texts();
            }
            (_, Ok(())) => {}
            (_, Err(why)) => {
                self.says(format!("policy {number} can't be kept: {why}"));
                // What is in force can't be refused any more: it is fetched again after a while.
                if number > self.up.last_reported().0 {
                    asks = self.up.record_verdict(
                        now,
                        number,
                        Verdict::Refused(truncate(&why, MAX_REASON_BYTES)),
                    );
                }
            }
        }
        self.settles(now, asks, Out::default())
    }

    /// No more leases; its members ask another, and it goes once the last lease is over.
    pub fn leaves(&mut self, now: Time) -> Out<A> {
        self.leaving = true;
        self.settles(now, Vec::new(), Out::default())
    }

    /// A member's word.
    pub fn from_below(&mut self, now: Time, from: A, ask: Request) -> Out<A> {
        let mut out = Out::default();
        if !ask.is_within_bounds() {
            return out;
        }
        let mut asks = Vec::new();
        match ask {
            Request::Heartbeat { key, name, number, verdict, paused, active: has, totals: seen, .. } => {
                if self.hears(now, (from, key, &name), (paused, has, seen)) {
                    asks = self.finds(now, key, verdict);
                    // First what this letter changes, as its answer says how things stand after it.
                    out = self.settles(now, std::mem::take(&mut asks), out);
                    out.down.extend(self.holds(now, key, number).map(|answer| (from, answer)));
                }
            }
            // Silence where it is not here: the member asks again, and another one by then.
            Request::FetchDocument { number, version } => {
                if let Some(version) = self.texts.get(&version).cloned().map(Box::new) {
                    out.down.push((from, Response::Document { number, version: Some(version) }));
                }
            }
            Request::Leave { key, number } => {
                self.forgets(key);
                if self.left.insert(key) {
                    self.left_first.push_back(key);
                }
                if self.left_first.len() > LEFT {
                    self.left_first.pop_front().map(|first| self.left.remove(&first));
                }
                out.down.push((from, Response::Done { number }));
            }
            Request::Status { number, from: first } => out.down.push((from, self.status(now, number, first))),
            Request::Propose { .. } | Request::Forget { .. } | Request::History { .. } => {
                out.down.push((from, Response::NotLeader { leader: 0 }));
            }
        }
        self.settles(now, asks, out)
    }

    /// Takes down that a member is here; false where it is not to be heard.
    fn hears(
        &mut self,
        now: Time,
        (at, key, name): (A, MemberKey, &str),
        said: (u64, u64, ServiceTotals),
    ) -> bool {
        let (paused, has, seen) = said;
        // Guards against a letter from before it left that comes late: nothing would end the wait for it but its lease.
        if self.left.contains(&key) {
            return false;
        }
        if !self.below.contains_key(&key) && self.below.len() >= MAX_MEMBERS {
            if !std::mem::replace(&mut self.full, true) {
                self.says(format!("{MAX_MEMBERS} members: no more are heard"));
            }
            return false;
        }
        let goes = now + self.rules(self.up.active().unwrap_or(0)).lease;
        let one = self.below.entry(key).or_insert_with(|| Below {
            at,
            name: truncate(name, MAX_NAME_BYTES),
            heard: now,
            until: Time::MIN,
            goes,
            good: 0,
            paused: 0,
            has,
            seen,
        });
        self.oldest.remove(&(one.goes, key));
        one.goes = one.until.max(goes);
        self.oldest.insert((one.goes, key));
        (one.at, one.heard, one.has, one.paused) = (at, now, has, one.paused.max(paused));
        // Sums only grow: what a member did since it was last heard here, and nothing for one that is new or counts anew.
        let sum = &mut self.up.totals;
        for (sum, last, new) in [
            (&mut sum.requests, &mut one.seen.requests, seen.requests),
            (&mut sum.succeeded_in_time, &mut one.seen.succeeded_in_time, seen.succeeded_in_time),
            (&mut sum.billed_milli, &mut one.seen.billed_milli, seen.billed_milli),
        ] {
            *sum = sum.saturating_add(new.saturating_sub(*last));
            *last = new.max(*last);
        }
        true
    }

    fn finds(
        &mut self,
        now: Time,
        key: MemberKey,
        verdict: Option<(u64, Verdict)>,
    ) -> Vec<(NodeId, Request)> {
        let Some(one) = self.below.get_mut(&key) else { return Vec::new() };
        match verdict {
            Some((of, Verdict::Prepared)) => one.good = one.good.max(of),
            Some((of, Verdict::Refused(why))) if of == self.change && of != 0 && self.refused != of => {
                let why = truncate(&format!("{}: {why}", one.name), MAX_REASON_BYTES);
                self.refused = of;
                self.says(format!("policy {of} is refused: {why}"));
                return self.up.record_verdict(now, of, Verdict::Refused(why));
            }
            _ => {}
        }
        Vec::new()
    }

    fn forgets(&mut self, key: MemberKey) {
        if let Some(one) = self.below.remove(&key) {
            self.oldest.remove(&(one.goes, key));
        }
        self.without.remove(&key);
        self.going.remove(&key);
    }

    /// The lease that a member may be given: none at all, so that it asks another; or none before it has said what all have said.
    fn lease(&self, now: Time, one: &Below<A>) -> Option<Time> {
        let number = self.up.active()?;
        if self.leaving || (self.up.permit(now) == AdmissionPermit::Deny && !self.broken.longer) {
            return None;
        }
        // One that is further than this relay would not take its word: it is to ask another.
        if one.has > number {
            return None;
        }
        let whole = self.rules(number).lease.min(self.most);
        let rest =
            if self.broken.longer { whole } else { self.up.lease_ends_at().saturating_sub(now).min(whole) };
        let lease = rest - 1;
        if lease <= 0 {
            return None;
        }
        let yes = self.up.vote().is_none_or(|of| of <= number || one.good >= of || self.broken.to_all);
        let stopped = self.stopped <= number || one.paused >= self.stopped || self.broken.to_all;
        Some(if yes && stopped { lease } else { 0 })
    }

    fn holds(&mut self, now: Time, key: MemberKey, number: u32) -> Option<Response> {
        let version = self.up.active()?;
        let lease = self.lease(now, self.below.get(&key)?)?;
        let whole = self.rules(version).lease.min(self.most);
        let one = self.below.get_mut(&key)?;
        if lease > 0 {
            one.until = one.until.max(now + lease);
            if self.change != 0 && one.good != self.change {
                self.without.insert(key);
            }
            if self.pause != 0 && one.paused != self.pause {
                self.going.insert(key);
            }
            self.oldest.remove(&(one.goes, key));
            one.goes = one.goes.max(one.until);
            self.oldest.insert((one.goes, key));
        }
        let (check, pause) = (self.change, self.pause);
        let period = (lease.max(whole / (OFTEN / 4)) / 4).max(8);
        Some(Response::Renewed { key, number, lease: Some(lease), period, version, check, pause })
    }

    fn status(&self, now: Time, number: u32, first: MemberKey) -> Response {
        let line = |(key, one): (&MemberKey, &Below<A>)| MemberStatus {
            key: *key,
            name: one.name.clone(),
            active: one.has,
            verdict: (self.change != 0 && one.good == self.change).then_some(Verdict::Prepared),
            paused: self.pause != 0 && one.paused == self.pause,
            silent: now - one.heard,
        };
        let mut lines: Vec<MemberStatus> =
            self.below.range(first..).take(MAX_MEMBERS_PER_MESSAGE / 4 + 1).map(line).collect();
        let more = lines.len() > MAX_MEMBERS_PER_MESSAGE / 4;
        lines.truncate(MAX_MEMBERS_PER_MESSAGE / 4);
        let stage = if self.pause == self.change { Stage::Barrier } else { Stage::Preparing };
        let change = (self.change != 0).then_some((self.change, stage));
        Response::Status { number, active: self.up.active().unwrap_or(0), change, generation: 0, lines, more }
    }

    /// What follows from what was just heard: to be called at the end of each step.
    fn settles(&mut self, now: Time, mut asks: Vec<(NodeId, Request)>, mut out: Out<A>) -> Out<A> {
        self.looked = self.looked.max(now);
        while let Some((_, key)) = self.oldest.first().copied().filter(|first| first.0 <= now) {
            self.forgets(key);
        }
        // Guards the log against one that leaves and comes again and again at the bound.
        self.full &= self.below.len() >= MAX_MEMBERS - MAX_MEMBERS / 8;
        let events: Vec<MemberEvent> = self.up.events().collect();
        for event in events {
            match event {
                MemberEvent::Check { version } => {
                    let known = self.texts.contains_key(&version.number);
                    if !known && (self.keeping.len() < TEXTS || self.keeping.contains_key(&version.number)) {
                        self.keeping.insert(version.number, (*version).clone());
                        out.keep.push(*version);
                    }
                }
                MemberEvent::Activated { number } => self.says(format!("policy {number} is in force")),
                MemberEvent::LeaseExpired { number } => {
                    self.says(format!("no lease on policy {number}: no members are answered"))
                }
                MemberEvent::Paused { change } => self.says(format!("all stop for policy {change}")),
            }
        }
        let (wanted, check, pause) = self.up.last_reported();
        // What is in force has been checked by whoever had to, and one that refuses it now has no lease: only the text has to be here.
        let has = self.up.verdict(wanted) == Some(Verdict::Prepared);
        if wanted != 0 && !has && self.texts.contains_key(&wanted) {
            asks.extend(self.up.record_verdict(now, wanted, Verdict::Prepared));
            return self.settles(now, asks, out);
        }
        // Guards a zone against a disk that failed once, as the text was proposed: it came in force without this relay.
        if wanted != 0 && !self.texts.contains_key(&wanted) && self.up.verdict(wanted).is_some() {
            self.up.forget_verdict(wanted);
        }
        self.newest = self.newest.max(check);
        let change =
            if check == self.newest && check > wanted && self.texts.contains_key(&check) { check } else { 0 };
        if change != self.change {
            self.change = change;
            let lacks = |(key, one): (&MemberKey, &Below<A>)| {
                (change != 0 && one.until > now && one.good != change).then_some(*key)
            };
            self.without = self.below.iter().filter_map(lacks).collect();
        }
        if pause != self.pause {
            self.pause = pause;
            let goes = |(key, one): (&MemberKey, &Below<A>)| {
                (pause != 0 && one.until > now && one.paused != pause).then_some(*key)
            };
            self.going = self.below.iter().filter_map(goes).collect();
        }
        asks.extend(self.speaks(now));
        let stands = (self.up.active().unwrap_or(0), self.change, self.pause);
        if stands != self.told {
            if stands.0 != self.told.0 || stands.1 > self.told.1 || stands.2 > self.told.2 {
                self.to_tell = self.below.keys().copied().collect();
            }
            self.told = stands;
            (self.since, self.again) = (now, (now + self.again_after(), AGAIN));
        }
        if now >= self.again.0 {
            self.to_tell.extend(self.lag(now));
            let left = self.again.1 - 1;
            let next =
                if self.to_tell.is_empty() || left == 0 { Time::MAX } else { now + self.again_after() };
            self.again = (next, left);
        }
        for key in self.to_tell.drain(..self.to_tell.len().min(PUSHED)) {
            if let Some(one) = self.below.get(&key) {
                out.down.push((one.at, Response::Changed));
            }
        }
        if self.leaving && !self.gone && self.lease_ends() <= now {
            self.gone = true;
            asks.extend(self.up.leave(now));
        }
        // What is on its own disk or on its way there is not asked for.
        let here = |ask: &Request| matches!(ask, Request::FetchDocument { version, .. } if self.texts.contains_key(version));
        out.up.extend(asks.into_iter().filter(|(_, ask)| !here(ask)));
        out
    }

    fn again_after(&self) -> Time {
        (self.rules(self.up.active().unwrap_or(0)).lease / AGAIN_AFTER).max(8)
    }

    /// Members whose word is waited for, or that have not asked since something changed.
    fn lag(&self, now: Time) -> Vec<MemberKey> {
        let lags = |one: &Below<A>| {
            let asked = self.change != 0 && one.good != self.change;
            let stops = self.pause != 0 && one.paused != self.pause;
            one.until > now && (asked || stops || one.heard < self.since)
        };
        self.below.iter().filter(|(_, one)| lags(one)).map(|(key, _)| *key).collect()
    }

    /// Its words upward for all below, where they can be said.
    fn speaks(&mut self, now: Time) -> Vec<(NodeId, Request)> {
        let mut asks = Vec::new();
        if now < self.ready_at() {
            return asks;
        }
        let (change, pause) = (self.change, self.pause);
        let below = &self.below;
        // The first that still has to answer is looked at, and no other: whoever is given a lease later comes in again.
        let drain = |set: &mut BTreeSet<MemberKey>, done: &dyn Fn(&Below<A>) -> bool| {
            while let Some(key) = set.first().copied() {
                if below.get(&key).is_some_and(|one| one.until > now && !done(one)) {
                    return false;
                }
                set.pop_first();
            }
            true
        };
        let asked = change != 0 && self.up.verdict(change).is_none();
        let all = asked && drain(&mut self.without, &|one| one.good == change);
        let stops = pause != 0 && self.stopped != pause;
        let still = stops && drain(&mut self.going, &|one| one.paused == pause);
        if asked && (all || self.broken.yes_alone) {
            asks.extend(self.up.record_verdict(now, change, Verdict::Prepared));
            self.says(format!("policy {change} is good for {} members", self.below.len()));
        }
        if stops && (still || self.broken.stops_alone) {
            self.stopped = pause;
            asks.extend(self.up.record_all_paused(now, pause));
        }
        asks
    }

    /// Drops the oldest texts that nobody can ask for any more.
    fn cuts_texts(&mut self) {
        let (wanted, check, _) = self.up.last_reported();
        let keep = [wanted, check, self.up.active().unwrap_or(0)];
        while self.texts.len() > TEXTS {
            let Some(first) = self.texts.keys().copied().find(|number| !keep.contains(number)) else {
                return;
            };
            self.texts.remove(&first);
        }
    }
}
