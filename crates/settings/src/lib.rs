//! Reads the settings of one server from the platform's JSON, for all adapters. The crate translates the platform's keys and
//! values to the terms of the scheduler. Unknown keys are ignored; missing keys are read as zero.

#![warn(missing_docs)]

use cypresscleat_scheduler::{
    DownstreamKind, Gauges, LoadFeedbackKind, RequestClass, RetrySafety, Settings, StopMode, Time,
};
use serde_json::Value;

/// Nanoseconds per unit of [`Time`], which is a tenth of a millisecond.
pub const NANOS_PER_TIME_UNIT: i64 = 100_000;

/// Names of request classes, tenants and gauges by index, for messages that refer to them by name.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Names of the request classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the gauges, in the order in which they are reported.
    pub gauges: Vec<String>,
}

/// Why settings can't be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The text is not valid JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// An entry of a list has no name.
    #[error("{list}[{index}].name is missing or not a string")]
    Name {
        /// The key of the list.
        list: &'static str,
        /// The index of the entry.
        index: usize,
    },
    /// A request class has an unknown retry safety.
    #[error("categories[{index}].effect has the unknown value {found}")]
    RetrySafety {
        /// The index of the request class.
        index: usize,
        /// The value found.
        found: Value,
    },
}

/// Sets the gauge with the platform's name `name`. Unknown names are ignored, since the scheduler doesn't use those gauges.
pub fn set_gauge(gauges: &mut Gauges, name: &str, value: f64) {
    match name {
        "core_use" => gauges.core_utilization = Some(value),
        "on_cores" => gauges.runnable_tasks = Some(value),
        "heap_share" => gauges.memory_share = Some(value),
        "links" => gauges.connections = Some(value),
        _ => {}
    }
}

/// Parses settings from JSON text.
///
/// # Errors
///
/// Returns an error if the text is not valid JSON, and all errors of [`read_value`].
pub fn parse(text: &str, seed: u64) -> Result<(Settings, Names), ReadError> {
    read_value(&serde_json::from_str(text)?, seed)
}

/// Reads settings, and the names that they define, from a JSON value.
///
/// # Errors
///
/// Returns an error if a request class or a tenant has no name, or if a request class has an unknown retry safety.
pub fn read_value(root: &Value, seed: u64) -> Result<(Settings, Names), ReadError> {
    let (specifics, obligations, limits) = (&root["specifics"], &root["obligations"], &root["limits"]);
    let names = read_names(root)?;
    let respects_retry_after = read_flag(&limits["retry_after"]);
    let settings = Settings {
        classes: read_classes(root)?,
        tenant_rates: entries(&root["customers"])
            .iter()
            .map(|entry| read_number(&entry["allowance_per_s"]))
            .collect(),
        over_quota_share: read_number(&root["over_share_worth"]),
        weight_per_work: root["counted_by"] == "work",
        fleet_size: read_number(&root["group_size"]),
        client_count: read_number(&specifics["upstreams"]),
        cores: read_number(&specifics["cores"]),
        slow_start: read_flag(&specifics["cold"]),
        slow_start_initial: read_number(&obligations["cold_from"]),
        slow_start_duration: read_duration(&obligations["cold_ns"]),
        memory_kb: read_number(&specifics["memory_kb"]),
        retained_entry_kb: read_number(&specifics["key_kb"]),
        running_memory_factor: read_number(&specifics["blowup"]),
        stop_mode: read_stop_mode(&specifics["halt"]),
        load_feedback: read_load_feedback(&specifics["say"]),
        downstream: read_downstream(&specifics["depends_on"]),
        shared_call_quota: read_number(&specifics["calls_out"]),
        shared_call_window: read_duration(&specifics["calls_over_ns"]),
        abandoned_call_duration: read_duration(&specifics["stays_for_ns"]),
        result_freshness: read_duration(&specifics["fresh_ns"]),
        answer_slack: read_duration(&obligations["answer_slack_ns"]),
        drain_grace: read_duration(&obligations["stop_sending_within_ns"]),
        overload_multiple: read_number(&obligations["tip_multiple"]),
        max_retry_after: if respects_retry_after { read_duration(&limits["max_retry_after_ns"]) } else { 0 },
        seed,
        pools: Default::default(),
    };
    Ok((settings, names))
}

fn read_names(root: &Value) -> Result<Names, ReadError> {
    let gauge = |name: &Value| name.as_str().unwrap_or("").to_string();
    Ok(Names {
        classes: read_name_list("categories", &root["categories"])?,
        tenants: read_name_list("customers", &root["customers"])?,
        gauges: entries(&root["specifics"]["gauges"]).iter().map(gauge).collect(),
    })
}

fn read_name_list(list: &'static str, value: &Value) -> Result<Vec<String>, ReadError> {
    let name = |(index, entry): (usize, &Value)| {
        entry["name"].as_str().map(str::to_string).ok_or(ReadError::Name { list, index })
    };
    entries(value).iter().enumerate().map(name).collect()
}

fn read_classes(root: &Value) -> Result<Vec<RequestClass>, ReadError> {
    let specifics = &root["specifics"];
    let class = |(index, entry): (usize, &Value)| {
        Ok(RequestClass {
            latency_objective: read_duration(&entry["aim_ns"]),
            objective_per_work: read_number(&entry["aim_stretch"]),
            timeout: read_duration(&entry["deadline_ns"]),
            retry_safety: read_retry_safety(index, &entry["effect"])?,
            priority_weight: read_number(&entry["worth"]),
            late_share: read_number(&entry["late_worth"]),
            degraded_share: read_number(&specifics["degraded_worth"][index]),
            calls_downstream: read_flag(&specifics["class_calls"][index]),
            retry_window: read_duration(&entry["memory_span_ns"]),
        })
    };
    entries(&root["categories"]).iter().enumerate().map(class).collect()
}

fn read_retry_safety(index: usize, value: &Value) -> Result<RetrySafety, ReadError> {
    match value.as_str() {
        Some("retryable") => Ok(RetrySafety::Idempotent),
        Some("dedup") => Ok(RetrySafety::IdempotencyKey),
        Some("fragile") => Ok(RetrySafety::NonIdempotent),
        _ => Err(ReadError::RetrySafety { index, found: value.clone() }),
    }
}

fn read_stop_mode(value: &Value) -> StopMode {
    match value.as_str() {
        Some("discard") => StopMode::Discard,
        Some("freeze") => StopMode::Freeze,
        _ => StopMode::Unsupported,
    }
}

fn read_load_feedback(value: &Value) -> LoadFeedbackKind {
    match value.as_str() {
        Some("floor") => LoadFeedbackKind::PriorityFloor,
        Some("allowance") => LoadFeedbackKind::ConcurrencyAllowance,
        Some("weight") => LoadFeedbackKind::Weight,
        _ => LoadFeedbackKind::None,
    }
}

fn read_downstream(value: &Value) -> DownstreamKind {
    match value.as_str() {
        Some("tier") => DownstreamKind::Tier,
        Some("one_for_all") => DownstreamKind::Shared,
        _ => DownstreamKind::None,
    }
}

fn read_number(value: &Value) -> f64 {
    value.as_f64().unwrap_or(0.0)
}

fn read_duration(value: &Value) -> Time {
    (read_number(value) / NANOS_PER_TIME_UNIT as f64) as Time
}

fn read_flag(value: &Value) -> bool {
    value.as_bool().unwrap_or(false)
}

fn entries(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}
