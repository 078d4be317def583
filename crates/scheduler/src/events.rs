//! Events that the scheduler reports for the operator's log. The host writes them; `Display` formats their text.

use crate::types::Time;
use std::fmt;

/// Tenths of a millisecond in a millisecond.
const UNITS_PER_MS: f64 = cypresscleat_primitives::MS as f64;

/// A change of the scheduler's state that is logged for operators.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerEvent {
    /// The server started or stopped shedding load.
    SheddingChanged {
        /// Whether the server sheds load now.
        shedding: bool,
        /// Number of queued requests.
        queued: usize,
        /// Number of running requests.
        running: usize,
        /// The concurrency limit.
        limit: f64,
        /// Running time per unit of expected work.
        pace: f64,
        /// Expected wait in the queue, in tenths of a millisecond.
        queue_wait: f64,
    },
    /// The state of the concurrency pools.
    Pools {
        /// Limits and counts of each pool, as text.
        state: String,
    },
    /// Downstream calls became slow, or are no longer slow.
    CallLatencyChanged {
        /// Whether calls are slow now.
        slow: bool,
        /// Mean time of a call, in tenths of a millisecond.
        mean_call_time: f64,
        /// Number of calls in flight.
        in_flight: usize,
        /// Number of requests that wait for their call to be made.
        waiting: usize,
    },
    /// Draining has started.
    DrainingStarted {
        /// Number of queued requests.
        queued: usize,
        /// Number of requests that run or are at a downstream call.
        active: usize,
        /// Time until the server stops, in tenths of a millisecond.
        within: Time,
    },
}

impl fmt::Display for SchedulerEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            SchedulerEvent::SheddingChanged { shedding, queued, running, limit, pace, queue_wait } => {
                let state = if *shedding { "shedding" } else { "not shedding" };
                let wait_ms = queue_wait / UNITS_PER_MS;
                write!(formatter, "{state}: held {queued} running {running} cap {limit:.1} pace {pace:.2} wait {wait_ms:.0} ms")
            }
            SchedulerEvent::Pools { state } => write!(formatter, "pools: {state}"),
            SchedulerEvent::CallLatencyChanged { slow, mean_call_time, in_flight, waiting } => {
                let not = if *slow { "" } else { "not " };
                let mean_ms = mean_call_time / UNITS_PER_MS;
                write!(formatter, "calls {not}slow: mean {mean_ms:.0} ms, {in_flight} out, {waiting} wait")
            }
            SchedulerEvent::DrainingStarted { queued, active, .. } => {
                write!(formatter, "draining: held {queued} running {active}")
            }
        }
    }
}
