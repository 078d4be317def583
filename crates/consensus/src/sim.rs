//! A network and disks in which keepers are played: letters are lost, doubled, late and out of order, sides are cut off, keepers
//! die between writing and speaking and come back with what their disk had, an older state of it or nothing. Deterministic by
//! seed; the rules are checked as it goes. For tests, and for whoever builds on the keepers.

use crate::keeper::{Answer, Begin, Keeper, Options, Out};
use crate::kept::{Kept, Write};
use crate::letter::{self, Letter};
use crate::{DiskId, Machine, NodeId, SeededRng, Time, MS};
use std::collections::{BTreeMap, BTreeSet};

/// A disk that keeps writes in their order: what is not synced may be there after a crash in any first part.
#[derive(Clone, Debug, Default)]
pub struct Shelf {
    pub disk: DiskId,
    kept: BTreeMap<Vec<u8>, Vec<u8>>,
    waiting: Vec<Write>,
    /// Writes that were synced, in all.
    pub synced: u64,
}

impl Shelf {
    fn put(&mut self, writes: Vec<Write>) {
        self.waiting.extend(writes);
    }
    fn sync(&mut self) {
        self.synced += u64::from(!self.waiting.is_empty());
        for (key, value) in self.waiting.drain(..) {
            match value {
                Some(value) => drop(self.kept.insert(key, value)),
                None => drop(self.kept.remove(&key)),
            }
        }
    }
    fn crash(&mut self, rng: &mut SeededRng) {
        let kept = rng.below(self.waiting.len() as u64 + 1) as usize;
        self.waiting.truncate(kept);
        self.sync();
    }
    /// As a keeper reads it at its start, through a real store.
    fn read(&self) -> Kept {
        let disk = cypresscleat_store::simulation::SimulatedDisk::default();
        let mut store = cypresscleat_store::Store::open(disk, Default::default()).expect("an empty disk");
        for (key, value) in &self.kept {
            store.put(key, value).expect("room");
        }
        store.commit(true).expect("a good disk");
        crate::kept::read(&mut store).expect("what was written in order can be read")
    }
}

/// One place: a keeper that runs or not, and its disk.
pub struct Seat<M> {
    pub id: NodeId,
    pub keeper: Option<Keeper<M>>,
    pub shelf: Shelf,
    starts: u64,
}

/// What the network does. Chances are one in so many; 0 is never.
#[derive(Clone, Copy, Debug)]
pub struct Weather {
    pub delay: Time,
    pub lost: u64,
    pub doubled: u64,
    /// A letter now and then takes this much longer.
    pub slow: Time,
}

impl Default for Weather {
    fn default() -> Weather {
        Weather { delay: MS, lost: 0, doubled: 0, slow: 0 }
    }
}

pub struct World<M> {
    pub now: Time,
    pub seats: Vec<Seat<M>>,
    pub weather: Weather,
    /// Pairs (from, to) between which nothing gets through.
    pub cut: BTreeSet<(NodeId, NodeId)>,
    pub rng: SeededRng,
    options: Options,
    empty: M,
    mail: BTreeMap<(Time, u64), (NodeId, Letter)>,
    posted: u64,
    next_disk: DiskId,
    /// By whom, and what.
    pub answers: Vec<(usize, Answer)>,
    pub letters: u64,
    pub bytes: u64,
    leaders: BTreeMap<u64, NodeId>,
    /// What was wrong, the first of it.
    pub wrong: Option<String>,
}

impl<M: Machine> World<M> {
    pub fn new(many: usize, empty: M, options: Options, seed: u64) -> World<M> {
        let mut world = World {
            now: 0,
            seats: Vec::new(),
            weather: Weather::default(),
            cut: BTreeSet::new(),
            rng: SeededRng::new(seed),
            options,
            empty,
            mail: BTreeMap::new(),
            posted: 0,
            next_disk: 100,
            answers: Vec::new(),
            letters: 0,
            bytes: 0,
            leaders: BTreeMap::new(),
            wrong: None,
        };
        for at in 0..many {
            let id = at as NodeId + 1;
            world.seats.push(Seat { id, keeper: None, shelf: Shelf::default(), starts: 0 });
        }
        (0..many).for_each(|at| world.start(at));
        world
    }

    pub fn start(&mut self, at: usize) {
        let named = self.seats.iter().map(|seat| seat.id).collect();
        let seat = &mut self.seats[at];
        if seat.shelf.disk == 0 {
            self.next_disk += 1;
            seat.shelf.disk = self.next_disk;
        }
        seat.starts += 1;
        let begin = Begin {
            own: seat.id,
            named,
            disk: seat.shelf.disk,
            options: self.options,
            seed: self.rng.next_u64(),
        };
        let kept = seat.shelf.read();
        let (keeper, out) = Keeper::start(self.now, begin, kept, self.empty.clone());
        self.seats[at].keeper = Some(keeper);
        self.carry(at, out);
    }

    /// It dies; what it had not synced is there in part.
    pub fn kill(&mut self, at: usize) {
        let seat = &mut self.seats[at];
        seat.keeper = None;
        seat.shelf.crash(&mut self.rng);
    }

    /// Its disk is gone, and another one in its place.
    pub fn lose_disk(&mut self, at: usize) {
        self.seats[at].keeper = None;
        self.seats[at].shelf = Shelf::default();
    }

    pub fn shelf(&self, at: usize) -> Shelf {
        self.seats[at].shelf.clone()
    }

    /// An older state of its disk is put back, as if it had always been so.
    pub fn put_back(&mut self, at: usize, shelf: Shelf) {
        self.seats[at].keeper = None;
        self.seats[at].shelf = shelf;
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |seat: &Seat<M>| seat.keeper.as_ref().filter(|keeper| keeper.leads()).map(Keeper::term);
        let all = self.seats.iter().enumerate().filter_map(|(at, seat)| Some((leads(seat)?, at)));
        all.max().map(|(_, at)| at)
    }

    pub fn propose(&mut self, at: usize, number: u64, command: Vec<u8>) -> bool {
        let now = self.now;
        let out = self.seats[at].keeper.as_mut().and_then(|keeper| keeper.propose(now, number, command));
        let taken = out.is_some();
        self.carry(at, out.unwrap_or_default());
        taken
    }

    /// Carries out what a keeper asks for: its writes, then its letters and answers. Now and then it dies in between.
    pub fn carry(&mut self, at: usize, out: Out) {
        let seat = &mut self.seats[at];
        seat.shelf.put(out.writes);
        if !self.options.broken.says_before_disk {
            seat.shelf.sync();
        }
        if let Some(keeper) = seat.keeper.as_ref().filter(|keeper| keeper.leads()) {
            let known = *self.leaders.entry(keeper.term()).or_insert(seat.id);
            if known != seat.id {
                self.wrong.get_or_insert(format!("two lead in term {}", keeper.term()));
            }
        }
        let from = seat.id;
        self.answers.extend(out.answers.into_iter().map(|answer| (at, answer)));
        for (to, letter) in out.letters {
            self.letters += 1;
            if let Some(bytes) = letter::write(&letter) {
                self.bytes += bytes.len() as u64;
            }
            let lost = self.weather.lost > 0 && self.rng.one_in(self.weather.lost);
            if lost || self.cut.contains(&(from, to)) {
                continue;
            }
            let twice = self.weather.doubled > 0 && self.rng.one_in(self.weather.doubled);
            for _ in 0..1 + u64::from(twice) {
                let mut delay = self.weather.delay + self.rng.below(self.weather.delay.max(1) as u64) as Time;
                if self.weather.slow > 0 && self.rng.one_in(20) {
                    delay += self.rng.below(self.weather.slow as u64) as Time;
                }
                self.posted += 1;
                self.mail.insert((self.now + delay, self.posted), (to, letter.clone()));
            }
        }
        if self.options.broken.says_before_disk && self.rng.one_in(3) {
            self.seats[at].shelf.sync();
        }
    }

    /// The next letter or the next due time, not past `until`; false where nothing is left before it.
    pub fn step(&mut self, until: Time) -> bool {
        let mail = self.mail.first_key_value().map(|(key, _)| key.0);
        let due =
            self.seats.iter().enumerate().filter_map(|(at, seat)| Some((seat.keeper.as_ref()?.due(), at)));
        let due = due.min();
        let next = mail.into_iter().chain(due.map(|due| due.0)).min().unwrap_or(until);
        if next >= until {
            self.now = until;
            return false;
        }
        self.now = self.now.max(next);
        let now = self.now;
        if mail == Some(next) {
            let Some((_, (to, letter))) = self.mail.pop_first() else { return true };
            let Some(at) = self.seats.iter().position(|seat| seat.id == to) else { return true };
            let out = self.seats[at].keeper.as_mut().map(|keeper| keeper.hear(now, &letter));
            self.carry(at, out.unwrap_or_default());
        } else if let Some((_, at)) = due {
            let out = self.seats[at].keeper.as_mut().map(|keeper| keeper.tick(now));
            self.carry(at, out.unwrap_or_default());
        }
        // One that finds that its disk forgot comes back with an empty one.
        if let Some(at) = self.seats.iter().position(|seat| seat.keeper.as_ref().is_some_and(Keeper::older)) {
            self.lose_disk(at);
            self.start(at);
        }
        true
    }

    pub fn run(&mut self, until: Time) {
        while self.step(until) {}
    }
}

/// A machine for tests: what was decided so far, as a chain of hashes, and the numbers that were counted in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Chain {
    pub link: u64,
    pub numbers: BTreeSet<u64>,
}

impl Machine for Chain {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        use std::hash::{DefaultHasher, Hash, Hasher};
        let mut hasher = DefaultHasher::new();
        (self.link, index, command).hash(&mut hasher);
        self.link = hasher.finish();
        let number = command.try_into().map(u64::from_le_bytes).unwrap_or(0);
        self.numbers.insert(number);
        self.link.to_le_bytes().to_vec()
    }
    fn image(&self) -> Vec<u8> {
        postcard::to_stdvec(&(self.link, &self.numbers)).unwrap_or_default()
    }
    fn from_image(bytes: &[u8]) -> Option<Chain> {
        let (link, numbers) = postcard::from_bytes(bytes).ok()?;
        Some(Chain { link, numbers })
    }
}
