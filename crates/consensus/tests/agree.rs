//! Keepers in a simulated network with simulated disks: what was answered is never lost, nowhere is anything else decided, and a
//! majority that lives goes on. Guards taken out are found out.

use cypresscleat_consensus::replica::DisabledSafeguards;
use cypresscleat_consensus::sim::{HashChain, NetworkConditions, Simulation};
use cypresscleat_consensus::{ProposalResponse, RaftConfig, SeededRng, MS, SECOND};
use std::collections::BTreeMap;

fn options() -> RaftConfig {
    // Bases are taken often, so that images are sent too.
    RaftConfig { snapshot_threshold: 12, ..RaftConfig::default() }
}

#[derive(Default)]
struct Judge {
    /// What was decided, as every replica that was there says.
    links: BTreeMap<u64, u64>,
    answered: BTreeMap<u64, u64>,
    proposed: u64,
}

impl Judge {
    /// Looks at all replicas and at the answers since the last look.
    fn look(&mut self, world: &mut Simulation<HashChain>) {
        for (_, answer) in std::mem::take(&mut world.responses) {
            if let ProposalResponse::Applied { proposal_id: number, index, result } = answer {
                let link = u64::from_le_bytes(result.try_into().expect("a link"));
                self.holds(world, index, link);
                self.answered.insert(number, index);
            }
        }
        let all: Vec<(u64, u64)> = world
            .nodes
            .iter()
            .filter_map(|seat| {
                seat.replica.as_ref().map(|replica| (replica.commit_index(), replica.state_machine().hash))
            })
            .collect();
        for (index, link) in all {
            self.holds(world, index, link);
        }
    }
    fn holds(&mut self, world: &mut Simulation<HashChain>, index: u64, link: u64) {
        let known = *self.links.entry(index).or_insert(link);
        // Entries without a command leave the link as it was, so the same index means the same link everywhere.
        if known != link {
            world.violation.get_or_insert(format!("two things decided at {index}"));
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
fn play(seed: u64, many: usize, options: RaftConfig, troubles: Troubles, seconds: i64) -> Result<(), String> {
    let mut world = Simulation::new(many, HashChain::default(), options, seed);
    let mut rng = SeededRng::new(seed ^ 0x5eed);
    let mut judge = Judge::default();
    world.network = NetworkConditions {
        delay: [MS / 2, 2 * MS, 8 * MS][rng.below(3) as usize],
        loss_one_in: [0, 30, 8][rng.below(3) as usize],
        duplicate_one_in: [0, 10][rng.below(2) as usize],
        max_extra_delay: [0, 200 * MS][rng.below(2) as usize],
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
            world.blocked_links.clear();
            world.network = NetworkConditions::default();
            for at in 0..many {
                if world.nodes[at].replica.is_none() {
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
        if let Some(wrong) = &world.violation {
            return Err(wrong.clone());
        }
    }
    let Some(leader) = world.leader() else { return Err("nobody leads, though all are here".into()) };
    let machine = world.nodes[leader].replica.as_ref().expect("it leads").state_machine().clone();
    if let Some(lost) = judge.answered.keys().find(|number| !machine.numbers.contains(number)) {
        return Err(format!("answered and lost: {lost}"));
    }
    // No storm: a beat to and from each other, and what was proposed, with room for what is repeated.
    let bound = (world.now / SECOND) as u64 * 400 * (many * many) as u64;
    if world.messages_sent > bound {
        return Err(format!("{} letters, more than {bound}", world.messages_sent));
    }
    let last = judge.proposed;
    if !judge.answered.contains_key(&last) && !judge.answered.keys().any(|number| *number + 12 > last) {
        return Err("nothing was decided at the end".into());
    }
    Ok(())
}

fn trouble(
    world: &mut Simulation<HashChain>,
    rng: &mut SeededRng,
    troubles: Troubles,
    older: &mut Option<(usize, cypresscleat_consensus::sim::SimulatedDisk)>,
) {
    let many = world.nodes.len();
    let at = rng.below(many as u64) as usize;
    let due = |rng: &mut SeededRng, one_in: u64| one_in > 0 && rng.one_in(one_in);
    if due(rng, troubles.kills) {
        world.crash(at);
    }
    let down: Vec<usize> = (0..many).filter(|at| world.nodes[*at].replica.is_none()).collect();
    if let Some(at) = down.first().filter(|_| rng.one_in(4)) {
        world.start(*at);
    }
    if due(rng, troubles.cuts) {
        world.blocked_links.clear();
        let side = rng.next_u64();
        for (from, to) in (1..=many as u64).flat_map(|from| (1..=many as u64).map(move |to| (from, to))) {
            let one_way = rng.one_in(3);
            if (side >> from) & 1 != (side >> to) & 1 || one_way && rng.one_in(4) {
                world.blocked_links.insert((from, to));
            }
        }
    } else if rng.one_in(8) {
        world.blocked_links.clear();
    }
    // One disk at a time: the others all here, counted in, and in touch.
    let healthy = |world: &Simulation<HashChain>| {
        let commit =
            world.nodes.iter().filter_map(|seat| seat.replica.as_ref().map(|replica| replica.commit_index()));
        let (least, most, here) = (commit.clone().min(), commit.clone().max(), commit.count());
        let leader = world.leader().and_then(|at| world.nodes[at].replica.as_ref());
        let full = leader.is_some_and(|replica| {
            replica.members().len() == many
                && world.nodes.iter().all(|seat| replica.members().iter().any(|one| one.disk == seat.disk.id))
        });
        here == many
            && full
            && world.blocked_links.is_empty()
            && least.zip(most).is_some_and(|(a, b)| a + 3 > b)
    };
    if due(rng, troubles.lost_disks) && healthy(world) {
        world.lose_disk(at);
    }
    if due(rng, troubles.older_disks) && healthy(world) {
        match older.take() {
            Some((at, shelf)) if shelf.id == world.nodes[at].disk.id => world.restore_disk(at, shelf),
            _ => *older = Some((at, world.disk(at))),
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
            panic!("seed {seed}, {many} replicas: {wrong}");
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

fn found(broken: DisabledSafeguards, troubles: Troubles, many: usize, seeds: u64) -> bool {
    let options = RaftConfig { disabled_safeguards: broken, ..options() };
    (0..seeds).any(|seed| play(seed, many, options, troubles, 14).is_err())
}

#[test]
fn saying_before_the_disk_is_found_out() {
    let broken = DisabledSafeguards { persist_before_send: true, ..DisabledSafeguards::default() };
    assert!(found(broken, Troubles { kills: 3, cuts: 8, lost_disks: 0, older_disks: 0 }, 3, 200));
}

#[test]
fn three_that_never_met_begin_only_once_all_are_here() {
    let mut world = Simulation::new(3, HashChain::default(), options(), 7);
    world.crash(2);
    world.run(5 * SECOND);
    assert_eq!(world.leader(), None, "two empty disks of three begin nothing");
    world.start(2);
    world.run(7 * SECOND);
    assert!(world.leader().is_some());
}

#[test]
fn a_majority_of_lost_disks_decides_nothing() {
    let mut world = Simulation::new(3, HashChain::default(), options(), 8);
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
    let mut world = Simulation::new(3, HashChain::default(), options(), 9);
    world.run(2 * SECOND);
    for number in 0..40u64 {
        let leader = world.leader().expect("one leads");
        world.propose(leader, number, number.to_le_bytes().to_vec());
        world.run(world.now + 10 * MS);
    }
    let leader = world.leader().expect("one leads");
    let lost = (leader + 1) % 3;
    let old = world.nodes[lost].disk.id;
    world.lose_disk(lost);
    world.start(lost);
    world.run(world.now + 3 * SECOND);
    let leader = world.leader().expect("one leads");
    let members = world.nodes[leader].replica.as_ref().expect("it leads").members().to_vec();
    assert_eq!(members.len(), 3);
    assert!(members.iter().all(|member| member.disk != old));
    let new = world.nodes[lost].replica.as_ref().expect("it runs");
    assert_eq!(new.state_machine().numbers.len(), 40, "it has all that was decided");
    // And it counts: one of the others may go.
    world.crash((lost + 1) % 3);
    world.run(world.now + 3 * SECOND);
    assert!(world.leader().is_some());
}

/// One leads and another one holds what it decides; the third is cut off. Then the second loses its disk, and the first dies.
fn a_vote_from_an_empty_disk(broken: DisabledSafeguards) -> Option<bool> {
    let mut world =
        Simulation::new(3, HashChain::default(), RaftConfig { disabled_safeguards: broken, ..options() }, 11);
    world.run(2 * SECOND);
    let leader = world.leader()?;
    let (second, third) = ((leader + 1) % 3, (leader + 2) % 3);
    for (a, b) in [(leader, third), (second, third)] {
        let (a, b) = (world.nodes[a].id, world.nodes[b].id);
        world.blocked_links.extend([(a, b), (b, a)]);
    }
    world.run(3 * SECOND);
    assert!(world.propose(leader, 77, 77u64.to_le_bytes().to_vec()));
    world.run(4 * SECOND);
    assert!(world
        .responses
        .iter()
        .any(|(_, answer)| matches!(answer, ProposalResponse::Applied { proposal_id: 77, .. })));
    world.crash(leader);
    world.lose_disk(second);
    world.start(second);
    world.blocked_links.clear();
    world.run(30 * SECOND);
    let leads = world.leader()?;
    Some(world.nodes[leads].replica.as_ref()?.state_machine().numbers.contains(&77))
}

#[test]
fn an_empty_disk_has_no_vote_and_without_that_guard_an_answer_is_lost() {
    assert_eq!(
        a_vote_from_an_empty_disk(DisabledSafeguards::default()),
        None,
        "one of three remembers: nothing is decided"
    );
    let broken = DisabledSafeguards { empty_disk_has_no_vote: true, ..DisabledSafeguards::default() };
    assert_eq!(a_vote_from_an_empty_disk(broken), Some(false), "what was answered is lost");
}

#[test]
fn a_letter_is_read_whole_or_not_at_all() {
    use cypresscleat_consensus::message::{self, DecodeError, LogPosition, Message, MessageBody};
    let from = cypresscleat_consensus::Member { id: 1, disk: 2 };
    let body = MessageBody::RequestVote { pre_vote: false, last: LogPosition { term: 3, index: 9 } };
    let good = Message { from, to_disk: 4, term: 3, body };
    let bytes = message::encode(&good).expect("it is short");
    assert_eq!(message::decode::<Message>(&bytes), Ok(good));
    for at in 0..bytes.len() {
        assert!(message::decode::<Message>(&bytes[..at]).is_err(), "cut at {at}");
        for bit in 0..8 {
            let mut garbled = bytes.clone();
            garbled[at] ^= 1 << bit;
            assert!(message::decode::<Message>(&garbled).is_err(), "bit {bit} of byte {at}");
        }
    }
    let mut later = bytes;
    later[1] += 1;
    assert_eq!(message::decode::<Message>(&later), Err(DecodeError::UnknownFormat));
}
