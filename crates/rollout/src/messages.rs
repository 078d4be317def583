//! What members, operators and the keepers' desk say to each other, one in each datagram (bytes as in `consensus::letter`).

use crate::state::{AbortedChange, Outcome, Stage, Version};
use crate::watch::ServiceTotals;
use crate::{
    MemberKey, NodeId, Time, MAX_DOCUMENT_BYTES, MAX_HISTORY, MAX_MEMBERS_PER_MESSAGE, MAX_NAME_BYTES,
    MAX_REASON_BYTES,
};
use serde::{Deserialize, Serialize};

/// What a member found of a text.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// It can carry it out, and has kept it.
    Prepared,
    /// It can't, and why: with the line.
    Refused(String),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Request {
    /// A member is here. ProposalResponse by `Held`, or by `Gone` where it is none and may join with `joins`.
    Heartbeat {
        key: MemberKey,
        name: String,
        joins: bool,
        /// Comes back with the answer.
        number: u32,
        /// What it found of the change that it was last told of.
        verdict: Option<(u64, Verdict)>,
        /// It admits nothing until this change is in force; 0 for none.
        paused: u64,
        /// The version that it has in force.
        active: u64,
        totals: ServiceTotals,
    },
    /// The text of a version.
    FetchDocument { number: u32, version: u64 },
    /// It drains, and admits nothing any more.
    Leave { key: MemberKey, number: u32 },
    /// An operator, or the watch. `number` of the version and its stage are of no account.
    Propose { number: u32, version: Version },
    /// An operator: that instance will not come back.
    Forget { number: u32, member: NodeId },
    /// An operator asks how all stands; members from this one on.
    Status { number: u32, from: MemberKey },
    /// An operator asks for what was taken and dropped.
    History { number: u32 },
}

/// How a member stands, as the desk has it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberStatus {
    pub key: MemberKey,
    pub name: String,
    pub active: u64,
    pub verdict: Option<Verdict>,
    pub paused: bool,
    /// Since it was last heard; negative where this keeper does not know.
    pub silent: Time,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Response {
    /// Version `version` is in force, and may be admitted under for `lease` from when it was asked, or for good.
    Renewed {
        key: MemberKey,
        number: u32,
        lease: Option<Time>,
        /// What renewals go by, also where there is no lease.
        period: Time,
        version: u64,
        /// A change to be checked; 0 for none.
        check: u64,
        /// A change for which nothing is to be admitted; 0 for none.
        pause: u64,
    },
    /// This life is no member.
    MembershipExpired {
        key: MemberKey,
    },
    Document {
        number: u32,
        version: Option<Box<Version>>,
    },
    Proposed {
        number: u32,
        outcome: Outcome,
    },
    Done {
        number: u32,
    },
    Status {
        number: u32,
        active: u64,
        change: Option<(u64, Stage)>,
        generation: u64,
        lines: Vec<MemberStatus>,
        more: bool,
    },
    /// Texts are fetched one by one.
    History {
        number: u32,
        committed: Vec<Version>,
        aborted: Vec<AbortedChange>,
    },
    /// Another keeper leads, as far as this one knows.
    NotLeader {
        leader: NodeId,
    },
    /// Something changed: ask now.
    Changed,
}

impl Request {
    pub fn is_within_bounds(&self) -> bool {
        match self {
            Request::Heartbeat { name, verdict, .. } => {
                let short = match verdict {
                    Some((_, Verdict::Refused(why))) => why.len() <= MAX_REASON_BYTES,
                    _ => true,
                };
                name.len() <= MAX_NAME_BYTES && short
            }
            Request::Propose { version, .. } => is_within_bounds(version),
            _ => true,
        }
    }
}

fn is_within_bounds(version: &Version) -> bool {
    let lease = (1..=6_000_000).contains(&version.rules.lease);
    version.document.len() <= MAX_DOCUMENT_BYTES
        && version.by.len() <= MAX_NAME_BYTES
        && version.why.len() <= MAX_REASON_BYTES
        && lease
}

impl Response {
    pub fn is_within_bounds(&self) -> bool {
        match self {
            Response::Renewed { lease, period, .. } => {
                lease.is_none_or(|lease| (0..36_000_000).contains(&lease)) && (8..36_000_000).contains(period)
            }
            Response::Document { version, .. } => {
                version.as_ref().is_none_or(|version| is_within_bounds(version))
            }
            Response::Status { lines, .. } => lines.len() <= MAX_MEMBERS_PER_MESSAGE,
            Response::History { committed, .. } => committed.len() <= MAX_HISTORY + 1,
            _ => true,
        }
    }
}
