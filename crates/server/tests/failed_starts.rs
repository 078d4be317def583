//! A process that ends before it listens says why, in a line and with an exit code: the address that is taken, the file, the descriptors.

use cypresscleat_demo::Place;
use cypresscleat_fault_injection::free_port;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");
/// Exit code where something that the process needs is not to be had.
const FAILURE: i32 = 1;
/// Exit code of one that goes on until its time is up.
const TIMED_OUT: i32 = 124;
/// Exit code of a bad file.
const BAD_INPUT: i32 = 2;

/// A folder of this test's own.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("cypresscleat-failed-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Starts a role that is to end by itself; `limit` is its most descriptors.
fn starts(name: &str, role: &str, operator: &str, listen: SocketAddr, limit: Option<u32>) -> Output {
    let folder = folder(name);
    let mut all: Value = serde_json::from_str(CONFIG).expect("JSON");
    all["listen"] = json!(listen.to_string());
    for key in ["kernel", "ledger", "roster"] {
        all[key] = json!(free_port().to_string());
    }
    let (config, file) = (folder.join("config.json"), folder.join("operator.cue"));
    std::fs::write(&config, all.to_string()).expect("to write the configuration");
    std::fs::write(&file, operator).expect("to write the operator's file");
    let limit = limit.map_or(String::new(), |most| format!("ulimit -n {most}; "));
    let script = format!("{limit}exec timeout 8 {PROGRAM} {role} --operator {}", file.display());
    let output =
        Command::new("sh").args(["-c", &script]).env("EDGE_CONFIG", &config).env("EDGE_NAME", "n0").output();
    let _ = std::fs::remove_dir_all(folder);
    output.expect("to run the program")
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Control replicas that nobody plays, as the operator's file lists them.
fn others(names: &[&str]) -> String {
    let one = |name: &&str| format!("{{name: \"{name}\", address: \"{}\"}}", free_port());
    names.iter().map(one).collect::<Vec<_>>().join(", ")
}

/// Guards against ends without a cause: an address that another process holds was told without the address.
#[test]
fn an_address_in_use_is_named() {
    let stream = TcpListener::bind("127.0.0.1:0").expect("a port");
    let taken = stream.local_addr().expect("an address");
    let datagrams = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let taken_datagrams = datagrams.local_addr().expect("an address");
    let tier = format!(
        "tier: {{listen: \"{taken_datagrams}\", planners: [], workers: [{{name: \"w0\", address: \"{}\", places: 1}}]}}",
        free_port()
    );
    let scgi = format!(
        "scgi: {{listen: \"{taken}\", connections: 10, routes: [{{path: \"/r\", operation: \"report\"}}]}}"
    );
    let keepers = format!(
        "keepers: {{lease: 1s, all: [{{name: \"n0\", address: \"{taken_datagrams}\"}}, {}], folder: \"{}\"}}",
        others(&["k1", "k2"]),
        folder("replica").display()
    );
    let relay = format!(
        "keepers: {{lease: 1s, all: [{}]}}\nrelay: {{listen: \"{taken_datagrams}\", folder: \"{}\"}}",
        others(&["k0", "k1", "k2"]),
        folder("relay").display()
    );
    for (role, operator, listen, named) in [
        ("serve", "", taken, taken),
        ("serve", scgi.as_str(), free_port(), taken),
        ("forward", tier.as_str(), free_port(), taken_datagrams),
        ("plan", tier.as_str(), free_port(), taken_datagrams),
        ("control", keepers.as_str(), free_port(), taken_datagrams),
        ("relay", relay.as_str(), free_port(), taken_datagrams),
    ] {
        let output = starts(role, role, operator, listen, None);
        let said = said(&output);
        assert_eq!(output.status.code(), Some(FAILURE), "{role}: {said}");
        let is_named = |line: &str| line.contains(&named.to_string()) && line.contains("in use");
        assert!(said.lines().any(is_named), "{role}, {named}: {said}");
    }
}

/// Guards against ends without a cause where the system gives no descriptors: which step wanted one was not told.
#[test]
fn the_step_that_lacks_descriptors_is_named() {
    for limit in 4..16 {
        let output = starts("descriptors", "serve", "", free_port(), Some(limit));
        let said = said(&output);
        // With enough of them it serves until its time is up.
        if output.status.code() == Some(TIMED_OUT) {
            break;
        }
        let is_named = |line: &str| {
            line.contains("open files") && line.trim_start_matches("cypresscleat: ").contains(": ")
        };
        assert!(said.lines().any(is_named), "{limit}: {} {said}", output.status);
        assert_ne!(output.status.code(), Some(0), "{limit}: {said}");
    }
}

#[test]
fn a_configuration_that_is_not_there_is_named() {
    let output = Command::new(PROGRAM)
        .env("EDGE_CONFIG", "/nowhere/config.json")
        .output()
        .expect("to run the program");
    assert_eq!(output.status.code(), Some(BAD_INPUT));
    assert!(said(&output).contains("/nowhere/config.json"), "{}", said(&output));
}

/// The rig shows how a process ended that never listened: its exit code, and what it had said.
#[test]
fn the_rig_shows_the_end_of_a_process_that_never_listened() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("an address").to_string();
    let place = || Place::start(Path::new(PROGRAM), CONFIG, |all| all["listen"] = json!(address));
    let failed =
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(place)).err().expect("it never listens");
    let words = failed.downcast_ref::<String>().expect("words");
    assert!(words.contains("exit status: 1") && words.contains(&address), "{words}");
}
