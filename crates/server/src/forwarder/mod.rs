//! The forwarder in the two-level setup: requests that the scheduler starts go to a worker. `worker_fleet` runs attempts,
//! `connection` holds the connections to workers, `health` checks workers, `cluster_socket` exchanges messages with planners and
//! other members. The decisions are made in the crate `cypresscleat-forwarding`.

pub mod cluster_socket;
mod connection;
mod health;
pub mod worker_fleet;

/// A worker in the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerConfig {
    pub name: String,
    pub address: std::net::SocketAddr,
    /// Configured concurrency slots, the key `places` of the operator's file.
    pub slots: f64,
}

/// A planner and the address of its datagram socket.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerConfig {
    pub name: String,
    pub address: std::net::SocketAddr,
}

/// The planners and workers in the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct TierConfig {
    /// Address of this instance's datagram socket.
    pub listen: std::net::SocketAddr,
    pub planners: Vec<PlannerConfig>,
    pub workers: Vec<WorkerConfig>,
}
