//! Fault injection between processes on loopback, for tests. Each process is configured with proxy addresses in place of the addresses
//! of its peers. The proxies delay, drop, duplicate or block what passes. Processes are suspended, resumed, killed and restarted
//! with their current disk, with a stale copy or with an empty one. Tests call [`Net`] and [`Process`] or run a [`Script`] with times.
//! With the same seed, the same datagrams of a link are lost and duplicated each time.
//!
//! A script has one command on each line. Names are those given to the links and processes:
//!
//! ```text
//!     at 2s cut k0 k1 | k2 n0        nothing passes between the two sides
//!     at 2s oneway k0 n1             nothing passes from k0 to n1
//!     at 3s slow k0 k1 20ms          delay in both directions; 0ms ends it
//!     at 3s lose k0 k1 0.1           drops one datagram in ten in both directions; 0 ends it
//!     at 3s double k0 k1 0.1         duplicates one datagram in ten
//!     at 6s heal                     clears the faults of all links
//!     at 7s stop n1                  SIGSTOP
//!     at 9s wake n1                  SIGCONT
//!     at 9s kill k1
//!     at 10s start k1 old            with its current disk; `older`: the copy made by the last `keep k1`; `empty`
//!     at 8s keep k1                  copies the disk of k1
//!     at 11s end n2                  SIGTERM
//! ```

mod net;
mod process;

pub use net::{Link, Net};
pub use process::{free_port, Process};

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// The disk with which a process restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    /// Its current disk.
    Old,
    /// The copy made by the last `keep`.
    Older,
    Empty,
}

/// One fault or repair of a script.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Blocks all traffic between these sides, in both directions.
    Cut(Vec<Vec<String>>),
    OneWay(String, String),
    Slow(String, String, Duration),
    Lose(String, String, f64),
    Double(String, String, f64),
    Heal,
    Stop(String),
    Wake(String),
    Kill(String),
    Start(String, Disk),
    Keep(String),
    End(String),
}

/// Orders with their start times, sorted by time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script(pub Vec<(Duration, Order)>);

impl Script {
    /// Parses a script; an error names the line.
    pub fn parse(text: &str) -> Result<Script, String> {
        let mut orders = Vec::new();
        for (at, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or("").trim();
            if line.is_empty() {
                continue;
            }
            let words: Vec<&str> = line.split_whitespace().collect();
            let order =
                Script::order(&words).map_err(|message| format!("line {}: {message}: {line:?}", at + 1))?;
            orders.push(order);
        }
        orders.sort_by_key(|(at, _)| *at);
        Ok(Script(orders))
    }

    fn order(words: &[&str]) -> Result<(Duration, Order), String> {
        let name =
            |at: usize| words.get(at).map(|word| word.to_string()).ok_or("a name is missing".to_string());
        let probability = |at: usize| {
            let probability = words.get(at).and_then(|word| word.parse::<f64>().ok());
            probability
                .filter(|probability| (0.0..=1.0).contains(probability))
                .ok_or("a probability from 0 to 1 is missing".to_string())
        };
        let time =
            |at: usize| words.get(at).and_then(|word| duration(word)).ok_or("a time is missing".to_string());
        if words.first() != Some(&"at") {
            return Err("a line must begin with \"at\" and a time".into());
        }
        let order = match *words.get(2).ok_or("an order is missing")? {
            "cut" => {
                let sides: Vec<Vec<String>> = words[3..]
                    .split(|word| *word == "|")
                    .map(|side| side.iter().map(|word| word.to_string()).collect())
                    .collect();
                if sides.len() < 2 || sides.iter().any(Vec::is_empty) {
                    return Err("two sides separated by | are required".into());
                }
                Order::Cut(sides)
            }
            "oneway" => Order::OneWay(name(3)?, name(4)?),
            "slow" => Order::Slow(name(3)?, name(4)?, time(5)?),
            "lose" => Order::Lose(name(3)?, name(4)?, probability(5)?),
            "double" => Order::Double(name(3)?, name(4)?, probability(5)?),
            "heal" => Order::Heal,
            "stop" => Order::Stop(name(3)?),
            "wake" => Order::Wake(name(3)?),
            "kill" => Order::Kill(name(3)?),
            "keep" => Order::Keep(name(3)?),
            "end" => Order::End(name(3)?),
            "start" => {
                let disk = match words.get(4) {
                    None | Some(&"old") => Disk::Old,
                    Some(&"older") => Disk::Older,
                    Some(&"empty") => Disk::Empty,
                    Some(_) => return Err("the disk must be old, older or empty".into()),
                };
                Order::Start(name(3)?, disk)
            }
            _ => return Err("unknown order".into()),
        };
        Ok((time(1)?, order))
    }

    /// Removes and returns the orders that are due at `since` after the start.
    pub fn due(&mut self, since: Duration) -> Vec<Order> {
        let due_count = self.0.iter().take_while(|(at, _)| *at <= since).count();
        self.0.drain(..due_count).map(|(_, order)| order).collect()
    }
}

fn duration(word: &str) -> Option<Duration> {
    let (number, unit) = match word.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (word.strip_suffix('s')?, 1.0),
    };
    let seconds = number.parse::<f64>().ok()? * unit;
    (0.0..=86_400.0).contains(&seconds).then(|| Duration::from_secs_f64(seconds))
}

/// A pseudo-random number from 0 to under 1 that depends only on a seed, a name and a counter.
pub fn chance(seed: u64, name: &str, count: u64) -> f64 {
    let mut hasher = DefaultHasher::new();
    (seed, name, count).hash(&mut hasher);
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}
