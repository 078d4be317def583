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
    out: u32,
    /// Mean time to an answer, and the parts of ends that failed and that were turned away.
    took: f64,
    failed: f64,
    ends: f64,
    /// Not before then: it said so, or it is left out.
    not_before: Time,
    left_out: u32,
    takes_work: bool,
    /// Its place in the dense list.
    at: Option<usize>,
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
    usable: Vec<usize>,
    /// Points of all, in order; each names its worker.
    ring: Vec<(u64, usize)>,
    /// What was out at those drawn lately, for the line between hot and cold.
    seen: Vec<u32>,
    seen_at: usize,
    out: u64,
    places: f64,
    rng: SeededRng,
    scans: u64,
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
            usable: Vec::new(),
            ring: Vec::new(),
            seen: vec![0; 16],
            seen_at: 0,
            out: 0,
            places: 0.0,
            rng: SeededRng::new(seed),
            scans: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.workers.len()
    }
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }
    /// Tries that are out.
    pub fn out(&self) -> u64 {
        self.out
    }
    /// Places at all workers that may be chosen.
    pub fn places(&self) -> f64 {
        self.places
    }
    pub fn out_at(&self, id: NodeId) -> u32 {
        self.by_id.get(&id).map_or(0, |at| self.workers[*at].out)
    }
    pub fn is_usable(&self, id: NodeId) -> bool {
        self.by_id.get(&id).is_some_and(|at| self.workers[*at].at.is_some())
    }

    /// A worker that is here, with what may be used of it.
    pub fn worker(&mut self, now: Time, id: NodeId, places: f64, takes_work: bool, _: Time) {
        let at = match self.by_id.get(&id) {
            Some(at) => *at,
            None => {
                let at = self.workers.len();
                self.workers.push(Worker {
                    id,
                    places: 0.0,
                    out: 0,
                    took: 0.0,
                    failed: 0.0,
                    ends: 0.0,
                    not_before: Time::MIN,
                    left_out: 0,
                    takes_work: false,
                    at: None,
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
        (worker.places, worker.takes_work) = (places, takes_work);
        self.settle(now, at);
    }

    /// All of a worker is forgotten; tries that are out there still end by `ended`, unknown.
    pub fn without(&mut self, id: NodeId) {
        let Some(at) = self.by_id.remove(&id) else { return };
        self.leave_list(at);
        self.out -= u64::from(self.workers[at].out);
        self.ring.retain(|(_, worker)| *worker != at);
        let last = self.workers.len() - 1;
        self.workers.swap_remove(at);
        if at < last {
            self.by_id.insert(self.workers[at].id, at);
            self.ring.iter_mut().filter(|(_, worker)| *worker == last).for_each(|(_, worker)| *worker = at);
            if let Some(place) = self.workers[at].at {
                self.usable[place] = at;
            }
        }
    }

    fn leave_list(&mut self, at: usize) {
        if let Some(place) = self.workers[at].at.take() {
            self.places -= self.workers[at].places;
            self.usable.swap_remove(place);
            if let Some(moved) = self.usable.get(place).copied() {
                self.workers[moved].at = Some(place);
            }
        }
    }

    /// Into the dense list or out of it, as it stands now.
    fn settle(&mut self, now: Time, at: usize) {
        self.leave_list(at);
        let worker = &self.workers[at];
        if worker.takes_work && worker.places >= 1.0 && worker.not_before <= now {
            self.workers[at].at = Some(self.usable.len());
            self.places += self.workers[at].places;
            self.usable.push(at);
        }
    }

    fn room(&self, at: usize) -> bool {
        let worker = &self.workers[at];
        worker.at.is_some() && f64::from(worker.out) + 1.0 <= worker.places.max(1.0)
    }

    /// The worker for an invocation, if any has room; not one of `not`.
    pub fn choose(&mut self, _: Time, subject: Option<u64>, not: &[NodeId]) -> Option<NodeId> {
        let at = subject.and_then(|subject| self.by_subject(subject, not)).or_else(|| self.by_draw(not))?;
        Some(self.workers[at].id)
    }

    fn by_subject(&self, subject: u64, not: &[NodeId]) -> Option<usize> {
        let mean = (self.out + 1) as f64 / self.usable.len().max(1) as f64;
        let bound = (BOUNDED_LOAD_FACTOR * mean).ceil();
        let start = self.ring.partition_point(|(point, _)| *point < subject);
        let (mut tried, mut last) = (0, usize::MAX);
        for (_, at) in self.ring[start..].iter().chain(&self.ring[..start]) {
            if *at == last {
                continue;
            }
            last = *at;
            let worker = &self.workers[*at];
            if self.room(*at) && f64::from(worker.out) < bound && !not.contains(&worker.id) {
                return Some(*at);
            }
            tried += 1;
            if tried >= 8 {
                break; // far from home anywhere is as good
            }
        }
        None
    }

    fn by_draw(&mut self, not: &[NodeId]) -> Option<usize> {
        if self.usable.is_empty() {
            return None;
        }
        let line = self.line();
        let mut best: Option<usize> = None;
        for _ in 0..SAMPLED_WORKERS {
            let at = self.usable[self.rng.index_below(self.usable.len())];
            let worker = &self.workers[at];
            self.seen[self.seen_at] = worker.out;
            self.seen_at = (self.seen_at + 1) % self.seen.len();
            if !self.room(at) || not.contains(&worker.id) {
                continue;
            }
            let better = best.is_none_or(|best| {
                let best = &self.workers[best];
                let (hot, best_hot) = (worker.out > line, best.out > line);
                match (hot, best_hot) {
                    (false, true) => true,
                    (true, false) => false,
                    (true, true) => worker.out < best.out,
                    (false, false) => worker.took < best.took,
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
        self.scans += 1;
        let start = self.rng.index_below(self.usable.len());
        let all = self.usable[start..].iter().chain(&self.usable[..start]).copied();
        let free = all.filter(|at| self.room(*at) && !not.contains(&self.workers[*at].id));
        free.min_by_key(|at| self.workers[*at].out)
    }

    /// What is out at most of those drawn lately.
    fn line(&self) -> u32 {
        let mut sorted = self.seen.clone();
        let place = ((sorted.len() - 1) as f64 * HOT_QUANTILE) as usize;
        *sorted.select_nth_unstable(place).1
    }

    /// A try goes out; false where its worker is not known.
    pub fn goes(&mut self, id: NodeId) -> bool {
        let Some(at) = self.by_id.get(&id) else { return false };
        self.workers[*at].out += 1;
        self.out += 1;
        true
    }

    /// A try has ended, after `took`; `later` is what its worker said of when to come back.
    pub fn ended(&mut self, now: Time, id: NodeId, how: AttemptOutcome, took: Time, later: Time) {
        let Some(at) = self.by_id.get(&id).copied() else { return };
        let worker = &mut self.workers[at];
        if worker.out > 0 {
            worker.out -= 1;
            self.out -= 1;
        }
        if how == AttemptOutcome::Cancelled {
            return;
        }
        let failed = matches!(how, AttemptOutcome::Failed | AttemptOutcome::ConnectionLost);
        worker.ends += 1.0;
        worker.failed += (f64::from(failed) - worker.failed) * EWMA_WEIGHT;
        // One that fails fast must not look like the best: what failed counts as slow as what succeeds there, doubled.
        if how == AttemptOutcome::Succeeded {
            let first = worker.took == 0.0;
            worker.took += (took as f64 - worker.took) * if first { 1.0 } else { EWMA_WEIGHT };
            worker.left_out = if worker.ends > 10.0 * EJECTION_MIN_ATTEMPTS { 0 } else { worker.left_out };
        } else if failed {
            worker.took *= 1.0 + EWMA_WEIGHT;
        }
        if later > 0 {
            worker.not_before = worker.not_before.max(now + later);
            self.settle(now, at);
        }
        if failed {
            self.judge(now, at);
        }
    }

    /// Whether a worker is to be left out for a while.
    fn judge(&mut self, now: Time, at: usize) {
        let worker = &self.workers[at];
        if worker.ends < EJECTION_MIN_ATTEMPTS
            || worker.failed < EJECTION_FAILURE_RATE
            || worker.not_before > now
        {
            return;
        }
        self.leave_out(now, at);
    }

    fn leave_out(&mut self, now: Time, at: usize) {
        let away = self.workers.iter().filter(|worker| worker.takes_work && worker.not_before > now).count();
        if (away + 1) as f64 > self.workers.len() as f64 * MAX_EJECTED_FRACTION {
            return; // most look bad: then the measure is
        }
        let worker = &mut self.workers[at];
        let span = (BASE_EJECTION_TIME << worker.left_out.min(8)).min(MAX_EJECTION_TIME);
        worker.left_out += 1;
        (worker.failed, worker.ends) = (0.0, 0.0);
        worker.not_before = now + span;
        self.settle(now, at);
    }

    /// From time to time: those whose time is over come back; one far slower than the others is left out.
    pub fn tick(&mut self, now: Time) {
        for at in 0..self.workers.len() {
            if self.workers[at].at.is_none() {
                self.settle(now, at);
            }
        }
        let mut took: Vec<f64> = self
            .workers
            .iter()
            .filter(|w| w.ends >= EJECTION_MIN_ATTEMPTS && w.took > 0.0)
            .map(|w| w.took)
            .collect();
        if took.len() < 3 {
            return;
        }
        let middle = took.len() / 2;
        let median = *took.select_nth_unstable_by(middle, f64::total_cmp).1;
        for at in 0..self.workers.len() {
            let worker = &self.workers[at];
            if worker.at.is_some()
                && worker.ends >= EJECTION_MIN_ATTEMPTS
                && worker.took > median * EJECTION_LATENCY_FACTOR
            {
                self.workers[at].took = median;
                self.leave_out(now, at);
            }
        }
    }

    /// Choices that had to look at all.
    pub fn scans(&self) -> u64 {
        self.scans
    }
}

/// A plain scan over the same table, to measure against: the fastest of the coldest of all.
pub fn scan(routes: &LoadBalancer, _: Time) -> Option<NodeId> {
    let free = (0..routes.workers.len()).filter(|at| routes.room(*at));
    let best = free.min_by(|a, b| {
        let (a, b) = (&routes.workers[*a], &routes.workers[*b]);
        a.out.cmp(&b.out).then(a.took.total_cmp(&b.took))
    });
    best.map(|at| routes.workers[at].id)
}
