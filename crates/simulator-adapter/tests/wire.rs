//! Runs the binary on a short session, both unchanged and with invalid lines.

use std::io::Write;
use std::process::{Command, Stdio};

const SESSION: &str = include_str!("session.txt");

fn run_adapter(input: &str) -> (bool, String, String) {
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
fn responds_to_each_batch() {
    let (succeeded, out, errors) = run_adapter(SESSION);
    assert!(succeeded && errors.is_empty(), "{errors}");
    let batches: Vec<&str> = out.split_inclusive("DONE\n").collect();
    assert_eq!(batches.len(), 6, "{out}");
    assert_eq!(batches[0], "DONE\n");
    assert_eq!(batches[2], "ADMIT 3 c:one\nDONE\n");
    assert!(batches[3].starts_with("REACH_OUT 3 c:one 1889000000\nADMIT 3 c:two\n"), "{out}");
    assert_eq!(batches[4], "DONE\n");
    assert_eq!(batches[5], "DONE\n");
    assert_eq!(run_adapter(SESSION), (succeeded, out, errors), "the same input must give the same actions");
}

#[test]
fn invalid_input_is_reported_by_line_and_only_malformed_batches_are_fatal() {
    let skipped = [
        ("c:one 0 - 0.5", "c:one 2 - 0.5", "line 7: resent is \"2\""),
        ("- read - 1000000 7 0 2", "- write - 1000000 7 0 2", "line 7: no operation named \"write\""),
        ("200000000 10 a", "200000000 10 b", "line 7: no customer named \"b\""),
        ("NEEDS_DEP 3", "NEEDS_DEP 4", "line 11: instance 4 is not open"),
        ("NEEDS_DEP 3", "NEEDS_DAP 3", "line 11: unknown event \"NEEDS_DAP\""),
        ("CALL_DONE 3 c:one served", "CALL_DONE 3 c:one fine", "line 15: unknown outcome \"fine\""),
        ("core_use:0.5", "core_use", "line 12: gauge \"core_use\" has no value"),
        (
            "\"effect\":\"retryable\"",
            "\"effect\":\"twice\"",
            "line 4: boot_info: categories[0].effect has the unknown value \"twice\"",
        ),
        ("\"categories\":[", "\"categories\":", "line 4: boot_info"),
    ];
    let fatal = [
        ("TURN 5204000000", "5204000000", "line 14: expected TURN"),
        ("STOP 3\nEOB\n", "STOP 3\n", "line 21: input ended inside a batch"),
    ];
    for (index, (from, to, expected)) in skipped.iter().chain(&fatal).enumerate() {
        assert!(SESSION.contains(from), "{from}");
        let (succeeded, out, errors) = run_adapter(&SESSION.replacen(from, to, 1));
        let continues = index < skipped.len();
        assert_eq!(succeeded, continues, "{to}: {errors}");
        assert!(errors.lines().next().is_some_and(|line| line.contains(expected)), "{to}: {errors}");
        assert_eq!(out.matches("DONE\n").count() == 6, continues, "{to}: {out}");
    }
    let (_, out, _) = run_adapter(&SESSION.replacen("- read - 1000000 7 0 2", "- write - 1000000 7 0 2", 1));
    assert!(out.contains("DROP_REQUEST 3 c:one\n"), "an invalid request gets no response: {out}");
    let (_, out, _) = run_adapter(&SESSION.replacen("core_use:0.5", "core_use", 1));
    assert_eq!(
        out.matches("SET_TIMER").count(),
        run_adapter(SESSION).1.matches("SET_TIMER").count(),
        "{out}"
    );
}
