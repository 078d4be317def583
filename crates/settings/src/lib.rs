//! Reads the settings of one app server from their JSON form, for every adapter; unknown keys are skipped,
//! absent ones read as zero.

use cypresscleat_scheduler::api::*;
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
        "core_use" => read.core_use = Some(value),
        "on_cores" => read.on_cores = Some(value),
        "heap_share" => read.memory = Some(value),
        "links" => read.links = Some(value),
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
        Ok(Operation {
            objective: span(&row["aim_ns"]),
            stretch: number(&row["aim_stretch"]),
            timeout: span(&row["deadline_ns"]),
            effect: match row["effect"].as_str() {
                Some("retryable") => Effect::Idempotent,
                Some("dedup") => Effect::Tokened,
                Some("fragile") => Effect::NonIdempotent,
                _ => return Err(format!("categories[{at}].effect is {}", row["effect"])),
            },
            billed: number(&row["worth"]),
            late: number(&row["late_worth"]),
            skipped: number(&own["degraded_worth"][at]),
            calls: flag(&own["class_calls"][at]),
            window: span(&row["memory_span_ns"]),
        })
    };
    let settings = Settings {
        operations: rows(&all["categories"])
            .iter()
            .enumerate()
            .map(operation)
            .collect::<Result<_, String>>()?,
        customers: rows(&all["customers"]).iter().map(|row| number(&row["allowance_per_s"])).collect(),
        over_share: number(&all["over_share_worth"]),
        by_work: all["counted_by"] == "work",
        servers: number(&all["group_size"]),
        callers: number(&own["upstreams"]),
        cores: number(&own["cores"]),
        cold: flag(&own["cold"]),
        cold_from: number(&rules["cold_from"]),
        cold_for: span(&rules["cold_ns"]),
        memory_kb: number(&own["memory_kb"]),
        entry_kb: number(&own["key_kb"]),
        blowup: number(&own["blowup"]),
        halt: match own["halt"].as_str() {
            Some("discard") => Halt::Discard,
            Some("freeze") => Halt::Freeze,
            _ => Halt::Never,
        },
        say: match own["say"].as_str() {
            Some("floor") => Say::Floor,
            Some("allowance") => Say::Allowance,
            Some("weight") => Say::Weight,
            _ => Say::Nothing,
        },
        below: match own["depends_on"].as_str() {
            Some("tier") => Below::Tier,
            Some("one_for_all") => Below::Shared,
            _ => Below::Nothing,
        },
        calls_out: number(&own["calls_out"]),
        calls_over: span(&own["calls_over_ns"]),
        lingers: span(&own["stays_for_ns"]),
        fresh: span(&own["fresh_ns"]),
        slack: span(&rules["answer_slack_ns"]),
        drain_grace: span(&rules["stop_sending_within_ns"]),
        tip: number(&rules["tip_multiple"]),
        max_backoff: if flag(&all["limits"]["retry_after"]) {
            span(&all["limits"]["max_retry_after_ns"])
        } else {
            0
        },
        seed,
        pools: Default::default(),
    };
    Ok((settings, names))
}
