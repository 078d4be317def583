//! Two levels on loopback: planners, forwarders and workers, each the real program, each worker with a kernel stand-in.

use crate::{invocation, run_cores, Kernel, Place, Router};
use cypresscleat_fault_injection::free_port;
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Cores of a worker, and what runs take there.
pub const CORES: u32 = 2;

pub fn work(operation: &str) -> Duration {
    Duration::from_millis(if operation == "lookup" { 8 } else { 30 })
}

/// Billed value by operation, as in the example's configuration.
pub fn value(operation: &str) -> f64 {
    if operation == "lookup" {
        3.0
    } else {
        1.0
    }
}

pub struct Worker {
    pub place: Place,
    /// Bodies of all that it ran.
    pub ran: Arc<Mutex<Vec<String>>>,
}

pub struct Levels {
    program: PathBuf,
    config: String,
    pub planners: Vec<Option<Place>>,
    pub forwarders: Vec<Option<Place>>,
    pub workers: Vec<Option<Worker>>,
    planner_at: Vec<SocketAddr>,
    worker_at: Vec<SocketAddr>,
}

/// `how` its kernel comes up, `WARM` or `COLD`; a cold one has a quarter of its speed.
pub fn worker(program: &Path, config: &str, name: &str, listen: Option<SocketAddr>, how: &str) -> Worker {
    let place = Place::start_with(program, config, "", |all| {
        all["name"] = json!(name);
        all["customers"] = json!([]);
        all["settings"]["customers"] = json!([]);
        all["settings"]["specifics"]["cores"] = json!(CORES);
        all["settings"]["specifics"]["class_calls"] = json!([false, false]);
        all["stop_ms"] = json!(20_000);
        // Its own for good: it may be started again there.
        all["listen"] = json!(listen.unwrap_or_else(free_port).to_string());
    });
    let (mut kernel, _) = Kernel::accept(&place.kernel);
    kernel.boot(how);
    place.logged("kernel up");
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    run_cores(kernel, f64::from(CORES) * if how == "COLD" { 0.25 } else { 1.0 }, work, ran.clone());
    Worker { place, ran }
}

impl Levels {
    pub fn start(program: &Path, config: &str, planners: usize, forwarders: usize, workers: usize) -> Levels {
        let planner_at = (0..planners).map(|_| free_port()).collect();
        let mut levels = Levels::workers(program, config, planner_at, workers);
        for at in 0..planners {
            levels.planners.push(None);
            levels.restart_planner(at);
        }
        levels.forward(forwarders);
        levels
    }

    /// Workers only, and planners that somebody else plays.
    pub fn workers(program: &Path, config: &str, planner_at: Vec<SocketAddr>, workers: usize) -> Levels {
        let all: Vec<Worker> =
            (0..workers).map(|at| worker(program, config, &format!("w{at}"), None, "WARM")).collect();
        Levels {
            program: program.to_path_buf(),
            config: config.to_string(),
            planners: Vec::new(),
            forwarders: Vec::new(),
            planner_at,
            worker_at: all.iter().map(|worker| worker.place.server).collect(),
            workers: all.into_iter().map(Some).collect(),
        }
    }

    pub fn forward(&mut self, forwarders: usize) {
        for at in 0..forwarders {
            let forwarder = self.member("forward", &format!("f{at}"), free_port());
            self.forwarders.push(Some(forwarder));
        }
    }

    fn operator(&self, listen: SocketAddr) -> String {
        let list = |all: &[SocketAddr], letter: &str, rest: &str| {
            let one = |(at, address): (usize, &SocketAddr)| {
                format!("{{name: \"{letter}{at}\", address: \"{address}\"{rest}}}")
            };
            all.iter().enumerate().map(one).collect::<Vec<_>>().join(", ")
        };
        // Room for what runs and for what its line may hold.
        let places = format!(", places: {}", CORES * 2);
        let (planners, workers) = (list(&self.planner_at, "p", ""), list(&self.worker_at, "w", &places));
        format!("tier: {{listen: \"{listen}\", planners: [{planners}], workers: [{workers}]}}")
    }

    fn member(&self, role: &str, name: &str, listen: SocketAddr) -> Place {
        Place::start_as(&self.program, role, &self.config, &self.operator(listen), |all| {
            all["name"] = json!(name);
            all["settings"]["customers"] = json!([]);
            all["stop_ms"] = json!(20_000);
        })
    }

    /// It is there again, under its old address.
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

    /// Bodies of all that was run anywhere.
    pub fn ran(&self) -> Vec<String> {
        let lists = self.workers.iter().flatten().map(|worker| worker.ran.lock().expect("the list").clone());
        lists.flatten().collect()
    }
}

/// What one that asked got.
#[derive(Clone, Debug, PartialEq)]
pub struct Got {
    pub operation: &'static str,
    pub how: &'static str,
    pub took: Duration,
}

/// Sends invocations at set times, whatever became of those before, each to the next of `to`; the operation by its number.
/// Waits for all. One that got no answer counts as lost.
pub fn trickle(to: &[SocketAddr], name: &str, many: usize, gap: Duration) -> Vec<Got> {
    let began = Instant::now();
    let callers: Vec<_> = (0..many)
        .map(|at| {
            let (address, due) = (to[at % to.len()], began + gap * at as u32);
            let (operation, body) = (if at % 3 == 2 { "report" } else { "lookup" }, format!("{name}-{at}"));
            let id = format!(
                "{:08x}{at:08x}",
                body.bytes().fold(7u32, |sum, byte| sum.wrapping_mul(31) + u32::from(byte))
            );
            thread::Builder::new().stack_size(128 * 1024).spawn(move || {
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let asked = Instant::now();
                let how = match std::net::TcpStream::connect(address) {
                    Err(_) => "refused",
                    Ok(stream) => {
                        let mut router = Router(crate::Link::new(stream));
                        router.0.try_send(&invocation(1, &id, operation, body.as_bytes()));
                        router.try_answer().unwrap_or("lost")
                    }
                };
                Got { operation, how, took: asked.elapsed() }
            })
        })
        .collect();
    callers.into_iter().map(|caller| caller.expect("a thread").join().expect("its end")).collect()
}

pub fn served_value(all: &[Got]) -> f64 {
    all.iter().filter(|got| got.how == "succeeded").map(|got| value(got.operation)).sum()
}

pub fn ran_twice(ran: &[String]) -> usize {
    let mut sorted = ran.to_vec();
    sorted.sort_unstable();
    sorted.windows(2).filter(|two| two[0] == two[1]).count()
}
