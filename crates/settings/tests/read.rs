//! Tests that every key of the platform's JSON is read into its field, and that missing keys are read as zero.

use cypresscleat_scheduler::*;
use cypresscleat_settings::{parse, set_gauge};

const ALL_KEYS: &str = r#"{
    "categories": [
        {"name": "look", "aim_ns": 1000000000, "aim_stretch": 0.5, "deadline_ns": 2000000000, "effect": "retryable",
         "worth": 2, "late_worth": 0.25},
        {"name": "order", "aim_ns": 300000000, "deadline_ns": 900000000, "effect": "dedup", "worth": 5,
         "memory_span_ns": 60000000000},
        {"name": "post", "aim_ns": 100000, "deadline_ns": 200000, "effect": "fragile", "worth": 1}
    ],
    "customers": [{"name": "acme", "allowance_per_s": 12.5}, {"name": "zeta"}],
    "over_share_worth": 0.1, "counted_by": "work", "group_size": 40,
    "limits": {"retry_after": true, "max_retry_after_ns": 3000000000},
    "obligations": {"cold_from": 0.2, "cold_ns": 10000000000, "answer_slack_ns": 60000000,
                    "stop_sending_within_ns": 1000000000, "tip_multiple": 8},
    "specifics": {"degraded_worth": [0, 0.5, 0], "class_calls": [true, false, true], "upstreams": 9, "cores": 4,
                  "cold": true, "memory_kb": 60000, "key_kb": 4, "blowup": 6, "halt": "freeze", "say": "allowance",
                  "depends_on": "one_for_all", "calls_out": 3, "calls_over_ns": 5000000000,
                  "stays_for_ns": 200000000, "fresh_ns": 400000000, "gauges": ["core_use", "links"]}
}"#;

fn class(objective: Time, timeout: Time, retry_safety: RetrySafety, priority_weight: f64) -> RequestClass {
    RequestClass {
        latency_objective: objective,
        timeout,
        retry_safety,
        priority_weight,
        ..RequestClass::default()
    }
}

#[test]
fn every_key_is_read_into_its_field() {
    let (settings, names) = parse(ALL_KEYS, 77).expect("good settings");
    let look = class(10_000, 20_000, RetrySafety::Idempotent, 2.0);
    let order = class(3_000, 9_000, RetrySafety::IdempotencyKey, 5.0);
    let post = class(1, 2, RetrySafety::NonIdempotent, 1.0);
    let expected = Settings {
        classes: vec![
            RequestClass { objective_per_work: 0.5, late_share: 0.25, calls_downstream: true, ..look },
            RequestClass { degraded_share: 0.5, retry_window: 600_000, ..order },
            RequestClass { calls_downstream: true, ..post },
        ],
        tenant_rates: vec![12.5, 0.0],
        over_quota_share: 0.1,
        weight_per_work: true,
        fleet_size: 40.0,
        client_count: 9.0,
        cores: 4.0,
        slow_start: true,
        slow_start_initial: 0.2,
        slow_start_duration: 100_000,
        memory_kb: 60_000.0,
        retained_entry_kb: 4.0,
        running_memory_factor: 6.0,
        stop_mode: StopMode::Freeze,
        load_feedback: LoadFeedbackKind::ConcurrencyAllowance,
        downstream: DownstreamKind::Shared,
        shared_call_quota: 3.0,
        shared_call_window: 50_000,
        abandoned_call_duration: 2_000,
        result_freshness: 4_000,
        answer_slack: 600,
        drain_grace: 10_000,
        overload_multiple: 8.0,
        max_retry_after: 30_000,
        seed: 77,
        pools: Default::default(),
    };
    assert_eq!(format!("{settings:#?}"), format!("{expected:#?}"));
    let actual = format!("{names:?}");
    for name in ["look", "order", "post", "acme", "zeta", "core_use", "links"] {
        assert!(actual.contains(&format!("{name:?}")), "{name} is missing in {actual}");
    }
}

#[test]
fn platform_values_map_to_kinds() {
    let settings_with = |key: &str, value: &str| {
        let text = format!(r#"{{"specifics": {{"{key}": "{value}"}}}}"#);
        parse(&text, 0).expect("good settings").0
    };
    for (value, mode) in
        [("discard", StopMode::Discard), ("freeze", StopMode::Freeze), ("other", StopMode::Unsupported)]
    {
        assert_eq!(settings_with("halt", value).stop_mode, mode, "{value}");
    }
    let feedback = [
        ("floor", LoadFeedbackKind::PriorityFloor),
        ("allowance", LoadFeedbackKind::ConcurrencyAllowance),
        ("weight", LoadFeedbackKind::Weight),
        ("other", LoadFeedbackKind::None),
    ];
    for (value, kind) in feedback {
        assert_eq!(settings_with("say", value).load_feedback, kind, "{value}");
    }
    for (value, kind) in [
        ("tier", DownstreamKind::Tier),
        ("one_for_all", DownstreamKind::Shared),
        ("other", DownstreamKind::None),
    ] {
        assert_eq!(settings_with("depends_on", value).downstream, kind, "{value}");
    }
}

#[test]
fn disabled_retry_after_is_read_as_zero() {
    let text = r#"{"limits": {"retry_after": false, "max_retry_after_ns": 3000000000}}"#;
    assert_eq!(parse(text, 0).expect("good settings").0.max_retry_after, 0);
}

#[test]
fn errors_name_their_key() {
    let cases = [
        (r#"{"categories": [{"aim_ns": 1}]}"#, "categories[0].name is missing or not a string"),
        (r#"{"customers": [{"name": "a"}, {"name": 4}]}"#, "customers[1].name is missing or not a string"),
        (
            r#"{"categories": [{"name": "a", "effect": "twice"}]}"#,
            r#"categories[0].effect has the unknown value "twice""#,
        ),
        (r#"{"categories": [{"name": "a"}]}"#, "categories[0].effect has the unknown value null"),
        ("[", "EOF while parsing a list at line 1 column 1"),
    ];
    for (text, error) in cases {
        assert_eq!(parse(text, 0).expect_err(text).to_string(), error);
    }
}

#[test]
fn gauges_are_set_by_the_platforms_names() {
    let mut gauges = Gauges::default();
    for (index, name) in ["core_use", "on_cores", "heap_share", "links", "unknown"].into_iter().enumerate() {
        set_gauge(&mut gauges, name, index as f64);
    }
    let actual = [gauges.core_utilization, gauges.runnable_tasks, gauges.memory_share, gauges.connections];
    assert_eq!(actual, [Some(0.0), Some(1.0), Some(2.0), Some(3.0)]);
}
