//! Limits that adapt to what was measured: how many places a pool may hold, from its time in place against its own
//! slow-moving least and from what was turned away or late. Each rule beside its origin.

/// How a limit adapts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Limiter {
    /// It does not: the most that is configured.
    #[default]
    Fixed,
    /// Additive increase, multiplicative decrease (D. Chiu, R. Jain, "Analysis of the increase and decrease algorithms",
    /// 1989). Decreases when time in place is past `slower` times the least; a tenth off, as Netflix's
    /// concurrency-limits has it (its default backoff ratio is 0.9).
    Aimd { slower: f64 },
    /// Netflix's Gradient2: limit times the ratio of long to short times with a tolerance (1.5 there), between a half and
    /// one, plus the square root of the limit for a queue, smoothed by 0.2.
    Gradient { tolerance: f64 },
    /// TCP Vegas as in concurrency-limits: the queue is limit (1 - least / time); under alpha = 3 log10(limit) up by
    /// log10(limit), past beta = 6 log10(limit) down by as much.
    Vegas,
    /// PID of load, after Uber's Cinnamon (2023): the error is what was spoilt against a tolerated part, with
    /// its gains scaled to a limit: proportional 0.1, integral 1.4 a second there for a ratio of rejects.
    Pid { tolerated: f64 },
}

/// What a window showed.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Time in place for a unit of work, over the least known.
    pub ratio: f64,
    /// Most that ran at once.
    pub running: f64,
    /// Work waited for a place.
    pub waits: bool,
    /// Part of what ended that was turned away or late.
    pub spoilt: f64,
    /// Seconds.
    pub span: f64,
}

/// Netflix's: part of the new value that is taken at once.
const SMOOTH: f64 = 0.2;
/// A limit is only raised or lowered while this part of it is in use: else what was measured says nothing of it.
const USED: f64 = 0.5;
const BACKOFF: f64 = 0.9;
/// Cinnamon's gains.
const PROPORTIONAL: f64 = 0.1;
const INTEGRAL: f64 = 1.4;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit {
    places: f64,
    least: f64,
    most: f64,
    integral: f64,
}

impl Limit {
    pub fn new(most: f64) -> Limit {
        Limit { places: most.max(1.0), least: 1.0, most: most.max(1.0), integral: 0.0 }
    }

    pub fn places(&self) -> f64 {
        self.places
    }

    /// The room in which it adapts now; a limit at its most stays there when that rises.
    pub fn bound(&mut self, least: f64, most: f64) {
        let (least, most) = (least.max(1.0), most.max(least).max(1.0));
        if self.places >= self.most {
            self.places = most;
        }
        (self.least, self.most) = (least, most);
        self.places = self.places.clamp(least, most);
    }

    pub fn take(&mut self, limiter: Limiter, sample: Sample) {
        let now = self.places;
        // Guards against limits that chase their own noise: at light load nothing is learnt of them, and they go back
        // up. May hurt where few places are used because each is slow.
        if sample.running < now * USED && !sample.waits {
            self.places = (now + sample.span.min(1.0)).min(self.most);
            self.integral = 0.0;
            return;
        }
        // A limit far above what runs would have to fall a long way before it did anything: it falls from there.
        let used = now.min(sample.running.max(1.0));
        let next = match limiter {
            Limiter::Fixed => self.most,
            Limiter::Aimd { slower } if sample.ratio > slower => used * BACKOFF,
            Limiter::Aimd { .. } => now + 1.0,
            Limiter::Gradient { tolerance } => {
                let gradient = (tolerance / sample.ratio.max(1e-9)).clamp(0.5, 1.0);
                let from = if gradient < 1.0 { used } else { now };
                now * (1.0 - SMOOTH) + (from * gradient + from.sqrt()) * SMOOTH
            }
            Limiter::Vegas => {
                let (queue, log) = (used * (1.0 - 1.0 / sample.ratio.max(1.0)), now.log10().max(0.3));
                if queue < 3.0 * log {
                    now + log
                } else if queue > 6.0 * log {
                    now - log
                } else {
                    now
                }
            }
            Limiter::Pid { tolerated } => {
                let error = (sample.spoilt - tolerated).clamp(-1.0, 1.0);
                self.integral = (self.integral + error * INTEGRAL * sample.span).clamp(0.0, 0.9);
                let rejects = (PROPORTIONAL * error + self.integral).clamp(0.0, 0.9);
                self.most * (1.0 - rejects)
            }
        };
        self.places = next.clamp(self.least, self.most);
    }
}
