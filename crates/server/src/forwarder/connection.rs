//! Connections to workers, in the routers' own frames: opened as they are needed, read and written until they end.

use super::worker_fleet::WorkerFleet;
use crate::clock::MS;
use crate::core::incoming::RequestId;
use crate::frames::{self, NextFrame};
use crate::log;
use crate::pool::{Outbox, BUFFER_BYTES};
use cypresscleat_forwarding::load_balancer::AttemptOutcome;
use cypresscleat_forwarding::retry_budget::Execution;
use cypresscleat_forwarding::NodeId;
use cypresscleat_scheduler::Time;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Streams open on a connection at once.
const MAX_OPEN_STREAMS: usize = 32;
/// Connections to a worker.
const MAX_CONNECTIONS: usize = 16;
/// Past this stream another connection takes the place of one.
const LAST_STREAM: u32 = 1 << 30;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// One connection to a worker.
pub(super) struct Connection {
    pub(super) worker: NodeId,
    address: SocketAddr,
    pub(super) out: Outbox,
    pub(super) next: Cell<u32>,
    /// By stream: the request, the number of its attempt, and where its bytes begin.
    pub(super) open: RefCell<HashMap<u32, (RequestId, u64, u64)>>,
    /// The worker takes no new stream on it.
    is_closing: Cell<bool>,
}

impl WorkerFleet {
    /// A connection to a worker with a free stream; a new one where there is none and may be.
    pub(super) fn connection(self: &Rc<WorkerFleet>, worker: NodeId) -> Option<Rc<Connection>> {
        let mut workers = self.workers.borrow_mut();
        let state = workers.get_mut(&worker)?;
        let free = |connection: &&Rc<Connection>| {
            !connection.is_closing.get()
                && connection.open.borrow().len() < MAX_OPEN_STREAMS
                && connection.next.get() < LAST_STREAM
        };
        if let Some(connection) = state.connections.iter().find(free) {
            return Some(connection.clone());
        }
        if state.connections.len() >= MAX_CONNECTIONS {
            return None;
        }
        let connection = Rc::new(Connection {
            worker,
            address: state.address,
            out: Outbox::new(&self.shared.pool),
            next: Cell::new(1),
            open: RefCell::default(),
            is_closing: Cell::new(false),
        });
        state.connections.push(connection.clone());
        let (fleet, own) = (self.clone(), connection.clone());
        tokio::task::spawn_local(async move {
            let (connected, ended) = fleet.run_connection(&own).await;
            fleet.end_connection(&own, connected, ended);
        });
        Some(connection)
    }

    /// A connection is over: what was on it ends by what is known of it.
    fn end_connection(
        self: &Rc<WorkerFleet>,
        connection: &Rc<Connection>,
        connected: bool,
        ended: io::Result<()>,
    ) {
        let mut unasked = false;
        if let Some(state) = self.workers.borrow_mut().get_mut(&connection.worker) {
            state.connections.retain(|other| !Rc::ptr_eq(other, connection));
            // It may have been started anew, and be warming up: nothing goes there before it was asked.
            unasked = !connection.is_closing.get() && ended.is_err();
            if unasked {
                state.is_healthy = false;
                state.recheck.notify_one();
            }
        }
        if unasked {
            self.refresh();
        }
        let open: Vec<(RequestId, u64, u64)> =
            connection.open.borrow_mut().drain().map(|(_, one)| one).collect();
        if let (Err(error), false) = (&ended, open.is_empty()) {
            log!("a connection to the worker at {} with {} tries: {error}", connection.address, open.len());
        }
        let written = connection.out.written();
        let closed = ended.as_ref().is_err_and(|error| error.kind() == ErrorKind::UnexpectedEof);
        for (txn, number, from) in open {
            if connected && closed && connection.is_closing.get() && self.resend_crossed(txn, number) {
                continue;
            }
            let never = !connected || written <= from;
            let known = if never { Execution::NeverRan } else { Execution::MayHaveRun };
            self.end_attempt(txn, number, AttemptOutcome::ConnectionLost, known, (0, false), b"");
        }
        connection.out.clear();
    }

    /// Reads and writes one connection until it ends; whether it was ever there.
    async fn run_connection(self: &Rc<WorkerFleet>, connection: &Rc<Connection>) -> (bool, io::Result<()>) {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(connection.address)).await;
        let stream = match connected.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into())) {
            Ok(stream) => stream,
            Err(error) => return (false, Err(error)),
        };
        let _ = stream.set_nodelay(true);
        (true, self.exchange_frames(connection, &stream).await)
    }

    async fn exchange_frames(
        self: &Rc<WorkerFleet>,
        connection: &Rc<Connection>,
        stream: &TcpStream,
    ) -> io::Result<()> {
        let mut buf = self.shared.pool.take();
        loop {
            connection.out.flush(|bytes| stream.try_write(bytes))?;
            if connection.is_closing.get() && connection.open.borrow().is_empty() && connection.out.is_empty()
            {
                return Ok(());
            }
            tokio::select! {
                () = connection.out.wake.notified() => continue,
                ready = stream.writable(), if !connection.out.is_empty() => { ready?; continue }
                ready = stream.readable() => ready?,
            }
            match stream.try_read(buf.spare()) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(many) => buf.advance(many),
                Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
                Err(error) => return Err(error),
            }
            let mut at = 0;
            loop {
                match frames::next_frame(&buf[at..], BUFFER_BYTES) {
                    NextFrame::Incomplete => break,
                    NextFrame::Frame { kind, stream, payload, size } => {
                        self.handle_frame(connection, kind, stream, payload)?;
                        at += size;
                    }
                    NextFrame::TooLarge { .. } | NextFrame::Invalid { .. } => {
                        return Err(ErrorKind::InvalidData.into())
                    }
                }
            }
            buf.consume(at);
        }
    }

    fn handle_frame(
        self: &Rc<WorkerFleet>,
        connection: &Rc<Connection>,
        kind: u8,
        stream: u32,
        payload: &[u8],
    ) -> io::Result<()> {
        match kind {
            frames::CLOSING => connection.is_closing.set(true),
            frames::RESPONSE => {
                let (code, rest) = payload.split_first().ok_or(ErrorKind::InvalidData)?;
                let (fields, body) = frames::parse_fields(rest).ok_or(ErrorKind::InvalidData)?;
                let Some((txn, number, _)) = connection.open.borrow_mut().remove(&stream) else {
                    // Of an attempt that was called off, or of none: on stream 0 it says that something was not understood.
                    return Ok(());
                };
                let get =
                    |name: &str| fields.iter().find(|(known, _)| *known == name).map(|(_, value)| *value);
                let later =
                    get("later").and_then(|ms| ms.parse::<Time>().ok()).unwrap_or(0).clamp(0, 60_000) * MS;
                let said = (later, get("giveup") == Some("1"));
                match *code {
                    frames::SUCCEEDED => self.end_attempt(
                        txn,
                        number,
                        AttemptOutcome::Succeeded,
                        Execution::MayHaveRun,
                        (0, false),
                        body,
                    ),
                    frames::REJECTED => self.end_attempt(
                        txn,
                        number,
                        AttemptOutcome::Rejected,
                        Execution::NeverRan,
                        said,
                        b"",
                    ),
                    _ => self.end_attempt(
                        txn,
                        number,
                        AttemptOutcome::Failed,
                        Execution::MayHaveRun,
                        (0, false),
                        b"",
                    ),
                }
            }
            _ => {}
        }
        Ok(())
    }
}
