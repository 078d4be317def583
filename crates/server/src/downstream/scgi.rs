//! Calls as SCGI requests to a backend: a connection each, as the protocol has it.

use crate::clock::MS;
use crate::core::door::Txn;
use crate::core::{Command, Note, Shared};
use crate::counters::add;
use crate::frames::RESULT;
use crate::log;
use crate::pool::{Buf, SIZE};
use cypresscleat_scgi::{request, response, Bounds};
use cypresscleat_scheduler::{Outcome, Time};
use cypresscleat_settings::Names;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Sender;
use tokio::sync::Notify;
use tokio::time::timeout;

const CONNECT: Duration = Duration::from_secs(1);
/// A response's header and the 4 KiB of a result fit one buffer.
const BOUNDS: Bounds = Bounds { header: SIZE - RESULT - 16, fields: 64, body: RESULT };

/// Where the calls go, and as what.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    pub address: SocketAddr,
    pub path: String,
}

/// The backend as the operator's file has it now.
pub struct Place(pub RefCell<Backend>);

struct Call {
    txn: Txn,
    closed: Cell<bool>,
    wake: Notify,
}

/// What a status says of the call.
pub fn outcome(status: u16) -> Outcome {
    match status {
        200..=299 => Outcome::Succeeded,
        // The one that says that nothing was done.
        503 => Outcome::Rejected,
        504 => Outcome::TimedOut,
        _ => Outcome::Failed,
    }
}

/// Carries out the core's commands on `most` connections.
pub async fn link(at: Rc<Place>, names: Rc<Names>, shared: Shared, queue: Sender<Note>, most: usize) {
    let calls: Rc<RefCell<Vec<Rc<Call>>>> = Rc::default();
    loop {
        shared.calls.wake.notified().await;
        loop {
            let Some(command) = shared.calls.queue.borrow_mut().pop_front() else { break };
            match command {
                Command::Post { txn, number, op, within, body } => {
                    if calls.borrow().len() >= most {
                        let how = Outcome::ConnectFailed;
                        let _ = queue.send(Note::Called { txn, number, how, reply: None }).await;
                        continue;
                    }
                    // A second call of one invocation gives up the first.
                    give_up(&calls, txn);
                    let backend = at.0.borrow().clone();
                    let text = write(&backend.path, &names.classes[op], txn, within, &body);
                    let call = Rc::new(Call { txn, closed: Cell::new(false), wake: Notify::new() });
                    calls.borrow_mut().push(call.clone());
                    let (shared, queue, calls) = (shared.clone(), queue.clone(), calls.clone());
                    tokio::task::spawn_local(async move {
                        let ended = run(&call, backend.address, &text, &shared).await;
                        calls.borrow_mut().retain(|other| !Rc::ptr_eq(other, &call));
                        if let (Some((how, reply)), false) = (ended, call.closed.get()) {
                            let _ = queue.send(Note::Called { txn, number, how, reply }).await;
                        }
                    });
                }
                Command::Abandon { txn } => give_up(&calls, txn),
            }
        }
    }
}

fn give_up(calls: &RefCell<Vec<Rc<Call>>>, txn: Txn) {
    for call in calls.borrow().iter().filter(|call| call.txn == txn) {
        call.closed.set(true);
        call.wake.notify_one();
    }
}

fn write(path: &str, operation: &str, txn: Txn, within: Time, body: &[u8]) -> Vec<u8> {
    let (within, id) = ((within / MS).max(1).to_string(), String::from_utf8_lossy(&txn).into_owned());
    let fields = [
        ("REQUEST_METHOD", &b"POST"[..]),
        ("REQUEST_URI", path.as_bytes()),
        ("SCRIPT_NAME", path.as_bytes()),
        ("PATH_INFO", b""),
        ("QUERY_STRING", b""),
        ("SERVER_PROTOCOL", b"HTTP/1.1"),
        ("CONTENT_TYPE", b"application/octet-stream"),
        ("HTTP_CYPRESSCLEAT_ID", id.as_bytes()),
        ("HTTP_CYPRESSCLEAT_OPERATION", operation.as_bytes()),
        ("HTTP_CYPRESSCLEAT_WITHIN_MS", within.as_bytes()),
    ];
    let mut out = Vec::new();
    if let Err(fault) = request::write(&mut out, &fields, body) {
        log!("a call that can't be written: {fault}");
    }
    out
}

/// One call from its connection to its outcome; `None` where it was given up.
async fn run(
    call: &Call,
    address: SocketAddr,
    text: &[u8],
    shared: &Shared,
) -> Option<(Outcome, Option<Buf>)> {
    let mut written = 0;
    let result = tokio::select! {
        biased;
        () = call.wake.notified() => return None,
        result = carry(address, text, shared, &mut written) => result,
    };
    match result {
        Ok((status, reply)) => {
            let how = outcome(status);
            Some((how, Some(reply).filter(|_| how == Outcome::Succeeded)))
        }
        Err(error) => {
            log!("a call to the backend at {address}: {error}");
            // Of which nothing was written, that surely never ran; nothing is known of another.
            Some((if written > 0 { Outcome::ConnectionLost } else { Outcome::ConnectFailed }, None))
        }
    }
}

async fn carry(
    address: SocketAddr,
    text: &[u8],
    shared: &Shared,
    written: &mut usize,
) -> io::Result<(u16, Buf)> {
    if text.is_empty() {
        return Err(ErrorKind::InvalidInput.into());
    }
    let connected = timeout(CONNECT, TcpStream::connect(address)).await;
    let stream = connected.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))?;
    let _ = stream.set_nodelay(true);
    let mut reader = response::Reader::new(BOUNDS);
    let mut buf = shared.pool.take();
    loop {
        let writes = *written < text.len();
        tokio::select! {
            ready = stream.writable(), if writes => {
                ready?;
                match stream.try_write(&text[*written..]) {
                    Ok(many) => *written += many,
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    Err(error) => return Err(error),
                }
                continue;
            }
            ready = stream.readable() => ready?,
        }
        let ended = match stream.try_read(buf.spare()) {
            Ok(0) => true,
            Ok(many) => {
                buf.filled(many);
                false
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
            Err(error) => return Err(error),
        };
        match reader.read(&buf, ended) {
            Ok(None) => {}
            Ok(Some(answer)) => {
                if answer.extra > 0 {
                    add(&shared.counters.malformed);
                }
                let mut reply = shared.pool.take();
                reply.push(answer.body);
                return Ok((answer.status, reply));
            }
            Err(fault) => {
                add(&shared.counters.malformed);
                return Err(io::Error::new(ErrorKind::InvalidData, fault.to_string()));
            }
        }
    }
}
