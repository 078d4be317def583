//! The cost of gossip membership for each member: the real decision code in simulated time. Its processor time is the wall time of
//! the whole simulation run.

use super::heap;
use super::row::{Measurement, MeasurementKind};
use cypresscleat_forwarding::membership::{Member, Membership, MembershipConfig};
use cypresscleat_forwarding::messages::MemberState;
use cypresscleat_forwarding::simulation::{NetworkConditions, Simulation};
use cypresscleat_forwarding::{NodeId, MS, SECOND};
use std::time::Instant;

const ROLE: &str = "app-server";
/// Message loss rates, with their names in the metrics.
pub const LOSSES: [(f64, &str); 3] = [(0.0, "no loss"), (0.01, "loss 1%"), (0.1, "loss 10%")];
/// Phases in seconds: until all members know each other; measurement of the simultaneous start; settling after the pending updates were
/// cleared; measurement at rest, which is as long as the interval at which a member requests the full member list.
const JOIN_SECONDS: i64 = 10;
const START_SECONDS: i64 = 5;
const SETTLE_SECONDS: i64 = 5;
const REST_SECONDS: i64 = 30;
/// Maximum time to wait for the detection of a death, in seconds; afterwards the result is NaN.
const MAX_WAIT_SECONDS: i64 = 120;

/// Network conditions with a message loss rate.
pub fn network_conditions(loss: f64) -> NetworkConditions {
    NetworkConditions { loss, delay: (2, 20), partition: None }
}

/// Milliseconds from now until half, and until all live members hold all of `subjects` for `state`; NaN after `MAX_WAIT_SECONDS`.
pub fn time_to_agree(
    simulation: &mut Simulation,
    subjects: &[usize],
    state: MemberState,
    interval_ms: i64,
) -> (f64, f64) {
    let (started_at, mut half, mut all) = (simulation.now, None, None);
    while all.is_none() && simulation.now < started_at + MAX_WAIT_SECONDS * SECOND {
        let next = simulation.now + interval_ms * MS;
        simulation.run(next);
        // The subject with the fewest agreeing members counts.
        let expected = simulation.alive_count() - usize::from(state == MemberState::Alive);
        let fewest_agreeing =
            subjects.iter().map(|at| simulation.count_agreeing(*at, state)).min().unwrap_or(expected);
        let after = (simulation.now - started_at) as f64 / MS as f64;
        half = half.or((fewest_agreeing * 2 >= expected).then_some(after));
        all = all.or((fewest_agreeing >= expected).then_some(after));
    }
    (half.unwrap_or(f64::NAN), all.unwrap_or(f64::NAN))
}

/// Starts a simulation in which all members know each other and no updates are pending. After a simultaneous start, spreading the
/// updates takes minutes, longer than a simulation run, so pending updates are cleared. Also returns the bytes a member and second during
/// the start.
pub fn start_settled(member_count: usize, loss: f64, seed: u64) -> (Simulation, f64) {
    let mut simulation =
        Simulation::new(member_count, MembershipConfig::default(), network_conditions(loss), seed);
    simulation.run(JOIN_SECONDS * SECOND);
    let bytes = simulation.bytes;
    simulation.run((JOIN_SECONDS + START_SECONDS) * SECOND);
    let start = (simulation.bytes - bytes) as f64 / (START_SECONDS as f64 * member_count as f64);
    simulation.members.iter_mut().flatten().for_each(Membership::clear_dissemination_queue);
    simulation.run((JOIN_SECONDS + START_SECONDS + SETTLE_SECONDS) * SECOND);
    (simulation, start)
}

/// Counts messages and bytes a member and second at rest, entries a member, and bytes a member and second after a simultaneous
/// start.
pub fn at_rest(member_count: usize, loss: f64, seed: u64) -> (Simulation, [f64; 4]) {
    let (mut simulation, start) = start_settled(member_count, loss, seed);
    let (messages, bytes) = (simulation.messages, simulation.bytes);
    let until = simulation.now + REST_SECONDS * SECOND;
    simulation.run(until);
    let each = |now: u64, before: u64| (now - before) as f64 / (REST_SECONDS as f64 * member_count as f64);
    let entries: usize = simulation.members.iter().flatten().map(|member| member.members().count()).sum();
    let entries = entries as f64 / member_count as f64;
    let figures = [each(simulation.messages, messages), each(simulation.bytes, bytes), entries, start];
    (simulation, figures)
}

pub fn rows(sizes: &[u64], seed: u64, progress: &mut dyn FnMut(&str)) -> Vec<Measurement> {
    let mut rows = Vec::new();
    for &size in sizes {
        for (loss, name) in LOSSES {
            progress(&format!("gossip, {size} members, {name}"));
            let mut add = |metric: &str, value: f64, unit: &str| {
                let metric = format!("gossip {metric} by members, {name}");
                rows.push(Measurement::new(ROLE, size, &metric, value, unit, MeasurementKind::Simulated));
            };
            let started_at = Instant::now();
            let ((mut simulation, [messages, bytes, entries, start]), heap_bytes) =
                heap::measure(|| at_rest(size as usize, loss, seed));
            // Wall time of the whole run, with the simulated network's own work: an upper bound for the decision code.
            let simulated_seconds =
                ((JOIN_SECONDS + START_SECONDS + SETTLE_SECONDS + REST_SECONDS) as u64 * size) as f64;
            let cores = started_at.elapsed().as_secs_f64() / simulated_seconds;
            // In and out: each message sent is received by another member.
            add("messages out at rest", messages, "messages/s");
            add("bytes out at rest", bytes, "B/s");
            add("bytes in and out at rest", 2.0 * bytes, "B/s");
            add("bytes in and out after all have started at once", 2.0 * start, "B/s");
            if loss == 0.01 {
                add("entries", entries, "entries");
                add("processor time, wall of the play", cores, "cores");
                let entry = std::mem::size_of::<(NodeId, Member)>() as f64;
                add("bytes of entries in all, entries x size_of", entries * entry, "B");
                if heap_bytes > 0.0 {
                    add("bytes in all, heap of the play", heap_bytes / size as f64, "B");
                }
            }
            let victim = size as usize / 2;
            simulation.kill(victim);
            let (half, all) = time_to_agree(&mut simulation, &[victim], MemberState::Dead, 100);
            add("until half know a death", half, "ms");
            add("until all know a death", all, "ms");
        }
    }
    rows
}
