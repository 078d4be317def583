//! Bytes that are sent and stored, as recorded from the program at commit 67fc394: messages, commands, outcomes and snapshots. postcard
//! writes fields and variants by position, so their order and types are the format; their names are free.

use cypresscleat_consensus::Machine;
use cypresscleat_leases::duties::{Command, Duties, Outcome};
use cypresscleat_leases::said::{Answer, Ask, Datagram, Grant, Item, Line};
use cypresscleat_leases::{node_id, Part, Want};
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

const PART: Part = Part { duty: 0x1122_3344_5566_7788, part: 300 };

fn wants() -> Vec<Want> {
    vec![Want { duty: 7, parts: 3, rank: 0 }, Want { duty: 1 << 40, parts: 1, rank: 2 }]
}

fn items() -> Vec<Item> {
    vec![
        Item::Release { part: PART, token: 1000 },
        Item::Cursor { part: PART, token: 1001, step: 5, cursor: vec![0, 127, 255] },
    ]
}

fn grants() -> Vec<Grant> {
    vec![
        Grant { part: PART, token: 57, cursor: vec![], leave: false },
        Grant { part: Part { duty: 1, part: 0 }, token: 1 << 33, cursor: vec![9, 8], leave: true },
    ]
}

fn requests() -> Vec<(&'static str, Ask)> {
    let nothing = (0, Part { duty: 0, part: 0 });
    let opening =
        Ask::Renew { instance: 1, life: u64::MAX, session: 0, number: 1, known: nothing, wants: wants() };
    let renewal =
        Ask::Renew { instance: 1 << 63, life: 2, session: 3, number: 400, known: (5, PART), wants: vec![] };
    let (all, one) = (None, Some(99));
    vec![
        ("renew_opening", opening),
        ("renew", renewal),
        ("apply", Ask::Do { session: 3, number: 5, items: items() }),
        ("leave", Ask::Leave { session: 3, number: 6 }),
        ("exclude_all", Ask::Bar { number: 7, duty: 70, instance: all, barred: true }),
        ("exclude_one", Ask::Bar { number: 7, duty: 70, instance: one, barred: false }),
        ("list", Ask::List { number: 8, from: PART }),
    ]
}

fn responses() -> Vec<(&'static str, Answer)> {
    let (after, lease) = ((6, PART), 20_000);
    let line = Line { part: PART, owner: 4, token: 5, left: 19_000, moved: -1, cursor: vec![1] };
    vec![
        ("held", Answer::Held { session: 3, number: 4, lease, after, grants: grants(), more: true }),
        ("gone", Answer::Gone { session: 3 }),
        ("granted", Answer::Granted { session: 3, after, grants: grants() }),
        ("done", Answer::Done { number: 5, did: 0b101 }),
        ("elsewhere", Answer::Elsewhere { leader: 1 << 50 }),
        ("list", Answer::Lines { number: 8, lines: vec![line], more: false }),
        ("full", Answer::Full { number: 9 }),
    ]
}

fn commands() -> Vec<(&'static str, Command)> {
    vec![
        ("open", Command::Open { instance: 1, life: 2, wants: wants() }),
        ("end", Command::End { session: 300 }),
        ("apply", Command::Do { session: 300, items: items() }),
        ("exclude_all", Command::Bar { duty: 7, instance: None, barred: true }),
        ("exclude_one", Command::Bar { duty: 7, instance: Some(1), barred: false }),
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
fn datagrams_keep_their_bytes() {
    let requests = requests().into_iter().map(|(name, ask)| (name, Datagram::Ask(ask)));
    let responses =
        responses().into_iter().map(|(name, answer)| (name, Datagram::Answer { from: 2, answer }));
    assert_golden("datagrams.hex", requests.chain(responses).collect());
}

#[test]
fn commands_and_outcomes_keep_their_bytes() {
    assert_golden("commands.hex", commands());
    let outcomes = vec![
        ("opened", Outcome::Opened(300)),
        ("done", Outcome::Done),
        ("applied", Outcome::Did(0b110)),
        ("full", Outcome::Full),
    ];
    assert_golden("outcomes.hex", outcomes);
}

/// Two sessions, an excluded instance, a released partition, a cursor, an ended session: the snapshot after each command.
#[test]
fn snapshots_and_what_commands_came_to_keep_their_bytes() {
    let part = |number| Part { duty: 7, part: number };
    let want = |parts, rank| vec![Want { duty: 7, parts, rank }];
    let cursor = Item::Cursor { part: part(0), token: 1, step: 2, cursor: vec![4, 2] };
    let steps = [
        Command::Open { instance: 11, life: 1, wants: want(3, 0) },
        Command::Open { instance: 12, life: 1, wants: want(3, 1) },
        Command::Do { session: 1, items: vec![cursor, Item::Release { part: part(1), token: 1 }] },
        Command::Bar { duty: 7, instance: Some(11), barred: true },
        Command::Do { session: 1, items: vec![Item::Release { part: part(2), token: 1 }] },
        Command::Open { instance: 11, life: 2, wants: wants() },
        Command::End { session: 2 },
        Command::Bar { duty: 7, instance: Some(11), barred: false },
        Command::Bar { duty: 7, instance: None, barred: true },
    ];
    let (mut state, mut lines) = (Duties::default(), Vec::new());
    for (at, command) in steps.iter().enumerate() {
        let outcome = state.apply(at as u64 + 1, &postcard::to_stdvec(command).expect("a command"));
        lines.push((format!("outcome_{at}"), outcome));
        lines.push((format!("snapshot_{at}"), state.image()));
        let again = Duties::from_image(&state.image()).expect("a snapshot is read");
        assert_eq!(again.image(), state.image(), "written again");
    }
    assert_recorded("snapshots.hex", &lines);
}

/// Names are sent and stored as these numbers.
#[test]
fn names_keep_their_numbers() {
    let names = ["", "settle", "sums", "tally", "planners", "n1", "keeper-1", "ü"];
    let lines: Vec<_> = names.map(|name| (format!("{name:?}"), node_id(name).to_be_bytes().to_vec())).into();
    assert_recorded("names.hex", &lines);
}
