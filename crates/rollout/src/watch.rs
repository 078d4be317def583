//! Whether a change did harm. Members tell what was requests of them, what was answered in time and what it billed; the desk compares what
//! an invocation came to before the change and after it. By invocation, so that less load is no harm.

use crate::state::{Version, WatchRules};
use crate::{MemberKey, Time, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Sums since a member's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceTotals {
    pub requests: u64,
    pub succeeded_in_time: u64,
    /// Billed value, in thousandths.
    pub billed_milli: u64,
}

impl ServiceTotals {
    fn since(self, before: ServiceTotals) -> ServiceTotals {
        // A member that counts anew has started again under the same life: nothing can be said of it.
        ServiceTotals {
            requests: self.requests.saturating_sub(before.requests),
            succeeded_in_time: self.succeeded_in_time.saturating_sub(before.succeeded_in_time),
            billed_milli: self.billed_milli.saturating_sub(before.billed_milli),
        }
    }
    /// Guards against sums that no member can have: whoever reaches a keeper may tell them.
    fn add(&mut self, other: ServiceTotals) {
        self.requests = self.requests.saturating_add(other.requests);
        self.succeeded_in_time = self.succeeded_in_time.saturating_add(other.succeeded_in_time);
        self.billed_milli = self.billed_milli.saturating_add(other.billed_milli);
    }
    /// Answers in time, and billed value in thousandths, of each invocation requests.
    fn each(&self) -> (f64, f64) {
        let requests = self.requests.max(1) as f64;
        (self.succeeded_in_time as f64 / requests, self.billed_milli as f64 / requests)
    }
}

/// Fewer invocations than this show nothing.
pub const LEAST: u64 = 50;
/// Seconds that are remembered.
const SECONDS: usize = 600;

/// What was found.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchVerdict {
    /// To be undone; why, with the figures.
    Harm(String),
    NoHarm(String),
    /// Too little was requests, before or after.
    Unknown(String),
}

#[derive(Clone, Debug, Default)]
pub struct Watch {
    last: BTreeMap<MemberKey, ServiceTotals>,
    /// By second.
    sums: VecDeque<(Time, ServiceTotals)>,
    /// The version that is watched, its rules, since when, and what came before it.
    watched: Option<(u64, WatchRules, Time, ServiceTotals)>,
}

impl Watch {
    pub fn record(&mut self, now: Time, key: MemberKey, seen: ServiceTotals) {
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

    pub fn retain_members(&mut self, keep: impl Fn(&MemberKey) -> bool) {
        self.last.retain(|key, _| keep(key));
    }

    fn between(&self, from: Time, to: Time) -> ServiceTotals {
        let mut sum = ServiceTotals::default();
        for (second, seen) in &self.sums {
            if (from / SECOND..to / SECOND).contains(second) {
                sum.add(*seen);
            }
        }
        sum
    }

    /// A version came in force just now, at this desk's word.
    pub fn start(&mut self, now: Time, version: &Version) {
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
    pub fn poll(&mut self, now: Time) -> Option<(u64, WatchVerdict)> {
        let (number, rules, from, before) =
            self.watched.filter(|watched| now >= watched.2 + watched.1.within)?;
        self.watched = None;
        // What members tell comes later than it happened: the first second of each half is left out.
        let middle = from + rules.within / 2;
        let halves = [self.between(from + SECOND, middle), self.between(middle + SECOND, now)];
        let least = halves.iter().map(|half| half.requests).min().unwrap_or(0).min(before.requests);
        let (was, share) = (before.each(), f64::from(rules.share) / 1000.0);
        let text = |half: &ServiceTotals| {
            format!("{:.3} in time, {:.3} billed", half.each().0, half.each().1 / 1000.0)
        };
        let figures = format!(
            "each invocation before: {} (of {}); after: {} (of {}), then {} (of {})",
            text(&before),
            before.requests,
            text(&halves[0]),
            halves[0].requests,
            text(&halves[1]),
            halves[1].requests
        );
        if least < LEAST {
            return Some((number, WatchVerdict::Unknown(figures)));
        }
        let fell = |figure: fn((f64, f64)) -> f64| {
            halves.iter().all(|half| figure(half.each()) < figure(was) * (1.0 - share))
        };
        let harm = fell(|each| each.0) || fell(|each| each.1);
        Some((number, if harm { WatchVerdict::Harm(figures) } else { WatchVerdict::NoHarm(figures) }))
    }
}
