//! Whether an act may still be done, at whatever is acted upon. The highest token of each part is kept; one that is lower is
//! refused. Where what is acted upon outlives a restart, its highest tokens have to be kept with it ([`Fence::seen`]).

use crate::Part;
use std::collections::BTreeMap;

/// Parts that one fence remembers. The ones with the lowest tokens are forgotten first: they are the oldest.
pub const KEPT: usize = crate::PARTS;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest: BTreeMap<Part, u64>,
    /// No token below that is taken for a part that is not remembered.
    floor: u64,
}

impl Fence {
    /// With what was kept.
    pub fn with(kept: impl IntoIterator<Item = (Part, u64)>) -> Fence {
        Fence { highest: kept.into_iter().collect(), floor: 0 }
    }

    /// Whether an act under this token may be done now; the token counts as seen from here on.
    pub fn takes(&mut self, part: Part, token: u64) -> bool {
        let highest = self.highest.get(&part).copied().unwrap_or(self.floor);
        if token < highest || token == 0 {
            return false;
        }
        if token > highest || !self.highest.contains_key(&part) {
            self.highest.insert(part, token);
            if self.highest.len() > KEPT {
                let oldest =
                    self.highest.iter().min_by_key(|(_, token)| **token).map(|(part, token)| (*part, *token));
                if let Some((part, token)) = oldest {
                    self.floor = self.floor.max(token);
                    self.highest.remove(&part);
                }
            }
        }
        true
    }

    /// The highest token seen of a part; 0 where there was none.
    pub fn seen(&self, part: Part) -> u64 {
        self.highest.get(&part).copied().unwrap_or(self.floor)
    }
}
