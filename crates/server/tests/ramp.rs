//! A worker that comes back cold, under the sum of all that send to it: the program as worker and as 1, 8 and 30 forwarders, none of
//! which counts the others. What it had open at once is its own count.

use cypresscleat_demo::tier::{ran_twice, trickle, Levels, CORES};
use serde_json::Value;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");

/// What the settings let a worker have on its cores so long after it came up cold.
fn survives(after: Duration) -> f64 {
    let all: Value = serde_json::from_str(CONFIG).expect("JSON");
    let rule = |key: &str| all["settings"]["obligations"][key].as_f64().expect(key);
    let part = (after.as_nanos() as f64 / rule("cold_ns")).min(1.0);
    let speed = rule("cold_from") + (1.0 - rule("cold_from")) * part;
    f64::from(CORES) * (1.0 + (rule("tip_multiple") - 1.0) * speed)
}

fn counted(line: &str, name: &str) -> f64 {
    let word = format!("{name} ");
    let at = line.find(&word).unwrap_or_else(|| panic!("no {name} in {line}")) + word.len();
    line[at..].split(',').next().and_then(|number| number.trim().parse().ok()).expect("a number")
}

/// Of `workers` the first `cold` are killed and come back cold, at once, under load from `senders`: an invocation in each `gap`, for
/// three seconds.
fn plays(senders: usize, workers: usize, cold: usize, gap: Duration) {
    let mut levels = Levels::workers(Path::new(PROGRAM), CONFIG, Vec::new(), workers);
    levels.forward(senders);
    for forwarder in levels.forwarders.iter().flatten() {
        (0..workers).for_each(|_| drop(forwarder.logged("takes work")));
    }
    let addresses = levels.addresses();
    let calls = thread::spawn(move || trickle(&addresses, "r", (3000 / gap.as_millis()) as usize, gap));
    thread::sleep(Duration::from_millis(400));
    (0..cold).for_each(|at| levels.workers[at] = None); // SIGKILL
    let began = Instant::now();
    (0..cold).for_each(|at| levels.restart_worker_as(at, "COLD"));
    let all = calls.join().expect("answers");
    let budget = survives(began.elapsed());
    for at in 0..cold {
        let worker = &levels.workers[at].as_ref().expect("it is here");
        worker.place.signal("USR1");
        let line = worker.place.logged("open_most ");
        let (most, came) = (counted(&line, "open_most"), counted(&line, "invocations"));
        let chance = budget + 2.0 * budget.sqrt() + 2.0;
        assert!(
            most <= chance,
            "{senders} senders: {most} at once of {budget:.1}, and {chance:.1} by chance"
        );
        assert!(came > 0.0, "{senders} senders: it was never used");
    }
    assert_eq!(all.iter().filter(|got| got.how == "lost").count(), 0);
    assert_eq!(ran_twice(&levels.ran()), 0);
}

#[test]
fn one_sender_and_one_cold_worker() {
    plays(1, 1, 1, Duration::from_millis(3));
}

#[test]
fn eight_senders_and_one_of_three_cold() {
    plays(8, 3, 1, Duration::from_millis(3));
}

#[test]
fn thirty_senders_and_three_of_ten_cold_together() {
    plays(30, 10, 3, Duration::from_millis(1));
}
