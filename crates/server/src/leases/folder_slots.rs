//! Gives each folder of a task a partition of its own, for good. A partition, its cursor and what is reported under it belong to one
//! folder, whatever the order of the operator's list is, and whatever is added to it or removed from it.
//!
//! The table is kept by the control replicas, in two tasks beside the task itself:
//!
//! | task | partitions | cursor |
//! | --- | --- | --- |
//! | `TASK.slots` | one; its owner may change the table | number of slots in the table |
//! | `TASK.names` | one for each slot, all owned by whoever changes the table | id of the folder's name |
//!
//! A folder's name is its path as the operator's file gives it. Slots are never reused: the ledger knows what was reported under each.
//! The first table numbers the folders in the order of the list, which is how earlier versions numbered the partitions of the task.

use super::lease_holder::LeaseHolder;
use super::task_worker::{self, ItemSource};
use super::ControlReplicas;
use crate::log;
use cypresscleat_leases::client::LeaseEvent;
use cypresscleat_leases::{node_id, Claim, NodeId, Partition, Time};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Time between two log lines of a process that waits for the table.
const WAIT_LOG_INTERVAL: Time = 100_000;
/// Time between two looks at the events of both sessions.
const POLL_INTERVAL: Time = 1_000;

/// The folders of a task by slot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotTable {
    names: Vec<NodeId>,
}

impl SlotTable {
    /// Creates the table from the ids of its slots' names, in the order of the slots.
    pub fn new(names: Vec<NodeId>) -> SlotTable {
        SlotTable { names }
    }

    /// Number of slots.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there is no slot.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Appends a slot for each folder that has none, in the order of the list.
    pub fn add_folders(&mut self, folders: &[PathBuf]) {
        for name in folders.iter().map(|folder| folder_id(folder)) {
            if !self.names.contains(&name) {
                self.names.push(name);
            }
        }
    }

    /// The folder of each slot; `None` where the list does not name it (any more).
    pub fn folders_by_slot(&self, folders: &[PathBuf]) -> Vec<Option<PathBuf>> {
        let named = |name: &NodeId| folders.iter().find(|folder| folder_id(folder) == *name).cloned();
        self.names.iter().map(named).collect()
    }
}

fn folder_id(folder: &Path) -> NodeId {
    node_id(&folder.to_string_lossy())
}

/// The sessions of a process that changes a table.
struct Registration {
    lock: LeaseHolder,
    lock_partition: Partition,
    names: LeaseHolder,
    names_task: NodeId,
    /// Names of the slots that this process owns, as stored.
    stored: BTreeMap<u32, Vec<u8>>,
}

/// What happened in one of the sessions.
enum RegistrationEvent {
    Nothing,
    Saved { accepted: bool },
    LockLost,
}

/// Names of the two tasks that keep the table of a task.
pub fn table_tasks(task: &str) -> [String; 2] {
    [format!("{task}.slots"), format!("{task}.names")]
}

/// Runs a task whose partitions are folders until SIGTERM: gives each folder its slot, and has `start` make the items' source of the
/// folder of each slot.
///
/// # Errors
/// A socket, a signal handler or the source could not be set up.
pub async fn run_task<Source: ItemSource>(
    name: &str,
    control: &ControlReplicas,
    task: &str,
    (folders, ledger): (&[PathBuf], SocketAddr),
    start: impl FnOnce(Vec<Option<PathBuf>>) -> io::Result<Source>,
) -> io::Result<()> {
    let registration = register(name, control, task, folders);
    let Some(table) = task_worker::unless_terminated(registration).await? else { return Ok(()) };
    let source = start(table.folders_by_slot(folders))?;
    task_worker::run(name, control, task, table.len() as u32, ledger, source).await
}

/// Adds the folders to the table of the task and returns it. Waits for the control replicas, and for other processes that change the
/// table.
///
/// # Errors
/// A socket could not be opened.
async fn register(
    name: &str,
    control: &ControlReplicas,
    task: &str,
    folders: &[PathBuf],
) -> io::Result<SlotTable> {
    loop {
        if let Some(table) = try_register(name, control, task, folders).await? {
            return Ok(table);
        }
        log!("{task}: the table of folders changed hands; trying again");
    }
}

/// Returns `None` where the lease on the table was lost meanwhile.
async fn try_register(
    name: &str,
    control: &ControlReplicas,
    task: &str,
    folders: &[PathBuf],
) -> io::Result<Option<SlotTable>> {
    let [slots_task, names_task] = table_tasks(task).map(|name| node_id(&name));
    let lock_partition = Partition { task: slots_task, index: 0 };
    let claim = Claim { task: lock_partition.task, partitions: 1, rank: 0 };
    let mut lock = LeaseHolder::new(name, control, vec![claim]).await?;
    let count = wait_for_lock(&mut lock, task).await;
    let claim = Claim { task: names_task, partitions: (count + folders.len()) as u32, rank: 0 };
    let names = LeaseHolder::new(&format!("{name}.names"), control, vec![claim]).await?;
    let mut registration = Registration { lock, lock_partition, names, names_task, stored: BTreeMap::new() };
    let table = registration.extend_table(count, folders).await;
    registration.names.leave().await;
    registration.lock.leave().await;
    Ok(table)
}

/// Waits until this process may change the table; returns the number of its slots.
async fn wait_for_lock(lock: &mut LeaseHolder, task: &str) -> usize {
    let mut log_at = lock.clock.now() + WAIT_LOG_INTERVAL;
    loop {
        let until = lock.clock.now() + POLL_INTERVAL;
        if let Some(LeaseEvent::Acquired { cursor, .. }) = lock.next_event(until).await {
            return cursor.try_into().map_or(0, u32::from_le_bytes) as usize;
        }
        if lock.clock.now() >= log_at {
            log!("{task}: waits for the control replicas, or for another process that adds folders");
            log_at = lock.clock.now() + WAIT_LOG_INTERVAL;
        }
    }
}

impl Registration {
    /// Reads the table, adds the folders, and stores what is new: first the names, then the number of slots.
    async fn extend_table(&mut self, count: usize, folders: &[PathBuf]) -> Option<SlotTable> {
        self.wait_for_slots(count).await?;
        let name = |index: usize| {
            let stored = self.stored.get(&(index as u32)).cloned().unwrap_or_default();
            stored.try_into().map_or(0, u64::from_le_bytes)
        };
        let mut table = SlotTable::new((0..count).map(name).collect());
        table.add_folders(folders);
        if table.len() == count {
            return Some(table);
        }
        self.wait_for_slots(table.len()).await?;
        for index in count..table.len() {
            let partition = Partition { task: self.names_task, index: index as u32 };
            let ticket = self.names.save_cursor(partition, table.names[index].to_le_bytes().to_vec())?;
            self.wait_for_save(ticket).await?;
        }
        let ticket =
            self.lock.save_cursor(self.lock_partition, (table.len() as u32).to_le_bytes().to_vec())?;
        self.wait_for_save(ticket).await?;
        Some(table)
    }

    /// Waits until this process owns the names of the first `count` slots. Returns `None` where the lock is lost.
    async fn wait_for_slots(&mut self, count: usize) -> Option<()> {
        while !(0..count as u32).all(|index| self.stored.contains_key(&index)) {
            if let RegistrationEvent::LockLost = self.next_event(None).await {
                return None;
            }
        }
        Some(())
    }

    /// Waits until a cursor is saved. Returns `None` where it was not, or where the lock is lost.
    async fn wait_for_save(&mut self, ticket: u64) -> Option<()> {
        loop {
            match self.next_event(Some(ticket)).await {
                RegistrationEvent::Saved { accepted } => return accepted.then_some(()),
                RegistrationEvent::LockLost => return None,
                RegistrationEvent::Nothing => {}
            }
        }
    }

    /// Handles the next event of either session, so that both keep their leases.
    async fn next_event(&mut self, awaited: Option<u64>) -> RegistrationEvent {
        let (lock_until, names_until) =
            (self.lock.clock.now() + POLL_INTERVAL, self.names.clock.now() + POLL_INTERVAL);
        tokio::select! {
            event = self.lock.next_event(lock_until) => match event {
                Some(LeaseEvent::Lost { .. }) => RegistrationEvent::LockLost,
                Some(LeaseEvent::CursorSaved { ticket, accepted }) if awaited == Some(ticket) => {
                    RegistrationEvent::Saved { accepted }
                }
                _ => RegistrationEvent::Nothing,
            },
            event = self.names.next_event(names_until) => match event {
                Some(LeaseEvent::Acquired { partition, cursor, .. }) => {
                    self.stored.insert(partition.index, cursor);
                    RegistrationEvent::Nothing
                }
                Some(LeaseEvent::Lost { partition, .. }) => {
                    self.stored.remove(&partition.index);
                    RegistrationEvent::Nothing
                }
                Some(LeaseEvent::CursorSaved { ticket, accepted }) if awaited == Some(ticket) => {
                    RegistrationEvent::Saved { accepted }
                }
                _ => RegistrationEvent::Nothing,
            },
        }
    }
}
