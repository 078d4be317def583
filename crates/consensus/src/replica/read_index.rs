//! Linearizable reads: a leader may serve a read once a majority has responded to a heartbeat round that began after the read
//! arrived, as no other replica was leader then (Raft, section 6.4).

use super::Replica;
use crate::StateMachine;

impl<M: StateMachine> Replica<M> {
    /// The heartbeat round that has to be confirmed before a read that arrives now may be served; `None` where this replica is not
    /// the leader.
    pub fn read_index(&self) -> Option<u64> {
        self.leader_state().filter(|_| self.is_leader()).map(|leader_state| leader_state.round + 1)
    }

    /// The last heartbeat round that a majority has responded to; 0 where this replica is not the leader.
    pub fn confirmed_read_index(&self) -> u64 {
        match self.leader_state().filter(|_| self.is_leader()) {
            Some(leader_state) => self.majority_value(leader_state.round, |id| leader_state.acked_round(id)),
            None => 0,
        }
    }
}
