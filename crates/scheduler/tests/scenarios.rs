//! Plays every file of tests/scenarios. File names that begin with a rule's number check that rule:
//!   rule1  no request is lost: each gets one final answer in time
//!   rule2  nothing has its effect twice
//!   rule3  drains are safe
//!   rule4  no server or downstream dependency is driven past what it survives
//!
//! Notation, a line each, times in milliseconds:
//!   set NAME VALUE                     a setting, before the first event
//!   class NAME=VALUE ...               a request class (latency_objective, timeout, priority_weight, late_share,
//!                                      degraded_share, calls_downstream, retry_window, retry_safety)
//!   tenant RATE                        a tenant
//!   TIME arrive SLOT [NAME=VALUE ...]  class, expected_work, memory_kb, time_unread, remaining_timeout, retry_of, is_retry,
//!                                      tenant
//!   TIME needs-call|disconnect SLOT    a downstream call is needed, the client has disconnected
//!   TIME drain WITHIN                  termination notice
//!   TIME end SLOT OUTCOME              how a run ended
//!   TIME called SLOT OUTCOME TOOK      how a downstream call ended
//!   TIME gauges UTILIZATION RUNNABLE [CONNECTIONS]  what ticks report from now on
//!   TIME pass                          only time passes; ticks come by themselves
//!   expect ACTION ...                  among the actions since the event before (words must match as far as given)
//!   refuse ACTION ...                  not among them
//!   never ACTION ...                   among all actions of the whole file

use cypresscleat_scheduler::*;
use std::collections::HashMap;

/// The actions that the host records.
const ACTIONS: [&str; 12] = [
    "run",
    "reject",
    "fail",
    "stop",
    "call",
    "skip",
    "retain",
    "replay",
    "health",
    "feedback",
    "close_idle",
    "log",
];

#[derive(Default)]
struct Seen {
    actions: Vec<String>,
    wake: Option<Time>,
}

impl Host for Seen {
    fn run(&mut self, slot: RequestSlot) {
        self.actions.push(format!("run {slot}"));
    }
    fn reject(&mut self, slot: RequestSlot, rejection: Rejection) {
        let elsewhere = if rejection.no_retry_elsewhere { " no-retry-elsewhere" } else { "" };
        self.actions.push(format!("reject {slot} {:?}{elsewhere}", rejection.reason));
    }
    fn fail(&mut self, slot: RequestSlot, reason: FailReason) {
        self.actions.push(format!("fail {slot} {reason:?}"));
    }
    fn stop(&mut self, slot: RequestSlot) {
        self.actions.push(format!("stop {slot}"));
    }
    fn call(&mut self, slot: RequestSlot, within: Time) {
        self.actions.push(format!("call {slot} {}", within / 10));
    }
    fn skip_call(&mut self, slot: RequestSlot) {
        self.actions.push(format!("skip {slot}"));
    }
    fn retain_for_retries(&mut self, slot: RequestSlot, span: Time) {
        self.actions.push(format!("retain {slot} {}", span / 10));
    }
    fn replay_result(&mut self, slot: RequestSlot) {
        self.actions.push(format!("replay {slot}"));
    }
    fn set_health(&mut self, good: bool, _stored: bool) {
        self.actions.push(format!("health {good}"));
    }
    fn send_load_feedback(&mut self, value: f64) {
        self.actions.push(format!("feedback {value}"));
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

fn class() -> RequestClass {
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

fn arrival(slot: RequestSlot, work: f64) -> Arrival {
    Arrival {
        slot,
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
        "retained_entry_kb" => to.retained_entry_kb = number(),
        "overload_multiple" => to.overload_multiple = number(),
        "client_count" => to.client_count = number(),
        "fleet_size" => to.fleet_size = number(),
        "shared_call_quota" => to.shared_call_quota = number(),
        "slow_start" => to.slow_start = value == "yes",
        "result_freshness" => to.result_freshness = ms(value),
        "stop_mode" if value == "discard" => to.stop_mode = StopMode::Discard,
        "stop_mode" if value == "freeze" => to.stop_mode = StopMode::Freeze,
        "load_feedback" if value == "priority-floor" => to.load_feedback = LoadFeedbackKind::PriorityFloor,
        "load_feedback" if value == "concurrency-allowance" => {
            to.load_feedback = LoadFeedbackKind::ConcurrencyAllowance
        }
        "load_feedback" if value == "weight" => to.load_feedback = LoadFeedbackKind::Weight,
        "downstream" if value == "tier" => to.downstream = DownstreamKind::Tier,
        "downstream" if value == "shared" => to.downstream = DownstreamKind::Shared,
        _ => panic!("no setting {name} {value}"),
    }
}

fn read_class(words: &[&str]) -> RequestClass {
    let mut class = class();
    for (name, value) in pairs(words) {
        match name.as_str() {
            "latency_objective" => class.latency_objective = ms(&value),
            "timeout" => class.timeout = ms(&value),
            "retry_window" => class.retry_window = ms(&value),
            "priority_weight" => class.priority_weight = value.parse().unwrap(),
            "late_share" => class.late_share = value.parse().unwrap(),
            "degraded_share" => class.degraded_share = value.parse().unwrap(),
            "calls_downstream" => class.calls_downstream = value == "yes",
            "retry_safety" if value == "idempotency-key" => class.retry_safety = RetrySafety::IdempotencyKey,
            "retry_safety" if value == "non-idempotent" => class.retry_safety = RetrySafety::NonIdempotent,
            _ => panic!("no {name}={value}"),
        }
    }
    class
}

fn read_arrival(slot: RequestSlot, words: &[&str]) -> Arrival {
    let mut a = arrival(slot, 1000.0);
    for (name, value) in pairs(words) {
        match name.as_str() {
            "class" => a.class = value.parse().unwrap(),
            "expected_work" => a.expected_work = Some(ms(&value) as f64),
            "is_retry" => a.is_retry = value == "yes",
            "memory_kb" => a.memory_kb = value.parse().unwrap(),
            "time_unread" => a.time_unread = ms(&value),
            "remaining_timeout" => a.remaining_timeout = Some(ms(&value)),
            "tenant" => a.tenant = Some(value.parse().unwrap()),
            "retry_of" if value == "released" => a.earlier_attempt = EarlierAttempt::Released,
            "retry_of" => a.earlier_attempt = EarlierAttempt::Known(value.parse().unwrap()),
            _ => panic!("no {name}={value}"),
        }
    }
    a
}

fn outcome(word: &str) -> Outcome {
    match word {
        "succeeded" => Outcome::Succeeded,
        "failed" => Outcome::Failed,
        "rejected" => Outcome::Rejected,
        "timed-out" => Outcome::TimedOut,
        "connect-failed" => Outcome::ConnectFailed,
        "connection-lost" => Outcome::ConnectionLost,
        "cancelled" => Outcome::Cancelled,
        "not-started" => Outcome::NotStarted,
        _ => panic!("no outcome {word}"),
    }
}

/// Panics where an expectation names an action that the host doesn't record: it would hold without checking anything.
fn check_action(line: &str) {
    let action = line.split_whitespace().nth(1).unwrap_or("");
    assert!(ACTIONS.contains(&action), "no action {action:?}: {line}");
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
        if matches!(*first, "expect" | "refuse" | "never") {
            check_action(line);
        }
        match *first {
            "set" => set(&mut settings, words[1], words[2]),
            "class" => settings.classes.push(read_class(&words[1..])),
            "tenant" => settings.tenant_rates.push(words[1].parse().unwrap()),
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
                let slot = || words[2].parse::<RequestSlot>().unwrap();
                match words[1] {
                    "arrive" => scheduler.handle_arrival(now, read_arrival(slot(), &words[3..]), &mut seen),
                    "needs-call" => scheduler.handle_call_needed(now, slot(), &mut seen),
                    "disconnect" => scheduler.handle_client_disconnect(now, slot(), &mut seen),
                    "drain" => scheduler.start_draining(now, ms(words[2]), &mut seen),
                    "end" => scheduler.handle_run_completed(now, slot(), outcome(words[3]), &mut seen),
                    "called" => scheduler.handle_call_completed(
                        now,
                        slot(),
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

/// With one concurrency slot and five queued requests, each rank is drawn as often as the formula says (within five sigma).
#[test]
fn draw_follows_the_formula() {
    let (beta, held, rounds) = (0.9f64, 5, 20_000);
    let mut counts = vec![0u32; held];
    for seed in 0..rounds {
        let mut seen = Seen::default();
        let operations = vec![class()];
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
