//! Messages between instances: a length, a version, then the message by postcard, which writes fields and variants by position:
//! their order and types are the format. What is too long, of another version or malformed is reported as such; nothing panics,
//! nothing is held past its bound.

use crate::{NodeId, Time, SECOND};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version of the format.
pub const VERSION: u8 = 1;
/// Longest message, version included.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;
/// Gossip updates on one message.
pub const MAX_GOSSIP_UPDATES: usize = 24;
/// Members in one member list.
pub const MAX_LISTED_MEMBERS: usize = 512;
/// Grants in one message, and workers in a load report.
pub const MAX_GRANTS: usize = 2048;
/// Request classes in a load report.
pub const MAX_CLASSES: usize = 64;
/// Partitions of the members of which hashes are compared.
pub const MEMBER_PARTITIONS: usize = 64;
/// Longest that a message may say grants hold.
const MAX_STATED_DURATION: Time = 60 * SECOND;

/// Length of the length that begins each message.
const LENGTH_BYTES: usize = 4;

/// What a member does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// Gives out capacity of workers to forwarders.
    Planner,
    /// Takes requests and sends them to workers.
    Forwarder,
    /// Runs requests.
    Worker,
}

/// State of a member. Of two updates the one with the higher incarnation holds; of one incarnation, the later state here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer, and may still refute its death.
    Suspect,
    /// It drains: announced by itself, never detected.
    Draining,
    /// It did not answer and did not refute that in time.
    Dead,
    /// It left, and said so.
    Left,
}

impl MemberState {
    /// Whether the member is dead or has left.
    pub fn is_gone(self) -> bool {
        matches!(self, MemberState::Dead | MemberState::Left)
    }
}

/// What gossip says of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipUpdate {
    /// The member.
    pub id: NodeId,
    /// What it does.
    pub role: Role,
    /// Where it hears datagrams.
    pub address: SocketAddr,
    /// Its incarnation, which only itself raises.
    pub incarnation: u32,
    /// Its state.
    pub state: MemberState,
}

/// A forwarder's demand for one request class.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The request class.
    pub class: u16,
    /// Arrivals per second.
    pub rate: f32,
    /// Requests in the queue.
    pub queued: u32,
    /// Priority weight of a request.
    pub weight: f32,
}

/// What a forwarder has seen of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerObservation {
    /// The worker.
    pub worker: NodeId,
    /// Attempts in flight there.
    pub in_flight: u32,
    /// Attempts that ended, per second.
    pub ended: f32,
    /// Of those, attempts that the worker rejected, per second.
    pub rejected: f32,
    /// Mean time to an answer, in tenths of a millisecond.
    pub latency: f32,
}

/// What a forwarder reports to the planners.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Named by the grants that answer it, so that their age is known.
    pub number: u32,
    /// One for each request class.
    pub demands: Vec<Demand>,
    /// One for each worker.
    pub observations: Vec<WorkerObservation>,
    /// The newest epoch of planners that the forwarder knows.
    pub epoch: u64,
}

/// Capacity of a worker that a forwarder may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The worker.
    pub worker: NodeId,
    /// Requests that it may have there at once.
    pub slots: u32,
}

/// All messages. New kinds come at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)] // the fields are explained with their variant
pub enum Message {
    /// Answered by an acknowledgement with the same number.
    Ping { number: u32 },
    /// The answer to a ping.
    Ack { number: u32 },
    /// SWIM's ping-req: asks the receiver to ping `target` and to pass on its answer under this number.
    PingRequest { number: u32, target: NodeId, address: SocketAddr },
    /// Sent by a new member; answered by member lists of all that are known.
    Join,
    /// Members that the sender knows.
    MemberList { members: Vec<GossipUpdate> },
    /// A forwarder's load report.
    Report(LoadReport),
    /// All grants of a forwarder, in place of those before. They hold for `duration` from when they were made, which was after
    /// the load report of number `report`, which they answer.
    Grants { epoch: u64, number: u64, report: u32, duration: Time, grants: Vec<Grant> },
    /// A hash of each partition of the members; answered by a member list of those that differ. Programs of before do not know
    /// it: whoever sends it also joins anew now and then.
    Sync { hashes: Vec<u64> },
    /// A load report or grants under this version of the fleet's policy.
    WithPolicyVersion { version: u64, message: Box<Message> },
}

/// A message with its sender and the updates that ride on it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: NodeId,
    /// Its incarnation.
    pub incarnation: u32,
    /// Gossip.
    pub updates: Vec<GossipUpdate>,
    /// The message itself.
    pub message: Message,
}

/// Why the start of the next message cannot be known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// No message has this length.
    #[error("a message of {0} bytes")]
    Length(usize),
    /// A list is longer than allowed, or a number in it is negative or not finite.
    #[error("a list past its bound")]
    Bounds,
}

/// What stands at the start of received bytes.
#[derive(Debug, PartialEq)]
pub enum Decoded {
    /// Not the whole message is here.
    Incomplete,
    /// A message, and its length.
    Message(Envelope, usize),
    /// A message of another version or kind, to be skipped; its length.
    Unknown(usize),
    /// Nothing behind it can be read.
    Malformed(MessageError),
}

/// Appends the bytes of a message; returns false, and appends nothing, where it is too long.
pub fn encode(out: &mut Vec<u8>, envelope: &Envelope) -> bool {
    let Ok(body) = postcard::to_stdvec(envelope) else { return false };
    let length = body.len() + 1;
    if length > MAX_MESSAGE_BYTES {
        return false;
    }
    out.extend((length as u32).to_be_bytes());
    out.push(VERSION);
    out.extend(body);
    true
}

/// The first message in `bytes`.
pub fn decode(bytes: &[u8]) -> Decoded {
    let Some(head) = bytes.get(..LENGTH_BYTES) else { return Decoded::Incomplete };
    let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    if !(1..=MAX_MESSAGE_BYTES).contains(&length) {
        return Decoded::Malformed(MessageError::Length(length));
    }
    let end = LENGTH_BYTES + length;
    let Some(body) = bytes.get(LENGTH_BYTES..end) else { return Decoded::Incomplete };
    if body[0] != VERSION {
        return Decoded::Unknown(end);
    }
    match postcard::take_from_bytes::<Envelope>(&body[1..]) {
        Ok((envelope, [])) if is_within_bounds(&envelope) => Decoded::Message(envelope, end),
        Ok((_, [])) => Decoded::Malformed(MessageError::Bounds),
        _ => Decoded::Unknown(end),
    }
}

fn is_within_bounds(envelope: &Envelope) -> bool {
    let message = match &envelope.message {
        Message::WithPolicyVersion { message, .. } => match **message {
            Message::WithPolicyVersion { .. } => return false,
            _ => message,
        },
        message => message,
    };
    let is_bounded = match message {
        Message::MemberList { members } => members.len() <= MAX_LISTED_MEMBERS,
        Message::Sync { hashes } => hashes.len() == MEMBER_PARTITIONS,
        Message::Report(report) => is_report_within_bounds(report),
        Message::Grants { grants, duration, .. } => {
            grants.len() <= MAX_GRANTS && (0..=MAX_STATED_DURATION).contains(duration)
        }
        _ => true,
    };
    is_bounded && envelope.updates.len() <= MAX_GOSSIP_UPDATES
}

fn is_report_within_bounds(report: &LoadReport) -> bool {
    let is_valid = |figure: f32| figure.is_finite() && figure >= 0.0;
    let demands = report.demands.iter().flat_map(|demand| [demand.rate, demand.weight]);
    let observations = report.observations.iter().flat_map(|one| [one.ended, one.rejected, one.latency]);
    report.demands.len() <= MAX_CLASSES
        && report.observations.len() <= MAX_GRANTS
        && demands.chain(observations).all(is_valid)
}
