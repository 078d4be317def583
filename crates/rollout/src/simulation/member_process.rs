//! A member of the simulation: its process, its clock, its disk.

use super::{Simulation, FIRST_MEMBER_ID};
use crate::member::{MemberEvent, RolloutMember};
use crate::messages::{Response, Verdict};
use crate::{NodeId, Time};
use std::collections::BTreeSet;

/// A member's process, its clock and its disk, which survives it.
pub struct SimulatedMember {
    /// The member; `None` while the process is dead.
    pub member: Option<RolloutMember>,
    pub(super) name: String,
    pub(super) incarnations: u64,
    /// The process stands still until then.
    pub stopped: Time,
    /// Thousandths by which its clock runs fast or, where negative, slow.
    pub rate: i64,
    /// How far its clock is ahead.
    pub ahead: Time,
    /// Versions on its disk.
    kept: BTreeSet<u64>,
    /// Checks under way: when they end, and of what.
    checks: Vec<(Time, u64)>,
    /// Messages that wait for the process.
    pub(super) inbox: Vec<(NodeId, Response)>,
    /// Versions that it refuses.
    pub refuses: BTreeSet<u64>,
    /// It was told to leave.
    pub drained: bool,
}

impl SimulatedMember {
    /// The member at a position; its process is not started.
    pub(super) fn new(at: usize) -> SimulatedMember {
        SimulatedMember {
            member: None,
            name: format!("m{at}"),
            incarnations: 0,
            stopped: 0,
            rate: 0,
            ahead: 0,
            kept: BTreeSet::new(),
            checks: Vec::new(),
            inbox: Vec::new(),
            refuses: BTreeSet::new(),
            drained: false,
        }
    }
}

impl Simulation {
    /// What a member's clock shows now.
    pub(super) fn clock(&self, at: usize) -> Time {
        let one = &self.members[at];
        self.consensus.now + self.consensus.now * one.rate / 1000 + one.ahead
    }

    /// When its clock shows `time`.
    pub(super) fn time_when_clock_shows(&self, at: usize, time: Time) -> Time {
        let one = &self.members[at];
        if time >= Time::MAX / 4 {
            return Time::MAX;
        }
        let mut when = (time - one.ahead) * 1000 / (1000 + one.rate);
        while when + when * one.rate / 1000 + one.ahead < time {
            when += 1;
        }
        when
    }

    /// Starts a member's process, in a new incarnation.
    pub fn start(&mut self, at: usize) {
        self.members[at].incarnations += 1;
        let now = self.clock(at);
        let replicas = (0..self.config.replicas).map(|replica| replica as NodeId + 1).collect();
        let safeguards = self.config.member;
        let one = &mut self.members[at];
        let mut member =
            RolloutMember::new(now, &one.name, (FIRST_MEMBER_ID + at as NodeId, one.incarnations), replicas);
        member.safeguards = safeguards;
        one.kept.iter().for_each(|number| member.restore(*number));
        (one.member, one.stopped, one.drained) = (Some(member), 0, false);
        one.inbox.clear();
        one.checks.clear();
        self.invalidate_schedule(at);
    }

    /// It is scheduled anew where the next run begins.
    pub(super) fn invalidate_schedule(&mut self, at: usize) {
        if let Some(planned) = self.scheduled_with.get_mut(at) {
            *planned = None;
        }
    }

    /// Schedules members that are new or were set to something else.
    pub(super) fn schedule_changed(&mut self) {
        self.wake_at.resize(self.members.len(), Time::MAX);
        self.scheduled_with.resize(self.members.len(), None);
        for at in 0..self.members.len() {
            let one = &self.members[at];
            if self.scheduled_with[at] != Some((one.stopped, one.rate, one.ahead)) {
                self.schedule(at);
            }
        }
    }

    /// Kills a member's process.
    pub fn kill(&mut self, at: usize) {
        let one = &mut self.members[at];
        one.member = None;
        one.inbox.clear();
        one.checks.clear();
        self.invalidate_schedule(at);
    }

    /// Kills a member's process, and empties its disk.
    pub fn lose_disk(&mut self, at: usize) {
        self.kill(at);
        self.members[at].kept.clear();
    }

    /// Stops a member's process for so long; messages wait for it.
    pub fn stop(&mut self, at: usize, time: Time) {
        self.members[at].stopped = self.consensus.now + time;
        self.schedule(at);
    }

    /// The member leaves by itself.
    pub fn drain(&mut self, at: usize) {
        let now = self.clock(at);
        self.members[at].drained = true;
        let requests = self.members[at].member.as_mut().map(|member| member.leave(now));
        self.post_requests(at, requests.unwrap_or_default());
        self.after_member(at);
    }

    /// Follows the events of a member's step.
    pub(super) fn after_member(&mut self, at: usize) {
        let now = self.consensus.now;
        let check = self.config.check;
        let Some(member) = self.members[at].member.as_mut() else { return self.schedule(at) };
        let events: Vec<MemberEvent> = member.events().collect();
        for event in events {
            match event {
                MemberEvent::Check { version, .. } => {
                    self.members[at].checks.push((now + check, version.number))
                }
                MemberEvent::Activated { number } => {
                    self.record_activation(at, number);
                }
                MemberEvent::LeaseExpired { .. } | MemberEvent::Paused { .. } => {}
            }
        }
        self.schedule(at);
    }

    /// Plans when a member has something to do next.
    pub(super) fn schedule(&mut self, at: usize) {
        let one = &self.members[at];
        let next = one.member.as_ref().map_or(Time::MAX, |member| {
            let check = one.checks.iter().map(|check| check.0).min().unwrap_or(Time::MAX);
            let letter = if one.inbox.is_empty() { Time::MAX } else { 0 };
            self.time_when_clock_shows(at, member.next_deadline()).min(check).min(letter).max(one.stopped)
        });
        self.scheduled_with[at] = Some((one.stopped, one.rate, one.ahead));
        self.update_behind(at);
        let had = std::mem::replace(&mut self.wake_at[at], next);
        if had == next && self.wake_queue.contains(&(next, at)) {
            return;
        }
        self.wake_queue.remove(&(had, at));
        self.wake_queue.insert((next, at));
    }

    /// A member does what is due: as a process that wakes, its own time first, then what waits for it.
    pub(super) fn wake(&mut self, now: Time, at: usize) {
        let clock = self.clock(at);
        let mut requests = Vec::new();
        let inbox = std::mem::take(&mut self.members[at].inbox);
        let due: Vec<u64> = {
            let checks = &mut self.members[at].checks;
            let due = checks.iter().filter(|check| check.0 <= now).map(|check| check.1).collect();
            checks.retain(|check| check.0 > now);
            due
        };
        let one = &mut self.members[at];
        let Some(member) = one.member.as_mut() else { return self.schedule(at) };
        requests.extend(member.tick(clock));
        for (from, response) in inbox {
            requests.extend(member.handle(clock, from, response));
        }
        for number in due {
            let verdict = match one.refuses.contains(&number) {
                true => Verdict::Refused("line 1: no such thing".into()),
                false => Verdict::Prepared,
            };
            if verdict == Verdict::Prepared {
                one.kept.insert(number);
            }
            requests.extend(member.record_verdict(clock, number, verdict));
        }
        self.post_requests(at, requests);
        self.after_member(at);
    }
}
