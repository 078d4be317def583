//! What a call to a replica asks its caller to do: persist first; then send, respond and log, in any order.

use crate::message::{LogPosition, Message};
use crate::storage::Write;
use crate::{DiskId, Member, NodeId};
use std::fmt;

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProposalResponse {
    /// It was committed and applied.
    Applied {
        /// The id under which it was proposed.
        proposal_id: u64,
        /// Its index in the log.
        index: u64,
        /// What the state machine returned.
        result: Vec<u8>,
    },
    /// This replica is no longer the leader: the proposal may be committed or not.
    Unknown {
        /// The id under which it was proposed.
        proposal_id: u64,
    },
}

/// The effects of a call; see the crate's documentation for their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ready {
    /// Must be on the disk, in this order, before anything else is done.
    pub writes: Vec<Write>,
    /// Messages, each with the replica that it goes to.
    pub messages: Vec<(NodeId, Message)>,
    /// Responses to proposals.
    pub responses: Vec<ProposalResponse>,
    /// Transitions, for the log.
    pub events: Vec<Event>,
}

impl Ready {
    /// Appends the effects of a later call.
    pub fn merge(mut self, later: Ready) -> Ready {
        self.writes.extend(later.writes);
        self.messages.extend(later.messages);
        self.responses.extend(later.responses);
        self.events.extend(later.events);
        self
    }
}

/// A transition of a replica, rendered by its `Display`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// It became the leader.
    BecameLeader {
        /// In this term.
        term: u64,
    },
    /// It is no longer the leader.
    SteppedDown {
        /// The term that it led in.
        term: u64,
    },
    /// As the leader it proposed to add a member.
    AddingMember(Member),
    /// As the leader it proposed to remove a member.
    RemovingMember(Member),
    /// Its own removal was committed.
    RemovedItself,
    /// All configured replicas had empty disks, and it made them the first members.
    Bootstrapped {
        /// Number of members.
        members: usize,
    },
    /// Another replica knows of promises that this disk no longer holds.
    StaleDisk {
        /// The disk.
        disk: DiskId,
        /// End of its log.
        last: LogPosition,
        /// What it had acknowledged.
        acknowledged: LogPosition,
    },
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::BecameLeader { term } => write!(f, "leads the keepers in term {term}"),
            Event::SteppedDown { term } => write!(f, "leads the keepers no longer, after term {term}"),
            Event::AddingMember(Member { id, disk }) => {
                write!(f, "keeper {id:016x} with disk {disk:016x} comes")
            }
            Event::RemovingMember(Member { id, disk }) => {
                write!(f, "keeper {id:016x} with disk {disk:016x} goes")
            }
            Event::RemovedItself => write!(f, "goes from the keepers"),
            Event::Bootstrapped { members } => write!(f, "{members} keepers with empty disks begin"),
            Event::StaleDisk { disk, last, acknowledged } => write!(
                f,
                "disk {disk:016x} is stale: its log ends at term {}, index {}, \
                 and it had acknowledged term {}, index {}",
                last.term, last.index, acknowledged.term, acknowledged.index
            ),
        }
    }
}
