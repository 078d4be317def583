//! At the keeper that leads: hears instances, renews sessions, ends those whose lease is over. What is agreed stands in
//! [`Duties`]; here is only what a leader may forget: when each session was last heard.
//!
//! A renewal writes nothing, however many parts a session owns. It is answered only once a majority has heard this leader in a
//! round that began after the renewal came: nobody else led then, so whoever leads next counts that session's lease from later.

use crate::duties::{Command, Duties, Outcome};
use crate::said::{Answer, Ask};
use crate::{NodeId, Part, Time};
use cypresscleat_consensus as consensus;
use cypresscleat_consensus::{Ready, Replica, StateMachine};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Renewals and proposals that wait for an answer at once; more are not heard.
const WAITING: usize = 8192;

#[derive(Clone, Debug)]
enum For<A> {
    Open { from: A, number: u32, whose: (NodeId, u64) },
    Do { from: A, number: u32 },
    End,
}

/// `A` is where an instance hears.
#[derive(Clone, Debug)]
pub struct Desk<A> {
    lease: Time,
    /// Under which term the figures below were taken.
    term: Option<u64>,
    renewed: BTreeMap<u64, Time>,
    /// Where each session hears, and the last grant that it said it knows.
    hears: BTreeMap<u64, (A, (u64, Part))>,
    waiting: VecDeque<(u64, A, u64, u32)>,
    proposed: BTreeMap<u64, For<A>>,
    opening: BTreeSet<(NodeId, u64)>,
    ending: BTreeSet<u64>,
    next: u64,
    looked: Time,
    /// When a cursor of a part was last moved here.
    moved: BTreeMap<Part, Time>,
}

/// What is to be said to whom.
pub type Said<A> = Vec<(A, Answer)>;

/// What the keepers agree on holds duties.
pub trait Holds: StateMachine + AsRef<Duties> + AsMut<Duties> {}
impl<M: StateMachine + AsRef<Duties> + AsMut<Duties>> Holds for M {}

impl<A: Copy> Desk<A> {
    pub fn new(lease: Time) -> Desk<A> {
        Desk {
            lease,
            term: None,
            renewed: BTreeMap::new(),
            hears: BTreeMap::new(),
            waiting: VecDeque::new(),
            proposed: BTreeMap::new(),
            opening: BTreeSet::new(),
            ending: BTreeSet::new(),
            next: 0,
            looked: 0,
            moved: BTreeMap::new(),
        }
    }

    pub fn hear<M: Holds>(
        &mut self,
        now: Time,
        keeper: &mut Replica<M>,
        from: A,
        ask: Ask,
    ) -> (Ready, Said<A>) {
        let mut said = Vec::new();
        if !ask.bounded() {
            return (Ready::default(), said);
        }
        let Some(round) = keeper.read_index() else {
            let leader = keeper.leader().filter(|leader| *leader != keeper.member().id).unwrap_or(0);
            said.push((from, Answer::Elsewhere { leader }));
            return (Ready::default(), said);
        };
        let mut out = Ready::default();
        self.leads(now, keeper);
        if self.waiting.len() + self.proposed.len() >= WAITING {
            return (out, said);
        }
        match ask {
            Ask::Renew { instance, life, session, number, known, wants } => {
                let of_its_own = keeper.state_machine().as_ref().instance(session) == Some(instance);
                if session == 0 {
                    if self.opening.insert((instance, life)) {
                        let command = Command::Open { instance, life, wants };
                        out = out.merge(self.proposes(
                            now,
                            keeper,
                            &command,
                            For::Open { from, number, whose: (instance, life) },
                        ));
                    }
                } else if !of_its_own || self.ending.contains(&session) {
                    if !of_its_own {
                        said.push((from, Answer::Gone { session }));
                    }
                } else {
                    self.renewed.insert(session, now);
                    self.hears.insert(session, (from, known));
                    self.waiting.push_back((round, from, session, number));
                }
            }
            Ask::Do { session, number, items } => {
                for item in &items {
                    if let crate::said::Item::Cursor { part, .. } = item {
                        self.moved.insert(*part, now);
                    }
                }
                let command = Command::Do { session, items };
                out = out.merge(self.proposes(now, keeper, &command, For::Do { from, number }));
            }
            Ask::Leave { session, number } => {
                let command = Command::End { session };
                out = out.merge(self.proposes(now, keeper, &command, For::Do { from, number }));
            }
            Ask::Bar { number, duty, instance, barred } => {
                let command = Command::Bar { duty, instance, barred };
                out = out.merge(self.proposes(now, keeper, &command, For::Do { from, number }));
            }
            Ask::List { number, from: first } => {
                let (mut lines, more) = keeper.state_machine().as_ref().lines(first);
                for line in &mut lines {
                    let session = line.left as u64;
                    let heard = self.renewed.get(&session).copied();
                    line.left = heard.map_or(0, |heard| (heard + self.lease - now).max(0));
                    line.moved = self.moved.get(&line.part).map_or(-1, |at| now - at);
                }
                said.push((from, Answer::Lines { number, lines, more }));
            }
        }
        let (more, also) = self.look(now, keeper, Vec::new());
        said.extend(also);
        (out.merge(more), said)
    }

    fn proposes<M: Holds>(
        &mut self,
        now: Time,
        keeper: &mut Replica<M>,
        command: &Command,
        whose: For<A>,
    ) -> Ready {
        self.next += 1;
        self.proposed.insert(self.next, whose);
        let bytes = postcard::to_stdvec(command).unwrap_or_default();
        match keeper.propose(now, self.next, bytes) {
            Some(out) => out,
            None => {
                self.proposed.remove(&self.next);
                Ready::default()
            }
        }
    }

    /// A leader that is new, or was away itself, gives every session its whole lease again: nobody can have renewed with it.
    fn leads<M: Holds>(&mut self, now: Time, keeper: &Replica<M>) {
        let away = now - self.looked > self.lease / 2;
        self.looked = now;
        if self.term != Some(keeper.term()) || away {
            if self.term != Some(keeper.term()) {
                self.waiting.clear();
                self.proposed.clear();
                self.opening.clear();
                self.ending.clear();
                self.hears.clear();
            }
            self.term = Some(keeper.term());
            self.renewed = keeper.state_machine().as_ref().sessions().map(|session| (session, now)).collect();
        }
    }

    /// To be called after every step of the keeper, with its answers: what can be said now, and what is over.
    pub fn look<M: Holds>(
        &mut self,
        now: Time,
        keeper: &mut Replica<M>,
        answers: Vec<consensus::ProposalResponse>,
    ) -> (Ready, Said<A>) {
        let (mut out, mut said) = (Ready::default(), Vec::new());
        if !keeper.is_leader() {
            self.term = None;
            keeper.state_machine_mut().as_mut().take_touched();
            return (out, said);
        }
        self.leads(now, keeper);
        for answer in answers {
            let consensus::ProposalResponse::Applied { proposal_id: number, result: bytes, .. } = answer
            else {
                continue;
            };
            let outcome = postcard::from_bytes(&bytes).unwrap_or(Outcome::Done);
            self.done(now, keeper, number, outcome, &mut said);
        }
        // Those whose lease is over. Whoever hears of it last, itself, held it to be over before.
        let over = self
            .renewed
            .iter()
            .filter(|(session, heard)| now - **heard > self.lease && !self.ending.contains(session));
        let over: Vec<u64> = over.map(|(session, _)| *session).collect();
        for session in over {
            self.ending.insert(session);
            out = out.merge(self.proposes(now, keeper, &Command::End { session }, For::End));
        }
        for session in keeper.state_machine_mut().as_mut().take_touched() {
            let Some((from, after)) = self.hears.get(&session).copied() else { continue };
            let (grants, _) = keeper.state_machine().as_ref().grants(session, after);
            said.push((from, Answer::Granted { session, after, grants }));
        }
        let confirmed = keeper.confirmed_read_index();
        while let Some((_, from, session, number)) =
            self.waiting.front().filter(|one| one.0 <= confirmed).copied()
        {
            self.waiting.pop_front();
            if keeper.state_machine().as_ref().instance(session).is_none() {
                said.push((from, Answer::Gone { session }));
                continue;
            }
            let after = self.hears.get(&session).map_or((0, Part { duty: 0, part: 0 }), |hears| hears.1);
            let (grants, more) = keeper.state_machine().as_ref().grants(session, after);
            said.push((from, Answer::Held { session, number, lease: self.lease, after, grants, more }));
        }
        (out, said)
    }

    fn done<M: Holds>(
        &mut self,
        now: Time,
        keeper: &Replica<M>,
        number: u64,
        outcome: Outcome,
        said: &mut Said<A>,
    ) {
        let Some(whose) = self.proposed.remove(&number) else { return };
        let machine = keeper.state_machine().as_ref();
        match (whose, outcome) {
            (For::Open { from, number, whose }, Outcome::Opened(session)) => {
                self.opening.remove(&whose);
                // One that is there already, and asks anew as an answer was lost, is renewed by that.
                let renewed = self.renewed.entry(session).or_insert(now);
                *renewed = (*renewed).max(now);
                self.hears.insert(session, (from, (0, Part { duty: 0, part: 0 })));
                if let Some(round) = keeper.read_index() {
                    self.waiting.push_back((round, from, session, number));
                }
            }
            (For::Open { from, number, whose }, _) => {
                self.opening.remove(&whose);
                said.push((from, Answer::Full { number }));
            }
            (For::Do { from, number }, outcome) => {
                let did = if let Outcome::Did(did) = outcome { did } else { u64::MAX };
                said.push((from, Answer::Done { number, did }));
            }
            (For::End, _) => {}
        }
        self.renewed.retain(|session, _| machine.instance(*session).is_some());
        self.hears.retain(|session, _| machine.instance(*session).is_some());
        self.ending.retain(|session| machine.instance(*session).is_some());
    }
}
