//! Every decision of one app server. Called by an adapter: one method a message (`arrived`,
//! `needs_call`, `call_ended`, `run_ended`, `caller_left`, `leaving`, `tick`), each answering through
//! `&mut impl Host`; the interface, `Host` and the plain types, is in api.rs.
//!
//! An arrival passes the stages of `ADMISSION_STAGES` in order; each passes it on, keeps it or ends it. Held ones
//! start from `fill`, the weighted draw. What comes back passes the stages of `COMPLETION_STAGES`.
//! Same events, same actions: no clock, no shared state, chance only from the seed and a counter.

use crate::api::*;
use cypresscleat_concurrency::index::{Index, Key};
use cypresscleat_concurrency::{Count, Pools, Setup};
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

const SECOND: Time = 10_000;

/// Draw: weight of a rank against the rank before it; the paper's example for heavy load.
const BETA: f64 = 0.9;
/// One periodic timer, as a part of the answer slack (answers at their due time come this late), and at most.
const TIMER_INTERVAL_PER_ANSWER_SLACK: f64 = 0.3;
const MAX_TIMER_INTERVAL: Time = 200;
/// Work (tenths of a millisecond) taken for an invocation without a hint; only its ratio to the measured
/// run time counts.
const DEFAULT_EXPECTED_WORK: f64 = 2000.0;
/// What is left of measured sums after a second.
const ESTIMATE_DECAY_PER_SECOND: f64 = 0.8;
/// Weight of the start value (ratio 1) in the measured ratios, as tenths of a millisecond of work.
const PRIOR_WORK: f64 = 4000.0;
/// A class's scale stays within this factor of 1 either way, so one odd period can't turn the ranks round.
const MAX_WORK_SCALE: f64 = 4.0;
/// Run cap: cores busier than this are full; grows under it while work waits, by this part of a core a
/// second.
const SATURATED_UTILIZATION: f64 = 0.93;
const LIMIT_GROWTH_PER_CORE_SECOND: f64 = 0.3;
/// Wanting more than this many cores a core is a crowd: the cap falls back.
const MAX_RUNNABLE_PER_CORE: f64 = 1.25;
/// The cap falls back to this part of the cores at least; what returns from calls and reading fill the rest.
const MIN_LIMIT_PER_CORE: f64 = 0.5;
/// Unread time, as a part of the shortest objective, past which runs give way to reading, and how fast.
const UNREAD_BACKOFF_RATIO: f64 = 0.25;
const UNREAD_BACKOFF_SPEED: f64 = 4.0;
/// Unread time, likewise, past which reading counts in the crowd.
const UNREAD_LAG_RATIO: f64 = 0.07;
/// Part of the survivable crowd that runs and parked calls together may reach.
const USABLE_OVERLOAD_SHARE: f64 = 0.9;
/// Parked invocations (at a call or waiting for one) a core, past which none that calls is started.
const MAX_PARKED_PER_CORE: f64 = 3.0;
/// Calls out to a tier: at most this many a core, less by this factor when one is turned away, then more by
/// this much with each that comes back.
const MAX_CALLS_PER_CORE: f64 = 3.0;
const CALL_LIMIT_DECREASE_FACTOR: f64 = 0.8;
const CALL_LIMIT_INCREASE: f64 = 0.5;
/// Part of `calls_out` that is used: at least, at most, and its rise and fall a second; it grows while
/// calls take less than this multiple of their least mean time, which itself drifts up by this part a
/// second.
const MIN_QUOTA_USE: f64 = 0.38;
const MAX_QUOTA_USE: f64 = 0.9;
const QUOTA_USE_RISE_PER_SECOND: f64 = 0.2;
const QUOTA_USE_FALL_PER_SECOND: f64 = 1.0;
const FAST_CALL_RATIO: f64 = 1.4;
const BASELINE_DRIFT_PER_SECOND: f64 = 0.01;
/// Part of the window of `calls_out` that may be used ahead.
const MAX_CREDIT_WINDOW_SHARE: f64 = 0.04;
/// Longest shared call, as a multiple of that: one that hangs on each of many servers fells what all share.
const MAX_CALL_TIME_PER_CREDIT: f64 = 10.0;
/// Memory: nothing starts past this part of it; past it the largest held is throttled.
const MEMORY_HIGH_WATERMARK: f64 = 0.85;
/// Seconds of a customer's local share that may come at once, and at least so many invocations: a share of
/// one a second comes unevenly. Over-share work joins only this part of the line, which it else would fill.
const BURST_SECONDS: f64 = 2.0;
const MIN_BURST_REQUESTS: f64 = 8.0;
const OVER_QUOTA_QUEUE_SHARE: f64 = 0.6;
/// Hold: the line may take this part of the shortest objective, and this part of an invocation's own slack.
const MAX_QUEUE_WAIT_RATIO: f64 = 0.3;
const MAX_SLACK_SPENT_QUEUED: f64 = 0.5;
/// Part of its billed value that a marked repeat counts where something must go: a first try turned away is
/// read again, a repeat seldom. Guards against storms of repeats; may hurt where callers repeat many times.
const RETRY_WEIGHT_FACTOR: f64 = 0.3;
/// Time (tenths of a millisecond) an answer needs on its way, taken off the objective.
const ANSWER_TRANSIT_TIME: Time = 100;
/// A held one is turned away when not even this part of the time it is expected to take is left.
const MIN_SERVICE_TIME_RATIO: f64 = 0.5;
/// Calls for one need, while each earlier one proved or may be repeated.
const MAX_CALL_ATTEMPTS: u32 = 2;
/// Shortest time (tenths of a millisecond) worth a call.
const MIN_CALL_TIMEOUT: Time = 200;
/// No call is made with less than this part of the mean call time left, while others are out.
const MIN_CALL_TIME_RATIO: f64 = 0.8;
/// Weight of the newest in the averages of call times.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Advertised value: set every so many tenths of a millisecond; bounds of what callers may have out, a core;
/// at most so many for each caller where that is more (theirs come unevenly: one would keep them from servers
/// that are free); its steps: while pressed to this multiple of what is out, else of the last value.
const FEEDBACK_INTERVAL: Time = 1000;
const MIN_OUTSTANDING_PER_CORE: f64 = 1.0;
const MAX_OUTSTANDING_PER_CORE: f64 = 3.0;
const MAX_OUTSTANDING_PER_CLIENT: f64 = 2.0;
const OUTSTANDING_DECREASE_FACTOR: f64 = 0.95;
const OUTSTANDING_INCREASE_FACTOR: f64 = 1.1;
/// Advertised floor: its change at each advert, and its most.
const PRIORITY_FLOOR_STEP: f64 = 0.02;
const MAX_PRIORITY_FLOOR: f64 = 0.8;
/// Calls are logged as slow once their mean time passes this part of any objective.
const SLOW_CALL_RATIO: f64 = 0.5;

/// Connections: one that idles this long takes about as much of the cores by its room in the table as a new
/// one costs (neither is told); bounds of the idle time, its fall at each advert, the change that is told.
const BREAK_EVEN_IDLE_TIME: f64 = 50_000.0;
/// So many a core may idle as long as they like: a server that few know is not to make each of them connect
/// anew.
const FREE_CONNECTIONS_PER_CORE: f64 = 2.0;
const MIN_IDLE_TIMEOUT: f64 = 100.0;
const MAX_IDLE_TIMEOUT: f64 = 300_000.0;
const IDLE_TIMEOUT_DECREASE_FACTOR: f64 = 1.2;
const IDLE_TIMEOUT_REPORT_RATIO: f64 = 1.1;
/// Under this part of the cores busy, what an idle connection takes of them counts less and less.
const IDLE_CORES_UTILIZATION: f64 = 0.5;
/// Part of what wants a core that reading and connecting make up, past which the table is left to fill, on
/// cores busier than this.
const CONNECTION_STORM_SHARE: f64 = 0.8;
const CONNECTION_STORM_UTILIZATION: f64 = 0.9;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Queued,
    Running,
    /// Phase a call that has not been let out.
    AwaitingCall,
    Calling,
    /// Waits for the answer of the invocation it repeats.
    AwaitingResult,
    /// Ended; known only because its entry is kept.
    Finished,
}

enum AdmissionStep {
    Continue,
    Queued,
    Ended,
}

type AdmissionStage = fn(&mut Scheduler, Time, &Arrival, &mut dyn Host) -> AdmissionStep;
type CompletionStage = fn(&mut Scheduler, Time, RequestSlot, Outcome);
const ADMISSION_STAGES: [AdmissionStage; 6] = [
    Scheduler::admit_while_draining,
    Scheduler::deduplicate,
    Scheduler::charge_quota,
    Scheduler::check_deadline,
    Scheduler::make_memory,
    Scheduler::fit_queue,
];
const COMPLETION_STAGES: [CompletionStage; 2] = [Scheduler::record_calls, Scheduler::record_run];

#[derive(Default)]
struct RequestState {
    sequence: u64,
    class: usize,
    tenant: Option<usize>,
    within_quota: bool,
    /// Told work, and the same scaled by its class: what ranks it.
    expected_work: f64,
    scaled_work: f64,
    memory_kb: f64,
    /// Billed value a unit of work.
    priority: f64,
    arrived_at: Time,
    objective_at: Time,
    deadline: Time,
    phase: Phase,
    has_run: bool,
    is_answered: bool,
    has_succeeded: bool,
    running_since: Time,
    running_time: Time,
    parked_since: Time,
    parked_time: Time,
    call_attempts: u32,
    timer_at: Time,
    retained_until: Time,
}

/// The few figures of an operation that decisions use.
struct ClassState {
    config: RequestClass,
    run_time: f64,
    expected_work: f64,
    work_scale: f64,
    /// Mean time an invocation spends at calls.
    mean_parked_time: f64,
}

struct TokenBucket {
    rate: f64,
    tokens: f64,
}

#[derive(Default)]
pub struct Scheduler {
    classes: Vec<ClassState>,
    tenants: Vec<TokenBucket>,
    over_quota_share: f64,
    weight_per_work: bool,
    client_count: f64,
    cores: f64,
    slow_start_initial: f64,
    slow_start_until: Time,
    slow_start_duration: f64,
    memory_limit_kb: f64,
    retained_entry_kb: f64,
    running_memory_factor: f64,
    stop_mode: StopMode,
    load_feedback: LoadFeedbackKind,
    downstream: DownstreamKind,
    shared_call_quota: f64,
    quota_use: f64,
    baseline_call_time: f64,
    max_credit: f64,
    abandoned_call_duration: Time,
    result_freshness: Time,
    drain_grace: Time,
    overload_multiple: f64,
    max_retry_after: Time,
    timer_interval: Time,
    shortest_objective: f64,
    seed: u64,

    drawn: u64,
    next_sequence: u64,
    requests: Vec<Option<RequestState>>,
    queued: Vec<RequestSlot>,
    active: Vec<RequestSlot>,
    awaiting_call: Vec<RequestSlot>,
    timers: BTreeSet<(Time, RequestSlot)>,
    running: usize,
    calling: usize,
    abandoned_calls: BTreeSet<(Time, u64)>,
    credit: f64,
    used_kb: f64,
    queued_work: f64,
    limit: f64,
    pace: f64,
    mean_runnable_per_core: f64,
    mean_time_unread: f64,
    mean_call_time: f64,
    call_limit: f64,
    call_limit_cut_at: Time,
    last_tick: Time,
    next_feedback_at: Time,
    max_outstanding: f64,
    idle_timeout: f64,
    reported_idle_timeout: f64,
    mean_utilization: f64,
    mean_connection_share: f64,
    arrival_rate: f64,
    arrivals: usize,
    priority_floor: f64,
    shed_requests: usize,
    draining: Option<(Time, Time)>,
    is_shedding: bool,
    calls_are_slow: bool,
    pools: Pools,
    /// What is held, by size, and the most memory of any since none was.
    queue_index: Index,
    largest_queued_kb: f64,
    /// Places beyond which none starts, whatever the cap; told from outside.
    granted_places: Option<f64>,
}

impl Scheduler {
    pub fn start(now: Time, set: Settings, host: &mut impl Host) -> Scheduler {
        let share = |rate: &f64| TokenBucket {
            rate: rate / set.fleet_size.max(1.0) / SECOND as f64,
            tokens: rate / set.fleet_size.max(1.0) * BURST_SECONDS,
        };
        let cores = set.cores.max(1.0);
        let op = |set: &RequestClass| ClassState {
            config: set.clone(),
            run_time: 0.0,
            expected_work: 0.0,
            work_scale: 1.0,
            mean_parked_time: 0.0,
        };
        let scheduler = Scheduler {
            classes: set.classes.iter().map(op).collect(),
            tenants: set.tenant_rates.iter().map(share).collect(),
            over_quota_share: set.over_quota_share,
            weight_per_work: set.weight_per_work,
            client_count: set.client_count.max(1.0),
            cores,
            slow_start_initial: if set.slow_start { set.slow_start_initial.clamp(0.01, 1.0) } else { 1.0 },
            slow_start_until: if set.slow_start { now + set.slow_start_duration } else { now },
            slow_start_duration: set.slow_start_duration.max(1) as f64,
            memory_limit_kb: set.memory_kb * MEMORY_HIGH_WATERMARK,
            retained_entry_kb: set.retained_entry_kb,
            running_memory_factor: set.running_memory_factor.max(1.0),
            stop_mode: set.stop_mode,
            load_feedback: set.load_feedback,
            downstream: set.downstream,
            shared_call_quota: set.shared_call_quota,
            quota_use: MIN_QUOTA_USE,
            max_credit: set.shared_call_quota * MAX_CREDIT_WINDOW_SHARE * set.shared_call_window as f64,
            abandoned_call_duration: set.abandoned_call_duration,
            result_freshness: set.result_freshness,
            drain_grace: set.drain_grace,
            overload_multiple: set.overload_multiple.max(1.0),
            max_retry_after: set.max_retry_after,
            timer_interval: ((set.answer_slack as f64 * TIMER_INTERVAL_PER_ANSWER_SLACK) as Time)
                .clamp(10, MAX_TIMER_INTERVAL),
            shortest_objective: set.classes.iter().map(|op| op.latency_objective).min().unwrap_or(SECOND)
                as f64,
            seed: set.seed,
            limit: cores,
            call_limit: cores * MAX_CALLS_PER_CORE,
            pace: 1.0,
            last_tick: now,
            max_outstanding: (cores * MAX_OUTSTANDING_PER_CORE)
                .max(set.client_count * MAX_OUTSTANDING_PER_CLIENT),
            pools: Pools::new(&set.pools, set.classes.len(), cores),
            ..Scheduler::default()
        };
        host.set_timer(scheduler.timer_interval);
        scheduler
    }

    // ---- messages ----

    pub fn handle_arrival(&mut self, now: Time, a: Arrival, host: &mut impl Host) {
        let set = &self.classes[a.class].config;
        let work = a.expected_work.unwrap_or(DEFAULT_EXPECTED_WORK).max(1.0);
        let arrived = now - a.time_unread.max(0);
        let due = a.remaining_timeout.map_or(arrived + set.timeout, |budget| now + budget).max(now);
        let goal =
            arrived + set.latency_objective + (set.objective_per_work * work) as Time - ANSWER_TRANSIT_TIME;
        let rec = RequestState {
            sequence: self.next_sequence,
            class: a.class,
            tenant: a.tenant.filter(|c| *c < self.tenants.len()),
            within_quota: true,
            expected_work: work,
            scaled_work: work * self.classes[a.class].work_scale,
            memory_kb: a.memory_kb,
            priority: set.priority_weight * if a.is_retry { RETRY_WEIGHT_FACTOR } else { 1.0 }
                / if self.weight_per_work { 1.0 } else { work },
            arrived_at: arrived,
            objective_at: goal.min(due),
            deadline: due,
            timer_at: Time::MAX,
            retained_until: Time::MIN,
            ..RequestState::default()
        };
        self.next_sequence += 1;
        self.arrivals += 1;
        self.mean_time_unread += (a.time_unread as f64 - self.mean_time_unread) * SMOOTHING_FACTOR;
        if self.requests.len() <= a.slot {
            self.requests.resize_with(a.slot + 1, || None);
        }
        self.used_kb += rec.memory_kb;
        self.queued_work += rec.scaled_work;
        self.pools.held(now, rec.class, rec.scaled_work, rec.memory_kb);
        self.queue_index.insert(Key { size: rec.scaled_work, seq: rec.sequence, inv: a.slot });
        self.largest_queued_kb = self.largest_queued_kb.max(rec.memory_kb);
        self.requests[a.slot] = Some(rec);
        self.queued.push(a.slot);
        for stage in ADMISSION_STAGES {
            if !matches!(stage(self, now, &a, host), AdmissionStep::Continue) {
                break;
            }
        }
        self.dispatch(now, host);
    }

    /// A running invocation is parked until its call is let out, skipped or given up.
    pub fn handle_call_needed(&mut self, now: Time, slot: RequestSlot, host: &mut impl Host) {
        let Some(rec) = self.request_mut(slot).filter(|rec| rec.phase == Phase::Running && !rec.is_answered)
        else {
            return;
        };
        rec.call_attempts = 0;
        rec.parked_since = now;
        self.transition(now, slot, Phase::AwaitingCall);
        self.dispatch_calls(now, host);
        self.dispatch(now, host);
    }

    pub fn handle_call_completed(
        &mut self,
        now: Time,
        slot: RequestSlot,
        how: Outcome,
        took: Time,
        host: &mut impl Host,
    ) {
        let Some(rec) = self.request_mut(slot).filter(|rec| rec.phase == Phase::Calling) else { return };
        let unproven = !matches!(how, Outcome::Rejected | Outcome::ConnectFailed);
        let (op, calls, left, answered) =
            (rec.class, rec.call_attempts, rec.objective_at - now, rec.is_answered);
        if how == Outcome::TimedOut {
            self.count_abandoned_call(now);
        }
        // One given up took at least as long: without it a jam hides how slow calls are.
        if how == Outcome::Succeeded || how == Outcome::TimedOut && took as f64 > self.mean_call_time {
            let first = self.mean_call_time == 0.0;
            self.mean_call_time +=
                (took as f64 - self.mean_call_time) * if first { 1.0 } else { SMOOTHING_FACTOR };
        }
        // Guards the tier below, and the work that waits on it, against more calls than it takes: part of its
        // reading goes to calls it then turns away. Holds whatever made it too small; may hurt where only one
        // of its servers turns away.
        if how == Outcome::Succeeded {
            self.call_limit = (self.call_limit + CALL_LIMIT_INCREASE).min(self.cores * MAX_CALLS_PER_CORE);
        } else if !unproven && now >= self.call_limit_cut_at {
            self.call_limit = (self.call_limit * CALL_LIMIT_DECREASE_FACTOR).max(1.0);
            self.call_limit_cut_at = now + self.mean_call_time as Time;
        }
        if answered {
            return; // its end follows
        }
        if how == Outcome::Succeeded {
            self.transition(now, slot, Phase::Running);
        } else {
            self.transition(now, slot, Phase::AwaitingCall);
            // Guards against effects below happening twice: an unproven end bars another call.
            let barred = unproven && self.classes[op].config.retry_safety != RetrySafety::Idempotent;
            // Guards against retry storms below: few tries, only while there is time. Should hold for any
            // failing dependency; may hurt where a third try would have come through.
            let again =
                calls < MAX_CALL_ATTEMPTS && left as f64 > self.mean_call_time && how != Outcome::TimedOut;
            if barred || !again {
                self.skip_or_fail_call(now, slot, host);
            }
        }
        self.dispatch_calls(now, host);
        self.dispatch(now, host);
    }

    pub fn handle_run_completed(&mut self, now: Time, slot: RequestSlot, how: Outcome, host: &mut impl Host) {
        let Some(_) = self.request(slot).filter(|rec| rec.phase != Phase::Finished) else { return };
        for stage in COMPLETION_STAGES {
            stage(self, now, slot, how);
        }
        let ended = matches!(how, Outcome::Succeeded | Outcome::Failed | Outcome::NotStarted);
        if ended || self.request_mut(slot).is_some_and(|rec| rec.is_answered) {
            self.finish(now, slot, host);
        } else {
            self.transition(now, slot, Phase::Queued); // stopped without an answer: it waits again, or is ended below
            self.reject(now, slot, host);
        }
        self.dispatch_calls(now, host);
        self.dispatch(now, host);
    }

    pub fn handle_client_disconnect(&mut self, now: Time, slot: RequestSlot, host: &mut impl Host) {
        let (halt, Some(rec)) = (self.stop_mode, self.request_mut(slot)) else { return };
        let (at, first) = (rec.phase, !rec.is_answered);
        rec.is_answered = true;
        let again = self.retry_safety(slot) == RetrySafety::Idempotent;
        match at {
            Phase::Queued | Phase::AwaitingResult => self.finish(now, slot, host),
            Phase::Running if first && again && halt != StopMode::Unsupported => host.stop(slot),
            _ => self.awaiting_call.retain(|other| *other != slot),
        }
        self.dispatch(now, host);
    }

    pub fn start_draining(&mut self, now: Time, within: Time, host: &mut impl Host) {
        let stop = now + within - 2 * self.timer_interval; // answers at due times come up to a tick late
        self.draining = Some((now + self.drain_grace, stop));
        host.set_health(false, true);
        host.log(&format!("draining: held {} running {}", self.queued.len(), self.active.len()));
        let all: Vec<RequestSlot> = self.queued.iter().chain(&self.active).copied().collect();
        for slot in all {
            if let Some(rec) = self.request_mut(slot) {
                rec.deadline = rec.deadline.min(stop);
                rec.objective_at = rec.objective_at.min(stop);
            }
            self.arm_timer(now, slot);
        }
        self.report_load(now, host);
        self.dispatch(now, host);
    }

    /// The one periodic timer, with the server's own gauges.
    pub fn tick(&mut self, now: Time, gauges: Gauges, host: &mut impl Host) {
        let span = (now - self.last_tick).max(0) as f64;
        self.last_tick = now;
        while self.timers.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, slot)) = self.timers.pop_first() else { break };
            self.expire(now, slot, host);
        }
        for bucket in &mut self.tenants {
            let most = bucket.rate * BURST_SECONDS * SECOND as f64;
            bucket.tokens = (bucket.tokens + bucket.rate * span).min(most.max(MIN_BURST_REQUESTS));
        }
        self.update_estimates(now, span);
        self.update_limit(gauges, span);
        self.pools.tick(now, self.limit);
        self.update_idle_timeout(now, gauges, host);
        self.refill_call_credit(now, span);
        if now >= self.next_feedback_at {
            self.report_load(now, host);
        }
        self.dispatch_calls(now, host);
        self.dispatch(now, host);
        host.set_timer(self.timer_interval);
    }

    /// Where runs go to places that others grant: so many there are now.
    pub fn set_granted_places(&mut self, now: Time, places: f64, host: &mut impl Host) {
        self.granted_places = Some(places);
        self.dispatch(now, host);
    }

    /// Other pools from now on; what is held and runs is counted where it belongs then.
    pub fn set_pools(&mut self, now: Time, setup: &Setup, host: &mut impl Host) {
        let mut counts: Vec<Count> =
            (0..self.classes.len()).map(|op| Count { op, ..Count::default() }).collect();
        for rec in self.queued.iter().chain(&self.active).filter_map(|slot| self.requests[*slot].as_ref()) {
            let count = &mut counts[rec.class];
            if rec.phase == Phase::Queued {
                let past = if rec.within_quota { 0.0 } else { 1.0 };
                count.held += 1;
                count.past_held += past as usize;
                count.line += rec.scaled_work;
                count.past += rec.scaled_work * past;
                count.held_kb += rec.memory_kb;
            }
            count.running += usize::from(rec.phase == Phase::Running);
        }
        self.pools.follow(setup, self.classes.len(), &counts);
        host.log(&format!("pools: {}", self.pools.line()));
        self.dispatch(now, host);
    }

    pub fn pools(&self) -> &Pools {
        &self.pools
    }

    // ---- the stages of an arrival ----

    /// Rule 3: what reached the machine after the grace is not run; nothing new is taken near the stop.
    fn admit_while_draining(&mut self, now: Time, a: &Arrival, host: &mut dyn Host) -> AdmissionStep {
        let Some((grace, stop)) = self.draining else { return AdmissionStep::Continue };
        let Some(rec) = self.request_mut(a.slot) else { return AdmissionStep::Ended };
        rec.deadline = rec.deadline.min(stop).max(now);
        rec.objective_at = rec.objective_at.min(stop);
        if rec.arrived_at >= grace || now >= stop {
            self.reject(now, a.slot, host);
            return AdmissionStep::Ended;
        }
        AdmissionStep::Continue
    }

    /// Rule 2: a repeat of a tokened invocation never runs beside or after the first.
    fn deduplicate(&mut self, now: Time, a: &Arrival, host: &mut dyn Host) -> AdmissionStep {
        let set = &self.classes[a.class].config;
        let (effect, window) = (set.retry_safety, set.retry_window);
        let span = match effect {
            RetrySafety::IdempotencyKey => window,
            RetrySafety::Idempotent if self.result_freshness > 0 && a.has_idempotency_key && !a.is_write => {
                self.result_freshness + set.latency_objective
            }
            _ => 0,
        };
        if let Some(first) = a.earlier_attempt {
            let first = first.and_then(|slot| self.requests.get(slot)?.as_ref());
            // One that ended without having run leaves the way free; one no longer known has run.
            let unrun = first.is_some_and(|first| first.phase == Phase::Finished && !first.has_run);
            let failed = first
                .is_some_and(|first| first.phase == Phase::Finished && first.has_run && !first.has_succeeded);
            if failed && effect != RetrySafety::Idempotent {
                self.edit(a.slot, |rec| rec.has_run = true); // some try of it has run: no throttling
                self.reject(now, a.slot, host);
                return AdmissionStep::Ended;
            }
            if !unrun && !failed {
                self.transition(now, a.slot, Phase::AwaitingResult);
                host.replay_result(a.slot);
                self.arm_timer(now, a.slot);
                return AdmissionStep::Queued;
            }
        }
        if span > 0 {
            // Guards the table of keys: without room for its entry a tokened one could run twice.
            if self.used_kb + self.retained_entry_kb > self.memory_limit_kb {
                if effect != RetrySafety::IdempotencyKey {
                    return AdmissionStep::Continue;
                }
                self.reject(now, a.slot, host);
                return AdmissionStep::Ended;
            }
            host.retain_for_retries(a.slot, span);
            self.used_kb += self.retained_entry_kb;
            self.edit(a.slot, |rec| rec.retained_until = now + span);
        }
        AdmissionStep::Continue
    }

    /// Traffic beyond a customer's local share counts for little, but only where something must go.
    fn charge_quota(&mut self, _now: Time, a: &Arrival, _host: &mut dyn Host) -> AdmissionStep {
        if let Some(bucket) = a.tenant.and_then(|c| self.tenants.get_mut(c)) {
            let in_share = bucket.tokens >= 1.0;
            bucket.tokens -= if in_share { 1.0 } else { 0.0 };
            let part = if in_share { 1.0 } else { self.over_quota_share };
            self.edit(a.slot, |rec| (rec.within_quota, rec.priority) = (in_share, rec.priority * part));
            if let Some(rec) = self.requests[a.slot].as_ref().filter(|_| !in_share) {
                self.pools.past_share(rec.class, rec.scaled_work);
            }
        }
        AdmissionStep::Continue
    }

    /// What lay unread past its objective goes at once; what may still meet it stays: estimates are rough.
    fn check_deadline(&mut self, now: Time, a: &Arrival, host: &mut dyn Host) -> AdmissionStep {
        if self.request_mut(a.slot).is_some_and(|rec| rec.objective_at <= now) {
            self.expire(now, a.slot, host);
        }
        match self.request_mut(a.slot) {
            Some(rec) if rec.phase == Phase::Queued => AdmissionStep::Continue,
            _ => AdmissionStep::Ended,
        }
    }

    /// Past the high mark, less what other pools keep of it, the largest held goes, until the rest fits.
    fn make_memory(&mut self, now: Time, a: &Arrival, host: &mut dyn Host) -> AdmissionStep {
        while self.used_kb + self.pools.kept_kb(a.class, self.memory_limit_kb) > self.memory_limit_kb {
            let key = |slot: &RequestSlot| {
                self.request(*slot).map_or((0, 0), |rec| ((rec.memory_kb * 16.0) as u64, rec.sequence))
            };
            // Its pool's reserve keeps one, unless it is past its customer's share.
            let goes =
                |rec: &RequestState| !rec.within_quota || self.pools.may_go(rec.class, self.memory_limit_kb);
            let may = |slot: &RequestSlot| *slot == a.slot || self.request(*slot).is_some_and(goes);
            let Some(largest) = self.queued.iter().copied().filter(may).max_by_key(key) else { break };
            self.reject(now, largest, host);
            if largest == a.slot {
                return AdmissionStep::Ended;
            }
        }
        AdmissionStep::Continue
    }

    /// A line no longer than its objectives allow; of what must go, the least valued, then the newest.
    fn fit_queue(&mut self, now: Time, a: &Arrival, host: &mut dyn Host) -> AdmissionStep {
        loop {
            let Some(rec) = self.request(a.slot).filter(|rec| rec.phase == Phase::Queued) else {
                return AdmissionStep::Ended;
            };
            let part = if rec.within_quota { 1.0 } else { OVER_QUOTA_QUEUE_SHARE };
            let room = (MAX_SLACK_SPENT_QUEUED
                * ((rec.objective_at - now) as f64 - self.expected_time(a.slot)))
            .min(self.shortest_objective * MAX_QUEUE_WAIT_RATIO)
                * part;
            let free = self.limit - self.running as f64 >= self.queued.len() as f64;
            let (line, places) =
                self.pools.line_of(a.class, rec.within_quota).unwrap_or((self.queued_work, self.limit));
            let ahead = line * self.pace / places - rec.scaled_work * self.pace / places;
            let no_calls = self.calls_downstream(a.slot)
                && self.call_queue_wait() > MAX_SLACK_SPENT_QUEUED * (rec.objective_at - now) as f64;
            if !no_calls && (free || ahead <= room.max(0.0)) {
                break;
            }
            let may = self.queued.iter().copied().filter(|slot| !no_calls || self.calls_downstream(*slot));
            let may = may.filter(|slot| {
                self.request(*slot).is_some_and(|rec| self.pools.together(rec.class, a.class))
            });
            let Some(victim) = may.min_by(|a, b| self.compare_priority(*a, *b)) else { break };
            self.shed_requests += self.request(victim).is_some_and(|rec| rec.within_quota) as usize;
            self.reject(now, victim, host);
        }
        self.arm_timer(now, a.slot);
        AdmissionStep::Queued
    }

    // ---- starting: run cap, memory and calls in hand, then the draw ----

    fn dispatch(&mut self, now: Time, host: &mut dyn Host) {
        let parked = self.active.len() - self.running;
        // One always is.
        let survivable = (self.survivable_concurrency(now) * USABLE_OVERLOAD_SHARE).max(1.01);
        // Past the cores only whole places count: part of one would be taken by a whole run, which slows all
        // others while no core is free for it. May hurt where runs wait for disks: the cap grows into a place
        // later.
        let whole = if self.limit > self.cores { self.limit.floor() } else { self.limit };
        let places = whole.min(self.granted_places.unwrap_or(f64::INFINITY));
        while !self.queued.is_empty()
            && (self.running as f64) < places
            && ((self.active.len() + 1) as f64) < survivable
        {
            let no_calls = parked as f64 >= self.cores * MAX_PARKED_PER_CORE;
            let Some(slot) = self.draw(now, no_calls) else { break };
            self.edit(slot, |rec| rec.has_run = true);
            self.transition(now, slot, Phase::Running);
            self.arm_timer(now, slot);
            host.run(slot);
        }
    }

    /// The weighted draw: rank j of N by scaled hint with chance b^j (1-b) / (1-b^N). Those that may not
    /// start (their running bytes pass the high mark, they call while too many are parked, or their pool
    /// has no place) have no rank.
    fn draw(&mut self, now: Time, no_calls: bool) -> Option<RequestSlot> {
        let fits = |slot: &&RequestSlot| {
            let calls = no_calls && self.downstream != DownstreamKind::None && self.calls_downstream(**slot);
            let grows = |rec: &RequestState| {
                rec.memory_kb * (self.running_memory_factor - 1.0)
                    + self.pools.kept_kb(rec.class, self.memory_limit_kb)
            };
            let fits = |rec: &RequestState| self.used_kb + grows(rec) <= self.memory_limit_kb;
            !calls
                && self
                    .request(**slot)
                    .is_some_and(|rec| fits(rec) && self.pools.may_start(now, rec.class, rec.within_quota))
        };
        // All may start, as the largest fits: then nothing is copied.
        if !no_calls
            && self.pools.is_off()
            && self.used_kb + self.largest_queued_kb * (self.running_memory_factor - 1.0)
                <= self.memory_limit_kb
        {
            let rank = self.draw_rank(self.queued.len());
            return self.queue_index.select(rank).map(|key| key.inv);
        }
        let mut ranked: Vec<RequestSlot> = self.queued.iter().filter(fits).copied().collect();
        if ranked.is_empty() {
            return None;
        }
        let rank = self.draw_rank(ranked.len());
        let by =
            |slot: &RequestSlot| self.request(*slot).map_or((0.0, 0), |rec| (rec.scaled_work, rec.sequence));
        let (_, drawn, _) = ranked.select_nth_unstable_by(rank, |a, b| {
            let (a, b) = (by(a), by(b));
            a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
        });
        Some(*drawn)
    }

    /// Rank j of `count` with chance b^j (1-b) / (1-b^count).
    fn draw_rank(&mut self, count: usize) -> usize {
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
    fn dispatch_calls(&mut self, now: Time, host: &mut dyn Host) {
        loop {
            let out = (self.calling + self.abandoned_calls.len()) as f64;
            let may = match self.downstream {
                DownstreamKind::Shared => self.credit >= 0.0 && out < self.shared_call_quota.max(1.0).floor(),
                _ => out < self.call_limit,
            };
            let best = self.awaiting_call.iter().copied().max_by(|a, b| self.compare_priority(*a, *b));
            let (true, Some(slot)) = (may, best) else { return };
            let Some(left) = self.request(slot).map(|rec| rec.objective_at - now) else { return };
            // Guards what lies below against calls whose answer comes too late: it does them all the same.
            // Holds whatever slows it; may hurt where times vary much. One call is always out, to learn.
            let hopeless = self.calling > 0 && (left as f64) < self.mean_call_time * MIN_CALL_TIME_RATIO;
            if left < MIN_CALL_TIMEOUT || hopeless {
                self.skip_or_fail_call(now, slot, host);
                continue;
            }
            self.edit(slot, |rec| rec.call_attempts += 1);
            self.transition(now, slot, Phase::Calling);
            let longest = ((self.max_credit * MAX_CALL_TIME_PER_CREDIT) as Time
                - self.abandoned_call_duration)
                .max(self.abandoned_call_duration);
            let within = if self.downstream == DownstreamKind::Shared {
                left.min(longest.max(MIN_CALL_TIMEOUT))
            } else {
                left
            };
            host.call(slot, within);
        }
    }

    /// The call is given up: answered poorer where that is worth something, else errored at once.
    fn skip_or_fail_call(&mut self, now: Time, slot: RequestSlot, host: &mut dyn Host) {
        let Some(rec) = self.request_mut(slot) else { return };
        let op = rec.class;
        if self.classes[op].config.degraded_share > 0.0 {
            self.transition(now, slot, Phase::Running);
            host.skip_call(slot);
        } else {
            self.fail(now, slot, host);
        }
    }

    /// Rule 4 for a shared dependency: credit grows with our share and is spent by calls in hand.
    fn refill_call_credit(&mut self, now: Time, span: f64) {
        while self.abandoned_calls.first().is_some_and(|(until, _)| *until <= now) {
            self.abandoned_calls.pop_first();
        }
        let out = (self.calling + self.abandoned_calls.len()) as f64;
        let seconds = span / SECOND as f64;
        let drift = (self.mean_call_time - self.baseline_call_time) * BASELINE_DRIFT_PER_SECOND * seconds;
        self.baseline_call_time = if self.baseline_call_time == 0.0 {
            self.mean_call_time
        } else {
            self.baseline_call_time + drift
        };
        self.baseline_call_time = self.baseline_call_time.min(self.mean_call_time);
        let fast = self.mean_call_time < self.baseline_call_time * FAST_CALL_RATIO;
        let step = if fast { QUOTA_USE_RISE_PER_SECOND } else { -QUOTA_USE_FALL_PER_SECOND } * seconds;
        self.quota_use = (self.quota_use + step).clamp(MIN_QUOTA_USE, MAX_QUOTA_USE);
        self.credit =
            (self.credit + (self.shared_call_quota * self.quota_use - out) * span).min(self.max_credit);
    }

    /// An abandoned call stays in the hands of what lies below for a while.
    fn count_abandoned_call(&mut self, now: Time) {
        self.abandoned_calls.insert((now + self.abandoned_call_duration, self.next_sequence));
        self.next_sequence += 1;
    }

    // ---- the way back ----

    fn record_calls(&mut self, now: Time, slot: RequestSlot, how: Outcome) {
        if self.request_mut(slot).is_some_and(|rec| rec.phase == Phase::Calling) {
            self.count_abandoned_call(now); // ended before its call did
        }
        let Some(rec) = self.request_mut(slot).filter(|_| how == Outcome::Succeeded) else { return };
        let (op, parked) = (rec.class, rec.parked_time as f64);
        self.classes[op].mean_parked_time += (parked - self.classes[op].mean_parked_time) * SMOOTHING_FACTOR;
    }

    fn record_run(&mut self, now: Time, slot: RequestSlot, how: Outcome) {
        let Some(rec) = self.request_mut(slot) else { return };
        rec.has_succeeded = how == Outcome::Succeeded;
        if rec.has_succeeded && rec.phase == Phase::Running {
            let (op, work, placed) =
                (rec.class, rec.expected_work, rec.running_time + now - rec.running_since);
            self.classes[op].run_time += placed as f64;
            self.classes[op].expected_work += work;
            self.pools.ended(op, placed, work);
        }
    }

    // ---- due times ----

    fn expire(&mut self, now: Time, slot: RequestSlot, host: &mut dyn Host) {
        let need = self.expected_time(slot);
        let stops = self.stop_mode != StopMode::Unsupported && !self.queued.is_empty();
        let late = self.requests[slot].as_ref().map_or(0.0, |rec| self.classes[rec.class].config.late_share);
        let Some(rec) = self.request_mut(slot) else { return };
        rec.timer_at = Time::MAX;
        let past = now >= rec.objective_at && late <= 0.0;
        match rec.phase {
            Phase::Finished => return self.release(slot, host),
            _ if rec.is_answered => return,
            _ if now >= rec.deadline => return self.fail(now, slot, host),
            Phase::Queued if now as f64 + need * MIN_SERVICE_TIME_RATIO >= rec.objective_at as f64 => {
                if late <= 0.0 || rec.objective_at >= rec.deadline {
                    return self.reject(now, slot, host);
                }
                rec.objective_at = rec.deadline;
                rec.priority *= late;
            }
            // Past its objective and worth nothing: its place serves those that wait.
            Phase::Running if past && stops => return self.fail(now, slot, host),
            Phase::AwaitingCall | Phase::Calling if past => return self.fail(now, slot, host),
            _ => {}
        }
        self.arm_timer(now, slot);
    }

    fn arm_timer(&mut self, now: Time, slot: RequestSlot) {
        let (need, tick) = ((self.expected_time(slot) * MIN_SERVICE_TIME_RATIO) as Time, self.timer_interval);
        let stops = self.stop_mode != StopMode::Unsupported;
        let Some(rec) = self.request_mut(slot) else { return };
        let next = match rec.phase {
            Phase::Finished => rec.retained_until,
            Phase::AwaitingResult => rec.deadline,
            Phase::Queued => (rec.objective_at - need).max(now + 1).min(rec.deadline),
            _ if rec.objective_at > now => rec.objective_at.min(rec.deadline),
            Phase::Running if stops => rec.deadline.min(now + tick),
            _ => rec.deadline,
        };
        let before = std::mem::replace(&mut rec.timer_at, next);
        self.timers.remove(&(before, slot));
        self.timers.insert((next, slot));
    }

    // ---- endings ----

    /// Turned away with a time to come back; what has run and may not run twice is errored instead. Unless
    /// this server leaves, callers are asked not to try elsewhere: guards a full fleet against walks through
    /// its list, longer in a larger one, where each try costs its reading and a connection. May hurt where
    /// only this server is full.
    fn reject(&mut self, now: Time, slot: RequestSlot, host: &mut dyn Host) {
        let once = self.retry_safety(slot) != RetrySafety::Idempotent;
        let back = (self.queue_wait() as Time).clamp(0, self.max_retry_after);
        let stays = self.draining.is_none();
        let back = if stays { back } else { self.max_retry_after };
        let Some(rec) = self.request_mut(slot).filter(|rec| !rec.is_answered) else { return };
        if (rec.has_run && once) || rec.phase != Phase::Queued {
            return self.fail(now, slot, host);
        }
        rec.is_answered = true;
        let op = rec.class;
        if let (true, Some(customer)) = (rec.within_quota, rec.tenant) {
            self.tenants[customer].tokens += 1.0;
        }
        self.pools.spoilt(op);
        host.reject(slot, back, stays);
        self.finish(now, slot, host);
    }

    /// The final answer of error; running work is stopped where that is possible.
    fn fail(&mut self, now: Time, slot: RequestSlot, host: &mut dyn Host) {
        let halt = self.stop_mode;
        let Some(rec) = self.request_mut(slot).filter(|rec| !rec.is_answered) else { return };
        rec.is_answered = true;
        let (at, op) = (rec.phase, rec.class);
        self.pools.spoilt(op);
        host.fail(slot);
        match at {
            Phase::Queued | Phase::AwaitingResult => self.finish(now, slot, host),
            Phase::Running if halt != StopMode::Unsupported => host.stop(slot),
            _ => self.awaiting_call.retain(|other| *other != slot),
        }
    }

    /// Nothing of it is left here but, for a while, its entry.
    fn finish(&mut self, now: Time, slot: RequestSlot, host: &mut dyn Host) {
        self.transition(now, slot, Phase::Finished);
        match self.request(slot) {
            Some(rec) if rec.retained_until > now => self.arm_timer(now, slot),
            _ => self.release(slot, host),
        }
    }

    fn release(&mut self, slot: RequestSlot, host: &mut dyn Host) {
        if let Some(rec) = self.requests[slot].take() {
            self.timers.remove(&(rec.timer_at, slot));
            if rec.retained_until > Time::MIN {
                self.used_kb -= self.retained_entry_kb;
            }
            host.release(slot);
        }
    }

    // ---- figures ----

    fn request_mut(&mut self, slot: RequestSlot) -> Option<&mut RequestState> {
        self.requests.get_mut(slot)?.as_mut()
    }

    fn request(&self, slot: RequestSlot) -> Option<&RequestState> {
        self.requests.get(slot)?.as_ref()
    }

    fn edit(&mut self, slot: RequestSlot, change: impl FnOnce(&mut RequestState)) {
        self.request_mut(slot).map(change);
    }

    fn retry_safety(&self, slot: RequestSlot) -> RetrySafety {
        self.request(slot).map_or(RetrySafety::Idempotent, |rec| self.classes[rec.class].config.retry_safety)
    }

    /// Whether its operation calls below.
    fn calls_downstream(&self, slot: RequestSlot) -> bool {
        self.request(slot).is_some_and(|rec| self.classes[rec.class].config.calls_downstream)
    }

    /// Moves an invocation to another place, with all that is counted by place.
    fn transition(&mut self, now: Time, slot: RequestSlot, to: Phase) {
        let blowup = self.running_memory_factor;
        let Some(rec) = self.requests[slot].as_mut() else { return };
        let from = std::mem::replace(&mut rec.phase, to);
        let bytes = |at: Phase| match at {
            Phase::Queued | Phase::AwaitingResult => rec.memory_kb,
            Phase::Finished => 0.0,
            _ => rec.memory_kb * blowup,
        };
        self.used_kb += bytes(to) - bytes(from);
        match from {
            Phase::Queued => {
                self.queued.retain(|other| *other != slot);
                self.pools.unheld(rec.class, rec.scaled_work, rec.memory_kb, rec.within_quota);
                self.queue_index.remove(&Key { size: rec.scaled_work, seq: rec.sequence, inv: slot });
                self.largest_queued_kb = if self.queued.is_empty() { 0.0 } else { self.largest_queued_kb };
                self.queued_work =
                    if self.queued.is_empty() { 0.0 } else { self.queued_work - rec.scaled_work };
            }
            Phase::Running => {
                rec.running_time += now - rec.running_since;
                self.pools.leaves(rec.class);
                self.running -= 1;
            }
            Phase::AwaitingCall => self.awaiting_call.retain(|other| *other != slot),
            Phase::Calling => self.calling -= 1,
            _ => {}
        }
        match to {
            Phase::Queued => {
                self.queued.push(slot);
                self.queue_index.insert(Key { size: rec.scaled_work, seq: rec.sequence, inv: slot });
                self.largest_queued_kb = self.largest_queued_kb.max(rec.memory_kb);
                self.pools.held(now, rec.class, rec.scaled_work, rec.memory_kb);
                if !rec.within_quota {
                    self.pools.past_share(rec.class, rec.scaled_work);
                }
                self.queued_work += rec.scaled_work;
            }
            Phase::Running => {
                if matches!(from, Phase::AwaitingCall | Phase::Calling) {
                    rec.parked_time += now - rec.parked_since;
                }
                rec.running_since = now;
                self.pools.starts(now, rec.class);
                self.running += 1;
            }
            Phase::AwaitingCall => self.awaiting_call.push(slot),
            Phase::Calling => self.calling += 1,
            _ => {}
        }
        let active = |at: Phase| matches!(at, Phase::Running | Phase::AwaitingCall | Phase::Calling);
        if active(to) && !active(from) {
            self.active.push(slot);
        } else if active(from) && !active(to) {
            self.active.retain(|other| *other != slot);
        }
    }

    /// What may be on the cores at once, by the speed that is surely reached.
    fn survivable_concurrency(&self, now: Time) -> f64 {
        let cold = (self.slow_start_until - now).max(0) as f64 / self.slow_start_duration;
        self.cores * (1.0 + (self.overload_multiple - 1.0) * (1.0 - (1.0 - self.slow_start_initial) * cold))
    }

    /// While it is cold: what all callers together may have here.
    pub fn slow_start_limit(&self, now: Time) -> Option<f64> {
        (now < self.slow_start_until).then(|| self.survivable_concurrency(now))
    }

    /// Time the line takes to start, at the present pace.
    fn queue_wait(&self) -> f64 {
        self.queued_work * self.pace / self.limit
    }

    /// Time one still needs from its start: its place, and its calls.
    fn expected_time(&self, slot: RequestSlot) -> f64 {
        self.request(slot)
            .map_or(0.0, |rec| rec.scaled_work * self.pace + self.classes[rec.class].mean_parked_time)
    }

    /// Time until the calls owed by all that is here have gone out, where their number is bound.
    fn call_queue_wait(&self) -> f64 {
        let owed = self.awaiting_call.len()
            + self.queued.iter().filter(|slot| self.calls_downstream(**slot)).count();
        let most = if self.downstream == DownstreamKind::Shared {
            self.shared_call_quota * self.quota_use
        } else {
            self.call_limit
        };
        owed as f64 * self.mean_call_time / most.max(0.01)
    }

    /// Less billed value first; of equals the newer first.
    fn compare_priority(&self, a: RequestSlot, b: RequestSlot) -> Ordering {
        let key = |slot: RequestSlot| self.request(slot).map_or((0.0, 0), |rec| (rec.priority, rec.sequence));
        let (a, b) = (key(a), key(b));
        a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))
    }

    /// Class scales and the pace (time a place is held for a unit of scaled hint) over the same period.
    fn update_estimates(&mut self, now: Time, span: f64) {
        let keep = ESTIMATE_DECAY_PER_SECOND.powf(span / SECOND as f64);
        self.mean_time_unread *= keep;
        for op in &mut self.classes {
            op.run_time *= keep;
            op.expected_work *= keep;
        }
        let (took, hinted) =
            self.classes.iter().fold((0.0, 0.0), |sum, op| (sum.0 + op.run_time, sum.1 + op.expected_work));
        for op in &mut self.classes {
            let own = (op.run_time + PRIOR_WORK) / (op.expected_work + PRIOR_WORK);
            let others = (took - op.run_time + PRIOR_WORK) / (hinted - op.expected_work + PRIOR_WORK);
            op.work_scale = (own / others).clamp(1.0 / MAX_WORK_SCALE, MAX_WORK_SCALE);
        }
        let scaled: f64 = self.classes.iter().map(|op| op.expected_work * op.work_scale).sum();
        let ended = (took + PRIOR_WORK) / (scaled + PRIOR_WORK);
        // A server that has just turned slow ends little: what runs already shows it.
        let (mut elapsed, mut sizes) = (0.0, 0.0);
        for rec in self.active.iter().filter_map(|slot| self.requests[*slot].as_ref()) {
            let here = if rec.phase == Phase::Running { now - rec.running_since } else { 0 };
            elapsed += (rec.running_time + here) as f64;
            sizes += rec.scaled_work;
        }
        self.pace = ended.max((elapsed + PRIOR_WORK) / (sizes + PRIOR_WORK));
    }

    /// The run cap follows the cores: up while they idle and work waits, back when they are crowded.
    fn update_limit(&mut self, gauges: Gauges, span: f64) {
        let step = LIMIT_GROWTH_PER_CORE_SECOND * self.cores * span / SECOND as f64;
        // Guards against work growing old unread: reading shares the cores with what runs, so when it lags,
        // runs give way, under the core count if need be. Holds for any cause that slows all the server
        // does; may hurt where a pause of the whole process, not crowded cores, kept arrivals unread.
        if self.mean_time_unread > self.shortest_objective * UNREAD_BACKOFF_RATIO {
            self.limit = (self.limit - step * UNREAD_BACKOFF_SPEED).max(1.0);
            return;
        }
        if self.limit < self.cores * MIN_LIMIT_PER_CORE {
            self.limit += step;
            return;
        }
        let (Some(busy), Some(wanting)) = (gauges.core_utilization, gauges.runnable_tasks) else { return };
        // Reading counts in the crowd only where it lags: where it is short, fewer runs would only let more
        // callers connect and be refused.
        let lags = self.mean_time_unread > self.shortest_objective * UNREAD_LAG_RATIO;
        let wanting = if lags { wanting } else { wanting.min(self.running as f64) };
        self.mean_runnable_per_core +=
            (wanting / self.cores - self.mean_runnable_per_core) * SMOOTHING_FACTOR;
        if self.mean_runnable_per_core > MAX_RUNNABLE_PER_CORE && busy > SATURATED_UTILIZATION {
            self.limit -= step;
        } else if busy < SATURATED_UTILIZATION
            && !self.queued.is_empty()
            && self.running as f64 + 1.0 > self.limit
        {
            self.limit += step;
        }
        self.limit = self.limit.clamp(
            self.cores * MIN_LIMIT_PER_CORE,
            self.cores * self.overload_multiple * USABLE_OVERLOAD_SHARE,
        );
    }

    /// Guards against a table of connections that many callers fill, each with one it seldom uses: a fuller
    /// one takes more of the cores, a full one keeps callers out while cores idle. The mean time between two
    /// arrivals of one caller decides: past the time in which an idle connection costs what a new one does,
    /// it is closed so much the sooner. Holds for any number of callers and any load; may hurt where a few
    /// callers send most: theirs are closed too. Where busy cores do little but read and connect, all stay: a
    /// try that finds a full table costs less than one that is read. Holds for any storm of tries; may hurt
    /// after its end, until the table has emptied.
    fn update_idle_timeout(&mut self, now: Time, gauges: Gauges, host: &mut dyn Host) {
        let (busy, wanting) = (gauges.core_utilization.unwrap_or(0.0), gauges.runnable_tasks.unwrap_or(0.0));
        self.mean_utilization += (busy - self.mean_utilization) * SMOOTHING_FACTOR;
        self.mean_connection_share += ((wanting - self.running as f64).max(0.0) / wanting.max(1.0)
            - self.mean_connection_share)
            * SMOOTHING_FACTOR;
        if now < self.next_feedback_at {
            return;
        }
        let rate = std::mem::take(&mut self.arrivals) as f64 / FEEDBACK_INTERVAL as f64;
        self.arrival_rate += (rate - self.arrival_rate) * SMOOTHING_FACTOR;
        // Where callers do come back in time, what it takes of the cores counts the less, the more they idle.
        let back = self.arrival_rate * MAX_IDLE_TIMEOUT > self.client_count;
        let weighs =
            if back { (self.mean_utilization / IDLE_CORES_UTILIZATION).clamp(0.1, 1.0).powi(4) } else { 1.0 };
        let even =
            (BREAK_EVEN_IDLE_TIME * BREAK_EVEN_IDLE_TIME * self.arrival_rate / self.client_count / weighs)
                .clamp(MIN_IDLE_TIMEOUT, MAX_IDLE_TIMEOUT);
        let storm = self.mean_connection_share > CONNECTION_STORM_SHARE
            && self.mean_utilization > CONNECTION_STORM_UTILIZATION;
        // So few take next to nothing and keep nobody out: a caller that comes back finds its own.
        let few = gauges.connections.is_none_or(|links| links <= self.cores * FREE_CONNECTIONS_PER_CORE);
        self.idle_timeout =
            if storm { MAX_IDLE_TIMEOUT } else { even.max(self.idle_timeout / IDLE_TIMEOUT_DECREASE_FACTOR) };
        let idle = if few { MAX_IDLE_TIMEOUT } else { self.idle_timeout };
        if idle.max(self.reported_idle_timeout)
            > idle.min(self.reported_idle_timeout) * IDLE_TIMEOUT_REPORT_RATIO
        {
            self.reported_idle_timeout = idle;
            host.close_idle_connections(idle as Time);
        }
    }

    /// Tells callers how much to send: less while in-share invocations had to be shed, then slowly more.
    fn report_load(&mut self, now: Time, host: &mut dyn Host) {
        self.next_feedback_at = now + FEEDBACK_INTERVAL;
        let shed = std::mem::take(&mut self.shed_requests);
        let pressed = shed > 0 || self.queue_wait() > self.shortest_objective * MAX_QUEUE_WAIT_RATIO;
        if pressed != self.is_shedding {
            self.is_shedding = pressed;
            let state = if pressed { "shedding" } else { "not shedding" };
            let (held, wait) = (self.queued.len(), self.queue_wait() / 10.0);
            let (running, cap, pace) = (self.running, self.limit, self.pace);
            host.log(&format!(
                "{state}: held {held} running {running} cap {cap:.1} pace {pace:.2} wait {wait:.0} ms"
            ));
            if !self.pools.is_off() {
                host.log(&format!("pools: {}", self.pools.line()));
            }
        }
        let slow = self
            .classes
            .iter()
            .any(|op| self.mean_call_time > op.config.latency_objective as f64 * SLOW_CALL_RATIO);
        if slow != self.calls_are_slow {
            self.calls_are_slow = slow;
            let (not, mean) = (if slow { "" } else { "not " }, self.mean_call_time / 10.0);
            let (out, wait) = (self.calling, self.awaiting_call.len());
            host.log(&format!("calls {not}slow: mean {mean:.0} ms, {out} out, {wait} wait"));
        }
        let out = self.queued.len() + self.active.len();
        let (least, most) = (
            self.cores * MIN_OUTSTANDING_PER_CORE,
            (self.cores * MAX_OUTSTANDING_PER_CORE).max(self.client_count * MAX_OUTSTANDING_PER_CLIENT),
        );
        // Guards a cold server against the sum of its callers; may hurt where few of many come at once.
        let most = most.min(self.slow_start_limit(now).unwrap_or(most)).max(least);
        let target = if pressed {
            self.max_outstanding.min(out as f64) * OUTSTANDING_DECREASE_FACTOR
        } else {
            self.max_outstanding * OUTSTANDING_INCREASE_FACTOR
        };
        self.max_outstanding = target.clamp(least, most);
        self.priority_floor = (self.priority_floor
            + if pressed { PRIORITY_FLOOR_STEP } else { -PRIORITY_FLOOR_STEP })
        .clamp(0.0, MAX_PRIORITY_FLOOR);
        let gone = self.draining.is_some();
        match self.load_feedback {
            LoadFeedbackKind::None => {}
            LoadFeedbackKind::PriorityFloor => {
                host.send_load_feedback(if gone { 1.0 } else { self.priority_floor })
            }
            LoadFeedbackKind::ConcurrencyAllowance => {
                host.send_load_feedback(if gone { 0.0 } else { self.max_outstanding / self.client_count })
            }
            LoadFeedbackKind::Weight => host.send_load_feedback(if gone { 0.0 } else { 1.0 }),
        }
    }
}
