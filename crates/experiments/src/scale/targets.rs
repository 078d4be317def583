//! The target size, as stated by the users, and the budgets at that size.

use super::row::Measurement;

/// The users' requirements, and the sizes that follow from them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Targets {
    pub app_servers: u64,
    /// Machines reserved for control; these are members, as are the app servers.
    pub control_machines: u64,
    pub callers: u64,
    pub services: u64,
    pub requests_a_second: f64,
    pub routes: u64,
    pub tenants: u64,
    /// Latency added to a request, at the 99th percentile.
    pub added_ms: f64,
    pub regions: u64,
    pub zones: u64,
    pub changes_a_day: f64,
    pub in_force_ms: f64,
    /// Budget of an app server for control: share of a core, bytes of memory, bytes a second.
    pub cores: f64,
    pub memory: f64,
    pub bytes_a_second: f64,
    pub failures_a_day: f64,
    pub restarts_a_day: f64,
    /// Machines in a rack, and in a zone.
    pub rack: u64,
    pub zone: u64,
}

pub const TARGETS: Targets = Targets {
    app_servers: 5_800,
    control_machines: 54,
    callers: 200_000,
    services: 5_200,
    requests_a_second: 2_100_000.0,
    routes: 67_000,
    tenants: 660_000,
    added_ms: 3.7,
    regions: 8,
    zones: 17,
    changes_a_day: 12_000.0,
    in_force_ms: 14_000.0,
    cores: 0.028,
    memory: 64e6,
    bytes_a_second: 3_000.0,
    failures_a_day: 750.0,
    restarts_a_day: 11_000.0,
    rack: 40,
    zone: 340,
};

impl Targets {
    /// Seconds from a change to the next, on average.
    pub fn between_changes(&self) -> f64 {
        86_400.0 / self.changes_a_day
    }

    /// The target size of a metric, by what its name counts (`... by members, ...`). Metrics that name nothing known count app
    /// servers.
    pub fn size(&self, metric: &str) -> u64 {
        let counted = metric.rsplit(" by ").next().unwrap_or("");
        match counted.split([',', ' ']).next().unwrap_or("") {
            "members" => self.app_servers + self.control_machines,
            "callers" => self.callers,
            "services" => self.services,
            "routes" => self.routes,
            "tenants" => self.tenants,
            "zones" => self.zones,
            "regions" => self.regions,
            _ => self.app_servers,
        }
    }

    /// The budget of a value: the users' budgets; for a response in one datagram the maximum datagram size; for a control replica, a
    /// planner and a forwarder, which are single-threaded, one core. The time of a single decision is compared with the whole latency
    /// that may be added to a request. `None` if there is no budget.
    pub fn budget(&self, row: &Measurement) -> Option<f64> {
        // No budget for the wall time of a whole simulation, which isn't one role's own cost, and for seeds, which operators may place on
        // machines for control.
        if row.metric.contains("wall of the whole play") || row.metric.contains("of a seed") {
            return None;
        }
        let control = row.metric.starts_with("gossip")
            || row.metric.starts_with("rollout ")
            || row.metric.starts_with("owners ")
            || row.metric.starts_with("control ");
        let own = row.role == "app-server";
        match row.unit.as_str() {
            "B/s" if own && control => Some(self.bytes_a_second),
            "cores" if own => Some(self.cores),
            "cores" => Some(1.0),
            "B" if row.metric.contains("one datagram") => Some(MAX_DATAGRAM_BYTES),
            "entries" if row.metric.contains("one datagram") => Some(MAX_ENTRIES),
            "B" if own && row.metric.contains("in all") => Some(self.memory),
            "ms" if row.metric.contains("in force") => Some(self.in_force_ms),
            "ms" if row.metric.contains("added") => Some(self.added_ms),
            "us" if row.metric.contains("decision") => Some(self.added_ms * 1e3),
            _ => None,
        }
    }
}

/// Maximum payload bytes of a UDP datagram over IPv4: less than the 64 KiB of [`cypresscleat_forwarding::messages::MAX_MESSAGE_BYTES`].
pub const MAX_DATAGRAM_BYTES: f64 = 65_507.0;
/// Maximum grants in one response, and observations in one report.
pub const MAX_ENTRIES: f64 = cypresscleat_forwarding::messages::MAX_GRANTS as f64;
