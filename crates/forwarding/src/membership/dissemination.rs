//! Queue of the updates that are piggybacked on other messages.

use crate::messages::{GossipUpdate, MAX_GOSSIP_UPDATES};

/// An update, and the number of times it was sent.
#[derive(Clone, Debug)]
struct QueuedUpdate {
    update: GossipUpdate,
    times_sent: u32,
}

/// Updates that are still to be sent, only the newest of each member.
#[derive(Clone, Debug, Default)]
pub(super) struct DisseminationQueue {
    updates: Vec<QueuedUpdate>,
}

impl DisseminationQueue {
    /// Queues an update in place of an older one of the same member.
    pub fn push(&mut self, update: GossipUpdate) {
        self.updates.retain(|queued| queued.update.id != update.id);
        self.updates.push(QueuedUpdate { update, times_sent: 0 });
    }

    /// The updates for the next message, those sent least often first, so that new updates spread fast. Updates that
    /// were sent `max_times_sent` times are dropped.
    pub fn next_updates(&mut self, max_times_sent: u32) -> Vec<GossipUpdate> {
        self.updates.retain(|queued| queued.times_sent < max_times_sent);
        self.updates.sort_by_key(|queued| queued.times_sent);
        let mut updates = Vec::with_capacity(MAX_GOSSIP_UPDATES);
        for queued in self.updates.iter_mut().take(MAX_GOSSIP_UPDATES) {
            queued.times_sent += 1;
            updates.push(queued.update.clone());
        }
        updates
    }

    /// Drops all updates.
    pub fn clear(&mut self) {
        self.updates.clear();
    }
}
