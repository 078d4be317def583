//! Memory: past the high watermark, less what other pools reserve of it, the largest queued requests are rejected until
//! the rest fits.

use super::AdmissionStep;
use crate::host::Host;
use crate::reasons::RejectReason;
use crate::request_table::RequestState;
use crate::scheduler::Scheduler;
use crate::types::{Arrival, RequestSlot, Time};

/// Nothing starts past this part of the memory; past it the largest queued request is rejected.
const HIGH_WATERMARK: f64 = 0.85;
/// Sizes are compared in steps of this part of a kilobyte.
const SIZE_STEPS_PER_KB: f64 = 16.0;

/// Owns the memory limit; what is used stands in the request table.
#[derive(Default)]
pub(crate) struct MemoryLimit {
    limit_kb: f64,
}

impl MemoryLimit {
    pub(crate) fn new(memory_kb: f64) -> MemoryLimit {
        MemoryLimit { limit_kb: memory_kb * HIGH_WATERMARK }
    }

    /// The high watermark.
    pub(crate) fn limit_kb(&self) -> f64 {
        self.limit_kb
    }
}

/// Rejects the largest queued requests while memory is past the high watermark.
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
    /// The largest queued request that may be rejected for the sake of `arriving`, or that one itself. The reserve of its
    /// pool protects a request, unless it is over its tenant's quota.
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
