//! Responses: CGI header lines, an empty line, and the body. The body ends after `Content-Length` bytes, or with the
//! connection.

use crate::{is_token, is_value, parse_decimal, Bounds};
use std::fmt;

/// Why bytes are not a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The header does not end within this maximum, in bytes.
    HeaderTooLarge(usize),
    TooManyFields(usize),
    BodyTooLarge(usize),
    /// An invalid header line, shortened.
    InvalidLine(String),
    /// A field that must be unique occurs twice.
    DuplicateField(&'static str),
    InvalidStatus(String),
    InvalidContentLength(String),
    /// The header has none of Status, Content-Type and Location, so it is not a CGI response.
    MissingRequiredField,
    /// The connection ended within the response, after this number of bytes.
    Truncated(usize),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Error::HeaderTooLarge(bound) => write!(f, "a header that does not end within {bound} bytes"),
            Error::TooManyFields(bound) => write!(f, "more than {bound} header lines"),
            Error::BodyTooLarge(bound) => write!(f, "a body of more than {bound} bytes"),
            Error::InvalidLine(line) => write!(f, "invalid header line {line:?}"),
            Error::DuplicateField(name) => write!(f, "{name} occurs twice"),
            Error::InvalidStatus(value) => write!(f, "invalid Status {value:?}"),
            Error::InvalidContentLength(value) => write!(f, "invalid Content-Length {value:?}"),
            Error::MissingRequiredField => {
                write!(f, "the header has neither Status nor Content-Type nor Location")
            }
            Error::Truncated(bytes) => {
                write!(f, "the connection ended within a response, after {bytes} bytes")
            }
        }
    }
}

impl std::error::Error for Error {}

/// A response, borrowed from the buffer that it was parsed from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response<'a> {
    pub status: u16,
    header: &'a [u8],
    pub body: &'a [u8],
    /// Number of bytes received after the end of the body.
    pub trailing_bytes: usize,
}

impl<'a> Response<'a> {
    /// The first value of the field; names are compared without regard to case.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        let mut fields = header_lines(self.header).filter_map(|line| parse_field(line).ok());
        fields.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }
}

fn header_lines(header: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = header.split(|byte| *byte == b'\n');
    lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line)).filter(|line| !line.is_empty())
}

fn parse_field(line: &[u8]) -> Result<(&str, &str), Error> {
    let shortened = || String::from_utf8_lossy(&line[..line.len().min(60)]).into_owned();
    let text = std::str::from_utf8(line).map_err(|_| Error::InvalidLine(shortened()))?;
    let (name, value) = text.split_once(':').ok_or_else(|| Error::InvalidLine(shortened()))?;
    let value = value.trim_matches([' ', '\t']);
    if is_token(name) && is_value(value) {
        Ok((name, value))
    } else {
        Err(Error::InvalidLine(shortened()))
    }
}

/// Parses one response from a growing buffer.
#[derive(Clone, Debug)]
pub struct Reader {
    bounds: Bounds,
    /// Bytes already searched for the end of the header.
    searched: usize,
    /// End of the header, start of the body, status and Content-Length, once the header is parsed.
    head: Option<(usize, usize, u16, Option<usize>)>,
}

impl Reader {
    pub fn new(bounds: Bounds) -> Reader {
        Reader { bounds, searched: 0, head: None }
    }

    /// `bytes` are all bytes received so far; `ended` means that no more will follow. Returns `None` while the response is
    /// incomplete.
    pub fn read<'a>(&mut self, bytes: &'a [u8], ended: bool) -> Result<Option<Response<'a>>, Error> {
        let incomplete = || if ended { Err(Error::Truncated(bytes.len())) } else { Ok(None) };
        if self.head.is_none() {
            let Some((end, start)) = self.find_header_end(bytes) else {
                if bytes.len() > self.bounds.max_header_bytes {
                    return Err(Error::HeaderTooLarge(self.bounds.max_header_bytes));
                }
                return incomplete();
            };
            if end > self.bounds.max_header_bytes {
                return Err(Error::HeaderTooLarge(self.bounds.max_header_bytes));
            }
            let (status, length) = self.parse_header(&bytes[..end])?;
            self.head = Some((end, start, status, length));
        }
        let Some((end, start, status, length)) = self.head else { return Ok(None) };
        let rest = &bytes[start..];
        let (body, trailing_bytes) = match length {
            Some(length) if rest.len() < length => return incomplete(),
            Some(length) => (&rest[..length], rest.len() - length),
            None if rest.len() > self.bounds.max_body_bytes => {
                return Err(Error::BodyTooLarge(self.bounds.max_body_bytes))
            }
            None if !ended => return Ok(None),
            None => (rest, 0),
        };
        Ok(Some(Response { status, header: &bytes[..end], body, trailing_bytes }))
    }

    /// End of the header, and start of the body after the empty line.
    fn find_header_end(&mut self, bytes: &[u8]) -> Option<(usize, usize)> {
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
        // An empty header is found here and rejected when its fields are checked.
        match bytes {
            [b'\n', ..] => Some((0, 1)),
            [b'\r', b'\n', ..] => Some((0, 2)),
            _ => None,
        }
    }

    fn parse_header(&self, header: &[u8]) -> Result<(u16, Option<usize>), Error> {
        let (mut status, mut length, mut has_content_type, mut count) = (None, None, false, 0);
        for line in header_lines(header) {
            count += 1;
            if count > self.bounds.max_fields {
                return Err(Error::TooManyFields(self.bounds.max_fields));
            }
            let (name, value) = parse_field(line)?;
            if name.eq_ignore_ascii_case("status") {
                let digits = value.split(' ').next().unwrap_or("");
                let read = parse_decimal(digits.as_bytes()).filter(|code| (100..=999).contains(code));
                let code = read.ok_or_else(|| Error::InvalidStatus(value.chars().take(40).collect()))?;
                if status.replace(code as u16).is_some() {
                    return Err(Error::DuplicateField("Status"));
                }
            } else if name.eq_ignore_ascii_case("content-length") {
                let read = parse_decimal(value.as_bytes());
                let bytes =
                    read.ok_or_else(|| Error::InvalidContentLength(value.chars().take(40).collect()))?;
                if length.replace(bytes).is_some() {
                    return Err(Error::DuplicateField("Content-Length"));
                }
                if bytes > self.bounds.max_body_bytes {
                    return Err(Error::BodyTooLarge(self.bounds.max_body_bytes));
                }
            } else if name.eq_ignore_ascii_case("content-type") {
                has_content_type = true;
            } else if name.eq_ignore_ascii_case("location") {
                // RFC 3875, 6.2.3: a Location without a Status implies 302.
                status = status.or(Some(302));
            }
        }
        match status {
            Some(status) => Ok((status, length)),
            None if has_content_type => Ok((200, length)),
            None => Err(Error::MissingRequiredField),
        }
    }
}

/// The reason phrase of a status.
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

/// Appends a whole response with its Content-Length to `out`. Omits each field whose name or value could end its line, and
/// returns false if one was omitted. The body can't split the response, since its length precedes it.
pub fn write(out: &mut Vec<u8>, status: u16, fields: &[(&str, &str)], body: &[u8]) -> bool {
    let (valid, invalid): (Vec<_>, Vec<_>) =
        fields.iter().partition(|(name, value)| is_token(name) && is_value(value));
    let length = body.len();
    out.extend(format!("Status: {status} {}\r\n", reason(status)).as_bytes());
    for (name, value) in valid {
        out.extend(name.as_bytes());
        out.extend(b": ");
        out.extend(value.as_bytes());
        out.extend(b"\r\n");
    }
    out.extend(format!("Content-Length: {length}\r\n\r\n").as_bytes());
    out.extend(body);
    invalid.is_empty()
}
