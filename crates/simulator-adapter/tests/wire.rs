//! Feeds the binary a short transcript of our own, whole and spoilt.

use std::io::Write;
use std::process::{Command, Stdio};

const SESSION: &str = include_str!("session.txt");

fn host(input: &str) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cypresscleat-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    let out = child.wait_with_output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (out.status.success(), text(out.stdout), text(out.stderr))
}

#[test]
fn answers_each_batch() {
    let (good, out, complaint) = host(SESSION);
    assert!(good && complaint.is_empty(), "{complaint}");
    let batches: Vec<&str> = out.split_inclusive("DONE\n").collect();
    assert_eq!(batches.len(), 6, "{out}");
    assert_eq!(batches[0], "DONE\n");
    assert_eq!(batches[2], "ADMIT 3 c:one\nDONE\n");
    assert!(batches[3].starts_with("REACH_OUT 3 c:one 1889000000\nADMIT 3 c:two\n"), "{out}");
    assert_eq!(batches[4], "DONE\n");
    assert_eq!(batches[5], "DONE\n");
    assert_eq!(host(SESSION), (good, out, complaint), "the same input gives the same actions");
}

#[test]
fn bad_input_is_named_by_its_line_and_stops_only_what_it_must() {
    let skipped = [
        ("c:one 0 - 0.5", "c:one 2 - 0.5", "line 7: resent is \"2\""),
        ("- read - 1000000 7 0 2", "- write - 1000000 7 0 2", "line 7: no operation named \"write\""),
        ("200000000 10 a", "200000000 10 b", "line 7: no customer named \"b\""),
        ("NEEDS_DEP 3", "NEEDS_DEP 4", "line 11: no instance 4 is open"),
        ("NEEDS_DEP 3", "NEEDS_DAP 3", "line 11: unknown message \"NEEDS_DAP\""),
        ("CALL_DONE 3 c:one served", "CALL_DONE 3 c:one fine", "line 15: outcome is \"fine\""),
        ("core_use:0.5", "core_use", "line 12: gauge \"core_use\" has no value"),
        (
            "\"effect\":\"retryable\"",
            "\"effect\":\"twice\"",
            "line 4: boot_info: categories[0].effect is \"twice\"",
        ),
        ("\"categories\":[", "\"categories\":", "line 4: boot_info"),
    ];
    let ends = [
        ("TURN 5204000000", "5204000000", "line 14: expected TURN"),
        ("STOP 3\nEOB\n", "STOP 3\n", "line 21: input ended inside a batch"),
    ];
    for (at, (from, to, wanted)) in skipped.iter().chain(&ends).enumerate() {
        assert!(SESSION.contains(from), "{from}");
        let (good, out, complaint) = host(&SESSION.replacen(from, to, 1));
        let goes_on = at < skipped.len();
        assert_eq!(good, goes_on, "{to}: {complaint}");
        assert!(complaint.lines().next().is_some_and(|line| line.contains(wanted)), "{to}: {complaint}");
        assert_eq!(out.matches("DONE\n").count() == 6, goes_on, "{to}: {out}");
    }
    let (_, out, _) = host(&SESSION.replacen("- read - 1000000 7 0 2", "- write - 1000000 7 0 2", 1));
    assert!(out.contains("DROP_REQUEST 3 c:one\n"), "what can't be read is answered all the same: {out}");
    let (_, out, _) = host(&SESSION.replacen("core_use:0.5", "core_use", 1));
    assert_eq!(out.matches("SET_TIMER").count(), host(SESSION).1.matches("SET_TIMER").count(), "{out}");
}
