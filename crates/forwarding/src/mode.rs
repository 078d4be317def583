//! Whether a forwarder goes by its grants or by itself. Without grants that hold it decides alone, from the next invocation
//! on: of each worker the part that falls to it if all forwarders that it knows take alike. When planners are back it goes over
//! to their grants in steps, so that many that come back at once do not jump together.

use crate::grants::Held;
use crate::{NodeId, Time, SECOND};

/// Steps from its own part to its grants, and how long each lasts.
pub const STEPS: u32 = 4;
pub const STEP: Time = SECOND / 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// By itself.
    Local,
    /// On its way back, so many steps done.
    Back(u32),
    Planned,
}

#[derive(Clone, Debug)]
pub struct Mode {
    state: State,
    since: Time,
}

impl Mode {
    /// A forwarder begins by itself.
    pub fn new(now: Time) -> Mode {
        Mode { state: State::Local, since: now }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// What changed, with its figures, as one line for the log.
    pub fn tick(&mut self, now: Time, held: &Held) -> Option<String> {
        let next = match (held.holds(now), self.state) {
            (false, State::Local) | (true, State::Planned) => return None,
            (false, _) => State::Local,
            (true, State::Local) => State::Back(0),
            (true, State::Back(done)) if now - self.since < STEP => State::Back(done),
            (true, State::Back(done)) if done + 1 >= STEPS => State::Planned,
            (true, State::Back(done)) => State::Back(done + 1),
        };
        if next == self.state {
            return None;
        }
        let before = std::mem::replace(&mut self.state, next);
        let after = (now - std::mem::replace(&mut self.since, now)) / 10;
        match next {
            State::Local => {
                Some(format!("by itself: grants of epoch {} ended, after {after} ms", held.epoch()))
            }
            State::Back(0) => Some(format!(
                "planners are back: epoch {}, {} places, in {STEPS} steps; {after} ms by itself",
                held.epoch(),
                held.total(now)
            )),
            State::Planned => {
                Some(format!("by its grants: epoch {}, {} places", held.epoch(), held.total(now)))
            }
            State::Back(_) => {
                debug_assert!(matches!(before, State::Back(_)));
                None
            }
        }
    }

    /// Places that it may use on a worker. `alone` is its part of the worker where it decides by itself.
    pub fn places(&self, now: Time, held: &Held, worker: NodeId, alone: f64) -> f64 {
        let granted = held.places(now, worker).map(f64::from);
        match (self.state, granted) {
            (State::Planned, Some(granted)) => granted,
            (State::Back(done), Some(granted)) => {
                alone + (granted - alone) * f64::from(done) / f64::from(STEPS)
            }
            // The grants have just ended, or it has not looked yet: by itself from the next invocation on.
            (State::Local, _) | (_, None) => alone,
        }
    }

    /// Its part of a worker with so many places, among so many forwarders, itself among them. One at the least: a worker
    /// protects itself.
    pub fn alone(places: f64, forwarders: usize) -> f64 {
        (places / forwarders.max(1) as f64).max(1.0)
    }
}
