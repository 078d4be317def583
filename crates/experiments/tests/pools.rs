//! The pools on the model, by properties and by the earlier version's own answers.

use cypresscleat_concurrency::limit::Limiter;
use cypresscleat_concurrency::{PoolConfig, PoolsConfig, MAX_STARVATION};
use cypresscleat_experiments::arrivals::{Day, Trouble, SECOND};
use cypresscleat_experiments::drive::{play, settings, Answer, Played};
use cypresscleat_experiments::pools::{
    day, machine, setup, spread_out, troubles, worth, CHOSEN, LIMITERS, STATUS, TALLY,
};
use cypresscleat_experiments::worker::Machine;
use cypresscleat_scheduler::*;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// What the module of 0d9049f asked for on these days without pools: digests of every wish with its time, recorded from its src/brain.rs
/// under this same driver. Those of c6a67d9, before there were pools, stood here until the module's own decisions changed; with the module
/// of dceb154 put into the tree of 2585bcd they still held, so neither the driver nor the pools moved anything.
const BEFORE: [u64; 11] = [
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

/// Without pools nothing has changed: the same events give the same wishes, to the last.
#[test]
fn without_pools_the_module_decides_as_before() {
    let days: Vec<_> = [Vec::new()].into_iter().chain(troubles(30).into_iter().map(|(_, day)| day)).collect();
    let now = spread_out(days.len(), |at| {
        let day = day(at as u64 + 1, 30, [1.1, 0.7, 1.6][at % 3], days[at].clone());
        play(&day, &day.all(), &machine(), &PoolsConfig::default(), false).digest
    });
    assert_eq!(now, BEFORE);
}

fn chosen() -> PoolsConfig {
    setup(LIMITERS[CHOSEN].1)
}

fn played(day: &Day, setup: &PoolsConfig) -> Played {
    play(day, &day.all(), &machine(), setup, true)
}

/// A flood of a class takes nothing of the others: the cheapest calls are answered in time, whatever floods.
#[test]
fn the_cheapest_calls_live_through_every_hard_case() {
    let cases = troubles(45);
    let met = spread_out(cases.len(), |at| {
        let day = day(7, 45, 1.1, cases[at].1.clone());
        worth(&day, &played(&day, &chosen())).status_met
    });
    for ((case, _), met) in cases.iter().zip(met) {
        assert!(met >= 0.99, "{case}: {met}");
    }
}

/// Limits that lower themselves at light load chase their own noise: none may.
#[test]
fn at_light_load_no_limit_falls() {
    for (name, limiter) in LIMITERS {
        let day = day(3, 40, 0.3, Vec::new());
        let played = played(&day, &setup(limiter));
        for moment in &played.moments[1..] {
            for view in &moment.pools[..4] {
                assert!(view.limit >= 7.9, "{name}, {} at {} s: {view:?}", view.name, moment.at / SECOND);
            }
        }
        assert!(worth(&day, &played).status_met > 0.999);
    }
}

/// A worker at 40% of its speed: limits shrink, every pool goes on, and they come back.
#[test]
fn limits_shrink_with_a_slow_worker_and_come_back() {
    let (from, to) = (20 * SECOND, 50 * SECOND);
    let day = day(5, 90, 1.1, vec![Trouble::Slow { speed: 0.4, from, to }]);
    let played = played(&day, &chosen());
    let sum = |from: Time, to: Time| {
        let moments: Vec<_> =
            played.moments.iter().filter(|moment| (from..to).contains(&moment.at)).collect();
        let all: f64 = moments.iter().flat_map(|moment| &moment.pools[..4]).map(|view| view.limit).sum();
        all / moments.len() as f64
    };
    let (before, during, after) =
        (sum(10 * SECOND, from), sum(from + 5 * SECOND, to), sum(80 * SECOND, 90 * SECOND));
    assert!(during < before * 0.9, "{before} before, {during} during");
    assert!(after > during && after > before * 0.9, "{during} during, {after} after");
    for class in 0..day.classes.len() {
        let served = played.ended.iter().filter(|ended| {
            ended.class == class && ended.how == Answer::Succeeded && (from + SECOND..to).contains(&ended.at)
        });
        assert!(served.count() > 10, "{} starves", day.classes[class].name);
    }
}

/// Any setup on any day: small machines, more pools than cores, floods, slow spells, every limiter.
fn any_day(seed: u64) -> (Day, Machine, PoolsConfig) {
    let mut chance = Pcg64Mcg::new(u128::from(seed) * 2 + 1);
    let cores = [1.0, 2.0, 4.0, 8.0][chance.random_range(0..4)];
    let machine = Machine { cores, ..Machine::default() };
    let length = 5 * SECOND;
    let mut troubles = Vec::new();
    for _ in 0..chance.random_range(0..3) {
        let (from, class) = (chance.random_range(0..length / 2), chance.random_range(0..4));
        let to = from + chance.random_range(SECOND / 2..length / 2);
        troubles.push(match chance.random_range(0..5) {
            0 => Trouble::Flood { class, times: chance.random_range(2.0..10.0), from, to },
            1 => Trouble::Slow { speed: chance.random_range(0.3..1.0), from, to },
            2 => Trouble::Costs { class, times: chance.random_range(2.0..4.0), from, to },
            3 => Trouble::Below { times: chance.random_range(2.0..8.0), from, to },
            _ => Trouble::Silent { class, from, to },
        });
    }
    let mut day = day(seed, 5, 1.0, troubles);
    day.rate *= chance.random_range(0.4..2.5) * cores / 8.0;
    // Each class in one of the pools, some of which stay empty and are left out; or in none.
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
    (day, machine, PoolsConfig { pools, limiter })
}

/// The stated bound: patience, and for each pool the longest time for which a place was held, here with what keeps all
/// from starting besides: a machine that reads, and the module's own timer.
#[test]
fn no_pool_with_work_waits_past_the_bound_on_a_thousand_days() {
    let over = spread_out(1000, |at| {
        let seed = at as u64 + 1;
        let (day, machine, setup) = any_day(seed);
        assert_eq!(setup.validate(4), Ok(()), "seed {seed}");
        let played = play(&day, &day.all(), &machine, &setup, false);
        let bound = MAX_STARVATION + (setup.pools.len() + 1) as Time * played.placed.max(SECOND / 10);
        let longest = played.waited.iter().copied().max().unwrap_or(0);
        (longest > bound).then(|| format!("seed {seed}: {longest} past {bound}, {setup:?}"))
    });
    let over: Vec<String> = over.into_iter().flatten().collect();
    assert!(over.is_empty(), "{} days: {:?}", over.len(), &over[..over.len().min(3)]);
}

/// Places of two pools with equal weight and unequal run times: equal parts while both wait.
#[test]
fn equal_weights_mean_equal_places() {
    let mut day = day(9, 40, 1.0, Vec::new());
    (day.classes[1].part, day.classes[2].part, day.classes[STATUS].part) = (0.0, 0.0, 0.5);
    (day.classes[STATUS].work, day.classes[STATUS].objective) = (400.0, 5000);
    day.classes[STATUS].timeout = 20_000;
    (day.classes[TALLY].work, day.classes[TALLY].part) = (1600.0, 0.5);
    day.rate = 3.0 * 8.0 * SECOND as f64 / 1000.0;
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
    let played = played(&day, &setup);
    let mean = |at: usize| {
        let all: Vec<f64> =
            played.moments[5..].iter().map(|moment| moment.pools[at].running as f64).collect();
        all.iter().sum::<f64>() / all.len() as f64
    };
    let (short, long) = (mean(0), mean(1));
    assert!((short / long - 1.0).abs() < 0.25, "{short:.2} and {long:.2} places");
}

/// Notes what was asked for; ids only.
#[derive(Default)]
struct Seen(Vec<String>);

impl Host for Seen {
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

fn scheduler(setup: &PoolsConfig) -> (cypresscleat_scheduler::Scheduler, Seen) {
    let day = day(1, 1, 1.0, Vec::new());
    let machine = Machine { cores: 4.0, ..Machine::default() };
    let mut seen = Seen::default();
    (cypresscleat_scheduler::Scheduler::start(0, settings(&day, &machine, setup), &mut seen), seen)
}

fn arrival(inv: RequestSlot, op: usize) -> Arrival {
    Arrival { slot: inv, class: op, expected_work: Some(30.0), memory_kb: 8.0, ..Arrival::default() }
}

/// The reserve is never lent: with all other places taken, the cheapest call starts at once.
#[test]
fn a_reserved_place_is_there_at_once() {
    let (mut scheduler, mut seen) = scheduler(&chosen());
    for inv in 0..8 {
        scheduler.handle_arrival(1, arrival(inv, TALLY), &mut seen);
    }
    let running = seen.0.iter().filter(|line| line.starts_with("run")).count();
    assert_eq!(running, 3, "one of four places is kept: {:?}", seen.0);
    scheduler.handle_arrival(2, arrival(20, STATUS), &mut seen);
    assert_eq!(seen.0.last().map(String::as_str), Some("run 20"));
    let (mut scheduler, mut seen) = self::scheduler(&PoolsConfig::default());
    for inv in 0..8 {
        scheduler.handle_arrival(1, arrival(inv, TALLY), &mut seen);
    }
    scheduler.handle_arrival(2, arrival(20, STATUS), &mut seen);
    assert_ne!(seen.0.last().map(String::as_str), Some("run 20"), "without pools none is kept");
}

/// What is lent comes back with the next place that ends.
#[test]
fn lent_places_come_back_first() {
    let mut setup = chosen();
    setup.pools[STATUS].reserve = 0.0;
    let (mut scheduler, mut seen) = scheduler(&setup);
    for inv in 0..6 {
        scheduler.handle_arrival(1, arrival(inv, TALLY), &mut seen);
    }
    assert_eq!(seen.0.iter().filter(|line| line.starts_with("run")).count(), 4, "all are lent");
    scheduler.handle_arrival(2, arrival(20, STATUS), &mut seen);
    let ran: RequestSlot = seen.0[0].strip_prefix("run ").and_then(|word| word.parse().ok()).expect("a run");
    scheduler.handle_run_completed(30, ran, Outcome::Succeeded, &mut seen);
    assert_eq!(seen.0.last().map(String::as_str), Some("run 20"), "before the tallies that came first");
}

/// Pools added, removed and renamed while their work is held and runs: nothing is lost or counted twice.
#[test]
fn pools_change_while_their_work_goes_on() {
    let (mut scheduler, mut seen) = scheduler(&chosen());
    for inv in 0..12 {
        scheduler.handle_arrival(1, arrival(inv, [TALLY, STATUS, 2][inv % 3]), &mut seen);
    }
    let mut setups = vec![PoolsConfig::default(), chosen()];
    setups[1].pools.remove(2);
    setups[1].pools[0].name = "renamed".into();
    setups.push(chosen());
    for (at, setup) in setups.iter().enumerate() {
        scheduler.set_pools(10 + at as Time, setup, &mut seen);
    }
    let view = scheduler.pools().snapshots();
    let (held, running): (usize, usize) =
        view.iter().fold((0, 0), |sum, pool| (sum.0 + pool.queued, sum.1 + pool.running));
    let count = |word: &str, seen: &Seen| seen.0.iter().filter(|line| line.starts_with(word)).count();
    let ran: Vec<RequestSlot> =
        seen.0.iter().filter_map(|line| line.strip_prefix("run ")?.parse().ok()).collect();
    assert_eq!((held, running), (12 - ran.len() - count("throttle", &seen), ran.len()));
    for inv in ran {
        scheduler.handle_run_completed(50, inv, Outcome::Succeeded, &mut seen);
    }
    for now in 1..400 {
        let runs: Vec<RequestSlot> =
            seen.0.drain(..).filter_map(|line| line.strip_prefix("run ")?.parse().ok()).collect();
        for inv in runs {
            scheduler.handle_run_completed(60 + now, inv, Outcome::Succeeded, &mut seen);
        }
    }
    assert!(
        scheduler.pools().snapshots().iter().all(|pool| (pool.queued, pool.running) == (0, 0)),
        "{:?}",
        scheduler.pools().snapshots()
    );
}

/// The command's own path: figures for each policy, a table, a plot.
#[test]
fn the_experiment_writes_what_it_found() {
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
