//! A change of policy at size: how long until it is decided and in force everywhere, what it costs, how long two versions mix; beside
//! two plain ways to make one. Simulated time and nets, real decisions; the plain ways are models of a few lines.

use cypresscleat_consensus::SeededRng;
use cypresscleat_rollout::member::AdmissionPermit;
use cypresscleat_rollout::simulation::{Simulation, SimulationConfig, Traffic};
use cypresscleat_rollout::{Rules, Time, MS, SECOND};

/// Tenths of the members that are down while the change is made.
const DOWN: usize = 3;

/// Ms, as p50, p99 and the most.
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
    everywhere: Vec<Time>,
    mixed: Vec<Time>,
    messages: f64,
    bytes: f64,
    /// When the last had gone over once; members that were out of service at once meanwhile, at the most.
    gone_over: Vec<Time>,
    out: usize,
    /// Of the busiest keeper, with members: at rest before the change, a second; during it, in all.
    rest: Load,
    during: Load,
    /// Seconds of the changes, and bytes that keepers sent each other in them.
    seconds: f64,
    between: f64,
    wrong: usize,
}

/// Letters and bytes that a keeper heard, and said.
#[derive(Clone, Copy, Default)]
struct Load([f64; 4]);

impl Load {
    fn of(play: &Simulation) -> Vec<Load> {
        let load = |one: &Traffic| {
            Load([one.received, one.received_bytes, one.sent, one.sent_bytes].map(|n| n as f64))
        };
        play.traffic.iter().map(load).collect()
    }
    /// Of the keeper with the most letters since.
    fn busiest(play: &Simulation, before: &[Load]) -> Load {
        let since = |(now, before): (Load, &Load)| Load([0, 1, 2, 3].map(|at| now.0[at] - before.0[at]));
        let all = Load::of(play).into_iter().zip(before).map(since);
        all.max_by(|a, b| (a.0[0] + a.0[2]).total_cmp(&(b.0[0] + b.0[2]))).unwrap_or_default()
    }
    fn add(&mut self, other: Load) {
        (0..4).for_each(|at| self.0[at] += other.0[at]);
    }
    fn shown(&self, by: f64) -> String {
        self.0.map(|sum| format!("{:.0}", sum / by)).join(" | ")
    }
}

/// One change: members that live are all to have it; those that were down come back after it and have to have it too.
fn change(seed: u64, members: usize, lost: u64, down: bool, together: bool, figures: &mut Figures) {
    let rules = Rules { lease: 2 * SECOND, barrier: together, ..Rules::default() };
    let mut play = Simulation::new(SimulationConfig { members, rules, ..SimulationConfig::default() }, seed);
    play.run(3 * SECOND);
    let before = Load::of(&play);
    play.run(4 * SECOND);
    figures.rest.add(Load::busiest(&play, &before));
    let gone = if down { members * DOWN / 10 } else { 0 };
    // Just before it: their leases have to end first.
    (0..gone).for_each(|at| play.kill(at));
    play.consensus.network.loss_one_in = lost;
    let (asks, bytes, began) = (play.messages_sent, play.message_bytes, play.consensus.now);
    let (before, between) = (Load::of(&play), play.consensus.bytes_sent);
    play.propose(0, rules, "first");
    let end = began + 60 * SECOND;
    // All at one moment, which is more than that each has gone over: one that is out of service for a moment counts as not there.
    let (mut over, mut had) = (None, vec![false; members]);
    loop {
        let (mut have, mut out) = (0, 0);
        for (at, had) in had.iter_mut().enumerate().skip(gone) {
            match play.permit(at) {
                AdmissionPermit::Admit(1) => (*had, have) = (true, have + 1),
                AdmissionPermit::Deny => out += 1,
                _ => {}
            }
        }
        figures.out = figures.out.max(out);
        if over.is_none() && had[gone..].iter().all(|had| *had) {
            over = Some(play.consensus.now);
        }
        if have == members - gone || play.consensus.now >= end {
            break;
        }
        let until = play.consensus.now + 5 * MS;
        play.run(until);
    }
    figures.gone_over.push(over.map_or(60 * SECOND, |at| at - began));
    figures.during.add(Load::busiest(&play, &before));
    figures.seconds += (play.consensus.now - began) as f64 / SECOND as f64;
    figures.between += (play.consensus.bytes_sent - between) as f64;
    figures.decided.push(play.decided.get(&1).map_or(60 * SECOND, |one| one.0 - began));
    figures.everywhere.push(play.consensus.now - began);
    let first = play.first_active.get(&1).copied().unwrap_or(began);
    figures.mixed.push(play.mixed_until.get(&1).map_or(0, |until| until - first));
    let live = (members - gone).max(1) as f64;
    figures.messages += (play.messages_sent - asks) as f64 / live;
    figures.bytes += (play.message_bytes - bytes) as f64 / live;
    (0..gone).for_each(|at| play.start(at));
    let until = play.consensus.now + 6 * SECOND;
    play.run(until);
    // Some may be out of service for a moment where letters are lost; none may serve under another version.
    let others =
        (0..members).any(|at| !matches!(play.permit(at), AdmissionPermit::Admit(1) | AdmissionPermit::Deny));
    figures.wrong += usize::from(play.violation.is_some() || others);
}

/// Whether a fleet ends mixed where each member is told by itself, so many times, and nobody agrees on anything. A member can't carry the
/// text out in one run of five; whoever tells dies in the middle in one of ten.
fn plain(seed: u64, members: usize, lost: u64, down: bool, tries: u32) -> bool {
    let mut rng = SeededRng::new(seed ^ 0x91a1);
    let refuses = rng.one_in(5).then(|| rng.below(members as u64));
    let dies = if rng.one_in(10) { rng.below(members as u64) } else { u64::MAX };
    let (mut old, mut new) = (0u64, 0u64);
    for at in 0..members as u64 {
        let is_down = down && at < (members * DOWN / 10) as u64;
        let heard = (0..tries).any(|_| lost == 0 || !rng.one_in(lost));
        let goes = at < dies && heard && !is_down && refuses != Some(at);
        (old, new) = (old + u64::from(!goes), new + u64::from(goes));
    }
    old > 0 && new > 0
}

pub fn table(seeds: u64, most: usize) -> String {
    let mut out = format!(
        "Simulated, {seeds} seeds each up to 300 members, fewer above; three keepers, 1 to 2 ms a letter, a check takes 5 ms, lease 2 s. \
         Ms as p50, p99, most; messages and bytes with the renewals of that time; in force everywhere is at one moment, gone over is once, \
         by the last; out is how many that live were out of service at once:\n\n\
         | members | lost | down | together | decided | | | in force everywhere | | | gone over, most | out, most | mixed, most | \
         messages a member | bytes a member | rule broken, or mixed at the end |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
    );
    let mut loads = String::from(
        "\nThe busiest keeper, letters and bytes between it and members, in and out: a second at rest before the change, where nothing is \
         lost; and in one change, in all. Then a second of the change, with all keepers' bytes among themselves, and for each member that lives:\n\n\
         | members | lost | down | together | rest: in | bytes | out | bytes | change: in | bytes | out | bytes | ms | a second: in | bytes | \
         out | bytes | between keepers, bytes | a member, messages | bytes |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for members in [10, 300, 1_000, 3_000, 5_800, 10_000].into_iter().filter(|members| *members <= most) {
        for (lost, down, together) in [
            (0, false, false),
            (0, false, true),
            (100, false, false),
            (10, false, false),
            (10, true, false),
            (10, true, true),
        ] {
            let many = if members > 300 { (seeds / 10).max(2) } else { seeds };
            let mut figures = Figures::default();
            (1..=many).for_each(|seed| change(seed, members, lost, down, together, &mut figures));
            let share = if lost == 0 { 0.0 } else { 100.0 / lost as f64 };
            let mixed = figures.mixed.iter().max().copied().unwrap_or(0) as f64 / MS as f64;
            let over = figures.gone_over.iter().max().copied().unwrap_or(0) as f64 / MS as f64;
            let how = format!(
                "| {members} | {share:.0}% | {} | {}",
                if down { "30%" } else { "0" },
                if together { "yes" } else { "no" }
            );
            let (each, seconds) = (many as f64, figures.seconds);
            loads += &format!(
                "{how} | {} | {} | {:.0} | {} | {:.0} | {:.1} | {:.0} |\n",
                figures.rest.shown(each),
                figures.during.shown(each),
                1000.0 * seconds / each,
                figures.during.shown(seconds),
                figures.between / seconds,
                figures.messages / seconds,
                figures.bytes / seconds
            );
            out += &format!(
                "{how} | {} | {} | {over:.0} | {} | {mixed:.0} | {:.1} | {:.0} | {} of {many} |\n",
                spread(&mut figures.decided),
                spread(&mut figures.everywhere),
                figures.out,
                figures.messages / many as f64,
                figures.bytes / many as f64,
                figures.wrong
            );
        }
    }
    out += &loads;
    out += "\nHow often a fleet of 300 ends under two policies, of 1,000 seeds (a member refuses the text in one of five; whoever tells \
            dies in the middle in one of ten; those that are down come back under what they had):\n\n\
            | way | lost 0, none down | lost 10%, none down | lost 10%, 30% down |\n| --- | --- | --- | --- |\n";
    for (name, tries) in
        [("each reads its file on a signal, sent once", 1), ("a push without agreement, three tries", 3)]
    {
        let mixed = |lost, down| (0..1000).filter(|seed| plain(*seed, 300, lost, down, tries)).count();
        out += &format!("| {name} | {} | {} | {} |\n", mixed(0, false), mixed(10, false), mixed(10, true));
    }
    out
}
