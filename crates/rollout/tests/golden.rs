//! Compares encoded messages, commands, outcomes and snapshots with bytes recorded from the program at commit 67fc394. postcard writes
//! fields and variants by position, so their order and types define the format and their names do not. A version is also stored as JSON,
//! where the field names are part of the format.

#[path = "../../leases/tests/support/golden.rs"]
mod recorded;

use cypresscleat_consensus::StateMachine;
use cypresscleat_rollout::coordinator::CoordinatorEvent;
use cypresscleat_rollout::messages::{MemberStatus, Request, Response, Verdict};
use cypresscleat_rollout::state::{
    encode_command, AbortedChange, Change, Command, Outcome, PolicyState, RolloutEvent, Stage,
};
use cypresscleat_rollout::watch::{ServiceTotals, WatchVerdict};
use cypresscleat_rollout::{Rules, UnreachableMembers, Version, WatchRules};
use recorded::{assert_golden, assert_recorded};

const KEY: (u64, u64) = (0x1122_3344_5566_7788, 9);

fn version() -> Version {
    let watch = Some(WatchRules { share: 50, within: 100_000 });
    let rules = Rules {
        unreachable: UnreachableMembers::Wait,
        lease: 15_000,
        decision_timeout: 300_000,
        barrier: true,
        watch,
    };
    Version {
        number: 12,
        parent: 11,
        hash: 0xfeed_0123_4567_89ab,
        by: "operator".into(),
        at_ms: 1_700_000_000_000,
        why: "a try".into(),
        rules,
        document: "missing: \"wait\"\n".into(),
        undoes: true,
    }
}

fn plain(number: u64, parent: u64) -> Version {
    Version {
        number,
        parent,
        hash: number + 70,
        by: "x".into(),
        document: format!("text {number}"),
        ..Version::default()
    }
}

fn requests() -> Vec<(&'static str, Request)> {
    let service_totals = ServiceTotals { requests: 500, succeeded_in_time: 499, billed_milli: 1 << 40 };
    let heartbeat = |verdict, joins| Request::Heartbeat {
        key: KEY,
        name: "m1".into(),
        joins,
        number: 300,
        verdict,
        paused: 12,
        active: 11,
        totals: service_totals,
    };
    vec![
        ("here", heartbeat(None, true)),
        ("here_prepared", heartbeat(Some((12, Verdict::Prepared)), false)),
        ("here_refused", heartbeat(Some((12, Verdict::Refused("line 3: no".into()))), false)),
        ("fetch", Request::FetchDocument { number: 1, version: 12 }),
        ("leave", Request::Leave { key: KEY, number: 2 }),
        ("propose", Request::Propose { number: 3, version: version() }),
        ("forget", Request::Forget { number: 4, member: 5 }),
        ("status", Request::Status { number: 5, from: KEY }),
        ("history", Request::History { number: 6 }),
    ]
}

fn aborted_change() -> AbortedChange {
    AbortedChange { number: 10, hash: 1 << 60, by: "operator".into(), reason: "m3 refuses it".into() }
}

fn outcomes() -> Vec<(&'static str, Outcome)> {
    vec![
        ("done", Outcome::Done),
        ("proposed", Outcome::Proposed(12)),
        ("stale", Outcome::Stale { active: 11 }),
        ("busy", Outcome::Busy { number: 12 }),
        ("again", Outcome::MembersChanged),
        ("late", Outcome::AlreadyDecided),
        ("full", Outcome::LimitReached),
    ]
}

fn responses() -> Vec<(&'static str, Response)> {
    let renewed = |lease, period| Response::Renewed {
        key: KEY,
        number: 300,
        lease,
        period,
        version: 11,
        check: 12,
        pause: 0,
    };
    let member_status =
        |verdict| MemberStatus { key: KEY, name: "m1".into(), active: 11, verdict, paused: true, silent: -1 };
    let status = |change, lines| Response::Status {
        number: 5,
        active: 11,
        change,
        generation: 400,
        lines,
        more: true,
    };
    let lines = vec![
        member_status(None),
        member_status(Some(Verdict::Prepared)),
        member_status(Some(Verdict::Refused("no".into()))),
    ];
    let mut all = vec![
        ("held", renewed(Some(15_000), 3_750)),
        ("held_for_good", renewed(None, 5_000)),
        ("gone", Response::MembershipExpired { key: KEY }),
        ("document", Response::Document { number: 1, version: Some(Box::new(version())) }),
        ("document_unknown", Response::Document { number: 1, version: None }),
        ("done", Response::Done { number: 2 }),
        ("status", status(None, vec![])),
        ("status_preparing", status(Some((12, Stage::Preparing)), lines.clone())),
        ("status_closing", status(Some((12, Stage::Barrier)), lines)),
        (
            "history",
            Response::History {
                number: 6,
                committed: vec![version(), plain(1, 0)],
                aborted: vec![aborted_change()],
            },
        ),
        ("elsewhere", Response::NotLeader { leader: 3 }),
        ("news", Response::Changed),
    ];
    all.extend(
        outcomes().into_iter().map(|(name, outcome)| (name, Response::Proposed { number: 3, outcome })),
    );
    all
}

fn commands() -> Vec<(&'static str, Command)> {
    let decide = |commit| Command::Decide { number: 12, generation: 400, commit, reason: "late".into() };
    vec![
        ("join", Command::Join { key: KEY, name: "m1".into() }),
        ("end_left", Command::End { key: KEY, left: true }),
        ("end_expired", Command::End { key: KEY, left: false }),
        ("forget", Command::Forget { member: 5 }),
        ("propose", Command::Propose(version())),
        ("decide_commit", decide(true)),
        ("decide_abort", decide(false)),
        ("open", Command::Activate { number: 12, generation: 400 }),
    ]
}

#[test]
fn requests_keep_their_bytes() {
    assert_golden("requests.hex", requests());
}

#[test]
fn responses_keep_their_bytes() {
    assert_golden("responses.hex", responses());
}

#[test]
fn commands_and_outcomes_keep_their_bytes() {
    assert_golden("commands.hex", commands());
    assert_golden("outcomes.hex", outcomes());
    let tagged: Vec<_> =
        commands().iter().map(|(name, command)| (name.to_string(), encode_command(command))).collect();
    assert_recorded("tagged-commands.hex", &tagged);
    let change = |stage| Change { version: version(), stage };
    assert_golden(
        "changes.hex",
        vec![("preparing", change(Stage::Preparing)), ("closing", change(Stage::Barrier))],
    );
}

/// Members join, leave, expire and are removed; changes are committed, aborted, wait for a barrier and become active. The snapshot after
/// each command is compared.
#[test]
fn snapshots_and_command_outcomes_keep_their_bytes() {
    let join = |member, incarnation| Command::Join { key: (member, incarnation), name: format!("m{member}") };
    let decide =
        |number, generation, commit| Command::Decide { number, generation, commit, reason: "why".into() };
    let steps = [
        join(1, 1),
        join(2, 1),
        join(3, 1),
        Command::Propose(plain(0, 0)),
        decide(1, 2, true),
        decide(1, 3, true),
        Command::Propose(plain(5, 0)),
        Command::Propose(plain(6, 1)),
        decide(2, 3, false),
        Command::End { key: (2, 1), left: true },
        Command::End { key: (3, 1), left: false },
        join(2, 1),
        join(3, 2),
        Command::Forget { member: 3 },
        Command::Propose(Version { parent: 1, ..version() }),
        decide(3, 6, true),
        decide(3, 7, true),
        Command::Activate { number: 3, generation: 6 },
        Command::Activate { number: 3, generation: 7 },
        join(1, 2),
        Command::Propose(plain(9, 3)),
        Command::Propose(plain(10, 3)),
    ];
    let (mut state, mut lines) = (PolicyState::default(), Vec::new());
    for (at, command) in steps.iter().enumerate() {
        let outcome = state.apply(at as u64 + 1, &encode_command(command));
        lines.push((format!("outcome_{at}"), outcome));
        lines.push((format!("snapshot_{at}"), state.snapshot()));
        let restored = PolicyState::from_snapshot(&state.snapshot()).expect("a valid snapshot");
        assert_eq!(restored.snapshot(), state.snapshot(), "encoded again");
    }
    assert_recorded("snapshots.hex", &lines);
}

/// Operators search logs for these lines.
#[test]
fn events_keep_their_log_lines() {
    let event_lines = [
        (RolloutEvent::Proposed { number: 3, by: "x".into() }, "policy 3 is proposed by \"x\""),
        (RolloutEvent::Committed { number: 3 }, "policy 3 is taken"),
        (RolloutEvent::Aborted { number: 3, reason: "m1: no".into() }, "policy 3 is dropped: m1: no"),
        (RolloutEvent::Activated { number: 3 }, "policy 3 is in force"),
        (RolloutEvent::MemberJoined { name: "m1".into() }, "policy: m1 counts"),
        (RolloutEvent::MemberEnded { name: "m1".into() }, "policy: m1 counts no longer"),
    ];
    for (event, line) in event_lines {
        assert_eq!(event.to_string(), line);
    }
    let verdicts = [
        (WatchVerdict::Harm("f".into()), "policy 3 did harm: f"),
        (WatchVerdict::NoHarm("f".into()), "policy 3 did no harm: f"),
        (WatchVerdict::Unknown("f".into()), "policy 3 can't be judged: f"),
    ];
    for (verdict, line) in verdicts {
        assert_eq!(CoordinatorEvent::WatchEnded { number: 3, verdict }.to_string(), line);
    }
}
