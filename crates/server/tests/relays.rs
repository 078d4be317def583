//! Policy changes through relays, between processes of the program: control replicas, two relays of one zone, app servers under load
//! that use the relays or the control replicas, with injected faults. The checks use the journals, which share one clock, and the
//! responses that clients received.

use cypresscleat_consensus::message;
use cypresscleat_demo::rollout::{check_invariants, CheckReport, Setup, Stage};
use cypresscleat_fault_injection::{Disk, Order};
use cypresscleat_rollout::messages::{Request, Response};
use cypresscleat_server::leases::wire::ControlMessage;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");
/// Maximum time to wait for an expected event.
const TIMEOUT: Duration = Duration::from_secs(25);
const LEASE: Duration = Duration::from_secs(1);
/// The members that the control replicas count: both relays, and m3, which polls the control replicas directly.
const COUNTED_MEMBERS: usize = 3;
const ALL_MEMBERS: [usize; 4] = [0, 1, 2, 3];
const CONTROL_REPLICAS: [&str; 3] = ["k0", "k1", "k2"];
const RELAYS: [&str; 2] = ["r0", "r1"];

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn names(all: &[&str]) -> Vec<String> {
    all.iter().map(|name| name.to_string()).collect()
}

/// The relays of each member: m0 polls r0 only, m1 and m2 poll both, m3 polls the control replicas directly.
fn relays_of_member(at: usize) -> Vec<usize> {
    [vec![0], vec![0, 1], vec![1, 0], vec![]][at].clone()
}

fn policy_document(part: u32, more: &str) -> String {
    format!(
        "lease: 1s\nwithin: 8s\n{more}\npools: {{limiter: \"fixed\", pools: {{quick: {{operations: [\"lookup\"], least: 0.{part}}}}}}}\n"
    )
}

fn start_stage_with(own: &dyn Fn(usize, &mut Value)) -> Stage {
    let more = |_: usize| String::new();
    let program = Path::new(PROGRAM);
    let setup = Setup { program, config: CONFIG, keepers: 3, members: 4, more: &more, own, seed: 1 };
    let stage = Stage::start_behind(&setup, 2, &relays_of_member);
    assert!(
        stage.all_have(0, COUNTED_MEMBERS, TIMEOUT),
        "the members never started: {:?}",
        stage.policy(&["status"])
    );
    assert!(stage.serve_under(0, &ALL_MEMBERS, TIMEOUT), "{:?}", log_tails(&stage));
    stage
}

/// Members that serve under version 1, with a lease of one second.
fn start_stage() -> Stage {
    let stage = start_stage_with(&|_, _| {});
    let (lines, code) = stage.propose(&policy_document(2, ""), 20);
    assert_eq!((code, lines[0]["version"].as_u64()), (0, Some(1)), "{lines:?}");
    wait_until_all_serve(&stage, 1);
    stage
}

/// The last lines of each log, for failure messages.
fn log_tails(stage: &Stage) -> Vec<(String, Vec<String>)> {
    let all = stage.keepers.iter().chain(&stage.relays).chain(&stage.members);
    let last = |lines: Vec<(Instant, String)>| lines.into_iter().rev().take(6).map(|line| line.1).collect();
    all.map(|one| (one.name.clone(), last(one.log()))).collect()
}

fn wait_until_all_serve(stage: &Stage, version: u64) {
    assert!(
        stage.all_have(version, COUNTED_MEMBERS, TIMEOUT),
        "{:?} {:?}",
        stage.policy(&["status"]),
        log_tails(stage)
    );
    assert!(stage.serve_under(version, &ALL_MEMBERS, TIMEOUT), "{:?}", log_tails(stage));
}

/// Heals all faults, waits until every member is under `version`, and checks the journals: no request is lost and no member admits
/// under a superseded version past the bound.
fn verify_outcome(stage: &mut Stage, version: u64, has_barrier: &dyn Fn(u64) -> bool) -> CheckReport {
    stage.heal();
    wait_until_all_serve(stage, version);
    let request_counts = stage.rests();
    assert_eq!(
        (request_counts.lost, request_counts.asked),
        (0, request_counts.answered),
        "{request_counts:?}"
    );
    let check_report = check_invariants(&stage.journal(), LEASE.as_secs_f64() * 1e3, has_barrier);
    assert_eq!(check_report.wrong, 0, "{check_report:?}");
    check_report
}

/// Proposes a policy until a proposal is committed; returns its version.
fn propose_until_committed(stage: &Stage, part: u32) -> u64 {
    propose_until_committed_with(stage, part, "")
}

fn propose_until_committed_with(stage: &Stage, part: u32, more: &str) -> u64 {
    let until = Instant::now() + TIMEOUT;
    loop {
        let (lines, code) = stage.propose(&policy_document(part, more), 10);
        if code == 0 {
            return lines[0]["version"].as_u64().expect("a version number");
        }
        assert!(Instant::now() < until, "{lines:?} {:?}", log_tails(stage));
        sleep(ms(200));
    }
}

/// Waits until the control replicas no longer count by the longer lease of each instance's own file. From then on the journals show a
/// member that admits past its lease of one second.
fn wait_for_initial_leases() {
    sleep(2 * Duration::from_secs(2));
}

fn wait_until_decided(stage: &Stage, version: u64) -> bool {
    let until = Instant::now() + TIMEOUT;
    let is_decision = |line: &Value| {
        matches!(line["event"].as_str(), Some("taken" | "dropped")) && line["version"] == json!(version)
    };
    while Instant::now() < until {
        if stage.journal().iter().any(is_decision) {
            return true;
        }
        sleep(ms(20));
    }
    false
}

fn count_log_lines(stage: &Stage, name: &str, words: &str) -> usize {
    let all = stage.relays.iter().chain(&stage.members);
    all.filter(|one| one.name == name).flat_map(|one| one.log()).filter(|line| line.1.contains(words)).count()
}

/// The address at which a relay receives messages of members.
fn relay_address(stage: &Stage, name: &str) -> SocketAddr {
    let file = std::fs::read_to_string(stage.operator(name)).expect("a file");
    let at = file.split("listen: \"").nth(1).and_then(|rest| rest.split('"').next());
    at.and_then(|at| at.parse().ok()).expect("an address")
}

#[test]
fn a_change_reaches_members_through_relays_and_directly() {
    let mut stage = start_stage();
    stage.load(2, ms(10));
    for part in 3..6 {
        let version = propose_until_committed(&stage, part);
        wait_until_all_serve(&stage, version);
    }
    let (status, _) = stage.policy(&["status"]);
    let mut known: Vec<&str> = status[0]["members"]
        .as_array()
        .map_or(Vec::new(), |all| all.iter().filter_map(|one| one["member"].as_str()).collect());
    known.sort_unstable();
    assert_eq!(known, ["m3", "r0", "r1"], "{status:?}");
    let relayed_members: BTreeSet<String> = RELAYS
        .iter()
        .flat_map(|relay| {
            let (status, code) =
                stage.policy(&["status", "--relay", &relay_address(&stage, relay).to_string()]);
            assert_eq!((code, &status[0]["in_force"]), (0, &json!(4)), "{status:?}");
            status[0]["members"].as_array().cloned().unwrap_or_default()
        })
        .filter_map(|one| one["member"].as_str().map(String::from))
        .collect();
    assert_eq!(
        relayed_members,
        ["m0", "m1", "m2"].map(String::from).into(),
        "a relay reports the members behind it"
    );
    let check_report = verify_outcome(&mut stage, 4, &|_| false);
    assert!(check_report.admitted > 100, "{check_report:?}");
}

#[test]
fn a_change_rejected_by_a_member_behind_a_relay_is_active_nowhere_and_the_reason_names_it() {
    // m1 has no request class "lookup", so it rejects policies that name it.
    let own = |at: usize, all: &mut Value| {
        if at == 1 {
            all["settings"]["categories"][1]["name"] = json!("other");
        }
    };
    let mut stage = start_stage_with(&own);
    assert_eq!(stage.propose("lease: 1s\n", 20).1, 0);
    wait_until_all_serve(&stage, 1);
    let (lines, code) = stage.propose(&policy_document(3, ""), 20);
    let error = lines[0]["error"].as_str().unwrap_or("").to_string();
    assert_eq!(code, 3, "{lines:?}");
    assert!(error.contains("m1: policy:4:") && error.contains("no operation \"lookup\""), "{error}");
    // After the longest lease no member has adopted the rejected version.
    sleep(LEASE);
    let uses_rejected_version = |line: &&Value| {
        matches!(line["event"].as_str(), Some("in_force" | "admitted")) && line["version"] == json!(2)
    };
    assert_eq!(stage.journal().iter().filter(uses_rejected_version).count(), 0);
    verify_outcome(&mut stage, 1, &|_| false);
}

#[test]
fn a_change_is_decided_once_when_relays_are_killed_during_it() {
    let mut stage = start_stage();
    stage.load(1, ms(10));
    let mut version = 1;
    for relay in RELAYS {
        // The slow responses of m2 leave time to kill the relay.
        RELAYS.iter().for_each(|one| stage.net.both("m2", one, |link| link.delay = ms(150)));
        let (lines, code) = stage.propose(&policy_document(3 + version as u32, ""), 0);
        assert_eq!(code, 5, "{lines:?}");
        version += 1;
        stage.apply_order(&Order::Kill(relay.into()));
        assert!(wait_until_decided(&stage, version), "{:?}", log_tails(&stage));
        stage.apply_order(&Order::Start(relay.into(), Disk::Old));
        stage.apply_order(&Order::Heal);
        let now = stage.policy(&["show"]).0[0]["version"].as_u64().expect("a version number");
        wait_until_all_serve(&stage, now);
    }
    let version = propose_until_committed(&stage, 7);
    verify_outcome(&mut stage, version, &|_| false);
}

#[test]
fn members_behind_a_relay_stopped_past_its_lease_admit_nothing_under_the_old_version() {
    let mut stage = start_stage();
    wait_for_initial_leases();
    stage.load(2, ms(5));
    sleep(ms(300));
    stage.apply_order(&Order::Stop("r0".into()));
    // With the barrier all members stop first, so a member that admits past the relay's lease is detected.
    let version = propose_until_committed_with(&stage, 3, "together: true");
    assert!(stage.logged("m0", "out of service", 1, TIMEOUT));
    sleep(ms(500));
    stage.apply_order(&Order::Wake("r0".into()));
    // Clients send until m0 has admitted a request; its permission to admit is journaled some milliseconds earlier.
    let admits_again = || {
        let journal = stage.journal();
        let woken =
            journal.iter().position(|line| line["event"] == json!("woken")).expect("no process was resumed");
        journal[woken..]
            .iter()
            .any(|line| line["event"] == json!("admitted") && line["member"] == json!("m0"))
    };
    let until = Instant::now() + TIMEOUT;
    while !admits_again() {
        assert!(Instant::now() < until, "m0 never admits again: {:?}", log_tails(&stage));
        sleep(ms(20));
    }
    verify_outcome(&mut stage, version, &|newer| newer > 1);
    assert!(count_log_lines(&stage, "r0", "no members are answered") > 0, "{:?}", log_tails(&stage));
    let journal = stage.journal();
    let woken =
        journal.iter().position(|line| line["event"] == json!("woken")).expect("no process was resumed");
    let first = journal[woken..]
        .iter()
        .find(|line| line["event"] == json!("admitted") && line["member"] == json!("m0"))
        .expect("m0 never admits again");
    assert_eq!(first["version"].as_u64(), Some(version));
}

#[test]
fn a_relay_restarted_with_an_empty_disk_stores_the_document_before_its_members_do() {
    let mut stage = start_stage();
    stage.load(1, ms(10));
    stage.apply_order(&Order::Kill("r0".into()));
    let version = propose_until_committed(&stage, 4);
    stage.apply_order(&Order::Kill("m0".into()));
    for name in ["r0", "m0"] {
        stage.apply_order(&Order::Start(name.into(), Disk::Empty));
    }
    verify_outcome(&mut stage, version, &|_| false);
    let stored_path = stage.folder().join("disk-r0").join(format!("{version:012}.json"));
    assert!(stored_path.is_file(), "the document that the relay distributes is not on its disk");
}

#[test]
fn losing_both_relays_stops_only_their_members_until_one_restarts() {
    let mut stage = start_stage();
    stage.load(1, ms(10));
    for relay in RELAYS {
        stage.apply_order(&Order::Kill(relay.into()));
    }
    let version = propose_until_committed(&stage, 3);
    for member in ["m0", "m1", "m2"] {
        assert!(stage.logged(member, "out of service", 1, TIMEOUT), "{member}");
    }
    let before = stage.request_counts().throttled;
    sleep(ms(500));
    assert!(stage.request_counts().throttled > before, "their clients are rejected at once");
    assert!(stage.all_have(version, 1, TIMEOUT), "{:?}", stage.policy(&["status"]));
    let journal = stage.journal();
    let last = |event: &str, member: &str| {
        let of = |line: &&Value| line["event"] == json!(event) && line["member"] == json!(member);
        journal.iter().rfind(of).and_then(|line| line["at_ns"].as_u64()).unwrap_or(0)
    };
    let out = ["m0", "m1", "m2"].map(|member| last("out_of_service", member));
    assert!(
        last("admitted", "m3") > out.into_iter().max().unwrap_or(0),
        "the member without relays stopped serving"
    );
    stage.apply_order(&Order::Start("r0".into(), Disk::Old));
    assert!(stage.serve_under(version, &ALL_MEMBERS, TIMEOUT), "{:?}", log_tails(&stage));
    assert!(stage.all_have(version, 2, TIMEOUT), "{:?}", stage.policy(&["status"]));
    verify_outcome(&mut stage, version, &|_| false);
}

#[test]
fn a_relay_cut_off_from_the_control_replicas_stops_its_members() {
    let mut stage = start_stage();
    wait_for_initial_leases();
    stage.load(2, ms(10));
    stage.apply_order(&Order::Cut(vec![names(&RELAYS[..1]), names(&CONTROL_REPLICAS)]));
    // With the barrier all members stop first, so a member that admits past the relay's lease is detected.
    let version = propose_until_committed_with(&stage, 4, "together: true");
    assert!(stage.logged("r0", "no members are answered", 1, TIMEOUT), "{:?}", log_tails(&stage));
    assert!(stage.logged("m0", "out of service", 1, TIMEOUT), "{:?}", log_tails(&stage));
    // Members that know the other relay keep serving.
    assert!(stage.serve_under(version, &ALL_MEMBERS[1..], TIMEOUT), "{:?}", log_tails(&stage));
    stage.apply_order(&Order::Heal);
    verify_outcome(&mut stage, version, &|newer| newer > 1);
}

#[test]
fn a_barrier_lets_no_two_versions_admit_at_once_behind_or_beside_a_relay() {
    let mut stage = start_stage();
    stage.load(3, ms(3));
    sleep(ms(300));
    RELAYS.iter().for_each(|one| stage.net.both("m2", one, |link| link.delay = ms(100)));
    CONTROL_REPLICAS.iter().for_each(|one| stage.net.both("r1", one, |link| link.delay = ms(30)));
    for part in 3..6 {
        let (lines, code) = stage.propose(&policy_document(part, "together: true"), 20);
        assert_eq!(code, 0, "{lines:?} {:?}", log_tails(&stage));
        sleep(ms(300));
    }
    let check_report = verify_outcome(&mut stage, 4, &|version| version > 1);
    assert_eq!(check_report.mixture_ms, 0.0, "{check_report:?}");
    let has_held_requests = |name: &str| count_log_lines(&stage, name, "holds what comes") > 0;
    assert!(has_held_requests("m2") && has_held_requests("m3"), "{:?}", log_tails(&stage));
}

#[test]
fn a_relay_that_ends_during_a_change_leaves_and_its_members_adopt_the_change() {
    let mut stage = start_stage();
    stage.load(1, ms(10));
    RELAYS.iter().for_each(|one| stage.net.both("m2", one, |link| link.delay = ms(150)));
    let (lines, code) = stage.propose(&policy_document(4, ""), 0);
    assert_eq!(code, 5, "{lines:?}");
    stage.apply_order(&Order::End("r1".into()));
    let ended = stage.process("r1").ended(TIMEOUT);
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
    assert!(stage.logged("r1", "relay r1 has left", 1, TIMEOUT), "{:?}", log_tails(&stage));
    assert!(wait_until_decided(&stage, 2), "{:?}", log_tails(&stage));
    stage.apply_order(&Order::Heal);
    let version = propose_until_committed(&stage, 5);
    assert!(stage.serve_under(version, &ALL_MEMBERS, TIMEOUT), "{:?}", log_tails(&stage));
    assert!(stage.all_have(version, 2, TIMEOUT), "{:?}", stage.policy(&["status"]));
    stage.apply_order(&Order::Start("r1".into(), Disk::Old));
    verify_outcome(&mut stage, version, &|_| false);
}

#[test]
fn a_relay_ends_without_a_response_of_the_control_replicas() {
    let mut stage = start_stage();
    CONTROL_REPLICAS.iter().for_each(|one| stage.apply_order(&Order::Kill(one.to_string())));
    stage.apply_order(&Order::End("r0".into()));
    let ended = stage.process("r0").ended(TIMEOUT);
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
    assert!(stage.logged("r0", "goes without the keepers' word", 1, TIMEOUT), "{:?}", log_tails(&stage));
    verify_outcome(&mut stage, 1, &|_| false);
}

/// Where changes wait for all members, a restarted relay replaces its earlier incarnation at once, with an empty member table. Guards
/// against a vote for members whose leases from the earlier incarnation are still valid.
#[test]
fn a_restarted_relay_votes_only_after_the_leases_of_its_earlier_incarnation_expire() {
    let mut stage = start_stage();
    let wait = "missing: \"wait\"\ntogether: true";
    assert_eq!(stage.propose(&policy_document(3, wait), 20).1, 0);
    wait_until_all_serve(&stage, 2);
    stage.load(3, ms(5));
    sleep(ms(300));
    // m0 holds a lease of the earlier incarnation and cannot reach the new one.
    stage.apply_order(&Order::Cut(vec![names(&["m0"]), names(&RELAYS)]));
    stage.apply_order(&Order::Kill("r0".into()));
    stage.apply_order(&Order::Start("r0".into(), Disk::Old));
    let (lines, code) = stage.propose(&policy_document(4, wait), 20);
    assert_eq!(code, 0, "{lines:?} {:?}", log_tails(&stage));
    assert!(stage.serve_under(3, &ALL_MEMBERS[1..], TIMEOUT), "{:?}", log_tails(&stage));
    stage.apply_order(&Order::Heal);
    let check_report = verify_outcome(&mut stage, 3, &|version| version > 2);
    assert!(check_report.admitted > 100, "{check_report:?}");
}

#[test]
fn a_document_that_a_relay_cannot_store_is_active_nowhere_and_the_reason_names_it() {
    let mut stage = start_stage();
    // A directory at the temporary path of the next version's file makes the write fail.
    let blocked_path = stage.folder().join("disk-r0").join("000000000002.new");
    std::fs::create_dir(&blocked_path).expect("a directory");
    let (lines, code) = stage.propose(&policy_document(3, ""), 20);
    let error = lines[0]["error"].as_str().unwrap_or("").to_string();
    assert_eq!(code, 3, "{lines:?}");
    assert!(error.contains("r0: ") && error.contains("directory"), "{error}");
    stage.process("r0").signal("USR1");
    assert!(stage.logged("r0", "unkept 1", 1, TIMEOUT), "{:?}", log_tails(&stage));
    std::fs::remove_dir(&blocked_path).expect("a directory");
    let version = propose_until_committed(&stage, 4);
    verify_outcome(&mut stage, version, &|_| false);
}

/// The loopback ports at which a process receives datagrams.
fn ports(id: u32) -> Vec<u16> {
    let links = std::fs::read_dir(format!("/proc/{id}/fd")).into_iter().flatten().flatten();
    let inodes: Vec<String> = links
        .filter_map(|link| std::fs::read_link(link.path()).ok())
        .filter_map(|link| link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']').map(String::from))
        .collect();
    let all = std::fs::read_to_string("/proc/net/udp").unwrap_or_default();
    let port = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let known = inodes.iter().any(|inode| words.get(9) == Some(&inode.as_str()));
        known.then(|| u16::from_str_radix(words[1].split(':').nth(1)?, 16).ok()).flatten()
    };
    all.lines().filter_map(port).collect()
}

#[test]
fn messages_of_unknown_senders_that_claim_to_be_a_control_replica_are_counted_and_ignored() {
    let mut stage = start_stage();
    let (id, own) = (stage.process("r0").id().expect("r0 is running"), relay_address(&stage, "r0").port());
    let upstream_ports: Vec<u16> = ports(id).into_iter().filter(|port| *port != own).collect();
    assert_eq!(upstream_ports.len(), 1, "{upstream_ports:?}");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a loopback port");
    let at = SocketAddr::from(([127, 0, 0, 1], upstream_ports[0]));
    let not_leader = Response::NotLeader { leader: 0 };
    let forged_response =
        ControlMessage::RolloutResponse { from: cypresscleat_rollout::node_id("k0"), response: not_leader };
    let unknown_address = socket.local_addr().expect("an address");
    let forged_leader = ControlMessage::ReplicaAddress { replica: 7, address: unknown_address };
    for message in [forged_response, forged_leader] {
        let bytes = message::encode(&message).expect("a datagram");
        for _ in 0..20 {
            let _ = socket.send_to(&bytes, at);
        }
    }
    let version = propose_until_committed(&stage, 3);
    verify_outcome(&mut stage, version, &|_| false);
    stage.process("r0").signal("USR1");
    assert!(stage.logged("r0", "strangers 20,", 1, TIMEOUT), "{:?}", log_tails(&stage));
}

#[test]
fn a_flood_of_requests_and_malformed_datagrams_delays_no_change_and_is_counted() {
    let mut stage = start_stage();
    stage.load(1, ms(10));
    let is_done = AtomicBool::new(false);
    let at = relay_address(&stage, "r0");
    // Ends the flood even if the change never completes.
    let until = Instant::now() + 3 * TIMEOUT;
    let version = std::thread::scope(|scope| {
        scope.spawn(|| {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a loopback port");
            let request = ControlMessage::RolloutRequest(Request::Status { number: 1, from: (0, 0) });
            let request = message::encode(&request).expect("a datagram");
            let mut bytes = [0xC5u8; 1400];
            for count in 0u32.. {
                if is_done.load(Ordering::SeqCst) || Instant::now() > until {
                    return;
                }
                bytes[1] = count as u8;
                let _ = socket.send_to(&bytes[..count as usize % bytes.len()], at);
                let _ = socket.send_to(&request, at);
                if count.is_multiple_of(4) {
                    sleep(ms(1));
                }
            }
        });
        let version = propose_until_committed(&stage, 3);
        let all_adopted = stage.all_have(version, COUNTED_MEMBERS, TIMEOUT);
        is_done.store(true, Ordering::SeqCst);
        assert!(all_adopted, "{:?} {:?}", stage.policy(&["status"]), log_tails(&stage));
        version
    });
    stage.process("r0").signal("USR1");
    assert!(stage.logged("r0", "in_force 2", 1, TIMEOUT), "{:?}", log_tails(&stage));
    assert!(count_log_lines(&stage, "r0", "datagrams that are no words of a change of policy") > 0);
    verify_outcome(&mut stage, version, &|_| false);
    for name in CONTROL_REPLICAS.iter().chain(&RELAYS) {
        assert!(stage.process(name).runs(), "{name}");
    }
}

#[test]
fn random_faults_on_both_sides_of_relays_mix_no_versions_past_the_bound_and_lose_nothing() {
    let mut stage = start_stage();
    stage.load(2, ms(15));
    let document_at = |count: u64| match count % 4 {
        0 => policy_document(3, "together: true"),
        1 => "lease: 1s\nwithin: 6s\npools: {limiter: \"fixed\", pools: {a: {operations: [\"nosuch\"]}}}\n"
            .to_string(),
        _ => policy_document((2 + count % 5) as u32, ""),
    };
    let proposed = stage.faults(35, Duration::from_secs(12), &document_at);
    let has_barrier =
        |version: u64| proposed.get(&version).is_some_and(|text| text.contains("together: true"));
    let version = propose_until_committed(&stage, 7);
    let check_report = verify_outcome(&mut stage, version, &has_barrier);
    assert!(check_report.taken >= 2, "{check_report:?}");
}

fn check(text: &str) -> (i32, String) {
    let path = std::env::temp_dir().join(format!("cypresscleat-relays-{}.cue", std::process::id()));
    std::fs::write(&path, text).expect("to write the operator's file");
    let output = std::process::Command::new(PROGRAM)
        .args(["check", "--show", "--operator", &path.display().to_string()])
        .output()
        .expect("to run the program");
    let _ = std::fs::remove_file(path);
    (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&output.stdout).into_owned())
}

#[test]
fn errors_in_the_operators_file_carry_their_position() {
    let keepers = "keepers: {all: [{name: \"k0\", address: \"127.0.0.1:1\"}, {name: \"k1\", address: \"127.0.0.1:2\"}, \
                   {name: \"k2\", address: \"127.0.0.1:3\"}]}\n";
    let relay = "relay: {listen: \"127.0.0.1:9\", folder: \"/f\"}\n";
    let (code, shown) = check(&format!("{keepers}{relay}"));
    assert_eq!(code, 0, "{shown}");
    assert!(shown.contains("most: 2s"), "{shown}");
    let relays =
        "relays: [{name: \"r0\", address: \"127.0.0.1:4\"}, {name: \"r1\", address: \"127.0.0.1:5\"}]";
    // A member behind relays needs no control replicas in its file.
    assert_eq!(check(&format!("rollout: {{folder: \"/f\", {relays}}}\n")).0, 0);
    let many: Vec<String> =
        (0..9).map(|at| format!("{{name: \"r{at}\", address: \"127.0.0.1:{}\"}}", at + 10)).collect();
    for (text, place, what) in [
        (relay.to_string(), ":1:8", "relay: it needs keepers"),
        ("rollout: {folder: \"/f\"}\n".into(), ":1:10", "rollout: it needs keepers"),
        (format!("{keepers}relay: {{\n  folder: \"/f\"\n}}\n"), ":2:8", "listen"),
        (format!("{keepers}{}", relay.replace("\"/f\"", "\"/f\", most: 1ms")), ":2:52", "most"),
        (format!("{keepers}{}", relay.replace("\"/f\"", "\"/f\", moss: 1s")), ":2:46", "moss"),
        (
            format!("rollout: {{folder: \"/f\", {}}}\n", relays.replace("r1", "r0")),
            ":1:72",
            "rollout.relays: the name or the address is taken",
        ),
        // Guards against a member that polls a control replica as if it were a relay: it gets responses, and counts as a member of no zone.
        (
            format!(
                "{keepers}rollout: {{folder: \"/f\", {}}}\n",
                relays.replace("127.0.0.1:5", "127.0.0.1:2")
            ),
            ":2:33",
            "rollout.relays: 127.0.0.1:2 is the address of keeper k1",
        ),
        (
            format!("rollout: {{folder: \"/f\", relays: [{}]}}\n", many.join(", ")),
            ":1:33",
            "rollout.relays: 9 relays; a member asks 8 at the most",
        ),
    ] {
        let (code, shown) = check(&text);
        assert_eq!(code, 2, "{text}\n{shown}");
        assert!(shown.contains(place) && shown.contains(what), "{place} {what}:\n{shown}");
    }
}
