//! One value of each variant that is sent between replicas or kept on their disks.

use cypresscleat_consensus::kept::{self, Base, Hard, Write};
use cypresscleat_consensus::letter::{Body, Entry, Letter, Mark, What};
use cypresscleat_consensus::Member;

fn members() -> Vec<Member> {
    vec![Member { id: 1, disk: 11 }, Member { id: 0x104a_b8d3_12e2_2533, disk: u64::MAX }]
}

fn entries() -> Vec<Entry> {
    vec![
        Entry { term: 3, what: What::Blank },
        Entry { term: 300, what: What::Command(vec![0, 1, 0xff]) },
        Entry { term: 70_000, what: What::Members(members()) },
    ]
}

/// Each kind of message with its name in the file of golden bytes.
pub fn messages() -> Vec<(&'static str, Letter)> {
    let mark = Mark { term: 5, index: 1_000 };
    let bodies = vec![
        ("fresh-empty", Body::Fresh { empty: true }),
        ("fresh-used", Body::Fresh { empty: false }),
        ("form", Body::Form { members: members() }),
        ("hello", Body::Hello { last: mark }),
        ("seen", Body::Seen { last: mark, voted: 6 }),
        ("ask-pre", Body::Ask { pre: true, last: mark }),
        ("ask", Body::Ask { pre: false, last: mark }),
        ("vote-pre", Body::Vote { pre: true, granted: false }),
        ("vote", Body::Vote { pre: false, granted: true }),
        ("append", Body::Append { round: 9, before: mark, entries: entries(), commit: 999 }),
        ("appended-good", Body::Appended { round: 9, good: true, upto: 1_003 }),
        ("appended-not", Body::Appended { round: 10, good: false, upto: 7 }),
        (
            "image",
            Body::Image {
                round: 11,
                base: mark,
                members: members(),
                at: 32_768,
                length: 40_000,
                bytes: vec![1, 2, 3],
            },
        ),
        ("image-taken", Body::ImageTaken { round: 11, index: 1_000, at: 32_771 }),
    ];
    let from = Member { id: 7, disk: 0x0102_0304_0506_0708 };
    bodies.into_iter().map(|(name, body)| (name, Letter { from, to_disk: 12, term: 500, body })).collect()
}

/// Each kind of write to a disk with its name in the file of golden bytes.
pub fn writes() -> Vec<(String, Write)> {
    let mut all = vec![
        ("hard-unused".to_string(), kept::hard(&Hard::default())),
        ("hard".into(), kept::hard(&Hard { disk: 12, term: 500, voted: Some(7) })),
    ];
    for (at, entry) in entries().iter().enumerate() {
        all.push((format!("entry-{at}"), kept::entry(1_001 + at as u64, entry)));
    }
    all.push(("entry-removed".into(), kept::no_entry(1_004)));
    let old = Base { mark: Mark { term: 4, index: 900 }, members: members(), length: 300_000 };
    let new = Base { mark: Mark { term: 5, index: 903 }, members: members(), length: 4 };
    let mut writes = Vec::new();
    kept::base(&mut writes, &new, &[9, 8, 7, 6], &old, 901..=903);
    all.extend(writes.into_iter().enumerate().map(|(at, write)| (format!("base-{at}"), write)));
    all
}
