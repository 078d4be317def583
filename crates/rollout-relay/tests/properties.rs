//! One relay by itself, in any order of events: what it says upward holds for whoever holds a lease of it, and no lease outlives its own.
//! The harness stands in for the keepers and keeps its own account of what was given, also over lives that take a former one's place.

use cypresscleat_rollout::messages::{Request, Response, Verdict};
use cypresscleat_rollout::state::{Rules, UnreachableMembers, Version};
use cypresscleat_rollout::watch::ServiceTotals;
use cypresscleat_rollout::{MemberKey, Time, MS, SECOND};
use cypresscleat_rollout_relay::relay::{Broken, Out, Relay, MAX_MEMBERS};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use std::collections::{BTreeMap, VecDeque};

const LEASE: Time = SECOND;

#[derive(Clone, Copy, Debug)]
enum Op {
    Time(Time),
    /// A member asks; says yes or no to what it was told of, or nothing; and that it has stopped.
    Asks {
        at: usize,
        yes: Option<bool>,
        stopped: bool,
    },
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
        8 => (0..3usize, 0..9u8, any::<bool>()).prop_map(|(at, yes, stopped)| {
            Op::Asks { at, yes: (yes > 3).then_some(yes < 8), stopped }
        }),
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
    asked: u32,
}

#[derive(Default)]
struct Harness {
    now: Time,
    missing: UnreachableMembers,
    relay: Option<Relay<usize>>,
    life: u64,
    broken: Broken,
    ones: [One; 3],
    /// Until when each life may hold a lease, and what it said: good to, stopped for.
    given: BTreeMap<MemberKey, (Time, u64, u64)>,
    /// Askings that wait at the keepers: number, when.
    asked: VecDeque<(u32, Time)>,
    keeping: Vec<Version>,
    /// Of the relay; and what the keepers have.
    disk: BTreeMap<u64, Version>,
    texts: BTreeMap<u64, Version>,
    version: u64,
    change: Option<Version>,
    closing: bool,
    numbers: u64,
    /// The relay's words, as the keepers have them; and the yes that binds it, with the asking that said it.
    good: u64,
    stopped: u64,
    bound: Option<(u64, u32)>,
    /// The keepers hold the relay for gone after that.
    own: Time,
    seen: u64,
    wrong: Option<String>,
}

impl Harness {
    fn new(missing: UnreachableMembers, broken: Broken) -> Harness {
        let mut one = Harness { missing, broken, version: 1, numbers: 1, ..Harness::default() };
        one.texts.insert(1, one.text(1, false));
        one.restarts();
        one
    }

    fn text(&self, number: u64, together: bool) -> Version {
        let rules = Rules { unreachable: self.missing, lease: LEASE, barrier: together, ..Rules::default() };
        Version { number, rules, ..Version::default() }
    }

    fn steps(&mut self, step: impl FnOnce(&mut Relay<usize>, Time) -> Out<usize>) {
        let out = self.relay.as_mut().map(|relay| step(relay, self.now));
        self.takes(out.unwrap_or_default());
    }

    fn restarts(&mut self) {
        self.life += 1;
        let mut relay = Relay::new(self.now, "r", (7, self.life), vec![1], LEASE);
        relay.broken = self.broken;
        self.disk.values().for_each(|version| relay.knows(version.clone()));
        self.relay = Some(relay);
        self.asked.clear();
        self.keeping.clear();
        (self.good, self.stopped, self.bound, self.own, self.seen) = (0, 0, None, Time::MIN, 0);
        if self.missing == UnreachableMembers::Fence {
            // The former life counts by itself until its lease is over, which is after these are.
            self.given.clear();
        }
        self.steps(|relay, now| relay.tick(now));
    }

    fn fails(&mut self, what: String) {
        self.wrong.get_or_insert(what);
    }

    fn takes(&mut self, out: Out<usize>) {
        for (_, ask) in out.up {
            match ask {
                Request::Heartbeat { number, verdict, paused, totals: seen, .. } => {
                    self.asked.push_back((number, self.now));
                    if std::mem::replace(&mut self.seen, seen.requests) > seen.requests {
                        self.fails("sums fell".into());
                    }
                    if let Some((of, Verdict::Prepared)) = verdict.filter(|verdict| verdict.0 > self.version)
                    {
                        self.says_yes(of, number);
                    }
                    if paused > self.version {
                        self.says_stopped(paused);
                    }
                }
                Request::FetchDocument { version, .. } => {
                    if let Some(text) = self.texts.get(&version).cloned() {
                        let answer = Response::Document { number: 0, version: Some(Box::new(text)) };
                        self.steps(|relay, now| relay.from_above(now, 1, answer));
                    }
                }
                _ => {}
            }
        }
        self.keeping.extend(out.keep);
        for (at, answer) in out.down {
            if let Response::Renewed { key, lease, check, pause, version, .. } = answer {
                self.gives(key, lease.unwrap_or(Time::MAX), version);
                if key.1 == self.ones[at].life {
                    (self.ones[at].check, self.ones[at].pause) = (check, pause);
                }
            }
        }
    }

    /// One that may hold a lease and of which this is so.
    fn live(&self, so: impl Fn(&(Time, u64, u64)) -> bool) -> Option<(MemberKey, u64)> {
        let mut live = self.given.iter().filter(|(_, one)| one.0 > self.now);
        live.find(|(_, one)| so(one)).map(|(key, one)| (*key, one.1))
    }

    fn says_yes(&mut self, of: u64, number: u32) {
        if self.bound.is_none_or(|bound| bound.0 < of) {
            if let Some((key, one)) = self.live(|one| one.1 < of) {
                self.fails(format!("yes to {of} while {key:?} has a lease and said yes to {one}"));
            }
            self.bound = Some((of, number));
            if self.missing == UnreachableMembers::Wait {
                self.own = self.own.min(self.now + LEASE);
            }
        }
        self.good = of;
    }

    fn says_stopped(&mut self, of: u64) {
        if let Some((key, _)) = self.live(|one| one.2 < of) {
            self.fails(format!("stopped for {of} while {key:?} has a lease and has not"));
        }
        self.stopped = of;
    }

    fn gives(&mut self, key: MemberKey, lease: Time, version: u64) {
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
        if self.stopped > version.max(self.version) && stopped < self.stopped {
            self.fails(format!("a lease to {key:?} after all have stopped for {}", self.stopped));
        }
    }

    fn asks(&mut self, at: usize, verdict: Option<(u64, Verdict)>, stopped: bool) {
        let one = &mut self.ones[at];
        one.asked += 1;
        if let Some((of, Verdict::Prepared)) = &verdict {
            one.good = one.good.max(*of);
        }
        if stopped {
            one.stopped = one.stopped.max(one.pause);
        }
        let key = (at as u64, one.life);
        let seen = ServiceTotals { requests: one.asked.into(), ..ServiceTotals::default() };
        let (number, paused) = (one.asked, one.stopped);
        let given = self.given.entry(key).or_default();
        (given.1, given.2) = (one.good, one.stopped);
        let name = format!("m{at}");
        let ask =
            Request::Heartbeat { key, name, joins: true, number, verdict, paused, active: 0, totals: seen };
        self.steps(|relay, now| relay.from_below(now, at, ask));
    }

    fn answers(&mut self, newest: bool) {
        let asked = if newest { self.asked.pop_back() } else { self.asked.pop_front() };
        let Some((number, at)) = asked else { return };
        if newest {
            self.asked.clear();
        }
        let check = self.change.as_ref().map_or(0, |change| change.number);
        let leased =
            self.missing == UnreachableMembers::Fence || self.closing || (check != 0 && self.good == check);
        // Over for the relay with this word, and not before.
        if self.bound.is_some_and(|(of, since)| of <= self.version || (of != check && number >= since)) {
            self.bound = None;
        }
        self.own = match (leased, self.bound) {
            (false, None) => Time::MAX,
            _ if self.own == Time::MAX => at + LEASE,
            _ => self.own.max(at + LEASE),
        };
        let answer = Response::Renewed {
            key: (7, self.life),
            number,
            lease: leased.then_some(LEASE),
            period: LEASE / 4,
            version: self.version,
            check,
            pause: if self.closing { check } else { 0 },
        };
        self.steps(|relay, now| relay.from_above(now, 1, answer));
    }

    fn step(&mut self, op: Op) {
        match op {
            Op::Time(time) => {
                let end = self.now + time;
                let mut looks = 0;
                while let Some(due) = self.relay.as_ref().map(Relay::due).filter(|due| *due <= end) {
                    self.now = self.now.max(due);
                    self.steps(|relay, now| relay.tick(now));
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
                let said = |yes| if yes { Verdict::Prepared } else { Verdict::Refused("no".into()) };
                self.asks(at, yes.filter(|_| check != 0).map(|yes| (check, said(yes))), stopped);
            }
            Op::Goes(at) => {
                let key = (at as u64, self.ones[at].life);
                self.given.remove(&key);
                self.ones[at] = One { life: key.1 + 1, ..One::default() };
                self.steps(|relay, now| relay.from_below(now, at, Request::Leave { key, number: 1 }));
            }
            Op::Starts(at) => self.ones[at] = One { life: self.ones[at].life + 1, ..One::default() },
            Op::Answers(newest) => self.answers(newest),
            Op::Keeps(good) => {
                if let Some(version) = self.keeping.pop() {
                    let kept = if good { Ok(()) } else { Err("full".to_string()) };
                    self.steps(|relay, now| relay.kept(now, version.number, kept));
                    self.disk.extend(good.then_some((version.number, version)));
                }
            }
            Op::Proposes(together) if self.change.is_none() => {
                self.numbers += 1;
                self.change = Some(self.text(self.numbers, together));
                self.texts.extend(self.change.clone().map(|change| (change.number, change)));
                self.steps(|relay, now| relay.from_above(now, 1, Response::Changed));
            }
            Op::Drops if !self.closing => self.change = None,
            Op::Decides => {
                let Some(change) = self.change.clone() else { return };
                let opens = self.closing && self.stopped == change.number;
                if !self.closing && self.good == change.number {
                    self.closing = true;
                }
                if (self.closing && !change.rules.barrier) || opens {
                    (self.version, self.change, self.closing) = (change.number, None, false);
                }
            }
            Op::Restarts => self.restarts(),
            _ => {}
        }
    }
}

#[test]
fn more_members_than_it_can_hold_are_not_heard_and_news_go_out_in_parts() {
    let mut harness = Harness::new(UnreachableMembers::Fence, Broken::default());
    let steps = [Op::Keeps(true), Op::Answers(false), Op::Keeps(true), Op::Answers(true)];
    steps.into_iter().for_each(|op| harness.step(op));
    let mut relay = harness.relay.take().expect("it runs");
    let now = harness.now;
    let (number, name, seen) = (1, String::new(), ServiceTotals::default());
    let here = |at| Request::Heartbeat {
        key: (at, 1),
        name: name.clone(),
        joins: true,
        number,
        verdict: None,
        paused: 0,
        active: 1,
        totals: seen,
    };
    let held =
        (0..5_000).filter(|at| !relay.from_below(now, *at as usize, here(*at)).down.is_empty()).count();
    assert_eq!((held, relay.members(), relay.log().count()), (MAX_MEMBERS, MAX_MEMBERS, 2));
    // One that goes and comes again at the bound fills no log.
    for life in 0..50 {
        let (gone, key) = ((u64::from(life > 0) * (9_000 + life - 1), 1), (9_000 + life, 1));
        relay.from_below(now, 0, Request::Leave { key: gone, number });
        for at in [key.0, 8_000] {
            relay.from_below(now, 0, here(at));
        }
    }
    assert_eq!((relay.members(), relay.log().count()), (MAX_MEMBERS, 0));
    // A change comes: all are told, in steps, and at once.
    relay.from_above(now, 1, Response::Changed);
    let version = harness.text(2, false);
    let held = |number| Response::Renewed {
        key: (7, 1),
        number,
        lease: Some(LEASE),
        period: LEASE / 4,
        version: 1,
        check: 2,
        pause: 0,
    };
    (0..9).for_each(|number| drop(relay.from_above(now, 1, held(number))));
    relay.from_above(now, 1, Response::Document { number: 0, version: Some(Box::new(version)) });
    let mut told = vec![relay.kept(now, 2, Ok(())).down.len()];
    while relay.due() <= now {
        told.push(relay.tick(now).down.len());
    }
    assert_eq!((told.iter().max(), told.iter().sum()), (Some(&256), MAX_MEMBERS));
    let ends = relay.due();
    assert!(ends > now);
    relay.tick(now + 2 * LEASE);
    assert_eq!(relay.members(), 0, "whoever is not heard is forgotten");
}

fn held(number: u32, version: u64, check: u64) -> Response {
    let (key, lease, period) = ((7, 1), Some(LEASE), LEASE / 4);
    Response::Renewed { key, number, lease, period, version, check, pause: 0 }
}

/// An answer that its member does not take tells nothing: not that nothing was in force when it joined, and so by which rule.
#[test]
fn an_answer_that_is_not_taken_ends_no_wait_of_a_new_life() {
    let mut relay = Relay::<usize>::new(0, "r", (7, 1), vec![1], LEASE);
    relay.tick(0);
    relay.from_above(10, 1, held(77, 1, 0));
    let leaves = |out: &Out<usize>| out.up.iter().any(|(_, ask)| matches!(ask, Request::Leave { .. }));
    assert!(!leaves(&relay.leaves(20)), "leases of its former life may be out");
    assert!(leaves(&relay.tick(LEASE)), "no longer");
}

/// A disk that fails once: what is in force all the same is fetched and put there again.
#[test]
fn a_text_in_force_that_could_not_be_kept_is_fetched_again() {
    for asked_before in [false, true] {
        let mut relay = Relay::<usize>::new(0, "r", (7, 1), vec![1], LEASE);
        let text = Version { number: 1, ..Version::default() };
        let (mut now, mut fetched, mut failed, mut in_force) = (0, 0, false, None);
        while now < 60 * SECOND && in_force != Some(1) {
            let mut outs = vec![relay.tick(now)];
            while let Some(out) = outs.pop() {
                for (_, ask) in out.up {
                    match ask {
                        // First it is proposed, then taken without this relay, or it is in force from the beginning.
                        Request::Heartbeat { number, .. } if asked_before && !failed => {
                            outs.push(relay.from_above(now, 1, held(number, 0, 1)));
                        }
                        Request::Heartbeat { number, .. } => {
                            outs.push(relay.from_above(now, 1, held(number, 1, 0)))
                        }
                        Request::FetchDocument { version: 1, number } => {
                            fetched += 1;
                            let version = Some(Box::new(text.clone()));
                            outs.push(relay.from_above(now, 1, Response::Document { number, version }));
                        }
                        _ => {}
                    }
                }
                for version in out.keep {
                    let how = if failed { Ok(()) } else { Err("the disk is behind".to_string()) };
                    failed = true;
                    outs.push(relay.kept(now, version.number, how));
                }
            }
            in_force = relay.in_force();
            now += 10 * MS;
        }
        assert_eq!((in_force, fetched), (Some(1), 2), "proposed before: {asked_before}");
    }
}

fn broken(missing: UnreachableMembers, broken: Broken, cases: u32) -> Result<(), String> {
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

fn play(missing: UnreachableMembers, steps: &[Op]) {
    let mut harness = Harness::new(missing, Broken::default());
    for step in steps {
        harness.step(*step);
        assert_eq!(harness.wrong, None, "{missing:?}, at {step:?}");
    }
}

/// Guards against a vote that is cast again after a late response, while members that have not voted hold leases.
#[test]
fn a_late_response_to_the_vote_brings_no_second_vote_over_leases_below() {
    let (yes, stopped) = (None, false);
    let dropped_unheard = [
        Op::Answers(false),
        Op::Proposes(false),
        Op::Keeps(true),
        Op::Answers(true),
        Op::Keeps(true),
        Op::Time(1_670),
        Op::Time(3_590),
        Op::Drops,
        Op::Answers(false),
        Op::Asks { at: 0, yes, stopped },
        Op::Time(680),
    ];
    let dropped_and_followed_by_another = [
        Op::Answers(false),
        Op::Keeps(true),
        Op::Proposes(false),
        Op::Answers(false),
        Op::Keeps(true),
        Op::Restarts,
        Op::Answers(false),
        Op::Time(2_630),
        Op::Drops,
        Op::Time(2_670),
        Op::Answers(false),
        Op::Answers(false),
        Op::Proposes(false),
        Op::Answers(false),
        Op::Answers(false),
        Op::Asks { at: 0, yes, stopped },
    ];
    for missing in [UnreachableMembers::Fence, UnreachableMembers::Wait] {
        play(missing, &dropped_unheard);
        play(missing, &dropped_and_followed_by_another);
    }
}

/// `RELAYS_CASES` plays more of them.
#[test]
fn what_it_says_holds_for_all_below_in_any_order() {
    let cases = std::env::var("RELAYS_CASES").ok().and_then(|many| many.parse().ok()).unwrap_or(1_500);
    for missing in [UnreachableMembers::Fence, UnreachableMembers::Wait] {
        assert_eq!(broken(missing, Broken::default(), cases), Ok(()), "{missing:?}");
    }
}

#[test]
fn each_guard_taken_out_is_found() {
    for (missing, guard, words) in [
        (UnreachableMembers::Fence, Broken { yes_alone: true, ..Broken::default() }, "yes to"),
        (UnreachableMembers::Fence, Broken { longer: true, ..Broken::default() }, "its own ends"),
        (UnreachableMembers::Wait, Broken { to_all: true, ..Broken::default() }, "a lease to"),
        (UnreachableMembers::Wait, Broken { stops_alone: true, ..Broken::default() }, "stopped for"),
        (UnreachableMembers::Wait, Broken { no_wait: true, ..Broken::default() }, "yes to"),
    ] {
        let found = broken(missing, guard, 20_000);
        assert!(found.as_ref().is_err_and(|why| why.contains(words)), "{guard:?}: {found:?}");
    }
}
