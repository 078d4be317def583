//! The replicas' own code, walked by a model checker: from a leader and two that follow it, all orders of proposals, deliveries and
//! losses, elections, a death that forgets what was not on the disk, and a disk that is lost, within small bounds.

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
    /// What is surely on each disk, and what may be lost with a death.
    disks: Vec<BTreeMap<Vec<u8>, Vec<u8>>>,
    unsynced: Vec<Vec<Write>>,
    messages: BTreeSet<(NodeId, Vec<u8>)>,
    answered: BTreeSet<u64>,
    proposals: u64,
    elections: u8,
    deaths: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Propose(usize),
    Deliver(NodeId, Vec<u8>),
    Campaign(usize),
    /// It crashes, and starts again with what was on its disk.
    Crash(usize),
    LoseDisk(usize),
}

struct Small {
    broken: DisabledSafeguards,
    lost_disks: bool,
}

fn options(broken: DisabledSafeguards) -> RaftConfig {
    RaftConfig { disabled_safeguards: broken, ..RaftConfig::default() }
}

fn member(at: usize, disk: u64) -> Member {
    Member { id: at as NodeId + 1, disk }
}

impl Small {
    fn replica(&self, at: usize, disk: u64, kept: PersistentState) -> (Replica<HashChain>, Ready) {
        let named = (1..=3).collect();
        let config = ReplicaConfig {
            id: at as NodeId + 1,
            configured_replicas: named,
            disk,
            raft: options(self.broken),
            seed: at as u64,
        };
        Replica::start(0, config, kept, HashChain::default()).expect("a valid configuration")
    }

    fn carry(&self, state: &mut State, at: usize, out: Ready) {
        if self.broken.persist_before_send {
            state.unsynced[at].extend(out.writes);
        } else {
            sync(&mut state.disks[at], out.writes);
        }
        for answer in out.responses {
            if let ProposalResponse::Applied { proposal_id: number, .. } = answer {
                state.answered.insert(number);
            }
        }
        for (to, message) in out.messages {
            if let Some(bytes) = message::encode(&message) {
                state.messages.insert((to, bytes));
            }
        }
    }

    /// All is long past any silence: whoever asks may be voted for.
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

fn read(disk: &BTreeMap<Vec<u8>, Vec<u8>>) -> PersistentState {
    let mut store = cypresscleat_store::Store::open(
        cypresscleat_store::simulation::SimulatedDisk::default(),
        Default::default(),
    )
    .expect("an empty disk");
    disk.iter().for_each(|(key, value)| drop(store.put(key, value)));
    store.commit(true).expect("a good disk");
    cypresscleat_consensus::storage::load(&mut store).expect("it can be read")
}

impl Model for Small {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let members: Vec<Member> = (0..3).map(|at| member(at, 11 + at as u64)).collect();
        let base = Snapshot { members, ..Snapshot::default() };
        let mut state = State {
            replicas: Vec::new(),
            disks: vec![BTreeMap::new(); 3],
            unsynced: vec![Vec::new(); 3],
            messages: BTreeSet::new(),
            answered: BTreeSet::new(),
            proposals: 0,
            elections: 0,
            deaths: 0,
        };
        for at in 0..3 {
            let mut writes = Vec::new();
            cypresscleat_consensus::storage::write_snapshot(
                &mut writes,
                &base,
                &[],
                &Snapshot::default(),
                1..=base.position.index,
            );
            sync(&mut state.disks[at], writes);
            let (replica, out) = self.replica(
                at,
                11 + at as u64,
                PersistentState { snapshot: Some(base.clone()), ..PersistentState::default() },
            );
            state.replicas.push(replica);
            sync(&mut state.disks[at], out.writes);
        }
        // The first leads, and its first entry is decided: what follows is any order.
        state.elections = 1;
        let now = Small::now(&state);
        let out = state.replicas[0].campaign(now);
        self.carry(&mut state, 0, out);
        while let Some((to, bytes)) = state.messages.pop_first() {
            let out =
                state.replicas[to as usize - 1].step(now, &message::decode::<Message>(&bytes).expect("good"));
            self.carry(&mut state, to as usize - 1, out);
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
            if state.deaths < 1 && at == 1 {
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
                let (now, number) = (Small::now(&state), state.proposals);
                let out = state.replicas[at].propose(now, number, number.to_le_bytes().to_vec())?;
                self.carry(&mut state, at, out);
            }
            Action::Deliver(to, bytes) => {
                state.messages.remove(&(to, bytes.clone()));
                let now = Small::now(&state);
                let out =
                    state.replicas[to as usize - 1].step(now, &message::decode::<Message>(&bytes).ok()?);
                self.carry(&mut state, to as usize - 1, out);
            }
            Action::Campaign(at) => {
                state.elections += 1;
                let now = Small::now(&state);
                let out = state.replicas[at].campaign(now);
                self.carry(&mut state, at, out);
            }
            Action::Crash(at) => {
                state.deaths += 1;
                state.unsynced[at].clear();
                let (replica, out) = self.replica(at, 11 + at as u64, read(&state.disks[at]));
                state.replicas[at] = replica;
                // What it says at its start says nothing about this: kept out, to keep the model small.
                sync(&mut state.disks[at], out.writes);
            }
            Action::LoseDisk(at) => {
                state.deaths += 1;
                state.disks[at].clear();
                state.unsynced[at].clear();
                let (replica, out) = self.replica(at, 77, PersistentState::default());
                state.replicas[at] = replica;
                sync(&mut state.disks[at], out.writes);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one thing is decided at an index", |_, state: &State| {
                let mut links = BTreeMap::new();
                state.replicas.iter().all(|replica| {
                    let link = replica.state_machine().hash;
                    *links.entry(replica.commit_index()).or_insert(link) == link
                })
            }),
            Property::always("what was answered is known to whoever leads next", |_, state: &State| {
                let newest = state
                    .replicas
                    .iter()
                    .filter(|replica| replica.is_leader())
                    .max_by_key(|replica| replica.term());
                newest.is_none_or(|replica| {
                    replica.term() < 2
                        || state
                            .answered
                            .iter()
                            .all(|number| replica.state_machine().numbers.contains(number))
                })
            }),
            Property::sometimes("an answer", |_, state: &State| !state.answered.is_empty()),
            Property::sometimes("another one leads after it", |_, state: &State| {
                !state.answered.is_empty()
                    && state.replicas.iter().any(|replica| replica.is_leader() && replica.term() > 1)
            }),
        ]
    }
}

fn check(broken: DisabledSafeguards, lost_disks: bool) -> (usize, Option<&'static str>) {
    let checker =
        Small { broken, lost_disks }.checker().threads(2).target_state_count(400_000).spawn_bfs().join();
    let found = checker
        .discoveries()
        .into_keys()
        .find(|name| !["an answer", "another one leads after it"].contains(name));
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
    let broken = DisabledSafeguards { persist_before_send: true, ..DisabledSafeguards::default() };
    assert!(check(broken, false).1.is_some());
}

#[test]
fn finds_the_loss_when_an_empty_disk_has_a_vote() {
    let broken = DisabledSafeguards { empty_disk_has_no_vote: true, ..DisabledSafeguards::default() };
    assert!(check(broken, true).1.is_some());
}
