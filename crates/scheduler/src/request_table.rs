//! The open requests, the phase of each request, and the queue, counts and memory use derived from the phases.

use crate::types::{RequestSlot, RequestUsage, RetrySafety, Time};
use cypresscleat_concurrency::rank_index::{RankIndex, RankKey};
use cypresscleat_concurrency::{ClassUsage, Pools};
use std::cmp::Ordering;

/// The phase of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for a concurrency slot.
    #[default]
    Queued,
    /// Holds a concurrency slot and runs.
    Running,
    /// Waits for its downstream call to be made.
    AwaitingCall,
    /// Waits for the response of its downstream call.
    Calling,
    /// Waits for the result of the earlier attempt that it retries.
    AwaitingResult,
    /// Finished; only its entry is retained for retries.
    Finished,
}

impl Phase {
    /// Whether the request has been started and its run has not ended.
    fn is_active(self) -> bool {
        matches!(self, Phase::Running | Phase::AwaitingCall | Phase::Calling)
    }
}

/// The state of one request.
#[derive(Default)]
pub(crate) struct RequestState {
    /// Position in the order of arrival.
    pub(crate) sequence: u64,
    pub(crate) class: usize,
    pub(crate) tenant: Option<usize>,
    /// Whether the tenant's token bucket had a token for the request; true for tenants without a quota.
    pub(crate) within_quota: bool,
    /// Expected work sent by the client, in tenths of a millisecond.
    pub(crate) expected_work: f64,
    /// Expected work scaled by the measurements of the request class: the size by which the draw ranks the request.
    pub(crate) scaled_work: f64,
    /// Memory that the request uses while queued.
    pub(crate) memory_kb: f64,
    /// Priority weight per unit of work. Requests with the lowest priority are shed first; downstream calls are made for the
    /// highest priority first. Reduced for marked retries, for requests over quota and after a missed latency objective.
    pub(crate) priority: f64,
    pub(crate) arrived_at: Time,
    /// When the latency objective passes and the response loses priority weight.
    pub(crate) objective_at: Time,
    /// When the client gives up.
    pub(crate) deadline: Time,
    pub(crate) phase: Phase,
    /// Whether the request was started or an earlier attempt of it ran, so that it may have had its effect.
    pub(crate) has_run: bool,
    /// Whether the client has received the final response or has disconnected; no further response is sent.
    pub(crate) is_answered: bool,
    /// Whether the run succeeded.
    pub(crate) has_succeeded: bool,
    pub(crate) running_since: Time,
    /// Time spent running before `running_since`.
    pub(crate) running_time: Time,
    pub(crate) parked_since: Time,
    /// Time spent waiting for downstream calls.
    pub(crate) parked_time: Time,
    pub(crate) call_attempts: u32,
    /// When the request's timer fires.
    pub(crate) timer_at: Time,
    /// Until when the entry is retained for retries; `Time::MIN` if it isn't.
    pub(crate) retained_until: Time,
}

impl RequestState {
    /// Memory that the request uses in a phase; while it is active, `running_factor` times its own.
    fn memory_in(&self, phase: Phase, running_factor: f64) -> f64 {
        match phase {
            Phase::Queued | Phase::AwaitingResult => self.memory_kb,
            Phase::Finished => 0.0,
            Phase::Running | Phase::AwaitingCall | Phase::Calling => self.memory_kb * running_factor,
        }
    }
}

/// Owns the open requests and keeps the queue, the counts and the memory use consistent with their phases.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: Vec<Option<RequestState>>,
    queued: Vec<RequestSlot>,
    active: Vec<RequestSlot>,
    awaiting_call: Vec<RequestSlot>,
    running: usize,
    calling: usize,
    /// Total scaled work of all queued requests.
    queued_work: f64,
    /// The queued requests, ordered by scaled work.
    queue_index: RankIndex,
    /// The largest memory use of any request queued since the queue was last empty.
    largest_queued_kb: f64,
    used_memory_kb: f64,
    next_sequence: u64,
    running_memory_factor: f64,
    retained_entry_kb: f64,
}

impl RequestTable {
    pub(crate) fn new(running_memory_factor: f64, retained_entry_kb: f64) -> RequestTable {
        RequestTable { running_memory_factor, retained_entry_kb, ..RequestTable::default() }
    }

    pub(crate) fn get(&self, slot: RequestSlot) -> Option<&RequestState> {
        self.requests.get(slot)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, slot: RequestSlot) -> Option<&mut RequestState> {
        self.requests.get_mut(slot)?.as_mut()
    }

    /// Applies a change to a request if it is still open.
    pub(crate) fn update(&mut self, slot: RequestSlot, change: impl FnOnce(&mut RequestState)) {
        self.get_mut(slot).map(change);
    }

    /// The queued requests in order of arrival.
    pub(crate) fn queued(&self) -> &[RequestSlot] {
        &self.queued
    }

    /// The requests that run or are at a downstream call.
    pub(crate) fn active(&self) -> &[RequestSlot] {
        &self.active
    }

    /// The requests that wait for the result of an earlier attempt.
    pub(crate) fn awaiting_result(&self) -> Vec<RequestSlot> {
        let is_waiting = |request: &RequestState| request.phase == Phase::AwaitingResult;
        let is_waiting_in = |slot: &RequestSlot| self.get(*slot).is_some_and(is_waiting);
        (0..self.requests.len()).filter(is_waiting_in).collect()
    }

    /// The states of the active requests.
    pub(crate) fn active_states(&self) -> impl Iterator<Item = &RequestState> {
        self.active.iter().filter_map(|slot| self.requests[*slot].as_ref())
    }

    /// The requests that wait for their downstream call to be made.
    pub(crate) fn awaiting_call(&self) -> &[RequestSlot] {
        &self.awaiting_call
    }

    pub(crate) fn running(&self) -> usize {
        self.running
    }

    /// The number of downstream calls in flight.
    pub(crate) fn calling(&self) -> usize {
        self.calling
    }

    /// The number of active requests that wait for a downstream call.
    pub(crate) fn parked(&self) -> usize {
        self.active.len() - self.running
    }

    pub(crate) fn queued_work(&self) -> f64 {
        self.queued_work
    }

    pub(crate) fn used_memory_kb(&self) -> f64 {
        self.used_memory_kb
    }

    pub(crate) fn largest_queued_kb(&self) -> f64 {
        self.largest_queued_kb
    }

    pub(crate) fn running_memory_factor(&self) -> f64 {
        self.running_memory_factor
    }

    pub(crate) fn retained_entry_kb(&self) -> f64 {
        self.retained_entry_kb
    }

    /// The queued request with `rank` smaller requests before it.
    pub(crate) fn select_queued(&self, rank: usize) -> Option<RequestSlot> {
        self.queue_index.select(rank).map(|key| key.request)
    }

    /// Orders requests by ascending priority; of equal priorities the newer request comes first.
    pub(crate) fn compare_priority(&self, a: RequestSlot, b: RequestSlot) -> Ordering {
        let key = |slot| self.get(slot).map_or((0.0, 0), |request| (request.priority, request.sequence));
        let (a, b) = (key(a), key(b));
        a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))
    }

    /// Returns the next sequence number of arrivals and abandoned calls.
    pub(crate) fn take_sequence(&mut self) -> u64 {
        self.next_sequence += 1;
        self.next_sequence - 1
    }

    /// Adds a request to the end of the queue.
    pub(crate) fn insert(&mut self, now: Time, slot: RequestSlot, request: RequestState, pools: &mut Pools) {
        if self.requests.len() <= slot {
            self.requests.resize_with(slot + 1, || None);
        }
        self.used_memory_kb += request.memory_kb;
        self.requests[slot] = Some(request);
        self.enter_phase(now, slot, Phase::Queued, Phase::Queued, pools);
    }

    /// Removes a request and frees the memory of its retained entry.
    pub(crate) fn remove(&mut self, slot: RequestSlot) -> Option<RequestState> {
        let request = self.requests[slot].take()?;
        if request.retained_until > Time::MIN {
            self.used_memory_kb -= self.retained_entry_kb;
        }
        Some(request)
    }

    /// Retains the request's entry for retries and accounts for the memory of the entry.
    pub(crate) fn retain(&mut self, slot: RequestSlot, until: Time) {
        self.used_memory_kb += self.retained_entry_kb;
        self.update(slot, |request| request.retained_until = until);
    }

    /// Cancels a downstream call that has not been made; the request stays active until its run ends.
    pub(crate) fn cancel_awaited_call(&mut self, slot: RequestSlot) {
        self.awaiting_call.retain(|other| *other != slot);
    }

    /// Moves a request to another phase and updates everything counted by phase.
    pub(crate) fn transition(&mut self, now: Time, slot: RequestSlot, to: Phase, pools: &mut Pools) {
        let factor = self.running_memory_factor;
        let Some(request) = self.requests[slot].as_mut() else { return };
        let from = std::mem::replace(&mut request.phase, to);
        self.used_memory_kb += request.memory_in(to, factor) - request.memory_in(from, factor);
        self.leave_phase(now, slot, from, pools);
        self.enter_phase(now, slot, from, to, pools);
        if to.is_active() && !from.is_active() {
            self.active.push(slot);
        } else if from.is_active() && !to.is_active() {
            self.active.retain(|other| *other != slot);
        }
    }

    fn leave_phase(&mut self, now: Time, slot: RequestSlot, from: Phase, pools: &mut Pools) {
        let Some(request) = self.requests[slot].as_mut() else { return };
        match from {
            Phase::Queued => {
                self.queued.retain(|other| *other != slot);
                pools.dequeue(request.class, request.scaled_work, request.memory_kb, request.within_quota);
                self.queue_index.remove(&queue_key(slot, request));
                let is_empty = self.queued.is_empty();
                self.largest_queued_kb = if is_empty { 0.0 } else { self.largest_queued_kb };
                self.queued_work = if is_empty { 0.0 } else { self.queued_work - request.scaled_work };
            }
            Phase::Running => {
                request.running_time += now - request.running_since;
                pools.release(request.class);
                self.running -= 1;
            }
            Phase::AwaitingCall => self.awaiting_call.retain(|other| *other != slot),
            Phase::Calling => self.calling -= 1,
            Phase::AwaitingResult | Phase::Finished => {}
        }
    }

    fn enter_phase(&mut self, now: Time, slot: RequestSlot, from: Phase, to: Phase, pools: &mut Pools) {
        let Some(request) = self.requests[slot].as_mut() else { return };
        match to {
            Phase::Queued => {
                self.queued.push(slot);
                self.queue_index.insert(queue_key(slot, request));
                self.largest_queued_kb = self.largest_queued_kb.max(request.memory_kb);
                pools.enqueue(now, request.class, request.scaled_work, request.memory_kb);
                if !request.within_quota {
                    pools.mark_over_quota(request.class, request.scaled_work);
                }
                self.queued_work += request.scaled_work;
            }
            Phase::Running => {
                if matches!(from, Phase::AwaitingCall | Phase::Calling) {
                    request.parked_time += now - request.parked_since;
                }
                request.running_since = now;
                pools.acquire(now, request.class);
                self.running += 1;
            }
            Phase::AwaitingCall => self.awaiting_call.push(slot),
            Phase::Calling => self.calling += 1,
            Phase::AwaitingResult | Phase::Finished => {}
        }
    }

    /// The counts and sums as they are kept up to date by event.
    pub(crate) fn usage(&self) -> RequestUsage {
        RequestUsage {
            queued: self.queued.len(),
            running: self.running,
            calling: self.calling,
            queued_work: self.queued_work,
            used_memory_kb: self.used_memory_kb,
        }
    }

    /// The same counts and sums over the requests as they are now.
    pub(crate) fn recount_usage(&self) -> RequestUsage {
        let mut usage = RequestUsage::default();
        for request in self.requests.iter().flatten() {
            usage.queued += usize::from(request.phase == Phase::Queued);
            usage.running += usize::from(request.phase == Phase::Running);
            usage.calling += usize::from(request.phase == Phase::Calling);
            if request.phase == Phase::Queued {
                usage.queued_work += request.scaled_work;
            }
            usage.used_memory_kb += request.memory_in(request.phase, self.running_memory_factor);
            if request.retained_until > Time::MIN {
                usage.used_memory_kb += self.retained_entry_kb;
            }
        }
        usage
    }

    /// Counts the queued and running requests of each class, for a change of the pools while requests run.
    pub(crate) fn count_by_class(&self, classes: usize) -> Vec<ClassUsage> {
        let mut counts: Vec<ClassUsage> =
            (0..classes).map(|class| ClassUsage { class, ..ClassUsage::default() }).collect();
        let open = self.queued.iter().chain(&self.active);
        for request in open.filter_map(|slot| self.requests[*slot].as_ref()) {
            let count = &mut counts[request.class];
            if request.phase == Phase::Queued {
                let over_quota = if request.within_quota { 0.0 } else { 1.0 };
                count.queued += 1;
                count.over_quota += over_quota as usize;
                count.queued_size += request.scaled_work;
                count.over_quota_size += request.scaled_work * over_quota;
                count.queued_kb += request.memory_kb;
            }
            count.running += usize::from(request.phase == Phase::Running);
        }
        counts
    }
}

fn queue_key(slot: RequestSlot, request: &RequestState) -> RankKey {
    RankKey { size: request.scaled_work, sequence: request.sequence, request: slot }
}

/// Whether requests with this retry safety must not be executed a second time.
pub(crate) fn must_not_run_twice(retry_safety: RetrySafety) -> bool {
    retry_safety != RetrySafety::Idempotent
}
