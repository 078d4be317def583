//! A simulated disk in memory that crashes: what was not synced may be there or not, in parts and in any order, and so may be
//! changes of the directory. Faults can be injected. Deterministic by seed; for tests, and for anyone who writes against the
//! store.

use crate::disk::Disk;
use crate::error::{DiskOperation, Error, Result};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};

/// Writes reach the disk in pieces of this size, each by itself.
const SECTOR_BYTES: usize = 64;

/// A change of a file since its last sync.
#[derive(Clone, Debug)]
enum Change {
    Write(u64, Vec<u8>),
    Truncate(u64),
}

#[derive(Clone, Debug, Default)]
struct File {
    /// As read by a process that goes on.
    current: Vec<u8>,
    /// As surely on the disk.
    synced: Vec<u8>,
    unsynced: Vec<Change>,
}

/// A change of the directory since its last sync; files are named by their position.
#[derive(Clone, Debug)]
enum DirectoryChange {
    Link(String, usize),
    Unlink(String),
    Rename(String, String, usize),
}

/// A fault of the disk, injected at the operation of a given number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The machine stops: this and all that follows fails, and only `crash` goes on.
    Crash,
    /// No space: half of what is written is there.
    Full,
    /// The write or the sync fails.
    IoError,
}

/// A disk in memory.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk {
    files: Vec<File>,
    /// The directory: position of each file by its name.
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    unsynced: Vec<DirectoryChange>,
    /// Operations that change something, so far.
    pub operations: u64,
    /// Faults by the number of the operation that they hit.
    faults: BTreeMap<u64, Fault>,
    is_down: bool,
}

fn failure(operation: DiskOperation, file: &str, message: &str) -> Error {
    Error::disk(operation, file, io::Error::other(message))
}

fn no_space(operation: DiskOperation, file: &str, message: &str) -> Error {
    Error::disk(operation, file, io::Error::new(ErrorKind::StorageFull, message))
}

impl SimulatedDisk {
    /// The same disk with a fault at the operation of that number.
    pub fn inject_fault(mut self, operation: u64, fault: Fault) -> SimulatedDisk {
        self.faults.entry(operation).or_insert(fault);
        self
    }

    /// One of the states in which the machine may come back: of the changes since each sync any part, of the folder's
    /// too, each write in pieces.
    pub fn crash(&self, seed: u64) -> SimulatedDisk {
        let mut rng = Pcg64Mcg::new(u128::from(seed) * 2 + 1);
        // Some crashes lose all that was not synced, some nothing, most a part.
        let kept_fraction = [0.0, 1.0, rng.random::<f64>(), rng.random::<f64>()][rng.random_range(0..4)];
        let mut names = self.synced_names.clone();
        for change in &self.unsynced {
            if rng.random_bool(kept_fraction) {
                apply(&mut names, change);
            }
        }
        let files = self.files.iter().map(|file| {
            let mut bytes = file.synced.clone();
            for change in &file.unsynced {
                match change {
                    Change::Write(offset, data) => {
                        for (at, piece) in data.chunks(SECTOR_BYTES).enumerate() {
                            if rng.random_bool(kept_fraction) {
                                write_at(&mut bytes, *offset as usize + at * SECTOR_BYTES, piece);
                            }
                        }
                    }
                    Change::Truncate(length) if rng.random_bool(kept_fraction) => {
                        bytes.resize(*length as usize, 0)
                    }
                    Change::Truncate(_) => {}
                }
            }
            File { current: bytes.clone(), synced: bytes, unsynced: Vec::new() }
        });
        let files = files.collect();
        SimulatedDisk { files, names: names.clone(), synced_names: names, ..SimulatedDisk::default() }
    }

    /// The bytes of a file, to be changed at will by a test.
    pub fn bytes(&mut self, name: &str) -> Option<&mut Vec<u8>> {
        let at = *self.names.get(name)?;
        self.files.get_mut(at).map(|file| &mut file.current)
    }

    /// What an end of the process leaves: all that is there, as if it had been synced.
    pub fn after_process_exit(&self) -> SimulatedDisk {
        let settle = |file: &File| File {
            current: file.current.clone(),
            synced: file.current.clone(),
            unsynced: Vec::new(),
        };
        let files = self.files.iter().map(settle).collect();
        SimulatedDisk {
            files,
            names: self.names.clone(),
            synced_names: self.names.clone(),
            ..SimulatedDisk::default()
        }
    }

    /// Counts an operation that changes something; the fault that is due with it.
    fn operation(&mut self, operation: DiskOperation, name: &str) -> Result<Option<Fault>> {
        if self.is_down {
            return Err(failure(operation, name, "the machine is down"));
        }
        self.operations += 1;
        let due = self.faults.get(&self.operations).copied();
        if due == Some(Fault::Crash) {
            self.is_down = true;
            return Err(failure(operation, name, "the machine is down"));
        }
        Ok(due)
    }

    fn file(&mut self, operation: DiskOperation, name: &str) -> Result<&mut File> {
        let at = self.names.get(name).copied().ok_or_else(|| failure(operation, name, "no such file"))?;
        Ok(&mut self.files[at])
    }
}

fn write_at(bytes: &mut Vec<u8>, offset: usize, piece: &[u8]) {
    if bytes.len() < offset + piece.len() {
        bytes.resize(offset + piece.len(), 0);
    }
    bytes[offset..offset + piece.len()].copy_from_slice(piece);
}

fn apply(names: &mut BTreeMap<String, usize>, change: &DirectoryChange) {
    match change {
        DirectoryChange::Link(name, file) => drop(names.insert(name.clone(), *file)),
        DirectoryChange::Unlink(name) => drop(names.remove(name)),
        DirectoryChange::Rename(from, to, file) => {
            names.remove(from);
            names.insert(to.clone(), *file);
        }
    }
}

impl Disk for SimulatedDisk {
    fn list(&mut self) -> Result<Vec<String>> {
        Ok(self.names.keys().cloned().collect())
    }
    fn length(&mut self, name: &str) -> Result<u64> {
        self.file(DiskOperation::ReadLength, name).map(|file| file.current.len() as u64)
    }
    fn read(&mut self, name: &str, offset: u64, length: usize) -> Result<Vec<u8>> {
        let bytes = &self.file(DiskOperation::Read, name)?.current;
        let start = (offset as usize).min(bytes.len());
        Ok(bytes[start..(start + length).min(bytes.len())].to_vec())
    }
    fn create(&mut self, name: &str) -> Result<()> {
        if self.operation(DiskOperation::Create, name)?.is_some() {
            return Err(no_space(DiskOperation::Create, name, "it would not"));
        }
        self.files.push(File::default());
        let change = DirectoryChange::Link(name.into(), self.files.len() - 1);
        apply(&mut self.names, &change);
        self.unsynced.push(change);
        Ok(())
    }
    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<()> {
        let fault = self.operation(DiskOperation::Write, name)?;
        let part = if fault.is_some() { &bytes[..bytes.len() / 2] } else { bytes };
        let file = self.file(DiskOperation::Write, name)?;
        write_at(&mut file.current, offset as usize, part);
        file.unsynced.push(Change::Write(offset, part.to_vec()));
        match fault {
            Some(Fault::Full) => Err(no_space(DiskOperation::Write, name, "no space")),
            Some(_) => Err(failure(DiskOperation::Write, name, "it would not")),
            None => Ok(()),
        }
    }
    fn truncate(&mut self, name: &str, length: u64) -> Result<()> {
        if self.operation(DiskOperation::Truncate, name)?.is_some() {
            return Err(failure(DiskOperation::Truncate, name, "it would not"));
        }
        let file = self.file(DiskOperation::Truncate, name)?;
        file.current.resize(length as usize, 0);
        file.unsynced.push(Change::Truncate(length));
        Ok(())
    }
    fn sync(&mut self, name: &str) -> Result<()> {
        let fault = self.operation(DiskOperation::Sync, name)?;
        let file = self.file(DiskOperation::Sync, name)?;
        if fault.is_some() {
            // What was dirty counts as clean from now on, on the disk or not: a second sync would pretend.
            file.unsynced.clear();
            let kept = file.current.len().min(file.synced.len());
            file.synced = [&file.synced[..kept], &vec![0; file.current.len() - kept]].concat();
            return Err(failure(DiskOperation::Sync, name, "it would not"));
        }
        file.synced = file.current.clone();
        file.unsynced.clear();
        Ok(())
    }
    fn sync_directory(&mut self) -> Result<()> {
        if self.operation(DiskOperation::Sync, ".")?.is_some() {
            return Err(failure(DiskOperation::Sync, ".", "it would not"));
        }
        self.synced_names = self.names.clone();
        self.unsynced.clear();
        Ok(())
    }
    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        if self.operation(DiskOperation::Rename, from)?.is_some() {
            return Err(failure(DiskOperation::Rename, from, "it would not"));
        }
        let file = self
            .names
            .get(from)
            .copied()
            .ok_or_else(|| failure(DiskOperation::Rename, from, "no such file"))?;
        let change = DirectoryChange::Rename(from.into(), to.into(), file);
        apply(&mut self.names, &change);
        self.unsynced.push(change);
        Ok(())
    }
    fn remove(&mut self, name: &str) -> Result<()> {
        if self.operation(DiskOperation::Remove, name)?.is_some() {
            return Err(failure(DiskOperation::Remove, name, "it would not"));
        }
        if !self.names.contains_key(name) {
            return Err(failure(DiskOperation::Remove, name, "no such file"));
        }
        let change = DirectoryChange::Unlink(name.into());
        apply(&mut self.names, &change);
        self.unsynced.push(change);
        Ok(())
    }
}
