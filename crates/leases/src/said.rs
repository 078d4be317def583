//! What instances and the keepers' desk say to each other, one in each datagram (bytes as in `quorum::letter`).

use crate::{NodeId, Part, Time, Want, CURSOR, ITEMS, TOLD, WANTS};
use serde::{Deserialize, Serialize};

/// One thing done to the agreed state on behalf of a session. Doing it twice is doing it once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Item {
    /// The owner is done with it: the next may have it.
    Release { part: Part, token: u64 },
    /// The work stands there. `step` rises under one token.
    Cursor { part: Part, token: u64, step: u64, cursor: Vec<u8> },
}

/// What an instance asks.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ask {
    /// It is here, and would take these. `session` 0 asks for one. `known` is the last grant that it has heard of.
    Renew { instance: NodeId, life: u64, session: u64, number: u32, known: (u64, Part), wants: Vec<Want> },
    /// `number` comes back with the answer, which says that all of them are decided.
    Do { session: u64, number: u32, items: Vec<Item> },
    /// It leaves: all that it owns is free at once.
    Leave { session: u64, number: u32 },
    /// An operator: an instance may no longer, or may again, own a duty; `None` is all instances for one moment, which frees it.
    Bar { number: u32, duty: u64, instance: Option<NodeId>, barred: bool },
    /// An operator asks for all there is, from this part on.
    List { number: u32, from: Part },
}

/// A part as it is granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    pub part: Part,
    pub token: u64,
    /// Where the work stands.
    pub cursor: Vec<u8>,
    /// An operator wants it given back.
    pub leave: bool,
}

/// A part as an operator sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Line {
    pub part: Part,
    /// 0 where nobody owns it.
    pub owner: NodeId,
    pub token: u64,
    /// Of the owner's lease, as this keeper counts it.
    pub left: Time,
    /// When its cursor last moved, counted back from now; negative where this keeper does not know.
    pub moved: Time,
    pub cursor: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// The session goes on for `lease` from when it was asked for. `grants` are those past `after`, in their order.
    Held {
        session: u64,
        number: u32,
        lease: Time,
        after: (u64, Part),
        grants: Vec<Grant>,
        more: bool,
    },
    /// There is no such session any more.
    Gone {
        session: u64,
    },
    /// Granted just now; holds under the lease that the session has.
    Granted {
        session: u64,
        after: (u64, Part),
        grants: Vec<Grant>,
    },
    /// Decided; of the items of a `Do` the first is bit 0 where it stands.
    Done {
        number: u32,
        did: u64,
    },
    /// Another keeper leads, as far as this one knows.
    Elsewhere {
        leader: NodeId,
    },
    Lines {
        number: u32,
        lines: Vec<Line>,
        more: bool,
    },
    /// Past a bound.
    Full {
        number: u32,
    },
}

impl Ask {
    pub fn bounded(&self) -> bool {
        match self {
            Ask::Renew { wants, .. } => wants.len() <= WANTS,
            Ask::Do { items, .. } => {
                let short =
                    |item: &Item| !matches!(item, Item::Cursor { cursor, .. } if cursor.len() > CURSOR);
                items.len() <= ITEMS && items.iter().all(short)
            }
            _ => true,
        }
    }
}

impl Answer {
    pub fn bounded(&self) -> bool {
        match self {
            Answer::Held { grants, lease, .. } => grants.len() <= TOLD && *lease >= 0 && *lease < 36_000_000,
            Answer::Granted { grants, .. } => grants.len() <= TOLD,
            Answer::Lines { lines, .. } => lines.len() <= TOLD,
            _ => true,
        }
    }
}

/// What a datagram holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Between keepers.
    Letter(cypresscleat_consensus::message::Message),
    /// To a keeper.
    Ask(Ask),
    /// From a keeper, whose number goes with it.
    Answer { from: NodeId, answer: Answer },
}
