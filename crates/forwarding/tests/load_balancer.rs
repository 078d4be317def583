//! Choice of workers, ejection, and the bounds of their load.

use cypresscleat_forwarding::load_balancer::{AttemptOutcome, LoadBalancer};
use cypresscleat_forwarding::{NodeId, Time};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn balancer_with(workers: u64, slots: f64) -> LoadBalancer {
    let mut balancer = LoadBalancer::new(7);
    for id in 0..workers {
        balancer.set_worker(0, id, slots, true);
    }
    balancer
}

/// Simulates arrivals at workers with the given latencies; returns the number of attempts at each worker.
fn simulate_load(
    balancer: &mut LoadBalancer,
    speeds: &[Time],
    failing: &[u64],
    arrivals: u64,
    gap: Time,
) -> Vec<u64> {
    let mut running: BTreeMap<(Time, u64), (NodeId, Time)> = BTreeMap::new();
    let (mut attempts, mut now) = (vec![0; speeds.len()], 0);
    for number in 0..arrivals {
        now += gap;
        while let Some(((at, _), (id, latency))) =
            running.first_key_value().map(|(k, v)| (*k, *v)).filter(|((at, _), _)| *at <= now)
        {
            running.pop_first();
            let outcome =
                if failing.contains(&id) { AttemptOutcome::Failed } else { AttemptOutcome::Succeeded };
            balancer.record_end(at, id, outcome, latency, 0);
        }
        if number % 50 == 0 {
            balancer.tick(now);
        }
        if let Some(id) = balancer.choose(None, &[]) {
            balancer.record_start(id);
            attempts[id as usize] += 1;
            let latency = if failing.contains(&id) { 10 } else { speeds[id as usize] };
            running.insert((now + latency, number), (id, latency));
        }
    }
    attempts
}

#[test]
fn chooses_fast_and_least_loaded_workers_and_ejects_failing_ones() {
    let mut balancer = balancer_with(10, 20.0);
    let speeds: Vec<Time> = (0..10).map(|at| if at < 5 { 200 } else { 800 }).collect();
    let attempts = simulate_load(&mut balancer, &speeds, &[], 4000, 10);
    let (fast, slow): (u64, u64) = (attempts[..5].iter().sum(), attempts[5..].iter().sum());
    assert!(fast > slow * 2, "{attempts:?}");
    // Two workers fail fast, so they have few attempts in flight and low latency: they are ejected.
    let mut balancer = balancer_with(10, 20.0);
    let attempts = simulate_load(&mut balancer, &[200; 10], &[3, 4], 4000, 10);
    assert!(attempts[3] + attempts[4] < 400, "{attempts:?}");
    assert!(attempts.iter().sum::<u64>() >= 3990);
    // Most workers fail: the ejected fraction is bounded, and the list never becomes empty.
    let mut balancer = balancer_with(10, 20.0);
    simulate_load(&mut balancer, &[200; 10], &[0, 1, 2, 3, 4, 5, 6], 4000, 10);
    let usable = (0..10).filter(|id| balancer.is_eligible(*id)).count();
    assert!(usable >= 7, "{usable} usable");
}

#[test]
fn subjects_stay_at_their_worker_while_it_is_not_loaded() {
    let mut balancer = balancer_with(20, 50.0);
    let first: Vec<Option<NodeId>> =
        (0..200u64).map(|subject| balancer.choose(Some(subject << 50), &[])).collect();
    let second: Vec<Option<NodeId>> =
        (0..200u64).map(|subject| balancer.choose(Some(subject << 50), &[])).collect();
    assert_eq!(first, second);
    // After the removal of one worker only its subjects move.
    balancer.remove_worker(4);
    for (subject, first) in first.iter().enumerate() {
        let now = balancer.choose(Some((subject as u64) << 50), &[]);
        assert!(*first == Some(4) || now == *first);
    }
    // All requests have the same subject: no worker is loaded past the bound.
    let mut balancer = balancer_with(20, 50.0);
    for _ in 0..200 {
        let id = balancer.choose(Some(1), &[]).expect("a worker with capacity");
        balancer.record_start(id);
    }
    let max_in_flight = (0..20).map(|id| balancer.in_flight_at(id)).max().expect("some");
    assert!(max_in_flight <= 14, "{max_in_flight} in flight at one worker, mean 10");
}

#[test]
fn a_full_or_draining_worker_gets_no_requests() {
    let mut balancer = LoadBalancer::new(1);
    balancer.set_worker(0, 1, 4.0, true);
    let mut in_flight = 0;
    while let Some(id) = balancer.choose(None, &[]) {
        balancer.record_start(id);
        in_flight += 1;
    }
    assert_eq!(in_flight, 4, "exactly its slots");
    balancer.record_end(100, 1, AttemptOutcome::Succeeded, 10, 0);
    assert!(balancer.choose(None, &[]).is_some());
    balancer.set_worker(100, 1, 4.0, false);
    assert_eq!(balancer.choose(None, &[]), None);
    balancer.set_worker(100, 1, 4.0, true);
    balancer.record_end(100, 1, AttemptOutcome::Rejected, 10, 500);
    assert_eq!(balancer.choose(None, &[]), None, "the worker sent a Retry-After");
    balancer.tick(600);
    assert_eq!(balancer.choose(None, &[]), Some(1));
    assert_eq!(balancer.choose(None, &[1]), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// For any sequence of changes no worker has more attempts in flight than its slots, and the counts add up.
    #[test]
    fn no_worker_gets_more_attempts_than_its_slots(steps in proptest::collection::vec((0..6u8, 0..8u64, any::<u64>()), 0..300)) {
        let mut balancer = LoadBalancer::new(3);
        let mut in_flight: BTreeMap<NodeId, u32> = BTreeMap::new();
        let mut slots: BTreeMap<NodeId, f64> = BTreeMap::new();
        for (at, (kind, id, random)) in steps.into_iter().enumerate() {
            let now = at as Time * 50;
            match kind {
                0 => {
                    let new = (random % 5) as f64;
                    balancer.set_worker(now, id, new, random % 7 != 0);
                    slots.insert(id, new);
                    in_flight.entry(id).or_default();
                }
                1 => {
                    balancer.remove_worker(id);
                    slots.remove(&id);
                    in_flight.remove(&id);
                }
                2 | 3 => {
                    let subject = (kind == 3).then_some(random);
                    if let Some(id) = balancer.choose(subject, &[]) {
                        prop_assert!(f64::from(in_flight[&id]) + 1.0 <= slots[&id].max(1.0));
                        balancer.record_start(id);
                        *in_flight.get_mut(&id).unwrap() += 1;
                    }
                }
                4 => {
                    if let Some(count) = in_flight.get_mut(&id).filter(|count| **count > 0) {
                        *count -= 1;
                        let outcome = [AttemptOutcome::Succeeded, AttemptOutcome::Rejected, AttemptOutcome::Failed, AttemptOutcome::ConnectionLost, AttemptOutcome::Cancelled][(random % 5) as usize];
                        balancer.record_end(now, id, outcome, 100, (random % 3) as Time * 100);
                    }
                }
                _ => balancer.tick(now),
            }
            prop_assert_eq!(balancer.in_flight(), in_flight.values().map(|in_flight| u64::from(*in_flight)).sum::<u64>());
            for (id, in_flight) in &in_flight {
                prop_assert_eq!(balancer.in_flight_at(*id), *in_flight);
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// Slots in quarters, so that every sum of them is exact.
    SetWorker {
        id: NodeId,
        quarter_slots: u32,
        accepts_work: bool,
    },
    RemoveWorker(NodeId),
    StartAttempt,
    EndAttempt {
        outcome: AttemptOutcome,
        retry_after: Time,
    },
    /// A worker fails as often as it takes to eject it.
    FailOften(NodeId),
    AdvanceTime(Time),
}

fn any_step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        Just(AttemptOutcome::Succeeded),
        Just(AttemptOutcome::Rejected),
        Just(AttemptOutcome::Failed),
        Just(AttemptOutcome::ConnectionLost),
        Just(AttemptOutcome::Cancelled),
    ];
    prop_oneof![
        6 => (0..6u64, 0..40u32, 0..4u8).prop_map(|(id, quarter_slots, health)| Step::SetWorker {
            id,
            quarter_slots,
            accepts_work: health > 0,
        }),
        1 => (0..6u64).prop_map(Step::RemoveWorker),
        6 => Just(Step::StartAttempt),
        4 => (outcome, 0..3i64).prop_map(|(outcome, hint)| Step::EndAttempt { outcome, retry_after: hint * 1_000 }),
        1 => (0..6u64).prop_map(Step::FailOften),
        3 => (1..100_000i64).prop_map(Step::AdvanceTime),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a forwarder that starts nothing although its workers are healthy: after any order of changes its slots are those
    /// of the eligible workers as they were set last, and its attempts in flight are those that have started there and not ended.
    #[test]
    fn slots_and_attempts_are_those_of_the_workers_after_any_order_of_changes(
        steps in proptest::collection::vec(any_step(), 0..200),
    ) {
        let mut balancer = LoadBalancer::new(3);
        let mut slots: BTreeMap<NodeId, f64> = BTreeMap::new();
        let mut in_flight: Vec<NodeId> = Vec::new();
        let mut now = 0;
        for step in steps {
            match step {
                Step::SetWorker { id, quarter_slots, accepts_work } => {
                    let new_slots = f64::from(quarter_slots) / 4.0;
                    balancer.set_worker(now, id, new_slots, accepts_work);
                    slots.insert(id, new_slots);
                }
                Step::RemoveWorker(id) => {
                    balancer.remove_worker(id);
                    slots.remove(&id);
                    in_flight.retain(|worker| *worker != id);
                }
                Step::StartAttempt => {
                    if let Some(id) = balancer.choose(None, &[]) {
                        prop_assert!(balancer.record_start(id));
                        in_flight.push(id);
                    }
                }
                Step::EndAttempt { outcome, retry_after } => {
                    if let Some(id) = in_flight.pop() {
                        balancer.record_end(now, id, outcome, 100, retry_after);
                    }
                }
                Step::FailOften(id) => {
                    for _ in 0..20 {
                        if balancer.record_start(id) {
                            balancer.record_end(now, id, AttemptOutcome::Failed, 100, 0);
                        }
                    }
                }
                Step::AdvanceTime(time) => {
                    now += time;
                    balancer.tick(now);
                }
            }
            let eligible = slots.iter().filter(|(id, _)| balancer.is_eligible(**id));
            prop_assert_eq!(balancer.slots(), eligible.map(|(_, slots)| slots).sum::<f64>(), "after {:?}", step);
            prop_assert_eq!(balancer.in_flight(), in_flight.len() as u64, "after {:?}", step);
            for id in slots.keys() {
                let at_worker = in_flight.iter().filter(|worker| *worker == id).count();
                prop_assert_eq!(balancer.in_flight_at(*id) as usize, at_worker, "after {:?}", step);
            }
        }
    }
}
