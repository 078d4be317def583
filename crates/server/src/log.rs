//! The [`log!`](crate::log!) macro, through which every log line is written to standard error, with a rate limit.
//!
//! `eprintln!` is not used, as it panics once the reader of standard error has closed the pipe: in a test the process ended at its
//! next log line. Here such a line is lost, and the process continues.

use std::cell::Cell;
use std::io::Write;
use std::time::Instant;

/// Maximum number of lines per second. Lines past it are counted, and their number is logged once, in the next second with a line.
const MAX_LINES_PER_SECOND: u32 = 40;

thread_local! {
    /// Start of the current second, and the number of lines in it.
    static WINDOW: Cell<(Option<Instant>, u32)> = const { Cell::new((None, 0)) };
}

/// Counts a line. Returns whether the line may be written, and how many lines of the previous second were left out.
pub fn check_rate_limit(now: Instant) -> (bool, u32) {
    WINDOW.with(|window| {
        let (since, count) = window.get();
        if since.is_none_or(|since| now.duration_since(since).as_secs() >= 1) {
            window.set((Some(now), 1));
            return (true, count.saturating_sub(MAX_LINES_PER_SECOND));
        }
        window.set((since, count.saturating_add(1)));
        (count < MAX_LINES_PER_SECOND, 0)
    })
}

/// Writes a line to standard error unless the rate limit is reached. Write errors are ignored.
pub fn write(line: std::fmt::Arguments) {
    let (is_allowed, left_out) = check_rate_limit(Instant::now());
    let mut stderr = std::io::stderr().lock();
    if left_out > 0 {
        let _ = writeln!(stderr, "cypresscleat: {left_out} lines left out");
    }
    if is_allowed {
        let _ = writeln!(stderr, "cypresscleat: {line}");
    }
}

/// Logs a line; takes the arguments of [`format_args!`].
#[macro_export]
macro_rules! log {
    ($($part:tt)*) => {
        $crate::log::write(format_args!($($part)*))
    };
}
