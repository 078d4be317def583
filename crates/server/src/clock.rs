//! Time: the system's Unix clock at the door, whole tenths of a millisecond since the start inside.

use cypresscleat_scheduler::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const MS: Time = 10;

/// The module's time runs on the steady clock, so a step of the Unix clock never moves it back, and due times
/// come also while the Unix clock catches up.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }
    pub fn now(&self) -> Time {
        (self.start.elapsed().as_micros() / 100) as Time
    }
    pub fn instant(&self, at: Time) -> Instant {
        self.start + Duration::from_micros(at.max(0) as u64 * 100)
    }
}

/// The Unix clock, in tenths of a millisecond.
pub fn unix_time() -> Time {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| (since.as_micros() / 100) as Time)
}
