//! A leading control replica with simulated rollout members and simulated lease owners: at rest, during a change, and where the leader
//! is killed during a change.

use super::members::{InstanceGroup, InstanceKind};
use super::rig::{Limits, Program, Quorum, Spent};
use super::{report_failure, Count, HEADERS};
use crate::scale::row::{Measurement, MeasurementKind};
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Duration of the measurement at rest.
pub const REST: Duration = Duration::from_secs(6);
/// Maximum time until all instances have joined; afterwards the size is reported and not measured.
pub const JOIN: Duration = Duration::from_secs(30);
/// Maximum time to wait for a change.
const CHANGE: Duration = Duration::from_secs(20);
/// Number of members for the test that kills the leader during a change.
const KILLED_AT: u64 = 300;
/// Estimated bytes of memory for one simulated instance.
pub const EACH: u64 = 16 * 1024;
/// Maximum recorded time, in microseconds.
const MICROS: u64 = 60_000_000;
const TICK: Duration = Duration::from_millis(5);

pub fn rows(
    program: &Program,
    limits: &Limits,
    sizes: &[u64],
    progress: &mut dyn FnMut(&str),
) -> Result<Vec<Measurement>, String> {
    let mut rows = Vec::new();
    for size in sizes.iter().copied() {
        if !limits.allow(size, 1, EACH) {
            progress(&format!("hollow: {size} members are left out: past {limits}"));
            continue;
        }
        let done = members(program, size, REST, &mut rows, progress);
        report_failure(done, &format!("{size} members"), progress);
        let done = owners(program, size, REST, &mut rows, progress);
        report_failure(done, &format!("{size} sessions"), progress);
    }
    if sizes.contains(&KILLED_AT) {
        let done = killed(program, KILLED_AT, &mut rows, progress);
        report_failure(done, &format!("control replica killed at {KILLED_AT} members"), progress);
    }
    Ok(rows)
}

/// Waits until `done` returns true, at most `within`. Returns the time it took, or `None`.
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

/// Adds the traffic between the instances and the leader: totals at the leader, and for each instance.
fn traffic(rows: &mut Vec<Measurement>, size: u64, of: &str, by: &str, count: Count, span: Duration) {
    let (span, each) = (span.as_secs_f64(), size.max(1) as f64);
    let mut put = |role: &str, metric: &str, many: f64, unit: &str| {
        let metric = format!("{of} {metric} by {by}");
        rows.push(Measurement::new(role, size, &metric, many / span, unit, MeasurementKind::Hollow));
    };
    // Messages sent by the instances are received by the leader.
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
    quorum.keeper(address).and_then(|keeper| keeper.id()).ok_or("the process of the leader is unknown".into())
}

/// Maximum attempts of a measurement at rest; an attempt in which the leader changes is repeated.
const MAX_ATTEMPTS: usize = 3;

/// Measures the leader at rest for `rest`, without a change of leader.
fn measure_rest(
    quorum: &mut Quorum,
    instances: &InstanceGroup,
    (size, of, by): (u64, &str, &str),
    rest: Duration,
    rows: &mut Vec<Measurement>,
) -> Result<(), String> {
    for _ in 0..MAX_ATTEMPTS {
        let leader = instances.counters.leader().ok_or("no control replica has responded")?;
        let leads = process(quorum, leader)?;
        let (began, before, spent) =
            (Instant::now(), instances.counters.count(Some(leader)), Spent::of(leads));
        sleep(rest);
        let (span, after, now) = (began.elapsed(), instances.counters.count(Some(leader)), Spent::of(leads));
        if instances.counters.leader() != Some(leader) {
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
    Err(format!("the leader changed during each measurement at rest of {size} {by}"))
}

/// A policy document that differs by `part`, with at least `least` bytes.
pub fn text(part: u32, least: usize) -> String {
    let mut text = format!(
        "lease: 2s\nwithin: 30s\npools: {{limiter: \"fixed\", pools: {{quick: {{operations: [\"lookup\"], least: 0.{part}}}}}}}\n"
    );
    while text.len() + 80 < least {
        text += &format!("// {}\n", "-".repeat(76));
    }
    text
}

/// Times of a change: time until active at each member that activated it, from the start of the command.
pub struct Changed {
    times: Histogram<u64>,
    pub missing: u64,
    /// Members that had activated the change when `meanwhile` returned.
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

/// Makes a change. `have` returns when each member activated a version; `meanwhile` is called once, right after the command returned.
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

/// Starts instances and waits until all have joined.
fn begin(
    quorum: &Quorum,
    what: InstanceKind,
    (size, rest): (u64, Duration),
    rows: &mut Vec<Measurement>,
    progress: &mut dyn FnMut(&str),
) -> Result<InstanceGroup, String> {
    let instances = InstanceGroup::start(what, size, &quorum.set)?;
    let here = |instances: &InstanceGroup| match what {
        InstanceKind::Members => instances.counters.in_force(0).len() as u64,
        InstanceKind::Owners => instances.counters.sessions(),
    };
    let took = wait(JOIN, || here(&instances) >= size);
    let (of, by) = match what {
        InstanceKind::Members => ("rollout", "members"),
        InstanceKind::Owners => ("owners", "sessions"),
    };
    let Some(took) = took else {
        return Err(format!("{} of {size} {by} have joined after {} s", here(&instances), JOIN.as_secs()));
    };
    progress(&format!("hollow: {size} {by} have joined after {} ms", took.as_millis()));
    let metric = format!("{of}: time until all that start at once have begun by {by}");
    rows.push(Measurement::new(
        "keeper",
        size,
        &metric,
        took.as_secs_f64() * 1e3,
        "ms",
        MeasurementKind::Hollow,
    ));
    // Lets the traffic of the start end; measurements that only count messages use a shorter wait.
    sleep(rest.min(Duration::from_secs(2)));
    Ok(instances)
}

/// Simulated rollout members: at rest, then a change with a short document and one with a document of maximum size.
pub fn members(
    program: &Program,
    size: u64,
    rest: Duration,
    rows: &mut Vec<Measurement>,
    progress: &mut dyn FnMut(&str),
) -> Result<(), String> {
    let mut quorum = Quorum::start(program)?;
    let instances = begin(&quorum, InstanceKind::Members, (size, rest), rows, progress)?;
    measure_rest(&mut quorum, &instances, (size, "rollout", "members"), rest, rows)?;
    let all = quorum.processes();
    for (name, text) in [
        ("change of 0.1 KiB", text(2, 0)),
        ("change of 16 KiB", text(3, cypresscleat_rollout::MAX_DOCUMENT_BYTES)),
    ] {
        let spent: Vec<Spent> = all.iter().map(|one| Spent::of(one.1)).collect();
        let (began, before) = (Instant::now(), instances.counters.count(None));
        let changed = change(&mut quorum, &|version| instances.counters.had(version), size, &text, |_| {})?;
        // Waits a full second more, so that the peak second and all writes that follow the change are included.
        sleep(Duration::from_secs(1));
        let count = instances.counters.count(None).since(&before);
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
        // The busiest of the three by each value: the leader, unless the leader changes meanwhile.
        let most = |of: &dyn Fn(&Spent, &Spent, SocketAddr) -> f64| {
            let each = all.iter().zip(&spent);
            each.map(|(one, before)| of(&Spent::of(one.1), before, one.0)).fold(0.0, f64::max)
        };
        let peak = most(&|_, _, address| instances.counters.peak(address, began) as f64);
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
        progress(&format!(
            "hollow: {name} at {size} members: {} activated it, after {} ms",
            size - changed.missing,
            changed.span.as_millis()
        ));
    }
    let out = instances.counters.out() as f64;
    rows.push(Measurement::new(
        "app-server",
        size,
        "rollout: times out of service by members",
        out,
        "times",
        MeasurementKind::Hollow,
    ));
    instances.end()
}

/// Simulated lease owners of one task with one partition: their sessions at rest.
pub fn owners(
    program: &Program,
    size: u64,
    rest: Duration,
    rows: &mut Vec<Measurement>,
    progress: &mut dyn FnMut(&str),
) -> Result<(), String> {
    let mut quorum = Quorum::start(program)?;
    let instances = begin(&quorum, InstanceKind::Owners, (size, rest), rows, progress)?;
    measure_rest(&mut quorum, &instances, (size, "owners", "sessions"), rest, rows)?;
    instances.end()
}

/// The leader is killed during a change.
pub fn killed(
    program: &Program,
    size: u64,
    rows: &mut Vec<Measurement>,
    progress: &mut dyn FnMut(&str),
) -> Result<(), String> {
    let mut quorum = Quorum::start(program)?;
    let instances = begin(&quorum, InstanceKind::Members, (size, REST), &mut Vec::new(), progress)?;
    let leader = instances.counters.leader().ok_or("no control replica has responded")?;
    let changed =
        change(&mut quorum, &|version| instances.counters.had(version), size, &text(2, 0), |quorum| {
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
    let out = instances.counters.out() as f64;
    let metric = "change of 0.1 KiB, the keeper that leads killed in it: times out of service by members";
    rows.push(Measurement::new("app-server", size, metric, out, "times", MeasurementKind::Hollow));
    progress(&format!("hollow: control replica killed at {size} members: {} ms", changed.span.as_millis()));
    instances.end()
}
