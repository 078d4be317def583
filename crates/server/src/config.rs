//! The only reader of the environment and of EDGE_CONFIG: checks, defaults, messages that name the faulty key.

use cypresscleat_scheduler::*;
use cypresscleat_settings::{self as settings, Names};
use serde_json::Value;
use std::cell::Cell;
use std::net::{SocketAddr, ToSocketAddrs};
use tokio::sync::Notify;

const MEMORY_MB: u64 = 192;
const SOCKETS: u64 = 1024;
const STOP_MS: u64 = 3000;

#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub kernel: SocketAddr,
    pub roster: Option<SocketAddr>,
    pub ledger: Option<SocketAddr>,
    pub stop: Time,
    pub memory_mb: u64,
    pub sockets: usize,
    pub settings: Settings,
    pub names: Names,
}

/// Where the other parties are now: what a new reading of the configuration changes while the program runs.
pub struct Addresses {
    pub kernel: Cell<SocketAddr>,
    pub roster: Cell<Option<SocketAddr>>,
    pub ledger: Cell<Option<SocketAddr>>,
    pub kernel_moved: Notify,
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

    /// Takes over the addresses of `config`; the tasks that hold links are told of those that differ.
    pub fn follow(&self, config: &Config) {
        if self.kernel.replace(config.kernel) != config.kernel {
            self.kernel_moved.notify_one();
        }
        if self.roster.replace(config.roster) != config.roster {
            self.roster_moved.notify_one();
        }
        self.ledger.set(config.ledger);
    }
}

/// Reads what the environment names.
pub fn read() -> Result<Config, String> {
    let var = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
    let path = var("EDGE_CONFIG").ok_or("EDGE_CONFIG is not set: it names the configuration, a JSON file")?;
    let text = std::fs::read_to_string(&path).map_err(|error| format!("EDGE_CONFIG {path:?}: {error}"))?;
    parse(&text, var("EDGE_NAME"), var("EDGE_LISTEN")).map_err(|what| format!("{path}: {what}"))
}

/// `name` and `listen` stand in for the keys of these names where the text lacks them.
pub fn parse(text: &str, name: Option<String>, listen: Option<String>) -> Result<Config, String> {
    let all: Value = serde_json::from_str(text).map_err(|error| error.to_string())?;
    if !all.is_object() {
        return Err("not a JSON object".into());
    }
    let text = |key: &str| match &all[key] {
        Value::Null => Ok(None),
        Value::String(text) if !text.is_empty() => Ok(Some(text.clone())),
        other => Err(format!("{key}: expected text, found {other}")),
    };
    let address = |key: &str, text: Option<String>| match text {
        None => Ok(None),
        Some(text) => match text.to_socket_addrs().map(|mut found| found.next()) {
            Ok(Some(found)) => Ok(Some(found)),
            _ => Err(format!("{key}: {text:?} is no address of the form 127.0.0.1:10080")),
        },
    };
    let need = |key: &str, value: Option<SocketAddr>| value.ok_or_else(|| format!("{key} is missing"));
    let whole = |key: &str, value: &Value, default: u64, least: u64| match value {
        Value::Null => Ok(default),
        value => match value.as_u64().filter(|number| *number >= least) {
            Some(number) => Ok(number),
            None => Err(format!("{key}: expected a whole number from {least} up, found {value}")),
        },
    };
    let seed = match text("seed")? {
        None => 0,
        Some(hex) => {
            u64::from_str_radix(&hex, 16).map_err(|_| format!("seed: {hex:?} is not 16 hex digits"))?
        }
    };
    check_keys(&all["settings"])?;
    let (settings, names) =
        settings::read_value(&all["settings"], seed).map_err(|what| format!("settings.{what}"))?;
    check(&settings)?;
    // What is kept of tokens stands in the memory of this process, not in that of the kernel, which the module books.
    let settings = Settings { retained_entry_kb: 0.0, ..settings };
    let name = text("name")?.or(name).ok_or("name is missing")?;
    if !name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte)) {
        return Err(format!("name: {name:?} has other characters than letters, digits, '-', '_' and '.'"));
    }
    Ok(Config {
        name,
        listen: need("listen", address("listen", text("listen")?.or(listen))?)?,
        kernel: need("kernel", address("kernel", text("kernel")?)?)?,
        roster: address("roster", text("roster")?)?,
        ledger: address("ledger", text("ledger")?)?,
        stop: (whole("stop_ms", &all["stop_ms"], STOP_MS, 1)? * 10) as Time,
        memory_mb: whole("limits.memory_mb", &all["limits"]["memory_mb"], MEMORY_MB, 8)?,
        sockets: whole("limits.sockets", &all["limits"]["sockets"], SOCKETS, 40)? as usize,
        settings,
        names,
    })
}

/// A tokened operation is told by its token: frames carry one, a route has to name its header. Workers keep tokens, and a
/// forwarder does not know which of them has one.
pub fn check_tokens(set: &Settings, forwards: bool, lacks: impl Fn(usize) -> bool) -> Result<(), String> {
    let mut tokened = set
        .classes
        .iter()
        .enumerate()
        .filter(|(_, op)| op.retry_safety == RetrySafety::IdempotencyKey)
        .map(|(at, _)| at);
    if let (Some(at), true) = (tokened.clone().next(), forwards) {
        return Err(format!("settings.categories[{at}].effect: a forwarder takes no tokened operation"));
    }
    match tokened.find(|at| lacks(*at)) {
        Some(at) => {
            Err(format!("settings.categories[{at}].effect: a route to it names no header with its token"))
        }
        None => Ok(()),
    }
}

/// What a key of the settings holds.
#[derive(Clone, Copy)]
enum Holds {
    /// A number, from 0 or above it, to so much.
    From0(f64),
    Above0,
    Flag,
    Text,
    List,
    /// A list of numbers, or of flags, one for each operation.
    Numbers,
    Flags,
}

const ANY: f64 = f64::MAX;
/// Keys that are read, whether each has to be there, and what it holds. Keys that nobody reads may hold anything.
const KEYS: [(&str, bool, Holds); 24] = [
    ("categories", true, Holds::List),
    ("customers", false, Holds::List),
    ("over_share_worth", false, Holds::From0(1.0)),
    ("counted_by", false, Holds::Text),
    ("group_size", false, Holds::From0(ANY)),
    ("limits.retry_after", false, Holds::Flag),
    ("limits.max_retry_after_ns", false, Holds::From0(ANY)),
    ("obligations.answer_slack_ns", true, Holds::Above0),
    ("obligations.tip_multiple", true, Holds::Above0),
    ("obligations.stop_sending_within_ns", true, Holds::From0(ANY)),
    ("obligations.cold_from", false, Holds::From0(1.0)),
    ("obligations.cold_ns", false, Holds::From0(ANY)),
    ("specifics.cores", true, Holds::Above0),
    ("specifics.memory_kb", true, Holds::Above0),
    ("specifics.blowup", true, Holds::Above0),
    ("specifics.gauges", true, Holds::List),
    ("specifics.upstreams", false, Holds::From0(ANY)),
    ("specifics.calls_out", false, Holds::From0(ANY)),
    ("specifics.calls_over_ns", false, Holds::From0(ANY)),
    ("specifics.stays_for_ns", false, Holds::From0(ANY)),
    ("specifics.fresh_ns", false, Holds::From0(ANY)),
    ("specifics.class_calls", false, Holds::Flags),
    ("specifics.degraded_worth", false, Holds::Numbers),
    ("specifics.cold", false, Holds::Flag),
];
const OF_EACH: [(&str, &str, bool, Holds); 10] = [
    ("categories", "name", true, Holds::Text),
    ("categories", "aim_ns", true, Holds::Above0),
    ("categories", "deadline_ns", true, Holds::Above0),
    ("categories", "effect", true, Holds::Text),
    ("categories", "worth", true, Holds::From0(ANY)),
    ("categories", "late_worth", false, Holds::From0(1.0)),
    ("categories", "aim_stretch", false, Holds::From0(ANY)),
    ("categories", "memory_span_ns", false, Holds::From0(ANY)),
    ("customers", "name", true, Holds::Text),
    ("customers", "allowance_per_s", false, Holds::From0(ANY)),
];

fn holds(key: &str, value: &Value, required: bool, holds: Holds) -> Result<(), String> {
    let number = |value: &Value, fits: &dyn Fn(f64) -> bool| value.as_f64().is_some_and(fits);
    let all = |fits: &dyn Fn(&Value) -> bool| value.as_array().is_some_and(|list| list.iter().all(fits));
    let (fits, wanted) = match holds {
        _ if value.is_null() && !required => return Ok(()),
        _ if value.is_null() => return Err(format!("settings.{key} is missing")),
        Holds::From0(most) => (
            number(value, &|one| (0.0..=most).contains(&one)),
            match most {
                ANY => "a number from 0 up".to_string(),
                most => format!("a number from 0 to {most}"),
            },
        ),
        Holds::Above0 => (number(value, &|one| one > 0.0), "a number above 0".into()),
        Holds::Flag => (value.is_boolean(), "true or false".into()),
        Holds::Text => (value.as_str().is_some_and(|text| !text.is_empty()), "text".into()),
        Holds::List => (value.is_array(), "a list".into()),
        Holds::Numbers => (all(&|one| number(one, &|one| one >= 0.0)), "a list of numbers from 0 up".into()),
        Holds::Flags => (all(&Value::is_boolean), "a list of true and false".into()),
    };
    match fits {
        true => Ok(()),
        false => Err(format!("settings.{key}: expected {wanted}, found {value}")),
    }
}

/// What every key that is read holds, before anything is made of it.
fn check_keys(all: &Value) -> Result<(), String> {
    for (key, required, what) in KEYS {
        let value = key.split('.').fold(all, |value, word| &value[word]);
        holds(key, value, required, what)?;
    }
    for (list, word, required, what) in OF_EACH {
        for (at, row) in all[list].as_array().into_iter().flatten().enumerate() {
            holds(&format!("{list}[{at}].{word}"), &row[word], required, what)?;
        }
    }
    Ok(())
}

/// What this front can't offer.
fn check(set: &Settings) -> Result<(), String> {
    if set.classes.is_empty() {
        return Err("settings.categories is empty".into());
    }
    if let Some(at) = set.classes.iter().position(|op| op.degraded_share > 0.0) {
        return Err(format!("settings.specifics.degraded_worth[{at}]: the kernel can't skip a call"));
    }
    if set.result_freshness > 0 {
        return Err("settings.specifics.fresh_ns: answers can't be used again here".into());
    }
    if set.stop_mode == StopMode::Freeze {
        return Err("settings.specifics.halt: runs can't be frozen here".into());
    }
    Ok(())
}
