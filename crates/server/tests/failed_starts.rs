//! A process that fails before it listens states the cause in a log line and by its exit code: the address in use, the file, the
//! lack of descriptors.

use cypresscleat_demo::Deployment;
use cypresscleat_fault_injection::free_port;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");
/// Exit code if a resource that the process needs is not available.
const UNAVAILABLE: i32 = 1;
/// Exit code of `timeout` for a process that still runs at the end of its time.
const TIMED_OUT: i32 = 124;
/// Exit code for an invalid file.
const BAD_INPUT: i32 = 2;

/// Creates an empty folder for one test.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("cypresscleat-failed-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Starts a role that should exit by itself; `limit` is its maximum number of descriptors.
fn run_role(name: &str, role: &str, operator: &str, listen: SocketAddr, limit: Option<u32>) -> Output {
    let folder = folder(name);
    let mut json_config: Value = serde_json::from_str(CONFIG).expect("JSON");
    json_config["listen"] = json!(listen.to_string());
    for key in ["kernel", "ledger", "roster"] {
        json_config[key] = json!(free_port().to_string());
    }
    let (config, file) = (folder.join("config.json"), folder.join("operator.cue"));
    std::fs::write(&config, json_config.to_string()).expect("to write the configuration");
    std::fs::write(&file, operator).expect("to write the operator's file");
    let limit = limit.map_or(String::new(), |max_descriptors| format!("ulimit -n {max_descriptors}; "));
    let script = format!("{limit}exec timeout 8 {PROGRAM} {role} --operator {}", file.display());
    let output =
        Command::new("sh").args(["-c", &script]).env("EDGE_CONFIG", &config).env("EDGE_NAME", "n0").output();
    let _ = std::fs::remove_dir_all(folder);
    output.expect("to run the program")
}

fn log_of(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Entries of the operator's file for control replicas that do not run.
fn absent_replicas(names: &[&str]) -> String {
    let entry = |name: &&str| format!("{{name: \"{name}\", address: \"{}\"}}", free_port());
    names.iter().map(entry).collect::<Vec<_>>().join(", ")
}

/// Guards against exits without a stated cause: the error for an address in use did not name the address.
#[test]
fn an_address_in_use_is_named() {
    let stream = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address_in_use = stream.local_addr().expect("an address");
    let datagrams = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let datagram_address_in_use = datagrams.local_addr().expect("an address");
    let tier = format!(
        "tier: {{listen: \"{datagram_address_in_use}\", planners: [], workers: [{{name: \"w0\", address: \"{}\", places: 1}}]}}",
        free_port()
    );
    let scgi = format!(
        "scgi: {{listen: \"{address_in_use}\", connections: 10, routes: [{{path: \"/r\", operation: \"report\"}}]}}"
    );
    let keepers = format!(
        "keepers: {{lease: 1s, all: [{{name: \"n0\", address: \"{datagram_address_in_use}\"}}, {}], folder: \"{}\"}}",
        absent_replicas(&["k1", "k2"]),
        folder("replica").display()
    );
    let relay = format!(
        "keepers: {{lease: 1s, all: [{}]}}\nrelay: {{listen: \"{datagram_address_in_use}\", folder: \"{}\"}}",
        absent_replicas(&["k0", "k1", "k2"]),
        folder("relay").display()
    );
    for (role, operator, listen, named) in [
        ("serve", "", address_in_use, address_in_use),
        ("serve", scgi.as_str(), free_port(), address_in_use),
        ("forward", tier.as_str(), free_port(), datagram_address_in_use),
        ("plan", tier.as_str(), free_port(), datagram_address_in_use),
        ("control", keepers.as_str(), free_port(), datagram_address_in_use),
        ("relay", relay.as_str(), free_port(), datagram_address_in_use),
    ] {
        let output = run_role(role, role, operator, listen, None);
        let log = log_of(&output);
        assert_eq!(output.status.code(), Some(UNAVAILABLE), "{role}: {log}");
        let is_named = |line: &str| line.contains(&named.to_string()) && line.contains("in use");
        assert!(log.lines().any(is_named), "{role}, {named}: {log}");
    }
}

/// Guards against exits without a stated cause when the system has no free descriptors: the error did not name the failed step.
#[test]
fn the_step_that_lacks_descriptors_is_named() {
    for limit in 4..16 {
        let output = run_role("descriptors", "serve", "", free_port(), Some(limit));
        let log = log_of(&output);
        // With enough descriptors the server runs until its time is up.
        if output.status.code() == Some(TIMED_OUT) {
            break;
        }
        let is_named = |line: &str| {
            line.contains("open files") && line.trim_start_matches("cypresscleat: ").contains(": ")
        };
        assert!(log.lines().any(is_named), "{limit}: {} {log}", output.status);
        assert_ne!(output.status.code(), Some(0), "{limit}: {log}");
    }
}

#[test]
fn a_missing_configuration_file_is_named() {
    let output = Command::new(PROGRAM)
        .env("EDGE_CONFIG", "/nowhere/config.json")
        .output()
        .expect("to run the program");
    assert_eq!(output.status.code(), Some(BAD_INPUT));
    assert!(log_of(&output).contains("/nowhere/config.json"), "{}", log_of(&output));
}

/// The test setup reports how a process that never listened has ended: its exit code and its log.
#[test]
fn the_test_setup_shows_the_exit_of_a_process_that_never_listened() {
    let address_in_use = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = address_in_use.local_addr().expect("an address").to_string();
    let start = || {
        Deployment::start(Path::new(PROGRAM), CONFIG, |json_config| json_config["listen"] = json!(address))
    };
    let failed = std::panic::catch_unwind(std::panic::AssertUnwindSafe(start))
        .err()
        .expect("the process never listens");
    let message = failed.downcast_ref::<String>().expect("a text");
    assert!(message.contains("exit status: 1") && message.contains(&address), "{message}");
}
