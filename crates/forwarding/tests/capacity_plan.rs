//! Plans: all slots are given out and no more; configured slots that are wrong are corrected.

use cypresscleat_forwarding::capacity_plan::CapacityPlan;
use cypresscleat_forwarding::messages::{Demand, LoadReport, WorkerObservation};
use cypresscleat_forwarding::{NodeId, SECOND};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn report(rate: f32, observations: Vec<WorkerObservation>) -> LoadReport {
    LoadReport {
        number: 1,
        demands: vec![Demand { class: 0, rate, queued: 0, weight: 1.0 }],
        observations,
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
        for (at, slots) in workers.iter().enumerate() {
            plan.set_worker(at as NodeId, *slots);
        }
        for (at, rate) in rates.iter().enumerate() {
            plan.record_report(0, at as NodeId, report(*rate, vec![]));
        }
        let mut sums: BTreeMap<NodeId, u32> = BTreeMap::new();
        let mut each: BTreeMap<NodeId, u32> = BTreeMap::new();
        for (forwarder, grants) in plan.grants() {
            for grant in grants {
                *sums.entry(grant.worker).or_default() += grant.slots;
                *each.entry(forwarder).or_default() += grant.slots;
            }
        }
        for (at, slots) in workers.iter().enumerate() {
            prop_assert_eq!(sums.get(&(at as NodeId)).copied().unwrap_or(0), slots.floor() as u32, "worker {}", at);
        }
        // Small shares come to their own over the workers, to within a slot and the credit.
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

/// A planner that was configured twice or half of what a worker can do comes to know it.
#[test]
fn wrong_figures_of_a_worker_are_mended_by_what_is_seen() {
    for (configured, real) in [(16.0, 8.0), (4.0, 8.0)] {
        let mut plan = CapacityPlan::default();
        plan.set_worker(1, configured);
        for second in 1..60 {
            let over = plan.slots(1) > real;
            let observation = WorkerObservation {
                worker: 1,
                in_flight: 0,
                ended: 100.0,
                rejected: if over { 20.0 } else { 0.0 },
                latency: 10.0,
            };
            plan.record_report(second * SECOND, 5, report(10.0, vec![observation]));
            plan.adapt(second * SECOND);
        }
        assert!((plan.slots(1) - real).abs() < real * 0.25, "{configured}: {}", plan.slots(1));
    }
    let mut plan = CapacityPlan::default();
    plan.set_worker(1, 4.0);
    plan.record_report(0, 5, report(1.0, vec![]));
    plan.adapt(10 * SECOND);
    assert_eq!(plan.grants().len(), 0, "a forwarder that says nothing any more gets nothing");
}
