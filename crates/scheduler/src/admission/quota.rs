//! Quota: a token bucket for each tenant. Requests over the quota keep little of their priority, which counts only where
//! something must be shed.

use super::AdmissionStep;
use crate::host::Host;
use crate::scheduler::Scheduler;
use crate::settings::Settings;
use crate::types::{Arrival, Time};
use cypresscleat_primitives::SECOND;

/// Seconds of a tenant's local rate that may come at once.
const BURST_SECONDS: f64 = 2.0;
/// Requests that may come at once, whatever the rate: a rate of one a second comes unevenly. A floor of the bucket's
/// capacity only: a bucket starts with [`BURST_SECONDS`] of its rate, which may be fewer, and fills up from there.
const MIN_BURST_REQUESTS: f64 = 8.0;

/// The local part of one tenant's quota.
struct TokenBucket {
    /// Tokens for each tenth of a millisecond.
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

    /// Adds the tokens of `elapsed` tenths of a millisecond.
    pub(crate) fn refill(&mut self, elapsed: f64) {
        for bucket in &mut self.buckets {
            let capacity = bucket.rate * BURST_SECONDS * SECOND as f64;
            bucket.tokens = (bucket.tokens + bucket.rate * elapsed).min(capacity.max(MIN_BURST_REQUESTS));
        }
    }

    /// Gives back the token of a request that was rejected.
    pub(crate) fn refund(&mut self, tenant: usize) {
        self.buckets[tenant].tokens += 1.0;
    }

    /// Takes a token where there is one; `None` where the tenant has no quota.
    fn take(&mut self, tenant: usize) -> Option<bool> {
        let bucket = self.buckets.get_mut(tenant)?;
        let within_quota = bucket.tokens >= 1.0;
        bucket.tokens -= if within_quota { 1.0 } else { 0.0 };
        Some(within_quota)
    }
}

/// Charges the tenant's bucket and lowers the priority of a request that finds it empty.
pub(crate) fn admit(
    scheduler: &mut Scheduler,
    _now: Time,
    arrival: &Arrival,
    _host: &mut dyn Host,
) -> AdmissionStep {
    let charged = arrival.tenant.and_then(|tenant| scheduler.quota.take(tenant));
    let Some(within_quota) = charged else { return AdmissionStep::Continue };
    let kept_share = if within_quota { 1.0 } else { scheduler.quota.over_quota_share };
    if let Some(request) = scheduler.requests.get_mut(arrival.slot) {
        request.within_quota = within_quota;
        request.priority *= kept_share;
        if !within_quota {
            scheduler.pools.mark_over_quota(request.class, request.scaled_work);
        }
    }
    AdmissionStep::Continue
}
