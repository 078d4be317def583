//! Runs every scenario file in tests/scenarios. Files whose name starts with a rule check that rule:
//!   rule1  no request is lost: each gets exactly one final response in time
//!   rule2  no request has its effect twice
//!   rule3  draining loses no requests
//!   rule4  no server or downstream dependency is loaded beyond the concurrency that it survives
//!
//! Format of the files: one statement per line, times in milliseconds:
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
//!   TIME gauges UTILIZATION RUNNABLE [CONNECTIONS]  the gauges of all following ticks
//!   TIME pass                          time passes; ticks run automatically
//!   expect ACTION ...                  an action since the last event starts with these words
//!   refuse ACTION ...                  no action since the last event starts with these words
//!   never ACTION ...                   no action of the whole scenario starts with these words

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
struct Recorder {
    actions: Vec<String>,
    timer: Option<Time>,
}

impl Host for Recorder {
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
    fn call(&mut self, slot: RequestSlot, timeout: Time) {
        self.actions.push(format!("call {slot} {}", timeout / 10));
    }
    fn skip_call(&mut self, slot: RequestSlot) {
        self.actions.push(format!("skip {slot}"));
    }
    fn retain_for_retries(&mut self, slot: RequestSlot, duration: Time) {
        self.actions.push(format!("retain {slot} {}", duration / 10));
    }
    fn replay_result(&mut self, slot: RequestSlot) {
        self.actions.push(format!("replay {slot}"));
    }
    fn set_health(&mut self, healthy: bool, _from_cache: bool) {
        self.actions.push(format!("health {healthy}"));
    }
    fn send_load_feedback(&mut self, value: f64) {
        self.actions.push(format!("feedback {value}"));
    }
    fn close_idle_connections(&mut self, idle_for: Time) {
        self.actions.push(format!("close_idle {}", idle_for / 10));
    }
    fn set_timer(&mut self, after: Time) {
        self.timer = Some(after);
    }
    fn log(&mut self, event: &SchedulerEvent) {
        self.actions.push(format!("log {event}"));
    }
    fn release(&mut self, _slot: RequestSlot) {}
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

fn parse_pairs(words: &[&str]) -> HashMap<String, String> {
    let split = |word: &&str| word.split_once('=').map(|(name, value)| (name.to_string(), value.to_string()));
    words.iter().map(|word| split(word).unwrap_or_else(|| panic!("expected NAME=VALUE: {word}"))).collect()
}

fn parse_ms(word: &str) -> Time {
    word.parse::<Time>().unwrap_or_else(|_| panic!("invalid time: {word}")) * 10
}

fn apply_setting(settings: &mut Settings, name: &str, value: &str) {
    let number = || value.parse::<f64>().unwrap();
    match name {
        "cores" => settings.cores = number(),
        "memory_kb" => settings.memory_kb = number(),
        "retained_entry_kb" => settings.retained_entry_kb = number(),
        "overload_multiple" => settings.overload_multiple = number(),
        "client_count" => settings.client_count = number(),
        "fleet_size" => settings.fleet_size = number(),
        "shared_call_quota" => settings.shared_call_quota = number(),
        "slow_start" => settings.slow_start = value == "yes",
        "result_freshness" => settings.result_freshness = parse_ms(value),
        "stop_mode" if value == "discard" => settings.stop_mode = StopMode::Discard,
        "stop_mode" if value == "freeze" => settings.stop_mode = StopMode::Freeze,
        "load_feedback" if value == "priority-floor" => {
            settings.load_feedback = LoadFeedbackKind::PriorityFloor
        }
        "load_feedback" if value == "concurrency-allowance" => {
            settings.load_feedback = LoadFeedbackKind::ConcurrencyAllowance
        }
        "load_feedback" if value == "weight" => settings.load_feedback = LoadFeedbackKind::Weight,
        "downstream" if value == "tier" => settings.downstream = DownstreamKind::Tier,
        "downstream" if value == "shared" => settings.downstream = DownstreamKind::Shared,
        _ => panic!("unknown setting {name} {value}"),
    }
}

fn parse_class(words: &[&str]) -> RequestClass {
    let mut class = class();
    for (name, value) in parse_pairs(words) {
        match name.as_str() {
            "latency_objective" => class.latency_objective = parse_ms(&value),
            "timeout" => class.timeout = parse_ms(&value),
            "retry_window" => class.retry_window = parse_ms(&value),
            "priority_weight" => class.priority_weight = value.parse().unwrap(),
            "late_share" => class.late_share = value.parse().unwrap(),
            "degraded_share" => class.degraded_share = value.parse().unwrap(),
            "calls_downstream" => class.calls_downstream = value == "yes",
            "retry_safety" if value == "idempotency-key" => class.retry_safety = RetrySafety::IdempotencyKey,
            "retry_safety" if value == "non-idempotent" => class.retry_safety = RetrySafety::NonIdempotent,
            _ => panic!("unknown {name}={value}"),
        }
    }
    class
}

fn parse_arrival(slot: RequestSlot, words: &[&str]) -> Arrival {
    let mut arrival = arrival(slot, 1000.0);
    for (name, value) in parse_pairs(words) {
        match name.as_str() {
            "class" => arrival.class = value.parse().unwrap(),
            "expected_work" => arrival.expected_work = Some(parse_ms(&value) as f64),
            "is_retry" => arrival.is_retry = value == "yes",
            "memory_kb" => arrival.memory_kb = value.parse().unwrap(),
            "time_unread" => arrival.time_unread = parse_ms(&value),
            "remaining_timeout" => arrival.remaining_timeout = Some(parse_ms(&value)),
            "tenant" => arrival.tenant = Some(value.parse().unwrap()),
            "retry_of" if value == "released" => arrival.earlier_attempt = EarlierAttempt::Released,
            "retry_of" => arrival.earlier_attempt = EarlierAttempt::Known(value.parse().unwrap()),
            _ => panic!("unknown {name}={value}"),
        }
    }
    arrival
}

fn parse_outcome(word: &str) -> Outcome {
    match word {
        "succeeded" => Outcome::Succeeded,
        "failed" => Outcome::Failed,
        "rejected" => Outcome::Rejected,
        "timed-out" => Outcome::TimedOut,
        "connect-failed" => Outcome::ConnectFailed,
        "connection-lost" => Outcome::ConnectionLost,
        "cancelled" => Outcome::Cancelled,
        "not-started" => Outcome::NotStarted,
        _ => panic!("unknown outcome {word}"),
    }
}

/// Panics if an expectation names an action that the host doesn't record, since the expectation would check nothing.
fn check_action(line: &str) {
    let action = line.split_whitespace().nth(1).unwrap_or("");
    assert!(ACTIONS.contains(&action), "unknown action {action:?}: {line}");
}

fn run_scenario(text: &str) -> Result<(), String> {
    let mut settings = settings();
    let (mut scheduler, mut recorder, mut now, mut tick_at, mut first_new_action) =
        (None, Recorder::default(), 0, Time::MAX, 0);
    let mut gauges = Gauges::default();
    let has_action = |actions: &[String], wanted: &str| {
        actions.iter().any(|action| action == wanted || action.starts_with(&format!("{wanted} ")))
    };
    for (index, line) in text.lines().enumerate() {
        let words: Vec<&str> = line.split('#').next().unwrap_or("").split_whitespace().collect();
        let Some(first) = words.first() else { continue };
        if matches!(*first, "expect" | "refuse" | "never") {
            check_action(line);
        }
        match *first {
            "set" => apply_setting(&mut settings, words[1], words[2]),
            "class" => settings.classes.push(parse_class(&words[1..])),
            "tenant" => settings.tenant_rates.push(words[1].parse().unwrap()),
            "expect" if !has_action(&recorder.actions[first_new_action..], &words[1..].join(" ")) => {
                return Err(format!(
                    "line {}: {line}; seen {:?}",
                    index + 1,
                    &recorder.actions[first_new_action..]
                ));
            }
            "refuse" if has_action(&recorder.actions[first_new_action..], &words[1..].join(" ")) => {
                return Err(format!(
                    "line {}: {line}; seen {:?}",
                    index + 1,
                    &recorder.actions[first_new_action..]
                ));
            }
            "expect" | "refuse" | "never" => {}
            _ => {
                let scheduler =
                    scheduler.get_or_insert_with(|| Scheduler::start(0, settings.clone(), &mut recorder));
                let time = parse_ms(first);
                first_new_action = recorder.actions.len();
                while let Some(after) = recorder.timer.take() {
                    tick_at = now.max(if tick_at == Time::MAX { 0 } else { tick_at }) + after;
                    if tick_at > time {
                        recorder.timer = Some(after);
                        tick_at -= after;
                        break;
                    }
                    now = tick_at;
                    scheduler.tick(now, gauges, &mut recorder);
                }
                now = time;
                let slot = || words[2].parse::<RequestSlot>().unwrap();
                match words[1] {
                    "arrive" => {
                        scheduler.handle_arrival(now, parse_arrival(slot(), &words[3..]), &mut recorder)
                    }
                    "needs-call" => scheduler.handle_call_needed(now, slot(), &mut recorder),
                    "disconnect" => scheduler.handle_client_disconnect(now, slot(), &mut recorder),
                    "drain" => scheduler.start_draining(now, parse_ms(words[2]), &mut recorder),
                    "end" => {
                        scheduler.handle_run_completed(now, slot(), parse_outcome(words[3]), &mut recorder)
                    }
                    "called" => scheduler.handle_call_completed(
                        now,
                        slot(),
                        parse_outcome(words[3]),
                        parse_ms(words[4]),
                        &mut recorder,
                    ),
                    "gauges" => {
                        let [utilization, runnable] = [words[2], words[3]].map(|word| word.parse().ok());
                        let open_connections = words.get(4).and_then(|word| word.parse().ok());
                        gauges = Gauges {
                            core_utilization: utilization,
                            runnable_tasks: runnable,
                            connections: open_connections,
                            ..Gauges::default()
                        };
                    }
                    "pass" => {}
                    _ => panic!("unknown event {line}"),
                }
            }
        }
    }
    for line in text.lines().filter_map(|line| line.strip_prefix("never ")) {
        if has_action(&recorder.actions, line.split('#').next().unwrap_or("").trim()) {
            return Err(format!("never {line}; seen {:?}", recorder.actions));
        }
    }
    Ok(())
}

#[test]
fn scenarios() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    let mut files: Vec<_> = std::fs::read_dir(folder).unwrap().map(|file| file.unwrap().path()).collect();
    files.sort();
    let results = files.iter().map(|file| (file, run_scenario(&std::fs::read_to_string(file).unwrap())));
    let failed: Vec<String> =
        results.filter_map(|(file, result)| Some(format!("{}: {}", file.display(), result.err()?))).collect();
    assert!(!files.is_empty() && failed.is_empty(), "{}", failed.join("\n"));
}

/// With one concurrency slot and five queued requests, each rank is drawn with the frequency that the formula gives, within five
/// standard deviations.
#[test]
fn draw_follows_the_formula() {
    let (beta, queued, rounds) = (0.9f64, 5, 20_000);
    let mut counts = vec![0u32; queued];
    for seed in 0..rounds {
        let mut recorder = Recorder::default();
        let request_classes = vec![class()];
        let mut scheduler =
            Scheduler::start(0, Settings { classes: request_classes, seed, ..settings() }, &mut recorder);
        scheduler.handle_arrival(0, arrival(0, 100.0), &mut recorder);
        for rank in [3, 1, 5, 2, 4] {
            scheduler.handle_arrival(0, arrival(rank, 1000.0 * rank as f64), &mut recorder);
        }
        scheduler.handle_run_completed(100, 0, Outcome::Succeeded, &mut recorder);
        let drawn = recorder.actions.iter().filter_map(|action| action.strip_prefix("run ")).nth(1).unwrap();
        counts[drawn.parse::<usize>().unwrap() - 1] += 1;
    }
    for (rank, count) in counts.iter().enumerate() {
        let weight = beta.powi(rank as i32) * (1.0 - beta) / (1.0 - beta.powi(queued as i32));
        let sigma = (weight * (1.0 - weight) / rounds as f64).sqrt();
        let seen = *count as f64 / rounds as f64;
        assert!((seen - weight).abs() < 5.0 * sigma, "rank {rank}: {seen} for {weight}");
    }
}
