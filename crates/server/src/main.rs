//! Wires the tasks of one app server together, and its signals.

use cypresscleat_concurrency::PoolsConfig;
use cypresscleat_forwarding::messages::Role;
use cypresscleat_forwarding::retry_budget;
use cypresscleat_scheduler::{DownstreamKind, RequestClass, Settings, StopMode, Time};
use cypresscleat_server::args::{self, Task};
use cypresscleat_server::clock::{unix_time, Clock};
use cypresscleat_server::config::{self, Addresses, Config};
use cypresscleat_server::core::persistence::Persistence;
use cypresscleat_server::core::{Core, CoreEvent, Shared};
use cypresscleat_server::counters::add;
use cypresscleat_server::downstream::scgi::CurrentBackend;
use cypresscleat_server::downstream::{ledger, scgi as backend};
use cypresscleat_server::forwarder::cluster_socket::{self, ClusterSocket};
use cypresscleat_server::forwarder::worker_fleet::WorkerFleet;
use cypresscleat_server::forwarder::TierConfig;
use cypresscleat_server::lines::Notice;
use cypresscleat_server::listeners::scgi::ScgiContext;
use cypresscleat_server::listeners::{Frontend, Protocol};
use cypresscleat_server::operator::{self, OperatorConfig};
use cypresscleat_server::ready::Readiness;
use cypresscleat_server::rollout::{self, member, Policy};
use cypresscleat_server::sockets::add_context;
use cypresscleat_server::{kernel, leases, log, planner, pool, relay, roster, store_thread};
use cypresscleat_settings::Names;
use std::cell::RefCell;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
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
/// Lines about what was cut off in the last life.
const TOLD: usize = 20;
/// The core looks up at least this often, in tenths of a millisecond.
const LOOK: Time = 10_000;

fn main() -> ExitCode {
    let task = match args::parse(std::env::args_os()) {
        Ok(task) => task,
        Err((text, code)) => {
            let _ = match code {
                0 => io::stdout().write_all(text.as_bytes()),
                _ => io::stderr().write_all(text.as_bytes()),
            };
            return ExitCode::from(code);
        }
    };
    let (operator, role) = match task {
        Task::Check { operator, show } => return check(&operator, show),
        Task::Policy { operator, words } => return rollout::policy_command::start(&operator, &words),
        Task::Owning { operator, name, job } => return leases::run_subcommand(&operator, &name, &job),
        Task::Relay { operator, name } => return relay::start(&operator, &name),
        Task::Serve { operator } => (operator, Role::Worker),
        Task::Forward { operator } => (Some(operator), Role::Forwarder),
        Task::Plan { operator } => (Some(operator), Role::Planner),
    };
    let started = std::time::Instant::now();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(add_context("event loop"));
    let ended =
        runtime.and_then(|runtime| LocalSet::new().block_on(&runtime, start(started, operator, role)));
    match ended {
        Ok(code) => code,
        Err(error) => {
            log!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Names of operations and customers are checked where the platform's configuration can be read.
fn check(path: &Path, show: bool) -> ExitCode {
    let config = config::read().ok();
    let mut out = io::stdout();
    let (code, text) = match operator::read(path, config.as_ref().map(|config| &config.names)) {
        Ok((_, root)) if show => (0, format!("{root}\n")),
        Ok(_) if config.is_some() => (0, format!("{}: good\n", path.display())),
        Ok(_) => (0, format!("{}: good; without EDGE_CONFIG names are not checked\n", path.display())),
        Err(wrong) => (2, wrong.rendered),
    };
    let _ = out.write_all(text.as_bytes());
    ExitCode::from(code)
}

/// What stands from the first moment on.
struct Begun {
    started: std::time::Instant,
    hup: Signal,
    term: Signal,
}

/// The signals to read the configuration again and to leave end the program unless they are listened for: first of all.
async fn start(started: std::time::Instant, path: Option<PathBuf>, role: Role) -> io::Result<ExitCode> {
    let begun = Begun {
        started,
        hup: signal(SignalKind::hangup()).map_err(add_context("signals"))?,
        term: signal(SignalKind::terminate()).map_err(add_context("signals"))?,
    };
    let config = match config::read() {
        Ok(config) => config,
        Err(what) => {
            log!("{what}");
            return Ok(ExitCode::from(2));
        }
    };
    let read = path.as_deref().map(|path| operator::read(path, Some(&config.names)));
    let operator = match read.transpose() {
        Ok(read) => read.map_or_else(OperatorConfig::default, |(operator, _)| operator),
        Err(wrong) => {
            let _ = io::stderr().write_all(wrong.rendered.as_bytes());
            return Ok(ExitCode::from(2));
        }
    };
    if role != Role::Worker && operator.tier.is_none() {
        log!("no tier in the operator's file");
        return Ok(ExitCode::from(2));
    }
    if let (Role::Planner, Some(tier)) = (role, &operator.tier) {
        let keepers = operator.control_replicas.as_ref();
        return planner::run(&config.name, tier, keepers, operator.rollout.as_ref(), config.settings.seed)
            .await
            .map(|()| ExitCode::SUCCESS);
    }
    let lacks = |op: usize| operator.scgi.as_ref().is_some_and(|scgi| scgi.routes.lacks_idempotency_key(op));
    if let Err(what) = config::check_tokens(&config.settings, role == Role::Forwarder, lacks) {
        log!("{what}");
        return Ok(ExitCode::from(2));
    }
    let taken = operator.scgi.as_ref().map_or(0, |scgi| scgi.connections);
    if config.sockets / CALLS + KEPT_BACK + taken > config.sockets / 2 && taken > 0 {
        log!(
            "scgi.connections {taken}: with those for calls and {KEPT_BACK} kept back more than half of {} descriptors",
            config.sockets
        );
        return Ok(ExitCode::from(2));
    }
    serve(config, begun, operator, path, role).await.map(|()| ExitCode::SUCCESS)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let bound = socket.and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    });
    bound.map_err(add_context(format!("listen {address}")))
}

/// The module of a forwarder: its cores are the places of all workers, and what runs there is no memory of its own.
fn forwards(settings: Settings, tier: &TierConfig) -> Settings {
    let slots: f64 = tier.workers.iter().map(|worker| worker.slots).sum();
    let plain = |op: &RequestClass| RequestClass { calls_downstream: false, ..op.clone() };
    Settings {
        classes: settings.classes.iter().map(plain).collect(),
        cores: slots,
        slow_start: false,
        running_memory_factor: 1.0,
        stop_mode: StopMode::Discard,
        downstream: DownstreamKind::None,
        ..settings
    }
}

/// What the operator's file can change while the program runs.
struct Followed {
    path: Option<PathBuf>,
    names: Rc<Names>,
    now: OperatorConfig,
    door: Option<Rc<ScgiContext>>,
    backend: Option<Rc<CurrentBackend>>,
}

impl Followed {
    /// Reads the file again. A faulty one changes nothing; what can't change in service is said and left. Returns the pools
    /// that hold from now on, where they are others.
    fn follow(&mut self) -> Option<PoolsConfig> {
        let path = self.path.as_ref()?;
        let new = match operator::read(path, Some(&self.names)) {
            Ok((new, _)) => new,
            Err(wrong) => {
                wrong.lines.iter().for_each(|line| log!("not taken over: {line}"));
                return None;
            }
        };
        match (&self.door, &self.now.scgi, &new.scgi) {
            (Some(door), Some(old), Some(new)) => {
                if (old.listen, old.connections) != (new.listen, new.connections) {
                    log!("scgi.listen and scgi.connections change with a start only");
                }
                door.reconfigure(new.routes.clone(), new.bounds, new.patience);
            }
            (None, None, None) => {}
            _ => log!("scgi is switched on or off with a start only"),
        }
        match (&self.backend, &new.backend) {
            (Some(place), Some(backend)) => *place.0.borrow_mut() = backend.clone(),
            (None, None) => {}
            _ => log!("calls change their protocol with a start only"),
        }
        if self.now.store != new.store {
            log!("store changes with a start only");
        }
        let fixed = |one: &OperatorConfig| {
            (one.tier.clone(), one.control_replicas.clone(), one.counter_demo.clone(), one.rollout.clone())
        };
        if fixed(&self.now) != fixed(&new) {
            log!("tier, keepers, tally and rollout change with a start only");
        }
        let pools = (self.now.pools != new.pools).then(|| new.pools.clone());
        self.now = new;
        log!("operator's file read again");
        pools
    }
}

/// What a policy changes beside the core: how long a request over SCGI may take to come, and further tries.
fn applies(
    door: Option<Rc<ScgiContext>>,
    fleet: Rc<RefCell<Option<Rc<WorkerFleet>>>>,
    patience: Option<Time>,
) -> member::ActivationHook {
    Box::new(move |policy: &Policy| {
        if let (Some(door), Some(patience)) = (&door, policy.patience.or(patience)) {
            door.set_request_timeout(patience);
        }
        if let Some(fleet) = fleet.borrow().as_ref() {
            fleet.set_retry_ratio(policy.retries.unwrap_or(retry_budget::RETRY_RATIO));
        }
    })
}

async fn serve(
    config: Config,
    Begun { started, mut hup, mut term }: Begun,
    operator: OperatorConfig,
    path: Option<PathBuf>,
    role: Role,
) -> io::Result<()> {
    let mut usr1 = signal(SignalKind::user_defined1()).map_err(add_context("signals"))?;
    let (queue, notes) = channel(QUEUE);
    // Before anybody can be served.
    let (mut store, mut keeping) = (None, None);
    if let Some(kept) = &operator.store {
        let (to, loaded, thread) =
            store_thread::start(&kept.folder, kept.durability, kept.segment, kept.hours, queue.clone())
                .map_err(|what| io::Error::other(format!("store: {what}")))?;
        let (own, cut_off) = Persistence::new(to, kept.after, kept.refuse, loaded);
        cut_off.iter().take(TOLD).for_each(|one| log!("cut off in the last life: {one}"));
        if cut_off.len() > TOLD {
            log!("cut off in the last life: {} more", cut_off.len() - TOLD);
        }
        (store, keeping) = (Some(thread), Some(own));
    }
    let listener = listen(config.listen)?;
    log!("{} listens on {}", config.name, listener.local_addr()?);
    let buffers = (config.memory_mb << 20) as usize / BUFFERS as usize / pool::BUFFER_BYTES;
    let shared = Shared { readiness: Readiness::new(started), ..Shared::new(buffers) };
    let clock = Clock::start();
    let calls = config.sockets / CALLS;
    let names = Rc::new(config.names.clone());
    let taken = operator.scgi.as_ref().map_or(0, |scgi| scgi.connections);
    let most = config.sockets - calls - KEPT_BACK - taken;
    let callers = config.settings.client_count as usize;
    let mut fronts =
        vec![Frontend::new(&shared, queue.clone(), clock, Protocol::Frames(names.clone()), (most, callers))];
    let mut accepting = vec![spawn_local(fronts[0].clone().accept(listener))];
    let mut door = None;
    if let Some(scgi) = &operator.scgi {
        let listener = listen(scgi.listen)?;
        log!("scgi listens on {}", listener.local_addr()?);
        let own = Rc::new(ScgiContext::new(
            &config.name,
            unix_time(),
            role == Role::Forwarder,
            scgi.routes.clone(),
            scgi.bounds,
            scgi.patience,
        ));
        let speaks = Protocol::Scgi(own.clone());
        let front = Frontend::new(&shared, queue.clone(), clock, speaks, (scgi.connections, callers));
        accepting.push(spawn_local(front.clone().accept(listener)));
        fronts.push(front);
        door = Some(own);
    }
    fronts.iter().for_each(|front| drop(spawn_local(front.clone().sweep())));
    let addresses = Rc::new(Addresses::new(&config));
    let tier = operator.tier.clone().filter(|_| role == Role::Forwarder);
    let mut settings = Settings { pools: operator.pools.clone(), ..config.settings };
    settings.validate().map_err(io::Error::other)?;
    // Set once the fleet is there: a policy says how many further tries may be.
    let retries: Rc<RefCell<Option<Rc<WorkerFleet>>>> = Rc::default();
    let above =
        operator.rollout.as_ref().and_then(|set| set.request_targets(operator.control_replicas.as_ref()));
    let gate = match (&operator.rollout, above) {
        (Some(set), Some(above)) => {
            let apply =
                applies(door.clone(), retries.clone(), operator.scgi.as_ref().map(|scgi| scgi.patience));
            let queue = Some(queue.clone());
            let task =
                member::MemberTask::new(&config.name, above, set, Some(names.clone()), queue, apply).await?;
            let gate = task.gate();
            spawn_local(task.run());
            Some(gate)
        }
        _ => None,
    };
    let fleet = match &tier {
        None => None,
        Some(tier) => {
            settings = forwards(settings, tier);
            let value = settings.classes.iter().map(|op| op.priority_weight).collect();
            let fleet =
                WorkerFleet::new((&config.name, tier), &shared, queue.clone(), clock, value, settings.seed);
            let mut talk =
                ClusterSocket::new(&config.name, Role::Forwarder, tier, clock, settings.seed).await?;
            talk.gate = gate.clone();
            *retries.borrow_mut() = Some(fleet.clone());
            spawn_local(cluster_socket::run_forwarder(talk, fleet.clone(), tier.clone()));
            spawn_local(fleet.clone().watch_health());
            // Nothing else has to come up: workers are found as they do.
            let _ = queue.send(CoreEvent::ExecutorNotice(Notice::Booted { cold: false, age_ms: 0.0 })).await;
            Some(fleet)
        }
    };
    let mut kernel = match &tier {
        None => spawn_local(kernel::run(addresses.clone(), shared.clone(), queue.clone())),
        Some(_) => spawn_local(std::future::pending()),
    };
    let place = operator.backend.clone().map(|backend| Rc::new(CurrentBackend(RefCell::new(backend))));
    let mut below = match &place {
        None => spawn_local(ledger::run(addresses.clone(), shared.clone(), queue.clone(), calls)),
        Some(place) => {
            let (names, shared) = (names.clone(), shared.clone());
            spawn_local(backend::run(place.clone(), names, shared, queue.clone(), calls))
        }
    };
    let mut followed = Followed { path, names: names.clone(), now: operator, door, backend: place };
    let seed = settings.seed;
    spawn_local(roster::run(addresses.clone(), config.name.clone(), seed, shared.clone()));
    shared.readiness.mark_listening(config.roster.is_some());
    spawn_local(shared.readiness.clone().watch());
    let mut core = Core::new(settings, names, &shared);
    if let Some(fleet) = fleet {
        core.set_dispatcher(fleet);
    }
    if let Some(gate) = &gate {
        core.set_gate(gate.clone());
    }
    if let Some(keeping) = keeping {
        core.set_persistence(keeping);
    }
    let mut core = spawn_local(run(core, notes, clock, fronts));
    let mut stops: Option<Instant> = None;
    loop {
        let end = stops.unwrap_or_else(|| Instant::now() + IDLE);
        tokio::select! {
            _ = usr1.recv() => log!("{}", shared.counters.summary()),
            // A fault in the new text changes nothing: what is open goes on as it is.
            _ = hup.recv() => {
                match config::read() {
                    Ok(config) => {
                        add(&shared.counters.reloads);
                        addresses.follow(&config);
                        let Config { kernel, ledger, roster, .. } = config;
                        log!("configuration read again: kernel {kernel} ledger {ledger:?} roster {roster:?}");
                    }
                    Err(what) => log!("not taken over: {what}"),
                }
                if let Some(setup) = followed.follow() {
                    let _ = queue.send(CoreEvent::PoolsChanged(setup)).await;
                }
            }
            _ = term.recv(), if stops.is_none() => {
                // Stopped from outside by then, or later by itself: to go just before could lose what is being
                // written.
                stops = Some(Instant::now() + Duration::from_millis(config.stop as u64 / 10) + BEHIND_STOP);
                let _ = queue.send(CoreEvent::Drain { within: config.stop }).await;
            }
            // Without its core the server would take invocations and answer none.
            ended = &mut core => {
                ended.map_err(io::Error::other)?;
                accepting.iter().for_each(|accepting| accepting.abort());
                break;
            }
            // Without a link it would never run any, or never end a call.
            _ = &mut kernel => return Err(io::Error::other("the link to the kernel ended")),
            _ = &mut below => return Err(io::Error::other("the link to the tier below ended")),
            () = sleep_until(end) => if stops.is_some() { break },
        }
    }
    if let Some(gate) = gate {
        gate.leave_requested.notify_one();
        let _ = tokio::time::timeout(rollout::LEAVE_TIMEOUT, gate.leave_done.notified()).await;
    }
    core.abort(); // with it goes whoever sends to the store
    store_thread::join(store.take()).await;
    log!("stopped: {}", shared.counters.summary());
    Ok(())
}

/// The one task that owns the module: its timer first, then the queue. Ends once a drain is done.
async fn run(mut core: Core, mut notes: Receiver<CoreEvent>, clock: Clock, fronts: Vec<Rc<Frontend>>) {
    while !(core.is_done() && fronts.iter().all(|front| front.is_closed())) {
        let due = clock.instant(core.wake_at().min(clock.now() + LOOK));
        tokio::select! {
            biased;
            () = sleep_until(due.into()) => {}
            note = notes.recv() => match note {
                Some(note) => core.handle_event(clock.now(), unix_time(), note),
                None => return,
            },
        }
        if clock.now() >= core.wake_at() {
            core.tick(clock.now());
        }
    }
}
