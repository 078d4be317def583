//! Which replica is asked next.

use cypresscleat_primitives::NodeId;

/// Redirections that are followed between two renewals; replicas that point at each other are not asked in a circle.
const MAX_REDIRECTS: u32 = 2;

/// The known replicas, and the one that is asked.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicaRotation {
    replicas: Vec<NodeId>,
    current: usize,
    redirects_followed: u32,
}

impl ReplicaRotation {
    /// Begins with the replica at position `current`.
    pub fn new(replicas: Vec<NodeId>, current: usize) -> ReplicaRotation {
        ReplicaRotation { replicas, current, redirects_followed: 0 }
    }

    /// The replica that is asked; `None` where none is known.
    pub fn current(&self) -> Option<NodeId> {
        self.replicas.get(self.current).copied()
    }

    /// Goes on to the next replica.
    pub fn advance(&mut self) {
        self.current = (self.current + 1) % self.replicas.len().max(1);
    }

    /// Stays with a replica that has answered.
    pub fn select(&mut self, replica: NodeId) {
        if let Some(position) = self.position(replica) {
            self.current = position;
        }
    }

    /// Learns of a replica that joined after this process was started.
    pub fn add(&mut self, replica: NodeId) {
        if !self.replicas.contains(&replica) {
            self.replicas.push(replica);
        }
    }

    /// Follows the word of replica `from` that `leader` leads. False where that one is not known, or too many were followed already.
    pub fn follow_redirect(&mut self, from: NodeId, leader: NodeId) -> bool {
        let position = self.position(leader).filter(|_| leader != from);
        let Some(position) = position.filter(|_| self.redirects_followed < MAX_REDIRECTS) else {
            return false;
        };
        self.current = position;
        self.redirects_followed += 1;
        true
    }

    /// Redirections followed since [`ReplicaRotation::set_redirects_followed`] was last called.
    pub fn redirects_followed(&self) -> u32 {
        self.redirects_followed
    }

    /// Counts redirections from here on: 0 at each renewal that is sent by itself.
    pub fn set_redirects_followed(&mut self, redirects_followed: u32) {
        self.redirects_followed = redirects_followed;
    }

    fn position(&self, replica: NodeId) -> Option<usize> {
        self.replicas.iter().position(|known| *known == replica)
    }
}
