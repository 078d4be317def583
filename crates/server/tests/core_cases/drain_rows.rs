//! The rows that name the requests that are open in a drain: what a kill leaves of them is what the next incarnation reports as cut off.

use super::scenario::{Scenario, StoreMode};

fn open_rows(scenario: &Scenario) -> Vec<String> {
    let ids = scenario.rows.iter().filter_map(|key| key.strip_prefix("o/"));
    ids.map(|id| id.trim_start_matches('0').to_string()).collect()
}

/// Guards the report of what a kill cut off: requests that came within the grace period are in it, like those that were open at the
/// notice, and what has been answered is not, whoever's result it got.
#[test]
fn every_request_that_is_open_in_a_drain_has_a_row_until_it_is_answered() {
    for store in [StoreMode::RespondBeforeCommit, StoreMode::RespondAfterCommit] {
        let mut scenario = Scenario::start_with_store(
            &[
                r#"/settings/categories/1/effect "dedup""#,
                "/settings/categories/1/memory_span_ns 20000000000",
            ],
            store,
        );
        let mut run_line = |line: &str, expected: &[&str]| {
            scenario.run_line(line);
            assert_eq!(open_rows(&scenario), expected, "{store:?}, after {line}");
        };
        let done = |serial: u32, txn: &str| {
            let end = r#""how":"OK","duration":9,"blob":"cmVzdWx0""#;
            format!(r#"kernel {{"msg":"REAP","serial":{serial},"call":"{txn:0>16}",{end}}}"#)
        };
        run_line(r#"0 kernel {"msg":"BOOTED","how":"WARM","duration":60000}"#, &[]);
        run_line("0 link", &[]);
        run_line("10 a sends 1 1 unique=k", &[]);
        run_line("20 term 5000", &["1"]);
        // Within the grace period: a new request, a retry of the first, and one that waits in the queue until its client leaves.
        run_line("100 a sends 2 2 verb=report", &["1", "2"]);
        run_line("110 b sends 1 3 unique=k", &["1", "2", "3"]);
        run_line("120 c sends 1 4 verb=report", &["1", "2", "3", "4"]);
        run_line("130 c leaves 1", &["1", "2", "3"]);
        // Past it: what is rejected leaves no row.
        run_line("1500 b sends 2 5 verb=report", &["1", "2", "3"]);
        run_line(&format!("1510 {}", done(1, "1")), &["2"]);
        run_line(&format!("1520 {}", done(2, "2")), &[]);
    }
}
