//! To which worker an invocation goes. One with a subject goes where its subject went, while that worker is not loaded past a
//! bound (V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent hashing with bounded loads", 2018: 1.25 of the mean). One
//! without goes to the best of a few drawn at random, hot and cold told apart by what is out there, as Prequal does (B.
//! Wydrowski and others, "Load is not what you should balance", 2024): of the cold the fastest, of the hot the emptiest. Workers
//! that fail are left out for a while; never so many that the rest could not carry it: where most look bad, the measure is.
//!
//! The table is looked up for each invocation: a dense list of those that may be chosen, and a ring of points for subjects.

use crate::{NodeId, SeededRng, Time, SECOND};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Points of a worker on the ring.
const RING_POINTS_PER_WORKER: u32 = 32;
/// Load of a worker, against the mean, past which a subject goes to the next.
const BOUNDED_LOAD_FACTOR: f64 = 1.25;
/// Workers drawn at random for each choice.
const SAMPLED_WORKERS: usize = 3;
/// Past this quantile of what is out at those drawn lately a worker is hot.
const HOT_QUANTILE: f64 = 0.8;
/// Weight of the newest in means.
const EWMA_WEIGHT: f64 = 0.1;
/// A worker is left out when this part of its ends failed, over this many at the least; or when it takes so many times the
/// median.
const EJECTION_FAILURE_RATE: f64 = 0.5;
const EJECTION_MIN_ATTEMPTS: f64 = 10.0;
const EJECTION_LATENCY_FACTOR: f64 = 5.0;
/// At first for so long, doubled each time up to the most.
const BASE_EJECTION_TIME: Time = 5 * SECOND;
const MAX_EJECTION_TIME: Time = 60 * SECOND;
/// Never more than this part of all.
const MAX_EJECTED_FRACTION: f64 = 0.3;

#[derive(Clone, Debug)]
struct Worker {
    id: NodeId,
    /// Places that may be used there.
    places: f64,
    in_flight: u32,
    /// Mean time to an answer, and the parts of ends that failed and that were turned away.
    latency: f64,
    failed: f64,
    ends: f64,
    /// Not before then: it said so, or it is left out.
    eligible_from: Time,
    ejections: u32,
    accepts_work: bool,
    /// Its place in the dense list.
    eligible_index: Option<usize>,
}

/// How a try ended, for the measure of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Succeeded,
    Rejected,
    Failed,
    /// No connection, or it broke.
    ConnectionLost,
    /// The caller left, or the try was called off: it says nothing of the worker.
    Cancelled,
}

#[derive(Clone, Debug)]
pub struct LoadBalancer {
    workers: Vec<Worker>,
    by_id: HashMap<NodeId, usize>,
    /// Workers that may be chosen.
    eligible: Vec<usize>,
    /// Points of all, in order; each names its worker.
    ring: Vec<(u64, usize)>,
    /// What was out at those drawn lately, for the hot_threshold between hot and cold.
    sampled_loads: Vec<u32>,
    next_sample: usize,
    in_flight: u64,
    places: f64,
    rng: SeededRng,
    full_scans: u64,
}

fn point(id: NodeId, number: u32) -> u64 {
    let mut hasher = DefaultHasher::new();
    (id, number).hash(&mut hasher);
    hasher.finish()
}

impl LoadBalancer {
    pub fn new(seed: u64) -> LoadBalancer {
        LoadBalancer {
            workers: Vec::new(),
            by_id: HashMap::new(),
            eligible: Vec::new(),
            ring: Vec::new(),
            sampled_loads: vec![0; 16],
            next_sample: 0,
            in_flight: 0,
            places: 0.0,
            rng: SeededRng::new(seed),
            full_scans: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.workers.len()
    }
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }
    /// Tries that are out.
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }
    /// Places at all workers that may be chosen.
    pub fn places(&self) -> f64 {
        self.places
    }
    pub fn in_flight_at(&self, id: NodeId) -> u32 {
        self.by_id.get(&id).map_or(0, |at| self.workers[*at].in_flight)
    }
    pub fn is_eligible(&self, id: NodeId) -> bool {
        self.by_id.get(&id).is_some_and(|at| self.workers[*at].eligible_index.is_some())
    }

    /// A worker that is here, with what may be used of it.
    pub fn set_worker(&mut self, now: Time, id: NodeId, places: f64, accepts_work: bool, _: Time) {
        let at = match self.by_id.get(&id) {
            Some(at) => *at,
            None => {
                let at = self.workers.len();
                self.workers.push(Worker {
                    id,
                    places: 0.0,
                    in_flight: 0,
                    latency: 0.0,
                    failed: 0.0,
                    ends: 0.0,
                    eligible_from: Time::MIN,
                    ejections: 0,
                    accepts_work: false,
                    eligible_index: None,
                });
                self.by_id.insert(id, at);
                for number in 0..RING_POINTS_PER_WORKER {
                    let new = (point(id, number), at);
                    let place = self.ring.partition_point(|known| *known < new);
                    self.ring.insert(place, new);
                }
                at
            }
        };
        let worker = &mut self.workers[at];
        (worker.places, worker.accepts_work) = (places, accepts_work);
        self.update_eligibility(now, at);
    }

    /// All of a worker is forgotten; tries that are out there still end by `ended`, unknown.
    pub fn remove_worker(&mut self, id: NodeId) {
        let Some(at) = self.by_id.remove(&id) else { return };
        self.remove_from_eligible(at);
        self.in_flight -= u64::from(self.workers[at].in_flight);
        self.ring.retain(|(_, worker)| *worker != at);
        let last = self.workers.len() - 1;
        self.workers.swap_remove(at);
        if at < last {
            self.by_id.insert(self.workers[at].id, at);
            self.ring.iter_mut().filter(|(_, worker)| *worker == last).for_each(|(_, worker)| *worker = at);
            if let Some(place) = self.workers[at].eligible_index {
                self.eligible[place] = at;
            }
        }
    }

    fn remove_from_eligible(&mut self, at: usize) {
        if let Some(place) = self.workers[at].eligible_index.take() {
            self.places -= self.workers[at].places;
            self.eligible.swap_remove(place);
            if let Some(moved) = self.eligible.get(place).copied() {
                self.workers[moved].eligible_index = Some(place);
            }
        }
    }

    /// Into the dense list or out of it, as it stands now.
    fn update_eligibility(&mut self, now: Time, at: usize) {
        self.remove_from_eligible(at);
        let worker = &self.workers[at];
        if worker.accepts_work && worker.places >= 1.0 && worker.eligible_from <= now {
            self.workers[at].eligible_index = Some(self.eligible.len());
            self.places += self.workers[at].places;
            self.eligible.push(at);
        }
    }

    fn has_capacity(&self, at: usize) -> bool {
        let worker = &self.workers[at];
        worker.eligible_index.is_some() && f64::from(worker.in_flight) + 1.0 <= worker.places.max(1.0)
    }

    /// The worker for an invocation, if any has room; not one of `not`.
    pub fn choose(&mut self, _: Time, subject: Option<u64>, excluded: &[NodeId]) -> Option<NodeId> {
        let at = subject
            .and_then(|subject| self.choose_on_ring(subject, excluded))
            .or_else(|| self.choose_sampled(excluded))?;
        Some(self.workers[at].id)
    }

    fn choose_on_ring(&self, subject: u64, excluded: &[NodeId]) -> Option<usize> {
        let mean = (self.in_flight + 1) as f64 / self.eligible.len().max(1) as f64;
        let bound = (BOUNDED_LOAD_FACTOR * mean).ceil();
        let start = self.ring.partition_point(|(point, _)| *point < subject);
        let (mut tried, mut last) = (0, usize::MAX);
        for (_, at) in self.ring[start..].iter().chain(&self.ring[..start]) {
            if *at == last {
                continue;
            }
            last = *at;
            let worker = &self.workers[*at];
            if self.has_capacity(*at) && f64::from(worker.in_flight) < bound && !excluded.contains(&worker.id)
            {
                return Some(*at);
            }
            tried += 1;
            if tried >= 8 {
                break; // far from home anywhere is as good
            }
        }
        None
    }

    fn choose_sampled(&mut self, excluded: &[NodeId]) -> Option<usize> {
        if self.eligible.is_empty() {
            return None;
        }
        let hot_threshold = self.hot_threshold();
        let mut best: Option<usize> = None;
        for _ in 0..SAMPLED_WORKERS {
            let at = self.eligible[self.rng.index_below(self.eligible.len())];
            let worker = &self.workers[at];
            self.sampled_loads[self.next_sample] = worker.in_flight;
            self.next_sample = (self.next_sample + 1) % self.sampled_loads.len();
            if !self.has_capacity(at) || excluded.contains(&worker.id) {
                continue;
            }
            let better = best.is_none_or(|best| {
                let best = &self.workers[best];
                let (hot, best_hot) = (worker.in_flight > hot_threshold, best.in_flight > hot_threshold);
                match (hot, best_hot) {
                    (false, true) => true,
                    (true, false) => false,
                    (true, true) => worker.in_flight < best.in_flight,
                    (false, false) => worker.latency < best.latency,
                }
            });
            if better {
                best = Some(at);
            }
        }
        if best.is_some() {
            return best;
        }
        // Seldom: none of those drawn has room. The emptiest of all, from a random place on.
        self.full_scans += 1;
        let start = self.rng.index_below(self.eligible.len());
        let all = self.eligible[start..].iter().chain(&self.eligible[..start]).copied();
        let free = all.filter(|at| self.has_capacity(*at) && !excluded.contains(&self.workers[*at].id));
        free.min_by_key(|at| self.workers[*at].in_flight)
    }

    /// What is out at most of those drawn lately.
    fn hot_threshold(&self) -> u32 {
        let mut sorted = self.sampled_loads.clone();
        let place = ((sorted.len() - 1) as f64 * HOT_QUANTILE) as usize;
        *sorted.select_nth_unstable(place).1
    }

    /// A try goes out; false where its worker is not known.
    pub fn record_start(&mut self, id: NodeId) -> bool {
        let Some(at) = self.by_id.get(&id) else { return false };
        self.workers[*at].in_flight += 1;
        self.in_flight += 1;
        true
    }

    /// A try has ended, after `latency`; `later` is what its worker said of when to come back.
    pub fn record_end(&mut self, now: Time, id: NodeId, how: AttemptOutcome, latency: Time, later: Time) {
        let Some(at) = self.by_id.get(&id).copied() else { return };
        let worker = &mut self.workers[at];
        if worker.in_flight > 0 {
            worker.in_flight -= 1;
            self.in_flight -= 1;
        }
        if how == AttemptOutcome::Cancelled {
            return;
        }
        let failed = matches!(how, AttemptOutcome::Failed | AttemptOutcome::ConnectionLost);
        worker.ends += 1.0;
        worker.failed += (f64::from(failed) - worker.failed) * EWMA_WEIGHT;
        // One that fails fast must not look like the best: what failed counts as slow as what succeeds there, doubled.
        if how == AttemptOutcome::Succeeded {
            let first = worker.latency == 0.0;
            worker.latency += (latency as f64 - worker.latency) * if first { 1.0 } else { EWMA_WEIGHT };
            worker.ejections = if worker.ends > 10.0 * EJECTION_MIN_ATTEMPTS { 0 } else { worker.ejections };
        } else if failed {
            worker.latency *= 1.0 + EWMA_WEIGHT;
        }
        if later > 0 {
            worker.eligible_from = worker.eligible_from.max(now + later);
            self.update_eligibility(now, at);
        }
        if failed {
            self.check_failures(now, at);
        }
    }

    /// Whether a worker is to be left out for a while.
    fn check_failures(&mut self, now: Time, at: usize) {
        let worker = &self.workers[at];
        if worker.ends < EJECTION_MIN_ATTEMPTS
            || worker.failed < EJECTION_FAILURE_RATE
            || worker.eligible_from > now
        {
            return;
        }
        self.eject(now, at);
    }

    fn eject(&mut self, now: Time, at: usize) {
        let away =
            self.workers.iter().filter(|worker| worker.accepts_work && worker.eligible_from > now).count();
        if (away + 1) as f64 > self.workers.len() as f64 * MAX_EJECTED_FRACTION {
            return; // most look bad: then the measure is
        }
        let worker = &mut self.workers[at];
        let span = (BASE_EJECTION_TIME << worker.ejections.min(8)).min(MAX_EJECTION_TIME);
        worker.ejections += 1;
        (worker.failed, worker.ends) = (0.0, 0.0);
        worker.eligible_from = now + span;
        self.update_eligibility(now, at);
    }

    /// From time to time: those whose time is over come back; one far slower than the others is left out.
    pub fn tick(&mut self, now: Time) {
        for at in 0..self.workers.len() {
            if self.workers[at].eligible_index.is_none() {
                self.update_eligibility(now, at);
            }
        }
        let mut latency: Vec<f64> = self
            .workers
            .iter()
            .filter(|w| w.ends >= EJECTION_MIN_ATTEMPTS && w.latency > 0.0)
            .map(|w| w.latency)
            .collect();
        if latency.len() < 3 {
            return;
        }
        let middle = latency.len() / 2;
        let median = *latency.select_nth_unstable_by(middle, f64::total_cmp).1;
        for at in 0..self.workers.len() {
            let worker = &self.workers[at];
            if worker.eligible_index.is_some()
                && worker.ends >= EJECTION_MIN_ATTEMPTS
                && worker.latency > median * EJECTION_LATENCY_FACTOR
            {
                self.workers[at].latency = median;
                self.eject(now, at);
            }
        }
    }

    /// Choices that had to look at all.
    pub fn full_scans(&self) -> u64 {
        self.full_scans
    }
}

/// A plain scan over the same table, to measure against: the fastest of the coldest of all.
pub fn least_loaded(routes: &LoadBalancer, _: Time) -> Option<NodeId> {
    let free = (0..routes.workers.len()).filter(|at| routes.has_capacity(*at));
    let best = free.min_by(|a, b| {
        let (a, b) = (&routes.workers[*a], &routes.workers[*b]);
        a.in_flight.cmp(&b.in_flight).then(a.latency.total_cmp(&b.latency))
    });
    best.map(|at| routes.workers[at].id)
}
