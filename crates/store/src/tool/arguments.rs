//! The command line.

use clap::{value_parser, Arg, ArgAction, Command};
use std::path::PathBuf;

/// All commands with their arguments.
pub fn arguments() -> Command {
    Command::new("cypresscleat-store")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Inspects and maintains a store. Exit codes: 0 success, 3 damage, 2 any other error")
        .subcommand_required(true)
        .subcommand(command(
            "verify",
            "Read the current value of each key and report each damaged or unreadable one",
        ))
        .subcommand(command("stats", "Print the number of keys, segments and bytes"))
        .subcommand(
            command("dump", "Print a line KEY<TAB>VALUE for each key, in order; bytes that are not text as \\xNN")
                .arg(
                    Arg::new("salvage")
                        .long("salvage")
                        .action(ArgAction::SetTrue)
                        .help("Print the readable part of a damaged store"),
                ),
        )
        .subcommand(command(
            "compact",
            "Seal the active segment, then merge the live records of all sealed segments into one",
        ))
        .subcommand(
            command("export", "Print the billing rows, oldest first; safe to repeat, as rows have ids")
                .arg(number("since", "0").help("First time, in Unix milliseconds")),
        )
        .subcommand(
            command("fill", "Write random entries by seed; print each key once it is acknowledged")
                .arg(number("writes", "1000"))
                .arg(number("seed", "1"))
                .arg(number("group", "1").help("Writes per commit")),
        )
        .subcommand(
            command(
                "measure",
                "Measure append rate and latency by durability against a plain file, recovery, and compaction",
            )
            .arg(number("writes", "20000")),
        )
}

/// A command on a directory.
fn command(name: &'static str, about: &'static str) -> Command {
    let directory = Arg::new("dir").value_name("DIR").required(true).value_parser(value_parser!(PathBuf));
    Command::new(name).about(about).arg(directory)
}

fn number(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("N").value_parser(value_parser!(u64)).default_value(default)
}
