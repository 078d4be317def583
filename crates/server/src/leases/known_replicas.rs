//! Which datagrams count as a control replica's: the address that they come from decides, not what they say of themselves.
//!
//! Members of a rollout apply the same rule to the relays that they ask.

use super::wire::learn_address;
use crate::log;
use cypresscleat_leases::NodeId;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Messages without an answer after which a replica is sought at the other address that it may have, too.
const UNANSWERED_BEFORE_OTHER: u32 = 2;

/// Another address of a replica: told by one that is known, while this process knows it elsewhere.
struct OtherAddress {
    address: SocketAddr,
    /// Messages to the replica since it was heard last.
    unanswered: u32,
}

/// The replicas that a process knows, each at the address that is configured for it or was told by one that is known.
pub struct KnownReplicas {
    /// Whose log lines these are.
    owner: String,
    addresses: HashMap<NodeId, SocketAddr>,
    /// Of replicas that may have moved.
    others: HashMap<NodeId, OtherAddress>,
    /// A single replica or relay whose id is not known.
    unnamed: Option<SocketAddr>,
    /// Messages that were dropped as they came from elsewhere.
    dropped: u64,
}

impl KnownReplicas {
    /// The configured replicas of the process `owner`, whose name stands in its log lines.
    pub fn new(owner: &str, addresses: HashMap<NodeId, SocketAddr>) -> KnownReplicas {
        KnownReplicas {
            owner: owner.to_string(),
            addresses,
            others: HashMap::new(),
            unnamed: None,
            dropped: 0,
        }
    }

    /// Whoever receives at this address, under whatever id.
    pub fn at_address(owner: &str, address: SocketAddr) -> KnownReplicas {
        KnownReplicas { unnamed: Some(address), ..KnownReplicas::new(owner, HashMap::new()) }
    }

    /// Where a replica receives; `None` where it is not known.
    pub fn address(&self, replica: NodeId) -> Option<SocketAddr> {
        self.addresses.get(&replica).copied().or(self.unnamed)
    }

    /// Where the next message to a replica goes: where it is known, and by turns to the other address while it does not answer there.
    pub fn next_address(&mut self, replica: NodeId) -> Option<SocketAddr> {
        if let Some(other) = self.others.get_mut(&replica) {
            other.unanswered = other.unanswered.wrapping_add(1);
            if other.unanswered > UNANSWERED_BEFORE_OTHER && !other.unanswered.is_multiple_of(2) {
                return Some(other.address);
            }
        }
        self.address(replica)
    }

    /// Takes over a new configuration, in place of all that is known.
    pub fn configure(&mut self, addresses: HashMap<NodeId, SocketAddr>) {
        self.addresses = addresses;
        self.others.clear();
    }

    /// Whether a message from the address `by` may count as the replica's. One that may not is counted and, at each power of two,
    /// logged: that bounds the log whoever floods.
    pub fn accepts(&mut self, replica: NodeId, by: SocketAddr) -> bool {
        if self.address(replica) == Some(by) {
            if let Some(other) = self.others.get_mut(&replica) {
                other.unanswered = 0;
            }
            return true;
        }
        if self.others.get(&replica).is_some_and(|other| other.address == by) {
            self.move_to_other(replica);
            return true;
        }
        self.dropped += 1;
        if self.dropped.is_power_of_two() {
            let KnownReplicas { owner, dropped, .. } = self;
            log!("{owner}: messages dropped, as they came from an address that is not their sender's: {dropped}, the last from {by}");
        }
        false
    }

    /// The replica answers at its other address: that is where it is known from now on.
    fn move_to_other(&mut self, replica: NodeId) {
        let Some(other) = self.others.get_mut(&replica) else { return };
        if let Some(address) = self.addresses.get_mut(&replica) {
            std::mem::swap(address, &mut other.address);
        }
        other.unanswered = 0;
    }

    /// Takes over where a replica receives, told by one that is known. True where it was not known.
    pub fn learn(&mut self, by: SocketAddr, replica: NodeId, address: SocketAddr) -> bool {
        if learn_address(&mut self.addresses, by, replica, address) {
            return true;
        }
        let is_told_by_known = self.addresses.values().any(|known| *known == by);
        if is_told_by_known && self.addresses.get(&replica).is_some_and(|known| *known != address) {
            let other = OtherAddress { address, unanswered: 0 };
            self.others.entry(replica).or_insert(other).address = address;
        }
        false
    }
}
