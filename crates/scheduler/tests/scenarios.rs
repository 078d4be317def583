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

use cypresscleat_scheduler::api::*;
use cypresscleat_scheduler::Brain;
use std::collections::HashMap;

#[derive(Default)]
struct Seen {
    actions: Vec<String>,
    wake: Option<Time>,
}

impl Host for Seen {
    fn run(&mut self, inv: Inv) {
        self.actions.push(format!("run {inv}"));
    }
    fn throttle(&mut self, inv: Inv, _back: Time, give_up: bool) {
        self.actions.push(format!("throttle {inv}{}", if give_up { " for good" } else { "" }));
    }
    fn error(&mut self, inv: Inv) {
        self.actions.push(format!("error {inv}"));
    }
    fn stop(&mut self, inv: Inv) {
        self.actions.push(format!("stop {inv}"));
    }
    fn call(&mut self, inv: Inv, within: Time) {
        self.actions.push(format!("call {inv} {}", within / 10));
    }
    fn skip_call(&mut self, inv: Inv) {
        self.actions.push(format!("skip {inv}"));
    }
    fn keep(&mut self, inv: Inv, span: Time) {
        self.actions.push(format!("keep {inv} {}", span / 10));
    }
    fn reuse(&mut self, inv: Inv) {
        self.actions.push(format!("reuse {inv}"));
    }
    fn health(&mut self, good: bool, _stored: bool) {
        self.actions.push(format!("health {good}"));
    }
    fn advertise(&mut self, value: f64) {
        self.actions.push(format!("advertise {value}"));
    }
    fn close_idle(&mut self, after: Time) {
        self.actions.push(format!("close_idle {}", after / 10));
    }
    fn wake(&mut self, after: Time) {
        self.wake = Some(after);
    }
    fn log(&mut self, line: &str) {
        self.actions.push(format!("log {line}"));
    }
    fn release(&mut self, _inv: Inv) {}
}

fn settings() -> Settings {
    Settings {
        operations: Vec::new(),
        customers: Vec::new(),
        over_share: 0.1,
        by_work: true,
        servers: 1.0,
        callers: 1.0,
        cores: 1.0,
        cold: false,
        cold_from: 0.2,
        cold_for: 100_000,
        memory_kb: 1e6,
        entry_kb: 10.0,
        blowup: 4.0,
        halt: Halt::Never,
        say: Say::Nothing,
        below: Below::Nothing,
        calls_out: 0.0,
        calls_over: 50_000,
        lingers: 2_000,
        fresh: 0,
        slack: 600,
        drain_grace: 10_000,
        tip: 8.0,
        max_backoff: 10_000,
        seed: 7,
        pools: Default::default(),
    }
}

fn operation() -> Operation {
    Operation {
        objective: 1_000_000,
        stretch: 0.0,
        timeout: 2_000_000,
        effect: Effect::Idempotent,
        billed: 1.0,
        late: 0.0,
        skipped: 0.0,
        calls: false,
        window: 50_000,
    }
}

fn arrival(inv: Inv, work: f64) -> Arrival {
    Arrival {
        inv,
        op: 0,
        customer: None,
        budget: None,
        rank: 0.0,
        repeats: None,
        keyed: false,
        unread: 0,
        write: false,
        resent: false,
        hint: Some(work),
        kb: 10.0,
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
        "entry_kb" => to.entry_kb = number(),
        "tip" => to.tip = number(),
        "callers" => to.callers = number(),
        "servers" => to.servers = number(),
        "calls_out" => to.calls_out = number(),
        "cold" => to.cold = value == "yes",
        "fresh" => to.fresh = ms(value),
        "halt" if value == "discard" => to.halt = Halt::Discard,
        "halt" if value == "freeze" => to.halt = Halt::Freeze,
        "say" if value == "floor" => to.say = Say::Floor,
        "say" if value == "allowance" => to.say = Say::Allowance,
        "say" if value == "weight" => to.say = Say::Weight,
        "below" if value == "tier" => to.below = Below::Tier,
        "below" if value == "shared" => to.below = Below::Shared,
        _ => panic!("no setting {name} {value}"),
    }
}

fn add_operation(words: &[&str]) -> Operation {
    let mut op = operation();
    for (name, value) in pairs(words) {
        match name.as_str() {
            "objective" => op.objective = ms(&value),
            "timeout" => op.timeout = ms(&value),
            "window" => op.window = ms(&value),
            "billed" => op.billed = value.parse().unwrap(),
            "late" => op.late = value.parse().unwrap(),
            "skipped" => op.skipped = value.parse().unwrap(),
            "calls" => op.calls = value == "yes",
            "effect" if value == "tokened" => op.effect = Effect::Tokened,
            "effect" if value == "non-idempotent" => op.effect = Effect::NonIdempotent,
            _ => panic!("no {name}={value}"),
        }
    }
    op
}

fn add_arrival(inv: Inv, words: &[&str]) -> Arrival {
    let mut a = arrival(inv, 1000.0);
    for (name, value) in pairs(words) {
        match name.as_str() {
            "op" => a.op = value.parse().unwrap(),
            "work" => a.hint = Some(ms(&value) as f64),
            "resent" => a.resent = value == "yes",
            "kb" => a.kb = value.parse().unwrap(),
            "unread" => a.unread = ms(&value),
            "budget" => a.budget = Some(ms(&value)),
            "customer" => a.customer = Some(value.parse().unwrap()),
            "repeats" if value == "unknown" => a.repeats = Some(None),
            "repeats" => a.repeats = Some(Some(value.parse().unwrap())),
            _ => panic!("no {name}={value}"),
        }
    }
    a
}

fn outcome(word: &str) -> Outcome {
    match word {
        "succeeded" => Outcome::Succeeded,
        "errored" => Outcome::Errored,
        "throttled" => Outcome::Throttled,
        "no-answer" => Outcome::NoAnswer,
        "no-connection" => Outcome::NoConnection,
        "connection-lost" => Outcome::ConnectionLost,
        "called-off" => Outcome::CalledOff,
        "not-started" => Outcome::NotStarted,
        _ => panic!("no outcome {word}"),
    }
}

fn play(text: &str) -> Result<(), String> {
    let mut settings = settings();
    let (mut brain, mut seen, mut now, mut tick_at, mut from) = (None, Seen::default(), 0, Time::MAX, 0);
    let mut gauges = Gauges::default();
    let has = |actions: &[String], wanted: &str| {
        actions.iter().any(|action| action == wanted || action.starts_with(&format!("{wanted} ")))
    };
    for (at, line) in text.lines().enumerate() {
        let words: Vec<&str> = line.split('#').next().unwrap_or("").split_whitespace().collect();
        let Some(first) = words.first() else { continue };
        match *first {
            "set" => set(&mut settings, words[1], words[2]),
            "op" => settings.operations.push(add_operation(&words[1..])),
            "customer" => settings.customers.push(words[1].parse().unwrap()),
            "expect" if !has(&seen.actions[from..], &words[1..].join(" ")) => {
                return Err(format!("line {}: {line}; seen {:?}", at + 1, &seen.actions[from..]));
            }
            "refuse" if has(&seen.actions[from..], &words[1..].join(" ")) => {
                return Err(format!("line {}: {line}; seen {:?}", at + 1, &seen.actions[from..]));
            }
            "expect" | "refuse" | "never" => {}
            _ => {
                let brain = brain.get_or_insert_with(|| Brain::start(0, settings.clone(), &mut seen));
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
                    brain.tick(now, gauges, &mut seen);
                }
                now = time;
                let inv = || words[2].parse::<Inv>().unwrap();
                match words[1] {
                    "arrive" => brain.arrived(now, add_arrival(inv(), &words[3..]), &mut seen),
                    "needs" => brain.needs_call(now, inv(), &mut seen),
                    "left" => brain.caller_left(now, inv(), &mut seen),
                    "leave" => brain.leaving(now, ms(words[2]), &mut seen),
                    "end" => brain.run_ended(now, inv(), outcome(words[3]), &mut seen),
                    "called" => brain.call_ended(now, inv(), outcome(words[3]), ms(words[4]), &mut seen),
                    "gauges" => {
                        let [use_, on] = [words[2], words[3]].map(|word| word.parse().ok());
                        let links = words.get(4).and_then(|word| word.parse().ok());
                        gauges = Gauges { core_use: use_, on_cores: on, links, ..Gauges::default() };
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
        let mut brain = Brain::start(0, Settings { operations, seed, ..settings() }, &mut seen);
        brain.arrived(0, arrival(0, 100.0), &mut seen);
        for rank in [3, 1, 5, 2, 4] {
            brain.arrived(0, arrival(rank, 1000.0 * rank as f64), &mut seen);
        }
        brain.run_ended(100, 0, Outcome::Succeeded, &mut seen);
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
