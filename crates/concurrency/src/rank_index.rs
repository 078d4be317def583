//! An index for the weighted draw: what is held in order of size, with insertion, removal and the j-th smallest, alone or
//! over several pools together. Sorted blocks of bounded length: a search over the blocks' last keys, one over a
//! block. Made against the plain way, which copies all that may start and selects: see `docs/results.md`, where each wins.

/// Size, then age: the order of the draw. Sizes are no NaN.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankKey {
    pub size: f64,
    pub seq: u64,
    pub request: usize,
}

impl RankKey {
    fn order(&self, other: &RankKey) -> std::cmp::Ordering {
        self.size.total_cmp(&other.size).then(self.seq.cmp(&other.seq))
    }
}

/// A block is split past this many.
const MAX_BLOCK_LEN: usize = 128;

#[derive(Clone, Debug, Default)]
pub struct RankIndex {
    /// None is empty; all keys of one stand before those of the next.
    blocks: Vec<Vec<RankKey>>,
    len: usize,
}

impl RankIndex {
    pub fn len(&self) -> usize {
        self.len
    }
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The first block whose last key is not before `key`.
    fn block(&self, key: &RankKey) -> usize {
        self.blocks.partition_point(|block| block.last().is_some_and(|last| last.order(key).is_lt()))
    }

    pub fn insert(&mut self, key: RankKey) {
        self.len += 1;
        if self.blocks.is_empty() {
            self.blocks.push(Vec::with_capacity(MAX_BLOCK_LEN));
        }
        let at = self.block(&key).min(self.blocks.len() - 1);
        let block = &mut self.blocks[at];
        let place = block.partition_point(|known| known.order(&key).is_lt());
        block.insert(place, key);
        if block.len() > MAX_BLOCK_LEN {
            let rest = block.split_off(MAX_BLOCK_LEN / 2);
            self.blocks.insert(at + 1, rest);
        }
    }

    /// False where it is not here.
    pub fn remove(&mut self, key: &RankKey) -> bool {
        let at = self.block(key);
        let Some(block) = self.blocks.get_mut(at) else { return false };
        let Ok(place) = block.binary_search_by(|known| known.order(key)) else { return false };
        block.remove(place);
        self.len -= 1;
        let size = block.len();
        if size == 0 {
            self.blocks.remove(at);
        } else if size < MAX_BLOCK_LEN / 4
            && at + 1 < self.blocks.len()
            && self.blocks[at + 1].len() < MAX_BLOCK_LEN / 2
        {
            // Guards against many near-empty blocks after a long line has shrunk.
            let rest = self.blocks.remove(at + 1);
            self.blocks[at].extend(rest);
        }
        true
    }

    /// The one with `rank` others before it.
    pub fn select(&self, mut rank: usize) -> Option<RankKey> {
        for block in &self.blocks {
            if rank < block.len() {
                return Some(block[rank]);
            }
            rank -= block.len();
        }
        None
    }

    /// How many stand before `key`.
    pub fn rank_of(&self, key: &RankKey) -> usize {
        let at = self.block(key);
        let whole: usize = self.blocks[..at].iter().map(Vec::len).sum();
        whole + self.blocks.get(at).map_or(0, |block| block.partition_point(|known| known.order(key).is_lt()))
    }

    pub fn iter(&self) -> impl Iterator<Item = &RankKey> {
        self.blocks.iter().flatten()
    }
}

/// The one with `rank` others before it in all of `indexes` together, without merging them: in each index in turn, a search
/// for a key that has so many before it in all.
pub fn select_across(indexes: &[&RankIndex], rank: usize) -> Option<RankKey> {
    if rank >= indexes.iter().map(|index| index.len()).sum() {
        return None;
    }
    for (at, index) in indexes.iter().enumerate() {
        let before = |key: &RankKey| -> usize {
            let others = indexes.iter().enumerate().filter(|(other, _)| *other != at);
            others.map(|(_, other)| other.rank_of(key)).sum()
        };
        // Ranks in all rise with ranks in one.
        let (mut low, mut high) = (0, index.len());
        while low < high {
            let middle = (low + high) / 2;
            let Some(key) = index.select(middle) else { break };
            match (middle + before(&key)).cmp(&rank) {
                std::cmp::Ordering::Equal => return Some(key),
                std::cmp::Ordering::Less => low = middle + 1,
                std::cmp::Ordering::Greater => high = middle,
            }
        }
    }
    None
}
