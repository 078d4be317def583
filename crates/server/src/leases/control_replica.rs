//! The control replica: its datagrams, its disk and its clock. Writes are on the disk before any message that relies on them is sent; a
//! disk that fails ends the replica.

use super::known_replicas::KnownReplicas;
use super::replicated_state::ReplicatedState;
use super::wire::ControlMessage;
use super::{random_id, ControlReplicas, MonotonicClock};
use crate::journal::{monotonic_ns, Journal};
use crate::sockets::add_context;
use crate::{log, operator};
use cypresscleat_consensus::storage::PersistentState;
use cypresscleat_consensus::{message, storage, RaftConfig, Ready, Replica, ReplicaConfig};
use cypresscleat_leases::manager::LeaseManager;
use cypresscleat_leases::messages::Response;
use cypresscleat_leases::{node_id, NodeId};
use cypresscleat_rollout::state::RolloutEvent;
use cypresscleat_rollout::{coordinator as rollout, messages as policies};
use cypresscleat_store::disk::DiskDirectory;
use cypresscleat_store::{DiskOperation, Error, Store};
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::UNIX_EPOCH;
use tokio::net::UdpSocket;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::sleep_until;

/// Maximum number of datagrams that are read before their writes are synced together.
const MAX_BATCH: usize = 64;

fn to_io_error(error: impl ToString) -> io::Error {
    io::Error::other(error.to_string())
}

/// Inode and creation time of the files of this folder. A copy of the folder, or a restored one, has others.
fn read_marks(folder: &Path) -> io::Result<String> {
    let mut marks = String::new();
    for name in ["identity", "log"] {
        let metadata = std::fs::metadata(folder.join(name))?;
        let created = metadata.created().ok().and_then(|created| created.duration_since(UNIX_EPOCH).ok());
        marks += &format!("{name} {} {}\n", metadata.ino(), created.map_or(0, |created| created.as_nanos()));
    }
    Ok(marks)
}

/// Opens the folder; returns the disk's id and its store. A folder that was copied, or has no id, counts as empty, and its log is
/// moved to `aside`.
fn open_disk(name: &str, folder: &Path) -> io::Result<(u64, Store<DiskDirectory>)> {
    let (identity, log, marks) = (folder.join("identity"), folder.join("log"), folder.join("marks"));
    std::fs::create_dir_all(folder)?;
    let known_id =
        std::fs::read_to_string(&identity).ok().and_then(|text| u64::from_str_radix(text.trim(), 16).ok());
    let is_same_disk =
        known_id.is_some() && log.is_dir() && std::fs::read_to_string(&marks).ok() == read_marks(folder).ok();
    if !is_same_disk {
        if log.is_dir() {
            log!(
                "keeper {name}: the disk in {} is a copy or was put back; it counts as empty",
                folder.display()
            );
            move_log_aside(folder)?;
        }
        let _ = std::fs::remove_file(&identity);
        std::fs::create_dir_all(&log)?;
        std::fs::write(&identity, format!("{:016x}\n", random_id(name)))?;
        std::fs::write(&marks, read_marks(folder)?)?;
        for file in [&identity, &marks] {
            std::fs::File::open(file)?.sync_all()?;
        }
        std::fs::File::open(folder)?.sync_all()?;
    }
    let text = std::fs::read_to_string(&identity)?;
    let disk =
        u64::from_str_radix(text.trim(), 16).map_err(|_| to_io_error("the file identity has no number"))?;
    let mut files = DiskDirectory::open(&log).map_err(to_io_error)?;
    if let Some(count) = std::env::var("CLEAT_TEST_SYNCS").ok().and_then(|count| count.parse().ok()) {
        files.fail_syncs_after(count);
    }
    let store = Store::open(files, Default::default()).map_err(to_io_error)?;
    Ok((disk, store))
}

fn move_log_aside(folder: &Path) -> io::Result<()> {
    let aside = folder.join("aside");
    let _ = std::fs::remove_dir_all(&aside);
    std::fs::rename(folder.join("log"), aside)
}

/// The replica's store, and the folder that it is in.
struct ReplicaDisk {
    store: Store<DiskDirectory>,
    folder: PathBuf,
}

impl ReplicaDisk {
    /// Writes and syncs. A failed sync is final for this disk: data that is read back afterwards may never have reached it, and the next
    /// sync would not report that. The marks are removed, so that the disk counts as empty from the next start on.
    fn write(&mut self, writes: Vec<storage::Write>) -> io::Result<()> {
        if writes.is_empty() {
            return Ok(());
        }
        for (key, value) in writes {
            match value {
                Some(value) => self.store.put(&key, &value).map_err(to_io_error)?,
                None => self.store.remove(&key).map_err(to_io_error)?,
            };
        }
        self.store.commit(true).map(drop).map_err(|error| {
            if matches!(&error, Error::Disk { operation: DiskOperation::Sync, .. }) {
                let _ = std::fs::remove_file(self.folder.join("marks"));
            }
            to_io_error(error)
        })
    }
}

/// Responses of the lease manager and of the rollout coordinator, each with its client's address.
type Responses = (Vec<(SocketAddr, Response)>, Vec<(SocketAddr, policies::Response)>);

/// Writes a decision to the journal of a test. Each replica writes each decision; the first line counts.
fn write_journal(journal: &Journal, event: &RolloutEvent) {
    let (name, number) = match event {
        RolloutEvent::Proposed { number, .. } => ("proposed", number),
        RolloutEvent::Committed { number } => ("taken", number),
        RolloutEvent::Aborted { number, .. } => ("dropped", number),
        _ => return,
    };
    journal.record(monotonic_ns(), &format!("\"event\":\"{name}\",\"version\":{number}"));
}

/// A running replica with its managers.
struct RunningReplica {
    socket: UdpSocket,
    replicas: KnownReplicas,
    own_id: NodeId,
    replica: Replica<ReplicatedState>,
    manager: LeaseManager<SocketAddr>,
    /// Coordinates changes of policy.
    coordinator: rollout::RolloutCoordinator<SocketAddr>,
    journal: Option<Journal>,
    disk: ReplicaDisk,
}

impl RunningReplica {
    /// Processes the effects of a step: writes first, then messages and responses; repeats with the effects that the managers add.
    fn process_ready(&mut self, now: i64, mut ready: Ready, mut responses: Responses) -> io::Result<()> {
        loop {
            self.disk.write(std::mem::take(&mut ready.writes))?;
            ready.events.drain(..).for_each(|line| log!("{line}"));
            for (to, message) in ready.messages.drain(..) {
                if let Some(to) = self.replicas.address(to) {
                    super::send(&self.socket, to, &ControlMessage::Consensus(message));
                }
            }
            let from = self.own_id;
            let lease_redirects = responses.0.iter().filter_map(|(to, response)| match response {
                Response::NotLeader { leader } => Some((*to, *leader)),
                _ => None,
            });
            let rollout_redirects = responses.1.iter().filter_map(|(to, response)| match response {
                policies::Response::NotLeader { leader } => Some((*to, *leader)),
                _ => None,
            });
            for (to, replica) in lease_redirects.chain(rollout_redirects) {
                if let Some(address) = self.replicas.address(replica) {
                    super::send(&self.socket, to, &ControlMessage::ReplicaAddress { replica, address });
                }
            }
            for (to, response) in responses.0.drain(..) {
                super::send(&self.socket, to, &ControlMessage::LeaseResponse { from, response });
            }
            for (to, response) in responses.1.drain(..) {
                super::send(&self.socket, to, &ControlMessage::RolloutResponse { from, response });
            }
            let proposals = std::mem::take(&mut ready.responses);
            let (rollout_ready, rollout_responses) =
                self.coordinator.poll(now, &mut self.replica, proposals.clone());
            let (lease_ready, lease_responses) = self.manager.poll(now, &mut self.replica, proposals);
            (ready, responses) = (rollout_ready.merge(lease_ready), (lease_responses, rollout_responses));
            self.coordinator.events().for_each(|event| log!("{event}"));
            let is_leader = self.replica.is_leader();
            for event in self.replica.state_machine_mut().policies.take_events() {
                if let Some(journal) = &self.journal {
                    write_journal(journal, &event);
                }
                if is_leader {
                    log!("{event}");
                }
            }
            for change in self.replica.state_machine_mut().leases.take_owner_changes() {
                let owner = self.replica.state_machine().leases.instance(change.session);
                if is_leader {
                    log!("{}", change.log_line(owner));
                }
            }
            if ready == Ready::default() && responses.0.is_empty() && responses.1.is_empty() {
                return Ok(());
            }
        }
    }
}

/// Runs the replica until SIGTERM, or until its disk fails.
///
/// With `path`, SIGHUP reads the operator's file again: the replicas that it names from then on are added and removed one at a time,
/// each change committed by the members.
pub async fn run(name: &str, control: &ControlReplicas, path: Option<&Path>) -> io::Result<()> {
    let mut sigterm = signal(SignalKind::terminate()).map_err(add_context("signals"))?;
    let mut sighup = signal(SignalKind::hangup()).map_err(add_context("signals"))?;
    let mut report = signal(SignalKind::user_defined1()).map_err(add_context("signals"))?;
    let mut control = control.clone();
    let folder =
        control.folder.clone().ok_or_else(|| to_io_error("a control replica requires keepers.folder"))?;
    let own_id = node_id(name);
    let listen = control
        .addresses()
        .get(&own_id)
        .copied()
        .ok_or_else(|| to_io_error(format!("no {name:?} in keepers.all")))?;
    let with_address = add_context(format!("keeper {name} on {listen}"));
    let socket = UdpSocket::bind(listen).await.map_err(with_address)?;
    log!("keeper {name} listens on {}", socket.local_addr()?);
    let text = format!("keeper {name} runs on {listen} since");
    let started = std::time::Instant::now();
    tokio::task::spawn_local(async move {
        while report.recv().await.is_some() {
            log!("{text} {} s", started.elapsed().as_secs());
        }
    });
    loop {
        let reason = tokio::select! {
            ended = run_incarnation(name, &mut control, &folder, &socket, (&mut sighup, path)) => ended?,
            _ = sigterm.recv() => {
                log!("keeper {name} stopped");
                return Ok(());
            }
        };
        log!("keeper {name}: {reason}");
        move_log_aside(&folder)?;
    }
}

/// Reads the operator's file again. Returns the control replicas where the file is valid and names others than before.
fn reload(name: &str, control: &ControlReplicas, path: &Path) -> Option<ControlReplicas> {
    let result = operator::read(path, None).map_err(|wrong| wrong.lines);
    let new = match result {
        Ok((operator, _)) => operator.control_replicas?,
        Err(lines) => {
            lines.iter().for_each(|line| log!("not taken over: {line}"));
            return None;
        }
    };
    if (new.lease, &new.folder) != (control.lease, &control.folder) {
        log!("keepers.lease and keepers.folder change with a start only");
    }
    if new.replicas == control.replicas {
        return None;
    }
    let names: Vec<&str> = new.replicas.iter().map(|replica| replica.0.as_str()).collect();
    log!("keeper {name}: the keepers are {} from now on, one change at a time", names.join(", "));
    Some(ControlReplicas { replicas: new.replicas, ..control.clone() })
}

/// Runs one incarnation of the replica on one disk. Returns the reason where the disk turns out to be stale.
async fn run_incarnation(
    name: &str,
    control: &mut ControlReplicas,
    folder: &Path,
    socket: &UdpSocket,
    (sighup, path): (&mut Signal, Option<&Path>),
) -> io::Result<String> {
    let clock = MonotonicClock::start();
    let addresses = control.addresses();
    let (disk, mut store) = open_disk(name, folder)?;
    let state: PersistentState = storage::load(&mut store).map_err(to_io_error)?;
    let (entries, is_bootstrapped) = (state.entries.len(), state.snapshot.is_some());
    log!(
        "keeper {name}: disk {disk:016x}, {}",
        if is_bootstrapped { format!("{entries} entries") } else { "empty".into() }
    );
    let replica_ids = addresses.keys().copied().collect();
    let config = ReplicaConfig {
        id: node_id(name),
        configured_replicas: replica_ids,
        disk,
        raft: RaftConfig::default(),
        seed: random_id(name),
    };
    let (replica, ready) =
        Replica::start(clock.now(), config, state, ReplicatedState::default()).map_err(to_io_error)?;
    // A second handle of the same socket, so that the next incarnation has it too.
    let shared_socket = UdpSocket::from_std({
        use std::os::fd::AsFd;
        std::net::UdpSocket::from(socket.as_fd().try_clone_to_owned()?)
    })?;
    let disk = ReplicaDisk { store, folder: folder.to_path_buf() };
    let mut running = RunningReplica {
        socket: shared_socket,
        replicas: KnownReplicas::new(&format!("keeper {name}"), addresses),
        own_id: node_id(name),
        replica,
        manager: LeaseManager::new(control.lease),
        coordinator: rollout::RolloutCoordinator::default(),
        journal: Journal::open(),
        disk,
    };
    running.process_ready(clock.now(), ready, Responses::default())?;
    let mut bytes = vec![0; message::MAX_DATAGRAM_BYTES + 1];
    let (mut malformed, mut logged) = (0u64, 0u64);
    loop {
        tokio::select! {
            () = sleep_until(clock.instant(running.replica.next_deadline().min(running.coordinator.next_deadline()))) => {}
            readable = running.socket.readable() => readable?,
            _ = sighup.recv() => {
                if let Some(new) = path.and_then(|path| reload(name, control, path)) {
                    *control = new;
                    let addresses = control.addresses();
                    running.replica.set_configured_replicas(addresses.keys().copied().collect());
                    running.replicas.configure(addresses);
                }
            }
        }
        let now = clock.now();
        let (mut ready, mut responses) = (Ready::default(), Responses::default());
        for _ in 0..MAX_BATCH {
            let (size, from) = match running.socket.try_recv_from(&mut bytes) {
                Ok(received) => received,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => continue, // an ICMP error for a datagram sent earlier
            };
            match message::decode::<ControlMessage>(&bytes[..size]) {
                Ok(ControlMessage::Consensus(message)) => {
                    if running.replicas.accepts(message.from.id, from) {
                        ready = ready.merge(running.replica.step(now, &message));
                    }
                }
                Ok(ControlMessage::RolloutRequest(request)) => {
                    let (added, new_responses) =
                        running.coordinator.handle(now, &mut running.replica, from, request);
                    ready = ready.merge(added);
                    responses.1.extend(new_responses);
                }
                Ok(ControlMessage::LeaseRequest(request)) => {
                    let (added, new_responses) =
                        running.manager.handle(now, &mut running.replica, from, request);
                    ready = ready.merge(added);
                    responses.0.extend(new_responses);
                }
                Ok(
                    ControlMessage::LeaseResponse { .. }
                    | ControlMessage::RolloutResponse { .. }
                    | ControlMessage::ReplicaAddress { .. },
                ) => {}
                Err(_) => malformed += 1,
            }
        }
        if malformed.is_power_of_two() && malformed != logged {
            logged = malformed;
            log!("keeper {name}: {malformed} malformed datagrams");
        }
        ready = ready.merge(running.replica.tick(now));
        running.process_ready(now, ready, responses)?;
        if running.replica.is_disk_stale() {
            return Ok(format!(
                "its disk {disk:016x} is stale; it counts as empty",
                disk = running.replica.member().disk
            ));
        }
        if let Err(error) = running.disk.store.compact_step() {
            return Err(to_io_error(error));
        }
    }
}
