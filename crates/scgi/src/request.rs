//! Requests: `LENGTH:NAME\0VALUE\0 ... ,BODY`.

use crate::{parse_decimal, Bounds};
use std::fmt;

/// Why bytes are not a request. After an error nothing further on the connection can be parsed.
// The texts of `Display` must not change: they go to gateways as the body of a 400, 411, 413 or 431 response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The length of the netstring is not a decimal number followed by a colon.
    InvalidHeaderLength,
    /// The header exceeds this maximum, in bytes.
    HeaderTooLarge(usize),
    /// The header has more fields than this maximum.
    TooManyFields(usize),
    /// No comma follows the header.
    MissingComma,
    /// The header is not a sequence of names and values, each terminated by a zero byte.
    MalformedFields,
    /// A field has an empty name.
    EmptyFieldName,
    /// A name occurs twice.
    DuplicateField,
    /// There is no CONTENT_LENGTH.
    MissingContentLength,
    /// CONTENT_LENGTH is not the first field.
    ContentLengthNotFirst,
    /// CONTENT_LENGTH is not a decimal number.
    InvalidContentLength,
    /// There is no field SCGI with the value 1.
    UnsupportedVersion,
    /// The body exceeds the maximum; its size in bytes, `usize::MAX` if the size is not representable.
    BodyTooLarge(usize),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Error::InvalidHeaderLength => {
                write!(f, "the header's length is no plain number followed by a colon")
            }
            Error::HeaderTooLarge(bytes) => write!(f, "a header of more than {bytes} bytes"),
            Error::TooManyFields(bound) => write!(f, "more than {bound} header fields"),
            Error::MissingComma => write!(f, "no comma behind the header"),
            Error::MalformedFields => {
                write!(f, "the header is no row of names and values ended by zero bytes")
            }
            Error::EmptyFieldName => write!(f, "a header field without a name"),
            Error::DuplicateField => write!(f, "a header field that stands twice"),
            Error::MissingContentLength => write!(f, "no CONTENT_LENGTH"),
            Error::ContentLengthNotFirst => write!(f, "CONTENT_LENGTH is not the first field"),
            Error::InvalidContentLength => write!(f, "CONTENT_LENGTH is no plain number"),
            Error::UnsupportedVersion => write!(f, "no SCGI field with the value 1"),
            Error::BodyTooLarge(bytes) => write!(f, "a body of {bytes} bytes"),
        }
    }
}

impl std::error::Error for Error {}

/// A request, borrowed from the buffer that it was parsed from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// Names and values, each terminated by a zero byte.
    header: &'a [u8],
    pub body: &'a [u8],
    /// Bytes of the whole request; further bytes in the buffer are not part of it.
    pub size: usize,
}

impl<'a> Request<'a> {
    /// Names and values in their order, CONTENT_LENGTH first.
    pub fn fields(&self) -> impl Iterator<Item = (&'a [u8], &'a [u8])> {
        let mut strings = self.header.split(|byte| *byte == 0);
        std::iter::from_fn(move || Some((strings.next()?, strings.next()?)))
    }
    pub fn field(&self, name: &str) -> Option<&'a [u8]> {
        self.fields().find(|(known, _)| *known == name.as_bytes()).map(|(_, value)| value)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The length of the netstring is incomplete.
    Length,
    /// The header in the range `.0` to `.1`, or the comma after it, is incomplete.
    Header(usize, usize),
    /// The header is valid; the body, which ends at `.2`, is incomplete.
    Body(usize, usize, usize),
}

/// Parses one request from a growing buffer. No byte is scanned twice except the digits of the length, so a request that
/// arrives byte by byte costs no more than one that arrives whole.
#[derive(Clone, Debug)]
pub struct Reader {
    bounds: Bounds,
    stage: Stage,
}

impl Reader {
    pub fn new(bounds: Bounds) -> Reader {
        Reader { bounds, stage: Stage::Length }
    }

    /// Maximum size in bytes of a request within these bounds.
    pub fn max_request_bytes(bounds: &Bounds) -> usize {
        bounds.max_header_bytes.to_string().len() + 2 + bounds.max_header_bytes + bounds.max_body_bytes
    }

    /// `bytes` are all bytes of the request received so far. Returns `None` while the request is incomplete.
    pub fn read<'a>(&mut self, bytes: &'a [u8]) -> Result<Option<Request<'a>>, Error> {
        if self.stage == Stage::Length {
            match self.parse_length(bytes)? {
                Some((start, length)) => self.stage = Stage::Header(start, start + length),
                None => return Ok(None),
            }
        }
        if let Stage::Header(start, end) = self.stage {
            let Some(comma) = bytes.get(end) else { return Ok(None) };
            if *comma != b',' {
                return Err(Error::MissingComma);
            }
            let length = self.parse_header(&bytes[start..end])?;
            self.stage = Stage::Body(start, end, end + 1 + length);
        }
        let Stage::Body(start, end, size) = self.stage else { return Ok(None) };
        let body = bytes.get(end + 1..size);
        Ok(body.map(|body| Request { header: &bytes[start..end], body, size }))
    }

    /// Offset and length of the header.
    fn parse_length(&self, bytes: &[u8]) -> Result<Option<(usize, usize)>, Error> {
        // One digit more than the maximum has suffices to see that a length exceeds it.
        let digits = self.bounds.max_header_bytes.to_string().len() + 1;
        let head = &bytes[..bytes.len().min(digits + 1)];
        let Some(colon) = head.iter().position(|byte| *byte == b':') else {
            if head.is_empty() {
                return Ok(None);
            }
            let known = parse_decimal(head).ok_or(Error::InvalidHeaderLength)?;
            let is_too_large = head.len() >= digits || known > self.bounds.max_header_bytes;
            return if is_too_large {
                Err(Error::HeaderTooLarge(self.bounds.max_header_bytes))
            } else {
                Ok(None)
            };
        };
        let length = parse_decimal(&head[..colon]).ok_or(Error::InvalidHeaderLength)?;
        if length > self.bounds.max_header_bytes {
            return Err(Error::HeaderTooLarge(self.bounds.max_header_bytes));
        }
        Ok(Some((colon + 1, length)))
    }

    /// Validates the header and returns the length of the body.
    fn parse_header(&self, header: &[u8]) -> Result<usize, Error> {
        if header.is_empty() {
            return Err(Error::MissingContentLength);
        }
        let request = Request { header, body: b"", size: 0 };
        // An even number of strings, the last of them terminated too.
        let zeros = header.iter().filter(|byte| **byte == 0).count();
        if header.last() != Some(&0) || zeros % 2 != 0 {
            return Err(Error::MalformedFields);
        }
        if zeros / 2 > self.bounds.max_fields {
            return Err(Error::TooManyFields(self.bounds.max_fields));
        }
        let mut names: Vec<&[u8]> = request.fields().map(|(name, _)| name).collect();
        let first = names[0];
        names.sort_unstable();
        if names[0].is_empty() {
            return Err(Error::EmptyFieldName);
        }
        if names.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err(Error::DuplicateField);
        }
        let length = request.field("CONTENT_LENGTH").ok_or(Error::MissingContentLength)?;
        if first != b"CONTENT_LENGTH" {
            return Err(Error::ContentLengthNotFirst);
        }
        // More digits than a usize can hold are still a valid number, but one that is too large.
        let is_too_long = length.len() > 18 && length[0] != b'0' && length.iter().all(u8::is_ascii_digit);
        let length = if is_too_long {
            usize::MAX
        } else {
            parse_decimal(length).ok_or(Error::InvalidContentLength)?
        };
        if request.field("SCGI") != Some(b"1") {
            return Err(Error::UnsupportedVersion);
        }
        if length > self.bounds.max_body_bytes {
            return Err(Error::BodyTooLarge(length));
        }
        Ok(length)
    }
}

/// Appends a request to `out`, with CONTENT_LENGTH and SCGI before `fields`. On an error nothing is written.
pub fn write(out: &mut Vec<u8>, fields: &[(&str, &[u8])], body: &[u8]) -> Result<(), Error> {
    let length = body.len().to_string();
    let required = [("CONTENT_LENGTH", length.as_bytes()), ("SCGI", &b"1"[..])];
    let mut size = 0;
    for (at, (name, value)) in required.iter().chain(fields).enumerate() {
        if name.is_empty() {
            return Err(Error::EmptyFieldName);
        }
        if name.contains('\0') || value.contains(&0) {
            return Err(Error::MalformedFields);
        }
        if required.iter().chain(fields).take(at).any(|(earlier, _)| earlier == name) {
            return Err(Error::DuplicateField);
        }
        size += name.len() + value.len() + 2;
    }
    out.reserve(size + body.len() + 12);
    out.extend(size.to_string().as_bytes());
    out.push(b':');
    for (name, value) in required.iter().chain(fields) {
        out.extend(name.as_bytes());
        out.push(0);
        out.extend(*value);
        out.push(0);
    }
    out.push(b',');
    out.extend(body);
    Ok(())
}

/// The CGI variable in which a gateway passes on an HTTP header: `HTTP_X_TEAM` for `X-Team`.
pub fn header_variable(header: &str) -> String {
    let name = header.to_ascii_uppercase().replace('-', "_");
    match name.as_str() {
        "CONTENT_TYPE" | "CONTENT_LENGTH" => name,
        _ => format!("HTTP_{name}"),
    }
}
