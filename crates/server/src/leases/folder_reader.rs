//! Reads the folders of instances on a thread of its own, so that the task that renews the leases never waits for a disk. One folder is
//! read at a time.

use cypresscleat_leases::Time;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, sync_channel, Receiver, Sender, SyncSender, TryRecvError};
use std::sync::Arc;
use std::time::SystemTime;

/// Time between two looks at a read that is under way.
pub const POLL_INTERVAL: Time = 100;

/// The thread that reads has ended: there will be no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the thread that reads has ended")]
pub struct ReaderEnded;

type Read<T> = Box<dyn FnOnce(Arc<AtomicBool>) -> T + Send>;

/// A read that the thread carries out next.
struct Job<T> {
    read: Read<T>,
    cancelled: Arc<AtomicBool>,
    result: SyncSender<T>,
}

/// The thread that reads.
pub struct FolderReader<T> {
    jobs: Sender<Job<T>>,
}

impl<T: Send + 'static> FolderReader<T> {
    /// Starts the thread, which ends when the reader is dropped and its last read is done.
    ///
    /// # Errors
    /// The thread could not be started.
    pub fn start() -> io::Result<FolderReader<T>> {
        let (jobs, received) = channel::<Job<T>>();
        std::thread::Builder::new().name("reader".into()).spawn(move || {
            for job in received {
                if !job.cancelled.load(Ordering::Relaxed) {
                    // Nobody may wait for the result any more.
                    let _ = job.result.send((job.read)(job.cancelled));
                }
            }
        })?;
        Ok(FolderReader { jobs })
    }

    /// Queues a read. It gets a flag that is set once its result is wanted no longer.
    pub fn read(&self, read: impl FnOnce(Arc<AtomicBool>) -> T + Send + 'static) -> PendingRead<T> {
        let (result, received) = sync_channel(1);
        let cancelled = Arc::<AtomicBool>::default();
        let _ = self.jobs.send(Job { read: Box::new(read), cancelled: cancelled.clone(), result });
        PendingRead { result: received, cancelled }
    }
}

/// A read that was queued. Dropping it cancels the read.
pub struct PendingRead<T> {
    result: Receiver<T>,
    cancelled: Arc<AtomicBool>,
}

impl<T> PendingRead<T> {
    /// Returns the result once the read is done.
    ///
    /// # Errors
    /// The thread has ended.
    pub fn poll(&self) -> Result<Option<T>, ReaderEnded> {
        match self.result.try_recv() {
            Ok(result) => Ok(Some(result)),
            Err(TryRecvError::Empty) => Ok(None),
            Err(TryRecvError::Disconnected) => Err(ReaderEnded),
        }
    }

    /// Takes the result of a read that is done; `None` while it is under way.
    pub fn take(pending: &mut Option<PendingRead<T>>) -> Option<Result<T, ReaderEnded>> {
        let result = pending.as_ref()?.poll().transpose()?;
        *pending = None;
        Some(result)
    }
}

impl<T> Drop for PendingRead<T> {
    fn drop(&mut self) {
        self.cancelled.store(true, Ordering::Relaxed);
    }
}

/// Names, lengths and times of the last change of a folder's files, sorted. Equal states have equal content.
pub type FolderState = Vec<(String, u64, SystemTime)>;

/// Returns the state of a folder.
///
/// # Errors
/// The folder can't be listed.
pub fn folder_state(folder: &Path) -> io::Result<FolderState> {
    let mut state = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let entry = entry?;
        let data = entry.metadata()?;
        state.push((entry.file_name().to_string_lossy().into_owned(), data.len(), data.modified()?));
    }
    state.sort();
    Ok(state)
}
