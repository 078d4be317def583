//! Keepers, instances that own, and a thing that is acted upon, in one simulated net with simulated disks. Instances stand still,
//! die and drain, links are cut on any side, clocks run apart; the thing acted upon keeps the journal by which all is judged.
//! Deterministic by seed.

use crate::client::{LeaseClient, LeaseEvent};
use crate::fence::Fence;
use crate::manager::LeaseManager;
use crate::messages::{Request, Response};
use crate::state::LeaseState;
use crate::{Claim, NodeId, Partition, Time, MS};
use cypresscleat_consensus::letter;
use cypresscleat_consensus::sim::World;
use cypresscleat_consensus::Answer as Answered;
use cypresscleat_consensus::{Options, SeededRng};
use std::collections::{BTreeMap, BTreeSet};

/// Guards that tests take out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisabledSafeguards {
    /// The thing acted upon compares no tokens.
    pub ignore_tokens: bool,
    /// Instances hold on after their lease.
    pub ignore_lease_end: bool,
}

#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    pub replicas: usize,
    pub instances: usize,
    pub partitions: u32,
    pub lease: Time,
    /// Time from an act to the thing acted upon, and between acts of an owner on a partition; 0 for no acts.
    pub act: Time,
    pub safeguards: DisabledSafeguards,
}

impl Default for SimulationConfig {
    fn default() -> SimulationConfig {
        let safeguards = DisabledSafeguards::default();
        SimulationConfig { replicas: 3, instances: 4, partitions: 1, lease: 20_000, act: 20 * MS, safeguards }
    }
}

/// An instance, its clock and its work.
pub struct Instance {
    pub client: Option<LeaseClient>,
    id: NodeId,
    incarnations: u64,
    /// Stands still until then.
    pub stopped: Time,
    /// Its clock: so many parts in a thousand fast or slow, and ahead.
    pub rate: i64,
    pub ahead: Time,
    /// Of each partition it works on: token, next item, and whether that is under way since when.
    work: BTreeMap<Partition, Work>,
    inbox: Vec<(Time, InboxMessage)>,
    /// Acts past their look at the lease when it was stopped.
    under_way: Vec<Mail>,
}

#[derive(Clone, Debug)]
struct Work {
    token: u64,
    item: u64,
    next: Time,
    ticket: Option<u64>,
}

#[derive(Clone, Debug)]
enum InboxMessage {
    Response(NodeId, Response),
    Acted { partition: Partition, token: u64, item: u64, accepted: bool },
}

/// An act that reached what is acted upon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Act {
    pub at: Time,
    pub partition: Partition,
    pub token: u64,
    pub item: u64,
    pub by: NodeId,
    pub accepted: bool,
    /// The item had been done: the act has no effect, and is none that counts.
    pub done_before: bool,
}

#[derive(Clone, Debug)]
enum Mail {
    Request { to: usize, from: usize, request: Request },
    Response { to: usize, from: NodeId, response: Response },
    Act { from: usize, partition: Partition, token: u64, item: u64 },
    Acted { to: usize, partition: Partition, token: u64, item: u64, accepted: bool },
}

pub struct Simulation {
    pub config: SimulationConfig,
    pub world: World<LeaseState>,
    pub managers: Vec<LeaseManager<usize>>,
    pub instances: Vec<Instance>,
    mail: BTreeMap<(Time, u64), Mail>,
    posted: u64,
    rng: SeededRng,
    fence: Fence,
    done: BTreeMap<Partition, BTreeSet<u64>>,
    pub journal: Vec<Act>,
    /// Between an instance and a replica, or an instance and what is acted upon: nothing gets through.
    pub cut_from_replicas: BTreeSet<usize>,
    pub cut_from_resource: BTreeSet<usize>,
    pub messages_sent: u64,
    pub message_bytes: u64,
    /// Since when each partition has had no owner that may act, and the longest such times.
    pub changes: Vec<(Time, Partition, u64, u64)>,
    told: BTreeSet<(Partition, u64, bool)>,
    stuck: (Time, u64),
    /// When each instance has something to do next, and in that order.
    dues: Vec<Time>,
    due: BTreeSet<(Time, usize)>,
    /// Two that might act on a partition at once, when one of them did.
    pub double_owner: Option<(Time, Partition)>,
}

/// The address of instance `at`, and back.
fn instance_id(at: usize) -> NodeId {
    1000 + at as NodeId
}

impl Simulation {
    pub fn new(config: SimulationConfig, seed: u64) -> Simulation {
        let world = World::new(config.replicas, LeaseState::default(), Options::default(), seed);
        let mut simulation = Simulation {
            config,
            world,
            managers: (0..config.replicas).map(|_| LeaseManager::new(config.lease)).collect(),
            instances: Vec::new(),
            mail: BTreeMap::new(),
            posted: 0,
            rng: SeededRng::new(seed ^ 0x0b5),
            fence: Fence::default(),
            done: BTreeMap::new(),
            journal: Vec::new(),
            cut_from_replicas: BTreeSet::new(),
            cut_from_resource: BTreeSet::new(),
            messages_sent: 0,
            message_bytes: 0,
            changes: Vec::new(),
            told: BTreeSet::new(),
            stuck: (0, 0),
            dues: Vec::new(),
            due: BTreeSet::new(),
            double_owner: None,
        };
        for at in 0..config.instances {
            simulation.instances.push(Instance {
                client: None,
                id: instance_id(at),
                incarnations: 0,
                stopped: 0,
                rate: 0,
                ahead: 0,
                work: BTreeMap::new(),
                inbox: Vec::new(),
                under_way: Vec::new(),
            });
            simulation.start(at);
        }
        simulation
    }

    /// What an instance's clock shows.
    fn clock(&self, at: usize) -> Time {
        let one = &self.instances[at];
        self.world.now + self.world.now * one.rate / 1000 + one.ahead
    }

    /// When its clock shows `time`.
    fn time_when_clock_shows(&self, at: usize, time: Time) -> Time {
        let one = &self.instances[at];
        if time >= Time::MAX / 4 {
            return Time::MAX;
        }
        let mut when = (time - one.ahead) * 1000 / (1000 + one.rate);
        while when + when * one.rate / 1000 + one.ahead < time {
            when += 1;
        }
        when
    }

    pub fn start(&mut self, at: usize) {
        self.instances[at].incarnations += 1;
        let now = self.clock(at);
        let one = &mut self.instances[at];
        let claims = vec![Claim { task: 1, partitions: self.config.partitions, rank: 0 }];
        let replicas = (0..self.config.replicas).map(|replica| replica as NodeId + 1).collect();
        let mut client = LeaseClient::new(now, one.id, one.incarnations, claims, replicas);
        client.ignore_lease_end = self.config.safeguards.ignore_lease_end;
        (one.client, one.stopped) = (Some(client), 0);
        one.work.clear();
        one.inbox.clear();
    }

    pub fn kill(&mut self, at: usize) {
        self.instances[at].client = None;
        self.instances[at].work.clear();
        self.instances[at].inbox.clear();
        self.instances[at].under_way.clear();
    }

    /// It stands still for so long, in the middle of its acts; letters wait for it.
    pub fn stop(&mut self, at: usize, time: Time) {
        let now = self.clock(at);
        let one = &mut self.instances[at];
        one.stopped = self.world.now + time;
        let Some(client) = &one.client else { return };
        for (partition, work) in one.work.iter().filter(|(_, work)| work.ticket.is_none()) {
            if client.valid_token(now, *partition) == Some(work.token) {
                let act = Mail::Act { from: at, partition: *partition, token: work.token, item: work.item };
                one.under_way.push(act);
            }
        }
    }

    pub fn drain(&mut self, at: usize) {
        let now = self.clock(at);
        let requests = self.instances[at].client.as_mut().map(|client| client.leave(now));
        self.instances[at].work.clear();
        self.post_requests(at, requests.unwrap_or_default());
    }

    /// The instance that owns a partition as the replicas have it.
    pub fn owner(&self, partition: Partition) -> Option<usize> {
        let leader = self.world.leader()?;
        let (owner, _) = self.world.seats[leader].keeper.as_ref()?.machine().owner(partition)?;
        self.instances.iter().position(|one| one.id == owner)
    }

    fn post(&mut self, delay: Time, mail: Mail) {
        let spread = self.rng.below(delay.max(1) as u64) as Time;
        let lost = self.world.weather.lost > 0 && self.rng.one_in(self.world.weather.lost);
        // Acts go over a connection: late, but not lost by themselves.
        if lost && matches!(mail, Mail::Request { .. } | Mail::Response { .. }) {
            return;
        }
        let twice = self.world.weather.doubled > 0 && self.rng.one_in(self.world.weather.doubled);
        let mut late = 0;
        if self.world.weather.slow > 0 && self.rng.one_in(20) {
            late = self.rng.below(self.world.weather.slow as u64) as Time;
        }
        for _ in 0..1 + u64::from(twice) {
            self.posted += 1;
            self.mail.insert((self.world.now + delay + spread + late, self.posted), mail.clone());
        }
    }

    fn post_requests(&mut self, from: usize, requests: Vec<(NodeId, Request)>) {
        for (to, request) in requests {
            self.messages_sent += 1;
            self.message_bytes += letter::write(&request).map_or(0, |bytes| bytes.len() as u64);
            if !self.cut_from_replicas.contains(&from) {
                self.post(self.world.weather.delay, Mail::Request { to: to as usize - 1, from, request });
            }
        }
    }

    /// What a replica's step asks for, its manager's words with it.
    fn after(&mut self, at: usize) {
        let now = self.world.now;
        let (own, others) = std::mem::take(&mut self.world.answers).into_iter().partition(|one| one.0 == at);
        self.world.answers = others;
        let own: Vec<(usize, Answered)> = own;
        let answers = own.into_iter().map(|one| one.1).collect();
        let Some(replica) = self.world.seats[at].keeper.as_mut() else { return };
        let (out, responses) = self.managers[at].poll(now, replica, answers);
        for (partition, session, token) in replica.machine_mut().take_owner_changes() {
            // Each change once, from whichever replica has it first.
            if self.told.insert((partition, token, session == 0)) {
                self.changes.push((now, partition, session, token));
            }
        }
        self.carry(at, out, responses);
    }

    fn carry(&mut self, at: usize, out: cypresscleat_consensus::Out, responses: Vec<(usize, Response)>) {
        let more = !out.answers.is_empty() || !out.letters.is_empty() || !out.writes.is_empty();
        self.world.carry(at, out);
        for (to, response) in responses {
            self.messages_sent += 1;
            self.message_bytes += letter::write(&response).map_or(0, |bytes| bytes.len() as u64);
            if !self.cut_from_replicas.contains(&to) {
                let from = at as NodeId + 1;
                self.post(self.world.weather.delay, Mail::Response { to, from, response });
            }
        }
        if more && self.world.answers.iter().any(|one| one.0 == at) {
            self.after(at);
        }
    }

    /// When an instance has something to do next.
    fn schedule(&mut self, at: usize) {
        let one = &self.instances[at];
        let next = one.client.as_ref().map_or(Time::MAX, |client| {
            let acts = one.work.values().filter(|work| work.ticket.is_none()).map(|work| work.next);
            let due = acts.min().unwrap_or(Time::MAX).min(client.next_deadline());
            let letter = if one.inbox.is_empty() { Time::MAX } else { 0 };
            self.time_when_clock_shows(at, due).min(letter).max(one.stopped)
        });
        let had = std::mem::replace(&mut self.dues[at], next);
        self.due.remove(&(had, at));
        self.due.insert((next, at));
    }

    pub fn run(&mut self, until: Time) {
        self.dues.resize(self.instances.len(), Time::MAX);
        (0..self.instances.len()).for_each(|at| self.schedule(at));
        while self.world.now < until {
            self.step(until);
        }
    }

    fn step(&mut self, until: Time) {
        self.stuck = if self.stuck.0 == self.world.now {
            (self.stuck.0, self.stuck.1 + 1)
        } else {
            (self.world.now, 0)
        };
        assert!(self.stuck.1 < 1_000_000, "time stands still at {}", self.world.now);
        let mail = self.mail.first_key_value().map(|(key, _)| key.0);
        let due = self.due.first().map_or(until, |first| first.0);
        let next = until.min(mail.unwrap_or(until)).min(due);
        let next = next.max(self.world.now);
        // The replicas' own mail first, one letter or due time at a time.
        if self.world.step(next.max(self.world.now + 1)) {
            (0..self.config.replicas).for_each(|at| self.after(at));
            return;
        }
        self.world.now = next;
        if let Some(entry) = self.mail.first_entry().filter(|entry| entry.key().0 <= next) {
            let mail = entry.remove();
            return self.deliver(mail);
        }
        while let Some((_, at)) = self.due.first().copied().filter(|first| first.0 <= next) {
            self.wake(at);
            if self.dues[at] <= next {
                break; // it has more to do at once: after whatever else is due
            }
        }
    }

    fn deliver(&mut self, mail: Mail) {
        let now = self.world.now;
        match mail {
            Mail::Request { to, from, request } => {
                let Some(replica) = self.world.seats[to].keeper.as_mut() else { return };
                let (out, responses) = self.managers[to].handle(now, replica, from, request);
                self.carry(to, out, responses);
            }
            Mail::Response { to, from, response } => {
                if self.instances[to].client.is_some() {
                    self.instances[to].inbox.push((now, InboxMessage::Response(from, response)));
                    self.wake(to);
                }
            }
            Mail::Act { from, partition, token, item } => {
                if self.cut_from_resource.contains(&from) {
                    return;
                }
                let accepted = self.fence.check(partition, token) || self.config.safeguards.ignore_tokens;
                let fresh = accepted && self.done.entry(partition).or_default().insert(item);
                let by = self.instances[from].id;
                let done_before = accepted && !fresh;
                self.journal.push(Act { at: now, partition, token, item, by, accepted, done_before });
                self.post(self.config.act / 2, Mail::Acted { to: from, partition, token, item, accepted });
            }
            Mail::Acted { to, partition, token, item, accepted } => {
                if self.instances[to].client.is_some() {
                    self.instances[to]
                        .inbox
                        .push((now, InboxMessage::Acted { partition, token, item, accepted }));
                    self.wake(to);
                }
            }
        }
    }

    /// An instance does what is due, unless it stands still.
    fn wake(&mut self, at: usize) {
        self.run_due_work(at);
        self.schedule(at);
    }

    fn run_due_work(&mut self, at: usize) {
        if self.instances[at].stopped > self.world.now || self.instances[at].client.is_none() {
            return;
        }
        let now = self.clock(at);
        let mut requests = Vec::new();
        let inbox = std::mem::take(&mut self.instances[at].inbox);
        let act = self.config.act;
        let under_way = std::mem::take(&mut self.instances[at].under_way);
        under_way.into_iter().for_each(|mail| self.post(act / 2, mail));
        let one = &mut self.instances[at];
        let Some(client) = one.client.as_mut() else { return };
        for (_, message) in inbox {
            match message {
                InboxMessage::Response(from, response) => requests.extend(client.handle(now, from, response)),
                InboxMessage::Acted { partition, token, item, accepted } => {
                    let Some(work) = one.work.get_mut(&partition) else { continue };
                    if work.token != token || work.item != item || work.ticket.is_some() {
                        continue;
                    }
                    if !accepted {
                        work.next = Time::MAX;
                        continue;
                    }
                    work.ticket = client.save_cursor(partition, (item + 1).to_le_bytes().to_vec());
                }
            }
        }
        if now >= client.next_deadline() {
            requests.extend(client.tick(now));
        }
        requests.extend(client.send_operations(now));
        let events: Vec<LeaseEvent> = client.events().collect();
        for event in events {
            match event {
                LeaseEvent::Acquired { partition, token, cursor } => {
                    let item = cursor.try_into().map(u64::from_le_bytes).unwrap_or(0);
                    if self.config.act > 0 {
                        one.work.insert(partition, Work { token, item, next: now, ticket: None });
                    }
                }
                LeaseEvent::Lost { partition, token } => {
                    if one.work.get(&partition).is_some_and(|work| work.token == token) {
                        one.work.remove(&partition);
                    }
                }
                LeaseEvent::ReleaseRequested { partition } => {
                    one.work.remove(&partition);
                    client.release(partition);
                    requests.extend(client.send_operations(now));
                }
                LeaseEvent::CursorSaved { ticket, accepted } => {
                    let own = one.work.values_mut().find(|work| work.ticket == Some(ticket));
                    if let Some(work) = own {
                        work.ticket = None;
                        work.item += u64::from(accepted);
                        work.next = if accepted { now + self.config.act } else { Time::MAX };
                    }
                }
            }
        }
        self.post_requests(at, requests);
        self.perform_due_acts(at, now);
    }

    /// Acts that are due: the lease is looked at before each, and each carries its token.
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
                    let runs = other != at && one.stopped <= self.world.now;
                    runs && one
                        .client
                        .as_ref()
                        .is_some_and(|client| client.valid_token(self.clock(other), partition).is_some())
                };
                if self.instances.iter().enumerate().any(acting) {
                    self.double_owner.get_or_insert((self.world.now, partition));
                }
            }
            self.post(self.config.act / 2, mail);
        }
    }

    /// What the journal shows against the promise: tokens that fell, items done twice or out of their order.
    pub fn check_invariants(&self) -> Result<(), String> {
        let mut highest: BTreeMap<Partition, u64> = BTreeMap::new();
        let mut next: BTreeMap<Partition, u64> = BTreeMap::new();
        for act in self.journal.iter().filter(|act| act.accepted) {
            let high = highest.entry(act.partition).or_default();
            if act.token < *high {
                return Err(format!("{act:?} accepted after token {high}"));
            }
            *high = act.token;
            if act.done_before {
                continue;
            }
            let due = next.entry(act.partition).or_default();
            if act.item != *due {
                return Err(format!("{act:?} in place of item {due}"));
            }
            *due += 1;
        }
        match &self.world.wrong {
            Some(wrong) => Err(wrong.clone()),
            None => Ok(()),
        }
    }

    /// Items done so far.
    pub fn items_done(&self) -> usize {
        self.done.values().map(BTreeSet::len).sum()
    }
}
