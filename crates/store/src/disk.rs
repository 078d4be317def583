//! The disk interface of the store, and its implementation on a directory of the file system.

use crate::error::{DiskOperation, Error, Result};
use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

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
}

/// Maximum number of files that stay open for reading and writing.
const MAX_OPEN_FILES: usize = 16;
/// Locked by the process that has the directory open.
const LOCK_FILE: &str = "LOCK";

/// A directory of the file system. Holds the directory's lock until it is dropped, and at most `MAX_OPEN_FILES` files open.
#[derive(Debug)]
pub struct DiskDirectory {
    path: PathBuf,
    open_files: HashMap<String, File>,
    /// Number of syncs before every further sync fails, in tests.
    syncs_until_failure: Option<u64>,
    _lock: File,
}

impl DiskDirectory {
    /// Opens and locks the directory; creates it if it does not exist.
    ///
    /// # Errors
    /// [`Error::Locked`] if another process has the directory open, or an error of the operating system.
    pub fn open(path: &Path) -> Result<DiskDirectory> {
        let shown = path.display().to_string();
        std::fs::create_dir_all(path)
            .map_err(|error| Error::disk(DiskOperation::CreateDirectory, &shown, error))?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join(LOCK_FILE));
        let lock = lock.map_err(|error| Error::disk(DiskOperation::Open, LOCK_FILE, error))?;
        // The operating system releases the lock when this process ends, in whatever way.
        match lock.try_lock() {
            Ok(()) => Ok(DiskDirectory {
                path: path.to_path_buf(),
                open_files: HashMap::new(),
                syncs_until_failure: None,
                _lock: lock,
            }),
            Err(std::fs::TryLockError::WouldBlock) => Err(Error::Locked),
            Err(std::fs::TryLockError::Error(error)) => {
                Err(Error::disk(DiskOperation::Lock, LOCK_FILE, error))
            }
        }
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
        let entries =
            std::fs::read_dir(&self.path).map_err(|error| Error::disk(DiskOperation::List, ".", error))?;
        let names = entries.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
        Ok(names.filter(|name| name != LOCK_FILE).collect())
    }
    fn length(&mut self, name: &str) -> Result<u64> {
        let length = self.file(name)?.metadata().map(|data| data.len());
        length.map_err(|error| Error::disk(DiskOperation::ReadLength, name, error))
    }
    fn read(&mut self, name: &str, offset: u64, length: usize) -> Result<Vec<u8>> {
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
}
