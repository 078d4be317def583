//! Hollow members of a rollout and hollow owners: each a real decider and a socket of its own, many on each thread. A text that comes is
//! held for good at once: it is neither read nor kept.

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

/// Threads that hollow instances are spread over.
const THREADS: usize = 2;
/// Bytes at one keeper are counted in slots of this length, for the peak of any second.
const SLOT: Duration = Duration::from_millis(20);
/// Slots that are kept: ten minutes.
const SLOTS: usize = 30_000;

/// One keeper, as the hollow instances see it.
#[derive(Default)]
struct Seen {
    flow: Flow,
    /// With headers, both ways, by slot.
    slots: Mutex<Vec<u64>>,
}

/// What all of them have seen.
pub struct Books {
    began: Instant,
    seen: HashMap<SocketAddr, Seen>,
    /// The keeper that answered as the leader last.
    leader: Mutex<Option<SocketAddr>>,
    /// Versions that came in force: which member, which version, when.
    in_force: Mutex<Vec<(usize, u64, Instant)>>,
    /// Owners that have a session.
    sessions: AtomicU64,
    out: AtomicU64,
    over: AtomicBool,
}

impl Books {
    fn new(set: &ControlReplicas) -> Books {
        let seen = set.replicas.iter().map(|(_, address)| (*address, Seen::default())).collect();
        Books {
            began: Instant::now(),
            seen,
            leader: Mutex::default(),
            in_force: Mutex::default(),
            sessions: AtomicU64::new(0),
            out: AtomicU64::new(0),
            over: AtomicBool::new(false),
        }
    }

    fn notes(&self, keeper: SocketAddr, size: usize, goes_out: bool) {
        let Some(seen) = self.seen.get(&keeper) else { return };
        seen.flow.notes(size, goes_out);
        let slot = (self.began.elapsed().as_nanos() / SLOT.as_nanos()) as usize;
        let mut slots = seen.slots.lock().expect("the slots");
        if slot < SLOTS {
            if slots.len() <= slot {
                slots.resize(slot + 1, 0);
            }
            slots[slot] += size as u64 + HEADERS;
        }
    }

    /// With all keepers, or with one of them.
    pub fn count(&self, keeper: Option<SocketAddr>) -> Count {
        let asked = self.seen.iter().filter(|(address, _)| keeper.is_none_or(|one| one == **address));
        asked.fold(Count::default(), |all, (_, seen)| all.and(&seen.flow.count()))
    }

    /// The most bytes in any one second since then, at one keeper, both ways, with headers.
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
    /// How often a member was out of service after it had begun.
    pub fn out(&self) -> u64 {
        self.out.load(Ordering::Relaxed)
    }
    /// The same without the members' places.
    pub fn had(&self, version: u64) -> Vec<Instant> {
        self.in_force(version).into_values().collect()
    }
    /// When each member first had that version in force.
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

/// Hollow instances, for as long as this is held.
pub struct Crowd {
    pub books: Arc<Books>,
    threads: Vec<JoinHandle<Result<(), String>>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// Members of a rollout.
    Members,
    /// Instances with a session, each of which would take the one part of a duty.
    Owners,
}

impl Crowd {
    pub fn start(what: What, many: u64, set: &ControlReplicas) -> Result<Crowd, String> {
        let books = Arc::new(Books::new(set));
        let mut threads = Vec::new();
        for thread in 0..THREADS {
            let (books, set) = (books.clone(), set.clone());
            let own = (0..many as usize).filter(move |at| at % THREADS == thread);
            let run = move || {
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
                let runtime = runtime.map_err(|error| error.to_string())?;
                LocalSet::new().block_on(&runtime, lives(what, own, set, books))
            };
            threads.push(std::thread::Builder::new().spawn(run).map_err(|error| error.to_string())?);
        }
        Ok(Crowd { books, threads })
    }

    /// Ends all; what went wrong in one of them.
    pub fn end(mut self) -> Result<(), String> {
        self.books.over.store(true, Ordering::Relaxed);
        let ended =
            self.threads.drain(..).map(|thread| thread.join().unwrap_or(Err("a thread broke".into())));
        ended.collect::<Vec<_>>().into_iter().collect()
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.books.over.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

async fn lives(
    what: What,
    own: impl Iterator<Item = usize>,
    set: ControlReplicas,
    books: Arc<Books>,
) -> Result<(), String> {
    let clock = MonotonicClock::start();
    let set = Rc::new(set);
    let bytes = Rc::new(RefCell::new(vec![0; message::MAX_DATAGRAM_BYTES + 1]));
    for at in own {
        let socket =
            UdpSocket::bind(set.local_address()).await.map_err(|error| format!("instance {at}: {error}"))?;
        let end = End { at, socket, to: set.addresses(), clock, books: books.clone(), bytes: bytes.clone() };
        match what {
            What::Members => spawn_local(end.member()),
            What::Owners => spawn_local(end.owner()),
        };
    }
    while !books.over.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// One hollow instance: its socket, and what is behind it.
struct End {
    at: usize,
    socket: UdpSocket,
    to: HashMap<NodeId, SocketAddr>,
    clock: MonotonicClock,
    books: Arc<Books>,
    /// One for all of a thread: none is held over a wait.
    bytes: Rc<RefCell<Vec<u8>>>,
}

impl End {
    fn posts(&self, to: NodeId, wire: &ControlMessage) {
        let Some(to) = self.to.get(&to) else { return };
        if let Some(bytes) = message::encode(wire) {
            if self.socket.try_send_to(&bytes, *to).is_ok() {
                self.books.notes(*to, bytes.len(), true);
            }
        }
    }

    /// The next datagram that is understood, or `None` once it is time.
    async fn hears(&self, due: cypresscleat_rollout::Time) -> Option<(SocketAddr, ControlMessage)> {
        tokio::select! {
            () = sleep_until(self.clock.instant(due)) => return None,
            ready = self.socket.readable() => ready.ok()?,
        }
        let mut bytes = self.bytes.borrow_mut();
        // Word of an earlier datagram that found nobody is an error here, and is passed over.
        let (size, from) = self.socket.try_recv_from(&mut bytes).ok()?;
        self.books.notes(from, size, false);
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
                asks.drain(..).for_each(|(to, ask)| self.posts(to, &ControlMessage::RolloutRequest(ask)));
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
                            let mut list = self.books.in_force.lock().expect("the list");
                            list.push((self.at, number, Instant::now()));
                        }
                        MemberEvent::LeaseExpired { .. } => {
                            self.books.out.fetch_add(1, Ordering::Relaxed);
                        }
                        MemberEvent::Paused { .. } => {}
                    }
                }
            }
            let Some((by, wire)) = self.hears(member.next_deadline()).await else { continue };
            if let ControlMessage::RolloutResponse { from, response } = wire {
                if matches!(response, Response::Renewed { .. }) {
                    *self.books.leader.lock().expect("the leader") = Some(by);
                }
                let asks = member.handle(self.clock.now(), from, response);
                asks.into_iter().for_each(|(to, ask)| self.posts(to, &ControlMessage::RolloutRequest(ask)));
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
                asks.into_iter().for_each(|(to, ask)| self.posts(to, &ControlMessage::LeaseRequest(ask)));
            }
            client.events().for_each(drop);
            let Some((by, wire)) = self.hears(client.next_deadline()).await else { continue };
            if let ControlMessage::LeaseResponse { from, response } = wire {
                if matches!(response, cypresscleat_leases::messages::Response::Renewed { .. }) {
                    *self.books.leader.lock().expect("the leader") = Some(by);
                }
                let asks = client.handle(self.clock.now(), from, response);
                asks.into_iter().for_each(|(to, ask)| self.posts(to, &ControlMessage::LeaseRequest(ask)));
                if !known && client.session() != 0 {
                    known = true;
                    self.books.sessions.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }
}
