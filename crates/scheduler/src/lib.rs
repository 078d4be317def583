//! cypresscleat decides, inside each app server of a fleet, what it takes, runs and turns away.
//!
//! Build a [`Scheduler`] from [`Settings`], tell it what happens through one method per
//! message, and carry out what it asks of the [`Host`].
//!
//! ```
//! use cypresscleat_scheduler::*;
//!
//! #[derive(Default)]
//! struct Server(Vec<String>);
//!
//! impl Host for Server {
//!     fn run(&mut self, inv: RequestSlot) { self.0.push(format!("run {inv}")) }
//!     fn reject(&mut self, inv: RequestSlot, _: Time, _: bool) { self.0.push(format!("throttle {inv}")) }
//!     fn fail(&mut self, inv: RequestSlot) { self.0.push(format!("error {inv}")) }
//!     fn stop(&mut self, _: RequestSlot) {}
//!     fn call(&mut self, _: RequestSlot, _: Time) {}
//!     fn skip_call(&mut self, _: RequestSlot) {}
//!     fn retain_for_retries(&mut self, _: RequestSlot, _: Time) {}
//!     fn replay_result(&mut self, _: RequestSlot) {}
//!     fn set_health(&mut self, _: bool, _: bool) {}
//!     fn send_load_feedback(&mut self, _: f64) {}
//!     fn close_idle_connections(&mut self, _: Time) {}
//!     fn set_timer(&mut self, _: Time) {}
//!     fn log(&mut self, _: &str) {}
//!     fn release(&mut self, _: RequestSlot) {}
//! }
//!
//! let read = RequestClass { latency_objective: 10_000, timeout: 20_000, priority_weight: 1.0, ..RequestClass::default() };
//! let settings = Settings {
//!     classes: vec![read], cores: 1.0, overload_multiple: 8.0, memory_kb: 1e5, running_memory_factor: 4.0, ..Settings::default()
//! };
//! let mut server = Server::default();
//! let mut scheduler = Scheduler::start(0, settings, &mut server);
//! scheduler.handle_arrival(5, Arrival { slot: 0, memory_kb: 10.0, ..Arrival::default() }, &mut server);
//! scheduler.handle_arrival(9, Arrival { slot: 1, memory_kb: 10.0, ..Arrival::default() }, &mut server);
//! scheduler.handle_run_completed(900, 0, Outcome::Succeeded, &mut server);
//! assert_eq!(server.0, ["run 0", "run 1"]);
//! ```

mod api;
mod scheduler;

pub use api::*;
pub use scheduler::Scheduler;
