//! Responses: CGI header lines, an empty line, the body. It ends where `Content-Length` says, or with the connection.

use crate::{decimal, is_token, is_value, Bounds};
use std::fmt;

/// Why bytes are no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The header did not end within the bound (bytes).
    HeaderTooLarge(usize),
    TooManyFields(usize),
    BodyTooLarge(usize),
    /// A line of the header that is none, shortened.
    Line(String),
    /// A name that counts only once stands twice.
    Twice(&'static str),
    Status(String),
    ContentLength(String),
    /// Neither Status nor Content-Type nor Location: no CGI response.
    Empty,
    /// The connection ended before the response did, after so many bytes.
    Short(usize),
}

impl fmt::Display for Error {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Error::HeaderTooLarge(bound) => write!(to, "a header that does not end within {bound} bytes"),
            Error::TooManyFields(bound) => write!(to, "more than {bound} header lines"),
            Error::BodyTooLarge(bound) => write!(to, "a body of more than {bound} bytes"),
            Error::Line(line) => write!(to, "header line {line:?}"),
            Error::Twice(name) => write!(to, "{name} stands twice"),
            Error::Status(value) => write!(to, "Status {value:?}"),
            Error::ContentLength(value) => write!(to, "Content-Length {value:?}"),
            Error::Empty => write!(to, "neither Status nor Content-Type nor Location"),
            Error::Short(bytes) => write!(to, "the connection ended after {bytes} bytes of a response"),
        }
    }
}

impl std::error::Error for Error {}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response<'a> {
    pub status: u16,
    header: &'a [u8],
    pub body: &'a [u8],
    /// Bytes behind what its length tells: they belong to nothing.
    pub trailing_bytes: usize,
}

impl<'a> Response<'a> {
    /// The first value of that name; names are compared without case.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        let mut fields = lines(self.header).filter_map(|line| field(line).ok());
        fields.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }
}

fn lines(header: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = header.split(|byte| *byte == b'\n');
    lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line)).filter(|line| !line.is_empty())
}

fn field(line: &[u8]) -> Result<(&str, &str), Error> {
    let shown = || String::from_utf8_lossy(&line[..line.len().min(60)]).into_owned();
    let text = std::str::from_utf8(line).map_err(|_| Error::Line(shown()))?;
    let (name, value) = text.split_once(':').ok_or_else(|| Error::Line(shown()))?;
    let value = value.trim_matches([' ', '\t']);
    if is_token(name) && is_value(value) {
        Ok((name, value))
    } else {
        Err(Error::Line(shown()))
    }
}

/// Reads one response from a growing buffer.
#[derive(Clone, Debug)]
pub struct Reader {
    bounds: Bounds,
    /// Bytes already searched for the end of the header.
    searched: usize,
    /// The header's end, the body's start, status and length, once known.
    head: Option<(usize, usize, u16, Option<usize>)>,
}

impl Reader {
    pub fn new(bounds: Bounds) -> Reader {
        Reader { bounds, searched: 0, head: None }
    }

    /// `bytes` are all that came so far; `ended` says that no more will. `None` while it is not whole.
    pub fn read<'a>(&mut self, bytes: &'a [u8], ended: bool) -> Result<Option<Response<'a>>, Error> {
        let short = || if ended { Err(Error::Short(bytes.len())) } else { Ok(None) };
        if self.head.is_none() {
            let Some((end, start)) = self.find(bytes) else {
                if bytes.len() > self.bounds.max_header_bytes {
                    return Err(Error::HeaderTooLarge(self.bounds.max_header_bytes));
                }
                return short();
            };
            if end > self.bounds.max_header_bytes {
                return Err(Error::HeaderTooLarge(self.bounds.max_header_bytes));
            }
            let (status, length) = self.header(&bytes[..end])?;
            self.head = Some((end, start, status, length));
        }
        let Some((end, start, status, length)) = self.head else { return Ok(None) };
        let rest = &bytes[start..];
        let (body, trailing_bytes) = match length {
            Some(length) if rest.len() < length => return short(),
            Some(length) => (&rest[..length], rest.len() - length),
            None if rest.len() > self.bounds.max_body_bytes => {
                return Err(Error::BodyTooLarge(self.bounds.max_body_bytes))
            }
            None if !ended => return Ok(None),
            None => (rest, 0),
        };
        Ok(Some(Response { status, header: &bytes[..end], body, trailing_bytes }))
    }

    /// Where the header ends, and where the body starts behind its empty line.
    fn find(&mut self, bytes: &[u8]) -> Option<(usize, usize)> {
        let from = self.searched.saturating_sub(2);
        self.searched = bytes.len();
        let breaks = (from..bytes.len()).filter(|at| bytes[*at] == b'\n');
        for at in breaks {
            match &bytes[at + 1..] {
                [b'\n', ..] => return Some((at + 1, at + 2)),
                [b'\r', b'\n', ..] => return Some((at + 1, at + 3)),
                _ => {}
            }
        }
        // An empty header is none: told as such by the check of its fields.
        match bytes {
            [b'\n', ..] => Some((0, 1)),
            [b'\r', b'\n', ..] => Some((0, 2)),
            _ => None,
        }
    }

    fn header(&self, header: &[u8]) -> Result<(u16, Option<usize>), Error> {
        let (mut status, mut length, mut kind, mut count) = (None, None, false, 0);
        for line in lines(header) {
            count += 1;
            if count > self.bounds.max_fields {
                return Err(Error::TooManyFields(self.bounds.max_fields));
            }
            let (name, value) = field(line)?;
            if name.eq_ignore_ascii_case("status") {
                let digits = value.split(' ').next().unwrap_or("");
                let read = decimal(digits.as_bytes()).filter(|code| (100..=999).contains(code));
                let code = read.ok_or_else(|| Error::Status(value.chars().take(40).collect()))?;
                if status.replace(code as u16).is_some() {
                    return Err(Error::Twice("Status"));
                }
            } else if name.eq_ignore_ascii_case("content-length") {
                let read = decimal(value.as_bytes());
                let bytes = read.ok_or_else(|| Error::ContentLength(value.chars().take(40).collect()))?;
                if length.replace(bytes).is_some() {
                    return Err(Error::Twice("Content-Length"));
                }
                if bytes > self.bounds.max_body_bytes {
                    return Err(Error::BodyTooLarge(self.bounds.max_body_bytes));
                }
            } else if name.eq_ignore_ascii_case("content-type") {
                kind = true;
            } else if name.eq_ignore_ascii_case("location") {
                // RFC 3875, 6.2.3: without a status a location means one of 302.
                status = status.or(Some(302));
            }
        }
        match status {
            Some(status) => Ok((status, length)),
            None if kind => Ok((200, length)),
            None => Err(Error::Empty),
        }
    }
}

/// What a response says of itself in its first line.
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        411 => "Length Required",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    }
}

/// Writes a whole response with its length. A field whose name or value could end its line is left out, whatever
/// wrote it: false then. The body can't split a response, as its length stands before it.
pub fn write(out: &mut Vec<u8>, status: u16, fields: &[(&str, &str)], body: &[u8]) -> bool {
    let (good, bad): (Vec<_>, Vec<_>) =
        fields.iter().partition(|(name, value)| is_token(name) && is_value(value));
    let length = body.len();
    out.extend(format!("Status: {status} {}\r\n", reason(status)).as_bytes());
    for (name, value) in good {
        out.extend(name.as_bytes());
        out.extend(b": ");
        out.extend(value.as_bytes());
        out.extend(b"\r\n");
    }
    out.extend(format!("Content-Length: {length}\r\n\r\n").as_bytes());
    out.extend(body);
    bad.is_empty()
}
