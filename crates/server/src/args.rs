//! Parses the command line.

use crate::leases::owners_command::OwnersCommand;
use crate::leases::Subcommand;
use crate::rollout::policy_command::{PolicyAction as Policy, PolicyArgs};
use clap::{Arg, ArgMatches, Command};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The program mode that the command line selects.
#[derive(Clone, Debug, PartialEq)]
pub enum Mode {
    Serve {
        operator_file: Option<PathBuf>,
    },
    /// Accept client connections and forward requests to workers.
    Forward {
        operator_file: PathBuf,
    },
    /// Assign shares of the workers to the forwarders.
    Plan {
        operator_file: PathBuf,
    },
    Check {
        operator_file: PathBuf,
        show: bool,
    },
    /// Check, propose or show policy changes.
    Policy {
        operator_file: PathBuf,
        args: PolicyArgs,
    },
    /// Relay between the control replicas and the members of a zone, under this name.
    Relay {
        operator_file: PathBuf,
        name: String,
    },
    /// A subcommand that works with leases on tasks, for the instance of this name.
    Leases {
        operator_file: PathBuf,
        name: String,
        subcommand: Subcommand,
    },
}

/// The command-line interface. Subcommands keep their names of earlier versions as aliases.
fn command() -> Command {
    let operator = Arg::new("operator")
        .long("operator")
        .value_name("FILE")
        .value_parser(clap::value_parser!(PathBuf))
        .help("Path of the operator's file; docs/ops/operator.md describes it");
    let show = Arg::new("show")
        .long("show")
        .action(clap::ArgAction::SetTrue)
        .help("Print the resulting configuration, defaults included");
    let name = Arg::new("name")
        .long("name")
        .value_name("NAME")
        .env("EDGE_NAME")
        .default_value("")
        .help("Name of this instance");
    let task =
        |name: &'static str, help: &'static str| Arg::new(name).long(name).value_name("DUTY").help(help);
    Command::new("cypresscleat-server")
        .version(env!("CARGO_PKG_VERSION"))
        .about("An app server that decides which requests it admits, runs and rejects")
        .after_help(
            "EDGE_CONFIG is the path of the platform's configuration, a JSON file; EDGE_NAME and EDGE_LISTEN replace\n\
             its keys name and listen where they are missing. SIGHUP reloads both files, SIGUSR1 prints the counters,\n\
             SIGTERM drains the server.",
        )
        .arg(operator.clone())
        .subcommand(Command::new("serve").about("Serve requests; the default without a subcommand").arg(operator.clone()))
        .subcommand(
            Command::new("forward")
                .about("Accept client connections and forward requests to workers; needs tier in the operator's file")
                .arg(operator.clone().required(true)),
        )
        .subcommand(
            Command::new("plan")
                .about("Assign shares of the workers to forwarders; needs tier in the operator's file")
                .arg(operator.clone().required(true)),
        )
        .subcommand(
            Command::new("control")
                .visible_alias("keep")
                .about("Run a control replica, which stores task ownership and the active policy; needs keepers in the operator's file")
                .args([operator.clone().required(true), name.clone()]),
        )
        .subcommand(
            Command::new("relay")
                .about("Relay between the control replicas and the members of a zone; needs keepers and relay in the operator's file")
                .args([operator.clone().required(true), name.clone()]),
        )
        .subcommand(
            Command::new("counter-demo")
                .visible_alias("tally")
                .about("Demo task: own partitions of a counter and write to a ledger; needs keepers and tally in the operator's file")
                .args([operator.clone().required(true), name.clone()]),
        )
        .subcommand(
            Command::new("reconcile")
                .visible_alias("settle")
                .about("Report requests that stopped instances left unanswered to a ledger; needs keepers and settle in the operator's file")
                .args([operator.clone().required(true), name.clone()]),
        )
        .subcommand(
            Command::new("usage-report")
                .visible_alias("sums")
                .about("Report the hourly usage billed by instances to a ledger; needs keepers and sums in the operator's file")
                .args([operator.clone().required(true), name.clone()]),
        )
        .subcommand(
            Command::new("owners")
                .about("Show the owner of each task partition; exit code 0, 2 for an invalid file, 4 without a quorum")
                .args([operator.clone().required(true), name])
                .arg(Arg::new("json").long("json").action(clap::ArgAction::SetTrue).help("Print one line of JSON for each partition"))
                .arg(task("release", "Revoke the partitions of a task from their owners; they are assigned again"))
                .arg(task("bar", "Exclude an instance from a task").requires("instance"))
                .arg(task("unbar", "End the exclusion of an instance from a task").requires("instance"))
                .arg(Arg::new("instance").long("instance").value_name("NAME"))
                .group(clap::ArgGroup::new("word").args(["release", "bar", "unbar"])),
        )
        .subcommand(
            Command::new("policy")
                .about("Check, change and show the fleet-wide policy; exit code 0, 2 for an invalid document, 3 aborted, 4 without a quorum, 5 undecided")
                .arg(
                    Arg::new("what")
                        .required(true)
                        .value_parser(["check", "propose", "status", "history", "show", "undo", "forget"]),
                )
                .arg(operator.clone().required(true))
                .arg(Arg::new("text").long("text").value_name("FILE").value_parser(clap::value_parser!(PathBuf)).help("Policy document, for check and propose"))
                .arg(Arg::new("why").long("why").value_name("WORDS").default_value(""))
                .arg(Arg::new("by").long("by").value_name("NAME").env("USER").default_value("operator"))
                .arg(Arg::new("version").long("version").value_name("N").value_parser(clap::value_parser!(u64)))
                .arg(Arg::new("from").long("from").value_name("N").value_parser(clap::value_parser!(u64)).help("Version that the document is based on; default: the active version"))
                .arg(Arg::new("instance").long("instance").value_name("NAME"))
                .arg(Arg::new("relay").long("relay").value_name("ADDRESS").value_parser(clap::value_parser!(SocketAddr)).help("With status: show the members of the relay at this address"))
                .arg(Arg::new("wait").long("wait").value_name("SECONDS").value_parser(clap::value_parser!(u64).range(0..=3600)).default_value("60"))
                .arg(Arg::new("json").long("json").action(clap::ArgAction::SetTrue)),
        )
        .subcommand(
            Command::new("check")
                .about("Check the operator's file; exit code 0 if it is valid, 2 with all its errors")
                .arg(operator.required(true))
                .arg(show),
        )
}

/// Parses the arguments. `Err` holds the text to print and the exit code, also for help and version.
pub fn parse(args: impl IntoIterator<Item = std::ffi::OsString>) -> Result<Mode, (String, u8)> {
    let exit = |error: clap::Error| (error.render().to_string(), error.exit_code() as u8);
    let matches = command().try_get_matches_from(args).map_err(exit)?;
    let operator_file = |matches: &ArgMatches| matches.get_one::<PathBuf>("operator").cloned();
    Ok(match matches.subcommand() {
        Some(("check", sub_matches)) => Mode::Check {
            operator_file: operator_file(sub_matches).unwrap_or_default(),
            show: sub_matches.get_flag("show"),
        },
        Some(("policy", sub_matches)) => {
            let text = |name: &str| sub_matches.get_one::<String>(name).cloned().unwrap_or_default();
            let action = match text("what").as_str() {
                "check" => Policy::Check,
                "propose" => Policy::Propose,
                "history" => Policy::History,
                "show" => Policy::Show,
                "undo" => Policy::Undo,
                "forget" => Policy::Forget,
                _ => Policy::Status,
            };
            let args = PolicyArgs {
                action,
                file: sub_matches.get_one::<PathBuf>("text").cloned(),
                why: text("why"),
                by: text("by"),
                version: sub_matches.get_one::<u64>("version").copied(),
                parent: sub_matches.get_one::<u64>("from").copied(),
                instance: text("instance"),
                wait_s: sub_matches.get_one::<u64>("wait").copied().unwrap_or(60),
                relay: sub_matches.get_one::<SocketAddr>("relay").copied(),
                json: sub_matches.get_flag("json"),
            };
            Mode::Policy { operator_file: operator_file(sub_matches).unwrap_or_default(), args }
        }
        Some(("relay", sub_matches)) => Mode::Relay {
            operator_file: operator_file(sub_matches).unwrap_or_default(),
            name: sub_matches.get_one::<String>("name").cloned().unwrap_or_default(),
        },
        Some(("forward", sub_matches)) => {
            Mode::Forward { operator_file: operator_file(sub_matches).unwrap_or_default() }
        }
        Some(("plan", sub_matches)) => {
            Mode::Plan { operator_file: operator_file(sub_matches).unwrap_or_default() }
        }
        Some((
            subcommand @ ("control" | "counter-demo" | "reconcile" | "usage-report" | "owners"),
            sub_matches,
        )) => {
            let text = |name: &str| sub_matches.get_one::<String>(name).cloned();
            let exclude = |task: Option<String>, excluded: bool| {
                let instance = text("instance").unwrap_or_default();
                task.map(|task| OwnersCommand::Exclude { task, instance, excluded })
            };
            let subcommand = match subcommand {
                "control" => Subcommand::ControlReplica,
                "counter-demo" => Subcommand::CounterDemo,
                "reconcile" => Subcommand::Reconcile,
                "usage-report" => Subcommand::UsageReport,
                _ => {
                    let release = text("release").map(|task| OwnersCommand::Release { task });
                    let action = release.or(exclude(text("bar"), true)).or(exclude(text("unbar"), false));
                    Subcommand::Owners(
                        action.unwrap_or(OwnersCommand::List { json: sub_matches.get_flag("json") }),
                    )
                }
            };
            let name = text("name").unwrap_or_default();
            Mode::Leases { operator_file: operator_file(sub_matches).unwrap_or_default(), name, subcommand }
        }
        Some((_, sub_matches)) => {
            Mode::Serve { operator_file: operator_file(sub_matches).or(operator_file(&matches)) }
        }
        None => Mode::Serve { operator_file: operator_file(&matches) },
    })
}
