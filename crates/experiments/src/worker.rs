//! A simulated worker machine: cores shared equally by all runnable jobs, less throughput under overload, reading of requests ahead
//! of jobs, a warm-up after the start, and slow periods. The machine knows jobs and their work, but no requests.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub use cypresscleat_primitives::Time;

/// Properties of the machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Machine {
    pub cores: f64,
    /// Work of reading one request, before the scheduler can decide on it.
    pub reading: f64,
    /// With more runnable jobs than this multiple of the cores, total throughput falls.
    pub overload_multiple: f64,
    /// Share of the throughput that is left at twice that multiple.
    pub overloaded_share: f64,
    /// Speed at the start, and how long the speed takes to rise to 1.
    pub initial_speed: f64,
    pub warmup: Time,
}

impl Default for Machine {
    fn default() -> Machine {
        Machine {
            cores: 4.0,
            reading: 2.0,
            overload_multiple: 4.0,
            overloaded_share: 0.6,
            initial_speed: 1.0,
            warmup: 0,
        }
    }
}

/// Finish mark as bits, and job id. The bits of positive floats sort like the floats; all marks are above 0.
type FinishMark = (u64, usize);

/// Jobs on the cores, by processor sharing. All jobs get the same work in a unit of time, so the work that a job present from the
/// start would have received is enough to order all finishes.
#[derive(Clone, Debug)]
pub struct Worker {
    machine: Machine,
    now: Time,
    /// Work that a job present since the start has received.
    work_per_job: f64,
    finish: BTreeSet<FinishMark>,
    jobs: BTreeMap<usize, f64>,
    unread: VecDeque<usize>,
    /// Work left to read the first unread request.
    reading_left: f64,
    speed: f64,
    busy: f64,
}

/// Something that completed while time advanced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Completion {
    Job(usize),
    Read(usize),
}

impl Worker {
    pub fn new(machine: Machine) -> Worker {
        let (finish, jobs, unread) = Default::default();
        Worker {
            machine,
            now: 0,
            work_per_job: 0.0,
            finish,
            jobs,
            unread,
            reading_left: 0.0,
            speed: 1.0,
            busy: 0.0,
        }
    }

    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    /// Sets the share of the usual speed that the machine has from now on.
    pub fn set_speed(&mut self, speed: f64) {
        self.speed = speed;
    }

    /// Starts a job with `work` to do; the job needs a core from now on.
    pub fn start(&mut self, id: usize, work: f64) {
        let mark = self.work_per_job + work.max(1e-6);
        self.jobs.insert(id, mark);
        self.finish.insert((mark.to_bits(), id));
    }

    /// Stops a job. Returns the work that was left, or `None` if the job did not exist.
    pub fn stop(&mut self, id: usize) -> Option<f64> {
        let mark = self.jobs.remove(&id)?;
        self.finish.remove(&(mark.to_bits(), id));
        Some((mark - self.work_per_job).max(0.0))
    }

    /// Adds a request that has to be read.
    pub fn arrive(&mut self, id: usize) {
        if self.unread.is_empty() {
            self.reading_left = self.machine.reading;
        }
        self.unread.push_back(id);
    }

    /// Number of runnable jobs, with the reader.
    pub fn runnable(&self) -> usize {
        self.jobs.len() + usize::from(!self.unread.is_empty())
    }

    /// Share of the cores that is in use now.
    pub fn utilization(&self) -> f64 {
        (self.runnable() as f64 / self.machine.cores).min(1.0)
    }

    /// Core time used since the start.
    pub fn busy(&self) -> f64 {
        self.busy
    }

    /// Work that each job, and that reading, gets in a unit of time.
    fn rates(&self) -> (f64, f64) {
        let machine = &self.machine;
        let runnable = self.runnable() as f64;
        let overload = (runnable / (machine.overload_multiple * machine.cores) - 1.0).max(0.0);
        let done = (1.0 - (1.0 - machine.overloaded_share) * overload).max(machine.overloaded_share * 0.5);
        let warm = if machine.warmup > 0 {
            let part = (self.now as f64 / machine.warmup as f64).min(1.0);
            machine.initial_speed + (1.0 - machine.initial_speed) * part
        } else {
            1.0
        };
        let speed = self.speed * done * warm;
        // Reading precedes jobs and uses at most one core.
        let reading = if self.unread.is_empty() { 0.0 } else { 1.0 };
        let cores = (machine.cores - reading).max(0.0);
        let each = (cores / (self.jobs.len().max(1) as f64)).min(1.0);
        (each * speed, reading * speed)
    }

    /// Time of the next completion if nothing changes; at least one unit of time from now.
    pub fn next(&self) -> Option<Time> {
        let (each, reading) = self.rates();
        let job = self.finish.first().filter(|_| each > 0.0);
        let job = job.map(|(bits, _)| (f64::from_bits(*bits) - self.work_per_job).max(0.0) / each);
        let read = (!self.unread.is_empty()).then(|| self.reading_left.max(0.0) / reading);
        let wait = match (job, read) {
            (Some(job), Some(read)) => job.min(read),
            (Some(one), None) | (None, Some(one)) => one,
            (None, None) => return None,
        };
        // The rates change during warm-up, so the next step is soon.
        let max_wait = if self.now < self.machine.warmup { 1_000.0 } else { 1e12 };
        Some(self.now + (wait.min(max_wait).ceil() as Time).max(1))
    }

    /// Advances time to `to`, which is no later than `next`.
    pub fn advance(&mut self, to: Time, done: &mut Vec<Completion>) {
        let span = (to - self.now).max(0) as f64;
        let (each, reading) = self.rates();
        self.busy += span * self.utilization() * self.machine.cores;
        self.work_per_job += span * each;
        self.reading_left -= span * reading;
        self.now = self.now.max(to);
        while let Some((bits, id)) = self.finish.first().copied() {
            if f64::from_bits(bits) > self.work_per_job + 1e-6 {
                break;
            }
            self.finish.pop_first();
            self.jobs.remove(&id);
            done.push(Completion::Job(id));
        }
        while self.reading_left <= 1e-6 {
            let Some(id) = self.unread.pop_front() else { break };
            self.reading_left += self.machine.reading;
            done.push(Completion::Read(id));
        }
        if self.unread.is_empty() {
            self.reading_left = 0.0;
        }
    }
}
