//! What the scheduler reports for the operator's log. The host renders the events; `Display` gives their text.

use crate::types::Time;
use std::fmt;

/// Tenths of a millisecond in a millisecond.
const UNITS_PER_MS: f64 = cypresscleat_primitives::MS as f64;

/// A change of state that an operator should see.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerEvent {
    /// The server began or ceased to shed load.
    SheddingChanged {
        /// Whether it sheds load now.
        shedding: bool,
        /// Queued requests.
        queued: usize,
        /// Running requests.
        running: usize,
        /// The concurrency limit.
        limit: f64,
        /// Running time for a unit of expected work.
        pace: f64,
        /// Expected wait of the queue, in tenths of a millisecond.
        queue_wait: f64,
    },
    /// The state of the concurrency pools.
    Pools {
        /// Limits and counts of each pool.
        state: String,
    },
    /// Downstream calls became slow, or are no longer slow.
    CallLatencyChanged {
        /// Whether calls are slow now.
        slow: bool,
        /// Mean time of a call, in tenths of a millisecond.
        mean_call_time: f64,
        /// Calls in flight.
        in_flight: usize,
        /// Requests that wait for a call.
        waiting: usize,
    },
    /// Draining has started.
    DrainingStarted {
        /// Queued requests.
        queued: usize,
        /// Requests past the queue.
        active: usize,
        /// The time until the server stops, in tenths of a millisecond.
        within: Time,
    },
}

impl fmt::Display for SchedulerEvent {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            SchedulerEvent::SheddingChanged { shedding, queued, running, limit, pace, queue_wait } => {
                let state = if *shedding { "shedding" } else { "not shedding" };
                let wait_ms = queue_wait / UNITS_PER_MS;
                write!(out, "{state}: held {queued} running {running} cap {limit:.1} pace {pace:.2} wait {wait_ms:.0} ms")
            }
            SchedulerEvent::Pools { state } => write!(out, "pools: {state}"),
            SchedulerEvent::CallLatencyChanged { slow, mean_call_time, in_flight, waiting } => {
                let not = if *slow { "" } else { "not " };
                let mean_ms = mean_call_time / UNITS_PER_MS;
                write!(out, "calls {not}slow: mean {mean_ms:.0} ms, {in_flight} out, {waiting} wait")
            }
            SchedulerEvent::DrainingStarted { queued, active, .. } => {
                write!(out, "draining: held {queued} running {active}")
            }
        }
    }
}
