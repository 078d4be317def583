//! The link to the executor: keeps the connection up, checks the numbers of notices and passes the notices on in order.

use crate::config::Addresses;
use crate::core::{CoreEvent, Shared};
use crate::counters::add;
use crate::lines::{self, Notice};
use crate::log;
use crate::pool::{Outbox, BUFFER_BYTES};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Sender;
use tokio::time::{sleep_until, timeout, Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// An executor that is up answers each request for gauges: after this time without any message the link is replaced.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Cookie of the gauges requested once the executor is up (before, the request would be rejected). The response follows
/// all notices that were missed.
const SYNC_COOKIE: &str = "sync";

/// Keeps a link to the executor until the core is gone.
pub async fn run(addresses: Rc<Addresses>, shared: Shared, queue: Sender<CoreEvent>) {
    let mut link =
        Link { addresses: addresses.clone(), shared, queue, last_serial: 0, requested_gap: 0, is_up: false };
    let mut was_reachable = true;
    loop {
        let address = addresses.kernel.get();
        let dial = async { timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await };
        let connected = tokio::select! {
            connected = dial => connected.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into())),
            // An address that never answers is dialed only while the executor is configured there.
            () = address_changed(&addresses, address) => continue,
        };
        let stream = match connected {
            Ok(stream) => stream,
            Err(error) => {
                if std::mem::take(&mut was_reachable) {
                    log!("the kernel at {address} can't be reached: {error}; retrying");
                }
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        was_reachable = true;
        let _ = stream.set_nodelay(true);
        add(&link.shared.counters.kernel_links);
        let why = match link.run_connection(&stream, address).await {
            Ok(()) => return,
            Err(error) => error,
        };
        log!("link to the kernel, after notice {}: {why}", link.last_serial);
        if link.queue.send(CoreEvent::ExecutorDisconnected).await.is_err() {
            return;
        }
        // A link that was up is replaced at once: until then nothing runs.
        if !std::mem::take(&mut link.is_up) {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Completes once the executor's configured address differs from `address`.
async fn address_changed(addresses: &Addresses, address: SocketAddr) {
    while addresses.kernel.get() == address {
        addresses.kernel_moved.notified().await;
    }
}

struct Link {
    addresses: Rc<Addresses>,
    shared: Shared,
    queue: Sender<CoreEvent>,
    /// Number of the last notice read.
    last_serial: u64,
    /// The notice before a gap for which the missing notices were already requested once.
    requested_gap: u64,
    /// The present link has reported that the executor is up.
    is_up: bool,
}

fn invalid_data(what: impl Into<String>) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, what.into())
}

impl Link {
    /// Runs the link until it ends. Returns an error when the link fails, and `Ok` when the core is gone.
    async fn run_connection(&mut self, stream: &TcpStream, address: SocketAddr) -> io::Result<()> {
        let outbox = Rc::new(Outbox::new(&self.shared.pool));
        outbox.push(lines::open(self.last_serial).as_bytes());
        let mut buf = self.shared.pool.take();
        let mut skip_line = false;
        let mut last_received = Instant::now();
        loop {
            outbox.flush(|bytes| stream.try_write(bytes))?;
            tokio::select! {
                () = outbox.wake.notified() => continue,
                // Runs and the numbers of notices continue at the new address.
                () = address_changed(&self.addresses, address) => return Err(invalid_data("the address has changed")),
                ready = stream.writable(), if !outbox.is_empty() => { ready?; continue }
                () = sleep_until(last_received + SILENCE_TIMEOUT), if self.is_up => return Err(ErrorKind::TimedOut.into()),
                ready = stream.readable() => ready?,
            }
            match stream.try_read(buf.spare()) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(count) => buf.advance(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
                Err(error) => return Err(error),
            }
            last_received = Instant::now();
            let mut at = 0;
            while let Some((line, size)) = lines::next_line(&buf[at..]) {
                let read = if std::mem::take(&mut skip_line) { None } else { self.read_notice(line)? };
                at += size;
                let Some(notice) = read else { continue };
                if matches!(notice, Notice::Booted { .. }) {
                    outbox.push(lines::sysinfo(SYNC_COOKIE).as_bytes());
                    self.is_up = true;
                }
                let synced = matches!(&notice, Notice::Info { cookie, .. } if cookie == SYNC_COOKIE);
                let _ = self.queue.send(CoreEvent::ExecutorNotice(notice)).await;
                if synced && self.queue.send(CoreEvent::ExecutorConnected(outbox.clone())).await.is_err() {
                    return Ok(());
                }
            }
            buf.consume(at);
            if buf.len() == BUFFER_BYTES {
                add(&self.shared.counters.malformed);
                log!("from the kernel: a line of over {BUFFER_BYTES} bytes");
                skip_line = true;
                buf.consume(BUFFER_BYTES);
            }
        }
    }

    /// Reads one line; returns `None` where it contains nothing new.
    fn read_notice(&mut self, line: &[u8]) -> io::Result<Option<Notice>> {
        let (serial, notice) = lines::parse_notice(line, &self.shared.pool);
        if let Some(serial) = serial {
            if serial <= self.last_serial {
                return Ok(None);
            }
            if serial > self.last_serial + 1 && self.requested_gap != self.last_serial {
                self.requested_gap = self.last_serial;
                return Err(invalid_data(format!("received notice {serial} after a gap")));
            }
            if serial > self.last_serial + 1 {
                log!("the kernel no longer has the notices {} to {}", self.last_serial + 1, serial - 1);
            }
            self.last_serial = serial;
        }
        match notice {
            Ok(notice) => Ok(Some(notice)),
            Err(what) => {
                add(&self.shared.counters.malformed);
                log!("from the kernel: {what}");
                Ok(None)
            }
        }
    }
}
