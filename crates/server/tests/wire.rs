//! Compatibility with control replicas of an earlier version: their datagrams and snapshots are read, and the messages and snapshots that
//! they understand are written unchanged.

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
fn datagrams_equal_those_of_the_earlier_version_which_ignores_new_ones() {
    let consensus_message = Message {
        from: Member { id: 1, disk: 2 },
        to_disk: 3,
        term: 4,
        body: message::MessageBody::JoinRequest { empty_disk: true },
    };
    let request = Request::Renew {
        instance: 1,
        incarnation: 2,
        session: 3,
        number: 4,
        last_seen_grant: (5, Partition { task: 6, index: 7 }),
        claims: vec![Claim { task: 6, partitions: 8, rank: 0 }],
    };
    let response = Response::SessionExpired { session: 9 };
    let pairs = [
        (Datagram::Consensus(consensus_message.clone()), ControlMessage::Consensus(consensus_message)),
        (Datagram::Request(request.clone()), ControlMessage::LeaseRequest(request)),
        (
            Datagram::Response { from: 1, response: response.clone() },
            ControlMessage::LeaseResponse { from: 1, response },
        ),
    ];
    for (earlier, current) in pairs {
        let bytes = message::encode(&earlier).expect("the message fits into a datagram");
        assert_eq!(message::encode(&current).as_ref(), Some(&bytes));
        assert_eq!(message::decode::<ControlMessage>(&bytes), Ok(current));
    }
    let new = [
        ControlMessage::RolloutRequest(policy::Request::History { number: 1 }),
        ControlMessage::RolloutResponse { from: 1, response: policy::Response::Changed },
    ];
    for new in new {
        let bytes = message::encode(&new).expect("the message fits into a datagram");
        assert_eq!(
            message::decode::<Datagram>(&bytes),
            Err(message::DecodeError::UnknownFormat),
            "the earlier version skips the datagram as if it were lost"
        );
    }
}

#[test]
fn a_snapshot_of_leases_alone_is_read_and_each_state_machine_applies_only_its_commands() {
    let open = cypresscleat_leases::state::Command::OpenSession {
        instance: 1,
        incarnation: 2,
        claims: vec![Claim { task: 6, partitions: 2, rank: 0 }],
    };
    let open = postcard::to_stdvec(&open).expect("a command");
    let mut leases = LeaseState::default();
    leases.apply(5, &open);
    let earlier =
        ReplicatedState::from_snapshot(&leases.snapshot()).expect("a snapshot of the earlier version");
    assert_eq!(earlier.leases.owner(Partition { task: 6, index: 0 }), Some((1, 5)));
    assert_eq!(earlier.policies, PolicyState::default());
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
    let mut restored = ReplicatedState::from_snapshot(&both.snapshot()).expect("a snapshot");
    restored.policies.take_events();
    both.policies.take_events();
    assert_eq!(restored.policies, both.policies);
    assert_eq!(restored.leases.owner(Partition { task: 6, index: 0 }), Some((1, 5)));
    for cut in 0..both.snapshot().len() {
        let _ = ReplicatedState::from_snapshot(&both.snapshot()[..cut]); // must not panic
    }
}

/// Only known replicas may report the address of a replica, and the address list is bounded.
#[test]
fn a_replica_address_is_learnt_from_known_replicas_only() {
    use cypresscleat_server::leases::wire::learn_address;
    use std::collections::HashMap;
    use std::net::SocketAddr;
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let mut known = HashMap::from([(1, at(1))]);
    assert!(!learn_address(&mut known, at(9), 2, at(2)), "reported by an unknown sender");
    assert!(learn_address(&mut known, at(1), 2, at(2)));
    assert!(!learn_address(&mut known, at(1), 2, at(3)), "a known replica keeps its configured address");
    assert_eq!(known[&2], at(2));
    for replica in 3..100 {
        learn_address(&mut known, at(1), replica, at(replica as u16));
    }
    assert_eq!(known.len(), 32);
}

/// Guards against an unknown sender that reaches a member's socket and grants a lease under a control replica's name.
#[test]
fn a_member_ignores_messages_from_addresses_that_it_does_not_poll() {
    let folder = std::env::temp_dir().join(format!("member-and-stranger-{}", std::process::id()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let replica = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let unknown_sender = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let replicas = [("k".to_string(), replica.local_addr().expect("an address"))];
        let settings = RolloutSettings {
            folder: folder.clone(),
            start_alone_after: None,
            max_document_bytes: MAX_DOCUMENT_BYTES,
            relays: Vec::new(),
        };
        let task =
            MemberTask::new("m", &replicas, &settings, None, None, Box::new(|_| {})).await.expect("a socket");
        let gate = task.gate();
        let replica_script = async {
            for (socket, permit) in
                [(&unknown_sender, AdmissionPermit::Deny), (&replica, AdmissionPermit::Admit(0))]
            {
                let (key, number, member, _) = receive_heartbeat(&replica).await;
                let lease = 30 * SECOND;
                let (period, version, check, pause) = (lease / 4, 0, 0, 0);
                let response = policy::Response::Renewed {
                    key,
                    number,
                    lease: Some(lease),
                    period,
                    version,
                    check,
                    pause,
                };
                send_response(socket, member, response).await;
                // Received after the lease response; the member reacts with a heartbeat.
                send_response(&replica, member, policy::Response::Changed).await;
                let mut joins = receive_heartbeat(&replica).await.3;
                // The member may have sent another heartbeat by itself.
                while permit != AdmissionPermit::Deny && joins {
                    joins = receive_heartbeat(&replica).await.3;
                }
                assert_eq!((joins, gate.permit()), (permit == AdmissionPermit::Deny, permit));
            }
        };
        tokio::select! {
            () = task.run() => panic!("the member task ended"),
            () = replica_script => {}
        }
    });
    let _ = std::fs::remove_dir_all(folder);
}

async fn receive_heartbeat(replica: &UdpSocket) -> (MemberKey, u32, std::net::SocketAddr, bool) {
    let mut bytes = vec![0; message::MAX_DATAGRAM_BYTES];
    let (size, by) = replica.recv_from(&mut bytes).await.expect("a heartbeat");
    match message::decode::<ControlMessage>(&bytes[..size]) {
        Ok(ControlMessage::RolloutRequest(policy::Request::Heartbeat { key, number, joins, .. })) => {
            (key, number, by, joins)
        }
        other => panic!("{other:?}"),
    }
}

async fn send_response(by: &UdpSocket, to: std::net::SocketAddr, response: policy::Response) {
    let bytes = message::encode(&ControlMessage::RolloutResponse { from: node_id("k"), response })
        .expect("the message fits into a datagram");
    by.send_to(&bytes, to).await.expect("the datagram is sent");
}

/// The active version survives any number of aborted changes, in memory and on disk.
#[test]
fn a_member_keeps_the_active_version_after_many_aborted_changes() {
    let folder = std::env::temp_dir().join(format!("member-and-dropped-{}", std::process::id()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let replica = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let replicas = [("k".to_string(), replica.local_addr().expect("an address"))];
        let settings = RolloutSettings { folder: folder.clone(), start_alone_after: None, max_document_bytes: MAX_DOCUMENT_BYTES, relays: Vec::new() };
        let task = MemberTask::new("m", &replicas, &settings, None, None, Box::new(|_| {})).await.expect("a socket");
        let gate = task.gate();
        let replica_script = async {
            let (mut check, mut has_expired, mut bytes) = (0, false, vec![0; message::MAX_DATAGRAM_BYTES]);
            loop {
                let (size, member) = replica.recv_from(&mut bytes).await.expect("a heartbeat");
                match message::decode::<ControlMessage>(&bytes[..size]) {
                    Ok(ControlMessage::RolloutRequest(policy::Request::FetchDocument { number, version })) => {
                        let version = Some(Box::new(Version { number: version, ..Version::default() }));
                        send_response(&replica, member, policy::Response::Document { number, version }).await;
                    }
                    Ok(ControlMessage::RolloutRequest(policy::Request::Heartbeat { key, number, joins, verdict, active: active_version, .. })) => {
                        if has_expired && active_version == 1 {
                            break;
                        }
                        if (check == 0 && active_version == 1) || verdict == Some((check, policy::Verdict::Prepared)) {
                            check = if check == 0 { 2 } else { check + 1 };
                        }
                        if check > 12 && !joins {
                            has_expired = true;
                            send_response(&replica, member, policy::Response::MembershipExpired { key }).await;
                            continue;
                        }
                        let (lease, period, check) = (Some(30 * SECOND), SECOND / 10, check.min(12));
                        let response =
                            policy::Response::Renewed { key, number, lease, period, version: 1, check, pause: 0 };
                        send_response(&replica, member, response).await;
                    }
                    other => panic!("{other:?}"),
                }
            }
            assert_eq!(gate.permit(), AdmissionPermit::Admit(1), "the member rejoined");
            assert!(document_store::stored_versions(&folder).contains(&1), "{:?}", document_store::stored_versions(&folder));
        };
        tokio::select! {
            () = task.run() => panic!("the member task ended"),
            () = replica_script => {}
            () = tokio::time::sleep(std::time::Duration::from_secs(20)) => panic!("the version never became active again"),
        }
    });
    let _ = std::fs::remove_dir_all(folder);
}
