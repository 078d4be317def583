//! The forwarder's side of the two levels: what the scheduler wants run goes to a worker. `worker_fleet` carries attempts to their end,
//! `connection` holds connections to workers, `health` checks workers, `cluster_socket` speaks with planners and other members. What they
//! decide stands in the crate `cypresscleat-forwarding`.

pub mod cluster_socket;
mod connection;
mod health;
pub mod worker_fleet;

/// A worker as the operator's file has it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerConfig {
    pub name: String,
    pub address: std::net::SocketAddr,
    pub slots: f64,
}

/// A planner, where it hears.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerConfig {
    pub name: String,
    pub address: std::net::SocketAddr,
}

/// The two levels as the operator's file has them.
#[derive(Clone, Debug, PartialEq)]
pub struct TierConfig {
    /// Where this instance hears messages, by datagrams.
    pub listen: std::net::SocketAddr,
    pub planners: Vec<PlannerConfig>,
    pub workers: Vec<WorkerConfig>,
}
