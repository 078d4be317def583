//! The command line.

use clap::{value_parser, Arg, ArgAction, Command};
use std::path::PathBuf;

/// All commands with their arguments.
pub fn arguments() -> Command {
    Command::new("cypresscleat-store")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Looks after a store: exit 0 where all is well, 3 on damage, 2 on anything else")
        .subcommand_required(true)
        .subcommand(command("verify", "Read every record that counts; tell all damage"))
        .subcommand(command("stats", "Keys, segments, bytes"))
        .subcommand(
            command("dump", "A line KEY<TAB>VALUE for each key, in order; bytes that are no text as \\xNN")
                .arg(
                    Arg::new("salvage")
                        .long("salvage")
                        .action(ArgAction::SetTrue)
                        .help("What can be read of a damaged one"),
                ),
        )
        .subcommand(command("compact", "Compact all that is sealed"))
        .subcommand(
            command("export", "Billing rows, oldest first; safe to run twice, as rows carry ids")
                .arg(number("since", "0").help("Unix milliseconds")),
        )
        .subcommand(
            command("fill", "Write by seed; each key is printed once it is acknowledged")
                .arg(number("writes", "1000"))
                .arg(number("seed", "1"))
                .arg(number("group", "1").help("Writes for each commit")),
        )
        .subcommand(
            command(
                "measure",
                "Appends a second and their latency by durability, beside a plain file; recovery; compaction",
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
