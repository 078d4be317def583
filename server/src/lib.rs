//! The app server round the decision module: sockets outside, one core that owns the module inside.

pub mod clock;
pub mod config;
pub mod core;
pub mod counters;
pub mod frames;
pub mod front;
pub mod http;
pub mod kernel;
pub mod ledger;
pub mod lines;
pub mod log;
pub mod pool;
pub mod roster;
