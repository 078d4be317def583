//! The settings of one server, checked before the scheduler starts.

use crate::types::*;
use cypresscleat_concurrency::{ConfigError, PoolsConfig};

/// The settings of one server, passed to [`Scheduler::start`](crate::Scheduler::start).
///
/// Numbers out of range are clamped by the rule that uses them; [`Settings::validate`] reports what can't be clamped.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The request classes, by index.
    pub classes: Vec<RequestClass>,
    /// Requests per second within each tenant's quota, over the whole fleet.
    pub tenant_rates: Vec<f64>,
    /// Share of the priority weight kept by requests over their tenant's quota.
    pub over_quota_share: f64,
    /// Whether the priority weight is per unit of work; per request where not.
    pub weight_per_work: bool,
    /// Number of servers in the fleet.
    pub fleet_size: f64,
    /// Number of clients (routers, gateways) that send to this server.
    pub client_count: f64,
    /// Cores of this server.
    pub cores: f64,
    /// Whether this server starts cold and has to warm up.
    pub slow_start: bool,
    /// Speed at the start of the warm-up, as a part of the full speed.
    pub slow_start_initial: f64,
    /// Length of the warm-up.
    pub slow_start_duration: Time,
    /// Memory for requests.
    pub memory_kb: f64,
    /// Memory of one entry retained for retries.
    pub retained_entry_kb: f64,
    /// Memory of a running request as a multiple of its memory while queued.
    pub running_memory_factor: f64,
    /// What the host can do with a running request.
    pub stop_mode: StopMode,
    /// What clients take the load feedback to mean.
    pub load_feedback: LoadFeedbackKind,
    /// What requests call while they run.
    pub downstream: DownstreamKind,
    /// This server's quota of concurrent calls to a shared dependency.
    pub shared_call_quota: f64,
    /// The window over which the mean number of concurrent calls must keep to the quota.
    pub shared_call_window: Time,
    /// How long an abandoned call still occupies the shared dependency.
    pub abandoned_call_duration: Time,
    /// How long results of idempotent reads may be replayed.
    pub result_freshness: Time,
    /// How late an answer may be after the client's timeout.
    pub answer_slack: Time,
    /// How long clients may go on sending after draining has started.
    pub drain_grace: Time,
    /// Concurrency, as a multiple of the cores, past which the server slows down instead of speeding up.
    pub overload_multiple: f64,
    /// The longest Retry-After that clients honour.
    pub max_retry_after: Time,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Concurrency pools; without any, every class takes what it gets.
    pub pools: PoolsConfig,
}

/// Why settings can't be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A concurrency pool is wrong, or names a class that doesn't exist.
    #[error("pools: {0}")]
    Pool(#[source] ConfigError),
}

impl Settings {
    /// Checks what no rule can clamp.
    ///
    /// # Errors
    ///
    /// Returns the first fault of the concurrency pools.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let errors = self.pools.validate(self.classes.len()).err().unwrap_or_default();
        match errors.into_iter().next() {
            Some(error) => Err(SettingsError::Pool(error)),
            None => Ok(()),
        }
    }
}
