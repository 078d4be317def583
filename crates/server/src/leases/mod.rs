//! Duties with one owner at a time: keepers, and instances that own. What is decided stands in the crates `quorum` and `owners`;
//! here are sockets, disks and time. No invocation ever waits for anything here.

pub mod control_replica;
pub mod counter_demo;
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
use crate::sockets::tried;
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

/// The keepers as the operator's file has them.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlReplicas {
    pub lease: Time,
    pub replicas: Vec<(String, SocketAddr)>,
    /// Where this instance keeps, if it is one of them.
    pub folder: Option<PathBuf>,
}

impl ControlReplicas {
    pub fn addresses(&self) -> HashMap<NodeId, SocketAddr> {
        addresses_by_id(&self.replicas)
    }
    /// An address from which the keepers can be asked.
    pub fn local_address(&self) -> SocketAddr {
        local_address(&self.replicas)
    }
}

pub fn addresses_by_id(peers: &[(String, SocketAddr)]) -> HashMap<NodeId, SocketAddr> {
    peers.iter().map(|(name, address)| (node_id(name), *address)).collect()
}

/// An address from which these can be asked: of loopback where they are there.
pub fn local_address(peers: &[(String, SocketAddr)]) -> SocketAddr {
    match peers.first() {
        Some((_, address)) if address.ip().is_loopback() => SocketAddr::from(([127, 0, 0, 1], 0)),
        _ => SocketAddr::from(([0, 0, 0, 0], 0)),
    }
}

/// What an instance is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Subcommand {
    ControlReplica,
    CounterDemo,
    Reconcile,
    UsageReport,
    Owners(owners_command::OwnersCommand),
}

/// One job, from the reading of the operator's file to its end.
pub fn run_subcommand(path: &Path, name: &str, subcommand: &Subcommand) -> ExitCode {
    let read = operator::read(path, None).map_err(|wrong| wrong.rendered);
    let read = read.and_then(|(operator, _)| {
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
    let operator = match read {
        Ok(operator) => operator,
        Err(what) => {
            let _ = io::stderr().write_all(what.as_bytes());
            return ExitCode::from(2);
        }
    };
    let (Some(keepers), tally) = (&operator.control_replicas, &operator.counter_demo) else {
        return ExitCode::from(2);
    };
    let done = match (subcommand, tally) {
        (Subcommand::Owners(what), _) => {
            owners_command::run(keepers, what, &known(&operator)).map(|(code, text)| {
                let _ = io::stdout().write_all(text.as_bytes());
                ExitCode::from(code)
            })
        }
        (Subcommand::CounterDemo, Some(tally)) => block_on(counter_demo::run(name, keepers, tally)),
        (Subcommand::Reconcile, _) => match &operator.reconcile {
            Some(settle) => block_on(reconcile::run(name, keepers, settle)),
            None => Ok(ExitCode::from(2)),
        },
        (Subcommand::UsageReport, _) => match &operator.usage_report {
            Some(sums) => block_on(usage_report::run(name, keepers, sums)),
            None => Ok(ExitCode::from(2)),
        },
        _ => block_on(control_replica::run(name, keepers, Some(path))),
    };
    done.unwrap_or_else(|error| {
        log!("{error}");
        ExitCode::FAILURE
    })
}

pub(crate) fn block_on(work: impl std::future::Future<Output = io::Result<()>>) -> io::Result<ExitCode> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(tried("event loop"))?;
    LocalSet::new().block_on(&runtime, work)?;
    Ok(ExitCode::SUCCESS)
}

/// A keeper beside something else in the same process, on a thread and with sockets of its own: its disk may take its time.
pub fn spawn_control_replica(name: &str, keepers: &ControlReplicas) -> io::Result<()> {
    let (name, keepers) = (name.to_string(), keepers.clone());
    let thread = std::thread::Builder::new().name("keeper".into());
    thread.spawn(move || {
        if let Err(error) = block_on(control_replica::run(&name, &keepers, None)) {
            // What it promised can't be kept any more: the process goes on without it, and the others see that it is silent.
            log!("keeper {name} ended: {error}");
        }
    })?;
    Ok(())
}

/// Names that an operator's list may speak of.
fn known(operator: &OperatorConfig) -> Vec<String> {
    let mut names = vec![
        PLANNERS_TASK.to_string(),
        reconcile::TASK_NAME.to_string(),
        usage_report::TASK_NAME.to_string(),
    ];
    names.extend(operator.counter_demo.iter().map(|tally| tally.task.clone()));
    let tier = operator.tier.iter();
    names.extend(tier.flat_map(|tier| tier.planners.iter().map(|planner| planner.name.clone())));
    names.extend(
        operator.control_replicas.iter().flat_map(|keepers| keepers.replicas.iter().map(|one| one.0.clone())),
    );
    names
}

/// The duty of whoever leads the planners.
pub const PLANNERS_TASK: &str = "planners";

/// Time for keepers and owners, in tenths of a millisecond: the steady clock, which no step of the Unix clock moves.
///
/// `CLEAT_TEST_CLOCK=RATE,AHEAD`, for tests only, makes it run so many parts in a thousand fast, and so many milliseconds ahead.
#[derive(Clone, Copy)]
pub struct MonotonicClock {
    start: Instant,
    rate: i64,
    ahead: Time,
}

impl MonotonicClock {
    pub fn start() -> MonotonicClock {
        let text = std::env::var("CLEAT_TEST_CLOCK").unwrap_or_default();
        let (rate, ahead) = text.split_once(',').unwrap_or(("0", "0"));
        let rate = rate.parse::<i64>().unwrap_or(0).clamp(-900, 9000);
        MonotonicClock { start: Instant::now(), rate, ahead: ahead.parse::<Time>().unwrap_or(0) * 10 }
    }
    pub fn now(&self) -> Time {
        let past = (self.start.elapsed().as_micros() / 100) as Time;
        past + past * self.rate / 1000 + self.ahead
    }
    pub fn instant(&self, at: Time) -> tokio::time::Instant {
        let past = (at - self.ahead).clamp(0, 86_400_000_000) * 1000 / (1000 + self.rate);
        (self.start + Duration::from_micros(past as u64 * 100)).into()
    }
}

/// Sends what fits; what is lost is lost, as any datagram. Whether it was taken.
pub fn send(socket: &UdpSocket, to: SocketAddr, datagram: &wire::ControlMessage) -> bool {
    message::encode(datagram).is_some_and(|bytes| socket.try_send_to(&bytes, to).is_ok())
}

/// A number that no other start of this program has had.
pub fn random_id(name: &str) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    let address = &hasher as *const DefaultHasher as usize;
    (name, crate::clock::unix(), std::process::id(), address, Instant::now()).hash(&mut hasher);
    hasher.finish().max(1)
}
