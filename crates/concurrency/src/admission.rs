//! What the pools admit: which request may start, how long the queue before a new one is, whose memory may be reclaimed.

use crate::pool::Pool;
use crate::pools::Pools;
use crate::Time;
use cypresscleat_primitives::MS;

/// A pool that has starved for this long goes before all others.
pub const MAX_STARVATION: Time = 250 * MS;

impl Pools {
    /// Whether a request of this class may take the next slot. The rules in order:
    ///
    /// 1. A request over its tenant's quota waits for those of its pool that are within theirs, so that a flood does not take the
    ///    slots of the pool that it arrives in.
    /// 2. The pool stays within its concurrency limit.
    /// 3. While any pool has starved for [`MAX_STARVATION`], only the longest starved starts.
    /// 4. A pool that uses fewer slots than it owns starts; while there is one, no other pool does.
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
        if let Some(longest) = self.longest_starvation(now) {
            return pool.starved_for(now) == Some(longest);
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

    fn longest_starvation(&self, now: Time) -> Option<Time> {
        let longest = self.pools.iter().filter_map(|pool| pool.starved_for(now)).max();
        longest.filter(|longest| *longest >= MAX_STARVATION)
    }

    fn slots_reserved_by_others(&self, index: usize) -> usize {
        let others = (0..self.pools.len()).filter(|other| *other != index);
        others.map(|other| self.reserved_slots(other)).sum()
    }

    /// Slots that are kept free for a pool. All reserves together leave at least one slot.
    fn reserved_slots(&self, index: usize) -> usize {
        let pool = &self.pools[index];
        let reserved_before: usize =
            self.pools[..index].iter().map(|before| before.reserve_slots(self.slots)).sum();
        let left = self.slots.saturating_sub(1).saturating_sub(reserved_before);
        pool.reserve_slots(self.slots).min(left).saturating_sub(pool.running())
    }

    /// Whether one more slot leaves the pool at most one slot, over its weight, ahead of every pool that waits.
    fn is_next_by_weight(&self, pool: &Pool) -> bool {
        let waiting = self.pools.iter().filter(|other| !other.queue().is_empty() && other.has_headroom());
        let lowest = waiting.map(|other| other.weighted_surplus(self.slots)).fold(f64::INFINITY, f64::min);
        lowest + 1.0 / pool.weight() >= pool.weighted_surplus(self.slots)
    }

    /// The queue before a new request of this class: the summed size of what starts before it, and the slots that serve it while
    /// every busy pool goes on having some. `None` where no pool is known for the class: then the server's whole queue counts.
    pub fn queue_ahead(&self, class: usize, within_quota: bool) -> Option<(f64, f64)> {
        let index = *self.pool_of_class.get(class)?;
        let pool = self.pools.get(index)?;
        let serving = self.serving_slots(index, pool);
        Some((pool.queue().size_ahead(within_quota), serving))
    }

    /// Slots that a pool can count on: its own, and by weight its part of those that no busy pool owns and uses.
    fn serving_slots(&self, index: usize, pool: &Pool) -> f64 {
        let is_busy =
            |at: usize, other: &Pool| at == index || !other.queue().is_empty() || other.running() > 0;
        let busy: Vec<&Pool> = self
            .pools
            .iter()
            .enumerate()
            .filter(|(at, other)| is_busy(*at, other))
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

    /// Whether two request classes are in the same pool and so in the same queue.
    pub fn is_same_pool(&self, class: usize, other: usize) -> bool {
        self.pool_of_class.get(class) == self.pool_of_class.get(other)
    }

    /// Whether a queued request of this class may be evicted to free memory for another: not while its pool is within its reserve
    /// of `total_kb`.
    pub fn can_evict(&self, class: usize, total_kb: f64) -> bool {
        let pool = self.pool_of_class.get(class).and_then(|index| self.pools.get(*index));
        pool.is_none_or(|pool| pool.queue().memory_kb() > pool.reserve() * total_kb)
    }

    /// Memory that a request of this class leaves to the unused reserves of other pools, out of `total_kb`.
    pub fn kb_reserved_by_others(&self, class: usize, total_kb: f64) -> f64 {
        let Some(index) = self.pool_of_class.get(class) else { return 0.0 };
        let others = self.pools.iter().enumerate().filter(|(other, _)| other != index);
        others.map(|(_, pool)| (pool.reserve() * total_kb - pool.queue().memory_kb()).max(0.0)).sum()
    }
}
