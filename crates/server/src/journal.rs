//! Journal for tests: if `CLEAT_TEST_JOURNAL=FILE` is set, the process appends its events to that file as JSON lines, timestamped by
//! the machine's monotonic clock. Several processes may write to the same file.

use std::fs::File;
use std::io::Write;

/// Returns the time of the monotonic clock in nanoseconds. All processes of a machine share this clock.
pub fn monotonic_ns() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64
}

/// An open journal file.
pub struct Journal(File);

impl Journal {
    /// Opens the journal for appending; returns `None` if the variable is not set or the file cannot be opened.
    pub fn open() -> Option<Journal> {
        let path = std::env::var("CLEAT_TEST_JOURNAL").ok().filter(|path| !path.is_empty())?;
        File::options().append(true).create(true).open(path).ok().map(Journal)
    }

    /// Appends a line with the time `at_ns`, followed by the JSON text `fields` as it is.
    pub fn record(&self, at_ns: u64, fields: &str) {
        let _ = (&self.0).write_all(format!("{{\"at_ns\":{at_ns},{fields}}}\n").as_bytes());
    }
}
