//! Calls to the tier below, by one of two protocols: the ledger's lines, or SCGI. Whichever it is, the number of
//! connections is bounded, each carries one call, a call is given up by closing its connection, and what the core is told
//! says truly whether the call ran, surely never ran, or nothing is known.

pub mod ledger;
pub mod scgi;
