//! Requests with an idempotency key whose run does not start, or whose first client has left.

use super::scenario::{Scenario, StoreMode};

fn start_keyed(store: StoreMode) -> Scenario {
    let mut scenario = Scenario::start_with_store(
        &[r#"/settings/categories/1/effect "dedup""#, "/settings/categories/1/memory_span_ns 20000000000"],
        store,
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
