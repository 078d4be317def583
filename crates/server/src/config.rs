//! Reads the environment and the file that EDGE_CONFIG names, with checks and defaults. Error messages name the invalid
//! key. No other module reads either.

use cypresscleat_scheduler::*;
use cypresscleat_settings::{self as settings, Names};
use serde_json::Value;
use std::cell::Cell;
use std::net::{SocketAddr, ToSocketAddrs};
use tokio::sync::Notify;

const DEFAULT_MEMORY_MB: u64 = 192;
const DEFAULT_SOCKETS: u64 = 1024;
const DEFAULT_DRAIN_MS: u64 = 3000;

/// The platform's configuration.
#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// The executor.
    pub kernel: SocketAddr,
    /// The service registry.
    pub roster: Option<SocketAddr>,
    /// The downstream proxy.
    pub ledger: Option<SocketAddr>,
    /// Time allowed for draining.
    pub drain_timeout: Time,
    pub memory_mb: u64,
    /// Number of descriptors that the process may use.
    pub sockets: usize,
    pub settings: Settings,
    pub names: Names,
}

/// Current addresses of the downstream services. A reload of the configuration changes them while the program runs.
pub struct Addresses {
    pub kernel: Cell<SocketAddr>,
    pub roster: Cell<Option<SocketAddr>>,
    pub ledger: Cell<Option<SocketAddr>>,
    /// Notified when the address of the executor changes.
    pub kernel_moved: Notify,
    /// Notified when the address of the service registry changes.
    pub roster_moved: Notify,
}

impl Addresses {
    pub fn new(config: &Config) -> Addresses {
        Addresses {
            kernel: Cell::new(config.kernel),
            roster: Cell::new(config.roster),
            ledger: Cell::new(config.ledger),
            kernel_moved: Notify::new(),
            roster_moved: Notify::new(),
        }
    }

    /// Sets the addresses from `config` and notifies the tasks whose connections use a changed address.
    pub fn update(&self, config: &Config) {
        if self.kernel.replace(config.kernel) != config.kernel {
            self.kernel_moved.notify_one();
        }
        if self.roster.replace(config.roster) != config.roster {
            self.roster_moved.notify_one();
        }
        self.ledger.set(config.ledger);
    }
}

/// Reads the configuration that the environment names.
pub fn read() -> Result<Config, String> {
    let var = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
    let path =
        var("EDGE_CONFIG").ok_or("EDGE_CONFIG is not set; it must name the configuration, a JSON file")?;
    let text = std::fs::read_to_string(&path).map_err(|error| format!("EDGE_CONFIG {path:?}: {error}"))?;
    parse(&text, var("EDGE_NAME"), var("EDGE_LISTEN")).map_err(|what| format!("{path}: {what}"))
}

/// Parses the configuration. `name` and `listen` apply where the text lacks the keys of these names.
pub fn parse(text: &str, name: Option<String>, listen: Option<String>) -> Result<Config, String> {
    let root: Value = serde_json::from_str(text).map_err(|error| error.to_string())?;
    if !root.is_object() {
        return Err("expected a JSON object".into());
    }
    let text = |key: &str| match &root[key] {
        Value::Null => Ok(None),
        Value::String(text) if !text.is_empty() => Ok(Some(text.clone())),
        other => Err(format!("{key}: expected text, found {other}")),
    };
    let address = |key: &str, text: Option<String>| match text {
        None => Ok(None),
        Some(text) => match text.to_socket_addrs().map(|mut found| found.next()) {
            Ok(Some(found)) => Ok(Some(found)),
            _ => Err(format!("{key}: {text:?} is not an address of the form 127.0.0.1:10080")),
        },
    };
    let require = |key: &str, value: Option<SocketAddr>| value.ok_or_else(|| format!("{key} is missing"));
    let whole_number = |key: &str, value: &Value, default: u64, min: u64| match value {
        Value::Null => Ok(default),
        value => match value.as_u64().filter(|number| *number >= min) {
            Some(number) => Ok(number),
            None => Err(format!("{key}: expected a whole number from {min} up, found {value}")),
        },
    };
    let seed = match text("seed")? {
        None => 0,
        Some(hex) => {
            u64::from_str_radix(&hex, 16).map_err(|_| format!("seed: {hex:?} is not 16 hex digits"))?
        }
    };
    check_keys(&root["settings"])?;
    let (settings, names) =
        settings::read_value(&root["settings"], seed).map_err(|what| format!("settings.{what}"))?;
    check_supported(&settings)?;
    // Retained idempotency results use the memory of this process and not that of the executor, which the scheduler accounts
    // for.
    let settings = Settings { retained_entry_kb: 0.0, ..settings };
    let name = text("name")?.or(name).ok_or("name is missing")?;
    if !name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte)) {
        return Err(format!("name: {name:?} must consist of letters, digits, '-', '_' and '.'"));
    }
    Ok(Config {
        name,
        listen: require("listen", address("listen", text("listen")?.or(listen))?)?,
        kernel: require("kernel", address("kernel", text("kernel")?)?)?,
        roster: address("roster", text("roster")?)?,
        ledger: address("ledger", text("ledger")?)?,
        drain_timeout: (whole_number("stop_ms", &root["stop_ms"], DEFAULT_DRAIN_MS, 1)? * 10) as Time,
        memory_mb: whole_number("limits.memory_mb", &root["limits"]["memory_mb"], DEFAULT_MEMORY_MB, 8)?,
        sockets: whole_number("limits.sockets", &root["limits"]["sockets"], DEFAULT_SOCKETS, 40)? as usize,
        settings,
        names,
    })
}

/// Checks that requests with idempotency keys are supported. Frames carry the key, while a route must name a header for it.
/// A forwarder supports none: the workers retain the results, and the forwarder does not know which worker has which key.
pub fn check_idempotency_keys(
    settings: &Settings,
    is_forwarder: bool,
    lacks_header: impl Fn(usize) -> bool,
) -> Result<(), String> {
    let mut keyed = settings
        .classes
        .iter()
        .enumerate()
        .filter(|(_, class)| class.retry_safety == RetrySafety::IdempotencyKey)
        .map(|(index, _)| index);
    if let (Some(index), true) = (keyed.clone().next(), is_forwarder) {
        return Err(format!("settings.categories[{index}].effect: a forwarder does not support operations with an idempotency key"));
    }
    match keyed.find(|index| lacks_header(*index)) {
        Some(index) => {
            Err(format!("settings.categories[{index}].effect: a route to this operation names no header for the idempotency key"))
        }
        None => Ok(()),
    }
}

/// The value that a key of the settings requires.
#[derive(Clone, Copy)]
enum Expected {
    /// A number from 0 to this maximum.
    UpTo(f64),
    Positive,
    Bool,
    Text,
    List,
    /// A list of numbers, or of booleans, one for each request class.
    NumberList,
    BoolList,
}

const UNBOUNDED: f64 = f64::MAX;
/// Each key that is read, whether it is required, and its value. Other keys may have any value.
const KEYS: [(&str, bool, Expected); 24] = [
    ("categories", true, Expected::List),
    ("customers", false, Expected::List),
    ("over_share_worth", false, Expected::UpTo(1.0)),
    ("counted_by", false, Expected::Text),
    ("group_size", false, Expected::UpTo(UNBOUNDED)),
    ("limits.retry_after", false, Expected::Bool),
    ("limits.max_retry_after_ns", false, Expected::UpTo(UNBOUNDED)),
    ("obligations.answer_slack_ns", true, Expected::Positive),
    ("obligations.tip_multiple", true, Expected::Positive),
    ("obligations.stop_sending_within_ns", true, Expected::UpTo(UNBOUNDED)),
    ("obligations.cold_from", false, Expected::UpTo(1.0)),
    ("obligations.cold_ns", false, Expected::UpTo(UNBOUNDED)),
    ("specifics.cores", true, Expected::Positive),
    ("specifics.memory_kb", true, Expected::Positive),
    ("specifics.blowup", true, Expected::Positive),
    ("specifics.gauges", true, Expected::List),
    ("specifics.upstreams", false, Expected::UpTo(UNBOUNDED)),
    ("specifics.calls_out", false, Expected::UpTo(UNBOUNDED)),
    ("specifics.calls_over_ns", false, Expected::UpTo(UNBOUNDED)),
    ("specifics.stays_for_ns", false, Expected::UpTo(UNBOUNDED)),
    ("specifics.fresh_ns", false, Expected::UpTo(UNBOUNDED)),
    ("specifics.class_calls", false, Expected::BoolList),
    ("specifics.degraded_worth", false, Expected::NumberList),
    ("specifics.cold", false, Expected::Bool),
];
const ENTRY_KEYS: [(&str, &str, bool, Expected); 10] = [
    ("categories", "name", true, Expected::Text),
    ("categories", "aim_ns", true, Expected::Positive),
    ("categories", "deadline_ns", true, Expected::Positive),
    ("categories", "effect", true, Expected::Text),
    ("categories", "worth", true, Expected::UpTo(UNBOUNDED)),
    ("categories", "late_worth", false, Expected::UpTo(1.0)),
    ("categories", "aim_stretch", false, Expected::UpTo(UNBOUNDED)),
    ("categories", "memory_span_ns", false, Expected::UpTo(UNBOUNDED)),
    ("customers", "name", true, Expected::Text),
    ("customers", "allowance_per_s", false, Expected::UpTo(UNBOUNDED)),
];

fn check_value(key: &str, value: &Value, required: bool, expected: Expected) -> Result<(), String> {
    let number = |value: &Value, fits: &dyn Fn(f64) -> bool| value.as_f64().is_some_and(fits);
    let each = |fits: &dyn Fn(&Value) -> bool| value.as_array().is_some_and(|list| list.iter().all(fits));
    let (fits, description) = match expected {
        _ if value.is_null() && !required => return Ok(()),
        _ if value.is_null() => return Err(format!("settings.{key} is missing")),
        Expected::UpTo(max) => (
            number(value, &|number| (0.0..=max).contains(&number)),
            match max {
                UNBOUNDED => "a number from 0 up".to_string(),
                max => format!("a number from 0 to {max}"),
            },
        ),
        Expected::Positive => (number(value, &|number| number > 0.0), "a number above 0".into()),
        Expected::Bool => (value.is_boolean(), "true or false".into()),
        Expected::Text => (value.as_str().is_some_and(|text| !text.is_empty()), "text".into()),
        Expected::List => (value.is_array(), "a list".into()),
        Expected::NumberList => {
            (each(&|item| number(item, &|number| number >= 0.0)), "a list of numbers from 0 up".into())
        }
        Expected::BoolList => (each(&Value::is_boolean), "a list of true and false".into()),
    };
    match fits {
        true => Ok(()),
        false => Err(format!("settings.{key}: expected {description}, found {value}")),
    }
}

/// Checks the value of every key that is read, before the settings are built.
fn check_keys(settings: &Value) -> Result<(), String> {
    for (key, required, expected) in KEYS {
        let value = key.split('.').fold(settings, |value, name| &value[name]);
        check_value(key, value, required, expected)?;
    }
    for (list, name, required, expected) in ENTRY_KEYS {
        for (index, row) in settings[list].as_array().into_iter().flatten().enumerate() {
            check_value(&format!("{list}[{index}].{name}"), &row[name], required, expected)?;
        }
    }
    Ok(())
}

/// Rejects settings that this server does not support.
fn check_supported(settings: &Settings) -> Result<(), String> {
    if settings.classes.is_empty() {
        return Err("settings.categories is empty".into());
    }
    if let Some(index) = settings.classes.iter().position(|class| class.degraded_share > 0.0) {
        return Err(format!("settings.specifics.degraded_worth[{index}]: the kernel can't skip a call"));
    }
    if settings.result_freshness > 0 {
        return Err("settings.specifics.fresh_ns: this server can't reuse results".into());
    }
    if settings.stop_mode == StopMode::Freeze {
        return Err("settings.specifics.halt: this server can't freeze runs".into());
    }
    Ok(())
}
