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
//! its own starts. A pool with work that has waited for longer than [`PATIENCE`] is the only one that may start, the one that
//! waited longest first. So no pool with work waits longer for a place than [`PATIENCE`] and, for each pool, the longest time
//! for which a place is held.

pub mod index;
pub mod limit;

use limit::{Limit, Limiter, Sample};
use std::fmt;

pub use cypresscleat_primitives::Time;

/// A pool with work waits this long at the most before it comes before all others.
pub const PATIENCE: Time = 2_500;
/// Samples are taken over this long at the least, and over so many ended runs.
const WINDOW: Time = 1_000;
const ENDS: u32 = 8;
/// Left of the slow-moving least time, as a drift up for each second: a class whose cost changed is believed in a minute.
const DRIFT: f64 = 0.03;
const SECOND: f64 = 10_000.0;

/// One pool as configured. Parts are of all places, from 0 to 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    pub name: String,
    /// Operations by their index in the settings.
    pub operations: Vec<usize>,
    /// Its own part, lent while it is not used.
    pub least: f64,
    pub most: f64,
    /// Its claim, against other pools', on places that are nobody's own.
    pub weight: f64,
    /// What of its own part is never lent: of the places, of the line and of the memory.
    pub reserve: f64,
}

/// The pools, and how their limits adapt. No pools: nothing is decided here.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Setup {
    pub pools: Vec<Pool>,
    pub limiter: Limiter,
}

/// What is wrong with a setup: which pool, by its place, and what.
#[derive(Clone, Debug, PartialEq)]
pub struct Wrong {
    pub pool: Option<usize>,
    pub what: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self.pool {
            Some(pool) => write!(to, "pool {pool}: {}", self.what),
            None => write!(to, "{}", self.what),
        }
    }
}

impl Setup {
    /// Pools by rule, from nothing but what the settings tell of each operation: a pool each, half of the places shared out
    /// evenly as their own, the rest by billed value, and an eighth kept for the one with the shortest objective.
    pub fn ruled(objectives: &[Time], billed: &[f64]) -> Setup {
        let many = objectives.len().max(1) as f64;
        let shortest =
            objectives.iter().enumerate().min_by_key(|(_, objective)| **objective).map(|(op, _)| op);
        let pool = |(op, billed): (usize, &f64)| Pool {
            name: op.to_string(),
            operations: vec![op],
            least: 0.5 / many + if shortest == Some(op) { 0.125 } else { 0.0 },
            most: 1.0,
            weight: billed.max(0.1),
            reserve: if shortest == Some(op) { 0.125 } else { 0.0 },
        };
        Setup {
            pools: billed.iter().enumerate().map(pool).collect(),
            limiter: Limiter::Gradient { tolerance: 1.5 },
        }
    }

    /// All that is wrong with it, for settings with so many operations.
    pub fn check(&self, operations: usize) -> Vec<Wrong> {
        let mut wrong = Vec::new();
        let sum = |part: fn(&Pool) -> f64| self.pools.iter().map(part).sum::<f64>();
        for (what, all) in [("least", sum(|pool| pool.least)), ("reserve", sum(|pool| pool.reserve))] {
            if all > 1.0 + 1e-9 {
                wrong.push(Wrong {
                    pool: None,
                    what: format!("the parts called {what} sum to {all:.2}, past 1"),
                });
            }
        }
        for (at, pool) in self.pools.iter().enumerate() {
            let mut say = |what: String| wrong.push(Wrong { pool: Some(at), what });
            let part = |value: f64| (0.0..=1.0).contains(&value);
            if !part(pool.least) || !part(pool.most) || !part(pool.reserve) {
                say("least, most and reserve are parts from 0 to 1".into());
            }
            if pool.most <= 0.0 || pool.most < pool.least {
                say(format!("most {} is under least {}, or 0", pool.most, pool.least));
            }
            if pool.reserve > pool.least {
                say(format!("reserve {} is past least {}", pool.reserve, pool.least));
            }
            if !(pool.weight > 0.0 && pool.weight.is_finite()) {
                say(format!("weight {} is not above 0", pool.weight));
            }
            if pool.operations.is_empty() {
                say("no operation".into());
            }
            for op in &pool.operations {
                if *op >= operations {
                    say(format!("no operation {op}"));
                }
                let uses =
                    self.pools[..=at].iter().flat_map(|pool| &pool.operations).filter(|known| *known == op);
                if uses.count() > 1 {
                    say(format!("operation {op} is in a pool already"));
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
struct State {
    set: Option<Pool>,
    held: usize,
    /// Sizes of what it holds, summed; of those past their customer's share, and how many these are.
    line: f64,
    past: f64,
    past_held: usize,
    held_kb: f64,
    running: usize,
    /// Since when it has work and got no place.
    waits_from: Option<Time>,
    limit: Limit,
    /// Time in place for a unit of work, over the present window: sums and count.
    took: f64,
    work: f64,
    ends: u32,
    spoilt: u32,
    /// Most that ran at once, and whether any waited.
    peak: usize,
    waited: bool,
    window_from: Time,
    /// The slow-moving least of the above.
    least_time: f64,
    last_ratio: f64,
}

/// The pools of one server.
#[derive(Clone, Debug, Default)]
pub struct Pools {
    of: Vec<usize>,
    states: Vec<State>,
    limiter: Limiter,
    /// Places there are now, in whole ones.
    places: usize,
    running: usize,
    now: Time,
}

impl Pools {
    /// With no pools in `setup` everything may start and nothing is kept. Operations in no pool share one of their own,
    /// without a part of its own.
    pub fn new(setup: &Setup, operations: usize, places: f64) -> Pools {
        if setup.pools.is_empty() {
            return Pools::default();
        }
        let rest = setup.pools.len();
        let mut pools = Pools { of: vec![rest; operations], limiter: setup.limiter, ..Pools::default() };
        for (at, pool) in setup.pools.iter().enumerate() {
            for op in pool.operations.iter().filter(|op| **op < operations) {
                pools.of[*op] = at;
            }
            pools.states.push(State { set: Some(pool.clone()), ..State::default() });
        }
        pools.states.push(State::default());
        pools.places = whole(places);
        for state in &mut pools.states {
            state.limit = Limit::new(most(state, pools.places));
        }
        pools
    }

    pub fn is_off(&self) -> bool {
        self.states.is_empty()
    }

    /// Takes over another setup while work goes on: pools are known by their names, so limits stay with them; what is
    /// held and runs is counted where its operation belongs now.
    pub fn follow(&mut self, setup: &Setup, operations: usize, counts: &[Count]) {
        let old = std::mem::take(self);
        *self = Pools::new(setup, operations, old.places as f64);
        self.now = old.now;
        for state in &mut self.states {
            let name = |state: &State| state.set.as_ref().map(|set| set.name.clone());
            if let Some(before) = old.states.iter().find(|before| name(before) == name(state)) {
                (state.limit, state.least_time) = (before.limit, before.least_time);
            }
        }
        for count in counts {
            let now = self.now;
            if let Some(state) = self.state(count.op) {
                state.held += count.held;
                state.past_held += count.past_held;
                state.line += count.line;
                state.past += count.past;
                state.held_kb += count.held_kb;
                state.running += count.running;
                state.waits_from = (state.held > 0).then_some(now);
            }
            self.running += count.running;
        }
    }

    fn state(&mut self, op: usize) -> Option<&mut State> {
        let at = *self.of.get(op)?;
        self.states.get_mut(at)
    }

    // ---- what happens ----

    pub fn held(&mut self, now: Time, op: usize, size: f64, kb: f64) {
        let Some(state) = self.state(op) else { return };
        state.held += 1;
        state.line += size;
        state.held_kb += kb;
        state.waits_from.get_or_insert(now);
    }

    /// One that is held turned out to be past its customer's share.
    pub fn past_share(&mut self, op: usize, size: f64) {
        if let Some(state) = self.state(op) {
            (state.past, state.past_held) = (state.past + size, state.past_held + 1);
        }
    }

    pub fn unheld(&mut self, op: usize, size: f64, kb: f64, in_share: bool) {
        let Some(state) = self.state(op) else { return };
        state.held = state.held.saturating_sub(1);
        (state.line, state.held_kb) = (state.line - size, state.held_kb - kb);
        if !in_share {
            (state.past, state.past_held) = (state.past - size, state.past_held.saturating_sub(1));
        }
        if state.past_held == 0 {
            state.past = 0.0;
        }
        if state.held == 0 {
            (state.line, state.held_kb, state.waits_from) = (0.0, 0.0, None);
        }
    }

    pub fn starts(&mut self, now: Time, op: usize) {
        let Some(state) = self.state(op) else { return };
        state.running += 1;
        state.peak = state.peak.max(state.running);
        if state.held > 0 {
            (state.waits_from, state.waited) = (Some(now), true);
        }
        self.running += 1;
    }

    pub fn leaves(&mut self, op: usize) {
        let Some(state) = self.state(op) else { return };
        state.running = state.running.saturating_sub(1);
        self.running = self.running.saturating_sub(1);
    }

    /// A run that ended well after `took` in its place, for so much expected work.
    pub fn ended(&mut self, op: usize, took: Time, work: f64) {
        let Some(state) = self.state(op) else { return };
        state.took += took.max(0) as f64;
        state.work += work.max(1.0);
        state.ends += 1;
    }

    /// One that was turned away or late: what there was did not do.
    pub fn spoilt(&mut self, op: usize) {
        if let Some(state) = self.state(op) {
            state.spoilt += 1;
        }
    }

    /// The time, and how many places there are now.
    pub fn tick(&mut self, now: Time, places: f64) {
        self.now = now;
        if self.is_off() {
            return;
        }
        self.places = whole(places);
        for state in &mut self.states {
            let span = now - state.window_from;
            let most = most(state, self.places);
            let own = own(state, self.places).max(1.0);
            if span < WINDOW || state.ends < ENDS && span < 10 * WINDOW {
                state.limit.bound(own, most);
                continue;
            }
            if state.ends > 0 {
                let time = state.took / state.work;
                let drift = 1.0 + DRIFT * span as f64 / SECOND;
                let known = state.least_time > 0.0;
                state.least_time = if known { (state.least_time * drift).min(time) } else { time };
                state.last_ratio = time / state.least_time.max(1e-9);
                let sample = Sample {
                    ratio: state.last_ratio,
                    running: state.peak.max(state.running) as f64,
                    waits: state.waited || state.held > 0,
                    spoilt: f64::from(state.spoilt) / f64::from(state.spoilt + state.ends),
                    span: span as f64 / SECOND,
                };
                state.limit.take(self.limiter, sample);
            }
            state.limit.bound(own, most);
            (state.took, state.work, state.ends, state.spoilt, state.window_from) = (0.0, 0.0, 0, 0, now);
            (state.peak, state.waited) = (state.running, false);
        }
    }

    // ---- what may be ----

    /// Whether one of this operation may take the next place. One past its customer's share may not while another of
    /// its pool that is within its own waits: a flood would else take the places of the pool that it comes in.
    pub fn may_start(&self, now: Time, op: usize, in_share: bool) -> bool {
        let Some(at) = self.of.get(op).copied() else { return true };
        let state = &self.states[at];
        if !in_share && state.held > state.past_held {
            return false;
        }
        if state.running as f64 + 1.0 > state.limit.places().max(1.0) {
            return false;
        }
        // One that waited past patience comes before all, the longest first.
        let waited =
            |state: &State| state.waits_from.filter(|_| self.has_limit(state)).map(|from| now - from);
        let longest = self.states.iter().filter_map(waited).max().filter(|longest| *longest >= PATIENCE);
        if let Some(longest) = longest {
            return waited(state) == Some(longest);
        }
        if self.owed(state) {
            return true;
        }
        // Past its own: only while nobody waits for theirs, and not what is reserved for others.
        if self.states.iter().any(|other| self.owed(other)) {
            return false;
        }
        let kept: usize =
            (0..self.states.len()).filter(|other| *other != at).map(|other| self.kept(other)).sum();
        if self.places.saturating_sub(self.running) <= kept {
            return false;
        }
        // What is nobody's own goes by weight: none gets ahead of one that waits by more than a place.
        let claim = |state: &State| (state.running as f64 - own(state, self.places)).max(0.0) / weight(state);
        let ahead = self.states.iter().filter(|other| other.held > 0 && self.has_limit(other));
        ahead.map(claim).fold(f64::INFINITY, f64::min) + 1.0 / weight(state) >= claim(state)
    }

    fn has_limit(&self, state: &State) -> bool {
        state.running as f64 + 1.0 <= state.limit.places().max(1.0)
    }

    /// It has work and fewer places than its own.
    fn owed(&self, state: &State) -> bool {
        state.held > 0 && (state.running as f64) < own(state, self.places) && self.has_limit(state)
    }

    /// Places kept free for a pool. All reserves together leave one place at least.
    fn kept(&self, at: usize) -> usize {
        let Some(set) = self.states[at].set.as_ref().filter(|set| set.reserve > 0.0) else { return 0 };
        let wanted = ((set.reserve * self.places as f64).ceil() as usize).max(1);
        let before: usize = self.states[..at]
            .iter()
            .filter_map(|state| state.set.as_ref())
            .filter(|set| set.reserve > 0.0)
            .map(|set| ((set.reserve * self.places as f64).ceil() as usize).max(1))
            .sum();
        let left = self.places.saturating_sub(1).saturating_sub(before);
        wanted.min(left).saturating_sub(self.states[at].running)
    }

    /// The line before one of this operation: the sizes its pool holds, and the places that serve them while all pools that
    /// have work now go on having some. `None` where the common line counts.
    pub fn line_of(&self, op: usize, in_share: bool) -> Option<(f64, f64)> {
        let at = *self.of.get(op)?;
        let state = self.states.get(at)?;
        let busy = |other: &(usize, &State)| other.0 == at || other.1.held > 0 || other.1.running > 0;
        let busy: Vec<&State> = self.states.iter().enumerate().filter(busy).map(|(_, state)| state).collect();
        let places = self.places as f64;
        // What is nobody's own now goes by weight, but to none more than it may have.
        let owned: f64 =
            busy.iter().map(|state| own(state, self.places).min(state.running.max(1) as f64)).sum();
        let weights: f64 = busy.iter().map(|state| weight(state)).sum();
        let shared = (places - owned).max(0.0) * weight(state) / weights;
        let served = own(state, self.places) + shared;
        let line = state.line - if in_share { state.past } else { 0.0 };
        Some((line, served.max(1.0).min(state.limit.places()).min(places)))
    }

    /// Whether two operations stand in one line.
    pub fn together(&self, op: usize, other: usize) -> bool {
        self.of.get(op) == self.of.get(other)
    }

    /// Whether one of this operation may be put out of memory for another's sake: not while its pool is within its
    /// reserve of `kb`, all the memory there is.
    pub fn may_go(&self, op: usize, kb: f64) -> bool {
        let state = self.of.get(op).and_then(|at| self.states.get(*at));
        state.is_none_or(|state| state.held_kb > reserve(state) * kb)
    }

    /// Memory (KB) that one of this operation leaves to the reserves of other pools.
    pub fn kept_kb(&self, op: usize, kb: f64) -> f64 {
        let Some(at) = self.of.get(op) else { return 0.0 };
        let others = self.states.iter().enumerate().filter(|(other, _)| other != at);
        others.map(|(_, state)| (reserve(state) * kb - state.held_kb).max(0.0)).sum()
    }

    /// A line for the log: what each pool may take, holds and runs.
    pub fn line(&self) -> String {
        let words = self.states.iter().map(|state| {
            let name = state.set.as_ref().map_or("rest", |set| &set.name);
            let (limit, ratio) = (state.limit.places(), state.last_ratio);
            format!("{name} {}/{limit:.1} held {} slower {ratio:.2}", state.running, state.held)
        });
        words.collect::<Vec<_>>().join(", ")
    }

    /// For measurements: for each pool, whether it has work and no place, and may have one by its limit.
    pub fn waits(&self, mut each: impl FnMut(usize, bool)) {
        for (at, state) in self.states.iter().enumerate() {
            each(at, state.held > 0 && state.running == 0);
        }
    }

    /// For measurements: name, limit, running, held, and time against its least.
    pub fn view(&self) -> Vec<View> {
        let view = |state: &State| View {
            name: state.set.as_ref().map_or("rest".into(), |set| set.name.clone()),
            limit: state.limit.places(),
            running: state.running,
            held: state.held,
            slower: state.last_ratio,
        };
        self.states.iter().map(view).collect()
    }
}

/// What of an operation is here when the pools change.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    pub op: usize,
    pub held: usize,
    pub past_held: usize,
    pub line: f64,
    pub past: f64,
    pub held_kb: f64,
    pub running: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub struct View {
    pub name: String,
    pub limit: f64,
    pub running: usize,
    pub held: usize,
    pub slower: f64,
}

/// Places that a cap of so many means: one starts while fewer run than the cap.
fn whole(cap: f64) -> usize {
    (cap.ceil() as usize).max(1)
}

fn own(state: &State, places: usize) -> f64 {
    state.set.as_ref().map_or(0.0, |set| set.least * places as f64)
}

fn most(state: &State, places: usize) -> f64 {
    state.set.as_ref().map_or(1.0, |set| set.most) * places as f64
}

fn weight(state: &State) -> f64 {
    state.set.as_ref().map_or(1.0, |set| set.weight)
}

fn reserve(state: &State) -> f64 {
    state.set.as_ref().map_or(0.0, |set| set.reserve)
}
