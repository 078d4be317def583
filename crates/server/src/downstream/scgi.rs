//! Downstream calls as SCGI requests to a backend: one connection for each, as the protocol requires.

use crate::clock::MS;
use crate::core::incoming::RequestId;
use crate::core::{CoreEvent, DownstreamCommand, Shared};
use crate::counters::add;
use crate::frames::MAX_RESULT_BYTES;
use crate::log;
use crate::pool::{Buf, BUFFER_BYTES};
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

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A response's header and a result of 4 KiB fit one buffer.
const BOUNDS: Bounds = Bounds {
    max_header_bytes: BUFFER_BYTES - MAX_RESULT_BYTES - 16,
    max_fields: 64,
    max_body_bytes: MAX_RESULT_BYTES,
};

/// Where calls go: the backend's address and the path of its service.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    pub address: SocketAddr,
    pub path: String,
}

/// The backend currently set in the operator's file.
pub struct CurrentBackend(pub RefCell<Backend>);

struct Call {
    request_id: RequestId,
    is_cancelled: Cell<bool>,
    wake: Notify,
}

/// Maps a response status to the outcome of the call.
pub fn outcome(status: u16) -> Outcome {
    match status {
        200..=299 => Outcome::Succeeded,
        // The only status which says that the call did not run.
        503 => Outcome::Rejected,
        504 => Outcome::TimedOut,
        _ => Outcome::Failed,
    }
}

/// Carries out the core's commands on at most `max_connections` connections.
pub async fn run(
    current: Rc<CurrentBackend>,
    names: Rc<Names>,
    shared: Shared,
    queue: Sender<CoreEvent>,
    max_connections: usize,
) {
    let calls: Rc<RefCell<Vec<Rc<Call>>>> = Rc::default();
    loop {
        shared.downstream.wake.notified().await;
        loop {
            let Some(command) = shared.downstream.queue.borrow_mut().pop_front() else { break };
            match command {
                DownstreamCommand::Call { request_id, number, class, timeout, body } => {
                    if calls.borrow().len() >= max_connections {
                        let outcome = Outcome::ConnectFailed;
                        let _ = queue
                            .send(CoreEvent::CallCompleted { request_id, number, outcome, reply: None })
                            .await;
                        continue;
                    }
                    // A second call of one request cancels the first.
                    cancel_calls(&calls, request_id);
                    let backend = current.0.borrow().clone();
                    let bytes =
                        encode_request(&backend.path, &names.classes[class], request_id, timeout, &body);
                    let call =
                        Rc::new(Call { request_id, is_cancelled: Cell::new(false), wake: Notify::new() });
                    calls.borrow_mut().push(call.clone());
                    let (shared, queue, calls) = (shared.clone(), queue.clone(), calls.clone());
                    tokio::task::spawn_local(async move {
                        let completed = run_call(&call, backend.address, &bytes, &shared).await;
                        calls.borrow_mut().retain(|other| !Rc::ptr_eq(other, &call));
                        if let (Some((outcome, reply)), false) = (completed, call.is_cancelled.get()) {
                            let _ = queue
                                .send(CoreEvent::CallCompleted { request_id, number, outcome, reply })
                                .await;
                        }
                    });
                }
                DownstreamCommand::Cancel { request_id } => cancel_calls(&calls, request_id),
            }
        }
    }
}

fn cancel_calls(calls: &RefCell<Vec<Rc<Call>>>, request_id: RequestId) {
    for call in calls.borrow().iter().filter(|call| call.request_id == request_id) {
        call.is_cancelled.set(true);
        call.wake.notify_one();
    }
}

fn encode_request(path: &str, class: &str, request_id: RequestId, timeout: Time, body: &[u8]) -> Vec<u8> {
    let (timeout, id) =
        ((timeout / MS).max(1).to_string(), String::from_utf8_lossy(&request_id).into_owned());
    let fields = [
        ("REQUEST_METHOD", &b"POST"[..]),
        ("REQUEST_URI", path.as_bytes()),
        ("SCRIPT_NAME", path.as_bytes()),
        ("PATH_INFO", b""),
        ("QUERY_STRING", b""),
        ("SERVER_PROTOCOL", b"HTTP/1.1"),
        ("CONTENT_TYPE", b"application/octet-stream"),
        ("HTTP_CYPRESSCLEAT_ID", id.as_bytes()),
        ("HTTP_CYPRESSCLEAT_OPERATION", class.as_bytes()),
        ("HTTP_CYPRESSCLEAT_WITHIN_MS", timeout.as_bytes()),
    ];
    let mut out = Vec::new();
    if let Err(fault) = request::write(&mut out, &fields, body) {
        log!("a call can't be encoded: {fault}");
    }
    out
}

/// Runs one call from its connection to its outcome; `None` where the call was cancelled.
async fn run_call(
    call: &Call,
    address: SocketAddr,
    bytes: &[u8],
    shared: &Shared,
) -> Option<(Outcome, Option<Buf>)> {
    let mut written = 0;
    let result = tokio::select! {
        biased;
        () = call.wake.notified() => return None,
        result = exchange(address, bytes, shared, &mut written) => result,
    };
    match result {
        Ok((status, reply)) => {
            let outcome = outcome(status);
            Some((outcome, Some(reply).filter(|_| outcome == Outcome::Succeeded)))
        }
        Err(error) => {
            log!("a call to the backend at {address}: {error}");
            // A call of which nothing was written surely never ran; otherwise it may have run.
            Some((if written > 0 { Outcome::ConnectionLost } else { Outcome::ConnectFailed }, None))
        }
    }
}

async fn exchange(
    address: SocketAddr,
    bytes: &[u8],
    shared: &Shared,
    written: &mut usize,
) -> io::Result<(u16, Buf)> {
    if bytes.is_empty() {
        return Err(ErrorKind::InvalidInput.into());
    }
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))?;
    let _ = stream.set_nodelay(true);
    let mut reader = response::Reader::new(BOUNDS);
    let mut buf = shared.pool.take();
    loop {
        let has_unsent = *written < bytes.len();
        tokio::select! {
            ready = stream.writable(), if has_unsent => {
                ready?;
                match stream.try_write(&bytes[*written..]) {
                    Ok(count) => *written += count,
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    Err(error) => return Err(error),
                }
                continue;
            }
            ready = stream.readable() => ready?,
        }
        let ended = match stream.try_read(buf.spare()) {
            Ok(0) => true,
            Ok(count) => {
                buf.advance(count);
                false
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
            Err(error) => return Err(error),
        };
        match reader.read(&buf, ended) {
            Ok(None) => {}
            Ok(Some(response)) => {
                if response.trailing_bytes > 0 {
                    add(&shared.counters.malformed);
                }
                let mut reply = shared.pool.take();
                reply.push(response.body);
                return Ok((response.status, reply));
            }
            Err(fault) => {
                add(&shared.counters.malformed);
                return Err(io::Error::new(ErrorKind::InvalidData, fault.to_string()));
            }
        }
    }
}
