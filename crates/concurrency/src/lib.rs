//! Pools of operations, for a module that decides what runs: how many places each pool may take now, how much of the line
//! and of the memory is its own, what of that is lent, and limits that adapt to measured times. No I/O, no clock, no
//! chance: the same messages give the same answers. Times are whole tenths of a millisecond, work likewise.
//!
//! The module tells what enters and leaves its line (`held`, `unheld`), what takes and gives back a place (`starts`,
//! `leaves`), how runs ended (`ended`), and the time (`tick`); it asks `may_start`, `line_of`, `may_go`, `kept_kb`.
//!
//! # Lending
//!
//! A pool's own places are `least` of all places. Those it does not use are lent to whoever waits, except its `reserve`.
//! They come back with the next place that ends: while a pool with work waits and has fewer than its own, no pool past
//! its own starts. A pool with work that has waited for longer than [`MAX_STARVATION`] is the only one that may start, the one that
//! waited longest first. So no pool with work waits longer for a place than [`MAX_STARVATION`] and, for each pool, the longest time
//! for which a place is held.

pub mod limit;
pub mod rank_index;

use limit::{Limit, Limiter, Sample};
use std::fmt;

pub use cypresscleat_primitives::Time;

/// A pool with work waits this long at the most before it comes before all others.
pub const MAX_STARVATION: Time = 2_500;
/// Samples are taken over this long at the least, and over so many ended runs.
const SAMPLE_WINDOW: Time = 1_000;
const MIN_COMPLETED: u32 = 8;
/// Left of the slow-moving least time, as a drift up for each second: a class whose cost changed is believed in a minute.
const MIN_TIME_DRIFT: f64 = 0.03;
const SECOND: f64 = 10_000.0;

/// One pool as configured. Parts are of all places, from 0 to 1.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolConfig {
    pub name: String,
    /// Operations by their index in the settings.
    pub classes: Vec<usize>,
    /// Its own part, lent while it is not used.
    pub min_share: f64,
    pub max_share: f64,
    /// Its claim, against other pools', on places that are nobody's own.
    pub weight: f64,
    /// What of its own part is never lent: of the places, of the line and of the memory.
    pub reserve: f64,
}

/// The pools, and how their limits adapt. No pools: nothing is decided here.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolsConfig {
    pub pools: Vec<PoolConfig>,
    pub limiter: Limiter,
}

/// What is wrong with a setup: which pool, by its place, and what.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigError {
    pub pool: Option<usize>,
    pub what: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self.pool {
            Some(pool) => write!(to, "pool {pool}: {}", self.what),
            None => write!(to, "{}", self.what),
        }
    }
}

impl PoolsConfig {
    /// Pools by rule, from nothing but what the settings tell of each operation: a pool each, half of the places shared out
    /// evenly as their own, the rest by billed value, and an eighth kept for the one with the shortest objective.
    pub fn derive(objectives: &[Time], billed: &[f64]) -> PoolsConfig {
        let many = objectives.len().max(1) as f64;
        let shortest =
            objectives.iter().enumerate().min_by_key(|(_, objective)| **objective).map(|(class, _)| class);
        let pool = |(class, billed): (usize, &f64)| PoolConfig {
            name: class.to_string(),
            classes: vec![class],
            min_share: 0.5 / many + if shortest == Some(class) { 0.125 } else { 0.0 },
            max_share: 1.0,
            weight: billed.max(0.1),
            reserve: if shortest == Some(class) { 0.125 } else { 0.0 },
        };
        PoolsConfig {
            pools: billed.iter().enumerate().map(pool).collect(),
            limiter: Limiter::Gradient { tolerance: 1.5 },
        }
    }

    /// All that is wrong with it, for settings with so many operations.
    pub fn validate(&self, operations: usize) -> Vec<ConfigError> {
        let mut wrong = Vec::new();
        let sum = |part: fn(&PoolConfig) -> f64| self.pools.iter().map(part).sum::<f64>();
        for (what, all) in [("least", sum(|pool| pool.min_share)), ("reserve", sum(|pool| pool.reserve))] {
            if all > 1.0 + 1e-9 {
                wrong.push(ConfigError {
                    pool: None,
                    what: format!("the parts called {what} sum to {all:.2}, past 1"),
                });
            }
        }
        for (at, pool) in self.pools.iter().enumerate() {
            let mut say = |what: String| wrong.push(ConfigError { pool: Some(at), what });
            let part = |value: f64| (0.0..=1.0).contains(&value);
            if !part(pool.min_share) || !part(pool.max_share) || !part(pool.reserve) {
                say("least, most and reserve are parts from 0 to 1".into());
            }
            if pool.max_share <= 0.0 || pool.max_share < pool.min_share {
                say(format!("most {} is under least {}, or 0", pool.max_share, pool.min_share));
            }
            if pool.reserve > pool.min_share {
                say(format!("reserve {} is past least {}", pool.reserve, pool.min_share));
            }
            if !(pool.weight > 0.0 && pool.weight.is_finite()) {
                say(format!("weight {} is not above 0", pool.weight));
            }
            if pool.classes.is_empty() {
                say("no operation".into());
            }
            for class in &pool.classes {
                if *class >= operations {
                    say(format!("no operation {class}"));
                }
                let uses =
                    self.pools[..=at].iter().flat_map(|pool| &pool.classes).filter(|known| *known == class);
                if uses.count() > 1 {
                    say(format!("operation {class} is in a pool already"));
                }
            }
            if self.pools[..at].iter().any(|known| known.name == pool.name) {
                say(format!("the name {:?} is taken", pool.name));
            }
        }
        wrong
    }
}

/// What one pool is doing.
#[derive(Clone, Debug, Default)]
struct PoolState {
    config: Option<PoolConfig>,
    queued: usize,
    /// Sizes of what it holds, summed; of those past their customer's share, and how many these are.
    queued_size: f64,
    over_quota_size: f64,
    over_quota: usize,
    queued_kb: f64,
    running: usize,
    /// Since when it has work and got no place.
    waiting_since: Option<Time>,
    limit: Limit,
    /// Time in place for a unit of work, over the present window: sums and count.
    time_in_slot: f64,
    work: f64,
    completed: u32,
    dropped: u32,
    /// Most that ran at once, and whether any waited.
    peak: usize,
    had_waiters: bool,
    window_started: Time,
    /// The slow-moving least of the above.
    min_time: f64,
    latency_ratio: f64,
}

/// The pools of one server.
#[derive(Clone, Debug, Default)]
pub struct Pools {
    pool_of_class: Vec<usize>,
    pools: Vec<PoolState>,
    limiter: Limiter,
    /// Places there are now, in whole ones.
    slots: usize,
    running: usize,
    now: Time,
}

impl Pools {
    /// With no pools in `setup` everything may start and nothing is kept. Operations in no pool share one of their own,
    /// without a part of its own.
    pub fn new(setup: &PoolsConfig, operations: usize, places: f64) -> Pools {
        if setup.pools.is_empty() {
            return Pools::default();
        }
        let rest = setup.pools.len();
        let mut pools =
            Pools { pool_of_class: vec![rest; operations], limiter: setup.limiter, ..Pools::default() };
        for (at, pool) in setup.pools.iter().enumerate() {
            for class in pool.classes.iter().filter(|class| **class < operations) {
                pools.pool_of_class[*class] = at;
            }
            pools.pools.push(PoolState { config: Some(pool.clone()), ..PoolState::default() });
        }
        pools.pools.push(PoolState::default());
        pools.slots = whole_slots(places);
        for state in &mut pools.pools {
            state.limit = Limit::new(max_slots(state, pools.slots));
        }
        pools
    }

    pub fn is_disabled(&self) -> bool {
        self.pools.is_empty()
    }

    /// Takes over another setup while work goes on: pools are known by their names, so limits stay with them; what is
    /// held and runs is counted where its operation belongs now.
    pub fn reconfigure(&mut self, setup: &PoolsConfig, operations: usize, counts: &[ClassUsage]) {
        let old = std::mem::take(self);
        *self = Pools::new(setup, operations, old.slots as f64);
        self.now = old.now;
        for state in &mut self.pools {
            let name = |state: &PoolState| state.config.as_ref().map(|set| set.name.clone());
            if let Some(before) = old.pools.iter().find(|before| name(before) == name(state)) {
                (state.limit, state.min_time) = (before.limit, before.min_time);
            }
        }
        for count in counts {
            let now = self.now;
            if let Some(state) = self.state(count.class) {
                state.queued += count.queued;
                state.over_quota += count.over_quota;
                state.queued_size += count.queued_size;
                state.over_quota_size += count.over_quota_size;
                state.queued_kb += count.queued_kb;
                state.running += count.running;
                state.waiting_since = (state.queued > 0).then_some(now);
            }
            self.running += count.running;
        }
    }

    fn state(&mut self, class: usize) -> Option<&mut PoolState> {
        let at = *self.pool_of_class.get(class)?;
        self.pools.get_mut(at)
    }

    // ---- what happens ----

    pub fn enqueue(&mut self, now: Time, class: usize, size: f64, kb: f64) {
        let Some(state) = self.state(class) else { return };
        state.queued += 1;
        state.queued_size += size;
        state.queued_kb += kb;
        state.waiting_since.get_or_insert(now);
    }

    /// One that is held turned out to be past its customer's share.
    pub fn mark_over_quota(&mut self, class: usize, size: f64) {
        if let Some(state) = self.state(class) {
            (state.over_quota_size, state.over_quota) = (state.over_quota_size + size, state.over_quota + 1);
        }
    }

    pub fn dequeue(&mut self, class: usize, size: f64, kb: f64, within_quota: bool) {
        let Some(state) = self.state(class) else { return };
        state.queued = state.queued.saturating_sub(1);
        (state.queued_size, state.queued_kb) = (state.queued_size - size, state.queued_kb - kb);
        if !within_quota {
            (state.over_quota_size, state.over_quota) =
                (state.over_quota_size - size, state.over_quota.saturating_sub(1));
        }
        if state.over_quota == 0 {
            state.over_quota_size = 0.0;
        }
        if state.queued == 0 {
            (state.queued_size, state.queued_kb, state.waiting_since) = (0.0, 0.0, None);
        }
    }

    pub fn acquire(&mut self, now: Time, class: usize) {
        let Some(state) = self.state(class) else { return };
        state.running += 1;
        state.peak = state.peak.max(state.running);
        if state.queued > 0 {
            (state.waiting_since, state.had_waiters) = (Some(now), true);
        }
        self.running += 1;
    }

    pub fn release(&mut self, class: usize) {
        let Some(state) = self.state(class) else { return };
        state.running = state.running.saturating_sub(1);
        self.running = self.running.saturating_sub(1);
    }

    /// A run that ended well after `took` in its place, for so much expected work.
    pub fn record_success(&mut self, class: usize, took: Time, work: f64) {
        let Some(state) = self.state(class) else { return };
        state.time_in_slot += took.max(0) as f64;
        state.work += work.max(1.0);
        state.completed += 1;
    }

    /// One that was turned away or late: what there was did not do.
    pub fn record_drop(&mut self, class: usize) {
        if let Some(state) = self.state(class) {
            state.dropped += 1;
        }
    }

    /// The time, and how many places there are now.
    pub fn tick(&mut self, now: Time, places: f64) {
        self.now = now;
        if self.is_disabled() {
            return;
        }
        self.slots = whole_slots(places);
        for state in &mut self.pools {
            let span = now - state.window_started;
            let most = max_slots(state, self.slots);
            let own = min_slots(state, self.slots).max(1.0);
            if span < SAMPLE_WINDOW || state.completed < MIN_COMPLETED && span < 10 * SAMPLE_WINDOW {
                state.limit.set_bounds(own, most);
                continue;
            }
            if state.completed > 0 {
                let time = state.time_in_slot / state.work;
                let drift = 1.0 + MIN_TIME_DRIFT * span as f64 / SECOND;
                let known = state.min_time > 0.0;
                state.min_time = if known { (state.min_time * drift).min(time) } else { time };
                state.latency_ratio = time / state.min_time.max(1e-9);
                let sample = Sample {
                    latency_ratio: state.latency_ratio,
                    running: state.peak.max(state.running) as f64,
                    has_waiters: state.had_waiters || state.queued > 0,
                    drop_ratio: f64::from(state.dropped) / f64::from(state.dropped + state.completed),
                    seconds: span as f64 / SECOND,
                };
                state.limit.update(self.limiter, sample);
            }
            state.limit.set_bounds(own, most);
            (state.time_in_slot, state.work, state.completed, state.dropped, state.window_started) =
                (0.0, 0.0, 0, 0, now);
            (state.peak, state.had_waiters) = (state.running, false);
        }
    }

    // ---- what may be ----

    /// Whether one of this operation may take the next place. One past its customer's share may not while another of
    /// its pool that is within its own waits: a flood would else take the places of the pool that it comes in.
    pub fn can_start(&self, now: Time, class: usize, within_quota: bool) -> bool {
        let Some(at) = self.pool_of_class.get(class).copied() else { return true };
        let state = &self.pools[at];
        if !within_quota && state.queued > state.over_quota {
            return false;
        }
        if state.running as f64 + 1.0 > state.limit.slots().max(1.0) {
            return false;
        }
        // One that waited past patience comes before all, the longest first.
        let waited =
            |state: &PoolState| state.waiting_since.filter(|_| self.has_limit(state)).map(|from| now - from);
        let longest = self.pools.iter().filter_map(waited).max().filter(|longest| *longest >= MAX_STARVATION);
        if let Some(longest) = longest {
            return waited(state) == Some(longest);
        }
        if self.is_below_min_share(state) {
            return true;
        }
        // Past its own: only while nobody waits for theirs, and not what is reserved for others.
        if self.pools.iter().any(|other| self.is_below_min_share(other)) {
            return false;
        }
        let kept: usize =
            (0..self.pools.len()).filter(|other| *other != at).map(|other| self.reserved_slots(other)).sum();
        if self.slots.saturating_sub(self.running) <= kept {
            return false;
        }
        // What is nobody's own goes by weight: none gets ahead of one that waits by more than a place.
        let claim = |state: &PoolState| {
            (state.running as f64 - min_slots(state, self.slots)).max(0.0) / weight(state)
        };
        let ahead = self.pools.iter().filter(|other| other.queued > 0 && self.has_limit(other));
        ahead.map(claim).fold(f64::INFINITY, f64::min) + 1.0 / weight(state) >= claim(state)
    }

    fn has_limit(&self, state: &PoolState) -> bool {
        state.running as f64 + 1.0 <= state.limit.slots().max(1.0)
    }

    /// It has work and fewer places than its own.
    fn is_below_min_share(&self, state: &PoolState) -> bool {
        state.queued > 0 && (state.running as f64) < min_slots(state, self.slots) && self.has_limit(state)
    }

    /// Places kept free for a pool. All reserves together leave one place at least.
    fn reserved_slots(&self, at: usize) -> usize {
        let Some(set) = self.pools[at].config.as_ref().filter(|set| set.reserve > 0.0) else { return 0 };
        let wanted = ((set.reserve * self.slots as f64).ceil() as usize).max(1);
        let before: usize = self.pools[..at]
            .iter()
            .filter_map(|state| state.config.as_ref())
            .filter(|set| set.reserve > 0.0)
            .map(|set| ((set.reserve * self.slots as f64).ceil() as usize).max(1))
            .sum();
        let left = self.slots.saturating_sub(1).saturating_sub(before);
        wanted.min(left).saturating_sub(self.pools[at].running)
    }

    /// The line before one of this operation: the sizes its pool holds, and the places that serve them while all pools that
    /// have work now go on having some. `None` where the common line counts.
    pub fn queue_ahead(&self, class: usize, within_quota: bool) -> Option<(f64, f64)> {
        let at = *self.pool_of_class.get(class)?;
        let state = self.pools.get(at)?;
        let busy = |other: &(usize, &PoolState)| other.0 == at || other.1.queued > 0 || other.1.running > 0;
        let busy: Vec<&PoolState> =
            self.pools.iter().enumerate().filter(busy).map(|(_, state)| state).collect();
        let places = self.slots as f64;
        // What is nobody's own now goes by weight, but to none more than it may have.
        let owned: f64 =
            busy.iter().map(|state| min_slots(state, self.slots).min(state.running.max(1) as f64)).sum();
        let weights: f64 = busy.iter().map(|state| weight(state)).sum();
        let shared = (places - owned).max(0.0) * weight(state) / weights;
        let served = min_slots(state, self.slots) + shared;
        let line = state.queued_size - if within_quota { state.over_quota_size } else { 0.0 };
        Some((line, served.max(1.0).min(state.limit.slots()).min(places)))
    }

    /// Whether two operations stand in one line.
    pub fn is_same_pool(&self, class: usize, other: usize) -> bool {
        self.pool_of_class.get(class) == self.pool_of_class.get(other)
    }

    /// Whether one of this operation may be put out of memory for another's sake: not while its pool is within its
    /// reserve of `kb`, all the memory there is.
    pub fn can_evict(&self, class: usize, kb: f64) -> bool {
        let state = self.pool_of_class.get(class).and_then(|at| self.pools.get(*at));
        state.is_none_or(|state| state.queued_kb > reserve(state) * kb)
    }

    /// Memory (KB) that one of this operation leaves to the reserves of other pools.
    pub fn kb_reserved_by_others(&self, class: usize, kb: f64) -> f64 {
        let Some(at) = self.pool_of_class.get(class) else { return 0.0 };
        let others = self.pools.iter().enumerate().filter(|(other, _)| other != at);
        others.map(|(_, state)| (reserve(state) * kb - state.queued_kb).max(0.0)).sum()
    }

    /// A line for the log: what each pool may take, holds and runs.
    pub fn summary(&self) -> String {
        let words = self.pools.iter().map(|state| {
            let name = state.config.as_ref().map_or("rest", |set| &set.name);
            let (limit, ratio) = (state.limit.slots(), state.latency_ratio);
            format!("{name} {}/{limit:.1} held {} slower {ratio:.2}", state.running, state.queued)
        });
        words.collect::<Vec<_>>().join(", ")
    }

    /// For measurements: for each pool, whether it has work and no place, and may have one by its limit.
    pub fn for_each_starved(&self, mut each: impl FnMut(usize, bool)) {
        for (at, state) in self.pools.iter().enumerate() {
            each(at, state.queued > 0 && state.running == 0);
        }
    }

    /// For measurements: name, limit, running, held, and time against its least.
    pub fn snapshots(&self) -> Vec<PoolSnapshot> {
        let view = |state: &PoolState| PoolSnapshot {
            name: state.config.as_ref().map_or("rest".into(), |set| set.name.clone()),
            limit: state.limit.slots(),
            running: state.running,
            queued: state.queued,
            latency_ratio: state.latency_ratio,
        };
        self.pools.iter().map(view).collect()
    }
}

/// What of an operation is here when the pools change.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassUsage {
    pub class: usize,
    pub queued: usize,
    pub over_quota: usize,
    pub queued_size: f64,
    pub over_quota_size: f64,
    pub queued_kb: f64,
    pub running: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub struct PoolSnapshot {
    pub name: String,
    pub limit: f64,
    pub running: usize,
    pub queued: usize,
    pub latency_ratio: f64,
}

/// Places that a cap of so many means: one starts while fewer run than the cap.
fn whole_slots(cap: f64) -> usize {
    (cap.ceil() as usize).max(1)
}

fn min_slots(state: &PoolState, places: usize) -> f64 {
    state.config.as_ref().map_or(0.0, |set| set.min_share * places as f64)
}

fn max_slots(state: &PoolState, places: usize) -> f64 {
    state.config.as_ref().map_or(1.0, |set| set.max_share) * places as f64
}

fn weight(state: &PoolState) -> f64 {
    state.config.as_ref().map_or(1.0, |set| set.weight)
}

fn reserve(state: &PoolState) -> f64 {
    state.config.as_ref().map_or(0.0, |set| set.reserve)
}
