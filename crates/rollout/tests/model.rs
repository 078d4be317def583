//! The rules of a change, walked by a model checker: two members and one that may join, the agreed state (the real one), answers that
//! arrive late or never, leases by each member's clock, disks that are lost. What the desk decides by is written out here once more, in
//! its simplest form, so that guards can be taken out one by one.

use cypresscleat_consensus::StateMachine;
use cypresscleat_rollout::state::{encode_command, Command, Outcome, PolicyState, Rules, Stage, Version};
use cypresscleat_rollout::MemberKey;
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const LEASE: u8 = 2;
const END: u8 = 6;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct RolloutMember {
    here: bool,
    active: u64,
    /// Serves until then, by the one clock.
    until: u8,
    /// Texts on its disk.
    kept: BTreeSet<u64>,
    paused: bool,
    /// It refuses the change.
    refuses: bool,
    /// Its process is gone.
    dead: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    agreed: PolicyState,
    members: Vec<RolloutMember>,
    /// At the desk: when each was heard, and what it said.
    heard: BTreeMap<MemberKey, u8>,
    yes: BTreeSet<MemberKey>,
    paused: BTreeSet<MemberKey>,
    /// Words on their way to members: to whom, when asked, version, pause.
    words: BTreeSet<(usize, u8, u64, bool)>,
    dropped: bool,
    taken: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    Time,
    Propose,
    /// A member asks; the desk hears it, and its answer is on its way. `yes`: it has checked and says so.
    Asks(usize, bool),
    Hears(usize, u8, u64, bool),
    Expires(MemberKey),
    Decides(bool),
    Opens,
    Joins,
    LosesDisk(usize),
}

#[derive(Clone, Copy, Default)]
struct Walk {
    barrier: bool,
    /// Decides by time, whoever has not answered.
    commit_on_timeout: bool,
    ignore_lease_end: bool,
    yes_before_disk: bool,
    /// Counts members as they were.
    ignore_generation: bool,
    /// Without joiners and lost disks, one word on its way at a time: for what takes many steps.
    small: bool,
}

fn key(at: usize) -> MemberKey {
    (at as u64 + 1, 1)
}

fn apply(state: &mut State, command: &Command) -> Outcome {
    let said = state.agreed.apply(1, &encode_command(command));
    state.agreed.take_events();
    postcard::from_bytes(&said).expect("an outcome")
}

impl Walk {
    fn serves(&self, state: &State, at: usize) -> Option<u64> {
        let one = &state.members[at];
        let leased = state.now < one.until || self.ignore_lease_end;
        (one.here && leased && !one.paused).then_some(one.active)
    }
}

impl Model for Walk {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut state = State {
            now: 0,
            agreed: PolicyState::default(),
            members: vec![RolloutMember::default(); 3],
            heard: BTreeMap::new(),
            yes: BTreeSet::new(),
            paused: BTreeSet::new(),
            words: BTreeSet::new(),
            dropped: false,
            taken: false,
        };
        for at in 0..2 {
            apply(&mut state, &Command::Join { key: key(at), name: format!("m{at}") });
            state.members[at] = RolloutMember { here: true, until: LEASE, ..RolloutMember::default() };
            state.heard.insert(key(at), 0);
        }
        let mut refused = state.clone();
        refused.members[1].refuses = true;
        vec![state, refused]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < END {
            actions.push(Action::Time);
        }
        let change = state.agreed.pending_change().map(|change| change.stage);
        if change.is_none() && !state.taken && !state.dropped {
            actions.push(Action::Propose);
        }
        for (at, one) in state.members.iter().enumerate().filter(|(_, one)| one.here) {
            if state.words.len() < if self.small { 1 } else { 2 } {
                actions.push(Action::Asks(at, false));
                if change == Some(Stage::Preparing) && !state.yes.contains(&key(at)) {
                    actions.push(Action::Asks(at, true));
                }
            }
            if !one.kept.is_empty() && !self.small {
                actions.push(Action::LosesDisk(at));
            }
        }
        actions.extend(state.words.iter().map(|word| Action::Hears(word.0, word.1, word.2, word.3)));
        let over = state.heard.iter().filter(|(_, at)| state.now > **at + LEASE);
        actions.extend(over.map(|(key, _)| Action::Expires(*key)));
        let new = !state.members[2].here && !state.members[2].dead;
        if new && !self.small {
            actions.push(Action::Joins);
        }
        if change == Some(Stage::Preparing) {
            actions.push(Action::Decides(true));
            if state.members.iter().any(|one| one.refuses) {
                actions.push(Action::Decides(false));
            }
        }
        if change == Some(Stage::Barrier) {
            actions.push(Action::Opens);
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        let change = state
            .agreed
            .pending_change()
            .map_or((0, None), |change| (change.version.number, Some(change.stage)));
        match action {
            Action::Time => next.now += 1,
            Action::Propose => {
                let rules = Rules { barrier: self.barrier, ..Rules::default() };
                apply(
                    &mut next,
                    &Command::Propose(Version { rules, at_ms: 1, hash: 9, ..Version::default() }),
                );
            }
            Action::Asks(at, yes) => {
                let key = key(at);
                if !state.agreed.members().contains_key(&key) {
                    // Its lease is over at the keepers: it has to join anew, and is told nothing.
                    return None;
                }
                if yes && next.members[at].refuses {
                    return None;
                }
                if yes {
                    next.yes.insert(key);
                    if !self.yes_before_disk {
                        next.members[at].kept.insert(change.0);
                    }
                }
                if next.members[at].paused {
                    next.paused.insert(key);
                }
                next.heard.insert(key, state.now);
                let pause = change.1 == Some(Stage::Barrier);
                next.words.insert((at, state.now, state.agreed.active().number, pause));
            }
            Action::Hears(at, asked, version, pause) => {
                next.words.remove(&(at, asked, version, pause));
                let one = &mut next.members[at];
                if !one.here || version < one.active {
                    return Some(next);
                }
                if version > one.active && !one.kept.contains(&version) {
                    // Fetched first; where it had stopped for it, the older one is over.
                    if one.paused {
                        (one.until, one.paused) = (0, false);
                    }
                    one.kept.insert(version);
                    return Some(next);
                }
                if version > one.active {
                    (one.active, one.paused) = (version, false);
                }
                one.until = one.until.max(asked + LEASE);
                one.paused |= pause;
            }
            Action::Expires(key) => {
                apply(&mut next, &Command::End { key, left: false });
                next.heard.remove(&key);
                next.yes.remove(&key);
                next.paused.remove(&key);
            }
            Action::Joins => {
                apply(&mut next, &Command::Join { key: key(2), name: "m2".into() });
                next.members[2] = RolloutMember { here: true, until: 0, ..RolloutMember::default() };
                next.heard.insert(key(2), state.now);
            }
            Action::Decides(taken) => {
                let all = state.agreed.members().keys().all(|key| state.yes.contains(key));
                let first = !state.yes.is_empty();
                if taken && !(all || self.commit_on_timeout || (self.ignore_generation && first)) {
                    return None;
                }
                let generation = state.agreed.generation();
                let decide =
                    Command::Decide { number: change.0, generation, commit: taken, reason: String::new() };
                if apply(&mut next, &decide) != Outcome::Done {
                    return None;
                }
                (next.taken, next.dropped) = (taken, !taken);
            }
            Action::Opens => {
                let all = state.agreed.members().keys().all(|key| state.paused.contains(key));
                if !all {
                    return None;
                }
                let open = Command::Activate { number: change.0, generation: state.agreed.generation() };
                if apply(&mut next, &open) != Outcome::Done {
                    return None;
                }
            }
            Action::LosesDisk(at) => {
                // The process is gone; what comes back is another life, which counts by itself. The keepers hear of neither.
                next.members[at] = RolloutMember {
                    refuses: state.members[at].refuses,
                    dead: true,
                    ..RolloutMember::default()
                };
                next.words.retain(|word| word.0 != at);
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Walk>> {
        vec![
            Property::always("nobody serves under what was not taken", |walk: &Walk, state: &State| {
                (0..3).all(|at| walk.serves(state, at).is_none_or(|version| version == 0 || state.taken))
            }),
            Property::always(
                "what is in force was checked by all that count",
                |walk: &Walk, state: &State| {
                    let taken = state.agreed.active().number > 0;
                    let yes_or_gone = |at: usize| {
                        let counts = state.agreed.members().contains_key(&key(at));
                        !counts || state.yes.contains(&key(at)) || at == 2 || !state.members[at].refuses
                    };
                    !taken || walk.commit_on_timeout || walk.ignore_generation || (0..3).all(yes_or_gone)
                },
            ),
            Property::always(
                "no one that refuses serves beside it under the older",
                |walk: &Walk, state: &State| {
                    // Taken without its yes: then its lease is over.
                    !state.taken
                        || (0..3).all(|at| {
                            let silent = !state.agreed.members().contains_key(&key(at));
                            !silent
                                || walk
                                    .serves(state, at)
                                    .is_none_or(|version| version == state.agreed.active().number)
                        })
                },
            ),
            Property::always("a member that counts has said yes", |_, state: &State| {
                // At the moment of the decision; those that join behind it learn the version before they serve.
                let asking = state.agreed.pending_change().is_some();
                asking
                    || !state.taken
                    || state.agreed.members().keys().all(|key| key.0 == 3 || state.yes.contains(key))
            }),
            Property::always("barrier: no two versions serve at once", |walk: &Walk, state: &State| {
                let all: BTreeSet<u64> = (0..3).filter_map(|at| walk.serves(state, at)).collect();
                !walk.barrier || all.len() <= 1
            }),
            Property::always("a yes is on the disk", |_, state: &State| {
                let Some(change) = state.agreed.pending_change() else { return true };
                let number = change.version.number;
                state.yes.iter().all(|key| {
                    let one = &state.members[key.0 as usize - 1];
                    one.kept.contains(&number) || !one.here
                })
            }),
            Property::sometimes("it comes in force", |_, state: &State| state.agreed.active().number > 0),
            Property::sometimes("it is dropped", |_, state: &State| state.dropped),
        ]
    }
}

fn walk(walk: Walk, states: usize) -> Vec<&'static str> {
    let checker = walk.checker().target_state_count(states).spawn_bfs().join();
    let always = |name: &&&str| !matches!(**name, "it comes in force" | "it is dropped");
    checker.discoveries().keys().filter(always).copied().collect()
}

#[test]
fn the_rules_hold_in_all_orders() {
    assert_eq!(walk(Walk::default(), 400_000), Vec::<&str>::new());
    assert_eq!(walk(Walk { barrier: true, ..Walk::default() }, 400_000), Vec::<&str>::new());
    for barrier in [false, true] {
        assert_eq!(walk(Walk { barrier, small: true, ..Walk::default() }, 1_000_000), Vec::<&str>::new());
    }
}

#[test]
fn it_comes_in_force_and_may_be_dropped() {
    for barrier in [false, true] {
        let checker =
            Walk { barrier, ..Walk::default() }.checker().target_state_count(250_000).spawn_bfs().join();
        checker.assert_any_discovery("it comes in force");
        checker.assert_any_discovery("it is dropped");
    }
}

#[test]
fn each_guard_taken_out_is_found() {
    let found = |without: Walk, what: &str| {
        let found = walk(without, 250_000);
        assert!(found.contains(&what), "{found:?}");
    };
    found(Walk { commit_on_timeout: true, ..Walk::default() }, "a member that counts has said yes");
    found(Walk { ignore_generation: true, ..Walk::default() }, "a member that counts has said yes");
    found(Walk { yes_before_disk: true, ..Walk::default() }, "a yes is on the disk");
    found(
        Walk { ignore_lease_end: true, ..Walk::default() },
        "no one that refuses serves beside it under the older",
    );
    found(
        Walk { ignore_lease_end: true, barrier: true, small: true, ..Walk::default() },
        "barrier: no two versions serve at once",
    );
}
