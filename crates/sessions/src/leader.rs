//! The leader's side of a session: requests that wait until a majority has confirmed the leader, and commands that wait to be committed.
//!
//! A request is answered only once a majority has confirmed the leader in a round that began after the request arrived. No other
//! replica led at that time, so the next leader counts the lease that the response renews from a later time.

use cypresscleat_consensus::{Ready, Replica, StateMachine};
use cypresscleat_primitives::{NodeId, Time};
use std::collections::{BTreeMap, VecDeque};

/// Returns the confirmation round that a request arriving now must wait for.
///
/// # Errors
///
/// If this replica does not lead: the leader that it knows, or 0 if it knows none.
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
    /// Adds a request that waits for the given round.
    pub fn push(&mut self, round: u64, request: T) {
        self.waiting.push_back((round, request));
    }

    /// Removes and returns the next request whose round is confirmed.
    pub fn pop_confirmed(&mut self, confirmed: u64) -> Option<T> {
        self.waiting.pop_front_if(|(round, _)| *round <= confirmed).map(|(_, request)| request)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Discards all waiting requests.
    pub fn clear(&mut self) {
        self.waiting.clear();
    }
}

/// Commands that were proposed and are not committed yet, each with the continuation to run after the commit.
#[derive(Clone, Debug)]
pub struct PendingProposals<P> {
    last_number: u64,
    pending: BTreeMap<u64, P>,
}

impl<P> PendingProposals<P> {
    /// Numbers proposals from `last_number + 1` on. Several users of one replica must start far apart.
    pub fn new(last_number: u64) -> PendingProposals<P> {
        PendingProposals { last_number, pending: BTreeMap::new() }
    }

    /// Proposes a command. Returns `None` if the replica does not accept the command; the command is then not pending.
    pub fn propose<M: StateMachine>(
        &mut self,
        now: Time,
        replica: &mut Replica<M>,
        command: Vec<u8>,
        continuation: P,
    ) -> Option<Ready> {
        self.last_number += 1;
        let ready = replica.propose(now, self.last_number, command)?;
        self.pending.insert(self.last_number, continuation);
        Some(ready)
    }

    /// Removes the proposal `number`, which was committed, and returns its continuation; `None` if it is not among the pending ones.
    pub fn complete(&mut self, number: u64) -> Option<P> {
        self.pending.remove(&number)
    }

    /// Number of pending proposals.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no proposal is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Discards all pending proposals; their numbers are not reused.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}
