//! The replicated state: the active version, those before it, the change under way, and the members that count. The same commands give the
//! same state at every replica.

use crate::{
    truncate, MemberKey, NodeId, Time, MAX_ABORTED, MAX_DOCUMENT_BYTES, MAX_HISTORY, MAX_MEMBERS,
    MAX_NAME_BYTES, MAX_REASON_BYTES, SECOND,
};
use cypresscleat_consensus::StateMachine;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// First byte of a command, which tells it from those of other state machines that share a log.
pub const COMMAND_TAG: u8 = 0x40;
/// Members that left and are remembered: as many as may leave while a message is on its way.
const MAX_REMEMBERED_LEAVERS: usize = 1024;
/// Events that are kept until they are taken.
const MAX_EVENTS: usize = 4 * MAX_MEMBERS;

/// What becomes of members that the leader does not hear.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnreachableMembers {
    /// They stop serving once their lease is over, and a change goes on without them.
    #[default]
    Fence,
    /// They go on under the version they have, and a change waits for them until its timeout.
    Wait,
}

/// A change is undone where what succeeds in time, or what is billed, of each request falls by more than a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WatchRules {
    /// In thousandths.
    pub share: u32,
    /// How long the change is watched.
    pub within: Time,
}

/// How changes are made while a version is active. Part of its document. The names of its fields are stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rules {
    /// What becomes of members that the leader does not hear.
    #[serde(rename = "missing")]
    pub unreachable: UnreachableMembers,
    /// Length of a lease on the version.
    pub lease: Time,
    /// A change that is not decided within this time is aborted. The rules of the active version count, from when the present leader
    /// first saw the change: a new leader counts anew. A committed change is never aborted.
    #[serde(rename = "patience")]
    pub decision_timeout: Time,
    /// In the change to this version all members stop before any admits under it.
    #[serde(rename = "together")]
    pub barrier: bool,
    /// Whether the change is watched for harm.
    pub watch: Option<WatchRules>,
}

impl Default for Rules {
    fn default() -> Rules {
        let (lease, decision_timeout) = (2 * SECOND, 30 * SECOND);
        Rules { unreachable: UnreachableMembers::Fence, lease, decision_timeout, barrier: false, watch: None }
    }
}

/// A version of the policy. The names of its fields are stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Rises with each proposal; 0 is each instance's own file.
    pub number: u64,
    /// The version that it was made from.
    pub parent: u64,
    /// Hash of the canonical text of the document.
    pub hash: u64,
    /// Who made it.
    pub by: String,
    /// When it was made: Unix time in milliseconds, by its author's clock. In a version made by the watch, the number of the version
    /// that it undoes.
    pub at_ms: u64,
    /// Why it was made.
    pub why: String,
    /// How changes are made while it is active, as its document has it.
    pub rules: Rules,
    /// The text.
    #[serde(rename = "text")]
    pub document: String,
    /// Made by the watch, to undo its parent: it is not watched itself.
    pub undoes: bool,
}

/// How far a change is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Members check and store it.
    Preparing,
    /// It is committed; members stop admitting, and it becomes active once all have.
    Barrier,
}

/// The change under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The version that it leads to.
    pub version: Version,
    /// How far it is.
    pub stage: Stage,
}

/// A change that was aborted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AbortedChange {
    /// Number of its version.
    pub number: u64,
    /// Hash of its version.
    pub hash: u64,
    /// Who made it.
    pub by: String,
    /// Why it was aborted.
    pub reason: String,
}

/// A command. It has its effect once, however often it is decided.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A member joins.
    Join {
        /// The member.
        key: MemberKey,
        /// Its name.
        name: String,
    },
    /// A member's lease is over, or it left.
    End {
        /// The member.
        key: MemberKey,
        /// It left, and may not join again: messages of it may arrive late.
        left: bool,
    },
    /// All incarnations of an instance end: an operator says that it will not come back.
    Forget {
        /// The instance.
        member: NodeId,
    },
    /// Proposes a version.
    Propose(Version),
    /// Commits or aborts the change under way.
    Decide {
        /// Number of its version.
        number: u64,
        /// Generation of the members that were counted; compared for a commit only, an abort holds whoever the members are.
        generation: u64,
        /// Whether it is committed.
        commit: bool,
        /// Why it is aborted.
        reason: String,
    },
    /// Activates a committed version: nobody admits under the former one any more.
    Activate {
        /// The version.
        number: u64,
        /// Generation of the members that were counted.
        generation: u64,
    },
}

/// What a command came to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// Done.
    Done,
    /// Proposed under this number.
    Proposed(u64),
    /// It was made from a version that is no longer active.
    Stale {
        /// The active version.
        active: u64,
    },
    /// Another change is under way.
    Busy {
        /// Its version.
        number: u64,
    },
    /// The members are others by now, and have to be counted again.
    MembersChanged,
    /// It is decided already, or was never proposed.
    AlreadyDecided,
    /// Nothing was done, as a limit is reached.
    LimitReached,
}

/// What changed, for logs and journals.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RolloutEvent {
    /// A version was proposed.
    Proposed {
        /// The version.
        number: u64,
        /// Who made it.
        by: String,
    },
    /// A change was committed.
    Committed {
        /// The version.
        number: u64,
    },
    /// A change was aborted.
    Aborted {
        /// The version.
        number: u64,
        /// Why.
        reason: String,
    },
    /// A version became active.
    Activated {
        /// The version.
        number: u64,
    },
    /// A member joined.
    MemberJoined {
        /// Its name.
        name: String,
    },
    /// A member left, expired or was forgotten.
    MemberEnded {
        /// Its name.
        name: String,
    },
}

/// The line of a log.
impl fmt::Display for RolloutEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RolloutEvent::Proposed { number, by } => {
                write!(formatter, "policy {number} is proposed by {by:?}")
            }
            RolloutEvent::Committed { number } => write!(formatter, "policy {number} is taken"),
            RolloutEvent::Aborted { number, reason } => {
                write!(formatter, "policy {number} is dropped: {reason}")
            }
            RolloutEvent::Activated { number } => write!(formatter, "policy {number} is in force"),
            RolloutEvent::MemberJoined { name } => write!(formatter, "policy: {name} counts"),
            RolloutEvent::MemberEnded { name } => write!(formatter, "policy: {name} counts no longer"),
        }
    }
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PolicyState {
    active: Version,
    /// Versions that were active before, the oldest first.
    before: VecDeque<Version>,
    change: Option<Change>,
    aborted: VecDeque<AbortedChange>,
    members: BTreeMap<MemberKey, String>,
    /// The last members that left.
    left: VecDeque<MemberKey>,
    /// Rises with each change of the members.
    generation: u64,
    /// The last number that a version got.
    last_number: u64,
    /// Events since they were last taken; not part of the replicated state.
    #[serde(skip)]
    events: Vec<RolloutEvent>,
}

impl PolicyState {
    /// The active version.
    pub fn active(&self) -> &Version {
        &self.active
    }

    /// The change under way.
    pub fn pending_change(&self) -> Option<&Change> {
        self.change.as_ref()
    }

    /// Rises with each change of the members.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The members that count, with their names.
    pub fn members(&self) -> &BTreeMap<MemberKey, String> {
        &self.members
    }

    /// Changes that were aborted, the oldest first.
    pub fn aborted(&self) -> impl Iterator<Item = &AbortedChange> {
        self.aborted.iter()
    }

    /// Committed versions, the active one first.
    pub fn history(&self) -> impl Iterator<Item = &Version> {
        std::iter::once(&self.active).chain(self.before.iter().rev())
    }

    /// A version that is active, was, or is proposed.
    pub fn version(&self, number: u64) -> Option<&Version> {
        let change = self.change.as_ref().map(|change| &change.version);
        self.history().chain(change).find(|version| version.number == number)
    }

    /// Events since the last call.
    pub fn take_events(&mut self) -> Vec<RolloutEvent> {
        std::mem::take(&mut self.events)
    }

    fn record_event(&mut self, event: RolloutEvent) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(event);
        }
    }

    fn apply_command(&mut self, command: Command) -> Outcome {
        match command {
            Command::Join { key, name } => return self.join(key, name),
            Command::End { key, left } => {
                self.end(key);
                if left {
                    self.remember_leaver(key);
                }
            }
            Command::Forget { member } => {
                self.incarnations(member).into_iter().for_each(|key| self.end(key));
            }
            Command::Propose(version) => return self.propose(version),
            Command::Decide { number, generation, commit, reason } => {
                return self.decide(number, generation, commit, reason)
            }
            Command::Activate { number, generation } => return self.activate_committed(number, generation),
        }
        Outcome::Done
    }

    fn remember_leaver(&mut self, key: MemberKey) {
        self.left.push_back(key);
        if self.left.len() > MAX_REMEMBERED_LEAVERS {
            self.left.pop_front();
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
            // Under this rule a name is one process: its former incarnation is over.
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
        // The same proposal may come again, as a response was lost.
        if let Some(change) = &self.change {
            let number = change.version.number;
            return match is_same_proposal(&change.version, &version) {
                true => Outcome::Proposed(number),
                false => Outcome::Busy { number },
            };
        }
        let is_known = |known: &&Version| known.number > 0 && is_same_proposal(known, &version);
        if let Some(known) = self.history().find(is_known) {
            return Outcome::Proposed(known.number);
        }
        if version.parent != self.active.number {
            return Outcome::Stale { active: self.active.number };
        }
        self.last_number += 1;
        version.number = self.last_number;
        self.record_event(RolloutEvent::Proposed { number: version.number, by: version.by.clone() });
        self.change = Some(Change { version, stage: Stage::Preparing });
        Outcome::Proposed(self.last_number)
    }

    fn decide(&mut self, number: u64, generation: u64, commit: bool, reason: String) -> Outcome {
        let is_preparing =
            |change: &&mut Change| change.version.number == number && change.stage == Stage::Preparing;
        let Some(change) = self.change.as_mut().filter(is_preparing) else { return Outcome::AlreadyDecided };
        if !commit {
            self.abort(reason);
            return Outcome::Done;
        }
        if generation != self.generation {
            return Outcome::MembersChanged;
        }
        let has_barrier = change.version.rules.barrier;
        change.stage = Stage::Barrier;
        self.record_event(RolloutEvent::Committed { number });
        if !has_barrier {
            self.activate();
        }
        Outcome::Done
    }

    fn abort(&mut self, reason: String) {
        let Some(Change { version, .. }) = self.change.take() else { return };
        let (number, reason) = (version.number, truncate(&reason, MAX_REASON_BYTES));
        self.record_event(RolloutEvent::Aborted { number, reason: reason.clone() });
        self.aborted.push_back(AbortedChange { number, hash: version.hash, by: version.by, reason });
        if self.aborted.len() > MAX_ABORTED {
            self.aborted.pop_front();
        }
    }

    fn activate_committed(&mut self, number: u64, generation: u64) -> Outcome {
        let is_committed =
            |change: &Change| change.version.number == number && change.stage == Stage::Barrier;
        if !self.change.as_ref().is_some_and(is_committed) {
            return Outcome::AlreadyDecided;
        }
        if generation != self.generation {
            return Outcome::MembersChanged;
        }
        self.activate();
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

/// Whether two versions are one proposal, sent twice.
fn is_same_proposal(one: &Version, other: &Version) -> bool {
    (&one.by, one.at_ms, one.hash) == (&other.by, other.at_ms, other.hash)
}

impl StateMachine for PolicyState {
    fn apply(&mut self, _log_index: u64, command: &[u8]) -> Vec<u8> {
        let outcome = match command.split_first() {
            Some((&COMMAND_TAG, rest)) => match postcard::from_bytes(rest) {
                Ok(command) => self.apply_command(command),
                // A command of a later version: no effect, at every replica alike.
                Err(_) => Outcome::AlreadyDecided,
            },
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

/// The bytes of a command, as the log holds them.
pub fn encode_command(command: &Command) -> Vec<u8> {
    postcard::to_extend(command, vec![COMMAND_TAG]).unwrap_or_default()
}
