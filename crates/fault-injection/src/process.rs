//! A process of the program under test: started, stopped, woken, killed, with the folder that is its disk.

use crate::Disk;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Ports in a block that one process of tests takes for itself.
const BLOCK: u16 = 100;

/// The blocks that this process has taken, by the listener on the first port of each, and the next port of the last one.
static TAKEN: Mutex<(Vec<TcpListener>, u16)> = Mutex::new((Vec::new(), 0));

/// A port of loopback, for datagrams and connections, that stays free for whoever it is meant for, also while that one is down.
/// The kernel never draws it for somebody who asks for any port, as it is under those that it draws from; no other call gives it
/// again, in this process or in another one, as each process takes whole blocks and holds the first port of each.
pub fn free_port() -> SocketAddr {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap_or_default();
    let drawn = range.split_whitespace().next().and_then(|low| low.parse::<u16>().ok()).unwrap_or(32_768);
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let mut taken = TAKEN.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    for first in (10_000..drawn.max(12_000) - BLOCK).step_by(BLOCK as usize) {
        while !taken.1.is_multiple_of(BLOCK) {
            let address = at(taken.1);
            taken.1 += 1;
            if UdpSocket::bind(address).is_ok() && TcpListener::bind(address).is_ok() {
                return address;
            }
        }
        if let Ok(listener) = TcpListener::bind(at(first)) {
            taken.0.push(listener);
            taken.1 = first + 1;
        }
    }
    panic!("no block of {BLOCK} ports of loopback is free");
}

/// How a process is started; kept, so that it can be started again.
pub struct Process {
    pub name: String,
    program: PathBuf,
    words: Vec<String>,
    env: Vec<(String, String)>,
    /// What counts as its disk.
    folder: Option<PathBuf>,
    child: Option<Child>,
    stopped: bool,
    /// Its log, all lives of it.
    log: Arc<Mutex<Vec<(Instant, String)>>>,
}

/// Lines of its log that are kept.
const LINES: usize = 20_000;

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

    /// From the next start on without it.
    pub fn forgets(&mut self, key: &str) {
        self.env.retain(|(known, _)| known != key);
    }

    /// From the next start on with it.
    pub fn with(&mut self, key: &str, value: &str) {
        self.forgets(key);
        self.env.push((key.into(), value.into()));
    }

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
        let (stderr, log) = (child.stderr.take().expect("its log"), self.log.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let mut log = log.lock().expect("the log");
                if log.len() < LINES {
                    log.push((Instant::now(), line));
                }
            }
        });
        self.child = Some(child);
    }

    /// With the disk it had, the one that was kept, or none.
    pub fn start_with(&mut self, disk: Disk) {
        self.kill();
        if let Some(folder) = &self.folder {
            let kept = folder.with_extension("kept");
            match disk {
                Disk::Old => {}
                Disk::Empty => drop(std::fs::remove_dir_all(folder)),
                Disk::Older if kept.is_dir() => {
                    let _ = std::fs::remove_dir_all(folder);
                    copy(&kept, folder);
                }
                Disk::Older => {}
            }
        }
        self.start();
    }

    /// Keeps its disk as it is now, for `Disk::Older`.
    pub fn keep(&self) {
        if let Some(folder) = self.folder.as_ref().filter(|folder| folder.is_dir()) {
            let kept = folder.with_extension("kept");
            let _ = std::fs::remove_dir_all(&kept);
            copy(folder, &kept);
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

    /// Its end by itself, within that time.
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

    /// Waits for a line with these words, past the first `after` lines; the number of lines up to it.
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

    /// When each line was read, and the line.
    pub fn log(&self) -> Vec<(Instant, String)> {
        self.log.lock().expect("the log").clone()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A copy, file by file, as a backup would be put back.
fn copy(from: &Path, to: &Path) {
    let _ = std::fs::create_dir_all(to);
    for entry in std::fs::read_dir(from).into_iter().flatten().flatten() {
        let (path, target) = (entry.path(), to.join(entry.file_name()));
        match path.is_dir() {
            true => copy(&path, &target),
            false => drop(std::fs::copy(&path, &target)),
        }
    }
}
