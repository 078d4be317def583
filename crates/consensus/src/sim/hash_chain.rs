//! A state machine for tests.

use crate::StateMachine;
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Hashes the commands into a chain, so that equal hashes mean equal histories, and collects the commands' numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HashChain {
    /// Hash over all commands so far.
    pub hash: u64,
    /// Numbers of the commands so far.
    pub numbers: BTreeSet<u64>,
}

impl StateMachine for HashChain {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        let mut hasher = DefaultHasher::new();
        (self.hash, index, command).hash(&mut hasher);
        self.hash = hasher.finish();
        let number = command.try_into().map(u64::from_le_bytes).unwrap_or(0);
        self.numbers.insert(number);
        self.hash.to_le_bytes().to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&(self.hash, &self.numbers)).unwrap_or_default()
    }

    fn from_snapshot(bytes: &[u8]) -> Option<HashChain> {
        let (hash, numbers) = postcard::from_bytes(bytes).ok()?;
        Some(HashChain { hash, numbers })
    }
}
