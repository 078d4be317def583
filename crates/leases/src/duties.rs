//! What the keepers agree on: sessions of instances, who owns which part under which token, where its work stands. A machine
//! of `quorum`: the same commands give the same state at every keeper.

use crate::said::{Grant, Item, Line};
use crate::{NodeId, Part, Time, Want, PARTS, SESSIONS, TOLD, WANTS};
use cypresscleat_consensus::StateMachine;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A command. Each is carried out at most once in its effect, however often it is decided.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A session for this life of an instance: the one there is, or a new one.
    Open {
        instance: NodeId,
        life: u64,
        wants: Vec<Want>,
    },
    /// It left, or its lease is over.
    End {
        session: u64,
    },
    Do {
        session: u64,
        items: Vec<Item>,
    },
    Bar {
        duty: u64,
        instance: Option<NodeId>,
        barred: bool,
    },
}

/// What a command came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    Opened(u64),
    Done,
    /// Of the items the first is bit 0: it stands, now or from an earlier time.
    Did(u64),
    Full,
}

/// A part that somebody owns or owned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct State {
    /// The owner's session; 0 where nobody owns it.
    session: u64,
    /// Of the last grant.
    token: u64,
    /// The last step taken under that token.
    step: u64,
    cursor: Vec<u8>,
    leave: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Session {
    instance: NodeId,
    life: u64,
    wants: Vec<Want>,
    owned: BTreeSet<(u64, Part)>,
    /// Parts owned of each duty.
    counts: BTreeMap<u64, u32>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Duties {
    parts: BTreeMap<Part, State>,
    sessions: BTreeMap<u64, Session>,
    /// Of each duty, who would take a part: by rank, then by parts owned, then by age.
    waiting: BTreeMap<u64, BTreeSet<(u8, u32, u64)>>,
    free: BTreeMap<u64, BTreeSet<u32>>,
    /// Parts of each duty, as the largest want had them.
    sizes: BTreeMap<u64, u32>,
    barred: BTreeSet<(u64, NodeId)>,
    /// Sessions whose grants changed since they were last taken; of no account for what is agreed.
    #[serde(skip)]
    touched: BTreeSet<u64>,
    /// Changes of owner since they were last taken: part, session (0: nobody), token.
    #[serde(skip)]
    changes: Vec<(Part, u64, u64)>,
}

/// Changes of owner that are kept for whoever looks.
const CHANGES: usize = 4 * PARTS;

impl Duties {
    pub fn instance(&self, session: u64) -> Option<NodeId> {
        self.sessions.get(&session).map(|session| session.instance)
    }
    pub fn session_of(&self, instance: NodeId, life: u64) -> Option<u64> {
        let found = self.sessions.iter().find(|(_, one)| (one.instance, one.life) == (instance, life));
        found.map(|(session, _)| *session)
    }
    pub fn sessions(&self) -> impl Iterator<Item = u64> + '_ {
        self.sessions.keys().copied()
    }
    pub fn owner(&self, part: Part) -> Option<(NodeId, u64)> {
        let state = self.parts.get(&part)?;
        Some((self.instance(state.session)?, state.token))
    }
    /// Whether a session owns a part.
    pub fn session_is(&self, part: Part, session: u64) -> bool {
        self.parts.get(&part).is_some_and(|state| state.session == session)
    }
    pub fn cursor(&self, part: Part) -> &[u8] {
        self.parts.get(&part).map_or(&[], |state| &state.cursor)
    }
    pub fn parts(&self) -> usize {
        self.parts.len()
    }

    /// Grants of a session past `known`, in their order, and whether there are more; those to be given back are told each time.
    pub fn grants(&self, session: u64, known: (u64, Part)) -> (Vec<Grant>, bool) {
        let Some(own) = self.sessions.get(&session) else { return (Vec::new(), false) };
        let grant = |(token, part): &(u64, Part)| {
            let state = self.parts.get(part)?;
            Some(Grant { part: *part, token: *token, cursor: state.cursor.clone(), leave: state.leave })
        };
        let after = own.owned.range((std::ops::Bound::Excluded(known), std::ops::Bound::Unbounded));
        let mut all: Vec<Grant> = after.take(TOLD / 2 + 1).filter_map(grant).collect();
        let more = all.len() > TOLD / 2;
        all.truncate(TOLD / 2);
        if !self.barred.is_empty() || own.owned.len() < TOLD {
            let leave = own
                .owned
                .range(..=known)
                .filter(|(_, part)| self.parts.get(part).is_some_and(|state| state.leave));
            all.extend(leave.take(TOLD / 2).filter_map(grant));
        }
        (all, more)
    }

    pub fn lines(&self, from: Part) -> (Vec<Line>, bool) {
        let line = |(part, state): (&Part, &State)| Line {
            part: *part,
            owner: self.instance(state.session).unwrap_or(0),
            token: state.token,
            left: state.session as Time,
            moved: -1,
            cursor: state.cursor.clone(),
        };
        let mut all: Vec<Line> = self.parts.range(from..).take(129).map(line).collect();
        let more = all.len() > 128;
        all.truncate(128);
        (all, more)
    }

    pub fn take_touched(&mut self) -> BTreeSet<u64> {
        std::mem::take(&mut self.touched)
    }
    pub fn take_changes(&mut self) -> Vec<(Part, u64, u64)> {
        std::mem::take(&mut self.changes)
    }

    fn changed(&mut self, part: Part, session: u64, token: u64) {
        if self.changes.len() < CHANGES {
            self.changes.push((part, session, token));
        }
    }

    /// Takes a part from its owner, whoever that is; it is free then.
    fn frees(&mut self, part: Part) {
        let Some(state) = self.parts.get_mut(&part).filter(|state| state.session != 0) else { return };
        let (session, token) = (std::mem::take(&mut state.session), state.token);
        state.leave = false;
        self.free.entry(part.duty).or_default().insert(part.part);
        if let Some(own) = self.sessions.get_mut(&session) {
            own.owned.remove(&(token, part));
            let count = own.counts.entry(part.duty).or_default();
            let had = std::mem::replace(count, count.saturating_sub(1));
            let left = *count;
            let rank = own.wants.iter().find(|want| want.duty == part.duty).map(|want| want.rank);
            if let (Some(rank), Some(waiting)) = (rank, self.waiting.get_mut(&part.duty)) {
                if waiting.remove(&(rank, had, session)) {
                    waiting.insert((rank, left, session));
                }
            }
        }
        self.changed(part, 0, token);
    }

    /// Gives the free parts of a duty to those that wait for it.
    fn gives(&mut self, index: u64, duty: u64) {
        while let Some(number) = self.free.get(&duty).and_then(|free| free.first().copied()) {
            let Some(waiting) = self.waiting.get_mut(&duty) else { return };
            let barred = &self.barred;
            let sessions = &self.sessions;
            let may = |one: &&(u8, u32, u64)| {
                barred.is_empty()
                    || sessions.get(&one.2).is_some_and(|own| !barred.contains(&(duty, own.instance)))
            };
            let Some(chosen) = waiting.iter().find(may).copied() else { return };
            let (rank, had, session) = chosen;
            waiting.remove(&chosen);
            waiting.insert((rank, had + 1, session));
            if let Some(free) = self.free.get_mut(&duty) {
                free.remove(&number);
            }
            let part = Part { duty, part: number };
            let state = self.parts.entry(part).or_default();
            (state.session, state.token, state.step, state.leave) = (session, index, 0, false);
            if let Some(own) = self.sessions.get_mut(&session) {
                own.owned.insert((index, part));
                *own.counts.entry(duty).or_default() += 1;
            }
            self.touched.insert(session);
            self.changed(part, session, index);
        }
    }

    fn opens(&mut self, index: u64, instance: NodeId, life: u64, wants: Vec<Want>) -> Outcome {
        if let Some(session) = self.session_of(instance, life) {
            return Outcome::Opened(session);
        }
        let has = |want: &Want| self.sizes.get(&want.duty).copied().unwrap_or(0);
        let new: usize = wants.iter().map(|want| want.parts.saturating_sub(has(want)) as usize).sum();
        if self.sessions.len() >= SESSIONS || wants.len() > WANTS || self.parts.len() + new > PARTS {
            return Outcome::Full;
        }
        for want in &wants {
            let size = self.sizes.entry(want.duty).or_default();
            for part in *size..want.parts {
                self.parts.insert(Part { duty: want.duty, part }, State::default());
                self.free.entry(want.duty).or_default().insert(part);
            }
            *size = want.parts.max(*size);
            self.waiting.entry(want.duty).or_default().insert((want.rank, 0, index));
        }
        let duties: Vec<u64> = wants.iter().map(|want| want.duty).collect();
        self.sessions.insert(index, Session { instance, life, wants, ..Session::default() });
        duties.into_iter().for_each(|duty| self.gives(index, duty));
        Outcome::Opened(index)
    }

    fn ends(&mut self, index: u64, session: u64) {
        let Some(own) = self.sessions.get(&session) else { return };
        let owned: Vec<Part> = own.owned.iter().map(|(_, part)| *part).collect();
        let duties: Vec<u64> = own.wants.iter().map(|want| want.duty).collect();
        owned.into_iter().for_each(|part| self.frees(part));
        self.sessions.remove(&session);
        for duty in duties {
            if let Some(waiting) = self.waiting.get_mut(&duty) {
                waiting.retain(|(_, _, one)| *one != session);
            }
            self.gives(index, duty);
        }
    }

    fn does(&mut self, index: u64, session: u64, items: Vec<Item>) -> Outcome {
        let (mut freed, mut did) = (BTreeSet::new(), 0);
        for (at, item) in items.into_iter().enumerate().take(64) {
            let mut stands = true;
            match item {
                Item::Release { part, token } => {
                    // Of an owner that was, or doubled: whoever owns it now keeps it.
                    let own = self
                        .parts
                        .get(&part)
                        .is_some_and(|state| (state.session, state.token) == (session, token));
                    if own && session != 0 {
                        self.frees(part);
                        freed.insert(part.duty);
                    }
                }
                Item::Cursor { part, token, step, cursor } => {
                    let Some(state) = self.parts.get_mut(&part) else { continue };
                    let own = session != 0 && (state.session, state.token) == (session, token);
                    stands = own && (step > state.step || cursor == state.cursor);
                    if own && step > state.step {
                        (state.step, state.cursor) = (step, cursor);
                    }
                }
            }
            did |= u64::from(stands) << at;
        }
        freed.into_iter().for_each(|duty| self.gives(index, duty));
        Outcome::Did(did)
    }

    fn bars(&mut self, index: u64, duty: u64, instance: Option<NodeId>, barred: bool) {
        match (instance, barred) {
            (Some(instance), true) => drop(self.barred.insert((duty, instance))),
            (Some(instance), false) => drop(self.barred.remove(&(duty, instance))),
            _ => {}
        }
        if barred {
            // Its owner is told, and gives it back once it has stopped.
            let all = self.parts.range_mut(Part { duty, part: 0 }..=Part { duty, part: u32::MAX });
            for (_, state) in all {
                let own = self.sessions.get(&state.session);
                if own.is_some_and(|own| instance.is_none_or(|instance| instance == own.instance)) {
                    state.leave = true;
                    self.touched.insert(state.session);
                }
            }
        }
        self.gives(index, duty);
    }
}

impl StateMachine for Duties {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        let outcome = match postcard::from_bytes(command) {
            Ok(Command::Open { instance, life, wants }) => self.opens(index, instance, life, wants),
            Ok(Command::End { session }) => {
                self.ends(index, session);
                Outcome::Done
            }
            Ok(Command::Do { session, items }) => self.does(index, session, items),
            Ok(Command::Bar { duty, instance, barred }) => {
                self.bars(index, duty, instance, barred);
                Outcome::Done
            }
            // Of a later version, proposed by nobody that this one knows: the same everywhere, nothing.
            Err(_) => Outcome::Done,
        };
        postcard::to_stdvec(&outcome).unwrap_or_default()
    }
    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
    fn from_snapshot(bytes: &[u8]) -> Option<Duties> {
        postcard::from_bytes(bytes).ok()
    }
}

impl AsRef<Duties> for Duties {
    fn as_ref(&self) -> &Duties {
        self
    }
}
impl AsMut<Duties> for Duties {
    fn as_mut(&mut self) -> &mut Duties {
        self
    }
}
