//! The frontend for gateways: translates one SCGI request per connection, and its response to a CGI response.

use super::routes::{Route, RouteError, Routes};
use super::{Connection, Frontend, CAPACITY_RETRY_DELAY};
use crate::clock::{unix_time, MS};
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

/// Maximum number of bytes behind a request that are read and dropped before its response; then reading stops until it
/// is sent.
const MAX_EXTRA_BYTES: usize = 64 * 1024;
/// Retry delay for a client that finds no capacity at all.
const OVERLOADED_RETRY_AFTER: Time = 1000 * MS;
/// The first header field of a response to a client that has ended its input, written before the response is known.
const FIRST_FIELD: (&str, &str) = ("Cache-Control", "no-store");

/// State shared by all connections of the frontend.
pub struct ScgiContext {
    routes: RefCell<Rc<Routes>>,
    bounds: Cell<Bounds>,
    request_timeout: Cell<Time>,
    /// Ids assigned here begin with these bytes; no router's id does, as those are hexadecimal digits.
    id_prefix: [u8; 8],
    last_id: Cell<u32>,
}

impl ScgiContext {
    /// `name` and `start` distinguish the ids of this start from those of others. A forwarder's ids look like a
    /// router's, since workers accept only those.
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
    /// Sets the timeout of the fleet's policy.
    pub fn set_request_timeout(&self, request_timeout: Time) {
        self.request_timeout.set(request_timeout);
    }
    /// Replaces the configuration, from the next request on.
    pub fn reconfigure(&self, routes: Rc<Routes>, bounds: Bounds, request_timeout: Time) {
        *self.routes.borrow_mut() = routes;
        self.bounds.set(bounds);
        self.request_timeout.set(request_timeout);
        self.clamp_bounds();
    }
    /// Lowers the bounds so that a request fits one buffer, whatever is configured.
    fn clamp_bounds(&self) {
        let mut bounds = self.bounds.get();
        bounds.max_body_bytes = bounds.max_body_bytes.min(crate::frames::MAX_BODY_BYTES);
        while Reader::max_request_bytes(&bounds) > BUFFER_BYTES {
            bounds.max_header_bytes -= 1;
        }
        self.bounds.set(bounds);
    }
    /// How long a request may take to arrive.
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
    /// The response must have no body.
    is_head: Cell<bool>,
    /// The first header field has been written already.
    has_begun: Cell<bool>,
    has_responded: Cell<bool>,
}

impl ScgiResponder {
    fn respond(&self, outbox: &Outbox, status: u16, fields: &[(&str, &str)], body: &[u8]) {
        // Prevents a second response on the connection.
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
            log!("response {status}: a header field with invalid characters was left out");
        }
        if self.is_head.get() {
            bytes.truncate(bytes.len() - body.len());
        }
        outbox.push(&bytes);
    }

    /// Distinguishes a client that still reads from one that has closed: writes the first header field of the response,
    /// which the operating system of a closed client answers with a reset.
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

/// The retry delay in whole seconds and in milliseconds; `None` below a millisecond.
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
    /// The request, if there is one, has not run.
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

/// The status for an invalid request.
pub fn status_for(fault: request::Error) -> u16 {
    match fault {
        request::Error::HeaderTooLarge(_) | request::Error::TooManyFields(_) => 431,
        request::Error::BodyTooLarge(_) => 413,
        request::Error::MissingContentLength => 411,
        _ => 400,
    }
}

/// Rejects a connection when the frontend is full and none can be closed: the response is sent at once, as far as the
/// socket takes it.
pub fn reject_connection(stream: &TcpStream, shared: &Shared) {
    add(&shared.counters.turned_away);
    let (responder, outbox) = (ScgiResponder::default(), Outbox::new(&shared.pool));
    responder.respond_overloaded(&outbox);
    let mut dropped = [0; 1024];
    while matches!(stream.try_read(&mut dropped), Ok(1..)) {}
    let _ = outbox.flush(|bytes| stream.try_write(bytes));
}

/// Reads one request, passes it on, waits for its response, and writes it. An error is a reset by the client, which has
/// left.
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
    // Whether the request has gone to the core, whether the client has ended its input, and the number of bytes behind
    // the request.
    let (mut passed, mut ended, mut extra) = (false, false, 0);
    // The client has sent exactly one request.
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
            // After the end of its input only a reset can arrive: the client has closed, and waits no longer.
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
                peer.reject_malformed(counters, 1, RequestError::Malformed, "the request is incomplete");
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
                match routes.parse_request(context.next_request_id(), unix_time(), &bytes, &request) {
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
    // A client that has sent no more than its request needs no lingering close.
    if whole || ended {
        return Ok(());
    }
    // A wake may be that of the response; only a close from here ends the lingering early.
    linger(&mut stream, &peer.outbox.wake, || peer.is_closing.get()).await
}
