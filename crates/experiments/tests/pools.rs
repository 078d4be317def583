//! Pools in the simulation: properties, and comparison with recorded decisions of an earlier version.

use cypresscleat_concurrency::limit::Limiter;
use cypresscleat_concurrency::{PoolConfig, PoolsConfig, MAX_STARVATION};
use cypresscleat_experiments::arrivals::{Fault, Workload, SECOND};
use cypresscleat_experiments::drive::{settings, simulate, Response, SimulationRun};
use cypresscleat_experiments::pools::{
    faults, machine, run_parallel, score, setup, workload, CHOSEN_LIMITER, LIMITERS, STATUS, TALLY,
};
use cypresscleat_experiments::worker::Machine;
use cypresscleat_scheduler::*;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Digests of all commands, with their times, that the scheduler of 0d9049f gave on these workloads without pools, recorded from its
/// src/brain.rs under this driver. The digests of c6a67d9, before there were pools, were here until the scheduler's own decisions changed;
/// with the scheduler of dceb154 in the tree of 2585bcd they still held, so neither the driver nor the pools changed a decision.
const EXPECTED_DIGESTS: [u64; 11] = [
    6274479465246210350,
    3086874738396260364,
    4859056517750550287,
    11566383774731904151,
    9397090542450246183,
    9846421035756745984,
    3353097199269424973,
    1423612193585259165,
    5614086666352299646,
    6027853088055202516,
    8054613409279077559,
];

/// Without pools the same events give exactly the recorded commands.
#[test]
fn without_pools_decisions_match_the_recorded_digests() {
    let workloads: Vec<_> =
        [Vec::new()].into_iter().chain(faults(30).into_iter().map(|(_, workload)| workload)).collect();
    let now = run_parallel(workloads.len(), |at| {
        let workload = workload(at as u64 + 1, 30, [1.1, 0.7, 1.6][at % 3], workloads[at].clone());
        simulate(&workload, &workload.all(), &machine(), &PoolsConfig::default(), false).digest
    });
    assert_eq!(now, EXPECTED_DIGESTS);
}

fn chosen() -> PoolsConfig {
    setup(LIMITERS[CHOSEN_LIMITER].1)
}

fn simulate_workload(workload: &Workload, setup: &PoolsConfig) -> SimulationRun {
    simulate(workload, &workload.all(), &machine(), setup, true)
}

/// A flood of one class takes no capacity from the others: status requests meet their latency objective under every fault.
#[test]
fn status_requests_meet_their_objective_under_every_fault() {
    let cases = faults(45);
    let met = run_parallel(cases.len(), |at| {
        let workload = workload(7, 45, 1.1, cases[at].1.clone());
        score(&workload, &simulate_workload(&workload, &chosen())).status_met
    });
    for ((case, _), met) in cases.iter().zip(met) {
        assert!(met >= 0.99, "{case}: {met}");
    }
}

/// No limiter lowers a limit at light load, where latency changes are only noise.
#[test]
fn at_light_load_no_limit_falls() {
    for (name, limiter) in LIMITERS {
        let workload = workload(3, 40, 0.3, Vec::new());
        let result = simulate_workload(&workload, &setup(limiter));
        for sample in &result.samples[1..] {
            for view in &sample.pools[..4] {
                assert!(view.limit >= 7.9, "{name}, {} at {} s: {view:?}", view.name, sample.at / SECOND);
            }
        }
        assert!(score(&workload, &result).status_met > 0.999);
    }
}

/// At 40% of the worker's speed, limits shrink, every pool makes progress, and the limits recover afterwards.
#[test]
fn limits_shrink_with_a_slow_worker_and_recover() {
    let (from, to) = (20 * SECOND, 50 * SECOND);
    let workload = workload(5, 90, 1.1, vec![Fault::SlowWorker { speed: 0.4, from, to }]);
    let result = simulate_workload(&workload, &chosen());
    let sum = |from: Time, to: Time| {
        let samples: Vec<_> =
            result.samples.iter().filter(|sample| (from..to).contains(&sample.at)).collect();
        let all: f64 = samples.iter().flat_map(|sample| &sample.pools[..4]).map(|view| view.limit).sum();
        all / samples.len() as f64
    };
    let (before, during, after) =
        (sum(10 * SECOND, from), sum(from + 5 * SECOND, to), sum(80 * SECOND, 90 * SECOND));
    assert!(during < before * 0.9, "{before} before, {during} during");
    assert!(after > during && after > before * 0.9, "{during} during, {after} after");
    for class in 0..workload.classes.len() {
        let served = result.completed.iter().filter(|completed| {
            completed.class == class
                && completed.response == Response::Succeeded
                && (from + SECOND..to).contains(&completed.at)
        });
        assert!(served.count() > 10, "{} starves", workload.classes[class].name);
    }
}

/// A random machine, pools and workload: small machines, more pools than cores, floods, slow periods, every limiter.
fn any_workload(seed: u64) -> (Workload, Machine, PoolsConfig) {
    let mut chance = Pcg64Mcg::new(u128::from(seed) * 2 + 1);
    let cores = [1.0, 2.0, 4.0, 8.0][chance.random_range(0..4)];
    let machine = Machine { cores, ..Machine::default() };
    let length = 5 * SECOND;
    let mut faults = Vec::new();
    for _ in 0..chance.random_range(0..3) {
        let (from, class) = (chance.random_range(0..length / 2), chance.random_range(0..4));
        let to = from + chance.random_range(SECOND / 2..length / 2);
        faults.push(match chance.random_range(0..5) {
            0 => Fault::Flood { class, factor: chance.random_range(2.0..10.0), from, to },
            1 => Fault::SlowWorker { speed: chance.random_range(0.3..1.0), from, to },
            2 => Fault::HigherCost { class, factor: chance.random_range(2.0..4.0), from, to },
            3 => Fault::SlowDownstream { factor: chance.random_range(2.0..8.0), from, to },
            _ => Fault::NoTraffic { class, from, to },
        });
    }
    let mut workload = workload(seed, 5, 1.0, faults);
    workload.rate *= chance.random_range(0.4..2.5) * cores / 8.0;
    // Each class is in one of the pools or in none; pools without a class are left out.
    let many = chance.random_range(1..=4);
    let mut pools: Vec<PoolConfig> = Vec::new();
    for at in 0..many {
        let least = chance.random_range(0.0..1.0 / many as f64);
        pools.push(PoolConfig {
            name: format!("p{at}"),
            classes: Vec::new(),
            min_share: least,
            max_share: chance.random_range(least.max(0.3)..=1.0),
            weight: chance.random_range(0.2..5.0),
            reserve: if chance.random_bool(0.4) { least * chance.random_range(0.0..=1.0) } else { 0.0 },
        });
    }
    for op in 0..4 {
        let at = chance.random_range(0..=many);
        if let Some(pool) = pools.get_mut(at) {
            pool.classes.push(op);
        }
    }
    pools.retain(|pool| !pool.classes.is_empty());
    let limiter = LIMITERS[chance.random_range(0..LIMITERS.len())].1;
    (workload, machine, PoolsConfig { pools, limiter })
}

/// The documented bound on starvation: `MAX_STARVATION` plus, for each pool, the longest time for which a slot was held. One more such
/// time covers the machine's reading and the scheduler's own timer.
#[test]
fn no_pool_with_work_waits_past_the_bound_in_a_thousand_workloads() {
    let over = run_parallel(1000, |at| {
        let seed = at as u64 + 1;
        let (workload, machine, setup) = any_workload(seed);
        assert_eq!(setup.validate(4), Ok(()), "seed {seed}");
        let result = simulate(&workload, &workload.all(), &machine, &setup, false);
        let bound =
            MAX_STARVATION + (setup.pools.len() + 1) as Time * result.longest_slot_hold.max(SECOND / 10);
        let longest = result.pool_waits.iter().copied().max().unwrap_or(0);
        (longest > bound).then(|| format!("seed {seed}: {longest} past {bound}, {setup:?}"))
    });
    let over: Vec<String> = over.into_iter().flatten().collect();
    assert!(over.is_empty(), "{} workloads: {:?}", over.len(), &over[..over.len().min(3)]);
}

/// Two pools with equal weights and unequal run times get equal numbers of slots while both have queued work.
#[test]
fn equal_weights_give_equal_slots() {
    let mut workload = workload(9, 40, 1.0, Vec::new());
    (workload.classes[1].part, workload.classes[2].part, workload.classes[STATUS].part) = (0.0, 0.0, 0.5);
    (workload.classes[STATUS].work, workload.classes[STATUS].objective) = (400.0, 5000);
    workload.classes[STATUS].timeout = 20_000;
    (workload.classes[TALLY].work, workload.classes[TALLY].part) = (1600.0, 0.5);
    workload.rate = 3.0 * 8.0 * SECOND as f64 / 1000.0;
    let pool = |name: &str, op| PoolConfig {
        name: name.into(),
        classes: vec![op],
        min_share: 0.0,
        max_share: 1.0,
        weight: 1.0,
        reserve: 0.0,
    };
    let setup =
        PoolsConfig { pools: vec![pool("short", STATUS), pool("long", TALLY)], limiter: Limiter::Fixed };
    let result = simulate_workload(&workload, &setup);
    let mean = |at: usize| {
        let all: Vec<f64> =
            result.samples[5..].iter().map(|sample| sample.pools[at].running as f64).collect();
        all.iter().sum::<f64>() / all.len() as f64
    };
    let (short, long) = (mean(0), mean(1));
    assert!((short / long - 1.0).abs() < 0.25, "{short:.2} and {long:.2} slots");
}

/// Records the scheduler's commands with their slots.
#[derive(Default)]
struct RecordedCommands(Vec<String>);

impl Host for RecordedCommands {
    fn run(&mut self, inv: RequestSlot) {
        self.0.push(format!("run {inv}"));
    }
    fn reject(&mut self, inv: RequestSlot, _: Rejection) {
        self.0.push(format!("throttle {inv}"));
    }
    fn fail(&mut self, inv: RequestSlot, _: FailReason) {
        self.0.push(format!("error {inv}"));
    }
    fn stop(&mut self, _: RequestSlot) {}
    fn call(&mut self, _: RequestSlot, _: Time) {}
    fn skip_call(&mut self, _: RequestSlot) {}
    fn retain_for_retries(&mut self, _: RequestSlot, _: Time) {}
    fn replay_result(&mut self, _: RequestSlot) {}
    fn set_health(&mut self, _: bool, _: bool) {}
    fn send_load_feedback(&mut self, _: f64) {}
    fn close_idle_connections(&mut self, _: Time) {}
    fn set_timer(&mut self, _: Time) {}
    fn log(&mut self, event: &SchedulerEvent) {
        self.0.push(event.to_string());
    }
    fn release(&mut self, _: RequestSlot) {}
}

fn scheduler(setup: &PoolsConfig) -> (cypresscleat_scheduler::Scheduler, RecordedCommands) {
    let workload = workload(1, 1, 1.0, Vec::new());
    let machine = Machine { cores: 4.0, ..Machine::default() };
    let mut commands = RecordedCommands::default();
    (
        cypresscleat_scheduler::Scheduler::start(0, settings(&workload, &machine, setup), &mut commands),
        commands,
    )
}

fn arrival(inv: RequestSlot, op: usize) -> Arrival {
    Arrival { slot: inv, class: op, expected_work: Some(30.0), memory_kb: 8.0, ..Arrival::default() }
}

/// A reserved slot is never lent: with all other slots in use, a status request starts at once.
#[test]
fn a_reserved_slot_is_available_at_once() {
    let (mut scheduler, mut commands) = scheduler(&chosen());
    for inv in 0..8 {
        scheduler.handle_arrival(1, arrival(inv, TALLY), &mut commands);
    }
    let running = commands.0.iter().filter(|line| line.starts_with("run")).count();
    assert_eq!(running, 3, "one of four slots is reserved: {:?}", commands.0);
    scheduler.handle_arrival(2, arrival(20, STATUS), &mut commands);
    assert_eq!(commands.0.last().map(String::as_str), Some("run 20"));
    let (mut scheduler, mut commands) = self::scheduler(&PoolsConfig::default());
    for inv in 0..8 {
        scheduler.handle_arrival(1, arrival(inv, TALLY), &mut commands);
    }
    scheduler.handle_arrival(2, arrival(20, STATUS), &mut commands);
    assert_ne!(commands.0.last().map(String::as_str), Some("run 20"), "without pools no slot is reserved");
}

/// A lending pool gets back the next slot that is released.
#[test]
fn lent_slots_are_returned_first() {
    let mut setup = chosen();
    setup.pools[STATUS].reserve = 0.0;
    let (mut scheduler, mut commands) = scheduler(&setup);
    for inv in 0..6 {
        scheduler.handle_arrival(1, arrival(inv, TALLY), &mut commands);
    }
    assert_eq!(commands.0.iter().filter(|line| line.starts_with("run")).count(), 4, "all are lent");
    scheduler.handle_arrival(2, arrival(20, STATUS), &mut commands);
    let ran: RequestSlot =
        commands.0[0].strip_prefix("run ").and_then(|word| word.parse().ok()).expect("a run");
    scheduler.handle_run_completed(30, ran, Outcome::Succeeded, &mut commands);
    assert_eq!(
        commands.0.last().map(String::as_str),
        Some("run 20"),
        "ahead of the tally requests that arrived earlier"
    );
}

/// Pools are added, removed and renamed while their requests queue and run: none is lost or counted twice.
#[test]
fn pools_change_while_their_requests_queue_and_run() {
    let (mut scheduler, mut commands) = scheduler(&chosen());
    for inv in 0..12 {
        scheduler.handle_arrival(1, arrival(inv, [TALLY, STATUS, 2][inv % 3]), &mut commands);
    }
    let mut setups = vec![PoolsConfig::default(), chosen()];
    setups[1].pools.remove(2);
    setups[1].pools[0].name = "renamed".into();
    setups.push(chosen());
    for (at, setup) in setups.iter().enumerate() {
        scheduler.set_pools(10 + at as Time, setup, &mut commands);
    }
    let view = scheduler.pools().snapshots();
    let (held, running): (usize, usize) =
        view.iter().fold((0, 0), |sum, pool| (sum.0 + pool.queued, sum.1 + pool.running));
    let count = |word: &str, commands: &RecordedCommands| {
        commands.0.iter().filter(|line| line.starts_with(word)).count()
    };
    let ran: Vec<RequestSlot> =
        commands.0.iter().filter_map(|line| line.strip_prefix("run ")?.parse().ok()).collect();
    assert_eq!((held, running), (12 - ran.len() - count("throttle", &commands), ran.len()));
    for inv in ran {
        scheduler.handle_run_completed(50, inv, Outcome::Succeeded, &mut commands);
    }
    for now in 1..400 {
        let runs: Vec<RequestSlot> =
            commands.0.drain(..).filter_map(|line| line.strip_prefix("run ")?.parse().ok()).collect();
        for inv in runs {
            scheduler.handle_run_completed(60 + now, inv, Outcome::Succeeded, &mut commands);
        }
    }
    assert!(
        scheduler.pools().snapshots().iter().all(|pool| (pool.queued, pool.running) == (0, 0)),
        "{:?}",
        scheduler.pools().snapshots()
    );
}

/// The path of the command: results for each policy, a table, a plot.
#[test]
fn the_experiment_writes_its_report_and_plot() {
    let report = cypresscleat_experiments::pools::compare(1, 6);
    assert_eq!(report.policies.len(), 8);
    let best = &report.policies[6];
    assert_eq!((best.policy.as_str(), best.billed_share_of_best_fixed.mean), ("best fixed split", 1.0));
    assert!(cypresscleat_experiments::pools::table(&report).contains("| lending, gradient |"));
    let path = std::env::temp_dir().join(format!("cypresscleat-plot-{}.svg", std::process::id()));
    cypresscleat_experiments::pools::plot(&path, 20).expect("a plot");
    let plot = std::fs::read_to_string(&path).expect("a file");
    assert!(
        plot.contains("<svg") && plot.contains("billing-tally") && plot.matches("<polyline").count() >= 10
    );
    let _ = std::fs::remove_file(&path);
}
