//! The lab's command line.

use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use cypresscleat_experiments::{index, owners, pools, relays, rollout, scale, tier};
use indicatif::{ProgressBar, ProgressStyle};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

/// Counts bytes, so that `scale` can tell what a table takes.
#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Plays and times what was asked for; the progress goes to stderr, so that tables can be piped on.
fn scales(words: &ArgMatches) -> Result<(), String> {
    let sizes = words.get_many::<u64>("sizes").map(|sizes| sizes.copied().collect());
    let asked = scale::Asked {
        role: words.get_one::<String>("role").cloned(),
        sizes,
        seed: words.get_one::<u64>("seed").copied().unwrap_or(1),
    };
    let bar = ProgressBar::new_spinner();
    if let Ok(style) = ProgressStyle::with_template("{spinner} {elapsed} {wide_msg}") {
        bar.set_style(style);
    }
    let began = Instant::now();
    let report = scale::run(&asked, &mut |what| {
        bar.set_message(what.to_string());
        bar.tick();
        // Where nobody watches a bar, each step is a line.
        if bar.is_hidden() {
            eprintln!("{:6.1} s  {what}", began.elapsed().as_secs_f64());
        }
    });
    bar.finish_and_clear();
    let report = report?;
    let file = words.get_one::<PathBuf>("json");
    if let Some(path) = file {
        let text = serde_json::to_string_pretty(&report).map_err(|error| error.to_string())?;
        std::fs::write(path, text + "\n").map_err(|error| format!("{}: {error}", path.display()))?;
    }
    if words.get_flag("table") || file.is_none() {
        print!("{}", scale::table::table(&report));
    }
    Ok(())
}

fn main() -> ExitCode {
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).value_parser(value_parser!(u64).range(1..=10_000)).default_value(default)
    };
    let path = |name: &'static str| {
        Arg::new(name).long(name).value_name("FILE").value_parser(value_parser!(PathBuf))
    };
    let words = Command::new("cypresscleat-experiments")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Designs tried on a model of the deployment, in simulated time")
        .subcommand_required(true)
        .subcommand(
            Command::new("pools")
                .about("Pools of operations at overload: each limiter, fixed splits, and no pools")
                .arg(number("seeds", "20"))
                .arg(number("seconds", "120").help("Length of a day, simulated"))
                .arg(path("json").help("Write the figures there; a table without"))
                .arg(path("plot").help("Draw limits and latencies over one day there, as SVG")),
        )
        .subcommand(
            Command::new("index")
                .about("The draw's index beside a copied vector, at 10 to 10,000 held; real times here"),
        )
        .subcommand(
            Command::new("tier")
                .about("Ways to know who is here, simulated; a forwarder's table beside a plain scan, real times here")
                .arg(number("most", "1000").help("Members at the most")),
        )
        .subcommand(
            Command::new("owners")
                .about("Duties with one owner: time without one, messages and writes at rest, simulated")
                .arg(number("seeds", "100")),
        )
        .subcommand(
            Command::new("rollout")
                .about("A change of policy at size, beside two plain ways to make one, simulated")
                .arg(number("seeds", "20"))
                .arg(number("most", "10000").help("Members at the most")),
        )
        .subcommand(
            Command::new("scale")
                .about("What each role costs at which size, lines through it, and whether the size to design for fits")
                .arg(
                    Arg::new("role")
                        .long("role")
                        .value_name("R")
                        .value_parser(scale::ROLES)
                        .help("Its figures alone; all without"),
                )
                .arg(
                    Arg::new("sizes")
                        .long("sizes")
                        .value_name("A,B,C")
                        .value_delimiter(',')
                        .value_parser(value_parser!(u64).range(1..=10_000_000))
                        .help("In place of each part's own; a line needs four over a factor of 30"),
                )
                .arg(Arg::new("seed").long("seed").value_parser(value_parser!(u64)).default_value("1"))
                .arg(path("json").help("Write rows and fits there"))
                .arg(
                    Arg::new("table")
                        .long("table")
                        .action(ArgAction::SetTrue)
                        .help("Print the tables of docs/CAPACITY.md; the default without --json"),
                ),
        )
        .subcommand(
            Command::new("relays")
                .about("A change of policy through relays by zone, beside all members at the keepers, simulated")
                .arg(number("seeds", "3"))
                .arg(number("most", "5800").help("Members at the most")),
        )
        .get_matches();
    let words = match words.subcommand() {
        Some(("pools", words)) => words,
        Some(("owners", words)) => {
            print!("{}", owners::table(words.get_one::<u64>("seeds").copied().unwrap_or(1)));
            return ExitCode::SUCCESS;
        }
        Some(("rollout", words)) => {
            let number = |name: &str| words.get_one::<u64>(name).copied().unwrap_or(1);
            print!("{}", rollout::table(number("seeds"), number("most") as usize));
            return ExitCode::SUCCESS;
        }
        Some(("scale", words)) => {
            if let Err(error) = scales(words) {
                eprintln!("cypresscleat-experiments: {error}");
                return ExitCode::FAILURE;
            }
            return ExitCode::SUCCESS;
        }
        Some(("relays", words)) => {
            let number = |name: &str| words.get_one::<u64>(name).copied().unwrap_or(1);
            relays::table(number("seeds"), number("most") as usize);
            return ExitCode::SUCCESS;
        }
        Some(("tier", words)) => {
            print!("{}", tier::table(words.get_one::<u64>("most").copied().unwrap_or(10) as usize));
            return ExitCode::SUCCESS;
        }
        _ => {
            print!("{}", index::table());
            return ExitCode::SUCCESS;
        }
    };
    let number = |name: &str| words.get_one::<u64>(name).copied().unwrap_or(1);
    let report = pools::compare(number("seeds"), number("seconds"));
    let written = match words.get_one::<PathBuf>("json") {
        Some(path) => serde_json::to_string_pretty(&report)
            .map_err(std::io::Error::from)
            .and_then(|text| std::fs::write(path, text + "\n")),
        None => {
            print!("{}", pools::table(&report));
            Ok(())
        }
    };
    let drawn = words.get_one::<PathBuf>("plot").map_or(Ok(()), |path| pools::plot(path, number("seconds")));
    if let Err(error) = written.map_err(|error| error.to_string()).and(drawn) {
        eprintln!("cypresscleat-experiments: {error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
