//! What forwarders and planners decide, without I/O and without a clock: time is an argument, what is to be sent comes back as
//! plain values, chance is the standard hasher over a seed and a counter. The same events give the same actions.
//!
//! | module | question |
//! | --- | --- |
//! | [`messages`] | which bytes say what; versioned, bounded |
//! | [`membership`] | who is here: joins, leaves, suspicion, death |
//! | [`grants`] | who may give out places on workers, and which grants hold |
//! | [`plan`] | how much of which worker each forwarder gets |
//! | [`routes`] | to which worker an invocation goes |
//! | [`retry`] | whether it may go to another one |
//! | [`mode`] | whether a forwarder goes by its grants or by itself, and how it goes back |
//! | [`sim`] | a network in which all of these can be played |
//!
//! Times are whole tenths of a millisecond.

pub mod grants;
pub mod membership;
pub mod messages;
pub mod mode;
pub mod plan;
pub mod ramp;
pub mod retry;
pub mod routes;
pub mod sim;

use std::hash::{DefaultHasher, Hash, Hasher};

/// Tenths of a millisecond.
pub type Time = i64;

pub const MS: Time = 10;
pub const SECOND: Time = 10_000;

/// An instance: a number that its name hashes to.
pub type Id = u64;

/// The number of a name; the same everywhere.
pub fn id(name: &str) -> Id {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Chance from a seed and a counter.
#[derive(Clone, Debug, Default)]
pub struct Chance {
    seed: u64,
    drawn: u64,
}

impl Chance {
    pub fn new(seed: u64) -> Chance {
        Chance { seed, drawn: 0 }
    }
    /// From 0 to under 1.
    pub fn draw(&mut self) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, self.drawn).hash(&mut hasher);
        self.drawn += 1;
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
    /// Under `many`; 0 where there are none.
    pub fn below(&mut self, many: usize) -> usize {
        ((self.draw() * many as f64) as usize).min(many.saturating_sub(1))
    }
}
