//! Messages between replicas, one in each datagram: a magic byte, a version, a checksum, then the message encoded by postcard.
//! Bytes of another version, corrupted, truncated or too long give a [`DecodeError`], never a panic.
//!
//! A later version may add variants at the end of [`MessageBody`]. A replica drops a variant that it does not know, as if the
//! network had lost it; the protocol tolerates lost messages.

use crate::{DiskId, Member};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// First byte of each datagram.
pub const MAGIC: u8 = 0xC5;
/// Version of the encoding, the second byte of each datagram.
pub const VERSION: u8 = 1;
/// Longest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 60 * 1024;
/// Maximum number of bytes of entries, or of a snapshot, in one message.
pub const MAX_PAYLOAD_BYTES: usize = 32 * 1024;
/// Longest command, in bytes.
pub const MAX_COMMAND_BYTES: usize = 24 * 1024;
/// Maximum number of members. Five are expected, and one more while a member is replaced.
pub const MAX_MEMBERS: usize = 8;

/// Magic byte, version and checksum.
const HEADER_BYTES: usize = 6;

/// What a log entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Appended by a new leader: its commit also commits every entry before it.
    NoOp,
    /// A command for the state machine.
    Command(Vec<u8>),
    /// The members from this entry on.
    Membership(Vec<Member>),
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended it.
    pub term: u64,
    /// Content of the entry.
    pub payload: EntryPayload,
}

/// Position in a log. Of two logs, the log with the greater last position is more up to date.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// Term of the entry.
    pub term: u64,
    /// Index of the entry.
    pub index: u64,
}

/// The kinds of messages. Their order and the order of their fields are the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// The sender is not a member and asks to become one.
    JoinRequest {
        /// Whether the sender's disk is empty.
        empty_disk: bool,
    },
    /// Tells a replica without state who the members are.
    Bootstrap {
        /// The members, the receiver among them.
        members: Vec<Member>,
    },
    /// Sent after a restart: asks what the receiver knows of the sender's disk. The response is `DiskCheckResponse`.
    DiskCheck {
        /// Last position of the sender's log.
        last: LogPosition,
    },
    /// The latest state that the receiver's disk is known to have acknowledged.
    DiskCheckResponse {
        /// Last log position that the disk acknowledged.
        last: LogPosition,
        /// Last term in which the disk's replica voted.
        voted_term: u64,
    },
    /// Asks for a vote, or a pre-vote, in the message's term.
    RequestVote {
        /// Whether this is a pre-vote.
        pre_vote: bool,
        /// Last position of the candidate's log.
        last: LogPosition,
    },
    /// Response to `RequestVote`.
    RequestVoteResponse {
        /// Whether this is a pre-vote.
        pre_vote: bool,
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Entries that follow `previous`. A message without entries is a heartbeat.
    AppendEntries {
        /// Heartbeat round of the leader, returned in the response.
        round: u64,
        /// Position before the first entry.
        previous: LogPosition,
        /// The entries.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: u64,
    },
    /// Response to `AppendEntries`.
    AppendEntriesResponse {
        /// Round of the request.
        round: u64,
        /// Whether the log matched at `previous`.
        success: bool,
        /// On success the index up to which the log matches the leader's, otherwise the index to retry from.
        index: u64,
    },
    /// A part of a snapshot.
    InstallSnapshot {
        /// Heartbeat round of the leader, returned in the response.
        round: u64,
        /// Position of the last entry that the snapshot contains.
        position: LogPosition,
        /// The members at that position.
        members: Vec<Member>,
        /// Offset of the part, in bytes.
        offset: u64,
        /// Length of the whole snapshot, in bytes.
        total_bytes: u64,
        /// The part.
        bytes: Vec<u8>,
    },
    /// Response to a part of a snapshot.
    InstallSnapshotResponse {
        /// Round of the request.
        round: u64,
        /// Index of the snapshot.
        index: u64,
        /// Number of bytes that have been received without a gap.
        received_bytes: u64,
    },
}

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: Member,
    /// The receiver's disk; 0 where the sender does not know it.
    pub to_disk: DiskId,
    /// Term of the sender, or of the election that it would start.
    pub term: u64,
    /// Content of the message.
    pub body: MessageBody,
}

/// An error of [`decode`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Another version, or a variant that this version does not know.
    #[error("datagram of an unknown version or kind")]
    UnknownFormat,
    /// The datagram is truncated, corrupted or too long.
    #[error("malformed datagram")]
    Malformed,
}

/// Encodes a message with its header; `None` where it would exceed [`MAX_DATAGRAM_BYTES`].
pub fn encode<T: Serialize>(message: &T) -> Option<Vec<u8>> {
    let mut bytes = vec![MAGIC, VERSION, 0, 0, 0, 0];
    bytes = postcard::to_extend(message, bytes).ok()?;
    let checksum = crc32fast::hash(&bytes[HEADER_BYTES..]);
    bytes[2..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns [`DecodeError`] where the bytes are not a message of this version.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let (header, body) = bytes.split_at_checked(HEADER_BYTES).ok_or(DecodeError::Malformed)?;
    if header[0] != MAGIC || bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DecodeError::Malformed);
    }
    if header[1] != VERSION {
        return Err(DecodeError::UnknownFormat);
    }
    if header[2..] != crc32fast::hash(body).to_le_bytes() {
        return Err(DecodeError::Malformed);
    }
    match postcard::take_from_bytes(body) {
        Ok((message, [])) => Ok(message),
        _ => Err(DecodeError::UnknownFormat),
    }
}

impl Message {
    /// Whether lists, commands and indexes are within their bounds.
    pub fn is_within_bounds(&self) -> bool {
        match &self.body {
            MessageBody::Bootstrap { members } | MessageBody::InstallSnapshot { members, .. } => {
                members.len() <= MAX_MEMBERS
            }
            MessageBody::AppendEntries { entries, previous, .. } => {
                previous.index < u64::MAX / 2 && entries.iter().all(Entry::is_within_bounds)
            }
            _ => true,
        }
    }
}

impl Entry {
    fn is_within_bounds(&self) -> bool {
        match &self.payload {
            EntryPayload::Membership(members) => !members.is_empty() && members.len() <= MAX_MEMBERS,
            EntryPayload::Command(bytes) => bytes.len() <= MAX_COMMAND_BYTES,
            EntryPayload::NoOp => true,
        }
    }
}
