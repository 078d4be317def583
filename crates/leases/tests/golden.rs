//! Bytes that are sent and stored, as recorded from the program at commit 67fc394: messages, commands, outcomes and snapshots. postcard
//! encodes fields and variants by position: their order and types are the format, their names are not part of it.

#[path = "support/golden.rs"]
mod recorded;

use cypresscleat_consensus::StateMachine;
use cypresscleat_leases::messages::{Datagram, Grant, Operation, PartitionStatus, Request, Response};
use cypresscleat_leases::state::{Command, LeaseState, Outcome, OwnerChange};
use cypresscleat_leases::{node_id, Claim, Partition};
use recorded::{assert_golden, assert_recorded};

const PARTITION: Partition = Partition { task: 0x1122_3344_5566_7788, index: 300 };

fn claims() -> Vec<Claim> {
    vec![Claim { task: 7, partitions: 3, rank: 0 }, Claim { task: 1 << 40, partitions: 1, rank: 2 }]
}

fn operations() -> Vec<Operation> {
    vec![
        Operation::Release { partition: PARTITION, token: 1000 },
        Operation::SaveCursor { partition: PARTITION, token: 1001, step: 5, cursor: vec![0, 127, 255] },
    ]
}

fn grants() -> Vec<Grant> {
    vec![
        Grant { partition: PARTITION, token: 57, cursor: vec![], release_requested: false },
        Grant {
            partition: Partition { task: 1, index: 0 },
            token: 1 << 33,
            cursor: vec![9, 8],
            release_requested: true,
        },
    ]
}

fn requests() -> Vec<(&'static str, Request)> {
    let no_grant = (0, Partition { task: 0, index: 0 });
    let opening = Request::Renew {
        instance: 1,
        incarnation: u64::MAX,
        session: 0,
        number: 1,
        last_seen_grant: no_grant,
        claims: claims(),
    };
    let renewal = Request::Renew {
        instance: 1 << 63,
        incarnation: 2,
        session: 3,
        number: 400,
        last_seen_grant: (5, PARTITION),
        claims: vec![],
    };
    let (all_instances, one_instance) = (None, Some(99));
    vec![
        ("renew_opening", opening),
        ("renew", renewal),
        ("apply", Request::Apply { session: 3, number: 5, operations: operations() }),
        ("leave", Request::Leave { session: 3, number: 6 }),
        ("exclude_all", Request::Exclude { number: 7, task: 70, instance: all_instances, excluded: true }),
        ("exclude_one", Request::Exclude { number: 7, task: 70, instance: one_instance, excluded: false }),
        ("list", Request::List { number: 8, from: PARTITION }),
    ]
}

fn responses() -> Vec<(&'static str, Response)> {
    let (after, lease) = ((6, PARTITION), 20_000);
    let status = PartitionStatus {
        partition: PARTITION,
        owner: 4,
        token: 5,
        lease_left: 19_000,
        cursor_age: -1,
        cursor: vec![1],
    };
    vec![
        ("held", Response::Renewed { session: 3, number: 4, lease, after, grants: grants(), more: true }),
        ("gone", Response::SessionExpired { session: 3 }),
        ("granted", Response::Granted { session: 3, after, grants: grants() }),
        ("done", Response::Done { number: 5, applied: 0b101 }),
        ("elsewhere", Response::NotLeader { leader: 1 << 50 }),
        ("list", Response::Partitions { number: 8, partitions: vec![status], more: false }),
        ("full", Response::LimitReached { number: 9 }),
    ]
}

fn commands() -> Vec<(&'static str, Command)> {
    vec![
        ("open", Command::OpenSession { instance: 1, incarnation: 2, claims: claims() }),
        ("end", Command::EndSession { session: 300 }),
        ("apply", Command::Apply { session: 300, operations: operations() }),
        ("exclude_all", Command::Exclude { task: 7, instance: None, excluded: true }),
        ("exclude_one", Command::Exclude { task: 7, instance: Some(1), excluded: false }),
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
    let requests = requests().into_iter().map(|(name, request)| (name, Datagram::Request(request)));
    let responses = responses()
        .into_iter()
        .map(|(name, message)| (name, Datagram::Response { from: 2, response: message }));
    assert_golden("datagrams.hex", requests.chain(responses).collect());
}

#[test]
fn commands_and_outcomes_keep_their_bytes() {
    assert_golden("commands.hex", commands());
    let outcomes = vec![
        ("opened", Outcome::SessionOpened(300)),
        ("done", Outcome::Done),
        ("applied", Outcome::Applied(0b110)),
        ("full", Outcome::LimitReached),
    ];
    assert_golden("outcomes.hex", outcomes);
}

/// Two sessions, an excluded instance, a released partition, a cursor, an ended session: the snapshot after each command.
#[test]
fn snapshots_and_outcomes_keep_their_bytes() {
    let partition = |number| Partition { task: 7, index: number };
    let claim = |partitions, rank| vec![Claim { task: 7, partitions, rank }];
    let cursor = Operation::SaveCursor { partition: partition(0), token: 1, step: 2, cursor: vec![4, 2] };
    let steps = [
        Command::OpenSession { instance: 11, incarnation: 1, claims: claim(3, 0) },
        Command::OpenSession { instance: 12, incarnation: 1, claims: claim(3, 1) },
        Command::Apply {
            session: 1,
            operations: vec![cursor, Operation::Release { partition: partition(1), token: 1 }],
        },
        Command::Exclude { task: 7, instance: Some(11), excluded: true },
        Command::Apply {
            session: 1,
            operations: vec![Operation::Release { partition: partition(2), token: 1 }],
        },
        Command::OpenSession { instance: 11, incarnation: 2, claims: claims() },
        Command::EndSession { session: 2 },
        Command::Exclude { task: 7, instance: Some(11), excluded: false },
        Command::Exclude { task: 7, instance: None, excluded: true },
    ];
    let (mut state, mut lines) = (LeaseState::default(), Vec::new());
    for (at, command) in steps.iter().enumerate() {
        let outcome = state.apply(at as u64 + 1, &postcard::to_stdvec(command).expect("a command"));
        lines.push((format!("outcome_{at}"), outcome));
        lines.push((format!("snapshot_{at}"), state.snapshot()));
        let restored = LeaseState::from_snapshot(&state.snapshot()).expect("a snapshot is read");
        assert_eq!(restored.snapshot(), state.snapshot(), "encoded again");
    }
    assert_recorded("snapshots.hex", &lines);
}

/// Names are sent and stored as these ids.
#[test]
fn names_keep_their_ids() {
    let names = ["", "settle", "sums", "tally", "planners", "n1", "keeper-1", "ü"];
    let lines: Vec<_> = names.map(|name| (format!("{name:?}"), node_id(name).to_be_bytes().to_vec())).into();
    assert_recorded("names.hex", &lines);
}

/// Operators search the logs for these lines.
#[test]
fn changes_of_owner_keep_their_log_lines() {
    let change = OwnerChange { partition: Partition { task: 0xab, index: 2 }, session: 5, token: 7 };
    assert_eq!(
        change.log_line(Some(0xcd)),
        "duty 00000000000000ab part 2: 00000000000000cd owns it, token 7"
    );
    assert_eq!(change.log_line(None), "duty 00000000000000ab part 2: nobody owns it, after token 7");
}
