//! Responses that wait for the commit of their billing rows: each is sent by its time, and a commit is requested before. What the
//! client gets where the disk does not answer by then depends on `full` in the operator's file.

use super::scenario::{Scenario, StoreMode, StoreSetup};
use cypresscleat_scheduler::Time;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Client timeout of both request classes.
const CLASS_TIMEOUT_MS: Time = 3_000;
/// A response at a deadline may be sent a tick late.
const SLACK_MS: Time = 50;
const CLASS: [&str; 3] = [
    r#"/settings/categories/1/effect "dedup""#,
    "/settings/categories/1/memory_span_ns 20000000000",
    "/settings/categories/0/deadline_ns 3000000000",
];
/// What a commit may take.
const COMMIT_RESERVE_MS: Time = 50;

fn start(rejects_on_failure: bool, queue: usize) -> Scenario {
    let setup = StoreSetup { rejects_on_failure, queue, ..StoreSetup::new(StoreMode::RespondAfterCommit) };
    let mut scenario = Scenario::start_with_setup(&CLASS, setup);
    scenario.run_line(r#"0 kernel {"msg":"BOOTED","how":"WARM","duration":60000}"#);
    scenario.run_line("0 link");
    scenario
}

fn reap(ms: Time, txn: &str) -> String {
    let result = r#""how":"OK","duration":5,"blob":"cmVzdWx0""#;
    format!(r#"{ms} kernel {{"msg":"REAP","serial":7,"call":"{txn:0>16}",{result}}}"#)
}

/// Passes time in small steps until something is output that begins with `start`; returns that time and the rest of the output.
fn wait_for(scenario: &mut Scenario, start: &str, from: Time, until: Time) -> Option<(Time, String)> {
    (from..=until).step_by(10).find_map(|ms| {
        scenario.run_line(&format!("{ms} pass"));
        scenario.outputs_of(start).first().map(|rest| (ms, rest.clone()))
    })
}

/// Guards against a response that waits for a commit past its client's timeout, or past the stop of a drain.
#[test]
fn a_response_does_not_wait_for_a_commit_past_its_time() {
    // The notice before the end of the run, after it, or none.
    for (notice, stop) in [(None, CLASS_TIMEOUT_MS + 20), (Some(100), 2_100), (Some(300), 2_300)] {
        for (rejects_on_failure, expected) in [(true, "errored "), (false, "succeeded result")] {
            println!("notice {notice:?}, nothing unrecorded: {rejects_on_failure}");
            let mut scenario = start(rejects_on_failure, 100);
            scenario.run_line("20 a sends 1 1 verb=lookup unique=k");
            scenario.run_line("expect kernel SCHED 1 ask");
            scenario.holds_commits = true;
            if notice == Some(100) {
                scenario.run_line("100 term 2000");
            }
            scenario.run_line(&reap(200, "1"));
            scenario.run_line("refuse a 1");
            if notice == Some(300) {
                scenario.run_line("300 term 2000");
                // A second notice doesn't move the stop.
                scenario.run_line("400 term 5000");
            }
            let commit_by = scenario.commit_by.expect("a commit is requested") / 10;
            let (at, status) = wait_for(&mut scenario, "a 1 ", 500, 20_000).expect("a response");
            assert_eq!(status, expected);
            let (earliest, latest) =
                (stop - 2 * SLACK_MS, stop + if notice.is_some() { 0 } else { SLACK_MS });
            assert!((earliest..=latest).contains(&at), "{at} of {stop}");
            assert!(commit_by <= at - COMMIT_RESERVE_MS + 10, "{commit_by} for {at}");
            scenario.run_line("owed 0");
            // The disk answers later: nothing more is sent.
            scenario.run_line("21000 store commits");
            scenario.run_line("refuse a");
        }
    }
}

/// Guards against a success that is sent though its row was not taken, and against a run whose start is not on record: the store's queue
/// is full.
#[test]
fn a_full_queue_to_the_store_lets_nothing_count_as_recorded() {
    for (rejects_on_failure, expected) in [(true, "errored "), (false, "succeeded result")] {
        let mut scenario = start(rejects_on_failure, 3);
        scenario.run_line("20 a sends 1 1 unique=k");
        scenario.run_line("21 a sends 2 2 verb=report");
        scenario.run_line("expect kernel SCHED 2 ask");
        (scenario.holds_commits, scenario.leaves_queue) = (true, true);
        for serial in 1..=3 {
            scenario.run_line(&format!("30 d sends {serial} d{serial} verb=report"));
            scenario.run_line(&reap(31, &format!("d{serial}")));
        }
        scenario.run_line(&reap(40, "1"));
        assert_eq!(scenario.outputs_of("a 1 "), [expected]);
        scenario.run_line(&reap(41, "2"));
        assert_eq!(scenario.outputs_of("a 2 "), [expected]);
        // A keyed request's start can't be put on record, so it does not run; its key is free once the store keeps again.
        scenario.run_line("50 b sends 1 5 unique=other");
        scenario.run_line("refuse kernel SCHED");
        assert_eq!(scenario.outputs_of("b 1 "), [if rejects_on_failure { "throttled " } else { "errored " }]);
        (scenario.holds_commits, scenario.leaves_queue) = (false, false);
        scenario.run_line("60 pass");
        for serial in 1..=3 {
            scenario.run_line(&format!("expect d {serial} succeeded result"));
        }
        scenario.run_line("70 b sends 2 6 unique=other");
        scenario.run_line("expect kernel SCHED 6 ask");
        scenario.run_line(&reap(80, "6"));
        scenario.run_line("expect b 2 succeeded result");
        scenario.run_line("owed 0");
    }
}

/// Guards a failure while responses wait: each gets one response, at once.
#[test]
fn a_store_that_fails_while_responses_wait_answers_each_of_them_once() {
    for (rejects_on_failure, expected) in [(true, "errored "), (false, "succeeded result")] {
        let mut scenario = start(rejects_on_failure, 100);
        scenario.run_line("20 a sends 1 1 unique=k");
        scenario.run_line("20 b sends 1 2 unique=k");
        scenario.holds_commits = true;
        scenario.run_line(&reap(40, "1"));
        scenario.run_line("refuse a 1");
        scenario.fails_commits = true;
        scenario.run_line("50 store commits");
        assert_eq!(
            (scenario.outputs_of("a 1 "), scenario.outputs_of("b 1 ")),
            (vec![expected.to_string()], vec![expected.to_string()])
        );
        scenario.run_line("owed 0");
        assert!(!scenario.rows.iter().any(|row| row.starts_with("b/")));
        assert_eq!(wait_for(&mut scenario, "a 1 ", 100, 4_000), None);
    }
}

/// Guards against a server that takes nothing for good after one failed write: it tries to write by itself, and takes requests again once
/// that goes well.
#[test]
fn a_server_that_serves_nothing_unrecorded_takes_requests_again_once_the_store_keeps() {
    let mut scenario = start(true, 100);
    scenario.fails_commits = true;
    scenario.run_line("20 a sends 1 1 unique=k");
    scenario.run_line("expect a 1 errored");
    scenario.run_line("30 a sends 2 2 unique=other");
    scenario.run_line("expect a 2 throttled");
    // Further attempts fail, at most one a second.
    scenario.run_line("2900 pass");
    scenario.run_line("2910 a sends 3 3 unique=other");
    scenario.run_line("expect a 3 throttled");
    scenario.fails_commits = false;
    scenario.run_line("4000 pass");
    scenario.run_line("4010 a sends 4 4 unique=other");
    scenario.run_line("expect kernel SCHED 4 ask");
    assert!(scenario.rows.iter().all(|row| !row.starts_with("o/")), "{:?}", scenario.rows);
}

/// Guards against a retry that waits past its time for a batch which was sent without it in mind: an earlier commit that was requested
/// for batches which are finished says nothing about those that are not.
#[test]
fn a_retry_brings_a_commit_forward_although_an_earlier_one_was_requested_before() {
    let mut scenario = start(true, 100);
    scenario.run_line("10 b sends 1 2 unique=k");
    scenario.run_line("expect kernel SCHED 2 ask");
    scenario.holds_commits = true;
    scenario.run_line("20 a sends 1 1 verb=report within=400");
    scenario.run_line(&reap(30, "1"));
    assert_eq!(scenario.commit_by.map(|at| at / 10), Some(420 - COMMIT_RESERVE_MS));
    // The store's thread commits this, while the next row is in the queue.
    scenario.leaves_queue = true;
    scenario.run_line(&reap(40, "2"));
    scenario.run_line("50 store commits");
    scenario.run_line("expect a 1 succeeded result");
    scenario.run_line("60 c sends 1 3 unique=k within=1000");
    scenario.leaves_queue = false;
    scenario.run_line("70 pass");
    assert_eq!(scenario.commit_by.map(|at| at / 10), Some(1_060 - COMMIT_RESERVE_MS));
    scenario.run_line("80 store commits");
    scenario.run_line("expect b 1 succeeded result");
    scenario.run_line("expect c 1 succeeded result");
}

/// One step of a random play; times in milliseconds.
#[derive(Clone, Debug)]
enum Step {
    /// A request with one of a few keys, or without any.
    Send {
        key: Option<u8>,
    },
    /// The oldest run ends.
    EndRun,
    Commit,
    FailCommit,
    /// The store's queue is read again, or no more.
    Stall(bool),
    Pass {
        ms: Time,
    },
    Notice,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => proptest::option::weighted(0.6, 0..3u8).prop_map(|key| Step::Send { key }),
        4 => Just(Step::EndRun),
        3 => Just(Step::Commit),
        1 => Just(Step::FailCommit),
        1 => any::<bool>().prop_map(Step::Stall),
        4 => (1..900 as Time).prop_map(|ms| Step::Pass { ms }),
        1 => Just(Step::Notice),
    ];
    proptest::collection::vec(step, 1..40)
}

/// A request, and what its client got.
struct Sent {
    txn: String,
    key: Option<u8>,
    /// When it must be answered at the latest.
    due: Time,
    response: Option<String>,
}

/// A random play, and what has come of it.
struct Play {
    scenario: Scenario,
    now: Time,
    sent: Vec<Sent>,
    running: Vec<String>,
    runs: BTreeMap<String, usize>,
    stop: Option<Time>,
    rejects_on_failure: bool,
}

impl Play {
    fn start(rejects_on_failure: bool) -> Play {
        let mut scenario = start(rejects_on_failure, 6);
        scenario.holds_commits = true;
        let (sent, running, runs) = (Vec::new(), Vec::new(), BTreeMap::new());
        Play { scenario, now: 10, sent, running, runs, stop: None, rejects_on_failure }
    }

    fn run_line(&mut self, step: &str) {
        self.scenario.run_line(&format!("{} {step}", self.now));
        for run in self.scenario.outputs_of("kernel SCHED ") {
            let txn = run.split(' ').next().unwrap_or("").to_string();
            *self.runs.entry(txn.clone()).or_default() += 1;
            self.running.push(txn);
        }
        for at in 0..self.sent.len() {
            for response in self.scenario.outputs_of(&format!("c{at} 1 ")) {
                self.record_response(at, response);
            }
        }
    }

    fn record_response(&mut self, at: usize, response: String) {
        let sent = &mut self.sent[at];
        assert!(sent.response.is_none(), "{} is answered twice", sent.txn);
        let due = sent.due.min(self.stop.unwrap_or(Time::MAX));
        assert!(self.now <= due, "{} is answered at {}, due at {due}", sent.txn, self.now);
        if response.starts_with("succeeded") && self.rejects_on_failure {
            let id = format!("{:0>16}", sent.txn);
            let is_own = |row: &&String| row.starts_with("b/") && row.ends_with(&id);
            let has_row = self.scenario.rows.iter().any(|row| is_own(&row))
                || sent.key.is_some_and(|key| self.scenario.rows.contains(&format!("t/k{key}")));
            assert!(has_row, "{} has succeeded, and has no row: {:?}", sent.txn, self.scenario.rows);
        }
        sent.response = Some(response);
    }

    /// Plays a step, unless the process has been stopped.
    fn play(&mut self, step: Step) {
        let stop = self.stop.unwrap_or(Time::MAX);
        if self.now >= stop {
            return;
        }
        match step {
            Step::Send { key } => {
                let (at, txn) = (self.sent.len(), format!("{:x}", self.sent.len() + 1));
                let field = key.map_or("verb=report".to_string(), |key| format!("unique=k{key}"));
                let due = self.now + CLASS_TIMEOUT_MS + SLACK_MS;
                self.sent.push(Sent { txn: txn.clone(), key, due, response: None });
                self.run_line(&format!("c{at} sends 1 {txn} {field}"));
            }
            Step::EndRun if !self.running.is_empty() => {
                let txn = self.running.remove(0);
                let line = reap(self.now, &txn);
                self.run_line(line.split_once(' ').expect("a time").1);
            }
            Step::EndRun => {}
            Step::Commit | Step::FailCommit => {
                self.scenario.fails_commits = matches!(step, Step::FailCommit);
                self.run_line("store commits");
                self.scenario.fails_commits = false;
            }
            Step::Stall(is_stuck) => self.scenario.leaves_queue = is_stuck,
            Step::Pass { ms } => {
                let until = (self.now + ms).min(stop);
                while self.now < until {
                    self.now = (self.now + 10).min(until);
                    self.run_line("pass");
                }
            }
            Step::Notice => {
                self.run_line("term 2000");
                self.stop = self.stop.or(Some(self.now + 2_000));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Over any order of arrivals, ends of runs, commits, failures, stalls and notices each request gets one response by its time, each
    /// runs at most once, and where nothing may be served unrecorded no success is sent before its row is persisted.
    #[test]
    fn every_request_is_answered_once_by_its_time_and_no_success_before_its_row(
        steps in steps(), rejects_on_failure in any::<bool>(),
    ) {
        let mut play = Play::start(rejects_on_failure);
        for step in steps {
            play.play(step);
        }
        play.play(Step::Pass { ms: CLASS_TIMEOUT_MS + 2 * SLACK_MS });
        for sent in &play.sent {
            prop_assert!(sent.response.is_some(), "{} is not answered", sent.txn);
        }
        prop_assert!(play.runs.values().all(|runs| *runs == 1), "{:?}", play.runs);
    }
}
