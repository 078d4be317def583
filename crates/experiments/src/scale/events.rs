//! Gossip under simultaneous failures, simulated: one death, a rack, and a fifth of the members that is lost and restarts.

use super::gossip::start_settled;
use super::row::{Measurement, MeasurementKind};
use super::targets::TARGETS;
use cypresscleat_forwarding::messages::MemberState;
use cypresscleat_forwarding::simulation::Simulation;
use cypresscleat_forwarding::SECOND;

const ROLE: &str = "app-server";
const LOSS: f64 = 0.01;

/// Bytes that the busiest member sent and received in one second, over a period.
#[derive(Default)]
struct Peak {
    sent: Vec<u64>,
    received: Vec<u64>,
    /// Peak of members other than seeds.
    members: (u64, u64),
    /// Peak of the three seeds, which get more requests for the full member list than others.
    seeds: (u64, u64),
}

/// The first members of the simulation are its seeds.
const SEEDS: usize = 3;

impl Peak {
    fn start(simulation: &Simulation) -> Peak {
        Peak { sent: simulation.sent.clone(), received: simulation.received.clone(), ..Peak::default() }
    }
    /// Records that a second has passed.
    fn record_second(&mut self, simulation: &Simulation) {
        let max_diff =
            |now: &[u64], previous: &[u64]| now.iter().zip(previous).map(|(a, b)| a - b).max().unwrap_or(0);
        let ((sent, received), (previous_sent, previous_received)) =
            ((&simulation.sent, &simulation.received), (&self.sent, &self.received));
        self.seeds.0 = self.seeds.0.max(max_diff(&sent[..SEEDS], &previous_sent[..SEEDS]));
        self.seeds.1 = self.seeds.1.max(max_diff(&received[..SEEDS], &previous_received[..SEEDS]));
        self.members.0 = self.members.0.max(max_diff(&sent[SEEDS..], &previous_sent[SEEDS..]));
        self.members.1 = self.members.1.max(max_diff(&received[SEEDS..], &previous_received[SEEDS..]));
        self.sent.clone_from(&simulation.sent);
        self.received.clone_from(&simulation.received);
    }
}

/// Runs until all members agree on the state of `subjects`. Returns the time in milliseconds (NaN after two minutes) and the peak
/// traffic meanwhile.
fn run_until_all_agree(simulation: &mut Simulation, subjects: &[usize], state: MemberState) -> (f64, Peak) {
    let started_at = simulation.now;
    let mut peak = Peak::start(simulation);
    let mut agreed_after_ms = f64::NAN;
    while agreed_after_ms.is_nan() && simulation.now < started_at + 120 * SECOND {
        // Checks five times a second; an agreement is observed at the next check at the latest.
        for _ in 0..5 {
            let next = simulation.now + SECOND / 5;
            simulation.run(next);
            let expected = simulation.alive_count() - usize::from(state == MemberState::Alive);
            if agreed_after_ms.is_nan()
                && subjects.iter().all(|at| simulation.count_agreeing(*at, state) >= expected)
            {
                agreed_after_ms = (simulation.now - started_at) as f64 / (SECOND as f64 / 1e3);
            }
        }
        peak.record_second(simulation);
    }
    (agreed_after_ms, peak)
}

pub fn rows(sizes: &[u64], seed: u64, progress: &mut dyn FnMut(&str)) -> Vec<Measurement> {
    let mut rows = Vec::new();
    for &size in sizes {
        let member_count = size as usize;
        let events =
            [("one death", 1), ("a rack of 40", TARGETS.rack as usize), ("a fifth", member_count / 5)];
        for (name, failed_count) in events
            .into_iter()
            .filter(|(_, failed_count)| *failed_count > 0 && failed_count * 2 < member_count)
        {
            progress(&format!("{name} of {size} members"));
            let mut add = |metric: &str, value: f64, unit: &str| {
                let metric = format!("gossip, {name}: {metric} by members, loss 1%");
                rows.push(Measurement::new(ROLE, size, &metric, value, unit, MeasurementKind::Simulated));
            };
            let (mut simulation, _) = start_settled(member_count, LOSS, seed);
            let rest = peak_at_rest(&mut simulation);
            let peaks = |peak: &Peak, when: &str, add: &mut dyn FnMut(&str, f64, &str)| {
                add(
                    &format!("busiest second of any but seeds, bytes out{when}"),
                    peak.members.0 as f64,
                    "B/s",
                );
                add(
                    &format!("busiest second of any but seeds, bytes in{when}"),
                    peak.members.1 as f64,
                    "B/s",
                );
                add(&format!("busiest second of a seed, bytes out{when}"), peak.seeds.0 as f64, "B/s");
                add(&format!("busiest second of a seed, bytes in{when}"), peak.seeds.1 as f64, "B/s");
            };
            if name == "one death" {
                peaks(&rest, " before it", &mut add);
            }
            // Seeds stay alive, so that restarted members have a seed to join through.
            let subjects: Vec<usize> = (member_count - failed_count..member_count).collect();
            subjects.iter().for_each(|at| simulation.kill(*at));
            let (agreed_after_ms, peak) = run_until_all_agree(&mut simulation, &subjects, MemberState::Dead);
            add("until all know", agreed_after_ms, "ms");
            peaks(&peak, "", &mut add);
            if name == "a fifth" {
                let now = simulation.now;
                subjects.iter().for_each(|at| simulation.start(*at, now, 2));
                let (agreed_after_ms, peak) =
                    run_until_all_agree(&mut simulation, &subjects, MemberState::Alive);
                add("until all know that it is back", agreed_after_ms, "ms");
                peaks(&peak, " as it comes back", &mut add);
            }
        }
    }
    rows
}

/// Peak traffic over five seconds at rest.
fn peak_at_rest(simulation: &mut Simulation) -> Peak {
    let mut peak = Peak::start(simulation);
    for _ in 0..5 {
        let next = simulation.now + SECOND;
        simulation.run(next);
        peak.record_second(simulation);
    }
    peak
}
