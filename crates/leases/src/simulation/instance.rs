//! An instance of the simulation: its clock, its work, and what it does when it wakes.

use super::{InFlightMessage, Simulation};
use crate::client::{LeaseClient, LeaseEvent, Outgoing};
use crate::messages::Response;
use crate::{NodeId, Partition, Time, MS};
use std::collections::BTreeMap;

/// Lowest id of an instance; the ids of replicas are lower.
const FIRST_INSTANCE_ID: NodeId = 1000;

/// An instance, its clock and its work.
pub struct Instance {
    /// The client; `None` while the process is stopped.
    pub client: Option<LeaseClient>,
    pub(super) id: NodeId,
    pub(super) incarnations: u64,
    /// The process is paused until this time.
    pub paused_until: Time,
    /// Thousandths by which its clock runs fast or, where negative, slow.
    pub clock_drift_permille: i64,
    /// Offset of its clock ahead of simulated time.
    pub clock_offset: Time,
    pub(super) work: BTreeMap<Partition, PartitionWork>,
    /// Messages that wait for the process.
    pub(super) inbox: Vec<InboxMessage>,
    /// Operations whose lease check was done when the process was paused.
    pub(super) unsent_operations: Vec<InFlightMessage>,
}

/// Work on a partition.
#[derive(Clone, Debug)]
pub(super) struct PartitionWork {
    pub(super) token: u64,
    /// The next item.
    pub(super) item: u64,
    /// Time of the next attempt.
    next_at: Time,
    /// Ticket of the cursor whose save is pending.
    pub(super) ticket: Option<u64>,
}

/// A message to an instance.
#[derive(Clone, Debug)]
pub(super) enum InboxMessage {
    Response(NodeId, Response),
    ResourceResponse { partition: Partition, token: u64, item: u64, accepted: bool },
}

impl Instance {
    /// Creates the instance at a position; its process is not started.
    pub(super) fn new(at: usize) -> Instance {
        Instance {
            client: None,
            id: FIRST_INSTANCE_ID + at as NodeId,
            incarnations: 0,
            paused_until: 0,
            clock_drift_permille: 0,
            clock_offset: 0,
            work: BTreeMap::new(),
            inbox: Vec::new(),
            unsent_operations: Vec::new(),
        }
    }

    /// Handles the inbox, the client's deadlines and its events.
    fn process(&mut self, now: Time, interval: Time) -> Outgoing {
        let mut requests = Vec::new();
        for message in std::mem::take(&mut self.inbox) {
            requests.extend(self.handle_message(now, message));
        }
        let Some(client) = self.client.as_mut() else { return requests };
        if now >= client.next_deadline() {
            requests.extend(client.tick(now));
        }
        requests.extend(client.send_operations(now));
        let events: Vec<LeaseEvent> = client.events().collect();
        for event in events {
            requests.extend(self.handle_event(now, interval, event));
        }
        requests
    }

    fn handle_message(&mut self, now: Time, message: InboxMessage) -> Outgoing {
        let Some(client) = self.client.as_mut() else { return Vec::new() };
        match message {
            InboxMessage::Response(from, response) => return client.handle(now, from, response),
            InboxMessage::ResourceResponse { partition, token, item, accepted } => {
                let Some(work) = self.work.get_mut(&partition) else { return Vec::new() };
                if work.token != token || work.item != item || work.ticket.is_some() {
                    return Vec::new();
                }
                if accepted {
                    work.ticket = client.save_cursor(partition, (item + 1).to_le_bytes().to_vec());
                } else {
                    work.next_at = Time::MAX;
                }
            }
        }
        Vec::new()
    }

    fn handle_event(&mut self, now: Time, interval: Time, event: LeaseEvent) -> Outgoing {
        match event {
            LeaseEvent::Acquired { partition, token, cursor } => {
                let item = cursor.try_into().map(u64::from_le_bytes).unwrap_or(0);
                if interval > 0 {
                    self.work.insert(partition, PartitionWork { token, item, next_at: now, ticket: None });
                }
            }
            LeaseEvent::Lost { partition, token } => {
                if self.work.get(&partition).is_some_and(|work| work.token == token) {
                    self.work.remove(&partition);
                }
            }
            LeaseEvent::ReleaseRequested { partition } => {
                self.work.remove(&partition);
                let Some(client) = self.client.as_mut() else { return Vec::new() };
                client.release(partition);
                return client.send_operations(now);
            }
            LeaseEvent::CursorSaved { ticket, accepted } => {
                if let Some(work) = self.work.values_mut().find(|work| work.ticket == Some(ticket)) {
                    work.ticket = None;
                    work.item += u64::from(accepted);
                    work.next_at = if accepted { now + interval } else { Time::MAX };
                }
            }
        }
        Vec::new()
    }
}

impl Simulation {
    /// The time that an instance's clock shows now.
    pub(super) fn clock(&self, at: usize) -> Time {
        let instance = &self.instances[at];
        self.cluster.now + self.cluster.now * instance.clock_drift_permille / 1000 + instance.clock_offset
    }

    /// The simulated time at which an instance's clock shows `time`.
    fn time_when_clock_shows(&self, at: usize, time: Time) -> Time {
        let instance = &self.instances[at];
        if time >= Time::MAX / 4 {
            return Time::MAX;
        }
        let mut when = (time - instance.clock_offset) * 1000 / (1000 + instance.clock_drift_permille);
        while when + when * instance.clock_drift_permille / 1000 + instance.clock_offset < time {
            when += 1;
        }
        when
    }

    /// Schedules the next deadline of an instance.
    pub(super) fn schedule(&mut self, at: usize) {
        let instance = &self.instances[at];
        let next = instance.client.as_ref().map_or(Time::MAX, |client| {
            let operations =
                instance.work.values().filter(|work| work.ticket.is_none()).map(|work| work.next_at);
            let due_at = operations.min().unwrap_or(Time::MAX).min(client.next_deadline());
            let message_at = if instance.inbox.is_empty() { Time::MAX } else { 0 };
            self.time_when_clock_shows(at, due_at).min(message_at).max(instance.paused_until)
        });
        let previous = std::mem::replace(&mut self.wake_at[at], next);
        self.wake_queue.remove(&(previous, at));
        self.wake_queue.insert((next, at));
    }

    /// Processes an instance's deadlines, unless it is paused.
    pub(super) fn wake(&mut self, at: usize) {
        self.run_due_work(at);
        self.schedule(at);
    }

    fn run_due_work(&mut self, at: usize) {
        if self.instances[at].paused_until > self.cluster.now || self.instances[at].client.is_none() {
            return;
        }
        let now = self.clock(at);
        let interval = self.config.operation_interval;
        let unsent_operations = std::mem::take(&mut self.instances[at].unsent_operations);
        unsent_operations.into_iter().for_each(|operation| self.send(interval / 2, operation));
        let requests = self.instances[at].process(now, interval);
        self.send_requests(at, requests);
        self.send_due_operations(at, now);
    }

    /// Sends the operations that are due. The lease is checked before each, and each carries its fencing token.
    fn send_due_operations(&mut self, at: usize, now: Time) {
        let instance = &mut self.instances[at];
        let Some(client) = instance.client.as_ref() else { return };
        let mut operations = Vec::new();
        for (partition, work) in &mut instance.work {
            if work.next_at > now || work.ticket.is_some() {
                continue;
            }
            if client.valid_token(now, *partition) == Some(work.token) {
                operations.push(InFlightMessage::ResourceOperation {
                    from: at,
                    partition: *partition,
                    token: work.token,
                    item: work.item,
                });
                // Sent again without a response.
                work.next_at = now + self.config.lease / 2;
            } else {
                work.next_at = now + 10 * MS;
            }
        }
        for operation in operations {
            if let InFlightMessage::ResourceOperation { partition, .. } = operation {
                let may_operate = |(other, instance): (usize, &Instance)| {
                    let is_running = other != at && instance.paused_until <= self.cluster.now;
                    is_running
                        && instance
                            .client
                            .as_ref()
                            .is_some_and(|client| client.valid_token(self.clock(other), partition).is_some())
                };
                if self.instances.iter().enumerate().any(may_operate) {
                    self.concurrent_owners.get_or_insert((self.cluster.now, partition));
                }
            }
            self.send(self.config.operation_interval / 2, operation);
        }
    }
}
