//! Measures the cost of a request and of an open connection by program and protocol in one run: CPU time of the process per
//! request, memory per open connection, and the throughput of the SCGI codec.
//!
//!     cargo run --release -p cypresscleat-demo --bin measure -- [--rounds 5] [--many 20000] PROGRAM...
//!
//! Each program is measured with frames, and the last one also with SCGI. The rounds alternate between programs and protocols, so that
//! other load on the machine affects all of them alike. Prints the median, minimum and maximum of the rounds.

use clap::{value_parser, Arg, Command};
use cypresscleat_demo::{frame, request_frame, scgi_request, Deployment, Gateway, Kernel, Router};
use cypresscleat_scgi::{request::Reader, Bounds};
use serde_json::json;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const CONFIG: &str = include_str!("../config.json");
const OPERATOR: &str = r#"scgi: {
    listen: "127.0.0.1:0", connections: 300
    routes: [{path: "/lookup", operation: "lookup", customer: default: "acme", hint: default: 20500us}]
}"#;
const BODY: [u8; 200] = [b'x'; 200];
/// Number of connections that carry the load.
const LOAD_CONNECTIONS: usize = 4;
/// Number of connections held open to measure their memory.
const OPEN_CONNECTIONS: usize = 250;

/// User and system time of a process, in seconds.
fn cpu_seconds(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("the process statistics");
    let after = stat.rsplit(')').next().expect("fields after the name");
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks = |at: usize| fields[at].parse::<f64>().expect("ticks");
    (ticks(11) + ticks(12)) / 100.0
}

/// Resident memory of a process, in bytes.
fn resident_bytes(id: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("the process statistics");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("VmRSS");
    let kb = line.split_whitespace().nth(1).and_then(|word| word.parse::<f64>().ok());
    kb.expect("a number") * 1024.0
}

/// The protocol under test: frames, SCGI, or SCGI with a store of the given durability.
#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Frames,
    Scgi,
    Store(&'static str),
    /// Frames through a forwarder to one worker. CPU time and memory are those of the forwarder.
    Forward,
}

/// Starts the server that clients connect to, and its worker if the server is a forwarder.
fn start(program: &str, kind: Kind) -> (Deployment, Option<Deployment>) {
    let change = |all: &mut serde_json::Value| {
        all["settings"]["specifics"]["cores"] = json!(16);
        all["settings"]["specifics"]["memory_kb"] = json!(4e6);
    };
    if kind == Kind::Forward {
        let (worker, _) = start(program, Kind::Frames);
        let operator = format!(
            "tier: {{listen: \"127.0.0.1:0\", planners: [], workers: [{{name: \"w\", address: \"{}\", places: 64}}]}}",
            worker.server
        );
        let place = Deployment::start_as(Path::new(program), "forward", CONFIG, &operator, change);
        place.logged("takes work");
        return (place, Some(worker));
    }
    let operator = match kind {
        Kind::Frames | Kind::Forward => String::new(),
        Kind::Scgi => OPERATOR.to_string(),
        Kind::Store(durability) => {
            let folder = std::env::temp_dir().join(format!("cypresscleat-measure-{}", std::process::id()));
            let _ = std::fs::remove_dir_all(&folder);
            format!(
                "{OPERATOR}\nstore: {{folder: {:?}, durability: {durability:?}}}",
                folder.display().to_string()
            )
        }
    };
    let place = Deployment::start_with(Path::new(program), CONFIG, &operator, change);
    let listener = place.kernel.try_clone().expect("a listener");
    thread::spawn(move || {
        let (mut kernel, _) = Kernel::accept(&listener);
        kernel.boot("WARM");
        while let Some((msg, call, _)) = kernel.receive() {
            if msg == "SCHED" {
                kernel.send_notice("REAP", &call, "OK", &BODY);
            }
        }
    });
    place.logged("kernel up");
    (place, None)
}

/// CPU microseconds per request, requests per second, and the median and 99th percentile of the latency in microseconds.
fn measure_load(program: &str, kind: Kind, many: usize) -> [f64; 4] {
    let (place, _worker) = start(program, kind);
    let (server, gateway) = (place.server, place.scgi);
    let requests_per_client = many / LOAD_CONNECTIONS;
    let (before, began) = (cpu_seconds(place.id()), Instant::now());
    let clients: Vec<_> = (0..LOAD_CONNECTIONS)
        .map(|client| {
            thread::spawn(move || match gateway {
                Some(address) => {
                    let mut times = Vec::with_capacity(requests_per_client);
                    for _ in 0..requests_per_client {
                        let sent_at = Instant::now();
                        let response = Gateway::asks(address, "POST", "/lookup", &BODY).response();
                        assert_eq!(response.expect("a response").status, 200);
                        times.push(sent_at.elapsed().as_secs_f64() * 1e6);
                    }
                    times
                }
                None => {
                    let mut router = Router::connect(server);
                    let mut times = Vec::with_capacity(requests_per_client);
                    for stream in 1..=requests_per_client as u32 {
                        let sent_at = Instant::now();
                        let txn = format!("{:016x}", (client << 32) + stream as usize);
                        router.0.send(request_frame(stream, &txn, "lookup", &BODY));
                        assert_eq!(router.answer().1, "succeeded");
                        times.push(sent_at.elapsed().as_secs_f64() * 1e6);
                    }
                    times
                }
            })
        })
        .collect();
    let mut times: Vec<f64> =
        clients.into_iter().flat_map(|client| client.join().expect("the client thread to end")).collect();
    times.sort_by(f64::total_cmp);
    let (cpu_spent, elapsed_seconds) = (cpu_seconds(place.id()) - before, began.elapsed().as_secs_f64());
    let total_requests = (requests_per_client * LOAD_CONNECTIONS) as f64;
    let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize];
    [cpu_spent * 1e6 / total_requests, total_requests / elapsed_seconds, at(0.5), at(0.99)]
}

/// Bytes of memory per open connection: an idle connection after a health check for frames, an incomplete request for SCGI.
fn bytes_per_connection(program: &str, kind: Kind) -> f64 {
    let (place, _worker) = start(program, kind);
    let before = resident_bytes(place.id());
    let (mut routers, mut gateways) = (Vec::new(), Vec::new());
    for _ in 0..OPEN_CONNECTIONS {
        match place.scgi {
            Some(address) => {
                let mut gateway = Gateway::connect(address);
                gateway.0.send(&scgi_request("POST", "/lookup", &[], &BODY)[..60]);
                gateways.push(gateway);
            }
            None => {
                let mut router = Router::connect(place.server);
                router.0.send(frame(16, 1, &[0]));
                assert_eq!(router.frame().kind, 32);
                routers.push(router);
            }
        }
    }
    thread::sleep(Duration::from_millis(100));
    (resident_bytes(place.id()) - before) / OPEN_CONNECTIONS as f64
}

/// Megabytes of requests parsed per second, read in pieces of `piece` bytes.
fn codec_mb_per_s(piece: usize) -> f64 {
    let wire = scgi_request(
        "POST",
        "/lookup",
        &[("HTTP_USER_AGENT", "a cab's own browser"), ("HTTP_X_TEAM", "acme")],
        &[7; 1500],
    );
    let (began, mut bytes) = (Instant::now(), 0);
    while began.elapsed() < Duration::from_millis(300) {
        for _ in 0..100 {
            let mut reader = Reader::new(Bounds::default());
            let ends = (piece..wire.len()).step_by(piece).chain([wire.len()]);
            let read = ends.filter(|end| matches!(reader.read(&wire[..*end]), Ok(Some(_)))).count();
            assert_eq!(read, 1);
            bytes += wire.len();
        }
    }
    bytes as f64 / 1e6 / began.elapsed().as_secs_f64()
}

fn format_spread(mut all: Vec<f64>) -> String {
    all.sort_by(f64::total_cmp);
    format!("{:.1} ({:.1} to {:.1})", all[all.len() / 2], all[0], all[all.len() - 1])
}

fn main() {
    let matches = Command::new("measure")
        .arg(
            Arg::new("rounds")
                .long("rounds")
                .value_parser(value_parser!(u64).range(1..=100))
                .default_value("5"),
        )
        .arg(
            Arg::new("many")
                .long("many")
                .value_parser(value_parser!(u64).range(100..=1_000_000))
                .default_value("20000"),
        )
        .arg(Arg::new("program").num_args(1..).default_value("target/release/cypresscleat-server"))
        .get_matches();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default() as usize;
    let programs: Vec<&String> = matches.get_many("program").into_iter().flatten().collect();
    let mut kinds: Vec<(&str, Kind)> =
        programs.iter().map(|program| (program.as_str(), Kind::Frames)).collect();
    if let Some(last) = programs.last() {
        let more =
            [Kind::Scgi, Kind::Store("none"), Kind::Store("group"), Kind::Store("each"), Kind::Forward];
        kinds.extend(more.map(|kind| (last.as_str(), kind)));
    }
    let mut results: Vec<[Vec<f64>; 5]> = kinds.iter().map(|_| Default::default()).collect();
    for round in 0..number("rounds") {
        for ((program, kind), own) in kinds.iter().zip(&mut results) {
            // With a sync for each request or group the measurement is slower, so it sends a tenth of the requests.
            let many = number("many") / if matches!(kind, Kind::Store("group" | "each")) { 10 } else { 1 };
            let all = measure_load(program, *kind, many.max(LOAD_CONNECTIONS));
            own.iter_mut().zip(all).for_each(|(list, value)| list.push(value));
            own[4].push(bytes_per_connection(program, *kind));
        }
        eprintln!("round {} of {}", round + 1, number("rounds"));
    }
    println!("| program | protocol | CPU us per request | requests per second | latency us p50 | p99 | bytes per open connection |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for ((program, kind), all) in kinds.iter().zip(results) {
        let protocol = match kind {
            Kind::Frames => "frames".to_string(),
            Kind::Scgi => "SCGI".to_string(),
            Kind::Forward => "frames through a forwarder".to_string(),
            Kind::Store(durability) => format!("SCGI, store: {durability}"),
        };
        let cells: Vec<String> = all.map(format_spread).into_iter().collect();
        println!("| {program} | {protocol} | {} |", cells.join(" | "));
    }
    for (piece, pieces) in [(usize::MAX / 2, "whole"), (64, "64 bytes at a time"), (1, "a byte at a time")] {
        println!("codec, requests {pieces}: {:.0} MB/s", codec_mb_per_s(piece));
    }
}
