//! Chooses the worker for a request. A request with a subject goes to its subject's worker, unless the load of that worker exceeds a
//! bound (V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent hashing with bounded loads", 2018). A request without a subject
//! goes to the best of a few randomly sampled workers, which are hot or cold by their attempts in flight, as in Prequal (B. Wydrowski
//! and others, "Load is not what you should balance", 2024): the fastest cold worker, else the least loaded hot
//! one. Workers that fail or are far slower than the others are ejected for a while, as in Envoy's outlier detection. The ejected
//! fraction is bounded, so that the other workers can carry the load: if most workers look bad, the measurement is at fault.
//!
//! Each request reads a dense list of the eligible workers, or the hash ring for a subject.

use crate::hash_ring::HashRing;
use crate::{NodeId, SeededRng, Time, SECOND};
use std::collections::HashMap;

/// Ratio of a worker's load to the mean load above which a subject goes to the next worker on the ring.
const BOUNDED_LOAD_FACTOR: f64 = 1.25;
/// Maximum number of workers on the ring that a subject tries: far from its first worker any other is as good.
const MAX_RING_STEPS: usize = 8;
/// Number of workers sampled at random for each choice.
const SAMPLED_WORKERS: usize = 3;
/// Number of recently sampled loads that are remembered.
const REMEMBERED_LOADS: usize = 16;
/// A worker is hot if its load exceeds this quantile of the remembered loads.
const HOT_QUANTILE: f64 = 0.8;
/// Weight of the newest sample in exponentially weighted means.
const EWMA_WEIGHT: f64 = 0.1;
/// Failure rate at which a worker is ejected.
const EJECTION_FAILURE_RATE: f64 = 0.5;
/// Minimum number of attempts before a worker can be ejected.
const EJECTION_MIN_ATTEMPTS: f64 = 10.0;
/// After this number of attempts without an ejection the next ejection is short again.
const ATTEMPTS_UNTIL_REHABILITATED: f64 = 10.0 * EJECTION_MIN_ATTEMPTS;
/// A worker is ejected when its latency exceeds the median by this factor.
const EJECTION_LATENCY_FACTOR: f64 = 5.0;
/// Minimum number of workers with a known latency for a meaningful median.
const MIN_MEASURED_WORKERS: usize = 3;
/// Duration of the first ejection; each further ejection lasts twice as long.
const BASE_EJECTION_TIME: Time = 5 * SECOND;
const MAX_EJECTION_TIME: Time = 60 * SECOND;
const MAX_EJECTION_DOUBLINGS: u32 = 8;
/// Maximum fraction of all workers that is ejected at once.
const MAX_EJECTED_FRACTION: f64 = 0.3;

#[derive(Clone, Debug)]
struct Worker {
    id: NodeId,
    /// Concurrency slots: maximum number of attempts in flight at the worker.
    slots: f64,
    in_flight: u32,
    /// Mean response time of the worker; 0 if unknown.
    latency: f64,
    /// Mean fraction of attempts that failed.
    failure_rate: f64,
    /// Attempts that ended since the last ejection.
    attempts: f64,
    /// The worker is not chosen before this time: it sent a Retry-After, or it is ejected.
    eligible_from: Time,
    /// Consecutive ejections of the worker.
    ejections: u32,
    accepts_work: bool,
    /// The worker's index in the list of eligible workers.
    eligible_index: Option<usize>,
}

impl Worker {
    fn new(id: NodeId) -> Worker {
        Worker {
            id,
            slots: 0.0,
            in_flight: 0,
            latency: 0.0,
            failure_rate: 0.0,
            attempts: 0.0,
            eligible_from: Time::MIN,
            ejections: 0,
            accepts_work: false,
            eligible_index: None,
        }
    }

    fn is_measured(&self) -> bool {
        self.attempts >= EJECTION_MIN_ATTEMPTS
    }

    fn has_capacity(&self) -> bool {
        self.eligible_index.is_some() && f64::from(self.in_flight) + 1.0 <= self.slots.max(1.0)
    }

    /// Prequal's rule: a cold worker before a hot one; the faster of two cold workers, the less loaded of two hot ones.
    fn is_better_than(&self, other: &Worker, hot_threshold: u32) -> bool {
        let is_hot = |worker: &Worker| worker.in_flight > hot_threshold;
        match (is_hot(self), is_hot(other)) {
            (false, true) => true,
            (true, false) => false,
            (true, true) => self.in_flight < other.in_flight,
            (false, false) => self.latency < other.latency,
        }
    }
}

/// Outcome of an attempt, for the statistics of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The worker ran the request.
    Succeeded,
    /// The worker rejected the request.
    Rejected,
    /// The worker failed.
    Failed,
    /// The connection to the worker could not be established, or was lost.
    ConnectionLost,
    /// The client left, or the attempt was cancelled: the worker's statistics don't change.
    Cancelled,
}

/// Chooses workers, and maintains their statistics.
#[derive(Clone, Debug)]
pub struct LoadBalancer {
    workers: Vec<Worker>,
    /// Index of each worker.
    by_id: HashMap<NodeId, usize>,
    /// Indices of the eligible workers.
    eligible: Vec<usize>,
    ring: HashRing,
    /// Recently sampled loads, for the threshold between hot and cold.
    sampled_loads: Vec<u32>,
    next_sample: usize,
    in_flight: u64,
    rng: SeededRng,
    full_scans: u64,
}

impl LoadBalancer {
    /// Creates a balancer without workers.
    pub fn new(seed: u64) -> LoadBalancer {
        LoadBalancer {
            workers: Vec::new(),
            by_id: HashMap::new(),
            eligible: Vec::new(),
            ring: HashRing::default(),
            sampled_loads: vec![0; REMEMBERED_LOADS],
            next_sample: 0,
            in_flight: 0,
            rng: SeededRng::new(seed),
            full_scans: 0,
        }
    }

    /// Number of workers, eligible or not.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Whether there is no worker.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Attempts in flight at all workers.
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// Concurrency slots at all eligible workers. Summed up at each call: the slots of a worker change while it is eligible.
    pub fn slots(&self) -> f64 {
        self.eligible.iter().fold(0.0, |sum, index| sum + self.workers[*index].slots)
    }

    /// Attempts in flight at one worker.
    pub fn in_flight_at(&self, id: NodeId) -> u32 {
        self.by_id.get(&id).map_or(0, |index| self.workers[*index].in_flight)
    }

    /// Whether a worker may be chosen.
    pub fn is_eligible(&self, id: NodeId) -> bool {
        self.by_id.get(&id).is_some_and(|index| self.workers[*index].eligible_index.is_some())
    }

    /// Number of choices that scanned all workers.
    pub fn full_scans(&self) -> u64 {
        self.full_scans
    }

    /// Adds or updates a worker, with the concurrency slots that may be used there.
    pub fn set_worker(&mut self, now: Time, id: NodeId, slots: f64, accepts_work: bool) {
        let index = self.by_id.get(&id).copied().unwrap_or_else(|| self.add_worker(id));
        let worker = &mut self.workers[index];
        (worker.slots, worker.accepts_work) = (slots, accepts_work);
        self.update_eligibility(now, index);
    }

    fn add_worker(&mut self, id: NodeId) -> usize {
        let index = self.workers.len();
        self.workers.push(Worker::new(id));
        self.by_id.insert(id, index);
        self.ring.insert(id, index);
        index
    }

    /// Removes a worker. The end of attempts that are still in flight there has no effect.
    pub fn remove_worker(&mut self, id: NodeId) {
        let Some(index) = self.by_id.remove(&id) else { return };
        self.remove_from_eligible(index);
        self.in_flight -= u64::from(self.workers[index].in_flight);
        self.ring.remove(index);
        let last = self.workers.len() - 1;
        self.workers.swap_remove(index);
        if index < last {
            self.by_id.insert(self.workers[index].id, index);
            self.ring.reindex(last, index);
            if let Some(position) = self.workers[index].eligible_index {
                self.eligible[position] = index;
            }
        }
    }

    fn remove_from_eligible(&mut self, index: usize) {
        if let Some(position) = self.workers[index].eligible_index.take() {
            self.eligible.swap_remove(position);
            if let Some(moved) = self.eligible.get(position).copied() {
                self.workers[moved].eligible_index = Some(position);
            }
        }
    }

    /// Adds the worker to the list of eligible workers or removes it, by its state at `now`.
    fn update_eligibility(&mut self, now: Time, index: usize) {
        self.remove_from_eligible(index);
        let worker = &mut self.workers[index];
        if worker.accepts_work && worker.slots >= 1.0 && worker.eligible_from <= now {
            worker.eligible_index = Some(self.eligible.len());
            self.eligible.push(index);
        }
    }

    /// Chooses a worker with capacity that is not in `excluded`.
    pub fn choose(&mut self, subject: Option<u64>, excluded: &[NodeId]) -> Option<NodeId> {
        let on_ring = subject.and_then(|subject| self.choose_on_ring(subject, excluded));
        let index = on_ring.or_else(|| self.choose_sampled(excluded))?;
        Some(self.workers[index].id)
    }

    fn choose_on_ring(&self, subject: u64, excluded: &[NodeId]) -> Option<usize> {
        let mean = (self.in_flight + 1) as f64 / self.eligible.len().max(1) as f64;
        let bound = (BOUNDED_LOAD_FACTOR * mean).ceil();
        let can_accept = |index: &usize| {
            let worker = &self.workers[*index];
            let is_below_bound = f64::from(worker.in_flight) < bound;
            worker.has_capacity() && is_below_bound && !excluded.contains(&worker.id)
        };
        self.ring.walk(subject).take(MAX_RING_STEPS).find(can_accept)
    }

    /// Chooses the best of a few sampled workers.
    fn choose_sampled(&mut self, excluded: &[NodeId]) -> Option<usize> {
        if self.eligible.is_empty() {
            return None;
        }
        let hot_threshold = self.hot_threshold();
        let mut best: Option<usize> = None;
        for _ in 0..SAMPLED_WORKERS {
            let index = self.eligible[self.rng.index_below(self.eligible.len())];
            let worker = &self.workers[index];
            self.sampled_loads[self.next_sample] = worker.in_flight;
            self.next_sample = (self.next_sample + 1) % self.sampled_loads.len();
            if !worker.has_capacity() || excluded.contains(&worker.id) {
                continue;
            }
            if best.is_none_or(|best| worker.is_better_than(&self.workers[best], hot_threshold)) {
                best = Some(index);
            }
        }
        best.or_else(|| self.choose_by_full_scan(excluded))
    }

    /// Chooses the least loaded of all workers, starting at a random one. Needed only if no sampled worker has capacity.
    fn choose_by_full_scan(&mut self, excluded: &[NodeId]) -> Option<usize> {
        self.full_scans += 1;
        let start = self.rng.index_below(self.eligible.len());
        let all = self.eligible[start..].iter().chain(&self.eligible[..start]).copied();
        let can_accept = |index: &usize| {
            let worker = &self.workers[*index];
            worker.has_capacity() && !excluded.contains(&worker.id)
        };
        all.filter(can_accept).min_by_key(|index| self.workers[*index].in_flight)
    }

    /// The [`HOT_QUANTILE`] of the recently sampled loads.
    fn hot_threshold(&self) -> u32 {
        let mut sorted = self.sampled_loads.clone();
        let position = ((sorted.len() - 1) as f64 * HOT_QUANTILE) as usize;
        *sorted.select_nth_unstable(position).1
    }

    /// Records the start of an attempt; returns false if its worker is unknown.
    pub fn record_start(&mut self, id: NodeId) -> bool {
        let Some(index) = self.by_id.get(&id) else { return false };
        self.workers[*index].in_flight += 1;
        self.in_flight += 1;
        true
    }

    /// Records the end of an attempt after `latency`; `retry_after` is the worker's Retry-After, or 0.
    pub fn record_end(
        &mut self,
        now: Time,
        id: NodeId,
        outcome: AttemptOutcome,
        latency: Time,
        retry_after: Time,
    ) {
        let Some(index) = self.by_id.get(&id).copied() else { return };
        let worker = &mut self.workers[index];
        if worker.in_flight > 0 {
            worker.in_flight -= 1;
            self.in_flight -= 1;
        }
        if outcome == AttemptOutcome::Cancelled {
            return;
        }
        worker.measure(outcome, latency);
        if retry_after > 0 {
            worker.eligible_from = worker.eligible_from.max(now + retry_after);
            self.update_eligibility(now, index);
        }
        if outcome.is_failure() {
            self.eject_if_failing(now, index);
        }
    }

    fn eject_if_failing(&mut self, now: Time, index: usize) {
        let worker = &self.workers[index];
        let is_failing = worker.is_measured() && worker.failure_rate >= EJECTION_FAILURE_RATE;
        if is_failing && worker.eligible_from <= now {
            self.eject(now, index);
        }
    }

    /// Ejects a worker for a while, unless too many are ejected already: if most workers look bad, the measurement is at fault.
    fn eject(&mut self, now: Time, index: usize) {
        let is_ineligible = |worker: &&Worker| worker.accepts_work && worker.eligible_from > now;
        let ineligible_count = self.workers.iter().filter(is_ineligible).count();
        if (ineligible_count + 1) as f64 > self.workers.len() as f64 * MAX_EJECTED_FRACTION {
            return;
        }
        let worker = &mut self.workers[index];
        let doublings = worker.ejections.min(MAX_EJECTION_DOUBLINGS);
        worker.ejections += 1;
        (worker.failure_rate, worker.attempts) = (0.0, 0.0);
        worker.eligible_from = now + (BASE_EJECTION_TIME << doublings).min(MAX_EJECTION_TIME);
        self.update_eligibility(now, index);
    }

    /// Readmits workers whose ejection is over, and ejects workers that are far slower than the others. Call periodically.
    pub fn tick(&mut self, now: Time) {
        for index in 0..self.workers.len() {
            if self.workers[index].eligible_index.is_none() {
                self.update_eligibility(now, index);
            }
        }
        let Some(median) = self.median_latency() else { return };
        for index in 0..self.workers.len() {
            let worker = &mut self.workers[index];
            let is_slow = worker.is_measured() && worker.latency > median * EJECTION_LATENCY_FACTOR;
            if worker.eligible_index.is_some() && is_slow {
                worker.latency = median;
                self.eject(now, index);
            }
        }
    }

    fn median_latency(&self) -> Option<f64> {
        let measured = self.workers.iter().filter(|worker| worker.is_measured() && worker.latency > 0.0);
        let mut latencies: Vec<f64> = measured.map(|worker| worker.latency).collect();
        if latencies.len() < MIN_MEASURED_WORKERS {
            return None;
        }
        let middle = latencies.len() / 2;
        Some(*latencies.select_nth_unstable_by(middle, f64::total_cmp).1)
    }
}

impl AttemptOutcome {
    fn is_failure(self) -> bool {
        matches!(self, AttemptOutcome::Failed | AttemptOutcome::ConnectionLost)
    }
}

impl Worker {
    /// Adds the end of an attempt to the worker's statistics.
    fn measure(&mut self, outcome: AttemptOutcome, latency: Time) {
        self.attempts += 1.0;
        self.failure_rate += (f64::from(outcome.is_failure()) - self.failure_rate) * EWMA_WEIGHT;
        if outcome == AttemptOutcome::Succeeded {
            let weight = if self.latency == 0.0 { 1.0 } else { EWMA_WEIGHT };
            self.latency += (latency as f64 - self.latency) * weight;
            if self.attempts > ATTEMPTS_UNTIL_REHABILITATED {
                self.ejections = 0;
            }
        } else if outcome.is_failure() {
            // A worker that fails fast must not look like the fastest one: each failure raises its recorded latency.
            self.latency *= 1.0 + EWMA_WEIGHT;
        }
    }
}

/// The least loaded worker by a plain scan, as a baseline for measurements; the fastest of equally loaded workers.
pub fn least_loaded(balancer: &LoadBalancer) -> Option<NodeId> {
    let free = balancer.workers.iter().filter(|worker| worker.has_capacity());
    let best = free.min_by(|a, b| a.in_flight.cmp(&b.in_flight).then(a.latency.total_cmp(&b.latency)));
    best.map(|worker| worker.id)
}
