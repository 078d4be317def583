//! Usage report of the fleet: the sums of each instance's billing rows by the hour, reported to a ledger once for each hour that had
//! rows. A partition is the slot of one instance's folder ([`folder_slots`]); its cursor is the next hour, and the length of the hours.
//! [`hourly_usage`] describes where the sums come from.
//!
//! ```text
//! {"duty":"sums","part":0,"item":489123,"rows":311,"billed_milli":933000,"token":57,"by":"n1"}
//! ```

use super::folder_reader::{self, folder_state, FolderReader, FolderState, PendingRead};
use super::folder_slots;
use super::task_worker::{Item, ItemSource};
use super::ControlReplicas;
use crate::hourly_usage::{self, ClosedHours, HourTotals};
use crate::{clock, log};
use cypresscleat_leases::Time;
use serde_json::json;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

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

/// What was read of a store that no process holds. It can be read again only with the same result, until the folder or the hour changes.
#[derive(PartialEq)]
struct ReadState {
    folder: FolderState,
    hour: u64,
}

/// A look at a folder: the closed hours, unless nothing has changed, and what the next look compares with.
struct FolderLook {
    hours: Result<Option<ClosedHours>, String>,
    state: Option<ReadState>,
}

/// Reads the hours of a folder from `from` on, unless it is as it was at the last read.
fn read_if_changed(
    folder: &Path,
    (hour_ms, from): (u64, u64),
    last: Option<ReadState>,
    cancelled: Arc<AtomicBool>,
) -> FolderLook {
    if !folder.is_dir() {
        return FolderLook { hours: Ok(None), state: None };
    }
    let now = (clock::unix_time() / 10) as u64;
    // Taken before the read: what is written meanwhile shows at the next look.
    let state = folder_state(folder).ok().map(|folder| ReadState { folder, hour: now / hour_ms });
    if state.is_some() && state == last {
        return FolderLook { hours: Ok(None), state };
    }
    let hours = hourly_usage::read_closed_hours(folder, hour_ms, from, now, cancelled);
    let is_from_store = hours.as_ref().is_ok_and(|hours| hours.is_from_store);
    FolderLook { hours: hours.map(Some), state: state.filter(|_| is_from_store) }
}

/// An owned partition.
#[derive(Default)]
struct OwnedFolder {
    pending_read: Option<PendingRead<FolderLook>>,
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
    reader: FolderReader<FolderLook>,
    owned: HashMap<u32, OwnedFolder>,
}

impl OwnedFolder {
    /// Begins a look at the folder, or takes the result of the one under way.
    ///
    /// # Errors
    /// The time until the next look, while there is no result.
    fn refresh(
        &mut self,
        reader: &FolderReader<FolderLook>,
        folder: &Path,
        hour_ms: u64,
    ) -> Result<(), Time> {
        if self.pending_read.is_none() {
            let (folder, hours, last) =
                (folder.to_path_buf(), (hour_ms, self.next_hour), self.last_read.take());
            self.pending_read =
                Some(reader.read(move |cancelled| read_if_changed(&folder, hours, last, cancelled)));
        }
        let look = PendingRead::take(&mut self.pending_read).ok_or(folder_reader::POLL_INTERVAL)?;
        let FolderLook { hours, state } =
            look.unwrap_or_else(|ended| FolderLook { hours: Err(ended.to_string()), state: None });
        self.last_read = state;
        match hours {
            Ok(closed) => self.unreported.extend(closed.unwrap_or_default().hours),
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
        let folder = self.folder(partition).ok_or(interval)?.clone();
        let owned = self.owned.get_mut(&partition).filter(|owned| !owned.is_refused).ok_or(interval)?;
        if owned.unreported.is_empty() {
            owned.refresh(&self.reader, &folder, hour_ms)?;
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
    folder_slots::run_task(name, control, TASK_NAME, (&config.folders, config.ledger), |by_slot| {
        Ok(Folders { config: config.clone(), by_slot, reader: FolderReader::start()?, owned: HashMap::new() })
    })
    .await
}
