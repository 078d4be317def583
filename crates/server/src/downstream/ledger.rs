//! The connections to the ledger: posts calls, one at a time on each, tells how each ended and whether it ran.

use crate::clock::MS;
use crate::config::Addresses;
use crate::core::incoming::RequestId;
use crate::core::{CoreEvent, DownstreamCommand, Shared};
use crate::counters::add;
use crate::lines::{self, NextReply, Reply};
use crate::log;
use crate::pool::{Buf, BUFFER_BYTES};
use crate::sockets::look;
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
/// Closed from here well before the ledger closes it, so that no call crosses that close.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// A reply that has begun and doesn't go on for this long never ends: its length was wrong.
const PARTIAL_REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// Replies to nobody that may stand before the one that is waited for.
const MAX_UNEXPECTED_REPLIES: u32 = 4;

struct Call {
    request_id: RequestId,
    number: u64,
    bytes: Buf,
}

/// One connection. Guards calls against each other: a reply that is spoilt, late or never comes, or a connection
/// that breaks, costs the one call on it. May hurt where connections are dear: under load there are as many as calls.
struct Connection {
    address: SocketAddr,
    call: RefCell<Option<Call>>,
    /// The last that was put on it: a second copy of its reply may still come.
    last_call: Cell<Option<RequestId>>,
    /// It ends now; a call on it is given up by that.
    is_closed: Cell<bool>,
    wake: Notify,
}

impl Connection {
    fn close(&self) {
        self.is_closed.set(true);
        self.wake.notify_one();
    }
}

/// Carries out the core's commands on `most` connections. Without an address, or a connection for it, a call ends as
/// one that found nobody.
pub async fn run(addresses: Rc<Addresses>, shared: Shared, queue: Sender<CoreEvent>, max_connections: usize) {
    let mut connections: Vec<Rc<Connection>> = Vec::new();
    loop {
        shared.downstream.wake.notified().await;
        loop {
            let Some(command) = shared.downstream.queue.borrow_mut().pop_front() else { break };
            connections.retain(|connection| !connection.is_closed.get());
            match command {
                DownstreamCommand::Call { request_id, number, timeout, body, .. } => {
                    // Where the ledger has moved, the old connections end with the calls that are on them.
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
                    // The one used last: the others idle until they are closed.
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

/// One connection from its start to its end, where a call that is still on it gets its outcome.
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
    // Of which nothing was written, that surely never ran; nothing is known of another.
    let outcome = if written { Outcome::ConnectionLost } else { Outcome::ConnectFailed };
    let _ = queue.send(CoreEvent::CallCompleted { request_id, number, outcome, reply: None }).await;
}

/// Ends without an error where no call is on it any more.
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
        // Guards a call on a connection that rested: where it has been closed meanwhile, or noise stands on it, the call is not
        // written, so it is known not to have run, and may be made again whatever its effect.
        if unsent > 0 && sent == 0 && was_idle {
            was_idle = false;
            match look(stream, buf.spare()) {
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
        // What comes without a call is a copy of a reply, or noise: this connection is not used again.
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
                            return Ok(()); // more than is its own, or the ledger has moved
                        }
                    } else {
                        unexpected += 1;
                        add(&shared.counters.malformed);
                    }
                    at += size;
                    if unexpected > MAX_UNEXPECTED_REPLIES {
                        return Err(io::Error::new(ErrorKind::InvalidData, "replies to nobody"));
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
