//! Duties with one owner at a time: keepers, and instances that own. What is decided stands in the crates `quorum` and `owners`;
//! here are sockets, disks and time. No invocation ever waits for anything here.

pub mod agreed;
pub mod ask;
pub mod hold;
pub mod keep;
pub mod known_replicas;
pub mod settle;
pub mod sums;
pub mod tally;
pub mod wire;
pub mod work;

use crate::log;
use crate::operator::{self, Operator};
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
pub struct Keepers {
    pub lease: Time,
    pub all: Vec<(String, SocketAddr)>,
    /// Where this instance keeps, if it is one of them.
    pub folder: Option<PathBuf>,
}

impl Keepers {
    pub fn addresses(&self) -> HashMap<NodeId, SocketAddr> {
        addresses(&self.all)
    }
    /// An address from which the keepers can be asked.
    pub fn from(&self) -> SocketAddr {
        from(&self.all)
    }
}

pub fn addresses(peers: &[(String, SocketAddr)]) -> HashMap<NodeId, SocketAddr> {
    peers.iter().map(|(name, address)| (node_id(name), *address)).collect()
}

/// An address from which these can be asked: of loopback where they are there.
pub fn from(peers: &[(String, SocketAddr)]) -> SocketAddr {
    match peers.first() {
        Some((_, address)) if address.ip().is_loopback() => SocketAddr::from(([127, 0, 0, 1], 0)),
        _ => SocketAddr::from(([0, 0, 0, 0], 0)),
    }
}

/// What an instance is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Job {
    Keep,
    Tally,
    Settle,
    Sums,
    Ask(ask::What),
}

/// One job, from the reading of the operator's file to its end.
pub fn start(path: &Path, name: &str, job: &Job) -> ExitCode {
    let read = operator::read(path, None).map_err(|wrong| wrong.shown);
    let read = read.and_then(|(operator, _)| match (&operator.keepers, &operator.tally, job) {
        (None, ..) => Err(format!("{}: no keepers\n", path.display())),
        (_, None, Job::Tally) => Err(format!("{}: no tally\n", path.display())),
        (_, _, Job::Settle) if operator.settle.is_none() => Err(format!("{}: no settle\n", path.display())),
        (_, _, Job::Sums) if operator.sums.is_none() => Err(format!("{}: no sums\n", path.display())),
        _ if name.is_empty() && !matches!(job, Job::Ask(_)) => Err("no name: --name or EDGE_NAME\n".into()),
        _ => Ok(operator),
    });
    let operator = match read {
        Ok(operator) => operator,
        Err(what) => {
            let _ = io::stderr().write_all(what.as_bytes());
            return ExitCode::from(2);
        }
    };
    let (Some(keepers), tally) = (&operator.keepers, &operator.tally) else { return ExitCode::from(2) };
    let done = match (job, tally) {
        (Job::Ask(what), _) => ask::run(keepers, what, &known(&operator)).map(|(code, text)| {
            let _ = io::stdout().write_all(text.as_bytes());
            ExitCode::from(code)
        }),
        (Job::Tally, Some(tally)) => block_on(tally::run(name, keepers, tally)),
        (Job::Settle, _) => match &operator.settle {
            Some(settle) => block_on(settle::run(name, keepers, settle)),
            None => Ok(ExitCode::from(2)),
        },
        (Job::Sums, _) => match &operator.sums {
            Some(sums) => block_on(sums::run(name, keepers, sums)),
            None => Ok(ExitCode::from(2)),
        },
        _ => block_on(keep::run(name, keepers, Some(path))),
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
pub fn keeps_beside(name: &str, keepers: &Keepers) -> io::Result<()> {
    let (name, keepers) = (name.to_string(), keepers.clone());
    let thread = std::thread::Builder::new().name("keeper".into());
    thread.spawn(move || {
        if let Err(error) = block_on(keep::run(&name, &keepers, None)) {
            // What it promised can't be kept any more: the process goes on without it, and the others see that it is silent.
            log!("keeper {name} ended: {error}");
        }
    })?;
    Ok(())
}

/// Names that an operator's list may speak of.
fn known(operator: &Operator) -> Vec<String> {
    let mut names = vec![PLANNERS.to_string(), settle::DUTY.to_string(), sums::DUTY.to_string()];
    names.extend(operator.tally.iter().map(|tally| tally.duty.clone()));
    let tier = operator.tier.iter();
    names.extend(tier.flat_map(|tier| tier.planners.iter().map(|planner| planner.name.clone())));
    names.extend(operator.keepers.iter().flat_map(|keepers| keepers.all.iter().map(|one| one.0.clone())));
    names
}

/// The duty of whoever leads the planners.
pub const PLANNERS: &str = "planners";

/// Time for keepers and owners, in tenths of a millisecond: the steady clock, which no step of the Unix clock moves.
///
/// `CLEAT_TEST_CLOCK=RATE,AHEAD`, for tests only, makes it run so many parts in a thousand fast, and so many milliseconds ahead.
#[derive(Clone, Copy)]
pub struct Steady {
    start: Instant,
    rate: i64,
    ahead: Time,
}

impl Steady {
    pub fn start() -> Steady {
        let text = std::env::var("CLEAT_TEST_CLOCK").unwrap_or_default();
        let (rate, ahead) = text.split_once(',').unwrap_or(("0", "0"));
        let rate = rate.parse::<i64>().unwrap_or(0).clamp(-900, 9000);
        Steady { start: Instant::now(), rate, ahead: ahead.parse::<Time>().unwrap_or(0) * 10 }
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
pub fn send(socket: &UdpSocket, to: SocketAddr, datagram: &wire::Wire) -> bool {
    message::encode(datagram).is_some_and(|bytes| socket.try_send_to(&bytes, to).is_ok())
}

/// A number that no other start of this program has had.
pub fn drawn(name: &str) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    let address = &hasher as *const DefaultHasher as usize;
    (name, crate::clock::unix(), std::process::id(), address, Instant::now()).hash(&mut hasher);
    hasher.finish().max(1)
}
