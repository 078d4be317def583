//! Messages between instances, operators and the leader, one in each datagram. Bytes are as in `consensus::message`: postcard writes fields
//! and variants by position, so their order and types are the format.

use crate::{
    Claim, GrantPosition, NodeId, Partition, Time, MAX_CLAIMS, MAX_CURSOR_BYTES, MAX_GRANTS_PER_MESSAGE,
    MAX_OPERATIONS_PER_MESSAGE,
};
use cypresscleat_consensus::message::Message;
use serde::{Deserialize, Serialize};

/// Longest lease that a client accepts: an hour.
const MAX_LEASE: Time = 36_000_000;

/// A change of the replicated state on behalf of a session. Doing it twice has the effect of doing it once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Operation {
    /// The owner is done with the partition: the next may have it.
    Release {
        /// The partition.
        partition: Partition,
        /// The token under which it was owned.
        token: u64,
    },
    /// The work on the partition stands at `cursor`.
    SaveCursor {
        /// The partition.
        partition: Partition,
        /// The token under which it is owned.
        token: u64,
        /// Rises with each cursor under one token; a cursor whose step is not higher is ignored.
        step: u64,
        /// Opaque; at most [`MAX_CURSOR_BYTES`].
        cursor: Vec<u8>,
    },
}

/// A request to the leader. `number` comes back with the response.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Request {
    /// Renews a session, or opens one.
    Renew {
        /// The instance.
        instance: NodeId,
        /// Drawn anew at each start of the instance.
        incarnation: u64,
        /// 0 opens a session.
        session: u64,
        /// Number of the request.
        number: u32,
        /// The last grant that the instance knows.
        last_seen_grant: GrantPosition,
        /// What a new session would own.
        claims: Vec<Claim>,
    },
    /// Applies operations; answered once they are decided.
    Apply {
        /// The session.
        session: u64,
        /// Number of the request.
        number: u32,
        /// At most [`MAX_OPERATIONS_PER_MESSAGE`].
        operations: Vec<Operation>,
    },
    /// Ends the session: all that it owns is free at once.
    Leave {
        /// The session.
        session: u64,
        /// Number of the request.
        number: u32,
    },
    /// An operator keeps an instance from owning a task, or lets it again.
    Exclude {
        /// Number of the request.
        number: u32,
        /// The task.
        task: u64,
        /// `None` is all instances, for one moment: each partition of the task is given back.
        instance: Option<NodeId>,
        /// Whether the instance is excluded from now on.
        excluded: bool,
    },
    /// An operator asks for the state of all partitions.
    List {
        /// Number of the request.
        number: u32,
        /// The first partition of the list.
        from: Partition,
    },
}

/// A partition that a session owns.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The partition.
    pub partition: Partition,
    /// The token that acts on it carry.
    pub token: u64,
    /// Where the work stands.
    pub cursor: Vec<u8>,
    /// An operator wants it given back.
    pub release_requested: bool,
}

/// A partition as an operator sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PartitionStatus {
    /// The partition.
    pub partition: Partition,
    /// 0 where nobody owns it.
    pub owner: NodeId,
    /// The token of the last grant.
    pub token: u64,
    /// What is left of the owner's lease by the leader's clock.
    pub lease_left: Time,
    /// Time since the cursor last moved; negative where the leader does not know.
    pub cursor_age: Time,
    /// Where the work stands.
    pub cursor: Vec<u8>,
}

/// A response of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Response {
    /// The session lasts for `lease` from when the renewal was sent.
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
        /// Further grants follow: renew again.
        more: bool,
    },
    /// There is no such session any more.
    SessionExpired {
        /// The session.
        session: u64,
    },
    /// Grants that were just decided; they hold under the lease that the session has.
    Granted {
        /// The session.
        session: u64,
        /// The position that the grants follow.
        after: GrantPosition,
        /// Grants in their order.
        grants: Vec<Grant>,
    },
    /// The request is decided.
    Done {
        /// Number of the request.
        number: u32,
        /// Bit `i` is set where operation `i` of the request holds.
        applied: u64,
    },
    /// Another replica leads.
    NotLeader {
        /// The leader as far as this replica knows; 0 where it does not.
        leader: NodeId,
    },
    /// The state of partitions.
    Partitions {
        /// Number of the request.
        number: u32,
        /// In their order.
        partitions: Vec<PartitionStatus>,
        /// Further partitions follow: ask again from the next one.
        more: bool,
    },
    /// The session was not opened, as a limit is reached.
    LimitReached {
        /// Number of the request.
        number: u32,
    },
}

impl Request {
    /// Whether the request keeps to the limits of its parts.
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
    /// Whether the response keeps to the limits of its parts.
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

/// What a datagram between replicas and instances holds.
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
