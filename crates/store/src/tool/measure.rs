//! Measures the store on this machine's disk against a plain file with a sync for each write, and the index against a plain map that
//! is copied for each snapshot.

use cypresscleat_store::disk::DiskDirectory;
use cypresscleat_store::{DiskOperation, Error, Result, Store, StoreOptions};
use hdrhistogram::Histogram;
use imbl::OrdMap;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::time::{Duration, Instant};

const VALUE: [u8; 120] = [b'v'; 120];

fn key(at: u64) -> Vec<u8> {
    format!("b/{:016}/{at:016x}", at.wrapping_mul(0x9e37_79b9_7f4a_7c15) % 1_000_000_000).into_bytes()
}

/// Latencies in microseconds.
struct Times(Histogram<u64>);

impl Times {
    fn new() -> Option<Times> {
        Histogram::new(3).ok().map(Times)
    }
    fn add(&mut self, took: Duration, count: u64) {
        let _ = self.0.record_n((took.as_nanos() as u64 / 1000).max(1), count);
    }
    fn at(&self, quantile: f64) -> u64 {
        self.0.value_at_quantile(quantile)
    }
}

fn row(label: &str, writes: u64, took: Duration, times: &Times) -> String {
    let rate = writes as f64 / took.as_secs_f64();
    let (p50, p99, most) = (times.at(0.5), times.at(0.99), times.0.max());
    format!("| {label} | {rate:.0} | {p50} | {p99} | {most} |\n")
}

/// Measures in the subdirectory `measured` of `path`, which is emptied before and after, and returns the tables.
pub fn table(path: &Path, writes: u64) -> Result<String> {
    let path = path.join("measured");
    let mut out =
        format!("{writes} writes of 27 and 120 bytes; latency to the acknowledgement in microseconds\n\n");
    out += "| durability | writes a second | p50 | p99 | most |\n| --- | --- | --- | --- | --- |\n";
    clean(&path);
    std::fs::create_dir_all(&path)
        .map_err(|error| Error::disk(DiskOperation::CreateDirectory, "measured", error))?;
    let synced_alone = (writes / 10).max(1);
    out += &plain_file(&path, synced_alone)?;
    for appends in [
        Appends { label: "each", group: 1, sync: true, writes: synced_alone },
        Appends { label: "group of 16", group: 16, sync: true, writes },
        Appends { label: "group of 128", group: 128, sync: true, writes },
        Appends { label: "none", group: 1, sync: false, writes },
    ] {
        out += &appends.run(&path)?;
    }
    out += &compaction(&path, writes)?;
    out += &recovery(&path, writes)?;
    clean(&path);
    out += &index();
    Ok(out)
}

fn clean(path: &Path) {
    let _ = std::fs::remove_dir_all(path);
}

/// Measures writes to a plain file with a sync for each.
fn plain_file(path: &Path, writes: u64) -> Result<String> {
    let (Ok(mut file), Some(mut times)) = (File::create(path.join("plain")), Times::new()) else {
        return Ok(String::new());
    };
    let began = Instant::now();
    for at in 0..writes {
        let one = Instant::now();
        let line = [&key(at)[..], &VALUE].concat();
        let written = file.write_all(&line).and_then(|()| file.sync_data());
        written.map_err(|error| Error::disk(DiskOperation::Write, "plain", error))?;
        times.add(one.elapsed(), 1);
    }
    Ok(row("plain file, a sync each", writes, began.elapsed(), &times))
}

/// Appends to a store, with `group` writes per commit.
struct Appends {
    label: &'static str,
    group: u64,
    sync: bool,
    writes: u64,
}

impl Appends {
    fn run(&self, path: &Path) -> Result<String> {
        clean(path);
        let mut store = Store::open(DiskDirectory::open(path)?, StoreOptions::default())?;
        let Some(mut times) = Times::new() else { return Ok(String::new()) };
        let began = Instant::now();
        let mut at = 0;
        while at < self.writes {
            let one = Instant::now();
            for _ in 0..self.group {
                store.put(&key(at), &VALUE)?;
                at += 1;
            }
            store.commit(self.sync)?;
            times.add(one.elapsed(), self.group);
        }
        Ok(row(self.label, at, began.elapsed(), &times))
    }
}

/// Measures overwrites with compaction steps in between, and the longest step, for which a writer waits.
fn compaction(path: &Path, writes: u64) -> Result<String> {
    clean(path);
    let mut store = Store::open(
        DiskDirectory::open(path)?,
        StoreOptions { max_segment_bytes: 1 << 20, ..StoreOptions::default() },
    )?;
    let (Some(mut steps), mut longest) = (Times::new(), Duration::ZERO) else { return Ok(String::new()) };
    for at in 0..writes * 4 {
        store.put(&key(at % (writes / 4).max(1)), &VALUE)?;
        if at % 32 == 31 {
            store.commit(false)?;
            let one = Instant::now();
            if store.compact_step()? {
                steps.add(one.elapsed(), 1);
                longest = longest.max(one.elapsed());
            }
        }
    }
    let stats = store.stats();
    let user = writes * 4 * (27 + VALUE.len() as u64);
    Ok(format!(
        "\nCompaction, {} overwrites of {} keys, segments of 1 MiB: {} bytes kept of {} written by the user, {:.2} bytes\n\
         written for each of those; a step waits {} us at the median, {} at the 99th percentile, {} at the most.\n",
        writes * 4,
        stats.keys,
        stats.segment_bytes,
        user,
        stats.written_bytes as f64 / user as f64,
        steps.at(0.5),
        steps.at(0.99),
        longest.as_micros()
    ))
}

fn recovery(path: &Path, writes: u64) -> Result<String> {
    let mut out = "\n| keys | bytes | recovery without hints, ms | with hints, ms | memory for each key, bytes |\n| --- | --- | --- | --- | --- |\n".to_string();
    for keys in [writes, writes * 5, writes * 25] {
        clean(path);
        let mut store = Store::open(DiskDirectory::open(path)?, StoreOptions::default())?;
        for at in 0..keys {
            store.put(&key(at), &VALUE)?;
            if at % 1000 == 999 {
                store.commit(false)?;
            }
        }
        store.commit(true)?;
        let bytes = store.stats().segment_bytes;
        drop(store);
        let with_hints = time_to_open(path)?;
        let grown = resident_bytes_of_a_process(path) - resident_bytes_of_a_process(&path.join("empty"));
        let each = grown.max(0.0) / keys as f64;
        remove_hints(path)?;
        let without_hints = time_to_open(path)?;
        let _ = writeln!(
            out,
            "| {keys} | {bytes} | {:.0} | {:.0} | {each:.0} |",
            without_hints.as_secs_f64() * 1e3,
            with_hints.as_secs_f64() * 1e3
        );
    }
    Ok(out)
}

fn time_to_open(path: &Path) -> Result<Duration> {
    let began = Instant::now();
    let store = Store::open(DiskDirectory::open(path)?, StoreOptions::default())?;
    let took = began.elapsed();
    drop(store);
    Ok(took)
}

fn remove_hints(path: &Path) -> Result<()> {
    let entries = std::fs::read_dir(path).map_err(|error| Error::disk(DiskOperation::List, ".", error))?;
    for entry in entries.flatten() {
        if entry.path().extension().is_some_and(|extension| extension == "hint") {
            let _ = std::fs::remove_file(entry.path());
        }
    }
    Ok(())
}

/// Resident memory of a new process that has just opened the store: the memory of this process includes earlier measurements.
fn resident_bytes_of_a_process(path: &Path) -> f64 {
    let _ = std::fs::create_dir_all(path);
    let program = std::env::current_exe().unwrap_or_default();
    let output = std::process::Command::new(program).arg("stats").arg(path).output();
    let text = output.map(|output| String::from_utf8_lossy(&output.stdout).into_owned()).unwrap_or_default();
    let memory = text.lines().find_map(|line| line.strip_prefix("memory "));
    memory.and_then(|bytes| bytes.parse().ok()).unwrap_or(0.0)
}

/// Resident memory of this process.
pub fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
    let kib = line.split_whitespace().nth(1).and_then(|kib| kib.parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0
}

/// Costs of one kind of index.
struct IndexCosts {
    write_ns: f64,
    snapshot: Duration,
    /// The first writes after a snapshot, while the snapshot still shares nodes with the index.
    write_behind_snapshot_ns: f64,
}

impl IndexCosts {
    const WRITES_BEHIND_SNAPSHOT: usize = 100;

    fn measure<M: Clone>(
        keys: &[Vec<u8>],
        mut map: M,
        insert: impl Fn(&mut M, Vec<u8>, [u64; 4]),
    ) -> IndexCosts {
        let began = Instant::now();
        for key in keys {
            insert(&mut map, key.clone(), [0; 4]);
        }
        let write_ns = began.elapsed().as_nanos() as f64 / keys.len() as f64;
        let began = Instant::now();
        let snapshot_of_map = map.clone();
        let snapshot = began.elapsed();
        let began = Instant::now();
        for key in &keys[..IndexCosts::WRITES_BEHIND_SNAPSHOT] {
            insert(&mut map, key.clone(), [1; 4]);
        }
        let behind = began.elapsed().as_nanos() as f64;
        drop(snapshot_of_map);
        let write_behind_snapshot_ns = behind / IndexCosts::WRITES_BEHIND_SNAPSHOT as f64;
        IndexCosts { write_ns, snapshot, write_behind_snapshot_ns }
    }

    fn snapshot_us(&self) -> f64 {
        self.snapshot.as_nanos() as f64 / 1e3
    }
}

/// Compares the persistent map with a plain map that is copied for each snapshot.
fn index() -> String {
    let mut out = "\n| keys | map: write, ns | its snapshot, us | persistent map: write, ns | its snapshot, us | first 100 writes behind a snapshot, ns each: map, persistent |\n| --- | --- | --- | --- | --- | --- |\n".to_string();
    for count in [1_000u64, 10_000, 100_000, 1_000_000] {
        let keys: Vec<Vec<u8>> = (0..count).map(key).collect();
        let plain = IndexCosts::measure(&keys, BTreeMap::new(), |map, key, value| {
            map.insert(key, value);
        });
        let persistent = IndexCosts::measure(&keys, OrdMap::new(), |map, key, value| {
            map.insert(key, value);
        });
        let _ = writeln!(
            out,
            "| {count} | {:.0} | {:.1} | {:.0} | {:.2} | {:.0}, {:.0} |",
            plain.write_ns,
            plain.snapshot_us(),
            persistent.write_ns,
            persistent.snapshot_us(),
            plain.write_behind_snapshot_ns,
            persistent.write_behind_snapshot_ns
        );
    }
    out
}
