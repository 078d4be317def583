//! Whether an act may still be done, at whatever is acted upon. The highest token of each partition is kept; one that is lower is
//! refused. Where what is acted upon outlives a restart, its highest tokens have to be kept with it ([`Fence::seen`]).

use crate::Partition;
use std::collections::BTreeMap;

/// Partitions that one fence remembers. The ones with the lowest tokens are forgotten first: they are the oldest.
pub const MAX_REMEMBERED_PARTITIONS: usize = crate::MAX_PARTITIONS;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest: BTreeMap<Partition, u64>,
    /// No token below that is taken for a partition that is not remembered.
    floor: u64,
}

impl Fence {
    /// With what was kept.
    pub fn restore(kept: impl IntoIterator<Item = (Partition, u64)>) -> Fence {
        Fence { highest: kept.into_iter().collect(), floor: 0 }
    }

    /// Whether an act under this token may be done now; the token counts as seen from here on.
    pub fn check(&mut self, partition: Partition, token: u64) -> bool {
        let highest = self.highest.get(&partition).copied().unwrap_or(self.floor);
        if token < highest || token == 0 {
            return false;
        }
        if token > highest || !self.highest.contains_key(&partition) {
            self.highest.insert(partition, token);
            if self.highest.len() > MAX_REMEMBERED_PARTITIONS {
                let oldest = self
                    .highest
                    .iter()
                    .min_by_key(|(_, token)| **token)
                    .map(|(partition, token)| (*partition, *token));
                if let Some((partition, token)) = oldest {
                    self.floor = self.floor.max(token);
                    self.highest.remove(&partition);
                }
            }
        }
        true
    }

    /// The highest token seen of a partition; 0 where there was none.
    pub fn highest_token(&self, partition: Partition) -> u64 {
        self.highest.get(&partition).copied().unwrap_or(self.floor)
    }
}
