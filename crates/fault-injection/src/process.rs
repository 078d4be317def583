//! A process of the program under test, which can be started, suspended, resumed and killed, with the folder that holds its data.

use crate::Disk;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Number of ports in a block that one test process reserves.
const BLOCK_PORTS: u16 = 100;

/// The listeners on the first port of each block that this process reserved, and the next port of the last block.
static RESERVED_PORTS: Mutex<(Vec<TcpListener>, u16)> = Mutex::new((Vec::new(), 0));

/// A loopback port for datagrams and connections that stays reserved for its user, even while that process is down.
/// The operating system never assigns it as an ephemeral port, because it lies below the ephemeral range. No other call returns it
/// again, in this process or another, because each process reserves whole blocks and keeps a listener on the first port of each.
pub fn free_port() -> SocketAddr {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap_or_default();
    let ephemeral_start =
        range.split_whitespace().next().and_then(|low| low.parse::<u16>().ok()).unwrap_or(32_768);
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let mut reserved = RESERVED_PORTS.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    for first in (10_000..ephemeral_start.max(12_000) - BLOCK_PORTS).step_by(BLOCK_PORTS as usize) {
        while !reserved.1.is_multiple_of(BLOCK_PORTS) {
            let address = at(reserved.1);
            reserved.1 += 1;
            if UdpSocket::bind(address).is_ok() && TcpListener::bind(address).is_ok() {
                return address;
            }
        }
        if let Ok(listener) = TcpListener::bind(at(first)) {
            reserved.0.push(listener);
            reserved.1 = first + 1;
        }
    }
    panic!("no block of {BLOCK_PORTS} loopback ports is free");
}

/// A process with its start parameters, which are stored so that it can be restarted.
pub struct Process {
    pub name: String,
    program: PathBuf,
    words: Vec<String>,
    env: Vec<(String, String)>,
    /// The folder that holds its data.
    folder: Option<PathBuf>,
    child: Option<Child>,
    stopped: bool,
    /// The log lines of all its incarnations, with the time when each was read.
    log: Arc<Mutex<Vec<(Instant, String)>>>,
}

/// Maximum number of log lines that are stored.
const MAX_LOG_LINES: usize = 20_000;

impl Process {
    pub fn new(name: &str, program: &Path, words: &[&str]) -> Process {
        Process {
            name: name.into(),
            program: program.into(),
            words: words.iter().map(|word| word.to_string()).collect(),
            env: Vec::new(),
            folder: None,
            child: None,
            stopped: false,
            log: Arc::default(),
        }
    }

    pub fn env(mut self, key: &str, value: &str) -> Process {
        self.env.push((key.into(), value.into()));
        self
    }

    /// Removes an environment variable from the next start on.
    pub fn forgets(&mut self, key: &str) {
        self.env.retain(|(known, _)| known != key);
    }

    /// Sets an environment variable from the next start on.
    pub fn with(&mut self, key: &str, value: &str) {
        self.forgets(key);
        self.env.push((key.into(), value.into()));
    }

    /// Sets the folder that holds its data.
    pub fn disk(mut self, folder: &Path) -> Process {
        self.folder = Some(folder.into());
        self
    }

    pub fn start(&mut self) {
        self.kill();
        let mut child = Command::new(&self.program)
            .args(&self.words)
            .envs(self.env.iter().map(|(key, value)| (key, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("{}: {error}", self.program.display()));
        let (stderr, log) =
            (child.stderr.take().expect("the standard error of the process"), self.log.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let mut log = log.lock().expect("the log");
                if log.len() < MAX_LOG_LINES {
                    log.push((Instant::now(), line));
                }
            }
        });
        self.child = Some(child);
    }

    /// Restarts the process with its current disk, with the copy made by `keep`, or with an empty disk.
    pub fn start_with(&mut self, disk: Disk) {
        self.kill();
        if let Some(folder) = &self.folder {
            let copied = folder.with_extension("kept");
            match disk {
                Disk::Old => {}
                Disk::Empty => drop(std::fs::remove_dir_all(folder)),
                Disk::Older if copied.is_dir() => {
                    let _ = std::fs::remove_dir_all(folder);
                    copy_folder(&copied, folder);
                }
                Disk::Older => {}
            }
        }
        self.start();
    }

    /// Copies its current disk for a later start with `Disk::Older`.
    pub fn keep(&self) {
        if let Some(folder) = self.folder.as_ref().filter(|folder| folder.is_dir()) {
            let copied = folder.with_extension("kept");
            let _ = std::fs::remove_dir_all(&copied);
            copy_folder(folder, &copied);
        }
    }

    pub fn runs(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().is_ok_and(|ended| ended.is_none()))
    }

    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn signal(&self, name: &str) {
        if let Some(id) = self.id() {
            let _ = Command::new("kill").args(["-s", name, &id.to_string()]).stderr(Stdio::null()).status();
        }
    }

    pub fn stop(&mut self) {
        self.stopped = true;
        self.signal("STOP");
    }
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }
    pub fn wake(&mut self) {
        self.stopped = false;
        self.signal("CONT");
    }
    pub fn end(&mut self) {
        self.signal("TERM");
    }
    pub fn kill(&mut self) {
        self.stopped = false;
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits up to `within` for the process to exit.
    pub fn ended(&mut self, within: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Some(status) = self.child.as_mut()?.try_wait().ok()? {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }

    /// Waits for a log line that contains `words` after the first `after` lines; returns the number of lines up to and including it.
    pub fn logged(&self, words: &str, after: usize, within: Duration) -> Option<usize> {
        let until = Instant::now() + within;
        loop {
            let log = self.log.lock().expect("the log");
            if let Some(at) = log.iter().skip(after).position(|line| line.1.contains(words)) {
                return Some(after + at + 1);
            }
            drop(log);
            if Instant::now() > until {
                return None;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// All log lines, with the time when each was read.
    pub fn log(&self) -> Vec<(Instant, String)> {
        self.log.lock().expect("the log").clone()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Copies a folder file by file, as a restored backup would be.
fn copy_folder(from: &Path, to: &Path) {
    let _ = std::fs::create_dir_all(to);
    for entry in std::fs::read_dir(from).into_iter().flatten().flatten() {
        let (path, target) = (entry.path(), to.join(entry.file_name()));
        match path.is_dir() {
            true => copy_folder(&path, &target),
            false => drop(std::fs::copy(&path, &target)),
        }
    }
}
