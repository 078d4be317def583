//! Deployment for policy rollouts on loopback: control replicas, optional relays by zone, and app servers with executor stand-ins under
//! steady load. Policy changes are proposed through the command line while faults are injected. The journal records the events of each
//! process on one monotonic clock; the clients count the outcomes of their requests.

use crate::owners::replica_links;
use crate::{request_frame, run_cores, Kernel, Link, Router};
use cypresscleat_fault_injection::{chance, free_port, Disk, Net, Order, Process};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Parameters of a test deployment.
pub struct Setup<'a> {
    pub program: &'a Path,
    pub config: &'a str,
    pub keepers: usize,
    pub members: usize,
    /// Additional text for the operator's file of a member, besides the control replicas and its folder.
    pub more: &'a dyn Fn(usize) -> String,
    /// Changes to the platform's configuration of a member.
    pub own: &'a dyn Fn(usize, &mut Value),
    pub seed: u64,
}

/// Request counts as seen by the clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    pub asked: u64,
    pub answered: u64,
    pub succeeded: u64,
    pub throttled: u64,
    /// Requests without a response, except those whose member was suspended or killed meanwhile.
    pub lost: u64,
    /// Maximum latency of a successful request, in milliseconds.
    pub longest_ms: u64,
}

/// A running test deployment. When it is dropped, its processes end and its folder is deleted, unless the test failed.
pub struct Stage {
    pub net: Net,
    pub keepers: Vec<Process>,
    pub relays: Vec<Process>,
    pub members: Vec<Process>,
    pub at: Vec<SocketAddr>,
    pub faults: Vec<String>,
    program: PathBuf,
    folder: PathBuf,
    config: String,
    /// Fault counter of each member, odd while the member is down or suspended. Clients use it to exclude requests lost to a fault.
    fault_count: Arc<Vec<AtomicU64>>,
    request_counts: Arc<Mutex<RequestCounts>>,
    is_stopping: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    pub ran: Arc<Mutex<Vec<String>>>,
    own: Mutex<Vec<Value>>,
}

impl Stage {
    pub fn start(setup: &Setup) -> Stage {
        Stage::start_behind(setup, 0, &|_| Vec::new())
    }

    /// Like `start`, with `relays` relays. `behind` returns the relays that a member polls; if empty, the member polls the control replicas.
    pub fn start_behind(setup: &Setup, relays: usize, behind: &dyn Fn(usize) -> Vec<usize>) -> Stage {
        let net = Net::new(setup.seed);
        let folder = std::env::temp_dir().join(format!(
            "cypresscleat-rollout-{}-{}",
            std::process::id(),
            free_port().port()
        ));
        std::fs::create_dir_all(&folder).expect("to create a folder");
        let own: Vec<SocketAddr> = (0..setup.keepers).map(|_| free_port()).collect();
        let replica_addresses = replica_links(&net, &own);
        let write_operator_file = |name: &str, rest: &str| {
            let at = |replica: usize| match replica_addresses.get(name) {
                Some(found) => found[replica],
                None if name == "operator" => own[replica],
                None => net.datagrams(name, &format!("k{replica}"), own[replica]),
            };
            let all: Vec<String> = (0..setup.keepers)
                .map(|one| format!("{{name: \"k{one}\", address: \"{}\"}}", at(one)))
                .collect();
            let path = folder.join(format!("{name}.cue"));
            let disk = if rest.is_empty() {
                format!(", folder: \"{}\"", folder.join(name).display())
            } else {
                String::new()
            };
            let text = format!("keepers: {{lease: 1s, all: [{}]{disk}}}\n{rest}\n", all.join(", "));
            std::fs::write(&path, text).expect("to write the operator's file");
            path.display().to_string()
        };
        let journal = folder.join("journal").display().to_string();
        let mut keepers = Vec::new();
        for at in 0..setup.keepers {
            let name = format!("k{at}");
            let path = write_operator_file(&name, "");
            let words = ["keep", "--operator", &path, "--name", &name];
            let process = Process::new(&name, setup.program, &words).env("CLEAT_TEST_JOURNAL", &journal);
            keepers.push(process.disk(&folder.join(&name)));
        }
        write_operator_file("operator", " ");
        let relay_addresses: Vec<SocketAddr> = (0..relays).map(|_| free_port()).collect();
        let mut relay_processes = Vec::new();
        for (at, listen) in relay_addresses.iter().enumerate() {
            let name = format!("r{at}");
            let disk = folder.join(format!("disk-{name}"));
            let rest = format!("relay: {{listen: \"{listen}\", folder: \"{}\"}}", disk.display());
            let path = write_operator_file(&name, &rest);
            let words = ["relay", "--operator", &path, "--name", &name];
            relay_processes.push(Process::new(&name, setup.program, &words).disk(&disk));
        }
        let ran: Arc<Mutex<Vec<String>>> = Arc::default();
        let mut stage = Stage {
            net: net.clone(),
            keepers,
            relays: relay_processes,
            members: Vec::new(),
            at: Vec::new(),
            faults: Vec::new(),
            program: setup.program.to_path_buf(),
            folder: folder.clone(),
            config: setup.config.to_string(),
            fault_count: Arc::new((0..64).map(|_| AtomicU64::new(0)).collect()),
            request_counts: Arc::default(),
            is_stopping: Arc::default(),
            clients: Vec::new(),
            ran,
            own: Mutex::default(),
        };
        for at in 0..setup.members {
            let name = format!("m{at}");
            let zone_relays: Vec<String> = behind(at)
                .into_iter()
                .map(|relay| {
                    let address = net.datagrams(&name, &format!("r{relay}"), relay_addresses[relay]);
                    format!("{{name: \"r{relay}\", address: \"{address}\"}}")
                })
                .collect();
            let relays = match zone_relays.is_empty() {
                true => String::new(),
                false => format!("relays: [{}], ", zone_relays.join(", ")),
            };
            let rest = format!(
                "rollout: {{{relays}folder: \"{}\"}}\n{}",
                folder.join(format!("disk-{name}")).display(),
                (setup.more)(at)
            );
            let path = write_operator_file(&name, &rest);
            stage.member("serve", &name, &path, &|all| (setup.own)(at, all));
        }
        stage.all().for_each(Process::start);
        stage
    }

    /// Adds an app server with its stand-ins, without starting the server.
    pub fn member(&mut self, role: &str, name: &str, operator: &str, change: &dyn Fn(&mut Value)) {
        let address = free_port();
        let listen = || TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
        let (kernel, ledger, roster) = (listen(), listen(), listen());
        let json_address =
            |listener: &TcpListener| json!(listener.local_addr().expect("an address").to_string());
        let mut all: Value = serde_json::from_str(&self.config).expect("JSON");
        (all["listen"], all["name"]) = (json!(address.to_string()), json!(name));
        (all["kernel"], all["ledger"], all["roster"]) =
            (json_address(&kernel), json_address(&ledger), json_address(&roster));
        all["settings"]["customers"] = json!([]);
        all["settings"]["specifics"]["cores"] = json!(4);
        all["settings"]["specifics"]["class_calls"] = json!([false, false]);
        all["stop_ms"] = json!(20_000);
        change(&mut all);
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, all.to_string()).expect("to write the configuration");
        let journal = self.folder.join("journal").display().to_string();
        let process = Process::new(name, &self.program, &[role, "--operator", operator])
            .env("EDGE_CONFIG", &path.display().to_string())
            .env("CLEAT_TEST_JOURNAL", &journal)
            .disk(&self.folder.join(format!("disk-{name}")));
        let ran = self.ran.clone();
        // One executor for each incarnation of the app server; a panic of a stand-in ends only the thread of that incarnation.
        thread::spawn(move || loop {
            if let Some(kernel) = Kernel::try_accept(&kernel, "WARM") {
                run_cores(kernel, 4.0, |_| Duration::from_millis(10), ran.clone());
            }
        });
        for listener in [ledger, roster] {
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    thread::spawn(move || {
                        let mut link = Link::new(stream);
                        while crate::report(&mut link, "204 No Content").is_some() {}
                    });
                }
            });
        }
        self.members.push(process);
        self.at.push(address);
        self.own.lock().expect("the list").push(all);
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }

    pub fn operator(&self, name: &str) -> String {
        self.folder.join(format!("{name}.cue")).display().to_string()
    }

    fn all(&mut self) -> impl Iterator<Item = &mut Process> {
        self.keepers.iter_mut().chain(&mut self.relays).chain(&mut self.members)
    }

    pub fn process(&mut self, name: &str) -> &mut Process {
        self.all().find(|one| one.name == name).unwrap_or_else(|| panic!("no process {name}"))
    }

    /// Adds an event to the journal that the process can't record itself: it was killed, suspended or resumed.
    fn record_event(&self, name: &str, event: &str) {
        let at = monotonic();
        let line = format!("{{\"at_ns\":{at},\"member\":\"{name}\",\"event\":\"{event}\",\"version\":0}}\n");
        let file = std::fs::File::options().append(true).create(true).open(self.folder.join("journal"));
        let _ = file.and_then(|mut file| std::io::Write::write_all(&mut file, line.as_bytes()));
    }

    /// Applies an order to a link or a process.
    pub fn apply_order(&mut self, order: &Order) {
        self.faults.push(format!("{order:?}"));
        if self.net.apply_order(order) {
            return;
        }
        // The counter is odd while the member can't respond: clients don't count requests lost then, or while the counter changed.
        let record_fault = |stage: &Stage, name: &str, on: bool| {
            if let Some(at) = stage.members.iter().position(|one| one.name == name) {
                let now = stage.fault_count[at].load(Ordering::SeqCst);
                let step = if (now % 2 == 1) == on { 2 } else { 1 };
                stage.fault_count[at].store(now + step, Ordering::SeqCst);
            }
        };
        match order {
            Order::Stop(name) => {
                record_fault(self, name, true);
                self.process(name).stop();
                self.record_event(name, "stopped");
            }
            Order::Wake(name) => {
                self.record_event(name, "woken");
                self.process(name).wake();
                record_fault(self, name, false);
            }
            Order::Kill(name) => {
                record_fault(self, name, true);
                self.process(name).kill();
                self.record_event(name, "killed");
            }
            Order::Start(name, disk) => {
                record_fault(self, name, true);
                self.process(name).start_with(*disk);
                record_fault(self, name, false);
            }
            Order::Keep(name) => self.process(name).keep(),
            Order::End(name) => {
                record_fault(self, name, true);
                self.process(name).end();
            }
            _ => {}
        }
    }

    /// Waits until the log of a process has at least `many` lines that contain `words`.
    pub fn logged(&self, name: &str, words: &str, many: usize, within: Duration) -> bool {
        let until = Instant::now() + within;
        loop {
            let all = self.keepers.iter().chain(&self.relays).chain(&self.members);
            let process = all.clone().find(|one| one.name == name);
            let found =
                process.map_or(0, |one| one.log().iter().filter(|line| line.1.contains(words)).count());
            if found >= many {
                return true;
            }
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Runs the command `policy`; returns its output as JSON and its exit code.
    pub fn policy(&self, words: &[&str]) -> (Vec<Value>, i32) {
        let path = self.operator("operator");
        let output = std::process::Command::new(&self.program)
            .arg("policy")
            .args(words)
            .args(["--operator", &path, "--json"])
            .output()
            .expect("to run the program");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let lines = text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
        (lines, output.status.code().unwrap_or(-1))
    }

    /// Proposes a policy document and waits up to `wait` seconds for the decision.
    pub fn propose(&self, text: &str, wait: u64) -> (Vec<Value>, i32) {
        let path = self.folder.join(format!("policy-{}.cue", monotonic()));
        std::fs::write(&path, text).expect("to write a policy");
        let (path, wait) = (path.display().to_string(), wait.to_string());
        self.policy(&["propose", "--text", &path, "--wait", &wait, "--by", "rig"])
    }

    /// Waits until the control replicas report exactly `members` members, all with `version` active.
    pub fn all_have(&self, version: u64, members: usize, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            let (lines, code) = self.policy(&["status"]);
            if let (Some(one), 0) = (lines.first(), code) {
                let all = one["members"].as_array().map_or(&[][..], Vec::as_slice);
                let active = all.iter().filter(|member| member["version"] == json!(version)).count();
                if one["in_force"] == json!(version) && (active, all.len()) == (members, members) {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(30));
        }
        false
    }

    /// Waits until all these members serve under `version`, according to the journal: the control replicas don't know members behind relays.
    pub fn serve_under(&self, version: u64, members: &[usize], within: Duration) -> bool {
        let until = Instant::now() + within;
        loop {
            let mut state: BTreeMap<String, Option<u64>> = BTreeMap::new();
            for line in self.journal() {
                let Some(member) = line["member"].as_str() else { continue };
                match line["event"].as_str() {
                    Some("in_force") => drop(state.insert(member.into(), line["version"].as_u64())),
                    Some("started" | "out_of_service" | "killed") => drop(state.insert(member.into(), None)),
                    _ => {}
                }
            }
            let is_serving = |at: &usize| state.get(&format!("m{at}")) == Some(&Some(version));
            if members.iter().all(is_serving) {
                return true;
            }
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Starts `each` clients for each member, which send requests one after the other with a pause between them.
    pub fn load(&mut self, each: usize, pause: Duration) {
        for at in 0..self.at.len() {
            for client in 0..each {
                let (address, fault_count, request_counts, is_stopping) = (
                    self.at[at],
                    self.fault_count.clone(),
                    self.request_counts.clone(),
                    self.is_stopping.clone(),
                );
                let client = thread::Builder::new().stack_size(256 * 1024).spawn(move || {
                    let mut count = 0u64;
                    while !is_stopping.load(Ordering::SeqCst) {
                        count += 1;
                        let txn = format!("{:04x}{:04x}{count:08x}", at + 1, client + 1);
                        let before = fault_count[at].load(Ordering::SeqCst);
                        let began = Instant::now();
                        // Without a listener no request was sent.
                        let Some(outcome) = send_request(address, &txn, count) else {
                            thread::sleep(pause);
                            continue;
                        };
                        let had_fault = before % 2 == 1 || fault_count[at].load(Ordering::SeqCst) != before;
                        let mut request_counts = request_counts.lock().expect("the client counts");
                        if outcome.is_some() || !had_fault {
                            request_counts.asked += 1;
                            request_counts.answered += u64::from(outcome.is_some());
                            request_counts.lost += u64::from(outcome.is_none());
                            request_counts.throttled += u64::from(outcome == Some("throttled"));
                            if outcome == Some("succeeded") {
                                request_counts.succeeded += 1;
                                request_counts.longest_ms =
                                    request_counts.longest_ms.max(began.elapsed().as_millis() as u64);
                            }
                        }
                        drop(request_counts);
                        thread::sleep(pause);
                    }
                });
                self.clients.push(client.expect("to start a thread"));
            }
        }
    }

    pub fn request_counts(&self) -> RequestCounts {
        *self.request_counts.lock().expect("the client counts")
    }

    /// Ends the load; returns the counts of the clients.
    pub fn rests(&mut self) -> RequestCounts {
        self.is_stopping.store(true, Ordering::SeqCst);
        self.clients.drain(..).for_each(|client| drop(client.join()));
        self.is_stopping.store(false, Ordering::SeqCst);
        self.request_counts()
    }

    /// Clears all link faults, resumes suspended processes and restarts ended ones.
    pub fn heal(&mut self) {
        self.apply_order(&Order::Heal);
        let names: Vec<(String, bool, bool)> =
            self.all().map(|one| (one.name.clone(), one.is_stopped(), one.runs())).collect();
        for (name, stopped, runs) in names {
            if stopped {
                self.apply_order(&Order::Wake(name));
            } else if !runs {
                self.apply_order(&Order::Start(name, Disk::Old));
            }
        }
    }

    /// Injects faults drawn from the seed and proposes a policy change every few seconds, for `time`. Returns the proposed documents by
    /// their version.
    pub fn faults(
        &mut self,
        seed: u64,
        time: Duration,
        texts: &dyn Fn(u64) -> String,
    ) -> BTreeMap<u64, String> {
        let until = Instant::now() + time;
        let mut scheduled: Vec<(Instant, Order)> = Vec::new();
        let (mut proposed, mut next_change, mut count) = (BTreeMap::new(), Instant::now(), 0u64);
        while Instant::now() < until {
            count += 1;
            let draw = |at: u64| chance(seed, "rollout", count * 16 + at);
            let below = |at: u64, many: usize| ((draw(at) * many as f64) as usize).min(many - 1);
            let named = |all: &mut dyn Iterator<Item = &Process>| -> Vec<String> {
                all.map(|one| one.name.clone()).collect()
            };
            // A relay fails like a member, and members poll it like a control replica. At most one relay is down at a time.
            let relay_down = scheduled.iter().any(
                |(_, order)| matches!(order, Order::Start(one, _) | Order::Wake(one) if one.starts_with('r')),
            );
            let lower_names =
                named(&mut self.members.iter().chain(self.relays.iter().filter(|_| !relay_down)));
            let upper_names = named(&mut self.keepers.iter().chain(&self.relays));
            let (member, upper) = (
                lower_names[below(1, lower_names.len())].clone(),
                upper_names[below(2, upper_names.len())].clone(),
            );
            let replica = self.keepers[below(2, self.keepers.len())].name.clone();
            let after = |seconds: f64| Instant::now() + Duration::from_secs_f64(seconds);
            let has_scheduled_recovery = |name: &str| {
                scheduled
                    .iter()
                    .any(|(_, order)| matches!(order, Order::Wake(one) | Order::Start(one, _) if one == name))
            };
            // A majority of control replicas stays up so that changes can be decided, though not always at once.
            let all_replicas_up = !scheduled.iter().any(
                |(_, order)| matches!(order, Order::Start(one, _) | Order::Wake(one) if one.starts_with('k')),
            );
            let (hold, disk) = (0.2 + 3.0 * draw(3), if draw(4) < 0.25 { Disk::Empty } else { Disk::Old });
            let order = match below(0, 10) {
                0 | 1 if !has_scheduled_recovery(&member) => {
                    scheduled.push((after(hold), Order::Wake(member.clone())));
                    Some(Order::Stop(member))
                }
                2 | 3 if !has_scheduled_recovery(&member) => {
                    scheduled.push((after(hold), Order::Start(member.clone(), disk)));
                    Some(Order::Kill(member))
                }
                4 => {
                    scheduled.push((after(hold), Order::Heal));
                    let upper_names = upper_names.into_iter().filter(|one| *one != member).collect();
                    Some(Order::Cut(vec![vec![member], upper_names]))
                }
                5 => Some(Order::OneWay(upper, member)),
                6 => Some(Order::Slow(member, upper, Duration::from_millis((400.0 * draw(5)) as u64))),
                7 => Some(Order::Lose(member, upper, 0.3)),
                8 if all_replicas_up && !has_scheduled_recovery(&replica) => {
                    scheduled.push((after(hold / 2.0), Order::Start(replica.clone(), Disk::Old)));
                    Some(Order::Kill(replica))
                }
                9 if all_replicas_up && !has_scheduled_recovery(&replica) => {
                    scheduled.push((after(hold / 2.0), Order::Wake(replica.clone())));
                    Some(Order::Stop(replica))
                }
                _ => None,
            };
            if let Some(order) = order {
                self.apply_order(&order);
            }
            if Instant::now() >= next_change {
                next_change = Instant::now() + Duration::from_secs_f64(0.5 + 2.5 * draw(6));
                let text = texts(count);
                let (lines, _) = self.propose(&text, 0);
                if let Some(version) = lines.first().and_then(|line| line["version"].as_u64()) {
                    proposed.insert(version, text);
                }
            }
            let next = Instant::now() + Duration::from_secs_f64(0.1 + 0.7 * draw(7));
            while Instant::now() < next {
                let (due, rest): (Vec<_>, Vec<_>) =
                    scheduled.into_iter().partition(|(at, _)| *at <= Instant::now());
                scheduled = rest;
                due.iter().for_each(|(_, order)| self.apply_order(order));
                thread::sleep(Duration::from_millis(5));
            }
        }
        self.heal();
        proposed
    }

    /// The journal of all processes, sorted by the shared clock. Of each decision only the first record is included.
    pub fn journal(&self) -> Vec<Value> {
        let text = std::fs::read_to_string(self.folder.join("journal")).unwrap_or_default();
        let mut all: Vec<Value> = text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
        all.sort_by_key(|line| line["at_ns"].as_u64());
        let mut seen_decisions = BTreeSet::new();
        all.retain(|line| {
            let decision = line["member"].is_null();
            !decision || seen_decisions.insert((line["event"].to_string(), line["version"].as_u64()))
        });
        all
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.is_stopping.store(true, Ordering::SeqCst);
        self.keepers.clear();
        self.relays.clear();
        self.members.clear();
        if !thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The monotonic clock that the processes use too, in nanoseconds.
pub fn monotonic() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64
}

/// Sends one request. `None` if it could not be sent, `Some(None)` if it got no response.
fn send_request(address: SocketAddr, txn: &str, count: u64) -> Option<Option<&'static str>> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let request_class = if count.is_multiple_of(3) { "report" } else { "lookup" };
    let mut router = Router(Link::new(stream));
    if !router.0.try_send(&request_frame(1, txn, request_class, txn.as_bytes())) {
        return None;
    }
    Some(router.silent_response())
}

/// Results of the check of a journal.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CheckReport {
    pub taken: usize,
    pub dropped: usize,
    pub admitted: usize,
    /// Violations: activations of or admissions under a version that was not committed; admissions under an older version later than the bound after the
    /// first member activated a newer one; and, where the newer version has a barrier, any admission under an older version after that.
    pub wrong: usize,
    /// Maximum time from the first activation of a version to the last admission under an older version.
    pub mixture_ms: f64,
}

/// Checks a journal. `together` returns whether a version has a barrier, so that no two members run different versions.
pub fn check_invariants(journal: &[Value], bound_ms: f64, together: &dyn Fn(u64) -> bool) -> CheckReport {
    let mut check_report = CheckReport::default();
    let number = |line: &Value, key: &str| line[key].as_u64().unwrap_or(0);
    let (mut committed, mut first_active): (BTreeSet<u64>, BTreeMap<u64, u64>) =
        ([0].into(), BTreeMap::new());
    for line in journal {
        let (at, version) = (number(line, "at_ns"), number(line, "version"));
        match line["event"].as_str() {
            Some("taken") => {
                check_report.taken += 1;
                committed.insert(version);
            }
            Some("dropped") => check_report.dropped += 1,
            Some("in_force") => {
                check_report.wrong += usize::from(!committed.contains(&version));
                first_active.entry(version).or_insert(at);
            }
            Some("admitted") => {
                check_report.admitted += 1;
                check_report.wrong += usize::from(!committed.contains(&version));
                for (_, from) in first_active.range(version + 1..).filter(|(newer, _)| together(**newer)) {
                    check_report.wrong += usize::from(at > *from);
                }
                if let Some((_, from)) = first_active.range(version + 1..).next() {
                    let mixed = at.saturating_sub(*from) as f64 / 1e6;
                    check_report.mixture_ms = check_report.mixture_ms.max(mixed);
                    check_report.wrong += usize::from(mixed > bound_ms);
                }
            }
            _ => {}
        }
    }
    check_report
}

/// Number of repeated runs, by request body.
pub fn ran_twice(ran: &Mutex<Vec<String>>) -> usize {
    crate::tier::ran_twice(&ran.lock().expect("the list"))
}
