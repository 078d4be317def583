//! One macro for every log line, to standard error, rate-limited. Not by `eprintln`, which panics once whoever reads the
//! log has gone: measured, the program ended at its next line. Here that line is lost and nothing else.

use std::cell::Cell;
use std::io::Write;
use std::time::Instant;

/// Lines a second; what is more is counted and told of once.
const MOST: u32 = 40;

thread_local! {
    static WINDOW: Cell<(Option<Instant>, u32)> = const { Cell::new((None, 0)) };
}

/// Whether a line may be written now; where lines were left out before, says how many.
pub fn check_rate_limit(now: Instant) -> (bool, u32) {
    WINDOW.with(|window| {
        let (since, count) = window.get();
        if since.is_none_or(|since| now.duration_since(since).as_secs() >= 1) {
            window.set((Some(now), 1));
            return (true, count.saturating_sub(MOST));
        }
        window.set((since, count.saturating_add(1)));
        (count < MOST, 0)
    })
}

pub fn write(line: std::fmt::Arguments) {
    let (may, left_out) = check_rate_limit(Instant::now());
    let mut to = std::io::stderr().lock();
    if left_out > 0 {
        let _ = writeln!(to, "cypresscleat: {left_out} lines left out");
    }
    if may {
        let _ = writeln!(to, "cypresscleat: {line}");
    }
}

#[macro_export]
macro_rules! log {
    ($($part:tt)*) => {
        $crate::log::write(format_args!($($part)*))
    };
}
