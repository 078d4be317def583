//! Messages between instances: a length, a version, then the message in postcard, which encodes fields and variants by position, so
//! that their order and types are the format. Messages that are too long, of another version or malformed are reported as such.
//! Decoding never panics, and every list is bounded.

use crate::{NodeId, Time, SECOND};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version of the format.
pub const VERSION: u8 = 1;
/// Maximum length of a message, including the version.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;
/// Maximum number of gossip updates in one message.
pub const MAX_GOSSIP_UPDATES: usize = 24;
/// Maximum number of members in one member list.
pub const MAX_LISTED_MEMBERS: usize = 512;
/// Maximum number of grants in one message, and of workers in a load report.
pub const MAX_GRANTS: usize = 2048;
/// Maximum number of request classes in a load report.
pub const MAX_CLASSES: usize = 64;
/// Number of partitions of the members for the comparison of hashes.
pub const MEMBER_PARTITIONS: usize = 64;
/// Maximum duration of grants that a message may state.
const MAX_STATED_DURATION: Time = 60 * SECOND;

/// Length of the length prefix.
const LENGTH_BYTES: usize = 4;

/// Role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// Grants capacity of workers to forwarders.
    Planner,
    /// Accepts requests and sends them to workers.
    Forwarder,
    /// Runs requests.
    Worker,
}

/// State of a member. The update with the higher incarnation wins; within one incarnation, the later state in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The member answers pings.
    Alive,
    /// The member did not answer a ping, and may still refute the suspicion.
    Suspect,
    /// The member drains, by its own announcement.
    Draining,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member left, by its own announcement.
    Left,
}

impl MemberState {
    /// Whether the member is dead or has left.
    pub fn is_gone(self) -> bool {
        matches!(self, MemberState::Dead | MemberState::Left)
    }
}

/// A gossip update about a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipUpdate {
    /// The member.
    pub id: NodeId,
    /// Role of the member.
    pub role: Role,
    /// Address of its datagram socket.
    pub address: SocketAddr,
    /// Incarnation of the member, which only the member itself raises.
    pub incarnation: u32,
    /// State of the member.
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

/// A forwarder's observation of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerObservation {
    /// The worker.
    pub worker: NodeId,
    /// Attempts in flight at the worker.
    pub in_flight: u32,
    /// Attempts that ended, per second.
    pub ended: f32,
    /// Attempts among `ended` that the worker rejected, per second.
    pub rejected: f32,
    /// Mean response time, in tenths of a millisecond.
    pub latency: f32,
}

/// A forwarder's load report to the planners.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of the report. Grants name the report that they answer, so that their age is known.
    pub number: u32,
    /// Demand for each request class.
    pub demands: Vec<Demand>,
    /// Observation of each worker.
    pub observations: Vec<WorkerObservation>,
    /// The newest planner epoch that the forwarder knows.
    pub epoch: u64,
}

/// Capacity of a worker that a forwarder may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The worker.
    pub worker: NodeId,
    /// Maximum number of concurrent requests of the forwarder at the worker.
    pub slots: u32,
}

/// All messages. New kinds are added at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)] // the variants document their fields
pub enum Message {
    /// Answered by an acknowledgement with the same number.
    Ping { number: u32 },
    /// The answer to a ping.
    Ack { number: u32 },
    /// SWIM's ping-req: requests the receiver to ping `target` and to relay the answer under this number.
    PingRequest { number: u32, target: NodeId, address: SocketAddr },
    /// Sent by a new member; answered by lists of all known members.
    Join,
    /// Members that the sender knows.
    MemberList { members: Vec<GossipUpdate> },
    /// A forwarder's load report.
    Report(LoadReport),
    /// All grants of a forwarder, in place of the previous ones. The grants answer the load report with the number `report` and are
    /// valid for `duration` from their creation, which was after the sending of that report.
    Grants { epoch: u64, number: u64, report: u32, duration: Time, grants: Vec<Grant> },
    /// A hash of each partition of the members; answered by a member list of the partitions that differ. Earlier versions do not
    /// know this message: senders also send `Join` from time to time.
    Sync { hashes: Vec<u64> },
    /// A load report or grants under this version of the fleet policy.
    WithPolicyVersion { version: u64, message: Box<Message> },
}

/// A message with its sender and piggybacked updates.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: NodeId,
    /// Incarnation of the sender.
    pub incarnation: u32,
    /// Gossip updates.
    pub updates: Vec<GossipUpdate>,
    /// The message.
    pub message: Message,
}

/// A framing or bounds error, after which the start of the next message is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The length is not valid for a message.
    #[error("invalid message length: {0} bytes")]
    Length(usize),
    /// A list is too long, or a number is negative or not finite.
    #[error("a list or number in the message is out of bounds")]
    Bounds,
}

/// Result of decoding the start of received bytes.
#[derive(Debug, PartialEq)]
pub enum Decoded {
    /// The message is not complete.
    Incomplete,
    /// A message and its length.
    Message(Envelope, usize),
    /// A message of another version or kind, which the caller skips by its length.
    Unknown(usize),
    /// An invalid message; the bytes after it cannot be decoded.
    Malformed(MessageError),
}

/// Appends the encoded message to `out`; returns false and appends nothing if the message is too long.
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

/// Decodes the first message in `bytes`.
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
