//! What the store asks of a disk, and a real one.

use crate::{Error, Result};
use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// One folder. Names are those of files in it. What was written is on the disk for sure only once it was synced; that a
/// file is there under its name, only once the folder was.
pub trait Disk {
    fn list(&mut self) -> Result<Vec<String>>;
    fn length(&mut self, name: &str) -> Result<u64>;
    /// So many bytes from there, or fewer at the end of the file.
    fn read(&mut self, name: &str, offset: u64, length: usize) -> Result<Vec<u8>>;
    /// A new, empty file.
    fn create(&mut self, name: &str) -> Result<()>;
    /// All of the bytes, or an error; then some of them may be there.
    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<()>;
    fn truncate(&mut self, name: &str, length: u64) -> Result<()>;
    fn sync(&mut self, name: &str) -> Result<()>;
    fn sync_directory(&mut self) -> Result<()>;
    /// Replaces what had the name `to`.
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;
    fn remove(&mut self, name: &str) -> Result<()>;
}

pub(crate) fn said(doing: &'static str, file: &str, error: io::Error) -> Error {
    let full = matches!(error.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded);
    Error::Disk { doing, file: file.to_string(), what: error.to_string(), full }
}

/// A folder of the system's. Holds its lock for as long as it lives, and few files open.
#[derive(Debug)]
pub struct DiskDirectory {
    path: PathBuf,
    open: HashMap<String, File>,
    /// Syncs until one fails, in tests.
    fails: Option<u64>,
    _lock: File,
}

/// Files kept open for reading and writing.
const OPEN: usize = 16;

impl DiskDirectory {
    /// Made if it is not there.
    pub fn open(path: &Path) -> Result<DiskDirectory> {
        let shown = path.display().to_string();
        std::fs::create_dir_all(path).map_err(|error| said("make", &shown, error))?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join("LOCK"));
        let lock = lock.map_err(|error| said("open", "LOCK", error))?;
        // Given back by the system when this process ends, however it does.
        match lock.try_lock() {
            Ok(()) => {
                Ok(DiskDirectory { path: path.to_path_buf(), open: HashMap::new(), fails: None, _lock: lock })
            }
            Err(std::fs::TryLockError::WouldBlock) => Err(Error::Locked),
            Err(std::fs::TryLockError::Error(error)) => Err(said("lock", "LOCK", error)),
        }
    }

    /// After so many syncs of files each fails, as on a disk that breaks: for tests.
    pub fn fail_syncs_after(&mut self, syncs: u64) {
        self.fails = Some(syncs);
    }

    fn file(&mut self, name: &str) -> Result<&File> {
        if !self.open.contains_key(name) {
            if self.open.len() >= OPEN {
                self.open.clear();
            }
            let file = OpenOptions::new().read(true).write(true).open(self.path.join(name));
            let file = file.map_err(|error| said("open", name, error))?;
            self.open.insert(name.to_string(), file);
        }
        self.open.get(name).ok_or(Error::ReadOnly)
    }
}

impl Disk for DiskDirectory {
    fn list(&mut self) -> Result<Vec<String>> {
        let entries = std::fs::read_dir(&self.path).map_err(|error| said("list", ".", error))?;
        let names = entries.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
        Ok(names.filter(|name| name != "LOCK").collect())
    }
    fn length(&mut self, name: &str) -> Result<u64> {
        let length = self.file(name)?.metadata().map(|data| data.len());
        length.map_err(|error| said("measure", name, error))
    }
    fn read(&mut self, name: &str, offset: u64, length: usize) -> Result<Vec<u8>> {
        let file = self.file(name)?;
        let (mut bytes, mut filled) = (vec![0; length], 0);
        while filled < length {
            match file.read_at(&mut bytes[filled..], offset + filled as u64) {
                Ok(0) => break,
                Ok(many) => filled += many,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(said("read", name, error)),
            }
        }
        bytes.truncate(filled);
        Ok(bytes)
    }
    fn create(&mut self, name: &str) -> Result<()> {
        let file =
            OpenOptions::new().read(true).write(true).create(true).truncate(true).open(self.path.join(name));
        let file = file.map_err(|error| said("create", name, error))?;
        self.open.insert(name.to_string(), file);
        Ok(())
    }
    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<()> {
        self.file(name)?.write_all_at(bytes, offset).map_err(|error| said("write", name, error))
    }
    fn truncate(&mut self, name: &str, length: u64) -> Result<()> {
        self.file(name)?.set_len(length).map_err(|error| said("truncate", name, error))
    }
    fn sync(&mut self, name: &str) -> Result<()> {
        if let Some(left) = self.fails.as_mut() {
            let broken = || io::Error::other("Input/output error, as the test asks for");
            *left = left.checked_sub(1).ok_or_else(broken).map_err(|error| said("sync", name, error))?;
        }
        self.file(name)?.sync_data().map_err(|error| said("sync", name, error))
    }
    fn sync_directory(&mut self) -> Result<()> {
        let synced = File::open(&self.path).and_then(|folder| folder.sync_all());
        synced.map_err(|error| said("sync", ".", error))
    }
    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.open.remove(to);
        if let Some(file) = self.open.remove(from) {
            self.open.insert(to.to_string(), file);
        }
        std::fs::rename(self.path.join(from), self.path.join(to)).map_err(|error| said("rename", from, error))
    }
    fn remove(&mut self, name: &str) -> Result<()> {
        self.open.remove(name);
        std::fs::remove_file(self.path.join(name)).map_err(|error| said("remove", name, error))
    }
}
