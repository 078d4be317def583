//! A thread for a disk with versions, which may take its time or never answer: nothing that renews a lease waits for it.

use super::document_store::{store_version, write_file, MAX_STORED_VERSIONS};
use crate::log;
use cypresscleat_rollout::Version;
use std::io;
use std::path::Path;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::time::Duration;
use tokio::sync::mpsc::{channel, Receiver};
use tokio::time::timeout;

/// Time that the disk is given at the end of the process.
const MAX_FINISH_TIME: Duration = Duration::from_millis(500);

/// What is to be put on the disk.
enum Write {
    /// A version; `spared` is not removed for it.
    Version { version: Version, spared: Option<u64> },
    /// The version that is active.
    Active(u64),
}

/// A version that is on the disk, or could not be put there.
pub struct Written {
    pub number: u64,
    pub result: Result<(), String>,
}

/// The thread's queue, and what it has done.
pub struct VersionDisk {
    writes: SyncSender<Write>,
    written: Receiver<Written>,
}

impl VersionDisk {
    /// Starts the thread for a folder.
    ///
    /// # Errors
    ///
    /// The system's, where it gives no thread.
    pub fn start(folder: &Path) -> io::Result<VersionDisk> {
        let folder = folder.to_path_buf();
        let (writes, queue) = sync_channel::<Write>(MAX_STORED_VERSIONS);
        let (done, written) = channel(MAX_STORED_VERSIONS);
        std::thread::Builder::new().name("texts".into()).spawn(move || {
            for write in queue {
                let Some(result) = perform_write(&folder, write) else { continue };
                if done.blocking_send(result).is_err() {
                    return;
                }
            }
        })?;
        Ok(VersionDisk { writes, written })
    }

    /// Puts a version on the disk; false where too much waits for it. [`VersionDisk::next`] tells how it went.
    pub fn write_version(&self, version: Version, spared: Option<u64>) -> bool {
        self.writes.try_send(Write::Version { version, spared }).is_ok()
    }

    /// Notes which version is active, for a start without a leader.
    pub fn write_active(&self, number: u64) {
        if self.writes.try_send(Write::Active(number)).is_err() {
            log!("policy {number} is in force, and the disk is too far behind to note it");
        }
    }

    /// The next version that was put on the disk, or could not be.
    pub async fn next(&mut self) -> Option<Written> {
        self.written.recv().await
    }

    /// Gives the disk a moment for what waits.
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
