//! Whether a change did harm. Members report what was requested of them, what succeeded in time and what it billed; the coordinator
//! compares what a request came to before the change and after it. By request, so that less load is no harm.

use crate::state::{Version, WatchRules};
use crate::{MemberKey, Time, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Fewer requests than this show nothing.
pub const MIN_REQUESTS: u64 = 50;
/// Seconds that are remembered.
const MAX_SECONDS: usize = 600;

/// Totals since a member's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceTotals {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests that succeeded in time.
    pub succeeded_in_time: u64,
    /// Billed value, in thousandths.
    pub billed_milli: u64,
}

impl ServiceTotals {
    /// A member that counts anew has started again under the same incarnation: nothing can be said of it.
    fn since(self, before: ServiceTotals) -> ServiceTotals {
        ServiceTotals {
            requests: self.requests.saturating_sub(before.requests),
            succeeded_in_time: self.succeeded_in_time.saturating_sub(before.succeeded_in_time),
            billed_milli: self.billed_milli.saturating_sub(before.billed_milli),
        }
    }

    /// Saturates, as whoever reaches a replica may report totals that no member can have.
    fn add(&mut self, other: ServiceTotals) {
        self.requests = self.requests.saturating_add(other.requests);
        self.succeeded_in_time = self.succeeded_in_time.saturating_add(other.succeeded_in_time);
        self.billed_milli = self.billed_milli.saturating_add(other.billed_milli);
    }

    fn per_request(&self) -> PerRequest {
        let requests = self.requests.max(1) as f64;
        PerRequest {
            succeeded: self.succeeded_in_time as f64 / requests,
            billed_milli: self.billed_milli as f64 / requests,
        }
    }
}

/// What a request came to, on average.
#[derive(Clone, Copy)]
struct PerRequest {
    succeeded: f64,
    billed_milli: f64,
}

impl PerRequest {
    fn figures(self) -> String {
        format!("{:.3} in time, {:.3} billed", self.succeeded, self.billed_milli / 1000.0)
    }
}

/// What was found, with the figures.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchVerdict {
    /// The change is to be undone.
    Harm(String),
    /// The change did no harm.
    NoHarm(String),
    /// Too few requests, before or after.
    Unknown(String),
}

/// A version that is watched.
#[derive(Clone, Copy, Debug)]
struct WatchedVersion {
    number: u64,
    rules: WatchRules,
    since: Time,
    before: ServiceTotals,
}

/// Compares what members report before and after a change.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    last: BTreeMap<MemberKey, ServiceTotals>,
    /// By second.
    sums: VecDeque<(Time, ServiceTotals)>,
    watched: Option<WatchedVersion>,
}

impl Watch {
    /// Records what a member reports.
    pub fn record(&mut self, now: Time, key: MemberKey, totals: ServiceTotals) {
        let new = totals.since(self.last.insert(key, totals).unwrap_or(totals));
        let second = now / SECOND;
        match self.sums.back_mut().filter(|last| last.0 == second) {
            Some((_, sum)) => sum.add(new),
            None => {
                self.sums.push_back((second, new));
                if self.sums.len() > MAX_SECONDS {
                    self.sums.pop_front();
                }
            }
        }
    }

    /// Forgets members that are not to be kept.
    pub fn retain_members(&mut self, keep: impl Fn(&MemberKey) -> bool) {
        self.last.retain(|key, _| keep(key));
    }

    /// Watches a version that became active while this replica led, where its rules say so; a later leader does not go on with it.
    pub fn start(&mut self, now: Time, version: &Version) {
        self.watched = version.rules.watch.filter(|_| !version.undoes).map(|rules| WatchedVersion {
            number: version.number,
            rules,
            since: now,
            before: self.between(now - rules.within, now),
        });
    }

    /// The version that is watched now.
    pub fn watched(&self) -> Option<u64> {
        self.watched.map(|watched| watched.number)
    }

    /// The verdict, once the time of the watch is over. Harm is found only where both halves of the time show it, so that a short dip
    /// is none.
    pub fn poll(&mut self, now: Time) -> Option<(u64, WatchVerdict)> {
        let watched = self.watched.filter(|watched| now >= watched.since + watched.rules.within)?;
        self.watched = None;
        // Reports come later than what they report: the first second of each half is left out.
        let middle = watched.since + watched.rules.within / 2;
        let halves = [self.between(watched.since + SECOND, middle), self.between(middle + SECOND, now)];
        Some((watched.number, compare(&watched, &halves)))
    }

    fn between(&self, from: Time, to: Time) -> ServiceTotals {
        let mut sum = ServiceTotals::default();
        for (second, totals) in &self.sums {
            if (from / SECOND..to / SECOND).contains(second) {
                sum.add(*totals);
            }
        }
        sum
    }
}

fn compare(watched: &WatchedVersion, halves: &[ServiceTotals; 2]) -> WatchVerdict {
    let before = watched.before;
    let (first, second) = (halves[0], halves[1]);
    let figures = format!(
        "each invocation before: {} (of {}); after: {} (of {}), then {} (of {})",
        before.per_request().figures(),
        before.requests,
        first.per_request().figures(),
        first.requests,
        second.per_request().figures(),
        second.requests
    );
    if before.requests.min(first.requests).min(second.requests) < MIN_REQUESTS {
        return WatchVerdict::Unknown(figures);
    }
    let tolerated = 1.0 - f64::from(watched.rules.share) / 1000.0;
    let fell = |figure: fn(PerRequest) -> f64| {
        let bound = figure(before.per_request()) * tolerated;
        halves.iter().all(|half| figure(half.per_request()) < bound)
    };
    match fell(|each| each.succeeded) || fell(|each| each.billed_milli) {
        true => WatchVerdict::Harm(figures),
        false => WatchVerdict::NoHarm(figures),
    }
}
