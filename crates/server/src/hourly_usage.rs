//! Sums billing rows by the hour and exports the closed hours to the task that reports the usage of the fleet.
//!
//! A row counts in the hour of its own timestamp. If that hour is already closed (the row waited for the disk, or the Unix clock was
//! set back), the row counts in the open hour. Each row counts exactly once: the totals of all hours add up to all rows.
//!
//! | key in the store | value |
//! | --- | --- |
//! | `h/SPAN/HOUR` | totals of a closed hour: rows, and billed value in thousandths |
//! | `l/SPAN/HOUR` | the part of the totals of `HOUR` that comes from late rows, whose own hours were already closed |
//!
//! The totals of the open hour are computed from its rows each time the store is opened. A running instance holds the lock on its
//! store, so it exports the closed hours to a file beside the folder, `FOLDER.hours`. The file is replaced as a whole after the
//! commit that closed an hour.

use cypresscleat_store::disk::{Disk, DiskDirectory};
use cypresscleat_store::{Error, Result, Store, StoreOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// Maximum number of closed hours in the exported file. Earlier hours can be read only from the store, while no process holds it.
const MAX_EXPORTED_HOURS: usize = 2000;

/// Totals of one hour.
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
    fn encode(self) -> Vec<u8> {
        format!("{},{}", self.rows, self.billed_milli).into_bytes()
    }
    fn decode(bytes: &[u8]) -> Option<HourTotals> {
        let (rows, billed_milli) = std::str::from_utf8(bytes).ok()?.split_once(',')?;
        Some(HourTotals { rows: rows.parse().ok()?, billed_milli: billed_milli.parse().ok()? })
    }
}

/// Returns the timestamp of a billing row in Unix milliseconds, and what the row adds to the totals of its hour.
fn parse_row(key: &[u8], value: &[u8]) -> Option<(u64, HourTotals)> {
    let time = std::str::from_utf8(key.strip_prefix(b"b/")?.get(..16)?).ok()?;
    let billed = std::str::from_utf8(value).ok()?.split(',').nth(2)?.parse::<f64>().ok()?;
    Some((
        time.parse().ok()?,
        HourTotals { rows: 1, billed_milli: (billed * 1000.0).round().max(0.0) as u64 },
    ))
}

/// Totals of the open hour and of the closed hours.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HourlyUsage {
    /// Length of an "hour" in milliseconds.
    hour_ms: u64,
    /// The open hour; all earlier hours are closed.
    open_hour: u64,
    open_totals: HourTotals,
    late_totals: HourTotals,
    /// Closed hours that have rows, in ascending order.
    pub closed: Vec<(u64, HourTotals)>,
    /// The value of `open_hour` at the last export: all hours before it were exported.
    exported_before: u64,
}

fn hour_key(kind: char, hour_ms: u64, hour: u64) -> Vec<u8> {
    format!("{kind}/{hour_ms}/{hour:012}").into_bytes()
}

impl HourlyUsage {
    /// Loads the totals of the closed hours, and adds up the rows after the last closed hour.
    pub fn load(store: &mut Store<impl Disk>, hour_ms: u64) -> Result<HourlyUsage> {
        let snapshot = store.snapshot();
        let mut hours = HourlyUsage { hour_ms: hour_ms.max(1), ..HourlyUsage::default() };
        let prefix = format!("h/{}/", hours.hour_ms).into_bytes();
        for key in snapshot.keys(&prefix).take_while(|key| key.starts_with(&prefix)) {
            let value = store.get_at(&snapshot, key)?.unwrap_or_default();
            let hour = std::str::from_utf8(&key[prefix.len()..]).ok().and_then(|hour| hour.parse().ok());
            if let (Some(hour), Some(sum)) = (hour, HourTotals::decode(&value)) {
                hours.closed.push((hour, sum));
                hours.open_hour = hour + 1;
            }
        }
        // The hour that has late rows was the open one: rows with an earlier timestamp are in closed hours or among the late rows.
        let prefix = format!("l/{}/", hours.hour_ms).into_bytes();
        let from = self::hour_key('l', hours.hour_ms, hours.open_hour);
        for key in snapshot.keys(&from).take_while(|key| key.starts_with(&prefix)) {
            let value = store.get_at(&snapshot, key)?.unwrap_or_default();
            let hour = std::str::from_utf8(&key[prefix.len()..]).ok().and_then(|hour| hour.parse().ok());
            if let (Some(hour), Some(late)) = (hour, HourTotals::decode(&value)) {
                (hours.open_hour, hours.late_totals, hours.open_totals) = (hour, late, late);
            }
        }
        let from = format!("b/{:016}/", hours.open_hour * hours.hour_ms).into_bytes();
        for key in snapshot.keys(&from).take_while(|key| key.starts_with(b"b/")) {
            let value = store.get_at(&snapshot, key)?.unwrap_or_default();
            if let Some((at, sum)) = parse_row(key, &value) {
                // These hours are closed in memory only: they were never exported, and are written with the first commit.
                hours.advance_to(at / hours.hour_ms);
                hours.open_totals.add(sum);
            }
        }
        Ok(hours)
    }

    fn advance_to(&mut self, hour: u64) {
        if hour > self.open_hour {
            if self.open_totals.rows > 0 {
                self.closed.push((self.open_hour, self.open_totals));
            }
            (self.open_hour, self.open_totals, self.late_totals) =
                (hour, HourTotals::default(), HourTotals::default());
        }
    }

    /// Counts a billing row. Returns the writes that must be in the same commit as the row.
    pub fn record_row(&mut self, key: &[u8], value: &[u8]) -> Vec<(Vec<u8>, Vec<u8>)> {
        let Some((at, sum)) = parse_row(key, value) else { return Vec::new() };
        let hour = at / self.hour_ms;
        let mut writes = self.close_hours_before(hour);
        if hour < self.open_hour {
            self.late_totals.add(sum);
            writes.push((self::hour_key('l', self.hour_ms, self.open_hour), self.late_totals.encode()));
        }
        self.open_totals.add(sum);
        writes
    }

    /// Closes all hours before `hour`, which the clock has reached. Returns the writes that record the closed hours.
    pub fn close_hours_before(&mut self, hour: u64) -> Vec<(Vec<u8>, Vec<u8>)> {
        let known = self.closed.len();
        self.advance_to(hour);
        let new = self.closed[known..].iter();
        new.map(|(hour, sum)| (hour_key('h', self.hour_ms, *hour), sum.encode())).collect()
    }

    /// Closes all hours before the one that contains `unix_ms`, as [`HourlyUsage::close_hours_before`] does.
    pub fn close_hours_before_time(&mut self, unix_ms: u64) -> Vec<(Vec<u8>, Vec<u8>)> {
        self.close_hours_before(unix_ms / self.hour_ms)
    }

    /// Returns the writes that record all closed hours, for the first commit after [`HourlyUsage::load`].
    pub fn closed_hour_writes(&self) -> Vec<(Vec<u8>, Vec<u8>)> {
        self.closed.iter().map(|(hour, sum)| (hour_key('h', self.hour_ms, *hour), sum.encode())).collect()
    }

    /// Exports the closed hours if more were closed since the last export. The hours must be committed before they are exported.
    pub fn export(&mut self, folder: &Path) -> io::Result<()> {
        if self.open_hour == self.exported_before {
            return Ok(());
        }
        let path = export_path(folder);
        let new = path.with_extension("hours-new");
        let mut file = std::fs::File::create(&new)?;
        let mut text = format!("span {} upto {}\n", self.hour_ms, self.open_hour);
        let skip = self.closed.len().saturating_sub(MAX_EXPORTED_HOURS);
        self.closed.drain(..skip);
        for (hour, sum) in &self.closed {
            text += &format!("{hour} {} {}\n", sum.rows, sum.billed_milli);
        }
        text += "end\n";
        file.write_all(text.as_bytes())?;
        file.sync_data()?;
        std::fs::rename(&new, &path)?;
        self.exported_before = self.open_hour;
        Ok(())
    }
}

/// File to which an instance exports the closed hours of the store in `folder`.
pub fn export_path(folder: &Path) -> PathBuf {
    let mut name = folder.file_name().unwrap_or_default().to_os_string();
    name.push(".hours");
    folder.with_file_name(name)
}

/// Closed hours of an instance, and whether they are those of its store or of the exported file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClosedHours {
    pub hours: Vec<(u64, HourTotals)>,
    /// No process holds the store: nothing is added until one does.
    pub is_from_store: bool,
}

/// Returns the closed hours of an instance, starting with hour `from`. They are read from its store if no process holds the store or
/// waits for it, else from the exported file. `unix_ms` is the current time: in a store that no process holds the current hour stays
/// open, as the instance may restart within that hour. `cancelled` ends the read.
pub fn read_closed_hours(
    folder: &Path,
    hour_ms: u64,
    from: u64,
    unix_ms: u64,
    cancelled: Arc<AtomicBool>,
) -> std::result::Result<ClosedHours, String> {
    let (mut hours, is_from_store) = match read_stored_hours(folder, hour_ms, unix_ms, cancelled) {
        Ok(hours) => (hours, true),
        Err(Error::Locked | Error::Interrupted) => (read_exported_hours(folder, hour_ms)?, false),
        Err(error) => return Err(error.to_string()),
    };
    hours.retain(|(hour, _)| *hour >= from);
    Ok(ClosedHours { hours, is_from_store })
}

fn read_stored_hours(
    folder: &Path,
    hour_ms: u64,
    unix_ms: u64,
    cancelled: Arc<AtomicBool>,
) -> Result<Vec<(u64, HourTotals)>> {
    let disk = DiskDirectory::open_for_reader(folder, cancelled)?;
    let mut store = Store::open(disk, StoreOptions::default())?;
    let mut hours = HourlyUsage::load(&mut store, hour_ms)?;
    hours.close_hours_before_time(unix_ms);
    // Hours are recorded as closed before they are returned: the instance then counts later rows in other hours.
    for (key, value) in hours.closed_hour_writes() {
        if store.get(&key)?.as_deref() != Some(&value) {
            store.put(&key, &value)?;
        }
    }
    store.commit(true)?;
    Ok(hours.closed)
}

fn read_exported_hours(folder: &Path, hour_ms: u64) -> std::result::Result<Vec<(u64, HourTotals)>, String> {
    let path = export_path(folder);
    let text = match std::fs::read_to_string(&path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        other => other.map_err(|error| format!("{}: {error}", path.display()))?,
    };
    let malformed = |line: &str| format!("{}: {line:?}", path.display());
    let mut lines = text.lines();
    let head: Vec<&str> = lines.next().unwrap_or("").split(' ').collect();
    match head[..] {
        ["span", found_ms, "upto", _] if found_ms == hour_ms.to_string() => {}
        ["span", found_ms, "upto", _] => {
            return Err(format!("{}: hours are {found_ms} ms long, expected {hour_ms} ms", path.display()))
        }
        _ => return Err(malformed("missing header")),
    }
    let mut all = Vec::new();
    for line in lines {
        if line == "end" {
            return Ok(all);
        }
        let numbers: Vec<u64> = line.split(' ').filter_map(|word| word.parse().ok()).collect();
        let [hour, rows, billed_milli] = numbers[..] else { return Err(malformed(line)) };
        all.push((hour, HourTotals { rows, billed_milli }));
    }
    Err(malformed("missing end line"))
}
