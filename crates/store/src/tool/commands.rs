//! The commands of the tool.

use super::measure;
use super::outcome::{Outcome, ToolError};
use super::report;
use clap::ArgMatches;
use cypresscleat_store::disk::DiskDirectory;
use cypresscleat_store::{Store, StoreOptions};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Keys of billing rows are in the range from `BILLING_PREFIX` to `BILLING_END`: `b/`, then the time in milliseconds with 16 digits.
const BILLING_PREFIX: &str = "b/";
const BILLING_END: &[u8] = b"b0";

/// Runs the command and writes its report to standard output.
pub fn run(arguments: &ArgMatches) -> Result<Outcome, ToolError> {
    let (name, arguments) = arguments.subcommand().ok_or(ToolError::Usage)?;
    let path = arguments.get_one::<PathBuf>("dir").ok_or(ToolError::Usage)?;
    let mut out = io::BufWriter::new(io::stdout().lock());
    let outcome = dispatch(name, path, arguments, &mut out)?;
    out.flush()?;
    Ok(outcome)
}

fn dispatch(
    name: &str,
    path: &Path,
    arguments: &ArgMatches,
    out: &mut impl Write,
) -> Result<Outcome, ToolError> {
    let number = |name: &str| arguments.get_one::<u64>(name).copied().unwrap_or(0);
    match name {
        "verify" => verify(&mut open_existing(path, false)?, out),
        "stats" => stats(&open_existing(path, false)?, out),
        "dump" => dump(&mut open_existing(path, arguments.get_flag("salvage"))?, out),
        "compact" => compact(&mut open_existing(path, false)?, out),
        "export" => export(&mut open_existing(path, false)?, number("since"), out),
        "fill" => {
            let work = Fill { writes: number("writes"), seed: number("seed"), group: number("group").max(1) };
            fill(&mut open(path, false)?, &work, out)
        }
        "measure" => {
            write!(out, "{}", measure::table(path, number("writes"))?)?;
            Ok(Outcome::Good)
        }
        _ => Err(ToolError::Usage),
    }
}

/// Opens a store that exists: commands that inspect a store must not create one.
fn open_existing(path: &Path, salvage: bool) -> Result<Store<DiskDirectory>, ToolError> {
    if !path.is_dir() {
        return Err(ToolError::NoSuchDirectory(path.to_path_buf()));
    }
    open(path, salvage)
}

fn open(path: &Path, salvage: bool) -> Result<Store<DiskDirectory>, ToolError> {
    let options = StoreOptions { salvage, ..StoreOptions::default() };
    Ok(Store::open(DiskDirectory::open(path)?, options)?)
}

fn verify(store: &mut Store<DiskDirectory>, out: &mut impl Write) -> Result<Outcome, ToolError> {
    let damage = store.verify();
    report::verification(out, &damage, &store.stats())?;
    Ok(Outcome::from_damage(damage.len()))
}

fn stats(store: &Store<DiskDirectory>, out: &mut impl Write) -> Result<Outcome, ToolError> {
    report::statistics(out, &store.stats(), measure::resident_bytes())?;
    Ok(Outcome::Good)
}

fn dump(store: &mut Store<DiskDirectory>, out: &mut impl Write) -> Result<Outcome, ToolError> {
    report::rows(out, store, b"", None)?;
    for error in store.damage() {
        eprintln!("cypresscleat-store: {error}");
    }
    Ok(Outcome::from_damage(store.damage().len()))
}

fn compact(store: &mut Store<DiskDirectory>, out: &mut impl Write) -> Result<Outcome, ToolError> {
    let before = store.stats().segment_bytes;
    store.compact_all()?;
    store.commit(true)?;
    writeln!(out, "{before} bytes before, {} now", store.stats().segment_bytes)?;
    Ok(Outcome::Good)
}

fn export(
    store: &mut Store<DiskDirectory>,
    since_unix_ms: u64,
    out: &mut impl Write,
) -> Result<Outcome, ToolError> {
    let from = format!("{BILLING_PREFIX}{since_unix_ms:016}");
    report::rows(out, store, from.as_bytes(), Some(BILLING_END))?;
    Ok(Outcome::Good)
}

struct Fill {
    writes: u64,
    seed: u64,
    /// Writes per commit.
    group: u64,
}

fn fill(store: &mut Store<DiskDirectory>, work: &Fill, out: &mut impl Write) -> Result<Outcome, ToolError> {
    let mut rng = Pcg64Mcg::new(u128::from(work.seed) * 2 + 1);
    let mut unacknowledged = Vec::new();
    for at in 0..work.writes {
        let key = format!("key{:08}", rng.random_range(0..work.writes.max(1) * 4));
        let value = format!("value {at} {:016x}", rng.random::<u64>());
        store.put(key.as_bytes(), value.as_bytes())?;
        unacknowledged.push(key);
        if unacknowledged.len() as u64 >= work.group || at + 1 == work.writes {
            store.commit(true)?;
            for key in unacknowledged.drain(..) {
                writeln!(out, "{key}")?;
            }
            out.flush()?;
            store.compact_step()?;
        }
    }
    Ok(Outcome::Good)
}
