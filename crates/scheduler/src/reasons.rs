//! Why a request was rejected or failed. Each reason names the rule that decided it.

/// Why a request was rejected; it has not run, and the client may send it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The server drains and the request came after the grace or near the stop (`admission/draining.rs`).
    Draining,
    /// There is no room to retain an entry for its retries (`admission/deduplication.rs`).
    IdempotencyTableFull,
    /// It can no longer be answered within its latency objective (`timers.rs`).
    ObjectiveUnreachable,
    /// Memory is past the high watermark and the request was the largest (`admission/memory.rs`).
    MemoryPressure,
    /// The queue is longer than the latency objectives allow (`admission/queue.rs`).
    QueueFull,
    /// Its downstream call could not be made in time (`admission/queue.rs`).
    CallQueueFull,
    /// Its run was stopped without an answer and nothing forbids another attempt (`completion.rs`).
    StoppedWithoutAnswer,
}

/// Why a request was answered with an error; it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailReason {
    /// The client's deadline passed (`timers.rs`).
    DeadlinePassed,
    /// The latency objective passed and a late answer is worth nothing (`timers.rs`). A running request fails so only while
    /// others are queued and the executor can stop work; a parked one, which waits for its call, in any case.
    ObjectivePassed,
    /// Its downstream call failed for good (`downstream/mod.rs`).
    CallFailed,
    /// Too little time was left for its downstream call (`downstream/mod.rs`).
    NoTimeForCall,
    /// An earlier attempt ran and failed, and the request must not run twice (`admission/deduplication.rs`).
    EarlierAttemptFailed,
    /// It was to be rejected, but has run and must not run again, or is past the queue (`completion.rs`).
    CannotBeRejected(RejectReason),
}
