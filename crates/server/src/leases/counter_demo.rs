//! A duty that counts: of each part one number after the other. It is what the rigs watch, and shows what any duty keeps.

use super::task_worker::{self, Item, Source};
use super::ControlReplicas;
use cypresscleat_leases::Time;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

#[derive(Clone, Debug, PartialEq)]
pub struct CounterDemoConfig {
    pub task: String,
    pub partitions: u32,
    pub ledger: SocketAddr,
    /// Between two items of a part.
    pub interval: Time,
}

struct Numbers {
    every: Time,
    at: HashMap<u32, u64>,
}

impl Source for Numbers {
    fn begins(&mut self, part: u32, cursor: &[u8]) {
        self.at.insert(part, cursor.try_into().map(u64::from_le_bytes).unwrap_or(0));
    }
    fn ends(&mut self, part: u32) {
        self.at.remove(&part);
    }
    fn next(&mut self, part: u32) -> Result<Item, Time> {
        let number = self.at.get(&part).copied().ok_or(self.every)?;
        Ok(Item { number, more: Default::default(), after: Some((number + 1).to_le_bytes().to_vec()) })
    }
    fn done(&mut self, part: u32, number: u64) -> Time {
        self.at.insert(part, number + 1);
        self.every
    }
}

pub async fn run(name: &str, keepers: &ControlReplicas, set: &CounterDemoConfig) -> io::Result<()> {
    let numbers = Numbers { every: set.interval, at: HashMap::new() };
    task_worker::run(name, keepers, &set.task, set.partitions, set.ledger, numbers).await
}
