//! Measures how long startup takes and logs one line: the time from the start of the program until it listens, until
//! its executor is up, and until the service registry has accepted a report. A slow startup logs what it waits for.

use crate::log;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep_until;

/// Startup times that a fleet is expected to keep: nine of ten processes are ready by the first, all by the second.
const FIRST_WARNING: Duration = Duration::from_secs(10);
const SECOND_WARNING: Duration = Duration::from_secs(30);

/// The steps of startup, and when each was reached.
pub struct Readiness {
    started: Instant,
    listening: Cell<Option<Duration>>,
    executor: Cell<Option<Duration>>,
    report: Cell<Option<Duration>>,
    /// Without a registry no report is expected.
    expects_report: Cell<bool>,
    was_logged: Cell<bool>,
}

impl Readiness {
    pub fn new(started: Instant) -> Rc<Readiness> {
        let (listening, executor, report) = Default::default();
        let (expects_report, was_logged) = (Cell::new(true), Cell::new(false));
        Rc::new(Readiness { started, listening, executor, report, expects_report, was_logged })
    }

    fn mark(&self, what: &Cell<Option<Duration>>) {
        if what.get().is_none() {
            what.set(Some(self.started.elapsed()));
            self.log_when_ready();
        }
    }
    /// Marks all listeners as listening; `expects_report` where a registry is configured.
    pub fn mark_listening(&self, expects_report: bool) {
        self.expects_report.set(expects_report);
        self.mark(&self.listening);
    }
    pub fn mark_executor_up(&self) {
        self.mark(&self.executor);
    }
    pub fn mark_reported(&self) {
        self.mark(&self.report);
    }

    fn missing(&self) -> Vec<&'static str> {
        let all = [
            (self.listening.get().is_none(), "it does not listen"),
            (self.executor.get().is_none(), "its kernel is not up"),
            (self.report.get().is_none() && self.expects_report.get(), "the roster has taken no report"),
        ];
        all.into_iter().filter_map(|(missing, what)| missing.then_some(what)).collect()
    }

    fn log_when_ready(&self) {
        if self.was_logged.get() || !self.missing().is_empty() {
            return;
        }
        self.was_logged.set(true);
        let ms = |at: &Cell<Option<Duration>>| at.get().unwrap_or_default().as_millis();
        let (listens, kernel) = (ms(&self.listening), ms(&self.executor));
        match self.report.get() {
            Some(at) => {
                log!(
                    "ready: listening after {listens} ms, kernel up after {kernel} ms, reported after {} ms",
                    at.as_millis()
                )
            }
            None => log!("ready: listening after {listens} ms, kernel up after {kernel} ms, no roster"),
        }
    }

    /// Logs what a slow startup waits for, at most twice.
    pub async fn watch(self: Rc<Readiness>) {
        for at in [FIRST_WARNING, SECOND_WARNING] {
            sleep_until((self.started + at).into()).await;
            let missing = self.missing();
            if missing.is_empty() {
                return;
            }
            log!("not ready after {} s: {}", at.as_secs(), missing.join(", "));
        }
    }
}
