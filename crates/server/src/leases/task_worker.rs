//! The one loop of every duty that acts on an outside ledger. Of each part one item after the other; the ledger compares tokens and
//! knows each item by its number (one JSON object a line, both ways):
//!
//! ```text
//!     {"duty":"tally","part":0,"item":12,"token":57,"by":"n1"}      and what else the duty says of the item
//!     {"part":0,"item":12,"taken":true}        or taken false, where it has seen a later token
//! ```
//!
//! An item that it has done before is taken and changes nothing: that closes the gap between its doing and our cursor.

use super::lease_holder::LeaseHolder;
use super::ControlReplicas;
use crate::log;
use cypresscleat_leases::client::LeaseEvent;
use cypresscleat_leases::{node_id, Claim, Partition, Time};
use serde_json::{json, Map, Value};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Answers longer than this end the connection.
const LINE: usize = 4096;
const CONNECT: Duration = Duration::from_millis(500);
/// An act that is not answered is sent again after this long.
const AGAIN: Time = 5_000;
/// A part under which a later token acted: nothing more until it is owned anew.
const NEVER: Time = Time::MAX / 8;

/// What is to be done next of a part.
pub struct Item {
    pub number: u64,
    /// What else the ledger is told of it.
    pub more: Map<String, Value>,
    /// Where the work stands once the ledger has it; `None` where the duty keeps no cursor.
    pub after: Option<Vec<u8>>,
}

/// What a duty does. It is asked from one task only; it may read files, for as long as the parts' other work may wait.
pub trait Source {
    /// A part is owned from now on; its work stands at `cursor`.
    fn begins(&mut self, part: u32, cursor: &[u8]);
    fn ends(&mut self, part: u32);
    /// `Err` is how long to wait before it is asked again.
    fn next(&mut self, part: u32) -> Result<Item, Time>;
    /// The ledger has the item, and the cursor stands behind it: how long until the next.
    fn done(&mut self, part: u32, number: u64) -> Time;
}

struct Work {
    token: u64,
    /// What was sent and is not done.
    item: Option<Item>,
    next: Time,
    /// Its cursor waits to be decided.
    ticket: Option<u64>,
}

/// Holds a connection to the ledger, and brings its answers back.
async fn connection(ledger: SocketAddr, mut acts: Receiver<String>, answers: Sender<Value>) {
    loop {
        let Ok(Ok(mut stream)) = timeout(CONNECT, TcpStream::connect(ledger)).await else {
            sleep(Duration::from_millis(100)).await;
            while acts.try_recv().is_ok() {} // too old to be sent by the time that there is somebody
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (reader, mut writer) = stream.split();
        let mut lines = BufReader::with_capacity(LINE, reader);
        let mut line = Vec::new();
        loop {
            tokio::select! {
                act = acts.recv() => {
                    let Some(act) = act else { return };
                    if !matches!(timeout(CONNECT, writer.write_all(act.as_bytes())).await, Ok(Ok(()))) {
                        break;
                    }
                }
                got = lines.read_until(b'\n', &mut line) => {
                    if !matches!(got, Ok(1..)) || line.len() > LINE {
                        break;
                    }
                    if let Ok(answer) = serde_json::from_slice(&line) {
                        if answers.send(answer).await.is_err() {
                            return;
                        }
                    }
                    line.clear();
                }
            }
        }
    }
}

/// Owns what it is given of a duty's parts, and works on them until it is told to stop.
pub async fn run(
    name: &str,
    keepers: &ControlReplicas,
    duty: &str,
    parts: u32,
    ledger: SocketAddr,
    mut source: impl Source,
) -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let number = node_id(duty);
    let mut hold =
        LeaseHolder::new(name, keepers, vec![Claim { task: number, partitions: parts, rank: 0 }]).await?;
    log!("{name} is ready for {duty:?} in {parts} parts");
    let (to, acts) = channel(256);
    let (from, mut answers) = channel(256);
    spawn_local(connection(ledger, acts, from));
    let mut work: HashMap<Partition, Work> = HashMap::new();
    let mut done = 0u64;
    loop {
        let next = work.values().filter(|one| one.ticket.is_none()).map(|one| one.next).min();
        let until = next.unwrap_or(NEVER).min(hold.clock.now() + 10_000);
        tokio::select! {
            event = hold.next_event(until) => match event {
                Some(LeaseEvent::Acquired { partition, token, cursor }) => {
                    log!("owns {duty} part {} under token {token}", partition.index);
                    source.begins(partition.index, &cursor);
                    work.insert(partition, Work { token, item: None, next: hold.clock.now(), ticket: None });
                }
                Some(LeaseEvent::Lost { partition, token }) => {
                    log!("owns {duty} part {} no longer, token {token}", partition.index);
                    if work.remove(&partition).is_some() {
                        source.ends(partition.index);
                    }
                }
                Some(LeaseEvent::ReleaseRequested { partition }) => {
                    if work.remove(&partition).is_some() {
                        source.ends(partition.index);
                    }
                    hold.release(partition);
                }
                Some(LeaseEvent::CursorSaved { ticket, accepted }) => {
                    if let Some((partition, one)) = work.iter_mut().find(|(_, one)| one.ticket == Some(ticket)) {
                        one.ticket = None;
                        let item = one.item.take();
                        one.next = match item.filter(|_| accepted) {
                            Some(item) => {
                                done += 1;
                                hold.clock.now() + source.done(partition.index, item.number)
                            }
                            None => NEVER,
                        };
                    }
                }
                None => {}
            },
            answer = answers.recv() => {
                let Some(answer) = answer else { break };
                let partition = Partition { task: number, index: answer["part"].as_u64().unwrap_or(u64::MAX) as u32 };
                let Some(one) = work.get_mut(&partition) else { continue };
                let Some(item) = one.item.as_ref().filter(|item| answer["item"] == json!(item.number)) else { continue };
                if one.ticket.is_some() {
                    continue;
                }
                if answer["taken"] == json!(true) {
                    match item.after.clone() {
                        Some(after) => one.ticket = hold.save_cursor(partition, after),
                        None => {
                            let number = item.number;
                            (one.item, done) = (None, done + 1);
                            one.next = hold.clock.now() + source.done(partition.index, number);
                        }
                    }
                } else if answer["token"].as_u64().is_some_and(|token| token > one.token) {
                    one.next = NEVER;
                }
            }
            _ = term.recv() => break,
        }
        let now = hold.clock.now();
        for (partition, one) in work.iter_mut().filter(|(_, one)| one.ticket.is_none() && one.next <= now) {
            if one.item.is_none() {
                match source.next(partition.index) {
                    Ok(item) => one.item = Some(item),
                    Err(wait) => one.next = now + wait.max(10),
                }
            }
            let Some(item) = &one.item else { continue };
            // The lease is looked at right before the act, and the act carries the token.
            let Some(token) = hold.valid_token(*partition).filter(|token| *token == one.token) else {
                one.next = now + 100;
                continue;
            };
            let mut act = item.more.clone();
            act.insert("duty".into(), json!(duty));
            act.insert("part".into(), json!(partition.index));
            act.insert("item".into(), json!(item.number));
            act.insert("token".into(), json!(token));
            act.insert("by".into(), json!(name));
            let line = format!("{}\n", Value::Object(act));
            one.next = now + if to.try_send(line).is_ok() { AGAIN } else { 100 };
        }
    }
    // Told to leave: nothing of ours is begun any more, and the next may go on at once.
    for (partition, one) in work.drain() {
        log!("released {duty} part {}, token {}", partition.index, one.token);
    }
    hold.leave().await;
    log!("stopped: {done} items done");
    Ok(())
}
