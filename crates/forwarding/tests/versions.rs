//! Versions mixed: what a program of before sends is read as it meant it, and it reads what today's sends, but for the kinds that it does
//! not know. The recorded bytes are those of commit 86fa3b7, the version that was landed last.
//!
//! The rules for what a version adds: kinds of messages at the end of their list, never a field in one that is there; whoever sends a new
//! kind lives without an answer to it; what has to be understood by all has a kind that all know.

use cypresscleat_forwarding::messages::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

const RECORDED: [&str; 7] = [
    "0000002101cb89ec8ff72302020802000a010203d83603010902000a010203d83603030007",
    "0000002101cb89ec8ff72302020802000a010203d83603010902000a010203d83603030107",
    "0000003401cb89ec8ff72302020802000a010203d83603010902000a010203d836030302084d010000000000000000000000000000000109",
    "0000002001cb89ec8ff72302020802000a010203d83603010902000a010203d836030303",
    "0000004201cb89ec8ff72302020802000a010203d83603010902000a010203d836030304030502000a010203d83603000602000a010203d83603020702000a010203d8360304",
    "0000003c01cb89ec8ff72302020802000a010203d83603010902000a010203d836030305090101000020400300008040010501000000400000003f0000f04104",
    "0000002901cb89ec8ff72302020802000a010203d83603010902000a010203d836030306040209c0b802010503",
];

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len()).step_by(2).map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex")).collect()
}

fn update(id: u64, state: MemberState) -> GossipUpdate {
    let address: SocketAddr = "10.1.2.3:7000".parse().expect("an address");
    GossipUpdate { id, role: Role::Worker, address, incarnation: 3, state }
}

fn envelope(message: Message) -> Envelope {
    let updates = vec![update(8, MemberState::Suspect), update(9, MemberState::Dead)];
    Envelope { from: 1_234_567_890_123, incarnation: 2, updates, message }
}

fn meant() -> Vec<Message> {
    let known =
        vec![update(5, MemberState::Alive), update(6, MemberState::Draining), update(7, MemberState::Left)];
    let demands = vec![Demand { class: 1, rate: 2.5, queued: 3, weight: 4.0 }];
    let sights =
        vec![WorkerObservation { worker: 5, in_flight: 1, ended: 2.0, rejected: 0.5, latency: 30.0 }];
    let grants = vec![Grant { worker: 5, slots: 3 }];
    vec![
        Message::Ping { number: 7 },
        Message::Ack { number: 7 },
        Message::PingRequest { number: 8, target: 77, address: "[::1]:9".parse().expect("an address") },
        Message::Join,
        Message::MemberList { members: known },
        Message::Report(LoadReport { number: 9, demands, observations: sights, epoch: 4 }),
        Message::Grants { epoch: 4, number: 2, report: 9, duration: 20_000, grants },
    ]
}

#[test]
fn what_the_version_before_sends_is_read_as_it_meant_it() {
    for (hex, message) in RECORDED.into_iter().zip(meant()) {
        let bytes = bytes(hex);
        assert_eq!(decode(&bytes), Decoded::Message(envelope(message), bytes.len()), "{hex}");
    }
}

/// The kinds that the version before knew, as it had them.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum Before {
    Ping { number: u32 },
    Ack { number: u32 },
    PingFor { number: u32, whom: u64, at: SocketAddr },
    Join,
    Known { updates: Vec<GossipUpdate> },
    Report(LoadReport),
    Grants { epoch: u64, number: u64, answers: u32, lasts: i64, grants: Vec<Grant> },
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EnvelopeBefore {
    from: u64,
    incarnation: u32,
    updates: Vec<GossipUpdate>,
    message: Before,
}

#[test]
fn the_version_before_reads_what_it_knows_and_skips_the_rest() {
    for (hex, message) in RECORDED.into_iter().zip(meant()) {
        let mut written = Vec::new();
        assert!(encode(&mut written, &envelope(message)));
        assert_eq!(written, bytes(hex), "the same bytes as before");
    }
    let new = [
        Message::Sync { hashes: vec![1; MEMBER_PARTITIONS] },
        Message::WithPolicyVersion { version: 3, message: Box::new(Message::Join) },
    ];
    for message in new {
        let mut written = Vec::new();
        assert!(encode(&mut written, &envelope(message.clone())));
        assert_eq!(written[4], 1, "of the version that it knows: it looks at the kind");
        let before = postcard::from_bytes::<EnvelopeBefore>(&written[5..]);
        assert!(before.is_err(), "it skips what it does not know: {message:?}");
    }
    // What is past a bound is refused, also inside another.
    let nested = Message::WithPolicyVersion { version: 3, message: Box::new(Message::Join) };
    for message in [
        Message::Sync { hashes: vec![1; MEMBER_PARTITIONS + 1] },
        Message::WithPolicyVersion { version: 3, message: Box::new(nested) },
        Message::WithPolicyVersion {
            version: 3,
            message: Box::new(Message::Grants {
                epoch: 1,
                number: 1,
                report: 1,
                duration: -1,
                grants: Vec::new(),
            }),
        },
    ] {
        let mut written = Vec::new();
        assert!(encode(&mut written, &envelope(message)));
        assert!(matches!(decode(&written), Decoded::Malformed(_)));
    }
}
