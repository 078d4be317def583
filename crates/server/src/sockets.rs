//! What several adapters do with a socket.

use std::fmt::Display;
use std::future::poll_fn;
use std::io::{self, ErrorKind, Read};
use std::pin::Pin;
use std::time::Duration;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// What was sent and not read would make the close of a connection a reset, which may overtake the last answers: it is read and
/// dropped for so long at the most, and no more than so many bytes of it.
const LINGER: Duration = Duration::from_millis(300);
const DROPPED: usize = 64 * 1024;

/// An error that says what was tried, such as an address that was to be listened at: a process that ends by it names the cause.
pub fn add_context(what: impl Display) -> impl FnOnce(io::Error) -> io::Error {
    move |error| io::Error::new(error.kind(), format!("{what}: {error}"))
}

/// Writes all of it, however long the other side takes: for those that bound the time themselves.
pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(many) => bytes = &bytes[many..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Reads what stands in the socket now. Before a close, or before a connection that rested is used again, the word of the event
/// loop is not enough: it tells of what had come when it last looked.
pub fn read_available(stream: &TcpStream, into: &mut [u8]) -> io::Result<usize> {
    loop {
        match (&*socket2::SockRef::from(stream)).read(into) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            read => return read,
        }
    }
}

/// A lingering close: ends the output, then reads and drops what still comes until the other side has closed too. `over` is asked
/// at each wake and ends it early.
pub async fn linger(stream: &mut TcpStream, wake: &Notify, over: impl Fn() -> bool) -> io::Result<()> {
    poll_fn(|context| Pin::new(&mut *stream).poll_shutdown(context)).await?;
    let until = tokio::time::Instant::now() + LINGER;
    let mut left = DROPPED;
    loop {
        tokio::select! {
            () = wake.notified() => if over() { return Ok(()) } else { continue },
            () = tokio::time::sleep_until(until) => return Ok(()),
            ready = stream.readable() => ready?,
        }
        let mut dropped = [0; 4096];
        match stream.try_read(&mut dropped) {
            Ok(0) => return Ok(()),
            Ok(many) if many < left => left -= many,
            Ok(_) => return Ok(()),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}
