//! Round-trip time of pings: mean and mean deviation, after V. Jacobson, "Congestion avoidance and control", 1988.

use crate::{Time, MS};

const INITIAL_MEAN: Time = 50 * MS;
const INITIAL_DEVIATION: Time = 25 * MS;
/// Weights of the newest sample.
const MEAN_GAIN: f64 = 1.0 / 8.0;
const DEVIATION_GAIN: f64 = 1.0 / 4.0;
/// Number of mean deviations above the mean after which an answer is late.
const DEVIATIONS: f64 = 4.0;

/// Estimate of the round-trip time.
#[derive(Clone, Debug)]
pub(super) struct RoundTripEstimate {
    mean: f64,
    deviation: f64,
}

impl Default for RoundTripEstimate {
    fn default() -> RoundTripEstimate {
        RoundTripEstimate { mean: INITIAL_MEAN as f64, deviation: INITIAL_DEVIATION as f64 }
    }
}

impl RoundTripEstimate {
    /// Adds a measured round trip.
    pub fn record(&mut self, round_trip: Time) {
        let sample = round_trip.max(0) as f64;
        self.deviation += ((sample - self.mean).abs() - self.deviation) * DEVIATION_GAIN;
        self.mean += (sample - self.mean) * MEAN_GAIN;
    }

    /// A time within which nearly all answers arrive.
    pub fn upper_bound(&self) -> f64 {
        self.mean + DEVIATIONS * self.deviation
    }
}
