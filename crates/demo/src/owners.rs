//! Deployment for partition ownership on loopback: control replicas and instances that own partitions of a tally, all running the real
//! program, and a simulated ledger on which the owners act, with faults between them. The ledger's journal records each operation on one
//! clock: who sent it, under which fencing token, and whether it took effect.

use cypresscleat_fault_injection::{chance, free_port, Disk, Net, Order, Process};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An operation that reached the ledger.
#[derive(Clone, Debug)]
pub struct Act {
    pub at: Instant,
    pub part: u64,
    pub item: u64,
    pub token: u64,
    pub by: String,
    /// Whether it took effect: its fencing token was not older than the highest seen, and the item was not done yet.
    pub taken: bool,
    /// Whether the item was already done, under this or an earlier fencing token.
    pub before: bool,
    /// Whether its fencing token was older than the highest seen: rejected, whether or not the item was done.
    pub older: bool,
    /// The whole message.
    pub said: Value,
}

#[derive(Default)]
struct LedgerState {
    highest: BTreeMap<u64, u64>,
    done: BTreeSet<(u64, u64)>,
    acts: Vec<Act>,
}

/// The simulated ledger: a write conditional on the fencing token, and a number for each item.
#[derive(Clone)]
pub struct Ledger {
    pub address: SocketAddr,
    state: Arc<Mutex<LedgerState>>,
}

impl Ledger {
    pub fn start() -> Ledger {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
        let address = listener.local_addr().expect("an address");
        let ledger = Ledger { address, state: Arc::default() };
        let own = ledger.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        ledger
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(reader) = stream.try_clone() else { return };
        for line in BufReader::new(reader).lines().map_while(Result::ok) {
            let Ok(act) = serde_json::from_str::<Value>(&line) else { return };
            let response = self.apply(&act);
            if stream.write_all(format!("{response}\n").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn apply(&self, act: &Value) -> Value {
        let number = |key: &str| act[key].as_u64().unwrap_or(0);
        let (part, item, token) = (number("part"), number("item"), number("token"));
        let mut state = self.state.lock().expect("the state of the ledger");
        let highest = state.highest.entry(part).or_default();
        let current = token >= *highest;
        *highest = token.max(*highest);
        let highest = *highest;
        let before = state.done.contains(&(part, item));
        let taken = current && state.done.insert((part, item));
        let by = act["by"].as_str().unwrap_or("").to_string();
        state.acts.push(Act {
            at: Instant::now(),
            part,
            item,
            token,
            by,
            taken,
            before,
            older: !current,
            said: act.clone(),
        });
        json!({"part": part, "item": item, "taken": current, "token": highest})
    }

    pub fn journal(&self) -> Vec<Act> {
        self.state.lock().expect("the state of the ledger").acts.clone()
    }
}

/// Results of the check of a journal.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CheckReport {
    pub acts: usize,
    pub refused: usize,
    pub done_twice: usize,
    pub done_never: usize,
    /// Operations that took effect under a fencing token lower than that of an earlier effective operation.
    pub fell: usize,
}

pub fn check_invariants(acts: &[Act]) -> CheckReport {
    let mut check_report = CheckReport { acts: acts.len(), ..CheckReport::default() };
    let (mut done, mut highest) = (BTreeMap::<(u64, u64), u32>::new(), BTreeMap::<u64, u64>::new());
    for act in acts {
        check_report.refused += usize::from(act.older);
        if act.taken {
            *done.entry((act.part, act.item)).or_default() += 1;
            let high = highest.entry(act.part).or_default();
            check_report.fell += usize::from(act.token < *high);
            *high = act.token.max(*high);
        }
    }
    check_report.done_twice = done.values().filter(|count| **count > 1).count();
    let parts: BTreeSet<u64> = done.keys().map(|key| key.0).collect();
    for part in parts {
        let last = done.keys().filter(|key| key.0 == part).map(|key| key.1).max().unwrap_or(0);
        check_report.done_never += (0..=last).filter(|item| !done.contains_key(&(part, *item))).count();
    }
    check_report
}

/// Links the control replicas `k0`, `k1` and so on, which receive at `own`. Returns the addresses at which each reaches all, including
/// its own address for itself.
pub fn replica_links(net: &Net, own: &[SocketAddr]) -> BTreeMap<String, Vec<SocketAddr>> {
    let names: Vec<String> = (0..own.len()).map(|at| format!("k{at}")).collect();
    let mut found = vec![own.to_vec(); own.len()];
    for one in 0..own.len() {
        for other in one + 1..own.len() {
            let ends = ((names[one].as_str(), own[one]), (names[other].as_str(), own[other]));
            (found[one][other], found[other][one]) = net.peers(ends.0, ends.1);
        }
    }
    names.into_iter().zip(found).collect()
}

/// A running test deployment, with a proxy address for each pair of processes.
pub struct Stage {
    pub net: Net,
    pub ledger: Ledger,
    pub keepers: Vec<Process>,
    pub instances: Vec<Process>,
    pub began: Instant,
    /// Times and descriptions of the injected faults.
    pub faults: Vec<(Instant, String)>,
    program: PathBuf,
    folder: PathBuf,
}

/// Parameters of a test deployment.
pub struct Setup<'a> {
    pub program: &'a Path,
    pub keepers: usize,
    pub instances: usize,
    pub parts: u32,
    pub lease: Duration,
    pub every: Duration,
    pub seed: u64,
    /// Maximum clock drift of an instance, in parts per thousand.
    pub drift: i64,
}

impl Stage {
    pub fn start(setup: &Setup) -> Stage {
        let net = Net::new(setup.seed);
        let ledger = Ledger::start();
        let folder = std::env::temp_dir().join(format!(
            "cypresscleat-owners-{}-{}",
            std::process::id(),
            free_port().port()
        ));
        std::fs::create_dir_all(&folder).expect("to create a folder");
        let own: Vec<SocketAddr> = (0..setup.keepers).map(|_| free_port()).collect();
        let replica_addresses = replica_links(&net, &own);
        let file = |name: &str, rest: &str| {
            let at = |replica: usize| match replica_addresses.get(name) {
                Some(found) => found[replica],
                None if name == "operator" => own[replica],
                None => net.datagrams(name, &format!("k{replica}"), own[replica]),
            };
            let all: Vec<String> = (0..setup.keepers)
                .map(|one| format!("{{name: \"k{one}\", address: \"{}\"}}", at(one)))
                .collect();
            let lease = setup.lease.as_millis();
            let (all, path) = (all.join(", "), folder.join(format!("{name}.cue")));
            let text = format!(
                "keepers: {{lease: {lease}ms, all: [{all}]{}}}\n{rest}\n",
                if rest.is_empty() {
                    format!(", folder: \"{}\"", folder.join(name).display())
                } else {
                    String::new()
                }
            );
            std::fs::write(&path, text).expect("to write the operator's file");
            path.display().to_string()
        };
        let mut keepers = Vec::new();
        for at in 0..setup.keepers {
            let name = format!("k{at}");
            let path = file(&name, "");
            let words = ["keep", "--operator", &path, "--name", &name];
            keepers.push(Process::new(&name, setup.program, &words).disk(&folder.join(&name)));
        }
        let mut instances = Vec::new();
        for at in 0..setup.instances {
            let name = format!("n{at}");
            let ledger = net.streams(&name, "ledger", ledger.address);
            let (parts, every) = (setup.parts, setup.every.as_millis());
            let path =
                file(&name, &format!("tally: {{ledger: \"{ledger}\", parts: {parts}, every: {every}ms}}"));
            let rate = (chance(setup.seed, &name, 0) * (2 * setup.drift + 1) as f64) as i64 - setup.drift;
            let words = ["tally", "--operator", &path, "--name", &name];
            let clock = format!("{rate},{}", at * 3_600_000);
            instances.push(Process::new(&name, setup.program, &words).env("CLEAT_TEST_CLOCK", &clock));
        }
        file("operator", " ");
        let (program, began) = (setup.program.to_path_buf(), Instant::now());
        let mut stage = Stage { net, ledger, keepers, instances, began, faults: Vec::new(), program, folder };
        stage.all().for_each(Process::start);
        stage
    }

    /// The path of the operator's file of a process.
    pub fn operator(&self, name: &str) -> String {
        self.folder.join(format!("{name}.cue")).display().to_string()
    }

    /// Adds a control replica, not started yet, that some of the others may not know. Links are not added; returns its receive address.
    pub fn keeper(&mut self, name: &str) -> SocketAddr {
        let address = free_port();
        let path = self.operator(name);
        let words = ["keep", "--operator", &path, "--name", name];
        self.keepers.push(Process::new(name, &self.program, &words).disk(&self.folder.join(name)));
        address
    }

    /// Changes the operator's file of a process.
    pub fn rewrite(&self, name: &str, change: impl Fn(String) -> String) {
        let path = self.operator(name);
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        std::fs::write(&path, change(text)).expect("to write the operator's file");
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Creates another instance in the role `role`, not started yet. It reaches the control replicas directly, without proxies.
    pub fn also(&self, role: &str, name: &str, rest: &str) -> Process {
        let path = self.folder.join(format!("{name}.cue"));
        let keepers = std::fs::read_to_string(self.folder.join("operator.cue")).expect("the operator's file");
        std::fs::write(&path, format!("{keepers}\n{rest}\n")).expect("to write the operator's file");
        Process::new(name, &self.program, &[role, "--operator", &path.display().to_string(), "--name", name])
    }

    fn all(&mut self) -> impl Iterator<Item = &mut Process> {
        self.keepers.iter_mut().chain(self.instances.iter_mut())
    }

    pub fn process(&mut self, name: &str) -> &mut Process {
        self.all().find(|one| one.name == name).unwrap_or_else(|| panic!("no process {name}"))
    }

    /// Applies an order to a link or a process.
    pub fn apply_order(&mut self, order: &Order) {
        self.faults.push((Instant::now(), format!("{order:?}")));
        if self.net.apply_order(order) {
            return;
        }
        match order {
            Order::Stop(name) => self.process(name).stop(),
            Order::Wake(name) => self.process(name).wake(),
            Order::Kill(name) => self.process(name).kill(),
            Order::Start(name, disk) => self.process(name).start_with(*disk),
            Order::Keep(name) => self.process(name).keep(),
            Order::End(name) => self.process(name).end(),
            _ => {}
        }
    }

    /// The last log lines of each process, for the message of a failed test.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        for process in self.keepers.iter().chain(&self.instances) {
            let log = process.log();
            for (at, line) in log.iter().skip(log.len().saturating_sub(8)) {
                let at = at.saturating_duration_since(self.began).as_secs_f64();
                text += &format!("{at:8.3} {}: {line}\n", process.name);
            }
        }
        text
    }

    /// The output of `owners --json`, and its exit code.
    pub fn owners(&self) -> (Vec<Value>, i32) {
        self.command(&["--json"])
    }

    pub fn command(&self, words: &[&str]) -> (Vec<Value>, i32) {
        let path = self.folder.join("operator.cue").display().to_string();
        let output = std::process::Command::new(&self.program)
            .args(["owners", "--operator", &path])
            .args(words)
            .output();
        let output = output.expect("to run the program");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        (
            text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect(),
            output.status.code().unwrap_or(-1),
        )
    }

    /// The owner of a partition according to the control replicas.
    pub fn owner(&self, part: usize) -> Option<String> {
        let number: BTreeMap<String, String> =
            self.instances.iter().map(|one| (number(&one.name), one.name.clone())).collect();
        let (lines, _) = self.owners();
        let owner = lines.iter().find(|line| line["part"] == json!(part))?["owner"].as_str()?.to_string();
        number.get(&owner).cloned()
    }

    /// Waits until at least `more` further operations took effect.
    pub fn progress(&self, more: usize, within: Duration) -> bool {
        let taken = || self.ledger.journal().iter().filter(|act| act.taken).count();
        let (before, until) = (taken(), Instant::now() + within);
        while Instant::now() < until {
            if taken() >= before + more {
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }

    /// Clears all link faults, resumes suspended processes and restarts ended ones.
    pub fn heal(&mut self) {
        self.apply_order(&Order::Heal);
        for process in self.all() {
            if process.is_stopped() {
                process.wake();
            }
            if !process.runs() {
                process.start();
            }
        }
    }

    /// Injects faults drawn from the seed for `time`.
    pub fn faults(&mut self, seed: u64, time: Duration) {
        let (until, mut count) = (Instant::now() + time, 0);
        let mut scheduled: Vec<(Instant, Order)> = Vec::new();
        let mut last_disk_change = Instant::now();
        while Instant::now() < until {
            count += 1;
            let draw = |at: u64| chance(seed, "faults", count * 16 + at);
            let below = |at: u64, many: usize| ((draw(at) * many as f64) as usize).min(many - 1);
            let instance = self.instances[below(1, self.instances.len())].name.clone();
            let replica = self.keepers[below(2, self.keepers.len())].name.clone();
            let after = |seconds: f64| Instant::now() + Duration::from_secs_f64(seconds);
            let has_scheduled_recovery = |name: &str, scheduled: &[(Instant, Order)]| {
                scheduled
                    .iter()
                    .any(|(_, order)| matches!(order, Order::Wake(one) | Order::Start(one, _) if one == name))
            };
            let all_replicas_up = scheduled.iter().all(|(_, order)| !matches!(order, Order::Start(name, _) | Order::Wake(name) if name.starts_with('k')));
            let order = match below(0, 12) {
                0 | 1 if !has_scheduled_recovery(&instance, &scheduled) => {
                    scheduled.push((after(0.5 + 5.0 * draw(3)), Order::Wake(instance.clone())));
                    Some(Order::Stop(instance))
                }
                2 if !has_scheduled_recovery(&instance, &scheduled) => {
                    scheduled.push((after(0.2 + 2.0 * draw(3)), Order::Start(instance.clone(), Disk::Old)));
                    Some(Order::Kill(instance))
                }
                3 if !has_scheduled_recovery(&instance, &scheduled) => {
                    scheduled.push((after(1.5 + 2.0 * draw(3)), Order::Start(instance.clone(), Disk::Old)));
                    Some(Order::End(instance))
                }
                4 if !has_scheduled_recovery(&replica, &scheduled) => {
                    scheduled.push((after(0.2 + 2.0 * draw(3)), Order::Start(replica.clone(), Disk::Old)));
                    Some(Order::Kill(replica))
                }
                5 if !has_scheduled_recovery(&replica, &scheduled) => {
                    scheduled.push((after(0.2 + 2.0 * draw(3)), Order::Wake(replica.clone())));
                    Some(Order::Stop(replica))
                }
                // One replaced disk at a time, at least 6 s apart so that the other replicas can readmit the replica.
                6 if all_replicas_up && last_disk_change.elapsed() > Duration::from_secs(6) => {
                    self.apply_order(&Order::Heal);
                    last_disk_change = Instant::now();
                    Some(Order::Start(replica, if draw(3) < 0.5 { Disk::Empty } else { Disk::Older }))
                }
                7 => Some(Order::Keep(replica)),
                8 => {
                    let names = self
                        .keepers
                        .iter()
                        .chain(&self.instances)
                        .map(|one| one.name.clone())
                        .chain(["ledger".into()]);
                    let (one, other) =
                        names.enumerate().partition::<Vec<_>, _>(|(at, _)| draw(4 + *at as u64) < 0.5);
                    let side =
                        |side: Vec<(usize, String)>| side.into_iter().map(|one| one.1).collect::<Vec<_>>();
                    scheduled.push((after(0.5 + 3.0 * draw(3)), Order::Heal));
                    Some(Order::Cut(vec![side(one), side(other)]))
                }
                9 => Some(Order::OneWay(replica, instance)),
                10 => Some(Order::Slow(replica, instance, Duration::from_millis((200.0 * draw(3)) as u64))),
                _ => Some(Order::Lose(replica, instance, draw(3))),
            };
            if let Some(order) = order {
                self.apply_order(&order);
            }
            let next = Instant::now() + Duration::from_secs_f64(0.2 + draw(15));
            while Instant::now() < next {
                let (due, rest): (Vec<_>, Vec<_>) =
                    scheduled.into_iter().partition(|(at, _)| *at <= Instant::now());
                scheduled = rest;
                due.iter().for_each(|(_, order)| self.apply_order(order));
                thread::sleep(Duration::from_millis(5));
            }
        }
        self.heal();
    }

    /// Changes of ownership from the logs of the instances: time, instance, partition, fencing token and event.
    pub fn changes(&self) -> Vec<(Instant, String, u64, u64, &'static str)> {
        let mut all = Vec::new();
        for process in &self.instances {
            for (at, line) in process.log() {
                let event = if line.contains("no longer") {
                    "lost"
                } else if line.contains(" owns ") {
                    "owns"
                } else if line.contains(" released ") {
                    "released"
                } else {
                    continue;
                };
                let after = |word: &str| {
                    let rest = line.split_once(word)?.1;
                    rest.split(|one: char| !one.is_ascii_digit()).next()?.parse::<u64>().ok()
                };
                if let (Some(part), Some(token)) = (after("part "), after("token ")) {
                    all.push((at, process.name.clone(), part, token, event));
                }
            }
        }
        all.sort_by_key(|one| one.0);
        all
    }

    /// Maximum time during which no running instance owned a partition.
    pub fn longest_without_owner(&self) -> Duration {
        let mut events: Vec<(Instant, String, Option<u64>, bool)> = self
            .changes()
            .into_iter()
            .map(|(at, who, part, _, event)| (at, who, Some(part), event == "owns"))
            .collect();
        for (at, what) in &self.faults {
            let name = what.split('"').nth(1).unwrap_or("").to_string();
            if what.starts_with("Kill") || what.starts_with("Stop") {
                events.push((*at, name, None, false));
            } else if what.starts_with("Wake") {
                events.push((*at, name, None, true));
            }
        }
        events.sort_by_key(|one| one.0);
        let (mut owners_by_partition, mut is_running) =
            (BTreeMap::<u64, BTreeSet<String>>::new(), BTreeMap::<String, bool>::new());
        let (mut unowned_since, mut longest) = (BTreeMap::<u64, Instant>::new(), Duration::ZERO);
        for (at, who, part, on) in events {
            match part {
                Some(part) => {
                    let owners = owners_by_partition.entry(part).or_default();
                    if on {
                        owners.insert(who.clone())
                    } else {
                        owners.remove(&who)
                    };
                    if on {
                        is_running.insert(who, true);
                    }
                }
                None => drop(is_running.insert(who, on)),
            }
            for (part, owners) in &owners_by_partition {
                let is_owned = owners.iter().any(|one| is_running.get(one).copied().unwrap_or(true));
                match (is_owned, unowned_since.get(part)) {
                    (false, None) => drop(unowned_since.insert(*part, at)),
                    (true, Some(from)) => {
                        longest = longest.max(at.duration_since(*from));
                        unowned_since.remove(part);
                    }
                    _ => {}
                }
            }
        }
        longest
    }

    /// Writes the journal to `path` as JSON lines, sorted by time.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let at = |at: Instant| at.duration_since(self.began).as_nanos() as u64;
        let mut lines: Vec<(u64, Value)> = Vec::new();
        for act in self.ledger.journal() {
            let item = format!("{}/{}", act.part, act.item);
            let line = json!({"at_ns": at(act.at), "resource": "ledger", "duty": format!("tally/{}", act.part),
                "item": item, "token": act.token, "by": act.by, "taken": act.taken});
            lines.push((at(act.at), line));
        }
        for (when, owner, part, token, event) in self.changes() {
            let line = json!({"at_ns": at(when), "duty": format!("tally/{part}"), "owner": owner, "token": token, "event": event});
            lines.push((at(when), line));
        }
        for (when, fault) in &self.faults {
            lines.push((at(*when), json!({"at_ns": at(*when), "fault": fault})));
        }
        lines.sort_by_key(|one| one.0);
        let mut out = std::io::BufWriter::new(std::fs::File::create(path)?);
        lines.iter().try_for_each(|(_, line)| writeln!(out, "{line}"))
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.all().for_each(Process::kill);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The ID of a name, as the program prints it where its operator's file does not contain the name.
pub fn number(name: &str) -> String {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    format!("{:016x}", hasher.finish())
}
