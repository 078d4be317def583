//! Membership under message loss and partitions. Failure messages name the seed.

use cypresscleat_forwarding::membership::{Membership, MembershipConfig};
use cypresscleat_forwarding::messages::{Envelope, GossipUpdate, MemberState, Message, Role};
use cypresscleat_forwarding::simulation::{NetworkConditions, Simulation};
use cypresscleat_forwarding::SECOND;
use std::net::SocketAddr;

fn conditions(loss: f64) -> NetworkConditions {
    NetworkConditions { loss, delay: (2, 20), partition: None }
}

/// Number of members that hold the member to be present, suspected or not: under loss there is always some suspicion.
fn count_present(simulation: &Simulation, index: usize) -> usize {
    simulation.count_agreeing(index, MemberState::Alive)
        + simulation.count_agreeing(index, MemberState::Suspect)
}

#[test]
fn all_members_detect_joins_and_a_death_in_time() {
    for (seed, loss) in [(1, 0.0), (2, 0.01), (3, 0.1)] {
        let mut simulation = Simulation::new(60, MembershipConfig::default(), conditions(loss), seed);
        simulation.run(12 * SECOND);
        for index in 0..60 {
            assert_eq!(count_present(&simulation, index), 59, "seed {seed}: of {index}");
        }
        simulation.kill(30);
        let stopped_at = simulation.now;
        simulation.run(stopped_at + 25 * SECOND);
        assert_eq!(simulation.count_agreeing(30, MemberState::Dead), 59, "seed {seed}");
        // The member restarts under its old address without state: it refutes its death when it receives that update.
        simulation.start(30, simulation.now, 1);
        simulation.run(simulation.now + 20 * SECOND);
        assert_eq!(count_present(&simulation, 30), 59, "seed {seed}");
    }
}

#[test]
fn draining_and_leaving_are_announced_not_detected() {
    let mut simulation = Simulation::new(40, MembershipConfig::default(), conditions(0.05), 5);
    simulation.run(10 * SECOND);
    simulation.members[7].as_mut().expect("member 7 is running").announce_draining();
    simulation.run(simulation.now + 5 * SECOND);
    assert_eq!(simulation.count_agreeing(7, MemberState::Draining), 39);
    let out = simulation.members[7].as_mut().expect("member 7 is running").announce_leaving();
    simulation.send(7, out);
    simulation.kill(7);
    simulation.run(simulation.now + 5 * SECOND);
    assert_eq!(
        simulation.count_agreeing(7, MemberState::Left),
        39,
        "the announcement arrives long before failure detection"
    );
}

#[test]
fn partitions_heal_and_one_way_loss_kills_nobody() {
    for one_way in [false, true] {
        let mut simulation = Simulation::new(30, MembershipConfig::default(), conditions(0.01), 9);
        simulation.run(10 * SECOND);
        simulation.members.iter_mut().flatten().for_each(|member| drop(member.take_changes()));
        // Five members are partitioned for 4 s: longer than one probe, shorter than a suspicion.
        let now = simulation.now;
        simulation.set_conditions(NetworkConditions {
            partition: Some((5, now, now + 4 * SECOND, one_way)),
            ..conditions(0.01)
        });
        simulation.run(now + 20 * SECOND);
        for index in 0..30 {
            assert_eq!(count_present(&simulation, index), 29, "one way {one_way}: of {index}");
        }
        // After a long partition each side holds the other to be dead; the sides then merge again.
        let now = simulation.now;
        simulation.set_conditions(NetworkConditions {
            partition: Some((5, now, now + 30 * SECOND, false)),
            ..conditions(0.01)
        });
        simulation.run(now + 30 * SECOND);
        assert!(
            simulation.count_agreeing(0, MemberState::Dead) >= 20,
            "{}",
            simulation.count_agreeing(0, MemberState::Dead)
        );
        simulation.run(simulation.now + 60 * SECOND);
        for index in 0..30 {
            assert_eq!(
                count_present(&simulation, index),
                29,
                "one way {one_way}: of {index} after the partition"
            );
        }
    }
}

/// Guards against a deadline that stays in the past while a pinged member is silent: the task then used a whole core.
#[test]
fn next_deadline_is_ahead_while_a_member_is_silent() {
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let config = MembershipConfig::default();
    let mut member = Membership::new(1, Role::Planner, address(1), vec![address(2)], config, 5);
    let update = GossipUpdate {
        id: 2,
        role: Role::Planner,
        address: address(2),
        incarnation: 1,
        state: MemberState::Alive,
    };
    let member_list = Message::MemberList { members: vec![update] };
    member.handle(
        0,
        address(2),
        &Envelope { from: 2, incarnation: 1, updates: vec![], message: member_list },
    );
    let (mut now, mut ticks) = (0, 0);
    while now < 20 * SECOND {
        member.tick(now);
        ticks += 1;
        assert!(member.next_deadline() > now, "at {now} it is due at {}", member.next_deadline());
        now = member.next_deadline();
    }
    assert!(ticks < 200, "{ticks} ticks in 20 s");
}

/// A member answers hashes with the partitions that differ, or with nothing if none differs. The whole list is requested from time to
/// time, as a member of an earlier version does not compare hashes.
#[test]
fn sync_lists_only_partitions_that_differ() {
    let address = |number: u16| SocketAddr::from(([127, 0, 0, 1], number));
    let member = |id: u64, seed: u64| {
        Membership::new(
            id,
            Role::Worker,
            address(id as u16),
            vec![address(1)],
            MembershipConfig::default(),
            seed,
        )
    };
    // In its first period the second member sends hashes, and the third requests the whole list.
    let (mut first, mut second, mut third) = (member(1, 0), member(2, 9), member(3, 119));
    let member_list = Envelope {
        from: 1,
        incarnation: 1,
        updates: Vec::new(),
        message: Message::MemberList { members: Vec::new() },
    };
    for member in [&mut second, &mut third] {
        member.handle(0, address(1), &member_list);
        member.apply_update(
            0,
            GossipUpdate {
                id: 1,
                role: Role::Worker,
                address: address(1),
                incarnation: 1,
                state: MemberState::Alive,
            },
        );
    }
    let add_member = |to: &mut Membership, id: u64| {
        let state = MemberState::Alive;
        to.apply_update(
            0,
            GossipUpdate { id, role: Role::Worker, address: address(id as u16), incarnation: 1, state },
        );
    };
    for id in 10..400 {
        add_member(&mut first, id);
        add_member(&mut second, id);
    }
    add_member(&mut first, 2);
    add_member(&mut second, 1);
    let listed_members = |to: &mut Membership, request: &Envelope| {
        let sent = to.handle(0, address(9), request);
        sent.iter()
            .map(|send| match &send.envelope.message {
                Message::MemberList { members: updates } => updates.len(),
                _ => 0,
            })
            .sum::<usize>()
    };
    let request = second.tick(0).into_iter().map(|send| send.envelope);
    let request = request
        .into_iter()
        .find(|envelope| matches!(envelope.message, Message::Sync { .. }))
        .expect("a sync message");
    assert_eq!(listed_members(&mut first, &request), 0, "both know the same members");
    add_member(&mut first, 500);
    let listed = listed_members(&mut first, &request);
    assert!(listed > 0 && listed < 30, "one partition of the 392 members: {listed}");
    assert!(
        third.tick(0).iter().any(|send| send.envelope.message == Message::Join),
        "the whole list is requested"
    );
}
