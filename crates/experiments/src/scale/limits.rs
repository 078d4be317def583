//! The machine's limits: read and reported, never raised.

use std::fs;

/// Limits that apply to this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    pub descriptors: Option<u64>,
    pub processes: Option<u64>,
    /// Memory in bytes: total, and available.
    pub memory: Option<u64>,
    pub available: Option<u64>,
}

impl Limits {
    pub fn read() -> Limits {
        let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
        let memory = fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let soft = |name: &str| {
            let line = limits.lines().find(|line| line.starts_with(name))?;
            line[name.len()..].split_whitespace().next()?.parse().ok()
        };
        let kib = |name: &str| {
            let line = memory.lines().find(|line| line.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse::<u64>().ok().map(|kib| kib * 1024)
        };
        Limits {
            descriptors: soft("Max open files"),
            processes: soft("Max processes"),
            memory: kib("MemTotal:"),
            available: kib("MemAvailable:"),
        }
    }

    /// Bytes that a run may use: half of the total memory, and at most the available memory.
    pub fn bytes(&self) -> u64 {
        let half = self.memory.map_or(u64::MAX, |bytes| bytes / 2);
        half.min(self.available.unwrap_or(u64::MAX))
    }

    pub fn describe(&self) -> String {
        let format_value =
            |value: Option<u64>| value.map_or("unknown".to_string(), |value| value.to_string());
        let mib = |value: Option<u64>| format_value(value.map(|value| value >> 20));
        format!(
            "descriptors {}, processes {}, memory {} MiB, of which {} MiB available",
            format_value(self.descriptors),
            format_value(self.processes),
            mib(self.memory),
            mib(self.available)
        )
    }
}
