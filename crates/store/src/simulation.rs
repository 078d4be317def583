//! A simulated in-memory disk that can crash: after a crash any part of the unsynced writes and directory changes may be present, in
//! any order. Faults can be injected. Deterministic by seed; for tests of this crate and of crates that use the store.

use crate::disk::Disk;
use crate::error::{DiskOperation, Error, Result};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};

/// Writes reach the disk in independent pieces of this size.
const SECTOR_BYTES: usize = 64;

/// A change of a file since its last sync.
#[derive(Clone, Debug)]
enum Change {
    Write(u64, Vec<u8>),
    Truncate(u64),
}

#[derive(Clone, Debug, Default)]
struct File {
    /// Contents as a running process reads them.
    current: Vec<u8>,
    /// Contents that are durable.
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
    /// The machine stops: this operation and all later ones fail; only `crash` returns a usable disk.
    Crash,
    /// No space is left: half of the bytes are written.
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
    /// Number of modifying operations so far.
    pub operations: u64,
    /// Faults by the number of the operation that fails.
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
    /// Adds a fault at the operation with this number.
    pub fn inject_fault(mut self, operation: u64, fault: Fault) -> SimulatedDisk {
        self.faults.entry(operation).or_insert(fault);
        self
    }

    /// Returns one of the possible states after a crash and restart: any part of the changes since each sync, including those of the
    /// directory, with each write in pieces.
    pub fn crash(&self, seed: u64) -> SimulatedDisk {
        let mut rng = Pcg64Mcg::new(u128::from(seed) * 2 + 1);
        // Some crashes lose all unsynced changes, some lose none, most lose a part.
        let survival_rate = [0.0, 1.0, rng.random::<f64>(), rng.random::<f64>()][rng.random_range(0..4)];
        let mut names = self.synced_names.clone();
        for change in &self.unsynced {
            if rng.random_bool(survival_rate) {
                apply(&mut names, change);
            }
        }
        let files = self.files.iter().map(|file| {
            let mut bytes = file.synced.clone();
            for change in &file.unsynced {
                match change {
                    Change::Write(offset, data) => {
                        for (at, piece) in data.chunks(SECTOR_BYTES).enumerate() {
                            if rng.random_bool(survival_rate) {
                                write_at(&mut bytes, *offset as usize + at * SECTOR_BYTES, piece);
                            }
                        }
                    }
                    Change::Truncate(length) if rng.random_bool(survival_rate) => {
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

    /// Returns the bytes of a file, which a test may change.
    pub fn bytes(&mut self, name: &str) -> Option<&mut Vec<u8>> {
        let at = *self.names.get(name)?;
        self.files.get_mut(at).map(|file| &mut file.current)
    }

    /// Returns the state after the end of the process: all changes are present, as if they had been synced.
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

    /// Counts a modifying operation; returns the fault to inject into it.
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
            return Err(no_space(DiskOperation::Create, name, "injected fault"));
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
            Some(_) => Err(failure(DiskOperation::Write, name, "injected fault")),
            None => Ok(()),
        }
    }
    fn truncate(&mut self, name: &str, length: u64) -> Result<()> {
        if self.operation(DiskOperation::Truncate, name)?.is_some() {
            return Err(failure(DiskOperation::Truncate, name, "injected fault"));
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
            // Dirty pages count as clean from now on, written or not: a second sync would falsely succeed.
            file.unsynced.clear();
            let retained = file.current.len().min(file.synced.len());
            file.synced = [&file.synced[..retained], &vec![0; file.current.len() - retained]].concat();
            return Err(failure(DiskOperation::Sync, name, "injected fault"));
        }
        file.synced = file.current.clone();
        file.unsynced.clear();
        Ok(())
    }
    fn sync_directory(&mut self) -> Result<()> {
        if self.operation(DiskOperation::Sync, ".")?.is_some() {
            return Err(failure(DiskOperation::Sync, ".", "injected fault"));
        }
        self.synced_names = self.names.clone();
        self.unsynced.clear();
        Ok(())
    }
    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        if self.operation(DiskOperation::Rename, from)?.is_some() {
            return Err(failure(DiskOperation::Rename, from, "injected fault"));
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
            return Err(failure(DiskOperation::Remove, name, "injected fault"));
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
