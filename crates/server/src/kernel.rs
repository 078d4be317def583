//! The link to the kernel: keeps it up, numbers the notices, passes them on in order.

use crate::config::Addresses;
use crate::core::{Note, Shared};
use crate::counters::add;
use crate::lines::{self, Notice};
use crate::log;
use crate::pool::{Outbox, SIZE};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Sender;
use tokio::time::{sleep_until, timeout, Instant};

const CONNECT: Duration = Duration::from_secs(1);
const AGAIN: Duration = Duration::from_millis(50);
/// A kernel that is up answers each question for the gauges: silent for this long, the link is made anew.
const SILENT: Duration = Duration::from_secs(5);
/// Asked for once the kernel is up (before, it would not be carried out); the answer comes behind all notices
/// that were missed.
const SYNC: &str = "sync";

pub async fn link(at: Rc<Addresses>, shared: Shared, queue: Sender<Note>) {
    let mut link = Link { at: at.clone(), shared, queue, serial: 0, gap: 0, up: false };
    let mut reached = true;
    loop {
        let address = at.kernel.get();
        let dials = async { timeout(CONNECT, TcpStream::connect(address)).await };
        let connected = tokio::select! {
            connected = dials => connected.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into())),
            // Somebody who never answers is dialled no longer than the kernel is there.
            () = moves(&at, address) => continue,
        };
        let stream = match connected {
            Ok(stream) => stream,
            Err(error) => {
                if std::mem::take(&mut reached) {
                    log!("the kernel at {address} can't be reached: {error}; trying on");
                }
                tokio::time::sleep(AGAIN).await;
                continue;
            }
        };
        reached = true;
        let _ = stream.set_nodelay(true);
        add(&link.shared.counters.kernel_links);
        let why = match link.carry(&stream, address).await {
            Ok(()) => return,
            Err(error) => error,
        };
        log!("link to the kernel, after notice {}: {why}", link.serial);
        if link.queue.send(Note::KernelDown).await.is_err() {
            return;
        }
        // One that was up is made anew at once: until then nothing is run.
        if !std::mem::take(&mut link.up) {
            tokio::time::sleep(AGAIN).await;
        }
    }
}

/// Comes back once the kernel is somewhere else.
async fn moves(at: &Addresses, address: SocketAddr) {
    while at.kernel.get() == address {
        at.kernel_moved.notified().await;
    }
}

struct Link {
    at: Rc<Addresses>,
    shared: Shared,
    queue: Sender<Note>,
    /// The last notice that was read.
    serial: u64,
    /// A gap after this notice was asked for once already.
    gap: u64,
    /// The present link has told that the kernel is up.
    up: bool,
}

fn broken(what: impl Into<String>) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, what.into())
}

impl Link {
    /// Ends with an error when the link does, without one when the core is gone.
    async fn carry(&mut self, stream: &TcpStream, address: SocketAddr) -> io::Result<()> {
        let out = Rc::new(Outbox::new(&self.shared.pool));
        out.push(lines::open(self.serial).as_bytes());
        let mut buf = self.shared.pool.take();
        let mut skips = false;
        let mut heard = Instant::now();
        loop {
            out.flush(|bytes| stream.try_write(bytes))?;
            tokio::select! {
                () = out.wake.notified() => continue,
                // Its runs and the numbers of its notices go on at the new address.
                () = moves(&self.at, address) => return Err(broken("it has moved")),
                ready = stream.writable(), if !out.is_empty() => { ready?; continue }
                () = sleep_until(heard + SILENT), if self.up => return Err(ErrorKind::TimedOut.into()),
                ready = stream.readable() => ready?,
            }
            match stream.try_read(buf.spare()) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(many) => buf.filled(many),
                Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
                Err(error) => return Err(error),
            }
            heard = Instant::now();
            let mut at = 0;
            while let Some((line, size)) = lines::next(&buf[at..]) {
                let told = if std::mem::take(&mut skips) { None } else { self.read(line)? };
                at += size;
                let Some(notice) = told else { continue };
                if matches!(notice, Notice::Booted { .. }) {
                    out.push(lines::sysinfo(SYNC).as_bytes());
                    self.up = true;
                }
                let synced = matches!(&notice, Notice::Info { cookie, .. } if cookie == SYNC);
                let _ = self.queue.send(Note::Kernel(notice)).await;
                if synced && self.queue.send(Note::KernelUp(out.clone())).await.is_err() {
                    return Ok(());
                }
            }
            buf.consume(at);
            if buf.len() == SIZE {
                add(&self.shared.counters.malformed);
                log!("from the kernel: a line of over {SIZE} bytes");
                skips = true;
                buf.consume(SIZE);
            }
        }
    }

    /// One line: `None` where it says nothing new.
    fn read(&mut self, line: &[u8]) -> io::Result<Option<Notice>> {
        let (serial, notice) = lines::notice(line, &self.shared.pool);
        if let Some(serial) = serial {
            if serial <= self.serial {
                return Ok(None);
            }
            if serial > self.serial + 1 && self.gap != self.serial {
                self.gap = self.serial;
                return Err(broken(format!("notice {serial} came next")));
            }
            if serial > self.serial + 1 {
                log!("the kernel no longer has the notices {} to {}", self.serial + 1, serial - 1);
            }
            self.serial = serial;
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
