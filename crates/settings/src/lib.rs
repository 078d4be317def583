//! Reads the settings of one server from the platform's JSON, for every adapter. The platform's words end here: what leaves
//! this crate speaks the scheduler's terms. Unknown keys are skipped, absent ones read as zero.

#![warn(missing_docs)]

use cypresscleat_scheduler::{
    DownstreamKind, Gauges, LoadFeedbackKind, RequestClass, RetrySafety, Settings, StopMode, Time,
};
use serde_json::Value;

/// Nanoseconds in a tenth of a millisecond.
pub const NANOS_PER_TIME_UNIT: i64 = 100_000;

/// Names by index, for the messages that carry them.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// The request classes.
    pub classes: Vec<String>,
    /// The tenants.
    pub tenants: Vec<String>,
    /// The gauges, in the order in which they are reported.
    pub gauges: Vec<String>,
}

/// Why settings can't be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The text is no JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A row has no name.
    #[error("{list}[{index}].name is missing or no text")]
    Name {
        /// The key of the list.
        list: &'static str,
        /// The row.
        index: usize,
    },
    /// A class has an unknown retry safety.
    #[error("categories[{index}].effect is {found}")]
    RetrySafety {
        /// The row.
        index: usize,
        /// What stands there.
        found: Value,
    },
}

/// Sets the gauge that the platform calls `name`; others are of no use to the scheduler.
pub fn set_gauge(gauges: &mut Gauges, name: &str, value: f64) {
    match name {
        "core_use" => gauges.core_utilization = Some(value),
        "on_cores" => gauges.runnable_tasks = Some(value),
        "heap_share" => gauges.memory_share = Some(value),
        "links" => gauges.connections = Some(value),
        _ => {}
    }
}

/// Reads settings from their text.
///
/// # Errors
///
/// Returns an error where the text is no JSON, or as [`read_value`] does.
pub fn parse(text: &str, seed: u64) -> Result<(Settings, Names), ReadError> {
    read_value(&serde_json::from_str(text)?, seed)
}

/// Reads settings and the names in them.
///
/// # Errors
///
/// Returns an error where a class or a tenant has no name, or a class an unknown retry safety.
pub fn read_value(all: &Value, seed: u64) -> Result<(Settings, Names), ReadError> {
    let (specifics, obligations, limits) = (&all["specifics"], &all["obligations"], &all["limits"]);
    let names = read_names(all)?;
    let honours_retry_after = flag(&limits["retry_after"]);
    let settings = Settings {
        classes: read_classes(all)?,
        tenant_rates: rows(&all["customers"]).iter().map(|row| number(&row["allowance_per_s"])).collect(),
        over_quota_share: number(&all["over_share_worth"]),
        weight_per_work: all["counted_by"] == "work",
        fleet_size: number(&all["group_size"]),
        client_count: number(&specifics["upstreams"]),
        cores: number(&specifics["cores"]),
        slow_start: flag(&specifics["cold"]),
        slow_start_initial: number(&obligations["cold_from"]),
        slow_start_duration: duration(&obligations["cold_ns"]),
        memory_kb: number(&specifics["memory_kb"]),
        retained_entry_kb: number(&specifics["key_kb"]),
        running_memory_factor: number(&specifics["blowup"]),
        stop_mode: stop_mode(&specifics["halt"]),
        load_feedback: load_feedback(&specifics["say"]),
        downstream: downstream(&specifics["depends_on"]),
        shared_call_quota: number(&specifics["calls_out"]),
        shared_call_window: duration(&specifics["calls_over_ns"]),
        abandoned_call_duration: duration(&specifics["stays_for_ns"]),
        result_freshness: duration(&specifics["fresh_ns"]),
        answer_slack: duration(&obligations["answer_slack_ns"]),
        drain_grace: duration(&obligations["stop_sending_within_ns"]),
        overload_multiple: number(&obligations["tip_multiple"]),
        max_retry_after: if honours_retry_after { duration(&limits["max_retry_after_ns"]) } else { 0 },
        seed,
        pools: Default::default(),
    };
    Ok((settings, names))
}

fn read_names(all: &Value) -> Result<Names, ReadError> {
    let gauge = |name: &Value| name.as_str().unwrap_or("").to_string();
    Ok(Names {
        classes: names_of("categories", &all["categories"])?,
        tenants: names_of("customers", &all["customers"])?,
        gauges: rows(&all["specifics"]["gauges"]).iter().map(gauge).collect(),
    })
}

fn names_of(list: &'static str, value: &Value) -> Result<Vec<String>, ReadError> {
    let name = |(index, row): (usize, &Value)| {
        row["name"].as_str().map(str::to_string).ok_or(ReadError::Name { list, index })
    };
    rows(value).iter().enumerate().map(name).collect()
}

fn read_classes(all: &Value) -> Result<Vec<RequestClass>, ReadError> {
    let specifics = &all["specifics"];
    let class = |(index, row): (usize, &Value)| {
        Ok(RequestClass {
            latency_objective: duration(&row["aim_ns"]),
            objective_per_work: number(&row["aim_stretch"]),
            timeout: duration(&row["deadline_ns"]),
            retry_safety: retry_safety(index, &row["effect"])?,
            priority_weight: number(&row["worth"]),
            late_share: number(&row["late_worth"]),
            degraded_share: number(&specifics["degraded_worth"][index]),
            calls_downstream: flag(&specifics["class_calls"][index]),
            retry_window: duration(&row["memory_span_ns"]),
        })
    };
    rows(&all["categories"]).iter().enumerate().map(class).collect()
}

fn retry_safety(index: usize, word: &Value) -> Result<RetrySafety, ReadError> {
    match word.as_str() {
        Some("retryable") => Ok(RetrySafety::Idempotent),
        Some("dedup") => Ok(RetrySafety::IdempotencyKey),
        Some("fragile") => Ok(RetrySafety::NonIdempotent),
        _ => Err(ReadError::RetrySafety { index, found: word.clone() }),
    }
}

fn stop_mode(word: &Value) -> StopMode {
    match word.as_str() {
        Some("discard") => StopMode::Discard,
        Some("freeze") => StopMode::Freeze,
        _ => StopMode::Unsupported,
    }
}

fn load_feedback(word: &Value) -> LoadFeedbackKind {
    match word.as_str() {
        Some("floor") => LoadFeedbackKind::PriorityFloor,
        Some("allowance") => LoadFeedbackKind::ConcurrencyAllowance,
        Some("weight") => LoadFeedbackKind::Weight,
        _ => LoadFeedbackKind::None,
    }
}

fn downstream(word: &Value) -> DownstreamKind {
    match word.as_str() {
        Some("tier") => DownstreamKind::Tier,
        Some("one_for_all") => DownstreamKind::Shared,
        _ => DownstreamKind::None,
    }
}

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or(0.0)
}

fn duration(value: &Value) -> Time {
    (number(value) / NANOS_PER_TIME_UNIT as f64) as Time
}

fn flag(value: &Value) -> bool {
    value.as_bool().unwrap_or(false)
}

fn rows(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}
