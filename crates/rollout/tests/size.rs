//! Changes among many members with message loss. Among thousands of members some message is always lost, so losses must not end leases
//! or delay a change by much.

use cypresscleat_rollout::member::{AdmissionPermit, RolloutMember};
use cypresscleat_rollout::messages::{Request, Response};
use cypresscleat_rollout::simulation::{Simulation, SimulationConfig};
use cypresscleat_rollout::{NodeId, Rules, Time, MS, SECOND};

/// Runs a change among `members` with one message in ten lost. Returns the time until all members admit under it at the same time, at most
/// 20 s, and the maximum number of members that were out of service at the same time.
fn run_change(members: usize, seed: u64) -> (Simulation, Time, usize) {
    let rules = Rules { lease: 2 * SECOND, ..Rules::default() };
    let mut simulation =
        Simulation::new(SimulationConfig { members, rules, ..SimulationConfig::default() }, seed);
    simulation.run(3 * SECOND);
    assert!(simulation.is_settled(), "all members serve under their own file");
    simulation.consensus.network.loss_one_in = 10;
    simulation.propose(0, rules, "first");
    let (started_at, mut max_denied) = (simulation.consensus.now, 0);
    while simulation.consensus.now < started_at + 20 * SECOND {
        let until = simulation.consensus.now + 5 * MS;
        simulation.run(until);
        max_denied =
            max_denied.max((0..members).filter(|at| simulation.permit(*at) == AdmissionPermit::Deny).count());
        if (0..members).all(|at| simulation.permit(at) == AdmissionPermit::Admit(1)) {
            break;
        }
    }
    assert_eq!(simulation.violation.as_deref().or(simulation.consensus.violation.as_deref()), None);
    let duration = simulation.consensus.now - started_at;
    (simulation, duration, max_denied)
}

/// Guards against members that retry less often while their lease runs out: among thousands some were then always out of service, or
/// joining again.
#[test]
fn ten_percent_message_loss_delays_a_change_among_a_thousand_members_by_seconds_and_ends_no_lease() {
    for seed in 1..=2 {
        let (simulation, duration, max_denied) = run_change(1_000, seed);
        let expired: u64 = simulation.coordinators.iter().map(|coordinator| coordinator.counts.expired).sum();
        assert!(
            duration < 4 * SECOND,
            "seed {seed}: {} ms, {max_denied} out of service at once",
            duration / MS
        );
        assert_eq!(
            (max_denied, expired),
            (0, 0),
            "seed {seed}: members out of service at once, and expired leases"
        );
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let figures = |seed| {
        let (simulation, duration, max_denied) = run_change(200, seed);
        (
            duration,
            max_denied,
            simulation.messages_sent,
            simulation.message_bytes,
            simulation.decided,
            simulation.first_active,
            simulation.mixed_until,
            simulation.traffic,
        )
    };
    assert_eq!(figures(3), figures(3));
    assert_ne!(figures(3), figures(4));
}

const KEY: (NodeId, u64) = (7, 1);

/// Runs a member whose first heartbeat is answered after `round_trip`, and no later one. Returns the times and receivers of its requests
/// from then on until `time`.
fn unanswered_requests(round_trip: Time, time: Time) -> Vec<(Time, NodeId)> {
    let mut member = RolloutMember::new(0, "m", KEY, vec![1, 2, 3]);
    let first = member.tick(0);
    let [(leader, Request::Heartbeat { number, .. })] = first.as_slice() else { panic!("{first:?}") };
    let (number, period) = (*number, SECOND / 2);
    let lease = Some(2 * SECOND);
    let renewed = Response::Renewed { key: KEY, number, lease, period, version: 0, check: 0, pause: 0 };
    assert_eq!(member.handle(round_trip, *leader, renewed), Vec::new());
    let mut requests = Vec::new();
    let mut now = round_trip;
    while member.next_deadline() < time {
        now = now.max(member.next_deadline());
        requests.extend(member.tick(now).into_iter().map(|(to, _)| (now, to)));
    }
    requests
}

#[test]
fn a_member_retries_often_until_its_lease_ends_and_less_often_after_it() {
    let lease = 2 * SECOND;
    let requests = unanswered_requests(2 * MS, 12 * SECOND);
    let within = requests.iter().filter(|(at, _)| *at < lease).count();
    assert!((9..=12).contains(&within), "{within} during its lease: {requests:?}");
    // It retries the replica that answered first, as in most cases a message was lost, and then each of the others.
    let receivers: Vec<NodeId> = requests.iter().map(|(_, to)| *to).collect();
    assert_eq!(receivers[0], receivers[1]);
    assert!((1..=3).all(|replica| receivers[..6].contains(&replica)), "{receivers:?}");
    // Replicas that restart do not receive requests of all members at once for long.
    let after = requests.len() - within;
    assert!((8..=10).contains(&after), "{after} in 10 s after it: {requests:?}");
}

#[test]
fn a_member_far_from_the_replicas_waits_a_round_trip_before_it_retries() {
    let requests = unanswered_requests(110 * MS, 2 * SECOND);
    for pair in requests.windows(2) {
        assert!(pair[1].0 - pair[0].0 >= 220 * MS, "{requests:?}");
    }
    assert!(requests.len() >= 5, "{requests:?}");
}
