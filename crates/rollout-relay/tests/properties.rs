//! One relay by itself, in any order of events: its reports hold for each member that holds a lease of it, and no lease of a member
//! outlasts the relay's own. The test setup stands in for the control replicas and keeps its own account of the leases that were given,
//! also over incarnations that replace a former one.

use cypresscleat_rollout::messages::{Request, Response, Verdict};
use cypresscleat_rollout::state::{Rules, UnreachableMembers, Version};
use cypresscleat_rollout::watch::ServiceTotals;
use cypresscleat_rollout::{MemberKey, Time, MS, SECOND};
use cypresscleat_rollout_relay::relay::{DisabledSafeguards, Relay, RelayOutput, MAX_MEMBERS};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestError, TestRunner};
use std::collections::{BTreeMap, VecDeque};

const LEASE: Time = SECOND;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    AdvanceTime(Time),
    /// A member sends a heartbeat: with its vote for or against the change that it was told of, or none; and whether it has stopped.
    Heartbeat {
        member: usize,
        vote: Option<bool>,
        has_stopped: bool,
    },
    MemberLeaves(usize),
    /// A member's process is replaced by another one.
    MemberRestarts(usize),
    /// The replicas answer the oldest heartbeat; or, where true, the newest, and forget the others.
    Respond(bool),
    /// The newest document that waits for the disk is persisted; or, where false, can't be.
    Persist(bool),
    /// A change is proposed; with a barrier, where true.
    Propose(bool),
    Abort,
    /// The change is committed, or its barrier ends, where the relay's report allows it.
    Decide,
    /// The relay's process is replaced by another one.
    RestartRelay,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..400i64).prop_map(|ms| Step::AdvanceTime(ms * MS)),
        8 => (0..3usize, 0..9u8, any::<bool>()).prop_map(|(member, vote, has_stopped)| {
            Step::Heartbeat { member, vote: (vote > 3).then_some(vote < 8), has_stopped }
        }),
        1 => (0..3usize).prop_map(Step::MemberLeaves),
        1 => (0..3usize).prop_map(Step::MemberRestarts),
        6 => any::<bool>().prop_map(Step::Respond),
        3 => (0..8u8).prop_map(|outcome| Step::Persist(outcome > 0)),
        2 => any::<bool>().prop_map(Step::Propose),
        1 => Just(Step::Abort),
        2 => Just(Step::Decide),
        1 => Just(Step::RestartRelay),
    ]
}

/// What a relay promises, to the replicas above it or about the leases below it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Promise {
    /// It votes for a change only after each member that holds a lease has.
    VoteAfterMembers,
    /// It reports that all have stopped only after each member that holds a lease has.
    StopAfterMembers,
    /// Once it has voted, only members that have voted get a lease.
    LeaseAfterVote,
    /// Once it has reported that all have stopped, only members that have get a lease.
    LeaseAfterStop,
    /// No lease of a member outlasts the relay's own.
    LeaseWithinOwn,
    /// Its totals never decrease.
    GrowingTotals,
    /// Its timers come to rest.
    Rest,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Violation {
    promise: Promise,
    description: String,
}

/// What a member has reported in this incarnation, and what it was told.
#[derive(Clone, Copy, Default)]
struct Member {
    incarnation: u64,
    /// The change that it was told to check.
    check: u64,
    /// The change for which it was told to stop.
    pause: u64,
    voted: u64,
    stopped: u64,
    heartbeats: u32,
}

#[derive(Default)]
struct Harness {
    now: Time,
    unreachable: UnreachableMembers,
    relay: Option<Relay<usize>>,
    incarnation: u64,
    safeguards: DisabledSafeguards,
    members: [Member; 3],
    /// Of each incarnation of a member: until when it may hold a lease, the newest change that it voted for, and the newest for which it
    /// has stopped.
    leases: BTreeMap<MemberKey, (Time, u64, u64)>,
    /// Heartbeats that wait at the replicas: number, and when they were sent.
    heartbeats: VecDeque<(u32, Time)>,
    /// Versions that wait for the relay's disk.
    persisting: Vec<Version>,
    /// Versions on the relay's disk.
    disk: BTreeMap<u64, Version>,
    /// Versions that the replicas have.
    documents: BTreeMap<u64, Version>,
    version: u64,
    change: Option<Version>,
    is_barrier: bool,
    last_number: u64,
    /// The newest change that the relay voted for, as the replicas have it.
    voted: u64,
    /// The last change for which the relay reported that all have stopped.
    stopped: u64,
    /// The vote that binds the relay: the change, and the number of the heartbeat that carried it first.
    binding_vote: Option<(u64, u32)>,
    /// After that the replicas take the relay to be gone.
    relay_lease_ends_at: Time,
    reported_requests: u64,
    violation: Option<Violation>,
}

impl Harness {
    fn new(unreachable: UnreachableMembers, safeguards: DisabledSafeguards) -> Harness {
        let mut harness =
            Harness { unreachable, safeguards, version: 1, last_number: 1, ..Harness::default() };
        harness.documents.insert(1, harness.make_version(1, false));
        harness.restart_relay();
        harness
    }

    fn make_version(&self, number: u64, has_barrier: bool) -> Version {
        let rules =
            Rules { unreachable: self.unreachable, lease: LEASE, barrier: has_barrier, ..Rules::default() };
        Version { number, rules, ..Version::default() }
    }

    fn run_relay(&mut self, event: impl FnOnce(&mut Relay<usize>, Time) -> RelayOutput<usize>) {
        let output = self.relay.as_mut().map(|relay| event(relay, self.now));
        self.process_output(output.unwrap_or_default());
    }

    fn restart_relay(&mut self) {
        self.incarnation += 1;
        let mut relay = Relay::new(self.now, "r", (7, self.incarnation), vec![1], LEASE);
        relay.safeguards = self.safeguards;
        self.disk.values().for_each(|version| relay.restore(version.clone()));
        self.relay = Some(relay);
        self.heartbeats.clear();
        self.persisting.clear();
        (self.voted, self.stopped, self.binding_vote, self.relay_lease_ends_at, self.reported_requests) =
            (0, 0, None, Time::MIN, 0);
        if self.unreachable == UnreachableMembers::Fence {
            // The former incarnation counts by itself until its lease is over, which is after these leases are.
            self.leases.clear();
        }
        self.run_relay(|relay, now| relay.tick(now));
    }

    fn record_violation(&mut self, promise: Promise, description: String) {
        self.violation.get_or_insert(Violation { promise, description });
    }

    fn process_output(&mut self, output: RelayOutput<usize>) {
        for (_, request) in output.upstream {
            match request {
                Request::Heartbeat { number, verdict, paused, totals: reported, .. } => {
                    self.heartbeats.push_back((number, self.now));
                    if std::mem::replace(&mut self.reported_requests, reported.requests) > reported.requests {
                        self.record_violation(Promise::GrowingTotals, "totals decreased".into());
                    }
                    if let Some((change, Verdict::Prepared)) =
                        verdict.filter(|verdict| verdict.0 > self.version)
                    {
                        self.check_vote(change, number);
                    }
                    if paused > self.version {
                        self.check_stop(paused);
                    }
                }
                Request::FetchDocument { version, .. } => {
                    if let Some(document) = self.documents.get(&version).cloned() {
                        let response = Response::Document { number: 0, version: Some(Box::new(document)) };
                        self.run_relay(|relay, now| relay.handle_response(now, 1, response));
                    }
                }
                _ => {}
            }
        }
        self.persisting.extend(output.persist);
        for (member, response) in output.downstream {
            if let Response::Renewed { key, lease, check, pause, version, .. } = response {
                self.check_lease(key, lease.unwrap_or(Time::MAX), version);
                if key.1 == self.members[member].incarnation {
                    (self.members[member].check, self.members[member].pause) = (check, pause);
                }
            }
        }
    }

    /// A member that may hold a lease and satisfies `predicate`, and the newest change that it voted for.
    fn find_lease(&self, predicate: impl Fn(&(Time, u64, u64)) -> bool) -> Option<(MemberKey, u64)> {
        let mut valid = self.leases.iter().filter(|(_, lease)| lease.0 > self.now);
        valid.find(|(_, lease)| predicate(lease)).map(|(key, lease)| (*key, lease.1))
    }

    /// The relay votes for a change.
    fn check_vote(&mut self, change: u64, number: u32) {
        if self.binding_vote.is_none_or(|vote| vote.0 < change) {
            if let Some((key, voted)) = self.find_lease(|lease| lease.1 < change) {
                self.record_violation(
                    Promise::VoteAfterMembers,
                    format!("vote for {change} while {key:?} has a lease and voted for {voted} at most"),
                );
            }
            self.binding_vote = Some((change, number));
            if self.unreachable == UnreachableMembers::Wait {
                self.relay_lease_ends_at = self.relay_lease_ends_at.min(self.now + LEASE);
            }
        }
        self.voted = change;
    }

    /// The relay reports that all have stopped for a change.
    fn check_stop(&mut self, change: u64) {
        if let Some((key, _)) = self.find_lease(|lease| lease.2 < change) {
            self.record_violation(
                Promise::StopAfterMembers,
                format!("stopped for {change} while {key:?} has a lease and has not stopped"),
            );
        }
        self.stopped = change;
    }

    /// The relay gives a member a lease.
    fn check_lease(&mut self, key: MemberKey, lease: Time, version: u64) {
        if lease <= 0 {
            return;
        }
        let end = self.now.saturating_add(lease);
        if end >= self.relay_lease_ends_at || lease > LEASE {
            self.record_violation(
                Promise::LeaseWithinOwn,
                format!("a lease until {end}, the relay's own ends at {}", self.relay_lease_ends_at),
            );
        }
        let given = self.leases.entry(key).or_default();
        let (voted, stopped) = (given.1, given.2);
        given.0 = given.0.max(end);
        if self.binding_vote.is_some_and(|vote| vote.0 > self.version && voted < vote.0) {
            self.record_violation(
                Promise::LeaseAfterVote,
                format!("a lease to {key:?} after a vote for {:?}", self.binding_vote),
            );
        }
        if self.stopped > version.max(self.version) && stopped < self.stopped {
            self.record_violation(
                Promise::LeaseAfterStop,
                format!("a lease to {key:?} after all have stopped for {}", self.stopped),
            );
        }
    }

    fn send_heartbeat(&mut self, index: usize, verdict: Option<(u64, Verdict)>, has_stopped: bool) {
        let member = &mut self.members[index];
        member.heartbeats += 1;
        if let Some((change, Verdict::Prepared)) = &verdict {
            member.voted = member.voted.max(*change);
        }
        if has_stopped {
            member.stopped = member.stopped.max(member.pause);
        }
        let key = (index as u64, member.incarnation);
        let reported = ServiceTotals { requests: member.heartbeats.into(), ..ServiceTotals::default() };
        let (number, paused) = (member.heartbeats, member.stopped);
        let lease = self.leases.entry(key).or_default();
        (lease.1, lease.2) = (member.voted, member.stopped);
        let name = format!("m{index}");
        let request = Request::Heartbeat {
            key,
            name,
            joins: true,
            number,
            verdict,
            paused,
            active: 0,
            totals: reported,
        };
        self.run_relay(|relay, now| relay.handle_request(now, index, request));
    }

    fn respond(&mut self, is_newest: bool) {
        let heartbeat = if is_newest { self.heartbeats.pop_back() } else { self.heartbeats.pop_front() };
        let Some((number, sent_at)) = heartbeat else { return };
        if is_newest {
            self.heartbeats.clear();
        }
        let check = self.change.as_ref().map_or(0, |change| change.number);
        let has_lease_end = self.unreachable == UnreachableMembers::Fence
            || self.is_barrier
            || (check != 0 && self.voted == check);
        // The vote binds the relay until this response, and not for a shorter time.
        if self
            .binding_vote
            .is_some_and(|(change, since)| change <= self.version || (change != check && number >= since))
        {
            self.binding_vote = None;
        }
        self.relay_lease_ends_at = match (has_lease_end, self.binding_vote) {
            (false, None) => Time::MAX,
            _ if self.relay_lease_ends_at == Time::MAX => sent_at + LEASE,
            _ => self.relay_lease_ends_at.max(sent_at + LEASE),
        };
        let response = Response::Renewed {
            key: (7, self.incarnation),
            number,
            lease: has_lease_end.then_some(LEASE),
            period: LEASE / 4,
            version: self.version,
            check,
            pause: if self.is_barrier { check } else { 0 },
        };
        self.run_relay(|relay, now| relay.handle_response(now, 1, response));
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::AdvanceTime(time) => {
                let end = self.now + time;
                let mut ticks = 0;
                while let Some(deadline) =
                    self.relay.as_ref().map(Relay::next_deadline).filter(|deadline| *deadline <= end)
                {
                    self.now = self.now.max(deadline);
                    self.run_relay(|relay, now| relay.tick(now));
                    ticks += 1;
                    if ticks > 2_000 {
                        self.record_violation(
                            Promise::Rest,
                            "the relay has something to do without end".into(),
                        );
                        break;
                    }
                }
                self.now = end;
            }
            Step::Heartbeat { member, vote, has_stopped } => {
                let check = self.members[member].check;
                let verdict = |is_for| if is_for { Verdict::Prepared } else { Verdict::Refused("no".into()) };
                self.send_heartbeat(
                    member,
                    vote.filter(|_| check != 0).map(|is_for| (check, verdict(is_for))),
                    has_stopped,
                );
            }
            Step::MemberLeaves(member) => {
                let key = (member as u64, self.members[member].incarnation);
                self.leases.remove(&key);
                self.members[member] = Member { incarnation: key.1 + 1, ..Member::default() };
                self.run_relay(|relay, now| {
                    relay.handle_request(now, member, Request::Leave { key, number: 1 })
                });
            }
            Step::MemberRestarts(member) => {
                self.members[member] =
                    Member { incarnation: self.members[member].incarnation + 1, ..Member::default() }
            }
            Step::Respond(is_newest) => self.respond(is_newest),
            Step::Persist(is_persisted) => {
                if let Some(version) = self.persisting.pop() {
                    let result = if is_persisted { Ok(()) } else { Err("full".to_string()) };
                    self.run_relay(|relay, now| relay.record_persisted(now, version.number, result));
                    self.disk.extend(is_persisted.then_some((version.number, version)));
                }
            }
            Step::Propose(has_barrier) if self.change.is_none() => {
                self.last_number += 1;
                self.change = Some(self.make_version(self.last_number, has_barrier));
                self.documents.extend(self.change.clone().map(|change| (change.number, change)));
                self.run_relay(|relay, now| relay.handle_response(now, 1, Response::Changed));
            }
            Step::Abort if !self.is_barrier => self.change = None,
            Step::Decide => {
                let Some(change) = self.change.clone() else { return };
                let ends_barrier = self.is_barrier && self.stopped == change.number;
                if !self.is_barrier && self.voted == change.number {
                    self.is_barrier = true;
                }
                if (self.is_barrier && !change.rules.barrier) || ends_barrier {
                    (self.version, self.change, self.is_barrier) = (change.number, None, false);
                }
            }
            Step::RestartRelay => self.restart_relay(),
            _ => {}
        }
    }
}

#[test]
fn members_beyond_the_maximum_get_no_response_and_notifications_go_out_in_parts() {
    let mut harness = Harness::new(UnreachableMembers::Fence, DisabledSafeguards::default());
    let steps = [Step::Persist(true), Step::Respond(false), Step::Persist(true), Step::Respond(true)];
    steps.into_iter().for_each(|step| harness.run_step(step));
    let mut relay = harness.relay.take().expect("the relay runs");
    let now = harness.now;
    let (number, name, reported) = (1, String::new(), ServiceTotals::default());
    let heartbeat = |member| Request::Heartbeat {
        key: (member, 1),
        name: name.clone(),
        joins: true,
        number,
        verdict: None,
        paused: 0,
        active: 1,
        totals: reported,
    };
    let answered = (0..5_000)
        .filter(|member| {
            !relay.handle_request(now, *member as usize, heartbeat(*member)).downstream.is_empty()
        })
        .count();
    assert_eq!((answered, relay.member_count(), relay.drain_log().count()), (MAX_MEMBERS, MAX_MEMBERS, 2));
    // A member that leaves and joins over and over at the maximum does not fill the log.
    for turn in 0..50 {
        let (former, key) = ((u64::from(turn > 0) * (9_000 + turn - 1), 1), (9_000 + turn, 1));
        relay.handle_request(now, 0, Request::Leave { key: former, number });
        for member in [key.0, 8_000] {
            relay.handle_request(now, 0, heartbeat(member));
        }
    }
    assert_eq!((relay.member_count(), relay.drain_log().count()), (MAX_MEMBERS, 0));
    // After a change all members are notified: over several steps, without a delay between them.
    relay.handle_response(now, 1, Response::Changed);
    let version = harness.make_version(2, false);
    let renewed = |number| Response::Renewed {
        key: (7, 1),
        number,
        lease: Some(LEASE),
        period: LEASE / 4,
        version: 1,
        check: 2,
        pause: 0,
    };
    (0..9).for_each(|number| drop(relay.handle_response(now, 1, renewed(number))));
    relay.handle_response(now, 1, Response::Document { number: 0, version: Some(Box::new(version)) });
    let mut notified = vec![relay.record_persisted(now, 2, Ok(())).downstream.len()];
    while relay.next_deadline() <= now {
        notified.push(relay.tick(now).downstream.len());
    }
    assert_eq!((notified.iter().max(), notified.iter().sum()), (Some(&256), MAX_MEMBERS));
    let deadline = relay.next_deadline();
    assert!(deadline > now);
    relay.tick(now + 2 * LEASE);
    assert_eq!(relay.member_count(), 0, "members that send no heartbeats are forgotten");
}

fn renewed(number: u32, version: u64, check: u64) -> Response {
    let (key, lease, period) = ((7, 1), Some(LEASE), LEASE / 4);
    Response::Renewed { key, number, lease, period, version, check, pause: 0 }
}

/// A response that the upstream member ignores does not tell which version was active when the relay joined, and so not under which rule.
#[test]
fn an_ignored_response_does_not_end_the_wait_of_a_new_incarnation() {
    let mut relay = Relay::<usize>::new(0, "r", (7, 1), vec![1], LEASE);
    relay.tick(0);
    relay.handle_response(10, 1, renewed(77, 1, 0));
    let leaves = |output: &RelayOutput<usize>| {
        output.upstream.iter().any(|(_, request)| matches!(request, Request::Leave { .. }))
    };
    assert!(!leaves(&relay.leave(20)), "leases of its former incarnation may be valid");
    assert!(leaves(&relay.tick(LEASE)), "those leases are over");
}

/// A disk fails once: the version that becomes active all the same is fetched and persisted again.
#[test]
fn an_active_document_that_could_not_be_persisted_is_fetched_again() {
    for proposed_before in [false, true] {
        let mut relay = Relay::<usize>::new(0, "r", (7, 1), vec![1], LEASE);
        let document = Version { number: 1, ..Version::default() };
        let (mut now, mut fetches, mut has_failed, mut active) = (0, 0, false, None);
        while now < 60 * SECOND && active != Some(1) {
            let mut outputs = vec![relay.tick(now)];
            while let Some(output) = outputs.pop() {
                for (_, request) in output.upstream {
                    match request {
                        // The version is proposed, then committed without this relay; or it is active from the beginning.
                        Request::Heartbeat { number, .. } if proposed_before && !has_failed => {
                            outputs.push(relay.handle_response(now, 1, renewed(number, 0, 1)));
                        }
                        Request::Heartbeat { number, .. } => {
                            outputs.push(relay.handle_response(now, 1, renewed(number, 1, 0)))
                        }
                        Request::FetchDocument { version: 1, number } => {
                            fetches += 1;
                            let version = Some(Box::new(document.clone()));
                            outputs.push(relay.handle_response(
                                now,
                                1,
                                Response::Document { number, version },
                            ));
                        }
                        _ => {}
                    }
                }
                for version in output.persist {
                    let result =
                        if has_failed { Ok(()) } else { Err("the disk's write queue is full".to_string()) };
                    has_failed = true;
                    outputs.push(relay.record_persisted(now, version.number, result));
                }
            }
            active = relay.active();
            now += 10 * MS;
        }
        assert_eq!((active, fetches), (Some(1), 2), "proposed before: {proposed_before}");
    }
}

/// A run that breaks a promise.
#[derive(Debug, PartialEq)]
struct Counterexample {
    violation: Option<Violation>,
    steps: Vec<Step>,
}

/// The first promise that these steps break.
fn first_violation(
    unreachable: UnreachableMembers,
    safeguards: DisabledSafeguards,
    steps: &[Step],
) -> Option<Violation> {
    let mut harness = Harness::new(unreachable, safeguards);
    steps.iter().find_map(|step| {
        harness.run_step(*step);
        harness.violation.clone()
    })
}

/// Runs random steps with these safeguards disabled. The error is the shortest run found that breaks a promise.
fn run_random_steps(
    unreachable: UnreachableMembers,
    safeguards: DisabledSafeguards,
    cases: u32,
) -> Result<(), Counterexample> {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    println!("{unreachable:?}, {safeguards:?}: {}", config.rng_seed);
    let result = TestRunner::new(config).run(&proptest::collection::vec(any_step(), 1..120), |steps| {
        let violation = first_violation(unreachable, safeguards, &steps);
        prop_assert!(violation.is_none(), "{violation:?}");
        Ok(())
    });
    result.map_err(|error| match error {
        TestError::Fail(_, steps) => {
            Counterexample { violation: first_violation(unreachable, safeguards, &steps), steps }
        }
        TestError::Abort(reason) => panic!("the random steps were not run: {reason}"),
    })
}

fn run_steps(unreachable: UnreachableMembers, steps: &[Step]) {
    let mut harness = Harness::new(unreachable, DisabledSafeguards::default());
    for step in steps {
        harness.run_step(*step);
        assert_eq!(harness.violation, None, "{unreachable:?}, at {step:?}");
    }
}

/// Guards against a vote that is cast again after a late response, while members that have not voted hold leases.
#[test]
fn a_late_response_to_the_vote_brings_no_second_vote_over_leases_below() {
    let (vote, has_stopped) = (None, false);
    let aborted_unheard = [
        Step::Respond(false),
        Step::Propose(false),
        Step::Persist(true),
        Step::Respond(true),
        Step::Persist(true),
        Step::AdvanceTime(1_670),
        Step::AdvanceTime(3_590),
        Step::Abort,
        Step::Respond(false),
        Step::Heartbeat { member: 0, vote, has_stopped },
        Step::AdvanceTime(680),
    ];
    let aborted_and_followed_by_another = [
        Step::Respond(false),
        Step::Persist(true),
        Step::Propose(false),
        Step::Respond(false),
        Step::Persist(true),
        Step::RestartRelay,
        Step::Respond(false),
        Step::AdvanceTime(2_630),
        Step::Abort,
        Step::AdvanceTime(2_670),
        Step::Respond(false),
        Step::Respond(false),
        Step::Propose(false),
        Step::Respond(false),
        Step::Respond(false),
        Step::Heartbeat { member: 0, vote, has_stopped },
    ];
    for unreachable in [UnreachableMembers::Fence, UnreachableMembers::Wait] {
        run_steps(unreachable, &aborted_unheard);
        run_steps(unreachable, &aborted_and_followed_by_another);
    }
}

/// `RELAYS_CASES` sets the number of cases.
#[test]
fn reports_of_a_relay_hold_for_all_its_members_in_any_order_of_events() {
    let cases = std::env::var("RELAYS_CASES").ok().and_then(|value| value.parse().ok()).unwrap_or(1_500);
    for unreachable in [UnreachableMembers::Fence, UnreachableMembers::Wait] {
        assert_eq!(
            run_random_steps(unreachable, DisabledSafeguards::default(), cases),
            Ok(()),
            "{unreachable:?}"
        );
    }
}

/// The promises that rest on each safeguard: with the safeguard off, one of them falls and no other.
#[test]
fn each_disabled_safeguard_is_detected() {
    use Promise::{LeaseAfterVote, LeaseWithinOwn, StopAfterMembers, VoteAfterMembers};
    let none = DisabledSafeguards::default();
    let table: [(UnreachableMembers, DisabledSafeguards, &[Promise]); 5] = [
        (
            UnreachableMembers::Fence,
            DisabledSafeguards { vote_before_members: true, ..none },
            &[VoteAfterMembers],
        ),
        (
            UnreachableMembers::Fence,
            DisabledSafeguards { outlast_own_lease: true, ..none },
            &[LeaseWithinOwn],
        ),
        (
            UnreachableMembers::Wait,
            DisabledSafeguards { lease_without_vote: true, ..none },
            &[LeaseAfterVote],
        ),
        (
            UnreachableMembers::Wait,
            DisabledSafeguards { stop_before_members: true, ..none },
            &[StopAfterMembers],
        ),
        // A new incarnation speaks for members that hold leases of the former one: in its vote, and in a barrier in its report that all
        // have stopped.
        (
            UnreachableMembers::Wait,
            DisabledSafeguards { skip_recovery_wait: true, ..none },
            &[VoteAfterMembers, StopAfterMembers],
        ),
    ];
    for (unreachable, safeguards, promises) in table {
        let found = run_random_steps(unreachable, safeguards, 20_000);
        let violation = found.as_ref().err().and_then(|found| found.violation.as_ref());
        assert!(
            violation.is_some_and(|violation| promises.contains(&violation.promise)),
            "{safeguards:?}, not one of {promises:?}: {found:?}"
        );
    }
}

/// Guards the table above: both promises that it names for the recovery wait fall without the wait, and hold with it.
#[test]
fn the_recovery_wait_keeps_both_the_vote_and_the_report_that_all_have_stopped() {
    let (vote, has_stopped) = (None, false);
    let vote_of_a_new_incarnation = [
        Step::Propose(false),
        Step::Respond(false),
        Step::Persist(true),
        Step::Heartbeat { member: 0, vote, has_stopped },
        Step::Respond(false),
        Step::Persist(true),
        Step::RestartRelay,
        Step::Respond(false),
    ];
    let barrier_of_a_new_incarnation = [
        Step::Respond(false),
        Step::Persist(true),
        Step::Propose(true),
        Step::Respond(false),
        Step::Persist(true),
        Step::AdvanceTime(10),
        Step::AdvanceTime(10),
        Step::Decide,
        Step::Heartbeat { member: 0, vote, has_stopped },
        Step::Heartbeat { member: 0, vote: Some(true), has_stopped },
        Step::RestartRelay,
        Step::Respond(false),
    ];
    let without_wait = DisabledSafeguards { skip_recovery_wait: true, ..DisabledSafeguards::default() };
    for (promise, steps) in [
        (Promise::VoteAfterMembers, &vote_of_a_new_incarnation[..]),
        (Promise::StopAfterMembers, &barrier_of_a_new_incarnation[..]),
    ] {
        let violation = first_violation(UnreachableMembers::Wait, without_wait, steps);
        assert_eq!(violation.map(|violation| violation.promise), Some(promise));
        run_steps(UnreachableMembers::Wait, steps);
    }
}
