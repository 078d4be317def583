//! The rules of leases and tokens, walked by a model checker: two instances, the agreed state (the real one), one thing that is
//! acted upon (the real fence), renewals and acts that arrive late or never, instances that stand still, clocks that may lie.

use cypresscleat_consensus::StateMachine;
use cypresscleat_leases::fence::Fence;
use cypresscleat_leases::state::{Command, LeaseState};
use cypresscleat_leases::{Claim, Partition};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const LEASE: u8 = 2;
const END: u8 = 7;
const PART: Partition = Partition { task: 1, index: 0 };

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Instance {
    session: u64,
    /// By its own clock.
    until: u8,
    token: u64,
    /// Its clock, which a slow one leaves behind.
    clock: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    index: u64,
    agreed: LeaseState,
    renewed: BTreeMap<u64, u8>,
    instances: [Instance; 2],
    /// Answers on their way: to whom, when it was asked by its clock, session, token.
    answers: BTreeSet<(usize, u8, u64, u64)>,
    /// Acts on their way, by token.
    acts: BTreeSet<u64>,
    fence: Fence,
    taken: Vec<u64>,
    /// Two that might act at the same time.
    two: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    Time { slow: bool },
    Renews(usize),
    Hears(usize, u8, u64, u64),
    Expires(u64),
    Acts(usize),
    Arrives(u64),
}

#[derive(Clone, Copy, Default)]
struct Rules {
    /// Counts its lease from the answer, not from its asking.
    from_the_answer: bool,
    ignore_tokens: bool,
    /// The second instance's clock may stand still while time goes on.
    slow_clock: bool,
}

impl Rules {
    fn can_act(&self, one: &Instance) -> bool {
        one.token > 0 && one.clock < one.until
    }
}

fn decide(state: &mut State, command: &Command) {
    state.index += 1;
    let bytes = postcard::to_stdvec(command).expect("a command");
    state.agreed.apply(state.index, &bytes);
    state.agreed.take_sessions_with_new_grants();
    state.agreed.take_owner_changes();
}

impl Model for Rules {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 0,
            index: 0,
            agreed: LeaseState::default(),
            renewed: BTreeMap::new(),
            instances: Default::default(),
            answers: BTreeSet::new(),
            acts: BTreeSet::new(),
            fence: Fence::default(),
            taken: Vec::new(),
            two: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < END {
            actions.push(Action::Time { slow: false });
            if self.slow_clock {
                actions.push(Action::Time { slow: true });
            }
        }
        for (at, one) in state.instances.iter().enumerate() {
            if state.answers.len() < 2 {
                actions.push(Action::Renews(at));
            }
            if self.can_act(one) && state.acts.len() < 2 {
                actions.push(Action::Acts(at));
            }
        }
        actions
            .extend(state.answers.iter().map(|answer| Action::Hears(answer.0, answer.1, answer.2, answer.3)));
        actions.extend(state.acts.iter().map(|token| Action::Arrives(*token)));
        let over = state.renewed.iter().filter(|(_, at)| state.now > **at + LEASE);
        actions.extend(over.map(|(session, _)| Action::Expires(*session)));
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut state = state.clone();
        match action {
            Action::Time { slow } => {
                state.now += 1;
                state.instances[0].clock += 1;
                state.instances[1].clock += u8::from(!slow);
            }
            Action::Renews(at) => {
                let one = state.instances[at].clone();
                let is_open = state.agreed.instance(one.session).is_some();
                let mut session = one.session;
                if !is_open {
                    let claims = vec![Claim { task: PART.task, partitions: 1, rank: 0 }];
                    // A incarnation for each session: what one session had is not another's.
                    let incarnation = state.index;
                    decide(
                        &mut state,
                        &Command::OpenSession { instance: at as u64 + 1, incarnation, claims },
                    );
                    session = state.index;
                }
                state.renewed.insert(session, state.now);
                let owner = state.agreed.owner(PART);
                let own = owner
                    .filter(|(owner, _)| *owner == at as u64 + 1 && state.agreed.is_owned_by(PART, session));
                state.answers.insert((at, one.clock, session, own.map_or(0, |own| own.1)));
            }
            Action::Hears(at, asked, session, token) => {
                state.answers.remove(&(at, asked, session, token));
                let one = &mut state.instances[at];
                let from = if self.from_the_answer { one.clock } else { asked };
                if session > one.session {
                    (one.session, one.until, one.token) = (session, from + LEASE, token);
                } else if session == one.session {
                    one.until = one.until.max(from + LEASE);
                    one.token = one.token.max(token);
                }
            }
            Action::Expires(session) => {
                state.renewed.remove(&session);
                decide(&mut state, &Command::EndSession { session });
            }
            Action::Acts(at) => {
                let one = &state.instances[at];
                state.two |= state.instances.iter().filter(|one| self.can_act(one)).count() > 1;
                state.acts.insert(one.token);
            }
            Action::Arrives(token) => {
                state.acts.remove(&token);
                if self.ignore_tokens || state.fence.check(PART, token) {
                    state.taken.push(token);
                    // Only the order counts, and its last two.
                    let past = state.taken.len().saturating_sub(2);
                    state.taken.drain(..past);
                }
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("tokens that are taken only rise", |_, state: &State| {
                state.taken.windows(2).all(|two| two[0] <= two[1])
            }),
            Property::always("no two may act at once", |_, state: &State| !state.two),
            Property::sometimes("an act is taken from each of two owners", |_, state: &State| {
                state.taken.len() == 2 && state.taken[0] < state.taken[1]
            }),
        ]
    }
}

const FALL: &str = "tokens that are taken only rise";
const TWO: &str = "no two may act at once";

fn check(rules: Rules) -> (usize, BTreeSet<&'static str>) {
    let checker = rules.checker().threads(2).target_state_count(1_500_000).spawn_bfs().join();
    (checker.unique_state_count(), checker.discoveries().into_keys().collect())
}

#[test]
fn one_owner_at_a_time_and_the_next_one_acts() {
    let (states, found) = check(Rules::default());
    assert!(!found.contains(FALL) && !found.contains(TWO), "{found:?}");
    assert!(found.contains("an act is taken from each of two owners"));
    assert!(states > 50_000, "{states} states");
}

#[test]
fn a_lease_counted_from_the_answer_is_found() {
    assert!(check(Rules { from_the_answer: true, ..Rules::default() }).1.contains(TWO));
}

#[test]
fn a_resource_that_ignores_tokens_is_found() {
    assert!(check(Rules { ignore_tokens: true, ..Rules::default() }).1.contains(FALL));
}

#[test]
fn an_owner_that_trusts_its_clock_only_is_found_and_the_token_makes_it_harmless() {
    let found = check(Rules { slow_clock: true, ..Rules::default() }).1;
    assert!(found.contains(TWO) && !found.contains(FALL), "{found:?}");
}
