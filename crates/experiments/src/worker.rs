//! A worker's machine: cores shared equally by all that wants one, less done past a crowd, reading that takes its part
//! before runs, a cold start, slow spells. It knows jobs and their work, nothing of invocations.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub use cypresscleat_primitives::Time;

/// What the machine is.
#[derive(Clone, Debug, PartialEq)]
pub struct Machine {
    pub cores: f64,
    /// Work of reading one arrival, before it can be decided on.
    pub reading: f64,
    /// Wanting more than this many times the cores, all together do less.
    pub crowd: f64,
    /// What is left of the cores at twice that.
    pub crowded: f64,
    /// Speed at the start, and for how long it rises to 1.
    pub cold_from: f64,
    pub cold_for: Time,
}

impl Default for Machine {
    fn default() -> Machine {
        Machine { cores: 4.0, reading: 2.0, crowd: 4.0, crowded: 0.6, cold_from: 1.0, cold_for: 0 }
    }
}

/// Finish marks stand in the order of their bits: all are above 0.
type Mark = (u64, usize);

/// Jobs on the cores, by processor sharing: each gets the same, so all that counts is how much one that was there from the
/// start would have had.
#[derive(Clone, Debug)]
pub struct Worker {
    machine: Machine,
    now: Time,
    /// Work each job has had since the start.
    had: f64,
    finish: BTreeSet<Mark>,
    jobs: BTreeMap<usize, f64>,
    unread: VecDeque<usize>,
    /// What is left of the first unread one.
    left: f64,
    speed: f64,
    busy: f64,
}

/// What a stretch of time brought.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Done {
    Job(usize),
    Read(usize),
}

impl Worker {
    pub fn new(machine: Machine) -> Worker {
        let (finish, jobs, unread) = Default::default();
        Worker { machine, now: 0, had: 0.0, finish, jobs, unread, left: 0.0, speed: 1.0, busy: 0.0 }
    }

    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    /// Part of its usual speed from now on.
    pub fn set_speed(&mut self, speed: f64) {
        self.speed = speed;
    }

    /// A job with so much work, which wants a core from now on.
    pub fn start(&mut self, id: usize, work: f64) {
        let mark = self.had + work.max(1e-6);
        self.jobs.insert(id, mark);
        self.finish.insert((mark.to_bits(), id));
    }

    /// It wants no core any more; what was left of its work, if it was there.
    pub fn stop(&mut self, id: usize) -> Option<f64> {
        let mark = self.jobs.remove(&id)?;
        self.finish.remove(&(mark.to_bits(), id));
        Some((mark - self.had).max(0.0))
    }

    /// Something came that has to be read.
    pub fn arrive(&mut self, id: usize) {
        if self.unread.is_empty() {
            self.left = self.machine.reading;
        }
        self.unread.push_back(id);
    }

    /// Those that want a core.
    pub fn wanting(&self) -> usize {
        self.jobs.len() + usize::from(!self.unread.is_empty())
    }

    /// Part of the cores that is in use now.
    pub fn in_use(&self) -> f64 {
        (self.wanting() as f64 / self.machine.cores).min(1.0)
    }

    /// Core time used since the start.
    pub fn busy(&self) -> f64 {
        self.busy
    }

    /// Work that each job and that reading gets in a unit of time.
    fn rates(&self) -> (f64, f64) {
        let machine = &self.machine;
        let wanting = self.wanting() as f64;
        let crowd = (wanting / (machine.crowd * machine.cores) - 1.0).max(0.0);
        let done = (1.0 - (1.0 - machine.crowded) * crowd).max(machine.crowded * 0.5);
        let warm = if machine.cold_for > 0 {
            let part = (self.now as f64 / machine.cold_for as f64).min(1.0);
            machine.cold_from + (1.0 - machine.cold_from) * part
        } else {
            1.0
        };
        let speed = self.speed * done * warm;
        // Reading goes first: one core at the most.
        let reading = if self.unread.is_empty() { 0.0 } else { 1.0 };
        let cores = (machine.cores - reading).max(0.0);
        let each = (cores / (self.jobs.len().max(1) as f64)).min(1.0);
        (each * speed, reading * speed)
    }

    /// When something is done next, if nothing changes; not before the next unit of time.
    pub fn next(&self) -> Option<Time> {
        let (each, reading) = self.rates();
        let job = self.finish.first().filter(|_| each > 0.0);
        let job = job.map(|(bits, _)| (f64::from_bits(*bits) - self.had).max(0.0) / each);
        let read = (!self.unread.is_empty()).then(|| self.left.max(0.0) / reading);
        let wait = match (job, read) {
            (Some(job), Some(read)) => job.min(read),
            (Some(one), None) | (None, Some(one)) => one,
            (None, None) => return None,
        };
        // While it warms up the rates change: looked at again soon.
        let most = if self.now < self.machine.cold_for { 1_000.0 } else { 1e12 };
        Some(self.now + (wait.min(most).ceil() as Time).max(1))
    }

    /// Lets time pass up to `to`, no further than `next`.
    pub fn advance(&mut self, to: Time, done: &mut Vec<Done>) {
        let span = (to - self.now).max(0) as f64;
        let (each, reading) = self.rates();
        self.busy += span * self.in_use() * self.machine.cores;
        self.had += span * each;
        self.left -= span * reading;
        self.now = self.now.max(to);
        while let Some((bits, id)) = self.finish.first().copied() {
            if f64::from_bits(bits) > self.had + 1e-6 {
                break;
            }
            self.finish.pop_first();
            self.jobs.remove(&id);
            done.push(Done::Job(id));
        }
        while self.left <= 1e-6 {
            let Some(id) = self.unread.pop_front() else { break };
            self.left += self.machine.reading;
            done.push(Done::Read(id));
        }
        if self.unread.is_empty() {
            self.left = 0.0;
        }
    }
}
