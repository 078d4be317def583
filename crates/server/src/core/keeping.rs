//! What of the core's work outlives an invocation: tokens with their results, and, with a store, billing rows and what was owed
//! at a drain, which outlive the process too. No I/O: jobs go out, word of what was kept comes in. A row's key begins with `b/`
//! (billing), `t/` (token) or `o/` (owed).

use super::door::{How, Peer, Txn};
use crate::pool::Buf;
use cypresscleat_scheduler::{RequestSlot, Time};
use cypresscleat_store::disk::Disk;
use cypresscleat_store::{Result, Store};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use std::sync::mpsc::SyncSender;

/// Writes that are kept together, one commit for all.
pub struct Job {
    pub number: u64,
    pub writes: Vec<(Vec<u8>, Option<Vec<u8>>)>,
}

/// Results of tokens in memory, in bytes, at the most; what is more is known to have run, and its result is not.
const RESULTS: usize = 4 << 20;
/// Tokens known at once. One more could not be told from its repeat, so it is turned away until one goes.
const TOKENS: usize = 4096;

#[derive(Clone, Debug, PartialEq)]
pub enum Ran {
    /// Known to the module under this index.
    Open(RequestSlot),
    /// It was begun, and how it ended is not known: it may have had its effect.
    Begun,
    Done(Vec<u8>),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Token {
    /// What the invocation said, to tell it from another under the same token.
    pub said: u64,
    /// Unix time, in tenths of a millisecond, until which a repeat may come.
    pub until: Time,
    pub ran: Ran,
}

impl Token {
    fn write(&self) -> Vec<u8> {
        let mut out = self.said.to_le_bytes().to_vec();
        out.extend(self.until.to_le_bytes());
        if let Ran::Done(result) = &self.ran {
            out.push(1);
            out.extend(result);
        } else {
            out.push(0);
        }
        out
    }

    fn read(bytes: &[u8]) -> Option<Token> {
        let (said, rest) = bytes.split_at_checked(8)?;
        let (until, rest) = rest.split_at_checked(8)?;
        let (state, result) = rest.split_first()?;
        Some(Token {
            said: u64::from_le_bytes(said.try_into().ok()?),
            until: Time::from_le_bytes(until.try_into().ok()?),
            ran: if *state == 1 { Ran::Done(result.to_vec()) } else { Ran::Begun },
        })
    }
}

fn token_key(token: &str) -> Vec<u8> {
    format!("t/{token}").into_bytes()
}

fn owed_key(txn: &Txn) -> Vec<u8> {
    [&b"o/"[..], txn].concat()
}

/// What the last life left.
#[derive(Debug, Default)]
pub struct Loaded {
    pub tokens: Vec<(String, Token)>,
    /// Taken in and not answered: what is known of each.
    pub cut_off: Vec<(Vec<u8>, String)>,
}

impl Loaded {
    pub fn read(store: &mut Store<impl Disk>) -> Result<Loaded> {
        let snapshot = store.snapshot();
        let mut loaded = Loaded::default();
        let mut bytes = 0;
        for key in snapshot.keys(b"o/").take_while(|key| key.starts_with(b"o/")) {
            let value = store.get_at(&snapshot, key)?.unwrap_or_default();
            let text = format!("{} {}", String::from_utf8_lossy(&key[2..]), String::from_utf8_lossy(&value));
            loaded.cut_off.push((key.to_vec(), text));
        }
        for key in snapshot.keys(b"t/").take_while(|key| key.starts_with(b"t/")) {
            let value = store.get_at(&snapshot, key)?.unwrap_or_default();
            let Some(mut token) = Token::read(&value) else { continue };
            bytes += value.len();
            if bytes > RESULTS {
                token.ran = Ran::Begun;
            }
            loaded.tokens.push((String::from_utf8_lossy(&key[2..]).into_owned(), token));
        }
        Ok(loaded)
    }
}

/// What goes on once a job was kept.
pub enum Waits {
    Answer {
        peer: Rc<Peer>,
        stream: u32,
        how: How,
        body: Buf,
    },
    /// A tokened one that is to run.
    Run(RequestSlot, Txn),
}

/// What of an invocation billing knows.
pub struct Row<'a> {
    pub txn: &'a Txn,
    pub operation: &'a str,
    pub customer: &'a str,
    pub billed: f64,
    /// Unix time, in tenths of a millisecond.
    pub came: Time,
    pub now: Time,
}

pub struct Keeping {
    /// Without a store tokens are known for as long as the process lives.
    to: Option<SyncSender<Job>>,
    number: u64,
    waiting: VecDeque<(u64, Waits)>,
    /// Answers leave behind the commit of their row, else before.
    pub after: bool,
    /// While the store fails nothing is served that could not be recorded.
    pub refuse: bool,
    pub failing: bool,
    tokens: HashMap<String, Token>,
    until: BTreeSet<(Time, String)>,
    /// What waits for the answer of another: the first, and those that follow.
    pub followers: Vec<(RequestSlot, RequestSlot)>,
    results: usize,
    /// All jobs up to this one are done with.
    kept: u64,
    /// A repeat may be read so long after it came.
    pub unread: Time,
}

impl Keeping {
    /// Tokens only, for this life of the process.
    pub fn in_memory() -> Keeping {
        Keeping {
            to: None,
            number: 0,
            waiting: VecDeque::new(),
            after: false,
            refuse: false,
            failing: false,
            tokens: HashMap::new(),
            until: BTreeSet::new(),
            followers: Vec::new(),
            results: 0,
            kept: 0,
            unread: 0,
        }
    }

    pub fn new(to: SyncSender<Job>, after: bool, refuse: bool, loaded: Loaded) -> (Keeping, Vec<String>) {
        let mut keeping = Keeping { to: Some(to), after, refuse, ..Keeping::in_memory() };
        for (name, token) in loaded.tokens {
            keeping.remember(name, token);
        }
        // Told to the operator now, and then forgotten.
        let (keys, told): (Vec<_>, Vec<_>) = loaded.cut_off.into_iter().unzip();
        if !keys.is_empty() {
            keeping.send(keys.into_iter().map(|key| (key, None)).collect());
        }
        (keeping, told)
    }

    /// Whether rows are to outlive the process.
    pub fn stores(&self) -> bool {
        self.to.is_some()
    }

    /// The number under which word of it comes; `None` without a store, or where it is too far behind.
    fn send(&mut self, writes: Vec<(Vec<u8>, Option<Vec<u8>>)>) -> Option<u64> {
        let number = self.number + 1;
        self.to.as_ref()?.try_send(Job { number, writes }).ok()?;
        self.number = number;
        Some(number)
    }

    /// Those that go on, as all jobs up to this one are done with.
    pub fn kept(&mut self, upto: u64) -> Vec<Waits> {
        let mut on = Vec::new();
        self.kept = upto;
        while self.waiting.front().is_some_and(|(number, _)| *number <= upto) {
            on.extend(self.waiting.pop_front().map(|(_, waits)| waits));
        }
        on
    }

    /// A row for one that succeeded, with its result where it has a token. True where word of it will come.
    pub fn bill(&mut self, row: &Row, token: Option<&str>, result: &[u8]) -> Option<u64> {
        let ms = |time: Time| time / 10;
        let key = format!("b/{:016}/{}", ms(row.now), String::from_utf8_lossy(row.txn));
        let value = format!(
            "{},{},{},{},{},succeeded",
            row.operation,
            row.customer,
            row.billed,
            ms(row.came),
            ms(row.now)
        );
        let mut writes = vec![(key.into_bytes(), Some(value.into_bytes()))];
        writes.extend(token.and_then(|name| self.done(name, result)));
        self.send(writes)
    }

    /// One with a token succeeded, and nobody waits for it any more: a repeat may still come.
    pub fn ran(&mut self, token: &str, result: &[u8]) {
        if let Some(write) = self.done(token, result) {
            self.send(vec![write]);
        }
    }

    /// The result of a token. Followers may have it at once; others once it is released.
    fn done(&mut self, name: &str, result: &[u8]) -> Option<(Vec<u8>, Option<Vec<u8>>)> {
        let known = self.tokens.get_mut(name)?;
        let done = Token { ran: Ran::Done(result.to_vec()), ..known.clone() };
        let write = self.to.is_some().then(|| (token_key(name), Some(done.write())));
        if self.results + result.len() <= RESULTS {
            self.results += result.len();
            known.ran = done.ran;
        } else {
            known.ran = Ran::Begun;
        }
        write
    }

    /// `number` is that of the last job, or of one before.
    pub fn wait(&mut self, number: u64, waits: Waits) {
        debug_assert!(self.waiting.back().is_none_or(|(before, _)| *before <= number));
        self.waiting.push_back((number, waits));
    }

    /// A job behind which all that is known now is kept; `None` where that is so already.
    pub fn behind(&self) -> Option<u64> {
        (self.after && self.number > self.kept).then_some(self.number)
    }

    // ---- tokens ----

    pub fn token(&self, name: &str) -> Option<&Token> {
        self.tokens.get(name)
    }

    /// What an invocation that came at `came` under that token repeats: its window counts from when it came, not from when it was
    /// read. One that is still open is always repeated.
    pub fn repeats(&self, name: &str, came: Time) -> Option<&Token> {
        self.tokens.get(name).filter(|token| came < token.until || matches!(token.ran, Ran::Open(_)))
    }

    /// When the next token goes, in Unix time, where no more can be known until then.
    pub fn full_until(&self) -> Option<Time> {
        (self.tokens.len() >= TOKENS).then(|| self.until.first().map_or(0, |(until, _)| *until))
    }

    /// Whoever waits for this one's answer first stops waiting, and takes its place.
    pub fn follower(&mut self, first: RequestSlot) -> Option<RequestSlot> {
        let at = self.followers.iter().position(|(known, _)| *known == first)?;
        Some(self.followers.remove(at).1)
    }

    pub fn remember(&mut self, name: String, token: Token) {
        self.forget(&name);
        if let Ran::Done(result) = &token.ran {
            self.results += result.len();
        }
        self.until.insert((token.until, name.clone()));
        self.tokens.insert(name, token);
    }

    fn forget(&mut self, name: &str) {
        if let Some(before) = self.tokens.remove(name) {
            self.until.remove(&(before.until, name.to_string()));
            if let Ran::Done(result) = before.ran {
                self.results -= result.len();
            }
        }
    }

    /// That it is begun has to be on the disk before it is: else one cut off in its run could run twice.
    pub fn begins(&mut self, name: &str) -> Option<u64> {
        let token = Token { ran: Ran::Begun, ..self.tokens.get(name)?.clone() };
        self.send(vec![(token_key(name), Some(token.write()))])
    }

    /// The module knows the invocation no more. One that never ran leaves its token free.
    pub fn released(&mut self, name: &str, inv: RequestSlot, ran: bool) {
        let open = self.tokens.get(name).is_some_and(|token| token.ran == Ran::Open(inv));
        match (open, ran) {
            (true, true) => {
                if let Some(token) = self.tokens.get_mut(name) {
                    token.ran = Ran::Begun;
                }
            }
            (true, false) => self.forget(name),
            (false, _) => {}
        }
    }

    /// Tokens whose window is over go, here and from the store, once no repeat that came inside it can be unread.
    pub fn expire(&mut self, unix: Time) {
        let unix = unix - self.unread;
        let mut writes = Vec::new();
        while let Some((until, name)) = self.until.first().cloned().filter(|(until, _)| *until <= unix) {
            if self.tokens.get(&name).is_some_and(|token| matches!(token.ran, Ran::Open(_))) {
                break; // it goes with its invocation
            }
            debug_assert!(until <= unix);
            writes.push((token_key(&name), None));
            self.forget(&name);
            if writes.len() >= 64 {
                break;
            }
        }
        if !writes.is_empty() {
            self.send(writes);
        }
    }

    // ---- a drain ----

    pub fn owes(&mut self, open: impl Iterator<Item = (Txn, String)>) {
        let writes: Vec<_> = open.map(|(txn, what)| (owed_key(&txn), Some(what.into_bytes()))).collect();
        if !writes.is_empty() {
            self.send(writes);
        }
    }

    pub fn owes_no_more(&mut self, txn: &Txn) {
        self.send(vec![(owed_key(txn), None)]);
    }
}
