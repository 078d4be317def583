//! The invariants of a rollout. They are checked whenever a member changes its version.

use super::Simulation;
use crate::member::{AdmissionPermit, RolloutMember};
use crate::{Time, MS, SECOND};

impl Simulation {
    /// Records the decision on a version, as one replica applied it.
    pub(super) fn record_decision(&mut self, number: u64, committed: bool) {
        let known = *self.decided.entry(number).or_insert((self.consensus.now, committed));
        if known.1 != committed {
            self.violation.get_or_insert(format!("version {number} was both committed and aborted"));
        }
    }

    /// Records that a member activated a version.
    pub(super) fn record_activation(&mut self, at: usize, number: u64) {
        let now = self.consensus.now;
        if number != 0 && !self.decided.get(&number).is_some_and(|decided| decided.1) {
            self.violation
                .get_or_insert(format!("m{at} activated version {number}, which was not committed"));
        }
        let newest = self.newest();
        self.first_active.entry(number).or_insert(now);
        match number > newest {
            true => (0..self.members.len()).for_each(|at| self.update_outdated(at)),
            false => self.update_outdated(at),
        }
        self.check_invariants(now);
    }

    /// The newest version that was active anywhere.
    pub(super) fn newest(&self) -> u64 {
        self.first_active.last_key_value().map_or(0, |(number, _)| *number)
    }

    /// Records whether the member's version is older than the newest one. Called whenever either may have changed.
    pub(super) fn update_outdated(&mut self, at: usize) {
        let own = self.members[at].member.as_ref().and_then(RolloutMember::active);
        match own.is_some_and(|own| own < self.newest()) {
            true => drop(self.outdated.insert(at)),
            false => drop(self.outdated.remove(&at)),
        }
    }

    /// Checks that no member admits under a former version for longer than that version's lease after the decision, nor, in a change with a
    /// barrier, while another member admits under the new version. Violations are recorded in [`Simulation::violation`].
    pub fn check_invariants(&mut self, now: Time) {
        let newest = self.newest();
        let barrier = self.rules.get(&newest).is_some_and(|rules| rules.barrier);
        for at in self.outdated.iter().copied() {
            // A stalled process admits nothing. It is checked again when it wakes up.
            if self.members[at].stalled_until > now {
                continue;
            }
            let AdmissionPermit::Admit(own) = self.permit(at) else { continue };
            if own >= newest {
                continue;
            }
            let until = self.mixed_until.entry(newest).or_insert(now);
            *until = now.max(*until);
            let lease = self.rules.get(&own).map_or(SECOND, |rules| rules.lease);
            let decided = self.decided.get(&newest).map_or(now, |decided| decided.0);
            if barrier {
                self.violation.get_or_insert(format!("m{at} admits under {own} while {newest} is active"));
            } else if now > decided + lease {
                self.violation.get_or_insert(format!(
                    "m{at} admits under {own}, {} ms after {newest} was committed",
                    (now - decided) / MS
                ));
            }
        }
    }

    /// Whether all members admit under the active version, except those that refuse it, which admit nothing.
    pub fn is_settled(&self) -> bool {
        let active = self.active_version();
        (0..self.members.len()).all(|at| match self.members[at].refuses.contains(&active) {
            false => self.permit(at) == AdmissionPermit::Admit(active),
            true => self.permit(at) == AdmissionPermit::Deny,
        })
    }
}
