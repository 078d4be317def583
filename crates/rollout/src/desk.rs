//! At the keeper that leads: hears members, keeps their leases, collects what they found of a change, and asks the keepers to decide it
//! once it can be decided. All of this is in memory: a new leader hears it again from the members. What is agreed stands in
//! [`crate::policies`].
//!
//! A member is answered only once a majority has heard this leader in a round that began after its asking: nobody else led then, so
//! whoever leads next counts that member's lease from later, and the version that is told was the one in force.

use crate::policies::{bytes, Command, Missing, Outcome, Policies, Stage, Version};
use crate::said::{Answer, Ask, Line, Verdict};
use crate::watch::{Found, Watch};
use crate::{cut, Key, Time, NAME, SECOND, TOLD, WHY};
use cypresscleat_consensus::{self as consensus, Ready, Replica, StateMachine};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Askers that wait; one more is not heard, and asks again.
const WAITING: usize = 32_768;
/// Members that are told of news in one step.
const PUSHED: usize = 256;
/// Numbers of proposals begin here, so that they are no others' that share the keeper.
const NUMBERS: u64 = 1 << 62;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum For<A> {
    Join {
        key: Key,
    },
    Ask {
        from: A,
        number: u32,
    },
    /// Its own word: a decision, an end, an undoing.
    Own,
}

/// What a member said last.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Heard<A> {
    at: Time,
    from: A,
    verdict: Option<(u64, Verdict)>,
    paused: u64,
    has: u64,
}

/// Guards that tests take out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Broken {
    /// A change is taken once its patience is over, whoever has not answered.
    pub by_time: bool,
    /// Members are counted as they were when the change was proposed.
    pub old_count: bool,
}

/// What a desk has done since its start, whichever term it led in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Members whose lease was over.
    pub expired: u64,
    /// Lives taken in, each time.
    pub joined: u64,
    /// Decisions and openings that were proposed, and those of them that found other members than were counted.
    pub decisions: u64,
    pub again: u64,
    /// Texts that were fetched.
    pub fetched: u64,
    /// Commands given to the keepers' log.
    pub commands: u64,
    /// Askings that waited for a round at once, at the most.
    pub waiting: usize,
}

pub struct Desk<A> {
    term: Option<u64>,
    looked: Time,
    heard: BTreeMap<Key, Heard<A>>,
    /// When each member's lease began again at the latest.
    renewed: BTreeMap<Key, Time>,
    /// The same by time, so that a look costs what is over, not what is there.
    oldest: BTreeSet<(Time, Key)>,
    waiting: VecDeque<(u64, A, Key, u32)>,
    proposed: BTreeMap<u64, For<A>>,
    joining: BTreeSet<Key>,
    ending: BTreeSet<Key>,
    /// The change under way, since when this desk has known it, and whether its decision is on its way.
    change: Option<(u64, Time)>,
    deciding: bool,
    /// Members that are still to be told that there is news.
    to_tell: VecDeque<Key>,
    /// What was last told of: version in force, change, its stage.
    told: (u64, u64, bool),
    /// Members whose verdict on the change under way is good, so that nobody is counted through again for each letter.
    good: BTreeSet<Key>,
    paused: BTreeSet<Key>,
    /// Who refuses it, and why.
    bad: BTreeMap<Key, String>,
    next: u64,
    /// Members may still hold leases of so long, as versions in force before had them, until then.
    longer: (Time, Time),
    watch: Watch,
    log: Vec<String>,
    pub counts: Counts,
    pub broken: Broken,
}

/// What is to be said to whom.
pub type Said<A> = Vec<(A, Answer)>;

/// What the keepers agree on holds policies.
pub trait Holds: StateMachine + AsRef<Policies> + AsMut<Policies> {}
impl<M: StateMachine + AsRef<Policies> + AsMut<Policies>> Holds for M {}

impl<A: Copy> Default for Desk<A> {
    fn default() -> Desk<A> {
        Desk {
            term: None,
            looked: 0,
            heard: BTreeMap::new(),
            renewed: BTreeMap::new(),
            oldest: BTreeSet::new(),
            waiting: VecDeque::new(),
            proposed: BTreeMap::new(),
            joining: BTreeSet::new(),
            ending: BTreeSet::new(),
            change: None,
            deciding: false,
            to_tell: VecDeque::new(),
            told: (0, 0, false),
            good: BTreeSet::new(),
            paused: BTreeSet::new(),
            bad: BTreeMap::new(),
            next: NUMBERS,
            longer: (0, Time::MIN),
            watch: Watch::default(),
            log: Vec::new(),
            counts: Counts::default(),
            broken: Broken::default(),
        }
    }
}

impl<A: Copy> Desk<A> {
    /// Lines for the log.
    pub fn log(&mut self) -> impl Iterator<Item = String> + '_ {
        self.log.drain(..)
    }

    /// Lives whose last word is remembered.
    pub fn remembered(&self) -> usize {
        self.heard.len()
    }

    /// When it has to look again, at the latest.
    pub fn due(&self) -> Time {
        match self.to_tell.is_empty() {
            true => Time::MAX,
            false => self.looked,
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
            Ask::Here { key, name, joins, number, verdict, paused, has, seen } => {
                let known = keeper.state_machine().as_ref().members().contains_key(&key);
                if self.ending.contains(&key) {
                    // It is being ended, and asks anew once it has heard of that.
                } else if known {
                    self.watch.seen(now, key, seen);
                    self.renews(key, now);
                    let change = self.change.map_or(0, |change| change.0);
                    if let Some((_, Verdict::Good)) = verdict.as_ref().filter(|verdict| verdict.0 == change) {
                        self.good.insert(key);
                    }
                    if paused == change && change != 0 {
                        self.paused.insert(key);
                    }
                    if let Some((_, Verdict::Bad(why))) =
                        verdict.as_ref().filter(|verdict| verdict.0 == change)
                    {
                        self.bad.insert(key, why.clone());
                    }
                    let refuses = self.bad.contains_key(&key);
                    self.heard.insert(key, Heard { at: now, from, verdict, paused, has });
                    self.waiting.push_back((round, from, key, number));
                    self.counts.waiting = self.counts.waiting.max(self.waiting.len());
                    if refuses {
                        out = out.merge(self.decides(now, keeper));
                    }
                } else if !joins {
                    said.push((from, Answer::Gone { key }));
                } else if self.joining.insert(key) {
                    let command = Command::Join { key, name: cut(&name, NAME) };
                    self.heard.insert(key, Heard { at: now, from, verdict, paused, has });
                    out = out.merge(self.proposes(now, keeper, &command, For::Join { key }));
                }
            }
            Ask::Fetch { number, version } => {
                self.counts.fetched += 1;
                let version = keeper.state_machine().as_ref().version(version).cloned().map(Box::new);
                said.push((from, Answer::Text { number, version }));
            }
            Ask::Leave { key, number } => {
                let whose = For::Ask { from, number };
                out = out.merge(self.proposes(now, keeper, &Command::End { key, left: true }, whose));
            }
            Ask::Propose { number, version } => {
                let version = Version { undoes: false, ..version };
                let whose = For::Ask { from, number };
                out = out.merge(self.proposes(now, keeper, &Command::Propose(version), whose));
            }
            Ask::Forget { number, member } => {
                let whose = For::Ask { from, number };
                out = out.merge(self.proposes(now, keeper, &Command::Forget { member }, whose));
            }
            Ask::Status { number, from: first } => said.push((from, self.status(now, keeper, number, first))),
            Ask::History { number } => {
                let agreed = keeper.state_machine().as_ref();
                let short = |version: &Version| Version { text: String::new(), ..version.clone() };
                let taken = agreed.history().map(short).collect();
                let dropped = agreed.dropped().cloned().collect();
                said.push((from, Answer::History { number, taken, dropped }));
            }
        }
        let (more, also) = self.look(now, keeper, Vec::new());
        said.extend(also);
        (out.merge(more), said)
    }

    fn status<M: Holds>(&self, now: Time, keeper: &Replica<M>, number: u32, first: Key) -> Answer {
        let agreed = keeper.state_machine().as_ref();
        let change = agreed.change().map(|change| (change.version.number, change.stage));
        let of = change.map_or(0, |change| change.0);
        let line = |(key, name): (&Key, &String)| {
            let heard = self.heard.get(key);
            Line {
                key: *key,
                name: name.clone(),
                has: heard.map_or(0, |heard| heard.has),
                verdict: heard
                    .and_then(|heard| heard.verdict.clone())
                    .and_then(|(known, verdict)| (known == of).then_some(verdict)),
                paused: of != 0 && heard.is_some_and(|heard| heard.paused == of),
                silent: heard.map_or(-1, |heard| now - heard.at),
            }
        };
        let mut lines: Vec<Line> = agreed.members().range(first..).take(TOLD / 4 + 1).map(line).collect();
        let more = lines.len() > TOLD / 4;
        lines.truncate(TOLD / 4);
        let (now, generation) = (agreed.now().number, agreed.generation());
        Answer::Status { number, now, change, generation, lines, more }
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
        match keeper.propose(now, self.next, bytes(command)) {
            Some(out) => {
                self.counts.commands += 1;
                out
            }
            None => {
                self.proposed.remove(&self.next);
                Ready::default()
            }
        }
    }

    /// A leader that is new, or was away itself, gives every member its whole lease again: nobody can have renewed with it.
    fn leads<M: Holds>(&mut self, now: Time, keeper: &Replica<M>) {
        let agreed = keeper.state_machine().as_ref();
        let away = now - self.looked > agreed.now().rules.lease / 2;
        self.looked = now;
        let new = self.term != Some(keeper.term());
        if new {
            let Desk { next, broken, counts, .. } = *self;
            *self = Desk { term: Some(keeper.term()), looked: now, next, broken, counts, ..Desk::default() };
            self.told = self.stands(keeper);
            self.longer_by(now, agreed.history().map(|version| version.rules.lease).max());
        }
        if new || away {
            self.renewed = agreed.members().keys().map(|key| (*key, now)).collect();
            self.oldest = agreed.members().keys().map(|key| (now, *key)).collect();
        }
    }

    fn renews(&mut self, key: Key, now: Time) {
        if let Some(before) = self.renewed.insert(key, now) {
            self.oldest.remove(&(before, key));
        }
        self.oldest.insert((now, key));
    }

    fn longer_by(&mut self, now: Time, lease: Option<Time>) {
        let held = if now < self.longer.1 { self.longer.0 } else { 0 };
        let lease = lease.unwrap_or(0).max(held);
        self.longer = (lease, now + lease + 1);
    }

    /// Version in force, change, and whether it closes.
    fn stands<M: Holds>(&self, keeper: &Replica<M>) -> (u64, u64, bool) {
        let agreed = keeper.state_machine().as_ref();
        let change = agreed.change().map(|change| (change.version.number, change.stage == Stage::Closing));
        let (number, closing) = change.unwrap_or((0, false));
        (agreed.now().number, number, closing)
    }

    /// To be called after every step of the keeper, with its answers: what can be said now, what is over, what can be decided.
    pub fn look<M: Holds>(
        &mut self,
        now: Time,
        keeper: &mut Replica<M>,
        answers: Vec<consensus::ProposalResponse>,
    ) -> (Ready, Said<A>) {
        let (mut out, mut said) = (Ready::default(), Vec::new());
        if !keeper.is_leader() {
            self.term = None;
            self.to_tell.clear();
            return (out, said);
        }
        self.leads(now, keeper);
        for answer in answers {
            let consensus::ProposalResponse::Applied { proposal_id: number, result: bytes, .. } = answer
            else {
                continue;
            };
            let outcome = postcard::from_bytes(&bytes).unwrap_or(Outcome::Late);
            self.done(now, keeper, number, outcome, &mut said);
        }
        let stands = self.stands(keeper);
        if stands != self.told {
            if stands.0 != self.told.0 {
                let before = keeper.state_machine().as_ref().version(self.told.0);
                self.longer_by(now, before.map(|version| version.rules.lease));
                self.watch.in_force(now, keeper.state_machine().as_ref().now());
            }
            if stands.1 != self.told.1 {
                self.good.clear();
                self.paused.clear();
                self.bad.clear();
            }
            (self.told, self.deciding) = (stands, false);
            self.to_tell = keeper.state_machine().as_ref().members().keys().copied().collect();
        }
        let change = (stands.1 != 0).then_some(stands.1);
        if self.change.map(|change| change.0) != change {
            self.change = change.map(|number| (number, now));
            let agreed = keeper.state_machine().as_ref().members();
            for (key, heard) in self.heard.iter().filter(|(key, _)| agreed.contains_key(key)) {
                if change.is_some() && heard.verdict == change.map(|number| (number, Verdict::Good)) {
                    self.good.insert(*key);
                }
                if let (Some((of, Verdict::Bad(why))), Some(number)) = (&heard.verdict, change) {
                    if *of == number {
                        self.bad.insert(*key, why.clone());
                    }
                }
                if change == Some(heard.paused) {
                    self.paused.insert(*key);
                }
            }
        }
        for key in self.to_tell.drain(..self.to_tell.len().min(PUSHED)) {
            if let Some(heard) = self.heard.get(&key) {
                said.push((heard.from, Answer::News));
            }
        }
        out = out.merge(self.expires(now, keeper));
        out = out.merge(self.decides(now, keeper));
        if let Some((number, found)) = self.watch.look(now) {
            out = out.merge(self.judged(now, keeper, number, found));
        }
        self.answers(keeper, &mut said);
        (out, said)
    }

    /// Members whose lease is over go; where changes wait for everybody, only those that a change is bound to wait for no more.
    fn expires<M: Holds>(&mut self, now: Time, keeper: &mut Replica<M>) -> Ready {
        let agreed = keeper.state_machine().as_ref();
        let rules = agreed.now().rules;
        let closing = agreed.change().is_some_and(|change| change.stage == Stage::Closing);
        if rules.missing == Missing::Wait && !closing {
            return Ready::default();
        }
        // Guards a member that has not heard of a version with a shorter lease, and counts by the one that it was told.
        let lease = rules.lease.max(if now < self.longer.1 { self.longer.0 } else { 0 });
        let over: Vec<Key> = self
            .oldest
            .iter()
            .take_while(|(at, _)| now - *at > lease)
            .map(|(_, key)| *key)
            .filter(|key| !self.ending.contains(key))
            .collect();
        let mut out = Ready::default();
        for key in over {
            self.ending.insert(key);
            self.counts.expired += 1;
            out = out.merge(self.proposes(now, keeper, &Command::End { key, left: false }, For::Own));
        }
        out
    }

    /// Asks for the decision of the change under way, where it can be decided.
    fn decides<M: Holds>(&mut self, now: Time, keeper: &mut Replica<M>) -> Ready {
        let Some((number, since)) = self.change.filter(|_| !self.deciding) else { return Ready::default() };
        let agreed = keeper.state_machine().as_ref();
        let Some(change) = agreed.change().filter(|change| change.version.number == number) else {
            return Ready::default();
        };
        let (generation, members, rules) = (agreed.generation(), agreed.members(), agreed.now().rules);
        let counted = |set: &BTreeSet<Key>| {
            // Sets hold members only, but one may have ended since.
            set.len() >= members.len() && members.keys().all(|key| set.contains(key))
        };
        let command = match change.stage {
            Stage::Closing if counted(&self.paused) => Command::Open { number, generation },
            Stage::Closing => return Ready::default(),
            Stage::Asking => {
                let bad = self.bad.iter().find_map(|(key, why)| Some((members.get(key)?, why)));
                let late = now - since > rules.patience;
                let few = self.broken.old_count && !self.good.is_empty();
                if let Some((name, why)) = bad {
                    let reason = cut(&format!("{name}: {why}"), WHY);
                    Command::Decide { number, generation, taken: false, reason }
                } else if counted(&self.good) || few || (late && self.broken.by_time) {
                    Command::Decide { number, generation, taken: true, reason: String::new() }
                } else if late {
                    let missing: Vec<&str> = members
                        .iter()
                        .filter(|(key, _)| !self.good.contains(key))
                        .map(|(_, name)| name.as_str())
                        .collect();
                    let reason = format!("{} did not answer in time: {}", missing.len(), missing.join(" "));
                    let reason = cut(&reason, WHY);
                    Command::Decide { number, generation, taken: false, reason }
                } else {
                    return Ready::default();
                }
            }
        };
        self.deciding = true;
        self.counts.decisions += 1;
        self.proposes(now, keeper, &command, For::Own)
    }

    /// The watch has found something: harm is undone, once; what was made to undo is not watched.
    fn judged<M: Holds>(&mut self, now: Time, keeper: &mut Replica<M>, number: u64, found: Found) -> Ready {
        let agreed = keeper.state_machine().as_ref();
        let (what, figures) = match &found {
            Found::Harm(figures) => ("did harm", figures),
            Found::Good(figures) => ("did no harm", figures),
            Found::Unknown(figures) => ("can't be judged", figures),
        };
        self.log.push(format!("policy {number} {what}: {figures}"));
        let known = agreed.version(agreed.now().parent).cloned();
        let Some(before) = known.filter(|_| matches!(found, Found::Harm(_)) && agreed.now().number == number)
        else {
            return Ready::default();
        };
        let version = Version {
            number: 0,
            parent: number,
            by: "watch".into(),
            at_ms: number,
            why: cut(&format!("undoes {number}: {figures}"), WHY),
            undoes: true,
            ..before
        };
        self.proposes(now, keeper, &Command::Propose(version), For::Own)
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
        let members = keeper.state_machine().as_ref().members();
        match whose {
            For::Join { key } => {
                self.joining.remove(&key);
                if members.contains_key(&key) {
                    self.counts.joined += 1;
                    self.renews(key, now);
                    // It is told to ask: its answer has to be one to a member's asking.
                    self.to_tell.push_back(key);
                } else {
                    // Guards against words of those that were not taken in: nobody's end would have them forgotten.
                    self.heard.remove(&key);
                }
            }
            For::Ask { from, number } => said.push((
                from,
                match outcome {
                    Outcome::Done => Answer::Done { number },
                    outcome => Answer::Proposed { number, outcome },
                },
            )),
            // Counted again at the next look, where it has to be.
            For::Own => {
                self.deciding = false;
                self.counts.again += u64::from(outcome == Outcome::Again);
            }
        }
        if self.renewed.len() <= members.len() {
            return; // nobody went
        }
        self.renewed.retain(|key, _| members.contains_key(key));
        self.oldest.retain(|(_, key)| members.contains_key(key));
        self.ending.retain(|key| members.contains_key(key));
        self.good.retain(|key| members.contains_key(key));
        self.paused.retain(|key| members.contains_key(key));
        self.bad.retain(|key, _| members.contains_key(key));
        let joining = &self.joining;
        self.heard.retain(|key, _| members.contains_key(key) || joining.contains(key));
        self.watch.forgets(|key| members.contains_key(key));
    }

    /// Those whose round a majority has heard.
    fn answers<M: Holds>(&mut self, keeper: &Replica<M>, said: &mut Said<A>) {
        let agreed = keeper.state_machine().as_ref();
        let (rules, confirmed) = (agreed.now().rules, keeper.confirmed_read_index());
        let (version, change, closing) = self.stands(keeper);
        while let Some((_, from, key, number)) =
            self.waiting.front().filter(|one| one.0 <= confirmed).copied()
        {
            self.waiting.pop_front();
            if !agreed.members().contains_key(&key) {
                said.push((from, Answer::Gone { key }));
                continue;
            }
            if self.ending.contains(&key) {
                continue;
            }
            // Whoever has said yes can't know by itself that the change is not taken.
            let bound = rules.missing == Missing::Fence || closing || self.good.contains(&key);
            said.push((
                from,
                Answer::Held {
                    key,
                    number,
                    lease: bound.then_some(rules.lease),
                    period: (rules.lease / 4).max(8),
                    version,
                    check: change,
                    pause: if closing { change } else { 0 },
                },
            ));
        }
    }
}

/// Silence after which a member asks another keeper, at the least.
pub const TRY: Time = SECOND / 20;
