//! Time units, node ids and seeded random numbers, shared by all crates that decide without I/O.
//!
//! The state machines of those crates take the time as an argument and draw random numbers from a seed, so that the same inputs
//! always give the same outputs and a failed simulation can be replayed from its seed.

#![warn(missing_docs)]

mod rng;

pub use rng::SeededRng;

use std::hash::{DefaultHasher, Hash, Hasher};

/// A point in time or a duration, in tenths of a millisecond.
pub type Time = i64;
/// One millisecond.
pub const MS: Time = 10;
/// One second.
pub const SECOND: Time = 1_000 * MS;

/// Identifies a node (a server, a replica, a relay) by the hash of its name.
pub type NodeId = u64;

/// Returns the id of the node called `name`. Every process computes the same id. Ids are sent and stored, so the hash must not
/// change. The hash is that of the standard library's [`DefaultHasher`] (currently SipHash-1-3 with zero keys), which a release
/// of the library may change; the golden test in `tests/golden.rs` pins the hash and fails if it changes.
pub fn node_id(name: &str) -> NodeId {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}
