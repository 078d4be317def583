//! The interface of operators and their scripts: subcommands, flags, exit codes, keys of the operator's file with their defaults,
//! counters and JSON fields, as recorded. A new name is added as an alias; the old name stays valid.

use cypresscleat_demo::{owners, rollout, Deployment};
use cypresscleat_fault_injection::{free_port, Order, Process};
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");
const LEASE: Duration = Duration::from_secs(1);
/// Maximum time to wait for an expected event.
const TIMEOUT: Duration = Duration::from_secs(25);

const SUCCESS: i32 = 0;
const BAD_INPUT: i32 = 2;
const ABORTED: i32 = 3;
const NO_QUORUM: i32 = 4;

/// Runs the program to its end, without the platform's configuration.
fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(PROGRAM);
    command.args(arguments).env_remove("EDGE_CONFIG").env_remove("EDGE_NAME").env("USER", "operator");
    command.output().expect("to run the program")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn recorded(name: &str) -> String {
    format!("{}/tests/operator_interface/{name}", env!("CARGO_MANIFEST_DIR"))
}

/// A temporary folder of one test, removed on drop.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new() -> TempFolder {
        let name = format!("cypresscleat-interface-{}-{}", std::process::id(), free_port().port());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a directory");
        TempFolder(folder)
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("to write a file");
        path.display().to_string()
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The key `keepers` with addresses at which no process listens.
fn three_control_replicas() -> String {
    let all: Vec<String> =
        (0..3).map(|at| format!("{{name: \"k{at}\", address: \"{}\"}}", free_port())).collect();
    format!("keepers: {{lease: 1s, all: [{}]}}\n", all.join(", "))
}

// ---- subcommands and flags ----

/// The flags of a subcommand as its help shows them: names, values and defaults, without descriptions.
fn flags(help: &str) -> Vec<String> {
    let is_listed = |line: &&str| line.trim_start().starts_with('-') || line.trim_start().starts_with('<');
    let describe = |line: &str| {
        let (names, rest) = line.trim().split_once("  ").unwrap_or((line.trim(), ""));
        let annotations = ["[env: ", "[default: ", "[possible values: "].map(|prefix| {
            let from = rest.find(prefix)?;
            let to = rest[from..].find(']')? + from + 1;
            // The value of the variable depends on the environment of the test run.
            let shown = &rest[from..to];
            Some(shown.split_once('=').map_or(shown.to_string(), |(name, _)| format!("{name}]")))
        });
        [Some(names.to_string())].into_iter().chain(annotations).flatten().collect::<Vec<_>>().join(" ")
    };
    help.lines().filter(is_listed).map(describe).collect()
}

const OPERATOR: &str = "--operator <FILE>";
const NAME: &str = "--name <NAME> [env: EDGE_NAME] [default: \"\"]";
const HELP: &str = "-h, --help";

#[test]
fn subcommands_take_the_recorded_flags() {
    let named: &[&str] = &[OPERATOR, NAME, HELP];
    let rows: [(&str, &[&str]); 16] = [
        ("", &[OPERATOR, HELP, "-V, --version"]),
        ("serve", &[OPERATOR, HELP]),
        ("forward", &[OPERATOR, HELP]),
        ("plan", &[OPERATOR, HELP]),
        ("keep", named),
        ("relay", named),
        ("tally", named),
        ("settle", named),
        ("sums", named),
        ("control", named),
        ("counter-demo", named),
        ("reconcile", named),
        ("usage-report", named),
        (
            "owners",
            &[
                OPERATOR,
                NAME,
                "--json",
                "--release <DUTY>",
                "--bar <DUTY>",
                "--unbar <DUTY>",
                "--instance <NAME>",
                HELP,
            ],
        ),
        (
            "policy",
            &[
                "<what> [possible values: check, propose, status, history, show, undo, forget]",
                OPERATOR,
                "--text <FILE>",
                "--why <WORDS> [default: \"\"]",
                "--by <NAME> [env: USER] [default: operator]",
                "--version <N>",
                "--from <N>",
                "--instance <NAME>",
                "--relay <ADDRESS>",
                "--wait <SECONDS> [default: 60]",
                "--json",
                HELP,
            ],
        ),
        ("check", &[OPERATOR, "--show", HELP]),
    ];
    for (subcommand, expected) in rows {
        let arguments: Vec<&str> =
            [subcommand, "--help"].into_iter().filter(|argument| !argument.is_empty()).collect();
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(SUCCESS), "{subcommand}");
        assert_eq!(flags(&stdout(&output)), expected, "{subcommand}");
    }
}

/// Subcommands, each with the name of earlier versions that still works.
const RENAMED: [(&str, &str); 4] =
    [("control", "keep"), ("counter-demo", "tally"), ("reconcile", "settle"), ("usage-report", "sums")];

#[test]
fn help_lists_every_subcommand_and_its_earlier_name() {
    let help = stdout(&run(&["--help"]));
    let names = ["serve", "forward", "plan", "relay", "owners", "policy", "check", "help"];
    for name in names.into_iter().chain(RENAMED.map(|(name, _)| name)) {
        assert!(help.lines().any(|line| line.starts_with(&format!("  {name} "))), "{name}\n{help}");
    }
    for (name, earlier) in RENAMED {
        let line = help.lines().find(|line| line.starts_with(&format!("  {name} "))).unwrap_or_default();
        assert!(line.ends_with(&format!("[alias: {earlier}]")), "{line}");
    }
}

// ---- exit codes ----

#[test]
fn exit_codes_are_as_recorded() {
    let folder = TempFolder::new();
    let empty = &folder.file("empty.cue", "");
    let faulty = &folder.file("faulty.cue", "pools: {limiter: \"gradeint\", pools: {}}\n");
    let missing = &folder.0.join("missing.cue").display().to_string();
    let (good, policy) = (&recorded("required_keys.cue"), &recorded("policy.cue"));
    // Arguments, exit code, and text that stdout and stderr contain.
    let rows: &[(&[&str], i32, &str, &str)] = &[
        (&["--help"], SUCCESS, "Usage: cypresscleat-server", ""),
        (&["--version"], SUCCESS, "cypresscleat-server ", ""),
        (&["nonsense"], BAD_INPUT, "", "unrecognized subcommand 'nonsense'"),
        (&[], BAD_INPUT, "", "cypresscleat: EDGE_CONFIG is not set"),
        (&["serve", "--operator", good], BAD_INPUT, "", "cypresscleat: EDGE_CONFIG is not set"),
        (&["check"], BAD_INPUT, "", "--operator <FILE>"),
        (&["check", "--operator", good], SUCCESS, ": good; without EDGE_CONFIG names are not checked", ""),
        (&["check", "--operator", faulty], BAD_INPUT, "gradeint", ""),
        (&["check", "--operator", missing], BAD_INPUT, "No such file", ""),
        (&["owners", "--operator", empty], BAD_INPUT, "", ": no keepers"),
        (&["owners", "--operator", good], NO_QUORUM, "no quorum of keepers answers", ""),
        (
            &["owners", "--operator", good, "--release", "tally"],
            NO_QUORUM,
            "no quorum of keepers answers",
            "",
        ),
        (&["owners", "--operator", good, "--bar", "tally"], BAD_INPUT, "", "--instance <NAME>"),
        (
            &["owners", "--operator", good, "--release", "a", "--unbar", "b", "--instance", "c"],
            BAD_INPUT,
            "",
            "cannot be used with",
        ),
        (&["keep", "--operator", good], BAD_INPUT, "", "no name: --name or EDGE_NAME"),
        (&["control", "--operator", good], BAD_INPUT, "", "no name: --name or EDGE_NAME"),
        (&["control", "--operator", empty, "--name", "k0"], BAD_INPUT, "", ": no keepers"),
        (&["keep", "--operator", empty, "--name", "k0"], BAD_INPUT, "", ": no keepers"),
        (&["relay", "--operator", empty, "--name", "r0"], BAD_INPUT, "", ": no relay"),
        (&["policy", "check", "--operator", empty, "--text", policy], SUCCESS, "good, 7a94c4ca36152597", ""),
        (&["policy", "check", "--operator", empty, "--text", faulty], BAD_INPUT, "", "gradeint"),
        (&["policy", "check", "--operator", empty], BAD_INPUT, "", "--text names the file of the policy"),
        (&["policy", "status", "--operator", empty], BAD_INPUT, "", "no keepers in the operator's file"),
        (&["policy", "status", "--operator", good], NO_QUORUM, "", "no quorum of keepers answers"),
        (
            &["policy", "status", "--operator", good, "--json"],
            NO_QUORUM,
            r#"{"code":4,"error":"no quorum of keepers answers","version":null}"#,
            "",
        ),
        (
            &["policy", "status", "--operator", empty, "--relay", "127.0.0.1:9"],
            NO_QUORUM,
            "",
            "no relay answers at 127.0.0.1:9",
        ),
        (
            &["policy", "show", "--operator", empty, "--relay", "127.0.0.1:9"],
            BAD_INPUT,
            "",
            "--relay goes with status only",
        ),
        (&["policy", "forget", "--operator", good], BAD_INPUT, "", "--instance is required"),
        (&["policy", "adopt", "--operator", good], BAD_INPUT, "", "invalid value 'adopt'"),
    ];
    for (arguments, code, expected_stdout, expected_stderr) in rows {
        let output = run(arguments);
        assert_eq!(
            output.status.code(),
            Some(*code),
            "{arguments:?}: {}{}",
            stdout(&output),
            stderr(&output)
        );
        assert!(stdout(&output).contains(expected_stdout), "{arguments:?}: {}", stdout(&output));
        assert!(stderr(&output).contains(expected_stderr), "{arguments:?}: {}", stderr(&output));
    }
}

/// Roles beside the app server that work on a task, with the key of the operator's file that each requires.
const TASK_ROLES: [(&str, &str); 6] = [
    ("tally", "tally"),
    ("settle", "settle"),
    ("sums", "sums"),
    ("counter-demo", "tally"),
    ("reconcile", "settle"),
    ("usage-report", "sums"),
];

#[test]
fn task_roles_do_not_start_without_their_key_or_a_name() {
    let folder = TempFolder::new();
    let keepers = folder.file("keepers.cue", &three_control_replicas());
    for (role, key) in TASK_ROLES {
        let output = run(&[role, "--operator", &keepers, "--name", "n0"]);
        assert_eq!(output.status.code(), Some(BAD_INPUT), "{role}");
        assert!(stderr(&output).contains(&format!(": no {key}")), "{role}: {}", stderr(&output));
        let output = run(&[role, "--operator", &recorded("required_keys.cue")]);
        assert_eq!(output.status.code(), Some(BAD_INPUT), "{role}");
        assert!(stderr(&output).contains("no name: --name or EDGE_NAME"), "{role}: {}", stderr(&output));
    }
}

/// Waits until the control replicas report that an instance owns a partition, or that none does; returns the task and the owner.
fn wait_for_owner(stage: &owners::Stage, is_owned: bool) -> (String, String) {
    let until = Instant::now() + TIMEOUT;
    loop {
        let (lines, _) = stage.owners();
        let line = lines.iter().find(|line| line["owner"].is_null() != is_owned).filter(|_| is_owned);
        if let Some(line) = line {
            return (line["duty"].to_string(), line["owner"].to_string());
        }
        if !is_owned && lines.iter().all(|line| line["owner"].is_null()) {
            return Default::default();
        }
        assert!(Instant::now() < until, "{lines:?}\n{}", stage.logs());
        thread::sleep(Duration::from_millis(20));
    }
}

/// Under either name a role owns the same task under the same identity, and ends with the same exit code.
#[test]
fn a_role_works_the_same_under_its_earlier_name() {
    let (program, every) = (Path::new(PROGRAM), Duration::from_millis(20));
    let setup =
        owners::Setup { program, keepers: 3, instances: 0, parts: 1, lease: LEASE, every, seed: 1, drift: 0 };
    let stage = owners::Stage::start(&setup);
    let ledger = stage.ledger.address;
    for ((name, earlier), key) in RENAMED[1..].iter().zip(["tally", "settle", "sums"]) {
        let folders = if key == "tally" { "" } else { ", folders: [\"/nonexistent\"]" };
        let section = format!("{key}: {{ledger: \"{ledger}\"{folders}}}");
        let owned = [name, earlier].map(|role| {
            let mut process = stage.also(role, "n0", &section);
            process.start();
            let owned = wait_for_owner(&stage, true);
            process.end();
            assert!(process.ended(TIMEOUT).is_some_and(|status| status.success()), "{role}");
            wait_for_owner(&stage, false);
            owned
        });
        assert_eq!(owned[0], owned[1], "{name}");
    }
}

#[test]
fn a_control_replica_listens_under_its_earlier_name() {
    let folder = TempFolder::new();
    for role in [RENAMED[0].0, RENAMED[0].1] {
        let disk = folder.0.join(format!("disk-{role}"));
        let keepers = three_control_replicas().replace("lease: 1s", &format!("lease: 1s, folder: {disk:?}"));
        let path = folder.file(&format!("{role}.cue"), &keepers);
        let mut replica =
            Process::new("k0", Path::new(PROGRAM), &[role, "--operator", &path, "--name", "k0"]);
        replica.start();
        assert!(replica.logged("keeper k0 listens on ", 0, TIMEOUT).is_some(), "{role}: {:?}", replica.log());
        replica.end();
        assert!(replica.ended(TIMEOUT).is_some_and(|status| status.success()), "{role}");
        assert!(replica.logged("keeper k0 stopped", 0, TIMEOUT).is_some(), "{role}");
    }
}

// ---- the operator's file ----

#[test]
fn operator_keys_and_defaults_are_as_recorded() {
    for name in ["required_keys", "every_key"] {
        let output = run(&["check", "--show", "--operator", &recorded(&format!("{name}.cue"))]);
        assert_eq!(output.status.code(), Some(SUCCESS), "{}", stdout(&output));
        let shown = std::fs::read_to_string(recorded(&format!("{name}.shown"))).expect("the recording");
        assert_eq!(stdout(&output), shown, "{name}");
    }
}

// ---- counters ----

fn counter_names(line: &str) -> Vec<&str> {
    line.split(", ").filter_map(|pair| pair.split(' ').next()).collect()
}

#[test]
fn app_server_prints_its_counters_in_the_recorded_order() {
    let (mut place, _kernel) = Deployment::up(Path::new(PROGRAM), CONFIG, |all| all["stop_ms"] = 500.into());
    place.signal("USR1");
    let line = place.logged("connections ");
    let expected = [
        "connections",
        "accept_errors",
        "idle_closed",
        "stuck_closed",
        "silent_closed",
        "turned_away",
        "checks",
        "invocations",
        "open_most",
        "policy_held",
        "policy_refused",
        "tokens_refused",
        "resent",
        "malformed",
        "caller_left",
        "succeeded",
        "throttled",
        "errored",
        "late_answers",
        "runs",
        "stops",
        "runs_succeeded",
        "runs_errored",
        "runs_stopped",
        "kernel_links",
        "kernel_resent",
        "kernel_rejected",
        "calls",
        "calls_succeeded",
        "calls_throttled",
        "calls_errored",
        "calls_expired",
        "calls_lost",
        "calls_abandoned",
        "tried_again",
        "rows",
        "recorded",
        "unrecorded",
        "repeated",
        "reports",
        "reports_lost",
        "reloads",
        "clock_late_ms",
    ];
    assert_eq!(counter_names(line.trim_start_matches("cypresscleat: ")), expected);
    place.signal("TERM");
    let last = place.logged("stopped: connections ");
    let last = last.trim_start_matches("cypresscleat: ").trim_start_matches("stopped: ");
    assert_eq!(counter_names(last), expected);
    assert!(place.exit().success());
}

#[test]
fn relay_prints_its_counters_in_the_recorded_order() {
    let folder = TempFolder::new();
    let (listen, disk) = (free_port(), folder.0.join("disk"));
    let settings = format!("{}relay: {{listen: \"{listen}\", folder: {disk:?}}}\n", three_control_replicas());
    let path = folder.file("relay.cue", &settings);
    let mut relay = Process::new("r0", Path::new(PROGRAM), &["relay", "--operator", &path, "--name", "r0"]);
    relay.start();
    assert!(relay.logged("relay r0 hears members at ", 0, TIMEOUT).is_some());
    relay.signal("USR1");
    let at = relay.logged("asks ", 0, TIMEOUT).expect("the counters");
    let line = relay.log()[at - 1].1.clone();
    let expected = [
        "asks",
        "told",
        "texts",
        "up",
        "heard",
        "strangers",
        "garbled",
        "unsent",
        "kept",
        "unkept",
        "members",
        "in_force",
    ];
    assert_eq!(counter_names(line.trim_start_matches("cypresscleat: ")), expected);
}

// ---- JSON ----

fn fields(value: &Value) -> Vec<&str> {
    let mut fields: Vec<&str> = value.as_object().expect("an object").keys().map(String::as_str).collect();
    fields.sort_unstable();
    fields
}

const OPERATION_FIELDS: [&str; 7] = ["at_ns", "by", "duty", "item", "resource", "taken", "token"];
const OWNERSHIP_FIELDS: [&str; 5] = ["at_ns", "duty", "event", "owner", "token"];

#[test]
fn owners_and_the_journal_of_the_demo_have_the_recorded_fields() {
    let (program, every) = (Path::new(PROGRAM), Duration::from_millis(20));
    let setup =
        owners::Setup { program, keepers: 3, instances: 1, parts: 1, lease: LEASE, every, seed: 1, drift: 0 };
    let mut stage = owners::Stage::start(&setup);
    assert!(stage.progress(3, TIMEOUT), "no instance started\n{}", stage.logs());
    stage.apply_order(&Order::Keep("k0".into()));
    let (lines, code) = stage.owners();
    assert_eq!((lines.len(), code), (1, SUCCESS));
    let expected = ["cursor", "duty", "last_done_ms_ago", "lease_left_ms", "owner", "part", "token"];
    assert_eq!(fields(&lines[0]), expected);
    let path = stage.folder().join("journal.json");
    stage.write(&path).expect("to write the journal");
    let journal = std::fs::read_to_string(&path).expect("the journal");
    let lines: Vec<Value> = journal.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect();
    let (mut operations, mut ownership, mut faults) = (0, 0, 0);
    for line in &lines {
        let fields = fields(line);
        operations += usize::from(fields == OPERATION_FIELDS);
        ownership += usize::from(fields == OWNERSHIP_FIELDS);
        faults += usize::from(fields == ["at_ns", "fault"]);
    }
    assert!(operations > 0 && ownership > 0 && faults == 1, "{operations} {ownership} {faults}\n{journal}");
    assert_eq!(operations + ownership + faults, lines.len(), "{journal}");
}

#[test]
fn policy_and_the_test_journal_have_the_recorded_fields() {
    let (program, more, own) = (Path::new(PROGRAM), |_| String::new(), |_, _: &mut Value| {});
    let setup =
        rollout::Setup { program, config: CONFIG, keepers: 3, members: 1, more: &more, own: &own, seed: 1 };
    let mut stage = rollout::Stage::start(&setup);
    assert!(stage.all_have(0, 1, TIMEOUT), "the member never started");
    let (lines, code) = stage.propose("lease: 1s\n", 20);
    assert_eq!((fields(&lines[0]), code), (vec!["taken", "version"], SUCCESS));
    assert!(stage.all_have(1, 1, TIMEOUT) && stage.serve_under(1, &[0], TIMEOUT));

    let (lines, code) = stage.policy(&["status"]);
    assert_eq!((fields(&lines[0]), code), (vec!["change", "in_force", "members"], SUCCESS));
    let member = ["member", "silent_ms", "stopped", "verdict", "version"];
    assert_eq!(fields(&lines[0]["members"][0]), member);

    let version = ["at_ms", "by", "from", "hash", "undoes", "version", "why"];
    let (lines, code) = stage.policy(&["history"]);
    assert_eq!((fields(&lines[0]), code), (vec!["in_force", "of", "taken"], SUCCESS));
    assert_eq!(fields(&lines[0]["of"]), version);
    let (lines, code) = stage.policy(&["show"]);
    let shown = ["at_ms", "by", "from", "hash", "text", "undoes", "version", "why"];
    assert_eq!((fields(&lines[0]), code), (shown.to_vec(), SUCCESS));

    let document_path = recorded("policy.cue");
    let (lines, code) = stage.policy(&["propose", "--text", &document_path, "--from", "0"]);
    assert_eq!((fields(&lines[0]), code), (vec!["code", "error", "version"], ABORTED));

    stage.load(1, Duration::from_millis(20));
    let admitted = ["at_ns", "event", "invocation", "member", "version"];
    let until = Instant::now() + TIMEOUT;
    while !stage.journal().iter().any(|line| fields(line) == admitted) {
        assert!(Instant::now() < until, "no request was admitted");
        thread::sleep(Duration::from_millis(20));
    }
    let by_replicas = ["at_ns", "event", "version"];
    let by_members = ["at_ns", "event", "member", "version"];
    for line in stage.journal() {
        let fields = fields(&line);
        assert!(fields == admitted || fields == by_replicas || fields == by_members, "{line}");
    }
    stage.rests();
}
