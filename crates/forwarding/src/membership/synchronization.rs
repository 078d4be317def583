//! Synchronization of member lists, which repairs what gossip missed. A joining member requests the whole list. Other members
//! compare hashes of partitions of the list and exchange the partitions that differ.

use super::config::{PERIODS_PER_SYNC, SYNCS_PER_FULL_LIST};
use super::{Member, Membership, OutgoingMessage};
use crate::messages::{
    GossipUpdate, MemberState, Message, MAX_GOSSIP_UPDATES, MAX_LISTED_MEMBERS, MEMBER_PARTITIONS,
};
use crate::NodeId;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// The partition that a member belongs to.
fn partition_of(id: NodeId) -> usize {
    (id % MEMBER_PARTITIONS as u64) as usize
}

impl Membership {
    /// The messages of this period: a join to all seeds while no member is known, else a synchronization every
    /// [`PERIODS_PER_SYNC`] periods.
    pub(super) fn synchronize(&mut self) -> Vec<OutgoingMessage> {
        if !self.has_joined || self.members.is_empty() {
            return self.seeds.clone().into_iter().map(|seed| self.join(seed)).collect();
        }
        if !self.periods.is_multiple_of(PERIODS_PER_SYNC) {
            return Vec::new();
        }
        let all: Vec<SocketAddr> = self.members.values().map(|member| member.address).collect();
        let contacts_seed = self.rng.next_f64() < 0.5 && !self.seeds.is_empty();
        let candidates = if contacts_seed { &self.seeds } else { &all };
        let to = candidates[self.rng.index_below(candidates.len())];
        // An earlier version does not answer hashes: the whole list is requested as well, less often.
        let requests_full_list = self.periods.is_multiple_of(PERIODS_PER_SYNC * SYNCS_PER_FULL_LIST);
        if self.config.compare_hashes && !requests_full_list {
            let hashes = self.partition_hashes();
            vec![self.message_to(to, Message::Sync { hashes })]
        } else {
            vec![self.join(to)]
        }
    }

    /// Requests all members that the receiver knows. The message always carries this member's own update.
    fn join(&mut self, to: SocketAddr) -> OutgoingMessage {
        let mut message = self.message_to(to, Message::Join);
        message.envelope.updates.truncate(MAX_GOSSIP_UPDATES - 1);
        message.envelope.updates.push(self.own.clone());
        message
    }

    /// Lists the members in the partitions whose hashes differ from the sender's.
    pub(super) fn handle_sync(&mut self, to: SocketAddr, hashes: &[u64]) -> Vec<OutgoingMessage> {
        let own = self.partition_hashes();
        if own == *hashes {
            return Vec::new();
        }
        let differs = |id| own.get(partition_of(id)) != hashes.get(partition_of(id));
        self.list_members(to, differs)
    }

    /// Lists the chosen members, possibly including this one.
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

    /// A hash of each partition of the present members. Gone members are left out, as each member removes them at a different time.
    /// Suspicion is left out because it is transient.
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
