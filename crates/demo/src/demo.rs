//! A demo deployment: starts one app server between stand-ins, sends it a few requests, prints what each peer receives, and
//! stops it as an operator would.
//!
//!     cargo build --release && cargo run --release -p cypresscleat-demo --bin demo
//!
//! `demo PROGRAM CONFIG` runs another program or configuration. `demo --scgi 127.0.0.1:4000 --hold 60` accepts SCGI gateways at that
//! address for 60 seconds.
//!
//! `demo --tier --hold 20 [--kill planners]` starts two planners, two forwarders and three workers, and beside them three standalone
//! workers. Both deployments get the same steady load. The last line of output is JSON.
//!
//! `demo --owners --seconds 30 --seed 7 --journal FILE` starts control replicas, instances that own partitions of a tally, and the ledger
//! on which they act, with faults drawn from the seed. The last line of output is JSON.
//!
//! `demo --rollout` with the same flags runs app servers under load with a policy change every few seconds and faults on all links and
//! processes. With `--relays` five of the six app servers poll two relays in place of the control replicas.

use clap::{value_parser, Arg, Command};
use cypresscleat_demo::owners::{check_invariants, Setup, Stage};
use cypresscleat_demo::split::{self, places, Split, PLACES};
use cypresscleat_demo::tier::{self, TwoLevels, Worker};
use cypresscleat_demo::{frame, report, request_frame, rollout, Deployment, Kernel, Ledger, Link, Router};
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

const REQUESTS: u32 = 6;

fn main() -> ExitCode {
    let matches = Command::new("demo")
        .about("One app server between stand-ins for all of its peers, on loopback")
        .arg(Arg::new("program").default_value("target/release/cypresscleat-server"))
        .arg(Arg::new("config").default_value("crates/demo/config.json"))
        .arg(Arg::new("scgi").long("scgi").value_name("ADDRESS").value_parser(value_parser!(SocketAddr)))
        .arg(Arg::new("tier").long("tier").action(clap::ArgAction::SetTrue).conflicts_with("scgi"))
        .arg(Arg::new("kill").long("kill").value_parser(["planners"]).requires("tier"))
        .arg(
            Arg::new("hold")
                .long("hold")
                .value_name("SECONDS")
                .value_parser(value_parser!(u64).range(0..=3600))
                .default_value("10"),
        )
        .arg(
            Arg::new("rollout")
                .long("rollout")
                .action(clap::ArgAction::SetTrue)
                .conflicts_with_all(["scgi", "tier", "owners"]),
        )
        .arg(
            Arg::new("relays")
                .long("relays")
                .action(clap::ArgAction::SetTrue)
                .requires("rollout")
                .help("Two relays between the control replicas and five of the six app servers"),
        )
        .arg(
            Arg::new("owners")
                .long("owners")
                .action(clap::ArgAction::SetTrue)
                .conflicts_with_all(["scgi", "tier"]),
        )
        .arg(
            Arg::new("cut")
                .long("cut")
                .action(clap::ArgAction::SetTrue)
                .requires("tier")
                .conflicts_with("kill"),
        )
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_name("N")
                .value_parser(value_parser!(u64).range(1..=400))
                .default_value("150"),
        )
        .arg(number("seconds", "30"))
        .arg(number("seed", "1"))
        .arg(number("keepers", "3"))
        .arg(
            Arg::new("handovers")
                .long("handovers")
                .value_name("N")
                .value_parser(value_parser!(u64).range(1..=1000))
                .requires("owners"),
        )
        .arg(Arg::new("journal").long("journal").value_name("FILE"))
        .get_matches();
    let text_argument = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let (program, config) = (text_argument("program"), text_argument("config"));
    let text = std::fs::read_to_string(&config).unwrap_or_else(|error| panic!("{config}: {error}"));
    let hold_seconds = matches.get_one::<u64>("hold").copied().unwrap_or_default();
    if matches.get_flag("rollout") {
        let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
        let journal = matches.get_one::<String>("journal").map(Path::new);
        return run_rollout(
            Path::new(&program),
            &text,
            number("keepers"),
            number("seconds"),
            number("seed"),
            matches.get_flag("relays"),
            journal,
        );
    }
    if matches.get_flag("owners") {
        let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
        if let Some(handover_count) = matches.get_one::<u64>("handovers") {
            return measure_handovers(
                Path::new(&program),
                number("keepers") as usize,
                *handover_count as usize,
            );
        }
        let journal = matches.get_one::<String>("journal").map(Path::new);
        return owners(Path::new(&program), number("keepers"), number("seconds"), number("seed"), journal);
    }
    if matches.get_flag("cut") {
        let rate = matches.get_one::<u64>("rate").copied().unwrap_or(150);
        return cut(Path::new(&program), &text, hold_seconds.max(1), rate);
    }
    if matches.get_flag("tier") {
        return run_tier(Path::new(&program), &text, hold_seconds.max(1), matches.contains_id("kill"));
    }
    let scgi = matches.get_one::<SocketAddr>("scgi").copied();
    let operator = scgi.map_or(String::new(), operator);
    let mut place = Deployment::start_with(Path::new(&program), &text, &operator, |_| {});
    println!("the app server listens on {}", place.server);

    let kernel = place.kernel.try_clone().expect("a listener");
    thread::spawn(move || run_kernel(&kernel));
    let ledger = place.ledger.try_clone().expect("a listener");
    thread::spawn(move || loop {
        // The app server opens a connection for each pending call.
        let ledger = Ledger::accept(&ledger);
        thread::spawn(move || run_ledger(ledger));
    });
    let roster = place.roster.try_clone().expect("a listener");
    thread::spawn(move || {
        let mut link = Link::new(roster.accept().expect("to accept a report connection").0);
        while let Some((first, body)) = report(&mut link, "204 No Content") {
            println!("roster: {first} {body}");
        }
    });

    println!("{}", place.logged("kernel up"));
    if scgi.is_some() {
        println!("ready");
        thread::sleep(Duration::from_secs(hold_seconds));
        place.signal("TERM");
    } else {
        let mut router = Router::connect(place.server);
        router.0.send(frame(16, 1, &[0]));
        println!("router: health check response {}", router.frame().payload[0]);
        for stream in 1..=REQUESTS {
            let operation = if stream % 2 == 0 { "lookup" } else { "report" };
            router.0.send(request_frame(stream, &format!("{stream:016x}"), operation, b"tell me"));
        }
        for _ in 0..REQUESTS {
            let (stream, code, body) = router.answer();
            println!("router: stream {stream} {code} {:?}", String::from_utf8_lossy(&body));
        }
        place.signal("TERM");
        println!("{}", place.logged("draining"));
        router.0.close();
    }
    println!("{}", place.logged("stopped"));
    let status = place.exit();
    println!("the app server ended: {status}");
    if status.success() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn number(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("N").value_parser(value_parser!(u64)).default_value(default)
}

/// The lease of all policy versions in this demo. It bounds the time from the first activation of a version to the last admission under
/// an older version.
const MAX_MIXED_VERSIONS_MS: u64 = 1000;

/// A random policy document. One in four is rejected by all members; one in three has a barrier that stops all members first.
fn policy(count: u64) -> String {
    let draw = |at: u64| cypresscleat_fault_injection::chance(count, "policy", at);
    let request_class = if draw(0) < 0.25 { "nosuch" } else { "lookup" };
    format!(
        "lease: 1s\nwithin: 6s\ntogether: {}\npools: {{limiter: \"fixed\", pools: {{quick: {{operations: [\"{request_class}\"], \
         least: 0.{}, reserve: 0.1}}}}}}\n",
        draw(1) < 0.33,
        2 + (draw(2) * 7.0) as u64
    )
}

/// Runs app servers under load, with policy changes every few seconds and faults drawn from the seed.
fn run_rollout(
    program: &Path,
    config: &str,
    keepers: u64,
    seconds: u64,
    seed: u64,
    relays: bool,
    journal: Option<&Path>,
) -> ExitCode {
    let setup = rollout::Setup {
        program,
        config,
        keepers: keepers as usize,
        members: 6,
        more: &|_| String::new(),
        own: &|_, _| {},
        seed,
    };
    // With relays, one member still polls the control replicas; they count this member and the two relays.
    let (relays, count) = if relays { (2, 3) } else { (0, 6) };
    let behind = |at: usize| if at < 5 { (0..relays).collect() } else { Vec::new() };
    let mut stage = rollout::Stage::start_behind(&setup, relays, &behind);
    let all_have = |stage: &rollout::Stage, version: u64| {
        let within = Duration::from_secs(20);
        stage.all_have(version, count, within) && stage.serve_under(version, &[0, 1, 2, 3, 4, 5], within)
    };
    if !all_have(&stage, 0) {
        println!("the app servers did not start");
        return ExitCode::FAILURE;
    }
    // Before any faults: the bound is the lease of the replaced version, and the lease in each instance's own file is longer.
    if stage.propose("lease: 1s\nwithin: 6s\n", 20).1 != 0 || !all_have(&stage, 1) {
        println!("the app servers did not activate the first version");
        return ExitCode::FAILURE;
    }
    println!("ready");
    stage.load(2, Duration::from_millis(20));
    let texts = |count: u64| policy(seed.wrapping_mul(1_000_003) + count);
    let proposed = stage.faults(seed, Duration::from_secs(seconds.min(3600)), &texts);
    // After the faults: pending changes end, and one more change reaches all members.
    let (decision, mut code) = stage.propose("lease: 1s\n", 10);
    for _ in 0..5 {
        if code != 0 {
            thread::sleep(Duration::from_secs(1));
            code = stage.propose("lease: 1s\n", 10).1;
        }
    }
    let last = stage.policy(&["status"]).0.first().and_then(|one| one["in_force"].as_u64()).unwrap_or(0);
    let settled = code == 0 && all_have(&stage, last);
    let request_counts = stage.rests();
    let events = stage.journal();
    let has_barrier =
        |version: u64| proposed.get(&version).is_some_and(|text| text.contains("together: true"));
    let check_report = rollout::check_invariants(&events, MAX_MIXED_VERSIONS_MS as f64, &has_barrier);
    if let Some(path) = journal {
        let text: Vec<String> =
            std::iter::once(serde_json::json!({"bound_ms": MAX_MIXED_VERSIONS_MS}).to_string())
                .chain(events.iter().map(|line| line.to_string()))
                .collect();
        if let Err(error) = std::fs::write(path, text.join("\n") + "\n") {
            println!("the journal: {error}");
            return ExitCode::FAILURE;
        }
    }
    let ran_twice = rollout::ran_twice(&stage.ran);
    println!(
        "{}",
        serde_json::json!({
            "changes": check_report.taken + check_report.dropped,
            "taken": check_report.taken,
            "dropped": check_report.dropped,
            "asked": request_counts.asked,
            "answered": request_counts.answered,
            "admitted_under_wrong_version": check_report.wrong,
            "mixture_max_ms": check_report.mixture_ms,
            "admitted": check_report.admitted,
            "succeeded": request_counts.succeeded,
            "throttled": request_counts.throttled,
            "ran_twice": ran_twice,
            "faults": stage.faults.len(),
            "settled": settled,
        })
    );
    if !settled {
        eprintln!("{decision:?} {:?}", stage.policy(&["status"]));
    }
    match settled
        && check_report.wrong == 0
        && request_counts.asked == request_counts.answered
        && ran_twice == 0
    {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

fn owners(program: &Path, keepers: u64, seconds: u64, seed: u64, journal: Option<&Path>) -> ExitCode {
    let (lease, every) = (Duration::from_secs(1), Duration::from_millis(20));
    let keepers = keepers as usize;
    let mut stage =
        Stage::start(&Setup { program, keepers, instances: 4, parts: 3, lease, every, seed, drift: 12 });
    if !stage.progress(3, Duration::from_secs(20)) {
        println!("no instance started");
        return ExitCode::FAILURE;
    }
    println!("ready");
    stage.faults(seed, Duration::from_secs(seconds.min(3600)));
    let went_on = stage.progress(30, Duration::from_secs(20));
    let check_report = check_invariants(&stage.ledger.journal());
    if let Some(Err(error)) = journal.map(|path| stage.write(path)) {
        println!("the journal: {error}");
        return ExitCode::FAILURE;
    }
    println!(
        "{}",
        serde_json::json!({
            "acts": check_report.acts,
            "refused": check_report.refused,
            "done_twice": check_report.done_twice,
            "done_never": check_report.done_never,
            "longest_without_owner_ms": stage.longest_without_owner().as_millis() as u64,
            "faults": stage.faults.len(),
        })
    );
    if went_on && check_report.done_twice + check_report.done_never + check_report.fell == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Measures the time from the termination notice or the kill of an owner to the first effective operation of the next owner in the
/// ledger journal, and the peak memory of a control replica with 10,000 partitions. Uses real processes and a lease of 1 s.
fn measure_handovers(program: &Path, keepers: usize, handover_count: usize) -> ExitCode {
    let lease = Duration::from_secs(1);
    let every = Duration::from_millis(5);
    let setup = Setup { program, keepers, instances: 3, parts: 1, lease, every, seed: 1, drift: 0 };
    let mut summaries = Vec::new();
    for is_notified in [true, false] {
        let mut stage = Stage::start(&setup);
        let mut all = Vec::new();
        while all.len() < handover_count {
            if !stage.progress(5, Duration::from_secs(20)) {
                return ExitCode::FAILURE;
            }
            let Some(owner) = stage.ledger.journal().last().map(|act| act.by.clone()) else { continue };
            // Varies the delay so that handovers start at different points of the lease renewal.
            thread::sleep(Duration::from_millis(37 * (all.len() as u64 % 7)));
            let began = std::time::Instant::now();
            if is_notified {
                stage.process(&owner).end();
            } else {
                stage.process(&owner).kill();
            }
            let next = loop {
                let journal = stage.ledger.journal();
                if let Some(act) =
                    journal.iter().rev().find(|act| act.at > began && act.by != owner && act.taken)
                {
                    break act.at - began;
                }
                thread::sleep(Duration::from_millis(1));
            };
            all.push(next.as_secs_f64() * 1e3);
            stage.process(&owner).ended(Duration::from_secs(3));
            stage.process(&owner).start();
            thread::sleep(Duration::from_millis(150));
        }
        all.sort_by(f64::total_cmp);
        let at = |part: f64| all[((all.len() - 1) as f64 * part).round() as usize];
        let how = if is_notified { "told" } else { "killed" };
        summaries.push(serde_json::json!({"how": how, "of": handover_count, "p50_ms": at(0.5), "p99_ms": at(0.99), "most_ms": at(1.0)}));
    }
    let parts = Setup { parts: 10_000, every: Duration::from_secs(3600), ..setup };
    let mut stage = Stage::start(&parts);
    if !stage.progress(10_000, Duration::from_secs(120)) {
        return ExitCode::FAILURE;
    }
    let peak_memory_kb = |id: Option<u32>| {
        let status = std::fs::read_to_string(format!("/proc/{}/status", id.unwrap_or(0))).unwrap_or_default();
        let line =
            status.lines().find(|line| line.starts_with("VmHWM")).map(str::to_string).unwrap_or_default();
        line.split_whitespace().nth(1).and_then(|word| word.parse::<u64>().ok()).unwrap_or(0)
    };
    let keepers: Vec<u64> = stage.keepers.iter().map(|one| peak_memory_kb(one.id())).collect();
    let owners: Vec<u64> = stage.instances.iter().map(|one| peak_memory_kb(one.id())).collect();
    stage.heal();
    println!("{}", serde_json::json!({"handovers": summaries, "keeper_kb": keepers, "owner_kb": owners}));
    ExitCode::SUCCESS
}

/// Requests per second to each of the two deployments.
const REQUESTS_PER_SECOND: u64 = 40;

fn run_tier(program: &Path, config: &str, seconds: u64, kill: bool) -> ExitCode {
    let mut levels = TwoLevels::start(program, config, 2, 2, 3);
    let alone: Vec<Worker> =
        (0..3).map(|at| tier::worker(program, config, &format!("alone{at}"), None, "WARM")).collect();
    for forwarder in levels.forwarders.iter().flatten() {
        (0..3).for_each(|_| println!("{}", forwarder.logged("takes work")));
    }
    println!(
        "{}",
        levels.forwarders[0].as_ref().map_or(String::new(), |one| one.logged("planners are back"))
    );
    println!("ready");
    let (many, gap) =
        ((seconds * REQUESTS_PER_SECOND) as usize, Duration::from_micros(1_000_000 / REQUESTS_PER_SECOND));
    let (two, one) = (levels.addresses(), alone.iter().map(|worker| worker.place.server).collect::<Vec<_>>());
    let tiered = thread::spawn(move || tier::send_steadily(&two, "tier", many, gap));
    let standalone = thread::spawn(move || tier::send_steadily(&one, "alone", many, gap));
    if kill {
        thread::sleep(Duration::from_secs(seconds) / 2);
        levels.planners.iter_mut().for_each(|planner| *planner = None);
        println!("the planners were killed");
    }
    let (Ok(tiered), Ok(standalone)) = (tiered.join(), standalone.join()) else { return ExitCode::FAILURE };
    let answered =
        tiered.iter().filter(|got| ["succeeded", "throttled", "errored"].contains(&got.how)).count();
    let twice = tier::ran_twice(&levels.ran());
    println!(
        "{}",
        serde_json::json!({
            "asked": tiered.len(),
            "answered": answered,
            "served_value": tier::served_value(&tiered),
            "standalone_value": tier::served_value(&standalone),
            "ran_twice": twice,
        })
    );
    if answered == tiered.len() && twice == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Runs with a network partition between two planners throughout. Prints outcomes and granted slots without control replicas, with
/// control replicas, and for the same number of standalone workers. The three run in turn with the same arrivals, half to each side.
fn cut(program: &Path, config: &str, seconds: u64, rate: u64) -> ExitCode {
    let (many, gap) = ((seconds * rate) as usize, Duration::from_micros(1_000_000 / rate));
    let mut rows = Vec::new();
    let mut row = |name: &str, granted: Option<u32>, all: &[tier::Got], ran: &[String]| {
        let how = |how: &str| all.iter().filter(|got| got.how == how).count();
        let answered = how("succeeded") + how("throttled") + how("errored");
        rows.push(serde_json::json!({"how": name, "asked": all.len(), "answered": answered, "succeeded": how("succeeded"),
            "value": tier::served_value(all), "granted": granted, "places": PLACES, "ran_twice": tier::ran_twice(ran)}));
        answered == all.len()
    };
    let mut all_answered = true;
    for with_replicas in [false, true] {
        let split = Split::start(program, config, with_replicas);
        let sides = if with_replicas { 1 } else { 2 };
        let granted = split
            .forwarders
            .iter()
            .take(sides)
            .map(|side| places(&side.logged("by its grants: epoch")))
            .sum();
        let all =
            tier::send_steadily(&split.addresses(), if with_replicas { "kept" } else { "lead" }, many, gap);
        let ran: Vec<String> =
            split.workers.iter().flat_map(|worker| worker.ran.lock().expect("the list").clone()).collect();
        all_answered &=
            row(if with_replicas { "keepers" } else { "each by itself" }, Some(granted), &all, &ran);
    }
    let alone: Vec<Worker> = (0..split::WORKERS)
        .map(|at| tier::worker(program, config, &format!("alone{at}"), None, "WARM"))
        .collect();
    let to: Vec<SocketAddr> = alone.iter().map(|worker| worker.place.server).collect();
    let all = tier::send_steadily(&to, "alone", many, gap);
    let ran: Vec<String> =
        alone.iter().flat_map(|worker| worker.ran.lock().expect("the list").clone()).collect();
    all_answered &= row("workers alone", None, &all, &ran);
    println!("{}", serde_json::Value::from(rows));
    if all_answered {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn operator(listen: SocketAddr) -> String {
    format!(
        "scgi: {{
            listen: \"{listen}\"
            routes: [
                {{path: \"/report\", operation: \"report\"}},
                {{path: \"/lookup\", operation: \"lookup\"}},
            ]
        }}"
    )
}

fn run_ledger(mut ledger: Ledger) {
    while let Some((command, body)) = ledger.receive() {
        println!("ledger: {} {:?}", command.join(" "), String::from_utf8_lossy(&body));
        if command[0] == "post" {
            ledger.posted(&command[1], b"noted");
        }
    }
}

/// Runs each request for 20 ms; a `report` makes one downstream call first.
fn run_kernel(listener: &std::net::TcpListener) {
    let (mut kernel, _) = Kernel::accept(listener);
    kernel.boot("WARM");
    while let Some((msg, call, body)) = kernel.receive() {
        println!("kernel: {msg} {call} {:?}", String::from_utf8_lossy(&body));
        match msg.as_str() {
            "SCHED" if kernel.service == "report" => kernel.send_notice("IOREQ", &call, "", b"note this"),
            "SCHED" | "IODONE" => {
                thread::sleep(Duration::from_millis(20));
                kernel.send_notice("REAP", &call, "OK", b"here you are");
            }
            _ => {}
        }
    }
}
