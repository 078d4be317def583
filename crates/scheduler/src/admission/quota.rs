//! Quota stage: a token bucket for each tenant. Requests over the quota get a lower priority, which matters only when load
//! is shed.

use super::AdmissionStep;
use crate::host::Host;
use crate::scheduler::Scheduler;
use crate::settings::Settings;
use crate::types::{Arrival, Time};
use cypresscleat_primitives::SECOND;

/// Burst size of a tenant, in seconds of its local rate.
const BURST_SECONDS: f64 = 2.0;
/// Minimum burst size in requests for any rate, since requests at a rate of one per second arrive unevenly. This is a lower
/// bound of the bucket's capacity only: a bucket starts with [`BURST_SECONDS`] of its rate, which may be fewer tokens, and
/// fills up from there.
const MIN_BURST_REQUESTS: f64 = 8.0;

/// This server's share of one tenant's quota.
struct TokenBucket {
    /// Tokens per tenth of a millisecond.
    rate: f64,
    tokens: f64,
}

/// Owns the token buckets.
#[derive(Default)]
pub(crate) struct Quota {
    buckets: Vec<TokenBucket>,
    over_quota_share: f64,
}

impl Quota {
    pub(crate) fn new(settings: &Settings) -> Quota {
        let bucket = |rate: &f64| TokenBucket {
            rate: rate / settings.fleet_size.max(1.0) / SECOND as f64,
            tokens: rate / settings.fleet_size.max(1.0) * BURST_SECONDS,
        };
        Quota {
            buckets: settings.tenant_rates.iter().map(bucket).collect(),
            over_quota_share: settings.over_quota_share,
        }
    }

    pub(crate) fn has_tenant(&self, tenant: usize) -> bool {
        tenant < self.buckets.len()
    }

    /// Adds the tokens for `elapsed` tenths of a millisecond.
    pub(crate) fn refill(&mut self, elapsed: f64) {
        for bucket in &mut self.buckets {
            let capacity = bucket.rate * BURST_SECONDS * SECOND as f64;
            bucket.tokens = (bucket.tokens + bucket.rate * elapsed).min(capacity.max(MIN_BURST_REQUESTS));
        }
    }

    /// Returns the token of a rejected request to the bucket.
    pub(crate) fn refund(&mut self, tenant: usize) {
        self.buckets[tenant].tokens += 1.0;
    }

    /// Takes a token if one is available and returns whether it did; `None` if the tenant has no quota.
    fn charge(&mut self, tenant: usize) -> Option<bool> {
        let bucket = self.buckets.get_mut(tenant)?;
        let within_quota = bucket.tokens >= 1.0;
        bucket.tokens -= if within_quota { 1.0 } else { 0.0 };
        Some(within_quota)
    }
}

/// Charges the tenant's token bucket and lowers the priority of a request that finds the bucket empty.
pub(crate) fn admit(
    scheduler: &mut Scheduler,
    _now: Time,
    arrival: &Arrival,
    _host: &mut dyn Host,
) -> AdmissionStep {
    let charged = arrival.tenant.and_then(|tenant| scheduler.quota.charge(tenant));
    let Some(within_quota) = charged else { return AdmissionStep::Continue };
    let priority_share = if within_quota { 1.0 } else { scheduler.quota.over_quota_share };
    if let Some(request) = scheduler.requests.get_mut(arrival.slot) {
        request.within_quota = within_quota;
        request.priority *= priority_share;
        if !within_quota {
            scheduler.pools.mark_over_quota(request.class, request.scaled_work);
        }
    }
    AdmissionStep::Continue
}
