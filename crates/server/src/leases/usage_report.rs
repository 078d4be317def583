//! Usage report of the fleet: the sums of each instance's billing rows by the hour, reported to a ledger once for each hour that had
//! rows. A partition is the folder of one instance; its cursor is the next hour. [`hourly_usage`] describes where the sums come from.
//!
//! ```text
//! {"duty":"sums","part":0,"item":489123,"rows":311,"billed_milli":933000,"token":57,"by":"n1"}
//! ```

use super::task_worker::{self, Item, ItemSource};
use super::ControlReplicas;
use crate::hourly_usage::{self, HourTotals};
use crate::{clock, log};
use cypresscleat_leases::Time;
use serde_json::json;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The `sums` of the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageReportConfig {
    pub ledger: SocketAddr,
    pub folders: Vec<PathBuf>,
    /// Length of an hour; the instances have it as `store.hours`.
    pub hour_length: Time,
    /// Time between two reads of a folder.
    pub interval: Time,
}

/// Name of the task.
pub const TASK_NAME: &str = "sums";

/// An owned partition.
#[derive(Default)]
struct OwnedFolder {
    /// The next hour to report.
    next_hour: u64,
    unreported: VecDeque<(u64, HourTotals)>,
    /// The last read error that was logged, so that the same error is logged once.
    logged_error: String,
}

struct Folders {
    config: UsageReportConfig,
    owned: HashMap<u32, OwnedFolder>,
}

impl ItemSource for Folders {
    fn start_partition(&mut self, partition: u32, cursor: &[u8]) {
        let next_hour = cursor.try_into().map(u64::from_le_bytes).unwrap_or(0);
        self.owned.insert(partition, OwnedFolder { next_hour, ..OwnedFolder::default() });
    }
    fn stop_partition(&mut self, partition: u32) {
        self.owned.remove(&partition);
    }
    fn next_item(&mut self, partition: u32) -> Result<Item, Time> {
        let interval = self.config.interval;
        let folder =
            self.config.folders.get(partition as usize).filter(|folder| folder.is_dir()).ok_or(interval)?;
        let owned = self.owned.get_mut(&partition).ok_or(interval)?;
        if owned.unreported.is_empty() {
            let (hour_length, now) =
                ((self.config.hour_length / 10).max(1) as u64, (clock::unix_time() / 10) as u64);
            match hourly_usage::read_closed_hours(folder, hour_length, owned.next_hour, now) {
                Ok(sums) => owned.unreported = sums.into(),
                Err(error) if error != owned.logged_error => {
                    log!("{error}");
                    owned.logged_error = error;
                }
                Err(_) => {}
            }
        }
        let (hour, sum) = owned.unreported.front().copied().ok_or(interval)?;
        let fields = [("rows", json!(sum.rows)), ("billed_milli", json!(sum.billed_milli))];
        let fields = fields.into_iter().map(|(key, value)| (key.to_string(), value)).collect();
        Ok(Item { number: hour, fields, cursor_after: Some((hour + 1).to_le_bytes().to_vec()) })
    }
    fn complete_item(&mut self, partition: u32, number: u64) -> Time {
        if let Some(owned) = self.owned.get_mut(&partition) {
            owned.next_hour = number + 1;
            owned.unreported.pop_front();
        }
        0
    }
}

/// Runs the task until SIGTERM.
pub async fn run(name: &str, control: &ControlReplicas, config: &UsageReportConfig) -> io::Result<()> {
    let folders = Folders { config: config.clone(), owned: HashMap::new() };
    task_worker::run(name, control, TASK_NAME, config.folders.len() as u32, config.ledger, folders).await
}
