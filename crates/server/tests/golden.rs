//! Messages and stored data of the server's control roles, as recorded from the program at commit 67fc394: datagrams, snapshots of the
//! replicated state, the hashes of canonical policy documents, and the versions that members store.

#[path = "../../leases/tests/support/golden.rs"]
#[allow(dead_code)]
mod recorded;

use cypresscleat_consensus::message::{self, Message, MessageBody};
use cypresscleat_consensus::{Member, StateMachine};
use cypresscleat_leases::messages::{Request, Response};
use cypresscleat_leases::state::{self, LeaseState};
use cypresscleat_leases::{Claim, Partition};
use cypresscleat_rollout::messages as policy;
use cypresscleat_rollout::state::{self as policies, PolicyState};
use cypresscleat_rollout::{Rules, UnreachableMembers, Version, WatchRules};
use cypresscleat_server::leases::replicated_state::ReplicatedState;
use cypresscleat_server::leases::wire::ControlMessage;
use cypresscleat_server::rollout::{self, document_store};
use recorded::assert_recorded;
use std::path::{Path, PathBuf};

fn golden_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden")
}

fn messages() -> Vec<(&'static str, ControlMessage)> {
    let key = (7, 8);
    let consensus_message = Message {
        from: Member { id: 1, disk: 2 },
        to_disk: 3,
        term: 400,
        body: MessageBody::JoinRequest { empty_disk: true },
    };
    let last_seen_grant = (5, Partition { task: 6, index: 7 });
    let claims = vec![Claim { task: 6, partitions: 8, rank: 1 }];
    let address = |text: &str| text.parse().expect("an address");
    let renewed = policy::Response::Renewed {
        key,
        number: 1,
        lease: Some(20_000),
        period: 5_000,
        version: 3,
        check: 4,
        pause: 0,
    };
    vec![
        ("consensus", ControlMessage::Consensus(consensus_message)),
        (
            "lease_request",
            ControlMessage::LeaseRequest(Request::Renew {
                instance: 1,
                incarnation: 2,
                session: 3,
                number: 4,
                last_seen_grant,
                claims,
            }),
        ),
        (
            "lease_response",
            ControlMessage::LeaseResponse { from: 300, response: Response::SessionExpired { session: 9 } },
        ),
        ("rollout_request", ControlMessage::RolloutRequest(policy::Request::Leave { key, number: 2 })),
        ("rollout_response", ControlMessage::RolloutResponse { from: 300, response: renewed }),
        ("address_v4", ControlMessage::ReplicaAddress { replica: 300, address: address("127.0.0.1:8080") }),
        ("address_v6", ControlMessage::ReplicaAddress { replica: 300, address: address("[::1]:8080") }),
    ]
}

#[test]
fn datagrams_keep_their_bytes() {
    let mut lines = Vec::new();
    for (name, wire) in messages() {
        let bytes = message::encode(&wire).expect("the message fits into a datagram");
        assert_eq!(message::decode::<ControlMessage>(&bytes), Ok(wire), "{name}: decoded again");
        lines.push((name.to_string(), bytes));
    }
    assert_recorded("datagrams.hex", &lines);
}

/// Leases and a policy in one log, and a snapshot of leases alone, as earlier versions wrote.
#[test]
fn snapshots_of_the_replicated_state_keep_their_bytes() {
    let claims = vec![Claim { task: 6, partitions: 2, rank: 0 }];
    let open = postcard::to_stdvec(&state::Command::OpenSession { instance: 1, incarnation: 2, claims })
        .expect("a command");
    let propose = policies::encode_command(&policies::Command::Propose(Version { parent: 0, ..version() }));
    let (mut replicated, mut leases) = (ReplicatedState::default(), LeaseState::default());
    let mut lines = vec![("empty".to_string(), replicated.snapshot())];
    for (index, command) in [(5, &open), (6, &propose)] {
        lines.push((format!("outcome_{index}"), replicated.apply(index, command)));
        lines.push((format!("snapshot_{index}"), replicated.snapshot()));
    }
    leases.apply(5, &open);
    lines.push(("partitions_alone".to_string(), leases.snapshot()));
    for (name, bytes) in lines.iter().filter(|(name, _)| !name.starts_with("outcome")) {
        let restored = ReplicatedState::from_snapshot(bytes).expect("a valid snapshot");
        let written =
            if name == "partitions_alone" { restored.leases.snapshot() } else { restored.snapshot() };
        assert_eq!(&written, bytes, "{name}: encoded again");
        assert_eq!(restored.policies == PolicyState::default(), name != "snapshot_6", "{name}");
    }
    assert_recorded("agreed.hex", &lines);
}

const DOCUMENTS: [(&str, &str); 5] = [
    ("defaults", "lease: 2s\n"),
    ("spaced", "// a comment\nlease:   2000ms\nmissing: \"fence\"\n"),
    ("waiting", "missing: \"wait\"\nwithin: 90s\ntogether: true\n"),
    ("watched", "lease: 500ms\nwatch: {share: 0.125, within: 30s}\n"),
    ("limits", "patience: 750ms\nretries: 0.25\n"),
];

/// The hash of the canonical document, and the rules that are sent with it.
#[test]
fn policies_keep_their_hash_and_rules() {
    let mut lines = Vec::new();
    for (name, document) in DOCUMENTS {
        let policy = rollout::parse_policy("policy", document, None).expect("a policy");
        let rules = postcard::to_stdvec(&policy.rules).expect("rules");
        lines.push((format!("{name}_hash"), policy.hash.to_be_bytes().to_vec()));
        lines.push((format!("{name}_rules"), rules));
    }
    assert_recorded("policies.hex", &lines);
}

fn version() -> Version {
    let watch = Some(WatchRules { share: 50, within: 100_000 });
    let rules = Rules {
        unreachable: UnreachableMembers::Wait,
        lease: 15_000,
        decision_timeout: 300_000,
        barrier: true,
        watch,
    };
    Version {
        number: 12,
        parent: 11,
        hash: 0xfeed_0123_4567_89ab,
        by: "operator".into(),
        at_ms: 1_700_000_000_000,
        why: "a \"try\"".into(),
        rules,
        document: "missing: \"wait\"\n".into(),
        undoes: true,
    }
}

fn versions() -> Vec<Version> {
    let plain = Version { number: 3, parent: 2, document: "lease: 1s\n".into(), ..Version::default() };
    vec![plain, version()]
}

/// The golden folder was written by a member at 67fc394.
#[test]
fn a_member_reads_and_writes_the_folder_of_an_earlier_version() {
    let golden = golden_folder().join("member");
    if std::env::var_os("RECORD_GOLDEN").is_some() {
        versions().iter().for_each(|version| {
            document_store::store_version(&golden, version, None).expect("the version is stored")
        });
    }
    assert_eq!(document_store::stored_versions(&golden), [3, 12]);
    assert_eq!(document_store::load_versions(&golden).collect::<Vec<_>>(), versions());
    let folder = std::env::temp_dir().join(format!("golden-member-{}", std::process::id()));
    for version in versions() {
        document_store::store_version(&folder, &version, None).expect("the version is stored");
    }
    for entry in std::fs::read_dir(&golden).expect("the golden folder").flatten() {
        let bytes = |folder: &Path| std::fs::read(folder.join(entry.file_name())).expect("a file");
        assert_eq!(bytes(&folder), bytes(&golden), "{:?}", entry.file_name());
    }
    std::fs::remove_dir_all(folder).expect("removed");
}
