//! Command line of the experiments.

use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use cypresscleat_experiments::{index, owners, pools, relays, rollout, scale, tier};
use indicatif::{ProgressBar, ProgressStyle};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

/// Counts allocated bytes, so that `scale` can measure the memory of a table.
#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Runs the `scale` experiment. Progress goes to stderr, so that the tables on stdout can be piped.
fn run_scale(args: &ArgMatches) -> Result<(), String> {
    let sizes = args.get_many::<u64>("sizes").map(|sizes| sizes.copied().collect());
    let options = scale::ScaleOptions {
        role: args.get_one::<String>("role").cloned(),
        sizes,
        seed: args.get_one::<u64>("seed").copied().unwrap_or(1),
    };
    let bar = ProgressBar::new_spinner();
    if let Ok(style) = ProgressStyle::with_template("{spinner} {elapsed} {wide_msg}") {
        bar.set_style(style);
    }
    let started_at = Instant::now();
    let report = scale::run(&options, &mut |what| {
        bar.set_message(what.to_string());
        bar.tick();
        // Without a terminal for the progress bar, each step is printed as a line.
        if bar.is_hidden() {
            eprintln!("{:6.1} s  {what}", started_at.elapsed().as_secs_f64());
        }
    });
    bar.finish_and_clear();
    let report = report?;
    let file = args.get_one::<PathBuf>("json");
    if let Some(path) = file {
        let text = serde_json::to_string_pretty(&report).map_err(|error| error.to_string())?;
        std::fs::write(path, text + "\n").map_err(|error| format!("{}: {error}", path.display()))?;
    }
    if args.get_flag("table") || file.is_none() {
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
    let args = Command::new("cypresscleat-experiments")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Experiments with designs on a model of the deployment, in simulated time")
        .subcommand_required(true)
        .subcommand(
            Command::new("pools")
                .about("Pools of request classes under overload: each limiter, fixed splits, and no pools")
                .arg(number("seeds", "20"))
                .arg(number("seconds", "120").help("Length of the simulated workload"))
                .arg(path("json").help("Write the results as JSON to FILE; prints a table without this option"))
                .arg(path("plot").help("Plot limits and latencies over one workload to FILE, as SVG")),
        )
        .subcommand(
            Command::new("index")
                .about("The rank index compared with a copied vector, at 10 to 10,000 queued; real times on this machine"),
        )
        .subcommand(
            Command::new("tier")
                .about("Ways to track membership, simulated; a forwarder's load balancer compared with a plain scan, real times on this machine")
                .arg(number("most", "1000").help("Maximum number of members")),
        )
        .subcommand(
            Command::new("owners")
                .about("Tasks with one owner: time without an owner, messages and writes at rest, simulated")
                .arg(number("seeds", "100")),
        )
        .subcommand(
            Command::new("rollout")
                .about("A policy change by fleet size, compared with two plain ways to make a change, simulated")
                .arg(number("seeds", "20"))
                .arg(number("most", "10000").help("Maximum number of members")),
        )
        .subcommand(
            Command::new("scale")
                .about("The cost of each role by size, fitted lines, and whether the cost at the target size is within budget")
                .arg(
                    Arg::new("role")
                        .long("role")
                        .value_name("R")
                        .value_parser(scale::ROLES)
                        .help("Only measure this role; all roles without this option"),
                )
                .arg(
                    Arg::new("sizes")
                        .long("sizes")
                        .value_name("A,B,C")
                        .value_delimiter(',')
                        .value_parser(value_parser!(u64).range(1..=10_000_000))
                        .help("Sizes in place of each part's defaults; a line needs four over a factor of 30"),
                )
                .arg(Arg::new("seed").long("seed").value_parser(value_parser!(u64)).default_value("1"))
                .arg(path("json").help("Write rows and fits as JSON to FILE"))
                .arg(
                    Arg::new("table")
                        .long("table")
                        .action(ArgAction::SetTrue)
                        .help("Print the tables of docs/CAPACITY.md; this is the default without --json"),
                ),
        )
        .subcommand(
            Command::new("relays")
                .about("A policy change through relays by zone, compared with all members at the control replicas, simulated")
                .arg(number("seeds", "3"))
                .arg(number("most", "5800").help("Maximum number of members")),
        )
        .get_matches();
    let args = match args.subcommand() {
        Some(("pools", args)) => args,
        Some(("owners", args)) => {
            print!("{}", owners::table(args.get_one::<u64>("seeds").copied().unwrap_or(1)));
            return ExitCode::SUCCESS;
        }
        Some(("rollout", args)) => {
            let number = |name: &str| args.get_one::<u64>(name).copied().unwrap_or(1);
            print!("{}", rollout::table(number("seeds"), number("most") as usize));
            return ExitCode::SUCCESS;
        }
        Some(("scale", args)) => {
            if let Err(error) = run_scale(args) {
                eprintln!("cypresscleat-experiments: {error}");
                return ExitCode::FAILURE;
            }
            return ExitCode::SUCCESS;
        }
        Some(("relays", args)) => {
            let number = |name: &str| args.get_one::<u64>(name).copied().unwrap_or(1);
            relays::table(number("seeds"), number("most") as usize);
            return ExitCode::SUCCESS;
        }
        Some(("tier", args)) => {
            print!("{}", tier::table(args.get_one::<u64>("most").copied().unwrap_or(10) as usize));
            return ExitCode::SUCCESS;
        }
        _ => {
            print!("{}", index::table());
            return ExitCode::SUCCESS;
        }
    };
    let number = |name: &str| args.get_one::<u64>(name).copied().unwrap_or(1);
    let report = pools::compare(number("seeds"), number("seconds"));
    let written = match args.get_one::<PathBuf>("json") {
        Some(path) => serde_json::to_string_pretty(&report)
            .map_err(std::io::Error::from)
            .and_then(|text| std::fs::write(path, text + "\n")),
        None => {
            print!("{}", pools::table(&report));
            Ok(())
        }
    };
    let plotted = args.get_one::<PathBuf>("plot").map_or(Ok(()), |path| pools::plot(path, number("seconds")));
    if let Err(error) = written.map_err(|error| error.to_string()).and(plotted) {
        eprintln!("cypresscleat-experiments: {error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
