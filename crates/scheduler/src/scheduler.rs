//! The scheduler of one server. Owns the state of every rule and passes each rule the state it needs.

use crate::admission::deduplication::Deduplication;
use crate::admission::draining::Draining;
use crate::admission::memory::MemoryLimit;
use crate::admission::quota::Quota;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::connections::IdleConnections;
use crate::dispatch::Dispatcher;
use crate::downstream::Downstream;
use crate::estimates::Estimates;
use crate::events::SchedulerEvent;
use crate::host::Host;
use crate::load_feedback::LoadFeedback;
use crate::request_table::{Phase, RequestTable};
use crate::settings::Settings;
use crate::slow_start::SlowStart;
use crate::timers::Timers;
use crate::types::{Gauges, RequestSlot, RequestUsage, StopMode, Time};
use cypresscleat_concurrency::{ClassUsage, Pools, PoolsConfig};
use cypresscleat_primitives::SECOND;

/// Decides which requests one server admits, runs and rejects. Each method reports one event; the decisions go to the
/// [`Host`].
#[derive(Default)]
pub struct Scheduler {
    // Settings used by more than one rule.
    pub(crate) cores: f64,
    pub(crate) shortest_objective: f64,
    pub(crate) stop_mode: StopMode,
    pub(crate) max_retry_after: Time,
    pub(crate) weight_per_work: bool,
    // Open requests and their timers.
    pub(crate) requests: RequestTable,
    pub(crate) timers: Timers,
    // State of the rules.
    pub(crate) draining: Draining,
    pub(crate) deduplication: Deduplication,
    pub(crate) quota: Quota,
    pub(crate) memory: MemoryLimit,
    pub(crate) pools: Pools,
    pub(crate) concurrency_limit: ConcurrencyLimit,
    pub(crate) slow_start: SlowStart,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) downstream: Downstream,
    pub(crate) estimates: Estimates,
    pub(crate) connections: IdleConnections,
    pub(crate) load_feedback: LoadFeedback,
    last_tick: Time,
}

impl Scheduler {
    /// Starts a scheduler and sets the timer of its first tick.
    pub fn start(now: Time, settings: Settings, host: &mut impl Host) -> Scheduler {
        let cores = settings.cores.max(1.0);
        let overload_multiple = settings.overload_multiple.max(1.0);
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        let shortest_objective = objectives.min().unwrap_or(SECOND) as f64;
        let scheduler = Scheduler {
            cores,
            shortest_objective,
            stop_mode: settings.stop_mode,
            max_retry_after: settings.max_retry_after,
            weight_per_work: settings.weight_per_work,
            requests: RequestTable::new(settings.running_memory_factor.max(1.0), settings.retained_entry_kb),
            timers: Timers::new(settings.answer_slack),
            draining: Draining::new(settings.drain_grace),
            deduplication: Deduplication::new(settings.result_freshness),
            quota: Quota::new(&settings),
            memory: MemoryLimit::new(settings.memory_kb),
            pools: Pools::new(&settings.pools, settings.classes.len(), cores),
            concurrency_limit: ConcurrencyLimit::new(cores, shortest_objective, overload_multiple),
            slow_start: SlowStart::new(now, &settings),
            dispatcher: Dispatcher::new(settings.seed),
            downstream: Downstream::new(&settings),
            estimates: Estimates::new(&settings.classes),
            connections: IdleConnections::new(&settings),
            load_feedback: LoadFeedback::new(&settings),
            last_tick: now,
        };
        host.set_timer(scheduler.timers.interval());
        scheduler
    }

    /// Runs the periodic tick with the server's current gauges: fires due timers, updates estimates and limits, and starts
    /// the requests and calls that the limits allow.
    pub fn tick(&mut self, now: Time, gauges: Gauges, host: &mut impl Host) {
        let elapsed = (now - self.last_tick).max(0) as f64;
        self.last_tick = now;
        while let Some(slot) = self.timers.pop_due(now) {
            self.handle_timer(now, slot, host);
        }
        self.quota.refill(elapsed);
        self.estimates.update(now, elapsed, &self.requests);
        self.update_concurrency_limit(now, gauges, elapsed);
        self.connections.record_gauges(gauges, self.requests.running() as f64);
        // Both calls of `is_due` return the same result, since only `send_load_feedback` sets the next feedback time. The
        // credit refill between them shares no state with either block. Only the order of the calls to the host matters:
        // the idle timeout precedes the feedback.
        if self.load_feedback.is_due(now) {
            self.connections.update(gauges, host);
        }
        self.downstream.refill_call_credit(now, elapsed, self.requests.calling());
        if self.load_feedback.is_due(now) {
            self.send_load_feedback(now, host);
        }
        self.dispatch_calls(now, host);
        self.dispatch(now, host);
        host.set_timer(self.timers.interval());
    }

    fn update_concurrency_limit(&mut self, now: Time, gauges: Gauges, elapsed: f64) {
        let has_queued = !self.requests.queued().is_empty();
        self.concurrency_limit.decay_time_unread(elapsed);
        self.concurrency_limit.update(gauges, elapsed, self.requests.running() as f64, has_queued);
        self.pools.tick(now, self.concurrency_limit.limit());
    }

    /// Sets the number of concurrency slots that planners grant, where requests run on other servers.
    pub fn set_granted_slots(&mut self, now: Time, slots: f64, host: &mut impl Host) {
        self.dispatcher.set_granted_slots(slots);
        self.dispatch(now, host);
    }

    /// Changes the concurrency pools; queued and running requests are counted in the new pools of their classes.
    pub fn set_pools(&mut self, now: Time, pools: &PoolsConfig, host: &mut impl Host) {
        let classes = self.estimates.class_count();
        self.pools.reconfigure(pools, classes, &self.requests.count_by_class(classes));
        host.log(&SchedulerEvent::Pools { state: self.pools.summary() });
        self.dispatch(now, host);
    }

    /// The concurrency pools, for measurements.
    pub fn pools(&self) -> &Pools {
        &self.pools
    }

    /// Whether a request is open: admitted, and not finished. The entry of a finished request may be retained for retries.
    pub fn is_open(&self, slot: RequestSlot) -> bool {
        self.requests.get(slot).is_some_and(|request| request.phase != Phase::Finished)
    }

    /// The counts and sums over the open requests that decisions rest on, for measurements and tests.
    pub fn usage(&self) -> RequestUsage {
        self.requests.usage()
    }

    /// The same counts and sums, recounted over the open requests; equal to [`Scheduler::usage`] but for rounding.
    pub fn recount_usage(&self) -> RequestUsage {
        self.requests.recount_usage()
    }

    /// The queued and running requests of each class, counted over the open requests.
    pub fn recount_by_class(&self) -> Vec<ClassUsage> {
        self.requests.count_by_class(self.estimates.class_count())
    }

    /// The maximum number of requests that all clients together may have outstanding on this server; `None` once the server
    /// has warmed up.
    pub fn slow_start_limit(&self, now: Time) -> Option<f64> {
        self.slow_start.limit(now)
    }

    /// Moves a request to another phase.
    pub(crate) fn transition(&mut self, now: Time, slot: RequestSlot, to: Phase) {
        self.requests.transition(now, slot, to, &mut self.pools);
    }

    /// Expected time from the start of a request to its end, with its downstream calls.
    pub(crate) fn service_time(&self, slot: RequestSlot) -> f64 {
        self.requests.get(slot).map_or(0.0, |request| self.estimates.service_time(request))
    }
}
