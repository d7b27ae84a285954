//! Connections to a backend that record the bytes that their sockets accept.
//!
//! Whether a request may be repeated after a broken exchange depends on how much of it was written. The HTTP client
//! library does not report that, so it is recorded here, in the I/O type below the library.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;

use super::exchange_progress::{ExchangeProgress, ExchangeState};
use crate::net::runtime::bounded_read::poll_read_at_most;
use crate::net::runtime::memory_budget::{HeadAllowance, MemoryBudget};
use crate::net::runtime::metrics::COUNTERS;
use crate::net::runtime::socket_errors;

/// A stream to a backend that records the bytes written and refuses to write requests that must not be sent.
pub(super) struct CountedIo {
    pub(super) inner: TokioIo<TcpStream>,
    pub(super) progress: Arc<ExchangeProgress>,
    pub(super) addr: SocketAddr,
    /// Set once no further request may be sent to the backend.
    pub(super) backend_closed: Arc<AtomicBool>,
    pub(super) head: ResponseHead,
    pub(super) _descriptor: OwnedSemaphorePermit,
}

/// Bounds the bytes of the current response's head that are buffered.
pub(super) struct ResponseHead {
    /// The request that the response answers, counted from 1 on this connection.
    request: u64,
    allowance: HeadAllowance,
}

impl ResponseHead {
    pub(super) fn new(memory: &MemoryBudget) -> ResponseHead {
        ResponseHead { request: 0, allowance: HeadAllowance::new(memory.responses.clone()) }
    }

    /// Returns how many bytes may be read now. Only the bytes of a head are bounded here.
    fn poll_allowed(&mut self, progress: &ExchangeProgress, cx: &mut Context<'_>) -> Poll<usize> {
        let request = progress.request_count();
        if progress.state() == ExchangeState::ResponseStarted || self.request != request {
            self.request = request;
            self.allowance.reset();
        }
        self.allowance.poll_allowed(cx)
    }
}

impl CountedIo {
    fn check_writable(&self) -> io::Result<()> {
        if !self.progress.may_write(self.backend_closed.load(Relaxed)) {
            return Err(io::Error::other("the attempt was given up or the backend was closed"));
        }
        if self.progress.is_unwritten_on_reused_connection() {
            self.check_nothing_received()?;
        }
        Ok(())
    }

    /// Records bytes that the socket accepted, and counts a request that was begun although its backend was closed.
    fn record_written(&self, bytes: &[u8]) {
        if self.backend_closed.load(Relaxed) && self.progress.state() == ExchangeState::NothingWritten {
            COUNTERS.drain_violations.increment();
        }
        self.progress.record_written(bytes);
    }

    /// Fails if the socket holds unread bytes or the backend has closed the connection. Bytes received before a request
    /// is sent would otherwise be read as its response. The socket itself is checked because the runtime may not have
    /// noticed either yet.
    fn check_nothing_received(&self) -> io::Result<()> {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(self.inner.inner()).peek(&mut byte) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(()),
            received => {
                let _ = received.inspect_err(|e| socket_errors::record_failure(self.addr, "peek", e));
                Err(io::Error::other("the idle connection was closed or holds unexpected bytes"))
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
        let this = &mut *self;
        let allowed = ready!(this.head.poll_allowed(&this.progress, cx));
        let done = poll_read_at_most(&mut this.inner, cx, buf, allowed);
        if let Poll::Ready(Ok(count)) = &done {
            this.head.allowance.record_read(*count);
        }
        socket_errors::record_if_failed(this.addr, "read", done.map_ok(|_| ()))
    }
}

impl Write for CountedIo {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.check_writable()?;
        let done = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = done {
            self.record_written(&buf[..count]);
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
                self.record_written(&buf[..taken]);
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
