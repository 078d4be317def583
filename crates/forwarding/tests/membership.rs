//! Membership under loss and partitions. Seeds are printed with each failure.

use cypresscleat_forwarding::membership::{Membership, MembershipConfig};
use cypresscleat_forwarding::messages::{Envelope, GossipUpdate, MemberState, Message, Role};
use cypresscleat_forwarding::simulation::{NetworkConditions, Simulation};
use cypresscleat_forwarding::SECOND;
use std::net::SocketAddr;

fn net(loss: f64) -> NetworkConditions {
    NetworkConditions { loss, delay: (2, 20), partition: None }
}

/// How many hold it for one that is here, suspected or not: under loss there is always some suspicion on its way.
fn here(simulation: &Simulation, at: usize) -> usize {
    simulation.count_agreeing(at, MemberState::Alive) + simulation.count_agreeing(at, MemberState::Suspect)
}

#[test]
fn all_learn_of_all_and_of_a_death_in_time() {
    for (seed, loss) in [(1, 0.0), (2, 0.01), (3, 0.1)] {
        let mut simulation = Simulation::new(60, MembershipConfig::default(), net(loss), seed);
        simulation.run(12 * SECOND);
        for at in 0..60 {
            assert_eq!(here(&simulation, at), 59, "seed {seed}: of {at}");
        }
        simulation.kill(30);
        let died = simulation.now;
        simulation.run(died + 25 * SECOND);
        assert_eq!(simulation.count_agreeing(30, MemberState::Dead), 59, "seed {seed}");
        // It comes back under its old address, knowing nothing of before: once it hears that it is dead, it refutes that.
        simulation.start(30, simulation.now, 1);
        simulation.run(simulation.now + 20 * SECOND);
        assert_eq!(here(&simulation, 30), 59, "seed {seed}");
    }
}

#[test]
fn draining_and_leaving_are_announced_not_detected() {
    let mut simulation = Simulation::new(40, MembershipConfig::default(), net(0.05), 5);
    simulation.run(10 * SECOND);
    simulation.members[7].as_mut().expect("it is here").announce_draining();
    simulation.run(simulation.now + 5 * SECOND);
    assert_eq!(simulation.count_agreeing(7, MemberState::Draining), 39);
    let out = simulation.members[7].as_mut().expect("it is here").announce_leaving();
    simulation.send(7, out);
    simulation.kill(7);
    simulation.run(simulation.now + 5 * SECOND);
    assert_eq!(simulation.count_agreeing(7, MemberState::Left), 39, "long before a failure would be found");
}

#[test]
fn partitions_heal_and_one_way_loss_kills_nobody() {
    for one_way in [false, true] {
        let mut simulation = Simulation::new(30, MembershipConfig::default(), net(0.01), 9);
        simulation.run(10 * SECOND);
        simulation.members.iter_mut().flatten().for_each(|member| drop(member.take_changes()));
        // Five are cut off for 4 s: longer than one probe, shorter than a suspicion lasts.
        let now = simulation.now;
        simulation.set_conditions(NetworkConditions {
            partition: Some((5, now, now + 4 * SECOND, one_way)),
            ..net(0.01)
        });
        simulation.run(now + 20 * SECOND);
        for at in 0..30 {
            assert_eq!(here(&simulation, at), 29, "one way {one_way}: of {at}");
        }
        // For long: each side holds the other for dead, and both come back together.
        let now = simulation.now;
        simulation.set_conditions(NetworkConditions {
            partition: Some((5, now, now + 30 * SECOND, false)),
            ..net(0.01)
        });
        simulation.run(now + 30 * SECOND);
        assert!(
            simulation.count_agreeing(0, MemberState::Dead) >= 20,
            "{}",
            simulation.count_agreeing(0, MemberState::Dead)
        );
        simulation.run(simulation.now + 60 * SECOND);
        for at in 0..30 {
            assert_eq!(here(&simulation, at), 29, "one way {one_way}: of {at} after the cut");
        }
    }
}

/// A due time that stays in the past kept its task awake, at a whole core, for as long as the one that was asked was silent.
#[test]
fn next_deadline_is_ahead_while_a_member_is_silent() {
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let options = MembershipConfig::default();
    let mut own = Membership::new(1, Role::Planner, address(1), vec![address(2)], options, 5);
    let update = GossipUpdate {
        id: 2,
        role: Role::Planner,
        address: address(2),
        incarnation: 1,
        state: MemberState::Alive,
    };
    let known = Message::MemberList { members: vec![update] };
    own.handle(0, address(2), &Envelope { from: 2, incarnation: 1, updates: vec![], message: known });
    let (mut now, mut looks) = (0, 0);
    while now < 20 * SECOND {
        own.tick(now);
        looks += 1;
        assert!(own.next_deadline() > now, "at {now} it is due at {}", own.next_deadline());
        now = own.next_deadline();
    }
    assert!(looks < 200, "{looks} looks in 20 s");
}

/// What differs is sent, and nothing where nothing does; a member of a version that does not compare is asked for all, now and
/// then.
#[test]
fn sync_lists_only_partitions_that_differ() {
    let at = |number: u16| SocketAddr::from(([127, 0, 0, 1], number));
    let member = |own: u64, seed: u64| {
        Membership::new(own, Role::Worker, at(own as u16), vec![at(1)], MembershipConfig::default(), seed)
    };
    // Its first period is one in which it compares; that of the third one in which it asks for all.
    let (mut one, mut other, mut third) = (member(1, 0), member(2, 9), member(3, 119));
    let known = Envelope {
        from: 1,
        incarnation: 1,
        updates: Vec::new(),
        message: Message::MemberList { members: Vec::new() },
    };
    for member in [&mut other, &mut third] {
        member.handle(0, at(1), &known);
        member.apply_update(
            0,
            GossipUpdate {
                id: 1,
                role: Role::Worker,
                address: at(1),
                incarnation: 1,
                state: MemberState::Alive,
            },
        );
    }
    let learns = |to: &mut Membership, id: u64| {
        let state = MemberState::Alive;
        to.apply_update(
            0,
            GossipUpdate { id, role: Role::Worker, address: at(id as u16), incarnation: 1, state },
        );
    };
    for id in 10..400 {
        learns(&mut one, id);
        learns(&mut other, id);
    }
    learns(&mut one, 2);
    learns(&mut other, 1);
    let answers = |to: &mut Membership, asked: &Envelope| {
        let sent = to.handle(0, at(9), asked);
        sent.iter()
            .map(|send| match &send.envelope.message {
                Message::MemberList { members: updates } => updates.len(),
                _ => 0,
            })
            .sum::<usize>()
    };
    let asked = other.tick(0).into_iter().map(|send| send.envelope);
    let asked =
        asked.into_iter().find(|one| matches!(one.message, Message::Sync { .. })).expect("it compares");
    assert_eq!(answers(&mut one, &asked), 0, "they know the same");
    learns(&mut one, 500);
    let listed = answers(&mut one, &asked);
    assert!(listed > 0 && listed < 30, "of 392 those of one part: {listed}");
    assert!(
        third.tick(0).iter().any(|send| send.envelope.message == Message::Join),
        "all is asked for, now and then"
    );
}
