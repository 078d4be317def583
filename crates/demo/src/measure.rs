//! What an invocation and an open connection cost, by program and protocol, in one run: CPU time of the process for
//! each invocation, memory for each connection held open, and the SCGI codec's speed.
//!
//!     cargo run --release -p cypresscleat-demo --bin measure -- [--rounds 5] [--many 20000] PROGRAM...
//!
//! Each program is measured in frames, and the last one in SCGI too, in rounds that take turns, so that what the machine
//! does meanwhile falls on all alike. Printed: the median of the rounds, the least and the most.

use clap::{value_parser, Arg, Command};
use cypresscleat_demo::{frame, invocation, scgi_request, Gateway, Kernel, Place, Router};
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
/// Connections that carry the load, and those held open for their memory.
const CALLERS: usize = 4;
const HELD: usize = 250;

/// User and system time of a process, in seconds.
fn cpu(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("its figures");
    let after = stat.rsplit(')').next().expect("figures");
    let words: Vec<&str> = after.split_whitespace().collect();
    let ticks = |at: usize| words[at].parse::<f64>().expect("ticks");
    (ticks(11) + ticks(12)) / 100.0
}

/// Resident memory of a process, in bytes.
fn memory(id: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("its figures");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("VmRSS");
    let kb = line.split_whitespace().nth(1).and_then(|word| word.parse::<f64>().ok());
    kb.expect("a number") * 1024.0
}

/// What is measured: frames, SCGI, or SCGI with a store of this durability behind it.
#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Frames,
    Scgi,
    Store(&'static str),
    /// Frames through a forwarder to one worker; the CPU is the forwarder's.
    Forward,
}

/// The place that callers ask, and where it is a forwarder the worker behind it.
fn start(program: &str, kind: Kind) -> (Place, Option<Place>) {
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
        let place = Place::start_as(Path::new(program), "forward", CONFIG, &operator, change);
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
    let place = Place::start_with(Path::new(program), CONFIG, &operator, change);
    let listener = place.kernel.try_clone().expect("a listener");
    thread::spawn(move || {
        let (mut kernel, _) = Kernel::accept(&listener);
        kernel.boot("WARM");
        while let Some((msg, call, _)) = kernel.hear() {
            if msg == "SCHED" {
                kernel.tell("REAP", &call, "OK", &BODY);
            }
        }
    });
    place.logged("kernel up");
    (place, None)
}

/// Microseconds of CPU for each invocation, invocations a second, and the median and 99th percentile of their latency.
fn load(program: &str, kind: Kind, many: usize) -> [f64; 4] {
    let (place, _worker) = start(program, kind);
    let (server, gateway) = (place.server, place.scgi);
    let each = many / CALLERS;
    let (before, began) = (cpu(place.id()), Instant::now());
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            thread::spawn(move || match gateway {
                Some(address) => {
                    let mut times = Vec::with_capacity(each);
                    for _ in 0..each {
                        let one = Instant::now();
                        let answer = Gateway::asks(address, "POST", "/lookup", &BODY).response();
                        assert_eq!(answer.expect("an answer").status, 200);
                        times.push(one.elapsed().as_secs_f64() * 1e6);
                    }
                    times
                }
                None => {
                    let mut router = Router::connect(server);
                    let mut times = Vec::with_capacity(each);
                    for stream in 1..=each as u32 {
                        let one = Instant::now();
                        let txn = format!("{:016x}", (caller << 32) + stream as usize);
                        router.0.send(invocation(stream, &txn, "lookup", &BODY));
                        assert_eq!(router.answer().1, "succeeded");
                        times.push(one.elapsed().as_secs_f64() * 1e6);
                    }
                    times
                }
            })
        })
        .collect();
    let mut times: Vec<f64> =
        callers.into_iter().flat_map(|caller| caller.join().expect("its end")).collect();
    times.sort_by(f64::total_cmp);
    let (spent, took) = (cpu(place.id()) - before, began.elapsed().as_secs_f64());
    let all = (each * CALLERS) as f64;
    let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize];
    [spent * 1e6 / all, all / took, at(0.5), at(0.99)]
}

/// Bytes of memory for each connection held open: one that spoke and idles in frames, one with half a request in SCGI.
fn held(program: &str, kind: Kind) -> f64 {
    let (place, _worker) = start(program, kind);
    let before = memory(place.id());
    let (mut routers, mut gateways) = (Vec::new(), Vec::new());
    for _ in 0..HELD {
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
    (memory(place.id()) - before) / HELD as f64
}

/// Megabytes of requests read in a second, in pieces of so many bytes.
fn codec(piece: usize) -> f64 {
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

fn spread(mut all: Vec<f64>) -> String {
    all.sort_by(f64::total_cmp);
    format!("{:.1} ({:.1} to {:.1})", all[all.len() / 2], all[0], all[all.len() - 1])
}

fn main() {
    let words = Command::new("measure")
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
    let number = |name: &str| words.get_one::<u64>(name).copied().unwrap_or_default() as usize;
    let programs: Vec<&String> = words.get_many("program").into_iter().flatten().collect();
    let mut kinds: Vec<(&str, Kind)> =
        programs.iter().map(|program| (program.as_str(), Kind::Frames)).collect();
    if let Some(last) = programs.last() {
        let more =
            [Kind::Scgi, Kind::Store("none"), Kind::Store("group"), Kind::Store("each"), Kind::Forward];
        kinds.extend(more.map(|kind| (last.as_str(), kind)));
    }
    let mut figures: Vec<[Vec<f64>; 5]> = kinds.iter().map(|_| Default::default()).collect();
    for round in 0..number("rounds") {
        for ((program, kind), own) in kinds.iter().zip(&mut figures) {
            // A sync each takes its time: fewer do.
            let many = number("many") / if matches!(kind, Kind::Store("group" | "each")) { 10 } else { 1 };
            let all = load(program, *kind, many.max(CALLERS));
            own.iter_mut().zip(all).for_each(|(list, value)| list.push(value));
            own[4].push(held(program, *kind));
        }
        eprintln!("round {} of {}", round + 1, number("rounds"));
    }
    println!("| program | protocol | CPU us an invocation | invocations a second | latency us p50 | p99 | bytes a connection held |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for ((program, kind), all) in kinds.iter().zip(figures) {
        let protocol = match kind {
            Kind::Frames => "frames".to_string(),
            Kind::Scgi => "SCGI".to_string(),
            Kind::Forward => "frames through a forwarder".to_string(),
            Kind::Store(durability) => format!("SCGI, store: {durability}"),
        };
        let cells: Vec<String> = all.map(spread).into_iter().collect();
        println!("| {program} | {protocol} | {} |", cells.join(" | "));
    }
    for (piece, words) in [(usize::MAX / 2, "whole"), (64, "64 bytes at a time"), (1, "a byte at a time")] {
        println!("codec, requests {words}: {:.0} MB/s", codec(piece));
    }
}
