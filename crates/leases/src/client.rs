//! At an instance: asks for its session, renews it, knows what it owns and until when.

use crate::messages::{Grant, Operation, Request, Response};
use crate::{
    Claim, NodeId, Partition, SeededRng, Time, CLOCK_DRIFT_DIVISOR, MAX_OPERATIONS_PER_MESSAGE, SECOND,
};
use std::collections::{BTreeMap, VecDeque};

/// Renewals whose answers are still taken.
const MAX_PENDING_RENEWALS: usize = 8;
/// Items that wait to be decided; one more is refused.
pub const MAX_QUEUED_OPERATIONS: usize = 1024;

/// How much sooner than the replicas an instance holds its lease to be over.
pub fn clock_drift_margin(lease: Time) -> Time {
    (lease / CLOCK_DRIFT_DIVISOR).max(1)
}

/// What changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseEvent {
    /// It owns a partition from now on; the work stands at `cursor`.
    Acquired { partition: Partition, token: u64, cursor: Vec<u8> },
    /// It may not act on it any more.
    Lost { partition: Partition, token: u64 },
    /// An operator wants it: to be released once the work on it has stopped.
    ReleaseRequested { partition: Partition },
    /// A cursor is decided, or, where not `accepted`, another owner's is.
    CursorSaved { ticket: u64, accepted: bool },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OwnedPartition {
    token: u64,
    release_requested: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Sent {
    number: u32,
    at: Time,
    many: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseClient {
    instance: NodeId,
    incarnation: u64,
    claims: Vec<Claim>,
    replicas: Vec<NodeId>,
    /// Which of them is asked.
    current_replica: usize,
    rng: SeededRng,
    /// As the replicas said last; before that, a guess.
    lease: Time,
    session: u64,
    lease_ends_at: Time,
    last_seen_grant: (u64, Partition),
    owned: BTreeMap<Partition, OwnedPartition>,
    /// What it has given back, by its token: late words of that do not give it again.
    released: BTreeMap<Partition, u64>,
    pending_renewals: VecDeque<(u32, Time)>,
    number: u32,
    /// Renewals without a response, one after the other.
    unanswered_renewals: u32,
    /// Redirections followed since the last renewal.
    redirects_followed: u32,
    next_renewal: Time,
    operations: VecDeque<(u64, Operation)>,
    tickets: u64,
    sent: Option<Sent>,
    is_leaving: bool,
    /// The number of the first letter that said so.
    first_leave_number: Option<u32>,
    events: VecDeque<LeaseEvent>,
    /// A guard that tests take out: it goes by its own clock's word only, and holds on after its lease.
    pub ignore_lease_end: bool,
}

impl LeaseClient {
    /// `incarnation` is drawn anew at each start of the instance.
    pub fn new(
        now: Time,
        instance: NodeId,
        incarnation: u64,
        claims: Vec<Claim>,
        replicas: Vec<NodeId>,
    ) -> LeaseClient {
        let mut rng = SeededRng::new(instance ^ incarnation);
        let current_replica = rng.below(replicas.len() as u64) as usize;
        LeaseClient {
            instance,
            incarnation,
            claims,
            replicas,
            current_replica,
            rng,
            lease: 2 * SECOND,
            session: 0,
            lease_ends_at: Time::MIN,
            last_seen_grant: (0, Partition { task: 0, index: 0 }),
            owned: BTreeMap::new(),
            released: BTreeMap::new(),
            pending_renewals: VecDeque::new(),
            number: 0,
            unanswered_renewals: 0,
            redirects_followed: 0,
            next_renewal: now,
            operations: VecDeque::new(),
            tickets: 0,
            sent: None,
            is_leaving: false,
            first_leave_number: None,
            events: VecDeque::new(),
            ignore_lease_end: false,
        }
    }

    pub fn instance(&self) -> NodeId {
        self.instance
    }
    pub fn session(&self) -> u64 {
        self.session
    }
    pub fn lease_ends_at(&self) -> Time {
        self.lease_ends_at
    }
    /// The next time to tick.
    pub fn next_deadline(&self) -> Time {
        if self.has_left() {
            return Time::MAX;
        }
        let over =
            if self.owned.is_empty() || self.ignore_lease_end { Time::MAX } else { self.lease_ends_at };
        let again = self.sent.as_ref().map_or(Time::MAX, |sent| sent.at + self.lease / 8);
        self.next_renewal.min(over).min(again)
    }
    pub fn events(&mut self) -> impl Iterator<Item = LeaseEvent> + '_ {
        self.events.drain(..)
    }
    pub fn owned(&self) -> impl Iterator<Item = (Partition, u64)> + '_ {
        self.owned.iter().map(|(partition, own)| (*partition, own.token))
    }

    /// To be asked before every act: the token under which it may be done now.
    pub fn valid_token(&self, now: Time, partition: Partition) -> Option<u64> {
        if now >= self.lease_ends_at && !self.ignore_lease_end {
            return None;
        }
        self.owned.get(&partition).filter(|own| !own.release_requested).map(|own| own.token)
    }

    /// The work on a partition stands there now; a ticket, told of by [`LeaseEvent::CursorSaved`]. `None` where it is not owned, or too much waits.
    pub fn save_cursor(&mut self, partition: Partition, cursor: Vec<u8>) -> Option<u64> {
        let token = self.owned.get(&partition)?.token;
        if self.operations.len() >= MAX_QUEUED_OPERATIONS {
            return None;
        }
        // Tickets rise for as long as this instance lives, also where it loses a partition and has it again under the same token: what
        // was on its way before never overtakes what came after.
        let operation = Operation::SaveCursor { partition, token, step: self.tickets + 1, cursor };
        Some(self.queue(operation))
    }

    /// Done with it; nothing of it may be under way any more.
    pub fn release(&mut self, partition: Partition) {
        if let Some(own) = self.owned.remove(&partition) {
            self.events.push_back(LeaseEvent::Lost { partition, token: own.token });
            self.released.insert(partition, own.token);
            self.queue(Operation::Release { partition, token: own.token });
        }
    }

    fn queue(&mut self, operation: Operation) -> u64 {
        self.tickets += 1;
        self.operations.push_back((self.tickets, operation));
        self.tickets
    }

    /// The instance drains: all is free at once, and the next is ready. What was under way has stopped.
    pub fn leave(&mut self, now: Time) -> Vec<(NodeId, Request)> {
        self.is_leaving = true;
        self.drop_all();
        // Whoever was asked last is asked: a renewal that is on its way is no silence.
        (self.next_renewal, self.unanswered_renewals) = (now, 0);
        self.tick(now)
    }

    /// Whether the replicas have said that they know.
    pub fn has_left(&self) -> bool {
        self.is_leaving && self.session == 0
    }

    fn drop_all(&mut self) {
        let (kept, dropped) = self
            .operations
            .drain(..)
            .partition(|(_, operation)| matches!(operation, Operation::Release { .. }));
        self.operations = kept;
        let dropped: VecDeque<(u64, Operation)> = dropped;
        self.events.extend(
            dropped.into_iter().map(|(ticket, _)| LeaseEvent::CursorSaved { ticket, accepted: false }),
        );
        self.sent = None;
        let lost = std::mem::take(&mut self.owned);
        self.events.extend(
            lost.into_iter().map(|(partition, own)| LeaseEvent::Lost { partition, token: own.token }),
        );
        self.last_seen_grant = (0, Partition { task: 0, index: 0 });
    }

    /// A replica that came after this instance was started.
    pub fn add_replica(&mut self, replica: NodeId) {
        if !self.replicas.contains(&replica) {
            self.replicas.push(replica);
        }
    }

    fn to_current_replica(&self, request: Request) -> Vec<(NodeId, Request)> {
        self.replicas.get(self.current_replica).map(|replica| (*replica, request)).into_iter().collect()
    }

    fn next_number(&mut self) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.number
    }

    fn renew(&mut self, now: Time) -> Vec<(NodeId, Request)> {
        let number = self.next_number();
        self.pending_renewals.push_back((number, now));
        if self.pending_renewals.len() > MAX_PENDING_RENEWALS {
            self.pending_renewals.pop_front();
        }
        let claims = if self.session == 0 { self.claims.clone() } else { Vec::new() };
        let (instance, incarnation, session, last_seen_grant) =
            (self.instance, self.incarnation, self.session, self.last_seen_grant);
        self.to_current_replica(Request::Renew {
            instance,
            incarnation,
            session,
            number,
            last_seen_grant,
            claims,
        })
    }

    pub fn tick(&mut self, now: Time) -> Vec<(NodeId, Request)> {
        let mut out = Vec::new();
        if now >= self.lease_ends_at && !self.owned.is_empty() && !self.ignore_lease_end {
            self.drop_all();
        }
        if self.is_leaving {
            self.sent = None;
            if self.session != 0 && now >= self.next_renewal {
                self.next_renewal = now + self.lease / 8;
                self.current_replica = (self.current_replica + usize::from(self.unanswered_renewals > 0))
                    % self.replicas.len().max(1);
                self.unanswered_renewals += 1;
                let (session, number) = (self.session, self.next_number());
                self.first_leave_number.get_or_insert(number);
                out.extend(self.to_current_replica(Request::Leave { session, number }));
            }
            return out;
        }
        if now >= self.next_renewal {
            // The last one was not answered: another replica, three times soon, then slowly, as all may be away.
            if self.unanswered_renewals > 0 {
                self.current_replica = (self.current_replica + 1) % self.replicas.len().max(1);
            }
            let wait = if self.unanswered_renewals < 3 { self.lease / 8 } else { self.lease / 2 };
            let spread = self.rng.below((wait / 8).max(1) as u64) as Time;
            self.next_renewal = now + wait + spread;
            (self.unanswered_renewals, self.redirects_followed) = (self.unanswered_renewals + 1, 0);
            out.extend(self.renew(now));
        }
        if self.sent.as_ref().is_some_and(|sent| now >= sent.at + self.lease / 8) {
            self.sent = None;
        }
        out.extend(self.send_operations(now));
        out
    }

    /// What waits to be decided, in one letter at a time; again until it is answered.
    pub fn send_operations(&mut self, now: Time) -> Vec<(NodeId, Request)> {
        if self.sent.is_some() || self.operations.is_empty() || self.session == 0 {
            return Vec::new();
        }
        let operations: Vec<Operation> = self
            .operations
            .iter()
            .take(MAX_OPERATIONS_PER_MESSAGE)
            .map(|(_, operation)| operation.clone())
            .collect();
        let number = self.next_number();
        self.sent = Some(Sent { number, at: now, many: operations.len() });
        self.to_current_replica(Request::Apply { session: self.session, number, operations })
    }

    pub fn handle(&mut self, now: Time, from: NodeId, response: Response) -> Vec<(NodeId, Request)> {
        if !response.is_within_bounds() {
            return Vec::new();
        }
        match response {
            Response::Renewed { session, number, lease, after, grants, more } => {
                let Some(asked) =
                    self.pending_renewals.iter().find(|(one, _)| *one == number).map(|(_, at)| *at)
                else {
                    return Vec::new();
                };
                if self.is_leaving || (self.session != 0 && self.session != session) {
                    return Vec::new();
                }
                (self.session, self.lease) = (session, lease.max(8));
                self.lease_ends_at = self.lease_ends_at.max(asked + lease - clock_drift_margin(lease));
                self.record_response(from);
                self.next_renewal = if more { now } else { asked.max(now - lease / 4) + lease / 4 };
                if now < self.lease_ends_at {
                    self.apply_grants(after, grants);
                }
                if more {
                    return self.tick(now);
                }
                self.send_operations(now)
            }
            Response::Granted { session, after, grants } if session == self.session && session != 0 => {
                if now < self.lease_ends_at && !self.is_leaving {
                    self.apply_grants(after, grants);
                }
                Vec::new()
            }
            Response::SessionExpired { session } if session == self.session && session != 0 => {
                self.drop_all();
                (self.session, self.lease_ends_at) = (0, Time::MIN);
                for (ticket, _) in self.operations.drain(..) {
                    self.events.push_back(LeaseEvent::CursorSaved { ticket, accepted: false });
                }
                (self.sent, self.next_renewal) = (None, now);
                self.record_response(from);
                self.tick(now)
            }
            Response::Done { number, applied } => {
                if self.is_leaving {
                    // Not that of what it did before it left.
                    if self.first_leave_number.is_some_and(|first| number.wrapping_sub(first) < u32::MAX / 2)
                    {
                        self.session = 0;
                    }
                    return Vec::new();
                }
                let Some(sent) = self.sent.take_if(|sent| sent.number == number) else { return Vec::new() };
                for at in 0..sent.many {
                    let Some((ticket, _)) = self.operations.pop_front() else { break };
                    self.events
                        .push_back(LeaseEvent::CursorSaved { ticket, accepted: applied >> at & 1 == 1 });
                }
                self.send_operations(now)
            }
            Response::NotLeader { leader } => {
                let position = self.replicas.iter().position(|replica| *replica == leader && leader != from);
                let Some(at) = position.filter(|_| self.redirects_followed < 2) else { return Vec::new() };
                (self.current_replica, self.redirects_followed) = (at, self.redirects_followed + 1);
                // The same question, to whom it should have gone; a redirection is no silence.
                let mut out = match self.is_leaving {
                    true => {
                        self.next_renewal = now;
                        self.unanswered_renewals = 0;
                        return self.tick(now);
                    }
                    false => self.renew(now),
                };
                self.sent = None;
                out.extend(self.send_operations(now));
                out
            }
            _ => Vec::new(),
        }
    }

    fn record_response(&mut self, from: NodeId) {
        self.unanswered_renewals = 0;
        if let Some(at) = self.replicas.iter().position(|replica| *replica == from) {
            self.current_replica = at;
        }
    }

    /// Grants past `after`. Where less than that is known, they are not all that is lacking: the next response brings it.
    fn apply_grants(&mut self, after: (u64, Partition), grants: Vec<Grant>) {
        if after > self.last_seen_grant {
            return;
        }
        for grant in grants {
            let (partition, token) = (grant.partition, grant.token);
            self.last_seen_grant = self.last_seen_grant.max((token, partition));
            match self.owned.get_mut(&partition) {
                Some(own) if own.token == token => {
                    if grant.release_requested && !own.release_requested {
                        own.release_requested = true;
                        self.events.push_back(LeaseEvent::ReleaseRequested { partition });
                    }
                }
                Some(own) if own.token > token => {}
                _ => {
                    if self.released.get(&partition).is_some_and(|released| *released >= token) {
                        continue;
                    }
                    if let Some(old) = self.owned.insert(
                        partition,
                        OwnedPartition { token, release_requested: grant.release_requested },
                    ) {
                        self.events.push_back(LeaseEvent::Lost { partition, token: old.token });
                    }
                    self.events.push_back(LeaseEvent::Acquired { partition, token, cursor: grant.cursor });
                    if grant.release_requested {
                        self.events.push_back(LeaseEvent::ReleaseRequested { partition });
                    }
                }
            }
        }
    }
}
