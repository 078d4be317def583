//! The connections to the ledger: posts calls, one at a time on each, tells how each ended and whether it ran.

use crate::clock::MS;
use crate::config::Addresses;
use crate::core::door::Txn;
use crate::core::{Command, Note, Shared};
use crate::counters::add;
use crate::lines::{self, NextReply, Reply};
use crate::log;
use crate::pool::{Buf, SIZE};
use crate::sockets::look;
use cypresscleat_scheduler::Outcome;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Sender;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout, Instant};

const CONNECT: Duration = Duration::from_secs(1);
/// Closed from here well before the ledger closes it, so that no call crosses that close.
const IDLE: Duration = Duration::from_secs(5);
/// A reply that has begun and doesn't go on for this long never ends: its length was wrong.
const HALF: Duration = Duration::from_millis(200);
/// Replies to nobody that may stand before the one that is waited for.
const FOREIGN: u32 = 4;

struct Call {
    txn: Txn,
    number: u64,
    text: Buf,
}

/// One connection. Guards calls against each other: a reply that is spoilt, late or never comes, or a connection
/// that breaks, costs the one call on it. May hurt where connections are dear: under load there are as many as calls.
struct Line {
    address: SocketAddr,
    call: RefCell<Option<Call>>,
    /// The last that was put on it: a second copy of its reply may still come.
    last: Cell<Option<Txn>>,
    /// It ends now; a call on it is given up by that.
    closed: Cell<bool>,
    wake: Notify,
}

impl Line {
    fn close(&self) {
        self.closed.set(true);
        self.wake.notify_one();
    }
}

/// Carries out the core's commands on `most` connections. Without an address, or a connection for it, a call ends as
/// one that found nobody.
pub async fn link(at: Rc<Addresses>, shared: Shared, queue: Sender<Note>, most: usize) {
    let mut lines: Vec<Rc<Line>> = Vec::new();
    loop {
        shared.calls.wake.notified().await;
        loop {
            let Some(command) = shared.calls.queue.borrow_mut().pop_front() else { break };
            lines.retain(|line| !line.closed.get());
            match command {
                Command::Post { txn, number, within, body, .. } => {
                    // Where the ledger has moved, the old connections end with the calls that are on them.
                    let idle = |line: &&Rc<Line>| line.call.borrow().is_none();
                    let moved = |line: &&Rc<Line>| Some(line.address) != at.ledger.get();
                    lines.iter().filter(idle).filter(moved).for_each(|line| line.close());
                    let usable = |line: &&Rc<Line>| !line.closed.get() && line.last.get() != Some(txn);
                    // The one used last: the others idle until they are closed.
                    let used = lines.iter().filter(idle).rfind(usable).cloned();
                    let (Some(address), true) = (at.ledger.get(), used.is_some() || lines.len() < most)
                    else {
                        let how = Outcome::ConnectFailed;
                        let _ = queue.send(Note::Called { txn, number, how, reply: None }).await;
                        continue;
                    };
                    let mut text = shared.pool.take();
                    text.push(&lines::post(&String::from_utf8_lossy(&txn), (within / MS).max(1), &body));
                    drop(body);
                    let call = Some(Call { txn, number, text });
                    if let Some(line) = used {
                        line.last.set(Some(txn));
                        line.call.replace(call);
                        line.wake.notify_one();
                        // To the end of the list: used last.
                        lines.retain(|other| !Rc::ptr_eq(other, &line));
                        lines.push(line);
                        continue;
                    }
                    let (call, last, closed) = (RefCell::new(call), Cell::new(Some(txn)), Cell::new(false));
                    let line = Rc::new(Line { address, call, last, closed, wake: Notify::new() });
                    lines.push(line.clone());
                    tokio::task::spawn_local(run(line, at.clone(), shared.clone(), queue.clone()));
                }
                Command::Abandon { txn } => {
                    let on =
                        |line: &&Rc<Line>| line.call.borrow().as_ref().is_some_and(|call| call.txn == txn);
                    lines.iter().filter(on).for_each(|line| line.close());
                }
            }
        }
    }
}

/// One connection from its start to its end, where a call that is still on it gets its outcome.
async fn run(line: Rc<Line>, at: Rc<Addresses>, shared: Shared, queue: Sender<Note>) {
    let mut written = false;
    let connected = match timeout(CONNECT, TcpStream::connect(line.address)).await {
        Ok(connected) => connected,
        Err(_) => Err(ErrorKind::TimedOut.into()),
    };
    let result = match connected {
        Ok(stream) => carry(&line, &at, &stream, &shared, &queue, &mut written).await,
        Err(error) => Err(error),
    };
    let given_up = line.closed.replace(true);
    let Some(Call { txn, number, .. }) = line.call.take().filter(|_| !given_up) else { return };
    if let Err(error) = result {
        log!("a connection to the ledger with a call: {error}");
    }
    // Of which nothing was written, that surely never ran; nothing is known of another.
    let how = if written { Outcome::ConnectionLost } else { Outcome::ConnectFailed };
    let _ = queue.send(Note::Called { txn, number, how, reply: None }).await;
}

/// Ends without an error where no call is on it any more.
async fn carry(
    line: &Line,
    place: &Addresses,
    stream: &TcpStream,
    shared: &Shared,
    queue: &Sender<Note>,
    written: &mut bool,
) -> io::Result<()> {
    let _ = stream.set_nodelay(true);
    let mut buf = shared.pool.take();
    let mut heard = Instant::now();
    let (mut sent, mut foreign, mut rested) = (0, 0, false);
    loop {
        if line.closed.get() {
            return Ok(());
        }
        let waits = line.call.borrow().is_some();
        let rest = line.call.borrow().as_ref().map_or(0, |call| call.text.len() - sent);
        // Guards a call on a connection that rested: where it has been closed meanwhile, or noise stands on it, the call is not
        // written, so it is known not to have run, and may be made again whatever its effect.
        if rest > 0 && sent == 0 && rested {
            rested = false;
            match look(stream, buf.spare()) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
                Ok(_) => return Err(ErrorKind::UnexpectedEof.into()),
            }
        }
        if rest > 0 {
            let many = line.call.borrow().as_ref().map(|call| stream.try_write(&call.text[sent..]));
            match many {
                Some(Ok(many)) => {
                    *written = true;
                    sent += many;
                    continue;
                }
                Some(Err(error)) if error.kind() != ErrorKind::WouldBlock => return Err(error),
                _ => {}
            }
        }
        tokio::select! {
            () = line.wake.notified() => { heard = Instant::now(); continue }
            ready = stream.writable(), if rest > 0 => { ready?; continue }
            () = sleep_until(heard + IDLE), if !waits => return Ok(()),
            () = sleep_until(heard + HALF), if !buf.is_empty() => return Err(ErrorKind::TimedOut.into()),
            ready = stream.readable() => ready?,
        }
        match stream.try_read(buf.spare()) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(many) => buf.filled(many),
            Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
            Err(error) => return Err(error),
        }
        heard = Instant::now();
        // What comes without a call is a copy of a reply, or noise: this connection is not used again.
        if !waits {
            return Ok(());
        }
        let mut at = 0;
        loop {
            match lines::reply(&buf[at..], SIZE) {
                NextReply::More => break,
                NextReply::Reply(Reply { call, how, body }, size) => {
                    let own = line.call.borrow_mut().take_if(|own| own.txn == call.as_bytes());
                    if let Some(Call { txn, number, .. }) = own {
                        let reply = (how == Outcome::Succeeded).then(|| {
                            let mut reply = shared.pool.take();
                            reply.push(body);
                            reply
                        });
                        (sent, foreign, rested, *written) = (0, 0, true, false);
                        let _ = queue.send(Note::Called { txn, number, how, reply }).await;
                        if buf.len() > at + size || place.ledger.get() != Some(line.address) {
                            return Ok(()); // more than is its own, or the ledger has moved
                        }
                    } else {
                        foreign += 1;
                        add(&shared.counters.malformed);
                    }
                    at += size;
                    if foreign > FOREIGN {
                        return Err(io::Error::new(ErrorKind::InvalidData, "replies to nobody"));
                    }
                }
                NextReply::Broken(what) => {
                    add(&shared.counters.malformed);
                    return Err(io::Error::new(ErrorKind::InvalidData, what));
                }
            }
        }
        buf.consume(at);
    }
}
