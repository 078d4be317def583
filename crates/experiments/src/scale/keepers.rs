//! The cost of policy changes and lease sessions for control replicas and their clients: the real decision code in simulated time.

use super::row::{Measurement, MeasurementKind};
use super::targets::TARGETS;
use cypresscleat_leases::simulation as lease_simulation;
use cypresscleat_rollout::member::AdmissionPermit;
use cypresscleat_rollout::simulation::{Simulation, SimulationConfig};
use cypresscleat_rollout::{Rules, MAX_DOCUMENT_BYTES, MS, SECOND};
use hdrhistogram::Histogram;
use std::time::Instant;

/// One in this many messages is lost (0: none), with the name in the metrics.
const LOSSES: [(u64, &str); 3] = [(0, "no loss"), (100, "loss 1%"), (10, "loss 10%")];
/// Simulation runs for each size and loss.
const SEEDS: u64 = 3;
/// Seconds of the measurement at rest.
const REST_SECONDS: i64 = 10;
/// Maximum time for a change in seconds; afterwards the change counts as not active.
const MAX_CHANGE_SECONDS: i64 = 60;

/// Totals since the start: messages and bytes between members and control replicas, then between control replicas.
fn totals(simulation: &Simulation) -> [u64; 4] {
    [
        simulation.messages_sent,
        simulation.message_bytes,
        simulation.consensus.messages_sent,
        simulation.consensus.bytes_sent,
    ]
}

/// The totals since `then`.
fn since(simulation: &Simulation, then: [u64; 4]) -> [f64; 4] {
    let now = totals(simulation);
    std::array::from_fn(|at| (now[at] - then[at]) as f64)
}

/// Costs and times of one change.
#[derive(Clone, Debug)]
pub struct Change {
    /// Counts a second at rest; in the first second of the change; in the whole change, with the traffic at rest of that time.
    pub rest: [f64; 4],
    pub first: [f64; 4],
    pub change: [f64; 4],
    /// Seconds of the whole change.
    pub span: f64,
    /// Milliseconds until active, for each member; members that never activated the change are missing.
    pub durations_ms: Vec<f64>,
    /// Whether all members activated the change.
    pub all: bool,
    /// Wall time of the simulation for one simulated second at rest.
    pub wall: f64,
}

/// Simulates a change with a document of `document_bytes`, after some seconds at rest.
pub fn change(members: usize, lost: u64, document_bytes: usize, seed: u64) -> Change {
    let rules = Rules { lease: 2 * SECOND, ..Rules::default() };
    let mut simulation =
        Simulation::new(SimulationConfig { members, rules, ..SimulationConfig::default() }, seed);
    simulation.run(4 * SECOND);
    simulation.consensus.network.loss_one_in = lost;
    let (then, started_at) = (totals(&simulation), Instant::now());
    simulation.run((4 + REST_SECONDS) * SECOND);
    let wall = started_at.elapsed().as_secs_f64() / REST_SECONDS as f64;
    let rest = since(&simulation, then).map(|count| count / REST_SECONDS as f64);
    let (then, started_at) = (totals(&simulation), simulation.consensus.now);
    simulation.propose(0, rules, &"x".repeat(document_bytes));
    let mut pending: Vec<usize> = (0..members).collect();
    let (mut durations_ms, mut first) = (Vec::new(), None);
    // The first second is always counted in full, even if all members activated the change earlier.
    while simulation.consensus.now < started_at + SECOND
        || !pending.is_empty() && simulation.consensus.now < started_at + MAX_CHANGE_SECONDS * SECOND
    {
        let until = simulation.consensus.now + 5 * MS;
        simulation.run(until);
        let after = (simulation.consensus.now - started_at) as f64 / MS as f64;
        let pending_before = pending.len();
        pending.retain(|at| simulation.permit(*at) != AdmissionPermit::Admit(1));
        durations_ms.resize(durations_ms.len() + pending_before - pending.len(), after);
        if simulation.consensus.now >= started_at + SECOND {
            first.get_or_insert(since(&simulation, then));
        }
    }
    let span = (simulation.consensus.now - started_at) as f64 / SECOND as f64;
    let change = since(&simulation, then);
    Change { rest, first: first.unwrap_or(change), change, span, durations_ms, all: pending.is_empty(), wall }
}

/// Bytes for each member that a change adds to the traffic at rest of the same time.
fn added(done: &Change, members: f64) -> f64 {
    (done.change[1] - done.rest[1] * done.span).max(0.0) / members
}

pub fn rollout(sizes: &[u64], seed: u64, progress: &mut dyn FnMut(&str)) -> Vec<Measurement> {
    let mut rows = Vec::new();
    for &size in sizes {
        for (lost, name) in LOSSES {
            progress(&format!("rollout, {size} members, {name}"));
            let many = size as f64;
            let mut add = |role: &str, metric: &str, value: f64, unit: &str| {
                let metric = format!("rollout {metric} by members, {name}");
                rows.push(Measurement::new(role, size, &metric, value, unit, MeasurementKind::Simulated));
            };
            let all: Vec<Change> =
                (0..SEEDS).map(|more| change(size as usize, lost, 1024, seed + more)).collect();
            let mean = |of: &dyn Fn(&Change) -> f64| all.iter().map(of).sum::<f64>() / all.len() as f64;
            // Traffic with members, all of it attributed to the leader, plus traffic between control replicas.
            add(
                "keeper",
                "messages in and out at rest",
                mean(&|done| done.rest[0] + done.rest[2]),
                "messages/s",
            );
            add("keeper", "bytes in and out at rest", mean(&|done| done.rest[1] + done.rest[3]), "B/s");
            let metric = "messages in and out in the first second of a change of 1 KiB";
            add("keeper", metric, mean(&|done| done.first[0] + done.first[2]), "messages/s");
            let metric = "bytes in and out in the first second of a change of 1 KiB";
            add("keeper", metric, mean(&|done| done.first[1] + done.first[3]), "B/s");
            add("app-server", "messages in and out at rest", mean(&|done| done.rest[0] / many), "messages/s");
            add("app-server", "bytes in and out at rest", mean(&|done| done.rest[1] / many), "B/s");
            let metric = "bytes in and out in the first second of a change of 1 KiB";
            add("app-server", metric, mean(&|done| done.first[1] / many), "B/s");
            // At the users' rate of changes.
            let paced = |done: &Change| done.rest[1] / many + added(done, many) / TARGETS.between_changes();
            add(
                "app-server",
                "bytes of a change of 1 KiB",
                mean(&|done| added(done, many)),
                "bytes a change",
            );
            add("app-server", "bytes in and out, a change of 1 KiB each 7.2 s", mean(&paced), "B/s");
            let durations_ms: Vec<f64> =
                all.iter().flat_map(|done| done.durations_ms.iter().copied()).collect();
            let all_active = all.iter().all(|done| done.all);
            for (part, name) in [(0.5, "p50"), (0.99, "p99"), (1.0, "most")] {
                let value = if all_active || part < 1.0 { quantile(&durations_ms, part) } else { f64::NAN };
                add("app-server", &format!("until a change is in force, {name} of members"), value, "ms");
            }
            if lost == 0 {
                add(
                    "keeper",
                    "processor time at rest, wall of the whole play",
                    mean(&|done| done.wall),
                    "cores",
                );
                progress(&format!("rollout, {size} members, a document of 16 KiB"));
                let large_change = change(size as usize, lost, MAX_DOCUMENT_BYTES, seed);
                add(
                    "app-server",
                    "bytes in and out, a change of 16 KiB each 7.2 s",
                    paced(&large_change),
                    "B/s",
                );
                let change = large_change.change[1] + large_change.change[3];
                let rest = large_change.rest[1] + large_change.rest[3];
                let paced = rest + (change - rest * large_change.span).max(0.0) / TARGETS.between_changes();
                add("keeper", "bytes in and out, a change of 16 KiB each 7.2 s", paced, "B/s");
            }
        }
    }
    rows
}

/// A quantile of times in ms, rounded up, to three significant digits.
pub fn quantile(all: &[f64], part: f64) -> f64 {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, 1_000_000, 3) else { return f64::NAN };
    all.iter().for_each(|ms| histogram.saturating_record(ms.ceil().max(1.0) as u64));
    match all.is_empty() {
        true => f64::NAN,
        false => histogram.value_at_quantile(part) as f64,
    }
}

/// Lease sessions at rest, one for each instance; all instances wait for the one partition. Returns messages, bytes and writes at the
/// control replicas, and wall time.
pub fn sessions(instances: usize, seed: u64) -> [f64; 6] {
    let setup = lease_simulation::SimulationConfig {
        instances,
        operation_interval: 0,
        ..lease_simulation::SimulationConfig::default()
    };
    let mut simulation = lease_simulation::Simulation::new(setup, seed);
    simulation.run(8 * SECOND);
    let totals = |simulation: &lease_simulation::Simulation| {
        let writes = simulation.cluster.nodes.iter().map(|node| node.disk.sync_count).max().unwrap_or(0);
        [
            simulation.messages_sent,
            simulation.message_bytes,
            simulation.cluster.messages_sent,
            simulation.cluster.bytes_sent,
            writes,
        ]
    };
    let (then, started_at) = (totals(&simulation), Instant::now());
    simulation.run((8 + REST_SECONDS) * SECOND);
    let wall = started_at.elapsed().as_secs_f64() / REST_SECONDS as f64;
    let now = totals(&simulation);
    let each = |at: usize| (now[at] - then[at]) as f64 / REST_SECONDS as f64;
    [each(0), each(1), each(2), each(3), each(4), wall]
}

pub fn owners(sizes: &[u64], seed: u64, progress: &mut dyn FnMut(&str)) -> Vec<Measurement> {
    let mut rows = Vec::new();
    for &size in sizes {
        progress(&format!("owners, {size} instances"));
        let [messages, bytes, replica_messages, replica_bytes, writes, wall] = sessions(size as usize, seed);
        let mut add = |role: &str, metric: &str, value: f64, unit: &str| {
            let metric = format!("owners {metric} at rest by instances");
            rows.push(Measurement::new(role, size, &metric, value, unit, MeasurementKind::Simulated));
        };
        add("keeper", "messages in and out", messages + replica_messages, "messages/s");
        add("keeper", "bytes in and out", bytes + replica_bytes, "B/s");
        add("keeper", "writes", writes, "writes/s");
        add("keeper", "processor time, wall of the whole play,", wall, "cores");
        add("app-server", "bytes in and out of a session", bytes / size as f64, "B/s");
    }
    rows
}
