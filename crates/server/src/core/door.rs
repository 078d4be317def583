//! What fronts and the core say to each other: one neutral invocation in, one neutral answer out. The core knows no
//! protocol's bytes; a front's `Wire` writes them.

use crate::counters::{add, Counters};
use crate::log;
use crate::pool::{Buf, Outbox, Pool};
use cypresscleat_scheduler::{Gauges, RequestSlot, Time};
use std::cell::{Cell, RefCell};
use std::ops::Range;
use std::rc::Rc;

/// An invocation's id, as the kernel and the tier below know it too.
pub type Txn = [u8; 16];

/// Invocations of one connection that can't be carried out, with no success between, before it is ended.
const STRIKES: u32 = 3;

/// An invocation as a front read it: names are places in the settings, the body stands in the buffer it came in.
pub struct Invocation {
    pub txn: Txn,
    pub op: usize,
    pub customer: Option<usize>,
    /// When it came to the machine: Unix time, in tenths of a millisecond.
    pub door: Time,
    /// How long the caller still waits, where it says so.
    pub budget: Option<Time>,
    pub rank: f64,
    pub hint: Option<f64>,
    pub kb: f64,
    pub keyed: bool,
    /// Under which it is run once only, where the front carries one.
    pub token: Option<Box<str>>,
    /// What it is about, hashed, where the front says so.
    pub subject: Option<u64>,
    /// `bytes` are a frame's payload.
    pub raw: bool,
    pub bytes: Buf,
    pub body: Range<usize>,
}

/// What is to be run somewhere else than at the kernel.
pub struct Wanted {
    pub txn: Txn,
    pub op: usize,
    /// Fields and body, as a router's frame has them.
    pub payload: Vec<u8>,
    pub due: Time,
    /// What it is about, where it says so.
    pub subject: Option<u64>,
}

/// Where runs go in place of the kernel. Ends of runs come back through the queue, as `Note::Ran`, once for each that was asked for.
pub trait Places {
    /// Places that may be used now.
    fn granted(&self) -> f64;
    fn gauges(&self) -> Gauges;
    fn run(self: Rc<Self>, wanted: Wanted);
    /// Nobody waits for it any more.
    fn stop(self: Rc<Self>, txn: Txn);
}

impl Invocation {
    pub fn body(&self) -> &[u8] {
        &self.bytes[self.body.clone()]
    }
}

/// Why an invocation errored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Its run or its call did.
    Failed,
    /// Its time, or that of its call, was over.
    Late,
}

/// How an invocation is answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum How {
    Succeeded,
    /// Come back after so long, where it is a millisecond or more; `give_up` asks not to try elsewhere.
    Throttled {
        back: Time,
        give_up: bool,
    },
    Errored(Cause),
}

/// Why something never became an invocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It can't be understood.
    Malformed,
    /// It did not come whole in time.
    Slow,
    /// The kernel is not up yet.
    NotReady,
}

/// What a front writes for the core.
pub trait Wire {
    /// The final answer on a stream; `body` is the result of one that succeeded, else empty.
    fn answer(&self, out: &Outbox, stream: u32, how: How, body: &[u8], feedback: Option<f64>);
    /// Errored, on stream 0 where it belongs to no invocation.
    fn fault(&self, out: &Outbox, stream: u32, fault: Fault);
    /// No new invocation is to be sent; true where the connection is over with that.
    fn no_more(&self, out: &Outbox) -> bool;
}

/// A caller's connection, as far as the core deals with it.
pub struct Peer {
    pub out: Outbox,
    pub wire: Rc<dyn Wire>,
    /// Streams that are owed an answer.
    pub open: RefCell<Vec<(u32, RequestSlot)>>,
    /// The newest stream of it.
    pub last: Cell<u32>,
    /// Invocations of it that stand in the queue.
    pub queued: Cell<u32>,
    pub active_at: Cell<Time>,
    /// It was told to send no new invocation.
    pub told: Cell<Option<Time>>,
    /// A whole frame or request has come on it.
    pub spoke: Cell<bool>,
    /// Nothing more is read, and it ends once all that is open on it is answered.
    pub shut: Cell<bool>,
    /// Invocations that could not be carried out since the last success.
    pub strikes: Cell<u32>,
    /// The last that was turned away here.
    pub refused: Cell<Option<Txn>>,
    pub gone: Cell<bool>,
}

impl Peer {
    pub fn new(pool: &Rc<Pool>, wire: Rc<dyn Wire>, now: Time) -> Peer {
        Peer {
            out: Outbox::new(pool),
            wire,
            open: RefCell::default(),
            last: Cell::new(0),
            queued: Cell::new(0),
            active_at: Cell::new(now),
            told: Cell::new(None),
            spoke: Cell::new(false),
            shut: Cell::new(false),
            strikes: Cell::new(0),
            refused: Cell::new(None),
            gone: Cell::new(false),
        }
    }
    /// It is to send no new invocation.
    pub fn tell(&self, now: Time) {
        if self.told.replace(self.told.get().or(Some(now))).is_none() && self.wire.no_more(&self.out) {
            self.end();
        }
    }
    /// Not to be understood: an answer is owed all the same, on stream 0 where it belongs to no invocation.
    pub fn malformed(&self, counters: &Counters, stream: u32, fault: Fault, what: &str) {
        add(&counters.malformed);
        log!("from a caller, stream {stream}: {what}");
        self.wire.fault(&self.out, stream, fault);
    }
    /// It broke the protocol. Guards the time and room of all others against peers that would go on for ever: it is
    /// told so, and read no more. Holds against any sender of nonsense; may hurt where a router has such a fault:
    /// it has to connect anew.
    pub fn breach(&self, counters: &Counters, stream: u32, fault: Fault, what: &str) {
        if !self.shut.get() {
            self.malformed(counters, stream, fault, what);
        }
        self.end();
    }
    /// The one way in which a connection is closed from here; wakes its task, which would else not look.
    pub fn end(&self) {
        self.shut.set(true);
        self.out.wake.notify_one();
    }
    /// An invocation that can't be carried out: errored; the connection goes on until there were several.
    pub fn strike(&self, counters: &Counters, stream: u32, what: &str) {
        self.strikes.set(self.strikes.get() + 1);
        if self.strikes.get() >= STRIKES {
            self.breach(counters, stream, Fault::Malformed, what);
        } else {
            self.malformed(counters, stream, Fault::Malformed, what);
        }
    }
    /// Nothing is open on it, nothing on its way.
    pub fn is_idle(&self) -> bool {
        self.queued.get() == 0 && self.open.borrow().is_empty() && self.out.is_empty()
    }
}
