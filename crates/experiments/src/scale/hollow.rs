//! Simulated instances: many in one process, each with the real decision code and real messages over loopback sockets, against real
//! server processes, without work behind them. Costs are measured at the real process or counted at the simulated instances.
//!
//! Byte counts are those of datagrams; IP and UDP headers are counted separately, as `header bytes`. Traffic between control replicas is not
//! counted.

pub mod keeper;
pub mod load;
pub mod members;
pub mod relays;
pub mod rig;
pub mod tier;

use super::row::Measurement;
use rig::{Limits, Program};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicU64, Ordering};

/// Headers of IP version 4 and UDP, in bytes.
pub const HEADERS: u64 = 28;

/// The configuration that app servers and forwarders start from.
pub const CONFIG: &str = include_str!("../../../demo/config.json");

/// Measures one part; reports progress line by line.
type Part = fn(&Program, &Limits, &[u64], &mut dyn FnMut(&str)) -> Result<Vec<Measurement>, String>;

/// The parts, each with the role whose process it measures.
const PARTS: [(&str, Part); 6] = [
    ("keeper", keeper::rows),
    ("relay", relays::rows),
    ("planner", tier::planner),
    ("forwarder", tier::gossip),
    ("forwarder", load::forwarder),
    ("app-server", load::app_server),
];

/// Measures one role, or all roles, at these sizes. Calls `progress` with a line for each step.
///
/// The program is `CYPRESSCLEAT_SERVER`, or `cypresscleat-server` in the folder of this program.
pub fn rows(
    role: Option<&str>,
    sizes: &[u64],
    progress: &mut dyn FnMut(&str),
) -> Result<Vec<Measurement>, String> {
    let (program, limits) = (Program::find()?, Limits::read()?);
    progress(&format!("hollow: {} with {limits}", program.path.display()));
    let mut all = Vec::new();
    for (_, part) in PARTS.iter().filter(|(name, _)| role.is_none_or(|role| role == *name)) {
        all.extend(part(&program, &limits, sizes, progress)?);
    }
    Ok(all)
}

/// Reports a failed measurement; other sizes are still measured.
fn report_failure(result: Result<(), String>, what: &str, progress: &mut dyn FnMut(&str)) {
    if let Err(error) = result {
        progress(&format!("hollow: NOT MEASURED in full: {what}: {error}"));
    }
}

/// Converts a panic into an error: the test doubles panic when a wait fails.
fn guarded(measure: impl FnOnce() -> Result<(), String>) -> Result<(), String> {
    catch_unwind(AssertUnwindSafe(measure)).unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        Err(text.unwrap_or_else(|| "a test double panicked".into()))
    })
}

/// Messages and bytes that simulated instances sent and received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    pub messages_out: u64,
    pub bytes_out: u64,
    pub messages_in: u64,
    pub bytes_in: u64,
}

impl Count {
    pub fn since(&self, before: &Count) -> Count {
        Count {
            messages_out: self.messages_out - before.messages_out,
            bytes_out: self.bytes_out - before.bytes_out,
            messages_in: self.messages_in - before.messages_in,
            bytes_in: self.bytes_in - before.bytes_in,
        }
    }

    pub fn and(&self, more: &Count) -> Count {
        Count {
            messages_out: self.messages_out + more.messages_out,
            bytes_out: self.bytes_out + more.bytes_out,
            messages_in: self.messages_in + more.messages_in,
            bytes_in: self.bytes_in + more.bytes_in,
        }
    }
}

/// The same counts, updated by several threads.
#[derive(Debug, Default)]
pub struct Flow {
    messages_out: AtomicU64,
    bytes_out: AtomicU64,
    messages_in: AtomicU64,
    bytes_in: AtomicU64,
}

impl Flow {
    pub fn record(&self, size: usize, goes_out: bool) {
        let (messages, bytes) = match goes_out {
            true => (&self.messages_out, &self.bytes_out),
            false => (&self.messages_in, &self.bytes_in),
        };
        messages.fetch_add(1, Ordering::Relaxed);
        bytes.fetch_add(size as u64, Ordering::Relaxed);
    }

    pub fn count(&self) -> Count {
        let read = |one: &AtomicU64| one.load(Ordering::Relaxed);
        Count {
            messages_out: read(&self.messages_out),
            bytes_out: read(&self.bytes_out),
            messages_in: read(&self.messages_in),
            bytes_in: read(&self.bytes_in),
        }
    }
}
