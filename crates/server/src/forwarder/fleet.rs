//! Connections to workers, in the routers' own frames, and the tries on them. Each invocation has one try at a time; another
//! follows only where the one before provably never ran and the budget allows it. Tries end with an answer, a broken connection
//! or by being called off; the core is told of the last one's end, once.

use super::Tier;
use crate::clock::{Clock, MS};
use crate::core::door::{Places, Txn, Wanted};
use crate::core::{Note, Shared};
use crate::counters::add;
use crate::frames::{self, Next};
use crate::log;
use crate::pool::{Outbox, SIZE};
use crate::sockets::write_all;
use cypresscleat_forwarding::dispatch_mode::DispatchMode;
use cypresscleat_forwarding::grants::GrantTable;
use cypresscleat_forwarding::load_balancer::{AttemptOutcome, LoadBalancer};
use cypresscleat_forwarding::messages::{Demand, WorkerObservation};
use cypresscleat_forwarding::retry_budget::{Execution, RetryBudget, RetryRequest};
use cypresscleat_forwarding::slow_start::ReservedCapacity;
use cypresscleat_forwarding::{node_id, NodeId};
use cypresscleat_scheduler::{Gauges, Outcome, Time};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Sender;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Streams on a connection, connections to a worker, and streams it is used for before another takes its place.
const STREAMS: usize = 32;
const WIRES: usize = 16;
const LAST: u32 = 1 << 30;
const CONNECT: Duration = Duration::from_millis(500);
/// A try that was sent so short a time before its worker's announced close is sent once more, as a router does by the protocol.
const CROSSES: Time = 50 * MS;
/// Time that a retry is expected to need.
const EXPECTED_ATTEMPT: Time = 20 * MS;
/// Health of workers is asked for so often.
const CHECK: Duration = Duration::from_millis(500);
/// One whose connection broke is asked again after this long.
const AGAIN: Duration = Duration::from_millis(20);

struct Try {
    number: u64,
    worker: NodeId,
    tries: u32,
    started: Time,
    wanted: Wanted,
    /// It crossed a close once already.
    crossed: bool,
    /// Which connection and stream it is on.
    on: Option<(Rc<Wire>, u32)>,
}

/// One connection to a worker.
struct Wire {
    worker: NodeId,
    address: SocketAddr,
    out: Outbox,
    next: Cell<u32>,
    /// By stream: whose try it is, and where its bytes begin.
    open: RefCell<HashMap<u32, (Txn, u64, u64)>>,
    /// It takes no new stream.
    told: Cell<bool>,
}

struct WorkerState {
    address: SocketAddr,
    /// What it is told to have.
    places: f64,
    good: bool,
    /// What it promised, while it is cold.
    promised: Option<ReservedCapacity>,
    /// Its health is to be asked for at once.
    recheck: Rc<Notify>,
    wires: Vec<Rc<Wire>>,
    ends: f64,
    throttled: f64,
    took: f64,
}

pub struct Fleet {
    own: NodeId,
    shared: Shared,
    queue: Sender<Note>,
    clock: Clock,
    pub routes: RefCell<LoadBalancer>,
    budget: RefCell<RetryBudget>,
    pub held: RefCell<GrantTable>,
    pub mode: RefCell<DispatchMode>,
    pub forwarders: Cell<usize>,
    tries: RefCell<HashMap<Txn, Try>>,
    workers: RefCell<HashMap<NodeId, WorkerState>>,
    /// Arrivals by class since the last report.
    came: RefCell<Vec<u64>>,
    value: Vec<f64>,
    number: Cell<u64>,
}

impl Places for Fleet {
    fn run(self: Rc<Fleet>, wanted: Wanted) {
        let now = self.clock.now();
        if let Some(count) = self.came.borrow_mut().get_mut(wanted.op) {
            *count += 1;
        }
        self.budget.borrow_mut().record_first_attempt(now);
        let number = self.number.replace(self.number.get() + 1);
        let one = Try { number, worker: 0, tries: 0, started: now, wanted, crossed: false, on: None };
        if let Err(one) = self.go(now, one, &[]) {
            self.tell(one.wanted.txn, Outcome::Rejected, &[], None);
        }
    }

    /// The worker is told, and the try is over here.
    fn stop(self: Rc<Fleet>, txn: Txn) {
        let Some(one) = self.tries.borrow_mut().remove(&txn) else { return };
        if let Some((wire, stream)) = &one.on {
            if wire.open.borrow_mut().remove(stream).is_some() {
                let mut frame = Vec::new();
                frames::frame(&mut frame, frames::LEFT, *stream, b"");
                wire.out.push(&frame);
            }
        }
        let now = self.clock.now();
        self.routes.borrow_mut().record_end(now, one.worker, AttemptOutcome::Cancelled, 0, 0);
        self.tell(txn, Outcome::Cancelled, &[], None);
    }

    fn granted(&self) -> f64 {
        self.routes.borrow().places()
    }

    fn gauges(&self) -> Gauges {
        let routes = self.routes.borrow();
        let (out, places) = (routes.in_flight() as f64, routes.places().max(1.0));
        Gauges {
            core_utilization: Some((out / places).min(1.0)),
            runnable_tasks: Some(out),
            memory_share: None,
            connections: None,
        }
    }
}

impl Fleet {
    /// Further tries for each first one from now on.
    pub fn retries(&self, share: f64) {
        self.budget.borrow_mut().set_retry_ratio(share);
    }

    pub fn new(
        (name, tier): (&str, &Tier),
        shared: &Shared,
        queue: Sender<Note>,
        clock: Clock,
        value: Vec<f64>,
        seed: u64,
    ) -> Rc<Fleet> {
        let now = clock.now();
        let workers = tier.workers.iter().map(|set| {
            let (address, places) = (set.address, set.places);
            let state = WorkerState {
                address,
                places,
                good: false,
                promised: None,
                recheck: Rc::default(),
                wires: Vec::new(),
                ends: 0.0,
                throttled: 0.0,
                took: 0.0,
            };
            (node_id(&set.name), state)
        });
        Rc::new(Fleet {
            own: node_id(name),
            shared: shared.clone(),
            queue,
            clock,
            routes: RefCell::new(LoadBalancer::new(seed)),
            budget: RefCell::new(RetryBudget::new(now)),
            held: RefCell::default(),
            mode: RefCell::new(DispatchMode::new(now)),
            forwarders: Cell::new(1),
            tries: RefCell::default(),
            workers: RefCell::new(workers.collect()),
            came: RefCell::new(vec![0; value.len()]),
            value,
            number: Cell::new(0),
        })
    }

    /// What the planners are told.
    pub fn demands(&self, span: f64) -> Vec<Demand> {
        let mut came = self.came.borrow_mut();
        let all = came.iter_mut().zip(&self.value).enumerate().map(|(class, (count, value))| {
            let rate = std::mem::take(count) as f64 / span.max(0.01);
            Demand { class: class as u16, rate: rate as f32, queued: 0, weight: *value as f32 }
        });
        all.take(cypresscleat_forwarding::messages::MAX_CLASSES).collect()
    }

    pub fn sights(&self, span: f64) -> Vec<WorkerObservation> {
        let routes = self.routes.borrow();
        let mut workers = self.workers.borrow_mut();
        let sights = workers.iter_mut().map(|(worker, state)| {
            let per = |count: &mut f64| (std::mem::take(count) / span.max(0.01)) as f32;
            let (ends, throttled) = (per(&mut state.ends), per(&mut state.throttled));
            WorkerObservation {
                worker: *worker,
                in_flight: routes.in_flight_at(*worker),
                ended: ends,
                rejected: throttled,
                latency: state.took as f32,
            }
        });
        sights.take(cypresscleat_forwarding::messages::MAX_GRANTS).collect()
    }

    /// Takes over what grants, mode and health say of each worker now; a line where the mode changed.
    pub fn look(&self) {
        let now = self.clock.now();
        let held = self.held.borrow();
        let mut mode = self.mode.borrow_mut();
        if let Some(line) = mode.tick(now, &held) {
            log!("{line}");
        }
        let mut routes = self.routes.borrow_mut();
        for (worker, state) in self.workers.borrow().iter() {
            let alone = DispatchMode::local_share(state.places, self.forwarders.get());
            // No planner's figure counts past what a planner may learn of a worker: twice what it is told to have.
            let places = mode
                .places(now, &held, *worker, alone)
                .min(state.places * cypresscleat_forwarding::capacity_plan::MAX_PLACES_FACTOR);
            // A cold one's own word counts, whoever granted more.
            let places = state.promised.map_or(places, |promised| places.min(promised.places(now).into()));
            routes.set_worker(now, *worker, places, state.good);
        }
        routes.tick(now);
    }

    // ---- tries ----

    /// Sends a try to a worker, not to one of `not`; back with it where none has room.
    fn go(self: &Rc<Fleet>, now: Time, mut one: Try, not: &[NodeId]) -> Result<(), Try> {
        let chosen = self.routes.borrow_mut().choose(one.wanted.subject, not);
        let Some(worker) = chosen else { return Err(one) };
        self.routes.borrow_mut().record_start(worker);
        (one.worker, one.tries, one.started) = (worker, one.tries + 1, now);
        let Some(wire) = self.wire(worker) else {
            self.routes.borrow_mut().record_end(now, worker, AttemptOutcome::Cancelled, 0, 0);
            return Err(one);
        };
        self.puts(one, wire);
        Ok(())
    }

    /// A try goes out on that connection.
    fn puts(&self, mut one: Try, wire: Rc<Wire>) {
        let stream = wire.next.replace(wire.next.get() + 1);
        let from = wire.out.end();
        let mut frame = Vec::with_capacity(one.wanted.payload.len() + 9);
        frames::frame(&mut frame, frames::INVOCATION, stream, &one.wanted.payload);
        wire.open.borrow_mut().insert(stream, (one.wanted.txn, one.number, from));
        wire.out.push(&frame);
        one.on = Some((wire, stream));
        self.tries.borrow_mut().insert(one.wanted.txn, one);
    }

    /// Guards a try that crossed the close of its connection: the worker had said that it takes no more there, and reads nothing more.
    /// Sent once more on a new connection to the same worker, under its id, it runs once whichever copy was read. False where it did
    /// not cross, or did so before.
    fn sends_again(self: &Rc<Fleet>, txn: Txn, number: u64) -> bool {
        let now = self.clock.now();
        let crosses = |one: &Try| one.number == number && !one.crossed && now - one.started <= CROSSES;
        let worker = match self.tries.borrow().get(&txn) {
            Some(one) if crosses(one) => one.worker,
            _ => return false,
        };
        let Some(wire) = self.wire(worker) else { return false };
        let Some(one) = self.tries.borrow_mut().remove(&txn) else { return false };
        self.puts(Try { crossed: true, ..one }, wire);
        true
    }

    /// A connection to a worker with a free stream; a new one where there is none and may be.
    fn wire(self: &Rc<Fleet>, worker: NodeId) -> Option<Rc<Wire>> {
        let mut workers = self.workers.borrow_mut();
        let state = workers.get_mut(&worker)?;
        let free = |wire: &&Rc<Wire>| {
            !wire.told.get() && wire.open.borrow().len() < STREAMS && wire.next.get() < LAST
        };
        if let Some(wire) = state.wires.iter().find(free) {
            return Some(wire.clone());
        }
        if state.wires.len() >= WIRES {
            return None;
        }
        let wire = Rc::new(Wire {
            worker,
            address: state.address,
            out: Outbox::new(&self.shared.pool),
            next: Cell::new(1),
            open: RefCell::default(),
            told: Cell::new(false),
        });
        state.wires.push(wire.clone());
        let (fleet, own) = (self.clone(), wire.clone());
        tokio::task::spawn_local(async move {
            let (connected, ended) = fleet.carry(&own).await;
            fleet.lost(&own, connected, ended);
        });
        Some(wire)
    }

    fn tell(&self, txn: Txn, how: Outcome, body: &[u8], said: Option<(Time, bool)>) {
        let mut kept = self.shared.pool.take();
        kept.push(body);
        let (queue, note) = (self.queue.clone(), Note::Ran { txn, how, body: kept, said });
        // The queue may be full just now, and this is called from the core itself.
        tokio::task::spawn_local(async move {
            let _ = queue.send(note).await;
        });
    }

    /// A try's end. Where it provably never ran another may follow.
    fn ended(
        self: &Rc<Fleet>,
        txn: Txn,
        number: u64,
        end: AttemptOutcome,
        known: Execution,
        said: (Time, bool),
        body: &[u8],
    ) {
        let now = self.clock.now();
        let known_try = |one: &Try| one.number == number;
        let Some(one) = self.tries.borrow_mut().remove(&txn).filter(known_try) else { return };
        let took = now - one.started;
        self.routes.borrow_mut().record_end(now, one.worker, end, took, said.0);
        if let Some(state) = self.workers.borrow_mut().get_mut(&one.worker) {
            state.ends += 1.0;
            state.throttled += f64::from(end == AttemptOutcome::Rejected);
            state.took +=
                if end == AttemptOutcome::Succeeded { (took as f64 - state.took) * 0.1 } else { 0.0 };
        }
        match end {
            AttemptOutcome::Succeeded => return self.tell(txn, Outcome::Succeeded, body, None),
            AttemptOutcome::Failed => return self.tell(txn, Outcome::Failed, b"", None),
            _ => {}
        }
        let left = one.wanted.due - now;
        let (worker, tries) = (one.worker, one.tries);
        let retry = RetryRequest {
            execution: known,
            give_up: said.1,
            attempts: tries,
            time_left: left,
            time_needed: EXPECTED_ATTEMPT,
        };
        let again = self.budget.borrow_mut().try_retry(now, retry);
        let one = if again {
            add(&self.shared.counters.tried_again);
            match self.go(now, one, &[worker]) {
                Ok(()) => return,
                Err(one) => one,
            }
        } else {
            one
        };
        match known {
            Execution::NeverRan => self.tell(
                one.wanted.txn,
                Outcome::Rejected,
                b"",
                Some(said).filter(|said| said.0 > 0 || said.1),
            ),
            Execution::MayHaveRun => self.tell(one.wanted.txn, Outcome::Failed, b"", None),
        }
    }

    /// A connection is over: what was on it ends by what is known of it.
    fn lost(self: &Rc<Fleet>, wire: &Rc<Wire>, connected: bool, ended: io::Result<()>) {
        let mut unasked = false;
        if let Some(state) = self.workers.borrow_mut().get_mut(&wire.worker) {
            state.wires.retain(|other| !Rc::ptr_eq(other, wire));
            // It may have been started anew, and be cold: nothing goes there before it was asked.
            unasked = !wire.told.get() && ended.is_err();
            if unasked {
                state.good = false;
                state.recheck.notify_one();
            }
        }
        if unasked {
            self.look();
        }
        let open: Vec<(Txn, u64, u64)> = wire.open.borrow_mut().drain().map(|(_, one)| one).collect();
        if let (Err(error), false) = (&ended, open.is_empty()) {
            log!("a connection to the worker at {} with {} tries: {error}", wire.address, open.len());
        }
        let written = wire.out.written();
        let closed = ended.as_ref().is_err_and(|error| error.kind() == ErrorKind::UnexpectedEof);
        for (txn, number, from) in open {
            if connected && closed && wire.told.get() && self.sends_again(txn, number) {
                continue;
            }
            let never = !connected || written <= from;
            let known = if never { Execution::NeverRan } else { Execution::MayHaveRun };
            self.ended(txn, number, AttemptOutcome::ConnectionLost, known, (0, false), b"");
        }
        wire.out.clear();
    }

    /// Reads and writes one connection until it ends; whether it was ever there.
    async fn carry(self: &Rc<Fleet>, wire: &Rc<Wire>) -> (bool, io::Result<()>) {
        let connected = timeout(CONNECT, TcpStream::connect(wire.address)).await;
        let stream = match connected.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into())) {
            Ok(stream) => stream,
            Err(error) => return (false, Err(error)),
        };
        let _ = stream.set_nodelay(true);
        (true, self.talk(wire, &stream).await)
    }

    async fn talk(self: &Rc<Fleet>, wire: &Rc<Wire>, stream: &TcpStream) -> io::Result<()> {
        let mut buf = self.shared.pool.take();
        loop {
            wire.out.flush(|bytes| stream.try_write(bytes))?;
            if wire.told.get() && wire.open.borrow().is_empty() && wire.out.is_empty() {
                return Ok(());
            }
            tokio::select! {
                () = wire.out.wake.notified() => continue,
                ready = stream.writable(), if !wire.out.is_empty() => { ready?; continue }
                ready = stream.readable() => ready?,
            }
            match stream.try_read(buf.spare()) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(many) => buf.filled(many),
                Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
                Err(error) => return Err(error),
            }
            let mut at = 0;
            loop {
                match frames::next(&buf[at..], SIZE) {
                    Next::More => break,
                    Next::Frame { kind, stream, payload, size } => {
                        self.frame(wire, kind, stream, payload)?;
                        at += size;
                    }
                    Next::Large { .. } | Next::Broken { .. } => return Err(ErrorKind::InvalidData.into()),
                }
            }
            buf.consume(at);
        }
    }

    fn frame(self: &Rc<Fleet>, wire: &Rc<Wire>, kind: u8, stream: u32, payload: &[u8]) -> io::Result<()> {
        match kind {
            frames::NO_MORE => wire.told.set(true),
            frames::ANSWER => {
                let (code, rest) = payload.split_first().ok_or(ErrorKind::InvalidData)?;
                let (fields, body) = frames::fields(rest).ok_or(ErrorKind::InvalidData)?;
                let Some((txn, number, _)) = wire.open.borrow_mut().remove(&stream) else {
                    // Of a try that was called off, or of none: on stream 0 it says that something was not understood.
                    return Ok(());
                };
                let get =
                    |name: &str| fields.iter().find(|(known, _)| *known == name).map(|(_, value)| *value);
                let later =
                    get("later").and_then(|ms| ms.parse::<Time>().ok()).unwrap_or(0).clamp(0, 60_000) * MS;
                let said = (later, get("giveup") == Some("1"));
                match *code {
                    frames::SUCCEEDED => self.ended(
                        txn,
                        number,
                        AttemptOutcome::Succeeded,
                        Execution::MayHaveRun,
                        (0, false),
                        body,
                    ),
                    frames::THROTTLED => {
                        self.ended(txn, number, AttemptOutcome::Rejected, Execution::NeverRan, said, b"")
                    }
                    _ => self.ended(
                        txn,
                        number,
                        AttemptOutcome::Failed,
                        Execution::MayHaveRun,
                        (0, false),
                        b"",
                    ),
                }
            }
            _ => {}
        }
        Ok(())
    }

    // ---- health ----

    /// Asks each worker for its health, on a connection of its own, and looks at grants and mode.
    pub async fn watch(self: Rc<Fleet>) {
        let workers: Vec<(NodeId, SocketAddr, Rc<Notify>)> = self
            .workers
            .borrow()
            .iter()
            .map(|(worker, state)| (*worker, state.address, state.recheck.clone()))
            .collect();
        for (worker, address, recheck) in workers {
            let fleet = self.clone();
            tokio::task::spawn_local(async move {
                let (mut kept, mut told): (Option<(TcpStream, u32)>, bool) = (None, false);
                loop {
                    let used = kept.is_some();
                    let mut good = fleet.asks(worker, address, &mut kept).await;
                    if !good && used && kept.is_none() {
                        good = fleet.asks(worker, address, &mut kept).await; // that connection may have been the fault
                    }
                    if let Some(state) = fleet.workers.borrow_mut().get_mut(&worker) {
                        state.good = good;
                    }
                    if std::mem::replace(&mut told, good) != good {
                        log!("worker at {address} {}", if good { "takes work" } else { "takes none" });
                    }
                    fleet.look();
                    // Its end is seen on the connection that rests, ahead of the next question.
                    let early = tokio::select! {
                        () = tokio::time::sleep(CHECK) => false,
                        () = recheck.notified() => true,
                        () = ends(kept.as_ref().map(|kept| &kept.0)) => true,
                    };
                    if early {
                        kept = None;
                        if let Some(state) = fleet.workers.borrow_mut().get_mut(&worker) {
                            state.good = false;
                        }
                        fleet.look();
                        tokio::time::sleep(AGAIN).await;
                    }
                }
            });
        }
        loop {
            self.look();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Asks one worker; its promise is taken over. True where it takes work; the connection is kept where it may be used again.
    async fn asks(&self, worker: NodeId, address: SocketAddr, kept: &mut Option<(TcpStream, u32)>) -> bool {
        let asked = self.clock.now();
        let out = self.routes.borrow().in_flight_at(worker);
        if let Some(state) = self.workers.borrow_mut().get_mut(&worker) {
            state.promised.iter_mut().for_each(ReservedCapacity::invalidate);
        }
        self.look();
        let payload = frames::put_ramp(self.own, out);
        let Ok(Ok((good, ramp, stream))) = timeout(CHECK, check(kept.take(), address, &payload)).await else {
            return false;
        };
        *kept = Some(stream);
        if let Some(state) = self.workers.borrow_mut().get_mut(&worker) {
            state.promised = ramp.map(|places| {
                let mut promised = ReservedCapacity::default();
                promised.accept(asked, places);
                promised
            });
        }
        good
    }
}

/// Comes back once a connection that rests has ended, or something came on it that nobody asked for.
async fn ends(stream: Option<&TcpStream>) {
    let Some(stream) = stream else { return std::future::pending().await };
    loop {
        let ready = stream.readable().await;
        match stream.try_read(&mut [0]) {
            Err(error) if ready.is_ok() && error.kind() == ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
}

async fn check(
    kept: Option<(TcpStream, u32)>,
    address: SocketAddr,
    payload: &[u8],
) -> io::Result<(bool, Option<u32>, (TcpStream, u32))> {
    let (stream, number) = match kept {
        Some((stream, number)) => (stream, number + 1),
        None => (TcpStream::connect(address).await?, 1),
    };
    let mut frame = Vec::new();
    frames::frame(&mut frame, frames::CHECK, number, payload);
    write_all(&stream, &frame).await?;
    let (mut bytes, mut filled) = ([0; 512], 0);
    loop {
        stream.readable().await?;
        match stream.try_read(&mut bytes[filled..]) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(many) => filled += many,
            Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
            Err(error) => return Err(error),
        }
        match frames::next(&bytes[..filled], bytes.len()) {
            Next::More if filled < bytes.len() => {}
            Next::Frame { kind: frames::CHECKED, payload, .. } => {
                let good = payload.first() == Some(&frames::SUCCEEDED);
                return Ok((good, frames::ramp(payload), (stream, number)));
            }
            // Told to send no more on this connection: a new one next time.
            _ => return Err(ErrorKind::InvalidData.into()),
        }
    }
}
