//! Accepts a datagram as a control replica's by the address that it comes from, not by the id that it carries.
//!
//! Members of a rollout apply the same rule to their relays.

use super::wire::learn_address;
use crate::log;
use cypresscleat_leases::NodeId;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Messages to a replica without a response after which every second message goes to its other address.
const UNANSWERED_BEFORE_OTHER: u32 = 2;

/// Another address of a replica, reported by a known replica, while this process has a different address configured.
struct OtherAddress {
    address: SocketAddr,
    /// Messages to the replica since its last message.
    unanswered: u32,
}

/// The replicas that a process knows, each at the address that is configured or was reported by a known replica.
pub struct KnownReplicas {
    /// Name of the process in its log lines.
    owner: String,
    addresses: HashMap<NodeId, SocketAddr>,
    /// Other addresses of replicas that may have moved.
    others: HashMap<NodeId, OtherAddress>,
    /// A single replica or relay whose id is not known.
    unnamed: Option<SocketAddr>,
    /// Number of messages that were dropped because they came from an unknown address.
    dropped: u64,
}

impl KnownReplicas {
    /// The configured replicas of the process `owner`, whose name appears in its log lines.
    pub fn new(owner: &str, addresses: HashMap<NodeId, SocketAddr>) -> KnownReplicas {
        KnownReplicas {
            owner: owner.to_string(),
            addresses,
            others: HashMap::new(),
            unnamed: None,
            dropped: 0,
        }
    }

    /// A single replica or relay at this address, whatever its id.
    pub fn at_address(owner: &str, address: SocketAddr) -> KnownReplicas {
        KnownReplicas { unnamed: Some(address), ..KnownReplicas::new(owner, HashMap::new()) }
    }

    /// The address of a replica; `None` where the replica is unknown.
    pub fn address(&self, replica: NodeId) -> Option<SocketAddr> {
        self.addresses.get(&replica).copied().or(self.unnamed)
    }

    /// The address for the next message to a replica: the known address, and in turns the other address while the replica does not
    /// respond at the known one.
    pub fn next_address(&mut self, replica: NodeId) -> Option<SocketAddr> {
        if let Some(other) = self.others.get_mut(&replica) {
            other.unanswered = other.unanswered.wrapping_add(1);
            if other.unanswered > UNANSWERED_BEFORE_OTHER && !other.unanswered.is_multiple_of(2) {
                return Some(other.address);
            }
        }
        self.address(replica)
    }

    /// Replaces all known addresses by a new configuration.
    pub fn configure(&mut self, addresses: HashMap<NodeId, SocketAddr>) {
        self.addresses = addresses;
        self.others.clear();
    }

    /// Whether a message from the address `by` is accepted as the replica's. A rejected message is counted, and the count is logged at
    /// each power of two, which bounds the log under a flood.
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

    /// Makes the other address of a replica, from which it has responded, its known address.
    fn move_to_other(&mut self, replica: NodeId) {
        let Some(other) = self.others.get_mut(&replica) else { return };
        if let Some(address) = self.addresses.get_mut(&replica) {
            std::mem::swap(address, &mut other.address);
        }
        other.unanswered = 0;
    }

    /// Learns the address of a replica from a message of the sender `by`, which must be a known address. Returns true where the replica
    /// was unknown.
    pub fn learn(&mut self, by: SocketAddr, replica: NodeId, address: SocketAddr) -> bool {
        if learn_address(&mut self.addresses, by, replica, address) {
            return true;
        }
        let is_from_known = self.addresses.values().any(|known| *known == by);
        if is_from_known && self.addresses.get(&replica).is_some_and(|known| *known != address) {
            let other = OtherAddress { address, unanswered: 0 };
            self.others.entry(replica).or_insert(other).address = address;
        }
        false
    }
}
