//! Runs instances of the scheduler behind the simulator's line protocol: reads batches of events and writes one response to each
//! batch. Translates between the protocol's names and the scheduler's types; makes no decisions of its own.

use cypresscleat_concurrency::PoolsConfig;
use cypresscleat_scheduler::*;
use cypresscleat_settings::{self as settings, Names, NANOS_PER_TIME_UNIT};
use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};

/// The open requests of one instance: maps ids on the wire to slots and back. Released slots are reused.
#[derive(Default)]
struct RequestIds {
    slots: HashMap<String, RequestSlot>,
    ids: Vec<String>,
    free_slots: Vec<RequestSlot>,
}

impl RequestIds {
    fn open(&mut self, id: &str) -> RequestSlot {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.ids.push(String::new());
            self.ids.len() - 1
        });
        self.ids[slot] = id.to_string();
        self.slots.insert(id.to_string(), slot);
        slot
    }
}

/// Writes the actions of one instance as lines of the protocol.
struct ActionWriter<'a> {
    output: &'a mut String,
    instance_id: usize,
    request_ids: &'a mut RequestIds,
}

impl ActionWriter<'_> {
    fn write_action(&mut self, name: &str, slot: RequestSlot, rest: std::fmt::Arguments) {
        let _ = writeln!(self.output, "{name} {} {}{rest}", self.instance_id, self.request_ids.ids[slot]);
    }
}

impl Host for ActionWriter<'_> {
    fn run(&mut self, slot: RequestSlot) {
        self.write_action("ADMIT", slot, format_args!(""));
    }
    fn reject(&mut self, slot: RequestSlot, rejection: Rejection) {
        let Rejection { retry_after, no_retry_elsewhere, .. } = rejection;
        self.write_action(
            "REJECT",
            slot,
            format_args!(" {} {}", retry_after * NANOS_PER_TIME_UNIT, no_retry_elsewhere as u8),
        );
    }
    fn fail(&mut self, slot: RequestSlot, _: FailReason) {
        self.write_action("DROP_REQUEST", slot, format_args!(""));
    }
    fn stop(&mut self, slot: RequestSlot) {
        self.write_action("YANK", slot, format_args!(""));
    }
    fn call(&mut self, slot: RequestSlot, timeout: Time) {
        self.write_action("REACH_OUT", slot, format_args!(" {}", timeout * NANOS_PER_TIME_UNIT));
    }
    fn skip_call(&mut self, slot: RequestSlot) {
        self.write_action("SKIP", slot, format_args!(""));
    }
    fn retain_for_retries(&mut self, slot: RequestSlot, duration: Time) {
        self.write_action("RETAIN", slot, format_args!(" {}", duration * NANOS_PER_TIME_UNIT));
    }
    fn replay_result(&mut self, slot: RequestSlot) {
        self.write_action("ANSWER_FROM", slot, format_args!(""));
    }
    fn set_health(&mut self, healthy: bool, from_cache: bool) {
        let _ =
            writeln!(self.output, "SET_HEALTH {} {} {}", self.instance_id, healthy as u8, from_cache as u8);
    }
    fn send_load_feedback(&mut self, value: f64) {
        let _ = writeln!(self.output, "HINT_OUT {} {value:.4}", self.instance_id);
    }
    fn close_idle_connections(&mut self, idle_for: Time) {
        let _ = writeln!(self.output, "CLOSE_IDLE {} {}", self.instance_id, idle_for * NANOS_PER_TIME_UNIT);
    }
    fn set_timer(&mut self, after: Time) {
        let _ = writeln!(self.output, "SET_TIMER {} {} 1", self.instance_id, after * NANOS_PER_TIME_UNIT);
    }
    fn log(&mut self, event: &SchedulerEvent) {
        let _ = writeln!(self.output, "EMIT {} {event}", self.instance_id);
    }
    fn release(&mut self, slot: RequestSlot) {
        self.request_ids.slots.remove(&self.request_ids.ids[slot]);
        self.request_ids.free_slots.push(slot);
    }
}

struct Instance {
    scheduler: Scheduler,
    request_ids: RequestIds,
    names: Names,
}

/// The values of one line, read in order.
struct Values<'a>(std::str::Split<'a, char>);

impl<'a> Values<'a> {
    fn read_value(&mut self, field: &str) -> Result<&'a str, String> {
        self.0.next().filter(|value| !value.is_empty()).ok_or_else(|| format!("{field} is missing"))
    }
    /// Reads a value that may be absent: `-`, or the end of the line.
    fn read_optional_value(&mut self) -> Option<&'a str> {
        self.0.next().filter(|value| *value != "-" && !value.is_empty())
    }
    fn read_number<T: std::str::FromStr>(&mut self, field: &str) -> Result<T, String> {
        parse(self.read_value(field)?, field)
    }
    fn read_optional_number<T: std::str::FromStr>(&mut self, field: &str) -> Result<Option<T>, String> {
        self.read_optional_value().map(|value| parse(value, field)).transpose()
    }
    fn read_duration(&mut self, field: &str) -> Result<Time, String> {
        Ok(self.read_optional_number::<i64>(field)?.unwrap_or(0) / NANOS_PER_TIME_UNIT)
    }
    fn read_flag(&mut self, field: &str) -> Result<bool, String> {
        match self.read_optional_value() {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(format!("{field} is {value:?}, neither 0 nor 1")),
        }
    }
}

fn parse<T: std::str::FromStr>(value: &str, field: &str) -> Result<T, String> {
    value.parse().map_err(|_| format!("{field} has the invalid value {value:?}"))
}

fn find_index(names: &[String], wanted: &str, kind: &str) -> Result<usize, String> {
    names
        .iter()
        .position(|name| name == wanted)
        .ok_or_else(|| format!("no {kind} named {wanted:?} in the settings"))
}

fn parse_outcome(code: &str) -> Result<Outcome, String> {
    Ok(match code {
        "served" => Outcome::Succeeded,
        "server_error" => Outcome::Failed,
        "turned_away" => Outcome::Rejected,
        "no_answer" => Outcome::TimedOut,
        "no_connection" => Outcome::ConnectFailed,
        "connection_lost" => Outcome::ConnectionLost,
        "called_off" => Outcome::Cancelled,
        "not_sent" => Outcome::NotStarted,
        _ => return Err(format!("unknown outcome {code:?}")),
    })
}

fn parse_gauges(pairs: Option<&str>) -> Result<Gauges, String> {
    let mut gauges = Gauges::default();
    for pair in pairs.unwrap_or("").split(',').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once(':').ok_or_else(|| format!("gauge {pair:?} has no value"))?;
        settings::set_gauge(&mut gauges, name, parse(value, name)?);
    }
    Ok(gauges)
}

fn parse_arrival(instance: &mut Instance, request_id: &str, values: &mut Values) -> Result<Arrival, String> {
    let is_retry = values.read_flag("resent")?;
    let remaining_timeout = values
        .read_optional_number::<i64>("budget_ns")?
        .filter(|ns| *ns > 0)
        .map(|ns| ns / NANOS_PER_TIME_UNIT);
    let client_priority = values.read_optional_number("prio")?.unwrap_or(0.0);
    let earlier_attempt = match values.read_optional_value().filter(|earlier_id| *earlier_id != "0") {
        None => EarlierAttempt::None,
        Some(earlier_id) => instance
            .request_ids
            .slots
            .get(earlier_id)
            .map_or(EarlierAttempt::Released, |slot| EarlierAttempt::Known(*slot)),
    };
    let class = find_index(&instance.names.classes, values.read_value("profile")?, "operation")?;
    let has_idempotency_key = values.read_optional_value().is_some();
    let time_unread = values.read_duration("unread_for_ns")?;
    values.read_optional_value(); // the client's id is not used
    let is_write = values.read_flag("write")?;
    let expected_work = values
        .read_optional_number::<f64>("cost_ns")?
        .filter(|ns| *ns > 0.0)
        .map(|ns| ns / NANOS_PER_TIME_UNIT as f64);
    let memory_kb = values.read_optional_number("kb")?.unwrap_or(0.0);
    let tenant = match values.read_optional_value() {
        None | Some("0") => None,
        Some(name) => Some(find_index(&instance.names.tenants, name, "customer")?),
    };
    let slot = instance.request_ids.open(request_id);
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

/// Starts an instance with the settings that the line contains.
fn open_instance(
    now: Time,
    line: &str,
    (instance_id, seed): (usize, u64),
    use_pools: bool,
    output: &mut String,
) -> Result<Instance, String> {
    let with_field = |error: &dyn std::fmt::Display| format!("boot_info: {error}");
    let start = line.find('{').ok_or("boot_info is missing")?;
    let (mut settings, names) = settings::parse(&line[start..], seed).map_err(|error| with_field(&error))?;
    if use_pools {
        let classes = &settings.classes;
        let objectives: Vec<Time> = classes.iter().map(|class| class.latency_objective).collect();
        let weights: Vec<f64> = classes.iter().map(|class| class.priority_weight).collect();
        settings.pools = PoolsConfig::derive(&objectives, &weights);
    }
    settings.validate().map_err(|error| with_field(&error))?;
    let mut request_ids = RequestIds::default();
    let scheduler = Scheduler::start(
        now,
        settings,
        &mut ActionWriter { output, instance_id, request_ids: &mut request_ids },
    );
    Ok(Instance { scheduler, request_ids, names })
}

/// Handles one event of a batch.
fn handle_event(
    instances: &mut HashMap<usize, Instance>,
    use_pools: bool,
    now: Time,
    line: &str,
    output: &mut String,
) -> Result<(), String> {
    let mut values = Values(line.split(' '));
    let name = values.read_value("event name")?;
    let instance_id: usize = values.read_number("who")?;
    if name == "OPEN_INSTANCE" {
        let seed: u64 = values.read_number("salt")?;
        instances.insert(instance_id, open_instance(now, line, (instance_id, seed), use_pools, output)?);
        return Ok(());
    }
    let instance =
        instances.get_mut(&instance_id).ok_or_else(|| format!("instance {instance_id} is not open"))?;
    match name {
        "STOP" => {
            instances.remove(&instance_id);
            Ok(())
        }
        "REMINDER" => {
            values.read_optional_value(); // the timer's key is not used: an instance has one timer
            let parsed = parse_gauges(values.read_optional_value());
            // The timer must continue even if the gauges are invalid.
            let gauges = parsed.as_ref().copied().unwrap_or_default();
            instance.scheduler.tick(
                now,
                gauges,
                &mut ActionWriter { output, instance_id, request_ids: &mut instance.request_ids },
            );
            parsed.map(|_| ())
        }
        "LEAVING" => {
            let within = values.read_duration("budget_ns")?;
            instance.scheduler.start_draining(
                now,
                within,
                &mut ActionWriter { output, instance_id, request_ids: &mut instance.request_ids },
            );
            Ok(())
        }
        "ACCEPT" => {
            let request_id = values.read_value("corr")?;
            // An invalid request still gets its final response.
            let drop_request = |error| {
                let _ = writeln!(output, "DROP_REQUEST {instance_id} {request_id}");
                error
            };
            let arrival = parse_arrival(instance, request_id, &mut values).map_err(drop_request)?;
            let mut host = ActionWriter { output, instance_id, request_ids: &mut instance.request_ids };
            instance.scheduler.handle_arrival(now, arrival, &mut host);
            Ok(())
        }
        _ => handle_request_event(instance, now, name, &mut values, (instance_id, output)),
    }
}

/// Handles an event of an open request. Late events of a request whose id is no longer known are ignored: it was released.
fn handle_request_event(
    instance: &mut Instance,
    now: Time,
    name: &str,
    values: &mut Values,
    (instance_id, output): (usize, &mut String),
) -> Result<(), String> {
    let request_id = values.read_value("corr")?;
    let slot = instance.request_ids.slots.get(request_id).copied();
    let mut host = ActionWriter { output, instance_id, request_ids: &mut instance.request_ids };
    let scheduler = &mut instance.scheduler;
    match name {
        "NEEDS_DEP" => slot.map(|slot| scheduler.handle_call_needed(now, slot, &mut host)),
        "CLIENT_LEFT" => slot.map(|slot| scheduler.handle_client_disconnect(now, slot, &mut host)),
        "CALL_DONE" | "DONE" => {
            let outcome = parse_outcome(values.read_value("code")?)?;
            let call_time = values.read_duration("time_taken_ns")?;
            match name {
                "DONE" => slot.map(|slot| scheduler.handle_run_completed(now, slot, outcome, &mut host)),
                _ => {
                    slot.map(|slot| scheduler.handle_call_completed(now, slot, outcome, call_time, &mut host))
                }
            }
        }
        _ => return Err(format!("unknown event {name:?}")),
    };
    Ok(())
}

fn log_error(error: String) {
    eprintln!("cypresscleat-simulator-adapter: {error}");
}

/// Handles batches until the input ends, or until a batch is malformed so that the next one can't be located.
fn serve(input: impl BufRead, mut output: impl Write, use_pools: bool) -> Result<(), String> {
    let mut instances = HashMap::new();
    let mut now: Option<Time> = None;
    let mut response = String::new();
    let mut line_number = 0;
    for line in input.lines() {
        line_number += 1;
        let with_line = |error: String| format!("line {line_number}: {error}");
        let line = line.map_err(|error| with_line(error.to_string()))?;
        match (line.strip_prefix("TURN "), now) {
            (Some(clock), None) => {
                now = Some(parse::<i64>(clock, "clock").map_err(with_line)? / NANOS_PER_TIME_UNIT)
            }
            (Some(_), Some(_)) => return Err(with_line("TURN inside a batch".into())),
            (None, None) if line.is_empty() => {}
            (None, None) => return Err(with_line(format!("expected TURN, found {line:?}"))),
            (None, Some(_)) if line == "EOB" => {
                response.push_str("DONE\n");
                output
                    .write_all(response.as_bytes())
                    .and_then(|()| output.flush())
                    .map_err(|error| with_line(error.to_string()))?;
                response.clear();
                now = None;
            }
            // An invalid event is skipped, so that the other instances continue.
            (None, Some(now)) => handle_event(&mut instances, use_pools, now, &line, &mut response)
                .map_err(with_line)
                .unwrap_or_else(log_error),
        }
    }
    match now {
        Some(_) => Err(format!("line {line_number}: input ended inside a batch")),
        None => Ok(()),
    }
}

/// With `--pools`, the pools are derived from the request classes by `PoolsConfig::derive`.
fn main() {
    let use_pools = std::env::args().any(|argument| argument == "--pools");
    if let Err(error) = serve(io::stdin().lock(), io::stdout().lock(), use_pools) {
        log_error(error);
        std::process::exit(1);
    }
}
