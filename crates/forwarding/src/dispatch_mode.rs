//! Whether a forwarder goes by its grants or by itself. Without valid grants it decides alone, from the next request on: of each
//! worker it uses the share that falls to it if all forwarders that it knows use alike. When planners are back it goes over to
//! their grants in steps, so that many forwarders that come back at once do not jump together.

use crate::grants::GrantTable;
use crate::{NodeId, Time, SECOND};

/// Steps of the recovery from the local share to the grants.
pub const RECOVERY_STEPS: u32 = 4;
/// How long each step lasts.
pub const RECOVERY_STEP_DURATION: Time = SECOND / 2;

/// What a forwarder goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchState {
    /// By its local share of each worker.
    Local,
    /// On its way back to its grants, so many steps done.
    Recovering(u32),
    /// By its grants.
    Planned,
}

/// What a forwarder goes by, and since when.
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

    /// What it goes by now.
    pub fn state(&self) -> DispatchState {
        self.state
    }

    /// Does what is due now; returns what changed as a line for the log.
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

    /// Concurrency slots that the forwarder may use on a worker. `local_share` is its share where it decides by itself.
    pub fn slots(&self, now: Time, grants: &GrantTable, worker: NodeId, local_share: f64) -> f64 {
        let granted = grants.slots(now, worker).map(f64::from);
        match (self.state, granted) {
            (DispatchState::Planned, Some(granted)) => granted,
            (DispatchState::Recovering(done), Some(granted)) => {
                local_share + (granted - local_share) * f64::from(done) / f64::from(RECOVERY_STEPS)
            }
            // The grants have just ended, or it has not ticked yet: by itself from the next request on.
            (DispatchState::Local, _) | (_, None) => local_share,
        }
    }

    /// A forwarder's share of a worker with so many slots, among so many forwarders, itself included. One slot at the least: a
    /// worker protects itself.
    pub fn local_share(slots: f64, forwarders: usize) -> f64 {
        (slots / forwarders.max(1) as f64).max(1.0)
    }
}
