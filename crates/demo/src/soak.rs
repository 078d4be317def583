//! Stand-ins that go on through all that happens to an app server: an executor whose links break, and callers that keep their
//! connections open until the process is gone. Each writes into one journal, which alone says afterwards what became of each request.

use crate::{frame, invocation, request, unix_ms, Kernel, Link, Router};
use base64::{engine::general_purpose::STANDARD, Engine};
use cypresscleat_fault_injection::chance;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Requests that may be open on a connection.
const MAX_OPEN: usize = 32;
/// Pause before a connection that was refused is tried again.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// Draws of one party, from the seed and its name.
pub struct Draws {
    seed: u64,
    name: String,
    count: u64,
}

impl Draws {
    pub fn new(seed: u64, name: &str) -> Draws {
        Draws { seed, name: name.to_string(), count: 0 }
    }
    /// From 0 to under 1.
    pub fn part(&mut self) -> f64 {
        self.count += 1;
        chance(self.seed, &self.name, self.count)
    }
    /// From 0 to under `most`.
    pub fn below(&mut self, most: u64) -> u64 {
        (self.part() * most as f64) as u64
    }
    pub fn ms(&mut self, most: u64) -> Duration {
        Duration::from_millis(self.below(most))
    }
    pub fn is(&mut self, part: f64) -> bool {
        self.part() < part
    }
    pub fn one_of<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.below(all.len() as u64) as usize]
    }
}

/// What is known of one request.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Right before its last byte was handed over, and right after.
    pub written: (Instant, Instant),
    pub class: &'static str,
    /// Its caller reads late, so that the time of its answer says nothing.
    pub is_read_late: bool,
    /// Its answers on the connection on which it was written: their codes, and when they were read.
    pub answers: Vec<(u8, Instant)>,
    /// When its connection was seen to end without an answer to it.
    pub unanswered: Option<Instant>,
    /// Its caller withdrew it: no answer is owed.
    pub withdrawn: bool,
    /// How it went when it was sent once more on a new connection.
    pub resent: Option<Resent>,
}

/// What became of a request that was sent once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resent {
    /// Nobody received any more: it did not run.
    Refused,
    /// Answered with this code.
    Answered(u8),
    /// This connection ended too, so long after the request was written there.
    Ended(Duration),
}

/// What all parties saw.
#[derive(Default)]
pub struct Journal {
    pub asked: Mutex<BTreeMap<String, Asked>>,
    /// Runs by request, and when the first began.
    pub ran: Mutex<BTreeMap<String, (u32, Instant)>>,
    /// Answers that no request of theirs explains, or whose body no run made.
    pub wrong: Mutex<Vec<String>>,
    /// Callers stop.
    pub quiet: AtomicBool,
    /// Executors stop.
    pub over: AtomicBool,
    /// The longest that a thread of this process overslept, in microseconds: how late the machine is.
    pub lag_us: AtomicUsize,
}

impl Journal {
    /// Measures how late the machine is until the journal is over.
    pub fn watch_lag(self: &Arc<Journal>) {
        let journal = self.clone();
        thread::spawn(move || {
            while !journal.over.load(Ordering::SeqCst) {
                let (began, nap) = (Instant::now(), Duration::from_millis(2));
                thread::sleep(nap);
                let late = began.elapsed().saturating_sub(nap).as_micros() as usize;
                journal.lag_us.fetch_max(late, Ordering::SeqCst);
            }
        });
    }
    pub fn lag(&self) -> Duration {
        Duration::from_micros(self.lag_us.load(Ordering::SeqCst) as u64)
    }
    fn blames(&self, what: String) {
        self.wrong.lock().expect("the journal").push(what);
    }
}

/// The result of a request's run.
fn result(txn: &str) -> String {
    format!("result of {txn}")
}

// ---- the executor ----

#[derive(Default)]
struct Runs {
    /// All notices, in their order.
    notices: Vec<String>,
    /// When each run ends.
    running: BTreeMap<String, Instant>,
    /// Runs that wait for a call.
    calling: BTreeSet<String>,
    over: BTreeSet<String>,
}

impl Runs {
    fn tell(&mut self, msg: &str, call: &str, how: &str) {
        let serial = self.notices.len() + 1;
        let body = STANDARD.encode(result(call));
        let notice =
            json!({"msg": msg, "serial": serial, "call": call, "how": how, "duration": 1, "blob": body});
        self.notices.push(format!("{notice}\n"));
    }
}

/// The executor of one life of an app server: runs go on through any number of links, which break by chance.
pub struct Executor {
    runs: Mutex<Runs>,
    journal: Arc<Journal>,
    seed: u64,
    /// The part of the links that break.
    breaks: f64,
}

impl Executor {
    pub fn new(seed: u64, breaks: f64, journal: &Arc<Journal>) -> Arc<Executor> {
        Arc::new(Executor { runs: Mutex::default(), journal: journal.clone(), seed, breaks })
    }

    /// Takes links there until the journal is over.
    pub fn serve(self: &Arc<Executor>, listener: &TcpListener, name: &str) {
        let listener = listener.try_clone().expect("a listener");
        listener.set_nonblocking(true).expect("a listener");
        let (own, mut draws) = (self.clone(), Draws::new(self.seed, name));
        thread::spawn(move || {
            while !own.journal.over.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => own.link(stream, &mut draws),
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    fn link(&self, stream: TcpStream, draws: &mut Draws) {
        stream.set_nonblocking(false).expect("a socket");
        let mut kernel = Kernel { link: Link::new(stream), serial: 0, links: 2, service: String::new() };
        let Some(open) = kernel.link.line() else { return };
        let Ok(open) = serde_json::from_str::<Value>(&open) else { return };
        let mut told = open["serial"].as_u64().unwrap_or(0) as usize;
        if !kernel.link.try_send(b"{\"msg\":\"BOOTED\",\"how\":\"WARM\",\"duration\":0}\n") {
            return;
        }
        let life = if draws.is(self.breaks) { 50 + draws.below(900) } else { 60_000 };
        let breaks_at = Instant::now() + Duration::from_millis(life);
        while !kernel.link.over && Instant::now() < breaks_at && !self.journal.over.load(Ordering::SeqCst) {
            let command = kernel.hear_within(Duration::from_millis(1));
            let mut runs = self.runs.lock().expect("the runs");
            if let Some((msg, call, body)) = command {
                self.carries_out(&mut runs, (&msg, &call, &body), &kernel.service, draws);
            }
            let now = Instant::now();
            let ended: Vec<String> =
                runs.running.iter().filter(|(_, at)| **at <= now).map(|(call, _)| call.clone()).collect();
            for call in ended {
                runs.running.remove(&call);
                runs.over.insert(call.clone());
                runs.tell("REAP", &call, "OK");
            }
            let new: String = runs.notices[told.min(runs.notices.len())..].concat();
            told = runs.notices.len();
            drop(runs);
            if !new.is_empty() && !kernel.link.try_send(new.as_bytes()) {
                break;
            }
        }
        kernel.link.close();
    }

    fn carries_out(
        &self,
        runs: &mut Runs,
        (msg, call, body): (&str, &str, &[u8]),
        service: &str,
        draws: &mut Draws,
    ) {
        let call = call.to_string();
        match msg {
            // A command that is told again on a new link starts nothing: its run goes on, or is over.
            "SCHED" if runs.over.contains(&call) => runs.tell("REAP", &call, "MOOT"),
            "SCHED" if !runs.running.contains_key(&call) && !runs.calling.contains(&call) => {
                if body != call.as_bytes() {
                    self.journal.blames(format!("{call} came with another body"));
                }
                let mut ran = self.journal.ran.lock().expect("the journal");
                ran.entry(call.clone()).or_insert((0, Instant::now())).0 += 1;
                drop(ran);
                if service == "report" {
                    runs.calling.insert(call.clone());
                    runs.tell("IOREQ", &call, "");
                } else {
                    runs.running.insert(call, Instant::now() + draws.ms(20));
                }
            }
            "IODONE" if runs.calling.remove(&call) => {
                runs.running.insert(call, Instant::now() + draws.ms(20));
            }
            "PREEMPT" if runs.running.remove(&call).is_some() | runs.calling.remove(&call) => {
                runs.over.insert(call.clone());
                runs.tell("REAP", &call, "STOPPED");
            }
            _ => {}
        }
    }
}

// ---- downstream proxy and service registry ----

/// What a stand-in below does with whoever connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    Answers,
    /// Each answer takes so many milliseconds.
    Late(u64),
    /// Reads, and never answers.
    Silent,
}

impl Behaviour {
    /// Whether an answer is due, after its delay.
    fn waits(self) -> bool {
        if let Behaviour::Late(ms) = self {
            thread::sleep(Duration::from_millis(ms));
        }
        self != Behaviour::Silent
    }
}

/// Replies to calls.
pub fn serve_downstream(listener: &TcpListener, behaviour: Behaviour) {
    let listener = listener.try_clone().expect("a listener");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut proxy = crate::Ledger(Link::new(stream));
                while let Some((words, _)) = proxy.hear() {
                    let reply = format!("{} posted 2\r\nok\r\n", words.get(1).map_or("", String::as_str));
                    if words[0] == "post" && behaviour.waits() && !proxy.0.try_send(reply.as_bytes()) {
                        return;
                    }
                }
            });
        }
    });
}

/// Takes load reports.
pub fn serve_registry(listener: &TcpListener, behaviour: Behaviour) {
    let listener = listener.try_clone().expect("a listener");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut link = Link::new(stream);
                while link.line().is_some() {
                    let mut length = 0;
                    while let Some(line) = link.line().filter(|line| !line.is_empty()) {
                        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                            length = value.trim().parse().unwrap_or(0);
                        }
                    }
                    if link.over {
                        return;
                    }
                    link.exact(length);
                    let reply = b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n";
                    if behaviour.waits() && !link.try_send(reply) {
                        return;
                    }
                }
            });
        }
    });
}

// ---- callers ----

/// How a caller uses its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// One request after another, with pauses of up to 600 ms.
    Paced,
    /// As many as may be open, in one write.
    Pipelined,
    /// Each request in two parts, some time apart.
    Halves,
    /// One request, and then another when the process is about to be killed.
    RestsUntilTheEnd,
    /// Reads its answers late.
    SlowReader,
    /// Its requests have next to no time left.
    InHaste,
}

pub const HABITS: [Habit; 6] = [
    Habit::Paced,
    Habit::Pipelined,
    Habit::Halves,
    Habit::RestsUntilTheEnd,
    Habit::SlowReader,
    Habit::InHaste,
];

/// A caller that keeps its connection for as long as the other side does, and then opens another.
pub struct Caller {
    pub number: u64,
    pub habit: Habit,
    /// It sends nothing more on a connection after it was told so.
    pub heeds_notice: bool,
    pub draws: Draws,
    pub journal: Arc<Journal>,
    /// Request classes that it asks for.
    pub classes: [&'static str; 2],
    /// Milliseconds that a request of these classes has.
    pub deadline_ms: u64,
    /// When the process is killed, once that is known.
    pub killed_at: Arc<Mutex<Option<Instant>>>,
    count: u64,
}

/// What its reader and its writer share of a connection.
#[derive(Default)]
struct Shared {
    /// Open requests by stream.
    open: Mutex<BTreeMap<u32, String>>,
    told: AtomicBool,
    /// When the other side was seen to have ended it.
    ended_at: Mutex<Option<Instant>>,
}

impl Shared {
    fn ended_at(&self) -> Option<Instant> {
        *self.ended_at.lock().expect("the end")
    }
    fn has_ended(&self) -> bool {
        self.ended_at().is_some()
    }
}

impl Caller {
    pub fn new(
        number: u64,
        seed: u64,
        journal: &Arc<Journal>,
        killed_at: &Arc<Mutex<Option<Instant>>>,
    ) -> Caller {
        let mut draws = Draws::new(seed, &format!("caller {number}"));
        Caller {
            number,
            habit: draws.one_of(&HABITS),
            heeds_notice: draws.is(0.3),
            draws,
            journal: journal.clone(),
            classes: ["lookup", "report"],
            deadline_ms: 3_000,
            killed_at: killed_at.clone(),
            count: 0,
        }
    }

    /// Calls until the journal is quiet. Whoever is refused tries again.
    pub fn run(mut self, server: SocketAddr) {
        while !self.is_quiet() {
            match TcpStream::connect(server) {
                Ok(stream) => self.connection(stream, server),
                Err(_) => thread::sleep(RECONNECT_DELAY),
            }
        }
    }

    fn is_quiet(&self) -> bool {
        self.journal.quiet.load(Ordering::SeqCst)
    }

    fn connection(&mut self, stream: TcpStream, server: SocketAddr) {
        let shared: Arc<Shared> = Arc::default();
        let Ok(reading) = stream.try_clone() else { return };
        let delay = if self.habit == Habit::SlowReader { 50 } else { 0 };
        let (journal, own) = (self.journal.clone(), shared.clone());
        let reader = thread::spawn(move || read(reading, &own, &journal, Duration::from_millis(delay)));
        let mut link = Link::new(stream);
        let mut next_stream = 1;
        while !shared.has_ended() && !self.is_quiet() {
            let stops = self.heeds_notice && shared.told.load(Ordering::SeqCst);
            if !stops && !self.asks(&mut link, &shared, &mut next_stream) {
                break;
            }
            self.pauses(&shared);
        }
        // Where callers stop the connection stays until all is answered or the other side ends it.
        let until = Instant::now() + Duration::from_secs(1);
        while !shared.has_ended() && Instant::now() < until {
            if shared.open.lock().expect("the open requests").is_empty() {
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        let open = std::mem::take(&mut *shared.open.lock().expect("the open requests"));
        let ended_at = shared.ended_at();
        link.close();
        let _ = reader.join();
        for txn in open.into_values() {
            self.ends_open(&txn, ended_at, server);
        }
    }

    /// A request whose connection ended: where that is within the protocol's time it is sent once more.
    fn ends_open(&mut self, txn: &str, ended_at: Option<Instant>, server: SocketAddr) {
        let mut asked = self.journal.asked.lock().expect("the journal");
        let Some(one) = asked.get_mut(txn).filter(|one| one.answers.is_empty()) else { return };
        // Where it stands nothing came for a second after this caller's last request.
        one.unanswered = Some(ended_at.unwrap_or_else(Instant::now));
        if ended_at.is_none() {
            return;
        }
        let class = one.class;
        drop(asked);
        let resent = sends_again(txn, class, server);
        let mut asked = self.journal.asked.lock().expect("the journal");
        if let Some(one) = asked.get_mut(txn) {
            one.resent = Some(resent);
        }
    }

    fn pauses(&mut self, shared: &Shared) {
        let pause = match self.habit {
            Habit::Paced | Habit::SlowReader => self.draws.ms(600),
            Habit::Pipelined => self.draws.ms(400),
            Habit::Halves | Habit::InHaste => self.draws.ms(100),
            Habit::RestsUntilTheEnd => Duration::from_secs(60),
        };
        let until = Instant::now() + pause;
        while Instant::now() < until && !shared.has_ended() && !self.is_quiet() {
            let killed_at = *self.killed_at.lock().expect("the time");
            let last_moment = killed_at.is_some_and(|at| at <= Instant::now() + Duration::from_millis(100));
            if self.habit == Habit::RestsUntilTheEnd && last_moment {
                thread::sleep(self.draws.ms(100));
                return;
            }
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Writes what its habit has it write; false where the connection is broken.
    fn asks(&mut self, link: &mut Link, shared: &Shared, next_stream: &mut u32) -> bool {
        let room = MAX_OPEN - shared.open.lock().expect("the open requests").len();
        let many = match self.habit {
            Habit::Pipelined => 1 + self.draws.below(MAX_OPEN as u64) as usize,
            _ => 1,
        };
        let mut bytes = Vec::new();
        let mut txns = Vec::new();
        for _ in 0..many.min(room) {
            self.count += 1;
            let txn = format!("{:08x}{:08x}", self.number + 1, self.count);
            let class = self.classes[usize::from(self.draws.is(0.3))];
            bytes.extend(self.request(*next_stream, &txn, class));
            shared.open.lock().expect("the open requests").insert(*next_stream, txn.clone());
            txns.push((txn, class));
            *next_stream += 1;
        }
        if bytes.is_empty() {
            return true;
        }
        if self.habit == Habit::Halves {
            let cut = self.draws.below(bytes.len() as u64) as usize;
            let rest = bytes.split_off(cut);
            if !link.try_send(&bytes) {
                return false;
            }
            thread::sleep(self.draws.ms(60));
            bytes = rest;
        }
        let before = Instant::now();
        self.notes(&txns, (before, before));
        let sent = link.try_send(&bytes);
        self.notes(&txns, (before, Instant::now()));
        let withdraws = txns.len() == 1 && self.draws.is(0.05);
        if withdraws && sent {
            let withdrawn = frame(8, *next_stream - 1, b"");
            shared.open.lock().expect("the open requests").remove(&(*next_stream - 1));
            if let Some(one) = self.journal.asked.lock().expect("the journal").get_mut(&txns[0].0) {
                one.withdrawn = true;
            }
            return link.try_send(&withdrawn);
        }
        sent
    }

    fn request(&mut self, stream: u32, txn: &str, class: &str) -> Vec<u8> {
        if self.habit != Habit::InHaste {
            return invocation(stream, txn, class, txn.as_bytes());
        }
        let left = self.draws.below(30);
        let door = (unix_ms() as u64 + left).saturating_sub(self.deadline_ms).to_string();
        let fields = [
            ("verb", class),
            ("txn", txn),
            ("door", &door),
            ("lb", "1"),
            ("team", "acme"),
            ("cpu", "20.5"),
            ("ram", "24.5"),
            ("standing", "0.5"),
        ];
        request(stream, &fields, txn.as_bytes())
    }

    fn notes(&self, txns: &[(String, &'static str)], written: (Instant, Instant)) {
        let mut asked = self.journal.asked.lock().expect("the journal");
        for (txn, class) in txns {
            asked
                .entry(txn.clone())
                .or_insert(Asked {
                    written,
                    class,
                    is_read_late: self.habit == Habit::SlowReader,
                    answers: Vec::new(),
                    unanswered: None,
                    withdrawn: false,
                    resent: None,
                })
                .written = written;
        }
    }
}

/// Reads answers until the connection ends.
fn read(stream: TcpStream, shared: &Shared, journal: &Journal, delay: Duration) {
    let mut router = Router(Link::new(stream));
    let mut known: BTreeMap<u32, String> = BTreeMap::new();
    while let Some(frame) = router.try_frame() {
        thread::sleep(delay);
        match frame.kind {
            64 => shared.told.store(true, Ordering::SeqCst),
            4 => {
                known.extend(shared.open.lock().expect("the open requests").clone());
                reads_answer(&frame.payload, known.get(&frame.stream), frame.stream, journal);
                shared.open.lock().expect("the open requests").remove(&frame.stream);
            }
            _ => journal.blames(format!("a frame of type {}", frame.kind)),
        }
    }
    *shared.ended_at.lock().expect("the end") = Some(Instant::now());
}

fn reads_answer(payload: &[u8], txn: Option<&String>, stream: u32, journal: &Journal) {
    let Some(txn) = txn else {
        // An answer may cross the word that a request is withdrawn.
        if stream == 0 {
            journal.blames("something was not understood".into());
        }
        return;
    };
    let Some(code) = payload.first().copied() else { return journal.blames("an empty answer".into()) };
    if code == 79 && !payload.ends_with(result(txn).as_bytes()) {
        journal.blames(format!("{txn} has the result of another run"));
    }
    if let Some(one) = journal.asked.lock().expect("the journal").get_mut(txn) {
        one.answers.push((code, Instant::now()));
    }
}

/// Sends a request once more on a new connection.
fn sends_again(txn: &str, class: &str, server: SocketAddr) -> Resent {
    let Ok(stream) = TcpStream::connect(server) else { return Resent::Refused };
    let mut router = Router(Link::new(stream));
    let sent_at = Instant::now();
    if !router.0.try_send(&invocation(1, txn, class, txn.as_bytes())) {
        return Resent::Ended(Duration::ZERO);
    }
    while let Some(frame) = router.try_frame() {
        if (frame.kind, frame.stream) == (4, 1) {
            return Resent::Answered(frame.payload.first().copied().unwrap_or(0));
        }
    }
    Resent::Ended(sent_at.elapsed())
}
