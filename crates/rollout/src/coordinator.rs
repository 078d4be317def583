//! At the replica that leads: hears members, keeps their leases, collects what they found of a change, and asks the replicas to decide it
//! once it can be decided. All of this is in memory: a new leader hears it again from the members. What is agreed stands in
//! [`crate::state`].
//!
//! A member is answered only once a majority has heard this leader in a round that began after its asking: nobody else led then, so
//! whoever leads next counts that member's lease from later, and the version that is told was the one in force.

use crate::messages::{MemberStatus, Request, Response, Verdict};
use crate::state::{encode_command, Command, Outcome, PolicyState, Stage, UnreachableMembers, Version};
use crate::watch::{Watch, WatchVerdict};
use crate::{truncate, MemberKey, Time, MAX_MEMBERS_PER_MESSAGE, MAX_NAME_BYTES, MAX_REASON_BYTES, SECOND};
use cypresscleat_consensus::{self as consensus, Ready, Replica, StateMachine};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Askers that wait; one more is not heard, and asks again.
const MAX_WAITING: usize = 32_768;
/// Members that are told of news in one step.
const MAX_NOTIFIED_PER_STEP: usize = 256;
/// Numbers of proposals begin here, so that they are no others' that share the replica.
const FIRST_PROPOSAL: u64 = 1 << 62;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum PendingProposal<A> {
    Join {
        key: MemberKey,
    },
    Request {
        from: A,
        number: u32,
    },
    /// Its own word: a decision, an end, an undoing.
    Own,
}

/// What a member responses last.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Heard<A> {
    at: Time,
    from: A,
    verdict: Option<(u64, Verdict)>,
    paused: u64,
    active: u64,
}

/// Guards that tests take out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisabledSafeguards {
    /// A change is taken once its patience is over, whoever has not answered.
    pub commit_on_timeout: bool,
    /// Members are counted as they were when the change was proposed.
    pub ignore_generation: bool,
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
    /// Commands given to the replicas' log.
    pub commands: u64,
    /// Askings that waited for a round at once, at the most.
    pub waiting: usize,
}

pub struct RolloutCoordinator<A> {
    term: Option<u64>,
    polled_at: Time,
    heard: BTreeMap<MemberKey, Heard<A>>,
    /// When each member's lease began again at the latest.
    renewed: BTreeMap<MemberKey, Time>,
    /// The same by time, so that a look costs what is over, not what is there.
    oldest: BTreeSet<(Time, MemberKey)>,
    waiting: VecDeque<(u64, A, MemberKey, u32)>,
    proposed: BTreeMap<u64, PendingProposal<A>>,
    joining: BTreeSet<MemberKey>,
    ending: BTreeSet<MemberKey>,
    /// The change under way, since when this desk has known it, and whether its decision is on its way.
    change: Option<(u64, Time)>,
    deciding: bool,
    /// Members that are still to be told that there is news.
    to_notify: VecDeque<MemberKey>,
    /// What was last told of: version in force, change, its stage.
    announced: (u64, u64, bool),
    /// Members whose verdict on the change under way is good, so that nobody is counted through again for each letter.
    prepared: BTreeSet<MemberKey>,
    paused: BTreeSet<MemberKey>,
    /// Who refuses it, and why.
    refused: BTreeMap<MemberKey, String>,
    next: u64,
    /// Members may still hold leases of so long, as versions in force before had them, until then.
    longer_lease: (Time, Time),
    watch: Watch,
    log: Vec<String>,
    pub counts: Counts,
    pub safeguards: DisabledSafeguards,
}

/// What is to be responses to whom.
pub type Responses<A> = Vec<(A, Response)>;

/// What the replicas agree on holds policies.
pub trait PolicyStateMachine: StateMachine + AsRef<PolicyState> + AsMut<PolicyState> {}
impl<M: StateMachine + AsRef<PolicyState> + AsMut<PolicyState>> PolicyStateMachine for M {}

impl<A: Copy> Default for RolloutCoordinator<A> {
    fn default() -> RolloutCoordinator<A> {
        RolloutCoordinator {
            term: None,
            polled_at: 0,
            heard: BTreeMap::new(),
            renewed: BTreeMap::new(),
            oldest: BTreeSet::new(),
            waiting: VecDeque::new(),
            proposed: BTreeMap::new(),
            joining: BTreeSet::new(),
            ending: BTreeSet::new(),
            change: None,
            deciding: false,
            to_notify: VecDeque::new(),
            announced: (0, 0, false),
            prepared: BTreeSet::new(),
            paused: BTreeSet::new(),
            refused: BTreeMap::new(),
            next: FIRST_PROPOSAL,
            longer_lease: (0, Time::MIN),
            watch: Watch::default(),
            log: Vec::new(),
            counts: Counts::default(),
            safeguards: DisabledSafeguards::default(),
        }
    }
}

impl<A: Copy> RolloutCoordinator<A> {
    /// Lines for the log.
    pub fn log(&mut self) -> impl Iterator<Item = String> + '_ {
        self.log.drain(..)
    }

    /// Lives whose last word is remembered.
    pub fn remembered(&self) -> usize {
        self.heard.len()
    }

    /// When it has to look again, at the latest.
    pub fn next_deadline(&self) -> Time {
        match self.to_notify.is_empty() {
            true => Time::MAX,
            false => self.polled_at,
        }
    }

    pub fn handle<M: PolicyStateMachine>(
        &mut self,
        now: Time,
        replica: &mut Replica<M>,
        from: A,
        request: Request,
    ) -> (Ready, Responses<A>) {
        let mut responses = Vec::new();
        if !request.is_within_bounds() {
            return (Ready::default(), responses);
        }
        let Some(round) = replica.read_index() else {
            let leader = replica.leader().filter(|leader| *leader != replica.member().id).unwrap_or(0);
            responses.push((from, Response::NotLeader { leader }));
            return (Ready::default(), responses);
        };
        let mut out = Ready::default();
        self.refresh_term(now, replica);
        if self.waiting.len() + self.proposed.len() >= MAX_WAITING {
            return (out, responses);
        }
        match request {
            Request::Heartbeat { key, name, joins, number, verdict, paused, active, totals } => {
                let known = replica.state_machine().as_ref().members().contains_key(&key);
                if self.ending.contains(&key) {
                    // It is being ended, and asks anew once it has heard of that.
                } else if known {
                    self.watch.record(now, key, totals);
                    self.renew(key, now);
                    let change = self.change.map_or(0, |change| change.0);
                    if let Some((_, Verdict::Prepared)) =
                        verdict.as_ref().filter(|verdict| verdict.0 == change)
                    {
                        self.prepared.insert(key);
                    }
                    if paused == change && change != 0 {
                        self.paused.insert(key);
                    }
                    if let Some((_, Verdict::Refused(why))) =
                        verdict.as_ref().filter(|verdict| verdict.0 == change)
                    {
                        self.refused.insert(key, why.clone());
                    }
                    let refuses = self.refused.contains_key(&key);
                    self.heard.insert(key, Heard { at: now, from, verdict, paused, active });
                    self.waiting.push_back((round, from, key, number));
                    self.counts.waiting = self.counts.waiting.max(self.waiting.len());
                    if refuses {
                        out = out.merge(self.decide(now, replica));
                    }
                } else if !joins {
                    responses.push((from, Response::MembershipExpired { key }));
                } else if self.joining.insert(key) {
                    let command = Command::Join { key, name: truncate(&name, MAX_NAME_BYTES) };
                    self.heard.insert(key, Heard { at: now, from, verdict, paused, active });
                    out = out.merge(self.propose(now, replica, &command, PendingProposal::Join { key }));
                }
            }
            Request::FetchDocument { number, version } => {
                self.counts.fetched += 1;
                let version = replica.state_machine().as_ref().version(version).cloned().map(Box::new);
                responses.push((from, Response::Document { number, version }));
            }
            Request::Leave { key, number } => {
                let whose = PendingProposal::Request { from, number };
                out = out.merge(self.propose(now, replica, &Command::End { key, left: true }, whose));
            }
            Request::Propose { number, version } => {
                let version = Version { undoes: false, ..version };
                let whose = PendingProposal::Request { from, number };
                out = out.merge(self.propose(now, replica, &Command::Propose(version), whose));
            }
            Request::Forget { number, member } => {
                let whose = PendingProposal::Request { from, number };
                out = out.merge(self.propose(now, replica, &Command::Forget { member }, whose));
            }
            Request::Status { number, from: first } => {
                responses.push((from, self.status(now, replica, number, first)))
            }
            Request::History { number } => {
                let agreed = replica.state_machine().as_ref();
                let short = |version: &Version| Version { document: String::new(), ..version.clone() };
                let committed = agreed.history().map(short).collect();
                let aborted = agreed.aborted().cloned().collect();
                responses.push((from, Response::History { number, committed, aborted }));
            }
        }
        let (more, also) = self.poll(now, replica, Vec::new());
        responses.extend(also);
        (out.merge(more), responses)
    }

    fn status<M: PolicyStateMachine>(
        &self,
        now: Time,
        replica: &Replica<M>,
        number: u32,
        first: MemberKey,
    ) -> Response {
        let agreed = replica.state_machine().as_ref();
        let change = agreed.pending_change().map(|change| (change.version.number, change.stage));
        let of = change.map_or(0, |change| change.0);
        let line = |(key, name): (&MemberKey, &String)| {
            let heard = self.heard.get(key);
            MemberStatus {
                key: *key,
                name: name.clone(),
                active: heard.map_or(0, |heard| heard.active),
                verdict: heard
                    .and_then(|heard| heard.verdict.clone())
                    .and_then(|(known, verdict)| (known == of).then_some(verdict)),
                paused: of != 0 && heard.is_some_and(|heard| heard.paused == of),
                silent: heard.map_or(-1, |heard| now - heard.at),
            }
        };
        let mut lines: Vec<MemberStatus> =
            agreed.members().range(first..).take(MAX_MEMBERS_PER_MESSAGE / 4 + 1).map(line).collect();
        let more = lines.len() > MAX_MEMBERS_PER_MESSAGE / 4;
        lines.truncate(MAX_MEMBERS_PER_MESSAGE / 4);
        let (active, generation) = (agreed.active().number, agreed.generation());
        Response::Status { number, active, change, generation, lines, more }
    }

    fn propose<M: PolicyStateMachine>(
        &mut self,
        now: Time,
        replica: &mut Replica<M>,
        command: &Command,
        whose: PendingProposal<A>,
    ) -> Ready {
        self.next += 1;
        self.proposed.insert(self.next, whose);
        match replica.propose(now, self.next, encode_command(command)) {
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
    fn refresh_term<M: PolicyStateMachine>(&mut self, now: Time, replica: &Replica<M>) {
        let agreed = replica.state_machine().as_ref();
        let away = now - self.polled_at > agreed.active().rules.lease / 2;
        self.polled_at = now;
        let new = self.term != Some(replica.term());
        if new {
            let RolloutCoordinator { next, safeguards, counts, .. } = *self;
            *self = RolloutCoordinator {
                term: Some(replica.term()),
                polled_at: now,
                next,
                safeguards,
                counts,
                ..RolloutCoordinator::default()
            };
            self.announced = self.rollout_position(replica);
            self.extend_longer_lease(now, agreed.history().map(|version| version.rules.lease).max());
        }
        if new || away {
            self.renewed = agreed.members().keys().map(|key| (*key, now)).collect();
            self.oldest = agreed.members().keys().map(|key| (now, *key)).collect();
        }
    }

    fn renew(&mut self, key: MemberKey, now: Time) {
        if let Some(before) = self.renewed.insert(key, now) {
            self.oldest.remove(&(before, key));
        }
        self.oldest.insert((now, key));
    }

    fn extend_longer_lease(&mut self, now: Time, lease: Option<Time>) {
        let held = if now < self.longer_lease.1 { self.longer_lease.0 } else { 0 };
        let lease = lease.unwrap_or(0).max(held);
        self.longer_lease = (lease, now + lease + 1);
    }

    /// Version in force, change, and whether it closes.
    fn rollout_position<M: PolicyStateMachine>(&self, replica: &Replica<M>) -> (u64, u64, bool) {
        let agreed = replica.state_machine().as_ref();
        let change =
            agreed.pending_change().map(|change| (change.version.number, change.stage == Stage::Barrier));
        let (number, closing) = change.unwrap_or((0, false));
        (agreed.active().number, number, closing)
    }

    /// To be called after every step of the replica, with its answers: what can be responses now, what is over, what can be decided.
    pub fn poll<M: PolicyStateMachine>(
        &mut self,
        now: Time,
        replica: &mut Replica<M>,
        answers: Vec<consensus::ProposalResponse>,
    ) -> (Ready, Responses<A>) {
        let (mut out, mut responses) = (Ready::default(), Vec::new());
        if !replica.is_leader() {
            self.term = None;
            self.to_notify.clear();
            return (out, responses);
        }
        self.refresh_term(now, replica);
        for answer in answers {
            let consensus::ProposalResponse::Applied { proposal_id: number, result: bytes, .. } = answer
            else {
                continue;
            };
            let outcome = postcard::from_bytes(&bytes).unwrap_or(Outcome::AlreadyDecided);
            self.complete_proposal(now, replica, number, outcome, &mut responses);
        }
        let stands = self.rollout_position(replica);
        if stands != self.announced {
            if stands.0 != self.announced.0 {
                let before = replica.state_machine().as_ref().version(self.announced.0);
                self.extend_longer_lease(now, before.map(|version| version.rules.lease));
                self.watch.start(now, replica.state_machine().as_ref().active());
            }
            if stands.1 != self.announced.1 {
                self.prepared.clear();
                self.paused.clear();
                self.refused.clear();
            }
            (self.announced, self.deciding) = (stands, false);
            self.to_notify = replica.state_machine().as_ref().members().keys().copied().collect();
        }
        let change = (stands.1 != 0).then_some(stands.1);
        if self.change.map(|change| change.0) != change {
            self.change = change.map(|number| (number, now));
            let agreed = replica.state_machine().as_ref().members();
            for (key, heard) in self.heard.iter().filter(|(key, _)| agreed.contains_key(key)) {
                if change.is_some() && heard.verdict == change.map(|number| (number, Verdict::Prepared)) {
                    self.prepared.insert(*key);
                }
                if let (Some((of, Verdict::Refused(why))), Some(number)) = (&heard.verdict, change) {
                    if *of == number {
                        self.refused.insert(*key, why.clone());
                    }
                }
                if change == Some(heard.paused) {
                    self.paused.insert(*key);
                }
            }
        }
        for key in self.to_notify.drain(..self.to_notify.len().min(MAX_NOTIFIED_PER_STEP)) {
            if let Some(heard) = self.heard.get(&key) {
                responses.push((heard.from, Response::Changed));
            }
        }
        out = out.merge(self.expire_members(now, replica));
        out = out.merge(self.decide(now, replica));
        if let Some((number, found)) = self.watch.poll(now) {
            out = out.merge(self.act_on_watch(now, replica, number, found));
        }
        self.answer_confirmed(replica, &mut responses);
        (out, responses)
    }

    /// Members whose lease is over go; where changes wait for everybody, only those that a change is bound to wait for no more.
    fn expire_members<M: PolicyStateMachine>(&mut self, now: Time, replica: &mut Replica<M>) -> Ready {
        let agreed = replica.state_machine().as_ref();
        let rules = agreed.active().rules;
        let closing = agreed.pending_change().is_some_and(|change| change.stage == Stage::Barrier);
        if rules.unreachable == UnreachableMembers::Wait && !closing {
            return Ready::default();
        }
        // Guards a member that has not heard of a version with a shorter lease, and counts by the one that it was told.
        let lease = rules.lease.max(if now < self.longer_lease.1 { self.longer_lease.0 } else { 0 });
        let over: Vec<MemberKey> = self
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
            out = out.merge(self.propose(
                now,
                replica,
                &Command::End { key, left: false },
                PendingProposal::Own,
            ));
        }
        out
    }

    /// Asks for the decision of the change under way, where it can be decided.
    fn decide<M: PolicyStateMachine>(&mut self, now: Time, replica: &mut Replica<M>) -> Ready {
        let Some((number, since)) = self.change.filter(|_| !self.deciding) else { return Ready::default() };
        let agreed = replica.state_machine().as_ref();
        let Some(change) = agreed.pending_change().filter(|change| change.version.number == number) else {
            return Ready::default();
        };
        let (generation, members, rules) = (agreed.generation(), agreed.members(), agreed.active().rules);
        let counted = |set: &BTreeSet<MemberKey>| {
            // Sets hold members only, but one may have ended since.
            set.len() >= members.len() && members.keys().all(|key| set.contains(key))
        };
        let command = match change.stage {
            Stage::Barrier if counted(&self.paused) => Command::Activate { number, generation },
            Stage::Barrier => return Ready::default(),
            Stage::Preparing => {
                let refused = self.refused.iter().find_map(|(key, why)| Some((members.get(key)?, why)));
                let late = now - since > rules.decision_timeout;
                let few = self.safeguards.ignore_generation && !self.prepared.is_empty();
                if let Some((name, why)) = refused {
                    let reason = truncate(&format!("{name}: {why}"), MAX_REASON_BYTES);
                    Command::Decide { number, generation, commit: false, reason }
                } else if counted(&self.prepared) || few || (late && self.safeguards.commit_on_timeout) {
                    Command::Decide { number, generation, commit: true, reason: String::new() }
                } else if late {
                    let missing: Vec<&str> = members
                        .iter()
                        .filter(|(key, _)| !self.prepared.contains(key))
                        .map(|(_, name)| name.as_str())
                        .collect();
                    let reason = format!("{} did not answer in time: {}", missing.len(), missing.join(" "));
                    let reason = truncate(&reason, MAX_REASON_BYTES);
                    Command::Decide { number, generation, commit: false, reason }
                } else {
                    return Ready::default();
                }
            }
        };
        self.deciding = true;
        self.counts.decisions += 1;
        self.propose(now, replica, &command, PendingProposal::Own)
    }

    /// The watch has found something: harm is undone, once; what was made to undo is not watched.
    fn act_on_watch<M: PolicyStateMachine>(
        &mut self,
        now: Time,
        replica: &mut Replica<M>,
        number: u64,
        found: WatchVerdict,
    ) -> Ready {
        let agreed = replica.state_machine().as_ref();
        let (what, figures) = match &found {
            WatchVerdict::Harm(figures) => ("did harm", figures),
            WatchVerdict::NoHarm(figures) => ("did no harm", figures),
            WatchVerdict::Unknown(figures) => ("can't be judged", figures),
        };
        self.log.push(format!("policy {number} {what}: {figures}"));
        let known = agreed.version(agreed.active().parent).cloned();
        let Some(before) =
            known.filter(|_| matches!(found, WatchVerdict::Harm(_)) && agreed.active().number == number)
        else {
            return Ready::default();
        };
        let version = Version {
            number: 0,
            parent: number,
            by: "watch".into(),
            at_ms: number,
            why: truncate(&format!("undoes {number}: {figures}"), MAX_REASON_BYTES),
            undoes: true,
            ..before
        };
        self.propose(now, replica, &Command::Propose(version), PendingProposal::Own)
    }

    fn complete_proposal<M: PolicyStateMachine>(
        &mut self,
        now: Time,
        replica: &Replica<M>,
        number: u64,
        outcome: Outcome,
        responses: &mut Responses<A>,
    ) {
        let Some(whose) = self.proposed.remove(&number) else { return };
        let members = replica.state_machine().as_ref().members();
        match whose {
            PendingProposal::Join { key } => {
                self.joining.remove(&key);
                if members.contains_key(&key) {
                    self.counts.joined += 1;
                    self.renew(key, now);
                    // It is told to request: its answer has to be one to a member's asking.
                    self.to_notify.push_back(key);
                } else {
                    // Guards against words of those that were not taken in: nobody's end would have them forgotten.
                    self.heard.remove(&key);
                }
            }
            PendingProposal::Request { from, number } => responses.push((
                from,
                match outcome {
                    Outcome::Done => Response::Done { number },
                    outcome => Response::Proposed { number, outcome },
                },
            )),
            // Counted again at the next look, where it has to be.
            PendingProposal::Own => {
                self.deciding = false;
                self.counts.again += u64::from(outcome == Outcome::MembersChanged);
            }
        }
        if self.renewed.len() <= members.len() {
            return; // nobody went
        }
        self.renewed.retain(|key, _| members.contains_key(key));
        self.oldest.retain(|(_, key)| members.contains_key(key));
        self.ending.retain(|key| members.contains_key(key));
        self.prepared.retain(|key| members.contains_key(key));
        self.paused.retain(|key| members.contains_key(key));
        self.refused.retain(|key, _| members.contains_key(key));
        let joining = &self.joining;
        self.heard.retain(|key, _| members.contains_key(key) || joining.contains(key));
        self.watch.retain_members(|key| members.contains_key(key));
    }

    /// Those whose round a majority has heard.
    fn answer_confirmed<M: PolicyStateMachine>(
        &mut self,
        replica: &Replica<M>,
        responses: &mut Responses<A>,
    ) {
        let agreed = replica.state_machine().as_ref();
        let (rules, confirmed) = (agreed.active().rules, replica.confirmed_read_index());
        let (version, change, closing) = self.rollout_position(replica);
        while let Some((_, from, key, number)) =
            self.waiting.front().filter(|one| one.0 <= confirmed).copied()
        {
            self.waiting.pop_front();
            if !agreed.members().contains_key(&key) {
                responses.push((from, Response::MembershipExpired { key }));
                continue;
            }
            if self.ending.contains(&key) {
                continue;
            }
            // Whoever has responses yes can't know by itself that the change is not taken.
            let bound =
                rules.unreachable == UnreachableMembers::Fence || closing || self.prepared.contains(&key);
            responses.push((
                from,
                Response::Renewed {
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

/// Silence after which a member asks another replica, at the least.
pub const MIN_RETRY_DELAY: Time = SECOND / 20;
