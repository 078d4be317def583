//! The frontend for routers: translates frames to requests, and responses to frames.

use super::{Connection, Frontend, CAPACITY_RETRY_DELAY, MAX_OUTBOX_BYTES, NO_MESSAGE, PARTIAL_MESSAGE};
use crate::clock::MS;
use crate::core::incoming::{IncomingRequest, Peer, RequestError, ResponseStatus, ResponseWriter};
use crate::core::CoreEvent;
use crate::counters::add;
use crate::frames::{self, NextFrame};
use crate::pool::{Buf, Outbox, BUFFER_BYTES};
use crate::sockets::{linger, read_available};
use cypresscleat_settings::Names;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, ErrorKind};
use std::rc::Rc;
use tokio::net::TcpStream;

/// Writes responses as frames.
pub struct FrameWriter;

/// Writes one message, with the load feedback after its own fields.
fn write_message(
    outbox: &Outbox,
    kind: u8,
    stream: u32,
    code: u8,
    fields: &[(&str, &str)],
    feedback: Option<f64>,
    body: &[u8],
) {
    let head = match feedback {
        None => frames::response_head(kind, stream, code, fields, body.len()),
        Some(value) => {
            let value = format!("{value:.4}");
            let mut all = fields.to_vec();
            all.push(("feedback", &value));
            frames::response_head(kind, stream, code, &all, body.len())
        }
    };
    outbox.push(&head);
    outbox.push(body);
}

impl ResponseWriter for FrameWriter {
    fn write_response(
        &self,
        outbox: &Outbox,
        stream: u32,
        status: ResponseStatus,
        body: &[u8],
        feedback: Option<f64>,
    ) {
        match status {
            ResponseStatus::Succeeded => {
                write_message(outbox, frames::RESPONSE, stream, frames::SUCCEEDED, &[], feedback, body)
            }
            ResponseStatus::Failed(_) => {
                write_message(outbox, frames::RESPONSE, stream, frames::FAILED, &[], feedback, b"")
            }
            ResponseStatus::Rejected { retry_after, no_retry_elsewhere } => {
                let later = (retry_after / MS).to_string();
                let fields = [("later", later.as_str()), ("giveup", "1")];
                let fields = &fields[usize::from(retry_after < MS)..if no_retry_elsewhere { 2 } else { 1 }];
                write_message(outbox, frames::RESPONSE, stream, frames::REJECTED, fields, feedback, b"");
            }
        }
    }
    fn write_error(&self, outbox: &Outbox, stream: u32, _: RequestError) {
        write_message(outbox, frames::RESPONSE, stream, frames::FAILED, &[], None, b"");
    }
    fn write_close_notice(&self, outbox: &Outbox) -> bool {
        let mut frame = Vec::new();
        frames::write_frame(&mut frame, frames::CLOSING, 0, b"");
        outbox.push(&frame);
        false
    }
}

fn hash_item(item: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    item.hash(&mut hasher);
    hasher.finish()
}

/// Parses the request in a frame's payload.
pub fn read_request(bytes: Buf, names: &Names) -> Result<IncomingRequest, String> {
    let fields = frames::parse_request(&bytes)?;
    let position = |names: &[String], name: &str| names.iter().position(|known| known == name);
    let class = position(&names.classes, fields.class).ok_or_else(|| format!("verb {:?}", fields.class))?;
    let tenant = match fields.tenant {
        Some(name) if !names.tenants.is_empty() => {
            Some(position(&names.tenants, name).ok_or_else(|| format!("team {name:?}"))?)
        }
        _ => None,
    };
    let frames::Request {
        request_id,
        arrived_at,
        expected_work,
        memory_kb,
        client_priority,
        item,
        idempotency_key,
        body,
        ..
    } = fields;
    let (has_item, subject, idempotency_key) =
        (item.is_some(), item.map(hash_item), idempotency_key.map(Box::from));
    let body = bytes.len() - body.len()..bytes.len();
    Ok(IncomingRequest {
        request_id,
        class,
        tenant,
        arrived_at,
        remaining_timeout: None,
        client_priority,
        expected_work,
        memory_kb,
        has_item,
        idempotency_key,
        subject,
        is_frame_payload: true,
        bytes,
        body,
    })
}

struct Reader {
    partial: Option<Buf>,
    ended: bool,
}

/// Reads and writes one connection until it ends. After the end of its input, or once it broke the protocol and is read
/// no more, its open requests are still answered.
pub async fn run_connection(
    frontend: &Frontend,
    names: &Names,
    stream: &mut TcpStream,
    connection: &Rc<Connection>,
) -> io::Result<()> {
    let (peer, pool) = (&connection.peer, &frontend.shared.pool);
    let mut reader = Reader { partial: None, ended: false };
    loop {
        peer.outbox.flush(|bytes| stream.try_write(bytes))?;
        if connection.end_now.get() {
            return Ok(());
        }
        let is_over = reader.ended || peer.is_closing.get();
        if is_over && peer.is_idle() {
            break;
        }
        if connection.close_requested.take() && !is_over {
            close_if_unused(frontend, names, stream, connection, &mut reader).await?;
            continue;
        }
        if connection.silence_expired.take() && !is_over {
            close_if_silent(frontend, names, stream, connection, &mut reader).await?;
            continue;
        }
        if peer.is_closing.get() {
            reader.partial = None; // nothing more is read
        }
        let can_write = !peer.outbox.is_empty();
        let can_read = !reader.ended && !peer.is_closing.get() && peer.outbox.len() < MAX_OUTBOX_BYTES;
        let has_buffer = reader.partial.is_some() || pool.has_capacity();
        tokio::select! {
            () = peer.outbox.wake.notified() => {}
            ready = stream.writable(), if can_write => ready?,
            ready = stream.readable(), if can_read && has_buffer => {
                ready?;
                let mut buf = reader.partial.take().unwrap_or_else(|| pool.take());
                let read = stream.try_read(buf.spare());
                handle_read(frontend, names, connection, &mut reader, buf, read).await?;
            }
            () = tokio::time::sleep(CAPACITY_RETRY_DELAY), if can_read && !has_buffer => {}
        }
    }
    if reader.ended {
        return Ok(()); // the input has ended: nothing can be unread
    }
    drop(reader);
    frontend.begin_lingering(connection);
    linger(stream, &peer.outbox.wake, || connection.end_now.get()).await
}

/// Handles the result of a read; returns whether it brought anything.
async fn handle_read(
    frontend: &Frontend,
    names: &Names,
    connection: &Connection,
    reader: &mut Reader,
    mut buf: Buf,
    read: io::Result<usize>,
) -> io::Result<bool> {
    let brought = matches!(read, Ok(1..));
    match read {
        Ok(0) => reader.ended = true,
        Ok(count) => {
            buf.advance(count);
            handle_frames(frontend, names, connection, &mut buf).await;
        }
        Err(error) if error.kind() == ErrorKind::WouldBlock => {}
        Err(error) => return Err(error),
    }
    connection.partial_since.set(match connection.partial_since.get() {
        _ if buf.is_empty() => None,
        since => since.or(Some(frontend.clock.now())),
    });
    if !buf.is_empty() {
        reader.partial = Some(buf);
    }
    Ok(brought)
}

/// Closes a connection on request, but not with unread data in the socket, which the close would lose. A request that
/// arrives later crosses the close, and the client sends it again by the protocol.
async fn close_if_unused(
    frontend: &Frontend,
    names: &Names,
    stream: &TcpStream,
    connection: &Connection,
    reader: &mut Reader,
) -> io::Result<()> {
    let peer = &connection.peer;
    let mut buf = reader.partial.take().unwrap_or_else(|| frontend.shared.pool.take());
    let read = read_available(stream, buf.spare());
    let brought = handle_read(frontend, names, connection, reader, buf, read).await?;
    // Protects messages sent while a request is open: a connection that is about to close and is not read any more
    // would lose them.
    if brought || reader.ended || peer.is_closing.get() || !peer.is_idle() {
        frontend.connection_closed.notify_one(); // a task that waits for capacity looks for another connection
        return Ok(());
    }
    if peer.close_announced_at.get().is_none() {
        add(&frontend.shared.counters.idle_closed);
    }
    peer.announce_close(frontend.clock.now());
    peer.close();
    Ok(())
}

/// Ends a connection whose silence has lasted too long by the clock, unless the socket holds the rest of its message.
/// Such data arrived before the timer fired: after a pause of the machine timers run ahead of received data, and
/// without a free buffer nothing was read.
async fn close_if_silent(
    frontend: &Frontend,
    names: &Names,
    stream: &TcpStream,
    connection: &Connection,
    reader: &mut Reader,
) -> io::Result<()> {
    let before = connection.partial_since.get();
    let mut buf = reader.partial.take().unwrap_or_else(|| frontend.shared.pool.take());
    let read = read_available(stream, buf.spare());
    handle_read(frontend, names, connection, reader, buf, read).await?;
    let (partial, peer) = (connection.partial_since.get(), &connection.peer);
    let what = match (partial, before) {
        _ if reader.ended || peer.is_closing.get() => return Ok(()),
        (Some(_), Some(_)) if partial == before => PARTIAL_MESSAGE,
        (None, None) if !peer.has_received_message.get() => NO_MESSAGE,
        _ => return Ok(()),
    };
    let counters = &frontend.shared.counters;
    add(&counters.silent_closed);
    connection.partial_since.set(None);
    peer.close_on_violation(counters, 0, RequestError::TimedOut, what);
    Ok(())
}

/// Handles all complete frames in the buffer.
async fn handle_frames(frontend: &Frontend, names: &Names, connection: &Connection, buf: &mut Buf) {
    let (peer, counters) = (&connection.peer, &frontend.shared.counters);
    let mut at = 0;
    while !peer.is_closing.get() {
        match frames::next_frame(&buf[at..], BUFFER_BYTES) {
            NextFrame::Incomplete => break,
            NextFrame::Frame { kind, stream, payload, size } => {
                handle_frame(frontend, names, peer, kind, stream, payload).await;
                connection.partial_since.set(None);
                at += size;
            }
            NextFrame::TooLarge { kind, stream, size } => {
                let stream = if kind == frames::REQUEST { stream } else { 0 };
                peer.close_on_violation(
                    counters,
                    stream,
                    RequestError::Malformed,
                    &format!("a frame of {size} bytes"),
                );
            }
            NextFrame::Invalid { length } => {
                peer.close_on_violation(
                    counters,
                    0,
                    RequestError::Malformed,
                    &format!("a frame of length {length}"),
                );
            }
        }
    }
    buf.consume(if peer.is_closing.get() { buf.len() } else { at });
}

async fn handle_frame(
    frontend: &Frontend,
    names: &Names,
    peer: &Rc<Peer>,
    kind: u8,
    stream: u32,
    payload: &[u8],
) {
    // A health check requests no work: it does not keep a connection open whose client was told to send no more.
    if kind != frames::HEALTH_CHECK || peer.close_announced_at.get().is_none() {
        peer.active_at.set(frontend.clock.now());
    }
    let event = match kind {
        frames::REQUEST if stream > 0 => {
            let mut copy = frontend.shared.pool.take();
            copy.push(payload);
            peer.queued_requests.set(peer.queued_requests.get() + 1);
            CoreEvent::RequestArrived { peer: peer.clone(), stream, request: read_request(copy, names) }
        }
        frames::CLIENT_LEFT => CoreEvent::ClientLeft { peer: peer.clone(), stream },
        frames::HEALTH_CHECK => return answer_health_check(frontend, peer, stream, payload),
        _ => {
            let what = format!("a frame of type {kind} on stream {stream}");
            return peer.close_on_violation(&frontend.shared.counters, 0, RequestError::Malformed, &what);
        }
    };
    peer.has_received_message.set(true);
    let _ = frontend.queue.send(event).await;
}

/// Answers a health check at once, with the scheduler's last state. A forwarder names itself and its requests in flight
/// here; while this server is warming up, the same response tells the forwarder how many slots it may use.
fn answer_health_check(frontend: &Frontend, peer: &Peer, stream: u32, payload: &[u8]) {
    peer.has_received_message.set(true);
    add(&frontend.shared.counters.checks);
    let status = &frontend.shared.server_status;
    let code = if status.is_healthy.get() && status.is_in_service.get() {
        frames::SUCCEEDED
    } else {
        frames::FAILED
    };
    let reserved = status.slow_start_limit.get().and_then(|limit| {
        let (forwarder, in_flight) = frames::parse_slow_start_request(payload)?;
        Some(
            frontend
                .slow_start
                .borrow_mut()
                .reserve(frontend.clock.now(), forwarder, in_flight, limit, frontend.client_count)
                .to_string(),
        )
    });
    let fields: Vec<_> = reserved.iter().map(|slots| (frames::SLOW_START_FIELD, slots.as_str())).collect();
    write_message(
        &peer.outbox,
        frames::HEALTH_RESPONSE,
        stream,
        code,
        &fields,
        status.load_feedback.get(),
        b"",
    );
}
