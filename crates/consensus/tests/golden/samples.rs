//! A sample of each variant that is sent between replicas or stored on their disks.

use cypresscleat_consensus::message::{Entry, EntryPayload, LogPosition, Message, MessageBody};
use cypresscleat_consensus::storage::{self, HardState, Snapshot, Write};
use cypresscleat_consensus::Member;

fn members() -> Vec<Member> {
    vec![Member { id: 1, disk: 11 }, Member { id: 0x104a_b8d3_12e2_2533, disk: u64::MAX }]
}

fn entries() -> Vec<Entry> {
    vec![
        Entry { term: 3, payload: EntryPayload::NoOp },
        Entry { term: 300, payload: EntryPayload::Command(vec![0, 1, 0xff]) },
        Entry { term: 70_000, payload: EntryPayload::Membership(members()) },
    ]
}

/// Each kind of message with its name in the file of golden bytes.
pub fn messages() -> Vec<(&'static str, Message)> {
    let last_position = LogPosition { term: 5, index: 1_000 };
    let bodies = vec![
        ("fresh-empty", MessageBody::JoinRequest { empty_disk: true }),
        ("fresh-used", MessageBody::JoinRequest { empty_disk: false }),
        ("form", MessageBody::Bootstrap { members: members() }),
        ("hello", MessageBody::DiskCheck { last: last_position }),
        ("seen", MessageBody::DiskCheckResponse { last: last_position, voted_term: 6 }),
        ("ask-pre", MessageBody::RequestVote { pre_vote: true, last: last_position }),
        ("ask", MessageBody::RequestVote { pre_vote: false, last: last_position }),
        ("vote-pre", MessageBody::RequestVoteResponse { pre_vote: true, granted: false }),
        ("vote", MessageBody::RequestVoteResponse { pre_vote: false, granted: true }),
        (
            "append",
            MessageBody::AppendEntries { round: 9, previous: last_position, entries: entries(), commit: 999 },
        ),
        ("appended-good", MessageBody::AppendEntriesResponse { round: 9, success: true, index: 1_003 }),
        ("appended-not", MessageBody::AppendEntriesResponse { round: 10, success: false, index: 7 }),
        (
            "image",
            MessageBody::InstallSnapshot {
                round: 11,
                position: last_position,
                members: members(),
                offset: 32_768,
                total_bytes: 40_000,
                bytes: vec![1, 2, 3],
            },
        ),
        (
            "image-taken",
            MessageBody::InstallSnapshotResponse { round: 11, index: 1_000, received_bytes: 32_771 },
        ),
    ];
    let from = Member { id: 7, disk: 0x0102_0304_0506_0708 };
    bodies.into_iter().map(|(name, body)| (name, Message { from, to_disk: 12, term: 500, body })).collect()
}

/// Each kind of write to a disk with its name in the file of golden bytes.
pub fn writes() -> Vec<(String, Write)> {
    let mut all = vec![
        ("hard-unused".to_string(), storage::write_hard_state(&HardState::default())),
        ("hard".into(), storage::write_hard_state(&HardState { disk: 12, term: 500, voted_for: Some(7) })),
    ];
    for (at, entry) in entries().iter().enumerate() {
        all.push((format!("entry-{at}"), storage::write_entry(1_001 + at as u64, entry)));
    }
    all.push(("entry-removed".into(), storage::remove_entry(1_004)));
    let old =
        Snapshot { position: LogPosition { term: 4, index: 900 }, members: members(), total_bytes: 300_000 };
    let new = Snapshot { position: LogPosition { term: 5, index: 903 }, members: members(), total_bytes: 4 };
    let mut writes = Vec::new();
    storage::write_snapshot(&mut writes, &new, &[9, 8, 7, 6], &old, 901..=903);
    all.extend(writes.into_iter().enumerate().map(|(at, write)| (format!("base-{at}"), write)));
    all
}
