//! A random number generator whose sequence depends only on its seed.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of random bits that fit into the mantissa of an `f64`.
const MANTISSA_BITS: u32 = 53;

/// Generates random numbers by hashing the seed and a counter. Not cryptographically secure.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SeededRng {
    seed: u64,
    counter: u64,
}

impl SeededRng {
    /// Creates a generator. Equal seeds give equal sequences.
    pub fn new(seed: u64) -> SeededRng {
        SeededRng { seed, counter: 0 }
    }

    /// Draws a number from the full range of `u64`.
    pub fn next_u64(&mut self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, self.counter).hash(&mut hasher);
        self.counter += 1;
        hasher.finish()
    }

    /// Draws a number from 0 up to, but not including, 1.
    pub fn next_f64(&mut self) -> f64 {
        (self.next_u64() >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
    }

    /// Draws a number below `bound`, as the remainder of a draw; 0 if `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next_u64().checked_rem(bound).unwrap_or(0)
    }

    /// Draws an index below `len`, by scaling a fraction; 0 if `len` is 0.
    pub fn index_below(&mut self, len: usize) -> usize {
        ((self.next_f64() * len as f64) as usize).min(len.saturating_sub(1))
    }

    /// Returns true in one of `draws` calls on average.
    pub fn one_in(&mut self, draws: u64) -> bool {
        self.below(draws) == 0
    }
}
