//! A change of policy through relays by zone, beside the way without them: how long until it is decided and in force, what a member, a
//! relay and the leading keeper send and hear, at rest and in the busiest second of the change; a region apart and back. Simulated time
//! and nets, real decisions.

use cypresscleat_rollout::member::AdmissionPermit;
use cypresscleat_rollout::{Rules, Time, MS, SECOND};
use cypresscleat_rollout_relay::simulation::{Simulation, SimulationConfig, Traffic};

const ZONES: usize = 17;
const REGIONS: usize = 8;
/// A region is apart for so long, in place of an hour: all its leases are over after 2 s, and what it asks is the same from then on.
const APART: Time = 120 * SECOND;
/// A play is given up after that.
const END: Time = 60 * SECOND;
const DOCUMENT_BYTES: usize = 4_096;

/// Of one place or the mean of many, a second.
#[derive(Default, Clone, Copy)]
struct Rate {
    heard: f64,
    heard_bytes: f64,
    sent: f64,
    sent_bytes: f64,
}

impl Rate {
    fn of<'a>(all: impl Iterator<Item = &'a Traffic>, time: Time) -> Rate {
        let (mut sum, mut many) = (Traffic::default(), 0);
        for one in all {
            sum.sent += one.sent;
            sum.sent_bytes += one.sent_bytes;
            sum.received += one.received;
            sum.received_bytes += one.received_bytes;
            many += 1;
        }
        let each = |sum: u64| sum as f64 / many.max(1) as f64 * SECOND as f64 / time.max(1) as f64;
        Rate {
            heard: each(sum.received),
            heard_bytes: each(sum.received_bytes),
            sent: each(sum.sent),
            sent_bytes: each(sum.sent_bytes),
        }
    }
    fn add(&mut self, other: Rate, part: f64) {
        self.heard += other.heard * part;
        self.heard_bytes += other.heard_bytes * part;
        self.sent += other.sent * part;
        self.sent_bytes += other.sent_bytes * part;
    }
}

impl std::fmt::Display for Rate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Rate { heard, heard_bytes, sent, sent_bytes } = self;
        write!(f, "{heard:.1} / {sent:.1} | {heard_bytes:.0} / {sent_bytes:.0}")
    }
}

#[derive(Default)]
struct Figures {
    decided: Vec<Time>,
    /// Of each member that was there.
    in_force: Vec<Time>,
    never: usize,
    rest: [Rate; 3],
    /// Letters and bytes in the busiest second of a change: of any member, any relay, the keeper that led.
    peak: [(u64, u64); 3],
    wrong: usize,
}

fn setup(members: usize, relays: usize) -> SimulationConfig {
    let rules = Rules { lease: 2 * SECOND, ..Rules::default() };
    let near = SimulationConfig {
        zones: ZONES,
        regions: REGIONS,
        inter_region_delay: 40 * MS,
        replica_delay: 5 * MS,
        ..SimulationConfig::default()
    };
    SimulationConfig { members, relays, direct_members: 0, rules, max_lease: 2 * SECOND, ..near }
}

/// All joined and settled; None where that never came.
fn begins(members: usize, relays: usize, seed: u64) -> Option<Simulation> {
    let mut play = Simulation::new(setup(members, relays), seed);
    while play.admitting_members(0) < members {
        if play.consensus.now >= END {
            return None;
        }
        let until = play.consensus.now + 100 * MS;
        play.run(until);
    }
    Some(play)
}

fn clear(play: &mut Simulation) {
    play.processes.iter_mut().for_each(|one| one.traffic = Traffic::default());
    play.replica_traffic.iter_mut().for_each(|one| *one = Traffic::default());
}

fn runs(play: &mut Simulation, time: Time) {
    let until = play.consensus.now + time;
    play.run(until);
}

/// The traffic of all members, all relays and the keeper that heard most.
fn parts(play: &Simulation) -> [Vec<&Traffic>; 3] {
    let (relays, members) = play.processes.split_at(play.first_member);
    let leader = play.replica_traffic.iter().max_by_key(|one| one.received);
    [
        members.iter().map(|one| &one.traffic).collect(),
        relays.iter().map(|one| &one.traffic).collect(),
        leader.into_iter().collect(),
    ]
}

fn peaks(play: &Simulation) -> [(u64, u64); 3] {
    parts(play).map(|all| {
        let of = |figure: fn(&Traffic) -> u64| all.iter().map(|one| figure(one)).max().unwrap_or(0);
        (of(|one| one.peak_messages), of(|one| one.peak_bytes))
    })
}

fn change(
    seed: u64,
    members: usize,
    relays: usize,
    kind: (u64, bool, bool),
    figures: &mut Figures,
    part: f64,
) {
    let (lost, down, together) = kind;
    let Some(mut play) = begins(members, relays, seed) else {
        figures.never += members;
        return;
    };
    play.consensus.network.loss_one_in = lost;
    runs(&mut play, 2 * SECOND);
    clear(&mut play);
    runs(&mut play, 8 * SECOND);
    let rest = parts(&play).map(|all| Rate::of(all.into_iter(), 8 * SECOND));
    (0..3).for_each(|at| figures.rest[at].add(rest[at], part));
    // Three of ten are gone just before it, never both relays of a zone.
    let first = play.first_member;
    let gone = |at: usize| {
        down && if at < first { at.is_multiple_of(2) && at % 5 < 3 } else { (at - first) % 10 < 3 }
    };
    let all = 0..play.processes.len();
    all.clone().filter(|at| gone(*at)).for_each(|at| play.kill(at));
    clear(&mut play);
    let began = play.consensus.now;
    let text: String = "x".repeat(DOCUMENT_BYTES);
    play.propose(0, Rules { barrier: together, ..play.config.rules }, &text);
    let there: Vec<usize> = all.filter(|at| *at >= first && !gone(*at)).collect();
    // Until each has had it once: where letters are lost one or the other is without a lease for a moment.
    while play.consensus.now < began + END
        && !there.iter().all(|at| play.processes[*at].last_activation.0 == 1)
    {
        let until = play.consensus.now + 20 * MS;
        play.run(until);
    }
    figures.decided.push(play.decided.get(&1).map_or(END, |one| one.0 - began));
    for at in &there {
        let (number, time) = play.processes[*at].last_activation;
        figures.in_force.push(if number == 1 { time - began } else { END });
        figures.never += usize::from(number != 1);
    }
    runs(&mut play, SECOND);
    for (sum, peak) in figures.peak.iter_mut().zip(peaks(&play)) {
        *sum = (sum.0.max(peak.0), sum.1.max(peak.1));
    }
    let others =
        there.iter().any(|at| !matches!(play.permit(*at), AdmissionPermit::Admit(1) | AdmissionPermit::Deny));
    figures.wrong += usize::from(play.violation.is_some() || play.consensus.violation.is_some() || others);
}

/// Ms until decided; until in force as p50, p99, most.
fn times(figures: &mut Figures) -> String {
    let ms = |time: Time| format!("{:.0}", time as f64 / MS as f64);
    figures.in_force.sort_unstable();
    let at = |part: f64| {
        let at = ((figures.in_force.len().max(1) - 1) as f64 * part).round() as usize;
        ms(figures.in_force.get(at).copied().unwrap_or(END))
    };
    let decided = figures.decided.iter().max().copied().unwrap_or(END);
    format!("{} | {} | {} | {}", ms(decided), at(0.5), at(0.99), at(1.0))
}

fn apart(members: usize, relays: usize) -> String {
    let Some(mut play) = begins(members, relays, 1) else { return "never settled | | | | | |".into() };
    let region = REGIONS - 1;
    let of: Vec<usize> =
        (play.first_member..play.processes.len()).filter(|at| play.processes[*at].region == region).collect();
    play.isolate_region(region);
    runs(&mut play, 4 * SECOND);
    let began = play.consensus.now;
    play.propose(0, play.config.rules, &"x".repeat(DOCUMENT_BYTES));
    while play.active_version() != 1 && play.consensus.now < began + END {
        runs(&mut play, 20 * MS);
    }
    let decided = (play.consensus.now - began) / MS;
    runs(&mut play, APART);
    clear(&mut play);
    runs(&mut play, 8 * SECOND);
    let rest = Rate::of(parts(&play)[2].iter().copied(), 8 * SECOND);
    clear(&mut play);
    let back = play.consensus.now;
    play.reconnect_regions();
    while of.iter().any(|at| play.permit(*at) != AdmissionPermit::Admit(1)) && play.consensus.now < back + END
    {
        runs(&mut play, 20 * MS);
    }
    let took = (play.consensus.now - back) / MS;
    runs(&mut play, SECOND);
    let peak = peaks(&play)[2];
    let wrong = if play.violation.is_some() { "yes" } else { "no" };
    format!(
        "{} | {decided} | {took} | {:.0} / {:.0} | {} / {} | {wrong}",
        of.len(),
        rest.heard + rest.sent,
        rest.heard_bytes + rest.sent_bytes,
        peak.0,
        peak.1
    )
}

/// Printed row by row, as large ones take minutes.
pub fn table(seeds: u64, most: usize) {
    println!(
        "Simulated, {seeds} seeds; 3 keepers, 8 regions, 17 zones with two relays each, or none; 1 to 2 ms a letter inside a region, 40 to 41 \
         between two, 5 to 10 between keepers; lease 2 s, a check takes 5 ms, a text has {DOCUMENT_BYTES} bytes. Down: 3 of 10 members, and with \
         relays 11 of the 34, are gone just before the change. Rates are means at rest, in / out a second; peaks are letters / bytes, in and out \
         together, of the busiest second of the change at the busiest place; the keeper's without what keepers say to each other.\n\n\
         | members | way | lost | down | together | decided, most ms | in force ms, p50 | p99 | most | member: letters | bytes | peak | relay: letters | \
         bytes | peak | keeper: letters | bytes | peak | never, or rule broken |\n{}",
        "| --- ".repeat(19) + "|"
    );
    let sizes: Vec<usize> = [300, 1_000, 3_000, 5_800].into_iter().filter(|size| *size <= most).collect();
    for members in &sizes {
        for (lost, down) in [(0, false), (100, false), (10, false), (10, true)] {
            for together in [false, true] {
                for relays in [0, 2] {
                    // What is slow without relays is slow by itself: one seed shows it.
                    let many = if relays == 0 && *members > 300 { 1 } else { seeds };
                    let mut figures = Figures::default();
                    for seed in 1..=many {
                        change(
                            seed,
                            *members,
                            relays,
                            (lost, down, together),
                            &mut figures,
                            1.0 / many as f64,
                        );
                    }
                    let share = if lost == 0 { 0.0 } else { 100.0 / lost as f64 };
                    let [member, relay, keeper] = figures.rest;
                    let peak = figures.peak.map(|peak| format!("{} / {}", peak.0, peak.1));
                    println!(
                        "| {members} | {} | {share:.0}% | {} | {} | {} | {member} | {} | {relay} | {} | {keeper} | {} | {}, {} of {many} |",
                        if relays == 0 { "direct" } else { "relays" },
                        if down { "30%" } else { "0" },
                        if together { "yes" } else { "no" },
                        times(&mut figures),
                        peak[0],
                        peak[1],
                        peak[2],
                        figures.never,
                        figures.wrong,
                    );
                }
            }
        }
    }
    println!(
        "\nA region apart for {} s (in place of an hour) and back, a change in between, nothing lost otherwise, one seed. The leading keeper's \
         letters and bytes a second, in and out together, while it is apart, and in the busiest second after:\n\n\
         | members | way | of them apart | decided after ms | all back under it after ms | keeper while apart | keeper, peak | rule broken |\n{}",
        APART / SECOND,
        "| --- ".repeat(8) + "|"
    );
    for members in &sizes {
        for relays in [0, 2] {
            let way = if relays == 0 { "direct" } else { "relays" };
            println!("| {members} | {way} | {} |", apart(*members, relays));
        }
    }
}
