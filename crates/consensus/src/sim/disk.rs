//! A simulated disk that keeps the order of writes.

use crate::storage::{self, PersistentState, Write};
use crate::{DiskId, SeededRng};
use cypresscleat_store::simulation::SimulatedDisk as StoreDisk;
use cypresscleat_store::Store;
use std::collections::BTreeMap;

/// A disk that keeps the order of writes: after a crash any prefix of the unsynced writes may have survived.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk {
    /// Identity of the disk; 0 until its first use.
    pub id: DiskId,
    durable: BTreeMap<Vec<u8>, Vec<u8>>,
    unsynced: Vec<Write>,
    /// Number of syncs that wrote something.
    pub sync_count: u64,
}

impl SimulatedDisk {
    pub(super) fn write(&mut self, writes: Vec<Write>) {
        self.unsynced.extend(writes);
    }

    pub(super) fn sync(&mut self) {
        self.sync_count += u64::from(!self.unsynced.is_empty());
        for (key, value) in self.unsynced.drain(..) {
            match value {
                Some(value) => drop(self.durable.insert(key, value)),
                None => drop(self.durable.remove(&key)),
            }
        }
    }

    /// Loses a random suffix of the unsynced writes.
    pub(super) fn crash(&mut self, rng: &mut SeededRng) {
        let surviving = rng.below(self.unsynced.len() as u64 + 1) as usize;
        self.unsynced.truncate(surviving);
        self.sync();
    }

    /// Loads the state as a replica does when it starts, through a real store.
    pub(super) fn load(&self) -> PersistentState {
        let mut store = Store::open(StoreDisk::default(), Default::default()).expect("an empty disk opens");
        for (key, value) in &self.durable {
            store.put(key, value).expect("the simulated disk has room");
        }
        store.commit(true).expect("the simulated disk doesn't fail");
        storage::load(&mut store).expect("every prefix of a replica's writes is valid")
    }
}
