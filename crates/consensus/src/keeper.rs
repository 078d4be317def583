//! One keeper: follows, asks for votes, leads. See the crate's page for the order of effects.

use crate::kept::{self, Base, Hard, Kept, Write};
use crate::letter::{Body, Entry, Letter, Mark, What, COMMAND, MEMBERS, PART};
use crate::{DiskId, Machine, Member, NodeId, SeededRng, Time, MS};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Times and bounds. Derived where it can be: whoever sets `beat` sets them all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// A leader lets itself be heard so often.
    pub beat: Time,
    /// Entries past the base before a new one is taken.
    pub log: usize,
    /// Guards that tests take out, to show what they are for.
    pub broken: Broken,
}

/// What can be left out. Nothing, but in tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Broken {
    /// A keeper with an empty disk votes.
    pub empty_votes: bool,
    /// Letters leave before what they promise is on the disk.
    pub says_before_disk: bool,
}

impl Default for Options {
    fn default() -> Options {
        Options { beat: 20 * MS, log: 4096, broken: Broken::default() }
    }
}

impl Options {
    /// Silence of a leader for which nobody else is voted for; the time to an election is up to twice that.
    pub fn least(&self) -> Time {
        self.beat * 8
    }
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// Decided at this index, and carried out.
    Done { number: u64, index: u64, said: Vec<u8> },
    /// This keeper leads no longer: it may be decided or not.
    Unknown { number: u64 },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Out {
    pub writes: Vec<Write>,
    pub letters: Vec<(NodeId, Letter)>,
    pub answers: Vec<Answer>,
    /// What changed, for the log.
    pub said: Vec<String>,
}

impl Out {
    /// Both, in this order.
    pub fn and(mut self, other: Out) -> Out {
        self.writes.extend(other.writes);
        self.letters.extend(other.letters);
        self.answers.extend(other.answers);
        self.said.extend(other.said);
        self
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Peer {
    disk: DiskId,
    next: u64,
    upto: u64,
    /// The last round that it answered, and when it was last heard.
    round: u64,
    heard: Time,
    /// Bytes of the image that it has.
    image: Option<u64>,
    /// The round in which it was last sent something at once because it lacked what stood before: once a round, as each
    /// answer would bring another, and doubled ones ever more.
    again: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Lead {
    peers: BTreeMap<NodeId, Peer>,
    round: u64,
    /// Its first entry: once that is decided it knows what is.
    first: u64,
    /// Who waits for which index.
    waiting: VecDeque<(u64, u64)>,
    beat: Time,
    /// Named keepers whose disks are no members, and when they last said so.
    fresh: BTreeMap<NodeId, (DiskId, Time)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Role {
    Follows,
    Asks { pre: bool, votes: BTreeSet<NodeId> },
    Leads(Box<Lead>),
}

/// A part of an image that is coming.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Coming {
    mark: Mark,
    bytes: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Keeper<M> {
    own: Member,
    named: BTreeSet<NodeId>,
    options: Options,
    rng: SeededRng,
    hard: Hard,
    formed: bool,
    base: Base,
    image: Vec<u8>,
    log: VecDeque<Entry>,
    /// Decided, and carried out, up to here.
    commit: u64,
    machine: M,
    role: Role,
    leader: Option<NodeId>,
    /// When the leader was last heard.
    heard: Time,
    due: Time,
    /// No vote before that: whoever knows that this disk is an older one has time to say so.
    quiet: Time,
    /// What was last heard of empty ones.
    fresh: BTreeMap<NodeId, (DiskId, Time)>,
    /// What other disks acknowledged here, and voted.
    seen: BTreeMap<NodeId, (DiskId, Mark, u64)>,
    coming: Coming,
    /// Set once: this disk has forgotten something, and may not go on as itself.
    older: bool,
}

/// Who a keeper is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Begin {
    pub own: NodeId,
    /// All keepers of the operator's file, itself among them.
    pub named: BTreeSet<NodeId>,
    /// The disk's own name, drawn by whoever opened it when it was empty.
    pub disk: DiskId,
    pub options: Options,
    pub seed: u64,
}

impl<M: Machine> Keeper<M> {
    /// `empty` is the state before any command.
    pub fn start(now: Time, begin: Begin, kept: Kept, empty: M) -> (Keeper<M>, Out) {
        let Begin { own, named, disk, options, seed } = begin;
        let formed = kept.base.is_some();
        let base = kept.base.unwrap_or_default();
        let machine = match formed && base.mark.index > 0 {
            true => M::from_image(&kept.image),
            false => None,
        };
        let older = formed && base.mark.index > 0 && machine.is_none();
        let hard = Hard { disk, ..kept.hard };
        let mut keeper = Keeper {
            own: Member { id: own, disk },
            named,
            options,
            rng: SeededRng::new(seed ^ disk),
            hard,
            formed,
            commit: base.mark.index,
            base,
            image: kept.image,
            log: kept.log.into(),
            machine: machine.unwrap_or(empty),
            role: Role::Follows,
            leader: None,
            heard: Time::MIN / 2,
            due: now,
            quiet: now + options.least(),
            fresh: BTreeMap::new(),
            seen: BTreeMap::new(),
            coming: Coming::default(),
            older,
        };
        let mut out = Out { writes: kept.stale, ..Out::default() };
        if kept.hard != hard {
            out.writes.push(kept::hard(&hard));
        }
        if formed {
            let last = keeper.last();
            keeper.all(&mut out, Body::Hello { last });
        }
        keeper.wait(now);
        (keeper, out)
    }

    // ---- what is asked of it ----

    pub fn machine(&self) -> &M {
        &self.machine
    }
    pub fn machine_mut(&mut self) -> &mut M {
        &mut self.machine
    }
    pub fn own(&self) -> Member {
        self.own
    }
    pub fn term(&self) -> u64 {
        self.hard.term
    }
    pub fn commit(&self) -> u64 {
        self.commit
    }
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }
    /// This disk has forgotten what it said: the keeper stops, and comes back with an empty disk of another name.
    pub fn older(&self) -> bool {
        self.older
    }
    /// It leads, and knows all that is decided.
    pub fn leads(&self) -> bool {
        matches!(&self.role, Role::Leads(lead) if self.commit >= lead.first)
    }
    /// Who the members are, by the newest word, decided or not.
    pub fn members(&self) -> &[Member] {
        let newest = self.log.iter().rev().find_map(|entry| match &entry.what {
            What::Members(members) => Some(members.as_slice()),
            _ => None,
        });
        newest.unwrap_or(&self.base.members)
    }
    pub fn due(&self) -> Time {
        match &self.role {
            Role::Leads(lead) => lead.beat,
            _ => self.due,
        }
    }
    /// Entries past the base, and bytes of the image.
    pub fn size(&self) -> (usize, usize) {
        (self.log.len(), self.image.len())
    }
    /// The operator's file names others from now on; members follow, one at a time.
    pub fn names(&mut self, named: BTreeSet<NodeId>) {
        self.named = named;
    }

    /// The round that has to be confirmed before what is asked now may be answered as a leader's word.
    pub fn asks(&self) -> Option<u64> {
        match &self.role {
            Role::Leads(lead) if self.leads() => Some(lead.round + 1),
            _ => None,
        }
    }

    /// A majority has heard this leader in this round: nobody else led when it began.
    pub fn confirmed(&self) -> u64 {
        match &self.role {
            Role::Leads(lead) if self.leads() => {
                self.majority(lead.round, |id| lead.peers.get(&id).map_or(0, |peer| peer.round))
            }
            _ => 0,
        }
    }

    /// Whether it was taken; the answer comes with an `Out`, under this number.
    pub fn propose(&mut self, now: Time, number: u64, command: Vec<u8>) -> Option<Out> {
        if !self.leads() || command.len() > COMMAND {
            return None;
        }
        let mut out = Out::default();
        let index = self.append(&mut out, What::Command(command));
        if let Role::Leads(lead) = &mut self.role {
            lead.waiting.push_back((index, number));
        }
        self.send_all(&mut out);
        self.decide(now, &mut out);
        Some(out)
    }

    // ---- time ----

    pub fn tick(&mut self, now: Time) -> Out {
        let mut out = Out::default();
        if self.older || now < self.due() {
            return out;
        }
        if let Role::Leads(_) = self.role {
            self.beats(now, &mut out);
            return out;
        }
        self.wait(now);
        if !self.formed {
            self.due = now + self.options.beat * 4;
            self.all(&mut out, Body::Fresh { empty: true });
            self.forms(now, &mut out);
            return out;
        }
        if now < self.quiet {
            let last = self.last();
            self.all(&mut out, Body::Hello { last });
            self.due = self.quiet;
            return out;
        }
        if !self.members().contains(&self.own) {
            // Not yet, or no longer: whoever leads may take it in.
            self.due = now + self.options.beat * 4;
            self.all(&mut out, Body::Fresh { empty: false });
            return out;
        }
        self.asks_for(now, true, &mut out);
        out
    }

    /// Asks for votes now, whatever its time says: for models, in which any order of events is played.
    pub fn campaigns(&mut self, now: Time) -> Out {
        let mut out = Out::default();
        if !self.older && self.formed && !matches!(self.role, Role::Leads(_)) {
            self.asks_for(now, false, &mut out);
        }
        out
    }

    /// Time to the next election: at least the silence that others ask for.
    fn wait(&mut self, now: Time) {
        let least = self.options.least();
        self.due = now + least + self.rng.below(least as u64) as Time;
    }

    fn asks_for(&mut self, now: Time, pre: bool, out: &mut Out) {
        self.leader = None;
        let last = self.last();
        if !pre {
            self.hard.term += 1;
            self.hard.voted = Some(self.own.id);
            out.writes.push(kept::hard(&self.hard));
        }
        self.role = Role::Asks { pre, votes: [self.own.id].into() };
        let term = self.hard.term + u64::from(pre);
        let letters = self.others().into_iter().map(|to| {
            let body = Body::Ask { pre, last };
            (to.id, Letter { from: self.own, to_disk: to.disk, term, body })
        });
        out.letters.extend(letters);
        self.elected(now, out);
    }

    fn elected(&mut self, now: Time, out: &mut Out) {
        let Role::Asks { pre, votes } = &self.role else { return };
        let (pre, votes) = (*pre, votes.clone());
        if self.majority(1, |id| u64::from(votes.contains(&id))) == 0 {
            return;
        }
        if pre {
            return self.asks_for(now, false, out);
        }
        let next = self.last().index + 1;
        let mut lead = Lead { first: next, beat: now, ..Lead::default() };
        for other in self.others() {
            let peer = Peer { disk: other.disk, next, upto: 0, round: 0, heard: now, image: None, again: 0 };
            lead.peers.insert(other.id, peer);
        }
        self.role = Role::Leads(Box::new(lead));
        self.leader = Some(self.own.id);
        out.said.push(format!("leads the keepers in term {}", self.hard.term));
        self.append(out, What::Blank);
        self.beats(now, out);
    }

    fn follows(&mut self, now: Time, out: &mut Out) {
        if let Role::Leads(lead) = std::mem::replace(&mut self.role, Role::Follows) {
            let unknown = lead.waiting.into_iter().map(|(_, number)| Answer::Unknown { number });
            out.answers.extend(unknown);
            out.said.push(format!("leads the keepers no longer, after term {}", self.hard.term));
            self.leader = None;
            self.wait(now);
        }
    }

    // ---- leading ----

    fn beats(&mut self, now: Time, out: &mut Out) {
        let (least, beat) = (self.options.least(), self.options.beat);
        let Role::Leads(lead) = &mut self.role else { return };
        lead.beat = now + beat;
        lead.round += 1;
        let heard: BTreeMap<NodeId, bool> =
            lead.peers.iter().map(|(id, peer)| (*id, now - peer.heard < least)).collect();
        for peer in lead.peers.values_mut() {
            // What was on its way in the last beat and is not answered goes again.
            if peer.image.is_none() && peer.upto > 0 {
                peer.next = peer.upto + 1;
            }
        }
        if self.majority(1, |id| u64::from(heard.get(&id).copied().unwrap_or(false))) == 0 {
            return self.follows(now, out);
        }
        self.changes(now, out);
        self.send_all(out);
        self.decide(now, out);
    }

    /// Changes the members by one, where the file and those that are here ask for it and no change is under way.
    fn changes(&mut self, now: Time, out: &mut Out) {
        let under_way = (self.commit + 1..=self.last().index)
            .any(|index| matches!(self.entry(index).map(|entry| &entry.what), Some(What::Members(_))));
        if under_way || !self.leads() {
            return;
        }
        let least = self.options.least();
        let Role::Leads(lead) = &self.role else { return };
        let mut fresh = lead.fresh.iter().filter(|(_, (_, at))| now - at < 4 * least);
        let mut members = self.members().to_vec();
        let gone = |member: &&Member| {
            let other = lead.fresh.get(&member.id).is_some_and(|(disk, _)| *disk != member.disk);
            member.id != self.own.id && (other || !self.named.contains(&member.id))
        };
        if let Some(gone) = members.iter().find(gone).copied() {
            members.retain(|member| *member != gone);
            out.said.push(format!("keeper {:016x} with disk {:016x} goes", gone.id, gone.disk));
        } else if let Some((id, (disk, _))) =
            fresh.find(|(id, _)| self.named.contains(id) && members.iter().all(|member| member.id != **id))
        {
            if members.len() >= MEMBERS {
                return;
            }
            members.push(Member { id: *id, disk: *disk });
            out.said.push(format!("keeper {id:016x} with disk {disk:016x} comes"));
        } else {
            return;
        }
        members.sort_unstable();
        self.append(out, What::Members(members));
        self.peers(now);
    }

    /// Those that are followed up are the members of the newest word.
    fn peers(&mut self, now: Time) {
        let (others, next) = (self.others(), self.last().index + 1);
        let Role::Leads(lead) = &mut self.role else { return };
        lead.peers.retain(|id, peer| others.iter().any(|other| (other.id, other.disk) == (*id, peer.disk)));
        for other in others {
            let peer = Peer { disk: other.disk, next, upto: 0, round: 0, heard: now, image: None, again: 0 };
            lead.peers.entry(other.id).or_insert(peer);
            lead.fresh.remove(&other.id);
        }
    }

    fn append(&mut self, out: &mut Out, what: What) -> u64 {
        let entry = Entry { term: self.hard.term, what };
        let index = self.last().index + 1;
        out.writes.push(kept::entry(index, &entry));
        self.log.push_back(entry);
        index
    }

    fn send_all(&mut self, out: &mut Out) {
        let to: Vec<NodeId> = match &self.role {
            Role::Leads(lead) => lead.peers.keys().copied().collect(),
            _ => return,
        };
        for id in to {
            self.send(id, out);
        }
    }

    /// What the peer lacks, as much as goes into a letter.
    fn send(&mut self, to: NodeId, out: &mut Out) {
        let last = self.last().index;
        let Role::Leads(lead) = &self.role else { return };
        let (round, commit) = (lead.round, self.commit);
        let Some(peer) = lead.peers.get(&to).cloned() else { return };
        let body = if peer.next <= self.base.mark.index {
            let at = peer.image.unwrap_or(0).min(self.image.len() as u64);
            let end = (at as usize + PART).min(self.image.len());
            let bytes = self.image[at as usize..end].to_vec();
            let (base, members) = (self.base.mark, self.base.members.clone());
            Body::Image { round, base, members, at, length: self.image.len() as u64, bytes }
        } else {
            let before = self.mark(peer.next - 1).unwrap_or_default();
            let (mut entries, mut size) = (Vec::new(), 0);
            for index in peer.next..=last {
                let Some(entry) = self.entry(index) else { break };
                size += match &entry.what {
                    What::Command(bytes) => bytes.len() + 16,
                    _ => 64,
                };
                if size > PART && !entries.is_empty() {
                    break;
                }
                entries.push(entry.clone());
            }
            Body::Append { round, before, entries, commit }
        };
        let sent = match &body {
            Body::Append { entries, .. } => entries.len() as u64,
            _ => 0,
        };
        let images = matches!(body, Body::Image { .. });
        out.letters.push((to, Letter { from: self.own, to_disk: peer.disk, term: self.hard.term, body }));
        if let Role::Leads(lead) = &mut self.role {
            if let Some(peer) = lead.peers.get_mut(&to) {
                peer.next += sent;
                peer.image = images.then(|| peer.image.unwrap_or(0));
            }
        }
    }

    /// Decides what a majority holds, carries it out, and takes a new base where the log is long.
    fn decide(&mut self, now: Time, out: &mut Out) {
        if let Role::Leads(lead) = &self.role {
            let held = self.majority(self.last().index, |id| lead.peers.get(&id).map_or(0, |peer| peer.upto));
            // Only what was appended in the own term counts by its copies; what is before is decided with it.
            if held > self.commit && self.mark(held).is_some_and(|mark| mark.term == self.hard.term) {
                self.carry_out(held, out);
                let own = self.own;
                if !self.members().contains(&own) && self.settled() {
                    out.said.push("goes from the keepers".into());
                    self.follows(now, out);
                }
            }
        }
    }

    /// No change of members is under way.
    fn settled(&self) -> bool {
        (self.commit + 1..=self.last().index)
            .all(|index| !matches!(self.entry(index).map(|entry| &entry.what), Some(What::Members(_))))
    }

    fn carry_out(&mut self, upto: u64, out: &mut Out) {
        let upto = upto.min(self.last().index);
        while self.commit < upto {
            let index = self.commit + 1;
            let at = (index - self.base.mark.index - 1) as usize;
            let said = match &self.log[at].what {
                What::Command(command) => self.machine.apply(index, command),
                _ => Vec::new(),
            };
            self.commit = index;
            if let Role::Leads(lead) = &mut self.role {
                while let Some((_, number)) = lead.waiting.front().filter(|(at, _)| *at == index).copied() {
                    lead.waiting.pop_front();
                    out.answers.push(Answer::Done { number, index, said: said.clone() });
                }
            }
        }
        if (self.commit - self.base.mark.index) as usize >= self.options.log {
            self.rebase(out);
        }
    }

    fn rebase(&mut self, out: &mut Out) {
        let Some(mark) = self.mark(self.commit) else { return };
        let decided = (mark.index - self.base.mark.index) as usize;
        let newest = self.log.iter().take(decided).rev().find_map(|entry| match &entry.what {
            What::Members(members) => Some(members.clone()),
            _ => None,
        });
        let members = newest.unwrap_or_else(|| self.base.members.clone());
        self.image = self.machine.image();
        let base = Base { mark, members, length: self.image.len() as u64 };
        let old = std::mem::replace(&mut self.base, base);
        kept::base(&mut out.writes, &self.base, &self.image, &old, old.mark.index + 1..=mark.index);
        self.log.drain(..decided);
        if let Role::Leads(lead) = &mut self.role {
            lead.peers.values_mut().for_each(|peer| peer.image = None);
        }
    }

    // ---- letters ----

    pub fn hear(&mut self, now: Time, letter: &Letter) -> Out {
        let mut out = Out::default();
        let from = letter.from;
        if self.older || !letter.bounded() || from.id == self.own.id {
            return out;
        }
        if letter.to_disk != 0 && letter.to_disk != self.own.disk && !self.options.broken.empty_votes {
            return out; // to a disk that is no longer here, or was never
        }
        match &letter.body {
            Body::Fresh { empty } => self.asked(now, from, *empty, &mut out),
            Body::Form { members } => self.formed(now, members, &mut out),
            Body::Hello { last: _ } => {
                let (disk, last, voted) = self.seen.get(&from.id).copied().unwrap_or_default();
                if disk == from.disk {
                    self.reply(&mut out, from, Body::Seen { last, voted });
                }
            }
            Body::Seen { last, voted } => {
                let own = self.last();
                let short = last.index > own.index || last.term > own.term || *voted > self.hard.term;
                if self.formed && short {
                    self.older = true;
                    out.said.push(format!(
                        "disk {:016x} has forgotten: it stands at {:?}, and {:?} was acknowledged from it",
                        self.own.disk,
                        self.last(),
                        last
                    ));
                }
            }
            _ if letter.to_disk == 0 => {}
            Body::Ask { pre, last } => self.wants_vote(now, from, letter.term, *pre, *last, &mut out),
            Body::Vote { pre, granted } => {
                if !granted {
                    self.moves_to(now, letter.term, &mut out);
                } else if self.is_member(from) || self.options.broken.empty_votes {
                    let term = self.hard.term + u64::from(*pre);
                    match &mut self.role {
                        Role::Asks { pre: asked, votes } if asked == pre && letter.term == term => {
                            votes.insert(from.id);
                            if !pre {
                                self.saw(from, Mark::default(), letter.term);
                            }
                            self.elected(now, &mut out);
                        }
                        _ => {}
                    }
                }
            }
            Body::Append { round, before, entries, commit } => {
                if self.led_by(now, from, letter.term, &mut out) {
                    let (good, upto) = self.takes(*before, entries, &mut out);
                    if good {
                        self.carry_out((*commit).min(upto), &mut out);
                    }
                    self.reply(&mut out, from, Body::Appended { round: *round, good, upto });
                }
            }
            Body::Image { round, base, members, at, length, bytes } => {
                if self.led_by(now, from, letter.term, &mut out) {
                    let taken = self.takes_image(*base, members, *at, *length, bytes, &mut out);
                    let body = match taken {
                        Some(at) => Body::ImageTaken { round: *round, index: base.index, at },
                        None => Body::Appended {
                            round: *round,
                            good: true,
                            upto: base.index.min(self.last().index),
                        },
                    };
                    self.reply(&mut out, from, body);
                }
            }
            Body::Appended { round, good, upto } => {
                self.acked(now, letter, *round, Some((*good, *upto)), &mut out);
            }
            Body::ImageTaken { round, index, at } => {
                let (index, at) = (*index, *at);
                if self.acked(now, letter, *round, None, &mut out) && index == self.base.mark.index {
                    let Role::Leads(lead) = &mut self.role else { return out };
                    let Some(peer) = lead.peers.get_mut(&from.id) else { return out };
                    // The next part follows a part that is new there, not its double; beats repeat what was lost.
                    if peer.image.is_some_and(|had| had < at) {
                        peer.image = Some(at);
                        self.send(from.id, &mut out);
                    }
                }
            }
        }
        out
    }

    /// One without members of its own asks who we are.
    fn asked(&mut self, now: Time, from: Member, empty: bool, out: &mut Out) {
        if !self.named.contains(&from.id) || from.disk == 0 {
            return;
        }
        if empty {
            self.fresh.insert(from.id, (from.disk, now));
        }
        if !self.formed {
            return;
        }
        if self.is_member(from) {
            // It was counted in when the others began, or was taken in and has not heard of it.
            let members = self.members().to_vec();
            return self.reply(out, from, Body::Form { members });
        }
        if let Role::Leads(lead) = &mut self.role {
            lead.fresh.insert(from.id, (from.disk, now));
        }
    }

    /// All named ones are here, and none of them remembers anything: the least of them begins.
    fn forms(&mut self, now: Time, out: &mut Out) {
        let least = self.named.iter().next() == Some(&self.own.id);
        let lately = now - 4 * self.options.least();
        let mut members = vec![self.own];
        for id in self.named.iter().filter(|id| **id != self.own.id) {
            match self.fresh.get(id) {
                Some((disk, at)) if *at > lately => members.push(Member { id: *id, disk: *disk }),
                _ => return,
            }
        }
        if least && self.named.contains(&self.own.id) {
            out.said.push(format!("{} keepers with empty disks begin", members.len()));
            self.formed(now, &members, out);
        }
    }

    fn formed(&mut self, now: Time, members: &[Member], out: &mut Out) {
        if self.formed || !members.contains(&self.own) {
            return;
        }
        let mut members = members.to_vec();
        members.sort_unstable();
        self.formed = true;
        self.base = Base { members, ..Base::default() };
        kept::base(&mut out.writes, &self.base, &[], &Base::default(), 1..=self.base.mark.index);
        self.quiet = now;
        self.wait(now);
    }

    fn wants_vote(&mut self, now: Time, from: Member, term: u64, pre: bool, last: Mark, out: &mut Out) {
        let may = self.formed || self.options.broken.empty_votes;
        // While a leader is heard, nobody else is wanted; one that was cut off has to wait until it has heard of it.
        let led = now - self.heard < self.options.least() || matches!(self.role, Role::Leads(_));
        // Whoever asks need not be a member as far as is known here: those who took it in may all be gone but itself.
        if !may || now < self.quiet || led {
            return;
        }
        if !pre && term > self.hard.term {
            self.moves_to(now, term, out);
        }
        let ahead = last >= self.last();
        let granted = match pre {
            true => ahead && term > self.hard.term,
            false => {
                let free = self.hard.voted.is_none_or(|voted| voted == from.id);
                ahead && term == self.hard.term && free
            }
        };
        if granted && !pre {
            self.hard.voted = Some(from.id);
            out.writes.push(kept::hard(&self.hard));
            self.wait(now);
        }
        let term = if pre && granted { term } else { self.hard.term };
        let body = Body::Vote { pre, granted };
        out.letters.push((from.id, Letter { from: self.own, to_disk: from.disk, term, body }));
    }

    /// A later term was heard of: follows in it.
    fn moves_to(&mut self, now: Time, term: u64, out: &mut Out) {
        if term > self.hard.term {
            self.follows(now, out);
            self.role = Role::Follows;
            (self.hard.term, self.hard.voted) = (term, None);
            out.writes.push(kept::hard(&self.hard));
        }
    }

    /// A leader speaks: whether it is the one to be followed.
    fn led_by(&mut self, now: Time, from: Member, term: u64, out: &mut Out) -> bool {
        if term < self.hard.term {
            // It will hear of the later term, and follow.
            self.reply(out, from, Body::Appended { round: 0, good: false, upto: 0 });
            return false;
        }
        if !self.formed && !self.options.broken.empty_votes {
            return false;
        }
        self.moves_to(now, term, out);
        if let Role::Leads(_) = self.role {
            return false; // two leaders in a term can't be: garbled
        }
        self.role = Role::Follows;
        self.leader = Some(from.id);
        self.heard = now;
        self.wait(now);
        true
    }

    /// Takes entries behind `before`: whether that stands here, and how far all is as the leader has it, or where to try.
    fn takes(&mut self, before: Mark, entries: &[Entry], out: &mut Out) -> (bool, u64) {
        if before.index > self.last().index {
            return (false, self.last().index);
        }
        let base = self.base.mark.index;
        if before.index > base && self.mark(before.index) != Some(before) {
            // Back over the whole term that does not fit.
            let term = self.mark(before.index).map_or(0, |mark| mark.term);
            let mut at = before.index;
            while at > self.commit && self.mark(at).is_some_and(|mark| mark.term == term) {
                at -= 1;
            }
            return (false, at);
        }
        let mut index = before.index;
        for entry in entries {
            index += 1;
            if index <= self.commit {
                continue; // decided: the same everywhere
            }
            match self.mark(index) {
                Some(mark) if mark.term == entry.term => continue,
                Some(_) => {
                    for gone in (index..=self.last().index).rev() {
                        out.writes.push(kept::no_entry(gone));
                        self.log.pop_back();
                    }
                }
                None => {}
            }
            out.writes.push(kept::entry(index, entry));
            self.log.push_back(entry.clone());
        }
        (true, index)
    }

    /// Bytes of it that are here; `None` once it is taken, or was not needed.
    fn takes_image(
        &mut self,
        base: Mark,
        members: &[Member],
        at: u64,
        length: u64,
        bytes: &[u8],
        out: &mut Out,
    ) -> Option<u64> {
        if base.index <= self.commit {
            return None;
        }
        if self.coming.mark != base {
            self.coming = Coming { mark: base, bytes: Vec::new() };
        }
        if at == self.coming.bytes.len() as u64 {
            self.coming.bytes.extend(bytes);
        }
        if (self.coming.bytes.len() as u64) < length {
            return Some(self.coming.bytes.len() as u64);
        }
        let image = std::mem::take(&mut self.coming).bytes;
        let machine = M::from_image(&image).filter(|_| image.len() as u64 == length);
        let Some(machine) = machine else { return Some(0) };
        let fits = self.mark(base.index) == Some(base);
        if !fits {
            // What stands past the base and does not follow from it goes first: it was never decided.
            for gone in (base.index + 1..=self.last().index).rev() {
                out.writes.push(kept::no_entry(gone));
            }
        }
        let upto = base.index.min(self.last().index);
        let new = Base { mark: base, members: members.to_vec(), length };
        let old = std::mem::replace(&mut self.base, new);
        kept::base(&mut out.writes, &self.base, &image, &old, old.mark.index + 1..=upto);
        match fits {
            true => drop(self.log.drain(..(base.index - old.mark.index) as usize)),
            false => self.log.clear(),
        }
        (self.image, self.machine, self.commit) = (image, machine, base.index);
        None
    }

    /// A peer has answered: whether it counts.
    fn acked(
        &mut self,
        now: Time,
        letter: &Letter,
        round: u64,
        how: Option<(bool, u64)>,
        out: &mut Out,
    ) -> bool {
        if letter.term > self.hard.term {
            self.moves_to(now, letter.term, out);
            return false;
        }
        let (from, last) = (letter.from, self.last().index);
        if letter.term != self.hard.term {
            return false;
        }
        let trusts = self.options.broken.empty_votes;
        let Role::Leads(lead) = &mut self.role else { return false };
        let Some(peer) = lead.peers.get_mut(&from.id).filter(|peer| peer.disk == from.disk || trusts) else {
            return false;
        };
        peer.heard = now;
        peer.round = peer.round.max(round.min(lead.round));
        let (mut more, mut forgets) = (false, false);
        match how {
            Some((true, upto)) => {
                peer.image = None;
                peer.upto = peer.upto.max(upto.min(last));
                peer.next = peer.next.max(peer.upto + 1);
                more = peer.next <= last;
            }
            // From there on; not below what it has acknowledged, as letters come in any order.
            Some((false, upto)) => {
                forgets = upto < peer.upto;
                peer.next = peer.next.min(upto.min(last).max(peer.upto) + 1);
                more = peer.again != lead.round;
                peer.again = lead.round;
            }
            None => {}
        }
        self.decide(now, out);
        // Of what it acknowledged only what is decided is never overwritten.
        if let Some((true, upto)) = how {
            let mark = self.mark(upto.min(self.commit)).unwrap_or_default();
            self.saw(from, mark, 0);
        }
        if forgets {
            // An old answer, or a disk that has lost what it acknowledged: it can tell which.
            let (_, last, voted) = self.seen.get(&from.id).copied().unwrap_or_default();
            self.reply(out, from, Body::Seen { last, voted });
        }
        if more {
            self.send(from.id, out);
        }
        true
    }

    /// Remembers what another disk has promised.
    fn saw(&mut self, from: Member, mark: Mark, voted: u64) {
        let one = self.seen.entry(from.id).or_insert((from.disk, mark, voted));
        if one.0 != from.disk {
            *one = (from.disk, mark, voted);
        }
        (one.1, one.2) = (one.1.max(mark), one.2.max(voted));
    }

    // ---- helpers ----

    fn reply(&self, out: &mut Out, to: Member, body: Body) {
        out.letters.push((to.id, Letter { from: self.own, to_disk: to.disk, term: self.hard.term, body }));
    }

    /// To all that are named, whatever their disks.
    fn all(&self, out: &mut Out, body: Body) {
        let to = self.named.iter().filter(|id| **id != self.own.id);
        let letters = to
            .map(|id| (*id, Letter { from: self.own, to_disk: 0, term: self.hard.term, body: body.clone() }));
        out.letters.extend(letters);
    }

    fn others(&self) -> Vec<Member> {
        self.members().iter().filter(|member| member.id != self.own.id).copied().collect()
    }

    fn is_member(&self, who: Member) -> bool {
        self.members().contains(&who)
    }

    /// The greatest figure that a majority of the members reaches; a member's own is `own`.
    fn majority(&self, own: u64, of: impl Fn(NodeId) -> u64) -> u64 {
        let members = self.members();
        let figure = |member: &Member| if member.id == self.own.id { own } else { of(member.id) };
        let mut all: Vec<u64> = members.iter().map(figure).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(members.len() / 2).copied().unwrap_or(0)
    }

    fn last(&self) -> Mark {
        let index = self.base.mark.index + self.log.len() as u64;
        Mark { term: self.log.back().map_or(self.base.mark.term, |entry| entry.term), index }
    }

    fn entry(&self, index: u64) -> Option<&Entry> {
        let at = index.checked_sub(self.base.mark.index + 1)?;
        self.log.get(at as usize)
    }

    fn mark(&self, index: u64) -> Option<Mark> {
        if index == self.base.mark.index {
            return Some(self.base.mark);
        }
        self.entry(index).map(|entry| Mark { term: entry.term, index })
    }
}
