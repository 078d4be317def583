//! Datagrams from an address that is not their stated sender's: they must not vote, grant or report anything, and they are counted and
//! logged.

use cypresscleat_consensus::message::{self, LogPosition, Message, MessageBody};
use cypresscleat_consensus::Member;
use cypresscleat_demo::owners::{check_invariants, Setup, Stage};
use cypresscleat_fault_injection::{free_port, Disk, Order};
use cypresscleat_leases::messages::{Grant, Request, Response};
use cypresscleat_leases::{node_id, Claim, Partition, NO_GRANT, SECOND};
use cypresscleat_rollout::messages as policy;
use cypresscleat_server::leases::lease_holder::LeaseHolder;
use cypresscleat_server::leases::wire::{ControlMessage, LeaderClient, ResponseKind};
use cypresscleat_server::leases::ControlReplicas;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(25);
const REPLICAS: [&str; 3] = ["k0", "k1", "k2"];
/// A term that no election in these tests reaches.
const LATER_TERM: u64 = 1_000;
const TASK: u64 = 7;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn start_stage() -> Stage {
    let program = Path::new(env!("CARGO_BIN_EXE_cypresscleat-server"));
    let (lease, every) = (Duration::from_secs(1), ms(10));
    let setup = Setup { program, keepers: 3, instances: 2, parts: 1, lease, every, seed: 1, drift: 0 };
    let stage = Stage::start(&setup);
    assert!(stage.progress(2, TIMEOUT), "no instance started\n{}", stage.logs());
    stage
}

/// The address at which a replica receives.
fn address(stage: &Stage, name: &str) -> SocketAddr {
    let file = std::fs::read_to_string(stage.operator(name)).expect("its file");
    let rest = file.split(&format!("{{name: \"{name}\", address: \"")).nth(1).expect("its entry");
    rest.split('"').next().and_then(|text| text.parse().ok()).expect("an address")
}

/// The lines of a replica's log that contain one of `words`.
fn find_log_lines(stage: &Stage, name: &str, words: &[&str]) -> Vec<String> {
    let log = stage.keepers.iter().find(|one| one.name == name).expect("a replica").log();
    log.into_iter()
        .map(|(_, line)| line)
        .filter(|line| words.iter().any(|word| line.contains(word)))
        .collect()
}

fn member(stage: &Stage, name: &str) -> Member {
    let line = find_log_lines(stage, name, &["disk "]).pop().expect("its disk");
    let disk = line.split("disk ").nth(1).and_then(|rest| rest.get(..16)).expect("a number");
    Member { id: node_id(name), disk: u64::from_str_radix(disk, 16).expect("a number") }
}

/// The log lines that report a change of leader, membership or disk state among the replicas.
fn logged_changes(stage: &Stage) -> Vec<String> {
    let words = ["leads the keepers", " comes", " goes", "forgotten", "stale", "begin", "ended"];
    REPLICAS.iter().flat_map(|name| find_log_lines(stage, name, &words)).collect()
}

/// The owner and its fencing token, from the last operation that took effect.
fn current_owner(stage: &Stage) -> (String, u64) {
    let journal = stage.ledger.journal();
    let act = journal.iter().rfind(|act| act.taken).expect("an operation");
    (act.by.clone(), act.token)
}

/// One message of each kind, as a replica would send it in a later term.
fn each_kind(members: &[Member]) -> Vec<(&'static str, MessageBody)> {
    let last = LogPosition { term: LATER_TERM, index: 1 << 20 };
    let (round, index) = (1, 1 << 20);
    let members = members.to_vec();
    vec![
        ("JoinRequest", MessageBody::JoinRequest { empty_disk: true }),
        ("Bootstrap", MessageBody::Bootstrap { members: members.clone() }),
        ("DiskCheck", MessageBody::DiskCheck { last }),
        ("DiskCheckResponse", MessageBody::DiskCheckResponse { last, voted_term: LATER_TERM }),
        ("RequestVote", MessageBody::RequestVote { pre_vote: false, last }),
        ("RequestVoteResponse", MessageBody::RequestVoteResponse { pre_vote: false, granted: false }),
        (
            "AppendEntries",
            MessageBody::AppendEntries {
                round,
                previous: LogPosition::default(),
                entries: Vec::new(),
                commit: 0,
            },
        ),
        ("AppendEntriesResponse", MessageBody::AppendEntriesResponse { round, success: true, index }),
        (
            "InstallSnapshot",
            MessageBody::InstallSnapshot {
                round,
                position: last,
                members,
                offset: 0,
                total_bytes: 1,
                bytes: vec![0],
            },
        ),
        ("InstallSnapshotResponse", MessageBody::InstallSnapshotResponse { round, index, received_bytes: 1 }),
    ]
}

/// Guards against a forged or stray message that is accepted as a replica's: such messages deposed leaders and took disks out of service.
#[test]
fn a_replica_ignores_messages_from_an_address_that_is_not_the_senders() {
    let mut stage = start_stage();
    let members: Vec<Member> = REPLICAS.iter().map(|name| member(&stage, name)).collect();
    let (owner, before) = (current_owner(&stage), logged_changes(&stage));
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").expect("a loopback port");
    let mut violations = Vec::new();
    for (kind, body) in each_kind(&members) {
        let change_count = logged_changes(&stage).len();
        for (to, name) in members.iter().zip(REPLICAS) {
            for from in members.iter().filter(|from| from.id != to.id) {
                // A joining replica has a new disk.
                let is_new = matches!(body, MessageBody::JoinRequest { .. });
                let from = Member { disk: from.disk ^ u64::from(is_new), ..*from };
                let message = Message { from, to_disk: to.disk, term: LATER_TERM, body: body.clone() };
                let bytes = message::encode(&ControlMessage::Consensus(message)).expect("a datagram");
                unknown_sender.send_to(&bytes, address(&stage, name)).expect("the datagram is sent");
            }
        }
        sleep(ms(400));
        let after = logged_changes(&stage);
        if after.len() != change_count {
            violations.push((kind, after[change_count.min(after.len())..].to_vec()));
        }
    }
    assert!(violations.is_empty(), "{violations:#?}\n{}", stage.logs());
    assert!(stage.progress(5, TIMEOUT), "{}", stage.logs());
    assert_eq!((current_owner(&stage), logged_changes(&stage)), (owner, before));
    for name in REPLICAS {
        assert!(stage.process(name).runs(), "{name}");
        let drop_lines = find_log_lines(&stage, name, &["dropped, as they came from an address"]);
        // Of twenty dropped messages the first, second, fourth, eighth and sixteenth are logged.
        assert_eq!(drop_lines.len(), 5, "{drop_lines:?}");
        assert!(drop_lines[4].contains("sender's: 16,"), "{drop_lines:?}");
    }
}

/// Guards against a leader elected by forged votes: once the real quorum returns there would be two leaders.
#[test]
fn votes_from_an_unknown_sender_elect_no_leader() {
    let mut stage = start_stage();
    let members: Vec<Member> = REPLICAS.iter().map(|name| member(&stage, name)).collect();
    for name in ["k1", "k2"] {
        stage.apply_order(&Order::Kill(name.into()));
    }
    let count_elections = |stage: &Stage| find_log_lines(stage, "k0", &["leads the keepers in"]).len();
    let before = count_elections(&stage);
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").expect("a loopback port");
    let to = address(&stage, "k0");
    let until = Instant::now() + ms(2_500);
    while Instant::now() < until {
        for (term, pre_vote) in (1..40).flat_map(|term| [(term, true), (term, false)]) {
            let body = MessageBody::RequestVoteResponse { pre_vote, granted: true };
            let message = Message { from: members[1], to_disk: members[0].disk, term, body };
            let bytes = message::encode(&ControlMessage::Consensus(message)).expect("a datagram");
            unknown_sender.send_to(&bytes, to).expect("the datagram is sent");
        }
        sleep(ms(20));
    }
    assert_eq!(count_elections(&stage), before, "{}", stage.logs());
    assert_eq!(stage.owners().1, 4, "a single replica of three decides nothing");
    for name in ["k1", "k2"] {
        stage.apply_order(&Order::Start(name.into(), Disk::Old));
    }
    assert!(stage.progress(5, TIMEOUT), "{}", stage.logs());
    let check_report = check_invariants(&stage.ledger.journal());
    assert_eq!(
        (check_report.done_twice, check_report.done_never, check_report.fell),
        (0, 0, 0),
        "{check_report:?}"
    );
}

/// Guards against instances that never find a leader whose address has changed.
#[test]
fn a_replica_with_a_new_address_is_found_by_replicas_and_by_instances_with_the_old_list() {
    let mut stage = start_stage();
    let (old, moved) = (address(&stage, "k2"), free_port());
    stage.apply_order(&Order::Kill("k2".into()));
    let file = |name: &str| std::fs::read_to_string(stage.operator(name)).expect("a file");
    let plain = file("operator").replace(&old.to_string(), &moved.to_string());
    let folder = stage.folder().join("k2").display().to_string();
    let own = plain.replacen("]", &format!("], folder: \"{folder}\""), 1);
    stage.rewrite("k2", |_| own.clone());
    let found_at = |name: &str| {
        let text = file(name);
        let rest = text.split("{name: \"k2\", address: \"").nth(1).expect("k2 in the list");
        rest.split('"').next().expect("an address").to_string()
    };
    for name in ["k0", "k1"] {
        let at = found_at(name);
        stage.rewrite(name, |text| text.replace(&at, &moved.to_string()));
    }
    stage.rewrite("operator", |_| plain.clone());
    for name in ["k0", "k1"] {
        stage.process(name).signal("HUP");
        assert!(stage.process(name).logged("one change at a time", 0, TIMEOUT).is_some());
    }
    stage.apply_order(&Order::Start("k2".into(), Disk::Old));
    assert!(stage.progress(5, TIMEOUT), "{}", stage.logs());
    // With k1 killed, k0 needs k2 at its new address for a quorum. Either of them may lead then.
    stage.apply_order(&Order::Kill("k1".into()));
    assert!(stage.progress(50, TIMEOUT), "{}", stage.logs());
    let check_report = check_invariants(&stage.ledger.journal());
    assert_eq!(
        (check_report.done_twice, check_report.done_never, check_report.fell),
        (0, 0, 0),
        "{check_report:?}"
    );
}

fn send_message(by: &UdpSocket, to: SocketAddr, message: &ControlMessage) {
    by.send_to(&message::encode(message).expect("the message fits into a datagram"), to)
        .expect("the datagram is sent");
}

/// The sockets of a named replica and of an unknown sender, and the replicas as in an operator's file.
fn bind_replica_and_unknown_sender() -> (UdpSocket, UdpSocket, ControlReplicas) {
    let bind = || UdpSocket::bind("127.0.0.1:0").expect("a loopback port");
    let (replica, unknown_sender) = (bind(), bind());
    replica.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    let replicas = vec![("k0".to_string(), replica.local_addr().expect("an address"))];
    (replica, unknown_sender, ControlReplicas { lease: SECOND, replicas, folder: None })
}

/// Receives the next datagram of a client; returns the message and the client's address.
fn receive_message(replica: &UdpSocket) -> (ControlMessage, SocketAddr) {
    let mut bytes = vec![0; message::MAX_DATAGRAM_BYTES];
    let (size, by) = replica.recv_from(&mut bytes).expect("a datagram");
    (message::decode(&bytes[..size]).expect("a message"), by)
}

/// Guards against a partition granted by an unknown sender: two instances would own the partition.
#[test]
fn a_lease_client_ignores_responses_of_an_unknown_sender() {
    let (replica, unknown_sender, replicas) = bind_replica_and_unknown_sender();
    let partition = Partition { task: TASK, index: 0 };
    let grant = move |token| Grant { partition, token, cursor: Vec::new(), release_requested: false };
    // The unknown sender grants token 99, then the replica grants token 1, then the unknown sender grants token 100 and ends the session.
    let replica_thread = std::thread::spawn(move || {
        let (mut instance, mut number) = (None, 0);
        for (by, token) in [(&unknown_sender, 99), (&replica, 1)] {
            if let (ControlMessage::LeaseRequest(Request::Renew { number: requested, .. }), from) =
                receive_message(&replica)
            {
                (instance, number) = (Some(from), requested);
            }
            let to = instance.expect("a renewal");
            let response = Response::Renewed {
                session: 5,
                number,
                lease: 30 * SECOND,
                after: NO_GRANT,
                grants: vec![grant(token)],
                more: false,
            };
            send_message(by, to, &ControlMessage::LeaseResponse { from: node_id("k0"), response });
        }
        let to = instance.expect("a renewal");
        let granted = Response::Granted { session: 5, after: NO_GRANT, grants: vec![grant(100)] };
        for response in [granted, Response::SessionExpired { session: 5 }, Response::NotLeader { leader: 9 }]
        {
            send_message(
                &unknown_sender,
                to,
                &ControlMessage::LeaseResponse { from: node_id("k0"), response },
            );
        }
        (replica, unknown_sender)
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let claims = vec![Claim { task: TASK, partitions: 1, rank: 0 }];
        let mut lease_holder = LeaseHolder::new("n0", &replicas, claims).await.expect("a socket");
        let end = lease_holder.clock.now() + 2 * SECOND;
        let mut events = Vec::new();
        while let Some(event) = lease_holder.next_event(end).await {
            events.push(event);
        }
        assert_eq!(lease_holder.valid_token(partition), Some(1), "{events:?}");
        assert_eq!(events.len(), 1, "{events:?}");
    });
    drop(replica_thread.join().expect("the replica thread panicked"));
}

/// Guards against instances that never find a leader whose address has changed.
#[test]
fn a_lease_client_finds_a_leader_at_the_address_that_a_known_replica_reports() {
    let (follower, leader, mut replicas) = bind_replica_and_unknown_sender();
    leader.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    // No process receives at this address any more.
    replicas.replicas.push(("k1".to_string(), free_port()));
    let (address, partition) = (leader.local_addr().expect("an address"), Partition { task: TASK, index: 0 });
    std::thread::spawn(move || loop {
        let (_, client) = receive_message(&follower);
        send_message(&follower, client, &ControlMessage::ReplicaAddress { replica: node_id("k1"), address });
        let response = Response::NotLeader { leader: node_id("k1") };
        send_message(&follower, client, &ControlMessage::LeaseResponse { from: node_id("k0"), response });
    });
    std::thread::spawn(move || loop {
        let (ControlMessage::LeaseRequest(Request::Renew { number, .. }), client) = receive_message(&leader)
        else {
            continue;
        };
        let grants = vec![Grant { partition, token: 1, cursor: Vec::new(), release_requested: false }];
        let (session, lease, after) = (5, 4 * SECOND, NO_GRANT);
        let response = Response::Renewed { session, number, lease, after, grants, more: false };
        send_message(&leader, client, &ControlMessage::LeaseResponse { from: node_id("k1"), response });
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let claims = vec![Claim { task: TASK, partitions: 1, rank: 0 }];
        let mut lease_holder = LeaseHolder::new("n0", &replicas, claims).await.expect("a socket");
        let end = lease_holder.clock.now() + 20 * SECOND;
        assert!(lease_holder.next_event(end).await.is_some(), "the client never found the leader");
        // Beyond the end of the lease: the client renews the lease at the new address.
        let later = lease_holder.clock.now() + 6 * SECOND;
        assert_eq!(lease_holder.next_event(later).await, None);
        assert_eq!(lease_holder.valid_token(partition), Some(1));
    });
}

/// Guards against a forged response that reports an operator's command as decided.
#[test]
fn an_operators_command_ignores_responses_of_an_unknown_sender() {
    let done = |number| ControlMessage::LeaseResponse {
        from: node_id("k0"),
        response: Response::Done { number, applied: 1 },
    };
    let policy_done = |number| ControlMessage::RolloutResponse {
        from: node_id("k0"),
        response: policy::Response::Done { number },
    };
    for response in [&done as &dyn Fn(u32) -> ControlMessage, &policy_done] {
        let (replica, unknown_sender, replicas) = bind_replica_and_unknown_sender();
        let (forged, genuine) = (response(1), response(2));
        let replica_thread = std::thread::spawn(move || {
            let (_, client) = receive_message(&replica);
            send_message(&unknown_sender, client, &forged);
            sleep(ms(50));
            send_message(&replica, client, &genuine);
        });
        let mut client = LeaderClient::new(&replicas).expect("a socket");
        let found =
            client.request(&ControlMessage::RolloutRequest(policy::Request::History { number: 1 }), |wire| {
                match wire {
                    ControlMessage::LeaseResponse { response: Response::Done { number, .. }, .. } => {
                        ResponseKind::Matching(number)
                    }
                    ControlMessage::RolloutResponse {
                        response: policy::Response::Done { number }, ..
                    } => ResponseKind::Matching(number),
                    _ => ResponseKind::Unrelated,
                }
            });
        assert_eq!(found.expect("a socket"), Some(2));
        replica_thread.join().expect("the replica thread panicked");
    }
}
