//! Leases on partitions of tasks, each with one owner at a time: the control replicas, and the instances that own partitions. The
//! decisions are made in the crates `consensus` and `leases`; this module has their sockets, disks and time. No request ever waits
//! for anything here.

pub mod control_replica;
pub mod counter_demo;
pub mod folder_reader;
pub mod folder_slots;
pub mod known_replicas;
pub mod lease_holder;
pub mod owners_command;
pub mod reconcile;
pub mod replicated_state;
pub mod task_worker;
pub mod usage_report;
pub mod wire;

use crate::log;
use crate::operator::{self, OperatorConfig};
use crate::sockets::add_context;
use cypresscleat_consensus::message;
use cypresscleat_leases::{node_id, NodeId, Time};
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::task::LocalSet;

/// The control replicas that the operator's file names.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlReplicas {
    /// Length of a lease.
    pub lease: Time,
    /// Name and address of each replica.
    pub replicas: Vec<(String, SocketAddr)>,
    /// Folder of this instance's own replica; `None` where this instance is not a control replica.
    pub folder: Option<PathBuf>,
}

impl ControlReplicas {
    /// The replicas' addresses by their ids.
    pub fn addresses(&self) -> HashMap<NodeId, SocketAddr> {
        addresses_by_id(&self.replicas)
    }
    /// The address to bind a socket to that reaches the replicas.
    pub fn local_address(&self) -> SocketAddr {
        local_address(&self.replicas)
    }
}

/// The addresses of named peers by their ids.
pub fn addresses_by_id(peers: &[(String, SocketAddr)]) -> HashMap<NodeId, SocketAddr> {
    peers.iter().map(|(name, address)| (node_id(name), *address)).collect()
}

/// The address to bind a socket to that reaches the peers: of loopback where the first peer is on loopback.
pub fn local_address(peers: &[(String, SocketAddr)]) -> SocketAddr {
    match peers.first() {
        Some((_, address)) if address.ip().is_loopback() => SocketAddr::from(([127, 0, 0, 1], 0)),
        _ => SocketAddr::from(([0, 0, 0, 0], 0)),
    }
}

/// The subcommands of the program that use the control replicas.
#[derive(Clone, Debug, PartialEq)]
pub enum Subcommand {
    ControlReplica,
    CounterDemo,
    Reconcile,
    UsageReport,
    Owners(owners_command::OwnersCommand),
}

/// Runs a subcommand, from reading the operator's file to the end of the process.
pub fn run_subcommand(path: &Path, name: &str, subcommand: &Subcommand) -> ExitCode {
    let checked = operator::read(path, None).map_err(|wrong| wrong.rendered);
    let checked = checked.and_then(|(operator, _)| {
        match (&operator.control_replicas, &operator.counter_demo, subcommand) {
            (None, ..) => Err(format!("{}: no keepers\n", path.display())),
            (_, None, Subcommand::CounterDemo) => Err(format!("{}: no tally\n", path.display())),
            (_, _, Subcommand::Reconcile) if operator.reconcile.is_none() => {
                Err(format!("{}: no settle\n", path.display()))
            }
            (_, _, Subcommand::UsageReport) if operator.usage_report.is_none() => {
                Err(format!("{}: no sums\n", path.display()))
            }
            _ if name.is_empty() && !matches!(subcommand, Subcommand::Owners(_)) => {
                Err("no name: --name or EDGE_NAME\n".into())
            }
            _ => Ok(operator),
        }
    });
    let operator = match checked {
        Ok(operator) => operator,
        Err(error) => {
            let _ = io::stderr().write_all(error.as_bytes());
            return ExitCode::from(2);
        }
    };
    let (Some(control), demo) = (&operator.control_replicas, &operator.counter_demo) else {
        return ExitCode::from(2);
    };
    let result = match (subcommand, demo) {
        (Subcommand::Owners(command), _) => owners_command::run(control, command, &known_names(&operator))
            .map(|(code, text)| {
                let _ = io::stdout().write_all(text.as_bytes());
                ExitCode::from(code)
            }),
        (Subcommand::CounterDemo, Some(config)) => block_on(counter_demo::run(name, control, config)),
        (Subcommand::Reconcile, _) => match &operator.reconcile {
            Some(config) => block_on(reconcile::run(name, control, config)),
            None => Ok(ExitCode::from(2)),
        },
        (Subcommand::UsageReport, _) => match &operator.usage_report {
            Some(config) => block_on(usage_report::run(name, control, config)),
            None => Ok(ExitCode::from(2)),
        },
        _ => block_on(control_replica::run(name, control, Some(path))),
    };
    result.unwrap_or_else(|error| {
        log!("{error}");
        ExitCode::FAILURE
    })
}

pub(crate) fn block_on(work: impl std::future::Future<Output = io::Result<()>>) -> io::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(add_context("event loop"))?;
    LocalSet::new().block_on(&runtime, work)?;
    Ok(ExitCode::SUCCESS)
}

/// Runs a control replica beside another role of the same process, on its own thread and sockets, so that a slow disk does not
/// block that role.
pub fn spawn_control_replica(name: &str, control: &ControlReplicas) -> io::Result<()> {
    let (name, control) = (name.to_string(), control.clone());
    let thread = std::thread::Builder::new().name("keeper".into());
    thread.spawn(move || {
        if let Err(error) = block_on(control_replica::run(&name, &control, None)) {
            // A replica whose disk failed must not go on. The process runs on without it, and the other replicas miss its heartbeats.
            log!("keeper {name} ended: {error}");
        }
    })?;
    Ok(())
}

/// Names that the output of `owners` may contain.
fn known_names(operator: &OperatorConfig) -> Vec<String> {
    let mut names = vec![
        PLANNERS_TASK.to_string(),
        reconcile::TASK_NAME.to_string(),
        usage_report::TASK_NAME.to_string(),
    ];
    names.extend(
        [reconcile::TASK_NAME, usage_report::TASK_NAME].into_iter().flat_map(folder_slots::table_tasks),
    );
    names.extend(operator.counter_demo.iter().map(|tally| tally.task.clone()));
    let tier = operator.tier.iter();
    names.extend(tier.flat_map(|tier| tier.planners.iter().map(|planner| planner.name.clone())));
    names.extend(
        operator
            .control_replicas
            .iter()
            .flat_map(|control| control.replicas.iter().map(|replica| replica.0.clone())),
    );
    names
}

/// Name of the task whose one partition is owned by the planners' leader.
pub const PLANNERS_TASK: &str = "planners";

/// Time for control replicas and owners, in tenths of a millisecond: a monotonic clock, which no step of the Unix clock moves.
///
/// `CLEAT_TEST_CLOCK=RATE,AHEAD`, for tests only, makes the clock run RATE thousandths fast, and AHEAD milliseconds ahead.
#[derive(Clone, Copy)]
pub struct MonotonicClock {
    start: Instant,
    drift_permille: i64,
    offset: Time,
}

impl MonotonicClock {
    pub fn start() -> MonotonicClock {
        let text = std::env::var("CLEAT_TEST_CLOCK").unwrap_or_default();
        let (drift, offset) = text.split_once(',').unwrap_or(("0", "0"));
        let drift_permille = drift.parse::<i64>().unwrap_or(0).clamp(-900, 9000);
        MonotonicClock {
            start: Instant::now(),
            drift_permille,
            offset: offset.parse::<Time>().unwrap_or(0) * 10,
        }
    }
    /// Tenths of a millisecond since the start.
    pub fn now(&self) -> Time {
        let elapsed = (self.start.elapsed().as_micros() / 100) as Time;
        elapsed + elapsed * self.drift_permille / 1000 + self.offset
    }
    /// The instant at which this clock shows `at`.
    pub fn instant(&self, at: Time) -> tokio::time::Instant {
        let elapsed = (at - self.offset).clamp(0, 86_400_000_000) * 1000 / (1000 + self.drift_permille);
        (self.start + Duration::from_micros(elapsed as u64 * 100)).into()
    }
}

/// Sends a datagram without waiting. Returns false where the message is too long or the socket's buffer is full; the protocols
/// tolerate lost datagrams.
pub fn send(socket: &UdpSocket, to: SocketAddr, datagram: &wire::ControlMessage) -> bool {
    message::encode(datagram).is_some_and(|bytes| socket.try_send_to(&bytes, to).is_ok())
}

/// Draws an id that differs for each start of the program; never 0.
pub fn random_id(name: &str) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    let address = &hasher as *const DefaultHasher as usize;
    (name, crate::clock::unix_time(), std::process::id(), address, Instant::now()).hash(&mut hasher);
    hasher.finish().max(1)
}
