//! Open-loop arrivals: what comes does not wait for what came before. Classes with their rates, work, calls and worth;
//! a day is their rates, and what goes wrong, when.

use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;

pub use cypresscleat_primitives::Time;

pub const SECOND: Time = 10_000;

/// A class of invocations.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub name: &'static str,
    /// Mean work on one core, and the spread of its logarithm.
    pub work: f64,
    pub spread: f64,
    /// Part of all arrivals.
    pub part: f64,
    pub objective: Time,
    pub timeout: Time,
    pub billed: f64,
    /// Mean time of its call below; none without.
    pub call: Option<f64>,
    pub kb: f64,
}

/// What goes wrong, from when to when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// One class comes so many times as often, from customers past their share.
    Flood { class: usize, times: f64, from: Time, to: Time },
    /// The machine has this part of its speed.
    Slow { speed: f64, from: Time, to: Time },
    /// A class costs so many times its usual, and its hint says nothing of it.
    Costs { class: usize, times: f64, from: Time, to: Time },
    /// Calls below take so many times as long.
    Below { times: f64, from: Time, to: Time },
    /// A class does not come at all.
    Silent { class: usize, from: Time, to: Time },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Day {
    pub classes: Vec<Class>,
    /// All arrivals a second, troubles aside.
    pub rate: f64,
    pub length: Time,
    pub troubles: Vec<Trouble>,
    pub seed: u64,
}

/// One invocation as it comes.
#[derive(Clone, Debug, PartialEq)]
pub struct Coming {
    pub at: Time,
    pub class: usize,
    /// Work on a core, and what it is told to be.
    pub work: f64,
    pub hint: f64,
    pub kb: f64,
    /// Within its customer's share: not part of a flood.
    pub in_share: bool,
    /// How long its call takes, where it makes one, and after which part of its work.
    pub call: Option<(f64, f64)>,
}

impl Day {
    /// Work a second that comes in the mean, troubles aside.
    pub fn load(&self) -> f64 {
        self.rate * self.classes.iter().map(|class| class.part * class.work).sum::<f64>()
    }

    fn times(&self, class: usize, at: Time) -> f64 {
        self.troubles.iter().fold(1.0, |times, trouble| match *trouble {
            Trouble::Flood { class: own, times: more, from, to }
                if own == class && (from..to).contains(&at) =>
            {
                times * more
            }
            Trouble::Silent { class: own, from, to } if own == class && (from..to).contains(&at) => 0.0,
            _ => times,
        })
    }

    /// All that comes, in order of time. Each class has a stream of chance of its own, so a trouble of one changes
    /// nothing of the others.
    pub fn all(&self) -> Vec<Coming> {
        let mut all = Vec::new();
        for (at, class) in self.classes.iter().enumerate() {
            let stream = u128::from(self.seed) << 32 | at as u128;
            let mut chance =
                Pcg64Mcg::new(stream.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835) | 1);
            let spread = class.spread;
            let work = LogNormal::new(class.work.ln() - spread * spread / 2.0, spread);
            let (Ok(work), Ok(error)) = (work, LogNormal::new(0.0, 0.15)) else { continue };
            let call = class.call.and_then(|mean| Exp::new(1.0 / mean).ok());
            // Thinned from the highest rate that it ever has.
            let usual = self.rate * class.part / SECOND as f64;
            let floods = self.troubles.iter().filter_map(|trouble| match trouble {
                Trouble::Flood { class, times, .. } if *class == at => Some(*times),
                _ => None,
            });
            let most = usual * floods.fold(1.0, f64::max);
            let Ok(gaps) = Exp::new(most) else { continue };
            let mut time = 0.0;
            loop {
                time += gaps.sample(&mut chance);
                if time >= self.length as f64 {
                    break;
                }
                let now = time as Time;
                let (kept, drawn) = (self.times(at, now) * usual / most, chance.random::<f64>());
                let (size, error) = (work.sample(&mut chance), error.sample(&mut chance));
                let call =
                    call.as_ref().map(|call| (call.sample(&mut chance), chance.random_range(0.2..0.8)));
                if drawn >= kept {
                    continue;
                }
                let mut costs = 1.0;
                let mut below = 1.0;
                for trouble in &self.troubles {
                    match *trouble {
                        Trouble::Costs { class, times, from, to }
                            if class == at && (from..to).contains(&now) =>
                        {
                            costs = times;
                        }
                        Trouble::Below { times, from, to } if (from..to).contains(&now) => below = times,
                        _ => {}
                    }
                }
                all.push(Coming {
                    at: now,
                    class: at,
                    work: size * costs,
                    hint: size * error,
                    kb: class.kb,
                    // Of a flood as much is within the share as usually comes.
                    in_share: drawn < usual / most,
                    call: call.map(|(took, part)| (took * below, part)),
                });
            }
        }
        all.sort_by_key(|coming| coming.at);
        all
    }
}
