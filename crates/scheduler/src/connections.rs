//! Idle connections: how long a client connection may be idle before it is closed.
//!
//! Guards against a connection table filled by many clients that seldom use their connections: a fuller table costs more CPU
//! time, and a full table keeps clients out while cores are idle. The timeout depends on the mean time between two arrivals
//! from one client: the further that time exceeds the idle time whose cost equals that of a new connection, the shorter the
//! timeout.

use crate::estimates::smooth;
use crate::host::Host;
use crate::load_feedback::FEEDBACK_INTERVAL;
use crate::settings::Settings;
use crate::types::{Gauges, Time};

/// Idle time, in tenths of a millisecond, after which an idle connection has used about as much CPU time as a new connection
/// costs.
const BREAK_EVEN_IDLE_TIME: f64 = 50_000.0;
/// Up to this number of open connections per core the timeout is [`MAX_IDLE_TIMEOUT`], so that the clients of a server with
/// few clients don't have to reconnect.
const FREE_CONNECTIONS_PER_CORE: f64 = 2.0;
/// Bounds of the idle timeout, in tenths of a millisecond.
const MIN_IDLE_TIMEOUT: f64 = 100.0;
const MAX_IDLE_TIMEOUT: f64 = 300_000.0;
/// Largest factor by which the timeout falls per feedback interval.
const MAX_DECREASE_FACTOR: f64 = 1.2;
/// Smallest factor by which the timeout must change to be reported to the host.
const MIN_REPORTED_CHANGE: f64 = 1.1;
/// Utilization below which the cost of an idle connection is weighted less.
const IDLE_CORES_UTILIZATION: f64 = 0.5;
/// Lower bound of the relative utilization in that weight, and the exponent of the weight.
const MIN_UTILIZATION_WEIGHT: f64 = 0.1;
const UTILIZATION_WEIGHT_POWER: i32 = 4;
/// A connection storm: the mean share of reading and connecting among the runnable tasks, and the mean utilization, exceed
/// these values.
const STORM_CONNECTION_SHARE: f64 = 0.8;
const STORM_UTILIZATION: f64 = 0.9;

/// Owns the idle timeout and the smoothed means that it depends on.
#[derive(Default)]
pub(crate) struct IdleConnections {
    client_count: f64,
    cores: f64,
    idle_timeout: f64,
    reported_idle_timeout: f64,
    mean_utilization: f64,
    /// Mean share of reading and connecting among the runnable tasks.
    mean_connection_share: f64,
    /// Arrivals per tenth of a millisecond.
    arrival_rate: f64,
    /// Number of arrivals since the rate was last updated.
    arrivals: usize,
}

impl IdleConnections {
    pub(crate) fn new(settings: &Settings) -> IdleConnections {
        IdleConnections {
            client_count: settings.client_count.max(1.0),
            cores: settings.cores.max(1.0),
            ..IdleConnections::default()
        }
    }

    pub(crate) fn record_arrival(&mut self) {
        self.arrivals += 1;
    }

    /// Records the gauges at each tick.
    pub(crate) fn record_gauges(&mut self, gauges: Gauges, running: f64) {
        let runnable = gauges.runnable_tasks.unwrap_or(0.0);
        smooth(&mut self.mean_utilization, gauges.core_utilization.unwrap_or(0.0));
        smooth(&mut self.mean_connection_share, (runnable - running).max(0.0) / runnable.max(1.0));
    }

    /// Updates the timeout, once per feedback interval, and reports it to the host if it has changed enough.
    pub(crate) fn update(&mut self, gauges: Gauges, host: &mut dyn Host) {
        let rate = std::mem::take(&mut self.arrivals) as f64 / FEEDBACK_INTERVAL as f64;
        smooth(&mut self.arrival_rate, rate);
        // In a connection storm connections stay open: a connection attempt that finds the table full costs less than a
        // request that is read.
        let is_storm =
            self.mean_connection_share > STORM_CONNECTION_SHARE && self.mean_utilization > STORM_UTILIZATION;
        let target = self.break_even_timeout();
        self.idle_timeout =
            if is_storm { MAX_IDLE_TIMEOUT } else { target.max(self.idle_timeout / MAX_DECREASE_FACTOR) };
        // Few connections cost almost nothing and keep no client out; a returning client can reuse its connection.
        let has_few_connections =
            gauges.connections.is_none_or(|open| open <= self.cores * FREE_CONNECTIONS_PER_CORE);
        let timeout = if has_few_connections { MAX_IDLE_TIMEOUT } else { self.idle_timeout };
        let (reported, change) = (self.reported_idle_timeout, MIN_REPORTED_CHANGE);
        if timeout.max(reported) > timeout.min(reported) * change {
            self.reported_idle_timeout = timeout;
            host.close_idle_connections(timeout as Time);
        }
    }

    /// The timeout at which an idle connection costs as much as a new connection. If clients return within
    /// [`MAX_IDLE_TIMEOUT`], the cost of idle connections is weighted less the lower the utilization is.
    fn break_even_timeout(&self) -> f64 {
        let has_returning_clients = self.arrival_rate * MAX_IDLE_TIMEOUT > self.client_count;
        let cost_weight = if has_returning_clients {
            (self.mean_utilization / IDLE_CORES_UTILIZATION)
                .clamp(MIN_UTILIZATION_WEIGHT, 1.0)
                .powi(UTILIZATION_WEIGHT_POWER)
        } else {
            1.0
        };
        (BREAK_EVEN_IDLE_TIME * BREAK_EVEN_IDLE_TIME * self.arrival_rate / self.client_count / cost_weight)
            .clamp(MIN_IDLE_TIMEOUT, MAX_IDLE_TIMEOUT)
    }
}
