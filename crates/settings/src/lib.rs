//! Reads the settings of one app server from their JSON form, for every adapter; unknown keys are skipped,
//! absent ones read as zero.

use cypresscleat_scheduler::*;
use serde_json::Value;

/// Nanoseconds in a tenth of a millisecond.
pub const NS: i64 = 100_000;

/// Names by index, for the messages that carry them.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub operations: Vec<String>,
    pub customers: Vec<String>,
    /// What the gauges are called, in the order in which they are told.
    pub gauges: Vec<String>,
}

/// Sets the gauge of that name; others are of no use to the module.
pub fn set_gauge(read: &mut Gauges, name: &str, value: f64) {
    match name {
        "core_use" => read.core_utilization = Some(value),
        "on_cores" => read.runnable_tasks = Some(value),
        "heap_share" => read.memory_share = Some(value),
        "links" => read.connections = Some(value),
        _ => {}
    }
}

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or(0.0)
}

fn span(value: &Value) -> Time {
    (number(value) / NS as f64) as Time
}

fn flag(value: &Value) -> bool {
    value.as_bool().unwrap_or(false)
}

fn rows(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn names(key: &str, value: &Value) -> Result<Vec<String>, String> {
    let name = |row: &Value| row["name"].as_str().map(str::to_string);
    let named = |(at, row)| name(row).ok_or_else(|| format!("{key}[{at}].name is missing or no text"));
    rows(value).iter().enumerate().map(named).collect()
}

pub fn read_text(text: &str, seed: u64) -> Result<(Settings, Names), String> {
    read(&serde_json::from_str(text).map_err(|error| error.to_string())?, seed)
}

pub fn read(all: &Value, seed: u64) -> Result<(Settings, Names), String> {
    let (own, rules) = (&all["specifics"], &all["obligations"]);
    let gauges = rows(&own["gauges"]).iter().map(|name| name.as_str().unwrap_or("").to_string()).collect();
    let names = Names {
        operations: names("categories", &all["categories"])?,
        customers: names("customers", &all["customers"])?,
        gauges,
    };
    let operation = |(at, row): (usize, &Value)| {
        Ok(RequestClass {
            latency_objective: span(&row["aim_ns"]),
            objective_per_work: number(&row["aim_stretch"]),
            timeout: span(&row["deadline_ns"]),
            retry_safety: match row["effect"].as_str() {
                Some("retryable") => RetrySafety::Idempotent,
                Some("dedup") => RetrySafety::IdempotencyKey,
                Some("fragile") => RetrySafety::NonIdempotent,
                _ => return Err(format!("categories[{at}].effect is {}", row["effect"])),
            },
            priority_weight: number(&row["worth"]),
            late_share: number(&row["late_worth"]),
            degraded_share: number(&own["degraded_worth"][at]),
            calls_downstream: flag(&own["class_calls"][at]),
            retry_window: span(&row["memory_span_ns"]),
        })
    };
    let settings = Settings {
        classes: rows(&all["categories"]).iter().enumerate().map(operation).collect::<Result<_, String>>()?,
        tenant_rates: rows(&all["customers"]).iter().map(|row| number(&row["allowance_per_s"])).collect(),
        over_quota_share: number(&all["over_share_worth"]),
        weight_per_work: all["counted_by"] == "work",
        fleet_size: number(&all["group_size"]),
        client_count: number(&own["upstreams"]),
        cores: number(&own["cores"]),
        slow_start: flag(&own["cold"]),
        slow_start_initial: number(&rules["cold_from"]),
        slow_start_duration: span(&rules["cold_ns"]),
        memory_kb: number(&own["memory_kb"]),
        retained_entry_kb: number(&own["key_kb"]),
        running_memory_factor: number(&own["blowup"]),
        stop_mode: match own["halt"].as_str() {
            Some("discard") => StopMode::Discard,
            Some("freeze") => StopMode::Freeze,
            _ => StopMode::Unsupported,
        },
        load_feedback: match own["say"].as_str() {
            Some("floor") => LoadFeedbackKind::PriorityFloor,
            Some("allowance") => LoadFeedbackKind::ConcurrencyAllowance,
            Some("weight") => LoadFeedbackKind::Weight,
            _ => LoadFeedbackKind::None,
        },
        downstream: match own["depends_on"].as_str() {
            Some("tier") => DownstreamKind::Tier,
            Some("one_for_all") => DownstreamKind::Shared,
            _ => DownstreamKind::None,
        },
        shared_call_quota: number(&own["calls_out"]),
        shared_call_window: span(&own["calls_over_ns"]),
        abandoned_call_duration: span(&own["stays_for_ns"]),
        result_freshness: span(&own["fresh_ns"]),
        answer_slack: span(&rules["answer_slack_ns"]),
        drain_grace: span(&rules["stop_sending_within_ns"]),
        overload_multiple: number(&rules["tip_multiple"]),
        max_retry_after: if flag(&all["limits"]["retry_after"]) {
            span(&all["limits"]["max_retry_after_ns"])
        } else {
            0
        },
        seed,
        pools: Default::default(),
    };
    Ok((settings, names))
}
