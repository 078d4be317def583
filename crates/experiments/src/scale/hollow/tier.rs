//! A planner before hollow forwarders that report, and a forwarder among hollow members of the gossip. Workers take no part in the
//! gossip: members are planners and forwarders.
//!
//! Hollow members begin with all others known and nothing left to tell, as they would be long after a start; the real process learns of
//! them by messages, and what it has to tell of them is asked out of it by pings before it is measured at rest.

use super::rig::{Limits, Program, Spent};
use super::{guarded, told, Flow, CONFIG};
use crate::scale::row::{How, Row};
use cypresscleat_demo::Deployment;
use cypresscleat_fault_injection::free_port;
use cypresscleat_forwarding::grants::{GrantHeader, GrantTable, GRANT_RENEWAL_INTERVAL};
use cypresscleat_forwarding::membership::{Membership, MembershipConfig, OutgoingMessage};
use cypresscleat_forwarding::messages::{
    self, Decoded, Demand, Envelope, GossipUpdate, LoadReport, MemberState, Message, Role, WorkerObservation,
};
use cypresscleat_forwarding::{node_id, NodeId, Time};
use cypresscleat_server::clock::Clock;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep_until;

const REST: Duration = Duration::from_secs(6);
/// Until the real process knows all, and has nothing left to tell.
const SETTLES: Duration = Duration::from_secs(8);
const THREADS: usize = 2;
/// Members of one gossip at the most: each knows each, and its thread plays all of them.
const MOST: u64 = 1_000;
/// Bytes of memory that are reckoned for a member that another one knows.
const KNOWN: u64 = 256;
/// Workers of the planner while forwarders grow, and forwarders while workers grow.
const WORKERS: u64 = 100;
const FORWARDERS: u64 = 30;

pub fn planner(
    program: &Program,
    limits: &Limits,
    sizes: &[u64],
    tell: &mut dyn FnMut(&str),
) -> Result<Vec<Row>, String> {
    let mut rows = Vec::new();
    for size in fits(limits, sizes, tell) {
        let done = guarded(|| plans(program, (size, WORKERS), REST, &mut rows, tell));
        told(done, &format!("a planner with {size} forwarders"), tell);
    }
    for size in sizes.iter().copied().filter(|size| *size <= messages::MAX_GRANTS as u64 && *size != WORKERS)
    {
        let done = guarded(|| plans(program, (FORWARDERS, size), REST, &mut rows, tell));
        told(done, &format!("a planner with {size} workers"), tell);
    }
    Ok(rows)
}

pub fn gossip(
    program: &Program,
    limits: &Limits,
    sizes: &[u64],
    tell: &mut dyn FnMut(&str),
) -> Result<Vec<Row>, String> {
    let mut rows = Vec::new();
    for size in fits(limits, sizes, tell) {
        let done = guarded(|| gossips(program, size, REST, &mut rows, tell));
        told(done, &format!("gossip of {size} members"), tell);
    }
    Ok(rows)
}

fn fits(limits: &Limits, sizes: &[u64], tell: &mut dyn FnMut(&str)) -> Vec<u64> {
    let (good, out): (Vec<u64>, Vec<u64>) =
        sizes.iter().partition(|size| **size <= MOST && limits.allow(**size, 1, **size * KNOWN));
    if !out.is_empty() {
        tell(&format!(
            "hollow: gossip of {out:?} members is left out: {MOST} at the most in one process, {limits}"
        ));
    }
    good
}

/// What went between the hollow members and the one real process.
struct Books {
    real: SocketAddr,
    gossip: Flow,
    plans: Flow,
    reports: AtomicU64,
    /// Reports that were answered by grants which could be taken.
    taken: AtomicU64,
    over: AtomicBool,
}

impl Books {
    fn notes(&self, at: SocketAddr, message: &Message, size: usize, goes_out: bool) {
        if at != self.real {
            return;
        }
        match message {
            Message::Report(_) | Message::Grants { .. } | Message::WithPolicyVersion { .. } => {
                self.plans.notes(size, goes_out)
            }
            _ => self.gossip.notes(size, goes_out),
        }
    }
}

/// What hollow members are.
#[derive(Clone)]
struct Setup {
    /// The first one is a planner, of which the real process asks who else is there; else all know the real one as their planner.
    planner: bool,
    /// Workers that each reports on; none reports where there are none.
    workers: u64,
    addresses: Vec<SocketAddr>,
}

fn name(at: usize) -> String {
    format!("g{at}")
}

impl Setup {
    fn role(&self, at: usize) -> Role {
        if self.planner && at == 0 {
            Role::Planner
        } else {
            Role::Forwarder
        }
    }

    fn rumour(&self, at: usize) -> GossipUpdate {
        let (id, role, address) = (node_id(&name(at)), self.role(at), self.addresses[at]);
        GossipUpdate { id, role, address, incarnation: 1, state: MemberState::Alive }
    }

    /// One that knows all others, and has nothing left to tell of them.
    fn member(&self, at: usize, seeds: Vec<SocketAddr>, now: Time) -> Membership {
        let own = self.rumour(at);
        let mut member =
            Membership::new(own.id, own.role, own.address, seeds, MembershipConfig::default(), at as u64 + 1);
        let others = (0..self.addresses.len()).filter(|other| *other != at);
        others.for_each(|other| member.apply_update(now, self.rumour(other)));
        drop(member.take_changes());
        let ping = Envelope {
            from: self.rumour((at + 1) % self.addresses.len()).id,
            incarnation: 1,
            updates: Vec::new(),
            message: Message::Ping { number: 0 },
        };
        while member.handle(now, own.address, &ping).iter().any(|send| !send.envelope.updates.is_empty()) {}
        member
    }
}

struct Crowd {
    books: Arc<Books>,
    threads: Vec<JoinHandle<Result<(), String>>>,
    ready: Arc<AtomicU64>,
}

impl Crowd {
    fn start(setup: &Setup, sockets: Vec<UdpSocket>, real: SocketAddr) -> Result<Crowd, String> {
        let books = Arc::new(Books {
            real,
            gossip: Flow::default(),
            plans: Flow::default(),
            reports: AtomicU64::new(0),
            taken: AtomicU64::new(0),
            over: AtomicBool::new(false),
        });
        let mut shares: Vec<Vec<(usize, UdpSocket)>> = (0..THREADS).map(|_| Vec::new()).collect();
        for (at, socket) in sockets.into_iter().enumerate() {
            shares[at % THREADS].push((at, socket));
        }
        let ready = Arc::new(AtomicU64::new(0));
        let mut crowd = Crowd { books: books.clone(), threads: Vec::new(), ready: ready.clone() };
        for share in shares {
            let (setup, books, ready) = (setup.clone(), books.clone(), ready.clone());
            let run = move || {
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
                let runtime = runtime.map_err(|error| error.to_string())?;
                LocalSet::new().block_on(&runtime, lives(setup, share, books, ready))
            };
            crowd.threads.push(std::thread::Builder::new().spawn(run).map_err(|error| error.to_string())?);
        }
        let began = Instant::now();
        while crowd.ready.load(Ordering::Relaxed) < THREADS as u64 {
            if began.elapsed() > 4 * SETTLES || crowd.threads.iter().any(JoinHandle::is_finished) {
                return Err("the hollow members did not begin".into());
            }
            sleep(Duration::from_millis(5));
        }
        Ok(crowd)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.books.over.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

async fn lives(
    setup: Setup,
    share: Vec<(usize, UdpSocket)>,
    books: Arc<Books>,
    ready: Arc<AtomicU64>,
) -> Result<(), String> {
    let clock = Clock::start();
    let bytes = Rc::new(RefCell::new(vec![0; messages::MAX_MESSAGE_BYTES + 8]));
    let mut all = Vec::new();
    for (at, socket) in share {
        let seeds = if setup.planner { vec![setup.addresses[0]] } else { vec![books.real] };
        let members = setup.member(at, seeds, clock.now());
        socket.set_nonblocking(true).map_err(|error| error.to_string())?;
        let socket = tokio::net::UdpSocket::from_std(socket).map_err(|error| error.to_string())?;
        all.push(End { at, socket, members, clock, books: books.clone(), bytes: bytes.clone() });
    }
    ready.fetch_add(1, Ordering::Relaxed);
    // None pings one that is not here yet.
    while ready.load(Ordering::Relaxed) < THREADS as u64 && !books.over.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let (workers, many) = (setup.workers, setup.addresses.len());
    all.into_iter().for_each(|end| drop(spawn_local(end.lives(workers, many))));
    while !books.over.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

struct End {
    at: usize,
    socket: tokio::net::UdpSocket,
    members: Membership,
    clock: Clock,
    books: Arc<Books>,
    bytes: Rc<RefCell<Vec<u8>>>,
}

impl End {
    fn posts(&self, all: Vec<OutgoingMessage>) {
        for OutgoingMessage { to, envelope } in all {
            let mut bytes = Vec::new();
            if messages::encode(&mut bytes, &envelope) && self.socket.try_send_to(&bytes, to).is_ok() {
                self.books.notes(to, &envelope.message, bytes.len(), true);
            }
        }
    }

    async fn hears(&self, due: Time) -> Option<(SocketAddr, Envelope)> {
        tokio::select! {
            () = sleep_until(self.clock.instant(due).into()) => return None,
            ready = self.socket.readable() => ready.ok()?,
        }
        let mut bytes = self.bytes.borrow_mut();
        let (size, from) = self.socket.try_recv_from(&mut bytes).ok()?;
        let Decoded::Message(envelope, _) = messages::decode(&bytes[..size]) else { return None };
        self.books.notes(from, &envelope.message, size, false);
        Some((from, envelope))
    }

    async fn lives(mut self, workers: u64, many: usize) {
        let mut held = GrantTable::default();
        let first = self.clock.now() + GRANT_RENEWAL_INTERVAL * self.at as Time / many.max(1) as Time;
        let mut next = if workers > 0 { first } else { Time::MAX };
        let sight = |at: u64| WorkerObservation {
            worker: node_id(&format!("w{at}")),
            in_flight: 2,
            ended: 50.0,
            rejected: 0.0,
            latency: 80.0,
        };
        let sights: Vec<WorkerObservation> = (0..workers).map(sight).collect();
        let demand = |class: u16| Demand { class, rate: 100.0, queued: 0, weight: 1.0 };
        loop {
            let now = self.clock.now();
            if now >= self.members.next_deadline() {
                let out = self.members.tick(now);
                self.posts(out);
                drop(self.members.take_changes());
            }
            if now >= next {
                next = now + GRANT_RENEWAL_INTERVAL;
                let (number, epoch) = (held.start_report(now), held.epoch());
                let demands = vec![demand(0), demand(1)];
                let report = LoadReport { number, demands, observations: sights.clone(), epoch };
                let own = self.members.own();
                let envelope = Envelope {
                    from: own.id,
                    incarnation: own.incarnation,
                    updates: Vec::new(),
                    message: Message::Report(report),
                };
                self.posts(vec![OutgoingMessage { to: self.books.real, envelope }]);
                self.books.reports.fetch_add(1, Ordering::Relaxed);
            }
            let Some((from, envelope)) = self.hears(next.min(self.members.next_deadline())).await else {
                continue;
            };
            let now = self.clock.now();
            let out = self.members.handle(now, from, &envelope);
            self.posts(out);
            if let Message::Grants { epoch, number, report, duration, grants } = envelope.message {
                if held.accept(now, GrantHeader { epoch, number, duration }, report, &grants).is_ok() {
                    self.books.taken.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }
}

fn is_here(state: MemberState) -> bool {
    !matches!(state, MemberState::Dead | MemberState::Left)
}

/// Waits until the real process knows so many members, then asks out of it what it still has to tell. What it could not do in time.
fn settles(real: SocketAddr, from: NodeId, many: usize) -> Result<(), String> {
    let wrong = |error: std::io::Error| error.to_string();
    let socket = UdpSocket::bind("127.0.0.1:0").map_err(wrong)?;
    socket.set_read_timeout(Some(Duration::from_millis(100))).map_err(wrong)?;
    let send = |message: Message| {
        let mut bytes = Vec::new();
        messages::encode(&mut bytes, &Envelope { from, incarnation: 1, updates: Vec::new(), message });
        socket.send_to(&bytes, real).map(drop).map_err(wrong)
    };
    let mut bytes = vec![0; messages::MAX_MESSAGE_BYTES + 8];
    let mut hear = || {
        let size = socket.recv(&mut bytes).ok()?;
        match messages::decode(&bytes[..size]) {
            Decoded::Message(envelope, _) => Some(envelope),
            _ => None,
        }
    };
    let (began, mut known) = (Instant::now(), BTreeSet::new());
    while known.len() < many {
        if began.elapsed() > SETTLES {
            return Err(format!("it knows {} of {many} members after {SETTLES:?}", known.len()));
        }
        send(Message::Join)?;
        while let Some(envelope) = hear() {
            if let Message::MemberList { members: rumours } = envelope.message {
                known.extend(rumours.iter().filter(|one| is_here(one.state)).map(|one| one.id));
            }
        }
    }
    let (began, mut empty) = (Instant::now(), 0);
    while empty < 20 {
        if began.elapsed() > 2 * SETTLES {
            return Err(format!("it still tells of members after {:?}", 2 * SETTLES));
        }
        send(Message::Ping { number: 1 })?;
        if let Some(envelope) = hear() {
            empty = if envelope.updates.is_empty() { empty + 1 } else { 0 };
        }
    }
    Ok(())
}

fn sockets(many: u64) -> Result<(Vec<UdpSocket>, Vec<SocketAddr>), String> {
    let bind = |_| UdpSocket::bind("127.0.0.1:0").map_err(|error| error.to_string());
    let sockets = (0..many).map(bind).collect::<Result<Vec<_>, _>>()?;
    let address = |socket: &UdpSocket| socket.local_addr().map_err(|error| error.to_string());
    let addresses = sockets.iter().map(address).collect::<Result<Vec<_>, _>>()?;
    Ok((sockets, addresses))
}

/// A real planner, so many hollow forwarders that report on so many workers.
pub fn plans(
    program: &Program,
    (forwarders, workers): (u64, u64),
    rest: Duration,
    rows: &mut Vec<Row>,
    tell: &mut dyn FnMut(&str),
) -> Result<(), String> {
    let real = free_port();
    // A planner connects to no worker; each has an address of its own.
    let worker = |at: u64| {
        format!("{{name: \"w{at}\", address: \"10.0.{}.{}:9\", places: 4}}", at / 250, at % 250 + 1)
    };
    let listed: Vec<String> = (0..workers).map(worker).collect();
    let operator = format!(
        "tier: {{listen: \"{real}\", planners: [{{name: \"p0\", address: \"{real}\"}}], workers: [{}]}}",
        listed.join(", ")
    );
    let place =
        Deployment::start_as(&program.path, "plan", CONFIG, &operator, |all| all["name"] = "p0".into());
    let (sockets, addresses) = sockets(forwarders)?;
    let setup = Setup { planner: false, workers, addresses };
    let crowd = Crowd::start(&setup, sockets, real)?;
    let books = &crowd.books;
    // It gives out nothing until whoever led before it is over.
    let began = Instant::now();
    while books.taken.load(Ordering::Relaxed) < forwarders && began.elapsed() < SETTLES {
        sleep(Duration::from_millis(10));
    }
    let settled = settles(real, setup.rumour(0).id, forwarders as usize);
    let before = (books.gossip.count(), books.plans.count());
    let (reports, taken) = (books.reports.load(Ordering::Relaxed), books.taken.load(Ordering::Relaxed));
    let (began, spent) = (Instant::now(), Spent::of(place.id()));
    sleep(rest);
    let (span, now) = (began.elapsed().as_secs_f64(), Spent::of(place.id()));
    let (gossip, plans) = (books.gossip.count().since(&before.0), books.plans.count().since(&before.1));
    let reports = (books.reports.load(Ordering::Relaxed) - reports) as f64;
    let taken = (books.taken.load(Ordering::Relaxed) - taken) as f64;
    let (size, by) = match workers == WORKERS {
        true => (forwarders, format!("by forwarders, {WORKERS} workers")),
        false => (workers, format!("by workers, {forwarders} forwarders")),
    };
    if let Err(what) = settled {
        // Its reports and grants are what they are; its gossip is not at rest.
        tell(&format!("hollow: planner, {forwarders} forwarders and {workers} workers: {what}"));
    }
    let mut put = |role: &str, what: &str, value: f64, unit: &str| {
        rows.push(Row::new(role, size, &format!("{what} {by}"), value, unit, How::Hollow));
    };
    let cores = now.seconds_since(&spent) / span;
    put("planner", "cores", cores, "cores");
    put("planner", "memory", now.resident as f64, "B");
    put("planner", "descriptors", now.descriptors as f64, "descriptors");
    for (of, count) in [("reports and grants", plans), ("gossip", gossip)] {
        for (way, messages, bytes) in
            [("in", count.messages_out, count.bytes_out), ("out", count.messages_in, count.bytes_in)]
        {
            put("planner", &format!("{of}: messages {way}"), messages as f64 / span, "messages/s");
            put("planner", &format!("{of}: payload bytes {way}"), bytes as f64 / span, "B/s");
            put(
                "planner",
                &format!("{of}: header bytes {way}"),
                (messages * super::HEADERS) as f64 / span,
                "B/s",
            );
        }
    }
    let each = span * forwarders as f64;
    put("forwarder", "reports: payload bytes out", plans.bytes_out as f64 / each, "B/s");
    put("forwarder", "grants: payload bytes in", plans.bytes_in as f64 / each, "B/s");
    // Under one where this process could not keep up: then the planner's figures are of fewer reports than so many forwarders send.
    let due = each / (GRANT_RENEWAL_INTERVAL as f64 / 10_000.0);
    put("forwarder", "reports that were sent of those due", reports / due, "share");
    let share = if reports > 0.0 { taken / reports } else { 0.0 };
    put("forwarder", "reports that were answered by grants", share, "share");
    tell(&format!(
        "hollow: planner, {forwarders} forwarders and {workers} workers: {cores:.3} cores, {share:.3} of reports answered"
    ));
    Ok(())
}

/// A real forwarder among so many hollow members, itself one of them.
pub fn gossips(
    program: &Program,
    size: u64,
    rest: Duration,
    rows: &mut Vec<Row>,
    tell: &mut dyn FnMut(&str),
) -> Result<(), String> {
    let real = free_port();
    let (sockets, addresses) = sockets(size.max(3) - 1)?;
    let setup = Setup { planner: true, workers: 0, addresses };
    let crowd = Crowd::start(&setup, sockets, real)?;
    let operator = format!(
        "tier: {{listen: \"{real}\", planners: [{{name: \"g0\", address: \"{}\"}}], workers: [{{name: \"w0\", address: \"{}\", places: 4}}]}}",
        setup.addresses[0],
        free_port()
    );
    let place =
        Deployment::start_as(&program.path, "forward", CONFIG, &operator, |all| all["name"] = "f0".into());
    let mut measures = |when: &str| {
        let (before, began, spent) = (crowd.books.gossip.count(), Instant::now(), Spent::of(place.id()));
        sleep(rest);
        let (span, now) = (began.elapsed().as_secs_f64(), Spent::of(place.id()));
        let count = crowd.books.gossip.count().since(&before);
        let mut put = |what: &str, value: f64, unit: &str| {
            let metric = format!("gossip {when}: {what} by members");
            rows.push(Row::new("forwarder", size, &metric, value, unit, How::Hollow));
        };
        let cores = now.seconds_since(&spent) / span;
        put("cores, without traffic", cores, "cores");
        put("memory", now.resident as f64, "B");
        for (way, messages, bytes) in
            [("in", count.messages_out, count.bytes_out), ("out", count.messages_in, count.bytes_in)]
        {
            put(&format!("messages {way}"), messages as f64 / span, "messages/s");
            put(&format!("payload bytes {way}"), bytes as f64 / span, "B/s");
            put(&format!("header bytes {way}"), (messages * super::HEADERS) as f64 / span, "B/s");
        }
        let bytes = (count.bytes_out + count.bytes_in) as f64 / span;
        tell(&format!(
            "hollow: gossip {when} at {size} members: {bytes:.0} B/s in and out, {cores:.4} cores"
        ));
    };
    measures("in the first seconds of a member that comes");
    settles(real, setup.rumour(0).id, setup.addresses.len())?;
    measures("at rest");
    Ok(())
}
