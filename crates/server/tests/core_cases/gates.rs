//! A rejection promises that a request has not run. Each gate that rejects by itself, before the scheduler decides, is shut while a
//! retry arrives whose earlier attempt was admitted: the retry gets what became of that attempt. New work is rejected or held.

use super::scenario::{Scenario, StoreMode, StoreSetup};
use cypresscleat_server::core::persistence::{CompletedRun, IdempotencyRecord, KeyState, RecoveredState};

/// What shuts a gate; played before the retry comes.
const GATES: [(&str, StoreMode, &[&str]); 6] = [
    ("out of service under a policy", StoreMode::None, &["40 policy denies"]),
    ("out of service, no notice of it yet", StoreMode::None, &["40 policy denies silently"]),
    ("a policy change pauses admission", StoreMode::None, &["40 policy holds"]),
    ("a pause, and no request more can be held", StoreMode::None, &["40 policy holds", "FILL"]),
    ("a pause, answers after the commit", StoreMode::RespondAfterCommit, &["40 policy holds"]),
    ("the store fails, nothing is taken", StoreMode::RespondAfterCommit, &["40 store fails"]),
];

/// An earlier attempt under the key, and what its retry gets: while the store keeps, and while it fails.
struct Earlier {
    name: &'static str,
    steps: &'static [&'static str],
    expected: &'static str,
    expected_without_store: &'static str,
}

const EARLIER_ATTEMPTS: [Earlier; 7] = [
    Earlier {
        name: "queued",
        steps: &["BUSY", "10 a sends 1 1 unique=k", "refuse kernel SCHED 1"],
        expected: "succeeded result",
        expected_without_store: "errored",
    },
    Earlier {
        name: "running",
        steps: &["10 a sends 1 1 unique=k", "expect kernel SCHED 1"],
        expected: "succeeded result",
        expected_without_store: "errored",
    },
    Earlier {
        name: "running, its client has left",
        steps: &["10 a sends 1 1 unique=k", "expect kernel SCHED 1", "11 a leaves 1"],
        expected: "succeeded result",
        expected_without_store: "errored",
    },
    Earlier {
        name: "succeeded",
        steps: &["10 a sends 1 1 unique=k", "20 REAP OK", "expect a 1 succeeded result"],
        expected: "succeeded result",
        expected_without_store: "succeeded result",
    },
    Earlier {
        name: "succeeded, its client had left",
        steps: &["10 a sends 1 1 unique=k", "11 a leaves 1", "20 REAP OK"],
        expected: "succeeded result",
        // No row stands for it yet, and none can be written.
        expected_without_store: "errored",
    },
    Earlier {
        name: "failed",
        steps: &["10 a sends 1 1 unique=k", "20 REAP ERROR", "expect a 1 errored"],
        expected: "errored",
        expected_without_store: "errored",
    },
    Earlier {
        name: "failed, its client had left",
        steps: &["10 a sends 1 1 unique=k", "11 a leaves 1", "20 REAP ERROR"],
        expected: "errored",
        expected_without_store: "errored",
    },
];

const BUSY: [&str; 2] = ["b1", "b2"];
/// As many as are held at once during a policy change.
const HELD: std::ops::RangeInclusive<u32> = 1..=256;

fn reap(txn: &str, how: &str) -> String {
    let result = if how == "OK" { r#","blob":"cmVzdWx0""# } else { "" };
    format!(r#"kernel {{"msg":"REAP","serial":7,"call":"{txn:0>16}","how":"{how}","duration":5{result}}}"#)
}

fn start(effect: &str, store: StoreMode) -> Scenario {
    let effect = format!(r#"/settings/categories/1/effect "{effect}""#);
    let settings = [
        &effect,
        "/settings/categories/1/memory_span_ns 20000000000",
        "/settings/obligations/tip_multiple 1.1",
    ];
    let mut scenario = Scenario::start_with_store(&settings, store);
    scenario.set_policy();
    scenario.run_line(r#"0 kernel {"msg":"BOOTED","how":"WARM","duration":60000}"#);
    scenario.run_line("0 link");
    scenario.run_line("0 policy admits");
    scenario
}

fn run_steps(scenario: &mut Scenario, steps: &[&str]) {
    for step in steps {
        match *step {
            "BUSY" => BUSY.iter().enumerate().for_each(|(at, txn)| {
                scenario.run_line(&format!("1 c sends {} {txn} verb=report", at + 1));
            }),
            "FILL" => HELD.for_each(|stream| {
                scenario.run_line(&format!("40 f sends {stream} f{stream:x} verb=report"));
            }),
            step => match step.split_once(" REAP ") {
                Some((at, how)) => scenario.run_line(&format!("{at} {}", reap("1", how))),
                None => scenario.run_line(step),
            },
        }
    }
}

/// Lets all that still runs end, and collects what `b` gets and how often `txn` was started since.
fn finish(scenario: &mut Scenario, txn: &str) -> (Vec<String>, usize) {
    let (mut statuses, mut runs) = (scenario.outputs_of("b 9 "), 0);
    for line in
        BUSY.map(|txn| format!("80 {}", reap(txn, "OK"))).iter().chain(&[format!("90 {}", reap("1", "OK"))])
    {
        scenario.run_line(line);
        statuses.extend(scenario.outputs_of("b 9 "));
        runs += scenario.outputs_of(&format!("kernel SCHED {txn} ")).len();
    }
    (statuses, runs)
}

/// Guards against a second effect elsewhere: a retry of a booking that has run was rejected while two of three control replicas were
/// away, so that its router could send it to another server.
#[test]
fn no_gate_rejects_a_retry_of_a_keyed_request_that_has_run_or_is_open() {
    let mut failures = Vec::new();
    for (gate, store, shut) in GATES {
        for earlier in &EARLIER_ATTEMPTS {
            let mut scenario = start("dedup", store);
            run_steps(&mut scenario, earlier.steps);
            run_steps(&mut scenario, shut);
            scenario.run_line("50 b sends 9 2 unique=k");
            let (statuses, runs) = finish(&mut scenario, "2");
            let is_failing = gate.starts_with("the store fails");
            let expected = if is_failing { earlier.expected_without_store } else { earlier.expected };
            if statuses.len() != 1 || !statuses[0].starts_with(expected) || runs != 0 {
                failures.push(format!("{gate}, {}: {statuses:?}, {runs} runs", earlier.name));
            }
        }
    }
    let plays = GATES.len() * EARLIER_ATTEMPTS.len();
    assert!(failures.is_empty(), "{} of {plays} fail:\n{}", failures.len(), failures.join("\n"));
}

/// Guards the gates: what is new, or a retry of what never ran, is no retry in their sense.
#[test]
fn each_gate_rejects_or_holds_new_work() {
    for (gate, store, shut) in GATES {
        println!("{gate}");
        let mut scenario = start("dedup", store);
        run_steps(&mut scenario, shut);
        scenario.run_line("50 b sends 9 2 unique=k");
        scenario.run_line("refuse kernel SCHED 2");
        let statuses = scenario.outputs_of("b 9 ");
        if shut == ["40 policy holds"] {
            assert!(statuses.is_empty(), "{statuses:?}");
            scenario.run_line("60 policy admits");
            scenario.run_line("expect kernel SCHED 2 ask");
            continue;
        }
        assert_eq!(statuses, ["throttled "]);
        // A rejected request never ran, so its retry is new work again.
        scenario.run_line("60 b sends 10 3 unique=k");
        scenario.run_line("expect b 10 throttled");
    }
}

/// Guards against a second effect elsewhere: a request without a key crosses the end of its connection after it has run, or while it
/// runs, and its second copy was rejected.
#[test]
fn no_gate_rejects_the_second_copy_of_a_request_that_has_run() {
    for (gate, store, shut) in GATES {
        for end in ["20 REAP OK", "60 REAP OK"] {
            println!("{gate}, {end}");
            let mut scenario = start("fragile", store);
            run_steps(&mut scenario, &["10 a sends 1 1", "expect kernel SCHED 1", "11 a told"]);
            let (before, after): (&[&str], &[&str]) =
                if end.starts_with("20") { (&[end], &[]) } else { (&[], &[end]) };
            run_steps(&mut scenario, before);
            run_steps(&mut scenario, shut);
            scenario.run_line("50 b sends 9 1");
            scenario.run_line("refuse b 9 throttled");
            scenario.run_line("refuse kernel SCHED 1");
            run_steps(&mut scenario, after);
            assert_eq!(scenario.outputs_of("b 9 ").len(), 1);
        }
    }
}

/// Guards the order of a key's attempts: a policy change is over, the core has not yet been notified of it, and a retry overtook the
/// held first attempt, which was then rejected at the end of its time.
#[test]
fn a_retry_does_not_overtake_its_held_first_attempt() {
    let mut scenario = start("dedup", StoreMode::None);
    scenario.run_line("10 policy holds");
    scenario.run_line("11 a sends 1 1 unique=k");
    scenario.run_line("100 policy admits silently");
    scenario.run_line("101 b sends 9 2 unique=k");
    scenario.run_line("expect kernel SCHED 1 ask");
    scenario.run_line("refuse kernel SCHED 2");
    scenario.run_line(&format!("120 {}", reap("1", "OK")));
    scenario.run_line("expect a 1 succeeded result");
    scenario.run_line("expect b 9 succeeded result");
    scenario.run_line("owed 0");
}

/// Guards against a second effect elsewhere: after a restart, before the executor is up, a retry was answered as if nothing were known
/// of its first attempt, which gateways read as a rejection.
#[test]
fn a_retry_that_comes_before_the_executor_is_up_gets_the_stored_result() {
    let (expires_at, ask) = (i64::MAX / 2, b"ask");
    for (state, expected) in [
        (
            KeyState::Completed(CompletedRun { result: b"result".to_vec(), is_billed: true }),
            "expect b 1 succeeded result",
        ),
        (KeyState::Started, "expect b 1 errored"),
    ] {
        let fingerprint = cypresscleat_server::core::fingerprint(1, ask);
        let record = IdempotencyRecord { fingerprint, expires_at, state };
        let recovered =
            RecoveredState { records: vec![("k".to_string(), record)], ..RecoveredState::default() };
        let settings = [r#"/settings/categories/1/effect "dedup""#];
        let setup = StoreSetup { recovered, ..StoreSetup::new(StoreMode::RespondAfterCommit) };
        let mut scenario = Scenario::start_with_setup(&settings, setup);
        scenario.run_line("10 b sends 1 1 unique=k");
        scenario.run_line(expected);
        scenario.run_line("owed 0");
        assert_eq!(scenario.shared.counters.repeated.get(), 1, "answered by its key, not as new work");
        scenario.run_line(r#"20 kernel {"msg":"BOOTED","how":"WARM","duration":20}"#);
        scenario.run_line("20 link");
        scenario.run_line("30 b sends 2 2 unique=k");
        scenario.run_line("refuse kernel SCHED");
        scenario.run_line(&expected.replace(" 1 ", " 2 "));
    }
}

/// Guards requests that are held in a drain, also those that came before the notice: each is answered before the process is stopped.
#[test]
fn held_requests_are_answered_before_the_stop_of_a_drain() {
    let mut scenario = start("retryable", StoreMode::None);
    scenario.run_line("10 policy holds");
    scenario.run_line("20 a sends 1 1");
    scenario.run_line("100 term 2000");
    scenario.run_line("200 b sends 9 2");
    scenario.run_line("2000 pass");
    scenario.run_line("refuse a 1");
    scenario.run_line("2070 pass");
    scenario.run_line("expect a 1 throttled");
    scenario.run_line("expect b 9 throttled");
}

/// Guards the time that a client states: it goes on while its request is held.
#[test]
fn the_time_that_a_client_states_passes_while_its_request_is_held() {
    let mut scenario = start("retryable", StoreMode::None);
    scenario.run_line("10 policy holds");
    scenario.run_line("20 a sends 1 1 within=600");
    scenario.run_line("400 policy admits");
    scenario.run_line("expect kernel SCHED 1 ask");
    scenario.run_line("600 pass");
    scenario.run_line("refuse a 1");
    scenario.run_line("670 pass");
    scenario.run_line("expect a 1 errored");
}
