//! The one owner of the module: ids and indices, the open invocations, the table of calls. No I/O and no
//! clock: each message that the queue brings becomes one call on the `Scheduler`, and what the `Scheduler` asks of
//! its `Host` goes straight to the outboxes of those concerned. Decides nothing.

use crate::clock::MS;
use crate::counters::{add, Counters};
use crate::frames;
use crate::lines::{self, Notice};
use crate::log;
use crate::pool::{Buf, Outbox, Pool};
use crate::ready::Ready;
use crate::rollout::admission_gate::AdmissionGate;
use cypresscleat_concurrency::PoolsConfig;
use cypresscleat_rollout::member::AdmissionPermit;
use cypresscleat_scheduler::*;
use cypresscleat_settings::{set_gauge, Names};
use door::{Cause, Fault, How, Invocation, Peer, Places, Txn, Wanted};
use keeping::{Keeping, Ran, Row, Token, Waits};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;
use std::rc::Rc;
use tokio::sync::Notify;

pub mod door;
pub mod keeping;

/// Invocations a connection may have open.
const STREAMS: usize = 32;
/// The module's timer waits this long for the gauges asked for when it came due, and then goes on with the last
/// ones, or, where these are older than that, without.
const GAUGES_WAIT: Time = 3 * MS;
const GAUGES_AGE: Time = 200 * MS;
/// A call is given up from here when its reply is this late: the ledger tells of its end by itself.
const CALL_MARGIN: Time = 50 * MS;
/// Answers sent into a closing connection are kept this long, and so many with their bodies: the invocation may come again. Of
/// more, so many in all, it is known that they were answered.
const RESENT_WITHIN: Time = 1000 * MS;
const RESENT_MOST: usize = 64;
const RESENT_KNOWN: usize = 4096;
/// While the store can't keep anything and nothing may be served without, callers are to come back after this long.
const STORE_BACK: Time = 1000 * MS;
/// While this instance is out of service, or has no room for what it holds, callers are to come back after this long.
const OUT_BACK: Time = 1000 * MS;
/// Invocations held while a change of policy stops all for a moment.
const HELD: usize = 256;
/// What is held is turned away so long before its client's time is over.
const OUT_MARGIN: Time = 50 * MS;
/// No gauges are asked for while more than this waits for the kernel to read.
const KERNEL_BEHIND: usize = 65_536;

/// What the module says of itself: set by the core, sent along by the front.
pub struct Voice {
    pub good: Cell<bool>,
    pub feedback: Cell<Option<f64>>,
    /// Connections idle for longer are to be closed.
    pub idle: Cell<Option<Time>>,
    /// What the roster is told, where it is fit as well.
    pub on: Cell<bool>,
    /// A policy of the fleet lets it serve, or there is none.
    pub fit: Cell<bool>,
    /// The grace of a drain is over: connections without an open invocation are to go.
    pub closing: Cell<bool>,
    /// What all callers together may have here, while that is less than what the module's limits let in.
    pub ramp: Cell<Option<f64>>,
}

/// What the core wants of the tier below.
pub enum Command {
    /// A call is to be made, and given up after `within`.
    Post {
        txn: Txn,
        number: u64,
        op: usize,
        within: Time,
        body: Buf,
    },
    Abandon {
        txn: Txn,
    },
}

#[derive(Default)]
pub struct Commands {
    pub queue: RefCell<VecDeque<Command>>,
    pub wake: Notify,
}

impl Commands {
    fn push(&self, command: Command) {
        self.queue.borrow_mut().push_back(command);
        self.wake.notify_one();
    }
}

/// The messages read from sockets, in the order of the one queue.
pub enum Note {
    Arrived {
        peer: Rc<Peer>,
        stream: u32,
        /// Or what can't be carried out about it.
        read: Result<Invocation, String>,
    },
    Left {
        peer: Rc<Peer>,
        stream: u32,
    },
    Closed {
        peer: Rc<Peer>,
    },
    Kernel(Notice),
    /// A new link has told all notices that were missed; commands go here now.
    KernelUp(Rc<Outbox>),
    KernelDown,
    Called {
        txn: Txn,
        number: u64,
        how: Outcome,
        reply: Option<Buf>,
    },
    Leave {
        within: Time,
    },
    /// Other pools of the instance's own from now on.
    Pools(PoolsConfig),
    /// A policy is in force, with its pools, or the instance's own.
    Policy {
        number: u64,
        pools: Option<PoolsConfig>,
    },
    /// The gate stands otherwise: what is held is looked at again.
    Gate,
    /// A run at a worker is over; `said` is what its worker said of one that it turned away: when to come back, and whether not to
    /// try elsewhere.
    Ran {
        txn: Txn,
        how: Outcome,
        body: Buf,
        said: Option<(Time, bool)>,
    },
    /// All jobs for the store up to this one are done with; why some of them failed.
    Kept {
        upto: u64,
        failed: Option<String>,
    },
}

/// What the kernel was last asked to do with an invocation.
#[derive(Clone, Copy, PartialEq)]
enum Asked {
    Nothing,
    Run,
    /// It waits for a call: the next word is ours.
    Waits,
    GoOn,
}

struct Open {
    txn: Txn,
    /// Whom the answer is owed.
    to: Option<(Rc<Peer>, u32)>,
    op: usize,
    payload: Buf,
    body: Range<usize>,
    said: u64,
    asked: Asked,
    stopped: bool,
    /// The number of the last command about it.
    command: u64,
    /// The body of the call it waits for, then the reply.
    blob: Option<Buf>,
    call: Option<(u64, Time)>,
    /// Its last call failed, and not for want of time.
    failed: bool,
    customer: Option<usize>,
    /// Unix time at which it came, in tenths of a millisecond.
    came: Time,
    token: Option<Box<str>>,
    /// Its run was asked for, and waits for word of the store.
    starting: bool,
    ran: bool,
    /// Its bytes are a frame's payload.
    raw: bool,
    due: Time,
    subject: Option<u64>,
    /// What the worker that turned it away said.
    said_back: Option<(Time, bool)>,
    rank: f64,
    hint: Option<f64>,
    kb: f64,
}

struct Kernel {
    out: Option<Rc<Outbox>>,
    /// Commands told, and those known to have been read.
    told: u64,
    read: u64,
}

struct Answered {
    txn: Txn,
    said: u64,
    peer: Rc<Peer>,
    until: Time,
    how: How,
    body: Buf,
}

/// Whether an invocation's id was seen before: on the same invocation, or on another that is open.
enum Again {
    No,
    Same,
    Other,
}

/// What makes two invocations of one id the same.
fn said(op: usize, body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    (op, body).hash(&mut hasher);
    hasher.finish()
}

/// Nothing lies unread for longer and is still worth an answer.
fn unread(settings: &Settings) -> Time {
    settings.classes.iter().map(|op| op.timeout).max().unwrap_or(0)
}

/// All but the `Scheduler`: what its `Host` needs.
struct Side {
    names: Rc<Names>,
    pool: Rc<Pool>,
    counters: Rc<Counters>,
    voice: Rc<Voice>,
    ready: Rc<Ready>,
    calls_to: Rc<Commands>,
    kernel: Kernel,
    index: HashMap<Txn, RequestSlot>,
    open: Vec<Option<Open>>,
    free: Vec<RequestSlot>,
    /// Calls that are out, by the time they are given up from here.
    calls: BTreeSet<(Time, u64, RequestSlot)>,
    call_number: u64,
    answered: VecDeque<Answered>,
    owed: usize,
    gauges: Gauges,
    gauges_at: Time,
    now: Time,
    unix: Time,
    keeping: Option<Keeping>,
    places: Option<Rc<dyn Places>>,
    /// Answered by a result that was kept: the module is told that nobody waits.
    reused: Vec<RequestSlot>,
    /// Whether something may be admitted, where a policy of the fleet says so.
    gate: Option<Rc<AdmissionGate>>,
    /// A drain is under way: what is owed is in the store.
    leaving: bool,
    /// What the settings say of billed value: each operation's, its objective, what is left of it behind that.
    billed: Vec<(f64, Time, f64)>,
    /// When the module's timer is due, and when it goes on at the latest once the gauges were asked for.
    wake_at: Time,
    waits_until: Option<Time>,
}

pub struct Core {
    scheduler: Option<Scheduler>,
    settings: Settings,
    /// When the notice to leave came, and how long after it the process is stopped.
    leaves: Option<(Time, Time)>,
    /// When a drain's grace is over.
    closes_at: Time,
    /// Read and not admitted yet, while a change of policy stops all for a moment.
    held: VecDeque<(Time, Rc<Peer>, u32, Invocation)>,
    /// The policy's pools, in place of the instance's own.
    policy: Option<PoolsConfig>,
    own: PoolsConfig,
    side: Side,
}

/// What the core shares with the tasks round it.
#[derive(Clone)]
pub struct Shared {
    pub pool: Rc<Pool>,
    pub counters: Rc<Counters>,
    pub voice: Rc<Voice>,
    pub calls: Rc<Commands>,
    pub ready: Rc<Ready>,
}

impl Shared {
    pub fn new(buffers: usize) -> Shared {
        Shared {
            ready: Ready::new(std::time::Instant::now()),
            pool: Pool::new(buffers),
            counters: Rc::default(),
            voice: Rc::new(Voice {
                good: Cell::new(true),
                feedback: Cell::new(None),
                idle: Cell::new(None),
                on: Cell::new(true),
                fit: Cell::new(true),
                closing: Cell::new(false),
                ramp: Cell::new(Some(0.0)), // nothing before the kernel is up
            }),
            calls: Rc::default(),
        }
    }
}

impl Core {
    pub fn new(settings: Settings, names: Rc<Names>, shared: &Shared) -> Core {
        let Shared { pool, counters, voice, calls: calls_to, ready } = shared.clone();
        let mut side = Side {
            names,
            pool,
            counters,
            voice,
            ready,
            calls_to,
            kernel: Kernel { out: None, told: 0, read: 0 },
            index: HashMap::new(),
            open: Vec::new(),
            free: Vec::new(),
            calls: BTreeSet::new(),
            call_number: 0,
            answered: VecDeque::new(),
            owed: 0,
            gauges: Gauges::default(),
            gauges_at: Time::MIN / 2,
            now: 0,
            unix: 0,
            keeping: None,
            places: None,
            reused: Vec::new(),
            gate: None,
            leaving: false,
            billed: settings
                .classes
                .iter()
                .map(|op| (op.priority_weight, op.latency_objective, op.late_share))
                .collect(),
            wake_at: Time::MAX,
            waits_until: None,
        };
        // Without a store to keep them in, tokens are known in this life.
        if settings.classes.iter().any(|op| op.retry_safety == RetrySafety::IdempotencyKey) {
            side.keeping.insert(Keeping::in_memory()).unread = unread(&settings);
        }
        let own = settings.pools.clone();
        Core {
            scheduler: None,
            settings,
            leaves: None,
            closes_at: Time::MAX,
            held: VecDeque::new(),
            policy: None,
            own,
            side,
        }
    }

    /// Runs go to workers; to be said before the first message.
    pub fn forward(&mut self, places: Rc<dyn Places>) {
        self.side.places = Some(places);
    }

    /// Rows are kept from now on; to be said before the first message.
    pub fn keep(&mut self, keeping: Keeping) {
        let unread = unread(&self.settings);
        self.side.keeping.insert(keeping).unread = unread;
    }

    /// A policy of the fleet says whether anything may be admitted; to be said before the first message.
    pub fn gated(&mut self, gate: Rc<AdmissionGate>) {
        self.side.gate = Some(gate);
        self.side.voice.fit.set(false);
    }

    /// When `tick` is due.
    pub fn wake_at(&self) -> Time {
        let held = self.held.iter().map(|held| held.0).min().unwrap_or(Time::MAX);
        self.side.waits_until.unwrap_or(self.side.wake_at).min(held)
    }
    /// Nothing is run any more, and nobody waits.
    pub fn is_done(&self) -> bool {
        self.side.voice.closing.get() && self.side.owed == 0
    }
    /// Answers that are owed.
    pub fn owed(&self) -> usize {
        self.side.owed
    }

    /// One message from the queue; `unix` is the system's clock in tenths of a millisecond.
    pub fn take(&mut self, now: Time, unix: Time, note: Note) {
        (self.side.now, self.side.unix) = (now, unix);
        match note {
            Note::Arrived { peer, stream, read } => self.arrived(unix, peer, stream, read),
            Note::Left { peer, stream } => {
                let open = peer.open.borrow().iter().find(|(known, _)| *known == stream).map(|(_, inv)| *inv);
                if let Some(inv) = open {
                    self.left(inv);
                }
                let held =
                    |held: &(Time, Rc<Peer>, u32, Invocation)| Rc::ptr_eq(&held.1, &peer) && held.2 == stream;
                if let Some(at) = self.held.iter().position(held) {
                    self.held.remove(at);
                    peer.queued.set(peer.queued.get().saturating_sub(1));
                    add(&self.side.counters.caller_left);
                }
            }
            Note::Closed { peer } => {
                let open: Vec<RequestSlot> = peer.open.borrow().iter().map(|(_, inv)| *inv).collect();
                open.into_iter().for_each(|inv| self.left(inv));
            }
            Note::Kernel(notice) => self.notice(notice),
            Note::KernelUp(out) => self.side.relink(out),
            Note::KernelDown => self.side.kernel.out = None,
            Note::Called { txn, number, how, reply } => {
                let inv = self.side.index.get(&txn).copied();
                let known = inv.filter(|inv| self.side.rec(*inv).call.is_some_and(|call| call.0 == number));
                if let Some(inv) = known {
                    self.called(inv, how, reply);
                }
            }
            Note::Kept { upto, failed } => self.kept(upto, failed),
            Note::Ran { txn, how, body, said } => {
                if let Some(inv) = self.side.index.get(&txn).copied() {
                    self.side.rec(inv).said_back = said;
                    self.reaped(inv, how, body);
                }
            }
            Note::Pools(setup) => {
                self.own = setup;
                match &self.policy {
                    Some(_) => log!("the pools are those of the policy in force"),
                    None => self.pool(),
                }
            }
            Note::Policy { number, pools } => {
                let same = self.policy == pools;
                self.policy = pools;
                if !same {
                    self.pool();
                }
                if let Some(gate) = &self.side.gate {
                    gate.apply(number);
                }
                self.gate(unix);
            }
            Note::Gate => self.gate(unix),
            Note::Leave { within } => {
                self.side.voice.on.set(false);
                self.leaves = Some((now, within));
                self.closes_at = now + self.settings.drain_grace;
                self.side.voice.closing.set(self.scheduler.is_none()); // nothing to wait for
                self.side.owes();
                self.module(|scheduler, now, side| scheduler.start_draining(now, within, side));
            }
        }
    }

    /// The gate stands otherwise: the roster and health checks are told, and what is held is looked at again.
    fn gate(&mut self, unix: Time) {
        let fit = self.side.gate.as_ref().is_none_or(|gate| gate.permit() != AdmissionPermit::Deny);
        self.side.voice.fit.set(fit);
        self.admits_held(unix);
    }

    /// The pools that hold now; what is held is counted where it belongs then, and no run is ended by it.
    fn pool(&mut self) {
        let setup = self.policy.clone().unwrap_or_else(|| self.own.clone());
        self.module(|scheduler, now, side| scheduler.set_pools(now, &setup, side));
        self.settings.pools = setup; // where the module has not begun
    }

    /// The module's timer is due: first the gauges are asked for, then it goes on with them or without.
    pub fn tick(&mut self, now: Time) {
        // The system's clock was last told with a message; since then it has moved on as ours has.
        self.side.unix += (now - self.side.now).max(0);
        self.side.now = now;
        // Guards the client's time against a change that takes longer: none is held past it.
        for at in (0..self.held.len()).rev().filter(|at| self.held[*at].0 <= now).collect::<Vec<_>>() {
            let Some((_, peer, stream, _)) = self.held.remove(at) else { continue };
            peer.queued.set(peer.queued.get().saturating_sub(1));
            if !peer.gone.get() {
                add(&self.side.counters.policy_refused);
                add(&self.side.counters.throttled);
                let how = How::Throttled { back: OUT_BACK, give_up: false };
                peer.wire.answer(&peer.out, stream, how, b"", self.side.voice.feedback.get());
            }
        }
        if now < self.side.waits_until.unwrap_or(self.side.wake_at) {
            return;
        }
        if self.side.waits_until.is_none() && self.side.ask_gauges() {
            self.side.waits_until = Some(now + GAUGES_WAIT);
        } else {
            self.on_time();
        }
    }

    fn on_time(&mut self) {
        let now = self.side.now;
        let late = (now - self.side.wake_at).max(0) / MS;
        let latest = &self.side.counters.clock_late_ms;
        latest.set(latest.get().max(late as u64));
        self.side.wake_at = Time::MAX;
        self.side.waits_until = None;
        // Guards runs whose call was lost without a word: the ledger tells of the end of each in time.
        while let Some((_, number, inv)) = self.side.calls.first().copied().filter(|call| call.0 <= now) {
            self.side.calls.pop_first();
            if self.side.rec(inv).call.is_some_and(|call| call.0 == number) {
                let txn = self.side.rec(inv).txn;
                self.side.calls_to.push(Command::Abandon { txn });
                self.called(inv, Outcome::TimedOut, None);
            }
        }
        self.side.answered.retain(|answered| answered.until > now);
        if now >= self.closes_at {
            self.side.voice.closing.set(true);
        }
        let unix = self.side.unix;
        if let Some(keeping) = self.side.keeping.as_mut() {
            keeping.expire(unix);
        }
        if let Some(places) = self.side.places.as_ref().map(|places| places.granted()) {
            self.module(|scheduler, now, side| scheduler.set_granted_slots(now, places, side));
        }
        self.ramp();
        let fresh = now - self.side.gauges_at <= GAUGES_AGE;
        let gauges = if fresh { self.side.gauges } else { Gauges::default() };
        self.module(|scheduler, now, side| scheduler.tick(now, gauges, side));
    }

    fn ramp(&self) {
        if let Some(scheduler) = &self.scheduler {
            self.side.voice.ramp.set(scheduler.slow_start_limit(self.side.now));
        }
    }

    fn module(&mut self, call: impl FnOnce(&mut Scheduler, Time, &mut Side)) {
        if let Some(scheduler) = self.scheduler.as_mut() {
            call(scheduler, self.side.now, &mut self.side);
        }
    }

    // ---- routers ----

    fn arrived(&mut self, unix: Time, peer: Rc<Peer>, stream: u32, read: Result<Invocation, String>) {
        let side = &mut self.side;
        peer.queued.set(peer.queued.get().saturating_sub(1));
        if peer.gone.get() {
            return;
        }
        // It came whole, ahead of what ended its connection: an answer is owed, a run is not.
        if peer.shut.get() {
            if stream > peer.last.replace(stream.max(peer.last.get())) {
                add(&side.counters.errored);
                peer.wire.fault(&peer.out, stream, Fault::Malformed);
            }
            return;
        }
        let counters = side.counters.clone();
        // Streams count up: on one that was used before, an answer could be taken for that to another invocation.
        if stream <= peer.last.replace(stream.max(peer.last.get())) {
            let what = format!("stream {stream} was used before");
            return peer.breach(&counters, 0, Fault::Malformed, &what);
        }
        if peer.open.borrow().len() >= STREAMS {
            return peer.breach(&counters, stream, Fault::Malformed, "more streams than may be open");
        }
        let read = match read {
            Ok(read) => read,
            Err(what) => return peer.strike(&counters, stream, &what),
        };
        let txn = read.txn;
        // Ids are new with every try: whoever sends one again that was turned away heeds nothing.
        if peer.refused.get() == Some(txn) {
            return peer.breach(&counters, stream, Fault::Malformed, "an id that was turned away");
        }
        self.admits(unix, peer, stream, read);
    }

    /// What was held while a change stopped all is looked at again, in its order.
    fn admits_held(&mut self, unix: Time) {
        for (_, peer, stream, read) in std::mem::take(&mut self.held) {
            peer.queued.set(peer.queued.get().saturating_sub(1));
            match (peer.gone.get(), peer.shut.get()) {
                (true, _) => {}
                (false, true) => peer.wire.fault(&peer.out, stream, Fault::Malformed),
                (false, false) => self.admits(unix, peer, stream, read),
            }
        }
    }

    /// What was read becomes an invocation that is open, or is answered at once.
    fn admits(&mut self, unix: Time, peer: Rc<Peer>, stream: u32, read: Invocation) {
        let side = &mut self.side;
        let counters = side.counters.clone();
        let txn = read.txn;
        let said = said(read.op, read.body());
        let tokened = self
            .settings
            .classes
            .get(read.op)
            .is_some_and(|op| op.retry_safety == RetrySafety::IdempotencyKey);
        if tokened && read.token.is_none() {
            return peer.strike(&counters, stream, "a tokened operation without its token");
        }
        if side.keeping.as_ref().is_some_and(|keeping| keeping.failing && keeping.refuse) {
            return side.rejects_unadmitted(&peer, stream, STORE_BACK);
        }
        // Guards the table of tokens: a token that is not kept could not be told from its repeat, and would run twice. May hurt
        // where more tokens come in their window than the table has room for.
        let new =
            |keeping: &Keeping| read.token.as_deref().is_some_and(|token| keeping.token(token).is_none());
        let full =
            side.keeping.as_ref().filter(|keeping| tokened && new(keeping)).and_then(Keeping::full_until);
        if let Some(until) = full {
            add(&counters.tokens_refused);
            let back = (until - unix).clamp(MS, self.settings.max_retry_after.max(MS));
            return side.rejects_unadmitted(&peer, stream, back);
        }
        // Under a token that is known it is a repeat, if it says the same.
        let came = read.door.min(unix);
        let token = read.token.as_deref().filter(|_| tokened);
        let known = token.and_then(|token| side.keeping.as_ref()?.repeats(token, came));
        let earlier_attempt = match known {
            None => EarlierAttempt::None,
            Some(token) if token.said != said => {
                let what = "the token of another invocation";
                return peer.malformed(&counters, stream, Fault::Malformed, what);
            }
            Some(Token { ran: Ran::Open(first), .. }) => EarlierAttempt::Known(*first),
            Some(_) => EarlierAttempt::Released,
        };
        match side.came_again(txn, said, &peer, stream) {
            Again::No => {}
            Again::Same => return,
            Again::Other => {
                peer.breach(&counters, stream, Fault::Malformed, "the id of another invocation");
                return self.withdraw(&peer);
            }
        }
        let Some(scheduler) = self.scheduler.as_mut() else {
            let what = "an invocation before the kernel is up";
            return peer.malformed(&counters, stream, Fault::NotReady, what);
        };
        if let Some(gate) = &side.gate {
            match gate.admit(&txn) {
                AdmissionPermit::Admit(_) => gate.count_request(),
                AdmissionPermit::Hold if self.held.len() < HELD => {
                    add(&side.counters.policy_held);
                    peer.queued.set(peer.queued.get() + 1); // it counts as on its way, so its connection stays
                    let budget = read.budget.or(self.settings.classes.get(read.op).map(|op| op.timeout));
                    let due = side.now + budget.unwrap_or(0) - (unix - read.door).max(0) - OUT_MARGIN;
                    return self.held.push_back((due, peer, stream, read));
                }
                _ => {
                    add(&side.counters.policy_refused);
                    return side.rejects_unadmitted(&peer, stream, OUT_BACK);
                }
            }
        }
        add(&side.counters.invocations);
        let mut arrival = Arrival {
            class: read.op,
            tenant: read.customer,
            remaining_timeout: read.budget,
            client_priority: read.rank,
            earlier_attempt,
            has_idempotency_key: read.keyed || tokened,
            time_unread: (unix - read.door).max(0),
            expected_work: read.hint,
            memory_kb: read.kb,
            ..Arrival::default()
        };
        arrival.slot = side.open(Open {
            txn,
            to: None,
            op: read.op,
            payload: read.bytes,
            body: read.body,
            said,
            asked: Asked::Nothing,
            stopped: false,
            command: 0,
            blob: None,
            call: None,
            failed: false,
            customer: read.customer,
            came: read.door,
            token: read.token,
            starting: false,
            ran: false,
            raw: read.raw,
            due: side.now
                + read
                    .budget
                    .unwrap_or_else(|| self.settings.classes[read.op].timeout - (unix - read.door).max(0)),
            subject: read.subject,
            said_back: None,
            rank: read.rank,
            hint: read.hint,
            kb: read.kb,
        });
        side.owe(arrival.slot, peer, stream);
        scheduler.handle_arrival(side.now, arrival, side);
        self.settle_reused();
    }

    /// What was answered by another's result is over for the module too.
    fn settle_reused(&mut self) {
        while let Some(inv) = self.side.reused.pop() {
            self.module(|scheduler, now, side| scheduler.handle_client_disconnect(now, inv, side));
        }
    }

    /// The store has word: answers leave, tokened ones run.
    fn kept(&mut self, upto: u64, failed: Option<String>) {
        let Some(keeping) = self.side.keeping.as_mut() else { return };
        let on = keeping.kept(upto);
        let refuse = keeping.refuse;
        if std::mem::replace(&mut keeping.failing, failed.is_some()) != failed.is_some() {
            match &failed {
                Some(what) => {
                    log!("store: {what}; {}", if refuse { "nothing is taken" } else { "served unrecorded" })
                }
                None => log!("store: it keeps again"),
            }
        }
        for waits in on {
            match waits {
                Waits::Answer { peer, stream, how, body } => {
                    let lost = failed.is_some();
                    let how = if lost && refuse { How::Errored(Cause::Failed) } else { how };
                    add(if lost { &self.side.counters.unrecorded } else { &self.side.counters.recorded });
                    self.side.put(&peer, stream, how, &body);
                }
                Waits::Run(inv, txn) => {
                    let here = self.side.index.get(&txn) == Some(&inv);
                    if !here || !std::mem::take(&mut self.side.rec(inv).starting) {
                        continue;
                    }
                    if failed.is_some() || self.side.rec(inv).stopped {
                        // It never ran: nothing of it may be taken for begun.
                        let empty = self.side.pool.take();
                        self.side.rec(inv).ran = false;
                        self.reaped(
                            inv,
                            if failed.is_some() { Outcome::NotStarted } else { Outcome::Cancelled },
                            empty,
                        );
                    } else {
                        self.side.rec(inv).asked = Asked::Run;
                        self.side.command(inv);
                    }
                }
            }
        }
    }

    fn left(&mut self, inv: RequestSlot) {
        add(&self.side.counters.caller_left);
        self.side.settle(inv);
        // Whoever waits for its answer takes its place: it goes on for them, and is not over with its first caller.
        if let Some(next) = self.side.keeping.as_mut().and_then(|keeping| keeping.follower(inv)) {
            if let Some((peer, stream)) = self.side.settle(next) {
                self.side.owe(inv, peer, stream);
                return self
                    .module(|scheduler, now, side| scheduler.handle_client_disconnect(now, next, side));
            }
        }
        self.module(|scheduler, now, side| scheduler.handle_client_disconnect(now, inv, side));
    }

    /// All that is open on a connection is errored. Guards the line and the run cap against a sender whose other
    /// invocations can't be carried out either.
    fn withdraw(&mut self, peer: &Rc<Peer>) {
        let open: Vec<RequestSlot> = peer.open.borrow().iter().map(|(_, inv)| *inv).collect();
        for inv in open {
            self.side.answer(inv, How::Errored(Cause::Failed), b"");
            self.module(|scheduler, now, side| scheduler.handle_client_disconnect(now, inv, side));
        }
    }

    // ---- the kernel ----

    fn notice(&mut self, notice: Notice) {
        match notice {
            Notice::Booted { cold, age_ms } => self.booted(cold, (age_ms * MS as f64) as Time),
            Notice::Reap { call, how, blob } => {
                if let Some(inv) = self.side.find(&call) {
                    self.reaped(inv, how, blob);
                }
            }
            Notice::Call { call, blob } => {
                let Some(inv) = self.side.find(&call) else { return };
                let rec = self.side.rec(inv);
                (rec.asked, rec.blob) = (Asked::Waits, Some(blob));
                self.module(|scheduler, now, side| scheduler.handle_call_needed(now, inv, side));
            }
            Notice::Info { cookie, stats } => {
                let side = &mut self.side;
                side.kernel.read = side.kernel.read.max(cookie.parse().unwrap_or(0));
                let known = side.names.gauges.iter().zip(stats).filter(|(_, value)| value.is_finite());
                side.gauges = Gauges::default();
                known.for_each(|(name, value)| set_gauge(&mut side.gauges, name, value));
                side.gauges_at = side.now;
                if side.waits_until.is_some() {
                    self.on_time();
                }
            }
            Notice::Rejected { command, call } => {
                add(&self.side.counters.kernel_rejected);
                log!("the kernel would not carry out {command} {call}");
                // A run that never started, or can't go on, would else hold its place until it is due.
                let ends = matches!(command.as_str(), "SCHED" | "IODONE");
                if let (true, Some(inv)) = (ends, self.side.find(&call)) {
                    let empty = self.side.pool.take();
                    let from = self.side.rec(inv).to.clone();
                    self.reaped(inv, Outcome::Failed, empty);
                    // The kernel knows every invocation that a router sent here: this sender is none.
                    if let (Some((peer, _)), "SCHED") = (from, command.as_str()) {
                        let what = "an invocation that the kernel doesn't know";
                        peer.breach(&self.side.counters, 0, Fault::Malformed, what);
                        self.withdraw(&peer);
                    }
                }
            }
            Notice::Remark(_) => {}
        }
    }

    /// The module starts when the kernel does, and believes it about being cold.
    fn booted(&mut self, cold: bool, age: Time) {
        if self.scheduler.is_some() {
            return;
        }
        let settings = Settings { slow_start: cold, ..self.settings.clone() };
        let now = self.side.now;
        log!("kernel up for {} ms, {}", age / MS, if cold { "cold" } else { "warm" });
        let mut scheduler = Scheduler::start(now - age, settings, &mut self.side);
        self.side.wake_at = now;
        // The notice came before the kernel was up: it holds for what comes now.
        if let Some((at, within)) = self.leaves {
            scheduler.start_draining(at, within, &mut self.side);
        }
        self.scheduler = Some(scheduler);
        self.side.ready.kernel();
        self.ramp();
    }

    /// The run is over: the first answer to its invocation, if none was given, is how it ended.
    fn reaped(&mut self, inv: RequestSlot, how: Outcome, blob: Buf) {
        let counters = self.side.counters.clone();
        if self.side.rec(inv).to.is_none() {
            self.side.ran_for_nobody(inv, how, &blob);
        }
        match how {
            Outcome::Succeeded => {
                add(&counters.runs_succeeded);
                if let Some((peer, _)) = &self.side.rec(inv).to {
                    peer.strikes.set(0);
                }
                self.side.answer(inv, How::Succeeded, &blob);
            }
            Outcome::Failed => {
                add(&counters.runs_errored);
                self.side.answer(inv, How::Errored(Cause::Failed), b"");
            }
            _ => add(&counters.runs_stopped),
        }
        self.side.give_up_call(inv);
        let rec = self.side.rec(inv);
        (rec.asked, rec.stopped) = (Asked::Nothing, false);
        self.module(|scheduler, now, side| scheduler.handle_run_completed(now, inv, how, side));
        self.settle_reused();
        // Its entry may live on for as long as a repeat can come, its bytes need not.
        if let Some(rec) = self.side.open[inv].as_mut().filter(|rec| rec.to.is_none()) {
            rec.payload.give_back();
            rec.blob = None;
        }
    }

    // ---- calls ----

    fn called(&mut self, inv: RequestSlot, how: Outcome, reply: Option<Buf>) {
        let counters = &self.side.counters;
        add(match how {
            Outcome::Succeeded => &counters.calls_succeeded,
            Outcome::Rejected => &counters.calls_throttled,
            Outcome::TimedOut => &counters.calls_expired,
            Outcome::ConnectFailed | Outcome::ConnectionLost => &counters.calls_lost,
            _ => &counters.calls_errored,
        });
        let now = self.side.now;
        let rec = self.side.rec(inv);
        let Some((number, began)) = rec.call.take() else { return };
        rec.failed = !matches!(how, Outcome::Succeeded | Outcome::TimedOut);
        let owed = rec.to.is_some();
        self.side.calls.retain(|call| call.1 != number);
        // One that is answered or whose caller left is ended by the kernel itself.
        if let (Some(reply), Outcome::Succeeded, true) = (reply, how, owed) {
            let rec = self.side.rec(inv);
            (rec.asked, rec.blob) = (Asked::GoOn, Some(reply));
            self.side.command(inv);
        }
        self.module(|scheduler, _, side| scheduler.handle_call_completed(now, inv, how, now - began, side));
    }
}

impl Side {
    /// Indices come from the module and from `index`: each names an open one.
    fn rec(&mut self, inv: RequestSlot) -> &mut Open {
        self.open[inv].as_mut().expect("an index in use")
    }

    /// Answers with an error. The scheduler fails what can't be answered in its time, unless a call told it to.
    fn answer_failed(&mut self, inv: RequestSlot) {
        let cause = if self.rec(inv).failed { Cause::Failed } else { Cause::Late };
        self.answer(inv, How::Errored(cause), b"");
    }

    fn find(&self, call: &str) -> Option<RequestSlot> {
        self.index.get(&Txn::try_from(call.as_bytes()).ok()?).copied()
    }

    fn open(&mut self, open: Open) -> RequestSlot {
        let inv = self.free.pop().unwrap_or_else(|| {
            self.open.push(None);
            self.open.len() - 1
        });
        self.index.insert(open.txn, inv);
        self.open[inv] = Some(open);
        inv
    }

    /// Rejects a request ahead of the scheduler, to be sent again after `back`. It counts as taken in, as each that is answered does.
    fn rejects_unadmitted(&self, peer: &Peer, stream: u32, back: Time) {
        add(&self.counters.invocations);
        add(&self.counters.throttled);
        let how = How::Throttled { back, give_up: false };
        peer.wire.answer(&peer.out, stream, how, b"", self.voice.feedback.get());
    }

    fn owe(&mut self, inv: RequestSlot, peer: Rc<Peer>, stream: u32) {
        peer.open.borrow_mut().push((stream, inv));
        peer.active_at.set(self.now);
        self.rec(inv).to = Some((peer, stream));
        self.owed += 1;
        self.counters.open_most.set(self.counters.open_most.get().max(self.owed as u64));
    }

    /// Nothing is owed for it any more; returns to whom it was.
    fn settle(&mut self, inv: RequestSlot) -> Option<(Rc<Peer>, u32)> {
        let (peer, stream) = self.rec(inv).to.take()?;
        peer.open.borrow_mut().retain(|(known, _)| *known != stream);
        peer.active_at.set(self.now);
        self.owed -= 1;
        Some((peer, stream))
    }

    /// The final answer, if it is still owed: the one place where what is owed is settled. One that succeeded may wait for
    /// its row to be kept.
    fn answer(&mut self, inv: RequestSlot, how: How, body: &[u8]) {
        let Some((peer, stream)) = self.settle(inv) else { return };
        let counters = &self.counters;
        add(match how {
            How::Succeeded => &counters.succeeded,
            How::Throttled { .. } => &counters.throttled,
            How::Errored(_) => &counters.errored,
        });
        let Open { txn, said, op, came, .. } = *self.rec(inv);
        if let (Some(gate), How::Succeeded, Some((billed, objective, late))) =
            (&self.gate, how, self.billed.get(op).copied())
        {
            let in_time = self.unix - came <= objective;
            gate.count_success(in_time, if in_time { billed } else { billed * late });
        }
        if matches!(how, How::Throttled { .. }) {
            peer.refused.set(Some(txn));
        }
        if self.keeping.is_some() {
            if let Some(keeping) = self.keeping.as_mut().filter(|_| self.leaving) {
                keeping.owes_no_more(&txn);
            }
            let number = (how == How::Succeeded).then(|| self.bill(inv, body)).flatten();
            self.answer_followers(inv, how, body);
            if number.is_some_and(|number| self.answer_behind(number, &peer, stream, how, body)) {
                return;
            }
        }
        self.write(txn, said, peer, stream, how, body);
        // It was never run, and now never is.
        let rec = self.rec(inv);
        if rec.asked == Asked::Nothing && !rec.ran {
            rec.payload.give_back();
            // Its token is free at once: what overload turns away takes no room of what ran.
            if let (Some(token), Some(keeping)) = (rec.token.clone(), self.keeping.as_mut()) {
                keeping.released(&token, inv, false);
            }
        }
    }

    /// A run is over for which nobody waits: what a repeat of it may ask for is noted, and those that follow it are answered.
    fn ran_for_nobody(&mut self, inv: RequestSlot, how: Outcome, result: &[u8]) {
        let Some(token) = self.rec(inv).token.clone() else { return };
        let Some(keeping) = self.keeping.as_mut() else { return };
        let how = match how {
            Outcome::Succeeded => {
                keeping.ran(&token, result);
                How::Succeeded
            }
            _ => How::Errored(Cause::Failed), // some of it may have run: nobody is turned away for it
        };
        self.answer_followers(inv, how, if how == How::Succeeded { result } else { b"" });
    }

    /// Lets an answer wait until a job is done with, where answers do.
    fn answer_behind(&mut self, number: u64, peer: &Rc<Peer>, stream: u32, how: How, body: &[u8]) -> bool {
        let Some(keeping) = self.keeping.as_mut().filter(|keeping| keeping.after) else { return false };
        // It counts as on its way, so its connection stays.
        peer.queued.set(peer.queued.get() + 1);
        self.owed += 1;
        let mut kept = self.pool.take();
        kept.push(body);
        // Those that follow it wait for the same job; it is the last one that was sent.
        keeping.wait(number, Waits::Answer { peer: peer.clone(), stream, how, body: kept });
        true
    }

    /// An answer that waited for its row.
    fn put(&mut self, peer: &Rc<Peer>, stream: u32, how: How, body: &[u8]) {
        peer.queued.set(peer.queued.get().saturating_sub(1));
        self.owed -= 1;
        if peer.gone.get() {
            add(&self.counters.late_answers);
        } else {
            peer.wire.answer(&peer.out, stream, how, body, self.voice.feedback.get());
        }
        peer.out.wake.notify_one();
    }

    fn write(&mut self, txn: Txn, said: u64, peer: Rc<Peer>, stream: u32, how: How, body: &[u8]) {
        if peer.gone.get() {
            add(&self.counters.late_answers);
        } else {
            peer.wire.answer(&peer.out, stream, how, body, self.voice.feedback.get());
        }
        // Guards an invocation that crossed the close of its connection, after this answer: it comes once more.
        if peer.gone.get() || peer.told.get().is_some() {
            let mut kept = self.pool.take();
            kept.push(body);
            let until = self.now + RESENT_WITHIN;
            self.answered.push_back(Answered { txn, said, peer, until, how, body: kept });
            // Guards the memory against a crowd that closes at once, and effects against a second run: one whose body had to go is
            // errored when it comes again.
            if let Some(at) = self.answered.len().checked_sub(RESENT_MOST + 1) {
                let old = &mut self.answered[at];
                old.body.give_back();
                if old.how == How::Succeeded {
                    old.how = How::Errored(Cause::Failed);
                }
            }
            if self.answered.len() > RESENT_KNOWN {
                self.answered.pop_front();
            }
        }
    }

    /// The number under which word of its row comes.
    fn bill(&mut self, inv: RequestSlot, body: &[u8]) -> Option<u64> {
        let rec = self.open[inv].as_ref()?;
        let (billed, objective, late) = self.billed.get(rec.op).copied()?;
        let in_time = self.unix - rec.came <= objective;
        let customer = rec.customer.and_then(|at| self.names.tenants.get(at)).map_or("", String::as_str);
        let row = Row {
            txn: &rec.txn,
            operation: &self.names.classes[rec.op],
            customer,
            billed: if in_time { billed } else { billed * late },
            came: rec.came,
            now: self.unix,
        };
        let keeping = self.keeping.as_mut()?;
        let number = keeping.bill(&row, rec.token.as_deref(), body);
        if keeping.stores() {
            add(if number.is_none() { &self.counters.unrecorded } else { &self.counters.rows });
        }
        number
    }

    /// Those that wait for this one's answer get the same.
    fn answer_followers(&mut self, first: RequestSlot, how: How, body: &[u8]) {
        let Some(keeping) = self.keeping.as_mut() else { return };
        let all = std::mem::take(&mut keeping.followers);
        let (own, others): (Vec<_>, Vec<_>) = all.into_iter().partition(|(known, _)| *known == first);
        keeping.followers = others;
        for (_, inv) in own {
            self.answer_as(inv, how, body);
        }
    }

    /// A repeat's answer: nothing of it runs, nothing is billed.
    fn answer_as(&mut self, inv: RequestSlot, how: How, body: &[u8]) {
        let Some((peer, stream)) = self.settle(inv) else { return };
        add(&self.counters.repeated);
        let Open { txn, said, .. } = *self.rec(inv);
        // What it repeats may not be kept yet: who is told of it now must be told the same in the next life.
        let behind = self.keeping.as_ref().and_then(Keeping::behind).filter(|_| how == How::Succeeded);
        if !behind.is_some_and(|number| self.answer_behind(number, &peer, stream, how, body)) {
            self.write(txn, said, peer, stream, how, body);
        }
        self.reused.push(inv);
    }

    /// What is open when a drain begins is put on record, so that whoever looks later knows what was cut off.
    fn owes(&mut self) {
        self.leaving = true;
        let Some(keeping) = self.keeping.as_mut() else { return };
        let open = self.open.iter().flatten().filter(|open| open.to.is_some());
        let names = &self.names;
        keeping.owes(open.map(|open| {
            let customer = open.customer.and_then(|at| names.tenants.get(at)).map_or("", String::as_str);
            (open.txn, format!("{},{customer},{}", names.classes[open.op], open.came / 10))
        }));
    }

    /// Guards against an invocation that crossed the close of its connection and was sent once more: under an id
    /// that is open or answered it is the same invocation, if it says the same and its first connection was
    /// closing. It is not run again; its answer goes where it came from last, at most once on a connection. Nobody
    /// else gets an answer by naming its id.
    fn came_again(&mut self, txn: Txn, said: u64, peer: &Rc<Peer>, stream: u32) -> Again {
        if let Some(inv) = self.index.get(&txn).copied() {
            let rec = self.rec(inv);
            let closing = |peer: &Peer| peer.gone.get() || peer.told.get().is_some();
            if rec.said != said || rec.to.as_ref().is_some_and(|(first, _)| !closing(first)) {
                return Again::Other;
            }
            add(&self.counters.resent);
            self.settle(inv);
            self.owe(inv, peer.clone(), stream);
            return Again::Same;
        }
        let Some(before) = self.answered.iter_mut().find(|answered| answered.txn == txn) else {
            return Again::No;
        };
        if before.said != said {
            return Again::Other;
        }
        add(&self.counters.resent);
        if !Rc::ptr_eq(&before.peer, peer) {
            peer.wire.answer(&peer.out, stream, before.how, &before.body, self.voice.feedback.get());
            before.peer = peer.clone();
        }
        Again::Same
    }

    // ---- commands to the kernel ----

    /// Tells the kernel what is asked of an invocation now; without a link it is told once there is one.
    fn command(&mut self, inv: RequestSlot) {
        self.kernel.told += 1;
        self.rec(inv).command = self.kernel.told;
        self.tell(inv);
    }

    fn tell(&mut self, inv: RequestSlot) {
        if let Some(places) = self.places.clone() {
            let Some(rec) = self.open[inv].as_ref() else { return };
            match (rec.stopped, rec.asked) {
                (true, _) => places.stop(rec.txn),
                (false, Asked::Run) => places.run(self.wanted(inv)),
                _ => {}
            }
            return;
        }
        let (Some(out), Some(rec)) = (self.kernel.out.clone(), self.open[inv].as_ref()) else { return };
        let txn = String::from_utf8_lossy(&rec.txn);
        match (rec.stopped, rec.asked, &rec.blob) {
            (true, ..) => out.push(lines::preempt(&txn).as_bytes()),
            (_, Asked::Run, _) => {
                let (service, body) = (&self.names.classes[rec.op], &rec.payload[rec.body.clone()]);
                out.push(lines::sched(&txn, service, body).as_bytes());
            }
            (_, Asked::GoOn, Some(reply)) => out.push(lines::io_done(&txn, reply).as_bytes()),
            _ => {}
        }
    }

    /// What a worker is sent: the frame's payload as it came, or one of the same meaning.
    fn wanted(&self, inv: RequestSlot) -> Wanted {
        let rec = self.open[inv].as_ref().expect("an index in use");
        let payload = if rec.raw {
            rec.payload.to_vec()
        } else {
            let (txn, door) = (String::from_utf8_lossy(&rec.txn), (rec.came / MS).to_string());
            let (hint, kb) =
                (rec.hint.map(|hint| format!("{:.1}", hint / MS as f64)), format!("{:.1}", rec.kb));
            let rank = format!("{:.4}", rec.rank.min(0.9999));
            let team = rec.customer.and_then(|at| self.names.tenants.get(at));
            let mut fields =
                vec![("verb", self.names.classes[rec.op].as_str()), ("txn", &txn), ("door", &door)];
            fields.extend([("lb", "0"), ("ram", &kb), ("standing", &rank)]);
            fields.extend(team.map(|team| ("team", team.as_str())));
            fields.extend(hint.as_ref().map(|hint| ("cpu", hint.as_str())));
            let mut payload = Vec::new();
            frames::put_fields(&mut payload, &fields);
            payload.extend(&rec.payload[rec.body.clone()]);
            payload
        };
        Wanted { txn: rec.txn, op: rec.op, payload, due: rec.due, subject: rec.subject }
    }

    /// On a new link all missed notices have been seen: what was told after the last command known to have
    /// been read is told again. Guards runs and stops against a link that broke; a run that goes on already is
    /// not started twice, as the kernel's notices would have told of its end. It may hurt where a reply was
    /// read, and the run waits for its next call in that very moment.
    fn relink(&mut self, out: Rc<Outbox>) {
        self.kernel.out = Some(out);
        for inv in 0..self.open.len() {
            let Some(rec) = self.open[inv].as_mut() else { continue };
            if rec.command <= self.kernel.read {
                continue;
            }
            if rec.stopped && rec.asked != Asked::Nothing {
                rec.stopped = false; // what came before the stop, first
                self.tell(inv);
                self.rec(inv).stopped = true;
            }
            add(&self.counters.kernel_resent);
            self.tell(inv);
        }
    }

    /// The gauges come back with the number of the last command told: what the kernel has read. False where they
    /// can't be asked for.
    fn ask_gauges(&mut self) -> bool {
        if let Some(places) = &self.places {
            (self.gauges, self.gauges_at) = (places.gauges(), self.now);
            return false;
        }
        let out = self.kernel.out.as_ref().filter(|out| out.len() < KERNEL_BEHIND);
        out.map(|out| out.push(lines::sysinfo(&self.kernel.told.to_string()).as_bytes())).is_some()
    }

    // ---- calls ----

    fn give_up_call(&mut self, inv: RequestSlot) {
        let rec = self.rec(inv);
        let txn = rec.txn;
        if let Some((number, _)) = rec.call.take() {
            self.calls.retain(|call| call.1 != number);
            add(&self.counters.calls_abandoned);
            self.calls_to.push(Command::Abandon { txn });
        }
    }
}

impl Host for Side {
    fn run(&mut self, inv: RequestSlot) {
        add(&self.counters.runs);
        let rec = self.rec(inv);
        (rec.ran, rec.stopped) = (true, false);
        let (txn, token) = (rec.txn, rec.token.clone());
        // A tokened one runs once it is on record that it does.
        if let (Some(token), Some(keeping)) = (token, self.keeping.as_mut()) {
            if let Some(number) = keeping.begins(&token) {
                keeping.wait(number, Waits::Run(inv, txn));
                self.rec(inv).starting = true;
                return;
            }
        }
        self.rec(inv).asked = Asked::Run;
        self.command(inv);
    }
    fn reject(&mut self, inv: RequestSlot, rejection: Rejection) {
        // A worker's word goes through as it was said.
        let told = (rejection.retry_after, rejection.no_retry_elsewhere);
        let (back, give_up) = self.rec(inv).said_back.unwrap_or(told);
        self.answer(inv, How::Throttled { back, give_up }, b"");
    }
    fn fail(&mut self, inv: RequestSlot, _: FailReason) {
        self.answer_failed(inv);
    }
    fn stop(&mut self, inv: RequestSlot) {
        add(&self.counters.stops);
        self.rec(inv).stopped = true;
        if !self.rec(inv).starting {
            self.command(inv);
        }
    }
    fn call(&mut self, inv: RequestSlot, within: Time) {
        add(&self.counters.calls);
        self.call_number += 1;
        let (number, now) = (self.call_number, self.now);
        let mut body = self.pool.take();
        let rec = self.open[inv].as_mut().expect("an index in use");
        body.push(rec.blob.as_deref().unwrap_or(&[]));
        rec.call = Some((number, now));
        let (txn, op) = (rec.txn, rec.op);
        self.calls.insert((now + within + CALL_MARGIN, number, inv));
        self.calls_to.push(Command::Post { txn, number, op, within, body });
    }
    /// Settings that would let the module skip a call, keep an entry or use one again end the start.
    fn skip_call(&mut self, _inv: RequestSlot) {
        log!("skipping a call is not offered here");
    }
    fn retain_for_retries(&mut self, inv: RequestSlot, span: Time) {
        let rec = self.rec(inv);
        let (said, token) = (rec.said, rec.token.clone());
        if let (Some(token), Some(keeping)) = (token, self.keeping.as_mut()) {
            let until = self.unix + span;
            keeping.remember(token.into(), Token { said, until, ran: Ran::Open(inv) });
        }
    }
    fn replay_result(&mut self, inv: RequestSlot) {
        let Some(token) = self.rec(inv).token.clone() else { return };
        let ran =
            self.keeping.as_ref().and_then(|keeping| keeping.token(&token)).map(|token| token.ran.clone());
        match ran {
            Some(Ran::Done(result)) => self.answer_as(inv, How::Succeeded, &result),
            // It ran, or began to, and nobody knows how it ended: not again, and not as if it had succeeded.
            Some(Ran::Begun) | None => self.answer_as(inv, How::Errored(Cause::Failed), b""),
            Some(Ran::Open(first)) => {
                if let Some(keeping) = self.keeping.as_mut() {
                    keeping.followers.push((first, inv));
                }
            }
        }
    }
    fn set_health(&mut self, good: bool, _stored: bool) {
        self.voice.good.set(good);
    }
    fn send_load_feedback(&mut self, value: f64) {
        self.voice.feedback.set(Some(value));
    }
    fn close_idle_connections(&mut self, after: Time) {
        self.voice.idle.set(Some(after));
    }
    fn set_timer(&mut self, after: Time) {
        self.wake_at = self.now + after;
    }
    fn log(&mut self, event: &SchedulerEvent) {
        log!("{event}");
    }
    /// The one place where an index and all that hangs on it is given back.
    fn release(&mut self, inv: RequestSlot) {
        self.answer_failed(inv); // where no answer was given: none is left without
        self.give_up_call(inv);
        if let Some(open) = self.open[inv].take() {
            if let Some(keeping) = self.keeping.as_mut() {
                keeping.followers.retain(|(_, follower)| *follower != inv);
                if let Some(token) = &open.token {
                    keeping.released(token, inv, open.ran);
                }
            }
            self.index.remove(&open.txn);
            self.free.push(inv);
        }
    }
}
