//! Decides, inside each server of a fleet, what it admits, runs and rejects. No I/O, no clock: the same events give the
//! same decisions, and random numbers come from the seed alone.
//!
//! Build a [`Scheduler`] from [`Settings`], tell it what happens through one method per event, and carry out what it asks
//! of the [`Host`].
//!
//! # The way of a request
//!
//! 1. [`Scheduler::handle_arrival`]: the request joins the queue and passes `ADMISSION_STAGES` below, in that order. Each
//!    stage lets it continue or gives it its final answer; the last leaves it queued. Stages may also reject *other*
//!    queued requests, of less priority or greater size.
//! 2. `dispatch.rs` starts queued requests by the weighted draw, while the concurrency limit (`concurrency_limit.rs`), the
//!    concurrency that the server survives while it warms up (`slow_start.rs`), its memory and its pools allow.
//! 3. [`Scheduler::handle_call_needed`]: a running request calls downstream (`downstream/mod.rs`), as the limits of a tier
//!    (`downstream/tier.rs`) or of a shared dependency (`downstream/shared.rs`) allow.
//! 4. [`Scheduler::handle_run_completed`]: it passes `COMPLETION_STAGES` and is released, or its entry is retained for
//!    retries (`completion.rs`).
//!
//! Beside this way, [`Scheduler::tick`] fires the timers (`timers.rs`): one that can't meet its latency objective is
//! rejected, one past its deadline fails. It updates the estimates (`estimates.rs`) and limits, the idle timeout of
//! connections (`connections.rs`) and the load feedback to the clients (`load_feedback.rs`).
//!
//! A request that was rejected or failed names its rule: see [`RejectReason`] and [`FailReason`].
//!
//! # Example
//!
//! ```
//! use cypresscleat_scheduler::*;
//!
//! #[derive(Default)]
//! struct Server(Vec<String>);
//!
//! impl Host for Server {
//!     fn run(&mut self, slot: RequestSlot) { self.0.push(format!("run {slot}")) }
//!     fn reject(&mut self, slot: RequestSlot, rejection: Rejection) {
//!         self.0.push(format!("reject {slot}: {:?}", rejection.reason))
//!     }
//!     fn fail(&mut self, slot: RequestSlot, reason: FailReason) { self.0.push(format!("fail {slot}: {reason:?}")) }
//!     fn stop(&mut self, _: RequestSlot) {}
//!     fn call(&mut self, _: RequestSlot, _: Time) {}
//!     fn skip_call(&mut self, _: RequestSlot) {}
//!     fn retain_for_retries(&mut self, _: RequestSlot, _: Time) {}
//!     fn replay_result(&mut self, _: RequestSlot) {}
//!     fn set_health(&mut self, _: bool, _: bool) {}
//!     fn send_load_feedback(&mut self, _: f64) {}
//!     fn close_idle_connections(&mut self, _: Time) {}
//!     fn set_timer(&mut self, _: Time) {}
//!     fn log(&mut self, _: &SchedulerEvent) {}
//!     fn release(&mut self, _: RequestSlot) {}
//! }
//!
//! let read = RequestClass {
//!     latency_objective: 10_000, timeout: 20_000, priority_weight: 1.0, ..RequestClass::default()
//! };
//! let settings = Settings {
//!     classes: vec![read], cores: 1.0, overload_multiple: 8.0, memory_kb: 1e5, running_memory_factor: 4.0,
//!     ..Settings::default()
//! };
//! settings.validate()?;
//! let mut server = Server::default();
//! let mut scheduler = Scheduler::start(0, settings, &mut server);
//! scheduler.handle_arrival(5, Arrival { slot: 0, memory_kb: 10.0, ..Arrival::default() }, &mut server);
//! scheduler.handle_arrival(9, Arrival { slot: 1, memory_kb: 10.0, ..Arrival::default() }, &mut server);
//! scheduler.handle_run_completed(900, 0, Outcome::Succeeded, &mut server);
//! assert_eq!(server.0, ["run 0", "run 1"]);
//! # Ok::<(), SettingsError>(())
//! ```

#![warn(missing_docs)]

mod admission;
mod completion;
mod concurrency_limit;
mod connections;
mod dispatch;
mod downstream;
mod estimates;
mod events;
mod host;
mod load_feedback;
mod reasons;
mod request_table;
mod scheduler;
mod settings;
mod slow_start;
mod timers;
mod types;

pub use events::SchedulerEvent;
pub use host::{Host, Rejection};
pub use reasons::{FailReason, RejectReason};
pub use scheduler::Scheduler;
pub use settings::{Settings, SettingsError};
pub use types::*;

use admission::AdmissionStage;
use completion::CompletionStage;

/// The stages that an arriving request passes, in this order.
const ADMISSION_STAGES: [AdmissionStage; 6] = [
    // While the server drains: rejects what comes after the grace or near the stop (`RejectReason::Draining`).
    admission::draining::admit,
    // Gives a retry the result of its earlier attempt; fails it where that one ran and failed
    // (`FailReason::EarlierAttemptFailed`), rejects it where its key can't be kept (`RejectReason::IdempotencyTableFull`).
    admission::deduplication::admit,
    // Charges the tenant's quota; never rejects, but what is over the quota is the first to be shed by the stages below.
    admission::quota::admit,
    // Rejects what already can't meet its objective (`RejectReason::ObjectiveUnreachable`), or fails it at its deadline.
    admission::deadline::admit,
    // Rejects the largest queued requests while memory is past the high watermark (`RejectReason::MemoryPressure`).
    admission::memory::admit,
    // Rejects the lowest priority while the queue is longer than objectives allow (`RejectReason::QueueFull`) or calls
    // can't be made in time (`RejectReason::CallQueueFull`).
    admission::queue::admit,
];

/// The stages that a request passes when its run ends, in this order.
const COMPLETION_STAGES: [CompletionStage; 2] = [
    // Counts a call still in flight as abandoned; learns the time spent at calls.
    completion::record_calls,
    // Learns the running time of the class.
    completion::record_run,
];
