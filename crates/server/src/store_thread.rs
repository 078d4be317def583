//! Runs the store on a thread of its own, so that the server's event loop never waits for a disk. Batches of writes go to the thread
//! through a bounded queue; [`CoreEvent::Persisted`] reports what was persisted. The meaning of the rows is defined in
//! `core/persistence.rs`.

use crate::clock::{self, Clock};
use crate::core::persistence::{RecoveredState, WriteBatch};
use crate::core::CoreEvent;
use crate::hourly_usage::HourlyUsage;
use crate::log;
use cypresscleat_scheduler::Time;
use cypresscleat_store::disk::DiskDirectory;
use cypresscleat_store::{Store, StoreOptions};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{channel, Sender};
use tokio::task::spawn_local;

/// Maximum number of queued batches. The core handles one more as it handles a failing store.
const MAX_QUEUED_BATCHES: usize = 1024;
/// Maximum number of batches in one commit.
const MAX_BATCHES_PER_COMMIT: usize = 256;
/// How long the thread waits for a batch before it closes hours and compacts.
const IDLE_INTERVAL: Duration = Duration::from_millis(50);
/// How long [`join`] waits for the thread.
const MAX_JOIN_WAIT: Duration = Duration::from_secs(1);
/// How long [`start`] waits for a folder whose lock another process holds.
const MAX_LOCK_WAIT: Duration = Duration::from_millis(500);

/// When a write counts as persisted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Durability {
    /// After a sync for this write alone.
    Each,
    /// After a sync shared with the writes that arrive within this time, or earlier where a response that waits for it
    /// must be sent.
    Group(Duration),
    /// Once handed to the operating system: the write survives the process, but not a crash of the machine.
    None,
}

/// Opens the store, loads the state that the core needs, and starts the store's thread. Runs before the server accepts requests.
/// `hour_ms` is the length of an hour of [`HourlyUsage`]; `None` disables the totals. `clock` is the core's.
pub fn start(
    folder: &Path,
    durability: Durability,
    segment_bytes: u64,
    hour_ms: Option<u64>,
    clock: Clock,
    events: Sender<CoreEvent>,
) -> Result<(SyncSender<WriteBatch>, RecoveredState, JoinHandle<()>), String> {
    let options = StoreOptions { max_segment_bytes: segment_bytes, ..StoreOptions::default() };
    let disk = open_locked(folder)?;
    let mut store = Store::open(disk, options).map_err(|error| error.to_string())?;
    let recovered = RecoveredState::load(&mut store).map_err(|error| error.to_string())?;
    let stats = store.stats();
    log!(
        "store: {} keys in {} segments, {} bytes dropped behind the end, {} tokens, {} invocations cut off",
        stats.keys,
        stats.segments,
        stats.torn_bytes,
        recovered.records.len(),
        recovered.interrupted.len()
    );
    let usage = match hour_ms {
        None => None,
        Some(hour_ms) => {
            let hours = HourlyUsage::load(&mut store, hour_ms).map_err(|error| error.to_string())?;
            let mut usage = UsageExport { hours, folder: folder.to_path_buf(), is_failing: false };
            put(&mut store, usage.hours.closed_hour_writes())?;
            put(&mut store, usage.hours.close_hours_before_time(unix_ms()))?;
            store.commit(true).map_err(|error| error.to_string())?;
            usage.export();
            Some(usage)
        }
    };
    let (batch_sender, batches) = sync_channel(MAX_QUEUED_BATCHES);
    let (result_sender, mut results) = channel(MAX_QUEUED_BATCHES);
    spawn_local(async move {
        while let Some((acknowledged_through, failure)) = results.recv().await {
            if events.send(CoreEvent::Persisted { acknowledged_through, failure }).await.is_err() {
                return;
            }
        }
    });
    let thread = std::thread::Builder::new().name("store".into());
    let spawned = thread.spawn(move || run(store, (durability, clock), usage, &batches, &result_sender));
    Ok((batch_sender, recovered, spawned.map_err(|error| error.to_string())?))
}

/// Opens and locks the folder. A task that reads this instance's store while the instance is down has the lock meanwhile: it is asked
/// to make way, and a locked folder is retried.
fn open_locked(folder: &Path) -> Result<DiskDirectory, String> {
    let _announcement = DiskDirectory::announce(folder).map_err(|error| error.to_string())?;
    let deadline = Instant::now() + MAX_LOCK_WAIT;
    loop {
        match DiskDirectory::open(folder) {
            Err(cypresscleat_store::Error::Locked) if Instant::now() < deadline => {
                std::thread::sleep(Duration::from_millis(10))
            }
            result => return result.map_err(|error| error.to_string()),
        }
    }
}

/// Waits until the thread ends, which it does once the sender of batches is dropped. The wait is bounded, as a disk may hang.
pub async fn join(thread: Option<JoinHandle<()>>) {
    let Some(thread) = thread else { return };
    let deadline = Instant::now() + MAX_JOIN_WAIT;
    while !thread.is_finished() && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Number of the last batch that is done, and why a write failed, if one did.
type CommitResult = (u64, Option<String>);

/// Totals of the billing rows by hour, and their export.
struct UsageExport {
    hours: HourlyUsage,
    folder: PathBuf,
    /// Whether the last export failed; a series of failures is logged once.
    is_failing: bool,
}

impl UsageExport {
    /// Exports the closed hours. Called only after the commit that recorded them.
    fn export(&mut self) {
        let result = self.hours.export(&self.folder);
        if let (Err(error), false) = (&result, self.is_failing) {
            log!("store: hourly usage could not be exported: {error}");
        }
        self.is_failing = result.is_err();
    }
}

/// Returns the Unix time in milliseconds.
fn unix_ms() -> u64 {
    (clock::unix_time() / 10) as u64
}

fn put(store: &mut Store<DiskDirectory>, writes: Vec<(Vec<u8>, Vec<u8>)>) -> Result<(), String> {
    writes
        .iter()
        .try_for_each(|(key, value)| store.put(key, value).map(|_| ()).map_err(|error| error.to_string()))
}

/// Commits batches until their sender is dropped. While idle it closes hours and compacts.
fn run(
    mut store: Store<DiskDirectory>,
    (durability, clock): (Durability, Clock),
    mut usage: Option<UsageExport>,
    batches: &Receiver<WriteBatch>,
    results: &Sender<CommitResult>,
) {
    loop {
        let first = match batches.recv_timeout(IDLE_INTERVAL) {
            Ok(first) => first,
            Err(RecvTimeoutError::Timeout) => {
                if let Some(usage) = usage.as_mut() {
                    let closed = usage.hours.close_hours_before_time(unix_ms());
                    let result = match closed.is_empty() {
                        true => Ok(()),
                        false => put(&mut store, closed)
                            .and_then(|()| store.commit(true).map(drop).map_err(|error| error.to_string())),
                    };
                    match result {
                        Ok(()) => usage.export(),
                        Err(error) => log!("store: {error}"),
                    }
                }
                // Compaction runs only while no batch waits, one bounded step at a time.
                if let Err(error) = store.compact_step() {
                    log!("store: compaction: {error}");
                }
                continue;
            }
            Err(RecvTimeoutError::Disconnected) => break,
        };
        let group_deadline = match durability {
            Durability::Group(within) => Some(clock.now() + (within.as_micros() / 100) as Time),
            _ => None,
        };
        let mut commit_by = first.commit_by.unwrap_or(Time::MAX);
        let (mut done_through, mut failure) = (first.number, write(&mut store, &mut usage, first).err());
        if let Some(group_deadline) = group_deadline {
            for _ in 1..MAX_BATCHES_PER_COMMIT {
                let remaining = (group_deadline.min(commit_by) - clock.now()).max(0);
                let remaining = Duration::from_micros(remaining as u64 * 100);
                let Ok(batch) = batches.recv_timeout(remaining) else { break };
                commit_by = commit_by.min(batch.commit_by.unwrap_or(Time::MAX));
                done_through = batch.number;
                failure = write(&mut store, &mut usage, batch).err().or(failure);
            }
        }
        failure =
            store.commit(durability != Durability::None).err().map(|error| error.to_string()).or(failure);
        if let (Some(usage), None) = (usage.as_mut(), &failure) {
            usage.export();
        }
        if results.blocking_send((done_through, failure)).is_err() {
            break;
        }
    }
    if let Err(error) = store.commit(true) {
        log!("store: {error}");
    }
}

fn write(
    store: &mut Store<DiskDirectory>,
    usage: &mut Option<UsageExport>,
    batch: WriteBatch,
) -> Result<(), String> {
    for (key, value) in batch.writes {
        if let (Some(usage), Some(value)) = (usage.as_mut(), &value) {
            // Written before the row: no prefix of these writes contains a row of a new hour while the previous hour is still open.
            put(store, usage.hours.record_row(&key, value))?;
        }
        let result = match value {
            Some(value) => store.put(&key, &value),
            None => store.remove(&key),
        };
        result.map_err(|error| error.to_string())?;
    }
    Ok(())
}
