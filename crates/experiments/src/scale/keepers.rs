//! What changes and sessions cost the keepers and those that hold them: played in simulated time on the real deciders.

use super::row::{How, Row};
use super::targets::TARGETS;
use cypresscleat_leases::simulation as owning;
use cypresscleat_rollout::member::AdmissionPermit;
use cypresscleat_rollout::simulation::{Simulation, SimulationConfig};
use cypresscleat_rollout::{Rules, MAX_DOCUMENT_BYTES, MS, SECOND};
use hdrhistogram::Histogram;
use std::time::Instant;

/// One of so many letters is lost.
const LOSSES: [(u64, &str); 3] = [(0, "no loss"), (100, "loss 1%"), (10, "loss 10%")];
/// Plays of each size and loss.
const SEEDS: u64 = 3;
/// Seconds at rest that are measured.
const REST: i64 = 10;
/// A change that is not in force by then is told as not in force.
const LONGEST: i64 = 60;

/// What was counted since the beginning: letters between members and keepers, and between keepers.
fn counted(play: &Simulation) -> [u64; 4] {
    [play.messages_sent, play.message_bytes, play.consensus.messages_sent, play.consensus.bytes_sent]
}

/// Their differences.
fn since(play: &Simulation, then: [u64; 4]) -> [f64; 4] {
    let now = counted(play);
    std::array::from_fn(|at| (now[at] - then[at]) as f64)
}

#[derive(Clone, Debug)]
pub struct Change {
    /// Counts a second at rest, in the first second of the change, and of the whole change with the rest of its time.
    pub rest: [f64; 4],
    pub first: [f64; 4],
    pub change: [f64; 4],
    /// Seconds of the whole change.
    pub span: f64,
    /// Of each member, ms until it goes by it; those that never do are missing.
    pub took: Vec<f64>,
    pub all: bool,
    /// Wall of the play at rest, for a second of it.
    pub wall: f64,
}

/// A change of a text of so many bytes, after some seconds at rest.
pub fn change(members: usize, lost: u64, text: usize, seed: u64) -> Change {
    let rules = Rules { lease: 2 * SECOND, ..Rules::default() };
    let mut play = Simulation::new(SimulationConfig { members, rules, ..SimulationConfig::default() }, seed);
    play.run(4 * SECOND);
    play.consensus.network.loss_one_in = lost;
    let (then, began) = (counted(&play), Instant::now());
    play.run((4 + REST) * SECOND);
    let wall = began.elapsed().as_secs_f64() / REST as f64;
    let rest = since(&play, then).map(|count| count / REST as f64);
    let (then, began) = (counted(&play), play.consensus.now);
    play.propose(0, rules, &"x".repeat(text));
    let mut without: Vec<usize> = (0..members).collect();
    let (mut took, mut first) = (Vec::new(), None);
    // The first second is counted whole, also where all have it before.
    while play.consensus.now < began + SECOND
        || !without.is_empty() && play.consensus.now < began + LONGEST * SECOND
    {
        let until = play.consensus.now + 5 * MS;
        play.run(until);
        let after = (play.consensus.now - began) as f64 / MS as f64;
        let had = without.len();
        without.retain(|at| play.permit(*at) != AdmissionPermit::Admit(1));
        took.resize(took.len() + had - without.len(), after);
        if play.consensus.now >= began + SECOND {
            first.get_or_insert(since(&play, then));
        }
    }
    let span = (play.consensus.now - began) as f64 / SECOND as f64;
    let change = since(&play, then);
    Change { rest, first: first.unwrap_or(change), change, span, took, all: without.is_empty(), wall }
}

/// Bytes that a change adds to the rest of its time, for each member.
fn added(done: &Change, members: f64) -> f64 {
    (done.change[1] - done.rest[1] * done.span).max(0.0) / members
}

pub fn rollout(sizes: &[u64], seed: u64, tell: &mut dyn FnMut(&str)) -> Vec<Row> {
    let mut rows = Vec::new();
    for &size in sizes {
        for (lost, name) in LOSSES {
            tell(&format!("rollout, {size} members, {name}"));
            let many = size as f64;
            let mut add = |role: &str, metric: &str, value: f64, unit: &str| {
                let metric = format!("rollout {metric} by members, {name}");
                rows.push(Row::new(role, size, &metric, value, unit, How::Simulated));
            };
            let all: Vec<Change> =
                (0..SEEDS).map(|more| change(size as usize, lost, 1024, seed + more)).collect();
            let mean = |of: &dyn Fn(&Change) -> f64| all.iter().map(of).sum::<f64>() / all.len() as f64;
            // What members say and are told, all of it taken to be the leading keeper's, and what keepers say to each other.
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
            // At the users' pace of changes.
            let paced = |done: &Change| done.rest[1] / many + added(done, many) / TARGETS.between_changes();
            add(
                "app-server",
                "bytes of a change of 1 KiB",
                mean(&|done| added(done, many)),
                "bytes a change",
            );
            add("app-server", "bytes in and out, a change of 1 KiB each 7.2 s", mean(&paced), "B/s");
            let took: Vec<f64> = all.iter().flat_map(|done| done.took.iter().copied()).collect();
            let everywhere = all.iter().all(|done| done.all);
            for (part, name) in [(0.5, "p50"), (0.99, "p99"), (1.0, "most")] {
                let value = if everywhere || part < 1.0 { quantile(&took, part) } else { f64::NAN };
                add("app-server", &format!("until a change is in force, {name} of members"), value, "ms");
            }
            if lost == 0 {
                add(
                    "keeper",
                    "processor time at rest, wall of the whole play",
                    mean(&|done| done.wall),
                    "cores",
                );
                tell(&format!("rollout, {size} members, a text of 16 KiB"));
                let whole = change(size as usize, lost, MAX_DOCUMENT_BYTES, seed);
                add("app-server", "bytes in and out, a change of 16 KiB each 7.2 s", paced(&whole), "B/s");
                let change = whole.change[1] + whole.change[3];
                let rest = whole.rest[1] + whole.rest[3];
                let paced = rest + (change - rest * whole.span).max(0.0) / TARGETS.between_changes();
                add("keeper", "bytes in and out, a change of 16 KiB each 7.2 s", paced, "B/s");
            }
        }
    }
    rows
}

/// Of figures in ms, to three figures that count and no lower than it was.
pub fn quantile(all: &[f64], part: f64) -> f64 {
    let Ok(mut kept) = Histogram::<u64>::new_with_bounds(1, 1_000_000, 3) else { return f64::NAN };
    all.iter().for_each(|ms| kept.saturating_record(ms.ceil().max(1.0) as u64));
    match all.is_empty() {
        true => f64::NAN,
        false => kept.value_at_quantile(part) as f64,
    }
}

/// Sessions at rest, each of an instance that waits for the one part: messages, bytes and writes at the keepers.
pub fn sessions(instances: usize, seed: u64) -> [f64; 6] {
    let setup =
        owning::SimulationConfig { instances, operation_interval: 0, ..owning::SimulationConfig::default() };
    let mut play = owning::Simulation::new(setup, seed);
    play.run(8 * SECOND);
    let counted = |play: &owning::Simulation| {
        let writes = play.cluster.nodes.iter().map(|seat| seat.disk.sync_count).max().unwrap_or(0);
        [play.messages_sent, play.message_bytes, play.cluster.messages_sent, play.cluster.bytes_sent, writes]
    };
    let (then, began) = (counted(&play), Instant::now());
    play.run((8 + REST) * SECOND);
    let wall = began.elapsed().as_secs_f64() / REST as f64;
    let now = counted(&play);
    let each = |at: usize| (now[at] - then[at]) as f64 / REST as f64;
    [each(0), each(1), each(2), each(3), each(4), wall]
}

pub fn owners(sizes: &[u64], seed: u64, tell: &mut dyn FnMut(&str)) -> Vec<Row> {
    let mut rows = Vec::new();
    for &size in sizes {
        tell(&format!("owners, {size} instances"));
        let [asks, bytes, letters, between, writes, wall] = sessions(size as usize, seed);
        let mut add = |role: &str, metric: &str, value: f64, unit: &str| {
            let metric = format!("owners {metric} at rest by instances");
            rows.push(Row::new(role, size, &metric, value, unit, How::Simulated));
        };
        add("keeper", "messages in and out", asks + letters, "messages/s");
        add("keeper", "bytes in and out", bytes + between, "B/s");
        add("keeper", "writes", writes, "writes/s");
        add("keeper", "processor time, wall of the whole play,", wall, "cores");
        add("app-server", "bytes in and out of a session", bytes / size as f64, "B/s");
    }
    rows
}
