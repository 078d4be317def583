//! Stand-ins that keep running through all faults of an app server: an executor whose links break, and clients that keep their
//! connections open until the process ends. All record into one journal, from which a test checks the outcome of each request.

use crate::{frame, request, request_frame, unix_ms, Kernel, Link, Router};
use base64::{engine::general_purpose::STANDARD, Engine};
use cypresscleat_fault_injection::chance;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of open requests on a connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Pause before a refused connection is retried.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// Pseudo-random numbers of one stand-in, derived from the seed and its name.
pub struct Draws {
    seed: u64,
    name: String,
    count: u64,
}

impl Draws {
    pub fn new(seed: u64, name: &str) -> Draws {
        Draws { seed, name: name.to_string(), count: 0 }
    }
    /// A number from 0 to under 1.
    pub fn part(&mut self) -> f64 {
        self.count += 1;
        chance(self.seed, &self.name, self.count)
    }
    /// A number from 0 to under `most`.
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

/// The recorded history of one request.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Times right before and right after its last byte was written.
    pub written: (Instant, Instant),
    pub class: &'static str,
    /// Its client reads responses late, so that the read time of the response is not meaningful.
    pub is_read_late: bool,
    /// Its responses on the connection on which it was written: their codes, and when they were read.
    pub answers: Vec<(u8, Instant)>,
    /// When its connection was seen to end without a response.
    pub unanswered: Option<Instant>,
    /// Its client canceled it: no response is required.
    pub withdrawn: bool,
    /// The outcome of its retry on a new connection.
    pub resent: Option<Resent>,
}

/// The outcome of a retried request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resent {
    /// The connection was refused: the retry did not run.
    Refused,
    /// The response had this code.
    Answered(u8),
    /// This connection ended too, this long after the request was written.
    Ended(Duration),
}

/// Events of all stand-ins.
#[derive(Default)]
pub struct Journal {
    pub asked: Mutex<BTreeMap<String, Asked>>,
    /// Number of runs by request, and when the first began.
    pub ran: Mutex<BTreeMap<String, (u32, Instant)>>,
    /// Protocol violations, such as a response with the body of another run.
    pub wrong: Mutex<Vec<String>>,
    /// Tells clients to stop.
    pub quiet: AtomicBool,
    /// Tells executors to stop.
    pub over: AtomicBool,
    /// Maximum delay of a thread wakeup in this process, in microseconds: the scheduling delay of the machine.
    pub lag_us: AtomicUsize,
}

impl Journal {
    /// Measures the scheduling delay of the machine until `over` is set.
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
    /// Records a protocol violation.
    fn report(&self, what: String) {
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
    /// All notices in the order sent.
    notices: Vec<String>,
    /// When each run ends.
    running: BTreeMap<String, Instant>,
    /// Runs that wait for the response to a downstream call.
    waiting_for_call: BTreeSet<String>,
    ended: BTreeSet<String>,
}

impl Runs {
    fn add_notice(&mut self, msg: &str, call: &str, how: &str) {
        let serial = self.notices.len() + 1;
        let body = STANDARD.encode(result(call));
        let notice =
            json!({"msg": msg, "serial": serial, "call": call, "how": how, "duration": 1, "blob": body});
        self.notices.push(format!("{notice}\n"));
    }
}

/// The executor of one incarnation of an app server. Runs continue across links, which break at random.
pub struct Executor {
    runs: Mutex<Runs>,
    journal: Arc<Journal>,
    seed: u64,
    /// The probability that a link breaks.
    break_probability: f64,
}

impl Executor {
    pub fn new(seed: u64, break_probability: f64, journal: &Arc<Journal>) -> Arc<Executor> {
        Arc::new(Executor { runs: Mutex::default(), journal: journal.clone(), seed, break_probability })
    }

    /// Accepts links from `listener` until the journal's `over` is set.
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
        let mut notices_sent = open["serial"].as_u64().unwrap_or(0) as usize;
        if !kernel.link.try_send(b"{\"msg\":\"BOOTED\",\"how\":\"WARM\",\"duration\":0}\n") {
            return;
        }
        let life = if draws.is(self.break_probability) { 50 + draws.below(900) } else { 60_000 };
        let breaks_at = Instant::now() + Duration::from_millis(life);
        while !kernel.link.over && Instant::now() < breaks_at && !self.journal.over.load(Ordering::SeqCst) {
            let command = kernel.receive_within(Duration::from_millis(1));
            let mut runs = self.runs.lock().expect("the runs");
            if let Some((msg, call, body)) = command {
                self.handle_command(&mut runs, (&msg, &call, &body), &kernel.service, draws);
            }
            let now = Instant::now();
            let ended: Vec<String> =
                runs.running.iter().filter(|(_, at)| **at <= now).map(|(call, _)| call.clone()).collect();
            for call in ended {
                runs.running.remove(&call);
                runs.ended.insert(call.clone());
                runs.add_notice("REAP", &call, "OK");
            }
            let new: String = runs.notices[notices_sent.min(runs.notices.len())..].concat();
            notices_sent = runs.notices.len();
            drop(runs);
            if !new.is_empty() && !kernel.link.try_send(new.as_bytes()) {
                break;
            }
        }
        kernel.link.close();
    }

    fn handle_command(
        &self,
        runs: &mut Runs,
        (msg, call, body): (&str, &str, &[u8]),
        service: &str,
        draws: &mut Draws,
    ) {
        let call = call.to_string();
        match msg {
            // A command that is resent on a new link starts no run: the run of the first command continues or is over.
            "SCHED" if runs.ended.contains(&call) => runs.add_notice("REAP", &call, "MOOT"),
            "SCHED" if !runs.running.contains_key(&call) && !runs.waiting_for_call.contains(&call) => {
                if body != call.as_bytes() {
                    self.journal.report(format!("{call} arrived with a different body"));
                }
                let mut ran = self.journal.ran.lock().expect("the journal");
                ran.entry(call.clone()).or_insert((0, Instant::now())).0 += 1;
                drop(ran);
                if service == "report" {
                    runs.waiting_for_call.insert(call.clone());
                    runs.add_notice("IOREQ", &call, "");
                } else {
                    runs.running.insert(call, Instant::now() + draws.ms(20));
                }
            }
            "IODONE" if runs.waiting_for_call.remove(&call) => {
                runs.running.insert(call, Instant::now() + draws.ms(20));
            }
            "PREEMPT" if runs.running.remove(&call).is_some() | runs.waiting_for_call.remove(&call) => {
                runs.ended.insert(call.clone());
                runs.add_notice("REAP", &call, "STOPPED");
            }
            _ => {}
        }
    }
}

// ---- downstream proxy and service registry ----

/// How the stand-ins for the downstream proxy and the service registry respond.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Responds at once.
    Answers,
    /// Responds after this number of milliseconds.
    Late(u64),
    /// Reads and never responds.
    Silent,
}

impl Behaviour {
    /// Waits for the configured delay; returns whether to send a response.
    fn should_respond(self) -> bool {
        if let Behaviour::Late(ms) = self {
            thread::sleep(Duration::from_millis(ms));
        }
        self != Behaviour::Silent
    }
}

/// Serves downstream calls on `listener`.
pub fn serve_downstream(listener: &TcpListener, behaviour: Behaviour) {
    let listener = listener.try_clone().expect("a listener");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut proxy = crate::Ledger(Link::new(stream));
                while let Some((words, _)) = proxy.receive() {
                    let reply = format!("{} posted 2\r\nok\r\n", words.get(1).map_or("", String::as_str));
                    if words[0] == "post" && behaviour.should_respond() && !proxy.0.try_send(reply.as_bytes())
                    {
                        return;
                    }
                }
            });
        }
    });
}

/// Serves load reports on `listener`.
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
                    if behaviour.should_respond() && !link.try_send(reply) {
                        return;
                    }
                }
            });
        }
    });
}

// ---- clients ----

/// How a client uses its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// One request after another, with pauses of up to 600 ms.
    Paced,
    /// Up to the maximum number of open requests in one write.
    Pipelined,
    /// Each request in two writes with a pause between them.
    SplitWrites,
    /// One request, and another when the process is about to be killed.
    IdleUntilKill,
    /// Reads its responses late.
    SlowReader,
    /// Its requests have under 30 ms left until their deadline.
    ShortDeadline,
}

pub const HABITS: [Habit; 6] = [
    Habit::Paced,
    Habit::Pipelined,
    Habit::SplitWrites,
    Habit::IdleUntilKill,
    Habit::SlowReader,
    Habit::ShortDeadline,
];

/// A client that uses a connection until the server closes it, and then opens another.
pub struct Caller {
    pub number: u64,
    pub habit: Habit,
    /// Whether it stops sending on a connection after the server announced that it drains.
    pub stops_on_drain: bool,
    pub draws: Draws,
    pub journal: Arc<Journal>,
    /// Request classes of its requests.
    pub classes: [&'static str; 2],
    /// Time limit of a request of these classes, in milliseconds.
    pub deadline_ms: u64,
    /// When the process is to be killed, once that time is set.
    pub killed_at: Arc<Mutex<Option<Instant>>>,
    count: u64,
}

/// State of a connection that is shared by its reader and its writer.
#[derive(Default)]
struct Shared {
    /// Open requests by stream.
    open: Mutex<BTreeMap<u32, String>>,
    drain_announced: AtomicBool,
    /// When the server was seen to have closed it.
    ended_at: Mutex<Option<Instant>>,
}

impl Shared {
    fn ended_at(&self) -> Option<Instant> {
        *self.ended_at.lock().expect("the end time")
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
            stops_on_drain: draws.is(0.3),
            draws,
            journal: journal.clone(),
            classes: ["lookup", "report"],
            deadline_ms: 3_000,
            killed_at: killed_at.clone(),
            count: 0,
        }
    }

    /// Sends requests until the journal's `quiet` is set. Reconnects after a refused connection.
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
            let stops_sending = self.stops_on_drain && shared.drain_announced.load(Ordering::SeqCst);
            if !stops_sending && !self.send_requests(&mut link, &shared, &mut next_stream) {
                break;
            }
            self.pause_between_requests(&shared);
        }
        // When clients stop, the connection stays open until all requests have responses, the server closes it, or 1 s has passed.
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
            self.retry_unanswered(&txn, ended_at, server);
        }
    }

    /// Handles an open request whose connection ended. Retries it if the server closed the connection.
    fn retry_unanswered(&mut self, txn: &str, ended_at: Option<Instant>, server: SocketAddr) {
        let mut asked = self.journal.asked.lock().expect("the journal");
        let Some(one) = asked.get_mut(txn).filter(|one| one.answers.is_empty()) else { return };
        // If the connection is still open, no response arrived for 1 s after this client stopped.
        one.unanswered = Some(ended_at.unwrap_or_else(Instant::now));
        if ended_at.is_none() {
            return;
        }
        let class = one.class;
        drop(asked);
        let resent = retry(txn, class, server);
        let mut asked = self.journal.asked.lock().expect("the journal");
        if let Some(one) = asked.get_mut(txn) {
            one.resent = Some(resent);
        }
    }

    fn pause_between_requests(&mut self, shared: &Shared) {
        let pause = match self.habit {
            Habit::Paced | Habit::SlowReader => self.draws.ms(600),
            Habit::Pipelined => self.draws.ms(400),
            Habit::SplitWrites | Habit::ShortDeadline => self.draws.ms(100),
            Habit::IdleUntilKill => Duration::from_secs(60),
        };
        let until = Instant::now() + pause;
        while Instant::now() < until && !shared.has_ended() && !self.is_quiet() {
            let killed_at = *self.killed_at.lock().expect("the kill time");
            let last_moment = killed_at.is_some_and(|at| at <= Instant::now() + Duration::from_millis(100));
            if self.habit == Habit::IdleUntilKill && last_moment {
                thread::sleep(self.draws.ms(100));
                return;
            }
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Sends requests according to `habit`; false if the connection is broken.
    fn send_requests(&mut self, link: &mut Link, shared: &Shared, next_stream: &mut u32) -> bool {
        let free_slots = MAX_OPEN_REQUESTS - shared.open.lock().expect("the open requests").len();
        let many = match self.habit {
            Habit::Pipelined => 1 + self.draws.below(MAX_OPEN_REQUESTS as u64) as usize,
            _ => 1,
        };
        let mut bytes = Vec::new();
        let mut txns = Vec::new();
        for _ in 0..many.min(free_slots) {
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
        if self.habit == Habit::SplitWrites {
            let cut = self.draws.below(bytes.len() as u64) as usize;
            let rest = bytes.split_off(cut);
            if !link.try_send(&bytes) {
                return false;
            }
            thread::sleep(self.draws.ms(60));
            bytes = rest;
        }
        let before = Instant::now();
        self.record_written(&txns, (before, before));
        let sent = link.try_send(&bytes);
        self.record_written(&txns, (before, Instant::now()));
        let cancels = txns.len() == 1 && self.draws.is(0.05);
        if cancels && sent {
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
        if self.habit != Habit::ShortDeadline {
            return request_frame(stream, txn, class, txn.as_bytes());
        }
        let time_left_ms = self.draws.below(30);
        let arrived_at = (unix_ms() as u64 + time_left_ms).saturating_sub(self.deadline_ms).to_string();
        let fields = [
            ("verb", class),
            ("txn", txn),
            ("door", &arrived_at),
            ("lb", "1"),
            ("team", "acme"),
            ("cpu", "20.5"),
            ("ram", "24.5"),
            ("standing", "0.5"),
        ];
        request(stream, &fields, txn.as_bytes())
    }

    fn record_written(&self, txns: &[(String, &'static str)], written: (Instant, Instant)) {
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

/// Reads responses until the connection ends.
fn read(stream: TcpStream, shared: &Shared, journal: &Journal, delay: Duration) {
    let mut router = Router(Link::new(stream));
    let mut known_requests: BTreeMap<u32, String> = BTreeMap::new();
    while let Some(frame) = router.try_frame() {
        thread::sleep(delay);
        match frame.kind {
            64 => shared.drain_announced.store(true, Ordering::SeqCst),
            4 => {
                known_requests.extend(shared.open.lock().expect("the open requests").clone());
                record_response(&frame.payload, known_requests.get(&frame.stream), frame.stream, journal);
                shared.open.lock().expect("the open requests").remove(&frame.stream);
            }
            _ => journal.report(format!("a frame of type {}", frame.kind)),
        }
    }
    *shared.ended_at.lock().expect("the end time") = Some(Instant::now());
}

fn record_response(payload: &[u8], txn: Option<&String>, stream: u32, journal: &Journal) {
    let Some(txn) = txn else {
        // A response may cross the cancellation of its request.
        if stream == 0 {
            journal.report("the server did not understand a frame".into());
        }
        return;
    };
    let Some(code) = payload.first().copied() else { return journal.report("an empty response".into()) };
    if code == 79 && !payload.ends_with(result(txn).as_bytes()) {
        journal.report(format!("{txn} has the result of another run"));
    }
    if let Some(one) = journal.asked.lock().expect("the journal").get_mut(txn) {
        one.answers.push((code, Instant::now()));
    }
}

/// Retries a request on a new connection.
fn retry(txn: &str, class: &str, server: SocketAddr) -> Resent {
    let Ok(stream) = TcpStream::connect(server) else { return Resent::Refused };
    let mut router = Router(Link::new(stream));
    let sent_at = Instant::now();
    if !router.0.try_send(&request_frame(1, txn, class, txn.as_bytes())) {
        return Resent::Ended(Duration::ZERO);
    }
    while let Some(frame) = router.try_frame() {
        if (frame.kind, frame.stream) == (4, 1) {
            return Resent::Answered(frame.payload.first().copied().unwrap_or(0));
        }
    }
    Resent::Ended(sent_at.elapsed())
}
