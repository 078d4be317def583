//! Thirty processes start at once while a party is missing: the service registry, the executor, control replicas or planners; or
//! with much to recover, or with a configuration that is replaced in the first second. Each process logs when it was ready: nine
//! in ten must be ready within ten seconds, all within thirty.

use cypresscleat_demo::{report, Deployment, Kernel, Link};
use cypresscleat_store::disk::DiskDirectory;
use cypresscleat_store::{Store, StoreOptions};
use serde_json::json;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");
const PROCESSES: usize = 30;

/// Returns a free address without a listener, reserved for this test.
fn unused_address() -> SocketAddr {
    cypresscleat_fault_injection::free_port()
}

/// Runs a service registry for all processes, which listens only after the given time.
fn run_registry(at: SocketAddr, after: Duration) {
    thread::spawn(move || {
        thread::sleep(after);
        let listener = TcpListener::bind(at).expect("its port");
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut link = Link::new(stream);
                while report(&mut link, "204 No Content").is_some() {}
            });
        }
    });
}

/// Milliseconds until the last of listening, executor and report, as the process logs them.
fn ready_ms(place: &Deployment) -> u64 {
    let line = place.logged("ready: ");
    let number = |word: &str| word.parse::<u64>().ok();
    line.split(' ').filter_map(number).max().unwrap_or_else(|| panic!("no figures in {line}"))
}

/// Starts all processes with the text of `operator`. The executor of every third process is up only after `delay`. With `hup` all
/// processes get SIGHUP at once.
fn start_all(operator: impl Fn(usize) -> String, delay: Duration, hup: bool) -> Vec<u64> {
    let at = unused_address();
    run_registry(at, Duration::from_secs(1));
    let places: Vec<Deployment> = (0..PROCESSES)
        .map(|number| {
            Deployment::start_with(Path::new(PROGRAM), CONFIG, &operator(number), |all| {
                all["name"] = json!(format!("n{number}"));
                all["roster"] = json!(at.to_string());
                all["stop_ms"] = json!(1000);
            })
        })
        .collect();
    let until = Instant::now() + delay;
    let mut kernels: Vec<(usize, Kernel)> =
        places.iter().enumerate().map(|(at, place)| (at, Kernel::accept(&place.kernel).0)).collect();
    kernels.iter_mut().filter(|(at, _)| at % 3 > 0).for_each(|(_, kernel)| kernel.boot("COLD"));
    if hup {
        places.iter().for_each(|place| place.signal("HUP"));
    }
    thread::sleep(until.saturating_duration_since(Instant::now()));
    kernels.iter_mut().filter(|(at, _)| at % 3 == 0).for_each(|(_, kernel)| kernel.boot("COLD"));
    places.iter().map(ready_ms).collect()
}

fn assert_ready_in_time(mut all: Vec<u64>, what: &str) {
    all.sort();
    println!("{what}: {all:?}");
    assert!(all[PROCESSES * 9 / 10 - 1] <= 10_000, "{what}: nine in ten ready within 10 s: {all:?}");
    assert!(all[PROCESSES - 1] <= 30_000, "{what}: all ready within 30 s: {all:?}");
}

#[test]
fn start_with_the_registry_down_and_late_executors() {
    let all_ms = start_all(|_| String::new(), Duration::from_secs(2), false);
    // Processes whose executor was up wait only for the registry, and must not reach it all at the same time.
    let mut waited_ms: Vec<u64> =
        all_ms.iter().copied().enumerate().filter(|(at, _)| at % 3 > 0).map(|(_, ms)| ms).collect();
    waited_ms.sort();
    assert!(waited_ms[waited_ms.len() - 1] - waited_ms[0] >= 200, "all in one wave: {waited_ms:?}");
    assert_ready_in_time(all_ms, "plain");
}

#[test]
fn start_with_a_new_configuration_in_the_first_second() {
    assert_ready_in_time(start_all(|_| String::new(), Duration::ZERO, true), "SIGHUP");
}

/// A folder of one test, deleted on drop.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> TestFolder {
        let folder = std::env::temp_dir().join(format!("cypresscleat-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        TestFolder(folder)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn start_with_a_store_that_has_much_to_recover() {
    let test_folder = TestFolder::new("starts-store");
    let first = test_folder.0.join("s0");
    std::fs::create_dir_all(&first).expect("a folder");
    let mut store = Store::open(DiskDirectory::open(&first).expect("a folder"), StoreOptions::default())
        .expect("a store");
    for row in 0..20_000 {
        store.put(format!("b/{row:016}/x").as_bytes(), &[7; 100]).expect("to put");
    }
    store.commit(true).expect("to commit");
    drop(store);
    for at in 1..PROCESSES {
        let folder = test_folder.0.join(format!("s{at}"));
        std::fs::create_dir_all(&folder).expect("a folder");
        for file in std::fs::read_dir(&first).expect("its files").flatten() {
            std::fs::copy(file.path(), folder.join(file.file_name())).expect("a copy");
        }
    }
    let operator =
        |at| format!("store: {{folder: {:?}}}\n", test_folder.0.join(format!("s{at}")).display().to_string());
    assert_ready_in_time(start_all(operator, Duration::ZERO, false), "store");
}

/// No control replica responds: the operator's file lets the processes start alone after two seconds. Until then they report
/// "off" to the service registry.
#[test]
fn start_with_a_policy_and_no_control_replica() {
    let test_folder = TestFolder::new("starts-policy");
    let replica_entries: Vec<String> =
        (0..3).map(|at| format!("{{name: \"k{at}\", address: \"{}\"}}", unused_address())).collect();
    let replicas = replica_entries.join(", ");
    let operator = |at| {
        let folder = test_folder.0.join(format!("p{at}")).display().to_string();
        format!("keepers: {{lease: 1s, all: [{replicas}]}}\nrollout: {{folder: {folder:?}, alone: 2s}}\n")
    };
    assert_ready_in_time(start_all(operator, Duration::ZERO, false), "policy");
}

/// Forwarders without a planner: they depend on no other party.
#[test]
fn start_with_a_tier_and_no_planner() {
    let at = unused_address();
    run_registry(at, Duration::from_secs(1));
    let (planner, worker) = (unused_address(), unused_address());
    let places: Vec<Deployment> = (0..PROCESSES)
        .map(|number| {
            let listen = unused_address();
            let operator = format!(
                "tier: {{listen: \"{listen}\", planners: [{{name: \"p0\", address: \"{planner}\"}}], \
                 workers: [{{name: \"w0\", address: \"{worker}\", places: 4}}]}}"
            );
            Deployment::start_as(Path::new(PROGRAM), "forward", CONFIG, &operator, |all| {
                all["name"] = json!(format!("f{number}"));
                all["roster"] = json!(at.to_string());
            })
        })
        .collect();
    assert_ready_in_time(places.iter().map(ready_ms).collect(), "tier");
}
