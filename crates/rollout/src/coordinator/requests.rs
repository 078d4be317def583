//! Handles the requests of members and operators at the leader.

use super::{
    LastHeartbeat, PendingHeartbeat, PendingProposal, PolicyStateMachine, Responses, RolloutCoordinator,
    MAX_WAITING,
};
use crate::messages::{MemberStatus, Request, Response, Verdict};
use crate::state::{Command, Version};
use crate::watch::ServiceTotals;
use crate::{truncate, MemberKey, Time, MAX_MEMBERS_PER_MESSAGE, MAX_NAME_BYTES};
use cypresscleat_consensus::{Ready, Replica};
use cypresscleat_sessions::leader::confirmation_round;

/// Maximum number of members in one status response.
const MAX_MEMBERS_PER_STATUS: usize = MAX_MEMBERS_PER_MESSAGE / 4;

/// The fields of [`Request::Heartbeat`].
struct Heartbeat {
    key: MemberKey,
    name: String,
    joins: bool,
    number: u32,
    verdict: Option<(u64, Verdict)>,
    paused: u64,
    active: u64,
    totals: ServiceTotals,
}

impl<A: Copy> RolloutCoordinator<A> {
    /// Handles a request that arrived from the address `from`.
    pub fn handle<M: PolicyStateMachine>(
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
        if self.waiting.len() + self.proposals.len() >= MAX_WAITING {
            return (Ready::default(), Vec::new());
        }
        let mut responses = Vec::new();
        let ready = match request {
            Request::Heartbeat { key, name, joins, number, verdict, paused, active, totals } => {
                let heartbeat = Heartbeat { key, name, joins, number, verdict, paused, active, totals };
                self.handle_heartbeat(now, replica, (round, from), heartbeat, &mut responses)
            }
            Request::FetchDocument { number, version } => {
                self.counts.fetched += 1;
                let version = replica.state_machine().as_ref().version(version).cloned().map(Box::new);
                responses.push((from, Response::Document { number, version }));
                Ready::default()
            }
            Request::Leave { key, number } => {
                let command = Command::End { key, left: true };
                self.propose(now, replica, &command, PendingProposal::Reply { from, number })
            }
            Request::Propose { number, version } => {
                let command = Command::Propose(Version { undoes: false, ..version });
                self.propose(now, replica, &command, PendingProposal::Reply { from, number })
            }
            Request::Forget { number, member } => {
                let command = Command::Forget { member };
                self.propose(now, replica, &command, PendingProposal::Reply { from, number })
            }
            Request::Status { number, from: first } => {
                responses.push((from, self.status(now, replica, number, first)));
                Ready::default()
            }
            Request::History { number } => {
                responses.push((from, history(replica, number)));
                Ready::default()
            }
        };
        let (more, poll_responses) = self.poll(now, replica, Vec::new());
        responses.extend(poll_responses);
        (ready.merge(more), responses)
    }

    /// Handles a heartbeat. `round` is the confirmation round that a heartbeat arriving now waits for.
    fn handle_heartbeat<M: PolicyStateMachine>(
        &mut self,
        now: Time,
        replica: &mut Replica<M>,
        (round, from): (u64, A),
        heartbeat: Heartbeat,
        responses: &mut Responses<A>,
    ) -> Ready {
        let Heartbeat { key, name, joins, number, verdict, paused, active, totals } = heartbeat;
        if self.ending.contains(&key) {
            return Ready::default(); // the member joins again once it knows that its membership ended
        }
        if replica.state_machine().as_ref().members().contains_key(&key) {
            self.watch.record(now, key, totals);
            self.renew(key, now);
            self.count_verdict(key, verdict.as_ref(), paused);
            self.heartbeats.insert(key, LastHeartbeat { at: now, from, verdict, paused, active });
            self.waiting.push(round, PendingHeartbeat { from, key, number });
            self.counts.waiting = self.counts.waiting.max(self.waiting.len());
            return match self.refused.contains_key(&key) {
                true => self.decide(now, replica),
                false => Ready::default(),
            };
        }
        if !joins {
            responses.push((from, Response::MembershipExpired { key }));
            return Ready::default();
        }
        if !self.joining.insert(key) {
            return Ready::default();
        }
        self.heartbeats.insert(key, LastHeartbeat { at: now, from, verdict, paused, active });
        let command = Command::Join { key, name: truncate(&name, MAX_NAME_BYTES) };
        self.propose(now, replica, &command, PendingProposal::Join { key })
    }

    /// Counts a member's verdict on the pending change.
    fn count_verdict(&mut self, key: MemberKey, verdict: Option<&(u64, Verdict)>, paused: u64) {
        let change = self.change.map_or(0, |change| change.number);
        match verdict.filter(|(of, _)| *of == change) {
            Some((_, Verdict::Prepared)) => drop(self.prepared.insert(key)),
            Some((_, Verdict::Refused(why))) => drop(self.refused.insert(key, why.clone())),
            None => {}
        }
        if paused == change && change != 0 {
            self.paused.insert(key);
        }
    }

    fn status<M: PolicyStateMachine>(
        &self,
        now: Time,
        replica: &Replica<M>,
        number: u32,
        first: MemberKey,
    ) -> Response {
        let state = replica.state_machine().as_ref();
        let change = state.pending_change().map(|change| (change.version.number, change.stage));
        let change_number = change.map_or(0, |change| change.0);
        let members = state.members().range(first..).take(MAX_MEMBERS_PER_STATUS + 1);
        let mut lines: Vec<MemberStatus> =
            members.map(|(key, name)| self.member_status(now, *key, name, change_number)).collect();
        let more = lines.len() > MAX_MEMBERS_PER_STATUS;
        lines.truncate(MAX_MEMBERS_PER_STATUS);
        let (active, generation) = (state.active().number, state.generation());
        Response::Status { number, active, change, generation, lines, more }
    }

    fn member_status(&self, now: Time, key: MemberKey, name: &str, change: u64) -> MemberStatus {
        let heartbeat = self.heartbeats.get(&key);
        let verdict = heartbeat.and_then(|heartbeat| heartbeat.verdict.clone());
        MemberStatus {
            key,
            name: name.to_string(),
            active: heartbeat.map_or(0, |heartbeat| heartbeat.active),
            verdict: verdict.and_then(|(of, verdict)| (of == change).then_some(verdict)),
            paused: change != 0 && heartbeat.is_some_and(|heartbeat| heartbeat.paused == change),
            silent: heartbeat.map_or(-1, |heartbeat| now - heartbeat.at),
        }
    }
}

/// Returns the committed and aborted versions without documents, which are fetched one by one.
fn history<M: PolicyStateMachine>(replica: &Replica<M>, number: u32) -> Response {
    let state = replica.state_machine().as_ref();
    let without_document = |version: &Version| Version { document: String::new(), ..version.clone() };
    let committed = state.history().map(without_document).collect();
    let aborted = state.aborted().cloned().collect();
    Response::History { number, committed, aborted }
}
