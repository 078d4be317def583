//! `CLEAT_TEST_JOURNAL=FILE`, for tests only: what happened in this process, as JSON lines on the machine's monotonic clock. Several
//! processes may write to one file.

use std::fs::File;
use std::io::Write;

/// The monotonic clock, in nanoseconds; the same for all processes of a machine.
pub fn monotonic_ns() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64
}

pub struct Journal(File);

impl Journal {
    pub fn open() -> Option<Journal> {
        let path = std::env::var("CLEAT_TEST_JOURNAL").ok().filter(|path| !path.is_empty())?;
        File::options().append(true).create(true).open(path).ok().map(Journal)
    }

    /// `fields` stand behind the time, as they are.
    pub fn record(&self, at: u64, fields: &str) {
        let _ = (&self.0).write_all(format!("{{\"at_ns\":{at},{fields}}}\n").as_bytes());
    }
}
