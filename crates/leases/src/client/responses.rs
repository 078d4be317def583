//! Handling of the replicas' responses at a client.

use super::{LeaseClient, LeaseEvent, Outgoing, OwnedPartition};
use crate::expiry::holder_lease_end;
use crate::messages::{Grant, Response};
use crate::{GrantPosition, NodeId, Time};

/// Minimum lease that a client uses, so that its fractions are not 0.
const MIN_LEASE: Time = 8;

/// The grants of one message in their order, and the position that they follow.
struct Grants {
    after: GrantPosition,
    grants: Vec<Grant>,
    has_more: bool,
}

impl LeaseClient {
    /// Handles a response of the replica `from`.
    pub fn handle(&mut self, now: Time, from: NodeId, response: Response) -> Outgoing {
        if !response.is_within_bounds() {
            return Vec::new();
        }
        match response {
            Response::Renewed { session, number, lease, after, grants, more } => {
                let Some(sent_at) = self.pending_renewals.sent_at(number) else { return Vec::new() };
                if self.is_leaving || (self.session != 0 && self.session != session) {
                    return Vec::new();
                }
                self.session = session;
                self.record_response(from);
                self.handle_renewed(now, sent_at, lease, Grants { after, grants, has_more: more })
            }
            Response::Granted { session, after, grants } if self.is_current(session) => {
                if now < self.lease_ends_at && !self.is_leaving {
                    self.apply_grants(Grants { after, grants, has_more: false });
                }
                Vec::new()
            }
            Response::SessionExpired { session } if self.is_current(session) => {
                self.handle_session_expired(now, from)
            }
            Response::Done { number, applied } => self.handle_done(now, number, applied),
            Response::NotLeader { leader } => self.handle_not_leader(now, from, leader),
            _ => Vec::new(),
        }
    }

    fn is_current(&self, session: u64) -> bool {
        session == self.session && session != 0
    }

    fn handle_renewed(&mut self, now: Time, sent_at: Time, lease: Time, grants: Grants) -> Outgoing {
        self.lease = lease.max(MIN_LEASE);
        self.lease_ends_at = self.lease_ends_at.max(holder_lease_end(sent_at, lease));
        let has_more = grants.has_more;
        let period = lease / 4;
        self.next_renewal = if has_more { now } else { sent_at.max(now - period) + period };
        if now < self.lease_ends_at {
            self.apply_grants(grants);
        }
        if has_more {
            return self.tick(now);
        }
        self.send_operations(now)
    }

    fn handle_session_expired(&mut self, now: Time, from: NodeId) -> Outgoing {
        self.lose_all();
        self.session = 0;
        self.lease_ends_at = Time::MIN;
        let unsaved = self.operations.drain(..);
        let unsaved = unsaved.map(|(ticket, _)| LeaseEvent::CursorSaved { ticket, accepted: false });
        self.events.extend(unsaved);
        self.sent_operations = None;
        self.next_renewal = now;
        self.record_response(from);
        self.tick(now)
    }

    /// Bit `i` of `applied` tells whether operation `i` of the request is in effect.
    fn handle_done(&mut self, now: Time, number: u32, applied: u64) -> Outgoing {
        if self.is_leaving {
            // Responses to requests sent before the first `Leave` are ignored.
            let is_for_leave = |first: u32| number.wrapping_sub(first) < u32::MAX / 2;
            if self.first_leave_number.is_some_and(is_for_leave) {
                self.session = 0;
            }
            return Vec::new();
        }
        let Some(sent) = self.sent_operations.take_if(|sent| sent.number == number) else {
            return Vec::new();
        };
        for position in 0..sent.count {
            let Some((ticket, _)) = self.operations.pop_front() else { break };
            let accepted = applied >> position & 1 == 1;
            self.events.push_back(LeaseEvent::CursorSaved { ticket, accepted });
        }
        self.send_operations(now)
    }

    /// Sends the request again to the leader. A redirect does not count as unanswered.
    fn handle_not_leader(&mut self, now: Time, from: NodeId, leader: NodeId) -> Outgoing {
        if !self.replicas.follow_redirect(from, leader) {
            return Vec::new();
        }
        if self.is_leaving {
            self.next_renewal = now;
            self.unanswered_renewals = 0;
            return self.tick(now);
        }
        let mut requests = self.renew(now);
        self.sent_operations = None;
        requests.extend(self.send_operations(now));
        requests
    }

    fn record_response(&mut self, from: NodeId) {
        self.unanswered_renewals = 0;
        self.replicas.select(from);
    }

    /// Applies grants that follow the last known position. Where grants in between are missing, the next renewal returns all of them.
    fn apply_grants(&mut self, grants: Grants) {
        if grants.after > self.last_seen_grant {
            return;
        }
        for grant in grants.grants {
            self.last_seen_grant = self.last_seen_grant.max((grant.token, grant.partition));
            self.apply_grant(grant);
        }
    }

    fn apply_grant(&mut self, grant: Grant) {
        let Grant { partition, token, cursor, release_requested } = grant;
        match self.owned.get_mut(&partition) {
            Some(owned) if owned.token == token => {
                if release_requested && !owned.release_requested {
                    owned.release_requested = true;
                    self.events.push_back(LeaseEvent::ReleaseRequested { partition });
                }
            }
            Some(owned) if owned.token > token => {}
            _ if self.released.get(&partition).is_some_and(|released| *released >= token) => {}
            _ => {
                let owned = OwnedPartition { token, release_requested };
                if let Some(former) = self.owned.insert(partition, owned) {
                    self.events.push_back(LeaseEvent::Lost { partition, token: former.token });
                }
                self.events.push_back(LeaseEvent::Acquired { partition, token, cursor });
                if release_requested {
                    self.events.push_back(LeaseEvent::ReleaseRequested { partition });
                }
            }
        }
    }
}
