//! A simulated member: its process, its clock and its disk.

use super::{Simulation, FIRST_MEMBER_ID};
use crate::member::{MemberEvent, RolloutMember};
use crate::messages::{Response, Verdict};
use crate::{NodeId, Time};
use std::collections::BTreeSet;

/// A member's process, its clock, and its disk, which survives the process.
pub struct SimulatedMember {
    /// The member; `None` while the process is not running.
    pub member: Option<RolloutMember>,
    pub(super) name: String,
    pub(super) incarnations: u64,
    /// The process is stalled until this time.
    pub stalled_until: Time,
    /// Clock drift in thousandths. A positive value means that the clock runs fast.
    pub clock_rate: i64,
    /// Offset of the member's clock from the simulation's time.
    pub clock_offset: Time,
    /// Versions on the member's disk.
    stored: BTreeSet<u64>,
    /// Checks in progress: the end time and the version of each.
    checks: Vec<(Time, u64)>,
    /// Messages that the process has not handled yet.
    pub(super) inbox: Vec<(NodeId, Response)>,
    /// Versions that the member refuses.
    pub refuses: BTreeSet<u64>,
    /// The member was told to leave.
    pub is_drained: bool,
}

impl SimulatedMember {
    /// Creates the member at a position, without starting its process.
    pub(super) fn new(at: usize) -> SimulatedMember {
        SimulatedMember {
            member: None,
            name: format!("m{at}"),
            incarnations: 0,
            stalled_until: 0,
            clock_rate: 0,
            clock_offset: 0,
            stored: BTreeSet::new(),
            checks: Vec::new(),
            inbox: Vec::new(),
            refuses: BTreeSet::new(),
            is_drained: false,
        }
    }
}

impl Simulation {
    /// The time that a member's clock shows now.
    pub(super) fn clock(&self, at: usize) -> Time {
        let process = &self.members[at];
        self.consensus.now + self.consensus.now * process.clock_rate / 1000 + process.clock_offset
    }

    /// The simulation's time at which a member's clock shows `time`.
    pub(super) fn time_when_clock_shows(&self, at: usize, time: Time) -> Time {
        let process = &self.members[at];
        if time >= Time::MAX / 4 {
            return Time::MAX;
        }
        let mut when = (time - process.clock_offset) * 1000 / (1000 + process.clock_rate);
        while when + when * process.clock_rate / 1000 + process.clock_offset < time {
            when += 1;
        }
        when
    }

    /// Starts a member's process as a new incarnation.
    pub fn start(&mut self, at: usize) {
        self.members[at].incarnations += 1;
        let now = self.clock(at);
        let replicas = (0..self.config.replicas).map(|replica| replica as NodeId + 1).collect();
        let safeguards = self.config.member;
        let process = &mut self.members[at];
        let mut member = RolloutMember::new(
            now,
            &process.name,
            (FIRST_MEMBER_ID + at as NodeId, process.incarnations),
            replicas,
        );
        member.safeguards = safeguards;
        process.stored.iter().for_each(|number| member.restore(*number));
        (process.member, process.stalled_until, process.is_drained) = (Some(member), 0, false);
        process.inbox.clear();
        process.checks.clear();
        self.invalidate_schedule(at);
    }

    /// Marks a member for scheduling at the start of the next run.
    pub(super) fn invalidate_schedule(&mut self, at: usize) {
        if let Some(scheduled) = self.scheduled_with.get_mut(at) {
            *scheduled = None;
        }
    }

    /// Schedules members that are new or whose process or clock settings have changed.
    pub(super) fn reschedule_changed(&mut self) {
        self.wake_at.resize(self.members.len(), Time::MAX);
        self.scheduled_with.resize(self.members.len(), None);
        for at in 0..self.members.len() {
            let process = &self.members[at];
            if self.scheduled_with[at]
                != Some((process.stalled_until, process.clock_rate, process.clock_offset))
            {
                self.schedule(at);
            }
        }
    }

    /// Kills a member's process.
    pub fn kill(&mut self, at: usize) {
        let process = &mut self.members[at];
        process.member = None;
        process.inbox.clear();
        process.checks.clear();
        self.invalidate_schedule(at);
    }

    /// Kills a member's process and erases its disk.
    pub fn lose_disk(&mut self, at: usize) {
        self.kill(at);
        self.members[at].stored.clear();
    }

    /// Stalls a member's process for the given time. Messages wait in its inbox.
    pub fn stall(&mut self, at: usize, time: Time) {
        self.members[at].stalled_until = self.consensus.now + time;
        self.schedule(at);
    }

    /// Makes a member leave the rollout.
    pub fn drain(&mut self, at: usize) {
        let now = self.clock(at);
        self.members[at].is_drained = true;
        let requests = self.members[at].member.as_mut().map(|member| member.leave(now));
        self.send_requests(at, requests.unwrap_or_default());
        self.handle_member_events(at);
    }

    /// Handles the events of a member's step.
    pub(super) fn handle_member_events(&mut self, at: usize) {
        let now = self.consensus.now;
        let check_time = self.config.check_time;
        let Some(member) = self.members[at].member.as_mut() else { return self.schedule(at) };
        let events: Vec<MemberEvent> = member.events().collect();
        for event in events {
            match event {
                MemberEvent::Check { version, .. } => {
                    self.members[at].checks.push((now + check_time, version.number))
                }
                MemberEvent::Activated { number } => {
                    self.record_activation(at, number);
                }
                MemberEvent::LeaseExpired { .. } | MemberEvent::Paused { .. } => {}
            }
        }
        self.schedule(at);
    }

    /// Schedules the next wake-up of a member.
    pub(super) fn schedule(&mut self, at: usize) {
        let process = &self.members[at];
        let next = process.member.as_ref().map_or(Time::MAX, |member| {
            let check = process.checks.iter().map(|check| check.0).min().unwrap_or(Time::MAX);
            let next_response = if process.inbox.is_empty() { Time::MAX } else { 0 };
            self.time_when_clock_shows(at, member.next_deadline())
                .min(check)
                .min(next_response)
                .max(process.stalled_until)
        });
        self.scheduled_with[at] = Some((process.stalled_until, process.clock_rate, process.clock_offset));
        self.update_outdated(at);
        let previous = std::mem::replace(&mut self.wake_at[at], next);
        if previous == next && self.wake_queue.contains(&(next, at)) {
            return;
        }
        self.wake_queue.remove(&(previous, at));
        self.wake_queue.insert((next, at));
    }

    /// Wakes a member. Like a process that resumes, it handles its timers first, then the messages in its inbox and the finished checks.
    pub(super) fn wake(&mut self, now: Time, at: usize) {
        let clock = self.clock(at);
        let mut requests = Vec::new();
        let inbox = std::mem::take(&mut self.members[at].inbox);
        let finished: Vec<u64> = {
            let checks = &mut self.members[at].checks;
            let finished = checks.iter().filter(|check| check.0 <= now).map(|check| check.1).collect();
            checks.retain(|check| check.0 > now);
            finished
        };
        let process = &mut self.members[at];
        let Some(member) = process.member.as_mut() else { return self.schedule(at) };
        requests.extend(member.tick(clock));
        for (from, response) in inbox {
            requests.extend(member.handle(clock, from, response));
        }
        for number in finished {
            let verdict = match process.refuses.contains(&number) {
                true => Verdict::Refused("line 1: no such thing".into()),
                false => Verdict::Prepared,
            };
            if verdict == Verdict::Prepared {
                process.stored.insert(number);
            }
            requests.extend(member.record_verdict(clock, number, verdict));
        }
        self.send_requests(at, requests);
        self.handle_member_events(at);
    }
}
