//! Dispatch: which queued request starts next, and when.
//!
//! The draw is that of S. Duquennoy and G. Grimaud, "Efficient Web Requests Scheduling Considering Resources Sharing"
//! (MASCOTS 2010, HAL inria-00514501): of N jobs ranked by increasing size, job j has the weight
//! β^j (1 − β) / (1 − β^N). A server can't split its cores unequally among running requests, so the weights are chances.

use crate::concurrency_limit::USABLE_OVERLOAD_SHARE;
use crate::host::Host;
use crate::request_table::{Phase, RequestState};
use crate::scheduler::Scheduler;
use crate::types::{DownstreamKind, RequestSlot, Time};
use cypresscleat_primitives::SeededRng;

/// β: weight of a rank against the rank before it.
const BETA: f64 = 0.9;
/// Parked requests (at a downstream call or waiting for one) a core, past which none that calls is started.
const MAX_PARKED_PER_CORE: f64 = 3.0;
/// The survivable concurrency is taken to be above one, so that one request always runs.
const MIN_SURVIVABLE_CONCURRENCY: f64 = 1.01;

/// Owns the random numbers of the draw and the concurrency slots granted by others.
#[derive(Default)]
pub(crate) struct Dispatcher {
    rng: SeededRng,
    /// Concurrency slots granted by others: no request starts beyond them, whatever the concurrency limit; `None` where nobody
    /// grants any.
    granted_slots: Option<f64>,
}

impl Dispatcher {
    pub(crate) fn new(seed: u64) -> Dispatcher {
        Dispatcher { rng: SeededRng::new(seed), granted_slots: None }
    }

    pub(crate) fn set_granted_slots(&mut self, slots: f64) {
        self.granted_slots = Some(slots);
    }

    /// Draws rank j of `count`, from 0, with chance β^j (1 − β) / (1 − β^count): the inverse of the cumulated chances.
    fn draw_rank(&mut self, count: usize) -> usize {
        let uniform = self.rng.next_f64();
        let rank = (1.0 - uniform * (1.0 - BETA.powi(count as i32))).ln() / BETA.ln();
        (rank as usize).min(count - 1)
    }
}

impl Scheduler {
    /// Starts queued requests while the concurrency limit, the granted slots and the survivable concurrency allow.
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
            let no_calling_classes = parked as f64 >= self.cores * MAX_PARKED_PER_CORE;
            let Some(slot) = self.draw(now, no_calling_classes) else { break };
            self.requests.edit(slot, |request| request.has_run = true);
            self.transition(now, slot, Phase::Running);
            self.arm_timer(now, slot);
            host.run(slot);
        }
    }

    /// Draws one of the queued requests that may start, ranked by scaled work. Those that may not start have no rank.
    fn draw(&mut self, now: Time, no_calling_classes: bool) -> Option<RequestSlot> {
        if !no_calling_classes && self.pools.is_disabled() && self.largest_queued_fits() {
            // All may start: nothing is copied.
            let rank = self.dispatcher.draw_rank(self.requests.queued().len());
            return self.requests.select_queued(rank);
        }
        let mut ranked: Vec<RequestSlot> = self
            .requests
            .queued()
            .iter()
            .copied()
            .filter(|slot| self.may_start(now, *slot, no_calling_classes))
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

    /// Whether a queued request may start: its memory while running fits, it calls nothing downstream while too many are
    /// parked, and its pool has a free concurrency slot.
    fn may_start(&self, now: Time, slot: RequestSlot, no_calling_classes: bool) -> bool {
        let Some(request) = self.requests.get(slot) else { return false };
        let waits_for_parked = no_calling_classes
            && self.downstream.kind() != DownstreamKind::None
            && self.calls_downstream(slot);
        !waits_for_parked
            && self.memory_fits(request)
            && self.pools.can_start(now, request.class, request.within_quota)
    }

    fn memory_fits(&self, request: &RequestState) -> bool {
        let limit_kb = self.memory.limit_kb();
        let growth = request.memory_kb * (self.requests.running_memory_factor() - 1.0)
            + self.pools.kb_reserved_by_others(request.class, limit_kb);
        self.requests.used_memory_kb() + growth <= limit_kb
    }

    fn largest_queued_fits(&self) -> bool {
        let growth = self.requests.largest_queued_kb() * (self.requests.running_memory_factor() - 1.0);
        self.requests.used_memory_kb() + growth <= self.memory.limit_kb()
    }
}
