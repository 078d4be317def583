//! The gateways' front: one SCGI request a connection to a neutral invocation, a neutral answer to a CGI response.

use super::routes::{Refusal, Route, Routes};
use super::{Conn, Front, NO_ROOM};
use crate::clock::{unix, MS};
use crate::core::door::{Cause, Fault, How, Txn, Wire};
use crate::core::{Note, Shared};
use crate::counters::add;
use crate::log;
use crate::pool::{Outbox, SIZE};
use crate::sockets::linger;
use cypresscleat_scgi::request::{self, Reader};
use cypresscleat_scgi::{response, Bounds};
use cypresscleat_scheduler::Time;
use std::cell::{Cell, RefCell};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, ErrorKind};
use std::rc::Rc;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Of what stands behind a request so much is read and dropped before its answer; then reading waits for it.
const EXTRA: usize = 64 * 1024;
/// The time to come back for one that finds no room at all, in milliseconds.
const NO_ROOM_BACK: Time = 1000 * MS;
/// The first line of an answer to a caller that has ended its input, written before the answer is known.
const FIRST: (&str, &str) = ("Cache-Control", "no-store");

/// What all connections of the front share.
pub struct Door {
    routes: RefCell<Rc<Routes>>,
    bounds: Cell<Bounds>,
    patience: Cell<Time>,
    /// Ids minted here begin with these; no router's id does, as those are hexadecimal digits.
    own: [u8; 8],
    minted: Cell<u32>,
}

impl Door {
    /// `name` and `start` keep the ids of this start apart from those of others. A forwarder's look like a router's, as
    /// workers take them for such.
    pub fn new(
        name: &str,
        start: Time,
        forwards: bool,
        routes: Rc<Routes>,
        bounds: Bounds,
        patience: Time,
    ) -> Door {
        let mut hasher = DefaultHasher::new();
        (name, start, std::process::id()).hash(&mut hasher);
        let word = match hasher.finish() {
            hash if forwards => format!("{:08x}", hash as u32),
            hash => format!("s{:07x}", hash & 0xfff_ffff),
        };
        let mut own = [b'0'; 8];
        own.copy_from_slice(word.as_bytes());
        let door = Door {
            routes: RefCell::new(routes),
            bounds: Cell::new(bounds),
            patience: Cell::new(patience),
            own,
            minted: Cell::new(0),
        };
        door.bounded();
        door
    }
    /// As the fleet's policy has it.
    pub fn waits(&self, patience: Time) {
        self.patience.set(patience);
    }
    /// From the next request on.
    pub fn follow(&self, routes: Rc<Routes>, bounds: Bounds, patience: Time) {
        *self.routes.borrow_mut() = routes;
        self.bounds.set(bounds);
        self.patience.set(patience);
        self.bounded();
    }
    /// A request stands in one buffer, whatever is asked for.
    fn bounded(&self) {
        let mut bounds = self.bounds.get();
        bounds.body = bounds.body.min(crate::frames::BODY);
        while Reader::most(&bounds) > SIZE {
            bounds.header -= 1;
        }
        self.bounds.set(bounds);
    }
    /// How long a request may take to come.
    pub fn patience(&self) -> Time {
        self.patience.get()
    }
    fn mint(&self) -> Txn {
        let number = self.minted.replace(self.minted.get().wrapping_add(1));
        let mut txn: Txn = [b'0'; 16];
        txn[..8].copy_from_slice(&self.own);
        txn[8..].copy_from_slice(format!("{number:08x}").as_bytes());
        txn
    }
}

/// Writes the one response of a connection.
#[derive(Default)]
pub struct Caller {
    route: RefCell<Option<Rc<Route>>>,
    /// Its answer asks for no body.
    head: Cell<bool>,
    /// Its first line was written already.
    begun: Cell<bool>,
    answered: Cell<bool>,
}

impl Caller {
    fn respond(&self, out: &Outbox, status: u16, fields: &[(&str, &str)], body: &[u8]) {
        // Guards against a second answer on a connection that carries one.
        if self.answered.replace(true) {
            return;
        }
        let route = self.route.borrow();
        let kind = match &*route {
            Some(route) if status == 200 => &route.content_type,
            _ => "text/plain",
        };
        let mut all = vec![("Content-Type", kind)];
        if !self.begun.get() {
            all.push(FIRST);
        }
        all.extend(fields);
        let mut bytes = Vec::with_capacity(256 + body.len());
        if !response::write(&mut bytes, status, &all, body) {
            log!("a response of {status} went without a field that can't stand in one");
        }
        if self.head.get() {
            bytes.truncate(bytes.len() - body.len());
        }
        out.push(&bytes);
    }

    /// Tells a caller that reads on from one that has closed: the first line of its answer, which the system of one that
    /// has closed answers with a reset.
    fn begin(&self, out: &Outbox) {
        if !self.answered.get() && !self.begun.replace(true) {
            out.push(format!("{}: {}\r\n", FIRST.0, FIRST.1).as_bytes());
        }
    }

    fn refuse(&self, out: &Outbox, refusal: &Refusal) {
        match refusal {
            Refusal::Path => self.respond(out, 404, &[], b"no such route\n"),
            Refusal::Method(methods) => {
                self.respond(out, 405, &[("Allow", methods)], b"not with this method\n")
            }
            Refusal::Wrong(what) => self.respond(out, 400, &[], format!("{what}\n").as_bytes()),
        }
    }
}

/// When to come back, in whole seconds and in milliseconds; both empty where nothing is said.
fn back_words(back: Time) -> Option<(String, String)> {
    let ms = back / MS;
    (ms > 0).then(|| (((ms + 999) / 1000).to_string(), ms.to_string()))
}

impl Wire for Caller {
    fn answer(&self, out: &Outbox, _: u32, how: How, body: &[u8], feedback: Option<f64>) {
        let feedback = feedback.map(|value| format!("{value:.4}"));
        let mut fields = Vec::new();
        if let Some(value) = &feedback {
            fields.push(("Cypresscleat-Feedback", value.as_str()));
        }
        match how {
            How::Succeeded => self.respond(out, 200, &fields, body),
            How::Errored(Cause::Failed) => self.respond(out, 502, &fields, b"it errored\n"),
            How::Errored(Cause::Late) => self.respond(out, 504, &fields, b"its time was over\n"),
            How::Throttled { back, give_up } => {
                let words = back_words(back);
                if let Some((seconds, ms)) = &words {
                    fields.extend([("Retry-After", seconds.as_str()), ("Retry-After-Ms", ms.as_str())]);
                }
                if give_up {
                    fields.push(("Cypresscleat-Give-Up", "1"));
                }
                self.respond(out, 503, &fields, b"not now\n");
            }
        }
    }
    fn fault(&self, out: &Outbox, _: u32, fault: Fault) {
        match fault {
            Fault::Malformed => self.respond(out, 400, &[], b"not understood\n"),
            Fault::Slow => self.respond(out, 408, &[], b"it did not come in time\n"),
            Fault::NotReady => self.no_room(out),
        }
    }
    /// Nothing of it ran.
    fn no_more(&self, out: &Outbox) -> bool {
        self.no_room(out);
        true
    }
}

impl Caller {
    fn no_room(&self, out: &Outbox) {
        if let Some((seconds, ms)) = back_words(NO_ROOM_BACK) {
            let fields = [("Retry-After", seconds.as_str()), ("Retry-After-Ms", ms.as_str())];
            self.respond(out, 503, &fields, b"not now\n");
        }
    }
}

/// The status for what is no request.
pub fn status(fault: request::Fault) -> u16 {
    match fault {
        request::Fault::HeaderTooLarge(_) | request::Fault::TooManyFields(_) => 431,
        request::Fault::BodyTooLarge(_) => 413,
        request::Fault::NoContentLength => 411,
        _ => 400,
    }
}

/// One that finds the front full, with nobody to give way: told at once, as far as its socket takes it.
pub fn turn_away(stream: &TcpStream, shared: &Shared) {
    add(&shared.counters.turned_away);
    let (caller, out) = (Caller::default(), Outbox::new(&shared.pool));
    caller.no_room(&out);
    let mut dropped = [0; 1024];
    while matches!(stream.try_read(&mut dropped), Ok(1..)) {}
    let _ = out.flush(|bytes| stream.try_write(bytes));
}

/// Reads one request, passes it on, waits for its answer, and writes it. An error is the caller's reset: it has left.
pub async fn carry(
    front: &Front,
    door: &Door,
    caller: &Caller,
    mut stream: TcpStream,
    conn: &Conn,
) -> io::Result<()> {
    let (peer, pool, counters) = (&conn.peer, &front.shared.pool, &front.shared.counters);
    let mut reader = Reader::new(door.bounds.get());
    let mut buf = None;
    // The request has gone to the core; the caller has ended its input; bytes that belong to nothing.
    let (mut passed, mut ended, mut extra) = (false, false, 0);
    // All that came was one request.
    let mut whole = false;
    loop {
        peer.out.flush(|bytes| stream.try_write(bytes))?;
        if conn.kill.get() {
            return Ok(());
        }
        if (caller.answered.get() || peer.shut.get()) && peer.is_idle() {
            break;
        }
        let writes = !peer.out.is_empty();
        let reads = !ended && !caller.answered.get() && !peer.shut.get() && extra <= EXTRA;
        let room = passed || buf.is_some() || pool.has_room();
        tokio::select! {
            () = peer.out.wake.notified() => continue,
            ready = stream.writable(), if writes => { ready?; continue }
            // Behind the end of its input only a reset can come: it has closed, and waits no longer.
            ready = stream.ready(Interest::ERROR), if ended => {
                ready?;
                return Err(stream.take_error()?.unwrap_or_else(|| ErrorKind::ConnectionReset.into()));
            }
            ready = stream.readable(), if reads && room => ready?,
            () = tokio::time::sleep(NO_ROOM), if reads && !room => continue,
        }
        if passed {
            let mut dropped = [0; 1024];
            match stream.try_read(&mut dropped) {
                Ok(0) => {
                    ended = true;
                    caller.begin(&peer.out);
                }
                Ok(many) => {
                    if extra == 0 {
                        add(&counters.malformed);
                    }
                    extra += many;
                    whole = false;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
            continue;
        }
        let mut bytes = buf.take().unwrap_or_else(|| pool.take());
        match stream.try_read(bytes.spare()) {
            Ok(0) if bytes.is_empty() => return Ok(()),
            Ok(0) => {
                ended = true;
                peer.malformed(counters, 1, Fault::Malformed, "a request cut short");
                continue;
            }
            Ok(many) => bytes.filled(many),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                buf = Some(bytes).filter(|bytes| !bytes.is_empty());
                continue;
            }
            Err(error) => return Err(error),
        }
        conn.half_since.set(conn.half_since.get().or(Some(front.clock.now())));
        match reader.read(&bytes) {
            Ok(None) => {
                buf = Some(bytes);
                continue;
            }
            Ok(Some(request)) => {
                peer.spoke.set(true);
                caller.head.set(request.field("REQUEST_METHOD") == Some(b"HEAD"));
                extra = bytes.len() - request.size;
                whole = extra == 0;
                if !whole {
                    add(&counters.malformed);
                }
                let routes = door.routes.borrow().clone();
                match routes.invocation(door.mint(), unix(), &bytes, &request) {
                    Ok((route, part)) => {
                        passed = true;
                        *caller.route.borrow_mut() = Some(route);
                        peer.queued.set(peer.queued.get() + 1);
                        peer.active_at.set(front.clock.now());
                        let note =
                            Note::Arrived { peer: peer.clone(), stream: 1, read: Ok(part.with(bytes)) };
                        let _ = front.queue.send(note).await;
                    }
                    Err(refusal) => {
                        add(&counters.malformed);
                        caller.refuse(&peer.out, &refusal);
                    }
                }
            }
            Err(fault) => {
                peer.spoke.set(true);
                add(&counters.malformed);
                log!("from a gateway: {fault}");
                caller.respond(&peer.out, status(fault), &[], format!("{fault}\n").as_bytes());
            }
        }
        conn.half_since.set(None);
    }
    // Whoever has sent no more than its request is let go at once.
    if whole || ended {
        return Ok(());
    }
    // A wake may be that of the answer; only an end from here ends it early.
    linger(&mut stream, &peer.out.wake, || peer.shut.get()).await
}
