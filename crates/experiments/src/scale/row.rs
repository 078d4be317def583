//! A measured value at a size: the common format for the results of all parts of `scale`.

use serde::Serialize;

/// How a value was measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MeasurementKind {
    /// Real processes of the program, on loopback.
    Real,
    /// Simulated instances, many in one process: real decision code, real messages over real sockets, no work behind them.
    Hollow,
    /// Real decision code in simulated time, or the processor time of the decision code alone.
    Simulated,
}

/// One measured value.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Measurement {
    /// The measured role: `app-server`, `forwarder`, `planner`, `keeper`, `relay`, ...
    pub role: String,
    /// Count of what the metric is measured against.
    pub size: u64,
    /// Name of the metric and of what the size counts, such as `gossip bytes out by members`.
    pub metric: String,
    pub value: f64,
    /// `B/s`, `messages/s`, `us`, `ms`, `B`, `cores`.
    pub unit: String,
    pub how: MeasurementKind,
}

impl Measurement {
    pub fn new(
        role: &str,
        size: u64,
        metric: &str,
        value: f64,
        unit: &str,
        how: MeasurementKind,
    ) -> Measurement {
        Measurement { role: role.into(), size, metric: metric.into(), value, unit: unit.into(), how }
    }
}
