//! The interface between frontends and the core: a protocol-neutral request in, a protocol-neutral response out. The
//! core knows no protocol's bytes; a frontend's `ResponseWriter` writes them.

use crate::counters::{add, Counters};
use crate::log;
use crate::pool::{Buf, BufferPool, Outbox};
use cypresscleat_scheduler::{Gauges, RequestSlot, Time};
use std::cell::{Cell, RefCell};
use std::ops::Range;
use std::rc::Rc;

/// Id of a request, as the executor and the downstream tier know it too.
pub type RequestId = [u8; 16];

/// Invalid requests on one connection, without a success in between, after which the connection is closed.
const MAX_INVALID_REQUESTS: u32 = 3;

/// A request as read by a frontend: class and tenant are indices into the settings, and the body is a range of `bytes`.
pub struct IncomingRequest {
    pub request_id: RequestId,
    pub class: usize,
    pub tenant: Option<usize>,
    /// Unix time of arrival at this machine, in tenths of a millisecond.
    pub arrived_at: Time,
    /// How long the client still waits, where the client states it.
    pub remaining_timeout: Option<Time>,
    pub client_priority: f64,
    pub expected_work: Option<f64>,
    pub memory_kb: f64,
    pub has_item: bool,
    /// Idempotency key, where the frontend carries one: the request runs at most once under it.
    pub idempotency_key: Option<Box<str>>,
    /// Hash of the item that the request concerns, where the client names one.
    pub subject: Option<u64>,
    /// `bytes` are the payload of a frame.
    pub is_frame_payload: bool,
    pub bytes: Buf,
    pub body: Range<usize>,
}

/// A request that runs at a worker instead of at the executor.
pub struct ForwardedRequest {
    pub request_id: RequestId,
    pub class: usize,
    /// Fields and body, in the format of a router's frame.
    pub payload: Vec<u8>,
    pub deadline: Time,
    /// Hash of the item that the request concerns, where the client names one.
    pub subject: Option<u64>,
}

/// Runs requests in place of the executor. The end of each run comes back through the queue as one
/// `CoreEvent::RunCompleted`.
pub trait Dispatcher {
    /// Number of slots that may be used now.
    fn granted_slots(&self) -> f64;
    fn gauges(&self) -> Gauges;
    fn run(self: Rc<Self>, request: ForwardedRequest);
    /// Stops a run whose result no client waits for.
    fn stop(self: Rc<Self>, request_id: RequestId);
}

impl IncomingRequest {
    pub fn body(&self) -> &[u8] {
        &self.bytes[self.body.clone()]
    }
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The run or its downstream call failed.
    ExecutionFailed,
    /// The deadline of the request, or the timeout of its call, has passed.
    DeadlineExceeded,
}

/// The final status of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseStatus {
    Succeeded,
    /// The client may retry after `retry_after`, where that is a millisecond or more; `no_retry_elsewhere` tells it not
    /// to try another server meanwhile.
    Rejected {
        retry_after: Time,
        no_retry_elsewhere: bool,
    },
    Failed(FailureCause),
}

/// Why a message never became a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The message can't be parsed.
    Malformed,
    /// The message was not complete in time.
    TimedOut,
    /// The executor is not up yet.
    NotReady,
}

/// Writes responses in the protocol of a frontend.
pub trait ResponseWriter {
    /// Writes the final response on a stream; `body` is the result of a success, else empty.
    fn write_response(
        &self,
        outbox: &Outbox,
        stream: u32,
        status: ResponseStatus,
        body: &[u8],
        feedback: Option<f64>,
    );
    /// Reports an error, on stream 0 where it belongs to no request.
    fn write_error(&self, outbox: &Outbox, stream: u32, error: RequestError);
    /// Tells the client to send no new request; returns true where that ends the connection.
    fn write_close_notice(&self, outbox: &Outbox) -> bool;
}

/// A client's connection, as seen by the core.
pub struct Peer {
    pub outbox: Outbox,
    pub writer: Rc<dyn ResponseWriter>,
    /// Streams that are owed a response, with the slots of their requests.
    pub open_requests: RefCell<Vec<(u32, RequestSlot)>>,
    /// The highest stream number used so far.
    pub last_stream: Cell<u32>,
    /// Requests of this connection that stand in the queue.
    pub queued_requests: Cell<u32>,
    pub active_at: Cell<Time>,
    /// When the client was told to send no new request.
    pub close_announced_at: Cell<Option<Time>>,
    /// A complete frame or request has been received.
    pub has_received_message: Cell<bool>,
    /// Nothing more is read; the connection ends once all its open requests are answered.
    pub is_closing: Cell<bool>,
    /// Invalid requests since the last success.
    pub invalid_requests: Cell<u32>,
    /// The last request rejected on this connection.
    pub last_rejected: Cell<Option<RequestId>>,
    pub is_closed: Cell<bool>,
}

impl Peer {
    pub fn new(pool: &Rc<BufferPool>, writer: Rc<dyn ResponseWriter>, now: Time) -> Peer {
        Peer {
            outbox: Outbox::new(pool),
            writer,
            open_requests: RefCell::default(),
            last_stream: Cell::new(0),
            queued_requests: Cell::new(0),
            active_at: Cell::new(now),
            close_announced_at: Cell::new(None),
            has_received_message: Cell::new(false),
            is_closing: Cell::new(false),
            invalid_requests: Cell::new(0),
            last_rejected: Cell::new(None),
            is_closed: Cell::new(false),
        }
    }
    /// Tells the client to send no new request.
    pub fn announce_close(&self, now: Time) {
        if self.close_announced_at.replace(self.close_announced_at.get().or(Some(now))).is_none()
            && self.writer.write_close_notice(&self.outbox)
        {
            self.close();
        }
    }
    /// Reports a message that can't be parsed: a response is owed all the same, on stream 0 where it belongs to no
    /// request.
    pub fn reject_malformed(&self, counters: &Counters, stream: u32, error: RequestError, what: &str) {
        add(&counters.malformed);
        log!("from a caller, stream {stream}: {what}");
        self.writer.write_error(&self.outbox, stream, error);
    }
    /// Reports a protocol violation and reads no more from the connection. Protects the time and capacity of all other
    /// clients from one that would send invalid messages forever. A router with a fault of this kind has to reconnect.
    pub fn close_on_violation(&self, counters: &Counters, stream: u32, error: RequestError, what: &str) {
        if !self.is_closing.get() {
            self.reject_malformed(counters, stream, error, what);
        }
        self.close();
    }
    /// Closes the connection. Wakes its task, which would otherwise not notice.
    pub fn close(&self) {
        self.is_closing.set(true);
        self.outbox.wake.notify_one();
    }
    /// Fails a request that can't be carried out; after `MAX_INVALID_REQUESTS` in a row the connection is closed.
    pub fn reject_invalid(&self, counters: &Counters, stream: u32, what: &str) {
        self.invalid_requests.set(self.invalid_requests.get() + 1);
        if self.invalid_requests.get() >= MAX_INVALID_REQUESTS {
            self.close_on_violation(counters, stream, RequestError::Malformed, what);
        } else {
            self.reject_malformed(counters, stream, RequestError::Malformed, what);
        }
    }
    /// Slot of the request that was attached to this connection last, of those that are owed a response.
    pub fn newest_open_request(&self) -> Option<RequestSlot> {
        self.open_requests.borrow().last().map(|(_, slot)| *slot)
    }
    /// The connection is closed, or its client was told to send no new request.
    pub fn is_ending(&self) -> bool {
        self.is_closed.get() || self.close_announced_at.get().is_some()
    }
    /// No request is open or queued, and nothing waits to be written.
    pub fn is_idle(&self) -> bool {
        self.queued_requests.get() == 0 && self.open_requests.borrow().is_empty() && self.outbox.is_empty()
    }
}
