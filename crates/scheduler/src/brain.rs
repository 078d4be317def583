//! Every decision of one app server. Called by an adapter: one method a message (`arrived`,
//! `needs_call`, `call_ended`, `run_ended`, `caller_left`, `leaving`, `tick`), each answering through
//! `&mut impl Host`; the interface, `Host` and the plain types, is in api.rs.
//!
//! An arrival passes the stages of `IN` in order; each passes it on, keeps it or ends it. Held ones
//! start from `fill`, the weighted draw. What comes back passes the stages of `BACK`.
//! Same events, same actions: no clock, no shared state, chance only from the seed and a counter.

use crate::api::*;
use cypresscleat_concurrency::rank_index::{RankIndex, RankKey};
use cypresscleat_concurrency::{ClassUsage, Pools, PoolsConfig};
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

const SECOND: Time = 10_000;

/// Draw: weight of a rank against the rank before it; the paper's example for heavy load.
const BETA: f64 = 0.9;
/// One periodic timer, as a part of the answer slack (answers at their due time come this late), and at most.
const TICK_OF_SLACK: f64 = 0.3;
const TICK_MAX: Time = 200;
/// Work (tenths of a millisecond) taken for an invocation without a hint; only its ratio to the measured
/// run time counts.
const NO_HINT: f64 = 2000.0;
/// What is left of measured sums after a second.
const MEMORY_OF_RUNS: f64 = 0.8;
/// Weight of the start value (ratio 1) in the measured ratios, as tenths of a millisecond of work.
const PRIOR: f64 = 4000.0;
/// A class's scale stays within this factor of 1 either way, so one odd period can't turn the ranks round.
const SCALE_SPAN: f64 = 4.0;
/// Run cap: cores busier than this are full; grows under it while work waits, by this part of a core a
/// second.
const FULL: f64 = 0.93;
const GROWTH: f64 = 0.3;
/// Wanting more than this many cores a core is a crowd: the cap falls back.
const CROWD: f64 = 1.25;
/// The cap falls back to this part of the cores at least; what returns from calls and reading fill the rest.
const CAP_LEAST: f64 = 0.5;
/// Unread time, as a part of the shortest objective, past which runs give way to reading, and how fast.
const UNREAD: f64 = 0.25;
const YIELD: f64 = 4.0;
/// Unread time, likewise, past which reading counts in the crowd.
const LAGS: f64 = 0.07;
/// Part of the survivable crowd that runs and parked calls together may reach.
const SURVIVE: f64 = 0.9;
/// Parked invocations (at a call or waiting for one) a core, past which none that calls is started.
const PARKED: f64 = 3.0;
/// Calls out to a tier: at most this many a core, less by this factor when one is turned away, then more by
/// this much with each that comes back.
const CALLING: f64 = 3.0;
const CALLING_FALL: f64 = 0.8;
const CALLING_RISE: f64 = 0.5;
/// Part of `calls_out` that is used: at least, at most, and its rise and fall a second; it grows while
/// calls take less than this multiple of their least mean time, which itself drifts up by this part a
/// second.
const LENT_LEAST: f64 = 0.38;
const LENT_MOST: f64 = 0.9;
const LENT_STEP: f64 = 0.2;
const LENT_FALL: f64 = 1.0;
const CALLS_FAST: f64 = 1.4;
const CALLS_DRIFT: f64 = 0.01;
/// Part of the window of `calls_out` that may be used ahead.
const AHEAD: f64 = 0.04;
/// Longest shared call, as a multiple of that: one that hangs on each of many servers fells what all share.
const LONGEST: f64 = 10.0;
/// Memory: nothing starts past this part of it; past it the largest held is throttled.
const HIGH: f64 = 0.85;
/// Seconds of a customer's local share that may come at once, and at least so many invocations: a share of
/// one a second comes unevenly. Over-share work joins only this part of the line, which it else would fill.
const BURST: f64 = 2.0;
const BURST_LEAST: f64 = 8.0;
const OVER_LINE: f64 = 0.6;
/// Hold: the line may take this part of the shortest objective, and this part of an invocation's own slack.
const LINE: f64 = 0.3;
const FIT: f64 = 0.5;
/// Part of its billed value that a marked repeat counts where something must go: a first try turned away is
/// read again, a repeat seldom. Guards against storms of repeats; may hurt where callers repeat many times.
const RESENT: f64 = 0.3;
/// Time (tenths of a millisecond) an answer needs on its way, taken off the objective.
const WAY: Time = 100;
/// A held one is turned away when not even this part of the time it is expected to take is left.
const SURE: f64 = 0.5;
/// Calls for one need, while each earlier one proved or may be repeated.
const CALL_TRIES: u32 = 2;
/// Shortest time (tenths of a millisecond) worth a call.
const CALL_LEAST: Time = 200;
/// No call is made with less than this part of the mean call time left, while others are out.
const CALL_SURE: f64 = 0.8;
/// Weight of the newest in the averages of call times.
const NEWEST: f64 = 0.1;
/// Advertised value: set every so many tenths of a millisecond; bounds of what callers may have out, a core;
/// at most so many for each caller where that is more (theirs come unevenly: one would keep them from servers
/// that are free); its steps: while pressed to this multiple of what is out, else of the last value.
const ADVERT: Time = 1000;
const OUT_LEAST: f64 = 1.0;
const OUT_MOST: f64 = 3.0;
const OUT_EACH: f64 = 2.0;
const OUT_FALL: f64 = 0.95;
const OUT_RISE: f64 = 1.1;
/// Advertised floor: its change at each advert, and its most.
const FLOOR_STEP: f64 = 0.02;
const FLOOR_MOST: f64 = 0.8;
/// Calls are logged as slow once their mean time passes this part of any objective.
const CALLS_SLOW: f64 = 0.5;

/// Connections: one that idles this long takes about as much of the cores by its room in the table as a new
/// one costs (neither is told); bounds of the idle time, its fall at each advert, the change that is told.
const IDLE_EVEN: f64 = 50_000.0;
/// So many a core may idle as long as they like: a server that few know is not to make each of them connect
/// anew.
const LINKS: f64 = 2.0;
const IDLE_LEAST: f64 = 100.0;
const IDLE_MOST: f64 = 300_000.0;
const IDLE_STEP: f64 = 1.2;
const IDLE_TOLD: f64 = 1.1;
/// Under this part of the cores busy, what an idle connection takes of them counts less and less.
const IDLING: f64 = 0.5;
/// Part of what wants a core that reading and connecting make up, past which the table is left to fill, on
/// cores busier than this.
const DOORS: f64 = 0.8;
const BUSY: f64 = 0.9;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum At {
    #[default]
    Held,
    Running,
    /// At a call that has not been let out.
    Asking,
    Calling,
    /// Waits for the answer of the invocation it repeats.
    Following,
    /// Ended; known only because its entry is kept.
    Over,
}

enum Step {
    Pass,
    Keep,
    End,
}

type In = fn(&mut Brain, Time, &Arrival, &mut dyn Host) -> Step;
type Back = fn(&mut Brain, Time, Inv, Outcome);
const IN: [In; 6] =
    [Brain::drain_in, Brain::repeats_in, Brain::share_in, Brain::due_in, Brain::memory_in, Brain::hold_in];
const BACK: [Back; 2] = [Brain::calls_back, Brain::runs_back];

#[derive(Default)]
struct Rec {
    seq: u64,
    op: usize,
    customer: Option<usize>,
    in_share: bool,
    /// Told work, and the same scaled by its class: what ranks it.
    work: f64,
    size: f64,
    kb: f64,
    /// Billed value a unit of work.
    value: f64,
    arrived: Time,
    goal: Time,
    due: Time,
    at: At,
    begun: bool,
    answered: bool,
    succeeded: bool,
    placed_from: Time,
    placed: Time,
    parked_from: Time,
    parked: Time,
    calls: u32,
    alarm: Time,
    kept_until: Time,
}

/// The few figures of an operation that decisions use.
struct Op {
    set: Operation,
    took: f64,
    hinted: f64,
    scale: f64,
    /// Mean time an invocation spends at calls.
    below: f64,
}

struct Customer {
    rate: f64,
    tokens: f64,
}

#[derive(Default)]
pub struct Brain {
    ops: Vec<Op>,
    customers: Vec<Customer>,
    over_share: f64,
    by_work: bool,
    callers: f64,
    cores: f64,
    cold_from: f64,
    warm_at: Time,
    cold_for: f64,
    high_kb: f64,
    entry_kb: f64,
    blowup: f64,
    halt: Halt,
    say: Say,
    below: Below,
    calls_out: f64,
    lent: f64,
    call_base: f64,
    credit_most: f64,
    lingers: Time,
    fresh: Time,
    drain_grace: Time,
    tip: f64,
    max_backoff: Time,
    tick: Time,
    shortest: f64,
    seed: u64,

    drawn: u64,
    seq: u64,
    recs: Vec<Option<Rec>>,
    held: Vec<Inv>,
    active: Vec<Inv>,
    asking: Vec<Inv>,
    dues: BTreeSet<(Time, Inv)>,
    running: usize,
    calling: usize,
    lingering: BTreeSet<(Time, u64)>,
    credit: f64,
    used_kb: f64,
    line: f64,
    cap: f64,
    pace: f64,
    crowd: f64,
    unread: f64,
    call_time: f64,
    calls_most: f64,
    calls_cut: Time,
    last: Time,
    advert_at: Time,
    out_most: f64,
    idle: f64,
    idle_told: f64,
    busy: f64,
    doors: f64,
    rate: f64,
    came: usize,
    floor: f64,
    shed: usize,
    leaving: Option<(Time, Time)>,
    crowded_out: bool,
    calls_slow: bool,
    pools: Pools,
    /// What is held, by size, and the most memory of any since none was.
    ranks: RankIndex,
    kb_most: f64,
    /// Places beyond which none starts, whatever the cap; told from outside.
    granted: Option<f64>,
}

impl Brain {
    pub fn start(now: Time, set: Settings, host: &mut impl Host) -> Brain {
        let share = |rate: &f64| Customer {
            rate: rate / set.servers.max(1.0) / SECOND as f64,
            tokens: rate / set.servers.max(1.0) * BURST,
        };
        let cores = set.cores.max(1.0);
        let op = |set: &Operation| Op { set: set.clone(), took: 0.0, hinted: 0.0, scale: 1.0, below: 0.0 };
        let brain = Brain {
            ops: set.operations.iter().map(op).collect(),
            customers: set.customers.iter().map(share).collect(),
            over_share: set.over_share,
            by_work: set.by_work,
            callers: set.callers.max(1.0),
            cores,
            cold_from: if set.cold { set.cold_from.clamp(0.01, 1.0) } else { 1.0 },
            warm_at: if set.cold { now + set.cold_for } else { now },
            cold_for: set.cold_for.max(1) as f64,
            high_kb: set.memory_kb * HIGH,
            entry_kb: set.entry_kb,
            blowup: set.blowup.max(1.0),
            halt: set.halt,
            say: set.say,
            below: set.below,
            calls_out: set.calls_out,
            lent: LENT_LEAST,
            credit_most: set.calls_out * AHEAD * set.calls_over as f64,
            lingers: set.lingers,
            fresh: set.fresh,
            drain_grace: set.drain_grace,
            tip: set.tip.max(1.0),
            max_backoff: set.max_backoff,
            tick: ((set.slack as f64 * TICK_OF_SLACK) as Time).clamp(10, TICK_MAX),
            shortest: set.operations.iter().map(|op| op.objective).min().unwrap_or(SECOND) as f64,
            seed: set.seed,
            cap: cores,
            calls_most: cores * CALLING,
            pace: 1.0,
            last: now,
            out_most: (cores * OUT_MOST).max(set.callers * OUT_EACH),
            pools: Pools::new(&set.pools, set.operations.len(), cores),
            ..Brain::default()
        };
        host.wake(brain.tick);
        brain
    }

    // ---- messages ----

    pub fn arrived(&mut self, now: Time, a: Arrival, host: &mut impl Host) {
        let set = &self.ops[a.op].set;
        let work = a.hint.unwrap_or(NO_HINT).max(1.0);
        let arrived = now - a.unread.max(0);
        let due = a.budget.map_or(arrived + set.timeout, |budget| now + budget).max(now);
        let goal = arrived + set.objective + (set.stretch * work) as Time - WAY;
        let rec = Rec {
            seq: self.seq,
            op: a.op,
            customer: a.customer.filter(|c| *c < self.customers.len()),
            in_share: true,
            work,
            size: work * self.ops[a.op].scale,
            kb: a.kb,
            value: set.billed * if a.resent { RESENT } else { 1.0 } / if self.by_work { 1.0 } else { work },
            arrived,
            goal: goal.min(due),
            due,
            alarm: Time::MAX,
            kept_until: Time::MIN,
            ..Rec::default()
        };
        self.seq += 1;
        self.came += 1;
        self.unread += (a.unread as f64 - self.unread) * NEWEST;
        if self.recs.len() <= a.inv {
            self.recs.resize_with(a.inv + 1, || None);
        }
        self.used_kb += rec.kb;
        self.line += rec.size;
        self.pools.enqueue(now, rec.op, rec.size, rec.kb);
        self.ranks.insert(RankKey { size: rec.size, seq: rec.seq, request: a.inv });
        self.kb_most = self.kb_most.max(rec.kb);
        self.recs[a.inv] = Some(rec);
        self.held.push(a.inv);
        for stage in IN {
            if !matches!(stage(self, now, &a, host), Step::Pass) {
                break;
            }
        }
        self.fill(now, host);
    }

    /// A running invocation is parked until its call is let out, skipped or given up.
    pub fn needs_call(&mut self, now: Time, inv: Inv, host: &mut impl Host) {
        let Some(rec) = self.rec(inv).filter(|rec| rec.at == At::Running && !rec.answered) else { return };
        rec.calls = 0;
        rec.parked_from = now;
        self.shift(now, inv, At::Asking);
        self.let_out(now, host);
        self.fill(now, host);
    }

    pub fn call_ended(&mut self, now: Time, inv: Inv, how: Outcome, took: Time, host: &mut impl Host) {
        let Some(rec) = self.rec(inv).filter(|rec| rec.at == At::Calling) else { return };
        let unproven = !matches!(how, Outcome::Throttled | Outcome::NoConnection);
        let (op, calls, left, answered) = (rec.op, rec.calls, rec.goal - now, rec.answered);
        if how == Outcome::NoAnswer {
            self.linger(now);
        }
        // One given up took at least as long: without it a jam hides how slow calls are.
        if how == Outcome::Succeeded || how == Outcome::NoAnswer && took as f64 > self.call_time {
            let first = self.call_time == 0.0;
            self.call_time += (took as f64 - self.call_time) * if first { 1.0 } else { NEWEST };
        }
        // Guards the tier below, and the work that waits on it, against more calls than it takes: part of its
        // reading goes to calls it then turns away. Holds whatever made it too small; may hurt where only one
        // of its servers turns away.
        if how == Outcome::Succeeded {
            self.calls_most = (self.calls_most + CALLING_RISE).min(self.cores * CALLING);
        } else if !unproven && now >= self.calls_cut {
            self.calls_most = (self.calls_most * CALLING_FALL).max(1.0);
            self.calls_cut = now + self.call_time as Time;
        }
        if answered {
            return; // its end follows
        }
        if how == Outcome::Succeeded {
            self.shift(now, inv, At::Running);
        } else {
            self.shift(now, inv, At::Asking);
            // Guards against effects below happening twice: an unproven end bars another call.
            let barred = unproven && self.ops[op].set.effect != Effect::Idempotent;
            // Guards against retry storms below: few tries, only while there is time. Should hold for any
            // failing dependency; may hurt where a third try would have come through.
            let again = calls < CALL_TRIES && left as f64 > self.call_time && how != Outcome::NoAnswer;
            if barred || !again {
                self.without_call(now, inv, host);
            }
        }
        self.let_out(now, host);
        self.fill(now, host);
    }

    pub fn run_ended(&mut self, now: Time, inv: Inv, how: Outcome, host: &mut impl Host) {
        let Some(_) = self.of(inv).filter(|rec| rec.at != At::Over) else { return };
        for stage in BACK {
            stage(self, now, inv, how);
        }
        let ended = matches!(how, Outcome::Succeeded | Outcome::Errored | Outcome::NotStarted);
        if ended || self.rec(inv).is_some_and(|rec| rec.answered) {
            self.over(now, inv, host);
        } else {
            self.shift(now, inv, At::Held); // stopped without an answer: it waits again, or is ended below
            self.give_up(now, inv, host);
        }
        self.let_out(now, host);
        self.fill(now, host);
    }

    pub fn caller_left(&mut self, now: Time, inv: Inv, host: &mut impl Host) {
        let (halt, Some(rec)) = (self.halt, self.rec(inv)) else { return };
        let (at, first) = (rec.at, !rec.answered);
        rec.answered = true;
        let again = self.effect(inv) == Effect::Idempotent;
        match at {
            At::Held | At::Following => self.over(now, inv, host),
            At::Running if first && again && halt != Halt::Never => host.stop(inv),
            _ => self.asking.retain(|other| *other != inv),
        }
        self.fill(now, host);
    }

    pub fn leaving(&mut self, now: Time, within: Time, host: &mut impl Host) {
        let stop = now + within - 2 * self.tick; // answers at due times come up to a tick late
        self.leaving = Some((now + self.drain_grace, stop));
        host.health(false, true);
        host.log(&format!("draining: held {} running {}", self.held.len(), self.active.len()));
        let all: Vec<Inv> = self.held.iter().chain(&self.active).copied().collect();
        for inv in all {
            if let Some(rec) = self.rec(inv) {
                rec.due = rec.due.min(stop);
                rec.goal = rec.goal.min(stop);
            }
            self.set_alarm(now, inv);
        }
        self.advertise(now, host);
        self.fill(now, host);
    }

    /// The one periodic timer, with the server's own gauges.
    pub fn tick(&mut self, now: Time, gauges: Gauges, host: &mut impl Host) {
        let span = (now - self.last).max(0) as f64;
        self.last = now;
        while self.dues.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, inv)) = self.dues.pop_first() else { break };
            self.due(now, inv, host);
        }
        for customer in &mut self.customers {
            let most = customer.rate * BURST * SECOND as f64;
            customer.tokens = (customer.tokens + customer.rate * span).min(most.max(BURST_LEAST));
        }
        self.measure(now, span);
        self.grow(gauges, span);
        self.pools.tick(now, self.cap);
        self.connections(now, gauges, host);
        self.lend(now, span);
        if now >= self.advert_at {
            self.advertise(now, host);
        }
        self.let_out(now, host);
        self.fill(now, host);
        host.wake(self.tick);
    }

    /// Where runs go to places that others grant: so many there are now.
    pub fn grant(&mut self, now: Time, places: f64, host: &mut impl Host) {
        self.granted = Some(places);
        self.fill(now, host);
    }

    /// Other pools from now on; what is held and runs is counted where it belongs then.
    pub fn pool(&mut self, now: Time, setup: &PoolsConfig, host: &mut impl Host) {
        let mut counts: Vec<ClassUsage> =
            (0..self.ops.len()).map(|op| ClassUsage { class: op, ..ClassUsage::default() }).collect();
        for rec in self.held.iter().chain(&self.active).filter_map(|inv| self.recs[*inv].as_ref()) {
            let count = &mut counts[rec.op];
            if rec.at == At::Held {
                let past = if rec.in_share { 0.0 } else { 1.0 };
                count.queued += 1;
                count.over_quota += past as usize;
                count.queued_size += rec.size;
                count.over_quota_size += rec.size * past;
                count.queued_kb += rec.kb;
            }
            count.running += usize::from(rec.at == At::Running);
        }
        self.pools.reconfigure(setup, self.ops.len(), &counts);
        host.log(&format!("pools: {}", self.pools.summary()));
        self.fill(now, host);
    }

    pub fn pools(&self) -> &Pools {
        &self.pools
    }

    // ---- the stages of an arrival ----

    /// Rule 3: what reached the machine after the grace is not run; nothing new is taken near the stop.
    fn drain_in(&mut self, now: Time, a: &Arrival, host: &mut dyn Host) -> Step {
        let Some((grace, stop)) = self.leaving else { return Step::Pass };
        let Some(rec) = self.rec(a.inv) else { return Step::End };
        rec.due = rec.due.min(stop).max(now);
        rec.goal = rec.goal.min(stop);
        if rec.arrived >= grace || now >= stop {
            self.give_up(now, a.inv, host);
            return Step::End;
        }
        Step::Pass
    }

    /// Rule 2: a repeat of a tokened invocation never runs beside or after the first.
    fn repeats_in(&mut self, now: Time, a: &Arrival, host: &mut dyn Host) -> Step {
        let set = &self.ops[a.op].set;
        let (effect, window) = (set.effect, set.window);
        let span = match effect {
            Effect::Tokened => window,
            Effect::Idempotent if self.fresh > 0 && a.keyed && !a.write => self.fresh + set.objective,
            _ => 0,
        };
        if let Some(first) = a.repeats {
            let first = first.and_then(|inv| self.recs.get(inv)?.as_ref());
            // One that ended without having run leaves the way free; one no longer known has run.
            let unrun = first.is_some_and(|first| first.at == At::Over && !first.begun);
            let failed = first.is_some_and(|first| first.at == At::Over && first.begun && !first.succeeded);
            if failed && effect != Effect::Idempotent {
                self.edit(a.inv, |rec| rec.begun = true); // some try of it has run: no throttling
                self.give_up(now, a.inv, host);
                return Step::End;
            }
            if !unrun && !failed {
                self.shift(now, a.inv, At::Following);
                host.reuse(a.inv);
                self.set_alarm(now, a.inv);
                return Step::Keep;
            }
        }
        if span > 0 {
            // Guards the table of keys: without room for its entry a tokened one could run twice.
            if self.used_kb + self.entry_kb > self.high_kb {
                if effect != Effect::Tokened {
                    return Step::Pass;
                }
                self.give_up(now, a.inv, host);
                return Step::End;
            }
            host.keep(a.inv, span);
            self.used_kb += self.entry_kb;
            self.edit(a.inv, |rec| rec.kept_until = now + span);
        }
        Step::Pass
    }

    /// Traffic beyond a customer's local share counts for little, but only where something must go.
    fn share_in(&mut self, _now: Time, a: &Arrival, _host: &mut dyn Host) -> Step {
        if let Some(customer) = a.customer.and_then(|c| self.customers.get_mut(c)) {
            let in_share = customer.tokens >= 1.0;
            customer.tokens -= if in_share { 1.0 } else { 0.0 };
            let part = if in_share { 1.0 } else { self.over_share };
            self.edit(a.inv, |rec| (rec.in_share, rec.value) = (in_share, rec.value * part));
            if let Some(rec) = self.recs[a.inv].as_ref().filter(|_| !in_share) {
                self.pools.mark_over_quota(rec.op, rec.size);
            }
        }
        Step::Pass
    }

    /// What lay unread past its objective goes at once; what may still meet it stays: estimates are rough.
    fn due_in(&mut self, now: Time, a: &Arrival, host: &mut dyn Host) -> Step {
        if self.rec(a.inv).is_some_and(|rec| rec.goal <= now) {
            self.due(now, a.inv, host);
        }
        match self.rec(a.inv) {
            Some(rec) if rec.at == At::Held => Step::Pass,
            _ => Step::End,
        }
    }

    /// Past the high mark, less what other pools keep of it, the largest held goes, until the rest fits.
    fn memory_in(&mut self, now: Time, a: &Arrival, host: &mut dyn Host) -> Step {
        while self.used_kb + self.pools.kb_reserved_by_others(a.op, self.high_kb) > self.high_kb {
            let key = |inv: &Inv| self.of(*inv).map_or((0, 0), |rec| ((rec.kb * 16.0) as u64, rec.seq));
            // Its pool's reserve keeps one, unless it is past its customer's share.
            let goes = |rec: &Rec| !rec.in_share || self.pools.can_evict(rec.op, self.high_kb);
            let may = |inv: &Inv| *inv == a.inv || self.of(*inv).is_some_and(goes);
            let Some(largest) = self.held.iter().copied().filter(may).max_by_key(key) else { break };
            self.give_up(now, largest, host);
            if largest == a.inv {
                return Step::End;
            }
        }
        Step::Pass
    }

    /// A line no longer than its objectives allow; of what must go, the least valued, then the newest.
    fn hold_in(&mut self, now: Time, a: &Arrival, host: &mut dyn Host) -> Step {
        loop {
            let Some(rec) = self.of(a.inv).filter(|rec| rec.at == At::Held) else { return Step::End };
            let part = if rec.in_share { 1.0 } else { OVER_LINE };
            let room = (FIT * ((rec.goal - now) as f64 - self.need(a.inv))).min(self.shortest * LINE) * part;
            let free = self.cap - self.running as f64 >= self.held.len() as f64;
            let (line, places) = self.pools.queue_ahead(a.op, rec.in_share).unwrap_or((self.line, self.cap));
            let ahead = line * self.pace / places - rec.size * self.pace / places;
            let no_calls = self.calls(a.inv) && self.calls_line() > FIT * (rec.goal - now) as f64;
            if !no_calls && (free || ahead <= room.max(0.0)) {
                break;
            }
            let may = self.held.iter().copied().filter(|inv| !no_calls || self.calls(*inv));
            let may =
                may.filter(|inv| self.of(*inv).is_some_and(|rec| self.pools.is_same_pool(rec.op, a.op)));
            let Some(victim) = may.min_by(|a, b| self.by_value(*a, *b)) else { break };
            self.shed += self.of(victim).is_some_and(|rec| rec.in_share) as usize;
            self.give_up(now, victim, host);
        }
        self.set_alarm(now, a.inv);
        Step::Keep
    }

    // ---- starting: run cap, memory and calls in hand, then the draw ----

    fn fill(&mut self, now: Time, host: &mut dyn Host) {
        let parked = self.active.len() - self.running;
        // One always is.
        let survivable = (self.survivable(now) * SURVIVE).max(1.01);
        // Past the cores only whole places count: part of one would be taken by a whole run, which slows all
        // others while no core is free for it. May hurt where runs wait for disks: the cap grows into a place
        // later.
        let whole = if self.cap > self.cores { self.cap.floor() } else { self.cap };
        let places = whole.min(self.granted.unwrap_or(f64::INFINITY));
        while !self.held.is_empty()
            && (self.running as f64) < places
            && ((self.active.len() + 1) as f64) < survivable
        {
            let no_calls = parked as f64 >= self.cores * PARKED;
            let Some(inv) = self.draw(now, no_calls) else { break };
            self.edit(inv, |rec| rec.begun = true);
            self.shift(now, inv, At::Running);
            self.set_alarm(now, inv);
            host.run(inv);
        }
    }

    /// The weighted draw: rank j of N by scaled hint with chance b^j (1-b) / (1-b^N). Those that may not
    /// start (their running bytes pass the high mark, they call while too many are parked, or their pool
    /// has no place) have no rank.
    fn draw(&mut self, now: Time, no_calls: bool) -> Option<Inv> {
        let fits = |inv: &&Inv| {
            let calls = no_calls && self.below != Below::Nothing && self.calls(**inv);
            let grows = |rec: &Rec| {
                rec.kb * (self.blowup - 1.0) + self.pools.kb_reserved_by_others(rec.op, self.high_kb)
            };
            let fits = |rec: &Rec| self.used_kb + grows(rec) <= self.high_kb;
            !calls
                && self
                    .of(**inv)
                    .is_some_and(|rec| fits(rec) && self.pools.can_start(now, rec.op, rec.in_share))
        };
        // All may start, as the largest fits: then nothing is copied.
        if !no_calls
            && self.pools.is_disabled()
            && self.used_kb + self.kb_most * (self.blowup - 1.0) <= self.high_kb
        {
            let rank = self.rank(self.held.len());
            return self.ranks.select(rank).map(|key| key.request);
        }
        let mut ranked: Vec<Inv> = self.held.iter().filter(fits).copied().collect();
        if ranked.is_empty() {
            return None;
        }
        let rank = self.rank(ranked.len());
        let by = |inv: &Inv| self.of(*inv).map_or((0.0, 0), |rec| (rec.size, rec.seq));
        let (_, drawn, _) = ranked.select_nth_unstable_by(rank, |a, b| {
            let (a, b) = (by(a), by(b));
            a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
        });
        Some(*drawn)
    }

    /// Rank j of `count` with chance b^j (1-b) / (1-b^count).
    fn rank(&mut self, count: usize) -> usize {
        let u = self.chance();
        let rank = (1.0 - u * (1.0 - BETA.powi(count as i32))).ln() / BETA.ln();
        (rank as usize).min(count - 1)
    }

    fn chance(&mut self) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, self.drawn).hash(&mut hasher);
        self.drawn += 1;
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }

    // ---- calls below ----

    /// Calls go out in order of billed value, then age, as the bounds allow.
    fn let_out(&mut self, now: Time, host: &mut dyn Host) {
        loop {
            let out = (self.calling + self.lingering.len()) as f64;
            let may = match self.below {
                Below::Shared => self.credit >= 0.0 && out < self.calls_out.max(1.0).floor(),
                _ => out < self.calls_most,
            };
            let best = self.asking.iter().copied().max_by(|a, b| self.by_value(*a, *b));
            let (true, Some(inv)) = (may, best) else { return };
            let Some(left) = self.of(inv).map(|rec| rec.goal - now) else { return };
            // Guards what lies below against calls whose answer comes too late: it does them all the same.
            // Holds whatever slows it; may hurt where times vary much. One call is always out, to learn.
            let hopeless = self.calling > 0 && (left as f64) < self.call_time * CALL_SURE;
            if left < CALL_LEAST || hopeless {
                self.without_call(now, inv, host);
                continue;
            }
            self.edit(inv, |rec| rec.calls += 1);
            self.shift(now, inv, At::Calling);
            let longest = ((self.credit_most * LONGEST) as Time - self.lingers).max(self.lingers);
            let within = if self.below == Below::Shared { left.min(longest.max(CALL_LEAST)) } else { left };
            host.call(inv, within);
        }
    }

    /// The call is given up: answered poorer where that is worth something, else errored at once.
    fn without_call(&mut self, now: Time, inv: Inv, host: &mut dyn Host) {
        let Some(rec) = self.rec(inv) else { return };
        let op = rec.op;
        if self.ops[op].set.skipped > 0.0 {
            self.shift(now, inv, At::Running);
            host.skip_call(inv);
        } else {
            self.fail(now, inv, host);
        }
    }

    /// Rule 4 for a shared dependency: credit grows with our share and is spent by calls in hand.
    fn lend(&mut self, now: Time, span: f64) {
        while self.lingering.first().is_some_and(|(until, _)| *until <= now) {
            self.lingering.pop_first();
        }
        let out = (self.calling + self.lingering.len()) as f64;
        let seconds = span / SECOND as f64;
        let drift = (self.call_time - self.call_base) * CALLS_DRIFT * seconds;
        self.call_base = if self.call_base == 0.0 { self.call_time } else { self.call_base + drift };
        self.call_base = self.call_base.min(self.call_time);
        let fast = self.call_time < self.call_base * CALLS_FAST;
        let step = if fast { LENT_STEP } else { -LENT_FALL } * seconds;
        self.lent = (self.lent + step).clamp(LENT_LEAST, LENT_MOST);
        self.credit = (self.credit + (self.calls_out * self.lent - out) * span).min(self.credit_most);
    }

    /// An abandoned call stays in the hands of what lies below for a while.
    fn linger(&mut self, now: Time) {
        self.lingering.insert((now + self.lingers, self.seq));
        self.seq += 1;
    }

    // ---- the way back ----

    fn calls_back(&mut self, now: Time, inv: Inv, how: Outcome) {
        if self.rec(inv).is_some_and(|rec| rec.at == At::Calling) {
            self.linger(now); // ended before its call did
        }
        let Some(rec) = self.rec(inv).filter(|_| how == Outcome::Succeeded) else { return };
        let (op, parked) = (rec.op, rec.parked as f64);
        self.ops[op].below += (parked - self.ops[op].below) * NEWEST;
    }

    fn runs_back(&mut self, now: Time, inv: Inv, how: Outcome) {
        let Some(rec) = self.rec(inv) else { return };
        rec.succeeded = how == Outcome::Succeeded;
        if rec.succeeded && rec.at == At::Running {
            let (op, work, placed) = (rec.op, rec.work, rec.placed + now - rec.placed_from);
            self.ops[op].took += placed as f64;
            self.ops[op].hinted += work;
            self.pools.record_success(op, placed, work);
        }
    }

    // ---- due times ----

    fn due(&mut self, now: Time, inv: Inv, host: &mut dyn Host) {
        let need = self.need(inv);
        let stops = self.halt != Halt::Never && !self.held.is_empty();
        let late = self.recs[inv].as_ref().map_or(0.0, |rec| self.ops[rec.op].set.late);
        let Some(rec) = self.rec(inv) else { return };
        rec.alarm = Time::MAX;
        let past = now >= rec.goal && late <= 0.0;
        match rec.at {
            At::Over => return self.release(inv, host),
            _ if rec.answered => return,
            _ if now >= rec.due => return self.fail(now, inv, host),
            At::Held if now as f64 + need * SURE >= rec.goal as f64 => {
                if late <= 0.0 || rec.goal >= rec.due {
                    return self.give_up(now, inv, host);
                }
                rec.goal = rec.due;
                rec.value *= late;
            }
            // Past its objective and worth nothing: its place serves those that wait.
            At::Running if past && stops => return self.fail(now, inv, host),
            At::Asking | At::Calling if past => return self.fail(now, inv, host),
            _ => {}
        }
        self.set_alarm(now, inv);
    }

    fn set_alarm(&mut self, now: Time, inv: Inv) {
        let (need, tick) = ((self.need(inv) * SURE) as Time, self.tick);
        let stops = self.halt != Halt::Never;
        let Some(rec) = self.rec(inv) else { return };
        let next = match rec.at {
            At::Over => rec.kept_until,
            At::Following => rec.due,
            At::Held => (rec.goal - need).max(now + 1).min(rec.due),
            _ if rec.goal > now => rec.goal.min(rec.due),
            At::Running if stops => rec.due.min(now + tick),
            _ => rec.due,
        };
        let before = std::mem::replace(&mut rec.alarm, next);
        self.dues.remove(&(before, inv));
        self.dues.insert((next, inv));
    }

    // ---- endings ----

    /// Turned away with a time to come back; what has run and may not run twice is errored instead. Unless
    /// this server leaves, callers are asked not to try elsewhere: guards a full fleet against walks through
    /// its list, longer in a larger one, where each try costs its reading and a connection. May hurt where
    /// only this server is full.
    fn give_up(&mut self, now: Time, inv: Inv, host: &mut dyn Host) {
        let once = self.effect(inv) != Effect::Idempotent;
        let back = (self.wait() as Time).clamp(0, self.max_backoff);
        let stays = self.leaving.is_none();
        let back = if stays { back } else { self.max_backoff };
        let Some(rec) = self.rec(inv).filter(|rec| !rec.answered) else { return };
        if (rec.begun && once) || rec.at != At::Held {
            return self.fail(now, inv, host);
        }
        rec.answered = true;
        let op = rec.op;
        if let (true, Some(customer)) = (rec.in_share, rec.customer) {
            self.customers[customer].tokens += 1.0;
        }
        self.pools.record_drop(op);
        host.throttle(inv, back, stays);
        self.over(now, inv, host);
    }

    /// The final answer of error; running work is stopped where that is possible.
    fn fail(&mut self, now: Time, inv: Inv, host: &mut dyn Host) {
        let halt = self.halt;
        let Some(rec) = self.rec(inv).filter(|rec| !rec.answered) else { return };
        rec.answered = true;
        let (at, op) = (rec.at, rec.op);
        self.pools.record_drop(op);
        host.error(inv);
        match at {
            At::Held | At::Following => self.over(now, inv, host),
            At::Running if halt != Halt::Never => host.stop(inv),
            _ => self.asking.retain(|other| *other != inv),
        }
    }

    /// Nothing of it is left here but, for a while, its entry.
    fn over(&mut self, now: Time, inv: Inv, host: &mut dyn Host) {
        self.shift(now, inv, At::Over);
        match self.of(inv) {
            Some(rec) if rec.kept_until > now => self.set_alarm(now, inv),
            _ => self.release(inv, host),
        }
    }

    fn release(&mut self, inv: Inv, host: &mut dyn Host) {
        if let Some(rec) = self.recs[inv].take() {
            self.dues.remove(&(rec.alarm, inv));
            if rec.kept_until > Time::MIN {
                self.used_kb -= self.entry_kb;
            }
            host.release(inv);
        }
    }

    // ---- figures ----

    fn rec(&mut self, inv: Inv) -> Option<&mut Rec> {
        self.recs.get_mut(inv)?.as_mut()
    }

    fn of(&self, inv: Inv) -> Option<&Rec> {
        self.recs.get(inv)?.as_ref()
    }

    fn edit(&mut self, inv: Inv, change: impl FnOnce(&mut Rec)) {
        self.rec(inv).map(change);
    }

    fn effect(&self, inv: Inv) -> Effect {
        self.of(inv).map_or(Effect::Idempotent, |rec| self.ops[rec.op].set.effect)
    }

    /// Whether its operation calls below.
    fn calls(&self, inv: Inv) -> bool {
        self.of(inv).is_some_and(|rec| self.ops[rec.op].set.calls)
    }

    /// Moves an invocation to another place, with all that is counted by place.
    fn shift(&mut self, now: Time, inv: Inv, to: At) {
        let blowup = self.blowup;
        let Some(rec) = self.recs[inv].as_mut() else { return };
        let from = std::mem::replace(&mut rec.at, to);
        let bytes = |at: At| match at {
            At::Held | At::Following => rec.kb,
            At::Over => 0.0,
            _ => rec.kb * blowup,
        };
        self.used_kb += bytes(to) - bytes(from);
        match from {
            At::Held => {
                self.held.retain(|other| *other != inv);
                self.pools.dequeue(rec.op, rec.size, rec.kb, rec.in_share);
                self.ranks.remove(&RankKey { size: rec.size, seq: rec.seq, request: inv });
                self.kb_most = if self.held.is_empty() { 0.0 } else { self.kb_most };
                self.line = if self.held.is_empty() { 0.0 } else { self.line - rec.size };
            }
            At::Running => {
                rec.placed += now - rec.placed_from;
                self.pools.release(rec.op);
                self.running -= 1;
            }
            At::Asking => self.asking.retain(|other| *other != inv),
            At::Calling => self.calling -= 1,
            _ => {}
        }
        match to {
            At::Held => {
                self.held.push(inv);
                self.ranks.insert(RankKey { size: rec.size, seq: rec.seq, request: inv });
                self.kb_most = self.kb_most.max(rec.kb);
                self.pools.enqueue(now, rec.op, rec.size, rec.kb);
                if !rec.in_share {
                    self.pools.mark_over_quota(rec.op, rec.size);
                }
                self.line += rec.size;
            }
            At::Running => {
                if matches!(from, At::Asking | At::Calling) {
                    rec.parked += now - rec.parked_from;
                }
                rec.placed_from = now;
                self.pools.acquire(now, rec.op);
                self.running += 1;
            }
            At::Asking => self.asking.push(inv),
            At::Calling => self.calling += 1,
            _ => {}
        }
        let active = |at: At| matches!(at, At::Running | At::Asking | At::Calling);
        if active(to) && !active(from) {
            self.active.push(inv);
        } else if active(from) && !active(to) {
            self.active.retain(|other| *other != inv);
        }
    }

    /// What may be on the cores at once, by the speed that is surely reached.
    fn survivable(&self, now: Time) -> f64 {
        let cold = (self.warm_at - now).max(0) as f64 / self.cold_for;
        self.cores * (1.0 + (self.tip - 1.0) * (1.0 - (1.0 - self.cold_from) * cold))
    }

    /// While it is cold: what all callers together may have here.
    pub fn ramp(&self, now: Time) -> Option<f64> {
        (now < self.warm_at).then(|| self.survivable(now))
    }

    /// Time the line takes to start, at the present pace.
    fn wait(&self) -> f64 {
        self.line * self.pace / self.cap
    }

    /// Time one still needs from its start: its place, and its calls.
    fn need(&self, inv: Inv) -> f64 {
        self.of(inv).map_or(0.0, |rec| rec.size * self.pace + self.ops[rec.op].below)
    }

    /// Time until the calls owed by all that is here have gone out, where their number is bound.
    fn calls_line(&self) -> f64 {
        let owed = self.asking.len() + self.held.iter().filter(|inv| self.calls(**inv)).count();
        let most = if self.below == Below::Shared { self.calls_out * self.lent } else { self.calls_most };
        owed as f64 * self.call_time / most.max(0.01)
    }

    /// Less billed value first; of equals the newer first.
    fn by_value(&self, a: Inv, b: Inv) -> Ordering {
        let key = |inv: Inv| self.of(inv).map_or((0.0, 0), |rec| (rec.value, rec.seq));
        let (a, b) = (key(a), key(b));
        a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))
    }

    /// Class scales and the pace (time a place is held for a unit of scaled hint) over the same period.
    fn measure(&mut self, now: Time, span: f64) {
        let keep = MEMORY_OF_RUNS.powf(span / SECOND as f64);
        self.unread *= keep;
        for op in &mut self.ops {
            op.took *= keep;
            op.hinted *= keep;
        }
        let (took, hinted) = self.ops.iter().fold((0.0, 0.0), |sum, op| (sum.0 + op.took, sum.1 + op.hinted));
        for op in &mut self.ops {
            let own = (op.took + PRIOR) / (op.hinted + PRIOR);
            let others = (took - op.took + PRIOR) / (hinted - op.hinted + PRIOR);
            op.scale = (own / others).clamp(1.0 / SCALE_SPAN, SCALE_SPAN);
        }
        let scaled: f64 = self.ops.iter().map(|op| op.hinted * op.scale).sum();
        let ended = (took + PRIOR) / (scaled + PRIOR);
        // A server that has just turned slow ends little: what runs already shows it.
        let (mut elapsed, mut sizes) = (0.0, 0.0);
        for rec in self.active.iter().filter_map(|inv| self.recs[*inv].as_ref()) {
            let here = if rec.at == At::Running { now - rec.placed_from } else { 0 };
            elapsed += (rec.placed + here) as f64;
            sizes += rec.size;
        }
        self.pace = ended.max((elapsed + PRIOR) / (sizes + PRIOR));
    }

    /// The run cap follows the cores: up while they idle and work waits, back when they are crowded.
    fn grow(&mut self, gauges: Gauges, span: f64) {
        let step = GROWTH * self.cores * span / SECOND as f64;
        // Guards against work growing old unread: reading shares the cores with what runs, so when it lags,
        // runs give way, under the core count if need be. Holds for any cause that slows all the server
        // does; may hurt where a pause of the whole process, not crowded cores, kept arrivals unread.
        if self.unread > self.shortest * UNREAD {
            self.cap = (self.cap - step * YIELD).max(1.0);
            return;
        }
        if self.cap < self.cores * CAP_LEAST {
            self.cap += step;
            return;
        }
        let (Some(busy), Some(wanting)) = (gauges.core_use, gauges.on_cores) else { return };
        // Reading counts in the crowd only where it lags: where it is short, fewer runs would only let more
        // callers connect and be refused.
        let lags = self.unread > self.shortest * LAGS;
        let wanting = if lags { wanting } else { wanting.min(self.running as f64) };
        self.crowd += (wanting / self.cores - self.crowd) * NEWEST;
        if self.crowd > CROWD && busy > FULL {
            self.cap -= step;
        } else if busy < FULL && !self.held.is_empty() && self.running as f64 + 1.0 > self.cap {
            self.cap += step;
        }
        self.cap = self.cap.clamp(self.cores * CAP_LEAST, self.cores * self.tip * SURVIVE);
    }

    /// Guards against a table of connections that many callers fill, each with one it seldom uses: a fuller
    /// one takes more of the cores, a full one keeps callers out while cores idle. The mean time between two
    /// arrivals of one caller decides: past the time in which an idle connection costs what a new one does,
    /// it is closed so much the sooner. Holds for any number of callers and any load; may hurt where a few
    /// callers send most: theirs are closed too. Where busy cores do little but read and connect, all stay: a
    /// try that finds a full table costs less than one that is read. Holds for any storm of tries; may hurt
    /// after its end, until the table has emptied.
    fn connections(&mut self, now: Time, gauges: Gauges, host: &mut dyn Host) {
        let (busy, wanting) = (gauges.core_use.unwrap_or(0.0), gauges.on_cores.unwrap_or(0.0));
        self.busy += (busy - self.busy) * NEWEST;
        self.doors += ((wanting - self.running as f64).max(0.0) / wanting.max(1.0) - self.doors) * NEWEST;
        if now < self.advert_at {
            return;
        }
        let rate = std::mem::take(&mut self.came) as f64 / ADVERT as f64;
        self.rate += (rate - self.rate) * NEWEST;
        // Where callers do come back in time, what it takes of the cores counts the less, the more they idle.
        let back = self.rate * IDLE_MOST > self.callers;
        let weighs = if back { (self.busy / IDLING).clamp(0.1, 1.0).powi(4) } else { 1.0 };
        let even = (IDLE_EVEN * IDLE_EVEN * self.rate / self.callers / weighs).clamp(IDLE_LEAST, IDLE_MOST);
        let storm = self.doors > DOORS && self.busy > BUSY;
        // So few take next to nothing and keep nobody out: a caller that comes back finds its own.
        let few = gauges.links.is_none_or(|links| links <= self.cores * LINKS);
        self.idle = if storm { IDLE_MOST } else { even.max(self.idle / IDLE_STEP) };
        let idle = if few { IDLE_MOST } else { self.idle };
        if idle.max(self.idle_told) > idle.min(self.idle_told) * IDLE_TOLD {
            self.idle_told = idle;
            host.close_idle(idle as Time);
        }
    }

    /// Tells callers how much to send: less while in-share invocations had to be shed, then slowly more.
    fn advertise(&mut self, now: Time, host: &mut dyn Host) {
        self.advert_at = now + ADVERT;
        let shed = std::mem::take(&mut self.shed);
        let pressed = shed > 0 || self.wait() > self.shortest * LINE;
        if pressed != self.crowded_out {
            self.crowded_out = pressed;
            let state = if pressed { "shedding" } else { "not shedding" };
            let (held, wait) = (self.held.len(), self.wait() / 10.0);
            let (running, cap, pace) = (self.running, self.cap, self.pace);
            host.log(&format!(
                "{state}: held {held} running {running} cap {cap:.1} pace {pace:.2} wait {wait:.0} ms"
            ));
            if !self.pools.is_disabled() {
                host.log(&format!("pools: {}", self.pools.summary()));
            }
        }
        let slow = self.ops.iter().any(|op| self.call_time > op.set.objective as f64 * CALLS_SLOW);
        if slow != self.calls_slow {
            self.calls_slow = slow;
            let (not, mean) = (if slow { "" } else { "not " }, self.call_time / 10.0);
            let (out, wait) = (self.calling, self.asking.len());
            host.log(&format!("calls {not}slow: mean {mean:.0} ms, {out} out, {wait} wait"));
        }
        let out = self.held.len() + self.active.len();
        let (least, most) = (self.cores * OUT_LEAST, (self.cores * OUT_MOST).max(self.callers * OUT_EACH));
        // Guards a cold server against the sum of its callers; may hurt where few of many come at once.
        let most = most.min(self.ramp(now).unwrap_or(most)).max(least);
        let target =
            if pressed { self.out_most.min(out as f64) * OUT_FALL } else { self.out_most * OUT_RISE };
        self.out_most = target.clamp(least, most);
        self.floor = (self.floor + if pressed { FLOOR_STEP } else { -FLOOR_STEP }).clamp(0.0, FLOOR_MOST);
        let gone = self.leaving.is_some();
        match self.say {
            Say::Nothing => {}
            Say::Floor => host.advertise(if gone { 1.0 } else { self.floor }),
            Say::Allowance => host.advertise(if gone { 0.0 } else { self.out_most / self.callers }),
            Say::Weight => host.advertise(if gone { 0.0 } else { 1.0 }),
        }
    }
}
