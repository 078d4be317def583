//! The effects of a call to a replica. The caller persists the writes first; then it sends, responds and logs, in any order.

use crate::message::{LogPosition, Message};
use crate::storage::Write;
use crate::{DiskId, Member, NodeId};
use std::fmt;

/// The outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProposalResponse {
    /// The command was committed and applied.
    Applied {
        /// Id of the proposal.
        proposal_id: u64,
        /// Index of the entry in the log.
        index: u64,
        /// Result of the state machine.
        result: Vec<u8>,
    },
    /// This replica is no longer the leader: the proposal may or may not be committed.
    Unknown {
        /// Id of the proposal.
        proposal_id: u64,
    },
}

/// The effects of a call; see the crate's documentation for their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ready {
    /// Writes that must be on the disk, in this order, before the other effects are processed.
    pub writes: Vec<Write>,
    /// Messages, each with the receiver's id.
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
    /// The replica became the leader.
    BecameLeader {
        /// The term.
        term: u64,
    },
    /// The replica is no longer the leader.
    SteppedDown {
        /// The term in which it was the leader.
        term: u64,
    },
    /// The leader proposed to add a member.
    AddingMember(Member),
    /// The leader proposed to remove a member.
    RemovingMember(Member),
    /// The removal of this replica was committed.
    RemovedItself,
    /// All configured replicas had empty disks and became the first members.
    Bootstrapped {
        /// Number of members.
        members: usize,
    },
    /// Another replica knows of acknowledged state that this disk no longer holds.
    StaleDisk {
        /// The disk.
        disk: DiskId,
        /// Last position of the disk's log.
        last: LogPosition,
        /// Last position that the disk acknowledged.
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
                "disk {disk:016x} has forgotten: it stands at Mark {{ term: {}, index: {} }}, \
                 and Mark {{ term: {}, index: {} }} was acknowledged from it",
                last.term, last.index, acknowledged.term, acknowledged.index
            ),
        }
    }
}
