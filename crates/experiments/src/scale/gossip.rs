//! What membership by gossip costs each member: played in simulated time on the real decider, its own processor time taken with a
//! clock round the whole play.

use super::heap;
use super::row::{How, Row};
use cypresscleat_forwarding::membership::{Member, Membership, MembershipConfig};
use cypresscleat_forwarding::messages::MemberState;
use cypresscleat_forwarding::simulation::{NetworkConditions, Simulation};
use cypresscleat_forwarding::{NodeId, MS, SECOND};
use std::time::Instant;

const ROLE: &str = "app-server";
/// Parts of the messages that are lost, as they are played and as they are named.
pub const LOSSES: [(f64, &str); 3] = [(0.0, "no loss"), (0.01, "loss 1%"), (0.1, "loss 10%")];
/// Seconds until all know each other, those for which the start of all at once is measured, those until it is quiet once what is
/// left of it counts as told, and those that are measured at rest: as long as a member takes to ask for everything anew.
const WARM: i64 = 10;
const START: i64 = 5;
const SETTLE: i64 = 5;
const MEASURED: i64 = 30;
/// A death that nobody knows of after so long is told as not known.
const LONGEST: i64 = 120;

pub fn net(loss: f64) -> NetworkConditions {
    NetworkConditions { loss, delay: (2, 20), partition: None }
}

/// Milliseconds from now until half, and until all of those that are here hold all of `whom` for `state`; NaN past the longest
/// time.
pub fn known(world: &mut Simulation, whom: &[usize], state: MemberState, every: i64) -> (f64, f64) {
    let (began, mut half, mut all) = (world.now, None, None);
    while all.is_none() && world.now < began + LONGEST * SECOND {
        let next = world.now + every * MS;
        world.run(next);
        // The last one known counts, so the first that is not known by so many ends the look.
        let others = world.alive_count() - usize::from(state == MemberState::Alive);
        let least = whom.iter().map(|at| world.count_agreeing(*at, state)).min().unwrap_or(others);
        let after = (world.now - began) as f64 / MS as f64;
        half = half.or((least * 2 >= others).then_some(after));
        all = all.or((least >= others).then_some(after));
    }
    (half.unwrap_or(f64::NAN), all.unwrap_or(f64::NAN))
}

/// A world in which all know each other and nothing is left to tell. What each has to tell after all have started at once takes it
/// so many minutes that no play of this length would see its end; bytes a member and second while it lasts come with it.
pub fn settled(many: usize, loss: f64, seed: u64) -> (Simulation, f64) {
    let mut world = Simulation::new(many, MembershipConfig::default(), net(loss), seed);
    world.run(WARM * SECOND);
    let bytes = world.bytes;
    world.run((WARM + START) * SECOND);
    let start = (world.bytes - bytes) as f64 / (START as f64 * many as f64);
    world.members.iter_mut().flatten().for_each(Membership::clear_dissemination_queue);
    world.run((WARM + START + SETTLE) * SECOND);
    (world, start)
}

/// Counts only: messages and bytes a member and second at rest, entries a member, and bytes a member and second after all have
/// started at once.
pub fn at_rest(many: usize, loss: f64, seed: u64) -> (Simulation, [f64; 4]) {
    let (mut world, start) = settled(many, loss, seed);
    let (messages, bytes) = (world.messages, world.bytes);
    let until = world.now + MEASURED * SECOND;
    world.run(until);
    let each = |now: u64, then: u64| (now - then) as f64 / (MEASURED as f64 * many as f64);
    let entries: usize = world.members.iter().flatten().map(|member| member.members().count()).sum();
    let entries = entries as f64 / many as f64;
    let figures = [each(world.messages, messages), each(world.bytes, bytes), entries, start];
    (world, figures)
}

pub fn rows(sizes: &[u64], seed: u64, tell: &mut dyn FnMut(&str)) -> Vec<Row> {
    let mut rows = Vec::new();
    for &size in sizes {
        for (loss, name) in LOSSES {
            tell(&format!("gossip, {size} members, {name}"));
            let mut add = |metric: &str, value: f64, unit: &str| {
                let metric = format!("gossip {metric} by members, {name}");
                rows.push(Row::new(ROLE, size, &metric, value, unit, How::Simulated));
            };
            let began = Instant::now();
            let ((mut world, [messages, bytes, entries, start]), held) =
                heap::of(|| at_rest(size as usize, loss, seed));
            // Whole wall of the play, the net's own work with it: more than the decider's, never less.
            let played = ((WARM + START + SETTLE + MEASURED) as u64 * size) as f64;
            let cores = began.elapsed().as_secs_f64() / played;
            // In and out: what one sends another hears.
            add("messages out at rest", messages, "messages/s");
            add("bytes out at rest", bytes, "B/s");
            add("bytes in and out at rest", 2.0 * bytes, "B/s");
            add("bytes in and out after all have started at once", 2.0 * start, "B/s");
            if loss == 0.01 {
                add("entries", entries, "entries");
                add("processor time, wall of the play", cores, "cores");
                let entry = std::mem::size_of::<(NodeId, Member)>() as f64;
                add("bytes of entries in all, entries x size_of", entries * entry, "B");
                if held > 0.0 {
                    add("bytes in all, heap of the play", held / size as f64, "B");
                }
            }
            let victim = size as usize / 2;
            world.kill(victim);
            let (half, all) = known(&mut world, &[victim], MemberState::Dead, 100);
            add("until half know a death", half, "ms");
            add("until all know a death", all, "ms");
        }
    }
    rows
}
