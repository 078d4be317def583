//! Requests with an idempotency key whose run does not start, or whose first client has left.

use super::scenario::{Scenario, StoreMode, StoreSetup};

fn start_keyed(store: StoreMode) -> Scenario {
    start_keyed_on(StoreSetup::new(store))
}

fn start_keyed_on(setup: StoreSetup) -> Scenario {
    let mut scenario = Scenario::start_with_setup(
        &[r#"/settings/categories/1/effect "dedup""#, "/settings/categories/1/memory_span_ns 20000000000"],
        setup,
    );
    scenario.run_line(r#"0 kernel {"msg":"BOOTED","how":"WARM","duration":60000}"#);
    scenario.run_line("0 link");
    scenario
}

/// Guards against a client that waits for the whole retention of its key, past its timeout: a run that never started is answered at
/// once, whether the executor did not start it or the store could not record its start.
#[test]
fn a_keyed_request_whose_run_never_starts_is_answered_at_once() {
    let moot = r#"{"msg":"REAP","serial":1,"call":"0000000000000001","how":"MOOT","duration":0}"#;
    for store in [StoreMode::None, StoreMode::RespondBeforeCommit, StoreMode::RespondAfterCommit] {
        println!("not started by the executor, {store:?}");
        let mut scenario = start_keyed(store);
        scenario.run_line("10 a sends 1 1 unique=k");
        scenario.run_line("11 b sends 1 2 unique=k");
        scenario.run_line(&format!("20 kernel {moot}"));
        scenario.run_line("expect a 1 errored");
        scenario.run_line("expect b 1 errored");
        scenario.run_line("owed 0");
    }
    for store in [StoreMode::RespondBeforeCommit, StoreMode::RespondAfterCommit] {
        println!("the start could not be recorded, {store:?}");
        let mut scenario = start_keyed(store);
        scenario.fails_commits = true;
        scenario.run_line("10 a sends 1 1 unique=k");
        scenario.run_line("refuse kernel SCHED 1");
        scenario.run_line("expect a 1 errored");
        scenario.run_line("owed 0");
        // The store keeps again; nothing has run under the key, so its next attempt runs.
        scenario.fails_commits = false;
        scenario.recover_store();
        scenario.run_line("50 a sends 2 2 unique=k");
        scenario.run_line("expect kernel SCHED 2 ask");
    }
}

/// Guards the bill: a success that only a retry gets, as the first client has left, has its billing row like any other.
#[test]
fn a_success_that_only_a_retry_gets_is_billed() {
    let done =
        r#"{"msg":"REAP","serial":1,"call":"0000000000000001","how":"OK","duration":30,"blob":"cmVzdWx0"}"#;
    for store in [StoreMode::RespondBeforeCommit, StoreMode::RespondAfterCommit] {
        for retries in [1, 2] {
            let mut scenario = start_keyed(store);
            scenario.run_line("10 a sends 1 1 unique=k");
            scenario.run_line("expect kernel SCHED 1 ask");
            scenario.run_line("15 a leaves 1");
            for retry in 1..=retries {
                scenario.run_line(&format!("20 b sends {retry} {} unique=k", retry + 1));
            }
            scenario.run_line(&format!("owed {retries}"));
            scenario.run_line(&format!("40 kernel {done}"));
            for retry in 1..=retries {
                scenario.run_line(&format!("expect b {retry} succeeded result"));
            }
            scenario.run_line("owed 0");
            let billed = scenario.rows.iter().filter(|key| key.starts_with("b/")).count();
            assert_eq!(billed, 1, "{store:?}, {retries} retries: {:?}", scenario.rows);
        }
    }
}

/// Retries of a run that has succeeded for nobody, what they get, and the number of billing rows that they leave.
struct LateRetries {
    name: &'static str,
    steps: &'static [&'static str],
    rows: usize,
}

const LATE_RETRIES: [LateRetries; 6] = [
    LateRetries { name: "none", steps: &["100 pass"], rows: 0 },
    LateRetries { name: "one", steps: &["100 b sends 1 2 unique=k", "expect b 1 succeeded result"], rows: 1 },
    LateRetries {
        name: "one after the other",
        steps: &[
            "100 b sends 1 2 unique=k",
            "expect b 1 succeeded result",
            "110 b sends 2 3 unique=k",
            "expect b 2 succeeded result",
        ],
        rows: 1,
    },
    LateRetries {
        name: "two at once",
        steps: &["HOLD", "100 b sends 1 2 unique=k", "100 c sends 1 3 unique=k", "COMMIT", "owed 0"],
        rows: 1,
    },
    LateRetries {
        name: "one that closes before its answer, and another",
        steps: &[
            "HOLD",
            "100 b sends 1 2 unique=k",
            "101 b closes",
            "COMMIT",
            "110 c sends 1 3 unique=k",
            "expect c 1 succeeded result",
        ],
        rows: 1,
    },
    LateRetries {
        name: "one whose row can't be written, and another",
        steps: &[
            "FAIL",
            "100 b sends 1 2 unique=k",
            "KEEP",
            "110 c sends 1 3 unique=k",
            "expect c 1 succeeded result",
        ],
        rows: 1,
    },
];

/// Guards the bill: a success that only a later retry gets, the first client having left, has one billing row, which the first retry
/// that is served writes, also after a restart.
#[test]
fn a_success_that_only_a_later_retry_gets_is_billed_once() {
    let done =
        r#"{"msg":"REAP","serial":1,"call":"0000000000000001","how":"OK","duration":30,"blob":"cmVzdWx0"}"#;
    for store in [StoreMode::RespondBeforeCommit, StoreMode::RespondAfterCommit] {
        for restarts in [false, true] {
            for retries in &LATE_RETRIES {
                println!("{store:?}, restarts: {restarts}, {}", retries.name);
                let mut scenario = start_keyed(store);
                scenario.run_line("10 a sends 1 1 unique=k");
                scenario.run_line("15 a closes");
                scenario.run_line(&format!("40 kernel {done}"));
                if restarts {
                    let recovered = scenario.recovered();
                    scenario = start_keyed_on(StoreSetup { recovered, ..StoreSetup::new(store) });
                }
                for step in retries.steps {
                    match *step {
                        "HOLD" => scenario.holds_commits = true,
                        "COMMIT" => {
                            scenario.holds_commits = false;
                            scenario.run_line("105 pass");
                        }
                        "FAIL" => scenario.fails_commits = true,
                        "KEEP" => {
                            scenario.fails_commits = false;
                            scenario.recover_store();
                        }
                        step => scenario.run_line(step),
                    }
                }
                scenario.run_line("120 pass");
                scenario.run_line("owed 0");
                let billed = scenario.rows.iter().filter(|key| key.starts_with("b/")).count();
                assert_eq!(billed, retries.rows, "{:?}", scenario.rows);
            }
        }
    }
}

/// Guards the bill: where the row of a success could not be written and its client was told of a failure, the retry that gets the result
/// writes one.
#[test]
fn a_success_whose_row_was_lost_is_billed_when_a_retry_gets_it() {
    let done =
        r#"{"msg":"REAP","serial":1,"call":"0000000000000001","how":"OK","duration":30,"blob":"cmVzdWx0"}"#;
    let mut scenario = start_keyed(StoreMode::RespondAfterCommit);
    scenario.run_line("10 a sends 1 1 unique=k");
    scenario.fails_commits = true;
    scenario.run_line(&format!("40 kernel {done}"));
    scenario.run_line("expect a 1 errored");
    scenario.fails_commits = false;
    scenario.recover_store();
    for (stream, txn) in [(2, 2), (3, 3)] {
        scenario.run_line(&format!("50 a sends {stream} {txn} unique=k"));
        scenario.run_line(&format!("expect a {stream} succeeded result"));
    }
    let billed = scenario.rows.iter().filter(|key| key.starts_with("b/")).count();
    assert_eq!(billed, 1, "{:?}", scenario.rows);
}

/// Guards against another request's result, and against a run that is held back for a record that it does not need: a request of a class
/// without idempotency keys carries one that a keyed request has.
#[test]
fn a_key_on_a_class_without_keys_is_ignored() {
    let reap = |ms: u32, txn: u32, blob: &str| {
        let end = r#""how":"OK","duration":5"#;
        format!(r#"{ms} kernel {{"msg":"REAP","serial":{txn},"call":"{txn:0>16}",{end},"blob":"{blob}"}}"#)
    };
    for store in [StoreMode::None, StoreMode::RespondBeforeCommit, StoreMode::RespondAfterCommit] {
        println!("{store:?}");
        let mut scenario = start_keyed(store);
        scenario.run_line("10 a sends 1 1 unique=k");
        scenario.run_line(&reap(20, 1, "cmVzdWx0"));
        scenario.run_line("expect a 1 succeeded result");
        scenario.run_line("30 a sends 2 2 verb=report unique=k");
        scenario.run_line("expect kernel SCHED 2 ask");
        scenario.run_line(&reap(40, 2, "b3RoZXI="));
        scenario.run_line("expect a 2 succeeded other");
        scenario.run_line("50 b sends 1 3 unique=k");
        scenario.run_line("expect b 1 succeeded result");
    }
}

/// Guards a keyed class without a retry window: its requests have no entry, and run.
#[test]
fn a_keyed_request_without_a_retry_window_runs() {
    for store in [StoreMode::None, StoreMode::RespondAfterCommit] {
        let settings =
            [r#"/settings/categories/1/effect "dedup""#, "/settings/categories/1/memory_span_ns 0"];
        let mut scenario = Scenario::start_with_store(&settings, store);
        scenario.run_line(r#"0 kernel {"msg":"BOOTED","how":"WARM","duration":60000}"#);
        scenario.run_line("0 link");
        scenario.run_line("10 a sends 1 1 unique=k");
        scenario.run_line("expect kernel SCHED 1 ask");
    }
}
