//! A task on behalf of instances that are down. Their stores name the requests that were admitted and not answered, and the
//! idempotency keys whose request was started with an unknown outcome. The task reports each such row to a ledger once. A partition is
//! the slot of a store's folder ([`folder_slots`]), on a volume that all instances reach that may own the task.
//!
//! A folder is read only while no process holds its lock: it is opened, read and closed in one step. A folder whose lock is held belongs
//! to a running instance, which reports its rows itself. Rows have no order over the restarts of an instance, so each row is reported
//! under its own key, and reporting a row again changes nothing (one JSON object a line, both ways):
//!
//! ```text
//! {"duty":"settle","part":0,"item":8813…,"row":"o/0000…1a2b","what":"report, …","token":57,"by":"n1"}
//! {"part":0,"item":8813…,"taken":true}      or taken false, where the ledger has seen a later token
//! ```

use super::folder_reader::{self, FolderReader, PendingRead};
use super::folder_slots;
use super::task_worker::{Item, ItemSource};
use super::ControlReplicas;
use crate::core::persistence::{KeyState, RecoveredState};
use crate::log;
use cypresscleat_leases::{node_id, Time};
use cypresscleat_store::disk::DiskDirectory;
use cypresscleat_store::{Error, Store, StoreOptions};
use serde_json::json;
use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// The `settle` of the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct ReconcileConfig {
    pub ledger: SocketAddr,
    pub folders: Vec<PathBuf>,
    /// Time between two reads of a folder.
    pub interval: Time,
}

/// Name of the task.
pub const TASK_NAME: &str = "settle";
/// Maximum number of rows that one read of a folder returns. The next read skips the reported rows and returns the rest.
const MAX_ROWS_PER_READ: usize = 10_000;

/// A row as it is reported.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub key: String,
    pub what: String,
}

/// Reads the unresolved rows of a folder's store; `None` where a running instance holds the store or waits for it, or the
/// folder has none. `cancelled` ends the read.
pub fn unresolved_rows(folder: &Path, cancelled: Arc<AtomicBool>) -> Result<Option<Vec<Row>>, String> {
    if !folder.is_dir() {
        return Ok(None);
    }
    let loaded = match read_state(folder, cancelled) {
        Err(Error::Locked | Error::Interrupted) => return Ok(None),
        loaded => loaded.map_err(|error| error.to_string())?,
    };
    let unanswered = loaded
        .interrupted
        .into_iter()
        .map(|(key, what)| Row { key: String::from_utf8_lossy(&key).into(), what });
    let without_result = loaded.without_result;
    let started = loaded
        .records
        .into_iter()
        .filter(|(name, token)| token.state == KeyState::Started && !without_result.contains(name));
    let started = started
        .map(|(token, _)| Row { key: format!("t/{token}"), what: "begun, its end is not known".into() });
    Ok(Some(unanswered.chain(started).take(MAX_ROWS_PER_READ).collect()))
}

fn read_state(folder: &Path, cancelled: Arc<AtomicBool>) -> Result<RecoveredState, Error> {
    let disk = DiskDirectory::open_for_reader(folder, cancelled)?;
    let mut store = Store::open(disk, StoreOptions::default())?;
    RecoveredState::load(&mut store)
}

/// The rows of a folder, as a read has brought them.
type RowsRead = Result<Option<Vec<Row>>, String>;

/// An owned partition.
#[derive(Default)]
struct OwnedFolder {
    pending_read: Option<PendingRead<RowsRead>>,
    unreported: VecDeque<Row>,
    /// Keys of rows that were reported under this fencing token.
    reported: HashSet<String>,
}

struct Folders {
    /// The folder of each slot that the configuration names.
    by_slot: Vec<Option<PathBuf>>,
    interval: Time,
    reader: FolderReader<RowsRead>,
    owned: HashMap<u32, OwnedFolder>,
}

impl OwnedFolder {
    /// Begins a read of the folder, or takes the result of the one under way.
    ///
    /// # Errors
    /// The time until the next look, while there is no result.
    fn refresh(&mut self, reader: &FolderReader<RowsRead>, folder: &Path) -> Result<(), Time> {
        if self.pending_read.is_none() {
            let folder = folder.to_path_buf();
            self.pending_read = Some(reader.read(move |cancelled| unresolved_rows(&folder, cancelled)));
        }
        let result = PendingRead::take(&mut self.pending_read).ok_or(folder_reader::POLL_INTERVAL)?;
        let result = result.unwrap_or_else(|ended| Err(ended.to_string()));
        match result {
            Ok(rows) => {
                let rows = rows.into_iter().flatten();
                self.unreported = rows.filter(|row| !self.reported.contains(&row.key)).collect();
            }
            Err(error) => log!("{}: {error}", folder.display()),
        }
        if self.reported.len() > 4 * MAX_ROWS_PER_READ {
            self.reported.clear(); // rows are then reported again, which changes nothing
        }
        Ok(())
    }
}

impl ItemSource for Folders {
    fn start_partition(&mut self, partition: u32, _cursor: &[u8]) {
        self.owned.insert(partition, OwnedFolder::default());
    }
    fn stop_partition(&mut self, partition: u32) {
        self.owned.remove(&partition);
    }
    fn next_item(&mut self, partition: u32) -> Result<Item, Time> {
        let (Some(folder), Some(owned)) =
            (self.by_slot.get(partition as usize).and_then(Option::as_ref), self.owned.get_mut(&partition))
        else {
            return Err(self.interval);
        };
        if owned.unreported.is_empty() {
            owned.refresh(&self.reader, folder)?;
        }
        let row = owned.unreported.front().ok_or(self.interval)?;
        let fields = [("row", &row.key), ("what", &row.what)];
        let fields = fields.into_iter().map(|(key, value)| (key.to_string(), json!(value))).collect();
        Ok(Item { number: node_id(&row.key), fields, cursor_after: None })
    }
    fn complete_item(&mut self, partition: u32, _number: u64) -> Time {
        if let Some(owned) = self.owned.get_mut(&partition) {
            owned.reported.extend(owned.unreported.pop_front().map(|row| row.key));
        }
        0
    }
}

/// Runs the task until SIGTERM.
pub async fn run(name: &str, control: &ControlReplicas, config: &ReconcileConfig) -> io::Result<()> {
    folder_slots::run_task(name, control, TASK_NAME, (&config.folders, config.ledger), |by_slot| {
        let (interval, reader) = (config.interval, FolderReader::start()?);
        Ok(Folders { by_slot, interval, reader, owned: HashMap::new() })
    })
    .await
}
