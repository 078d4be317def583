//! The replicated state: the active version, the former versions, the pending change, and the member list. The same commands produce the
//! same state at every replica.

use crate::{
    truncate, MemberKey, NodeId, Time, MAX_ABORTED, MAX_DOCUMENT_BYTES, MAX_HISTORY, MAX_MEMBERS,
    MAX_NAME_BYTES, MAX_REASON_BYTES, SECOND,
};
use cypresscleat_consensus::StateMachine;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// First byte of a command. Distinguishes these commands from those of other state machines that share the log.
pub const COMMAND_TAG: u8 = 0x40;
/// Maximum number of remembered members that left: as many as may leave while one message is in flight.
const MAX_REMEMBERED_LEAVERS: usize = 1024;
/// Maximum number of events that are buffered until [`PolicyState::take_events`].
const MAX_EVENTS: usize = 4 * MAX_MEMBERS;

/// How a rollout treats members that the leader cannot reach.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnreachableMembers {
    /// They stop serving when their lease ends, and a change proceeds without them.
    #[default]
    Fence,
    /// They keep serving under their version, and a change waits for them until its timeout.
    Wait,
}

/// A change is reverted where successes in time per request, or billed value per request, fall by more than a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WatchRules {
    /// The tolerated decrease, in thousandths.
    pub share: u32,
    /// Time for which the change is watched.
    pub within: Time,
}

/// The rules for changes while a version is active, as its document sets them. The field names are part of the stored format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rules {
    /// How a change treats members that the leader cannot reach.
    #[serde(rename = "missing")]
    pub unreachable: UnreachableMembers,
    /// Duration of a lease on the version.
    pub lease: Time,
    /// A change that is not decided within this time is aborted. The timeout of the active version applies. It starts when the current
    /// leader first sees the change, so a new leader starts it again. A committed change is never aborted.
    #[serde(rename = "patience")]
    pub decision_timeout: Time,
    /// In the change to this version, all members stop before any member admits under it.
    #[serde(rename = "together")]
    pub barrier: bool,
    /// The limits under which the change is watched for harm; `None` where it is not watched.
    pub watch: Option<WatchRules>,
}

impl Default for Rules {
    fn default() -> Rules {
        let (lease, decision_timeout) = (2 * SECOND, 30 * SECOND);
        Rules { unreachable: UnreachableMembers::Fence, lease, decision_timeout, barrier: false, watch: None }
    }
}

/// A version of the policy. The field names are part of the stored format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Increases with each proposal; 0 stands for the instance's own file.
    pub number: u64,
    /// The version that this one was derived from.
    pub parent: u64,
    /// Hash of the document's canonical form.
    pub hash: u64,
    /// Name of the author.
    pub by: String,
    /// Creation time: Unix time in milliseconds, by the author's clock. In a version that the watch created, the number of the version
    /// that it reverts.
    pub at_ms: u64,
    /// The reason for the version.
    pub why: String,
    /// The rules for changes while the version is active, as in its document.
    pub rules: Rules,
    /// The policy document.
    #[serde(rename = "text")]
    pub document: String,
    /// The watch created the version to revert its parent; such a version is not watched itself.
    pub undoes: bool,
}

/// The stage of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Members check and store the version.
    Preparing,
    /// The change is committed. Members stop admitting, and the version becomes active once all have stopped.
    Barrier,
}

/// A pending change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The proposed version.
    pub version: Version,
    /// The stage of the change.
    pub stage: Stage,
}

/// An aborted change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AbortedChange {
    /// Number of its version.
    pub number: u64,
    /// Hash of its version.
    pub hash: u64,
    /// Name of the author.
    pub by: String,
    /// Why the change was aborted.
    pub reason: String,
}

/// A command of the replicated log. A command that is committed more than once takes effect only once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A member joins.
    Join {
        /// The member.
        key: MemberKey,
        /// Its name.
        name: String,
    },
    /// A member's lease expired, or the member left.
    End {
        /// The member.
        key: MemberKey,
        /// The member left and may not join again, as its messages may still arrive late.
        left: bool,
    },
    /// Removes all incarnations of an instance. An operator states that the instance will not restart.
    Forget {
        /// The instance.
        member: NodeId,
    },
    /// Proposes a version.
    Propose(Version),
    /// Commits or aborts the pending change.
    Decide {
        /// Number of its version.
        number: u64,
        /// Generation of the member list that the decision is based on. Checked for a commit only: an abort is valid for any member list.
        generation: u64,
        /// Whether the change is committed.
        commit: bool,
        /// Why the change is aborted.
        reason: String,
    },
    /// Activates a committed version: no member admits under the former one any more.
    Activate {
        /// The version.
        number: u64,
        /// Generation of the member list that the decision is based on.
        generation: u64,
    },
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The command was applied.
    Done,
    /// The version was proposed under this number.
    Proposed(u64),
    /// The proposal was derived from a version that is not the active one.
    Stale {
        /// The active version.
        active: u64,
    },
    /// Another change is pending.
    Busy {
        /// Its version number.
        number: u64,
    },
    /// The member list has changed since, so the votes have to be counted again.
    MembersChanged,
    /// The change is already decided, or was never proposed.
    AlreadyDecided,
    /// The command had no effect because a limit is reached.
    LimitReached,
}

/// A change of the replicated state, for logs and journals.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RolloutEvent {
    /// A version was proposed.
    Proposed {
        /// The version.
        number: u64,
        /// Name of the author.
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
        /// Why the change was aborted.
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
    /// A member left, its lease expired, or an operator removed it.
    MemberEnded {
        /// Its name.
        name: String,
    },
}

/// Formats the event as a log line.
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
    /// Former versions, the oldest first.
    former: VecDeque<Version>,
    change: Option<Change>,
    aborted: VecDeque<AbortedChange>,
    members: BTreeMap<MemberKey, String>,
    /// The members that left most recently.
    left: VecDeque<MemberKey>,
    /// Increases with each change of the member list.
    generation: u64,
    /// The number of the version that was proposed last.
    last_number: u64,
    /// Events since the last call of `take_events`; not part of the replicated state.
    #[serde(skip)]
    events: Vec<RolloutEvent>,
}

impl PolicyState {
    /// The active version.
    pub fn active(&self) -> &Version {
        &self.active
    }

    /// The pending change.
    pub fn pending_change(&self) -> Option<&Change> {
        self.change.as_ref()
    }

    /// The generation of the member list. Increases with each change of the list.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The current members, with their names.
    pub fn members(&self) -> &BTreeMap<MemberKey, String> {
        &self.members
    }

    /// Aborted changes, the oldest first.
    pub fn aborted(&self) -> impl Iterator<Item = &AbortedChange> {
        self.aborted.iter()
    }

    /// Committed versions, the active one first.
    pub fn history(&self) -> impl Iterator<Item = &Version> {
        std::iter::once(&self.active).chain(self.former.iter().rev())
    }

    /// The version with this number, if it is active, a remembered former version, or the proposed one.
    pub fn version(&self, number: u64) -> Option<&Version> {
        let change = self.change.as_ref().map(|change| &change.version);
        self.history().chain(change).find(|version| version.number == number)
    }

    /// Returns the events since the last call.
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
            // Under this rule a name belongs to one process, so the former incarnation has ended.
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
        // The client sends the same proposal again when a response is lost.
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
            let former = std::mem::replace(&mut self.active, version);
            self.former.push_back(former);
            if self.former.len() > MAX_HISTORY {
                self.former.pop_front();
            }
        }
    }
}

/// Whether two versions are the same proposal, sent twice.
fn is_same_proposal(one: &Version, other: &Version) -> bool {
    (&one.by, one.at_ms, one.hash) == (&other.by, other.at_ms, other.hash)
}

impl StateMachine for PolicyState {
    fn apply(&mut self, _log_index: u64, command: &[u8]) -> Vec<u8> {
        let outcome = match command.split_first() {
            Some((&COMMAND_TAG, rest)) => match postcard::from_bytes(rest) {
                Ok(command) => self.apply_command(command),
                // A command of a later program version has no effect, at every replica alike.
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

/// Encodes a command as the log stores it.
pub fn encode_command(command: &Command) -> Vec<u8> {
    postcard::to_extend(command, vec![COMMAND_TAG]).unwrap_or_default()
}
