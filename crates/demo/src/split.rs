//! Deployment with a network partition between two planners. Each forwarder reaches only the planner on its side. Runs with or without
//! control replicas.

use crate::tier::{worker, Worker, CORES};
use crate::Deployment;
use cypresscleat_fault_injection::{free_port, Process};
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

pub const WORKERS: usize = 2;
/// Total slots of all workers, as configured in the operator's file.
pub const PLACES: u32 = WORKERS as u32 * CORES * 2;

/// A running partitioned deployment.
pub struct Split {
    pub workers: Vec<Worker>,
    pub keepers: Vec<Process>,
    pub planners: Vec<Deployment>,
    pub forwarders: Vec<Deployment>,
    folder: PathBuf,
}

impl Split {
    /// With `with_replicas` set, three control replicas run on the first planner's side: the second planner reaches none of them.
    pub fn start(program: &Path, config: &str, with_replicas: bool) -> Split {
        let folder = std::env::temp_dir().join(format!(
            "cypresscleat-split-{}-{}",
            std::process::id(),
            free_port().port()
        ));
        std::fs::create_dir_all(&folder).expect("to create a folder");
        let workers: Vec<Worker> =
            (0..WORKERS).map(|at| worker(program, config, &format!("w{at}"), None, "WARM")).collect();
        let unused: Vec<SocketAddr> = (0..8).map(|_| free_port()).collect();
        let (planners, keepers) = ([free_port(), free_port()], [free_port(), free_port(), free_port()]);
        let list = |all: &[SocketAddr], prefix: &str, rest: &str| {
            let one = |(at, address): (usize, &SocketAddr)| {
                format!("{{name: \"{prefix}{at}\", address: \"{address}\"{rest}}}")
            };
            all.iter().enumerate().map(one).collect::<Vec<_>>().join(", ")
        };
        let replicas_text = |all: &[SocketAddr], rest: &str| {
            format!("keepers: {{lease: 1s, all: [{}]{rest}}}\n", list(all, "k", ""))
        };
        let mut running_replicas = Vec::new();
        for at in 0..if with_replicas { 3 } else { 0 } {
            let name = format!("k{at}");
            let (path, disk) = (folder.join(format!("{name}.cue")), folder.join(&name));
            let text = replicas_text(&keepers, &format!(", folder: \"{}\"", disk.display()));
            std::fs::write(&path, text).expect("to write the operator's file");
            let path = path.display().to_string();
            let mut replica = Process::new(&name, program, &["keep", "--operator", &path, "--name", &name]);
            replica.start();
            running_replicas.push(replica);
        }
        let at: Vec<SocketAddr> = workers.iter().map(|worker| worker.place.server).collect();
        let workers_list = list(&at, "w", &format!(", places: {}", CORES * 2));
        // On each side the address of the other planner has no receiver.
        let visible_planners = |side: usize| {
            let mut visible = [unused[0], unused[1]];
            visible[side] = planners[side];
            list(&visible, "p", "")
        };
        let member = |role: &str, side: usize, listen: SocketAddr, name: &str| {
            let reached = if side == 0 { &keepers[..] } else { &unused[2..5] };
            let keepers =
                if with_replicas && role == "plan" { replicas_text(reached, "") } else { String::new() };
            let text = format!(
                "{keepers}tier: {{listen: \"{listen}\", planners: [{}], workers: [{workers_list}]}}",
                visible_planners(side)
            );
            Deployment::start_as(program, role, config, &text, |all| {
                all["name"] = json!(name);
                all["settings"]["customers"] = json!([]);
                all["stop_ms"] = json!(20_000);
            })
        };
        let planners = (0..2).map(|side| member("plan", side, planners[side], &format!("p{side}"))).collect();
        let forwarders: Vec<Deployment> =
            (0..2).map(|side| member("forward", side, free_port(), &format!("f{side}"))).collect();
        for forwarder in &forwarders {
            (0..WORKERS).for_each(|_| drop(forwarder.logged("takes work")));
        }
        Split { workers, keepers: running_replicas, planners, forwarders, folder }
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.forwarders.iter().map(|place| place.server).collect()
    }
}

impl Drop for Split {
    fn drop(&mut self) {
        self.keepers.iter_mut().for_each(Process::kill);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The number of slots in a forwarder's log line about its grants.
pub fn places(line: &str) -> u32 {
    let words: Vec<&str> = line.split([' ', ',']).collect();
    let at = words.iter().position(|word| *word == "places").unwrap_or(0);
    words.get(at.wrapping_sub(1)).and_then(|word| word.parse().ok()).unwrap_or(0)
}
