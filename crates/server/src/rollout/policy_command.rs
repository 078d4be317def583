//! The command `policy`: checks a document, proposes it and waits for the decision; shows the status, the history and a version; reverts to
//! a former version, which is a change like any other.

use crate::leases::wire::{ControlMessage, LeaderClient, ResponseKind};
use crate::operator::{self, OperatorConfig};
use crate::rollout::parse_policy;
use cypresscleat_rollout::messages::{MemberStatus, Request, Response, Verdict};
use cypresscleat_rollout::state::{Outcome, Stage, Version};
use cypresscleat_rollout::{node_id, truncate, MemberKey, MAX_NAME_BYTES, MAX_REASON_BYTES};
use serde_json::{json, Value};
use std::io::{self, IsTerminal, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// The action of the command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyAction {
    Check,
    Propose,
    Status,
    History,
    Show,
    Undo,
    Forget,
}

/// The arguments of the command.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyArgs {
    pub action: PolicyAction,
    /// File with the policy document.
    pub file: Option<PathBuf>,
    pub why: String,
    pub by: String,
    pub version: Option<u64>,
    pub parent: Option<u64>,
    pub instance: String,
    /// Maximum time to wait for a decision, in seconds.
    pub wait_s: u64,
    /// Address of a relay that is queried for the status in place of the control replicas.
    pub relay: Option<SocketAddr>,
    pub json: bool,
}

/// Exit codes.
const EXIT_SUCCESS: u8 = 0;
const EXIT_BAD_INPUT: u8 = 2;
const EXIT_ABORTED: u8 = 3;
const EXIT_NO_QUORUM: u8 = 4;
const EXIT_UNDECIDED: u8 = 5;
/// Interval between queries for a decision.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A failure of the command: its exit code and message.
type Failure = (u8, String);

fn no_quorum() -> Failure {
    (EXIT_NO_QUORUM, "no quorum of keepers answers".into())
}

pub fn start(path: &Path, args: &PolicyArgs) -> ExitCode {
    let result = operator::read(path, None).map_err(|wrong| (EXIT_BAD_INPUT, wrong.rendered)).and_then(
        |(operator, _)| {
            let outcome = run(&operator, args).map_err(|error| (1, error.to_string()));
            outcome.and_then(|outcome| outcome)
        },
    );
    let code = match result {
        Ok(output) => {
            let _ = io::stdout().write_all(output.as_bytes());
            EXIT_SUCCESS
        }
        Err((code, message)) if args.json => {
            let number =
                message.strip_prefix("policy ").and_then(|rest| rest.split(' ').next()?.parse::<u64>().ok());
            println!("{}", json!({"error": message, "code": code, "version": number}));
            code
        }
        Err((code, message)) => {
            let _ = writeln!(io::stderr(), "{}", message.trim_end());
            code
        }
    };
    ExitCode::from(code)
}

fn run(operator: &OperatorConfig, args: &PolicyArgs) -> io::Result<Result<String, Failure>> {
    if args.action == PolicyAction::Check {
        return Ok(read_version(args).map(|(_, version)| format!("good, {:016x}\n", version.hash)));
    }
    if let Some(relay) = args.relay {
        if args.action != PolicyAction::Status {
            return Ok(Err((EXIT_BAD_INPUT, "--relay goes with status only".into())));
        }
        let found = fetch_status(&mut LeaderClient::at_address(relay)?)?;
        let no_relay = || (EXIT_NO_QUORUM, format!("no relay answers at {relay}"));
        return Ok(found.map(|status| status.format(args.json)).ok_or_else(no_relay));
    }
    let Some(keepers) = &operator.control_replicas else {
        return Ok(Err((EXIT_BAD_INPUT, "no keepers in the operator's file".into())));
    };
    let mut asker = LeaderClient::new(keepers)?;
    match args.action {
        PolicyAction::Check => Ok(Ok(String::new())),
        PolicyAction::Propose => match read_version(args) {
            Ok((_, version)) => propose(&mut asker, version, args),
            Err(failure) => Ok(Err(failure)),
        },
        PolicyAction::Undo => revert(&mut asker, args),
        PolicyAction::Status => fetch_status(&mut asker)
            .map(|found| found.map(|status| status.format(args.json)).ok_or_else(no_quorum)),
        PolicyAction::History => history(&mut asker, args),
        PolicyAction::Show => {
            let number = match args.version {
                Some(number) => number,
                None => match fetch_status(&mut asker)? {
                    Some(status) => status.active_version,
                    None => return Ok(Err(no_quorum())),
                },
            };
            Ok(match fetch_version(&mut asker, number)? {
                None => Err(no_quorum()),
                Some(None) => {
                    Err((EXIT_BAD_INPUT, format!("there is no version {number}, or it is no longer known")))
                }
                Some(Some(version)) if args.json => Ok(format!("{}\n", version_json(&version, true))),
                Some(Some(version)) => Ok(format!("{}\n{}", format_header(&version), version.document)),
            })
        }
        PolicyAction::Forget => {
            if args.instance.is_empty() {
                return Ok(Err((EXIT_BAD_INPUT, "--instance is required".into())));
            }
            let request = Request::Forget { number: next_request_number(), member: node_id(&args.instance) };
            let done = send_request(&mut asker, request, |answer| {
                matches!(answer, Response::Done { .. }).then_some(())
            })?;
            Ok(done.map(|()| "decided\n".into()).ok_or_else(no_quorum))
        }
    }
}

/// Returns a new request number. Responses repeat the number, so that a late response to an earlier request is not mistaken for the
/// current one.
fn next_request_number() -> u32 {
    use std::sync::atomic::{AtomicU32, Ordering};
    static NEXT: AtomicU32 = AtomicU32::new(1);
    (std::process::id() << 8) ^ NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Sends a request to the leader. `read_response` extracts the result from a matching response.
fn send_request<T>(
    asker: &mut LeaderClient,
    request: Request,
    read_response: impl Fn(Response) -> Option<T>,
) -> io::Result<Option<T>> {
    asker.restart_timeout();
    asker.request(&ControlMessage::RolloutRequest(request), |wire| match wire {
        ControlMessage::RolloutResponse { response: Response::NotLeader { leader }, .. } => {
            ResponseKind::NotLeader(leader)
        }
        ControlMessage::RolloutResponse { response, .. } => {
            read_response(response).map_or(ResponseKind::Unrelated, ResponseKind::Matching)
        }
        _ => ResponseKind::Unrelated,
    })
}

/// Reads and checks the document file and returns its name and the version to propose. The checks need no settings of an instance.
fn read_version(args: &PolicyArgs) -> Result<(String, Version), Failure> {
    let Some(path) = &args.file else {
        return Err((EXIT_BAD_INPUT, "--text names the file of the policy".into()));
    };
    let name = path.display().to_string();
    let content =
        std::fs::read_to_string(path).map_err(|error| (EXIT_BAD_INPUT, format!("{name}: {error}")))?;
    let policy = parse_policy(&name, &content, None).map_err(|wrong| (EXIT_BAD_INPUT, wrong.rendered))?;
    let version = Version {
        hash: policy.hash,
        by: truncate(&args.by, MAX_NAME_BYTES),
        at_ms: (crate::clock::unix_time() / 10) as u64,
        why: truncate(&args.why, MAX_REASON_BYTES),
        rules: policy.rules,
        document: content,
        ..Version::default()
    };
    Ok((name, version))
}

/// The status of the rollout.
struct RolloutStatus {
    active_version: u64,
    change: Option<(u64, Stage)>,
    members: Vec<MemberStatus>,
}

impl RolloutStatus {
    fn format(&self, as_json: bool) -> String {
        let verdict = |member: &MemberStatus| match &member.verdict {
            None => "-".to_string(),
            Some(Verdict::Prepared) => "good".into(),
            Some(Verdict::Refused(why)) => format!("refused: {why}"),
        };
        let stage = |stage: Stage| if stage == Stage::Preparing { "asked" } else { "closing" };
        if as_json {
            let members: Vec<Value> = self.members.iter().map(|member| {
                json!({"member": member.name, "version": member.active, "verdict": verdict(member), "stopped": member.paused,
                    "silent_ms": (member.silent >= 0).then_some(member.silent as f64 / 10.0)})
            }).collect();
            let change = self.change.map(|(number, at)| json!({"version": number, "stage": stage(at)}));
            return format!(
                "{}\n",
                json!({"in_force": self.active_version, "change": change, "members": members})
            );
        }
        let mut output = format!("policy {} is in force", self.active_version);
        if let Some((number, at)) = self.change {
            let prepared =
                self.members.iter().filter(|member| member.verdict == Some(Verdict::Prepared)).count();
            output += &format!(
                "; {number} is {}: {prepared} of {} members have prepared it",
                stage(at),
                self.members.len()
            );
        }
        output += "\n";
        for member in &self.members {
            let last_contact =
                if member.silent < 0 { "-".into() } else { format!("{} ms ago", member.silent / 10) };
            output += &format!(
                "{}: policy {}, last contact {last_contact}, verdict on the change: {}\n",
                member.name,
                member.active,
                verdict(member)
            );
        }
        output
    }
}

fn fetch_status(asker: &mut LeaderClient) -> io::Result<Option<RolloutStatus>> {
    let (mut from, mut all): (MemberKey, Vec<MemberStatus>) = ((0, 0), Vec::new());
    loop {
        let number = next_request_number();
        let response =
            send_request(asker, Request::Status { number, from }, |answer| match answer {
                Response::Status {
                    number: received, active: active_version, change, lines, more, ..
                } if received == number => Some((active_version, change, lines, more)),
                _ => None,
            })?;
        let Some((active_version, change, lines, more)) = response else { return Ok(None) };
        let last = lines.last().map(|line| line.key);
        all.extend(lines);
        match last.filter(|_| more) {
            Some(last) => from = (last.0, last.1.saturating_add(1)),
            None => return Ok(Some(RolloutStatus { active_version, change, members: all })),
        }
    }
}

fn fetch_version(asker: &mut LeaderClient, version: u64) -> io::Result<Option<Option<Box<Version>>>> {
    let number = next_request_number();
    send_request(asker, Request::FetchDocument { number, version }, |answer| match answer {
        Response::Document { number: received, version } if received == number => Some(version),
        _ => None,
    })
}

fn fetch_history(
    asker: &mut LeaderClient,
) -> io::Result<Option<(Vec<Version>, Vec<cypresscleat_rollout::state::AbortedChange>)>> {
    let number = next_request_number();
    send_request(asker, Request::History { number }, |answer| match answer {
        Response::History { number: received, committed: versions, aborted: changes }
            if received == number =>
        {
            Some((versions, changes))
        }
        _ => None,
    })
}

fn format_header(version: &Version) -> String {
    let undoes = if version.undoes { ", by the watch" } else { "" };
    format!(
        "// policy {} from {}, {:016x}, by {} at {} ms{undoes}: {}",
        version.number, version.parent, version.hash, version.by, version.at_ms, version.why
    )
}

fn version_json(version: &Version, with_document: bool) -> Value {
    let mut all = json!({"version": version.number, "from": version.parent, "hash": format!("{:016x}", version.hash),
        "by": version.by, "at_ms": version.at_ms, "why": version.why, "undoes": version.undoes});
    if with_document {
        all["text"] = json!(version.document);
    }
    all
}

fn history(asker: &mut LeaderClient, args: &PolicyArgs) -> io::Result<Result<String, Failure>> {
    let Some((committed, aborted)) = fetch_history(asker)? else { return Ok(Err(no_quorum())) };
    let mut all: Vec<(u64, String)> = Vec::new();
    for (at, version) in committed.iter().enumerate().filter(|(_, version)| version.number > 0) {
        let state = if at == 0 { "in force" } else { "taken" };
        let line = match args.json {
            true => {
                json!({"taken": true, "in_force": at == 0, "of": version_json(version, false)}).to_string()
            }
            false => format!("{state}  {}", format_header(version).trim_start_matches("// ")),
        };
        all.push((version.number, line));
    }
    for change in aborted {
        let line = match args.json {
            true => {
                json!({"taken": false, "version": change.number, "by": change.by, "reason": change.reason})
                    .to_string()
            }
            false => format!("dropped  policy {} by {}: {}", change.number, change.by, change.reason),
        };
        all.push((change.number, line));
    }
    all.sort_by_key(|entry| entry.0);
    Ok(Ok(all.into_iter().map(|(_, line)| line + "\n").collect()))
}

/// Returns the lines that differ, marked with `-` and `+`.
fn line_diff(old: &str, new: &str) -> String {
    let (old, new): (Vec<&str>, Vec<&str>) = (old.lines().collect(), new.lines().collect());
    // Longest common subsequence of the lines. Its quadratic cost is acceptable as documents are short.
    let mut common = vec![vec![0u16; new.len() + 1]; old.len() + 1];
    for a in (0..old.len()).rev() {
        for b in (0..new.len()).rev() {
            common[a][b] = match old[a] == new[b] {
                true => common[a + 1][b + 1] + 1,
                false => common[a + 1][b].max(common[a][b + 1]),
            };
        }
    }
    let (mut a, mut b, mut diff) = (0, 0, String::new());
    while a < old.len() || b < new.len() {
        if a < old.len() && b < new.len() && old[a] == new[b] {
            (a, b) = (a + 1, b + 1);
        } else if b < new.len() && (a == old.len() || common[a][b + 1] >= common[a + 1][b]) {
            diff += &format!("+ {}\n", new[b]);
            b += 1;
        } else {
            diff += &format!("- {}\n", old[a]);
            a += 1;
        }
    }
    diff
}

fn revert(asker: &mut LeaderClient, args: &PolicyArgs) -> io::Result<Result<String, Failure>> {
    let Some(status) = fetch_status(asker)? else { return Ok(Err(no_quorum())) };
    let Some(Some(active)) = fetch_version(asker, status.active_version)? else {
        return Ok(Err(no_quorum()));
    };
    let target = args.version.unwrap_or(active.parent);
    let Some(old) = fetch_version(asker, target)? else { return Ok(Err(no_quorum())) };
    let Some(old) = old.filter(|_| active.number != 0) else {
        return Ok(Err((EXIT_BAD_INPUT, format!("there is no version {target} to revert to"))));
    };
    let why = if args.why.is_empty() { format!("back to {target}") } else { args.why.clone() };
    let version = Version {
        parent: status.active_version,
        by: truncate(&args.by, MAX_NAME_BYTES),
        at_ms: (crate::clock::unix_time() / 10) as u64,
        why: truncate(&why, MAX_REASON_BYTES),
        undoes: false,
        ..*old
    };
    propose_and_wait(asker, version, args)
}

fn propose(
    asker: &mut LeaderClient,
    mut version: Version,
    args: &PolicyArgs,
) -> io::Result<Result<String, Failure>> {
    version.parent = match args.parent {
        Some(from) => from,
        None => match fetch_status(asker)? {
            Some(status) => status.active_version,
            None => return Ok(Err(no_quorum())),
        },
    };
    propose_and_wait(asker, version, args)
}

/// Proposes a version and waits until it is decided.
fn propose_and_wait(
    asker: &mut LeaderClient,
    version: Version,
    args: &PolicyArgs,
) -> io::Result<Result<String, Failure>> {
    let request_number = next_request_number();
    let request = Request::Propose { number: request_number, version: version.clone() };
    let outcome = send_request(asker, request, |answer| match answer {
        Response::Proposed { number: received, outcome } if received == request_number => Some(outcome),
        _ => None,
    })?;
    let number = match outcome {
        None => return Ok(Err(no_quorum())),
        Some(Outcome::Proposed(number)) => number,
        Some(Outcome::Stale { active: active_version }) => {
            let parent =
                fetch_version(asker, version.parent)?.flatten().map(|old| old.document).unwrap_or_default();
            let current =
                fetch_version(asker, active_version)?.flatten().map(|old| old.document).unwrap_or_default();
            let diff = line_diff(&parent, &current);
            return Ok(Err((
                EXIT_ABORTED,
                format!(
                    "made from {}, and {active_version} is in force. What changed since:\n{diff}",
                    version.parent
                ),
            )));
        }
        Some(Outcome::Busy { number }) => {
            return Ok(Err((
                EXIT_ABORTED,
                format!("change {number} is under way: try again once it is decided"),
            )))
        }
        Some(_) => {
            return Ok(Err((
                EXIT_BAD_INPUT,
                "a limit is exceeded: a document may have 16 KiB at most".into(),
            )))
        }
    };
    let until = Instant::now() + Duration::from_secs(args.wait_s);
    let is_interactive = io::stderr().is_terminal() && !args.json;
    loop {
        let Some((committed, aborted)) = fetch_history(asker)? else { return Ok(Err(no_quorum())) };
        if committed.iter().any(|version| version.number == number) {
            let output = match args.json {
                true => format!("{}\n", json!({"version": number, "taken": true})),
                false => format!("policy {number} is in force\n"),
            };
            return Ok(Ok(output));
        }
        if let Some(change) = aborted.iter().find(|change| change.number == number) {
            return Ok(Err((EXIT_ABORTED, format!("policy {number} was dropped: {}", change.reason))));
        }
        if Instant::now() >= until {
            return Ok(Err((
                EXIT_UNDECIDED,
                format!("policy {number} is not decided yet; see policy status"),
            )));
        }
        if let Some(status) = fetch_status(asker)?.filter(|_| is_interactive) {
            let prepared =
                status.members.iter().filter(|member| member.verdict == Some(Verdict::Prepared)).count();
            let _ = write!(
                io::stderr(),
                "\rpolicy {number}: {prepared} of {} members have prepared it ",
                status.members.len()
            );
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
