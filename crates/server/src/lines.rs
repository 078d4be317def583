//! The executor's JSON lines and the downstream proxy's lines: parsed from bytes, written to bytes. Performs no I/O.

use crate::pool::{Buf, BufferPool};
use base64::{engine::general_purpose::STANDARD, Engine};
use cypresscleat_scheduler::Outcome;
use serde_json::{json, Value};
use std::rc::Rc;

/// Returns the first line in `bytes` without its line ending, and its size including it.
pub fn next_line(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let end = bytes.iter().position(|byte| *byte == b'\n')?;
    let line = &bytes[..end];
    Some((line.strip_suffix(b"\r").unwrap_or(line), end + 1))
}

// ---- executor ----

/// A notice of the executor.
pub enum Notice {
    Booted { cold: bool, age_ms: f64 },
    Reap { call: String, outcome: Outcome, body: Buf },
    Call { call: String, body: Buf },
    Info { cookie: String, stats: Vec<f64> },
    Rejected { command: String, call: String },
    Remark(String),
}

/// Parses a notice: its number, where it has one, and its content.
pub fn parse_notice(line: &[u8], pool: &Rc<BufferPool>) -> (Option<u64>, Result<Notice, String>) {
    match serde_json::from_slice::<Value>(line) {
        Ok(all) => (all["serial"].as_u64(), notice_from_json(&all, pool)),
        Err(error) => (None, Err(error.to_string())),
    }
}

fn notice_from_json(all: &Value, pool: &Rc<BufferPool>) -> Result<Notice, String> {
    let text = |key: &str| all[key].as_str().ok_or_else(|| format!("no {key}"));
    let call = || text("call").map(str::to_string);
    let body = || {
        let mut blob = pool.take();
        let text = all["blob"].as_str().unwrap_or("");
        let size = STANDARD.decode_slice(text, blob.spare()).map_err(|error| format!("blob: {error}"))?;
        blob.advance(size);
        Ok::<Buf, String>(blob)
    };
    let how = text("how");
    Ok(match (text("msg")?, how) {
        ("BOOTED", Ok(how @ ("COLD" | "WARM"))) => {
            Notice::Booted { cold: how == "COLD", age_ms: all["duration"].as_f64().unwrap_or(0.0).max(0.0) }
        }
        ("REAP", Ok(how)) => {
            let outcome = match how {
                "OK" => Outcome::Succeeded,
                "ERROR" => Outcome::Failed,
                "STOPPED" => Outcome::Cancelled,
                "MOOT" => Outcome::NotStarted,
                _ => return Err(format!("how {how:?}")),
            };
            Notice::Reap { call: call()?, outcome, body: body()? }
        }
        ("IOREQ", _) => Notice::Call { call: call()?, body: body()? },
        ("INFO", _) => {
            let stats = all["stats"].as_array().map_or(&[][..], Vec::as_slice);
            let stats = stats.iter().map(|value| value.as_f64().unwrap_or(f64::NAN)).collect();
            Notice::Info { cookie: text("cookie")?.to_string(), stats }
        }
        ("EINVAL", Ok(how)) => {
            Notice::Rejected { command: how.to_string(), call: call().unwrap_or_default() }
        }
        ("DMESG", how) => Notice::Remark(how.unwrap_or("").to_string()),
        (msg, how) => return Err(format!("msg {msg:?} how {how:?}")),
    })
}

fn json_line(value: Value) -> String {
    format!("{value}\n")
}

/// Opens a link; the executor sends all notices after `serial`.
pub fn open(serial: u64) -> String {
    json_line(json!({"msg": "OPEN", "serial": serial}))
}
/// Starts a run.
pub fn sched(call: &str, service: &str, body: &[u8]) -> String {
    json_line(json!({"msg": "SCHED", "call": call, "service": service, "blob": STANDARD.encode(body)}))
}
/// Stops a run.
pub fn preempt(call: &str) -> String {
    json_line(json!({"msg": "PREEMPT", "call": call}))
}
/// Resumes a run with the reply of its downstream call.
pub fn io_done(call: &str, reply: &[u8]) -> String {
    json_line(json!({"msg": "IODONE", "call": call, "blob": STANDARD.encode(reply)}))
}
/// Requests the gauges; the response carries the cookie.
pub fn sysinfo(cookie: &str) -> String {
    json_line(json!({"msg": "SYSINFO", "cookie": cookie}))
}

// ---- downstream proxy ----

/// Builds a call, which the downstream proxy abandons after `within_ms`.
pub fn post(call: &str, within_ms: i64, body: &[u8]) -> Vec<u8> {
    let mut out = format!("post {call} {within_ms} {}\r\n", body.len()).into_bytes();
    out.extend(body);
    out.extend(b"\r\n");
    out
}

/// How a call ended, exact about whether it ran, with the body of its reply.
#[derive(Debug, PartialEq)]
pub struct Reply<'a> {
    pub call: &'a str,
    pub outcome: Outcome,
    pub body: &'a [u8],
}

#[derive(Debug, PartialEq)]
pub enum NextReply<'a> {
    Incomplete,
    Reply(Reply<'a>, usize),
    /// An invalid line, after which the start of the next reply is unknown.
    Invalid(String),
}

/// Maximum length of the first line of a reply, in bytes.
const MAX_LINE_BYTES: usize = 64;

/// Finds the first reply in `bytes`; a reply of at most `max_reply_bytes` fits a buffer.
pub fn parse_reply(bytes: &[u8], max_reply_bytes: usize) -> NextReply<'_> {
    let Some((line, size)) = next_line(&bytes[..bytes.len().min(MAX_LINE_BYTES)]) else {
        let invalid = bytes.len() >= MAX_LINE_BYTES;
        return if invalid {
            NextReply::Invalid("the line is too long".into())
        } else {
            NextReply::Incomplete
        };
    };
    let invalid = || NextReply::Invalid(format!("{:?}", String::from_utf8_lossy(line)));
    let Ok(text) = std::str::from_utf8(line) else { return invalid() };
    let words: Vec<&str> = text.split(' ').collect();
    let (call, outcome) = match words[..] {
        [call, "posted", length] => {
            let Ok(length) = length.parse::<usize>() else { return invalid() };
            let total_size = size.saturating_add(length).saturating_add(2);
            if total_size > max_reply_bytes {
                return NextReply::Invalid(format!("a reply of {length} bytes"));
            }
            return match bytes.get(size..total_size) {
                None => NextReply::Incomplete,
                Some(tail) if tail.ends_with(b"\r\n") => {
                    let body = &tail[..length];
                    NextReply::Reply(Reply { call, outcome: Outcome::Succeeded, body }, total_size)
                }
                Some(_) => NextReply::Invalid(format!("{text:?} is not followed by its reply")),
            };
        }
        [call, "queue_full"] => (call, Outcome::Rejected),
        [call, "error"] => (call, Outcome::Failed),
        [call, "expired"] => (call, Outcome::TimedOut),
        [call, "moot"] => (call, Outcome::NotStarted),
        _ => return invalid(),
    };
    NextReply::Reply(Reply { call, outcome, body: b"" }, size)
}
