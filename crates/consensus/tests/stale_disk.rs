//! A replica that learns that its disk has lost acknowledged state.

use cypresscleat_consensus::message::{LogPosition, Message, MessageBody};
use cypresscleat_consensus::sim::HashChain;
use cypresscleat_consensus::storage::PersistentState;
use cypresscleat_consensus::{Event, Member, NodeId, RaftConfig, Ready, Replica, ReplicaConfig, Time};
use std::collections::VecDeque;

/// One second, in tenths of a millisecond.
const SECOND: Time = 10_000;

fn replica(id: NodeId) -> (Replica<HashChain>, Ready) {
    let config = ReplicaConfig {
        id,
        configured_replicas: [1, 2, 3].into(),
        disk: 10 + id,
        raft: RaftConfig::default(),
        seed: id,
    };
    Replica::start(0, config, PersistentState::default(), HashChain::default())
        .expect("a valid configuration")
}

/// Runs three replicas on a network without loss until one is the leader.
fn elect_leader() -> (Vec<Replica<HashChain>>, usize, Time) {
    let mut replicas = Vec::new();
    let mut messages: VecDeque<(NodeId, Message)> = VecDeque::new();
    for id in 1..=3 {
        let (replica, ready) = replica(id);
        replicas.push(replica);
        messages.extend(ready.messages);
    }
    for step in 1..2_000 {
        let now = step * SECOND / 100;
        for replica in &mut replicas {
            messages.extend(replica.tick(now).messages);
        }
        while let Some((to, message)) = messages.pop_front() {
            messages.extend(replicas[to as usize - 1].step(now, &message).messages);
        }
        if let Some(leader) = replicas.iter().position(Replica::is_leader) {
            return (replicas, leader, now);
        }
    }
    panic!("no leader was elected");
}

/// Guards against a leader that continues to lead and to respond on a disk that has lost acknowledged state.
#[test]
fn a_leader_whose_disk_is_found_stale_steps_down() {
    let (mut replicas, leader, now) = elect_leader();
    let own = replicas[leader].member();
    let from = Member { id: own.id % 3 + 1, disk: 10 + own.id % 3 + 1 };
    let last = LogPosition { term: replicas[leader].term(), index: 1_000 };
    let body = MessageBody::DiskCheckResponse { last, voted_term: 0 };
    let message = Message { from, to_disk: own.disk, term: replicas[leader].term(), body };
    let ready = replicas[leader].step(now, &message);
    let replica = &mut replicas[leader];
    assert!(replica.is_disk_stale());
    assert!(!replica.is_leader() && replica.read_index().is_none(), "still the leader");
    assert!(replica.propose(now, 1, Vec::new()).is_none(), "accepted a command");
    assert!(
        ready.events.iter().any(|event| matches!(event, Event::SteppedDown { .. })),
        "{:?}",
        ready.events
    );
}
