//! Capacity plans: exactly all slots are granted; wrong configured slots are corrected.

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
    fn grants_cover_exactly_all_slots(
        rates in proptest::collection::vec(0.0..500.0f32, 1..40),
        workers in proptest::collection::vec(1.0..40.0f64, 1..30),
    ) {
        let mut plan = CapacityPlan::default();
        for (index, slots) in workers.iter().enumerate() {
            plan.set_worker(index as NodeId, *slots);
        }
        for (index, rate) in rates.iter().enumerate() {
            plan.record_report(0, index as NodeId, report(*rate, vec![]));
        }
        let mut granted_by_worker: BTreeMap<NodeId, u32> = BTreeMap::new();
        let mut granted: BTreeMap<NodeId, u32> = BTreeMap::new();
        for (forwarder, grants) in plan.grants() {
            for grant in grants {
                *granted_by_worker.entry(grant.worker).or_default() += grant.slots;
                *granted.entry(forwarder).or_default() += grant.slots;
            }
        }
        for (index, slots) in workers.iter().enumerate() {
            prop_assert_eq!(granted_by_worker.get(&(index as NodeId)).copied().unwrap_or(0), slots.floor() as u32, "worker {}", index);
        }
        // Over all workers small shares get their due slots, within the rounding credit.
        let total: u32 = granted.values().sum();
        let rate_sum: f32 = rates.iter().sum();
        for (index, rate) in rates.iter().enumerate() {
            let demand_share = if rate_sum > 0.0 { rate / rate_sum } else { 1.0 / rates.len() as f32 };
            let expected = (0.2 / rates.len() as f32 + 0.8 * demand_share) * total as f32;
            let actual = granted.get(&(index as NodeId)).copied().unwrap_or(0) as f32;
            prop_assert!((actual - expected).abs() <= 3.0, "{} of {} for {}", actual, expected, index);
        }
    }
}

/// Guards against wrong configured slots: a planner with twice or half of a worker's capacity converges to that capacity.
#[test]
fn wrong_configured_slots_adapt_to_observed_rejections() {
    for (configured, capacity) in [(16.0, 8.0), (4.0, 8.0)] {
        let mut plan = CapacityPlan::default();
        plan.set_worker(1, configured);
        for second in 1..60 {
            let is_overloaded = plan.slots(1) > capacity;
            let observation = WorkerObservation {
                worker: 1,
                in_flight: 0,
                ended: 100.0,
                rejected: if is_overloaded { 20.0 } else { 0.0 },
                latency: 10.0,
            };
            plan.record_report(second * SECOND, 5, report(10.0, vec![observation]));
            plan.adapt(second * SECOND);
        }
        assert!((plan.slots(1) - capacity).abs() < capacity * 0.25, "{configured}: {}", plan.slots(1));
    }
    let mut plan = CapacityPlan::default();
    plan.set_worker(1, 4.0);
    plan.record_report(0, 5, report(1.0, vec![]));
    plan.adapt(10 * SECOND);
    assert_eq!(plan.grants().len(), 0, "a forwarder whose load report is outdated gets no grants");
}
