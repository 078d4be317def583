//! A thread that writes versions to the disk. A write may be slow or never finish, so nothing that renews a lease waits for the disk.

use super::document_store::{store_version, write_file, MAX_STORED_VERSIONS};
use crate::log;
use cypresscleat_rollout::Version;
use std::io;
use std::path::Path;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::time::Duration;
use tokio::sync::mpsc::{channel, Receiver};
use tokio::time::timeout;

/// Maximum time for pending writes at the end of the process.
const MAX_FINISH_TIME: Duration = Duration::from_millis(500);

/// A write to the disk.
enum Write {
    /// Stores a version; the version `spared` is not removed to make space.
    Version { version: Version, spared: Option<u64> },
    /// Stores the number of the active version.
    Active(u64),
}

/// The result of writing a version.
pub struct Written {
    pub number: u64,
    pub result: Result<(), String>,
}

/// The queue of the thread, and the results of its writes.
pub struct VersionDisk {
    writes: SyncSender<Write>,
    written: Receiver<Written>,
}

impl VersionDisk {
    /// Starts the thread for a folder.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the thread cannot be started.
    pub fn start(folder: &Path) -> io::Result<VersionDisk> {
        let folder = folder.to_path_buf();
        let (writes, queue) = sync_channel::<Write>(MAX_STORED_VERSIONS);
        let (results, written) = channel(MAX_STORED_VERSIONS);
        std::thread::Builder::new().name("texts".into()).spawn(move || {
            for write in queue {
                let Some(result) = perform_write(&folder, write) else { continue };
                if results.blocking_send(result).is_err() {
                    return;
                }
            }
        })?;
        Ok(VersionDisk { writes, written })
    }

    /// Queues a version for writing. Returns false if the queue is full. [`VersionDisk::next`] returns the result.
    pub fn write_version(&self, version: Version, spared: Option<u64>) -> bool {
        self.writes.try_send(Write::Version { version, spared }).is_ok()
    }

    /// Queues the number of the active version for writing. A later start without a leader uses it.
    pub fn write_active(&self, number: u64) {
        if self.writes.try_send(Write::Active(number)).is_err() {
            log!("policy {number} is in force; its number was not stored, because the disk's write queue is full");
        }
    }

    /// Returns the result of the next version write.
    pub async fn next(&mut self) -> Option<Written> {
        self.written.recv().await
    }

    /// Waits for pending writes, at most [`MAX_FINISH_TIME`].
    pub async fn finish(self) {
        let VersionDisk { writes, mut written } = self;
        drop(writes);
        let _ = timeout(MAX_FINISH_TIME, async { while written.recv().await.is_some() {} }).await;
    }
}

fn perform_write(folder: &Path, write: Write) -> Option<Written> {
    match write {
        Write::Version { version, spared } => {
            let result = store_version(folder, &version, spared).map_err(|error| error.to_string());
            Some(Written { number: version.number, result })
        }
        Write::Active(number) => {
            let _ = write_file(folder, &folder.join("in_force"), format!("{number}\n").as_bytes());
            None
        }
    }
}
