//! Whether a forwarder goes by its grants or by itself. Without grants that hold it decides alone, from the next invocation
//! on: of each worker the part that falls to it if all forwarders that it knows take alike. When planners are back it goes over
//! to their grants in steps, so that many that come back at once do not jump together.

use crate::grants::GrantTable;
use crate::{NodeId, Time, SECOND};

/// Steps from its own part to its grants, and how long each lasts.
pub const RECOVERY_STEPS: u32 = 4;
pub const RECOVERY_STEP_DURATION: Time = SECOND / 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchState {
    /// By itself.
    Local,
    /// On its way back, so many steps done.
    Recovering(u32),
    Planned,
}

#[derive(Clone, Debug)]
pub struct DispatchMode {
    state: DispatchState,
    since: Time,
}

impl DispatchMode {
    /// A forwarder begins by itself.
    pub fn new(now: Time) -> DispatchMode {
        DispatchMode { state: DispatchState::Local, since: now }
    }

    pub fn state(&self) -> DispatchState {
        self.state
    }

    /// What changed, with its figures, as one line for the log.
    pub fn tick(&mut self, now: Time, held: &GrantTable) -> Option<String> {
        let next = match (held.is_valid(now), self.state) {
            (false, DispatchState::Local) | (true, DispatchState::Planned) => return None,
            (false, _) => DispatchState::Local,
            (true, DispatchState::Local) => DispatchState::Recovering(0),
            (true, DispatchState::Recovering(done)) if now - self.since < RECOVERY_STEP_DURATION => {
                DispatchState::Recovering(done)
            }
            (true, DispatchState::Recovering(done)) if done + 1 >= RECOVERY_STEPS => DispatchState::Planned,
            (true, DispatchState::Recovering(done)) => DispatchState::Recovering(done + 1),
        };
        if next == self.state {
            return None;
        }
        let before = std::mem::replace(&mut self.state, next);
        let after = (now - std::mem::replace(&mut self.since, now)) / 10;
        match next {
            DispatchState::Local => {
                Some(format!("by itself: grants of epoch {} ended, after {after} ms", held.epoch()))
            }
            DispatchState::Recovering(0) => Some(format!(
                "planners are back: epoch {}, {} places, in {RECOVERY_STEPS} steps; {after} ms by itself",
                held.epoch(),
                held.total_places(now)
            )),
            DispatchState::Planned => {
                Some(format!("by its grants: epoch {}, {} places", held.epoch(), held.total_places(now)))
            }
            DispatchState::Recovering(_) => {
                debug_assert!(matches!(before, DispatchState::Recovering(_)));
                None
            }
        }
    }

    /// Places that it may use on a worker. `alone` is its part of the worker where it decides by itself.
    pub fn places(&self, now: Time, held: &GrantTable, worker: NodeId, alone: f64) -> f64 {
        let granted = held.places(now, worker).map(f64::from);
        match (self.state, granted) {
            (DispatchState::Planned, Some(granted)) => granted,
            (DispatchState::Recovering(done), Some(granted)) => {
                alone + (granted - alone) * f64::from(done) / f64::from(RECOVERY_STEPS)
            }
            // The grants have just ended, or it has not looked yet: by itself from the next invocation on.
            (DispatchState::Local, _) | (_, None) => alone,
        }
    }

    /// Its part of a worker with so many places, among so many forwarders, itself among them. One at the least: a worker
    /// protects itself.
    pub fn local_share(places: f64, forwarders: usize) -> f64 {
        (places / forwarders.max(1) as f64).max(1.0)
    }
}
