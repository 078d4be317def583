//! Messages are read at every cut, within their bounds, and no bytes panic.

use cypresscleat_forwarding::grants::GRANT_DURATION;
use cypresscleat_forwarding::messages::{
    self, Decoded, Demand, Envelope, GossipUpdate, Grant, LoadReport, MemberState, Message, Role,
    WorkerObservation, VERSION,
};
use proptest::prelude::*;
use std::net::SocketAddr;

fn update(number: u64) -> GossipUpdate {
    let address = SocketAddr::from(([127, 0, 0, 1], number as u16));
    GossipUpdate { id: number, role: Role::Worker, address, incarnation: 3, state: MemberState::Suspect }
}

fn envelopes() -> Vec<Envelope> {
    let demand = Demand { class: 3, rate: 12.5, queued: 4, weight: 3.0 };
    let observation =
        WorkerObservation { worker: 9, in_flight: 2, ended: 10.0, rejected: 0.5, latency: 120.0 };
    let all = [
        Message::Ping { number: 7 },
        Message::PingRequest { number: 7, target: 9, address: SocketAddr::from(([127, 0, 0, 1], 80)) },
        Message::Join,
        Message::MemberList { members: (0..20).map(update).collect() },
        Message::Report(LoadReport {
            number: 1,
            demands: vec![demand],
            observations: vec![observation],
            epoch: 5,
        }),
        Message::Grants {
            epoch: 5,
            number: 6,
            report: 1,
            duration: GRANT_DURATION,
            grants: vec![Grant { worker: 9, slots: 3 }],
        },
    ];
    let with = |message| Envelope { from: 1, incarnation: 2, updates: vec![update(5)], message };
    all.into_iter().map(with).collect()
}

#[test]
fn messages_are_read_at_every_cut_and_bounds_hold() {
    let mut all = Vec::new();
    for envelope in envelopes() {
        let mut bytes = Vec::new();
        assert!(messages::encode(&mut bytes, &envelope));
        for cut in 0..bytes.len() {
            assert_eq!(messages::decode(&bytes[..cut]), Decoded::Incomplete);
        }
        all.extend(&bytes);
        let size = bytes.len();
        bytes.extend([1, 2, 3]);
        assert_eq!(messages::decode(&bytes), Decoded::Message(envelope, size));
        bytes[4] = VERSION + 1;
        assert_eq!(messages::decode(&bytes), Decoded::Unknown(size), "another version is skipped whole");
    }
    let mut rest = &all[..];
    let mut read = Vec::new();
    while let Decoded::Message(envelope, size) = messages::decode(rest) {
        read.push(envelope);
        rest = &rest[size..];
    }
    assert_eq!(read, envelopes());
    assert!(matches!(messages::decode(&u32::MAX.to_be_bytes()), Decoded::Malformed(_)));
    assert!(matches!(messages::decode(&[0; 4]), Decoded::Malformed(_)));
    let many = Message::MemberList { members: (0..600).map(update).collect() };
    let mut bytes = Vec::new();
    assert!(messages::encode(
        &mut bytes,
        &Envelope { from: 1, incarnation: 1, updates: vec![], message: many }
    ));
    assert!(matches!(messages::decode(&bytes), Decoded::Malformed(_)));
    let long = Message::MemberList { members: (0..20_000).map(update).collect() };
    let mut bytes = Vec::new();
    assert!(!messages::encode(
        &mut bytes,
        &Envelope { from: 1, incarnation: 1, updates: vec![], message: long }
    ));
    assert!(bytes.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 20_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_panic(which in 0..6usize, at in any::<usize>(), byte in any::<u8>(), cut in any::<bool>()) {
        let mut bytes = Vec::new();
        messages::encode(&mut bytes, &envelopes()[which]);
        let at = at % bytes.len();
        if cut {
            bytes.truncate(at);
        } else {
            bytes[at] = byte;
        }
        let _ = messages::decode(&bytes);
    }
}
