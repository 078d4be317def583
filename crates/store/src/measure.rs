//! What the store costs on this machine's disk, beside a plain file with a sync for each write; and the index beside a
//! plain map that is copied for each snapshot.

use crate::disk::{said, DiskDirectory};
use crate::{Result, Store, StoreOptions};
use hdrhistogram::Histogram;
use imbl::OrdMap;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::Write as _;
use std::path::Path;
use std::time::{Duration, Instant};

const VALUE: [u8; 120] = [b'v'; 120];

fn key(at: u64) -> Vec<u8> {
    format!("b/{:016}/{at:016x}", at.wrapping_mul(0x9e37_79b9_7f4a_7c15) % 1_000_000_000).into_bytes()
}

struct Times(Histogram<u64>);

impl Times {
    fn new() -> Option<Times> {
        Histogram::new(3).ok().map(Times)
    }
    fn add(&mut self, took: Duration, many: u64) {
        let _ = self.0.record_n((took.as_nanos() as u64 / 1000).max(1), many);
    }
    fn at(&self, quantile: f64) -> u64 {
        self.0.value_at_quantile(quantile)
    }
}

fn row(out: &mut String, what: &str, many: u64, took: Duration, times: &Times) {
    let rate = many as f64 / took.as_secs_f64();
    let (p50, p99, most) = (times.at(0.5), times.at(0.99), times.0.max());
    let _ = writeln!(out, "| {what} | {rate:.0} | {p50} | {p99} | {most} |");
}

/// Leaves nothing in `path` but a folder of its own, which it empties first.
pub fn table(path: &Path, writes: u64) -> Result<String> {
    let path = path.join("measured");
    let clean = || drop(std::fs::remove_dir_all(&path));
    let mut out =
        format!("{writes} writes of 27 and 120 bytes; latency to the acknowledgement in microseconds\n\n");
    out += "| durability | writes a second | p50 | p99 | most |\n| --- | --- | --- | --- | --- |\n";
    let slow = (writes / 10).max(1);
    clean();
    std::fs::create_dir_all(&path).map_err(|error| said("make", "measured", error))?;
    if let (Ok(mut file), Some(mut times)) = (std::fs::File::create(path.join("plain")), Times::new()) {
        let began = Instant::now();
        for at in 0..slow {
            let one = Instant::now();
            let line = [&key(at)[..], &VALUE].concat();
            file.write_all(&line)
                .and_then(|()| file.sync_data())
                .map_err(|error| said("write", "plain", error))?;
            times.add(one.elapsed(), 1);
        }
        row(&mut out, "plain file, a sync each", slow, began.elapsed(), &times);
    }
    for (what, group, sync, many) in [
        ("each", 1, true, slow),
        ("group of 16", 16, true, writes),
        ("group of 128", 128, true, writes),
        ("none", 1, false, writes),
    ] {
        clean();
        let mut store = Store::open(DiskDirectory::open(&path)?, StoreOptions::default())?;
        let Some(mut times) = Times::new() else { continue };
        let began = Instant::now();
        let mut at = 0;
        while at < many {
            let one = Instant::now();
            for _ in 0..group {
                store.put(&key(at), &VALUE)?;
                at += 1;
            }
            store.commit(sync)?;
            times.add(one.elapsed(), group);
        }
        row(&mut out, what, at, began.elapsed(), &times);
    }
    out += &compaction(&path, writes)?;
    out += &recovery(&path, writes)?;
    clean();
    out += &index();
    Ok(out)
}

/// Overwrites while compaction goes on in steps: the longest that a writer waited for one.
fn compaction(path: &Path, writes: u64) -> Result<String> {
    let _ = std::fs::remove_dir_all(path);
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
        let _ = std::fs::remove_dir_all(path);
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
        let began = Instant::now();
        let store = Store::open(DiskDirectory::open(path)?, StoreOptions::default())?;
        let hinted = began.elapsed();
        drop(store);
        let each = (of_a_process(path) - of_a_process(&path.join("empty"))).max(0.0) / keys as f64;
        let entries = std::fs::read_dir(path).map_err(|error| said("list", ".", error))?;
        for entry in
            entries.flatten().filter(|entry| entry.path().extension().is_some_and(|end| end == "hint"))
        {
            let _ = std::fs::remove_file(entry.path());
        }
        let began = Instant::now();
        drop(Store::open(DiskDirectory::open(path)?, StoreOptions::default())?);
        let _ = writeln!(
            out,
            "| {keys} | {bytes} | {:.0} | {:.0} | {each:.0} |",
            began.elapsed().as_secs_f64() * 1e3,
            hinted.as_secs_f64() * 1e3
        );
    }
    Ok(out)
}

/// Resident memory of a process that has just opened the store there: this one's keeps what it used before.
fn of_a_process(path: &Path) -> f64 {
    let _ = std::fs::create_dir_all(path);
    let own = std::env::current_exe().unwrap_or_default();
    let told = std::process::Command::new(own).arg("stats").arg(path).output();
    let text = told.map(|told| String::from_utf8_lossy(&told.stdout).into_owned()).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("memory "));
    line.and_then(|word| word.parse().ok()).unwrap_or(0.0)
}

/// Resident memory of this process, in bytes.
pub fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|word| word.parse::<f64>().ok()).unwrap_or(0.0) * 1024.0
}

/// The persistent map beside a plain one that is copied for each snapshot.
fn index() -> String {
    let mut out = "\n| keys | map: write, ns | its snapshot, us | persistent map: write, ns | its snapshot, us | first 100 writes behind a snapshot, ns each: map, persistent |\n| --- | --- | --- | --- | --- | --- |\n".to_string();
    for keys in [1_000u64, 10_000, 100_000, 1_000_000] {
        let all: Vec<Vec<u8>> = (0..keys).map(key).collect();
        let each = |took: Duration, many: u64| took.as_nanos() as f64 / many as f64;
        let began = Instant::now();
        let mut plain = BTreeMap::new();
        all.iter().for_each(|key| {
            plain.insert(key.clone(), [0u64; 4]);
        });
        let plain_write = each(began.elapsed(), keys);
        let began = Instant::now();
        let copy = plain.clone();
        let plain_copy = began.elapsed();
        let began = Instant::now();
        all.iter().take(100).for_each(|key| {
            plain.insert(key.clone(), [1u64; 4]);
        });
        let plain_behind = each(began.elapsed(), 100);
        drop(copy);
        let began = Instant::now();
        let mut shared = OrdMap::new();
        all.iter().for_each(|key| {
            shared.insert(key.clone(), [0u64; 4]);
        });
        let shared_write = each(began.elapsed(), keys);
        let began = Instant::now();
        let copy = shared.clone();
        let shared_copy = began.elapsed();
        let began = Instant::now();
        all.iter().take(100).for_each(|key| {
            shared.insert(key.clone(), [1u64; 4]);
        });
        let shared_behind = each(began.elapsed(), 100);
        drop(copy);
        let _ = writeln!(
            out,
            "| {keys} | {plain_write:.0} | {:.1} | {shared_write:.0} | {:.2} | {plain_behind:.0}, {shared_behind:.0} |",
            plain_copy.as_nanos() as f64 / 1e3,
            shared_copy.as_nanos() as f64 / 1e3
        );
    }
    out
}
