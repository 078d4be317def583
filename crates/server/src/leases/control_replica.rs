//! A keeper: its datagrams, its disk, its time. What it promises is on its disk before a word of it leaves; a disk that fails ends it.

use super::known_replicas::KnownReplicas;
use super::replicated_state::ReplicatedState;
use super::wire::ControlMessage;
use super::{random_id, ControlReplicas, MonotonicClock};
use crate::journal::{monotonic, Journal};
use crate::sockets::tried;
use crate::{log, operator};
use cypresscleat_consensus::storage::PersistentState;
use cypresscleat_consensus::{message, storage, RaftConfig, Ready, Replica, ReplicaConfig};
use cypresscleat_leases::manager::LeaseManager;
use cypresscleat_leases::messages::Response;
use cypresscleat_leases::{node_id, NodeId};
use cypresscleat_rollout::state::RolloutEvent;
use cypresscleat_rollout::{coordinator as policy, messages as policies};
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

/// Datagrams that are read before what they ask for is written, in one.
const BATCH: usize = 64;

fn other(error: impl ToString) -> io::Error {
    io::Error::other(error.to_string())
}

/// What marks this very folder: a copy of it, made or put back, has other numbers.
fn marks(folder: &Path) -> io::Result<String> {
    let mut marks = String::new();
    for name in ["identity", "log"] {
        let data = std::fs::metadata(folder.join(name))?;
        let born = data.created().ok().and_then(|born| born.duration_since(UNIX_EPOCH).ok());
        marks += &format!("{name} {} {}\n", data.ino(), born.map_or(0, |born| born.as_nanos()));
    }
    Ok(marks)
}

/// The disk's own number, and the store in the folder. A folder that was copied, or has no number, counts as empty; what stood
/// in it is set aside, as `aside`.
fn open(name: &str, folder: &Path) -> io::Result<(u64, Store<DiskDirectory>)> {
    let (identity, log, marked) = (folder.join("identity"), folder.join("log"), folder.join("marks"));
    std::fs::create_dir_all(folder)?;
    let known =
        std::fs::read_to_string(&identity).ok().and_then(|text| u64::from_str_radix(text.trim(), 16).ok());
    let same = known.is_some() && log.is_dir() && std::fs::read_to_string(&marked).ok() == marks(folder).ok();
    if !same {
        if log.is_dir() {
            log!(
                "keeper {name}: the disk in {} is a copy or was put back; it counts as empty",
                folder.display()
            );
            aside(folder)?;
        }
        let _ = std::fs::remove_file(&identity);
        std::fs::create_dir_all(&log)?;
        std::fs::write(&identity, format!("{:016x}\n", random_id(name)))?;
        std::fs::write(&marked, marks(folder)?)?;
        for file in [&identity, &marked] {
            std::fs::File::open(file)?.sync_all()?;
        }
        std::fs::File::open(folder)?.sync_all()?;
    }
    let text = std::fs::read_to_string(&identity)?;
    let disk = u64::from_str_radix(text.trim(), 16).map_err(|_| other("no number in identity"))?;
    let mut files = DiskDirectory::open(&log).map_err(other)?;
    if let Some(many) = std::env::var("CLEAT_TEST_SYNCS").ok().and_then(|many| many.parse().ok()) {
        files.fail_syncs_after(many);
    }
    let store = Store::open(files, Default::default()).map_err(other)?;
    Ok((disk, store))
}

fn aside(folder: &Path) -> io::Result<()> {
    let aside = folder.join("aside");
    let _ = std::fs::remove_dir_all(&aside);
    std::fs::rename(folder.join("log"), aside)
}

struct Kept0 {
    store: Store<DiskDirectory>,
    folder: PathBuf,
}

impl Kept0 {
    /// A sync that failed is final for this disk: what can be read of it afterwards may never have reached it, and the next sync
    /// would not say so. Without its marks it counts as empty from the next start on.
    fn write(&mut self, writes: Vec<storage::Write>) -> io::Result<()> {
        if writes.is_empty() {
            return Ok(());
        }
        for (key, value) in writes {
            match value {
                Some(value) => self.store.put(&key, &value).map_err(other)?,
                None => self.store.remove(&key).map_err(other)?,
            };
        }
        self.store.commit(true).map(drop).map_err(|error| {
            if matches!(&error, Error::Disk { operation: DiskOperation::Sync, .. }) {
                let _ = std::fs::remove_file(self.folder.join("marks"));
            }
            other(error)
        })
    }
}

/// What the two desks say, and to whom.
type Said = (Vec<(SocketAddr, Response)>, Vec<(SocketAddr, policies::Response)>);

/// Decisions, in tests: each keeper tells of each, the first of them counts.
fn journals(journal: &Journal, event: &RolloutEvent) {
    let (name, number) = match event {
        RolloutEvent::Proposed { number, .. } => ("proposed", number),
        RolloutEvent::Committed { number } => ("taken", number),
        RolloutEvent::Aborted { number, .. } => ("dropped", number),
        _ => return,
    };
    journal.line(monotonic(), &format!("\"event\":\"{name}\",\"version\":{number}"));
}

struct Desked {
    socket: UdpSocket,
    replicas: KnownReplicas,
    own: NodeId,
    keeper: Replica<ReplicatedState>,
    manager: LeaseManager<SocketAddr>,
    /// Of changes of policy.
    policy: policy::RolloutCoordinator<SocketAddr>,
    journal: Option<Journal>,
    disk: Kept0,
}

impl Desked {
    /// Writes, and then says, what a step asked for, and what its answers bring with them.
    fn carry(&mut self, now: i64, mut out: Ready, mut said: Said) -> io::Result<()> {
        loop {
            self.disk.write(std::mem::take(&mut out.writes))?;
            out.events.drain(..).for_each(|line| log!("{line}"));
            for (to, letter) in out.messages.drain(..) {
                if let Some(to) = self.replicas.address(to) {
                    super::send(&self.socket, to, &ControlMessage::Consensus(letter));
                }
            }
            let from = self.own;
            let elsewhere = said.0.iter().filter_map(|(to, answer)| match answer {
                Response::NotLeader { leader } => Some((*to, *leader)),
                _ => None,
            });
            let also = said.1.iter().filter_map(|(to, answer)| match answer {
                policies::Response::NotLeader { leader } => Some((*to, *leader)),
                _ => None,
            });
            for (to, replica) in elsewhere.chain(also) {
                if let Some(address) = self.replicas.address(replica) {
                    super::send(&self.socket, to, &ControlMessage::ReplicaAddress { replica, address });
                }
            }
            for (to, response) in said.0.drain(..) {
                super::send(&self.socket, to, &ControlMessage::LeaseResponse { from, response });
            }
            for (to, response) in said.1.drain(..) {
                super::send(&self.socket, to, &ControlMessage::RolloutResponse { from, response });
            }
            let answers = std::mem::take(&mut out.responses);
            let (policies, policy_said) = self.policy.poll(now, &mut self.keeper, answers.clone());
            let (duties, duty_said) = self.manager.poll(now, &mut self.keeper, answers);
            (out, said) = (policies.merge(duties), (duty_said, policy_said));
            self.policy.events().for_each(|event| log!("{event}"));
            let leads = self.keeper.is_leader();
            for event in self.keeper.state_machine_mut().policies.take_events() {
                if let Some(journal) = &self.journal {
                    journals(journal, &event);
                }
                if leads {
                    log!("{event}");
                }
            }
            for change in self.keeper.state_machine_mut().leases.take_owner_changes() {
                let owner = self.keeper.state_machine().leases.instance(change.session);
                if leads {
                    log!("{}", change.log_line(owner));
                }
            }
            if out == Ready::default() && said.0.is_empty() && said.1.is_empty() {
                return Ok(());
            }
        }
    }
}

/// Keeps until it is told to stop, or its disk fails.
///
/// With `path`, SIGHUP reads the operator's file again: keepers that it names from then on come and go, one at a time, each change
/// decided by the others.
pub async fn run(name: &str, set: &ControlReplicas, path: Option<&Path>) -> io::Result<()> {
    let mut term = signal(SignalKind::terminate()).map_err(tried("signals"))?;
    let mut hup = signal(SignalKind::hangup()).map_err(tried("signals"))?;
    let mut set = set.clone();
    let folder = set.folder.clone().ok_or_else(|| other("keepers.folder says where this keeper keeps"))?;
    let own = node_id(name);
    let listen =
        set.addresses().get(&own).copied().ok_or_else(|| other(format!("no {name:?} in keepers.all")))?;
    let named = tried(format!("keeper {name} on {listen}"));
    let socket = UdpSocket::bind(listen).await.map_err(named)?;
    log!("keeper {name} hears at {}", socket.local_addr()?);
    loop {
        let forgot = tokio::select! {
            ended = lives(name, &mut set, &folder, &socket, (&mut hup, path)) => ended?,
            _ = term.recv() => {
                log!("keeper {name} stopped");
                return Ok(());
            }
        };
        log!("keeper {name}: {forgot}");
        aside(&folder)?;
    }
}

/// The keepers as the file has them now, where it is good and names others.
fn follows(name: &str, set: &ControlReplicas, path: &Path) -> Option<ControlReplicas> {
    let read = operator::read(path, None).map_err(|wrong| wrong.lines);
    let new = match read {
        Ok((operator, _)) => operator.control_replicas?,
        Err(lines) => {
            lines.iter().for_each(|line| log!("not taken over: {line}"));
            return None;
        }
    };
    if (new.lease, &new.folder) != (set.lease, &set.folder) {
        log!("keepers.lease and keepers.folder change with a start only");
    }
    if new.replicas == set.replicas {
        return None;
    }
    let names: Vec<&str> = new.replicas.iter().map(|one| one.0.as_str()).collect();
    log!("keeper {name}: the keepers are {} from now on, one change at a time", names.join(", "));
    Some(ControlReplicas { replicas: new.replicas, ..set.clone() })
}

/// One life on one disk; comes back where the disk has forgotten what it said.
async fn lives(
    name: &str,
    set: &mut ControlReplicas,
    folder: &Path,
    socket: &UdpSocket,
    (hup, path): (&mut Signal, Option<&Path>),
) -> io::Result<String> {
    let clock = MonotonicClock::start();
    let to = set.addresses();
    let (disk, mut store) = open(name, folder)?;
    let kept: PersistentState = storage::load(&mut store).map_err(other)?;
    let (entries, formed) = (kept.entries.len(), kept.snapshot.is_some());
    log!(
        "keeper {name}: disk {disk:016x}, {}",
        if formed { format!("{entries} entries") } else { "empty".into() }
    );
    let named = to.keys().copied().collect();
    let begin = ReplicaConfig {
        id: node_id(name),
        configured_replicas: named,
        disk,
        raft: RaftConfig::default(),
        seed: random_id(name),
    };
    let (keeper, out) =
        Replica::start(clock.now(), begin, kept, ReplicatedState::default()).map_err(other)?;
    // A second handle of the same socket, so that the next life has it too.
    let shared = UdpSocket::from_std({
        use std::os::fd::AsFd;
        std::net::UdpSocket::from(socket.as_fd().try_clone_to_owned()?)
    })?;
    let disk = Kept0 { store, folder: folder.to_path_buf() };
    let mut all = Desked {
        socket: shared,
        replicas: KnownReplicas::new(&format!("keeper {name}"), to),
        own: node_id(name),
        keeper,
        manager: LeaseManager::new(set.lease),
        policy: policy::RolloutCoordinator::default(),
        journal: Journal::open(),
        disk,
    };
    all.carry(clock.now(), out, Said::default())?;
    let mut bytes = vec![0; message::MAX_DATAGRAM_BYTES + 1];
    let (mut garbled, mut told) = (0u64, 0u64);
    loop {
        tokio::select! {
            () = sleep_until(clock.instant(all.keeper.next_deadline().min(all.policy.next_deadline()))) => {}
            ready = all.socket.readable() => ready?,
            _ = hup.recv() => {
                if let Some(new) = path.and_then(|path| follows(name, set, path)) {
                    *set = new;
                    let addresses = set.addresses();
                    all.keeper.set_configured_replicas(addresses.keys().copied().collect());
                    all.replicas.configure(addresses);
                }
            }
        }
        let now = clock.now();
        let (mut out, mut said) = (Ready::default(), Said::default());
        for _ in 0..BATCH {
            let (size, from) = match all.socket.try_recv_from(&mut bytes) {
                Ok(got) => got,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => continue, // word of an earlier datagram that found nobody
            };
            match message::decode::<ControlMessage>(&bytes[..size]) {
                Ok(ControlMessage::Consensus(letter)) => {
                    if all.replicas.accepts(letter.from.id, from) {
                        out = out.merge(all.keeper.step(now, &letter));
                    }
                }
                Ok(ControlMessage::RolloutRequest(ask)) => {
                    let (more, answers) = all.policy.handle(now, &mut all.keeper, from, ask);
                    out = out.merge(more);
                    said.1.extend(answers);
                }
                Ok(ControlMessage::LeaseRequest(ask)) => {
                    let (more, answers) = all.manager.handle(now, &mut all.keeper, from, ask);
                    out = out.merge(more);
                    said.0.extend(answers);
                }
                Ok(
                    ControlMessage::LeaseResponse { .. }
                    | ControlMessage::RolloutResponse { .. }
                    | ControlMessage::ReplicaAddress { .. },
                ) => {}
                Err(_) => garbled += 1,
            }
        }
        if garbled.is_power_of_two() && garbled != told {
            told = garbled;
            log!("keeper {name}: {garbled} datagrams that are no letters");
        }
        out = out.merge(all.keeper.tick(now));
        all.carry(now, out, said)?;
        if all.keeper.is_disk_stale() {
            return Ok(format!(
                "its disk {disk:016x} has forgotten what it said; it counts as empty",
                disk = all.keeper.member().disk
            ));
        }
        if let Err(error) = all.disk.store.compact_step() {
            return Err(other(error));
        }
    }
}
