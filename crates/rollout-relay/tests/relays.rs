//! Relays in a simulated net: each hard case by itself, then faults by chance over many seeds, then the same with guards taken out,
//! which has to be found.

use cypresscleat_rollout::member::AdmissionPermit;
use cypresscleat_rollout::state::{Rules, UnreachableMembers};
use cypresscleat_rollout::{Time, MS, SECOND};
use cypresscleat_rollout_relay::relay::Broken;
use cypresscleat_rollout_relay::simulation::{Simulation, SimulationConfig};

fn rules() -> Rules {
    SimulationConfig::default().rules
}

fn wait() -> Rules {
    Rules { unreachable: UnreachableMembers::Wait, ..rules() }
}

fn together(rules: Rules) -> Rules {
    Rules { barrier: true, ..rules }
}

/// Members joined and served under their own file, then under a version with these rules.
fn play(setup: SimulationConfig, seed: u64) -> Simulation {
    let mut play = Simulation::new(setup, seed);
    runs_until(&mut play, 4 * SECOND, Simulation::is_settled);
    play.propose(0, setup.rules, "first");
    runs_until(&mut play, 5 * SECOND, |play| play.active_version() == 1 && play.is_settled());
    play
}

fn good(play: &Simulation) {
    assert_eq!(play.violation.as_deref().or(play.consensus.violation.as_deref()), None);
}

fn runs(play: &mut Simulation, time: Time) {
    let until = play.consensus.now + time;
    play.run(until);
    good(play);
}

fn runs_until(play: &mut Simulation, most: Time, done: impl Fn(&Simulation) -> bool) {
    let end = play.consensus.now + most;
    while !done(play) {
        let mays: Vec<AdmissionPermit> =
            (play.first_member..play.processes.len()).map(|at| play.permit(at)).collect();
        assert!(play.consensus.now < end, "it never came: {:?} {:?} {mays:?}", play.decided, play.reasons);
        runs(play, 5 * MS);
    }
}

#[test]
fn keepers_count_relays_and_a_change_is_in_force_everywhere_or_nowhere() {
    let mut play = play(SimulationConfig { members: 40, ..SimulationConfig::default() }, 1);
    assert_eq!(play.counted_members(), 4 + 1, "four relays, and a member that asks the keepers");
    // Those that asked both relays of their zone as all began are forgotten by the one that they left.
    runs(&mut play, 3 * SECOND);
    assert_eq!((0..4).map(|at| play.relay(at).map_or(0, |relay| relay.members())).sum::<usize>(), 39);
    assert!(play.decided[&1].0 - play.proposed[&1] < 400 * MS);
    let refuses = play.first_member + 3;
    play.processes[refuses].refuses.insert(2);
    play.propose(1, rules(), "second");
    runs_until(&mut play, SECOND, |play| play.decided.contains_key(&2));
    let reason = &play.reasons[&2];
    assert!(!play.decided[&2].1 && reason.ends_with(": m3: line 1: no such thing"), "{reason}");
    runs(&mut play, 2 * SECOND);
    assert!(play.is_settled() && play.active_version() == 1);
}

#[test]
fn a_relay_dies_and_its_members_ask_the_other_one() {
    for (seed, missing) in [(2, UnreachableMembers::Fence), (3, UnreachableMembers::Wait)] {
        let rules = Rules { unreachable: missing, ..rules() };
        let mut play = play(SimulationConfig { rules, ..SimulationConfig::default() }, seed);
        play.kill(0);
        play.propose(1, rules, "second");
        runs(&mut play, 3 * SECOND);
        // Under `wait` it counts until it is here again, or an operator says that it won't be.
        assert_eq!(play.decided.contains_key(&2), missing == UnreachableMembers::Fence);
        assert!(play.is_settled(), "the zone serves by its other relay");
        play.start(0);
        runs_until(&mut play, 4 * SECOND, |play| play.active_version() == 2 && play.is_settled());
        play.lose_disk(0);
        play.start(0);
        play.propose(2, rules, "third");
        runs_until(&mut play, 5 * SECOND, |play| play.active_version() == 3 && play.is_settled());
        runs_until(&mut play, 5 * SECOND, |play| play.relay(0).and_then(|relay| relay.in_force()) == Some(3));
    }
}

#[test]
fn a_relay_without_a_lease_stops_its_members_before_a_change_goes_on_without_them() {
    for (seed, still) in [(4, false), (5, true)] {
        // One relay each, so that nobody can go elsewhere.
        let mut play = play(SimulationConfig { relays: 1, ..SimulationConfig::default() }, seed);
        let members: Vec<usize> = (play.first_member..play.processes.len() - 1).step_by(2).collect();
        match still {
            true => play.stop(0, 4 * SECOND),
            false => play.processes[0].cut = true,
        }
        play.propose(1, rules(), "second");
        runs_until(&mut play, 4 * SECOND, |play| play.decided.contains_key(&2));
        assert!(play.decided[&2].1 && members.iter().all(|at| play.permit(*at) == AdmissionPermit::Deny));
        runs(&mut play, 4 * SECOND);
        assert!(members.iter().all(|at| still || play.permit(*at) == AdmissionPermit::Deny));
        play.processes[0].cut = false;
        runs_until(&mut play, 4 * SECOND, Simulation::is_settled);
    }
}

#[test]
fn a_region_is_apart_for_long_and_comes_back_under_what_is_in_force_then() {
    let mut play = play(
        SimulationConfig { regions: 4, zones: 4, members: 40, replicas: 3, ..SimulationConfig::default() },
        6,
    );
    play.isolate_region(3);
    play.propose(1, rules(), "second");
    runs_until(&mut play, 4 * SECOND, |play| play.active_version() == 2);
    let apart = |play: &Simulation| {
        (play.first_member..play.processes.len())
            .filter(|at| play.processes[*at].region == 3)
            .map(|at| play.permit(at))
            .collect::<Vec<_>>()
    };
    runs(&mut play, 60 * SECOND);
    assert!(apart(&play).iter().all(|may| *may == AdmissionPermit::Deny), "its relays have no lease");
    play.reconnect_regions();
    runs_until(&mut play, 4 * SECOND, Simulation::is_settled);
}

#[test]
fn all_relays_of_a_zone_are_gone_and_come_back_from_empty_disks() {
    let mut play = play(SimulationConfig::default(), 7);
    let members: Vec<usize> = (play.first_member..play.processes.len() - 1).step_by(2).collect();
    (0..2).for_each(|at| play.lose_disk(at));
    play.propose(1, rules(), "second");
    runs_until(&mut play, 4 * SECOND, |play| play.active_version() == 2);
    assert!(members.iter().all(|at| play.permit(*at) == AdmissionPermit::Deny));
    (0..2).for_each(|at| play.start(at));
    runs_until(&mut play, 4 * SECOND, Simulation::is_settled);
}

#[test]
fn a_relay_that_leaves_waits_for_the_leases_that_it_gave() {
    let mut play = play(SimulationConfig::default(), 8);
    runs(&mut play, 3 * SECOND);
    let counted = play.counted_members();
    let at = (0..2).max_by_key(|at| play.relay(*at).map_or(0, |relay| relay.members())).expect("two");
    play.drain(at);
    runs(&mut play, 200 * MS);
    assert!(!play.relay(at).is_some_and(|relay| relay.left()) && play.counted_members() == counted);
    runs_until(&mut play, 3 * SECOND, |play| play.relay(at).is_some_and(|relay| relay.left()));
    runs_until(&mut play, SECOND, |play| play.counted_members() == counted - 1);
    play.propose(1, rules(), "second");
    runs_until(&mut play, 3 * SECOND, |play| play.active_version() == 2 && play.is_settled());
}

#[test]
fn together_nobody_admits_under_the_old_one_beside_the_new_one() {
    for seed in 0..12 {
        let rules = if seed % 2 == 0 { rules() } else { wait() };
        let mut play =
            play(SimulationConfig { rules, check: 200 * MS, ..SimulationConfig::default() }, 200 + seed);
        play.consensus.network.max_extra_delay = 300 * MS;
        play.consensus.network.loss_one_in = 10;
        play.propose(1, together(rules), "second");
        let member = play.first_member + 1;
        runs(&mut play, 100 * MS);
        play.processes[member].cut = true;
        runs_until(&mut play, 9 * SECOND, |play| play.decided.contains_key(&2));
        play.processes[member].cut = false;
        if play.decided[&2].1 {
            runs_until(&mut play, 9 * SECOND, |play| play.active_version() == 2 && play.is_settled());
        }
    }
}

/// Under `wait` a new life takes the former's place at the keepers at once, and knows nothing of the leases that are out: it neither
/// speaks for those that hold them nor leaves. The second was found by play 2929.
#[test]
fn a_new_life_speaks_for_its_members_only_once_the_former_leases_are_over() {
    for (seed, heard, leaves) in [(9, true, false), (10, true, true), (11, false, true)] {
        let mut play =
            play(SimulationConfig { relays: 1, rules: wait(), ..SimulationConfig::default() }, seed);
        let member = play.first_member;
        play.processes[member].cut = true;
        play.start(0);
        let began = play.consensus.now;
        // Its first asking has got through; the answer, where it is not to hear it, does not.
        runs(&mut play, if heard { 100 * MS } else { 3 * MS });
        play.processes[0].cut = !heard;
        if leaves {
            play.drain(0);
        }
        runs(&mut play, 100 * MS);
        play.processes[0].cut = false;
        play.propose(1, together(wait()), "second");
        runs_until(&mut play, 5 * SECOND, |play| play.active_version() == 2);
        assert!(play.decided[&2].0 - began >= play.config.max_lease);
    }
}

#[test]
fn a_member_that_moves_to_the_other_relay_counts_at_both() {
    let mut play = play(SimulationConfig { rules: wait(), ..SimulationConfig::default() }, 10);
    for turn in 0..6 {
        // It loses its relay's letters for a moment, asks the other one, and a change comes in between.
        let number = play.active_version();
        play.processes[turn % 2].cut = true;
        runs(&mut play, 700 * MS);
        play.processes[turn % 2].cut = false;
        play.propose(number, together(wait()), "next");
        runs_until(&mut play, 5 * SECOND, |play| play.active_version() == number + 1 && play.is_settled());
    }
}

#[test]
fn thousands_below_relays_are_tens_at_the_keepers() {
    let setup = SimulationConfig {
        zones: 17,
        regions: 8,
        members: 1_000,
        direct_members: 0,
        ..SimulationConfig::default()
    };
    let mut play = play(setup, 11);
    assert_eq!(play.counted_members(), 34);
    play.consensus.network.loss_one_in = 10;
    play.propose(1, rules(), "second");
    runs_until(&mut play, 14 * SECOND, |play| play.admitting_members(2) >= 990);
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

fn setup(seed: u64) -> SimulationConfig {
    let missing = if seed.is_multiple_of(2) { UnreachableMembers::Fence } else { UnreachableMembers::Wait };
    // One relay for a zone in a third of the plays, where leases below last longest without another's.
    let relays = if seed.is_multiple_of(3) { 1 } else { 2 };
    let older = seed.is_multiple_of(5);
    SimulationConfig {
        rules: Rules { unreachable: missing, ..rules() },
        relays,
        older,
        ..SimulationConfig::default()
    }
}

/// `RELAYS_SEEDS` plays more of them.
#[test]
fn faults_by_chance_break_no_rule_and_leave_nothing_undecided() {
    let number = |name: &str| std::env::var(name).ok().and_then(|many| many.parse::<u64>().ok());
    let (many, from) = (number("RELAYS_SEEDS").unwrap_or(150), number("RELAYS_FROM").unwrap_or(0));
    let (mut taken, mut dropped) = (0, 0);
    for seed in from..from + many {
        let mut play = faults(setup(seed), seed, 20 * SECOND);
        let wrong = play.violation.clone().or(play.consensus.violation.clone());
        assert_eq!(wrong, None, "seed {seed}");
        play.heal();
        let end = play.consensus.now + 25 * SECOND;
        while play.consensus.now < end {
            let until = play.consensus.now + 100 * MS;
            play.run(until);
            if play.is_settled() && play.proposed.keys().all(|number| play.decided.contains_key(number)) {
                break;
            }
        }
        let wrong = play.violation.clone().or(play.consensus.violation.clone());
        assert_eq!(wrong, None, "seed {seed}, in peace");
        let mays: Vec<AdmissionPermit> =
            (play.first_member..play.processes.len()).map(|at| play.permit(at)).collect();
        assert!(
            play.is_settled(),
            "seed {seed}: in peace all serve under one version, {}: {mays:?}",
            play.active_version()
        );
        assert!(play.proposed.keys().all(|number| play.decided.contains_key(number)), "seed {seed}");
        taken += play.decided.values().filter(|one| one.1).count();
        dropped += play.decided.values().filter(|one| !one.1).count();
    }
    assert!(taken as u64 > many && dropped as u64 > many / 4, "{taken} taken, {dropped} dropped");
}

/// The first seed of a play that breaks a rule with this guard taken out, and the rule.
fn found(broken: Broken) {
    let first = (0..600).find_map(|seed| {
        let play = faults(SimulationConfig { relay: broken, ..setup(seed) }, seed, 20 * SECOND);
        play.violation.or(play.consensus.violation).map(|wrong| (seed, wrong))
    });
    let (seed, wrong) = first.expect("a play without that guard broke no rule");
    println!("{broken:?}: seed {seed}: {wrong}");
}

#[test]
fn each_guard_taken_out_is_found() {
    found(Broken { yes_alone: true, ..Broken::default() });
    found(Broken { longer: true, ..Broken::default() });
    found(Broken { to_all: true, ..Broken::default() });
    found(Broken { stops_alone: true, ..Broken::default() });
    found(Broken { no_wait: true, ..Broken::default() });
}
