//! Two levels on loopback: the real program as planners, forwarders and workers. Planners, workers and forwarders are killed; every
//! client of a running forwarder gets one final response, and no request runs twice.

use cypresscleat_demo::tier::{ran_twice, send_steadily, served_value, TwoLevels};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");

fn start_levels(planners: usize, forwarders: usize, workers: usize) -> TwoLevels {
    let levels = TwoLevels::start(Path::new(PROGRAM), CONFIG, planners, forwarders, workers);
    for forwarder in levels.forwarders.iter().flatten() {
        for _ in 0..workers {
            forwarder.logged("takes work");
        }
    }
    levels
}

fn count_outcome(all: &[cypresscleat_demo::tier::Got], outcome: &str) -> usize {
    all.iter().filter(|got| got.how == outcome).count()
}

#[test]
fn killed_planners_cost_no_response_and_their_grants_return_in_steps() {
    let mut levels = start_levels(2, 3, 6);
    levels.forwarders[0].as_ref().expect("the process is running").logged("planners are back: epoch");
    levels.forwarders[0].as_ref().expect("the process is running").logged("by its grants: epoch");
    let addresses = levels.addresses();
    let calls = thread::spawn(move || send_steadily(&addresses, "a", 240, Duration::from_millis(12)));
    // Both planners are killed under load, one after the other; later one restarts.
    thread::sleep(Duration::from_millis(600));
    levels.planners[0] = None;
    thread::sleep(Duration::from_millis(600));
    levels.planners[1] = None;
    let all = calls.join().expect("responses");
    assert_eq!(
        count_outcome(&all, "lost") + count_outcome(&all, "refused") + count_outcome(&all, "not understood"),
        0,
        "each request has one response"
    );
    assert_eq!(
        count_outcome(&all, "succeeded"),
        240,
        "no request is rejected at this load: {:?}",
        all.iter().find(|g| g.how != "succeeded")
    );
    assert_eq!(ran_twice(&levels.ran()), 0);
    levels.forwarders[1].as_ref().expect("the process is running").logged("by itself: grants of epoch");
    levels.restart_planner(0);
    levels.forwarders[1].as_ref().expect("the process is running").logged("planners are back: epoch");
}

#[test]
fn a_killed_worker_loses_only_the_requests_that_it_was_running() {
    let mut levels = start_levels(1, 2, 3);
    let addresses = levels.addresses();
    let calls = thread::spawn(move || send_steadily(&addresses, "b", 200, Duration::from_millis(10)));
    thread::sleep(Duration::from_millis(700));
    let killed_worker = levels.workers[1].take().expect("the process is running");
    let ran = killed_worker.ran.clone();
    drop(killed_worker); // SIGKILL
    thread::sleep(Duration::from_millis(500));
    levels.restart_worker(1);
    let all = calls.join().expect("responses");
    assert_eq!(count_outcome(&all, "lost") + count_outcome(&all, "refused"), 0);
    // Requests that the killed worker was running may have had their effect: they fail. All others succeed.
    assert!(count_outcome(&all, "errored") <= 8, "{} errored", count_outcome(&all, "errored"));
    assert!(count_outcome(&all, "succeeded") >= 185, "{} succeeded", count_outcome(&all, "succeeded"));
    let mut everything = levels.ran();
    everything.extend(ran.lock().expect("the list").clone());
    assert_eq!(ran_twice(&everything), 0);
}

#[test]
fn a_killed_forwarder_causes_no_second_run_and_a_draining_one_loses_no_request() {
    let mut levels = start_levels(1, 2, 2);
    let address = levels.addresses();
    let (first, second) = (vec![address[0]], vec![address[1]]);
    let killed = thread::spawn(move || send_steadily(&first, "c", 60, Duration::from_millis(10)));
    let draining = thread::spawn(move || send_steadily(&second, "d", 60, Duration::from_millis(10)));
    thread::sleep(Duration::from_millis(300));
    levels.forwarders[0] = None; // SIGKILL
    levels.forwarders[1].as_ref().expect("the process is running").signal("TERM");
    killed.join().expect("the client thread panicked");
    let all = draining.join().expect("the client thread panicked");
    // Requests refused after the forwarder ended did not run. The requests that it had admitted got responses.
    assert_eq!(count_outcome(&all, "lost"), 0, "{all:?}");
    assert!(count_outcome(&all, "succeeded") >= 20);
    assert!(levels.forwarders[1].as_mut().expect("the process is running").exit().success());
    thread::sleep(Duration::from_millis(300));
    assert_eq!(ran_twice(&levels.ran()), 0);
}

/// Without any planner a forwarder serves by itself; without workers every client gets a rejection at once.
#[test]
fn a_forwarder_without_planners_decides_by_itself() {
    let mut levels = start_levels(0, 1, 2);
    let all = send_steadily(&levels.addresses(), "e", 60, Duration::from_millis(12));
    assert_eq!(count_outcome(&all, "succeeded"), 60);
    levels.workers = vec![None, None];
    levels.forwarders[0].as_ref().expect("the process is running").logged("takes none");
    levels.forwarders[0].as_ref().expect("the process is running").logged("takes none");
    let began = Instant::now();
    let all = send_steadily(&levels.addresses(), "f", 10, Duration::from_millis(1));
    assert_eq!(count_outcome(&all, "throttled") + count_outcome(&all, "errored"), 10, "{all:?}");
    assert!(began.elapsed() < Duration::from_secs(8), "{:?}", began.elapsed());
    assert!(served_value(&all) == 0.0);
}
