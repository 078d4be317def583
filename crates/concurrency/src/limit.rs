//! Limits that adapt to what was measured: how many places a pool may hold, from its time in place against its own
//! slow-moving least and from what was turned away or late. Each rule beside its origin.

/// How a limit adapts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Limiter {
    /// It does not: the most that is configured.
    #[default]
    Fixed,
    /// Additive increase, multiplicative decrease (D. Chiu, R. Jain, "Analysis of the increase and decrease algorithms",
    /// 1989). Decreases when time in place is past `max_latency_ratio` times the least; a tenth off, as Netflix's
    /// concurrency-limits has it (its default backoff ratio is 0.9).
    Aimd { max_latency_ratio: f64 },
    /// Netflix's Gradient2: limit times the ratio of long to short times with a tolerance (1.5 there), between a half and
    /// one, plus the square root of the limit for a queue, smoothed by 0.2.
    Gradient { tolerance: f64 },
    /// TCP Vegas as in concurrency-limits: the queue is limit (1 - least / time); under alpha = 3 log10(limit) up by
    /// log10(limit), past beta = 6 log10(limit) down by as much.
    Vegas,
    /// PID of load, after Uber's Cinnamon (2023): the error is what was spoilt against a tolerated part, with
    /// its gains scaled to a limit: proportional 0.1, integral 1.4 a second there for a ratio of rejects.
    Pid { target_drop_ratio: f64 },
}

/// What a window showed.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Time in place for a unit of work, over the least known.
    pub latency_ratio: f64,
    /// Most that ran at once.
    pub running: f64,
    /// Work waited for a place.
    pub has_waiters: bool,
    /// Part of what ended that was turned away or late.
    pub drop_ratio: f64,
    /// Seconds.
    pub seconds: f64,
}

/// Netflix's: part of the new value that is taken at once.
const SMOOTHING: f64 = 0.2;
/// A limit is only raised or lowered while this part of it is in use: else what was measured says nothing of it.
const MIN_UTILIZATION: f64 = 0.5;
const BACKOFF_RATIO: f64 = 0.9;
/// Cinnamon's gains.
const PROPORTIONAL_GAIN: f64 = 0.1;
const INTEGRAL_GAIN: f64 = 1.4;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit {
    slots: f64,
    min: f64,
    max: f64,
    integral: f64,
}

impl Limit {
    pub fn new(max: f64) -> Limit {
        Limit { slots: max.max(1.0), min: 1.0, max: max.max(1.0), integral: 0.0 }
    }

    pub fn slots(&self) -> f64 {
        self.slots
    }

    /// The room in which it adapts now; a limit at its most stays there when that rises.
    pub fn set_bounds(&mut self, min: f64, max: f64) {
        let (min, max) = (min.max(1.0), max.max(min).max(1.0));
        if self.slots >= self.max {
            self.slots = max;
        }
        (self.min, self.max) = (min, max);
        self.slots = self.slots.clamp(min, max);
    }

    pub fn update(&mut self, limiter: Limiter, sample: Sample) {
        let now = self.slots;
        // Guards against limits that chase their own noise: at light load nothing is learnt of them, and they go back
        // up. May hurt where few places are used because each is slow.
        if sample.running < now * MIN_UTILIZATION && !sample.has_waiters {
            self.slots = (now + sample.seconds.min(1.0)).min(self.max);
            self.integral = 0.0;
            return;
        }
        // A limit far above what runs would have to fall a long way before it did anything: it falls from there.
        let used = now.min(sample.running.max(1.0));
        let next = match limiter {
            Limiter::Fixed => self.max,
            Limiter::Aimd { max_latency_ratio } if sample.latency_ratio > max_latency_ratio => {
                used * BACKOFF_RATIO
            }
            Limiter::Aimd { .. } => now + 1.0,
            Limiter::Gradient { tolerance } => {
                let gradient = (tolerance / sample.latency_ratio.max(1e-9)).clamp(0.5, 1.0);
                let from = if gradient < 1.0 { used } else { now };
                now * (1.0 - SMOOTHING) + (from * gradient + from.sqrt()) * SMOOTHING
            }
            Limiter::Vegas => {
                let (queue, log) = (used * (1.0 - 1.0 / sample.latency_ratio.max(1.0)), now.log10().max(0.3));
                if queue < 3.0 * log {
                    now + log
                } else if queue > 6.0 * log {
                    now - log
                } else {
                    now
                }
            }
            Limiter::Pid { target_drop_ratio } => {
                let error = (sample.drop_ratio - target_drop_ratio).clamp(-1.0, 1.0);
                self.integral = (self.integral + error * INTEGRAL_GAIN * sample.seconds).clamp(0.0, 0.9);
                let rejects = (PROPORTIONAL_GAIN * error + self.integral).clamp(0.0, 0.9);
                self.max * (1.0 - rejects)
            }
        };
        self.slots = next.clamp(self.min, self.max);
    }
}
