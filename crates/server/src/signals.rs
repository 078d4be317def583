//! The operator's signals in the roles beside the app server. One rule for all of them: SIGHUP reads again what can change in service, or
//! says in the log what it leaves; SIGUSR1 logs the state; neither ends the process.

use crate::sockets::add_context;
use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// A signal of the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorSignal {
    /// SIGHUP: the operator's file has changed.
    Reload,
    /// SIGUSR1: the operator wants to see the state.
    Report,
}

/// Receives the operator's signals from its creation on; without it they would end the process.
pub struct OperatorSignals {
    reload: Signal,
    report: Signal,
}

impl OperatorSignals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// A handler could not be installed.
    pub fn install() -> io::Result<OperatorSignals> {
        let install = |kind| signal(kind).map_err(add_context("signals"));
        Ok(OperatorSignals {
            reload: install(SignalKind::hangup())?,
            report: install(SignalKind::user_defined1())?,
        })
    }

    /// Waits for the next signal. Cancel safe.
    pub async fn next(&mut self) -> OperatorSignal {
        tokio::select! {
            _ = self.reload.recv() => OperatorSignal::Reload,
            _ = self.report.recv() => OperatorSignal::Report,
        }
    }
}
