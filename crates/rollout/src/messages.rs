//! Messages between members, operators and the leader, one in each datagram. They are encoded as in `consensus::message`: postcard
//! writes fields and variants by position, so their order and types define the format.

use crate::state::{AbortedChange, Outcome, Stage, Version};
use crate::watch::ServiceTotals;
use crate::{
    MemberKey, NodeId, Time, MAX_DOCUMENT_BYTES, MAX_HISTORY, MAX_MEMBERS_PER_MESSAGE, MAX_NAME_BYTES,
    MAX_REASON_BYTES,
};
use serde::{Deserialize, Serialize};

/// Maximum lease of a version: ten minutes, in tenths of a millisecond.
const MAX_VERSION_LEASE: Time = 6_000_000;
/// Maximum lease and heartbeat period that a member accepts: one hour.
const MAX_LEASE: Time = 36_000_000;
/// Minimum heartbeat period. A fraction of the period must not be 0.
pub(crate) const MIN_PERIOD: Time = 8;

/// A member's verdict on a version that it checked.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// The member can apply the version and has stored it. This is its vote to commit.
    Prepared,
    /// The member cannot apply the version: the reason, with the line of the document.
    Refused(String),
}

/// A request to the leader. The response repeats its `number`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Request {
    /// Renews a member's lease, or asks to join.
    Heartbeat {
        /// The member.
        key: MemberKey,
        /// Its name.
        name: String,
        /// Whether the sender joins if it is not a member.
        joins: bool,
        /// Number of the request.
        number: u32,
        /// The verdict on the change that the leader last asked the member to check.
        verdict: Option<(u64, Verdict)>,
        /// The member admits nothing until this change is active; 0 for none.
        paused: u64,
        /// The version under which the member admits; 0 for none.
        active: u64,
        /// The member's totals since its start.
        totals: ServiceTotals,
    },
    /// Fetches the document of a version.
    FetchDocument {
        /// Number of the request.
        number: u32,
        /// The version.
        version: u64,
    },
    /// The member drains and admits nothing any more.
    Leave {
        /// The member.
        key: MemberKey,
        /// Number of the request.
        number: u32,
    },
    /// An operator proposes a version.
    Propose {
        /// Number of the request.
        number: u32,
        /// The version; the leader ignores its number.
        version: Version,
    },
    /// An operator states that an instance will not restart.
    Forget {
        /// Number of the request.
        number: u32,
        /// The instance.
        member: NodeId,
    },
    /// An operator queries the state of the rollout and of its members.
    Status {
        /// Number of the request.
        number: u32,
        /// Key from which the member list starts.
        from: MemberKey,
    },
    /// An operator queries the committed and aborted versions.
    History {
        /// Number of the request.
        number: u32,
    },
}

/// The state of a member as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member.
    pub key: MemberKey,
    /// Its name.
    pub name: String,
    /// The version under which the member admits.
    pub active: u64,
    /// The verdict on the pending change.
    pub verdict: Option<Verdict>,
    /// Whether the member admits nothing until the change is active.
    pub paused: bool,
    /// Time since the last heartbeat; negative where this leader has received none.
    pub silent: Time,
}

/// A response of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Response {
    /// `version` is active. The member may admit under it for `lease` from the time it sent the heartbeat, or without a limit.
    Renewed {
        /// The member.
        key: MemberKey,
        /// Number of the request.
        number: u32,
        /// Duration of the lease; `None` for a lease without an end.
        lease: Option<Time>,
        /// Heartbeat period, also where there is no lease.
        period: Time,
        /// The active version.
        version: u64,
        /// A change to check; 0 for none.
        check: u64,
        /// A change for which the member admits nothing until it is active; 0 for none.
        pause: u64,
    },
    /// This incarnation is not a member.
    MembershipExpired {
        /// The key of the sender.
        key: MemberKey,
    },
    /// A version with its document.
    Document {
        /// Number of the request.
        number: u32,
        /// `None` where the version is unknown.
        version: Option<Box<Version>>,
    },
    /// The result of a proposal.
    Proposed {
        /// Number of the request.
        number: u32,
        /// The outcome.
        outcome: Outcome,
    },
    /// The request was carried out.
    Done {
        /// Number of the request.
        number: u32,
    },
    /// The state of the rollout.
    Status {
        /// Number of the request.
        number: u32,
        /// The active version.
        active: u64,
        /// The pending change and its stage.
        change: Option<(u64, Stage)>,
        /// Generation of the member list.
        generation: u64,
        /// Members in key order.
        lines: Vec<MemberStatus>,
        /// More members follow; the next query starts after the last key.
        more: bool,
    },
    /// Committed and aborted versions, without their documents.
    History {
        /// Number of the request.
        number: u32,
        /// The newest first.
        committed: Vec<Version>,
        /// The oldest first.
        aborted: Vec<AbortedChange>,
    },
    /// This replica is not the leader.
    NotLeader {
        /// The leader that this replica knows; 0 for none.
        leader: NodeId,
    },
    /// The state of the rollout has changed: the member sends a heartbeat now.
    Changed,
}

impl Request {
    /// Whether all fields of the request are within their limits.
    pub fn is_within_bounds(&self) -> bool {
        match self {
            Request::Heartbeat { name, verdict, .. } => {
                name.len() <= MAX_NAME_BYTES && has_short_reason(verdict.as_ref())
            }
            Request::Propose { version, .. } => is_version_within_bounds(version),
            _ => true,
        }
    }
}

fn has_short_reason(verdict: Option<&(u64, Verdict)>) -> bool {
    !matches!(verdict, Some((_, Verdict::Refused(why))) if why.len() > MAX_REASON_BYTES)
}

fn is_version_within_bounds(version: &Version) -> bool {
    version.document.len() <= MAX_DOCUMENT_BYTES
        && version.by.len() <= MAX_NAME_BYTES
        && version.why.len() <= MAX_REASON_BYTES
        && (1..=MAX_VERSION_LEASE).contains(&version.rules.lease)
}

impl Response {
    /// Whether all fields of the response are within their limits.
    pub fn is_within_bounds(&self) -> bool {
        match self {
            Response::Renewed { lease, period, .. } => {
                lease.is_none_or(|lease| (0..MAX_LEASE).contains(&lease))
                    && (MIN_PERIOD..MAX_LEASE).contains(period)
            }
            Response::Document { version, .. } => {
                version.as_ref().is_none_or(|version| is_version_within_bounds(version))
            }
            Response::Status { lines, .. } => lines.len() <= MAX_MEMBERS_PER_MESSAGE,
            Response::History { committed, .. } => committed.len() <= MAX_HISTORY + 1,
            _ => true,
        }
    }
}
