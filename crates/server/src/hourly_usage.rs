//! Billing rows summed by the hour, and handed out to whoever tallies for the fleet.
//!
//! A row counts in the hour of its own time, or, where that hour is closed already (it waited for the disk, or the Unix clock was set
//! back), in the one that is open. So each row counts once: what is told of all hours is the sum of all rows.
//!
//! | in the store | |
//! | --- | --- |
//! | `h/SPAN/HOUR` | an hour that is closed: rows, and billed value in thousandths |
//! | `l/SPAN/HOUR` | of those in `HOUR`, which came from hours closed before |
//!
//! The open hour is summed again from its rows when a store is opened. While an instance lives it holds its store, so it hands out
//! the closed hours as a file beside the folder, `FOLDER.hours`, replaced as a whole after the commit that closed one.

use cypresscleat_store::disk::{Disk, DiskDirectory};
use cypresscleat_store::{Error, Result, Store, StoreOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Closed hours that are handed out; those before have to be read from the store while nobody holds it.
const HANDED: usize = 2000;

/// One hour's sums.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HourTotals {
    pub rows: u64,
    /// Billed value, in thousandths.
    pub billed_milli: u64,
}

impl HourTotals {
    fn add(&mut self, other: HourTotals) {
        (self.rows, self.billed_milli) = (self.rows + other.rows, self.billed_milli + other.billed_milli);
    }
    fn write(self) -> Vec<u8> {
        format!("{},{}", self.rows, self.billed_milli).into_bytes()
    }
    fn read(bytes: &[u8]) -> Option<HourTotals> {
        let (rows, billed_milli) = std::str::from_utf8(bytes).ok()?.split_once(',')?;
        Some(HourTotals { rows: rows.parse().ok()?, billed_milli: billed_milli.parse().ok()? })
    }
}

/// A billing row's time in Unix milliseconds, and what it counts for.
fn row(key: &[u8], value: &[u8]) -> Option<(u64, HourTotals)> {
    let time = std::str::from_utf8(key.strip_prefix(b"b/")?.get(..16)?).ok()?;
    let billed = std::str::from_utf8(value).ok()?.split(',').nth(2)?.parse::<f64>().ok()?;
    Some((
        time.parse().ok()?,
        HourTotals { rows: 1, billed_milli: (billed * 1000.0).round().max(0.0) as u64 },
    ))
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct HourlyUsage {
    /// Milliseconds of an "hour".
    span: u64,
    /// The hour that is open; all before it are closed.
    open: u64,
    sum: HourTotals,
    late: HourTotals,
    /// Closed ones that have rows, in their order.
    pub closed: Vec<(u64, HourTotals)>,
    /// The first hour of `closed` that is not handed out yet; what was handed out last.
    handed: u64,
}

fn key(letter: char, span: u64, hour: u64) -> Vec<u8> {
    format!("{letter}/{span}/{hour:012}").into_bytes()
}

impl HourlyUsage {
    /// Reads the sums, and sums up the rows behind the last closed hour.
    pub fn load(store: &mut Store<impl Disk>, span: u64) -> Result<HourlyUsage> {
        let snapshot = store.snapshot();
        let mut hours = HourlyUsage { span: span.max(1), ..HourlyUsage::default() };
        let prefix = format!("h/{}/", hours.span).into_bytes();
        for key in snapshot.keys(&prefix).take_while(|key| key.starts_with(&prefix)) {
            let value = store.get_at(&snapshot, key)?.unwrap_or_default();
            let hour = std::str::from_utf8(&key[prefix.len()..]).ok().and_then(|hour| hour.parse().ok());
            if let (Some(hour), Some(sum)) = (hour, HourTotals::read(&value)) {
                hours.closed.push((hour, sum));
                hours.open = hour + 1;
            }
        }
        // The hour into which rows came late was the open one: what has an earlier time is closed, or is among those.
        let prefix = format!("l/{}/", hours.span).into_bytes();
        let from = self::key('l', hours.span, hours.open);
        for key in snapshot.keys(&from).take_while(|key| key.starts_with(&prefix)) {
            let value = store.get_at(&snapshot, key)?.unwrap_or_default();
            let hour = std::str::from_utf8(&key[prefix.len()..]).ok().and_then(|hour| hour.parse().ok());
            if let (Some(hour), Some(late)) = (hour, HourTotals::read(&value)) {
                (hours.open, hours.late, hours.sum) = (hour, late, late);
            }
        }
        let from = format!("b/{:016}/", hours.open * hours.span).into_bytes();
        for key in snapshot.keys(&from).take_while(|key| key.starts_with(b"b/")) {
            let value = store.get_at(&snapshot, key)?.unwrap_or_default();
            if let Some((at, sum)) = row(key, &value) {
                // Closed in memory only: they were never told, and are written with the first commit.
                hours.advance_to(at / hours.span);
                hours.sum.add(sum);
            }
        }
        Ok(hours)
    }

    fn advance_to(&mut self, hour: u64) {
        if hour > self.open {
            if self.sum.rows > 0 {
                self.closed.push((self.open, self.sum));
            }
            (self.open, self.sum, self.late) = (hour, HourTotals::default(), HourTotals::default());
        }
    }

    /// What has to be written with a row, in the same commit.
    pub fn record_row(&mut self, key: &[u8], value: &[u8]) -> Vec<(Vec<u8>, Vec<u8>)> {
        let Some((at, sum)) = row(key, value) else { return Vec::new() };
        let hour = at / self.span;
        let mut writes = self.close_hours_before(hour);
        if hour < self.open {
            self.late.add(sum);
            writes.push((self::key('l', self.span, self.open), self.late.write()));
        }
        self.sum.add(sum);
        writes
    }

    /// It is that hour by the clock, at least: those before are closed, with what has to be written for it.
    pub fn close_hours_before(&mut self, hour: u64) -> Vec<(Vec<u8>, Vec<u8>)> {
        let known = self.closed.len();
        self.advance_to(hour);
        let new = self.closed[known..].iter();
        new.map(|(hour, sum)| (key('h', self.span, *hour), sum.write())).collect()
    }

    /// The same by a time, in Unix milliseconds.
    pub fn close_hours_before_time(&mut self, unix_ms: u64) -> Vec<(Vec<u8>, Vec<u8>)> {
        self.close_hours_before(unix_ms / self.span)
    }

    /// All that were closed when they were read, to be written with the first commit.
    pub fn closed_hour_writes(&self) -> Vec<(Vec<u8>, Vec<u8>)> {
        self.closed.iter().map(|(hour, sum)| (key('h', self.span, *hour), sum.write())).collect()
    }

    /// Hands them out, where there is something new; what is told there has to be on the disk before.
    pub fn export(&mut self, folder: &Path) -> io::Result<()> {
        if self.open == self.handed {
            return Ok(());
        }
        let path = export_path(folder);
        let new = path.with_extension("hours-new");
        let mut file = std::fs::File::create(&new)?;
        let mut text = format!("span {} upto {}\n", self.span, self.open);
        let skip = self.closed.len().saturating_sub(HANDED);
        self.closed.drain(..skip);
        for (hour, sum) in &self.closed {
            text += &format!("{hour} {} {}\n", sum.rows, sum.billed_milli);
        }
        text += "end\n";
        file.write_all(text.as_bytes())?;
        file.sync_data()?;
        std::fs::rename(&new, &path)?;
        self.handed = self.open;
        Ok(())
    }
}

/// Where an instance hands out the hours of the store in `folder`.
pub fn export_path(folder: &Path) -> PathBuf {
    let mut name = folder.file_name().unwrap_or_default().to_os_string();
    name.push(".hours");
    folder.with_file_name(name)
}

/// The closed hours of an instance, from `from` on: from its store where nobody holds it, else as it hands them out. `unix_ms` is
/// the time now: of a store that nobody holds the present hour stays open, as its instance may come back in it.
pub fn read_closed_hours(
    folder: &Path,
    span: u64,
    from: u64,
    unix_ms: u64,
) -> std::result::Result<Vec<(u64, HourTotals)>, String> {
    let said = |error: Error| error.to_string();
    let mut all = match DiskDirectory::open(folder) {
        Err(Error::Locked) => read_handed(folder, span)?,
        Err(error) => return Err(said(error)),
        Ok(disk) => {
            let mut store = Store::open(disk, StoreOptions::default()).map_err(said)?;
            let mut hours = HourlyUsage::load(&mut store, span).map_err(said)?;
            hours.close_hours_before_time(unix_ms);
            // What is told of is closed for good, before a word of it leaves: its instance counts later rows elsewhere.
            for (key, value) in hours.closed_hour_writes() {
                if store.get(&key).map_err(said)?.as_deref() != Some(&value) {
                    store.put(&key, &value).map_err(said)?;
                }
            }
            store.commit(true).map_err(said)?;
            hours.closed
        }
    };
    all.retain(|(hour, _)| *hour >= from);
    Ok(all)
}

fn read_handed(folder: &Path, span: u64) -> std::result::Result<Vec<(u64, HourTotals)>, String> {
    let path = export_path(folder);
    let text = match std::fs::read_to_string(&path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        other => other.map_err(|error| format!("{}: {error}", path.display()))?,
    };
    let wrong = |line: &str| format!("{}: {line:?}", path.display());
    let mut lines = text.lines();
    let head: Vec<&str> = lines.next().unwrap_or("").split(' ').collect();
    match head[..] {
        ["span", own, "upto", _] if own == span.to_string() => {}
        ["span", own, "upto", _] => {
            return Err(format!("{}: hours of {own} ms, {span} are wanted", path.display()))
        }
        _ => return Err(wrong("no head")),
    }
    let mut all = Vec::new();
    for line in lines {
        if line == "end" {
            return Ok(all);
        }
        let numbers: Vec<u64> = line.split(' ').filter_map(|word| word.parse().ok()).collect();
        let [hour, rows, billed_milli] = numbers[..] else { return Err(wrong(line)) };
        all.push((hour, HourTotals { rows, billed_milli }));
    }
    Err(wrong("no end"))
}
