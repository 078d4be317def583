//! Handling of the requests of instances and operators at the leader.

use super::{
    LeaseManager, LeaseStateMachine, PendingProposal, PendingRenewal, Responses, Subscriber, MAX_PENDING,
};
use crate::messages::{Operation, Request, Response};
use crate::state::Command;
use crate::{Claim, GrantPosition, NodeId, Partition, Time};
use cypresscleat_consensus::{Ready, Replica};
use cypresscleat_sessions::leader::confirmation_round;

/// The fields of [`Request::Renew`].
struct Renewal {
    instance: NodeId,
    incarnation: u64,
    session: u64,
    number: u32,
    last_seen_grant: GrantPosition,
    claims: Vec<Claim>,
}

impl<A: Copy> LeaseManager<A> {
    /// Handles a request that arrived from the address `from`.
    pub fn handle<M: LeaseStateMachine>(
        &mut self,
        now: Time,
        replica: &mut Replica<M>,
        from: A,
        request: Request,
    ) -> (Ready, Responses<A>) {
        if !request.is_within_bounds() {
            return (Ready::default(), Vec::new());
        }
        let round = match confirmation_round(replica) {
            Ok(round) => round,
            Err(leader) => return (Ready::default(), vec![(from, Response::NotLeader { leader })]),
        };
        self.refresh_term(now, replica);
        if self.pending_renewals.len() + self.proposals.len() >= MAX_PENDING {
            return (Ready::default(), Vec::new());
        }
        let mut responses = Vec::new();
        let ready = match request {
            Request::Renew { instance, incarnation, session, number, last_seen_grant, claims } => {
                let renewal = Renewal { instance, incarnation, session, number, last_seen_grant, claims };
                self.handle_renew(now, replica, (round, from), renewal, &mut responses)
            }
            Request::Apply { session, number, operations } => {
                self.record_cursors(now, &operations);
                let command = Command::Apply { session, operations };
                self.propose(now, replica, &command, PendingProposal::Reply { from, number })
            }
            Request::Leave { session, number } => {
                let command = Command::EndSession { session };
                self.propose(now, replica, &command, PendingProposal::Reply { from, number })
            }
            Request::Exclude { number, task, instance, excluded } => {
                let command = Command::Exclude { task, instance, excluded };
                self.propose(now, replica, &command, PendingProposal::Reply { from, number })
            }
            Request::List { number, from: first } => {
                responses.push((from, self.list(now, replica, number, first)));
                Ready::default()
            }
        };
        let (added, polled) = self.poll(now, replica, Vec::new());
        responses.extend(polled);
        (ready.merge(added), responses)
    }

    /// `round` is the heartbeat round that has to be confirmed before the response to a renewal that arrives now.
    fn handle_renew<M: LeaseStateMachine>(
        &mut self,
        now: Time,
        replica: &mut Replica<M>,
        (round, from): (u64, A),
        renewal: Renewal,
        responses: &mut Responses<A>,
    ) -> Ready {
        let Renewal { instance, incarnation, session, number, last_seen_grant, claims } = renewal;
        if session == 0 {
            let opening = (instance, incarnation);
            if !self.opening.insert(opening) {
                return Ready::default();
            }
            let command = Command::OpenSession { instance, incarnation, claims };
            return self.propose(
                now,
                replica,
                &command,
                PendingProposal::OpenSession { from, number, opening },
            );
        }
        if replica.state_machine().as_ref().instance(session) != Some(instance) {
            responses.push((from, Response::SessionExpired { session }));
        } else if !self.ending.contains(&session) {
            self.last_renewals.insert(session, now);
            self.subscribers.insert(session, Subscriber { address: from, last_seen_grant });
            self.pending_renewals.push(round, PendingRenewal { from, session, number });
        }
        Ready::default()
    }

    fn record_cursors(&mut self, now: Time, operations: &[Operation]) {
        for operation in operations {
            if let Operation::SaveCursor { partition, .. } = operation {
                self.cursor_moved_at.insert(*partition, now);
            }
        }
    }

    fn list<M: LeaseStateMachine>(
        &self,
        now: Time,
        replica: &Replica<M>,
        number: u32,
        first: Partition,
    ) -> Response {
        let (owned, more) = replica.state_machine().as_ref().list_partitions(first);
        let partitions = owned.into_iter().map(|(session, mut status)| {
            let lease_end = self.last_renewals.get(&session).map(|renewed_at| renewed_at + self.lease);
            status.lease_left = lease_end.map_or(0, |end| (end - now).max(0));
            status.cursor_age = self.cursor_moved_at.get(&status.partition).map_or(-1, |at| now - at);
            status
        });
        Response::Partitions { number, partitions: partitions.collect(), more }
    }
}
