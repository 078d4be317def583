//! Socket operations that several adapters share.

use std::fmt::Display;
use std::future::poll_fn;
use std::io::{self, ErrorKind, Read};
use std::pin::Pin;
use std::time::Duration;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Closing a connection with unread input resets it, and the reset may overtake the last responses. The unread input is therefore read
/// and discarded before the close, for at most this long.
const MAX_LINGER: Duration = Duration::from_millis(300);
/// Maximum number of unread bytes that are discarded before a close.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;

/// Adds the operation that failed to an I/O error, such as the address to listen on: a process that ends with the error then shows
/// the cause.
pub fn add_context(operation: impl Display) -> impl FnOnce(io::Error) -> io::Error {
    move |error| io::Error::new(error.kind(), format!("{operation}: {error}"))
}

/// Writes all bytes, however long the peer takes to read them: callers bound the time themselves.
pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Reads the bytes that are in the socket now. Before a connection is closed, or an idle connection is reused, the readiness that the
/// event loop reports is not enough: it covers only the bytes that had arrived at its last poll.
pub fn read_available(stream: &TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        match (&*socket2::SockRef::from(stream)).read(buffer) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Closes a connection with a linger: shuts down the output, then reads and discards input until the peer has closed too. At each
/// wake-up `is_over` is evaluated, and true ends the linger early.
pub async fn linger(stream: &mut TcpStream, wake: &Notify, is_over: impl Fn() -> bool) -> io::Result<()> {
    poll_fn(|context| Pin::new(&mut *stream).poll_shutdown(context)).await?;
    let deadline = tokio::time::Instant::now() + MAX_LINGER;
    let mut remaining = MAX_DISCARDED_BYTES;
    loop {
        tokio::select! {
            () = wake.notified() => if is_over() { return Ok(()) } else { continue },
            () = tokio::time::sleep_until(deadline) => return Ok(()),
            ready = stream.readable() => ready?,
        }
        let mut discarded = [0; 4096];
        match stream.try_read(&mut discarded) {
            Ok(0) => return Ok(()),
            Ok(count) if count < remaining => remaining -= count,
            Ok(_) => return Ok(()),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}
