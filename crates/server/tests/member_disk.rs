//! A member of a rollout whose disk stalls: a named pipe replaces the file of a version, and nothing reads from the pipe for a while.

use cypresscleat_consensus::message;
use cypresscleat_rollout::member::AdmissionPermit;
use cypresscleat_rollout::messages::{Request, Response, Verdict};
use cypresscleat_rollout::{node_id, Time, Version, MAX_DOCUMENT_BYTES, SECOND};
use cypresscleat_server::leases::wire::ControlMessage;
use cypresscleat_server::rollout::member::MemberTask;
use cypresscleat_server::rollout::RolloutSettings;
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout, Instant};

const LEASE: Time = SECOND;
/// The duration of the stall: over two leases.
const STALL: Duration = Duration::from_millis(2_500);
const TIMEOUT: Duration = Duration::from_secs(20);
/// The version that is proposed.
const PROPOSED: u64 = 2;

/// Runs a leader with version 0 active and version `PROPOSED` pending; returns the member's vote on it.
async fn run_leader(socket: &UdpSocket) -> Verdict {
    let mut bytes = vec![0; message::MAX_DATAGRAM_BYTES];
    loop {
        let (size, member) = socket.recv_from(&mut bytes).await.expect("a request");
        let Ok(ControlMessage::RolloutRequest(request)) = message::decode::<ControlMessage>(&bytes[..size])
        else {
            continue;
        };
        let response = match request {
            Request::Heartbeat { verdict: Some((PROPOSED, verdict)), .. } => return verdict,
            Request::Heartbeat { key, number, .. } => Response::Renewed {
                key,
                number,
                lease: Some(LEASE),
                period: LEASE / 4,
                version: 0,
                check: PROPOSED,
                pause: 0,
            },
            Request::FetchDocument { number, version } => {
                let version = Some(Box::new(Version { number: version, ..Version::default() }));
                Response::Document { number, version }
            }
            _ => continue,
        };
        send_response(socket, member, response).await;
    }
}

async fn send_response(socket: &UdpSocket, member: SocketAddr, response: Response) {
    let bytes = message::encode(&ControlMessage::RolloutResponse { from: node_id("k"), response })
        .expect("the message fits into a datagram");
    socket.send_to(&bytes, member).await.expect("the datagram is sent");
}

/// Guards against a lease that expires because the member sends no heartbeats while its disk stalls.
#[test]
fn a_member_whose_disk_stalls_for_two_leases_keeps_admitting() {
    let folder = std::env::temp_dir().join(format!("member-and-stalled-disk-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a directory");
    let pipe = folder.join(format!("{PROPOSED:012}.new"));
    assert!(Command::new("mkfifo").arg(&pipe).status().is_ok_and(|status| status.success()), "a named pipe");
    let reader = std::thread::spawn(move || {
        std::thread::sleep(STALL + Duration::from_millis(500));
        std::fs::read(pipe)
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let (denied, verdict) = runtime.block_on(async {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let replicas = [("k".to_string(), socket.local_addr().expect("an address"))];
        let settings = RolloutSettings {
            folder: folder.clone(),
            start_alone_after: None,
            max_document_bytes: MAX_DOCUMENT_BYTES,
            relays: Vec::new(),
        };
        let task = MemberTask::new("m", &replicas, &settings, None, None, Box::new(|_| {})).await.expect("a socket");
        let gate = task.gate();
        let permit_sampler = async {
            while gate.permit() == AdmissionPermit::Deny {
                sleep(Duration::from_millis(5)).await;
            }
            let (until, mut denied) = (Instant::now() + STALL, 0);
            while Instant::now() < until {
                denied += u32::from(gate.permit() != AdmissionPermit::Admit(0));
                sleep(Duration::from_millis(20)).await;
            }
            denied
        };
        tokio::select! {
            () = task.run() => panic!("the member task ended"),
            results = async { tokio::join!(permit_sampler, timeout(TIMEOUT, run_leader(&socket))) } => results,
        }
    });
    let _ = reader.join();
    let _ = std::fs::remove_dir_all(folder);
    assert_eq!(denied, 0, "the member denied admission while its disk stalled");
    // A pipe cannot be synced, so the member refuses the version and reports that once the stall ends.
    assert!(matches!(verdict, Ok(Verdict::Refused(_))), "{verdict:?}");
}
