//! The choice of workers, their ejection, and the bounds of what they get.

use cypresscleat_forwarding::load_balancer::{AttemptOutcome, LoadBalancer};
use cypresscleat_forwarding::{NodeId, Time};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn table(many: u64, slots: f64) -> LoadBalancer {
    let mut routes = LoadBalancer::new(7);
    for id in 0..many {
        routes.set_worker(0, id, slots, true);
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
fn chooses_fast_and_least_loaded_workers_and_ejects_failing_ones() {
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
        let mut slots: BTreeMap<NodeId, f64> = BTreeMap::new();
        for (at, (what, id, more)) in steps.into_iter().enumerate() {
            let now = at as Time * 50;
            match what {
                0 => {
                    let new = (more % 5) as f64;
                    routes.set_worker(now, id, new, more % 7 != 0);
                    slots.insert(id, new);
                    out.entry(id).or_default();
                }
                1 => {
                    routes.remove_worker(id);
                    slots.remove(&id);
                    out.remove(&id);
                }
                2 | 3 => {
                    let subject = (what == 3).then_some(more);
                    if let Some(id) = routes.choose(subject, &[]) {
                        prop_assert!(f64::from(out[&id]) + 1.0 <= slots[&id].max(1.0));
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
}
