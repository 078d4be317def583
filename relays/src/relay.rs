//! One relay.

use cypresscleat_rollout::member::Member;
use cypresscleat_rollout::said::{Answer, Ask};
use cypresscleat_rollout::{Id, Key, Time, Version};

/// What is to be done: words to keepers, words to members, texts to be put on the disk (`kept` says how that went).
#[derive(Clone, Debug)]
pub struct Out<A> {
    pub up: Vec<(Id, Ask)>,
    pub down: Vec<(A, Answer)>,
    pub keep: Vec<Version>,
}

impl<A> Default for Out<A> {
    fn default() -> Out<A> {
        Out { up: Vec::new(), down: Vec::new(), keep: Vec::new() }
    }
}

/// `A` is where a member hears.
pub struct Relay<A> {
    up: Member,
    log: Vec<String>,
    _below: std::marker::PhantomData<A>,
}

impl<A: Copy + Ord> Relay<A> {
    /// `most` is the longest lease that it gives, in any of its lives.
    pub fn new(now: Time, name: &str, key: Key, keepers: Vec<Id>, _most: Time) -> Relay<A> {
        let up = Member::new(now, name, key, keepers);
        Relay { up, log: Vec::new(), _below: std::marker::PhantomData }
    }
    pub fn due(&self) -> Time {
        self.up.due()
    }
    pub fn tick(&mut self, now: Time) -> Out<A> {
        Out { up: self.up.tick(now), ..Out::default() }
    }
    /// A keeper's word.
    pub fn from_above(&mut self, now: Time, from: Id, answer: Answer) -> Out<A> {
        Out { up: self.up.hear(now, from, answer), ..Out::default() }
    }
    /// A member's word.
    pub fn from_below(&mut self, _now: Time, _from: A, _ask: Ask) -> Out<A> {
        Out::default()
    }
    /// A text of `Out::keep` is on the disk, or can't be.
    pub fn kept(&mut self, _now: Time, _number: u64, _kept: Result<(), String>) -> Out<A> {
        Out::default()
    }
    /// A text that an earlier life kept.
    pub fn knows(&mut self, version: Version) {
        self.up.knows(version.number);
    }
    pub fn learns(&mut self, keeper: Id) {
        self.up.learns(keeper);
    }
    pub fn leaves(&mut self, now: Time) -> Out<A> {
        Out { up: self.up.leaves(now), ..Out::default() }
    }
    pub fn left(&self) -> bool {
        self.up.left()
    }
    pub fn log(&mut self) -> impl Iterator<Item = String> + '_ {
        self.log.drain(..)
    }
    pub fn members(&self) -> usize {
        0
    }
    pub fn in_force(&self) -> Option<u64> {
        self.up.in_force()
    }
}
