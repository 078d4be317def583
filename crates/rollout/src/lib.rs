//! A change of policy that takes hold everywhere or nowhere. Without I/O or clock: time is an argument, letters come back as plain
//! values, the same events give the same actions.
//!
//! | module | question |
//! | --- | --- |
//! | [`policies`] | which version is in force, what is proposed, who counts. The keepers (crate `quorum`) agree on it |
//! | [`desk`] | at the keeper that leads: who has checked, whose lease is over, when a change is to be decided |
//! | [`member`] | at an instance: which version it may admit under now, and until when |
//! | [`watch`] | whether a change did harm, and is to be undone |
//! | [`said`] | which bytes say what |
//! | [`sim`] | keepers and members in one simulated net |
//!
//! # What is promised
//!
//! - A version is in force at an instance only once the keepers have decided it as taken. A decision is made once and outlives everybody.
//! - It is taken only if each member that counts at that moment has checked the text in full and kept it. Members are those that the
//!   keepers agreed on; whoever joins or leaves in the middle counts by that list, as each decision names the list's generation.
//! - An instance admits under a version only while it holds a lease on it ([`Missing::Fence`]), or, where changes wait for everybody
//!   ([`Missing::Wait`]), from its own yes until it hears the decision. It counts the lease from its asking, shorter by [`early`] than the
//!   keepers do. So one that hears nothing stops before anybody may do without it.
//! - After a decision no instance admits under the older version for longer than that version's lease. With `together` none admits
//!   under it once any other admits under the new one: all stop first, then all begin.
//!
//! Times are whole tenths of a millisecond.

pub mod desk;
pub mod member;
pub mod policies;
pub mod said;
#[cfg(feature = "simulation")]
pub mod sim;
pub mod watch;

pub use cypresscleat_consensus::{node_id, NodeId, SeededRng, Time, MS, SECOND};
pub use policies::{Missing, Policies, Rules, Version, WatchRules};

/// Clocks may run apart by one part in so many.
pub const DRIFT: Time = 40;

/// How much sooner than the keepers a member holds its lease to be over.
pub fn early(lease: Time) -> Time {
    (lease / DRIFT).max(1)
}

/// One life of an instance: the number of its name, and one drawn at its start.
pub type Key = (NodeId, u64);

/// Bounds: bytes of a text, of names and reasons; versions and refusals that are remembered; members.
pub const TEXT: usize = 16 * 1024;
pub const NAME: usize = 64;
pub const WHY: usize = 240;
pub const HISTORY: usize = 16;
pub const DROPPED: usize = 32;
pub const MEMBERS: usize = 16_384;
/// Members told of in one letter.
pub const TOLD: usize = 256;

/// A text cut to a bound, at a character.
pub fn cut(text: &str, most: usize) -> String {
    let mut end = text.len().min(most);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].to_string()
}
