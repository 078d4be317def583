//! A random number generator whose sequence depends on its seed alone.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of bits of a draw that fit the mantissa of an `f64`.
const MANTISSA_BITS: u32 = 53;

/// Draws the hash of its seed and a counter. Not suited to secrets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SeededRng {
    seed: u64,
    drawn: u64,
}

impl SeededRng {
    /// Creates a generator; equal seeds give equal sequences.
    pub fn new(seed: u64) -> SeededRng {
        SeededRng { seed, drawn: 0 }
    }

    /// Draws a number from the whole range of `u64`.
    pub fn next_u64(&mut self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, self.drawn).hash(&mut hasher);
        self.drawn += 1;
        hasher.finish()
    }

    /// Draws a number from 0 up to, but not including, 1.
    pub fn next_f64(&mut self) -> f64 {
        (self.next_u64() >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
    }

    /// Draws a number below `bound` by remainder; 0 where `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next_u64().checked_rem(bound).unwrap_or(0)
    }

    /// Draws an index below `len` by scaling; 0 where `len` is 0.
    pub fn index_below(&mut self, len: usize) -> usize {
        ((self.next_f64() * len as f64) as usize).min(len.saturating_sub(1))
    }

    /// Returns true in one of `many` draws on average.
    pub fn one_in(&mut self, many: u64) -> bool {
        self.below(many) == 0
    }
}
