//! A demo task that counts: in each partition one number after the other. Test setups check it; it shows what holds for any task.

use super::task_worker::{self, Item, ItemSource};
use super::ControlReplicas;
use cypresscleat_leases::Time;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

/// The `tally` of the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct CounterDemoConfig {
    /// Name of the task.
    pub task: String,
    pub partitions: u32,
    pub ledger: SocketAddr,
    /// Time between two items of a partition.
    pub interval: Time,
}

struct Counters {
    interval: Time,
    /// The next number of each partition.
    next: HashMap<u32, u64>,
}

impl ItemSource for Counters {
    fn start_partition(&mut self, partition: u32, cursor: &[u8]) {
        self.next.insert(partition, cursor.try_into().map(u64::from_le_bytes).unwrap_or(0));
    }
    fn stop_partition(&mut self, partition: u32) {
        self.next.remove(&partition);
    }
    fn next_item(&mut self, partition: u32) -> Result<Item, Time> {
        let number = self.next.get(&partition).copied().ok_or(self.interval)?;
        Ok(Item {
            number,
            fields: Default::default(),
            cursor_after: Some((number + 1).to_le_bytes().to_vec()),
        })
    }
    fn complete_item(&mut self, partition: u32, number: u64) -> Time {
        self.next.insert(partition, number + 1);
        self.interval
    }
}

/// Runs the task until SIGTERM.
pub async fn run(name: &str, control: &ControlReplicas, config: &CounterDemoConfig) -> io::Result<()> {
    let counters = Counters { interval: config.interval, next: HashMap::new() };
    task_worker::run(name, control, &config.task, config.partitions, config.ledger, counters).await
}
