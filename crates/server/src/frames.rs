//! The binary frames of the router protocol: parsed from bytes, written to bytes. Performs no I/O.

use crate::core::incoming::RequestId;
use cypresscleat_scheduler::Time;

// Types of frames.
pub const REQUEST: u8 = 2;
pub const RESPONSE: u8 = 4;
pub const CLIENT_LEFT: u8 = 8;
pub const HEALTH_CHECK: u8 = 16;
pub const HEALTH_RESPONSE: u8 = 32;
pub const CLOSING: u8 = 64;

// Status codes of responses.
pub const SUCCEEDED: u8 = 79;
pub const REJECTED: u8 = 66;
pub const FAILED: u8 = 69;

/// Bounds of a frame's length, of a request's body and of a result, in bytes.
const FRAME_LENGTH: std::ops::RangeInclusive<usize> = 5..=262_144;
pub const MAX_BODY_BYTES: usize = 2048;
pub const MAX_RESULT_BYTES: usize = 4096;
/// Maximum values in a request: an hour of work in milliseconds, memory in KB, a Unix time in milliseconds.
const MAX_WORK_MS: f64 = 3.6e6;
const MAX_MEMORY_KB: f64 = 2000.0;
const MAX_ARRIVAL_MS: f64 = 1e14;
/// Maximum length of an idempotency key, in bytes, for all frontends.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 200;
/// Bytes of a frame before its payload: length, type, stream.
const HEADER_BYTES: usize = 9;

#[derive(Debug, PartialEq)]
pub enum NextFrame<'a> {
    /// The frame is not complete yet.
    Incomplete,
    Frame {
        kind: u8,
        stream: u32,
        payload: &'a [u8],
        size: usize,
    },
    /// The frame is valid but too large for a buffer.
    TooLarge {
        kind: u8,
        stream: u32,
        size: usize,
    },
    /// The length is invalid, so the start of the next frame is unknown.
    Invalid {
        length: usize,
    },
}

/// Finds the first frame in `bytes`; a frame of at most `max_frame_bytes` fits a buffer.
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

/// Splits a payload into its fields and the body after them.
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

/// Returns whether the text is visible ASCII only.
pub fn is_visible_ascii(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// The fields of a request, with names as in the settings.
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
    /// The idempotency key of a request class that requires one: all attempts of a request carry the same key.
    pub idempotency_key: Option<&'a str>,
    pub body: &'a [u8],
}

/// Parses a request; an error names the field that is missing or out of bounds.
pub fn parse_request(payload: &[u8]) -> Result<Request<'_>, String> {
    let (fields, body) = parse_fields(payload).ok_or("malformed fields")?;
    if body.len() > MAX_BODY_BYTES {
        return Err(format!("a body of {} bytes", body.len()));
    }
    let get = |name: &str| fields.iter().find(|(known, _)| *known == name).map(|(_, value)| *value);
    let required = |name: &str| get(name).ok_or_else(|| format!("no {name}"));
    // These numbers are summed up: a value out of bounds would spoil the sums for all later requests.
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

/// Slow start between the program's own levels: a forwarder's health check names the forwarder and its requests in
/// flight at the worker; the response of a worker that is warming up tells how many slots the forwarder may use there.
/// Routers neither send nor receive these fields.
pub const SLOW_START_FIELD: &str = "ramp";
const IN_FLIGHT_FIELD: &str = "out";

/// Builds the fields of a forwarder's health check.
pub fn slow_start_request(forwarder: u64, in_flight: u32) -> Vec<u8> {
    let mut payload = Vec::new();
    write_fields(
        &mut payload,
        &[(SLOW_START_FIELD, &format!("{forwarder:016x}")), (IN_FLIGHT_FIELD, &in_flight.to_string())],
    );
    payload
}

/// Parses the forwarder that sent a health check and its requests in flight here.
pub fn parse_slow_start_request(payload: &[u8]) -> Option<(u64, u32)> {
    let (all, _) = parse_fields(payload)?;
    let get = |name: &str| all.iter().find(|(known, _)| *known == name).map(|(_, value)| *value);
    Some((u64::from_str_radix(get(SLOW_START_FIELD)?, 16).ok()?, get(IN_FLIGHT_FIELD)?.parse().ok()?))
}

/// Parses the slots that a health check's response reserves, where it names any.
pub fn parse_slow_start_response(payload: &[u8]) -> Option<u32> {
    let (all, _) = parse_fields(payload.get(1..)?)?;
    all.iter().find(|(known, _)| *known == SLOW_START_FIELD).and_then(|(_, value)| value.parse().ok())
}

/// Appends a frame with its payload.
pub fn write_frame(out: &mut Vec<u8>, kind: u8, stream: u32, payload: &[u8]) {
    out.extend((payload.len() as u32 + 5).to_be_bytes());
    out.push(kind);
    out.extend(stream.to_be_bytes());
    out.extend(payload);
}

/// Appends the number of fields and the fields.
pub fn write_fields(out: &mut Vec<u8>, fields: &[Field]) {
    out.push(fields.len() as u8);
    for (name, value) in fields {
        out.push(name.len() as u8);
        out.extend(name.as_bytes());
        out.extend((value.len() as u16).to_be_bytes());
        out.extend(value.as_bytes());
    }
}

/// Builds a response, or with `HEALTH_RESPONSE` that to a health check, up to its body of `size` bytes: code, fields.
pub fn response_head(kind: u8, stream: u32, code: u8, fields: &[Field], size: usize) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEADER_BYTES + 64);
    write_frame(&mut out, kind, stream, &[code]);
    write_fields(&mut out, fields);
    let length = (out.len() - 4 + size) as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}
