//! The state of one pool: its queue, its running requests and its limit.

use crate::config::PoolConfig;
use crate::limit::{Limit, Limiter};
use crate::pools::ClassUsage;
use crate::sample_window::{LatencyBaseline, SampleWindow};
use crate::Time;

/// Name of the default pool, which has the classes that are in no configured pool.
const DEFAULT_POOL_NAME: &str = "rest";

/// Totals over the queued requests of a pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueueTotals {
    requests: usize,
    size: f64,
    over_quota_requests: usize,
    over_quota_size: f64,
    memory_kb: f64,
}

impl QueueTotals {
    fn add(&mut self, size: f64, memory_kb: f64) {
        self.requests += 1;
        self.size += size;
        self.memory_kb += memory_kb;
    }

    fn mark_over_quota(&mut self, size: f64) {
        self.over_quota_requests += 1;
        self.over_quota_size += size;
    }

    fn remove(&mut self, size: f64, memory_kb: f64, within_quota: bool) {
        self.requests = self.requests.saturating_sub(1);
        self.size -= size;
        self.memory_kb -= memory_kb;
        if !within_quota {
            self.over_quota_requests = self.over_quota_requests.saturating_sub(1);
            self.over_quota_size -= size;
        }
        self.clear_rounding_errors();
    }

    /// Resets the sums to zero when no request is left, so that rounding errors don't accumulate.
    fn clear_rounding_errors(&mut self) {
        if self.over_quota_requests == 0 {
            self.over_quota_size = 0.0;
        }
        if self.requests == 0 {
            self.size = 0.0;
            self.memory_kb = 0.0;
        }
    }

    fn add_usage(&mut self, usage: &ClassUsage) {
        self.requests += usage.queued;
        self.size += usage.queued_size;
        self.over_quota_requests += usage.over_quota;
        self.over_quota_size += usage.over_quota_size;
        self.memory_kb += usage.queued_kb;
    }

    pub(crate) fn len(&self) -> usize {
        self.requests
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests == 0
    }

    pub(crate) fn has_requests_within_quota(&self) -> bool {
        self.requests > self.over_quota_requests
    }

    /// Total size of the requests that start before a new request. A request within its tenant's quota starts before those over
    /// quota.
    pub(crate) fn size_ahead(&self, within_quota: bool) -> f64 {
        self.size - if within_quota { self.over_quota_size } else { 0.0 }
    }

    pub(crate) fn memory_kb(&self) -> f64 {
        self.memory_kb
    }
}

/// One pool. Its shares are converted to slots by the current total number of slots of the server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    /// `None` for the default pool.
    config: Option<PoolConfig>,
    queue: QueueTotals,
    running: usize,
    /// Since when the pool has had queued requests without starting one.
    starving_since: Option<Time>,
    limit: Limit,
    window: SampleWindow,
    baseline: LatencyBaseline,
}

impl Pool {
    pub(crate) fn new(config: Option<PoolConfig>, total_slots: usize) -> Pool {
        let mut pool = Pool { config, ..Pool::default() };
        pool.limit = Limit::new(pool.max_slots(total_slots));
        pool
    }

    /// Takes over the limit and the latency baseline of the same pool under the earlier configuration.
    pub(crate) fn inherit(&mut self, earlier: &Pool) {
        self.limit = earlier.limit;
        self.baseline = earlier.baseline.carried_over();
    }

    pub(crate) fn add_usage(&mut self, now: Time, usage: &ClassUsage) {
        self.queue.add_usage(usage);
        self.running += usage.running;
        self.starving_since = (!self.queue.is_empty()).then_some(now);
    }

    pub(crate) fn is_same_pool(&self, other: &Pool) -> bool {
        match (&self.config, &other.config) {
            (Some(config), Some(other)) => config.name == other.name,
            (None, None) => true,
            _ => false,
        }
    }

    // ---- configuration ----

    pub(crate) fn name(&self) -> &str {
        self.config.as_ref().map_or(DEFAULT_POOL_NAME, |config| &config.name)
    }

    /// Number of slots that the pool owns.
    pub(crate) fn min_slots(&self, total_slots: usize) -> f64 {
        self.config.as_ref().map_or(0.0, |config| config.min_share * total_slots as f64)
    }

    fn max_slots(&self, total_slots: usize) -> f64 {
        self.config.as_ref().map_or(1.0, |config| config.max_share) * total_slots as f64
    }

    pub(crate) fn weight(&self) -> f64 {
        self.config.as_ref().map_or(1.0, |config| config.weight)
    }

    pub(crate) fn reserve(&self) -> f64 {
        self.config.as_ref().map_or(0.0, |config| config.reserve)
    }

    /// Number of slots that the reserve requires: a whole number, at least one if the reserve is above 0.
    pub(crate) fn reserve_slots(&self, total_slots: usize) -> usize {
        let reserve = self.reserve();
        if reserve > 0.0 {
            ((reserve * total_slots as f64).ceil() as usize).max(1)
        } else {
            0
        }
    }

    // ---- state ----

    pub(crate) fn queue(&self) -> &QueueTotals {
        &self.queue
    }

    pub(crate) fn running(&self) -> usize {
        self.running
    }

    pub(crate) fn limit(&self) -> f64 {
        self.limit.slots()
    }

    pub(crate) fn latency_ratio(&self) -> f64 {
        self.baseline.ratio()
    }

    /// Whether the limit allows one more running request. Every limit allows at least one.
    pub(crate) fn has_headroom(&self) -> bool {
        self.running as f64 + 1.0 <= self.limit.slots().max(1.0)
    }

    /// Whether the pool can start a request and uses fewer slots than it owns.
    pub(crate) fn is_below_min_share(&self, total_slots: usize) -> bool {
        !self.queue.is_empty() && (self.running as f64) < self.min_slots(total_slots) && self.has_headroom()
    }

    /// How long the pool has had queued requests without starting one; `None` if it has no queued requests or no headroom.
    pub(crate) fn starved_for(&self, now: Time) -> Option<Time> {
        self.starving_since.filter(|_| self.has_headroom()).map(|since| now - since)
    }

    /// Number of slots used beyond those that the pool owns, divided by its weight.
    pub(crate) fn weighted_surplus(&self, total_slots: usize) -> f64 {
        (self.running as f64 - self.min_slots(total_slots)).max(0.0) / self.weight()
    }

    // ---- events ----

    pub(crate) fn enqueue(&mut self, now: Time, size: f64, memory_kb: f64) {
        self.queue.add(size, memory_kb);
        self.starving_since.get_or_insert(now);
    }

    pub(crate) fn mark_over_quota(&mut self, size: f64) {
        self.queue.mark_over_quota(size);
    }

    pub(crate) fn dequeue(&mut self, size: f64, memory_kb: f64, within_quota: bool) {
        self.queue.remove(size, memory_kb, within_quota);
        if self.queue.is_empty() {
            self.starving_since = None;
        }
    }

    pub(crate) fn acquire(&mut self, now: Time) {
        self.running += 1;
        let has_waiters = !self.queue.is_empty();
        self.window.record_start(self.running, has_waiters);
        if has_waiters {
            self.starving_since = Some(now);
        }
    }

    pub(crate) fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    pub(crate) fn record_success(&mut self, time_in_slot: Time, work: f64) {
        self.window.record_success(time_in_slot, work);
    }

    pub(crate) fn record_drop(&mut self) {
        self.window.record_drop();
    }

    /// Updates the limit if the sample window is complete, and its bounds in any case.
    pub(crate) fn update_limit(&mut self, now: Time, total_slots: usize, limiter: Limiter) {
        if self.window.is_complete(now) {
            let has_waiters = !self.queue.is_empty();
            if let Some(sample) = self.window.sample(now, self.running, has_waiters, &mut self.baseline) {
                self.limit.update(limiter, sample);
            }
            self.window = SampleWindow::start(now, self.running);
        }
        self.limit.set_bounds(self.min_slots(total_slots).max(1.0), self.max_slots(total_slots));
    }
}
