//! The routers' connections: accepts them, reads frames, writes outboxes, closes what idles or is stuck.

use crate::clock::{Clock, MS};
use crate::core::{Note, Peer, Shared};
use crate::counters::add;
use crate::frames::{self, Next};
use crate::log;
use crate::pool::{Buf, SIZE};
use cypresscleat::api::Time;
use std::cell::{Cell, RefCell};
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
/// A connection told to take no new invocation is closed from here after this long without one.
const TOLD: Time = 1_000 * MS;
/// A new connection may be silent this long before it is the first to go at the limit of descriptors.
const NEW: Time = 100 * MS;
const SWEEP: Duration = Duration::from_millis(50);
const NO_ROOM: Duration = Duration::from_millis(5);

struct Conn {
    peer: Rc<Peer>,
    since: Time,
    /// The connection is to end at once.
    kill: Cell<bool>,
    half_since: Cell<Option<Time>>,
    written: Cell<(u64, Time)>,
}

pub struct Front {
    shared: Shared,
    queue: Sender<Note>,
    clock: Clock,
    most: usize,
    conns: RefCell<Vec<Rc<Conn>>>,
    left: Notify,
}

impl Front {
    pub fn new(shared: &Shared, queue: Sender<Note>, clock: Clock, most: usize) -> Rc<Front> {
        let (shared, conns, left) = (shared.clone(), RefCell::default(), Notify::new());
        Rc::new(Front { shared, queue, clock, most: most.max(1), conns, left })
    }

    pub fn connections(&self) -> usize {
        self.conns.borrow().len()
    }

    pub async fn accept(self: Rc<Front>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    while self.connections() >= self.most {
                        self.make_room();
                        let _ = tokio::time::timeout(SWEEP, self.left.notified()).await;
                    }
                    self.serve(stream);
                }
                Err(error) => {
                    log!("accept: {error}");
                    tokio::time::sleep(NO_ROOM).await;
                }
            }
        }
    }

    /// Guards the descriptors: at their limit a new connection takes the place of one that was silent from the
    /// start, or else of the one that idles longest, never of one with an open invocation. Those just come or just
    /// used stay longest. May hurt where routers come back at once.
    fn make_room(&self) {
        let (now, conns) = (self.clock.now(), self.conns.borrow());
        let order = |conn: &&Rc<Conn>| {
            let (spoke, since) = (conn.peer.spoke.get(), conn.peer.active_at.get());
            let new = now - since < if spoke { USED } else { NEW };
            (new, spoke, since)
        };
        let idle = conns.iter().filter(|conn| conn.peer.is_idle() && !conn.peer.shut.get());
        let Some(conn) = idle.min_by_key(order) else { return };
        add(&self.shared.counters.idle_closed);
        conn.peer.tell(now);
        conn.peer.end();
    }

    /// Looks at all connections from time to time: those that idle, half-sent frames, peers that never read.
    pub async fn sweep(self: Rc<Front>) {
        loop {
            tokio::time::sleep(SWEEP).await;
            let now = self.clock.now();
            let most = if self.shared.voice.closing.get() { Some(0) } else { self.shared.voice.idle.get() };
            let conns = self.conns.borrow();
            // Guards the room of routers against others that ask once and stay: the longest idle go first.
            let crowd = conns.len().saturating_sub(self.most / ROUTERS);
            let mut idle: Vec<&Rc<Conn>> = Vec::new();
            if crowd > 0 {
                let old = |peer: &Peer| now - peer.active_at.get() > USED && !peer.shut.get();
                let idles = |peer: &Peer| peer.is_idle() && peer.spoke.get() && old(peer);
                idle.extend(conns.iter().filter(|conn| idles(&conn.peer)));
                idle.sort_by_key(|conn| conn.peer.active_at.get());
            }
            for conn in idle.into_iter().take(crowd) {
                add(&self.shared.counters.idle_closed);
                conn.peer.tell(now);
                conn.peer.end();
            }
            for conn in conns.iter() {
                let peer = &conn.peer;
                let before = conn.written.get();
                if peer.out.is_empty() || before.0 != peer.out.written() {
                    conn.written.set((peer.out.written(), now));
                }
                let stuck = now - conn.written.get().1 > STUCK;
                let half = conn.half_since.get().is_some_and(|since| now - since > SILENT);
                let silent = !peer.spoke.get() && now - conn.since > SILENT && !peer.shut.get();
                let idles = most.is_some_and(|most| now - peer.active_at.get() >= most);
                if stuck {
                    add(&self.shared.counters.stuck_closed);
                    log!("a router reads nothing");
                    conn.kill.set(true);
                    peer.out.wake.notify_one();
                } else if half || silent {
                    add(&self.shared.counters.silent_closed);
                    conn.half_since.set(None);
                    peer.breach(
                        &self.shared.counters,
                        0,
                        if half { "a frame half sent" } else { "nothing was sent" },
                    );
                } else if peer.told.get().is_some_and(|at| now - at > TOLD) {
                    peer.end();
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
        let now = self.clock.now();
        let conn = Rc::new(Conn {
            peer: Rc::new(Peer::new(&self.shared.pool, now)),
            since: now,
            kill: Cell::new(false),
            half_since: Cell::new(None),
            written: Cell::new((0, now)),
        });
        self.conns.borrow_mut().push(conn.clone());
        let front = self.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = front.carry(&stream, &conn).await {
                if error.kind() != ErrorKind::ConnectionReset && error.kind() != ErrorKind::BrokenPipe {
                    log!("a router's connection: {error}");
                }
            }
            drop(stream);
            front.conns.borrow_mut().retain(|other| !Rc::ptr_eq(other, &conn));
            front.left.notify_one();
            conn.peer.gone.set(true);
            conn.peer.out.clear();
            let _ = front.queue.send(Note::Closed { peer: conn.peer.clone() }).await;
        });
    }

    /// Reads and writes one connection until it ends. After its end of input, or once it broke the protocol and
    /// is read no more, what is open on it is still answered.
    async fn carry(&self, stream: &TcpStream, conn: &Conn) -> io::Result<()> {
        let (peer, pool) = (&conn.peer, &self.shared.pool);
        let mut reader = Reader { kept: None, ended: false };
        loop {
            peer.out.flush(|bytes| stream.try_write(bytes))?;
            let over = reader.ended || peer.shut.get();
            if conn.kill.get() || over && peer.is_idle() {
                return Ok(());
            }
            let writes = !peer.out.is_empty();
            let reads = !reader.ended && !peer.shut.get() && peer.out.len() < BEHIND;
            let room = reader.kept.is_some() || pool.has_room();
            tokio::select! {
                () = peer.out.wake.notified() => {}
                ready = stream.writable(), if writes => ready?,
                ready = stream.readable(), if reads && room => {
                    ready?;
                    let mut buf = reader.kept.take().unwrap_or_else(|| pool.take());
                    match stream.try_read(buf.spare()) {
                        Ok(0) => reader.ended = true,
                        Ok(many) => {
                            buf.filled(many);
                            self.frames(conn, &mut buf).await;
                        }
                        Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                        Err(error) => return Err(error),
                    }
                    conn.half_since.set(match conn.half_since.get() {
                        _ if buf.is_empty() => None,
                        since => since.or(Some(self.clock.now())),
                    });
                    if !buf.is_empty() {
                        reader.kept = Some(buf);
                    }
                }
                () = tokio::time::sleep(NO_ROOM), if reads && !room => {}
            }
        }
    }

    /// Takes all whole frames from the buffer.
    async fn frames(&self, conn: &Conn, buf: &mut Buf) {
        let peer = &conn.peer;
        let mut at = 0;
        while !peer.shut.get() {
            match frames::next(&buf[at..], SIZE) {
                Next::More => break,
                Next::Frame { kind, stream, payload, size } => {
                    self.frame(peer, kind, stream, payload).await;
                    conn.half_since.set(None);
                    at += size;
                }
                Next::Large { kind, stream, size } => {
                    let stream = if kind == frames::INVOCATION { stream } else { 0 };
                    peer.breach(&self.shared.counters, stream, &format!("a frame of {size} bytes"));
                }
                Next::Broken { length } => {
                    peer.breach(&self.shared.counters, 0, &format!("a frame of length {length}"));
                }
            }
        }
        buf.consume(if peer.shut.get() { buf.len() } else { at });
    }

    async fn frame(&self, peer: &Rc<Peer>, kind: u8, stream: u32, payload: &[u8]) {
        peer.active_at.set(self.clock.now());
        let note = match kind {
            frames::INVOCATION if stream > 0 => {
                let mut copy = self.shared.pool.take();
                copy.push(payload);
                peer.queued.set(peer.queued.get() + 1);
                Note::Arrived { peer: peer.clone(), stream, payload: copy }
            }
            frames::LEFT => Note::Left { peer: peer.clone(), stream },
            frames::CHECK => return self.check(peer, stream),
            _ => {
                let what = format!("a frame of type {kind} on stream {stream}");
                return peer.breach(&self.shared.counters, 0, &what);
            }
        };
        peer.spoke.set(true);
        let _ = self.queue.send(note).await;
    }

    /// Health checks are answered here and at once, with what the module said last.
    fn check(&self, peer: &Peer, stream: u32) {
        peer.spoke.set(true);
        add(&self.shared.counters.checks);
        let voice = &self.shared.voice;
        let code = if voice.good.get() { frames::SUCCEEDED } else { frames::ERRORED };
        let frame = voice.with(&[], |fields| frames::answer(frames::CHECKED, stream, code, fields, b""));
        peer.out.push(&frame);
    }
}

struct Reader {
    kept: Option<Buf>,
    ended: bool,
}
