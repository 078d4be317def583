//! Two levels on loopback: the real program as planners, forwarders and workers. Planners, workers and forwarders die; every
//! caller of a forwarder that lives has one final answer, and nothing runs twice.

use cypresscleat_demo::tier::{ran_twice, served_value, trickle, Levels};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");

fn levels(planners: usize, forwarders: usize, workers: usize) -> Levels {
    let levels = Levels::start(Path::new(PROGRAM), CONFIG, planners, forwarders, workers);
    for forwarder in levels.forwarders.iter().flatten() {
        for _ in 0..workers {
            forwarder.logged("takes work");
        }
    }
    levels
}

fn count(all: &[cypresscleat_demo::tier::Got], how: &str) -> usize {
    all.iter().filter(|got| got.how == how).count()
}

#[test]
fn killing_planners_costs_no_answer_and_they_come_back_in_steps() {
    let mut levels = levels(2, 3, 6);
    levels.forwarders[0].as_ref().expect("it is here").logged("planners are back: epoch");
    levels.forwarders[0].as_ref().expect("it is here").logged("by its grants: epoch");
    let addresses = levels.addresses();
    let calls = thread::spawn(move || trickle(&addresses, "a", 240, Duration::from_millis(12)));
    // The first and then the second, in the middle of what they do; then one is there again.
    thread::sleep(Duration::from_millis(600));
    levels.planners[0] = None;
    thread::sleep(Duration::from_millis(600));
    levels.planners[1] = None;
    let all = calls.join().expect("answers");
    assert_eq!(
        count(&all, "lost") + count(&all, "refused") + count(&all, "not understood"),
        0,
        "each has one answer"
    );
    assert_eq!(
        count(&all, "succeeded"),
        240,
        "none is turned away at this load: {:?}",
        all.iter().find(|g| g.how != "succeeded")
    );
    assert_eq!(ran_twice(&levels.ran()), 0);
    levels.forwarders[1].as_ref().expect("it is here").logged("by itself: grants of epoch");
    levels.restart_planner(0);
    levels.forwarders[1].as_ref().expect("it is here").logged("planners are back: epoch");
}

#[test]
fn a_worker_that_dies_takes_only_what_it_was_running() {
    let mut levels = levels(1, 2, 3);
    let addresses = levels.addresses();
    let calls = thread::spawn(move || trickle(&addresses, "b", 200, Duration::from_millis(10)));
    thread::sleep(Duration::from_millis(700));
    let before = levels.workers[1].take().expect("it is here");
    let ran = before.ran.clone();
    drop(before); // SIGKILL
    thread::sleep(Duration::from_millis(500));
    levels.restart_worker(1);
    let all = calls.join().expect("answers");
    assert_eq!(count(&all, "lost") + count(&all, "refused"), 0);
    // What it was running may have had its effect: errored. All else was served.
    assert!(count(&all, "errored") <= 8, "{} errored", count(&all, "errored"));
    assert!(count(&all, "succeeded") >= 185, "{} succeeded", count(&all, "succeeded"));
    let mut everything = levels.ran();
    everything.extend(ran.lock().expect("the list").clone());
    assert_eq!(ran_twice(&everything), 0);
}

#[test]
fn a_forwarder_that_dies_makes_nothing_run_twice_and_one_that_drains_loses_nothing() {
    let mut levels = levels(1, 2, 2);
    let address = levels.addresses();
    let (first, second) = (vec![address[0]], vec![address[1]]);
    let dies = thread::spawn(move || trickle(&first, "c", 60, Duration::from_millis(10)));
    let drains = thread::spawn(move || trickle(&second, "d", 60, Duration::from_millis(10)));
    thread::sleep(Duration::from_millis(300));
    levels.forwarders[0] = None; // SIGKILL
    levels.forwarders[1].as_ref().expect("it is here").signal("TERM");
    dies.join().expect("its end");
    let all = drains.join().expect("its end");
    // Refused once it has gone: nothing ran. What it had taken was answered.
    assert_eq!(count(&all, "lost"), 0, "{all:?}");
    assert!(count(&all, "succeeded") >= 20);
    assert!(levels.forwarders[1].as_mut().expect("it is here").exit().success());
    thread::sleep(Duration::from_millis(300));
    assert_eq!(ran_twice(&levels.ran()), 0);
}

/// Without a planner from the start, and without a worker: every caller is told at once.
#[test]
fn alone_a_forwarder_decides_by_itself() {
    let mut levels = levels(0, 1, 2);
    let all = trickle(&levels.addresses(), "e", 60, Duration::from_millis(12));
    assert_eq!(count(&all, "succeeded"), 60);
    levels.workers = vec![None, None];
    levels.forwarders[0].as_ref().expect("it is here").logged("takes none");
    levels.forwarders[0].as_ref().expect("it is here").logged("takes none");
    let began = Instant::now();
    let all = trickle(&levels.addresses(), "f", 10, Duration::from_millis(1));
    assert_eq!(count(&all, "throttled") + count(&all, "errored"), 10, "{all:?}");
    assert!(began.elapsed() < Duration::from_secs(8), "{:?}", began.elapsed());
    assert!(served_value(&all) == 0.0);
}
