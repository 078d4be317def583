//! A soak of whole processes: callers that use their connections until the process is killed, signals in series, executor links that
//! break, what is below silent or late, a second life on the same store, all drawn from a seed that is printed. Judged by the journals of
//! the stand-ins alone. `SOAK=50 cargo test --release -p cypresscleat-server --test soak -- --nocapture` plays that many seeds,
//! `SEED=7` one of them, and `TRACE=00000007` prints what became of each request whose id begins so.

use cypresscleat_demo::soak::{
    serve_downstream, serve_registry, Asked, Behaviour, Caller, Draws, Executor, Habit, Journal, Resent,
};
use cypresscleat_demo::Place;
use serde_json::json;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");
/// Seeds in CI, and how many are played side by side.
const SEEDS: u64 = 24;
const SIDE_BY_SIDE: usize = 3;
/// Time that the protocol page adds to each limit, and in which a request that crosses a close is sent again.
const SLACK: Duration = Duration::from_millis(50);
const FEW: u64 = 6;
const CROWD: u64 = 24;
/// Code of an answer that says that the request was never run.
const REJECTED: u8 = 66;
/// Deadlines of the request classes, as in the configuration.
const DEADLINES: [(&str, Duration); 2] =
    [("report", Duration::from_secs(5)), ("lookup", Duration::from_secs(3))];

/// Limits of the configuration.
const MEMORY_KB: u64 = 192 * 1024;
const DESCRIPTORS: usize = 1024;

/// One life of the process: when it was told to stop, when it was killed, and the most that it held.
struct Life {
    term_at: Instant,
    killed_at: Instant,
    used: Used,
}

/// The most memory and descriptors that a process was seen to hold.
#[derive(Clone, Copy, Debug, Default)]
struct Used {
    memory_kb: u64,
    descriptors: usize,
}

/// Looks at a process from time to time until it is gone.
fn watch(id: u32) -> thread::JoinHandle<Used> {
    thread::spawn(move || {
        let mut used = Used::default();
        while let Ok(open) = std::fs::read_dir(format!("/proc/{id}/fd")) {
            let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
            let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
            let kb = resident.and_then(|text| text.trim().split(' ').next()?.parse().ok()).unwrap_or(0);
            used.memory_kb = used.memory_kb.max(kb);
            used.descriptors = used.descriptors.max(open.count());
            thread::sleep(Duration::from_millis(50));
        }
        used
    })
}

/// What is drawn once for a seed.
struct Plan {
    seed: u64,
    stop_ms: u64,
    grace_ms: u64,
    callers: u64,
    breaks: f64,
    downstream: Behaviour,
    registry: Behaviour,
    store: Option<String>,
    lives: u32,
}

impl Plan {
    fn new(seed: u64) -> Plan {
        let mut draws = Draws::new(seed, "plan");
        let below = [
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
            callers: if draws.is(0.3) { CROWD } else { FEW },
            breaks: draws.one_of(&[0.0, 0.5, 1.0]),
            downstream: draws.one_of(&below),
            registry: draws.one_of(&below),
            lives: if store.is_some() && draws.is(0.5) { 2 } else { 1 },
            store,
        }
    }

    fn start(&self) -> Place {
        let operator =
            self.store.as_ref().map_or(String::new(), |folder| format!("store: folder: \"{folder}\""));
        Place::start_with(Path::new(PROGRAM), CONFIG, &operator, |all| {
            all["settings"]["categories"][(self.seed % 2) as usize]["effect"] = json!("fragile");
            all["settings"]["obligations"]["stop_sending_within_ns"] = json!(self.grace_ms * 1_000_000);
            all["settings"]["specifics"]["cores"] = json!(4);
            all["stop_ms"] = json!(self.stop_ms);
        })
    }
}

/// The stand-ins around one life. After a move they serve at the new addresses too.
struct Around {
    executor: Arc<Executor>,
    downstream: Behaviour,
    registry: Behaviour,
    moves: u32,
}

impl Around {
    fn serve(&mut self, listeners: [&std::net::TcpListener; 3]) {
        self.moves += 1;
        self.executor.serve(listeners[0], &format!("executor {}", self.moves));
        serve_downstream(listeners[1], self.downstream);
        serve_registry(listeners[2], self.registry);
    }
}

/// Plays one life to its end: signals in series, a termination notice, more signals, and the kill when the notice is over.
fn live(plan: &Plan, life: u32, journal: &Arc<Journal>) -> Life {
    let mut draws = Draws::new(plan.seed, &format!("life {life}"));
    let mut place = plan.start();
    let (server, watched) = (place.server, watch(place.id()));
    let mut around = Around {
        executor: Executor::new(plan.seed, plan.breaks, journal),
        downstream: plan.downstream,
        registry: plan.registry,
        moves: 0,
    };
    let killed_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    if draws.is(0.2) {
        thread::sleep(draws.ms(300)); // the executor comes late
    }
    let listeners = [&place.kernel, &place.ledger, &place.roster];
    around.serve(listeners);
    if draws.is(0.8) {
        place.logged("kernel up");
    }
    let callers: Vec<_> = (0..plan.callers)
        .map(|number| {
            let caller = Caller::new(number + u64::from(life) * CROWD, plan.seed, journal, &killed_at);
            thread::spawn(move || caller.run(server))
        })
        .collect();
    if draws.is(0.1) {
        thread::sleep(Duration::from_secs(2)); // a long quiet
    }
    for _ in 0..draws.below(4) {
        thread::sleep(draws.ms(250));
        for _ in 0..1 + u32::from(draws.is(0.3)) {
            if draws.is(0.5) {
                let moved = place.moves();
                around.serve([&moved[0], &moved[1], &moved[2]]);
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
    let mut at: Vec<Duration> = (0..draws.below(5)).map(|_| draws.ms(plan.stop_ms)).collect();
    at.sort();
    for after in at {
        thread::sleep((term_at + after).saturating_duration_since(Instant::now()));
        if place.runs() {
            place.signal(draws.one_of(&["TERM", "HUP", "USR1"]));
        }
    }
    thread::sleep(kill_at.saturating_duration_since(Instant::now()));
    let runs = place.runs();
    if runs {
        place.signal("KILL");
    }
    let killed_at = Instant::now();
    let status = place.exit();
    assert!(runs || status.success(), "seed {}: it ended by itself with {status}", plan.seed);
    journal.quiet.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().unwrap_or_else(|_| panic!("seed {}: a caller", plan.seed));
    }
    journal.quiet.store(false, Ordering::SeqCst);
    Life { term_at, killed_at, used: watched.join().unwrap_or_default() }
}

/// Requests that crossed the end of their connection, and how those went that were sent once more.
#[derive(Debug, Default)]
struct Crossings {
    refused: u32,
    answered: u32,
    ended: u32,
}

/// What is wrong with one request, if anything is.
fn fault(txn: &str, asked: &Asked, slack: Duration, crossings: &mut Crossings) -> Option<String> {
    if asked.answers.len() > 1 {
        return Some(format!("{txn} was answered more than once: {:?}", asked.answers));
    }
    if let Some((_, at)) = asked.answers.first() {
        let deadline =
            DEADLINES.iter().find(|(class, _)| *class == asked.class).map_or(Duration::MAX, |one| one.1);
        let took = at.duration_since(asked.written.0);
        return (took > deadline + slack).then(|| format!("{txn} was answered after {took:?}"));
    }
    if asked.withdrawn {
        return None;
    }
    let Some(ended) = asked.unanswered else { return Some(format!("{txn} was forgotten: {asked:?}")) };
    let open_for = ended.saturating_duration_since(asked.written.1);
    if open_for > slack {
        return Some(format!("{txn} was lost: its connection ended {open_for:?} after it was written"));
    }
    match asked.resent {
        Some(Resent::Refused) => crossings.refused += 1,
        Some(Resent::Answered(_)) => crossings.answered += 1,
        Some(Resent::Ended(after)) if after > slack => {
            return Some(format!("{txn} was lost when it was sent again, after {after:?}"));
        }
        _ => crossings.ended += 1,
    }
    None
}

/// Prints each request of a caller, with times in seconds from the first termination notice.
fn print_requests(journal: &Journal, lives: &[Life], caller: &str) {
    let (asked, ran) = (journal.asked.lock().expect("the journal"), journal.ran.lock().expect("the journal"));
    let began = lives[0].term_at;
    let seconds = |at: Instant| match at >= began {
        true => at.duration_since(began).as_secs_f64(),
        false => -began.duration_since(at).as_secs_f64(),
    };
    for (txn, one) in asked.iter().filter(|(txn, _)| txn.starts_with(caller)) {
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

/// Plays a seed; what it was like, and all that is wrong.
fn play(seed: u64) -> (String, Vec<String>) {
    let plan = Plan::new(seed);
    let journal: Arc<Journal> = Arc::default();
    journal.watch_lag();
    let lives: Vec<Life> = (0..plan.lives).map(|life| live(&plan, life, &journal)).collect();
    journal.over.store(true, Ordering::SeqCst);
    let slack = SLACK + journal.lag();
    if let Ok(caller) = std::env::var("TRACE") {
        print_requests(&journal, &lives, &caller);
    }
    let mut wrong = journal.wrong.lock().expect("the journal").clone();
    let (asked, ran) = (journal.asked.lock().expect("the journal"), journal.ran.lock().expect("the journal"));
    let mut crossings = Crossings::default();
    wrong.extend(asked.iter().filter_map(|(txn, one)| fault(txn, one, slack, &mut crossings)));
    let used: Vec<Used> = lives.iter().map(|life| life.used).collect();
    if used.iter().any(|used| used.memory_kb > MEMORY_KB || used.descriptors > DESCRIPTORS) {
        wrong.push(format!("it went over a limit: {used:?}"));
    }
    let grace = Duration::from_millis(plan.grace_ms);
    for (txn, (runs, _)) in ran.iter() {
        let Some(one) = asked.get(txn) else {
            wrong.push(format!("{txn} ran and was never asked"));
            continue;
        };
        if *runs > 1 {
            wrong.push(format!("{txn} ran {runs} times: {one:?}"));
        }
        let written = one.written.0;
        let life = lives.iter().find(|life| written <= life.killed_at);
        if life.is_some_and(|life| written > life.term_at + grace + slack) && one.resent.is_none() {
            wrong.push(format!("{txn} ran, and was written after the grace"));
        }
        if one.answers.is_empty() && one.unanswered.is_some() && one.resent == Some(Resent::Refused) {
            wrong.push(format!("{txn} ran, has no answer, and can't be sent again: {one:?}"));
        }
    }
    // How long a rejection takes once the grace is over.
    let is_after_grace = |one: &&Asked| {
        lives.iter().any(|life| one.written.0 > life.term_at + grace && one.written.0 < life.killed_at)
    };
    let rejections = asked.values().filter(|one| !one.is_read_late && !one.withdrawn).filter(is_after_grace);
    let took = |one: &Asked| {
        let rejected = one.answers.first().filter(|(code, _)| *code == REJECTED);
        rejected.map(|(_, at)| at.duration_since(one.written.1))
    };
    let longest = rejections.filter_map(took).max().unwrap_or_default();
    if let Some(folder) = &plan.store {
        let _ = std::fs::remove_dir_all(folder);
    }
    let answered = asked.values().filter(|one| !one.answers.is_empty()).count();
    let how = format!(
        "seed {seed}: {} callers, {} ms, {:?} below, {:?} registry, breaks {}, lives {}: {} asked, {answered} answered, {} ran, {crossings:?}, longest rejection {longest:?}, {used:?}, lag {:?}",
        plan.callers, plan.stop_ms, plan.downstream, plan.registry, plan.breaks, plan.lives, asked.len(), ran.len(), journal.lag()
    );
    (how, wrong)
}

/// Guards against requests that are lost, run twice or run after the grace when callers, signals and faults below cross a drain and a kill.
#[test]
fn callers_that_stay_until_the_kill_lose_nothing_through_signals_and_faults() {
    let read = |key: &str| std::env::var(key).ok().and_then(|word| word.parse().ok());
    let seeds = match (read("SEED"), read("SOAK")) {
        (Some(seed), _) => seed..seed + 1,
        (None, many) => 0..many.unwrap_or(SEEDS),
    };
    let next = AtomicUsize::new(seeds.start as usize);
    let failed: Mutex<Vec<String>> = Mutex::default();
    thread::scope(|scope| {
        for _ in 0..SIDE_BY_SIDE {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::SeqCst) as u64;
                if seed >= seeds.end {
                    return;
                }
                let (how, wrong) = play(seed);
                println!("{how}{}", if wrong.is_empty() { "" } else { " WRONG" });
                failed
                    .lock()
                    .expect("the list")
                    .extend(wrong.into_iter().map(|what| format!("seed {seed}: {what}")));
            });
        }
    });
    let failed = failed.into_inner().expect("the list");
    assert!(failed.is_empty(), "{} are wrong: {failed:#?}", failed.len());
}

/// The draws make each kind of caller, so that no habit goes unplayed.
#[test]
fn all_habits_are_drawn() {
    let journal: Arc<Journal> = Arc::default();
    let habits: Vec<Habit> =
        (0..CROWD).map(|number| Caller::new(number, 1, &journal, &Arc::default()).habit).collect();
    assert!(cypresscleat_demo::soak::HABITS.iter().all(|habit| habits.contains(habit)), "{habits:?}");
}
