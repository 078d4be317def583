//! The app server round the decision module: sockets outside, one core that owns the module inside.

pub mod args;
pub mod calls;
pub mod clock;
pub mod config;
pub mod core;
pub mod counters;
pub mod forward;
pub mod frames;
pub mod fronts;
pub mod hours;
pub mod http;
pub mod journal;
pub mod kernel;
pub mod lines;
pub mod log;
pub mod operator;
pub mod owning;
pub mod plan;
pub mod pool;
pub mod ready;
pub mod recovery;
pub mod relaying;
pub mod rolling;
pub mod roster;
pub mod sockets;
