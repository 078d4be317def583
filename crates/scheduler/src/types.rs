//! The data types of the interface: what the host reports to the scheduler about requests, calls and the server.

pub use cypresscleat_primitives::Time;

/// Identifies an open request by its index in the request table: a small number that the host assigns and may reuse after
/// [`Host::release`](crate::Host::release). Not a concurrency slot: queued requests have a request slot too.
pub type RequestSlot = usize;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetrySafety {
    /// May be executed any number of times.
    #[default]
    Idempotent,
    /// Retries carry the idempotency key of the first attempt and receive the result of that attempt.
    IdempotencyKey,
    /// Must not be executed twice, and a retry can't be recognized.
    NonIdempotent,
}

/// Whether and how the host can stop a running request.
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

/// How clients interpret the load feedback.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadFeedbackKind {
    /// Clients don't use load feedback.
    #[default]
    None,
    /// The lowest client priority that clients should send, from 0 to 1.
    PriorityFloor,
    /// The maximum number of outstanding requests per client.
    ConcurrencyAllowance,
    /// The load balancing weight of this server.
    Weight,
}

/// The downstream service that running requests call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DownstreamKind {
    /// Requests make no downstream calls.
    #[default]
    None,
    /// A tier of servers that reject calls when they are overloaded.
    Tier,
    /// One dependency shared by the whole fleet; each server has a quota of its concurrent calls.
    Shared,
}

/// The properties shared by all requests of one request class.
#[derive(Clone, Debug, Default)]
pub struct RequestClass {
    /// Time from arrival within which a response has its full priority weight.
    pub latency_objective: Time,
    /// Multiple of the request's expected work that is added to the latency objective.
    pub objective_per_work: f64,
    /// Time from arrival after which the client gives up, unless the request carries its own timeout.
    pub timeout: Time,
    /// Whether a request may be executed more than once.
    pub retry_safety: RetrySafety,
    /// Priority weight of a response within the latency objective.
    pub priority_weight: f64,
    /// Share of the priority weight that remains for a response after the latency objective.
    pub late_share: f64,
    /// Share of the priority weight that remains for a response made without the downstream call; 0 forbids skipping the
    /// call.
    pub degraded_share: f64,
    /// Whether requests of this class call downstream.
    pub calls_downstream: bool,
    /// How long after a request with an idempotency key its retries may arrive.
    pub retry_window: Time,
}

/// The earlier attempt that an arriving request retries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EarlierAttempt {
    /// The request is a first attempt.
    #[default]
    None,
    /// The earlier attempt is still in the scheduler's request table.
    Known(RequestSlot),
    /// The earlier attempt has been released; the host retains its result.
    Released,
}

/// A request that was read and awaits an admission decision.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// The slot assigned by the host.
    pub slot: RequestSlot,
    /// Index into [`Settings::classes`](crate::Settings::classes).
    pub class: usize,
    /// Index into [`Settings::tenant_rates`](crate::Settings::tenant_rates).
    pub tenant: Option<usize>,
    /// How long the client still waits, where the client sends it.
    pub remaining_timeout: Option<Time>,
    /// The priority sent by the client. No rule uses it.
    pub client_priority: f64,
    /// The earlier attempt that this request retries.
    pub earlier_attempt: EarlierAttempt,
    /// Whether the request carries an idempotency key.
    pub has_idempotency_key: bool,
    /// How long the request waited in the listener before it was read.
    pub time_unread: Time,
    /// Whether the request changes state.
    pub is_write: bool,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// Expected work in tenths of a millisecond, where the client sends it.
    pub expected_work: Option<f64>,
    /// Memory that the request uses while it is queued.
    pub memory_kb: f64,
}

/// How a run or a downstream call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The run or call returned a result.
    Succeeded,
    /// The run or call returned an error.
    Failed,
    /// The other end rejected the run or call without executing it.
    Rejected,
    /// No response came in time.
    TimedOut,
    /// No connection could be made, so nothing was sent.
    ConnectFailed,
    /// The connection was lost after data had been sent.
    ConnectionLost,
    /// The run or call was stopped on request.
    Cancelled,
    /// The run or call never started.
    NotStarted,
}

/// The server's own measurements; `None` where the platform doesn't provide one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Fraction of the cores that is busy, from 0 to 1.
    pub core_utilization: Option<f64>,
    /// Number of tasks that run or wait for a core.
    pub runnable_tasks: Option<f64>,
    /// Fraction of the memory that is used, from 0 to 1. No rule uses it.
    pub memory_share: Option<f64>,
    /// Number of open client connections.
    pub connections: Option<f64>,
}

/// Counts and sums over the open requests of a scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestUsage {
    /// Number of queued requests.
    pub queued: usize,
    /// Number of requests that hold a concurrency slot.
    pub running: usize,
    /// Number of downstream calls in flight.
    pub calling: usize,
    /// Total scaled work of the queued requests.
    pub queued_work: f64,
    /// Memory of the open requests and of the entries that are retained for retries, in kilobytes.
    pub used_memory_kb: f64,
}
