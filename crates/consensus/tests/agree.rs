//! Keepers in a simulated network with simulated disks: what was answered is never lost, nowhere is anything else decided, and a
//! majority that lives goes on. Guards taken out are found out.

use cypresscleat_consensus::keeper::Broken;
use cypresscleat_consensus::sim::{Chain, Weather, World};
use cypresscleat_consensus::{Answer, Options, SeededRng, MS, SECOND};
use std::collections::BTreeMap;

fn options() -> Options {
    // Bases are taken often, so that images are sent too.
    Options { log: 12, ..Options::default() }
}

#[derive(Default)]
struct Judge {
    /// What was decided, as every keeper that was there says.
    links: BTreeMap<u64, u64>,
    answered: BTreeMap<u64, u64>,
    proposed: u64,
}

impl Judge {
    /// Looks at all keepers and at the answers since the last look.
    fn look(&mut self, world: &mut World<Chain>) {
        for (_, answer) in std::mem::take(&mut world.answers) {
            if let Answer::Done { number, index, said } = answer {
                let link = u64::from_le_bytes(said.try_into().expect("a link"));
                self.holds(world, index, link);
                self.answered.insert(number, index);
            }
        }
        let all: Vec<(u64, u64)> = world
            .seats
            .iter()
            .filter_map(|seat| seat.keeper.as_ref().map(|keeper| (keeper.commit(), keeper.machine().link)))
            .collect();
        for (index, link) in all {
            self.holds(world, index, link);
        }
    }
    fn holds(&mut self, world: &mut World<Chain>, index: u64, link: u64) {
        let known = *self.links.entry(index).or_insert(link);
        // Entries without a command leave the link as it was, so the same index means the same link everywhere.
        if known != link {
            world.wrong.get_or_insert(format!("two things decided at {index}"));
        }
    }
}

/// What may happen to a seat, one in so many steps of a tenth of a second.
#[derive(Clone, Copy)]
struct Troubles {
    kills: u64,
    cuts: u64,
    lost_disks: u64,
    older_disks: u64,
}

/// Plays a seed; what was wrong.
fn play(seed: u64, many: usize, options: Options, troubles: Troubles, seconds: i64) -> Result<(), String> {
    let mut world = World::new(many, Chain::default(), options, seed);
    let mut rng = SeededRng::new(seed ^ 0x5eed);
    let mut judge = Judge::default();
    world.weather = Weather {
        delay: [MS / 2, 2 * MS, 8 * MS][rng.below(3) as usize],
        lost: [0, 30, 8][rng.below(3) as usize],
        doubled: [0, 10][rng.below(2) as usize],
        slow: [0, 200 * MS][rng.below(2) as usize],
    };
    world.run(2 * SECOND);
    let mut older = None;
    let end = world.now + seconds * SECOND;
    let mut faults_until = end - 4 * SECOND;
    while world.now < end {
        let now = world.now;
        if now < faults_until {
            trouble(&mut world, &mut rng, troubles, &mut older);
        } else if faults_until > 0 {
            faults_until = 0;
            world.cut.clear();
            world.weather = Weather::default();
            for at in 0..many {
                if world.seats[at].keeper.is_none() {
                    world.start(at);
                }
            }
        }
        for _ in 0..rng.below(4) {
            judge.proposed += 1;
            let (number, at) = (judge.proposed, rng.below(many as u64) as usize);
            let at = world.leader().unwrap_or(at);
            world.propose(at, number, number.to_le_bytes().to_vec());
        }
        for part in 1..=10 {
            world.run(now + part * 10 * MS);
            judge.look(&mut world);
        }
        if let Some(wrong) = &world.wrong {
            return Err(wrong.clone());
        }
    }
    let Some(leader) = world.leader() else { return Err("nobody leads, though all are here".into()) };
    let machine = world.seats[leader].keeper.as_ref().expect("it leads").machine().clone();
    if let Some(lost) = judge.answered.keys().find(|number| !machine.numbers.contains(number)) {
        return Err(format!("answered and lost: {lost}"));
    }
    // No storm: a beat to and from each other, and what was proposed, with room for what is repeated.
    let bound = (world.now / SECOND) as u64 * 400 * (many * many) as u64;
    if world.letters > bound {
        return Err(format!("{} letters, more than {bound}", world.letters));
    }
    let last = judge.proposed;
    if !judge.answered.contains_key(&last) && !judge.answered.keys().any(|number| *number + 12 > last) {
        return Err("nothing was decided at the end".into());
    }
    Ok(())
}

fn trouble(
    world: &mut World<Chain>,
    rng: &mut SeededRng,
    troubles: Troubles,
    older: &mut Option<(usize, cypresscleat_consensus::sim::Shelf)>,
) {
    let many = world.seats.len();
    let at = rng.below(many as u64) as usize;
    let due = |rng: &mut SeededRng, one_in: u64| one_in > 0 && rng.one_in(one_in);
    if due(rng, troubles.kills) {
        world.kill(at);
    }
    let down: Vec<usize> = (0..many).filter(|at| world.seats[*at].keeper.is_none()).collect();
    if let Some(at) = down.first().filter(|_| rng.one_in(4)) {
        world.start(*at);
    }
    if due(rng, troubles.cuts) {
        world.cut.clear();
        let side = rng.next_u64();
        for (from, to) in (1..=many as u64).flat_map(|from| (1..=many as u64).map(move |to| (from, to))) {
            let one_way = rng.one_in(3);
            if (side >> from) & 1 != (side >> to) & 1 || one_way && rng.one_in(4) {
                world.cut.insert((from, to));
            }
        }
    } else if rng.one_in(8) {
        world.cut.clear();
    }
    // One disk at a time: the others all here, counted in, and in touch.
    let healthy = |world: &World<Chain>| {
        let commit = world.seats.iter().filter_map(|seat| seat.keeper.as_ref().map(|keeper| keeper.commit()));
        let (least, most, here) = (commit.clone().min(), commit.clone().max(), commit.count());
        let leader = world.leader().and_then(|at| world.seats[at].keeper.as_ref());
        let full = leader.is_some_and(|keeper| {
            keeper.members().len() == many
                && world
                    .seats
                    .iter()
                    .all(|seat| keeper.members().iter().any(|one| one.disk == seat.shelf.disk))
        });
        here == many && full && world.cut.is_empty() && least.zip(most).is_some_and(|(a, b)| a + 3 > b)
    };
    if due(rng, troubles.lost_disks) && healthy(world) {
        world.lose_disk(at);
    }
    if due(rng, troubles.older_disks) && healthy(world) {
        match older.take() {
            Some((at, shelf)) if shelf.disk == world.seats[at].shelf.disk => world.put_back(at, shelf),
            _ => *older = Some((at, world.shelf(at))),
        }
    }
}

const ALL: Troubles = Troubles { kills: 6, cuts: 6, lost_disks: 20, older_disks: 0 };

fn seeds() -> u64 {
    std::env::var("QUORUM_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(300)
}

fn sweep(first: u64, many: usize, troubles: Troubles) {
    for seed in first..first + seeds() {
        if let Err(wrong) = play(seed, many, options(), troubles, 14) {
            panic!("seed {seed}, {many} keepers: {wrong}");
        }
    }
}

#[test]
fn three_keepers_through_kills_cuts_and_lost_disks() {
    sweep(0, 3, ALL);
}

#[test]
fn five_keepers_through_kills_cuts_and_lost_disks() {
    sweep(1_000_000, 5, ALL);
}

#[test]
fn an_older_disk_is_found_out() {
    // Whoever knows better is in touch: the copy is put back while all others are here.
    sweep(2_000_000, 3, Troubles { kills: 0, cuts: 0, lost_disks: 0, older_disks: 6 });
}

fn found(broken: Broken, troubles: Troubles, many: usize, seeds: u64) -> bool {
    let options = Options { broken, ..options() };
    (0..seeds).any(|seed| play(seed, many, options, troubles, 14).is_err())
}

#[test]
fn saying_before_the_disk_is_found_out() {
    let broken = Broken { says_before_disk: true, ..Broken::default() };
    assert!(found(broken, Troubles { kills: 3, cuts: 8, lost_disks: 0, older_disks: 0 }, 3, 200));
}

#[test]
fn three_that_never_met_begin_only_once_all_are_here() {
    let mut world = World::new(3, Chain::default(), options(), 7);
    world.kill(2);
    world.run(5 * SECOND);
    assert_eq!(world.leader(), None, "two empty disks of three begin nothing");
    world.start(2);
    world.run(7 * SECOND);
    assert!(world.leader().is_some());
}

#[test]
fn a_majority_of_lost_disks_decides_nothing() {
    let mut world = World::new(3, Chain::default(), options(), 8);
    world.run(2 * SECOND);
    let leader = world.leader().expect("one leads");
    assert!(world.propose(leader, 1, 1u64.to_le_bytes().to_vec()));
    world.run(3 * SECOND);
    for at in 0..3 {
        if at != leader {
            world.lose_disk(at);
            world.start(at);
        }
    }
    world.run(20 * SECOND);
    assert_eq!(world.leader(), None, "one that remembers and two that don't are no majority");
}

#[test]
fn a_lost_disk_is_replaced_by_itself() {
    let mut world = World::new(3, Chain::default(), options(), 9);
    world.run(2 * SECOND);
    for number in 0..40u64 {
        let leader = world.leader().expect("one leads");
        world.propose(leader, number, number.to_le_bytes().to_vec());
        world.run(world.now + 10 * MS);
    }
    let leader = world.leader().expect("one leads");
    let lost = (leader + 1) % 3;
    let old = world.seats[lost].shelf.disk;
    world.lose_disk(lost);
    world.start(lost);
    world.run(world.now + 3 * SECOND);
    let leader = world.leader().expect("one leads");
    let members = world.seats[leader].keeper.as_ref().expect("it leads").members().to_vec();
    assert_eq!(members.len(), 3);
    assert!(members.iter().all(|member| member.disk != old));
    let new = world.seats[lost].keeper.as_ref().expect("it runs");
    assert_eq!(new.machine().numbers.len(), 40, "it has all that was decided");
    // And it counts: one of the others may go.
    world.kill((lost + 1) % 3);
    world.run(world.now + 3 * SECOND);
    assert!(world.leader().is_some());
}

/// One leads and another one holds what it decides; the third is cut off. Then the second loses its disk, and the first dies.
fn a_vote_from_an_empty_disk(broken: Broken) -> Option<bool> {
    let mut world = World::new(3, Chain::default(), Options { broken, ..options() }, 11);
    world.run(2 * SECOND);
    let leader = world.leader()?;
    let (second, third) = ((leader + 1) % 3, (leader + 2) % 3);
    for (a, b) in [(leader, third), (second, third)] {
        let (a, b) = (world.seats[a].id, world.seats[b].id);
        world.cut.extend([(a, b), (b, a)]);
    }
    world.run(3 * SECOND);
    assert!(world.propose(leader, 77, 77u64.to_le_bytes().to_vec()));
    world.run(4 * SECOND);
    assert!(world.answers.iter().any(|(_, answer)| matches!(answer, Answer::Done { number: 77, .. })));
    world.kill(leader);
    world.lose_disk(second);
    world.start(second);
    world.cut.clear();
    world.run(30 * SECOND);
    let leads = world.leader()?;
    Some(world.seats[leads].keeper.as_ref()?.machine().numbers.contains(&77))
}

#[test]
fn an_empty_disk_has_no_vote_and_without_that_guard_an_answer_is_lost() {
    assert_eq!(
        a_vote_from_an_empty_disk(Broken::default()),
        None,
        "one of three remembers: nothing is decided"
    );
    let broken = Broken { empty_votes: true, ..Broken::default() };
    assert_eq!(a_vote_from_an_empty_disk(broken), Some(false), "what was answered is lost");
}

#[test]
fn a_letter_is_read_whole_or_not_at_all() {
    use cypresscleat_consensus::letter::{self, Body, Letter, Mark, Wrong};
    let from = cypresscleat_consensus::Member { id: 1, disk: 2 };
    let body = Body::Ask { pre: false, last: Mark { term: 3, index: 9 } };
    let good = Letter { from, to_disk: 4, term: 3, body };
    let bytes = letter::write(&good).expect("it is short");
    assert_eq!(letter::read::<Letter>(&bytes), Ok(good));
    for at in 0..bytes.len() {
        assert!(letter::read::<Letter>(&bytes[..at]).is_err(), "cut at {at}");
        for bit in 0..8 {
            let mut garbled = bytes.clone();
            garbled[at] ^= 1 << bit;
            assert!(letter::read::<Letter>(&garbled).is_err(), "bit {bit} of byte {at}");
        }
    }
    let mut later = bytes;
    later[1] += 1;
    assert_eq!(letter::read::<Letter>(&later), Err(Wrong::Unknown));
}
