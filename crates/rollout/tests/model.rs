//! Checks the rules of a change with a model checker. The model has two members and a third that may join, the real replicated state,
//! responses that arrive late or never, leases, and lost disks. The coordinator's conditions are written again here in their simplest form,
//! so that each safeguard can be disabled separately.

use cypresscleat_consensus::StateMachine;
use cypresscleat_rollout::state::{encode_command, Command, Outcome, PolicyState, Rules, Stage, Version};
use cypresscleat_rollout::MemberKey;
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

/// Duration of a lease, in time steps.
const LEASE_STEPS: u8 = 2;
/// Time at which the model stops.
const END_STEP: u8 = 6;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct ModelMember {
    is_running: bool,
    active: u64,
    /// End of the member's lease, by the model's only clock.
    lease_ends_at: u8,
    /// Versions on the member's disk.
    stored: BTreeSet<u64>,
    is_paused: bool,
    /// The member refuses the change.
    refuses: bool,
    /// The member's process has ended.
    is_dead: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    replicated: PolicyState,
    members: Vec<ModelMember>,
    /// At the coordinator: the time of each member's last heartbeat, and the votes.
    last_contact: BTreeMap<MemberKey, u8>,
    prepared: BTreeSet<MemberKey>,
    paused: BTreeSet<MemberKey>,
    /// Responses in flight to members: the member, the time of its heartbeat, the version, and whether to pause.
    responses: BTreeSet<(usize, u8, u64, bool)>,
    is_aborted: bool,
    is_committed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    AdvanceTime,
    Propose,
    /// A member sends a heartbeat, the coordinator receives it, and the response is in flight. The flag tells whether the heartbeat carries
    /// the member's vote.
    Heartbeat(usize, bool),
    ReceiveResponse(usize, u8, u64, bool),
    Expire(MemberKey),
    Decide(bool),
    Activate,
    Join,
    LoseDisk(usize),
}

#[derive(Clone, Copy, Default)]
struct RolloutModel {
    barrier: bool,
    /// Commits without waiting for the votes of all members.
    commit_on_timeout: bool,
    ignore_lease_end: bool,
    /// A member votes before the version is on its disk.
    vote_before_write: bool,
    /// Commits on the first vote.
    ignore_generation: bool,
    /// Omits joins and lost disks and allows one response in flight, so that the checker reaches longer sequences.
    is_small: bool,
}

fn key(at: usize) -> MemberKey {
    (at as u64 + 1, 1)
}

fn apply(state: &mut State, command: &Command) -> Outcome {
    let outcome = state.replicated.apply(1, &encode_command(command));
    state.replicated.take_events();
    postcard::from_bytes(&outcome).expect("an outcome")
}

impl RolloutModel {
    fn served_version(&self, state: &State, at: usize) -> Option<u64> {
        let member = &state.members[at];
        let has_lease = state.now < member.lease_ends_at || self.ignore_lease_end;
        (member.is_running && has_lease && !member.is_paused).then_some(member.active)
    }
}

impl Model for RolloutModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut state = State {
            now: 0,
            replicated: PolicyState::default(),
            members: vec![ModelMember::default(); 3],
            last_contact: BTreeMap::new(),
            prepared: BTreeSet::new(),
            paused: BTreeSet::new(),
            responses: BTreeSet::new(),
            is_aborted: false,
            is_committed: false,
        };
        for at in 0..2 {
            apply(&mut state, &Command::Join { key: key(at), name: format!("m{at}") });
            state.members[at] =
                ModelMember { is_running: true, lease_ends_at: LEASE_STEPS, ..ModelMember::default() };
            state.last_contact.insert(key(at), 0);
        }
        let mut refused = state.clone();
        refused.members[1].refuses = true;
        vec![state, refused]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < END_STEP {
            actions.push(Action::AdvanceTime);
        }
        let change = state.replicated.pending_change().map(|change| change.stage);
        if change.is_none() && !state.is_committed && !state.is_aborted {
            actions.push(Action::Propose);
        }
        for (at, member) in state.members.iter().enumerate().filter(|(_, member)| member.is_running) {
            if state.responses.len() < if self.is_small { 1 } else { 2 } {
                actions.push(Action::Heartbeat(at, false));
                if change == Some(Stage::Preparing) && !state.prepared.contains(&key(at)) {
                    actions.push(Action::Heartbeat(at, true));
                }
            }
            if !member.stored.is_empty() && !self.is_small {
                actions.push(Action::LoseDisk(at));
            }
        }
        actions.extend(
            state
                .responses
                .iter()
                .map(|response| Action::ReceiveResponse(response.0, response.1, response.2, response.3)),
        );
        let expired = state.last_contact.iter().filter(|(_, at)| state.now > **at + LEASE_STEPS);
        actions.extend(expired.map(|(key, _)| Action::Expire(*key)));
        let can_join = !state.members[2].is_running && !state.members[2].is_dead;
        if can_join && !self.is_small {
            actions.push(Action::Join);
        }
        if change == Some(Stage::Preparing) {
            actions.push(Action::Decide(true));
            if state.members.iter().any(|member| member.refuses) {
                actions.push(Action::Decide(false));
            }
        }
        if change == Some(Stage::Barrier) {
            actions.push(Action::Activate);
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        let change = state
            .replicated
            .pending_change()
            .map_or((0, None), |change| (change.version.number, Some(change.stage)));
        match action {
            Action::AdvanceTime => next.now += 1,
            Action::Propose => {
                let rules = Rules { barrier: self.barrier, ..Rules::default() };
                apply(
                    &mut next,
                    &Command::Propose(Version { rules, at_ms: 1, hash: 9, ..Version::default() }),
                );
            }
            Action::Heartbeat(at, votes) => {
                let key = key(at);
                if !state.replicated.members().contains_key(&key) {
                    // The member's lease has expired at the replicas: the member has to join again and receives no response.
                    return None;
                }
                if votes && next.members[at].refuses {
                    return None;
                }
                if votes {
                    next.prepared.insert(key);
                    if !self.vote_before_write {
                        next.members[at].stored.insert(change.0);
                    }
                }
                if next.members[at].is_paused {
                    next.paused.insert(key);
                }
                next.last_contact.insert(key, state.now);
                let pause = change.1 == Some(Stage::Barrier);
                next.responses.insert((at, state.now, state.replicated.active().number, pause));
            }
            Action::ReceiveResponse(at, sent_at, version, pause) => {
                next.responses.remove(&(at, sent_at, version, pause));
                let member = &mut next.members[at];
                if !member.is_running || version < member.active {
                    return Some(next);
                }
                if version > member.active && !member.stored.contains(&version) {
                    // The member fetches the version first. If it had paused for the change, the former version must not be used again.
                    if member.is_paused {
                        (member.lease_ends_at, member.is_paused) = (0, false);
                    }
                    member.stored.insert(version);
                    return Some(next);
                }
                if version > member.active {
                    (member.active, member.is_paused) = (version, false);
                }
                member.lease_ends_at = member.lease_ends_at.max(sent_at + LEASE_STEPS);
                member.is_paused |= pause;
            }
            Action::Expire(key) => {
                apply(&mut next, &Command::End { key, left: false });
                next.last_contact.remove(&key);
                next.prepared.remove(&key);
                next.paused.remove(&key);
            }
            Action::Join => {
                apply(&mut next, &Command::Join { key: key(2), name: "m2".into() });
                next.members[2] =
                    ModelMember { is_running: true, lease_ends_at: 0, ..ModelMember::default() };
                next.last_contact.insert(key(2), state.now);
            }
            Action::Decide(should_commit) => {
                let all_prepared = state.replicated.members().keys().all(|key| state.prepared.contains(key));
                let any_prepared = !state.prepared.is_empty();
                if should_commit
                    && !(all_prepared || self.commit_on_timeout || (self.ignore_generation && any_prepared))
                {
                    return None;
                }
                let generation = state.replicated.generation();
                let decide = Command::Decide {
                    number: change.0,
                    generation,
                    commit: should_commit,
                    reason: String::new(),
                };
                if apply(&mut next, &decide) != Outcome::Done {
                    return None;
                }
                (next.is_committed, next.is_aborted) = (should_commit, !should_commit);
            }
            Action::Activate => {
                let all_paused = state.replicated.members().keys().all(|key| state.paused.contains(key));
                if !all_paused {
                    return None;
                }
                let activate =
                    Command::Activate { number: change.0, generation: state.replicated.generation() };
                if apply(&mut next, &activate) != Outcome::Done {
                    return None;
                }
            }
            Action::LoseDisk(at) => {
                // The process has ended. A restart is a new incarnation, which is counted separately. The replicas notice neither.
                next.members[at] = ModelMember {
                    refuses: state.members[at].refuses,
                    is_dead: true,
                    ..ModelMember::default()
                };
                next.responses.retain(|response| response.0 != at);
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<RolloutModel>> {
        vec![
            Property::always(
                "no member serves under a version that was not committed",
                |model: &RolloutModel, state: &State| {
                    (0..3).all(|at| {
                        model
                            .served_version(state, at)
                            .is_none_or(|version| version == 0 || state.is_committed)
                    })
                },
            ),
            Property::always(
                "an active version was checked by all current members",
                |model: &RolloutModel, state: &State| {
                    let is_active = state.replicated.active().number > 0;
                    let prepared_or_gone = |at: usize| {
                        let is_member = state.replicated.members().contains_key(&key(at));
                        !is_member
                            || state.prepared.contains(&key(at))
                            || at == 2
                            || !state.members[at].refuses
                    };
                    !is_active
                        || model.commit_on_timeout
                        || model.ignore_generation
                        || (0..3).all(prepared_or_gone)
                },
            ),
            Property::always(
                "no removed member serves under the former version beside a committed one",
                |model: &RolloutModel, state: &State| {
                    // A change that is committed without a member's vote requires that the member's lease has ended.
                    !state.is_committed
                        || (0..3).all(|at| {
                            let is_removed = !state.replicated.members().contains_key(&key(at));
                            !is_removed
                                || model
                                    .served_version(state, at)
                                    .is_none_or(|version| version == state.replicated.active().number)
                        })
                },
            ),
            Property::always("every current member has voted to commit", |_, state: &State| {
                // This holds at the time of the decision. Members that join later receive the version before they serve.
                let is_pending = state.replicated.pending_change().is_some();
                is_pending
                    || !state.is_committed
                    || state.replicated.members().keys().all(|key| key.0 == 3 || state.prepared.contains(key))
            }),
            Property::always(
                "with a barrier no two versions are served at the same time",
                |model: &RolloutModel, state: &State| {
                    let versions: BTreeSet<u64> =
                        (0..3).filter_map(|at| model.served_version(state, at)).collect();
                    !model.barrier || versions.len() <= 1
                },
            ),
            Property::always("a voted version is on the disk", |_, state: &State| {
                let Some(change) = state.replicated.pending_change() else { return true };
                let number = change.version.number;
                state.prepared.iter().all(|key| {
                    let member = &state.members[key.0 as usize - 1];
                    member.stored.contains(&number) || !member.is_running
                })
            }),
            Property::sometimes("the change becomes active", |_, state: &State| {
                state.replicated.active().number > 0
            }),
            Property::sometimes("the change is aborted", |_, state: &State| state.is_aborted),
        ]
    }
}

fn violations(model: RolloutModel, max_states: usize) -> Vec<&'static str> {
    let checker = model.checker().target_state_count(max_states).spawn_bfs().join();
    let is_violation =
        |name: &&&str| !matches!(**name, "the change becomes active" | "the change is aborted");
    checker.discoveries().keys().filter(is_violation).copied().collect()
}

#[test]
fn the_rules_hold_in_all_orders_of_events() {
    assert_eq!(violations(RolloutModel::default(), 400_000), Vec::<&str>::new());
    assert_eq!(
        violations(RolloutModel { barrier: true, ..RolloutModel::default() }, 400_000),
        Vec::<&str>::new()
    );
    for barrier in [false, true] {
        assert_eq!(
            violations(RolloutModel { barrier, is_small: true, ..RolloutModel::default() }, 1_000_000),
            Vec::<&str>::new()
        );
    }
}

#[test]
fn a_change_can_become_active_and_can_be_aborted() {
    for barrier in [false, true] {
        let checker = RolloutModel { barrier, ..RolloutModel::default() }
            .checker()
            .target_state_count(250_000)
            .spawn_bfs()
            .join();
        checker.assert_any_discovery("the change becomes active");
        checker.assert_any_discovery("the change is aborted");
    }
}

#[test]
fn each_disabled_safeguard_is_detected() {
    let assert_detected = |model: RolloutModel, property: &str| {
        let violations = violations(model, 250_000);
        assert!(violations.contains(&property), "{violations:?}");
    };
    assert_detected(
        RolloutModel { commit_on_timeout: true, ..RolloutModel::default() },
        "every current member has voted to commit",
    );
    assert_detected(
        RolloutModel { ignore_generation: true, ..RolloutModel::default() },
        "every current member has voted to commit",
    );
    assert_detected(
        RolloutModel { vote_before_write: true, ..RolloutModel::default() },
        "a voted version is on the disk",
    );
    assert_detected(
        RolloutModel { ignore_lease_end: true, ..RolloutModel::default() },
        "no removed member serves under the former version beside a committed one",
    );
    assert_detected(
        RolloutModel { ignore_lease_end: true, barrier: true, is_small: true, ..RolloutModel::default() },
        "with a barrier no two versions are served at the same time",
    );
}
