//! Text to syntax tree, by combinators. A fault in a field skips to the next line, so that one pass tells them all.

use crate::faults::Fault;
use crate::{DEEPEST, LONGEST, MOST_FAULTS};
use std::cell::{Cell, RefCell};
use std::ops::Range;
use winnow::combinator::{alt, delimited, not, opt, peek, preceded, repeat, separated, terminated};
use winnow::error::{ErrMode, ParserError};
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location, Stateful, Stream};
use winnow::token::{any, literal, one_of, take_till, take_while};

/// Which text something was written in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    Schema,
    Operator,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Span {
    pub place: Place,
    pub bytes: Range<usize>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Scalar {
    Null,
    Bool(bool),
    Int(i64),
    Number(f64),
    Text(String),
    /// Nanoseconds.
    Duration(i64),
    /// Bytes.
    Size(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    Less,
    AtMost,
    More,
    AtLeast,
    Not,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Expr {
    Scalar(Scalar),
    /// A type's name.
    Kind(String),
    /// A definition's name, with its `#`.
    Use(String),
    Bound(Op, Scalar),
    Record(Vec<Entry>),
    List(Vec<Syntax>, Option<Box<Syntax>>),
    And(Vec<Syntax>),
    /// Whether each is marked as the default.
    Or(Vec<(bool, Syntax)>),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Syntax {
    pub expr: Expr,
    pub span: Span,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    Field {
        name: String,
        at: Span,
        optional: bool,
        value: Syntax,
    },
    Definition {
        name: String,
        at: Span,
        value: Syntax,
    },
    /// `[string]: value`
    Others(Syntax),
    /// `...`
    Open,
    Embed(Syntax),
}

#[derive(Clone, Debug)]
pub struct File {
    pub root: Syntax,
}

#[derive(Debug)]
struct State {
    place: Place,
    faults: RefCell<Vec<Fault>>,
    depth: Cell<usize>,
}

type In<'a> = Stateful<LocatingSlice<&'a str>, &'a State>;

/// Where reading stopped, and what was expected there.
#[derive(Clone, Debug, PartialEq)]
struct Trouble {
    at: usize,
    what: String,
}

impl<I: Stream + Location> ParserError<I> for Trouble {
    type Inner = Trouble;
    fn from_input(input: &I) -> Trouble {
        Trouble { at: input.current_token_start(), what: String::new() }
    }
    /// Of two ways that failed, the one that came further, or else said more.
    fn or(self, other: Trouble) -> Trouble {
        if (self.at, !self.what.is_empty()) > (other.at, !other.what.is_empty()) {
            self
        } else {
            other
        }
    }
    fn into_inner(self) -> Result<Trouble, Trouble> {
        Ok(self)
    }
}

type Read<T> = Result<T, ErrMode<Trouble>>;

fn fail<T>(input: &In, what: impl Into<String>) -> Read<T> {
    Err(ErrMode::Backtrack(Trouble { at: input.current_token_start(), what: what.into() }))
}

fn stop<T>(at: usize, what: impl Into<String>) -> Read<T> {
    Err(ErrMode::Cut(Trouble { at, what: what.into() }))
}

/// Whether a field of this name needs no quotes.
pub fn is_name(text: &str) -> bool {
    let first = |c: char| c.is_alphabetic() || c == '_';
    text.starts_with(first) && text.chars().all(|c| first(c) || c.is_ascii_digit())
}

fn comment(input: &mut In) -> Read<()> {
    ("//", take_till(0.., '\n')).void().parse_next(input)
}

/// Blanks on this line.
fn blank(input: &mut In) -> Read<()> {
    let white = take_while(1.., [' ', '\t', '\r']).void();
    repeat(0.., alt((white, comment))).parse_next(input)
}

/// Blanks, line ends and comments.
fn space(input: &mut In) -> Read<()> {
    let white = take_while(1.., [' ', '\t', '\r', '\n']).void();
    repeat(0.., alt((white, comment))).parse_next(input)
}

fn name<'a>(input: &mut In<'a>) -> Read<&'a str> {
    (
        one_of(|c: char| c.is_alphabetic() || c == '_'),
        take_while(0.., |c: char| c.is_alphanumeric() || c == '_'),
    )
        .take()
        .parse_next(input)
}

fn text(input: &mut In) -> Read<String> {
    let start = input.current_token_start();
    literal('"').parse_next(input)?;
    let mut out = String::new();
    loop {
        let part = take_till(0.., ['"', '\\', '\n']).parse_next(input)?;
        out.push_str(part);
        match any::<_, ErrMode<Trouble>>.parse_next(input) {
            Ok('"') => return Ok(out),
            Ok('\\') => match any::<_, ErrMode<Trouble>>.parse_next(input) {
                Ok('n') => out.push('\n'),
                Ok('t') => out.push('\t'),
                Ok('r') => out.push('\r'),
                Ok(plain @ ('"' | '\\' | '/')) => out.push(plain),
                _ => return stop(start, "text with an escape other than \\\" \\\\ \\/ \\n \\t \\r"),
            },
            _ => return stop(start, "text without its closing quote on this line"),
        }
    }
}

const DURATIONS: [(&str, f64); 6] =
    [("ns", 1.0), ("us", 1e3), ("ms", 1e6), ("s", 1e9), ("m", 60e9), ("h", 3600e9)];
const SIZES: [(&str, f64); 7] = [
    ("B", 1.0),
    ("KB", 1e3),
    ("MB", 1e6),
    ("GB", 1e9),
    ("KiB", 1024.0),
    ("MiB", 1_048_576.0),
    ("GiB", 1_073_741_824.0),
];

/// A number, alone or with units: `1h30m` has several.
fn number(input: &mut In) -> Read<Scalar> {
    let start = input.current_token_start();
    let digits = |input: &mut In| {
        let first = one_of(|c: char| c.is_ascii_digit());
        (first, take_while(0.., |c: char| c.is_ascii_digit() || c == '_')).void().parse_next(input)
    };
    let exponent = (one_of(['e', 'E']), opt(one_of(['+', '-'])), digits).void();
    let mut plain =
        |input: &mut In| (digits, opt(preceded('.', digits))).take().map(str::to_string).parse_next(input);
    let sign = opt(one_of(['-', '+'])).parse_next(input)?;
    let mut word: String = plain.parse_next(input)?;
    let power = opt(exponent.take()).parse_next(input)?;
    if let Some(power) = power {
        word.push_str(power);
    }
    let word = word.replace('_', "");
    let negative = sign == Some('-');
    let wrong = |what: &str| stop(start, what.to_string());
    let unit = opt(name).parse_next(input)?;
    let Some(mut unit) = unit else {
        if !word.contains(['.', 'e', 'E']) {
            let signed = if negative { format!("-{word}") } else { word };
            return match signed.parse() {
                Ok(int) => Ok(Scalar::Int(int)),
                Err(_) => wrong("a whole number that is too large"),
            };
        }
        return match word.parse::<f64>() {
            Ok(value) if value.is_finite() => Ok(Scalar::Number(if negative { -value } else { value })),
            _ => wrong("a number that is too large"),
        };
    };
    let Ok(mut value) = word.parse::<f64>() else { return wrong("a number that is too large") };
    if let Some((_, bytes)) = SIZES.iter().find(|(known, _)| *known == unit) {
        let bytes = value * bytes;
        return if negative || bytes >= 9e15 || bytes != bytes.trunc() {
            wrong("a size that is no whole number of bytes within bounds")
        } else {
            Ok(Scalar::Size(bytes as u64))
        };
    }
    let (mut sum, mut last) = (0.0, f64::INFINITY);
    // `1h30m` is read as 1, `h30m`: a unit may hold the next digits.
    loop {
        let letters = unit.find(|c: char| c.is_ascii_digit()).unwrap_or(unit.len());
        let (own, rest) = unit.split_at(letters);
        let Some((_, ns)) = DURATIONS.iter().find(|(known, _)| *known == own) else {
            return wrong("a number whose unit is none of ns us ms s m h B KB MB GB KiB MiB GiB");
        };
        if *ns >= last {
            return wrong("a duration whose units don't get smaller");
        }
        (sum, last) = (sum + value * ns, *ns);
        if rest.is_empty() {
            break;
        }
        let digits = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
        let Ok(more) = rest[..digits].parse() else { return wrong("a number that is too large") };
        (value, unit) = (more, &rest[digits..]);
    }
    if sum >= 9e18 {
        return wrong("a duration that is too long");
    }
    let ns = sum.round() as i64;
    Ok(Scalar::Duration(if negative { -ns } else { ns }))
}

fn scalar(input: &mut In) -> Read<Scalar> {
    let word = |input: &mut In| {
        let start = input.checkpoint();
        match name.parse_next(input)? {
            "true" => Ok(Scalar::Bool(true)),
            "false" => Ok(Scalar::Bool(false)),
            "null" => Ok(Scalar::Null),
            _ => {
                input.reset(&start);
                fail(input, "")
            }
        }
    };
    alt((number, text.map(Scalar::Text), word)).parse_next(input)
}

fn spanned(input: &mut In, mut read: impl FnMut(&mut In) -> Read<Expr>) -> Read<Syntax> {
    let start = input.current_token_start();
    let expr = read(input)?;
    let span = Span { place: input.state.place, bytes: start..input.previous_token_end().max(start) };
    Ok(Syntax { expr, span })
}

/// Guards the stack against texts that nest without end.
fn deeper<T>(input: &mut In, read: impl FnOnce(&mut In) -> Read<T>) -> Read<T> {
    let (state, at) = (input.state, input.current_token_start());
    if state.depth.get() >= DEEPEST {
        return stop(at, format!("nested deeper than {DEEPEST}"));
    }
    state.depth.set(state.depth.get() + 1);
    let result = read(input);
    state.depth.set(state.depth.get() - 1);
    result
}

fn bound(input: &mut In) -> Read<Expr> {
    let op = alt((
        literal("<=").value(Op::AtMost),
        literal(">=").value(Op::AtLeast),
        literal("!=").value(Op::Not),
        literal('<').value(Op::Less),
        literal('>').value(Op::More),
    ));
    let (op, at) = (op, blank).map(|(op, ())| op).with_span().parse_next(input)?;
    match scalar.parse_next(input) {
        Ok(value) => Ok(Expr::Bound(op, value)),
        Err(ErrMode::Backtrack(_)) => stop(at.end, "a value to compare with"),
        Err(error) => Err(error),
    }
}

fn list(input: &mut In) -> Read<Expr> {
    let start = input.current_token_start();
    literal('[').parse_next(input)?;
    space.parse_next(input)?;
    let comma = (space, ',', space);
    let item = preceded(not("..."), either);
    let items: Vec<Syntax> = separated(0.., item, comma).parse_next(input)?;
    let comma = (space, opt(','), space);
    comma.void().parse_next(input)?;
    let rest = opt(preceded("...", opt(either))).parse_next(input)?;
    (space, opt(','), space).void().parse_next(input)?;
    if opt(literal(']')).parse_next(input)?.is_none() {
        return stop(start, "a list without its closing bracket");
    }
    let any = || {
        let span = Span { place: input.state.place, bytes: start..start + 1 };
        Syntax { expr: Expr::Kind("_".into()), span }
    };
    Ok(Expr::List(items, rest.map(|rest| Box::new(rest.unwrap_or_else(any)))))
}

fn record(input: &mut In) -> Read<Expr> {
    let start = input.current_token_start();
    literal('{').parse_next(input)?;
    let entries = entries(input, Some(start))?;
    Ok(Expr::Record(entries))
}

fn used(input: &mut In) -> Read<Expr> {
    ('#', name).take().map(|name: &str| Expr::Use(name.to_string())).parse_next(input)
}

fn kind(input: &mut In) -> Read<Expr> {
    let start = input.checkpoint();
    let word = name.parse_next(input)?;
    if KINDS.contains(&word) {
        return Ok(Expr::Kind(word.to_string()));
    }
    input.reset(&start);
    fail(input, format!("{word:?} is no value or type; text stands in quotes"))
}

fn plain(input: &mut In) -> Read<Expr> {
    scalar.map(Expr::Scalar).parse_next(input)
}

fn primary(input: &mut In) -> Read<Syntax> {
    let at = input.checkpoint();
    match delimited(('(', space), either, (space, ')')).parse_next(input) {
        Err(ErrMode::Backtrack(_)) => input.reset(&at),
        done => return done,
    }
    spanned(input, |input| {
        let at = input.checkpoint();
        let mut worst = Trouble { at: input.current_token_start(), what: "expected a value".into() };
        for way in [used, bound, plain, list, record, kind] {
            match way(input) {
                Err(ErrMode::Backtrack(trouble)) => {
                    worst = worst.or_with(trouble);
                    input.reset(&at);
                }
                done => return done,
            }
        }
        Err(ErrMode::Backtrack(worst))
    })
}

impl Trouble {
    fn or_with(self, other: Trouble) -> Trouble {
        if !other.what.is_empty() && (other.at >= self.at) {
            other
        } else {
            self
        }
    }
}

pub const KINDS: [&str; 9] = ["string", "int", "number", "bool", "duration", "size", "address", "null", "_"];

fn both(input: &mut In) -> Read<Syntax> {
    let sep = (space, '&', space);
    let start = input.current_token_start();
    let mut all: Vec<Syntax> = separated(1.., primary, sep).parse_next(input)?;
    if all.len() == 1 {
        return Ok(all.remove(0));
    }
    let span = Span { place: input.state.place, bytes: start..input.previous_token_end() };
    Ok(Syntax { expr: Expr::And(all), span })
}

/// One value or several to choose from.
fn either(input: &mut In) -> Read<Syntax> {
    deeper(input, |input| {
        let start = input.current_token_start();
        let one = (opt(terminated('*', blank)).map(|mark| mark.is_some()), both);
        let mut all: Vec<(bool, Syntax)> = separated(1.., one, (space, '|', space)).parse_next(input)?;
        if all.len() == 1 && !all[0].0 {
            return Ok(all.remove(0).1);
        }
        let span = Span { place: input.state.place, bytes: start..input.previous_token_end() };
        Ok(Syntax { expr: Expr::Or(all), span })
    })
}

fn entry(input: &mut In) -> Read<Entry> {
    let start = input.current_token_start();
    if opt(literal("...")).parse_next(input)?.is_some() {
        return Ok(Entry::Open);
    }
    let others = ('[', space, "string", space, ']', blank, ':', space);
    if opt(others).parse_next(input)?.is_some() {
        return either.map(Entry::Others).parse_next(input);
    }
    let label = alt((
        ('#', name).take().map(|name: &str| (name.to_string(), true)),
        text.map(|name| (name, false)),
        name.map(|name: &str| (name.to_string(), false)),
    ));
    let head = (label.with_span(), opt('?'), blank, ':', blank);
    let found = opt(head).parse_next(input)?;
    let place = input.state.place;
    let Some((((name, definition), at), mark, ..)) = found else {
        let one_more = preceded(peek(one_of(['#', '{'])), either);
        return match opt(one_more).parse_next(input)? {
            Some(embedded) => Ok(Entry::Embed(embedded)),
            None => stop(start, "expected a field: `name: value`"),
        };
    };
    let at = Span { place, bytes: at };
    // `a: b: 1` is short for `a: {b: 1}`.
    let checkpoint = input.checkpoint();
    let value = match either.parse_next(input) {
        Ok(value) if !starts_field(input) => value,
        Err(error @ ErrMode::Cut(_)) => return Err(error),
        result => {
            input.reset(&checkpoint);
            let from = input.current_token_start();
            let nested = peek((alt((text.void(), self::name.void())), opt('?'), blank, ':')).void();
            if opt(nested).parse_next(input)?.is_none() {
                let trouble = result.err().and_then(|error| error.into_inner().ok());
                let what = trouble.map_or(String::new(), |trouble| trouble.what);
                let what = if what.is_empty() { "expected a value".to_string() } else { what };
                return stop(from, what);
            }
            let inner = deeper(input, entry)?;
            let span = Span { place, bytes: from..input.previous_token_end() };
            Syntax { expr: Expr::Record(vec![inner]), span }
        }
    };
    if definition {
        return Ok(Entry::Definition { name, at, value });
    }
    Ok(Entry::Field { name, at, optional: mark.is_some(), value })
}

/// What was read as a value was the name of a nested field.
fn starts_field(input: &mut In) -> bool {
    let at = input.checkpoint();
    let colon: Read<_> = (opt('?'), blank, ':').parse_next(input);
    input.reset(&at);
    colon.is_ok()
}

/// Entries up to the closing brace of a record that began at `open`, or to the end of the text.
fn entries(input: &mut In, open: Option<usize>) -> Read<Vec<Entry>> {
    let mut all = Vec::new();
    loop {
        (space, repeat::<_, _, (), _, _>(0.., (',', space).void())).void().parse_next(input)?;
        let end: Read<_> = peek(any).parse_next(input);
        match (end, open) {
            (Ok('}'), Some(_)) => {
                literal('}').parse_next(input)?;
                return Ok(all);
            }
            (Err(_), None) => return Ok(all),
            (Err(_), Some(open)) => return stop(open, "a record without its closing brace"),
            _ => {}
        }
        let result = deeper(input, entry).and_then(|entry| {
            // Behind a field: a comma, the end of the line, or the end of the record.
            blank.parse_next(input)?;
            let end: Read<_> = peek(any).parse_next(input);
            match end {
                Ok(',' | '\n' | '}') | Err(_) => Ok(entry),
                Ok(_) => {
                    stop(input.current_token_start(), "expected the end of the field: a comma or a new line")
                }
            }
        });
        match result {
            Ok(entry) => all.push(entry),
            Err(error) => {
                let Ok(Trouble { at, what }) = error.into_inner() else { return Ok(all) };
                let mut faults = input.state.faults.borrow_mut();
                // A record that never ends is told once, where the innermost began.
                let again = faults.last().is_some_and(|fault| fault.what == what && what.contains("closing"));
                if faults.len() < MOST_FAULTS && !again {
                    faults.push(Fault::new(at..at + 1, "", what));
                }
                drop(faults);
                let skipped: Read<_> = take_till(0.., '\n').parse_next(input);
                let moved: Read<_> = opt('\n').parse_next(input);
                if skipped.is_err() || moved.is_err() || input.eof_offset() == 0 {
                    return Ok(all);
                }
            }
        }
    }
}

/// All that could be read, and what could not.
pub fn parse_all(text: &str, place: Place) -> (File, Vec<Fault>) {
    let state = State { place, faults: RefCell::default(), depth: Cell::new(0) };
    let span = Span { place, bytes: 0..text.len() };
    let mut all = Vec::new();
    if text.len() > LONGEST {
        let what = format!("a text of {} bytes; {LONGEST} is the most", text.len());
        state.faults.borrow_mut().push(Fault::new(0..1, "", what));
    } else {
        let mut input = Stateful { input: LocatingSlice::new(text), state: &state };
        match entries(&mut input, None) {
            Ok(entries) => all = entries,
            Err(error) => {
                if let Ok(Trouble { at, what }) = error.into_inner() {
                    state.faults.borrow_mut().push(Fault::new(at..at + 1, "", what));
                }
            }
        }
    }
    let file = File { root: Syntax { expr: Expr::Record(all), span } };
    (file, state.faults.into_inner())
}

pub fn parse(text: &str, place: Place) -> Result<File, Vec<Fault>> {
    match parse_all(text, place) {
        (file, faults) if faults.is_empty() => Ok(file),
        (_, faults) => Err(faults),
    }
}
