//! Connections to the downstream proxy: send calls, one at a time on each, and report how each ended and whether it
//! ran.

use crate::clock::MS;
use crate::config::Addresses;
use crate::core::incoming::RequestId;
use crate::core::{CoreEvent, DownstreamCommand, Shared};
use crate::counters::add;
use crate::lines::{self, NextReply, Reply};
use crate::log;
use crate::pool::{Buf, BUFFER_BYTES};
use crate::sockets::read_available;
use cypresscleat_scheduler::Outcome;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Sender;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout, Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections are closed well before the downstream proxy closes them, so that no call crosses that close.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// A reply that has begun and stalls for this long never completes: its length was wrong.
const PARTIAL_REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of replies to unknown calls that may precede the expected one.
const MAX_UNEXPECTED_REPLIES: u32 = 4;

struct Call {
    request_id: RequestId,
    number: u64,
    bytes: Buf,
}

/// One connection, which carries one call at a time. Isolates calls from each other: a corrupt, late or missing reply,
/// or a broken connection, costs one call only. The price is one connection for each concurrent call under load.
struct Connection {
    address: SocketAddr,
    call: RefCell<Option<Call>>,
    /// Request of the last call on this connection: a second copy of its reply may still arrive.
    last_call: Cell<Option<RequestId>>,
    /// The connection is ending, which abandons a call on it.
    is_closed: Cell<bool>,
    wake: Notify,
}

impl Connection {
    fn close(&self) {
        self.is_closed.set(true);
        self.wake.notify_one();
    }
}

/// Carries out the core's commands on at most `max_connections` connections. Without an address, or a free connection,
/// a call ends as one whose connection failed.
pub async fn run(addresses: Rc<Addresses>, shared: Shared, queue: Sender<CoreEvent>, max_connections: usize) {
    let mut connections: Vec<Rc<Connection>> = Vec::new();
    loop {
        shared.downstream.wake.notified().await;
        loop {
            let Some(command) = shared.downstream.queue.borrow_mut().pop_front() else { break };
            connections.retain(|connection| !connection.is_closed.get());
            match command {
                DownstreamCommand::Call { request_id, number, timeout, body, .. } => {
                    // After an address change the old connections end with the calls that are on them.
                    let is_idle = |connection: &&Rc<Connection>| connection.call.borrow().is_none();
                    let has_moved =
                        |connection: &&Rc<Connection>| Some(connection.address) != addresses.ledger.get();
                    connections
                        .iter()
                        .filter(is_idle)
                        .filter(has_moved)
                        .for_each(|connection| connection.close());
                    let is_usable = |connection: &&Rc<Connection>| {
                        !connection.is_closed.get() && connection.last_call.get() != Some(request_id)
                    };
                    // Prefers the connection used last: the others stay idle until they are closed.
                    let reused = connections.iter().filter(is_idle).rfind(is_usable).cloned();
                    let (Some(address), true) =
                        (addresses.ledger.get(), reused.is_some() || connections.len() < max_connections)
                    else {
                        let outcome = Outcome::ConnectFailed;
                        let _ = queue
                            .send(CoreEvent::CallCompleted { request_id, number, outcome, reply: None })
                            .await;
                        continue;
                    };
                    let mut bytes = shared.pool.take();
                    bytes.push(&lines::post(
                        &String::from_utf8_lossy(&request_id),
                        (timeout / MS).max(1),
                        &body,
                    ));
                    drop(body);
                    let call = Some(Call { request_id, number, bytes });
                    if let Some(connection) = reused {
                        connection.last_call.set(Some(request_id));
                        connection.call.replace(call);
                        connection.wake.notify_one();
                        // To the end of the list: used last.
                        connections.retain(|other| !Rc::ptr_eq(other, &connection));
                        connections.push(connection);
                        continue;
                    }
                    let (call, last_call, is_closed) =
                        (RefCell::new(call), Cell::new(Some(request_id)), Cell::new(false));
                    let connection =
                        Rc::new(Connection { address, call, last_call, is_closed, wake: Notify::new() });
                    connections.push(connection.clone());
                    tokio::task::spawn_local(run_connection(
                        connection,
                        addresses.clone(),
                        shared.clone(),
                        queue.clone(),
                    ));
                }
                DownstreamCommand::Cancel { request_id } => {
                    let has_call = |connection: &&Rc<Connection>| {
                        connection.call.borrow().as_ref().is_some_and(|call| call.request_id == request_id)
                    };
                    connections.iter().filter(has_call).for_each(|connection| connection.close());
                }
            }
        }
    }
}

/// Runs one connection from its start to its end, and reports the outcome of a call that is still on it.
async fn run_connection(
    connection: Rc<Connection>,
    addresses: Rc<Addresses>,
    shared: Shared,
    queue: Sender<CoreEvent>,
) {
    let mut written = false;
    let connected = match timeout(CONNECT_TIMEOUT, TcpStream::connect(connection.address)).await {
        Ok(connected) => connected,
        Err(_) => Err(ErrorKind::TimedOut.into()),
    };
    let result = match connected {
        Ok(stream) => exchange(&connection, &addresses, &stream, &shared, &queue, &mut written).await,
        Err(error) => Err(error),
    };
    let was_cancelled = connection.is_closed.replace(true);
    let Some(Call { request_id, number, .. }) = connection.call.take().filter(|_| !was_cancelled) else {
        return;
    };
    if let Err(error) = result {
        log!("a connection to the ledger with a call: {error}");
    }
    // A call of which nothing was written surely never ran; otherwise it may have run.
    let outcome = if written { Outcome::ConnectionLost } else { Outcome::ConnectFailed };
    let _ = queue.send(CoreEvent::CallCompleted { request_id, number, outcome, reply: None }).await;
}

/// Exchanges calls and replies. Returns `Ok` when the connection can end without a call on it.
async fn exchange(
    connection: &Connection,
    addresses: &Addresses,
    stream: &TcpStream,
    shared: &Shared,
    queue: &Sender<CoreEvent>,
    written: &mut bool,
) -> io::Result<()> {
    let _ = stream.set_nodelay(true);
    let mut buf = shared.pool.take();
    let mut last_received = Instant::now();
    let (mut sent, mut unexpected, mut was_idle) = (0, 0, false);
    loop {
        if connection.is_closed.get() {
            return Ok(());
        }
        let has_call = connection.call.borrow().is_some();
        let unsent = connection.call.borrow().as_ref().map_or(0, |call| call.bytes.len() - sent);
        // Protects a call on a connection that was idle: if it has been closed meanwhile, or unexpected bytes have
        // arrived, the call is not written. It is then known not to have run, and may be repeated even if it is not
        // idempotent.
        if unsent > 0 && sent == 0 && was_idle {
            was_idle = false;
            match read_available(stream, buf.spare()) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
                Ok(_) => return Err(ErrorKind::UnexpectedEof.into()),
            }
        }
        if unsent > 0 {
            let count = connection.call.borrow().as_ref().map(|call| stream.try_write(&call.bytes[sent..]));
            match count {
                Some(Ok(count)) => {
                    *written = true;
                    sent += count;
                    continue;
                }
                Some(Err(error)) if error.kind() != ErrorKind::WouldBlock => return Err(error),
                _ => {}
            }
        }
        tokio::select! {
            () = connection.wake.notified() => { last_received = Instant::now(); continue }
            ready = stream.writable(), if unsent > 0 => { ready?; continue }
            () = sleep_until(last_received + IDLE_TIMEOUT), if !has_call => return Ok(()),
            () = sleep_until(last_received + PARTIAL_REPLY_TIMEOUT), if !buf.is_empty() => return Err(ErrorKind::TimedOut.into()),
            ready = stream.readable() => ready?,
        }
        match stream.try_read(buf.spare()) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(count) => buf.advance(count),
            Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
            Err(error) => return Err(error),
        }
        last_received = Instant::now();
        // Bytes without a call are a copy of a reply, or invalid: this connection is not reused.
        if !has_call {
            return Ok(());
        }
        let mut at = 0;
        loop {
            match lines::parse_reply(&buf[at..], BUFFER_BYTES) {
                NextReply::Incomplete => break,
                NextReply::Reply(Reply { call, outcome, body }, size) => {
                    let own = connection.call.borrow_mut().take_if(|own| own.request_id == call.as_bytes());
                    if let Some(Call { request_id, number, .. }) = own {
                        let reply = (outcome == Outcome::Succeeded).then(|| {
                            let mut reply = shared.pool.take();
                            reply.push(body);
                            reply
                        });
                        (sent, unexpected, was_idle, *written) = (0, 0, true, false);
                        let _ =
                            queue.send(CoreEvent::CallCompleted { request_id, number, outcome, reply }).await;
                        if buf.len() > at + size || addresses.ledger.get() != Some(connection.address) {
                            return Ok(()); // extra bytes, or the address has changed
                        }
                    } else {
                        unexpected += 1;
                        add(&shared.counters.malformed);
                    }
                    at += size;
                    if unexpected > MAX_UNEXPECTED_REPLIES {
                        return Err(io::Error::new(
                            ErrorKind::InvalidData,
                            "too many replies to unknown calls",
                        ));
                    }
                }
                NextReply::Invalid(what) => {
                    add(&shared.counters.malformed);
                    return Err(io::Error::new(ErrorKind::InvalidData, what));
                }
            }
        }
        buf.consume(at);
    }
}
