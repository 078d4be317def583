//! Model checking of leases and fencing tokens: two instances, the real replicated state, a resource with the real fence, renewals and
//! operations that arrive late or never, paused instances, and a clock that may be slow.

use cypresscleat_consensus::StateMachine;
use cypresscleat_leases::fence::Fence;
use cypresscleat_leases::state::{Command, LeaseState};
use cypresscleat_leases::{Claim, Partition};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const LEASE: u8 = 2;
const END_TIME: u8 = 7;
const PARTITION: Partition = Partition { task: 1, index: 0 };

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Instance {
    session: u64,
    /// End of the lease by its own clock.
    lease_end: u8,
    token: u64,
    /// Its clock; a slow clock falls behind the time.
    clock: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    index: u64,
    leases: LeaseState,
    /// Time of each session's last renewal.
    renewed: BTreeMap<u64, u8>,
    instances: [Instance; 2],
    /// Responses in flight: receiver, time of the request by the receiver's clock, session, token.
    responses: BTreeSet<(usize, u8, u64, u64)>,
    /// Operations in flight, by token.
    operations: BTreeSet<u64>,
    fence: Fence,
    /// Tokens of the last accepted operations.
    accepted: Vec<u64>,
    /// Whether two instances could operate at the same time.
    had_two_owners: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    AdvanceTime { slow: bool },
    Renew(usize),
    ReceiveResponse(usize, u8, u64, u64),
    Expire(u64),
    Operate(usize),
    DeliverOperation(u64),
}

#[derive(Clone, Copy, Default)]
struct Rules {
    /// Counts the lease from the response, not from the request.
    lease_from_response: bool,
    ignore_tokens: bool,
    /// The second instance's clock may stand still while time advances.
    slow_clock: bool,
}

impl Rules {
    fn can_operate(&self, instance: &Instance) -> bool {
        instance.token > 0 && instance.clock < instance.lease_end
    }
}

fn commit(state: &mut State, command: &Command) {
    state.index += 1;
    let bytes = postcard::to_stdvec(command).expect("a command");
    state.leases.apply(state.index, &bytes);
    state.leases.take_sessions_with_new_grants();
    state.leases.take_owner_changes();
}

impl Model for Rules {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 0,
            index: 0,
            leases: LeaseState::default(),
            renewed: BTreeMap::new(),
            instances: Default::default(),
            responses: BTreeSet::new(),
            operations: BTreeSet::new(),
            fence: Fence::default(),
            accepted: Vec::new(),
            had_two_owners: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < END_TIME {
            actions.push(Action::AdvanceTime { slow: false });
            if self.slow_clock {
                actions.push(Action::AdvanceTime { slow: true });
            }
        }
        for (at, instance) in state.instances.iter().enumerate() {
            if state.responses.len() < 2 {
                actions.push(Action::Renew(at));
            }
            if self.can_operate(instance) && state.operations.len() < 2 {
                actions.push(Action::Operate(at));
            }
        }
        actions.extend(
            state
                .responses
                .iter()
                .map(|response| Action::ReceiveResponse(response.0, response.1, response.2, response.3)),
        );
        actions.extend(state.operations.iter().map(|token| Action::DeliverOperation(*token)));
        let expired = state.renewed.iter().filter(|(_, at)| state.now > **at + LEASE);
        actions.extend(expired.map(|(session, _)| Action::Expire(*session)));
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut state = state.clone();
        match action {
            Action::AdvanceTime { slow } => {
                state.now += 1;
                state.instances[0].clock += 1;
                state.instances[1].clock += u8::from(!slow);
            }
            Action::Renew(at) => {
                let instance = state.instances[at].clone();
                let is_open = state.leases.instance(instance.session).is_some();
                let mut session = instance.session;
                if !is_open {
                    let claims = vec![Claim { task: PARTITION.task, partitions: 1, rank: 0 }];
                    // Each session has its own incarnation, so that a session never gets the partitions of another.
                    let incarnation = state.index;
                    commit(
                        &mut state,
                        &Command::OpenSession { instance: at as u64 + 1, incarnation, claims },
                    );
                    session = state.index;
                }
                state.renewed.insert(session, state.now);
                let owner = state.leases.owner(PARTITION);
                let own_grant = owner.filter(|(owner, _)| {
                    *owner == at as u64 + 1 && state.leases.is_owned_by(PARTITION, session)
                });
                state.responses.insert((at, instance.clock, session, own_grant.map_or(0, |grant| grant.1)));
            }
            Action::ReceiveResponse(at, sent_at, session, token) => {
                state.responses.remove(&(at, sent_at, session, token));
                let instance = &mut state.instances[at];
                let from = if self.lease_from_response { instance.clock } else { sent_at };
                if session > instance.session {
                    (instance.session, instance.lease_end, instance.token) = (session, from + LEASE, token);
                } else if session == instance.session {
                    instance.lease_end = instance.lease_end.max(from + LEASE);
                    instance.token = instance.token.max(token);
                }
            }
            Action::Expire(session) => {
                state.renewed.remove(&session);
                commit(&mut state, &Command::EndSession { session });
            }
            Action::Operate(at) => {
                let instance = &state.instances[at];
                state.had_two_owners |=
                    state.instances.iter().filter(|instance| self.can_operate(instance)).count() > 1;
                state.operations.insert(instance.token);
            }
            Action::DeliverOperation(token) => {
                state.operations.remove(&token);
                if self.ignore_tokens || state.fence.check(PARTITION, token) {
                    state.accepted.push(token);
                    // Only the order of the last two tokens matters.
                    let excess = state.accepted.len().saturating_sub(2);
                    state.accepted.drain(..excess);
                }
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("accepted tokens never decrease", |_, state: &State| {
                state.accepted.windows(2).all(|pair| pair[0] <= pair[1])
            }),
            Property::always("no two instances can operate at once", |_, state: &State| {
                !state.had_two_owners
            }),
            Property::sometimes("an operation of each of two owners is accepted", |_, state: &State| {
                state.accepted.len() == 2 && state.accepted[0] < state.accepted[1]
            }),
        ]
    }
}

const TOKENS_NEVER_DECREASE: &str = "accepted tokens never decrease";
const ONE_OWNER: &str = "no two instances can operate at once";

fn check(rules: Rules) -> (usize, BTreeSet<&'static str>) {
    let checker = rules.checker().threads(2).target_state_count(1_500_000).spawn_bfs().join();
    (checker.unique_state_count(), checker.discoveries().into_keys().collect())
}

#[test]
fn one_owner_at_a_time_and_the_next_owner_operates() {
    let (states, found) = check(Rules::default());
    assert!(!found.contains(TOKENS_NEVER_DECREASE) && !found.contains(ONE_OWNER), "{found:?}");
    assert!(found.contains("an operation of each of two owners is accepted"));
    assert!(states > 50_000, "{states} states");
}

#[test]
fn finds_a_lease_that_is_counted_from_the_response() {
    assert!(check(Rules { lease_from_response: true, ..Rules::default() }).1.contains(ONE_OWNER));
}

#[test]
fn finds_a_resource_that_ignores_tokens() {
    assert!(check(Rules { ignore_tokens: true, ..Rules::default() }).1.contains(TOKENS_NEVER_DECREASE));
}

#[test]
fn finds_an_owner_with_a_slow_clock_which_the_token_makes_harmless() {
    let found = check(Rules { slow_clock: true, ..Rules::default() }).1;
    assert!(found.contains(ONE_OWNER) && !found.contains(TOKENS_NEVER_DECREASE), "{found:?}");
}
