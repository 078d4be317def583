//! The interface through which the scheduler's decisions reach the server that hosts it.

use crate::events::SchedulerEvent;
use crate::reasons::{FailReason, RejectReason};
use crate::types::{RequestSlot, Time};

/// The final response to a rejected request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// How long the client should wait before it retries the request.
    pub retry_after: Time,
    /// Whether the client should not retry on another server in the meantime.
    pub no_retry_elsewhere: bool,
    /// The rule that rejected the request.
    pub reason: RejectReason,
}

/// Carries out the scheduler's decisions. Every request gets exactly one final response: the result of its run, `reject`,
/// `fail` or `replay_result`.
pub trait Host {
    /// Starts a queued request, or resumes a frozen one.
    fn run(&mut self, slot: RequestSlot);
    /// Rejects the request; this is its final response.
    fn reject(&mut self, slot: RequestSlot, rejection: Rejection);
    /// Responds with an error; this is the final response.
    fn fail(&mut self, slot: RequestSlot, reason: FailReason);
    /// Stops a running request.
    fn stop(&mut self, slot: RequestSlot);
    /// Makes the downstream call of a request; the call must end within `timeout`.
    fn call(&mut self, slot: RequestSlot, timeout: Time);
    /// Resumes a request without its downstream call.
    fn skip_call(&mut self, slot: RequestSlot);
    /// Retains an entry for `duration`, so that retries can be linked to this request.
    fn retain_for_retries(&mut self, slot: RequestSlot, duration: Time);
    /// Responds to a retry with the result of its earlier attempt, as soon as that result exists.
    fn replay_result(&mut self, slot: RequestSlot);
    /// Sets the response to health checks; with `from_cache` the response is prepared in advance and costs no work at the
    /// time of the check.
    fn set_health(&mut self, healthy: bool, from_cache: bool);
    /// Sends the load feedback to the clients. [`LoadFeedbackKind`](crate::LoadFeedbackKind) defines its meaning.
    fn send_load_feedback(&mut self, value: f64);
    /// Sets the idle timeout: from now on, client connections are closed after being idle for this long.
    fn close_idle_connections(&mut self, idle_for: Time);
    /// Schedules [`Scheduler::tick`](crate::Scheduler::tick) after this time.
    fn set_timer(&mut self, after: Time);
    /// Logs an event.
    fn log(&mut self, event: &SchedulerEvent);
    /// The scheduler has removed this request; its slot may be reused.
    fn release(&mut self, slot: RequestSlot);
}
