//! One relay by itself, in any order of events: what it says upward holds for whoever holds a lease of it, and no lease outlives its own.
//! The harness stands in for the keepers and keeps its own account of what was given, also over lives that take a former one's place.

use cypresscleat_relays::relay::{Broken, Out, Relay};
use cypresscleat_rollout::policies::{Missing, Rules, Version};
use cypresscleat_rollout::said::{Answer, Ask, Verdict};
use cypresscleat_rollout::watch::Seen;
use cypresscleat_rollout::{Key, Time, MS, SECOND};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use std::collections::{BTreeMap, VecDeque};

const LEASE: Time = SECOND;

#[derive(Clone, Copy, Debug)]
enum Op {
    Time(Time),
    /// A member asks; it says yes to what it was told of, or that it has stopped, where the flags say so.
    Asks {
        at: usize,
        yes: bool,
        stopped: bool,
    },
    Refuses(usize),
    Goes(usize),
    /// Its process is another one.
    Starts(usize),
    /// The keepers answer the oldest asking, or the newest and forget the others.
    Answers(bool),
    Keeps(bool),
    Proposes(bool),
    Drops,
    /// Taken, or opened, where the relay's word allows it.
    Decides,
    /// The relay's process is another one.
    Restarts,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (1..400i64).prop_map(|ms| Op::Time(ms * MS)),
        8 => (0..3usize, any::<bool>(), any::<bool>()).prop_map(|(at, yes, stopped)| Op::Asks { at, yes, stopped }),
        1 => (0..3usize).prop_map(Op::Refuses),
        1 => (0..3usize).prop_map(Op::Goes),
        1 => (0..3usize).prop_map(Op::Starts),
        6 => any::<bool>().prop_map(Op::Answers),
        3 => (0..8u8).prop_map(|bad| Op::Keeps(bad > 0)),
        2 => any::<bool>().prop_map(Op::Proposes),
        1 => Just(Op::Drops),
        2 => Just(Op::Decides),
        1 => Just(Op::Restarts),
    ]
}

/// What a member has said in this life, and what it was told.
#[derive(Clone, Copy, Default)]
struct One {
    life: u64,
    check: u64,
    pause: u64,
    good: u64,
    stopped: u64,
    number: u32,
    asked: u64,
}

struct Harness {
    now: Time,
    missing: Missing,
    relay: Relay<usize>,
    life: u64,
    broken: Broken,
    ones: [One; 3],
    /// Until when each life may hold a lease, and what it said: good to, stopped for.
    given: BTreeMap<Key, (Time, u64, u64)>,
    /// Askings that wait at the keepers: number, when, with a yes to.
    asked: VecDeque<(u32, Time)>,
    keeping: Vec<u64>,
    disk: BTreeMap<u64, Version>,
    version: u64,
    change: Option<Version>,
    closing: bool,
    numbers: u64,
    rules: BTreeMap<u64, Rules>,
    /// The relay's words, as the keepers have them; and the yes that binds it, with the asking that said it.
    good: u64,
    stopped: u64,
    bound: Option<(u64, u32)>,
    all_stopped: u64,
    /// The keepers hold the relay for gone after that.
    own: Time,
    seen: Seen,
    wrong: Option<String>,
}

impl Harness {
    fn new(missing: Missing, broken: Broken) -> Harness {
        let mut one = Harness {
            now: 0,
            missing,
            relay: Relay::new(0, "r", (7, 0), vec![1], LEASE),
            life: 0,
            broken,
            ones: [One::default(); 3],
            given: BTreeMap::new(),
            asked: VecDeque::new(),
            keeping: Vec::new(),
            disk: BTreeMap::new(),
            version: 1,
            change: None,
            closing: false,
            numbers: 1,
            rules: BTreeMap::new(),
            good: 0,
            stopped: 0,
            bound: None,
            all_stopped: 0,
            own: Time::MIN,
            seen: Seen::default(),
            wrong: None,
        };
        let rules = Rules { missing, lease: LEASE, ..Rules::default() };
        one.rules.insert(1, rules);
        one.disk.insert(1, Version { number: 1, rules, ..Version::default() });
        one.restarts();
        one
    }

    fn restarts(&mut self) {
        self.life += 1;
        self.relay = Relay::new(self.now, "r", (7, self.life), vec![1], LEASE);
        self.relay.broken = self.broken;
        self.disk.values().for_each(|version| self.relay.knows(version.clone()));
        self.asked.clear();
        self.keeping.clear();
        (self.good, self.stopped, self.bound, self.own) = (0, 0, None, Time::MIN);
        (self.all_stopped, self.seen) = (0, Seen::default());
        if self.missing == Missing::Fence {
            // The former life counts by itself until its lease is over, which is after these are.
            self.given.clear();
        }
        let out = self.relay.tick(self.now);
        self.takes(out);
    }

    fn fails(&mut self, what: String) {
        self.wrong.get_or_insert(what);
    }

    fn takes(&mut self, out: Out<usize>) {
        if out.down.len() > 260 {
            self.fails(format!("{} words in one step", out.down.len()));
        }
        for (_, ask) in out.up {
            match ask {
                Ask::Here { number, verdict, paused, seen, .. } => {
                    self.asked.push_back((number, self.now));
                    if seen.asked < self.seen.asked {
                        self.fails("sums fell".into());
                    }
                    self.seen = seen;
                    if let Some((of, Verdict::Good)) = verdict.filter(|verdict| verdict.0 > self.version) {
                        self.says_yes(of, number);
                    }
                    if paused > self.version {
                        self.says_stopped(paused);
                    }
                }
                Ask::Fetch { version, .. } => {
                    let change = self.change.clone().filter(|change| change.number == version);
                    let text = change.or_else(|| self.disk.get(&version).cloned());
                    if let Some(text) = text {
                        let answer = Answer::Text { number: 0, version: Some(Box::new(text)) };
                        let out = self.relay.from_above(self.now, 1, answer);
                        self.takes(out);
                    }
                }
                _ => {}
            }
        }
        self.keeping.extend(out.keep.iter().map(|version| version.number));
        for version in out.keep {
            self.disk.insert(version.number, version);
        }
        for (at, answer) in out.down {
            if let Answer::Held { key, lease, check, pause, version, .. } = answer {
                self.gives(key, lease.unwrap_or(Time::MAX), version);
                if key.1 == self.ones[at].life {
                    (self.ones[at].check, self.ones[at].pause) = (check, pause);
                }
            }
        }
    }

    /// One that may hold a lease and of which this is so.
    fn live(&self, so: impl Fn(&(Time, u64, u64)) -> bool) -> Option<(Key, u64)> {
        let mut live = self.given.iter().filter(|(_, one)| one.0 > self.now);
        live.find(|(_, one)| so(one)).map(|(key, one)| (*key, one.1))
    }

    fn says_yes(&mut self, of: u64, number: u32) {
        if self.bound.is_none_or(|bound| bound.0 < of) {
            if let Some((key, one)) = self.live(|one| one.1 < of) {
                let what = format!("yes to {of} while {key:?} has a lease and said yes to {one}");
                self.fails(what);
            }
            self.bound = Some((of, number));
            if self.missing == Missing::Wait {
                self.own = self.own.min(self.now + LEASE);
            }
        }
        self.good = of;
    }

    fn says_stopped(&mut self, of: u64) {
        if let Some((key, _)) = self.live(|one| one.2 < of) {
            let what = format!("stopped for {of} while {key:?} has a lease and has not");
            self.fails(what);
        }
        (self.stopped, self.all_stopped) = (of, of);
    }

    fn gives(&mut self, key: Key, lease: Time, version: u64) {
        if lease <= 0 {
            return;
        }
        let end = self.now.saturating_add(lease);
        if end >= self.own || lease > LEASE {
            self.fails(format!("a lease until {end}, its own ends at {}", self.own));
        }
        let one = self.given.entry(key).or_default();
        let (good, stopped) = (one.1, one.2);
        one.0 = one.0.max(end);
        if self.bound.is_some_and(|bound| bound.0 > self.version && good < bound.0) {
            self.fails(format!("a lease to {key:?} after a yes to {:?}", self.bound));
        }
        if self.all_stopped > version && self.all_stopped > self.version && stopped < self.all_stopped {
            self.fails(format!("a lease to {key:?} after all have stopped for {}", self.all_stopped));
        }
    }

    fn asks(&mut self, at: usize, verdict: Option<(u64, Verdict)>, stopped: bool) {
        let one = &mut self.ones[at];
        (one.number, one.asked) = (one.number + 1, one.asked + 1);
        if let Some((of, Verdict::Good)) = &verdict {
            one.good = one.good.max(*of);
        }
        if stopped {
            one.stopped = one.stopped.max(one.pause);
        }
        let key = (at as u64, one.life);
        let seen = Seen { asked: one.asked, ..Seen::default() };
        let (number, paused) = (one.number, one.stopped);
        let given = self.given.entry(key).or_default();
        (given.1, given.2) = (one.good, one.stopped);
        let name = format!("m{at}");
        let ask = Ask::Here { key, name, joins: true, number, verdict, paused, has: 0, seen };
        let out = self.relay.from_below(self.now, at, ask);
        self.takes(out);
    }

    fn answers(&mut self, newest: bool) {
        let asked = if newest { self.asked.pop_back() } else { self.asked.pop_front() };
        let Some((number, at)) = asked else { return };
        if newest {
            self.asked.clear();
        }
        let check = self.change.as_ref().map_or(0, |change| change.number);
        let leased = self.missing == Missing::Fence || self.closing || (check != 0 && self.good == check);
        // Over for the relay with this word, and not before.
        if self.bound.is_some_and(|(of, since)| of <= self.version || (of != check && number >= since)) {
            self.bound = None;
        }
        self.own = match (leased, self.bound) {
            (false, None) => Time::MAX,
            _ if self.own == Time::MAX => at + LEASE,
            _ => self.own.max(at + LEASE),
        };
        let answer = Answer::Held {
            key: (7, self.life),
            number,
            lease: leased.then_some(LEASE),
            period: LEASE / 4,
            version: self.version,
            check,
            pause: if self.closing { check } else { 0 },
        };
        let out = self.relay.from_above(self.now, 1, answer);
        self.takes(out);
    }

    fn step(&mut self, op: Op) {
        match op {
            Op::Time(time) => {
                let end = self.now + time;
                let mut looks = 0;
                while self.relay.due() <= end {
                    self.now = self.now.max(self.relay.due());
                    let out = self.relay.tick(self.now);
                    self.takes(out);
                    looks += 1;
                    if looks > 2_000 {
                        self.fails("it looks without an end".into());
                        break;
                    }
                }
                self.now = end;
            }
            Op::Asks { at, yes, stopped } => {
                let check = self.ones[at].check;
                let verdict = (yes && check != 0).then_some((check, Verdict::Good));
                self.asks(at, verdict, stopped);
            }
            Op::Refuses(at) => {
                let check = self.ones[at].check;
                self.asks(at, (check != 0).then(|| (check, Verdict::Bad("no".into()))), false);
            }
            Op::Goes(at) => {
                let key = (at as u64, self.ones[at].life);
                self.given.remove(&key);
                self.ones[at] = One { life: key.1 + 1, ..One::default() };
                let out = self.relay.from_below(self.now, at, Ask::Leave { key, number: 1 });
                self.takes(out);
            }
            Op::Starts(at) => self.ones[at] = One { life: self.ones[at].life + 1, ..One::default() },
            Op::Answers(newest) => self.answers(newest),
            Op::Keeps(good) => {
                if let Some(number) = self.keeping.pop() {
                    let kept = if good { Ok(()) } else { Err("full".to_string()) };
                    let out = self.relay.kept(self.now, number, kept);
                    self.takes(out);
                }
            }
            Op::Proposes(together) if self.change.is_none() => {
                self.numbers += 1;
                let rules = Rules { missing: self.missing, lease: LEASE, together, ..Rules::default() };
                self.rules.insert(self.numbers, rules);
                self.change = Some(Version { number: self.numbers, rules, ..Version::default() });
                let out = self.relay.from_above(self.now, 1, Answer::News);
                self.takes(out);
            }
            Op::Drops if !self.closing => self.change = None,
            Op::Decides => {
                let Some(change) = self.change.clone() else { return };
                let opens = self.closing && self.stopped == change.number;
                if !self.closing && self.good == change.number {
                    self.closing = true;
                }
                if (self.closing && !change.rules.together) || opens {
                    (self.version, self.change, self.closing) = (change.number, None, false);
                    self.disk.insert(change.number, change);
                }
            }
            Op::Restarts => self.restarts(),
            _ => {}
        }
    }
}

fn broken(missing: Missing, broken: Broken, cases: u32) -> Result<(), String> {
    let mut runner = TestRunner::new(Config { cases, failure_persistence: None, ..Config::default() });
    let result = runner.run(&proptest::collection::vec(op(), 1..120), |ops| {
        let mut harness = Harness::new(missing, broken);
        for op in ops {
            harness.step(op);
            prop_assert!(harness.wrong.is_none(), "{:?}", harness.wrong);
        }
        Ok(())
    });
    result.map_err(|error| error.to_string())
}

/// `RELAYS_CASES` plays more of them.
#[test]
fn what_it_says_holds_for_all_below_in_any_order() {
    let cases = std::env::var("RELAYS_CASES").ok().and_then(|many| many.parse().ok()).unwrap_or(1_500);
    for missing in [Missing::Fence, Missing::Wait] {
        assert_eq!(broken(missing, Broken::default(), cases), Ok(()), "{missing:?}");
    }
}

#[test]
fn each_guard_taken_out_is_found() {
    for (missing, guard, words) in [
        (Missing::Fence, Broken { yes_alone: true, ..Broken::default() }, "yes to"),
        (Missing::Fence, Broken { longer: true, ..Broken::default() }, "its own ends"),
        (Missing::Wait, Broken { to_all: true, ..Broken::default() }, "a lease to"),
        (Missing::Wait, Broken { stops_alone: true, ..Broken::default() }, "stopped for"),
        (Missing::Wait, Broken { no_wait: true, ..Broken::default() }, "yes to"),
    ] {
        let found = broken(missing, guard, 20_000);
        assert!(found.as_ref().is_err_and(|why| why.contains(words)), "{guard:?}: {found:?}");
    }
}
