//! SCGI codec for clients and servers. Requests and responses are parsed incrementally from a growing buffer, without
//! copies, and encoded. No I/O, no clock.
//!
//! Source: N. Schemenauer, "SCGI: A Simple Common Gateway Interface alternative", protocol text of 2008-06-23, and for
//! the response RFC 3875 (CGI/1.1), section 6. Where the first is ambiguous, this crate is strict: input that two parsers
//! could read differently is an error.
//!
//! ```
//! use cypresscleat_scgi::{request, Bounds};
//!
//! let mut wire = Vec::new();
//! request::write(&mut wire, &[("REQUEST_METHOD", b"POST"), ("SCRIPT_NAME", b"/report")], b"three").unwrap();
//! assert!(wire.starts_with(b"64:CONTENT_LENGTH\x005\x00SCGI\x001\x00"));
//! let mut reader = request::Reader::new(Bounds::default());
//! assert_eq!(reader.read(&wire[..30]), Ok(None), "the request is incomplete");
//! let read = reader.read(&wire).unwrap().unwrap();
//! assert_eq!(read.field("SCRIPT_NAME"), Some(&b"/report"[..]));
//! assert_eq!(read.body, b"three");
//! ```

pub mod request;
pub mod response;

/// Maximum sizes of one request or response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Header: for a request the content of the netstring, for a response the bytes up to the empty line.
    pub max_header_bytes: usize,
    /// Number of header fields.
    pub max_fields: usize,
    pub max_body_bytes: usize,
}

impl Default for Bounds {
    /// A header of 4 KiB with 64 fields, a body of 2 KiB.
    fn default() -> Bounds {
        Bounds { max_header_bytes: 4096, max_fields: 64, max_body_bytes: 2048 }
    }
}

/// Parses a decimal number in the form that both protocols require: only digits, no sign, blank or leading zero.
pub(crate) fn parse_decimal(digits: &[u8]) -> Option<usize> {
    let is_decimal = matches!(digits, [b'0'] | [b'1'..=b'9', ..]) && digits.iter().all(u8::is_ascii_digit);
    // 18 digits always fit a 64-bit usize, so the sum cannot overflow.
    (is_decimal && digits.len() <= 18)
        .then(|| digits.iter().fold(0, |sum, digit| sum * 10 + usize::from(digit - b'0')))
}

/// Whether `text` is a token of RFC 9110, as header names and methods must be.
pub fn is_token(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    !text.is_empty() && text.bytes().all(is_allowed)
}

/// Whether `text` can be a header value: no line ends and no control characters except tab.
pub fn is_value(text: &str) -> bool {
    text.bytes().all(|byte| byte == b'\t' || byte >= 0x20 && byte != 0x7f)
}
