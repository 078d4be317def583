//! Decides which requests one server of a fleet admits, runs and rejects. The crate has no I/O and no clock: the same
//! events give the same decisions, and random numbers depend only on the seed.
//!
//! Build a [`Scheduler`] from [`Settings`], report each event through its method, and carry out the actions that the
//! scheduler requests from the [`Host`].
//!
//! # Lifecycle of a request
//!
//! 1. [`Scheduler::handle_arrival`]: the request joins the queue and passes `ADMISSION_STAGES` below, in that order. Each
//!    stage lets the request continue or ends it with a final response; the last stage leaves it queued. A stage may also
//!    reject *other* queued requests that have a lower priority or a greater size.
//! 2. `dispatch.rs` starts queued requests by a weighted random draw, within the concurrency limit
//!    (`concurrency_limit.rs`), the survivable concurrency during warm-up (`slow_start.rs`), the memory limit and the
//!    limits of the pools.
//! 3. [`Scheduler::handle_call_needed`]: a running request calls downstream (`downstream/mod.rs`), within the limits of a
//!    tier (`downstream/tier.rs`) or of a shared dependency (`downstream/shared.rs`).
//! 4. [`Scheduler::handle_run_completed`]: the request passes `COMPLETION_STAGES` and is released, or its entry is retained
//!    for retries (`completion.rs`).
//!
//! Independently of these steps, [`Scheduler::tick`] fires the timers (`timers.rs`): a request that can't meet its latency
//! objective is rejected, and a request past its deadline fails. The tick also updates the estimates (`estimates.rs`), the
//! limits, the idle timeout of connections (`connections.rs`) and the load feedback to the clients (`load_feedback.rs`).
//!
//! Each rejection and each failure carries the rule that caused it: see [`RejectReason`] and [`FailReason`].
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

/// The admission stages of an arriving request, in order.
const ADMISSION_STAGES: [AdmissionStage; 6] = [
    // While the server drains: rejects requests that arrive after the grace period or once the stop is reached
    // (`RejectReason::Draining`).
    admission::draining::admit,
    // Gives a retry the result of its earlier attempt; fails the retry if that attempt ran and failed
    // (`FailReason::EarlierAttemptFailed`); rejects a request whose idempotency key can't be retained
    // (`RejectReason::IdempotencyTableFull`).
    admission::deduplication::admit,
    // Charges the tenant's quota. Never rejects, but requests over the quota are shed first by the stages below.
    admission::quota::admit,
    // Rejects a request whose latency objective has already passed (`RejectReason::ObjectiveUnreachable`), or fails it at
    // its deadline.
    admission::deadline::admit,
    // Rejects the largest queued requests while memory use is above the high watermark (`RejectReason::MemoryPressure`).
    admission::memory::admit,
    // Rejects the requests of lowest priority while the queue is longer than the latency objectives allow
    // (`RejectReason::QueueFull`) or downstream calls can't be made in time (`RejectReason::CallQueueFull`).
    admission::queue::admit,
];

/// The completion stages of a request whose run has ended, in order.
const COMPLETION_STAGES: [CompletionStage; 2] = [
    // Counts a call still in flight as abandoned; records the time spent on downstream calls.
    completion::record_calls,
    // Records the running time for the request class.
    completion::record_run,
];
