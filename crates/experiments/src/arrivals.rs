//! Open-loop arrivals: a request does not wait for the responses to earlier requests. A workload is a set of request classes with
//! rate, work, downstream calls and billed value, and the faults that are injected, with their times.

use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;

pub use cypresscleat_primitives::Time;

pub const SECOND: Time = 10_000;

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub name: &'static str,
    /// Mean work on one core; `spread` is the standard deviation of its logarithm.
    pub work: f64,
    pub spread: f64,
    /// Share of all arrivals.
    pub part: f64,
    pub objective: Time,
    pub timeout: Time,
    pub billed: f64,
    /// Mean duration of the downstream call; `None` without a call.
    pub call: Option<f64>,
    pub kb: f64,
}

/// An injected fault, with its start and end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Requests of one class arrive `factor` times as often, from a tenant that is over quota.
    Flood { class: usize, factor: f64, from: Time, to: Time },
    /// The machine has this share of its speed.
    SlowWorker { speed: f64, from: Time, to: Time },
    /// Requests of a class need `factor` times their usual work, and their hints don't show it.
    HigherCost { class: usize, factor: f64, from: Time, to: Time },
    /// Downstream calls take `factor` times as long.
    SlowDownstream { factor: f64, from: Time, to: Time },
    /// No requests of a class arrive.
    NoTraffic { class: usize, from: Time, to: Time },
}

/// A generated load: request classes, total rate, length and faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    pub classes: Vec<Class>,
    /// All arrivals a second, without faults.
    pub rate: f64,
    pub length: Time,
    pub faults: Vec<Fault>,
    pub seed: u64,
}

/// One request as it arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct SimulatedRequest {
    pub at: Time,
    pub class: usize,
    /// Work on a core, and the hint about it that the scheduler gets.
    pub work: f64,
    pub hint: f64,
    pub kb: f64,
    /// Whether the request is within its tenant's quota: not part of a flood.
    pub within_quota: bool,
    /// Duration of the downstream call, if there is one, and the share of the work that precedes the call.
    pub call: Option<(f64, f64)>,
}

impl Workload {
    /// Mean work that arrives in a second, without faults.
    pub fn load(&self) -> f64 {
        self.rate * self.classes.iter().map(|class| class.part * class.work).sum::<f64>()
    }

    fn rate_factor(&self, class: usize, at: Time) -> f64 {
        self.faults.iter().fold(1.0, |factor, fault| match *fault {
            Fault::Flood { class: own, factor: own_factor, from, to }
                if own == class && (from..to).contains(&at) =>
            {
                factor * own_factor
            }
            Fault::NoTraffic { class: own, from, to } if own == class && (from..to).contains(&at) => 0.0,
            _ => factor,
        })
    }

    /// All requests, in order of time. Each class has its own random stream, so a fault of one class changes nothing in the
    /// others.
    pub fn all(&self) -> Vec<SimulatedRequest> {
        let mut all = Vec::new();
        for (at, class) in self.classes.iter().enumerate() {
            let stream = u128::from(self.seed) << 32 | at as u128;
            let mut chance =
                Pcg64Mcg::new(stream.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835) | 1);
            let spread = class.spread;
            let work = LogNormal::new(class.work.ln() - spread * spread / 2.0, spread);
            let (Ok(work), Ok(error)) = (work, LogNormal::new(0.0, 0.15)) else { continue };
            let call = class.call.and_then(|mean| Exp::new(1.0 / mean).ok());
            // Arrivals are drawn at the highest rate that the class ever has, then thinned to the rate at that time.
            let usual = self.rate * class.part / SECOND as f64;
            let floods = self.faults.iter().filter_map(|fault| match fault {
                Fault::Flood { class, factor, .. } if *class == at => Some(*factor),
                _ => None,
            });
            let max_rate = usual * floods.fold(1.0, f64::max);
            let Ok(gaps) = Exp::new(max_rate) else { continue };
            let mut time = 0.0;
            loop {
                time += gaps.sample(&mut chance);
                if time >= self.length as f64 {
                    break;
                }
                let now = time as Time;
                let (keep_chance, drawn) =
                    (self.rate_factor(at, now) * usual / max_rate, chance.random::<f64>());
                let (size, error) = (work.sample(&mut chance), error.sample(&mut chance));
                let call =
                    call.as_ref().map(|call| (call.sample(&mut chance), chance.random_range(0.2..0.8)));
                if drawn >= keep_chance {
                    continue;
                }
                let mut cost_factor = 1.0;
                let mut downstream_factor = 1.0;
                for fault in &self.faults {
                    match *fault {
                        Fault::HigherCost { class, factor, from, to }
                            if class == at && (from..to).contains(&now) =>
                        {
                            cost_factor = factor;
                        }
                        Fault::SlowDownstream { factor, from, to } if (from..to).contains(&now) => {
                            downstream_factor = factor
                        }
                        _ => {}
                    }
                }
                all.push(SimulatedRequest {
                    at: now,
                    class: at,
                    work: size * cost_factor,
                    hint: size * error,
                    kb: class.kb,
                    // During a flood the usual rate is within the quota.
                    within_quota: drawn < usual / max_rate,
                    call: call.map(|(took, part)| (took * downstream_factor, part)),
                });
            }
        }
        all.sort_by_key(|request| request.at);
        all
    }
}
