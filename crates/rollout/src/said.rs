//! What members, operators and the keepers' desk say to each other, one in each datagram (bytes as in `quorum::letter`).

use crate::policies::{Dropped, Outcome, Stage, Version};
use crate::watch::Seen;
use crate::{Key, NodeId, Time, HISTORY, NAME, TEXT, TOLD, WHY};
use serde::{Deserialize, Serialize};

/// What a member found of a text.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// It can carry it out, and has kept it.
    Good,
    /// It can't, and why: with the line.
    Bad(String),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ask {
    /// A member is here. Answered by `Held`, or by `Gone` where it is none and may join with `joins`.
    Here {
        key: Key,
        name: String,
        joins: bool,
        /// Comes back with the answer.
        number: u32,
        /// What it found of the change that it was last told of.
        verdict: Option<(u64, Verdict)>,
        /// It admits nothing until this change is in force; 0 for none.
        paused: u64,
        /// The version that it has in force.
        has: u64,
        seen: Seen,
    },
    /// The text of a version.
    Fetch { number: u32, version: u64 },
    /// It drains, and admits nothing any more.
    Leave { key: Key, number: u32 },
    /// An operator, or the watch. `number` of the version and its stage are of no account.
    Propose { number: u32, version: Version },
    /// An operator: that instance will not come back.
    Forget { number: u32, member: NodeId },
    /// An operator asks how all stands; members from this one on.
    Status { number: u32, from: Key },
    /// An operator asks for what was taken and dropped.
    History { number: u32 },
}

/// How a member stands, as the desk has it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Line {
    pub key: Key,
    pub name: String,
    pub has: u64,
    pub verdict: Option<Verdict>,
    pub paused: bool,
    /// Since it was last heard; negative where this keeper does not know.
    pub silent: Time,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// Version `version` is in force, and may be admitted under for `lease` from when it was asked, or for good.
    Held {
        key: Key,
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
    Gone {
        key: Key,
    },
    Text {
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
        now: u64,
        change: Option<(u64, Stage)>,
        generation: u64,
        lines: Vec<Line>,
        more: bool,
    },
    /// Texts are fetched one by one.
    History {
        number: u32,
        taken: Vec<Version>,
        dropped: Vec<Dropped>,
    },
    /// Another keeper leads, as far as this one knows.
    Elsewhere {
        leader: NodeId,
    },
    /// Something changed: ask now.
    News,
}

impl Ask {
    pub fn bounded(&self) -> bool {
        match self {
            Ask::Here { name, verdict, .. } => {
                let short = match verdict {
                    Some((_, Verdict::Bad(why))) => why.len() <= WHY,
                    _ => true,
                };
                name.len() <= NAME && short
            }
            Ask::Propose { version, .. } => bounded(version),
            _ => true,
        }
    }
}

fn bounded(version: &Version) -> bool {
    let lease = (1..=6_000_000).contains(&version.rules.lease);
    version.text.len() <= TEXT && version.by.len() <= NAME && version.why.len() <= WHY && lease
}

impl Answer {
    pub fn bounded(&self) -> bool {
        match self {
            Answer::Held { lease, period, .. } => {
                lease.is_none_or(|lease| (0..36_000_000).contains(&lease)) && (8..36_000_000).contains(period)
            }
            Answer::Text { version, .. } => version.as_ref().is_none_or(|version| bounded(version)),
            Answer::Status { lines, .. } => lines.len() <= TOLD,
            Answer::History { taken, .. } => taken.len() <= HISTORY + 1,
            _ => true,
        }
    }
}
