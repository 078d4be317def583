//! The plain types of the interface: what the host tells the scheduler about requests, calls and itself.

pub use cypresscleat_primitives::Time;

/// Identifies an open request: its index in the request table, a small number that the host assigns and may assign again after
/// [`Host::release`](crate::Host::release). Not a concurrency slot: a queued request has an index too.
pub type RequestSlot = usize;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetrySafety {
    /// May be executed any number of times.
    #[default]
    Idempotent,
    /// Retries carry the idempotency key of the first attempt and get its result.
    IdempotencyKey,
    /// Must not be executed twice, and nothing identifies a retry.
    NonIdempotent,
}

/// What the host can do with a running request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StopMode {
    /// A running request can't be stopped.
    #[default]
    Unsupported,
    /// Stopping discards the work done so far.
    Discard,
    /// Stopping freezes the request; it may be resumed.
    Freeze,
}

/// What clients take the load feedback to mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadFeedbackKind {
    /// Clients take no feedback.
    #[default]
    None,
    /// The lowest client priority that is worth sending, from 0 to 1.
    PriorityFloor,
    /// How many requests each client may have outstanding.
    ConcurrencyAllowance,
    /// The load balancing weight of this server.
    Weight,
}

/// What requests call while they run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DownstreamKind {
    /// Nothing.
    #[default]
    None,
    /// A tier of servers that reject calls when they are full.
    Tier,
    /// One dependency shared by the whole fleet, of which each server has a quota.
    Shared,
}

/// The properties shared by all requests of one class.
#[derive(Clone, Debug, Default)]
pub struct RequestClass {
    /// Time from arrival within which an answer earns its full priority weight.
    pub latency_objective: Time,
    /// The objective grows by this multiple of the request's expected work.
    pub objective_per_work: f64,
    /// Time from arrival after which the client gives up, unless the request tells its own.
    pub timeout: Time,
    /// Whether a request may be executed more than once.
    pub retry_safety: RetrySafety,
    /// What an answer in time is worth.
    pub priority_weight: f64,
    /// Share of the weight kept by an answer after the objective.
    pub late_share: f64,
    /// Share of the weight kept by an answer made without the downstream call; 0 forbids skipping the call.
    pub degraded_share: f64,
    /// Whether requests of this class call downstream.
    pub calls_downstream: bool,
    /// How long retries of a request with an idempotency key may arrive.
    pub retry_window: Time,
}

/// The attempt that an arriving request repeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EarlierAttempt {
    /// The request is a first attempt.
    #[default]
    None,
    /// The earlier attempt is still known to the scheduler.
    Known(RequestSlot),
    /// The earlier attempt has been released; its result is kept by the host.
    Released,
}

/// A request that was read and waits for a decision.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// The slot assigned by the host.
    pub slot: RequestSlot,
    /// Index into [`Settings::classes`](crate::Settings::classes).
    pub class: usize,
    /// Index into [`Settings::tenant_rates`](crate::Settings::tenant_rates).
    pub tenant: Option<usize>,
    /// How long the client still waits, where it says so.
    pub remaining_timeout: Option<Time>,
    /// The priority sent by the client; no rule uses it.
    pub client_priority: f64,
    /// The attempt that this request repeats.
    pub earlier_attempt: EarlierAttempt,
    /// Whether the request carries an idempotency key.
    pub has_idempotency_key: bool,
    /// How long the request lay unread in the listener.
    pub time_unread: Time,
    /// Whether the request changes state.
    pub is_write: bool,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// Expected work in tenths of a millisecond, where the client sends it.
    pub expected_work: Option<f64>,
    /// Memory that the request takes while it is queued.
    pub memory_kb: f64,
}

/// How a run or a downstream call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It returned a result.
    Succeeded,
    /// It returned an error.
    Failed,
    /// The other end refused it without executing it.
    Rejected,
    /// No answer came in time.
    TimedOut,
    /// No connection could be made, so nothing was sent.
    ConnectFailed,
    /// The connection broke after something was sent.
    ConnectionLost,
    /// It was stopped on request.
    Cancelled,
    /// It never started.
    NotStarted,
}

/// The server's own measurements; `None` where not offered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Busy part of the cores, from 0 to 1.
    pub core_utilization: Option<f64>,
    /// Tasks that run or wait for a core.
    pub runnable_tasks: Option<f64>,
    /// Used part of the memory, from 0 to 1; no rule uses it.
    pub memory_share: Option<f64>,
    /// Open client connections.
    pub connections: Option<f64>,
}
