//! Parsers with truncated and invalid input. Messages are written out as bytes of the protocol.

use cypresscleat_scheduler::Outcome;
use cypresscleat_server::config;
use cypresscleat_server::frames::{self, NextFrame};
use cypresscleat_server::lines::{self, NextReply, Notice};
use cypresscleat_server::pool::{BufferPool, BUFFER_BYTES};
use cypresscleat_server::{http, log};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

#[test]
fn frames_are_parsed_from_any_prefix() {
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
fn truncated_fields_are_rejected_as_a_whole() {
    let payload = b"\x02\x04verb\0\x03buy\x03txn\0\x02a1body";
    let (fields, body) = frames::parse_fields(payload).expect("fields");
    assert_eq!((fields, body), (vec![("verb", "buy"), ("txn", "a1")], &b"body"[..]));
    for cut in 0..payload.len() - 4 {
        assert!(frames::parse_fields(&payload[..cut]).is_none(), "{cut}");
    }
    assert!(frames::parse_fields(b"\x01\x01\xff\0\0").is_none(), "names must be UTF-8");
    let mut written = Vec::new();
    frames::write_fields(&mut written, &[("verb", "buy"), ("txn", "a1")]);
    assert_eq!(written, payload[..payload.len() - 4]);
}

#[test]
fn executor_notices_keep_their_serial_number_even_if_invalid() {
    let pool = BufferPool::new(16);
    let parse = |text: &str| lines::parse_notice(text.as_bytes(), &pool);
    let (serial, notice) =
        parse(r#"{"msg":"REAP","serial":7,"call":"a1","how":"OK","duration":3,"blob":"AP8="}"#);
    assert_eq!(serial, Some(7));
    let Ok(Notice::Reap { call, outcome: Outcome::Succeeded, body }) = notice else { panic!("not a REAP") };
    assert_eq!((call.as_str(), &body[..]), ("a1", &[0, 255][..]));
    let (serial, notice) = parse(r#"{"msg":"IOREQ","serial":8,"call":"a1","blob":"\u0051UJD"}"#);
    assert!(serial == Some(8) && matches!(notice, Ok(Notice::Call { body, .. }) if *body == *b"ABC"));
    let (_, notice) = parse(r#"{"msg":"INFO","cookie":"x","stats":[0.5,3,null,"y"]}"#);
    let Ok(Notice::Info { stats, .. }) = notice else { panic!("not an INFO") };
    assert!(stats[..2] == [0.5, 3.0] && stats[2].is_nan() && stats[3].is_nan());
    for bad in [
        r#"{"msg":"REAP","serial":9,"call":"a1","how":"LOST"}"#,
        r#"{"msg":"REAP","serial":9,"how":"OK"}"#,
        r#"{"msg":"REAP","serial":9,"call":"a1","how":"OK","blob":"?"}"#,
        r#"{"msg":"NEWS","serial":9}"#,
    ] {
        let (serial, notice) = parse(bad);
        assert!(serial == Some(9) && notice.is_err(), "{bad}");
    }
    assert!(matches!(parse("{"), (None, Err(_))));
    drop((body, call));
    assert_eq!(lines::next_line(b"one\r\ntwo"), Some((&b"one"[..], 5)));
    assert_eq!(lines::next_line(b"two"), None);
}

#[test]
fn downstream_proxy_replies_are_parsed_from_any_prefix() {
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
    for (word, outcome) in
        [("queue_full", Outcome::Rejected), ("error", Outcome::Failed), ("moot", Outcome::NotStarted)]
    {
        let line = format!("a1 {word}\r\n");
        assert!(
            matches!(lines::parse_reply(line.as_bytes(), BUFFER_BYTES), NextReply::Reply(reply, _) if reply.outcome == outcome)
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
fn registry_responses_are_parsed_from_any_prefix() {
    let bytes = b"HTTP/1.1 204 No Content\r\nServer: x\r\n\r\n";
    for cut in 0..bytes.len() {
        assert_eq!(http::parse_response(&bytes[..cut]), Ok(None), "{cut}");
    }
    let parse = |text: &str| http::parse_response(text.as_bytes());
    let response = |status, size, keep_alive| Ok(Some(http::Response { status, size, keep_alive }));
    assert_eq!(http::parse_response(bytes), response(204, bytes.len(), true));
    assert_eq!(parse("HTTP/1.1 500 X\r\ncontent-length: 2\r\n\r\n"), Ok(None));
    assert_eq!(parse("HTTP/1.1 500 X\r\ncontent-length: 2\r\n\r\nab"), response(500, 39, true));
    assert_eq!(parse("HTTP/1.0 204 X\r\n\r\n"), response(204, 18, false));
    assert_eq!(parse("HTTP/1.1 204 X\r\nConnection: close\r\n\r\n"), response(204, 37, false));
    for bad in ["SSH-2.0\r\n\r\n", "HTTP/1.1 abc\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"] {
        assert!(parse(bad).is_err(), "{bad}");
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

/// Every key of the settings except those that take words of their own: whether the key is required, and which values it must
/// reject. The test names each row that is missing in the program's table or accepts too much there.
#[test]
fn every_key_of_the_settings_rejects_invalid_values() {
    let not_a_number = || vec![json!("5"), json!("5s"), json!([1]), json!(true), json!(-1), json!({})];
    let not_above_zero = || [not_a_number(), vec![json!(0)]].concat();
    let not_a_fraction = || [not_a_number(), vec![json!(1.5)]].concat();
    let not_a_flag = || vec![json!(1), json!("true"), json!([true])];
    let not_a_text = || vec![json!(7), json!(""), json!(["x"]), json!(true)];
    let not_a_list = || vec![json!({}), json!("x"), json!(3)];
    let not_numbers = || vec![json!(1), json!([true, 0]), json!([0, -1]), json!(["0"])];
    let not_flags = || vec![json!(true), json!([true, 1]), json!(["true"])];
    let keys: [(&str, bool, Vec<Value>); 34] = [
        ("categories", true, not_a_list()),
        ("categories/1/name", true, not_a_text()),
        ("categories/1/aim_ns", true, not_above_zero()),
        ("categories/1/deadline_ns", true, not_above_zero()),
        ("categories/1/effect", true, not_a_text()),
        ("categories/1/worth", true, not_a_number()),
        ("categories/1/late_worth", false, not_a_fraction()),
        ("categories/1/aim_stretch", false, not_a_number()),
        ("categories/1/memory_span_ns", false, not_a_number()),
        ("customers", false, not_a_list()),
        ("customers/1/name", true, not_a_text()),
        ("customers/1/allowance_per_s", false, not_a_number()),
        ("over_share_worth", false, not_a_fraction()),
        ("counted_by", false, not_a_text()),
        ("group_size", false, not_a_number()),
        ("limits/retry_after", false, not_a_flag()),
        ("limits/max_retry_after_ns", false, not_a_number()),
        ("obligations/answer_slack_ns", true, not_above_zero()),
        ("obligations/tip_multiple", true, not_above_zero()),
        ("obligations/stop_sending_within_ns", true, not_a_number()),
        ("obligations/cold_from", false, not_a_fraction()),
        ("obligations/cold_ns", false, not_a_number()),
        ("specifics/cores", true, not_above_zero()),
        ("specifics/memory_kb", true, not_above_zero()),
        ("specifics/blowup", true, not_above_zero()),
        ("specifics/gauges", true, not_a_list()),
        ("specifics/upstreams", false, not_a_number()),
        ("specifics/calls_out", false, not_a_number()),
        ("specifics/calls_over_ns", false, not_a_number()),
        ("specifics/stays_for_ns", false, not_a_number()),
        ("specifics/fresh_ns", false, not_a_number()),
        ("specifics/class_calls", false, not_flags()),
        ("specifics/degraded_worth", false, not_numbers()),
        ("specifics/cold", false, not_a_flag()),
    ];
    let mut violations = Vec::new();
    for (path, required, invalid_values) in keys {
        let key_path = path.replace('/', ".").replace(".1.", "[1].");
        let parse_with = |value: Value| {
            let mut json_config: Value = serde_json::from_str(include_str!("../../demo/config.json"))
                .expect("the example configuration");
            // The example configuration has no optional keys.
            let (parent, key) = path.rsplit_once('/').unwrap_or(("", path));
            let parent =
                if parent.is_empty() { "/settings".to_string() } else { format!("/settings/{parent}") };
            json_config.pointer_mut(&parent).expect("the parent object")[key] = value;
            config::parse(&json_config.to_string(), None, None).map(|_| ())
        };
        let expected_if_absent =
            if required { Err(format!("settings.{key_path} is missing")) } else { Ok(()) };
        let found = parse_with(Value::Null);
        if found != expected_if_absent {
            violations.push(format!("{path} absent: {found:?}"));
        }
        for value in invalid_values {
            let found = parse_with(value.clone());
            let is_named = found.as_ref().is_err_and(|what| {
                what.starts_with(&format!("settings.{key_path}: expected "))
                    && what.ends_with(&value.to_string())
            });
            if !is_named {
                violations.push(format!("{path} {value}: {found:?}"));
            }
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
