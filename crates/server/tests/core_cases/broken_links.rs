//! The link to the executor breaks while a reply to a run's downstream call is written. The executor pairs a reply with whatever call the
//! run waits for, so a reply that it may have read must not be sent again: it could be taken for the reply to the next call.

use super::scenario::Scenario;

const CALL: &str = r#"kernel {"msg":"IOREQ","serial":1,"call":"0000000000000001","blob":"cHV0"}"#;
/// The reply to the call as the executor reads it; its body is "reply".
const REPLY_LINE: &str = concat!(r#"{"msg":"IODONE","call":"0000000000000001","blob":"cmVwbHk="}"#, "\n");

/// A request whose run waits for its first call; the reply comes and its line is written up to `written_bytes` before the link breaks.
fn break_link_at(written_bytes: usize, class: &str, effect: &str) -> Scenario {
    let effect = format!(r#"/settings/categories/0/effect "{effect}""#);
    let mut scenario = Scenario::start(&[&effect, "/settings/categories/0/memory_span_ns 9000000000"]);
    scenario.run_line(r#"0 kernel {"msg":"BOOTED","how":"WARM","duration":60000}"#);
    scenario.run_line("0 link");
    scenario.run_line(&format!("1 a sends 1 1 unique=k verb={class}"));
    scenario.run_line("expect kernel SCHED 1 ask");
    scenario.run_line(&format!("5 {CALL}"));
    scenario.run_line("expect ledger post 1");
    scenario.run_line("20 pass");
    scenario.holds_kernel_output = true;
    scenario.run_line("20 ledger 1 posted");
    scenario.run_line(&format!("21 unlink {written_bytes}"));
    scenario.holds_kernel_output = false;
    scenario
}

/// Guards against a wrong answer: a run's second call got the reply to its first one. The link is cut at every byte of the reply's line.
/// What the executor can't have read is sent again; where it may have read the line, the request fails.
#[test]
fn a_reply_that_may_have_been_read_is_never_sent_again() {
    for effect in ["retryable", "dedup", "fragile"] {
        for written_bytes in 0..=REPLY_LINE.len() {
            let is_read = written_bytes == REPLY_LINE.len();
            let mut scenario = break_link_at(written_bytes, "report", effect);
            scenario.run_line("30 link");
            let replies = scenario.outputs_of("kernel IODONE 1 ");
            let what = format!("{effect}, cut after {written_bytes} of {} bytes", REPLY_LINE.len());
            // Had the executor read the line, the run could wait for its second call by now.
            assert_eq!(replies.is_empty(), is_read, "{what}: {replies:?}");
            if is_read {
                scenario.run_line("expect a 1 errored");
                let stopped =
                    r#"{"msg":"REAP","serial":2,"call":"0000000000000001","how":"STOPPED","duration":9}"#;
                scenario.run_line(&format!("40 kernel {stopped}"));
            } else {
                let done = r#"{"msg":"REAP","serial":2,"call":"0000000000000001","how":"OK","duration":9,"blob":"cmVzdWx0"}"#;
                scenario.run_line(&format!("40 kernel {done}"));
                scenario.run_line("expect a 1 succeeded result");
            }
            scenario.run_line("owed 0");
        }
    }
}

/// What shows that a reply was read, or that it was not needed, spares the request: its next call, its end, or gauges that the executor
/// sent after reading the reply.
#[test]
fn a_reply_that_is_known_to_have_been_read_fails_nothing() {
    let done = r#"kernel {"msg":"REAP","serial":2,"call":"0000000000000001","how":"OK","duration":9,"blob":"cmVzdWx0"}"#;
    let next_call = r#"kernel {"msg":"IOREQ","serial":2,"call":"0000000000000001","blob":"cHV0"}"#;
    let gauges = r#"kernel {"msg":"INFO","cookie":"2","stats":[0.5,1,0.1,2]}"#;
    for (evidence, rest) in [
        (done, &["refuse a 1 errored"][..]),
        (
            next_call,
            &[
                "expect ledger post 1",
                "31 link",
                "refuse kernel IODONE",
                "35 ledger 1 posted",
                "expect kernel IODONE 1 reply",
            ],
        ),
        (gauges, &["31 link", "refuse kernel IODONE", "refuse a 1"]),
    ] {
        let mut scenario = break_link_at(REPLY_LINE.len(), "report", "dedup");
        scenario.run_line(&format!("30 {evidence}"));
        rest.iter().for_each(|line| scenario.run_line(line));
        if evidence != done {
            let later = done.replace(r#""serial":2"#, r#""serial":3"#);
            scenario.run_line(&format!("50 {later}"));
        }
        scenario.run_line("expect a 1 succeeded result");
        scenario.run_line("owed 0");
    }
}
