//! Detects a change that did harm. Members report the requests that passed their admission gate, the successes in time and the billed
//! value. The coordinator compares the averages per request before and after the change, so a decrease in load does not count as harm.

use crate::state::{Version, WatchRules};
use crate::{MemberKey, Time, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Minimum number of requests for a verdict.
pub const MIN_REQUESTS: u64 = 50;
/// Maximum number of seconds that are remembered.
const MAX_SECONDS: usize = 600;

/// Totals since a member's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceTotals {
    /// Requests that passed the member's admission gate, also those that the scheduler then rejected and retries that get an earlier result.
    /// Not counted: requests that the gate held and never admitted or that it rejected, requests rejected before the gate (invalid ones,
    /// failing store, full table of idempotency keys, executor not up), and a request sent again while it is open or after its response.
    pub requests: u64,
    /// Requests that succeeded in time.
    pub succeeded_in_time: u64,
    /// Billed value, in thousandths.
    pub billed_milli: u64,
}

impl ServiceTotals {
    /// The difference to earlier totals. A counter that went backward yields 0: the member restarted its counters under the same incarnation.
    fn since(self, before: ServiceTotals) -> ServiceTotals {
        ServiceTotals {
            requests: self.requests.saturating_sub(before.requests),
            succeeded_in_time: self.succeeded_in_time.saturating_sub(before.succeeded_in_time),
            billed_milli: self.billed_milli.saturating_sub(before.billed_milli),
        }
    }

    /// Adds with saturation, as any process that reaches a replica may report impossible totals.
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

/// Averages per request.
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

/// The verdict of a watch, with the figures.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchVerdict {
    /// The change did harm and has to be reverted.
    Harm(String),
    /// The change did no harm.
    NoHarm(String),
    /// There were too few requests before or after the change.
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

/// Compares the members' totals before and after a change.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    last: BTreeMap<MemberKey, ServiceTotals>,
    /// Sums over all members, by second.
    sums: VecDeque<(Time, ServiceTotals)>,
    watched: Option<WatchedVersion>,
}

impl Watch {
    /// Records the totals that a member reports.
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

    /// Forgets the members for which `is_kept` returns false.
    pub fn retain_members(&mut self, is_kept: impl Fn(&MemberKey) -> bool) {
        self.last.retain(|key, _| is_kept(key));
    }

    /// Starts to watch a version that became active while this replica led, where the version's rules require a watch. A later leader does
    /// not continue the watch.
    pub fn start(&mut self, now: Time, version: &Version) {
        self.watched = version.rules.watch.filter(|_| !version.undoes).map(|rules| WatchedVersion {
            number: version.number,
            rules,
            since: now,
            before: self.between(now - rules.within, now),
        });
    }

    /// The version that is currently watched.
    pub fn watched(&self) -> Option<u64> {
        self.watched.map(|watched| watched.number)
    }

    /// Returns the verdict once the watch time is over. The verdict is harm only where both halves of the time show it, so that a short dip
    /// does not count.
    pub fn poll(&mut self, now: Time) -> Option<(u64, WatchVerdict)> {
        let watched = self.watched.filter(|watched| now >= watched.since + watched.rules.within)?;
        self.watched = None;
        // Totals arrive later than the events they count, so the first second of each half is left out.
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
    let min_ratio = 1.0 - f64::from(watched.rules.share) / 1000.0;
    let has_fallen = |figure: fn(PerRequest) -> f64| {
        let bound = figure(before.per_request()) * min_ratio;
        halves.iter().all(|half| figure(half.per_request()) < bound)
    };
    match has_fallen(|each| each.succeeded) || has_fallen(|each| each.billed_milli) {
        true => WatchVerdict::Harm(figures),
        false => WatchVerdict::NoHarm(figures),
    }
}
