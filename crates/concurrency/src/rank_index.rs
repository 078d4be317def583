//! An index of queued requests ordered by size, for the weighted draw. It supports insertion, removal and selection by rank, in one
//! index or across several indexes.
//!
//! Keys are stored in sorted blocks of bounded length. A lookup searches the last keys of the blocks, then one block.

use std::cmp::Ordering;

/// A block with more keys is split in two.
const MAX_BLOCK_LEN: usize = 128;
/// A block with fewer keys is merged with a short successor, so that a long queue that shrinks does not leave many tiny blocks.
const MIN_BLOCK_LEN: usize = MAX_BLOCK_LEN / 4;
/// A successor with fewer keys counts as short.
const MAX_MERGED_LEN: usize = MAX_BLOCK_LEN / 2;

/// Position of a request in the order of the draw: by size, then by age. The size must not be NaN.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankKey {
    /// Scaled expected work of the request.
    pub size: f64,
    /// Sequence number of the arrival.
    pub sequence: u64,
    /// Id of the request. Not part of the order.
    pub request: usize,
}

impl RankKey {
    fn order(&self, other: &RankKey) -> Ordering {
        self.size.total_cmp(&other.size).then(self.sequence.cmp(&other.sequence))
    }

    fn is_before(&self, other: &RankKey) -> bool {
        self.order(other).is_lt()
    }
}

/// Ordered keys with access by rank.
#[derive(Clone, Debug, Default)]
pub struct RankIndex {
    /// No block is empty. All keys of a block precede those of the next block.
    blocks: Vec<Vec<RankKey>>,
    len: usize,
}

impl RankIndex {
    /// Number of keys.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the index has no keys.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Index of the first block whose last key is not before `key`; the number of blocks if there is none.
    fn block_of(&self, key: &RankKey) -> usize {
        self.blocks.partition_point(|block| block.last().is_some_and(|last| last.is_before(key)))
    }

    /// Inserts a key.
    pub fn insert(&mut self, key: RankKey) {
        self.len += 1;
        if self.blocks.is_empty() {
            self.blocks.push(Vec::with_capacity(MAX_BLOCK_LEN));
        }
        let at = self.block_of(&key).min(self.blocks.len() - 1);
        let block = &mut self.blocks[at];
        let position = block.partition_point(|known| known.is_before(&key));
        block.insert(position, key);
        if block.len() > MAX_BLOCK_LEN {
            let upper_half = block.split_off(MAX_BLOCK_LEN / 2);
            self.blocks.insert(at + 1, upper_half);
        }
    }

    /// Removes a key; returns whether it was present.
    pub fn remove(&mut self, key: &RankKey) -> bool {
        let at = self.block_of(key);
        let Some(block) = self.blocks.get_mut(at) else { return false };
        let Ok(position) = block.binary_search_by(|known| known.order(key)) else { return false };
        block.remove(position);
        self.len -= 1;
        self.merge_short_blocks(at);
        true
    }

    fn merge_short_blocks(&mut self, at: usize) {
        let len = self.blocks[at].len();
        if len == 0 {
            self.blocks.remove(at);
            return;
        }
        let has_short_successor = self.blocks.get(at + 1).is_some_and(|next| next.len() < MAX_MERGED_LEN);
        if len < MIN_BLOCK_LEN && has_short_successor {
            let next = self.blocks.remove(at + 1);
            self.blocks[at].extend(next);
        }
    }

    /// The key with `rank` keys before it.
    pub fn select(&self, mut rank: usize) -> Option<RankKey> {
        for block in &self.blocks {
            if rank < block.len() {
                return Some(block[rank]);
            }
            rank -= block.len();
        }
        None
    }

    /// Number of keys before `key`, which does not have to be present.
    pub fn rank_of(&self, key: &RankKey) -> usize {
        let at = self.block_of(key);
        let in_earlier_blocks: usize = self.blocks[..at].iter().map(Vec::len).sum();
        let in_block =
            self.blocks.get(at).map_or(0, |block| block.partition_point(|known| known.is_before(key)));
        in_earlier_blocks + in_block
    }

    /// All keys in order.
    pub fn iter(&self) -> impl Iterator<Item = &RankKey> {
        self.blocks.iter().flatten()
    }
}

/// The key with `rank` keys before it in all indexes together. Does not merge the indexes: searches each index in turn for a key
/// with `rank` keys before it.
pub fn select_across(indexes: &[&RankIndex], rank: usize) -> Option<RankKey> {
    if rank >= indexes.iter().map(|index| index.len()).sum() {
        return None;
    }
    (0..indexes.len()).find_map(|at| select_within(indexes, at, rank))
}

/// The key of index `at` that has `rank` keys before it in all indexes together; `None` if that key is in another index.
fn select_within(indexes: &[&RankIndex], at: usize, rank: usize) -> Option<RankKey> {
    let rank_in_others = |key: &RankKey| -> usize {
        let others = indexes.iter().enumerate().filter(|(other, _)| *other != at);
        others.map(|(_, other)| other.rank_of(key)).sum()
    };
    // The rank over all indexes increases with the rank in one index, so a binary search finds it.
    let (mut low, mut high) = (0, indexes[at].len());
    while low < high {
        let middle = (low + high) / 2;
        let key = indexes[at].select(middle)?;
        match (middle + rank_in_others(&key)).cmp(&rank) {
            Ordering::Equal => return Some(key),
            Ordering::Less => low = middle + 1,
            Ordering::Greater => high = middle,
        }
    }
    None
}
