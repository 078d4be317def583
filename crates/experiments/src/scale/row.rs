//! What was measured at which size: the one shape in which every part of `scale` gives its figures.

use serde::Serialize;

/// How a figure came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum How {
    /// Real processes of the program, on loopback.
    Real,
    /// Many instances in one process: real deciders, real messages over real sockets, no work below.
    Hollow,
    /// Real deciders in simulated time, or a decider alone with its own time measured.
    Simulated,
}

/// One measured figure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Whose figure it is: `app-server`, `forwarder`, `planner`, `keeper`, `relay`, ...
    pub role: String,
    /// How many of what the metric grows with were there.
    pub size: u64,
    /// Its name says what it is of and what the size counts, as `gossip bytes out by members`.
    pub metric: String,
    pub value: f64,
    /// `B/s`, `messages/s`, `us`, `ms`, `B`, `cores`.
    pub unit: String,
    pub how: How,
}

impl Row {
    pub fn new(role: &str, size: u64, metric: &str, value: f64, unit: &str, how: How) -> Row {
        Row { role: role.into(), size, metric: metric.into(), value, unit: unit.into(), how }
    }
}
