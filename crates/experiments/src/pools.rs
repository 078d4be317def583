//! The experiment on pools: a worker at 110% of its capacity, and on days on which something goes wrong; no pools, pools
//! under each limiter, the best fixed split found by search on the same day, and one tuned on another.

use crate::arrivals::{Class, Coming, Day, Trouble, SECOND};
use crate::drive::{play, Answer, Played, OVER_SHARE};
use crate::worker::Machine;
use cypresscleat_concurrency::limit::Limiter;
use cypresscleat_concurrency::{PoolConfig, PoolsConfig};
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::Serialize;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Cores of the machine, and the load as a part of what they do.
const CORES: f64 = 8.0;
const LOAD: f64 = 1.10;
/// Fixed splits are searched in steps of this part of the places.
const STEPS: usize = 8;

pub const STATUS: usize = 0;
pub const TALLY: usize = 3;

pub fn machine() -> Machine {
    Machine { cores: CORES, ..Machine::default() }
}

pub fn classes() -> Vec<Class> {
    let class = |name, work: f64, part, objective: i64, timeout: i64, billed, call: Option<f64>, kb| Class {
        name,
        work: work * 10.0,
        spread: 0.5,
        part,
        objective: objective * 10,
        timeout: timeout * 10,
        billed,
        call: call.map(|ms| ms * 10.0),
        kb,
    };
    vec![
        class("status", 3.0, 0.50, 150, 1000, 1.0, None, 8.0),
        class("position", 10.0, 0.25, 400, 2000, 1.0, Some(20.0), 16.0),
        class("report", 40.0, 0.15, 1000, 4000, 2.0, Some(60.0), 48.0),
        class("billing-tally", 150.0, 0.10, 2500, 6000, 3.0, None, 96.0),
    ]
}

/// A day at so much of the capacity; reading counts as work.
pub fn day(seed: u64, seconds: u64, load: f64, troubles: Vec<Trouble>) -> Day {
    let classes = classes();
    let work: f64 = classes.iter().map(|class| class.part * class.work).sum();
    let rate = load * CORES * SECOND as f64 / (work + machine().reading);
    Day { classes, rate, length: seconds as i64 * SECOND, troubles, seed }
}

/// The pools of the experiment: one for each class; the cheapest has a reserve.
pub fn setup(limiter: Limiter) -> PoolsConfig {
    let names = ["status", "position", "report", "billing-tally"];
    let least = [0.25, 0.125, 0.2, 0.25];
    let pools = names.iter().zip(least).enumerate().map(|(op, (name, least))| PoolConfig {
        name: (*name).into(),
        classes: vec![op],
        min_share: least,
        max_share: 1.0,
        weight: 1.0,
        reserve: if op == STATUS { 0.125 } else { 0.0 },
    });
    PoolsConfig { pools: pools.collect(), limiter }
}

/// Each pool has its part, no more and no less; nothing is lent.
fn fixed(parts: &[usize]) -> PoolsConfig {
    let mut setup = setup(Limiter::Fixed);
    for (pool, part) in setup.pools.iter_mut().zip(parts) {
        let part = *part as f64 / STEPS as f64;
        (pool.min_share, pool.max_share, pool.reserve) = (part, part, 0.0);
    }
    setup
}

/// All ways to give each of so many pools at least one step.
fn splits(pools: usize, steps: usize) -> Vec<Vec<usize>> {
    if pools == 1 {
        return vec![vec![steps]];
    }
    let mut all = Vec::new();
    for first in 1..=steps + 1 - pools {
        for mut rest in splits(pools - 1, steps - first) {
            rest.insert(0, first);
            all.push(rest);
        }
    }
    all
}

pub const LIMITERS: [(&str, Limiter); 5] = [
    ("lending, limits fixed", Limiter::Fixed),
    ("lending, AIMD", Limiter::Aimd { max_latency_ratio: 2.0 }),
    ("lending, gradient", Limiter::Gradient { tolerance: 1.5 }),
    ("lending, Vegas", Limiter::Vegas),
    ("lending, PID", Limiter::Pid { target_drop_ratio: 0.1 }),
];
/// The one that was chosen, by the figures.
pub const CHOSEN: usize = 2;

/// What a play came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Worth {
    /// Part of the status calls within their share that were answered within the objective.
    pub status_met: f64,
    /// Billed value of all that succeeded within its objective.
    pub billed: f64,
}

pub fn worth(day: &Day, played: &Played) -> Worth {
    let (mut status, mut met, mut billed) = (0.0, 0.0, 0.0);
    for ended in &played.ended {
        let class = &day.classes[ended.class];
        let in_time = ended.how == Answer::Succeeded && ended.at - ended.came <= class.objective;
        // What is past its customer's share is billed as the module is told.
        let part = if ended.in_share { 1.0 } else { OVER_SHARE };
        billed += if in_time { class.billed * part } else { 0.0 };
        if ended.class == STATUS && ended.in_share {
            status += 1.0;
            met += if in_time { 1.0 } else { 0.0 };
        }
    }
    Worth { status_met: if status > 0.0 { met / status } else { 1.0 }, billed }
}

#[derive(Clone, Debug, Serialize)]
pub struct Spread {
    pub mean: f64,
    pub least: f64,
    pub greatest: f64,
}

impl Spread {
    pub fn of(all: &[f64]) -> Spread {
        Spread {
            mean: all.iter().sum::<f64>() / all.len().max(1) as f64,
            least: all.iter().copied().fold(f64::INFINITY, f64::min),
            greatest: all.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        }
    }
}

#[derive(Clone, Debug, Serialize)]
pub struct Policy {
    pub policy: String,
    pub status_met: Spread,
    pub billed_share_of_best_fixed: Spread,
}

#[derive(Clone, Debug, Serialize)]
pub struct Case {
    pub case: String,
    pub policies: Vec<Policy>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub seeds: u64,
    pub seconds: u64,
    pub load: f64,
    pub cores: f64,
    pub chosen: String,
    /// At 110% of capacity, nothing else wrong.
    pub policies: Vec<Policy>,
    /// Days on which something goes wrong, over a quarter of the seeds.
    pub cases: Vec<Case>,
}

/// What goes wrong in the hard cases; from a third of the day on.
pub fn troubles(seconds: u64) -> Vec<(String, Vec<Trouble>)> {
    let length = seconds as i64 * SECOND;
    let (from, to) = (length / 3, length / 3 + (30 * SECOND).min(length / 3));
    let mut all = Vec::new();
    for (class, name) in [(STATUS, "status"), (TALLY, "billing-tally")] {
        for times in [2.0, 5.0, 20.0] {
            all.push((
                format!("{name} floods {times:.0} times"),
                vec![Trouble::Flood { class, times, from, to }],
            ));
        }
    }
    all.push(("the worker at 40%".into(), vec![Trouble::Slow { speed: 0.4, from, to }]));
    all.push((
        "a report costs 4 times".into(),
        vec![Trouble::Costs { class: 2, times: 4.0, from, to: length }],
    ));
    all.push(("calls below take 5 times".into(), vec![Trouble::Below { times: 5.0, from, to }]));
    all.push(("no tally, then again".into(), vec![Trouble::Silent { class: TALLY, from: 0, to }]));
    all
}

/// All policies on one day: in the order of `names`.
fn on_day(seed: u64, seconds: u64, troubles: &[Trouble]) -> Vec<Worth> {
    let day = day(seed, seconds, LOAD, troubles.to_vec());
    let comings = day.all();
    let run = |setup: &PoolsConfig| worth(&day, &play(&day, &comings, &machine(), setup, false));
    let mut all = vec![run(&PoolsConfig::default())];
    all.extend(LIMITERS.iter().map(|(_, limiter)| run(&setup(*limiter))));
    let (best, parts) = search(&day, &comings);
    all.push(best);
    // Tuned on the day of the next seed, calm.
    let other = self::day(seed + 1_000_003, seconds, LOAD, Vec::new());
    let (_, tuned) = search(&other, &other.all());
    all.push(run(&fixed(&tuned)));
    let _ = parts;
    all
}

/// The fixed split that bills most on a day.
fn search(day: &Day, comings: &[Coming]) -> (Worth, Vec<usize>) {
    let all = splits(4, STEPS)
        .into_iter()
        .map(|parts| (worth(day, &play(day, comings, &machine(), &fixed(&parts), false)), parts));
    all.max_by(|a, b| a.0.billed.total_cmp(&b.0.billed)).unwrap_or_default()
}

fn names() -> Vec<String> {
    let mut all = vec!["no pools".to_string()];
    all.extend(LIMITERS.iter().map(|(name, _)| name.to_string()));
    all.extend(["best fixed split".to_string(), "fixed split of another day".to_string()]);
    all
}

fn policies(days: &[Vec<Worth>]) -> Vec<Policy> {
    let names = names();
    let best = names.len() - 2;
    let each = names.iter().enumerate().map(|(at, name)| {
        let met: Vec<f64> = days.iter().map(|day| day[at].status_met).collect();
        let share: Vec<f64> = days.iter().map(|day| day[at].billed / day[best].billed.max(1e-9)).collect();
        Policy {
            policy: name.clone(),
            status_met: Spread::of(&met),
            billed_share_of_best_fixed: Spread::of(&share),
        }
    });
    each.collect()
}

/// Runs `many` jobs over the cores there are; results in order.
pub fn spread_out<T: Send>(many: usize, job: impl Fn(usize) -> T + Sync) -> Vec<T> {
    let (next, results) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(many.max(1));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let at = next.fetch_add(1, Ordering::Relaxed);
                if at >= many {
                    return;
                }
                let result = job(at);
                if let Ok(mut results) = results.lock() {
                    results.push((at, result));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_default();
    results.sort_by_key(|(at, _)| *at);
    results.into_iter().map(|(_, result)| result).collect()
}

pub fn compare(seeds: u64, seconds: u64) -> Report {
    let cases = troubles(seconds);
    let few = (seeds / 4).max(1) as usize;
    let (seeds, calm) = (seeds as usize, Vec::new());
    let all = spread_out(seeds + cases.len() * few, |at| match at.checked_sub(seeds) {
        None => on_day(at as u64 + 1, seconds, &calm),
        Some(at) => on_day((at % few) as u64 + 1, seconds, &cases[at / few].1),
    });
    let (plain, rest) = all.split_at(seeds);
    let cases = cases.iter().zip(rest.chunks(few));
    Report {
        seeds: seeds as u64,
        seconds,
        load: LOAD,
        cores: CORES,
        chosen: LIMITERS[CHOSEN].0.into(),
        policies: policies(plain),
        cases: cases.map(|((case, _), days)| Case { case: case.clone(), policies: policies(days) }).collect(),
    }
}

pub fn table(report: &Report) -> String {
    let mut out = format!(
        "{} seeds of {} s at {:.0}% of {} cores; chosen: {}\n",
        report.seeds,
        report.seconds,
        report.load * 100.0,
        report.cores,
        report.chosen
    );
    let mut part = |title: &str, policies: &[Policy]| {
        out += &format!("\n{title}\n| policy | status met: mean (least) | billed, of the best fixed split: mean (least to greatest) |\n| --- | --- | --- |\n");
        for policy in policies {
            let (met, share) = (&policy.status_met, &policy.billed_share_of_best_fixed);
            out += &format!(
                "| {} | {:.4} ({:.4}) | {:.3} ({:.3} to {:.3}) |\n",
                policy.policy, met.mean, met.least, share.mean, share.least, share.greatest
            );
        }
    };
    part("At 110% of capacity", &report.policies);
    for case in &report.cases {
        part(&case.case, &case.policies);
    }
    out
}

/// Limits, places in use and latencies over a day on which the worker falls to 40% for 30 s, under the chosen limiter.
pub fn plot(path: &Path, seconds: u64) -> Result<(), String> {
    let (_, slow) = troubles(seconds).remove(6);
    let day = day(1, seconds, LOAD, slow);
    let comings = day.all();
    let played = play(&day, &comings, &machine(), &setup(LIMITERS[CHOSEN].1), true);
    draw(path, &day, &played).map_err(|error| error.to_string())
}

/// The 99th percentile of latency for each second and class, in milliseconds.
fn latencies(day: &Day, played: &Played, class: usize) -> Vec<(f64, f64)> {
    let mut seconds: Vec<Histogram<u64>> = Vec::new();
    for ended in played.ended.iter().filter(|ended| ended.class == class && ended.how == Answer::Succeeded) {
        let at = (ended.came / SECOND) as usize;
        while seconds.len() <= at && seconds.len() < (day.length / SECOND) as usize + 1 {
            let Ok(histogram) = Histogram::new(3) else { return Vec::new() };
            seconds.push(histogram);
        }
        if let Some(second) = seconds.get_mut(at) {
            let _ = second.record((ended.at - ended.came).max(1) as u64);
        }
    }
    let known = seconds.iter().enumerate().filter(|(_, second)| !second.is_empty());
    known.map(|(at, second)| (at as f64, second.value_at_quantile(0.99) as f64 / 10.0)).collect()
}

fn draw(path: &Path, day: &Day, played: &Played) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (1000, 900)).into_drawing_area();
    root.fill(&WHITE)?;
    let parts = root.split_evenly((3, 1));
    let colours = [RED, BLUE, GREEN, MAGENTA, BLACK];
    let seconds = day.length as f64 / SECOND as f64;
    let series =
        |value: fn(&cypresscleat_concurrency::PoolSnapshot) -> f64, pool: usize| -> Vec<(f64, f64)> {
            let at = |moment: &crate::drive::Moment| moment.at as f64 / SECOND as f64;
            played.moments.iter().filter_map(|m| Some((at(m), value(m.pools.get(pool)?)))).collect()
        };
    type Line = Vec<(f64, f64)>;
    let charts: [(&str, Vec<Line>); 3] = [
        ("limit of each pool, places", (0..4).map(|pool| series(|view| view.limit, pool)).collect()),
        ("places in use", (0..4).map(|pool| series(|view| view.running as f64, pool)).collect()),
        (
            "99th percentile of latency, ms, by second of arrival",
            (0..4).map(|class| latencies(day, played, class)).collect(),
        ),
    ];
    for (area, (title, lines)) in parts.iter().zip(charts) {
        let most = lines.iter().flatten().map(|point| point.1).fold(1.0, f64::max) * 1.05;
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..seconds, 0.0..most)?;
        chart.configure_mesh().x_desc("s").draw()?;
        for (at, line) in lines.into_iter().enumerate() {
            let colour = colours[at % colours.len()];
            let drawn = chart.draw_series(LineSeries::new(line, colour.stroke_width(2)))?;
            let name = day.classes[at].name;
            drawn.label(name).legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    }
    root.present()?;
    Ok(())
}
