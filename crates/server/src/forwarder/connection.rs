//! Connections to workers, with the frames that routers use. A connection is opened on demand and runs until it closes.

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

/// Maximum number of concurrently open streams on a connection.
const MAX_OPEN_STREAMS: usize = 32;
/// Maximum number of connections to one worker.
const MAX_CONNECTIONS: usize = 16;
/// A connection opens no stream past this id; new attempts use another connection.
const MAX_STREAM: u32 = 1 << 30;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// One connection to a worker.
pub(super) struct Connection {
    pub(super) worker: NodeId,
    address: SocketAddr,
    pub(super) outbox: Outbox,
    pub(super) next_stream: Cell<u32>,
    /// For each stream: the request, the number of its attempt, and the offset of its first byte in the outbox.
    pub(super) open_streams: RefCell<HashMap<u32, (RequestId, u64, u64)>>,
    /// The worker announced the close: it accepts no new stream on this connection.
    is_closing: Cell<bool>,
}

impl WorkerFleet {
    /// Returns a connection to the worker with a free stream, or opens one if all are full and [`MAX_CONNECTIONS`] allows it.
    pub(super) fn connection(self: &Rc<WorkerFleet>, worker: NodeId) -> Option<Rc<Connection>> {
        let mut workers = self.workers.borrow_mut();
        let state = workers.get_mut(&worker)?;
        let has_free_stream = |connection: &&Rc<Connection>| {
            !connection.is_closing.get()
                && connection.open_streams.borrow().len() < MAX_OPEN_STREAMS
                && connection.next_stream.get() < MAX_STREAM
        };
        if let Some(connection) = state.connections.iter().find(has_free_stream) {
            return Some(connection.clone());
        }
        if state.connections.len() >= MAX_CONNECTIONS {
            return None;
        }
        let connection = Rc::new(Connection {
            worker,
            address: state.address,
            outbox: Outbox::new(&self.shared.pool),
            next_stream: Cell::new(1),
            open_streams: RefCell::default(),
            is_closing: Cell::new(false),
        });
        state.connections.push(connection.clone());
        let (fleet, handle) = (self.clone(), connection.clone());
        tokio::task::spawn_local(async move {
            let (connected, ended) = fleet.run_connection(&handle).await;
            fleet.end_connection(&handle, connected, ended);
        });
        Some(connection)
    }

    /// Removes a closed connection and ends the attempts that were open on it, each by what is known of its execution.
    fn end_connection(
        self: &Rc<WorkerFleet>,
        connection: &Rc<Connection>,
        connected: bool,
        ended: io::Result<()>,
    ) {
        let mut closed_unexpectedly = false;
        if let Some(state) = self.workers.borrow_mut().get_mut(&connection.worker) {
            state.connections.retain(|other| !Rc::ptr_eq(other, connection));
            // The worker may have restarted and be warming up: nothing is sent there before its next health check.
            closed_unexpectedly = !connection.is_closing.get() && ended.is_err();
            if closed_unexpectedly {
                state.is_healthy = false;
                state.recheck.notify_one();
            }
        }
        if closed_unexpectedly {
            self.refresh();
        }
        let open_streams: Vec<(RequestId, u64, u64)> =
            connection.open_streams.borrow_mut().drain().map(|(_, attempt)| attempt).collect();
        if let (Err(error), false) = (&ended, open_streams.is_empty()) {
            log!(
                "connection to the worker at {} failed with {} attempts in flight: {error}",
                connection.address,
                open_streams.len()
            );
        }
        let written = connection.outbox.written();
        let closed_by_worker = ended.as_ref().is_err_and(|error| error.kind() == ErrorKind::UnexpectedEof);
        for (request_id, number, start_offset) in open_streams {
            if connected
                && closed_by_worker
                && connection.is_closing.get()
                && self.resend_crossed(request_id, number)
            {
                continue;
            }
            let never_ran = !connected || written <= start_offset;
            let execution = if never_ran { Execution::NeverRan } else { Execution::MayHaveRun };
            self.end_attempt(request_id, number, AttemptOutcome::ConnectionLost, execution, (0, false), b"");
        }
        connection.outbox.clear();
    }

    /// Reads and writes one connection until it closes. Also returns whether the connection was established.
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
            connection.outbox.flush(|bytes| stream.try_write(bytes))?;
            if connection.is_closing.get()
                && connection.open_streams.borrow().is_empty()
                && connection.outbox.is_empty()
            {
                return Ok(());
            }
            tokio::select! {
                () = connection.outbox.wake.notified() => continue,
                ready = stream.writable(), if !connection.outbox.is_empty() => { ready?; continue }
                ready = stream.readable() => ready?,
            }
            match stream.try_read(buf.spare()) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(count) => buf.advance(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
                Err(error) => return Err(error),
            }
            let mut consumed = 0;
            loop {
                match frames::next_frame(&buf[consumed..], BUFFER_BYTES) {
                    NextFrame::Incomplete => break,
                    NextFrame::Frame { kind, stream, payload, size } => {
                        self.handle_frame(connection, kind, stream, payload)?;
                        consumed += size;
                    }
                    NextFrame::TooLarge { .. } | NextFrame::Invalid { .. } => {
                        return Err(ErrorKind::InvalidData.into())
                    }
                }
            }
            buf.consume(consumed);
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
                let Some((request_id, number, _)) = connection.open_streams.borrow_mut().remove(&stream)
                else {
                    // The response to a cancelled attempt, or to no attempt: a response on stream 0 reports a frame that the
                    // worker did not understand.
                    return Ok(());
                };
                let get =
                    |name: &str| fields.iter().find(|(field, _)| *field == name).map(|(_, value)| *value);
                let retry_after =
                    get("later").and_then(|ms| ms.parse::<Time>().ok()).unwrap_or(0).clamp(0, 60_000) * MS;
                let retry_hint = (retry_after, get("giveup") == Some("1"));
                match *code {
                    frames::SUCCEEDED => self.end_attempt(
                        request_id,
                        number,
                        AttemptOutcome::Succeeded,
                        Execution::MayHaveRun,
                        (0, false),
                        body,
                    ),
                    frames::REJECTED => self.end_attempt(
                        request_id,
                        number,
                        AttemptOutcome::Rejected,
                        Execution::NeverRan,
                        retry_hint,
                        b"",
                    ),
                    _ => self.end_attempt(
                        request_id,
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
