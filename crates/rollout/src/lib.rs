//! A change of policy that takes hold everywhere or nowhere. Without I/O or clock: time is an argument, letters come back as plain
//! values, the same events give the same actions.
//!
//! | module | question |
//! | --- | --- |
//! | [`state`] | which version is in force, what is proposed, who counts. The replicas (crate `quorum`) agree on it |
//! | [`coordinator`] | at the replica that leads: who has checked, whose lease is over, when a change is to be decided |
//! | [`member`] | at an instance: which version it may admit under now, and until when |
//! | [`watch`] | whether a change did harm, and is to be undone |
//! | [`messages`] | which bytes say what |
//! | [`simulation`] | replicas and members in one simulated net |
//!
//! # What is promised
//!
//! - A version is in force at an instance only once the replicas have decided it as taken. A decision is made once and outlives everybody.
//! - It is taken only if each member that counts at that moment has checked the text in full and kept it. Members are those that the
//!   replicas agreed on; whoever joins or leaves in the middle counts by that list, as each decision names the list's generation.
//! - An instance admits under a version only while it holds a lease on it ([`UnreachableMembers::Fence`]), or, where changes wait for everybody
//!   ([`UnreachableMembers::Wait`]), from its own yes until it hears the decision. It counts the lease from its asking, shorter by [`clock_drift_margin`] than the
//!   replicas do. So one that hears nothing stops before anybody may do without it.
//! - After a decision no instance admits under the older version for longer than that version's lease. With `together` none admits
//!   under it once any other admits under the new one: all stop first, then all begin.
//!
//! Times are whole tenths of a millisecond.

pub mod coordinator;
pub mod member;
pub mod messages;
pub mod simulation;
pub mod state;
pub mod watch;

pub use cypresscleat_consensus::{node_id, NodeId, SeededRng, Time, MS, SECOND};
pub use state::{PolicyState, Rules, UnreachableMembers, Version, WatchRules};

/// Clocks may run apart by one part in so many.
pub const DRIFT: Time = 40;

/// How much sooner than the replicas a member holds its lease to be over.
pub fn clock_drift_margin(lease: Time) -> Time {
    (lease / DRIFT).max(1)
}

/// One life of an instance: the number of its name, and one drawn at its start.
pub type MemberKey = (NodeId, u64);

/// Bounds: bytes of a text, of names and reasons; versions and refusals that are remembered; members.
pub const MAX_DOCUMENT_BYTES: usize = 16 * 1024;
pub const MAX_NAME_BYTES: usize = 64;
pub const MAX_REASON_BYTES: usize = 240;
pub const MAX_HISTORY: usize = 16;
pub const MAX_ABORTED: usize = 32;
pub const MAX_MEMBERS: usize = 16_384;
/// Members told of in one letter.
pub const MAX_MEMBERS_PER_MESSAGE: usize = 256;

/// A text cut to a bound, at a character.
pub fn truncate(text: &str, most: usize) -> String {
    let mut end = text.len().min(most);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].to_string()
}
