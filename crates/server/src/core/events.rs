//! What the core hears and says: its events, its commands to the downstream tier, and the state that it shows to the
//! frontends.

use super::incoming::{IncomingRequest, Peer, RequestId};
use crate::lines::Notice;
use crate::pool::{Buf, Outbox};
use cypresscleat_concurrency::PoolsConfig;
use cypresscleat_scheduler::{Outcome, Time};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::Notify;

/// The state this server reports to clients and to the registry: set by the core, sent by the frontends.
pub struct ServerStatus {
    pub is_healthy: Cell<bool>,
    pub load_feedback: Cell<Option<f64>>,
    /// Connections that are idle for longer than this are closed.
    pub idle_timeout: Cell<Option<Time>>,
    /// Reported to the registry, together with `is_in_service`.
    pub accepts_work: Cell<bool>,
    /// The fleet's active policy allows this server to serve, or there is no policy.
    pub is_in_service: Cell<bool>,
    /// The grace period of a drain is over: connections without an open request are closed.
    pub is_closing: Cell<bool>,
    /// Concurrency limit for all clients together, while it is below what the scheduler's own limits admit.
    pub slow_start_limit: Cell<Option<f64>>,
}

/// A command from the core to the downstream tier.
pub enum DownstreamCommand {
    /// Makes a call, which is abandoned after `timeout`.
    Call {
        request_id: RequestId,
        number: u64,
        class: usize,
        timeout: Time,
        body: Buf,
    },
    Cancel {
        request_id: RequestId,
    },
}

#[derive(Default)]
pub struct DownstreamCommands {
    pub queue: RefCell<VecDeque<DownstreamCommand>>,
    pub wake: Notify,
}

impl DownstreamCommands {
    pub(super) fn push(&self, command: DownstreamCommand) {
        self.queue.borrow_mut().push_back(command);
        self.wake.notify_one();
    }
}

/// An event for the core: messages read from sockets, and completions. All events pass through one queue, in order.
pub enum CoreEvent {
    RequestArrived {
        peer: Rc<Peer>,
        stream: u32,
        /// The request, or why it can't be carried out.
        request: Result<IncomingRequest, String>,
    },
    ClientLeft {
        peer: Rc<Peer>,
        stream: u32,
    },
    ConnectionClosed {
        peer: Rc<Peer>,
    },
    ExecutorNotice(Notice),
    /// A new link has delivered all missed notices; commands go to this outbox from now on.
    ExecutorConnected(Rc<Outbox>),
    ExecutorDisconnected,
    CallCompleted {
        request_id: RequestId,
        number: u64,
        outcome: Outcome,
        reply: Option<Buf>,
    },
    Drain {
        within: Time,
    },
    /// The instance's own pools have changed.
    PoolsChanged(PoolsConfig),
    /// A policy is active, with its pools; without any, the instance's own pools apply.
    PolicyActivated {
        number: u64,
        pools: Option<PoolsConfig>,
    },
    /// The gate has changed its state: held requests are evaluated again.
    GateChanged,
    /// A run at a worker has ended. If the worker rejected it, `retry_after` is the worker's retry delay and whether
    /// the client should not try another server.
    RunCompleted {
        request_id: RequestId,
        outcome: Outcome,
        body: Buf,
        retry_after: Option<(Time, bool)>,
    },
    /// All batches for the store up to this number are finished; `failure` tells why some of them failed.
    Persisted {
        acknowledged_through: u64,
        failure: Option<String>,
    },
}
