//! Adaptive concurrency limits: how many requests a pool may run at once. The limits depend on the ratio of the current latency to
//! the lowest recent latency and on the number of dropped requests. The documentation of each algorithm names its source.

/// Smoothing factor of the gradient algorithm: weight of the new value (the default of Netflix's concurrency-limits).
const GRADIENT_SMOOTHING: f64 = 0.2;
/// Lower bound of the gradient: a limit is at most halved before smoothing.
const MIN_GRADIENT: f64 = 0.5;
/// A sample changes a limit only if at least this fraction of the limit was in use, or requests waited for a slot.
const MIN_UTILIZATION: f64 = 0.5;
/// Largest growth of an underused limit in one update, in slots; the limit grows by one slot per second up to this bound.
const MAX_RECOVERY_STEP: f64 = 1.0;
/// Multiplicative decrease of AIMD (the default backoff ratio of Netflix's concurrency-limits).
const BACKOFF_RATIO: f64 = 0.9;
/// Additive increase of AIMD, in slots.
const ADDITIVE_INCREASE: f64 = 1.0;
/// Vegas: bounds of the estimated queue length, as multiples of log10 of the limit.
const VEGAS_ALPHA: f64 = 3.0;
const VEGAS_BETA: f64 = 6.0;
/// Vegas: lower bound of a step of the limit, in slots.
const MIN_VEGAS_STEP: f64 = 0.3;
/// PID gains of Cinnamon; the integral gain is per second.
const PROPORTIONAL_GAIN: f64 = 0.1;
const INTEGRAL_GAIN: f64 = 1.4;
/// PID: largest fraction of the maximum by which a limit is reduced.
const MAX_REJECT_RATIO: f64 = 0.9;
/// Divisor of last resort for a latency ratio of zero.
const MIN_LATENCY_RATIO: f64 = 1e-9;

/// The algorithm by which a limit adapts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Limiter {
    /// The limit does not adapt: it is always the configured maximum.
    #[default]
    Fixed,
    /// Additive increase, multiplicative decrease (D. Chiu, R. Jain, "Analysis of the increase and decrease algorithms for
    /// congestion avoidance", 1989).
    Aimd {
        /// Latency ratio above which the limit decreases.
        max_latency_ratio: f64,
    },
    /// Gradient2 of Netflix's concurrency-limits: the limit times the ratio of long-term to short-term latency, plus the square root
    /// of the limit as queue allowance, smoothed.
    Gradient {
        /// Latency ratio up to which the limit does not shrink (1.5 in concurrency-limits).
        tolerance: f64,
    },
    /// TCP Vegas as in concurrency-limits: estimates the queue length as `limit * (1 - 1 / latency ratio)`; the limit increases
    /// below alpha and decreases above beta.
    Vegas,
    /// PID controller of load shedding after Uber's Cinnamon (2023): the error is the drop ratio against its target, the gains are
    /// scaled to a limit.
    Pid {
        /// Drop ratio that the controller maintains.
        target_drop_ratio: f64,
    },
}

/// Measurements of one sample window.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Time in a slot per unit of expected work, divided by its lowest recent value.
    pub latency_ratio: f64,
    /// Maximum number of requests that ran at once.
    pub running: f64,
    /// Whether requests waited for a slot.
    pub has_waiters: bool,
    /// Fraction of dropped requests (rejected or failed by the scheduler, for any reason) among dropped and succeeded requests.
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

    /// The current limit.
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
        // A decrease starts from the number of slots in use: from a much higher limit, many steps would have no effect.
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

    /// At light load a sample carries no information about the limit; adapting to it would follow noise.
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
        let base = if gradient < 1.0 { used } else { self.slots };
        let target = base * gradient + base.sqrt();
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
