//! Stand-ins on loopback for all peers of an app server: executor (`Kernel`), downstream proxy (`Ledger`), service registry and
//! client (`Router`, `Gateway`). They are written from the protocol alone, with blocking sockets, so that a test drives each
//! peer line by line. Each wait is bounded by `TIMEOUT` and panics with what it waited for.

pub mod owners;
pub mod rollout;
pub mod soak;
pub mod split;
pub mod tier;

use base64::{engine::general_purpose::STANDARD, Engine};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Request IDs for tests that need one or two.
pub const ONE: &str = "00000000000000a1";
pub const TWO: &str = "00000000000000b2";

/// Upper bound of each wait in the stand-ins.
pub const TIMEOUT: Duration = Duration::from_secs(30);
/// Upper bound of the time from the end of a process' log to its exit.
const EXIT_AFTER_LOG: Duration = Duration::from_secs(5);

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}

/// One end of a connection.
pub struct Link {
    stream: TcpStream,
    bytes: Vec<u8>,
    /// The peer has closed the connection.
    pub over: bool,
}

/// Repeats an interrupted wait: a wait with a timeout ends early with `Interrupted` where the whole machine was suspended.
fn retry_interrupted<T>(mut wait: impl FnMut() -> std::io::Result<T>) -> std::io::Result<T> {
    loop {
        match wait() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

impl Link {
    pub fn new(stream: TcpStream) -> Link {
        stream.set_read_timeout(Some(TIMEOUT)).expect("to set a timeout");
        stream.set_write_timeout(Some(TIMEOUT)).expect("to set a timeout");
        stream.set_nodelay(true).expect("to set TCP_NODELAY");
        Link { stream, bytes: Vec::new(), over: false }
    }
    pub fn connect(address: SocketAddr) -> Link {
        Link::new(TcpStream::connect(address).expect("to connect"))
    }
    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).expect("to write");
    }
    /// The local address.
    pub fn address(&self) -> SocketAddr {
        self.stream.local_addr().expect("an address")
    }
    /// Whether all bytes were written before a write timed out after 2 s.
    pub fn try_send(&mut self, bytes: &[u8]) -> bool {
        self.stream.set_write_timeout(Some(Duration::from_secs(2))).expect("to set a timeout");
        self.stream.write_all(bytes).is_ok()
    }
    /// Reads more bytes into the buffer; false at the end of input, after a reset too.
    fn read_more(&mut self) -> bool {
        let mut part = [0; 4096];
        match retry_interrupted(|| self.stream.read(&mut part)) {
            Ok(many) => {
                self.bytes.extend(&part[..many]);
                self.over = many == 0;
                many > 0
            }
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {
                self.over = true;
                false
            }
            Err(error) => panic!("read failed after {:?}: {error}", String::from_utf8_lossy(&self.bytes)),
        }
    }
    /// Whether a line is buffered, or input or the end of input arrives within `time`.
    pub fn waiting(&mut self, time: Duration) -> bool {
        if self.bytes.contains(&b'\n') {
            return true;
        }
        self.stream.set_read_timeout(Some(time)).expect("to set a timeout");
        let is_readable = retry_interrupted(|| self.stream.peek(&mut [0])).is_ok();
        self.stream.set_read_timeout(Some(TIMEOUT)).expect("to set a timeout");
        is_readable
    }
    /// Reads exactly `many` bytes.
    pub fn exact(&mut self, many: usize) -> Vec<u8> {
        while self.bytes.len() < many {
            assert!(self.read_more(), "connection ended after {:?}", String::from_utf8_lossy(&self.bytes));
        }
        self.bytes.drain(..many).collect()
    }
    /// The next line without its line end; `None` where the connection ended first.
    pub fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.bytes.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.bytes.drain(..=end).collect();
                return Some(String::from_utf8_lossy(&line).trim_end().to_string());
            }
            if !self.read_more() {
                return None;
            }
        }
    }
    /// Waits until the peer closes the connection; whether no bytes were left to read.
    pub fn ended(&mut self) -> bool {
        while self.read_more() {}
        self.bytes.is_empty()
    }
    /// Closes the connection for writing; it can still be read.
    pub fn close_writing(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }
    pub fn close(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
    /// Closes the connection with a reset (RST); bytes not yet received are discarded.
    pub fn reset(&mut self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        let nothing =
            TcpListener::bind("127.0.0.1:0").and_then(|listener| TcpStream::connect(listener.local_addr()?));
        self.stream = nothing.expect("a replacement connection");
    }
}

// ---- client of the binary frame protocol ----

#[derive(Debug, PartialEq)]
pub struct Frame {
    pub kind: u8,
    pub stream: u32,
    pub payload: Vec<u8>,
}

pub struct Router(pub Link);

pub fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut out = (payload.len() as u32 + 5).to_be_bytes().to_vec();
    out.push(kind);
    out.extend(stream.to_be_bytes());
    out.extend(payload);
    out
}

/// A request frame whose arrival time is now.
pub fn request_frame(stream: u32, txn: &str, operation: &str, body: &[u8]) -> Vec<u8> {
    let door = unix_ms().to_string();
    let fields = [
        ("verb", operation),
        ("txn", txn),
        ("door", &door),
        ("lb", "1"),
        ("team", "acme"),
        ("cpu", "20.5"),
        ("ram", "24.5"),
        ("standing", "0.5"),
    ];
    request(stream, &fields, body)
}

/// A request frame on `stream` with `fields` in the given order.
pub fn request(stream: u32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut payload = vec![fields.len() as u8];
    for (name, value) in fields {
        payload.push(name.len() as u8);
        payload.extend(name.as_bytes());
        payload.extend((value.len() as u16).to_be_bytes());
        payload.extend(value.as_bytes());
    }
    payload.extend(body);
    frame(2, stream, &payload)
}

impl Router {
    pub fn connect(address: SocketAddr) -> Router {
        Router(Link::connect(address))
    }
    pub fn frame(&mut self) -> Frame {
        let head = self.0.exact(9);
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
        Frame { kind: head[4], stream, payload: self.0.exact(length - 5) }
    }
    /// Like `try_answer`, for a server that may be killed at any time: any read error ends it with `None`.
    pub fn silent_response(&mut self) -> Option<&'static str> {
        let mut bytes = Vec::new();
        loop {
            let mut part = [0; 1024];
            let many = retry_interrupted(|| self.0.stream.read(&mut part)).unwrap_or(0);
            bytes.extend(&part[..many]);
            while bytes.len() >= 10 {
                let length = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize + 4;
                if bytes.len() < length {
                    break;
                }
                let frame: Vec<u8> = bytes.drain(..length).collect();
                match (frame[4], frame[8], frame.get(9)) {
                    (4, 1, Some(79)) => return Some("succeeded"),
                    (4, 1, Some(66)) => return Some("throttled"),
                    (4, 1, _) => return Some("errored"),
                    (4, ..) => return Some("not understood"),
                    _ => {}
                }
            }
            if many == 0 {
                return None;
            }
        }
    }
    /// The next complete frame; `None` where the connection ended or was reset first.
    pub fn try_frame(&mut self) -> Option<Frame> {
        let mut wanted = 9;
        while self.0.bytes.len() < wanted {
            if !self.0.read_more() {
                return None;
            }
            if let Some(head) = self.0.bytes.get(..4) {
                wanted = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize + 4;
            }
        }
        Some(self.frame())
    }
    /// The outcome of the single request on stream 1; `None` where the connection ended first.
    pub fn try_answer(&mut self) -> Option<&'static str> {
        loop {
            while self.0.bytes.len() < 10 {
                if !self.0.read_more() {
                    return None;
                }
            }
            let length =
                u32::from_be_bytes([self.0.bytes[0], self.0.bytes[1], self.0.bytes[2], self.0.bytes[3]]);
            while self.0.bytes.len() < length as usize + 4 {
                if !self.0.read_more() {
                    return None;
                }
            }
            let frame = self.frame();
            match (frame.kind, frame.stream, frame.payload.first()) {
                (4, 1, Some(79)) => return Some("succeeded"),
                (4, 1, Some(66)) => return Some("throttled"),
                (4, 1, _) => return Some("errored"),
                (4, ..) => return Some("not understood"),
                _ => {}
            }
        }
    }
    /// The next response: its stream, its code and the body after its fields.
    pub fn answer(&mut self) -> (u32, &'static str, Vec<u8>) {
        let frame = self.frame();
        assert_eq!(frame.kind, 4, "{frame:?}");
        let code = match frame.payload[0] {
            79 => "succeeded",
            66 => "throttled",
            69 => "errored",
            code => panic!("code {code}"),
        };
        let mut at = 2;
        for _ in 0..frame.payload[1] {
            at += 1 + frame.payload[at] as usize;
            at += 2 + u16::from_be_bytes([frame.payload[at], frame.payload[at + 1]]) as usize;
        }
        (frame.stream, code, frame.payload[at..].to_vec())
    }
}

// ---- executor ----

/// The executor's end of a link, with the serial number of the last notice that it sent.
pub struct Kernel {
    pub link: Link,
    pub serial: u64,
    /// Number of connections that the gauges report.
    pub links: u32,
    /// The request class of the last run that was requested.
    pub service: String,
}

impl Kernel {
    /// Accepts the next link and reads its `OPEN`; also returns the serial number in that `OPEN`.
    pub fn accept(listener: &TcpListener) -> (Kernel, u64) {
        let mut link = Link::new(listener.accept().expect("to accept a link").0);
        let open: Value = serde_json::from_str(&link.line().expect("OPEN")).expect("JSON");
        assert_eq!(open["msg"], "OPEN");
        let serial = open["serial"].as_u64().expect("a serial number");
        (Kernel { link, serial, links: 2, service: String::new() }, serial)
    }
    /// Accepts the next link of a process that may be killed at any time; `None` where the process ended before the link was up.
    pub fn try_accept(listener: &TcpListener, how: &str) -> Option<Kernel> {
        let mut stream = listener.accept().ok()?.0;
        let _ = stream.set_read_timeout(Some(TIMEOUT));
        let (mut open, mut byte) = (Vec::new(), [0]);
        while byte[0] != b'\n' {
            if retry_interrupted(|| stream.read(&mut byte)).unwrap_or(0) == 0 {
                return None;
            }
            open.push(byte[0]);
        }
        let open: Value = serde_json::from_slice(&open).ok()?;
        let mut link = Link::new(stream);
        let booted = json!({"msg": "BOOTED", "how": how, "duration": 0});
        link.try_send(format!("{booted}\n").as_bytes()).then_some(())?;
        Some(Kernel { link, serial: open["serial"].as_u64()?, links: 2, service: String::new() })
    }
    /// Sends a notice.
    pub fn say(&mut self, notice: Value) {
        self.link.send(format!("{notice}\n"));
    }
    pub fn boot(&mut self, how: &str) {
        self.say(json!({"msg": "BOOTED", "how": how, "duration": 0}));
    }
    /// Sends a notice with the next serial number.
    pub fn send_notice(&mut self, msg: &str, call: &str, how: &str, body: &[u8]) {
        self.serial += 1;
        let blob = STANDARD.encode(body);
        self.say(
            json!({"msg": msg, "serial": self.serial, "call": call, "how": how, "duration": 5, "blob": blob}),
        );
    }
    /// Like `send_notice`, for a process that may have ended; false if the notice could not be sent.
    pub fn try_send_notice(&mut self, msg: &str, call: &str, how: &str, body: &[u8]) -> bool {
        self.serial += 1;
        let blob = STANDARD.encode(body);
        let notice =
            json!({"msg": msg, "serial": self.serial, "call": call, "how": how, "duration": 5, "blob": blob});
        self.link.try_send(format!("{notice}\n").as_bytes())
    }
    /// The next command: its name, its call and its body. Answers requests for the gauges that come before it.
    pub fn receive(&mut self) -> Option<(String, String, Vec<u8>)> {
        let until = Instant::now() + TIMEOUT;
        loop {
            assert!(Instant::now() < until, "only requests for the gauges arrived");
            let command: Value = serde_json::from_str(&self.link.line()?).expect("JSON");
            if let Some(received) = self.handle_command(&command) {
                return Some(received);
            }
        }
    }
    /// The next command if one arrives within `time`. Answers requests for the gauges meanwhile.
    pub fn receive_within(&mut self, time: Duration) -> Option<(String, String, Vec<u8>)> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if !self.link.waiting(Duration::from_millis(5)) {
                continue;
            }
            let command: Value = serde_json::from_str(&self.link.line()?).expect("JSON");
            match self.handle_command(&command) {
                None => {}
                received => return received,
            }
        }
        None
    }
    /// Parses a command; `None` for a request for the gauges, to which it responds.
    fn handle_command(&mut self, command: &Value) -> Option<(String, String, Vec<u8>)> {
        let word = |key: &str| command[key].as_str().unwrap_or("").to_string();
        if word("msg") == "SYSINFO" {
            self.say(json!({"msg": "INFO", "cookie": word("cookie"), "stats": [0.5, 1, 0.1, self.links]}));
            return None;
        }
        self.service = word("service");
        Some((word("msg"), word("call"), STANDARD.decode(word("blob")).expect("base64")))
    }
    /// Whether the link ended without a further command. Requests for the gauges don't count as commands.
    pub fn ended_without_command(&mut self) -> bool {
        while let Some(line) = self.link.line() {
            let command: Value = serde_json::from_str(&line).expect("JSON");
            if command["msg"] != "SYSINFO" {
                return false;
            }
        }
        self.link.ended()
    }
    /// Waits for the next command, which must be `msg` for `call`; returns its body.
    pub fn expect(&mut self, msg: &str, call: &str) -> Vec<u8> {
        let (received, received_call, body) = self.receive().expect("a command");
        assert_eq!((received.as_str(), received_call.as_str()), (msg, call));
        body
    }
}

/// Executes all runs that the app server requests, on `cores` cores shared evenly among the active runs. `work` gives the CPU time
/// of a run by request class. Adds the body of each run to `ran`. Ends with the link.
pub fn run_cores(
    mut kernel: Kernel,
    cores: f64,
    work: impl Fn(&str) -> Duration + Send + 'static,
    ran: Arc<Mutex<Vec<String>>>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut runs: BTreeMap<String, Duration> = BTreeMap::new();
        let mut last = Instant::now();
        while !kernel.link.over {
            if let Some((msg, call, body)) = kernel.receive_within(Duration::from_millis(2)) {
                match msg.as_str() {
                    "SCHED" => {
                        runs.insert(call, work(&kernel.service));
                        ran.lock().expect("the list").push(String::from_utf8_lossy(&body).into_owned());
                    }
                    "PREEMPT" if runs.remove(&call).is_some() => {
                        kernel.try_send_notice("REAP", &call, "STOPPED", b"");
                    }
                    _ => {}
                }
            }
            let each = cores / (runs.len() as f64).max(cores);
            let spent = last.elapsed().mul_f64(each);
            last = Instant::now();
            runs.values_mut().for_each(|left| *left = left.saturating_sub(spent));
            let over: Vec<String> =
                runs.iter().filter(|(_, left)| left.is_zero()).map(|(call, _)| call.clone()).collect();
            for call in over {
                runs.remove(&call);
                if !kernel.try_send_notice("REAP", &call, "OK", b"done") {
                    return;
                }
            }
        }
    })
}

// ---- downstream proxy ----

pub struct Ledger(pub Link);

impl Ledger {
    pub fn accept(listener: &TcpListener) -> Ledger {
        Ledger(Link::new(listener.accept().expect("to accept a connection").0))
    }
    /// The next command: the words of its line, and the body of a `post`.
    pub fn receive(&mut self) -> Option<(Vec<String>, Vec<u8>)> {
        let words: Vec<String> = self.0.line()?.split(' ').map(str::to_string).collect();
        let mut body = Vec::new();
        if words[0] == "post" {
            body = self.0.exact(words[3].parse::<usize>().expect("a length") + 2);
            assert_eq!(body.split_off(body.len() - 2), b"\r\n");
        }
        Some((words, body))
    }
    pub fn posted(&mut self, call: &str, reply: &[u8]) {
        let mut out = format!("{call} posted {}\r\n", reply.len()).into_bytes();
        out.extend(reply);
        out.extend(b"\r\n");
        self.0.send(out);
    }
}

// ---- SCGI gateway and SCGI backend ----

/// An SCGI request as a gateway sends it, one on each connection.
pub fn scgi_request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let length = body.len().to_string();
    let own = [("CONTENT_LENGTH", &length[..]), ("SCGI", "1"), ("REQUEST_METHOD", method)];
    let rest = [("REQUEST_URI", path), ("SCRIPT_NAME", path), ("SERVER_PROTOCOL", "HTTP/1.1")];
    let header: String = own.iter().chain(&rest).chain(headers).map(|(k, v)| format!("{k}\0{v}\0")).collect();
    let mut out = format!("{}:{header},", header.len()).into_bytes();
    out.extend(body);
    out
}

/// A response to a gateway: its status, its header lines as received, and its body.
#[derive(Debug, PartialEq)]
pub struct Response {
    pub status: u16,
    pub header: Vec<String>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn field(&self, name: &str) -> Option<&str> {
        let matches_name = |line: &&String| {
            line.to_ascii_lowercase().starts_with(&format!("{}: ", name.to_ascii_lowercase()))
        };
        self.header.iter().find(matches_name).map(|line| &line[name.len() + 2..])
    }
}

pub struct Gateway(pub Link);

impl Gateway {
    pub fn connect(address: SocketAddr) -> Gateway {
        Gateway(Link::connect(address))
    }
    pub fn asks(address: SocketAddr, method: &str, path: &str, body: &[u8]) -> Gateway {
        let mut gateway = Gateway::connect(address);
        gateway.0.send(scgi_request(method, path, &[], body));
        gateway
    }
    /// The response, read to the end of the connection; `None` where the connection ended without one.
    pub fn response(&mut self) -> Option<Response> {
        while self.0.read_more() {}
        let bytes = std::mem::take(&mut self.0.bytes);
        let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
        let head = String::from_utf8(bytes[..end].to_vec()).expect("text");
        let mut response = Response {
            status: 0,
            header: head.split("\r\n").map(str::to_string).collect(),
            body: bytes[end + 4..].to_vec(),
        };
        let word = |name| response.field(name).unwrap_or_else(|| panic!("no {name}: {head:?}")).to_string();
        let length = word("Content-Length").parse::<usize>().expect("a length");
        let status = word("Status").split(' ').next().and_then(|word| word.parse().ok());
        assert!(response.body.len() == length || response.body.is_empty(), "{response:?}");
        response.status = status.expect("a status");
        Some(response)
    }
}

/// The backend's end of the connection of one call.
pub struct Backend(pub Link);

impl Backend {
    pub fn accept(listener: &TcpListener) -> Backend {
        Backend(Link::new(listener.accept().expect("to accept a connection").0))
    }
    /// The header fields with their names, and the body.
    pub fn receive(&mut self) -> (Vec<(String, String)>, Vec<u8>) {
        let mut digits = String::new();
        loop {
            match self.0.exact(1)[0] {
                b':' => break,
                digit => digits.push(char::from(digit)),
            }
        }
        let header = self.0.exact(digits.parse().expect("a length"));
        assert_eq!(self.0.exact(1), b",");
        let text = String::from_utf8(header).expect("text");
        let words: Vec<&str> =
            text.strip_suffix('\0').expect("a NUL at the end of the header").split('\0').collect();
        let fields: Vec<(String, String)> =
            words.chunks(2).map(|two| (two[0].to_string(), two[1].to_string())).collect();
        assert_eq!((fields[0].0.as_str(), fields[1].0.as_str()), ("CONTENT_LENGTH", "SCGI"));
        let body = self.0.exact(fields[0].1.parse().expect("a length"));
        (fields, body)
    }
    pub fn answer(&mut self, status: &str, body: &[u8]) {
        let head = format!("Status: {status}\r\nContent-Length: {}\r\n\r\n", body.len());
        self.0.send([head.as_bytes(), body].concat());
        self.0.close_writing();
    }
}

// ---- service registry ----

/// Reads one load report and responds with `status`; returns its request line and body.
pub fn report(link: &mut Link, status: &str) -> Option<(String, String)> {
    let first = link.line()?;
    let mut length = 0;
    loop {
        let line = link.line()?;
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length");
        }
    }
    let body = String::from_utf8(link.exact(length)).expect("text");
    link.send(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n"));
    Some((first, body))
}

// ---- app server ----

/// The listeners of all stand-ins, and one app server process that is configured with their addresses.
pub struct Deployment {
    pub kernel: TcpListener,
    pub ledger: TcpListener,
    pub roster: TcpListener,
    pub server: SocketAddr,
    /// The address for gateways, if the operator's file has an `scgi` section.
    pub scgi: Option<SocketAddr>,
    process: std::cell::RefCell<Child>,
    log: Receiver<String>,
    /// All log lines read until now.
    seen_lines: std::cell::RefCell<Vec<String>>,
    config: PathBuf,
    operator: PathBuf,
    configuration: Value,
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free loopback port")
}

impl Deployment {
    /// Starts `program` with the configuration `config`, modified by `change`. All addresses are assigned here.
    pub fn start(program: &Path, config: &str, change: impl FnOnce(&mut Value)) -> Deployment {
        Deployment::start_with(program, config, "", change)
    }
    /// Like `start`, and accepts the first link to the executor and reports a warm start on it.
    pub fn up(program: &Path, config: &str, change: impl FnOnce(&mut Value)) -> (Deployment, Kernel) {
        let place = Deployment::start(program, config, change);
        let (mut kernel, serial) = Kernel::accept(&place.kernel);
        assert_eq!(serial, 0);
        kernel.boot("WARM");
        place.logged("kernel up");
        (place, kernel)
    }
    /// Like `start`, with the text of an operator's file, in which `LEDGER` stands for the address of the downstream proxy.
    pub fn start_with(
        program: &Path,
        config: &str,
        operator: &str,
        change: impl FnOnce(&mut Value),
    ) -> Deployment {
        Deployment::start_as(program, "serve", config, operator, change)
    }
    /// Like `start_with`, in the role `role`, such as `forward` or `plan`. A planner has no listener for requests.
    pub fn start_as(
        program: &Path,
        role: &str,
        config: &str,
        operator: &str,
        change: impl FnOnce(&mut Value),
    ) -> Deployment {
        let (kernel, ledger, roster) = (listener(), listener(), listener());
        let address = |listener: &TcpListener| json!(listener.local_addr().expect("an address").to_string());
        let mut configuration: Value = serde_json::from_str(config).expect("JSON");
        configuration["listen"] = json!("127.0.0.1:0");
        configuration["kernel"] = address(&kernel);
        configuration["ledger"] = address(&ledger);
        configuration["roster"] = address(&roster);
        change(&mut configuration);
        let port = kernel.local_addr().expect("an address").port();
        let config = std::env::temp_dir().join(format!("cypresscleat-{}-{port}.json", std::process::id()));
        std::fs::write(&config, configuration.to_string()).expect("to write the configuration");
        let path = config.with_extension("cue");
        let operator = operator.replace("LEDGER", configuration["ledger"].as_str().unwrap_or(""));
        std::fs::write(&path, &operator).expect("to write the operator's file");
        let words = [std::ffi::OsStr::new(role), std::ffi::OsStr::new("--operator"), path.as_os_str()];
        let mut process = Command::new(program)
            .args(&words[..if operator.is_empty() { 0 } else { 3 }])
            .env("EDGE_CONFIG", &config)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("{}: {error}", program.display()));
        let (tell, log) = channel();
        let stderr = process.stderr.take().expect("the standard error of the process");
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let _ = tell.send(line);
            }
        });
        let server = SocketAddr::from(([127, 0, 0, 1], 0));
        let (scgi, path, seen_lines) = (None, path, Default::default());
        let process = std::cell::RefCell::new(process);
        let mut place = Deployment {
            kernel,
            ledger,
            roster,
            server,
            scgi,
            process,
            log,
            seen_lines,
            config,
            operator: path,
            configuration,
        };
        let listen_address = |place: &Deployment, words| {
            let line = place.logged(words);
            line.rsplit(' ').next().and_then(|word| word.parse().ok()).expect("an address")
        };
        if role == "plan" {
            place.logged("hears members at ");
            return place;
        }
        place.server = listen_address(&place, "listens on ");
        if operator.contains("scgi: {") {
            place.scgi = Some(listen_address(&place, "scgi listens on "));
        }
        place
    }
    /// Waits for the next log line that contains `words`.
    pub fn logged(&self, words: &str) -> String {
        let until = Instant::now() + TIMEOUT;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let line = self.log.recv_timeout(left).unwrap_or_else(|error| {
                let end = match self.exit_after_log(error) {
                    Some(status) => format!("the process ended with {status}"),
                    None if error == RecvTimeoutError::Disconnected => {
                        "the process closed its log".to_string()
                    }
                    None => "the process is still running".to_string(),
                };
                panic!("no log line contains {words:?}; {end}; log: {:#?}", self.seen_lines.borrow())
            });
            self.seen_lines.borrow_mut().push(line.clone());
            if line.contains(words) {
                return line;
            }
        }
    }
    /// The exit status of the process. Where it has closed its log it is given `EXIT_AFTER_LOG` to end: the log closes first.
    fn exit_after_log(&self, log_error: RecvTimeoutError) -> Option<ExitStatus> {
        let has_closed_log = log_error == RecvTimeoutError::Disconnected;
        let until = Instant::now() + if has_closed_log { EXIT_AFTER_LOG } else { Duration::ZERO };
        loop {
            let status = self.process.borrow_mut().try_wait().ok().flatten();
            if status.is_some() || Instant::now() >= until {
                return status;
            }
            thread::sleep(Duration::from_millis(1));
        }
    }
    /// Whether a log line written until now contains `words`.
    pub fn has_logged(&self, words: &str) -> bool {
        self.seen_lines.borrow_mut().extend(self.log.try_iter());
        self.seen_lines.borrow().iter().any(|line| line.contains(words))
    }
    /// Moves all stand-ins to new addresses and reloads the configuration; returns the new listeners.
    pub fn moves(&mut self) -> [TcpListener; 3] {
        let new = [listener(), listener(), listener()];
        for (listener, key) in new.iter().zip(["kernel", "ledger", "roster"]) {
            self.configuration[key] = json!(listener.local_addr().expect("an address").to_string());
        }
        self.configure(&self.configuration.to_string());
        new
    }
    /// Replaces the configuration file and has the process reload it.
    pub fn configure(&self, text: &str) {
        std::fs::write(&self.config, text).expect("to write the configuration");
        self.signal("HUP");
    }
    /// Replaces the operator's file and has the process reload it.
    pub fn operates(&self, text: &str) {
        std::fs::write(&self.operator, text).expect("to write the operator's file");
        self.signal("HUP");
    }
    pub fn id(&self) -> u32 {
        self.process.borrow().id()
    }
    pub fn signal(&self, name: &str) {
        let id = self.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.is_ok_and(|status| status.success()), "to send {name}");
    }
    /// Waits until the process exits without a further signal.
    pub fn exit(&mut self) -> ExitStatus {
        let until = Instant::now() + TIMEOUT;
        while Instant::now() < until {
            if let Some(status) = self.process.get_mut().try_wait().expect("the process state") {
                return status;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("the process is still running");
    }
    pub fn runs(&mut self) -> bool {
        self.process.get_mut().try_wait().expect("the process state").is_none()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = self.process.get_mut().kill();
        let _ = self.process.get_mut().wait();
        let _ = std::fs::remove_file(&self.config);
        let _ = std::fs::remove_file(&self.operator);
    }
}
