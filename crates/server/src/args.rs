//! The command line.

use crate::leases::owners_command::OwnersCommand;
use crate::leases::Subcommand;
use crate::rollout::policy_command::{PolicyAction as Policy, PolicyArgs};
use clap::{Arg, ArgMatches, Command};
use std::net::SocketAddr;
use std::path::PathBuf;

/// What the program is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Task {
    Serve {
        operator: Option<PathBuf>,
    },
    /// Hold the routers' connections, and send what is to be run to workers.
    Forward {
        operator: PathBuf,
    },
    /// Say who gets how much of which worker.
    Plan {
        operator: PathBuf,
    },
    Check {
        operator: PathBuf,
        show: bool,
    },
    /// A change of policy: asked, made, looked at.
    Policy {
        operator: PathBuf,
        words: PolicyArgs,
    },
    /// Stand between the keepers and a zone's members, under this name.
    Relay {
        operator: PathBuf,
        name: String,
    },
    /// Duties with one owner at a time, for the instance of this name.
    Owning {
        operator: PathBuf,
        name: String,
        job: Subcommand,
    },
}

/// Roles have the names of the field; those of earlier versions stay as aliases.
fn command() -> Command {
    let operator = Arg::new("operator")
        .long("operator")
        .value_name("FILE")
        .value_parser(clap::value_parser!(PathBuf))
        .help("The operator's file: typed records, see docs/ops/operator.md");
    let show = Arg::new("show")
        .long("show")
        .action(clap::ArgAction::SetTrue)
        .help("Print what holds, defaults included");
    let name = Arg::new("name")
        .long("name")
        .value_name("NAME")
        .env("EDGE_NAME")
        .default_value("")
        .help("The instance's name");
    let duty =
        |name: &'static str, help: &'static str| Arg::new(name).long(name).value_name("DUTY").help(help);
    Command::new("cypresscleat-server")
        .version(env!("CARGO_PKG_VERSION"))
        .about("An app server that decides what it takes, runs and turns away")
        .after_help(
            "EDGE_CONFIG names the platform's configuration, a JSON file; EDGE_NAME and EDGE_LISTEN stand in for\n\
             its keys name and listen. SIGHUP reads both files again, SIGUSR1 prints the counters, SIGTERM drains.",
        )
        .arg(operator.clone())
        .subcommand(Command::new("serve").about("Serve; what is done without a subcommand too").arg(operator.clone()))
        .subcommand(
            Command::new("forward")
                .about("Hold callers' connections and send what is to be run to workers; tier in the operator's file")
                .arg(operator.clone().required(true)),
        )
        .subcommand(
            Command::new("plan")
                .about("Say which forwarder gets how much of which worker; tier in the operator's file")
                .arg(operator.clone().required(true)),
        )
        .subcommand(
            Command::new("control")
                .visible_alias("keep")
                .about("Hold who owns which task and which policy is in force, with the other control replicas; keepers in the operator's file")
                .args([operator.clone().required(true), name.clone()]),
        )
        .subcommand(
            Command::new("relay")
                .about("Stand between the keepers and the members of a zone; keepers and relay in the operator's file")
                .args([operator.clone().required(true), name.clone()]),
        )
        .subcommand(
            Command::new("counter-demo")
                .visible_alias("tally")
                .about("Demo task: own partitions of a counter, and act on a ledger; keepers and tally in the operator's file")
                .args([operator.clone().required(true), name.clone()]),
        )
        .subcommand(
            Command::new("reconcile")
                .visible_alias("settle")
                .about("Report to a ledger what instances that are down left unanswered; keepers and settle in the operator's file")
                .args([operator.clone().required(true), name.clone()]),
        )
        .subcommand(
            Command::new("usage-report")
                .visible_alias("sums")
                .about("Report to a ledger what instances billed, by the hour; keepers and sums in the operator's file")
                .args([operator.clone().required(true), name.clone()]),
        )
        .subcommand(
            Command::new("owners")
                .about("Who owns which duty: exit 0, 2 for a bad file, 4 where no quorum answers")
                .args([operator.clone().required(true), name])
                .arg(Arg::new("json").long("json").action(clap::ArgAction::SetTrue).help("A line of JSON for each part"))
                .arg(duty("release", "Take the parts of a duty from whoever owns them; they are given anew"))
                .arg(duty("bar", "Keep an instance from a duty").requires("instance"))
                .arg(duty("unbar", "Keep it from the duty no longer").requires("instance"))
                .arg(Arg::new("instance").long("instance").value_name("NAME"))
                .group(clap::ArgGroup::new("word").args(["release", "bar", "unbar"])),
        )
        .subcommand(
            Command::new("policy")
                .about("A policy that is alike in the fleet: exit 0, 2 for a bad text, 3 dropped, 4 no quorum, 5 undecided yet")
                .arg(
                    Arg::new("what")
                        .required(true)
                        .value_parser(["check", "propose", "status", "history", "show", "undo", "forget"]),
                )
                .arg(operator.clone().required(true))
                .arg(Arg::new("text").long("text").value_name("FILE").value_parser(clap::value_parser!(PathBuf)).help("The policy, for check and propose"))
                .arg(Arg::new("why").long("why").value_name("WORDS").default_value(""))
                .arg(Arg::new("by").long("by").value_name("NAME").env("USER").default_value("operator"))
                .arg(Arg::new("version").long("version").value_name("N").value_parser(clap::value_parser!(u64)))
                .arg(Arg::new("from").long("from").value_name("N").value_parser(clap::value_parser!(u64)).help("The version it was made from; else the one in force"))
                .arg(Arg::new("instance").long("instance").value_name("NAME"))
                .arg(Arg::new("relay").long("relay").value_name("ADDRESS").value_parser(clap::value_parser!(SocketAddr)).help("With status: the members of the relay that hears there"))
                .arg(Arg::new("wait").long("wait").value_name("SECONDS").value_parser(clap::value_parser!(u64).range(0..=3600)).default_value("60"))
                .arg(Arg::new("json").long("json").action(clap::ArgAction::SetTrue)),
        )
        .subcommand(
            Command::new("check")
                .about("Check the operator's file: exit 0 where it is good, 2 with all its faults")
                .arg(operator.required(true))
                .arg(show),
        )
}

/// `Err` is what to print and the exit code: help and version too come so.
pub fn parse(words: impl IntoIterator<Item = std::ffi::OsString>) -> Result<Task, (String, u8)> {
    let told = |error: clap::Error| (error.render().to_string(), error.exit_code() as u8);
    let matches = command().try_get_matches_from(words).map_err(told)?;
    let operator = |matches: &ArgMatches| matches.get_one::<PathBuf>("operator").cloned();
    Ok(match matches.subcommand() {
        Some(("check", own)) => {
            Task::Check { operator: operator(own).unwrap_or_default(), show: own.get_flag("show") }
        }
        Some(("policy", own)) => {
            let text = |name: &str| own.get_one::<String>(name).cloned().unwrap_or_default();
            let action = match text("what").as_str() {
                "check" => Policy::Check,
                "propose" => Policy::Propose,
                "history" => Policy::History,
                "show" => Policy::Show,
                "undo" => Policy::Undo,
                "forget" => Policy::Forget,
                _ => Policy::Status,
            };
            let words = PolicyArgs {
                action,
                file: own.get_one::<PathBuf>("text").cloned(),
                why: text("why"),
                by: text("by"),
                version: own.get_one::<u64>("version").copied(),
                parent: own.get_one::<u64>("from").copied(),
                instance: text("instance"),
                wait_s: own.get_one::<u64>("wait").copied().unwrap_or(60),
                relay: own.get_one::<SocketAddr>("relay").copied(),
                json: own.get_flag("json"),
            };
            Task::Policy { operator: operator(own).unwrap_or_default(), words }
        }
        Some(("relay", own)) => Task::Relay {
            operator: operator(own).unwrap_or_default(),
            name: own.get_one::<String>("name").cloned().unwrap_or_default(),
        },
        Some(("forward", own)) => Task::Forward { operator: operator(own).unwrap_or_default() },
        Some(("plan", own)) => Task::Plan { operator: operator(own).unwrap_or_default() },
        Some((job @ ("control" | "counter-demo" | "reconcile" | "usage-report" | "owners"), own)) => {
            let text = |name: &str| own.get_one::<String>(name).cloned();
            let word = |task: Option<String>, excluded: bool| {
                let instance = text("instance").unwrap_or_default();
                task.map(|task| OwnersCommand::Exclude { task, instance, excluded })
            };
            let job = match job {
                "control" => Subcommand::ControlReplica,
                "counter-demo" => Subcommand::CounterDemo,
                "reconcile" => Subcommand::Reconcile,
                "usage-report" => Subcommand::UsageReport,
                _ => {
                    let release = text("release").map(|task| OwnersCommand::Release { task });
                    let word = release.or(word(text("bar"), true)).or(word(text("unbar"), false));
                    Subcommand::Owners(word.unwrap_or(OwnersCommand::List { json: own.get_flag("json") }))
                }
            };
            let name = text("name").unwrap_or_default();
            Task::Owning { operator: operator(own).unwrap_or_default(), name, job }
        }
        Some((_, own)) => Task::Serve { operator: operator(own).or(operator(&matches)) },
        None => Task::Serve { operator: operator(&matches) },
    })
}
