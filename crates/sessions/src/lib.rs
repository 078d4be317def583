//! What a session with a leader needs, whatever the replicas agree on. No I/O, no clock: time is an argument.
//!
//! | module | job |
//! | --- | --- |
//! | [`expiry`] | who may act until when, by whose clock |
//! | [`leader`] | requests that wait for a confirmation, commands that wait to be decided |
//! | [`renewals`] | the last renewals that were sent |
//! | [`replicas`] | which replica is asked next |
//!
//! Times are in tenths of a millisecond.

#![warn(missing_docs)]

pub mod expiry;
pub mod leader;
pub mod renewals;
pub mod replicas;
