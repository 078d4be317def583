//! Group membership. Gossip after SWIM (A. Das, I. Gupta, A. Motivala, "SWIM: Scalable weakly-consistent infection-style process
//! group membership protocol", 2002): in each period one member is pinged, directly and then through others. A
//! member that does not answer is suspected before it counts as dead, and may refute the suspicion with a higher incarnation.
//! Updates are piggybacked on other messages. Draining and leaving are announced.
//!
//! | module | concern |
//! | --- | --- |
//! | `failure_detector` | pings, indirect pings, suspicion, death |
//! | `dissemination` | which updates are piggybacked on which message |
//! | `synchronization` | joins, comparison and exchange of member lists |
//! | `round_trip` | expected response time |

mod config;
mod dissemination;
mod failure_detector;
mod round_trip;
mod synchronization;

pub use config::MembershipConfig;

use crate::messages::{Envelope, GossipUpdate, MemberState, Message, Role};
use crate::{NodeId, SeededRng, Time};
use config::{MAX_RELAYED_PINGS, MAX_SUSPECTS_TO_VERIFY};
use dissemination::DisseminationQueue;
use failure_detector::{Probe, RelayedPing};
use round_trip::RoundTripEstimate;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What is known of another member.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Role of the member.
    pub role: Role,
    /// Address of its datagram socket.
    pub address: SocketAddr,
    /// Incarnation of the member, which only the member itself raises.
    pub incarnation: u32,
    /// State of the member.
    pub state: MemberState,
    /// Time from which the member has this state in this view.
    pub since: Time,
}

impl Member {
    /// Whether the member may get new work.
    pub fn accepts_work(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// The member as a gossip update.
    fn update(&self, id: NodeId) -> GossipUpdate {
        let Member { role, address, incarnation, state, .. } = *self;
        GossipUpdate { id, role, address, incarnation, state }
    }

    /// Whether the update is newer than this state.
    fn is_older_than(&self, update: &GossipUpdate) -> bool {
        // A dead or departed member returns only with a higher incarnation.
        let is_revival_without_incarnation = self.state.is_gone() && update.incarnation == self.incarnation;
        let is_newer = (update.incarnation, update.state) > (self.incarnation, self.state);
        is_newer && !is_revival_without_incarnation
    }
}

/// A message and its destination.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// The member's address.
    pub to: SocketAddr,
    /// The message.
    pub envelope: Envelope,
}

/// A change of a member's state, for the log and for planners and load balancers.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipChange {
    /// The member.
    pub id: NodeId,
    /// Role of the member.
    pub role: Role,
    /// Previous state; `None` if the member was unknown.
    pub from: Option<MemberState>,
    /// New state.
    pub to: MemberState,
}

/// One member's view of all members.
#[derive(Clone, Debug)]
pub struct Membership {
    config: MembershipConfig,
    own: GossipUpdate,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<NodeId, Member>,
    /// Those still to be pinged in this round.
    round: Vec<NodeId>,
    queue: DisseminationQueue,
    probe: Option<Probe>,
    relayed_pings: Vec<RelayedPing>,
    /// Number of the last ping.
    last_number: u32,
    next_period_at: Time,
    round_trip: RoundTripEstimate,
    rng: SeededRng,
    /// Suspects that this member pings out of turn.
    suspects_to_verify: Vec<NodeId>,
    changes: Vec<MembershipChange>,
    has_joined: bool,
    periods: u64,
}

impl Membership {
    /// Creates a member that knows only the addresses of the seeds.
    pub fn new(
        id: NodeId,
        role: Role,
        address: SocketAddr,
        seeds: Vec<SocketAddr>,
        config: MembershipConfig,
        seed: u64,
    ) -> Membership {
        let own = GossipUpdate { id, role, address, incarnation: 1, state: MemberState::Alive };
        Membership {
            config,
            own,
            seeds: seeds.into_iter().filter(|seed| *seed != address).collect(),
            members: BTreeMap::new(),
            round: Vec::new(),
            queue: DisseminationQueue::default(),
            probe: None,
            relayed_pings: Vec::new(),
            last_number: 0,
            next_period_at: Time::MIN,
            round_trip: RoundTripEstimate::default(),
            rng: SeededRng::new(seed),
            suspects_to_verify: Vec::new(),
            changes: Vec::new(),
            has_joined: false,
            periods: seed,
        }
    }

    /// All known members, including remembered dead ones.
    pub fn members(&self) -> impl Iterator<Item = (NodeId, &Member)> {
        self.members.iter().map(|(id, member)| (*id, member))
    }

    /// The known state of one member.
    pub fn member(&self, id: NodeId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Members with this role that are neither dead nor have left.
    pub fn present_with_role(&self, role: Role) -> impl Iterator<Item = (NodeId, &Member)> {
        self.members().filter(move |(_, member)| member.role == role && !member.state.is_gone())
    }

    /// Returns all changes since the last call.
    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.changes)
    }

    /// This member's own state.
    pub fn own(&self) -> &GossipUpdate {
        &self.own
    }

    /// Binary logarithm of the member count plus two: the number of rounds that gossip needs to reach all members grows with it.
    fn log2_members(&self) -> f64 {
        ((self.members.len() + 2) as f64).log2()
    }

    /// Wraps a message with the updates that are due.
    fn message_to(&mut self, to: SocketAddr, message: Message) -> OutgoingMessage {
        let max_times_sent = (self.config.dissemination_factor * self.log2_members()).ceil() as u32;
        let updates = self.queue.next_updates(max_times_sent);
        let (from, incarnation) = (self.own.id, self.own.incarnation);
        OutgoingMessage { to, envelope: Envelope { from, incarnation, updates, message } }
    }

    /// Announces that this member drains: it gets no new work and is not suspected.
    pub fn announce_draining(&mut self) {
        self.announce(MemberState::Draining);
    }

    /// Announces that this member leaves. The caller sends the returned messages at once.
    pub fn announce_leaving(&mut self) -> Vec<OutgoingMessage> {
        self.announce(MemberState::Left);
        let working = self.members.values().filter(|member| member.accepts_work());
        let addresses: Vec<SocketAddr> = working.map(|member| member.address).collect();
        let count = addresses.len().min(self.config.indirect_probes + 2);
        (0..count)
            .map(|_| {
                let to = addresses[self.rng.index_below(addresses.len())];
                self.ping(to)
            })
            .collect()
    }

    fn announce(&mut self, state: MemberState) {
        self.own.incarnation += 1;
        self.own.state = state;
        self.queue.push(self.own.clone());
    }

    /// Handles a message from `address`; returns the messages to send.
    pub fn handle(&mut self, now: Time, address: SocketAddr, envelope: &Envelope) -> Vec<OutgoingMessage> {
        for update in &envelope.updates {
            self.apply_update(now, update.clone());
        }
        match &envelope.message {
            Message::Ping { number } => vec![self.message_to(address, Message::Ack { number: *number })],
            Message::Ack { number } => self.handle_ack(now, address, *number, envelope),
            Message::PingRequest { number, address: target, .. } => {
                self.relay_ping(now, address, *number, *target)
            }
            Message::Join => self.list_members(address, |_| true),
            Message::Sync { hashes } => self.handle_sync(address, hashes),
            Message::MemberList { members } => {
                self.has_joined = true;
                self.queue.push(self.own.clone());
                for update in members {
                    self.apply_update(now, update.clone());
                }
                Vec::new()
            }
            Message::Report(_) | Message::Grants { .. } | Message::WithPolicyVersion { .. } => Vec::new(),
        }
    }

    /// Handles the answer to a ping of this member, or to a ping on behalf of another member.
    fn handle_ack(
        &mut self,
        now: Time,
        address: SocketAddr,
        number: u32,
        envelope: &Envelope,
    ) -> Vec<OutgoingMessage> {
        let is_answered = |probe: &mut Probe| probe.number == number && probe.target == envelope.from;
        if let Some(probe) = self.probe.take_if(is_answered) {
            // Only a direct answer counts for the round-trip time, also a late one: slow answers lengthen the timeout. An answer
            // through another member shows only that a datagram was lost.
            if self.members.get(&envelope.from).is_some_and(|member| member.address == address) {
                self.round_trip.record(now - probe.sent_at);
            }
        }
        let Some(position) = self.relayed_pings.iter().position(|ping| ping.number == number) else {
            return Vec::new();
        };
        let ping = self.relayed_pings.remove(position);
        let mut response = self.message_to(ping.requester, Message::Ack { number: ping.requested_number });
        // The response carries the identity of the pinged member.
        response.envelope.from = envelope.from;
        response.envelope.incarnation = envelope.incarnation;
        vec![response]
    }

    /// Pings a member on behalf of another one.
    fn relay_ping(
        &mut self,
        now: Time,
        requester: SocketAddr,
        requested_number: u32,
        target: SocketAddr,
    ) -> Vec<OutgoingMessage> {
        if self.relayed_pings.len() >= MAX_RELAYED_PINGS {
            self.last_number += 1;
            return Vec::new();
        }
        let message = self.ping(target);
        let (number, expires_at) = (self.last_number, now + self.config.probe_period);
        self.relayed_pings.push(RelayedPing { number, requested_number, requester, expires_at });
        vec![message]
    }

    /// Applies an update if it is newer than the known state.
    pub fn apply_update(&mut self, now: Time, update: GossipUpdate) {
        if update.id == self.own.id {
            self.refute(&update);
            return;
        }
        let known = self.members.get(&update.id);
        let is_newer = match known {
            None => !update.state.is_gone() && self.members.len() < self.config.max_members,
            Some(member) => member.is_older_than(&update),
        };
        if !is_newer {
            return;
        }
        let from = known.map(|member| member.state);
        let is_new_state = from != Some(update.state);
        let since = known.filter(|_| !is_new_state).map_or(now, |member| member.since);
        let GossipUpdate { id, role, address, incarnation, state } = update;
        self.members.insert(id, Member { role, address, incarnation, state, since });
        self.queue.push(update);
        if is_new_state {
            if state == MemberState::Suspect {
                self.draw_verification(id);
            }
            self.changes.push(MembershipChange { id, role, from, to: state });
        }
        if state == MemberState::Alive {
            self.probe.take_if(|probe| probe.target == id);
        }
    }

    /// Refutes an update that contradicts this member's own state, with a higher incarnation.
    fn refute(&mut self, update: &GossipUpdate) {
        if update.incarnation >= self.own.incarnation && update.state != self.own.state {
            self.own.incarnation = update.incarnation.saturating_add(1);
            self.queue.push(self.own.clone());
        }
    }

    /// Draws whether this member pings a new suspect itself.
    fn draw_verification(&mut self, suspect: NodeId) {
        let probability = self.config.suspicion_verifiers / self.members.len().max(1) as f64;
        let has_capacity = self.suspects_to_verify.len() < MAX_SUSPECTS_TO_VERIFY;
        if probability > 0.0 && has_capacity && self.rng.next_f64() < probability {
            self.suspects_to_verify.push(suspect);
        }
    }

    /// Counts all updates as sent. After a simultaneous start of all members their dissemination takes minutes, and a measurement of
    /// the steady state need not wait for it.
    pub fn clear_dissemination_queue(&mut self) {
        self.queue.clear();
    }

    /// Raises the incarnation to `at_least`. A restarted member does not know its earlier incarnations.
    pub fn raise_incarnation(&mut self, at_least: u32) {
        self.own.incarnation = self.own.incarnation.max(at_least);
    }
}
