//! How long the start takes, told in one line: from the start of the program until it listens, until its kernel is up, until the
//! roster has taken a report. A start that takes too long says what it waits for.

use crate::log;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep_until;

/// Nine in ten processes of a fleet are to be ready by then, and all by the second.
const SOON: Duration = Duration::from_secs(10);
const AT_LAST: Duration = Duration::from_secs(30);

pub struct Ready {
    started: Instant,
    listens: Cell<Option<Duration>>,
    kernel: Cell<Option<Duration>>,
    report: Cell<Option<Duration>>,
    /// Without a roster nobody is told.
    reports: Cell<bool>,
    told: Cell<bool>,
}

impl Ready {
    pub fn new(started: Instant) -> Rc<Ready> {
        let (listens, kernel, report) = Default::default();
        let (reports, told) = (Cell::new(true), Cell::new(false));
        Rc::new(Ready { started, listens, kernel, report, reports, told })
    }

    fn mark(&self, what: &Cell<Option<Duration>>) {
        if what.get().is_none() {
            what.set(Some(self.started.elapsed()));
            self.look();
        }
    }
    /// All listeners stand; `reports` where there is a roster.
    pub fn listens(&self, reports: bool) {
        self.reports.set(reports);
        self.mark(&self.listens);
    }
    pub fn kernel(&self) {
        self.mark(&self.kernel);
    }
    pub fn reports(&self) {
        self.mark(&self.report);
    }

    fn missing(&self) -> Vec<&'static str> {
        let all = [
            (self.listens.get().is_none(), "it does not listen"),
            (self.kernel.get().is_none(), "its kernel is not up"),
            (self.report.get().is_none() && self.reports.get(), "the roster has taken no report"),
        ];
        all.into_iter().filter_map(|(missing, what)| missing.then_some(what)).collect()
    }

    fn look(&self) {
        if self.told.get() || !self.missing().is_empty() {
            return;
        }
        self.told.set(true);
        let ms = |at: &Cell<Option<Duration>>| at.get().unwrap_or_default().as_millis();
        let (listens, kernel) = (ms(&self.listens), ms(&self.kernel));
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

    /// Says what a late start waits for, twice at the most.
    pub async fn watch(self: Rc<Ready>) {
        for at in [SOON, AT_LAST] {
            sleep_until((self.started + at).into()).await;
            let missing = self.missing();
            if missing.is_empty() {
                return;
            }
            log!("not ready after {} s: {}", at.as_secs(), missing.join(", "));
        }
    }
}
