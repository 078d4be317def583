//! Calls to the downstream tier, over one of two protocols: the downstream proxy's lines, or SCGI. With either, the
//! number of connections is bounded, each connection carries one call at a time, a call is abandoned by closing its
//! connection, and the reported outcome is exact about whether the call ran, surely never ran, or may have run.

pub mod ledger;
pub mod scgi;
