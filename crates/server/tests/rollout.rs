//! Policy changes between processes of the program: control replicas, app servers under load, forwarders and a planner, with injected
//! faults. The checks use the journals, which share one clock, and the responses that clients received.

use cypresscleat_demo::rollout::{check_invariants, CheckReport, Setup, Stage};
use cypresscleat_fault_injection::{free_port, Disk, Order};
use serde_json::{json, Value};
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");
/// Maximum time to wait for an expected event.
const TIMEOUT: Duration = Duration::from_secs(25);
const LEASE: Duration = Duration::from_secs(1);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A policy with a lease of one second; `part` sets the minimum share of its pool.
fn policy_document(part: u32, more: &str) -> String {
    format!(
        "lease: 1s\nwithin: 8s\n{more}\npools: {{limiter: \"fixed\", pools: {{quick: {{operations: [\"lookup\"], least: 0.{part}}}}}}}\n"
    )
}

fn start_stage_with(
    members: usize,
    more: &dyn Fn(usize) -> String,
    own: &dyn Fn(usize, &mut Value),
) -> Stage {
    let setup =
        Setup { program: Path::new(PROGRAM), config: CONFIG, keepers: 3, members, more, own, seed: 1 };
    Stage::start(&setup)
}

/// Members that serve under version 1, with a lease of one second.
fn start_stage(members: usize) -> Stage {
    let stage = start_stage_with(members, &|_| String::new(), &|_, _| {});
    assert!(stage.all_have(0, members, TIMEOUT), "the members never started");
    let (lines, code) = stage.propose(&policy_document(2, ""), 20);
    assert_eq!((code, lines[0]["version"].as_u64()), (0, Some(1)), "{lines:?}");
    assert!(stage.all_have(1, members, TIMEOUT));
    stage
}

/// Heals all faults, waits until every member is under `version`, and checks the journals: no request is lost and no member admits
/// under a superseded version past the bound.
fn verify_outcome(
    stage: &mut Stage,
    version: u64,
    members: usize,
    has_barrier: &dyn Fn(u64) -> bool,
) -> CheckReport {
    stage.heal();
    assert!(stage.all_have(version, members, TIMEOUT), "{:?}", stage.policy(&["status"]));
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
    let until = Instant::now() + TIMEOUT;
    loop {
        let (lines, code) = stage.propose(&policy_document(part, ""), 10);
        if code == 0 {
            return lines[0]["version"].as_u64().expect("a version number");
        }
        assert!(Instant::now() < until, "{lines:?}");
        sleep(ms(200));
    }
}

#[test]
fn a_change_is_active_on_all_members_or_on_none_if_one_rejects_it() {
    // m2 has no request class "lookup", so it rejects policies that name it.
    let own = |at: usize, all: &mut Value| {
        if at == 2 {
            all["settings"]["categories"][1]["name"] = json!("other");
        }
    };
    let stage = start_stage_with(3, &|_| String::new(), &own);
    assert!(stage.all_have(0, 3, TIMEOUT));
    let (lines, code) = stage.propose("lease: 1s\npools: {limiter: \"aimd\", pools: {}}\n", 20);
    assert_eq!(code, 0, "{lines:?}");
    assert!(stage.all_have(1, 3, TIMEOUT));
    let (lines, code) = stage.propose(&policy_document(3, ""), 20);
    let error = lines[0]["error"].as_str().unwrap_or("").to_string();
    assert_eq!(code, 3, "{lines:?}");
    assert!(error.contains("m2: policy:4:") && error.contains("no operation \"lookup\""), "{error}");
    assert!(stage.all_have(1, 3, TIMEOUT));
    // An invalid document is rejected with its line before any member is asked.
    let (lines, code) = stage.propose("lease: 1s\nleese: 2s\n", 20);
    assert_eq!(code, 2);
    assert!(lines[0]["error"].as_str().is_some_and(|error| error.contains("leese")), "{lines:?}");
    // A document based on an older version is rejected, and the difference is shown.
    let path = stage.folder().join("old.cue").display().to_string();
    std::fs::write(&path, "lease: 3s\n").expect("to write a policy");
    let (lines, code) = stage.policy(&["propose", "--text", &path, "--from", "0"]);
    assert_eq!(code, 3);
    assert!(lines[0]["error"].as_str().is_some_and(|error| error.contains("+ lease: 1s")), "{lines:?}");
    assert_eq!(stage.policy(&["check", "--text", &path]).1, 0);
    let (lines, _) = stage.policy(&["history"]);
    let committed: Vec<bool> = lines.iter().map(|line| line["taken"] == json!(true)).collect();
    assert_eq!(committed, [true, false], "{lines:?}");
    // A revert is an ordinary change.
    assert_eq!(stage.policy(&["undo", "--wait", "20"]).1, 0);
    assert!(stage.all_have(3, 3, TIMEOUT));
    let (lines, _) = stage.policy(&["show", "--version", "1"]);
    assert!(lines[0]["text"].as_str().is_some_and(|text| text.contains("aimd")));
    assert_eq!(stage.policy(&["show"]).0[0]["text"], json!(""), "each instance uses its own file again");
}

#[test]
fn an_app_server_killed_at_each_step_leaves_the_change_decided_and_restarts_under_it() {
    for step in ["before_check", "kept", "said_yes", "heard", "in_force"] {
        let mut stage = start_stage_with(3, &|_| String::new(), &|_, _| {});
        assert!(stage.all_have(0, 3, TIMEOUT));
        assert_eq!(stage.propose("lease: 1s\n", 20).1, 0);
        assert!(stage.all_have(1, 3, TIMEOUT));
        stage.apply_order(&Order::Kill("m0".into()));
        stage.process("m0").with("CLEAT_TEST_DIES", step);
        // m0 does not check the active version again after a restart, so the next change reaches the step that ends it.
        stage.apply_order(&Order::Start("m0".into(), Disk::Old));
        if step == "heard" || step == "in_force" {
            // These steps also occur when a restarted member adopts the active version, so the process ends at once.
            assert!(stage.process("m0").ended(TIMEOUT).is_some(), "{step}");
        } else {
            assert!(stage.logged("m0", "policy 1 is in force here", 2, TIMEOUT), "{step}");
        }
        let (lines, code) = stage.propose(&policy_document(4, ""), 20);
        assert_eq!(code, 0, "{step}: {lines:?}");
        assert!(stage.process("m0").ended(TIMEOUT).is_some(), "{step}: the process did not end");
        stage.load(1, ms(10));
        stage.process("m0").forgets("CLEAT_TEST_DIES");
        stage.apply_order(&Order::Start("m0".into(), Disk::Old));
        verify_outcome(&mut stage, 2, 3, &|_| false);
    }
}

#[test]
fn a_member_stopped_past_its_lease_admits_nothing_under_the_old_version() {
    let mut stage = start_stage(3);
    stage.load(3, ms(5));
    sleep(ms(300));
    stage.apply_order(&Order::Stop("m0".into()));
    let version = propose_until_committed(&stage, 3);
    sleep(ms(500));
    stage.apply_order(&Order::Wake("m0".into()));
    sleep(ms(500));
    let check_report = verify_outcome(&mut stage, version, 3, &|_| false);
    assert!(check_report.admitted > 100, "{check_report:?}");
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
fn a_partitioned_member_rejects_requests_and_returns_to_service() {
    let mut stage = start_stage(3);
    stage.load(2, ms(10));
    let replicas: Vec<String> = stage.keepers.iter().map(|one| one.name.clone()).collect();
    stage.apply_order(&Order::Cut(vec![vec!["m1".into()], replicas]));
    let version = propose_until_committed(&stage, 4);
    assert!(stage.logged("m1", "out of service", 1, TIMEOUT));
    let before = stage.request_counts().throttled;
    sleep(ms(500));
    assert!(stage.request_counts().throttled > before, "its clients are rejected at once");
    stage.apply_order(&Order::Heal);
    verify_outcome(&mut stage, version, 3, &|_| false);
}

#[test]
fn where_changes_wait_a_partitioned_member_serves_until_it_votes() {
    let mut stage = start_stage(3);
    let wait = "missing: \"wait\"";
    assert_eq!(stage.propose(&policy_document(3, wait), 20).1, 0);
    assert!(stage.all_have(2, 3, TIMEOUT));
    stage.load(2, ms(10));
    let replicas: Vec<String> = stage.keepers.iter().map(|one| one.name.clone()).collect();
    stage.apply_order(&Order::Cut(vec![vec!["m1".into()], replicas]));
    let (lines, code) = stage.propose(&policy_document(4, wait), 2);
    assert_eq!(code, 5, "{lines:?}");
    let count_out_of_service = |stage: &Stage| {
        stage.members[1].log().iter().filter(|line| line.1.contains("out of service")).count()
    };
    sleep(LEASE);
    assert_eq!(count_out_of_service(&stage), 0, "the change waits for m1, so m1 keeps serving");
    // No other change can be proposed while this one is pending.
    assert_eq!(stage.propose(&policy_document(5, wait), 2).1, 3);
    stage.apply_order(&Order::Heal);
    verify_outcome(&mut stage, 3, 3, &|_| false);
    assert_eq!(stage.request_counts().throttled, 0);
}

#[test]
fn a_barrier_lets_no_two_versions_admit_at_once_and_holds_requests_meanwhile() {
    // A busy machine stretches the time for which requests are held. Lease and objectives are longer than that, so that none is
    // rejected because a lease was not renewed or an objective had passed.
    let own = |_: usize, all: &mut Value| {
        for at in 0..2 {
            all["settings"]["categories"][at]["aim_ns"] = json!(10_000_000_000u64);
            all["settings"]["categories"][at]["deadline_ns"] = json!(20_000_000_000u64);
        }
    };
    let policy_document =
        |part: u32, more: &str| policy_document(part, more).replace("lease: 1s", "lease: 6s");
    let mut stage = start_stage_with(4, &|_| String::new(), &own);
    assert!(stage.all_have(0, 4, TIMEOUT), "the members never started");
    assert_eq!(stage.propose(&policy_document(2, ""), 20).1, 0);
    assert!(stage.all_have(1, 4, TIMEOUT));
    stage.load(4, ms(2));
    sleep(ms(300));
    stage.net.both("m3", "k0", |link| link.delay = ms(120));
    stage.net.both("m3", "k1", |link| link.delay = ms(120));
    stage.net.both("m3", "k2", |link| link.delay = ms(120));
    for part in 3..6 {
        assert_eq!(stage.propose(&policy_document(part, "together: true"), 20).1, 0);
        sleep(ms(300));
    }
    let check_report = verify_outcome(&mut stage, 4, 4, &|version| version > 1);
    assert_eq!(check_report.mixture_ms, 0.0, "{check_report:?}");
    let held =
        stage.members.iter().any(|one| one.log().iter().any(|line| line.1.contains("holds what comes")));
    assert!(held);
    let logs: Vec<_> = stage.members.iter().map(|one| (one.name.clone(), one.log())).collect();
    assert_eq!(
        stage.request_counts().throttled,
        0,
        "held requests were rejected: {:?}; {logs:#?}",
        stage.request_counts()
    );
}

#[test]
fn without_a_quorum_no_change_is_committed_and_members_stop_within_their_lease() {
    let mut stage = start_stage(3);
    stage.load(1, ms(10));
    stage.apply_order(&Order::Kill("k0".into()));
    stage.apply_order(&Order::Stop("k1".into()));
    let (_, code) = stage.propose(&policy_document(3, ""), 5);
    assert_eq!(code, 4);
    for member in ["m0", "m1", "m2"] {
        assert!(stage.logged(member, "out of service", 1, TIMEOUT), "{member}");
    }
    stage.heal();
    let version = propose_until_committed(&stage, 5);
    verify_outcome(&mut stage, version, 3, &|_| false);
}

#[test]
fn members_down_during_a_change_recover_also_from_an_empty_disk() {
    let mut stage = start_stage(6);
    for name in ["m0", "m1"] {
        stage.apply_order(&Order::Kill(name.into()));
    }
    stage.load(1, ms(10));
    let version = propose_until_committed(&stage, 3);
    stage.apply_order(&Order::Start("m0".into(), Disk::Old));
    stage.apply_order(&Order::Start("m1".into(), Disk::Empty));
    verify_outcome(&mut stage, version, 6, &|_| false);
}

#[test]
fn a_change_is_decided_after_its_proposer_and_the_leader_are_killed() {
    let mut stage = start_stage(3);
    // The slow responses of m2 leave time to kill the leader.
    for replica in ["k0", "k1", "k2"] {
        stage.net.both("m2", replica, |link| link.delay = ms(150));
    }
    let path = stage.folder().join("next.cue").display().to_string();
    std::fs::write(&path, policy_document(6, "")).expect("to write a policy");
    let operator = stage.operator("operator");
    let arguments = ["policy", "propose", "--operator", &operator, "--text", &path];
    let mut proposer = cypresscleat_fault_injection::Process::new("proposer", Path::new(PROGRAM), &arguments);
    proposer.start();
    let until = Instant::now() + TIMEOUT;
    let leader = loop {
        let logs_proposal = |line: &(Instant, String)| line.1.contains("policy 2 is proposed");
        if let Some(one) = stage.keepers.iter().find(|one| one.log().iter().any(logs_proposal)) {
            break one.name.clone();
        }
        assert!(Instant::now() < until, "the change was never proposed");
        sleep(ms(2));
    };
    proposer.kill();
    stage.apply_order(&Order::Kill(leader.clone()));
    let until = Instant::now() + TIMEOUT;
    while !stage.journal().iter().any(|line| line["event"] == json!("taken") && line["version"] == json!(2)) {
        assert!(Instant::now() < until, "the change stayed undecided");
        sleep(ms(20));
    }
    stage.apply_order(&Order::Start(leader, Disk::Old));
    verify_outcome(&mut stage, 2, 3, &|_| false);
}

/// A member that drains during a change reports so: the change proceeds without waiting for its lease, and the member admits nothing
/// more.
#[test]
fn a_change_does_not_wait_for_a_member_that_drains() {
    let mut stage = start_stage(3);
    // The delay makes the drain come before the decision.
    for replica in ["k0", "k1", "k2"] {
        stage.net.both("m2", replica, |link| link.delay = ms(200));
    }
    let (lines, code) = stage.propose(&policy_document(4, ""), 0);
    assert_eq!(code, 5, "{lines:?}");
    stage.apply_order(&Order::End("m0".into()));
    stage.process("m1").signal("HUP");
    assert!(stage.process("m0").ended(TIMEOUT).is_some_and(|status| status.success()));
    let until = Instant::now() + TIMEOUT;
    while stage.policy(&["show"]).0[0]["version"] != json!(2) {
        assert!(Instant::now() < until, "the change was never committed");
        sleep(ms(20));
    }
    assert!(stage.all_have(2, 2, TIMEOUT), "the drained member is still counted");
    stage.apply_order(&Order::Start("m0".into(), Disk::Old));
    verify_outcome(&mut stage, 2, 3, &|_| false);
}

/// Adds settings to the `rollout` record that the test setup wrote into a member's file, and starts the member.
fn start_with_setting(stage: &mut Stage, name: &str, more: &str) {
    let path = stage.operator(name);
    let file = std::fs::read_to_string(&path).expect("a file");
    std::fs::write(&path, file.replace("\"}\n", &format!("\", {more}}}\n"))).expect("to write it");
    stage.apply_order(&Order::Start(name.into(), Disk::Old));
}

#[test]
fn a_document_too_large_for_one_member_is_active_nowhere() {
    let mut stage = start_stage_with(3, &|_| String::new(), &|_, _| {});
    start_with_setting(&mut stage, "m1", "room: 256B");
    assert!(stage.all_have(0, 3, TIMEOUT));
    let long_document = format!("lease: 1s\n// {}\n", "words ".repeat(60));
    let (lines, code) = stage.propose(&long_document, 20);
    assert_eq!(code, 3, "{lines:?}");
    let error = lines[0]["error"].as_str().unwrap_or("");
    assert!(
        error.contains(&format!("m1: the document has {} bytes; the maximum is 256", long_document.len())),
        "{error}"
    );
    assert_eq!(stage.propose("lease: 1s\n", 20).1, 0);
    assert!(stage.all_have(2, 3, TIMEOUT));
}

#[test]
fn a_member_that_starts_without_control_replicas_waits_or_starts_alone_as_configured() {
    let mut stage = start_stage_with(2, &|_| String::new(), &|_, _| {});
    start_with_setting(&mut stage, "m0", "alone: 1s");
    assert!(stage.all_have(0, 2, TIMEOUT));
    let version = propose_until_committed(&stage, 3);
    assert!(stage.all_have(version, 2, TIMEOUT));
    for name in ["k0", "k1", "k2", "m0", "m1"] {
        stage.apply_order(&Order::Kill(name.into()));
    }
    for name in ["m0", "m1"] {
        stage.apply_order(&Order::Start(name.into(), Disk::Old));
    }
    let log_line = format!("m0 begins under policy {version}, which it had last");
    assert!(stage.logged("m0", &log_line, 1, TIMEOUT));
    sleep(ms(500));
    assert!(!stage.members[1].log().iter().any(|line| line.1.contains("begins under policy")));
    stage.load(1, ms(10));
    sleep(ms(300));
    let request_counts = stage.request_counts();
    assert!(request_counts.succeeded > 0 && request_counts.throttled > 0, "{request_counts:?}");
    for name in ["k0", "k1", "k2"] {
        stage.apply_order(&Order::Start(name.into(), Disk::Old));
    }
    verify_outcome(&mut stage, version, 2, &|_| false);
}

#[test]
fn a_harmful_change_is_reverted_automatically_once() {
    // Eight clients get responses in 20 ms on four cores, and in 80 ms on one.
    let own = |_: usize, all: &mut Value| {
        for at in 0..2 {
            all["settings"]["categories"][at]["aim_ns"] = json!(45_000_000);
        }
    };
    let mut stage = start_stage_with(2, &|_| String::new(), &own);
    assert!(stage.all_have(0, 2, TIMEOUT));
    assert_eq!(stage.propose(&policy_document(2, ""), 20).1, 0);
    stage.load(8, ms(5));
    sleep(Duration::from_secs(5));
    let harmful = "lease: 1s\nwatch: {share: 0.3, within: 4s}\npools: {limiter: \"fixed\", pools: {\
                all: {operations: [\"lookup\", \"report\"], most: 0.01}}}\n";
    assert_eq!(stage.propose(harmful, 20).1, 0);
    let until = Instant::now() + TIMEOUT;
    let is_reverted =
        |stage: &Stage| stage.policy(&["show"]).0.first().is_some_and(|line| line["undoes"] == json!(true));
    while !is_reverted(&stage) {
        assert!(
            Instant::now() < until,
            "the change was never reverted: {:?}",
            stage.keepers.iter().map(|one| one.log()).collect::<Vec<_>>()
        );
        sleep(ms(100));
    }
    let (lines, _) = stage.policy(&["show"]);
    assert!(
        lines[0]["by"] == json!("watch") && lines[0]["text"] == json!(policy_document(2, "")),
        "{lines:?}"
    );
    assert!(stage.keepers.iter().any(|one| one
        .log()
        .iter()
        .any(|line| line.1.contains("policy 2 did harm: each invocation before"))));
    verify_outcome(&mut stage, 3, 2, &|_| false);
}

/// Guards against a harmful change that stays active because the leader that watched it lost its leadership. Known to fail:
/// KNOWN-RED.txt.
#[test]
fn a_change_that_does_harm_is_undone_through_a_change_of_leader() {
    let own = |_: usize, all: &mut Value| {
        for at in 0..2 {
            all["settings"]["categories"][at]["aim_ns"] = json!(45_000_000);
        }
    };
    let mut stage = start_stage_with(2, &|_| String::new(), &own);
    assert!(stage.all_have(0, 2, TIMEOUT));
    stage.load(8, ms(5));
    sleep(Duration::from_secs(5));
    let harmful = "lease: 1s\nwatch: {share: 0.3, within: 4s}\npools: {limiter: \"fixed\", pools: {\
                all: {operations: [\"lookup\", \"report\"], most: 0.01}}}\n";
    assert_eq!(stage.propose(harmful, 20).1, 0);
    let became_leader = |log: Vec<(Instant, String)>| {
        log.into_iter().rfind(|line| line.1.contains("leads the keepers in")).map(|line| line.0)
    };
    let leader = stage.keepers.iter().max_by_key(|one| became_leader(one.log())).expect("a replica");
    let leader = leader.name.clone();
    // The pause is longer than an election takes.
    stage.apply_order(&Order::Stop(leader.clone()));
    sleep(ms(700));
    stage.apply_order(&Order::Wake(leader));
    let until = Instant::now() + TIMEOUT;
    while stage.policy(&["show"]).0.first().is_none_or(|line| line["undoes"] != json!(true)) {
        assert!(Instant::now() < until, "the change was never reverted");
        sleep(ms(100));
    }
    verify_outcome(&mut stage, 2, 2, &|_| false);
}

#[test]
fn forwarders_and_a_planner_use_the_same_version_and_grants_carry_it() {
    let (planner, forwarder) = (free_port(), free_port());
    let mut stage = start_stage_with(2, &|_| String::new(), &|_, _| {});
    let workers: Vec<String> =
        (0..2).map(|at| format!("{{name: \"m{at}\", address: \"{}\", places: 8}}", stage.at[at])).collect();
    let plain = std::fs::read_to_string(stage.operator("operator")).expect("a file");
    for (name, role, listen) in [("p0", "plan", planner), ("f0", "forward", forwarder)] {
        let operator_settings = format!(
            "rollout: {{folder: \"{}\"}}\ntier: {{listen: \"{listen}\", planners: [{{name: \"p0\", address: \"{planner}\"}}], workers: [{}]}}\n",
            stage.folder().join(format!("disk-{name}")).display(),
            workers.join(", ")
        );
        let path = stage.operator(name);
        // A file without a control replica's folder describes an instance.
        let replica_list: String = plain.lines().take(1).map(|line| format!("{line}\n")).collect();
        std::fs::write(&path, format!("{replica_list}{operator_settings}"))
            .expect("to write the operator's file");
        stage.member(role, name, &path, &|_| {});
        stage.process(name).start();
    }
    assert!(stage.all_have(0, 4, TIMEOUT), "{:?}", stage.policy(&["status"]));
    assert!(stage.logged("f0", "by its grants: epoch", 1, TIMEOUT), "{:?}", stage.members[3].log());
    assert_eq!(stage.propose("lease: 1s\nretries: 0.2\n", 20).1, 0);
    assert!(stage.all_have(1, 4, TIMEOUT));
    // The planner is stopped: the forwarder adopts the new version without the planner and dispatches without grants.
    stage.apply_order(&Order::Stop("p0".into()));
    let version = propose_until_committed(&stage, 3);
    stage.apply_order(&Order::Wake("p0".into()));
    assert!(stage.all_have(version, 4, TIMEOUT));
    let grant_lines =
        stage.members[3].log().iter().filter(|line| line.1.contains("by its grants: epoch")).count();
    assert!(grant_lines >= 1);
    let has_version_mismatch = |one: &cypresscleat_fault_injection::Process| {
        one.log().iter().any(|line| line.1.contains("its grants are not used"))
    };
    assert!(
        stage.members[2..].iter().any(has_version_mismatch),
        "no process logged that its peer uses another version"
    );
    verify_outcome(&mut stage, version, 4, &|_| false);
}

#[test]
fn random_faults_mix_no_versions_past_the_bound_and_lose_nothing() {
    let mut stage = start_stage(5);
    stage.load(2, ms(15));
    let document_at = |count: u64| match count % 4 {
        0 => policy_document(3, "together: true"),
        1 => "lease: 1s\nwithin: 6s\npools: {limiter: \"fixed\", pools: {a: {operations: [\"nosuch\"]}}}\n"
            .to_string(),
        _ => policy_document((2 + count % 5) as u32, ""),
    };
    let proposed = stage.faults(77, Duration::from_secs(12), &document_at);
    let has_barrier =
        |version: u64| proposed.get(&version).is_some_and(|text| text.contains("together: true"));
    let version = propose_until_committed(&stage, 7);
    let check_report = verify_outcome(&mut stage, version, 5, &has_barrier);
    assert!(check_report.taken >= 2, "{check_report:?}");
}
