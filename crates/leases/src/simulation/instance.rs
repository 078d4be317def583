//! An instance of the simulation: its clock, its work, and what it does when it wakes.

use super::{Mail, Simulation};
use crate::client::{LeaseClient, LeaseEvent, Outgoing};
use crate::messages::Response;
use crate::{NodeId, Partition, Time, MS};
use std::collections::BTreeMap;

/// Ids of instances begin here; those of replicas are lower.
const FIRST_INSTANCE_ID: NodeId = 1000;

/// An instance, its clock and its work.
pub struct Instance {
    /// The client; `None` while the process is dead.
    pub client: Option<LeaseClient>,
    pub(super) id: NodeId,
    pub(super) incarnations: u64,
    /// The process stands still until then.
    pub paused_until: Time,
    /// Thousandths by which its clock runs fast or, where negative, slow.
    pub clock_drift_permille: i64,
    /// How far its clock is ahead.
    pub clock_offset: Time,
    pub(super) work: BTreeMap<Partition, Work>,
    /// Messages that wait for the process.
    pub(super) inbox: Vec<InboxMessage>,
    /// Acts that had checked the lease when the process was stopped.
    pub(super) under_way: Vec<Mail>,
}

/// Work on a partition.
#[derive(Clone, Debug)]
pub(super) struct Work {
    pub(super) token: u64,
    /// The next item.
    pub(super) item: u64,
    /// When its act is sent, or sent again.
    next: Time,
    /// The cursor behind it waits to be decided.
    pub(super) ticket: Option<u64>,
}

/// A message to an instance.
#[derive(Clone, Debug)]
pub(super) enum InboxMessage {
    Response(NodeId, Response),
    Acted { partition: Partition, token: u64, item: u64, accepted: bool },
}

impl Instance {
    /// The instance at a position; its process is not started.
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
            under_way: Vec::new(),
        }
    }

    /// Handles the inbox, lets the client do what is due, and follows its events.
    fn process(&mut self, now: Time, act: Time) -> Outgoing {
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
            requests.extend(self.handle_event(now, act, event));
        }
        requests
    }

    fn handle_message(&mut self, now: Time, message: InboxMessage) -> Outgoing {
        let Some(client) = self.client.as_mut() else { return Vec::new() };
        match message {
            InboxMessage::Response(from, response) => return client.handle(now, from, response),
            InboxMessage::Acted { partition, token, item, accepted } => {
                let Some(work) = self.work.get_mut(&partition) else { return Vec::new() };
                if work.token != token || work.item != item || work.ticket.is_some() {
                    return Vec::new();
                }
                if accepted {
                    work.ticket = client.save_cursor(partition, (item + 1).to_le_bytes().to_vec());
                } else {
                    work.next = Time::MAX;
                }
            }
        }
        Vec::new()
    }

    fn handle_event(&mut self, now: Time, act: Time, event: LeaseEvent) -> Outgoing {
        match event {
            LeaseEvent::Acquired { partition, token, cursor } => {
                let item = cursor.try_into().map(u64::from_le_bytes).unwrap_or(0);
                if act > 0 {
                    self.work.insert(partition, Work { token, item, next: now, ticket: None });
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
                    work.next = if accepted { now + act } else { Time::MAX };
                }
            }
        }
        Vec::new()
    }
}

impl Simulation {
    /// What an instance's clock shows now.
    pub(super) fn clock(&self, at: usize) -> Time {
        let one = &self.instances[at];
        self.cluster.now + self.cluster.now * one.clock_drift_permille / 1000 + one.clock_offset
    }

    /// When its clock shows `time`.
    fn time_when_clock_shows(&self, at: usize, time: Time) -> Time {
        let one = &self.instances[at];
        if time >= Time::MAX / 4 {
            return Time::MAX;
        }
        let mut when = (time - one.clock_offset) * 1000 / (1000 + one.clock_drift_permille);
        while when + when * one.clock_drift_permille / 1000 + one.clock_offset < time {
            when += 1;
        }
        when
    }

    /// Plans when an instance has something to do next.
    pub(super) fn schedule(&mut self, at: usize) {
        let one = &self.instances[at];
        let next = one.client.as_ref().map_or(Time::MAX, |client| {
            let acts = one.work.values().filter(|work| work.ticket.is_none()).map(|work| work.next);
            let due = acts.min().unwrap_or(Time::MAX).min(client.next_deadline());
            let message = if one.inbox.is_empty() { Time::MAX } else { 0 };
            self.time_when_clock_shows(at, due).min(message).max(one.paused_until)
        });
        let had = std::mem::replace(&mut self.wake_at[at], next);
        self.wake_queue.remove(&(had, at));
        self.wake_queue.insert((next, at));
    }

    /// An instance does what is due, unless it stands still.
    pub(super) fn wake(&mut self, at: usize) {
        self.run_due_work(at);
        self.schedule(at);
    }

    fn run_due_work(&mut self, at: usize) {
        if self.instances[at].paused_until > self.cluster.now || self.instances[at].client.is_none() {
            return;
        }
        let now = self.clock(at);
        let act = self.config.act_interval;
        let under_way = std::mem::take(&mut self.instances[at].under_way);
        under_way.into_iter().for_each(|mail| self.post(act / 2, mail));
        let requests = self.instances[at].process(now, act);
        self.post_requests(at, requests);
        self.perform_due_acts(at, now);
    }

    /// Sends the acts that are due: the lease is checked before each, and each carries its token.
    fn perform_due_acts(&mut self, at: usize, now: Time) {
        let one = &mut self.instances[at];
        let Some(client) = one.client.as_ref() else { return };
        let mut acts = Vec::new();
        for (partition, work) in &mut one.work {
            if work.next > now || work.ticket.is_some() {
                continue;
            }
            if client.valid_token(now, *partition) == Some(work.token) {
                acts.push(Mail::Act { from: at, partition: *partition, token: work.token, item: work.item });
                // Sent again where nothing comes back.
                work.next = now + self.config.lease / 2;
            } else {
                work.next = now + 10 * MS;
            }
        }
        for mail in acts {
            if let Mail::Act { partition, .. } = mail {
                let acting = |(other, one): (usize, &Instance)| {
                    let runs = other != at && one.paused_until <= self.cluster.now;
                    runs && one
                        .client
                        .as_ref()
                        .is_some_and(|client| client.valid_token(self.clock(other), partition).is_some())
                };
                if self.instances.iter().enumerate().any(acting) {
                    self.double_owner.get_or_insert((self.cluster.now, partition));
                }
            }
            self.post(self.config.act_interval / 2, mail);
        }
    }
}
