//! A soak test of whole processes: clients that use their connections until the process is killed, series of signals, broken executor
//! links, a silent or late downstream, and a second incarnation on the same store, all drawn from a printed seed. The checks use only the
//! journals of the stand-ins. `SOAK=50 cargo test --release -p cypresscleat-server --test soak -- --nocapture` runs 50 seeds, `SEED=7`
//! runs one seed, and `TRACE=00000007` prints the outcome of each request whose id starts with these digits.

use cypresscleat_demo::soak::{
    serve_downstream, serve_registry, Asked, Behaviour, Caller, Draws, Executor, Habit, Journal, Resent,
};
use cypresscleat_demo::Deployment;
use serde_json::json;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");
/// Number of seeds in CI, and the number of seeds that run in parallel.
const SEEDS: u64 = 24;
const PARALLEL_RUNS: usize = 3;
/// Tolerance that the protocol page adds to each limit; also the time in which a request that crosses a close is sent again.
const SLACK: Duration = Duration::from_millis(50);
const FEW_CLIENTS: u64 = 6;
const MANY_CLIENTS: u64 = 24;
/// Status code of a response to a request that was never run.
const REJECTED: u8 = 66;
/// Deadlines of the request classes, as in the configuration.
const DEADLINES: [(&str, Duration); 2] =
    [("report", Duration::from_secs(5)), ("lookup", Duration::from_secs(3))];

/// Limits of the configuration.
const MAX_MEMORY_KB: u64 = 192 * 1024;
const MAX_DESCRIPTORS: usize = 1024;

/// One incarnation of the process: the times of its termination notice and its kill, and its maximum resource usage.
struct Incarnation {
    term_at: Instant,
    killed_at: Instant,
    usage: ResourceUsage,
}

/// The maximum observed memory and descriptor usage of a process.
#[derive(Clone, Copy, Debug, Default)]
struct ResourceUsage {
    memory_kb: u64,
    descriptors: usize,
}

/// Samples the resource usage of a process until it ends.
fn sample_usage(id: u32) -> thread::JoinHandle<ResourceUsage> {
    thread::spawn(move || {
        let mut usage = ResourceUsage::default();
        while let Ok(open) = std::fs::read_dir(format!("/proc/{id}/fd")) {
            let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
            let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
            let kb = resident.and_then(|text| text.trim().split(' ').next()?.parse().ok()).unwrap_or(0);
            usage.memory_kb = usage.memory_kb.max(kb);
            usage.descriptors = usage.descriptors.max(open.count());
            thread::sleep(Duration::from_millis(50));
        }
        usage
    })
}

/// The parameters that are drawn once per seed.
struct Plan {
    seed: u64,
    stop_ms: u64,
    grace_ms: u64,
    client_count: u64,
    break_probability: f64,
    downstream: Behaviour,
    registry: Behaviour,
    store: Option<String>,
    incarnations: u32,
}

impl Plan {
    fn new(seed: u64) -> Plan {
        let mut draws = Draws::new(seed, "plan");
        let behaviours = [
            Behaviour::Answers,
            Behaviour::Answers,
            Behaviour::Late(20),
            Behaviour::Late(400),
            Behaviour::Silent,
        ];
        let folder = std::env::temp_dir().join(format!("cypresscleat-soak-{}-{seed}", std::process::id()));
        let store = draws.is(0.4).then(|| folder.display().to_string());
        Plan {
            seed,
            stop_ms: draws.one_of(&[300, 1_000, 2_000, 3_000, 6_000]),
            grace_ms: draws.one_of(&[50, 100, 150]),
            client_count: if draws.is(0.3) { MANY_CLIENTS } else { FEW_CLIENTS },
            break_probability: draws.one_of(&[0.0, 0.5, 1.0]),
            downstream: draws.one_of(&behaviours),
            registry: draws.one_of(&behaviours),
            incarnations: if store.is_some() && draws.is(0.5) { 2 } else { 1 },
            store,
        }
    }

    fn start(&self) -> Deployment {
        let operator =
            self.store.as_ref().map_or(String::new(), |folder| format!("store: folder: \"{folder}\""));
        Deployment::start_with(Path::new(PROGRAM), CONFIG, &operator, |all| {
            all["settings"]["categories"][(self.seed % 2) as usize]["effect"] = json!("fragile");
            all["settings"]["obligations"]["stop_sending_within_ns"] = json!(self.grace_ms * 1_000_000);
            all["settings"]["specifics"]["cores"] = json!(4);
            all["stop_ms"] = json!(self.stop_ms);
        })
    }
}

/// The stand-ins of one incarnation. After a move they also serve at the new addresses.
struct StandIns {
    executor: Arc<Executor>,
    downstream: Behaviour,
    registry: Behaviour,
    moves: u32,
}

impl StandIns {
    fn serve(&mut self, listeners: [&std::net::TcpListener; 3]) {
        self.moves += 1;
        self.executor.serve(listeners[0], &format!("executor {}", self.moves));
        serve_downstream(listeners[1], self.downstream);
        serve_registry(listeners[2], self.registry);
    }
}

/// Runs one incarnation to its end: a series of signals, a termination notice, more signals, and the kill when the notice period ends.
fn run_incarnation(plan: &Plan, incarnation: u32, journal: &Arc<Journal>) -> Incarnation {
    let mut draws = Draws::new(plan.seed, &format!("life {incarnation}"));
    let mut place = plan.start();
    let (server, usage_sampler) = (place.server, sample_usage(place.id()));
    let mut stand_ins = StandIns {
        executor: Executor::new(plan.seed, plan.break_probability, journal),
        downstream: plan.downstream,
        registry: plan.registry,
        moves: 0,
    };
    let killed_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    if draws.is(0.2) {
        thread::sleep(draws.ms(300)); // the executor starts late
    }
    let listeners = [&place.kernel, &place.ledger, &place.roster];
    stand_ins.serve(listeners);
    if draws.is(0.8) {
        place.logged("kernel up");
    }
    let clients: Vec<_> = (0..plan.client_count)
        .map(|number| {
            let client =
                Caller::new(number + u64::from(incarnation) * MANY_CLIENTS, plan.seed, journal, &killed_at);
            thread::spawn(move || client.run(server))
        })
        .collect();
    if draws.is(0.1) {
        thread::sleep(Duration::from_secs(2)); // a long idle period
    }
    for _ in 0..draws.below(4) {
        thread::sleep(draws.ms(250));
        for _ in 0..1 + u32::from(draws.is(0.3)) {
            if draws.is(0.5) {
                let moved = place.moves();
                stand_ins.serve([&moved[0], &moved[1], &moved[2]]);
            } else {
                place.signal("HUP");
            }
        }
    }
    thread::sleep(draws.ms(400));
    place.signal("TERM");
    let term_at = Instant::now();
    let kill_at = term_at + Duration::from_millis(plan.stop_ms);
    *killed_at.lock().expect("the time") = Some(kill_at);
    let mut signal_delays: Vec<Duration> = (0..draws.below(5)).map(|_| draws.ms(plan.stop_ms)).collect();
    signal_delays.sort();
    for after in signal_delays {
        thread::sleep((term_at + after).saturating_duration_since(Instant::now()));
        if place.runs() {
            place.signal(draws.one_of(&["TERM", "HUP", "USR1"]));
        }
    }
    thread::sleep(kill_at.saturating_duration_since(Instant::now()));
    let is_running = place.runs();
    if is_running {
        place.signal("KILL");
    }
    let killed_at = Instant::now();
    let status = place.exit();
    assert!(is_running || status.success(), "seed {}: the process ended by itself with {status}", plan.seed);
    journal.quiet.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().unwrap_or_else(|_| panic!("seed {}: a client panicked", plan.seed));
    }
    journal.quiet.store(false, Ordering::SeqCst);
    Incarnation { term_at, killed_at, usage: usage_sampler.join().unwrap_or_default() }
}

/// Counts of requests that crossed the end of their connection, by the outcome of sending them again.
#[derive(Debug, Default)]
struct Crossings {
    refused: u32,
    answered: u32,
    ended: u32,
}

/// The violation that one request shows, if any.
fn find_violation(txn: &str, request: &Asked, slack: Duration, crossings: &mut Crossings) -> Option<String> {
    if request.answers.len() > 1 {
        return Some(format!("{txn} has more than one response: {:?}", request.answers));
    }
    if let Some((_, at)) = request.answers.first() {
        let deadline =
            DEADLINES.iter().find(|(class, _)| *class == request.class).map_or(Duration::MAX, |one| one.1);
        let took = at.duration_since(request.written.0);
        return (took > deadline + slack).then(|| format!("{txn} got its response after {took:?}"));
    }
    if request.withdrawn {
        return None;
    }
    let Some(ended) = request.unanswered else {
        return Some(format!("{txn} has no response and no recorded end of its connection: {request:?}"));
    };
    let open_for = ended.saturating_duration_since(request.written.1);
    if open_for > slack {
        return Some(format!("{txn} was lost: its connection ended {open_for:?} after it was written"));
    }
    match request.resent {
        Some(Resent::Refused) => crossings.refused += 1,
        Some(Resent::Answered(_)) => crossings.answered += 1,
        Some(Resent::Ended(after)) if after > slack => {
            return Some(format!("{txn} was lost when sent again, after {after:?}"));
        }
        _ => crossings.ended += 1,
    }
    None
}

/// Prints each request of a client, with times in seconds from the first termination notice.
fn print_requests(journal: &Journal, incarnations: &[Incarnation], client: &str) {
    let (asked, ran) = (journal.asked.lock().expect("the journal"), journal.ran.lock().expect("the journal"));
    let began = incarnations[0].term_at;
    let seconds = |at: Instant| match at >= began {
        true => at.duration_since(began).as_secs_f64(),
        false => -began.duration_since(at).as_secs_f64(),
    };
    for (txn, one) in asked.iter().filter(|(txn, _)| txn.starts_with(client)) {
        let answers: Vec<(u8, f64)> = one.answers.iter().map(|(code, at)| (*code, seconds(*at))).collect();
        let runs = ran.get(txn).map(|(runs, at)| (*runs, seconds(*at)));
        println!(
            "{txn} {} written {:.4} answers {answers:?} unanswered {:?} withdrawn {} resent {:?} runs {runs:?}",
            one.class,
            seconds(one.written.1),
            one.unanswered.map(seconds),
            one.withdrawn,
            one.resent
        );
    }
}

/// Runs a seed; returns a summary and all violations.
fn run_seed(seed: u64) -> (String, Vec<String>) {
    let plan = Plan::new(seed);
    let journal: Arc<Journal> = Arc::default();
    journal.watch_lag();
    let incarnations: Vec<Incarnation> =
        (0..plan.incarnations).map(|incarnation| run_incarnation(&plan, incarnation, &journal)).collect();
    journal.over.store(true, Ordering::SeqCst);
    let slack = SLACK + journal.lag();
    if let Ok(client) = std::env::var("TRACE") {
        print_requests(&journal, &incarnations, &client);
    }
    let mut violations = journal.wrong.lock().expect("the journal").clone();
    let (asked, ran) = (journal.asked.lock().expect("the journal"), journal.ran.lock().expect("the journal"));
    let mut crossings = Crossings::default();
    violations.extend(asked.iter().filter_map(|(txn, one)| find_violation(txn, one, slack, &mut crossings)));
    let usage: Vec<ResourceUsage> = incarnations.iter().map(|incarnation| incarnation.usage).collect();
    if usage.iter().any(|usage| usage.memory_kb > MAX_MEMORY_KB || usage.descriptors > MAX_DESCRIPTORS) {
        violations.push(format!("the process exceeded a limit: {usage:?}"));
    }
    let grace = Duration::from_millis(plan.grace_ms);
    for (txn, (runs, _)) in ran.iter() {
        let Some(one) = asked.get(txn) else {
            violations.push(format!("{txn} ran and was never sent"));
            continue;
        };
        if *runs > 1 {
            violations.push(format!("{txn} ran {runs} times: {one:?}"));
        }
        let written = one.written.0;
        let incarnation = incarnations.iter().find(|incarnation| written <= incarnation.killed_at);
        if incarnation.is_some_and(|incarnation| written > incarnation.term_at + grace + slack)
            && one.resent.is_none()
        {
            violations.push(format!("{txn} ran and was written after the grace period"));
        }
        if one.answers.is_empty() && one.unanswered.is_some() && one.resent == Some(Resent::Refused) {
            violations.push(format!("{txn} ran, has no response and was refused when sent again: {one:?}"));
        }
    }
    // The longest time that a rejection takes after the grace period.
    let is_after_grace = |one: &&Asked| {
        incarnations.iter().any(|incarnation| {
            one.written.0 > incarnation.term_at + grace && one.written.0 < incarnation.killed_at
        })
    };
    let rejections = asked.values().filter(|one| !one.is_read_late && !one.withdrawn).filter(is_after_grace);
    let rejection_time = |one: &Asked| {
        let rejected = one.answers.first().filter(|(code, _)| *code == REJECTED);
        rejected.map(|(_, at)| at.duration_since(one.written.1))
    };
    let longest = rejections.filter_map(rejection_time).max().unwrap_or_default();
    if let Some(folder) = &plan.store {
        let _ = std::fs::remove_dir_all(folder);
    }
    let answered = asked.values().filter(|one| !one.answers.is_empty()).count();
    let summary = format!(
        "seed {seed}: {} callers, {} ms, {:?} below, {:?} registry, breaks {}, lives {}: {} asked, {answered} answered, {} ran, {crossings:?}, longest rejection {longest:?}, {usage:?}, lag {:?}",
        plan.client_count, plan.stop_ms, plan.downstream, plan.registry, plan.break_probability, plan.incarnations, asked.len(), ran.len(), journal.lag()
    );
    (summary, violations)
}

/// Guards against requests that are lost, run twice or run after the grace period when clients, signals and downstream faults overlap with
/// a drain and a kill.
#[test]
fn callers_that_stay_until_the_kill_lose_nothing_through_signals_and_faults() {
    let read_variable = |key: &str| std::env::var(key).ok().and_then(|value| value.parse().ok());
    let seeds = match (read_variable("SEED"), read_variable("SOAK")) {
        (Some(seed), _) => seed..seed + 1,
        (None, count) => 0..count.unwrap_or(SEEDS),
    };
    let next = AtomicUsize::new(seeds.start as usize);
    let failed: Mutex<Vec<String>> = Mutex::default();
    thread::scope(|scope| {
        for _ in 0..PARALLEL_RUNS {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::SeqCst) as u64;
                if seed >= seeds.end {
                    return;
                }
                let (summary, violations) = run_seed(seed);
                println!("{summary}{}", if violations.is_empty() { "" } else { " WRONG" });
                failed
                    .lock()
                    .expect("the list")
                    .extend(violations.into_iter().map(|what| format!("seed {seed}: {what}")));
            });
        }
    });
    let failed = failed.into_inner().expect("the list");
    assert!(failed.is_empty(), "{} violations: {failed:#?}", failed.len());
}

/// Each kind of client occurs among the draws, so no habit is left untested.
#[test]
fn every_client_habit_is_drawn() {
    let journal: Arc<Journal> = Arc::default();
    let habits: Vec<Habit> =
        (0..MANY_CLIENTS).map(|number| Caller::new(number, 1, &journal, &Arc::default()).habit).collect();
    assert!(cypresscleat_demo::soak::HABITS.iter().all(|habit| habits.contains(habit)), "{habits:?}");
}
