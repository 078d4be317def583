//! Planners on two sides of a cut, each with a forwarder that sees only its own; with keepers or without.

use crate::tier::{worker, Worker, CORES};
use crate::Place;
use cypresscleat_fault_injection::{free_port, Process};
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

pub const WORKERS: usize = 2;
/// Places of all workers, as the file has them.
pub const PLACES: u32 = WORKERS as u32 * CORES * 2;

pub struct Split {
    pub workers: Vec<Worker>,
    pub keepers: Vec<Process>,
    pub planners: Vec<Place>,
    pub forwarders: Vec<Place>,
    folder: PathBuf,
}

impl Split {
    /// Three keepers are on the first planner's side: the second planner reaches none of them.
    pub fn start(program: &Path, config: &str, kept: bool) -> Split {
        let folder = std::env::temp_dir().join(format!(
            "cypresscleat-split-{}-{}",
            std::process::id(),
            free_port().port()
        ));
        std::fs::create_dir_all(&folder).expect("a folder");
        let workers: Vec<Worker> =
            (0..WORKERS).map(|at| worker(program, config, &format!("w{at}"), None, "WARM")).collect();
        let nobody: Vec<SocketAddr> = (0..8).map(|_| free_port()).collect();
        let (planners, keepers) = ([free_port(), free_port()], [free_port(), free_port(), free_port()]);
        let list = |all: &[SocketAddr], letter: &str, rest: &str| {
            let one = |(at, address): (usize, &SocketAddr)| {
                format!("{{name: \"{letter}{at}\", address: \"{address}\"{rest}}}")
            };
            all.iter().enumerate().map(one).collect::<Vec<_>>().join(", ")
        };
        let keeps = |all: &[SocketAddr], rest: &str| {
            format!("keepers: {{lease: 1s, all: [{}]{rest}}}\n", list(all, "k", ""))
        };
        let mut own = Vec::new();
        for at in 0..if kept { 3 } else { 0 } {
            let name = format!("k{at}");
            let (path, disk) = (folder.join(format!("{name}.cue")), folder.join(&name));
            let text = keeps(&keepers, &format!(", folder: \"{}\"", disk.display()));
            std::fs::write(&path, text).expect("to write the operator's file");
            let path = path.display().to_string();
            let mut keeper = Process::new(&name, program, &["keep", "--operator", &path, "--name", &name]);
            keeper.start();
            own.push(keeper);
        }
        let at: Vec<SocketAddr> = workers.iter().map(|worker| worker.place.server).collect();
        let workers_list = list(&at, "w", &format!(", places: {}", CORES * 2));
        // On each side the other's planner is an address at which nobody hears.
        let sees = |side: usize| {
            let mut seen = [nobody[0], nobody[1]];
            seen[side] = planners[side];
            list(&seen, "p", "")
        };
        let member = |role: &str, side: usize, listen: SocketAddr, name: &str| {
            let reached = if side == 0 { &keepers[..] } else { &nobody[2..5] };
            let keepers = if kept && role == "plan" { keeps(reached, "") } else { String::new() };
            let text = format!(
                "{keepers}tier: {{listen: \"{listen}\", planners: [{}], workers: [{workers_list}]}}",
                sees(side)
            );
            Place::start_as(program, role, config, &text, |all| {
                all["name"] = json!(name);
                all["settings"]["customers"] = json!([]);
                all["stop_ms"] = json!(20_000);
            })
        };
        let planners = (0..2).map(|side| member("plan", side, planners[side], &format!("p{side}"))).collect();
        let forwarders: Vec<Place> =
            (0..2).map(|side| member("forward", side, free_port(), &format!("f{side}"))).collect();
        for forwarder in &forwarders {
            (0..WORKERS).for_each(|_| drop(forwarder.logged("takes work")));
        }
        Split { workers, keepers: own, planners, forwarders, folder }
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

/// Places in a forwarder's line about its grants.
pub fn places(line: &str) -> u32 {
    let words: Vec<&str> = line.split([' ', ',']).collect();
    let at = words.iter().position(|word| *word == "places").unwrap_or(0);
    words.get(at.wrapping_sub(1)).and_then(|word| word.parse().ok()).unwrap_or(0)
}
