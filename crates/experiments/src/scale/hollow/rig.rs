//! Test setup: real processes for simulated instances, the resources that such a process uses, and the machine's limits.

use cypresscleat_fault_injection::{free_port, Process};
use cypresscleat_server::leases::ControlReplicas;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};

/// The program under test.
#[derive(Clone, Debug)]
pub struct Program {
    pub path: PathBuf,
}

impl Program {
    pub fn find() -> Result<Program, String> {
        let named = std::env::var_os("CYPRESSCLEAT_SERVER").map(PathBuf::from);
        let beside = || std::env::current_exe().ok().map(|own| own.with_file_name("cypresscleat-server"));
        let path = named.or_else(beside).ok_or("the path of the server program is unknown")?;
        match path.is_file() {
            true => Ok(Program { path }),
            false => Err(format!(
                "{}: no such program; build it, or set CYPRESSCLEAT_SERVER to its path",
                path.display()
            )),
        }
    }
}

/// Limits read from the machine; sizes past them are skipped and reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Descriptors that this process may hold.
    pub descriptors: u64,
    /// Half of the machine's memory, in bytes.
    pub memory: u64,
}

/// Descriptors reserved for uses other than simulated instances.
const SPARE: u64 = 300;

impl Limits {
    pub fn read() -> Result<Limits, String> {
        let text = std::fs::read_to_string("/proc/self/limits").map_err(|error| error.to_string())?;
        let line = text.lines().find(|line| line.starts_with("Max open files")).unwrap_or("");
        let descriptors = line.split_whitespace().nth(3).and_then(|word| word.parse().ok());
        let memory = std::fs::read_to_string("/proc/meminfo").map_err(|error| error.to_string())?;
        let kb = field(&memory, "MemTotal:").ok_or("no MemTotal in /proc/meminfo")?;
        Ok(Limits { descriptors: descriptors.unwrap_or(u64::MAX), memory: kb * 1024 / 2 })
    }

    /// Whether `many` simulated instances, with `descriptors` and `bytes` each, are within the limits.
    pub fn allow(&self, many: u64, descriptors: u64, bytes: u64) -> bool {
        many * descriptors + SPARE <= self.descriptors && many * bytes <= self.memory
    }
}

impl fmt::Display for Limits {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "at most {} descriptors and {} MB of memory", self.descriptors, self.memory >> 20)
    }
}

/// The number after `name` at the start of a line.
fn field(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Resources that a process has used so far, as counted by the operating system.
#[derive(Clone, Debug, Default)]
pub struct Spent {
    /// User and system time of each thread, in nanoseconds: `schedstat`, as the ticks of `stat` are 10 ms.
    threads: BTreeMap<u64, u64>,
    /// Bytes that the process caused to be written to disk.
    pub written: u64,
    /// Bytes of memory that are resident.
    pub resident: u64,
    pub descriptors: u64,
}

impl Spent {
    pub fn of(id: u32) -> Spent {
        let read = |name: &str| std::fs::read_to_string(format!("/proc/{id}/{name}")).unwrap_or_default();
        let listed = |name: &str| std::fs::read_dir(format!("/proc/{id}/{name}")).into_iter().flatten();
        let threads = listed("task").flatten().filter_map(|entry| {
            let text = std::fs::read_to_string(entry.path().join("schedstat")).ok()?;
            Some((entry.file_name().to_str()?.parse().ok()?, text.split(' ').next()?.parse().ok()?))
        });
        Spent {
            threads: threads.collect(),
            written: field(&read("io"), "write_bytes:").unwrap_or(0),
            resident: field(&read("status"), "VmRSS:").unwrap_or(0) * 1024,
            descriptors: listed("fd").count() as u64,
        }
    }

    /// Seconds of processor time since `before`. Threads that ended in between are not counted.
    pub fn seconds_since(&self, before: &Spent) -> f64 {
        let since =
            |(id, spent): (&u64, &u64)| spent - before.threads.get(id).copied().unwrap_or(0).min(*spent);
        self.threads.iter().map(since).sum::<u64>() as f64 / 1e9
    }
}

/// A temporary folder, removed on drop.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Result<Folder, String> {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("cypresscleat-scale-{}-{count}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(Folder(path))
    }

    pub fn put(&self, name: &str, text: &str) -> Result<String, String> {
        let path = self.0.join(name);
        std::fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(path.display().to_string())
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Three control replicas, each its own process; dropping this value ends them.
pub struct Quorum {
    pub keepers: Vec<Process>,
    pub set: ControlReplicas,
    pub folder: Folder,
    program: PathBuf,
}

impl Quorum {
    pub fn start(program: &Program) -> Result<Quorum, String> {
        let folder = Folder::new()?;
        let replicas: Vec<(String, SocketAddr)> = (0..3).map(|at| (format!("k{at}"), free_port())).collect();
        let set = ControlReplicas { lease: 2 * cypresscleat_leases::SECOND, replicas, folder: None };
        let mut quorum = Quorum { keepers: Vec::new(), set, folder, program: program.path.clone() };
        for at in 0..quorum.set.replicas.len() {
            let name = format!("k{at}");
            let disk = quorum.folder.0.join(&name);
            let text = format!("keepers: {{{}, folder: \"{}\"}}\n", quorum.listed(), disk.display());
            let path = quorum.folder.put(&format!("{name}.cue"), &text)?;
            let words = ["keep", "--operator", &path, "--name", &name];
            let mut process = Process::new(&name, &program.path, &words).disk(&disk);
            process.start();
            quorum.keepers.push(process);
        }
        quorum.folder.put("operator.cue", &format!("keepers: {{{}}}\n", quorum.listed()))?;
        Ok(quorum)
    }

    /// The control replicas in the syntax of an operator's file, without a folder.
    pub fn listed(&self) -> String {
        let one =
            |(name, address): &(String, SocketAddr)| format!("{{name: \"{name}\", address: \"{address}\"}}");
        let all: Vec<String> = self.set.replicas.iter().map(one).collect();
        format!("lease: 2s, all: [{}]", all.join(", "))
    }

    pub fn keeper(&mut self, address: SocketAddr) -> Option<&mut Process> {
        let at = self.set.replicas.iter().position(|one| one.1 == address)?;
        self.keepers.get_mut(at)
    }

    /// Address and process id of each control replica.
    pub fn processes(&self) -> Vec<(SocketAddr, u32)> {
        let all = self.set.replicas.iter().zip(&self.keepers);
        all.filter_map(|(one, process)| Some((one.1, process.id()?))).collect()
    }

    /// Proposes a document by the program's command, without waiting for the decision. Returns the proposed version.
    pub fn propose(&self, name: &str, text: &str) -> Result<u64, String> {
        let path = self.folder.put(name, text)?;
        let operator = self.folder.0.join("operator.cue");
        let output = Command::new(&self.program)
            .args(["policy", "propose", "--text", &path, "--wait", "0", "--by", "scale", "--operator"])
            .arg(&operator)
            .arg("--json")
            .output()
            .map_err(|error| error.to_string())?;
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        let lines = stdout.lines().filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
        let version = lines.filter_map(|line| line["version"].as_u64()).next();
        version.ok_or_else(|| {
            format!(
                "policy propose: {:?}: {stdout} {}",
                output.status.code(),
                String::from_utf8_lossy(&output.stderr)
            )
        })
    }
}
