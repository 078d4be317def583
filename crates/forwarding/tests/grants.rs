//! Grants, model-checked over all orders of events with two planners and two forwarders.

use cypresscleat_forwarding::grants::{
    GrantHeader, GrantRejection, GrantTable, LeadershipChange, PlannerElection, GRANT_DURATION,
    MAX_CLOCK_SKEW, MAX_GRANTED_SLOTS,
};
use cypresscleat_forwarding::messages::Grant;
use cypresscleat_forwarding::Time;
use stateright::{Checker, Model, Property};

/// Header of grants of an epoch and number with this duration.
fn header(epoch: u64, number: u64, duration: Time) -> GrantHeader {
    GrantHeader { epoch, number, duration }
}

/// Two planners, two forwarders, a worker with two concurrency slots. Each planner grants all slots to a different forwarder, which
/// is the worst case for the other planner's grants.
#[derive(Clone)]
struct Grants {
    /// Whether a planner counts as dead only after its death.
    accurate_detection: bool,
    wait: Time,
    half_durations: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct GrantsState {
    now: Time,
    half_durations: u8,
    /// Number of leader changes so far. Epochs grow with each change, so the model bounds this number.
    leader_changes: u8,
    elections: [PlannerElection; 2],
    alive: [bool; 2],
    is_visible: [bool; 2],
    tables: [GrantTable; 2],
    last_reports: [u32; 2],
    messages: Vec<(usize, u64, u64, u32)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Time,
    Stop(usize),
    SetVisible(usize, bool),
    SendReport(usize),
    SendGrants(usize),
    Deliver(usize),
    Drop(usize),
    ObserveEpoch(usize, usize),
}

const SLOTS: u32 = 2;
const MAX_LEADER_CHANGES: u8 = 2;

impl Model for Grants {
    type State = GrantsState;
    type Action = Action;

    fn init_states(&self) -> Vec<GrantsState> {
        let mut elections = [
            PlannerElection::with_grant_delay(1, self.wait),
            PlannerElection::with_grant_delay(2, self.wait),
        ];
        // The first planner has led for long enough to grant.
        elections[0].update_planners(-4 * GRANT_DURATION, [2].into_iter());
        let (alive, is_visible, tables, last_reports, messages) =
            ([true, true], [true, true], Default::default(), [0, 0], Vec::new());
        vec![GrantsState {
            now: 0,
            half_durations: 0,
            leader_changes: 0,
            elections,
            alive,
            is_visible,
            tables,
            last_reports,
            messages,
        }]
    }

    fn actions(&self, state: &GrantsState, actions: &mut Vec<Action>) {
        if state.half_durations < self.half_durations {
            actions.push(Action::Time);
        }
        for planner in 0..2 {
            if state.alive[planner] {
                if planner == 0 {
                    actions.push(Action::Stop(0));
                }
                if state.elections[planner].is_leader()
                    && state.messages.len() < 2
                    && state.half_durations < self.half_durations
                {
                    actions.push(Action::SendGrants(planner));
                }
                for forwarder in 0..2 {
                    if state.leader_changes < MAX_LEADER_CHANGES
                        && state.tables[forwarder].epoch() > state.elections[planner].epoch()
                    {
                        actions.push(Action::ObserveEpoch(planner, forwarder));
                    }
                }
            }
        }
        // Only the second planner can lose sight of the first.
        let can_lose_sight =
            state.leader_changes < MAX_LEADER_CHANGES && (!self.accurate_detection || !state.alive[0]);
        if state.is_visible[1] && can_lose_sight {
            actions.push(Action::SetVisible(1, false));
        }
        if state.leader_changes < MAX_LEADER_CHANGES && !state.is_visible[1] && state.alive[0] {
            actions.push(Action::SetVisible(1, true));
        }
        for forwarder in 0..2 {
            if state.last_reports[forwarder] < 1
                || state.last_reports[forwarder] < 2 && state.half_durations > 1
            {
                actions.push(Action::SendReport(forwarder));
            }
        }
        for index in 0..state.messages.len() {
            actions.extend([Action::Deliver(index), Action::Drop(index)]);
        }
    }

    fn next_state(&self, state: &GrantsState, action: Action) -> Option<GrantsState> {
        let mut next = state.clone();
        let now = state.now;
        match action {
            Action::Time => {
                (next.now, next.half_durations) = (now + GRANT_DURATION / 2, state.half_durations + 1)
            }
            Action::Stop(planner) => next.alive[planner] = false,
            Action::SetVisible(planner, is_visible) => {
                next.is_visible[planner] = is_visible;
                next.leader_changes += 1;
                let others = if is_visible { vec![1] } else { Vec::new() };
                next.elections[planner].update_planners(now, others.into_iter());
            }
            Action::SendReport(forwarder) => {
                next.last_reports[forwarder] = next.tables[forwarder].start_report(now)
            }
            Action::SendGrants(planner) => {
                let GrantHeader { epoch, number, .. } = next.elections[planner].next_grant(now)?;
                let report = state.last_reports[planner];
                if number > 2 || report == 0 {
                    return None;
                }
                next.messages.push((planner, epoch, number, report));
                next.messages.sort_unstable();
            }
            Action::Deliver(index) => {
                let (to, epoch, number, report) = next.messages.remove(index);
                let grant = [Grant { worker: 9, slots: SLOTS }];
                let _ = next.tables[to].accept(now, header(epoch, number, GRANT_DURATION), report, &grant);
            }
            Action::Drop(index) => drop(next.messages.remove(index)),
            Action::ObserveEpoch(planner, forwarder) => {
                let epoch = state.tables[forwarder].epoch();
                next.elections[planner].observe_epoch(now, epoch)?;
                next.leader_changes += 1;
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn granted_slots(state: &GrantsState) -> u32 {
            state.tables.iter().map(|table| table.slots(state.now, 9).unwrap_or(0)).sum()
        }
        vec![
            Property::always("at most twice the slots", |_, state: &GrantsState| {
                granted_slots(state) <= 2 * SLOTS
            }),
            Property::always(
                "at most the slots with accurate death detection",
                |model: &Grants, state: &GrantsState| {
                    !model.accurate_detection || granted_slots(state) <= SLOTS
                },
            ),
            Property::sometimes("the second planner grants slots", |_, state: &GrantsState| {
                state.tables[1].slots(state.now, 9) == Some(SLOTS)
            }),
        ]
    }
}

/// Checked over all orders of events within three grant durations.
#[test]
fn grants_of_two_planners_never_hold_at_once_past_the_bound() {
    for accurate_detection in [true, false] {
        let checker = Grants { accurate_detection, wait: GRANT_DURATION + MAX_CLOCK_SKEW, half_durations: 5 }
            .checker()
            .threads(4)
            .spawn_bfs()
            .join();
        assert!(checker.unique_state_count() > 10_000, "{} states", checker.unique_state_count());
        checker.assert_properties();
    }
}

/// With the wait of a new leader disabled, the checker finds slots that are granted twice.
#[test]
fn without_the_wait_slots_are_granted_twice() {
    let checker = Grants { accurate_detection: true, wait: 0, half_durations: 5 }
        .checker()
        .threads(4)
        .spawn_bfs()
        .join();
    assert!(checker.discovery("at most the slots with accurate death detection").is_some());
}

#[test]
fn rejects_stale_expired_duplicate_and_unknown_grants() {
    let grant = [Grant { worker: 9, slots: 4 }];
    let mut table = GrantTable::default();
    let first = table.start_report(0);
    assert_eq!(table.accept(10, header(5, 1, GRANT_DURATION), first, &grant), Ok(()));
    assert_eq!((table.slots(20, 9), table.slots(20, 8), table.total_slots(20)), (Some(4), Some(0), 4));
    assert_eq!(table.accept(20, header(5, 1, GRANT_DURATION), first, &grant), Err(GrantRejection::Duplicate));
    assert_eq!(
        table.accept(20, header(4, 9, GRANT_DURATION), first, &grant),
        Err(GrantRejection::StaleEpoch)
    );
    assert_eq!(
        table.slots(GRANT_DURATION, 9),
        None,
        "grants end by themselves, counted from the load report"
    );
    let second = table.start_report(GRANT_DURATION);
    assert_eq!(
        table.accept(3 * GRANT_DURATION, header(5, 2, GRANT_DURATION), second, &grant),
        Err(GrantRejection::Expired)
    );
    assert_eq!(
        table.accept(3 * GRANT_DURATION, header(5, 3, GRANT_DURATION), 99, &grant),
        Err(GrantRejection::UnknownReport)
    );
    let third = table.start_report(3 * GRANT_DURATION);
    let oversized = [Grant { worker: 1, slots: u32::MAX }, Grant { worker: 2, slots: u32::MAX }];
    let mut oversized_table = table.clone();
    assert_eq!(
        oversized_table.accept(3 * GRANT_DURATION, header(5, 4, GRANT_DURATION), third, &oversized),
        Ok(())
    );
    assert_eq!(
        oversized_table.total_slots(3 * GRANT_DURATION),
        2 * u64::from(MAX_GRANTED_SLOTS),
        "the slots of each grant are bounded"
    );
    assert_eq!(table.accept(3 * GRANT_DURATION, header(5, 4, GRANT_DURATION * 9), third, &grant), Ok(()));
    assert_eq!(
        table.valid_until(),
        4 * GRANT_DURATION,
        "the duration is bounded, whatever the planner sends"
    );
    assert_eq!(
        table.accept(3 * GRANT_DURATION, header(6, 1, GRANT_DURATION), 98, &grant),
        Err(GrantRejection::UnknownReport)
    );
    assert!(!table.is_valid(3 * GRANT_DURATION), "a newer epoch ends the grants of the older one");
    let mut election = PlannerElection::new(3);
    assert!(matches!(
        election.update_planners(0, [].into_iter()),
        Some(LeadershipChange::BecameLeader { .. })
    ));
    assert_eq!(election.next_grant(GRANT_DURATION), None);
    assert!(election.next_grant(GRANT_DURATION + MAX_CLOCK_SKEW).is_some());
    assert_eq!(
        election.update_planners(GRANT_DURATION * 2, [1].into_iter()),
        Some(LeadershipChange::BecameFollower)
    );
    assert_eq!(election.next_grant(GRANT_DURATION * 2), None);
}
