//! Measured estimates: how long requests of each class run, and how fast this server processes expected work.

use crate::request_table::{Phase, RequestState, RequestTable};
use crate::types::{RequestClass, Time};
use cypresscleat_primitives::SECOND;

/// Decay factor of the measured sums, per second.
const ESTIMATE_DECAY_PER_SECOND: f64 = 0.8;
/// Weight of the newest sample in smoothed means.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Weight of the initial value (ratio 1) in measured ratios, in tenths of a millisecond of work.
const PRIOR_WORK: f64 = 4000.0;
/// Bounds a class's work scale to between 1 divided by this factor and this factor. Guards the ranking against a single
/// period of unusual measurements.
const MAX_WORK_SCALE: f64 = 4.0;
/// Expected work of a request whose client sends none, in tenths of a millisecond. Only the ratio to the measured run time
/// matters.
const DEFAULT_EXPECTED_WORK: f64 = 2000.0;

/// Moves a smoothed mean towards a sample.
pub(crate) fn smooth(mean: &mut f64, sample: f64) {
    *mean += (sample - *mean) * SMOOTHING_FACTOR;
}

/// The fraction of a measured sum that remains after `elapsed`.
pub(crate) fn decay(elapsed: f64) -> f64 {
    ESTIMATE_DECAY_PER_SECOND.powf(elapsed / SECOND as f64)
}

/// A request class and its measurements.
struct ClassState {
    config: RequestClass,
    /// Decaying sum of the running times of completed requests, in tenths of a millisecond.
    run_time: f64,
    /// Decaying sum of the expected work of the same requests.
    expected_work: f64,
    /// Running time per unit of expected work, relative to the other classes.
    work_scale: f64,
    /// Mean time that a request spends waiting for downstream calls.
    mean_parked_time: f64,
}

/// Owns the request classes and the measurements of their runs.
#[derive(Default)]
pub(crate) struct Estimates {
    classes: Vec<ClassState>,
    pace: f64,
}

impl Estimates {
    pub(crate) fn new(classes: &[RequestClass]) -> Estimates {
        let state = |class: &RequestClass| ClassState {
            config: class.clone(),
            run_time: 0.0,
            expected_work: 0.0,
            work_scale: 1.0,
            mean_parked_time: 0.0,
        };
        Estimates { classes: classes.iter().map(state).collect(), pace: 1.0 }
    }

    /// The configuration of a class.
    pub(crate) fn class(&self, class: usize) -> &RequestClass {
        &self.classes[class].config
    }

    pub(crate) fn classes(&self) -> impl Iterator<Item = &RequestClass> {
        self.classes.iter().map(|class| &class.config)
    }

    pub(crate) fn class_count(&self) -> usize {
        self.classes.len()
    }

    /// Running time per unit of scaled work.
    pub(crate) fn pace(&self) -> f64 {
        self.pace
    }

    /// The expected work sent by the client, or the default.
    pub(crate) fn expected_work(sent_by_client: Option<f64>) -> f64 {
        sent_by_client.unwrap_or(DEFAULT_EXPECTED_WORK).max(1.0)
    }

    /// Expected work scaled by the measurements of its class.
    pub(crate) fn scaled_work(&self, class: usize, work: f64) -> f64 {
        work * self.classes[class].work_scale
    }

    /// Expected time from the start of a request to its end, with its downstream calls.
    pub(crate) fn service_time(&self, request: &RequestState) -> f64 {
        request.scaled_work * self.pace + self.classes[request.class].mean_parked_time
    }

    /// Records the run of a request that succeeded.
    pub(crate) fn record_run(&mut self, class: usize, running_time: Time, expected_work: f64) {
        self.classes[class].run_time += running_time as f64;
        self.classes[class].expected_work += expected_work;
    }

    /// Records the time that a successful request spent waiting for downstream calls.
    pub(crate) fn record_parked_time(&mut self, class: usize, parked_time: f64) {
        smooth(&mut self.classes[class].mean_parked_time, parked_time);
    }

    /// Computes the work scales of the classes and the pace over the same period.
    pub(crate) fn update(&mut self, now: Time, elapsed: f64, requests: &RequestTable) {
        let remaining_share = decay(elapsed);
        for class in &mut self.classes {
            class.run_time *= remaining_share;
            class.expected_work *= remaining_share;
        }
        let (run_time, expected) = self
            .classes
            .iter()
            .fold((0.0, 0.0), |sum, class| (sum.0 + class.run_time, sum.1 + class.expected_work));
        for class in &mut self.classes {
            let own_ratio = (class.run_time + PRIOR_WORK) / (class.expected_work + PRIOR_WORK);
            let other_ratio =
                (run_time - class.run_time + PRIOR_WORK) / (expected - class.expected_work + PRIOR_WORK);
            class.work_scale = (own_ratio / other_ratio).clamp(1.0 / MAX_WORK_SCALE, MAX_WORK_SCALE);
        }
        let scaled: f64 = self.classes.iter().map(|class| class.expected_work * class.work_scale).sum();
        let completed_pace = (run_time + PRIOR_WORK) / (scaled + PRIOR_WORK);
        self.pace = completed_pace.max(pace_of_active(now, requests));
    }
}

/// The pace of the active requests. A server that has just become slow completes few requests, but its active requests
/// already show the slowdown.
fn pace_of_active(now: Time, requests: &RequestTable) -> f64 {
    let (mut elapsed, mut work) = (0.0, 0.0);
    for request in requests.active_states() {
        let current = if request.phase == Phase::Running { now - request.running_since } else { 0 };
        elapsed += (request.running_time + current) as f64;
        work += request.scaled_work;
    }
    (elapsed + PRIOR_WORK) / (work + PRIOR_WORK)
}
