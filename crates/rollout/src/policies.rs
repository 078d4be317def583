//! What the keepers agree on: the version in force, those before it, the change under way, and the members that count. A machine of
//! `quorum`: the same commands give the same state at every keeper.

use crate::{cut, Key, NodeId, Time, DROPPED, HISTORY, MEMBERS, NAME, SECOND, TEXT, WHY};
use cypresscleat_consensus::StateMachine;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// First byte of a command, by which it is told from those of other machines that share a log.
pub const TAG: u8 = 0x40;

/// What becomes of members that are not heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Missing {
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
    pub missing: Missing,
    pub lease: Time,
    /// A change that is not decided for so long is dropped.
    pub patience: Time,
    /// The change to this version stops everybody first.
    pub together: bool,
    pub watch: Option<WatchRules>,
}

impl Default for Rules {
    fn default() -> Rules {
        let (lease, patience) = (2 * SECOND, 30 * SECOND);
        Rules { missing: Missing::Fence, lease, patience, together: false, watch: None }
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
    pub text: String,
    /// Made by the watch, to undo its parent: it is not watched itself.
    pub undoes: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Members check it.
    Asking,
    /// It is taken; members stop admitting, and it comes in force once all have.
    Closing,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    pub version: Version,
    pub stage: Stage,
}

/// A change that was dropped.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Dropped {
    pub number: u64,
    pub hash: u64,
    pub by: String,
    pub reason: String,
}

/// A command. Each has its effect once, however often it is decided.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    Join {
        key: Key,
        name: String,
    },
    /// Its lease is over, or it left: then it is not taken in again, as letters of it may come late.
    End {
        key: Key,
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
        taken: bool,
        reason: String,
    },
    /// Nobody admits under the older version any more.
    Open {
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
        now: u64,
    },
    /// Another change is under way.
    Busy {
        number: u64,
    },
    /// The members are others by now: to be counted again.
    Again,
    /// That is decided already, or never was asked.
    Late,
    /// Past a bound.
    Full,
}

/// What changed, for logs and journals.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum News {
    Proposed { number: u64, by: String },
    Taken { number: u64 },
    Dropped { number: u64, reason: String },
    InForce { number: u64 },
    Joined { name: String },
    Ended { name: String },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Policies {
    now: Version,
    before: VecDeque<Version>,
    change: Option<Change>,
    dropped: VecDeque<Dropped>,
    members: BTreeMap<Key, String>,
    /// The last that left.
    left: VecDeque<Key>,
    generation: u64,
    numbers: u64,
    #[serde(skip)]
    news: Vec<News>,
}

/// Lives that left and are remembered: as many as may leave while a letter is on its way.
const LEFT: usize = 1024;
/// News that are kept for whoever looks.
const NEWS: usize = 4 * MEMBERS;

impl Policies {
    /// The version in force; 0 is each instance's own file.
    pub fn now(&self) -> &Version {
        &self.now
    }
    pub fn change(&self) -> Option<&Change> {
        self.change.as_ref()
    }
    pub fn generation(&self) -> u64 {
        self.generation
    }
    pub fn members(&self) -> &BTreeMap<Key, String> {
        &self.members
    }
    pub fn dropped(&self) -> impl Iterator<Item = &Dropped> {
        self.dropped.iter()
    }
    /// Those that were taken, the newest first.
    pub fn history(&self) -> impl Iterator<Item = &Version> {
        std::iter::once(&self.now).chain(self.before.iter().rev())
    }
    /// A version that is in force, was, or may come to be.
    pub fn version(&self, number: u64) -> Option<&Version> {
        let change = self.change.as_ref().map(|change| &change.version);
        self.history().chain(change).find(|version| version.number == number)
    }
    pub fn take_news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    fn tells(&mut self, news: News) {
        if self.news.len() < NEWS {
            self.news.push(news);
        }
    }

    fn joins(&mut self, key: Key, name: String) -> Outcome {
        if self.members.contains_key(&key) || self.left.contains(&key) {
            return Outcome::Done;
        }
        if self.members.len() >= MEMBERS || name.len() > NAME {
            return Outcome::Full;
        }
        if self.now.rules.missing == Missing::Wait {
            // Under this rule a name is one process, so its former life is over.
            let former: Vec<Key> = self.lives(key.0);
            former.into_iter().for_each(|former| self.ends(former));
        }
        self.tells(News::Joined { name: name.clone() });
        self.members.insert(key, name);
        self.generation += 1;
        Outcome::Done
    }

    fn lives(&self, member: NodeId) -> Vec<Key> {
        self.members.range((member, 0)..=(member, u64::MAX)).map(|(key, _)| *key).collect()
    }

    fn ends(&mut self, key: Key) {
        if let Some(name) = self.members.remove(&key) {
            self.tells(News::Ended { name });
            self.generation += 1;
        }
    }

    fn proposes(&mut self, mut version: Version) -> Outcome {
        if version.text.len() > TEXT || version.by.len() > NAME || version.why.len() > WHY {
            return Outcome::Full;
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
        if version.parent != self.now.number {
            return Outcome::Stale { now: self.now.number };
        }
        self.numbers += 1;
        version.number = self.numbers;
        self.tells(News::Proposed { number: version.number, by: version.by.clone() });
        self.change = Some(Change { version, stage: Stage::Asking });
        Outcome::Proposed(self.numbers)
    }

    fn decides(&mut self, number: u64, generation: u64, taken: bool, reason: String) -> Outcome {
        let asked = |change: &&mut Change| change.version.number == number && change.stage == Stage::Asking;
        let Some(change) = self.change.as_mut().filter(asked) else { return Outcome::Late };
        if taken && generation != self.generation {
            return Outcome::Again;
        }
        if !taken {
            let Some(Change { version, .. }) = self.change.take() else { return Outcome::Late };
            let reason = cut(&reason, WHY);
            self.tells(News::Dropped { number, reason: reason.clone() });
            self.dropped.push_back(Dropped { number, hash: version.hash, by: version.by, reason });
            if self.dropped.len() > DROPPED {
                self.dropped.pop_front();
            }
            return Outcome::Done;
        }
        let together = change.version.rules.together;
        change.stage = Stage::Closing;
        self.tells(News::Taken { number });
        if !together {
            self.opens();
        }
        Outcome::Done
    }

    fn opens(&mut self) {
        if let Some(Change { version, .. }) = self.change.take() {
            self.tells(News::InForce { number: version.number });
            let before = std::mem::replace(&mut self.now, version);
            self.before.push_back(before);
            if self.before.len() > HISTORY {
                self.before.pop_front();
            }
        }
    }
}

impl StateMachine for Policies {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Vec<u8> {
        let outcome = match command.split_first().map(|(tag, rest)| (tag, postcard::from_bytes(rest))) {
            Some((&TAG, Ok(Command::Join { key, name }))) => self.joins(key, name),
            Some((&TAG, Ok(Command::End { key, left }))) => {
                self.ends(key);
                if left {
                    self.left.push_back(key);
                    if self.left.len() > LEFT {
                        self.left.pop_front();
                    }
                }
                Outcome::Done
            }
            Some((&TAG, Ok(Command::Forget { member }))) => {
                self.lives(member).into_iter().for_each(|key| self.ends(key));
                Outcome::Done
            }
            Some((&TAG, Ok(Command::Propose(version)))) => self.proposes(version),
            Some((&TAG, Ok(Command::Decide { number, generation, taken, reason }))) => {
                self.decides(number, generation, taken, reason)
            }
            Some((&TAG, Ok(Command::Open { number, generation }))) => {
                let closing =
                    |change: &Change| change.version.number == number && change.stage == Stage::Closing;
                match self.change.as_ref().is_some_and(closing) {
                    false => Outcome::Late,
                    true if generation != self.generation => Outcome::Again,
                    true => {
                        self.opens();
                        Outcome::Done
                    }
                }
            }
            // Of a later version: the same everywhere, nothing.
            _ => Outcome::Late,
        };
        postcard::to_stdvec(&outcome).unwrap_or_default()
    }
    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
    fn from_snapshot(bytes: &[u8]) -> Option<Policies> {
        postcard::from_bytes(bytes).ok()
    }
}

impl AsRef<Policies> for Policies {
    fn as_ref(&self) -> &Policies {
        self
    }
}
impl AsMut<Policies> for Policies {
    fn as_mut(&mut self) -> &mut Policies {
        self
    }
}

/// A command's bytes.
pub fn bytes(command: &Command) -> Vec<u8> {
    postcard::to_extend(command, vec![TAG]).unwrap_or_default()
}
