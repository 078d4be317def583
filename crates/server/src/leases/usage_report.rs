//! Usage report of the fleet: the sums of each instance's billing rows by the hour, reported to a ledger once for each hour that had
//! rows. A partition is the slot of one instance's folder ([`folder_slots`]); its cursor is the next hour, and the length of the hours.
//! [`hourly_usage`] describes where the sums come from.
//!
//! ```text
//! {"duty":"sums","part":0,"item":489123,"rows":311,"billed_milli":933000,"token":57,"by":"n1"}
//! ```

use super::folder_reader::{folder_state, FolderReader, FolderState, PendingRead};
use super::folder_slots;
use super::task_worker::{self, Item, ItemSource};
use super::ControlReplicas;
use crate::hourly_usage::{self, ClosedHours, HourTotals};
use crate::{clock, log};
use cypresscleat_leases::Time;
use serde_json::json;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

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

/// How far the hours of a folder are reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportCursor {
    /// The next hour to report.
    pub next_hour: u64,
    /// Length of the reported hours in milliseconds; `None` where an earlier version saved the cursor.
    pub hour_ms: Option<u64>,
}

impl ReportCursor {
    /// The stored form.
    pub fn encode(self) -> Vec<u8> {
        let mut bytes = self.next_hour.to_le_bytes().to_vec();
        bytes.extend(self.hour_ms.iter().flat_map(|hour_ms| hour_ms.to_le_bytes()));
        bytes
    }

    /// Reads the stored form; of no bytes, the start.
    pub fn decode(bytes: &[u8]) -> ReportCursor {
        let Some((next_hour, rest)) = bytes.split_first_chunk() else { return ReportCursor::default() };
        let hour_ms = rest.first_chunk().map(|hour_ms| u64::from_le_bytes(*hour_ms));
        ReportCursor { next_hour: u64::from_le_bytes(*next_hour), hour_ms }
    }

    /// Whether hours of this length continue what was reported. Hours of another length have other numbers, under which rows would be
    /// reported a second time or passed over.
    pub fn continues_with(self, hour_ms: u64) -> bool {
        self.next_hour == 0 || self.hour_ms.is_none_or(|reported_ms| reported_ms == hour_ms)
    }
}

/// Time between two looks at a read that is under way.
const READ_POLL_INTERVAL: Time = 100;

/// What a read has brought: the closed hours, and the state in which the folder was before.
type HoursRead = (Result<ClosedHours, String>, Option<FolderState>);

/// What was read of a store that no process holds. It can be read again only with the same result, until the folder or the hour changes.
#[derive(PartialEq)]
struct ReadState {
    folder: FolderState,
    hour: u64,
}

/// An owned partition.
#[derive(Default)]
struct OwnedFolder {
    pending_read: Option<PendingRead<HoursRead>>,
    last_read: Option<ReadState>,
    /// The next hour to report.
    next_hour: u64,
    /// Hours of another length were reported: nothing more is.
    is_refused: bool,
    unreported: VecDeque<(u64, HourTotals)>,
    /// The last read error that was logged, so that the same error is logged once.
    logged_error: String,
}

struct Folders {
    config: UsageReportConfig,
    /// The folder of each slot that the configuration names.
    by_slot: Vec<Option<PathBuf>>,
    reader: FolderReader<HoursRead>,
    owned: HashMap<u32, OwnedFolder>,
}

impl OwnedFolder {
    /// Reads the folder, or takes the result of the read under way. Returns the time until the next look, where nothing is known yet.
    fn refresh(
        &mut self,
        reader: &FolderReader<HoursRead>,
        folder: &Path,
        (hour_ms, interval): (u64, Time),
    ) -> Result<(), Time> {
        let now = (clock::unix_time() / 10) as u64;
        let hour = now / hour_ms;
        let Some(pending) = &self.pending_read else {
            let current = folder_state(folder).ok().map(|folder| ReadState { folder, hour });
            if current.is_some() && current == self.last_read {
                return Err(interval);
            }
            let (folder, from) = (folder.to_path_buf(), self.next_hour);
            self.pending_read = Some(reader.read(move |cancelled| {
                let before = folder_state(&folder).ok();
                (hourly_usage::read_closed_hours(&folder, hour_ms, from, now, cancelled), before)
            }));
            return Err(READ_POLL_INTERVAL);
        };
        let (result, before) = match pending.poll() {
            Ok(Some(read)) => read,
            Ok(None) => return Err(READ_POLL_INTERVAL),
            Err(_) => (Err("the thread that reads has ended".to_string()), None),
        };
        self.pending_read = None;
        match result {
            Ok(closed) => {
                let before = before.filter(|_| closed.is_from_store);
                self.last_read = before.map(|folder| ReadState { folder, hour });
                self.unreported = closed.hours.into();
            }
            Err(error) if error != self.logged_error => {
                log!("{error}");
                self.logged_error = error;
            }
            Err(_) => {}
        }
        Ok(())
    }
}

impl Folders {
    fn hour_ms(&self) -> u64 {
        (self.config.hour_length / 10).max(1) as u64
    }

    fn folder(&self, slot: u32) -> Option<&PathBuf> {
        self.by_slot.get(slot as usize)?.as_ref()
    }
}

impl ItemSource for Folders {
    fn start_partition(&mut self, partition: u32, cursor: &[u8]) {
        let cursor = ReportCursor::decode(cursor);
        let is_refused = !cursor.continues_with(self.hour_ms());
        if let (true, Some(folder), Some(reported_ms)) = (is_refused, self.folder(partition), cursor.hour_ms)
        {
            let (folder, hour_ms) = (folder.display(), self.hour_ms());
            log!(
                "{folder}: hours of {reported_ms} ms were reported, and are {hour_ms} ms long now: nothing is reported; \
                 set `span` and `hours` back, or give the instance a new folder"
            );
        }
        let next_hour = cursor.next_hour;
        self.owned.insert(partition, OwnedFolder { next_hour, is_refused, ..OwnedFolder::default() });
    }
    fn stop_partition(&mut self, partition: u32) {
        self.owned.remove(&partition);
    }
    fn next_item(&mut self, partition: u32) -> Result<Item, Time> {
        let interval = self.config.interval;
        let hour_ms = self.hour_ms();
        let folder = self.folder(partition).filter(|folder| folder.is_dir()).ok_or(interval)?.clone();
        let owned = self.owned.get_mut(&partition).filter(|owned| !owned.is_refused).ok_or(interval)?;
        if owned.unreported.is_empty() {
            owned.refresh(&self.reader, &folder, (hour_ms, interval))?;
        }
        let (hour, sum) = owned.unreported.front().copied().ok_or(interval)?;
        let fields = [("rows", json!(sum.rows)), ("billed_milli", json!(sum.billed_milli))];
        let fields = fields.into_iter().map(|(key, value)| (key.to_string(), value)).collect();
        let cursor = ReportCursor { next_hour: hour + 1, hour_ms: Some(hour_ms) };
        Ok(Item { number: hour, fields, cursor_after: Some(cursor.encode()) })
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
    let Some(table) =
        task_worker::unless_terminated(folder_slots::register(name, control, TASK_NAME, &config.folders))
            .await?
    else {
        return Ok(());
    };
    let by_slot = table.folders_by_slot(&config.folders);
    let reader = FolderReader::start()?;
    let folders = Folders { config: config.clone(), by_slot, reader, owned: HashMap::new() };
    task_worker::run(name, control, TASK_NAME, table.len() as u32, config.ledger, folders).await
}
