//! Links between named parties, datagrams and streams, all on one thread of the rig's own.

use crate::{chance, Order};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::time::{sleep, sleep_until, Instant};

/// What happens on the way from one party to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    pub cut: bool,
    pub delay: Duration,
    /// Up to so much more, by chance: with it, datagrams overtake each other.
    pub jitter: Duration,
    pub lost: f64,
    pub doubled: f64,
}

type Links = Arc<Mutex<HashMap<(String, String), Link>>>;

enum Relay {
    Datagrams(std::net::UdpSocket, String, String, SocketAddr),
    Peers([Peer; 2]),
    Streams(std::net::TcpListener, String, String, SocketAddr),
}

/// One end of a link between parties that both receive at addresses of their own.
struct Peer {
    name: String,
    /// Where it receives.
    address: SocketAddr,
    /// Where the other one finds it.
    socket: std::net::UdpSocket,
}

/// The net between the parties. Ends with its last handle.
#[derive(Clone)]
pub struct Net {
    links: Links,
    relays: UnboundedSender<Relay>,
}

/// Clients of one relay, at the most.
const CLIENTS: usize = 256;
const DATAGRAM: usize = 65_536;

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

    /// The address at which `from` finds `to`, which hears datagrams at `target`.
    pub fn datagrams(&self, from: &str, to: &str, target: SocketAddr) -> SocketAddr {
        let (socket, address) = datagram_socket();
        let _ = self.relays.send(Relay::Datagrams(socket, from.into(), to.into(), target));
        address
    }

    /// Links two parties by the names and addresses at which they receive: where the first finds the second, and where the second
    /// finds the first. What one sends arrives from the address at which the other finds it, as it does on a net without links.
    pub fn peers(&self, one: (&str, SocketAddr), other: (&str, SocketAddr)) -> (SocketAddr, SocketAddr) {
        let peer = |(name, address): (&str, SocketAddr)| {
            let (socket, found_at) = datagram_socket();
            (Peer { name: name.into(), address, socket }, found_at)
        };
        let ((one, one_at), (other, other_at)) = (peer(one), peer(other));
        let _ = self.relays.send(Relay::Peers([one, other]));
        (other_at, one_at)
    }

    /// The same for connections. A cut holds bytes back, as a net does, and refuses new connections.
    pub fn streams(&self, from: &str, to: &str, target: SocketAddr) -> SocketAddr {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port of loopback");
        listener.set_nonblocking(true).expect("a socket");
        let address = listener.local_addr().expect("an address");
        let _ = self.relays.send(Relay::Streams(listener, from.into(), to.into(), target));
        address
    }

    pub fn set(&self, from: &str, to: &str, change: impl FnOnce(&mut Link)) {
        let mut links = self.links.lock().expect("the links");
        change(links.entry((from.into(), to.into())).or_default());
    }

    pub fn both(&self, one: &str, other: &str, change: impl Fn(&mut Link)) {
        self.set(one, other, &change);
        self.set(other, one, &change);
    }

    /// Nothing between these sides, either way.
    pub fn cut(&self, sides: &[Vec<String>]) {
        for (at, side) in sides.iter().enumerate() {
            for other in sides[at + 1..].iter().flatten() {
                side.iter().for_each(|one| self.both(one, other, |link| link.cut = true));
            }
        }
    }

    pub fn heal(&self) {
        self.links.lock().expect("the links").clear();
    }

    /// Carries out an order about links; false for one about processes.
    pub fn obey(&self, order: &Order) -> bool {
        match order {
            Order::Cut(sides) => self.cut(sides),
            Order::OneWay(from, to) => self.set(from, to, |link| link.cut = true),
            Order::Slow(one, other, delay) => self.both(one, other, |link| link.delay = *delay),
            Order::Lose(one, other, part) => self.both(one, other, |link| link.lost = *part),
            Order::Double(one, other, part) => self.both(one, other, |link| link.doubled = *part),
            Order::Heal => self.heal(),
            _ => return false,
        }
        true
    }
}

fn datagram_socket() -> (std::net::UdpSocket, SocketAddr) {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port of loopback");
    socket.set_nonblocking(true).expect("a socket");
    let address = socket.local_addr().expect("an address");
    (socket, address)
}

/// One direction of a link: counts what goes through, so that chance is that of the seed.
struct Way {
    seed: u64,
    links: Links,
    key: (String, String),
    name: String,
    count: u64,
}

impl Way {
    fn new(seed: u64, links: Links, from: &str, to: &str) -> Way {
        Way { seed, links, key: (from.into(), to.into()), name: format!("{from}>{to}"), count: 0 }
    }
    fn link(&self) -> Link {
        self.links.lock().expect("the links").get(&self.key).copied().unwrap_or_default()
    }
    /// After how long each copy of the next datagram arrives.
    fn copies(&mut self) -> Vec<Duration> {
        let link = self.link();
        self.count += 3;
        let draw = |at: u64| chance(self.seed, &self.name, self.count + at);
        if link.cut || draw(0) < link.lost {
            return Vec::new();
        }
        let late = link.delay + link.jitter.mul_f64(draw(1));
        match draw(2) < link.doubled {
            true => vec![late, late + link.jitter + Duration::from_millis(1)],
            false => vec![late],
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
    let there = Way::new(seed, links.clone(), &one.name, &other.name);
    let back = Way::new(seed, links, &other.name, &one.name);
    tokio::join!(
        one_way((other_socket.clone(), one.address), (one_socket.clone(), other.address), there),
        one_way((one_socket, other.address), (other_socket, one.address), back),
    );
}

/// Carries what the sender sends to `found_at` on to the receiver, out of the socket at which that one finds the sender.
async fn one_way(
    (found_at, sender): (Arc<UdpSocket>, SocketAddr),
    (out, receiver): (Arc<UdpSocket>, SocketAddr),
    mut way: Way,
) {
    let mut bytes = vec![0; DATAGRAM];
    loop {
        let Ok((size, by)) = found_at.recv_from(&mut bytes).await else { continue };
        if by != sender {
            continue;
        }
        for late in way.copies() {
            let (out, datagram) = (out.clone(), bytes[..size].to_vec());
            tokio::spawn(async move {
                sleep(late).await;
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
    let mut there = Way::new(seed, links.clone(), &from, &to);
    let mut clients: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut bytes = vec![0; DATAGRAM];
    loop {
        let Ok((size, client)) = socket.recv_from(&mut bytes).await else { continue };
        let out = match clients.get(&client) {
            Some(out) => out.clone(),
            None => {
                let Ok(out) = UdpSocket::bind("127.0.0.1:0").await else { continue };
                if clients.len() >= CLIENTS || out.connect(target).await.is_err() {
                    continue;
                }
                let out = Arc::new(out);
                clients.insert(client, out.clone());
                let back = Way::new(seed, links.clone(), &to, &from);
                tokio::spawn(answers(out.clone(), socket.clone(), client, back));
                out
            }
        };
        for late in there.copies() {
            let (out, datagram) = (out.clone(), bytes[..size].to_vec());
            if late.is_zero() {
                let _ = out.send(&datagram).await;
                continue;
            }
            tokio::spawn(async move {
                sleep(late).await;
                let _ = out.send(&datagram).await;
            });
        }
    }
}

/// What comes back to one client.
async fn answers(from: Arc<UdpSocket>, to: Arc<UdpSocket>, client: SocketAddr, mut way: Way) {
    let mut bytes = vec![0; DATAGRAM];
    loop {
        let Ok(size) = from.recv(&mut bytes).await else {
            // Nobody hears there just now.
            sleep(Duration::from_millis(1)).await;
            continue;
        };
        for late in way.copies() {
            let (to, datagram) = (to.clone(), bytes[..size].to_vec());
            tokio::spawn(async move {
                sleep(late).await;
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
        let (there, back) = (Way::new(0, links.clone(), &from, &to), Way::new(0, links.clone(), &to, &from));
        if there.link().cut || back.link().cut {
            continue;
        }
        tokio::spawn(async move {
            let Ok(far) = TcpStream::connect(target).await else { return };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (near_in, near_out) = near.into_split();
            let (far_in, far_out) = far.into_split();
            // One end that goes takes the other with it.
            tokio::select! {
                () = carry(near_in, far_out, there) => {}
                () = carry(far_in, near_out, back) => {}
            }
        });
    }
}

/// Bytes in their order, each part as late as the link says; while it is cut, nothing.
async fn carry(mut from: tokio::net::tcp::OwnedReadHalf, mut to: tokio::net::tcp::OwnedWriteHalf, way: Way) {
    let (parts, mut due) = tokio::sync::mpsc::channel::<(Instant, Vec<u8>)>(64);
    let links = Way::new(0, way.links.clone(), &way.key.0, &way.key.1);
    let reads = async move {
        let mut bytes = vec![0; 16_384];
        loop {
            match from.read(&mut bytes).await {
                Ok(many) if many > 0 => {
                    let at = Instant::now() + way.link().delay;
                    if parts.send((at, bytes[..many].to_vec())).await.is_err() {
                        return;
                    }
                }
                _ => return,
            }
        }
    };
    let writes = async move {
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
    tokio::join!(reads, writes);
}
