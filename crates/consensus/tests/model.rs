//! The keepers' own code, walked by a model checker: from a leader and two that follow it, all orders of proposals, deliveries and
//! losses, elections, a death that forgets what was not on the disk, and a disk that is lost, within small bounds.

use cypresscleat_consensus::keeper::Broken;
use cypresscleat_consensus::kept::{Base, Kept, Write};
use cypresscleat_consensus::letter::{self, Letter};
use cypresscleat_consensus::sim::Chain;
use cypresscleat_consensus::{Answer, Begin, Keeper, Member, NodeId, Options, Out, SECOND};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    keepers: Vec<Keeper<Chain>>,
    /// What is surely on each disk, and what may be lost with a death.
    disks: Vec<BTreeMap<Vec<u8>, Vec<u8>>>,
    unsynced: Vec<Vec<Write>>,
    letters: BTreeSet<(NodeId, Vec<u8>)>,
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
    /// It dies, and comes back with what was on its disk.
    Dies(usize),
    LosesDisk(usize),
}

struct Small {
    broken: Broken,
    lost_disks: bool,
}

fn options(broken: Broken) -> Options {
    Options { broken, ..Options::default() }
}

fn member(at: usize, disk: u64) -> Member {
    Member { id: at as NodeId + 1, disk }
}

impl Small {
    fn keeper(&self, at: usize, disk: u64, kept: Kept) -> (Keeper<Chain>, Out) {
        let named = (1..=3).collect();
        let begin =
            Begin { own: at as NodeId + 1, named, disk, options: options(self.broken), seed: at as u64 };
        Keeper::start(0, begin, kept, Chain::default())
    }

    fn carry(&self, state: &mut State, at: usize, out: Out) {
        if self.broken.says_before_disk {
            state.unsynced[at].extend(out.writes);
        } else {
            sync(&mut state.disks[at], out.writes);
        }
        for answer in out.answers {
            if let Answer::Done { number, .. } = answer {
                state.answered.insert(number);
            }
        }
        for (to, letter) in out.letters {
            if let Some(bytes) = letter::write(&letter) {
                state.letters.insert((to, bytes));
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

fn read(disk: &BTreeMap<Vec<u8>, Vec<u8>>) -> Kept {
    let mut store = cypresscleat_store::Store::open(
        cypresscleat_store::simulation::SimulatedDisk::default(),
        Default::default(),
    )
    .expect("an empty disk");
    disk.iter().for_each(|(key, value)| drop(store.put(key, value)));
    store.commit(true).expect("a good disk");
    cypresscleat_consensus::kept::read(&mut store).expect("it can be read")
}

impl Model for Small {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let members: Vec<Member> = (0..3).map(|at| member(at, 11 + at as u64)).collect();
        let base = Base { members, ..Base::default() };
        let mut state = State {
            keepers: Vec::new(),
            disks: vec![BTreeMap::new(); 3],
            unsynced: vec![Vec::new(); 3],
            letters: BTreeSet::new(),
            answered: BTreeSet::new(),
            proposals: 0,
            elections: 0,
            deaths: 0,
        };
        for at in 0..3 {
            let mut writes = Vec::new();
            cypresscleat_consensus::kept::base(
                &mut writes,
                &base,
                &[],
                &Base::default(),
                1..=base.mark.index,
            );
            sync(&mut state.disks[at], writes);
            let (keeper, out) =
                self.keeper(at, 11 + at as u64, Kept { base: Some(base.clone()), ..Kept::default() });
            state.keepers.push(keeper);
            sync(&mut state.disks[at], out.writes);
        }
        // The first leads, and its first entry is decided: what follows is any order.
        state.elections = 1;
        let now = Small::now(&state);
        let out = state.keepers[0].campaigns(now);
        self.carry(&mut state, 0, out);
        while let Some((to, bytes)) = state.letters.pop_first() {
            let out =
                state.keepers[to as usize - 1].hear(now, &letter::read::<Letter>(&bytes).expect("good"));
            self.carry(&mut state, to as usize - 1, out);
        }
        for at in 0..3 {
            let writes = std::mem::take(&mut state.unsynced[at]);
            sync(&mut state.disks[at], writes);
        }
        assert!(state.keepers[0].leads());
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for at in 0..3 {
            if state.proposals < 1 && state.keepers[at].leads() {
                actions.push(Action::Propose(at));
            }
            if state.elections < 3 && at > 0 && !state.keepers[at].leads() {
                actions.push(Action::Campaign(at));
            }
            if state.deaths < 1 && at == 1 {
                actions.push(if self.lost_disks { Action::LosesDisk(at) } else { Action::Dies(at) });
            }
        }
        actions.extend(state.letters.iter().map(|(to, bytes)| Action::Deliver(*to, bytes.clone())));
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut state = state.clone();
        match action {
            Action::Propose(at) => {
                state.proposals += 1;
                let (now, number) = (Small::now(&state), state.proposals);
                let out = state.keepers[at].propose(now, number, number.to_le_bytes().to_vec())?;
                self.carry(&mut state, at, out);
            }
            Action::Deliver(to, bytes) => {
                state.letters.remove(&(to, bytes.clone()));
                let now = Small::now(&state);
                let out = state.keepers[to as usize - 1].hear(now, &letter::read::<Letter>(&bytes).ok()?);
                self.carry(&mut state, to as usize - 1, out);
            }
            Action::Campaign(at) => {
                state.elections += 1;
                let now = Small::now(&state);
                let out = state.keepers[at].campaigns(now);
                self.carry(&mut state, at, out);
            }
            Action::Dies(at) => {
                state.deaths += 1;
                state.unsynced[at].clear();
                let (keeper, out) = self.keeper(at, 11 + at as u64, read(&state.disks[at]));
                state.keepers[at] = keeper;
                // What it says at its start says nothing about this: kept out, to keep the model small.
                sync(&mut state.disks[at], out.writes);
            }
            Action::LosesDisk(at) => {
                state.deaths += 1;
                state.disks[at].clear();
                state.unsynced[at].clear();
                let (keeper, out) = self.keeper(at, 77, Kept::default());
                state.keepers[at] = keeper;
                sync(&mut state.disks[at], out.writes);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one thing is decided at an index", |_, state: &State| {
                let mut links = BTreeMap::new();
                state.keepers.iter().all(|keeper| {
                    let link = keeper.machine().link;
                    *links.entry(keeper.commit()).or_insert(link) == link
                })
            }),
            Property::always("what was answered is known to whoever leads next", |_, state: &State| {
                let newest =
                    state.keepers.iter().filter(|keeper| keeper.leads()).max_by_key(|keeper| keeper.term());
                newest.is_none_or(|keeper| {
                    keeper.term() < 2
                        || state.answered.iter().all(|number| keeper.machine().numbers.contains(number))
                })
            }),
            Property::sometimes("an answer", |_, state: &State| !state.answered.is_empty()),
            Property::sometimes("another one leads after it", |_, state: &State| {
                !state.answered.is_empty()
                    && state.keepers.iter().any(|keeper| keeper.leads() && keeper.term() > 1)
            }),
        ]
    }
}

fn check(broken: Broken, lost_disks: bool) -> (usize, Option<&'static str>) {
    let checker =
        Small { broken, lost_disks }.checker().threads(2).target_state_count(400_000).spawn_bfs().join();
    let found = checker
        .discoveries()
        .into_keys()
        .find(|name| !["an answer", "another one leads after it"].contains(name));
    (checker.unique_state_count(), found)
}

#[test]
fn nothing_answered_is_lost_whatever_the_order() {
    for lost_disks in [false, true] {
        let (states, found) = check(Broken::default(), lost_disks);
        assert_eq!(found, None);
        assert!(states > 10_000, "{states} states");
    }
}

#[test]
fn an_answer_before_the_disk_is_found() {
    let broken = Broken { says_before_disk: true, ..Broken::default() };
    assert!(check(broken, false).1.is_some());
}

#[test]
fn a_vote_from_an_empty_disk_is_found() {
    let broken = Broken { empty_votes: true, ..Broken::default() };
    assert!(check(broken, true).1.is_some());
}
