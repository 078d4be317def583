//! SCGI, both ends: requests and responses, read from bytes that may be cut anywhere, and written. No I/O, no clock,
//! no copies on the way in.
//!
//! Source: N. Schemenauer, "SCGI: A Simple Common Gateway Interface alternative", protocol text of 2008-06-23, and for
//! the response RFC 3875 (CGI/1.1), section 6. Where the first leaves room, this crate is strict: what two readers could
//! take for two things is a fault.
//!
//! ```
//! use cypresscleat_scgi::{request, Bounds};
//!
//! let mut wire = Vec::new();
//! request::write(&mut wire, &[("REQUEST_METHOD", b"POST"), ("SCRIPT_NAME", b"/report")], b"three").unwrap();
//! assert!(wire.starts_with(b"64:CONTENT_LENGTH\x005\x00SCGI\x001\x00"));
//! let mut reader = request::Reader::new(Bounds::default());
//! assert_eq!(reader.read(&wire[..30]), Ok(None), "not all of it is here");
//! let read = reader.read(&wire).unwrap().unwrap();
//! assert_eq!(read.field("SCRIPT_NAME"), Some(&b"/report"[..]));
//! assert_eq!(read.body, b"three");
//! ```

pub mod request;
pub mod response;

/// What is held of one request or response at the most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Bytes of the header: for a request those inside the netstring, for a response those up to the empty line.
    pub max_header_bytes: usize,
    /// Fields in it.
    pub max_fields: usize,
    /// Bytes of the body.
    pub max_body_bytes: usize,
}

impl Default for Bounds {
    /// A header of 4 KiB with 64 fields, a body of 2 KiB.
    fn default() -> Bounds {
        Bounds { max_header_bytes: 4096, max_fields: 64, max_body_bytes: 2048 }
    }
}

/// A decimal number as both protocols write it: digits alone, no sign, no blank, no zero in front of others.
pub(crate) fn decimal(digits: &[u8]) -> Option<usize> {
    let plain = matches!(digits, [b'0'] | [b'1'..=b'9', ..]) && digits.iter().all(u8::is_ascii_digit);
    // At most 18 digits fit any usize here, so nothing overflows.
    (plain && digits.len() <= 18)
        .then(|| digits.iter().fold(0, |sum, digit| sum * 10 + usize::from(digit - b'0')))
}

/// A token in the sense of RFC 9110: what a header's name or a method may consist of.
pub fn is_token(text: &str) -> bool {
    let may = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    !text.is_empty() && text.bytes().all(may)
}

/// What a header's value may consist of: nothing that ends the line, no other control than a tab.
pub fn is_value(text: &str) -> bool {
    text.bytes().all(|byte| byte == b'\t' || byte >= 0x20 && byte != 0x7f)
}
