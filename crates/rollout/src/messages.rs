//! Messages between members, operators and the leader, one in each datagram. Bytes are as in `consensus::message`: postcard writes fields
//! and variants by position, so their order and types are the format.

use crate::state::{AbortedChange, Outcome, Stage, Version};
use crate::watch::ServiceTotals;
use crate::{
    MemberKey, NodeId, Time, MAX_DOCUMENT_BYTES, MAX_HISTORY, MAX_MEMBERS_PER_MESSAGE, MAX_NAME_BYTES,
    MAX_REASON_BYTES,
};
use serde::{Deserialize, Serialize};

/// Longest lease of a version: ten minutes.
const MAX_VERSION_LEASE: Time = 6_000_000;
/// Longest lease and period that a member accepts: an hour.
const MAX_LEASE: Time = 36_000_000;
/// Shortest period of heartbeats, so that a part of it is not 0.
pub(crate) const MIN_PERIOD: Time = 8;

/// What a member found of a version that it checked.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// It can carry the version out, and has stored it: its vote to commit.
    Prepared,
    /// It can't, and why: with the line.
    Refused(String),
}

/// A request to the leader. `number` comes back with the response.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Request {
    /// A member renews its lease, or joins.
    Heartbeat {
        /// The member.
        key: MemberKey,
        /// Its name.
        name: String,
        /// Whether it would join where it is no member.
        joins: bool,
        /// Number of the request.
        number: u32,
        /// What it found of the change that it was last told to check.
        verdict: Option<(u64, Verdict)>,
        /// It admits nothing until this change is active; 0 for none.
        paused: u64,
        /// The version under which it admits; 0 for none.
        active: u64,
        /// What it served since its start.
        totals: ServiceTotals,
    },
    /// Asks for the document of a version.
    FetchDocument {
        /// Number of the request.
        number: u32,
        /// The version.
        version: u64,
    },
    /// A member drains, and admits nothing any more.
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
        /// The version; its number is ignored.
        version: Version,
    },
    /// An operator says that an instance will not come back.
    Forget {
        /// Number of the request.
        number: u32,
        /// The instance.
        member: NodeId,
    },
    /// An operator asks for the state of the rollout and of its members.
    Status {
        /// Number of the request.
        number: u32,
        /// The first member of the list.
        from: MemberKey,
    },
    /// An operator asks for committed and aborted versions.
    History {
        /// Number of the request.
        number: u32,
    },
}

/// A member as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member.
    pub key: MemberKey,
    /// Its name.
    pub name: String,
    /// The version under which it admits.
    pub active: u64,
    /// What it found of the change under way.
    pub verdict: Option<Verdict>,
    /// Whether it admits nothing until the change is active.
    pub paused: bool,
    /// Time since it was last heard; negative where this leader does not know.
    pub silent: Time,
}

/// A response of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Response {
    /// Version `version` is active, and may be admitted under for `lease` from when the heartbeat was sent, or for good.
    Renewed {
        /// The member.
        key: MemberKey,
        /// Number of the request.
        number: u32,
        /// Length of the lease; `None` is for good.
        lease: Option<Time>,
        /// Period of heartbeats, also where there is no lease.
        period: Time,
        /// The active version.
        version: u64,
        /// A change to check; 0 for none.
        check: u64,
        /// A change for which nothing is to be admitted; 0 for none.
        pause: u64,
    },
    /// This incarnation is no member.
    MembershipExpired {
        /// The one that asked.
        key: MemberKey,
    },
    /// A version with its document.
    Document {
        /// Number of the request.
        number: u32,
        /// `None` where it is not known.
        version: Option<Box<Version>>,
    },
    /// What became of a proposal.
    Proposed {
        /// Number of the request.
        number: u32,
        /// The outcome.
        outcome: Outcome,
    },
    /// Done.
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
        /// The change under way, and its stage.
        change: Option<(u64, Stage)>,
        /// Generation of the list of members.
        generation: u64,
        /// Members in their order.
        lines: Vec<MemberStatus>,
        /// Further members follow: ask again from the next one.
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
    /// Another replica leads.
    NotLeader {
        /// The leader as far as this replica knows; 0 where it does not.
        leader: NodeId,
    },
    /// The rollout has moved: send a heartbeat now.
    Changed,
}

impl Request {
    /// Whether the request keeps to the limits of its parts.
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
    /// Whether the response keeps to the limits of its parts.
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
