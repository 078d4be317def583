//! The app server around the scheduler: tasks that own sockets, and one core task that owns the scheduler.

pub mod args;
pub mod clock;
pub mod config;
pub mod core;
pub mod counters;
pub mod downstream;
pub mod forwarder;
pub mod frames;
pub mod hourly_usage;
pub mod http;
pub mod journal;
pub mod kernel;
pub mod leases;
pub mod lines;
pub mod listeners;
pub mod log;
pub mod operator;
pub mod planner;
pub mod pool;
pub mod ready;
pub mod relay;
pub mod rollout;
pub mod roster;
pub mod signals;
pub mod sockets;
pub mod store_thread;
