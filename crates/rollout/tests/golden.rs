//! Bytes that are sent and stored, as recorded from the program at commit 67fc394: messages, commands, outcomes and snapshots. postcard
//! writes fields and variants by position, so their order and types are the format; their names are free. A version is also stored as
//! JSON, in which the names of its fields are the format.

use cypresscleat_consensus::Machine;
use cypresscleat_rollout::policies::{bytes, Change, Command, Dropped, Outcome, Policies, Stage};
use cypresscleat_rollout::said::{Answer, Ask, Line, Verdict};
use cypresscleat_rollout::watch::Seen;
use cypresscleat_rollout::{Missing, Rules, Version, WatchRules};
use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;
use std::path::Path;

/// Compares lines `name hex` with the file `tests/golden/FILE`. `RECORD_GOLDEN=1` writes the file instead, which is right only with a
/// program whose bytes are known to be those that are stored and sent.
fn assert_recorded(file: &str, lines: &[(String, Vec<u8>)]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    let found: Vec<String> = lines.iter().map(|(name, bytes)| format!("{name} {}", hex(bytes))).collect();
    if std::env::var_os("RECORD_GOLDEN").is_some() {
        std::fs::write(&path, found.join("\n") + "\n").expect("the golden file is written");
    }
    let recorded = std::fs::read_to_string(&path).expect("the golden file is there");
    for (found, recorded) in found.iter().zip(recorded.lines()) {
        assert_eq!(found, recorded, "{file}: the bytes changed");
    }
    assert_eq!(found.len(), recorded.lines().count(), "{file}: values were added or removed");
}

/// Checks that each value is written as recorded, and read back as it was.
fn assert_golden<T>(file: &str, values: Vec<(&str, T)>)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let mut lines = Vec::new();
    for (name, value) in values {
        let bytes = postcard::to_stdvec(&value).expect("the value is written");
        assert_eq!(postcard::from_bytes::<T>(&bytes).as_ref(), Ok(&value), "{name}: read back");
        lines.push((name.to_string(), bytes));
    }
    assert_recorded(file, &lines);
}

const KEY: (u64, u64) = (0x1122_3344_5566_7788, 9);

fn version() -> Version {
    let watch = Some(WatchRules { share: 50, within: 100_000 });
    let rules = Rules { missing: Missing::Wait, lease: 15_000, patience: 300_000, together: true, watch };
    Version {
        number: 12,
        parent: 11,
        hash: 0xfeed_0123_4567_89ab,
        by: "operator".into(),
        at_ms: 1_700_000_000_000,
        why: "a try".into(),
        rules,
        text: "missing: \"wait\"\n".into(),
        undoes: true,
    }
}

fn plain(number: u64, parent: u64) -> Version {
    Version {
        number,
        parent,
        hash: number + 70,
        by: "x".into(),
        text: format!("text {number}"),
        ..Version::default()
    }
}

fn requests() -> Vec<(&'static str, Ask)> {
    let seen = Seen { asked: 500, in_time: 499, milli: 1 << 40 };
    let here = |verdict, joins| Ask::Here {
        key: KEY,
        name: "m1".into(),
        joins,
        number: 300,
        verdict,
        paused: 12,
        has: 11,
        seen,
    };
    vec![
        ("here", here(None, true)),
        ("here_prepared", here(Some((12, Verdict::Good)), false)),
        ("here_refused", here(Some((12, Verdict::Bad("line 3: no".into()))), false)),
        ("fetch", Ask::Fetch { number: 1, version: 12 }),
        ("leave", Ask::Leave { key: KEY, number: 2 }),
        ("propose", Ask::Propose { number: 3, version: version() }),
        ("forget", Ask::Forget { number: 4, member: 5 }),
        ("status", Ask::Status { number: 5, from: KEY }),
        ("history", Ask::History { number: 6 }),
    ]
}

fn dropped() -> Dropped {
    Dropped { number: 10, hash: 1 << 60, by: "operator".into(), reason: "m3 refuses it".into() }
}

fn outcomes() -> Vec<(&'static str, Outcome)> {
    vec![
        ("done", Outcome::Done),
        ("proposed", Outcome::Proposed(12)),
        ("stale", Outcome::Stale { now: 11 }),
        ("busy", Outcome::Busy { number: 12 }),
        ("again", Outcome::Again),
        ("late", Outcome::Late),
        ("full", Outcome::Full),
    ]
}

fn responses() -> Vec<(&'static str, Answer)> {
    let held = |lease, period| Answer::Held {
        key: KEY,
        number: 300,
        lease,
        period,
        version: 11,
        check: 12,
        pause: 0,
    };
    let line = |verdict| Line { key: KEY, name: "m1".into(), has: 11, verdict, paused: true, silent: -1 };
    let status =
        |change, lines| Answer::Status { number: 5, now: 11, change, generation: 400, lines, more: true };
    let lines = vec![line(None), line(Some(Verdict::Good)), line(Some(Verdict::Bad("no".into())))];
    let mut all = vec![
        ("held", held(Some(15_000), 3_750)),
        ("held_for_good", held(None, 5_000)),
        ("gone", Answer::Gone { key: KEY }),
        ("document", Answer::Text { number: 1, version: Some(Box::new(version())) }),
        ("document_unknown", Answer::Text { number: 1, version: None }),
        ("done", Answer::Done { number: 2 }),
        ("status", status(None, vec![])),
        ("status_preparing", status(Some((12, Stage::Asking)), lines.clone())),
        ("status_closing", status(Some((12, Stage::Closing)), lines)),
        (
            "history",
            Answer::History { number: 6, taken: vec![version(), plain(1, 0)], dropped: vec![dropped()] },
        ),
        ("elsewhere", Answer::Elsewhere { leader: 3 }),
        ("news", Answer::News),
    ];
    all.extend(outcomes().into_iter().map(|(name, outcome)| (name, Answer::Proposed { number: 3, outcome })));
    all
}

fn commands() -> Vec<(&'static str, Command)> {
    let decide = |taken| Command::Decide { number: 12, generation: 400, taken, reason: "late".into() };
    vec![
        ("join", Command::Join { key: KEY, name: "m1".into() }),
        ("end_left", Command::End { key: KEY, left: true }),
        ("end_expired", Command::End { key: KEY, left: false }),
        ("forget", Command::Forget { member: 5 }),
        ("propose", Command::Propose(version())),
        ("decide_commit", decide(true)),
        ("decide_abort", decide(false)),
        ("open", Command::Open { number: 12, generation: 400 }),
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
        commands().iter().map(|(name, command)| (name.to_string(), bytes(command))).collect();
    assert_recorded("tagged-commands.hex", &tagged);
    let change = |stage| Change { version: version(), stage };
    assert_golden(
        "changes.hex",
        vec![("preparing", change(Stage::Asking)), ("closing", change(Stage::Closing))],
    );
}

/// Members that join, leave, expire and are forgotten; changes that commit, abort, wait and close: the snapshot after each command.
#[test]
fn snapshots_and_what_commands_came_to_keep_their_bytes() {
    let join = |member, life| Command::Join { key: (member, life), name: format!("m{member}") };
    let decide =
        |number, generation, taken| Command::Decide { number, generation, taken, reason: "why".into() };
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
        Command::Open { number: 3, generation: 6 },
        Command::Open { number: 3, generation: 7 },
        join(1, 2),
        Command::Propose(plain(9, 3)),
        Command::Propose(plain(10, 3)),
    ];
    let (mut state, mut lines) = (Policies::default(), Vec::new());
    for (at, command) in steps.iter().enumerate() {
        let outcome = state.apply(at as u64 + 1, &bytes(command));
        lines.push((format!("outcome_{at}"), outcome));
        lines.push((format!("snapshot_{at}"), state.image()));
        let again = Policies::from_image(&state.image()).expect("a snapshot is read");
        assert_eq!(again.image(), state.image(), "written again");
    }
    assert_recorded("snapshots.hex", &lines);
}
