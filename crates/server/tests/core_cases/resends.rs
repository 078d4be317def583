//! A request that crosses the end of its connection is sent once more, under the same id, on a new connection. Whatever became of the
//! first copy, the second gets one response in time, and the request runs at most once.

use super::scenario::{Scenario, StoreMode};

/// How the first connection ends.
#[derive(Clone, Copy, Debug)]
enum End {
    /// By a reset or a close: the core hears of both alike.
    Closed,
    /// The client was told to send no new request, and sends the second copy elsewhere.
    Announced,
    /// Told, and closed before the second copy comes.
    AnnouncedAndClosed,
}

const ENDS: [End; 3] = [End::Closed, End::Announced, End::AnnouncedAndClosed];
const STORES: [StoreMode; 3] =
    [StoreMode::None, StoreMode::RespondBeforeCommit, StoreMode::RespondAfterCommit];

impl End {
    fn steps(self, ms: u32) -> Vec<String> {
        match self {
            End::Closed => vec![format!("{ms} a closes")],
            End::Announced => vec![format!("{ms} a told")],
            End::AnnouncedAndClosed => vec![format!("{ms} a told"), format!("{ms} a closes")],
        }
    }
}

struct Case {
    name: &'static str,
    /// How requests of the class may be repeated, in the words of the settings.
    effect: &'static str,
    /// Up to the end of the first connection, where END stands.
    steps: &'static [&'static str],
    /// Statuses of which the second copy may get one.
    allowed: &'static [&'static str],
    /// Number of runs of the request.
    runs: std::ops::RangeInclusive<usize>,
}

/// Client timeout of the request class in the example configuration, and the page's slack.
const CLASS_TIMEOUT_MS: u32 = 3_000;
const SLACK_MS: u32 = 100;

const KEYED: &str = "dedup";
const NON_IDEMPOTENT: &str = "fragile";

/// The first copy is sent at 10 ms, and the second one arrives at 60 ms. `b` keeps both cores busy where `BUSY` stands.
const CASES: [Case; 10] = [
    Case {
        name: "the first copy waits in the queue",
        effect: KEYED,
        steps: &[
            "BUSY",
            "10 a sends 1 1 unique=k",
            "refuse kernel SCHED 1",
            "END",
            "60 b sends 9 1 unique=k",
        ],
        allowed: &["succeeded"],
        runs: 1..=1,
    },
    Case {
        name: "the first copy runs",
        effect: KEYED,
        steps: &[
            "10 a sends 1 1 unique=k",
            "expect kernel SCHED 1",
            "END",
            "60 b sends 9 1 unique=k",
            "80 REAP OK",
        ],
        allowed: &["succeeded"],
        runs: 1..=1,
    },
    Case {
        name: "the first copy has run",
        effect: KEYED,
        steps: &["10 a sends 1 1 unique=k", "END", "40 REAP OK", "60 b sends 9 1 unique=k"],
        allowed: &["succeeded"],
        runs: 1..=1,
    },
    Case {
        name: "the first copy has failed",
        effect: KEYED,
        steps: &["10 a sends 1 1 unique=k", "END", "40 REAP ERROR", "60 b sends 9 1 unique=k"],
        allowed: &["errored"],
        runs: 1..=1,
    },
    Case {
        name: "the first copy was not started by the executor",
        effect: KEYED,
        steps: &["10 a sends 1 1 unique=k", "END", "40 REAP MOOT", "60 b sends 9 1 unique=k"],
        allowed: &["succeeded", "throttled", "errored"],
        runs: 1..=2,
    },
    Case {
        name: "the first copy was rejected in a drain",
        effect: KEYED,
        steps: &["1 term 3000", "2500 a sends 1 1 unique=k", "END", "2550 b sends 9 1 unique=k"],
        allowed: &["throttled"],
        runs: 0..=0,
    },
    Case {
        name: "a key's window is over when the second copy comes",
        effect: KEYED,
        steps: &["10 a sends 1 1 unique=k", "END", "40 REAP OK", "3000 pass", "6000 b sends 9 1 unique=k"],
        allowed: &["succeeded"],
        runs: 2..=2,
    },
    Case {
        name: "no key, the first copy waits in the queue",
        effect: NON_IDEMPOTENT,
        steps: &["BUSY", "10 a sends 1 1", "refuse kernel SCHED 1", "END", "60 b sends 9 1"],
        allowed: &["succeeded"],
        runs: 1..=1,
    },
    Case {
        name: "no key, the first copy runs",
        effect: NON_IDEMPOTENT,
        steps: &["10 a sends 1 1", "expect kernel SCHED 1", "END", "60 b sends 9 1", "80 REAP OK"],
        allowed: &["succeeded"],
        runs: 1..=1,
    },
    Case {
        name: "no key, the first copy has run",
        effect: NON_IDEMPOTENT,
        steps: &["10 a sends 1 1", "END", "40 REAP OK", "60 b sends 9 1"],
        allowed: &["succeeded"],
        runs: 1..=1,
    },
];

const REAP_BUSY: [&str; 2] = ["b1", "b2"];

fn reap(txn: &str, how: &str) -> String {
    let result = if how == "OK" { r#","blob":"cmVzdWx0""# } else { "" };
    format!(r#"kernel {{"msg":"REAP","serial":7,"call":"{txn:0>16}","how":"{how}","duration":5{result}}}"#)
}

/// Plays a case to the end of all its requests; returns the statuses that the second copy got, and the number of runs.
fn play(case: &Case, end: End, store: StoreMode) -> (Vec<String>, usize) {
    let effect = format!(r#"/settings/categories/1/effect "{}""#, case.effect);
    let settings = [
        &effect,
        "/settings/categories/1/memory_span_ns 4000000000",
        "/settings/obligations/tip_multiple 1.1",
    ];
    let mut scenario = Scenario::start_with_store(&settings, store);
    scenario.run_line(r#"0 kernel {"msg":"BOOTED","how":"WARM","duration":60000}"#);
    scenario.run_line("0 link");
    let (mut ms, mut runs, mut statuses) = (0, 0, Vec::new());
    let mut lines: Vec<String> = Vec::new();
    for step in case.steps {
        match *step {
            "BUSY" => lines.extend(
                REAP_BUSY
                    .iter()
                    .enumerate()
                    .map(|(at, txn)| format!("1 c sends {} {txn} verb=report", at + 1)),
            ),
            "END" => lines.extend(end.steps(ms + 1)),
            step => match step.split_once(" REAP ") {
                Some((at, how)) => lines.push(format!("{at} {}", reap("1", how))),
                None => lines.push(step.to_string()),
            },
        }
        ms = lines.last().and_then(|line| line.split(' ').next()?.parse().ok()).unwrap_or(ms);
    }
    lines.extend(REAP_BUSY.iter().map(|txn| format!("{} {}", ms + 30, reap(txn, "OK"))));
    let mut ended_runs = 0;
    let mut play_line = |line: &str| {
        scenario.run_line(line);
        if line.starts_with(|first: char| first.is_ascii_digit()) {
            runs += scenario.outputs_of("kernel SCHED 1 ").len();
            ended_runs += usize::from(line.contains(r#""call":"0000000000000001""#));
            statuses.extend(scenario.outputs_of("b 9 "));
        }
        runs > ended_runs
    };
    let mut is_running = false;
    for line in lines {
        is_running = play_line(&line);
    }
    // What still runs ends, and then the time of the class passes.
    if is_running {
        play_line(&format!("{} {}", ms + 60, reap("1", "OK")));
    }
    play_line(&format!("{} pass", ms + CLASS_TIMEOUT_MS + SLACK_MS));
    scenario.run_line(&format!("{} pass", ms + 20_000));
    statuses.extend(scenario.outputs_of("b 9 ").iter().map(|status| format!("late: {status}")));
    (statuses, runs)
}

/// Guards against a second copy that is never answered, since the entry that is retained for its key was taken for an open request, and
/// against one that runs a second time.
#[test]
fn a_request_that_crosses_the_end_of_its_connection_is_answered_once_and_runs_once() {
    let mut failures = Vec::new();
    for case in &CASES {
        for (end, store) in ENDS.iter().flat_map(|end| STORES.iter().map(move |store| (*end, *store))) {
            let (statuses, runs) = play(case, end, store);
            let status =
                statuses.first().and_then(|status| status.split(' ').next()).unwrap_or("no response");
            let is_expected =
                statuses.len() == 1 && case.allowed.contains(&status) && case.runs.contains(&runs);
            if !is_expected {
                failures.push(format!("{}, {end:?}, {store:?}: {statuses:?}, {runs} runs", case.name));
            }
        }
    }
    assert!(failures.is_empty(), "{} of {} fail:\n{}", failures.len(), CASES.len() * 9, failures.join("\n"));
}

/// Guards against a second run of a request whose response waits for the store as its connection is closing: the second copy gets that
/// response, once it is persisted, whether it comes before the commit or after it.
#[test]
fn a_response_that_waits_for_the_store_reaches_the_second_copy() {
    for comes_before_commit in [true, false] {
        let settings = [r#"/settings/categories/1/effect "fragile""#];
        let mut scenario = Scenario::start_with_store(&settings, StoreMode::RespondAfterCommit);
        scenario.run_line(r#"0 kernel {"msg":"BOOTED","how":"WARM","duration":60000}"#);
        scenario.run_line("0 link");
        scenario.run_line("10 a sends 1 1");
        scenario.run_line("11 a told");
        scenario.holds_commits = comes_before_commit;
        scenario.run_line(&format!("40 {}", reap("1", "OK")));
        let is_written_to_first = !scenario.outputs_of("a 1 ").is_empty();
        assert_eq!(is_written_to_first, !comes_before_commit);
        scenario.run_line("60 b sends 9 1");
        scenario.run_line("refuse kernel SCHED 1");
        if comes_before_commit {
            assert!(scenario.outputs_of("b 9 ").is_empty(), "nothing is answered before the commit");
            scenario.run_line("owed 1");
            scenario.holds_commits = false;
            scenario.run_line("70 pass");
            scenario.run_line("refuse a 1");
        }
        scenario.run_line("expect b 9 succeeded result");
        scenario.run_line("owed 0");
    }
}
