//! Stands between processes on loopback, for tests. Each process is given, for every other party, an address of this rig in place of
//! the party's own; what goes through is delayed, lost, doubled, cut off. Processes are stopped, woken, killed, started again, with the
//! disk they had, an older one or an empty one. By hand ([`Net`], [`Process`]) or by a script with times ([`Script`]). Of one seed, the
//! same packets of a link are lost and doubled each time.
//!
//! A script has a line for each order; names are those that the links were given:
//!
//! ```text
//!     at 2s cut k0 k1 | k2 n0        nothing gets through between the two sides
//!     at 2s oneway k0 n1             nothing from k0 to n1
//!     at 3s slow k0 k1 20ms          both ways; 0ms ends it
//!     at 3s lose k0 k1 0.1           one in ten, both ways; 0 ends it
//!     at 3s double k0 k1 0.1
//!     at 6s heal                     all links as new
//!     at 7s stop n1                  SIGSTOP; wake, kill and start follow
//!     at 9s wake n1
//!     at 9s kill k1
//!     at 10s start k1 old            with the disk it had; `older`: as it was when the script last said `keep k1`; `empty`
//!     at 8s keep k1
//!     at 11s end n2                  SIGTERM
//! ```

mod net;
mod process;

pub use net::{Link, Net};
pub use process::{free_port, Process};

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// The disk with which a process comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    Old,
    Older,
    Empty,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Nothing between these sides, either way.
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

/// Orders and their times, in their order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script(pub Vec<(Duration, Order)>);

impl Script {
    /// `Err` names the line.
    pub fn parse(text: &str) -> Result<Script, String> {
        let mut orders = Vec::new();
        for (at, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or("").trim();
            if line.is_empty() {
                continue;
            }
            let words: Vec<&str> = line.split_whitespace().collect();
            let order = Script::order(&words).map_err(|what| format!("line {}: {what}: {line:?}", at + 1))?;
            orders.push(order);
        }
        orders.sort_by_key(|(at, _)| *at);
        Ok(Script(orders))
    }

    fn order(words: &[&str]) -> Result<(Duration, Order), String> {
        let name =
            |at: usize| words.get(at).map(|word| word.to_string()).ok_or("a name is missing".to_string());
        let part = |at: usize| {
            let part = words.get(at).and_then(|word| word.parse::<f64>().ok());
            part.filter(|part| (0.0..=1.0).contains(part)).ok_or("a part from 0 to 1 is missing".to_string())
        };
        let time =
            |at: usize| words.get(at).and_then(|word| duration(word)).ok_or("a time is missing".to_string());
        if words.first() != Some(&"at") {
            return Err("a line begins with \"at\" and a time".into());
        }
        let order = match *words.get(2).ok_or("an order is missing")? {
            "cut" => {
                let sides: Vec<Vec<String>> = words[3..]
                    .split(|word| *word == "|")
                    .map(|side| side.iter().map(|word| word.to_string()).collect())
                    .collect();
                if sides.len() < 2 || sides.iter().any(Vec::is_empty) {
                    return Err("two sides are wanted, with | between them".into());
                }
                Order::Cut(sides)
            }
            "oneway" => Order::OneWay(name(3)?, name(4)?),
            "slow" => Order::Slow(name(3)?, name(4)?, time(5)?),
            "lose" => Order::Lose(name(3)?, name(4)?, part(5)?),
            "double" => Order::Double(name(3)?, name(4)?, part(5)?),
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
                    Some(_) => return Err("a disk is old, older or empty".into()),
                };
                Order::Start(name(3)?, disk)
            }
            _ => return Err("no such order".into()),
        };
        Ok((time(1)?, order))
    }

    /// Takes those that are due.
    pub fn due(&mut self, since: Duration) -> Vec<Order> {
        let many = self.0.iter().take_while(|(at, _)| *at <= since).count();
        self.0.drain(..many).map(|(_, order)| order).collect()
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

/// Chance from a seed, a name and a counter.
pub fn chance(seed: u64, name: &str, count: u64) -> f64 {
    let mut hasher = DefaultHasher::new();
    (seed, name, count).hash(&mut hasher);
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}
