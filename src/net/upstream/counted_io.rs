//! Connections to a backend that record the bytes that their sockets took.
//!
//! When an exchange breaks off, the client library does not say how much of the request was written. Whether the request
//! may be repeated depends on just that, so each connection records it, below the library.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;

use super::exchange_progress::ExchangeProgress;
use crate::net::runtime::socket_errors;

/// A connection to a backend that records what is written, and refuses to write what must not be sent.
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
        if self.progress.is_unwritten_on_reused_connection() {
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
