//! Runs on an instance: opens its session, renews it, and knows what it owns and until when.

mod responses;

use crate::messages::{Operation, Request};
use crate::{
    Claim, GrantPosition, NodeId, Partition, SeededRng, Time, MAX_OPERATIONS_PER_MESSAGE, NO_GRANT, SECOND,
};
use cypresscleat_sessions::renewals::PendingRenewals;
use cypresscleat_sessions::replicas::ReplicaRotation;
use std::collections::{BTreeMap, VecDeque};

/// Operations that wait to be decided; one more is rejected.
pub const MAX_QUEUED_OPERATIONS: usize = 1024;
/// Length of the lease until the leader has told it.
const ASSUMED_LEASE: Time = 2 * SECOND;
/// Unanswered renewals after which the client asks less often, as all replicas may be away.
const QUICK_RETRIES: u32 = 3;

/// What changed for the instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseEvent {
    /// It owns the partition from now on.
    Acquired {
        /// The partition.
        partition: Partition,
        /// The token that its acts carry.
        token: u64,
        /// Where the work stands.
        cursor: Vec<u8>,
    },
    /// It may not act on the partition any more.
    Lost {
        /// The partition.
        partition: Partition,
        /// The token under which it was owned.
        token: u64,
    },
    /// An operator wants the partition back: to be released once the work on it has stopped.
    ReleaseRequested {
        /// The partition.
        partition: Partition,
    },
    /// An operation has ended: decided by the leader, or given up as the lease or the session is over.
    CursorSaved {
        /// What [`LeaseClient::save_cursor`] returned; a release has a ticket of its own, which the caller never got.
        ticket: u64,
        /// Whether it took effect. False where the partition had another owner by then, or the outcome is not known.
        accepted: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OwnedPartition {
    token: u64,
    release_requested: bool,
}

/// An `Apply` request on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SentOperations {
    number: u32,
    sent_at: Time,
    count: usize,
}

/// A request, and the replica that it goes to.
pub type Outgoing = Vec<(NodeId, Request)>;

/// An instance's session with the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseClient {
    instance: NodeId,
    incarnation: u64,
    claims: Vec<Claim>,
    replicas: ReplicaRotation,
    rng: SeededRng,
    /// Length of the lease.
    lease: Time,
    /// 0 where there is none.
    session: u64,
    lease_ends_at: Time,
    last_seen_grant: GrantPosition,
    owned: BTreeMap<Partition, OwnedPartition>,
    /// Tokens of partitions that were released: a late message does not grant them again.
    released: BTreeMap<Partition, u64>,
    pending_renewals: PendingRenewals,
    last_request_number: u32,
    /// Renewals without a response, one after the other.
    unanswered_renewals: u32,
    next_renewal: Time,
    /// Operations to be decided, by ticket.
    operations: VecDeque<(u64, Operation)>,
    last_ticket: u64,
    sent_operations: Option<SentOperations>,
    is_leaving: bool,
    /// Number of the first `Leave` request.
    first_leave_number: Option<u32>,
    events: VecDeque<LeaseEvent>,
    /// A safeguard that tests disable: the client goes on after the end of its lease.
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
        let first = rng.below(replicas.len() as u64) as usize;
        LeaseClient {
            instance,
            incarnation,
            claims,
            replicas: ReplicaRotation::new(replicas, first),
            rng,
            lease: ASSUMED_LEASE,
            session: 0,
            lease_ends_at: Time::MIN,
            last_seen_grant: NO_GRANT,
            owned: BTreeMap::new(),
            released: BTreeMap::new(),
            pending_renewals: PendingRenewals::default(),
            last_request_number: 0,
            unanswered_renewals: 0,
            next_renewal: now,
            operations: VecDeque::new(),
            last_ticket: 0,
            sent_operations: None,
            is_leaving: false,
            first_leave_number: None,
            events: VecDeque::new(),
            ignore_lease_end: false,
        }
    }

    /// The instance's id.
    pub fn instance(&self) -> NodeId {
        self.instance
    }

    /// The session; 0 where there is none.
    pub fn session(&self) -> u64 {
        self.session
    }

    /// First moment, by this instance's clock, at which it may not act unless the lease is renewed.
    pub fn lease_ends_at(&self) -> Time {
        self.lease_ends_at
    }

    /// When [`LeaseClient::tick`] has something to do next.
    pub fn next_deadline(&self) -> Time {
        if self.has_left() {
            return Time::MAX;
        }
        let holds_nothing = self.owned.is_empty() || self.ignore_lease_end;
        let lease_end = if holds_nothing { Time::MAX } else { self.lease_ends_at };
        let resend =
            self.sent_operations.as_ref().map_or(Time::MAX, |sent| sent.sent_at + self.retry_delay());
        self.next_renewal.min(lease_end).min(resend)
    }

    /// Events since the last call.
    pub fn events(&mut self) -> impl Iterator<Item = LeaseEvent> + '_ {
        self.events.drain(..)
    }

    /// Partitions that are owned, with their tokens.
    pub fn owned(&self) -> impl Iterator<Item = (Partition, u64)> + '_ {
        self.owned.iter().map(|(partition, owned)| (*partition, owned.token))
    }

    /// The token under which an act on the partition may be done now. To be asked before every act.
    pub fn valid_token(&self, now: Time, partition: Partition) -> Option<u64> {
        if now >= self.lease_ends_at && !self.ignore_lease_end {
            return None;
        }
        self.owned.get(&partition).filter(|owned| !owned.release_requested).map(|owned| owned.token)
    }

    /// Saves where the work on a partition stands. Returns a ticket, which [`LeaseEvent::CursorSaved`] names; `None` where the partition
    /// is not owned or too many operations wait.
    pub fn save_cursor(&mut self, partition: Partition, cursor: Vec<u8>) -> Option<u64> {
        let token = self.owned.get(&partition)?.token;
        if self.operations.len() >= MAX_QUEUED_OPERATIONS {
            return None;
        }
        // Tickets rise for as long as this instance lives, also where it loses a partition and owns it again under the same token: an
        // earlier cursor that is still on its way never overtakes a later one.
        let step = self.last_ticket + 1;
        Some(self.queue(Operation::SaveCursor { partition, token, step, cursor }))
    }

    /// Gives a partition back. No act on it may be under way any more.
    pub fn release(&mut self, partition: Partition) {
        if let Some(owned) = self.owned.remove(&partition) {
            let token = owned.token;
            self.events.push_back(LeaseEvent::Lost { partition, token });
            self.released.insert(partition, token);
            self.queue(Operation::Release { partition, token });
        }
    }

    /// Ends the session, so that all is free at once. No act may be under way any more.
    pub fn leave(&mut self, now: Time) -> Outgoing {
        self.is_leaving = true;
        self.lose_all();
        // The replica that was asked last is asked again: a renewal that is on its way is not unanswered.
        self.next_renewal = now;
        self.unanswered_renewals = 0;
        self.tick(now)
    }

    /// Whether it is leaving and no session is open: the leader has confirmed the end, the session had expired, or there was none.
    pub fn has_left(&self) -> bool {
        self.is_leaving && self.session == 0
    }

    /// Learns of a replica that joined after this instance was started.
    pub fn add_replica(&mut self, replica: NodeId) {
        self.replicas.add(replica);
    }

    /// Does what is due: the end of the lease, renewals, operations that were not answered.
    pub fn tick(&mut self, now: Time) -> Outgoing {
        if now >= self.lease_ends_at && !self.owned.is_empty() && !self.ignore_lease_end {
            self.lose_all();
        }
        if self.is_leaving {
            return self.repeat_leave(now);
        }
        let mut requests = Vec::new();
        if now >= self.next_renewal {
            requests.extend(self.renew_when_due(now));
        }
        let retry_delay = self.retry_delay();
        if self.sent_operations.as_ref().is_some_and(|sent| now >= sent.sent_at + retry_delay) {
            self.sent_operations = None;
        }
        requests.extend(self.send_operations(now));
        requests
    }

    /// Sends the operations that wait, one request at a time, again until it is answered.
    pub fn send_operations(&mut self, now: Time) -> Outgoing {
        if self.sent_operations.is_some() || self.operations.is_empty() || self.session == 0 {
            return Vec::new();
        }
        let waiting = self.operations.iter().map(|(_, operation)| operation.clone());
        let operations: Vec<Operation> = waiting.take(MAX_OPERATIONS_PER_MESSAGE).collect();
        let number = self.next_request_number();
        self.sent_operations = Some(SentOperations { number, sent_at: now, count: operations.len() });
        self.to_current_replica(Request::Apply { session: self.session, number, operations })
    }

    /// Time for a response before a request is repeated.
    fn retry_delay(&self) -> Time {
        self.lease / 8
    }

    fn repeat_leave(&mut self, now: Time) -> Outgoing {
        self.sent_operations = None;
        if self.session == 0 || now < self.next_renewal {
            return Vec::new();
        }
        self.next_renewal = now + self.retry_delay();
        if self.unanswered_renewals > 0 {
            self.replicas.advance();
        }
        self.unanswered_renewals += 1;
        let (session, number) = (self.session, self.next_request_number());
        self.first_leave_number.get_or_insert(number);
        self.to_current_replica(Request::Leave { session, number })
    }

    /// Renews; where the last renewal was not answered, at another replica.
    fn renew_when_due(&mut self, now: Time) -> Outgoing {
        if self.unanswered_renewals > 0 {
            self.replicas.advance();
        }
        let is_quick = self.unanswered_renewals < QUICK_RETRIES;
        let delay = if is_quick { self.retry_delay() } else { self.lease / 2 };
        let jitter = self.rng.below((delay / 8).max(1) as u64) as Time;
        self.next_renewal = now + delay + jitter;
        self.unanswered_renewals += 1;
        self.replicas.set_redirects_followed(0);
        self.renew(now)
    }

    fn renew(&mut self, now: Time) -> Outgoing {
        let number = self.next_request_number();
        self.pending_renewals.record(number, now);
        let claims = if self.session == 0 { self.claims.clone() } else { Vec::new() };
        self.to_current_replica(Request::Renew {
            instance: self.instance,
            incarnation: self.incarnation,
            session: self.session,
            number,
            last_seen_grant: self.last_seen_grant,
            claims,
        })
    }

    fn queue(&mut self, operation: Operation) -> u64 {
        self.last_ticket += 1;
        self.operations.push_back((self.last_ticket, operation));
        self.last_ticket
    }

    /// Nothing is owned any more. Releases still go out; cursors that wait are not saved.
    fn lose_all(&mut self) {
        let is_release = |(_, operation): &(u64, Operation)| matches!(operation, Operation::Release { .. });
        let (releases, cursors): (VecDeque<_>, VecDeque<_>) = self.operations.drain(..).partition(is_release);
        self.operations = releases;
        let unsaved =
            cursors.into_iter().map(|(ticket, _)| LeaseEvent::CursorSaved { ticket, accepted: false });
        self.events.extend(unsaved);
        self.sent_operations = None;
        let lost = std::mem::take(&mut self.owned).into_iter();
        let lost = lost.map(|(partition, owned)| LeaseEvent::Lost { partition, token: owned.token });
        self.events.extend(lost);
        self.last_seen_grant = NO_GRANT;
    }

    fn to_current_replica(&self, request: Request) -> Outgoing {
        self.replicas.current().map(|replica| (replica, request)).into_iter().collect()
    }

    fn next_request_number(&mut self) -> u32 {
        self.last_request_number = self.last_request_number.wrapping_add(1);
        self.last_request_number
    }
}
