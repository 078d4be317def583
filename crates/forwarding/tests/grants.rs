//! Grants, model-checked over all orders of what can happen to two planners and two forwarders.

use cypresscleat_forwarding::grants::{
    GrantHeader, GrantRejection, GrantTable, LeadershipChange, PlannerElection, GRANT_DURATION,
    MAX_CLOCK_SKEW, MAX_GRANTED_SLOTS,
};
use cypresscleat_forwarding::messages::Grant;
use cypresscleat_forwarding::Time;
use stateright::{Checker, Model, Property};

/// Header of grants of an epoch and number, which hold so long.
fn header(epoch: u64, number: u64, duration: Time) -> GrantHeader {
    GrantHeader { epoch, number, duration }
}

/// Two planners, two forwarders, a worker with two concurrency slots. Each planner gives all of them to another forwarder, which is the
/// worst it can do to the other's grants.
#[derive(Clone)]
struct Grants {
    /// Whether a planner is believed dead only once it is.
    true_deaths: bool,
    wait: Time,
    steps: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct GrantsState {
    now: Time,
    steps: u8,
    /// Changes of who leads so far: epochs grow with each, so they are bounded.
    turns: u8,
    leads: [PlannerElection; 2],
    alive: [bool; 2],
    sees: [bool; 2],
    held: [GrantTable; 2],
    asked: [u32; 2],
    mail: Vec<(usize, u64, u64, u32)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Time,
    Die(usize),
    Sees(usize, bool),
    Asks(usize),
    Gives(usize),
    Arrives(usize),
    Lost(usize),
    Hears(usize, usize),
}

const PLACES: u32 = 2;
const TURNS: u8 = 2;

impl Model for Grants {
    type State = GrantsState;
    type Action = Act;

    fn init_states(&self) -> Vec<GrantsState> {
        let mut leads = [PlannerElection::with_wait(1, self.wait), PlannerElection::with_wait(2, self.wait)];
        // The first has led for long.
        leads[0].update_planners(-4 * GRANT_DURATION, [2].into_iter());
        let (alive, sees, held, asked, mail) =
            ([true, true], [true, true], Default::default(), [0, 0], Vec::new());
        vec![GrantsState { now: 0, steps: 0, turns: 0, leads, alive, sees, held, asked, mail }]
    }

    fn actions(&self, state: &GrantsState, actions: &mut Vec<Act>) {
        if state.steps < self.steps {
            actions.push(Act::Time);
        }
        for planner in 0..2 {
            if state.alive[planner] {
                if planner == 0 {
                    actions.push(Act::Die(0));
                }
                if state.leads[planner].is_leader() && state.mail.len() < 2 && state.steps < self.steps {
                    actions.push(Act::Gives(planner));
                }
                for forwarder in 0..2 {
                    if state.turns < TURNS && state.held[forwarder].epoch() > state.leads[planner].epoch() {
                        actions.push(Act::Hears(planner, forwarder));
                    }
                }
            }
        }
        // Only the second waits for the first to go.
        let may = state.turns < TURNS && (!self.true_deaths || !state.alive[0]);
        if state.sees[1] && may {
            actions.push(Act::Sees(1, false));
        }
        if state.turns < TURNS && !state.sees[1] && state.alive[0] {
            actions.push(Act::Sees(1, true));
        }
        for forwarder in 0..2 {
            if state.asked[forwarder] < 1 || state.asked[forwarder] < 2 && state.steps > 1 {
                actions.push(Act::Asks(forwarder));
            }
        }
        for at in 0..state.mail.len() {
            actions.extend([Act::Arrives(at), Act::Lost(at)]);
        }
    }

    fn next_state(&self, state: &GrantsState, action: Act) -> Option<GrantsState> {
        let mut next = state.clone();
        let now = state.now;
        match action {
            Act::Time => (next.now, next.steps) = (now + GRANT_DURATION / 2, state.steps + 1),
            Act::Die(planner) => next.alive[planner] = false,
            Act::Sees(planner, sees) => {
                next.sees[planner] = sees;
                next.turns += 1;
                let others = if sees { vec![1] } else { Vec::new() };
                next.leads[planner].update_planners(now, others.into_iter());
            }
            Act::Asks(forwarder) => next.asked[forwarder] = next.held[forwarder].start_report(now),
            Act::Gives(planner) => {
                let GrantHeader { epoch, number, .. } = next.leads[planner].next_grant(now)?;
                let answers = state.asked[planner];
                if number > 2 || answers == 0 {
                    return None;
                }
                next.mail.push((planner, epoch, number, answers));
                next.mail.sort_unstable();
            }
            Act::Arrives(at) => {
                let (to, epoch, number, answers) = next.mail.remove(at);
                let grant = [Grant { worker: 9, slots: PLACES }];
                let _ = next.held[to].accept(now, header(epoch, number, GRANT_DURATION), answers, &grant);
            }
            Act::Lost(at) => drop(next.mail.remove(at)),
            Act::Hears(planner, forwarder) => {
                let epoch = state.held[forwarder].epoch();
                next.leads[planner].observe_epoch(now, epoch)?;
                next.turns += 1;
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn out(state: &GrantsState) -> u32 {
            state.held.iter().map(|held| held.slots(state.now, 9).unwrap_or(0)).sum()
        }
        vec![
            Property::always("twice the places at the most", |_, state: &GrantsState| {
                out(state) <= 2 * PLACES
            }),
            Property::always(
                "the places at the most, where deaths are true",
                |model: &Grants, state: &GrantsState| !model.true_deaths || out(state) <= PLACES,
            ),
            Property::sometimes("the second gives out", |_, state: &GrantsState| {
                state.held[1].slots(state.now, 9) == Some(PLACES)
            }),
        ]
    }
}

/// Checked over all orders of what can happen in three lifetimes of grants.
#[test]
fn grants_of_two_planners_never_hold_at_once_past_the_bound() {
    for true_deaths in [true, false] {
        let checker = Grants { true_deaths, wait: GRANT_DURATION + MAX_CLOCK_SKEW, steps: 5 }
            .checker()
            .threads(4)
            .spawn_bfs()
            .join();
        assert!(checker.unique_state_count() > 10_000, "{} states", checker.unique_state_count());
        checker.assert_properties();
    }
}

/// The same with the rule broken that one who comes to lead waits: the checker finds it.
#[test]
fn without_the_wait_the_places_are_given_out_twice() {
    let checker = Grants { true_deaths: true, wait: 0, steps: 5 }.checker().threads(4).spawn_bfs().join();
    assert!(checker.discovery("the places at the most, where deaths are true").is_some());
}

#[test]
fn rejects_stale_expired_duplicate_and_unknown_grants() {
    let grant = [Grant { worker: 9, slots: 4 }];
    let mut held = GrantTable::default();
    let first = held.start_report(0);
    assert_eq!(held.accept(10, header(5, 1, GRANT_DURATION), first, &grant), Ok(()));
    assert_eq!((held.slots(20, 9), held.slots(20, 8), held.total_slots(20)), (Some(4), Some(0), 4));
    assert_eq!(held.accept(20, header(5, 1, GRANT_DURATION), first, &grant), Err(GrantRejection::Duplicate));
    assert_eq!(held.accept(20, header(4, 9, GRANT_DURATION), first, &grant), Err(GrantRejection::StaleEpoch));
    assert_eq!(held.slots(GRANT_DURATION, 9), None, "they end by themselves, counted from the report");
    let second = held.start_report(GRANT_DURATION);
    assert_eq!(
        held.accept(3 * GRANT_DURATION, header(5, 2, GRANT_DURATION), second, &grant),
        Err(GrantRejection::Expired)
    );
    assert_eq!(
        held.accept(3 * GRANT_DURATION, header(5, 3, GRANT_DURATION), 99, &grant),
        Err(GrantRejection::UnknownReport)
    );
    let third = held.start_report(3 * GRANT_DURATION);
    let mad = [Grant { worker: 1, slots: u32::MAX }, Grant { worker: 2, slots: u32::MAX }];
    let mut fooled = held.clone();
    assert_eq!(fooled.accept(3 * GRANT_DURATION, header(5, 4, GRANT_DURATION), third, &mad), Ok(()));
    assert_eq!(
        fooled.total_slots(3 * GRANT_DURATION),
        2 * u64::from(MAX_GRANTED_SLOTS),
        "figures out of proportion"
    );
    assert_eq!(held.accept(3 * GRANT_DURATION, header(5, 4, GRANT_DURATION * 9), third, &grant), Ok(()));
    assert_eq!(held.valid_until(), 4 * GRANT_DURATION, "no longer than the rule, whatever is said");
    assert_eq!(
        held.accept(3 * GRANT_DURATION, header(6, 1, GRANT_DURATION), 98, &grant),
        Err(GrantRejection::UnknownReport)
    );
    assert!(!held.is_valid(3 * GRANT_DURATION), "a newer epoch ends the older one's");
    let mut lead = PlannerElection::new(3);
    assert!(matches!(lead.update_planners(0, [].into_iter()), Some(LeadershipChange::BecameLeader { .. })));
    assert_eq!(lead.next_grant(GRANT_DURATION), None);
    assert!(lead.next_grant(GRANT_DURATION + MAX_CLOCK_SKEW).is_some());
    assert_eq!(
        lead.update_planners(GRANT_DURATION * 2, [1].into_iter()),
        Some(LeadershipChange::BecameFollower)
    );
    assert_eq!(lead.next_grant(GRANT_DURATION * 2), None);
}
