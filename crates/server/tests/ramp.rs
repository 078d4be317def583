//! A worker that restarts cold under the load of all its senders together: the program as worker and as 1, 8 and 30 forwarders,
//! which do not know of each other. The maximum of open requests is the worker's own counter.

use cypresscleat_demo::tier::{ran_twice, send_steadily, TwoLevels, CORES};
use serde_json::Value;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");

/// Number of concurrent requests that the settings allow a worker at the given time after its cold start.
fn max_survived(after: Duration) -> f64 {
    let all: Value = serde_json::from_str(CONFIG).expect("JSON");
    let rule = |key: &str| all["settings"]["obligations"][key].as_f64().expect(key);
    let part = (after.as_nanos() as f64 / rule("cold_ns")).min(1.0);
    let speed = rule("cold_from") + (1.0 - rule("cold_from")) * part;
    f64::from(CORES) * (1.0 + (rule("tip_multiple") - 1.0) * speed)
}

fn counter(line: &str, name: &str) -> f64 {
    let word = format!("{name} ");
    let at = line.find(&word).unwrap_or_else(|| panic!("no {name} in {line}")) + word.len();
    line[at..].split(',').next().and_then(|number| number.trim().parse().ok()).expect("a number")
}

/// Kills the first `cold` of `workers` and restarts them cold at once, under load from `senders`: one request per `gap`, for
/// three seconds. Checks that the open requests of each stay within its budget.
fn restart_cold_under_load(senders: usize, workers: usize, cold: usize, interval: Duration) {
    let mut levels = TwoLevels::workers(Path::new(PROGRAM), CONFIG, Vec::new(), workers);
    levels.forward(senders);
    for forwarder in levels.forwarders.iter().flatten() {
        (0..workers).for_each(|_| drop(forwarder.logged("takes work")));
    }
    let addresses = levels.addresses();
    let calls = thread::spawn(move || {
        send_steadily(&addresses, "r", (3000 / interval.as_millis()) as usize, interval)
    });
    thread::sleep(Duration::from_millis(400));
    (0..cold).for_each(|at| levels.workers[at] = None); // SIGKILL
    let began = Instant::now();
    (0..cold).for_each(|at| levels.restart_worker_as(at, "COLD"));
    let all = calls.join().expect("answers");
    let budget = max_survived(began.elapsed());
    for at in 0..cold {
        let worker = &levels.workers[at].as_ref().expect("a running worker");
        worker.place.signal("USR1");
        let line = worker.place.logged("open_most ");
        let (max_open, received) = (counter(&line, "open_most"), counter(&line, "invocations"));
        let upper_bound = budget + 2.0 * budget.sqrt() + 2.0;
        assert!(
            max_open <= upper_bound,
            "{senders} senders: {max_open} open at once, budget {budget:.1}, {upper_bound:.1} with random variation"
        );
        assert!(received > 0.0, "{senders} senders: the worker got no request");
    }
    assert_eq!(all.iter().filter(|got| got.how == "lost").count(), 0);
    assert_eq!(ran_twice(&levels.ran()), 0);
}

#[test]
fn one_sender_and_one_cold_worker() {
    restart_cold_under_load(1, 1, 1, Duration::from_millis(3));
}

#[test]
fn eight_senders_and_one_of_three_cold() {
    restart_cold_under_load(8, 3, 1, Duration::from_millis(3));
}

#[test]
fn thirty_senders_and_three_of_ten_cold_together() {
    restart_cold_under_load(30, 10, 3, Duration::from_millis(1));
}
