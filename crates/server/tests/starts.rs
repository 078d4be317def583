//! Thirty processes started at once, with what may be missing then: the roster, the kernel, keepers, planners; or with much to
//! recover, or a configuration that is replaced in the first second. Each says itself when it was ready; nine in ten within ten
//! seconds, all within thirty.

use cypresscleat_demo::{report, Kernel, Link, Place};
use cypresscleat_store::disk::DiskDirectory;
use cypresscleat_store::{Store, StoreOptions};
use serde_json::json;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");
const MANY: usize = 30;

/// An address where nobody listens: it was free a moment ago, and stays this test's.
fn nobody() -> SocketAddr {
    cypresscleat_fault_injection::free_port()
}

/// A roster for all, which is there after a while.
fn roster(at: SocketAddr, after: Duration) {
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

/// Milliseconds until the last of listening, kernel and report, as the process says.
fn ready(place: &Place) -> u64 {
    let line = place.logged("ready: ");
    let number = |word: &str| word.parse::<u64>().ok();
    line.split(' ').filter_map(number).max().unwrap_or_else(|| panic!("no figures in {line}"))
}

/// Starts them all with `operator`'s text, each kernel up after `late` for every third; those of whom `hup` get SIGHUP at once.
fn starts(operator: impl Fn(usize) -> String, late: Duration, hup: bool) -> Vec<u64> {
    let at = nobody();
    roster(at, Duration::from_secs(1));
    let places: Vec<Place> = (0..MANY)
        .map(|number| {
            Place::start_with(Path::new(PROGRAM), CONFIG, &operator(number), |all| {
                all["name"] = json!(format!("n{number}"));
                all["roster"] = json!(at.to_string());
                all["stop_ms"] = json!(1000);
            })
        })
        .collect();
    let until = Instant::now() + late;
    let mut kernels: Vec<(usize, Kernel)> =
        places.iter().enumerate().map(|(at, place)| (at, Kernel::accept(&place.kernel).0)).collect();
    kernels.iter_mut().filter(|(at, _)| at % 3 > 0).for_each(|(_, kernel)| kernel.boot("COLD"));
    if hup {
        places.iter().for_each(|place| place.signal("HUP"));
    }
    thread::sleep(until.saturating_duration_since(Instant::now()));
    kernels.iter_mut().filter(|(at, _)| at % 3 == 0).for_each(|(_, kernel)| kernel.boot("COLD"));
    places.iter().map(ready).collect()
}

fn in_time(mut all: Vec<u64>, what: &str) {
    all.sort();
    println!("{what}: {all:?}");
    assert!(all[MANY * 9 / 10 - 1] <= 10_000, "{what}: nine in ten within 10 s: {all:?}");
    assert!(all[MANY - 1] <= 30_000, "{what}: all within 30 s: {all:?}");
}

#[test]
fn with_the_roster_down_and_kernels_that_come_late() {
    let all = starts(|_| String::new(), Duration::from_secs(2), false);
    // Those whose kernel was there wait for the roster only, and don't find it all in one moment.
    let mut waited: Vec<u64> =
        all.iter().copied().enumerate().filter(|(at, _)| at % 3 > 0).map(|(_, ms)| ms).collect();
    waited.sort();
    assert!(waited[waited.len() - 1] - waited[0] >= 200, "one wave: {waited:?}");
    in_time(all, "plain");
}

#[test]
fn with_a_new_configuration_in_the_first_second() {
    in_time(starts(|_| String::new(), Duration::ZERO, true), "SIGHUP");
}

/// A folder of the test's own, gone with it.
struct Own(PathBuf);

impl Own {
    fn new(name: &str) -> Own {
        let folder = std::env::temp_dir().join(format!("cypresscleat-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        Own(folder)
    }
}

impl Drop for Own {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn with_a_store_that_has_much_to_recover() {
    let own = Own::new("starts-store");
    let first = own.0.join("s0");
    std::fs::create_dir_all(&first).expect("a folder");
    let mut store = Store::open(DiskDirectory::open(&first).expect("a folder"), StoreOptions::default())
        .expect("a store");
    for row in 0..20_000 {
        store.put(format!("b/{row:016}/x").as_bytes(), &[7; 100]).expect("to put");
    }
    store.commit(true).expect("to commit");
    drop(store);
    for at in 1..MANY {
        let folder = own.0.join(format!("s{at}"));
        std::fs::create_dir_all(&folder).expect("a folder");
        for file in std::fs::read_dir(&first).expect("its files").flatten() {
            std::fs::copy(file.path(), folder.join(file.file_name())).expect("a copy");
        }
    }
    let operator =
        |at| format!("store: {{folder: {:?}}}\n", own.0.join(format!("s{at}")).display().to_string());
    in_time(starts(operator, Duration::ZERO, false), "store");
}

/// No keeper answers: the operator's file lets them begin alone after two seconds. What they say to the roster is off until then.
#[test]
fn with_a_policy_and_no_keeper() {
    let own = Own::new("starts-policy");
    let all: Vec<String> =
        (0..3).map(|at| format!("{{name: \"k{at}\", address: \"{}\"}}", nobody())).collect();
    let keepers = all.join(", ");
    let operator = |at| {
        let folder = own.0.join(format!("p{at}")).display().to_string();
        format!("keepers: {{lease: 1s, all: [{keepers}]}}\nrollout: {{folder: {folder:?}, alone: 2s}}\n")
    };
    in_time(starts(operator, Duration::ZERO, false), "policy");
}

/// Forwarders whose planner is not there: nothing else has to come up.
#[test]
fn with_a_tier_and_no_planner() {
    let at = nobody();
    roster(at, Duration::from_secs(1));
    let (planner, worker) = (nobody(), nobody());
    let places: Vec<Place> = (0..MANY)
        .map(|number| {
            let listen = nobody();
            let operator = format!(
                "tier: {{listen: \"{listen}\", planners: [{{name: \"p0\", address: \"{planner}\"}}], \
                 workers: [{{name: \"w0\", address: \"{worker}\", places: 4}}]}}"
            );
            Place::start_as(Path::new(PROGRAM), "forward", CONFIG, &operator, |all| {
                all["name"] = json!(format!("f{number}"));
                all["roster"] = json!(at.to_string());
            })
        })
        .collect();
    in_time(places.iter().map(ready).collect(), "tier");
}
