//! A planner with simulated forwarders that send reports, and a forwarder among simulated gossip members. Workers do not gossip:
//! members are planners and forwarders.
//!
//! Simulated members start with all others known and no pending updates, as long after a start. The real process learns about them from
//! messages; its own pending updates are drained by pings before it is measured at rest.

use super::rig::{Limits, Program, Spent};
use super::{guarded, report_failure, Flow, CONFIG};
use crate::scale::row::{Measurement, MeasurementKind};
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
/// Maximum time until the real process knows all members; twice this time until it has no pending updates.
const SETTLE_TIME: Duration = Duration::from_secs(8);
const THREADS: usize = 2;
/// Maximum number of gossip members: each knows all others, and few threads run all of them.
const MAX_MEMBERS: u64 = 1_000;
/// Estimated bytes of memory for one entry of a member list.
const KNOWN: u64 = 256;
/// Workers while the number of forwarders varies, and forwarders while the number of workers varies.
const WORKERS: u64 = 100;
const FORWARDERS: u64 = 30;

pub fn planner(
    program: &Program,
    limits: &Limits,
    sizes: &[u64],
    progress: &mut dyn FnMut(&str),
) -> Result<Vec<Measurement>, String> {
    let mut rows = Vec::new();
    for size in fits(limits, sizes, progress) {
        let done = guarded(|| plans(program, (size, WORKERS), REST, &mut rows, progress));
        report_failure(done, &format!("a planner with {size} forwarders"), progress);
    }
    for size in sizes.iter().copied().filter(|size| *size <= messages::MAX_GRANTS as u64 && *size != WORKERS)
    {
        let done = guarded(|| plans(program, (FORWARDERS, size), REST, &mut rows, progress));
        report_failure(done, &format!("a planner with {size} workers"), progress);
    }
    Ok(rows)
}

pub fn gossip(
    program: &Program,
    limits: &Limits,
    sizes: &[u64],
    progress: &mut dyn FnMut(&str),
) -> Result<Vec<Measurement>, String> {
    let mut rows = Vec::new();
    for size in fits(limits, sizes, progress) {
        let done = guarded(|| gossips(program, size, REST, &mut rows, progress));
        report_failure(done, &format!("gossip of {size} members"), progress);
    }
    Ok(rows)
}

fn fits(limits: &Limits, sizes: &[u64], progress: &mut dyn FnMut(&str)) -> Vec<u64> {
    let (good, out): (Vec<u64>, Vec<u64>) =
        sizes.iter().partition(|size| **size <= MAX_MEMBERS && limits.allow(**size, 1, **size * KNOWN));
    if !out.is_empty() {
        progress(&format!(
            "hollow: gossip of {out:?} members is skipped: at most {MAX_MEMBERS} in one process, {limits}"
        ));
    }
    good
}

/// Traffic between the simulated members and the one real process.
struct Counters {
    real: SocketAddr,
    gossip: Flow,
    plans: Flow,
    reports: AtomicU64,
    /// Reports whose grants were accepted.
    taken: AtomicU64,
    over: AtomicBool,
}

impl Counters {
    fn record(&self, at: SocketAddr, message: &Message, size: usize, goes_out: bool) {
        if at != self.real {
            return;
        }
        match message {
            Message::Report(_) | Message::Grants { .. } | Message::WithPolicyVersion { .. } => {
                self.plans.record(size, goes_out)
            }
            _ => self.gossip.record(size, goes_out),
        }
    }
}

/// Setup of the simulated members.
#[derive(Clone)]
struct Setup {
    /// Whether the first member is a planner, which the real process joins through; else the real process is the planner of all.
    planner: bool,
    /// Workers that each member reports on; without workers no reports are sent.
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

    fn gossip_update(&self, at: usize) -> GossipUpdate {
        let (id, role, address) = (node_id(&name(at)), self.role(at), self.addresses[at]);
        GossipUpdate { id, role, address, incarnation: 1, state: MemberState::Alive }
    }

    /// A member that knows all others and has no pending updates.
    fn member(&self, at: usize, seeds: Vec<SocketAddr>, now: Time) -> Membership {
        let own = self.gossip_update(at);
        let mut member =
            Membership::new(own.id, own.role, own.address, seeds, MembershipConfig::default(), at as u64 + 1);
        let others = (0..self.addresses.len()).filter(|other| *other != at);
        others.for_each(|other| member.apply_update(now, self.gossip_update(other)));
        drop(member.take_changes());
        let ping = Envelope {
            from: self.gossip_update((at + 1) % self.addresses.len()).id,
            incarnation: 1,
            updates: Vec::new(),
            message: Message::Ping { number: 0 },
        };
        while member.handle(now, own.address, &ping).iter().any(|send| !send.envelope.updates.is_empty()) {}
        member
    }
}

struct InstanceGroup {
    counters: Arc<Counters>,
    threads: Vec<JoinHandle<Result<(), String>>>,
    ready: Arc<AtomicU64>,
}

impl InstanceGroup {
    fn start(setup: &Setup, sockets: Vec<UdpSocket>, real: SocketAddr) -> Result<InstanceGroup, String> {
        let counters = Arc::new(Counters {
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
        let mut instances =
            InstanceGroup { counters: counters.clone(), threads: Vec::new(), ready: ready.clone() };
        for share in shares {
            let (setup, counters, ready) = (setup.clone(), counters.clone(), ready.clone());
            let run = move || {
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
                let runtime = runtime.map_err(|error| error.to_string())?;
                LocalSet::new().block_on(&runtime, run_instances(setup, share, counters, ready))
            };
            instances
                .threads
                .push(std::thread::Builder::new().spawn(run).map_err(|error| error.to_string())?);
        }
        let began = Instant::now();
        while instances.ready.load(Ordering::Relaxed) < THREADS as u64 {
            if began.elapsed() > 4 * SETTLE_TIME || instances.threads.iter().any(JoinHandle::is_finished) {
                return Err("the simulated members did not start".into());
            }
            sleep(Duration::from_millis(5));
        }
        Ok(instances)
    }
}

impl Drop for InstanceGroup {
    fn drop(&mut self) {
        self.counters.over.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

async fn run_instances(
    setup: Setup,
    share: Vec<(usize, UdpSocket)>,
    counters: Arc<Counters>,
    ready: Arc<AtomicU64>,
) -> Result<(), String> {
    let clock = Clock::start();
    let bytes = Rc::new(RefCell::new(vec![0; messages::MAX_MESSAGE_BYTES + 8]));
    let mut all = Vec::new();
    for (at, socket) in share {
        let seeds = if setup.planner { vec![setup.addresses[0]] } else { vec![counters.real] };
        let members = setup.member(at, seeds, clock.now());
        socket.set_nonblocking(true).map_err(|error| error.to_string())?;
        let socket = tokio::net::UdpSocket::from_std(socket).map_err(|error| error.to_string())?;
        all.push(Instance { at, socket, members, clock, counters: counters.clone(), bytes: bytes.clone() });
    }
    ready.fetch_add(1, Ordering::Relaxed);
    // Waits for all threads, so that no member pings one that does not exist yet.
    while ready.load(Ordering::Relaxed) < THREADS as u64 && !counters.over.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let (workers, many) = (setup.workers, setup.addresses.len());
    all.into_iter().for_each(|end| drop(spawn_local(end.run_instances(workers, many))));
    while !counters.over.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

struct Instance {
    at: usize,
    socket: tokio::net::UdpSocket,
    members: Membership,
    clock: Clock,
    counters: Arc<Counters>,
    bytes: Rc<RefCell<Vec<u8>>>,
}

impl Instance {
    fn send(&self, all: Vec<OutgoingMessage>) {
        for OutgoingMessage { to, envelope } in all {
            let mut bytes = Vec::new();
            if messages::encode(&mut bytes, &envelope) && self.socket.try_send_to(&bytes, to).is_ok() {
                self.counters.record(to, &envelope.message, bytes.len(), true);
            }
        }
    }

    async fn receive(&self, due: Time) -> Option<(SocketAddr, Envelope)> {
        tokio::select! {
            () = sleep_until(self.clock.instant(due).into()) => return None,
            ready = self.socket.readable() => ready.ok()?,
        }
        let mut bytes = self.bytes.borrow_mut();
        let (size, from) = self.socket.try_recv_from(&mut bytes).ok()?;
        let Decoded::Message(envelope, _) = messages::decode(&bytes[..size]) else { return None };
        self.counters.record(from, &envelope.message, size, false);
        Some((from, envelope))
    }

    async fn run_instances(mut self, workers: u64, many: usize) {
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
                self.send(out);
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
                self.send(vec![OutgoingMessage { to: self.counters.real, envelope }]);
                self.counters.reports.fetch_add(1, Ordering::Relaxed);
            }
            let Some((from, envelope)) = self.receive(next.min(self.members.next_deadline())).await else {
                continue;
            };
            let now = self.clock.now();
            let out = self.members.handle(now, from, &envelope);
            self.send(out);
            if let Message::Grants { epoch, number, report, duration, grants } = envelope.message {
                if held.accept(now, GrantHeader { epoch, number, duration }, report, &grants).is_ok() {
                    self.counters.taken.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }
}

fn is_here(state: MemberState) -> bool {
    !matches!(state, MemberState::Dead | MemberState::Left)
}

/// Waits until the real process knows `many` members, then drains its pending updates by pings. Returns an error on a timeout.
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
        if began.elapsed() > SETTLE_TIME {
            return Err(format!("the process knows {} of {many} members after {SETTLE_TIME:?}", known.len()));
        }
        send(Message::Join)?;
        while let Some(envelope) = hear() {
            if let Message::MemberList { members: updates } = envelope.message {
                known.extend(updates.iter().filter(|one| is_here(one.state)).map(|one| one.id));
            }
        }
    }
    let (began, mut empty) = (Instant::now(), 0);
    while empty < 20 {
        if began.elapsed() > 2 * SETTLE_TIME {
            return Err(format!("the process still has pending updates after {:?}", 2 * SETTLE_TIME));
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

/// Measures a real planner with simulated forwarders that report on the workers.
pub fn plans(
    program: &Program,
    (forwarders, workers): (u64, u64),
    rest: Duration,
    rows: &mut Vec<Measurement>,
    progress: &mut dyn FnMut(&str),
) -> Result<(), String> {
    let real = free_port();
    // A planner connects to no worker, but each worker needs a distinct address.
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
    let instances = InstanceGroup::start(&setup, sockets, real)?;
    let counters = &instances.counters;
    // A new planner sends no grants until the grants of an earlier leader have expired.
    let began = Instant::now();
    while counters.taken.load(Ordering::Relaxed) < forwarders && began.elapsed() < SETTLE_TIME {
        sleep(Duration::from_millis(10));
    }
    let settled = settles(real, setup.gossip_update(0).id, forwarders as usize);
    let before = (counters.gossip.count(), counters.plans.count());
    let (reports, taken) = (counters.reports.load(Ordering::Relaxed), counters.taken.load(Ordering::Relaxed));
    let (began, spent) = (Instant::now(), Spent::of(place.id()));
    sleep(rest);
    let (span, now) = (began.elapsed().as_secs_f64(), Spent::of(place.id()));
    let (gossip, plans) = (counters.gossip.count().since(&before.0), counters.plans.count().since(&before.1));
    let reports = (counters.reports.load(Ordering::Relaxed) - reports) as f64;
    let taken = (counters.taken.load(Ordering::Relaxed) - taken) as f64;
    let (size, by) = match workers == WORKERS {
        true => (forwarders, format!("by forwarders, {WORKERS} workers")),
        false => (workers, format!("by workers, {forwarders} forwarders")),
    };
    if let Err(what) = settled {
        // Reports and grants are still valid, but the gossip is not at rest.
        progress(&format!("hollow: planner, {forwarders} forwarders and {workers} workers: {what}"));
    }
    let mut put = |role: &str, what: &str, value: f64, unit: &str| {
        rows.push(Measurement::new(
            role,
            size,
            &format!("{what} {by}"),
            value,
            unit,
            MeasurementKind::Hollow,
        ));
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
    // Below one if this process could not keep up: then the planner received fewer reports than the real forwarders would send.
    let due = each / (GRANT_RENEWAL_INTERVAL as f64 / 10_000.0);
    put("forwarder", "reports that were sent of those due", reports / due, "share");
    let share = if reports > 0.0 { taken / reports } else { 0.0 };
    put("forwarder", "reports that were answered by grants", share, "share");
    progress(&format!(
        "hollow: planner, {forwarders} forwarders and {workers} workers: {cores:.3} cores, {share:.3} of reports answered"
    ));
    Ok(())
}

/// Measures a real forwarder as one of `size` gossip members.
pub fn gossips(
    program: &Program,
    size: u64,
    rest: Duration,
    rows: &mut Vec<Measurement>,
    progress: &mut dyn FnMut(&str),
) -> Result<(), String> {
    let real = free_port();
    let (sockets, addresses) = sockets(size.max(3) - 1)?;
    let setup = Setup { planner: true, workers: 0, addresses };
    let instances = InstanceGroup::start(&setup, sockets, real)?;
    let operator = format!(
        "tier: {{listen: \"{real}\", planners: [{{name: \"g0\", address: \"{}\"}}], workers: [{{name: \"w0\", address: \"{}\", places: 4}}]}}",
        setup.addresses[0],
        free_port()
    );
    let place =
        Deployment::start_as(&program.path, "forward", CONFIG, &operator, |all| all["name"] = "f0".into());
    let mut measures = |when: &str| {
        let (before, began, spent) =
            (instances.counters.gossip.count(), Instant::now(), Spent::of(place.id()));
        sleep(rest);
        let (span, now) = (began.elapsed().as_secs_f64(), Spent::of(place.id()));
        let count = instances.counters.gossip.count().since(&before);
        let mut put = |what: &str, value: f64, unit: &str| {
            let metric = format!("gossip {when}: {what} by members");
            rows.push(Measurement::new("forwarder", size, &metric, value, unit, MeasurementKind::Hollow));
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
        progress(&format!(
            "hollow: gossip {when} at {size} members: {bytes:.0} B/s in and out, {cores:.4} cores"
        ));
    };
    measures("in the first seconds of a member that comes");
    settles(real, setup.gossip_update(0).id, setup.addresses.len())?;
    measures("at rest");
    Ok(())
}
