//! The disk interface of the store, and its implementation on a directory of the file system.

use crate::error::{DiskOperation, Error, Result};
use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One directory; names are those of files in it. Written bytes are durable only after a sync of the file; the name of a file is
/// durable only after a sync of the directory.
pub trait Disk {
    /// Names of all files.
    fn list(&mut self) -> Result<Vec<String>>;
    /// Length of a file in bytes.
    fn length(&mut self, name: &str) -> Result<u64>;
    /// Reads `length` bytes at `offset`, or fewer at the end of the file.
    fn read(&mut self, name: &str, offset: u64, length: usize) -> Result<Vec<u8>>;
    /// Creates a new, empty file.
    fn create(&mut self, name: &str) -> Result<()>;
    /// Writes all bytes. After an error some of them may be in the file.
    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<()>;
    /// Truncates a file to this length.
    fn truncate(&mut self, name: &str, length: u64) -> Result<()>;
    /// Returns once all bytes written to the file are on the disk.
    fn sync(&mut self, name: &str) -> Result<()>;
    /// Returns once all creations, renames and removals of files are on the disk.
    fn sync_directory(&mut self) -> Result<()>;
    /// Renames a file; a file named `to` is replaced.
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> Result<()>;
    /// Called between long computations without a disk operation. An error ends the operation of the store.
    fn check_interruption(&mut self) -> Result<()> {
        Ok(())
    }
}

/// Maximum number of files that stay open for reading and writing.
const MAX_OPEN_FILES: usize = 16;
/// Locked by the process that has the directory open.
const LOCK_FILE: &str = "LOCK";

/// Locked by a process that waits for [`LOCK_FILE`], and which a reader makes way for.
const WANTED_FILE: &str = "WANTED";
/// Time between two checks of whether a reader has to make way.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A reader has locked the announcement at most for a moment: how often, and after which time, locking is tried again.
const ANNOUNCE_ATTEMPTS: u32 = 20;
const ANNOUNCE_RETRY_DELAY: Duration = Duration::from_micros(200);

/// Announces that a process waits to open the directory, until it is dropped: readers make way.
#[derive(Debug)]
pub struct Announcement {
    _lock: File,
}

/// When a reader has to end, although it has the directory open.
#[derive(Debug)]
struct Interruption {
    wanted: File,
    /// Set by whoever asked for the read, and wants it no longer.
    cancelled: Arc<AtomicBool>,
    checked_at: Instant,
    is_interrupted: bool,
}

impl Interruption {
    fn check(&mut self) -> Result<()> {
        if !self.is_interrupted && self.checked_at.elapsed() >= CHECK_INTERVAL {
            self.checked_at = Instant::now();
            self.is_interrupted = self.cancelled.load(Ordering::Relaxed) || is_locked(&self.wanted);
        }
        match self.is_interrupted {
            true => Err(Error::Interrupted),
            false => Ok(()),
        }
    }
}

/// Whether another process has locked the file. Locks it for a moment itself.
fn is_locked(file: &File) -> bool {
    let is_locked = matches!(file.try_lock_shared(), Err(std::fs::TryLockError::WouldBlock));
    let _ = file.unlock();
    is_locked
}

fn open_lock_file(path: &Path, name: &str) -> Result<File> {
    let file = OpenOptions::new().create(true).truncate(false).read(true).write(true).open(path.join(name));
    file.map_err(|error| Error::disk(DiskOperation::Open, name, error))
}

fn create_directory(path: &Path) -> Result<()> {
    let shown = path.display().to_string();
    std::fs::create_dir_all(path).map_err(|error| Error::disk(DiskOperation::CreateDirectory, &shown, error))
}

/// A directory of the file system. Holds the directory's lock until it is dropped, and at most `MAX_OPEN_FILES` files open.
#[derive(Debug)]
pub struct DiskDirectory {
    path: PathBuf,
    open_files: HashMap<String, File>,
    /// Number of syncs before every further sync fails, in tests.
    syncs_until_failure: Option<u64>,
    /// Set for a reader, which makes way for a process that wants the directory.
    interruption: Option<Interruption>,
    _lock: File,
}

impl DiskDirectory {
    /// Opens and locks the directory; creates it if it does not exist.
    ///
    /// # Errors
    /// [`Error::Locked`] if another process has the directory open, or an error of the operating system.
    pub fn open(path: &Path) -> Result<DiskDirectory> {
        create_directory(path)?;
        let lock = open_lock_file(path, LOCK_FILE)?;
        // The operating system releases the lock when this process ends, in whatever way.
        match lock.try_lock() {
            Ok(()) => Ok(DiskDirectory {
                path: path.to_path_buf(),
                open_files: HashMap::new(),
                syncs_until_failure: None,
                interruption: None,
                _lock: lock,
            }),
            Err(std::fs::TryLockError::WouldBlock) => Err(Error::Locked),
            Err(std::fs::TryLockError::Error(error)) => {
                Err(Error::disk(DiskOperation::Lock, LOCK_FILE, error))
            }
        }
    }

    /// Opens and locks the directory for a process that reads what another one owns. Reads fail with [`Error::Interrupted`] once that one
    /// announces that it waits, or once `cancelled` is set; the store is then to be dropped.
    ///
    /// # Errors
    /// As [`DiskDirectory::open`]; [`Error::Locked`] also where a process waits for the directory already.
    pub fn open_for_reader(path: &Path, cancelled: Arc<AtomicBool>) -> Result<DiskDirectory> {
        let mut disk = DiskDirectory::open(path)?;
        let wanted = open_lock_file(path, WANTED_FILE)?;
        if is_locked(&wanted) {
            return Err(Error::Locked);
        }
        let checked_at = Instant::now();
        disk.interruption = Some(Interruption { wanted, cancelled, checked_at, is_interrupted: false });
        Ok(disk)
    }

    /// Announces that this process waits to open the directory. Readers make way within some milliseconds, until the result is dropped.
    ///
    /// # Errors
    /// An error of the operating system.
    pub fn announce(path: &Path) -> Result<Announcement> {
        create_directory(path)?;
        let lock = open_lock_file(path, WANTED_FILE)?;
        // A reader locks the file for a moment; where another process waits too, its announcement serves both.
        for _ in 0..ANNOUNCE_ATTEMPTS {
            if lock.try_lock().is_ok() {
                break;
            }
            std::thread::sleep(ANNOUNCE_RETRY_DELAY);
        }
        Ok(Announcement { _lock: lock })
    }

    fn check(&mut self) -> Result<()> {
        self.interruption.as_mut().map_or(Ok(()), Interruption::check)
    }

    /// Makes every sync after the first `syncs` syncs of files fail, as on a failing disk; for tests.
    pub fn fail_syncs_after(&mut self, syncs: u64) {
        self.syncs_until_failure = Some(syncs);
    }

    fn file(&mut self, name: &str) -> Result<&File> {
        if !self.open_files.contains_key(name) {
            if self.open_files.len() >= MAX_OPEN_FILES {
                self.open_files.clear();
            }
            let file = OpenOptions::new().read(true).write(true).open(self.path.join(name));
            let file = file.map_err(|error| Error::disk(DiskOperation::Open, name, error))?;
            self.open_files.insert(name.to_string(), file);
        }
        self.open_files.get(name).ok_or(Error::ReadOnly)
    }
}

impl Disk for DiskDirectory {
    fn list(&mut self) -> Result<Vec<String>> {
        self.check()?;
        let entries =
            std::fs::read_dir(&self.path).map_err(|error| Error::disk(DiskOperation::List, ".", error))?;
        let names = entries.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
        Ok(names.filter(|name| name != LOCK_FILE && name != WANTED_FILE).collect())
    }
    fn length(&mut self, name: &str) -> Result<u64> {
        self.check()?;
        let length = self.file(name)?.metadata().map(|data| data.len());
        length.map_err(|error| Error::disk(DiskOperation::ReadLength, name, error))
    }
    fn read(&mut self, name: &str, offset: u64, length: usize) -> Result<Vec<u8>> {
        self.check()?;
        let file = self.file(name)?;
        let (mut bytes, mut filled) = (vec![0; length], 0);
        while filled < length {
            match file.read_at(&mut bytes[filled..], offset + filled as u64) {
                Ok(0) => break,
                Ok(count) => filled += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(Error::disk(DiskOperation::Read, name, error)),
            }
        }
        bytes.truncate(filled);
        Ok(bytes)
    }
    fn create(&mut self, name: &str) -> Result<()> {
        let file =
            OpenOptions::new().read(true).write(true).create(true).truncate(true).open(self.path.join(name));
        let file = file.map_err(|error| Error::disk(DiskOperation::Create, name, error))?;
        self.open_files.insert(name.to_string(), file);
        Ok(())
    }
    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<()> {
        self.file(name)?
            .write_all_at(bytes, offset)
            .map_err(|error| Error::disk(DiskOperation::Write, name, error))
    }
    fn truncate(&mut self, name: &str, length: u64) -> Result<()> {
        self.file(name)?.set_len(length).map_err(|error| Error::disk(DiskOperation::Truncate, name, error))
    }
    fn sync(&mut self, name: &str) -> Result<()> {
        if let Some(left) = self.syncs_until_failure.as_mut() {
            let broken = || io::Error::other("Input/output error, as the test asks for");
            *left = left
                .checked_sub(1)
                .ok_or_else(broken)
                .map_err(|error| Error::disk(DiskOperation::Sync, name, error))?;
        }
        self.file(name)?.sync_data().map_err(|error| Error::disk(DiskOperation::Sync, name, error))
    }
    fn sync_directory(&mut self) -> Result<()> {
        let synced = File::open(&self.path).and_then(|folder| folder.sync_all());
        synced.map_err(|error| Error::disk(DiskOperation::Sync, ".", error))
    }
    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.open_files.remove(to);
        if let Some(file) = self.open_files.remove(from) {
            self.open_files.insert(to.to_string(), file);
        }
        std::fs::rename(self.path.join(from), self.path.join(to))
            .map_err(|error| Error::disk(DiskOperation::Rename, from, error))
    }
    fn remove(&mut self, name: &str) -> Result<()> {
        self.open_files.remove(name);
        std::fs::remove_file(self.path.join(name))
            .map_err(|error| Error::disk(DiskOperation::Remove, name, error))
    }
    fn check_interruption(&mut self) -> Result<()> {
        self.check()
    }
}
