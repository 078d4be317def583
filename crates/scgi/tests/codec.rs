//! The codec with input split at every byte, with each error, and by properties. A failing property prints its seed.

use cypresscleat_scgi::request::{self, Error, Reader};
use cypresscleat_scgi::{response, Bounds};
use proptest::prelude::*;

const BOUNDS: Bounds = Bounds { max_header_bytes: 300, max_fields: 8, max_body_bytes: 40 };

fn encode_header(text: &str) -> Vec<u8> {
    let text = text.replace('|', "\0");
    format!("{}:{text},", text.len()).into_bytes()
}

fn parse_whole(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, Error> {
    let read = Reader::new(BOUNDS).read(bytes);
    read.map(|read| read.map(|read| (read.body.to_vec(), read.size)))
}

/// Parses the input byte by byte: the request is complete only at its last byte.
fn parse_by_bytes(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, Error> {
    let mut reader = Reader::new(BOUNDS);
    for end in 0..=bytes.len() {
        if let Some(read) = reader.read(&bytes[..end])? {
            return Ok(Some((read.body.to_vec(), read.size)));
        }
    }
    Ok(None)
}

#[test]
fn a_request_split_at_any_byte_is_parsed() {
    let mut wire = encode_header("CONTENT_LENGTH|5|SCGI|1|EMPTY||X|y|");
    wire.extend(b"12345 and what does not belong to it");
    let mut reader = Reader::new(BOUNDS);
    let size = wire.len() - b" and what does not belong to it".len();
    for end in 0..size {
        assert_eq!(reader.read(&wire[..end]), Ok(None), "{end}");
    }
    let read = reader.read(&wire).expect("a request").expect("whole");
    assert_eq!((read.body, read.size), (&b"12345"[..], size));
    let names: Vec<_> = read.fields().map(|(name, _)| String::from_utf8_lossy(name).into_owned()).collect();
    assert_eq!(names, ["CONTENT_LENGTH", "SCGI", "EMPTY", "X"]);
    assert_eq!(read.field("EMPTY"), Some(&b""[..]));
    assert_eq!(read.field("MISSING"), None);
}

#[test]
fn each_error_is_reported_for_whole_and_split_input() {
    let long = "9".repeat(20);
    let cases: Vec<(Vec<u8>, Error)> = vec![
        (b"012:CONTENT".to_vec(), Error::InvalidHeaderLength),
        (b"+24:CONTENT".to_vec(), Error::InvalidHeaderLength),
        (b"-1:".to_vec(), Error::InvalidHeaderLength),
        (b" 24:".to_vec(), Error::InvalidHeaderLength),
        (b"24 :".to_vec(), Error::InvalidHeaderLength),
        (b":".to_vec(), Error::InvalidHeaderLength),
        (b"GET / HTTP/1.1".to_vec(), Error::InvalidHeaderLength),
        (b"0:,".to_vec(), Error::MissingContentLength),
        (b"301:".to_vec(), Error::HeaderTooLarge(300)),
        (b"9999".to_vec(), Error::HeaderTooLarge(300)),
        (long.clone().into_bytes(), Error::HeaderTooLarge(300)),
        (b"24:CONTENT_LENGTH\x000\x00SCGI\x001\x00;".to_vec(), Error::MissingComma),
        (b"23:CONTENT_LENGTH\x000\x00SCGI\x001\x00,".to_vec(), Error::MissingComma),
        (encode_header("CONTENT_LENGTH|0|SCGI|1"), Error::MalformedFields),
        (encode_header("CONTENT_LENGTH|0|SCGI|1|X|"), Error::MalformedFields),
        (encode_header("CONTENT_LENGTH|0|SCGI|1||x|"), Error::EmptyFieldName),
        (encode_header("CONTENT_LENGTH|0|SCGI|1|X|a|X|b|"), Error::DuplicateField),
        (encode_header("CONTENT_LENGTH|0|CONTENT_LENGTH|1|SCGI|1|"), Error::DuplicateField),
        (encode_header("SCGI|1|"), Error::MissingContentLength),
        (encode_header("SCGI|1|CONTENT_LENGTH|0|"), Error::ContentLengthNotFirst),
        (encode_header("CONTENT_LENGTH||SCGI|1|"), Error::InvalidContentLength),
        (encode_header("CONTENT_LENGTH|-1|SCGI|1|"), Error::InvalidContentLength),
        (encode_header("CONTENT_LENGTH|+1|SCGI|1|"), Error::InvalidContentLength),
        (encode_header("CONTENT_LENGTH| 1|SCGI|1|"), Error::InvalidContentLength),
        (encode_header("CONTENT_LENGTH|01|SCGI|1|"), Error::InvalidContentLength),
        (encode_header("CONTENT_LENGTH|0x1|SCGI|1|"), Error::InvalidContentLength),
        (encode_header(&format!("CONTENT_LENGTH|{long}|SCGI|1|")), Error::BodyTooLarge(usize::MAX)),
        (encode_header("CONTENT_LENGTH|41|SCGI|1|"), Error::BodyTooLarge(41)),
        (encode_header("CONTENT_LENGTH|0|"), Error::UnsupportedVersion),
        (encode_header("CONTENT_LENGTH|0|SCGI|2|"), Error::UnsupportedVersion),
        (encode_header("CONTENT_LENGTH|0|SCGI|1|A|1|B|1|C|1|D|1|E|1|F|1|G|1|"), Error::TooManyFields(8)),
    ];
    for (bytes, error) in cases {
        let shown = String::from_utf8_lossy(&bytes).into_owned();
        assert_eq!(parse_by_bytes(&bytes), Err(error), "byte by byte: {shown}");
        assert_eq!(parse_whole(&bytes), Err(error), "whole: {shown}");
    }
}

#[test]
fn an_invalid_request_is_an_error_and_nothing_is_written() {
    type Fields<'a> = &'a [(&'a str, &'a [u8])];
    let cases: [(Fields, Error); 4] = [
        (&[("", b"x")], Error::EmptyFieldName),
        (&[("A", b"x\0y")], Error::MalformedFields),
        (&[("A", b"x"), ("A", b"y")], Error::DuplicateField),
        (&[("SCGI", b"1")], Error::DuplicateField),
    ];
    for (fields, error) in cases {
        let mut out = Vec::new();
        assert_eq!(request::write(&mut out, fields, b""), Err(error));
        assert!(out.is_empty());
    }
}

fn parse_response(text: &[u8], ended: bool) -> Result<Option<(u16, Vec<u8>, usize)>, response::Error> {
    let read = response::Reader::new(BOUNDS).read(text, ended);
    read.map(|read| read.map(|read| (read.status, read.body.to_vec(), read.trailing_bytes)))
}

#[test]
fn responses_end_by_their_length_or_with_the_connection() {
    let ok = |status, body: &[u8], trailing_bytes| Ok(Some((status, body.to_vec(), trailing_bytes)));
    assert_eq!(parse_response(b"Status: 200 OK\r\nContent-Length: 2\r\n\r\nhi", false), ok(200, b"hi", 0));
    assert_eq!(parse_response(b"Status: 200 OK\nContent-Length: 2\n\nhi", false), ok(200, b"hi", 0));
    assert_eq!(parse_response(b"Status: 503\r\nContent-Length: 2\r\n\r\nhigh", false), ok(503, b"hi", 2));
    assert_eq!(parse_response(b"Content-Type: text/plain\r\n\r\nhi", false), Ok(None));
    assert_eq!(parse_response(b"Content-Type: text/plain\r\n\r\nhi", true), ok(200, b"hi", 0));
    assert_eq!(parse_response(b"Location: /x\r\n\r\n", true), ok(302, b"", 0));
    use response::Error::*;
    let errors: [(&[u8], response::Error); 11] = [
        (b"Status: 200\r\nContent-Length: 3\r\n\r\nhi", Truncated(36)),
        (b"Status: 200\r\nContent-", Truncated(21)),
        (b"", Truncated(0)),
        (b"\r\nhi", MissingRequiredField),
        (b"X-Other: 1\r\n\r\n", MissingRequiredField),
        (b"HTTP/1.1 200 OK\r\n\r\n", InvalidLine("HTTP/1.1 200 OK".into())),
        (b"Status: +20\r\n\r\n", InvalidStatus("+20".into())),
        (b"Status: 99\r\n\r\n", InvalidStatus("99".into())),
        (b"Status: 200\r\nStatus: 200\r\n\r\n", DuplicateField("Status")),
        (b"Status: 200\r\nContent-Length: -1\r\n\r\n", InvalidContentLength("-1".into())),
        (b"Status: 200\r\nContent-Length: 41\r\n\r\n", BodyTooLarge(40)),
    ];
    for (text, error) in errors {
        assert_eq!(parse_response(text, true), Err(error), "{}", String::from_utf8_lossy(text));
    }
    assert_eq!(parse_response(&[b'a'; 301], false), Err(HeaderTooLarge(300)));
    let endless = [&b"Status: 200\r\n\r\n"[..], &[0; 41]].concat();
    assert_eq!(parse_response(&endless, false), Err(BodyTooLarge(40)));
}

#[test]
fn a_field_cannot_split_a_response() {
    let mut out = Vec::new();
    let fields = [("X-Good", "yes"), ("X-Bad", "a\r\nStatus: 200 OK"), ("X Bad", "b"), ("X-Nul", "\0")];
    assert!(!response::write(&mut out, 502, &fields, b"\r\n\r\nStatus: 200 OK\r\n\r\n"));
    let read = response::Reader::new(Bounds::default()).read(&out, true).expect("one").expect("whole");
    assert_eq!((read.status, read.field("x-good"), read.trailing_bytes), (502, Some("yes"), 0));
    assert_eq!((read.field("X-Bad"), read.field("X-Nul")), (None, None));
    assert_eq!(read.body, b"\r\n\r\nStatus: 200 OK\r\n\r\n");
}

fn fields() -> impl Strategy<Value = Vec<(String, Vec<u8>)>> {
    let name =
        "[A-Z_]{1,12}".prop_filter("reserved names", |name| name != "SCGI" && name != "CONTENT_LENGTH");
    let value = proptest::collection::vec(1u8..=255, 0..20);
    proptest::collection::btree_map(name, value, 0..6).prop_map(|map| map.into_iter().collect())
}

/// Parses the input in the parts that `cuts` make.
fn parse_at_cuts(bytes: &[u8], cuts: &[usize]) -> Result<Option<(Vec<u8>, usize)>, Error> {
    let mut reader = Reader::new(BOUNDS);
    let mut ends: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    ends.sort_unstable();
    ends.push(bytes.len());
    for end in ends {
        if let Some(read) = reader.read(&bytes[..end])? {
            return Ok(Some((read.body.to_vec(), read.size)));
        }
    }
    Ok(None)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn writer_and_reader_are_inverse(
        fields in fields(),
        body in proptest::collection::vec(any::<u8>(), 0..40),
        cuts in proptest::collection::vec(any::<usize>(), 0..6),
    ) {
        let borrowed: Vec<(&str, &[u8])> = fields.iter().map(|(name, value)| (&name[..], &value[..])).collect();
        let mut wire = Vec::new();
        request::write(&mut wire, &borrowed, &body).unwrap();
        prop_assert!(wire.len() <= Reader::max_request_bytes(&BOUNDS));
        let mut reader = Reader::new(BOUNDS);
        let read = reader.read(&wire).unwrap().unwrap();
        let parsed: Vec<_> = read.fields().skip(2).collect();
        let sent: Vec<_> = borrowed.iter().map(|(name, value)| (name.as_bytes(), *value)).collect();
        prop_assert_eq!(parsed, sent);
        prop_assert_eq!((read.body, read.size), (&body[..], wire.len()));
        let expected = Ok(Some((body.clone(), wire.len())));
        prop_assert_eq!(parse_by_bytes(&wire), expected.clone());
        prop_assert_eq!(parse_at_cuts(&wire, &cuts), expected);
    }

    #[test]
    fn written_responses_are_parsed(
        status in 200u16..600,
        value in "[ -~]{0,20}",
        body in proptest::collection::vec(any::<u8>(), 0..40),
        cut in any::<usize>(),
    ) {
        let mut wire = Vec::new();
        prop_assert!(response::write(&mut wire, status, &[("X-One", &value)], &body));
        let mut reader = response::Reader::new(BOUNDS);
        let cut = cut % wire.len();
        prop_assert_eq!(reader.read(&wire[..cut], false), Ok(None));
        let read = reader.read(&wire, false).unwrap().unwrap();
        prop_assert_eq!((read.status, read.body, read.trailing_bytes), (status, &body[..], 0));
        prop_assert_eq!(read.field("x-one"), Some(value.trim_matches([' ', '\t'])));
    }
}

proptest! {
    // 100,000 mutated requests and 100,000 mutated responses.
    #![proptest_config(ProptestConfig { cases: 100_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_input_panics_or_depends_on_its_split(
        edits in proptest::collection::vec((any::<usize>(), any::<u8>(), 0u8..4), 0..5),
        cuts in proptest::collection::vec(any::<usize>(), 0..4),
    ) {
        let mut wire = encode_header("CONTENT_LENGTH|12|SCGI|1|REQUEST_METHOD|POST|X||");
        wire.extend(b"twelve bytes");
        let mut reply = b"Status: 200 OK\r\nContent-Length: 12\r\nX: y\r\n\r\ntwelve bytes".to_vec();
        for (at, byte, edit) in edits {
            for bytes in [&mut wire, &mut reply] {
                let at = at % (bytes.len() + 1);
                match edit {
                    0 => bytes.insert(at, byte),
                    1 if at < bytes.len() => bytes[at] = byte,
                    2 => bytes.truncate(at),
                    _ if at < bytes.len() => { bytes.remove(at); }
                    _ => {}
                }
            }
        }
        let at_once = parse_whole(&wire);
        if let Ok(Some((body, size))) = &at_once {
            prop_assert!(body.len() <= BOUNDS.max_body_bytes && *size <= Reader::max_request_bytes(&BOUNDS));
        }
        // A length above its maximum may be reported after fewer of its digits.
        let same = |other: &Result<_, Error>| match (&at_once, other) {
            (Err(Error::HeaderTooLarge(_)), Err(Error::HeaderTooLarge(_))) => true,
            (Err(Error::InvalidHeaderLength), Err(Error::HeaderTooLarge(_))) => true,
            _ => at_once == *other,
        };
        prop_assert!(same(&parse_by_bytes(&wire)), "{:?} {:?}", at_once, parse_by_bytes(&wire));
        prop_assert!(same(&parse_at_cuts(&wire, &cuts)), "{:?} {:?}", at_once, parse_at_cuts(&wire, &cuts));
        let mut reader = response::Reader::new(BOUNDS);
        for end in 0..reply.len() {
            if reader.read(&reply[..end], false).is_err() {
                break;
            }
        }
        if let Ok(Some(read)) = response::Reader::new(BOUNDS).read(&reply, true) {
            prop_assert!(read.body.len() <= BOUNDS.max_body_bytes);
        }
    }
}
