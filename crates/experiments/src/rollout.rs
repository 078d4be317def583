//! Policy changes at scale: how long until a change is decided and active everywhere, what it costs, and how long two versions are
//! mixed; compared with two plain ways to make a change. Simulated time and networks, real decisions; the plain ways are short models.

use cypresscleat_consensus::SeededRng;
use cypresscleat_rollout::member::AdmissionPermit;
use cypresscleat_rollout::simulation::{Simulation, SimulationConfig, Traffic};
use cypresscleat_rollout::{Rules, Time, MS, SECOND};

/// Tenths of the members that are down while the change is made.
const DOWN: usize = 3;

/// Milliseconds, as p50, p99 and maximum.
fn spread(all: &mut [Time]) -> String {
    all.sort_unstable();
    let at = |part: f64| {
        let at = ((all.len().max(1) - 1) as f64 * part).round() as usize;
        all.get(at).copied().unwrap_or(0) as f64 / MS as f64
    };
    format!("{:.0} | {:.0} | {:.0}", at(0.5), at(0.99), at(1.0))
}

#[derive(Default)]
struct Figures {
    decided: Vec<Time>,
    active_everywhere: Vec<Time>,
    mixed: Vec<Time>,
    messages: f64,
    bytes: f64,
    /// When the last member had first activated the change; then the maximum of members that were out of service at once meanwhile.
    activated_once: Vec<Time>,
    out_count: usize,
    /// Traffic of the busiest control replica with members: in a second at rest before the change; in all during the change.
    rest: Load,
    during: Load,
    /// Seconds that the changes took, and bytes that control replicas sent each other meanwhile.
    seconds: f64,
    between: f64,
    violations: usize,
}

/// Messages and bytes that a control replica received, then messages and bytes that it sent.
#[derive(Clone, Copy, Default)]
struct Load([f64; 4]);

impl Load {
    fn of(simulation: &Simulation) -> Vec<Load> {
        let load = |one: &Traffic| {
            Load([one.received, one.received_bytes, one.sent, one.sent_bytes].map(|n| n as f64))
        };
        simulation.traffic.iter().map(load).collect()
    }
    /// Load since `before` of the control replica with the most messages.
    fn busiest(simulation: &Simulation, before: &[Load]) -> Load {
        let since = |(now, before): (Load, &Load)| Load([0, 1, 2, 3].map(|at| now.0[at] - before.0[at]));
        let all = Load::of(simulation).into_iter().zip(before).map(since);
        all.max_by(|a, b| (a.0[0] + a.0[2]).total_cmp(&(b.0[0] + b.0[2]))).unwrap_or_default()
    }
    fn add(&mut self, other: Load) {
        (0..4).for_each(|at| self.0[at] += other.0[at]);
    }
    fn format_per(&self, by: f64) -> String {
        self.0.map(|sum| format!("{:.0}", sum / by)).join(" | ")
    }
}

/// One change: all live members have to activate the change; members that were down restart after it and have to activate it too.
fn simulate_change(
    seed: u64,
    members: usize,
    lost: u64,
    down: bool,
    use_barrier: bool,
    figures: &mut Figures,
) {
    let rules = Rules { lease: 2 * SECOND, barrier: use_barrier, ..Rules::default() };
    let mut simulation =
        Simulation::new(SimulationConfig { members, rules, ..SimulationConfig::default() }, seed);
    simulation.run(3 * SECOND);
    let before = Load::of(&simulation);
    simulation.run(4 * SECOND);
    figures.rest.add(Load::busiest(&simulation, &before));
    let down_count = if down { members * DOWN / 10 } else { 0 };
    // Killed just before the change: the leases of these members have to expire first.
    (0..down_count).for_each(|at| simulation.kill(at));
    simulation.consensus.network.loss_one_in = lost;
    let (messages_before, bytes, started_at) =
        (simulation.messages_sent, simulation.message_bytes, simulation.consensus.now);
    let (before, between) = (Load::of(&simulation), simulation.consensus.bytes_sent);
    simulation.propose(0, rules, "first");
    let end = started_at + 60 * SECOND;
    // All members admit under the change at one moment. This is stricter than that each has activated the change once: a member that is
    // out of service at the moment doesn't count.
    let (mut activated_once_at, mut has_activated) = (None, vec![false; members]);
    loop {
        let (mut active_count, mut out_count) = (0, 0);
        for (at, has_activated) in has_activated.iter_mut().enumerate().skip(down_count) {
            match simulation.permit(at) {
                AdmissionPermit::Admit(1) => (*has_activated, active_count) = (true, active_count + 1),
                AdmissionPermit::Deny => out_count += 1,
                _ => {}
            }
        }
        figures.out_count = figures.out_count.max(out_count);
        if activated_once_at.is_none()
            && has_activated[down_count..].iter().all(|has_activated| *has_activated)
        {
            activated_once_at = Some(simulation.consensus.now);
        }
        if active_count == members - down_count || simulation.consensus.now >= end {
            break;
        }
        let until = simulation.consensus.now + 5 * MS;
        simulation.run(until);
    }
    figures.activated_once.push(activated_once_at.map_or(60 * SECOND, |at| at - started_at));
    figures.during.add(Load::busiest(&simulation, &before));
    figures.seconds += (simulation.consensus.now - started_at) as f64 / SECOND as f64;
    figures.between += (simulation.consensus.bytes_sent - between) as f64;
    figures.decided.push(simulation.decided.get(&1).map_or(60 * SECOND, |one| one.0 - started_at));
    figures.active_everywhere.push(simulation.consensus.now - started_at);
    let first = simulation.first_active.get(&1).copied().unwrap_or(started_at);
    figures.mixed.push(simulation.mixed_until.get(&1).map_or(0, |until| until - first));
    let live = (members - down_count).max(1) as f64;
    figures.messages += (simulation.messages_sent - messages_before) as f64 / live;
    figures.bytes += (simulation.message_bytes - bytes) as f64 / live;
    (0..down_count).for_each(|at| simulation.start(at));
    let until = simulation.consensus.now + 6 * SECOND;
    simulation.run(until);
    // Members may be out of service for a moment where messages are lost; none may admit requests under another version.
    let has_other_version = (0..members)
        .any(|at| !matches!(simulation.permit(at), AdmissionPermit::Admit(1) | AdmissionPermit::Deny));
    figures.violations += usize::from(simulation.violation.is_some() || has_other_version);
}

/// Whether a fleet ends under two versions where the change is sent to each member `attempts` times, without agreement. In one run of five
/// a member can't apply the document; in one run of ten the sender dies midway.
fn is_mixed_without_agreement(seed: u64, members: usize, lost: u64, down: bool, attempts: u32) -> bool {
    let mut rng = SeededRng::new(seed ^ 0x91a1);
    let rejecting_member = rng.one_in(5).then(|| rng.below(members as u64));
    let sender_dies_at = if rng.one_in(10) { rng.below(members as u64) } else { u64::MAX };
    let (mut old, mut new) = (0u64, 0u64);
    for at in 0..members as u64 {
        let is_down = down && at < (members * DOWN / 10) as u64;
        let received = (0..attempts).any(|_| lost == 0 || !rng.one_in(lost));
        let activates = at < sender_dies_at && received && !is_down && rejecting_member != Some(at);
        (old, new) = (old + u64::from(!activates), new + u64::from(activates));
    }
    old > 0 && new > 0
}

/// Durations and costs of a policy change by fleet size, as Markdown tables.
pub fn table(seeds: u64, max_members: usize) -> String {
    let mut out = format!(
        "Simulated, {seeds} seeds each up to 300 members, fewer above; three control replicas, 1 to 2 ms delay for each message, a check takes 5 ms, lease 2 s. \
         Ms as p50, p99, maximum; messages and bytes include the renewals of that time; active everywhere is at one moment, activated once is \
         the first activation by the last member; out is the count of live members that were out of service at once:\n\n\
         | members | lost | down | barrier | decided | | | active everywhere | | | activated once, maximum | out, maximum | mixed, maximum | \
         messages a member | bytes a member | invariant violated, or mixed at the end |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
    );
    let mut loads = String::from(
        "\nThe busiest control replica, messages and bytes between it and members, in and out: a second at rest before the change, without \
         loss; and in one change, in all. Then a second of the change, with the bytes between all control replicas, and for each live member:\n\n\
         | members | lost | down | barrier | rest: in | bytes | out | bytes | change: in | bytes | out | bytes | ms | a second: in | bytes | \
         out | bytes | between control replicas, bytes | a member, messages | bytes |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for members in
        [10, 300, 1_000, 3_000, 5_800, 10_000].into_iter().filter(|members| *members <= max_members)
    {
        for (lost, down, use_barrier) in [
            (0, false, false),
            (0, false, true),
            (100, false, false),
            (10, false, false),
            (10, true, false),
            (10, true, true),
        ] {
            let seed_count = if members > 300 { (seeds / 10).max(2) } else { seeds };
            let mut figures = Figures::default();
            (1..=seed_count)
                .for_each(|seed| simulate_change(seed, members, lost, down, use_barrier, &mut figures));
            let share = if lost == 0 { 0.0 } else { 100.0 / lost as f64 };
            let mixed = figures.mixed.iter().max().copied().unwrap_or(0) as f64 / MS as f64;
            let max_activated_once =
                figures.activated_once.iter().max().copied().unwrap_or(0) as f64 / MS as f64;
            let label = format!(
                "| {members} | {share:.0}% | {} | {}",
                if down { "30%" } else { "0" },
                if use_barrier { "yes" } else { "no" }
            );
            let (each, seconds) = (seed_count as f64, figures.seconds);
            loads += &format!(
                "{label} | {} | {} | {:.0} | {} | {:.0} | {:.1} | {:.0} |\n",
                figures.rest.format_per(each),
                figures.during.format_per(each),
                1000.0 * seconds / each,
                figures.during.format_per(seconds),
                figures.between / seconds,
                figures.messages / seconds,
                figures.bytes / seconds
            );
            out += &format!(
                "{label} | {} | {} | {max_activated_once:.0} | {} | {mixed:.0} | {:.1} | {:.0} | {} of {seed_count} |\n",
                spread(&mut figures.decided),
                spread(&mut figures.active_everywhere),
                figures.out_count,
                figures.messages / seed_count as f64,
                figures.bytes / seed_count as f64,
                figures.violations
            );
        }
    }
    out += &loads;
    out += "\nHow often a fleet of 300 ends under two policies, of 1,000 seeds (a member rejects the document in one of five; the sender \
            dies midway in one of ten; members that are down restart under the policy that they had):\n\n\
            | way | lost 0, none down | lost 10%, none down | lost 10%, 30% down |\n| --- | --- | --- | --- |\n";
    for (name, attempts) in
        [("each reads its file on a signal, sent once", 1), ("a push without agreement, three attempts", 3)]
    {
        let mixed = |lost, down| {
            (0..1000).filter(|seed| is_mixed_without_agreement(*seed, 300, lost, down, attempts)).count()
        };
        out += &format!("| {name} | {} | {} | {} |\n", mixed(0, false), mixed(10, false), mixed(10, true));
    }
    out
}
