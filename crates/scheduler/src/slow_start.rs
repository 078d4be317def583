//! Slow start: a server that has to warm up reaches its full speed only after a while and handles less load until then.

use crate::settings::Settings;
use crate::types::Time;

/// Lower bound of the initial speed during warm-up, as a fraction of the full speed.
const MIN_INITIAL_SPEED: f64 = 0.01;

/// Owns the warm-up state of this server.
#[derive(Default)]
pub(crate) struct SlowStart {
    initial_speed: f64,
    until: Time,
    /// Length of the warm-up, in tenths of a millisecond.
    duration: f64,
    cores: f64,
    overload_multiple: f64,
}

impl SlowStart {
    pub(crate) fn new(now: Time, settings: &Settings) -> SlowStart {
        let is_warming_up = settings.slow_start;
        let initial_speed =
            if is_warming_up { settings.slow_start_initial.clamp(MIN_INITIAL_SPEED, 1.0) } else { 1.0 };
        SlowStart {
            initial_speed,
            until: if is_warming_up { now + settings.slow_start_duration } else { now },
            duration: settings.slow_start_duration.max(1) as f64,
            cores: settings.cores.max(1.0),
            overload_multiple: settings.overload_multiple.max(1.0),
        }
    }

    /// The number of running and parked requests that this server can sustain at the speed it has reached by now.
    pub(crate) fn survivable_concurrency(&self, now: Time) -> f64 {
        let remaining = (self.until - now).max(0) as f64 / self.duration;
        self.cores * (1.0 + (self.overload_multiple - 1.0) * (1.0 - (1.0 - self.initial_speed) * remaining))
    }

    /// The maximum number of requests that all clients together may have outstanding on this server; `None` once the server
    /// has warmed up.
    pub(crate) fn limit(&self, now: Time) -> Option<f64> {
        (now < self.until).then(|| self.survivable_concurrency(now))
    }
}
