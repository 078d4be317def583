//! The fleet's tally: of each instance's billing rows the sums by the hour, told to a ledger once for each hour that had any. A part is
//! an instance's folder; its cursor is the next hour. Where sums come from stands in `hourly_usage`.
//!
//! ```text
//! {"duty":"sums","part":0,"item":489123,"rows":311,"billed_milli":933000,"token":57,"by":"n1"}
//! ```

use super::task_worker::{self, Item, Source};
use super::ControlReplicas;
use crate::hourly_usage::{self, HourTotals};
use crate::{clock, log};
use cypresscleat_leases::Time;
use serde_json::json;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Clone, Debug, PartialEq)]
pub struct UsageReportConfig {
    pub ledger: SocketAddr,
    pub folders: Vec<PathBuf>,
    /// Of an hour; as the instances' `store.hours` has it.
    pub hour_length: Time,
    /// Between two looks at a folder.
    pub interval: Time,
}

pub const TASK_NAME: &str = "sums";

#[derive(Default)]
struct Told {
    from: u64,
    left: VecDeque<(u64, HourTotals)>,
    /// What was said last of a folder that can't be read.
    wrong: String,
}

struct Folders {
    set: UsageReportConfig,
    parts: HashMap<u32, Told>,
}

impl Source for Folders {
    fn begins(&mut self, part: u32, cursor: &[u8]) {
        let from = cursor.try_into().map(u64::from_le_bytes).unwrap_or(0);
        self.parts.insert(part, Told { from, ..Told::default() });
    }
    fn ends(&mut self, part: u32) {
        self.parts.remove(&part);
    }
    fn next(&mut self, part: u32) -> Result<Item, Time> {
        let every = self.set.interval;
        let folder = self.set.folders.get(part as usize).filter(|folder| folder.is_dir()).ok_or(every)?;
        let one = self.parts.get_mut(&part).ok_or(every)?;
        if one.left.is_empty() {
            let (span, now) = ((self.set.hour_length / 10).max(1) as u64, (clock::unix_time() / 10) as u64);
            match hourly_usage::read_closed_hours(folder, span, one.from, now) {
                Ok(found) => one.left = found.into(),
                Err(wrong) if wrong != one.wrong => {
                    log!("{wrong}");
                    one.wrong = wrong;
                }
                Err(_) => {}
            }
        }
        let (hour, sum) = one.left.front().copied().ok_or(every)?;
        let more = [("rows", json!(sum.rows)), ("billed_milli", json!(sum.billed_milli))];
        let more = more.into_iter().map(|(key, value)| (key.to_string(), value)).collect();
        Ok(Item { number: hour, more, after: Some((hour + 1).to_le_bytes().to_vec()) })
    }
    fn done(&mut self, part: u32, number: u64) -> Time {
        if let Some(one) = self.parts.get_mut(&part) {
            one.from = number + 1;
            one.left.pop_front();
        }
        0
    }
}

pub async fn run(name: &str, keepers: &ControlReplicas, set: &UsageReportConfig) -> io::Result<()> {
    let folders = Folders { set: set.clone(), parts: HashMap::new() };
    task_worker::run(name, keepers, TASK_NAME, set.folders.len() as u32, set.ledger, folders).await
}
