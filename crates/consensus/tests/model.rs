//! Model checking of the replicas' own code: from a leader and two followers, all orders of proposals, deliveries and losses of
//! messages, elections, a crash that loses unsynced writes, and a lost disk, within small bounds.

use cypresscleat_consensus::message::{self, Message};
use cypresscleat_consensus::replica::DisabledSafeguards;
use cypresscleat_consensus::sim::HashChain;
use cypresscleat_consensus::storage::{PersistentState, Snapshot, Write};
use cypresscleat_consensus::{
    Member, NodeId, ProposalResponse, RaftConfig, Ready, Replica, ReplicaConfig, SECOND,
};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    replicas: Vec<Replica<HashChain>>,
    /// The synced state of each disk; the unsynced writes may be lost in a crash.
    disks: Vec<BTreeMap<Vec<u8>, Vec<u8>>>,
    unsynced: Vec<Vec<Write>>,
    messages: BTreeSet<(NodeId, Vec<u8>)>,
    acknowledged: BTreeSet<u64>,
    proposals: u64,
    elections: u8,
    crash_count: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Propose(usize),
    Deliver(NodeId, Vec<u8>),
    Campaign(usize),
    /// The replica crashes and restarts with the synced state of its disk.
    Crash(usize),
    LoseDisk(usize),
}

struct SmallCluster {
    disabled: DisabledSafeguards,
    lost_disks: bool,
}

fn raft_config(disabled: DisabledSafeguards) -> RaftConfig {
    RaftConfig { disabled_safeguards: disabled, ..RaftConfig::default() }
}

fn member(at: usize, disk: u64) -> Member {
    Member { id: at as NodeId + 1, disk }
}

impl SmallCluster {
    fn replica(&self, at: usize, disk: u64, stored: PersistentState) -> (Replica<HashChain>, Ready) {
        let replica_ids = (1..=3).collect();
        let config = ReplicaConfig {
            id: at as NodeId + 1,
            configured_replicas: replica_ids,
            disk,
            raft: raft_config(self.disabled),
            seed: at as u64,
        };
        Replica::start(0, config, stored, HashChain::default()).expect("a valid configuration")
    }

    fn process_ready(&self, state: &mut State, at: usize, ready: Ready) {
        if self.disabled.persist_before_send {
            state.unsynced[at].extend(ready.writes);
        } else {
            sync(&mut state.disks[at], ready.writes);
        }
        for response in ready.responses {
            if let ProposalResponse::Applied { proposal_id: number, .. } = response {
                state.acknowledged.insert(number);
            }
        }
        for (to, message) in ready.messages {
            if let Some(bytes) = message::encode(&message) {
                state.messages.insert((to, bytes));
            }
        }
    }

    /// Time advances past every election timeout with each election, so that any candidate can get votes.
    fn now(state: &State) -> i64 {
        100 * SECOND * (1 + i64::from(state.elections))
    }
}

fn sync(disk: &mut BTreeMap<Vec<u8>, Vec<u8>>, writes: Vec<Write>) {
    for (key, value) in writes {
        match value {
            Some(value) => drop(disk.insert(key, value)),
            None => drop(disk.remove(&key)),
        }
    }
}

fn load(disk: &BTreeMap<Vec<u8>, Vec<u8>>) -> PersistentState {
    let mut store = cypresscleat_store::Store::open(
        cypresscleat_store::simulation::SimulatedDisk::default(),
        Default::default(),
    )
    .expect("an empty disk");
    disk.iter().for_each(|(key, value)| drop(store.put(key, value)));
    store.commit(true).expect("a working disk");
    cypresscleat_consensus::storage::load(&mut store).expect("a valid state")
}

impl Model for SmallCluster {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let members: Vec<Member> = (0..3).map(|at| member(at, 11 + at as u64)).collect();
        let snapshot = Snapshot { members, ..Snapshot::default() };
        let mut state = State {
            replicas: Vec::new(),
            disks: vec![BTreeMap::new(); 3],
            unsynced: vec![Vec::new(); 3],
            messages: BTreeSet::new(),
            acknowledged: BTreeSet::new(),
            proposals: 0,
            elections: 0,
            crash_count: 0,
        };
        for at in 0..3 {
            let mut writes = Vec::new();
            cypresscleat_consensus::storage::write_snapshot(
                &mut writes,
                &snapshot,
                &[],
                &Snapshot::default(),
                1..=snapshot.position.index,
            );
            sync(&mut state.disks[at], writes);
            let (replica, ready) = self.replica(
                at,
                11 + at as u64,
                PersistentState { snapshot: Some(snapshot.clone()), ..PersistentState::default() },
            );
            state.replicas.push(replica);
            sync(&mut state.disks[at], ready.writes);
        }
        // The first replica is the leader, and its first entry is committed. From here on any order is explored.
        state.elections = 1;
        let now = SmallCluster::now(&state);
        let ready = state.replicas[0].campaign(now);
        self.process_ready(&mut state, 0, ready);
        while let Some((to, bytes)) = state.messages.pop_first() {
            let ready = state.replicas[to as usize - 1]
                .step(now, &message::decode::<Message>(&bytes).expect("a valid message"));
            self.process_ready(&mut state, to as usize - 1, ready);
        }
        for at in 0..3 {
            let writes = std::mem::take(&mut state.unsynced[at]);
            sync(&mut state.disks[at], writes);
        }
        assert!(state.replicas[0].is_leader());
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for at in 0..3 {
            if state.proposals < 1 && state.replicas[at].is_leader() {
                actions.push(Action::Propose(at));
            }
            if state.elections < 3 && at > 0 && !state.replicas[at].is_leader() {
                actions.push(Action::Campaign(at));
            }
            if state.crash_count < 1 && at == 1 {
                actions.push(if self.lost_disks { Action::LoseDisk(at) } else { Action::Crash(at) });
            }
        }
        actions.extend(state.messages.iter().map(|(to, bytes)| Action::Deliver(*to, bytes.clone())));
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut state = state.clone();
        match action {
            Action::Propose(at) => {
                state.proposals += 1;
                let (now, number) = (SmallCluster::now(&state), state.proposals);
                let ready = state.replicas[at].propose(now, number, number.to_le_bytes().to_vec())?;
                self.process_ready(&mut state, at, ready);
            }
            Action::Deliver(to, bytes) => {
                state.messages.remove(&(to, bytes.clone()));
                let now = SmallCluster::now(&state);
                let ready =
                    state.replicas[to as usize - 1].step(now, &message::decode::<Message>(&bytes).ok()?);
                self.process_ready(&mut state, to as usize - 1, ready);
            }
            Action::Campaign(at) => {
                state.elections += 1;
                let now = SmallCluster::now(&state);
                let ready = state.replicas[at].campaign(now);
                self.process_ready(&mut state, at, ready);
            }
            Action::Crash(at) => {
                state.crash_count += 1;
                state.unsynced[at].clear();
                let (replica, ready) = self.replica(at, 11 + at as u64, load(&state.disks[at]));
                state.replicas[at] = replica;
                // The messages of a starting replica are irrelevant here and are dropped, to keep the model small.
                sync(&mut state.disks[at], ready.writes);
            }
            Action::LoseDisk(at) => {
                state.crash_count += 1;
                state.disks[at].clear();
                state.unsynced[at].clear();
                let (replica, ready) = self.replica(at, 77, PersistentState::default());
                state.replicas[at] = replica;
                sync(&mut state.disks[at], ready.writes);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one entry is committed at each index", |_, state: &State| {
                let mut hashes = BTreeMap::new();
                state.replicas.iter().all(|replica| {
                    let hash = replica.state_machine().hash;
                    *hashes.entry(replica.commit_index()).or_insert(hash) == hash
                })
            }),
            Property::always("acknowledged commands are known to the next leader", |_, state: &State| {
                let newest_leader = state
                    .replicas
                    .iter()
                    .filter(|replica| replica.is_leader())
                    .max_by_key(|replica| replica.term());
                newest_leader.is_none_or(|replica| {
                    replica.term() < 2
                        || state
                            .acknowledged
                            .iter()
                            .all(|number| replica.state_machine().numbers.contains(number))
                })
            }),
            Property::sometimes("a command is acknowledged", |_, state: &State| {
                !state.acknowledged.is_empty()
            }),
            Property::sometimes("another replica leads afterwards", |_, state: &State| {
                !state.acknowledged.is_empty()
                    && state.replicas.iter().any(|replica| replica.is_leader() && replica.term() > 1)
            }),
        ]
    }
}

fn check(disabled: DisabledSafeguards, lost_disks: bool) -> (usize, Option<&'static str>) {
    let checker = SmallCluster { disabled, lost_disks }
        .checker()
        .threads(2)
        .target_state_count(400_000)
        .spawn_bfs()
        .join();
    let found = checker
        .discoveries()
        .into_keys()
        .find(|name| !["a command is acknowledged", "another replica leads afterwards"].contains(name));
    (checker.unique_state_count(), found)
}

#[test]
fn loses_no_acknowledged_command_in_any_order_of_events() {
    for lost_disks in [false, true] {
        let (states, found) = check(DisabledSafeguards::default(), lost_disks);
        assert_eq!(found, None);
        assert!(states > 10_000, "{states} states");
    }
}

#[test]
fn finds_the_loss_when_messages_leave_before_they_are_persisted() {
    let disabled = DisabledSafeguards { persist_before_send: true, ..DisabledSafeguards::default() };
    assert!(check(disabled, false).1.is_some());
}

#[test]
fn finds_the_loss_when_an_empty_disk_has_a_vote() {
    let disabled = DisabledSafeguards { empty_disk_has_no_vote: true, ..DisabledSafeguards::default() };
    assert!(check(disabled, true).1.is_some());
}
