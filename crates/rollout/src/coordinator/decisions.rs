//! When a member's lease has expired, when a change is committed, aborted or activated, and when it is undone.

use super::{
    position, CoordinatorEvent, CurrentChange, PendingProposal, PolicyStateMachine, RolloutCoordinator,
};
use crate::messages::Verdict;
use crate::state::{Command, PolicyState, Stage, UnreachableMembers, Version};
use crate::watch::WatchVerdict;
use crate::{truncate, MemberKey, Time, MAX_REASON_BYTES};
use cypresscleat_consensus::{Ready, Replica};
use cypresscleat_sessions::expiry::has_expired_at_leader;
use std::collections::BTreeSet;

impl<A: Copy> RolloutCoordinator<A> {
    /// Applies position changes since the last step: the active version, the pending change and its stage.
    pub(super) fn update_position<M: PolicyStateMachine>(&mut self, now: Time, replica: &Replica<M>) {
        let state = replica.state_machine().as_ref();
        let current = position(state);
        if current != self.announced {
            if current.active != self.announced.active {
                let former = state.version(self.announced.active);
                self.extend_former_lease(now, former.map(|version| version.rules.lease));
                self.watch.start(now, state.active());
            }
            if current.change != self.announced.change {
                self.prepared.clear();
                self.paused.clear();
                self.refused.clear();
            }
            self.announced = current;
            self.is_deciding = false;
            self.to_notify = state.members().keys().copied().collect();
        }
        let known = self.change.map_or(0, |change| change.number);
        if known != current.change {
            self.change =
                (current.change != 0).then_some(CurrentChange { number: current.change, since: now });
            self.count_earlier_heartbeats(state);
        }
    }

    /// Counts the verdicts that arrived before this coordinator knew of the change.
    fn count_earlier_heartbeats(&mut self, state: &PolicyState) {
        let Some(CurrentChange { number, .. }) = self.change else { return };
        let members = state.members();
        for (key, heartbeat) in self.heartbeats.iter().filter(|(key, _)| members.contains_key(key)) {
            match &heartbeat.verdict {
                Some((of, Verdict::Prepared)) if *of == number => drop(self.prepared.insert(*key)),
                Some((of, Verdict::Refused(why))) if *of == number => {
                    self.refused.insert(*key, why.clone());
                }
                _ => {}
            }
            if heartbeat.paused == number {
                self.paused.insert(*key);
            }
        }
    }

    /// Proposes to end members whose lease has expired. Under [`UnreachableMembers::Wait`] only while a change waits for the barrier.
    pub(super) fn expire_members<M: PolicyStateMachine>(
        &mut self,
        now: Time,
        replica: &mut Replica<M>,
    ) -> Ready {
        let state = replica.state_machine().as_ref();
        let rules = state.active().rules;
        if rules.unreachable == UnreachableMembers::Wait && !position(state).at_barrier {
            return Ready::default();
        }
        // A member that does not know of a version with a shorter lease yet uses the lease that it last received.
        let lease = rules.lease.max(self.longest_former_lease(now));
        let expired = self
            .by_last_contact
            .iter()
            .take_while(|(last_contact, _)| has_expired_at_leader(now, *last_contact, lease));
        let expired = expired.map(|(_, key)| *key).filter(|key| !self.ending.contains(key));
        let expired: Vec<MemberKey> = expired.collect();
        let mut ready = Ready::default();
        for key in expired {
            self.ending.insert(key);
            self.counts.expired += 1;
            let command = Command::End { key, left: false };
            ready = ready.merge(self.propose(now, replica, &command, PendingProposal::Internal));
        }
        ready
    }

    /// Proposes a decision on the pending change, if it can be decided.
    pub(super) fn decide<M: PolicyStateMachine>(&mut self, now: Time, replica: &mut Replica<M>) -> Ready {
        let Some(change) = self.change.filter(|_| !self.is_deciding) else { return Ready::default() };
        let Some(command) = self.decision(now, replica.state_machine().as_ref(), change) else {
            return Ready::default();
        };
        self.is_deciding = true;
        self.counts.decisions += 1;
        self.propose(now, replica, &command, PendingProposal::Internal)
    }

    fn decision(&self, now: Time, state: &PolicyState, change: CurrentChange) -> Option<Command> {
        let number = change.number;
        let pending = state.pending_change().filter(|pending| pending.version.number == number)?;
        let (generation, members) = (state.generation(), state.members());
        let is_complete = |set: &BTreeSet<MemberKey>| {
            // The sets contain only members, but a member may have ended since.
            set.len() >= members.len() && members.keys().all(|key| set.contains(key))
        };
        if pending.stage == Stage::Barrier {
            return is_complete(&self.paused).then_some(Command::Activate { number, generation });
        }
        let abort = |reason: String| {
            let reason = truncate(&reason, MAX_REASON_BYTES);
            Some(Command::Decide { number, generation, commit: false, reason })
        };
        let refusal = self.refused.iter().find_map(|(key, why)| Some((members.get(key)?, why)));
        if let Some((name, why)) = refusal {
            return abort(format!("{name}: {why}"));
        }
        let is_late = now - change.since > state.active().rules.decision_timeout;
        let is_forced = (self.safeguards.ignore_generation && !self.prepared.is_empty())
            || (self.safeguards.commit_on_timeout && is_late);
        if is_complete(&self.prepared) || is_forced {
            return Some(Command::Decide { number, generation, commit: true, reason: String::new() });
        }
        if !is_late {
            return None;
        }
        let unprepared = members.iter().filter(|(key, _)| !self.prepared.contains(key));
        let unprepared: Vec<&str> = unprepared.map(|(_, name)| name.as_str()).collect();
        abort(format!("{} did not answer in time: {}", unprepared.len(), unprepared.join(" ")))
    }

    /// Reverts a version that did harm, once. A version that reverts another is not watched.
    pub(super) fn act_on_watch<M: PolicyStateMachine>(
        &mut self,
        now: Time,
        replica: &mut Replica<M>,
        number: u64,
        verdict: WatchVerdict,
    ) -> Ready {
        self.events.push(CoordinatorEvent::WatchEnded { number, verdict: verdict.clone() });
        let WatchVerdict::Harm(figures) = verdict else { return Ready::default() };
        let state = replica.state_machine().as_ref();
        let active = state.active();
        let Some(parent) = state.version(active.parent).filter(|_| active.number == number) else {
            return Ready::default();
        };
        let version = Version {
            number: 0,
            parent: number,
            by: "watch".into(),
            at_ms: number,
            why: truncate(&format!("undoes {number}: {figures}"), MAX_REASON_BYTES),
            undoes: true,
            ..parent.clone()
        };
        self.propose(now, replica, &Command::Propose(version), PendingProposal::Internal)
    }
}
