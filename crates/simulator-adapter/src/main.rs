//! Hosts instances of the scheduler on the simulator's line protocol: reads batches of events, writes one reply to each.
//! The platform's words end here. Decides nothing.

use cypresscleat_concurrency::PoolsConfig;
use cypresscleat_scheduler::*;
use cypresscleat_settings::{self as settings, Names, NANOS_PER_TIME_UNIT};
use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};

/// The requests of one instance: ids on the wire to slots and back; a freed slot is used again.
#[derive(Default)]
struct Ids {
    slots: HashMap<String, RequestSlot>,
    words: Vec<String>,
    free: Vec<RequestSlot>,
}

impl Ids {
    fn open(&mut self, word: &str) -> RequestSlot {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.words.push(String::new());
            self.words.len() - 1
        });
        self.words[slot] = word.to_string();
        self.slots.insert(word.to_string(), slot);
        slot
    }
}

struct Wire<'a> {
    out: &'a mut String,
    who: usize,
    ids: &'a mut Ids,
}

impl Wire<'_> {
    fn line(&mut self, name: &str, slot: RequestSlot, rest: std::fmt::Arguments) {
        let _ = writeln!(self.out, "{name} {} {}{rest}", self.who, self.ids.words[slot]);
    }
}

impl Host for Wire<'_> {
    fn run(&mut self, slot: RequestSlot) {
        self.line("ADMIT", slot, format_args!(""));
    }
    fn reject(&mut self, slot: RequestSlot, rejection: Rejection) {
        let Rejection { retry_after, no_retry_elsewhere, .. } = rejection;
        self.line(
            "REJECT",
            slot,
            format_args!(" {} {}", retry_after * NANOS_PER_TIME_UNIT, no_retry_elsewhere as u8),
        );
    }
    fn fail(&mut self, slot: RequestSlot, _: FailReason) {
        self.line("DROP_REQUEST", slot, format_args!(""));
    }
    fn stop(&mut self, slot: RequestSlot) {
        self.line("YANK", slot, format_args!(""));
    }
    fn call(&mut self, slot: RequestSlot, within: Time) {
        self.line("REACH_OUT", slot, format_args!(" {}", within * NANOS_PER_TIME_UNIT));
    }
    fn skip_call(&mut self, slot: RequestSlot) {
        self.line("SKIP", slot, format_args!(""));
    }
    fn retain_for_retries(&mut self, slot: RequestSlot, span: Time) {
        self.line("RETAIN", slot, format_args!(" {}", span * NANOS_PER_TIME_UNIT));
    }
    fn replay_result(&mut self, slot: RequestSlot) {
        self.line("ANSWER_FROM", slot, format_args!(""));
    }
    fn set_health(&mut self, good: bool, stored: bool) {
        let _ = writeln!(self.out, "SET_HEALTH {} {} {}", self.who, good as u8, stored as u8);
    }
    fn send_load_feedback(&mut self, value: f64) {
        let _ = writeln!(self.out, "HINT_OUT {} {value:.4}", self.who);
    }
    fn close_idle_connections(&mut self, after: Time) {
        let _ = writeln!(self.out, "CLOSE_IDLE {} {}", self.who, after * NANOS_PER_TIME_UNIT);
    }
    fn set_timer(&mut self, after: Time) {
        let _ = writeln!(self.out, "SET_TIMER {} {} 1", self.who, after * NANOS_PER_TIME_UNIT);
    }
    fn log(&mut self, event: &SchedulerEvent) {
        let _ = writeln!(self.out, "EMIT {} {event}", self.who);
    }
    fn release(&mut self, slot: RequestSlot) {
        self.ids.slots.remove(&self.ids.words[slot]);
        self.ids.free.push(slot);
    }
}

struct Instance {
    scheduler: Scheduler,
    ids: Ids,
    names: Names,
}

/// The values of one line, taken in order.
struct Values<'a>(std::str::Split<'a, char>);

impl<'a> Values<'a> {
    fn word(&mut self, what: &str) -> Result<&'a str, String> {
        self.0.next().filter(|word| !word.is_empty()).ok_or_else(|| format!("{what} is missing"))
    }
    /// A value that may be absent: `-` or nothing more on the line.
    fn maybe(&mut self) -> Option<&'a str> {
        self.0.next().filter(|word| *word != "-" && !word.is_empty())
    }
    fn number<T: std::str::FromStr>(&mut self, what: &str) -> Result<T, String> {
        parse(self.word(what)?, what)
    }
    fn optional<T: std::str::FromStr>(&mut self, what: &str) -> Result<Option<T>, String> {
        self.maybe().map(|word| parse(word, what)).transpose()
    }
    fn span(&mut self, what: &str) -> Result<Time, String> {
        Ok(self.optional::<i64>(what)?.unwrap_or(0) / NANOS_PER_TIME_UNIT)
    }
    fn flag(&mut self, what: &str) -> Result<bool, String> {
        match self.maybe() {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(word) => Err(format!("{what} is {word:?}, neither 0 nor 1")),
        }
    }
}

fn parse<T: std::str::FromStr>(word: &str, what: &str) -> Result<T, String> {
    word.parse().map_err(|_| format!("{what} is {word:?}"))
}

fn index_of(names: &[String], word: &str, what: &str) -> Result<usize, String> {
    names
        .iter()
        .position(|name| name == word)
        .ok_or_else(|| format!("no {what} named {word:?} in the settings"))
}

fn outcome(word: &str) -> Result<Outcome, String> {
    Ok(match word {
        "served" => Outcome::Succeeded,
        "server_error" => Outcome::Failed,
        "turned_away" => Outcome::Rejected,
        "no_answer" => Outcome::TimedOut,
        "no_connection" => Outcome::ConnectFailed,
        "connection_lost" => Outcome::ConnectionLost,
        "called_off" => Outcome::Cancelled,
        "not_sent" => Outcome::NotStarted,
        _ => return Err(format!("outcome is {word:?}")),
    })
}

fn gauges(pairs: Option<&str>) -> Result<Gauges, String> {
    let mut read = Gauges::default();
    for pair in pairs.unwrap_or("").split(',').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once(':').ok_or_else(|| format!("gauge {pair:?} has no value"))?;
        settings::set_gauge(&mut read, name, parse(value, name)?);
    }
    Ok(read)
}

fn arrival(instance: &mut Instance, word: &str, values: &mut Values) -> Result<Arrival, String> {
    let is_retry = values.flag("resent")?;
    let remaining_timeout =
        values.optional::<i64>("budget_ns")?.filter(|ns| *ns > 0).map(|ns| ns / NANOS_PER_TIME_UNIT);
    let client_priority = values.optional("prio")?.unwrap_or(0.0);
    let earlier_attempt = match values.maybe().filter(|word| *word != "0") {
        None => EarlierAttempt::None,
        Some(word) => {
            instance.ids.slots.get(word).map_or(EarlierAttempt::Released, |slot| EarlierAttempt::Known(*slot))
        }
    };
    let class = index_of(&instance.names.classes, values.word("profile")?, "operation")?;
    let has_idempotency_key = values.maybe().is_some();
    let time_unread = values.span("unread_for_ns")?;
    values.maybe(); // the client's number
    let is_write = values.flag("write")?;
    let expected_work =
        values.optional::<f64>("cost_ns")?.filter(|ns| *ns > 0.0).map(|ns| ns / NANOS_PER_TIME_UNIT as f64);
    let memory_kb = values.optional("kb")?.unwrap_or(0.0);
    let tenant = match values.maybe() {
        None | Some("0") => None,
        Some(name) => Some(index_of(&instance.names.tenants, name, "customer")?),
    };
    let slot = instance.ids.open(word);
    Ok(Arrival {
        slot,
        class,
        tenant,
        remaining_timeout,
        client_priority,
        earlier_attempt,
        has_idempotency_key,
        time_unread,
        is_write,
        is_retry,
        expected_work,
        memory_kb,
    })
}

/// Starts an instance with the settings on the line.
fn open_instance(
    now: Time,
    line: &str,
    (who, seed): (usize, u64),
    pooled: bool,
    out: &mut String,
) -> Result<Instance, String> {
    let wrong = |what: &dyn std::fmt::Display| format!("boot_info: {what}");
    let start = line.find('{').ok_or("boot_info is missing")?;
    let (mut settings, names) = settings::parse(&line[start..], seed).map_err(|what| wrong(&what))?;
    if pooled {
        let classes = &settings.classes;
        let objectives: Vec<Time> = classes.iter().map(|class| class.latency_objective).collect();
        let weights: Vec<f64> = classes.iter().map(|class| class.priority_weight).collect();
        settings.pools = PoolsConfig::derive(&objectives, &weights);
    }
    settings.validate().map_err(|what| wrong(&what))?;
    let mut ids = Ids::default();
    let scheduler = Scheduler::start(now, settings, &mut Wire { out, who, ids: &mut ids });
    Ok(Instance { scheduler, ids, names })
}

/// Handles one message of a batch.
fn event(
    hosted: &mut HashMap<usize, Instance>,
    pooled: bool,
    now: Time,
    line: &str,
    out: &mut String,
) -> Result<(), String> {
    let mut values = Values(line.split(' '));
    let name = values.word("message name")?;
    let who: usize = values.number("who")?;
    if name == "OPEN_INSTANCE" {
        let seed: u64 = values.number("salt")?;
        hosted.insert(who, open_instance(now, line, (who, seed), pooled, out)?);
        return Ok(());
    }
    let instance = hosted.get_mut(&who).ok_or_else(|| format!("no instance {who} is open"))?;
    match name {
        "STOP" => {
            hosted.remove(&who);
            Ok(())
        }
        "REMINDER" => {
            values.maybe(); // the timer's key: there is one timer
            let read = gauges(values.maybe());
            // The timer must go on whatever the gauges say.
            let known = read.as_ref().copied().unwrap_or_default();
            instance.scheduler.tick(now, known, &mut Wire { out, who, ids: &mut instance.ids });
            read.map(|_| ())
        }
        "LEAVING" => {
            let within = values.span("budget_ns")?;
            instance.scheduler.start_draining(now, within, &mut Wire { out, who, ids: &mut instance.ids });
            Ok(())
        }
        "ACCEPT" => {
            let word = values.word("corr")?;
            // A request that cannot be understood still gets its answer.
            let answer_and_pass_on = |what| {
                let _ = writeln!(out, "DROP_REQUEST {who} {word}");
                what
            };
            let arrival = arrival(instance, word, &mut values).map_err(answer_and_pass_on)?;
            let mut host = Wire { out, who, ids: &mut instance.ids };
            instance.scheduler.handle_arrival(now, arrival, &mut host);
            Ok(())
        }
        _ => request_event(instance, now, name, &mut values, (who, out)),
    }
}

/// Handles a message about an open request. An id that is no longer known was released: its late events concern nobody.
fn request_event(
    instance: &mut Instance,
    now: Time,
    name: &str,
    values: &mut Values,
    (who, out): (usize, &mut String),
) -> Result<(), String> {
    let word = values.word("corr")?;
    let slot = instance.ids.slots.get(word).copied();
    let mut host = Wire { out, who, ids: &mut instance.ids };
    let scheduler = &mut instance.scheduler;
    match name {
        "NEEDS_DEP" => slot.map(|slot| scheduler.handle_call_needed(now, slot, &mut host)),
        "CLIENT_LEFT" => slot.map(|slot| scheduler.handle_client_disconnect(now, slot, &mut host)),
        "CALL_DONE" | "DONE" => {
            let how = outcome(values.word("code")?)?;
            let took = values.span("time_taken_ns")?;
            match name {
                "DONE" => slot.map(|slot| scheduler.handle_run_completed(now, slot, how, &mut host)),
                _ => slot.map(|slot| scheduler.handle_call_completed(now, slot, how, took, &mut host)),
            }
        }
        _ => return Err(format!("unknown message {name:?}")),
    };
    Ok(())
}

fn complain(what: String) {
    eprintln!("cypresscleat-simulator-adapter: {what}");
}

/// Ends with the input, or where batches can no longer be told apart.
fn serve(input: impl BufRead, mut output: impl Write, pooled: bool) -> Result<(), String> {
    let mut hosted = HashMap::new();
    let mut now: Option<Time> = None;
    let mut out = String::new();
    let mut count = 0;
    for line in input.lines() {
        count += 1;
        let wrong = |what: String| format!("line {count}: {what}");
        let line = line.map_err(|error| wrong(error.to_string()))?;
        match (line.strip_prefix("TURN "), now) {
            (Some(clock), None) => {
                now = Some(parse::<i64>(clock, "clock").map_err(wrong)? / NANOS_PER_TIME_UNIT)
            }
            (Some(_), Some(_)) => return Err(wrong("TURN inside a batch".into())),
            (None, None) if line.is_empty() => {}
            (None, None) => return Err(wrong(format!("expected TURN, found {line:?}"))),
            (None, Some(_)) if line == "EOB" => {
                out.push_str("DONE\n");
                output
                    .write_all(out.as_bytes())
                    .and_then(|()| output.flush())
                    .map_err(|e| wrong(e.to_string()))?;
                out.clear();
                now = None;
            }
            // A message that is not understood is skipped: the other instances are served all the same.
            (None, Some(now)) => {
                event(&mut hosted, pooled, now, &line, &mut out).map_err(wrong).unwrap_or_else(complain)
            }
        }
    }
    match now {
        Some(_) => Err(format!("line {count}: input ended inside a batch")),
        None => Ok(()),
    }
}

/// With `--pools` the request classes are pooled by the rule of `PoolsConfig::derive`.
fn main() {
    let pooled = std::env::args().any(|word| word == "--pools");
    if let Err(what) = serve(io::stdin().lock(), io::stdout().lock(), pooled) {
        complain(what);
        std::process::exit(1);
    }
}
