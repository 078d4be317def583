//! The store's own tool: look at one, check it, compact it, get billing rows out of it, fill one, measure.

use clap::{value_parser, Arg, ArgMatches, Command};
use cypresscleat_store::disk::{Disk, DiskDirectory};
use cypresscleat_store::{measure, Error, Store, StoreOptions};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit codes: damage, and all else that went wrong.
const DAMAGE: u8 = 3;
const WRONG: u8 = 2;

fn main() -> ExitCode {
    let folder = || Arg::new("dir").value_name("DIR").required(true).value_parser(value_parser!(PathBuf));
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).value_name("N").value_parser(value_parser!(u64)).default_value(default)
    };
    let on = |name: &'static str, about: &'static str| Command::new(name).about(about).arg(folder());
    let words = Command::new("cypresscleat-store")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Looks after a store: exit 0 where all is well, 3 on damage, 2 on anything else")
        .subcommand_required(true)
        .subcommand(on("verify", "Read every record that counts; tell all damage"))
        .subcommand(on("stats", "Keys, segments, bytes"))
        .subcommand(
            on("dump", "A line MAX_KEY_BYTES<TAB>MAX_VALUE_BYTES for each key, in order; bytes that are no text as \\xNN").arg(
                Arg::new("salvage")
                    .long("salvage")
                    .action(clap::ArgAction::SetTrue)
                    .help("What can be read of a damaged one"),
            ),
        )
        .subcommand(on("compact", "Compact all that is sealed"))
        .subcommand(
            on("export", "Billing rows, oldest first; safe to run twice, as rows carry ids")
                .arg(number("since", "0").help("Unix milliseconds")),
        )
        .subcommand(
            on("fill", "Write by seed; each key is printed once it is acknowledged")
                .arg(number("writes", "1000"))
                .arg(number("seed", "1"))
                .arg(number("group", "1").help("Writes for each commit")),
        )
        .subcommand(
            on(
                "measure",
                "Appends a second and their latency by durability, beside a plain file; recovery; compaction",
            )
            .arg(number("writes", "20000")),
        )
        .get_matches();
    let Some((name, words)) = words.subcommand() else { return ExitCode::from(WRONG) };
    let Some(path) = words.get_one::<PathBuf>("dir") else { return ExitCode::from(WRONG) };
    let mut out = io::BufWriter::new(io::stdout().lock());
    let ended = run(name, path, words, &mut out).and_then(|code| out.flush().map(|()| code).map_err(broken));
    match ended {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("cypresscleat-store: {error}");
            ExitCode::from(if matches!(error, Error::Damage { .. }) { DAMAGE } else { WRONG })
        }
    }
}

fn broken(error: io::Error) -> Error {
    Error::Disk { doing: "write", file: "standard output".into(), what: error.to_string(), full: false }
}

/// Text as it is, but for what would break the line.
fn shown(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.utf8_chunks() {
        for c in part.valid().chars() {
            match c {
                '\t' | '\n' | '\r' | '\\' => out.push_str(&format!("\\x{:02x}", c as u32)),
                c if c.is_control() => {
                    out.push_str(&c.to_string().bytes().map(|b| format!("\\x{b:02x}")).collect::<String>())
                }
                c => out.push(c),
            }
        }
        out.extend(part.invalid().iter().map(|byte| format!("\\x{byte:02x}")));
    }
    out
}

fn dump(store: &mut Store<impl Disk>, from: &[u8], to: &[u8], out: &mut impl Write) -> Result<(), Error> {
    let snapshot = store.snapshot();
    for key in snapshot.keys(from).take_while(|key| to.is_empty() || *key < to) {
        if let Some(value) = store.get_at(&snapshot, key)? {
            writeln!(out, "{}\t{}", shown(key), shown(&value)).map_err(broken)?;
        }
    }
    Ok(())
}

fn run(name: &str, path: &Path, words: &ArgMatches, out: &mut impl Write) -> Result<u8, Error> {
    let number = |name: &str| words.get_one::<u64>(name).copied().unwrap_or(0);
    if name == "measure" {
        let table = measure::table(path, number("writes"))?;
        return write!(out, "{table}").map(|()| 0).map_err(broken);
    }
    // To look at one must not make one.
    if name != "fill" && !path.is_dir() {
        return Err(Error::Disk {
            doing: "open",
            file: path.display().to_string(),
            what: "no such folder".into(),
            full: false,
        });
    }
    let salvage = name == "dump" && words.get_flag("salvage");
    let mut store =
        Store::open(DiskDirectory::open(path)?, StoreOptions { salvage, ..StoreOptions::default() })?;
    match name {
        "verify" => {
            let damage = store.verify();
            for error in &damage {
                writeln!(out, "{error}").map_err(broken)?;
            }
            let stats = store.stats();
            writeln!(
                out,
                "{} keys, {} damaged, {} bytes dropped behind the end",
                stats.keys,
                damage.len(),
                stats.torn_bytes
            )
            .map_err(broken)?;
            return Ok(if damage.is_empty() { 0 } else { DAMAGE });
        }
        "stats" => {
            let stats = store.stats();
            let dead = stats.segment_bytes.saturating_sub(stats.live_bytes);
            writeln!(
                out,
                "keys {}\nsegments {}\nbytes {}\ndead {dead}\nlast {}\ntorn {}\nmemory {}",
                stats.keys,
                stats.segments,
                stats.segment_bytes,
                stats.last_sequence,
                stats.torn_bytes,
                measure::resident()
            )
            .map_err(broken)?;
        }
        "dump" => {
            dump(&mut store, b"", b"", out)?;
            for error in store.damage() {
                eprintln!("cypresscleat-store: {error}");
            }
            return Ok(if store.damage().is_empty() { 0 } else { DAMAGE });
        }
        "compact" => {
            let before = store.stats().segment_bytes;
            store.compact_all()?;
            store.commit(true)?;
            writeln!(out, "{before} bytes before, {} now", store.stats().segment_bytes).map_err(broken)?;
        }
        "export" => dump(&mut store, format!("b/{:016}", number("since")).as_bytes(), b"b0", out)?,
        _ => {
            let mut chance = Pcg64Mcg::new(u128::from(number("seed")) * 2 + 1);
            let (writes, group) = (number("writes"), number("group").max(1));
            let mut waiting = Vec::new();
            for at in 0..writes {
                let key = format!("key{:08}", chance.random_range(0..writes.max(1) * 4));
                let value = format!("value {at} {:016x}", chance.random::<u64>());
                store.put(key.as_bytes(), value.as_bytes())?;
                waiting.push(key);
                if waiting.len() as u64 >= group || at + 1 == writes {
                    store.commit(true)?;
                    for key in waiting.drain(..) {
                        writeln!(out, "{key}").map_err(broken)?;
                    }
                    out.flush().map_err(broken)?;
                    store.compact_step()?;
                }
            }
        }
    }
    Ok(0)
}
