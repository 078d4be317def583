//! Who is here. Gossip after SWIM (A. Das, I. Gupta, A. Motivala, "SWIM: Scalable weakly-consistent infection-style process
//! group membership protocol", 2002): in each period one member is pinged, directly and then through others; one that does not
//! answer is suspected before it counts as dead, and may refute that with a higher incarnation. Updates travel on the messages
//! that are sent anyway. Draining and leaving are announced.
//!
//! | module | concern |
//! | --- | --- |
//! | `failure_detector` | pings, indirect pings, suspicion, death |
//! | `dissemination` | which updates ride on which message |
//! | `synchronization` | joins, comparison and exchange of member lists |
//! | `round_trip` | how long an answer may take |

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
    /// What it does.
    pub role: Role,
    /// Where it hears datagrams.
    pub address: SocketAddr,
    /// Its incarnation, which only itself raises.
    pub incarnation: u32,
    /// Whether it is here.
    pub state: MemberState,
    /// Since when it has this state here.
    pub since: Time,
}

impl Member {
    /// Whether new work may go there.
    pub fn accepts_work(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// The same as gossip says it.
    fn update(&self, id: NodeId) -> GossipUpdate {
        let Member { role, address, incarnation, state, .. } = *self;
        GossipUpdate { id, role, address, incarnation, state }
    }

    /// Whether the update says something newer than this.
    fn is_older_than(&self, update: &GossipUpdate) -> bool {
        // The dead come back with a higher incarnation only.
        let is_revival_without_incarnation = self.state.is_gone() && update.incarnation == self.incarnation;
        let is_newer = (update.incarnation, update.state) > (self.incarnation, self.state);
        is_newer && !is_revival_without_incarnation
    }
}

/// A message and where it goes.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// The member's address.
    pub to: SocketAddr,
    /// The message.
    pub envelope: Envelope,
}

/// A member changed its state, for the log and for whoever plans or balances load.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipChange {
    /// The member.
    pub id: NodeId,
    /// What it does.
    pub role: Role,
    /// Its state before; `None` where it was not known.
    pub from: Option<MemberState>,
    /// Its state now.
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
    /// Suspects that are to be pinged from here, out of turn.
    suspects_to_verify: Vec<NodeId>,
    changes: Vec<MembershipChange>,
    has_joined: bool,
    periods: u64,
}

impl Membership {
    /// A member that knows nobody yet; it asks the seeds.
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

    /// All members that are known, the dead that are remembered among them.
    pub fn members(&self) -> impl Iterator<Item = (NodeId, &Member)> {
        self.members.iter().map(|(id, member)| (*id, member))
    }

    /// What is known of one member.
    pub fn member(&self, id: NodeId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Those of a role that are neither dead nor gone.
    pub fn present_with_role(&self, role: Role) -> impl Iterator<Item = (NodeId, &Member)> {
        self.members().filter(move |(_, member)| member.role == role && !member.state.is_gone())
    }

    /// All changes since they were last taken.
    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.changes)
    }

    /// What this member says of itself.
    pub fn own(&self) -> &GossipUpdate {
        &self.own
    }

    /// How often the members, and two more, can be halved: what gossip needs to reach all grows with it.
    fn doublings(&self) -> f64 {
        ((self.members.len() + 2) as f64).log2()
    }

    /// A message with the updates that are due to ride on it.
    fn message_to(&mut self, to: SocketAddr, message: Message) -> OutgoingMessage {
        let max_times_sent = (self.config.dissemination_factor * self.doublings()).ceil() as u32;
        let updates = self.queue.next_updates(max_times_sent);
        let (from, incarnation) = (self.own.id, self.own.incarnation);
        OutgoingMessage { to, envelope: Envelope { from, incarnation, updates, message } }
    }

    /// Announces that this member drains: no new work, and no suspicion.
    pub fn announce_draining(&mut self) {
        self.announce(MemberState::Draining);
    }

    /// Announces that this member leaves; what is returned is to be sent at once.
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

    /// Handles a message that came from `address`; returns what is to be sent.
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
            Message::Sync { hashes } => self.answer_sync(address, hashes),
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

    /// An answer to a ping of our own, or to one that another member asked us for.
    fn handle_ack(
        &mut self,
        now: Time,
        address: SocketAddr,
        number: u32,
        envelope: &Envelope,
    ) -> Vec<OutgoingMessage> {
        let is_answered = |probe: &mut Probe| probe.number == number && probe.target == envelope.from;
        if let Some(probe) = self.probe.take_if(is_answered) {
            // Its own answer, however late: where all come late, all are waited for longer. One that came through others says
            // only that a datagram was lost.
            if self.members.get(&envelope.from).is_some_and(|member| member.address == address) {
                self.round_trip.record(now - probe.sent_at);
            }
        }
        let Some(at) = self.relayed_pings.iter().position(|ping| ping.number == number) else {
            return Vec::new();
        };
        let ping = self.relayed_pings.remove(at);
        let mut answer = self.message_to(ping.requester, Message::Ack { number: ping.requested_number });
        // The answer stands for the member that was pinged.
        answer.envelope.from = envelope.from;
        answer.envelope.incarnation = envelope.incarnation;
        vec![answer]
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

    /// Takes over an update where it is newer than what is known here.
    pub fn apply_update(&mut self, now: Time, update: GossipUpdate) {
        if update.id == self.own.id {
            self.refute(&update);
            return;
        }
        let known = self.members.get(&update.id);
        let is_news = match known {
            None => !update.state.is_gone() && self.members.len() < self.config.max_members,
            Some(member) => member.is_older_than(&update),
        };
        if !is_news {
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

    /// Whoever says otherwise of us is answered with a higher incarnation.
    fn refute(&mut self, update: &GossipUpdate) {
        if update.incarnation >= self.own.incarnation && update.state != self.own.state {
            self.own.incarnation = update.incarnation.saturating_add(1);
            self.queue.push(self.own.clone());
        }
    }

    /// Draws whether this member pings a new suspect itself.
    fn draw_verification(&mut self, suspect: NodeId) {
        let probability = self.config.suspicion_verifiers / self.members.len().max(1) as f64;
        let has_room = self.suspects_to_verify.len() < MAX_SUSPECTS_TO_VERIFY;
        if probability > 0.0 && has_room && self.rng.next_f64() < probability {
            self.suspects_to_verify.push(suspect);
        }
    }

    /// Counts all updates as sent: after all members have started at once that takes minutes, and a measurement of the steady
    /// state need not wait for it.
    pub fn clear_dissemination_queue(&mut self) {
        self.queue.clear();
    }

    /// A member that starts anew under its old address does not know its incarnations: it takes one past what others say.
    pub fn raise_incarnation(&mut self, at_least: u32) {
        self.own.incarnation = self.own.incarnation.max(at_least);
    }
}
