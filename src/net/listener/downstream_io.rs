//! Byte-level I/O on a client's connection.

use std::future::poll_fn;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;

use axum::http::{HeaderValue, Version};
use bytes::BytesMut;
use futures_util::task::AtomicWaker;
use futures_util::FutureExt;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{Interest, Ready};
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::connection_table::Stage;
use super::connections::ConnectionEntry;
use super::response_progress::{Flushed, ResponseProgress};
use crate::net::request_body::ClientWait;
use crate::net::runtime::bounded_read::poll_read_at_most;
use crate::net::runtime::memory_budget::{BytePool, HeadAllowance};
use crate::net::runtime::socket_errors;

/// Maximum number of bytes read ahead while a request is in flight. Clients send one request at a time, so what goes
/// beyond that is discarded and the connection closes after the response.
const MAX_READ_AHEAD_BYTES: usize = 4 << 10;
/// Maximum number of bytes read ahead in one call: a client's end behind megabytes has to be reached within 100 ms.
const READ_AHEAD_PART_BYTES: usize = 16 << 10;
/// Interval between checks whether the client has disconnected while its bytes are not read. The platform allows 100 ms
/// to notice it.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The response to a client whose connection is closed because others wait for the memory that it holds.
const EVICTED_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// A client's connection. While a request is in flight, the bytes that follow it are read ahead into this buffer,
/// because a disconnect is not visible behind unread bytes.
pub(super) struct Downstream {
    stream: Mutex<TokioIo<TcpStream>>,
    read_ahead: Mutex<BytesMut>,
    gone: CancellationToken,
    reading: Mutex<ReadState>,
    /// For how long the client was awaited for the body of the current request.
    pub(super) client_wait: Arc<ClientWait>,
    response: Mutex<ResponseProgress>,
    /// Wakes the response when bytes of it have been written.
    written: AtomicWaker,
    /// Whether the connection is reset when it is closed.
    is_reset_on_close: AtomicBool,
    open_request: Mutex<OpenRequest>,
}

/// What the bytes that arrive from a client belong to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ReadState {
    /// The head of a request.
    #[default]
    Head,
    /// The body of a request whose head was read.
    Body,
    /// Nothing that is needed: the rest is discarded, and no further request can be read.
    Discarded,
}

/// What is kept of the request that is open on a connection.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenRequest {
    /// The value of its `X-Request-Id`.
    pub(super) id: Option<HeaderValue>,
    /// The version of HTTP that its client speaks.
    pub(super) version: Version,
    /// The backend whose answer is passed on.
    pub(super) backend: Option<HeaderValue>,
}

impl Downstream {
    /// Wraps an accepted stream.
    pub(super) fn new(stream: TcpStream) -> Arc<Downstream> {
        let stream = Mutex::new(TokioIo::new(stream));
        Arc::new(Downstream {
            stream,
            read_ahead: Mutex::default(),
            gone: CancellationToken::new(),
            reading: Mutex::default(),
            client_wait: Arc::default(),
            response: Mutex::default(),
            written: AtomicWaker::new(),
            is_reset_on_close: AtomicBool::new(false),
            open_request: Mutex::default(),
        })
    }

    fn stream(&self) -> MutexGuard<'_, TokioIo<TcpStream>> {
        self.stream.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read_ahead(&self) -> MutexGuard<'_, BytesMut> {
        self.read_ahead.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reading(&self) -> MutexGuard<'_, ReadState> {
        self.reading.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The progress of the current response.
    pub(super) fn response(&self) -> MutexGuard<'_, ResponseProgress> {
        self.response.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The current request.
    pub(super) fn open_request(&self) -> MutexGuard<'_, OpenRequest> {
        self.open_request.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the client closes or resets the connection, and reads ahead meanwhile. No other task may read from
    /// the connection at the same time.
    ///
    /// To bound memory, at most `MAX_READ_AHEAD_BYTES` are kept. What follows is read all the same: the client's end
    /// does not reach this machine while its receive buffer is full.
    pub(super) async fn wait_until_closed(&self) {
        poll_fn(|cx| self.poll_read_to_the_end(cx)).await;
        self.gone.cancel();
    }

    /// Reads until the end of the connection. The buffer is not kept between two calls, as each connection would hold one.
    fn poll_read_to_the_end(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [MaybeUninit::uninit(); READ_AHEAD_PART_BYTES];
        loop {
            let mut buffer = hyper::rt::ReadBuf::uninit(&mut bytes);
            let read = ready!(Pin::new(&mut *self.stream()).poll_read(cx, buffer.unfilled()));
            if read.is_err() || buffer.filled().is_empty() {
                return Poll::Ready(());
            }
            self.keep_or_discard(buffer.filled());
        }
    }

    fn keep_or_discard(&self, bytes: &[u8]) {
        let mut read_ahead = self.read_ahead();
        if self.has_discarded() || read_ahead.len() + bytes.len() > MAX_READ_AHEAD_BYTES {
            self.discard_rest();
        } else {
            read_ahead.extend_from_slice(bytes);
        }
    }

    /// Waits until the runtime has seen the client's end of the stream, which may lie behind bytes that are not read yet.
    pub(super) async fn wait_until_read_closed(&self) {
        while !self.is_read_closed() {
            sleep(END_CHECK_INTERVAL).await;
        }
    }

    fn is_read_closed(&self) -> bool {
        let stream = self.stream();
        let readiness = stream.inner().ready(Interest::READABLE).now_or_never();
        readiness.is_some_and(|readiness| readiness.map_or(true, Ready::is_read_closed))
    }

    /// Gives up the rest of what the client sends, because its request is answered before its end.
    pub(super) fn discard_rest(&self) {
        *self.reading() = ReadState::Discarded;
    }

    /// Whether bytes of the client were discarded, so that no further request can be read.
    pub(super) fn has_discarded(&self) -> bool {
        *self.reading() == ReadState::Discarded
    }

    /// Records that the head of a request was read and that its body follows.
    pub(super) fn begin_body(&self) {
        self.client_wait.reset();
        self.advance_reading(ReadState::Head, ReadState::Body);
    }

    fn advance_reading(&self, from: ReadState, to: ReadState) {
        let mut reading = self.reading();
        if *reading == from {
            *reading = to;
        }
    }

    /// Records that a request was read completely, and that a response to it is due.
    pub(super) fn begin_request(&self, id: HeaderValue, version: Version) {
        *self.open_request() = OpenRequest { id: Some(id), version, backend: None };
        self.response().begin_request();
    }

    /// Waits until the HTTP library has written most of the streamed response that it was handed.
    pub(super) fn poll_mostly_written(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.poll_written(cx, ResponseProgress::has_room)
    }

    /// Waits until the client's socket has accepted all that the HTTP library was handed.
    pub(super) fn poll_all_written(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.poll_written(cx, ResponseProgress::is_flushed)
    }

    fn poll_written(&self, cx: &mut Context<'_>, is_enough: fn(&ResponseProgress) -> bool) -> Poll<()> {
        if is_enough(&self.response()) {
            return Poll::Ready(());
        }
        self.written.register(cx.waker());
        Poll::Pending
    }

    /// Sets whether the connection is reset when it is closed, whatever closes it.
    pub(super) fn set_reset_on_close(&self, is_reset: bool) {
        if self.is_reset_on_close.swap(is_reset, Relaxed) == is_reset {
            return;
        }
        let linger = is_reset.then_some(Duration::ZERO);
        let done = SockRef::from(self.stream().inner()).set_linger(linger);
        let _ = done.inspect_err(|e| socket_errors::record_failure("front", "set SO_LINGER", e));
    }

    /// Answers a request that is not complete yet, as far as the client can take it at once.
    pub(super) fn reject_unfinished(&self) {
        if self.response().is_open() {
            return;
        }
        let _ = self.stream().inner().try_write(EVICTED_RESPONSE);
        self.shutdown_write();
    }

    /// Waits until [`Downstream::wait_until_closed`] has seen the client disconnect.
    pub(super) async fn wait_until_gone(&self) {
        self.gone.cancelled().await;
    }

    /// Shuts down the write side of the connection.
    pub(super) fn shutdown_write(&self) {
        let _ = SockRef::from(self.stream().inner()).shutdown(Shutdown::Write);
    }

    /// Reads and discards bytes. Returns how many were read, 0 at the end of the connection.
    pub(super) async fn skip(&self) -> usize {
        let read_ahead = std::mem::take(&mut *self.read_ahead()).len();
        if read_ahead > 0 {
            return read_ahead;
        }
        let mut bytes = [MaybeUninit::uninit(); 4096];
        let mut buffer = hyper::rt::ReadBuf::uninit(&mut bytes);
        let _ = poll_fn(|cx| Pin::new(&mut *self.stream()).poll_read(cx, buffer.unfilled())).await;
        buffer.filled().len()
    }
}

/// A client's connection in the form that the server library uses. Records in the connection's entry when a request
/// begins and when a response has been written.
pub(super) struct DownstreamIo {
    downstream: Arc<Downstream>,
    entry: Arc<ConnectionEntry>,
    head: HeadAllowance,
}

impl DownstreamIo {
    /// Wraps `downstream`, whose stages are recorded in `entry`. Long heads reserve bytes from `memory`.
    pub(super) fn new(
        downstream: Arc<Downstream>,
        entry: Arc<ConnectionEntry>,
        memory: Arc<BytePool>,
    ) -> DownstreamIo {
        DownstreamIo { downstream, entry, head: HeadAllowance::new(memory) }
    }

    /// Reads from the socket. The bytes of a head are bounded here, those of a body by whoever asks for them.
    fn poll_read_socket(&mut self, cx: &mut Context<'_>, buf: ReadBufCursor<'_>) -> Poll<io::Result<()>> {
        let is_reading_body = *self.downstream.reading() != ReadState::Head;
        let limit = if is_reading_body { usize::MAX } else { ready!(self.head.poll_allowed(cx)) };
        if self.head.has_reservation() {
            self.entry.set_holds_memory(true);
        }
        let read = poll_read_at_most(&mut self.downstream.stream(), cx, buf, limit);
        match read {
            Poll::Ready(Ok(count)) if is_reading_body => {
                self.downstream.client_wait.set_socket_empty(false);
                self.entry.record_body_bytes(count);
            }
            Poll::Ready(Ok(count)) => self.head.record_read(count),
            Poll::Pending if is_reading_body => self.downstream.client_wait.set_socket_empty(true),
            _ => {}
        }
        socket_errors::record_if_failed("front", "read", read.map_ok(|_| ()))
    }

    /// Records that the client took part of the response, or has yet to take it.
    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        let mut response = self.downstream.response();
        let has_new_room = match written {
            Poll::Ready(Ok(count)) => response.record_accepted(*count),
            _ => false,
        };
        let is_streaming = response.is_streaming();
        drop(response);
        if has_new_room {
            self.downstream.written.wake();
        }
        if !is_streaming {
            return;
        }
        match written {
            Poll::Ready(_) => self.entry.set_stage(Stage::Responding),
            Poll::Pending => _ = self.entry.advance_stage(Stage::InFlight, Stage::Responding),
        }
    }

    /// Records that everything written so far has reached the socket.
    fn on_flushed(&mut self) {
        let flushed = self.downstream.response().record_flushed();
        match flushed {
            Flushed::Nothing => {}
            Flushed::AllSoFar => {
                // The client has taken all that the backend has sent so far.
                self.entry.advance_stage(Stage::Responding, Stage::InFlight);
                self.downstream.written.wake();
            }
            Flushed::Response => self.on_response_written(),
        }
    }

    /// Records that the client's socket has accepted the whole response.
    fn on_response_written(&mut self) {
        *self.downstream.open_request() = OpenRequest::default();
        self.downstream.set_reset_on_close(false);
        let next = if self.downstream.read_ahead().is_empty() { Stage::Idle } else { Stage::Unfinished };
        if self.entry.advance_stage(Stage::Responding, next) {
            self.entry.set_holds_memory(false);
            self.head.reset();
            self.downstream.advance_reading(ReadState::Body, ReadState::Head);
        }
    }
}

impl Read for DownstreamIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut read_ahead = std::mem::take(&mut *self.downstream.read_ahead());
        let done = if read_ahead.is_empty() {
            self.poll_read_socket(cx, buf)
        } else {
            let count = read_ahead.len().min(buf.remaining());
            buf.put_slice(&read_ahead.split_to(count));
            *self.downstream.read_ahead() = read_ahead;
            Poll::Ready(Ok(()))
        };
        if done.is_ready() {
            self.entry.advance_stage(Stage::Idle, Stage::Unfinished);
        }
        done
    }
}

impl Write for DownstreamIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.downstream.stream()).poll_write(cx, buf);
        self.record_write(&written);
        socket_errors::record_if_failed("front", "write", written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.downstream.stream()).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        socket_errors::record_if_failed("front", "write", written)
    }

    fn is_write_vectored(&self) -> bool {
        self.downstream.stream().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let done = Pin::new(&mut *self.downstream.stream()).poll_flush(cx);
        if matches!(done, Poll::Ready(Ok(()))) {
            self.on_flushed();
        }
        done
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.downstream.stream()).poll_shutdown(cx)
    }
}
