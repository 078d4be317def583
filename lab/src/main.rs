//! The lab's command line.

use clap::{value_parser, Arg, Command};
use cypresscleat_lab::{index, owners, pools, relays, rollout, tier};
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).value_parser(value_parser!(u64).range(1..=10_000)).default_value(default)
    };
    let path = |name: &'static str| {
        Arg::new(name).long(name).value_name("FILE").value_parser(value_parser!(PathBuf))
    };
    let words = Command::new("cypresscleat-lab")
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
        eprintln!("cypresscleat-lab: {error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
