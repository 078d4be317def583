//! Parser combinators that turn a text into a syntax tree. After an error in a field the parser continues on the next
//! line, so that one pass reports every syntax error.

use crate::diagnostics::Diagnostic;
use crate::{MAX_DIAGNOSTICS, MAX_NESTING, MAX_TEXT_BYTES};
use std::cell::{Cell, RefCell};
use std::ops::Range;
use winnow::combinator::{alt, delimited, not, opt, peek, preceded, repeat, separated, terminated};
use winnow::error::{ErrMode, ParserError};
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location, Stateful, Stream};
use winnow::token::{any, literal, one_of, take_till, take_while};

/// The text that an expression was written in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    Schema,
    /// The operator's file.
    Operator,
}

/// A range of bytes in one of the two texts.
#[derive(Clone, Debug, PartialEq)]
pub struct Span {
    pub source: Source,
    pub bytes: Range<usize>,
}

/// A literal value.
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
pub enum Comparison {
    Less,
    LessOrEqual,
    Greater,
    GreaterOrEqual,
    NotEqual,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Expr {
    Scalar(Scalar),
    /// A built-in type, by its keyword.
    Type(String),
    /// A use of a definition, by its name with the leading `#`.
    Reference(String),
    Bound(Comparison, Scalar),
    Record(Vec<Entry>),
    List(Vec<SpannedExpr>, Option<Box<SpannedExpr>>),
    Conjunction(Vec<SpannedExpr>),
    /// The alternatives, each with whether `*` marks it as the default.
    Disjunction(Vec<(bool, SpannedExpr)>),
}

/// An expression and where it was written.
#[derive(Clone, Debug, PartialEq)]
pub struct SpannedExpr {
    pub expr: Expr,
    pub span: Span,
}

/// One entry of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    Field {
        name: String,
        name_span: Span,
        is_optional: bool,
        value: SpannedExpr,
    },
    Definition {
        name: String,
        name_span: Span,
        value: SpannedExpr,
    },
    /// `[string]: value`
    OtherFields(SpannedExpr),
    /// `...`
    Open,
    /// A record whose fields are included here.
    Embedded(SpannedExpr),
}

/// A parsed text: one record without braces.
#[derive(Clone, Debug)]
pub struct SourceFile {
    pub root: SpannedExpr,
}

#[derive(Debug)]
struct ParserState {
    source: Source,
    diagnostics: RefCell<Vec<Diagnostic>>,
    depth: Cell<usize>,
}

type Input<'a> = Stateful<LocatingSlice<&'a str>, &'a ParserState>;

/// The byte offset at which a parser failed, and what it expected there.
#[derive(Clone, Debug, PartialEq)]
struct SyntaxError {
    offset: usize,
    message: String,
}

impl<I: Stream + Location> ParserError<I> for SyntaxError {
    type Inner = SyntaxError;
    fn from_input(input: &I) -> SyntaxError {
        SyntaxError { offset: input.current_token_start(), message: String::new() }
    }
    /// Keeps the error with the larger offset; at equal offsets, the one with a message.
    fn or(self, other: SyntaxError) -> SyntaxError {
        if (self.offset, !self.message.is_empty()) > (other.offset, !other.message.is_empty()) {
            self
        } else {
            other
        }
    }
    fn into_inner(self) -> Result<SyntaxError, SyntaxError> {
        Ok(self)
    }
}

type ParseResult<T> = Result<T, ErrMode<SyntaxError>>;

fn backtrack<T>(input: &Input, message: impl Into<String>) -> ParseResult<T> {
    Err(ErrMode::Backtrack(SyntaxError { offset: input.current_token_start(), message: message.into() }))
}

fn abort<T>(offset: usize, message: impl Into<String>) -> ParseResult<T> {
    Err(ErrMode::Cut(SyntaxError { offset, message: message.into() }))
}

/// Whether a field of this name can be written without quotes.
pub fn is_identifier(text: &str) -> bool {
    let first = |c: char| c.is_alphabetic() || c == '_';
    text.starts_with(first) && text.chars().all(|c| first(c) || c.is_ascii_digit())
}

fn comment(input: &mut Input) -> ParseResult<()> {
    ("//", take_till(0.., '\n')).void().parse_next(input)
}

/// Blanks and a comment up to the end of the line.
fn inline_space(input: &mut Input) -> ParseResult<()> {
    let white = take_while(1.., [' ', '\t', '\r']).void();
    repeat(0.., alt((white, comment))).parse_next(input)
}

/// Blanks, line ends and comments.
fn whitespace(input: &mut Input) -> ParseResult<()> {
    let white = take_while(1.., [' ', '\t', '\r', '\n']).void();
    repeat(0.., alt((white, comment))).parse_next(input)
}

fn identifier<'a>(input: &mut Input<'a>) -> ParseResult<&'a str> {
    (
        one_of(|c: char| c.is_alphabetic() || c == '_'),
        take_while(0.., |c: char| c.is_alphanumeric() || c == '_'),
    )
        .take()
        .parse_next(input)
}

fn quoted_text(input: &mut Input) -> ParseResult<String> {
    let start = input.current_token_start();
    literal('"').parse_next(input)?;
    let mut out = String::new();
    loop {
        let part = take_till(0.., ['"', '\\', '\n']).parse_next(input)?;
        out.push_str(part);
        match any::<_, ErrMode<SyntaxError>>.parse_next(input) {
            Ok('"') => return Ok(out),
            Ok('\\') => match any::<_, ErrMode<SyntaxError>>.parse_next(input) {
                Ok('n') => out.push('\n'),
                Ok('t') => out.push('\t'),
                Ok('r') => out.push('\r'),
                Ok(plain @ ('"' | '\\' | '/')) => out.push(plain),
                _ => return abort(start, "text with an escape other than \\\" \\\\ \\/ \\n \\t \\r"),
            },
            _ => return abort(start, "text without its closing quote on this line"),
        }
    }
}

const DURATION_UNITS: [(&str, f64); 6] =
    [("ns", 1.0), ("us", 1e3), ("ms", 1e6), ("s", 1e9), ("m", 60e9), ("h", 3600e9)];
const SIZE_UNITS: [(&str, f64); 7] = [
    ("B", 1.0),
    ("KB", 1e3),
    ("MB", 1e6),
    ("GB", 1e9),
    ("KiB", 1024.0),
    ("MiB", 1_048_576.0),
    ("GiB", 1_073_741_824.0),
];

/// A number without a unit, a size, or a duration, which can have several units (`1h30m`).
fn number(input: &mut Input) -> ParseResult<Scalar> {
    let start = input.current_token_start();
    let digits = |input: &mut Input| {
        let first = one_of(|c: char| c.is_ascii_digit());
        (first, take_while(0.., |c: char| c.is_ascii_digit() || c == '_')).void().parse_next(input)
    };
    let exponent = (one_of(['e', 'E']), opt(one_of(['+', '-'])), digits).void();
    let mut plain =
        |input: &mut Input| (digits, opt(preceded('.', digits))).take().map(str::to_string).parse_next(input);
    let sign = opt(one_of(['-', '+'])).parse_next(input)?;
    let mut word: String = plain.parse_next(input)?;
    let power = opt(exponent.take()).parse_next(input)?;
    if let Some(power) = power {
        word.push_str(power);
    }
    let word = word.replace('_', "");
    let negative = sign == Some('-');
    let invalid = |message: &str| abort(start, message.to_string());
    let unit = opt(identifier).parse_next(input)?;
    let Some(mut unit) = unit else {
        if !word.contains(['.', 'e', 'E']) {
            let signed = if negative { format!("-{word}") } else { word };
            return match signed.parse() {
                Ok(int) => Ok(Scalar::Int(int)),
                Err(_) => invalid("a whole number that is too large"),
            };
        }
        return match word.parse::<f64>() {
            Ok(value) if value.is_finite() => Ok(Scalar::Number(if negative { -value } else { value })),
            _ => invalid("a number that is too large"),
        };
    };
    let Ok(mut value) = word.parse::<f64>() else { return invalid("a number that is too large") };
    if let Some((_, bytes)) = SIZE_UNITS.iter().find(|(known, _)| *known == unit) {
        let bytes = value * bytes;
        return if negative || bytes >= 9e15 || bytes != bytes.trunc() {
            invalid("a size must be a whole number of bytes, not negative and below 9e15")
        } else {
            Ok(Scalar::Size(bytes as u64))
        };
    }
    let (mut sum, mut previous) = (0.0, f64::INFINITY);
    // `1h30m` arrives as the number 1 and the identifier `h30m`: the unit is followed by the next number.
    loop {
        let letters = unit.find(|c: char| c.is_ascii_digit()).unwrap_or(unit.len());
        let (unit_name, rest) = unit.split_at(letters);
        let Some((_, ns)) = DURATION_UNITS.iter().find(|(known, _)| *known == unit_name) else {
            return invalid("unknown unit; expected one of ns us ms s m h B KB MB GB KiB MiB GiB");
        };
        if *ns >= previous {
            return invalid("the units of a duration must be in descending order");
        }
        (sum, previous) = (sum + value * ns, *ns);
        if rest.is_empty() {
            break;
        }
        let digits = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
        let Ok(next) = rest[..digits].parse() else { return invalid("a number that is too large") };
        (value, unit) = (next, &rest[digits..]);
    }
    if sum >= 9e18 {
        return invalid("a duration that is too long");
    }
    let ns = sum.round() as i64;
    Ok(Scalar::Duration(if negative { -ns } else { ns }))
}

fn scalar(input: &mut Input) -> ParseResult<Scalar> {
    let word = |input: &mut Input| {
        let start = input.checkpoint();
        match identifier.parse_next(input)? {
            "true" => Ok(Scalar::Bool(true)),
            "false" => Ok(Scalar::Bool(false)),
            "null" => Ok(Scalar::Null),
            _ => {
                input.reset(&start);
                backtrack(input, "")
            }
        }
    };
    alt((number, quoted_text.map(Scalar::Text), word)).parse_next(input)
}

fn spanned(
    input: &mut Input,
    mut parser: impl FnMut(&mut Input) -> ParseResult<Expr>,
) -> ParseResult<SpannedExpr> {
    let start = input.current_token_start();
    let expr = parser(input)?;
    let span = Span { source: input.state.source, bytes: start..input.previous_token_end().max(start) };
    Ok(SpannedExpr { expr, span })
}

/// Limits nesting to `MAX_NESTING` levels, which bounds the use of the stack.
fn with_nesting<T>(input: &mut Input, parser: impl FnOnce(&mut Input) -> ParseResult<T>) -> ParseResult<T> {
    let (state, offset) = (input.state, input.current_token_start());
    if state.depth.get() >= MAX_NESTING {
        return abort(offset, format!("nested more than {MAX_NESTING} levels deep"));
    }
    state.depth.set(state.depth.get() + 1);
    let result = parser(input);
    state.depth.set(state.depth.get() - 1);
    result
}

fn bound(input: &mut Input) -> ParseResult<Expr> {
    let op = alt((
        literal("<=").value(Comparison::LessOrEqual),
        literal(">=").value(Comparison::GreaterOrEqual),
        literal("!=").value(Comparison::NotEqual),
        literal('<').value(Comparison::Less),
        literal('>').value(Comparison::Greater),
    ));
    let (op, span) = (op, inline_space).map(|(op, ())| op).with_span().parse_next(input)?;
    match scalar.parse_next(input) {
        Ok(value) => Ok(Expr::Bound(op, value)),
        Err(ErrMode::Backtrack(_)) => abort(span.end, "expected a value to compare with"),
        Err(error) => Err(error),
    }
}

fn list(input: &mut Input) -> ParseResult<Expr> {
    let start = input.current_token_start();
    literal('[').parse_next(input)?;
    whitespace.parse_next(input)?;
    let comma = (whitespace, ',', whitespace);
    let item = preceded(not("..."), expression);
    let items: Vec<SpannedExpr> = separated(0.., item, comma).parse_next(input)?;
    let comma = (whitespace, opt(','), whitespace);
    comma.void().parse_next(input)?;
    let rest = opt(preceded("...", opt(expression))).parse_next(input)?;
    (whitespace, opt(','), whitespace).void().parse_next(input)?;
    if opt(literal(']')).parse_next(input)?.is_none() {
        return abort(start, "a list without its closing bracket");
    }
    let any = || {
        let span = Span { source: input.state.source, bytes: start..start + 1 };
        SpannedExpr { expr: Expr::Type("_".into()), span }
    };
    Ok(Expr::List(items, rest.map(|rest| Box::new(rest.unwrap_or_else(any)))))
}

fn record(input: &mut Input) -> ParseResult<Expr> {
    let start = input.current_token_start();
    literal('{').parse_next(input)?;
    let entries = entries(input, Some(start))?;
    Ok(Expr::Record(entries))
}

fn reference(input: &mut Input) -> ParseResult<Expr> {
    ('#', identifier).take().map(|name: &str| Expr::Reference(name.to_string())).parse_next(input)
}

fn type_name(input: &mut Input) -> ParseResult<Expr> {
    let start = input.checkpoint();
    let word = identifier.parse_next(input)?;
    if TYPE_KEYWORDS.contains(&word) {
        return Ok(Expr::Type(word.to_string()));
    }
    input.reset(&start);
    backtrack(input, format!("{word:?} is not a value or a type; text must be quoted"))
}

fn scalar_expr(input: &mut Input) -> ParseResult<Expr> {
    scalar.map(Expr::Scalar).parse_next(input)
}

fn primary(input: &mut Input) -> ParseResult<SpannedExpr> {
    let checkpoint = input.checkpoint();
    match delimited(('(', whitespace), expression, (whitespace, ')')).parse_next(input) {
        Err(ErrMode::Backtrack(_)) => input.reset(&checkpoint),
        done => return done,
    }
    spanned(input, |input| {
        let checkpoint = input.checkpoint();
        let mut furthest =
            SyntaxError { offset: input.current_token_start(), message: "expected a value".into() };
        for parser in [reference, bound, scalar_expr, list, record, type_name] {
            match parser(input) {
                Err(ErrMode::Backtrack(error)) => {
                    furthest = furthest.or_later(error);
                    input.reset(&checkpoint);
                }
                done => return done,
            }
        }
        Err(ErrMode::Backtrack(furthest))
    })
}

impl SyntaxError {
    fn or_later(self, other: SyntaxError) -> SyntaxError {
        if !other.message.is_empty() && (other.offset >= self.offset) {
            other
        } else {
            self
        }
    }
}

pub const TYPE_KEYWORDS: [&str; 9] =
    ["string", "int", "number", "bool", "duration", "size", "address", "null", "_"];

fn conjunction(input: &mut Input) -> ParseResult<SpannedExpr> {
    let sep = (whitespace, '&', whitespace);
    let start = input.current_token_start();
    let mut all: Vec<SpannedExpr> = separated(1.., primary, sep).parse_next(input)?;
    if all.len() == 1 {
        return Ok(all.remove(0));
    }
    let span = Span { source: input.state.source, bytes: start..input.previous_token_end() };
    Ok(SpannedExpr { expr: Expr::Conjunction(all), span })
}

/// An expression: one value, or alternatives separated by `|`.
fn expression(input: &mut Input) -> ParseResult<SpannedExpr> {
    with_nesting(input, |input| {
        let start = input.current_token_start();
        let one = (opt(terminated('*', inline_space)).map(|star| star.is_some()), conjunction);
        let mut all: Vec<(bool, SpannedExpr)> =
            separated(1.., one, (whitespace, '|', whitespace)).parse_next(input)?;
        if all.len() == 1 && !all[0].0 {
            return Ok(all.remove(0).1);
        }
        let span = Span { source: input.state.source, bytes: start..input.previous_token_end() };
        Ok(SpannedExpr { expr: Expr::Disjunction(all), span })
    })
}

fn entry(input: &mut Input) -> ParseResult<Entry> {
    let start = input.current_token_start();
    if opt(literal("...")).parse_next(input)?.is_some() {
        return Ok(Entry::Open);
    }
    let other_fields = ('[', whitespace, "string", whitespace, ']', inline_space, ':', whitespace);
    if opt(other_fields).parse_next(input)?.is_some() {
        return expression.map(Entry::OtherFields).parse_next(input);
    }
    let label = alt((
        ('#', identifier).take().map(|name: &str| (name.to_string(), true)),
        quoted_text.map(|name| (name, false)),
        identifier.map(|name: &str| (name.to_string(), false)),
    ));
    let head = (label.with_span(), opt('?'), inline_space, ':', inline_space);
    let found = opt(head).parse_next(input)?;
    let source = input.state.source;
    let Some((((name, is_definition), name_span), question_mark, ..)) = found else {
        let embedded = preceded(peek(one_of(['#', '{'])), expression);
        return match opt(embedded).parse_next(input)? {
            Some(embedded) => Ok(Entry::Embedded(embedded)),
            None => abort(start, "expected a field: `name: value`"),
        };
    };
    let name_span = Span { source, bytes: name_span };
    // `a: b: 1` is short for `a: {b: 1}`.
    let checkpoint = input.checkpoint();
    let value = match expression.parse_next(input) {
        Ok(value) if !is_colon_next(input) => value,
        Err(error @ ErrMode::Cut(_)) => return Err(error),
        result => {
            input.reset(&checkpoint);
            let from = input.current_token_start();
            let nested =
                peek((alt((quoted_text.void(), self::identifier.void())), opt('?'), inline_space, ':'))
                    .void();
            if opt(nested).parse_next(input)?.is_none() {
                let error = result.err().and_then(|error| error.into_inner().ok());
                let message = error.map_or(String::new(), |error| error.message);
                let message = if message.is_empty() { "expected a value".to_string() } else { message };
                return abort(from, message);
            }
            let inner = with_nesting(input, entry)?;
            let span = Span { source, bytes: from..input.previous_token_end() };
            SpannedExpr { expr: Expr::Record(vec![inner]), span }
        }
    };
    if is_definition {
        return Ok(Entry::Definition { name, name_span, value });
    }
    Ok(Entry::Field { name, name_span, is_optional: question_mark.is_some(), value })
}

/// Whether a colon follows: the value just parsed is then the name of a nested field.
fn is_colon_next(input: &mut Input) -> bool {
    let checkpoint = input.checkpoint();
    let colon: ParseResult<_> = (opt('?'), inline_space, ':').parse_next(input);
    input.reset(&checkpoint);
    colon.is_ok()
}

/// Entries up to the closing brace of the record that starts at offset `open`, or up to the end of the text.
fn entries(input: &mut Input, open: Option<usize>) -> ParseResult<Vec<Entry>> {
    let mut all = Vec::new();
    loop {
        (whitespace, repeat::<_, _, (), _, _>(0.., (',', whitespace).void())).void().parse_next(input)?;
        let end: ParseResult<_> = peek(any).parse_next(input);
        match (end, open) {
            (Ok('}'), Some(_)) => {
                literal('}').parse_next(input)?;
                return Ok(all);
            }
            (Err(_), None) => return Ok(all),
            (Err(_), Some(open)) => return abort(open, "a record without its closing brace"),
            _ => {}
        }
        let result = with_nesting(input, entry).and_then(|entry| {
            // A field ends with a comma, the end of the line, or the end of the record.
            inline_space.parse_next(input)?;
            let end: ParseResult<_> = peek(any).parse_next(input);
            match end {
                Ok(',' | '\n' | '}') | Err(_) => Ok(entry),
                Ok(_) => {
                    abort(input.current_token_start(), "expected the end of the field: a comma or a new line")
                }
            }
        });
        match result {
            Ok(entry) => all.push(entry),
            Err(error) => {
                let Ok(SyntaxError { offset, message }) = error.into_inner() else { return Ok(all) };
                let mut diagnostics = input.state.diagnostics.borrow_mut();
                // An unclosed record is reported once, at the start of the innermost one.
                let is_repeated = diagnostics
                    .last()
                    .is_some_and(|last| last.message == message && message.contains("closing"));
                if diagnostics.len() < MAX_DIAGNOSTICS && !is_repeated {
                    diagnostics.push(Diagnostic::new(offset..offset + 1, "", message));
                }
                drop(diagnostics);
                let skipped: ParseResult<_> = take_till(0.., '\n').parse_next(input);
                let moved: ParseResult<_> = opt('\n').parse_next(input);
                if skipped.is_err() || moved.is_err() || input.eof_offset() == 0 {
                    return Ok(all);
                }
            }
        }
    }
}

/// Parses as much of the text as possible; returns the tree with a diagnostic for each part that did not parse.
pub fn parse_all(text: &str, source: Source) -> (SourceFile, Vec<Diagnostic>) {
    let state = ParserState { source, diagnostics: RefCell::default(), depth: Cell::new(0) };
    let span = Span { source, bytes: 0..text.len() };
    let mut all = Vec::new();
    if text.len() > MAX_TEXT_BYTES {
        let message = format!("the text has {} bytes; the maximum is {MAX_TEXT_BYTES}", text.len());
        state.diagnostics.borrow_mut().push(Diagnostic::new(0..1, "", message));
    } else {
        let mut input = Stateful { input: LocatingSlice::new(text), state: &state };
        match entries(&mut input, None) {
            Ok(entries) => all = entries,
            Err(error) => {
                if let Ok(SyntaxError { offset, message }) = error.into_inner() {
                    state.diagnostics.borrow_mut().push(Diagnostic::new(offset..offset + 1, "", message));
                }
            }
        }
    }
    let file = SourceFile { root: SpannedExpr { expr: Expr::Record(all), span } };
    (file, state.diagnostics.into_inner())
}

/// Parses a text that must be free of syntax errors.
pub fn parse(text: &str, source: Source) -> Result<SourceFile, Vec<Diagnostic>> {
    match parse_all(text, source) {
        (file, diagnostics) if diagnostics.is_empty() => Ok(file),
        (_, diagnostics) => Err(diagnostics),
    }
}
