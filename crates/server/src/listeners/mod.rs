//! The parts that all frontends share: accepting connections, holding each frontend to its own capacity, and closing
//! idle or stuck connections. Each protocol reads and writes its own connections: `frames` for routers, `scgi` for
//! gateways.

pub mod frames;
pub mod routes;
pub mod scgi;

use crate::clock::{Clock, MS};
use crate::core::incoming::{Peer, RequestError, ResponseWriter};
use crate::core::{CoreEvent, Shared};
use crate::counters::add;
use crate::log;
use crate::pool::BUFFER_BYTES;
use cypresscleat_forwarding::slow_start::SlowStart;
use cypresscleat_scheduler::Time;
use cypresscleat_settings::Names;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc::Sender, Notify};

/// Nothing more is read from a connection while more than this many bytes wait to be written to it.
const MAX_OUTBOX_BYTES: usize = 4 * BUFFER_BYTES;
/// A connection is ended when its client reads nothing of a non-empty outbox for longer than this.
const WRITE_STALL_TIMEOUT: Time = 15_000 * MS;
/// A connection is ended when no complete frame has arrived after this long, or an incomplete one stands for this long.
const MESSAGE_TIMEOUT: Time = 2_000 * MS;
/// Idle connections are closed while more than 1/`IDLE_CLOSE_DIVISOR` of the maximum are open: routers need no more.
const IDLE_CLOSE_DIVISOR: usize = 2;
/// Connections used within this time are the last to be closed for capacity.
const RECENT_USE: Time = 300 * MS;
/// A connection whose client was told to send no new request is closed once it has been idle for this long. A
/// connection whose client goes on sending stays until the process ends, since its requests would cross the close.
const ANNOUNCED_CLOSE_DELAY: Time = 1_000 * MS;
/// A new connection may be silent for this long before it is the first to be closed at the limit of descriptors.
const NEW_CONNECTION_GRACE: Time = 100 * MS;
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of incomplete messages per sweep that release their buffers while no buffer is left for reading.
const MAX_PARTIAL_EVICTIONS: usize = 16;
const CAPACITY_RETRY_DELAY: Duration = Duration::from_millis(5);
/// At most 1/`LINGERING_DIVISOR` of the routers' connections may be in a lingering close.
const LINGERING_DIVISOR: usize = 16;

/// One client connection of a frontend.
pub struct Connection {
    pub peer: Rc<Peer>,
    opened_at: Time,
    /// The connection must end at once.
    end_now: Cell<bool>,
    partial_since: Cell<Option<Time>>,
    last_written: Cell<(u64, Time)>,
    /// The connection must be closed, unless something has arrived on it.
    close_requested: Cell<bool>,
    /// The connection must be ended for its silence, unless the rest of its message has arrived.
    silence_expired: Cell<bool>,
}

impl Connection {
    /// Nothing is open or queued, and no message is read in part.
    fn is_fully_idle(&self) -> bool {
        self.peer.is_idle() && self.partial_since.get().is_none()
    }
    /// Requests a close of the connection. Protects a request that arrives at this moment: the connection's task first
    /// looks into the socket, and keeps the connection if something is there. A request that arrives later crosses the
    /// close.
    fn request_close(&self) {
        self.close_requested.set(true);
        self.peer.outbox.wake.notify_one();
    }
}

/// Reasons for ending a silent connection: an incomplete message, or none at all.
const PARTIAL_MESSAGE: &str = "half a message";
const NO_MESSAGE: &str = "nothing was sent";

/// The protocol that a frontend speaks.
pub enum Protocol {
    Frames(Rc<Names>),
    Scgi(Rc<scgi::ScgiContext>),
}

/// The connections of one listener. Each frontend has its own capacity, so that no frontend takes another's.
pub struct Frontend {
    shared: Shared,
    queue: Sender<CoreEvent>,
    clock: Clock,
    protocol: Protocol,
    max_connections: usize,
    connections: RefCell<Vec<Rc<Connection>>>,
    /// Connections in a lingering close, oldest first, and their maximum. They hold descriptors, but no capacity of
    /// other connections.
    lingering: RefCell<VecDeque<Rc<Connection>>>,
    max_lingering: usize,
    connection_closed: Notify,
    /// Capacity reserved for forwarders during slow start, and the number of clients in the settings.
    slow_start: RefCell<SlowStart>,
    client_count: usize,
    /// Signals the listener to close, and whether it is closed.
    shutdown: Notify,
    is_listener_closed: Cell<bool>,
}

impl Frontend {
    pub fn new(
        shared: &Shared,
        queue: Sender<CoreEvent>,
        clock: Clock,
        protocol: Protocol,
        (max_connections, client_count): (usize, usize),
    ) -> Rc<Frontend> {
        let (shared, connections, lingering) = (shared.clone(), RefCell::default(), RefCell::default());
        let (connection_closed, shutdown, is_listener_closed) =
            (Notify::new(), Notify::new(), Cell::new(false));
        let max_lingering =
            if matches!(protocol, Protocol::Frames(_)) { max_connections / LINGERING_DIVISOR } else { 0 };
        let max_connections = (max_connections - max_lingering).max(1);
        Rc::new(Frontend {
            shared,
            queue,
            clock,
            protocol,
            max_connections,
            connections,
            lingering,
            max_lingering,
            slow_start: RefCell::default(),
            client_count,
            connection_closed,
            shutdown,
            is_listener_closed,
        })
    }

    /// Number of connections that count against the capacity.
    fn active_connections(&self) -> usize {
        self.connections.borrow().len() - self.lingering.borrow().len()
    }

    /// Returns whether no client is connected and none can connect any more.
    pub fn is_closed(&self) -> bool {
        self.is_listener_closed.get() && self.connections.borrow().is_empty()
    }

    /// Accepts connections until the grace period of a drain is over. Gateways don't know the service registry, so
    /// their listener then closes at once: a gateway that finds it closed knows that nothing ran, and tries another
    /// server. The routers' listener closes once none is connected.
    pub async fn accept(self: Rc<Frontend>, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.shutdown.notified() => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    if self.wait_for_capacity().await {
                        self.serve(stream);
                    } else {
                        scgi::reject_connection(&stream, &self.shared);
                    }
                }
                Err(error) => {
                    add(&self.shared.counters.accept_errors);
                    log!("accept: {error}");
                    tokio::time::sleep(CAPACITY_RETRY_DELAY).await;
                }
            }
        }
        // Protects connections in the backlog, perhaps with a complete request: the operating system has accepted them,
        // and would reset them when the listener closes. All of them are served, and nothing happens between the last
        // look into the backlog and its end.
        if let Ok(listener) = listener.into_std() {
            while let Ok((stream, _)) = listener.accept() {
                let prepared = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                let Ok(stream) = prepared else { continue };
                if self.active_connections() < self.max_connections {
                    self.serve(stream);
                } else {
                    scgi::reject_connection(&stream, &self.shared);
                }
            }
        }
        self.is_listener_closed.set(true);
    }

    /// Waits for capacity for one more connection. A router keeps its connection and waits; a gateway that finds the
    /// capacity taken by requests of others is rejected.
    async fn wait_for_capacity(&self) -> bool {
        while self.active_connections() >= self.max_connections {
            let is_closing_one = self.close_one_idle();
            if !is_closing_one && matches!(self.protocol, Protocol::Scgi(_)) {
                return false;
            }
            let _ = tokio::time::timeout(SWEEP_INTERVAL, self.connection_closed.notified()).await;
        }
        true
    }

    /// Protects the descriptors: at their limit a new connection takes the place of one that was silent from the start,
    /// or else of the one idle for longest, never of one with an open request. Connections just accepted or just used
    /// go last. Does harm where routers reconnect at once.
    fn close_one_idle(&self) -> bool {
        let (now, connections) = (self.clock.now(), self.connections.borrow());
        let order = |connection: &&Rc<Connection>| {
            let (has_spoken, since) =
                (connection.peer.has_received_message.get(), connection.peer.active_at.get());
            let is_recent = now - since < if has_spoken { RECENT_USE } else { NEW_CONNECTION_GRACE };
            (is_recent, has_spoken, since)
        };
        // An incomplete message is not idle, unless it has stood for long.
        let is_partial = |connection: &Connection| {
            connection.partial_since.get().is_some_and(|since| now - since < RECENT_USE)
        };
        let is_usable = |connection: &Connection| {
            !connection.peer.is_closing.get() && !connection.close_requested.get() && !is_partial(connection)
        };
        let idle = connections.iter().filter(|connection| connection.peer.is_idle() && is_usable(connection));
        let Some(connection) = idle.min_by_key(order) else { return false };
        match &self.protocol {
            Protocol::Frames(_) => connection.request_close(),
            Protocol::Scgi(_) => {
                add(&self.shared.counters.idle_closed);
                connection.peer.announce_close(now);
                connection.peer.close();
            }
        }
        true
    }

    /// Starts the lingering close of a connection, which frees its capacity for the next. Beyond the maximum, the
    /// oldest lingering connection ends.
    fn begin_lingering(&self, connection: &Rc<Connection>) {
        let mut lingering = self.lingering.borrow_mut();
        lingering.push_back(connection.clone());
        if lingering.len() > self.max_lingering {
            if let Some(oldest) = lingering.pop_front() {
                oldest.end_now.set(true);
                oldest.peer.outbox.wake.notify_one();
            }
        }
        self.connection_closed.notify_one();
    }

    /// Checks all connections periodically for idleness, incomplete frames, and clients that never read.
    pub async fn sweep(self: Rc<Frontend>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            let now = self.clock.now();
            let is_closing = self.shared.server_status.is_closing.get();
            // A gateway's connection carries one request and never idles: only its silence counts.
            let (idle_limit, silence_limit) = match &self.protocol {
                _ if is_closing => (Some(0), MESSAGE_TIMEOUT),
                Protocol::Frames(_) => (self.shared.server_status.idle_timeout.get(), MESSAGE_TIMEOUT),
                Protocol::Scgi(context) => (None, context.request_timeout()),
            };
            let connections = self.connections.borrow();
            if is_closing && (connections.is_empty() || matches!(self.protocol, Protocol::Scgi(_))) {
                self.shutdown.notify_one();
            }
            // Reserves capacity for routers against others that send one request and stay: the longest idle are closed
            // first.
            let excess = self.active_connections().saturating_sub(self.max_connections / IDLE_CLOSE_DIVISOR);
            let mut idle: Vec<&Rc<Connection>> = Vec::new();
            if excess > 0 {
                let is_unused =
                    |peer: &Peer| now - peer.active_at.get() > RECENT_USE && !peer.is_closing.get();
                let is_eligible = |connection: &Connection| {
                    connection.is_fully_idle()
                        && connection.peer.has_received_message.get()
                        && is_unused(&connection.peer)
                };
                idle.extend(connections.iter().filter(|connection| is_eligible(connection)));
                idle.sort_by_key(|connection| connection.peer.active_at.get());
            }
            idle.into_iter().take(excess).for_each(|connection| connection.request_close());
            let mut evictions_left = if self.shared.pool.has_capacity() { 0 } else { MAX_PARTIAL_EVICTIONS };
            for connection in connections.iter() {
                let peer = &connection.peer;
                let last = connection.last_written.get();
                if peer.outbox.is_empty() || last.0 != peer.outbox.written() {
                    connection.last_written.set((peer.outbox.written(), now));
                }
                let is_stuck = now - connection.last_written.get().1 > WRITE_STALL_TIMEOUT;
                let partial_for = connection.partial_since.get().map_or(0, |since| now - since);
                // Protects connections that wait to be read: while no buffer is left, incomplete messages that have
                // stood for a while release theirs, a few at a time. Does harm where all clients write slowly.
                let is_evicted = evictions_left > 0
                    && partial_for > RECENT_USE.min(silence_limit)
                    && !peer.is_closing.get();
                evictions_left -= usize::from(is_evicted);
                let is_partial = is_evicted || partial_for > silence_limit;
                let is_silent = !peer.has_received_message.get()
                    && now - connection.opened_at > silence_limit
                    && !peer.is_closing.get();
                let is_idle_too_long = idle_limit.is_some_and(|limit| now - peer.active_at.get() >= limit);
                if is_stuck {
                    add(&self.shared.counters.stuck_closed);
                    log!("a caller reads nothing");
                    connection.end_now.set(true);
                    peer.outbox.wake.notify_one();
                } else if (is_partial || is_silent) && matches!(self.protocol, Protocol::Frames(_)) {
                    connection.silence_expired.set(true);
                    peer.outbox.wake.notify_one();
                } else if is_partial || is_silent {
                    add(&self.shared.counters.silent_closed);
                    connection.partial_since.set(None);
                    let what = if is_partial { PARTIAL_MESSAGE } else { NO_MESSAGE };
                    peer.close_on_violation(&self.shared.counters, 0, RequestError::TimedOut, what);
                } else if peer
                    .close_announced_at
                    .get()
                    .is_some_and(|at| now - at.max(peer.active_at.get()) > ANNOUNCED_CLOSE_DELAY)
                {
                    connection.request_close();
                } else if is_idle_too_long && peer.is_idle() && peer.close_announced_at.get().is_none() {
                    add(&self.shared.counters.idle_closed);
                    peer.announce_close(now);
                }
            }
        }
    }

    fn serve(self: &Rc<Frontend>, stream: TcpStream) {
        add(&self.shared.counters.connections);
        let _ = stream.set_nodelay(true);
        let frontend = self.clone();
        // Each protocol has its own kind of task: a task for both would hold the state of both.
        match &self.protocol {
            Protocol::Frames(names) => {
                let (names, connection) = (names.clone(), self.register(Rc::new(frames::FrameWriter)));
                let mut stream = stream;
                tokio::task::spawn_local(async move {
                    let ended = frames::run_connection(&frontend, &names, &mut stream, &connection).await;
                    drop(stream); // releases the descriptor before the capacity
                    frontend.unregister(&connection, ended).await;
                });
            }
            Protocol::Scgi(context) => {
                let (context, responder) = (context.clone(), Rc::new(scgi::ScgiResponder::default()));
                let connection = self.register(responder.clone());
                tokio::task::spawn_local(async move {
                    let ended =
                        scgi::run_connection(&frontend, &context, &responder, stream, &connection).await;
                    frontend.unregister(&connection, ended).await;
                });
            }
        }
    }

    fn register(&self, writer: Rc<dyn ResponseWriter>) -> Rc<Connection> {
        let now = self.clock.now();
        let connection = Rc::new(Connection {
            peer: Rc::new(Peer::new(&self.shared.pool, writer, now)),
            opened_at: now,
            end_now: Cell::new(false),
            partial_since: Cell::new(None),
            last_written: Cell::new((0, now)),
            close_requested: Cell::new(false),
            silence_expired: Cell::new(false),
        });
        self.connections.borrow_mut().push(connection.clone());
        connection
    }

    /// The only place where a connection's capacity is released; tells the core that the connection is closed.
    async fn unregister(&self, connection: &Rc<Connection>, ended: io::Result<()>) {
        if let Err(error) = ended {
            if error.kind() != ErrorKind::ConnectionReset && error.kind() != ErrorKind::BrokenPipe {
                log!("a client's connection: {error}");
            }
        }
        self.connections.borrow_mut().retain(|other| !Rc::ptr_eq(other, connection));
        self.lingering.borrow_mut().retain(|other| !Rc::ptr_eq(other, connection));
        self.connection_closed.notify_one();
        connection.peer.is_closed.set(true);
        connection.peer.outbox.clear();
        let _ = self.queue.send(CoreEvent::ConnectionClosed { peer: connection.peer.clone() }).await;
    }
}
