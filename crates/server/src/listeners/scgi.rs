//! The gateways' front: one SCGI request a connection to a neutral invocation, a neutral answer to a CGI response.

use super::routes::{Route, RouteError, Routes};
use super::{Connection, Frontend, CAPACITY_RETRY_DELAY};
use crate::clock::{unix, MS};
use crate::core::incoming::{FailureCause, RequestError, RequestId, ResponseStatus, ResponseWriter};
use crate::core::{CoreEvent, Shared};
use crate::counters::add;
use crate::log;
use crate::pool::{Outbox, BUFFER_BYTES};
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
const MAX_EXTRA_BYTES: usize = 64 * 1024;
/// The time to come back for one that finds no room at all, in milliseconds.
const OVERLOADED_RETRY_AFTER: Time = 1000 * MS;
/// The first line of an answer to a caller that has ended its input, written before the answer is known.
const FIRST_FIELD: (&str, &str) = ("Cache-Control", "no-store");

/// What all connections of the front share.
pub struct ScgiContext {
    routes: RefCell<Rc<Routes>>,
    bounds: Cell<Bounds>,
    request_timeout: Cell<Time>,
    /// Ids minted here begin with these; no router's id does, as those are hexadecimal digits.
    id_prefix: [u8; 8],
    last_id: Cell<u32>,
}

impl ScgiContext {
    /// `name` and `start` keep the ids of this start apart from those of others. A forwarder's look like a router's, as
    /// workers take them for such.
    pub fn new(
        name: &str,
        start: Time,
        is_forwarder: bool,
        routes: Rc<Routes>,
        bounds: Bounds,
        request_timeout: Time,
    ) -> ScgiContext {
        let mut hasher = DefaultHasher::new();
        (name, start, std::process::id()).hash(&mut hasher);
        let prefix = match hasher.finish() {
            hash if is_forwarder => format!("{:08x}", hash as u32),
            hash => format!("s{:07x}", hash & 0xfff_ffff),
        };
        let mut id_prefix = [b'0'; 8];
        id_prefix.copy_from_slice(prefix.as_bytes());
        let context = ScgiContext {
            routes: RefCell::new(routes),
            bounds: Cell::new(bounds),
            request_timeout: Cell::new(request_timeout),
            id_prefix,
            last_id: Cell::new(0),
        };
        context.clamp_bounds();
        context
    }
    /// As the fleet's policy has it.
    pub fn set_request_timeout(&self, request_timeout: Time) {
        self.request_timeout.set(request_timeout);
    }
    /// From the next request on.
    pub fn reconfigure(&self, routes: Rc<Routes>, bounds: Bounds, request_timeout: Time) {
        *self.routes.borrow_mut() = routes;
        self.bounds.set(bounds);
        self.request_timeout.set(request_timeout);
        self.clamp_bounds();
    }
    /// A request stands in one buffer, whatever is asked for.
    fn clamp_bounds(&self) {
        let mut bounds = self.bounds.get();
        bounds.body = bounds.body.min(crate::frames::MAX_BODY_BYTES);
        while Reader::most(&bounds) > BUFFER_BYTES {
            bounds.header -= 1;
        }
        self.bounds.set(bounds);
    }
    /// How long a request may take to come.
    pub fn request_timeout(&self) -> Time {
        self.request_timeout.get()
    }
    fn next_request_id(&self) -> RequestId {
        let number = self.last_id.replace(self.last_id.get().wrapping_add(1));
        let mut request_id: RequestId = [b'0'; 16];
        request_id[..8].copy_from_slice(&self.id_prefix);
        request_id[8..].copy_from_slice(format!("{number:08x}").as_bytes());
        request_id
    }
}

/// Writes the one response of a connection.
#[derive(Default)]
pub struct ScgiResponder {
    route: RefCell<Option<Rc<Route>>>,
    /// Its answer asks for no body.
    is_head: Cell<bool>,
    /// Its first line was written already.
    has_begun: Cell<bool>,
    has_responded: Cell<bool>,
}

impl ScgiResponder {
    fn respond(&self, outbox: &Outbox, status: u16, fields: &[(&str, &str)], body: &[u8]) {
        // Guards against a second answer on a connection that carries one.
        if self.has_responded.replace(true) {
            return;
        }
        let route = self.route.borrow();
        let content_type = match &*route {
            Some(route) if status == 200 => &route.content_type,
            _ => "text/plain",
        };
        let mut all = vec![("Content-Type", content_type)];
        if !self.has_begun.get() {
            all.push(FIRST_FIELD);
        }
        all.extend(fields);
        let mut bytes = Vec::with_capacity(256 + body.len());
        if !response::write(&mut bytes, status, &all, body) {
            log!("a response of {status} went without a field that can't stand in one");
        }
        if self.is_head.get() {
            bytes.truncate(bytes.len() - body.len());
        }
        outbox.push(&bytes);
    }

    /// Tells a caller that reads on from one that has closed: the first line of its answer, which the system of one that
    /// has closed answers with a reset.
    fn begin_response(&self, outbox: &Outbox) {
        if !self.has_responded.get() && !self.has_begun.replace(true) {
            outbox.push(format!("{}: {}\r\n", FIRST_FIELD.0, FIRST_FIELD.1).as_bytes());
        }
    }

    fn respond_to_route_error(&self, outbox: &Outbox, error: &RouteError) {
        match error {
            RouteError::UnknownPath => self.respond(outbox, 404, &[], b"no such route\n"),
            RouteError::MethodNotAllowed(methods) => {
                self.respond(outbox, 405, &[("Allow", methods)], b"not with this method\n")
            }
            RouteError::Invalid(what) => self.respond(outbox, 400, &[], format!("{what}\n").as_bytes()),
        }
    }
}

/// When to come back, in whole seconds and in milliseconds; both empty where nothing is said.
fn retry_after_values(retry_after: Time) -> Option<(String, String)> {
    let ms = retry_after / MS;
    (ms > 0).then(|| (((ms + 999) / 1000).to_string(), ms.to_string()))
}

impl ResponseWriter for ScgiResponder {
    fn write_response(
        &self,
        outbox: &Outbox,
        _: u32,
        status: ResponseStatus,
        body: &[u8],
        feedback: Option<f64>,
    ) {
        let feedback = feedback.map(|value| format!("{value:.4}"));
        let mut fields = Vec::new();
        if let Some(value) = &feedback {
            fields.push(("Cypresscleat-Feedback", value.as_str()));
        }
        match status {
            ResponseStatus::Succeeded => self.respond(outbox, 200, &fields, body),
            ResponseStatus::Failed(FailureCause::ExecutionFailed) => {
                self.respond(outbox, 502, &fields, b"it errored\n")
            }
            ResponseStatus::Failed(FailureCause::DeadlineExceeded) => {
                self.respond(outbox, 504, &fields, b"its time was over\n")
            }
            ResponseStatus::Rejected { retry_after, no_retry_elsewhere } => {
                let values = retry_after_values(retry_after);
                if let Some((seconds, ms)) = &values {
                    fields.extend([("Retry-After", seconds.as_str()), ("Retry-After-Ms", ms.as_str())]);
                }
                if no_retry_elsewhere {
                    fields.push(("Cypresscleat-Give-Up", "1"));
                }
                self.respond(outbox, 503, &fields, b"not now\n");
            }
        }
    }
    fn write_error(&self, outbox: &Outbox, _: u32, error: RequestError) {
        match error {
            RequestError::Malformed => self.respond(outbox, 400, &[], b"not understood\n"),
            RequestError::TimedOut => self.respond(outbox, 408, &[], b"it did not come in time\n"),
            RequestError::NotReady => self.respond_overloaded(outbox),
        }
    }
    /// Nothing of it ran.
    fn write_close_notice(&self, outbox: &Outbox) -> bool {
        self.respond_overloaded(outbox);
        true
    }
}

impl ScgiResponder {
    fn respond_overloaded(&self, outbox: &Outbox) {
        if let Some((seconds, ms)) = retry_after_values(OVERLOADED_RETRY_AFTER) {
            let fields = [("Retry-After", seconds.as_str()), ("Retry-After-Ms", ms.as_str())];
            self.respond(outbox, 503, &fields, b"not now\n");
        }
    }
}

/// The status for what is no request.
pub fn status_for(fault: request::Fault) -> u16 {
    match fault {
        request::Fault::HeaderTooLarge(_) | request::Fault::TooManyFields(_) => 431,
        request::Fault::BodyTooLarge(_) => 413,
        request::Fault::NoContentLength => 411,
        _ => 400,
    }
}

/// One that finds the front full, with nobody to give way: told at once, as far as its socket takes it.
pub fn reject_connection(stream: &TcpStream, shared: &Shared) {
    add(&shared.counters.turned_away);
    let (responder, outbox) = (ScgiResponder::default(), Outbox::new(&shared.pool));
    responder.respond_overloaded(&outbox);
    let mut dropped = [0; 1024];
    while matches!(stream.try_read(&mut dropped), Ok(1..)) {}
    let _ = outbox.flush(|bytes| stream.try_write(bytes));
}

/// Reads one request, passes it on, waits for its answer, and writes it. An error is the caller's reset: it has left.
pub async fn run_connection(
    frontend: &Frontend,
    context: &ScgiContext,
    responder: &ScgiResponder,
    mut stream: TcpStream,
    connection: &Connection,
) -> io::Result<()> {
    let (peer, pool, counters) = (&connection.peer, &frontend.shared.pool, &frontend.shared.counters);
    let mut reader = Reader::new(context.bounds.get());
    let mut buf = None;
    // The request has gone to the core; the caller has ended its input; bytes that belong to nothing.
    let (mut passed, mut ended, mut extra) = (false, false, 0);
    // All that came was one request.
    let mut whole = false;
    loop {
        peer.outbox.flush(|bytes| stream.try_write(bytes))?;
        if connection.end_now.get() {
            return Ok(());
        }
        if (responder.has_responded.get() || peer.is_closing.get()) && peer.is_idle() {
            break;
        }
        let can_write = !peer.outbox.is_empty();
        let can_read =
            !ended && !responder.has_responded.get() && !peer.is_closing.get() && extra <= MAX_EXTRA_BYTES;
        let has_buffer = passed || buf.is_some() || pool.has_capacity();
        tokio::select! {
            () = peer.outbox.wake.notified() => continue,
            ready = stream.writable(), if can_write => { ready?; continue }
            // Behind the end of its input only a reset can come: it has closed, and waits no longer.
            ready = stream.ready(Interest::ERROR), if ended => {
                ready?;
                return Err(stream.take_error()?.unwrap_or_else(|| ErrorKind::ConnectionReset.into()));
            }
            ready = stream.readable(), if can_read && has_buffer => ready?,
            () = tokio::time::sleep(CAPACITY_RETRY_DELAY), if can_read && !has_buffer => continue,
        }
        if passed {
            let mut dropped = [0; 1024];
            match stream.try_read(&mut dropped) {
                Ok(0) => {
                    ended = true;
                    responder.begin_response(&peer.outbox);
                }
                Ok(count) => {
                    if extra == 0 {
                        add(&counters.malformed);
                    }
                    extra += count;
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
                peer.reject_malformed(counters, 1, RequestError::Malformed, "a request cut short");
                continue;
            }
            Ok(count) => bytes.advance(count),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                buf = Some(bytes).filter(|bytes| !bytes.is_empty());
                continue;
            }
            Err(error) => return Err(error),
        }
        connection.partial_since.set(connection.partial_since.get().or(Some(frontend.clock.now())));
        match reader.read(&bytes) {
            Ok(None) => {
                buf = Some(bytes);
                continue;
            }
            Ok(Some(request)) => {
                peer.has_received_message.set(true);
                responder.is_head.set(request.field("REQUEST_METHOD") == Some(b"HEAD"));
                extra = bytes.len() - request.size;
                whole = extra == 0;
                if !whole {
                    add(&counters.malformed);
                }
                let routes = context.routes.borrow().clone();
                match routes.parse_request(context.next_request_id(), unix(), &bytes, &request) {
                    Ok((route, parsed)) => {
                        passed = true;
                        *responder.route.borrow_mut() = Some(route);
                        peer.queued_requests.set(peer.queued_requests.get() + 1);
                        peer.active_at.set(frontend.clock.now());
                        let event = CoreEvent::RequestArrived {
                            peer: peer.clone(),
                            stream: 1,
                            request: Ok(parsed.with_buffer(bytes)),
                        };
                        let _ = frontend.queue.send(event).await;
                    }
                    Err(error) => {
                        add(&counters.malformed);
                        responder.respond_to_route_error(&peer.outbox, &error);
                    }
                }
            }
            Err(fault) => {
                peer.has_received_message.set(true);
                add(&counters.malformed);
                log!("from a gateway: {fault}");
                responder.respond(&peer.outbox, status_for(fault), &[], format!("{fault}\n").as_bytes());
            }
        }
        connection.partial_since.set(None);
    }
    // Whoever has sent no more than its request is let go at once.
    if whole || ended {
        return Ok(());
    }
    // A wake may be that of the answer; only an end from here ends it early.
    linger(&mut stream, &peer.outbox.wake, || peer.is_closing.get()).await
}
