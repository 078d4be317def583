//! What the keepers agree on: the version in force, those before it, the change under way, and the members that count. A machine of
//! `quorum`: the same commands give the same state at every keeper.

use crate::{
    truncate, MemberKey, NodeId, Time, MAX_ABORTED, MAX_DOCUMENT_BYTES, MAX_HISTORY, MAX_MEMBERS,
    MAX_NAME_BYTES, MAX_REASON_BYTES, SECOND,
};
use cypresscleat_consensus::StateMachine;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// First byte of a command, by which it is told from those of other machines that share a log.
pub const COMMAND_TAG: u8 = 0x40;

/// What becomes of members that are not heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnreachableMembers {
    /// They are out of service once their lease is over, and a change goes on without them.
    #[default]
    Fence,
    /// They go on under the version they have, and a change waits for them, for as long as its patience.
    Wait,
}

/// A change that lets answers in time, or billed value, of each invocation asked fall by more than a share is undone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WatchRules {
    /// In thousandths.
    pub share: u32,
    pub within: Time,
}

/// How changes are made while a version is in force. Part of its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rules {
    #[serde(rename = "missing")]
    pub unreachable: UnreachableMembers,
    pub lease: Time,
    /// A change that is not decided for so long is dropped.
    #[serde(rename = "patience")]
    pub decision_timeout: Time,
    /// The change to this version stops everybody first.
    #[serde(rename = "together")]
    pub barrier: bool,
    pub watch: Option<WatchRules>,
}

impl Default for Rules {
    fn default() -> Rules {
        let (lease, decision_timeout) = (2 * SECOND, 30 * SECOND);
        Rules { unreachable: UnreachableMembers::Fence, lease, decision_timeout, barrier: false, watch: None }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Version {
    pub number: u64,
    /// The version that it was made from.
    pub parent: u64,
    /// Of its canonical text.
    pub hash: u64,
    pub by: String,
    /// Unix time in milliseconds, as whoever made it had it.
    pub at_ms: u64,
    pub why: String,
    pub rules: Rules,
    #[serde(rename = "text")]
    pub document: String,
    /// Made by the watch, to undo its parent: it is not watched itself.
    pub undoes: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Members check it.
    Preparing,
    /// It is commit; members stop admitting, and it comes in force once all have.
    Barrier,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    pub version: Version,
    pub stage: Stage,
}

/// A change that was dropped.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AbortedChange {
    pub number: u64,
    pub hash: u64,
    pub by: String,
    pub reason: String,
}

/// A command. Each has its effect once, however often it is decided.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    Join {
        key: MemberKey,
        name: String,
    },
    /// Its lease is over, or it left: then it is not commit in again, as letters of it may come late.
    End {
        key: MemberKey,
        left: bool,
    },
    /// All lives of an instance: an operator says that it will not come back.
    Forget {
        member: NodeId,
    },
    Propose(Version),
    /// `generation` is that of the members that were counted.
    Decide {
        number: u64,
        generation: u64,
        commit: bool,
        reason: String,
    },
    /// Nobody admits under the older version any more.
    Activate {
        number: u64,
        generation: u64,
    },
}

/// What a command came to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    Done,
    /// Proposed under this number.
    Proposed(u64),
    /// It was made from a version that is no longer in force.
    Stale {
        active: u64,
    },
    /// Another change is under way.
    Busy {
        number: u64,
    },
    /// The members are others by now: to be counted again.
    MembersChanged,
    /// That is decided already, or never was asked.
    AlreadyDecided,
    /// Past a bound.
    LimitReached,
}

/// What changed, for logs and journals.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RolloutEvent {
    Proposed { number: u64, by: String },
    Committed { number: u64 },
    Aborted { number: u64, reason: String },
    Activated { number: u64 },
    MemberJoined { name: String },
    MemberEnded { name: String },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PolicyState {
    active: Version,
    before: VecDeque<Version>,
    change: Option<Change>,
    aborted: VecDeque<AbortedChange>,
    members: BTreeMap<MemberKey, String>,
    /// The last that left.
    left: VecDeque<MemberKey>,
    generation: u64,
    numbers: u64,
    #[serde(skip)]
    events: Vec<RolloutEvent>,
}

/// Lives that left and are remembered: as many as may leave while a letter is on its way.
const MAX_REMEMBERED_LEAVERS: usize = 1024;
/// RolloutEvent that are kept for whoever looks.
const MAX_EVENTS: usize = 4 * MAX_MEMBERS;

impl PolicyState {
    /// The version in force; 0 is each instance's own file.
    pub fn active(&self) -> &Version {
        &self.active
    }
    pub fn pending_change(&self) -> Option<&Change> {
        self.change.as_ref()
    }
    pub fn generation(&self) -> u64 {
        self.generation
    }
    pub fn members(&self) -> &BTreeMap<MemberKey, String> {
        &self.members
    }
    pub fn aborted(&self) -> impl Iterator<Item = &AbortedChange> {
        self.aborted.iter()
    }
    /// Those that were commit, the newest first.
    pub fn history(&self) -> impl Iterator<Item = &Version> {
        std::iter::once(&self.active).chain(self.before.iter().rev())
    }
    /// A version that is in force, was, or may come to be.
    pub fn version(&self, number: u64) -> Option<&Version> {
        let change = self.change.as_ref().map(|change| &change.version);
        self.history().chain(change).find(|version| version.number == number)
    }
    pub fn take_events(&mut self) -> Vec<RolloutEvent> {
        std::mem::take(&mut self.events)
    }

    fn record_event(&mut self, event: RolloutEvent) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(event);
        }
    }

    fn join(&mut self, key: MemberKey, name: String) -> Outcome {
        if self.members.contains_key(&key) || self.left.contains(&key) {
            return Outcome::Done;
        }
        if self.members.len() >= MAX_MEMBERS || name.len() > MAX_NAME_BYTES {
            return Outcome::LimitReached;
        }
        if self.active.rules.unreachable == UnreachableMembers::Wait {
            // Under this rule a name is one process, so its former life is over.
            let former: Vec<MemberKey> = self.incarnations(key.0);
            former.into_iter().for_each(|former| self.end(former));
        }
        self.record_event(RolloutEvent::MemberJoined { name: name.clone() });
        self.members.insert(key, name);
        self.generation += 1;
        Outcome::Done
    }

    fn incarnations(&self, member: NodeId) -> Vec<MemberKey> {
        self.members.range((member, 0)..=(member, u64::MAX)).map(|(key, _)| *key).collect()
    }

    fn end(&mut self, key: MemberKey) {
        if let Some(name) = self.members.remove(&key) {
            self.record_event(RolloutEvent::MemberEnded { name });
            self.generation += 1;
        }
    }

    fn propose(&mut self, mut version: Version) -> Outcome {
        if version.document.len() > MAX_DOCUMENT_BYTES
            || version.by.len() > MAX_NAME_BYTES
            || version.why.len() > MAX_REASON_BYTES
        {
            return Outcome::LimitReached;
        }
        if let Some(change) = &self.change {
            // Asked again, as an answer was lost.
            let same = (&change.version.by, change.version.at_ms, change.version.hash)
                == (&version.by, version.at_ms, version.hash);
            let number = change.version.number;
            return if same { Outcome::Proposed(number) } else { Outcome::Busy { number } };
        }
        if let Some(known) = self.history().chain(None).find(|known| {
            known.number > 0
                && (&known.by, known.at_ms, known.hash) == (&version.by, version.at_ms, version.hash)
        }) {
            return Outcome::Proposed(known.number);
        }
        if version.parent != self.active.number {
            return Outcome::Stale { active: self.active.number };
        }
        self.numbers += 1;
        version.number = self.numbers;
        self.record_event(RolloutEvent::Proposed { number: version.number, by: version.by.clone() });
        self.change = Some(Change { version, stage: Stage::Preparing });
        Outcome::Proposed(self.numbers)
    }

    fn decide(&mut self, number: u64, generation: u64, commit: bool, reason: String) -> Outcome {
        let asked =
            |change: &&mut Change| change.version.number == number && change.stage == Stage::Preparing;
        let Some(change) = self.change.as_mut().filter(asked) else { return Outcome::AlreadyDecided };
        if commit && generation != self.generation {
            return Outcome::MembersChanged;
        }
        if !commit {
            let Some(Change { version, .. }) = self.change.take() else { return Outcome::AlreadyDecided };
            let reason = truncate(&reason, MAX_REASON_BYTES);
            self.record_event(RolloutEvent::Aborted { number, reason: reason.clone() });
            self.aborted.push_back(AbortedChange { number, hash: version.hash, by: version.by, reason });
            if self.aborted.len() > MAX_ABORTED {
                self.aborted.pop_front();
            }
            return Outcome::Done;
        }
        let barrier = change.version.rules.barrier;
        change.stage = Stage::Barrier;
        self.record_event(RolloutEvent::Committed { number });
        if !barrier {
            self.activate();
        }
        Outcome::Done
    }

    fn activate(&mut self) {
        if let Some(Change { version, .. }) = self.change.take() {
            self.record_event(RolloutEvent::Activated { number: version.number });
            let before = std::mem::replace(&mut self.active, version);
            self.before.push_back(before);
            if self.before.len() > MAX_HISTORY {
                self.before.pop_front();
            }
        }
    }
}

impl StateMachine for PolicyState {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Vec<u8> {
        let outcome = match command.split_first().map(|(tag, rest)| (tag, postcard::from_bytes(rest))) {
            Some((&COMMAND_TAG, Ok(Command::Join { key, name }))) => self.join(key, name),
            Some((&COMMAND_TAG, Ok(Command::End { key, left }))) => {
                self.end(key);
                if left {
                    self.left.push_back(key);
                    if self.left.len() > MAX_REMEMBERED_LEAVERS {
                        self.left.pop_front();
                    }
                }
                Outcome::Done
            }
            Some((&COMMAND_TAG, Ok(Command::Forget { member }))) => {
                self.incarnations(member).into_iter().for_each(|key| self.end(key));
                Outcome::Done
            }
            Some((&COMMAND_TAG, Ok(Command::Propose(version)))) => self.propose(version),
            Some((&COMMAND_TAG, Ok(Command::Decide { number, generation, commit, reason }))) => {
                self.decide(number, generation, commit, reason)
            }
            Some((&COMMAND_TAG, Ok(Command::Activate { number, generation }))) => {
                let closing =
                    |change: &Change| change.version.number == number && change.stage == Stage::Barrier;
                match self.change.as_ref().is_some_and(closing) {
                    false => Outcome::AlreadyDecided,
                    true if generation != self.generation => Outcome::MembersChanged,
                    true => {
                        self.activate();
                        Outcome::Done
                    }
                }
            }
            // Of a later version: the same everywhere, nothing.
            _ => Outcome::AlreadyDecided,
        };
        postcard::to_stdvec(&outcome).unwrap_or_default()
    }
    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
    fn from_snapshot(bytes: &[u8]) -> Option<PolicyState> {
        postcard::from_bytes(bytes).ok()
    }
}

impl AsRef<PolicyState> for PolicyState {
    fn as_ref(&self) -> &PolicyState {
        self
    }
}
impl AsMut<PolicyState> for PolicyState {
    fn as_mut(&mut self) -> &mut PolicyState {
        self
    }
}

/// A command's bytes.
pub fn encode_command(command: &Command) -> Vec<u8> {
    postcard::to_extend(command, vec![COMMAND_TAG]).unwrap_or_default()
}
