//! Messages between instances: a length, a version, then the message by postcard. What is too long, of another version or not
//! to be understood is told as such; nothing panics, nothing is held past the bound.

use crate::{NodeId, Time};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

pub const VERSION: u8 = 1;
/// Longest message, version included, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;
/// Rumours in one message, grants in one, operations in a report.
pub const MAX_GOSSIP_UPDATES: usize = 24;
/// Those in an answer to one that joins.
pub const MAX_LISTED_MEMBERS: usize = 512;
pub const MAX_GRANTS: usize = 2048;
pub const MAX_CLASSES: usize = 64;
/// Parts of the members of which hashes are compared.
pub const MEMBER_PARTITIONS: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    Planner,
    Forwarder,
    Worker,
}

/// What is said of a member. Of two the one with the higher incarnation holds; of one incarnation, the later state here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    Alive,
    Suspect,
    /// It drains: told by itself, never detected.
    Draining,
    Dead,
    /// It left, and said so.
    Left,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipUpdate {
    pub id: NodeId,
    pub role: Role,
    pub address: SocketAddr,
    pub incarnation: u32,
    pub state: MemberState,
}

/// What a forwarder tells the planners of one class: arrivals a second, those held, and what each second of work bills.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    pub class: u16,
    pub rate: f32,
    pub held: u32,
    pub value: f32,
}

/// What it saw of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerObservation {
    pub worker: NodeId,
    pub out: u32,
    /// Ends a second, those turned away among them, and mean time to an answer in tenths of a millisecond.
    pub ends: f32,
    pub throttled: f32,
    pub took: f32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// What grants that answer it name, so that their age is known.
    pub number: u32,
    pub demands: Vec<Demand>,
    pub sights: Vec<WorkerObservation>,
    /// The newest epoch that it knows.
    pub epoch: u64,
}

/// So many places on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub worker: NodeId,
    pub places: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Are you there? Answered with the same number.
    Ping {
        number: u32,
    },
    Ack {
        number: u32,
    },
    /// Ask that one for me.
    PingRequest {
        number: u32,
        whom: NodeId,
        at: SocketAddr,
    },
    /// I am new here; the answer brings all that are known, in several messages.
    Join,
    MemberList {
        rumours: Vec<GossipUpdate>,
    },
    Report(LoadReport),
    /// All grants of a forwarder, in place of those before; they end `lasts` after they were made, which was after the
    /// report that they answer.
    Grants {
        epoch: u64,
        number: u64,
        answers: u32,
        lasts: Time,
        grants: Vec<Grant>,
    },
    /// What I know, as a hash for each part of the members: answered by `Known` of the parts that differ. Not understood by programs of
    /// before; whoever asks so asks by `Join` too, now and then.
    Sync {
        parts: Vec<u64>,
    },
    /// A report or grants under this version of the fleet's policy.
    WithPolicyVersion {
        version: u64,
        message: Box<Message>,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    pub from: NodeId,
    pub incarnation: u32,
    pub rumours: Vec<GossipUpdate>,
    pub message: Message,
}

#[derive(Debug, PartialEq)]
pub enum Decoded {
    /// Not all of it is here.
    More,
    Message(Envelope, usize),
    /// Of another version, or of a kind that this one does not know: to be skipped.
    Unknown(usize),
    /// Where the next begins can't be known, or lists are past their bounds.
    Broken(String),
}

/// Adds the bytes of a message; false, and nothing, where it is too long.
pub fn write(out: &mut Vec<u8>, envelope: &Envelope) -> bool {
    let Ok(body) = postcard::to_stdvec(envelope) else { return false };
    if body.len() + 1 > MAX_MESSAGE_BYTES {
        return false;
    }
    out.extend((body.len() as u32 + 1).to_be_bytes());
    out.push(VERSION);
    out.extend(body);
    true
}

/// The first message in `bytes`.
pub fn read(bytes: &[u8]) -> Decoded {
    let Some(head) = bytes.get(..4) else { return Decoded::More };
    let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    if !(1..=MAX_MESSAGE_BYTES).contains(&length) {
        return Decoded::Broken(format!("a message of {length} bytes"));
    }
    let Some(body) = bytes.get(4..4 + length) else { return Decoded::More };
    if body[0] != VERSION {
        return Decoded::Unknown(4 + length);
    }
    match postcard::take_from_bytes::<Envelope>(&body[1..]) {
        Ok((envelope, [])) => match bounded(&envelope) {
            true => Decoded::Message(envelope, 4 + length),
            false => Decoded::Broken("a list past its bound".into()),
        },
        _ => Decoded::Unknown(4 + length),
    }
}

fn bounded(envelope: &Envelope) -> bool {
    let message = match &envelope.message {
        Message::WithPolicyVersion { message, .. }
            if matches!(**message, Message::WithPolicyVersion { .. }) =>
        {
            return false
        }
        Message::WithPolicyVersion { message, .. } => message,
        message => message,
    };
    let own = match message {
        Message::MemberList { rumours } => rumours.len() <= MAX_LISTED_MEMBERS,
        Message::Sync { parts } => parts.len() == MEMBER_PARTITIONS,
        Message::Report(report) => {
            let finite = report.demands.iter().all(|demand| {
                demand.rate.is_finite()
                    && demand.rate >= 0.0
                    && demand.value.is_finite()
                    && demand.value >= 0.0
            });
            let seen = report.sights.iter().all(|sight| {
                [sight.ends, sight.throttled, sight.took]
                    .iter()
                    .all(|figure| figure.is_finite() && *figure >= 0.0)
            });
            report.demands.len() <= MAX_CLASSES && report.sights.len() <= MAX_GRANTS && finite && seen
        }
        Message::Grants { grants, lasts, .. } => grants.len() <= MAX_GRANTS && (0..=600_000).contains(lasts),
        _ => true,
    };
    own && envelope.rumours.len() <= MAX_GOSSIP_UPDATES
}
