//! The interface of the decision module: plain types and the `Host` trait. Nothing here decides.

pub use cypresscleat_primitives::Time;

/// One invocation: a small index the adapter hands out and may hand out again after `Host::release`.
pub type RequestSlot = usize;

/// Whether an invocation may run again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetrySafety {
    #[default]
    Idempotent,
    IdempotencyKey,
    NonIdempotent,
}

/// What stopping a running invocation does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StopMode {
    #[default]
    Unsupported,
    Discard,
    Freeze,
}

/// What callers take the advertised value to mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadFeedbackKind {
    #[default]
    None,
    PriorityFloor,
    ConcurrencyAllowance,
    Weight,
}

/// What invocations call while they run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DownstreamKind {
    #[default]
    None,
    Tier,
    Shared,
}

#[derive(Clone, Debug, Default)]
pub struct RequestClass {
    pub latency_objective: Time,
    /// The objective grows by this multiple of the invocation's own work.
    pub objective_per_work: f64,
    pub timeout: Time,
    pub retry_safety: RetrySafety,
    pub priority_weight: f64,
    /// Share of the billed value kept by an answer after the objective.
    pub late_share: f64,
    /// Share kept by an answer made without the call below; 0 forbids skipping.
    pub degraded_share: f64,
    pub calls_downstream: bool,
    /// How long a tokened invocation may come back.
    pub retry_window: Time,
}

/// The settings of one app server, as told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub classes: Vec<RequestClass>,
    /// Invocations per second within each customer's share, over the whole fleet.
    pub tenant_rates: Vec<f64>,
    pub over_quota_share: f64,
    pub weight_per_work: bool,
    pub fleet_size: f64,
    pub client_count: f64,
    pub cores: f64,
    pub slow_start: bool,
    pub slow_start_initial: f64,
    pub slow_start_duration: Time,
    pub memory_kb: f64,
    pub retained_entry_kb: f64,
    pub running_memory_factor: f64,
    pub stop_mode: StopMode,
    pub load_feedback: LoadFeedbackKind,
    pub downstream: DownstreamKind,
    pub shared_call_quota: f64,
    pub shared_call_window: Time,
    pub abandoned_call_duration: Time,
    pub result_freshness: Time,
    pub answer_slack: Time,
    pub drain_grace: Time,
    pub overload_multiple: f64,
    pub max_retry_after: Time,
    pub seed: u64,
    /// None: every operation takes what it gets.
    pub pools: cypresscleat_concurrency::Setup,
}

/// An invocation that was read and waits for a decision.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    pub slot: RequestSlot,
    pub class: usize,
    pub tenant: Option<usize>,
    /// How long the caller still waits, where it says so.
    pub remaining_timeout: Option<Time>,
    pub client_priority: f64,
    /// `Some(None)` names an earlier one that has been released.
    pub earlier_attempt: Option<Option<RequestSlot>>,
    pub has_idempotency_key: bool,
    pub time_unread: Time,
    pub is_write: bool,
    pub is_retry: bool,
    /// Expected work, where told.
    pub expected_work: Option<f64>,
    pub memory_kb: f64,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Succeeded,
    Failed,
    Rejected,
    TimedOut,
    ConnectFailed,
    ConnectionLost,
    Cancelled,
    NotStarted,
}

/// The server's own measurements; `None` where not offered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    pub core_utilization: Option<f64>,
    pub runnable_tasks: Option<f64>,
    pub memory_share: Option<f64>,
    pub connections: Option<f64>,
}

/// What the module asks of whoever hosts it.
pub trait Host {
    /// Start a held invocation or resume a frozen one.
    fn run(&mut self, slot: RequestSlot);
    /// Final answer: turned away, come back after `retry_after`; `no_retry_elsewhere` asks not to try elsewhere.
    fn reject(&mut self, slot: RequestSlot, retry_after: Time, no_retry_elsewhere: bool);
    /// Final answer: errored.
    fn fail(&mut self, slot: RequestSlot);
    /// Stop the running work.
    fn stop(&mut self, slot: RequestSlot);
    fn call(&mut self, slot: RequestSlot, within: Time);
    fn skip_call(&mut self, slot: RequestSlot);
    /// Keep an entry so that repeats are linked to this invocation.
    fn retain_for_retries(&mut self, slot: RequestSlot, span: Time);
    /// Answer from the result of the invocation this one repeats.
    fn replay_result(&mut self, slot: RequestSlot);
    fn set_health(&mut self, good: bool, stored: bool);
    fn send_load_feedback(&mut self, value: f64);
    /// Close connections that have carried nothing for this long.
    fn close_idle_connections(&mut self, after: Time);
    fn set_timer(&mut self, after: Time);
    fn log(&mut self, line: &str);
    /// The module knows nothing more of this invocation; its index may be used again.
    fn release(&mut self, slot: RequestSlot);
}
