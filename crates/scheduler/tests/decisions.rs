//! Pins the scheduler's decisions: seeded random simulation runs must give the recorded digest of every call on the host,
//! including the text of log lines. The digests up to the drain were recorded with the code of commit 67fc394; those of the whole runs
//! since retries of requests that have run get their result in a drain. Guards against unintended changes of decisions.

use cypresscleat_concurrency::{limit::Limiter, PoolConfig, PoolsConfig};
use cypresscleat_primitives::SeededRng;
use cypresscleat_scheduler::*;
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

const EVENTS: usize = 6_000;
/// Digest and number of calls on the host, by kind of run.
const RECORDED: [(u64, usize); 8] = [
    (17159895462816408325, 16266),
    (14689784484034920933, 16614),
    (13689874300791305173, 16261),
    (17808145640576964253, 16136),
    (18140945566220932342, 16371),
    (1898787880334285497, 17580),
    (12885014998869570305, 16315),
    (11819203555376652560, 16062),
];

/// The same when the drain begins.
const RECORDED_BEFORE_DRAIN: [(u64, usize); 8] = [
    (12237568638913490342, 14396),
    (18391966883260228925, 14759),
    (2414774046755927721, 14372),
    (12084551936263157296, 14325),
    (1326448799126386812, 14535),
    (10979349279815747773, 15691),
    (6476525506256409608, 14481),
    (3768016832109174780, 14306),
];

#[derive(Clone, Copy, Default, PartialEq)]
enum RequestPhase {
    #[default]
    Free,
    Waiting,
    Running,
    Parked,
    Calling,
}

#[derive(Default)]
struct Recorder {
    digest: DefaultHasher,
    /// The digest and the number of calls when the drain begins.
    before_drain: (u64, usize),
    calls: usize,
    phases: Vec<RequestPhase>,
    timer: Time,
    stopped: Vec<usize>,
    logged: Vec<String>,
    reasons: BTreeSet<String>,
}

impl Recorder {
    fn record(&mut self, call: impl Hash) {
        call.hash(&mut self.digest);
        self.calls += 1;
    }

    fn free_slot(&mut self) -> usize {
        let free = self.phases.iter().position(|phase| *phase == RequestPhase::Free);
        let slot = free.unwrap_or(self.phases.len());
        if slot == self.phases.len() {
            self.phases.push(RequestPhase::Free);
        }
        self.phases[slot] = RequestPhase::Waiting;
        slot
    }

    fn random_slot(&self, rng: &mut SeededRng, is_candidate: impl Fn(RequestPhase) -> bool) -> Option<usize> {
        let candidates: Vec<usize> =
            (0..self.phases.len()).filter(|slot| is_candidate(self.phases[*slot])).collect();
        candidates.get(rng.index_below(candidates.len())).copied()
    }
}

impl Host for Recorder {
    fn run(&mut self, slot: RequestSlot) {
        self.record(("run", slot));
        self.phases[slot] = RequestPhase::Running;
    }
    fn reject(&mut self, slot: RequestSlot, rejection: Rejection) {
        self.record(("reject", slot, rejection.retry_after, rejection.no_retry_elsewhere));
        self.reasons.insert(format!("{:?}", rejection.reason));
    }
    fn fail(&mut self, slot: RequestSlot, reason: FailReason) {
        self.record(("fail", slot));
        self.reasons.insert(format!("{reason:?}"));
    }
    fn stop(&mut self, slot: RequestSlot) {
        self.record(("stop", slot));
        self.stopped.push(slot);
    }
    fn call(&mut self, slot: RequestSlot, timeout: Time) {
        self.record(("call", slot, timeout));
        self.phases[slot] = RequestPhase::Calling;
    }
    fn skip_call(&mut self, slot: RequestSlot) {
        self.record(("skip", slot));
        self.phases[slot] = RequestPhase::Running;
    }
    fn retain_for_retries(&mut self, slot: RequestSlot, duration: Time) {
        self.record(("retain", slot, duration));
    }
    fn replay_result(&mut self, slot: RequestSlot) {
        self.record(("replay", slot));
    }
    fn set_health(&mut self, healthy: bool, from_cache: bool) {
        self.record(("health", healthy, from_cache));
    }
    fn send_load_feedback(&mut self, value: f64) {
        self.record(("feedback", value.to_bits()));
    }
    fn close_idle_connections(&mut self, idle_for: Time) {
        self.record(("close idle", idle_for));
    }
    fn set_timer(&mut self, after: Time) {
        self.record(("timer", after));
        self.timer = after;
    }
    fn log(&mut self, event: &SchedulerEvent) {
        let line = event.to_string();
        self.record(("log", line.as_str()));
        self.logged.push(line);
    }
    fn release(&mut self, slot: RequestSlot) {
        self.record(("release", slot));
        self.phases[slot] = RequestPhase::Free;
        self.stopped.retain(|other| *other != slot);
    }
}

fn random_classes(rng: &mut SeededRng) -> Vec<RequestClass> {
    let class = |index: usize, rng: &mut SeededRng| RequestClass {
        latency_objective: 500 + rng.below(8_000) as Time,
        objective_per_work: [0.0, 0.5][index % 2],
        timeout: 4_000 + rng.below(20_000) as Time,
        retry_safety: [RetrySafety::Idempotent, RetrySafety::IdempotencyKey, RetrySafety::NonIdempotent]
            [index % 3],
        priority_weight: 0.1 + rng.next_f64() * 5.0,
        late_share: [0.0, 0.5][rng.index_below(2)],
        degraded_share: [0.0, 0.4][rng.index_below(2)],
        calls_downstream: rng.one_in(2),
        retry_window: 30_000,
    };
    (0..5).map(|index| class(index, rng)).collect()
}

fn random_pools(rng: &mut SeededRng) -> PoolsConfig {
    let pool = |name: &str, classes: &[usize], min_share: f64, reserve: f64| PoolConfig {
        name: name.into(),
        classes: classes.to_vec(),
        min_share,
        max_share: 1.0,
        weight: 1.0 + name.len() as f64,
        reserve,
    };
    let limiter = [Limiter::Fixed, Limiter::Gradient { tolerance: 1.5 }][rng.index_below(2)];
    PoolsConfig { pools: vec![pool("fast", &[0, 3], 0.4, 0.2), pool("bulk", &[1], 0.3, 0.0)], limiter }
}

fn random_settings(kind: usize, rng: &mut SeededRng) -> Settings {
    Settings {
        classes: random_classes(rng),
        tenant_rates: vec![40.0, 4.0],
        over_quota_share: 0.1,
        weight_per_work: kind.is_multiple_of(2),
        fleet_size: 2.0,
        client_count: [1.0, 8.0, 300.0][kind % 3],
        cores: [1.0, 2.0, 4.0][kind % 3],
        slow_start: kind % 4 == 1,
        slow_start_initial: 0.2,
        slow_start_duration: 100_000,
        memory_kb: [3_000.0, 8_000.0, 60_000.0][(kind / 2) % 3],
        retained_entry_kb: 4.0,
        running_memory_factor: 4.0,
        stop_mode: [StopMode::Unsupported, StopMode::Discard, StopMode::Freeze][kind % 3],
        load_feedback: [
            LoadFeedbackKind::ConcurrencyAllowance,
            LoadFeedbackKind::PriorityFloor,
            LoadFeedbackKind::Weight,
            LoadFeedbackKind::None,
        ][kind % 4],
        downstream: [DownstreamKind::Tier, DownstreamKind::Shared, DownstreamKind::None][(kind / 2) % 3],
        shared_call_quota: 3.0,
        shared_call_window: [50_000, 4_000][kind % 2],
        abandoned_call_duration: 2_000,
        result_freshness: [0, 4_000][kind % 2],
        answer_slack: 600,
        drain_grace: 10_000,
        overload_multiple: [3.0, 8.0][kind % 2],
        max_retry_after: 10_000,
        seed: kind as u64 + 11,
        pools: if kind >= 4 { random_pools(rng) } else { PoolsConfig::default() },
    }
}

fn random_arrival(host: &mut Recorder, rng: &mut SeededRng) -> Arrival {
    let earlier_attempt = match rng.below(6) {
        0 => EarlierAttempt::Released,
        1 => host
            .random_slot(rng, |phase| phase != RequestPhase::Free)
            .map_or(EarlierAttempt::Released, EarlierAttempt::Known),
        _ => EarlierAttempt::None,
    };
    Arrival {
        slot: host.free_slot(),
        class: rng.index_below(5),
        tenant: [None, Some(0), Some(1), Some(7)][rng.index_below(4)],
        remaining_timeout: rng.one_in(4).then(|| 500 + rng.below(9_000) as Time),
        client_priority: rng.next_f64(),
        earlier_attempt,
        has_idempotency_key: rng.one_in(2),
        time_unread: if rng.one_in(10) { rng.below(4_000) as Time } else { rng.below(30) as Time },
        is_write: rng.one_in(3),
        is_retry: rng.one_in(4),
        expected_work: (!rng.one_in(5)).then(|| 10.0 + rng.next_f64() * 3_000.0),
        memory_kb: 1.0 + rng.next_f64() * 120.0,
    }
}

fn random_outcome(rng: &mut SeededRng) -> Outcome {
    let other_outcomes = [
        Outcome::Failed,
        Outcome::Rejected,
        Outcome::TimedOut,
        Outcome::ConnectFailed,
        Outcome::ConnectionLost,
        Outcome::Cancelled,
        Outcome::NotStarted,
    ];
    if rng.one_in(4) {
        other_outcomes[rng.index_below(other_outcomes.len())]
    } else {
        Outcome::Succeeded
    }
}

/// Random gauges. In a connection storm nearly all runnable tasks read requests or accept connections.
fn random_gauges(rng: &mut SeededRng, is_storm: bool) -> Gauges {
    if is_storm {
        return Gauges {
            core_utilization: Some(1.0),
            runnable_tasks: Some(60.0),
            memory_share: None,
            connections: Some(900.0),
        };
    }
    let has_gauges = !rng.one_in(8);
    Gauges {
        core_utilization: has_gauges.then(|| 0.4 + rng.next_f64() * 0.6),
        runnable_tasks: has_gauges.then(|| rng.next_f64() * 12.0),
        memory_share: None,
        connections: rng.one_in(2).then(|| rng.next_f64() * 40.0),
    }
}

/// Simulates one random event that the state of the host allows.
fn simulate_event(
    scheduler: &mut Scheduler,
    now: Time,
    step: usize,
    host: &mut Recorder,
    rng: &mut SeededRng,
) {
    match rng.below(12) {
        0..=4 => {
            let arrival = random_arrival(host, rng);
            scheduler.handle_arrival(now, arrival, host);
        }
        5 | 6 => {
            if let Some(slot) = host.random_slot(rng, |phase| phase == RequestPhase::Running) {
                let outcome = random_outcome(rng);
                scheduler.handle_run_completed(now, slot, outcome, host);
            }
        }
        7 => {
            if let Some(slot) = host.random_slot(rng, |phase| phase == RequestPhase::Running) {
                host.phases[slot] = RequestPhase::Parked;
                scheduler.handle_call_needed(now, slot, host);
            }
        }
        8 | 9 => {
            if let Some(slot) = host.random_slot(rng, |phase| phase == RequestPhase::Calling) {
                let (outcome, call_time) = (random_outcome(rng), rng.below(2_500) as Time);
                host.phases[slot] =
                    if outcome == Outcome::Succeeded { RequestPhase::Running } else { RequestPhase::Parked };
                scheduler.handle_call_completed(now, slot, outcome, call_time, host);
            }
        }
        10 => {
            if let Some(slot) = host.random_slot(rng, |phase| phase != RequestPhase::Free) {
                scheduler.handle_client_disconnect(now, slot, host);
            }
        }
        _ if step.is_multiple_of(5) => {
            if let Some(slot) =
                host.random_slot(rng, |phase| matches!(phase, RequestPhase::Parked | RequestPhase::Calling))
            {
                scheduler.handle_run_completed(now, slot, Outcome::Cancelled, host);
            }
        }
        _ => {}
    }
}

fn simulate(kind: usize) -> Recorder {
    simulate_checked(kind, kind as u64, |_| {})
}

/// Simulates the kind of run with another seed; `check` sees the scheduler after each event.
fn simulate_checked(kind: usize, seed: u64, mut check: impl FnMut(&Scheduler)) -> Recorder {
    let mut rng = SeededRng::new(seed);
    let (mut host, mut now) = (Recorder::default(), 0);
    let mut scheduler = Scheduler::start(now, random_settings(kind, &mut rng), &mut host);
    let mut next_tick = host.timer;
    for step in 0..EVENTS {
        // Overloaded and normal periods alternate.
        now += rng.below(if (step / 600) % 2 == 0 { 90 } else { 300 }) as Time;
        while next_tick <= now {
            scheduler.tick(next_tick, random_gauges(&mut rng, (step / 400) % 4 == 3), &mut host);
            next_tick += host.timer;
        }
        if let Some(slot) = host.stopped.pop() {
            let outcome = if rng.one_in(5) { Outcome::Succeeded } else { Outcome::Cancelled };
            scheduler.handle_run_completed(now, slot, outcome, &mut host);
        }
        simulate_event(&mut scheduler, now, step, &mut host, &mut rng);
        match step {
            3_000 if kind % 3 == 2 => scheduler.set_granted_slots(now, 2.0, &mut host),
            3_500 if kind % 3 == 2 => scheduler.set_granted_slots(now, 9.0, &mut host),
            4_000 if kind >= 4 => {
                let new_pools = random_pools(&mut rng);
                scheduler.set_pools(now, &new_pools, &mut host);
            }
            5_400 => {
                host.before_drain = (host.digest.finish(), host.calls);
                scheduler.start_draining(now, 40_000, &mut host);
            }
            _ => {}
        }
        check(&scheduler);
        let slow_start = scheduler.slow_start_limit(now).map(f64::to_bits);
        host.record(slow_start);
    }
    host
}

#[test]
fn decides_as_recorded() {
    let hosts: Vec<Recorder> = (0..RECORDED.len()).map(simulate).collect();
    let before_drain: Vec<(u64, usize)> = hosts.iter().map(|host| host.before_drain).collect();
    let digests: Vec<(u64, usize)> = hosts.iter().map(|host| (host.digest.finish(), host.calls)).collect();
    assert_eq!(before_drain, RECORDED_BEFORE_DRAIN);
    assert_eq!(digests, RECORDED);
}

/// The recorded digests pin a decision or a log line only if it occurs in the simulation runs.
#[test]
fn recorded_runs_cover_every_log_line() {
    let logged: Vec<String> = (0..RECORDED.len()).flat_map(|kind| simulate(kind).logged).collect();
    for start in ["shedding: ", "not shedding: ", "pools: ", "calls slow: ", "calls not slow: ", "draining: "]
    {
        assert!(logged.iter().any(|line| line.starts_with(start)), "{start:?} is missing");
    }
}

#[test]
fn recorded_runs_cover_every_reason() {
    let seen: BTreeSet<String> = (0..RECORDED.len()).flat_map(|kind| simulate(kind).reasons).collect();
    let rejected = [
        RejectReason::Draining,
        RejectReason::IdempotencyTableFull,
        RejectReason::ObjectiveUnreachable,
        RejectReason::MemoryPressure,
        RejectReason::QueueFull,
        RejectReason::CallQueueFull,
        RejectReason::StoppedWithoutAnswer,
    ];
    let failed = [
        FailReason::DeadlinePassed,
        FailReason::ObjectivePassed,
        FailReason::CallFailed,
        FailReason::NoTimeForCall,
        FailReason::EarlierAttemptFailed,
        FailReason::CannotBeRejected(RejectReason::StoppedWithoutAnswer),
    ];
    let reject_names = rejected.iter().map(|reason| format!("{reason:?}"));
    for name in reject_names.chain(failed.iter().map(|reason| format!("{reason:?}"))) {
        assert!(seen.contains(&name), "{name} is missing in {seen:?}");
    }
}

fn assert_close(kept: f64, recounted: f64, what: &str) {
    let tolerance = 1e-6 * recounted.abs().max(1.0);
    assert!((kept - recounted).abs() <= tolerance, "{what}: kept {kept}, recounted {recounted}");
}

/// The pools' counts and sums are those of the queued and running requests of their classes, by the settings of `random_pools`.
fn assert_pools_match_requests(scheduler: &Scheduler) {
    let by_class = scheduler.recount_by_class();
    for pool in scheduler.pools().snapshots() {
        let classes: &[usize] = match pool.name.as_str() {
            "fast" => &[0, 3],
            "bulk" => &[1],
            _ => &[2, 4],
        };
        let of_pool = || by_class.iter().filter(|usage| classes.contains(&usage.class));
        assert_eq!(pool.queued, of_pool().map(|usage| usage.queued).sum(), "queued in {}", pool.name);
        assert_eq!(pool.running, of_pool().map(|usage| usage.running).sum(), "running in {}", pool.name);
        assert_close(pool.queued_size, of_pool().map(|usage| usage.queued_size).sum(), &pool.name);
        assert_close(pool.queued_kb, of_pool().map(|usage| usage.queued_kb).sum(), &pool.name);
    }
}

/// Guards against sums that drift: what is kept up to date by event equals a recount over the requests after each event. `USAGE_SEEDS`
/// sets the number of seeds for each kind of run.
#[test]
fn counts_and_sums_equal_a_recount_after_every_event() {
    let seeds = std::env::var("USAGE_SEEDS").ok().and_then(|value| value.parse().ok()).unwrap_or(3);
    for (kind, seed) in (0..RECORDED.len()).flat_map(|kind| (0..seeds).map(move |seed| (kind, 100 + seed))) {
        println!("kind {kind}, seed {seed}");
        simulate_checked(kind, seed, |scheduler| {
            let (kept, recounted) = (scheduler.usage(), scheduler.recount_usage());
            let counts = |usage: RequestUsage| (usage.queued, usage.running, usage.calling);
            assert_eq!(counts(kept), counts(recounted));
            assert_close(kept.queued_work, recounted.queued_work, "queued work");
            assert_close(kept.used_memory_kb, recounted.used_memory_kb, "used memory");
            assert_pools_match_requests(scheduler);
        });
    }
}
