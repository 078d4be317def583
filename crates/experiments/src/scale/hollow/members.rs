//! Simulated rollout members and lease owners: each has real decision code and its own socket, many on each thread. A received document
//! is voted for at once, without being read or stored.

use super::{Count, Flow, HEADERS};
use cypresscleat_consensus::message;
use cypresscleat_leases::client::LeaseClient;
use cypresscleat_leases::{node_id, Claim, NodeId};
use cypresscleat_rollout::member::{MemberEvent, RolloutMember};
use cypresscleat_rollout::messages::{Response, Verdict};
use cypresscleat_server::leases::wire::ControlMessage;
use cypresscleat_server::leases::{random_id, ControlReplicas, MonotonicClock};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep_until;

/// Threads that run the simulated instances.
const THREADS: usize = 2;
/// Bytes at a control replica are counted in time slots of this length, to find the peak of any second.
const SLOT: Duration = Duration::from_millis(20);
/// Maximum number of time slots: ten minutes.
const SLOTS: usize = 30_000;

/// Traffic of one control replica with the simulated instances.
#[derive(Default)]
struct Seen {
    flow: Flow,
    /// Bytes with headers, in both directions, by time slot.
    slots: Mutex<Vec<u64>>,
}

/// Counts and events of all simulated instances.
pub struct Counters {
    began: Instant,
    seen: HashMap<SocketAddr, Seen>,
    /// The control replica that last responded as the leader.
    leader: Mutex<Option<SocketAddr>>,
    /// Activations: member, version, time.
    in_force: Mutex<Vec<(usize, u64, Instant)>>,
    /// Owners that have a session.
    sessions: AtomicU64,
    out: AtomicU64,
    over: AtomicBool,
}

impl Counters {
    fn new(set: &ControlReplicas) -> Counters {
        let seen = set.replicas.iter().map(|(_, address)| (*address, Seen::default())).collect();
        Counters {
            began: Instant::now(),
            seen,
            leader: Mutex::default(),
            in_force: Mutex::default(),
            sessions: AtomicU64::new(0),
            out: AtomicU64::new(0),
            over: AtomicBool::new(false),
        }
    }

    fn record(&self, keeper: SocketAddr, size: usize, goes_out: bool) {
        let Some(seen) = self.seen.get(&keeper) else { return };
        seen.flow.record(size, goes_out);
        let slot = (self.began.elapsed().as_nanos() / SLOT.as_nanos()) as usize;
        let mut slots = seen.slots.lock().expect("the slots");
        if slot < SLOTS {
            if slots.len() <= slot {
                slots.resize(slot + 1, 0);
            }
            slots[slot] += size as u64 + HEADERS;
        }
    }

    /// Traffic with all control replicas, or with one of them.
    pub fn count(&self, keeper: Option<SocketAddr>) -> Count {
        let asked = self.seen.iter().filter(|(address, _)| keeper.is_none_or(|one| one == **address));
        asked.fold(Count::default(), |all, (_, seen)| all.and(&seen.flow.count()))
    }

    /// Maximum bytes in any one second since `since` at one control replica, in both directions, with headers.
    pub fn peak(&self, keeper: SocketAddr, since: Instant) -> u64 {
        let Some(seen) = self.seen.get(&keeper) else { return 0 };
        let from = (since.duration_since(self.began).as_nanos() / SLOT.as_nanos()) as usize;
        let second = (1_000 / SLOT.as_millis()) as usize;
        let slots = seen.slots.lock().expect("the slots");
        let slots = slots.get(from..).unwrap_or(&[]);
        match slots.len() > second {
            true => slots.windows(second).map(|one| one.iter().sum()).max().unwrap_or(0),
            false => slots.iter().sum(),
        }
    }

    pub fn leader(&self) -> Option<SocketAddr> {
        *self.leader.lock().expect("the leader")
    }
    pub fn sessions(&self) -> u64 {
        self.sessions.load(Ordering::Relaxed)
    }
    /// Number of times that a member went out of service after it had joined.
    pub fn out(&self) -> u64 {
        self.out.load(Ordering::Relaxed)
    }
    /// When members first activated that version, without their indexes.
    pub fn had(&self, version: u64) -> Vec<Instant> {
        self.in_force(version).into_values().collect()
    }
    /// When each member first activated that version, by member index.
    pub fn in_force(&self, version: u64) -> HashMap<usize, Instant> {
        let mut first = HashMap::new();
        for (member, number, at) in self.in_force.lock().expect("the list").iter() {
            if *number == version {
                first.entry(*member).or_insert(*at);
            }
        }
        first
    }
}

/// Running simulated instances; dropping this value stops them.
pub struct InstanceGroup {
    pub counters: Arc<Counters>,
    threads: Vec<JoinHandle<Result<(), String>>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceKind {
    /// Members of a rollout.
    Members,
    /// Instances with a lease session; each claims the one partition of a task.
    Owners,
}

impl InstanceGroup {
    pub fn start(what: InstanceKind, many: u64, set: &ControlReplicas) -> Result<InstanceGroup, String> {
        let counters = Arc::new(Counters::new(set));
        let mut threads = Vec::new();
        for thread in 0..THREADS {
            let (counters, set) = (counters.clone(), set.clone());
            let own = (0..many as usize).filter(move |at| at % THREADS == thread);
            let run = move || {
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
                let runtime = runtime.map_err(|error| error.to_string())?;
                LocalSet::new().block_on(&runtime, run_instances(what, own, set, counters))
            };
            threads.push(std::thread::Builder::new().spawn(run).map_err(|error| error.to_string())?);
        }
        Ok(InstanceGroup { counters, threads })
    }

    /// Stops all instances; returns the error of a failed thread.
    pub fn end(mut self) -> Result<(), String> {
        self.counters.over.store(true, Ordering::Relaxed);
        let ended =
            self.threads.drain(..).map(|thread| thread.join().unwrap_or(Err("a thread panicked".into())));
        ended.collect::<Vec<_>>().into_iter().collect()
    }
}

impl Drop for InstanceGroup {
    fn drop(&mut self) {
        self.counters.over.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

async fn run_instances(
    what: InstanceKind,
    own: impl Iterator<Item = usize>,
    set: ControlReplicas,
    counters: Arc<Counters>,
) -> Result<(), String> {
    let clock = MonotonicClock::start();
    let set = Rc::new(set);
    let bytes = Rc::new(RefCell::new(vec![0; message::MAX_DATAGRAM_BYTES + 1]));
    for at in own {
        let socket =
            UdpSocket::bind(set.local_address()).await.map_err(|error| format!("instance {at}: {error}"))?;
        let end = Instance {
            at,
            socket,
            to: set.addresses(),
            clock,
            counters: counters.clone(),
            bytes: bytes.clone(),
        };
        match what {
            InstanceKind::Members => spawn_local(end.member()),
            InstanceKind::Owners => spawn_local(end.owner()),
        };
    }
    while !counters.over.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// One simulated instance with its socket.
struct Instance {
    at: usize,
    socket: UdpSocket,
    to: HashMap<NodeId, SocketAddr>,
    clock: MonotonicClock,
    counters: Arc<Counters>,
    /// Receive buffer, shared by all instances of a thread: it is never borrowed across an await.
    bytes: Rc<RefCell<Vec<u8>>>,
}

impl Instance {
    fn send(&self, to: NodeId, wire: &ControlMessage) {
        let Some(to) = self.to.get(&to) else { return };
        if let Some(bytes) = message::encode(wire) {
            if self.socket.try_send_to(&bytes, *to).is_ok() {
                self.counters.record(*to, bytes.len(), true);
            }
        }
    }

    /// Receives the next valid message; `None` at the deadline.
    async fn receive(&self, due: cypresscleat_rollout::Time) -> Option<(SocketAddr, ControlMessage)> {
        tokio::select! {
            () = sleep_until(self.clock.instant(due)) => return None,
            ready = self.socket.readable() => ready.ok()?,
        }
        let mut bytes = self.bytes.borrow_mut();
        // An ICMP error for an earlier datagram without a receiver appears as an error here and is ignored.
        let (size, from) = self.socket.try_recv_from(&mut bytes).ok()?;
        self.counters.record(from, size, false);
        Some((from, message::decode::<ControlMessage>(&bytes[..size]).ok()?))
    }

    async fn member(self) {
        let name = format!("h{}", self.at);
        let keepers = self.to.keys().copied().collect();
        let mut member =
            RolloutMember::new(self.clock.now(), &name, (node_id(&name), random_id(&name)), keepers);
        loop {
            let now = self.clock.now();
            let mut asks = if now >= member.next_deadline() { member.tick(now) } else { Vec::new() };
            loop {
                asks.drain(..).for_each(|(to, ask)| self.send(to, &ControlMessage::RolloutRequest(ask)));
                let events: Vec<MemberEvent> = member.events().collect();
                if events.is_empty() {
                    break;
                }
                for event in events {
                    match event {
                        MemberEvent::Check { version } => {
                            asks.extend(member.record_verdict(
                                self.clock.now(),
                                version.number,
                                Verdict::Prepared,
                            ));
                        }
                        MemberEvent::Activated { number } => {
                            let mut list = self.counters.in_force.lock().expect("the list");
                            list.push((self.at, number, Instant::now()));
                        }
                        MemberEvent::LeaseExpired { .. } => {
                            self.counters.out.fetch_add(1, Ordering::Relaxed);
                        }
                        MemberEvent::Paused { .. } => {}
                    }
                }
            }
            let Some((by, wire)) = self.receive(member.next_deadline()).await else { continue };
            if let ControlMessage::RolloutResponse { from, response } = wire {
                if matches!(response, Response::Renewed { .. }) {
                    *self.counters.leader.lock().expect("the leader") = Some(by);
                }
                let asks = member.handle(self.clock.now(), from, response);
                asks.into_iter().for_each(|(to, ask)| self.send(to, &ControlMessage::RolloutRequest(ask)));
            }
        }
    }

    async fn owner(self) {
        let name = format!("o{}", self.at);
        let keepers = self.to.keys().copied().collect();
        let claims = vec![Claim { task: node_id("scale"), partitions: 1, rank: 0 }];
        let mut client =
            LeaseClient::new(self.clock.now(), node_id(&name), random_id(&name), claims, keepers);
        let mut known = false;
        loop {
            let now = self.clock.now();
            if now >= client.next_deadline() {
                let asks = client.tick(now);
                asks.into_iter().for_each(|(to, ask)| self.send(to, &ControlMessage::LeaseRequest(ask)));
            }
            client.events().for_each(drop);
            let Some((by, wire)) = self.receive(client.next_deadline()).await else { continue };
            if let ControlMessage::LeaseResponse { from, response } = wire {
                if matches!(response, cypresscleat_leases::messages::Response::Renewed { .. }) {
                    *self.counters.leader.lock().expect("the leader") = Some(by);
                }
                let asks = client.handle(self.clock.now(), from, response);
                asks.into_iter().for_each(|(to, ask)| self.send(to, &ControlMessage::LeaseRequest(ask)));
                if !known && client.session() != 0 {
                    known = true;
                    self.counters.sessions.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }
}
