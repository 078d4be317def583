//! How much of which worker each forwarder gets. The slots of a worker are given out whole, all of them, by what each forwarder's
//! demand is worth, with a floor for each, so that one that has just started is not without; and a worker that rejects has fewer
//! to give.

use crate::messages::{Demand, Grant, LoadReport};
use crate::{NodeId, Time, SECOND};
use std::collections::BTreeMap;

/// Fraction of all slots that is shared out evenly, whatever the demand.
const EVEN_SHARE: f64 = 0.2;
/// A load report older than this says nothing any more.
pub const MAX_REPORT_AGE: Time = 3 * SECOND;
/// Concurrency slots of workers are adapted so often.
const ADAPTATION_INTERVAL: Time = SECOND;
/// A worker's slots fall by this factor when it rejected more than [`MAX_REJECTED_FRACTION`] of its attempts.
const DECREASE_FACTOR: f64 = 0.9;
/// They rise by this fraction of its configured slots when it did not.
const INCREASE_FRACTION: f64 = 0.05;
const MAX_REJECTED_FRACTION: f64 = 0.05;
/// Bounds of a worker's slots, as factors of its configured ones: those may be wrong.
const MIN_SLOTS_FACTOR: f64 = 0.25;
/// The upper one.
pub const MAX_SLOTS_FACTOR: f64 = 2.0;
/// Bounds of configured slots.
const MIN_CONFIGURED_SLOTS: f64 = 1.0;
const MAX_CONFIGURED_SLOTS: f64 = 1e6;

#[derive(Clone, Debug)]
struct Worker {
    configured_slots: f64,
    /// Concurrency slots that are given out.
    slots: f64,
}

/// What forwarders saw of one worker, added up.
#[derive(Clone, Copy, Debug, Default)]
struct ObservedRates {
    ended: f64,
    rejected: f64,
}

/// A forwarder's load report, and when it came.
#[derive(Clone, Debug)]
struct ReceivedReport {
    received_at: Time,
    report: LoadReport,
}

/// A forwarder's claim to slots, while grants are computed.
struct Claim {
    forwarder: NodeId,
    /// Its fraction of the slots of each worker.
    share: f64,
    /// Concurrency slots that are due to it. What was rounded away at one worker is made up for at the next, so that small shares are not
    /// always nothing.
    credit: f64,
}

/// What a planner knows.
#[derive(Clone, Debug, Default)]
pub struct CapacityPlan {
    workers: BTreeMap<NodeId, Worker>,
    reports: BTreeMap<NodeId, ReceivedReport>,
    adapted_at: Time,
}

impl CapacityPlan {
    /// A worker that accepts work, with its configured slots; one that is known keeps what was learnt of it.
    pub fn set_worker(&mut self, id: NodeId, configured_slots: f64) {
        let slots = configured_slots.clamp(MIN_CONFIGURED_SLOTS, MAX_CONFIGURED_SLOTS);
        let new = Worker { configured_slots: slots, slots };
        let worker = self.workers.entry(id).or_insert_with(|| new.clone());
        if worker.configured_slots != slots {
            *worker = new;
        }
    }

    /// A worker is gone.
    pub fn remove_worker(&mut self, id: NodeId) {
        self.workers.remove(&id);
    }

    /// A forwarder is gone.
    pub fn remove_forwarder(&mut self, id: NodeId) {
        self.reports.remove(&id);
    }

    /// A load report came, in place of the forwarder's last one.
    pub fn record_report(&mut self, now: Time, forwarder: NodeId, report: LoadReport) {
        self.reports.insert(forwarder, ReceivedReport { received_at: now, report });
    }

    /// Forwarders whose load report counts.
    pub fn forwarders(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.reports.keys().copied()
    }

    /// Concurrency slots of a worker that are given out.
    pub fn slots(&self, worker: NodeId) -> f64 {
        self.workers.get(&worker).map_or(0.0, |worker| worker.slots)
    }

    /// Drops old load reports and, once a second, adapts the slots of each worker to what all forwarders saw of it.
    pub fn adapt(&mut self, now: Time) {
        self.reports.retain(|_, one| now - one.received_at <= MAX_REPORT_AGE);
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
        for observation in self.reports.values().flat_map(|one| &one.report.observations) {
            let sum = rates.entry(observation.worker).or_default();
            sum.ended += f64::from(observation.ended);
            sum.rejected += f64::from(observation.rejected);
        }
        rates
    }

    /// Grants for each forwarder. Of each worker all slots are given out, whole, and no more.
    pub fn grants(&self) -> BTreeMap<NodeId, Vec<Grant>> {
        let mut claims = self.claims();
        let mut grants: BTreeMap<NodeId, Vec<Grant>> =
            claims.iter().map(|claim| (claim.forwarder, Vec::new())).collect();
        for (&worker, known) in &self.workers {
            let available = known.slots.floor().max(1.0) as u32;
            let divided = divide(&mut claims, available);
            for (claim, slots) in claims.iter().zip(divided).filter(|(_, slots)| *slots > 0) {
                grants.entry(claim.forwarder).or_default().push(Grant { worker, slots });
            }
        }
        grants
    }

    /// A claim of each forwarder: an even share of the floor, and of the rest what its demand is worth.
    fn claims(&self) -> Vec<Claim> {
        let worths: Vec<f64> = self.reports.values().map(|one| worth(&one.report)).collect();
        let sum: f64 = worths.iter().sum();
        let count = worths.len().max(1) as f64;
        let share = |worth: f64| {
            let by_worth = if sum > 0.0 { worth / sum } else { 1.0 / count };
            EVEN_SHARE / count + (1.0 - EVEN_SHARE) * by_worth
        };
        let claims = self.reports.keys().zip(worths);
        claims.map(|(&forwarder, worth)| Claim { forwarder, share: share(worth), credit: 0.0 }).collect()
    }
}

impl Worker {
    /// Fewer slots where the worker rejected much, a little more where it did not.
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

/// What a forwarder's demand is worth: the weight of what arrives in a second, and of what is queued.
fn worth(report: &LoadReport) -> f64 {
    let worth =
        |demand: &Demand| f64::from(demand.weight) * (f64::from(demand.rate) + f64::from(demand.queued));
    report.demands.iter().map(worth).sum::<f64>()
}

/// Divides the slots of a worker among the claims, whole, by largest remainder; returns the slots of each claim.
fn divide(claims: &mut [Claim], available: u32) -> Vec<u32> {
    for claim in claims.iter_mut() {
        claim.credit += claim.share * f64::from(available);
    }
    let mut slots: Vec<u32> = claims.iter().map(|claim| claim.credit.max(0.0).floor() as u32).collect();
    let remainder = |index: usize| claims[index].credit - f64::from(slots[index]);
    let mut order: Vec<usize> = (0..slots.len()).collect();
    order.sort_by(|a, b| remainder(*b).total_cmp(&remainder(*a)));
    let mut left = i64::from(available) - slots.iter().map(|given| i64::from(*given)).sum::<i64>();
    let rounds = left.unsigned_abs() as usize + 1;
    for &index in order.iter().cycle().take(order.len() * rounds) {
        if left > 0 {
            slots[index] += 1;
            left -= 1;
        } else if left < 0 && slots[index] > 0 {
            slots[index] -= 1;
            left += 1;
        }
    }
    for (claim, given) in claims.iter_mut().zip(&slots) {
        claim.credit -= f64::from(*given);
    }
    slots
}
