//! A disk in memory that crashes: what was not synced may be there or not, in parts and in any order; what the folder was
//! told may be lost. Faults can be asked for. Deterministic by seed; for tests, and for anyone who writes against the store.

use crate::disk::Disk;
use crate::{Error, Result};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Writes reach the disk in pieces of this size, each by itself.
const SECTOR: usize = 64;

#[derive(Clone, Debug)]
enum Change {
    Write(u64, Vec<u8>),
    Truncate(u64),
}

#[derive(Clone, Debug, Default)]
struct File {
    /// As read by a process that goes on.
    now: Vec<u8>,
    /// As surely on the disk.
    synced: Vec<u8>,
    since: Vec<Change>,
}

#[derive(Clone, Debug)]
enum Entry {
    Link(String, usize),
    Unlink(String),
    Rename(String, String, usize),
}

/// What the disk is asked to do badly, at the operation of that number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The machine stops: this and all that follows fails, and only `crash` goes on.
    Crash,
    /// No space: half of what is written is there.
    Full,
    /// The write or the sync fails.
    IoError,
}

#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk {
    files: Vec<File>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    since: Vec<Entry>,
    /// Operations that change something, so far.
    pub operations: u64,
    faults: Vec<(u64, Fault)>,
    down: bool,
}

fn said(doing: &'static str, file: &str, what: &str, full: bool) -> Error {
    Error::Disk { doing, file: file.into(), what: what.into(), full }
}

impl SimulatedDisk {
    pub fn inject_fault(mut self, at: u64, fault: Fault) -> SimulatedDisk {
        self.faults.push((at, fault));
        self
    }

    /// One of the states in which the machine may come back: of the changes since each sync any part, of the folder's
    /// too, each write in pieces.
    pub fn crash(&self, seed: u64) -> SimulatedDisk {
        let mut chance = Pcg64Mcg::new(u128::from(seed) * 2 + 1);
        // Some crashes lose all that was not synced, some nothing, most a part.
        let keeps = [0.0, 1.0, chance.random::<f64>(), chance.random::<f64>()][chance.random_range(0..4)];
        let mut names = self.synced_names.clone();
        for entry in &self.since {
            if chance.random_bool(keeps) {
                apply(&mut names, entry);
            }
        }
        let files = self.files.iter().map(|file| {
            let mut bytes = file.synced.clone();
            for change in &file.since {
                match change {
                    Change::Write(offset, data) => {
                        for (at, piece) in data.chunks(SECTOR).enumerate() {
                            if chance.random_bool(keeps) {
                                put(&mut bytes, *offset as usize + at * SECTOR, piece);
                            }
                        }
                    }
                    Change::Truncate(length) if chance.random_bool(keeps) => {
                        bytes.resize(*length as usize, 0)
                    }
                    Change::Truncate(_) => {}
                }
            }
            File { now: bytes.clone(), synced: bytes, since: Vec::new() }
        });
        let files = files.collect();
        SimulatedDisk { files, names: names.clone(), synced_names: names, ..SimulatedDisk::default() }
    }

    /// The bytes of a file, to be changed at will.
    pub fn bytes(&mut self, name: &str) -> Option<&mut Vec<u8>> {
        let at = *self.names.get(name)?;
        self.files.get_mut(at).map(|file| &mut file.now)
    }

    /// All that is there as if it had been synced: what an end of the process leaves.
    pub fn after_process_exit(&self) -> SimulatedDisk {
        let settle =
            |file: &File| File { now: file.now.clone(), synced: file.now.clone(), since: Vec::new() };
        let files = self.files.iter().map(settle).collect();
        SimulatedDisk {
            files,
            names: self.names.clone(),
            synced_names: self.names.clone(),
            ..SimulatedDisk::default()
        }
    }

    /// Counts an operation that changes something; the fault that is due with it.
    fn operation(&mut self, doing: &'static str, name: &str) -> Result<Option<Fault>> {
        if self.down {
            return Err(said(doing, name, "the machine is down", false));
        }
        self.operations += 1;
        let due = self.faults.iter().find(|(at, _)| *at == self.operations).map(|(_, fault)| *fault);
        if due == Some(Fault::Crash) {
            self.down = true;
            return Err(said(doing, name, "the machine is down", false));
        }
        Ok(due)
    }

    fn file(&mut self, doing: &'static str, name: &str) -> Result<&mut File> {
        let at = self.names.get(name).copied().ok_or_else(|| said(doing, name, "no such file", false))?;
        Ok(&mut self.files[at])
    }
}

fn put(bytes: &mut Vec<u8>, offset: usize, piece: &[u8]) {
    if bytes.len() < offset + piece.len() {
        bytes.resize(offset + piece.len(), 0);
    }
    bytes[offset..offset + piece.len()].copy_from_slice(piece);
}

fn apply(names: &mut BTreeMap<String, usize>, entry: &Entry) {
    match entry {
        Entry::Link(name, file) => drop(names.insert(name.clone(), *file)),
        Entry::Unlink(name) => drop(names.remove(name)),
        Entry::Rename(from, to, file) => {
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
        self.file("measure", name).map(|file| file.now.len() as u64)
    }
    fn read(&mut self, name: &str, offset: u64, length: usize) -> Result<Vec<u8>> {
        let bytes = &self.file("read", name)?.now;
        let start = (offset as usize).min(bytes.len());
        Ok(bytes[start..(start + length).min(bytes.len())].to_vec())
    }
    fn create(&mut self, name: &str) -> Result<()> {
        if self.operation("create", name)?.is_some() {
            return Err(said("create", name, "it would not", true));
        }
        self.files.push(File::default());
        let entry = Entry::Link(name.into(), self.files.len() - 1);
        apply(&mut self.names, &entry);
        self.since.push(entry);
        Ok(())
    }
    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<()> {
        let fault = self.operation("write", name)?;
        let part = if fault.is_some() { &bytes[..bytes.len() / 2] } else { bytes };
        let file = self.file("write", name)?;
        put(&mut file.now, offset as usize, part);
        file.since.push(Change::Write(offset, part.to_vec()));
        match fault {
            Some(Fault::Full) => Err(said("write", name, "no space", true)),
            Some(_) => Err(said("write", name, "it would not", false)),
            None => Ok(()),
        }
    }
    fn truncate(&mut self, name: &str, length: u64) -> Result<()> {
        if self.operation("truncate", name)?.is_some() {
            return Err(said("truncate", name, "it would not", false));
        }
        let file = self.file("truncate", name)?;
        file.now.resize(length as usize, 0);
        file.since.push(Change::Truncate(length));
        Ok(())
    }
    fn sync(&mut self, name: &str) -> Result<()> {
        let fault = self.operation("sync", name)?;
        let file = self.file("sync", name)?;
        if fault.is_some() {
            // What was dirty counts as clean from now on, on the disk or not: a second sync would pretend.
            file.since.clear();
            let kept = file.now.len().min(file.synced.len());
            file.synced = [&file.synced[..kept], &vec![0; file.now.len() - kept]].concat();
            return Err(said("sync", name, "it would not", false));
        }
        file.synced = file.now.clone();
        file.since.clear();
        Ok(())
    }
    fn sync_directory(&mut self) -> Result<()> {
        if self.operation("sync", ".")?.is_some() {
            return Err(said("sync", ".", "it would not", false));
        }
        self.synced_names = self.names.clone();
        self.since.clear();
        Ok(())
    }
    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        if self.operation("rename", from)?.is_some() {
            return Err(said("rename", from, "it would not", false));
        }
        let file =
            self.names.get(from).copied().ok_or_else(|| said("rename", from, "no such file", false))?;
        let entry = Entry::Rename(from.into(), to.into(), file);
        apply(&mut self.names, &entry);
        self.since.push(entry);
        Ok(())
    }
    fn remove(&mut self, name: &str) -> Result<()> {
        if self.operation("remove", name)?.is_some() {
            return Err(said("remove", name, "it would not", false));
        }
        if !self.names.contains_key(name) {
            return Err(said("remove", name, "no such file", false));
        }
        let entry = Entry::Unlink(name.into());
        apply(&mut self.names, &entry);
        self.since.push(entry);
        Ok(())
    }
}
