//! One owner at a time in a simulated cluster: processes that stand still, die and drain, links that are cut, clocks that run apart. The
//! journal of the resource is checked. Disabled safeguards are found.

use cypresscleat_consensus::sim::NetworkConditions;
use cypresscleat_consensus::SeededRng;
use cypresscleat_leases::fence::Fence;
use cypresscleat_leases::simulation::{DisabledSafeguards, InvariantViolation, Simulation, SimulationConfig};
use cypresscleat_leases::{Partition, MS, SECOND};

/// Clocks that are each so many parts in a thousand off run apart by no more than one part in `CLOCK_DRIFT_DIVISOR`.
const BOUND: i64 = 12;
const PART: Partition = Partition { task: 1, index: 0 };

fn seeds() -> u64 {
    std::env::var("OWNERS_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(60)
}

/// Why a run failed.
#[derive(Debug)]
enum Failure {
    Invariant(InvariantViolation),
    /// Two owners at once, or nothing done after the faults: what was seen.
    Other(#[allow(dead_code, reason = "shown where a test fails")] String),
}

impl From<InvariantViolation> for Failure {
    fn from(violation: InvariantViolation) -> Failure {
        Failure::Invariant(violation)
    }
}

/// Random faults for so many seconds, then none. Returns how many items were done.
fn play(seed: u64, setup: SimulationConfig, drift: i64, seconds: i64) -> Result<usize, Failure> {
    let mut play = Simulation::new(setup, seed);
    let mut rng = SeededRng::new(seed ^ 0xfa17);
    for at in 0..setup.instances {
        play.instances[at].clock_drift_permille = rng.below(2 * drift as u64 + 1) as i64 - drift;
        play.instances[at].clock_offset = [0, 3600 * SECOND][rng.below(2) as usize];
    }
    play.cluster.network = NetworkConditions {
        delay: [MS / 2, 3 * MS][rng.below(2) as usize],
        loss_one_in: [0, 20, 6][rng.below(3) as usize],
        duplicate_one_in: [0, 8][rng.below(2) as usize],
        max_extra_delay: [0, 500 * MS, 3 * SECOND][rng.below(3) as usize],
    };
    let end = seconds * SECOND;
    while play.cluster.now < end {
        play.inject_faults(&mut rng);
        let now = play.cluster.now;
        play.run(now + 300 * MS);
        play.check_invariants()?;
        let must_be_alone = drift <= BOUND && !setup.safeguards.ignore_lease_end;
        if let Some((at, partition)) = play.double_owner.filter(|_| must_be_alone) {
            return Err(Failure::Other(format!("two might act on {partition:?} at {at}")));
        }
    }
    // All goes on once the faults are over.
    play.heal();
    let (before, now) = (play.items_done(), play.cluster.now);
    play.run(now + 4 * setup.lease + 4 * SECOND);
    play.check_invariants()?;
    if play.items_done() <= before {
        return Err(Failure::Other(format!("nothing was done after the faults, {before} items before")));
    }
    Ok(play.items_done())
}

fn sweep(first: u64, setup: SimulationConfig, drift: i64) {
    for seed in first..first + seeds() {
        if let Err(wrong) = play(seed, setup, drift, 25) {
            panic!("seed {seed}: {wrong:?}");
        }
    }
}

#[test]
fn three_keepers_and_clocks_within_the_bound() {
    sweep(0, SimulationConfig::default(), BOUND);
}

#[test]
fn five_keepers_and_several_parts() {
    sweep(
        100_000,
        SimulationConfig { replicas: 5, instances: 6, partitions: 5, ..SimulationConfig::default() },
        BOUND,
    );
}

#[test]
fn clocks_past_the_bound_do_no_harm_thanks_to_tokens() {
    sweep(200_000, SimulationConfig::default(), 400);
    let two = |seed: &u64| {
        let mut play = Simulation::new(SimulationConfig::default(), *seed);
        play.run(4 * SECOND);
        let owner = play.owner(PART).expect("an owner");
        play.instances[owner].clock_drift_permille = -500;
        play.cut_from_replicas.insert(owner);
        play.run(10 * SECOND);
        play.check_invariants().expect("tokens hold");
        play.double_owner.is_some()
    };
    assert!((0..5).all(|seed| two(&seed)), "a clock at half its speed has two that act at once");
}

fn found(safeguards: DisabledSafeguards, drift: i64) -> bool {
    (0..200).any(|seed| {
        play(seed, SimulationConfig { safeguards, ..SimulationConfig::default() }, drift, 25).is_err()
    })
}

#[test]
fn without_tokens_an_old_owner_does_harm() {
    assert!(
        found(DisabledSafeguards { ignore_tokens: true, ignore_lease_end: false }, 12),
        "one that was stopped in the middle of an act"
    );
    assert!(
        found(DisabledSafeguards { ignore_tokens: true, ignore_lease_end: true }, 0),
        "one that holds on after its lease"
    );
}

#[test]
fn an_owner_that_ignores_its_lease_end_is_stopped_by_the_token_alone() {
    let setup = SimulationConfig {
        safeguards: DisabledSafeguards { ignore_tokens: false, ignore_lease_end: true },
        ..SimulationConfig::default()
    };
    for seed in 0..40 {
        let done = play(seed, setup, 0, 15);
        assert!(
            !matches!(
                &done,
                Err(Failure::Invariant(
                    InvariantViolation::TokenFell { .. } | InvariantViolation::OutOfOrder { .. }
                ))
            ),
            "{done:?}"
        );
    }
}

/// Time from `what` until another instance owns the partition.
fn without_owner(seed: u64, what: impl Fn(&mut Simulation, usize)) -> i64 {
    let mut play = Simulation::new(SimulationConfig::default(), seed);
    play.run(4 * SECOND);
    let owner = play.owner(PART).expect("an owner");
    let began = play.cluster.now;
    what(&mut play, owner);
    while play.owner(PART).is_none_or(|now| now == owner) {
        let now = play.cluster.now;
        assert!(now < began + 20 * SECOND, "nobody took it over");
        play.run(now + 5 * MS);
    }
    play.cluster.now - began
}

#[test]
fn a_told_handover_takes_milliseconds_and_a_death_the_lease_and_a_tenth_of_a_second() {
    let lease = SimulationConfig::default().lease;
    for seed in 0..40 {
        assert!(without_owner(seed, Simulation::drain) <= 50 * MS, "seed {seed}");
        let death = without_owner(seed, Simulation::kill);
        assert!(death <= lease + 100 * MS, "seed {seed}: {death}");
        let stop = without_owner(seed, |play, at| play.pause(at, 30 * SECOND));
        assert!(stop <= lease + 100 * MS, "seed {seed}: {stop}");
    }
}

#[test]
fn links_that_flap_do_not_make_ownership_flap() {
    let mut play = Simulation::new(SimulationConfig::default(), 5);
    play.run(4 * SECOND);
    let before = play.changes.len();
    // Cut for 0.7 of each second, a minute long: shorter than the lease.
    for second in 0..60 {
        play.cut_from_replicas.extend(0..4);
        play.run((4 + second) * SECOND + 700 * MS);
        play.cut_from_replicas.clear();
        play.run((5 + second) * SECOND);
    }
    let changes = play.changes.len() - before;
    assert!(changes <= 60, "{changes} changes in a minute, at a lease of two seconds");
    play.check_invariants().expect("no harm");
}

#[test]
fn a_majority_away_for_half_a_minute_brings_no_rush() {
    let mut play = Simulation::new(SimulationConfig { instances: 50, ..SimulationConfig::default() }, 6);
    play.run(4 * SECOND);
    for at in 0..2 {
        play.cluster.crash(at);
    }
    let before = play.messages_sent;
    play.run(34 * SECOND);
    // Three soon, then two each lease; each may be told to ask elsewhere.
    let bound = 50 * (4 + 2 * 15) * 3;
    assert!(
        play.messages_sent - before <= bound,
        "{} letters, more than {bound}",
        play.messages_sent - before
    );
    for at in 0..2 {
        play.cluster.start(at);
    }
    play.run(40 * SECOND);
    assert!(play.owner(PART).is_some());
    play.check_invariants().expect("no harm");
}

#[test]
fn renewals_write_nothing_however_many_parts_there_are() {
    let writes = |partitions: u32| {
        let mut play = Simulation::new(
            SimulationConfig { partitions, instances: 3, act_interval: 0, ..SimulationConfig::default() },
            7,
        );
        play.run(6 * SECOND);
        let before: Vec<u64> = play.cluster.nodes.iter().map(|seat| seat.disk.sync_count).collect();
        let owned: usize =
            play.instances.iter().filter_map(|one| one.client.as_ref()).map(|one| one.owned().count()).sum();
        assert_eq!(owned, partitions as usize, "all are owned, and their owners know it");
        play.run(26 * SECOND);
        play.cluster.nodes.iter().zip(before).map(|(seat, before)| seat.disk.sync_count - before).max()
    };
    assert_eq!(writes(1), Some(0));
    assert_eq!(writes(10_000), Some(0));
}

#[test]
fn the_fence_forgets_the_oldest_and_takes_nothing_older_for_it() {
    let mut fence = Fence::default();
    let partition = |index| Partition { task: 9, index };
    assert!(fence.check(partition(0), 5) && fence.check(partition(0), 5) && fence.check(partition(0), 9));
    assert!(!fence.check(partition(0), 8) && !fence.check(partition(0), 0));
    for number in 0..cypresscleat_leases::fence::MAX_REMEMBERED_PARTITIONS as u32 + 10 {
        assert!(fence.check(partition(number + 1), 100 + u64::from(number)));
    }
    assert!(!fence.check(partition(0), 8), "forgotten, and still too old");
    let kept = Fence::restore([(partition(0), 9)]);
    assert_eq!(kept.highest_token(partition(0)), 9);
}

/// What was asked before it left is answered after: that is no word that it has left.
#[test]
fn one_that_leaves_waits_for_the_answer_to_that() {
    use cypresscleat_leases::client::LeaseClient;
    use cypresscleat_leases::messages::{Grant, Request, Response};
    use cypresscleat_leases::Claim;
    let claims = vec![Claim { task: 1, partitions: 1, rank: 0 }];
    let mut client = LeaseClient::new(0, 5, 1, claims, vec![1, 2, 3]);
    let first = client.tick(0);
    let [(replica, Request::Renew { number, .. })] = &first[..] else { panic!("{first:?}") };
    let (replica, number, nothing) = (*replica, *number, (0, Partition { task: 0, index: 0 }));
    let grants = vec![Grant { partition: PART, token: 9, cursor: vec![], release_requested: false }];
    let held =
        Response::Renewed { session: 8, number, lease: 2 * SECOND, after: nothing, grants, more: false };
    client.handle(10, replica, held);
    // A cursor and a renewal are on their way when it is told to leave.
    assert!(client.save_cursor(PART, vec![1]).is_some());
    let sent = client.send_operations(20);
    let [(_, Request::Apply { number: done, .. })] = &sent[..] else { panic!("{sent:?}") };
    let renewed = client.tick(SECOND / 2);
    assert!(renewed.iter().any(|(_, ask)| matches!(ask, Request::Renew { .. })), "{renewed:?}");
    let leaves = client.leave(SECOND / 2 + 10);
    assert!(matches!(&leaves[..], [(to, Request::Leave { session: 8, .. })] if *to == replica), "{leaves:?}");
    client.handle(SECOND / 2 + 20, replica, Response::Done { number: *done, applied: 1 });
    assert!(!client.has_left(), "the answer to its cursor says nothing about its leave");
    let [(_, Request::Leave { number, .. })] = &leaves[..] else { panic!("{leaves:?}") };
    client.handle(SECOND / 2 + 30, replica, Response::Done { number: *number, applied: 0 });
    assert!(client.has_left());
}

/// Keepers change in service: an instance that was started with the old list is sent to one that it does not know.
#[test]
fn a_leader_that_came_later_is_asked_once_it_is_known() {
    use cypresscleat_leases::client::LeaseClient;
    use cypresscleat_leases::messages::Response;
    use cypresscleat_leases::Claim;
    let mut client = LeaseClient::new(0, 5, 1, vec![Claim { task: 7, partitions: 1, rank: 0 }], vec![1]);
    assert_eq!(client.tick(0).first().map(|(to, _)| *to), Some(1));
    assert!(client.handle(1, 1, Response::NotLeader { leader: 4 }).is_empty(), "nobody it knows");
    client.add_replica(4);
    let asks = client.handle(2, 1, Response::NotLeader { leader: 4 });
    assert_eq!(asks.first().map(|(to, _)| *to), Some(4));
}
