//! Synchronization of whole member lists, which makes up for what gossip missed: a member that joins asks for the list, others
//! compare hashes of partitions of it and exchange those that differ.

use super::config::{PERIODS_PER_SYNC, SYNCS_PER_FULL_LIST};
use super::{Member, Membership, OutgoingMessage};
use crate::messages::{
    GossipUpdate, MemberState, Message, MAX_GOSSIP_UPDATES, MAX_LISTED_MEMBERS, MEMBER_PARTITIONS,
};
use crate::NodeId;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// The partition of the members that one belongs to.
fn partition_of(id: NodeId) -> usize {
    (id % MEMBER_PARTITIONS as u64) as usize
}

impl Membership {
    /// What is to be sent in this period: a join to all seeds while nobody is known, else a synchronization now and then.
    pub(super) fn synchronize(&mut self) -> Vec<OutgoingMessage> {
        if !self.has_joined || self.members.is_empty() {
            return self.seeds.clone().into_iter().map(|seed| self.join(seed)).collect();
        }
        if !self.periods.is_multiple_of(PERIODS_PER_SYNC) {
            return Vec::new();
        }
        let all: Vec<SocketAddr> = self.members.values().map(|member| member.address).collect();
        let asks_seed = self.rng.next_f64() < 0.5 && !self.seeds.is_empty();
        let candidates = if asks_seed { &self.seeds } else { &all };
        let to = candidates[self.rng.index_below(candidates.len())];
        // One of a version that does not compare hashes answers nothing: the whole list is asked for as well, less often.
        let asks_whole_list = self.periods.is_multiple_of(PERIODS_PER_SYNC * SYNCS_PER_FULL_LIST);
        if self.config.compare_hashes && !asks_whole_list {
            let hashes = self.partition_hashes();
            vec![self.message_to(to, Message::Sync { hashes })]
        } else {
            vec![self.join(to)]
        }
    }

    /// Asks for all that another one knows, and says at least that we are here.
    fn join(&mut self, to: SocketAddr) -> OutgoingMessage {
        let mut message = self.message_to(to, Message::Join);
        message.envelope.updates.truncate(MAX_GOSSIP_UPDATES - 1);
        message.envelope.updates.push(self.own.clone());
        message
    }

    /// The partitions of which another one's hashes differ from ours.
    pub(super) fn answer_sync(&mut self, to: SocketAddr, hashes: &[u64]) -> Vec<OutgoingMessage> {
        let own = self.partition_hashes();
        if own == *hashes {
            return Vec::new();
        }
        let differs = |id| own.get(partition_of(id)) != hashes.get(partition_of(id));
        self.list_members(to, differs)
    }

    /// All that is known of the chosen members, ourselves among them where we are one.
    pub(super) fn list_members(
        &mut self,
        to: SocketAddr,
        is_chosen: impl Fn(NodeId) -> bool,
    ) -> Vec<OutgoingMessage> {
        let chosen = self.members.iter().filter(|(id, _)| is_chosen(**id));
        let mut all: Vec<GossipUpdate> = chosen.map(|(id, member)| member.update(*id)).collect();
        all.extend(Some(self.own.clone()).filter(|own| is_chosen(own.id)));
        let chunks = all.chunks(MAX_LISTED_MEMBERS);
        chunks.map(|chunk| self.message_to(to, Message::MemberList { members: chunk.to_vec() })).collect()
    }

    /// A hash of each partition of the members that are here. Those that are gone are left out, as each member forgets them in its
    /// own time; so is suspicion, which passes.
    fn partition_hashes(&self) -> Vec<u64> {
        let mut hashes = vec![0u64; MEMBER_PARTITIONS];
        let mut add = |id: NodeId, incarnation: u32, state: MemberState| {
            if !state.is_gone() {
                let mut hasher = DefaultHasher::new();
                (id, incarnation, state == MemberState::Draining).hash(&mut hasher);
                hashes[partition_of(id)] ^= hasher.finish();
            }
        };
        for (id, Member { incarnation, state, .. }) in &self.members {
            add(*id, *incarnation, *state);
        }
        add(self.own.id, self.own.incarnation, self.own.state);
        hashes
    }
}
