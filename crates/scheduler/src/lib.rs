//! cypresscleat decides, inside each app server of a fleet, what it takes, runs and turns away.
//!
//! Build a [`Brain`] from [`api::Settings`], tell it what happens through one method per
//! message, and carry out what it asks of the [`api::Host`].
//!
//! ```
//! use cypresscleat_scheduler::{api::*, Brain};
//!
//! #[derive(Default)]
//! struct Server(Vec<String>);
//!
//! impl Host for Server {
//!     fn run(&mut self, inv: Inv) { self.0.push(format!("run {inv}")) }
//!     fn throttle(&mut self, inv: Inv, _: Time, _: bool) { self.0.push(format!("throttle {inv}")) }
//!     fn error(&mut self, inv: Inv) { self.0.push(format!("error {inv}")) }
//!     fn stop(&mut self, _: Inv) {}
//!     fn call(&mut self, _: Inv, _: Time) {}
//!     fn skip_call(&mut self, _: Inv) {}
//!     fn keep(&mut self, _: Inv, _: Time) {}
//!     fn reuse(&mut self, _: Inv) {}
//!     fn health(&mut self, _: bool, _: bool) {}
//!     fn advertise(&mut self, _: f64) {}
//!     fn close_idle(&mut self, _: Time) {}
//!     fn wake(&mut self, _: Time) {}
//!     fn log(&mut self, _: &str) {}
//!     fn release(&mut self, _: Inv) {}
//! }
//!
//! let read = Operation { objective: 10_000, timeout: 20_000, billed: 1.0, ..Operation::default() };
//! let settings = Settings {
//!     operations: vec![read], cores: 1.0, tip: 8.0, memory_kb: 1e5, blowup: 4.0, ..Settings::default()
//! };
//! let mut server = Server::default();
//! let mut brain = Brain::start(0, settings, &mut server);
//! brain.arrived(5, Arrival { inv: 0, kb: 10.0, ..Arrival::default() }, &mut server);
//! brain.arrived(9, Arrival { inv: 1, kb: 10.0, ..Arrival::default() }, &mut server);
//! brain.run_ended(900, 0, Outcome::Succeeded, &mut server);
//! assert_eq!(server.0, ["run 0", "run 1"]);
//! ```

pub mod api;
mod brain;

pub use brain::Brain;
