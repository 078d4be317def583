//! The main loop of every task that acts on an external ledger. Each owned partition processes one item after the other. The ledger
//! compares fencing tokens and knows each item by its number (one JSON object a line, both ways):
//!
//! ```text
//!     {"duty":"tally","part":0,"item":12,"token":57,"by":"n1"}      and the task's fields of the item
//!     {"part":0,"item":12,"taken":true}        or taken false, where the ledger has seen a later token
//! ```
//!
//! The ledger accepts an item that it has applied before, and it changes nothing. A crash between the ledger's response and the saved
//! cursor is therefore harmless.

use super::lease_holder::LeaseHolder;
use super::ControlReplicas;
use crate::log;
use crate::signals::{OperatorSignal, OperatorSignals};
use cypresscleat_leases::client::LeaseEvent;
use cypresscleat_leases::{node_id, Claim, Partition, Time};
use serde_json::{json, Map, Value};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Maximum length of a response line; a longer one closes the connection.
const MAX_LINE_BYTES: usize = 4096;
/// Time limit of a connection attempt, and of writing a line.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// What SIGHUP leaves as it is.
const READ_AT_START_ONLY: &str = "the operator's file is read with a start only: nothing of it has changed";
/// Time until an operation without a response is sent again.
const RETRY_DELAY: Time = 5_000;
/// Next attempt of a partition whose token the ledger has rejected as stale: none until it is acquired again.
const NEVER: Time = Time::MAX / 8;

/// The next item of a partition.
pub struct Item {
    pub number: u64,
    /// The task's own fields of the item, sent to the ledger.
    pub fields: Map<String, Value>,
    /// The cursor once the ledger has accepted the item; `None` where the task saves no cursor.
    pub cursor_after: Option<Vec<u8>>,
}

/// The items of a task. It is called from one async task only, which renews the leases too: it must not block.
pub trait ItemSource {
    /// The partition is owned from now on; its work resumes at `cursor`.
    fn start_partition(&mut self, partition: u32, cursor: &[u8]);
    /// The partition is no longer owned.
    fn stop_partition(&mut self, partition: u32);
    /// Returns the next item; `Err` is the time to wait before the next call.
    fn next_item(&mut self, partition: u32) -> Result<Item, Time>;
    /// The ledger has accepted the item, and its cursor is saved. Returns the time until the next item.
    fn complete_item(&mut self, partition: u32, number: u64) -> Time;
}

/// Work on an owned partition.
struct PartitionWork {
    token: u64,
    /// The item that was sent and is not completed.
    item: Option<Item>,
    /// Time of the next attempt.
    next_at: Time,
    /// Ticket of the cursor whose save is pending.
    ticket: Option<u64>,
}

/// Keeps a connection to the ledger open, sends operations and returns the responses.
async fn run_connection(ledger: SocketAddr, mut operations: Receiver<String>, responses: Sender<Value>) {
    loop {
        let Ok(Ok(mut stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(ledger)).await else {
            sleep(Duration::from_millis(100)).await;
            while operations.try_recv().is_ok() {} // too old to be sent once the ledger is back
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (reader, mut writer) = stream.split();
        let mut lines = BufReader::with_capacity(MAX_LINE_BYTES, reader);
        let mut line = Vec::new();
        loop {
            tokio::select! {
                operation = operations.recv() => {
                    let Some(operation) = operation else { return };
                    if !matches!(timeout(CONNECT_TIMEOUT, writer.write_all(operation.as_bytes())).await, Ok(Ok(()))) {
                        break;
                    }
                }
                read = lines.read_until(b'\n', &mut line) => {
                    if !matches!(read, Ok(1..)) || line.len() > MAX_LINE_BYTES {
                        break;
                    }
                    if let Ok(response) = serde_json::from_slice(&line) {
                        if responses.send(response).await.is_err() {
                            return;
                        }
                    }
                    line.clear();
                }
            }
        }
    }
}

/// Returns the output of the future, or `None` where SIGTERM comes first.
pub async fn unless_terminated<T>(future: impl Future<Output = io::Result<T>>) -> io::Result<Option<T>> {
    let mut sigterm = signal(SignalKind::terminate())?;
    let mut signals = OperatorSignals::install()?;
    tokio::pin!(future);
    loop {
        tokio::select! {
            output = &mut future => return output.map(Some),
            _ = sigterm.recv() => return Ok(None),
            signal = signals.next() => match signal {
                OperatorSignal::Reload => log!("{READ_AT_START_ONLY}"),
                OperatorSignal::Report => log!("not ready yet: waits for its parts"),
            },
        }
    }
}

/// Claims the partitions of a task, and processes the items of those that it owns until SIGTERM.
pub async fn run(
    name: &str,
    control: &ControlReplicas,
    task: &str,
    partition_count: u32,
    ledger: SocketAddr,
    mut source: impl ItemSource,
) -> io::Result<()> {
    let mut sigterm = signal(SignalKind::terminate())?;
    let mut signals = OperatorSignals::install()?;
    let task_id = node_id(task);
    let mut holder =
        LeaseHolder::new(name, control, vec![Claim { task: task_id, partitions: partition_count, rank: 0 }])
            .await?;
    log!("{name} is ready for {task:?} in {partition_count} parts");
    let (to_ledger, operations) = channel(256);
    let (from_ledger, mut responses) = channel(256);
    spawn_local(run_connection(ledger, operations, from_ledger));
    let mut work: HashMap<Partition, PartitionWork> = HashMap::new();
    let mut completed = 0u64;
    loop {
        let next_at = work.values().filter(|owned| owned.ticket.is_none()).map(|owned| owned.next_at).min();
        let until = next_at.unwrap_or(NEVER).min(holder.clock.now() + 10_000);
        tokio::select! {
            event = holder.next_event(until) => match event {
                Some(LeaseEvent::Acquired { partition, token, cursor }) => {
                    log!("owns {task} part {} under token {token}", partition.index);
                    source.start_partition(partition.index, &cursor);
                    work.insert(partition, PartitionWork { token, item: None, next_at: holder.clock.now(), ticket: None });
                }
                Some(LeaseEvent::Lost { partition, token }) => {
                    log!("owns {task} part {} no longer, token {token}", partition.index);
                    if work.remove(&partition).is_some() {
                        source.stop_partition(partition.index);
                    }
                }
                Some(LeaseEvent::ReleaseRequested { partition }) => {
                    if work.remove(&partition).is_some() {
                        source.stop_partition(partition.index);
                    }
                    holder.release(partition);
                }
                Some(LeaseEvent::CursorSaved { ticket, accepted }) => {
                    if let Some((partition, owned)) = work.iter_mut().find(|(_, owned)| owned.ticket == Some(ticket)) {
                        owned.ticket = None;
                        let item = owned.item.take();
                        owned.next_at = match item.filter(|_| accepted) {
                            Some(item) => {
                                completed += 1;
                                holder.clock.now() + source.complete_item(partition.index, item.number)
                            }
                            None => NEVER,
                        };
                    }
                }
                None => {}
            },
            response = responses.recv() => {
                let Some(response) = response else { break };
                let partition = Partition { task: task_id, index: response["part"].as_u64().unwrap_or(u64::MAX) as u32 };
                let Some(owned) = work.get_mut(&partition) else { continue };
                let Some(item) = owned.item.as_ref().filter(|item| response["item"] == json!(item.number)) else { continue };
                if owned.ticket.is_some() {
                    continue;
                }
                if response["taken"] == json!(true) {
                    match item.cursor_after.clone() {
                        Some(cursor) => owned.ticket = holder.save_cursor(partition, cursor),
                        None => {
                            let number = item.number;
                            (owned.item, completed) = (None, completed + 1);
                            owned.next_at = holder.clock.now() + source.complete_item(partition.index, number);
                        }
                    }
                } else if response["token"].as_u64().is_some_and(|token| token > owned.token) {
                    owned.next_at = NEVER;
                }
            }
            _ = sigterm.recv() => break,
            signal = signals.next() => match signal {
                OperatorSignal::Reload => log!("{READ_AT_START_ONLY}"),
                OperatorSignal::Report => log!("owns {} parts of {task}, {completed} items done", work.len()),
            },
        }
        let now = holder.clock.now();
        for (partition, owned) in
            work.iter_mut().filter(|(_, owned)| owned.ticket.is_none() && owned.next_at <= now)
        {
            if owned.item.is_none() {
                match source.next_item(partition.index) {
                    Ok(item) => owned.item = Some(item),
                    Err(wait) => owned.next_at = now + wait.max(10),
                }
            }
            let Some(item) = &owned.item else { continue };
            // The lease is checked right before the operation, and the operation carries the fencing token.
            let Some(token) = holder.valid_token(*partition).filter(|token| *token == owned.token) else {
                owned.next_at = now + 100;
                continue;
            };
            let mut operation = item.fields.clone();
            operation.insert("duty".into(), json!(task));
            operation.insert("part".into(), json!(partition.index));
            operation.insert("item".into(), json!(item.number));
            operation.insert("token".into(), json!(token));
            operation.insert("by".into(), json!(name));
            let line = format!("{}\n", Value::Object(operation));
            owned.next_at = now + if to_ledger.try_send(line).is_ok() { RETRY_DELAY } else { 100 };
        }
    }
    // After SIGTERM no operation is started any more, so the next owner may continue at once.
    for (partition, owned) in work.drain() {
        log!("released {task} part {}, token {}", partition.index, owned.token);
    }
    holder.leave().await;
    log!("stopped: {completed} items done");
    Ok(())
}
