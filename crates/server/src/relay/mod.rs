//! Runs a relay between the control replicas and the members of its zone. Crate `rollout-relay` makes the decisions; this module has the
//! two sockets, the documents on the disk, time and signals.

use crate::counters::{add, counters};
use crate::leases::known_replicas::KnownReplicas;
use crate::leases::wire::ControlMessage;
use crate::leases::{self, block_on, random_id, ControlReplicas, MonotonicClock};
use crate::log;
use crate::operator;
use crate::rollout::disk::{VersionDisk, Written};
use crate::rollout::document_store::load_versions;
use crate::rollout::{check_version, LEAVE_TIMEOUT};
use crate::signals::{OperatorSignal, OperatorSignals};
use crate::sockets::add_context;
use cypresscleat_consensus::message;
use cypresscleat_rollout::messages::{Request, Response};
use cypresscleat_rollout::{node_id, NodeId, MAX_DOCUMENT_BYTES};
use cypresscleat_rollout_relay::{Relay, RelayOutput};
use cypresscleat_scheduler::Time;
use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::net::UdpSocket;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::sleep_until;

/// Datagrams that are read from one socket in a row: a member that floods the relay does not delay responses of control replicas.
const MAX_DATAGRAMS_IN_A_ROW: usize = 64;
/// The longest sleep of the main loop, in tenths of a millisecond.
const MAX_SLEEP: Time = 10_000;

/// The relay's settings in the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayConfig {
    /// Address at which members send requests.
    pub listen: SocketAddr,
    /// Folder for versions.
    pub folder: PathBuf,
    /// The longest lease that the relay gives to members.
    pub max_lease: Time,
}

counters! { Counters;
    asks: "requests of members and operators that were accepted",
    told: "responses sent to members and operators",
    texts: "documents among these responses",
    up: "requests sent to control replicas",
    heard: "responses received from control replicas",
    strangers: "responses that came from another address than that of the replica that they name",
    garbled: "datagrams that are no words of a change of policy",
    unsent: "datagrams that the socket did not accept",
    kept: "documents stored on the disk",
    unkept: "documents that could not be stored",
}

/// Reads the operator's file and runs the relay. Returns once the relay has ended.
pub fn start(path: &Path, name: &str) -> ExitCode {
    let read = operator::read(path, None).map_err(|error| error.rendered);
    let read = read.and_then(|(operator, _)| match (operator.control_replicas, operator.relay) {
        _ if name.is_empty() => Err("no name: --name or EDGE_NAME\n".into()),
        (Some(keepers), Some(config)) => Ok((keepers, config)),
        _ => Err(format!("{}: no relay\n", path.display())),
    });
    match read {
        Ok((keepers, config)) => block_on(run(name, &keepers, &config)).unwrap_or_else(|error| {
            log!("{error}");
            ExitCode::FAILURE
        }),
        Err(message) => {
            let _ = io::stderr().write_all(message.as_bytes());
            ExitCode::from(2)
        }
    }
}

/// A running relay: sockets, disk, counters.
struct Task {
    name: String,
    id: NodeId,
    member_socket: UdpSocket,
    replica_socket: UdpSocket,
    replicas: KnownReplicas,
    clock: MonotonicClock,
    relay: Relay<SocketAddr>,
    disk: VersionDisk,
    /// Writes that the disk's queue had no room for, of which the relay is still to be told.
    rejected_writes: VecDeque<Written>,
    counters: Counters,
    /// The counter `garbled` when it was logged last.
    logged_garbled: u64,
}

/// Runs until a signal tells the relay to stop and it has left, or has waited long enough for that.
async fn run(name: &str, keepers: &ControlReplicas, config: &RelayConfig) -> io::Result<()> {
    let mut term = signal(SignalKind::terminate()).map_err(add_context("signals"))?;
    let mut signals = OperatorSignals::install()?;
    let named = add_context(format!("relay {name} on {}", config.listen));
    let member_socket = UdpSocket::bind(config.listen).await.map_err(named)?;
    let replica_socket = UdpSocket::bind(keepers.local_address())
        .await
        .map_err(add_context("the socket to the control replicas"))?;
    // Guards against the loss of the first messages: a socket sends nothing before it is known to be writable.
    for socket in [&member_socket, &replica_socket] {
        socket.writable().await?;
    }
    log!("relay {name} hears members at {}", member_socket.local_addr()?);
    let clock = MonotonicClock::start();
    let key = (node_id(name), random_id(name));
    let replicas = keepers.replicas.iter().map(|(name, _)| node_id(name)).collect();
    let mut relay = Relay::new(clock.now(), name, key, replicas, config.max_lease);
    for version in load_versions(&config.folder) {
        // A document that the disk corrupted is not handed out: members would refuse that version.
        match check_version(&version, MAX_DOCUMENT_BYTES, None) {
            Ok(_) => relay.restore(version),
            Err(error) => log!("policy {} was kept and is not handed out: {error}", version.number),
        }
    }
    let mut task = Task {
        name: name.to_string(),
        id: key.0,
        member_socket,
        replica_socket,
        replicas: KnownReplicas::new(&format!("relay {name}"), keepers.addresses()),
        clock,
        relay,
        disk: VersionDisk::start(&config.folder)?,
        rejected_writes: VecDeque::new(),
        counters: Counters::default(),
        logged_garbled: 0,
    };
    let mut stop_at = None;
    let mut buffer = vec![0; message::MAX_DATAGRAM_BYTES + 1];
    loop {
        let now = clock.now();
        if now >= task.relay.next_deadline() {
            let output = task.relay.tick(now);
            task.process_output(output);
        }
        if let Some(written) = task.rejected_writes.pop_front() {
            task.record_written(written);
        }
        task.log_changes();
        if task.relay.has_left() || stop_at.is_some_and(|stop_at| now >= stop_at) {
            break;
        }
        let latest = if task.rejected_writes.is_empty() { now + MAX_SLEEP } else { now };
        let deadline = task.relay.next_deadline().min(stop_at.unwrap_or(Time::MAX)).min(latest);
        tokio::select! {
            () = sleep_until(clock.instant(deadline)) => {}
            ready = task.replica_socket.readable() => ready?,
            ready = task.member_socket.readable() => ready?,
            Some(written) = task.disk.next() => task.record_written(written),
            signal = signals.next() => match signal {
                OperatorSignal::Reload => log!("the operator's file is read with a start only: nothing of it has changed"),
                OperatorSignal::Report => log!("{}", task.counter_line()),
            },
            _ = term.recv(), if stop_at.is_none() => {
                log!("relay {name} leaves");
                // Members hold leases of this relay for at most `max_lease`.
                stop_at = Some(clock.now() + config.max_lease + LEAVE_TIMEOUT.as_millis() as Time * 10);
                let output = task.relay.leave(clock.now());
                task.process_output(output);
            }
        }
        task.receive_from_replicas(&mut buffer);
        task.receive_from_members(&mut buffer);
    }
    let outcome = if task.relay.has_left() { "has left" } else { "goes without the keepers' word" };
    log!("relay {name} {outcome}: {}", task.counter_line());
    Ok(())
}

/// The next datagram; `None` where none waits. An error reports that an earlier datagram reached nobody.
fn receive(socket: &UdpSocket, buffer: &mut [u8]) -> Option<io::Result<(usize, SocketAddr)>> {
    match socket.try_recv_from(buffer) {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => None,
        received => Some(received),
    }
}

impl Task {
    fn receive_from_replicas(&mut self, buffer: &mut [u8]) {
        for _ in 0..MAX_DATAGRAMS_IN_A_ROW {
            let Some(received) = receive(&self.replica_socket, buffer) else { return };
            let Ok((size, sender)) = received else { continue };
            match message::decode::<ControlMessage>(&buffer[..size]) {
                Ok(ControlMessage::RolloutResponse { from, .. }) if !self.replicas.accepts(from, sender) => {
                    add(&self.counters.strangers);
                }
                Ok(ControlMessage::RolloutResponse { from, response }) => {
                    add(&self.counters.heard);
                    let output = self.relay.handle_response(self.clock.now(), from, response);
                    self.process_output(output);
                }
                Ok(ControlMessage::ReplicaAddress { replica, address })
                    if self.replicas.learn(sender, replica, address) =>
                {
                    self.relay.add_replica(replica);
                }
                Ok(ControlMessage::ReplicaAddress { .. }) => {}
                _ => add(&self.counters.garbled),
            }
        }
    }

    fn receive_from_members(&mut self, buffer: &mut [u8]) {
        for _ in 0..MAX_DATAGRAMS_IN_A_ROW {
            let Some(received) = receive(&self.member_socket, buffer) else { return };
            let Ok((size, sender)) = received else { continue };
            match message::decode::<ControlMessage>(&buffer[..size]) {
                Ok(ControlMessage::RolloutRequest(ask)) if ask.is_within_bounds() => {
                    add(&self.counters.asks);
                    let output = self.relay.handle_request(self.clock.now(), sender, ask);
                    self.process_output(output);
                }
                _ => add(&self.counters.garbled),
            }
        }
    }

    /// Sends the messages of a step, and hands documents to the disk.
    fn process_output(&mut self, output: RelayOutput<SocketAddr>) {
        for (to, request) in output.upstream {
            self.send_to_replica(to, request);
        }
        for (to, response) in output.downstream {
            self.send_to_member(to, response);
        }
        for version in output.persist {
            let number = version.number;
            if !self.disk.write_version(version, None) {
                self.rejected_writes
                    .push_back(Written { number, result: Err("the disk's write queue is full".into()) });
            }
        }
    }

    fn send_to_replica(&mut self, to: NodeId, request: Request) {
        if let Some(to) = self.replicas.next_address(to) {
            add(&self.counters.up);
            self.send(&self.replica_socket, to, &ControlMessage::RolloutRequest(request));
        }
    }

    fn send_to_member(&self, to: SocketAddr, response: Response) {
        add(&self.counters.told);
        if matches!(response, Response::Document { version: Some(_), .. }) {
            add(&self.counters.texts);
        }
        self.send(&self.member_socket, to, &ControlMessage::RolloutResponse { from: self.id, response });
    }

    fn send(&self, socket: &UdpSocket, to: SocketAddr, datagram: &ControlMessage) {
        if !leases::send(socket, to, datagram) {
            add(&self.counters.unsent);
        }
    }

    fn record_written(&mut self, Written { number, result }: Written) {
        add(if result.is_ok() { &self.counters.kept } else { &self.counters.unkept });
        let output = self.relay.record_persisted(self.clock.now(), number, result);
        self.process_output(output);
    }

    /// Logs the relay's lines (changes of the active version and of the lease, refusals), and `garbled` at each power of two.
    fn log_changes(&mut self) {
        self.relay.drain_log().for_each(|line| log!("{line}"));
        let garbled = self.counters.garbled.get();
        if garbled.is_power_of_two() && garbled != self.logged_garbled {
            self.logged_garbled = garbled;
            log!("relay {}: {garbled} datagrams that are no words of a change of policy", self.name);
        }
    }

    fn counter_line(&self) -> String {
        let active = self.relay.active().map_or("none".into(), |number| number.to_string());
        format!("{}, members {}, in_force {active}", self.counters.summary(), self.relay.member_count())
    }
}
