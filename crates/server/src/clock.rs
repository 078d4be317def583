//! Clocks of the server: monotonic time since the start for all of its logic, Unix time for what enters and leaves the process. Both
//! count whole tenths of a millisecond.

use cypresscleat_scheduler::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// One millisecond.
pub const MS: Time = 10;

/// Monotonic time since the start of the process. A step of the Unix clock never moves it back, and timers also fire while the Unix
/// clock is being corrected.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at time 0.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }
    /// Returns the time since the start.
    pub fn now(&self) -> Time {
        (self.start.elapsed().as_micros() / 100) as Time
    }
    /// Converts a time of this clock to an [`Instant`].
    pub fn instant(&self, at: Time) -> Instant {
        self.start + Duration::from_micros(at.max(0) as u64 * 100)
    }
}

/// Returns the Unix time in tenths of a millisecond.
pub fn unix_time() -> Time {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| (since.as_micros() / 100) as Time)
}
