//! The store itself: writes and their commits, reads, snapshots, compaction in steps.

use crate::disk::Disk;
use crate::format::{self, Hint, RecordKind, SegmentHeader, HEADER_BYTES};
use crate::recovery::{recover, Recovery};
use crate::{Error, Result, MAX_KEY_BYTES, MAX_VALUE_BYTES};
use imbl::OrdMap;
use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreOptions {
    /// A segment is sealed past this many bytes.
    pub max_segment_bytes: u64,
    /// Compacted once this part of the oldest segments is dead.
    pub min_dead_fraction: f64,
    /// Most bytes that one step of compaction reads: writers wait for one step at the most.
    pub compaction_step_bytes: usize,
    /// Opened with what can be read of a damaged store; nothing is written then.
    pub salvage: bool,
}

impl Default for StoreOptions {
    fn default() -> StoreOptions {
        StoreOptions {
            max_segment_bytes: 4 << 20,
            min_dead_fraction: 0.5,
            compaction_step_bytes: 256 * 1024,
            salvage: false,
        }
    }
}

type Key = Vec<u8>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Entry {
    /// Number of the segment, and its generation.
    to: u64,
    generation: u32,
    offset: u64,
    size: u32,
    seq: u64,
}

struct Segment {
    name: String,
    from: u64,
    generation: u32,
    length: u64,
    live: u64,
    /// Held by snapshots too: the file stays while they do.
    pin: Arc<()>,
}

/// The segment that is written.
struct Active {
    to: u64,
    /// Bytes handed to the disk, and those known to be on it.
    written: u64,
    synced: u64,
    hints: Vec<Hint>,
}

/// What all had at one moment; reads go on from it while writes and compaction do.
pub struct Snapshot {
    index: OrdMap<Key, Entry>,
    _pins: Vec<Arc<()>>,
}

impl Snapshot {
    pub fn len(&self) -> usize {
        self.index.len()
    }
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }
    /// Keys from `from` on, in order.
    pub fn keys<'a>(&'a self, from: &'a [u8]) -> impl Iterator<Item = &'a [u8]> + 'a {
        self.index.range(from.to_vec()..).map(|(key, _)| &key[..])
    }
}

struct Compaction {
    /// Segments that go, oldest first, by number.
    inputs: Vec<u64>,
    name: String,
    from: u64,
    to: u64,
    generation: u32,
    /// Which input, and how far in it.
    input: usize,
    offset: u64,
    out: Vec<u8>,
    written: u64,
    last: u64,
    /// Where live ones stand in the new file, with where they stood.
    moved: Vec<(Key, Entry, Hint)>,
    /// Once the file has its name: how many of them the index knows.
    placed: Option<usize>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StoreStats {
    pub keys: usize,
    pub segments: usize,
    pub segment_bytes: u64,
    pub live_bytes: u64,
    pub last_sequence: u64,
    pub acknowledged_sequence: u64,
    pub syncs: u64,
    pub written_bytes: u64,
    pub compacted_bytes: u64,
    pub failed_segments: u64,
    /// Bytes dropped behind the last valid record when it was opened.
    pub torn_bytes: u64,
}

pub struct Store<D: Disk> {
    disk: D,
    options: StoreOptions,
    index: OrdMap<Key, Entry>,
    segments: BTreeMap<u64, Segment>,
    active: Active,
    /// Records not yet handed to the disk; they stand behind `active.written`.
    buffer: Vec<u8>,
    /// What the index said before each write that is not acknowledged.
    undo: Vec<(Key, Option<Entry>)>,
    seq: u64,
    acknowledged: u64,
    read_only: bool,
    compaction: Option<Compaction>,
    /// Files that go once no snapshot needs them.
    doomed: Vec<(String, Arc<()>)>,
    stats: StoreStats,
    damage: Vec<Error>,
}

impl<D: Disk> Store<D> {
    /// Recovers what is there; an empty folder is an empty store.
    pub fn open(mut disk: D, options: StoreOptions) -> Result<Store<D>> {
        let Recovery { segments, rest, torn, damage } = recover(&mut disk, options.salvage)?;
        let mut store = Store {
            disk,
            options,
            index: OrdMap::new(),
            segments: BTreeMap::new(),
            active: Active { to: 0, written: 0, synced: 0, hints: Vec::new() },
            buffer: Vec::new(),
            undo: Vec::new(),
            seq: 0,
            acknowledged: 0,
            read_only: options.salvage,
            compaction: None,
            doomed: Vec::new(),
            stats: StoreStats { torn_bytes: torn, ..StoreStats::default() },
            damage,
        };
        let last =
            segments.last().map(|found| (found.to, found.generation, found.length, found.hints.clone()));
        for found in segments {
            let (to, generation) = (found.to, found.generation);
            let pin = Arc::new(());
            let (name, from, length) = (found.name, found.from, found.length);
            store.segments.insert(to, Segment { name, from, generation, length, live: 0, pin });
            for hint in found.hints {
                let entry = Entry { to, generation, offset: hint.offset, size: hint.size, seq: hint.seq };
                store.place(hint.key, (hint.kind == RecordKind::Put).then_some(entry));
            }
            store.seq = store.seq.max(found.last);
        }
        store.acknowledged = store.seq;
        if store.read_only {
            return Ok(store);
        }
        // What stands for nothing goes only once the folder surely has what stands for it.
        if !rest.is_empty() {
            store.disk.sync_directory()?;
            for name in rest {
                store.disk.remove(&name)?;
                let hints = name.replace(".seg", ".hint");
                if hints != name && store.disk.length(&hints).is_ok() {
                    store.disk.remove(&hints)?;
                }
            }
            store.disk.sync_directory()?;
        }
        match last {
            Some((to, 0, length, hints)) => {
                // Nothing of a torn end may stand behind what comes next; and what was read is made sure.
                let name = format::segment_name(to, 0);
                if store.disk.length(&name)? > length {
                    store.disk.truncate(&name, length)?;
                }
                store.disk.sync(&name)?;
                store.active = Active { to, written: length, synced: length, hints };
            }
            Some((to, ..)) => store.begin(to + 1, 0)?,
            None => store.begin(1, 0)?,
        }
        Ok(store)
    }

    /// What a salvaged store could not read.
    pub fn damage(&self) -> &[Error] {
        &self.damage
    }

    /// The disk back, nothing further done: as a crash would leave it.
    pub fn into_disk(self) -> D {
        self.disk
    }

    fn begin(&mut self, to: u64, before: u64) -> Result<()> {
        let name = format::segment_name(to, 0);
        let header = SegmentHeader { from: to, to, before }.write();
        self.disk.create(&name)?;
        self.disk.write(&name, 0, &header)?;
        self.disk.sync(&name)?;
        self.disk.sync_directory()?;
        self.stats.syncs += 2;
        let length = HEADER_BYTES as u64;
        let pin = Arc::new(());
        self.segments.insert(to, Segment { name, from: to, generation: 0, length, live: 0, pin });
        self.active = Active { to, written: length, synced: length, hints: Vec::new() };
        Ok(())
    }

    /// Puts an entry into the index, or takes the key out; the entry that stood there.
    fn place(&mut self, key: Key, entry: Option<Entry>) -> Option<Entry> {
        if let Some(entry) = entry {
            self.count(entry, true);
        }
        let before = match entry {
            Some(entry) => self.index.insert(key, entry),
            None => self.index.remove(&key),
        };
        if let Some(before) = before {
            self.count(before, false);
        }
        before
    }

    fn count(&mut self, entry: Entry, live: bool) {
        if let Some(segment) =
            self.segments.get_mut(&entry.to).filter(|segment| segment.generation == entry.generation)
        {
            let size = u64::from(entry.size);
            segment.live = if live { segment.live + size } else { segment.live.saturating_sub(size) };
        }
    }

    // ---- writing ----

    /// Its number; acknowledged once `commit` returns that or more.
    pub fn put(&mut self, key: &[u8], value: &[u8]) -> Result<u64> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES || value.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge(key.len().max(value.len())));
        }
        self.append(RecordKind::Put, key, value)
    }

    pub fn remove(&mut self, key: &[u8]) -> Result<u64> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return Err(Error::TooLarge(key.len()));
        }
        self.append(RecordKind::Remove, key, b"")
    }

    fn append(&mut self, kind: RecordKind, key: &[u8], value: &[u8]) -> Result<u64> {
        if self.read_only {
            return Err(Error::ReadOnly);
        }
        if self.active.written + self.buffer.len() as u64 >= self.options.max_segment_bytes {
            self.rotate()?;
        }
        self.seq += 1;
        let offset = self.active.written + self.buffer.len() as u64;
        let size = format::write_record(&mut self.buffer, self.seq, kind, key, value) as u32;
        let entry = Entry { to: self.active.to, generation: 0, offset, size, seq: self.seq };
        let before = self.place(key.to_vec(), (kind == RecordKind::Put).then_some(entry));
        self.undo.push((key.to_vec(), before));
        self.active.hints.push(Hint { seq: self.seq, kind, offset, size, key: key.to_vec() });
        Ok(self.seq)
    }

    /// Bytes waiting to be handed to the disk.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }

    /// Hands all to the disk, synced unless `sync` is false; the number up to which writes are acknowledged. Without a sync
    /// that holds against an end of the process, not of the machine. An error gives up all that was not acknowledged:
    /// none of it can be read any more.
    pub fn commit(&mut self, sync: bool) -> Result<u64> {
        if self.read_only {
            return Err(Error::ReadOnly);
        }
        let name = format::segment_name(self.active.to, 0);
        if !self.buffer.is_empty() {
            if let Err(error) = self.disk.write(&name, self.active.written, &self.buffer) {
                // Part of it may be there. Where the file can be cut back it goes on; the disk may only be full.
                let synced = self.active.synced;
                let cut = self.disk.truncate(&name, self.active.written);
                if cut.is_err() || self.active.written > synced {
                    self.fail_segment();
                } else {
                    self.give_up();
                    self.active.hints.retain(|hint| hint.offset < synced);
                    self.seq = self.acknowledged;
                }
                return Err(error);
            }
            self.active.written += self.buffer.len() as u64;
            self.stats.written_bytes += self.buffer.len() as u64;
            self.buffer.clear();
        }
        if let Some(segment) = self.segments.get_mut(&self.active.to) {
            segment.length = self.active.written;
        }
        if sync && self.active.written > self.active.synced {
            if let Err(error) = self.disk.sync(&name) {
                self.fail_segment();
                return Err(error);
            }
            self.stats.syncs += 1;
            self.active.synced = self.active.written;
            self.undo.clear();
            self.acknowledged = self.seq;
            // By it recovery knows that this was synced; the mark itself may be lost.
            let mark = self.active.synced.to_le_bytes();
            self.seq += 1;
            format::write_record(&mut self.buffer, self.seq, RecordKind::Mark, b"", &mark);
            return Ok(self.acknowledged);
        }
        if !sync {
            self.undo.clear();
            self.acknowledged = self.seq;
        }
        Ok(self.acknowledged)
    }

    /// What was not acknowledged is taken back out of the index.
    fn give_up(&mut self) {
        while let Some((key, before)) = self.undo.pop() {
            self.place(key, before);
        }
        self.buffer.clear();
    }

    /// Final for the segment: nothing is written to it again, what was not synced in it is given up, another begins.
    fn fail_segment(&mut self) {
        self.stats.failed_segments += 1;
        self.give_up();
        let (to, synced) = (self.active.to, self.active.synced);
        // Numbers go on past those that may lie behind the synced part.
        self.seq += 1;
        if let Some(segment) = self.segments.get_mut(&to) {
            segment.length = synced;
        }
        if self.begin(to + 1, synced).is_err() {
            self.read_only = true;
        }
    }

    fn rotate(&mut self) -> Result<()> {
        self.commit(true)?;
        let (to, length) = (self.active.to, self.active.synced);
        let hints = self.active.hints.clone();
        // Where no other can be begun this one goes on, with the mark that waits: numbers follow each other in a segment.
        self.begin(to + 1, length)?;
        self.buffer.clear();
        // Only to save time at the next start: not synced, and no error of its own.
        let name = format::segment_name(to, 0).replace(".seg", ".hint");
        let bytes = format::write_hints(length, &hints);
        let _ = self.disk.create(&name).and_then(|()| self.disk.write(&name, 0, &bytes));
        Ok(())
    }

    // ---- reading ----

    pub fn get(&mut self, key: &[u8]) -> Result<Option<Vec<u8>>> {
        match self.index.get(key).copied() {
            Some(entry) => self.value(entry, key).map(Some),
            None => Ok(None),
        }
    }

    pub fn get_at(&mut self, snapshot: &Snapshot, key: &[u8]) -> Result<Option<Vec<u8>>> {
        match snapshot.index.get(key).copied() {
            Some(entry) => self.value(entry, key).map(Some),
            None => Ok(None),
        }
    }

    pub fn snapshot(&self) -> Snapshot {
        let pins = self.segments.values().map(|segment| segment.pin.clone()).collect();
        Snapshot { index: self.index.clone(), _pins: pins }
    }

    fn value(&mut self, entry: Entry, key: &[u8]) -> Result<Vec<u8>> {
        let name = format::segment_name(entry.to, entry.generation);
        let waiting =
            entry.to == self.active.to && entry.generation == 0 && entry.offset >= self.active.written;
        let bytes = if waiting {
            let at = (entry.offset - self.active.written) as usize;
            self.buffer.get(at..at + entry.size as usize).unwrap_or(&[]).to_vec()
        } else {
            self.disk.read(&name, entry.offset, entry.size as usize)?
        };
        let damage =
            |what: &str| Error::Damage { file: name.clone(), offset: entry.offset, what: what.into() };
        match format::read_record(&bytes) {
            Ok(record) if record.seq == entry.seq && record.key == key => Ok(record.value.to_vec()),
            Ok(_) => Err(damage("another record stands here")),
            Err(what) => Err(damage(what)),
        }
    }

    pub fn stats(&self) -> StoreStats {
        StoreStats {
            keys: self.index.len(),
            segments: self.segments.len(),
            segment_bytes: self.segments.values().map(|segment| segment.length).sum(),
            live_bytes: self.segments.values().map(|segment| segment.live).sum(),
            last_sequence: self.seq,
            acknowledged_sequence: self.acknowledged,
            ..self.stats
        }
    }

    /// Reads every record that counts; all damage that it finds.
    pub fn verify(&mut self) -> Vec<Error> {
        let all: Vec<(Key, Entry)> = self.index.iter().map(|(key, entry)| (key.clone(), *entry)).collect();
        all.into_iter().filter_map(|(key, entry)| self.value(entry, &key).err()).collect()
    }

    // ---- compaction ----

    /// The oldest segments of which most is dead: how many, and whether it is worth it.
    fn choose(&self, most_dead: f64) -> Vec<u64> {
        let sealed: Vec<(u64, u64, u64)> = self
            .segments
            .iter()
            .filter(|(to, _)| **to != self.active.to)
            .map(|(to, segment)| (*to, segment.length - HEADER_BYTES as u64, segment.live))
            .collect();
        // Removals may go only where no older record is left: so always a first part of the log.
        let (mut bytes, mut live, mut best) = (0, 0, (most_dead, 0));
        for (at, (_, length, own)) in sealed.iter().enumerate() {
            (bytes, live) = (bytes + length, live + own);
            let dead = 1.0 - live as f64 / bytes.max(1) as f64;
            if dead >= best.0 && bytes > 0 {
                best = (dead, at + 1);
            }
        }
        sealed[..best.1].iter().map(|(to, ..)| *to).collect()
    }

    /// One bounded step; true while there is more to do. Writers may go on between steps.
    pub fn compact_step(&mut self) -> Result<bool> {
        self.bury();
        if self.read_only {
            return Ok(false);
        }
        if self.compaction.is_none() {
            let inputs = self.choose(self.options.min_dead_fraction);
            return self.start_compaction(inputs);
        }
        let Some(mut work) = self.compaction.take() else { return Ok(false) };
        let done = self.advance(&mut work);
        match done {
            Ok(false) => self.compaction = Some(work),
            Ok(true) => {}
            // Given up whole: what it replaces is still there.
            Err(_) if work.placed.is_none() => {
                let _ = self.disk.remove(&work.name);
            }
            // Both are there, the new one stands for the old: moving the rest is tried again.
            Err(_) => self.compaction = Some(work),
        }
        done.map(|done| !done)
    }

    /// Compacts all that is sealed, however little of it is dead.
    pub fn compact_all(&mut self) -> Result<()> {
        while self.compaction.is_some() {
            self.compact_step()?;
        }
        if self.active.written > HEADER_BYTES as u64 || !self.buffer.is_empty() {
            self.rotate()?;
        }
        let inputs: Vec<u64> = self.segments.keys().copied().filter(|to| *to != self.active.to).collect();
        self.start_compaction(inputs)?;
        while self.compaction.is_some() {
            self.compact_step()?;
        }
        Ok(())
    }

    fn start_compaction(&mut self, inputs: Vec<u64>) -> Result<bool> {
        let (Some(first), Some(last)) = (inputs.first(), inputs.last()) else { return Ok(false) };
        let (Some(first), Some(end)) = (self.segments.get(first), self.segments.get(last)) else {
            return Ok(false);
        };
        let (from, to, generation) = (first.from, *last, end.generation + 1);
        let name = format::segment_name(to, generation).replace(".seg", ".tmp");
        self.disk.create(&name)?;
        let header = SegmentHeader { from, to, before: 0 }.write();
        let (out, moved) = (header, Vec::new());
        self.compaction = Some(Compaction {
            inputs,
            name,
            from,
            to,
            generation,
            input: 0,
            offset: HEADER_BYTES as u64,
            out,
            written: 0,
            last: 0,
            moved,
            placed: None,
        });
        Ok(true)
    }

    /// True once it is over.
    fn advance(&mut self, work: &mut Compaction) -> Result<bool> {
        if work.placed.is_some() {
            return self.place_moved(work);
        }
        if work.input < work.inputs.len() {
            self.copy(work)?;
            return Ok(false);
        }
        // A reading of the whole must end with the highest number that it stands for.
        self.disk.sync(&work.name)?;
        let name = format::segment_name(work.to, work.generation);
        self.disk.rename(&work.name, &name)?;
        self.disk.sync_directory()?;
        self.stats.syncs += 2;
        self.stats.compacted_bytes += work.written;
        work.name = name.clone();
        work.placed = Some(0);
        let hints: Vec<Hint> = work.moved.iter().map(|(.., hint)| hint.clone()).collect();
        let bytes = format::write_hints(work.written, &hints);
        let hint_name = name.replace(".seg", ".hint");
        let _ = self.disk.create(&hint_name).and_then(|()| self.disk.write(&hint_name, 0, &bytes));
        // From here on the new file stands for the old ones, which stay until the index knows it.
        for to in &work.inputs {
            if let Some(old) = self.segments.remove(to) {
                self.doomed.push((old.name, old.pin));
            }
        }
        let (from, generation, length) = (work.from, work.generation, work.written);
        let pin = Arc::new(());
        self.segments.insert(work.to, Segment { name, from, generation, length, live: 0, pin });
        Ok(false)
    }

    fn copy(&mut self, work: &mut Compaction) -> Result<()> {
        let to = work.inputs[work.input];
        let Some((name, length, generation)) =
            self.segments.get(&to).map(|segment| (segment.name.clone(), segment.length, segment.generation))
        else {
            work.input += 1;
            return Ok(());
        };
        let left = (length - work.offset.min(length)) as usize;
        let bytes = self.disk.read(
            &name,
            work.offset,
            left.min(self.options.compaction_step_bytes.max(format::MAX_RECORD_BYTES)),
        )?;
        let mut at = 0;
        while at < bytes.len() && at < self.options.compaction_step_bytes {
            let record = match format::read_record(&bytes[at..]) {
                Ok(record) => record,
                Err(_) if bytes.len() < left && at > 0 => break, // the rest of it comes with the next step
                Err(what) => {
                    let offset = work.offset + at as u64;
                    return Err(Error::Damage { file: name, offset, what: what.into() });
                }
            };
            let offset = work.offset + at as u64;
            let entry = Entry { to, generation, offset, size: record.size as u32, seq: record.seq };
            // One that a write not yet acknowledged takes the place of lives on: that write may be given up.
            let waits = || self.undo.iter().any(|(key, before)| key == record.key && *before == Some(entry));
            if record.kind == RecordKind::Put && (self.index.get(record.key) == Some(&entry) || waits()) {
                let offset = work.written + work.out.len() as u64;
                let size = format::write_record(
                    &mut work.out,
                    record.seq,
                    RecordKind::Put,
                    record.key,
                    record.value,
                ) as u32;
                let key = record.key.to_vec();
                let hint = Hint { seq: record.seq, kind: RecordKind::Put, offset, size, key: key.clone() };
                work.moved.push((key, entry, hint));
                work.last = record.seq;
            }
            at += record.size;
        }
        work.offset += at as u64;
        if work.offset >= length {
            (work.input, work.offset) = (work.input + 1, HEADER_BYTES as u64);
        }
        if work.out.len() >= self.options.compaction_step_bytes || work.input >= work.inputs.len() {
            self.disk.write(&work.name, work.written, &work.out)?;
            work.written += work.out.len() as u64;
            self.stats.written_bytes += work.out.len() as u64;
            work.out.clear();
        }
        Ok(())
    }

    /// The index learns where the live ones stand now, so many a step; those written anew meanwhile are left out.
    fn place_moved(&mut self, work: &mut Compaction) -> Result<bool> {
        let from = work.placed.unwrap_or(0);
        let to = (from + (self.options.compaction_step_bytes / 256).max(1)).min(work.moved.len());
        for (key, was, hint) in &work.moved[from..to] {
            // A write that is not acknowledged may have taken its place, and may be given up.
            let new = Entry {
                to: work.to,
                generation: work.generation,
                offset: hint.offset,
                size: hint.size,
                seq: hint.seq,
            };
            if self.index.get(key) == Some(was) {
                self.place(key.clone(), Some(new));
            }
            for (other, before) in self.undo.iter_mut().filter(|(other, _)| other == key) {
                debug_assert_eq!(other, key);
                if *before == Some(*was) {
                    *before = Some(new);
                }
            }
        }
        work.placed = Some(to);
        if to < work.moved.len() {
            return Ok(false);
        }
        self.bury();
        Ok(true)
    }

    /// Removes files that nothing needs any more. One that can't be removed now is tried again; after a restart it is known
    /// as one that another stands for.
    fn bury(&mut self) {
        if self
            .compaction
            .as_ref()
            .is_some_and(|work| work.placed.is_some_and(|placed| placed < work.moved.len()))
        {
            return;
        }
        let doomed = std::mem::take(&mut self.doomed);
        for (name, pin) in doomed {
            let gone = Arc::strong_count(&pin) == 1 && self.disk.remove(&name).is_ok();
            if gone {
                let _ = self.disk.remove(&name.replace(".seg", ".hint"));
            } else {
                self.doomed.push((name, pin));
            }
        }
    }
}
