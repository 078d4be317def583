//! Changes of policy in a simulated net: each hard case by itself, then faults by chance over many seeds, then the same with guards
//! taken out, which has to be found.

use cypresscleat_consensus::StateMachine;
use cypresscleat_rollout::member::AdmissionPermit;
use cypresscleat_rollout::messages::{Request, Response, Verdict};
use cypresscleat_rollout::simulation::{Simulation, SimulationConfig};
use cypresscleat_rollout::state::{Command, Outcome, PolicyState, Rules, UnreachableMembers, Version};
use cypresscleat_rollout::watch::{ServiceTotals, Watch, WatchVerdict};
use cypresscleat_rollout::{coordinator, member, Time, WatchRules, MS, SECOND};

fn rules() -> Rules {
    SimulationConfig::default().rules
}

fn wait() -> Rules {
    Rules { unreachable: UnreachableMembers::Wait, ..rules() }
}

/// Members joined and served under their own file, then under a version with these rules.
fn play(setup: SimulationConfig, seed: u64) -> Simulation {
    let mut play = Simulation::new(setup, seed);
    play.run(3 * SECOND);
    assert!(play.is_settled(), "all serve under their own file");
    play.propose(0, setup.rules, "first");
    runs_until(&mut play, 5 * SECOND, |play| play.active_version() == 1 && play.is_settled());
    play
}

fn runs_until(play: &mut Simulation, most: Time, done: impl Fn(&Simulation) -> bool) {
    let end = play.consensus.now + most;
    while !done(play) {
        assert!(play.consensus.now < end, "it never came: {:?} {:?}", play.decided, play.abort_reasons);
        let until = play.consensus.now + 5 * MS;
        play.run(until);
        good(play);
    }
}

fn good(play: &Simulation) {
    assert_eq!(play.violation.as_deref().or(play.consensus.violation.as_deref()), None);
}

#[test]
fn a_change_is_in_force_everywhere_soon_and_one_that_anybody_refuses_nowhere() {
    let mut play = play(SimulationConfig::default(), 1);
    let decided = play.decided[&1];
    assert!(decided.1 && decided.0 - play.proposed[&1] < 200 * MS, "{:?}", play.proposed);
    assert!(play.mixed_until.get(&1).is_none_or(|until| until - play.first_active[&1] < 50 * MS));
    play.members[3].refuses.insert(2);
    play.propose(1, rules(), "second");
    runs_until(&mut play, SECOND, |play| play.decided.contains_key(&2));
    assert!(!play.decided[&2].1);
    assert_eq!(play.abort_reasons[&2], "m3: line 1: no such thing");
    let soon = play.consensus.now + SECOND;
    play.run(soon);
    assert!(play.is_settled() && play.active_version() == 1);
}

#[test]
fn made_from_an_old_version_or_beside_another_it_is_refused() {
    let mut play = play(SimulationConfig::default(), 2);
    play.operator_responses.clear();
    play.isolated.insert(0);
    play.propose(0, rules(), "from the old one");
    let until = play.consensus.now + 20 * MS;
    play.run(until);
    play.propose(1, rules(), "good");
    let until = play.consensus.now + 20 * MS;
    play.run(until);
    play.propose(1, rules(), "beside it");
    let until = play.consensus.now + 20 * MS;
    play.run(until);
    let outcomes: Vec<Outcome> = play
        .operator_responses
        .iter()
        .filter_map(|answer| match answer {
            Response::Proposed { outcome, .. } => Some(outcome.clone()),
            _ => None,
        })
        .collect();
    assert_eq!(outcomes, [Outcome::Stale { active: 1 }, Outcome::Proposed(2), Outcome::Busy { number: 2 }]);
}

#[test]
fn one_that_is_cut_off_stops_before_a_change_goes_on_without_it() {
    let mut play = play(SimulationConfig::default(), 3);
    play.isolated.insert(2);
    let cut = play.consensus.now;
    play.propose(1, rules(), "second");
    runs_until(&mut play, 3 * SECOND, |play| play.decided.contains_key(&2));
    assert!(play.decided[&2].1 && play.decided[&2].0 - cut >= rules().lease / 2);
    assert_eq!(play.permit(2), AdmissionPermit::Deny, "its lease was over before the others went on");
    let until = play.consensus.now + 2 * SECOND;
    play.run(until);
    assert_eq!(play.permit(2), AdmissionPermit::Deny);
    play.isolated.clear();
    runs_until(&mut play, 3 * SECOND, |play| play.permit(2) == AdmissionPermit::Admit(2));
}

#[test]
fn where_changes_wait_one_that_is_cut_off_serves_on_and_the_change_waits_or_is_dropped() {
    let setup = SimulationConfig { rules: wait(), ..SimulationConfig::default() };
    let mut play = play(setup, 4);
    play.isolated.insert(2);
    play.propose(1, wait(), "second");
    let until = play.consensus.now + 3 * SECOND;
    play.run(until);
    assert!(!play.decided.contains_key(&2));
    assert_eq!(play.permit(2), AdmissionPermit::Admit(1), "nobody goes on without it");
    play.isolated.clear();
    runs_until(&mut play, 3 * SECOND, |play| play.active_version() == 2 && play.is_settled());
    play.isolated.insert(2);
    play.propose(2, wait(), "third");
    runs_until(&mut play, 8 * SECOND, |play| play.decided.contains_key(&3));
    assert!(!play.decided[&3].1 && play.abort_reasons[&3].contains("m2"), "{:?}", play.abort_reasons);
    // The others said yes, and may serve for good again once they know that it was dropped.
    let until = play.consensus.now + 3 * SECOND;
    play.run(until);
    assert!((0..5).all(|at| play.permit(at) == AdmissionPermit::Admit(2)));
    // One that will not come back is forgotten by the operator, and nobody waits for it.
    play.forget(2);
    play.propose(2, wait(), "fourth");
    runs_until(&mut play, 3 * SECOND, |play| play.active_version() == 4);
}

#[test]
fn a_yes_binds_also_where_changes_wait() {
    let setup = SimulationConfig { rules: wait(), check: 400 * MS, ..SimulationConfig::default() };
    let mut play = play(setup, 5);
    play.propose(1, wait(), "second");
    // m2 has said yes at once and is cut off; the others' checks take their time.
    play.config.check = 2 * SECOND;
    let until = play.consensus.now + 10 * MS;
    play.run(until);
    runs_until(&mut play, 4 * SECOND, |play| play.decided.get(&2).is_some_and(|one| one.1));
    let late = play.decided[&2].0;
    play.isolated.insert(2);
    let until = late + rules().lease + SECOND;
    play.run(until);
    assert_ne!(play.permit(2), AdmissionPermit::Admit(1));
}

#[test]
fn leaders_that_die_leave_no_change_undecided() {
    for (seed, at) in (0..12).zip([0, 1, 2, 5, 8, 12, 16, 20, 30, 40, 60, 80]) {
        let mut play = play(SimulationConfig::default(), 100 + seed);
        play.propose(1, rules(), "second");
        let until = play.consensus.now + at * MS;
        play.run(until);
        let leader = play.consensus.leader().expect("a leader");
        play.consensus.crash(leader);
        if play.consensus.nodes.iter().any(|seat| {
            seat.replica.as_ref().is_some_and(|keeper| {
                keeper.state_machine().pending_change().is_some()
                    || keeper.state_machine().active().number == 2
            })
        }) {
            runs_until(&mut play, 5 * SECOND, |play| play.active_version() == 2 && play.is_settled());
        }
    }
}

#[test]
fn together_nobody_admits_under_the_old_one_beside_the_new_one() {
    for seed in 0..10 {
        let mut play = play(SimulationConfig { check: 300 * MS, ..SimulationConfig::default() }, 200 + seed);
        play.consensus.network.max_extra_delay = 400 * MS;
        play.isolated.insert(4);
        play.propose(1, Rules { barrier: true, ..rules() }, "second");
        runs_until(&mut play, 8 * SECOND, |play| play.active_version() == 2);
        play.isolated.clear();
        runs_until(&mut play, 5 * SECOND, Simulation::is_settled);
        assert!(!play.mixed_until.contains_key(&2), "seed {seed}: {:?}", play.mixed_until);
    }
}

#[test]
fn joiners_and_leavers_in_the_middle_count_once() {
    let mut play = play(SimulationConfig { check: 500 * MS, ..SimulationConfig::default() }, 6);
    play.propose(1, rules(), "second");
    let until = play.consensus.now + 200 * MS;
    play.run(until);
    let joined = play.join();
    play.members[joined].refuses.insert(2);
    play.drain(0);
    runs_until(&mut play, 4 * SECOND, |play| play.decided.contains_key(&2));
    assert!(!play.decided[&2].1, "the joiner counts, and refuses it");
    assert!(play.abort_reasons[&2].starts_with(&format!("m{joined}:")), "{:?}", play.abort_reasons);
    runs_until(&mut play, 4 * SECOND, |play| play.permit(joined) == AdmissionPermit::Admit(1));
    assert_eq!(play.permit(0), AdmissionPermit::Deny);
}

#[test]
fn one_that_stood_still_past_its_lease_admits_nothing_when_it_wakes() {
    let mut play = play(SimulationConfig::default(), 7);
    play.stop(1, 4 * SECOND);
    let woken = play.consensus.now + 4 * SECOND;
    play.propose(1, rules(), "second");
    play.run(woken);
    assert_eq!(play.active_version(), 2);
    assert_eq!(play.permit(1), AdmissionPermit::Deny, "the first thing it does is to look at its lease");
    runs_until(&mut play, 3 * SECOND, |play| play.permit(1) == AdmissionPermit::Admit(2));
}

#[test]
fn a_disk_lost_after_a_yes_is_filled_again_before_anything_is_admitted() {
    let mut play = play(SimulationConfig::default(), 8);
    play.propose(1, rules(), "second");
    runs_until(&mut play, 3 * SECOND, |play| play.decided.contains_key(&2));
    play.lose_disk(3);
    play.start(3);
    assert_eq!(play.permit(3), AdmissionPermit::Deny);
    runs_until(&mut play, 3 * SECOND, |play| play.permit(3) == AdmissionPermit::Admit(2));
}

#[test]
fn without_a_majority_nothing_is_decided_and_all_stop_then_all_goes_on() {
    let mut play = play(SimulationConfig::default(), 9);
    play.consensus.crash(0);
    play.consensus.crash(1);
    let until = play.consensus.now + 3 * SECOND;
    play.run(until);
    assert!((0..5).all(|at| play.permit(at) == AdmissionPermit::Deny));
    play.consensus.start(0);
    runs_until(&mut play, 5 * SECOND, Simulation::is_settled);
    good(&play);
}

#[test]
fn a_third_of_300_is_down_and_comes_back_one_by_one_some_from_empty_disks() {
    let mut play = play(SimulationConfig { members: 300, ..SimulationConfig::default() }, 10);
    (0..100).for_each(|at| play.kill(at));
    play.propose(1, rules(), "second");
    runs_until(&mut play, 5 * SECOND, |play| play.active_version() == 2);
    for at in 0..100 {
        if at % 3 == 0 {
            play.lose_disk(at);
        }
        play.start(at);
        let until = play.consensus.now + 10 * MS;
        play.run(until);
    }
    runs_until(&mut play, 5 * SECOND, Simulation::is_settled);
}

#[test]
fn a_change_every_second_for_a_minute() {
    let mut play = play(SimulationConfig { members: 20, ..SimulationConfig::default() }, 11);
    for number in 2..62 {
        play.propose(number - 1, rules(), &format!("text {number}"));
        let until = play.consensus.now + SECOND;
        play.run(until);
        good(&play);
        assert_eq!(play.active_version(), number);
    }
    assert!(play.is_settled());
}

fn faults(setup: SimulationConfig, seed: u64, time: Time) -> Simulation {
    let mut play = Simulation::new(setup, seed);
    play.consensus.network.loss_one_in = 12;
    play.consensus.network.duplicate_one_in = 20;
    play.consensus.network.max_extra_delay = 800 * MS;
    play.run(2 * SECOND);
    play.inject_faults(time);
    play
}

/// `ROLLOUT_SEEDS` plays more of them.
#[test]
fn faults_by_chance_break_no_rule_and_leave_nothing_undecided() {
    let many = std::env::var("ROLLOUT_SEEDS").ok().and_then(|many| many.parse().ok()).unwrap_or(150);
    let from = std::env::var("ROLLOUT_FROM").ok().and_then(|from| from.parse().ok()).unwrap_or(0);
    let (mut taken, mut dropped) = (0, 0);
    for seed in from..from + many {
        let missing = if seed % 2 == 0 { UnreachableMembers::Fence } else { UnreachableMembers::Wait };
        let setup = SimulationConfig {
            rules: Rules { unreachable: missing, ..rules() },
            ..SimulationConfig::default()
        };
        let mut play = faults(setup, seed, 20 * SECOND);
        let wrong = play.violation.clone().or(play.consensus.violation.clone());
        assert_eq!(wrong, None, "seed {seed}");
        play.heal();
        let end = play.consensus.now + 20 * SECOND;
        while play.consensus.now < end {
            let until = play.consensus.now + 100 * MS;
            play.run(until);
            if play.is_settled() && play.proposed.keys().all(|number| play.decided.contains_key(number)) {
                break;
            }
        }
        let wrong = play.violation.clone().or(play.consensus.violation.clone());
        assert_eq!(wrong, None, "seed {seed}, in peace");
        let mays: Vec<AdmissionPermit> = (0..play.members.len()).map(|at| play.permit(at)).collect();
        assert!(
            play.is_settled(),
            "seed {seed}: in peace all serve under one version, {}: {mays:?}",
            play.active_version()
        );
        assert!(play.proposed.keys().all(|number| play.decided.contains_key(number)), "seed {seed}");
        taken += play.decided.values().filter(|one| one.1).count();
        dropped += play.decided.values().filter(|one| !one.1).count();
    }
    assert!(taken as u64 > many && dropped as u64 > many / 2, "{taken} taken, {dropped} dropped");
}

/// Each was found by a play, and fails without its mending: a member that had stopped for a change went on under the older version when
/// it heard that the new one was in force, and did not have it yet (2); a shorter lease came in force, and the keepers counted by it
/// for one that had not heard of it (1331).
#[test]
fn plays_that_broke_a_rule_once() {
    for seed in [2u64, 1028, 1331] {
        let missing = if seed % 2 == 0 { UnreachableMembers::Fence } else { UnreachableMembers::Wait };
        let setup = SimulationConfig {
            rules: Rules { unreachable: missing, ..rules() },
            ..SimulationConfig::default()
        };
        let mut play = faults(setup, seed, 20 * SECOND);
        play.heal();
        let until = play.consensus.now + 5 * SECOND;
        play.run(until);
        good(&play);
    }
}

/// Whether a broken variant is found on some of these seeds.
fn found(setup: SimulationConfig, words: &str) {
    let some = (0..300).any(|seed| {
        let play = faults(setup, seed, 20 * SECOND);
        play.violation.or(play.consensus.violation).is_some_and(|wrong| wrong.contains(words))
    });
    assert!(some, "a play without that guard broke no rule");
}

#[test]
fn serving_after_the_lease_is_found() {
    let broken = member::DisabledSafeguards { ignore_lease_end: true };
    found(SimulationConfig { member: broken, ..SimulationConfig::default() }, "admits under");
}

#[test]
fn committing_on_timeout_alone_is_found() {
    // Nobody expires soon here, so that time is all that could decide.
    let mut play = play(
        SimulationConfig {
            rules: wait(),
            coordinator: coordinator::DisabledSafeguards { commit_on_timeout: true, ..Default::default() },
            ..SimulationConfig::default()
        },
        12,
    );
    play.isolated.insert(2);
    play.propose(1, wait(), "second");
    let until = play.consensus.now + 12 * SECOND;
    play.run(until);
    assert!(play.violation.is_some_and(|wrong| wrong.contains("m2 admits under 1")));
}

#[test]
fn counting_only_those_that_answered_first_is_found() {
    found(
        SimulationConfig {
            rules: wait(),
            coordinator: coordinator::DisabledSafeguards { ignore_generation: true, ..Default::default() },
            ..SimulationConfig::default()
        },
        "admits under",
    );
}

#[test]
fn the_agreed_state_survives_as_bytes_and_each_command_works_once() {
    let mut agreed = PolicyState::default();
    let apply = |agreed: &mut PolicyState, command: &Command| {
        let said = agreed.apply(1, &cypresscleat_rollout::state::encode_command(command));
        postcard::from_bytes::<Outcome>(&said).expect("an outcome")
    };
    let join = Command::Join { key: (1, 1), name: "a".into() };
    apply(&mut agreed, &join);
    apply(&mut agreed, &join);
    assert_eq!((agreed.members().len(), agreed.generation()), (1, 1));
    let version = Version { by: "x".into(), at_ms: 5, hash: 7, document: "t".into(), ..Version::default() };
    let propose = Command::Propose(version);
    assert_eq!(apply(&mut agreed, &propose), Outcome::Proposed(1));
    assert_eq!(apply(&mut agreed, &propose), Outcome::Proposed(1), "asked again after a lost answer");
    let decide = |generation| Command::Decide { number: 1, generation, commit: true, reason: String::new() };
    assert_eq!(apply(&mut agreed, &decide(0)), Outcome::MembersChanged);
    assert_eq!(apply(&mut agreed, &decide(1)), Outcome::Done);
    assert_eq!(apply(&mut agreed, &decide(1)), Outcome::AlreadyDecided);
    let drop = Command::Decide { number: 1, generation: 1, commit: false, reason: "late".into() };
    assert_eq!(apply(&mut agreed, &drop), Outcome::AlreadyDecided, "a decision is final");
    agreed.take_events();
    assert_eq!(PolicyState::from_snapshot(&agreed.snapshot()).as_ref(), Some(&agreed));
    assert_eq!(agreed.active().number, 1);
}

#[test]
fn the_watch_undoes_harm_once_and_not_a_moment_nor_less_load() {
    let rules = WatchRules { share: 200, within: 10 * SECOND };
    let version =
        Version { number: 2, rules: Rules { watch: Some(rules), ..Rules::default() }, ..Version::default() };
    // In time by second, of so many requests: before, then after.
    let found = |asked: [u64; 2], after: &[u64], undoes: bool| {
        let mut watch = Watch::default();
        let mut seen = ServiceTotals::default();
        for second in 0..22 {
            let (asked, good) = match second < 10 {
                true => (asked[0], 95),
                false => (asked[1], after[(second as usize - 10).min(after.len() - 1)]),
            };
            seen.requests += asked;
            seen.succeeded_in_time += asked * good / 100;
            seen.billed_milli += asked * good * 10;
            watch.record(second * SECOND + 1, (1, 1), seen);
            if second == 9 {
                watch.start(second * SECOND + 2, &Version { undoes, ..version.clone() });
            }
        }
        watch.poll(22 * SECOND)
    };
    assert!(matches!(found([100, 100], &[50], false), Some((2, WatchVerdict::Harm(_)))));
    assert!(matches!(found([100, 100], &[90], false), Some((2, WatchVerdict::NoHarm(_)))));
    assert!(
        matches!(found([100, 30], &[95], false), Some((2, WatchVerdict::NoHarm(_)))),
        "less load is no harm"
    );
    let moment = [20, 20, 20, 95, 95, 95, 95, 95, 95, 95];
    assert!(
        matches!(found([100, 100], &moment, false), Some((2, WatchVerdict::NoHarm(_)))),
        "a moment is none"
    );
    assert!(matches!(found([100, 2], &[50], false), Some((2, WatchVerdict::Unknown(_)))));
    assert_eq!(found([100, 100], &[50], true), None, "what undid another is not watched");
}

mod letters {
    use cypresscleat_consensus::message;
    use cypresscleat_rollout::messages::{Request, Response, Verdict};
    use cypresscleat_rollout::watch::ServiceTotals;
    use proptest::prelude::*;

    proptest! {
        /// What was written is read; what was garbled is not, and nothing panics.
        #[test]
        fn are_read_as_written_or_not_at_all(key in any::<(u64, u64)>(), name in "[a-z]{0,20}", at in any::<prop::sample::Index>(),
            bit in 0u8..8, why in "[ -~]{0,60}", number in any::<u32>()) {
            let seen = ServiceTotals { requests: number.into(), succeeded_in_time: 1, billed_milli: 2 };
            let verdict = Some((7, Verdict::Refused(why)));
            let ask = Request::Heartbeat { key, name, joins: true, number, verdict, paused: 1, active: 2, totals: seen };
            let mut bytes = message::encode(&ask).expect("it is short");
            let read = message::decode::<Request>(&bytes);
            prop_assert_eq!(read.as_ref(), Ok(&ask));
            let at = at.index(bytes.len());
            bytes[at] ^= 1 << bit;
            prop_assert!(message::decode::<Request>(&bytes).is_err());
            prop_assert!(message::decode::<Response>(&bytes[..at]).is_err());
        }
    }
}

/// A relay that has said yes for all below gives one that came over from another no lease before its own yes: what it was given before
/// goes on, also over that yes.
#[test]
fn a_word_without_a_lease_ends_none_that_was_given_before() {
    let mut one = member::RolloutMember::new(0, "m", (7, 1), vec![1, 2]);
    let number = |asks: &[(u64, Request)]| match asks.first() {
        Some((_, Request::Heartbeat { number, .. })) => *number,
        other => panic!("it asks: {other:?}"),
    };
    let held = |number, lease, check| Response::Renewed {
        key: (7, 1),
        number,
        lease: Some(lease),
        period: SECOND / 2,
        version: 0,
        check,
        pause: 0,
    };
    let asked = number(&one.tick(0));
    one.handle(10, 1, held(asked, 2 * SECOND, 0));
    assert_eq!(one.permit(10), AdmissionPermit::Admit(0));
    let now = one.next_deadline();
    let asked = number(&one.tick(now));
    let fetches = one.handle(now + 10, 2, held(asked, 0, 1));
    assert!(matches!(fetches[..], [(_, Request::FetchDocument { version: 1, .. })]), "{fetches:?}");
    let version = Some(Box::new(Version { number: 1, ..Version::default() }));
    one.handle(now + 20, 2, Response::Document { number: 0, version });
    let says = one.record_verdict(now + 30, 1, Verdict::Prepared);
    assert!(
        matches!(says[..], [(_, Request::Heartbeat { verdict: Some((1, Verdict::Prepared)), .. })]),
        "{says:?}"
    );
    one.tick(now + 40);
    assert_eq!(one.permit(now + 40), AdmissionPermit::Admit(0), "its lease goes on");
    assert_eq!(one.permit(2 * SECOND), AdmissionPermit::Deny, "and ends when it would have");
}

/// One that began alone has no lease that could go on: a keeper's or a relay's word without a lease is the first from which it has an end.
#[test]
fn one_that_began_alone_has_an_end_from_the_first_word_on() {
    for version in [0, 1] {
        let mut one = member::RolloutMember::new(0, "m", (7, 1), vec![1]);
        one.tick(0);
        one.start_alone(0);
        assert_eq!(one.permit(100 * SECOND), AdmissionPermit::Admit(0), "as the operator allows");
        let now = one.next_deadline();
        let asks = one.tick(now);
        let Some((_, Request::Heartbeat { number, .. })) = asks.first() else { panic!("it asks: {asks:?}") };
        let held = Response::Renewed {
            key: (7, 1),
            number: *number,
            lease: Some(0),
            period: SECOND / 2,
            version,
            check: 2,
            pause: 0,
        };
        one.handle(now + 10, 1, held);
        assert_eq!(one.permit(now + 10), AdmissionPermit::Admit(0), "not at once");
        assert_eq!(
            one.permit(now + 2 * SECOND),
            AdmissionPermit::Deny,
            "version {version}, and nobody counts it"
        );
    }
}

#[test]
fn sums_that_no_member_can_have_stop_no_keeper() {
    let mut watch = Watch::default();
    for key in 0..3 {
        watch.record(0, (key, 1), ServiceTotals::default());
        watch.record(
            1,
            (key, 1),
            ServiceTotals { requests: u64::MAX, succeeded_in_time: u64::MAX, billed_milli: u64::MAX },
        );
        watch.record(SECOND, (key, 1), ServiceTotals::default());
        watch.record(
            SECOND + 1,
            (key, 1),
            ServiceTotals { requests: u64::MAX, succeeded_in_time: u64::MAX, billed_milli: u64::MAX },
        );
    }
    let rules = WatchRules { share: 200, within: 10 * SECOND };
    let rules = Rules { watch: Some(rules), ..Rules::default() };
    watch.start(2 * SECOND, &Version { number: 2, rules, ..Version::default() });
    assert!(matches!(watch.poll(12 * SECOND), Some((2, WatchVerdict::Unknown(_)))));
}

#[test]
fn words_of_lives_that_are_not_taken_in_are_not_kept() {
    let mut play = play(SimulationConfig::default(), 1);
    let leader = play.consensus.leader().expect("one leads");
    let before = play.coordinators[leader].remembered();
    let runs = |play: &mut Simulation, time: Time| {
        let until = play.consensus.now + time;
        play.run(until);
    };
    for life in 0..200 {
        let key = (77, life);
        let (name, verdict, seen) = ("gone".to_string(), None, ServiceTotals::default());
        play.post_as_operator(Request::Leave { key, number: 1 });
        runs(&mut play, 20 * MS);
        play.post_as_operator(Request::Heartbeat {
            key,
            name,
            joins: true,
            number: 2,
            verdict,
            paused: 0,
            active: 0,
            totals: seen,
        });
        runs(&mut play, 20 * MS);
    }
    runs(&mut play, SECOND);
    assert_eq!(play.coordinators[leader].remembered(), before);
}

/// A lease on one version is none on the next: a word that gives none there takes nobody over to it, also once its text is here.
#[test]
fn a_lease_on_one_version_is_none_on_the_next() {
    for (known, stopped) in [(true, false), (false, false), (true, true)] {
        let mut one = member::RolloutMember::new(0, "m", (7, 1), vec![1, 2]);
        one.restore(1);
        if known {
            one.restore(2);
        }
        let mut now = 0;
        let says = |one: &mut member::RolloutMember, now: Time, lease, version, check, pause| {
            let asks = one.tick(now);
            let Some((_, Request::Heartbeat { number, .. })) = asks.first() else {
                panic!("it asks: {asks:?}")
            };
            let (key, number, lease, period) = ((7, 1), *number, Some(lease), SECOND / 4);
            one.handle(now, 1, Response::Renewed { key, number, lease, period, version, check, pause })
        };
        says(&mut one, now, 4 * SECOND, 1, 0, 0);
        if stopped {
            now = one.next_deadline();
            says(&mut one, now, 4 * SECOND, 1, 2, 2);
            assert_eq!(one.permit(now), AdmissionPermit::Hold);
        }
        // A relay that has said yes to 3: whoever has not is given no lease on 2.
        now = one.next_deadline();
        says(&mut one, now, 0, 2, 3, 0);
        if !known {
            one.record_verdict(now, 2, Verdict::Prepared);
        }
        let old = if stopped { AdmissionPermit::Deny } else { AdmissionPermit::Admit(1) };
        assert_eq!(one.permit(now), old, "known {known}, stopped {stopped}");
        one.record_verdict(now, 3, Verdict::Prepared);
        now = one.next_deadline();
        says(&mut one, now, SECOND, 2, 3, 0);
        if stopped || known {
            assert_eq!(one.permit(now), AdmissionPermit::Admit(2));
        }
        assert_eq!(one.permit(now + SECOND), AdmissionPermit::Deny, "no longer than a lease on 2");
    }
}
