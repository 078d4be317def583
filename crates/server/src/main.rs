//! Starts the tasks of one app server, connects them, and handles the process's signals.

use cypresscleat_concurrency::PoolsConfig;
use cypresscleat_forwarding::messages::Role;
use cypresscleat_forwarding::retry_budget;
use cypresscleat_scheduler::{DownstreamKind, RequestClass, Settings, StopMode, Time};
use cypresscleat_server::args::{self, Mode};
use cypresscleat_server::clock::{unix_time, Clock};
use cypresscleat_server::config::{self, Addresses, Config};
use cypresscleat_server::core::persistence::Persistence;
use cypresscleat_server::core::{Core, CoreEvent, Shared};
use cypresscleat_server::counters::add;
use cypresscleat_server::downstream::scgi::CurrentBackend;
use cypresscleat_server::downstream::{ledger, scgi as scgi_client};
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

/// Capacity of the queue of core events.
const QUEUE_CAPACITY: usize = 256;
/// Descriptors reserved for the connections to downstream services, the listener, signals and the log.
const RESERVED_DESCRIPTORS: usize = 32;
/// Connections to the ledger or backend may use all descriptors divided by this number.
const CALL_DESCRIPTORS_DIVISOR: usize = 8;
/// Buffers may use the memory limit divided by this number.
const BUFFER_MEMORY_DIVISOR: u64 = 4;
/// Backlog of the listening sockets.
const LISTEN_BACKLOG: u32 = 1024;
/// Time after the drain timeout until the process ends.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Interval of the main loop while no drain is in progress.
const IDLE_INTERVAL: Duration = Duration::from_secs(3600);
/// Maximum number of log lines about requests that the previous run left unfinished.
const MAX_UNFINISHED_LOGGED: usize = 20;
/// Maximum time between two ticks of the core, in tenths of a millisecond.
const MAX_TICK_INTERVAL: Time = 10_000;

fn main() -> ExitCode {
    let mode = match args::parse(std::env::args_os()) {
        Ok(mode) => mode,
        Err((text, code)) => {
            let _ = match code {
                0 => io::stdout().write_all(text.as_bytes()),
                _ => io::stderr().write_all(text.as_bytes()),
            };
            return ExitCode::from(code);
        }
    };
    let (operator_file, role) = match mode {
        Mode::Check { operator_file, show } => return check(&operator_file, show),
        Mode::Policy { operator_file, args } => return rollout::policy_command::start(&operator_file, &args),
        Mode::Leases { operator_file, name, subcommand } => {
            return leases::run_subcommand(&operator_file, &name, &subcommand)
        }
        Mode::Relay { operator_file, name } => return relay::start(&operator_file, &name),
        Mode::Serve { operator_file } => (operator_file, Role::Worker),
        Mode::Forward { operator_file } => (Some(operator_file), Role::Forwarder),
        Mode::Plan { operator_file } => (Some(operator_file), Role::Planner),
    };
    let started = std::time::Instant::now();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(add_context("event loop"));
    let result =
        runtime.and_then(|runtime| LocalSet::new().block_on(&runtime, start(started, operator_file, role)));
    match result {
        Ok(code) => code,
        Err(error) => {
            log!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Checks the operator's file. The names of request classes and tenants are checked if the platform's configuration can be
/// read.
fn check(path: &Path, show: bool) -> ExitCode {
    let config = config::read().ok();
    let mut out = io::stdout();
    let (code, text) = match operator::read(path, config.as_ref().map(|config| &config.names)) {
        Ok((_, root)) if show => (0, format!("{root}\n")),
        Ok(_) if config.is_some() => (0, format!("{}: good\n", path.display())),
        Ok(_) => (0, format!("{}: good; without EDGE_CONFIG names are not checked\n", path.display())),
        Err(invalid) => (2, invalid.rendered),
    };
    let _ = out.write_all(text.as_bytes());
    ExitCode::from(code)
}

/// State from the start of the process.
struct ProcessStart {
    started: std::time::Instant,
    hup: Signal,
    term: Signal,
}

/// Reads the configuration and starts the role. Signal handlers are installed first, since SIGHUP and SIGTERM end a process
/// that has none.
async fn start(started: std::time::Instant, path: Option<PathBuf>, role: Role) -> io::Result<ExitCode> {
    let process_start = ProcessStart {
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
        Err(invalid) => {
            let _ = io::stderr().write_all(invalid.rendered.as_bytes());
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
    let lacks_header =
        |class: usize| operator.scgi.as_ref().is_some_and(|scgi| scgi.routes.lacks_idempotency_key(class));
    if let Err(what) = config::check_idempotency_keys(&config.settings, role == Role::Forwarder, lacks_header)
    {
        log!("{what}");
        return Ok(ExitCode::from(2));
    }
    let scgi_connections = operator.scgi.as_ref().map_or(0, |scgi| scgi.connections);
    if config.sockets / CALL_DESCRIPTORS_DIVISOR + RESERVED_DESCRIPTORS + scgi_connections
        > config.sockets / 2
        && scgi_connections > 0
    {
        log!(
            "scgi.connections {scgi_connections}: with those for calls and {RESERVED_DESCRIPTORS} kept back more than half of {} descriptors",
            config.sockets
        );
        return Ok(ExitCode::from(2));
    }
    serve(config, process_start, operator, path, role).await.map(|()| ExitCode::SUCCESS)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let bound = socket.and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    });
    bound.map_err(add_context(format!("listen {address}")))
}

/// The settings of a forwarder. Its cores are the slots of all workers; requests that run there use none of its memory.
fn forwarder_settings(settings: Settings, tier: &TierConfig) -> Settings {
    let slots: f64 = tier.workers.iter().map(|worker| worker.slots).sum();
    let without_calls = |class: &RequestClass| RequestClass { calls_downstream: false, ..class.clone() };
    Settings {
        classes: settings.classes.iter().map(without_calls).collect(),
        cores: slots,
        slow_start: false,
        running_memory_factor: 1.0,
        stop_mode: StopMode::Discard,
        downstream: DownstreamKind::None,
        ..settings
    }
}

/// The settings of the operator's file that a reload can change while the program runs.
struct ReloadableConfig {
    path: Option<PathBuf>,
    names: Rc<Names>,
    current: OperatorConfig,
    scgi_context: Option<Rc<ScgiContext>>,
    backend: Option<Rc<CurrentBackend>>,
}

impl ReloadableConfig {
    /// Reloads the file. An invalid file changes nothing; settings that need a restart are logged and keep their values.
    /// Returns the new pools if they changed.
    fn reload(&mut self) -> Option<PoolsConfig> {
        let path = self.path.as_ref()?;
        let new = match operator::read(path, Some(&self.names)) {
            Ok((new, _)) => new,
            Err(invalid) => {
                invalid.lines.iter().for_each(|line| log!("not taken over: {line}"));
                return None;
            }
        };
        match (&self.scgi_context, &self.current.scgi, &new.scgi) {
            (Some(scgi), Some(old), Some(new)) => {
                if (old.listen, old.connections) != (new.listen, new.connections) {
                    log!("scgi.listen and scgi.connections change with a start only");
                }
                scgi.reconfigure(new.routes.clone(), new.bounds, new.request_timeout);
            }
            (None, None, None) => {}
            _ => log!("scgi is switched on or off with a start only"),
        }
        match (&self.backend, &new.backend) {
            (Some(current), Some(backend)) => *current.0.borrow_mut() = backend.clone(),
            (None, None) => {}
            _ => log!("calls change their protocol with a start only"),
        }
        if self.current.store != new.store {
            log!("store changes with a start only");
        }
        let fixed_settings = |config: &OperatorConfig| {
            (
                config.tier.clone(),
                config.control_replicas.clone(),
                config.counter_demo.clone(),
                config.rollout.clone(),
            )
        };
        if fixed_settings(&self.current) != fixed_settings(&new) {
            log!("tier, keepers, tally and rollout change with a start only");
        }
        let pools = (self.current.pools != new.pools).then(|| new.pools.clone());
        self.current = new;
        log!("operator's file read again");
        pools
    }
}

/// Applies the parts of a policy outside the core: the timeout for receiving an SCGI request, and the retry ratio.
fn activation_hook(
    scgi: Option<Rc<ScgiContext>>,
    worker_fleet: Rc<RefCell<Option<Rc<WorkerFleet>>>>,
    request_timeout: Option<Time>,
) -> member::ActivationHook {
    Box::new(move |policy: &Policy| {
        if let (Some(scgi), Some(request_timeout)) = (&scgi, policy.patience.or(request_timeout)) {
            scgi.set_request_timeout(request_timeout);
        }
        if let Some(worker_fleet) = worker_fleet.borrow().as_ref() {
            worker_fleet.set_retry_ratio(policy.retries.unwrap_or(retry_budget::RETRY_RATIO));
        }
    })
}

async fn serve(
    config: Config,
    ProcessStart { started, mut hup, mut term }: ProcessStart,
    operator: OperatorConfig,
    path: Option<PathBuf>,
    role: Role,
) -> io::Result<()> {
    let mut usr1 = signal(SignalKind::user_defined1()).map_err(add_context("signals"))?;
    let (queue, events) = channel(QUEUE_CAPACITY);
    let clock = Clock::start();
    // The store is loaded before the first request can be accepted.
    let (mut store, mut persistence) = (None, None);
    if let Some(config) = &operator.store {
        let (sender, loaded, thread) = store_thread::start(
            &config.folder,
            config.durability,
            config.segment_bytes,
            config.hour_length_ms,
            clock,
            queue.clone(),
        )
        .map_err(|what| io::Error::other(format!("store: {what}")))?;
        let (new, unfinished) =
            Persistence::new(sender, config.answers_after_commit, config.rejects_without_store, loaded);
        unfinished
            .iter()
            .take(MAX_UNFINISHED_LOGGED)
            .for_each(|request| log!("cut off in the last life: {request}"));
        if unfinished.len() > MAX_UNFINISHED_LOGGED {
            log!("cut off in the last life: {} more", unfinished.len() - MAX_UNFINISHED_LOGGED);
        }
        (store, persistence) = (Some(thread), Some(new));
    }
    let listener = listen(config.listen)?;
    log!("{} listens on {}", config.name, listener.local_addr()?);
    let buffers = (config.memory_mb << 20) as usize / BUFFER_MEMORY_DIVISOR as usize / pool::BUFFER_BYTES;
    let shared = Shared { readiness: Readiness::new(started), ..Shared::new(buffers) };
    let max_calls = config.sockets / CALL_DESCRIPTORS_DIVISOR;
    let names = Rc::new(config.names.clone());
    let scgi_connections = operator.scgi.as_ref().map_or(0, |scgi| scgi.connections);
    let max_connections = config.sockets - max_calls - RESERVED_DESCRIPTORS - scgi_connections;
    let clients = config.settings.client_count as usize;
    let mut frontends = vec![Frontend::new(
        &shared,
        queue.clone(),
        clock,
        Protocol::Frames(names.clone()),
        (max_connections, clients),
    )];
    let mut accepting = vec![spawn_local(frontends[0].clone().accept(listener))];
    let mut scgi_context = None;
    if let Some(scgi) = &operator.scgi {
        let listener = listen(scgi.listen)?;
        log!("scgi listens on {}", listener.local_addr()?);
        let context = Rc::new(ScgiContext::new(
            &config.name,
            unix_time(),
            role == Role::Forwarder,
            scgi.routes.clone(),
            scgi.bounds,
            scgi.request_timeout,
        ));
        let protocol = Protocol::Scgi(context.clone());
        let frontend = Frontend::new(&shared, queue.clone(), clock, protocol, (scgi.connections, clients));
        accepting.push(spawn_local(frontend.clone().accept(listener)));
        frontends.push(frontend);
        scgi_context = Some(context);
    }
    frontends.iter().for_each(|frontend| drop(spawn_local(frontend.clone().sweep())));
    let addresses = Rc::new(Addresses::new(&config));
    let tier = operator.tier.clone().filter(|_| role == Role::Forwarder);
    let mut settings = Settings { pools: operator.pools.clone(), ..config.settings };
    settings.validate().map_err(io::Error::other)?;
    // Set once the fleet exists; a policy sets its retry ratio.
    let worker_fleet_slot: Rc<RefCell<Option<Rc<WorkerFleet>>>> = Rc::default();
    let targets = operator
        .rollout
        .as_ref()
        .and_then(|settings| settings.request_targets(operator.control_replicas.as_ref()));
    let gate = match (&operator.rollout, targets) {
        (Some(settings), Some(targets)) => {
            let hook = activation_hook(
                scgi_context.clone(),
                worker_fleet_slot.clone(),
                operator.scgi.as_ref().map(|scgi| scgi.request_timeout),
            );
            let queue = Some(queue.clone());
            let task =
                member::MemberTask::new(&config.name, targets, settings, Some(names.clone()), queue, hook)
                    .await?;
            let gate = task.gate();
            spawn_local(task.run());
            Some(gate)
        }
        _ => None,
    };
    let worker_fleet = match &tier {
        None => None,
        Some(tier) => {
            settings = forwarder_settings(settings, tier);
            let weights = settings.classes.iter().map(|class| class.priority_weight).collect();
            let worker_fleet =
                WorkerFleet::new((&config.name, tier), &shared, queue.clone(), clock, weights, settings.seed);
            let mut forwarder_socket =
                ClusterSocket::new(&config.name, Role::Forwarder, tier, clock, settings.seed).await?;
            forwarder_socket.gate = gate.clone();
            *worker_fleet_slot.borrow_mut() = Some(worker_fleet.clone());
            spawn_local(cluster_socket::run_forwarder(forwarder_socket, worker_fleet.clone(), tier.clone()));
            spawn_local(worker_fleet.clone().watch_health());
            // A forwarder waits for no executor; it detects workers as they start.
            let _ = queue.send(CoreEvent::ExecutorNotice(Notice::Booted { cold: false, age_ms: 0.0 })).await;
            Some(worker_fleet)
        }
    };
    let mut kernel = match &tier {
        None => spawn_local(kernel::run(addresses.clone(), shared.clone(), queue.clone())),
        Some(_) => spawn_local(std::future::pending()),
    };
    let current_backend =
        operator.backend.clone().map(|config| Rc::new(CurrentBackend(RefCell::new(config))));
    let mut downstream = match &current_backend {
        None => spawn_local(ledger::run(addresses.clone(), shared.clone(), queue.clone(), max_calls)),
        Some(backend) => {
            let (names, shared) = (names.clone(), shared.clone());
            spawn_local(scgi_client::run(backend.clone(), names, shared, queue.clone(), max_calls))
        }
    };
    let mut reloadable = ReloadableConfig {
        path,
        names: names.clone(),
        current: operator,
        scgi_context,
        backend: current_backend,
    };
    let seed = settings.seed;
    spawn_local(roster::run(addresses.clone(), config.name.clone(), seed, shared.clone()));
    shared.readiness.mark_listening(config.roster.is_some());
    spawn_local(shared.readiness.clone().watch());
    let mut core = Core::new(settings, names, &shared);
    if let Some(worker_fleet) = worker_fleet {
        core.set_dispatcher(worker_fleet);
    }
    if let Some(gate) = &gate {
        core.set_gate(gate.clone());
    }
    if let Some(persistence) = persistence {
        core.set_persistence(persistence);
    }
    let mut core = spawn_local(run_core(core, events, clock, frontends));
    let mut drain_end: Option<Instant> = None;
    loop {
        let end = drain_end.unwrap_or_else(|| Instant::now() + IDLE_INTERVAL);
        tokio::select! {
            _ = usr1.recv() => log!("{}", shared.counters.summary()),
            // An invalid new configuration changes nothing, and open connections continue.
            _ = hup.recv() => {
                match config::read() {
                    Ok(config) => {
                        add(&shared.counters.reloads);
                        addresses.update(&config);
                        let Config { kernel, ledger, roster, .. } = config;
                        log!("configuration read again: kernel {kernel} ledger {ledger:?} roster {roster:?}");
                    }
                    Err(what) => log!("not taken over: {what}"),
                }
                if let Some(pools) = reloadable.reload() {
                    let _ = queue.send(CoreEvent::PoolsChanged(pools)).await;
                }
            }
            _ = term.recv(), if drain_end.is_none() => {
                // Backstop for a drain that does not finish. An earlier end could lose responses that are being written.
                drain_end = Some(Instant::now() + Duration::from_millis(config.drain_timeout as u64 / 10) + DRAIN_GRACE);
                let _ = queue.send(CoreEvent::Drain { within: config.drain_timeout }).await;
            }
            // Without its core the server would accept requests and respond to none.
            result = &mut core => {
                result.map_err(io::Error::other)?;
                accepting.iter().for_each(|accepting| accepting.abort());
                break;
            }
            // Without these connections no request would run, or no call would end.
            _ = &mut kernel => return Err(io::Error::other("the link to the kernel ended")),
            _ = &mut downstream => return Err(io::Error::other("the link to the downstream tier ended")),
            () = sleep_until(end) => if drain_end.is_some() { break },
        }
    }
    if let Some(gate) = gate {
        gate.leave_requested.notify_one();
        let _ = tokio::time::timeout(rollout::LEAVE_TIMEOUT, gate.leave_done.notified()).await;
    }
    core.abort(); // drops the sender to the store
    store_thread::join(store.take()).await;
    log!("stopped: {}", shared.counters.summary());
    Ok(())
}

/// The task that owns the core: handles its timer first, then the queue. Returns once a drain is complete.
async fn run_core(
    mut core: Core,
    mut events: Receiver<CoreEvent>,
    clock: Clock,
    frontends: Vec<Rc<Frontend>>,
) {
    while !(core.is_done() && frontends.iter().all(|frontend| frontend.is_closed())) {
        let due = clock.instant(core.wake_at().min(clock.now() + MAX_TICK_INTERVAL));
        tokio::select! {
            biased;
            () = sleep_until(due.into()) => {}
            event = events.recv() => match event {
                Some(event) => core.handle_event(clock.now(), unix_time(), event),
                None => return,
            },
        }
        if clock.now() >= core.wake_at() {
            core.tick(clock.now());
        }
    }
}
