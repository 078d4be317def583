//! Who is here. Gossip after SWIM (A. Das, I. Gupta, A. Motivala, "SWIM: Scalable weakly-consistent infection-style process
//! group membership protocol", 2002): each period one member is asked whether it is there, directly and then through
//! others; who does not answer is suspected before it counts as dead, and may say otherwise with a higher incarnation.
//! What is new travels on the messages that go anyway. Times to wait adapt to what was measured (V. Jacobson, "Congestion
//! avoidance and control", 1988: mean and four deviations). A drain and a leave are told.

use crate::messages::{
    Envelope, GossipUpdate, MemberState, Message, Role, MAX_GOSSIP_UPDATES, MAX_LISTED_MEMBERS,
    MEMBER_PARTITIONS,
};
use crate::{NodeId, SeededRng, Time, MS, SECOND};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipConfig {
    /// One member is asked in each.
    pub period: Time,
    /// Others that are asked to ask.
    pub helpers: usize,
    /// A suspicion lasts so many periods for each doubling of the members.
    pub suspicion: f64,
    /// So many of all, by chance, ask a suspect themselves once they hear of the suspicion: it can answer each of them, and what it
    /// says then spreads from several places at once.
    pub verifiers: f64,
    /// A rumour is told so many times for each doubling of the members.
    pub spread: f64,
    /// The dead are remembered this long, so that late rumours do not bring them back.
    pub remembered: Time,
    /// Members that are known at the most.
    pub most: usize,
    /// Whether hashes are compared before all that is known is told.
    pub digests: bool,
}

/// Which part of the members one belongs to.
fn part_of(id: NodeId) -> usize {
    (id % MEMBER_PARTITIONS as u64) as usize
}

impl Default for MembershipConfig {
    fn default() -> MembershipConfig {
        let (period, remembered) = (SECOND / 4, 60 * SECOND);
        MembershipConfig {
            period,
            helpers: 3,
            suspicion: 1.1,
            verifiers: 10.0,
            spread: 3.0,
            remembered,
            most: 20_000,
            digests: true,
        }
    }
}

/// Each so many periods all that is known is asked for anew, of a seed or of any other, dead or not: what rumours missed is
/// made up for, and two sides of a cut find each other again.
const SYNC: u64 = 10;
/// Of those so many are of hashes, for one of everything.
const WHOLE: u64 = 12;
/// Suspects that wait to be asked beside the round.
const VERIFY: usize = 16;
/// Bounds of the time that an answer is waited for.
const PERIOD_MOST: Time = SECOND;
const WAIT_LEAST: Time = 20 * MS;
const WAIT_MOST: Time = 400 * MS;

#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub role: Role,
    pub address: SocketAddr,
    pub incarnation: u32,
    pub state: MemberState,
    /// Since when it has this state here.
    pub since: Time,
}

impl Member {
    /// Whether new work may go there.
    pub fn takes_work(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }
}

/// To whom a message goes.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    pub to: SocketAddr,
    pub envelope: Envelope,
}

/// What changed, for the log and for whoever plans or routes.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipChange {
    pub id: NodeId,
    pub role: Role,
    pub from: Option<MemberState>,
    pub to: MemberState,
}

#[derive(Clone, Debug)]
struct Probe {
    whom: NodeId,
    number: u32,
    asked: Time,
    helped: bool,
}

/// Someone asked us to ask another.
#[derive(Clone, Debug)]
struct Errand {
    number: u32,
    for_number: u32,
    back: SocketAddr,
    until: Time,
}

#[derive(Clone, Debug)]
pub struct Membership {
    options: MembershipConfig,
    own: GossipUpdate,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<NodeId, Member>,
    /// Those still to be asked in this round.
    round: Vec<NodeId>,
    /// What is told on, and how often it was.
    rumours: Vec<(GossipUpdate, u32)>,
    probe: Option<Probe>,
    errands: Vec<Errand>,
    number: u32,
    next_period: Time,
    /// Mean time to an answer and its mean deviation.
    took: f64,
    varies: f64,
    rng: SeededRng,
    /// Suspects that are to be asked from here, beside the round.
    verify: Vec<NodeId>,
    changes: Vec<MembershipChange>,
    joined: bool,
    periods: u64,
}

impl Membership {
    pub fn new(
        id: NodeId,
        role: Role,
        address: SocketAddr,
        seeds: Vec<SocketAddr>,
        options: MembershipConfig,
        seed: u64,
    ) -> Membership {
        let own = GossipUpdate { id, role, address, incarnation: 1, state: MemberState::Alive };
        Membership {
            options,
            own,
            seeds: seeds.into_iter().filter(|seed| *seed != address).collect(),
            members: BTreeMap::new(),
            round: Vec::new(),
            rumours: Vec::new(),
            probe: None,
            errands: Vec::new(),
            number: 0,
            next_period: Time::MIN,
            took: (50 * MS) as f64,
            varies: (25 * MS) as f64,
            rng: SeededRng::new(seed),
            verify: Vec::new(),
            changes: Vec::new(),
            joined: false,
            periods: seed,
        }
    }

    pub fn members(&self) -> impl Iterator<Item = (NodeId, &Member)> {
        self.members.iter().map(|(id, member)| (*id, member))
    }
    pub fn member(&self, id: NodeId) -> Option<&Member> {
        self.members.get(&id)
    }
    /// Those of a role that count: not dead, not gone.
    pub fn of_role(&self, role: Role) -> impl Iterator<Item = (NodeId, &Member)> {
        self.members().filter(move |(_, member)| {
            member.role == role && !matches!(member.state, MemberState::Dead | MemberState::Left)
        })
    }
    pub fn changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.changes)
    }
    pub fn own(&self) -> &GossipUpdate {
        &self.own
    }

    /// How long an answer is waited for now.
    pub fn wait(&self) -> Time {
        ((self.took + 4.0 * self.varies) as Time).clamp(WAIT_LEAST, WAIT_MOST.min(self.period() / 2))
    }

    /// One member is asked in each. Longer than configured where answers take long: a slow net is no death.
    fn period(&self) -> Time {
        ((2.0 * (self.took + 4.0 * self.varies)) as Time)
            .clamp(self.options.period, PERIOD_MOST.max(self.options.period))
    }

    fn doublings(&self) -> f64 {
        ((self.members.len() + 2) as f64).log2()
    }

    /// How long one is suspected before it counts as dead.
    pub fn suspected_for(&self) -> Time {
        (self.options.suspicion * self.doublings() * self.period() as f64) as Time
    }

    // ---- what is said ----

    fn envelope(&mut self, message: Message) -> Envelope {
        let most = (self.options.spread * self.doublings()).ceil() as u32;
        self.rumours.retain(|(_, told)| *told < most);
        // The least told first: what is new travels fast.
        self.rumours.sort_by_key(|(_, told)| *told);
        let mut rumours = Vec::with_capacity(MAX_GOSSIP_UPDATES);
        for (rumour, told) in self.rumours.iter_mut().take(MAX_GOSSIP_UPDATES) {
            *told += 1;
            rumours.push(rumour.clone());
        }
        Envelope { from: self.own.id, incarnation: self.own.incarnation, rumours, message }
    }

    fn send(&mut self, to: SocketAddr, message: Message) -> OutgoingMessage {
        let envelope = self.envelope(message);
        OutgoingMessage { to, envelope }
    }

    /// Asks for all that another knows, and says at least that we are here.
    fn join(&mut self, to: SocketAddr) -> OutgoingMessage {
        let mut send = self.send(to, Message::Join);
        send.envelope.rumours.truncate(MAX_GOSSIP_UPDATES - 1);
        send.envelope.rumours.push(self.own.clone());
        send
    }

    fn spread(&mut self, rumour: GossipUpdate) {
        self.rumours.retain(|(known, _)| known.id != rumour.id);
        self.rumours.push((rumour, 0));
    }

    /// Says of itself that it drains: no new work, and no suspicion.
    pub fn drains(&mut self) {
        self.say(MemberState::Draining);
    }

    /// Says that it goes; what comes back is to be sent at once.
    pub fn leaves(&mut self) -> Vec<OutgoingMessage> {
        self.say(MemberState::Left);
        let all: Vec<SocketAddr> =
            self.members.values().filter(|member| member.takes_work()).map(|m| m.address).collect();
        let some = all.len().min(self.options.helpers + 2);
        (0..some)
            .map(|_| {
                let to = all[self.rng.index_below(all.len())];
                self.number += 1;
                let number = self.number;
                self.send(to, Message::Ping { number })
            })
            .collect()
    }

    fn say(&mut self, state: MemberState) {
        self.own.incarnation += 1;
        self.own.state = state;
        self.spread(self.own.clone());
    }

    // ---- time ----

    /// When `tick` is due at the latest.
    pub fn due(&self) -> Time {
        // Once others were asked there is nothing more to do about it before the period ends.
        let probe = self.probe.as_ref().filter(|probe| !probe.helped).map(|probe| probe.asked + self.wait());
        let verify = if self.verify.is_empty() { Time::MAX } else { Time::MIN };
        self.next_period.min(probe.unwrap_or(Time::MAX)).min(verify)
    }

    pub fn tick(&mut self, now: Time) -> Vec<OutgoingMessage> {
        let mut out = self.turn(now);
        out.extend(self.verifies());
        out
    }

    fn turn(&mut self, now: Time) -> Vec<OutgoingMessage> {
        let mut out = Vec::new();
        self.errands.retain(|errand| errand.until > now);
        if let Some(probe) =
            self.probe.clone().filter(|probe| !probe.helped && now - probe.asked >= self.wait())
        {
            // Perhaps only the way is bad: others are asked to ask.
            if let Some(at) = self.members.get(&probe.whom).map(|member| member.address) {
                let others: Vec<SocketAddr> = self
                    .members
                    .iter()
                    .filter(|(id, member)| **id != probe.whom && member.state == MemberState::Alive)
                    .map(|(_, member)| member.address)
                    .collect();
                for _ in 0..self.options.helpers.min(others.len()) {
                    let to = others[self.rng.index_below(others.len())];
                    let (number, whom) = (probe.number, probe.whom);
                    out.push(self.send(to, Message::PingRequest { number, whom, at }));
                }
            }
            if let Some(probe) = self.probe.as_mut() {
                probe.helped = true;
            }
        }
        if now < self.next_period {
            return out;
        }
        self.next_period = if self.next_period == Time::MIN { now } else { self.next_period } + self.period();
        if self.next_period <= now {
            self.next_period = now + self.period(); // a pause: missed periods are not made up for
        }
        if let Some(probe) = self.probe.take() {
            self.suspect(now, probe.whom);
        }
        self.bury(now);
        self.periods = self.periods.wrapping_add(1);
        if !self.joined || self.members.is_empty() {
            for to in self.seeds.clone() {
                out.push(self.join(to));
            }
        } else if self.periods.is_multiple_of(SYNC) {
            let all: Vec<SocketAddr> = self.members.values().map(|member| member.address).collect();
            let from = if self.rng.next_f64() < 0.5 && !self.seeds.is_empty() { &self.seeds } else { &all };
            let to = from[self.rng.index_below(from.len())];
            // One of a version that does not compare answers nothing: all is asked for as well, less often.
            out.push(match self.options.digests && !self.periods.is_multiple_of(SYNC * WHOLE) {
                true => {
                    let parts = self.parts();
                    self.send(to, Message::Sync { parts })
                }
                false => self.join(to),
            });
        }
        if let Some((whom, to)) = self.next() {
            let suspect =
                self.members.get(&whom).filter(|member| member.state == MemberState::Suspect).cloned();
            out.push(match suspect {
                Some(member) => self.asks_suspect(whom, member),
                None => {
                    self.number += 1;
                    let number = self.number;
                    self.send(to, Message::Ping { number })
                }
            });
            self.probe = Some(Probe { whom, number: self.number, asked: now, helped: false });
        }
        out
    }

    /// Asks suspects that were drawn here. Nothing waits for the answer: it is the suspect's own word that counts.
    fn verifies(&mut self) -> Vec<OutgoingMessage> {
        let drawn = std::mem::take(&mut self.verify);
        let suspects: Vec<(NodeId, Member)> = drawn
            .into_iter()
            .filter_map(|id| Some((id, self.members.get(&id)?.clone())))
            .filter(|(_, member)| member.state == MemberState::Suspect)
            .collect();
        suspects.into_iter().map(|(id, member)| self.asks_suspect(id, member)).collect()
    }

    /// A suspect hears of its suspicion from whoever asks it, and can say otherwise at once.
    fn asks_suspect(&mut self, id: NodeId, member: Member) -> OutgoingMessage {
        self.number += 1;
        let mut send = self.send(member.address, Message::Ping { number: self.number });
        let Member { role, address, incarnation, state, .. } = member;
        send.envelope.rumours.retain(|rumour| rumour.id != id);
        send.envelope.rumours.truncate(MAX_GOSSIP_UPDATES - 1);
        send.envelope.rumours.insert(0, GossipUpdate { id, role, address, incarnation, state });
        send
    }

    /// The next to be asked: each once a round, in an order drawn anew for each.
    fn next(&mut self) -> Option<(NodeId, SocketAddr)> {
        loop {
            if self.round.is_empty() {
                let asked = |member: &Member| !matches!(member.state, MemberState::Dead | MemberState::Left);
                self.round = self.members.iter().filter(|(_, m)| asked(m)).map(|(id, _)| *id).collect();
                for at in (1..self.round.len()).rev() {
                    let other = self.rng.index_below(at + 1);
                    self.round.swap(at, other);
                }
            }
            let whom = self.round.pop()?;
            if let Some(member) =
                self.members.get(&whom).filter(|m| !matches!(m.state, MemberState::Dead | MemberState::Left))
            {
                return Some((whom, member.address));
            }
        }
    }

    fn suspect(&mut self, now: Time, whom: NodeId) {
        let Some(member) = self
            .members
            .get(&whom)
            .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Draining))
        else {
            return;
        };
        let (role, address, incarnation) = (member.role, member.address, member.incarnation);
        // One that drains is not suspected: it is gone when it does not answer.
        let state =
            if member.state == MemberState::Draining { MemberState::Dead } else { MemberState::Suspect };
        self.learn(now, GossipUpdate { id: whom, role, address, incarnation, state });
    }

    /// Suspicion that was not answered becomes death; the dead are forgotten in time.
    fn bury(&mut self, now: Time) {
        let (patience, remembered) = (self.suspected_for(), self.options.remembered);
        let over: Vec<GossipUpdate> = self
            .members
            .iter()
            .filter(|(_, member)| member.state == MemberState::Suspect && now - member.since >= patience)
            .map(|(id, m)| GossipUpdate {
                id: *id,
                role: m.role,
                address: m.address,
                incarnation: m.incarnation,
                state: MemberState::Dead,
            })
            .collect();
        over.into_iter().for_each(|rumour| self.learn(now, rumour));
        let gone = |member: &Member| matches!(member.state, MemberState::Dead | MemberState::Left);
        self.members.retain(|_, member| !(gone(member) && now - member.since >= remembered));
    }

    // ---- what is heard ----

    /// A message from `at`, by which its sender is surely there.
    pub fn heard(&mut self, now: Time, at: SocketAddr, envelope: &Envelope) -> Vec<OutgoingMessage> {
        for rumour in &envelope.rumours {
            self.learn(now, rumour.clone());
        }
        let mut out = Vec::new();
        match &envelope.message {
            Message::Ping { number } => {
                let number = *number;
                out.push(self.send(at, Message::Ack { number }));
            }
            Message::Ack { number } => {
                let probe =
                    self.probe.take_if(|probe| probe.number == *number && probe.whom == envelope.from);
                if let Some(probe) = probe {
                    // Its own answer, however late: where all come late, all are waited for longer. One that came through others
                    // tells of a letter that was lost.
                    if self.members.get(&envelope.from).is_some_and(|member| member.address == at) {
                        let took = (now - probe.asked).max(0) as f64;
                        self.varies += ((took - self.took).abs() - self.varies) / 4.0;
                        self.took += (took - self.took) / 8.0;
                    }
                }
                if let Some(place) = self.errands.iter().position(|errand| errand.number == *number) {
                    let errand = self.errands.remove(place);
                    let mut answer = self.send(errand.back, Message::Ack { number: errand.for_number });
                    answer.envelope.from = envelope.from; // for whom it stands
                    answer.envelope.incarnation = envelope.incarnation;
                    out.push(answer);
                }
            }
            Message::PingRequest { number, at: whose, .. } => {
                self.number += 1;
                let own = self.number;
                if self.errands.len() < 64 {
                    let until = now + self.options.period;
                    self.errands.push(Errand { number: own, for_number: *number, back: at, until });
                    out.push(self.send(*whose, Message::Ping { number: own }));
                }
            }
            Message::Join => self.tells(at, |_| true, &mut out),
            Message::Sync { parts } => {
                let own = self.parts();
                if own != *parts {
                    self.tells(at, |id| own.get(part_of(id)) != parts.get(part_of(id)), &mut out);
                }
            }
            Message::MemberList { rumours } => {
                self.joined = true;
                self.spread(self.own.clone());
                for rumour in rumours {
                    self.learn(now, rumour.clone());
                }
            }
            Message::Report(_) | Message::Grants { .. } | Message::WithPolicyVersion { .. } => {}
        }
        out
    }

    /// All that is known of those members, ourselves among them where we are.
    fn tells(&mut self, at: SocketAddr, which: impl Fn(NodeId) -> bool, out: &mut Vec<OutgoingMessage>) {
        let rumour = |(id, m): (&NodeId, &Member)| GossipUpdate {
            id: *id,
            role: m.role,
            address: m.address,
            incarnation: m.incarnation,
            state: m.state,
        };
        let mut all: Vec<GossipUpdate> =
            self.members.iter().filter(|(id, _)| which(**id)).map(rumour).collect();
        all.extend(Some(self.own.clone()).filter(|own| which(own.id)));
        for part in all.chunks(MAX_LISTED_MEMBERS) {
            out.push(self.send(at, Message::MemberList { rumours: part.to_vec() }));
        }
    }

    /// A hash of each part of those that are here. Who is gone is left out, as each forgets them in its own time; so is suspicion, which
    /// passes.
    fn parts(&self) -> Vec<u64> {
        let mut parts = vec![0u64; MEMBER_PARTITIONS];
        let mut add = |id: NodeId, incarnation: u32, state: MemberState| {
            if !matches!(state, MemberState::Dead | MemberState::Left) {
                let mut hasher = DefaultHasher::new();
                (id, incarnation, state == MemberState::Draining).hash(&mut hasher);
                parts[part_of(id)] ^= hasher.finish();
            }
        };
        self.members.iter().for_each(|(id, member)| add(*id, member.incarnation, member.state));
        add(self.own.id, self.own.incarnation, self.own.state);
        parts
    }

    /// Takes over what is newer than what is known here.
    pub fn learn(&mut self, now: Time, rumour: GossipUpdate) {
        if rumour.id == self.own.id {
            // Whoever says otherwise of us is told better, with a higher incarnation.
            if rumour.incarnation >= self.own.incarnation && rumour.state != self.own.state {
                self.own.incarnation = rumour.incarnation.saturating_add(1);
                self.spread(self.own.clone());
            }
            return;
        }
        let known = self.members.get(&rumour.id);
        let newer = match known {
            None => {
                !matches!(rumour.state, MemberState::Dead | MemberState::Left)
                    && self.members.len() < self.options.most
            }
            Some(member) => {
                (rumour.incarnation, rumour.state) > (member.incarnation, member.state)
                    // The dead come back with a higher incarnation only.
                    && !(matches!(member.state, MemberState::Dead | MemberState::Left) && rumour.incarnation == member.incarnation)
            }
        };
        if !newer {
            return;
        }
        let from = known.map(|member| member.state);
        let GossipUpdate { id, role, address, incarnation, state } = rumour;
        let same = known.is_some_and(|member| member.state == state);
        let since = known.filter(|_| same).map_or(now, |member| member.since);
        self.members.insert(id, Member { role, address, incarnation, state, since });
        self.spread(GossipUpdate { id, role, address, incarnation, state });
        if from != Some(state) && state == MemberState::Suspect {
            let share = self.options.verifiers / self.members.len().max(1) as f64;
            if share > 0.0 && self.verify.len() < VERIFY && self.rng.next_f64() < share {
                self.verify.push(id);
            }
        }
        if from != Some(state) {
            self.changes.push(MembershipChange { id, role, from, to: state });
        }
        if self.probe.as_ref().is_some_and(|probe| probe.whom == id && state == MemberState::Alive) {
            self.probe = None;
        }
    }

    /// All that it still had to tell counts as told: after all have started at once that takes minutes, and a measurement of rest need
    /// not wait for it.
    pub fn told(&mut self) {
        self.rumours.clear();
    }

    /// A member that starts anew under its old address knows nothing of its incarnations: it takes one past what others say.
    pub fn incarnation(&mut self, at_least: u32) {
        self.own.incarnation = self.own.incarnation.max(at_least);
    }
}
