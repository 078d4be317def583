//! How much of which worker each forwarder gets. Places of a worker are given out whole, all of them, by what each forwarder's
//! demand is worth, with a floor for each, so that one that has just woken is not without; and a worker that turns away
//! or slows has fewer to give.

use crate::messages::{Demand, Grant, LoadReport, WorkerObservation};
use crate::{NodeId, Time, SECOND};
use std::collections::BTreeMap;

/// Part of all places that is shared out evenly, whatever the demand.
const EVEN_SHARE: f64 = 0.2;
/// A report older than this says nothing any more.
pub const MAX_REPORT_AGE: Time = 3 * SECOND;
/// A worker's places fall by this factor when it turned away more than so much of what it was sent, and rise by a part of
/// what it was told to have when it did not.
const DECREASE_FACTOR: f64 = 0.9;
const INCREASE_FRACTION: f64 = 0.05;
const MAX_REJECTED_FRACTION: f64 = 0.05;
/// It keeps this part at the least: what it is told to have may be wrong by half, or by twice.
const MIN_PLACES_FACTOR: f64 = 0.25;
pub const MAX_PLACES_FACTOR: f64 = 2.0;

#[derive(Clone, Debug)]
struct Worker {
    /// Places that it is told to have, and those that are given out.
    told: f64,
    places: f64,
    seen_at: Time,
}

/// What a planner knows.
#[derive(Clone, Debug, Default)]
pub struct CapacityPlan {
    workers: BTreeMap<NodeId, Worker>,
    reports: BTreeMap<NodeId, (Time, LoadReport)>,
    adapted_at: Time,
}

impl CapacityPlan {
    /// A worker that takes work, with the places that it is told to have; one that is known keeps what was learnt of it.
    pub fn set_worker(&mut self, id: NodeId, told: f64) {
        let told = told.clamp(1.0, 1e6);
        let worker = self.workers.entry(id).or_insert(Worker { told, places: told, seen_at: Time::MIN });
        if worker.told != told {
            (worker.told, worker.places) = (told, told);
        }
    }

    pub fn remove_worker(&mut self, id: NodeId) {
        self.workers.remove(&id);
    }

    pub fn remove_forwarder(&mut self, id: NodeId) {
        self.reports.remove(&id);
    }

    pub fn record_report(&mut self, now: Time, from: NodeId, report: LoadReport) {
        self.reports.insert(from, (now, report));
    }

    pub fn forwarders(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.reports.keys().copied()
    }

    pub fn places(&self, worker: NodeId) -> f64 {
        self.workers.get(&worker).map_or(0.0, |worker| worker.places)
    }

    /// Once a second: what the forwarders saw of each worker, together, moves its places.
    pub fn adapt(&mut self, now: Time) {
        self.reports.retain(|_, (at, _)| now - *at <= MAX_REPORT_AGE);
        if now - self.adapted_at < SECOND {
            return;
        }
        self.adapted_at = now;
        let mut sums: BTreeMap<NodeId, (f64, f64)> = BTreeMap::new();
        for WorkerObservation { worker, ended, rejected, .. } in
            self.reports.values().flat_map(|(_, report)| &report.observations)
        {
            let sum = sums.entry(*worker).or_default();
            *sum = (sum.0 + f64::from(*ended), sum.1 + f64::from(*rejected));
        }
        for (id, (ended, rejected)) in sums {
            let Some(worker) = self.workers.get_mut(&id) else { continue };
            worker.seen_at = now;
            if rejected > ended * MAX_REJECTED_FRACTION {
                worker.places *= DECREASE_FACTOR;
            } else if ended > 0.0 {
                worker.places += worker.told * INCREASE_FRACTION;
            }
            worker.places = worker
                .places
                .clamp((worker.told * MIN_PLACES_FACTOR).max(1.0), worker.told * MAX_PLACES_FACTOR);
        }
    }

    /// What a forwarder's demand is worth: value that comes in a second, and what waits.
    fn worth(report: &LoadReport) -> f64 {
        let worth =
            |demand: &Demand| f64::from(demand.weight) * (f64::from(demand.rate) + f64::from(demand.queued));
        report.demands.iter().map(worth).sum::<f64>()
    }

    /// Grants for each forwarder. Of each worker all places are given out, whole, and no more.
    pub fn grants(&self) -> BTreeMap<NodeId, Vec<Grant>> {
        let worths: Vec<(NodeId, f64)> =
            self.reports.iter().map(|(id, (_, report))| (*id, Self::worth(report))).collect();
        let mut out: BTreeMap<NodeId, Vec<Grant>> = worths.iter().map(|(id, _)| (*id, Vec::new())).collect();
        let sum: f64 = worths.iter().map(|(_, worth)| worth).sum();
        let many = worths.len().max(1) as f64;
        // What was rounded away at one worker is made up for at the next, so small shares are not always nothing.
        let mut owed: Vec<f64> = vec![0.0; worths.len()];
        for (worker, known) in &self.workers {
            let all = known.places.floor().max(1.0) as u32;
            let share = |worth: f64| {
                let by_worth = if sum > 0.0 { worth / sum } else { 1.0 / many };
                EVEN_SHARE / many + (1.0 - EVEN_SHARE) * by_worth
            };
            for (owes, (_, worth)) in owed.iter_mut().zip(&worths) {
                *owes += share(*worth) * f64::from(all);
            }
            let mut parts: Vec<u32> = owed.iter().map(|owes| owes.max(0.0).floor() as u32).collect();
            let mut left = i64::from(all) - parts.iter().map(|part| i64::from(*part)).sum::<i64>();
            let mut order: Vec<usize> = (0..parts.len()).collect();
            order.sort_by(|a, b| {
                (owed[*b] - f64::from(parts[*b])).total_cmp(&(owed[*a] - f64::from(parts[*a])))
            });
            for at in order.iter().cycle().take(order.len() * (left.unsigned_abs() as usize + 1)) {
                if left > 0 {
                    (parts[*at], left) = (parts[*at] + 1, left - 1);
                } else if left < 0 && parts[*at] > 0 {
                    (parts[*at], left) = (parts[*at] - 1, left + 1);
                }
            }
            for ((id, _), (part, owes)) in worths.iter().zip(parts.iter().zip(&mut owed)) {
                *owes -= f64::from(*part);
                if *part > 0 {
                    if let Some(list) = out.get_mut(id) {
                        list.push(Grant { worker: *worker, places: *part });
                    }
                }
            }
        }
        out
    }
}
