//! What fronts and the core say to each other: one neutral invocation in, one neutral answer out. The core knows no
//! protocol's bytes; a front's `Wire` writes them.

use crate::counters::{add, Counters};
use crate::log;
use crate::pool::{Buf, BufferPool, Outbox};
use cypresscleat_scheduler::{Gauges, RequestSlot, Time};
use std::cell::{Cell, RefCell};
use std::ops::Range;
use std::rc::Rc;

/// An invocation's id, as the kernel and the tier below know it too.
pub type RequestId = [u8; 16];

/// Invocations of one connection that can't be carried out, with no success between, before it is ended.
const MAX_INVALID_REQUESTS: u32 = 3;

/// An invocation as a front read it: names are places in the settings, the body stands in the buffer it came in.
pub struct IncomingRequest {
    pub request_id: RequestId,
    pub class: usize,
    pub tenant: Option<usize>,
    /// When it came to the machine: Unix time, in tenths of a millisecond.
    pub arrived_at: Time,
    /// How long the caller still waits, where it says so.
    pub remaining_timeout: Option<Time>,
    pub client_priority: f64,
    pub expected_work: Option<f64>,
    pub memory_kb: f64,
    pub has_item: bool,
    /// Under which it is run once only, where the front carries one.
    pub idempotency_key: Option<Box<str>>,
    /// What it is about, hashed, where the front says so.
    pub subject: Option<u64>,
    /// `bytes` are a frame's payload.
    pub is_frame_payload: bool,
    pub bytes: Buf,
    pub body: Range<usize>,
}

/// What is to be run somewhere else than at the kernel.
pub struct ForwardedRequest {
    pub request_id: RequestId,
    pub class: usize,
    /// Fields and body, as a router's frame has them.
    pub payload: Vec<u8>,
    pub deadline: Time,
    /// What it is about, where it says so.
    pub subject: Option<u64>,
}

/// Where runs go in place of the kernel. Ends of runs come back through the queue, as `Note::Ran`, once for each that was asked for.
pub trait Dispatcher {
    /// Places that may be used now.
    fn granted_slots(&self) -> f64;
    fn gauges(&self) -> Gauges;
    fn run(self: Rc<Self>, request: ForwardedRequest);
    /// Nobody waits for it any more.
    fn stop(self: Rc<Self>, request_id: RequestId);
}

impl IncomingRequest {
    pub fn body(&self) -> &[u8] {
        &self.bytes[self.body.clone()]
    }
}

/// Why an invocation errored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// Its run or its call did.
    ExecutionFailed,
    /// Its time, or that of its call, was over.
    DeadlineExceeded,
}

/// How an invocation is answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseStatus {
    Succeeded,
    /// Come back after so long, where it is a millisecond or more; `give_up` asks not to try elsewhere.
    Rejected {
        retry_after: Time,
        no_retry_elsewhere: bool,
    },
    Failed(FailureCause),
}

/// Why something never became an invocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// It can't be understood.
    Malformed,
    /// It did not come whole in time.
    TimedOut,
    /// The kernel is not up yet.
    NotReady,
}

/// What a front writes for the core.
pub trait ResponseWriter {
    /// The final answer on a stream; `body` is the result of one that succeeded, else empty.
    fn write_response(
        &self,
        outbox: &Outbox,
        stream: u32,
        status: ResponseStatus,
        body: &[u8],
        feedback: Option<f64>,
    );
    /// Errored, on stream 0 where it belongs to no invocation.
    fn write_error(&self, outbox: &Outbox, stream: u32, error: RequestError);
    /// No new invocation is to be sent; true where the connection is over with that.
    fn write_close_notice(&self, outbox: &Outbox) -> bool;
}

/// A caller's connection, as far as the core deals with it.
pub struct Peer {
    pub outbox: Outbox,
    pub writer: Rc<dyn ResponseWriter>,
    /// Streams that are owed an answer.
    pub open_requests: RefCell<Vec<(u32, RequestSlot)>>,
    /// The newest stream of it.
    pub last_stream: Cell<u32>,
    /// Invocations of it that stand in the queue.
    pub queued_requests: Cell<u32>,
    pub active_at: Cell<Time>,
    /// It was told to send no new invocation.
    pub close_announced_at: Cell<Option<Time>>,
    /// A whole frame or request has come on it.
    pub has_received_message: Cell<bool>,
    /// Nothing more is read, and it ends once all that is open on it is answered.
    pub is_closing: Cell<bool>,
    /// Invocations that could not be carried out since the last success.
    pub invalid_requests: Cell<u32>,
    /// The last that was turned away here.
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
    /// It is to send no new invocation.
    pub fn announce_close(&self, now: Time) {
        if self.close_announced_at.replace(self.close_announced_at.get().or(Some(now))).is_none()
            && self.writer.write_close_notice(&self.outbox)
        {
            self.close();
        }
    }
    /// Not to be understood: an answer is owed all the same, on stream 0 where it belongs to no invocation.
    pub fn reject_malformed(&self, counters: &Counters, stream: u32, error: RequestError, what: &str) {
        add(&counters.malformed);
        log!("from a caller, stream {stream}: {what}");
        self.writer.write_error(&self.outbox, stream, error);
    }
    /// It broke the protocol. Guards the time and room of all others against peers that would go on for ever: it is
    /// told so, and read no more. Holds against any sender of nonsense; may hurt where a router has such a fault:
    /// it has to connect anew.
    pub fn close_on_violation(&self, counters: &Counters, stream: u32, error: RequestError, what: &str) {
        if !self.is_closing.get() {
            self.reject_malformed(counters, stream, error, what);
        }
        self.close();
    }
    /// The one way in which a connection is closed from here; wakes its task, which would else not look.
    pub fn close(&self) {
        self.is_closing.set(true);
        self.outbox.wake.notify_one();
    }
    /// An invocation that can't be carried out: errored; the connection goes on until there were several.
    pub fn reject_invalid(&self, counters: &Counters, stream: u32, what: &str) {
        self.invalid_requests.set(self.invalid_requests.get() + 1);
        if self.invalid_requests.get() >= MAX_INVALID_REQUESTS {
            self.close_on_violation(counters, stream, RequestError::Malformed, what);
        } else {
            self.reject_malformed(counters, stream, RequestError::Malformed, what);
        }
    }
    /// Nothing is open on it, nothing on its way.
    pub fn is_idle(&self) -> bool {
        self.queued_requests.get() == 0 && self.open_requests.borrow().is_empty() && self.outbox.is_empty()
    }
}
