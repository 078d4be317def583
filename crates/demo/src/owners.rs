//! Keepers, instances that own parts of a tally, and the ledger that they act on, each the real program but for the ledger, with
//! faults between them. The ledger's journal is the evidence: who acted, under which token, whether it was taken, on one clock.

use cypresscleat_fault_injection::{chance, free_port, Disk, Net, Order, Process};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An act that reached the ledger.
#[derive(Clone, Debug)]
pub struct Act {
    pub at: Instant,
    pub part: u64,
    pub item: u64,
    pub token: u64,
    pub by: String,
    /// Whether it had an effect: its token was no older than any seen, and the item was not done yet.
    pub taken: bool,
    /// The item had been done, under this or an earlier token.
    pub before: bool,
    /// Its token was older than one that had been seen: refused, whether or not the item had been done.
    pub older: bool,
    /// All that it said.
    pub said: Value,
}

#[derive(Default)]
struct Books {
    highest: BTreeMap<u64, u64>,
    done: BTreeSet<(u64, u64)>,
    acts: Vec<Act>,
}

/// The ledger that is acted upon: a conditional write by token, and a number for each item.
#[derive(Clone)]
pub struct Ledger {
    pub address: SocketAddr,
    books: Arc<Mutex<Books>>,
}

impl Ledger {
    pub fn start() -> Ledger {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port of loopback");
        let address = listener.local_addr().expect("an address");
        let ledger = Ledger { address, books: Arc::default() };
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
            let answer = self.acts(&act);
            if stream.write_all(format!("{answer}\n").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn acts(&self, act: &Value) -> Value {
        let number = |key: &str| act[key].as_u64().unwrap_or(0);
        let (part, item, token) = (number("part"), number("item"), number("token"));
        let mut books = self.books.lock().expect("the books");
        let highest = books.highest.entry(part).or_default();
        let current = token >= *highest;
        *highest = token.max(*highest);
        let highest = *highest;
        let before = books.done.contains(&(part, item));
        let taken = current && books.done.insert((part, item));
        let by = act["by"].as_str().unwrap_or("").to_string();
        books.acts.push(Act {
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
        self.books.lock().expect("the books").acts.clone()
    }
}

/// What the journal shows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Judged {
    pub acts: usize,
    pub refused: usize,
    pub done_twice: usize,
    pub done_never: usize,
    /// Acts that had an effect under a token lower than one that had one before.
    pub fell: usize,
}

pub fn judge(acts: &[Act]) -> Judged {
    let mut judged = Judged { acts: acts.len(), ..Judged::default() };
    let (mut done, mut highest) = (BTreeMap::<(u64, u64), u32>::new(), BTreeMap::<u64, u64>::new());
    for act in acts {
        judged.refused += usize::from(act.older);
        if act.taken {
            *done.entry((act.part, act.item)).or_default() += 1;
            let high = highest.entry(act.part).or_default();
            judged.fell += usize::from(act.token < *high);
            *high = act.token.max(*high);
        }
    }
    judged.done_twice = done.values().filter(|count| **count > 1).count();
    let parts: BTreeSet<u64> = done.keys().map(|key| key.0).collect();
    for part in parts {
        let last = done.keys().filter(|key| key.0 == part).map(|key| key.1).max().unwrap_or(0);
        judged.done_never += (0..=last).filter(|item| !done.contains_key(&(part, *item))).count();
    }
    judged
}

/// Links between the control replicas `k0`, `k1` and so on, which receive at `own`: where each finds each, itself at its own address.
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

/// All of them, each with an address of its own for every other.
pub struct Stage {
    pub net: Net,
    pub ledger: Ledger,
    pub keepers: Vec<Process>,
    pub instances: Vec<Process>,
    pub began: Instant,
    /// When, and what.
    pub faults: Vec<(Instant, String)>,
    program: PathBuf,
    folder: PathBuf,
}

pub struct Setup<'a> {
    pub program: &'a Path,
    pub keepers: usize,
    pub instances: usize,
    pub parts: u32,
    pub lease: Duration,
    pub every: Duration,
    pub seed: u64,
    /// Parts in a thousand by which an instance's clock may be off.
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
        std::fs::create_dir_all(&folder).expect("a folder");
        let own: Vec<SocketAddr> = (0..setup.keepers).map(|_| free_port()).collect();
        let between = replica_links(&net, &own);
        let file = |name: &str, rest: &str| {
            let at = |keeper: usize| match between.get(name) {
                Some(found) => found[keeper],
                None if name == "operator" => own[keeper],
                None => net.datagrams(name, &format!("k{keeper}"), own[keeper]),
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

    /// The operator's file of one of them.
    pub fn operator(&self, name: &str) -> String {
        self.folder.join(format!("{name}.cue")).display().to_string()
    }

    /// Another keeper, not started yet, which some of the others do not know: the net between them is as it is.
    pub fn keeper(&mut self, name: &str) -> SocketAddr {
        let address = free_port();
        let path = self.operator(name);
        let words = ["keep", "--operator", &path, "--name", name];
        self.keepers.push(Process::new(name, &self.program, &words).disk(&self.folder.join(name)));
        address
    }

    /// The operator's file of one of them, changed.
    pub fn rewrite(&self, name: &str, change: impl Fn(String) -> String) {
        let path = self.operator(name);
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        std::fs::write(&path, change(text)).expect("to write the operator's file");
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Another instance, in that role, not started yet; it finds the keepers at their own addresses.
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
        self.all().find(|one| one.name == name).unwrap_or_else(|| panic!("no {name}"))
    }

    pub fn obey(&mut self, order: &Order) {
        self.faults.push((Instant::now(), format!("{order:?}")));
        if self.net.obey(order) {
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

    /// The last lines of each process, for the message of a test that failed.
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

    /// What `owners --json` says, and its exit code.
    pub fn owners(&self) -> (Vec<Value>, i32) {
        self.command(&["--json"])
    }

    pub fn command(&self, words: &[&str]) -> (Vec<Value>, i32) {
        let path = self.folder.join("operator.cue").display().to_string();
        let ran = std::process::Command::new(&self.program)
            .args(["owners", "--operator", &path])
            .args(words)
            .output();
        let ran = ran.expect("to run the program");
        let text = String::from_utf8_lossy(&ran.stdout).into_owned();
        (
            text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect(),
            ran.status.code().unwrap_or(-1),
        )
    }

    /// The owner of a part by its number, as the keepers have it.
    pub fn owner(&self, part: usize) -> Option<String> {
        let number: BTreeMap<String, String> =
            self.instances.iter().map(|one| (number(&one.name), one.name.clone())).collect();
        let (lines, _) = self.owners();
        let owner = lines.iter().find(|line| line["part"] == json!(part))?["owner"].as_str()?.to_string();
        number.get(&owner).cloned()
    }

    /// Waits until so many more acts have had an effect.
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

    /// All links as new, all processes there and awake.
    pub fn peace(&mut self) {
        self.obey(&Order::Heal);
        for process in self.all() {
            if process.is_stopped() {
                process.wake();
            }
            if !process.runs() {
                process.start();
            }
        }
    }

    /// Faults drawn from the seed for so long.
    pub fn faults(&mut self, seed: u64, time: Duration) {
        let (until, mut count) = (Instant::now() + time, 0);
        let mut later: Vec<(Instant, Order)> = Vec::new();
        let mut disks = Instant::now();
        while Instant::now() < until {
            count += 1;
            let draw = |at: u64| chance(seed, "faults", count * 16 + at);
            let below = |at: u64, many: usize| ((draw(at) * many as f64) as usize).min(many - 1);
            let instance = self.instances[below(1, self.instances.len())].name.clone();
            let keeper = self.keepers[below(2, self.keepers.len())].name.clone();
            let after = |seconds: f64| Instant::now() + Duration::from_secs_f64(seconds);
            let busy = |name: &str, later: &[(Instant, Order)]| {
                later
                    .iter()
                    .any(|(_, order)| matches!(order, Order::Wake(one) | Order::Start(one, _) if one == name))
            };
            let calm = later.iter().all(|(_, order)| !matches!(order, Order::Start(name, _) | Order::Wake(name) if name.starts_with('k')));
            let order = match below(0, 12) {
                0 | 1 if !busy(&instance, &later) => {
                    later.push((after(0.5 + 5.0 * draw(3)), Order::Wake(instance.clone())));
                    Some(Order::Stop(instance))
                }
                2 if !busy(&instance, &later) => {
                    later.push((after(0.2 + 2.0 * draw(3)), Order::Start(instance.clone(), Disk::Old)));
                    Some(Order::Kill(instance))
                }
                3 if !busy(&instance, &later) => {
                    later.push((after(1.5 + 2.0 * draw(3)), Order::Start(instance.clone(), Disk::Old)));
                    Some(Order::End(instance))
                }
                4 if !busy(&keeper, &later) => {
                    later.push((after(0.2 + 2.0 * draw(3)), Order::Start(keeper.clone(), Disk::Old)));
                    Some(Order::Kill(keeper))
                }
                5 if !busy(&keeper, &later) => {
                    later.push((after(0.2 + 2.0 * draw(3)), Order::Wake(keeper.clone())));
                    Some(Order::Stop(keeper))
                }
                // One disk at a time, and time between them for the others to take it in.
                6 if calm && disks.elapsed() > Duration::from_secs(6) => {
                    self.obey(&Order::Heal);
                    disks = Instant::now();
                    Some(Order::Start(keeper, if draw(3) < 0.5 { Disk::Empty } else { Disk::Older }))
                }
                7 => Some(Order::Keep(keeper)),
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
                    later.push((after(0.5 + 3.0 * draw(3)), Order::Heal));
                    Some(Order::Cut(vec![side(one), side(other)]))
                }
                9 => Some(Order::OneWay(keeper, instance)),
                10 => Some(Order::Slow(keeper, instance, Duration::from_millis((200.0 * draw(3)) as u64))),
                _ => Some(Order::Lose(keeper, instance, draw(3))),
            };
            if let Some(order) = order {
                self.obey(&order);
            }
            let next = Instant::now() + Duration::from_secs_f64(0.2 + draw(15));
            while Instant::now() < next {
                let (due, rest): (Vec<_>, Vec<_>) =
                    later.into_iter().partition(|(at, _)| *at <= Instant::now());
                later = rest;
                due.iter().for_each(|(_, order)| self.obey(order));
                thread::sleep(Duration::from_millis(5));
            }
        }
        self.peace();
    }

    /// Changes of ownership as the instances' logs tell them: when, who, part, token, what.
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

    /// The longest time in which nobody that was awake owned a part.
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
        let (mut owns, mut awake) =
            (BTreeMap::<u64, BTreeSet<String>>::new(), BTreeMap::<String, bool>::new());
        let (mut since, mut longest) = (BTreeMap::<u64, Instant>::new(), Duration::ZERO);
        for (at, who, part, on) in events {
            match part {
                Some(part) => {
                    let own = owns.entry(part).or_default();
                    if on {
                        own.insert(who.clone())
                    } else {
                        own.remove(&who)
                    };
                    if on {
                        awake.insert(who, true);
                    }
                }
                None => drop(awake.insert(who, on)),
            }
            for (part, own) in &owns {
                let owned = own.iter().any(|one| awake.get(one).copied().unwrap_or(true));
                match (owned, since.get(part)) {
                    (false, None) => drop(since.insert(*part, at)),
                    (true, Some(from)) => {
                        longest = longest.max(at.duration_since(*from));
                        since.remove(part);
                    }
                    _ => {}
                }
            }
        }
        longest
    }

    /// The journal as lines of JSON, in the order of one clock.
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

/// The number of a name, as the program prints it where its file does not know the name.
pub fn number(name: &str) -> String {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    format!("{:016x}", hasher.finish())
}
