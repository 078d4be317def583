//! The client side of the leases: opens an instance's session, renews it, and knows which partitions it owns and until when.

mod responses;

use crate::messages::{Operation, Request};
use crate::{
    Claim, GrantPosition, NodeId, Partition, SeededRng, Time, MAX_OPERATIONS_PER_MESSAGE, NO_GRANT, SECOND,
};
use cypresscleat_sessions::renewals::PendingRenewals;
use cypresscleat_sessions::replicas::ReplicaRotation;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of operations that wait to be committed; further operations are rejected.
pub const MAX_QUEUED_OPERATIONS: usize = 1024;
/// Length of the lease until the leader has reported it.
const ASSUMED_LEASE: Time = 2 * SECOND;
/// Number of unanswered renewals after which the client renews less often, as all replicas may be down.
const QUICK_RETRIES: u32 = 3;

/// A change in what the instance owns, or the outcome of an operation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseEvent {
    /// The instance owns the partition from now on.
    Acquired {
        /// The partition.
        partition: Partition,
        /// The fencing token that operations on the resource carry.
        token: u64,
        /// The saved progress of the work.
        cursor: Vec<u8>,
    },
    /// The instance no longer owns the partition and must not operate on it.
    Lost {
        /// The partition.
        partition: Partition,
        /// The fencing token of the grant.
        token: u64,
    },
    /// An operator asked for the release of the partition: release it once the work on it has stopped.
    ReleaseRequested {
        /// The partition.
        partition: Partition,
    },
    /// An operation has completed: committed by the leader, or abandoned because the lease or the session has ended.
    CursorSaved {
        /// Ticket that [`LeaseClient::save_cursor`] returned. A release also has a ticket, which is not returned.
        ticket: u64,
        /// Whether the operation took effect. False where the partition had another owner by then, or the outcome is unknown.
        accepted: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OwnedPartition {
    token: u64,
    release_requested: bool,
}

/// An `Apply` request that waits for its response.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SentOperations {
    number: u32,
    sent_at: Time,
    count: usize,
}

/// Requests, each with the replica that receives it.
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
    /// 0 where no session is open.
    session: u64,
    lease_ends_at: Time,
    last_seen_grant: GrantPosition,
    owned: BTreeMap<Partition, OwnedPartition>,
    /// Tokens of released partitions, so that a delayed message does not grant them again.
    released: BTreeMap<Partition, u64>,
    pending_renewals: PendingRenewals,
    last_request_number: u32,
    /// Number of consecutive renewals without a response.
    unanswered_renewals: u32,
    next_renewal: Time,
    /// Operations that are not committed yet, with their tickets.
    operations: VecDeque<(u64, Operation)>,
    last_ticket: u64,
    sent_operations: Option<SentOperations>,
    is_leaving: bool,
    /// Number of the first `Leave` request.
    first_leave_number: Option<u32>,
    events: VecDeque<LeaseEvent>,
    /// Disables a safeguard, in tests: the client goes on after the end of its lease.
    pub ignore_lease_end: bool,
}

impl LeaseClient {
    /// Creates a client. `incarnation` is drawn at random at each start of the instance.
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

    /// The session; 0 where no session is open.
    pub fn session(&self) -> u64 {
        self.session
    }

    /// End of the lease by this instance's clock: from then on it must not operate on its partitions unless the lease is renewed.
    pub fn lease_ends_at(&self) -> Time {
        self.lease_ends_at
    }

    /// Time of the next call of [`LeaseClient::tick`].
    pub fn next_deadline(&self) -> Time {
        if self.has_left() {
            return Time::MAX;
        }
        let has_no_expiry = self.owned.is_empty() || self.ignore_lease_end;
        let lease_end = if has_no_expiry { Time::MAX } else { self.lease_ends_at };
        let resend =
            self.sent_operations.as_ref().map_or(Time::MAX, |sent| sent.sent_at + self.retry_delay());
        self.next_renewal.min(lease_end).min(resend)
    }

    /// Events since the last call.
    pub fn events(&mut self) -> impl Iterator<Item = LeaseEvent> + '_ {
        self.events.drain(..)
    }

    /// The owned partitions, with their tokens.
    pub fn owned(&self) -> impl Iterator<Item = (Partition, u64)> + '_ {
        self.owned.iter().map(|(partition, owned)| (*partition, owned.token))
    }

    /// The fencing token under which an operation on the partition is allowed now; `None` where it is not allowed. To be called before
    /// each operation.
    pub fn valid_token(&self, now: Time, partition: Partition) -> Option<u64> {
        if now >= self.lease_ends_at && !self.ignore_lease_end {
            return None;
        }
        self.owned.get(&partition).filter(|owned| !owned.release_requested).map(|owned| owned.token)
    }

    /// Saves the progress of the work on a partition. Returns a ticket, which [`LeaseEvent::CursorSaved`] carries; `None` where the
    /// partition is not owned or too many operations wait.
    pub fn save_cursor(&mut self, partition: Partition, cursor: Vec<u8>) -> Option<u64> {
        let token = self.owned.get(&partition)?.token;
        if self.operations.len() >= MAX_QUEUED_OPERATIONS {
            return None;
        }
        // Tickets rise throughout an incarnation, also where the instance loses a partition and gets it back under the same token: an
        // earlier cursor that is still in flight never overwrites a later one.
        let step = self.last_ticket + 1;
        Some(self.queue(Operation::SaveCursor { partition, token, step, cursor }))
    }

    /// Releases a partition. No operation on it may be in progress any more.
    pub fn release(&mut self, partition: Partition) {
        if let Some(owned) = self.owned.remove(&partition) {
            let token = owned.token;
            self.events.push_back(LeaseEvent::Lost { partition, token });
            self.released.insert(partition, token);
            self.queue(Operation::Release { partition, token });
        }
    }

    /// Ends the session, so that all its partitions are free at once. No operation on them may be in progress any more.
    pub fn leave(&mut self, now: Time) -> Outgoing {
        self.is_leaving = true;
        self.lose_all();
        // The request goes to the replica that got the last renewal; a renewal in flight does not count as unanswered.
        self.next_renewal = now;
        self.unanswered_renewals = 0;
        self.tick(now)
    }

    /// Whether the client is leaving and no session is open: the leader has confirmed the end, the session has expired, or there was
    /// none.
    pub fn has_left(&self) -> bool {
        self.is_leaving && self.session == 0
    }

    /// Adds a replica that joined after this instance was started.
    pub fn add_replica(&mut self, replica: NodeId) {
        self.replicas.add(replica);
    }

    /// Processes the deadlines that have passed: the end of the lease, renewals, and operations without a response.
    pub fn tick(&mut self, now: Time) -> Outgoing {
        if now >= self.lease_ends_at && !self.owned.is_empty() && !self.ignore_lease_end {
            self.lose_all();
        }
        if self.is_leaving {
            return self.retry_leave(now);
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

    /// Sends the waiting operations in one request at a time, which is retried until there is a response.
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

    /// Time without a response after which a request is retried.
    fn retry_delay(&self) -> Time {
        self.lease / 8
    }

    fn retry_leave(&mut self, now: Time) -> Outgoing {
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

    /// Renews the session; at another replica where the last renewal had no response.
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

    /// Drops all owned partitions. Waiting releases are still sent; waiting cursors are not saved.
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
