//! Adaptive concurrency limits: how many requests a pool may run at once, from its latency over the lowest recent one and from the
//! requests that were dropped. Each algorithm names its source.

/// Smoothing factor of the gradient algorithm: weight of the new value (Netflix's default).
const GRADIENT_SMOOTHING: f64 = 0.2;
/// Lowest gradient: a limit is at most halved before smoothing.
const MIN_GRADIENT: f64 = 0.5;
/// A limit learns from a sample only if this part of it was in use, or requests waited.
const MIN_UTILIZATION: f64 = 0.5;
/// Growth of a limit that is little used, per second and at once, in slots.
const MAX_RECOVERY_STEP: f64 = 1.0;
/// Multiplicative decrease of AIMD (the default backoff ratio of Netflix's concurrency-limits).
const BACKOFF_RATIO: f64 = 0.9;
/// Additive increase of AIMD, in slots.
const ADDITIVE_INCREASE: f64 = 1.0;
/// Vegas: bounds of the estimated queue, as multiples of log10 of the limit.
const VEGAS_ALPHA: f64 = 3.0;
const VEGAS_BETA: f64 = 6.0;
/// Vegas: lower bound of a step, in slots.
const MIN_VEGAS_STEP: f64 = 0.3;
/// PID gains of Cinnamon; the integral one is per second.
const PROPORTIONAL_GAIN: f64 = 0.1;
const INTEGRAL_GAIN: f64 = 1.4;
/// PID: largest part of the maximum that is taken off a limit.
const MAX_REJECT_RATIO: f64 = 0.9;
/// Divisor of last resort for a latency ratio of zero.
const MIN_LATENCY_RATIO: f64 = 1e-9;

/// The algorithm by which a limit adapts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Limiter {
    /// Does not adapt: always the configured maximum.
    #[default]
    Fixed,
    /// Additive increase, multiplicative decrease (D. Chiu, R. Jain, "Analysis of the increase and decrease algorithms for
    /// congestion avoidance", 1989).
    Aimd {
        /// Decreases when the latency ratio exceeds this.
        max_latency_ratio: f64,
    },
    /// Gradient2 of Netflix's concurrency-limits: the limit times the ratio of long-term to short-term latency, plus the square root
    /// of the limit for a queue, smoothed.
    Gradient {
        /// Latency ratio up to which the limit does not shrink (1.5 in concurrency-limits).
        tolerance: f64,
    },
    /// TCP Vegas as in concurrency-limits: estimates the queue as `limit * (1 - 1 / latency ratio)`; increases below alpha,
    /// decreases above beta.
    Vegas,
    /// PID controller of load shedding after Uber's Cinnamon (2023): the error is the drop ratio against its target, the gains are
    /// scaled to a limit.
    Pid {
        /// Drop ratio that the controller holds.
        target_drop_ratio: f64,
    },
}

/// Measurements of one window.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Time in a slot per unit of expected work, over the lowest recent one.
    pub latency_ratio: f64,
    /// Largest number of requests that ran at once.
    pub running: f64,
    /// Whether requests waited for a slot.
    pub has_waiters: bool,
    /// Dropped requests (rejected or failed by the scheduler, for whatever reason) over dropped and succeeded ones.
    pub drop_ratio: f64,
    /// Length of the window in seconds.
    pub seconds: f64,
}

/// A concurrency limit within bounds, in slots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit {
    slots: f64,
    min: f64,
    max: f64,
    /// Integral term of the PID controller.
    integral: f64,
}

impl Limit {
    /// Creates a limit that starts at its maximum. Limits are never below one slot.
    pub fn new(max: f64) -> Limit {
        Limit { slots: max.max(1.0), min: 1.0, max: max.max(1.0), integral: 0.0 }
    }

    /// The limit now.
    pub fn slots(&self) -> f64 {
        self.slots
    }

    /// Sets the bounds within which the limit adapts. A limit at its maximum follows the maximum.
    pub fn set_bounds(&mut self, min: f64, max: f64) {
        let min = min.max(1.0);
        let max = max.max(min);
        if self.slots >= self.max {
            self.slots = max;
        }
        self.min = min;
        self.max = max;
        self.slots = self.slots.clamp(min, max);
    }

    /// Adapts the limit to a sample.
    pub fn update(&mut self, limiter: Limiter, sample: Sample) {
        if self.is_underused(&sample) {
            self.recover(&sample);
            return;
        }
        // A decrease starts from what is in use: from far above it, many steps would pass without effect.
        let used = self.slots.min(sample.running.max(1.0));
        let next = match limiter {
            Limiter::Fixed => self.max,
            Limiter::Aimd { max_latency_ratio } => self.aimd(used, &sample, max_latency_ratio),
            Limiter::Gradient { tolerance } => self.gradient(used, &sample, tolerance),
            Limiter::Vegas => self.vegas(used, &sample),
            Limiter::Pid { target_drop_ratio } => self.pid(&sample, target_drop_ratio),
        };
        self.slots = next.clamp(self.min, self.max);
    }

    /// At light load the sample says nothing about the limit; following it would chase noise.
    fn is_underused(&self, sample: &Sample) -> bool {
        sample.running < self.slots * MIN_UTILIZATION && !sample.has_waiters
    }

    fn recover(&mut self, sample: &Sample) {
        self.slots = (self.slots + sample.seconds.min(MAX_RECOVERY_STEP)).min(self.max);
        self.integral = 0.0;
    }

    fn aimd(&self, used: f64, sample: &Sample, max_latency_ratio: f64) -> f64 {
        if sample.latency_ratio > max_latency_ratio {
            used * BACKOFF_RATIO
        } else {
            self.slots + ADDITIVE_INCREASE
        }
    }

    fn gradient(&self, used: f64, sample: &Sample, tolerance: f64) -> f64 {
        let gradient = (tolerance / sample.latency_ratio.max(MIN_LATENCY_RATIO)).clamp(MIN_GRADIENT, 1.0);
        let from = if gradient < 1.0 { used } else { self.slots };
        let target = from * gradient + from.sqrt();
        self.slots * (1.0 - GRADIENT_SMOOTHING) + target * GRADIENT_SMOOTHING
    }

    fn vegas(&self, used: f64, sample: &Sample) -> f64 {
        let queue = used * (1.0 - 1.0 / sample.latency_ratio.max(1.0));
        let step = self.slots.log10().max(MIN_VEGAS_STEP);
        if queue < VEGAS_ALPHA * step {
            self.slots + step
        } else if queue > VEGAS_BETA * step {
            self.slots - step
        } else {
            self.slots
        }
    }

    fn pid(&mut self, sample: &Sample, target_drop_ratio: f64) -> f64 {
        let error = (sample.drop_ratio - target_drop_ratio).clamp(-1.0, 1.0);
        let integral = self.integral + error * INTEGRAL_GAIN * sample.seconds;
        self.integral = integral.clamp(0.0, MAX_REJECT_RATIO);
        let reject_ratio = (PROPORTIONAL_GAIN * error + self.integral).clamp(0.0, MAX_REJECT_RATIO);
        self.max * (1.0 - reject_ratio)
    }
}
