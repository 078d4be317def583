//! The pools of one server: the events that they receive, and their reconfiguration while requests run.

use crate::config::PoolsConfig;
use crate::limit::Limiter;
use crate::pool::Pool;
use crate::Time;

/// The pools of one server. Events of request classes that are not in the settings are ignored.
#[derive(Clone, Debug, Default)]
pub struct Pools {
    /// Index of the pool of each request class.
    pub(crate) pool_of_class: Vec<usize>,
    /// The configured pools in order, followed by the default pool of all other classes; empty if no pools are configured.
    pub(crate) pools: Vec<Pool>,
    limiter: Limiter,
    /// Current number of slots of the server.
    pub(crate) slots: usize,
    pub(crate) running: usize,
    now: Time,
}

/// Queued and running requests of one class at the moment of a reconfiguration.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassUsage {
    /// Index of the request class in the settings.
    pub class: usize,
    /// Number of queued requests.
    pub queued: usize,
    /// Number of queued requests over their tenant's quota.
    pub over_quota: usize,
    /// Total size of the queued requests.
    pub queued_size: f64,
    /// Total size of the queued requests over their tenant's quota.
    pub over_quota_size: f64,
    /// Memory of the queued requests, in kilobytes.
    pub queued_kb: f64,
    /// Number of requests that hold a slot.
    pub running: usize,
}

impl Pools {
    /// Creates the pools of a server with `class_count` request classes and a concurrency limit of `limit`. Without configured
    /// pools every request may start and nothing is reserved.
    pub fn new(config: &PoolsConfig, class_count: usize, limit: f64) -> Pools {
        if config.pools.is_empty() {
            return Pools::default();
        }
        let slots = whole_slots(limit);
        let default_pool = config.pools.len();
        let mut pool_of_class = vec![default_pool; class_count];
        for (index, pool) in config.pools.iter().enumerate() {
            for class in pool.classes.iter().filter(|class| **class < class_count) {
                pool_of_class[*class] = index;
            }
        }
        let configs = config.pools.iter().cloned().map(Some).chain([None]);
        Pools {
            pool_of_class,
            pools: configs.map(|config| Pool::new(config, slots)).collect(),
            limiter: config.limiter,
            slots,
            ..Pools::default()
        }
    }

    /// Whether no pools are configured.
    pub fn is_disabled(&self) -> bool {
        self.pools.is_empty()
    }

    /// Switches to another configuration while requests run. Pools are identified by name and retain their limits. `usage` has
    /// the counts of queued and running requests of each class, which move to the new pool of the class.
    pub fn reconfigure(&mut self, config: &PoolsConfig, class_count: usize, usage: &[ClassUsage]) {
        let earlier = std::mem::take(self);
        *self = Pools::new(config, class_count, earlier.slots as f64);
        self.now = earlier.now;
        for pool in &mut self.pools {
            if let Some(earlier) = earlier.pools.iter().find(|earlier| earlier.is_same_pool(pool)) {
                pool.inherit(earlier);
            }
        }
        let now = self.now;
        for class in usage {
            if let Some(pool) = self.pool_of(class.class) {
                pool.add_usage(now, class);
            }
            self.running += class.running;
        }
    }

    fn pool_of(&mut self, class: usize) -> Option<&mut Pool> {
        let index = *self.pool_of_class.get(class)?;
        self.pools.get_mut(index)
    }

    /// Records that a request of `size` was queued and uses `memory_kb`.
    pub fn enqueue(&mut self, now: Time, class: usize, size: f64, memory_kb: f64) {
        if let Some(pool) = self.pool_of(class) {
            pool.enqueue(now, size, memory_kb);
        }
    }

    /// Marks a queued request as over its tenant's quota.
    pub fn mark_over_quota(&mut self, class: usize, size: f64) {
        if let Some(pool) = self.pool_of(class) {
            pool.mark_over_quota(size);
        }
    }

    /// Records that a request left the queue; size and memory are those with which it was queued.
    pub fn dequeue(&mut self, class: usize, size: f64, memory_kb: f64, within_quota: bool) {
        if let Some(pool) = self.pool_of(class) {
            pool.dequeue(size, memory_kb, within_quota);
        }
    }

    /// Records that a request started and holds a slot.
    pub fn acquire(&mut self, now: Time, class: usize) {
        if let Some(pool) = self.pool_of(class) {
            pool.acquire(now);
            self.running += 1;
        }
    }

    /// Records that a request released its slot.
    pub fn release(&mut self, class: usize) {
        if let Some(pool) = self.pool_of(class) {
            pool.release();
            self.running = self.running.saturating_sub(1);
        }
    }

    /// Records that a request with expected work `work` succeeded after `time_in_slot`.
    pub fn record_success(&mut self, class: usize, time_in_slot: Time, work: f64) {
        if let Some(pool) = self.pool_of(class) {
            pool.record_success(time_in_slot, work);
        }
    }

    /// Records that a request was rejected or failed, for any reason: the scheduler calls this for every rejection and failure
    /// that it decides, also while draining and after a failed downstream call.
    pub fn record_drop(&mut self, class: usize) {
        if let Some(pool) = self.pool_of(class) {
            pool.record_drop();
        }
    }

    /// Advances the time, sets the server's concurrency limit, and adapts the limits of the pools.
    pub fn tick(&mut self, now: Time, limit: f64) {
        self.now = now;
        if self.is_disabled() {
            return;
        }
        self.slots = whole_slots(limit);
        for pool in &mut self.pools {
            pool.update_limit(now, self.slots, self.limiter);
        }
    }
}

/// Number of slots of a server that starts requests while fewer than `limit` run.
fn whole_slots(limit: f64) -> usize {
    (limit.ceil() as usize).max(1)
}
