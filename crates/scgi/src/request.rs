//! Requests: `LENGTH:NAME\0VALUE\0 ... ,BODY`.

use crate::{decimal, Bounds};
use std::fmt;

/// Why bytes are no request; none of them is one after such a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The netstring's length is no plain decimal number, or no colon stands behind it.
    Length,
    /// The header is larger than this bound (bytes).
    HeaderTooLarge(usize),
    /// More fields than the bound.
    TooManyFields(usize),
    /// No comma behind the header.
    Comma,
    /// The header does not consist of names and values, each ended by a zero byte.
    Fields,
    /// A field without a name.
    NoName,
    /// A name that stands twice.
    Twice,
    /// No CONTENT_LENGTH at all.
    MissingContentLength,
    /// CONTENT_LENGTH is not the first field.
    ContentLengthNotFirst,
    /// CONTENT_LENGTH is no plain decimal number.
    ContentLength,
    /// No field SCGI with the value 1.
    Version,
    /// The body is larger than the bound (bytes, as far as they can be told).
    BodyTooLarge(usize),
}

impl fmt::Display for Error {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Error::Length => write!(to, "the header's length is no plain number followed by a colon"),
            Error::HeaderTooLarge(bytes) => write!(to, "a header of more than {bytes} bytes"),
            Error::TooManyFields(bound) => write!(to, "more than {bound} header fields"),
            Error::Comma => write!(to, "no comma behind the header"),
            Error::Fields => write!(to, "the header is no row of names and values ended by zero bytes"),
            Error::NoName => write!(to, "a header field without a name"),
            Error::Twice => write!(to, "a header field that stands twice"),
            Error::MissingContentLength => write!(to, "no CONTENT_LENGTH"),
            Error::ContentLengthNotFirst => write!(to, "CONTENT_LENGTH is not the first field"),
            Error::ContentLength => write!(to, "CONTENT_LENGTH is no plain number"),
            Error::Version => write!(to, "no SCGI field with the value 1"),
            Error::BodyTooLarge(bytes) => write!(to, "a body of {bytes} bytes"),
        }
    }
}

impl std::error::Error for Error {}

/// A request in the buffer that it came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// Names and values, each ended by a zero byte.
    header: &'a [u8],
    pub body: &'a [u8],
    /// All of it, in bytes; what comes behind is not part of it.
    pub size: usize,
}

impl<'a> Request<'a> {
    /// Names and values in their order, CONTENT_LENGTH first.
    pub fn fields(&self) -> impl Iterator<Item = (&'a [u8], &'a [u8])> {
        let mut words = self.header.split(|byte| *byte == 0);
        std::iter::from_fn(move || Some((words.next()?, words.next()?)))
    }
    pub fn field(&self, name: &str) -> Option<&'a [u8]> {
        self.fields().find(|(known, _)| *known == name.as_bytes()).map(|(_, value)| value)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The netstring's length is not here yet.
    Length,
    /// The header from `.0` up to `.1` is not here yet, or not the comma behind it.
    Header(usize, usize),
    /// The header was found good; the body up to `.2` is not here yet.
    Body(usize, usize, usize),
}

/// Reads one request from a growing buffer. Bytes looked at once are not looked at again, except the few digits of the
/// length: a request that comes byte by byte costs no more than one that comes whole.
#[derive(Clone, Debug)]
pub struct Reader {
    bounds: Bounds,
    stage: Stage,
}

impl Reader {
    pub fn new(bounds: Bounds) -> Reader {
        Reader { bounds, stage: Stage::Length }
    }

    /// The most that a request within these bounds may take, in bytes.
    pub fn max_request_bytes(bounds: &Bounds) -> usize {
        bounds.max_header_bytes.to_string().len() + 2 + bounds.max_header_bytes + bounds.max_body_bytes
    }

    /// `bytes` are all that came of the request so far, from its first byte on. `None` while it is not whole.
    pub fn read<'a>(&mut self, bytes: &'a [u8]) -> Result<Option<Request<'a>>, Error> {
        if self.stage == Stage::Length {
            match self.length(bytes)? {
                Some((start, length)) => self.stage = Stage::Header(start, start + length),
                None => return Ok(None),
            }
        }
        if let Stage::Header(start, end) = self.stage {
            let Some(comma) = bytes.get(end) else { return Ok(None) };
            if *comma != b',' {
                return Err(Error::Comma);
            }
            let length = self.header(&bytes[start..end])?;
            self.stage = Stage::Body(start, end, end + 1 + length);
        }
        let Stage::Body(start, end, size) = self.stage else { return Ok(None) };
        let body = bytes.get(end + 1..size);
        Ok(body.map(|body| Request { header: &bytes[start..end], body, size }))
    }

    /// Where the header starts, and its length.
    fn length(&self, bytes: &[u8]) -> Result<Option<(usize, usize)>, Error> {
        // One digit more than the bound has: enough to see that a length is past it.
        let digits = self.bounds.max_header_bytes.to_string().len() + 1;
        let head = &bytes[..bytes.len().min(digits + 1)];
        let Some(colon) = head.iter().position(|byte| *byte == b':') else {
            if head.is_empty() {
                return Ok(None);
            }
            let known = decimal(head).ok_or(Error::Length)?;
            let over = head.len() >= digits || known > self.bounds.max_header_bytes;
            return if over { Err(Error::HeaderTooLarge(self.bounds.max_header_bytes)) } else { Ok(None) };
        };
        let length = decimal(&head[..colon]).ok_or(Error::Length)?;
        if length > self.bounds.max_header_bytes {
            return Err(Error::HeaderTooLarge(self.bounds.max_header_bytes));
        }
        Ok(Some((colon + 1, length)))
    }

    /// Checks all of the header; returns the length of the body.
    fn header(&self, header: &[u8]) -> Result<usize, Error> {
        if header.is_empty() {
            return Err(Error::MissingContentLength);
        }
        let all = Request { header, body: b"", size: 0 };
        // An even count of words, the last of them ended too.
        let zeros = header.iter().filter(|byte| **byte == 0).count();
        if header.last() != Some(&0) || zeros % 2 != 0 {
            return Err(Error::Fields);
        }
        if zeros / 2 > self.bounds.max_fields {
            return Err(Error::TooManyFields(self.bounds.max_fields));
        }
        let mut names: Vec<&[u8]> = all.fields().map(|(name, _)| name).collect();
        let first = names[0];
        names.sort_unstable();
        if names[0].is_empty() {
            return Err(Error::NoName);
        }
        if names.windows(2).any(|two| two[0] == two[1]) {
            return Err(Error::Twice);
        }
        let length = all.field("CONTENT_LENGTH").ok_or(Error::MissingContentLength)?;
        if first != b"CONTENT_LENGTH" {
            return Err(Error::ContentLengthNotFirst);
        }
        // Plain digits past what can be held are a number all the same, and too large.
        let many = length.len() > 18 && length[0] != b'0' && length.iter().all(u8::is_ascii_digit);
        let length = if many { usize::MAX } else { decimal(length).ok_or(Error::ContentLength)? };
        if all.field("SCGI") != Some(b"1") {
            return Err(Error::Version);
        }
        if length > self.bounds.max_body_bytes {
            return Err(Error::BodyTooLarge(length));
        }
        Ok(length)
    }
}

/// Writes a request; CONTENT_LENGTH and SCGI are put in front of `fields`. A fault writes nothing.
pub fn write(out: &mut Vec<u8>, fields: &[(&str, &[u8])], body: &[u8]) -> Result<(), Error> {
    let length = body.len().to_string();
    let own = [("CONTENT_LENGTH", length.as_bytes()), ("SCGI", &b"1"[..])];
    let mut size = 0;
    for (at, (name, value)) in own.iter().chain(fields).enumerate() {
        if name.is_empty() {
            return Err(Error::NoName);
        }
        if name.contains('\0') || value.contains(&0) {
            return Err(Error::Fields);
        }
        if own.iter().chain(fields).take(at).any(|(before, _)| before == name) {
            return Err(Error::Twice);
        }
        size += name.len() + value.len() + 2;
    }
    out.reserve(size + body.len() + 12);
    out.extend(size.to_string().as_bytes());
    out.push(b':');
    for (name, value) in own.iter().chain(fields) {
        out.extend(name.as_bytes());
        out.push(0);
        out.extend(*value);
        out.push(0);
    }
    out.push(b',');
    out.extend(body);
    Ok(())
}

/// The name under which a gateway passes a header of HTTP on: `X-Team` is `HTTP_X_TEAM`.
pub fn header_variable(header: &str) -> String {
    let plain = header.to_ascii_uppercase().replace('-', "_");
    match plain.as_str() {
        "CONTENT_TYPE" | "CONTENT_LENGTH" => plain,
        _ => format!("HTTP_{plain}"),
    }
}
