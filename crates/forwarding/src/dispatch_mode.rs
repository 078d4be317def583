//! Whether a forwarder uses its grants or its local share. Without valid grants the forwarder uses, from the next request on, its
//! equal share of each worker among all forwarders that it knows. When planners are back it moves to their grants in steps, so that
//! many forwarders that recover at once do not shift their load at the same moment.

use crate::grants::GrantTable;
use crate::{NodeId, Time, SECOND};

/// Steps of the recovery from the local share to the grants.
pub const RECOVERY_STEPS: u32 = 4;
/// Duration of each step.
pub const RECOVERY_STEP_DURATION: Time = SECOND / 2;

/// Source of the slots that a forwarder uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchState {
    /// The local share of each worker.
    Local,
    /// Between the local share and the grants, with the number of completed steps.
    Recovering(u32),
    /// The grants.
    Planned,
}

/// Dispatch state of a forwarder, and the time of its last change.
#[derive(Clone, Debug)]
pub struct DispatchMode {
    state: DispatchState,
    since: Time,
}

impl DispatchMode {
    /// Creates the mode of a new forwarder, which starts with its local share.
    pub fn new(now: Time) -> DispatchMode {
        DispatchMode { state: DispatchState::Local, since: now }
    }

    /// The current state.
    pub fn state(&self) -> DispatchState {
        self.state
    }

    /// Updates the state; returns a log line if it changed.
    pub fn tick(&mut self, now: Time, grants: &GrantTable) -> Option<String> {
        let next = self.next_state(now, grants.is_valid(now));
        if next == self.state {
            return None;
        }
        self.state = next;
        let elapsed_ms = (now - std::mem::replace(&mut self.since, now)) / 10;
        let (epoch, slots) = (grants.epoch(), grants.total_slots(now));
        match next {
            DispatchState::Local => {
                Some(format!("by itself: grants of epoch {epoch} ended, after {elapsed_ms} ms"))
            }
            DispatchState::Recovering(0) => Some(format!(
                "planners are back: epoch {epoch}, {slots} places, in {RECOVERY_STEPS} steps; {elapsed_ms} ms by itself"
            )),
            DispatchState::Recovering(_) => None,
            DispatchState::Planned => Some(format!("by its grants: epoch {epoch}, {slots} places")),
        }
    }

    fn next_state(&self, now: Time, has_grants: bool) -> DispatchState {
        match self.state {
            _ if !has_grants => DispatchState::Local,
            DispatchState::Local => DispatchState::Recovering(0),
            DispatchState::Recovering(done) if now - self.since < RECOVERY_STEP_DURATION => {
                DispatchState::Recovering(done)
            }
            DispatchState::Recovering(done) if done + 1 < RECOVERY_STEPS => {
                DispatchState::Recovering(done + 1)
            }
            DispatchState::Recovering(_) | DispatchState::Planned => DispatchState::Planned,
        }
    }

    /// Concurrency slots that the forwarder may use on a worker. `local_share` is its share without grants.
    pub fn slots(&self, now: Time, grants: &GrantTable, worker: NodeId, local_share: f64) -> f64 {
        let granted = grants.slots(now, worker).map(f64::from);
        match (self.state, granted) {
            (DispatchState::Planned, Some(granted)) => granted,
            (DispatchState::Recovering(done), Some(granted)) => {
                local_share + (granted - local_share) * f64::from(done) / f64::from(RECOVERY_STEPS)
            }
            // The grants may have ended since the last tick: the local share applies from the next request on.
            (DispatchState::Local, _) | (_, None) => local_share,
        }
    }

    /// A forwarder's share of a worker's `slots` among `forwarders`, itself included. The share is at least one slot: a worker
    /// protects itself from overload.
    pub fn local_share(slots: f64, forwarders: usize) -> f64 {
        (slots / forwarders.max(1) as f64).max(1.0)
    }
}
