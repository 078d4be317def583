//! The routers' binary frames: read from bytes, written to bytes. No I/O.

use crate::core::door::Txn;
use cypresscleat_scheduler::Time;

pub const INVOCATION: u8 = 2;
pub const ANSWER: u8 = 4;
pub const LEFT: u8 = 8;
pub const CHECK: u8 = 16;
pub const CHECKED: u8 = 32;
pub const NO_MORE: u8 = 64;

pub const SUCCEEDED: u8 = 79;
pub const THROTTLED: u8 = 66;
pub const ERRORED: u8 = 69;

/// Bounds of a frame's length, of an invocation's body and of a result.
const LENGTH: std::ops::RangeInclusive<usize> = 5..=262_144;
pub const BODY: usize = 2048;
pub const RESULT: usize = 4096;
/// Most that an invocation may say: an hour of work in milliseconds, memory in KB, a Unix time in milliseconds.
const WORK: f64 = 3.6e6;
const MEMORY: f64 = 2000.0;
const DOOR: f64 = 1e14;
/// Longest idempotency key, in bytes, whichever front brings it.
pub const TOKEN: usize = 200;
/// Bytes of a frame before its payload: length, type, stream.
const HEAD: usize = 9;

#[derive(Debug, PartialEq)]
pub enum Next<'a> {
    /// Not all of it is here.
    More,
    Frame {
        kind: u8,
        stream: u32,
        payload: &'a [u8],
        size: usize,
    },
    /// Too large to be held, though not against the protocol: to be skipped.
    Large {
        kind: u8,
        stream: u32,
        size: usize,
    },
    /// Where the next frame begins can't be known any more.
    Broken {
        length: usize,
    },
}

/// The first frame in `bytes`, of which `most` fit a buffer.
pub fn next(bytes: &[u8], most: usize) -> Next<'_> {
    let Some(head) = bytes.get(..HEAD) else {
        return match bytes.get(..4).map(length) {
            Some(length) if !LENGTH.contains(&length) => Next::Broken { length },
            _ => Next::More,
        };
    };
    let length = length(head);
    if !LENGTH.contains(&length) {
        return Next::Broken { length };
    }
    let (kind, size) = (head[4], length + 4);
    let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
    match bytes.get(HEAD..size) {
        Some(payload) => Next::Frame { kind, stream, payload, size },
        None if size > most => Next::Large { kind, stream, size },
        None => Next::More,
    }
}

fn length(bytes: &[u8]) -> usize {
    u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize
}

/// Name and value.
type Field<'a> = (&'a str, &'a str);

/// Splits a payload into its fields and the body behind them.
pub fn fields(payload: &[u8]) -> Option<(Vec<Field<'_>>, &[u8])> {
    let (count, mut rest) = payload.split_first()?;
    let mut fields = Vec::with_capacity(*count as usize);
    for _ in 0..*count {
        let (size, more) = rest.split_first()?;
        let (name, more) = more.split_at_checked(*size as usize)?;
        let (size, more) = more.split_at_checked(2)?;
        let (value, more) = more.split_at_checked(u16::from_be_bytes([size[0], size[1]]) as usize)?;
        fields.push((std::str::from_utf8(name).ok()?, std::str::from_utf8(value).ok()?));
        rest = more;
    }
    Some((fields, rest))
}

/// Whether it is visible ASCII.
pub fn is_word(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// What the fields of an invocation say; names are those of the settings.
#[derive(Debug, PartialEq)]
pub struct Invocation<'a> {
    pub txn: Txn,
    pub operation: &'a str,
    pub customer: Option<&'a str>,
    /// Unix time, in tenths of a millisecond.
    pub door: Time,
    pub hint: Option<f64>,
    pub kb: f64,
    pub rank: f64,
    pub item: Option<&'a str>,
    /// The idempotency key of a tokened operation: each try of one invocation brings the same.
    pub token: Option<&'a str>,
    pub body: &'a [u8],
}

pub fn invocation(payload: &[u8]) -> Result<Invocation<'_>, String> {
    let (fields, body) = fields(payload).ok_or("fields that can't be read")?;
    if body.len() > BODY {
        return Err(format!("a body of {} bytes", body.len()));
    }
    let get = |name: &str| fields.iter().find(|(known, _)| *known == name).map(|(_, value)| *value);
    let need = |name: &str| get(name).ok_or_else(|| format!("no {name}"));
    // Sums are made of these: out of bounds, one would spoil them for all that come after.
    let number = |name: &str, value: &str, most: f64| match value.parse::<f64>() {
        Ok(number) if (0.0..=most).contains(&number) => Ok(number),
        _ => Err(format!("{name} {value:?}")),
    };
    let txn = need("txn")?;
    let txn = match Txn::try_from(txn.as_bytes()) {
        Ok(word) if word.iter().all(u8::is_ascii_hexdigit) => word,
        _ => return Err(format!("txn {txn:?}")),
    };
    let hint = get("cpu").map(|value| number("cpu", value, WORK)).transpose()?;
    let token = match get("unique") {
        Some(token) if token.is_empty() || token.len() > TOKEN || !is_word(token) => {
            return Err(format!("unique {token:?}"))
        }
        token => token,
    };
    Ok(Invocation {
        txn,
        operation: need("verb")?,
        customer: get("team"),
        door: (number("door", need("door")?, DOOR)? * 10.0) as Time,
        hint: hint.filter(|ms| *ms > 0.0).map(|ms| ms * 10.0),
        kb: number("ram", need("ram")?, MEMORY)?,
        rank: get("standing").map_or(Ok(0.0), |value| number("standing", value, 1.0))?,
        item: get("item"),
        token,
        body,
    })
}

/// Between the levels of our own: a forwarder's health check names it and what it has out at the worker; the answer of one that is
/// cold tells the places that it may use there. Routers send and are sent none of these.
pub const RAMP: &str = "ramp";
const OUT: &str = "out";

pub fn put_ramp(who: u64, out: u32) -> Vec<u8> {
    let mut payload = Vec::new();
    put_fields(&mut payload, &[(RAMP, &format!("{who:016x}")), (OUT, &out.to_string())]);
    payload
}

/// Who asks, and what it has out here.
pub fn asks_ramp(payload: &[u8]) -> Option<(u64, u32)> {
    let (all, _) = fields(payload)?;
    let get = |name: &str| all.iter().find(|(known, _)| *known == name).map(|(_, value)| *value);
    Some((u64::from_str_radix(get(RAMP)?, 16).ok()?, get(OUT)?.parse().ok()?))
}

/// The places that a health check's answer promises, where it speaks of any.
pub fn ramp(payload: &[u8]) -> Option<u32> {
    let (all, _) = fields(payload.get(1..)?)?;
    all.iter().find(|(known, _)| *known == RAMP).and_then(|(_, value)| value.parse().ok())
}

/// A frame with its payload.
pub fn frame(out: &mut Vec<u8>, kind: u8, stream: u32, payload: &[u8]) {
    out.extend((payload.len() as u32 + 5).to_be_bytes());
    out.push(kind);
    out.extend(stream.to_be_bytes());
    out.extend(payload);
}

pub fn put_fields(out: &mut Vec<u8>, fields: &[Field]) {
    out.push(fields.len() as u8);
    for (name, value) in fields {
        out.push(name.len() as u8);
        out.extend(name.as_bytes());
        out.extend((value.len() as u16).to_be_bytes());
        out.extend(value.as_bytes());
    }
}

/// An answer, or with `CHECKED` that to a health check, as far as its body of `size` bytes: code, fields.
pub fn answer(kind: u8, stream: u32, code: u8, fields: &[Field], size: usize) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEAD + 64);
    frame(&mut out, kind, stream, &[code]);
    put_fields(&mut out, fields);
    let length = (out.len() - 4 + size) as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}
