//! The deciders of the two levels: messages and membership under loss and cuts, grants model-checked, plans, routes, tries.
//! Seeds are printed with each failure.

use cypresscleat_forwarding::capacity_plan::CapacityPlan;
use cypresscleat_forwarding::dispatch_mode::{DispatchMode, RECOVERY_STEPS, RECOVERY_STEP_DURATION};
use cypresscleat_forwarding::grants::{
    GrantRejection, GrantTable, LeadershipChange, PlannerElection, GRANT_DURATION, MAX_CLOCK_SKEW,
};
use cypresscleat_forwarding::load_balancer::{AttemptOutcome, LoadBalancer};
use cypresscleat_forwarding::membership::{Membership, MembershipConfig};
use cypresscleat_forwarding::messages::{self, *};
use cypresscleat_forwarding::retry_budget::{
    Execution, RetryBudget, RetryCounts, RetryRequest, MIN_RETRIES_PER_SECOND, RETRY_RATIO,
};
use cypresscleat_forwarding::simulation::{member_id, NetworkConditions, Simulation};
use cypresscleat_forwarding::{dispatch_mode, NodeId, Time, MS, SECOND};
use proptest::prelude::*;
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;
use std::net::SocketAddr;

// ---- messages ----

fn rumour(number: u64) -> GossipUpdate {
    let address = SocketAddr::from(([127, 0, 0, 1], number as u16));
    GossipUpdate { id: number, role: Role::Worker, address, incarnation: 3, state: MemberState::Suspect }
}

fn envelopes() -> Vec<Envelope> {
    let demand = Demand { class: 3, rate: 12.5, queued: 4, weight: 3.0 };
    let sight = WorkerObservation { worker: 9, in_flight: 2, ended: 10.0, rejected: 0.5, latency: 120.0 };
    let all = [
        Message::Ping { number: 7 },
        Message::PingRequest { number: 7, target: 9, address: SocketAddr::from(([127, 0, 0, 1], 80)) },
        Message::Join,
        Message::MemberList { members: (0..20).map(rumour).collect() },
        Message::Report(LoadReport { number: 1, demands: vec![demand], observations: vec![sight], epoch: 5 }),
        Message::Grants {
            epoch: 5,
            number: 6,
            report: 1,
            duration: GRANT_DURATION,
            grants: vec![Grant { worker: 9, places: 3 }],
        },
    ];
    let with = |message| Envelope { from: 1, incarnation: 2, updates: vec![rumour(5)], message };
    all.into_iter().map(with).collect()
}

#[test]
fn messages_are_read_at_every_cut_and_bounds_hold() {
    let mut all = Vec::new();
    for envelope in envelopes() {
        let mut bytes = Vec::new();
        assert!(messages::encode(&mut bytes, &envelope));
        for cut in 0..bytes.len() {
            assert_eq!(messages::decode(&bytes[..cut]), Decoded::Incomplete);
        }
        all.extend(&bytes);
        let size = bytes.len();
        bytes.extend([1, 2, 3]);
        assert_eq!(messages::decode(&bytes), Decoded::Message(envelope, size));
        bytes[4] = VERSION + 1;
        assert_eq!(messages::decode(&bytes), Decoded::Unknown(size), "another version is skipped whole");
    }
    let mut rest = &all[..];
    let mut read = Vec::new();
    while let Decoded::Message(envelope, size) = messages::decode(rest) {
        read.push(envelope);
        rest = &rest[size..];
    }
    assert_eq!(read, envelopes());
    assert!(matches!(messages::decode(&u32::MAX.to_be_bytes()), Decoded::Malformed(_)));
    assert!(matches!(messages::decode(&[0; 4]), Decoded::Malformed(_)));
    let many = Message::MemberList { members: (0..600).map(rumour).collect() };
    let mut bytes = Vec::new();
    assert!(messages::encode(
        &mut bytes,
        &Envelope { from: 1, incarnation: 1, updates: vec![], message: many }
    ));
    assert!(matches!(messages::decode(&bytes), Decoded::Malformed(_)));
    let long = Message::MemberList { members: (0..20_000).map(rumour).collect() };
    let mut bytes = Vec::new();
    assert!(!messages::encode(
        &mut bytes,
        &Envelope { from: 1, incarnation: 1, updates: vec![], message: long }
    ));
    assert!(bytes.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 20_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_panic(which in 0..6usize, at in any::<usize>(), byte in any::<u8>(), cut in any::<bool>()) {
        let mut bytes = Vec::new();
        messages::encode(&mut bytes, &envelopes()[which]);
        let at = at % bytes.len();
        if cut {
            bytes.truncate(at);
        } else {
            bytes[at] = byte;
        }
        let _ = messages::decode(&bytes);
    }
}

// ---- membership ----

fn net(loss: f64) -> NetworkConditions {
    NetworkConditions { loss, delay: (2, 20), cut: None }
}

/// How many hold it for one that is here, suspected or not: under loss there is always some suspicion on its way.
fn here(world: &Simulation, at: usize) -> usize {
    world.count_agreeing(at, MemberState::Alive) + world.count_agreeing(at, MemberState::Suspect)
}

#[test]
fn all_learn_of_all_and_of_a_death_in_time() {
    for (seed, loss) in [(1, 0.0), (2, 0.01), (3, 0.1)] {
        let mut world = Simulation::new(60, MembershipConfig::default(), net(loss), seed);
        world.run(12 * SECOND);
        for at in 0..60 {
            assert_eq!(here(&world, at), 59, "seed {seed}: of {at}");
        }
        world.kill(30);
        let died = world.now;
        world.run(died + 25 * SECOND);
        assert_eq!(world.count_agreeing(30, MemberState::Dead), 59, "seed {seed}");
        // It comes back under its old address, knowing nothing of before: told that it is dead, it says otherwise.
        world.start(30, world.now, 1);
        world.run(world.now + 20 * SECOND);
        assert_eq!(here(&world, 30), 59, "seed {seed}");
    }
}

#[test]
fn a_drain_and_a_leave_are_told_not_detected() {
    let mut world = Simulation::new(40, MembershipConfig::default(), net(0.05), 5);
    world.run(10 * SECOND);
    world.members[7].as_mut().expect("it is here").announce_draining();
    world.run(world.now + 5 * SECOND);
    assert_eq!(world.count_agreeing(7, MemberState::Draining), 39);
    let out = world.members[7].as_mut().expect("it is here").announce_leaving();
    world.send(7, out);
    world.kill(7);
    world.run(world.now + 5 * SECOND);
    assert_eq!(world.count_agreeing(7, MemberState::Left), 39, "long before a failure would be found");
}

#[test]
fn a_cut_heals_and_one_way_loss_kills_nobody() {
    for one_way in [false, true] {
        let mut world = Simulation::new(30, MembershipConfig::default(), net(0.01), 9);
        world.run(10 * SECOND);
        world.members.iter_mut().flatten().for_each(|member| drop(member.take_changes()));
        // Five are cut off for 4 s: longer than one probe, shorter than a suspicion lasts.
        let now = world.now;
        world
            .inject_faults(NetworkConditions { cut: Some((5, now, now + 4 * SECOND, one_way)), ..net(0.01) });
        world.run(now + 20 * SECOND);
        for at in 0..30 {
            assert_eq!(here(&world, at), 29, "one way {one_way}: of {at}");
        }
        // For long: each side holds the other for dead, and both come back together.
        let now = world.now;
        world.inject_faults(NetworkConditions { cut: Some((5, now, now + 30 * SECOND, false)), ..net(0.01) });
        world.run(now + 30 * SECOND);
        assert!(
            world.count_agreeing(0, MemberState::Dead) >= 20,
            "{}",
            world.count_agreeing(0, MemberState::Dead)
        );
        world.run(world.now + 60 * SECOND);
        for at in 0..30 {
            assert_eq!(here(&world, at), 29, "one way {one_way}: of {at} after the cut");
        }
    }
}

// ---- grants ----

/// Two planners, two forwarders, a worker with two places. Each planner gives all of them to another forwarder, which is the
/// worst it can do to the other's grants.
#[derive(Clone)]
struct Grants {
    /// Whether a planner is believed dead only once it is.
    true_deaths: bool,
    wait: Time,
    steps: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World2 {
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
    type State = World2;
    type Action = Act;

    fn init_states(&self) -> Vec<World2> {
        let mut leads = [PlannerElection::with_wait(1, self.wait), PlannerElection::with_wait(2, self.wait)];
        // The first has led for long.
        leads[0].update_planners(-4 * GRANT_DURATION, [2].into_iter());
        let (alive, sees, held, asked, mail) =
            ([true, true], [true, true], Default::default(), [0, 0], Vec::new());
        vec![World2 { now: 0, steps: 0, turns: 0, leads, alive, sees, held, asked, mail }]
    }

    fn actions(&self, state: &World2, actions: &mut Vec<Act>) {
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

    fn next_state(&self, state: &World2, action: Act) -> Option<World2> {
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
                let (epoch, number) = next.leads[planner].next_grant(now)?;
                let answers = state.asked[planner];
                if number > 2 || answers == 0 {
                    return None;
                }
                next.mail.push((planner, epoch, number, answers));
                next.mail.sort_unstable();
            }
            Act::Arrives(at) => {
                let (to, epoch, number, answers) = next.mail.remove(at);
                let grant = [Grant { worker: 9, places: PLACES }];
                let _ = next.held[to].accept(now, (epoch, number, answers), GRANT_DURATION, &grant);
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
        fn out(state: &World2) -> u32 {
            state.held.iter().map(|held| held.places(state.now, 9).unwrap_or(0)).sum()
        }
        vec![
            Property::always("twice the places at the most", |_, state: &World2| out(state) <= 2 * PLACES),
            Property::always(
                "the places at the most, where deaths are true",
                |model: &Grants, state: &World2| !model.true_deaths || out(state) <= PLACES,
            ),
            Property::sometimes("the second gives out", |_, state: &World2| {
                state.held[1].places(state.now, 9) == Some(PLACES)
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
fn old_late_doubled_and_unasked_grants_are_not_taken() {
    let grant = [Grant { worker: 9, places: 4 }];
    let mut held = GrantTable::default();
    let first = held.start_report(0);
    assert_eq!(held.accept(10, (5, 1, first), GRANT_DURATION, &grant), Ok(()));
    assert_eq!((held.places(20, 9), held.places(20, 8), held.total_places(20)), (Some(4), Some(0), 4));
    assert_eq!(held.accept(20, (5, 1, first), GRANT_DURATION, &grant), Err(GrantRejection::Duplicate));
    assert_eq!(held.accept(20, (4, 9, first), GRANT_DURATION, &grant), Err(GrantRejection::StaleEpoch));
    assert_eq!(held.places(GRANT_DURATION, 9), None, "they end by themselves, counted from the report");
    let second = held.start_report(GRANT_DURATION);
    assert_eq!(
        held.accept(3 * GRANT_DURATION, (5, 2, second), GRANT_DURATION, &grant),
        Err(GrantRejection::Expired)
    );
    assert_eq!(
        held.accept(3 * GRANT_DURATION, (5, 3, 99), GRANT_DURATION, &grant),
        Err(GrantRejection::UnknownReport)
    );
    let third = held.start_report(3 * GRANT_DURATION);
    let mad = [Grant { worker: 1, places: u32::MAX }, Grant { worker: 2, places: u32::MAX }];
    let mut fooled = held.clone();
    assert_eq!(fooled.accept(3 * GRANT_DURATION, (5, 4, third), GRANT_DURATION, &mad), Ok(()));
    assert_eq!(
        fooled.total_places(3 * GRANT_DURATION),
        2 * u64::from(cypresscleat_forwarding::grants::MAX_GRANTED_PLACES),
        "figures out of proportion"
    );
    assert_eq!(held.accept(3 * GRANT_DURATION, (5, 4, third), GRANT_DURATION * 9, &grant), Ok(()));
    assert_eq!(held.valid_until(), 4 * GRANT_DURATION, "no longer than the rule, whatever is said");
    assert_eq!(
        held.accept(3 * GRANT_DURATION, (6, 1, 98), GRANT_DURATION, &grant),
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

// ---- plans ----

fn report(rate: f32, sights: Vec<WorkerObservation>) -> LoadReport {
    LoadReport {
        number: 1,
        demands: vec![Demand { class: 0, rate, queued: 0, weight: 1.0 }],
        observations: sights,
        epoch: 0,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn all_places_are_given_out_and_no_more(
        rates in proptest::collection::vec(0.0..500.0f32, 1..40),
        workers in proptest::collection::vec(1.0..40.0f64, 1..30),
    ) {
        let mut plan = CapacityPlan::default();
        for (at, places) in workers.iter().enumerate() {
            plan.set_worker(at as NodeId, *places);
        }
        for (at, rate) in rates.iter().enumerate() {
            plan.record_report(0, at as NodeId, report(*rate, vec![]));
        }
        let mut sums: BTreeMap<NodeId, u32> = BTreeMap::new();
        let mut each: BTreeMap<NodeId, u32> = BTreeMap::new();
        for (forwarder, grants) in plan.grants() {
            for grant in grants {
                *sums.entry(grant.worker).or_default() += grant.places;
                *each.entry(forwarder).or_default() += grant.places;
            }
        }
        for (at, places) in workers.iter().enumerate() {
            prop_assert_eq!(sums.get(&(at as NodeId)).copied().unwrap_or(0), places.floor() as u32, "worker {}", at);
        }
        // Small shares come to their own over the workers, to within a place and what is owed.
        let all: u32 = each.values().sum();
        let sum: f32 = rates.iter().sum();
        for (at, rate) in rates.iter().enumerate() {
            let part = if sum > 0.0 { rate / sum } else { 1.0 / rates.len() as f32 };
            let wanted = (0.2 / rates.len() as f32 + 0.8 * part) * all as f32;
            let got = each.get(&(at as NodeId)).copied().unwrap_or(0) as f32;
            prop_assert!((got - wanted).abs() <= 3.0, "{} of {} for {}", got, wanted, at);
        }
    }
}

/// A planner that was told twice or half of what a worker can do comes to know it.
#[test]
fn wrong_figures_of_a_worker_are_mended_by_what_is_seen() {
    for (told, real) in [(16.0, 8.0), (4.0, 8.0)] {
        let mut plan = CapacityPlan::default();
        plan.set_worker(1, told);
        for second in 1..60 {
            let over = plan.places(1) > real;
            let sight = WorkerObservation {
                worker: 1,
                in_flight: 0,
                ended: 100.0,
                rejected: if over { 20.0 } else { 0.0 },
                latency: 10.0,
            };
            plan.record_report(second * SECOND, 5, report(10.0, vec![sight]));
            plan.adapt(second * SECOND);
        }
        assert!((plan.places(1) - real).abs() < real * 0.25, "{told}: {}", plan.places(1));
    }
    let mut plan = CapacityPlan::default();
    plan.set_worker(1, 4.0);
    plan.record_report(0, 5, report(1.0, vec![]));
    plan.adapt(10 * SECOND);
    assert_eq!(plan.grants().len(), 0, "a forwarder that says nothing any more gets nothing");
}

// ---- routes ----

fn table(many: u64, places: f64) -> LoadBalancer {
    let mut routes = LoadBalancer::new(7);
    for id in 0..many {
        routes.set_worker(0, id, places, true);
    }
    routes
}

/// Plays arrivals against workers with their own speeds; answers how many each served.
fn played(routes: &mut LoadBalancer, speeds: &[Time], fails: &[u64], arrivals: u64, gap: Time) -> Vec<u64> {
    let mut ends: BTreeMap<(Time, u64), (NodeId, Time)> = BTreeMap::new();
    let (mut served, mut now) = (vec![0; speeds.len()], 0);
    for number in 0..arrivals {
        now += gap;
        while let Some(((at, _), (id, took))) =
            ends.first_key_value().map(|(k, v)| (*k, *v)).filter(|((at, _), _)| *at <= now)
        {
            ends.pop_first();
            let how = if fails.contains(&id) { AttemptOutcome::Failed } else { AttemptOutcome::Succeeded };
            routes.record_end(at, id, how, took, 0);
        }
        if number % 50 == 0 {
            routes.tick(now);
        }
        if let Some(id) = routes.choose(None, &[]) {
            routes.record_start(id);
            served[id as usize] += 1;
            let took = if fails.contains(&id) { 10 } else { speeds[id as usize] };
            ends.insert((now + took, number), (id, took));
        }
    }
    served
}

#[test]
fn the_fast_and_the_empty_are_chosen_and_the_failing_left_out() {
    let mut routes = table(10, 20.0);
    let speeds: Vec<Time> = (0..10).map(|at| if at < 5 { 200 } else { 800 }).collect();
    let served = played(&mut routes, &speeds, &[], 4000, 10);
    let (fast, slow): (u64, u64) = (served[..5].iter().sum(), served[5..].iter().sum());
    assert!(fast > slow * 2, "{served:?}");
    // Two that fail at once, and so have nothing out and are quick: left out.
    let mut routes = table(10, 20.0);
    let served = played(&mut routes, &[200; 10], &[3, 4], 4000, 10);
    assert!(served[3] + served[4] < 400, "{served:?}");
    assert!(served.iter().sum::<u64>() >= 3990);
    // Most fail: then the measure is bad, and the list is never emptied.
    let mut routes = table(10, 20.0);
    played(&mut routes, &[200; 10], &[0, 1, 2, 3, 4, 5, 6], 4000, 10);
    let usable = (0..10).filter(|id| routes.is_eligible(*id)).count();
    assert!(usable >= 7, "{usable} usable");
}

#[test]
fn subjects_go_home_while_home_is_not_loaded() {
    let mut routes = table(20, 50.0);
    let home: Vec<Option<NodeId>> =
        (0..200u64).map(|subject| routes.choose(Some(subject << 50), &[])).collect();
    let again: Vec<Option<NodeId>> =
        (0..200u64).map(|subject| routes.choose(Some(subject << 50), &[])).collect();
    assert_eq!(home, again);
    // One worker goes: only its subjects move.
    routes.remove_worker(4);
    for (subject, home) in home.iter().enumerate() {
        let now = routes.choose(Some((subject as u64) << 50), &[]);
        assert!(*home == Some(4) || now == *home);
    }
    // One subject for all: none is loaded past the bound.
    let mut routes = table(20, 50.0);
    for _ in 0..200 {
        let id = routes.choose(Some(1), &[]).expect("room");
        routes.record_start(id);
    }
    let most = (0..20).map(|id| routes.in_flight_at(id)).max().expect("some");
    assert!(most <= 14, "{most} out at one, 10 in the mean");
}

#[test]
fn a_full_and_a_draining_worker_get_nothing() {
    let mut routes = LoadBalancer::new(1);
    routes.set_worker(0, 1, 4.0, true);
    let mut out = 0;
    while let Some(id) = routes.choose(None, &[]) {
        routes.record_start(id);
        out += 1;
    }
    assert_eq!(out, 4, "its places, and no more");
    routes.record_end(100, 1, AttemptOutcome::Succeeded, 10, 0);
    assert!(routes.choose(None, &[]).is_some());
    routes.set_worker(100, 1, 4.0, false);
    assert_eq!(routes.choose(None, &[]), None);
    routes.set_worker(100, 1, 4.0, true);
    routes.record_end(100, 1, AttemptOutcome::Rejected, 10, 500);
    assert_eq!(routes.choose(None, &[]), None, "it said when to come back");
    routes.tick(600);
    assert_eq!(routes.choose(None, &[]), Some(1));
    assert_eq!(routes.choose(None, &[1]), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever happens to the table, no worker has more out than its places, and counts add up.
    #[test]
    fn no_worker_gets_more_than_its_places(steps in proptest::collection::vec((0..6u8, 0..8u64, any::<u64>()), 0..300)) {
        let mut routes = LoadBalancer::new(3);
        let mut out: BTreeMap<NodeId, u32> = BTreeMap::new();
        let mut places: BTreeMap<NodeId, f64> = BTreeMap::new();
        for (at, (what, id, more)) in steps.into_iter().enumerate() {
            let now = at as Time * 50;
            match what {
                0 => {
                    let new = (more % 5) as f64;
                    routes.set_worker(now, id, new, more % 7 != 0);
                    places.insert(id, new);
                    out.entry(id).or_default();
                }
                1 => {
                    routes.remove_worker(id);
                    places.remove(&id);
                    out.remove(&id);
                }
                2 | 3 => {
                    let subject = (what == 3).then_some(more);
                    if let Some(id) = routes.choose(subject, &[]) {
                        prop_assert!(f64::from(out[&id]) + 1.0 <= places[&id].max(1.0));
                        routes.record_start(id);
                        *out.get_mut(&id).unwrap() += 1;
                    }
                }
                4 => {
                    if let Some(count) = out.get_mut(&id).filter(|count| **count > 0) {
                        *count -= 1;
                        let how = [AttemptOutcome::Succeeded, AttemptOutcome::Rejected, AttemptOutcome::Failed, AttemptOutcome::ConnectionLost, AttemptOutcome::Cancelled][(more % 5) as usize];
                        routes.record_end(now, id, how, 100, (more % 3) as Time * 100);
                    }
                }
                _ => routes.tick(now),
            }
            prop_assert_eq!(routes.in_flight(), out.values().map(|out| u64::from(*out)).sum::<u64>());
            for (id, out) in &out {
                prop_assert_eq!(routes.in_flight_at(*id), *out);
            }
        }
    }

    // ---- repeated attempts ----

    /// Never more than the share of first tries and the floor, under any mix of ends.
    #[test]
    fn tries_are_never_amplified_past_the_budget(ends in proptest::collection::vec((any::<bool>(), 0..3u32, 0..100i64), 1..2000)) {
        let mut budget = RetryBudget::new(0);
        let mut now = 0;
        for (first, tries, gap) in ends {
            now += gap;
            if first {
                budget.record_first_attempt(now);
            }
            budget.try_retry(now, retry(Execution::NeverRan, false, tries, SECOND));
        }
        let RetryCounts { first_attempts: first, retries: further, .. } = budget.counts();
        let most = first as f64 * RETRY_RATIO + MIN_RETRIES_PER_SECOND * (1.0 + now as f64 / SECOND as f64);
        prop_assert!(further as f64 <= most + 1.0, "{} of {}", further, most);
    }
}

/// A retry that needs a millisecond.
fn retry(execution: Execution, give_up: bool, attempts: u32, time_left: Time) -> RetryRequest {
    RetryRequest { execution, give_up, attempts, time_left, time_needed: MS }
}

#[test]
fn only_what_never_ran_is_tried_again_and_in_time() {
    let mut budget = RetryBudget::new(0);
    assert!(!budget.try_retry(0, retry(Execution::MayHaveRun, false, 1, SECOND)));
    assert!(!budget.try_retry(0, retry(Execution::NeverRan, true, 1, SECOND)), "asked not to try elsewhere");
    assert!(!budget.try_retry(0, retry(Execution::NeverRan, false, 3, SECOND)));
    assert!(!budget.try_retry(0, retry(Execution::NeverRan, false, 1, 10)), "no time left");
    assert!(budget.try_retry(0, retry(Execution::NeverRan, false, 1, SECOND)));
}

// ---- modes ----

#[test]
fn a_forwarder_falls_back_at_once_and_returns_in_steps() {
    let (mut mode, mut held) = (DispatchMode::new(0), GrantTable::default());
    let alone = DispatchMode::local_share(12.0, 3);
    assert_eq!(mode.places(0, &held, 9, alone), 4.0);
    let grant = [Grant { worker: 9, places: 8 }];
    let mut seen = Vec::new();
    let mut now = 0;
    let mut lines = Vec::new();
    for step in 0..24 {
        now = step * RECOVERY_STEP_DURATION / 2;
        if step < 16 {
            let report = held.start_report(now);
            held.accept(now, (1, step as u64 + 1, report), GRANT_DURATION, &grant).expect("taken");
        }
        lines.extend(mode.tick(now, &held));
        seen.push(mode.places(now, &held, 9, alone));
    }
    assert!(
        seen.windows(2).all(|two| two[1] - two[0] <= 4.0 / f64::from(RECOVERY_STEPS) + 1e-9),
        "no jump up: {seen:?}"
    );
    assert_eq!(seen[12], 8.0);
    assert_eq!(mode.state(), dispatch_mode::DispatchState::Local);
    assert_eq!(mode.places(now, &held, 9, alone), 4.0);
    assert_eq!(lines.len(), 3, "one line for each change: {lines:?}");
    assert!(lines[0].contains("planners are back: epoch 1, 8 places") && lines[2].starts_with("by itself"));
    // Between two looks too: what has ended is not used.
    let mut held = GrantTable::default();
    let report = held.start_report(0);
    held.accept(0, (1, 1, report), GRANT_DURATION, &grant).expect("taken");
    let mut mode = DispatchMode::new(0);
    (0..6).for_each(|step| drop(mode.tick(step * RECOVERY_STEP_DURATION, &held)));
    assert_eq!(mode.places(GRANT_DURATION, &held, 9, alone), 4.0);
    assert_eq!(member_id(1), cypresscleat_forwarding::node_id("member-1"));
    assert_eq!(MS * 1000, SECOND);
}

/// A due time that stays in the past kept its task awake, at a whole core, for as long as the one that was asked was silent.
#[test]
fn while_one_is_silent_the_next_time_to_look_is_ahead() {
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let options = MembershipConfig::default();
    let mut own = Membership::new(1, Role::Planner, address(1), vec![address(2)], options, 5);
    let rumour = GossipUpdate {
        id: 2,
        role: Role::Planner,
        address: address(2),
        incarnation: 1,
        state: MemberState::Alive,
    };
    let known = Message::MemberList { members: vec![rumour] };
    own.handle(0, address(2), &Envelope { from: 2, incarnation: 1, updates: vec![], message: known });
    let (mut now, mut looks) = (0, 0);
    while now < 20 * cypresscleat_forwarding::SECOND {
        own.tick(now);
        looks += 1;
        assert!(own.next_deadline() > now, "at {now} it is due at {}", own.next_deadline());
        now = own.next_deadline();
    }
    assert!(looks < 200, "{looks} looks in 20 s");
}

/// What differs is told, and nothing where nothing does; one of a version that does not compare is asked for all, now and then.
#[test]
fn what_is_known_is_compared_before_it_is_told() {
    use cypresscleat_forwarding::membership::{Membership, MembershipConfig};
    let at = |number: u16| SocketAddr::from(([127, 0, 0, 1], number));
    let member = |own: u64, seed: u64| {
        Membership::new(own, Role::Worker, at(own as u16), vec![at(1)], MembershipConfig::default(), seed)
    };
    // Its first period is one in which it compares; that of the third one in which it asks for all.
    let (mut one, mut other, mut third) = (member(1, 0), member(2, 9), member(3, 119));
    let known = Envelope {
        from: 1,
        incarnation: 1,
        updates: Vec::new(),
        message: Message::MemberList { members: Vec::new() },
    };
    for member in [&mut other, &mut third] {
        member.handle(0, at(1), &known);
        member.apply_update(
            0,
            GossipUpdate {
                id: 1,
                role: Role::Worker,
                address: at(1),
                incarnation: 1,
                state: MemberState::Alive,
            },
        );
    }
    let learns = |to: &mut Membership, id: u64| {
        let state = MemberState::Alive;
        to.apply_update(
            0,
            GossipUpdate { id, role: Role::Worker, address: at(id as u16), incarnation: 1, state },
        );
    };
    for id in 10..400 {
        learns(&mut one, id);
        learns(&mut other, id);
    }
    learns(&mut one, 2);
    learns(&mut other, 1);
    let answers = |to: &mut Membership, asked: &Envelope| {
        let told = to.handle(0, at(9), asked);
        told.iter()
            .map(|send| match &send.envelope.message {
                Message::MemberList { members: rumours } => rumours.len(),
                _ => 0,
            })
            .sum::<usize>()
    };
    let asked = other.tick(0).into_iter().map(|send| send.envelope);
    let asked =
        asked.into_iter().find(|one| matches!(one.message, Message::Sync { .. })).expect("it compares");
    assert_eq!(answers(&mut one, &asked), 0, "they know the same");
    learns(&mut one, 500);
    let told = answers(&mut one, &asked);
    assert!(told > 0 && told < 30, "of 392 those of one part: {told}");
    assert!(
        third.tick(0).iter().any(|send| send.envelope.message == Message::Join),
        "all is asked for, now and then"
    );
}
