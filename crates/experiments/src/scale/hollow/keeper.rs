//! A keeper that leads, before hollow members of a rollout and before hollow owners: at rest, in a change, and where it is killed in the
//! middle of one.

use super::members::{Crowd, What};
use super::rig::{Limits, Program, Quorum, Spent};
use super::{told, Count, HEADERS};
use crate::scale::row::{Measurement, MeasurementKind};
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Length of what is measured at rest.
pub const REST: Duration = Duration::from_secs(6);
/// Instances that have not begun by then are told, and nothing is measured with them.
pub const JOIN: Duration = Duration::from_secs(30);
/// A change is followed for so long.
const CHANGE: Duration = Duration::from_secs(20);
/// Members among which a keeper is killed in a change.
const KILLED_AT: u64 = 300;
/// Bytes of memory that are reckoned for one hollow instance.
pub const EACH: u64 = 16 * 1024;
/// Longest time that is told apart, in microseconds.
const MICROS: u64 = 60_000_000;
const TICK: Duration = Duration::from_millis(5);

pub fn rows(
    program: &Program,
    limits: &Limits,
    sizes: &[u64],
    tell: &mut dyn FnMut(&str),
) -> Result<Vec<Measurement>, String> {
    let mut rows = Vec::new();
    for size in sizes.iter().copied() {
        if !limits.allow(size, 1, EACH) {
            tell(&format!("hollow: {size} members are left out: past {limits}"));
            continue;
        }
        let done = members(program, size, REST, &mut rows, tell);
        told(done, &format!("{size} members"), tell);
        let done = owners(program, size, REST, &mut rows, tell);
        told(done, &format!("{size} sessions"), tell);
    }
    if sizes.contains(&KILLED_AT) {
        let done = killed(program, KILLED_AT, &mut rows, tell);
        told(done, &format!("a keeper killed at {KILLED_AT} members"), tell);
    }
    Ok(rows)
}

/// Waits until `done`, or for so long; what it took, if it came.
pub fn wait(within: Duration, mut done: impl FnMut() -> bool) -> Option<Duration> {
    let began = Instant::now();
    while began.elapsed() < within {
        if done() {
            return Some(began.elapsed());
        }
        sleep(TICK);
    }
    None
}

/// Rows of what went between a crowd and the keeper that leads, in a time: in all at the keeper, and for each instance.
fn traffic(rows: &mut Vec<Measurement>, size: u64, of: &str, by: &str, count: Count, span: Duration) {
    let (span, each) = (span.as_secs_f64(), size.max(1) as f64);
    let mut put = |role: &str, metric: &str, many: f64, unit: &str| {
        let metric = format!("{of} {metric} by {by}");
        rows.push(Measurement::new(role, size, &metric, many / span, unit, MeasurementKind::Hollow));
    };
    // What goes out of the instances comes in at the keeper.
    for (keeper, own, messages, bytes) in
        [("in", "out", count.messages_out, count.bytes_out), ("out", "in", count.messages_in, count.bytes_in)]
    {
        let (many, size, headers) = (messages as f64, bytes as f64, (messages * HEADERS) as f64);
        put("keeper", &format!("messages {keeper}"), many, "messages/s");
        put("keeper", &format!("payload bytes {keeper}"), size, "B/s");
        put("keeper", &format!("header bytes {keeper}"), headers, "B/s");
        put("app-server", &format!("messages {own}"), many / each, "messages/s");
        put("app-server", &format!("payload bytes {own}"), size / each, "B/s");
        put("app-server", &format!("header bytes {own}"), headers / each, "B/s");
    }
}

fn process(quorum: &mut Quorum, address: SocketAddr) -> Result<u32, String> {
    quorum.keeper(address).and_then(|keeper| keeper.id()).ok_or("the keeper that leads is not known".into())
}

/// How often a measurement at rest begins anew where another keeper leads in the middle of it.
const AGAIN: usize = 3;

/// At rest for so long, at the keeper that leads all the while.
fn rests(
    quorum: &mut Quorum,
    crowd: &Crowd,
    (size, of, by): (u64, &str, &str),
    rest: Duration,
    rows: &mut Vec<Measurement>,
) -> Result<(), String> {
    for _ in 0..AGAIN {
        let leader = crowd.books.leader().ok_or("no keeper has answered")?;
        let leads = process(quorum, leader)?;
        let (began, before, spent) = (Instant::now(), crowd.books.count(Some(leader)), Spent::of(leads));
        sleep(rest);
        let (span, after, now) = (began.elapsed(), crowd.books.count(Some(leader)), Spent::of(leads));
        if crowd.books.leader() != Some(leader) {
            continue;
        }
        let mut put = |what: &str, value: f64, unit: &str| {
            let metric = format!("{of} {what} at rest by {by}");
            rows.push(Measurement::new("keeper", size, &metric, value, unit, MeasurementKind::Hollow));
        };
        put("cores", now.seconds_since(&spent) / span.as_secs_f64(), "cores");
        put("memory", now.resident as f64, "B");
        put("descriptors", now.descriptors as f64, "descriptors");
        put("disk bytes written", (now.written - spent.written) as f64 / span.as_secs_f64(), "B/s");
        traffic(rows, size, &format!("{of} at rest"), by, after.since(&before), span);
        return Ok(());
    }
    Err(format!("each time another keeper led before the measurement at rest of {size} {by} was over"))
}

/// A text of a policy that differs by `part`, of so many bytes at least.
pub fn text(part: u32, least: usize) -> String {
    let mut text = format!(
        "lease: 2s\nwithin: 30s\npools: {{limiter: \"fixed\", pools: {{quick: {{operations: [\"lookup\"], least: 0.{part}}}}}}}\n"
    );
    while text.len() + 80 < least {
        text += &format!("// {}\n", "-".repeat(76));
    }
    text
}

/// What a change took: ms to in force at each member that has it, from the moment at which the command was begun.
pub struct Changed {
    times: Histogram<u64>,
    pub missing: u64,
    /// Members that had it once `meanwhile` was over.
    had: u64,
    pub span: Duration,
}

impl Changed {
    pub fn rows(&self, rows: &mut Vec<Measurement>, size: u64, change: &str) {
        let ms = |micros: u64| micros as f64 / 1e3;
        let mut put = |name: &str, value: f64, unit: &str| {
            let metric = format!("{change}: {name} by members");
            rows.push(Measurement::new("app-server", size, &metric, value, unit, MeasurementKind::Hollow));
        };
        put("time to in force p50", ms(self.times.value_at_quantile(0.5)), "ms");
        put("time to in force p99", ms(self.times.value_at_quantile(0.99)), "ms");
        put("time to in force most", ms(self.times.max()), "ms");
        put("not in force in 20 s", self.missing as f64, "members");
    }
}

/// Makes a change; `have` tells when each member had a version, `meanwhile` is called once, right after the command came back.
pub fn change(
    quorum: &mut Quorum,
    have: &dyn Fn(u64) -> Vec<Instant>,
    size: u64,
    text: &str,
    meanwhile: impl FnOnce(&mut Quorum),
) -> Result<Changed, String> {
    let began = Instant::now();
    let version = quorum.propose("policy.cue", text)?;
    meanwhile(quorum);
    let had = have(version).len() as u64;
    wait(CHANGE.saturating_sub(began.elapsed()), || have(version).len() as u64 >= size);
    let (span, all) = (began.elapsed(), have(version));
    let mut times = Histogram::new_with_max(MICROS, 3).map_err(|error| error.to_string())?;
    for at in &all {
        times.saturating_record(at.duration_since(began).as_micros() as u64);
    }
    Ok(Changed { times, missing: size - all.len() as u64, had, span })
}

/// A crowd that has begun.
fn begin(
    quorum: &Quorum,
    what: What,
    (size, rest): (u64, Duration),
    rows: &mut Vec<Measurement>,
    tell: &mut dyn FnMut(&str),
) -> Result<Crowd, String> {
    let crowd = Crowd::start(what, size, &quorum.set)?;
    let here = |crowd: &Crowd| match what {
        What::Members => crowd.books.in_force(0).len() as u64,
        What::Owners => crowd.books.sessions(),
    };
    let took = wait(JOIN, || here(&crowd) >= size);
    let (of, by) = match what {
        What::Members => ("rollout", "members"),
        What::Owners => ("owners", "sessions"),
    };
    let Some(took) = took else {
        return Err(format!("{} of {size} {by} have begun after {} s", here(&crowd), JOIN.as_secs()));
    };
    tell(&format!("hollow: {size} {by} have begun after {} ms", took.as_millis()));
    let metric = format!("{of}: time until all that start at once have begun by {by}");
    rows.push(Measurement::new(
        "keeper",
        size,
        &metric,
        took.as_secs_f64() * 1e3,
        "ms",
        MeasurementKind::Hollow,
    ));
    // What comes with the beginning is over, but for rests that only count messages.
    sleep(rest.min(Duration::from_secs(2)));
    Ok(crowd)
}

/// Hollow members of a rollout: at rest, then a change by a short text and one by the longest.
pub fn members(
    program: &Program,
    size: u64,
    rest: Duration,
    rows: &mut Vec<Measurement>,
    tell: &mut dyn FnMut(&str),
) -> Result<(), String> {
    let mut quorum = Quorum::start(program)?;
    let crowd = begin(&quorum, What::Members, (size, rest), rows, tell)?;
    rests(&mut quorum, &crowd, (size, "rollout", "members"), rest, rows)?;
    let all = quorum.processes();
    for (name, text) in [
        ("change of 0.1 KiB", text(2, 0)),
        ("change of 16 KiB", text(3, cypresscleat_rollout::MAX_DOCUMENT_BYTES)),
    ] {
        let spent: Vec<Spent> = all.iter().map(|one| Spent::of(one.1)).collect();
        let (began, before) = (Instant::now(), crowd.books.count(None));
        let changed = change(&mut quorum, &|version| crowd.books.had(version), size, &text, |_| {})?;
        // Whole seconds, so that the peak of a second and the writes of all that follows are in.
        sleep(Duration::from_secs(1));
        let count = crowd.books.count(None).since(&before);
        changed.rows(rows, size, name);
        let mut put = |role: &str, what: &str, value: f64, unit: &str| {
            rows.push(Measurement::new(
                role,
                size,
                &format!("{name}: {what} by members"),
                value,
                unit,
                MeasurementKind::Hollow,
            ));
        };
        // The busiest of the three, by each: the one that leads, unless another does from the middle on.
        let most = |of: &dyn Fn(&Spent, &Spent, SocketAddr) -> f64| {
            let each = all.iter().zip(&spent);
            each.map(|(one, before)| of(&Spent::of(one.1), before, one.0)).fold(0.0, f64::max)
        };
        let peak = most(&|_, _, address| crowd.books.peak(address, began) as f64);
        put("keeper", "peak payload and header bytes in one second", peak, "B/s");
        put("keeper", "processor time", most(&|now, before, _| now.seconds_since(before) * 1e3), "ms");
        put(
            "keeper",
            "disk bytes written",
            most(&|now, before, _| (now.written - before.written) as f64),
            "B",
        );
        put("keeper", "span of processor time and disk bytes", began.elapsed().as_secs_f64() * 1e3, "ms");
        let each = size.max(1) as f64;
        let messages = (count.messages_out + count.messages_in) as f64;
        let bytes = (count.bytes_out + count.bytes_in) as f64;
        put("app-server", "messages out and in, renewals among them", messages / each, "messages");
        put("app-server", "payload bytes out and in, renewals among them", bytes / each, "B");
        tell(&format!(
            "hollow: {name} at {size} members: {} have it, after {} ms",
            size - changed.missing,
            changed.span.as_millis()
        ));
    }
    let out = crowd.books.out() as f64;
    rows.push(Measurement::new(
        "app-server",
        size,
        "rollout: times out of service by members",
        out,
        "times",
        MeasurementKind::Hollow,
    ));
    crowd.end()
}

/// Hollow owners, of one duty with one part: their sessions at rest.
pub fn owners(
    program: &Program,
    size: u64,
    rest: Duration,
    rows: &mut Vec<Measurement>,
    tell: &mut dyn FnMut(&str),
) -> Result<(), String> {
    let mut quorum = Quorum::start(program)?;
    let crowd = begin(&quorum, What::Owners, (size, rest), rows, tell)?;
    rests(&mut quorum, &crowd, (size, "owners", "sessions"), rest, rows)?;
    crowd.end()
}

/// The keeper that leads is killed in the middle of a change.
pub fn killed(
    program: &Program,
    size: u64,
    rows: &mut Vec<Measurement>,
    tell: &mut dyn FnMut(&str),
) -> Result<(), String> {
    let mut quorum = Quorum::start(program)?;
    let crowd = begin(&quorum, What::Members, (size, REST), &mut Vec::new(), tell)?;
    let leader = crowd.books.leader().ok_or("no keeper has answered")?;
    let changed = change(&mut quorum, &|version| crowd.books.had(version), size, &text(2, 0), |quorum| {
        if let Some(keeper) = quorum.keeper(leader) {
            keeper.kill();
        }
    })?;
    changed.rows(rows, size, "change of 0.1 KiB, the keeper that leads killed in it");
    let metric =
        "change of 0.1 KiB, the keeper that leads killed in it: in force before it was killed by members";
    rows.push(Measurement::new(
        "app-server",
        size,
        metric,
        changed.had as f64,
        "members",
        MeasurementKind::Hollow,
    ));
    let out = crowd.books.out() as f64;
    let metric = "change of 0.1 KiB, the keeper that leads killed in it: times out of service by members";
    rows.push(Measurement::new("app-server", size, metric, out, "times", MeasurementKind::Hollow));
    tell(&format!("hollow: keeper killed at {size} members: {} ms", changed.span.as_millis()));
    crowd.end()
}
