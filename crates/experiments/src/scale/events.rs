//! What goes wrong at once, played on the gossip: one death, a rack, a zone that is lost and comes back.

use super::gossip::settled;
use super::row::{How, Row};
use super::targets::TARGETS;
use cypresscleat_forwarding::messages::MemberState;
use cypresscleat_forwarding::simulation::Simulation;
use cypresscleat_forwarding::SECOND;

const ROLE: &str = "app-server";
const LOSS: f64 = 0.01;

/// Bytes in a second out of and into the busiest, while it lasts.
#[derive(Default)]
struct Peak {
    sent: Vec<u64>,
    heard: Vec<u64>,
    /// Of members that are no seeds.
    most: (u64, u64),
    /// Of the three seeds, which are asked for all that is known more than others are.
    seeds: (u64, u64),
}

/// The net's first members are its seeds.
const SEEDS: usize = 3;

impl Peak {
    fn of(world: &Simulation) -> Peak {
        Peak { sent: world.sent.clone(), heard: world.received.clone(), ..Peak::default() }
    }
    /// A second has passed.
    fn second(&mut self, world: &Simulation) {
        let most = |now: &[u64], then: &[u64]| now.iter().zip(then).map(|(a, b)| a - b).max().unwrap_or(0);
        let ((sent, heard), (had_sent, had_heard)) =
            ((&world.sent, &world.received), (&self.sent, &self.heard));
        self.seeds.0 = self.seeds.0.max(most(&sent[..SEEDS], &had_sent[..SEEDS]));
        self.seeds.1 = self.seeds.1.max(most(&heard[..SEEDS], &had_heard[..SEEDS]));
        self.most.0 = self.most.0.max(most(&sent[SEEDS..], &had_sent[SEEDS..]));
        self.most.1 = self.most.1.max(most(&heard[SEEDS..], &had_heard[SEEDS..]));
        self.sent.clone_from(&world.sent);
        self.heard.clone_from(&world.received);
    }
}

/// Until all know, with the busiest member's seconds on the way; NaN after two minutes.
fn plays(world: &mut Simulation, whom: &[usize], state: MemberState) -> (f64, Peak) {
    let began = world.now;
    let mut peak = Peak::of(world);
    let mut all = f64::NAN;
    while all.is_nan() && world.now < began + 120 * SECOND {
        // One second in five looks; what is known in it is known at its end at the latest.
        for _ in 0..5 {
            let next = world.now + SECOND / 5;
            world.run(next);
            let others = world.alive_count() - usize::from(state == MemberState::Alive);
            if all.is_nan() && whom.iter().all(|at| world.count_agreeing(*at, state) >= others) {
                all = (world.now - began) as f64 / (SECOND as f64 / 1e3);
            }
        }
        peak.second(world);
    }
    (all, peak)
}

pub fn rows(sizes: &[u64], seed: u64, tell: &mut dyn FnMut(&str)) -> Vec<Row> {
    let mut rows = Vec::new();
    for &size in sizes {
        let many = size as usize;
        let events = [("one death", 1), ("a rack of 40", TARGETS.rack as usize), ("a fifth", many / 5)];
        for (name, gone) in events.into_iter().filter(|(_, gone)| *gone > 0 && gone * 2 < many) {
            tell(&format!("{name} of {size} members"));
            let mut add = |metric: &str, value: f64, unit: &str| {
                let metric = format!("gossip, {name}: {metric} by members, loss 1%");
                rows.push(Row::new(ROLE, size, &metric, value, unit, How::Simulated));
            };
            let (mut world, _) = settled(many, LOSS, seed);
            let rest = plays_at_rest(&mut world);
            let peaks = |peak: &Peak, when: &str, add: &mut dyn FnMut(&str, f64, &str)| {
                add(&format!("busiest second of any but seeds, bytes out{when}"), peak.most.0 as f64, "B/s");
                add(&format!("busiest second of any but seeds, bytes in{when}"), peak.most.1 as f64, "B/s");
                add(&format!("busiest second of a seed, bytes out{when}"), peak.seeds.0 as f64, "B/s");
                add(&format!("busiest second of a seed, bytes in{when}"), peak.seeds.1 as f64, "B/s");
            };
            if name == "one death" {
                peaks(&rest, " before it", &mut add);
            }
            // Seeds stay, or who comes back knows nobody to ask.
            let whom: Vec<usize> = (many - gone..many).collect();
            whom.iter().for_each(|at| world.kill(*at));
            let (all, peak) = plays(&mut world, &whom, MemberState::Dead);
            add("until all know", all, "ms");
            peaks(&peak, "", &mut add);
            if name == "a fifth" {
                let now = world.now;
                whom.iter().for_each(|at| world.start(*at, now, 2));
                let (all, peak) = plays(&mut world, &whom, MemberState::Alive);
                add("until all know that it is back", all, "ms");
                peaks(&peak, " as it comes back", &mut add);
            }
        }
    }
    rows
}

/// The busiest member's busiest of five seconds, with nothing going on.
fn plays_at_rest(world: &mut Simulation) -> Peak {
    let mut peak = Peak::of(world);
    for _ in 0..5 {
        let next = world.now + SECOND;
        world.run(next);
        peak.second(world);
    }
    peak
}
