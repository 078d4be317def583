//! The experiment on pools: a worker at 110% of its capacity, without and with faults. Compares no pools, pools under each limiter,
//! the best fixed split found by search on the same workload, and a fixed split tuned on another workload.

use crate::arrivals::{Class, Fault, SimulatedRequest, Workload, SECOND};
use crate::drive::{simulate, Response, SimulationRun, OVER_QUOTA_SHARE};
use crate::worker::Machine;
use cypresscleat_concurrency::limit::Limiter;
use cypresscleat_concurrency::{PoolConfig, PoolsConfig};
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::Serialize;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Cores of the machine, and the load as a multiple of their capacity.
const CORES: f64 = 8.0;
const LOAD: f64 = 1.10;
/// Fixed splits are searched in steps of 1/`SPLIT_STEPS` of the slots.
const SPLIT_STEPS: usize = 8;

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

/// A workload at `load` times the capacity; reading counts as work.
pub fn workload(seed: u64, seconds: u64, load: f64, faults: Vec<Fault>) -> Workload {
    let classes = classes();
    let work: f64 = classes.iter().map(|class| class.part * class.work).sum();
    let rate = load * CORES * SECOND as f64 / (work + machine().reading);
    Workload { classes, rate, length: seconds as i64 * SECOND, faults, seed }
}

/// The pools of the experiment: one for each request class; the pool of the cheapest class has a reserve.
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

/// Each pool has a fixed share of the slots and lends none.
fn fixed(parts: &[usize]) -> PoolsConfig {
    let mut setup = setup(Limiter::Fixed);
    for (pool, part) in setup.pools.iter_mut().zip(parts) {
        let part = *part as f64 / SPLIT_STEPS as f64;
        (pool.min_share, pool.max_share, pool.reserve) = (part, part, 0.0);
    }
    setup
}

/// All ways to split `steps` among `pools`, with at least one step for each pool.
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
/// Index of the limiter that was chosen by the results of this experiment.
pub const CHOSEN_LIMITER: usize = 2;

/// Score of a simulation run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Score {
    /// Share of the status requests within quota that succeeded within their latency objective.
    pub status_met: f64,
    /// Billed value of all requests that succeeded within their latency objective.
    pub billed: f64,
}

pub fn score(workload: &Workload, result: &SimulationRun) -> Score {
    let (mut status, mut met, mut billed) = (0.0, 0.0, 0.0);
    for completed in &result.completed {
        let class = &workload.classes[completed.class];
        let in_time = completed.response == Response::Succeeded
            && completed.at - completed.arrived_at <= class.objective;
        // A request over its tenant's quota is billed at the share that the scheduler's settings have.
        let part = if completed.within_quota { 1.0 } else { OVER_QUOTA_SHARE };
        billed += if in_time { class.billed * part } else { 0.0 };
        if completed.class == STATUS && completed.within_quota {
            status += 1.0;
            met += if in_time { 1.0 } else { 0.0 };
        }
    }
    Score { status_met: if status > 0.0 { met / status } else { 1.0 }, billed }
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
    /// At 110% of capacity, without faults.
    pub policies: Vec<Policy>,
    /// With faults, over a quarter of the seeds.
    pub cases: Vec<Case>,
}

/// The faults of each case, from a third of the workload's length on.
pub fn faults(seconds: u64) -> Vec<(String, Vec<Fault>)> {
    let length = seconds as i64 * SECOND;
    let (from, to) = (length / 3, length / 3 + (30 * SECOND).min(length / 3));
    let mut all = Vec::new();
    for (class, name) in [(STATUS, "status"), (TALLY, "billing-tally")] {
        for factor in [2.0, 5.0, 20.0] {
            all.push((
                format!("{name} floods {factor:.0} times"),
                vec![Fault::Flood { class, factor, from, to }],
            ));
        }
    }
    all.push(("the worker at 40%".into(), vec![Fault::SlowWorker { speed: 0.4, from, to }]));
    all.push((
        "a report costs 4 times".into(),
        vec![Fault::HigherCost { class: 2, factor: 4.0, from, to: length }],
    ));
    all.push(("calls below take 5 times".into(), vec![Fault::SlowDownstream { factor: 5.0, from, to }]));
    all.push(("no tally, then again".into(), vec![Fault::NoTraffic { class: TALLY, from: 0, to }]));
    all
}

/// Scores of all policies on one workload, in the order of `policy_names`.
fn score_policies(seed: u64, seconds: u64, faults: &[Fault]) -> Vec<Score> {
    let workload = workload(seed, seconds, LOAD, faults.to_vec());
    let requests = workload.all();
    let run =
        |setup: &PoolsConfig| score(&workload, &simulate(&workload, &requests, &machine(), setup, false));
    let mut all = vec![run(&PoolsConfig::default())];
    all.extend(LIMITERS.iter().map(|(_, limiter)| run(&setup(*limiter))));
    let (best, parts) = search(&workload, &requests);
    all.push(best);
    // Tuned on a workload of another seed, without faults.
    let other = self::workload(seed + 1_000_003, seconds, LOAD, Vec::new());
    let (_, tuned) = search(&other, &other.all());
    all.push(run(&fixed(&tuned)));
    let _ = parts;
    all
}

/// The fixed split with the highest billed value on a workload.
fn search(workload: &Workload, requests: &[SimulatedRequest]) -> (Score, Vec<usize>) {
    let all = splits(4, SPLIT_STEPS).into_iter().map(|parts| {
        (score(workload, &simulate(workload, requests, &machine(), &fixed(&parts), false)), parts)
    });
    all.max_by(|a, b| a.0.billed.total_cmp(&b.0.billed)).unwrap_or_default()
}

fn policy_names() -> Vec<String> {
    let mut all = vec!["no pools".to_string()];
    all.extend(LIMITERS.iter().map(|(name, _)| name.to_string()));
    all.extend(["best fixed split".to_string(), "fixed split of another day".to_string()]);
    all
}

fn policies(workloads: &[Vec<Score>]) -> Vec<Policy> {
    let names = policy_names();
    let best = names.len() - 2;
    let each = names.iter().enumerate().map(|(at, name)| {
        let met: Vec<f64> = workloads.iter().map(|workload| workload[at].status_met).collect();
        let share: Vec<f64> =
            workloads.iter().map(|workload| workload[at].billed / workload[best].billed.max(1e-9)).collect();
        Policy {
            policy: name.clone(),
            status_met: Spread::of(&met),
            billed_share_of_best_fixed: Spread::of(&share),
        }
    });
    each.collect()
}

/// Runs `job_count` jobs in parallel on all cores; returns the results in order.
pub fn run_parallel<T: Send>(job_count: usize, job: impl Fn(usize) -> T + Sync) -> Vec<T> {
    let (next, results) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(job_count.max(1));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let at = next.fetch_add(1, Ordering::Relaxed);
                if at >= job_count {
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
    let cases = faults(seconds);
    let case_seeds = (seeds / 4).max(1) as usize;
    let (seeds, calm) = (seeds as usize, Vec::new());
    let all = run_parallel(seeds + cases.len() * case_seeds, |at| match at.checked_sub(seeds) {
        None => score_policies(at as u64 + 1, seconds, &calm),
        Some(at) => score_policies((at % case_seeds) as u64 + 1, seconds, &cases[at / case_seeds].1),
    });
    let (plain, rest) = all.split_at(seeds);
    let cases = cases.iter().zip(rest.chunks(case_seeds));
    Report {
        seeds: seeds as u64,
        seconds,
        load: LOAD,
        cores: CORES,
        chosen: LIMITERS[CHOSEN_LIMITER].0.into(),
        policies: policies(plain),
        cases: cases
            .map(|((case, _), workloads)| Case { case: case.clone(), policies: policies(workloads) })
            .collect(),
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
        out += &format!("\n{title}\n| policy | status met: mean (minimum) | billed, relative to the best fixed split: mean (minimum to maximum) |\n| --- | --- | --- |\n");
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

/// Plots limits, slots in use and latencies under the chosen limiter, while the worker falls to 40% of its speed for 30 s.
pub fn plot(path: &Path, seconds: u64) -> Result<(), String> {
    let (_, slow) = faults(seconds).remove(6);
    let workload = workload(1, seconds, LOAD, slow);
    let requests = workload.all();
    let result = simulate(&workload, &requests, &machine(), &setup(LIMITERS[CHOSEN_LIMITER].1), true);
    draw(path, &workload, &result).map_err(|error| error.to_string())
}

/// The 99th percentile of latency for each second and class, in milliseconds.
fn latencies(workload: &Workload, result: &SimulationRun, class: usize) -> Vec<(f64, f64)> {
    let mut seconds: Vec<Histogram<u64>> = Vec::new();
    for completed in result
        .completed
        .iter()
        .filter(|completed| completed.class == class && completed.response == Response::Succeeded)
    {
        let at = (completed.arrived_at / SECOND) as usize;
        while seconds.len() <= at && seconds.len() < (workload.length / SECOND) as usize + 1 {
            let Ok(histogram) = Histogram::new(3) else { return Vec::new() };
            seconds.push(histogram);
        }
        if let Some(second) = seconds.get_mut(at) {
            let _ = second.record((completed.at - completed.arrived_at).max(1) as u64);
        }
    }
    let known = seconds.iter().enumerate().filter(|(_, second)| !second.is_empty());
    known.map(|(at, second)| (at as f64, second.value_at_quantile(0.99) as f64 / 10.0)).collect()
}

fn draw(path: &Path, workload: &Workload, result: &SimulationRun) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (1000, 900)).into_drawing_area();
    root.fill(&WHITE)?;
    let parts = root.split_evenly((3, 1));
    let colours = [RED, BLUE, GREEN, MAGENTA, BLACK];
    let seconds = workload.length as f64 / SECOND as f64;
    let series =
        |value: fn(&cypresscleat_concurrency::PoolSnapshot) -> f64, pool: usize| -> Vec<(f64, f64)> {
            let at = |sample: &crate::drive::PoolSample| sample.at as f64 / SECOND as f64;
            result.samples.iter().filter_map(|m| Some((at(m), value(m.pools.get(pool)?)))).collect()
        };
    type Line = Vec<(f64, f64)>;
    let charts: [(&str, Vec<Line>); 3] = [
        ("limit of each pool, slots", (0..4).map(|pool| series(|view| view.limit, pool)).collect()),
        ("slots in use", (0..4).map(|pool| series(|view| view.running as f64, pool)).collect()),
        (
            "99th percentile of latency, ms, by second of arrival",
            (0..4).map(|class| latencies(workload, result, class)).collect(),
        ),
    ];
    for (area, (title, lines)) in parts.iter().zip(charts) {
        let max_value = lines.iter().flatten().map(|point| point.1).fold(1.0, f64::max) * 1.05;
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..seconds, 0.0..max_value)?;
        chart.configure_mesh().x_desc("s").draw()?;
        for (at, line) in lines.into_iter().enumerate() {
            let colour = colours[at % colours.len()];
            let drawn = chart.draw_series(LineSeries::new(line, colour.stroke_width(2)))?;
            let name = workload.classes[at].name;
            drawn.label(name).legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    }
    root.present()?;
    Ok(())
}
