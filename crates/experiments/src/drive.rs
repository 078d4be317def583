//! Plays arrivals against a worker with a real `Scheduler` between them, in simulated time. Whole-run checks as it goes: each
//! arrival gets one final answer, by its time-out and a tick; nothing is answered twice.

use crate::arrivals::{Coming, Day, Trouble, SECOND};
use crate::worker::{Done, Machine, Worker};
use cypresscleat_concurrency::{PoolSnapshot, PoolsConfig};
use cypresscleat_scheduler::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Part of the billed value that is left past a customer's share.
pub const OVER_SHARE: f64 = 0.1;

/// How an invocation was answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Succeeded,
    Throttled,
    Errored,
}

/// What became of an arrival, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ended {
    pub class: usize,
    pub in_share: bool,
    pub came: Time,
    pub at: Time,
    pub how: Answer,
    /// Longest wait for a place.
    pub started: Option<Time>,
}

/// What a second showed of each pool.
#[derive(Clone, Debug)]
pub struct Moment {
    pub at: Time,
    pub pools: Vec<PoolSnapshot>,
    pub running: usize,
}

#[derive(Clone, Debug, Default)]
pub struct Played {
    pub ended: Vec<Ended>,
    pub moments: Vec<Moment>,
    /// Longest time that a pool with work waited for a place, by pool; and the longest time a place was held.
    pub waited: Vec<Time>,
    pub placed: Time,
    /// Core time used, of what there was.
    pub busy: f64,
    /// Of all that the module asked for, in order, with its times.
    pub digest: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Speed(u64),
    Called(RequestSlot, u64),
    Arrives(usize),
    Tick,
}

/// Where an invocation is, as far as the machine knows.
#[derive(Clone, Debug)]
struct Job {
    coming: usize,
    /// Work still to be done before its call, and after it.
    left: f64,
    behind: Option<(f64, f64)>,
    on_core: bool,
    started: Option<Time>,
    answered: bool,
    call: u64,
}

struct Side<'a> {
    now: Time,
    worker: Worker,
    comings: &'a [Coming],
    jobs: HashMap<RequestSlot, Job>,
    free: Vec<RequestSlot>,
    many: usize,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    number: u64,
    wake: Time,
    /// What the module has to be told once its present call is over.
    told: Vec<(RequestSlot, Outcome)>,
    ended: Vec<Ended>,
    asked: DefaultHasher,
}

impl Side<'_> {
    fn push(&mut self, at: Time, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }
    fn asks(&mut self, what: &str, inv: RequestSlot, with: i64) {
        (what, self.now, inv, with).hash(&mut self.asked);
    }
    fn answer(&mut self, inv: RequestSlot, how: Answer) {
        let Some(job) = self.jobs.get_mut(&inv) else { return };
        assert!(!std::mem::replace(&mut job.answered, true), "answered twice");
        let coming = &self.comings[job.coming];
        let (class, in_share, came) = (coming.class, coming.in_share, coming.at);
        self.ended.push(Ended { class, in_share, came, at: self.now, how, started: job.started });
    }
}

impl Host for Side<'_> {
    fn run(&mut self, inv: RequestSlot) {
        self.asks("run", inv, 0);
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&inv) else { return };
        (job.on_core, job.started) = (true, job.started.or(Some(now)));
        let left = job.left;
        self.worker.start(inv, left);
    }
    fn reject(&mut self, inv: RequestSlot, rejection: Rejection) {
        let told = rejection.retry_after * 2 + i64::from(rejection.no_retry_elsewhere);
        self.asks("throttle", inv, told);
        self.answer(inv, Answer::Throttled);
    }
    fn fail(&mut self, inv: RequestSlot, _: FailReason) {
        self.asks("error", inv, 0);
        self.answer(inv, Answer::Errored);
        // One that waits for its call is ended by whoever runs it, as nobody waits any more.
        if self.jobs.get(&inv).is_some_and(|job| job.started.is_some() && !job.on_core) {
            self.told.push((inv, Outcome::Cancelled));
        }
    }
    fn stop(&mut self, inv: RequestSlot) {
        self.asks("stop", inv, 0);
        if self.worker.stop(inv).is_some() {
            self.told.push((inv, Outcome::Cancelled));
        }
    }
    fn call(&mut self, inv: RequestSlot, within: Time) {
        self.asks("call", inv, within);
        self.number += 1;
        let (number, now) = (self.number, self.now);
        let Some(job) = self.jobs.get_mut(&inv) else { return };
        job.call = number;
        let took = self.comings[job.coming].call.map_or(0.0, |(took, _)| took);
        let at = now + (took.min(within as f64) as Time).max(1);
        self.push(at, Event::Called(inv, number));
    }
    fn skip_call(&mut self, _: RequestSlot) {}
    fn retain_for_retries(&mut self, _: RequestSlot, _: Time) {}
    fn replay_result(&mut self, _: RequestSlot) {}
    fn set_health(&mut self, _: bool, _: bool) {}
    fn send_load_feedback(&mut self, value: f64) {
        self.asks("advertise", 0, value.to_bits() as i64);
    }
    fn close_idle_connections(&mut self, after: Time) {
        self.asks("close_idle", 0, after);
    }
    fn set_timer(&mut self, after: Time) {
        self.asks("wake", 0, after);
        self.wake = self.now + after;
    }
    fn log(&mut self, _: &SchedulerEvent) {}
    fn release(&mut self, inv: RequestSlot) {
        self.asks("release", inv, 0);
        if let Some(job) = self.jobs.remove(&inv) {
            assert!(job.answered, "released without an answer");
            self.worker.stop(inv);
            self.free.push(inv);
        }
    }
}

/// What the module is told of the day: its classes as operations, two customers with their shares.
pub fn settings(day: &Day, machine: &Machine, pools: &PoolsConfig) -> Settings {
    let operations = day.classes.iter().map(|class| RequestClass {
        latency_objective: class.objective,
        timeout: class.timeout,
        priority_weight: class.billed,
        calls_downstream: class.call.is_some(),
        ..RequestClass::default()
    });
    // The usual customer may have half as much again as comes in the mean; the other one, floods come from, little.
    let customers = vec![day.rate * 1.5, day.rate * 0.05];
    Settings {
        classes: operations.collect(),
        tenant_rates: customers,
        over_quota_share: OVER_SHARE,
        fleet_size: 1.0,
        client_count: 8.0,
        cores: machine.cores,
        slow_start: machine.cold_for > 0,
        slow_start_initial: machine.cold_from,
        slow_start_duration: machine.cold_for,
        memory_kb: 60_000.0,
        running_memory_factor: 8.0,
        stop_mode: StopMode::Discard,
        downstream: DownstreamKind::Tier,
        shared_call_quota: 0.0,
        shared_call_window: 50_000,
        abandoned_call_duration: 2_000,
        answer_slack: 600,
        drain_grace: 10_000,
        overload_multiple: machine.crowd,
        max_retry_after: 10_000,
        seed: day.seed,
        pools: pools.clone(),
        ..Settings::default()
    }
}

/// Plays the day to its end. With `look` a moment is kept for each second.
pub fn play(day: &Day, comings: &[Coming], machine: &Machine, pools: &PoolsConfig, look: bool) -> Played {
    let mut side = Side {
        now: 0,
        worker: Worker::new(machine.clone()),
        comings,
        jobs: HashMap::new(),
        free: Vec::new(),
        many: 0,
        events: BinaryHeap::new(),
        number: 0,
        wake: 0,
        told: Vec::new(),
        ended: Vec::with_capacity(comings.len()),
        asked: DefaultHasher::new(),
    };
    let mut scheduler = Scheduler::start(0, settings(day, machine, pools), &mut side);
    for trouble in &day.troubles {
        if let Trouble::Slow { speed, from, to } = *trouble {
            side.push(from, Event::Speed(speed.to_bits()));
            side.push(to, Event::Speed(1f64.to_bits()));
        }
    }
    let first = side.wake;
    side.push(first, Event::Tick);
    if let Some(coming) = comings.first() {
        side.push(coming.at, Event::Arrives(0));
    }
    let mut played = Played::default();
    let (mut done, mut next_look) = (Vec::new(), 0);
    let mut waits: Vec<Option<Time>> = Vec::new();
    let longest = day.classes.iter().map(|class| class.timeout).max().unwrap_or(0);
    let last = day.length + longest + SECOND;
    loop {
        let event = side.events.peek().map(|Reverse((at, ..))| *at);
        let at = [event, side.worker.next()].into_iter().flatten().min().unwrap_or(last);
        if at > last || comings.len() == side.ended.len() && side.now >= day.length {
            break;
        }
        side.now = at;
        side.worker.advance(at, &mut done);
        for what in done.drain(..) {
            match what {
                Done::Job(inv) => job_done(&mut scheduler, &mut side, inv),
                Done::Read(coming) => read(&mut scheduler, &mut side, coming),
            }
            settle(&mut scheduler, &mut side);
        }
        while let Some(Reverse((_, _, event))) =
            side.events.peek().copied().filter(|Reverse((due, ..))| *due <= at)
        {
            side.events.pop();
            match event {
                Event::Speed(bits) => side.worker.set_speed(f64::from_bits(bits)),
                Event::Arrives(coming) => {
                    side.worker.arrive(coming);
                    if let Some(next) = comings.get(coming + 1) {
                        side.push(next.at, Event::Arrives(coming + 1));
                    }
                }
                Event::Called(inv, number) => called(&mut scheduler, &mut side, inv, number),
                Event::Tick => {
                    let wanting = side.worker.wanting() as f64;
                    let gauges = Gauges {
                        core_utilization: Some(side.worker.in_use()),
                        runnable_tasks: Some(wanting),
                        memory_share: None,
                        connections: None,
                    };
                    scheduler.tick(at, gauges, &mut side);
                    let wake = side.wake;
                    side.push(wake, Event::Tick);
                    if look && at >= next_look {
                        let running = side.worker.wanting();
                        played.moments.push(Moment { at, pools: scheduler.pools().snapshots(), running });
                        next_look = at + SECOND;
                    }
                }
            }
            settle(&mut scheduler, &mut side);
        }
        watch(&scheduler, at, &mut waits, &mut played.waited);
    }
    assert_eq!(side.ended.len(), comings.len(), "each arrival has one final answer");
    played.busy = side.worker.busy() / (day.length as f64 * machine.cores);
    for ended in &side.ended {
        let late = ended.at - ended.came - day.classes[ended.class].timeout;
        assert!(late <= 700, "answered {late} late");
        if let (Some(started), Answer::Succeeded) = (ended.started, ended.how) {
            played.placed = played.placed.max(ended.at - started);
        }
    }
    played.ended = side.ended;
    played.digest = side.asked.finish();
    played
}

/// How long each pool with work and no place has waited for one.
fn watch(scheduler: &Scheduler, now: Time, waits: &mut Vec<Option<Time>>, waited: &mut Vec<Time>) {
    if scheduler.pools().is_disabled() {
        return;
    }
    scheduler.pools().visit_starvation(|at, waiting| {
        if waits.len() <= at {
            waits.resize(at + 1, None);
            waited.resize(at + 1, 0);
        }
        match (waiting, waits[at]) {
            (true, None) => waits[at] = Some(now),
            (true, Some(from)) => waited[at] = waited[at].max(now - from),
            (false, _) => waits[at] = None,
        }
    });
}

/// What the module's own wishes brought about, told to it after its call.
fn settle(scheduler: &mut Scheduler, side: &mut Side) {
    while let Some((inv, how)) = side.told.pop() {
        if side.jobs.contains_key(&inv) {
            let now = side.now;
            scheduler.handle_run_completed(now, inv, how, side);
        }
    }
}

fn read(scheduler: &mut Scheduler, side: &mut Side, coming: usize) {
    let what = &side.comings[coming];
    let inv = side.free.pop().unwrap_or(side.many);
    side.many = side.many.max(inv + 1);
    let (left, behind) = match what.call {
        Some((took, part)) => (what.work * part, Some((took, what.work * (1.0 - part)))),
        None => (what.work, None),
    };
    let (on_core, started, answered, call) = (false, None, false, 0);
    side.jobs.insert(inv, Job { coming, left, behind, on_core, started, answered, call });
    let arrival = Arrival {
        slot: inv,
        class: what.class,
        tenant: Some(usize::from(!what.in_share)),
        time_unread: side.now - what.at,
        expected_work: Some(what.hint),
        memory_kb: what.kb,
        ..Arrival::default()
    };
    let now = side.now;
    scheduler.handle_arrival(now, arrival, side);
}

fn job_done(scheduler: &mut Scheduler, side: &mut Side, inv: RequestSlot) {
    let now = side.now;
    let Some(job) = side.jobs.get_mut(&inv) else { return };
    job.on_core = false;
    if let Some((_, behind)) = job.behind {
        job.left = behind;
        scheduler.handle_call_needed(now, inv, side);
        return;
    }
    if !job.answered {
        side.answer(inv, Answer::Succeeded);
    }
    scheduler.handle_run_completed(now, inv, Outcome::Succeeded, side);
}

fn called(scheduler: &mut Scheduler, side: &mut Side, inv: RequestSlot, number: u64) {
    let now = side.now;
    let Some(job) = side.jobs.get_mut(&inv).filter(|job| job.call == number && !job.on_core) else { return };
    let took = job.behind.take().map_or(0.0, |(took, _)| took) as Time;
    if job.answered {
        return;
    }
    job.on_core = true;
    let left = job.left;
    side.worker.start(inv, left);
    scheduler.handle_call_completed(now, inv, Outcome::Succeeded, took, side);
}
