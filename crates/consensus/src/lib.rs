//! Agreement of three or five named keepers: a majority of them decides the next command, once and for good, and each has on its
//! disk what it promised before it says so. Without I/O, clock or chance of its own: time is an argument, letters and disk words
//! come back as plain values, the same events give the same actions.
//!
//! | module | question |
//! | --- | --- |
//! | [`keeper`] | who leads, what is decided, who the keepers are |
//! | [`letter`] | which bytes say what; versioned, checked, bounded |
//! | [`kept`] | what stands on a keeper's disk, and how it is read again |
//! | [`sim`] | a network and disks in which keepers can be played |
//!
//! The algorithm is Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) with its pre-vote, its leader that steps down
//! when it hears no majority, and changes of members one at a time; `docs/design/owners.md` says what was compared. What is added:
//! a disk has an identity. A letter goes from disk to disk, not from name to name, so a keeper whose disk was lost or put back
//! from a copy is a new one: it has no vote until the others have admitted it.
//!
//! # The order of effects
//!
//! Each call gives an [`Out`]. Its `writes` have to be on the disk, in their order, before one of its `letters` leaves or one of
//! its `answers` is told. A keeper whose disk fails at that has to stop: what was not kept may not be said.
//!
//! Times are whole tenths of a millisecond.

pub mod keeper;
pub mod kept;
pub mod letter;
pub mod sim;

pub use keeper::{Answer, Begin, Keeper, Options, Out};
use serde::{Deserialize, Serialize};

pub use cypresscleat_primitives::{node_id, NodeId, SeededRng, Time, MS, SECOND};

/// A disk: drawn when it is first used, and never again.
pub type DiskId = u64;

/// Whose votes count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    pub id: NodeId,
    pub disk: DiskId,
}

/// What the keepers agree on: commands, one after the other, give the same state everywhere.
pub trait Machine: Clone {
    /// Carries out the command that was decided at `index`; what it comes to is told to whoever proposed it.
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8>;
    /// All of it, as bytes.
    fn image(&self) -> Vec<u8>;
    fn from_image(bytes: &[u8]) -> Option<Self>;
}
