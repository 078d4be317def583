//! SWIM's failure detector: each period pings one member, directly and, if it does not answer, through other members. A member
//! that answers neither is suspected, and counts as dead unless it refutes the suspicion in time.

use super::config::{MAX_PERIOD, MAX_PROBE_TIMEOUT, MIN_PROBE_TIMEOUT};
use super::{Member, Membership, OutgoingMessage};
use crate::messages::{GossipUpdate, MemberState, Message, MAX_GOSSIP_UPDATES};
use crate::{NodeId, Time};
use std::net::SocketAddr;

/// A ping that waits for its answer.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub target: NodeId,
    pub number: u32,
    pub sent_at: Time,
    /// Whether other members were requested to ping the target too.
    pub is_indirect: bool,
}

/// A ping on behalf of another member.
#[derive(Clone, Debug)]
pub(super) struct RelayedPing {
    pub number: u32,
    /// The number under which the requester waits for the answer.
    pub requested_number: u32,
    pub requester: SocketAddr,
    pub expires_at: Time,
}

impl Membership {
    /// How long a pinged member has to answer.
    pub fn probe_timeout(&self) -> Time {
        let max = MAX_PROBE_TIMEOUT.min(self.period() / 2);
        (self.round_trip.upper_bound() as Time).clamp(MIN_PROBE_TIMEOUT, max)
    }

    /// The protocol period. It is longer than configured on a slow network, so that slow answers do not count as deaths.
    fn period(&self) -> Time {
        let configured = self.config.probe_period;
        ((2.0 * self.round_trip.upper_bound()) as Time).clamp(configured, MAX_PERIOD.max(configured))
    }

    /// How long a member is suspected before it counts as dead.
    pub fn suspicion_timeout(&self) -> Time {
        (self.config.suspicion_factor * self.log2_members() * self.period() as f64) as Time
    }

    /// When [`Membership::tick`] is due at the latest.
    pub fn next_deadline(&self) -> Time {
        // An indirect probe needs no further action before the period ends.
        let probe = self.probe.as_ref().filter(|probe| !probe.is_indirect);
        let probe = probe.map_or(Time::MAX, |probe| probe.sent_at + self.probe_timeout());
        let verification = if self.suspects_to_verify.is_empty() { Time::MAX } else { Time::MIN };
        self.next_period_at.min(probe).min(verification)
    }

    /// Performs the actions that are due; returns the messages to send.
    pub fn tick(&mut self, now: Time) -> Vec<OutgoingMessage> {
        self.relayed_pings.retain(|ping| ping.expires_at > now);
        let mut out = self.probe_indirectly(now);
        if now >= self.next_period_at {
            out.extend(self.begin_period(now));
        }
        out.extend(self.verify_suspects());
        out
    }

    /// Requests other members to ping a member that has not answered: only the direct network path may be faulty.
    fn probe_indirectly(&mut self, now: Time) -> Vec<OutgoingMessage> {
        let timeout = self.probe_timeout();
        let is_late = |probe: &&mut Probe| !probe.is_indirect && now - probe.sent_at >= timeout;
        let Some(probe) = self.probe.as_mut().filter(is_late) else { return Vec::new() };
        probe.is_indirect = true;
        let (number, target) = (probe.number, probe.target);
        let Some(address) = self.members.get(&target).map(|member| member.address) else {
            return Vec::new();
        };
        let is_helper =
            |(id, member): &(&NodeId, &Member)| **id != target && member.state == MemberState::Alive;
        let helpers: Vec<SocketAddr> =
            self.members.iter().filter(is_helper).map(|(_, member)| member.address).collect();
        let count = self.config.indirect_probes.min(helpers.len());
        (0..count)
            .map(|_| {
                let to = helpers[self.rng.index_below(helpers.len())];
                self.message_to(to, Message::PingRequest { number, target, address })
            })
            .collect()
    }

    /// Ends a period and begins the next one.
    fn begin_period(&mut self, now: Time) -> Vec<OutgoingMessage> {
        let is_first = self.next_period_at == Time::MIN;
        self.next_period_at = if is_first { now } else { self.next_period_at } + self.period();
        if self.next_period_at <= now {
            self.next_period_at = now + self.period(); // after a pause: missed periods are skipped
        }
        if let Some(probe) = self.probe.take() {
            self.suspect(now, probe.target);
        }
        self.expire_members(now);
        self.periods = self.periods.wrapping_add(1);
        let mut out = self.synchronize();
        out.extend(self.probe_next(now));
        out
    }

    /// Pings the next member of the round.
    fn probe_next(&mut self, now: Time) -> Option<OutgoingMessage> {
        let (target, member) = self.next_target()?;
        let message = match member.state {
            MemberState::Suspect => self.ping_suspect(target, member),
            _ => self.ping(member.address),
        };
        let number = self.last_number;
        self.probe = Some(Probe { target, number, sent_at: now, is_indirect: false });
        Some(message)
    }

    /// The next member to ping. Each round pings each member once, in a new random order.
    fn next_target(&mut self) -> Option<(NodeId, Member)> {
        loop {
            if self.round.is_empty() {
                self.round = self.shuffled_members();
            }
            let target = self.round.pop()?;
            if let Some(member) = self.members.get(&target).filter(|member| !member.state.is_gone()) {
                return Some((target, member.clone()));
            }
        }
    }

    fn shuffled_members(&mut self) -> Vec<NodeId> {
        let present = self.members.iter().filter(|(_, member)| !member.state.is_gone());
        let mut ids: Vec<NodeId> = present.map(|(id, _)| *id).collect();
        for at in (1..ids.len()).rev() {
            let other = self.rng.index_below(at + 1);
            ids.swap(at, other);
        }
        ids
    }

    pub(super) fn ping(&mut self, to: SocketAddr) -> OutgoingMessage {
        self.last_number += 1;
        let number = self.last_number;
        self.message_to(to, Message::Ping { number })
    }

    /// Pings the suspects that were drawn for verification. No timeout waits for the answer: only the suspect's refutation counts.
    fn verify_suspects(&mut self) -> Vec<OutgoingMessage> {
        let drawn = std::mem::take(&mut self.suspects_to_verify);
        let known = drawn.into_iter().filter_map(|id| Some((id, self.members.get(&id)?.clone())));
        let suspects: Vec<(NodeId, Member)> =
            known.filter(|(_, member)| member.state == MemberState::Suspect).collect();
        suspects.into_iter().map(|(id, member)| self.ping_suspect(id, member)).collect()
    }

    /// Pings a suspect with the suspicion in the message, so that it can refute it at once.
    fn ping_suspect(&mut self, id: NodeId, member: Member) -> OutgoingMessage {
        let mut message = self.ping(member.address);
        let updates = &mut message.envelope.updates;
        updates.retain(|update| update.id != id);
        updates.truncate(MAX_GOSSIP_UPDATES - 1);
        updates.insert(0, member.update(id));
        message
    }

    /// Handles a member that did not answer. A draining member counts as dead at once, without a suspicion.
    fn suspect(&mut self, now: Time, id: NodeId) {
        let Some(member) = self.members.get(&id) else { return };
        let state = match member.state {
            MemberState::Alive => MemberState::Suspect,
            MemberState::Draining => MemberState::Dead,
            _ => return,
        };
        let update = GossipUpdate { state, ..member.update(id) };
        self.apply_update(now, update);
    }

    /// Declares suspects dead that did not refute the suspicion in time, and removes members that have been gone for long enough.
    fn expire_members(&mut self, now: Time) {
        let timeout = self.suspicion_timeout();
        let is_over = |member: &Member| member.state == MemberState::Suspect && now - member.since >= timeout;
        let over = self.members.iter().filter(|(_, member)| is_over(member));
        let deaths: Vec<GossipUpdate> = over
            .map(|(id, member)| GossipUpdate { state: MemberState::Dead, ..member.update(*id) })
            .collect();
        for death in deaths {
            self.apply_update(now, death);
        }
        let retention = self.config.dead_retention;
        self.members.retain(|_, member| !(member.state.is_gone() && now - member.since >= retention));
    }
}
