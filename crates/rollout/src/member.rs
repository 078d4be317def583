//! At an instance: asks for its lease on the version in force, fetches and checks what is proposed, knows under which version it may
//! admit now. Checking and keeping texts is the caller's; it says how that went.

use crate::policies::Version;
use crate::said::{Answer, Ask, Verdict};
use crate::watch::Seen;
use crate::{early, Key, NodeId, SeededRng, Time, SECOND};
use std::collections::VecDeque;

/// Askings whose answers are still taken.
const ASKED: usize = 8;

/// What changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// To be checked in full and kept; `checked` says how that went.
    Check { version: Box<Version> },
    /// Admitted under from now on.
    InForce { number: u64 },
    /// Its lease is over: nothing is admitted until `InForce`.
    Out { number: u64 },
    /// Nothing is admitted for a moment: what comes is held until `InForce` or `Out`.
    Holds { change: u64 },
}

/// How it stands to what comes now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum May {
    Admit(u64),
    /// A change stops everybody for a moment.
    Hold,
    Nothing,
}

/// Guards that tests take out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Broken {
    /// It serves on after its lease.
    pub holds_on: bool,
}

#[derive(Clone, Debug)]
pub struct Member {
    key: Key,
    name: String,
    keepers: Vec<NodeId>,
    at: usize,
    rng: SeededRng,
    /// From when it asks what; and how often, as the keepers said last.
    due: Time,
    period: Time,
    silent: u32,
    /// How long the last answer took.
    round: Time,
    led: u32,
    number: u32,
    asked: VecDeque<(u32, Time)>,
    joins: bool,
    /// What it admits under, and until when.
    in_force: Option<u64>,
    until: Time,
    /// The keepers' word on what is in force; its own where it follows.
    wanted: u64,
    /// Texts that are checked: the newest two.
    checked: Vec<(u64, Verdict)>,
    /// A text that is fetched or being checked.
    coming: Option<(u64, Time)>,
    /// The change it was told of, and since which asking its yes was on the way.
    check: u64,
    yes: Option<(u64, u32)>,
    paused: u64,
    /// Where it speaks for others too: the last change for which all of them have stopped. None where it speaks for itself.
    stopped: Option<u64>,
    leaves: bool,
    left: bool,
    left_by: u32,
    pub seen: Seen,
    /// The lease, as it was last told or assumed: what a yes binds for.
    lease: Time,
    /// The last word told of `wanted` and gave no lease on it: what it has is one on the version before, for as long as that one's.
    bare: bool,
    events: VecDeque<Event>,
    /// It asks whom it asked before, whoever tells it of news: as programs of before did, to be played beside the others.
    pub older: bool,
    pub broken: Broken,
}

impl Member {
    pub fn new(now: Time, name: &str, key: Key, keepers: Vec<NodeId>) -> Member {
        let mut rng = SeededRng::new(key.0 ^ key.1);
        let at = rng.below(keepers.len() as u64) as usize;
        Member {
            key,
            name: name.to_string(),
            keepers,
            at,
            rng,
            due: now,
            period: SECOND / 2,
            silent: 0,
            round: 0,
            led: 0,
            number: 0,
            asked: VecDeque::new(),
            joins: true,
            in_force: None,
            until: Time::MIN,
            wanted: 0,
            checked: vec![(0, Verdict::Good)],
            coming: None,
            check: 0,
            yes: None,
            paused: 0,
            stopped: None,
            leaves: false,
            left: false,
            left_by: 0,
            seen: Seen::default(),
            lease: SECOND,
            bare: false,
            events: VecDeque::new(),
            older: false,
            broken: Broken::default(),
        }
    }

    /// A text that this disk has kept, and that was found good just now: it need not be fetched.
    pub fn knows(&mut self, number: u64) {
        self.found(number, Verdict::Good);
    }

    /// No keeper answers, and the operator allows to begin under what was in force last.
    pub fn begins_alone(&mut self, number: u64) {
        if self.in_force.is_none() && self.number > 0 {
            (self.in_force, self.until) = (Some(number), Time::MAX);
            self.events.push_back(Event::InForce { number });
        }
    }

    /// It speaks for others too: that it admits nothing is not said before `stopped`.
    pub fn for_others(&mut self) {
        self.stopped = Some(0);
    }

    /// All for whom it speaks have stopped for this change.
    pub fn stopped(&mut self, now: Time, change: u64) -> Vec<(NodeId, Ask)> {
        self.stopped = Some(change);
        self.soon(now)
    }

    pub fn key(&self) -> Key {
        self.key
    }
    /// What it was told last: the version in force, a change to check, and one for which it admits nothing; 0 for none.
    pub fn told(&self) -> (u64, u64, u64) {
        (self.wanted, self.check, self.paused)
    }
    pub fn in_force(&self) -> Option<u64> {
        self.in_force
    }
    /// It has taken a word on what holds since it joined.
    pub fn joined(&self) -> bool {
        !self.joins
    }
    /// It admits nothing until a change is in force.
    pub fn paused(&self) -> bool {
        self.paused != 0
    }
    pub fn until(&self) -> Time {
        self.until
    }
    pub fn events(&mut self) -> impl Iterator<Item = Event> + '_ {
        self.events.drain(..)
    }
    pub fn left(&self) -> bool {
        self.left
    }

    /// To be asked at each admission.
    pub fn may(&self, now: Time) -> May {
        match self.in_force {
            _ if now >= self.until && !self.broken.holds_on => May::Nothing,
            Some(_) if self.paused != 0 => May::Hold,
            Some(number) => May::Admit(number),
            None => May::Nothing,
        }
    }

    pub fn due(&self) -> Time {
        if self.left {
            return Time::MAX;
        }
        let over = if self.in_force.is_some() && !self.broken.holds_on { self.until } else { Time::MAX };
        let fetch = self.coming.map_or(Time::MAX, |coming| coming.1);
        self.due.min(over).min(fetch)
    }

    /// A keeper that came after this instance was started.
    pub fn learns(&mut self, keeper: NodeId) {
        if !self.keepers.contains(&keeper) {
            self.keepers.push(keeper);
        }
    }

    fn ask(&self, ask: Ask) -> Vec<(NodeId, Ask)> {
        self.keepers.get(self.at).map(|keeper| (*keeper, ask)).into_iter().collect()
    }

    fn here(&mut self, now: Time) -> Vec<(NodeId, Ask)> {
        self.number = self.number.wrapping_add(1);
        self.asked.push_back((self.number, now));
        if self.asked.len() > ASKED {
            self.asked.pop_front();
        }
        let verdict = self.verdict(self.check).filter(|_| self.check != 0).map(|found| (self.check, found));
        if matches!(verdict, Some((_, Verdict::Good))) && self.yes.is_none_or(|yes| yes.0 != self.check) {
            // From here on it can't know by itself that this is not taken: it goes by its lease, also where it had none.
            self.yes = Some((self.check, self.number));
            self.until = self.until.min(now + self.lease - early(self.lease));
        }
        let ask = Ask::Here {
            key: self.key,
            name: self.name.clone(),
            joins: self.joins,
            number: self.number,
            verdict,
            paused: if self.stopped.is_none_or(|all| all == self.paused) { self.paused } else { 0 },
            has: self.in_force.unwrap_or(0),
            seen: self.seen,
        };
        self.ask(ask)
    }

    /// What was found of a text, where it is known.
    pub fn verdict(&self, number: u64) -> Option<Verdict> {
        self.checked.iter().find(|(known, _)| *known == number).map(|(_, found)| found.clone())
    }

    /// What was found of a text counts no more: it is fetched anew where it is asked for.
    pub fn unfound(&mut self, number: u64) {
        self.checked.retain(|(known, _)| *known != number);
    }

    fn found(&mut self, number: u64, verdict: Verdict) {
        self.checked.retain(|(known, _)| *known != number);
        self.checked.push((number, verdict));
        // Its own file, what is in force, what is proposed, and one more.
        if self.checked.len() > 4 {
            let keep = [0, self.in_force.unwrap_or(0), self.wanted, self.check];
            if let Some(at) = self.checked.iter().position(|(known, _)| !keep.contains(known)) {
                self.checked.remove(at);
            }
        }
    }

    pub fn tick(&mut self, now: Time) -> Vec<(NodeId, Ask)> {
        let mut out = Vec::new();
        if self.left {
            return out;
        }
        if let Some(number) = self.in_force.filter(|_| now >= self.until && !self.broken.holds_on) {
            self.in_force = None;
            self.events.push_back(Event::Out { number });
        }
        if let Some((number, _)) = self.coming.filter(|coming| now >= coming.1) {
            self.coming = Some((number, now + self.patience()));
            out.extend(self.fetch(number));
        }
        if now >= self.due {
            // Each keeper twice: mostly it was the letter that was lost, and whoever leads answers soonest.
            if self.silent > 0 && self.silent.is_multiple_of(2) {
                self.at = (self.at + 1) % self.keepers.len().max(1);
            }
            // Guards a lease against letters that are lost: it does not lie back while its lease runs out. Where no keeper answers this
            // is over with the lease, so that keepers that come back are not met by all at once for long.
            let runs_out = self.in_force.is_some() && self.until < Time::MAX;
            let wait = if runs_out || self.silent < 4 { self.quick() } else { 2 * self.period };
            let spread = self.rng.below((wait / 8).max(1) as u64) as Time;
            self.due = now + wait + spread;
            (self.silent, self.led) = (self.silent.saturating_add(1), 0);
            out.extend(if self.leaves { self.goes() } else { self.here(now) });
        }
        out
    }

    /// Time for an answer before it is asked again: a quarter of what lies between renewals, more where answers take long.
    fn quick(&self) -> Time {
        (self.period / 4).max(crate::desk::TRY).max(2 * self.round).min(self.patience())
    }

    /// Time for a text before it is fetched again.
    fn patience(&self) -> Time {
        (self.period / 2).max(crate::desk::TRY)
    }

    fn goes(&mut self) -> Vec<(NodeId, Ask)> {
        self.number = self.number.wrapping_add(1);
        if self.left_by == 0 {
            self.left_by = self.number;
        }
        self.ask(Ask::Leave { key: self.key, number: self.number })
    }

    fn fetch(&mut self, version: u64) -> Vec<(NodeId, Ask)> {
        self.number = self.number.wrapping_add(1);
        self.ask(Ask::Fetch { number: self.number, version })
    }

    /// Something that the keepers should hear of soon: a verdict, a pause.
    fn soon(&mut self, now: Time) -> Vec<(NodeId, Ask)> {
        self.due = now;
        self.silent = 0;
        self.tick(now)
    }

    /// It drains and admits nothing any more: changes go on without it.
    pub fn leaves(&mut self, now: Time) -> Vec<(NodeId, Ask)> {
        (self.leaves, self.in_force, self.until, self.coming) = (true, None, Time::MIN, None);
        self.soon(now)
    }

    /// A text was checked, and is on the disk where it was good.
    pub fn checked(&mut self, now: Time, number: u64, verdict: Verdict) -> Vec<(NodeId, Ask)> {
        self.found(number, verdict);
        if self.coming.is_some_and(|coming| coming.0 == number) {
            self.coming = None;
        }
        self.follows(now);
        self.soon(now)
    }

    /// Goes over to what the keepers want, where it can.
    fn follows(&mut self, now: Time) {
        // Guards the bound on mixture: a lease on one version is none on the next, which may have a shorter one.
        let lent = self.bare && self.in_force.is_some();
        let ready = now < self.until && self.verdict(self.wanted) == Some(Verdict::Good) && !lent;
        if ready && self.in_force != Some(self.wanted) {
            self.in_force = Some(self.wanted);
            self.events.push_back(Event::InForce { number: self.wanted });
        }
    }

    pub fn hear(&mut self, now: Time, from: NodeId, answer: Answer) -> Vec<(NodeId, Ask)> {
        if !answer.bounded() || self.left {
            return Vec::new();
        }
        match answer {
            Answer::Held { key, number, lease, period, version, check, pause } if key == self.key => {
                let asked = self.asked.iter().find(|(one, _)| *one == number).map(|(_, at)| *at);
                let Some(asked) = asked.filter(|_| !self.leaves) else { return Vec::new() };
                self.heard(from);
                (self.joins, self.round) = (false, now - asked);
                self.period = period;
                self.due = asked.max(now - period) + period;
                self.held(now, (asked, number), lease, (version, check, pause))
            }
            Answer::Gone { key } if key == self.key && !self.leaves => {
                // Its lease is over at the keepers: what it was told before counts no more.
                if let Some(number) = self.in_force.take() {
                    self.events.push_back(Event::Out { number });
                }
                (self.until, self.joins, self.paused, self.yes) = (Time::MIN, true, 0, None);
                self.asked.clear();
                self.heard(from);
                self.soon(now)
            }
            Answer::Text { version: Some(version), .. } => {
                let number = version.number;
                if self.coming.is_none_or(|coming| coming.0 != number) || self.verdict(number).is_some() {
                    return Vec::new();
                }
                // It is being checked: not fetched again until long after.
                self.coming = Some((number, now + 20 * SECOND));
                self.events.push_back(Event::Check { version });
                Vec::new()
            }
            Answer::Text { version: None, .. } => {
                self.coming = None;
                self.soon(now)
            }
            Answer::Done { number } if self.leaves => {
                self.left = number.wrapping_sub(self.left_by) < u32::MAX / 2;
                Vec::new()
            }
            Answer::News => {
                // Whoever tells is asked: it may wait for this member's word, also where another was asked last.
                if !self.older {
                    self.heard(from);
                }
                self.soon(now)
            }
            Answer::Elsewhere { leader } => {
                let known = self.keepers.iter().position(|keeper| *keeper == leader && leader != from);
                let Some(at) = known.filter(|_| self.led < 2) else { return Vec::new() };
                let led = self.led + 1;
                self.at = at;
                let out = self.soon(now);
                self.led = led;
                out
            }
            _ => Vec::new(),
        }
    }

    /// A word of the keepers on what holds, asked for at `asked`.
    fn held(
        &mut self,
        now: Time,
        (asked, number): (Time, u32),
        lease: Option<Time>,
        (version, check, pause): (u64, u64, u64),
    ) -> Vec<(NodeId, Ask)> {
        if version < self.wanted {
            return Vec::new(); // of before what it has heard already
        }
        (self.wanted, self.check) = (version, check);
        let ready = self.verdict(version) == Some(Verdict::Good);
        self.bare = lease == Some(0);
        if self.paused <= version && std::mem::take(&mut self.paused) != 0 && (!ready || self.bare) {
            // What stopped all is over, and the others go on under it: the older one may not come back, and the new one is not here, or
            // there is no lease on it yet.
            if let Some(number) = self.in_force.take() {
                self.events.push_back(Event::Out { number });
            }
        }
        if let Some((of, since)) = self.yes {
            // Over, by a word that was asked for with the yes or after it.
            if (of != check && number >= since) || of <= version {
                self.yes = None;
            }
        }
        // A relay that has said yes, or has stopped, for all below gives one that came over from another no lease before it has done so
        // too. Guards the lease that it had: neither this word nor its own yes ends that. May hurt nobody: it is as long as it was.
        let bare = self.bare;
        if !bare {
            self.lease = lease.unwrap_or(4 * self.period);
        }
        let bound = asked + self.lease - early(self.lease);
        let until = match (lease, self.yes) {
            (None, None) => Time::MAX,
            _ => bound,
        };
        match self.in_force {
            // One that began alone has none, nor does anybody count it: it has an end from here on, as under any other word.
            Some(_) if bare && self.until == Time::MAX => self.until = bound,
            Some(_) if bare => {}
            Some(own) if own == version => {
                self.until =
                    if until == Time::MAX || self.until == Time::MAX { until } else { self.until.max(until) };
            }
            // Goes over to another, or begins.
            Some(_) if ready => self.until = until,
            None if bare => self.until = asked,
            None => self.until = until,
            // It goes on with the old one until that lease is over or the new one is here; not for good, whatever it had.
            Some(_) => self.until = self.until.min(bound),
        }
        let mut out = Vec::new();
        if pause > version && self.paused != pause {
            self.paused = pause;
            if self.in_force.is_some() {
                self.events.push_back(Event::Holds { change: pause });
            }
            out.extend(self.soon(now));
        }
        self.follows(now);
        // What is in force comes before what is proposed.
        for need in [self.wanted, self.check] {
            if need != 0 && self.verdict(need).is_none() {
                if self.coming.is_none_or(|coming| coming.0 != need) {
                    self.coming = Some((need, now + self.patience()));
                    out.extend(self.fetch(need));
                }
                break;
            }
        }
        // A yes that is ready is not kept for the next period.
        let told = self.yes.is_some_and(|yes| yes.0 == check);
        if check != 0 && !told && self.verdict(check) == Some(Verdict::Good) && check > version {
            out.extend(self.soon(now));
        }
        out
    }

    fn heard(&mut self, from: NodeId) {
        self.silent = 0;
        if let Some(at) = self.keepers.iter().position(|keeper| *keeper == from) {
            self.at = at;
        }
    }
}
