//! One owner at a time in a simulated cluster, in which processes are paused, crash and drain, links fail and clocks drift. The tests check
//! the journal of the resource, and that a disabled safeguard leads to a violation.

use cypresscleat_consensus::sim::NetworkConditions;
use cypresscleat_consensus::SeededRng;
use cypresscleat_leases::fence::Fence;
use cypresscleat_leases::simulation::{DisabledSafeguards, InvariantViolation, Simulation, SimulationConfig};
use cypresscleat_leases::{Partition, MS, SECOND};

/// Maximum drift of a clock in thousandths: two such clocks run apart by no more than one part in `CLOCK_DRIFT_DIVISOR`.
const MAX_DRIFT_PERMILLE: i64 = 12;
const PARTITION: Partition = Partition { task: 1, index: 0 };

fn seeds() -> u64 {
    std::env::var("OWNERS_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(60)
}

/// Why a run failed.
#[derive(Debug)]
enum Failure {
    Invariant(InvariantViolation),
    /// Two owners at once, or no progress after the faults.
    Other(#[allow(dead_code, reason = "printed where a test fails")] String),
}

impl From<InvariantViolation> for Failure {
    fn from(violation: InvariantViolation) -> Failure {
        Failure::Invariant(violation)
    }
}

/// Runs random faults for `seconds`, then none. Returns the number of items that were done.
fn run_seed(seed: u64, setup: SimulationConfig, drift: i64, seconds: i64) -> Result<usize, Failure> {
    let mut simulation = Simulation::new(setup, seed);
    let mut rng = SeededRng::new(seed ^ 0xfa17);
    for at in 0..setup.instances {
        simulation.instances[at].clock_drift_permille = rng.below(2 * drift as u64 + 1) as i64 - drift;
        simulation.instances[at].clock_offset = [0, 3600 * SECOND][rng.below(2) as usize];
    }
    simulation.cluster.network = NetworkConditions {
        delay: [MS / 2, 3 * MS][rng.below(2) as usize],
        loss_one_in: [0, 20, 6][rng.below(3) as usize],
        duplicate_one_in: [0, 8][rng.below(2) as usize],
        max_extra_delay: [0, 500 * MS, 3 * SECOND][rng.below(3) as usize],
    };
    let end = seconds * SECOND;
    while simulation.cluster.now < end {
        simulation.inject_faults(&mut rng);
        let now = simulation.cluster.now;
        simulation.run(now + 300 * MS);
        simulation.check_invariants()?;
        let requires_one_owner = drift <= MAX_DRIFT_PERMILLE && !setup.safeguards.ignore_lease_end;
        if let Some((at, partition)) = simulation.concurrent_owners.filter(|_| requires_one_owner) {
            return Err(Failure::Other(format!("two instances may operate on {partition:?} at {at}")));
        }
    }
    // Work continues once the faults are over.
    simulation.heal();
    let (before, now) = (simulation.items_done(), simulation.cluster.now);
    simulation.run(now + 4 * setup.lease + 4 * SECOND);
    simulation.check_invariants()?;
    if simulation.items_done() <= before {
        return Err(Failure::Other(format!("nothing was done after the faults, {before} items before")));
    }
    Ok(simulation.items_done())
}

fn run_seeds(first: u64, setup: SimulationConfig, drift: i64) {
    for seed in first..first + seeds() {
        if let Err(failure) = run_seed(seed, setup, drift, 25) {
            panic!("seed {seed}: {failure:?}");
        }
    }
}

#[test]
fn three_replicas_and_clocks_within_the_drift_bound() {
    run_seeds(0, SimulationConfig::default(), MAX_DRIFT_PERMILLE);
}

#[test]
fn five_replicas_and_several_partitions() {
    run_seeds(
        100_000,
        SimulationConfig { replicas: 5, instances: 6, partitions: 5, ..SimulationConfig::default() },
        MAX_DRIFT_PERMILLE,
    );
}

#[test]
fn clocks_past_the_drift_bound_do_no_harm_with_fencing_tokens() {
    run_seeds(200_000, SimulationConfig::default(), 400);
    let has_two_owners = |seed: &u64| {
        let mut simulation = Simulation::new(SimulationConfig::default(), *seed);
        simulation.run(4 * SECOND);
        let owner = simulation.owner(PARTITION).expect("an owner");
        simulation.instances[owner].clock_drift_permille = -500;
        simulation.cut_from_replicas.insert(owner);
        simulation.run(10 * SECOND);
        simulation.check_invariants().expect("fencing tokens protect the resource");
        simulation.concurrent_owners.is_some()
    };
    assert!((0..5).all(|seed| has_two_owners(&seed)), "a clock at half speed leads to two owners at once");
}

fn finds_violation(safeguards: DisabledSafeguards, drift: i64) -> bool {
    (0..200).any(|seed| {
        run_seed(seed, SimulationConfig { safeguards, ..SimulationConfig::default() }, drift, 25).is_err()
    })
}

#[test]
fn without_fencing_tokens_a_former_owner_does_harm() {
    assert!(
        finds_violation(DisabledSafeguards { ignore_tokens: true, ignore_lease_end: false }, 12),
        "an owner that was paused during an operation"
    );
    assert!(
        finds_violation(DisabledSafeguards { ignore_tokens: true, ignore_lease_end: true }, 0),
        "an owner that continues after its lease"
    );
}

#[test]
fn an_owner_that_ignores_its_lease_end_is_stopped_by_the_fencing_token() {
    let setup = SimulationConfig {
        safeguards: DisabledSafeguards { ignore_tokens: false, ignore_lease_end: true },
        ..SimulationConfig::default()
    };
    for seed in 0..40 {
        let result = run_seed(seed, setup, 0, 15);
        assert!(
            !matches!(
                &result,
                Err(Failure::Invariant(
                    InvariantViolation::TokenRegressed { .. } | InvariantViolation::OutOfOrder { .. }
                ))
            ),
            "{result:?}"
        );
    }
}

/// Time from `fault` until another instance owns the partition.
fn time_without_owner(seed: u64, fault: impl Fn(&mut Simulation, usize)) -> i64 {
    let mut simulation = Simulation::new(SimulationConfig::default(), seed);
    simulation.run(4 * SECOND);
    let owner = simulation.owner(PARTITION).expect("an owner");
    let started_at = simulation.cluster.now;
    fault(&mut simulation, owner);
    while simulation.owner(PARTITION).is_none_or(|current| current == owner) {
        let now = simulation.cluster.now;
        assert!(now < started_at + 20 * SECOND, "no instance took over");
        simulation.run(now + 5 * MS);
    }
    simulation.cluster.now - started_at
}

#[test]
fn a_drain_hands_over_in_milliseconds_and_a_crash_within_the_lease_and_a_tenth_of_a_second() {
    let lease = SimulationConfig::default().lease;
    for seed in 0..40 {
        assert!(time_without_owner(seed, Simulation::drain) <= 50 * MS, "seed {seed}");
        let crash = time_without_owner(seed, Simulation::kill);
        assert!(crash <= lease + 100 * MS, "seed {seed}: {crash}");
        let pause = time_without_owner(seed, |simulation, at| simulation.pause(at, 30 * SECOND));
        assert!(pause <= lease + 100 * MS, "seed {seed}: {pause}");
    }
}

#[test]
fn links_that_flap_do_not_make_ownership_flap() {
    let mut simulation = Simulation::new(SimulationConfig::default(), 5);
    simulation.run(4 * SECOND);
    let before = simulation.changes.len();
    // For a minute, the links fail for 0.7 s of each second, which is shorter than the lease.
    for second in 0..60 {
        simulation.cut_from_replicas.extend(0..4);
        simulation.run((4 + second) * SECOND + 700 * MS);
        simulation.cut_from_replicas.clear();
        simulation.run((5 + second) * SECOND);
    }
    let changes = simulation.changes.len() - before;
    assert!(changes <= 60, "{changes} changes in a minute, at a lease of two seconds");
    simulation.check_invariants().expect("no violation");
}

#[test]
fn a_majority_down_for_half_a_minute_causes_no_message_storm() {
    let mut simulation =
        Simulation::new(SimulationConfig { instances: 50, ..SimulationConfig::default() }, 6);
    simulation.run(4 * SECOND);
    for at in 0..2 {
        simulation.cluster.crash(at);
    }
    let before = simulation.messages_sent;
    simulation.run(34 * SECOND);
    // Three quick retries, then two renewals per lease; each may be redirected.
    let bound = 50 * (4 + 2 * 15) * 3;
    assert!(
        simulation.messages_sent - before <= bound,
        "{} messages, more than {bound}",
        simulation.messages_sent - before
    );
    for at in 0..2 {
        simulation.cluster.start(at);
    }
    simulation.run(40 * SECOND);
    assert!(simulation.owner(PARTITION).is_some());
    simulation.check_invariants().expect("no violation");
}

#[test]
fn renewals_write_nothing_however_many_partitions_there_are() {
    let writes = |partitions: u32| {
        let mut simulation = Simulation::new(
            SimulationConfig {
                partitions,
                instances: 3,
                operation_interval: 0,
                ..SimulationConfig::default()
            },
            7,
        );
        simulation.run(6 * SECOND);
        let before: Vec<u64> = simulation.cluster.nodes.iter().map(|node| node.disk.sync_count).collect();
        let owned: usize = simulation
            .instances
            .iter()
            .filter_map(|instance| instance.client.as_ref())
            .map(|client| client.owned().count())
            .sum();
        assert_eq!(owned, partitions as usize, "all partitions are owned, and their owners know it");
        simulation.run(26 * SECOND);
        simulation.cluster.nodes.iter().zip(before).map(|(node, before)| node.disk.sync_count - before).max()
    };
    assert_eq!(writes(1), Some(0));
    assert_eq!(writes(10_000), Some(0));
}

#[test]
fn the_fence_evicts_the_oldest_partition_and_still_rejects_its_older_tokens() {
    let mut fence = Fence::default();
    let partition = |index| Partition { task: 9, index };
    assert!(fence.check(partition(0), 5) && fence.check(partition(0), 5) && fence.check(partition(0), 9));
    assert!(!fence.check(partition(0), 8) && !fence.check(partition(0), 0));
    for number in 0..cypresscleat_leases::fence::MAX_REMEMBERED_PARTITIONS as u32 + 10 {
        assert!(fence.check(partition(number + 1), 100 + u64::from(number)));
    }
    assert!(!fence.check(partition(0), 8), "evicted, and still rejected");
    let restored = Fence::restore([(partition(0), 9)]);
    assert_eq!(restored.highest_token(partition(0)), 9);
}

/// Guards against a client that takes the response to an earlier request as the confirmation of its `Leave`.
#[test]
fn a_leaving_client_waits_for_the_response_to_its_leave() {
    use cypresscleat_leases::client::LeaseClient;
    use cypresscleat_leases::messages::{Grant, Request, Response};
    use cypresscleat_leases::Claim;
    let claims = vec![Claim { task: 1, partitions: 1, rank: 0 }];
    let mut client = LeaseClient::new(0, 5, 1, claims, vec![1, 2, 3]);
    let first = client.tick(0);
    let [(replica, Request::Renew { number, .. })] = &first[..] else { panic!("{first:?}") };
    let (replica, number, no_grant) = (*replica, *number, (0, Partition { task: 0, index: 0 }));
    let grants = vec![Grant { partition: PARTITION, token: 9, cursor: vec![], release_requested: false }];
    let renewal =
        Response::Renewed { session: 8, number, lease: 2 * SECOND, after: no_grant, grants, more: false };
    client.handle(10, replica, renewal);
    // A cursor and a renewal are in flight when the client leaves.
    assert!(client.save_cursor(PARTITION, vec![1]).is_some());
    let sent = client.send_operations(20);
    let [(_, Request::Apply { number: apply_number, .. })] = &sent[..] else { panic!("{sent:?}") };
    let renewed = client.tick(SECOND / 2);
    assert!(renewed.iter().any(|(_, request)| matches!(request, Request::Renew { .. })), "{renewed:?}");
    let leave_requests = client.leave(SECOND / 2 + 10);
    assert!(
        matches!(&leave_requests[..], [(to, Request::Leave { session: 8, .. })] if *to == replica),
        "{leave_requests:?}"
    );
    client.handle(SECOND / 2 + 20, replica, Response::Done { number: *apply_number, applied: 1 });
    assert!(!client.has_left(), "the response to the cursor does not confirm the leave");
    let [(_, Request::Leave { number, .. })] = &leave_requests[..] else { panic!("{leave_requests:?}") };
    client.handle(SECOND / 2 + 30, replica, Response::Done { number: *number, applied: 0 });
    assert!(client.has_left());
}

/// Control replicas change while the cluster runs: an instance that was started with the old list is redirected to a replica that it does
/// not know.
#[test]
fn a_leader_that_was_added_later_is_used_once_it_is_known() {
    use cypresscleat_leases::client::LeaseClient;
    use cypresscleat_leases::messages::Response;
    use cypresscleat_leases::Claim;
    let mut client = LeaseClient::new(0, 5, 1, vec![Claim { task: 7, partitions: 1, rank: 0 }], vec![1]);
    assert_eq!(client.tick(0).first().map(|(to, _)| *to), Some(1));
    assert!(client.handle(1, 1, Response::NotLeader { leader: 4 }).is_empty(), "an unknown replica");
    client.add_replica(4);
    let requests = client.handle(2, 1, Response::NotLeader { leader: 4 });
    assert_eq!(requests.first().map(|(to, _)| *to), Some(4));
}
