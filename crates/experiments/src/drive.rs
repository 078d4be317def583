//! Runs a workload against a simulated worker, with a real `Scheduler` between them, in simulated time. Each run checks that every
//! request gets exactly one final response, no later than its timeout plus a scheduler tick.

use crate::arrivals::{Fault, SimulatedRequest, Workload, SECOND};
use crate::worker::{Completion, Machine, Worker};
use cypresscleat_concurrency::{PoolSnapshot, PoolsConfig};
use cypresscleat_scheduler::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Share of the billed value that a request retains when its tenant is over quota.
pub const OVER_QUOTA_SHARE: f64 = 0.1;

/// The final response to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Response {
    Succeeded,
    Rejected,
    Failed,
}

/// The final response to a request, with its times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompletedRequest {
    pub class: usize,
    pub within_quota: bool,
    pub arrived_at: Time,
    pub at: Time,
    pub response: Response,
    /// When the request first got a slot, if it did.
    pub started_at: Option<Time>,
}

/// State of each pool, sampled once a second.
#[derive(Clone, Debug)]
pub struct PoolSample {
    pub at: Time,
    pub pools: Vec<PoolSnapshot>,
    pub running: usize,
}

/// The result of one simulation run.
#[derive(Clone, Debug, Default)]
pub struct SimulationRun {
    pub completed: Vec<CompletedRequest>,
    pub samples: Vec<PoolSample>,
    /// Longest time that each pool with queued work waited for a slot.
    pub pool_waits: Vec<Time>,
    /// Longest time that a request held a slot.
    pub longest_slot_hold: Time,
    /// Share of the available core time that was used.
    pub busy: f64,
    /// Hash of all commands of the scheduler, in order, with their times.
    pub digest: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Speed(u64),
    CallDone(RequestSlot, u64),
    Arrives(usize),
    Tick,
}

/// State of a request on the simulated worker.
#[derive(Clone, Debug)]
struct Job {
    request: usize,
    /// Work left before the downstream call, then duration of the call and work after the call.
    remaining_work: f64,
    after_call: Option<(f64, f64)>,
    on_core: bool,
    started_at: Option<Time>,
    has_response: bool,
    call: u64,
}

struct SimulatedHost<'a> {
    now: Time,
    worker: Worker,
    requests: &'a [SimulatedRequest],
    jobs: HashMap<RequestSlot, Job>,
    free_slots: Vec<RequestSlot>,
    slot_count: usize,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    number: u64,
    next_tick: Time,
    /// Outcomes to report to the scheduler after its present call returns.
    pending_outcomes: Vec<(RequestSlot, Outcome)>,
    completed: Vec<CompletedRequest>,
    command_digest: DefaultHasher,
}

impl SimulatedHost<'_> {
    fn push(&mut self, at: Time, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }
    fn record_command(&mut self, what: &str, inv: RequestSlot, with: i64) {
        (what, self.now, inv, with).hash(&mut self.command_digest);
    }
    fn record_response(&mut self, inv: RequestSlot, response: Response) {
        let Some(job) = self.jobs.get_mut(&inv) else { return };
        assert!(!std::mem::replace(&mut job.has_response, true), "a second response to one request");
        let request = &self.requests[job.request];
        let (class, within_quota, arrived_at) = (request.class, request.within_quota, request.at);
        self.completed.push(CompletedRequest {
            class,
            within_quota,
            arrived_at,
            at: self.now,
            response,
            started_at: job.started_at,
        });
    }
}

impl Host for SimulatedHost<'_> {
    fn run(&mut self, inv: RequestSlot) {
        self.record_command("run", inv, 0);
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&inv) else { return };
        (job.on_core, job.started_at) = (true, job.started_at.or(Some(now)));
        let remaining_work = job.remaining_work;
        self.worker.start(inv, remaining_work);
    }
    fn reject(&mut self, inv: RequestSlot, rejection: Rejection) {
        let detail = rejection.retry_after * 2 + i64::from(rejection.no_retry_elsewhere);
        self.record_command("throttle", inv, detail);
        self.record_response(inv, Response::Rejected);
    }
    fn fail(&mut self, inv: RequestSlot, _: FailReason) {
        self.record_command("error", inv, 0);
        self.record_response(inv, Response::Failed);
        // A request that waits for its downstream call is cancelled here, as no client waits for its result.
        if self.jobs.get(&inv).is_some_and(|job| job.started_at.is_some() && !job.on_core) {
            self.pending_outcomes.push((inv, Outcome::Cancelled));
        }
    }
    fn stop(&mut self, inv: RequestSlot) {
        self.record_command("stop", inv, 0);
        if self.worker.stop(inv).is_some() {
            self.pending_outcomes.push((inv, Outcome::Cancelled));
        }
    }
    fn call(&mut self, inv: RequestSlot, within: Time) {
        self.record_command("call", inv, within);
        self.number += 1;
        let (number, now) = (self.number, self.now);
        let Some(job) = self.jobs.get_mut(&inv) else { return };
        job.call = number;
        let took = self.requests[job.request].call.map_or(0.0, |(took, _)| took);
        let at = now + (took.min(within as f64) as Time).max(1);
        self.push(at, Event::CallDone(inv, number));
    }
    fn skip_call(&mut self, _: RequestSlot) {}
    fn retain_for_retries(&mut self, _: RequestSlot, _: Time) {}
    fn replay_result(&mut self, _: RequestSlot) {}
    fn set_health(&mut self, _: bool, _: bool) {}
    fn send_load_feedback(&mut self, value: f64) {
        self.record_command("advertise", 0, value.to_bits() as i64);
    }
    fn close_idle_connections(&mut self, after: Time) {
        self.record_command("close_idle", 0, after);
    }
    fn set_timer(&mut self, after: Time) {
        self.record_command("wake", 0, after);
        self.next_tick = self.now + after;
    }
    fn log(&mut self, _: &SchedulerEvent) {}
    fn release(&mut self, inv: RequestSlot) {
        self.record_command("release", inv, 0);
        if let Some(job) = self.jobs.remove(&inv) {
            assert!(job.has_response, "released without a response");
            self.worker.stop(inv);
            self.free_slots.push(inv);
        }
    }
}

/// Scheduler settings for a workload: its request classes, and two tenants with their request rates.
pub fn settings(workload: &Workload, machine: &Machine, pools: &PoolsConfig) -> Settings {
    let classes = workload.classes.iter().map(|class| RequestClass {
        latency_objective: class.objective,
        timeout: class.timeout,
        priority_weight: class.billed,
        calls_downstream: class.call.is_some(),
        ..RequestClass::default()
    });
    // The regular tenant has a quota of 1.5 times the mean rate. The second tenant, which sends the floods, has a small quota.
    let rates = vec![workload.rate * 1.5, workload.rate * 0.05];
    Settings {
        classes: classes.collect(),
        tenant_rates: rates,
        over_quota_share: OVER_QUOTA_SHARE,
        fleet_size: 1.0,
        client_count: 8.0,
        cores: machine.cores,
        slow_start: machine.warmup > 0,
        slow_start_initial: machine.initial_speed,
        slow_start_duration: machine.warmup,
        memory_kb: 60_000.0,
        running_memory_factor: 8.0,
        stop_mode: StopMode::Discard,
        downstream: DownstreamKind::Tier,
        shared_call_quota: 0.0,
        shared_call_window: 50_000,
        abandoned_call_duration: 2_000,
        answer_slack: 600,
        drain_grace: 10_000,
        overload_multiple: machine.overload_multiple,
        max_retry_after: 10_000,
        seed: workload.seed,
        pools: pools.clone(),
        ..Settings::default()
    }
}

/// Runs the workload to its end. With `sample_pools` the result has a sample of the pools for each second.
pub fn simulate(
    workload: &Workload,
    requests: &[SimulatedRequest],
    machine: &Machine,
    pools: &PoolsConfig,
    sample_pools: bool,
) -> SimulationRun {
    let mut host = SimulatedHost {
        now: 0,
        worker: Worker::new(machine.clone()),
        requests,
        jobs: HashMap::new(),
        free_slots: Vec::new(),
        slot_count: 0,
        events: BinaryHeap::new(),
        number: 0,
        next_tick: 0,
        pending_outcomes: Vec::new(),
        completed: Vec::with_capacity(requests.len()),
        command_digest: DefaultHasher::new(),
    };
    let mut scheduler = Scheduler::start(0, settings(workload, machine, pools), &mut host);
    for fault in &workload.faults {
        if let Fault::SlowWorker { speed, from, to } = *fault {
            host.push(from, Event::Speed(speed.to_bits()));
            host.push(to, Event::Speed(1f64.to_bits()));
        }
    }
    let first = host.next_tick;
    host.push(first, Event::Tick);
    if let Some(request) = requests.first() {
        host.push(request.at, Event::Arrives(0));
    }
    let mut result = SimulationRun::default();
    let (mut done, mut next_sample_at) = (Vec::new(), 0);
    let mut waits: Vec<Option<Time>> = Vec::new();
    let longest = workload.classes.iter().map(|class| class.timeout).max().unwrap_or(0);
    let last = workload.length + longest + SECOND;
    loop {
        let event = host.events.peek().map(|Reverse((at, ..))| *at);
        let at = [event, host.worker.next()].into_iter().flatten().min().unwrap_or(last);
        if at > last || requests.len() == host.completed.len() && host.now >= workload.length {
            break;
        }
        host.now = at;
        host.worker.advance(at, &mut done);
        for what in done.drain(..) {
            match what {
                Completion::Job(inv) => handle_job_done(&mut scheduler, &mut host, inv),
                Completion::Read(request) => handle_read(&mut scheduler, &mut host, request),
            }
            deliver_outcomes(&mut scheduler, &mut host);
        }
        while let Some(Reverse((_, _, event))) =
            host.events.peek().copied().filter(|Reverse((due, ..))| *due <= at)
        {
            host.events.pop();
            match event {
                Event::Speed(bits) => host.worker.set_speed(f64::from_bits(bits)),
                Event::Arrives(request) => {
                    host.worker.arrive(request);
                    if let Some(next) = requests.get(request + 1) {
                        host.push(next.at, Event::Arrives(request + 1));
                    }
                }
                Event::CallDone(inv, number) => handle_call_done(&mut scheduler, &mut host, inv, number),
                Event::Tick => {
                    let runnable = host.worker.runnable() as f64;
                    let gauges = Gauges {
                        core_utilization: Some(host.worker.utilization()),
                        runnable_tasks: Some(runnable),
                        memory_share: None,
                        connections: None,
                    };
                    scheduler.tick(at, gauges, &mut host);
                    let next_tick = host.next_tick;
                    host.push(next_tick, Event::Tick);
                    if sample_pools && at >= next_sample_at {
                        let running = host.worker.runnable();
                        result.samples.push(PoolSample { at, pools: scheduler.pools().snapshots(), running });
                        next_sample_at = at + SECOND;
                    }
                }
            }
            deliver_outcomes(&mut scheduler, &mut host);
        }
        record_pool_waits(&scheduler, at, &mut waits, &mut result.pool_waits);
    }
    assert_eq!(host.completed.len(), requests.len(), "each request has one final response");
    result.busy = host.worker.busy() / (workload.length as f64 * machine.cores);
    for completed in &host.completed {
        let late = completed.at - completed.arrived_at - workload.classes[completed.class].timeout;
        assert!(late <= 700, "responded {late} late");
        if let (Some(started_at), Response::Succeeded) = (completed.started_at, completed.response) {
            result.longest_slot_hold = result.longest_slot_hold.max(completed.at - started_at);
        }
    }
    result.completed = host.completed;
    result.digest = host.command_digest.finish();
    result
}

/// Records how long each pool with queued work and no slot has waited for a slot.
fn record_pool_waits(
    scheduler: &Scheduler,
    now: Time,
    waits: &mut Vec<Option<Time>>,
    pool_waits: &mut Vec<Time>,
) {
    if scheduler.pools().is_disabled() {
        return;
    }
    scheduler.pools().visit_starvation(|at, waiting| {
        if waits.len() <= at {
            waits.resize(at + 1, None);
            pool_waits.resize(at + 1, 0);
        }
        match (waiting, waits[at]) {
            (true, None) => waits[at] = Some(now),
            (true, Some(from)) => pool_waits[at] = pool_waits[at].max(now - from),
            (false, _) => waits[at] = None,
        }
    });
}

/// Reports the outcomes of the scheduler's own commands to the scheduler, after its call has returned.
fn deliver_outcomes(scheduler: &mut Scheduler, host: &mut SimulatedHost) {
    while let Some((inv, outcome)) = host.pending_outcomes.pop() {
        if host.jobs.contains_key(&inv) {
            let now = host.now;
            scheduler.handle_run_completed(now, inv, outcome, host);
        }
    }
}

fn handle_read(scheduler: &mut Scheduler, host: &mut SimulatedHost, request: usize) {
    let what = &host.requests[request];
    let inv = host.free_slots.pop().unwrap_or(host.slot_count);
    host.slot_count = host.slot_count.max(inv + 1);
    let (remaining_work, after_call) = match what.call {
        Some((took, part)) => (what.work * part, Some((took, what.work * (1.0 - part)))),
        None => (what.work, None),
    };
    let (on_core, started_at, has_response, call) = (false, None, false, 0);
    host.jobs
        .insert(inv, Job { request, remaining_work, after_call, on_core, started_at, has_response, call });
    let arrival = Arrival {
        slot: inv,
        class: what.class,
        tenant: Some(usize::from(!what.within_quota)),
        time_unread: host.now - what.at,
        expected_work: Some(what.hint),
        memory_kb: what.kb,
        ..Arrival::default()
    };
    let now = host.now;
    scheduler.handle_arrival(now, arrival, host);
}

fn handle_job_done(scheduler: &mut Scheduler, host: &mut SimulatedHost, inv: RequestSlot) {
    let now = host.now;
    let Some(job) = host.jobs.get_mut(&inv) else { return };
    job.on_core = false;
    if let Some((_, after_call)) = job.after_call {
        job.remaining_work = after_call;
        scheduler.handle_call_needed(now, inv, host);
        return;
    }
    if !job.has_response {
        host.record_response(inv, Response::Succeeded);
    }
    scheduler.handle_run_completed(now, inv, Outcome::Succeeded, host);
}

fn handle_call_done(scheduler: &mut Scheduler, host: &mut SimulatedHost, inv: RequestSlot, number: u64) {
    let now = host.now;
    let Some(job) = host.jobs.get_mut(&inv).filter(|job| job.call == number && !job.on_core) else { return };
    let took = job.after_call.take().map_or(0.0, |(took, _)| took) as Time;
    if job.has_response {
        return;
    }
    job.on_core = true;
    let remaining_work = job.remaining_work;
    host.worker.start(inv, remaining_work);
    scheduler.handle_call_completed(now, inv, Outcome::Succeeded, took, host);
}
