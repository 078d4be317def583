//! Choice of the replica that receives the next request.

use cypresscleat_primitives::NodeId;

/// Maximum number of redirects that are followed between two renewals: replicas that redirect to each other must not cause a loop.
const MAX_REDIRECTS: u32 = 2;

/// The known replicas, and the current one, which receives the requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicaRotation {
    replicas: Vec<NodeId>,
    current: usize,
    redirects_followed: u32,
}

impl ReplicaRotation {
    /// Starts with the replica at position `current`.
    pub fn new(replicas: Vec<NodeId>, current: usize) -> ReplicaRotation {
        ReplicaRotation { replicas, current, redirects_followed: 0 }
    }

    /// Returns the current replica; `None` if no replica is known.
    pub fn current(&self) -> Option<NodeId> {
        self.replicas.get(self.current).copied()
    }

    /// Moves on to the next replica.
    pub fn advance(&mut self) {
        self.current = (self.current + 1) % self.replicas.len().max(1);
    }

    /// Selects a replica that has responded, if it is known.
    pub fn select(&mut self, replica: NodeId) {
        if let Some(position) = self.position(replica) {
            self.current = position;
        }
    }

    /// Adds a replica that joined after this process was started.
    pub fn add(&mut self, replica: NodeId) {
        if !self.replicas.contains(&replica) {
            self.replicas.push(replica);
        }
    }

    /// Follows a redirect from replica `from` to `leader`. Returns false if `leader` is not known, is `from` itself, or
    /// `MAX_REDIRECTS` were followed already.
    pub fn follow_redirect(&mut self, from: NodeId, leader: NodeId) -> bool {
        let position = self.position(leader).filter(|_| leader != from);
        let Some(position) = position.filter(|_| self.redirects_followed < MAX_REDIRECTS) else {
            return false;
        };
        self.current = position;
        self.redirects_followed += 1;
        true
    }

    /// Number of redirects followed since [`ReplicaRotation::set_redirects_followed`] was last called.
    pub fn redirects_followed(&self) -> u32 {
        self.redirects_followed
    }

    /// Sets the number of followed redirects: 0 for each renewal that is not the result of a redirect.
    pub fn set_redirects_followed(&mut self, redirects_followed: u32) {
        self.redirects_followed = redirects_followed;
    }

    fn position(&self, replica: NodeId) -> Option<usize> {
        self.replicas.iter().position(|known| *known == replica)
    }
}
