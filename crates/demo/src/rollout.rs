//! Keepers, relays by zone where they are wanted, app servers with kernel stand-ins under steady load, and changes of policy made through
//! the command line, with faults between them. The journal is what each process did, on one monotonic clock; the callers' own books say
//! who was answered.

use crate::owners::replica_links;
use crate::{invocation, run_cores, Kernel, Link, Router};
use cypresscleat_fault_injection::{chance, free_port, Disk, Net, Order, Process};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

pub struct Setup<'a> {
    pub program: &'a Path,
    pub config: &'a str,
    pub keepers: usize,
    pub members: usize,
    /// What stands in the operator's file of one beside keepers and its folder.
    pub more: &'a dyn Fn(usize) -> String,
    /// What of the platform's configuration is its own.
    pub own: &'a dyn Fn(usize, &mut Value),
    pub seed: u64,
}

/// What callers found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Books {
    pub asked: u64,
    pub answered: u64,
    pub succeeded: u64,
    pub throttled: u64,
    /// In their time, but for those whose member was stopped or killed meanwhile.
    pub lost: u64,
    /// The longest that one which succeeded took, in milliseconds.
    pub longest_ms: u64,
}

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
    /// How often each member was killed or stopped, so that callers know what broke.
    hurt: Arc<Vec<AtomicU64>>,
    books: Arc<Mutex<Books>>,
    over: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
    pub ran: Arc<Mutex<Vec<String>>>,
    own: Mutex<Vec<Value>>,
}

impl Stage {
    pub fn start(setup: &Setup) -> Stage {
        Stage::start_behind(setup, 0, &|_| Vec::new())
    }

    /// With so many relays; `behind` says of a member which of them it asks, and none where it asks the keepers.
    pub fn start_behind(setup: &Setup, relays: usize, behind: &dyn Fn(usize) -> Vec<usize>) -> Stage {
        let net = Net::new(setup.seed);
        let folder = std::env::temp_dir().join(format!(
            "cypresscleat-rollout-{}-{}",
            std::process::id(),
            free_port().port()
        ));
        std::fs::create_dir_all(&folder).expect("a folder");
        let own: Vec<SocketAddr> = (0..setup.keepers).map(|_| free_port()).collect();
        let between = replica_links(&net, &own);
        let keepers_of = |name: &str, rest: &str| {
            let at = |keeper: usize| match between.get(name) {
                Some(found) => found[keeper],
                None if name == "operator" => own[keeper],
                None => net.datagrams(name, &format!("k{keeper}"), own[keeper]),
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
            let path = keepers_of(&name, "");
            let words = ["keep", "--operator", &path, "--name", &name];
            let process = Process::new(&name, setup.program, &words).env("CLEAT_TEST_JOURNAL", &journal);
            keepers.push(process.disk(&folder.join(&name)));
        }
        keepers_of("operator", " ");
        let hear: Vec<SocketAddr> = (0..relays).map(|_| free_port()).collect();
        let mut relay_processes = Vec::new();
        for (at, listen) in hear.iter().enumerate() {
            let name = format!("r{at}");
            let disk = folder.join(format!("disk-{name}"));
            let rest = format!("relay: {{listen: \"{listen}\", folder: \"{}\"}}", disk.display());
            let path = keepers_of(&name, &rest);
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
            hurt: Arc::new((0..64).map(|_| AtomicU64::new(0)).collect()),
            books: Arc::default(),
            over: Arc::default(),
            callers: Vec::new(),
            ran,
            own: Mutex::default(),
        };
        for at in 0..setup.members {
            let name = format!("m{at}");
            let zone: Vec<String> = behind(at)
                .into_iter()
                .map(|relay| {
                    let address = net.datagrams(&name, &format!("r{relay}"), hear[relay]);
                    format!("{{name: \"r{relay}\", address: \"{address}\"}}")
                })
                .collect();
            let relays = match zone.is_empty() {
                true => String::new(),
                false => format!("relays: [{}], ", zone.join(", ")),
            };
            let rest = format!(
                "rollout: {{{relays}folder: \"{}\"}}\n{}",
                folder.join(format!("disk-{name}")).display(),
                (setup.more)(at)
            );
            let path = keepers_of(&name, &rest);
            stage.member("serve", &name, &path, &|all| (setup.own)(at, all));
        }
        stage.all().for_each(Process::start);
        stage
    }

    /// One more app server, with its stand-ins, not started.
    pub fn member(&mut self, role: &str, name: &str, operator: &str, change: &dyn Fn(&mut Value)) {
        let address = free_port();
        let listen = || TcpListener::bind("127.0.0.1:0").expect("a port of loopback");
        let (kernel, ledger, roster) = (listen(), listen(), listen());
        let told = |listener: &TcpListener| json!(listener.local_addr().expect("an address").to_string());
        let mut all: Value = serde_json::from_str(&self.config).expect("JSON");
        (all["listen"], all["name"]) = (json!(address.to_string()), json!(name));
        (all["kernel"], all["ledger"], all["roster"]) = (told(&kernel), told(&ledger), told(&roster));
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
        // A kernel for each life of it; what a stand-in finds broken ends that life's thread only.
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
        self.all().find(|one| one.name == name).unwrap_or_else(|| panic!("no {name}"))
    }

    /// What a process's journal can't tell: that it was killed, stopped, woken.
    fn notes(&self, name: &str, event: &str) {
        let at = monotonic();
        let line = format!("{{\"at_ns\":{at},\"member\":\"{name}\",\"event\":\"{event}\",\"version\":0}}\n");
        let file = std::fs::File::options().append(true).create(true).open(self.folder.join("journal"));
        let _ = file.and_then(|mut file| std::io::Write::write_all(&mut file, line.as_bytes()));
    }

    pub fn obey(&mut self, order: &Order) {
        self.faults.push(format!("{order:?}"));
        if self.net.obey(order) {
            return;
        }
        // Odd while it can't answer: callers don't count what broke then, nor across a change.
        let hurts = |stage: &Stage, name: &str, on: bool| {
            if let Some(at) = stage.members.iter().position(|one| one.name == name) {
                let now = stage.hurt[at].load(Ordering::SeqCst);
                let step = if (now % 2 == 1) == on { 2 } else { 1 };
                stage.hurt[at].store(now + step, Ordering::SeqCst);
            }
        };
        match order {
            Order::Stop(name) => {
                hurts(self, name, true);
                self.process(name).stop();
                self.notes(name, "stopped");
            }
            Order::Wake(name) => {
                self.notes(name, "woken");
                self.process(name).wake();
                hurts(self, name, false);
            }
            Order::Kill(name) => {
                hurts(self, name, true);
                self.process(name).kill();
                self.notes(name, "killed");
            }
            Order::Start(name, disk) => {
                hurts(self, name, true);
                self.process(name).start_with(*disk);
                hurts(self, name, false);
            }
            Order::Keep(name) => self.process(name).keep(),
            Order::End(name) => {
                hurts(self, name, true);
                self.process(name).end();
            }
            _ => {}
        }
    }

    /// Waits until a process's log has so many lines with these words.
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

    /// The command `policy`: what it printed, as JSON, and its exit code.
    pub fn policy(&self, words: &[&str]) -> (Vec<Value>, i32) {
        let path = self.operator("operator");
        let ran = std::process::Command::new(&self.program)
            .arg("policy")
            .args(words)
            .args(["--operator", &path, "--json"])
            .output()
            .expect("to run the program");
        let text = String::from_utf8_lossy(&ran.stdout).into_owned();
        let lines = text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
        (lines, ran.status.code().unwrap_or(-1))
    }

    /// Proposes a text, and waits so many seconds for its decision.
    pub fn propose(&self, text: &str, wait: u64) -> (Vec<Value>, i32) {
        let path = self.folder.join(format!("policy-{}.cue", monotonic()));
        std::fs::write(&path, text).expect("to write a policy");
        let (path, wait) = (path.display().to_string(), wait.to_string());
        self.policy(&["propose", "--text", &path, "--wait", &wait, "--by", "rig"])
    }

    /// Waits until the keepers say that all these members have a version in force, and no more than these count.
    pub fn all_have(&self, version: u64, members: usize, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            let (lines, code) = self.policy(&["status"]);
            if let (Some(one), 0) = (lines.first(), code) {
                let all = one["members"].as_array().map_or(&[][..], Vec::as_slice);
                let good = all.iter().filter(|member| member["version"] == json!(version)).count();
                if one["in_force"] == json!(version) && (good, all.len()) == (members, members) {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(30));
        }
        false
    }

    /// Waits until all these members serve under a version, by their own journal: those behind relays are not known to the keepers.
    pub fn serve_under(&self, version: u64, members: &[usize], within: Duration) -> bool {
        let until = Instant::now() + within;
        loop {
            let mut under: BTreeMap<String, Option<u64>> = BTreeMap::new();
            for line in self.journal() {
                let Some(member) = line["member"].as_str() else { continue };
                match line["event"].as_str() {
                    Some("in_force") => drop(under.insert(member.into(), line["version"].as_u64())),
                    Some("started" | "out_of_service" | "killed") => drop(under.insert(member.into(), None)),
                    _ => {}
                }
            }
            let serves = |at: &usize| under.get(&format!("m{at}")) == Some(&Some(version));
            if members.iter().all(serves) {
                return true;
            }
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Callers that ask one after the other, so many at each member, with a pause between.
    pub fn load(&mut self, each: usize, pause: Duration) {
        for at in 0..self.at.len() {
            for caller in 0..each {
                let (address, hurt, books, over) =
                    (self.at[at], self.hurt.clone(), self.books.clone(), self.over.clone());
                let caller = thread::Builder::new().stack_size(256 * 1024).spawn(move || {
                    let mut count = 0u64;
                    while !over.load(Ordering::SeqCst) {
                        count += 1;
                        let txn = format!("{:04x}{:04x}{count:08x}", at + 1, caller + 1);
                        let before = hurt[at].load(Ordering::SeqCst);
                        let began = Instant::now();
                        // Where nobody listens yet, nothing was asked.
                        let Some(how) = asks(address, &txn, count) else {
                            thread::sleep(pause);
                            continue;
                        };
                        let hurt = before % 2 == 1 || hurt[at].load(Ordering::SeqCst) != before;
                        let mut books = books.lock().expect("the books");
                        if how.is_some() || !hurt {
                            books.asked += 1;
                            books.answered += u64::from(how.is_some());
                            books.lost += u64::from(how.is_none());
                            books.throttled += u64::from(how == Some("throttled"));
                            if how == Some("succeeded") {
                                books.succeeded += 1;
                                books.longest_ms = books.longest_ms.max(began.elapsed().as_millis() as u64);
                            }
                        }
                        drop(books);
                        thread::sleep(pause);
                    }
                });
                self.callers.push(caller.expect("a thread"));
            }
        }
    }

    pub fn books(&self) -> Books {
        *self.books.lock().expect("the books")
    }

    /// Ends the load; what the callers found.
    pub fn rests(&mut self) -> Books {
        self.over.store(true, Ordering::SeqCst);
        self.callers.drain(..).for_each(|caller| drop(caller.join()));
        self.over.store(false, Ordering::SeqCst);
        self.books()
    }

    /// All links as new, all processes there and awake.
    pub fn peace(&mut self) {
        self.obey(&Order::Heal);
        let names: Vec<(String, bool, bool)> =
            self.all().map(|one| (one.name.clone(), one.is_stopped(), one.runs())).collect();
        for (name, stopped, runs) in names {
            if stopped {
                self.obey(&Order::Wake(name));
            } else if !runs {
                self.obey(&Order::Start(name, Disk::Old));
            }
        }
    }

    /// Faults drawn from the seed, and a change every few seconds, for so long. Texts that were proposed, by their version.
    pub fn faults(
        &mut self,
        seed: u64,
        time: Duration,
        texts: &dyn Fn(u64) -> String,
    ) -> BTreeMap<u64, String> {
        let until = Instant::now() + time;
        let mut later: Vec<(Instant, Order)> = Vec::new();
        let (mut proposed, mut next_change, mut count) = (BTreeMap::new(), Instant::now(), 0u64);
        while Instant::now() < until {
            count += 1;
            let draw = |at: u64| chance(seed, "rollout", count * 16 + at);
            let below = |at: u64, many: usize| ((draw(at) * many as f64) as usize).min(many - 1);
            let named = |all: &mut dyn Iterator<Item = &Process>| -> Vec<String> {
                all.map(|one| one.name.clone()).collect()
            };
            // A relay is hurt as a member is, and heard from as a keeper is; not more than one of them at once.
            let hurt = later.iter().any(
                |(_, order)| matches!(order, Order::Start(one, _) | Order::Wake(one) if one.starts_with('r')),
            );
            let low = named(&mut self.members.iter().chain(self.relays.iter().filter(|_| !hurt)));
            let high = named(&mut self.keepers.iter().chain(&self.relays));
            let (member, above) = (low[below(1, low.len())].clone(), high[below(2, high.len())].clone());
            let keeper = self.keepers[below(2, self.keepers.len())].name.clone();
            let after = |seconds: f64| Instant::now() + Duration::from_secs_f64(seconds);
            let busy = |name: &str| {
                later
                    .iter()
                    .any(|(_, order)| matches!(order, Order::Wake(one) | Order::Start(one, _) if one == name))
            };
            // A majority of keepers is left, so that changes can be made at all; not always at once.
            let calm = !later.iter().any(
                |(_, order)| matches!(order, Order::Start(one, _) | Order::Wake(one) if one.starts_with('k')),
            );
            let (hold, disk) = (0.2 + 3.0 * draw(3), if draw(4) < 0.25 { Disk::Empty } else { Disk::Old });
            let order = match below(0, 10) {
                0 | 1 if !busy(&member) => {
                    later.push((after(hold), Order::Wake(member.clone())));
                    Some(Order::Stop(member))
                }
                2 | 3 if !busy(&member) => {
                    later.push((after(hold), Order::Start(member.clone(), disk)));
                    Some(Order::Kill(member))
                }
                4 => {
                    later.push((after(hold), Order::Heal));
                    let high = high.into_iter().filter(|one| *one != member).collect();
                    Some(Order::Cut(vec![vec![member], high]))
                }
                5 => Some(Order::OneWay(above, member)),
                6 => Some(Order::Slow(member, above, Duration::from_millis((400.0 * draw(5)) as u64))),
                7 => Some(Order::Lose(member, above, 0.3)),
                8 if calm && !busy(&keeper) => {
                    later.push((after(hold / 2.0), Order::Start(keeper.clone(), Disk::Old)));
                    Some(Order::Kill(keeper))
                }
                9 if calm && !busy(&keeper) => {
                    later.push((after(hold / 2.0), Order::Wake(keeper.clone())));
                    Some(Order::Stop(keeper))
                }
                _ => None,
            };
            if let Some(order) = order {
                self.obey(&order);
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
                    later.into_iter().partition(|(at, _)| *at <= Instant::now());
                later = rest;
                due.iter().for_each(|(_, order)| self.obey(order));
                thread::sleep(Duration::from_millis(5));
            }
        }
        self.peace();
        proposed
    }

    /// The journal of all, in the order of the one clock; of decisions the first word.
    pub fn journal(&self) -> Vec<Value> {
        let text = std::fs::read_to_string(self.folder.join("journal")).unwrap_or_default();
        let mut all: Vec<Value> = text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
        all.sort_by_key(|line| line["at_ns"].as_u64());
        let mut told = BTreeSet::new();
        all.retain(|line| {
            let decision = line["member"].is_null();
            !decision || told.insert((line["event"].to_string(), line["version"].as_u64()))
        });
        all
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        self.keepers.clear();
        self.relays.clear();
        self.members.clear();
        if !thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The monotonic clock, as the processes have it.
pub fn monotonic() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64
}

/// How it was answered, if it was; `None` where it could not be asked.
fn asks(address: SocketAddr, txn: &str, count: u64) -> Option<Option<&'static str>> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let operation = if count.is_multiple_of(3) { "report" } else { "lookup" };
    let mut router = Router(Link::new(stream));
    if !router.0.try_send(&invocation(1, txn, operation, txn.as_bytes())) {
        return None;
    }
    Some(router.quiet_answer())
}

/// What a journal shows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Judged {
    pub taken: usize,
    pub dropped: usize,
    pub admitted: usize,
    /// Under a version that was not taken, or under an older one past the bound behind the first that went over to a newer one, or,
    /// where that one was to go together, beside it at all.
    pub wrong: usize,
    /// The longest from the first member that went over to the last admission under an older version.
    pub mixture_ms: f64,
}

/// `together` says of a version whether all were to go over at once.
pub fn judge(journal: &[Value], bound_ms: f64, together: &dyn Fn(u64) -> bool) -> Judged {
    let mut judged = Judged::default();
    let number = |line: &Value, key: &str| line[key].as_u64().unwrap_or(0);
    let (mut taken, mut first): (BTreeSet<u64>, BTreeMap<u64, u64>) = ([0].into(), BTreeMap::new());
    for line in journal {
        let (at, version) = (number(line, "at_ns"), number(line, "version"));
        match line["event"].as_str() {
            Some("taken") => {
                judged.taken += 1;
                taken.insert(version);
            }
            Some("dropped") => judged.dropped += 1,
            Some("in_force") => {
                judged.wrong += usize::from(!taken.contains(&version));
                first.entry(version).or_insert(at);
            }
            Some("admitted") => {
                judged.admitted += 1;
                judged.wrong += usize::from(!taken.contains(&version));
                for (_, from) in first.range(version + 1..).filter(|(newer, _)| together(**newer)) {
                    judged.wrong += usize::from(at > *from);
                }
                if let Some((_, from)) = first.range(version + 1..).next() {
                    let mixed = at.saturating_sub(*from) as f64 / 1e6;
                    judged.mixture_ms = judged.mixture_ms.max(mixed);
                    judged.wrong += usize::from(mixed > bound_ms);
                }
            }
            _ => {}
        }
    }
    judged
}

/// Bodies that a kernel was told to run more than once.
pub fn ran_twice(ran: &Mutex<Vec<String>>) -> usize {
    crate::tier::ran_twice(&ran.lock().expect("the list"))
}
