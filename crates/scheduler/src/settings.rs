//! The settings of one server, validated before the scheduler starts.

use crate::types::*;
use cypresscleat_concurrency::{ConfigError, PoolsConfig};

/// The settings of one server, passed to [`Scheduler::start`](crate::Scheduler::start).
///
/// Numbers out of range are clamped by the rule that uses them. [`Settings::validate`] reports errors that can't be
/// resolved by clamping.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The request classes; other settings refer to a class by its index in this list.
    pub classes: Vec<RequestClass>,
    /// Quota of each tenant, in requests per second over the whole fleet.
    pub tenant_rates: Vec<f64>,
    /// Share of the priority weight that remains for requests over their tenant's quota.
    pub over_quota_share: f64,
    /// Whether the priority weight is per unit of work instead of per request.
    pub weight_per_work: bool,
    /// Number of servers in the fleet.
    pub fleet_size: f64,
    /// Number of clients (routers, gateways) that send to this server.
    pub client_count: f64,
    /// Cores of this server.
    pub cores: f64,
    /// Whether this server warms up after its start.
    pub slow_start: bool,
    /// Speed at the start of the warm-up, as a fraction of the full speed.
    pub slow_start_initial: f64,
    /// Length of the warm-up.
    pub slow_start_duration: Time,
    /// Memory for requests.
    pub memory_kb: f64,
    /// Memory of one entry retained for retries.
    pub retained_entry_kb: f64,
    /// Memory of a running request as a multiple of its memory while queued.
    pub running_memory_factor: f64,
    /// Whether and how the host can stop a running request.
    pub stop_mode: StopMode,
    /// How clients interpret the load feedback.
    pub load_feedback: LoadFeedbackKind,
    /// The downstream service that running requests call.
    pub downstream: DownstreamKind,
    /// This server's quota of concurrent calls to a shared dependency.
    pub shared_call_quota: f64,
    /// The window over which the mean number of concurrent calls must stay within the quota.
    pub shared_call_window: Time,
    /// How long an abandoned call continues to occupy the shared dependency.
    pub abandoned_call_duration: Time,
    /// How long results of idempotent reads may be replayed.
    pub result_freshness: Time,
    /// How late after the client's timeout a response may be sent.
    pub answer_slack: Time,
    /// How long clients may continue to send requests after draining has started.
    pub drain_grace: Time,
    /// Concurrency, as a multiple of the cores, above which throughput falls instead of rising.
    pub overload_multiple: f64,
    /// The longest Retry-After that clients respect.
    pub max_retry_after: Time,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Concurrency pools; without pools, all request classes compete for the same slots.
    pub pools: PoolsConfig,
}

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The configuration of the concurrency pools is invalid, or refers to an unknown class.
    #[error("pools: {0}")]
    Pool(#[source] ConfigError),
}

impl Settings {
    /// Checks the settings that no rule clamps.
    ///
    /// # Errors
    ///
    /// Returns the first error in the configuration of the concurrency pools.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let errors = self.pools.validate(self.classes.len()).err().unwrap_or_default();
        match errors.into_iter().next() {
            Some(error) => Err(SettingsError::Pool(error)),
            None => Ok(()),
        }
    }
}
