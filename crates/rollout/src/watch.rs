//! Whether a change did harm. Members tell what was asked of them, what was answered in time and what it billed; the desk compares what
//! an invocation came to before the change and after it. By invocation, so that less load is no harm.

use crate::policies::{Version, WatchRules};
use crate::{Key, Time, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Sums since a member's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Seen {
    pub asked: u64,
    pub in_time: u64,
    /// Billed value, in thousandths.
    pub milli: u64,
}

impl Seen {
    fn since(self, before: Seen) -> Seen {
        // A member that counts anew has started again under the same life: nothing can be said of it.
        Seen {
            asked: self.asked.saturating_sub(before.asked),
            in_time: self.in_time.saturating_sub(before.in_time),
            milli: self.milli.saturating_sub(before.milli),
        }
    }
    /// Guards against sums that no member can have: whoever reaches a keeper may tell them.
    fn add(&mut self, other: Seen) {
        self.asked = self.asked.saturating_add(other.asked);
        self.in_time = self.in_time.saturating_add(other.in_time);
        self.milli = self.milli.saturating_add(other.milli);
    }
    /// Answers in time, and billed value in thousandths, of each invocation asked.
    fn each(&self) -> (f64, f64) {
        let asked = self.asked.max(1) as f64;
        (self.in_time as f64 / asked, self.milli as f64 / asked)
    }
}

/// Fewer invocations than this show nothing.
pub const LEAST: u64 = 50;
/// Seconds that are remembered.
const SECONDS: usize = 600;

/// What was found.
#[derive(Clone, Debug, PartialEq)]
pub enum Found {
    /// To be undone; why, with the figures.
    Harm(String),
    Good(String),
    /// Too little was asked, before or after.
    Unknown(String),
}

#[derive(Clone, Debug, Default)]
pub struct Watch {
    last: BTreeMap<Key, Seen>,
    /// By second.
    sums: VecDeque<(Time, Seen)>,
    /// The version that is watched, its rules, since when, and what came before it.
    watched: Option<(u64, WatchRules, Time, Seen)>,
}

impl Watch {
    pub fn seen(&mut self, now: Time, key: Key, seen: Seen) {
        let new = seen.since(self.last.insert(key, seen).unwrap_or(seen));
        let second = now / SECOND;
        match self.sums.back_mut().filter(|last| last.0 == second) {
            Some((_, sum)) => sum.add(new),
            None => {
                self.sums.push_back((second, new));
                if self.sums.len() > SECONDS {
                    self.sums.pop_front();
                }
            }
        }
    }

    pub fn forgets(&mut self, keep: impl Fn(&Key) -> bool) {
        self.last.retain(|key, _| keep(key));
    }

    fn between(&self, from: Time, to: Time) -> Seen {
        let mut sum = Seen::default();
        for (second, seen) in &self.sums {
            if (from / SECOND..to / SECOND).contains(second) {
                sum.add(*seen);
            }
        }
        sum
    }

    /// A version came in force just now, at this desk's word.
    pub fn in_force(&mut self, now: Time, version: &Version) {
        self.watched = version.rules.watch.filter(|_| !version.undoes).map(|rules| {
            let before = self.between(now - rules.within, now);
            (version.number, rules, now, before)
        });
    }

    /// The version that is watched now.
    pub fn watched(&self) -> Option<u64> {
        self.watched.map(|watched| watched.0)
    }

    /// What is known once its time is over: harm only where both halves of the time show it, so that a moment is none.
    pub fn look(&mut self, now: Time) -> Option<(u64, Found)> {
        let (number, rules, from, before) =
            self.watched.filter(|watched| now >= watched.2 + watched.1.within)?;
        self.watched = None;
        // What members tell comes later than it happened: the first second of each half is left out.
        let middle = from + rules.within / 2;
        let halves = [self.between(from + SECOND, middle), self.between(middle + SECOND, now)];
        let least = halves.iter().map(|half| half.asked).min().unwrap_or(0).min(before.asked);
        let (was, share) = (before.each(), f64::from(rules.share) / 1000.0);
        let text =
            |half: &Seen| format!("{:.3} in time, {:.3} billed", half.each().0, half.each().1 / 1000.0);
        let figures = format!(
            "each invocation before: {} (of {}); after: {} (of {}), then {} (of {})",
            text(&before),
            before.asked,
            text(&halves[0]),
            halves[0].asked,
            text(&halves[1]),
            halves[1].asked
        );
        if least < LEAST {
            return Some((number, Found::Unknown(figures)));
        }
        let fell = |figure: fn((f64, f64)) -> f64| {
            halves.iter().all(|half| figure(half.each()) < figure(was) * (1.0 - share))
        };
        let harm = fell(|each| each.0) || fell(|each| each.1);
        Some((number, if harm { Found::Harm(figures) } else { Found::Good(figures) }))
    }
}
