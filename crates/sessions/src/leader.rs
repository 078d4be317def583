//! The leader's part of a session: requests that wait until a majority has confirmed that it leads, and commands that wait to be decided.
//!
//! A request is answered only once a majority has confirmed the leader in a round that began after the request arrived. Nobody else led
//! then, so whoever leads next counts the lease that the response renews from later.

use cypresscleat_consensus::{Ready, Replica, StateMachine};
use cypresscleat_primitives::{NodeId, Time};
use std::collections::{BTreeMap, VecDeque};

/// The round of confirmation that a request which arrives now waits for.
///
/// # Errors
///
/// The leader as far as this replica knows, 0 where it does not, where another replica leads.
pub fn confirmation_round<M: StateMachine>(replica: &Replica<M>) -> Result<u64, NodeId> {
    let leader = replica.leader().filter(|leader| *leader != replica.member().id);
    replica.read_index().ok_or(leader.unwrap_or(0))
}

/// Requests that wait until a majority has confirmed the leader, in the order in which they arrived.
#[derive(Clone, Debug)]
pub struct UnconfirmedRequests<T> {
    waiting: VecDeque<(u64, T)>,
}

impl<T> Default for UnconfirmedRequests<T> {
    fn default() -> UnconfirmedRequests<T> {
        UnconfirmedRequests { waiting: VecDeque::new() }
    }
}

impl<T> UnconfirmedRequests<T> {
    /// A request that waits for the given round.
    pub fn push(&mut self, round: u64, request: T) {
        self.waiting.push_back((round, request));
    }

    /// The next request whose round is confirmed.
    pub fn pop_confirmed(&mut self, confirmed: u64) -> Option<T> {
        self.waiting.pop_front_if(|(round, _)| *round <= confirmed).map(|(_, request)| request)
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        self.waiting.clear();
    }
}

/// Commands that were proposed and are not decided yet, each with what is to be done then.
#[derive(Clone, Debug)]
pub struct PendingProposals<P> {
    last_number: u64,
    pending: BTreeMap<u64, P>,
}

impl<P> PendingProposals<P> {
    /// Proposals are numbered from behind `last_number` on; those who share a replica begin far apart.
    pub fn new(last_number: u64) -> PendingProposals<P> {
        PendingProposals { last_number, pending: BTreeMap::new() }
    }

    /// Proposes a command. `None` where the replica does not take it, which then is not pending.
    pub fn propose<M: StateMachine>(
        &mut self,
        now: Time,
        replica: &mut Replica<M>,
        command: Vec<u8>,
        then: P,
    ) -> Option<Ready> {
        self.last_number += 1;
        let out = replica.propose(now, self.last_number, command)?;
        self.pending.insert(self.last_number, then);
        Some(out)
    }

    /// The proposal `number` is decided: what is to be done now; `None` where it is none of these.
    pub fn complete(&mut self, number: u64) -> Option<P> {
        self.pending.remove(&number)
    }

    /// Proposals that are pending.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether none is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Forgets all; their numbers are not used again.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}
