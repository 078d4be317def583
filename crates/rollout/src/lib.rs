//! A change of policy that becomes active everywhere or nowhere. No I/O, no clock: time is an argument, messages are plain values, the
//! same events give the same actions.
//!
//! | module | job |
//! | --- | --- |
//! | [`state`] | the replicated state: the active version, the change under way, the members that count |
//! | [`coordinator`] | runs on the leader: leases, verdicts, when a change is decided |
//! | [`member`] | runs on an instance: the version under which it may admit now, and until when |
//! | [`watch`] | whether a change did harm, and is to be undone |
//! | [`messages`] | messages between members, operators and the leader |
//! | `simulation` | replicas and members in one simulated network (feature `simulation`) |
//!
//! Who may act until when, by whose clock, stands in [`expiry`].
//!
//! # Guarantees
//!
//! - A version is active at an instance only once the replicas have committed it. A decision is made once and survives everybody.
//! - It is committed only if each member that counts at that moment has prepared it: has checked the document in full and stored it.
//!   Members are those that the replicas agreed on; whoever joins or leaves in between counts by that list, as each decision names the
//!   generation of the list.
//! - Under [`UnreachableMembers::Fence`] an instance admits under a version only while it holds a lease on it. Under
//!   [`UnreachableMembers::Wait`] its lease has no end, except from its own vote until it hears the decision, and while a change waits
//!   for the barrier. One that started alone ([`member::RolloutMember::start_alone`]) has no lease that anybody counts until a replica
//!   answers it. It counts the lease from when it sent the heartbeat, shortened by [`expiry::clock_drift_margin`]. So one that hears nothing stops before anybody goes on without it.
//! - After a decision no instance admits under the former version for longer than that version's lease. With [`Rules::barrier`] none
//!   admits under it once any other admits under the new one: all stop first, then all begin.
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

/// Length of a policy's document.
pub const MAX_DOCUMENT_BYTES: usize = 16 * 1024;
/// Length of names of members and operators.
pub const MAX_NAME_BYTES: usize = 64;
/// Length of reasons.
pub const MAX_REASON_BYTES: usize = 240;
/// Versions before the active one that are remembered.
pub const MAX_HISTORY: usize = 16;
/// Aborted changes that are remembered.
pub const MAX_ABORTED: usize = 32;
/// Members.
pub const MAX_MEMBERS: usize = 16_384;
/// Members in one message.
pub const MAX_MEMBERS_PER_MESSAGE: usize = 256;

/// Shortens a text to at most `max_bytes`, at a character's boundary.
pub fn truncate(text: &str, max_bytes: usize) -> String {
    let mut end = text.len().min(max_bytes);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].to_string()
}
