//! A change among many members where letters are lost: what holds for five has to hold for thousands, where something is always lost.

use cypresscleat_rollout::member::{AdmissionPermit, RolloutMember};
use cypresscleat_rollout::messages::{Request, Response};
use cypresscleat_rollout::simulation::{Simulation, SimulationConfig};
use cypresscleat_rollout::{NodeId, Rules, Time, MS, SECOND};

/// A change, with so many of which one letter in ten is lost: how long until all are under it at one moment, at the longest 20 s, and
/// how many were out of service at once, at the most.
fn change(members: usize, seed: u64) -> (Simulation, Time, usize) {
    let rules = Rules { lease: 2 * SECOND, ..Rules::default() };
    let mut play = Simulation::new(SimulationConfig { members, rules, ..SimulationConfig::default() }, seed);
    play.run(3 * SECOND);
    assert!(play.is_settled(), "all serve under their own file");
    play.consensus.network.loss_one_in = 10;
    play.propose(0, rules, "first");
    let (began, mut out) = (play.consensus.now, 0);
    while play.consensus.now < began + 20 * SECOND {
        let until = play.consensus.now + 5 * MS;
        play.run(until);
        out = out.max((0..members).filter(|at| play.permit(*at) == AdmissionPermit::Deny).count());
        if (0..members).all(|at| play.permit(at) == AdmissionPermit::Admit(1)) {
            break;
        }
    }
    assert_eq!(play.violation.as_deref().or(play.consensus.violation.as_deref()), None);
    let took = play.consensus.now - began;
    (play, took, out)
}

/// Members lay back in the middle of a lease that ran out, so that of thousands some were always out of service, or being taken in anew.
#[test]
fn a_tenth_of_the_letters_lost_delays_a_change_among_a_thousand_by_seconds_and_ends_no_lease() {
    for seed in 1..=2 {
        let (play, took, out) = change(1_000, seed);
        let expired: u64 = play.coordinators.iter().map(|desk| desk.counts.expired).sum();
        assert!(took < 4 * SECOND, "seed {seed}: {} ms, {out} out at once", took / MS);
        assert_eq!((out, expired), (0, 0), "seed {seed}: out of service at once, and leases that ended");
    }
}

#[test]
fn the_same_seed_plays_the_same() {
    let figures = |seed| {
        let (play, took, out) = change(200, seed);
        (
            took,
            out,
            play.messages_sent,
            play.message_bytes,
            play.decided,
            play.first_active,
            play.mixed_until,
            play.traffic,
        )
    };
    assert_eq!(figures(3), figures(3));
    assert_ne!(figures(3), figures(4));
}

const KEY: (NodeId, u64) = (7, 1);

/// A member whose first asking was answered after `round`, and no other; when it asked whom, from then on, for so long.
fn unanswered(round: Time, time: Time) -> Vec<(Time, NodeId)> {
    let mut member = RolloutMember::new(0, "m", KEY, vec![1, 2, 3]);
    let asked = member.tick(0);
    let [(leader, Request::Heartbeat { number, .. })] = asked.as_slice() else { panic!("{asked:?}") };
    let (number, period) = (*number, SECOND / 2);
    let lease = Some(2 * SECOND);
    let held = Response::Renewed { key: KEY, number, lease, period, version: 0, check: 0, pause: 0 };
    assert_eq!(member.handle(round, *leader, held), Vec::new());
    let mut asks = Vec::new();
    let mut now = round;
    while member.next_deadline() < time {
        now = now.max(member.next_deadline());
        asks.extend(member.tick(now).into_iter().map(|(to, _)| (now, to)));
    }
    asks
}

#[test]
fn a_member_asks_on_while_its_lease_runs_out_and_lies_back_after_it() {
    let lease = 2 * SECOND;
    let asks = unanswered(2 * MS, 12 * SECOND);
    let within = asks.iter().filter(|(at, _)| *at < lease).count();
    assert!((9..=12).contains(&within), "{within} in its lease: {asks:?}");
    // The one that answered first, as mostly it was the letter that was lost; then each of the others.
    let whom: Vec<NodeId> = asks.iter().map(|(_, to)| *to).collect();
    assert_eq!(whom[0], whom[1]);
    assert!((1..=3).all(|keeper| whom[..6].contains(&keeper)), "{whom:?}");
    // Keepers that are gone, and come back, are not asked by all at once for long.
    let after = asks.len() - within;
    assert!((8..=10).contains(&after), "{after} in 10 s after it: {asks:?}");
}

#[test]
fn a_member_far_from_the_keepers_asks_no_sooner_than_an_answer_can_be_there() {
    let asks = unanswered(110 * MS, 2 * SECOND);
    for pair in asks.windows(2) {
        assert!(pair[1].0 - pair[0].0 >= 220 * MS, "{asks:?}");
    }
    assert!(asks.len() >= 5, "{asks:?}");
}
