//! Divides the concurrency slots of each worker among the forwarders. All slots of a worker are granted, as whole slots, in
//! proportion to the weighted demand of each forwarder. A minimum share for each forwarder gives slots to one that has just
//! started. A worker that rejects attempts has fewer slots to grant.

use crate::messages::{Demand, Grant, LoadReport};
use crate::{NodeId, Time, SECOND};
use std::collections::BTreeMap;

/// Fraction of all slots that is divided evenly among the forwarders, independent of demand.
const EVEN_SHARE: f64 = 0.2;
/// Load reports older than this are dropped.
pub const MAX_REPORT_AGE: Time = 3 * SECOND;
/// Interval between adaptations of the workers' slots.
const ADAPTATION_INTERVAL: Time = SECOND;
/// A worker's slots are multiplied by this factor when it rejected more than [`MAX_REJECTED_FRACTION`] of its attempts.
const DECREASE_FACTOR: f64 = 0.9;
/// Otherwise a worker's slots grow by this fraction of its configured slots.
const INCREASE_FRACTION: f64 = 0.05;
const MAX_REJECTED_FRACTION: f64 = 0.05;
/// Lower bound of a worker's slots, as a factor of its configured slots. The configured value may be wrong.
const MIN_SLOTS_FACTOR: f64 = 0.25;
/// Upper bound of a worker's slots, as a factor of its configured slots.
pub const MAX_SLOTS_FACTOR: f64 = 2.0;
/// Bounds of the configured slots of a worker.
const MIN_CONFIGURED_SLOTS: f64 = 1.0;
const MAX_CONFIGURED_SLOTS: f64 = 1e6;

#[derive(Clone, Debug)]
struct Worker {
    configured_slots: f64,
    /// Concurrency slots that are granted to forwarders.
    slots: f64,
}

/// Sum of all forwarders' observations of one worker, in attempts per second.
#[derive(Clone, Copy, Debug, Default)]
struct ObservedRates {
    ended: f64,
    rejected: f64,
}

/// A forwarder's load report and the time of its receipt.
#[derive(Clone, Debug)]
struct ReceivedReport {
    received_at: Time,
    report: LoadReport,
}

/// A forwarder's claim to slots, while grants are computed.
struct Claim {
    forwarder: NodeId,
    /// Fraction of the slots of each worker.
    share: f64,
    /// Concurrency slots that the claim has not received yet. The rounding remainder of one worker carries over to the next, so that
    /// small shares are not always rounded to zero.
    credit: f64,
}

/// A planner's state: workers, load reports, and the slots of each worker.
#[derive(Clone, Debug, Default)]
pub struct CapacityPlan {
    workers: BTreeMap<NodeId, Worker>,
    reports: BTreeMap<NodeId, ReceivedReport>,
    adapted_at: Time,
}

impl CapacityPlan {
    /// Adds a worker that accepts work. A known worker with the same configured slots keeps its adapted slots.
    pub fn set_worker(&mut self, id: NodeId, configured_slots: f64) {
        let slots = configured_slots.clamp(MIN_CONFIGURED_SLOTS, MAX_CONFIGURED_SLOTS);
        let new = Worker { configured_slots: slots, slots };
        let worker = self.workers.entry(id).or_insert_with(|| new.clone());
        if worker.configured_slots != slots {
            *worker = new;
        }
    }

    /// Removes a worker.
    pub fn remove_worker(&mut self, id: NodeId) {
        self.workers.remove(&id);
    }

    /// Removes a forwarder.
    pub fn remove_forwarder(&mut self, id: NodeId) {
        self.reports.remove(&id);
    }

    /// Stores a load report in place of the forwarder's previous one.
    pub fn record_report(&mut self, now: Time, forwarder: NodeId, report: LoadReport) {
        self.reports.insert(forwarder, ReceivedReport { received_at: now, report });
    }

    /// Forwarders with a current load report.
    pub fn forwarders(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.reports.keys().copied()
    }

    /// Concurrency slots of a worker that are granted to forwarders.
    pub fn slots(&self, worker: NodeId) -> f64 {
        self.workers.get(&worker).map_or(0.0, |worker| worker.slots)
    }

    /// Drops old load reports and, once a second, adapts the slots of each worker to the observations of all forwarders.
    pub fn adapt(&mut self, now: Time) {
        self.reports.retain(|_, received| now - received.received_at <= MAX_REPORT_AGE);
        if now - self.adapted_at < ADAPTATION_INTERVAL {
            return;
        }
        self.adapted_at = now;
        for (id, rates) in self.observed_rates() {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.adapt(rates);
            }
        }
    }

    fn observed_rates(&self) -> BTreeMap<NodeId, ObservedRates> {
        let mut rates: BTreeMap<NodeId, ObservedRates> = BTreeMap::new();
        for observation in self.reports.values().flat_map(|received| &received.report.observations) {
            let total = rates.entry(observation.worker).or_default();
            total.ended += f64::from(observation.ended);
            total.rejected += f64::from(observation.rejected);
        }
        rates
    }

    /// Grants for each forwarder. They cover exactly all whole slots of each worker.
    pub fn grants(&self) -> BTreeMap<NodeId, Vec<Grant>> {
        let mut claims = self.claims();
        let mut grants: BTreeMap<NodeId, Vec<Grant>> =
            claims.iter().map(|claim| (claim.forwarder, Vec::new())).collect();
        for (&worker, state) in &self.workers {
            let available = state.slots.floor().max(1.0) as u32;
            let divided = divide(&mut claims, available);
            for (claim, slots) in claims.iter().zip(divided).filter(|(_, slots)| *slots > 0) {
                grants.entry(claim.forwarder).or_default().push(Grant { worker, slots });
            }
        }
        grants
    }

    /// The claim of each forwarder: an even part of [`EVEN_SHARE`], and a part of the rest in proportion to its weighted demand.
    fn claims(&self) -> Vec<Claim> {
        let weights: Vec<f64> =
            self.reports.values().map(|received| weighted_demand(&received.report)).collect();
        let total: f64 = weights.iter().sum();
        let count = weights.len().max(1) as f64;
        let share = |weighted_demand: f64| {
            let by_demand = if total > 0.0 { weighted_demand / total } else { 1.0 / count };
            EVEN_SHARE / count + (1.0 - EVEN_SHARE) * by_demand
        };
        let claims = self.reports.keys().zip(weights);
        claims
            .map(|(&forwarder, weighted_demand)| Claim {
                forwarder,
                share: share(weighted_demand),
                credit: 0.0,
            })
            .collect()
    }
}

impl Worker {
    /// Decreases the slots if the worker rejected too many attempts, else increases them slowly.
    fn adapt(&mut self, rates: ObservedRates) {
        if rates.rejected > rates.ended * MAX_REJECTED_FRACTION {
            self.slots *= DECREASE_FACTOR;
        } else if rates.ended > 0.0 {
            self.slots += self.configured_slots * INCREASE_FRACTION;
        }
        let min = (self.configured_slots * MIN_SLOTS_FACTOR).max(1.0);
        self.slots = self.slots.clamp(min, self.configured_slots * MAX_SLOTS_FACTOR);
    }
}

/// Weighted demand of a forwarder: arrivals per second and queued requests, times their priority weight.
fn weighted_demand(report: &LoadReport) -> f64 {
    let demand_weight =
        |demand: &Demand| f64::from(demand.weight) * (f64::from(demand.rate) + f64::from(demand.queued));
    report.demands.iter().map(demand_weight).sum::<f64>()
}

/// Divides the slots of a worker among the claims as whole slots by largest remainder; returns the slots of each claim.
fn divide(claims: &mut [Claim], available: u32) -> Vec<u32> {
    for claim in claims.iter_mut() {
        claim.credit += claim.share * f64::from(available);
    }
    let mut slots: Vec<u32> = claims.iter().map(|claim| claim.credit.max(0.0).floor() as u32).collect();
    let remainder = |index: usize| claims[index].credit - f64::from(slots[index]);
    let mut order: Vec<usize> = (0..slots.len()).collect();
    order.sort_by(|a, b| remainder(*b).total_cmp(&remainder(*a)));
    let mut remaining = i64::from(available) - slots.iter().map(|granted| i64::from(*granted)).sum::<i64>();
    let rounds = remaining.unsigned_abs() as usize + 1;
    for &index in order.iter().cycle().take(order.len() * rounds) {
        if remaining > 0 {
            slots[index] += 1;
            remaining -= 1;
        } else if remaining < 0 && slots[index] > 0 {
            slots[index] -= 1;
            remaining += 1;
        }
    }
    for (claim, granted) in claims.iter_mut().zip(&slots) {
        claim.credit -= f64::from(*granted);
    }
    slots
}
