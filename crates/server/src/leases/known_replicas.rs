//! Which datagrams count as a control replica's: the address that they come from decides, not what they say of themselves.
//!
//! Members of a rollout apply the same rule to the relays that they ask.

use super::wire::learns;
use crate::log;
use cypresscleat_leases::NodeId;
use std::collections::HashMap;
use std::net::SocketAddr;

/// The replicas that a process knows, each at the address that is configured for it or was told by one that is known.
pub struct KnownReplicas {
    /// Whose log lines these are.
    owner: String,
    addresses: HashMap<NodeId, SocketAddr>,
    /// A single replica or relay whose id is not known.
    unnamed: Option<SocketAddr>,
    /// Messages that were dropped as they came from elsewhere.
    dropped: u64,
}

impl KnownReplicas {
    /// The configured replicas of the process `owner`, whose name stands in its log lines.
    pub fn new(owner: &str, addresses: HashMap<NodeId, SocketAddr>) -> KnownReplicas {
        KnownReplicas { owner: owner.to_string(), addresses, unnamed: None, dropped: 0 }
    }

    /// Whoever receives at this address, under whatever id.
    pub fn at_address(owner: &str, address: SocketAddr) -> KnownReplicas {
        KnownReplicas { unnamed: Some(address), ..KnownReplicas::new(owner, HashMap::new()) }
    }

    /// Where a replica receives; `None` where it is not known.
    pub fn address(&self, replica: NodeId) -> Option<SocketAddr> {
        self.addresses.get(&replica).copied().or(self.unnamed)
    }

    /// Takes over a new configuration, in place of all that is known.
    pub fn configure(&mut self, addresses: HashMap<NodeId, SocketAddr>) {
        self.addresses = addresses;
    }

    /// Whether a message from the address `by` may count as the replica's. One that may not is counted and, at each power of two,
    /// logged: that bounds the log whoever floods.
    pub fn accepts(&mut self, replica: NodeId, by: SocketAddr) -> bool {
        if self.address(replica) == Some(by) {
            return true;
        }
        self.dropped += 1;
        if self.dropped.is_power_of_two() {
            let KnownReplicas { owner, dropped, .. } = self;
            log!("{owner}: messages dropped, as they came from an address that is not their sender's: {dropped}, the last from {by}");
        }
        false
    }

    /// Takes over where a replica receives, told by one that is known. True where it was not known.
    pub fn learn(&mut self, by: SocketAddr, replica: NodeId, address: SocketAddr) -> bool {
        learns(&mut self.addresses, by, replica, address)
    }
}
