//! Keepers of the version before: what they send is read, what they wrote is read, and what they know is written as it was.

use cypresscleat_consensus::message::{self, Message};
use cypresscleat_consensus::{Member, StateMachine};
use cypresscleat_leases::messages::{Datagram, Request, Response};
use cypresscleat_leases::state::LeaseState;
use cypresscleat_leases::{Claim, Partition};
use cypresscleat_rollout::member::AdmissionPermit;
use cypresscleat_rollout::messages as policy;
use cypresscleat_rollout::state::{self as policies, PolicyState, Version};
use cypresscleat_rollout::{node_id, MemberKey, MAX_DOCUMENT_BYTES, SECOND};
use cypresscleat_server::leases::replicated_state::ReplicatedState;
use cypresscleat_server::leases::wire::ControlMessage;
use cypresscleat_server::rollout::member::MemberTask;
use cypresscleat_server::rollout::{document_store, RolloutSettings};
use tokio::net::UdpSocket;

#[test]
fn datagrams_are_those_of_before_and_new_ones_are_none_to_them() {
    let letter_of = Message {
        from: Member { id: 1, disk: 2 },
        to_disk: 3,
        term: 4,
        body: message::MessageBody::JoinRequest { empty_disk: true },
    };
    let ask = Request::Renew {
        instance: 1,
        incarnation: 2,
        session: 3,
        number: 4,
        last_seen_grant: (5, Partition { task: 6, index: 7 }),
        claims: vec![Claim { task: 6, partitions: 8, rank: 0 }],
    };
    let response = Response::SessionExpired { session: 9 };
    let pairs = [
        (Datagram::Consensus(letter_of.clone()), ControlMessage::Consensus(letter_of)),
        (Datagram::Request(ask.clone()), ControlMessage::LeaseRequest(ask)),
        (
            Datagram::Response { from: 1, response: response.clone() },
            ControlMessage::LeaseResponse { from: 1, response },
        ),
    ];
    for (before, now) in pairs {
        let bytes = message::encode(&before).expect("it is short");
        assert_eq!(message::encode(&now).as_ref(), Some(&bytes));
        assert_eq!(message::decode::<ControlMessage>(&bytes), Ok(now));
    }
    let new = [
        ControlMessage::RolloutRequest(policy::Request::History { number: 1 }),
        ControlMessage::RolloutResponse { from: 1, response: policy::Response::Changed },
    ];
    for new in new {
        let bytes = message::encode(&new).expect("it is short");
        assert_eq!(
            message::decode::<Datagram>(&bytes),
            Err(message::DecodeError::UnknownFormat),
            "skipped, as if it were lost"
        );
    }
}

#[test]
fn an_image_of_duties_alone_is_read_and_both_machines_keep_to_their_own_commands() {
    let open = cypresscleat_leases::state::Command::OpenSession {
        instance: 1,
        incarnation: 2,
        claims: vec![Claim { task: 6, partitions: 2, rank: 0 }],
    };
    let open = postcard::to_stdvec(&open).expect("a command");
    let mut duties = LeaseState::default();
    duties.apply(5, &open);
    let before = ReplicatedState::from_snapshot(&duties.snapshot()).expect("an image of before");
    assert_eq!(before.leases.owner(Partition { task: 6, index: 0 }), Some((1, 5)));
    assert_eq!(before.policies, PolicyState::default());
    let mut both = ReplicatedState::default();
    both.apply(5, &open);
    let propose = policies::Command::Propose(Version {
        by: "x".into(),
        document: "lease: 1s".into(),
        ..Version::default()
    });
    both.apply(6, &policies::encode_command(&propose));
    assert_eq!(both.leases.owner(Partition { task: 6, index: 0 }), Some((1, 5)));
    assert!(both.policies.pending_change().is_some());
    let mut again = ReplicatedState::from_snapshot(&both.snapshot()).expect("an image");
    again.policies.take_events();
    both.policies.take_events();
    assert_eq!(again.policies, both.policies);
    assert_eq!(again.leases.owner(Partition { task: 6, index: 0 }), Some((1, 5)));
    for cut in 0..both.snapshot().len() {
        let _ = ReplicatedState::from_snapshot(&both.snapshot()[..cut]); // nothing panics
    }
}

/// Where a keeper hears is believed of one that is known only, and no list grows without end.
#[test]
fn where_a_keeper_hears_is_learnt_from_known_ones_only() {
    use cypresscleat_server::leases::wire::learn_address;
    use std::collections::HashMap;
    use std::net::SocketAddr;
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let mut known = HashMap::from([(1, at(1))]);
    assert!(!learn_address(&mut known, at(9), 2, at(2)), "said by a stranger");
    assert!(learn_address(&mut known, at(1), 2, at(2)));
    assert!(!learn_address(&mut known, at(1), 2, at(3)), "one that is known stays where the file says");
    assert_eq!(known[&2], at(2));
    for keeper in 3..100 {
        learn_address(&mut known, at(1), keeper, at(keeper as u16));
    }
    assert_eq!(known.len(), 32);
}

/// Whoever else reaches a member's socket gives it no lease, nor anything else, under a keeper's name.
#[test]
fn a_member_takes_no_word_from_elsewhere_than_whom_it_asks() {
    let folder = std::env::temp_dir().join(format!("member-and-stranger-{}", std::process::id()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let keeper = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let stranger = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let above = [("k".to_string(), keeper.local_addr().expect("an address"))];
        let set = RolloutSettings {
            folder: folder.clone(),
            start_alone_after: None,
            max_document_bytes: MAX_DOCUMENT_BYTES,
            relays: Vec::new(),
        };
        let task = MemberTask::new("m", &above, &set, None, None, Box::new(|_| {})).await.expect("a socket");
        let gate = task.gate();
        let plays = async {
            for (socket, may) in [(&stranger, AdmissionPermit::Deny), (&keeper, AdmissionPermit::Admit(0))] {
                let (key, number, member, _) = asking(&keeper).await;
                let lease = 30 * SECOND;
                let (period, version, check, pause) = (lease / 4, 0, 0, 0);
                let answer = policy::Response::Renewed {
                    key,
                    number,
                    lease: Some(lease),
                    period,
                    version,
                    check,
                    pause,
                };
                says(socket, member, answer).await;
                // Heard after that one, and answered by an asking.
                says(&keeper, member, policy::Response::Changed).await;
                let mut joins = asking(&keeper).await.3;
                // It may have asked again by itself.
                while may != AdmissionPermit::Deny && joins {
                    joins = asking(&keeper).await.3;
                }
                assert_eq!((joins, gate.permit()), (may == AdmissionPermit::Deny, may));
            }
        };
        tokio::select! {
            () = task.run() => panic!("it ended"),
            () = plays => {}
        }
    });
    let _ = std::fs::remove_dir_all(folder);
}

async fn asking(keeper: &UdpSocket) -> (MemberKey, u32, std::net::SocketAddr, bool) {
    let mut bytes = vec![0; message::MAX_DATAGRAM_BYTES];
    let (size, by) = keeper.recv_from(&mut bytes).await.expect("an asking");
    match message::decode::<ControlMessage>(&bytes[..size]) {
        Ok(ControlMessage::RolloutRequest(policy::Request::Heartbeat { key, number, joins, .. })) => {
            (key, number, by, joins)
        }
        other => panic!("{other:?}"),
    }
}

async fn says(by: &UdpSocket, to: std::net::SocketAddr, response: policy::Response) {
    let bytes = message::encode(&ControlMessage::RolloutResponse { from: node_id("k"), response })
        .expect("it is short");
    by.send_to(&bytes, to).await.expect("it goes");
}

/// What is in force outlives any number of changes that are dropped: in memory, and on the disk.
#[test]
fn a_member_goes_on_under_what_is_in_force_after_many_dropped_changes() {
    let folder = std::env::temp_dir().join(format!("member-and-dropped-{}", std::process::id()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let keeper = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let above = [("k".to_string(), keeper.local_addr().expect("an address"))];
        let set = RolloutSettings { folder: folder.clone(), start_alone_after: None, max_document_bytes: MAX_DOCUMENT_BYTES, relays: Vec::new() };
        let task = MemberTask::new("m", &above, &set, None, None, Box::new(|_| {})).await.expect("a socket");
        let gate = task.gate();
        let plays = async {
            let (mut check, mut gone, mut bytes) = (0, false, vec![0; message::MAX_DATAGRAM_BYTES]);
            loop {
                let (size, member) = keeper.recv_from(&mut bytes).await.expect("an asking");
                match message::decode::<ControlMessage>(&bytes[..size]) {
                    Ok(ControlMessage::RolloutRequest(policy::Request::FetchDocument { number, version })) => {
                        let version = Some(Box::new(Version { number: version, ..Version::default() }));
                        says(&keeper, member, policy::Response::Document { number, version }).await;
                    }
                    Ok(ControlMessage::RolloutRequest(policy::Request::Heartbeat { key, number, joins, verdict, active: has, .. })) => {
                        if gone && has == 1 {
                            break;
                        }
                        if (check == 0 && has == 1) || verdict == Some((check, policy::Verdict::Prepared)) {
                            check = if check == 0 { 2 } else { check + 1 };
                        }
                        if check > 12 && !joins {
                            gone = true;
                            says(&keeper, member, policy::Response::MembershipExpired { key }).await;
                            continue;
                        }
                        let (lease, period, check) = (Some(30 * SECOND), SECOND / 10, check.min(12));
                        let answer =
                            policy::Response::Renewed { key, number, lease, period, version: 1, check, pause: 0 };
                        says(&keeper, member, answer).await;
                    }
                    other => panic!("{other:?}"),
                }
            }
            assert_eq!(gate.permit(), AdmissionPermit::Admit(1), "taken in anew");
            assert!(document_store::stored_versions(&folder).contains(&1), "{:?}", document_store::stored_versions(&folder));
        };
        tokio::select! {
            () = task.run() => panic!("it ended"),
            () = plays => {}
            () = tokio::time::sleep(std::time::Duration::from_secs(20)) => panic!("it never came in force again"),
        }
    });
    let _ = std::fs::remove_dir_all(folder);
}
