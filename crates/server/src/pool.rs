//! A pool of buffers of one size, and the outboxes built on it. A buffer returns to the pool when it is dropped.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::ops::Deref;
use std::rc::Rc;
use tokio::sync::Notify;

/// Fits any frame or line that the protocols allow: a result of 4 KiB, also in base64.
pub const BUFFER_BYTES: usize = 8192;

type Block = Box<[u8; BUFFER_BYTES]>;

/// The free buffers, and the number of buffers in use.
pub struct BufferPool {
    free: RefCell<Vec<Block>>,
    in_use: Cell<usize>,
    max_buffers: usize,
}

impl BufferPool {
    pub fn new(max_buffers: usize) -> Rc<BufferPool> {
        Rc::new(BufferPool {
            free: RefCell::default(),
            in_use: Cell::new(0),
            max_buffers: max_buffers.max(16),
        })
    }

    /// Takes a buffer for data that must be written: responses and commands are bounded by the requests read.
    pub fn take(self: &Rc<BufferPool>) -> Buf {
        let block = self.free.borrow_mut().pop().unwrap_or_else(|| Box::new([0; BUFFER_BYTES]));
        self.in_use.set(self.in_use.get() + 1);
        Buf { block: Some(block), len: 0, pool: self.clone() }
    }

    /// Returns whether more may be read: the last eighth of the pool is reserved for data that must be written. Bounds
    /// the memory of unread input; beyond the bound reading waits, as at a slow server.
    pub fn has_capacity(&self) -> bool {
        self.in_use.get() < self.max_buffers - self.max_buffers / 8
    }

    /// Number of buffers in use.
    pub fn in_use(&self) -> usize {
        self.in_use.get()
    }
}

/// A buffer of `BUFFER_BYTES`, filled from the front.
pub struct Buf {
    block: Option<Block>,
    len: usize,
    pool: Rc<BufferPool>,
}

impl Buf {
    /// Appends what fits; returns the number of bytes appended.
    pub fn push(&mut self, bytes: &[u8]) -> usize {
        let count = bytes.len().min(BUFFER_BYTES - self.len);
        self.spare()[..count].copy_from_slice(&bytes[..count]);
        self.len += count;
        count
    }
    /// The unfilled rest, to be read into.
    pub fn spare(&mut self) -> &mut [u8] {
        let len = self.len;
        self.block.as_mut().map_or(&mut [], |block| &mut block[len..])
    }
    /// Counts bytes that were read into the spare part.
    pub fn advance(&mut self, more: usize) {
        self.len = (self.len + more).min(BUFFER_BYTES);
    }
    /// Returns the buffer to the pool before it is dropped, and leaves it empty.
    pub fn release(&mut self) {
        let pool = self.pool.clone();
        drop(std::mem::replace(self, Buf { block: None, len: 0, pool }));
    }
    /// Removes the first bytes; the rest moves to the front.
    pub fn consume(&mut self, count: usize) {
        let (count, len) = (count.min(self.len), self.len);
        if let Some(block) = self.block.as_mut() {
            block.copy_within(count..len, 0);
        }
        self.len -= count;
    }
}

impl Deref for Buf {
    type Target = [u8];
    fn deref(&self) -> &[u8] {
        self.block.as_ref().map_or(&[], |block| &block[..self.len])
    }
}

impl Drop for Buf {
    fn drop(&mut self) {
        if let Some(block) = self.block.take() {
            self.pool.in_use.set(self.pool.in_use.get() - 1);
            let mut free = self.pool.free.borrow_mut();
            if free.len() < self.pool.max_buffers {
                free.push(block);
            }
        }
    }
}

/// Bytes that wait to be written to one peer, in order.
pub struct Outbox {
    pool: Rc<BufferPool>,
    chunks: RefCell<VecDeque<Buf>>,
    head: Cell<usize>,
    bytes: Cell<usize>,
    written: Cell<u64>,
    pub wake: Notify,
}

impl Outbox {
    pub fn new(pool: &Rc<BufferPool>) -> Outbox {
        Outbox {
            pool: pool.clone(),
            chunks: RefCell::default(),
            head: Cell::new(0),
            bytes: Cell::new(0),
            written: Cell::new(0),
            wake: Notify::new(),
        }
    }

    /// Appends bytes, and wakes the task that writes them.
    pub fn push(&self, mut bytes: &[u8]) {
        let mut chunks = self.chunks.borrow_mut();
        self.bytes.set(self.bytes.get() + bytes.len());
        while !bytes.is_empty() {
            let count = chunks.back_mut().map_or(0, |last| last.push(bytes));
            bytes = &bytes[count..];
            if !bytes.is_empty() {
                chunks.push_back(self.pool.take());
            }
        }
        self.wake.notify_one();
    }

    pub fn len(&self) -> usize {
        self.bytes.get()
    }
    pub fn is_empty(&self) -> bool {
        self.bytes.get() == 0
    }
    /// Number of bytes written since the outbox was created.
    pub fn written(&self) -> u64 {
        self.written.get()
    }
    /// Position of the next byte pushed, counted as in `written`.
    pub fn end(&self) -> u64 {
        self.written.get() + self.bytes.get() as u64
    }
    pub fn clear(&self) {
        self.chunks.borrow_mut().clear();
        self.head.set(0);
        self.bytes.set(0);
    }

    /// Writes until the socket accepts no more; `write` is a socket's non-blocking write.
    pub fn flush(&self, mut write: impl FnMut(&[u8]) -> io::Result<usize>) -> io::Result<()> {
        let mut chunks = self.chunks.borrow_mut();
        while let Some(first) = chunks.front() {
            let rest = &first[self.head.get()..];
            let count = match write(rest) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => return Err(error),
            };
            self.bytes.set(self.bytes.get() - count);
            self.written.set(self.written.get() + count as u64);
            if count == rest.len() {
                chunks.pop_front();
                self.head.set(0);
            } else {
                self.head.set(self.head.get() + count);
            }
        }
        Ok(())
    }
}
