//! Changes of policy through relays, between processes of the program: keepers, two relays of one zone, app servers under load behind
//! them and beside them, with faults in between. The journals on one clock judge, and what callers were answered.

use cypresscleat_consensus::message;
use cypresscleat_demo::rollout::{judge, Judged, Setup, Stage};
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
/// For whatever has to happen at all.
const PATIENCE: Duration = Duration::from_secs(25);
const LEASE: Duration = Duration::from_secs(1);
/// What the keepers count: both relays, and m3, which asks the keepers themselves.
const COUNT: usize = 3;
const ALL: [usize; 4] = [0, 1, 2, 3];
const KEEPERS: [&str; 3] = ["k0", "k1", "k2"];
const RELAYS: [&str; 2] = ["r0", "r1"];

fn ms(many: u64) -> Duration {
    Duration::from_millis(many)
}

fn names(all: &[&str]) -> Vec<String> {
    all.iter().map(|name| name.to_string()).collect()
}

/// m0 asks r0 alone, m1 and m2 ask both, m3 asks the keepers as before there were relays.
fn zone(at: usize) -> Vec<usize> {
    [vec![0], vec![0, 1], vec![1, 0], vec![]][at].clone()
}

fn text(part: u32, more: &str) -> String {
    format!(
        "lease: 1s\nwithin: 8s\n{more}\npools: {{limiter: \"fixed\", pools: {{quick: {{operations: [\"lookup\"], least: 0.{part}}}}}}}\n"
    )
}

fn stage_with(own: &dyn Fn(usize, &mut Value)) -> Stage {
    let more = |_: usize| String::new();
    let program = Path::new(PROGRAM);
    let setup = Setup { program, config: CONFIG, keepers: 3, members: 4, more: &more, own, seed: 1 };
    let stage = Stage::start_behind(&setup, 2, &zone);
    assert!(stage.all_have(0, COUNT, PATIENCE), "they never began: {:?}", stage.policy(&["status"]));
    assert!(stage.serve_under(0, &ALL, PATIENCE), "{:?}", told(&stage));
    stage
}

/// Members that serve under a first version with a lease of a second.
fn stage() -> Stage {
    let stage = stage_with(&|_, _| {});
    let (lines, code) = stage.propose(&text(2, ""), 20);
    assert_eq!((code, lines[0]["version"].as_u64()), (0, Some(1)), "{lines:?}");
    all_serve(&stage, 1);
    stage
}

/// The last lines of each log, for whoever reads a failure.
fn told(stage: &Stage) -> Vec<(String, Vec<String>)> {
    let all = stage.keepers.iter().chain(&stage.relays).chain(&stage.members);
    let last = |lines: Vec<(Instant, String)>| lines.into_iter().rev().take(6).map(|line| line.1).collect();
    all.map(|one| (one.name.clone(), last(one.log()))).collect()
}

fn all_serve(stage: &Stage, version: u64) {
    assert!(stage.all_have(version, COUNT, PATIENCE), "{:?} {:?}", stage.policy(&["status"]), told(stage));
    assert!(stage.serve_under(version, &ALL, PATIENCE), "{:?}", told(stage));
}

/// The rule, by the journals; all are in peace under `version` at the end.
fn good(stage: &mut Stage, version: u64, together: &dyn Fn(u64) -> bool) -> Judged {
    stage.peace();
    all_serve(stage, version);
    let books = stage.rests();
    assert_eq!((books.lost, books.asked), (0, books.answered), "{books:?}");
    let judged = judge(&stage.journal(), LEASE.as_secs_f64() * 1e3, together);
    assert_eq!(judged.wrong, 0, "{judged:?}");
    judged
}

/// Proposes until it is taken; the version.
fn takes(stage: &Stage, part: u32) -> u64 {
    takes_with(stage, part, "")
}

fn takes_with(stage: &Stage, part: u32, more: &str) -> u64 {
    let until = Instant::now() + PATIENCE;
    loop {
        let (lines, code) = stage.propose(&text(part, more), 10);
        if code == 0 {
            return lines[0]["version"].as_u64().expect("a version");
        }
        assert!(Instant::now() < until, "{lines:?} {:?}", told(stage));
        sleep(ms(200));
    }
}

/// Past the time in which the keepers still count by the longer lease of each instance's own file: from then on whoever outlives a lease of
/// a second shows.
fn settles() {
    sleep(2 * Duration::from_secs(2));
}

fn decided(stage: &Stage, version: u64) -> bool {
    let until = Instant::now() + PATIENCE;
    let ends = |line: &Value| {
        matches!(line["event"].as_str(), Some("taken" | "dropped")) && line["version"] == json!(version)
    };
    while Instant::now() < until {
        if stage.journal().iter().any(ends) {
            return true;
        }
        sleep(ms(20));
    }
    false
}

fn lines(stage: &Stage, name: &str, words: &str) -> usize {
    let all = stage.relays.iter().chain(&stage.members);
    all.filter(|one| one.name == name).flat_map(|one| one.log()).filter(|line| line.1.contains(words)).count()
}

/// Where a relay hears members.
fn hears(stage: &Stage, name: &str) -> SocketAddr {
    let file = std::fs::read_to_string(stage.operator(name)).expect("a file");
    let at = file.split("listen: \"").nth(1).and_then(|rest| rest.split('"').next());
    at.and_then(|at| at.parse().ok()).expect("an address")
}

#[test]
fn a_change_goes_through_relays_beside_a_member_at_the_keepers() {
    let mut stage = stage();
    stage.load(2, ms(10));
    for part in 3..6 {
        let version = takes(&stage, part);
        all_serve(&stage, version);
    }
    let (status, _) = stage.policy(&["status"]);
    let mut known: Vec<&str> = status[0]["members"]
        .as_array()
        .map_or(Vec::new(), |all| all.iter().filter_map(|one| one["member"].as_str()).collect());
    known.sort_unstable();
    assert_eq!(known, ["m3", "r0", "r1"], "{status:?}");
    let below: BTreeSet<String> = RELAYS
        .iter()
        .flat_map(|relay| {
            let (status, code) = stage.policy(&["status", "--relay", &hears(&stage, relay).to_string()]);
            assert_eq!((code, &status[0]["in_force"]), (0, &json!(4)), "{status:?}");
            status[0]["members"].as_array().cloned().unwrap_or_default()
        })
        .filter_map(|one| one["member"].as_str().map(String::from))
        .collect();
    assert_eq!(below, ["m0", "m1", "m2"].map(String::from).into(), "a relay tells who is behind it");
    let judged = good(&mut stage, 4, &|_| false);
    assert!(judged.admitted > 100, "{judged:?}");
}

#[test]
fn what_one_member_behind_a_relay_refuses_is_in_force_nowhere_and_the_reason_names_it() {
    // m1 knows no "lookup".
    let own = |at: usize, all: &mut Value| {
        if at == 1 {
            all["settings"]["categories"][1]["name"] = json!("other");
        }
    };
    let mut stage = stage_with(&own);
    assert_eq!(stage.propose("lease: 1s\n", 20).1, 0);
    all_serve(&stage, 1);
    let (lines, code) = stage.propose(&text(3, ""), 20);
    let error = lines[0]["error"].as_str().unwrap_or("").to_string();
    assert_eq!(code, 3, "{lines:?}");
    assert!(error.contains("m1: policy:4:") && error.contains("no operation \"lookup\""), "{error}");
    // Past the longest lease nobody has gone over.
    sleep(LEASE);
    let under = |line: &&Value| {
        matches!(line["event"].as_str(), Some("in_force" | "admitted")) && line["version"] == json!(2)
    };
    assert_eq!(stage.journal().iter().filter(under).count(), 0);
    good(&mut stage, 1, &|_| false);
}

#[test]
fn relays_killed_in_the_middle_of_a_change_leave_it_decided_once_and_alike() {
    let mut stage = stage();
    stage.load(1, ms(10));
    let mut version = 1;
    for relay in RELAYS {
        // m2 answers late: there is time to kill.
        RELAYS.iter().for_each(|one| stage.net.both("m2", one, |link| link.delay = ms(150)));
        let (lines, code) = stage.propose(&text(3 + version as u32, ""), 0);
        assert_eq!(code, 5, "{lines:?}");
        version += 1;
        stage.obey(&Order::Kill(relay.into()));
        assert!(decided(&stage, version), "{:?}", told(&stage));
        stage.obey(&Order::Start(relay.into(), Disk::Old));
        stage.obey(&Order::Heal);
        let now = stage.policy(&["show"]).0[0]["version"].as_u64().expect("a version");
        all_serve(&stage, now);
    }
    let version = takes(&stage, 7);
    good(&mut stage, version, &|_| false);
}

#[test]
fn behind_one_that_was_stopped_past_its_lease_nobody_admits_under_the_old_version() {
    let mut stage = stage();
    settles();
    stage.load(2, ms(5));
    sleep(ms(300));
    stage.obey(&Order::Stop("r0".into()));
    // All stop first: who outlives the relay's lease by a moment shows.
    let version = takes_with(&stage, 3, "together: true");
    assert!(stage.logged("m0", "out of service", 1, PATIENCE));
    sleep(ms(500));
    stage.obey(&Order::Wake("r0".into()));
    // Callers go on until it has admitted one: that it may is in the journal some milliseconds before.
    let admits_again = || {
        let journal = stage.journal();
        let woken = journal.iter().position(|line| line["event"] == json!("woken")).expect("it was woken");
        journal[woken..]
            .iter()
            .any(|line| line["event"] == json!("admitted") && line["member"] == json!("m0"))
    };
    let until = Instant::now() + PATIENCE;
    while !admits_again() {
        assert!(Instant::now() < until, "it never serves again: {:?}", told(&stage));
        sleep(ms(20));
    }
    good(&mut stage, version, &|newer| newer > 1);
    assert!(lines(&stage, "r0", "no members are answered") > 0, "{:?}", told(&stage));
    let journal = stage.journal();
    let woken = journal.iter().position(|line| line["event"] == json!("woken")).expect("it was woken");
    let first = journal[woken..]
        .iter()
        .find(|line| line["event"] == json!("admitted") && line["member"] == json!("m0"))
        .expect("it serves again");
    assert_eq!(first["version"].as_u64(), Some(version));
}

#[test]
fn one_that_comes_back_with_an_empty_disk_has_the_text_again_before_its_members_do() {
    let mut stage = stage();
    stage.load(1, ms(10));
    stage.obey(&Order::Kill("r0".into()));
    let version = takes(&stage, 4);
    stage.obey(&Order::Kill("m0".into()));
    for name in ["r0", "m0"] {
        stage.obey(&Order::Start(name.into(), Disk::Empty));
    }
    good(&mut stage, version, &|_| false);
    let kept = stage.folder().join("disk-r0").join(format!("{version:012}.json"));
    assert!(kept.is_file(), "what it handed out is on its disk");
}

#[test]
fn both_relays_gone_stop_their_members_and_nobody_else_until_one_is_back() {
    let mut stage = stage();
    stage.load(1, ms(10));
    for relay in RELAYS {
        stage.obey(&Order::Kill(relay.into()));
    }
    let version = takes(&stage, 3);
    for member in ["m0", "m1", "m2"] {
        assert!(stage.logged(member, "out of service", 1, PATIENCE), "{member}");
    }
    let before = stage.books().throttled;
    sleep(ms(500));
    assert!(stage.books().throttled > before, "who asks them is turned away at once");
    assert!(stage.all_have(version, 1, PATIENCE), "{:?}", stage.policy(&["status"]));
    let journal = stage.journal();
    let last = |event: &str, member: &str| {
        let of = |line: &&Value| line["event"] == json!(event) && line["member"] == json!(member);
        journal.iter().rfind(of).and_then(|line| line["at_ns"].as_u64()).unwrap_or(0)
    };
    let out = ["m0", "m1", "m2"].map(|member| last("out_of_service", member));
    assert!(last("admitted", "m3") > out.into_iter().max().unwrap_or(0), "the one beside them serves on");
    stage.obey(&Order::Start("r0".into(), Disk::Old));
    assert!(stage.serve_under(version, &ALL, PATIENCE), "{:?}", told(&stage));
    assert!(stage.all_have(version, 2, PATIENCE), "{:?}", stage.policy(&["status"]));
    good(&mut stage, version, &|_| false);
}

#[test]
fn one_that_is_cut_from_the_keepers_stops_its_members_and_says_so_to_them() {
    let mut stage = stage();
    settles();
    stage.load(2, ms(10));
    stage.obey(&Order::Cut(vec![names(&RELAYS[..1]), names(&KEEPERS)]));
    // All stop first: who outlives the relay's lease by a moment shows.
    let version = takes_with(&stage, 4, "together: true");
    assert!(stage.logged("r0", "no members are answered", 1, PATIENCE), "{:?}", told(&stage));
    assert!(stage.logged("m0", "out of service", 1, PATIENCE), "{:?}", told(&stage));
    // The other relay is there for those that know it.
    assert!(stage.serve_under(version, &ALL[1..], PATIENCE), "{:?}", told(&stage));
    stage.obey(&Order::Heal);
    good(&mut stage, version, &|newer| newer > 1);
}

#[test]
fn together_nobody_admits_beside_a_newer_version_on_either_side_of_a_relay() {
    let mut stage = stage();
    stage.load(3, ms(3));
    sleep(ms(300));
    RELAYS.iter().for_each(|one| stage.net.both("m2", one, |link| link.delay = ms(100)));
    KEEPERS.iter().for_each(|one| stage.net.both("r1", one, |link| link.delay = ms(30)));
    for part in 3..6 {
        let (lines, code) = stage.propose(&text(part, "together: true"), 20);
        assert_eq!(code, 0, "{lines:?} {:?}", told(&stage));
        sleep(ms(300));
    }
    let judged = good(&mut stage, 4, &|version| version > 1);
    assert_eq!(judged.mixture_ms, 0.0, "{judged:?}");
    let held = |name: &str| lines(&stage, name, "holds what comes") > 0;
    assert!(held("m2") && held("m3"), "{:?}", told(&stage));
}

#[test]
fn one_that_is_told_to_end_leaves_in_the_middle_of_a_change_and_its_members_go_over() {
    let mut stage = stage();
    stage.load(1, ms(10));
    RELAYS.iter().for_each(|one| stage.net.both("m2", one, |link| link.delay = ms(150)));
    let (lines, code) = stage.propose(&text(4, ""), 0);
    assert_eq!(code, 5, "{lines:?}");
    stage.obey(&Order::End("r1".into()));
    let ended = stage.process("r1").ended(PATIENCE);
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
    assert!(stage.logged("r1", "relay r1 has left", 1, PATIENCE), "{:?}", told(&stage));
    assert!(decided(&stage, 2), "{:?}", told(&stage));
    stage.obey(&Order::Heal);
    let version = takes(&stage, 5);
    assert!(stage.serve_under(version, &ALL, PATIENCE), "{:?}", told(&stage));
    assert!(stage.all_have(version, 2, PATIENCE), "{:?}", stage.policy(&["status"]));
    stage.obey(&Order::Start("r1".into(), Disk::Old));
    good(&mut stage, version, &|_| false);
}

#[test]
fn one_that_is_told_to_end_where_no_keeper_answers_ends_by_itself() {
    let mut stage = stage();
    KEEPERS.iter().for_each(|one| stage.obey(&Order::Kill(one.to_string())));
    stage.obey(&Order::End("r0".into()));
    let ended = stage.process("r0").ended(PATIENCE);
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
    assert!(stage.logged("r0", "goes without the keepers' word", 1, PATIENCE), "{:?}", told(&stage));
    good(&mut stage, 1, &|_| false);
}

/// Where changes wait for everybody the new life takes the former's place at once, and its table is empty.
#[test]
fn a_new_life_speaks_for_nobody_until_the_leases_of_the_former_are_over() {
    let mut stage = stage();
    let wait = "missing: \"wait\"\ntogether: true";
    assert_eq!(stage.propose(&text(3, wait), 20).1, 0);
    all_serve(&stage, 2);
    stage.load(3, ms(5));
    sleep(ms(300));
    // m0 holds a lease of the former life, and is not heard by the new one.
    stage.obey(&Order::Cut(vec![names(&["m0"]), names(&RELAYS)]));
    stage.obey(&Order::Kill("r0".into()));
    stage.obey(&Order::Start("r0".into(), Disk::Old));
    let (lines, code) = stage.propose(&text(4, wait), 20);
    assert_eq!(code, 0, "{lines:?} {:?}", told(&stage));
    assert!(stage.serve_under(3, &ALL[1..], PATIENCE), "{:?}", told(&stage));
    stage.obey(&Order::Heal);
    let judged = good(&mut stage, 3, &|version| version > 2);
    assert!(judged.admitted > 100, "{judged:?}");
}

#[test]
fn what_a_relay_can_not_keep_is_in_force_nowhere_and_the_reason_names_it() {
    let mut stage = stage();
    // In the place where the file of the next version is written first.
    let place = stage.folder().join("disk-r0").join("000000000002.new");
    std::fs::create_dir(&place).expect("a folder");
    let (lines, code) = stage.propose(&text(3, ""), 20);
    let error = lines[0]["error"].as_str().unwrap_or("").to_string();
    assert_eq!(code, 3, "{lines:?}");
    assert!(error.contains("r0: ") && error.contains("directory"), "{error}");
    stage.process("r0").signal("USR1");
    assert!(stage.logged("r0", "unkept 1", 1, PATIENCE), "{:?}", told(&stage));
    std::fs::remove_dir(&place).expect("a folder");
    let version = takes(&stage, 4);
    good(&mut stage, version, &|_| false);
}

/// The ports of loopback at which a process hears datagrams.
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
fn words_of_strangers_that_say_they_are_a_keeper_are_counted_and_not_followed() {
    let mut stage = stage();
    let (id, own) = (stage.process("r0").id().expect("it runs"), hears(&stage, "r0").port());
    let above: Vec<u16> = ports(id).into_iter().filter(|port| *port != own).collect();
    assert_eq!(above.len(), 1, "{above:?}");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port of loopback");
    let at = SocketAddr::from(([127, 0, 0, 1], above[0]));
    let nobody = Response::NotLeader { leader: 0 };
    let said =
        ControlMessage::RolloutResponse { from: cypresscleat_rollout::node_id("k0"), response: nobody };
    let stranger = socket.local_addr().expect("an address");
    let led = ControlMessage::ReplicaAddress { replica: 7, address: stranger };
    for word in [said, led] {
        let bytes = message::encode(&word).expect("a datagram");
        for _ in 0..20 {
            let _ = socket.send_to(&bytes, at);
        }
    }
    let version = takes(&stage, 3);
    good(&mut stage, version, &|_| false);
    stage.process("r0").signal("USR1");
    assert!(stage.logged("r0", "strangers 20,", 1, PATIENCE), "{:?}", told(&stage));
}

#[test]
fn a_flood_of_questions_and_of_what_is_no_word_delays_no_change_and_is_counted() {
    let mut stage = stage();
    stage.load(1, ms(10));
    let over = AtomicBool::new(false);
    let at = hears(&stage, "r0");
    // It ends where the change never does, too.
    let until = Instant::now() + 3 * PATIENCE;
    let version = std::thread::scope(|scope| {
        scope.spawn(|| {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a port of loopback");
            let ask = ControlMessage::RolloutRequest(Request::Status { number: 1, from: (0, 0) });
            let ask = message::encode(&ask).expect("a datagram");
            let mut bytes = [0xC5u8; 1400];
            for count in 0u32.. {
                if over.load(Ordering::SeqCst) || Instant::now() > until {
                    return;
                }
                bytes[1] = count as u8;
                let _ = socket.send_to(&bytes[..count as usize % bytes.len()], at);
                let _ = socket.send_to(&ask, at);
                if count.is_multiple_of(4) {
                    sleep(ms(1));
                }
            }
        });
        let version = takes(&stage, 3);
        let there = stage.all_have(version, COUNT, PATIENCE);
        over.store(true, Ordering::SeqCst);
        assert!(there, "{:?} {:?}", stage.policy(&["status"]), told(&stage));
        version
    });
    stage.process("r0").signal("USR1");
    assert!(stage.logged("r0", "in_force 2", 1, PATIENCE), "{:?}", told(&stage));
    assert!(lines(&stage, "r0", "datagrams that are no words of a change of policy") > 0);
    good(&mut stage, version, &|_| false);
    for name in KEEPERS.iter().chain(&RELAYS) {
        assert!(stage.process(name).runs(), "{name}");
    }
}

#[test]
fn faults_by_chance_on_both_sides_of_relays_mix_no_versions_past_the_bound_and_lose_nothing() {
    let mut stage = stage();
    stage.load(2, ms(15));
    let texts = |count: u64| match count % 4 {
        0 => text(3, "together: true"),
        1 => "lease: 1s\nwithin: 6s\npools: {limiter: \"fixed\", pools: {a: {operations: [\"nosuch\"]}}}\n"
            .to_string(),
        _ => text((2 + count % 5) as u32, ""),
    };
    let proposed = stage.faults(35, Duration::from_secs(12), &texts);
    let together = |version: u64| proposed.get(&version).is_some_and(|text| text.contains("together: true"));
    let version = takes(&stage, 7);
    let judged = good(&mut stage, version, &together);
    assert!(judged.taken >= 2, "{judged:?}");
}

fn check(text: &str) -> (i32, String) {
    let path = std::env::temp_dir().join(format!("cypresscleat-relays-{}.cue", std::process::id()));
    std::fs::write(&path, text).expect("to write the operator's file");
    let ran = std::process::Command::new(PROGRAM)
        .args(["check", "--show", "--operator", &path.display().to_string()])
        .output()
        .expect("to run the program");
    let _ = std::fs::remove_file(path);
    (ran.status.code().unwrap_or(-1), String::from_utf8_lossy(&ran.stdout).into_owned())
}

#[test]
fn the_operators_file_names_what_is_wrong_with_its_place() {
    let keepers = "keepers: {all: [{name: \"k0\", address: \"127.0.0.1:1\"}, {name: \"k1\", address: \"127.0.0.1:2\"}, \
                   {name: \"k2\", address: \"127.0.0.1:3\"}]}\n";
    let relay = "relay: {listen: \"127.0.0.1:9\", folder: \"/f\"}\n";
    let (code, shown) = check(&format!("{keepers}{relay}"));
    assert_eq!(code, 0, "{shown}");
    assert!(shown.contains("most: 2s"), "{shown}");
    let zone = "relays: [{name: \"r0\", address: \"127.0.0.1:4\"}, {name: \"r1\", address: \"127.0.0.1:5\"}]";
    // A member behind relays asks no keeper.
    assert_eq!(check(&format!("rollout: {{folder: \"/f\", {zone}}}\n")).0, 0);
    let many: Vec<String> =
        (0..9).map(|at| format!("{{name: \"r{at}\", address: \"127.0.0.1:{}\"}}", at + 10)).collect();
    for (text, place, what) in [
        (relay.to_string(), ":1:8", "relay: it needs keepers"),
        ("rollout: {folder: \"/f\"}\n".into(), ":1:10", "rollout: it needs keepers"),
        (format!("{keepers}relay: {{\n  folder: \"/f\"\n}}\n"), ":2:8", "listen"),
        (format!("{keepers}{}", relay.replace("\"/f\"", "\"/f\", most: 1ms")), ":2:52", "most"),
        (format!("{keepers}{}", relay.replace("\"/f\"", "\"/f\", moss: 1s")), ":2:46", "moss"),
        (
            format!("rollout: {{folder: \"/f\", {}}}\n", zone.replace("r1", "r0")),
            ":1:72",
            "rollout.relays: the name or the address is taken",
        ),
        // Guards against a member that asks a keeper as if it were a relay: it is answered, and counts as no zone's member.
        (
            format!("{keepers}rollout: {{folder: \"/f\", {}}}\n", zone.replace("127.0.0.1:5", "127.0.0.1:2")),
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
