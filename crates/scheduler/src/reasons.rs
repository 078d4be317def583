//! Why a request was rejected or failed. Each reason identifies the rule that made the decision.

/// Why a request was rejected. A rejected request has not run, and the client may retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The server drains, and the request arrived after the grace period or once the stop was reached
    /// (`admission/draining.rs`).
    Draining,
    /// No memory is left to retain an entry for retries of the request (`admission/deduplication.rs`).
    IdempotencyTableFull,
    /// The request can no longer complete within its latency objective (`timers.rs`).
    ObjectiveUnreachable,
    /// Memory use is above the high watermark and the request was the largest one queued (`admission/memory.rs`).
    MemoryPressure,
    /// The queue is longer than the latency objectives allow (`admission/queue.rs`).
    QueueFull,
    /// The downstream call of the request could not be made in time (`admission/queue.rs`).
    CallQueueFull,
    /// The run was stopped without a response, and another attempt is safe (`completion.rs`).
    StoppedWithoutAnswer,
}

/// Why a request failed with an error. A failed request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailReason {
    /// The client's deadline passed (`timers.rs`).
    DeadlinePassed,
    /// The latency objective passed and a late response has no priority weight (`timers.rs`). A running request fails for this
    /// reason only while others are queued and the executor can stop runs; a parked request, which waits for its downstream
    /// call, fails in any case.
    ObjectivePassed,
    /// The downstream call failed and is not retried (`downstream/mod.rs`).
    CallFailed,
    /// Too little time was left for the downstream call (`downstream/mod.rs`).
    NoTimeForCall,
    /// An earlier attempt ran and failed, and the request must not run twice (`admission/deduplication.rs`).
    EarlierAttemptFailed,
    /// The request was to be rejected, but it has run and must not run again, or it is no longer queued (`completion.rs`).
    CannotBeRejected(RejectReason),
}
