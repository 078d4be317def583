//! Hash ring of the workers, for consistent hashing.

use crate::NodeId;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of points of each worker on the ring.
const POINTS_PER_WORKER: u32 = 32;

/// A point and the index of its worker.
type Point = (u64, usize);

/// Points of all workers in ascending order.
#[derive(Clone, Debug, Default)]
pub(crate) struct HashRing {
    points: Vec<Point>,
}

impl HashRing {
    /// Adds the points of the worker with this index.
    pub fn insert(&mut self, id: NodeId, index: usize) {
        for number in 0..POINTS_PER_WORKER {
            let point = (hash_point(id, number), index);
            let position = self.points.partition_point(|known| *known < point);
            self.points.insert(position, point);
        }
    }

    /// Removes the points of the worker with this index.
    pub fn remove(&mut self, index: usize) {
        self.points.retain(|(_, worker)| *worker != index);
    }

    /// Changes the index of a worker.
    pub fn reindex(&mut self, from: usize, to: usize) {
        let moved = self.points.iter_mut().filter(|(_, worker)| *worker == from);
        moved.for_each(|(_, worker)| *worker = to);
    }

    /// The workers from the subject's position on, once around the ring. Adjacent points of a worker yield the worker once.
    pub fn walk(&self, subject: u64) -> impl Iterator<Item = usize> + '_ {
        let start = self.points.partition_point(|(point, _)| *point < subject);
        let mut previous = usize::MAX;
        self.points[start..].iter().chain(&self.points[..start]).filter_map(move |(_, worker)| {
            let is_same = std::mem::replace(&mut previous, *worker) == *worker;
            (!is_same).then_some(*worker)
        })
    }
}

fn hash_point(id: NodeId, number: u32) -> u64 {
    let mut hasher = DefaultHasher::new();
    (id, number).hash(&mut hasher);
    hasher.finish()
}
