//! The parsers, fed byte by byte and with bad input; bytes are written out as the protocol gives them.

use cypresscleat_scheduler::Outcome;
use cypresscleat_server::config;
use cypresscleat_server::frames::{self, NextFrame};
use cypresscleat_server::lines::{self, NextReply, Notice};
use cypresscleat_server::pool::{BufferPool, BUFFER_BYTES};
use cypresscleat_server::{http, log};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

#[test]
fn frames_are_found_at_any_cut() {
    let bytes = b"\0\0\0\x07\x04\0\0\x01\x02O\0\0\0\0\x05\x08\0\0\0\x03";
    for cut in 0..16.min(bytes.len()) {
        let found = frames::next_frame(&bytes[..cut], BUFFER_BYTES);
        assert_eq!(matches!(found, NextFrame::Incomplete), cut < 11, "{cut}: {found:?}");
    }
    let first = NextFrame::Frame { kind: 4, stream: 258, payload: b"O\0", size: 11 };
    assert_eq!(frames::next_frame(bytes, BUFFER_BYTES), first);
    let second = NextFrame::Frame { kind: 8, stream: 3, payload: b"", size: 9 };
    assert_eq!(frames::next_frame(&bytes[11..], BUFFER_BYTES), second);
    assert_eq!(frames::response_head(4, 258, 79, &[], 0), bytes[..11]);
    assert_eq!(frames::next_frame(b"\0\0\0\x04", BUFFER_BYTES), NextFrame::Invalid { length: 4 });
    assert_eq!(frames::next_frame(b"\0\x04\0\x01", BUFFER_BYTES), NextFrame::Invalid { length: 262_145 });
    let large = NextFrame::TooLarge { kind: 2, stream: 9, size: 262_148 };
    assert_eq!(frames::next_frame(b"\0\x04\0\0\x02\0\0\0\x09", BUFFER_BYTES), large);
}

#[test]
fn fields_are_read_whole_or_not_at_all() {
    let payload = b"\x02\x04verb\0\x03buy\x03txn\0\x02a1body";
    let (fields, body) = frames::parse_fields(payload).expect("fields");
    assert_eq!((fields, body), (vec![("verb", "buy"), ("txn", "a1")], &b"body"[..]));
    for cut in 0..payload.len() - 4 {
        assert!(frames::parse_fields(&payload[..cut]).is_none(), "{cut}");
    }
    assert!(frames::parse_fields(b"\x01\x01\xff\0\0").is_none(), "names are text");
    let mut again = Vec::new();
    frames::write_fields(&mut again, &[("verb", "buy"), ("txn", "a1")]);
    assert_eq!(again, payload[..payload.len() - 4]);
}

#[test]
fn kernel_lines_tell_their_number_even_where_they_cannot_be_read() {
    let pool = BufferPool::new(16);
    let read = |text: &str| lines::parse_notice(text.as_bytes(), &pool);
    let (serial, notice) =
        read(r#"{"msg":"REAP","serial":7,"call":"a1","how":"OK","duration":3,"blob":"AP8="}"#);
    assert_eq!(serial, Some(7));
    let Ok(Notice::Reap { call, outcome: Outcome::Succeeded, body }) = notice else { panic!("not a REAP") };
    assert_eq!((call.as_str(), &body[..]), ("a1", &[0, 255][..]));
    let (serial, notice) = read(r#"{"msg":"IOREQ","serial":8,"call":"a1","blob":"\u0051UJD"}"#);
    assert!(serial == Some(8) && matches!(notice, Ok(Notice::Call { body, .. }) if *body == *b"ABC"));
    let (_, notice) = read(r#"{"msg":"INFO","cookie":"x","stats":[0.5,3,null,"y"]}"#);
    let Ok(Notice::Info { stats, .. }) = notice else { panic!("not an INFO") };
    assert!(stats[..2] == [0.5, 3.0] && stats[2].is_nan() && stats[3].is_nan());
    for bad in [
        r#"{"msg":"REAP","serial":9,"call":"a1","how":"LOST"}"#,
        r#"{"msg":"REAP","serial":9,"how":"OK"}"#,
        r#"{"msg":"REAP","serial":9,"call":"a1","how":"OK","blob":"?"}"#,
        r#"{"msg":"NEWS","serial":9}"#,
    ] {
        let (serial, notice) = read(bad);
        assert!(serial == Some(9) && notice.is_err(), "{bad}");
    }
    assert!(matches!(read("{"), (None, Err(_))));
    drop((body, call));
    assert_eq!(lines::next_line(b"one\r\ntwo"), Some((&b"one"[..], 5)));
    assert_eq!(lines::next_line(b"two"), None);
}

#[test]
fn ledger_replies_are_found_at_any_cut() {
    let bytes = b"a1 posted 4\r\nx\r\ny\r\na2 expired\r\n";
    for cut in 0..19 {
        assert_eq!(lines::parse_reply(&bytes[..cut], BUFFER_BYTES), NextReply::Incomplete, "{cut}");
    }
    let NextReply::Reply(reply, size) = lines::parse_reply(bytes, BUFFER_BYTES) else { panic!("no reply") };
    assert_eq!((reply.call, reply.outcome, reply.body, size), ("a1", Outcome::Succeeded, &b"x\r\ny"[..], 19));
    let NextReply::Reply(reply, 12) = lines::parse_reply(&bytes[19..], BUFFER_BYTES) else {
        panic!("no reply")
    };
    assert_eq!((reply.call, reply.outcome), ("a2", Outcome::TimedOut));
    for (word, how) in
        [("queue_full", Outcome::Rejected), ("error", Outcome::Failed), ("moot", Outcome::NotStarted)]
    {
        let line = format!("a1 {word}\r\n");
        assert!(
            matches!(lines::parse_reply(line.as_bytes(), BUFFER_BYTES), NextReply::Reply(reply, _) if reply.outcome == how)
        );
    }
    for broken in [
        "a1 posted x\r\n",
        "a1 posted 99999999999999999999\r\n",
        "a1 posted 9000\r\n",
        "a1 posted 1\r\nab\r\n",
        "hello\r\n",
        "a line that is far longer than any reply can be, and goes on and on",
    ] {
        assert!(
            matches!(lines::parse_reply(broken.as_bytes(), BUFFER_BYTES), NextReply::Invalid(_)),
            "{broken}"
        );
    }
    assert!(matches!(lines::parse_reply(b"\xff\r\n", BUFFER_BYTES), NextReply::Invalid(_)));
    assert_eq!(lines::post("a1", 250, b"xy"), b"post a1 250 2\r\nxy\r\n");
}

#[test]
fn the_roster_answers_in_any_parts() {
    let bytes = b"HTTP/1.1 204 No Content\r\nServer: x\r\n\r\n";
    for cut in 0..bytes.len() {
        assert_eq!(http::parse_response(&bytes[..cut]), Ok(None), "{cut}");
    }
    let answer = |text: &str| http::parse_response(text.as_bytes());
    let read = |status, size, keep_alive| Ok(Some(http::Response { status, size, keep_alive }));
    assert_eq!(http::parse_response(bytes), read(204, bytes.len(), true));
    assert_eq!(answer("HTTP/1.1 500 X\r\ncontent-length: 2\r\n\r\n"), Ok(None));
    assert_eq!(answer("HTTP/1.1 500 X\r\ncontent-length: 2\r\n\r\nab"), read(500, 39, true));
    assert_eq!(answer("HTTP/1.0 204 X\r\n\r\n"), read(204, 18, false));
    assert_eq!(answer("HTTP/1.1 204 X\r\nConnection: close\r\n\r\n"), read(204, 37, false));
    for bad in ["SSH-2.0\r\n\r\n", "HTTP/1.1 abc\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"] {
        assert!(answer(bad).is_err(), "{bad}");
    }
    let text = http::report_request("127.0.0.1:1", "n3", true);
    assert!(
        text.starts_with("PUT /roster/n3 HTTP/1.1\r\n") && text.ends_with("\r\n\r\n{\"duty\":\"on\"}"),
        "{text}"
    );
    assert!(text.contains("Content-Length: 13\r\n"));
}

#[test]
fn log_lines_beyond_the_rate_are_counted() {
    let start = Instant::now();
    let written = (0..100).filter(|_| log::check_rate_limit(start).0).count();
    assert_eq!(written, 40);
    assert_eq!(log::check_rate_limit(start + Duration::from_secs(1)), (true, 60));
    assert_eq!(log::check_rate_limit(start + Duration::from_secs(2)), (true, 0));
}

/// Every key of the settings that is read, beside those told by words of their own: whether it has to be there, and what it does
/// not hold. A row that is missing in the table of the program, or is laxer there, is named here.
#[test]
fn every_key_of_the_settings_is_strict() {
    let number = || vec![json!("5"), json!("5s"), json!([1]), json!(true), json!(-1), json!({})];
    let above = || [number(), vec![json!(0)]].concat();
    let part = || [number(), vec![json!(1.5)]].concat();
    let flag = || vec![json!(1), json!("true"), json!([true])];
    let text = || vec![json!(7), json!(""), json!(["x"]), json!(true)];
    let list = || vec![json!({}), json!("x"), json!(3)];
    let numbers = || vec![json!(1), json!([true, 0]), json!([0, -1]), json!(["0"])];
    let flags = || vec![json!(true), json!([true, 1]), json!(["true"])];
    let keys: [(&str, bool, Vec<Value>); 34] = [
        ("categories", true, list()),
        ("categories/1/name", true, text()),
        ("categories/1/aim_ns", true, above()),
        ("categories/1/deadline_ns", true, above()),
        ("categories/1/effect", true, text()),
        ("categories/1/worth", true, number()),
        ("categories/1/late_worth", false, part()),
        ("categories/1/aim_stretch", false, number()),
        ("categories/1/memory_span_ns", false, number()),
        ("customers", false, list()),
        ("customers/1/name", true, text()),
        ("customers/1/allowance_per_s", false, number()),
        ("over_share_worth", false, part()),
        ("counted_by", false, text()),
        ("group_size", false, number()),
        ("limits/retry_after", false, flag()),
        ("limits/max_retry_after_ns", false, number()),
        ("obligations/answer_slack_ns", true, above()),
        ("obligations/tip_multiple", true, above()),
        ("obligations/stop_sending_within_ns", true, number()),
        ("obligations/cold_from", false, part()),
        ("obligations/cold_ns", false, number()),
        ("specifics/cores", true, above()),
        ("specifics/memory_kb", true, above()),
        ("specifics/blowup", true, above()),
        ("specifics/gauges", true, list()),
        ("specifics/upstreams", false, number()),
        ("specifics/calls_out", false, number()),
        ("specifics/calls_over_ns", false, number()),
        ("specifics/stays_for_ns", false, number()),
        ("specifics/fresh_ns", false, number()),
        ("specifics/class_calls", false, flags()),
        ("specifics/degraded_worth", false, numbers()),
        ("specifics/cold", false, flag()),
    ];
    let mut missed = Vec::new();
    for (path, required, wrong) in keys {
        let named = path.replace('/', ".").replace(".1.", "[1].");
        let reads = |value: Value| {
            let mut all: Value =
                serde_json::from_str(include_str!("../../demo/config.json")).expect("the example");
            // The example lacks what is not required.
            let (row, word) = path.rsplit_once('/').unwrap_or(("", path));
            let row = if row.is_empty() { "/settings".to_string() } else { format!("/settings/{row}") };
            all.pointer_mut(&row).expect("the row above it")[word] = value;
            config::parse(&all.to_string(), None, None).map(|_| ())
        };
        let absent = if required { Err(format!("settings.{named} is missing")) } else { Ok(()) };
        let found = reads(Value::Null);
        if found != absent {
            missed.push(format!("{path} absent: {found:?}"));
        }
        for value in wrong {
            let found = reads(value.clone());
            let told = found.as_ref().is_err_and(|what| {
                what.starts_with(&format!("settings.{named}: expected "))
                    && what.ends_with(&value.to_string())
            });
            if !told {
                missed.push(format!("{path} {value}: {found:?}"));
            }
        }
    }
    assert!(missed.is_empty(), "{missed:#?}");
}
