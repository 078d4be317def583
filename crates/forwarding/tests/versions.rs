//! Compatibility between versions: messages of an earlier version are decoded, and the earlier version decodes current messages except
//! for new kinds. The recorded bytes are those of commit 86fa3b7, the earlier version.
//!
//! Rules for additions: new kinds of messages go to the end of the enum, and existing kinds get no new field. The sender of a new kind
//! must not depend on an answer. A message that all members must understand uses a kind that all versions know.

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

fn messages() -> Vec<Message> {
    let known =
        vec![update(5, MemberState::Alive), update(6, MemberState::Draining), update(7, MemberState::Left)];
    let demands = vec![Demand { class: 1, rate: 2.5, queued: 3, weight: 4.0 }];
    let worker_observations =
        vec![WorkerObservation { worker: 5, in_flight: 1, ended: 2.0, rejected: 0.5, latency: 30.0 }];
    let grants = vec![Grant { worker: 5, slots: 3 }];
    vec![
        Message::Ping { number: 7 },
        Message::Ack { number: 7 },
        Message::PingRequest { number: 8, target: 77, address: "[::1]:9".parse().expect("an address") },
        Message::Join,
        Message::MemberList { members: known },
        Message::Report(LoadReport { number: 9, demands, observations: worker_observations, epoch: 4 }),
        Message::Grants { epoch: 4, number: 2, report: 9, duration: 20_000, grants },
    ]
}

#[test]
fn messages_of_the_earlier_version_are_decoded() {
    for (hex, message) in RECORDED.into_iter().zip(messages()) {
        let bytes = bytes(hex);
        assert_eq!(decode(&bytes), Decoded::Message(envelope(message), bytes.len()), "{hex}");
    }
}

/// The message kinds of the earlier version.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierMessage {
    Ping { number: u32 },
    Ack { number: u32 },
    PingRequest { number: u32, target: u64, address: SocketAddr },
    Join,
    MemberList { members: Vec<GossipUpdate> },
    Report(LoadReport),
    Grants { epoch: u64, number: u64, report: u32, duration: i64, grants: Vec<Grant> },
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierEnvelope {
    from: u64,
    incarnation: u32,
    updates: Vec<GossipUpdate>,
    message: EarlierMessage,
}

#[test]
fn the_earlier_version_decodes_known_messages_and_skips_the_rest() {
    for (hex, message) in RECORDED.into_iter().zip(messages()) {
        let mut encoded = Vec::new();
        assert!(encode(&mut encoded, &envelope(message)));
        assert_eq!(encoded, bytes(hex), "the recorded bytes");
    }
    let new = [
        Message::Sync { hashes: vec![1; MEMBER_PARTITIONS] },
        Message::WithPolicyVersion { version: 3, message: Box::new(Message::Join) },
    ];
    for message in new {
        let mut encoded = Vec::new();
        assert!(encode(&mut encoded, &envelope(message.clone())));
        assert_eq!(encoded[4], 1, "the version number is unchanged, so the earlier version decodes the kind");
        let decoded = postcard::from_bytes::<EarlierEnvelope>(&encoded[5..]);
        assert!(decoded.is_err(), "the earlier version skips an unknown kind: {message:?}");
    }
    // Messages that exceed a bound are malformed, also inside another message.
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
        let mut encoded = Vec::new();
        assert!(encode(&mut encoded, &envelope(message)));
        assert!(matches!(decode(&encoded), Decoded::Malformed(_)));
    }
}
