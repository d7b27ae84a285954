//! Connections to a backend that count the bytes that their sockets took.
//!
//! When an exchange breaks off, the client library does not say how much of the request was written. Whether the request
//! may be repeated depends on just that, so each connection counts for itself, below the library.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use sedgestack::Outcome;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;

use crate::net::runtime::socket_errors;

/// Length of the blank line that ends a head, with the line break before it.
const HEAD_END_BYTES: u64 = 4;

/// How far the exchange on a connection has come, by the bytes that its socket took.
///
/// # Invariant
///
/// "Could not connect" ([`Outcome::ConnectFailed`]: the request can't have run, so that it may be repeated) is said only
/// where the socket has not taken the last byte of the request. Where that can't be told, the exchange was reset
/// ([`Outcome::Reset`]: the request may have run).
///
/// It holds because
/// - only bytes that the socket took are counted, each after the call that wrote it;
/// - a backend runs a request only once all of it has come;
/// - an exchange that was given up writes no further byte ([`ExchangeProgress::abandon`]), so that what was proved
///   stays true;
/// - an answer that comes before its request is written whole ends all proof: which request the bytes after it belong
///   to is not known any more.
#[derive(Debug, Default)]
pub(super) struct ExchangeProgress {
    /// Requests of which a byte was written.
    requests_started: AtomicU64,
    /// Requests whose answer's head was read.
    requests_answered: AtomicU64,
    /// Of the request under way: how much of the blank line after its head was written.
    head_end_bytes: AtomicU64,
    /// Of the request under way: how much of its body was written.
    body_bytes: AtomicU64,
    /// An answer came before its request was written whole: the counts prove nothing any more.
    answered_early: AtomicBool,
    /// The exchange was given up: not a byte more is written.
    abandoned: AtomicBool,
}

impl ExchangeProgress {
    fn is_between_requests(&self) -> bool {
        self.requests_started.load(Relaxed) == self.requests_answered.load(Relaxed)
    }

    /// Guards graceful shutdowns: a request that waited for its connection while the backend began to drain must not
    /// begin to be written. Its attempt ends as never sent.
    pub(super) fn may_write(&self, backend_closed: bool) -> bool {
        !(self.abandoned.load(Relaxed) || (backend_closed && self.is_between_requests()))
    }

    /// Gives the exchange up: from now on nothing is written.
    pub(super) fn abandon(&self) {
        self.abandoned.store(true, Relaxed);
    }

    /// Whether the connection served requests before, and has taken no byte of the next one.
    pub(super) fn is_idle_after_use(&self) -> bool {
        self.requests_started.load(Relaxed) > 0 && self.is_between_requests()
    }

    fn is_written_whole(&self, body_length: usize) -> bool {
        self.head_end_bytes.load(Relaxed) == HEAD_END_BYTES
            && self.body_bytes.load(Relaxed) >= body_length as u64
    }

    /// Whether a request with a body of this length is written whole and not answered.
    pub(super) fn is_awaiting_answer(&self, body_length: usize) -> bool {
        !self.is_between_requests() && self.is_written_whole(body_length)
    }

    /// Counts bytes that the socket took.
    pub(super) fn record_written(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        if self.is_between_requests() {
            self.requests_started.fetch_add(1, Relaxed);
            self.head_end_bytes.store(0, Relaxed);
            self.body_bytes.store(0, Relaxed);
        }
        let (head_end_bytes, body) = match_head_end(self.head_end_bytes.load(Relaxed), bytes);
        self.head_end_bytes.store(head_end_bytes, Relaxed);
        self.body_bytes.fetch_add(body.len() as u64, Relaxed);
    }

    /// The head of the answer to a request with a body of this length was read.
    pub(super) fn record_answered(&self, body_length: usize) {
        if !self.is_written_whole(body_length) {
            self.answered_early.store(true, Relaxed);
        }
        self.requests_answered.store(self.requests_started.load(Relaxed), Relaxed);
    }

    /// What an exchange that broke off proves of its request, whose body has this length: see the invariant.
    pub(super) fn outcome_of_break(&self, body_length: usize) -> Outcome {
        let last_byte_not_taken = self.is_between_requests() || !self.is_written_whole(body_length);
        if last_byte_not_taken && !self.answered_early.load(Relaxed) {
            Outcome::ConnectFailed
        } else {
            Outcome::Reset
        }
    }
}

/// Looks for the blank line that ends a head, of which `matched` bytes came before: how many of its bytes have come
/// after `bytes`, and what of `bytes` is body.
fn match_head_end(mut matched: u64, bytes: &[u8]) -> (u64, &[u8]) {
    let mut rest = bytes;
    while let (Some((byte, after)), true) = (rest.split_first(), matched < HEAD_END_BYTES) {
        let expected = if matched.is_multiple_of(2) { b'\r' } else { b'\n' };
        matched = match *byte {
            b if b == expected => matched + 1,
            b'\r' => 1,
            _ => 0,
        };
        rest = after;
    }
    (matched, rest)
}

/// A connection to a backend that counts what is written, and refuses to write what must not be sent.
pub(super) struct CountedIo {
    pub(super) inner: TokioIo<TcpStream>,
    pub(super) progress: Arc<ExchangeProgress>,
    pub(super) addr: SocketAddr,
    /// Set once no further request may begin to be written to the backend.
    pub(super) backend_closed: Arc<AtomicBool>,
    pub(super) _descriptor: OwnedSemaphorePermit,
}

impl CountedIo {
    fn check_writable(&self) -> io::Result<()> {
        if !self.progress.may_write(self.backend_closed.load(Relaxed)) {
            return Err(io::Error::other("nothing is to be written any more"));
        }
        if self.progress.is_idle_after_use() {
            self.check_nothing_received()?;
        }
        Ok(())
    }

    /// Guards answers: bytes that wait here before a request belong to none, and would be read as its answer. The
    /// runtime may not have seen them yet, nor that the other side has closed.
    fn check_nothing_received(&self) -> io::Result<()> {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(self.inner.inner()).peek(&mut byte) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(()),
            received => {
                let _ = received.inspect_err(|e| socket_errors::record_failure(self.addr, "look", e));
                Err(io::Error::other("the connection is of no further use"))
            }
        }
    }
}

impl Read for CountedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let done = Pin::new(&mut self.inner).poll_read(cx, buf);
        socket_errors::record_if_failed(self.addr, "read", done)
    }
}

impl Write for CountedIo {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.check_writable()?;
        let done = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = done {
            self.progress.record_written(&buf[..count]);
        }
        socket_errors::record_if_failed(self.addr, "write", done)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_writable()?;
        let done = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        if let Poll::Ready(Ok(mut count)) = done {
            for buf in bufs {
                let taken = count.min(buf.len());
                self.progress.record_written(&buf[..taken]);
                count -= taken;
            }
        }
        socket_errors::record_if_failed(self.addr, "write", done)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
