//! At an instance: asks for its session, renews it, knows what it owns and until when.

use crate::said::{Answer, Ask, Grant, Item};
use crate::{NodeId, Part, SeededRng, Time, Want, DRIFT, ITEMS, SECOND};
use std::collections::{BTreeMap, VecDeque};

/// Renewals whose answers are still taken.
const ASKED: usize = 8;
/// Items that wait to be decided; one more is refused.
pub const QUEUE: usize = 1024;

/// How much sooner than the keepers an instance holds its lease to be over.
pub fn early(lease: Time) -> Time {
    (lease / DRIFT).max(1)
}

/// What changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// It owns a part from now on; the work stands at `cursor`.
    Owns { part: Part, token: u64, cursor: Vec<u8> },
    /// It may not act on it any more.
    Lost { part: Part, token: u64 },
    /// An operator wants it: to be released once the work on it has stopped.
    Wanted { part: Part },
    /// A cursor is decided, or, where not `stands`, another owner's is.
    Kept { ticket: u64, stands: bool },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Own {
    token: u64,
    wanted: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Sent {
    number: u32,
    at: Time,
    many: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    instance: NodeId,
    life: u64,
    wants: Vec<Want>,
    keepers: Vec<NodeId>,
    /// Which of them is asked.
    at: usize,
    rng: SeededRng,
    /// As the keepers said last; before that, a guess.
    lease: Time,
    session: u64,
    until: Time,
    known: (u64, Part),
    owned: BTreeMap<Part, Own>,
    /// What it has given back, by its token: late words of that do not give it again.
    given_back: BTreeMap<Part, u64>,
    asked: VecDeque<(u32, Time)>,
    number: u32,
    /// Renewals without an answer, one after the other.
    silent: u32,
    /// Redirections followed since the last renewal.
    led: u32,
    due: Time,
    items: VecDeque<(u64, Item)>,
    tickets: u64,
    sent: Option<Sent>,
    leaves: bool,
    /// The number of the first letter that said so.
    left_by: Option<u32>,
    events: VecDeque<Event>,
    /// A guard that tests take out: it goes by its own clock's word only, and holds on after its lease.
    pub broken: bool,
}

impl Holder {
    /// `life` is drawn anew at each start of the instance.
    pub fn new(now: Time, instance: NodeId, life: u64, wants: Vec<Want>, keepers: Vec<NodeId>) -> Holder {
        let mut rng = SeededRng::new(instance ^ life);
        let at = rng.below(keepers.len() as u64) as usize;
        Holder {
            instance,
            life,
            wants,
            keepers,
            at,
            rng,
            lease: 2 * SECOND,
            session: 0,
            until: Time::MIN,
            known: (0, Part { duty: 0, part: 0 }),
            owned: BTreeMap::new(),
            given_back: BTreeMap::new(),
            asked: VecDeque::new(),
            number: 0,
            silent: 0,
            led: 0,
            due: now,
            items: VecDeque::new(),
            tickets: 0,
            sent: None,
            leaves: false,
            left_by: None,
            events: VecDeque::new(),
            broken: false,
        }
    }

    pub fn instance(&self) -> NodeId {
        self.instance
    }
    pub fn session(&self) -> u64 {
        self.session
    }
    pub fn until(&self) -> Time {
        self.until
    }
    /// The next time to tick.
    pub fn due(&self) -> Time {
        if self.left() {
            return Time::MAX;
        }
        let over = if self.owned.is_empty() || self.broken { Time::MAX } else { self.until };
        let again = self.sent.as_ref().map_or(Time::MAX, |sent| sent.at + self.lease / 8);
        self.due.min(over).min(again)
    }
    pub fn events(&mut self) -> impl Iterator<Item = Event> + '_ {
        self.events.drain(..)
    }
    pub fn owned(&self) -> impl Iterator<Item = (Part, u64)> + '_ {
        self.owned.iter().map(|(part, own)| (*part, own.token))
    }

    /// To be asked before every act: the token under which it may be done now.
    pub fn may(&self, now: Time, part: Part) -> Option<u64> {
        if now >= self.until && !self.broken {
            return None;
        }
        self.owned.get(&part).filter(|own| !own.wanted).map(|own| own.token)
    }

    /// The work on a part stands there now; a ticket, told of by `Kept`. `None` where it is not owned, or too much waits.
    pub fn cursor(&mut self, part: Part, cursor: Vec<u8>) -> Option<u64> {
        let token = self.owned.get(&part)?.token;
        if self.items.len() >= QUEUE {
            return None;
        }
        // Tickets rise for as long as this instance lives, also where it loses a part and has it again under the same token: what
        // was on its way before never overtakes what came after.
        let item = Item::Cursor { part, token, step: self.tickets + 1, cursor };
        Some(self.queue(item))
    }

    /// Done with it; nothing of it may be under way any more.
    pub fn release(&mut self, part: Part) {
        if let Some(own) = self.owned.remove(&part) {
            self.events.push_back(Event::Lost { part, token: own.token });
            self.given_back.insert(part, own.token);
            self.queue(Item::Release { part, token: own.token });
        }
    }

    fn queue(&mut self, item: Item) -> u64 {
        self.tickets += 1;
        self.items.push_back((self.tickets, item));
        self.tickets
    }

    /// The instance drains: all is free at once, and the next is ready. What was under way has stopped.
    pub fn leaves(&mut self, now: Time) -> Vec<(NodeId, Ask)> {
        self.leaves = true;
        self.lose_all();
        // Whoever was asked last is asked: a renewal that is on its way is no silence.
        (self.due, self.silent) = (now, 0);
        self.tick(now)
    }

    /// Whether the keepers have said that they know.
    pub fn left(&self) -> bool {
        self.leaves && self.session == 0
    }

    fn lose_all(&mut self) {
        let (kept, dropped) =
            self.items.drain(..).partition(|(_, item)| matches!(item, Item::Release { .. }));
        self.items = kept;
        let dropped: VecDeque<(u64, Item)> = dropped;
        self.events.extend(dropped.into_iter().map(|(ticket, _)| Event::Kept { ticket, stands: false }));
        self.sent = None;
        let lost = std::mem::take(&mut self.owned);
        self.events.extend(lost.into_iter().map(|(part, own)| Event::Lost { part, token: own.token }));
        self.known = (0, Part { duty: 0, part: 0 });
    }

    /// A keeper that came after this instance was started.
    pub fn knows(&mut self, keeper: NodeId) {
        if !self.keepers.contains(&keeper) {
            self.keepers.push(keeper);
        }
    }

    fn ask(&self, ask: Ask) -> Vec<(NodeId, Ask)> {
        self.keepers.get(self.at).map(|keeper| (*keeper, ask)).into_iter().collect()
    }

    fn next_number(&mut self) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.number
    }

    fn renews(&mut self, now: Time) -> Vec<(NodeId, Ask)> {
        let number = self.next_number();
        self.asked.push_back((number, now));
        if self.asked.len() > ASKED {
            self.asked.pop_front();
        }
        let wants = if self.session == 0 { self.wants.clone() } else { Vec::new() };
        let (instance, life, session, known) = (self.instance, self.life, self.session, self.known);
        self.ask(Ask::Renew { instance, life, session, number, known, wants })
    }

    pub fn tick(&mut self, now: Time) -> Vec<(NodeId, Ask)> {
        let mut out = Vec::new();
        if now >= self.until && !self.owned.is_empty() && !self.broken {
            self.lose_all();
        }
        if self.leaves {
            self.sent = None;
            if self.session != 0 && now >= self.due {
                self.due = now + self.lease / 8;
                self.at = (self.at + usize::from(self.silent > 0)) % self.keepers.len().max(1);
                self.silent += 1;
                let (session, number) = (self.session, self.next_number());
                self.left_by.get_or_insert(number);
                out.extend(self.ask(Ask::Leave { session, number }));
            }
            return out;
        }
        if now >= self.due {
            // The last one was not answered: another keeper, three times soon, then slowly, as all may be away.
            if self.silent > 0 {
                self.at = (self.at + 1) % self.keepers.len().max(1);
            }
            let wait = if self.silent < 3 { self.lease / 8 } else { self.lease / 2 };
            let spread = self.rng.below((wait / 8).max(1) as u64) as Time;
            self.due = now + wait + spread;
            (self.silent, self.led) = (self.silent + 1, 0);
            out.extend(self.renews(now));
        }
        if self.sent.as_ref().is_some_and(|sent| now >= sent.at + self.lease / 8) {
            self.sent = None;
        }
        out.extend(self.sends(now));
        out
    }

    /// What waits to be decided, in one letter at a time; again until it is answered.
    pub fn sends(&mut self, now: Time) -> Vec<(NodeId, Ask)> {
        if self.sent.is_some() || self.items.is_empty() || self.session == 0 {
            return Vec::new();
        }
        let items: Vec<Item> = self.items.iter().take(ITEMS).map(|(_, item)| item.clone()).collect();
        let number = self.next_number();
        self.sent = Some(Sent { number, at: now, many: items.len() });
        self.ask(Ask::Do { session: self.session, number, items })
    }

    pub fn hear(&mut self, now: Time, from: NodeId, answer: Answer) -> Vec<(NodeId, Ask)> {
        if !answer.bounded() {
            return Vec::new();
        }
        match answer {
            Answer::Held { session, number, lease, after, grants, more } => {
                let Some(asked) = self.asked.iter().find(|(one, _)| *one == number).map(|(_, at)| *at) else {
                    return Vec::new();
                };
                if self.leaves || (self.session != 0 && self.session != session) {
                    return Vec::new();
                }
                (self.session, self.lease) = (session, lease.max(8));
                self.until = self.until.max(asked + lease - early(lease));
                self.heard(from);
                self.due = if more { now } else { asked.max(now - lease / 4) + lease / 4 };
                if now < self.until {
                    self.takes(after, grants);
                }
                if more {
                    return self.tick(now);
                }
                self.sends(now)
            }
            Answer::Granted { session, after, grants } if session == self.session && session != 0 => {
                if now < self.until && !self.leaves {
                    self.takes(after, grants);
                }
                Vec::new()
            }
            Answer::Gone { session } if session == self.session && session != 0 => {
                self.lose_all();
                (self.session, self.until) = (0, Time::MIN);
                for (ticket, _) in self.items.drain(..) {
                    self.events.push_back(Event::Kept { ticket, stands: false });
                }
                (self.sent, self.due) = (None, now);
                self.heard(from);
                self.tick(now)
            }
            Answer::Done { number, did } => {
                if self.leaves {
                    // Not that of what it did before it left.
                    if self.left_by.is_some_and(|first| number.wrapping_sub(first) < u32::MAX / 2) {
                        self.session = 0;
                    }
                    return Vec::new();
                }
                let Some(sent) = self.sent.take_if(|sent| sent.number == number) else { return Vec::new() };
                for at in 0..sent.many {
                    let Some((ticket, _)) = self.items.pop_front() else { break };
                    self.events.push_back(Event::Kept { ticket, stands: did >> at & 1 == 1 });
                }
                self.sends(now)
            }
            Answer::Elsewhere { leader } => {
                let known = self.keepers.iter().position(|keeper| *keeper == leader && leader != from);
                let Some(at) = known.filter(|_| self.led < 2) else { return Vec::new() };
                (self.at, self.led) = (at, self.led + 1);
                // The same question, to whom it should have gone; a redirection is no silence.
                let mut out = match self.leaves {
                    true => {
                        self.due = now;
                        self.silent = 0;
                        return self.tick(now);
                    }
                    false => self.renews(now),
                };
                self.sent = None;
                out.extend(self.sends(now));
                out
            }
            _ => Vec::new(),
        }
    }

    fn heard(&mut self, from: NodeId) {
        self.silent = 0;
        if let Some(at) = self.keepers.iter().position(|keeper| *keeper == from) {
            self.at = at;
        }
    }

    /// Grants past `after`. Where less than that is known, they are not all that is lacking: the next answer brings it.
    fn takes(&mut self, after: (u64, Part), grants: Vec<Grant>) {
        if after > self.known {
            return;
        }
        for grant in grants {
            let (part, token) = (grant.part, grant.token);
            self.known = self.known.max((token, part));
            match self.owned.get_mut(&part) {
                Some(own) if own.token == token => {
                    if grant.leave && !own.wanted {
                        own.wanted = true;
                        self.events.push_back(Event::Wanted { part });
                    }
                }
                Some(own) if own.token > token => {}
                _ => {
                    if self.given_back.get(&part).is_some_and(|given_back| *given_back >= token) {
                        continue;
                    }
                    if let Some(old) = self.owned.insert(part, Own { token, wanted: grant.leave }) {
                        self.events.push_back(Event::Lost { part, token: old.token });
                    }
                    self.events.push_back(Event::Owns { part, token, cursor: grant.cursor });
                    if grant.leave {
                        self.events.push_back(Event::Wanted { part });
                    }
                }
            }
        }
    }
}
