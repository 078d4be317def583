//! Letters between keepers, one in each datagram: a magic byte, a version, a checksum, then the letter by postcard. What is of
//! another version, garbled, cut or too long is told as such; nothing panics.
//!
//! What a later version may add: kinds of letters, at the end of their list. One that is not understood is dropped, as if it had
//! been lost; everything here lives with letters that are lost.

use crate::{DiskId, Member};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

pub const MAGIC: u8 = 0xC5;
pub const VERSION: u8 = 1;
/// Longest datagram, in bytes.
pub const LONGEST: usize = 60 * 1024;
/// Entries and image of one letter take no more than this, in bytes.
pub const PART: usize = 32 * 1024;
/// One command, in bytes.
pub const COMMAND: usize = 24 * 1024;
/// Members at the most: five, and one more while one is replaced.
pub const MEMBERS: usize = 8;

/// What is decided at one index.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum What {
    /// A leader's first: what stands before it is decided with it.
    Blank,
    Command(Vec<u8>),
    /// The members from here on.
    Members(Vec<Member>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub term: u64,
    pub what: What,
}

/// Where a log stands: of two the one with the later term is ahead, within one term the one with the higher index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Mark {
    pub term: u64,
    pub index: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// I am no member: who are we? `empty` where my disk holds nothing.
    Fresh {
        empty: bool,
    },
    /// These are the members, the one that asked among them.
    Form {
        members: Vec<Member>,
    },
    /// I have started again: what have you seen of my disk? Answered by `Seen`.
    Hello {
        last: Mark,
    },
    /// The furthest that was acknowledged or voted from this disk, as far as is known.
    Seen {
        last: Mark,
        voted: u64,
    },
    /// Would you (`pre`), or do you, vote for me in the letter's term?
    Ask {
        pre: bool,
        last: Mark,
    },
    Vote {
        pre: bool,
        granted: bool,
    },
    /// What follows `before`; all up to `commit` is decided. `round` comes back in the answer.
    Append {
        round: u64,
        before: Mark,
        entries: Vec<Entry>,
        commit: u64,
    },
    /// Holds what the leader holds up to `upto`; or not what stood before: to be tried from `upto` on.
    Appended {
        round: u64,
        good: bool,
        upto: u64,
    },
    /// A part of all there is up to `base`, from byte `at` on, of `length`.
    Image {
        round: u64,
        base: Mark,
        members: Vec<Member>,
        at: u64,
        length: u64,
        bytes: Vec<u8>,
    },
    /// So many bytes of it are here.
    ImageTaken {
        round: u64,
        index: u64,
        at: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Letter {
    pub from: Member,
    /// The disk that it is for; 0 where that is not known.
    pub to_disk: DiskId,
    pub term: u64,
    pub body: Body,
}

/// Why bytes are no letter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// Of another version, or of a kind that this one does not know.
    Unknown,
    /// Cut, garbled, too long, or past a bound.
    Broken,
}

/// `None` where it would be too long.
pub fn write<T: Serialize>(letter: &T) -> Option<Vec<u8>> {
    let mut bytes = vec![MAGIC, VERSION, 0, 0, 0, 0];
    bytes = postcard::to_extend(letter, bytes).ok()?;
    let sum = crc32fast::hash(&bytes[6..]);
    bytes[2..6].copy_from_slice(&sum.to_le_bytes());
    (bytes.len() <= LONGEST).then_some(bytes)
}

pub fn read<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Wrong> {
    let (head, body) = bytes.split_at_checked(6).ok_or(Wrong::Broken)?;
    if head[0] != MAGIC || bytes.len() > LONGEST {
        return Err(Wrong::Broken);
    }
    if head[1] != VERSION {
        return Err(Wrong::Unknown);
    }
    if head[2..6] != crc32fast::hash(body).to_le_bytes() {
        return Err(Wrong::Broken);
    }
    match postcard::take_from_bytes(body) {
        Ok((letter, [])) => Ok(letter),
        _ => Err(Wrong::Unknown),
    }
}

impl Letter {
    /// Lists and marks within their bounds.
    pub fn bounded(&self) -> bool {
        match &self.body {
            Body::Form { members } | Body::Image { members, .. } => members.len() <= MEMBERS,
            Body::Append { entries, before, .. } => {
                before.index < u64::MAX / 2
                    && entries.iter().all(|entry| match &entry.what {
                        What::Members(members) => !members.is_empty() && members.len() <= MEMBERS,
                        What::Command(bytes) => bytes.len() <= COMMAND,
                        What::Blank => true,
                    })
            }
            _ => true,
        }
    }
}
