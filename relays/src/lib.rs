//! Relays by zone between the keepers and the members of a change of policy: a keeper speaks to tens, a member to one or two. Without
//! I/O or clock: time is an argument, letters come back as plain values, the same events give the same actions.

pub mod relay;

pub use relay::{Out, Relay};
