//! One owner at a time, played in a simulated net: stops, deaths, drains, cuts, clocks that run apart. The journal of what was
//! acted upon judges. Guards taken out are found out.

use cypresscleat_consensus::sim::NetworkConditions;
use cypresscleat_consensus::SeededRng;
use cypresscleat_leases::fence::Fence;
use cypresscleat_leases::sim::{Broken, Play, Setup};
use cypresscleat_leases::{Part, MS, SECOND};

/// Clocks that are each so many parts in a thousand off run apart by no more than one part in `DRIFT`.
const BOUND: i64 = 12;
const PART: Part = Part { duty: 1, part: 0 };

fn seeds() -> u64 {
    std::env::var("OWNERS_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(60)
}

/// Faults by chance for so many seconds, then peace: what was wrong, and how many items were done.
fn play(seed: u64, setup: Setup, drift: i64, seconds: i64) -> Result<usize, String> {
    let mut play = Play::new(setup, seed);
    let mut rng = SeededRng::new(seed ^ 0xfa17);
    for at in 0..setup.instances {
        play.instances[at].rate = rng.below(2 * drift as u64 + 1) as i64 - drift;
        play.instances[at].ahead = [0, 3600 * SECOND][rng.below(2) as usize];
    }
    play.world.network = NetworkConditions {
        delay: [MS / 2, 3 * MS][rng.below(2) as usize],
        loss_one_in: [0, 20, 6][rng.below(3) as usize],
        duplicate_one_in: [0, 8][rng.below(2) as usize],
        max_extra_delay: [0, 500 * MS, 3 * SECOND][rng.below(3) as usize],
    };
    let end = seconds * SECOND;
    while play.world.now < end {
        let at = rng.below(setup.instances as u64) as usize;
        let keeper = rng.below(setup.keepers as u64) as usize;
        match rng.below(14) {
            0 => play.kill(at),
            1 => play.stop(at, [SECOND, 3 * SECOND, 9 * SECOND][rng.below(3) as usize]),
            2 => play.drain(at),
            3 => drop(play.cut_keepers.insert(at)),
            4 => drop(play.cut_thing.insert(at)),
            5 => play.world.crash(keeper),
            6 => {
                let ids: Vec<u64> = (1..=setup.keepers as u64).collect();
                let one = keeper as u64 + 1;
                ids.iter().filter(|id| **id != one).for_each(|id| {
                    play.world.blocked_links.insert((one, *id));
                    if rng.one_in(2) {
                        play.world.blocked_links.insert((*id, one));
                    }
                });
            }
            7 => play.cut_keepers.clear(),
            8 => play.cut_thing.clear(),
            9 => play.world.blocked_links.clear(),
            _ => {}
        }
        for at in 0..setup.instances {
            if play.instances[at].holder.as_ref().is_none_or(|holder| holder.left()) && rng.one_in(3) {
                play.kill(at);
                play.start(at);
            }
        }
        for at in 0..setup.keepers {
            if play.world.nodes[at].replica.is_none() && rng.one_in(3) {
                play.world.start(at);
            }
        }
        let now = play.world.now;
        play.run(now + 300 * MS);
        play.judge()?;
        if let Some(two) = play.two.filter(|_| drift <= BOUND && !setup.broken.holds_on) {
            return Err(format!("two might act at once: {two:?}"));
        }
    }
    // Peace: it goes on.
    play.cut_keepers.clear();
    play.cut_thing.clear();
    play.world.blocked_links.clear();
    play.world.network = NetworkConditions::default();
    (0..setup.keepers)
        .filter(|at| play.world.nodes[*at].replica.is_none())
        .collect::<Vec<_>>()
        .into_iter()
        .for_each(|at| play.world.start(at));
    for at in 0..setup.instances {
        play.instances[at].stopped = 0;
        if play.instances[at].holder.as_ref().is_none_or(|holder| holder.left()) {
            play.kill(at);
            play.start(at);
        }
    }
    let (before, now) = (play.items(), play.world.now);
    play.run(now + 4 * setup.lease + 4 * SECOND);
    play.judge()?;
    if play.items() <= before {
        return Err(format!("nothing was done in peace, after {before} items"));
    }
    Ok(play.items())
}

fn sweep(first: u64, setup: Setup, drift: i64) {
    for seed in first..first + seeds() {
        if let Err(wrong) = play(seed, setup, drift, 25) {
            panic!("seed {seed}: {wrong}");
        }
    }
}

#[test]
fn three_keepers_and_clocks_within_the_bound() {
    sweep(0, Setup::default(), BOUND);
}

#[test]
fn five_keepers_and_several_parts() {
    sweep(100_000, Setup { keepers: 5, instances: 6, parts: 5, ..Setup::default() }, BOUND);
}

#[test]
fn clocks_past_the_bound_do_no_harm_thanks_to_tokens() {
    sweep(200_000, Setup::default(), 400);
    let two = |seed: &u64| {
        let mut play = Play::new(Setup::default(), *seed);
        play.run(4 * SECOND);
        let owner = play.owner(PART).expect("an owner");
        play.instances[owner].rate = -500;
        play.cut_keepers.insert(owner);
        play.run(10 * SECOND);
        play.judge().expect("tokens hold");
        play.two.is_some()
    };
    assert!((0..5).all(|seed| two(&seed)), "a clock at half its speed has two that act at once");
}

fn found(broken: Broken, drift: i64) -> bool {
    (0..200).any(|seed| play(seed, Setup { broken, ..Setup::default() }, drift, 25).is_err())
}

#[test]
fn without_tokens_an_old_owner_does_harm() {
    assert!(
        found(Broken { no_token: true, holds_on: false }, 12),
        "one that was stopped in the middle of an act"
    );
    assert!(found(Broken { no_token: true, holds_on: true }, 0), "one that holds on after its lease");
}

#[test]
fn an_owner_that_holds_on_is_stopped_by_the_token_alone() {
    let setup = Setup { broken: Broken { no_token: false, holds_on: true }, ..Setup::default() };
    for seed in 0..40 {
        let done = play(seed, setup, 0, 15);
        assert!(
            !matches!(&done, Err(wrong) if wrong.contains("taken after") || wrong.contains("in place")),
            "{done:?}"
        );
    }
}

/// Time from `what` until another instance owns the part.
fn without_owner(seed: u64, what: impl Fn(&mut Play, usize)) -> i64 {
    let mut play = Play::new(Setup::default(), seed);
    play.run(4 * SECOND);
    let owner = play.owner(PART).expect("an owner");
    let began = play.world.now;
    what(&mut play, owner);
    while play.owner(PART).is_none_or(|now| now == owner) {
        let now = play.world.now;
        assert!(now < began + 20 * SECOND, "nobody took it over");
        play.run(now + 5 * MS);
    }
    play.world.now - began
}

#[test]
fn a_told_handover_takes_milliseconds_and_a_death_the_lease_and_a_tenth_of_a_second() {
    let lease = Setup::default().lease;
    for seed in 0..40 {
        assert!(without_owner(seed, Play::drain) <= 50 * MS, "seed {seed}");
        let death = without_owner(seed, Play::kill);
        assert!(death <= lease + 100 * MS, "seed {seed}: {death}");
        let stop = without_owner(seed, |play, at| play.stop(at, 30 * SECOND));
        assert!(stop <= lease + 100 * MS, "seed {seed}: {stop}");
    }
}

#[test]
fn links_that_flap_do_not_make_ownership_flap() {
    let mut play = Play::new(Setup::default(), 5);
    play.run(4 * SECOND);
    let before = play.changes.len();
    // Cut for 0.7 of each second, a minute long: shorter than the lease.
    for second in 0..60 {
        play.cut_keepers.extend(0..4);
        play.run((4 + second) * SECOND + 700 * MS);
        play.cut_keepers.clear();
        play.run((5 + second) * SECOND);
    }
    let changes = play.changes.len() - before;
    assert!(changes <= 60, "{changes} changes in a minute, at a lease of two seconds");
    play.judge().expect("no harm");
}

#[test]
fn a_majority_away_for_half_a_minute_brings_no_rush() {
    let mut play = Play::new(Setup { instances: 50, ..Setup::default() }, 6);
    play.run(4 * SECOND);
    for at in 0..2 {
        play.world.crash(at);
    }
    let before = play.asks;
    play.run(34 * SECOND);
    // Three soon, then two each lease; each may be told to ask elsewhere.
    let bound = 50 * (4 + 2 * 15) * 3;
    assert!(play.asks - before <= bound, "{} letters, more than {bound}", play.asks - before);
    for at in 0..2 {
        play.world.start(at);
    }
    play.run(40 * SECOND);
    assert!(play.owner(PART).is_some());
    play.judge().expect("no harm");
}

#[test]
fn renewals_write_nothing_however_many_parts_there_are() {
    let writes = |parts: u32| {
        let mut play = Play::new(Setup { parts, instances: 3, act: 0, ..Setup::default() }, 7);
        play.run(6 * SECOND);
        let before: Vec<u64> = play.world.nodes.iter().map(|seat| seat.disk.synced).collect();
        let owned: usize =
            play.instances.iter().filter_map(|one| one.holder.as_ref()).map(|one| one.owned().count()).sum();
        assert_eq!(owned, parts as usize, "all are owned, and their owners know it");
        play.run(26 * SECOND);
        play.world.nodes.iter().zip(before).map(|(seat, before)| seat.disk.synced - before).max()
    };
    assert_eq!(writes(1), Some(0));
    assert_eq!(writes(10_000), Some(0));
}

#[test]
fn the_fence_forgets_the_oldest_and_takes_nothing_older_for_it() {
    let mut fence = Fence::default();
    let part = |part| Part { duty: 9, part };
    assert!(fence.takes(part(0), 5) && fence.takes(part(0), 5) && fence.takes(part(0), 9));
    assert!(!fence.takes(part(0), 8) && !fence.takes(part(0), 0));
    for number in 0..cypresscleat_leases::fence::KEPT as u32 + 10 {
        assert!(fence.takes(part(number + 1), 100 + u64::from(number)));
    }
    assert!(!fence.takes(part(0), 8), "forgotten, and still too old");
    let kept = Fence::with([(part(0), 9)]);
    assert_eq!(kept.seen(part(0)), 9);
}

/// What was asked before it left is answered after: that is no word that it has left.
#[test]
fn one_that_leaves_waits_for_the_answer_to_that() {
    use cypresscleat_leases::holder::Holder;
    use cypresscleat_leases::said::{Answer, Ask, Grant};
    use cypresscleat_leases::Want;
    let wants = vec![Want { duty: 1, parts: 1, rank: 0 }];
    let mut holder = Holder::new(0, 5, 1, wants, vec![1, 2, 3]);
    let first = holder.tick(0);
    let [(keeper, Ask::Renew { number, .. })] = &first[..] else { panic!("{first:?}") };
    let (keeper, number, nothing) = (*keeper, *number, (0, Part { duty: 0, part: 0 }));
    let grants = vec![Grant { part: PART, token: 9, cursor: vec![], leave: false }];
    let held = Answer::Held { session: 8, number, lease: 2 * SECOND, after: nothing, grants, more: false };
    holder.hear(10, keeper, held);
    // A cursor and a renewal are on their way when it is told to leave.
    assert!(holder.cursor(PART, vec![1]).is_some());
    let sent = holder.sends(20);
    let [(_, Ask::Do { number: done, .. })] = &sent[..] else { panic!("{sent:?}") };
    let renewed = holder.tick(SECOND / 2);
    assert!(renewed.iter().any(|(_, ask)| matches!(ask, Ask::Renew { .. })), "{renewed:?}");
    let leaves = holder.leaves(SECOND / 2 + 10);
    assert!(matches!(&leaves[..], [(to, Ask::Leave { session: 8, .. })] if *to == keeper), "{leaves:?}");
    holder.hear(SECOND / 2 + 20, keeper, Answer::Done { number: *done, did: 1 });
    assert!(!holder.left(), "the answer to its cursor says nothing about its leave");
    let [(_, Ask::Leave { number, .. })] = &leaves[..] else { panic!("{leaves:?}") };
    holder.hear(SECOND / 2 + 30, keeper, Answer::Done { number: *number, did: 0 });
    assert!(holder.left());
}

/// Keepers change in service: an instance that was started with the old list is sent to one that it does not know.
#[test]
fn a_leader_that_came_later_is_asked_once_it_is_known() {
    use cypresscleat_leases::holder::Holder;
    use cypresscleat_leases::said::Answer;
    use cypresscleat_leases::Want;
    let mut holder = Holder::new(0, 5, 1, vec![Want { duty: 7, parts: 1, rank: 0 }], vec![1]);
    assert_eq!(holder.tick(0).first().map(|(to, _)| *to), Some(1));
    assert!(holder.hear(1, 1, Answer::Elsewhere { leader: 4 }).is_empty(), "nobody it knows");
    holder.knows(4);
    let asks = holder.hear(2, 1, Answer::Elsewhere { leader: 4 });
    assert_eq!(asks.first().map(|(to, _)| *to), Some(4));
}
