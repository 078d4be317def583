//! What the scheduler asks of whoever hosts it.

use crate::events::SchedulerEvent;
use crate::reasons::{FailReason, RejectReason};
use crate::types::{RequestSlot, Time};

/// The final answer to a rejected request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// How long the client is asked to wait before it sends the request again.
    pub retry_after: Time,
    /// Whether the client is asked not to try another server meanwhile.
    pub no_retry_elsewhere: bool,
    /// The rule that rejected the request.
    pub reason: RejectReason,
}

/// Carries out the decisions. Every request gets exactly one final answer: the result of its run, `reject`, `fail` or
/// `replay_result`.
pub trait Host {
    /// Starts a queued request, or resumes a frozen one.
    fn run(&mut self, slot: RequestSlot);
    /// Final answer: rejected.
    fn reject(&mut self, slot: RequestSlot, rejection: Rejection);
    /// Final answer: an error.
    fn fail(&mut self, slot: RequestSlot, reason: FailReason);
    /// Stops a running request.
    fn stop(&mut self, slot: RequestSlot);
    /// Makes the downstream call of a request; it must end within `timeout`.
    fn call(&mut self, slot: RequestSlot, timeout: Time);
    /// Resumes a request without its downstream call.
    fn skip_call(&mut self, slot: RequestSlot);
    /// Keeps an entry for `duration`, so that retries are linked to this request.
    fn retain_for_retries(&mut self, slot: RequestSlot, duration: Time);
    /// Answers a retry with the result of its earlier attempt, as soon as there is one.
    fn replay_result(&mut self, slot: RequestSlot);
    /// Sets what health checks are answered; with `from_cache` without work at the time of the check.
    fn set_health(&mut self, healthy: bool, from_cache: bool);
    /// Sends the load feedback to the clients; its meaning is [`LoadFeedbackKind`](crate::LoadFeedbackKind).
    fn send_load_feedback(&mut self, value: f64);
    /// Closes client connections that have been idle for this long, from now on.
    fn close_idle_connections(&mut self, idle_for: Time);
    /// Asks for [`Scheduler::tick`](crate::Scheduler::tick) after this time.
    fn set_timer(&mut self, after: Time);
    /// Logs an event.
    fn log(&mut self, event: &SchedulerEvent);
    /// The scheduler knows nothing more of this request; its slot may be assigned again.
    fn release(&mut self, slot: RequestSlot);
}
