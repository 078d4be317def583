//! A duty on behalf of instances that are down: what their stores say was taken in and not answered, and tokens that were begun and
//! whose end nobody knows, is told to a ledger, once for each row. A part is a folder, on a volume that all who may own the duty reach.
//!
//! The folder is read only while no process holds it, in one go, and let go at once; one that is held belongs to an instance that is
//! here and settles by itself. Rows have no order over the lives of an instance, so each is told under its own key, and what was told before
//! changes nothing (one JSON object a line, both ways):
//!
//! ```text
//! {"duty":"settle","part":0,"item":8813…,"row":"o/0000…1a2b","what":"report, …","token":57,"by":"n1"}
//! {"part":0,"item":8813…,"taken":true}      or taken false, where it has seen a later token
//! ```

use super::task_worker::{self, Item, Source};
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

#[derive(Clone, Debug, PartialEq)]
pub struct ReconcileConfig {
    pub ledger: SocketAddr,
    pub folders: Vec<PathBuf>,
    /// Between two looks at a folder.
    pub interval: Time,
}

pub const TASK_NAME: &str = "settle";
/// Rows of a folder that are told in one look; the next look goes on with the rest, as what was told is known.
const ROWS: usize = 10_000;

/// A row as it is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub key: String,
    pub what: String,
}

/// What the store in a folder leaves to be settled; `None` where an instance holds it, or nothing was ever kept there.
pub fn rows(folder: &Path) -> Result<Option<Vec<Row>>, String> {
    if !folder.is_dir() {
        return Ok(None);
    }
    let disk = match DiskDirectory::open(folder) {
        Err(Error::Locked) => return Ok(None),
        other => other.map_err(|error| error.to_string())?,
    };
    let mut store = Store::open(disk, StoreOptions::default()).map_err(|error| error.to_string())?;
    let loaded = RecoveredState::load(&mut store).map_err(|error| error.to_string())?;
    let owed = loaded
        .interrupted
        .into_iter()
        .map(|(key, what)| Row { key: String::from_utf8_lossy(&key).into(), what });
    let begun = loaded.records.into_iter().filter(|(_, token)| token.state == KeyState::Started);
    let begun =
        begun.map(|(token, _)| Row { key: format!("t/{token}"), what: "begun, its end is not known".into() });
    Ok(Some(owed.chain(begun).take(ROWS).collect()))
}

/// A part that is owned.
#[derive(Default)]
struct Told {
    left: VecDeque<Row>,
    /// What was told under this token.
    told: HashSet<String>,
}

struct Rows {
    folders: Vec<PathBuf>,
    every: Time,
    parts: HashMap<u32, Told>,
}

impl Source for Rows {
    fn begins(&mut self, part: u32, _cursor: &[u8]) {
        self.parts.insert(part, Told::default());
    }
    fn ends(&mut self, part: u32) {
        self.parts.remove(&part);
    }
    fn next(&mut self, part: u32) -> Result<Item, Time> {
        let (Some(folder), Some(one)) = (self.folders.get(part as usize), self.parts.get_mut(&part)) else {
            return Err(self.every);
        };
        if one.left.is_empty() {
            match rows(folder) {
                Ok(found) => {
                    let found = found.into_iter().flatten();
                    one.left = found.filter(|row| !one.told.contains(&row.key)).collect();
                }
                Err(error) => log!("{}: {error}", folder.display()),
            }
            if one.told.len() > 4 * ROWS {
                one.told.clear(); // told again, once in a while, and changes nothing
            }
        }
        let row = one.left.front().ok_or(self.every)?;
        let more = [("row", &row.key), ("what", &row.what)];
        let more = more.into_iter().map(|(key, value)| (key.to_string(), json!(value))).collect();
        Ok(Item { number: node_id(&row.key), more, after: None })
    }
    fn done(&mut self, part: u32, _number: u64) -> Time {
        if let Some(one) = self.parts.get_mut(&part) {
            one.told.extend(one.left.pop_front().map(|row| row.key));
        }
        0
    }
}

pub async fn run(name: &str, keepers: &ControlReplicas, set: &ReconcileConfig) -> io::Result<()> {
    let rows = Rows { folders: set.folders.clone(), every: set.interval, parts: HashMap::new() };
    task_worker::run(name, keepers, TASK_NAME, set.folders.len() as u32, set.ledger, rows).await
}
