//! Fencing at the protected resource: it records the highest token of each partition and rejects an operation with a lower token.
//! Where the resource persists over restarts, the highest tokens have to be stored with it ([`Fence::highest_token`]).

use crate::Partition;
use std::collections::BTreeMap;

/// Maximum number of partitions of a fence. Partitions with the lowest tokens, which are the oldest, are evicted first.
pub const MAX_REMEMBERED_PARTITIONS: usize = crate::MAX_PARTITIONS;

/// The highest token seen of each partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest: BTreeMap<Partition, u64>,
    /// Minimum valid token of a partition that is not in `highest`.
    floor: u64,
}

impl Fence {
    /// Restores a fence from the stored highest tokens.
    pub fn restore(stored: impl IntoIterator<Item = (Partition, u64)>) -> Fence {
        Fence { highest: stored.into_iter().collect(), floor: 0 }
    }

    /// Whether an operation with this token is allowed. From then on lower tokens are rejected.
    pub fn check(&mut self, partition: Partition, token: u64) -> bool {
        let highest = self.highest_token(partition);
        if token < highest || token == 0 {
            return false;
        }
        if token > highest || !self.highest.contains_key(&partition) {
            self.highest.insert(partition, token);
            if self.highest.len() > MAX_REMEMBERED_PARTITIONS {
                self.evict_oldest();
            }
        }
        true
    }

    /// The highest token seen of a partition; 0 where there was none.
    pub fn highest_token(&self, partition: Partition) -> u64 {
        self.highest.get(&partition).copied().unwrap_or(self.floor)
    }

    fn evict_oldest(&mut self) {
        let oldest = self.highest.iter().min_by_key(|(_, token)| **token);
        if let Some((partition, token)) = oldest.map(|(partition, token)| (*partition, *token)) {
            self.floor = self.floor.max(token);
            self.highest.remove(&partition);
        }
    }
}
