//! Building blocks of a session with the leader of a replicated state machine, for any state machine. The crate performs no I/O and
//! reads no clock: time is an argument.
//!
//! | module | job |
//! | --- | --- |
//! | [`expiry`] | when a lease ends, by the holder's and by the leader's clock |
//! | [`leader`] | requests that wait for the leader's confirmation, commands that wait to be committed |
//! | [`renewals`] | the latest renewals that were sent |
//! | [`replicas`] | which replica receives the next request |
//!
//! Times are in tenths of a millisecond.

#![warn(missing_docs)]

pub mod expiry;
pub mod leader;
pub mod renewals;
pub mod replicas;
