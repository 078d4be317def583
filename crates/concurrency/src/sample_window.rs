//! Measurements of one pool between two updates of its limit.

use crate::limit::Sample;
use crate::Time;
use cypresscleat_primitives::SECOND;

/// Minimum length of a sample window.
const MIN_WINDOW: Time = SECOND / 10;
/// Maximum time that a window waits for [`MIN_COMPLETED`] requests.
const MAX_WINDOW: Time = 10 * MIN_WINDOW;
/// Number of completed requests with which a window is complete before [`MAX_WINDOW`].
const MIN_COMPLETED: u32 = 8;
/// Upward drift of the latency baseline per second, so that the baseline follows a changed cost of a class within a minute.
const BASELINE_DRIFT_PER_SECOND: f64 = 0.03;
/// Divisor of last resort for a baseline of zero.
const MIN_BASELINE: f64 = 1e-9;

/// Lowest recent latency of a pool, as time in a slot per unit of expected work.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LatencyBaseline {
    /// The baseline; 0 until the first measurement.
    min_time: f64,
    /// The latest measurement divided by the baseline; 0 until the first measurement.
    ratio: f64,
}

impl LatencyBaseline {
    /// Returns the baseline without the latest measurement.
    pub(crate) fn carried_over(self) -> LatencyBaseline {
        LatencyBaseline { ratio: 0.0, ..self }
    }

    pub(crate) fn ratio(self) -> f64 {
        self.ratio
    }

    fn observe(&mut self, time: f64, window: Time) -> f64 {
        let drift = 1.0 + BASELINE_DRIFT_PER_SECOND * window as f64 / SECOND as f64;
        self.min_time = if self.min_time > 0.0 { (self.min_time * drift).min(time) } else { time };
        self.ratio = time / self.min_time.max(MIN_BASELINE);
        self.ratio
    }
}

/// Measurements of a pool since its limit was last updated.
#[derive(Clone, Debug, Default)]
pub(crate) struct SampleWindow {
    started_at: Time,
    /// Total time in slots and total expected work of the completed requests.
    time_in_slot: f64,
    work: f64,
    completed: u32,
    dropped: u32,
    peak_running: usize,
    had_waiters: bool,
}

impl SampleWindow {
    pub(crate) fn start(now: Time, running: usize) -> SampleWindow {
        SampleWindow { started_at: now, peak_running: running, ..SampleWindow::default() }
    }

    pub(crate) fn record_start(&mut self, running: usize, has_waiters: bool) {
        self.peak_running = self.peak_running.max(running);
        self.had_waiters |= has_waiters;
    }

    pub(crate) fn record_success(&mut self, time_in_slot: Time, work: f64) {
        self.time_in_slot += time_in_slot.max(0) as f64;
        self.work += work.max(1.0);
        self.completed += 1;
    }

    pub(crate) fn record_drop(&mut self) {
        self.dropped += 1;
    }

    pub(crate) fn is_complete(&self, now: Time) -> bool {
        let length = now - self.started_at;
        length >= MIN_WINDOW && (self.completed >= MIN_COMPLETED || length >= MAX_WINDOW)
    }

    /// Summarizes the window relative to the baseline and updates the baseline; `None` if no request completed.
    pub(crate) fn sample(
        &self,
        now: Time,
        running: usize,
        has_waiters: bool,
        baseline: &mut LatencyBaseline,
    ) -> Option<Sample> {
        if self.completed == 0 {
            return None;
        }
        let length = now - self.started_at;
        Some(Sample {
            latency_ratio: baseline.observe(self.time_in_slot / self.work, length),
            running: self.peak_running.max(running) as f64,
            has_waiters: self.had_waiters || has_waiters,
            drop_ratio: f64::from(self.dropped) / f64::from(self.dropped + self.completed),
            seconds: length as f64 / SECOND as f64,
        })
    }
}
