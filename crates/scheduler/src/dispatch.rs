//! Dispatch: decides which queued request starts next, and when.
//!
//! The weighted draw follows S. Duquennoy and G. Grimaud, "Efficient Web Requests Scheduling Considering Resources Sharing"
//! (MASCOTS 2010, HAL inria-00514501): of N jobs ranked by increasing size, job j has the weight
//! β^j (1 − β) / (1 − β^N). A server can't split its cores unequally among running requests, so the weights are used as
//! probabilities.

use crate::concurrency_limit::USABLE_OVERLOAD_SHARE;
use crate::host::Host;
use crate::request_table::{Phase, RequestState};
use crate::scheduler::Scheduler;
use crate::types::{DownstreamKind, RequestSlot, Time};
use cypresscleat_primitives::SeededRng;

/// β: ratio of the weight of a rank to the weight of the rank before it.
const BETA: f64 = 0.9;
/// Maximum number of parked requests (at a downstream call or waiting for one) per core: at this number no request of a
/// class that calls downstream is started.
const MAX_PARKED_PER_CORE: f64 = 3.0;
/// Lower bound of the survivable concurrency, above 1 so that one request can always run.
const MIN_SURVIVABLE_CONCURRENCY: f64 = 1.01;

/// Owns the random number generator of the draw and the number of concurrency slots granted by planners.
#[derive(Default)]
pub(crate) struct Dispatcher {
    rng: SeededRng,
    /// Number of concurrency slots granted by planners. No request starts beyond them, whatever the concurrency limit; `None`
    /// where slots are not granted.
    granted_slots: Option<f64>,
}

impl Dispatcher {
    pub(crate) fn new(seed: u64) -> Dispatcher {
        Dispatcher { rng: SeededRng::new(seed), granted_slots: None }
    }

    pub(crate) fn set_granted_slots(&mut self, slots: f64) {
        self.granted_slots = Some(slots);
    }

    /// Draws rank j of `count`, from 0, with probability β^j (1 − β) / (1 − β^count), by inverting the cumulative distribution.
    fn draw_rank(&mut self, count: usize) -> usize {
        let uniform = self.rng.next_f64();
        let rank = (1.0 - uniform * (1.0 - BETA.powi(count as i32))).ln() / BETA.ln();
        (rank as usize).min(count - 1)
    }
}

impl Scheduler {
    /// Starts queued requests while the concurrency limit, the granted slots and the survivable concurrency allow it.
    pub(crate) fn dispatch(&mut self, now: Time, host: &mut dyn Host) {
        let parked = self.requests.parked();
        let survivable = (self.slow_start.survivable_concurrency(now) * USABLE_OVERLOAD_SHARE)
            .max(MIN_SURVIVABLE_CONCURRENCY);
        let granted = self.dispatcher.granted_slots.unwrap_or(f64::INFINITY);
        let slots = self.concurrency_limit.slots().min(granted);
        while !self.requests.queued().is_empty()
            && (self.requests.running() as f64) < slots
            && ((self.requests.active().len() + 1) as f64) < survivable
        {
            let exclude_calling_classes = parked as f64 >= self.cores * MAX_PARKED_PER_CORE;
            let Some(slot) = self.draw(now, exclude_calling_classes) else { break };
            self.requests.update(slot, |request| request.has_run = true);
            self.transition(now, slot, Phase::Running);
            self.arm_timer(now, slot);
            host.run(slot);
        }
    }

    /// Draws one of the queued requests that can start, ranked by scaled work. Requests that can't start have no rank.
    fn draw(&mut self, now: Time, exclude_calling_classes: bool) -> Option<RequestSlot> {
        if !exclude_calling_classes && self.pools.is_disabled() && self.has_memory_for_largest_queued() {
            // All queued requests can start: the draw uses the index without copying the queue.
            let rank = self.dispatcher.draw_rank(self.requests.queued().len());
            return self.requests.select_queued(rank);
        }
        let mut ranked: Vec<RequestSlot> = self
            .requests
            .queued()
            .iter()
            .copied()
            .filter(|slot| self.can_start(now, *slot, exclude_calling_classes))
            .collect();
        if ranked.is_empty() {
            return None;
        }
        let rank = self.dispatcher.draw_rank(ranked.len());
        let key = |slot: &RequestSlot| {
            self.requests.get(*slot).map_or((0.0, 0), |request| (request.scaled_work, request.sequence))
        };
        let (_, drawn, _) = ranked.select_nth_unstable_by(rank, |a, b| {
            let (a, b) = (key(a), key(b));
            a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
        });
        Some(*drawn)
    }

    /// Whether a queued request can start: its memory while running fits, its pool has a free concurrency slot, and it doesn't
    /// call downstream while the maximum number of requests is parked.
    fn can_start(&self, now: Time, slot: RequestSlot, exclude_calling_classes: bool) -> bool {
        let Some(request) = self.requests.get(slot) else { return false };
        let is_blocked_by_parked = exclude_calling_classes
            && self.downstream.kind() != DownstreamKind::None
            && self.calls_downstream(slot);
        !is_blocked_by_parked
            && self.has_memory_for(request)
            && self.pools.can_start(now, request.class, request.within_quota)
    }

    fn has_memory_for(&self, request: &RequestState) -> bool {
        let limit_kb = self.memory.limit_kb();
        let growth = request.memory_kb * (self.requests.running_memory_factor() - 1.0)
            + self.pools.kb_reserved_by_others(request.class, limit_kb);
        self.requests.used_memory_kb() + growth <= limit_kb
    }

    fn has_memory_for_largest_queued(&self) -> bool {
        let growth = self.requests.largest_queued_kb() * (self.requests.running_memory_factor() - 1.0);
        self.requests.used_memory_kb() + growth <= self.memory.limit_kb()
    }
}
