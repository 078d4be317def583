//! Checks texts against schemas: the resulting tree, and every diagnostic with its position. Failing properties print their
//! seed.

use cypresscleat_operator_config::{render, Node, Schema, Value};
use proptest::prelude::*;

fn schema(text: &str) -> Schema {
    let rendered =
        |diagnostics: Vec<cypresscleat_operator_config::Diagnostic>| render("schema", text, &diagnostics);
    Schema::new(text).unwrap_or_else(|diagnostics| panic!("{}", rendered(diagnostics)))
}

/// The checked tree, printed on one line; or one line for each diagnostic.
fn read(schema: &Schema, text: &str) -> Result<String, Vec<String>> {
    match schema.read(text) {
        Ok(node) => Ok(node.to_string().split_whitespace().collect::<Vec<_>>().join(" ")),
        Err(diagnostics) => Err(diagnostics.iter().map(|diagnostic| diagnostic.to_line(text)).collect()),
    }
}

const ALL: &str = r#"
    // One field of each kind that a schema can have.
    #Backend: {
        address: address
        weight:  *1 | (int & >=0 & <=100)
        tags?:   [...string]
    }
    #Root: {
        name:     string & !=""
        ratio:    *0.5 | (number & >0 & <=1)
        wait:     *250ms | (duration & >=1ms & <1m)
        room:     *32KiB | (size & <=1MiB)
        mode:     *"plain" | "strict" | int
        on:       *false | bool
        nothing:  *null | string
        backends: [...#Backend]
        pair?:    [int, string]
        any?:     _
        deep: {
            a: *1 | int
            b?: {c: int}
        }
        others?: {[string]: duration}
        free?: {known: int, ...}
    }
"#;

#[test]
fn given_values_and_defaults_form_the_tree() {
    let all = schema(ALL);
    let minimal = r#"name: "x", backends: []"#;
    let by_default = r#"{ name: "x" ratio: 0.5 wait: 250ms room: 32KiB mode: "plain" on: false nothing: null backends: [] deep: { a: 1 } }"#;
    assert_eq!(read(&all, minimal), Ok(by_default.into()));
    let text = r#"
        name: "x\"\n", ratio: 1   // a comment
        wait: 1.5s
        room: 1_024B; "#
        .replace(';', "");
    let full_text = text
        + r#"
        mode: 7, on: true
        backends: [
            {address: "127.0.0.1:80", tags: ["a", "b",]},
            {address: "[::1]:81", weight: 100},
        ]
        pair: [-3, "p"]
        any: {x: [1, {y: 2.5e3}]}
        deep: b: c: 4
        others: {fast: 1m30s, "two words": 2h, none: 0s}
        free: {known: 1, unknown: "yes"}
    "#;
    let node = all
        .read(&full_text)
        .unwrap_or_else(|diagnostics| panic!("{}", render("text", &full_text, &diagnostics)));
    assert_eq!(node.get("name").text(), "x\"\n");
    assert_eq!((node.get("ratio").number(), node.get("on").boolean()), (1.0, true));
    assert_eq!((node.get("wait").duration().as_millis(), node.get("room").size()), (1500, 1024));
    assert_eq!(node.get("mode").int(), 7);
    let backends = node.get("backends").list();
    assert_eq!(backends[0].get("address").address(), "127.0.0.1:80".parse().ok());
    assert_eq!((backends[0].get("weight").int(), backends[1].get("weight").int()), (1, 100));
    assert_eq!(backends[0].get("tags").list().len(), 2);
    assert_eq!(node.get("deep").get("b").get("c").int(), 4);
    let others: Vec<_> = node
        .get("others")
        .fields()
        .iter()
        .map(|(name, node)| (&name[..], node.duration().as_secs()))
        .collect();
    assert_eq!(others, [("fast", 90), ("two words", 7200), ("none", 0)]);
    assert_eq!(node.get("free").get("unknown").text(), "yes");
    assert_eq!(&full_text[node.get("wait").span_or_start()], "1.5s");
    // The printed tree parses to the same tree.
    let shown = node.to_string();
    let shown = shown.trim().trim_start_matches('{').trim_end_matches('}');
    let again =
        all.read(shown).unwrap_or_else(|diagnostics| panic!("{}", render("text", shown, &diagnostics)));
    assert_eq!(again.to_string(), node.to_string());
}

#[test]
fn every_diagnostic_has_its_position() {
    let all = schema(ALL);
    let cases: [(&str, &[&str]); 22] = [
        ("backends: []", &["1:1: name: missing; expected string & !=\"\""]),
        ("name: \"\", backends: []", &["1:7: name: expected string & !=\"\", found \"\""]),
        ("name: \"x\"\nbackends: 3", &["2:11: backends: expected a list, found 3"]),
        (
            "name: 1\nratio: 0\nwait: 3\nroom: 1s\nbackends: [{address: \"nowhere\"}, {}]\nextra: 1",
            &[
                "1:7: name: expected string & !=\"\", found 1",
                "2:8: ratio: expected 0.5 | number & >0 & <=1, found 0",
                "3:7: wait: expected 250ms | duration & >=1ms & <1m, found 3",
                "4:7: room: expected 32KiB | size & <=1MiB, found 1s",
                "5:22: backends[0].address: expected address, found \"nowhere\"",
                "5:34: backends[1].address: missing; expected address",
                "6:1: extra: no such field; one of name, ratio, wait, room, mode, on, nothing, backends, pair, any, deep, others, free",
            ],
        ),
        ("name: \"x\", backends: []\nwait: 1m", &["2:7: wait: expected 250ms | duration & >=1ms & <1m, found 1m"]),
        ("name: \"x\", backends: []\nmode: \"other\"", &["2:7: mode: expected \"plain\" | \"strict\" | int, found \"other\""]),
        ("name: \"x\", backends: []\npair: [1]", &["2:7: pair: expected a list of length 1, found one of length 2"]),
        ("name: \"x\", backends: []\npair: [1, 2]", &["2:11: pair[1]: expected string, found 2"]),
        ("name: \"x\", backends: []\ndeep: {b: {}}", &["2:11: deep.b.c: missing; expected int"]),
        ("name: \"x\", backends: []\ndeep: {b: {c: 1, d: 2}}", &["2:18: deep.b.d: no such field; one of c"]),
        ("name: \"x\", backends: []\nothers: {a: 1}", &["2:13: others.a: expected duration, found 1"]),
        ("name: \"x\", backends: []\nname: \"y\"", &["2:7: name: \"x\" and \"y\" conflict"]),
        ("name: \"x\", backends: [#None]", &["1:23: backends[0]: no definition #None"]),
        ("name: \"x\", backends: [], any: #A\n#A: {b: #A}", &["2:9: any.b: the definition #A uses itself"]),
        ("name: x, backends: []", &["1:7: \"x\" is not a value or a type; text must be quoted"]),
        ("name: \"x\nbackends: []", &["1:7: text without its closing quote on this line"]),
        ("name: \"x\" backends: []", &["1:11: expected the end of the field: a comma or a new line"]),
        ("name: \"x\", backends: [\nwait: 1ms", &["1:22: a list without its closing bracket"]),
        ("name: \"x\", backends: []\ndeep: {a: 1", &["2:7: a record without its closing brace"]),
        ("name: \"x\", backends: []\nwait: 3parsecs", &["2:7: unknown unit; expected one of ns us ms s m h B KB MB GB KiB MiB GiB"]),
        (
            "name: \"x\", backends: []\n: 3\nwait: 99999999999999999999\nroom:\non: maybe",
            &[
                "2:1: expected a field: `name: value`",
                "3:7: a whole number that is too large",
                "4:6: expected a value",
                "5:5: \"maybe\" is not a value or a type; text must be quoted",
            ],
        ),
        ("name: \"x\", backends: []\nwait: 1s1m", &["2:7: the units of a duration must be in descending order"]),
    ];
    for (text, diagnostics) in cases {
        let expected: Vec<String> = diagnostics.iter().map(|diagnostic| diagnostic.to_string()).collect();
        assert_eq!(read(&all, text), Err(expected), "{text}");
    }
}

#[test]
fn uses_of_definitions_add_constraints() {
    let all = schema(ALL);
    let text = r#"
        #Near: #Backend & {tags: ["near"]}
        name: "x"
        backends: [#Near & {address: "127.0.0.1:1"}, #Near & {address: "127.0.0.1:2", weight: 3}]
    "#;
    let node = all.read(text).unwrap_or_else(|diagnostics| panic!("{}", render("text", text, &diagnostics)));
    let backends = node.get("backends").list();
    assert_eq!(backends.len(), 2);
    assert!(backends.iter().all(|backend| backend.get("tags").list()[0].text() == "near"));
    assert_eq!(backends[1].get("weight").int(), 3);
    let wrong = text.replace("weight: 3", "weight: 101");
    let diagnostics = all.read(&wrong).expect_err("a weight above its maximum");
    assert_eq!(diagnostics[0].path, "backends[1].weight");
    let both = schema("#A: {x: int}\n#Root: {#A, y: *2 | int}");
    assert_eq!(read(&both, "x: 1"), Ok("{ x: 1 y: 2 }".into()));
}

#[test]
fn inconsistent_schemas_are_rejected() {
    let cases = [
        ("#Other: 1", "no definition #Root"),
        ("#Root: {a: #Gone}", "no definition #Gone"),
        ("#Root: {a: #Root}", "the definition #Root uses itself"),
        ("#Root: {a: int & string}", "int and string conflict"),
        ("#Root: {}\n#B: 1 & 2", "1 and 2 conflict"),
        ("#Root: {}\nx: 1", "a schema contains definitions only"),
    ];
    for (text, message) in cases {
        let diagnostics = Schema::new(text).expect_err(text);
        assert!(diagnostics.iter().any(|found| found.message == message), "{text}: {diagnostics:?}");
    }
}

#[test]
fn diagnostics_are_rendered_with_line_column_and_carets() {
    let all = schema("#Root: {wait: duration}");
    let text = "// seconds\nwait: \"soon\"";
    let shown = render("operator.cue", text, &all.read(text).expect_err("text in place of a duration"));
    assert!(shown.contains("Error: wait: expected duration, found \"soon\""), "{shown}");
    assert!(shown.contains("operator.cue:2:7") && shown.contains("^^^"), "{shown}");
    assert!(shown.is_ascii());
}

#[test]
fn oversized_and_deeply_nested_texts_are_rejected() {
    let all = schema("#Root: {...}");
    for deep in [
        "{a:".repeat(100_000),
        "[".repeat(100_000),
        "a: (".repeat(100_000),
        "a:".repeat(100_000),
        "#A & ".repeat(40_000),
    ] {
        let text = format!("a: {deep}");
        assert!(all.read(&text[..text.len().min(200_000)]).is_err());
    }
    assert!(all.read(&"x".repeat(300_000)).is_err());
    let many = "a: !\n".repeat(500);
    assert_eq!(
        all.read(&many).expect_err("diagnostics").len(),
        cypresscleat_operator_config::MAX_DIAGNOSTICS
    );
}

fn node() -> impl Strategy<Value = Node> {
    let plain = |value| Node { value, span: None };
    let leaf = prop_oneof![
        any::<bool>().prop_map(Value::Bool),
        any::<i64>().prop_map(Value::Int),
        (-1e9..1e9f64).prop_map(Value::Number),
        "\\PC{0,12}".prop_map(Value::Text),
        (0u64..1 << 40).prop_map(|ns| Value::Duration(std::time::Duration::from_nanos(ns))),
        (0u64..1 << 40).prop_map(Value::Size),
        Just(Value::Null),
    ];
    leaf.prop_map(plain).prop_recursive(4, 24, 4, move |inner| {
        let fields = proptest::collection::btree_map("[a-z_ ]{1,6}", inner.clone(), 0..4);
        prop_oneof![
            proptest::collection::vec(inner, 0..4).prop_map(move |all| plain(Value::List(all))),
            fields.prop_map(move |all| plain(Value::Record(all.into_iter().collect()))),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn printed_values_parse_to_the_same_value(node in node()) {
        let all = schema("#Root: {value: _}");
        let text = format!("value: {node}");
        let read = all.read(&text);
        prop_assert!(read.is_ok(), "{}", render("text", &text, &read.unwrap_err()));
        prop_assert_eq!(read.unwrap().get("value").to_string(), node.to_string());
    }

    #[test]
    fn no_text_panics(text in "[a-z#:{}\\[\\]\"\\\\|&*.,<>=!?0-9msKiB \n/()]{0,80}") {
        let all = schema(ALL);
        if let Err(diagnostics) = all.read(&text) {
            prop_assert!(!diagnostics.is_empty());
            render("text", &text, &diagnostics);
        }
        let _ = Schema::new(&text);
    }

    #[test]
    fn no_edit_of_a_valid_text_panics(at in any::<usize>(), byte in any::<char>(), cut in any::<bool>()) {
        let valid = "name: \"x\", backends: [{address: \"127.0.0.1:80\"}]\ndeep: {a: 1, b: c: 2}\nwait: 1s\n";
        let at = at % valid.len();
        let text = if cut { valid[..at].to_string() } else { format!("{}{byte}{}", &valid[..at], &valid[at..]) };
        if let Err(diagnostics) = schema(ALL).read(&text) {
            render("text", &text, &diagnostics);
        }
    }
}
