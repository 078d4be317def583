//! Two-tier deployment on loopback: planners, forwarders and workers, all running the real program, each worker with an executor stand-in.

use crate::{request_frame, run_cores, Deployment, Kernel, Router};
use cypresscleat_fault_injection::free_port;
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Number of cores of a worker.
pub const CORES: u32 = 2;

/// CPU time of a run by request class.
pub fn work(request_class: &str) -> Duration {
    Duration::from_millis(if request_class == "lookup" { 8 } else { 30 })
}

/// Billed value by request class, as in the example's configuration.
pub fn value(request_class: &str) -> f64 {
    if request_class == "lookup" {
        3.0
    } else {
        1.0
    }
}

pub struct Worker {
    pub place: Deployment,
    /// Bodies of all its runs.
    pub ran: Arc<Mutex<Vec<String>>>,
}

/// A running two-tier deployment.
pub struct TwoLevels {
    program: PathBuf,
    config: String,
    pub planners: Vec<Option<Deployment>>,
    pub forwarders: Vec<Option<Deployment>>,
    pub workers: Vec<Option<Worker>>,
    planner_at: Vec<SocketAddr>,
    worker_at: Vec<SocketAddr>,
}

/// Starts a worker whose executor reports the start type `how`, `WARM` or `COLD`; a cold executor runs at a quarter of its speed.
pub fn worker(program: &Path, config: &str, name: &str, listen: Option<SocketAddr>, how: &str) -> Worker {
    let place = Deployment::start_with(program, config, "", |all| {
        all["name"] = json!(name);
        all["customers"] = json!([]);
        all["settings"]["customers"] = json!([]);
        all["settings"]["specifics"]["cores"] = json!(CORES);
        all["settings"]["specifics"]["class_calls"] = json!([false, false]);
        all["stop_ms"] = json!(20_000);
        // A fixed address, so that the worker can be restarted there.
        all["listen"] = json!(listen.unwrap_or_else(free_port).to_string());
    });
    let (mut kernel, _) = Kernel::accept(&place.kernel);
    kernel.boot(how);
    place.logged("kernel up");
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    run_cores(kernel, f64::from(CORES) * if how == "COLD" { 0.25 } else { 1.0 }, work, ran.clone());
    Worker { place, ran }
}

impl TwoLevels {
    pub fn start(
        program: &Path,
        config: &str,
        planners: usize,
        forwarders: usize,
        workers: usize,
    ) -> TwoLevels {
        let planner_at = (0..planners).map(|_| free_port()).collect();
        let mut levels = TwoLevels::workers(program, config, planner_at, workers);
        for at in 0..planners {
            levels.planners.push(None);
            levels.restart_planner(at);
        }
        levels.forward(forwarders);
        levels
    }

    /// Starts workers only, for a test that simulates the planners.
    pub fn workers(program: &Path, config: &str, planner_at: Vec<SocketAddr>, workers: usize) -> TwoLevels {
        let all: Vec<Worker> =
            (0..workers).map(|at| worker(program, config, &format!("w{at}"), None, "WARM")).collect();
        TwoLevels {
            program: program.to_path_buf(),
            config: config.to_string(),
            planners: Vec::new(),
            forwarders: Vec::new(),
            planner_at,
            worker_at: all.iter().map(|worker| worker.place.server).collect(),
            workers: all.into_iter().map(Some).collect(),
        }
    }

    /// Starts `forwarders` forwarders.
    pub fn forward(&mut self, forwarders: usize) {
        for at in 0..forwarders {
            let forwarder = self.member("forward", &format!("f{at}"), free_port());
            self.forwarders.push(Some(forwarder));
        }
    }

    fn operator(&self, listen: SocketAddr) -> String {
        let list = |all: &[SocketAddr], prefix: &str, rest: &str| {
            let one = |(at, address): (usize, &SocketAddr)| {
                format!("{{name: \"{prefix}{at}\", address: \"{address}\"{rest}}}")
            };
            all.iter().enumerate().map(one).collect::<Vec<_>>().join(", ")
        };
        // Slots for active runs and for queued requests.
        let places = format!(", places: {}", CORES * 2);
        let (planners, workers) = (list(&self.planner_at, "p", ""), list(&self.worker_at, "w", &places));
        format!("tier: {{listen: \"{listen}\", planners: [{planners}], workers: [{workers}]}}")
    }

    fn member(&self, role: &str, name: &str, listen: SocketAddr) -> Deployment {
        Deployment::start_as(&self.program, role, &self.config, &self.operator(listen), |all| {
            all["name"] = json!(name);
            all["settings"]["customers"] = json!([]);
            all["stop_ms"] = json!(20_000);
        })
    }

    /// Starts a planner again at its previous address.
    pub fn restart_planner(&mut self, at: usize) {
        let planner = self.member("plan", &format!("p{at}"), self.planner_at[at]);
        self.planners[at] = Some(planner);
    }

    pub fn restart_worker(&mut self, at: usize) {
        self.restart_worker_as(at, "WARM");
    }

    pub fn restart_worker_as(&mut self, at: usize, how: &str) {
        let worker = worker(&self.program, &self.config, &format!("w{at}"), Some(self.worker_at[at]), how);
        self.workers[at] = Some(worker);
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.forwarders.iter().flatten().map(|place| place.server).collect()
    }

    /// Bodies of the runs of all workers.
    pub fn ran(&self) -> Vec<String> {
        let lists = self.workers.iter().flatten().map(|worker| worker.ran.lock().expect("the list").clone());
        lists.flatten().collect()
    }
}

/// The outcome of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Got {
    pub operation: &'static str,
    pub how: &'static str,
    pub took: Duration,
}

/// Sends `many` requests at fixed times, independent of the outcomes of earlier requests, to the servers in `to` in turn. The position
/// of a request determines its request class. Waits for all outcomes; a request without a response counts as lost.
pub fn send_steadily(to: &[SocketAddr], name: &str, many: usize, gap: Duration) -> Vec<Got> {
    let began = Instant::now();
    let clients: Vec<_> = (0..many)
        .map(|at| {
            let (address, due) = (to[at % to.len()], began + gap * at as u32);
            let (operation, body) = (if at % 3 == 2 { "report" } else { "lookup" }, format!("{name}-{at}"));
            let id = format!(
                "{:08x}{at:08x}",
                body.bytes().fold(7u32, |sum, byte| sum.wrapping_mul(31) + u32::from(byte))
            );
            thread::Builder::new().stack_size(128 * 1024).spawn(move || {
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let sent_at = Instant::now();
                let how = match std::net::TcpStream::connect(address) {
                    Err(_) => "refused",
                    Ok(stream) => {
                        let mut router = Router(crate::Link::new(stream));
                        router.0.try_send(&request_frame(1, &id, operation, body.as_bytes()));
                        router.try_answer().unwrap_or("lost")
                    }
                };
                Got { operation, how, took: sent_at.elapsed() }
            })
        })
        .collect();
    clients
        .into_iter()
        .map(|client| client.expect("to start a thread").join().expect("the client thread to end"))
        .collect()
}

pub fn served_value(all: &[Got]) -> f64 {
    all.iter().filter(|got| got.how == "succeeded").map(|got| value(got.operation)).sum()
}

pub fn ran_twice(ran: &[String]) -> usize {
    let mut sorted_bodies = ran.to_vec();
    sorted_bodies.sort_unstable();
    sorted_bodies.windows(2).filter(|two| two[0] == two[1]).count()
}
