//! Admission by the pools: which request may start, how long the queue ahead of a new request is, and which requests may be
//! evicted to free memory.

use crate::pool::Pool;
use crate::pools::Pools;
use crate::Time;
use cypresscleat_primitives::MS;

/// A pool that has starved for this long takes precedence over all others.
pub const MAX_STARVATION: Time = 250 * MS;

impl Pools {
    /// Whether a request of this class may take the next slot. The rules apply in this order:
    ///
    /// 1. A request over its tenant's quota waits while requests within quota are queued in its pool, so that a flood of requests
    ///    from one tenant does not take the slots of the pool.
    /// 2. The pool stays within its concurrency limit.
    /// 3. While any pool has starved for [`MAX_STARVATION`], only the pool that has starved the longest starts a request.
    /// 4. A pool that uses fewer slots than it owns starts a request; while such a pool exists, no other pool does.
    /// 5. Slots reserved by other pools stay free.
    /// 6. Slots that no pool owns are divided by weight.
    pub fn can_start(&self, now: Time, class: usize, within_quota: bool) -> bool {
        let Some(index) = self.pool_of_class.get(class).copied() else { return true };
        let pool = &self.pools[index];
        if !within_quota && pool.queue().has_requests_within_quota() {
            return false;
        }
        if !pool.has_headroom() {
            return false;
        }
        if let Some(max_starved) = self.max_starvation(now) {
            return pool.starved_for(now) == Some(max_starved);
        }
        if pool.is_below_min_share(self.slots) {
            return true;
        }
        if self.pools.iter().any(|other| other.is_below_min_share(self.slots)) {
            return false;
        }
        if self.slots.saturating_sub(self.running) <= self.slots_reserved_by_others(index) {
            return false;
        }
        self.is_next_by_weight(pool)
    }

    fn max_starvation(&self, now: Time) -> Option<Time> {
        let max_starved = self.pools.iter().filter_map(|pool| pool.starved_for(now)).max();
        max_starved.filter(|max_starved| *max_starved >= MAX_STARVATION)
    }

    fn slots_reserved_by_others(&self, index: usize) -> usize {
        let others = (0..self.pools.len()).filter(|other| *other != index);
        others.map(|other| self.reserved_slots(other)).sum()
    }

    /// Slots that stay free for a pool. All reserves together leave at least one slot unreserved.
    fn reserved_slots(&self, index: usize) -> usize {
        let pool = &self.pools[index];
        let reserved_earlier: usize =
            self.pools[..index].iter().map(|earlier_pool| earlier_pool.reserve_slots(self.slots)).sum();
        let unreserved = self.slots.saturating_sub(1).saturating_sub(reserved_earlier);
        pool.reserve_slots(self.slots).min(unreserved).saturating_sub(pool.running())
    }

    /// Whether the surplus of the pool over its weight, before one more slot, exceeds that of every pool with queued requests by
    /// at most one slot over its weight.
    fn is_next_by_weight(&self, pool: &Pool) -> bool {
        let waiting = self.pools.iter().filter(|other| !other.queue().is_empty() && other.has_headroom());
        let lowest = waiting.map(|other| other.weighted_surplus(self.slots)).fold(f64::INFINITY, f64::min);
        lowest + 1.0 / pool.weight() >= pool.weighted_surplus(self.slots)
    }

    /// The queue ahead of a new request of this class: the total size of the requests that start before it, and the number of
    /// slots that serve them while every busy pool keeps using slots. `None` if the class has no known pool; the queue of the whole
    /// server counts in that case.
    pub fn queue_ahead(&self, class: usize, within_quota: bool) -> Option<(f64, f64)> {
        let index = *self.pool_of_class.get(class)?;
        let pool = self.pools.get(index)?;
        let serving = self.serving_slots(index, pool);
        Some((pool.queue().size_ahead(within_quota), serving))
    }

    /// Slots that a pool can rely on: its own slots, plus its share by weight of the slots that no busy pool owns and uses.
    fn serving_slots(&self, index: usize, pool: &Pool) -> f64 {
        let is_busy = |position: usize, other: &Pool| {
            position == index || !other.queue().is_empty() || other.running() > 0
        };
        let busy: Vec<&Pool> = self
            .pools
            .iter()
            .enumerate()
            .filter(|(position, other)| is_busy(*position, other))
            .map(|(_, other)| other)
            .collect();
        let slots = self.slots as f64;
        let owned: f64 =
            busy.iter().map(|other| other.min_slots(self.slots).min(other.running().max(1) as f64)).sum();
        let weights: f64 = busy.iter().map(|other| other.weight()).sum();
        let shared = (slots - owned).max(0.0) * pool.weight() / weights;
        let serving = pool.min_slots(self.slots) + shared;
        serving.max(1.0).min(pool.limit()).min(slots)
    }

    /// Whether two request classes are in the same pool and therefore in the same queue.
    pub fn is_same_pool(&self, class: usize, other: usize) -> bool {
        self.pool_of_class.get(class) == self.pool_of_class.get(other)
    }

    /// Whether a queued request of this class may be evicted to free memory for another request. Requests of a pool whose queue
    /// is within its reserve of `total_kb` may not.
    pub fn can_evict(&self, class: usize, total_kb: f64) -> bool {
        let pool = self.pool_of_class.get(class).and_then(|index| self.pools.get(*index));
        pool.is_none_or(|pool| pool.queue().memory_kb() > pool.reserve() * total_kb)
    }

    /// Memory, out of `total_kb`, that the unused reserves of other pools withhold from a request of this class.
    pub fn kb_reserved_by_others(&self, class: usize, total_kb: f64) -> f64 {
        let Some(index) = self.pool_of_class.get(class) else { return 0.0 };
        let others = self.pools.iter().enumerate().filter(|(other, _)| other != index);
        others.map(|(_, pool)| (pool.reserve() * total_kb - pool.queue().memory_kb()).max(0.0)).sum()
    }
}
