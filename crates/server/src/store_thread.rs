//! The store on a thread of its own: the server's loop never waits for a disk. Jobs go there through a bounded queue, word of
//! what was kept comes back as a note. What rows mean stands in `core/persistence.rs`.

use crate::core::persistence::{RecoveredState, WriteBatch};
use crate::core::CoreEvent;
use crate::hourly_usage::HourlyUsage;
use crate::{clock, log};
use cypresscleat_store::disk::DiskDirectory;
use cypresscleat_store::{Store, StoreOptions};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{channel, Sender};
use tokio::task::spawn_local;

/// Jobs that may wait; one more is refused, and answered by the rule for a store that fails.
const QUEUE: usize = 1024;
/// Jobs of one commit at the most.
const GROUP: usize = 256;
const IDLE: Duration = Duration::from_millis(50);
const ENDS: Duration = Duration::from_secs(1);
/// A folder that somebody else holds is waited for so long.
const MOMENT: Duration = Duration::from_millis(500);

/// When a write counts as kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Durability {
    /// Synced by itself.
    Each,
    /// Synced with what comes within so long.
    Group(Duration),
    /// Handed to the system: it outlives the process, not the machine.
    None,
}

/// Opens the store, reads what the core has to know, and goes on on a thread. Before anything is served.
pub fn start(
    folder: &Path,
    durability: Durability,
    segment: u64,
    hours: Option<u64>,
    notes: Sender<CoreEvent>,
) -> Result<(SyncSender<WriteBatch>, RecoveredState, JoinHandle<()>), String> {
    let options = StoreOptions { max_segment_bytes: segment, ..StoreOptions::default() };
    let disk = held(folder)?;
    let mut store = Store::open(disk, options).map_err(|error| error.to_string())?;
    let loaded = RecoveredState::load(&mut store).map_err(|error| error.to_string())?;
    let stats = store.stats();
    log!(
        "store: {} keys in {} segments, {} bytes dropped behind the end, {} tokens, {} invocations cut off",
        stats.keys,
        stats.segments,
        stats.torn_bytes,
        loaded.records.len(),
        loaded.interrupted.len()
    );
    let summed = match hours {
        None => None,
        Some(span) => {
            let hours = HourlyUsage::load(&mut store, span).map_err(|error| error.to_string())?;
            let mut summed = Summed { hours, folder: folder.to_path_buf(), failing: false };
            put(&mut store, summed.hours.closed_hour_writes())?;
            put(&mut store, summed.hours.close_hours_before_time(now()))?;
            store.commit(true).map_err(|error| error.to_string())?;
            summed.export();
            Some(summed)
        }
    };
    let (to, jobs) = sync_channel(QUEUE);
    let (done, mut words) = channel(QUEUE);
    spawn_local(async move {
        while let Some((acknowledged_through, failure)) = words.recv().await {
            if notes.send(CoreEvent::Persisted { acknowledged_through, failure }).await.is_err() {
                return;
            }
        }
    });
    let thread = std::thread::Builder::new().name("store".into());
    let spawned = thread.spawn(move || keep(store, durability, summed, &jobs, &done));
    Ok((to, loaded, spawned.map_err(|error| error.to_string())?))
}

/// The folder, held. Whoever settles for this instance while it is down holds it for a moment at a time.
fn held(folder: &Path) -> Result<DiskDirectory, String> {
    let until = Instant::now() + MOMENT;
    loop {
        match DiskDirectory::open(folder) {
            Err(cypresscleat_store::Error::Locked) if Instant::now() < until => {
                std::thread::sleep(Duration::from_millis(10))
            }
            other => return other.map_err(|error| error.to_string()),
        }
    }
}

/// Waits for the end of the thread, which comes with that of whoever sends it jobs; not for ever, as a disk may hang.
pub async fn join(thread: Option<JoinHandle<()>>) {
    let Some(thread) = thread else { return };
    let until = Instant::now() + ENDS;
    while !thread.is_finished() && Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// How far all is done with, and why some of it failed.
type Word = (u64, Option<String>);

/// Billing rows summed by the hour, and where they are handed out.
struct Summed {
    hours: HourlyUsage,
    folder: PathBuf,
    failing: bool,
}

impl Summed {
    /// Only once what is told there is on the disk.
    fn export(&mut self) {
        let done = self.hours.export(&self.folder);
        if let (Err(error), false) = (&done, self.failing) {
            log!("store: hours are not handed out: {error}");
        }
        self.failing = done.is_err();
    }
}

/// Unix time in milliseconds.
fn now() -> u64 {
    (clock::unix_time() / 10) as u64
}

fn put(store: &mut Store<DiskDirectory>, writes: Vec<(Vec<u8>, Vec<u8>)>) -> Result<(), String> {
    writes
        .iter()
        .try_for_each(|(key, value)| store.put(key, value).map(|_| ()).map_err(|error| error.to_string()))
}

fn keep(
    mut store: Store<DiskDirectory>,
    durability: Durability,
    mut summed: Option<Summed>,
    jobs: &Receiver<WriteBatch>,
    words: &Sender<Word>,
) {
    loop {
        let first = match jobs.recv_timeout(IDLE) {
            Ok(first) => first,
            Err(RecvTimeoutError::Timeout) => {
                if let Some(summed) = summed.as_mut() {
                    let closed = summed.hours.close_hours_before_time(now());
                    let done = match closed.is_empty() {
                        true => Ok(()),
                        false => put(&mut store, closed)
                            .and_then(|()| store.commit(true).map(drop).map_err(|error| error.to_string())),
                    };
                    match done {
                        Ok(()) => summed.export(),
                        Err(error) => log!("store: {error}"),
                    }
                }
                // Only while nobody waits, a bounded step at a time.
                if let Err(error) = store.compact_step() {
                    log!("store: compaction: {error}");
                }
                continue;
            }
            Err(RecvTimeoutError::Disconnected) => break,
        };
        let until = match durability {
            Durability::Group(within) => Some(Instant::now() + within),
            _ => None,
        };
        let (mut upto, mut failed) = (first.number, write(&mut store, &mut summed, first).err());
        if let Some(until) = until {
            for _ in 1..GROUP {
                let left = until.saturating_duration_since(Instant::now());
                let Ok(job) = jobs.recv_timeout(left) else { break };
                upto = job.number;
                failed = write(&mut store, &mut summed, job).err().or(failed);
            }
        }
        failed = store.commit(durability != Durability::None).err().map(|error| error.to_string()).or(failed);
        if let (Some(summed), None) = (summed.as_mut(), &failed) {
            summed.export();
        }
        if words.blocking_send((upto, failed)).is_err() {
            break;
        }
    }
    if let Err(error) = store.commit(true) {
        log!("store: {error}");
    }
}

fn write(
    store: &mut Store<DiskDirectory>,
    summed: &mut Option<Summed>,
    job: WriteBatch,
) -> Result<(), String> {
    for (key, value) in job.writes {
        if let (Some(summed), Some(value)) = (summed.as_mut(), &value) {
            // Before the row: a first part of these writes never has a row behind an hour that is not closed.
            put(store, summed.hours.record_row(&key, value))?;
        }
        let done = match value {
            Some(value) => store.put(&key, &value),
            None => store.remove(&key),
        };
        done.map_err(|error| error.to_string())?;
    }
    Ok(())
}
