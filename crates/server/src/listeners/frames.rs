//! The routers' front: frames to neutral invocations, neutral answers to frames.

use super::{Conn, Front, BEHIND, HALF, NOTHING, NO_ROOM};
use crate::clock::MS;
use crate::core::door::{Fault, How, Invocation, Peer, Wire};
use crate::core::Note;
use crate::counters::add;
use crate::frames::{self, Next};
use crate::pool::{Buf, Outbox, SIZE};
use crate::sockets::{linger, look};
use cypresscleat_settings::Names;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, ErrorKind};
use std::rc::Rc;
use tokio::net::TcpStream;

/// Writes frames.
pub struct Frames;

/// Writes one answer, with what is to be said besides behind its own fields.
fn put(
    out: &Outbox,
    kind: u8,
    stream: u32,
    code: u8,
    fields: &[(&str, &str)],
    feedback: Option<f64>,
    body: &[u8],
) {
    let head = match feedback {
        None => frames::answer(kind, stream, code, fields, body.len()),
        Some(value) => {
            let value = format!("{value:.4}");
            let mut all = fields.to_vec();
            all.push(("feedback", &value));
            frames::answer(kind, stream, code, &all, body.len())
        }
    };
    out.push(&head);
    out.push(body);
}

impl Wire for Frames {
    fn answer(&self, out: &Outbox, stream: u32, how: How, body: &[u8], feedback: Option<f64>) {
        match how {
            How::Succeeded => put(out, frames::ANSWER, stream, frames::SUCCEEDED, &[], feedback, body),
            How::Errored(_) => put(out, frames::ANSWER, stream, frames::ERRORED, &[], feedback, b""),
            How::Throttled { back, give_up } => {
                let later = (back / MS).to_string();
                let fields = [("later", later.as_str()), ("giveup", "1")];
                let fields = &fields[usize::from(back < MS)..if give_up { 2 } else { 1 }];
                put(out, frames::ANSWER, stream, frames::THROTTLED, fields, feedback, b"");
            }
        }
    }
    fn fault(&self, out: &Outbox, stream: u32, _: Fault) {
        put(out, frames::ANSWER, stream, frames::ERRORED, &[], None, b"");
    }
    fn no_more(&self, out: &Outbox) -> bool {
        let mut frame = Vec::new();
        frames::frame(&mut frame, frames::NO_MORE, 0, b"");
        out.push(&frame);
        false
    }
}

fn hashed(item: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    item.hash(&mut hasher);
    hasher.finish()
}

/// The invocation in a frame's payload.
pub fn read(bytes: Buf, names: &Names) -> Result<Invocation, String> {
    let read = frames::invocation(&bytes)?;
    let place = |names: &[String], name: &str| names.iter().position(|known| known == name);
    let op = place(&names.classes, read.operation).ok_or_else(|| format!("verb {:?}", read.operation))?;
    let customer = match read.customer {
        Some(name) if !names.tenants.is_empty() => {
            Some(place(&names.tenants, name).ok_or_else(|| format!("team {name:?}"))?)
        }
        _ => None,
    };
    let frames::Invocation { txn, door, hint, kb, rank, item, token, body, .. } = read;
    let (keyed, subject, token) = (item.is_some(), item.map(hashed), token.map(Box::from));
    let body = bytes.len() - body.len()..bytes.len();
    Ok(Invocation {
        txn,
        op,
        customer,
        door,
        budget: None,
        rank,
        hint,
        kb,
        keyed,
        token,
        subject,
        raw: true,
        bytes,
        body,
    })
}

struct Reader {
    kept: Option<Buf>,
    ended: bool,
}

/// Reads and writes one connection until it ends. After its end of input, or once it broke the protocol and
/// is read no more, what is open on it is still answered.
pub async fn carry(front: &Front, names: &Names, stream: &mut TcpStream, conn: &Rc<Conn>) -> io::Result<()> {
    let (peer, pool) = (&conn.peer, &front.shared.pool);
    let mut reader = Reader { kept: None, ended: false };
    loop {
        peer.out.flush(|bytes| stream.try_write(bytes))?;
        if conn.kill.get() {
            return Ok(());
        }
        let over = reader.ended || peer.shut.get();
        if over && peer.is_idle() {
            break;
        }
        if conn.gives_way.take() && !over {
            give_way(front, names, stream, conn, &mut reader).await?;
            continue;
        }
        if conn.falls_silent.take() && !over {
            fall_silent(front, names, stream, conn, &mut reader).await?;
            continue;
        }
        if peer.shut.get() {
            reader.kept = None; // nothing more is read into it
        }
        let writes = !peer.out.is_empty();
        let reads = !reader.ended && !peer.shut.get() && peer.out.len() < BEHIND;
        let room = reader.kept.is_some() || pool.has_room();
        tokio::select! {
            () = peer.out.wake.notified() => {}
            ready = stream.writable(), if writes => ready?,
            ready = stream.readable(), if reads && room => {
                ready?;
                let mut buf = reader.kept.take().unwrap_or_else(|| pool.take());
                let read = stream.try_read(buf.spare());
                reads_on(front, names, conn, &mut reader, buf, read).await?;
            }
            () = tokio::time::sleep(NO_ROOM), if reads && !room => {}
        }
    }
    if reader.ended {
        return Ok(()); // nothing can stand unread
    }
    drop(reader);
    front.lingers(conn);
    linger(stream, &peer.out.wake, || conn.kill.get()).await
}

/// What a read brought; whether it brought anything.
async fn reads_on(
    front: &Front,
    names: &Names,
    conn: &Conn,
    reader: &mut Reader,
    mut buf: Buf,
    read: io::Result<usize>,
) -> io::Result<bool> {
    let brought = matches!(read, Ok(1..));
    match read {
        Ok(0) => reader.ended = true,
        Ok(many) => {
            buf.filled(many);
            take(front, names, conn, &mut buf).await;
        }
        Err(error) if error.kind() == ErrorKind::WouldBlock => {}
        Err(error) => return Err(error),
    }
    conn.half_since.set(match conn.half_since.get() {
        _ if buf.is_empty() => None,
        since => since.or(Some(front.clock.now())),
    });
    if !buf.is_empty() {
        reader.kept = Some(buf);
    }
    Ok(brought)
}

/// It is asked to close: not with something unread in the socket, which the close would lose. What comes from here on crosses it,
/// and is sent again by the protocol.
async fn give_way(
    front: &Front,
    names: &Names,
    stream: &TcpStream,
    conn: &Conn,
    reader: &mut Reader,
) -> io::Result<()> {
    let peer = &conn.peer;
    let mut buf = reader.kept.take().unwrap_or_else(|| front.shared.pool.take());
    let read = look(stream, buf.spare());
    let brought = reads_on(front, names, conn, reader, buf, read).await?;
    // Guards what is sent while a request is open: a connection that is to be closed and not read any more would lose it.
    if brought || reader.ended || peer.shut.get() || !peer.is_idle() {
        front.left.notify_one(); // whoever waits for its place looks for another
        return Ok(());
    }
    if peer.told.get().is_none() {
        add(&front.shared.counters.idle_closed);
    }
    peer.tell(front.clock.now());
    peer.end();
    Ok(())
}

/// Its silence has lasted too long by the clock. What stands in the socket came before that was seen: after a pause of the machine the
/// timers run ahead of what came in it, and while there was no buffer nothing was read. A message that is whole with it counts.
async fn fall_silent(
    front: &Front,
    names: &Names,
    stream: &TcpStream,
    conn: &Conn,
    reader: &mut Reader,
) -> io::Result<()> {
    let before = conn.half_since.get();
    let mut buf = reader.kept.take().unwrap_or_else(|| front.shared.pool.take());
    let read = look(stream, buf.spare());
    reads_on(front, names, conn, reader, buf, read).await?;
    let (half, peer) = (conn.half_since.get(), &conn.peer);
    let what = match (half, before) {
        _ if reader.ended || peer.shut.get() => return Ok(()),
        (Some(_), Some(_)) if half == before => HALF,
        (None, None) if !peer.spoke.get() => NOTHING,
        _ => return Ok(()),
    };
    let counters = &front.shared.counters;
    add(&counters.silent_closed);
    conn.half_since.set(None);
    peer.breach(counters, 0, Fault::Slow, what);
    Ok(())
}

/// Takes all whole frames from the buffer.
async fn take(front: &Front, names: &Names, conn: &Conn, buf: &mut Buf) {
    let (peer, counters) = (&conn.peer, &front.shared.counters);
    let mut at = 0;
    while !peer.shut.get() {
        match frames::next(&buf[at..], SIZE) {
            Next::More => break,
            Next::Frame { kind, stream, payload, size } => {
                frame(front, names, peer, kind, stream, payload).await;
                conn.half_since.set(None);
                at += size;
            }
            Next::Large { kind, stream, size } => {
                let stream = if kind == frames::INVOCATION { stream } else { 0 };
                peer.breach(counters, stream, Fault::Malformed, &format!("a frame of {size} bytes"));
            }
            Next::Broken { length } => {
                peer.breach(counters, 0, Fault::Malformed, &format!("a frame of length {length}"));
            }
        }
    }
    buf.consume(if peer.shut.get() { buf.len() } else { at });
}

async fn frame(front: &Front, names: &Names, peer: &Rc<Peer>, kind: u8, stream: u32, payload: &[u8]) {
    // A check asks for no work: it does not keep a connection that was told to send no more.
    if kind != frames::CHECK || peer.told.get().is_none() {
        peer.active_at.set(front.clock.now());
    }
    let note = match kind {
        frames::INVOCATION if stream > 0 => {
            let mut copy = front.shared.pool.take();
            copy.push(payload);
            peer.queued.set(peer.queued.get() + 1);
            Note::Arrived { peer: peer.clone(), stream, read: read(copy, names) }
        }
        frames::LEFT => Note::Left { peer: peer.clone(), stream },
        frames::CHECK => return check(front, peer, stream, payload),
        _ => {
            let what = format!("a frame of type {kind} on stream {stream}");
            return peer.breach(&front.shared.counters, 0, Fault::Malformed, &what);
        }
    };
    peer.spoke.set(true);
    let _ = front.queue.send(note).await;
}

/// Health checks are answered here and at once, with what the module said last. A forwarder names itself and what it has out here;
/// while this server is cold it is told in the same answer how much it may have.
fn check(front: &Front, peer: &Peer, stream: u32, payload: &[u8]) {
    peer.spoke.set(true);
    add(&front.shared.counters.checks);
    let voice = &front.shared.voice;
    let code = if voice.good.get() && voice.fit.get() { frames::SUCCEEDED } else { frames::ERRORED };
    let promised = voice.ramp.get().and_then(|budget| {
        let (who, out) = frames::asks_ramp(payload)?;
        Some(front.ramp.borrow_mut().reserve(front.clock.now(), who, out, budget, front.callers).to_string())
    });
    let fields: Vec<_> = promised.iter().map(|places| (frames::RAMP, places.as_str())).collect();
    put(&peer.out, frames::CHECKED, stream, code, &fields, voice.feedback.get(), b"");
}
