//! Runs every scenario file of tests/core through the core, and the cases that need a loop or a table; the notation is described in
//! `core_cases/scenario.rs`.

#[path = "core_cases/broken_links.rs"]
mod broken_links;
#[path = "core_cases/commits.rs"]
mod commits;
#[path = "core_cases/drain_rows.rs"]
mod drain_rows;
#[path = "core_cases/gates.rs"]
mod gates;
#[path = "core_cases/keyed_requests.rs"]
mod keyed_requests;
#[path = "core_cases/resends.rs"]
mod resends;
#[path = "core_cases/scenario.rs"]
mod scenario;

use scenario::{flush_to_vec, Scenario};

#[test]
fn every_scenario_of_the_core() {
    let mut scenario_files: Vec<_> = std::fs::read_dir("tests/core").expect("tests/core").collect();
    scenario_files.sort_by_key(|file| file.as_ref().map(|file| file.path()).ok());
    for file in &scenario_files {
        let path = file.as_ref().expect("a file").path();
        println!("{}", path.display());
        let text = std::fs::read_to_string(&path).expect("a scenario");
        let lines = text.lines().filter(|line| !line.trim().is_empty() && !line.starts_with('#'));
        let changes: Vec<&str> = lines.clone().filter_map(|line| line.strip_prefix("config ")).collect();
        let mut scenario = Scenario::start(&changes);
        lines.filter(|line| !line.starts_with("config ")).for_each(|line| scenario.run_line(line));
        drop(scenario.core);
        scenario.peers.clear();
        scenario.shared.downstream.queue.borrow_mut().clear();
        flush_to_vec(&scenario.kernel);
        assert_eq!(scenario.shared.pool.in_use(), 0, "all buffers are returned to the pool");
    }
    assert!(scenario_files.len() > 5);
}

/// More requests are answered on closing connections than bodies are retained for. A request that is sent again must not run
/// again, whether or not its response body is still retained.
#[test]
fn requests_answered_on_many_closing_connections_are_not_run_again() {
    let mut scenario = Scenario::start(&[r#"/settings/categories/1/effect "fragile""#]);
    scenario.run_line(r#"0 kernel {"msg":"BOOTED","how":"WARM","duration":60000}"#);
    scenario.run_line("0 link");
    let result = r#""how":"OK","duration":5,"blob":"cmVzdWx0""#;
    for number in 1..=70 {
        let at = number * 10;
        scenario.run_line(&format!("{at} a{number} sends 1 {number}"));
        scenario.run_line(&format!("{at} a{number} told"));
        scenario.run_line(&format!(
            r#"{} kernel {{"msg":"REAP","serial":{number},"call":"{number:0>16}",{result}}}"#,
            at + 5
        ));
        scenario.run_line(&format!("expect a{number} 1 succeeded result"));
    }
    // The body of the oldest response is no longer retained, that of the newest is.
    scenario.run_line("710 b sends 1 1");
    scenario.run_line("expect b 1 errored");
    scenario.run_line("refuse kernel SCHED 1");
    scenario.run_line("710 b sends 2 70");
    scenario.run_line("expect b 2 succeeded result");
    scenario.run_line("owed 0");
}

/// The load feedback of a cold server, summed over all its clients, stays within what the server survives, whatever the number of
/// clients. A warm server reports the usual limits.
#[test]
fn load_feedback_of_a_cold_server_sums_to_at_most_what_it_survives() {
    for clients in [1, 8, 30] {
        let mut scenario = Scenario::start(&[&format!("/settings/specifics/upstreams {clients}")]);
        scenario.run_line(r#"0 kernel {"msg":"BOOTED","how":"COLD","duration":0}"#);
        scenario.run_line("0 link");
        let mut last = 0.0;
        for ms in (200..9_900).step_by(200) {
            scenario.run_line(&format!("{ms} pass"));
            let sum = scenario.shared.server_status.load_feedback.get().expect("load feedback")
                * f64::from(clients);
            // Two cores; the speed rises from 0.2 to 1 within 10 s; each core survives 8 concurrent runs.
            let max_survived = 2.0 * (1.0 + 7.0 * (0.2 + 0.8 * f64::from(ms) / 10_000.0));
            assert!(sum <= max_survived, "{clients} clients at {ms}: {sum} of {max_survived}");
            assert!(sum >= last, "the sum never falls");
            last = sum;
        }
        for ms in (10_000..14_000).step_by(200) {
            scenario.run_line(&format!("{ms} pass"));
        }
        let sum =
            scenario.shared.server_status.load_feedback.get().expect("load feedback") * f64::from(clients);
        let warm_sum = f64::from(clients * 2).max(2.0 * 3.0);
        assert!((sum - warm_sum).abs() < 0.01, "{clients} clients, warm: {sum}");
    }
}

/// The table of idempotency keys is full: a request with a new key is rejected and takes no entry, a retry with a known key gets
/// its result.
#[test]
fn requests_whose_idempotency_key_cannot_be_stored_are_rejected() {
    let window = r#"/settings/categories/1/memory_span_ns 60000000000"#;
    let mut scenario = Scenario::start(&[r#"/settings/categories/1/effect "dedup""#, window]);
    scenario.run_line(r#"0 kernel {"msg":"BOOTED","how":"WARM","duration":60000}"#);
    scenario.run_line("0 link");
    let run_request = |scenario: &mut Scenario, number: usize| {
        let at = number * 2;
        scenario.run_line(&format!("{at} a sends {number} {number:x} unique=k{number}"));
        scenario.run_line(&format!("expect kernel SCHED {number:x}"));
        let txn = format!("{number:0>16x}");
        scenario.run_line(&format!(
            r#"{} kernel {{"msg":"REAP","serial":{number},"call":"{txn}","how":"OK","duration":1,"blob":"b2s="}}"#,
            at + 1
        ));
        scenario.run_line(&format!("expect a {number} succeeded ok"));
    };
    (1..=4096).for_each(|number| run_request(&mut scenario, number));
    for (stream, name) in [(4097, "new"), (4098, "newer")] {
        scenario.run_line(&format!("8300 a sends {stream} {stream:x} unique={name}"));
        scenario.run_line(&format!("expect a {stream} throttled"));
        scenario.run_line(&format!("refuse kernel SCHED {stream:x}"));
    }
    scenario.run_line("8301 a sends 4099 ffff unique=k9");
    scenario.run_line("expect a 4099 succeeded ok");
    // The table has room again once the first retention windows are over and no retry sent within them can still be unread.
    scenario.run_line("68301 a sends 4100 fffe unique=new");
    scenario.run_line("expect kernel SCHED fffe ask");
}

/// Guards against a crash: a connection that ends with several attempts of one request open withdraws each of them, although the
/// end of the first hands its request to a later one and releases that one's slot. Other connections are served on.
#[test]
fn a_connection_that_ends_with_several_attempts_of_one_request_withdraws_each() {
    let reap = |serial: u32, txn: &str| {
        format!(
            r#"kernel {{"msg":"REAP","serial":{serial},"call":"{txn:0>16}","how":"OK","duration":30,"blob":"cmVzdWx0"}}"#
        )
    };
    let table: [(&str, &[&str]); 8] = [
        (
            "the first attempt runs",
            &["10 a sends 1 1 unique=k", "20 a sends 2 2 unique=k", "30 a closes", "owed 1", "50 REAP 1"],
        ),
        (
            "three attempts, the first of which runs",
            &[
                "10 a sends 1 1 unique=k",
                "20 a sends 2 2 unique=k",
                "20 a sends 3 3 unique=k",
                "30 a closes",
                "owed 1",
                "50 REAP 1",
            ],
        ),
        (
            "two requests of two attempts each",
            &[
                "10 a sends 1 1 unique=k",
                "10 a sends 2 2 unique=other",
                "20 a sends 3 3 unique=k",
                "20 a sends 4 4 unique=other",
                "30 a closes",
                "owed 1",
                "50 REAP 1",
                "50 REAP 2",
            ],
        ),
        (
            "the first attempt waits for its downstream call",
            &[
                "10 a sends 1 1 unique=k",
                r#"15 kernel {"msg":"IOREQ","serial":1,"call":"0000000000000001","blob":"cHV0"}"#,
                "expect ledger post 1",
                "20 a sends 2 2 unique=k",
                "30 a closes",
                "owed 1",
                "50 REAP 1",
                "expect ledger abandon 1",
            ],
        ),
        (
            "the first attempt was sent again after the second",
            &[
                "10 c sends 1 1 unique=k",
                "11 c told",
                "12 a sends 1 2 unique=k",
                "13 a sends 2 1 unique=k",
                "30 a closes",
                "owed 1",
                "50 REAP 1",
                "refuse c 1",
            ],
        ),
        (
            "a third attempt on another connection gets the result",
            &[
                "10 a sends 1 1 unique=k",
                "20 a sends 2 2 unique=k",
                "20 c sends 1 3 unique=k",
                "30 a closes",
                "owed 2",
                "50 REAP 1",
                "expect c 1 succeeded result",
            ],
        ),
        (
            "the first attempt is on another connection",
            &[
                "10 c sends 1 1 unique=k",
                "20 a sends 1 2 unique=k",
                "20 a sends 2 3 unique=k",
                "30 a closes",
                "owed 2",
                "50 REAP 1",
                "expect c 1 succeeded result",
            ],
        ),
        ("no other attempt", &["10 a sends 1 1 unique=k", "30 a closes", "owed 1", "50 REAP 1"]),
    ];
    for (name, steps) in table {
        println!("{name}");
        let mut scenario = Scenario::start(&[
            r#"/settings/categories/1/effect "dedup""#,
            r#"/settings/categories/1/memory_span_ns 2000000000"#,
        ]);
        scenario.run_line(r#"0 kernel {"msg":"BOOTED","how":"WARM","duration":60000}"#);
        scenario.run_line("0 link");
        scenario.run_line("5 b sends 1 b verb=report");
        for step in steps {
            match step.split_once(" REAP ") {
                Some((at, txn)) => {
                    scenario.run_line(&format!("{at} {}", reap(txn.parse().expect("a txn"), txn)));
                    scenario.run_line("refuse a");
                }
                None => scenario.run_line(step),
            }
        }
        scenario.run_line(&format!("60 {}", reap(9, "b")));
        scenario.run_line("expect b 1 succeeded result");
        scenario.run_line("owed 0");
        // The request ran once: another attempt gets its result.
        scenario.run_line("70 b sends 2 c unique=k");
        scenario.run_line("refuse kernel SCHED");
        scenario.run_line("expect b 2 succeeded result");
    }
}

/// Guards against a crash, and against a run for nobody: a queued request ends with the connection that all its attempts came on,
/// and its idempotency key is free again.
#[test]
fn a_connection_that_ends_takes_a_queued_request_and_all_its_attempts_with_it() {
    let mut scenario = Scenario::start(&[
        r#"/settings/categories/1/effect "dedup""#,
        r#"/settings/categories/1/memory_span_ns 2000000000"#,
        "/settings/specifics/cores 1",
        "/settings/obligations/tip_multiple 1.1",
    ]);
    let reap = |serial: u32, txn: &str| {
        format!(
            r#"kernel {{"msg":"REAP","serial":{serial},"call":"{txn:0>16}","how":"OK","duration":30,"blob":"cmVzdWx0"}}"#
        )
    };
    scenario.run_line(r#"0 kernel {"msg":"BOOTED","how":"WARM","duration":60000}"#);
    scenario.run_line("0 link");
    scenario.run_line("0 b sends 1 b verb=report");
    scenario.run_line("expect kernel SCHED b");
    scenario.run_line("1 a sends 1 1 unique=k");
    scenario.run_line("refuse kernel SCHED 1");
    scenario.run_line("2 a sends 2 2 unique=k");
    scenario.run_line("owed 3");
    scenario.run_line("3 a closes");
    scenario.run_line("owed 1");
    scenario.run_line(&format!("30 {}", reap(1, "b")));
    scenario.run_line("expect b 1 succeeded result");
    scenario.run_line("refuse kernel SCHED");
    scenario.run_line("owed 0");
    scenario.run_line("40 b sends 2 3 unique=k");
    scenario.run_line("expect kernel SCHED 3 ask");
    scenario.run_line(&format!("50 {}", reap(2, "3")));
    scenario.run_line("expect b 2 succeeded result");
}

/// Guards other clients' requests: a retry that was answered with its first attempt's failure and then released is forgotten, and a
/// new request in its slot keeps its client.
#[test]
fn a_retry_that_was_answered_and_released_leaves_the_next_request_in_its_slot_alone() {
    let start = || {
        let mut scenario = Scenario::start(&[
            r#"/settings/categories/1/effect "dedup""#,
            r#"/settings/categories/1/memory_span_ns 20000000000"#,
        ]);
        scenario.run_line(r#"0 kernel {"msg":"BOOTED","how":"WARM","duration":60000}"#);
        scenario.run_line("0 link");
        scenario.run_line("10 a sends 1 1 unique=k");
        scenario.run_line("40 a sends 2 2 unique=k");
        scenario
    };
    let run_next = |mut scenario: Scenario, ms: u32| {
        scenario.run_line(&format!("{ms} b sends 1 3 verb=report"));
        scenario.run_line("expect kernel SCHED 3");
        scenario.run_line("refuse kernel PREEMPT 3");
        let reap =
            r#""msg":"REAP","serial":1,"call":"0000000000000003","how":"OK","duration":5,"blob":"cmVzdWx0""#;
        scenario.run_line(&format!("{} kernel {{{reap}}}", ms + 10));
        scenario.run_line("expect b 1 succeeded result");
    };
    println!("both attempts run out of time, the retry a little later");
    let mut scenario = start();
    scenario.run_line("3015 pass");
    scenario.run_line("expect a 1 errored");
    scenario.run_line("expect a 2 errored");
    scenario.run_line("3100 pass");
    run_next(scenario, 3200);
    println!("the connection is closed for a violation");
    let mut scenario = start();
    scenario.run_line("50 a sends 3 1 body=other unique=k3");
    scenario.run_line("expect a 1 errored");
    scenario.run_line("expect a 2 errored");
    run_next(scenario, 60);
}
