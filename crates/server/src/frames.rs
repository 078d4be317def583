//! The routers' binary frames: read from bytes, written to bytes. No I/O.

use crate::core::incoming::RequestId;
use cypresscleat_scheduler::Time;

pub const REQUEST: u8 = 2;
pub const RESPONSE: u8 = 4;
pub const CLIENT_LEFT: u8 = 8;
pub const HEALTH_CHECK: u8 = 16;
pub const HEALTH_RESPONSE: u8 = 32;
pub const CLOSING: u8 = 64;

pub const SUCCEEDED: u8 = 79;
pub const REJECTED: u8 = 66;
pub const FAILED: u8 = 69;

/// Bounds of a frame's length, of an invocation's body and of a result.
const FRAME_LENGTH: std::ops::RangeInclusive<usize> = 5..=262_144;
pub const MAX_BODY_BYTES: usize = 2048;
pub const MAX_RESULT_BYTES: usize = 4096;
/// Most that an invocation may say: an hour of work in milliseconds, memory in KB, a Unix time in milliseconds.
const MAX_WORK_MS: f64 = 3.6e6;
const MAX_MEMORY_KB: f64 = 2000.0;
const MAX_ARRIVAL_MS: f64 = 1e14;
/// Longest idempotency key, in bytes, whichever front brings it.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 200;
/// Bytes of a frame before its payload: length, type, stream.
const HEADER_BYTES: usize = 9;

#[derive(Debug, PartialEq)]
pub enum NextFrame<'a> {
    /// Not all of it is here.
    Incomplete,
    Frame {
        kind: u8,
        stream: u32,
        payload: &'a [u8],
        size: usize,
    },
    /// Too large to be held, though not against the protocol: to be skipped.
    TooLarge {
        kind: u8,
        stream: u32,
        size: usize,
    },
    /// Where the next frame begins can't be known any more.
    Invalid {
        length: usize,
    },
}

/// The first frame in `bytes`, of which `most` fit a buffer.
pub fn next_frame(bytes: &[u8], max_frame_bytes: usize) -> NextFrame<'_> {
    let Some(head) = bytes.get(..HEADER_BYTES) else {
        return match bytes.get(..4).map(frame_length) {
            Some(length) if !FRAME_LENGTH.contains(&length) => NextFrame::Invalid { length },
            _ => NextFrame::Incomplete,
        };
    };
    let length = frame_length(head);
    if !FRAME_LENGTH.contains(&length) {
        return NextFrame::Invalid { length };
    }
    let (kind, size) = (head[4], length + 4);
    let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
    match bytes.get(HEADER_BYTES..size) {
        Some(payload) => NextFrame::Frame { kind, stream, payload, size },
        None if size > max_frame_bytes => NextFrame::TooLarge { kind, stream, size },
        None => NextFrame::Incomplete,
    }
}

fn frame_length(bytes: &[u8]) -> usize {
    u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize
}

/// Name and value.
type Field<'a> = (&'a str, &'a str);

/// Splits a payload into its fields and the body behind them.
pub fn parse_fields(payload: &[u8]) -> Option<(Vec<Field<'_>>, &[u8])> {
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
pub fn is_visible_ascii(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// What the fields of an invocation say; names are those of the settings.
#[derive(Debug, PartialEq)]
pub struct Request<'a> {
    pub request_id: RequestId,
    pub class: &'a str,
    pub tenant: Option<&'a str>,
    /// Unix time, in tenths of a millisecond.
    pub arrived_at: Time,
    pub expected_work: Option<f64>,
    pub memory_kb: f64,
    pub client_priority: f64,
    pub item: Option<&'a str>,
    /// The idempotency key of a tokened operation: each try of one invocation brings the same.
    pub idempotency_key: Option<&'a str>,
    pub body: &'a [u8],
}

pub fn parse_request(payload: &[u8]) -> Result<Request<'_>, String> {
    let (fields, body) = parse_fields(payload).ok_or("fields that can't be read")?;
    if body.len() > MAX_BODY_BYTES {
        return Err(format!("a body of {} bytes", body.len()));
    }
    let get = |name: &str| fields.iter().find(|(known, _)| *known == name).map(|(_, value)| *value);
    let required = |name: &str| get(name).ok_or_else(|| format!("no {name}"));
    // Sums are made of these: out of bounds, one would spoil them for all that come after.
    let number = |name: &str, value: &str, max: f64| match value.parse::<f64>() {
        Ok(number) if (0.0..=max).contains(&number) => Ok(number),
        _ => Err(format!("{name} {value:?}")),
    };
    let request_id = required("txn")?;
    let request_id = match RequestId::try_from(request_id.as_bytes()) {
        Ok(id) if id.iter().all(u8::is_ascii_hexdigit) => id,
        _ => return Err(format!("txn {request_id:?}")),
    };
    let expected_work = get("cpu").map(|value| number("cpu", value, MAX_WORK_MS)).transpose()?;
    let idempotency_key = match get("unique") {
        Some(idempotency_key)
            if idempotency_key.is_empty()
                || idempotency_key.len() > MAX_IDEMPOTENCY_KEY_BYTES
                || !is_visible_ascii(idempotency_key) =>
        {
            return Err(format!("unique {idempotency_key:?}"))
        }
        idempotency_key => idempotency_key,
    };
    Ok(Request {
        request_id,
        class: required("verb")?,
        tenant: get("team"),
        arrived_at: (number("door", required("door")?, MAX_ARRIVAL_MS)? * 10.0) as Time,
        expected_work: expected_work.filter(|ms| *ms > 0.0).map(|ms| ms * 10.0),
        memory_kb: number("ram", required("ram")?, MAX_MEMORY_KB)?,
        client_priority: get("standing").map_or(Ok(0.0), |value| number("standing", value, 1.0))?,
        item: get("item"),
        idempotency_key,
        body,
    })
}

/// Between the levels of our own: a forwarder's health check names it and what it has out at the worker; the answer of one that is
/// cold tells the places that it may use there. Routers send and are sent none of these.
pub const SLOW_START_FIELD: &str = "ramp";
const IN_FLIGHT_FIELD: &str = "out";

pub fn slow_start_request(forwarder: u64, in_flight: u32) -> Vec<u8> {
    let mut payload = Vec::new();
    write_fields(
        &mut payload,
        &[(SLOW_START_FIELD, &format!("{forwarder:016x}")), (IN_FLIGHT_FIELD, &in_flight.to_string())],
    );
    payload
}

/// Who asks, and what it has out here.
pub fn parse_slow_start_request(payload: &[u8]) -> Option<(u64, u32)> {
    let (all, _) = parse_fields(payload)?;
    let get = |name: &str| all.iter().find(|(known, _)| *known == name).map(|(_, value)| *value);
    Some((u64::from_str_radix(get(SLOW_START_FIELD)?, 16).ok()?, get(IN_FLIGHT_FIELD)?.parse().ok()?))
}

/// The places that a health check's answer promises, where it speaks of any.
pub fn parse_slow_start_response(payload: &[u8]) -> Option<u32> {
    let (all, _) = parse_fields(payload.get(1..)?)?;
    all.iter().find(|(known, _)| *known == SLOW_START_FIELD).and_then(|(_, value)| value.parse().ok())
}

/// A frame with its payload.
pub fn write_frame(out: &mut Vec<u8>, kind: u8, stream: u32, payload: &[u8]) {
    out.extend((payload.len() as u32 + 5).to_be_bytes());
    out.push(kind);
    out.extend(stream.to_be_bytes());
    out.extend(payload);
}

pub fn write_fields(out: &mut Vec<u8>, fields: &[Field]) {
    out.push(fields.len() as u8);
    for (name, value) in fields {
        out.push(name.len() as u8);
        out.extend(name.as_bytes());
        out.extend((value.len() as u16).to_be_bytes());
        out.extend(value.as_bytes());
    }
}

/// An answer, or with `CHECKED` that to a health check, as far as its body of `size` bytes: code, fields.
pub fn response_head(kind: u8, stream: u32, code: u8, fields: &[Field], size: usize) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEADER_BYTES + 64);
    write_frame(&mut out, kind, stream, &[code]);
    write_fields(&mut out, fields);
    let length = (out.len() - 4 + size) as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}
