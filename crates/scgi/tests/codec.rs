//! The codec at every cut, against faults one by one, and by properties. A failing property prints its seed.

use cypresscleat_scgi::request::{self, Error, Reader};
use cypresscleat_scgi::{response, Bounds};
use proptest::prelude::*;

const BOUNDS: Bounds = Bounds { max_header_bytes: 300, max_fields: 8, max_body_bytes: 40 };

fn header(text: &str) -> Vec<u8> {
    let text = text.replace('|', "\0");
    format!("{}:{text},", text.len()).into_bytes()
}

fn whole(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, Error> {
    let read = Reader::new(BOUNDS).read(bytes);
    read.map(|read| read.map(|read| (read.body.to_vec(), read.size)))
}

/// At each cut: nothing before the end, and the same at it.
fn by_bytes(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, Error> {
    let mut reader = Reader::new(BOUNDS);
    for end in 0..=bytes.len() {
        if let Some(read) = reader.read(&bytes[..end])? {
            return Ok(Some((read.body.to_vec(), read.size)));
        }
    }
    Ok(None)
}

#[test]
fn a_request_is_read_at_every_cut() {
    let mut wire = header("CONTENT_LENGTH|5|SCGI|1|EMPTY||X|y|");
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
fn each_fault_is_told_by_its_name_whole_and_byte_by_byte() {
    let long = "9".repeat(20);
    let cases: Vec<(Vec<u8>, Error)> = vec![
        (b"012:CONTENT".to_vec(), Error::Length),
        (b"+24:CONTENT".to_vec(), Error::Length),
        (b"-1:".to_vec(), Error::Length),
        (b" 24:".to_vec(), Error::Length),
        (b"24 :".to_vec(), Error::Length),
        (b":".to_vec(), Error::Length),
        (b"GET / HTTP/1.1".to_vec(), Error::Length),
        (b"0:,".to_vec(), Error::MissingContentLength),
        (b"301:".to_vec(), Error::HeaderTooLarge(300)),
        (b"9999".to_vec(), Error::HeaderTooLarge(300)),
        (long.clone().into_bytes(), Error::HeaderTooLarge(300)),
        (b"24:CONTENT_LENGTH\x000\x00SCGI\x001\x00;".to_vec(), Error::Comma),
        (b"23:CONTENT_LENGTH\x000\x00SCGI\x001\x00,".to_vec(), Error::Comma),
        (header("CONTENT_LENGTH|0|SCGI|1"), Error::Fields),
        (header("CONTENT_LENGTH|0|SCGI|1|X|"), Error::Fields),
        (header("CONTENT_LENGTH|0|SCGI|1||x|"), Error::NoName),
        (header("CONTENT_LENGTH|0|SCGI|1|X|a|X|b|"), Error::Twice),
        (header("CONTENT_LENGTH|0|CONTENT_LENGTH|1|SCGI|1|"), Error::Twice),
        (header("SCGI|1|"), Error::MissingContentLength),
        (header("SCGI|1|CONTENT_LENGTH|0|"), Error::ContentLengthNotFirst),
        (header("CONTENT_LENGTH||SCGI|1|"), Error::ContentLength),
        (header("CONTENT_LENGTH|-1|SCGI|1|"), Error::ContentLength),
        (header("CONTENT_LENGTH|+1|SCGI|1|"), Error::ContentLength),
        (header("CONTENT_LENGTH| 1|SCGI|1|"), Error::ContentLength),
        (header("CONTENT_LENGTH|01|SCGI|1|"), Error::ContentLength),
        (header("CONTENT_LENGTH|0x1|SCGI|1|"), Error::ContentLength),
        (header(&format!("CONTENT_LENGTH|{long}|SCGI|1|")), Error::BodyTooLarge(usize::MAX)),
        (header("CONTENT_LENGTH|41|SCGI|1|"), Error::BodyTooLarge(41)),
        (header("CONTENT_LENGTH|0|"), Error::Version),
        (header("CONTENT_LENGTH|0|SCGI|2|"), Error::Version),
        (header("CONTENT_LENGTH|0|SCGI|1|A|1|B|1|C|1|D|1|E|1|F|1|G|1|"), Error::TooManyFields(8)),
    ];
    for (bytes, fault) in cases {
        let shown = String::from_utf8_lossy(&bytes).into_owned();
        assert_eq!(by_bytes(&bytes), Err(fault), "byte by byte: {shown}");
        assert_eq!(whole(&bytes), Err(fault), "whole: {shown}");
    }
}

#[test]
fn what_can_not_be_written_is_said_and_nothing_is_written() {
    type Fields<'a> = &'a [(&'a str, &'a [u8])];
    let cases: [(Fields, Error); 4] = [
        (&[("", b"x")], Error::NoName),
        (&[("A", b"x\0y")], Error::Fields),
        (&[("A", b"x"), ("A", b"y")], Error::Twice),
        (&[("SCGI", b"1")], Error::Twice),
    ];
    for (fields, fault) in cases {
        let mut out = Vec::new();
        assert_eq!(request::write(&mut out, fields, b""), Err(fault));
        assert!(out.is_empty());
    }
}

fn answer(text: &[u8], ended: bool) -> Result<Option<(u16, Vec<u8>, usize)>, response::Error> {
    let read = response::Reader::new(BOUNDS).read(text, ended);
    read.map(|read| read.map(|read| (read.status, read.body.to_vec(), read.trailing_bytes)))
}

#[test]
fn responses_end_by_their_length_or_with_the_connection() {
    let ok = |status, body: &[u8], trailing_bytes| Ok(Some((status, body.to_vec(), trailing_bytes)));
    assert_eq!(answer(b"Status: 200 OK\r\nContent-Length: 2\r\n\r\nhi", false), ok(200, b"hi", 0));
    assert_eq!(answer(b"Status: 200 OK\nContent-Length: 2\n\nhi", false), ok(200, b"hi", 0));
    assert_eq!(answer(b"Status: 503\r\nContent-Length: 2\r\n\r\nhigh", false), ok(503, b"hi", 2));
    assert_eq!(answer(b"Content-Type: text/plain\r\n\r\nhi", false), Ok(None));
    assert_eq!(answer(b"Content-Type: text/plain\r\n\r\nhi", true), ok(200, b"hi", 0));
    assert_eq!(answer(b"Location: /x\r\n\r\n", true), ok(302, b"", 0));
    use response::Error::*;
    let faults: [(&[u8], response::Error); 11] = [
        (b"Status: 200\r\nContent-Length: 3\r\n\r\nhi", Short(36)),
        (b"Status: 200\r\nContent-", Short(21)),
        (b"", Short(0)),
        (b"\r\nhi", Empty),
        (b"X-Other: 1\r\n\r\n", Empty),
        (b"HTTP/1.1 200 OK\r\n\r\n", Line("HTTP/1.1 200 OK".into())),
        (b"Status: +20\r\n\r\n", Status("+20".into())),
        (b"Status: 99\r\n\r\n", Status("99".into())),
        (b"Status: 200\r\nStatus: 200\r\n\r\n", Twice("Status")),
        (b"Status: 200\r\nContent-Length: -1\r\n\r\n", ContentLength("-1".into())),
        (b"Status: 200\r\nContent-Length: 41\r\n\r\n", BodyTooLarge(40)),
    ];
    for (text, fault) in faults {
        assert_eq!(answer(text, true), Err(fault), "{}", String::from_utf8_lossy(text));
    }
    assert_eq!(answer(&[b'a'; 301], false), Err(HeaderTooLarge(300)));
    let endless = [&b"Status: 200\r\n\r\n"[..], &[0; 41]].concat();
    assert_eq!(answer(&endless, false), Err(BodyTooLarge(40)));
}

#[test]
fn a_field_can_not_split_a_response() {
    let mut out = Vec::new();
    let fields = [("X-Good", "yes"), ("X-Bad", "a\r\nStatus: 200 OK"), ("X Bad", "b"), ("X-Nul", "\0")];
    assert!(!response::write(&mut out, 502, &fields, b"\r\n\r\nStatus: 200 OK\r\n\r\n"));
    let read = response::Reader::new(Bounds::default()).read(&out, true).expect("one").expect("whole");
    assert_eq!((read.status, read.field("x-good"), read.trailing_bytes), (502, Some("yes"), 0));
    assert_eq!((read.field("X-Bad"), read.field("X-Nul")), (None, None));
    assert_eq!(read.body, b"\r\n\r\nStatus: 200 OK\r\n\r\n");
}

fn fields() -> impl Strategy<Value = Vec<(String, Vec<u8>)>> {
    let name = "[A-Z_]{1,12}".prop_filter("its own", |name| name != "SCGI" && name != "CONTENT_LENGTH");
    let value = proptest::collection::vec(1u8..=255, 0..20);
    proptest::collection::btree_map(name, value, 0..6).prop_map(|map| map.into_iter().collect())
}

/// Feeds `bytes` at the given cuts.
fn at_cuts(bytes: &[u8], cuts: &[usize]) -> Result<Option<(Vec<u8>, usize)>, Error> {
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
        let back: Vec<_> = read.fields().skip(2).collect();
        let sent: Vec<_> = borrowed.iter().map(|(name, value)| (name.as_bytes(), *value)).collect();
        prop_assert_eq!(back, sent);
        prop_assert_eq!((read.body, read.size), (&body[..], wire.len()));
        let seen = Ok(Some((body.clone(), wire.len())));
        prop_assert_eq!(by_bytes(&wire), seen.clone());
        prop_assert_eq!(at_cuts(&wire, &cuts), seen);
    }

    #[test]
    fn responses_written_are_read(
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
    // 100,000 mutated requests, and as many mutated responses.
    #![proptest_config(ProptestConfig { cases: 100_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_input_panics_or_is_read_in_two_ways(
        edits in proptest::collection::vec((any::<usize>(), any::<u8>(), 0u8..4), 0..5),
        cuts in proptest::collection::vec(any::<usize>(), 0..4),
    ) {
        let mut wire = header("CONTENT_LENGTH|12|SCGI|1|REQUEST_METHOD|POST|X||");
        wire.extend(b"twelve bytes");
        let mut reply = b"Status: 200 OK\r\nContent-Length: 12\r\nX: y\r\n\r\ntwelve bytes".to_vec();
        for (at, byte, how) in edits {
            for bytes in [&mut wire, &mut reply] {
                let at = at % (bytes.len() + 1);
                match how {
                    0 => bytes.insert(at, byte),
                    1 if at < bytes.len() => bytes[at] = byte,
                    2 => bytes.truncate(at),
                    _ if at < bytes.len() => { bytes.remove(at); }
                    _ => {}
                }
            }
        }
        let once = whole(&wire);
        if let Ok(Some((body, size))) = &once {
            prop_assert!(body.len() <= BOUNDS.max_body_bytes && *size <= Reader::max_request_bytes(&BOUNDS));
        }
        // A length past its bound may be told after fewer of its digits.
        let same = |other: &Result<_, Error>| match (&once, other) {
            (Err(Error::HeaderTooLarge(_)), Err(Error::HeaderTooLarge(_))) => true,
            (Err(Error::Length), Err(Error::HeaderTooLarge(_))) => true,
            _ => once == *other,
        };
        prop_assert!(same(&by_bytes(&wire)), "{:?} {:?}", once, by_bytes(&wire));
        prop_assert!(same(&at_cuts(&wire, &cuts)), "{:?} {:?}", once, at_cuts(&wire, &cuts));
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
