//! Linearizable reads: a leader may answer a read once a majority has answered a heartbeat round that began after the read
//! arrived, as nobody else was leader then (Raft, section 6.4).

use super::Replica;
use crate::StateMachine;

impl<M: StateMachine> Replica<M> {
    /// The heartbeat round that has to be confirmed before a read that arrives now may be answered; `None` where this replica is
    /// not the leader.
    pub fn read_index(&self) -> Option<u64> {
        self.leadership().filter(|_| self.is_leader()).map(|leadership| leadership.round + 1)
    }

    /// The last heartbeat round that a majority has answered; 0 where this replica is not the leader.
    pub fn confirmed_read_index(&self) -> u64 {
        match self.leadership().filter(|_| self.is_leader()) {
            Some(leadership) => self.majority_value(leadership.round, |id| leadership.acked_round(id)),
            None => 0,
        }
    }
}
