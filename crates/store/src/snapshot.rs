//! A view of the store at one moment.

use crate::index::{Key, RecordLocation};
use crate::segments::Pin;
use imbl::OrdMap;

/// All keys as they were at one moment. Reads from the snapshot remain possible during later writes and compaction.
pub struct Snapshot {
    pub(crate) locations: OrdMap<Key, RecordLocation>,
    pub(crate) _pins: Vec<Pin>,
}

impl Snapshot {
    /// Number of keys.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Whether there is no key.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Keys from `from` on, in order.
    pub fn keys<'a>(&'a self, from: &'a [u8]) -> impl Iterator<Item = &'a [u8]> + 'a {
        self.locations.range(from.to_vec()..).map(|(key, _)| &key[..])
    }
}
