//! What instances and the replicas' desk say to each other, one in each datagram (bytes as in `quorum::letter`).

use crate::{
    Claim, NodeId, Partition, Time, MAX_CLAIMS, MAX_CURSOR_BYTES, MAX_GRANTS_PER_MESSAGE,
    MAX_OPERATIONS_PER_MESSAGE,
};
use serde::{Deserialize, Serialize};

/// One thing done to the agreed state on behalf of a session. Doing it twice is doing it once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Operation {
    /// The owner is done with it: the next may have it.
    Release { partition: Partition, token: u64 },
    /// The work stands there. `step` rises under one token.
    SaveCursor { partition: Partition, token: u64, step: u64, cursor: Vec<u8> },
}

/// What an instance asks.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Request {
    /// It is here, and would take these. `session` 0 asks for one. `last_seen_grant` is the last grant that it has heard of.
    Renew {
        instance: NodeId,
        incarnation: u64,
        session: u64,
        number: u32,
        last_seen_grant: (u64, Partition),
        claims: Vec<Claim>,
    },
    /// `number` comes back with the response, which says that all of them are decided.
    Apply { session: u64, number: u32, operations: Vec<Operation> },
    /// It leaves: all that it owns is free at once.
    Leave { session: u64, number: u32 },
    /// An operator: an instance may no longer, or may again, own a task; `None` is all instances for one moment, which frees it.
    Exclude { number: u32, task: u64, instance: Option<NodeId>, excluded: bool },
    /// An operator asks for all there is, from this partition on.
    List { number: u32, from: Partition },
}

/// A partition as it is granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    pub partition: Partition,
    pub token: u64,
    /// Where the work stands.
    pub cursor: Vec<u8>,
    /// An operator wants it given back.
    pub release_requested: bool,
}

/// A partition as an operator sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PartitionStatus {
    pub partition: Partition,
    /// 0 where nobody owns it.
    pub owner: NodeId,
    pub token: u64,
    /// Of the owner's lease, as this replica counts it.
    pub lease_left: Time,
    /// When its cursor last moved, counted back from now; negative where this replica does not know.
    pub cursor_age: Time,
    pub cursor: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Response {
    /// The session goes on for `lease` from when it was asked for. `grants` are those past `after`, in their order.
    Renewed {
        session: u64,
        number: u32,
        lease: Time,
        after: (u64, Partition),
        grants: Vec<Grant>,
        more: bool,
    },
    /// There is no such session any more.
    SessionExpired {
        session: u64,
    },
    /// Granted just now; holds under the lease that the session has.
    Granted {
        session: u64,
        after: (u64, Partition),
        grants: Vec<Grant>,
    },
    /// Decided; of the operations of a `Do` the first is bit 0 where it stands.
    Done {
        number: u32,
        applied: u64,
    },
    /// Another replica leads, as far as this one knows.
    NotLeader {
        leader: NodeId,
    },
    Partitions {
        number: u32,
        partitions: Vec<PartitionStatus>,
        more: bool,
    },
    /// Past a bound.
    LimitReached {
        number: u32,
    },
}

impl Request {
    pub fn is_within_bounds(&self) -> bool {
        match self {
            Request::Renew { claims, .. } => claims.len() <= MAX_CLAIMS,
            Request::Apply { operations, .. } => {
                let short = |operation: &Operation| !matches!(operation, Operation::SaveCursor { cursor, .. } if cursor.len() > MAX_CURSOR_BYTES);
                operations.len() <= MAX_OPERATIONS_PER_MESSAGE && operations.iter().all(short)
            }
            _ => true,
        }
    }
}

impl Response {
    pub fn is_within_bounds(&self) -> bool {
        match self {
            Response::Renewed { grants, lease, .. } => {
                grants.len() <= MAX_GRANTS_PER_MESSAGE && *lease >= 0 && *lease < 36_000_000
            }
            Response::Granted { grants, .. } => grants.len() <= MAX_GRANTS_PER_MESSAGE,
            Response::Partitions { partitions, .. } => partitions.len() <= MAX_GRANTS_PER_MESSAGE,
            _ => true,
        }
    }
}

/// What a datagram holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Between replicas.
    Consensus(cypresscleat_consensus::letter::Letter),
    /// To a replica.
    Request(Request),
    /// From a replica, whose number goes with it.
    Response { from: NodeId, response: Response },
}
