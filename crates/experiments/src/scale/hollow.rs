//! Hollow instances: many in one process, each with the real deciders and the real messages over real sockets of loopback, against real
//! processes of the program, without work below. What is measured is the real process's own, or is counted at the hollow side.
//!
//! Bytes are those of the datagrams; headers of IP and UDP are counted beside them, as `header bytes`. Between keepers nothing is counted.

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

/// What one part gives: its rows, a line for whoever waits.
type Part = fn(&Program, &Limits, &[u64], &mut dyn FnMut(&str)) -> Result<Vec<Measurement>, String>;

/// The parts, by the role whose process they measure.
const PARTS: [(&str, Part); 6] = [
    ("keeper", keeper::rows),
    ("relay", relays::rows),
    ("planner", tier::planner),
    ("forwarder", tier::gossip),
    ("forwarder", load::forwarder),
    ("app-server", load::app_server),
];

/// Measures one role, or all of them, at these sizes. `tell` is given a line for each step.
///
/// The program is `CYPRESSCLEAT_SERVER`, or `cypresscleat-server` beside this one's own file.
pub fn rows(
    role: Option<&str>,
    sizes: &[u64],
    tell: &mut dyn FnMut(&str),
) -> Result<Vec<Measurement>, String> {
    let (program, limits) = (Program::find()?, Limits::read()?);
    tell(&format!("hollow: {} with {limits}", program.path.display()));
    let mut all = Vec::new();
    for (_, part) in PARTS.iter().filter(|(name, _)| role.is_none_or(|role| role == *name)) {
        all.extend(part(&program, &limits, sizes, tell)?);
    }
    Ok(all)
}

/// What could not be measured is told; other sizes go on.
fn told(done: Result<(), String>, what: &str, tell: &mut dyn FnMut(&str)) {
    if let Err(error) = done {
        tell(&format!("hollow: NOT MEASURED in full: {what}: {error}"));
    }
}

/// Stand-ins give up by a panic, with what they waited for.
fn guarded(measure: impl FnOnce() -> Result<(), String>) -> Result<(), String> {
    catch_unwind(AssertUnwindSafe(measure)).unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        Err(text.unwrap_or_else(|| "a stand-in gave up".into()))
    })
}

/// What went out of the hollow instances and came in, seen from them.
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

/// The same, counted by several threads.
#[derive(Debug, Default)]
pub struct Flow {
    messages_out: AtomicU64,
    bytes_out: AtomicU64,
    messages_in: AtomicU64,
    bytes_in: AtomicU64,
}

impl Flow {
    pub fn notes(&self, size: usize, goes_out: bool) {
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
