//! The link to the ledger: posts calls on one connection, tells how each ended and whether it ran.

use crate::config::Addresses;
use crate::core::{Command, Note, Shared};
use crate::counters::add;
use crate::frames::Txn;
use crate::lines::{self, NextReply, Reply};
use crate::log;
use crate::pool::{Outbox, SIZE};
use cypresscleat::api::Outcome;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Sender;
use tokio::time::{sleep_until, timeout, Instant};

const CONNECT: Duration = Duration::from_secs(1);
/// Closed from here well before the ledger closes it, so that no call crosses that close.
const IDLE: Duration = Duration::from_secs(5);

/// One connection and the calls on it, each with its number and where its text begins in the outbox.
struct Line {
    address: SocketAddr,
    out: Outbox,
    calls: RefCell<HashMap<Txn, (u64, u64)>>,
    /// Takes no new call.
    retired: Cell<bool>,
}

/// Carries out the core's commands. Without an address every call ends as one that found nobody.
pub async fn link(at: Rc<Addresses>, shared: Shared, queue: Sender<Note>) {
    let mut lines: Vec<Rc<Line>> = Vec::new();
    loop {
        shared.ledger.wake.notified().await;
        loop {
            let Some(command) = shared.ledger.queue.borrow_mut().pop_front() else { break };
            lines.retain(|line| !line.retired.get() || !line.calls.borrow().is_empty());
            match command {
                Command::Post { txn, number, text } => {
                    let Some(address) = at.ledger.get() else {
                        let how = Outcome::NoConnection;
                        let _ = queue.send(Note::Called { txn, number, how, reply: None }).await;
                        continue;
                    };
                    // Where the ledger has moved, the old connections end with the calls that are on them.
                    for line in lines.iter().filter(|line| line.address != address) {
                        line.retired.set(true);
                        line.out.wake.notify_one();
                    }
                    let usable = lines.iter().find(|line| !line.retired.get()).cloned();
                    let line = usable.unwrap_or_else(|| {
                        let (calls, retired) = (RefCell::default(), Cell::new(false));
                        let line = Rc::new(Line { address, out: Outbox::new(&shared.pool), calls, retired });
                        lines.push(line.clone());
                        tokio::task::spawn_local(run(line.clone(), shared.clone(), queue.clone()));
                        line
                    });
                    line.calls.borrow_mut().insert(txn, (number, line.out.end()));
                    line.out.push(&text);
                }
                Command::Abandon { txn, late } => {
                    for line in lines.iter().filter(|line| line.calls.borrow_mut().remove(&txn).is_some()) {
                        line.out.push(lines::abandon(&String::from_utf8_lossy(&txn)).as_bytes());
                        // Its reply may be on its way, or the connection hang: the next call gets another.
                        line.retired.set(line.retired.get() || late);
                    }
                }
            }
        }
    }
}

/// One connection from its start to its end, where each call still on it gets its outcome.
async fn run(line: Rc<Line>, shared: Shared, queue: Sender<Note>) {
    let connected = match timeout(CONNECT, TcpStream::connect(line.address)).await {
        Ok(connected) => connected,
        Err(_) => Err(ErrorKind::TimedOut.into()),
    };
    let result = match connected {
        Ok(stream) => carry(&line, &stream, &shared, &queue).await,
        Err(error) => Err(error),
    };
    line.retired.set(true);
    if let Err(error) = result {
        log!("a connection to the ledger with {} calls: {error}", line.calls.borrow().len());
    }
    let written = line.out.written();
    let calls: Vec<_> = line.calls.borrow_mut().drain().collect();
    for (txn, (number, start)) in calls {
        // Of which nothing was written, that surely never ran; nothing is known of the others.
        let how = if start >= written { Outcome::NoConnection } else { Outcome::ConnectionLost };
        let _ = queue.send(Note::Called { txn, number, how, reply: None }).await;
    }
    line.out.clear();
}

async fn carry(line: &Line, stream: &TcpStream, shared: &Shared, queue: &Sender<Note>) -> io::Result<()> {
    let _ = stream.set_nodelay(true);
    let mut buf = shared.pool.take();
    let mut used = Instant::now();
    loop {
        if !line.out.is_empty() {
            used = Instant::now();
            line.out.flush(|bytes| stream.try_write(bytes))?;
        }
        let empty = line.calls.borrow().is_empty() && line.out.is_empty();
        if empty && line.retired.get() {
            return Ok(());
        }
        tokio::select! {
            () = line.out.wake.notified() => continue,
            ready = stream.writable(), if !line.out.is_empty() => { ready?; continue }
            () = sleep_until(used + IDLE), if empty => return Ok(()),
            ready = stream.readable() => ready?,
        }
        match stream.try_read(buf.spare()) {
            Ok(0) if empty => return Ok(()),
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(many) => buf.filled(many),
            Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
            Err(error) => return Err(error),
        }
        used = Instant::now();
        let mut at = 0;
        loop {
            match lines::reply(&buf[at..], SIZE) {
                NextReply::More => break,
                NextReply::Reply(Reply { call, how, body }, size) => {
                    let txn = Txn::try_from(call.as_bytes()).ok();
                    let known = txn.and_then(|txn| Some((txn, line.calls.borrow_mut().remove(&txn)?)));
                    if let Some((txn, (number, _))) = known {
                        let reply = (how == Outcome::Succeeded).then(|| {
                            let mut reply = shared.pool.take();
                            reply.push(body);
                            reply
                        });
                        let _ = queue.send(Note::Called { txn, number, how, reply }).await;
                    }
                    at += size;
                }
                NextReply::Unknown(size) => {
                    add(&shared.counters.malformed);
                    log!("from the ledger: a line that means nothing");
                    at += size;
                }
                NextReply::Broken(what) => return Err(io::Error::new(ErrorKind::InvalidData, what)),
            }
        }
        buf.consume(at);
    }
}
