//! Memory stage: while memory use exceeds the high watermark minus the unused memory reserves of other pools, the largest
//! queued requests are rejected.

use super::AdmissionStep;
use crate::host::Host;
use crate::reasons::RejectReason;
use crate::request_table::RequestState;
use crate::scheduler::Scheduler;
use crate::types::{Arrival, RequestSlot, Time};

/// Fraction of the memory above which no request starts and the largest queued request is rejected.
const HIGH_WATERMARK: f64 = 0.85;
/// Memory sizes are compared in steps of one kilobyte divided by this number.
const SIZE_STEPS_PER_KB: f64 = 16.0;

/// Owns the memory limit; the request table accounts for the memory in use.
#[derive(Default)]
pub(crate) struct MemoryLimit {
    limit_kb: f64,
}

impl MemoryLimit {
    pub(crate) fn new(memory_kb: f64) -> MemoryLimit {
        MemoryLimit { limit_kb: memory_kb * HIGH_WATERMARK }
    }

    /// The high watermark in kilobytes.
    pub(crate) fn limit_kb(&self) -> f64 {
        self.limit_kb
    }
}

/// Rejects the largest queued requests while memory use is above the high watermark.
pub(crate) fn admit(
    scheduler: &mut Scheduler,
    now: Time,
    arrival: &Arrival,
    host: &mut dyn Host,
) -> AdmissionStep {
    let limit_kb = scheduler.memory.limit_kb();
    while scheduler.requests.used_memory_kb() + scheduler.pools.kb_reserved_by_others(arrival.class, limit_kb)
        > limit_kb
    {
        let Some(largest) = scheduler.largest_evictable(arrival.slot) else { break };
        scheduler.reject(now, largest, RejectReason::MemoryPressure, host);
        if largest == arrival.slot {
            return AdmissionStep::Ended;
        }
    }
    AdmissionStep::Continue
}

impl Scheduler {
    /// The largest queued request that may be rejected to free memory for `arriving`, or `arriving` itself. A request within
    /// its tenant's quota is protected while its pool is within its memory reserve.
    fn largest_evictable(&self, arriving: RequestSlot) -> Option<RequestSlot> {
        let limit_kb = self.memory.limit_kb();
        let size = |slot: &RequestSlot| {
            let key =
                |request: &RequestState| ((request.memory_kb * SIZE_STEPS_PER_KB) as u64, request.sequence);
            self.requests.get(*slot).map_or((0, 0), key)
        };
        let is_unprotected =
            |request: &RequestState| !request.within_quota || self.pools.can_evict(request.class, limit_kb);
        let is_evictable =
            |slot: &RequestSlot| *slot == arriving || self.requests.get(*slot).is_some_and(is_unprotected);
        self.requests.queued().iter().copied().filter(is_evictable).max_by_key(size)
    }
}
