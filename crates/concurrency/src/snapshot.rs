//! The state of the pools as shown in logs and measurements.

use crate::pools::Pools;

/// The state of one pool at one point in time.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSnapshot {
    /// Name as configured; `rest` for the classes in no configured pool.
    pub name: String,
    /// Concurrency limit, in slots.
    pub limit: f64,
    /// Number of requests that hold a slot.
    pub running: usize,
    /// Number of queued requests.
    pub queued: usize,
    /// Total size of the queued requests.
    pub queued_size: f64,
    /// Memory of the queued requests, in kilobytes.
    pub queued_kb: f64,
    /// Latest latency divided by the lowest recent latency.
    pub latency_ratio: f64,
}

impl Pools {
    /// The state of each pool, in order.
    pub fn snapshots(&self) -> Vec<PoolSnapshot> {
        let snapshots = self.pools.iter().map(|pool| PoolSnapshot {
            name: pool.name().to_string(),
            limit: pool.limit(),
            running: pool.running(),
            queued: pool.queue().len(),
            queued_size: pool.queue().size_ahead(false),
            queued_kb: pool.queue().memory_kb(),
            latency_ratio: pool.latency_ratio(),
        });
        snapshots.collect()
    }

    /// Formats a log line with the running requests, limit, queued requests and latency ratio of each pool.
    pub fn summary(&self) -> String {
        let pools = self.pools.iter().map(|pool| {
            let (name, running, limit) = (pool.name(), pool.running(), pool.limit());
            format!(
                "{name} {running}/{limit:.1} held {} slower {:.2}",
                pool.queue().len(),
                pool.latency_ratio()
            )
        });
        pools.collect::<Vec<_>>().join(", ")
    }

    /// Calls `visit` for each pool with its index and whether it has queued requests but no running ones.
    pub fn visit_starvation(&self, mut visit: impl FnMut(usize, bool)) {
        for (index, pool) in self.pools.iter().enumerate() {
            visit(index, !pool.queue().is_empty() && pool.running() == 0);
        }
    }
}
