//! Messages between instances, operators and the leader, one in each datagram. The encoding is that of `consensus::message`: postcard encodes
//! fields and variants by position, so their order and types are the wire format.

use crate::{
    Claim, GrantPosition, NodeId, Partition, Time, MAX_CLAIMS, MAX_CURSOR_BYTES, MAX_GRANTS_PER_MESSAGE,
    MAX_OPERATIONS_PER_MESSAGE,
};
use cypresscleat_consensus::message::Message;
use serde::{Deserialize, Serialize};

/// Maximum lease that a client accepts: an hour.
const MAX_LEASE: Time = 36_000_000;

/// An idempotent change of the replicated state on behalf of a session.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Operation {
    /// The owner releases the partition: another session may own it.
    Release {
        /// The partition.
        partition: Partition,
        /// The fencing token of the grant.
        token: u64,
    },
    /// Saves the progress of the work on the partition.
    SaveCursor {
        /// The partition.
        partition: Partition,
        /// The fencing token of the grant.
        token: u64,
        /// Rises with each cursor under one token; a cursor whose step is not higher than the last is ignored.
        step: u64,
        /// Opaque; at most [`MAX_CURSOR_BYTES`].
        cursor: Vec<u8>,
    },
}

/// A request to the leader. The response returns its `number`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Request {
    /// Renews a session, or opens one.
    Renew {
        /// The instance.
        instance: NodeId,
        /// Drawn at random at each start of the instance.
        incarnation: u64,
        /// 0 opens a session.
        session: u64,
        /// Number of the request.
        number: u32,
        /// The last grant that the instance knows.
        last_seen_grant: GrantPosition,
        /// Claims of a new session.
        claims: Vec<Claim>,
    },
    /// Applies operations; the response is sent once they are committed.
    Apply {
        /// The session.
        session: u64,
        /// Number of the request.
        number: u32,
        /// At most [`MAX_OPERATIONS_PER_MESSAGE`].
        operations: Vec<Operation>,
    },
    /// Ends the session: its partitions are free at once.
    Leave {
        /// The session.
        session: u64,
        /// Number of the request.
        number: u32,
    },
    /// An operator excludes an instance from owning a task, or admits it again.
    Exclude {
        /// Number of the request.
        number: u32,
        /// The task.
        task: u64,
        /// `None` asks all instances once to release the partitions of the task.
        instance: Option<NodeId>,
        /// Whether the instance is excluded from now on.
        excluded: bool,
    },
    /// An operator requests the state of all partitions.
    List {
        /// Number of the request.
        number: u32,
        /// The partition from which the list starts.
        from: Partition,
    },
}

/// A partition that a session owns.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The partition.
    pub partition: Partition,
    /// The fencing token that operations on the partition carry.
    pub token: u64,
    /// The saved progress of the work.
    pub cursor: Vec<u8>,
    /// Whether an operator asked for the release of the partition.
    pub release_requested: bool,
}

/// A partition as an operator sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PartitionStatus {
    /// The partition.
    pub partition: Partition,
    /// The instance that owns the partition; 0 where there is none.
    pub owner: NodeId,
    /// The token of the last grant.
    pub token: u64,
    /// Remaining time of the owner's lease by the leader's clock.
    pub lease_left: Time,
    /// Time since the cursor last moved; negative where the leader does not know it.
    pub cursor_age: Time,
    /// The saved progress of the work.
    pub cursor: Vec<u8>,
}

/// A response of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Response {
    /// The session lasts for `lease` from the time at which the renewal was sent.
    Renewed {
        /// The session.
        session: u64,
        /// Number of the request.
        number: u32,
        /// Length of the lease.
        lease: Time,
        /// The position that the grants follow.
        after: GrantPosition,
        /// Grants in their order.
        grants: Vec<Grant>,
        /// Whether there are further grants: the client renews again.
        more: bool,
    },
    /// The session no longer exists.
    SessionExpired {
        /// The session.
        session: u64,
    },
    /// Newly committed grants; they are valid under the session's current lease.
    Granted {
        /// The session.
        session: u64,
        /// The position that the grants follow.
        after: GrantPosition,
        /// Grants in their order.
        grants: Vec<Grant>,
    },
    /// The request is committed.
    Done {
        /// Number of the request.
        number: u32,
        /// Bit `i` is set where operation `i` of the request is in effect.
        applied: u64,
    },
    /// The replica is not the leader.
    NotLeader {
        /// The leader as far as this replica knows; 0 where it does not know one.
        leader: NodeId,
    },
    /// The state of partitions.
    Partitions {
        /// Number of the request.
        number: u32,
        /// In their order.
        partitions: Vec<PartitionStatus>,
        /// Whether there are further partitions: the next request starts after the last one.
        more: bool,
    },
    /// The session was not opened because a limit is reached.
    LimitReached {
        /// Number of the request.
        number: u32,
    },
}

impl Request {
    /// Whether the request is within the limits on claims, operations and cursors.
    pub fn is_within_bounds(&self) -> bool {
        match self {
            Request::Renew { claims, .. } => claims.len() <= MAX_CLAIMS,
            Request::Apply { operations, .. } => {
                operations.len() <= MAX_OPERATIONS_PER_MESSAGE && operations.iter().all(has_short_cursor)
            }
            _ => true,
        }
    }
}

fn has_short_cursor(operation: &Operation) -> bool {
    !matches!(operation, Operation::SaveCursor { cursor, .. } if cursor.len() > MAX_CURSOR_BYTES)
}

impl Response {
    /// Whether the response is within the limits on grants, partitions and the lease.
    pub fn is_within_bounds(&self) -> bool {
        match self {
            Response::Renewed { grants, lease, .. } => {
                grants.len() <= MAX_GRANTS_PER_MESSAGE && (0..MAX_LEASE).contains(lease)
            }
            Response::Granted { grants, .. } => grants.len() <= MAX_GRANTS_PER_MESSAGE,
            Response::Partitions { partitions, .. } => partitions.len() <= MAX_GRANTS_PER_MESSAGE,
            _ => true,
        }
    }
}

/// The content of a datagram between replicas and instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Between replicas.
    Consensus(Message),
    /// To a replica.
    Request(Request),
    /// From a replica.
    Response {
        /// The replica.
        from: NodeId,
        /// Its response.
        response: Response,
    },
}
