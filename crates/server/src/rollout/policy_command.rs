//! The command `policy`: a text checked, proposed and watched until it is decided; how all stands; what was; an undoing, which is a
//! change like any other.

use crate::leases::wire::{ControlMessage, LeaderClient, ResponseKind};
use crate::operator::{self, Operator};
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

#[derive(Clone, Debug, PartialEq)]
pub struct PolicyArgs {
    pub action: PolicyAction,
    pub file: Option<PathBuf>,
    pub why: String,
    pub by: String,
    pub version: Option<u64>,
    pub parent: Option<u64>,
    pub instance: String,
    /// Seconds for which a change is watched.
    pub wait_s: u64,
    /// How things stand at the relay that hears there, in place of the keepers.
    pub relay: Option<SocketAddr>,
    pub json: bool,
}

/// Exit codes.
const GOOD: u8 = 0;
const BAD: u8 = 2;
const DROPPED: u8 = 3;
const NO_QUORUM: u8 = 4;
const UNDECIDED: u8 = 5;
const LOOK: Duration = Duration::from_millis(100);

/// Why it ends: an exit code and a message.
type End = (u8, String);

fn none() -> End {
    (NO_QUORUM, "no quorum of keepers answers".into())
}

pub fn start(path: &Path, args: &PolicyArgs) -> ExitCode {
    let done = operator::read(path, None).map_err(|wrong| (BAD, wrong.shown)).and_then(|(operator, _)| {
        let found = run(&operator, args).map_err(|error| (1, error.to_string()));
        found.and_then(|found| found)
    });
    let code = match done {
        Ok(text) => {
            let _ = io::stdout().write_all(text.as_bytes());
            GOOD
        }
        Err((code, what)) if args.json => {
            let number =
                what.strip_prefix("policy ").and_then(|rest| rest.split(' ').next()?.parse::<u64>().ok());
            println!("{}", json!({"error": what, "code": code, "version": number}));
            code
        }
        Err((code, what)) => {
            let _ = writeln!(io::stderr(), "{}", what.trim_end());
            code
        }
    };
    ExitCode::from(code)
}

fn run(operator: &Operator, args: &PolicyArgs) -> io::Result<Result<String, End>> {
    if args.action == PolicyAction::Check {
        return Ok(text(args).map(|(_, version)| format!("good, {:016x}\n", version.hash)));
    }
    if let Some(relay) = args.relay {
        if args.action != PolicyAction::Status {
            return Ok(Err((BAD, "--relay goes with status only".into())));
        }
        let found = status(&mut LeaderClient::at_address(relay)?)?;
        let silent = || (NO_QUORUM, format!("no relay answers at {relay}"));
        return Ok(found.map(|found| found.shown(args.json)).ok_or_else(silent));
    }
    let Some(keepers) = &operator.keepers else {
        return Ok(Err((BAD, "no keepers in the operator's file".into())));
    };
    let mut asker = LeaderClient::new(keepers)?;
    match args.action {
        PolicyAction::Check => Ok(Ok(String::new())),
        PolicyAction::Propose => match text(args) {
            Ok((_, version)) => proposes(&mut asker, version, args),
            Err(end) => Ok(Err(end)),
        },
        PolicyAction::Undo => undoes(&mut asker, args),
        PolicyAction::Status => {
            status(&mut asker).map(|found| found.map(|found| found.shown(args.json)).ok_or_else(none))
        }
        PolicyAction::History => history(&mut asker, args),
        PolicyAction::Show => {
            let number = match args.version {
                Some(number) => number,
                None => match status(&mut asker)? {
                    Some(found) => found.now,
                    None => return Ok(Err(none())),
                },
            };
            Ok(match fetch(&mut asker, number)? {
                None => Err(none()),
                Some(None) => Err((BAD, format!("there is no version {number}, or it is no longer known"))),
                Some(Some(version)) if args.json => Ok(format!("{}\n", shown(&version, true))),
                Some(Some(version)) => Ok(format!("{}\n{}", head(&version), version.document)),
            })
        }
        PolicyAction::Forget => {
            if args.instance.is_empty() {
                return Ok(Err((BAD, "--instance says which".into())));
            }
            let ask = Request::Forget { number: number(), member: node_id(&args.instance) };
            let done = asks(&mut asker, ask, |answer| matches!(answer, Response::Done { .. }).then_some(()))?;
            Ok(done.map(|()| "decided\n".into()).ok_or_else(none))
        }
    }
}

/// Comes back with answers, so that one to an earlier question is not taken for this one's.
fn number() -> u32 {
    use std::sync::atomic::{AtomicU32, Ordering};
    static NEXT: AtomicU32 = AtomicU32::new(1);
    (std::process::id() << 8) ^ NEXT.fetch_add(1, Ordering::Relaxed)
}

fn asks<T>(
    asker: &mut LeaderClient,
    ask: Request,
    read: impl Fn(Response) -> Option<T>,
) -> io::Result<Option<T>> {
    asker.restart_timeout();
    asker.request(&ControlMessage::RolloutRequest(ask), |wire| match wire {
        ControlMessage::RolloutResponse { response: Response::NotLeader { leader }, .. } => {
            ResponseKind::NotLeader(leader)
        }
        ControlMessage::RolloutResponse { response, .. } => {
            read(response).map_or(ResponseKind::Unrelated, ResponseKind::Matching)
        }
        _ => ResponseKind::Unrelated,
    })
}

/// The text of the file, checked as far as it can be here, as a version that is to be proposed.
fn text(args: &PolicyArgs) -> Result<(String, Version), End> {
    let Some(path) = &args.file else { return Err((BAD, "--text names the file of the policy".into())) };
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| (BAD, format!("{name}: {error}")))?;
    let policy = parse_policy(&name, &text, None).map_err(|wrong| (BAD, wrong.shown))?;
    let version = Version {
        hash: policy.hash,
        by: truncate(&args.by, MAX_NAME_BYTES),
        at_ms: (crate::clock::unix() / 10) as u64,
        why: truncate(&args.why, MAX_REASON_BYTES),
        rules: policy.rules,
        document: text,
        ..Version::default()
    };
    Ok((name, version))
}

/// How all stands.
struct Stands {
    now: u64,
    change: Option<(u64, Stage)>,
    lines: Vec<MemberStatus>,
}

impl Stands {
    fn shown(&self, as_json: bool) -> String {
        let verdict = |line: &MemberStatus| match &line.verdict {
            None => "-".to_string(),
            Some(Verdict::Prepared) => "good".into(),
            Some(Verdict::Refused(why)) => format!("refused: {why}"),
        };
        let stage = |stage: Stage| if stage == Stage::Preparing { "asked" } else { "closing" };
        if as_json {
            let lines: Vec<Value> = self.lines.iter().map(|line| {
                json!({"member": line.name, "version": line.active, "verdict": verdict(line), "stopped": line.paused,
                    "silent_ms": (line.silent >= 0).then_some(line.silent as f64 / 10.0)})
            }).collect();
            let change = self.change.map(|(number, at)| json!({"version": number, "stage": stage(at)}));
            return format!("{}\n", json!({"in_force": self.now, "change": change, "members": lines}));
        }
        let mut text = format!("policy {} is in force", self.now);
        if let Some((number, at)) = self.change {
            let good = self.lines.iter().filter(|line| line.verdict == Some(Verdict::Prepared)).count();
            text += &format!("; {number} is {}: {good} of {} said yes", stage(at), self.lines.len());
        }
        text += "\n";
        for line in &self.lines {
            let silent = if line.silent < 0 { "-".into() } else { format!("{} ms ago", line.silent / 10) };
            text += &format!(
                "{}: policy {}, heard {silent}, the change: {}\n",
                line.name,
                line.active,
                verdict(line)
            );
        }
        text
    }
}

fn status(asker: &mut LeaderClient) -> io::Result<Option<Stands>> {
    let (mut from, mut all): (MemberKey, Vec<MemberStatus>) = ((0, 0), Vec::new());
    loop {
        let number = number();
        let found = asks(asker, Request::Status { number, from }, |answer| match answer {
            Response::Status { number: one, active: now, change, lines, more, .. } if one == number => {
                Some((now, change, lines, more))
            }
            _ => None,
        })?;
        let Some((now, change, lines, more)) = found else { return Ok(None) };
        let last = lines.last().map(|line| line.key);
        all.extend(lines);
        match last.filter(|_| more) {
            Some(last) => from = (last.0, last.1.saturating_add(1)),
            None => return Ok(Some(Stands { now, change, lines: all })),
        }
    }
}

fn fetch(asker: &mut LeaderClient, version: u64) -> io::Result<Option<Option<Box<Version>>>> {
    let number = number();
    asks(asker, Request::FetchDocument { number, version }, |answer| match answer {
        Response::Document { number: one, version } if one == number => Some(version),
        _ => None,
    })
}

fn past(
    asker: &mut LeaderClient,
) -> io::Result<Option<(Vec<Version>, Vec<cypresscleat_rollout::state::AbortedChange>)>> {
    let number = number();
    asks(asker, Request::History { number }, |answer| match answer {
        Response::History { number: one, committed: taken, aborted: dropped } if one == number => {
            Some((taken, dropped))
        }
        _ => None,
    })
}

fn head(version: &Version) -> String {
    let undoes = if version.undoes { ", by the watch" } else { "" };
    format!(
        "// policy {} from {}, {:016x}, by {} at {} ms{undoes}: {}",
        version.number, version.parent, version.hash, version.by, version.at_ms, version.why
    )
}

fn shown(version: &Version, text: bool) -> Value {
    let mut all = json!({"version": version.number, "from": version.parent, "hash": format!("{:016x}", version.hash),
        "by": version.by, "at_ms": version.at_ms, "why": version.why, "undoes": version.undoes});
    if text {
        all["text"] = json!(version.document);
    }
    all
}

fn history(asker: &mut LeaderClient, args: &PolicyArgs) -> io::Result<Result<String, End>> {
    let Some((taken, dropped)) = past(asker)? else { return Ok(Err(none())) };
    let mut all: Vec<(u64, String)> = Vec::new();
    for (at, version) in taken.iter().enumerate().filter(|(_, version)| version.number > 0) {
        let how = if at == 0 { "in force" } else { "taken" };
        let line = match args.json {
            true => json!({"taken": true, "in_force": at == 0, "of": shown(version, false)}).to_string(),
            false => format!("{how}  {}", head(version).trim_start_matches("// ")),
        };
        all.push((version.number, line));
    }
    for one in dropped {
        let line = match args.json {
            true => {
                json!({"taken": false, "version": one.number, "by": one.by, "reason": one.reason}).to_string()
            }
            false => format!("dropped  policy {} by {}: {}", one.number, one.by, one.reason),
        };
        all.push((one.number, line));
    }
    all.sort_by_key(|one| one.0);
    Ok(Ok(all.into_iter().map(|(_, line)| line + "\n").collect()))
}

/// Lines that differ, as `-` and `+`.
fn difference(old: &str, new: &str) -> String {
    let (old, new): (Vec<&str>, Vec<&str>) = (old.lines().collect(), new.lines().collect());
    // The longest common lines: texts are short.
    let mut common = vec![vec![0u16; new.len() + 1]; old.len() + 1];
    for a in (0..old.len()).rev() {
        for b in (0..new.len()).rev() {
            common[a][b] = match old[a] == new[b] {
                true => common[a + 1][b + 1] + 1,
                false => common[a + 1][b].max(common[a][b + 1]),
            };
        }
    }
    let (mut a, mut b, mut text) = (0, 0, String::new());
    while a < old.len() || b < new.len() {
        if a < old.len() && b < new.len() && old[a] == new[b] {
            (a, b) = (a + 1, b + 1);
        } else if b < new.len() && (a == old.len() || common[a][b + 1] >= common[a + 1][b]) {
            text += &format!("+ {}\n", new[b]);
            b += 1;
        } else {
            text += &format!("- {}\n", old[a]);
            a += 1;
        }
    }
    text
}

fn undoes(asker: &mut LeaderClient, args: &PolicyArgs) -> io::Result<Result<String, End>> {
    let Some(found) = status(asker)? else { return Ok(Err(none())) };
    let Some(Some(now)) = fetch(asker, found.now)? else { return Ok(Err(none())) };
    let back = args.version.unwrap_or(now.parent);
    let Some(old) = fetch(asker, back)? else { return Ok(Err(none())) };
    let Some(old) = old.filter(|_| now.number != 0) else {
        return Ok(Err((BAD, format!("there is no version {back} to go back to"))));
    };
    let why = if args.why.is_empty() { format!("back to {back}") } else { args.why.clone() };
    let version = Version {
        parent: found.now,
        by: truncate(&args.by, MAX_NAME_BYTES),
        at_ms: (crate::clock::unix() / 10) as u64,
        why: truncate(&why, MAX_REASON_BYTES),
        undoes: false,
        ..*old
    };
    follows(asker, version, args)
}

fn proposes(
    asker: &mut LeaderClient,
    mut version: Version,
    args: &PolicyArgs,
) -> io::Result<Result<String, End>> {
    version.parent = match args.parent {
        Some(from) => from,
        None => match status(asker)? {
            Some(found) => found.now,
            None => return Ok(Err(none())),
        },
    };
    follows(asker, version, args)
}

/// Proposes, and watches until it is decided.
fn follows(asker: &mut LeaderClient, version: Version, args: &PolicyArgs) -> io::Result<Result<String, End>> {
    let asked = number();
    let ask = Request::Propose { number: asked, version: version.clone() };
    let outcome = asks(asker, ask, |answer| match answer {
        Response::Proposed { number: one, outcome } if one == asked => Some(outcome),
        _ => None,
    })?;
    let number = match outcome {
        None => return Ok(Err(none())),
        Some(Outcome::Proposed(number)) => number,
        Some(Outcome::Stale { active: now }) => {
            let parent = fetch(asker, version.parent)?.flatten().map(|old| old.document).unwrap_or_default();
            let current = fetch(asker, now)?.flatten().map(|old| old.document).unwrap_or_default();
            let shown = difference(&parent, &current);
            return Ok(Err((
                DROPPED,
                format!("made from {}, and {now} is in force. What changed since:\n{shown}", version.parent),
            )));
        }
        Some(Outcome::Busy { number }) => {
            return Ok(Err((DROPPED, format!("change {number} is under way: try again once it is decided"))))
        }
        Some(_) => return Ok(Err((BAD, "past a bound: a text of 16 KiB at most".into()))),
    };
    let until = Instant::now() + Duration::from_secs(args.wait_s);
    let live = io::stderr().is_terminal() && !args.json;
    loop {
        let Some((taken, dropped)) = past(asker)? else { return Ok(Err(none())) };
        if taken.iter().any(|one| one.number == number) {
            let text = match args.json {
                true => format!("{}\n", json!({"version": number, "taken": true})),
                false => format!("policy {number} is in force\n"),
            };
            return Ok(Ok(text));
        }
        if let Some(one) = dropped.iter().find(|one| one.number == number) {
            return Ok(Err((DROPPED, format!("policy {number} was dropped: {}", one.reason))));
        }
        if Instant::now() >= until {
            return Ok(Err((UNDECIDED, format!("policy {number} is not decided yet; see policy status"))));
        }
        if let Some(found) = status(asker)?.filter(|_| live) {
            let good = found.lines.iter().filter(|line| line.verdict == Some(Verdict::Prepared)).count();
            let _ =
                write!(io::stderr(), "\rpolicy {number}: {good} of {} members said yes ", found.lines.len());
        }
        std::thread::sleep(LOOK);
    }
}
