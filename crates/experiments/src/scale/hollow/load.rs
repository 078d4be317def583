//! Real processes with clients: the latency that a forwarder adds to a request under open-loop load, and the cost of idle clients and of
//! control for an app server. Each worker has an executor that responds at once.

use super::rig::{Limits, Program, Quorum, Spent};
use super::{guarded, report_failure, CONFIG};
use crate::scale::row::{Measurement, MeasurementKind};
use cypresscleat_demo::{request, unix_ms, Deployment, Kernel, Router};
use hdrhistogram::Histogram;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Requests a second. These are the sizes of this part; the sizes of the options count members.
pub const RATES: [u64; 4] = [500, 1_000, 2_000, 4_000];
const SPAN: Duration = Duration::from_secs(4);
/// Maximum wait for responses after the last request.
const LAST: Duration = Duration::from_secs(2);
const REST: Duration = Duration::from_secs(5);
/// Connections that carry the load.
const CALLERS: usize = 8;
const BODY: [u8; 200] = [b'x'; 200];
/// Maximum recorded time, in microseconds.
const MICROS: u64 = 60_000_000;
/// Estimated bytes of memory for a client's connection, both ends.
const EACH: u64 = 64 * 1024;

/// Starts a worker with an executor that responds at once.
fn worker(program: &Program, name: &str, operator: &str, sockets: u64) -> Deployment {
    let place = Deployment::start_with(&program.path, CONFIG, operator, |all| {
        all["name"] = json!(name);
        all["limits"]["sockets"] = json!(sockets);
        all["settings"]["customers"] = json!([]);
        all["settings"]["specifics"]["cores"] = json!(16);
        all["settings"]["specifics"]["memory_kb"] = json!(4e6);
        all["settings"]["specifics"]["class_calls"] = json!([false, false]);
    });
    let listener = place.kernel.try_clone().expect("a listener");
    spawn(move || {
        let Some(mut kernel) = Kernel::try_accept(&listener, "WARM") else { return };
        while let Some((msg, call, _)) = kernel.receive() {
            if msg == "SCHED" && !kernel.try_send_notice("REAP", &call, "OK", &BODY) {
                return;
            }
        }
    });
    place.logged("kernel up");
    place
}

/// A request with little expected work, so that none is rejected for its expected work.
fn request_frame(stream: u32, txn: &str) -> Vec<u8> {
    let door = unix_ms().to_string();
    let fields = [
        ("verb", "lookup"),
        ("txn", txn),
        ("door", &door),
        ("lb", "1"),
        ("team", "acme"),
        ("cpu", "0.5"),
        ("ram", "0.1"),
        ("standing", "0.5"),
    ];
    request(stream, &fields, &BODY)
}

/// Results of the load generator.
struct Found {
    /// Latency in microseconds of successful requests, from the time at which each was due.
    took: Histogram<u64>,
    /// How late each request was sent.
    late: Histogram<u64>,
    sent: u64,
    succeeded: u64,
    turned_away: u64,
    /// Connections that the server closed; each was replaced.
    closed: u64,
}

/// Reads response frames until the connection ends.
fn reads(
    mut stream: TcpStream,
    due: impl Fn(u32) -> Instant,
    took: &Mutex<Histogram<u64>>,
    ended: &[AtomicU64; 2],
) {
    let (mut bytes, mut part) = (Vec::new(), vec![0; 64 * 1024]);
    while let Ok(many @ 1..) = stream.read(&mut part) {
        let now = Instant::now();
        bytes.extend(&part[..many]);
        let mut at = 0;
        while let Some(head) = bytes.get(at..at + 10) {
            let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize + 4;
            if bytes.len() < at + length {
                break;
            }
            if head[4] == 4 {
                let number = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
                let good = head[9] == b'O';
                ended[usize::from(!good)].fetch_add(1, Ordering::Relaxed);
                if good {
                    let micros = now.saturating_duration_since(due(number)).as_micros() as u64;
                    took.lock().expect("the times").saturating_record(micros);
                }
            }
            at += length;
        }
        bytes.drain(..at);
    }
}

/// Sends `rate` requests a second at fixed times, independent of earlier responses.
fn load(to: SocketAddr, rate: u64, span: Duration, name: u64) -> Result<Found, String> {
    let wrong = |error: std::io::Error| error.to_string();
    let new = || Histogram::new_with_max(MICROS, 3).map_err(|error| error.to_string());
    let took = Arc::new(Mutex::new(new()?));
    let ended: Arc<[AtomicU64; 2]> = Arc::default();
    let gap = Duration::from_secs(1) / rate as u32;
    let many = (span.as_secs_f64() * rate as f64) as u32;
    let began = Instant::now() + Duration::from_millis(50);
    // Stream numbers are unique over all connections, so that each identifies its due time.
    let due = move |stream: u32| began + gap * stream;
    let mut readers = Vec::new();
    let mut connect = || {
        let stream = TcpStream::connect(to).map_err(wrong)?;
        stream.set_nodelay(true).map_err(wrong)?;
        let (back, took, ended) = (stream.try_clone().map_err(wrong)?, took.clone(), ended.clone());
        readers.push(spawn(move || reads(back, due, &took, &ended)));
        Ok::<TcpStream, String>(stream)
    };
    let mut wires = (0..CALLERS).map(|_| connect()).collect::<Result<Vec<_>, _>>()?;
    let mut closed = 0;
    let mut late = new()?;
    for stream in 1..=many {
        sleep(due(stream).saturating_duration_since(Instant::now()));
        let txn = format!("{name:08x}{stream:08x}");
        let bytes = request_frame(stream, &txn);
        late.saturating_record(due(stream).elapsed().as_micros() as u64);
        let wire = &mut wires[stream as usize % CALLERS];
        if wire.write_all(&bytes).is_err() {
            closed += 1;
            *wire = connect()?;
            wire.write_all(&bytes).map_err(wrong)?;
        }
    }
    let count = |at: usize| ended[at].load(Ordering::Relaxed);
    let last = Instant::now();
    while count(0) + count(1) < u64::from(many) && last.elapsed() < LAST {
        sleep(Duration::from_millis(5));
    }
    for wire in &wires {
        let _ = wire.shutdown(std::net::Shutdown::Both);
    }
    readers.into_iter().for_each(|reader| drop(reader.join()));
    let took = took.lock().expect("the times").clone();
    Ok(Found { took, late, sent: many.into(), succeeded: count(0), turned_away: count(1), closed })
}

/// Compares requests sent directly to a worker with requests through a forwarder.
pub fn forwarder(
    program: &Program,
    _: &Limits,
    _: &[u64],
    progress: &mut dyn FnMut(&str),
) -> Result<Vec<Measurement>, String> {
    let mut rows = Vec::new();
    let done = guarded(|| forwards(program, &RATES, SPAN, &mut rows, progress));
    report_failure(done, "a forwarder under load", progress);
    Ok(rows)
}

pub fn forwards(
    program: &Program,
    rates: &[u64],
    span: Duration,
    rows: &mut Vec<Measurement>,
    progress: &mut dyn FnMut(&str),
) -> Result<(), String> {
    let worker = worker(program, "w", "", 1024);
    let operator = format!(
        "tier: {{listen: \"127.0.0.1:0\", planners: [], workers: [{{name: \"w\", address: \"{}\", places: 64}}]}}",
        worker.server
    );
    let place = Deployment::start_as(&program.path, "forward", CONFIG, &operator, |all| {
        all["name"] = json!("f");
        all["settings"]["customers"] = json!([]);
        all["settings"]["specifics"]["memory_kb"] = json!(4e6);
    });
    place.logged("takes work");
    let mut count = unix_ms() as u64 & 0xffff;
    for rate in rates.iter().copied() {
        let mut run = |to: SocketAddr| {
            count += 1;
            load(to, rate, span, count)
        };
        let direct = run(worker.server)?;
        let spent = Spent::of(place.id());
        let through = run(place.server)?;
        let now = Spent::of(place.id());
        let mut put = |what: &str, value: f64, unit: &str| {
            rows.push(Measurement::new(
                "forwarder",
                rate,
                &format!("{what} by invocations a second"),
                value,
                unit,
                MeasurementKind::Real,
            ));
        };
        let ms = |found: &Found, part: f64| found.took.value_at_quantile(part) as f64 / 1e3;
        for (name, part) in [("p50", 0.5), ("p99", 0.99), ("most", 1.0)] {
            let (direct, through) = (ms(&direct, part), ms(&through, part));
            put(&format!("latency {name} direct to a worker"), direct, "ms");
            put(&format!("latency {name} through a forwarder"), through, "ms");
            put(&format!("latency {name} through less direct"), through - direct, "ms");
        }
        for (name, found) in [("direct", &direct), ("through a forwarder", &through)] {
            let late = found.late.value_at_quantile(0.99) as f64 / 1e3;
            put(&format!("generator's lateness p99, {name}"), late, "ms");
            put(
                &format!("share that succeeded, {name}"),
                found.succeeded as f64 / found.sent as f64,
                "share",
            );
            put(&format!("share turned away, {name}"), found.turned_away as f64 / found.sent as f64, "share");
        }
        put("connections that were closed on callers, direct", direct.closed as f64, "connections");
        put(
            "connections that were closed on callers, through a forwarder",
            through.closed as f64,
            "connections",
        );
        let each = now.seconds_since(&spent) * 1e6 / through.sent.max(1) as f64;
        put("processor time of the forwarder an invocation", each, "us");
        put("descriptors of the forwarder", now.descriptors as f64, "descriptors");
        put("memory of the forwarder", now.resident as f64, "B");
        progress(&format!(
            "hollow: forwarder at {rate}/s: p50 {:.2} and p99 {:.2} ms, direct {:.2} and {:.2} ms; {} of {} succeeded",
            ms(&through, 0.5),
            ms(&through, 0.99),
            ms(&direct, 0.5),
            ms(&direct, 0.99),
            through.succeeded,
            through.sent
        ));
    }
    Ok(())
}

/// Measures an app server with idle clients, and with rollout and control replicas on and off.
pub fn app_server(
    program: &Program,
    limits: &Limits,
    sizes: &[u64],
    progress: &mut dyn FnMut(&str),
) -> Result<Vec<Measurement>, String> {
    let mut rows = Vec::new();
    let done = guarded(|| control(program, 2 * REST, &mut rows, progress));
    report_failure(done, "an app server's share for control", progress);
    for size in sizes.iter().copied() {
        // Covers the app server's descriptors and the clients'; the app server admits idle clients only up to a share of its sockets.
        if !limits.allow(size, 3, EACH) {
            progress(&format!("hollow: {size} idle clients are skipped: past {limits}"));
            continue;
        }
        let done = guarded(|| callers(program, size, &mut rows, progress));
        report_failure(done, &format!("{size} idle clients"), progress);
    }
    Ok(rows)
}

fn control(
    program: &Program,
    rest: Duration,
    rows: &mut Vec<Measurement>,
    progress: &mut dyn FnMut(&str),
) -> Result<(), String> {
    for (name, on) in [("off", false), ("on", true)] {
        let quorum = if on { Some(Quorum::start(program)?) } else { None };
        let operator = quorum.as_ref().map_or(String::new(), |quorum| {
            let folder = quorum.folder.0.join("policy");
            format!("keepers: {{{}}}\nrollout: {{folder: \"{}\"}}\n", quorum.listed(), folder.display())
        });
        let place = worker(program, "control", &operator, 1024);
        if on {
            place.logged("is in force here");
        }
        sleep(Duration::from_secs(2));
        let (began, spent) = (Instant::now(), Spent::of(place.id()));
        sleep(rest);
        let (span, now) = (began.elapsed().as_secs_f64(), Spent::of(place.id()));
        let cores = now.seconds_since(&spent) / span;
        let mut put = |what: &str, value: f64, unit: &str| {
            let metric = format!("{what} at rest without callers, rollout {name}, by app servers");
            rows.push(Measurement::new("app-server", 1, &metric, value, unit, MeasurementKind::Real));
        };
        put("cores", cores, "cores");
        put("memory", now.resident as f64, "B");
        put("descriptors", now.descriptors as f64, "descriptors");
        progress(&format!("hollow: app server at rest, rollout {name}: {cores:.4} cores"));
    }
    Ok(())
}

/// Clients that send one request and then stay connected.
fn callers(
    program: &Program,
    size: u64,
    rows: &mut Vec<Measurement>,
    progress: &mut dyn FnMut(&str),
) -> Result<(), String> {
    let place = worker(program, "callers", "", (size * 3).max(1024));
    // Waits until the app server has made its own connections.
    sleep(Duration::from_secs(1));
    let before = Spent::of(place.id());
    let mut held = Vec::new();
    for at in 0..size {
        let mut router = Router::connect(place.server);
        router.0.send(request_frame(1, &format!("{at:016x}")));
        let (_, how, _) = router.answer();
        if how != "succeeded" {
            return Err(format!("client {at}: {how}"));
        }
        held.push(router);
    }
    sleep(Duration::from_secs(1));
    let (began, spent) = (Instant::now(), Spent::of(place.id()));
    sleep(REST);
    let (span, now) = (began.elapsed().as_secs_f64(), Spent::of(place.id()));
    let cores = now.seconds_since(&spent) / span;
    let mut put = |what: &str, value: f64, unit: &str| {
        rows.push(Measurement::new(
            "app-server",
            size,
            &format!("{what} by idle callers"),
            value,
            unit,
            MeasurementKind::Real,
        ));
    };
    put("cores", cores, "cores");
    put("memory", now.resident as f64, "B");
    put("memory more than without callers", now.resident.saturating_sub(before.resident) as f64, "B");
    put("descriptors", now.descriptors as f64, "descriptors");
    let open = now.descriptors.saturating_sub(before.descriptors);
    put("connections held", open as f64, "connections");
    progress(&format!("hollow: app server with {size} idle callers: {open} held, {} KB", now.resident >> 10));
    Ok(())
}
