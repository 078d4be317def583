//! Wires the tasks of one app server together, and its signals.

use cypresscleat::api::Time;
use cypresscleat_server::clock::{unix, Clock};
use cypresscleat_server::config::{self, Addresses, Config};
use cypresscleat_server::core::{Core, Note, Shared};
use cypresscleat_server::counters::add;
use cypresscleat_server::front::Front;
use cypresscleat_server::{kernel, ledger, log, pool, roster};
use std::io;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::{channel, Receiver};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep_until, Instant};

/// Messages that may stand in the queue.
const QUEUE: usize = 256;
/// Descriptors kept back for the links, the listener, signals and the log.
const KEPT_BACK: usize = 32;
/// The part of all descriptors that connections to the ledger may take.
const CALLS: usize = 8;
/// The part of the memory that buffers may take.
const BUFFERS: u64 = 4;
const BACKLOG: u32 = 1024;
const BEHIND_STOP: Duration = Duration::from_secs(1);
const IDLE: Duration = Duration::from_secs(3600);
/// The core looks up at least this often, in tenths of a millisecond.
const LOOK: Time = 10_000;

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = runtime.and_then(|runtime| LocalSet::new().block_on(&runtime, start()));
    match ended {
        Ok(code) => code,
        Err(error) => {
            log!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// The signal to read the configuration again ends the program unless it is listened for: first of all.
async fn start() -> io::Result<ExitCode> {
    let hup = signal(SignalKind::hangup())?;
    match config::read() {
        Ok(config) => serve(config, hup).await.map(|()| ExitCode::SUCCESS),
        Err(what) => {
            log!("{what}");
            Ok(ExitCode::from(2))
        }
    }
}

fn listen(config: &Config) -> io::Result<TcpListener> {
    let socket = if config.listen.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(config.listen)?;
    socket.listen(BACKLOG)
}

async fn serve(config: Config, mut hup: Signal) -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut usr1 = signal(SignalKind::user_defined1())?;
    let listener = listen(&config)
        .map_err(|error| io::Error::new(error.kind(), format!("listen {}: {error}", config.listen)))?;
    log!("{} listens on {}", config.name, listener.local_addr()?);
    let shared = Shared::new((config.memory_mb << 20) as usize / BUFFERS as usize / pool::SIZE);
    let (queue, notes) = channel(QUEUE);
    let clock = Clock::start();
    let calls = config.sockets / CALLS;
    let front = Front::new(&shared, queue.clone(), clock, config.sockets - calls - KEPT_BACK);
    let accepting = spawn_local(front.clone().accept(listener));
    spawn_local(front.clone().sweep());
    let addresses = Rc::new(Addresses::new(&config));
    let mut kernel = spawn_local(kernel::link(addresses.clone(), shared.clone(), queue.clone()));
    let mut ledger = spawn_local(ledger::link(addresses.clone(), shared.clone(), queue.clone(), calls));
    spawn_local(roster::report(addresses.clone(), config.name.clone(), shared.clone()));
    let core = Core::new(config.settings, config.names, &shared);
    let mut core = spawn_local(run(core, notes, clock, front));
    let mut stops: Option<Instant> = None;
    loop {
        let end = stops.unwrap_or_else(|| Instant::now() + IDLE);
        tokio::select! {
            _ = usr1.recv() => log!("{}", shared.counters.line()),
            // A fault in the new text changes nothing: what is open goes on as it is.
            _ = hup.recv() => match config::read() {
                Ok(config) => {
                    add(&shared.counters.reloads);
                    addresses.follow(&config);
                    let Config { kernel, ledger, roster, .. } = config;
                    log!("configuration read again: kernel {kernel} ledger {ledger:?} roster {roster:?}");
                }
                Err(what) => log!("not taken over: {what}"),
            },
            _ = term.recv(), if stops.is_none() => {
                // Stopped from outside by then, or later by itself: to go just before could lose what is being
                // written.
                stops = Some(Instant::now() + Duration::from_millis(config.stop as u64 / 10) + BEHIND_STOP);
                let _ = queue.send(Note::Leave { within: config.stop }).await;
            }
            // Without its core the server would take invocations and answer none.
            ended = &mut core => {
                ended.map_err(io::Error::other)?;
                break accepting.abort();
            }
            // Without a link it would never run any, or never end a call.
            _ = &mut kernel => return Err(io::Error::other("the link to the kernel ended")),
            _ = &mut ledger => return Err(io::Error::other("the link to the ledger ended")),
            () = sleep_until(end) => if stops.is_some() { break },
        }
    }
    log!("stopped: {}", shared.counters.line());
    Ok(())
}

/// The one task that owns the module: its timer first, then the queue. Ends once a drain is done.
async fn run(mut core: Core, mut notes: Receiver<Note>, clock: Clock, front: Rc<Front>) {
    while !(core.is_done() && front.connections() == 0) {
        let due = clock.instant(core.wake_at().min(clock.now() + LOOK));
        tokio::select! {
            biased;
            () = sleep_until(due.into()) => {}
            note = notes.recv() => match note {
                Some(note) => core.take(clock.now(), unix(), note),
                None => return,
            },
        }
        if clock.now() >= core.wake_at() {
            core.tick(clock.now());
        }
    }
}
