//! The forwarder's side of the two levels: what the scheduler wants run goes to a worker. `fleet` carries attempts to their end,
//! `connection` holds connections to workers, `health` checks workers, `talk` speaks with planners and other members. What they
//! decide stands in the crate `cypresscleat-forwarding`.

mod connection;
pub mod fleet;
mod health;
pub mod talk;

/// A worker as the operator's file has it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerSet {
    pub name: String,
    pub address: std::net::SocketAddr,
    pub places: f64,
}

/// A planner, where it hears.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerSet {
    pub name: String,
    pub address: std::net::SocketAddr,
}

/// The two levels as the operator's file has them.
#[derive(Clone, Debug, PartialEq)]
pub struct Tier {
    /// Where this instance hears messages, by datagrams.
    pub listen: std::net::SocketAddr,
    pub planners: Vec<PlannerSet>,
    pub workers: Vec<WorkerSet>,
}
