//! Relays in a simulated network: each hard case by itself, then random faults over many seeds, then the same with safeguards disabled,
//! which has to be detected.

use cypresscleat_rollout::member::AdmissionPermit;
use cypresscleat_rollout::state::{Rules, UnreachableMembers};
use cypresscleat_rollout::{Time, MS, SECOND};
use cypresscleat_rollout_relay::relay::DisabledSafeguards;
use cypresscleat_rollout_relay::simulation::{Simulation, SimulationConfig};

fn rules() -> Rules {
    SimulationConfig::default().rules
}

fn wait() -> Rules {
    Rules { unreachable: UnreachableMembers::Wait, ..rules() }
}

fn with_barrier(rules: Rules) -> Rules {
    Rules { barrier: true, ..rules }
}

/// A simulation whose members joined and admitted under their own file, then under version 1 with the rules of `config`.
fn start(config: SimulationConfig, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(config, seed);
    run_until(&mut simulation, 4 * SECOND, Simulation::is_settled);
    simulation.propose(0, config.rules, "first");
    run_until(&mut simulation, 5 * SECOND, |simulation| {
        simulation.active_version() == 1 && simulation.is_settled()
    });
    simulation
}

fn assert_no_violation(simulation: &Simulation) {
    assert_eq!(simulation.violation.as_deref().or(simulation.consensus.violation.as_deref()), None);
}

fn run(simulation: &mut Simulation, time: Time) {
    let until = simulation.consensus.now + time;
    simulation.run(until);
    assert_no_violation(simulation);
}

fn run_until(simulation: &mut Simulation, max_time: Time, is_done: impl Fn(&Simulation) -> bool) {
    let end = simulation.consensus.now + max_time;
    while !is_done(simulation) {
        let permits: Vec<AdmissionPermit> = (simulation.first_member..simulation.processes.len())
            .map(|index| simulation.permit(index))
            .collect();
        assert!(
            simulation.consensus.now < end,
            "not reached in time: {:?} {:?} {permits:?}",
            simulation.decided,
            simulation.reasons
        );
        run(simulation, 5 * MS);
    }
}

#[test]
fn replicas_count_relays_and_a_change_is_active_everywhere_or_nowhere() {
    let mut simulation = start(SimulationConfig { members: 40, ..SimulationConfig::default() }, 1);
    assert_eq!(simulation.counted_members(), 4 + 1, "four relays, and a member that asks the replicas");
    // Members that polled both relays of their zone at the start are forgotten by the relay that they left.
    run(&mut simulation, 3 * SECOND);
    assert_eq!(
        (0..4).map(|index| simulation.relay(index).map_or(0, |relay| relay.member_count())).sum::<usize>(),
        39
    );
    assert!(simulation.decided[&1].0 - simulation.proposed[&1] < 400 * MS);
    let refuses = simulation.first_member + 3;
    simulation.processes[refuses].refuses.insert(2);
    simulation.propose(1, rules(), "second");
    run_until(&mut simulation, SECOND, |simulation| simulation.decided.contains_key(&2));
    let reason = &simulation.reasons[&2];
    assert!(!simulation.decided[&2].1 && reason.ends_with(": m3: line 1: no such thing"), "{reason}");
    run(&mut simulation, 2 * SECOND);
    assert!(simulation.is_settled() && simulation.active_version() == 1);
}

#[test]
fn members_of_a_dead_relay_poll_the_other_relay() {
    for (seed, rule) in [(2, UnreachableMembers::Fence), (3, UnreachableMembers::Wait)] {
        let rules = Rules { unreachable: rule, ..rules() };
        let mut simulation = start(SimulationConfig { rules, ..SimulationConfig::default() }, seed);
        simulation.kill(0);
        simulation.propose(1, rules, "second");
        run(&mut simulation, 3 * SECOND);
        // Under `Wait` the relay counts until it is back, or an operator says that it will not come back.
        assert_eq!(simulation.decided.contains_key(&2), rule == UnreachableMembers::Fence);
        assert!(simulation.is_settled(), "the zone admits through its other relay");
        simulation.start(0);
        run_until(&mut simulation, 4 * SECOND, |simulation| {
            simulation.active_version() == 2 && simulation.is_settled()
        });
        simulation.lose_disk(0);
        simulation.start(0);
        simulation.propose(2, rules, "third");
        run_until(&mut simulation, 5 * SECOND, |simulation| {
            simulation.active_version() == 3 && simulation.is_settled()
        });
        run_until(&mut simulation, 5 * SECOND, |simulation| {
            simulation.relay(0).and_then(|relay| relay.active()) == Some(3)
        });
    }
}

#[test]
fn a_relay_without_a_lease_stops_its_members_before_a_change_goes_on_without_them() {
    for (seed, stands_still) in [(4, false), (5, true)] {
        // One relay for each zone, so that members cannot move to another.
        let mut simulation = start(SimulationConfig { relays: 1, ..SimulationConfig::default() }, seed);
        let members: Vec<usize> =
            (simulation.first_member..simulation.processes.len() - 1).step_by(2).collect();
        match stands_still {
            true => simulation.stop(0, 4 * SECOND),
            false => simulation.processes[0].is_cut = true,
        }
        simulation.propose(1, rules(), "second");
        run_until(&mut simulation, 4 * SECOND, |simulation| simulation.decided.contains_key(&2));
        assert!(
            simulation.decided[&2].1
                && members.iter().all(|index| simulation.permit(*index) == AdmissionPermit::Deny)
        );
        run(&mut simulation, 4 * SECOND);
        assert!(members
            .iter()
            .all(|index| stands_still || simulation.permit(*index) == AdmissionPermit::Deny));
        simulation.processes[0].is_cut = false;
        run_until(&mut simulation, 4 * SECOND, Simulation::is_settled);
    }
}

#[test]
fn a_region_that_was_isolated_for_long_admits_under_the_version_that_is_active_then() {
    let mut simulation = start(
        SimulationConfig { regions: 4, zones: 4, members: 40, replicas: 3, ..SimulationConfig::default() },
        6,
    );
    simulation.isolate_region(3);
    simulation.propose(1, rules(), "second");
    run_until(&mut simulation, 4 * SECOND, |simulation| simulation.active_version() == 2);
    let isolated_permits = |simulation: &Simulation| {
        (simulation.first_member..simulation.processes.len())
            .filter(|index| simulation.processes[*index].region == 3)
            .map(|index| simulation.permit(index))
            .collect::<Vec<_>>()
    };
    run(&mut simulation, 60 * SECOND);
    assert!(
        isolated_permits(&simulation).iter().all(|permit| *permit == AdmissionPermit::Deny),
        "its relays have no lease"
    );
    simulation.reconnect_regions();
    run_until(&mut simulation, 4 * SECOND, Simulation::is_settled);
}

#[test]
fn all_relays_of_a_zone_restart_with_empty_disks() {
    let mut simulation = start(SimulationConfig::default(), 7);
    let members: Vec<usize> = (simulation.first_member..simulation.processes.len() - 1).step_by(2).collect();
    (0..2).for_each(|index| simulation.lose_disk(index));
    simulation.propose(1, rules(), "second");
    run_until(&mut simulation, 4 * SECOND, |simulation| simulation.active_version() == 2);
    assert!(members.iter().all(|index| simulation.permit(*index) == AdmissionPermit::Deny));
    (0..2).for_each(|index| simulation.start(index));
    run_until(&mut simulation, 4 * SECOND, Simulation::is_settled);
}

#[test]
fn a_relay_that_leaves_waits_for_the_leases_that_it_gave() {
    let mut simulation = start(SimulationConfig::default(), 8);
    run(&mut simulation, 3 * SECOND);
    let counted = simulation.counted_members();
    let index = (0..2)
        .max_by_key(|index| simulation.relay(*index).map_or(0, |relay| relay.member_count()))
        .expect("two relays");
    simulation.drain(index);
    run(&mut simulation, 200 * MS);
    assert!(
        !simulation.relay(index).is_some_and(|relay| relay.has_left())
            && simulation.counted_members() == counted
    );
    run_until(&mut simulation, 3 * SECOND, |simulation| {
        simulation.relay(index).is_some_and(|relay| relay.has_left())
    });
    run_until(&mut simulation, SECOND, |simulation| simulation.counted_members() == counted - 1);
    simulation.propose(1, rules(), "second");
    run_until(&mut simulation, 3 * SECOND, |simulation| {
        simulation.active_version() == 2 && simulation.is_settled()
    });
}

#[test]
fn with_a_barrier_no_member_admits_under_the_former_version_beside_the_new_one() {
    for seed in 0..12 {
        let rules = if seed % 2 == 0 { rules() } else { wait() };
        let mut simulation = start(
            SimulationConfig { rules, check_time: 200 * MS, ..SimulationConfig::default() },
            200 + seed,
        );
        simulation.consensus.network.max_extra_delay = 300 * MS;
        simulation.consensus.network.loss_one_in = 10;
        simulation.propose(1, with_barrier(rules), "second");
        let member = simulation.first_member + 1;
        run(&mut simulation, 100 * MS);
        simulation.processes[member].is_cut = true;
        run_until(&mut simulation, 9 * SECOND, |simulation| simulation.decided.contains_key(&2));
        simulation.processes[member].is_cut = false;
        if simulation.decided[&2].1 {
            run_until(&mut simulation, 9 * SECOND, |simulation| {
                simulation.active_version() == 2 && simulation.is_settled()
            });
        }
    }
}

/// Under `Wait` a new incarnation of a relay replaces the former one at the replicas at once, and knows nothing of the leases that the
/// former one gave: it must neither report for the members that hold them nor leave. Seed 2929 of the random faults found a relay that left.
#[test]
fn a_new_incarnation_reports_for_its_members_only_once_the_former_leases_are_over() {
    for (seed, has_response, leaves) in [(9, true, false), (10, true, true), (11, false, true)] {
        let mut simulation =
            start(SimulationConfig { relays: 1, rules: wait(), ..SimulationConfig::default() }, seed);
        let member = simulation.first_member;
        simulation.processes[member].is_cut = true;
        simulation.start(0);
        let started_at = simulation.consensus.now;
        // The relay's first heartbeat arrives. Without `has_response` the response to it does not.
        run(&mut simulation, if has_response { 100 * MS } else { 3 * MS });
        simulation.processes[0].is_cut = !has_response;
        if leaves {
            simulation.drain(0);
        }
        run(&mut simulation, 100 * MS);
        simulation.processes[0].is_cut = false;
        simulation.propose(1, with_barrier(wait()), "second");
        run_until(&mut simulation, 5 * SECOND, |simulation| simulation.active_version() == 2);
        assert!(simulation.decided[&2].0 - started_at >= simulation.config.max_lease);
    }
}

#[test]
fn a_member_that_moves_to_the_other_relay_counts_at_both() {
    let mut simulation = start(SimulationConfig { rules: wait(), ..SimulationConfig::default() }, 10);
    for turn in 0..6 {
        // Members lose the messages of their relay for a moment and poll the other one; then a change is proposed.
        let number = simulation.active_version();
        simulation.processes[turn % 2].is_cut = true;
        run(&mut simulation, 700 * MS);
        simulation.processes[turn % 2].is_cut = false;
        simulation.propose(number, with_barrier(wait()), "next");
        run_until(&mut simulation, 5 * SECOND, |simulation| {
            simulation.active_version() == number + 1 && simulation.is_settled()
        });
    }
}

#[test]
fn thousands_of_members_below_relays_are_tens_of_members_at_the_replicas() {
    let config = SimulationConfig {
        zones: 17,
        regions: 8,
        members: 1_000,
        direct_members: 0,
        ..SimulationConfig::default()
    };
    let mut simulation = start(config, 11);
    assert_eq!(simulation.counted_members(), 34);
    simulation.consensus.network.loss_one_in = 10;
    simulation.propose(1, rules(), "second");
    run_until(&mut simulation, 14 * SECOND, |simulation| simulation.admitting_members(2) >= 990);
}

fn run_with_faults(config: SimulationConfig, seed: u64, time: Time) -> Simulation {
    let mut simulation = Simulation::new(config, seed);
    simulation.consensus.network.loss_one_in = 12;
    simulation.consensus.network.duplicate_one_in = 20;
    simulation.consensus.network.max_extra_delay = 800 * MS;
    simulation.run(2 * SECOND);
    simulation.inject_faults(time);
    simulation
}

fn config(seed: u64) -> SimulationConfig {
    let rule = if seed.is_multiple_of(2) { UnreachableMembers::Fence } else { UnreachableMembers::Wait };
    // One relay for each zone in a third of the runs: leases of members last longest where no other relay replaces them.
    let relays = if seed.is_multiple_of(3) { 1 } else { 2 };
    let older_members = seed.is_multiple_of(5);
    SimulationConfig {
        rules: Rules { unreachable: rule, ..rules() },
        relays,
        older_members,
        ..SimulationConfig::default()
    }
}

/// `RELAYS_SEEDS` sets the number of seeds, `RELAYS_FROM` the first one.
#[test]
fn random_faults_violate_no_invariant_and_leave_no_change_undecided() {
    let number = |name: &str| std::env::var(name).ok().and_then(|value| value.parse::<u64>().ok());
    let (seeds, first_seed) = (number("RELAYS_SEEDS").unwrap_or(150), number("RELAYS_FROM").unwrap_or(0));
    let (mut committed, mut aborted) = (0, 0);
    for seed in first_seed..first_seed + seeds {
        let mut simulation = run_with_faults(config(seed), seed, 20 * SECOND);
        let violation = simulation.violation.clone().or(simulation.consensus.violation.clone());
        assert_eq!(violation, None, "seed {seed}");
        simulation.heal();
        let end = simulation.consensus.now + 25 * SECOND;
        while simulation.consensus.now < end {
            let until = simulation.consensus.now + 100 * MS;
            simulation.run(until);
            if simulation.is_settled()
                && simulation.proposed.keys().all(|number| simulation.decided.contains_key(number))
            {
                break;
            }
        }
        let violation = simulation.violation.clone().or(simulation.consensus.violation.clone());
        assert_eq!(violation, None, "seed {seed}, after the faults");
        let permits: Vec<AdmissionPermit> = (simulation.first_member..simulation.processes.len())
            .map(|index| simulation.permit(index))
            .collect();
        assert!(
            simulation.is_settled(),
            "seed {seed}: after the faults all members admit under one version, {}: {permits:?}",
            simulation.active_version()
        );
        assert!(
            simulation.proposed.keys().all(|number| simulation.decided.contains_key(number)),
            "seed {seed}"
        );
        committed += simulation.decided.values().filter(|decided| decided.1).count();
        aborted += simulation.decided.values().filter(|decided| !decided.1).count();
    }
    assert!(
        committed as u64 > seeds && aborted as u64 > seeds / 4,
        "{committed} committed, {aborted} aborted"
    );
}

/// Prints the first seed whose run violates an invariant with these safeguards disabled, and the violation.
fn assert_detected(safeguards: DisabledSafeguards) {
    let first = (0..600).find_map(|seed| {
        let simulation =
            run_with_faults(SimulationConfig { relay: safeguards, ..config(seed) }, seed, 20 * SECOND);
        simulation.violation.or(simulation.consensus.violation).map(|violation| (seed, violation))
    });
    let (seed, violation) = first.expect("a run without that safeguard violated no invariant");
    println!("{safeguards:?}: seed {seed}: {violation}");
}

#[test]
fn each_disabled_safeguard_is_detected() {
    assert_detected(DisabledSafeguards { vote_before_members: true, ..DisabledSafeguards::default() });
    assert_detected(DisabledSafeguards { outlast_own_lease: true, ..DisabledSafeguards::default() });
    assert_detected(DisabledSafeguards { lease_without_vote: true, ..DisabledSafeguards::default() });
    assert_detected(DisabledSafeguards { stop_before_members: true, ..DisabledSafeguards::default() });
    assert_detected(DisabledSafeguards { skip_recovery_wait: true, ..DisabledSafeguards::default() });
}
