//! Handles the responses of replicas at a member.

use super::{Fetch, MemberEvent, Outgoing, RolloutMember, CHECK_TIME};
use crate::expiry::holder_lease_end;
use crate::messages::Response;
use crate::state::Version;
use crate::{NodeId, Time};

/// A heartbeat that was answered.
#[derive(Clone, Copy)]
struct AnsweredHeartbeat {
    number: u32,
    sent_at: Time,
}

/// The leader's values from [`Response::Renewed`].
#[derive(Clone, Copy)]
struct Renewed {
    /// `None` for a lease without an end; 0 for no lease on this version.
    lease: Option<Time>,
    /// The active version.
    version: u64,
    /// A change to check; 0 for none.
    check: u64,
    /// A change for which the member stops admitting; 0 for none.
    pause: u64,
}

impl RolloutMember {
    /// Handles a response of the replica `from`.
    pub fn handle(&mut self, now: Time, from: NodeId, response: Response) -> Outgoing {
        if !response.is_within_bounds() || self.has_left {
            return Vec::new();
        }
        match response {
            Response::Renewed { key, number, lease, period, version, check, pause } if key == self.key => {
                let renewed = Renewed { lease, version, check, pause };
                if self.is_leaving {
                    return Vec::new();
                }
                let Some(sent_at) = self.pending_heartbeats.sent_at(number) else {
                    self.handle_forgotten_heartbeat(number, renewed);
                    return Vec::new();
                };
                self.record_response(from);
                self.wants_to_join = false;
                self.round_trip = now - sent_at;
                self.period = period;
                self.next_heartbeat = sent_at.max(now - period) + period;
                self.handle_renewed(now, AnsweredHeartbeat { number, sent_at }, renewed)
            }
            Response::MembershipExpired { key } if key == self.key && !self.is_leaving => {
                self.handle_membership_expired(now, from)
            }
            Response::Document { version: Some(version), .. } => self.handle_document(now, version),
            Response::Document { version: None, .. } => {
                self.fetch = None;
                self.heartbeat_soon(now)
            }
            Response::Done { number } if self.is_leaving => {
                // Responses to requests from before the first `Leave` do not count.
                self.has_left = number.wrapping_sub(self.first_leave_number) < u32::MAX / 2;
                Vec::new()
            }
            Response::Changed => {
                // The sender receives the next heartbeat: it may wait for this member, even if the last one went to another replica.
                if !self.imitates_earlier_version {
                    self.record_response(from);
                }
                self.heartbeat_soon(now)
            }
            Response::NotLeader { leader } => self.handle_not_leader(now, from, leader),
            _ => Vec::new(),
        }
    }

    fn record_response(&mut self, from: NodeId) {
        self.unanswered = 0;
        self.replicas.select(from);
    }

    /// The member's lease has ended at the leader, so earlier responses are no longer valid.
    fn handle_membership_expired(&mut self, now: Time, from: NodeId) -> Outgoing {
        self.deactivate();
        self.lease_ends_at = Time::MIN;
        self.wants_to_join = true;
        self.paused = 0;
        self.vote = None;
        self.pending_heartbeats.clear();
        self.record_response(from);
        self.heartbeat_soon(now)
    }

    fn handle_document(&mut self, now: Time, version: Box<Version>) -> Outgoing {
        let number = version.number;
        let is_expected = self.fetch.is_some_and(|fetch| fetch.number == number);
        if is_expected && self.verdict(number).is_none() {
            self.fetch = Some(Fetch { number, retry_at: now + CHECK_TIME });
            self.events.push_back(MemberEvent::Check { version });
        }
        Vec::new()
    }

    fn handle_not_leader(&mut self, now: Time, from: NodeId, leader: NodeId) -> Outgoing {
        if !self.replicas.follow_redirect(from, leader) {
            return Vec::new();
        }
        let redirects_followed = self.replicas.redirects_followed();
        let requests = self.heartbeat_soon(now);
        self.replicas.set_redirects_followed(redirects_followed);
        requests
    }

    /// Applies the leader's values. Values older than those already known are ignored.
    fn handle_renewed(&mut self, now: Time, answered: AnsweredHeartbeat, renewed: Renewed) -> Outgoing {
        if renewed.version < self.target {
            return Vec::new();
        }
        self.target = renewed.version;
        self.check = renewed.check;
        self.has_no_lease_on_target = renewed.lease == Some(0);
        self.end_pause(renewed);
        self.end_vote(answered, renewed);
        self.extend_lease(answered.sent_at, renewed);
        let mut requests = self.begin_pause(now, renewed);
        self.activate_if_ready(now);
        requests.extend(self.fetch_missing_document(now));
        // A vote that is ready is sent without waiting for the next period.
        let is_voted = self.vote.is_some_and(|vote| vote.change == renewed.check);
        if renewed.check > renewed.version && !is_voted && self.is_prepared(renewed.check) {
            requests.extend(self.heartbeat_soon(now));
        }
        requests
    }

    /// Ends the pause once the change that stopped all members is active. The former version must not be used again. Where the new version
    /// is not stored here, or there is no lease on it yet, the member admits nothing.
    fn end_pause(&mut self, renewed: Renewed) {
        if self.paused == 0 || self.paused > renewed.version {
            return;
        }
        self.paused = 0;
        if !self.is_prepared(renewed.version) || self.has_no_lease_on_target {
            self.deactivate();
        }
    }

    /// Ends a vote once the change is active, or once the response to a heartbeat that carried the vote, or to a later one, does not name the
    /// change.
    fn end_vote(&mut self, answered: AnsweredHeartbeat, renewed: Renewed) {
        let Some(vote) = self.vote else { return };
        let is_aborted = vote.change != renewed.check && answered.number >= vote.first_heartbeat;
        if is_aborted || vote.change <= renewed.version {
            self.vote = None;
        }
    }

    /// Handles a response that is so late that its heartbeat is no longer remembered. It renews nothing and proposes nothing. An aborted
    /// change, however, is final: voting for it again would be a new vote, which the members that this member represents have not given.
    fn handle_forgotten_heartbeat(&mut self, number: u32, renewed: Renewed) {
        let Some(vote) = self.vote else { return };
        let is_answer = (vote.first_heartbeat..=self.last_request_number).contains(&number);
        let is_aborted = vote.change != renewed.check && vote.change > renewed.version;
        if is_answer && is_aborted {
            self.vote = None;
            if self.check == vote.change {
                self.check = 0;
            }
        }
    }

    /// Extends the lease, counted from the time the heartbeat was sent.
    ///
    /// A relay that has voted or stopped for all of its members grants no lease to a member that switched from another relay until that
    /// member has done the same. Neither that response nor the member's own vote ends the lease that the member holds.
    fn extend_lease(&mut self, sent_at: Time, renewed: Renewed) {
        if !self.has_no_lease_on_target {
            self.lease = renewed.lease.unwrap_or(4 * self.period);
        }
        let bound = holder_lease_end(sent_at, self.lease);
        let is_endless = renewed.lease.is_none() && self.vote.is_none();
        let end = if is_endless { Time::MAX } else { bound };
        self.lease_ends_at = match self.active {
            // A member that started alone has no lease that the leader knows of. Its lease has an end from here on.
            Some(_) if self.has_no_lease_on_target && self.lease_ends_at == Time::MAX => bound,
            Some(_) if self.has_no_lease_on_target => self.lease_ends_at,
            Some(active) if active == renewed.version && (is_endless || self.lease_ends_at == Time::MAX) => {
                end
            }
            Some(active) if active == renewed.version => self.lease_ends_at.max(end),
            // The member switches to the new version.
            Some(_) if self.is_prepared(renewed.version) => end,
            // The member continues under the former version until that lease ends or the new version is stored here. The lease gets an end,
            // even if it had none.
            Some(_) => self.lease_ends_at.min(bound),
            None if self.has_no_lease_on_target => sent_at,
            None => end,
        };
    }

    fn begin_pause(&mut self, now: Time, renewed: Renewed) -> Outgoing {
        if renewed.pause <= renewed.version || self.paused == renewed.pause {
            return Vec::new();
        }
        self.paused = renewed.pause;
        if self.active.is_some() {
            self.events.push_back(MemberEvent::Paused { change: renewed.pause });
        }
        self.heartbeat_soon(now)
    }

    /// Fetches the active version first, then the proposed one.
    fn fetch_missing_document(&mut self, now: Time) -> Outgoing {
        let needed = [self.target, self.check]
            .into_iter()
            .find(|number| *number != 0 && self.verdict(*number).is_none());
        match needed {
            Some(number) if self.fetch.is_none_or(|fetch| fetch.number != number) => {
                self.fetch_document(now, number)
            }
            _ => Vec::new(),
        }
    }
}
