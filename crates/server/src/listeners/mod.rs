//! What all fronts have in common: accepts connections, keeps each front within its own room, closes what idles or is
//! stuck. How a connection is read and written is its front's: `frames` for routers, `scgi` for gateways.

pub mod frames;
pub mod routes;
pub mod scgi;

use crate::clock::{Clock, MS};
use crate::core::door::{Fault, Peer, Wire};
use crate::core::{Note, Shared};
use crate::counters::add;
use crate::log;
use crate::pool::SIZE;
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

/// Nothing more is read from a connection while more than this waits to be written to it.
const BEHIND: usize = 4 * SIZE;
/// An outbox of which nothing is read for longer than this ends its connection.
const STUCK: Time = 15_000 * MS;
/// A connection on which no whole frame has come after this long, or half a frame stands for this long, is ended.
const SILENT: Time = 2_000 * MS;
/// Idle connections are closed while more than this part of all that may be held are open: routers take no more.
const ROUTERS: usize = 2;
/// One that was used this short a time ago is the last to be closed for room.
const USED: Time = 300 * MS;
/// A connection told to take no new invocation is closed from here once it has rested for this long. One that goes on sending stays
/// until the process ends, as what it sends would cross the close.
const TOLD: Time = 1_000 * MS;
/// A new connection may be silent this long before it is the first to go at the limit of descriptors.
const NEW: Time = 100 * MS;
const SWEEP: Duration = Duration::from_millis(50);
/// Half messages that give up their buffers at once while none is left to be read into.
const GIVEN_UP: usize = 16;
const NO_ROOM: Duration = Duration::from_millis(5);
/// The part of the connections of routers that may stand in a lingering close.
const LINGERING: usize = 16;

pub struct Conn {
    pub peer: Rc<Peer>,
    since: Time,
    /// The connection is to end at once.
    kill: Cell<bool>,
    half_since: Cell<Option<Time>>,
    written: Cell<(u64, Time)>,
    /// It is to be closed, unless something has come on it.
    gives_way: Cell<bool>,
    /// It is to be ended for its silence, unless the rest has come.
    falls_silent: Cell<bool>,
}

impl Conn {
    /// Nothing is open or under way, and none of it stands half read.
    fn rests(&self) -> bool {
        self.peer.is_idle() && self.half_since.get().is_none()
    }
    /// Asks it to close. Guards a request that came in this moment: its task looks into the socket first, and where something
    /// stands there it stays. What comes later crosses the close.
    fn ask_to_close(&self) {
        self.gives_way.set(true);
        self.peer.out.wake.notify_one();
    }
}

/// A message that is not all there.
const HALF: &str = "half a message";
const NOTHING: &str = "nothing was sent";

/// What a front speaks.
pub enum Speaks {
    Frames(Rc<Names>),
    Scgi(Rc<scgi::Door>),
}

/// One listener's connections. Each front has room of its own, so that none takes another's.
pub struct Front {
    shared: Shared,
    queue: Sender<Note>,
    clock: Clock,
    speaks: Speaks,
    most: usize,
    conns: RefCell<Vec<Rc<Conn>>>,
    /// Those in a lingering close, in the order in which they began it, and how many there may be: they hold descriptors, but no
    /// room of others.
    lingering: RefCell<VecDeque<Rc<Conn>>>,
    lingering_most: usize,
    left: Notify,
    /// What forwarders were promised, and how many callers the settings tell of.
    ramp: RefCell<SlowStart>,
    callers: usize,
    /// The listener is to go, and is gone.
    closing: Notify,
    closed: Cell<bool>,
}

impl Front {
    pub fn new(
        shared: &Shared,
        queue: Sender<Note>,
        clock: Clock,
        speaks: Speaks,
        (most, callers): (usize, usize),
    ) -> Rc<Front> {
        let (shared, conns, lingering) = (shared.clone(), RefCell::default(), RefCell::default());
        let (left, closing, closed) = (Notify::new(), Notify::new(), Cell::new(false));
        let lingering_most = if matches!(speaks, Speaks::Frames(_)) { most / LINGERING } else { 0 };
        let most = (most - lingering_most).max(1);
        Rc::new(Front {
            shared,
            queue,
            clock,
            speaks,
            most,
            conns,
            lingering,
            lingering_most,
            ramp: RefCell::default(),
            callers,
            left,
            closing,
            closed,
        })
    }

    /// Connections that take room of others.
    fn connections(&self) -> usize {
        self.conns.borrow().len() - self.lingering.borrow().len()
    }

    /// Nobody is connected, and nobody can connect any more.
    pub fn is_over(&self) -> bool {
        self.closed.get() && self.conns.borrow().is_empty()
    }

    /// Takes connections for as long as the listener stands, which is until the grace of a drain is over. Gateways know nothing of
    /// the roster, so theirs goes at once then: whoever finds it closed knows that nothing ran, and asks elsewhere. That of
    /// routers goes once none is connected.
    pub async fn accept(self: Rc<Front>, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.closing.notified() => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    if self.has_room().await {
                        self.serve(stream);
                    } else {
                        scgi::turn_away(&stream, &self.shared);
                    }
                }
                Err(error) => {
                    add(&self.shared.counters.accept_errors);
                    log!("accept: {error}");
                    tokio::time::sleep(NO_ROOM).await;
                }
            }
        }
        // Guards those that stood in line, perhaps with a whole request: the machine has accepted them, and would reset them when
        // the listener goes. All are taken, with nothing between the last look into the line and its end.
        if let Ok(listener) = listener.into_std() {
            while let Ok((stream, _)) = listener.accept() {
                let taken = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                let Ok(stream) = taken else { continue };
                if self.connections() < self.most {
                    self.serve(stream);
                } else {
                    scgi::turn_away(&stream, &self.shared);
                }
            }
        }
        self.closed.set(true);
    }

    /// Waits for room for one more. A router keeps its connection and waits; a gateway that finds all places taken by
    /// others' invocations is told so.
    async fn has_room(&self) -> bool {
        while self.connections() >= self.most {
            let gives_way = self.make_room();
            if !gives_way && matches!(self.speaks, Speaks::Scgi(_)) {
                return false;
            }
            let _ = tokio::time::timeout(SWEEP, self.left.notified()).await;
        }
        true
    }

    /// Guards the descriptors: at their limit a new connection takes the place of one that was silent from the
    /// start, or else of the one that idles longest, never of one with an open invocation. Those just come or just
    /// used stay longest. May hurt where routers come back at once.
    fn make_room(&self) -> bool {
        let (now, conns) = (self.clock.now(), self.conns.borrow());
        let order = |conn: &&Rc<Conn>| {
            let (spoke, since) = (conn.peer.spoke.get(), conn.peer.active_at.get());
            let new = now - since < if spoke { USED } else { NEW };
            (new, spoke, since)
        };
        // Half a message is no rest, unless it has stood for long.
        let half = |conn: &Conn| conn.half_since.get().is_some_and(|since| now - since < USED);
        let usable = |conn: &Conn| !conn.peer.shut.get() && !conn.gives_way.get() && !half(conn);
        let idle = conns.iter().filter(|conn| conn.peer.is_idle() && usable(conn));
        let Some(conn) = idle.min_by_key(order) else { return false };
        match &self.speaks {
            Speaks::Frames(_) => conn.ask_to_close(),
            Speaks::Scgi(_) => {
                add(&self.shared.counters.idle_closed);
                conn.peer.tell(now);
                conn.peer.end();
            }
        }
        true
    }

    /// A connection begins its lingering close; where too many do, the oldest of them ends it. Its place goes to the next.
    fn lingers(&self, conn: &Rc<Conn>) {
        let mut lingering = self.lingering.borrow_mut();
        lingering.push_back(conn.clone());
        if lingering.len() > self.lingering_most {
            if let Some(oldest) = lingering.pop_front() {
                oldest.kill.set(true);
                oldest.peer.out.wake.notify_one();
            }
        }
        self.left.notify_one();
    }

    /// Looks at all connections from time to time: those that idle, half-sent frames, peers that never read.
    pub async fn sweep(self: Rc<Front>) {
        loop {
            tokio::time::sleep(SWEEP).await;
            let now = self.clock.now();
            let closing = self.shared.voice.closing.get();
            // A gateway's connection carries one request and never idles: only its silence counts.
            let (most, silence) = match &self.speaks {
                _ if closing => (Some(0), SILENT),
                Speaks::Frames(_) => (self.shared.voice.idle.get(), SILENT),
                Speaks::Scgi(door) => (None, door.patience()),
            };
            let conns = self.conns.borrow();
            if closing && (conns.is_empty() || matches!(self.speaks, Speaks::Scgi(_))) {
                self.closing.notify_one();
            }
            // Guards the room of routers against others that ask once and stay: the longest idle go first.
            let crowd = self.connections().saturating_sub(self.most / ROUTERS);
            let mut idle: Vec<&Rc<Conn>> = Vec::new();
            if crowd > 0 {
                let old = |peer: &Peer| now - peer.active_at.get() > USED && !peer.shut.get();
                let idles = |conn: &Conn| conn.rests() && conn.peer.spoke.get() && old(&conn.peer);
                idle.extend(conns.iter().filter(|conn| idles(conn)));
                idle.sort_by_key(|conn| conn.peer.active_at.get());
            }
            idle.into_iter().take(crowd).for_each(|conn| conn.ask_to_close());
            let mut buffers = if self.shared.pool.has_room() { 0 } else { GIVEN_UP };
            for conn in conns.iter() {
                let peer = &conn.peer;
                let before = conn.written.get();
                if peer.out.is_empty() || before.0 != peer.out.written() {
                    conn.written.set((peer.out.written(), now));
                }
                let stuck = now - conn.written.get().1 > STUCK;
                let half_for = conn.half_since.get().map_or(0, |since| now - since);
                // Guards those that wait to be read: where no buffer is left, half messages that have stood for a while give theirs
                // up, a few at a time. May hurt where all write slowly.
                let gives_up = buffers > 0 && half_for > USED.min(silence) && !peer.shut.get();
                buffers -= usize::from(gives_up);
                let half = gives_up || half_for > silence;
                let silent = !peer.spoke.get() && now - conn.since > silence && !peer.shut.get();
                let idles = most.is_some_and(|most| now - peer.active_at.get() >= most);
                if stuck {
                    add(&self.shared.counters.stuck_closed);
                    log!("a caller reads nothing");
                    conn.kill.set(true);
                    peer.out.wake.notify_one();
                } else if (half || silent) && matches!(self.speaks, Speaks::Frames(_)) {
                    conn.falls_silent.set(true);
                    peer.out.wake.notify_one();
                } else if half || silent {
                    add(&self.shared.counters.silent_closed);
                    conn.half_since.set(None);
                    let what = if half { HALF } else { NOTHING };
                    peer.breach(&self.shared.counters, 0, Fault::Slow, what);
                } else if peer.told.get().is_some_and(|at| now - at.max(peer.active_at.get()) > TOLD) {
                    conn.ask_to_close();
                } else if idles && peer.is_idle() && peer.told.get().is_none() {
                    add(&self.shared.counters.idle_closed);
                    peer.tell(now);
                }
            }
        }
    }

    fn serve(self: &Rc<Front>, stream: TcpStream) {
        add(&self.shared.counters.connections);
        let _ = stream.set_nodelay(true);
        let front = self.clone();
        // A task of its own kind each: one that could be either would hold the state of both.
        match &self.speaks {
            Speaks::Frames(names) => {
                let (names, conn) = (names.clone(), self.admit(Rc::new(frames::Frames)));
                let mut stream = stream;
                tokio::task::spawn_local(async move {
                    let ended = frames::carry(&front, &names, &mut stream, &conn).await;
                    drop(stream); // its descriptor before its room
                    front.leave(&conn, ended).await;
                });
            }
            Speaks::Scgi(door) => {
                let (door, caller) = (door.clone(), Rc::new(scgi::Caller::default()));
                let conn = self.admit(caller.clone());
                tokio::task::spawn_local(async move {
                    let ended = scgi::carry(&front, &door, &caller, stream, &conn).await;
                    front.leave(&conn, ended).await;
                });
            }
        }
    }

    fn admit(&self, wire: Rc<dyn Wire>) -> Rc<Conn> {
        let now = self.clock.now();
        let conn = Rc::new(Conn {
            peer: Rc::new(Peer::new(&self.shared.pool, wire, now)),
            since: now,
            kill: Cell::new(false),
            half_since: Cell::new(None),
            written: Cell::new((0, now)),
            gives_way: Cell::new(false),
            falls_silent: Cell::new(false),
        });
        self.conns.borrow_mut().push(conn.clone());
        conn
    }

    /// The one place where a connection's room is given back; the core is told that it is gone.
    async fn leave(&self, conn: &Rc<Conn>, ended: io::Result<()>) {
        if let Err(error) = ended {
            if error.kind() != ErrorKind::ConnectionReset && error.kind() != ErrorKind::BrokenPipe {
                log!("a caller's connection: {error}");
            }
        }
        self.conns.borrow_mut().retain(|other| !Rc::ptr_eq(other, conn));
        self.lingering.borrow_mut().retain(|other| !Rc::ptr_eq(other, conn));
        self.left.notify_one();
        conn.peer.gone.set(true);
        conn.peer.out.clear();
        let _ = self.queue.send(Note::Closed { peer: conn.peer.clone() }).await;
    }
}
