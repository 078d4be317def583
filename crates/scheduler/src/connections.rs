//! Idle connections: how long a client connection may idle before it is closed.
//!
//! Guards against a table of connections that many clients fill, each with one that it seldom uses: a fuller table takes
//! more of the cores, a full one keeps clients out while cores idle. The mean time between two arrivals of one client
//! decides: past the time in which an idle connection costs what a new one does, it is closed so much the sooner.

use crate::estimates::smooth;
use crate::host::Host;
use crate::load_feedback::FEEDBACK_INTERVAL;
use crate::settings::Settings;
use crate::types::{Gauges, Time};

/// A connection that idles this long (tenths of a millisecond) takes about as much of the cores as a new one costs.
const BREAK_EVEN_IDLE_TIME: f64 = 50_000.0;
/// While no more connections a core than this are open, they may idle for [`MAX_IDLE_TIMEOUT`]: clients of a server that few
/// know should not connect anew.
const FREE_CONNECTIONS_PER_CORE: f64 = 2.0;
/// Bounds of the idle timeout, in tenths of a millisecond.
const MIN_IDLE_TIMEOUT: f64 = 100.0;
const MAX_IDLE_TIMEOUT: f64 = 300_000.0;
/// The timeout falls by this factor at each feedback at most.
const MAX_DECREASE_FACTOR: f64 = 1.2;
/// A change of the timeout by less than this factor is not reported.
const MIN_REPORTED_CHANGE: f64 = 1.1;
/// Under this utilization the cost of an idle connection counts less and less.
const IDLE_CORES_UTILIZATION: f64 = 0.5;
/// The lowest utilization in that weight, and the power by which it falls.
const MIN_UTILIZATION_WEIGHT: f64 = 0.1;
const UTILIZATION_WEIGHT_POWER: i32 = 4;
/// A connection storm: reading and connecting make up this share of the runnable tasks, on cores busier than this.
const STORM_CONNECTION_SHARE: f64 = 0.8;
const STORM_UTILIZATION: f64 = 0.9;

/// Owns the idle timeout and the means that it follows.
#[derive(Default)]
pub(crate) struct IdleConnections {
    client_count: f64,
    cores: f64,
    idle_timeout: f64,
    reported_idle_timeout: f64,
    mean_utilization: f64,
    /// Mean share of the runnable tasks that read or connect.
    mean_connection_share: f64,
    /// Arrivals in a tenth of a millisecond.
    arrival_rate: f64,
    /// Arrivals since the rate was last updated.
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

    /// Follows the gauges at each tick.
    pub(crate) fn record_gauges(&mut self, gauges: Gauges, running: f64) {
        let runnable = gauges.runnable_tasks.unwrap_or(0.0);
        smooth(&mut self.mean_utilization, gauges.core_utilization.unwrap_or(0.0));
        smooth(&mut self.mean_connection_share, (runnable - running).max(0.0) / runnable.max(1.0));
    }

    /// Moves the timeout, as often as feedback is due, and reports it where it has changed enough.
    pub(crate) fn update(&mut self, gauges: Gauges, host: &mut dyn Host) {
        let rate = std::mem::take(&mut self.arrivals) as f64 / FEEDBACK_INTERVAL as f64;
        smooth(&mut self.arrival_rate, rate);
        // In a storm all stay: an attempt that finds a full table costs less than one that is read.
        let is_storm =
            self.mean_connection_share > STORM_CONNECTION_SHARE && self.mean_utilization > STORM_UTILIZATION;
        let target = self.break_even_timeout();
        self.idle_timeout =
            if is_storm { MAX_IDLE_TIMEOUT } else { target.max(self.idle_timeout / MAX_DECREASE_FACTOR) };
        // So few take next to nothing and keep nobody out: a client that comes back finds its own.
        let are_few = gauges.connections.is_none_or(|open| open <= self.cores * FREE_CONNECTIONS_PER_CORE);
        let timeout = if are_few { MAX_IDLE_TIMEOUT } else { self.idle_timeout };
        let (reported, change) = (self.reported_idle_timeout, MIN_REPORTED_CHANGE);
        if timeout.max(reported) > timeout.min(reported) * change {
            self.reported_idle_timeout = timeout;
            host.close_idle_connections(timeout as Time);
        }
    }

    /// The timeout at which an idle connection costs what a new one does. Where clients do come back in time, what it
    /// takes of the cores counts the less, the more they idle.
    fn break_even_timeout(&self) -> f64 {
        let clients_return = self.arrival_rate * MAX_IDLE_TIMEOUT > self.client_count;
        let cost_weight = if clients_return {
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
