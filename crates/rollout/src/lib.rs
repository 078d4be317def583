//! Atomic rollout of policy changes: a change becomes active on all members or on none. The crate does no I/O and reads no clock: time is
//! an argument, messages are plain values, and the same events give the same actions.
//!
//! | module | job |
//! | --- | --- |
//! | [`state`] | the replicated state: the active version, the pending change, the member list |
//! | [`coordinator`] | runs on the leader: leases, verdicts, the decision on a change |
//! | [`member`] | runs on an instance: the version under which it may admit, and until when |
//! | [`watch`] | detects a change that did harm and has to be reverted |
//! | [`messages`] | messages between members, operators and the leader |
//! | `simulation` | replicas and members in one simulated network (feature `simulation`) |
//!
//! The [`expiry`] module defines when a lease ends on the clocks of the member and of the leader.
//!
//! # Guarantees
//!
//! - A version is active at an instance only after the replicas have committed it. A decision is final and survives the failure of any
//!   process.
//! - A version is committed only if each current member has prepared it: the member has checked the document in full and stored it. The
//!   replicas agree on the member list. Each decision names the generation of that list, so a member that joins or leaves before the
//!   decision is taken into account.
//! - Under [`UnreachableMembers::Fence`] an instance admits under a version only while it holds a lease on it. Under
//!   [`UnreachableMembers::Wait`] the lease has no end, except between the member's vote and the decision, and while a change waits
//!   for the barrier. A member that started alone ([`member::RolloutMember::start_alone`]) holds no lease that the leader knows of until
//!   a replica responds. A member counts its lease from the time it sent the heartbeat, shortened by [`expiry::clock_drift_margin`]. So a
//!   member that receives no responses stops before the others continue without it.
//! - After a decision no instance admits under the former version for longer than that version's lease. With [`Rules::barrier`] no
//!   instance admits under the former version once another admits under the new one: all members stop before any of them starts.
//!
//! Times are in tenths of a millisecond.

#![warn(missing_docs)]

pub mod coordinator;
pub mod member;
pub mod messages;
#[cfg(feature = "simulation")]
pub mod simulation;
pub mod state;
pub mod watch;

pub use cypresscleat_consensus::{node_id, NodeId, SeededRng, Time, MS, SECOND};
pub use cypresscleat_sessions::expiry;
pub use state::{PolicyState, Rules, UnreachableMembers, Version, WatchRules};

/// One incarnation of an instance: its id, and a number drawn at its start.
pub type MemberKey = (NodeId, u64);

/// Maximum length of a policy document.
pub const MAX_DOCUMENT_BYTES: usize = 16 * 1024;
/// Maximum length of a member's or an operator's name.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum length of a reason.
pub const MAX_REASON_BYTES: usize = 240;
/// Maximum number of former versions that are remembered.
pub const MAX_HISTORY: usize = 16;
/// Maximum number of aborted changes that are remembered.
pub const MAX_ABORTED: usize = 32;
/// Maximum number of members.
pub const MAX_MEMBERS: usize = 16_384;
/// Maximum number of members in one message.
pub const MAX_MEMBERS_PER_MESSAGE: usize = 256;

/// Shortens a text to at most `max_bytes`, at a character boundary.
pub fn truncate(text: &str, max_bytes: usize) -> String {
    let mut end = text.len().min(max_bytes);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].to_string()
}
