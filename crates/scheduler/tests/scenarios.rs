//! Plays every file of tests/scenarios. Notation, a line each, times in milliseconds:
//!   set NAME VALUE                     a setting, before the first event
//!   op NAME=VALUE ...                  an operation (objective, timeout, billed, late, skipped, calls, window, effect)
//!   customer RATE                      a customer
//!   TIME arrive INV [NAME=VALUE ...]   op, work, kb, unread, budget, repeats, resent, customer
//!   TIME needs|left|leave N            a call is needed, a caller has left, notice to leave
//!   TIME end INV OUTCOME               how a run ended
//!   TIME called INV OUTCOME TOOK       how a call ended
//!   TIME gauges CORE_USE ON_CORES [LINKS]  what ticks report from now on
//!   TIME pass                          only time passes; ticks come by themselves
//!   expect ACTION ...                  among the actions since the event before (words must match as far as given)
//!   refuse ACTION ...                  not among them
//!   never ACTION ...                   among all actions of the whole file

use cypresscleat_scheduler::*;
use std::collections::HashMap;

#[derive(Default)]
struct Seen {
    actions: Vec<String>,
    wake: Option<Time>,
}

impl Host for Seen {
    fn run(&mut self, inv: RequestSlot) {
        self.actions.push(format!("run {inv}"));
    }
    fn reject(&mut self, inv: RequestSlot, rejection: Rejection) {
        self.actions
            .push(format!("throttle {inv}{}", if rejection.no_retry_elsewhere { " for good" } else { "" }));
    }
    fn fail(&mut self, inv: RequestSlot, _: FailReason) {
        self.actions.push(format!("error {inv}"));
    }
    fn stop(&mut self, inv: RequestSlot) {
        self.actions.push(format!("stop {inv}"));
    }
    fn call(&mut self, inv: RequestSlot, within: Time) {
        self.actions.push(format!("call {inv} {}", within / 10));
    }
    fn skip_call(&mut self, inv: RequestSlot) {
        self.actions.push(format!("skip {inv}"));
    }
    fn retain_for_retries(&mut self, inv: RequestSlot, span: Time) {
        self.actions.push(format!("keep {inv} {}", span / 10));
    }
    fn replay_result(&mut self, inv: RequestSlot) {
        self.actions.push(format!("reuse {inv}"));
    }
    fn set_health(&mut self, good: bool, _stored: bool) {
        self.actions.push(format!("health {good}"));
    }
    fn send_load_feedback(&mut self, value: f64) {
        self.actions.push(format!("advertise {value}"));
    }
    fn close_idle_connections(&mut self, after: Time) {
        self.actions.push(format!("close_idle {}", after / 10));
    }
    fn set_timer(&mut self, after: Time) {
        self.wake = Some(after);
    }
    fn log(&mut self, event: &SchedulerEvent) {
        self.actions.push(format!("log {event}"));
    }
    fn release(&mut self, _inv: RequestSlot) {}
}

fn settings() -> Settings {
    Settings {
        classes: Vec::new(),
        tenant_rates: Vec::new(),
        over_quota_share: 0.1,
        weight_per_work: true,
        fleet_size: 1.0,
        client_count: 1.0,
        cores: 1.0,
        slow_start: false,
        slow_start_initial: 0.2,
        slow_start_duration: 100_000,
        memory_kb: 1e6,
        retained_entry_kb: 10.0,
        running_memory_factor: 4.0,
        stop_mode: StopMode::Unsupported,
        load_feedback: LoadFeedbackKind::None,
        downstream: DownstreamKind::None,
        shared_call_quota: 0.0,
        shared_call_window: 50_000,
        abandoned_call_duration: 2_000,
        result_freshness: 0,
        answer_slack: 600,
        drain_grace: 10_000,
        overload_multiple: 8.0,
        max_retry_after: 10_000,
        seed: 7,
        pools: Default::default(),
    }
}

fn operation() -> RequestClass {
    RequestClass {
        latency_objective: 1_000_000,
        objective_per_work: 0.0,
        timeout: 2_000_000,
        retry_safety: RetrySafety::Idempotent,
        priority_weight: 1.0,
        late_share: 0.0,
        degraded_share: 0.0,
        calls_downstream: false,
        retry_window: 50_000,
    }
}

fn arrival(inv: RequestSlot, work: f64) -> Arrival {
    Arrival {
        slot: inv,
        class: 0,
        tenant: None,
        remaining_timeout: None,
        client_priority: 0.0,
        earlier_attempt: EarlierAttempt::None,
        has_idempotency_key: false,
        time_unread: 0,
        is_write: false,
        is_retry: false,
        expected_work: Some(work),
        memory_kb: 10.0,
    }
}

fn pairs(words: &[&str]) -> HashMap<String, String> {
    let split = |word: &&str| word.split_once('=').map(|(a, b)| (a.to_string(), b.to_string()));
    words.iter().map(|word| split(word).unwrap_or_else(|| panic!("no NAME=VALUE: {word}"))).collect()
}

fn ms(word: &str) -> Time {
    word.parse::<Time>().unwrap_or_else(|_| panic!("no time: {word}")) * 10
}

fn set(to: &mut Settings, name: &str, value: &str) {
    let number = || value.parse::<f64>().unwrap();
    match name {
        "cores" => to.cores = number(),
        "memory_kb" => to.memory_kb = number(),
        "entry_kb" => to.retained_entry_kb = number(),
        "tip" => to.overload_multiple = number(),
        "callers" => to.client_count = number(),
        "servers" => to.fleet_size = number(),
        "calls_out" => to.shared_call_quota = number(),
        "cold" => to.slow_start = value == "yes",
        "fresh" => to.result_freshness = ms(value),
        "halt" if value == "discard" => to.stop_mode = StopMode::Discard,
        "halt" if value == "freeze" => to.stop_mode = StopMode::Freeze,
        "say" if value == "floor" => to.load_feedback = LoadFeedbackKind::PriorityFloor,
        "say" if value == "allowance" => to.load_feedback = LoadFeedbackKind::ConcurrencyAllowance,
        "say" if value == "weight" => to.load_feedback = LoadFeedbackKind::Weight,
        "below" if value == "tier" => to.downstream = DownstreamKind::Tier,
        "below" if value == "shared" => to.downstream = DownstreamKind::Shared,
        _ => panic!("no setting {name} {value}"),
    }
}

fn add_operation(words: &[&str]) -> RequestClass {
    let mut op = operation();
    for (name, value) in pairs(words) {
        match name.as_str() {
            "objective" => op.latency_objective = ms(&value),
            "timeout" => op.timeout = ms(&value),
            "window" => op.retry_window = ms(&value),
            "billed" => op.priority_weight = value.parse().unwrap(),
            "late" => op.late_share = value.parse().unwrap(),
            "skipped" => op.degraded_share = value.parse().unwrap(),
            "calls" => op.calls_downstream = value == "yes",
            "effect" if value == "tokened" => op.retry_safety = RetrySafety::IdempotencyKey,
            "effect" if value == "non-idempotent" => op.retry_safety = RetrySafety::NonIdempotent,
            _ => panic!("no {name}={value}"),
        }
    }
    op
}

fn add_arrival(inv: RequestSlot, words: &[&str]) -> Arrival {
    let mut a = arrival(inv, 1000.0);
    for (name, value) in pairs(words) {
        match name.as_str() {
            "op" => a.class = value.parse().unwrap(),
            "work" => a.expected_work = Some(ms(&value) as f64),
            "resent" => a.is_retry = value == "yes",
            "kb" => a.memory_kb = value.parse().unwrap(),
            "unread" => a.time_unread = ms(&value),
            "budget" => a.remaining_timeout = Some(ms(&value)),
            "customer" => a.tenant = Some(value.parse().unwrap()),
            "repeats" if value == "unknown" => a.earlier_attempt = EarlierAttempt::Released,
            "repeats" => a.earlier_attempt = EarlierAttempt::Known(value.parse().unwrap()),
            _ => panic!("no {name}={value}"),
        }
    }
    a
}

fn outcome(word: &str) -> Outcome {
    match word {
        "succeeded" => Outcome::Succeeded,
        "errored" => Outcome::Failed,
        "throttled" => Outcome::Rejected,
        "no-answer" => Outcome::TimedOut,
        "no-connection" => Outcome::ConnectFailed,
        "connection-lost" => Outcome::ConnectionLost,
        "called-off" => Outcome::Cancelled,
        "not-started" => Outcome::NotStarted,
        _ => panic!("no outcome {word}"),
    }
}

fn play(text: &str) -> Result<(), String> {
    let mut settings = settings();
    let (mut scheduler, mut seen, mut now, mut tick_at, mut from) = (None, Seen::default(), 0, Time::MAX, 0);
    let mut gauges = Gauges::default();
    let has = |actions: &[String], wanted: &str| {
        actions.iter().any(|action| action == wanted || action.starts_with(&format!("{wanted} ")))
    };
    for (at, line) in text.lines().enumerate() {
        let words: Vec<&str> = line.split('#').next().unwrap_or("").split_whitespace().collect();
        let Some(first) = words.first() else { continue };
        match *first {
            "set" => set(&mut settings, words[1], words[2]),
            "op" => settings.classes.push(add_operation(&words[1..])),
            "customer" => settings.tenant_rates.push(words[1].parse().unwrap()),
            "expect" if !has(&seen.actions[from..], &words[1..].join(" ")) => {
                return Err(format!("line {}: {line}; seen {:?}", at + 1, &seen.actions[from..]));
            }
            "refuse" if has(&seen.actions[from..], &words[1..].join(" ")) => {
                return Err(format!("line {}: {line}; seen {:?}", at + 1, &seen.actions[from..]));
            }
            "expect" | "refuse" | "never" => {}
            _ => {
                let scheduler =
                    scheduler.get_or_insert_with(|| Scheduler::start(0, settings.clone(), &mut seen));
                let time = ms(first);
                from = seen.actions.len();
                while let Some(after) = seen.wake.take() {
                    tick_at = now.max(if tick_at == Time::MAX { 0 } else { tick_at }) + after;
                    if tick_at > time {
                        seen.wake = Some(after);
                        tick_at -= after;
                        break;
                    }
                    now = tick_at;
                    scheduler.tick(now, gauges, &mut seen);
                }
                now = time;
                let inv = || words[2].parse::<RequestSlot>().unwrap();
                match words[1] {
                    "arrive" => scheduler.handle_arrival(now, add_arrival(inv(), &words[3..]), &mut seen),
                    "needs" => scheduler.handle_call_needed(now, inv(), &mut seen),
                    "left" => scheduler.handle_client_disconnect(now, inv(), &mut seen),
                    "leave" => scheduler.start_draining(now, ms(words[2]), &mut seen),
                    "end" => scheduler.handle_run_completed(now, inv(), outcome(words[3]), &mut seen),
                    "called" => scheduler.handle_call_completed(
                        now,
                        inv(),
                        outcome(words[3]),
                        ms(words[4]),
                        &mut seen,
                    ),
                    "gauges" => {
                        let [use_, on] = [words[2], words[3]].map(|word| word.parse().ok());
                        let links = words.get(4).and_then(|word| word.parse().ok());
                        gauges = Gauges {
                            core_utilization: use_,
                            runnable_tasks: on,
                            connections: links,
                            ..Gauges::default()
                        };
                    }
                    "pass" => {}
                    _ => panic!("no event {line}"),
                }
            }
        }
    }
    for line in text.lines().filter_map(|line| line.strip_prefix("never ")) {
        if has(&seen.actions, line.split('#').next().unwrap_or("").trim()) {
            return Err(format!("never {line}; seen {:?}", seen.actions));
        }
    }
    Ok(())
}

#[test]
fn scenarios() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    let mut files: Vec<_> = std::fs::read_dir(folder).unwrap().map(|file| file.unwrap().path()).collect();
    files.sort();
    let played = files.iter().map(|file| (file, play(&std::fs::read_to_string(file).unwrap())));
    let failed: Vec<String> =
        played.filter_map(|(file, result)| Some(format!("{}: {}", file.display(), result.err()?))).collect();
    assert!(!files.is_empty() && failed.is_empty(), "{}", failed.join("\n"));
}

/// With one place and five held, each rank is drawn as often as the formula says (within five sigma).
#[test]
fn draw_follows_the_formula() {
    let (beta, held, rounds) = (0.9f64, 5, 20_000);
    let mut counts = vec![0u32; held];
    for seed in 0..rounds {
        let mut seen = Seen::default();
        let operations = vec![operation()];
        let mut scheduler =
            Scheduler::start(0, Settings { classes: operations, seed, ..settings() }, &mut seen);
        scheduler.handle_arrival(0, arrival(0, 100.0), &mut seen);
        for rank in [3, 1, 5, 2, 4] {
            scheduler.handle_arrival(0, arrival(rank, 1000.0 * rank as f64), &mut seen);
        }
        scheduler.handle_run_completed(100, 0, Outcome::Succeeded, &mut seen);
        let drawn = seen.actions.iter().filter_map(|action| action.strip_prefix("run ")).nth(1).unwrap();
        counts[drawn.parse::<usize>().unwrap() - 1] += 1;
    }
    for (rank, count) in counts.iter().enumerate() {
        let weight = beta.powi(rank as i32) * (1.0 - beta) / (1.0 - beta.powi(held as i32));
        let sigma = (weight * (1.0 - weight) / rounds as f64).sqrt();
        let seen = *count as f64 / rounds as f64;
        assert!((seen - weight).abs() < 5.0 * sigma, "rank {rank}: {seen} for {weight}");
    }
}
