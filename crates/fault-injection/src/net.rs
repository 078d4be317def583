//! Proxied links between named processes, for datagrams and streams. All links of a `Net` run on one thread.

use crate::{chance, Order};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::time::{sleep, sleep_until, Instant};

/// The faults of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    pub cut: bool,
    pub delay: Duration,
    /// Upper bound of a random extra delay, which reorders datagrams.
    pub jitter: Duration,
    /// Probability that a datagram is lost.
    pub lost: f64,
    /// Probability that a datagram is duplicated.
    pub doubled: f64,
}

type Links = Arc<Mutex<HashMap<(String, String), Link>>>;

enum Relay {
    Datagrams(std::net::UdpSocket, String, String, SocketAddr),
    Peers([Peer; 2]),
    Streams(std::net::TcpListener, String, String, SocketAddr),
}

/// One end of a link between two processes that each receive at a fixed address.
struct Peer {
    name: String,
    /// The address where this process receives.
    address: SocketAddr,
    /// The proxy socket to which the other process sends.
    socket: std::net::UdpSocket,
}

/// The simulated network between the processes. Ends with its last handle.
#[derive(Clone)]
pub struct Net {
    links: Links,
    relays: UnboundedSender<Relay>,
}

/// Maximum number of clients of one datagram proxy.
const MAX_CLIENTS: usize = 256;
/// Size of a receive buffer: the largest UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

impl Net {
    pub fn new(seed: u64) -> Net {
        let links: Links = Arc::default();
        let (relays, mut orders) = unbounded_channel();
        let shared = links.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        std::thread::spawn(move || {
            runtime.block_on(async move {
                while let Some(relay) = orders.recv().await {
                    let links = shared.clone();
                    match relay {
                        Relay::Datagrams(socket, from, to, target) => {
                            tokio::spawn(datagrams(seed, links, socket, from, to, target));
                        }
                        Relay::Peers([one, other]) => {
                            tokio::spawn(peers(seed, links, one, other));
                        }
                        Relay::Streams(listener, from, to, target) => {
                            tokio::spawn(streams(links, listener, from, to, target));
                        }
                    }
                }
            });
        });
        Net { links, relays }
    }

    /// Adds a datagram proxy; returns the address at which `from` reaches `to`, which receives datagrams at `target`.
    pub fn datagrams(&self, from: &str, to: &str, target: SocketAddr) -> SocketAddr {
        let (socket, address) = datagram_socket();
        let _ = self.relays.send(Relay::Datagrams(socket, from.into(), to.into(), target));
        address
    }

    /// Links two processes, given by their names and receive addresses. Returns the address at which the first reaches the second, and
    /// the address at which the second reaches the first. A datagram arrives from the address at which the receiver reaches its
    /// sender, as on a network without proxies.
    pub fn peers(&self, one: (&str, SocketAddr), other: (&str, SocketAddr)) -> (SocketAddr, SocketAddr) {
        let peer = |(name, address): (&str, SocketAddr)| {
            let (socket, proxy) = datagram_socket();
            (Peer { name: name.into(), address, socket }, proxy)
        };
        let ((one, one_proxy), (other, other_proxy)) = (peer(one), peer(other));
        let _ = self.relays.send(Relay::Peers([one, other]));
        (other_proxy, one_proxy)
    }

    /// Like `datagrams`, for connections. A cut holds bytes back, as a network partition does, and closes new connections at once.
    pub fn streams(&self, from: &str, to: &str, target: SocketAddr) -> SocketAddr {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
        listener.set_nonblocking(true).expect("to set the socket non-blocking");
        let address = listener.local_addr().expect("an address");
        let _ = self.relays.send(Relay::Streams(listener, from.into(), to.into(), target));
        address
    }

    /// Changes the faults from `from` to `to`.
    pub fn set(&self, from: &str, to: &str, change: impl FnOnce(&mut Link)) {
        let mut links = self.links.lock().expect("the links");
        change(links.entry((from.into(), to.into())).or_default());
    }

    /// Changes the faults in both directions.
    pub fn both(&self, one: &str, other: &str, change: impl Fn(&mut Link)) {
        self.set(one, other, &change);
        self.set(other, one, &change);
    }

    /// Blocks all traffic between these sides, in both directions.
    pub fn cut(&self, sides: &[Vec<String>]) {
        for (at, side) in sides.iter().enumerate() {
            for other in sides[at + 1..].iter().flatten() {
                side.iter().for_each(|one| self.both(one, other, |link| link.cut = true));
            }
        }
    }

    /// Clears the faults of all links.
    pub fn heal(&self) {
        self.links.lock().expect("the links").clear();
    }

    /// Applies an order that concerns links; false for an order that concerns processes.
    pub fn apply_order(&self, order: &Order) -> bool {
        match order {
            Order::Cut(sides) => self.cut(sides),
            Order::OneWay(from, to) => self.set(from, to, |link| link.cut = true),
            Order::Slow(one, other, delay) => self.both(one, other, |link| link.delay = *delay),
            Order::Lose(one, other, probability) => self.both(one, other, |link| link.lost = *probability),
            Order::Double(one, other, probability) => {
                self.both(one, other, |link| link.doubled = *probability)
            }
            Order::Heal => self.heal(),
            _ => return false,
        }
        true
    }
}

fn datagram_socket() -> (std::net::UdpSocket, SocketAddr) {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free loopback port");
    socket.set_nonblocking(true).expect("to set the socket non-blocking");
    let address = socket.local_addr().expect("an address");
    (socket, address)
}

/// One direction of a link. Counts its datagrams, so that losses and duplicates depend on the seed only.
struct Direction {
    seed: u64,
    links: Links,
    key: (String, String),
    name: String,
    count: u64,
}

impl Direction {
    fn new(seed: u64, links: Links, from: &str, to: &str) -> Direction {
        Direction { seed, links, key: (from.into(), to.into()), name: format!("{from}>{to}"), count: 0 }
    }
    fn link(&self) -> Link {
        self.links.lock().expect("the links").get(&self.key).copied().unwrap_or_default()
    }
    /// The delay of each copy of the next datagram; empty if the datagram is lost.
    fn copies(&mut self) -> Vec<Duration> {
        let link = self.link();
        self.count += 3;
        let draw = |at: u64| chance(self.seed, &self.name, self.count + at);
        if link.cut || draw(0) < link.lost {
            return Vec::new();
        }
        let delay = link.delay + link.jitter.mul_f64(draw(1));
        match draw(2) < link.doubled {
            true => vec![delay, delay + link.jitter + Duration::from_millis(1)],
            false => vec![delay],
        }
    }
}

async fn peers(seed: u64, links: Links, one: Peer, other: Peer) {
    let (Ok(one_socket), Ok(other_socket)) =
        (UdpSocket::from_std(one.socket), UdpSocket::from_std(other.socket))
    else {
        return;
    };
    let (one_socket, other_socket) = (Arc::new(one_socket), Arc::new(other_socket));
    let forward = Direction::new(seed, links.clone(), &one.name, &other.name);
    let backward = Direction::new(seed, links, &other.name, &one.name);
    tokio::join!(
        forward_datagrams((other_socket.clone(), one.address), (one_socket.clone(), other.address), forward),
        forward_datagrams((one_socket, other.address), (other_socket, one.address), backward),
    );
}

/// Forwards datagrams that the sender sends to `proxy` on to the receiver, from the proxy socket at which the receiver reaches the sender.
async fn forward_datagrams(
    (proxy, sender): (Arc<UdpSocket>, SocketAddr),
    (out, receiver): (Arc<UdpSocket>, SocketAddr),
    mut direction: Direction,
) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((size, by)) = proxy.recv_from(&mut bytes).await else { continue };
        if by != sender {
            continue;
        }
        for delay in direction.copies() {
            let (out, datagram) = (out.clone(), bytes[..size].to_vec());
            tokio::spawn(async move {
                sleep(delay).await;
                let _ = out.send_to(&datagram, receiver).await;
            });
        }
    }
}

async fn datagrams(
    seed: u64,
    links: Links,
    socket: std::net::UdpSocket,
    from: String,
    to: String,
    target: SocketAddr,
) {
    let Ok(socket) = UdpSocket::from_std(socket) else { return };
    let socket = Arc::new(socket);
    let mut forward = Direction::new(seed, links.clone(), &from, &to);
    let mut clients: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((size, client)) = socket.recv_from(&mut bytes).await else { continue };
        let out = match clients.get(&client) {
            Some(out) => out.clone(),
            None => {
                let Ok(out) = UdpSocket::bind("127.0.0.1:0").await else { continue };
                if clients.len() >= MAX_CLIENTS || out.connect(target).await.is_err() {
                    continue;
                }
                let out = Arc::new(out);
                clients.insert(client, out.clone());
                let backward = Direction::new(seed, links.clone(), &to, &from);
                tokio::spawn(return_datagrams(out.clone(), socket.clone(), client, backward));
                out
            }
        };
        for delay in forward.copies() {
            let (out, datagram) = (out.clone(), bytes[..size].to_vec());
            if delay.is_zero() {
                let _ = out.send(&datagram).await;
                continue;
            }
            tokio::spawn(async move {
                sleep(delay).await;
                let _ = out.send(&datagram).await;
            });
        }
    }
}

/// Forwards the datagrams from the target back to one client.
async fn return_datagrams(
    from: Arc<UdpSocket>,
    to: Arc<UdpSocket>,
    client: SocketAddr,
    mut direction: Direction,
) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok(size) = from.recv(&mut bytes).await else {
            // The target does not receive at present.
            sleep(Duration::from_millis(1)).await;
            continue;
        };
        for delay in direction.copies() {
            let (to, datagram) = (to.clone(), bytes[..size].to_vec());
            tokio::spawn(async move {
                sleep(delay).await;
                let _ = to.send_to(&datagram, client).await;
            });
        }
    }
}

async fn streams(
    links: Links,
    listener: std::net::TcpListener,
    from: String,
    to: String,
    target: SocketAddr,
) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    loop {
        let Ok((near, _)) = listener.accept().await else { continue };
        let (forward, backward) =
            (Direction::new(0, links.clone(), &from, &to), Direction::new(0, links.clone(), &to, &from));
        if forward.link().cut || backward.link().cut {
            continue;
        }
        tokio::spawn(async move {
            let Ok(far) = TcpStream::connect(target).await else { return };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (near_in, near_out) = near.into_split();
            let (far_in, far_out) = far.into_split();
            // When one end closes, the other is closed too.
            tokio::select! {
                () = forward_stream(near_in, far_out, forward) => {}
                () = forward_stream(far_in, near_out, backward) => {}
            }
        });
    }
}

/// Forwards bytes in order, each chunk after the delay of the link; forwards nothing while the link is cut.
async fn forward_stream(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    direction: Direction,
) {
    let (chunks, mut due) = tokio::sync::mpsc::channel::<(Instant, Vec<u8>)>(64);
    let links = Direction::new(0, direction.links.clone(), &direction.key.0, &direction.key.1);
    let read_chunks = async move {
        let mut bytes = vec![0; 16_384];
        loop {
            match from.read(&mut bytes).await {
                Ok(many) if many > 0 => {
                    let at = Instant::now() + direction.link().delay;
                    if chunks.send((at, bytes[..many].to_vec())).await.is_err() {
                        return;
                    }
                }
                _ => return,
            }
        }
    };
    let write_chunks = async move {
        while let Some((at, bytes)) = due.recv().await {
            sleep_until(at).await;
            while links.link().cut {
                sleep(Duration::from_millis(5)).await;
            }
            if to.write_all(&bytes).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(read_chunks, write_chunks);
}
