//! A relay: it stands between the keepers and the members of its zone. What is decided stands in crate `relays`; here are two sockets, the
//! texts on the disk, time and signals.

use crate::counters::{add, counters};
use crate::leases::known_replicas::KnownReplicas;
use crate::leases::wire::ControlMessage;
use crate::leases::{self, block_on, random_id, ControlReplicas, MonotonicClock};
use crate::log;
use crate::operator;
use crate::rollout::disk::{VersionDisk, Written};
use crate::rollout::document_store::load_versions;
use crate::rollout::{check_version, LEAVE_TIMEOUT};
use crate::sockets::tried;
use cypresscleat_consensus::message;
use cypresscleat_rollout::messages::{Request, Response};
use cypresscleat_rollout::{node_id, NodeId, MAX_DOCUMENT_BYTES};
use cypresscleat_rollout_relay::{Out, Relay};
use cypresscleat_scheduler::Time;
use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::net::UdpSocket;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::sleep_until;

/// Datagrams that are read from one side before the other side has its turn: a member that floods delays no keeper's word.
const BATCH: usize = 64;
/// It looks up at least this often, in tenths of a millisecond.
const LOOK: Time = 10_000;

/// A relay, as the operator's file has it.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayConfig {
    /// Where members find it.
    pub listen: SocketAddr,
    /// Where it keeps versions.
    pub folder: PathBuf,
    /// The longest lease that it gives.
    pub max_lease: Time,
}

counters! { Counters;
    asks: "words of members that were understood",
    told: "words to members",
    texts: "texts among them",
    up: "words to keepers",
    heard: "words of keepers",
    strangers: "answers from elsewhere than the keeper whose name they bear",
    garbled: "datagrams that are no words of a change of policy",
    unsent: "datagrams that the socket did not take",
    kept: "texts put on the disk",
    unkept: "texts that could not be",
}

/// From the reading of the operator's file to its end.
pub fn start(path: &Path, name: &str) -> ExitCode {
    let read = operator::read(path, None).map_err(|wrong| wrong.shown);
    let read = read.and_then(|(operator, _)| match (operator.keepers, operator.relay) {
        _ if name.is_empty() => Err("no name: --name or EDGE_NAME\n".into()),
        (Some(keepers), Some(relay)) => Ok((keepers, relay)),
        _ => Err(format!("{}: no relay\n", path.display())),
    });
    match read {
        Ok((keepers, set)) => block_on(run(name, &keepers, &set)).unwrap_or_else(|error| {
            log!("{error}");
            ExitCode::FAILURE
        }),
        Err(what) => {
            let _ = io::stderr().write_all(what.as_bytes());
            ExitCode::from(2)
        }
    }
}

struct Task {
    name: String,
    own: NodeId,
    below: UdpSocket,
    above: UdpSocket,
    replicas: KnownReplicas,
    clock: MonotonicClock,
    relay: Relay<SocketAddr>,
    disk: VersionDisk,
    /// Texts that the disk's thread had no room for, and that the relay is still to hear of.
    unkept: VecDeque<Written>,
    counters: Counters,
    /// Of those that are no letters, as last told.
    told: u64,
}

/// Until it is told to stop, and has left or waited long enough for that.
async fn run(name: &str, keepers: &ControlReplicas, set: &RelayConfig) -> io::Result<()> {
    let mut term = signal(SignalKind::terminate()).map_err(tried("signals"))?;
    let mut usr1 = signal(SignalKind::user_defined1()).map_err(tried("signals"))?;
    let named = tried(format!("relay {name} on {}", set.listen));
    let below = UdpSocket::bind(set.listen).await.map_err(named)?;
    let above = UdpSocket::bind(keepers.local_address()).await.map_err(tried("the socket to the keepers"))?;
    // Guards against the loss of the first words: a socket takes none before it is known to.
    for socket in [&below, &above] {
        socket.writable().await?;
    }
    log!("relay {name} hears members at {}", below.local_addr()?);
    let clock = MonotonicClock::start();
    let key = (node_id(name), random_id(name));
    let all = keepers.replicas.iter().map(|(name, _)| node_id(name)).collect();
    let mut relay = Relay::new(clock.now(), name, key, all, set.max_lease);
    for version in load_versions(&set.folder) {
        // What a disk garbled is not handed out: members would refuse it under its number.
        match check_version(&version, MAX_DOCUMENT_BYTES, None) {
            Ok(_) => relay.knows(version),
            Err(what) => log!("policy {} was kept and is not handed out: {what}", version.number),
        }
    }
    let mut task = Task {
        name: name.to_string(),
        own: key.0,
        below,
        above,
        replicas: KnownReplicas::new(&format!("relay {name}"), keepers.addresses()),
        clock,
        relay,
        disk: VersionDisk::start(&set.folder)?,
        unkept: VecDeque::new(),
        counters: Counters::default(),
        told: 0,
    };
    let mut ends = None;
    let mut bytes = vec![0; message::MAX_DATAGRAM_BYTES + 1];
    loop {
        let now = clock.now();
        if now >= task.relay.due() {
            let out = task.relay.tick(now);
            task.carry(out);
        }
        if let Some(unkept) = task.unkept.pop_front() {
            task.keeps(unkept);
        }
        task.tells();
        if task.relay.left() || ends.is_some_and(|at| now >= at) {
            break;
        }
        let look = if task.unkept.is_empty() { now + LOOK } else { now };
        let due = task.relay.due().min(ends.unwrap_or(Time::MAX)).min(look);
        tokio::select! {
            () = sleep_until(clock.instant(due)) => {}
            ready = task.above.readable() => ready?,
            ready = task.below.readable() => ready?,
            Some(written) = task.disk.next() => task.keeps(written),
            _ = usr1.recv() => log!("{}", task.line()),
            _ = term.recv(), if ends.is_none() => {
                log!("relay {name} leaves");
                // Its members hold leases of it for so long at the most.
                ends = Some(clock.now() + set.max_lease + LEAVE_TIMEOUT.as_millis() as Time * 10);
                let out = task.relay.leaves(clock.now());
                task.carry(out);
            }
        }
        task.hears_above(&mut bytes);
        task.hears_below(&mut bytes);
    }
    let how = if task.relay.left() { "has left" } else { "goes without the keepers' word" };
    log!("relay {name} {how}: {}", task.line());
    Ok(())
}

/// The next datagram of a batch; `None` where there is none. What is no datagram is word of an earlier one that found nobody.
fn next(socket: &UdpSocket, bytes: &mut [u8]) -> Option<io::Result<(usize, SocketAddr)>> {
    match socket.try_recv_from(bytes) {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => None,
        got => Some(got),
    }
}

impl Task {
    fn hears_above(&mut self, bytes: &mut [u8]) {
        for _ in 0..BATCH {
            let Some(got) = next(&self.above, bytes) else { return };
            let Ok((size, by)) = got else { continue };
            match message::decode::<ControlMessage>(&bytes[..size]) {
                Ok(ControlMessage::RolloutResponse { from, .. }) if !self.replicas.accepts(from, by) => {
                    add(&self.counters.strangers);
                }
                Ok(ControlMessage::RolloutResponse { from, response }) => {
                    add(&self.counters.heard);
                    let out = self.relay.from_above(self.clock.now(), from, response);
                    self.carry(out);
                }
                Ok(ControlMessage::ReplicaAddress { replica, address })
                    if self.replicas.learn(by, replica, address) =>
                {
                    self.relay.learns(replica);
                }
                Ok(ControlMessage::ReplicaAddress { .. }) => {}
                _ => add(&self.counters.garbled),
            }
        }
    }

    fn hears_below(&mut self, bytes: &mut [u8]) {
        for _ in 0..BATCH {
            let Some(got) = next(&self.below, bytes) else { return };
            let Ok((size, by)) = got else { continue };
            match message::decode::<ControlMessage>(&bytes[..size]) {
                Ok(ControlMessage::RolloutRequest(ask)) if ask.is_within_bounds() => {
                    add(&self.counters.asks);
                    let out = self.relay.from_below(self.clock.now(), by, ask);
                    self.carry(out);
                }
                _ => add(&self.counters.garbled),
            }
        }
    }

    /// Says what is to be said, and hands on what is to be kept.
    fn carry(&mut self, out: Out<SocketAddr>) {
        for (to, ask) in out.up {
            self.says_up(to, ask);
        }
        for (to, response) in out.down {
            self.says_down(to, response);
        }
        for version in out.keep {
            let number = version.number;
            if !self.disk.write_version(version, None) {
                self.unkept.push_back(Written { number, result: Err("the disk is behind".into()) });
            }
        }
    }

    fn says_up(&mut self, to: NodeId, ask: Request) {
        if let Some(to) = self.replicas.next_address(to) {
            add(&self.counters.up);
            self.sends(&self.above, to, &ControlMessage::RolloutRequest(ask));
        }
    }

    fn says_down(&self, to: SocketAddr, response: Response) {
        add(&self.counters.told);
        if matches!(response, Response::Document { version: Some(_), .. }) {
            add(&self.counters.texts);
        }
        self.sends(&self.below, to, &ControlMessage::RolloutResponse { from: self.own, response });
    }

    fn sends(&self, socket: &UdpSocket, to: SocketAddr, datagram: &ControlMessage) {
        if !leases::send(socket, to, datagram) {
            add(&self.counters.unsent);
        }
    }

    fn keeps(&mut self, Written { number, result }: Written) {
        add(if result.is_ok() { &self.counters.kept } else { &self.counters.unkept });
        let out = self.relay.kept(self.clock.now(), number, result);
        self.carry(out);
    }

    /// The relay's own lines: a change of the version in force, of service, what is refused.
    fn tells(&mut self) {
        self.relay.log().for_each(|line| log!("{line}"));
        let garbled = self.counters.garbled.get();
        if garbled.is_power_of_two() && garbled != self.told {
            self.told = garbled;
            log!("relay {}: {garbled} datagrams that are no words of a change of policy", self.name);
        }
    }

    fn line(&self) -> String {
        let in_force = self.relay.in_force().map_or("none".into(), |number| number.to_string());
        format!("{}, members {}, in_force {in_force}", self.counters.line(), self.relay.members())
    }
}
