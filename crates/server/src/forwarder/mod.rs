//! The forwarder's side of the two levels: what the module wants run goes to a worker. `fleet` holds the connections to workers
//! and carries tries to their end; `talk` speaks with planners and other members. What they decide stands in the crate `tier`.

pub mod fleet;
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
